"""What one VM knows about the other VMs of a fleet."""

import math

from .order_lease import PeerSummary
from .peer_topology import PeerTopology, VmPlace

# Interval of the reports to one peer in a small fleet.
REPORT_PERIOD_MS = 100.0
# The same between a VM and the relay of its zone, and between two relays.
MEMBER_PERIOD_MS = 500.0
RELAY_PERIOD_MS = 250.0
# A peer without a report for this long counts as unreachable. In a large fleet a report
# passes two relays.
PEER_TIMEOUT_MS = 700.0
RELAYED_TIMEOUT_MS = 2_000.0
# Time without a report after which a relay says that a VM of its zone is lost, and a VM
# uses another relay.
MEMBER_TIMEOUT_MS = 1_250.0
RELAY_TIMEOUT_MS = 800.0
# A VM that was not heard of for this long is removed.
PEER_EXPIRY_MS = 20_000.0
# Interval at which silent VMs are looked for, in a small and in a large fleet.
LIVE_CACHE_MS = 50.0
RELAYED_LIVE_CACHE_MS = 200.0
# In a large fleet a VM's state gets a new sequence number at least this often. The
# relays that hear the VM may change without a change of its state, and a VM that was
# told by a former relay takes the word of another one only for a newer state.
STATE_REFRESH_MS = 2_000.0
# Parts of a VM's state on which the roles of the reachable VMs depend.
LIVE_FIELDS = (
    "started_ms",
    "address",
    "zone",
    "capacity",
    "stopping",
    "store_reachable",
    "fence",
    "voucher",
    "lost",
)
# Interval at which a VM tells the others which tokens it charged, in a large fleet.
USE_INTERVAL_MS = 500.0


class Link:
    """What is known about the exchange with one peer.

    Parameters
    ----------
    started_ms : int
        Start of the peer to which this applies.
    """

    __slots__ = (
        "started_ms",
        "received_version",
        "acked_version",
        "positions",
        "heard_ms",
        "wants_demand",
        "running_sent_ms",
        "built_ms",
        "built_heard_ms",
    )

    def __init__(self, started_ms):
        self.started_ms = started_ms
        # Version of the peer's state up to which this VM has all changes.
        self.received_version = 0
        # Version of this VM's state up to which the peer has all changes.
        self.acked_version = 0
        # Stream of the store -> the peer's `StreamPosition`.
        self.positions = {}
        self.heard_ms = -float("inf")
        # Whether the peer needs the demand of all VMs, to send orders.
        self.wants_demand = False
        # When this VM last reported its running requests to the peer.
        self.running_sent_ms = -float("inf")
        # The peer's monotonic time in its last report, and when that came.
        self.built_ms = None
        self.built_heard_ms = 0.0

    def record_built(self, built_ms, now_ms):
        """Record the peer's monotonic time as of which it built a report."""
        if self.built_ms is None or built_ms > self.built_ms:
            self.built_ms, self.built_heard_ms = built_ms, now_ms

    def echo(self, now_ms):
        """Return the `VmReport.echo` for a report to the peer."""
        if self.built_ms is None:
            return None
        return [self.built_ms, math.floor(now_ms - self.built_heard_ms)]


class PeerTable:
    """The states of all VMs, and whether they are reachable.

    Parameters
    ----------
    own : VmState
        This VM's own state; `set_own` changes it.
    counter : ChangeCounter
    """

    def __init__(self, own, counter):
        self.own = own
        self.own.voucher = own.vm
        self.own_name = own.vm
        # Name -> VmState of each other VM that was heard of.
        self.states = {}
        # Name -> Link of each VM that has sent reports to this one.
        self.links = {}
        # Name -> VmPlace of each other VM that may be running.
        self.places = {}
        # Name -> when this VM learned of a VM that it has not heard of since.
        self._unheard_ms = {}
        # Name -> version of this VM's knowledge at which a place was new, in order.
        self._place_versions = {}
        # VMs to which this VM's exchanges fail.
        self.failing = set()
        self._counter = counter
        # Name -> version of this VM's knowledge at the last change, in this order.
        self._versions = {own.vm: counter.next()}
        # Name -> the peer that reported its state.
        self._sources = {}
        # VM that hears others -> time at which it was last known to go on.
        self._vouched_ms = {}
        self._heard_ms = {}
        self._use_told_ms = -float("inf")
        self._bumped_ms = -float("inf")
        self._topology = None
        self._relay = None
        # Names of the VMs that vouch for others; None after a change of them.
        self._vouchers = None
        # Names of the VMs for which this VM vouches; None after a change of them.
        self._own_vouched = None
        # Names of the reachable VMs, with the time and the timeout by which they were
        # determined, and the time until which none of them can become unreachable.
        self._live = None
        self._live_ms = 0.0
        self._live_timeout_ms = 0.0
        self._live_until_ms = 0.0
        # Grows whenever other VMs may be reachable than before.
        self.live_version = 0
        # Until then no VM was silent for `PEER_EXPIRY_MS`.
        self._expiry_ms = -float("inf")
        self._sending = None
        self._reader_rank = None
        # (number, highest fence, name of the holder) of the reachable VMs.
        self._roles = None
        # Peer -> whether its requests count, in the current topology.
        self._counted = {}
        # Names of the linked peers, None after a change; the time at which they were
        # determined, and the time until which none of them can become silent.
        self._linked = None
        self._linked_ms = 0.0
        self._linked_until_ms = 0.0

    # Links.

    @property
    def topology(self):
        """The current `PeerTopology`."""
        if self._topology is None:
            own = VmPlace(
                self.own_name, self.own.address, self.own.zone, self.own.capacity
            )
            self._topology = PeerTopology(own, self.places, self.failing)
            self._counted = {}
            self._linked = None
            if self._topology.relay != self._relay:
                self._relay = self._topology.relay
                # A new sequence number, because the new relay vouches for this VM.
                self._bump_own()
        return self._topology

    def add_place(self, place):
        """Add a VM that may be running, unless more is known about it already.

        Seed addresses are added without the names and zones of their VMs.
        """
        known = self.places.get(place.name)
        if known is not None and (known.zone is not None or place.zone is None):
            return
        for name, other in list(self.places.items()):
            if other.address != place.address:
                continue
            if place.zone is None:
                return
            if other.zone is None:
                del self.places[name]
        self.places[place.name] = place
        self._topology = None

    def learn_place(self, place, now_ms):
        """Add a VM that the store or a peer names; it counts until it is silent."""
        if (
            place.name == self.own_name
            or place.address == self.own.address
            or place.name in self.places
            or any(state.address == place.address for state in self.states.values())
        ):
            return
        self.add_place(place)
        if place.zone is not None:
            self._unheard_ms[place.name] = now_ms
            self._sending = None
            self._mark_place(place.name)

    def _mark_place(self, name):
        self._place_versions.pop(name, None)
        self._place_versions[name] = self._counter.next()

    def places_for(self, peer, since_version):
        """Return the places that a peer lacks and that no state tells it."""
        is_mesh = self.topology.is_mesh
        places = []
        for name, version in reversed(self._place_versions.items()):
            if version <= since_version:
                break
            is_told = name in self._unheard_ms or (is_mesh and name in self.states)
            if is_told and name in self.places and name != peer:
                places.append(self.places[name])
        return places

    def unheard_vms(self):
        """Return the names of the VMs that may be running but were not heard of."""
        return self._unheard_ms.keys()

    def names_all_to(self, peer):
        """Return whether a peer hears of all VMs that this VM knows."""
        place = self.places.get(peer)
        return self.topology.is_mesh or place is None or place.zone == self.own.zone

    def set_failing(self, name, failing):
        """Record whether the exchanges with a VM fail; return whether that is new."""
        if (name in self.failing) == failing:
            return False
        if failing:
            self.failing.add(name)
        else:
            self.failing.discard(name)
        self._topology = None
        return True

    def link(self, name):
        """Return the `Link` of a peer, or None before its first report."""
        return self.links.get(name)

    def period_ms(self, name):
        """Return the interval of the reports to a peer."""
        topology = self.topology
        if topology.is_mesh:
            return REPORT_PERIOD_MS
        return RELAY_PERIOD_MS if name in topology.relays else MEMBER_PERIOD_MS

    def link_timeout_ms(self, name):
        """Return how long the requests that a peer reported count without news."""
        topology = self.topology
        if topology.is_mesh:
            return PEER_TIMEOUT_MS
        return RELAY_TIMEOUT_MS if name in topology.relays else MEMBER_TIMEOUT_MS

    def is_linked(self, name, now_ms):
        """Return whether a peer reports to this VM and its requests count."""
        link = self.links.get(name)
        return (
            link is not None
            and now_ms - link.heard_ms <= self.link_timeout_ms(name)
            and self._counts(name)
        )

    def _counts(self, name):
        """Return whether the requests that a peer reports are to be counted."""
        topology = self.topology
        counts = self._counted.get(name)
        if counts is None:
            counts = self._counted[name] = topology.counts(name, self.places)
        return counts

    def linked_names(self, now_ms):
        """Return the names of all linked peers."""
        topology = self.topology
        if (
            self._linked is None
            or not self._linked_ms <= now_ms <= self._linked_until_ms
        ):
            self._linked = self._find_linked(topology, now_ms)
            self._linked_ms = now_ms
            self._linked_until_ms = min(
                (
                    self.links[name].heard_ms + self.link_timeout_ms(name)
                    for name in self._linked
                ),
                default=float("inf"),
            )
        return self._linked

    def _find_linked(self, topology, now_ms):
        if topology.is_mesh:
            return [
                name
                for name, link in self.links.items()
                if now_ms - link.heard_ms <= PEER_TIMEOUT_MS and self._counts(name)
            ]
        # Most links of a VM that others once contacted are silent.
        relays = topology.relays
        return [
            name
            for name, link in self.links.items()
            if now_ms - link.heard_ms <= MEMBER_TIMEOUT_MS
            and (name not in relays or now_ms - link.heard_ms <= RELAY_TIMEOUT_MS)
            and self._counts(name)
        ]

    def next_hop(self, name):
        """Return the peer through which a VM is reached."""
        topology = self.topology
        if topology.is_mesh or topology.relay is None:
            state = self.states.get(name)
            if topology.is_mesh or state is None or state.zone == self.own.zone:
                return name
            for relay in topology.relays:
                if self.places[relay].zone == state.zone:
                    return relay
            return name
        return topology.relay

    # States.

    def set_own(self, now_ms, used_tokens, **flags):
        """Update this VM's own state.

        Parameters
        ----------
        now_ms : float
        used_tokens : dict of str to float
        **flags
            `stopping`, `store_reachable` and `fence`.

        Returns
        -------
        bool
            Whether a flag changed, which the others should hear of soon.
        """
        changed = [
            name for name, value in flags.items() if getattr(self.own, name) != value
        ]
        for name in changed:
            setattr(self.own, name, flags[name])
        interval_ms = 0.0 if self.topology.is_mesh else USE_INTERVAL_MS
        use_due = (
            now_ms - self._use_told_ms >= interval_ms
            and used_tokens != self.own.used_tokens
        )
        if use_due:
            self._use_told_ms = now_ms
            self.own.used_tokens = dict(used_tokens)
        refresh_due = (
            not self.topology.is_mesh and now_ms - self._bumped_ms >= STATE_REFRESH_MS
        )
        if changed or use_due or refresh_due:
            self._bumped_ms = now_ms
            self._bump_own()
        return bool(changed)

    def _bump_own(self):
        self.own.sequence += 1
        self._mark_changed(self.own_name)

    def _mark_changed(self, name):
        self._versions.pop(name, None)
        self._versions[name] = self._counter.next()

    def on_contact(self, name, started_ms, now_ms):
        """Record that a peer's own report has arrived.

        Returns
        -------
        Link or None
            None if the report is of an earlier start of the peer.
        """
        link = self.links.get(name)
        if link is not None and started_ms < link.started_ms:
            return None
        if link is None or started_ms > link.started_ms:
            link = self.links[name] = Link(started_ms)
        if now_ms - link.heard_ms > PEER_TIMEOUT_MS:
            self._forget_live()
        if self._linked is not None and name not in self._linked:
            self._linked = None
        link.heard_ms = now_ms
        self._heard_ms[name] = now_ms
        self._vouched_ms[name] = now_ms
        self.set_failing(name, False)
        state = self.states.get(name)
        if state is not None and state.lost and state.voucher == self.own_name:
            state.lost = False
            self._forget_live()
            self._mark_changed(name)
        return link

    def apply_states(self, states, source, now_ms):
        """Apply the states in a peer's report.

        Returns
        -------
        list of (VmState or None, VmState)
            Those that were new to this VM, each with the one before.
        """
        applied = []
        for state in states:
            if state.vm == self.own_name:
                continue
            if state.vm == source:
                # This VM hears it directly.
                state.voucher = source if self.topology.is_mesh else self.own_name
                state.lost = False
            known = self.states.get(state.vm)
            if known is not None and not _is_newer(state, known, source):
                continue
            self.states[state.vm] = state
            self._sources[state.vm] = source
            self._mark_changed(state.vm)
            self._heard_ms.setdefault(state.vm, now_ms)
            if self._unheard_ms.pop(state.vm, None) is not None:
                self._sending = None
            if known is None:
                self._mark_place(state.vm)
            self._replace_live(known, state)
            self._place(state)
            applied.append((known, state))
        return applied

    def _replace_live(self, known, state):
        """Keep the set of reachable VMs unless a state changes what depends on it."""
        if known is None or known.voucher != state.voucher:
            self._vouchers = self._own_vouched = None
        if known is None or any(
            getattr(known, name) != getattr(state, name) for name in LIVE_FIELDS
        ):
            self._forget_live()

    def _forget_live(self):
        """Determine which VMs are reachable anew when that is next asked for."""
        self._live = self._sending = None
        self._expiry_ms = -float("inf")
        self.live_version += 1

    def _place(self, state):
        known = self.places.get(state.vm)
        if state.stopping:
            if known is not None:
                del self.places[state.vm]
                self._place_versions.pop(state.vm, None)
                self._topology = None
            return
        if (
            known is not None
            and known.zone == state.zone
            and known.address == state.address
            and known.capacity == state.capacity
        ):
            return
        for name, place in list(self.places.items()):
            if place.address == state.address and name != state.vm:
                # An address may be used again by a new VM.
                del self.places[name]
                self._unheard_ms.pop(name, None)
                self._sending = None
        self.places[state.vm] = VmPlace(
            state.vm, state.address, state.zone, state.capacity
        )
        self._topology = None

    def states_for(self, peer, since_version):
        """Return the states that a peer lacks, this VM's own included."""
        place = self.places.get(peer)
        # The relay of another zone hears of the VMs of the other zones by their relays.
        own_zone_only = place is not None and place.zone != self.own.zone
        is_mesh = self.topology.is_mesh
        states = []
        for name, version in reversed(self._versions.items()):
            if version <= since_version:
                break
            if name == peer:
                continue
            if name == self.own_name:
                states.append(self.own)
                continue
            state = self.states[name]
            if (
                not is_mesh
                and self._sources[name] != peer
                and (not own_zone_only or state.zone == self.own.zone)
            ):
                states.append(state)
        states.reverse()
        return states

    def vouched_ages(self, peer, now_ms):
        """Return the age of what this VM knows through others, by voucher."""
        if self.topology.is_mesh:
            return {}
        if self._vouchers is None:
            self._vouchers = {state.voucher for state in self.states.values()}
        return {
            name: round(now_ms - self._vouched_ms[name])
            for name in self._vouchers
            if name in self._vouched_ms and name != peer
        }

    def on_vouched(self, ages, now_ms):
        """Apply the ages in a peer's report."""
        oldest_ms = now_ms - self.timeout_ms()
        for name, age_ms in ages.items():
            at_ms = now_ms - age_ms
            known_ms = self._vouched_ms.get(name, -float("inf"))
            if at_ms > known_ms:
                self._vouched_ms[name] = at_ms
                if known_ms < oldest_ms:
                    self._forget_live()

    def all_heard_ms(self):
        """Return when each VM was last known to go on, by name."""
        own_name, never_ms = self.own_name, -float("inf")
        heard_ms, vouched_ms = self._heard_ms, self._vouched_ms
        times_ms = {}
        for name, state in self.states.items():
            at_ms = heard_ms.get(name, never_ms)
            voucher = state.voucher
            if voucher != own_name and not state.lost:
                at_ms = max(at_ms, vouched_ms.get(voucher, never_ms))
            times_ms[name] = at_ms
        return times_ms

    def mark_lost(self, now_ms):
        """Say of silent VMs for which this VM vouches that they are lost.

        Returns
        -------
        list of str
        """
        if self._own_vouched is None:
            self._own_vouched = [
                name
                for name, state in self.states.items()
                if state.voucher == self.own_name
            ]
        lost = []
        oldest_ms = now_ms - MEMBER_TIMEOUT_MS
        for name in self._own_vouched:
            state = self.states[name]
            if not state.lost and self._heard_ms[name] < oldest_ms:
                state.lost = True
                self._forget_live()
                self._mark_changed(name)
                lost.append(name)
        return lost

    def timeout_ms(self):
        """Return the time without news after which a VM counts as unreachable."""
        return PEER_TIMEOUT_MS if self.topology.is_mesh else RELAYED_TIMEOUT_MS

    def remove_expired(self, now_ms):
        """Remove VMs that were not heard of for long; return their names."""
        for name, learned_ms in list(self._unheard_ms.items()):
            if now_ms - learned_ms > PEER_EXPIRY_MS:
                del self._unheard_ms[name]
                self._sending = None
        if now_ms <= self._expiry_ms:
            return []
        heard_ms = self.all_heard_ms()
        expired = [
            name for name, at_ms in heard_ms.items() if now_ms - at_ms > PEER_EXPIRY_MS
        ]
        if expired:
            self._vouchers = self._own_vouched = self._linked = None
            self._forget_live()
        else:
            first_ms = min(heard_ms.values(), default=float("inf"))
            self._expiry_ms = first_ms + PEER_EXPIRY_MS
        for name in expired:
            for table in (self.states, self.links, self._versions, self._sources):
                table.pop(name, None)
            self._heard_ms.pop(name, None)
            self._vouched_ms.pop(name, None)
        return expired

    def review_interval_ms(self):
        """Return the interval at which silent VMs are looked for."""
        return LIVE_CACHE_MS if self.topology.is_mesh else RELAYED_LIVE_CACHE_MS

    def _update_live(self, now_ms):
        """Determine the reachable VMs, unless nothing can have changed."""
        timeout_ms = self.timeout_ms()
        if (
            self._live is not None
            and self._live_timeout_ms == timeout_ms
            and self._live_ms <= now_ms <= self._live_until_ms
        ):
            return
        oldest_ms = now_ms - timeout_ms
        heard_ms = self.all_heard_ms()
        self._live = [
            name
            for name, at_ms in heard_ms.items()
            if at_ms >= oldest_ms and not self.states[name].lost
        ]
        first_ms = min((heard_ms[name] for name in self._live), default=float("inf"))
        self._live_ms, self._live_timeout_ms = now_ms, timeout_ms
        self._live_until_ms = first_ms + timeout_ms
        self._reader_rank = self._roles = None

    def live_states(self, now_ms):
        """Return the states of all reachable VMs."""
        self._update_live(now_ms)
        return [self.states[name] for name in self._live]

    def vm_count(self, now_ms):
        """Return how many VMs may be sending requests, including this one."""
        return len(self.sending_vms())

    def sending_vms(self):
        """Return the names of the VMs that may be sending requests, with this one."""
        if self._sending is None:
            names = [s.vm for s in self.states.values() if not s.stopping]
            self._sending = sorted([self.own_name, *names, *self._unheard_ms])
        return self._sending

    def store_reader_rank(self, now_ms):
        """Return this VM's rank among the VMs that can read the store."""
        self._update_live(now_ms)
        if self._reader_rank is None:
            own_rank = self.own.rank
            self._reader_rank = sum(
                state.store_reachable and not state.stopping and state.rank < own_rank
                for state in self.live_states(now_ms)
            )
        return self._reader_rank

    def _update_roles(self, now_ms):
        """Return `_roles`; of those that stop only the holder counts."""
        self._update_live(now_ms)
        if self._roles is None:
            live = self.live_states(now_ms)
            fences = [state.fence for state in live if not state.stopping]
            holders = [state for state in live if state.fence]
            holder = max(holders, key=lambda state: state.fence, default=None)
            name = None if holder is None else holder.vm
            self._roles = (len(fences), max(fences, default=0), name)
        return self._roles

    def peer_summary(self, now_ms):
        """Return the state of the peers on which the order lease depends."""
        reachable, fence, _ = self._update_roles(now_ms)
        return PeerSummary(reachable, len(self.sending_vms()) - 1, fence)

    def holder(self, now_ms):
        """Return the state of the VM that holds the order lease, or None."""
        name = self._update_roles(now_ms)[2]
        return None if name is None else self.states[name]


def _is_newer(state, known, source):
    """Return whether a reported state replaces the known one of the same VM."""
    if state.age_order != known.age_order:
        return state.age_order > known.age_order
    if state.voucher != known.voucher:
        return state.vm == source
    # The VM that hears it directly says that it is lost, or no longer is.
    return state.lost != known.lost
