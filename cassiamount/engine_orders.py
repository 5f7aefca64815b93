"""Orders to engines and the commands by which the ledger asks for them."""

LOAD_MODEL = "load_model"
UNLOAD_MODEL = "unload_model"
LOAD_ADAPTER = "load_adapter"
UNLOAD_ADAPTER = "unload_adapter"
LOAD_ACTIONS = (LOAD_MODEL, LOAD_ADAPTER)
UNLOAD_ACTIONS = (UNLOAD_MODEL, UNLOAD_ADAPTER)

# Answers of an engine to an order, as the engine client returns them.
ACCEPTED = "accepted"
STALE_FENCE = "stale-fence"
NO_MEMORY = "no-memory"
NOT_ACCEPTED = "not-accepted"
# The order certainly did not leave the VM.
NOT_SENT = "not-sent"
# No answer arrived; the order may still arrive or have arrived.
LOST = "lost"

# States of an order at an engine (``GET /orders/{id}``).
STATE_UNKNOWN = "unknown"
STATE_RUNNING = "running"
STATE_DONE = "done"
STATE_FAILED = "failed"

# Outcomes in `SettleOrder`.
OUTCOME_DONE = "done"
OUTCOME_FAILED = "failed"
OUTCOME_NOT_ACCEPTED = "not-accepted"
OUTCOME_EXPIRED = "expired"

# Upper bound on the time between sending an order and its arrival.
MAX_ORDER_DELAY_MS = 30_000.0
# Upper bound on the lag of a load report.
MAX_REPORT_LAG_MS = 5_000.0
# A report received longer ago says nothing about which copies are ready.
MAX_REPORT_AGE_MS = 10_000.0
# Time between the record of an unload and its order. Nodes read the record, stop
# routing to the model, and requests under way end.
DRAIN_MS = 3_000.0
# Time without an answer after which an unknown order is sent again.
RESEND_DELAY_MS = 2_000.0
# Interval of questions about the state of an order.
STATE_QUERY_INTERVAL_MS = 500.0
# No unload after a change of home zones until every holder is sure to know it: a
# configuration is in force everywhere within 6 s.
HOME_ZONES_PROPAGATION_MS = 10_000.0


class Order:
    """A change of what an engine holds in memory.

    Parameters
    ----------
    order_id, engine, action, name, version : str
    memory_mb : int
    base : str
        Model of an adapter; empty for models.
    fence : int
        Offset of its `IntendOrder` plus 1, so that an engine that checks fencing
        numbers refuses every order older than the newest it accepted. 0 until
        recorded.
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
        """Name and version of the artifact."""
        return self.name, self.version

    @property
    def is_load(self):
        """Whether the order adds something to the engine's memory."""
        return self.action in LOAD_ACTIONS


class RecordIntent:
    """Append an `IntendOrder`; then call `EngineLedger.on_intended`."""

    __slots__ = ("order",)

    def __init__(self, order):
        self.order = order


class SendOrder:
    """Call `EngineLedger.on_sent` and send the order."""

    __slots__ = ("order",)

    def __init__(self, order):
        self.order = order


class QueryOrderState:
    """Ask the engine for the state of an order."""

    __slots__ = ("order",)

    def __init__(self, order):
        self.order = order


class RecordOutcome:
    """Append a `SettleOrder`; then call `EngineLedger.on_settled`."""

    __slots__ = ("order", "outcome")

    def __init__(self, order, outcome):
        self.order = order
        self.outcome = outcome
