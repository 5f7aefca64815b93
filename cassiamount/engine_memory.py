"""What may be in the memory of one engine, from late reports and confirmed orders."""

from .engine_orders import REPORT_FRESH_MS, REPORT_LAG_LIMIT_MS
from .load_report import LIVE

# Incarnations remembered, so that a report overtaken by a restart is recognised.
PAST_INCARNATIONS_LIMIT = 16


class _Copy:
    """Something that may be resident.

    `since_ms` is the time after which a report must be taken for its silence about
    the copy to count.
    """

    __slots__ = ("kind", "memory_mb", "state", "since_ms", "listed")

    def __init__(self, kind, memory_mb, state, since_ms, listed):
        self.kind = kind
        self.memory_mb = memory_mb
        self.state = state
        self.since_ms = since_ms
        self.listed = listed


class EngineMemory:
    """One engine's possible residents and the reliability of its reports.

    Parameters
    ----------
    backend : Backend
        Its entry in the configuration.
    known_after_ms : float
        Reports taken before this time do not describe the engine: an earlier holder
        of the lease may have changed it since.
    """

    __slots__ = (
        "backend",
        "known_after_ms",
        "report",
        "received_ms",
        "copies",
        "_offset_ms",
        "_past",
        "_removed_ms",
    )

    def __init__(self, backend, known_after_ms):
        self.backend = backend
        self.known_after_ms = known_after_ms
        self.report = None
        self.received_ms = 0.0
        # (name, version) -> _Copy
        self.copies = {}
        # Smallest difference seen between the local clock and the engine's.
        self._offset_ms = None
        self._past = {}
        # (name, version) -> time at which an unload was confirmed.
        self._removed_ms = {}

    @property
    def incarnation(self):
        """Incarnation of the last report, None before the first."""
        return self.report.incarnation if self.report else None

    @property
    def certain_ms(self):
        """Local time that the last report certainly describes or is later than."""
        if self.report is None:
            return float("-inf")
        return self.report.as_of_ms + self._offset_ms - REPORT_LAG_LIMIT_MS

    @property
    def known(self):
        """Whether a report describes what this holder took over."""
        return self.certain_ms >= self.known_after_ms

    @property
    def checks_fence(self):
        """Whether the engine refuses orders with old fencing numbers."""
        return self.report is not None and self.report.checks_fence

    @property
    def capacity_mb(self):
        """Memory that residents may use."""
        capacity_mb = self.backend.memory_mb
        if self.report is not None and self.report.memory_capacity_mb:
            capacity_mb = min(capacity_mb, self.report.memory_capacity_mb)
        return capacity_mb

    @property
    def overhead_mb(self):
        """Memory in use beyond what the report attributes to residents."""
        if self.report is None:
            return 0
        listed_mb = sum(resident.memory_mb for resident in self.report.residents)
        return max(0, self.report.memory_used_mb - listed_mb)

    def usable(self, now_ms):
        """Whether recent reports show an engine that serves."""
        return (
            self.report is not None
            and self.report.state == LIVE
            and now_ms - self.received_ms <= REPORT_FRESH_MS
        )

    def on_report(self, report, now_ms):
        """Take a report."""
        if report.incarnation in self._past:
            return
        if self.report is not None and report.incarnation != self.incarnation:
            self._restart(self.certain_ms, now_ms)
        elif self.report is not None and report.as_of_ms < self.report.as_of_ms:
            return
        offset_ms = now_ms - report.as_of_ms
        if self._offset_ms is None or offset_ms < self._offset_ms:
            self._offset_ms = offset_ms
        self.report = report
        self.received_ms = now_ms
        self._read_residents(report)

    def on_loaded(self, key, kind, memory_mb, now_ms):
        """Note a load that the engine confirmed."""
        copy = self.copies.get(key)
        if copy is None or not copy.listed:
            self.copies[key] = _Copy(kind, memory_mb, "ready", now_ms, False)

    def on_unloaded(self, key, now_ms):
        """Note an unload that the engine confirmed."""
        self.copies.pop(key, None)
        self._removed_ms[key] = now_ms

    def may_hold(self, name):
        """Whether a version of `name` may be resident."""
        return any(key[0] == name for key in self.copies)

    def lists_ready(self, key):
        """Whether the last report shows a copy that no later unload removed."""
        copy = self.copies.get(key)
        return (
            copy is not None
            and copy.listed
            and copy.state == "ready"
            and self.certain_ms >= self._removed_ms.get(key, float("-inf"))
        )

    def _read_residents(self, report):
        latest_ms = report.as_of_ms + self._offset_ms
        listed = set()
        for resident in report.residents:
            key = (resident.name, resident.version)
            if latest_ms < self._removed_ms.get(key, float("-inf")):
                continue
            listed.add(key)
            self.copies[key] = _Copy(
                resident.kind, resident.memory_mb, resident.state, latest_ms, True
            )
        for key, copy in list(self.copies.items()):
            if key not in listed and (copy.listed or self.certain_ms >= copy.since_ms):
                del self.copies[key]
        for key, removed_ms in list(self._removed_ms.items()):
            if self.certain_ms >= removed_ms:
                del self._removed_ms[key]

    def _restart(self, certain_ms, now_ms):
        self._past[self.incarnation] = None
        if len(self._past) > PAST_INCARNATIONS_LIMIT:
            del self._past[next(iter(self._past))]
        self._offset_ms = None
        for key, copy in list(self.copies.items()):
            # A load confirmed after the old incarnation was last seen may have been
            # confirmed by the new one.
            if copy.listed or copy.since_ms <= certain_ms:
                del self.copies[key]
            else:
                copy.since_ms = now_ms
