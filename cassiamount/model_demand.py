"""How much one model is asked for over all VMs."""

import math

# Time that a request is at an engine until the engines' own times are known.
REQUEST_DURATION_MS = 1_500.0
# Time constants of the rates at which a model is asked for: the fast one finds what is
# needed now, the slow one what will soon be asked for again.
FAST_WINDOW_MS = 1_500.0
SLOW_WINDOW_MS = 10_000.0
# Callers that wait or were told to come back count like a rate for this long.
WAITING_WINDOW_S = 3.0
# An adapter that was in use this recently may still be in use: reports of other VMs are
# up to 100 ms old, and a request is on its way for some ms.
ADAPTER_IDLE_MS = 180.0
# Callers that expect an answer within this time do not wait for a load.
LATENCY_SENSITIVE_OBJECTIVE_MS = 1_500.0


class RequestCount:
    """Requests for one model that came to some VMs since their start.

    Parameters
    ----------
    total : int
    hurried : int
        Requests whose callers do not wait for a load.
    with_adapter : int
    """

    __slots__ = ("total", "latency_sensitive", "with_adapter")

    def __init__(self, total=0, latency_sensitive=0, with_adapter=0):
        self.total = total
        self.latency_sensitive = latency_sensitive
        self.with_adapter = with_adapter

    def add(self, other):
        """Add another count."""
        self.total += other.total
        self.latency_sensitive += other.latency_sensitive
        self.with_adapter += other.with_adapter

    def add_growth(self, before, after):
        """Add what another count grew by."""
        self.total += max(0, after.total - before.total)
        self.latency_sensitive += max(
            0, after.latency_sensitive - before.latency_sensitive
        )
        self.with_adapter += max(0, after.with_adapter - before.with_adapter)


NO_REQUESTS = RequestCount()


class ModelDemand:
    """Load of one model over all VMs.

    A request that is refused because the model is missing neither runs nor waits, so
    the rate at which the model is asked for counts too.
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
        # Requests for adapters of it, so far and for each second.
        self.adapter_total = request_count.with_adapter
        self.adapter_rate_per_s = 0.0
        # Places for adapters that run now, and adapters that are waited for.
        self.adapters_in_use = 0
        # Since when it is asked for without a copy.
        self.missing_since_ms = None
        # Whether callers ask for it who do not wait for a load; None if unknown.
        self.latency_sensitive = None

    def update(self, running, waiting, request_count, now_ms):
        """Take the current numbers of requests, and all that came so far.

        Parameters
        ----------
        running, waiting : int
        asked : AskedCount
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
        """Requests that run or would run if there were room."""
        expected = self.fast_rate_per_s * REQUEST_DURATION_MS / 1000
        return max(self.running + self.waiting, expected)

    @property
    def adapter_slots(self):
        """Places for adapters that all its requests need at the same time."""
        return self.adapters_in_use + self.adapter_rate_per_s * ADAPTER_IDLE_MS / 1000

    @property
    def rate_per_s(self):
        """Requests per second to count with."""
        return max(
            self.fast_rate_per_s, self.slow_rate_per_s, self.waiting / WAITING_WINDOW_S
        )


def _decayed_rate(rate_per_s, arrived, elapsed_ms, window_ms):
    decay = math.exp(-elapsed_ms / window_ms)
    return decay * rate_per_s + 1000 * arrived / window_ms
