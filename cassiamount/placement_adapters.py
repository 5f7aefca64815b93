"""Placement of adapters on the engines that hold their base models."""

from .engine_orders import LOAD_ADAPTER
from .placement_view import Move

# Limit on adapter loads in progress over all zones. Up to this number, each adapter
# loads within several milliseconds.
MAX_CONCURRENT_ADAPTER_LOADS = 64
# Adapters with more than this share of the demand are loaded on every engine that
# holds their base model, all others on one such engine per zone.
POPULAR_ADAPTER_MIN_SHARE = 0.002


def plan_adapters(adapters, demand, views, reserved_mb, evicted, zone_share):
    """Plan loads of adapters on engines where their base models are ready.

    Parameters
    ----------
    adapters : dict
        Name -> Adapter.
    demand : dict
        Model or adapter -> tokens/s.
    views : list of EngineView
        The zone's usable engines. Planned loads are added to `held` and deducted
        from `free_mb`.
    reserved_mb : dict
        Engine -> memory reserved for pending model loads.
    evicted : set of (str, str)
        (engine, model) pairs that pending loads will evict.
    zone_share : float
        The zone's share of `MAX_CONCURRENT_ADAPTER_LOADS`.

    Returns
    -------
    list of Move
    """
    limit = max(1, int(MAX_CONCURRENT_ADAPTER_LOADS * zone_share))
    for view in views:
        limit -= sum(1 for name in view.held.keys() - view.ready if name in adapters)
    total = sum(rate for name, rate in demand.items() if name not in adapters) or 1.0
    moves = []
    ordered = sorted(adapters.values(), key=lambda a: (-demand.get(a.name, 0), a.name))
    for adapter in ordered:
        hosts = [
            view
            for view in views
            if adapter.base in view.ready & view.staying
            and (view.name, adapter.base) not in evicted
        ]
        if demand.get(adapter.name, 0) / total <= POPULAR_ADAPTER_MIN_SHARE:
            if any(adapter.name in view.held for view in hosts):
                continue
            hosts = sorted(hosts, key=lambda view: -view.free_mb)[:1]
        for view in hosts:
            if limit <= 0:
                return moves
            free_mb = view.free_mb - reserved_mb.get(view.name, 0)
            if adapter.name not in view.held and adapter.memory_mb <= free_mb:
                view.free_mb -= adapter.memory_mb
                view.held[adapter.name] = adapter.version
                limit -= 1
                moves.append(_load_move(view, adapter))
    return moves


def _load_move(view, adapter):
    return Move(
        view.name,
        LOAD_ADAPTER,
        adapter.name,
        adapter.version,
        adapter.memory_mb,
        adapter.base,
        "demand",
    )
