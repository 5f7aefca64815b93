"""Load reports of backend servers."""

from result import Err, Ok

RESIDENT_STATES = ("loading", "ready", "unloading")
LIVE = "live"
LEAVING = "leaving"


class InvalidLoadReport(ValueError):
    """A backend server sent a malformed load report."""


class Resident:
    """A model or adapter that occupies memory of an engine.

    Parameters
    ----------
    name : str
    kind : str
        ``model`` or ``adapter``.
    version : str
    state : str
        ``loading``, ``ready`` or ``unloading``.
    memory_mb : int
    """

    __slots__ = ("name", "kind", "version", "state", "memory_mb")

    def __init__(self, name, kind, version, state, memory_mb):
        self.name = name
        self.kind = kind
        self.version = version
        self.state = state
        self.memory_mb = memory_mb

    @property
    def ready(self):
        """Whether the engine accepts requests for it."""
        return self.state == "ready"


class LoadReport:
    """The load and state that a backend server reported about itself.

    The values are a little old when they arrive. Plain services report only `running`
    and `state`; their other values are zero or empty.

    Parameters
    ----------
    backend : str
    incarnation : str
        Changes when the backend server restarts.
    running, waiting : int
        Requests in progress and queued at the backend server.
    kv_used_tokens, kv_capacity_tokens : int
    memory_used_mb, memory_capacity_mb : int
    residents : tuple of Resident
    role : str
        ``mixed``, ``prefill`` or ``decode``.
    state : str
        ``live`` or ``leaving``.
    checks_fence : bool
        Whether the engine rejects orders with a fence below `highest_fence`.
    highest_fence : int
        Highest fence of an order that the engine has seen.
    as_of_ms : float
        Time of the report by the backend server's own clock.
    """

    __slots__ = (
        "backend",
        "incarnation",
        "running",
        "waiting",
        "kv_used_tokens",
        "kv_capacity_tokens",
        "memory_used_mb",
        "memory_capacity_mb",
        "residents",
        "role",
        "state",
        "checks_fence",
        "highest_fence",
        "as_of_ms",
    )

    def __init__(
        self,
        backend,
        incarnation="",
        running=0,
        waiting=0,
        kv_used_tokens=0,
        kv_capacity_tokens=0,
        memory_used_mb=0,
        memory_capacity_mb=0,
        residents=(),
        role="mixed",
        state=LIVE,
        checks_fence=False,
        highest_fence=0,
        as_of_ms=0.0,
    ):
        self.backend = backend
        self.incarnation = incarnation
        self.running = running
        self.waiting = waiting
        self.kv_used_tokens = kv_used_tokens
        self.kv_capacity_tokens = kv_capacity_tokens
        self.memory_used_mb = memory_used_mb
        self.memory_capacity_mb = memory_capacity_mb
        self.residents = tuple(residents)
        self.role = role
        self.state = state
        self.checks_fence = checks_fence
        self.highest_fence = highest_fence
        self.as_of_ms = as_of_ms

    def resident(self, name):
        """Return the resident model or adapter `name`, or None."""
        for resident in self.residents:
            if resident.name == name:
                return resident
        return None


COUNT_FIELDS = (
    "running",
    "waiting",
    "kv_used_tokens",
    "kv_capacity_tokens",
    "memory_used_mb",
    "memory_capacity_mb",
    "highest_fence",
)


def parse_load_report(backend, value):
    """Parse the JSON of ``GET /load``.

    Parameters
    ----------
    backend : str
        Name of the backend server that was asked.
    value : object

    Returns
    -------
    Result[LoadReport, InvalidLoadReport]
    """
    if not isinstance(value, dict):
        return Err(InvalidLoadReport("load report is not a JSON object"))
    arguments = {}
    for name in COUNT_FIELDS:
        count = value.get(name, 0)
        if isinstance(count, bool) or not isinstance(count, int) or count < 0:
            return Err(InvalidLoadReport(f"{name} is not a non-negative integer"))
        arguments[name] = count
    if value.get("state", LIVE) not in (LIVE, LEAVING):
        return Err(InvalidLoadReport("state is neither live nor leaving"))
    residents = value.get("residents", [])
    if not isinstance(residents, list):
        return Err(InvalidLoadReport("residents is not a list"))
    parsed = [_parse_resident(item) for item in residents]
    if None in parsed:
        return Err(InvalidLoadReport("residents contains a malformed entry"))
    as_of_ms = value.get("as_of_ms", 0.0)
    if isinstance(as_of_ms, bool) or not isinstance(as_of_ms, (int, float)):
        return Err(InvalidLoadReport("as_of_ms is not a number"))
    return Ok(
        LoadReport(
            backend,
            incarnation=str(value.get("incarnation", "")),
            residents=parsed,
            role=str(value.get("role", "mixed")),
            state=value.get("state", LIVE),
            checks_fence=value.get("checks_fence") is True,
            as_of_ms=float(as_of_ms),
            **arguments,
        )
    )


def _parse_resident(item):
    if not isinstance(item, dict):
        return None
    texts = [item.get(name) for name in ("name", "kind", "version", "state")]
    if not all(isinstance(text, str) for text in texts):
        return None
    memory_mb = item.get("memory_mb")
    if isinstance(memory_mb, bool) or not isinstance(memory_mb, int) or memory_mb < 0:
        return None
    if texts[1] not in ("model", "adapter") or texts[3] not in RESIDENT_STATES:
        return None
    return Resident(*texts, memory_mb)
