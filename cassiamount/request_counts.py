"""Counts of the requests for each model, on this VM and on all VMs."""

from .model_demand import NO_REQUESTS, RequestCount


class RequestCounts:
    """Request counts of this VM by model, and the totals of all VMs.

    Each count of this VM has a version, so that a report to a peer contains only the
    counts that changed.
    """

    __slots__ = ("own", "total", "version", "_versions")

    def __init__(self):
        # Model -> `RequestCount`, since this VM's start.
        self.own = {}
        self.total = {}
        self.version = 0
        self._versions = {}

    def record_request(self, model, latency_sensitive, with_adapter):
        """Count a request for a model that this VM received."""
        request = RequestCount(1, int(latency_sensitive), int(with_adapter))
        self.own.setdefault(model, RequestCount()).add(request)
        self.total.setdefault(model, RequestCount()).add(request)
        self.version += 1
        self._versions[model] = self.version

    def since(self, version):
        """Return this VM's counts that are newer than a version, by model."""
        return {
            model: self.own[model]
            for model, changed in self._versions.items()
            if changed > version
        }

    def add_peer_growth(self, before, after):
        """Add the increase of a peer's counts to the totals.

        Parameters
        ----------
        before, after : dict of str to RequestCount
            By model; `before` is empty if the peer is new or was restarted.
        """
        for model, count in after.items():
            total = self.total.setdefault(model, RequestCount())
            total.add_growth(before.get(model, NO_REQUESTS), count)
