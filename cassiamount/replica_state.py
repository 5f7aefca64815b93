"""Load and health of one backend server, as one VM estimates them."""

from collections import deque

from .load_report import LEAVING
from .requests import BROKEN, CANCELLED, DONE, NOT_ACCEPTED

# Weight of a new sample in the moving averages over attempts.
SAMPLE_WEIGHT = 0.125
# A replica is ejected after this many consecutive broken attempts. The ejection time
# doubles with each ejection, up to the maximum.
EJECTION_THRESHOLD = 3
BASE_EJECTION_MS = 1_000.0
MAX_EJECTION_MS = 30_000.0
# Addition to the estimated wait for each recent error, which decays linearly to zero.
ERROR_PENALTY_MS = 200.0
ERROR_DECAY_MS = 10_000.0
# The change in load since the last report is extrapolated from this VM's own requests
# to those of all VMs, by at most this factor. A larger one would leave some replicas
# idle and overload others.
MAX_LOAD_CHANGE_FACTOR = 6.0
# A replica that did not accept a request gets no further one for this time, which is
# longer than the delay of the load report by which it seemed to have capacity.
NOT_ACCEPTED_PAUSE_MS = 100.0


class ReplicaState:
    """Load and health of a backend server, as one VM estimates them.

    Parameters
    ----------
    backend : Backend
        Its entry in the configuration.
    """

    __slots__ = (
        "backend",
        "report",
        "report_received_ms",
        "in_flight",
        "load_changes",
        "min_offset_ms",
        "first_token_ms",
        "duration_ms",
        "consecutive_failures",
        "ejections",
        "ejected_until_ms",
        "paused_until_ms",
        "recent_errors",
        "last_error_ms",
    )

    def __init__(self, backend):
        self.backend = backend
        self.report = None
        self.report_received_ms = None
        # Request id -> time of dispatch.
        self.in_flight = {}
        # (time, +1 or -1) for each dispatch and end that the report may not include.
        self.load_changes = deque()
        self.min_offset_ms = None
        self.first_token_ms = None
        self.duration_ms = None
        self.consecutive_failures = 0
        self.ejections = 0
        self.ejected_until_ms = 0.0
        self.paused_until_ms = 0.0
        self.recent_errors = 0.0
        self.last_error_ms = 0.0

    @property
    def reports_leaving(self):
        """Whether the backend server itself reports that it is leaving."""
        return self.report is not None and self.report.state == LEAVING

    def on_report(self, report, now_ms):
        """Apply a load report; return False if it is older than the last one.

        Load changes that the report already includes are dropped.
        """
        if self.report is not None and report.incarnation != self.report.incarnation:
            self.min_offset_ms = None
            self.consecutive_failures = 0
            self.ejected_until_ms = 0.0
        elif self.report is not None and report.as_of_ms < self.report.as_of_ms:
            return False
        self.report = report
        self.report_received_ms = now_ms
        offset_ms = now_ms - report.as_of_ms
        if self.min_offset_ms is None or offset_ms < self.min_offset_ms:
            self.min_offset_ms = offset_ms
        # The smallest difference between the two clocks was observed with the least
        # delayed report, so any excess over it is the delay of this report.
        as_of_ms = report.as_of_ms + self.min_offset_ms
        while self.load_changes and self.load_changes[0][0] < as_of_ms:
            self.load_changes.popleft()
        return True

    def on_sent(self, request_id, now_ms):
        """Record that a request was dispatched to the backend server."""
        self.in_flight[request_id] = now_ms
        self.load_changes.append((now_ms, 1))

    def on_ended(self, ended, now_ms):
        """Record the end of an attempt and update the averages and error counts."""
        if self.in_flight.pop(ended.request_id, None) is None:
            return
        self.load_changes.append((now_ms, -1))
        if ended.outcome == DONE:
            self.consecutive_failures = 0
            self.ejections = 0
            self.first_token_ms = _average(self.first_token_ms, ended.first_token_ms)
            self.duration_ms = _average(self.duration_ms, ended.duration_ms)
        elif ended.outcome == NOT_ACCEPTED:
            self.paused_until_ms = now_ms + NOT_ACCEPTED_PAUSE_MS
        elif ended.outcome == BROKEN:
            self._record_failure(now_ms)
        else:
            assert ended.outcome == CANCELLED

    def load(self):
        """Return the estimated number of requests at the backend server."""
        if self.report is None:
            return len(self.in_flight)
        reported = self.report.running + self.report.waiting
        own_change = sum(change for _, change in self.load_changes)
        # Other VMs dispatch by the same report, and their requests end too. The ratio
        # of the reported load to this VM's part of it is used to extrapolate to all
        # VMs.
        own_in_report = max(1, len(self.in_flight) - own_change)
        own_change *= min(MAX_LOAD_CHANGE_FACTOR, max(1.0, reported / own_in_report))
        return max(len(self.in_flight), reported + own_change)

    def error_penalty_ms(self, now_ms):
        """Return the penalty for recent errors, added to the estimated wait."""
        return self._decayed_errors(now_ms) * ERROR_PENALTY_MS

    def ejected(self, now_ms):
        """Return whether the replica is excluded after consecutive broken attempts."""
        return now_ms < self.ejected_until_ms

    def _record_failure(self, now_ms):
        self.recent_errors = self._decayed_errors(now_ms) + 1.0
        self.last_error_ms = now_ms
        self.consecutive_failures += 1
        if self.consecutive_failures >= EJECTION_THRESHOLD and not self.ejected(now_ms):
            ejection_ms = min(BASE_EJECTION_MS * 2**self.ejections, MAX_EJECTION_MS)
            self.ejected_until_ms = now_ms + ejection_ms
            self.ejections = min(self.ejections + 1, 10)

    def _decayed_errors(self, now_ms):
        age_ms = now_ms - self.last_error_ms
        return self.recent_errors * max(0.0, 1.0 - age_ms / ERROR_DECAY_MS)


def _average(average, sample):
    if average is None:
        return sample
    return average + SAMPLE_WEIGHT * (sample - average)
