"""Python objects of the configuration that operators publish."""

from result import Err, Ok

from .configuration_checks import check_document
from .errors import CassiamountError
from .findings import JsonPathLocator, read_json, to_findings

# Latency targets of a team that sets none: the system-wide 95th percentile targets.
DEFAULT_FIRST_TOKEN_TARGET_MS = 760.0
DEFAULT_INTER_TOKEN_TARGET_MS = 42.0
DEFAULT_SERVICE_CALL_TOKENS = 1

ENGINE = "engine"
SERVICE = "service"


class InvalidConfiguration(CassiamountError):
    """Raised for a document that is not a valid configuration.

    Parameters
    ----------
    findings : list of Finding
    """

    def __init__(self, findings):
        super().__init__("; ".join(str(finding) for finding in findings))
        self.findings = findings


class _ValueObject:
    """Base class of configuration objects, which compare by value."""

    __slots__ = ()

    def _values(self):
        return tuple(getattr(self, name) for name in self.__slots__)

    def __eq__(self, other):
        return type(self) is type(other) and self._values() == other._values()

    __hash__ = None

    def __repr__(self):
        values = ", ".join(
            f"{name}={value!r}"
            for name, value in zip(self.__slots__, self._values(), strict=True)
        )
        return f"{type(self).__name__}({values})"


class Zone(_ValueObject):
    """An availability zone; its weight sets its share of each team's budget."""

    __slots__ = ("name", "weight")

    def __init__(self, name, weight=1.0):
        self.name = name
        self.weight = weight


class Model(_ValueObject):
    """A base model that engines can load."""

    __slots__ = ("name", "version", "memory_mb", "load_ms")

    def __init__(self, name, version, memory_mb, load_ms):
        self.name = name
        self.version = version
        self.memory_mb = memory_mb
        self.load_ms = load_ms


class Adapter(_ValueObject):
    """An adapter of a base model."""

    __slots__ = ("name", "base", "version", "memory_mb")

    def __init__(self, name, base, version, memory_mb):
        self.name = name
        self.base = base
        self.version = version
        self.memory_mb = memory_mb


class Backend(_ValueObject):
    """A backend server: a model engine or a replica of a plain service.

    Parameters
    ----------
    name, zone : str
    address : str
        ``IP:port``.
    kind : str
        ``engine`` or ``service``.
    service : str
        Name of the service; empty for an engine.
    memory_mb : int
        Total memory of all accelerators of an engine; 0 for a service.
    accelerators, max_running : int
    checks_fence : bool
        Whether the engine rejects orders with an outdated fencing token.
    """

    __slots__ = (
        "name",
        "zone",
        "address",
        "kind",
        "service",
        "memory_mb",
        "accelerators",
        "max_running",
        "checks_fence",
    )

    def __init__(
        self,
        name,
        zone,
        address,
        kind=ENGINE,
        service="",
        memory_mb=0,
        accelerators=0,
        max_running=1,
        checks_fence=False,
    ):
        self.name = name
        self.zone = zone
        self.address = address
        self.kind = kind
        self.service = service
        self.memory_mb = memory_mb
        self.accelerators = accelerators
        self.max_running = max_running
        self.checks_fence = checks_fence


class Route(_ValueObject):
    """A route of a plain service; an `open` route requires no API key."""

    __slots__ = ("path", "methods", "idempotent", "open")

    def __init__(self, path, methods, idempotent=False, open=False):
        self.path = path
        self.methods = tuple(methods)
        self.idempotent = idempotent
        self.open = open


class Service(_ValueObject):
    """A plain service; a call costs `service_call_tokens` of the team's budget."""

    __slots__ = ("name", "routes", "service_call_tokens")

    def __init__(self, name, routes, service_call_tokens=DEFAULT_SERVICE_CALL_TOKENS):
        self.name = name
        self.routes = tuple(routes)
        self.service_call_tokens = service_call_tokens


class Policy(_ValueObject):
    """Weights of the objectives of the placement policy."""

    __slots__ = ("attainment_weight", "fairness_weight")

    def __init__(self, attainment_weight=1.0, fairness_weight=1.0):
        self.attainment_weight = attainment_weight
        self.fairness_weight = fairness_weight


class Team(_ValueObject):
    """A team: what its callers may request, its rate limit and its targets.

    Parameters
    ----------
    name : str
    models, adapters, services : iterable of str
        What the team may use; an adapter implies its base model.
    rate_tokens_per_s : float
    burst_tokens : int
    priority : str
        ``interactive``, ``normal`` or ``batch``.
    key_hashes : iterable of str
        ``sha256:<hex>``; `GiveKey` records in the log add further keys.
    weight : float
        The team's weight in placement and admission.
    first_token_target_ms, inter_token_target_ms : float
    """

    __slots__ = (
        "name",
        "models",
        "adapters",
        "services",
        "rate_tokens_per_s",
        "burst_tokens",
        "priority",
        "key_hashes",
        "weight",
        "first_token_target_ms",
        "inter_token_target_ms",
    )

    def __init__(
        self,
        name,
        models=(),
        adapters=(),
        services=(),
        rate_tokens_per_s=1.0,
        burst_tokens=1,
        priority="normal",
        key_hashes=(),
        weight=1.0,
        first_token_target_ms=DEFAULT_FIRST_TOKEN_TARGET_MS,
        inter_token_target_ms=DEFAULT_INTER_TOKEN_TARGET_MS,
    ):
        self.name = name
        self.models = frozenset(models)
        self.adapters = frozenset(adapters)
        self.services = frozenset(services)
        self.rate_tokens_per_s = rate_tokens_per_s
        self.burst_tokens = burst_tokens
        self.priority = priority
        self.key_hashes = frozenset(key_hashes)
        self.weight = weight
        self.first_token_target_ms = first_token_target_ms
        self.inter_token_target_ms = inter_token_target_ms


class Configuration(_ValueObject):
    """A valid configuration; each collection becomes a dict keyed by name.

    Parameters
    ----------
    version : int
        Offset + 1 of the log record that published it; 0 if not published.
    zones, models, adapters, backends, services, teams : iterable
    policy : Policy, optional
    """

    __slots__ = (
        "version",
        "zones",
        "models",
        "adapters",
        "backends",
        "services",
        "policy",
        "teams",
    )

    def __init__(
        self,
        version=0,
        zones=(),
        models=(),
        adapters=(),
        backends=(),
        services=(),
        policy=None,
        teams=(),
    ):
        self.version = version
        self.zones = _by_name(zones)
        self.models = _by_name(models)
        self.adapters = _by_name(adapters)
        self.backends = _by_name(backends)
        self.services = _by_name(services)
        self.policy = Policy() if policy is None else policy
        self.teams = _by_name(teams)


def _by_name(items):
    return {part.name: part for part in items}


def parse_configuration(text, file_name):
    """Parse and check a configuration document.

    Parameters
    ----------
    text : str
    file_name : str
        Used only in the places of findings.

    Returns
    -------
    Result[Configuration, list[Finding]]
        On failure, all findings and not only the first.
    """
    parsed = read_json(text, file_name)
    if parsed.is_err():
        return parsed
    document = parsed.unwrap()
    problems, teams = check_document(document.value)
    if problems:
        return Err(to_findings(problems, document.locator))
    return Ok(_build_configuration(document.value, teams, version=0))


def configuration_from_document(document, version=0):
    """Return the configuration of a parsed JSON document.

    Parameters
    ----------
    document : object
    version : int

    Returns
    -------
    Configuration

    Raises
    ------
    InvalidConfiguration
        Lists all findings; their places are JSON paths.
    """
    problems, teams = check_document(document)
    if problems:
        raise InvalidConfiguration(to_findings(problems, JsonPathLocator()))
    return _build_configuration(document, teams, version)


def _build_configuration(document, teams, version):
    return Configuration(
        version=version,
        zones=[
            Zone(item["name"], float(item.get("weight", 1.0)))
            for item in document["zones"]
        ],
        models=[
            Model(
                item["name"], item["version"], int(item["memory_mb"]), item["load_ms"]
            )
            for item in document["models"]
        ],
        adapters=[
            Adapter(item["name"], item["base"], item["version"], int(item["memory_mb"]))
            for item in document.get("adapters", [])
        ],
        backends=[_build_backend(item) for item in document["backends"]],
        services=[_build_service(item) for item in document.get("services", [])],
        policy=Policy(**document.get("policy", {})),
        teams=[_build_team(item) for item in teams],
    )


def _build_backend(item):
    fields = dict(item)
    if fields["kind"] == ENGINE:
        fields["memory_mb"] = int(fields["memory_mb"])
        fields["accelerators"] = int(fields.get("accelerators", 1))
    fields["max_running"] = int(fields["max_running"])
    return Backend(**fields)


def _build_service(item):
    tokens = item.get("service_call_tokens", DEFAULT_SERVICE_CALL_TOKENS)
    routes = [Route(**route) for route in item["routes"]]
    return Service(item["name"], routes, int(tokens))


def _build_team(item):
    fields = dict(item)
    fields["burst_tokens"] = int(fields["burst_tokens"])
    fields["key_hashes"] = fields.pop("keys", ())
    return Team(**fields)
