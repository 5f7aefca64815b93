"""Rate limit for model loads from the weight store."""

# Size of the token bucket: loads that may start at once.
BURST_LOADS = 2.0


class StoreLoadLimiter:
    """Token bucket with one token for each load from the weight store.

    Parameters
    ----------
    burst_available : bool
        Whether the bucket starts full, because no other VM can have started loads
        shortly before.
    now_ms : float
    """

    __slots__ = ("rate_per_s", "_tokens", "_refilled_ms")

    def __init__(self, burst_available, now_ms):
        self.rate_per_s = 1.0
        self._tokens = BURST_LOADS if burst_available else 0.0
        self._refilled_ms = now_ms

    def wait_ms(self, now_ms):
        """Return the time until the next load may start."""
        self._refill(now_ms)
        if self._tokens >= 1.0:
            return 0.0
        return 1000 * (1.0 - self._tokens) / self.rate_per_s

    def record_load(self, now_ms):
        """Take a token for a load that starts."""
        self._refill(now_ms)
        self._tokens -= 1.0

    def _refill(self, now_ms):
        gained = (now_ms - self._refilled_ms) * self.rate_per_s / 1000
        self._tokens = min(BURST_LOADS, self._tokens + max(0.0, gained))
        self._refilled_ms = now_ms
