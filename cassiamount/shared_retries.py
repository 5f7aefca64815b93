"""Fleet-wide limit on retries, of which each VM enforces its share."""

from collections import deque

# Fraction of the limit that a VM uses. The VMs count at different moments, so without
# this margin their sum could exceed the limit.
SAFETY_FACTOR = 0.8
# Resolution of the sliding window.
BUCKET_MS = 250.0


class RetryWindow:
    """Requests and retries of one service on this VM, in a sliding window."""

    __slots__ = ("_window_ms", "_buckets", "requests", "retries")

    def __init__(self, window_ms):
        self._window_ms = window_ms
        self._buckets = deque()
        self.requests = 0
        self.retries = 0

    def add(self, now_ms, requests, retries):
        """Count requests and retries."""
        self.advance(now_ms)
        bucket_index = now_ms // BUCKET_MS
        if not self._buckets or self._buckets[-1][0] != bucket_index:
            self._buckets.append([bucket_index, 0, 0])
        self._buckets[-1][1] += requests
        self._buckets[-1][2] += retries
        self.requests += requests
        self.retries += retries

    def advance(self, now_ms):
        """Remove buckets that are older than the window."""
        oldest = (now_ms - self._window_ms) // BUCKET_MS - 1
        while self._buckets and self._buckets[0][0] < oldest:
            _, requests, retries = self._buckets.popleft()
            self.requests -= requests
            self.retries -= retries


class SharedRetryBudget:
    """Allows retries within this VM's share of the fleet-wide limit.

    Parameters
    ----------
    ratio : float
        Retries allowed for each request.
    slack : float
        Further retries allowed in each window, divided among all VMs.
    window_ms : float
        Length of the sliding window.
    """

    def __init__(self, ratio, slack, window_ms):
        self.ratio = ratio
        self.slack = slack
        self._window_ms = window_ms
        self._services = {}

    def record_request(self, service, now_ms):
        """Count a request of a caller; its retries are not counted here."""
        self._window(service).add(now_ms, 1, 0)

    def try_acquire(self, service, vms, now_ms):
        """Spend one retry; return False if this VM's share is used up.

        Parameters
        ----------
        service : str
        vms : int
            VMs that may send retries, this one included.
        now_ms : float
        """
        window = self._window(service)
        window.advance(now_ms)
        allowed = SAFETY_FACTOR * (
            self.ratio * window.requests + self.slack / max(1, vms)
        )
        if window.retries + 1 > allowed:
            return False
        window.add(now_ms, 0, 1)
        return True

    def _window(self, service):
        window = self._services.get(service)
        if window is None:
            window = self._services[service] = RetryWindow(self._window_ms)
        return window
