"""Which adapters to load on the engines that hold their models."""

from .engine_orders import LOAD_ADAPTER
from .placement_view import Move

# Adapters in flight over all zones up to which each loads in several milliseconds.
FLEET_CONCURRENT_ADAPTERS = 64
# Adapters with less than this share of the demand are not loaded ahead of requests.
ADAPTER_SHARE = 0.002


def plan_adapters(adapters, demand, views, reserved_mb, evicted, zone_share):
    """Return loads of adapters in demand wherever their model is ready.

    Parameters
    ----------
    adapters : dict
        Name -> Adapter.
    demand : dict
        Model or adapter -> tokens/s.
    views : list of EngineView
        The zone's usable engines; changed to contain the planned loads.
    reserved_mb : dict
        Engine -> memory that wanted models need.
    evicted : set of (str, str)
        (engine, model) pairs about to be unloaded.
    zone_share : float
        The zone's share of the fleet's limit.

    Returns
    -------
    list of Move
    """
    limit = max(1, int(FLEET_CONCURRENT_ADAPTERS * zone_share))
    for view in views:
        limit -= sum(1 for name in view.held.keys() - view.ready if name in adapters)
    total = sum(rate for name, rate in demand.items() if name not in adapters) or 1.0
    wanted = sorted(
        (a for a in adapters.values() if demand.get(a.name, 0) / total > ADAPTER_SHARE),
        key=lambda adapter: -demand[adapter.name],
    )
    moves = []
    for adapter in wanted:
        for view in views:
            if limit <= 0:
                return moves
            if adapter.base not in view.ready & view.staying:
                continue
            if adapter.name in view.held or (view.name, adapter.base) in evicted:
                continue
            if adapter.memory_mb > view.free_mb - reserved_mb.get(view.name, 0):
                continue
            view.free_mb -= adapter.memory_mb
            view.held[adapter.name] = adapter.version
            limit -= 1
            moves.append(
                Move(
                    view.name,
                    LOAD_ADAPTER,
                    adapter.name,
                    adapter.version,
                    adapter.memory_mb,
                    adapter.base,
                    "demand",
                )
            )
    return moves
