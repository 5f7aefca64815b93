"""Requests for each model that came to this VM and to all VMs."""

from .model_demand import NOT_ASKED, AskedCount


class AskedCounts:
    """Counts of this VM with their versions, and the sums over all VMs."""

    __slots__ = ("own", "total", "version", "_versions")

    def __init__(self):
        # By model, since this VM's start.
        self.own = {}
        self.total = {}
        self.version = 0
        self._versions = {}

    def note(self, model, hurried, with_adapter):
        """Count a request for a model."""
        one = AskedCount(1, int(hurried), int(with_adapter))
        self.own.setdefault(model, AskedCount()).add(one)
        self.total.setdefault(model, AskedCount()).add(one)
        self.version += 1
        self._versions[model] = self.version

    def since(self, version):
        """Return this VM's counts that changed after a version, by model."""
        return {
            model: self.own[model]
            for model, changed in self._versions.items()
            if changed > version
        }

    def add_peer(self, before, after):
        """Add what the counts of a peer grew by.

        Parameters
        ----------
        before, after : dict of str to AskedCount
            `before` is empty if the peer is new or was restarted.
        """
        for model, count in after.items():
            total = self.total.setdefault(model, AskedCount())
            total.add_growth(before.get(model, NOT_ASKED), count)
