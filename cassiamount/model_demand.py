"""Demand for one model over all VMs: running, waiting and arriving requests."""

import math

# Assumed time that a request spends at an engine; the measured times of the engines are
# not known here.
REQUEST_DURATION_MS = 1_500.0
# Waiting requests, also of callers told to retry, count as a request rate, as if they
# had arrived within this time.
WAITING_WINDOW_S = 3.0
# An adapter that was used this recently may still be in use: the reports of other VMs
# are up to 100 ms old, and a request takes some ms to reach the engine.
ADAPTER_IDLE_MS = 180.0
# Callers that expect a response within this time do not wait for a model load.
LATENCY_SENSITIVE_OBJECTIVE_MS = 1_500.0


class ModelDemand:
    """Demand for one model over all VMs.

    A request that is refused because the model is not loaded neither runs nor waits, so
    the request rate counts as demand too.
    """

    __slots__ = (
        "running",
        "waiting",
        "last_request_ms",
        "fast_rate_per_s",
        "slow_rate_per_s",
        "missing_since_ms",
        "latency_sensitive",
        "adapter_rate_per_s",
        "adapters_in_use",
    )

    def __init__(self):
        self.running = 0
        self.waiting = 0
        self.last_request_ms = -math.inf
        self.fast_rate_per_s = 0.0
        self.slow_rate_per_s = 0.0
        # Requests per second for the model's adapters.
        self.adapter_rate_per_s = 0.0
        # Adapter slots with running requests, plus adapters that requests wait for.
        self.adapters_in_use = 0
        # Since when the model has been requested without a copy at any engine.
        self.missing_since_ms = None
        # Whether any caller does not wait for a load; None before the first request.
        self.latency_sensitive = None

    def update(self, running, waiting, rate, now_ms):
        """Update the demand.

        Parameters
        ----------
        running, waiting : int
            Requests that run or wait now.
        rate : RequestRate
            Over all VMs.
        now_ms : float
        """
        rate.decay(now_ms)
        self.running = running
        self.waiting = waiting
        self.fast_rate_per_s = rate.fast_per_s
        self.slow_rate_per_s = rate.slow_per_s
        self.adapter_rate_per_s = rate.adapter_per_s
        self.last_request_ms = max(self.last_request_ms, rate.last_request_ms)
        if running or waiting:
            self.last_request_ms = now_ms
        if self.last_request_ms > -math.inf:
            self.latency_sensitive = (
                bool(self.latency_sensitive) or rate.latency_sensitive
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
