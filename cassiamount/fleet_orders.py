"""Orders to engines, their answers, and what an engine reports of itself."""

LOAD = "load"
UNLOAD = "unload"

ACCEPTED = "accepted"
ALREADY_DONE = "held"
CONFLICT = "conflict"
FENCED = "fenced"
OTHER_INSTANCE = "other-instance"
INVALID = "invalid"
NO_ANSWER = "no-answer"


def target_name(model, adapter):
    """Return the name of a model or of an adapter of it."""
    return f"{model}/{adapter}" if adapter else model


class EngineOrder:
    """One order to an engine.

    Parameters
    ----------
    engine, address : str
    action : str
        ``load`` or ``unload``.
    model, adapter : str
        `adapter` is empty for the model itself.
    expected_orders : int
        Orders that the engine has accepted so far; it refuses the order otherwise, so
        that of several copies of an order at most one takes effect.
    holder : str
    fence : int
    """

    __slots__ = (
        "engine",
        "address",
        "action",
        "model",
        "adapter",
        "expected_orders",
        "holder",
        "fence",
    )

    def __init__(
        self, engine, address, action, model, adapter, expected_orders, holder, fence
    ):
        self.engine = engine
        self.address = address
        self.action = action
        self.model = model
        self.adapter = adapter
        self.expected_orders = expected_orders
        self.holder = holder
        self.fence = fence


class EngineReport:
    """What an engine says of itself.

    Parameters
    ----------
    orders : int
        Orders accepted since its start.
    busy : bool
        Whether an order is being carried out.
    residents : dict of str to frozenset of str
        Model -> its adapters.
    pending : frozenset of str
        Adapters on their way, as ``MODEL/ADAPTER``.
    in_memory, on_disk : frozenset of str
        Models of which it keeps a copy.
    """

    __slots__ = (
        "accepted_orders",
        "busy",
        "residents",
        "pending",
        "in_memory",
        "on_disk",
    )

    def __init__(self, orders, busy, residents, pending, in_memory, on_disk):
        self.accepted_orders = orders
        self.busy = busy
        self.residents = residents
        self.pending = pending
        self.in_memory = in_memory
        self.on_disk = on_disk
