"""Repeats of requests, limited over all VMs by a share for each."""

from collections import deque

# Part of the allowed repeats that is used; counts of several VMs are not taken at the
# same moment.
USED_SHARE = 0.8
SLICE_MS = 250.0


class RepeatWindow:
    """Requests and repeats of one service in a sliding window on one VM."""

    __slots__ = ("_window_ms", "_slices", "requests", "repeats")

    def __init__(self, window_ms):
        self._window_ms = window_ms
        self._slices = deque()
        self.requests = 0
        self.repeats = 0

    def add(self, now_ms, requests, repeats):
        """Count requests or repeats."""
        self.advance(now_ms)
        mark = now_ms // SLICE_MS
        if not self._slices or self._slices[-1][0] != mark:
            self._slices.append([mark, 0, 0])
        self._slices[-1][1] += requests
        self._slices[-1][2] += repeats
        self.requests += requests
        self.repeats += repeats

    def advance(self, now_ms):
        """Drop what is older than the window."""
        oldest = (now_ms - self._window_ms) // SLICE_MS - 1
        while self._slices and self._slices[0][0] < oldest:
            _, requests, repeats = self._slices.popleft()
            self.requests -= requests
            self.repeats -= repeats


class SharedRetries:
    """Allows repeats within this VM's share of what all VMs may send.

    Parameters
    ----------
    ratio : float
        Repeats allowed for each request.
    slack : float
        Repeats allowed besides, over all VMs.
    window_ms : float
    """

    def __init__(self, ratio, slack, window_ms):
        self.ratio = ratio
        self.slack = slack
        self._window_ms = window_ms
        self._services = {}

    def note_request(self, service, now_ms):
        """Count a request of a caller."""
        self._window(service).add(now_ms, 1, 0)

    def take(self, service, vms, now_ms):
        """Use one repeat; return False if this VM's share is spent.

        Parameters
        ----------
        service : str
        vms : int
            VMs that may send repeats, this one included.
        now_ms : float
        """
        window = self._window(service)
        window.advance(now_ms)
        allowed = USED_SHARE * (self.ratio * window.requests + self.slack / max(1, vms))
        if window.repeats + 1 > allowed:
            return False
        window.add(now_ms, 0, 1)
        return True

    def _window(self, service):
        window = self._services.get(service)
        if window is None:
            window = self._services[service] = RepeatWindow(self._window_ms)
        return window
