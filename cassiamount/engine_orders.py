"""Orders to engines, and the commands that the engine ledger returns."""

LOAD_MODEL = "load_model"
UNLOAD_MODEL = "unload_model"
LOAD_ADAPTER = "load_adapter"
UNLOAD_ADAPTER = "unload_adapter"
LOAD_ACTIONS = (LOAD_MODEL, LOAD_ADAPTER)
UNLOAD_ACTIONS = (UNLOAD_MODEL, UNLOAD_ADAPTER)

# Results of sending an order, as the engine client returns them.
ACCEPTED = "accepted"
STALE_FENCE = "stale-fence"
NO_MEMORY = "no-memory"
NOT_ACCEPTED = "not-accepted"
# The order was certainly not sent.
NOT_SENT = "not-sent"
# No answer arrived. The engine may have received the order, or still receive it.
LOST = "lost"

# States of an order at an engine (``GET /orders/{id}``).
STATE_UNKNOWN = "unknown"
STATE_RUNNING = "running"
STATE_DONE = "done"
STATE_FAILED = "failed"

# Outcomes of an order in a `SettleOrder` record.
OUTCOME_DONE = "done"
OUTCOME_FAILED = "failed"
OUTCOME_NOT_ACCEPTED = "not-accepted"
OUTCOME_EXPIRED = "expired"

# Upper bound on the time between sending an order and its arrival.
MAX_ORDER_DELAY_MS = 30_000.0
# Upper bound on the time between the state in a load report and its receipt.
MAX_REPORT_LAG_MS = 5_000.0
# An engine whose last report was received longer ago is not used for decisions.
MAX_REPORT_AGE_MS = 10_000.0
# Time between recording the intent of an unload and sending the order. Meanwhile the
# VMs read the record and stop routing to the model, and requests in progress end.
DRAIN_MS = 3_000.0
# Time after an unanswered attempt until an order unknown to the engine is sent again.
RESEND_DELAY_MS = 2_000.0
# Interval between queries of the state of an order.
STATE_QUERY_INTERVAL_MS = 500.0
# Time after a change of home zones without unloads of models, until every zone's holder
# knows the change. A configuration takes effect on all VMs within 6 s.
HOME_ZONES_PROPAGATION_MS = 10_000.0


class Order:
    """A load or unload of a model or adapter on an engine.

    Parameters
    ----------
    order_id, engine, action, name, version : str
    memory_mb : int
    base : str
        Base model of an adapter; empty for models.
    fence : int
        Fencing number: the offset of the order's `IntendOrder` plus 1. An engine that
        checks it refuses every order older than the newest one it accepted. 0 until
        the intent is recorded.
    """

    __slots__ = (
        "order_id",
        "engine",
        "action",
        "name",
        "version",
        "memory_mb",
        "base",
        "fence",
    )

    def __init__(
        self, order_id, engine, action, name, version, memory_mb, base="", fence=0
    ):
        self.order_id = order_id
        self.engine = engine
        self.action = action
        self.name = name
        self.version = version
        self.memory_mb = memory_mb
        self.base = base
        self.fence = fence

    def __repr__(self):
        return f"Order({self.order_id}, {self.engine}, {self.action}, {self.name})"

    @property
    def key(self):
        """Name and version of the model or adapter."""
        return self.name, self.version

    @property
    def is_load(self):
        """Whether the order loads a model or adapter."""
        return self.action in LOAD_ACTIONS


class RecordIntent:
    """Append an `IntendOrder`, then call `EngineLedger.on_intent_recorded`."""

    __slots__ = ("order",)

    def __init__(self, order):
        self.order = order


class SendOrder:
    """Call `EngineLedger.on_sent`, then send the order."""

    __slots__ = ("order",)

    def __init__(self, order):
        self.order = order


class QueryOrderState:
    """Query the state of an order at its engine, then call `EngineLedger.on_state`."""

    __slots__ = ("order",)

    def __init__(self, order):
        self.order = order


class RecordOutcome:
    """Append a `SettleOrder`, then call `EngineLedger.on_outcome_recorded`."""

    __slots__ = ("order", "outcome")

    def __init__(self, order, outcome):
        self.order = order
        self.outcome = outcome
