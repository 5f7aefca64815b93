"""What the placement policy sees of the engines, and what it wants changed."""

import xxhash

from .engine_orders import LOAD_ACTIONS


class EngineView:
    """One engine as the policy sees it.

    Parameters
    ----------
    name, zone : str
    free_mb : int
        Memory that a load ordered now may use; 0 for engines of other zones.
    capacity_mb : int
    running, max_running : int
    usable : bool
        Whether it serves and recent reports describe it.
    """

    __slots__ = (
        "name",
        "zone",
        "free_mb",
        "capacity_mb",
        "running",
        "max_running",
        "usable",
        "held",
        "ready",
        "unloading",
        "memory_mb",
    )

    def __init__(self, name, zone, free_mb, capacity_mb, running, max_running, usable):
        self.name = name
        self.zone = zone
        self.free_mb = free_mb
        self.capacity_mb = capacity_mb
        self.running = running
        self.max_running = max_running
        self.usable = usable
        # Name -> version of models and adapters that are resident or being loaded.
        self.held = {}
        self.ready = set()
        # Names being unloaded.
        self.unloading = set()
        # Name -> memory.
        self.memory_mb = {}

    @property
    def staying(self):
        """Names that are held and not being unloaded."""
        return self.held.keys() - self.unloading


class Move:
    """A wanted order.

    Parameters
    ----------
    engine, action, name, version : str
    memory_mb : int
    base : str
        Model of an adapter.
    reason : str
    """

    __slots__ = ("engine", "action", "name", "version", "memory_mb", "base", "reason")

    def __init__(self, engine, action, name, version, memory_mb, base="", reason=""):
        self.engine = engine
        self.action = action
        self.name = name
        self.version = version
        self.memory_mb = memory_mb
        self.base = base
        self.reason = reason

    def __repr__(self):
        return f"Move({self.engine}, {self.action}, {self.name}: {self.reason})"


def views_of(ledger, now_ms):
    """Return an `EngineView` of each engine that a ledger knows, by name."""
    views = {}
    for name, memory in ledger.engines().items():
        report = memory.report
        running = report.running + report.waiting if report else 0
        view = EngineView(
            name,
            memory.backend.zone,
            ledger.free_mb(name),
            memory.capacity_mb,
            running,
            memory.backend.max_running,
            memory.usable(now_ms) and memory.known,
        )
        for key, copy in memory.copies.items():
            view.held[key[0]] = key[1]
            view.memory_mb[key[0]] = copy.memory_mb
            if memory.reported_ready(key):
                view.ready.add(key[0])
        views[name] = view
    for order in ledger.unsettled():
        view = views.get(order.engine)
        if view is None:
            continue
        if order.action in LOAD_ACTIONS:
            view.held.setdefault(order.name, order.version)
            view.memory_mb.setdefault(order.name, order.memory_mb)
    for engine, name in ledger.draining():
        if engine in views:
            views[engine].unloading.add(name)
    return views


def home_zones(configuration):
    """Assign each model the zone that keeps a copy of it.

    The assignment depends on the configuration alone, so that all holders agree.
    Larger models choose first; each takes its preferred zone among those with room.

    Returns
    -------
    dict
        Model -> zone.
    """
    left_mb = {}
    for backend in configuration.backends.values():
        if backend.memory_mb:
            left_mb[backend.zone] = left_mb.get(backend.zone, 0) + backend.memory_mb
    total_mb = dict(left_mb)
    homes = {}
    models = configuration.models.values()
    for model in sorted(models, key=lambda model: (-model.memory_mb, model.name)):
        if not left_mb:
            break

        def preference(zone, model=model):
            # Zones filled to within a tenth of each other count as equal.
            room = int(10 * (left_mb[zone] - model.memory_mb) / total_mb[zone])
            return room, xxhash.xxh64_intdigest(f"{model.name}/{zone}".encode())

        homes[model.name] = max(left_mb, key=preference)
        left_mb[homes[model.name]] -= model.memory_mb
    return homes
