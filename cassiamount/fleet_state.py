"""State of one VM in front of a fleet, updated from the store and peers' reports."""

import collections
import math

import structlog

from .change_counter import ChangeCounter
from .cold_servers import COLD_WINDOW_MS, FIRST_LIST_MS, ColdServers
from .crash_quarantine import CrashQuarantine
from .engine_residency import RESIDENCY_EXPIRY_MS, EngineResidency
from .fleet_demand import FleetDemand
from .fleet_reports import StreamPosition, StreamRecords, VmReport
from .fleet_view import FleetView
from .key_freshness import KeyFreshness, StreamFreshness
from .metadata_store import (
    BACKENDS,
    CONFIGURATION,
    CONFIGURATION_KEY,
    FROM_STORE,
    KeyedView,
)
from .order_lease import LEASE_CANDIDATES, OrderLease
from .peer_table import REPORT_PERIOD_MS, PeerTable
from .peer_topology import OTHERS, OWN, ZONE, VmPlace
from .replica_load import ReplicaLoads
from .request_limits import RequestLimits
from .request_rates import RequestRate
from .server_notices import ServerNotices
from .shared_quota import SharedQuota
from .shared_retries import SharedRetryBudget
from .software_versions import SoftwareVersions
from .store_position import era_of
from .vm_state import VmState
from .zone_evacuation import ZoneEvacuations

# In a small fleet a VM relays records that a peer reported only to VMs that still lack
# them after this many report periods, because the VM that read the store reports them
# to all.
RELAY_DELAY_PERIODS = 2.0
# Positions in a stream, as received from peers, that are kept for this decision.
MAX_RELAYED_POSITIONS = 64
# In a large fleet running requests are reported again after this part of the report
# period, and not with each report in between.
RUNNING_PERIOD_FRACTION = 0.8
# For this long after a failed call to the store, a backend server whose entry is
# missing stays in use for the grace time, because the entry may reappear.
STORE_RECOVERY_WINDOW_MS = 4_000.0
MISSING_ENTRY_GRACE_MS = 900.0
# The same for entries that the store has lost by coming back from an older copy: their
# servers write them again with the next heartbeat.
LOST_ENTRY_GRACE_MS = 2_000.0
# Time after a new era of the store from which its configuration counts as current. The
# operator writes the one that the store has lost again until then.
ERA_SETTLE_MS = 1_500.0
# After its start a VM waits this long for a peer to tell what the store has, instead of
# reading it as well.
PEER_GRACE_MS = 1_000.0
# The same for a relay to tell of all VMs.
FLEET_GRACE_MS = 2_000.0
# A VM that hears no other one and has had no proof of its list of backend servers for
# this long, the time of two heartbeats, may have missed that servers became cold.
UNSURE_AGE_MS = 3_000.0
# Time after the start in which a VM may hear of streams that began before it.
HEARSAY_MS = 3_000.0

log = structlog.get_logger()


class FleetState:
    """What one VM knows about the fleet, and how it applies updates.

    Parameters
    ----------
    settings : VmSettings
    decoder : object
        `configuration(bytes)` and `backend(name, bytes)`; both raise ValueError.
    clock : SystemClock or ManualClock
    started_ms : int
        Wall-clock time at which this VM started.
    """

    def __init__(self, settings, decoder, clock, started_ms):
        self.settings = settings
        self.clock = clock
        now_ms = clock.monotonic_ms()
        self.configuration = None
        self._counter = ChangeCounter()
        self.notices = ServerNotices(self._counter)
        self.evacuations = ZoneEvacuations(settings.evacuate_ms)
        self.view = FleetView(self.notices, self.evacuations)
        self.peers = PeerTable(
            VmState(
                settings.vm_name,
                settings.zone,
                settings.peer_address,
                started_ms,
                capacity=settings.processor_cores,
            ),
            self._counter,
        )
        self.quota = SharedQuota(settings.first_start, clock.started_ms)
        self.quota.find_heard_ms = self.peers.all_heard_ms
        self.retry_budget = SharedRetryBudget(
            settings.retry_ratio, settings.retry_slack, settings.retry_window_s * 1000
        )
        self.key_freshness = KeyFreshness(settings.key_limit_ms)
        self.backends_freshness = StreamFreshness()
        self.streams = {
            CONFIGURATION: KeyedView(
                rank=self._rank_configuration, keeps_lost=True, counter=self._counter
            ),
            BACKENDS: KeyedView(
                self._same_backend, self._rank_backend, counter=self._counter
            ),
        }
        # Stream -> (next offset, time received) of records that peers reported; empty
        # if this VM reads the stream itself.
        self._peer_positions = {
            name: collections.deque(maxlen=MAX_RELAYED_POSITIONS)
            for name in self.streams
        }
        # Streams with records in the view that failed to be applied to the rest.
        self._half_applied = set()
        # Until a call fails, so that VMs that start together agree on who reads.
        self.store_reachable = True
        self.store_failed_ms = -float("inf")
        self.stopping = False
        self.demand = FleetDemand(self.view, self._counter)
        self.listeners = []
        self.lease = OrderLease(settings.order_turn_ms, now_ms)
        self.residency = EngineResidency(self._counter)
        self.quarantine = CrashQuarantine(self._counter)
        cold = ColdServers(
            settings.vm_name,
            self._cold_senders,
            self.evacuations,
            settings.cold_overrun,
            settings.cold_slack,
        )
        cold.is_unsure = True
        self.limits = RequestLimits(
            settings.vm_name, self._counter, self.peers.sending_vms, cold
        )
        self.loads = ReplicaLoads(self._counter)
        # Whether this VM has been told of all others since its start. Before that it
        # cannot know which part of a shared limit it may use.
        self.knows_fleet = False
        self.software = SoftwareVersions(
            self._counter, -float("inf") if settings.first_start else now_ms
        )
        self._wants_demand = False
        self._reviewed_ms = -float("inf")
        # What the share of the quota was last determined by.
        self._quota_basis = None
        # Peers whose requests the views of backend servers count; None after a change
        # of these.
        self._counted_peers = None
        self._decoder = decoder
        self._started_ms = started_ms
        # Monotonic time of the start.
        self._begun_ms = now_ms
        # VMs whose last state said that they stop.
        self._stopped_vms = set()
        # Backend server -> (offset of its entry, BackendRecord).
        self._records = {}
        # Whether this VM has had a list of the backend servers.
        self._has_list = False
        # Time until which orders that an older copy of the store has again may be
        # removed again, and whether any such order waits for it.
        self._restored_until_ms = -math.inf
        self._has_doubtful_orders = False
        # Backend server -> offset of its entry that could not be decoded.
        self._unreadable = {}
        # Backend server -> time since which its entry is missing.
        self._missing_since_ms = {}
        # Backend server -> time until which its entry, which the store lost, is kept.
        self._lost_until_ms = {}
        # Time from which the configuration of the store's era counts as current, and
        # time from which its list of backend servers lacks none.
        self._settled_ms = now_ms
        self._relisted_ms = now_ms

    def now_ms(self):
        """Return the monotonic time to which all times here refer."""
        return self.clock.monotonic_ms()

    def notify(self):
        """Notify the listeners of a change for which requests may be waiting."""
        for listener in self.listeners:
            listener()

    # Records of the metadata store.

    def freshness_of(self, stream):
        """Return the `StreamFreshness` of a stream: when its records were current."""
        return (
            self.key_freshness if stream == CONFIGURATION else self.backends_freshness
        )

    @property
    def store_era(self):
        """Latest era of the store that this VM knows of."""
        offsets = [view.next_offset for view in self.streams.values()]
        return max((era_of(n) for n in offsets if n is not None), default=0)

    def staleness_ms(self, stream):
        """Return the age of a stream's records; it begins with the grace time."""
        now_ms = self.now_ms()
        begun_ms = self._begun_ms + PEER_GRACE_MS
        return min(self.freshness_of(stream).age_ms(now_ms), now_ms - begun_ms)

    def list_age_ms(self, now_ms):
        """Return the time since no live backend server was missing from the list."""
        if now_ms < self._relisted_ms:
            # Servers may not have written the entries that the store lost again yet.
            return float("inf")
        return self.backends_freshness.age_ms(now_ms)

    def awaits_peers(self):
        """Return whether this VM has just started and will soon hear of its peers."""
        return (
            bool(self.peers.places)
            and not self.peers.links
            and self.now_ms() - self._begun_ms < PEER_GRACE_MS
        )

    def awaits_fleet(self):
        """Return whether a relay will soon tell this VM of all others."""
        relay = self.peers.topology.relay
        now_ms = self.now_ms()
        return (
            not self.knows_fleet
            and relay is not None
            and self.peers.is_linked(relay, now_ms)
            and now_ms - self._begun_ms < FLEET_GRACE_MS
        )

    def learn_vms(self, places, names_all):
        """Apply the places of VMs that the store or a peer names.

        Parameters
        ----------
        places : list of VmPlace
        names_all : bool
            Whether there are no others.
        """
        now_ms = self.now_ms()
        for place in places:
            self.peers.learn_place(place, now_ms)
        if names_all and not self.knows_fleet:
            self._review_quota(now_ms)
            self.knows_fleet = True
            log.info(
                "fleet_known",
                vms=self.peers.vm_count(now_ms),
                unheard=sorted(self.peers.unheard_vms()),
                share=self.quota.share,
            )
            self._review_certainty(now_ms)
            self.notify()

    def is_starting(self):
        """Return whether this VM may still hear of what was before its start."""
        return (
            not self.software.is_complete
            and self.now_ms() - self._begun_ms < HEARSAY_MS
        )

    def seeks_lease(self, is_member):
        """Return whether this VM asks the store for the order lease, or keeps it.

        A few VMs are enough to replace a holder, and each further one costs calls to
        the store and changes of the group. A member of the group stays in it for
        longer, because the store may have passed the lease on to it already.

        Parameters
        ----------
        is_member : bool
            Whether this VM has asked for the lease before.
        """
        if self.awaits_peers():
            return False
        candidates = LEASE_CANDIDATES * (2 if is_member else 1)
        rank = self.peers.store_reader_rank(self.now_ms())
        return self.lease.granted or rank < candidates

    def confirm(self, stream, source, next_offset, as_of_ms):
        """Record that a stream had no records after an offset at some time.

        Parameters
        ----------
        stream, source : str
            As in `on_records`.
        next_offset : int
        as_of_ms : float
        """
        view = self.streams[stream]
        if view.next_offset is None or view.next_offset < next_offset:
            return
        if era_of(view.next_offset) != era_of(next_offset):
            # The store may have lost, or had written again, what the view has.
            return
        is_settling = stream == CONFIGURATION and self.now_ms() < self._settled_ms
        if is_settling and source == FROM_STORE:
            return
        self.freshness_of(stream).confirm(as_of_ms)

    def on_store_response(self, reached):
        """Record whether the store responded."""
        now_ms = self.now_ms()
        if reached != self.store_reachable:
            log.info("store_reached" if reached else "store_lost")
        self.store_reachable = reached
        if not reached:
            self.store_failed_ms = now_ms

    def on_records(self, stream, source, records, from_offset, next_offset, carried=()):
        """Apply records of a stream that were read or reported by a peer.

        Parameters
        ----------
        stream, source : str
            `source` is `FROM_STORE` or the name of a peer.
        records : list of KeyedRecord
        from_offset : int or None
            None if these are the newest records of all keys.
        next_offset : int
        carried : list of KeyedRecord
            Records of earlier eras that are newer than what the store has now.
        """
        view = self.streams[stream]
        before_offset, before_keys = view.next_offset, set(view.values)
        was_half_applied = stream in self._half_applied
        self._half_applied.add(stream)
        if from_offset is None:
            if view.next_offset is not None and next_offset < view.next_offset:
                log.info(
                    "snapshot_ignored",
                    stream=stream,
                    source=source,
                    next_offset=next_offset,
                    view_offset=view.next_offset,
                )
            changed = view.load_snapshot(records, next_offset)
        else:
            from_peer = source != FROM_STORE
            changed = view.apply(records, from_offset, next_offset, from_peer)
        changed |= view.apply_carried(carried)
        if view.next_offset is not None and (
            before_offset is None or era_of(before_offset) < era_of(view.next_offset)
        ):
            self._begin_era(stream, before_offset, before_keys - view.values.keys())
        if not changed and not was_half_applied:
            self._half_applied.discard(stream)
            return
        if source == FROM_STORE:
            self._peer_positions[stream].clear()
        else:
            self._peer_positions[stream].append((view.next_offset, self.now_ms()))
        if stream == CONFIGURATION:
            self._apply_evacuations(source, before_offset)
            self._apply_configuration(source)
        else:
            self._apply_backends()
            self._observe_replaced(records)
        self._half_applied.discard(stream)

    def _begin_era(self, stream, before_offset, lost):
        """Enter another era of the store, or the first one that this VM knows of."""
        now_ms = self.now_ms()
        is_start = before_offset is None
        if stream == CONFIGURATION:
            # After a start the store may just have lost what other VMs had taken.
            if not is_start or not self.settings.first_start:
                self._settled_ms = now_ms + ERA_SETTLE_MS
            if not is_start:
                self._restored_until_ms = now_ms + ERA_SETTLE_MS
        else:
            if not is_start or not self.settings.first_start:
                self._relisted_ms = now_ms + LOST_ENTRY_GRACE_MS
            for name in lost:
                self._lost_until_ms[name] = now_ms + LOST_ENTRY_GRACE_MS
        if not is_start:
            log.warning(
                "store_restored",
                stream=stream,
                era=era_of(self.streams[stream].next_offset),
                before=era_of(before_offset),
                lost=sorted(lost),
            )

    def _apply_evacuations(self, source, before_offset=None):
        """Apply the orders to evacuate zones.

        Parameters
        ----------
        source : str
            As in `on_records`.
        before_offset : int or None
            End of the records that this VM had before, as far as it had any.
        """
        now_ms = self.now_ms()
        evacuations = self.evacuations
        changes = evacuations.changes
        self._has_doubtful_orders = False
        ordered = set()
        for key, (offset, _) in self.streams[CONFIGURATION].values.items():
            zone = self._decoder.evacuation(key)
            if zone is None:
                continue
            ordered.add(zone)
            if evacuations.is_evacuated(zone):
                continue
            if now_ms < self._restored_until_ms and evacuations.was_removed(zone):
                self._has_doubtful_orders = True
                continue
            absent_ms = -math.inf
            if (
                before_offset is not None
                and offset >= before_offset
                and era_of(offset) == era_of(before_offset)
            ):
                absent_ms = self.key_freshness.current_as_of_ms or absent_ms
            evacuations.set_order(zone, now_ms, absent_ms)
            log.info(
                "evacuation_ordered",
                zone=zone,
                source=source,
                offset=offset,
                known_zone=self._is_zone(zone),
                age_ms=None if math.isinf(absent_ms) else round(now_ms - absent_ms),
            )
        for zone in list(evacuations.zones - ordered):
            evacuations.remove_order(zone, now_ms)
            log.info("evacuation_removed", zone=zone, source=source)
        if evacuations.changes == changes:
            return
        zones = {view.record.zone for view in self.view.backends.values()}
        if zones and zones <= evacuations.zones:
            log.warning("evacuation_of_all_zones", zones=sorted(zones))
        self.notify()

    def _is_zone(self, zone):
        """Return whether a VM or a backend server is known to be in a zone."""
        return (
            zone == self.settings.zone
            or zone in self.settings.zone_regions
            or any(view.record.zone == zone for view in self.view.backends.values())
        )

    def _review_evacuations(self, now_ms):
        """Count the requests that still run in evacuated zones."""
        if self._has_doubtful_orders and now_ms >= self._restored_until_ms:
            self._apply_evacuations(FROM_STORE)
        if not self.evacuations.zones:
            return
        running = {zone: [0, 0] for zone in self.evacuations.zones}
        for view in self.view.backends.values():
            counts = running.get(view.record.zone)
            if counts is not None:
                counts[0] += view.own_requests
                counts[1] += view.peer_requests
        for zone, (own, others) in running.items():
            if self.evacuations.record_running(zone, own, others):
                log.info(
                    "zone_empty", zone=zone, **self.evacuations.status(now_ms)[zone]
                )

    def _cold_senders(self):
        """Return the VMs that may send to cold servers; none just after the start.

        What this VM sent before it was restarted counts in the first second.
        """
        is_new = self.now_ms() < self._begun_ms + COLD_WINDOW_MS
        return self.peers.sending_vms() if self.knows_fleet and not is_new else ()

    def _review_certainty(self, now_ms):
        """Set whether this VM may have missed that servers became cold."""
        cold = self.limits.cold
        cold.is_unsure = not self.knows_fleet or (
            cold.has_rules
            and cold.others_may_send(now_ms)
            and self.list_age_ms(now_ms) > UNSURE_AGE_MS
            and not self._linked_peers(now_ms)
        )

    def _apply_configuration(self, source):
        known = self.streams[CONFIGURATION].values.get(CONFIGURATION_KEY)
        if known is None:
            return
        offset, data = known
        try:
            configuration = self._decoder.configuration(data)
        except ValueError as error:
            log.error("configuration_unreadable", offset=offset, error=str(error))
            return
        before = self.configuration
        if before is not None and configuration.version <= before.version:
            return
        self.quota.set_teams(configuration.teams, self.now_ms())
        self.configuration = configuration
        self.limits.cold.set_services(
            {
                service.name: (service.cold_start_ms, service.cold_requests_per_s)
                for service in configuration.services.values()
            }
        )
        for remark in configuration.remarks:
            log.warning("configuration_value_unreadable", remark=remark)
        self.loads.set_services(configuration.services)
        log.info(
            "configuration_taken",
            version=configuration.version,
            before=None if before is None else before.version,
            offset=offset,
            source=source,
            routes=configuration.routes.count,
        )
        self.notify()

    def _apply_backends(self):
        now_ms = self.now_ms()
        records = {}
        for name, (offset, data) in self.streams[BACKENDS].values.items():
            known = self._records.get(name)
            if known is not None and known[0] == offset:
                record = known[1]
            else:
                record = self._decode_backend(name, offset, data, known)
            if record is not None:
                records[name] = record
        store_recovering = now_ms - self.store_failed_ms < STORE_RECOVERY_WINDOW_MS
        for name, known in self._records.items():
            if name in records or known[1] is None:
                continue
            since_ms = self._missing_since_ms.setdefault(name, now_ms)
            until_ms = self._lost_until_ms.get(name, 0.0)
            if store_recovering:
                until_ms = max(until_ms, since_ms + MISSING_ENTRY_GRACE_MS)
            if now_ms < until_ms:
                records[name] = known[1]
        for name in list(self._missing_since_ms):
            if name in self.streams[BACKENDS].values:
                del self._missing_since_ms[name]
                self._lost_until_ms.pop(name, None)
            elif name not in records:
                del self._missing_since_ms[name]
                self._lost_until_ms.pop(name, None)
                self._records.pop(name, None)
        changed = self.view.replace(records)
        if changed:
            # The views of new and restarted servers count no requests yet.
            self._counted_peers = None
        for name in changed:
            view = self.view.backends.get(name)
            log.info(
                "backend_changed",
                backend=name,
                state="gone" if view is None else "leaving" if view.leaving else "live",
                service="" if view is None else view.record.service,
            )
        self.software.observe(
            [view.record for view in self.view.backends.values()], now_ms
        )
        self.limits.cold.observe(
            [view.record for view in self.view.backends.values()],
            now_ms,
            not self._has_list,
            self.settings.first_start and now_ms - self._begun_ms < FIRST_LIST_MS,
        )
        self._has_list = True
        starts = {view.record.start for view in self.view.backends.values()}
        self.limits.remove_others(starts)
        self.loads.remove_others(starts)
        self._merge_residency()
        self.notify()

    def _observe_replaced(self, records):
        """Record the software of entries that later ones of the same read replaced."""
        now_ms = self.now_ms()
        for record in records:
            known = self.streams[BACKENDS].values.get(record.key)
            if record.value is None or (known and known[0] <= record.offset):
                continue
            try:
                backend = self._decoder.backend(record.key, record.value)
            except ValueError:
                continue
            self.software.observe_past(backend.service, backend.software, now_ms)

    def on_notice(self):
        """Apply that a backend server has said that it leaves."""
        self.view.apply_notices()
        self.notify()

    def remove_missing_backends(self):
        """Remove backend servers whose missing entries did not reappear in time."""
        if self._missing_since_ms:
            self._apply_backends()

    def _decode_backend(self, name, offset, data, known):
        try:
            record = self._decoder.backend(name, data)
        except ValueError as error:
            if self._unreadable.get(name) != offset:
                self._unreadable[name] = offset
                log.warning("backend_entry_unreadable", backend=name, error=str(error))
            # The last readable entry stays in use.
            return None if known is None else known[1]
        if known is not None and known[1] is not None:
            before = known[1]
            if record.started_wall_ms < before.started_wall_ms:
                return before
        self._records[name] = (offset, record)
        return record

    def _rank_configuration(self, key, data):
        if key != CONFIGURATION_KEY:
            # Orders have no order among themselves: the later era of the store counts,
            # so that an order after its removal and a restored store is obeyed.
            return None
        try:
            return (self._decoder.configuration(data).version,)
        except ValueError:
            return ()

    def _rank_backend(self, name, data):
        try:
            return self._decoder.backend(name, data).rank
        except ValueError:
            return ()

    def _same_backend(self, name, before, after):
        try:
            known = self._decoder.backend(name, before)
            record = self._decoder.backend(name, after)
            is_news = self.limits.cold.is_news(record, self.now_ms())
            return record.same_as(known) and not is_news
        except ValueError:
            return False

    # Reports of peers.

    def on_report(self, report):
        """Apply a report of a peer.

        Returns
        -------
        set of str
            Peers to which this VM should pass on what is new, without delay.
        """
        now_ms = self.now_ms()
        known = self.peers.link(report.vm)
        link = self.peers.on_contact(report.vm, report.started_ms, now_ms)
        if link is None:
            return set()
        if known is not None and known is not link:
            self.demand.on_restart(report.vm)
            self.loads.remove_peer(report.vm)
            self._recount_peer_requests()
        if report.seen_started_ms == self._started_ms:
            link.acked_version = report.seen
        received_version = link.received_version
        if report.since <= received_version:
            received_version = max(received_version, report.version)
        link.record_built(report.built_ms, now_ms)
        link.wants_demand = report.wants_demand
        link.positions = report.positions
        version_before = self._configuration_version()
        has_news = self._apply_states(report, now_ms)
        is_settled_anew = False
        if report.quarantine is not None:
            has_news |= self.quarantine.apply(report.quarantine, now_ms)
        if report.limits is not None:
            has_news |= self.limits.apply(report.limits, now_ms)
        if report.loads is not None:
            self.loads.apply(report.loads, report.vm, now_ms)
        if self.notices.apply(report.leaving):
            has_news = True
            self.on_notice()
        if report.software is not None:
            has_news |= self.software.apply(report.software, now_ms)
            is_settled_anew = True
        self.peers.on_vouched(report.vouched_ages, now_ms)
        is_complete = received_version >= report.version
        self.learn_vms(report.places, report.knows_fleet and is_complete)
        self._apply_records(report)
        if is_complete:
            self._apply_confirmations(report, now_ms)
        waited_before = self.demand.waiting_of(report.vm)
        self._apply_demand(report, now_ms)
        changes = None
        if report.residency is not None:
            changes = self.residency.apply(report.residency, report.vm, now_ms)
            if changes:
                self._merge_residency(changes.engines)
        # Only now: the peer sends again what failed to be applied.
        link.received_version = received_version
        # Requests wait for models, adapters, limits, versions and VMs, but not for what
        # nearly all reports are about: the requests and tokens of other VMs. Records of
        # the store notify of themselves.
        if has_news or changes or is_settled_anew:
            self.notify()
        if self.peers.topology.is_mesh:
            return set()
        targets = set()
        if has_news or self._configuration_version() != version_before:
            targets |= self._linked_peers(now_ms)
        if changes:
            targets |= self.peers_to_tell(changes)
        if report.waiting.keys() - waited_before.keys():
            targets.add(self.way_to_holder())
        return targets - {report.vm, None}

    def _configuration_version(self):
        version = None if self.configuration is None else self.configuration.version
        return version, self.evacuations.changes

    def _apply_states(self, report, now_ms):
        """Apply the states in a report; return whether there is urgent news."""
        has_news = False
        for before, state in self.peers.apply_states(report.states, report.vm, now_ms):
            if before is None:
                log.info(
                    "peer_heard", peer=state.vm, address=state.address, by=report.vm
                )
            if state.stopping:
                self._stopped_vms.add(state.vm)
                self.quota.remove_peer(state.vm)
            else:
                self._stopped_vms.discard(state.vm)
                self.quota.debit_peer(
                    state.vm, state.started_ms, state.used_tokens, now_ms
                )
            has_news |= (
                before is None
                or before.started_ms != state.started_ms
                or before.stopping != state.stopping
                or before.fence != state.fence
                or before.lost != state.lost
            )
        self.quota.review_share(now_ms)
        return has_news

    def _apply_records(self, report):
        for stream, part in report.records.items():
            if stream in self.streams:
                self.on_records(
                    stream,
                    report.vm,
                    part.records,
                    part.from_offset,
                    part.next_offset,
                    part.carried,
                )

    def _apply_confirmations(self, report, now_ms):
        """Take over until when a peer knew that its records were current."""
        if report.echo is None or report.seen_started_ms != self._started_ms:
            return
        sent_ms, held_ms = report.echo
        # A report may have waited in a buffer, for instance while this VM stood still.
        built_ms = min(now_ms, sent_ms + held_ms)
        for stream, position in report.positions.items():
            if (
                stream in self.streams
                and position.next_offset is not None
                and position.age_ms is not None
            ):
                self.confirm(
                    stream, report.vm, position.next_offset, built_ms - position.age_ms
                )

    def _apply_demand(self, report, now_ms):
        """Apply the requests that a peer reports, and update the counts with them."""
        before = self.demand.running_by_backend([report.vm])
        rates = {
            model: RequestRate.from_value(value, now_ms)
            for model, value in report.rates.items()
        }
        self.demand.apply(report.vm, report.running, report.waiting, rates)
        if not self.peers.topology.counts(report.vm, self.peers.places):
            return
        after = self.demand.running_by_backend([report.vm])
        for name in before.keys() | after.keys():
            view = self.view.backends.get(name)
            if view is not None:
                view.peer_requests += after.get(name, 0) - before.get(name, 0)

    def review_peers(self):
        """Remove expired peers, and stop counting requests of unreachable ones.

        Returns
        -------
        set of str
            Peers to which this VM should pass on what is new, without delay.
        """
        now_ms = self.now_ms()
        if not 0 <= now_ms - self._reviewed_ms < self.peers.review_interval_ms():
            self._reviewed_ms = now_ms
            for name in self.peers.remove_expired(now_ms):
                log.info("peer_forgotten", peer=name)
                self.loads.remove_peer(name)
                if name in self._stopped_vms:
                    self._stopped_vms.discard(name)
                    self.limits.cold.forget_vm(name)
            self._review_quota(now_ms)
        lost = self.peers.mark_lost(now_ms)
        for name in lost:
            log.info("peer_lost", peer=name)
        linked = self._linked_peers(now_ms)
        for name in self.demand.peers() - linked:
            self.demand.remove(name)
        self.demand.rates.forget_idle(now_ms)
        # The loads of a silent peer are kept without counting them: its reports do not
        # repeat what this VM has acknowledged.
        if linked != self._counted_peers:
            self._counted_peers = linked
            self._recount_peer_requests()
        self.remove_missing_backends()
        self._review_evacuations(now_ms)
        self._review_certainty(now_ms)
        self.quarantine.remove_expired(now_ms)
        flags_changed = self._update_own_state(now_ms)
        return self._linked_peers(now_ms) if lost or flags_changed else set()

    def _review_quota(self, now_ms):
        basis = (
            self.peers.live_version,
            self.peers.timeout_ms(),
            len(self.peers.unheard_vms()),
        )
        if basis == self._quota_basis and now_ms <= self.quota.share_until_ms:
            return
        self._quota_basis = basis
        _, self.quota.peer_timeout_ms, self.quota.unheard_vms = basis
        share = self.quota.share
        self.quota.update_share(now_ms)
        if self.quota.share != share:
            log.info("quota_share_changed", share=self.quota.share, before=share)

    def _recount_peer_requests(self):
        now_ms = self.now_ms()
        linked = self._linked_peers(now_ms)
        self.loads.set_counted(linked, self._sources_for("", ZONE, now_ms))
        totals = self.demand.running_by_backend(linked)
        for name, view in self.view.backends.items():
            view.peer_requests = totals.get(name, 0)

    def _linked_peers(self, now_ms):
        return set(self.peers.linked_names(now_ms))

    def _update_own_state(self, now_ms):
        return self.peers.set_own(
            now_ms,
            self.quota.used_tokens(),
            stopping=self.stopping,
            store_reachable=self.store_reachable,
            fence=self.lease.generation if self.may_order() else 0,
        )

    def load_quarantine(self, rules):
        """Take over quarantined combinations of prompt parts from the store."""
        self.quarantine.load_rules(rules, self.now_ms())
        self.notify()

    def way_to_holder(self):
        """Return the peer through which the lease holder is reached, or None."""
        if self.lease.active:
            return None
        holder = self.peers.holder(self.now_ms())
        return None if holder is None else self.peers.next_hop(holder.vm)

    def peers_to_tell(self, changes):
        """Return the peers whose requests a change of engines concerns.

        A relay also tells the other relays, which decide the same for their zones.

        Parameters
        ----------
        changes : ResidencyChanges
        """
        now_ms = self.now_ms()
        linked = self._linked_peers(now_ms)
        topology = self.peers.topology
        if topology.is_mesh:
            return linked
        return {
            name
            for name in linked
            if name in topology.relays
            or name == topology.relay
            or not self.demand.waiting_of(name).keys().isdisjoint(changes.targets)
            or not self.demand.running_of(name).keys().isdisjoint(changes.withdrawn)
        }

    def _merge_residency(self, engines=None):
        """Set what engines hold, by the lease holder's report or by their entries.

        Parameters
        ----------
        engines : collection of str, optional
            All by default.
        """
        is_current = self.residency.is_current(self.now_ms())
        self.view.queued = self.residency.queued() if is_current else {}
        for name in self.view.backends if engines is None else engines:
            view = self.view.backends.get(name)
            if view is not None:
                _set_engine(view, self.residency.of(name) if is_current else None)

    def placement_age_ms(self):
        """Return the age of the known engine state; None if it is out of use."""
        age_ms = self.residency.age_ms(self.now_ms())
        return round(age_ms) if age_ms <= RESIDENCY_EXPIRY_MS else None

    def set_own_residency(self, residency, queued):
        """Set the engine state to report as lease holder.

        Returns
        -------
        ResidencyChanges
        """
        changes = self.residency.set_own(
            self.lease.generation, residency, queued, self.now_ms()
        )
        self._merge_residency(changes.engines)
        self.notify()
        return changes

    def update_own_residency(self, engine, item):
        """Set the state of one engine, to report as lease holder.

        Returns
        -------
        ResidencyChanges
        """
        changes = self.residency.update_own(engine, item, self.now_ms())
        if changes:
            self._merge_residency(changes.engines)
            self.notify()
        return changes

    def end_own_residency(self):
        """Cease to report as lease holder."""
        self.residency.end_own()

    def build_report(self, name):
        """Return the `VmReport` for one peer."""
        now_ms = self.now_ms()
        self._update_own_state(now_ms)
        peers = self.peers
        link = peers.link(name)
        since = 0 if link is None else link.acked_version
        scope = peers.topology.speaks_for(name, peers.places)
        sources = self._sources_for(name, scope, now_ms)
        needs_demand = scope != OTHERS or (link is not None and link.wants_demand)
        self._update_wants_demand()
        return VmReport(
            vm=peers.own_name,
            started_ms=self._started_ms,
            version=self._counter.version,
            since=since,
            seen_started_ms=0 if link is None else link.started_ms,
            seen=0 if link is None else link.received_version,
            states=peers.states_for(name, since),
            vouched_ages=peers.vouched_ages(name, now_ms),
            positions={
                # Without a link, the report lacks records that belong to its position.
                stream: StreamPosition(
                    view.next_offset,
                    None if link is None else self._age_ms(stream, now_ms),
                )
                for stream, view in self.streams.items()
            },
            records=self._carried_parts() if link is None else self._records_for(link),
            running=self._running_for(name, link, sources, needs_demand, now_ms),
            waiting=self.demand.waiting_total(sources) if needs_demand else {},
            rates={
                model: rate.to_value(now_ms)
                for model, rate in self.demand.rates_total(
                    sources, now_ms, since
                ).items()
            }
            if needs_demand
            else {},
            wants_demand=self._wants_demand,
            residency=self.residency.part_for(name, since, now_ms),
            quarantine=self.quarantine.part_since(since, now_ms),
            limits=self.limits.part_since(since, now_ms),
            places=peers.places_for(name, since),
            knows_fleet=self.knows_fleet and peers.names_all_to(name),
            leaving=self.notices.part_since(since),
            software=self.software.part_since(since, now_ms, peers.topology.is_mesh),
            built_ms=math.floor(now_ms),
            echo=None if link is None else link.echo(now_ms),
            loads=self.loads.part_since(since, now_ms, name, scope),
        )

    def _sources_for(self, name, scope, now_ms):
        """Return the peers whose requests a report to a peer includes."""
        if scope == OWN:
            return set()
        linked = self._linked_peers(now_ms) - {name}
        if scope == OTHERS:
            return linked
        places = self.peers.places
        return {
            peer
            for peer in linked
            if peer != self.peers.topology.relay
            and peer in places
            and places[peer].zone == self.settings.zone
        }

    def _running_for(self, name, link, sources, needs_demand, now_ms):
        """Return the running requests to report, or None to not repeat them yet."""
        if link is not None:
            period_ms = 0.0
            if not self.peers.topology.is_mesh:
                period_ms = RUNNING_PERIOD_FRACTION * self.peers.period_ms(name)
            if now_ms - link.running_sent_ms < period_ms:
                return None
            link.running_sent_ms = now_ms
        running = self.demand.running(sources)
        if needs_demand:
            return running
        return {name: {"": sum(t.values())} for name, t in running.items()}

    def _update_wants_demand(self):
        wants = self.lease.granted
        if wants and not self._wants_demand:
            # The peers have left out parts of their reports until now.
            for link in self.peers.links.values():
                link.received_version = 0
        self._wants_demand = wants

    def _age_ms(self, stream, now_ms):
        freshness = self.freshness_of(stream)
        return (
            None
            if freshness.current_as_of_ms is None
            else now_ms - freshness.current_as_of_ms
        )

    def _carried_parts(self):
        """Return the carried records for a peer whose positions are not known yet."""
        return {
            name: StreamRecords(view.next_offset, view.next_offset, [], carried)
            for name, view in self.streams.items()
            if (carried := view.carried_since(0))
        }

    def _records_for(self, link):
        """Return the records that a peer lacks, by stream."""
        parts = {}
        for name, view in self.streams.items():
            position = link.positions.get(name)
            if position is None or view.next_offset is None:
                continue
            part = None
            carried = view.carried_since(link.acked_version)
            if not self._is_told_by_reader(name, link, position):
                part = _records_since(view, position.next_offset)
            if carried:
                # A peer that has no records yet cannot apply these without the others.
                part = part or _records_since(view, position.next_offset)
                part = part or StreamRecords(view.next_offset, view.next_offset, [])
                part.carried = carried
            if part is not None:
                if part.from_offset is None:
                    part.carried = [*carried, *view.tombstones()]
                parts[name] = part
        return parts

    def _is_told_by_reader(self, stream, link, position):
        """Return whether the VM that read the records is telling a peer now."""
        relay_ms = RELAY_DELAY_PERIODS * REPORT_PERIOD_MS
        if not self.peers.topology.is_mesh:
            relay_ms = 0.0
        received_ms = self._received_ms(stream, position.next_offset or 0)
        return received_ms is not None and link.heard_ms < received_ms + relay_ms

    def _received_ms(self, stream, offset):
        """Return when a peer reported the first record that follows an offset.

        Returns
        -------
        float or None
            None if this VM reads the stream itself.
        """
        for next_offset, at_ms in self._peer_positions[stream]:
            if next_offset > offset:
                return at_ms
        return None

    def may_order(self):
        """Return whether this VM may send orders to engines now."""
        now_ms = self.now_ms()
        if self.stopping or not self.lease.granted:
            return False
        return self.lease.may_order(now_ms, self.peers.peer_summary(now_ms))

    def running_requests(self):
        """Return the requests of all VMs: backend server -> target -> count."""
        return self.demand.running(self._linked_peers(self.now_ms()))

    def waiting_requests(self):
        """Return the number of requests that wait on all VMs, by model or adapter."""
        return self.demand.waiting_total(self._linked_peers(self.now_ms()))

    def request_rates(self):
        """Return the request rates over all VMs, by model."""
        now_ms = self.now_ms()
        return self.demand.rates_total(self._linked_peers(now_ms), now_ms)

    def try_retry(self, service):
        """Spend one retry of those that all VMs share; return whether it is allowed."""
        now_ms = self.now_ms()
        return self.knows_fleet and self.retry_budget.try_acquire(
            service, self.peers.vm_count(now_ms), now_ms
        )

    def add_address(self, name, address, zone=None, capacity=0.0):
        """Add another VM that may be running."""
        if name != self.peers.own_name and address != self.settings.peer_address:
            self.peers.add_place(VmPlace(name, address, zone, capacity))


def _records_since(view, offset):
    """Return the `StreamRecords` for a peer at an offset; None if it lacks none."""
    if offset is not None:
        if offset >= view.next_offset:
            return None
        records = view.since(offset)
        if records is not None:
            return StreamRecords(offset, view.next_offset, records)
    return StreamRecords(None, view.next_offset, view.all_records())


def _set_engine(view, item):
    """Set what an engine holds.

    Parameters
    ----------
    view : BackendView
    item : Residency or None
        What the lease holder knows; it counts only for the same start of the engine.
    """
    record = view.record
    if item is None or item.started_wall_ms != record.started_wall_ms:
        ready, view.loading, view.drained = record.residents, {}, frozenset()
    else:
        ready, view.loading, view.drained = (
            item.ready,
            item.loading,
            frozenset(item.drained),
        )
    view.ready = {model: frozenset(held) for model, held in ready.items()}
