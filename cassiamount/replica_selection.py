"""Selects the backend server for a request, or estimates when one will be ready."""

from itertools import islice

from .fleet_orders import target_name
from .load_counts import LOWEST_PRIORITY

# Makes a replica in this availability zone win over an equally loaded remote one.
CROSS_ZONE_PENALTY_MS = 12.0
# Delay of the first token for each request that the engine already runs.
RUNNING_REQUEST_COST_MS = 2.0
# Assumed duration of a request until the average of the backend server is known.
DEFAULT_SERVICE_MS = 60.0
DEFAULT_STREAM_MS = 1_500.0
# Assumed prefill speed of an engine; it determines the benefit of a cached prefix.
PREFILL_TOKENS_PER_MS = 25.0
# A request is refused if it could not start within this fraction of the time that its
# caller waits.
START_DEADLINE_FRACTION = 0.7
# Callers cancel a stream after a gap without data: the longest of this time and the
# given multiples of the route's objectives for the first event and for gaps.
MIN_STREAM_TIMEOUT_MS = 2_000.0
OBJECTIVE_TIMEOUT_FACTOR = 4.0
GAP_TIMEOUT_FACTOR = 8.0
# Time for the VM that holds the order lease to decide when a model will be ready.
PLACEMENT_DECISION_MS = 250.0
# Leaves a server with a limit to requests that no other one serves.
LIMITED_PENALTY_MS = 100.0
# Limits of the Retry-After time of refused requests.
MIN_RETRY_AFTER_MS = 50.0
MAX_RETRY_AFTER_MS = 5_000.0
# All replicas that could take a request want nothing from this VM for now.
PAUSED = "paused"
# All replicas that could take a request have as many as they should.
BUSY = "busy"
# Replicas with room that are compared at random, of which the better one is taken.
RANDOM_CHOICES = 2
# Retry-After time if the wait cannot be estimated.
DEFAULT_RETRY_AFTER_MS = 700.0


class SelectedReplica:
    """The replica selected for a request, and the estimated time to its first byte.

    Parameters
    ----------
    view : BackendView
    wait_ms : float
    cost_ms : float, optional
        What decides between replicas: `wait_ms`, and what the request delays others.
    estimate : StartEstimate, optional
        None if the servers of the service do not tell their pace.
    cached_tokens : int, optional
    """

    __slots__ = (
        "view",
        "wait_ms",
        "cost_ms",
        "estimate",
        "cached_tokens",
        "is_only_copy",
    )

    def __init__(self, view, wait_ms, cost_ms=None, estimate=None, cached_tokens=0):
        self.view = view
        self.wait_ms = wait_ms
        self.cost_ms = wait_ms if cost_ms is None else cost_ms
        self.estimate = estimate
        self.cached_tokens = cached_tokens
        # Whether its zone is being evacuated and no other replica has the model.
        self.is_only_copy = False

    def add_penalty(self, penalty_ms):
        """Prefer other replicas unless they are slower by this time."""
        self.wait_ms += penalty_ms
        self.cost_ms += penalty_ms


class NoReplicaReady:
    """No replica can take the request now.

    Parameters
    ----------
    reason : str
        What is missing: ``no-backend``, ``model``, ``adapter``, ``limit``, `PAUSED`,
        or `BUSY`.
    wait_ms : float or None
        Estimated time until a replica is ready; None if unknown.
    limited : BackendView, optional
        A replica that could take the request if it named no limit.
    retry_after_ms : float, optional
        Time until some VM may send it a request.
    """

    __slots__ = ("reason", "wait_ms", "limited", "retry_after_ms")

    def __init__(self, reason, wait_ms, limited=None, retry_after_ms=None):
        self.reason = reason
        self.wait_ms = wait_ms
        self.limited = limited
        self.retry_after_ms = retry_after_ms


def first_byte_timeout_ms(route, remaining_ms):
    """Return how long a caller waits for the first byte of the response.

    Parameters
    ----------
    route : RouteConfig
    remaining_ms : float
        Time until the deadline set by the caller or the route.
    """
    if not route.streamed:
        return remaining_ms
    stream_timeout_ms = max(
        MIN_STREAM_TIMEOUT_MS,
        OBJECTIVE_TIMEOUT_FACTOR * route.objective_ms,
        GAP_TIMEOUT_FACTOR * route.gap_objective_ms,
    )
    return min(remaining_ms, stream_timeout_ms)


def clamp_retry_after_ms(wait_ms):
    """Return the Retry-After time for an estimated wait, which may be None."""
    if wait_ms is None:
        return DEFAULT_RETRY_AFTER_MS
    return min(MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, wait_ms))


class ReplicaSelector:
    """Selects the replica with the lowest estimated time to the first byte.

    Parameters
    ----------
    view : FleetView
    zone : str
        Availability zone of this VM.
    prefixes : SentPrefixIndex
    limits : RequestLimits
    loads : ReplicaLoads, optional
    rng : random.Random, optional
        Chooses among the replicas of services whose servers tell their pace.
    """

    def __init__(self, view, zone, prefixes, limits, loads=None, rng=None):
        self._view = view
        self._zone = zone
        self._prefixes = prefixes
        self._limits = limits
        self._loads = loads
        self._rng = rng

    def select_for_service(
        self,
        service,
        now_ms,
        exclude=(),
        reserved=None,
        software=None,
        priority=LOWEST_PRIORITY,
    ):
        """Select a replica for a request that names no model.

        Parameters
        ----------
        service : str
        now_ms : float
        exclude : collection of str
        reserved : ((str, int), float), optional
            `BackendRecord.start` of a replica with a limit, and the time of the turn
            that was reserved there.
        software : str, optional
            The only software version that may get the request.
        priority : int, optional
            0 is the most urgent; the others find replicas full earlier.

        Returns
        -------
        SelectedReplica or NoReplicaReady
        """
        views = self._view.usable(service, now_ms, exclude, software)
        if not views:
            return self._when_paused_ends(
                service, now_ms, exclude, software
            ) or NoReplicaReady("no-backend", None)
        if self._tells_pace(service):
            return self._best_with_room(views, None, now_ms, reserved, priority)
        candidates = [self._estimate_for_service(view) for view in views]
        return self._best_within_limits(candidates, now_ms, reserved)

    def _tells_pace(self, service):
        return self._loads is not None and self._loads.is_enabled(service)

    def _best_with_room(self, views, metadata, now_ms, reserved, priority):
        """Return the best replica by the loads that servers and VMs tell.

        Returns
        -------
        SelectedReplica, NoReplicaReady or None
            None if there are no views.
        """
        candidates = []
        room_ms = None
        for view in views:
            cached = 0
            if metadata is not None:
                cached = self._prefixes.cached_tokens(view.record.name, metadata)
            estimate = self._loads.estimate(view, metadata, cached, now_ms, priority)
            wait_ms = self._loads.room_wait_ms(view, estimate, metadata, priority)
            if wait_ms > 0:
                room_ms = wait_ms if room_ms is None else min(room_ms, wait_ms)
                continue
            requests = estimate.running + estimate.waiting
            # What the prompt delays those that are at the server.
            delay_ms = estimate.prompt_ms * requests / estimate.slots
            zone_ms = self._zone_penalty_ms(view)
            first_ms = estimate.first_event_ms
            candidates.append(
                SelectedReplica(
                    view,
                    first_ms + zone_ms,
                    first_ms + delay_ms + zone_ms,
                    estimate,
                    cached,
                )
            )
        best = self._best_within_limits(candidates, now_ms, reserved, self._choose)
        if best is None and room_ms is not None:
            return NoReplicaReady(BUSY, room_ms)
        return best

    def _choose(self, candidates):
        """Return the best of a few random candidates.

        All VMs know about the same of each server, and that late: without the choice at
        random they send to the same one until the next report. A replica that has more
        of the prompt cached than the others takes part in any case, as each VM knows
        of other ones.
        """
        if len(candidates) > RANDOM_CHOICES:
            most = max(item.cached_tokens for item in candidates)
            cached = [item for item in candidates if 0 < item.cached_tokens == most]
            candidates = self._rng.sample(candidates, RANDOM_CHOICES)
            if cached:
                candidates.append(self._rng.choice(cached))
        return min(candidates, key=_cost_ms)

    def _best_within_limits(self, candidates, now_ms, reserved, choose=None):
        """Return the best candidate that may get a request now.

        Returns
        -------
        SelectedReplica or NoReplicaReady
        """
        allowed = []
        next_turn = None
        for candidate in candidates:
            start = candidate.view.record.start
            if self._limits.is_limited(start, now_ms):
                delay_ms = self._limits.delay_ms(start, now_ms)
                if reserved is not None and reserved[0] == start:
                    delay_ms = max(0.0, reserved[1] - now_ms)
                if delay_ms > 0:
                    if next_turn is None or delay_ms < next_turn[0]:
                        next_turn = (delay_ms, candidate.view)
                    continue
                if not self._limits.is_stale(start, now_ms):
                    candidate.add_penalty(LIMITED_PENALTY_MS)
            allowed.append(candidate)
        if allowed:
            return min(allowed, key=_cost_ms) if choose is None else choose(allowed)
        if next_turn is None:
            return None
        delay_ms, view = next_turn
        retry_after_ms = self._limits.retry_after_ms(view.record.start, now_ms)
        return NoReplicaReady("limit", delay_ms, view, retry_after_ms)

    def _estimate_for_service(self, view):
        mean_service_ms = view.service_ms or DEFAULT_SERVICE_MS
        slots = view.record.slots
        excess_requests = max(0, view.load + 1 - slots)
        wait_ms = (
            mean_service_ms * (1 + excess_requests / slots)
            + mean_service_ms * 0.1 * view.load / slots
        )
        return SelectedReplica(view, wait_ms + self._zone_penalty_ms(view))

    def select_for_model(
        self,
        service,
        metadata,
        now_ms,
        exclude=(),
        reserved=None,
        software=None,
        priority=LOWEST_PRIORITY,
    ):
        """Select a replica for a request that names a model.

        Parameters
        ----------
        service : str
        metadata : RequestMetadata
        now_ms : float
        exclude, reserved, software, priority
            As in `select_for_service`.

        Returns
        -------
        SelectedReplica or NoReplicaReady
        """
        target = target_name(metadata.model, metadata.adapter)
        usable = None
        copies = self._holders(self._view.of_service(service), target, metadata, now_ms)
        holders = self._view.healthy(copies, now_ms, exclude, software)
        if not holders:
            # Whether avoided servers get requests depends on those without a copy.
            usable = self._view.usable(service, now_ms, exclude, software)
            holders = self._holders(usable, target, metadata, now_ms)
        has_copy_elsewhere = bool(holders)
        if not has_copy_elsewhere:
            views = self._view.only_copies(service, now_ms, exclude, software)
            holders = self._holders(views, target, metadata, now_ms)
        if self._tells_pace(service):
            best = self._best_with_room(holders, metadata, now_ms, reserved, priority)
        else:
            candidates = [self._estimate_for_model(view, metadata) for view in holders]
            best = self._best_within_limits(candidates, now_ms, reserved)
        if isinstance(best, SelectedReplica):
            best.is_only_copy = not has_copy_elsewhere
            return best
        if usable is None:
            usable = self._view.usable(service, now_ms, exclude, software)
        pause = self._when_paused_ends(service, now_ms, exclude, software, metadata)
        if not usable:
            return pause or NoReplicaReady("no-backend", None)
        missing = self._when_loaded(usable, target, metadata, now_ms)
        if best is not None and best.reason == BUSY:
            # Room at a holder comes without a notice, also while a copy is loaded, so
            # the wait for it must not be taken for one that only a load can end.
            return _sooner_busy(best, missing)
        if best is not None and (
            missing.wait_ms is None or best.wait_ms <= missing.wait_ms
        ):
            return best
        if pause is not None and (
            missing.wait_ms is None or pause.wait_ms <= missing.wait_ms
        ):
            return pause
        return missing

    def _holders(self, views, target, metadata, now_ms):
        """Return the views of the servers that have a request's model."""
        return [
            view
            for view in views
            if view.missing_until_ms.get(target, 0.0) <= now_ms
            and metadata.model not in view.drained
            and self._has_loaded(view, metadata)
        ]

    def _when_paused_ends(self, service, now_ms, exclude, software, metadata=None):
        """Return when the first replica wants requests again that could take one.

        Returns
        -------
        NoReplicaReady or None
            None if no such replica has asked for a pause.
        """
        notices = self._view.notices
        if not notices.has_pauses:
            return None
        pauses_ms = [
            notices.pause_ms(view.record.start, now_ms)
            for view in self._view.willing(service, exclude, software)
            if metadata is None or self._has_loaded(view, metadata)
        ]
        first_ms = min(filter(None, pauses_ms), default=None)
        return None if first_ms is None else NoReplicaReady(PAUSED, first_ms)

    def _when_loaded(self, usable, target, metadata, now_ms):
        """Return when some replica will have loaded a model or adapter."""
        ready_in_ms = None
        for view in usable:
            for name in (target, metadata.model):
                ready_at_ms = view.loading.get(name)
                if ready_at_ms is not None:
                    remaining_ms = max(0.0, ready_at_ms - now_ms)
                    ready_in_ms = (
                        remaining_ms
                        if ready_in_ms is None
                        else min(ready_in_ms, remaining_ms)
                    )
        queued_ready_at_ms = self._view.queued.get(metadata.model)
        if ready_in_ms is None and queued_ready_at_ms is not None:
            return NoReplicaReady("model", max(0.0, queued_ready_at_ms - now_ms))
        if ready_in_ms is None:
            engines = [view for view in usable if metadata.model in view.ready]
            if engines:
                return NoReplicaReady("adapter", self._adapter_wait_ms(engines, now_ms))
        return NoReplicaReady("model", ready_in_ms)

    def _adapter_wait_ms(self, engines, now_ms):
        """Return the time until some engine can load an adapter; None if one can now.

        An engine accepts no order to load an adapter while it loads a model.
        """
        idle_at_ms = []
        for view in engines:
            ready_at_ms = [due for name, due in view.loading.items() if "/" not in name]
            if not ready_at_ms:
                return None
            idle_at_ms.append(max(ready_at_ms))
        return max(0.0, min(idle_at_ms) - now_ms)

    def _has_loaded(self, view, metadata):
        loaded_adapters = view.ready.get(metadata.model)
        return loaded_adapters is not None and (
            not metadata.adapter or metadata.adapter in loaded_adapters
        )

    def _estimate_for_model(self, view, metadata):
        slots = view.record.slots
        excess_requests = max(0, view.load + 1 - slots)
        mean_stream_ms = view.service_ms or DEFAULT_STREAM_MS
        cached = self._prefixes.cached_tokens(view.record.name, metadata)
        wait_ms = (
            RUNNING_REQUEST_COST_MS * view.load
            + excess_requests * mean_stream_ms / slots
            + ((metadata.prompt_tokens or 0) - cached) / PREFILL_TOKENS_PER_MS
        )
        return SelectedReplica(view, wait_ms + self._zone_penalty_ms(view))

    def _zone_penalty_ms(self, view):
        return 0.0 if view.record.zone == self._zone else CROSS_ZONE_PENALTY_MS


def _sooner_busy(busy, missing):
    """Return a wait for room, or for what is loaded if that is ready sooner."""
    if missing.wait_ms is None:
        return busy
    return NoReplicaReady(BUSY, min(busy.wait_ms, missing.wait_ms))


def _cost_ms(candidate):
    return candidate.cost_ms


# Prompt prefixes remembered for each backend server.
MAX_KEYS_PER_BACKEND = 2_000
# Leading parts of a prompt that are remembered; a prompt of thousands of parts would
# displace all others.
MAX_INDEXED_PARTS = 256


class SentPrefixIndex:
    """Prompt prefixes that this VM recently sent to each engine."""

    def __init__(self):
        self._keys_by_backend = {}

    def record_sent(self, backend, metadata):
        """Remember the prompt prefixes of a request that was sent."""
        recent_keys = self._keys_by_backend.setdefault(backend, {})
        for key, _ in self._prefix_keys(metadata):
            recent_keys.pop(key, None)
            recent_keys[key] = None
        while len(recent_keys) > MAX_KEYS_PER_BACKEND:
            del recent_keys[next(iter(recent_keys))]

    def cached_tokens(self, backend, metadata):
        """Return how many leading prompt tokens the engine has probably cached."""
        recent_keys = self._keys_by_backend.get(backend)
        if not recent_keys:
            return 0
        tokens = 0
        for key, count in self._prefix_keys(metadata):
            if key not in recent_keys:
                break
            tokens += count
        return tokens

    def remove_backend(self, backend):
        """Remove the prefixes sent to a backend server."""
        self._keys_by_backend.pop(backend, None)

    def _prefix_keys(self, metadata):
        """Yield a key of each leading part with those before it, and its tokens."""
        key = hash((metadata.model, metadata.adapter))
        for name, count in islice(metadata.prefix, MAX_INDEXED_PARTS):
            key = hash((key, name))
            yield key, count
