"""Orders that load or unload models and adapters, their answers, engine reports."""

LOAD = "load"
UNLOAD = "unload"

ACCEPTED = "accepted"
ALREADY_DONE = "held"
CONFLICT = "conflict"
FENCED = "fenced"
OTHER_INSTANCE = "other-instance"
INVALID = "invalid"
NO_ANSWER = "no-answer"


# Separates the software version from the target, in the counts of waiting requests.
SOFTWARE_MARK = "@"
# Follows the software version, which may be empty, before the only zones that may have
# the requests.
ZONES_MARK = "\t"


def may_hold(pin, record):
    """Return whether an engine is one of those that pinned requests can go to.

    Parameters
    ----------
    pin : str
        What follows `SOFTWARE_MARK`.
    record : BackendRecord
    """
    software, _, zones = pin.partition(ZONES_MARK)
    return software in ("", record.software) and (
        not zones or record.zone in zones.split(",")
    )


def target_name(model, adapter):
    """Return ``MODEL`` or ``MODEL/ADAPTER`` as the name of an order's target."""
    return f"{model}/{adapter}" if adapter else model


class EngineOrder:
    """Order to an engine to load or unload a model or an adapter.

    Parameters
    ----------
    engine, address : str
    action : str
        ``load`` or ``unload``.
    model, adapter : str
        `adapter` is empty for the model itself.
    expected_orders : int
        Number of orders that the engine should have accepted so far. It refuses the
        order if that differs, so that a repeated order takes effect at most once.
    holder : str
        Name of the VM that sends the order.
    fence : int
        Fencing token of that VM's order lease.
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
    """Report of an engine about its orders and its models.

    Parameters
    ----------
    accepted_orders : int
        Orders accepted since the engine's start.
    busy : bool
        Whether the engine is executing an order.
    residents : dict of str to frozenset of str
        Model -> its adapters, for all that is loaded.
    pending : frozenset of str
        Adapters that were ordered and are not loaded yet, as ``MODEL/ADAPTER``.
    in_memory, on_disk : frozenset of str
        Models of which the engine keeps a copy in host memory or on its disk.
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
