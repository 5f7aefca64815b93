"""Detects which VMs and backend servers are live, leaving or gone."""

from .records import SuspectVm
from .zone_state import vm_name

LIVE = "live"
LEAVING = "leaving"
GONE = "gone"
UNKNOWN = "unknown"

ENTRY = "entry"
BACKEND = "backend"

PROBE_INTERVAL_MS = 1_000
# A VM is suspected to have stopped after this many failed probes in a row, if they
# span at least SUSPECT_AFTER_MS.
SUSPECT_AFTER_FAILURES = 3
SUSPECT_AFTER_MS = 3_000
# If the suspect is still registered after this time, the record that reports it is
# written again.
SUSPECT_RETRY_MS = 10_000
# Each VM probes this many of its successors in the ring of VM names. If each VM probed
# all others, a zone of 133 VMs would send 17,000 probes a second.
PROBED_SUCCESSORS = 3


class _ProbeState:
    """Results of the latest probes of one VM."""

    __slots__ = ("identity", "leaving", "answered_ms", "failures", "first_failure_ms")

    def __init__(self):
        self.identity = ""
        self.leaving = False
        self.answered_ms = None
        self.failures = 0
        self.first_failure_ms = None


class ProbeTarget:
    """Name and address of a VM to probe."""

    __slots__ = ("name", "address")

    def __init__(self, name, address):
        self.name = name
        self.address = address


class Membership:
    """Decides the state of VMs from three sources, none of which is reliable alone.

    The VM list is updated late, so it can show VMs that have ended and miss VMs that
    run. A registration in the zone state stays when its VM crashes. A probe shows only
    whether a VM can be reached from this one.

    Parameters
    ----------
    vm : str
        Identity of this VM.
    zone : str
    new_id : callable
        Returns a unique record id.
    """

    def __init__(self, vm, zone, new_id):
        self.vm = vm
        self.zone = zone
        self._new_id = new_id
        self._listed = {}
        self._members = {}
        self._probe_states = {}
        self._probe_due_ms = 0.0
        self._suspected_ms = {}
        self._leaving_backends = set()
        self._peer_leaving_backends = {}

    def on_vm_list(self, listed):
        """Update from the VM list.

        A backend server that was listed as leaving and is no longer listed counts as
        leaving until it is listed as live again.

        Parameters
        ----------
        listed : iterable of ListedVm
            Entries of entry VMs and backend servers.
        """
        self._listed = {}
        for entry in listed:
            if entry.kind == ENTRY:
                self._listed[entry.name] = entry
            elif entry.state == LEAVING:
                self._leaving_backends.add(entry.name)
            else:
                self._leaving_backends.discard(entry.name)

    def on_members(self, members):
        """Update from the registered members of the zone.

        Parameters
        ----------
        members : dict of str to Member
            Members by VM name.
        """
        for name, member in members.items():
            probe_state = self._probe_states.get(name)
            if probe_state is not None and probe_state.identity not in (
                "",
                member.identity,
            ):
                # The VM restarted under the same name, so the probes of the previous
                # process say nothing about the new one.
                del self._probe_states[name]
        self._members = dict(members)
        # Forgets the suspicions of VMs that are not registered, so that one that
        # registers again under the same identity can be suspected at once.
        current = {member.identity for member in members.values()}
        self._suspected_ms = {
            identity: at_ms
            for identity, at_ms in self._suspected_ms.items()
            if identity in current
        }

    def due_probes(self, now_ms, probe_all=False):
        """Return the VMs of the zone to probe now.

        Parameters
        ----------
        now_ms : float
        probe_all : bool
            Probe all VMs of the zone and not only the successors of this one.

        Returns
        -------
        list of ProbeTarget
        """
        if now_ms < self._probe_due_ms:
            return []
        self._probe_due_ms = now_ms + PROBE_INTERVAL_MS
        own_name = vm_name(self.vm)
        addresses = {
            entry.name: entry.address
            for entry in self._listed.values()
            if entry.zone == self.zone
        }
        addresses.update((m.name, m.address) for m in self._members.values())
        names = sorted(addresses.keys() - {own_name})
        after = [name for name in names if name > own_name]
        ring = after + names[: len(names) - len(after)]
        # Members come first, because only registered VMs can be suspected.
        ring.sort(key=lambda name: name not in self._members)
        self._forget_unprobed(set(names))
        if not probe_all:
            ring = ring[:PROBED_SUCCESSORS]
        return [ProbeTarget(name, addresses[name]) for name in ring]

    def _forget_unprobed(self, names):
        self._probe_states = {
            name: probe_state
            for name, probe_state in self._probe_states.items()
            if name in names
        }
        self._peer_leaving_backends = {
            name: backends
            for name, backends in self._peer_leaving_backends.items()
            if name in names
        }

    def on_probe_answer(self, name, identity, leaving, now_ms, leaving_backends=()):
        """Record a VM's answer to a probe.

        Parameters
        ----------
        name : str
            Name of the VM that was probed.
        identity : str
            Identity of the VM that answered.
        leaving : bool
            Whether that VM is stopping.
        now_ms : float
        leaving_backends : iterable of str
            Backend servers that are leaving according to that VM's VM list.
        """
        if vm_name(identity) != name:
            # The address now belongs to another VM.
            self.on_probe_failure(name, now_ms)
            return
        probe_state = self._probe_states.setdefault(name, _ProbeState())
        probe_state.identity = identity
        probe_state.leaving = leaving
        probe_state.answered_ms = now_ms
        probe_state.failures = 0
        probe_state.first_failure_ms = None
        self._peer_leaving_backends[name] = frozenset(leaving_backends)

    def on_probe_failure(self, name, now_ms):
        """Record that a VM did not answer a probe."""
        probe_state = self._probe_states.setdefault(name, _ProbeState())
        probe_state.failures += 1
        if probe_state.first_failure_ms is None:
            probe_state.first_failure_ms = now_ms

    def state_of(self, name, now_ms):
        """Return the state of an entry VM of this zone.

        Returns
        -------
        str
            ``live``, ``leaving``, ``gone`` or ``unknown``. It is ``unknown`` if the
            VM is listed but neither registered nor probed with success.
        """
        probe_state = self._probe_states.get(name)
        listed = self._listed.get(name)
        if probe_state is not None and self._is_unresponsive(probe_state, now_ms):
            return GONE
        if probe_state is not None and probe_state.answered_ms is not None:
            leaving = probe_state.leaving or (
                listed is not None and listed.state == LEAVING
            )
            return LEAVING if leaving else LIVE
        if listed is not None and listed.state == LEAVING:
            return LEAVING
        if name in self._members:
            return LIVE
        return UNKNOWN if listed is not None else GONE

    def suspicions(self, now_ms):
        """Return the records that report registered VMs as stopped.

        A VM is suspected if it does not answer probes, or if another incarnation of
        it answers.

        Returns
        -------
        list of SuspectVm
        """
        records = []
        for name, member in self._members.items():
            probe_state = self._probe_states.get(name)
            if probe_state is None or name == vm_name(self.vm):
                continue
            replaced = probe_state.identity not in ("", member.identity)
            if not replaced and not self._is_unresponsive(probe_state, now_ms):
                continue
            written_ms = self._suspected_ms.get(member.identity)
            if written_ms is not None and now_ms < written_ms + SUSPECT_RETRY_MS:
                continue
            self._suspected_ms[member.identity] = now_ms
            records.append(SuspectVm(self._new_id(), self.vm, name, member.incarnation))
        return records

    def leaving_backends(self):
        """Return the backend servers that the VM list or a peer says are leaving.

        Returns
        -------
        frozenset of str
        """
        return frozenset(self._leaving_backends).union(
            *self._peer_leaving_backends.values()
        )

    def own_leaving_backends(self):
        """Return the backend servers that this VM's own VM list says are leaving.

        Probe answers carry only these. If VMs also passed on what peers report, a name
        would circulate among them after the VM list has dropped it.
        """
        return frozenset(self._leaving_backends)

    def is_listed(self, name):
        """Whether the VM list has an entry VM with this name in any zone."""
        return name in self._listed

    def addresses_by_zone(self):
        """Return the addresses of listed and registered entry VMs by zone and name.

        Returns
        -------
        dict of str to dict of str to str
            For this zone, the address of a registration overrides the listed one.
        """
        zones = {}
        for entry in self._listed.values():
            zones.setdefault(entry.zone, {})[entry.name] = entry.address
        own = zones.setdefault(self.zone, {})
        own.update((m.name, m.address) for m in self._members.values())
        return zones

    def _is_unresponsive(self, probe_state, now_ms):
        return (
            probe_state.failures >= SUSPECT_AFTER_FAILURES
            and now_ms - probe_state.first_failure_ms >= SUSPECT_AFTER_MS
        )
