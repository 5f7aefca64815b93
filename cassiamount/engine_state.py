"""What the holder of the orders believes about engines, and changes of them."""

import math


class EngineState:
    """What the holder of the orders believes about one engine.

    Parameters
    ----------
    record : BackendRecord
    """

    __slots__ = (
        "record",
        "accepted_orders",
        "last_order_ms",
        "ready",
        "loading",
        "drained",
        "in_memory",
        "on_disk",
        "change",
        "retry_at_ms",
        "adapter_used_ms",
        "adapters_loading",
        "adapters_unloading",
        "loaded_ms",
        "order_lock",
        "querying",
        "query_failed_ms",
        "unloading_until_ms",
    )

    def __init__(self, record):
        self.record = record
        # Orders accepted since the engine's start; None until it was asked.
        self.accepted_orders = None
        self.last_order_ms = -math.inf
        self.ready = {name: set(held) for name, held in record.residents.items()}
        # Model -> time at which its load should be done.
        self.loading = {}
        self.drained = set()
        self.in_memory = frozenset(record.in_memory)
        self.on_disk = frozenset(record.on_disk)
        self.change = None
        self.retry_at_ms = 0.0
        self.adapter_used_ms = {}
        # (model, adapter) -> time at which it should be there; None before its order.
        self.adapters_loading = {}
        # (model, adapter) pairs whose unload was decided.
        self.adapters_unloading = set()
        # Model -> time at which it was loaded.
        self.loaded_ms = {}
        # Set by the task that sends the orders; the policy does not use these.
        self.order_lock = None
        self.querying = False
        self.query_failed_ms = -math.inf
        self.unloading_until_ms = -math.inf

    def on_report(self, report):
        """Take what the engine says, unless orders were accepted since."""
        if (
            self.accepted_orders is not None
            and report.accepted_orders < self.accepted_orders
        ):
            return False
        self.accepted_orders = report.accepted_orders
        residents = {name: set(held) for name, held in report.residents.items()}
        for target in report.pending:
            # It was accepted, and reports are older than the load of an adapter.
            model, _, adapter = target.partition("/")
            residents.setdefault(model, set()).add(adapter)
        return self.on_residents(residents, report.in_memory, report.on_disk)

    def on_residents(self, residents, in_memory, on_disk):
        """Take what is there; return whether that is new."""
        # Copies are evicted without an order, so only the engine's own word counts.
        self.in_memory = frozenset(in_memory)
        self.on_disk = frozenset(on_disk)
        ready = {name: set(held) for name, held in residents.items()}
        for name in ready:
            self.loading.pop(name, None)
        changed = ready != self.ready
        self.ready = ready
        self.drained &= set(ready)
        return changed

    def held_mb(self, models):
        """Return the memory of all that is or may be there."""
        total = 0.0
        for name in self.ready.keys() | self.loading.keys():
            rule = models.get(name)
            if rule is None:
                continue
            total += rule.memory_mb
        for name, _ in self.adapters():
            if name in models:
                total += models[name].adapter_mb
        return total

    def adapters(self):
        """Return the (model, adapter) pairs that are there or on their way."""
        held = {
            (name, adapter)
            for name, adapters in self.ready.items()
            for adapter in adapters
        }
        return held | self.adapters_loading.keys()


class ModelChange:
    """Replaces models of an engine by another one.

    Parameters
    ----------
    engine : str
    model : str
        Loaded last.
    victims : tuple of str
        Unloaded before.
    gain_per_s : float
        Requests per second that it should serve.
    from_store : bool
    eta_ms : float
        When the model should be ready.
    """

    __slots__ = ("engine", "model", "victims", "gain_per_s", "from_store", "eta_ms")

    def __init__(self, engine, model, victims, gain_per_s, from_store, eta_ms):
        self.engine = engine
        self.model = model
        self.victims = victims
        self.gain_per_s = gain_per_s
        self.from_store = from_store
        self.eta_ms = eta_ms


class AdapterChange:
    """Loads an adapter, after the unload of another one if that is needed."""

    __slots__ = ("engine", "model", "adapter", "victim")

    def __init__(self, engine, model, adapter, victim):
        self.engine = engine
        self.model = model
        self.adapter = adapter
        self.victim = victim
