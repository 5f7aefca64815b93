"""Which backend server gets a request, or how long it should wait for one."""

from .fleet_orders import target_name

# Cost of another zone in ms, so that equal replicas near by are taken.
OTHER_ZONE_COST_MS = 12.0
# Each request that an engine runs slows the first token of the next one by this.
RUNNING_COST_MS = 2.0
# Time of a request until a backend server's own average is known.
DEFAULT_SERVICE_MS = 60.0
DEFAULT_STREAM_MS = 1_500.0
# How much of a prompt an engine reads in a ms, for the worth of a cached prefix.
PREFILL_TOKENS_PER_MS = 25.0
# A request that a backend server would begin later than this share of what its caller
# waits is refused.
PATIENCE_SHARE = 0.7
# Callers give a stream up after a gap of this, or some multiples of their objectives.
STREAM_PATIENCE_MS = 2_000.0
OBJECTIVES_PATIENCE = 4.0
GAPS_PATIENCE = 8.0
# Time that the holder of the orders has to say when something is ready.
DECISION_MS = 250.0
# A caller that was refused should not come back sooner or later than this.
MIN_RETURN_MS = 50.0
MAX_RETURN_MS = 5_000.0
# When nothing is known about the time.
DEFAULT_RETURN_MS = 700.0


class Choice:
    """A backend server for a request."""

    __slots__ = ("view", "wait_ms")

    def __init__(self, view, wait_ms):
        self.view = view
        self.wait_ms = wait_ms


class WaitFor:
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


def patience_ms(route, left_ms):
    """Return how long a caller waits for the first byte.

    Parameters
    ----------
    route : RouteRule
    left_ms : float
        Until the caller's or the route's time limit.
    """
    if not route.streamed:
        return left_ms
    gap_ms = max(
        STREAM_PATIENCE_MS,
        OBJECTIVES_PATIENCE * route.objective_ms,
        GAPS_PATIENCE * route.gap_objective_ms,
    )
    return min(left_ms, gap_ms)


def return_ms(wait_ms):
    """Return when a refused caller should come back."""
    if wait_ms is None:
        return DEFAULT_RETURN_MS
    return min(MAX_RETURN_MS, max(MIN_RETURN_MS, wait_ms))


class ReplicaChoice:
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

    def plain(self, service, now_ms, exclude=()):
        """Choose for a request to a plain service.

        Returns
        -------
        Choice or WaitFor
        """
        views = self._view.usable(service, now_ms, exclude)
        if not views:
            return WaitFor("no-backend", None)
        return min(
            (self._plain_estimate(view) for view in views),
            key=lambda choice: choice.wait_ms,
        )

    def _plain_estimate(self, view):
        each_ms = view.service_ms or DEFAULT_SERVICE_MS
        slots = view.record.slots
        excess = max(0, view.load + 1 - slots)
        wait_ms = each_ms * (1 + excess / slots) + each_ms * 0.1 * view.load / slots
        return Choice(view, wait_ms + self._zone_ms(view))

    def engine(self, service, call, now_ms, exclude=()):
        """Choose for a request that names a model.

        Returns
        -------
        Choice or WaitFor
        """
        target = target_name(call.model, call.adapter)
        best = None
        coming_ms = None
        usable = self._view.usable(service, now_ms, exclude)
        for view in usable:
            if view.missing.get(target, 0.0) > now_ms or call.model in view.drained:
                continue
            if self._holds(view, call):
                choice = self._engine_estimate(view, call)
                if best is None or choice.wait_ms < best.wait_ms:
                    best = choice
        if best is not None:
            return best
        if not usable:
            return WaitFor("no-backend", None)
        for view in usable:
            for name in (target, call.model):
                due_ms = view.coming.get(name)
                if due_ms is not None:
                    left_ms = max(0.0, due_ms - now_ms)
                    coming_ms = (
                        left_ms if coming_ms is None else min(coming_ms, left_ms)
                    )
        queued_ms = self._view.queued.get(call.model)
        if coming_ms is None and queued_ms is not None:
            return WaitFor("model", max(0.0, queued_ms - now_ms))
        if coming_ms is None:
            holders = [view for view in usable if call.model in view.ready]
            if holders:
                return WaitFor("adapter", self._adapter_wait_ms(holders, now_ms))
        return WaitFor("model", coming_ms)

    def _adapter_wait_ms(self, holders, now_ms):
        """Return when some engine of a model takes orders again; None if one does.

        An engine takes no order for an adapter while it loads a model.
        """
        free_ms = []
        for view in holders:
            due_ms = [due for name, due in view.coming.items() if "/" not in name]
            if not due_ms:
                return None
            free_ms.append(max(due_ms))
        return max(0.0, min(free_ms) - now_ms)

    def _holds(self, view, call):
        held = view.ready.get(call.model)
        return held is not None and (not call.adapter or call.adapter in held)

    def _engine_estimate(self, view, call):
        slots = view.record.slots
        excess = max(0, view.load + 1 - slots)
        stream_ms = view.service_ms or DEFAULT_STREAM_MS
        cached = self._prefixes.cached_tokens(view.record.name, call)
        wait_ms = (
            RUNNING_COST_MS * view.load
            + excess * stream_ms / slots
            + ((call.prompt_tokens or 0) - cached) / PREFILL_TOKENS_PER_MS
        )
        return Choice(view, wait_ms + self._zone_ms(view))

    def _zone_ms(self, view):
        return 0.0 if view.record.zone == self._zone else OTHER_ZONE_COST_MS


# Prompt parts remembered for each backend server.
PARTS_LIMIT = 2_000


class PrefixMemory:
    """Which prompt parts this VM has sent to which engine."""

    def __init__(self):
        self._parts = {}

    def note_sent(self, backend, call):
        """Remember the parts of a request that was sent."""
        parts = self._parts.setdefault(backend, {})
        for key in self._keys(call):
            parts.pop(key, None)
            parts[key] = None
        while len(parts) > PARTS_LIMIT:
            del parts[next(iter(parts))]

    def cached_tokens(self, backend, call):
        """Return the leading prompt tokens that the engine probably keeps."""
        parts = self._parts.get(backend)
        if not parts:
            return 0
        tokens = 0
        for key, (_, count) in zip(self._keys(call), call.prefix, strict=True):
            if key not in parts:
                break
            tokens += count
        return tokens

    def forget(self, backend):
        """Drop what is known of a backend server."""
        self._parts.pop(backend, None)

    def _keys(self, call):
        keys = []
        before = (call.model, call.adapter)
        for name, _ in call.prefix:
            before = (before, name)
            keys.append(hash(before))
        return keys
