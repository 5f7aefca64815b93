"""Limits the loads from the weight store."""

# Weight-store loads that may begin at once.
STORE_BURST = 2.0


class StoreLoads:
    """Limits loads from the weight store.

    Parameters
    ----------
    full : bool
        Whether no other VM can have begun loads a moment ago.
    """

    __slots__ = ("rate_per_s", "_level", "_at_ms")

    def __init__(self, full, now_ms):
        self.rate_per_s = 1.0
        self._level = STORE_BURST if full else 0.0
        self._at_ms = now_ms

    def wait_ms(self, now_ms):
        """Return the time until a load may begin."""
        self._advance(now_ms)
        if self._level >= 1.0:
            return 0.0
        return 1000 * (1.0 - self._level) / self.rate_per_s

    def take(self, now_ms):
        """Count a load that begins."""
        self._advance(now_ms)
        self._level -= 1.0

    def _advance(self, now_ms):
        gained = (now_ms - self._at_ms) * self.rate_per_s / 1000
        self._level = min(STORE_BURST, self._level + max(0.0, gained))
        self._at_ms = now_ms
