"""Settings of the daemon, read from a JSON file at startup."""

from result import Err, Ok

from .findings import Problem, read_json, to_findings, value_problems
from .schema_checks import load_schema, schema_problems, schema_validator

_VALIDATOR = schema_validator(load_schema("settings.json"))

# Settings of the addresses on which the daemon listens; they must differ.
_LISTEN_ADDRESSES = ("listen_address", "peer_address", "admin_address")

DEFAULTS = {
    # An eighth is for bodies, which is 16 of the largest at once; a tenth for answers.
    "memory_mb": 1_024,
    "max_header_bytes": 16_384,
    "max_body_bytes": 8_388_608,
    "max_concurrent_requests": 2_000,
    "max_queued_requests": 1_000,
    # The load balancer stops sending requests within two of its readiness probes,
    # which are two seconds apart.
    "balancer_wait_ms": 5_000,
    "drain_limit_ms": 120_000,
    "key_staleness_limit_s": None,
    "trace_exporter": None,
    "claim_partitions": 8,
    "budget_partitions": 4,
    "idempotency_window_ms": 3_600_000,
    "log_retention_ms": 86_400_000,
    "random_seed": None,
}


class TraceExporter:
    """Destination of trace spans.

    Parameters
    ----------
    kind : str
        ``none``, ``file`` or ``otlp``.
    target : str
        File path for ``file``, URL for ``otlp``, otherwise empty.
    """

    __slots__ = ("kind", "target")

    def __init__(self, kind="none", target=""):
        self.kind = kind
        self.target = target


class DaemonSettings:
    """Settings of one daemon.

    Parameters
    ----------
    vm_name, zone : str
    listen_address, peer_address, admin_address : str
        ``IP:port`` on which callers, other VMs and operators connect.
    log_address, vm_list_address, weight_store_address : str
        ``IP:port`` of services of the platform.
    memory_mb : float
        Memory that the process may take; bounds follow from it (`memory_plan`).
    max_header_bytes, max_body_bytes : int
        Requests above these limits get the status codes 431 and 413.
    max_concurrent_requests, max_queued_requests : int
    balancer_wait_ms : int
        How long requests are still accepted after ``/readyz`` starts to return 503.
    drain_limit_ms : int
        How long admitted requests may take to finish during a graceful stop.
    key_staleness_limit_s : float or None
        Time since the last contact with the log after which all keys are rejected;
        with None, known keys stay valid during a log outage of any length.
    trace_exporter : TraceExporter
    claim_partitions, budget_partitions : int
        Must be the same on all VMs, because they determine streams and leases.
    idempotency_window_ms : int
        How long idempotency claims and their outcomes are kept; must be the same on
        all VMs.
    log_retention_ms : int
        How long the log keeps records at least.
    random_seed : int or None
        With None, the seed comes from the operating system.
    """

    __slots__ = (
        "vm_name",
        "zone",
        "listen_address",
        "peer_address",
        "admin_address",
        "log_address",
        "vm_list_address",
        "weight_store_address",
        "memory_mb",
        "max_header_bytes",
        "max_body_bytes",
        "max_concurrent_requests",
        "max_queued_requests",
        "balancer_wait_ms",
        "drain_limit_ms",
        "key_staleness_limit_s",
        "trace_exporter",
        "claim_partitions",
        "budget_partitions",
        "idempotency_window_ms",
        "log_retention_ms",
        "random_seed",
    )

    def __init__(
        self,
        vm_name,
        zone,
        listen_address,
        peer_address,
        admin_address,
        log_address,
        vm_list_address,
        weight_store_address,
        **options,
    ):
        self.vm_name = vm_name
        self.zone = zone
        self.listen_address = listen_address
        self.peer_address = peer_address
        self.admin_address = admin_address
        self.log_address = log_address
        self.vm_list_address = vm_list_address
        self.weight_store_address = weight_store_address
        unknown = options.keys() - DEFAULTS.keys()
        if unknown:
            raise TypeError(f"unknown settings {sorted(unknown)}")
        for name, default in DEFAULTS.items():
            setattr(self, name, options.get(name, default))
        if self.trace_exporter is None:
            self.trace_exporter = TraceExporter()


def parse_settings(text, file_name):
    """Parse and validate the settings of a daemon.

    Parameters
    ----------
    text : str
    file_name : str
        Used only in the places of findings.

    Returns
    -------
    Result[DaemonSettings, list[Finding]]
        On failure, all findings and not only the first.
    """
    parsed = read_json(text, file_name)
    if parsed.is_err():
        return parsed
    document = parsed.unwrap()
    problems = value_problems(document.value)
    if not problems:
        problems = schema_problems(_VALIDATOR, document.value)
        problems.extend(_cross_field_problems(document.value, problems))
    if problems:
        return Err(to_findings(problems, document.locator))
    return Ok(_build_settings(document.value))


def _cross_field_problems(value, problems):
    """Return conflicts between settings that are valid individually."""
    if not isinstance(value, dict):
        return []
    malformed = {problem.path[0] for problem in problems if problem.path}
    found = []
    owners = {}
    for name in _LISTEN_ADDRESSES:
        if name in value and name not in malformed:
            owner = owners.setdefault(value[name], name)
            if owner != name:
                found.append(Problem((name,), f"the same address as {owner}"))
    if malformed.isdisjoint({"idempotency_window_ms", "log_retention_ms"}):
        settings = {**DEFAULTS, **value}
        if settings["idempotency_window_ms"] >= settings["log_retention_ms"]:
            # Once the record of a claim is trimmed from the log, the same
            # idempotency key could be claimed again.
            message = "idempotency_window_ms must be shorter than log_retention_ms"
            path = [name for name in ("idempotency_window_ms",) if name in value]
            found.append(Problem(path, message))
    return found


def _build_settings(value):
    fields = {
        # JSON does not distinguish the integer 1 from 1.0.
        name: int(item) if isinstance(item, float) and item.is_integer() else item
        for name, item in value.items()
    }
    exporter = fields.pop("trace_exporter", None)
    if exporter is not None:
        (name, target), *_ = exporter.items()
        kind = "file" if name == "file" else "otlp"
        fields["trace_exporter"] = TraceExporter(kind, target)
    return DaemonSettings(**fields)
