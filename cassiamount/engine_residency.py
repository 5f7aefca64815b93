"""What the engines hold: as this VM decides it, or as the holder of the orders says."""

from .fleet_orders import target_name
from .fleet_reports import Residency

# What the last holder of the orders said of the engines counts for this long after it
# fell silent: the platform's list is older than that by up to 2 s.
RESIDENCY_EXPIRY_MS = 2_500.0


class EngineResidency:
    """What is known of the engines beside the platform's list.

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
        # By engine; None while this VM does not hold the orders.
        self.own = None
        # Model -> time at which some engine should hold it.
        self.own_queued = {}
        self.version = 0
        self._versions = {}
        self._peers = peers
        # What the last holder said, and when.
        self._last_residency = {}
        self._last_heard_ms = -float("inf")

    def set_own(self, residency, queued, now_ms):
        """Take what this VM knows and plans as the holder; None if it is not.

        Parameters
        ----------
        residency : dict of str to Residency or None
        queued : dict of str to float
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
        """Return what this VM decided after a version, with times in ms from now.

        Returns
        -------
        dict of str to Residency or None
            None while this VM does not hold the orders.
        """
        if self.own is None:
            return None
        return {
            name: self.own[name].shifted(-now_ms)
            for name, changed in self._versions.items()
            if changed > version
        }

    def queued_in_ms(self, now_ms):
        """Return the times from now until queued models should be held."""
        return {name: round(at_ms - now_ms) for name, at_ms in self.own_queued.items()}

    def current(self, now_ms):
        """Return the engines and the queued models as the holder says.

        Returns
        -------
        (dict of str to Residency, dict of str to float)
            Empty without a holder.
        """
        if self.own is not None:
            return self.own, self.own_queued
        holder = self._peers.holder(now_ms)
        if holder is not None:
            peer = self._peers.peers[holder.vm]
            self._last_residency = peer.residency or {}
            self._last_heard_ms = peer.heard_ms
            return self._last_residency, peer.queued
        if now_ms - self._last_heard_ms <= RESIDENCY_EXPIRY_MS:
            return self._last_residency, {}
        return {}, {}

    def age_ms(self, now_ms):
        """Return the age of what is known; None without a holder."""
        if self.own is not None:
            return 0
        holder = self._peers.holder(now_ms)
        if holder is None:
            return None
        return round(now_ms - self._peers.peers[holder.vm].heard_ms)


def engine_residency(engine, now_ms):
    """Return the `Residency` of an engine as the holder believes it."""
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
