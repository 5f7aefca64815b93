"""Demand for each model and adapter, as averages over a fast and a slow window."""

import math

FAST_TIME_CONSTANT_MS = 5_000.0
SLOW_TIME_CONSTANT_MS = 90_000.0
# The slow average counts in part: what was needed lately keeps some value.
SLOW_AVERAGE_WEIGHT = 0.4
# VMs whose totals are remembered; the one heard of least recently is dropped.
VMS_LIMIT = 2_000


class DemandRate:
    """Demand for one model or adapter.

    Parameters
    ----------
    current_tokens_per_s : float
        Average over the fast window; what engines have to serve now.
    kept_tokens_per_s : float
        Also counts the slow window in part, so that a short pause does not remove
        what is needed again.
    """

    __slots__ = ("current_tokens_per_s", "sustained_tokens_per_s")

    def __init__(self, current_tokens_per_s, sustained_tokens_per_s):
        self.current_tokens_per_s = current_tokens_per_s
        self.sustained_tokens_per_s = sustained_tokens_per_s


class _Averages:
    __slots__ = ("fast", "slow", "updated_ms")

    def __init__(self, now_ms):
        self.fast = 0.0
        self.slow = 0.0
        self.updated_ms = now_ms

    def decay(self, now_ms):
        elapsed_ms = max(0.0, now_ms - self.updated_ms)
        self.fast *= math.exp(-elapsed_ms / FAST_TIME_CONSTANT_MS)
        self.slow *= math.exp(-elapsed_ms / SLOW_TIME_CONSTANT_MS)
        self.updated_ms = now_ms


class DemandTracker:
    """Tokens asked for per second, by model or adapter.

    Holders of placement leases learn the demand on each VM as totals since its start,
    so that a lost message loses nothing.
    """

    __slots__ = ("_averages", "_pending_tokens", "_last_totals")

    def __init__(self):
        self._averages = {}
        # Tokens counted since the last call of `rates`: one update of the averages
        # for each plan is enough, and one for each VM's totals costs much more.
        self._pending_tokens = {}
        # VM -> totals that it reported last.
        self._last_totals = {}

    def on_tokens(self, name, tokens):
        """Count tokens asked for."""
        self._pending_tokens[name] = self._pending_tokens.get(name, 0) + tokens

    def _update_averages(self, name, tokens, now_ms):
        averages = self._averages.get(name)
        if averages is None:
            averages = self._averages[name] = _Averages(now_ms)
        averages.decay(now_ms)
        averages.fast += tokens / FAST_TIME_CONSTANT_MS * 1000
        averages.slow += tokens / SLOW_TIME_CONSTANT_MS * 1000

    def on_totals(self, vm, totals):
        """Take a VM's totals.

        Parameters
        ----------
        vm : str
            Name with incarnation, so that a restarted VM counts from 0.
        totals : dict
            Model or adapter -> tokens asked for since the VM started.
        """
        previous = self._last_totals.pop(vm, None)
        if previous is not None:
            for name, total in totals.items():
                if total > previous.get(name, 0):
                    self.on_tokens(name, total - previous.get(name, 0))
        self._last_totals[vm] = dict(totals)
        if len(self._last_totals) > VMS_LIMIT:
            del self._last_totals[next(iter(self._last_totals))]

    def rates(self, now_ms):
        """Return the `Rate` of each model and adapter in demand, by name."""
        for name, tokens in self._pending_tokens.items():
            self._update_averages(name, tokens, now_ms)
        self._pending_tokens.clear()
        rates = {}
        for name, averages in list(self._averages.items()):
            averages.decay(now_ms)
            sustained = max(averages.fast, SLOW_AVERAGE_WEIGHT * averages.slow)
            if sustained < 0.01:
                del self._averages[name]
            else:
                rates[name] = DemandRate(averages.fast, sustained)
        return rates
