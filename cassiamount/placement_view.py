"""Engine state that the placement policy reads, and the moves that it returns."""

import xxhash

from .engine_orders import LOAD_ACTIONS


class EngineView:
    """State of one engine, the input of the placement policy.

    Parameters
    ----------
    name, zone : str
    free_mb : int
        Memory that a new load may use; 0 while the engine's state is not known.
    capacity_mb : int
    running, max_running : int
    usable : bool
        Whether recent reports show that it serves requests.
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
        # Name -> version of the models and adapters that are resident or being loaded.
        self.held = {}
        self.ready = set()
        # Names of models and adapters that an unsettled order unloads.
        self.unloading = set()
        # Name -> memory that the model or adapter uses.
        self.memory_mb = {}

    @property
    def staying(self):
        """Names of the held models and adapters that are not being unloaded."""
        return self.held.keys() - self.unloading


class Move:
    """A load or unload that the policy wants; the ledger decides whether to order it.

    Parameters
    ----------
    engine, action, name, version : str
    memory_mb : int
    base : str
        Base model of an adapter; empty for models.
    reason : str
        Text for the log.
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
    """Return an `EngineView` of each engine in a ledger, by name."""
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
    """Assign each model the zone that has to keep a copy of it.

    The assignment depends on the configuration alone, so that the lease holders of all
    zones agree on it. Models are assigned in order of decreasing size, each to the zone
    with the largest share of free memory left; a hash breaks ties.

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
            # Free shares are rounded to tenths, so that nearly equal zones tie.
            room = int(10 * (left_mb[zone] - model.memory_mb) / total_mb[zone])
            return room, xxhash.xxh64_intdigest(f"{model.name}/{zone}".encode())

        homes[model.name] = max(left_mb, key=preference)
        left_mb[homes[model.name]] -= model.memory_mb
    return homes
