"""Decaying request rates of the models, on one VM and summed over several."""

import math

# Time constants of the exponentially decaying rates: the fast one shows the current
# demand, the slow one which models will soon be requested again.
FAST_WINDOW_MS = 1_500.0
SLOW_WINDOW_MS = 10_000.0
# A model without requests for this long is no longer reported.
FORGET_MS = 60_000.0
# Interval at which such models are looked for, a small part of that time.
FORGET_INTERVAL_MS = 1_000.0


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
        fast, slow = _decay_over(elapsed_ms)
        self.fast_per_s *= fast
        self.slow_per_s *= slow
        self.adapter_per_s *= slow

    def add(self, other, now_ms, decays=None):
        """Add another VM's rate.

        Parameters
        ----------
        other : RequestRate
        now_ms : float
        decays : dict of float to tuple, optional
            Elapsed time -> parts that are left after it, kept between calls: the rates
            of one report are as of one time.
        """
        self.decay(now_ms)
        elapsed_ms = max(0.0, now_ms - other.as_of_ms)
        left = None if decays is None else decays.get(elapsed_ms)
        if left is None:
            left = _decay_over(elapsed_ms)
            if decays is not None:
                decays[elapsed_ms] = left
        fast, slow = left
        self.fast_per_s += fast * other.fast_per_s
        self.slow_per_s += slow * other.slow_per_s
        self.adapter_per_s += slow * other.adapter_per_s
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
    what its receiver lacks. Versions grow with each change.
    """

    __slots__ = (
        "_rates",
        "_changed",
        "_sums",
        "_summed",
        "_sums_version",
        "_forgot_ms",
    )

    def __init__(self):
        # Source -> model -> (RequestRate, version).
        self._rates = {}
        # Model -> version of its last change at any source, in this order.
        self._changed = {}
        # Model -> RequestRate over the sources of the last call of `total` without a
        # version, these sources, and the version up to which the sums have all changes.
        self._sums = {}
        self._summed = None
        self._sums_version = -1
        self._forgot_ms = -math.inf

    def record_request(
        self, source, model, latency_sensitive, with_adapter, now_ms, version
    ):
        """Count a request of this VM."""
        rates = self._rates.setdefault(source, {})
        known = rates.get(model)
        rate = RequestRate(as_of_ms=now_ms) if known is None else known[0]
        rate.record_request(latency_sensitive, with_adapter, now_ms)
        rates[model] = (rate, version)
        self._mark_changed(model, version)

    def apply(self, source, rates, version):
        """Replace those rates of a source that it reported."""
        known = self._rates.setdefault(source, {})
        for model, rate in rates.items():
            known[model] = (rate, version)
            self._mark_changed(model, version)

    def _mark_changed(self, model, version):
        self._changed.pop(model, None)
        self._changed[model] = version

    def on_restart(self, source):
        """Keep what a peer reported before its restart until it has decayed."""
        if source in self._rates:
            self._rates[_before_restart(source)] = self._rates.pop(source)
            self._summed = None

    def remove_source(self, source):
        """Forget what a peer reported."""
        for key in (source, _before_restart(source)):
            if self._rates.pop(key, None) is not None:
                self._summed = None

    def forget_idle(self, now_ms):
        """Forget the models that had no requests for long."""
        if now_ms - self._forgot_ms < FORGET_INTERVAL_MS:
            return
        self._forgot_ms = now_ms
        has_forgotten = False
        for rates in self._rates.values():
            for model, (rate, _) in list(rates.items()):
                if now_ms - rate.last_request_ms > FORGET_MS:
                    del rates[model]
                    has_forgotten = True
        if has_forgotten:
            self._summed = None
            kept = set().union(*self._rates.values())
            self._changed = {m: v for m, v in self._changed.items() if m in kept}

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
        chosen = {
            key: self._rates[key]
            for name in sources
            for key in (name, _before_restart(name))
            if key in self._rates
        }
        if since_version < 0:
            return self._update_sums(chosen, now_ms)
        changed = [
            model
            for model in self._changed_since(since_version)
            if any(
                model in rates and rates[model][1] > since_version
                for rates in chosen.values()
            )
        ]
        return self._add_up(chosen.values(), changed, now_ms)

    def _update_sums(self, chosen, now_ms):
        """Return the sums of all models; only those that changed are added up."""
        if self._summed != chosen.keys():
            self._sums = {}
            self._summed = set(chosen)
            self._sums_version = -1
        changed = list(self._changed_since(self._sums_version))
        self._sums |= self._add_up(chosen.values(), changed, now_ms)
        if changed:
            self._sums_version = self._changed[changed[0]]
        for rate in self._sums.values():
            rate.decay(now_ms)
        return self._sums

    def _changed_since(self, version):
        """Yield the models that changed after a version, the last one first."""
        for model, changed in reversed(self._changed.items()):
            if changed <= version:
                return
            yield model

    def _add_up(self, chosen, models, now_ms):
        decays = {}
        totals = {}
        for rates in chosen:
            for model in models:
                known = rates.get(model)
                if known is None:
                    continue
                total = totals.get(model)
                if total is None:
                    total = totals[model] = RequestRate(as_of_ms=now_ms)
                total.add(known[0], now_ms, decays)
        return totals


def _decay_over(elapsed_ms):
    """Return the parts of a fast and a slow rate that are left after some time."""
    return math.exp(-elapsed_ms / FAST_WINDOW_MS), math.exp(
        -elapsed_ms / SLOW_WINDOW_MS
    )


def _before_restart(source):
    return source, "before its restart"
