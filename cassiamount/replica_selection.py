"""Which backend server gets a request, or how long it should wait for one."""

from .fleet_orders import target_of

# Cost of another zone in ms, so that equal replicas near by are taken.
CROSS_ZONE_PENALTY_MS = 12.0
# Each request that an engine runs slows the first token of the next one by this.
RUNNING_REQUEST_COST_MS = 2.0
# Time of a request until a backend server's own average is known.
DEFAULT_SERVICE_MS = 60.0
DEFAULT_STREAM_MS = 1_500.0
# How much of a prompt an engine reads in a ms, for the worth of a cached prefix.
PREFILL_TOKENS_PER_MS = 25.0
# A request that a backend server would begin later than this share of what its caller
# waits is refused.
START_DEADLINE_FRACTION = 0.7
# Callers give a stream up after a gap of this, or some multiples of their objectives.
MIN_STREAM_TIMEOUT_MS = 2_000.0
OBJECTIVE_TIMEOUT_FACTOR = 4.0
GAP_TIMEOUT_FACTOR = 8.0
# Time that the holder of the orders has to say when something is ready.
PLACEMENT_DECISION_MS = 250.0
# A caller that was refused should not come back sooner or later than this.
MIN_RETRY_AFTER_MS = 50.0
MAX_RETRY_AFTER_MS = 5_000.0
# When nothing is known about the time.
DEFAULT_RETRY_AFTER_MS = 700.0


class SelectedReplica:
    """A backend server for a request."""

    __slots__ = ("view", "wait_ms")

    def __init__(self, view, wait_ms):
        self.view = view
        self.wait_ms = wait_ms


class NoReplicaReady:
    """The request can be served after a time, if the caller waits so long.

    Parameters
    ----------
    reason : str
    wait_ms : float or None
        None if the time is not known yet.
    """

    __slots__ = ("reason", "wait_ms")

    def __init__(self, reason, wait_ms):
        self.reason = reason
        self.wait_ms = wait_ms


def first_byte_timeout_ms(route, remaining_ms):
    """Return how long a caller waits for the first byte.

    Parameters
    ----------
    route : RouteRule
    left_ms : float
        Until the caller's or the route's time limit.
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
    """Return when a refused caller should come back."""
    if wait_ms is None:
        return DEFAULT_RETRY_AFTER_MS
    return min(MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, wait_ms))


class ReplicaSelector:
    """Chooses the replica with the lowest estimated time to the first byte.

    Parameters
    ----------
    view : FleetView
    zone : str
        Of this VM.
    prefixes : PrefixMemory
    """

    def __init__(self, view, zone, prefixes):
        self._view = view
        self._zone = zone
        self._prefixes = prefixes

    def select_for_service(self, service, now_ms, exclude=()):
        """Choose for a request to a plain service.

        Returns
        -------
        Choice or WaitFor
        """
        views = self._view.usable(service, now_ms, exclude)
        if not views:
            return NoReplicaReady("no-backend", None)
        return min(
            (self._estimate_for_service(view) for view in views),
            key=lambda candidate: candidate.wait_ms,
        )

    def _estimate_for_service(self, view):
        mean_service_ms = view.service_ms or DEFAULT_SERVICE_MS
        slots = view.record.slots
        excess_requests = max(0, view.load + 1 - slots)
        wait_ms = (
            mean_service_ms * (1 + excess_requests / slots)
            + mean_service_ms * 0.1 * view.load / slots
        )
        return SelectedReplica(view, wait_ms + self._zone_penalty_ms(view))

    def select_for_model(self, service, metadata, now_ms, exclude=()):
        """Choose for a request that names a model.

        Returns
        -------
        Choice or WaitFor
        """
        target = target_of(metadata.model, metadata.adapter)
        best = None
        ready_in_ms = None
        usable = self._view.usable(service, now_ms, exclude)
        for view in usable:
            if view.missing.get(target, 0.0) > now_ms or metadata.model in view.drained:
                continue
            if self._has_loaded(view, metadata):
                candidate = self._estimate_for_model(view, metadata)
                if best is None or candidate.wait_ms < best.wait_ms:
                    best = candidate
        if best is not None:
            return best
        if not usable:
            return NoReplicaReady("no-backend", None)
        for view in usable:
            for name in (target, metadata.model):
                ready_at_ms = view.coming.get(name)
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
        """Return when some engine of a model takes orders again; None if one does.

        An engine takes no order for an adapter while it loads a model.
        """
        idle_at_ms = []
        for view in engines:
            ready_at_ms = [due for name, due in view.coming.items() if "/" not in name]
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


# Prompt parts remembered for each backend server.
MAX_KEYS_PER_BACKEND = 2_000


class SentPrefixIndex:
    """Which prompt parts this VM has sent to which engine."""

    def __init__(self):
        self._keys_by_backend = {}

    def record_sent(self, backend, metadata):
        """Remember the parts of a request that was sent."""
        recent_keys = self._keys_by_backend.setdefault(backend, {})
        for key in self._prefix_keys(metadata):
            recent_keys.pop(key, None)
            recent_keys[key] = None
        while len(recent_keys) > MAX_KEYS_PER_BACKEND:
            del recent_keys[next(iter(recent_keys))]

    def cached_tokens(self, backend, metadata):
        """Return the leading prompt tokens that the engine probably keeps."""
        recent_keys = self._keys_by_backend.get(backend)
        if not recent_keys:
            return 0
        tokens = 0
        for key, (_, count) in zip(
            self._prefix_keys(metadata), metadata.prefix, strict=True
        ):
            if key not in recent_keys:
                break
            tokens += count
        return tokens

    def forget(self, backend):
        """Drop what is known of a backend server."""
        self._keys_by_backend.pop(backend, None)

    def _prefix_keys(self, metadata):
        keys = []
        leading_parts = (metadata.model, metadata.adapter)
        for name, _ in metadata.prefix:
            leading_parts = (leading_parts, name)
            keys.append(hash(leading_parts))
        return keys
