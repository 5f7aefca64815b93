"""Token demand per model and adapter, as exponentially decaying averages."""

import math

FAST_TIME_CONSTANT_MS = 5_000.0
SLOW_TIME_CONSTANT_MS = 90_000.0
# Factor on the slow average, below 1 so that past demand counts less than current.
SLOW_AVERAGE_WEIGHT = 0.4
# Number of VMs whose totals are kept; the least recently updated one is evicted.
VMS_LIMIT = 2_000


class DemandRate:
    """Demand for one model or adapter.

    Parameters
    ----------
    current_tokens_per_s : float
        The fast average: the load that engines have to serve now.
    sustained_tokens_per_s : float
        The fast average, or the weighted slow average if that is higher. A short
        pause in traffic therefore doesn't evict a model that is needed again soon.
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
    """Requested tokens per second, by model or adapter.

    VMs report cumulative totals since their start to the holders of the placement
    leases, so a lost message is made up for by the next one.
    """

    __slots__ = ("_averages", "_pending_tokens", "_last_totals")

    def __init__(self):
        self._averages = {}
        # Tokens counted since the last call of `rates`. The averages are updated once
        # per plan, because an update for each VM's report costs much more.
        self._pending_tokens = {}
        # VM -> the totals in its last report.
        self._last_totals = {}

    def on_tokens(self, name, tokens):
        """Add requested tokens to the demand for a model or adapter."""
        self._pending_tokens[name] = self._pending_tokens.get(name, 0) + tokens

    def _update_averages(self, name, tokens, now_ms):
        averages = self._averages.get(name)
        if averages is None:
            averages = self._averages[name] = _Averages(now_ms)
        averages.decay(now_ms)
        averages.fast += tokens / FAST_TIME_CONSTANT_MS * 1000
        averages.slow += tokens / SLOW_TIME_CONSTANT_MS * 1000

    def on_totals(self, vm, totals):
        """Add the increase since the VM's previous report to the demand.

        The first report of a VM only sets the baseline.

        Parameters
        ----------
        vm : str
            Name with incarnation, because totals restart at 0 with the VM.
        totals : dict
            Model or adapter -> tokens requested since the VM started.
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
        """Return the `DemandRate` of each model and adapter with demand, by name."""
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
