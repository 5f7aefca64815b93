"""Requests for each model that came to this VM and to all VMs."""

from .model_demand import NO_REQUESTS, RequestCount


class RequestCounts:
    """Counts of this VM with their versions, and the sums over all VMs."""

    __slots__ = ("own", "total", "version", "_versions")

    def __init__(self):
        # By model, since this VM's start.
        self.own = {}
        self.total = {}
        self.version = 0
        self._versions = {}

    def record_request(self, model, latency_sensitive, with_adapter):
        """Count a request for a model."""
        request = RequestCount(1, int(latency_sensitive), int(with_adapter))
        self.own.setdefault(model, RequestCount()).add(request)
        self.total.setdefault(model, RequestCount()).add(request)
        self.version += 1
        self._versions[model] = self.version

    def since(self, version):
        """Return this VM's counts that changed after a version, by model."""
        return {
            model: self.own[model]
            for model, changed in self._versions.items()
            if changed > version
        }

    def add_peer_growth(self, before, after):
        """Add what the counts of a peer grew by.

        Parameters
        ----------
        before, after : dict of str to AskedCount
            `before` is empty if the peer is new or was restarted.
        """
        for model, count in after.items():
            total = self.total.setdefault(model, RequestCount())
            total.add_growth(before.get(model, NO_REQUESTS), count)
