"""Time limits of the steps of a graceful stop."""

# The load balancer stops sending requests after two failed probes, one a second.
BALANCER_DELAY_MS = 2_600.0
# Time reserved at the end of the grace period for closing all connections.
CLOSE_RESERVE_MS = 700.0


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

    def balancer_delay_ms(self, now_ms):
        """Return for how long the load balancer may still send requests."""
        return max(0.0, self._requested_ms + BALANCER_DELAY_MS - now_ms)

    def requests_timeout_ms(self, now_ms):
        """Return for how long requests may still run."""
        return max(0.0, self._requested_ms + self._grace_ms - CLOSE_RESERVE_MS - now_ms)
