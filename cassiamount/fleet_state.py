"""State of one VM in front of a fleet, updated from the store and peers' reports."""

import collections

import structlog

from .engine_residency import EngineResidency
from .fleet_reports import (
    StreamPosition,
    StreamRecords,
    Versions,
    VmReport,
)
from .fleet_view import FleetView
from .key_freshness import KeyFreshness, StreamFreshness
from .metadata_store import (
    BACKENDS,
    CONFIGURATION,
    CONFIGURATION_KEY,
    FROM_STORE,
    KeyedView,
)
from .order_lease import OrderLease
from .peer_table import PeerTable
from .request_counts import RequestCounts
from .shared_quota import SharedQuota
from .shared_retries import SharedRetryBudget

# A VM relays records that a peer reported only to VMs that still lack them after this
# many report periods, because the VM that read the store reports them to all.
RELAY_DELAY_PERIODS = 2.0
# Positions in a stream, as received from peers, that are kept for this decision.
MAX_RELAYED_POSITIONS = 64
# For this long after a failed call to the store, a backend server whose entry is
# missing stays in use for the grace time, because the entry may reappear.
STORE_RECOVERY_WINDOW_MS = 4_000.0
MISSING_ENTRY_GRACE_MS = 900.0

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
        self.view = FleetView()
        self.peers = PeerTable(settings.vm_name)
        self.quota = SharedQuota(settings.first_start, clock.started_ms)
        self.retry_budget = SharedRetryBudget(
            settings.retry_ratio, settings.retry_slack, settings.retry_window_s * 1000
        )
        self.key_freshness = KeyFreshness(settings.key_limit_ms)
        self.backends_freshness = StreamFreshness()
        self.streams = {
            CONFIGURATION: KeyedView(),
            BACKENDS: KeyedView(self._same_backend),
        }
        # Stream -> (next offset, time received) of records that peers reported; empty
        # if this VM reads the stream itself.
        self._peer_positions = {
            name: collections.deque(maxlen=MAX_RELAYED_POSITIONS)
            for name in self.streams
        }
        self.store_reachable = False
        self.store_failed_ms = -float("inf")
        self.stopping = False
        self.waiting = {}
        self.request_counts = RequestCounts()
        self.listeners = []
        self.lease = OrderLease(settings.order_turn_ms, now_ms)
        self.last_order_ms = None
        self.residency = EngineResidency(self.peers)
        self._decoder = decoder
        self._started_ms = started_ms
        self._records = {}
        self._unreadable = {}
        self._missing_since_ms = {}

    def now_ms(self):
        """Return the monotonic time to which all times here refer."""
        return self.clock.monotonic_ms()

    def notify(self):
        """Notify the listeners of a change for which requests may be waiting."""
        for listener in self.listeners:
            listener()

    # Records of the metadata store.

    def freshness_of(self, stream):
        """Return the `StreamFreshness` of a stream: when it was last current."""
        return (
            self.key_freshness if stream == CONFIGURATION else self.backends_freshness
        )

    def on_store_response(self, reached):
        """Record whether the store responded."""
        now_ms = self.now_ms()
        if reached != self.store_reachable:
            log.info("store_reached" if reached else "store_lost")
        self.store_reachable = reached
        if not reached:
            self.store_failed_ms = now_ms

    def on_records(self, stream, source, records, from_offset, next_offset):
        """Apply records of a stream that were read or reported by a peer.

        Parameters
        ----------
        stream, source : str
            `source` is `FROM_STORE` or the name of a peer.
        records : list of KeyedRecord
        from_offset : int or None
            None if these are the newest records of all keys.
        next_offset : int
        """
        view = self.streams[stream]
        if from_offset is None:
            changed = view.load_snapshot(records, next_offset)
        else:
            from_peer = source != FROM_STORE
            changed = view.apply(records, from_offset, next_offset, from_peer)
        if not changed:
            return
        if source == FROM_STORE:
            self._peer_positions[stream].clear()
        else:
            self._peer_positions[stream].append((view.next_offset, self.now_ms()))
        if stream == CONFIGURATION:
            self._apply_configuration(source)
        else:
            self._apply_backends()

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
        self.configuration = configuration
        self.quota.set_teams(configuration.teams, self.now_ms())
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
            if store_recovering and now_ms - since_ms < MISSING_ENTRY_GRACE_MS:
                records[name] = known[1]
        for name in list(self._missing_since_ms):
            if name in self.streams[BACKENDS].values:
                del self._missing_since_ms[name]
            elif name not in records:
                del self._missing_since_ms[name]
                self._records.pop(name, None)
        for name in self.view.replace(records):
            view = self.view.backends.get(name)
            log.info(
                "backend_changed",
                backend=name,
                state="gone" if view is None else "leaving" if view.leaving else "live",
                service="" if view is None else view.record.service,
            )
        self._merge_residency()
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

    def _same_backend(self, name, before, after):
        try:
            known = self._decoder.backend(name, before)
            return self._decoder.backend(name, after).same_as(known)
        except ValueError:
            return False

    # Reports of peers.

    def on_report(self, report):
        """Apply a report of a peer."""
        now_ms = self.now_ms()
        before = self.peers.peers.get(report.vm)
        reported_counts = report.asked
        if not self.peers.on_report(report, now_ms):
            return
        same_start = (
            before is not None and before.report.started_ms == report.started_ms
        )
        self.request_counts.add_peer_growth(
            before.report.asked if same_start else {}, reported_counts
        )
        if before is None:
            log.info("peer_heard", peer=report.vm, address=report.address)
        if report.stopping:
            self.quota.forget_peer(report.vm)
        else:
            self.quota.on_peer(report.vm, report.started_ms, report.used_tokens, now_ms)
        for stream, part in report.records.items():
            if stream in self.streams:
                self.on_records(
                    stream, report.vm, part.records, part.from_offset, part.next_offset
                )
        for stream, position in report.positions.items():
            view = self.streams.get(stream)
            if (
                view is not None
                and view.next_offset is not None
                and position.next_offset is not None
                and position.age_ms is not None
                and view.next_offset >= position.next_offset
            ):
                self.freshness_of(stream).confirm(now_ms - position.age_ms)
        if report.residency is not None:
            self._merge_residency()
        self._update_peer_requests(before, report, now_ms)
        self.notify()

    def _update_peer_requests(self, before, report, now_ms):
        """Update the counts of other VMs' requests after one report."""
        if before is None or now_ms - before.last_report_ms > self.peers.timeout_ms():
            self._recount_peer_requests()
            return
        running = before.report.running
        for name in running.keys() | report.running.keys():
            view = self.view.backends.get(name)
            if view is not None:
                view.peer_requests += sum(report.running.get(name, {}).values())
                view.peer_requests -= sum(running.get(name, {}).values())

    def review_peers(self):
        """Remove expired peers, and stop counting requests of unreachable ones."""
        now_ms = self.now_ms()
        for name in self.peers.remove_expired(now_ms):
            log.info("peer_forgotten", peer=name)
        self.quota.silent_ms = self.peers.timeout_ms()
        share = self.quota.share
        self.quota.review_peers(now_ms)
        if self.quota.share != share:
            log.info("quota_share_changed", share=self.quota.share, before=share)
        self._recount_peer_requests()
        self.remove_missing_backends()

    def _recount_peer_requests(self):
        total = self.peers.running_elsewhere(self.now_ms())
        for name, view in self.view.backends.items():
            view.peer_requests = sum(total.get(name, {}).values())

    def _merge_residency(self):
        """Set what each engine holds, by the lease holder's report or by its entry."""
        now_ms = self.now_ms()
        residency, self.view.queued = self.residency.current(now_ms)
        for name, view in self.view.backends.items():
            record = view.record
            item = residency.get(name)
            view.ready = {
                model: frozenset(held) for model, held in record.residents.items()
            }
            view.loading = {}
            view.drained = frozenset()
            if item is None or item.started_wall_ms != record.started_wall_ms:
                continue
            view.loading = item.loading
            view.drained = frozenset(item.drained)
            view.ready = {model: frozenset(held) for model, held in item.ready.items()}

    def placement_age_ms(self):
        """Return the age of the known engine state; None without a lease holder."""
        return self.residency.age_ms(self.now_ms())

    def set_own_residency(self, residency, queued):
        """Set the engine state to report as lease holder, or None if not the holder."""
        self.residency.set_own(residency, queued, self.now_ms())
        self._merge_residency()
        self.notify()

    def build_report(self, name):
        """Return the `VmReport` for one peer."""
        now_ms = self.now_ms()
        known = self.peers.peers.get(name)
        peer = None if known is None else known.report
        base_versions = Versions()
        if peer is not None and peer.seen_started_ms == self._started_ms:
            base_versions = peer.seen
        seen_started_ms, seen = self.peers.seen_versions(name)
        fence = self.lease.generation if self.may_order() else 0
        age_ms = None if self.last_order_ms is None else now_ms - self.last_order_ms
        return VmReport(
            vm=self.settings.vm_name,
            zone=self.settings.zone,
            address=self.settings.peer_address,
            started_ms=self._started_ms,
            stopping=self.stopping,
            store_reachable=self.store_reachable,
            positions={
                name: StreamPosition(view.next_offset, self._age_ms(name, now_ms))
                for name, view in self.streams.items()
            },
            records={} if known is None else self._records_for(known),
            running={
                name: view.own_requests_by_target
                for name, view in self.view.backends.items()
                if view.own_requests_by_target
            },
            waiting={name: count for name, count in self.waiting.items() if count},
            asked=self.request_counts.since(base_versions.asked),
            used_tokens=self.quota.used_tokens(),
            fence=fence,
            order_age_ms=age_ms,
            residency=self.residency.since(base_versions.residency, now_ms)
            if fence
            else None,
            queued=self.residency.queued_in_ms(now_ms) if fence else {},
            versions=Versions(self.request_counts.version, self.residency.version),
            since=base_versions,
            seen_started_ms=seen_started_ms,
            seen=seen,
        )

    def _age_ms(self, stream, now_ms):
        proof = self.freshness_of(stream)
        return (
            None if proof.current_as_of_ms is None else now_ms - proof.current_as_of_ms
        )

    def _records_for(self, peer):
        """Return the records that a peer lacks, by stream."""
        relay_ms = RELAY_DELAY_PERIODS * self.peers.report_period_ms()
        parts = {}
        for name, view in self.streams.items():
            position = peer.report.positions.get(name)
            if position is None or view.next_offset is None:
                continue
            received_ms = self._received_ms(name, position.next_offset or 0)
            if received_ms is not None and peer.last_report_ms < received_ms + relay_ms:
                # The VM that read the records reports them at the same time.
                continue
            if position.next_offset is not None:
                if position.next_offset >= view.next_offset:
                    continue
                records = view.since(position.next_offset)
                if records is not None:
                    parts[name] = StreamRecords(
                        position.next_offset, view.next_offset, records
                    )
                    continue
            parts[name] = StreamRecords(None, view.next_offset, view.all_records())
        return parts

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
        if self.stopping:
            return False
        return self.lease.may_order(now_ms, self.peers.peer_summary(now_ms))

    def running_requests(self):
        """Return the requests of all VMs: backend server -> target -> count."""
        total = self.peers.running_elsewhere(self.now_ms())
        for name, view in self.view.backends.items():
            sums = total.setdefault(name, {})
            for target, count in view.own_requests_by_target.items():
                sums[target] = sums.get(target, 0) + count
        return total

    def waiting_requests(self):
        """Return the number of requests that wait on all VMs, by model or adapter."""
        total = self.peers.waiting_elsewhere(self.now_ms())
        for target, count in self.waiting.items():
            if count:
                total[target] = total.get(target, 0) + count
        return total
