"""Decaying request rates of the models, on one VM and summed over several."""

import math

# Time constants of the exponentially decaying rates: the fast one shows the current
# demand, the slow one which models will soon be requested again.
FAST_WINDOW_MS = 1_500.0
SLOW_WINDOW_MS = 10_000.0
# A model without requests for this long is no longer reported.
FORGET_MS = 60_000.0


class RequestRate:
    """Request rate of one model.

    A rate decays on its own, so that it is reported again only after a new request, and
    a VM that hears of it late or twice counts nothing twice.

    Parameters
    ----------
    fast_per_s, slow_per_s : float
        Requests per second over the fast and the slow window.
    adapter_per_s : float
        Those of the slow window that name an adapter.
    last_request_ms : float
    latency_sensitive : bool
        Whether any caller does not wait for a model load.
    as_of_ms : float
        Time to which the rates apply.
    """

    __slots__ = (
        "fast_per_s",
        "slow_per_s",
        "adapter_per_s",
        "last_request_ms",
        "latency_sensitive",
        "as_of_ms",
    )

    def __init__(
        self,
        fast_per_s=0.0,
        slow_per_s=0.0,
        adapter_per_s=0.0,
        last_request_ms=-math.inf,
        latency_sensitive=False,
        as_of_ms=0.0,
    ):
        self.fast_per_s = fast_per_s
        self.slow_per_s = slow_per_s
        self.adapter_per_s = adapter_per_s
        self.last_request_ms = last_request_ms
        self.latency_sensitive = latency_sensitive
        self.as_of_ms = as_of_ms

    def record_request(self, latency_sensitive, with_adapter, now_ms):
        """Count a request."""
        self.decay(now_ms)
        self.fast_per_s += 1000 / FAST_WINDOW_MS
        self.slow_per_s += 1000 / SLOW_WINDOW_MS
        if with_adapter:
            self.adapter_per_s += 1000 / SLOW_WINDOW_MS
        self.last_request_ms = now_ms
        self.latency_sensitive |= latency_sensitive

    def decay(self, now_ms):
        """Let the rates decay until now."""
        elapsed_ms = now_ms - self.as_of_ms
        if elapsed_ms <= 0:
            return
        self.as_of_ms = now_ms
        slow = math.exp(-elapsed_ms / SLOW_WINDOW_MS)
        self.fast_per_s *= math.exp(-elapsed_ms / FAST_WINDOW_MS)
        self.slow_per_s *= slow
        self.adapter_per_s *= slow

    def add(self, other, now_ms):
        """Add another VM's rate."""
        self.decay(now_ms)
        other.decay(now_ms)
        self.fast_per_s += other.fast_per_s
        self.slow_per_s += other.slow_per_s
        self.adapter_per_s += other.adapter_per_s
        self.last_request_ms = max(self.last_request_ms, other.last_request_ms)
        self.latency_sensitive |= other.latency_sensitive

    def to_value(self, now_ms):
        """Return the list that represents this rate in a report."""
        self.decay(now_ms)
        return [
            round(self.fast_per_s, 3),
            round(self.slow_per_s, 3),
            round(self.adapter_per_s, 3),
            round(now_ms - self.last_request_ms),
            int(self.latency_sensitive),
        ]

    @classmethod
    def from_value(cls, value, now_ms):
        """Return the rate that a report of this moment represents."""
        fast_per_s, slow_per_s, adapter_per_s, idle_ms, sensitive = value
        return cls(
            fast_per_s,
            slow_per_s,
            adapter_per_s,
            now_ms - idle_ms,
            bool(sensitive),
            now_ms,
        )


class RequestRates:
    """Request rates by source (this VM or a peer that reports for others) and model.

    Each entry has the version at which it last changed, so that a report contains only
    what its receiver lacks.
    """

    __slots__ = ("_rates",)

    def __init__(self):
        # Source -> model -> (RequestRate, version).
        self._rates = {}

    def record_request(
        self, source, model, latency_sensitive, with_adapter, now_ms, version
    ):
        """Count a request of this VM."""
        rates = self._rates.setdefault(source, {})
        known = rates.get(model)
        rate = RequestRate(as_of_ms=now_ms) if known is None else known[0]
        rate.record_request(latency_sensitive, with_adapter, now_ms)
        rates[model] = (rate, version)

    def apply(self, source, rates, version):
        """Replace those rates of a source that it reported."""
        known = self._rates.setdefault(source, {})
        for model, rate in rates.items():
            known[model] = (rate, version)

    def on_restart(self, source):
        """Keep what a peer reported before its restart until it has decayed."""
        if source in self._rates:
            self._rates[_before_restart(source)] = self._rates.pop(source)

    def remove_source(self, source):
        """Forget what a peer reported."""
        self._rates.pop(source, None)
        self._rates.pop(_before_restart(source), None)

    def forget_idle(self, now_ms):
        """Forget the models that had no requests for long."""
        for rates in self._rates.values():
            for model, (rate, _) in list(rates.items()):
                if now_ms - rate.last_request_ms > FORGET_MS:
                    del rates[model]

    def total(self, sources, now_ms, since_version=-1):
        """Return the sums over some sources.

        Parameters
        ----------
        sources : collection of str
        now_ms : float
        since_version : int
            Only models that changed after this version at one of the sources.

        Returns
        -------
        dict of str to RequestRate
        """
        chosen = [
            self._rates[key]
            for name in sources
            for key in (name, _before_restart(name))
            if key in self._rates
        ]
        changed = {
            model
            for rates in chosen
            for model, (_, version) in rates.items()
            if version > since_version
        }
        totals = {}
        for rates in chosen:
            for model in changed & rates.keys():
                total = totals.get(model)
                if total is None:
                    total = totals[model] = RequestRate(as_of_ms=now_ms)
                total.add(rates[model][0], now_ms)
        return totals


def _before_restart(source):
    return source, "before its restart"
