"""Limits the loads from the weight store."""

# Weight-store loads that may begin at once.
BURST_LOADS = 2.0


class StoreLoadLimiter:
    """Limits loads from the weight store.

    Parameters
    ----------
    full : bool
        Whether no other VM can have begun loads a moment ago.
    """

    __slots__ = ("rate_per_s", "_tokens", "_refilled_ms")

    def __init__(self, burst_available, now_ms):
        self.rate_per_s = 1.0
        self._tokens = BURST_LOADS if burst_available else 0.0
        self._refilled_ms = now_ms

    def wait_ms(self, now_ms):
        """Return the time until a load may begin."""
        self._refill(now_ms)
        if self._tokens >= 1.0:
            return 0.0
        return 1000 * (1.0 - self._tokens) / self.rate_per_s

    def record_load(self, now_ms):
        """Count a load that begins."""
        self._refill(now_ms)
        self._tokens -= 1.0

    def _refill(self, now_ms):
        gained = (now_ms - self._refilled_ms) * self.rate_per_s / 1000
        self._tokens = min(BURST_LOADS, self._tokens + max(0.0, gained))
        self._refilled_ms = now_ms
