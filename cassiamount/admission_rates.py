"""Measured service rates of routes, used to estimate waiting times."""

# Weight of a new interval in the moving average.
SAMPLE_WEIGHT = 1 / 16
# Longer intervals are times without a free replica, for example while a model is being
# loaded, and are counted as this length.
INTERVAL_LIMIT_MS = 2_000.0
# Routes with a stored average; the least recently used one is evicted.
ROUTES_LIMIT = 2_000


class _Rate:
    __slots__ = ("interval_ms", "last_ms")

    def __init__(self):
        self.interval_ms = None
        self.last_ms = None


class RouteRates:
    """Mean interval between the requests taken for a route that has a backlog."""

    __slots__ = ("_rates",)

    def __init__(self):
        self._rates = {}

    def on_backlog(self, route, now_ms):
        """Record that a first request waits for a route, which starts an interval."""
        rate = self._rates.pop(route, None) or _Rate()
        self._rates[route] = rate
        if len(self._rates) > ROUTES_LIMIT:
            del self._rates[next(iter(self._rates))]
        rate.last_ms = now_ms

    def on_taken(self, route, now_ms, still_waiting):
        """Record that a request was taken for a route, which ends an interval."""
        rate = self._rates.get(route)
        if rate is None:
            return
        interval_ms = min(now_ms - rate.last_ms, INTERVAL_LIMIT_MS)
        if rate.interval_ms is None:
            # The average starts at 0, as one interval says little about a loaded route.
            rate.interval_ms = 0.0
        rate.interval_ms += SAMPLE_WEIGHT * (interval_ms - rate.interval_ms)
        rate.last_ms = now_ms if still_waiting else rate.last_ms

    def interval_ms(self, route):
        """Return the mean interval, or 0 if it is unknown."""
        rate = self._rates.get(route)
        return rate.interval_ms or 0.0 if rate else 0.0

    def remove(self, route):
        """Forget the average of a route."""
        self._rates.pop(route, None)
