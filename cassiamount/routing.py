"""Selection of a replica for each request."""

from .invariants import LEAVING_BACKEND_IDLE, require
from .prefix_index import PrefixIndex
from .replica_state import ReplicaState

# Reasons of `NoReplica`.
NOT_RESIDENT = "not-resident"
BUSY = "busy"
UNAVAILABLE = "unavailable"

# Assumed prefill rate of an engine.
PREFILL_TOKENS_PER_MS = 8.0
# Approximate delay of the first token for each request already at the replica.
RUNNING_COST_MS = 8.0
# Assumed duration of a request until the replica has an average of its own.
DEFAULT_DURATION_MS = 1_000.0
# The load in a report older than this is uncertain, so the replica gets a penalty and
# is used only if the others are worse.
STALE_REPORT_MS = 3_000.0
STALE_PENALTY_MS = 200.0
# Replicas whose wait is estimated for one request.
CANDIDATES_LIMIT = 16
# VMs with the same delayed reports would all select the same replica, so two of the
# best few are drawn at random and the better one is taken. Replicas whose wait exceeds
# the lowest one by more than 10 % and the margin are not among the few.
BEST_CANDIDATES = 3
SIMILAR_WAIT_MARGIN_MS = 10.0
# If a larger fraction of a route's replicas is ejected, all of them stay in use,
# because the remaining ones would be overloaded.
MAX_EJECTED_FRACTION = 0.5
# For this long, a leaving backend server may still get requests for which it was
# selected before it began to leave.
LEAVING_GRACE_MS = 3_000.0


class SelectedReplica:
    """The replica selected for a request.

    Parameters
    ----------
    backend, address : str
    wait_ms : float
        Estimated time to the first token.
    cached_tokens : int
        Leading tokens of the prompt that are probably cached there.
    """

    __slots__ = ("backend", "address", "wait_ms", "cached_tokens")

    def __init__(self, backend, address, wait_ms, cached_tokens):
        self.backend = backend
        self.address = address
        self.wait_ms = wait_ms
        self.cached_tokens = cached_tokens


class NoReplica:
    """No replica can take the request at the moment.

    Parameters
    ----------
    reason : str
        ``not-resident`` (no replica has the model loaded), ``busy`` (all are at
        their concurrency limit or paused) or ``unavailable`` (all are excluded).
    """

    __slots__ = ("reason",)

    def __init__(self, reason):
        self.reason = reason

    def __repr__(self):
        return f"NoReplica({self.reason!r})"


class Router:
    """Selects a replica with a low estimated wait for each request.

    Parameters
    ----------
    zone : str
        Availability zone of this VM.
    cross_zone_latency_ms : float
        Round-trip time to another availability zone.
    prefix_index : PrefixIndex, optional
    """

    __slots__ = (
        "prefix_index",
        "_zone",
        "_cross_zone_latency_ms",
        "_replicas",
        "_leaving",
        "_draining",
        "_backends_by_route",
        "_offered_routes",
        "_now_ms",
    )

    def __init__(self, zone, cross_zone_latency_ms=2.0, prefix_index=None):
        self.prefix_index = PrefixIndex() if prefix_index is None else prefix_index
        self._zone = zone
        self._cross_zone_latency_ms = cross_zone_latency_ms
        self._replicas = {}
        # Name -> time since which the VM list or an operator marks it as leaving.
        self._leaving = {}
        self._draining = frozenset()
        # Service, adapter or model -> names of the replicas that offer it.
        self._backends_by_route = {}
        self._offered_routes = {}
        self._now_ms = 0.0

    def set_configuration(self, configuration):
        """Apply the backend servers of a new configuration."""
        for name in set(self._replicas) - set(configuration.backends):
            self._remove_routes(name)
            del self._replicas[name]
            self.prefix_index.remove_backend(name)
        for name, backend in configuration.backends.items():
            replica = self._replicas.get(name)
            if replica is None:
                self._replicas[name] = ReplicaState(backend)
            elif replica.backend.address != backend.address:
                self._replicas[name] = ReplicaState(backend)
                self.prefix_index.remove_backend(name)
            else:
                replica.backend = backend
            self._update_routes(name)

    def set_leaving(self, names):
        """Replace the servers that the VM list or an operator marks as leaving."""
        self._leaving = {name: self._leaving.get(name, self._now_ms) for name in names}

    def set_draining(self, pairs):
        """Replace the (backend, model or adapter) pairs about to be unloaded."""
        self._draining = frozenset(pairs)

    def on_report(self, report, now_ms):
        """Apply a load report."""
        self._now_ms = max(self._now_ms, now_ms)
        replica = self._replicas.get(report.backend)
        if replica is not None and replica.on_report(report, now_ms):
            self._update_routes(report.backend)

    def on_sent(self, request_info, backend):
        """Record that a request was dispatched to `backend`."""
        require(
            self._now_ms - self._leaving.get(backend, self._now_ms) <= LEAVING_GRACE_MS,
            LEAVING_BACKEND_IDLE,
            backend=backend,
            request_id=request_info.request_id,
        )
        replica = self._replicas.get(backend)
        if replica is not None:
            replica.on_sent(request_info.request_id, self._now_ms)
            self.prefix_index.on_sent(backend, request_info.prefix_hashes)

    def on_ended(self, ended, now_ms):
        """Record the end of an attempt."""
        self._now_ms = max(self._now_ms, now_ms)
        replica = self._replicas.get(ended.backend)
        if replica is not None:
            replica.on_ended(ended, now_ms)

    def choose(self, request_info, now_ms, rng, exclude=()):
        """Select a replica for a request.

        Parameters
        ----------
        request_info : RequestInfo
        now_ms : float
        rng : random.Random
        exclude : collection of str
            Backend servers that already failed this request.

        Returns
        -------
        SelectedReplica or NoReplica
        """
        self._now_ms = max(self._now_ms, now_ms)
        # A request with an adapter is routed by the adapter alone: engines refuse it
        # while the adapter is not ready, and a ready adapter's base model is ready too.
        route = request_info.route
        offering = self._backends_by_route.get(route, ())
        if not offering:
            return NoReplica(NOT_RESIDENT if request_info.model else UNAVAILABLE)
        eligible = self._eligible(request_info, offering, now_ms, exclude)
        if not eligible:
            return NoReplica(UNAVAILABLE)
        free = self._with_capacity(eligible, now_ms)
        if not free:
            return NoReplica(BUSY)
        choice = self._lowest_wait(
            self._sample_candidates(free, rng), request_info, now_ms, rng
        )
        require(
            choice.backend not in self._leaving
            and not self._replicas[choice.backend].reports_leaving,
            LEAVING_BACKEND_IDLE,
            backend=choice.backend,
            request_id=request_info.request_id,
        )
        return choice

    def load(self, backend):
        """Return the estimated number of requests at a backend server."""
        return self._replicas[backend].load()

    def _eligible(self, request_info, offering, now_ms, exclude):
        present = [
            self._replicas[name]
            for name in offering
            if name not in self._leaving
            and (name, request_info.model) not in self._draining
            and (name, request_info.adapter) not in self._draining
            and not self._replicas[name].reports_leaving
        ]
        ejected = {r.backend.name for r in present if r.ejected(now_ms)}
        if len(ejected) > len(present) * MAX_EJECTED_FRACTION:
            ejected = set()
        return [
            replica
            for replica in present
            if replica.backend.name not in exclude
            and replica.backend.name not in ejected
        ]

    def _with_capacity(self, replicas, now_ms):
        return [
            replica
            for replica in replicas
            if replica.load() < replica.backend.max_running
            and replica.paused_until_ms <= now_ms
        ]

    def _sample_candidates(self, replicas, rng):
        if len(replicas) <= CANDIDATES_LIMIT:
            return replicas
        same_zone = [r for r in replicas if r.backend.zone == self._zone]
        other_zones = [r for r in replicas if r.backend.zone != self._zone]
        count = min(len(same_zone), max(CANDIDATES_LIMIT * 3 // 4, 0))
        chosen = rng.sample(same_zone, count)
        return chosen + rng.sample(
            other_zones, min(len(other_zones), CANDIDATES_LIMIT - count)
        )

    def _lowest_wait(self, replicas, request_info, now_ms, rng):
        estimates = [
            self._estimate_wait(replica, request_info, now_ms) for replica in replicas
        ]
        estimates.sort(key=lambda choice: choice.wait_ms)
        limit_ms = estimates[0].wait_ms * 1.1 + SIMILAR_WAIT_MARGIN_MS
        best = [
            choice
            for choice in estimates[:BEST_CANDIDATES]
            if choice.wait_ms <= limit_ms
        ]
        if len(best) <= 2:
            return best[0]
        return min(rng.sample(best, 2), key=lambda choice: choice.wait_ms)

    def _estimate_wait(self, replica, request_info, now_ms):
        backend = replica.backend
        load = replica.load()
        duration_ms = replica.duration_ms or DEFAULT_DURATION_MS
        excess = max(0, load + 1 - backend.max_running)
        wait_ms = load * RUNNING_COST_MS + excess * duration_ms / backend.max_running
        cached = 0
        if request_info.model:
            cached = self.prefix_index.cached_tokens(
                backend.name, request_info.prefix_hashes
            )
            cached = min(cached, request_info.prompt_tokens)
            wait_ms += (request_info.prompt_tokens - cached) / PREFILL_TOKENS_PER_MS
        if backend.zone != self._zone:
            wait_ms += self._cross_zone_latency_ms
        wait_ms += replica.error_penalty_ms(now_ms)
        if (
            replica.report is None
            or now_ms - replica.report_received_ms > STALE_REPORT_MS
        ):
            wait_ms += STALE_PENALTY_MS
        return SelectedReplica(backend.name, backend.address, wait_ms, cached)

    def _update_routes(self, name):
        replica = self._replicas[name]
        if replica.backend.kind == "service":
            offers = {replica.backend.service}
        elif replica.report is None:
            offers = set()
        else:
            offers = {r.name for r in replica.report.residents if r.ready}
        previous = self._offered_routes.get(name, frozenset())
        for route in previous - offers:
            self._backends_by_route[route].pop(name, None)
            if not self._backends_by_route[route]:
                del self._backends_by_route[route]
        for route in offers - previous:
            self._backends_by_route.setdefault(route, {})[name] = None
        self._offered_routes[name] = frozenset(offers)

    def _remove_routes(self, name):
        for route in self._offered_routes.pop(name, ()):
            self._backends_by_route[route].pop(name, None)
            if not self._backends_by_route[route]:
                del self._backends_by_route[route]
