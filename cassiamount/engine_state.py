"""State of an engine as the lease holder knows it, and planned changes of it."""

import math


class EngineState:
    """One engine's models and adapters, from its reports and the orders sent to it.

    Kept by the VM that holds the order lease.

    Parameters
    ----------
    record : BackendRecord
        The engine's entry in the platform's list.
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
        # Orders accepted since the engine's start; None until a report tells.
        self.accepted_orders = None
        self.last_order_ms = -math.inf
        # Model -> its adapters, for the models that are loaded.
        self.ready = {name: set(held) for name, held in record.residents.items()}
        # Model -> time at which its load should be done.
        self.loading = {}
        # Models that get no new requests because they are about to be unloaded.
        self.drained = set()
        # Models of which the engine keeps a copy in host memory or on disk.
        self.in_memory = frozenset(record.in_memory)
        self.on_disk = frozenset(record.on_disk)
        self.change = None
        self.retry_at_ms = 0.0
        self.adapter_used_ms = {}
        # (model, adapter) -> time at which it should be loaded; None before its order.
        self.adapters_loading = {}
        # (model, adapter) pairs whose unload is planned or ordered.
        self.adapters_unloading = set()
        # Model -> time at which it was loaded.
        self.loaded_ms = {}
        # Used only by `FleetController`, which sends the orders.
        self.order_lock = None
        self.querying = False
        self.query_failed_ms = -math.inf
        self.unloading_until_ms = -math.inf

    def on_report(self, report):
        """Update the state from a report, unless orders were accepted after it.

        Returns
        -------
        bool
            Whether the loaded models or adapters changed.
        """
        if (
            self.accepted_orders is not None
            and report.accepted_orders < self.accepted_orders
        ):
            return False
        self.accepted_orders = report.accepted_orders
        residents = {name: set(held) for name, held in report.residents.items()}
        for target in report.pending:
            # Its order was accepted, and it is loaded sooner than reports show it.
            model, _, adapter = target.partition("/")
            residents.setdefault(model, set()).add(adapter)
        return self.on_residents(residents, report.in_memory, report.on_disk)

    def on_residents(self, residents, in_memory, on_disk):
        """Update the resident models and adapters; return whether they changed."""
        # Engines evict these copies without an order, so only a report shows them.
        self.in_memory = frozenset(in_memory)
        self.on_disk = frozenset(on_disk)
        ready = {name: set(held) for name, held in residents.items()}
        for name in ready:
            self.loading.pop(name, None)
        changed = ready != self.ready
        self.ready = ready
        self.drained &= set(ready)
        return changed

    def copies(self):
        """Return the models that are loaded or will be, and are not drained."""
        models = self.ready.keys() | self.loading.keys()
        if self.change is not None:
            models.add(self.change.model)
        return models - self.drained

    def has_cached(self, model):
        """Return whether a model can be loaded without the weight store."""
        return model in self.in_memory or model in self.on_disk

    def load_ms(self, rule):
        """Return how long the load of a model takes, and if it is from the store.

        Parameters
        ----------
        rule : ModelConfig
        """
        if rule.name in self.in_memory:
            return rule.host_load_ms, False
        if rule.name in self.on_disk:
            return rule.disk_load_ms, False
        return rule.load_ms, True

    def adapters(self):
        """Return the (model, adapter) pairs that are loaded or loading."""
        held = {
            (name, adapter)
            for name, adapters in self.ready.items()
            for adapter in adapters
        }
        return held | self.adapters_loading.keys()


class ModelChange:
    """Unloads models of an engine if needed, then loads another one.

    Parameters
    ----------
    engine : str
    model : str
        The model to load.
    victims : tuple of str
        Models to unload first.
    gain_per_s : float
        Requests per second that the new copy should serve.
    from_store : bool
        Whether the model is loaded from the weight store.
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
    """Unloads an adapter of an engine if needed, then loads another one."""

    __slots__ = ("engine", "model", "adapter", "victim")

    def __init__(self, engine, model, adapter, victim):
        self.engine = engine
        self.model = model
        self.adapter = adapter
        self.victim = victim
