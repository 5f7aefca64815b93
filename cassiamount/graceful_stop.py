"""Steps of a graceful stop, and which requests may still begin during it."""

from .requests import Refusal

# The load balancer stops sending requests after two failed probes, one a second.
BALANCER_DELAY_MS = 2_600.0
# Time reserved at the end of the grace period for closing all connections; answers
# that are still under way in the last sixth of a short one may be cut off.
CLOSE_RESERVE_MS = 700.0
CLOSE_RESERVE_FRACTION = 1 / 6
# A request that is sent later than this must get a whole answer or a refusal.
LATE_MS = 3_000.0
# Answers older than two of these windows say nothing of how long the next one takes.
TIMES_WINDOW_MS = 30_000.0
# Weight of a new sample in the moving average.
SAMPLE_WEIGHT = 0.1
# Short, because another VM can take the request at once.
RETRY_AFTER_S = 0.05


def stop_refusal():
    """Return the refusal of a request that could not be answered before the end."""
    return Refusal(503, "stopping", "this VM stops", retry_after_s=RETRY_AFTER_S)


class StopSchedule:
    """Time limits of a graceful stop, all counted from the request to stop.

    Parameters
    ----------
    requested_ms : float
        Time at which the stop was requested.
    grace_ms : float
        Time from the request until the process is killed.
    """

    __slots__ = ("_requested_ms", "_grace_ms")

    def __init__(self, requested_ms, grace_ms):
        self._requested_ms = requested_ms
        self._grace_ms = grace_ms

    def limit_grace(self, grace_ms):
        """Apply a changed grace period; a longer one may come too late."""
        self._grace_ms = min(self._grace_ms, grace_ms)

    @property
    def _reserve_ms(self):
        return min(CLOSE_RESERVE_MS, self._grace_ms * CLOSE_RESERVE_FRACTION)

    @property
    def requests_end_ms(self):
        """Time at which the last requests are answered, whatever their state is."""
        return self._requested_ms + self._grace_ms - self._reserve_ms

    @property
    def connections_end_ms(self):
        """Time at which connections that are still open are closed."""
        return self.requests_end_ms + self._reserve_ms / 2

    def balancer_delay_ms(self, now_ms):
        """Return for how long the load balancer may still send requests."""
        end_ms = min(self._requested_ms + BALANCER_DELAY_MS, self.requests_end_ms)
        return max(0.0, end_ms - now_ms)

    def requests_timeout_ms(self, now_ms):
        """Return for how long requests may still run."""
        return max(0.0, self.requests_end_ms - now_ms)

    def may_begin(self, now_ms, deadline_ms, times, streamed, repeatable):
        """Return whether a request may be sent to a backend server now.

        Parameters
        ----------
        now_ms : float
        deadline_ms : float
            Time at which the request ends by its own limits.
        times : AnswerTimes
            Of earlier answers on its route.
        streamed : bool
            Whether its answer cannot be withheld until it is whole.
        repeatable : bool
            Whether it may be sent again if its answer does not come.
        """
        left_ms = self.requests_timeout_ms(now_ms)
        if left_ms <= 0:
            return False
        if deadline_ms <= self.requests_end_ms:
            return True
        typical_ms, longest_ms = times.known_ms(now_ms)
        if now_ms <= self._requested_ms + LATE_MS:
            return typical_ms is None or typical_ms <= left_ms
        if streamed or typical_ms is None:
            return False
        return (typical_ms if repeatable else longest_ms) <= left_ms


class AnswerTimes:
    """How long the last whole answers on a route took."""

    __slots__ = ("_typical_ms", "_longest_ms", "_earlier_ms", "_window")

    def __init__(self):
        self._typical_ms = None
        self._longest_ms = self._earlier_ms = 0.0
        self._window = 0

    def record(self, took_ms, now_ms):
        """Take the duration of a whole answer."""
        self._turn(now_ms)
        if self._typical_ms is None:
            self._typical_ms = took_ms
        self._typical_ms += SAMPLE_WEIGHT * (took_ms - self._typical_ms)
        self._longest_ms = max(self._longest_ms, took_ms)

    def known_ms(self, now_ms):
        """Return the typical and the longest duration; None without an answer."""
        self._turn(now_ms)
        if self._typical_ms is None:
            return None, None
        return self._typical_ms, max(self._longest_ms, self._earlier_ms)

    def _turn(self, now_ms):
        window = int(now_ms // TIMES_WINDOW_MS)
        if window == self._window:
            return
        is_next = window == self._window + 1
        self._earlier_ms = self._longest_ms if is_next else 0.0
        self._longest_ms = 0.0
        self._window = window
        if not self._earlier_ms:
            self._typical_ms = None
