"""Measured service rates of the routes, for estimates of waiting time."""

# A new interval between two requests counts one sixteenth.
SAMPLE_WEIGHT = 1 / 16
# Longer gaps are times without a free replica, for example during a model's load,
# and are counted only up to this length.
INTERVAL_LIMIT_MS = 2_000.0
# Routes remembered; the least recently used is dropped.
ROUTES_LIMIT = 2_000


class _Rate:
    __slots__ = ("interval_ms", "last_ms")

    def __init__(self):
        self.interval_ms = None
        self.last_ms = None


class RouteRates:
    """Mean time between two requests taken for a route while requests wait for it."""

    __slots__ = ("_rates",)

    def __init__(self):
        self._rates = {}

    def on_backlog(self, route, now_ms):
        """Note that a request waits for a route for which none waited before."""
        rate = self._rates.pop(route, None) or _Rate()
        self._rates[route] = rate
        if len(self._rates) > ROUTES_LIMIT:
            del self._rates[next(iter(self._rates))]
        rate.last_ms = now_ms

    def on_taken(self, route, now_ms, still_waiting):
        """Count a request that was taken for a route."""
        rate = self._rates.get(route)
        if rate is None:
            return
        interval_ms = min(now_ms - rate.last_ms, INTERVAL_LIMIT_MS)
        if rate.interval_ms is None:
            # The first interval alone says little about the rate under load.
            rate.interval_ms = 0.0
        rate.interval_ms += SAMPLE_WEIGHT * (interval_ms - rate.interval_ms)
        rate.last_ms = now_ms if still_waiting else rate.last_ms

    def interval_ms(self, route):
        """Return the mean interval, 0 while unknown."""
        rate = self._rates.get(route)
        return rate.interval_ms or 0.0 if rate else 0.0
