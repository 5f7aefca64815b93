"""Possible contents of an engine's memory, from late reports and confirmed orders."""

from .engine_orders import MAX_REPORT_AGE_MS, MAX_REPORT_LAG_MS
from .load_report import LIVE

# Number of past incarnations kept, to discard late reports from before a restart.
PAST_INCARNATIONS_LIMIT = 16


class _PossibleCopy:
    """A model or adapter that may be resident on the engine.

    A copy that a report has `listed` is removed by the next report without it. A copy
    known only from a confirmed load is removed only by a report that was certainly
    taken at or after `ignore_absence_until_ms`.
    """

    __slots__ = ("kind", "memory_mb", "state", "ignore_absence_until_ms", "listed")

    def __init__(self, kind, memory_mb, state, ignore_absence_until_ms, listed):
        self.kind = kind
        self.memory_mb = memory_mb
        self.state = state
        self.ignore_absence_until_ms = ignore_absence_until_ms
        self.listed = listed


class EngineMemory:
    """Models and adapters that may be resident on one engine, and its last report.

    Parameters
    ----------
    backend : Backend
        Its entry in the configuration.
    known_after_ms : float
        Time at which this VM took the lease. Reports taken before it don't count,
        because an earlier holder may have changed the engine since.
    """

    __slots__ = (
        "backend",
        "known_after_ms",
        "report",
        "received_ms",
        "copies",
        "_clock_offset_ms",
        "_past_incarnations",
        "_unloaded_ms",
    )

    def __init__(self, backend, known_after_ms):
        self.backend = backend
        self.known_after_ms = known_after_ms
        self.report = None
        self.received_ms = 0.0
        # (name, version) -> _PossibleCopy
        self.copies = {}
        # Smallest difference between the receipt of a report by the local clock and its
        # time by the engine's clock; it contains the shortest transit time.
        self._clock_offset_ms = None
        self._past_incarnations = {}
        # (name, version) -> time at which the engine confirmed the unload.
        self._unloaded_ms = {}

    @property
    def incarnation(self):
        """Incarnation of the engine in its last report, None before the first."""
        return self.report.incarnation if self.report else None

    @property
    def earliest_as_of_ms(self):
        """Lower bound on the local time at which the last report was taken."""
        if self.report is None:
            return float("-inf")
        return self.report.as_of_ms + self._clock_offset_ms - MAX_REPORT_LAG_MS

    @property
    def known(self):
        """Whether the last report was certainly taken after this VM took the lease."""
        return self.earliest_as_of_ms >= self.known_after_ms

    @property
    def checks_fence(self):
        """Whether the engine refuses orders with old fencing numbers."""
        return self.report is not None and self.report.checks_fence

    @property
    def capacity_mb(self):
        """Memory that models and adapters may use."""
        capacity_mb = self.backend.memory_mb
        if self.report is not None and self.report.memory_capacity_mb:
            capacity_mb = min(capacity_mb, self.report.memory_capacity_mb)
        return capacity_mb

    @property
    def overhead_mb(self):
        """Memory in use that the last report doesn't attribute to a resident."""
        if self.report is None:
            return 0
        listed_mb = sum(resident.memory_mb for resident in self.report.residents)
        return max(0, self.report.memory_used_mb - listed_mb)

    def usable(self, now_ms):
        """Whether a recent report shows that the engine serves requests."""
        return (
            self.report is not None
            and self.report.state == LIVE
            and now_ms - self.received_ms <= MAX_REPORT_AGE_MS
        )

    def on_report(self, report, now_ms):
        """Handle a load report, unless it is older than the last one."""
        if report.incarnation in self._past_incarnations:
            return
        if self.report is not None and report.incarnation != self.incarnation:
            self._restart(self.earliest_as_of_ms, now_ms)
        elif self.report is not None and report.as_of_ms < self.report.as_of_ms:
            return
        clock_offset_ms = now_ms - report.as_of_ms
        if self._clock_offset_ms is None or clock_offset_ms < self._clock_offset_ms:
            self._clock_offset_ms = clock_offset_ms
        self.report = report
        self.received_ms = now_ms
        self._read_residents(report)

    def on_loaded(self, key, kind, memory_mb, now_ms):
        """Add a copy whose load the engine confirmed."""
        copy = self.copies.get(key)
        if copy is None or not copy.listed:
            self.copies[key] = _PossibleCopy(kind, memory_mb, "ready", now_ms, False)

    def on_unloaded(self, key, now_ms):
        """Remove a copy whose unload the engine confirmed."""
        self.copies.pop(key, None)
        self._unloaded_ms[key] = now_ms

    def may_hold(self, name):
        """Whether any version of `name` may be resident."""
        return any(key[0] == name for key in self.copies)

    def reported_ready(self, key):
        """Whether the last report shows a ready copy that no later unload removed."""
        copy = self.copies.get(key)
        return (
            copy is not None
            and copy.listed
            and copy.state == "ready"
            and self.earliest_as_of_ms >= self._unloaded_ms.get(key, float("-inf"))
        )

    def _read_residents(self, report):
        latest_as_of_ms = report.as_of_ms + self._clock_offset_ms
        listed = set()
        for resident in report.residents:
            key = (resident.name, resident.version)
            if latest_as_of_ms < self._unloaded_ms.get(key, float("-inf")):
                continue
            listed.add(key)
            self.copies[key] = _PossibleCopy(
                resident.kind, resident.memory_mb, resident.state, latest_as_of_ms, True
            )
        for key, copy in list(self.copies.items()):
            if key not in listed and (
                copy.listed or self.earliest_as_of_ms >= copy.ignore_absence_until_ms
            ):
                del self.copies[key]
        for key, unloaded_ms in list(self._unloaded_ms.items()):
            if self.earliest_as_of_ms >= unloaded_ms:
                del self._unloaded_ms[key]

    def _restart(self, earliest_as_of_ms, now_ms):
        self._past_incarnations[self.incarnation] = None
        if len(self._past_incarnations) > PAST_INCARNATIONS_LIMIT:
            del self._past_incarnations[next(iter(self._past_incarnations))]
        self._clock_offset_ms = None
        for key, copy in list(self.copies.items()):
            # A load that was confirmed after the last report of the old incarnation may
            # have been confirmed by the new incarnation, so its copy is kept.
            if copy.listed or copy.ignore_absence_until_ms <= earliest_as_of_ms:
                del self.copies[key]
            else:
                copy.ignore_absence_until_ms = now_ms
