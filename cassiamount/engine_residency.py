"""Models and adapters at each engine, as the holder of the order lease knows them."""

from .fleet_orders import target_name
from .fleet_reports import Residency

# The residency that the last lease holder reported stays valid for this long after its
# last report, because the platform's list is up to 2 s older.
RESIDENCY_EXPIRY_MS = 2_500.0


class EngineResidency:
    """Residency of all engines: this VM's own while it holds the lease, else a peer's.

    It is newer than the platform's list of backend servers. Each engine's own entry has
    a version, so that a report to a peer contains only what changed.

    Parameters
    ----------
    peers : PeerTable
    """

    __slots__ = (
        "own",
        "own_queued",
        "version",
        "_versions",
        "_peers",
        "_last_residency",
        "_last_heard_ms",
    )

    def __init__(self, peers):
        # Engine -> `Residency`; None while this VM does not hold the order lease.
        self.own = None
        # Model without a copy -> time at which some engine should have loaded it.
        self.own_queued = {}
        self.version = 0
        self._versions = {}
        self._peers = peers
        # The last lease holder's residency, and the time of its report.
        self._last_residency = {}
        self._last_heard_ms = -float("inf")

    def set_own(self, residency, queued, now_ms):
        """Set what this VM knows and plans while it holds the order lease.

        Parameters
        ----------
        residency : dict of str to Residency or None
            None if this VM does not hold the lease.
        queued : dict of str to float
            Model -> time at which some engine should have loaded it.
        now_ms : float
        """
        before = self.own or {}
        if residency is not None:
            self._last_residency = residency
            self._last_heard_ms = now_ms
        self.own = residency
        self.own_queued = queued
        self.version += 1
        versions = {}
        for name, item in (residency or {}).items():
            known = before.get(name)
            if known is None or item.differs(known):
                versions[name] = self.version
            else:
                versions[name] = self._versions[name]
        self._versions = versions

    def since(self, version, now_ms):
        """Return this VM's entries newer than a version, with times relative to now.

        Returns
        -------
        dict of str to Residency or None
            None while this VM does not hold the order lease.
        """
        if self.own is None:
            return None
        return {
            name: self.own[name].shifted(-now_ms)
            for name, changed in self._versions.items()
            if changed > version
        }

    def queued_in_ms(self, now_ms):
        """Return the remaining time until each queued model should be loaded."""
        return {name: round(at_ms - now_ms) for name, at_ms in self.own_queued.items()}

    def current(self, now_ms):
        """Return the residency and the queued models that the lease holder knows.

        Returns
        -------
        (dict of str to Residency, dict of str to float)
            Empty if no holder has reported recently.
        """
        if self.own is not None:
            return self.own, self.own_queued
        holder = self._peers.holder(now_ms)
        if holder is not None:
            peer = self._peers.peers[holder.vm]
            self._last_residency = peer.residency or {}
            self._last_heard_ms = peer.last_report_ms
            return self._last_residency, peer.queued
        if now_ms - self._last_heard_ms <= RESIDENCY_EXPIRY_MS:
            return self._last_residency, {}
        return {}, {}

    def age_ms(self, now_ms):
        """Return the age of the lease holder's data; None without a holder."""
        if self.own is not None:
            return 0
        holder = self._peers.holder(now_ms)
        if holder is None:
            return None
        return round(now_ms - self._peers.peers[holder.vm].last_report_ms)


def engine_residency(engine, now_ms):
    """Return the `Residency` that describes an `EngineState`."""
    coming = dict(engine.loading)
    if engine.change is not None:
        coming[engine.change.model] = engine.change.eta_ms
    for (model, adapter), at_ms in engine.adapters_loading.items():
        coming[target_name(model, adapter)] = now_ms if at_ms is None else at_ms
    return Residency(
        engine.record.started_wall_ms,
        {name: sorted(held) for name, held in engine.ready.items()},
        coming,
        sorted(engine.drained),
    )
