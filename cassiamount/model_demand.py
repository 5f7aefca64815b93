"""Demand for one model over all VMs: running, waiting and arriving requests."""

import math

# Assumed time that a request spends at an engine; the measured times of the engines are
# not known here.
REQUEST_DURATION_MS = 1_500.0
# Time constants of the exponentially decaying request rates: the fast one shows the
# current demand, the slow one which models will soon be requested again.
FAST_WINDOW_MS = 1_500.0
SLOW_WINDOW_MS = 10_000.0
# Waiting requests, also of callers told to retry, count as a request rate, as if they
# had arrived within this time.
WAITING_WINDOW_S = 3.0
# An adapter that was used this recently may still be in use: the reports of other VMs
# are up to 100 ms old, and a request takes some ms to reach the engine.
ADAPTER_IDLE_MS = 180.0
# Callers that expect a response within this time do not wait for a model load.
LATENCY_SENSITIVE_OBJECTIVE_MS = 1_500.0


class RequestCount:
    """Requests for one model that one or all VMs have received since their start.

    Parameters
    ----------
    total : int
    hurried : int
        Requests whose callers do not wait for a model load.
    with_adapter : int
        Requests that name an adapter of the model.
    """

    __slots__ = ("total", "latency_sensitive", "with_adapter")

    def __init__(self, total=0, latency_sensitive=0, with_adapter=0):
        self.total = total
        self.latency_sensitive = latency_sensitive
        self.with_adapter = with_adapter

    def add(self, other):
        """Add the numbers of another count."""
        self.total += other.total
        self.latency_sensitive += other.latency_sensitive
        self.with_adapter += other.with_adapter

    def add_growth(self, before, after):
        """Add the increase of another count between two of its readings."""
        self.total += max(0, after.total - before.total)
        self.latency_sensitive += max(
            0, after.latency_sensitive - before.latency_sensitive
        )
        self.with_adapter += max(0, after.with_adapter - before.with_adapter)


NO_REQUESTS = RequestCount()


class ModelDemand:
    """Demand for one model over all VMs.

    A request that is refused because the model is not loaded neither runs nor waits, so
    the request rate counts as demand too.
    """

    __slots__ = (
        "running",
        "waiting",
        "last_request_ms",
        "updated_ms",
        "total",
        "fast_rate_per_s",
        "slow_rate_per_s",
        "missing_since_ms",
        "latency_sensitive",
        "adapter_total",
        "adapter_rate_per_s",
        "adapters_in_use",
    )

    def __init__(self, now_ms, request_count):
        self.running = 0
        self.waiting = 0
        self.last_request_ms = -math.inf
        self.updated_ms = now_ms
        self.total = request_count.total
        self.fast_rate_per_s = 0.0
        self.slow_rate_per_s = 0.0
        # Requests for the model's adapters: in total and per second.
        self.adapter_total = request_count.with_adapter
        self.adapter_rate_per_s = 0.0
        # Adapter slots with running requests, plus adapters that requests wait for.
        self.adapters_in_use = 0
        # Since when the model has been requested without a copy at any engine.
        self.missing_since_ms = None
        # Whether any caller does not wait for a load; None before the first request.
        self.latency_sensitive = None

    def update(self, running, waiting, request_count, now_ms):
        """Update the demand and its rates.

        Parameters
        ----------
        running, waiting : int
            Requests that run or wait now.
        request_count : RequestCount
            All requests so far.
        now_ms : float
        """
        elapsed_ms = now_ms - self.updated_ms
        if elapsed_ms <= 0:
            return
        self.updated_ms = now_ms
        self.running = running
        self.waiting = waiting
        arrived = max(0, request_count.total - self.total)
        self.total = request_count.total
        adapter_arrivals = max(0, request_count.with_adapter - self.adapter_total)
        self.adapter_total = request_count.with_adapter
        self.adapter_rate_per_s = _decayed_rate(
            self.adapter_rate_per_s, adapter_arrivals, elapsed_ms, SLOW_WINDOW_MS
        )
        self.fast_rate_per_s = _decayed_rate(
            self.fast_rate_per_s, arrived, elapsed_ms, FAST_WINDOW_MS
        )
        self.slow_rate_per_s = _decayed_rate(
            self.slow_rate_per_s, arrived, elapsed_ms, SLOW_WINDOW_MS
        )
        if running or waiting or arrived:
            self.last_request_ms = now_ms
            self.latency_sensitive = (
                bool(self.latency_sensitive) or request_count.latency_sensitive > 0
            )

    @property
    def concurrency(self):
        """Requests that run, or would run if the engines had room."""
        expected = self.fast_rate_per_s * REQUEST_DURATION_MS / 1000
        return max(self.running + self.waiting, expected)

    @property
    def adapter_slots(self):
        """Adapter slots that the model's requests need at the same time."""
        return self.adapters_in_use + self.adapter_rate_per_s * ADAPTER_IDLE_MS / 1000

    @property
    def rate_per_s(self):
        """Highest estimate of the requests per second."""
        return max(
            self.fast_rate_per_s, self.slow_rate_per_s, self.waiting / WAITING_WINDOW_S
        )


def _decayed_rate(rate_per_s, arrived, elapsed_ms, window_ms):
    decay = math.exp(-elapsed_ms / window_ms)
    return decay * rate_per_s + 1000 * arrived / window_ms
