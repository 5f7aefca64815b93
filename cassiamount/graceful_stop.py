"""How long each step of a planned stop may take."""

# The balancer stops sending after two of its probes, one a second.
BALANCER_DELAY_MS = 2_600.0
# Time kept before the end of the grace for closing everything.
CLOSE_RESERVE_MS = 700.0


class StopSchedule:
    """Times of a planned stop, all counted from the moment it was asked for.

    Parameters
    ----------
    begun_ms : float
        When the stop was asked for.
    grace_ms : float
        From then until what still runs is killed.
    """

    __slots__ = ("_requested_ms", "_grace_ms")

    def __init__(self, requested_ms, grace_ms):
        self._requested_ms = requested_ms
        self._grace_ms = grace_ms

    def balancer_delay_ms(self, now_ms):
        """Return for how long the balancer may still send callers."""
        return max(0.0, self._requested_ms + BALANCER_DELAY_MS - now_ms)

    def requests_timeout_ms(self, now_ms):
        """Return for how long requests may still run."""
        return max(0.0, self._requested_ms + self._grace_ms - CLOSE_RESERVE_MS - now_ms)
