"""Configuration of a fleet, entries of its backend servers, request metadata."""

from .keys import KeyTable, hash_key

# Priority of a request whose route and team state none; 0 is served first.
DEFAULT_PRIORITY = 5


class RouteConfig:
    """How requests under one path prefix of one host are served.

    Parameters
    ----------
    name, host, path_prefix : str
    idempotent : bool
        Whether a request may run more than once.
    streamed : bool
        Whether responses are streams of events.
    resumable : bool
        Whether a broken stream may continue at another replica after its last event.
    open : bool
        Whether callers need no API key.
    time_limit_ms, objective_ms : float
        Deadline of a request, and its latency objective.
    gap_objective_ms : float
        Objective for the time between two events of a stream; 0 means none.
    attempts : int
        Maximum number of replicas to which one request may be sent.
    priority : int
        0 is the most urgent.
    targets : tuple of (str, float)
        Services with their weights.
    regions : frozenset of str or None
        The only regions whose backend servers may get requests, if not all may.
    """

    __slots__ = (
        "name",
        "host",
        "path_prefix",
        "idempotent",
        "streamed",
        "resumable",
        "open",
        "time_limit_ms",
        "objective_ms",
        "gap_objective_ms",
        "attempts",
        "priority",
        "targets",
        "regions",
    )

    def __init__(
        self,
        name,
        host,
        path_prefix,
        targets,
        idempotent=False,
        streamed=False,
        resumable=False,
        open=False,
        time_limit_ms=30_000.0,
        objective_ms=1_000.0,
        gap_objective_ms=0.0,
        attempts=1,
        priority=DEFAULT_PRIORITY,
        regions=None,
    ):
        self.name = name
        self.host = host
        self.path_prefix = path_prefix
        self.targets = tuple(targets)
        self.idempotent = idempotent
        self.streamed = streamed
        self.resumable = resumable
        self.open = open
        self.time_limit_ms = time_limit_ms
        self.objective_ms = objective_ms
        self.gap_objective_ms = gap_objective_ms
        self.attempts = attempts
        self.priority = priority
        self.regions = regions

    @property
    def retryable(self):
        """Whether a request that may have run may be sent again."""
        return self.resumable if self.streamed else self.idempotent


class ModelConfig:
    """Memory sizes and load times of one model and its adapters."""

    __slots__ = (
        "name",
        "memory_mb",
        "load_ms",
        "host_load_ms",
        "disk_load_ms",
        "adapter_mb",
    )

    def __init__(
        self, name, memory_mb, load_ms, host_load_ms, disk_load_ms, adapter_mb
    ):
        self.name = name
        self.memory_mb = memory_mb
        self.load_ms = load_ms
        self.host_load_ms = host_load_ms
        self.disk_load_ms = disk_load_ms
        self.adapter_mb = adapter_mb


class EngineConfig:
    """Limits that apply to each engine of one service, and the models it may load."""

    __slots__ = (
        "slots",
        "kv_tokens",
        "memory_mb",
        "max_adapters",
        "loads_per_s",
        "models",
    )

    def __init__(self, slots, kv_tokens, memory_mb, max_adapters, loads_per_s, models):
        self.slots = slots
        self.kv_tokens = kv_tokens
        self.memory_mb = memory_mb
        self.max_adapters = max_adapters
        self.loads_per_s = loads_per_s
        self.models = models


class ServiceConfig:
    """One service; `engine` is None if its backend servers run no models.

    Parameters
    ----------
    name : str
    max_connections : int
    engine : EngineConfig or None
    cold_start_ms : float
        Time for which a server is cold after a start during traffic.
    cold_requests_per_s : float
        Requests a second that a cold server takes from all VMs; 0 means no limit.
    """

    __slots__ = (
        "name",
        "max_connections",
        "engine",
        "cold_start_ms",
        "cold_requests_per_s",
    )

    def __init__(
        self,
        name,
        max_connections,
        engine=None,
        cold_start_ms=0.0,
        cold_requests_per_s=0.0,
    ):
        self.name = name
        self.max_connections = max_connections
        self.engine = engine
        self.cold_start_ms = cold_start_ms
        self.cold_requests_per_s = cold_requests_per_s


class TeamConfig:
    """One team: its API keys, priority and budget.

    Parameters
    ----------
    name : str
    key_hashes : frozenset of str
    priority : int or None
        Takes precedence over the priority of the route.
    rate_tokens_per_s, burst_tokens : float
        Budget of the team; a rate of 0 means no limit.
    default_tokens : float
        Charge for a request that states no tokens.
    charged_by_tokens : bool
        Whether the budget counts tokens; otherwise each request costs 1.
    regions : frozenset of str or None
        As in `RouteConfig`; both apply.
    """

    __slots__ = (
        "name",
        "key_hashes",
        "priority",
        "rate_tokens_per_s",
        "burst_tokens",
        "default_tokens",
        "charged_by_tokens",
        "regions",
    )

    def __init__(
        self,
        name,
        key_hashes,
        priority=None,
        rate_tokens_per_s=0.0,
        burst_tokens=0.0,
        default_tokens=1.0,
        charged_by_tokens=False,
        regions=None,
    ):
        self.name = name
        self.key_hashes = frozenset(key_hashes)
        self.priority = priority
        self.rate_tokens_per_s = rate_tokens_per_s
        self.burst_tokens = burst_tokens
        self.default_tokens = default_tokens
        self.charged_by_tokens = charged_by_tokens
        self.regions = regions

    def cost_tokens(self, tokens):
        """Return what a request costs of the team's budget.

        Parameters
        ----------
        tokens : int or None
            Prompt tokens plus the maximum of output tokens, if the request states them.
        """
        if not self.charged_by_tokens:
            return 1.0
        return self.default_tokens if tokens is None else float(tokens)


class CallerLimits:
    """Limits on the size of a caller's requests, on slow heads and idle connections."""

    __slots__ = ("header_bytes", "body_bytes", "header_timeout_ms", "idle_timeout_ms")

    def __init__(
        self,
        header_bytes=16_384,
        body_bytes=4_194_304,
        header_timeout_ms=10_000,
        idle_timeout_ms=60_000,
    ):
        self.header_bytes = header_bytes
        self.body_bytes = body_bytes
        self.header_timeout_ms = header_timeout_ms
        self.idle_timeout_ms = idle_timeout_ms


class FleetConfiguration:
    """One complete version of the configuration.

    Parameters
    ----------
    version : int
    routes : iterable of RouteConfig
    services : dict of str to ServiceConfig
    teams : dict of str to TeamConfig
    keyed : bool
        Whether requests need an API key; false for a configuration without teams.
    limits : CallerLimits
    remarks : tuple of str
        Values that could not be read and were replaced by a default.
    """

    __slots__ = (
        "version",
        "routes",
        "services",
        "teams",
        "keyed",
        "limits",
        "remarks",
        "_keys",
    )

    def __init__(self, version, routes, services, teams, keyed, limits, remarks=()):
        self.version = version
        self.routes = RouteTable(routes)
        self.services = services
        self.teams = teams
        self.keyed = keyed
        self.limits = limits
        self.remarks = tuple(remarks)
        self._keys = KeyTable(
            {key: team.name for team in teams.values() for key in team.key_hashes}
        )

    def team_of(self, key):
        """Return the `TeamConfig` of a caller's API key, or None."""
        name = self._keys.team_of_hash(hash_key(key)) if key else None
        return None if name is None else self.teams[name]


class RouteTable:
    """Finds the route of a request by its host and the longest matching path prefix."""

    __slots__ = ("_hosts", "count")

    def __init__(self, routes):
        self._hosts = {}
        self.count = 0
        for route in routes:
            prefixes = self._hosts.setdefault(route.host, {})
            prefixes[route.path_prefix] = route
            self.count += 1

    def find(self, host, path):
        """Return the `RouteConfig`, or None.

        Prefixes begin and end with a slash, so only the parts of the path that end at
        a slash have to be looked up, the longest first.
        """
        prefixes = self._hosts.get(host)
        if not prefixes:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None


def allowed_regions(route, team):
    """Return the regions that may get a request, or None if all may.

    Parameters
    ----------
    route : RouteConfig
    team : TeamConfig or None
    """
    regions = None if team is None else team.regions
    if route.regions is None or regions is None:
        return route.regions if regions is None else regions
    return route.regions & regions


def choose_target(route, rng):
    """Return a service for a request, chosen at random by the weights of its route."""
    if len(route.targets) == 1:
        return route.targets[0][0]
    total = sum(weight for _, weight in route.targets)
    remaining_weight = rng.random() * total
    for service, weight in route.targets:
        remaining_weight -= weight
        if remaining_weight < 0:
            return service
    return route.targets[-1][0]


class BackendRecord:
    """Entry of a backend server in the platform's list.

    Parameters
    ----------
    name : str
        Usually identifies one start of the server.
    service, address, zone : str
    slots : int
    leaving : bool
        Whether the server is draining: it must get no new requests.
    remaining_ms : float or None
        Time until a server that leaves at short notice stops.
    started_wall_ms : int
        Distinguishes two starts under one name.
    residents : dict of str to frozenset of str
        Loaded model -> its loaded adapters.
    in_memory, on_disk : frozenset of str
        Models of which the server keeps a copy in host memory or on disk.
    heartbeats : int
        Increases with each entry that the server writes after a start.
    software : str
        Version of the server's software; empty if its entry names none.
    cold_ms : float
        Time for which the server was still cold when it wrote the entry; not a number
        if the entry's value cannot be read.
    """

    __slots__ = (
        "name",
        "service",
        "address",
        "zone",
        "slots",
        "leaving",
        "remaining_ms",
        "started_wall_ms",
        "residents",
        "in_memory",
        "on_disk",
        "heartbeats",
        "software",
        "cold_ms",
    )

    def __init__(
        self,
        name,
        service,
        address,
        zone,
        slots=1,
        leaving=False,
        remaining_ms=None,
        started_wall_ms=0,
        residents=None,
        in_memory=frozenset(),
        on_disk=frozenset(),
        heartbeats=0,
        software="",
        cold_ms=0.0,
    ):
        self.name = name
        self.service = service
        self.address = address
        self.zone = zone
        self.slots = slots
        self.leaving = leaving
        self.remaining_ms = remaining_ms
        self.started_wall_ms = started_wall_ms
        self.residents = residents or {}
        self.in_memory = in_memory
        self.on_disk = on_disk
        self.heartbeats = heartbeats
        self.software = software
        self.cold_ms = cold_ms

    @property
    def rank(self):
        """Sorts the entries of one name from old to new.

        A server that leaves never becomes available again before it restarts.
        """
        return self.started_wall_ms, self.leaving, self.heartbeats

    @property
    def start(self):
        """Name and start time, which identify one start of the server."""
        return self.name, self.started_wall_ms

    def same_as(self, other):
        """Return whether another entry has the same meaning.

        Heartbeats and the remaining time, which follows from the first entry that
        states it, change without a meaning. Whether a changed cold time has one
        depends on when the entries came (`ColdServers.is_news`).
        """
        return all(
            getattr(self, name) == getattr(other, name)
            for name in self.__slots__
            if name not in ("remaining_ms", "heartbeats", "cold_ms")
        )


class RequestMetadata:
    """Metadata of a request, decoded from its request line and headers.

    Parameters
    ----------
    request_id : str
    method, host, path : str
        `path` excludes the query string.
    key : str
        API key; empty if the request has none.
    timeout_ms : float or None
        How long the caller waits for the response.
    model, adapter : str
        Empty if the request names none.
    prompt_tokens, output_tokens : int or None
    prefix : iterable of (str, int)
        Hash and number of tokens of each part of the prompt.
    last_event_id : str
        Set if the caller resumes a stream.
    resumes : str
        Request ID of the attempt that brought the first event of that stream.
    """

    __slots__ = (
        "request_id",
        "method",
        "host",
        "path",
        "key",
        "timeout_ms",
        "model",
        "adapter",
        "prompt_tokens",
        "output_tokens",
        "prefix",
        "last_event_id",
        "resumes",
    )

    def __init__(
        self,
        request_id,
        method,
        host,
        path,
        key="",
        timeout_ms=None,
        model="",
        adapter="",
        prompt_tokens=None,
        output_tokens=None,
        prefix=(),
        last_event_id="",
        resumes="",
    ):
        self.request_id = request_id
        self.method = method
        self.host = host
        self.path = path
        self.key = key
        self.timeout_ms = timeout_ms
        self.model = model
        self.adapter = adapter
        self.prompt_tokens = prompt_tokens
        self.output_tokens = output_tokens
        self.prefix = prefix
        self.last_event_id = last_event_id
        self.resumes = resumes

    @property
    def tokens(self):
        """Prompt tokens plus the maximum of output tokens, or None if not stated."""
        if self.prompt_tokens is None:
            return None
        return self.prompt_tokens + self.output_tokens

    def shared_parts(self):
        """Return the prompt's parts without the last, which no other caller sends."""
        names = [name for name, _ in self.prefix]
        return names[:-1]
