"""Lets requests of a VM in front of a fleet wait for a backend server."""

import asyncio
import math

from .fleet import allowed_regions
from .relayed_request import Refused
from .replica_selection import (
    BUSY,
    NoReplicaReady,
    SelectedReplica,
    clamp_retry_after_ms,
)
from .request_selection import RequestSelection
from .waiting_refusals import refuse_wait, stopping_refusal, unknown_limit_ms
from .waiting_requests import IN_ORDER, WaitingRequest, WaitingRequests

# A caller that got a Retry-After time is counted as waiting until this long after it.
EXPECTED_RETRY_GRACE_MS = 400.0
# A dispatch pass that failed is repeated after this time.
FAILED_PASS_RETRY_MS = 100.0


class _Place:
    """A request's place in the queue, and the future of what it gets."""

    __slots__ = ("waiting", "outcome")

    def __init__(self, waiting, outcome):
        self.waiting = waiting
        self.outcome = outcome


class ReplicaWaiting:
    """Selects replicas for requests, and queues the requests that have none.

    Parameters
    ----------
    state : FleetState
    selector : ReplicaSelector
    metrics : Metrics
    log : object
        structlog logger.
    rng : random.Random
    notify_waiting : callable
        Called when a request begins to wait for a model or adapter, or its caller was
        told to retry, so that the VM that holds the order lease learns of it.
    check_allowed : callable
        Takes a RelayedRequest and the time; raises `Refused` if its key was withdrawn
        or backend servers crash on it.
    """

    def __init__(
        self, state, selector, metrics, log, rng, notify_waiting, check_allowed
    ):
        self._state = state
        self._selection = RequestSelection(state, selector)
        self._metrics = metrics
        self._log = log
        self._rng = rng
        self._notify_waiting = notify_waiting
        self._check_allowed = check_allowed
        self._queue = WaitingRequests()
        # RelayedRequest -> _Place.
        self._places = {}
        # Configuration and quarantine for which the waiting requests were checked.
        self._checked = None
        # Handle of the next pass, and its time; -inf if it runs in this turn of the
        # event loop.
        self._pass = None
        self._pass_ms = math.inf
        metrics.gauge("waiting_requests", self._queue.__len__)
        state.listeners.append(self._on_change)

    async def wait(self, request):
        """Return the replica that a request may be sent to.

        It counts as running there until `release`.

        Returns
        -------
        SelectedReplica

        Raises
        ------
        Refused
        """
        now_ms = self._state.now_ms()
        if request.granted is not None:
            # The request comes back from a replica.
            if not request.may_have_run:
                self._queue.refund(request.granted)
            request.granted = None
        self._check_allowed(request, now_ms)
        waiting = self._describe(request, now_ms)
        found = self._selection.select(request, now_ms)
        if isinstance(found, SelectedReplica):
            if not self._queue.is_behind_others(waiting):
                self._queue.record_served(waiting)
                return self._accept(waiting, found, now_ms)
            found = NoReplicaReady(IN_ORDER, 0.0)
        expected_ms = found.wait_ms
        if found.reason == BUSY:
            expected_ms = max(expected_ms or 0.0, self._queue.estimate_ms(waiting))
            self._metrics.count("selections_busy_total", priority=request.priority)
        refused = self._check(waiting, found, expected_ms, now_ms)
        if refused is not None:
            raise refused
        if found.limited is not None:
            waiting = self._reserve_turn(waiting, found)
        return await self._wait_in_queue(waiting, found, expected_ms, now_ms)

    def release(self, request, view):
        """Stop counting a request as running at a replica, as `wait` does.

        The caller counts it again without a pause if it sends it there.
        """
        self._state.view.record_ended(view, request.target)

    def on_room(self):
        """Note that a request has ended at a replica."""
        if self._places and self._queue.has_busy():
            self._queue.set_due(self._state.now_ms(), only_busy=True)
            self._schedule_pass()

    async def _wait_in_queue(self, waiting, found, expected_ms, now_ms):
        request = waiting.request
        loop = asyncio.get_running_loop()
        place = self._places[request] = _Place(waiting, loop.create_future())
        try:
            self._queue.add(waiting, found, now_ms)
            self._count_waiting(request, found, expected_ms, now_ms)
            if found.reason == IN_ORDER:
                self._queue.set_route_due(waiting.route, now_ms)
            self._schedule_pass()
            outcome = await place.outcome
        except asyncio.CancelledError:
            self._drop_outcome(request, place)
            raise
        finally:
            self._queue.remove(place.waiting)
            del self._places[request]
            self._stop_counting(request)
            waited_ms = self._state.now_ms() - now_ms
            self._metrics.observe_ms("wait_ms", waited_ms, cause="replica")
            self._metrics.observe_ms(
                "queue_wait_ms", waited_ms, priority=request.priority
            )
        if isinstance(outcome, Exception):
            raise outcome
        return outcome

    def _drop_outcome(self, request, place):
        """Pass on the replica of a request that ended before it learned of it."""
        if not place.outcome.done() or place.outcome.cancelled():
            return
        outcome = place.outcome.result()
        if isinstance(outcome, SelectedReplica):
            self.release(request, outcome.view)
            self._queue.refund(place.waiting)
            self._queue.set_due(self._state.now_ms())
            self._schedule_pass()

    # Selection.

    def _describe(self, request, now_ms):
        """Return the request as the queue sees it.

        Requests share the outcome of a selection unless some replicas are excluded for
        one of them, or it has a turn reserved at one.
        """
        is_own = bool(
            request.tried
            or request.unreachable_backends
            or request.software is not None
            or request.reserved is not None
        )
        route = request.route
        # Only these routes keep to replicas whose software version is settled.
        key = (
            request.service,
            request.target,
            route.streamed and route.retryable,
            allowed_regions(route, request.team),
        )
        return WaitingRequest(request, key, is_own, unknown_limit_ms(route), now_ms)

    def _accept(self, waiting, found, now_ms):
        """Count a request as running at its replica.

        Raises
        ------
        Refused
            If the replica would begin with it too late.
        """
        request = waiting.request
        self._reserve(request, found.view, now_ms)
        latest_ms = request.start_deadline_ms
        if found.estimate is not None:
            latest_ms = request.latest_start_ms
        if (
            now_ms + found.wait_ms > max(latest_ms, now_ms + 1)
            and found.wait_ms > request.route.objective_ms
        ):
            self._queue.refund(waiting)
            raise Refused(503, "full", "all replicas are full", found.wait_ms)
        request.granted = waiting
        self._state.view.record_sent(found.view.record.name, request.target)
        return found

    def _reserve(self, request, view, now_ms):
        """Reserve this VM's next request to a backend server that names a limit."""
        start = view.record.start
        if not self._state.limits.is_limited(start, now_ms):
            return
        if request.reserved is None or request.reserved[0] != start:
            request.reserved = (start, self._state.limits.reserve(start, now_ms))

    def _reserve_turn(self, waiting, found):
        """Reserve a turn; return the request as the queue sees it from then on."""
        request = waiting.request
        now_ms = self._state.now_ms()
        self._reserve(request, found.limited, now_ms)
        if waiting.is_own or request.reserved is None:
            return waiting
        own = self._describe(request, waiting.since_ms)
        if request in self._places:
            self._places[request].waiting = own
        return own

    def _check(self, waiting, found, expected_ms, now_ms, unknown_since_ms=None):
        if self._state.stopping:
            return stopping_refusal()
        if unknown_since_ms is None:
            unknown_since_ms = now_ms
        refused = refuse_wait(
            waiting.request, found, expected_ms, unknown_since_ms, now_ms, self._rng
        )
        if refused is not None:
            self._metrics.count("waiting_refusals_total", code=refused.code)
            self._log.info(
                "wait_refused",
                request_id=waiting.request.metadata.request_id,
                target=waiting.request.target,
                priority=waiting.priority,
                code=refused.code,
                expected_ms=_rounded(expected_ms),
                patience_ms=round(waiting.deadline_ms - now_ms),
                waited_ms=round(now_ms - waiting.since_ms),
                waiting=len(self._queue),
                retry_after_ms=_rounded(refused.retry_after_ms),
            )
            self._count_expected_retry(waiting.request, refused)
        return refused

    # Dispatch passes.

    def _on_change(self):
        if self._places:
            self._queue.set_due(self._state.now_ms())
            self._schedule_pass()

    def _schedule_pass(self):
        """Run a pass when the next one is due; changes of one moment share it."""
        now_ms = self._state.now_ms()
        at_ms = self._queue.next_pass_ms()
        if at_ms >= self._pass_ms and self._pass is not None:
            return
        self._call_at(at_ms, now_ms)

    def _call_at(self, at_ms, now_ms):
        if self._pass is not None:
            self._pass.cancel()
            self._pass = None
        self._pass_ms = at_ms
        if at_ms == math.inf:
            return
        loop = asyncio.get_running_loop()
        self._pass = loop.call_later(max(0.0, at_ms - now_ms) / 1000, self._run_pass)

    def _run_pass(self):
        self._pass = None
        now_ms = self._state.now_ms()
        try:
            self._end_disallowed(now_ms)
            self._queue.dispatch(
                now_ms,
                lambda waiting: self._select_for_pass(waiting, now_ms),
                lambda waiting, found, since_ms: self._check(
                    waiting, found, found.wait_ms, now_ms, since_ms
                ),
                self._reserve_turn,
                self._deliver,
            )
        except Exception as error:
            self._metrics.count("dispatch_passes_failed_total")
            self._log.exception(
                "dispatch_pass_failed",
                error=type(error).__name__,
                waiting=len(self._queue),
            )
            # No request waits beyond its latest start, also if passes go on failing.
            for waiting in self._queue.remove_late(now_ms):
                self._deliver(waiting, _late_refusal())
            self._queue.set_due(now_ms + FAILED_PASS_RETRY_MS)
            self._call_at(now_ms + FAILED_PASS_RETRY_MS, now_ms)
            return
        self._call_at(self._queue.next_pass_ms(), now_ms)

    def _end_disallowed(self, now_ms):
        """End waiting requests whose key was withdrawn or which crash servers."""
        state = self._state
        checked = (state.configuration, state.quarantine.rules())
        if checked == self._checked:
            return
        self._checked = checked
        if state.configuration is not None:
            self._queue.set_teams(["", *state.configuration.teams])
        for waiting in self._queue:
            try:
                self._check_allowed(waiting.request, now_ms)
            except Refused as refused:
                self._queue.remove(waiting)
                self._deliver(waiting, refused)

    def _select_for_pass(self, waiting, now_ms):
        try:
            found = self._selection.select(waiting.request, now_ms)
        except Refused as refused:
            return refused
        except Exception as error:
            # Only this request ends with it; the pass goes on with the others.
            self._log.exception(
                "selection_failed",
                request_id=waiting.request.metadata.request_id,
                error=type(error).__name__,
            )
            return error
        if waiting.is_own and isinstance(found, NoReplicaReady):
            self._count_waiting(waiting.request, found, found.wait_ms, now_ms)
        return found

    def _deliver(self, waiting, outcome):
        place = self._places[waiting.request]
        if place.outcome.done():
            # The request was cancelled in this turn of the event loop.
            if isinstance(outcome, SelectedReplica):
                self._queue.refund(waiting)
            return
        if isinstance(outcome, SelectedReplica):
            now_ms = self._state.now_ms()
            try:
                self._accept(waiting, outcome, now_ms)
            except Refused as refused:
                outcome = refused
            else:
                self._log.info(
                    "request_taken",
                    request_id=waiting.request.metadata.request_id,
                    priority=waiting.priority,
                    team=waiting.team,
                    backend=outcome.view.record.name,
                    expected_ms=round(outcome.wait_ms),
                    waited_ms=round(now_ms - waiting.since_ms),
                    waiting=len(self._queue),
                )
        place.outcome.set_result(outcome)

    # Counts of waiting requests, which the placement follows.

    def _count_waiting(self, request, found, expected_ms, now_ms):
        target = self._selection.waiting_target(request)
        if target in request.waiting_targets:
            return
        request.waiting_targets[target] = True
        self._log.info(
            "request_waits",
            request_id=request.metadata.request_id,
            target=target,
            reason=found.reason,
            priority=request.priority,
            expected_ms=_rounded(expected_ms),
            patience_ms=round(request.start_deadline_ms - now_ms),
            waiting=len(self._queue),
            placement_age_ms=self._state.placement_age_ms(),
        )
        waiting = self._state.demand.waiting
        waiting[target] = waiting.get(target, 0) + 1
        self._notify_waiting()

    def _count_expected_retry(self, request, refused):
        """Count a refused caller as waiting until it is expected to retry."""
        if (
            self._state.stopping
            or not request.is_model_request
            or refused.retry_after_ms is None
        ):
            return
        waiting = self._state.demand.waiting
        target = self._selection.waiting_target(request)
        waiting[target] = waiting.get(target, 0) + 1
        asyncio.get_running_loop().call_later(
            (refused.retry_after_ms + EXPECTED_RETRY_GRACE_MS) / 1000,
            self._decrement_waiting,
            target,
        )
        self._notify_waiting()

    def _stop_counting(self, request):
        for target in request.waiting_targets:
            self._decrement_waiting(target)
        request.waiting_targets.clear()

    def _decrement_waiting(self, target):
        left = self._state.demand.waiting.get(target, 1) - 1
        if left > 0:
            self._state.demand.waiting[target] = left
        else:
            self._state.demand.waiting.pop(target, None)


def _late_refusal():
    return Refused(
        503,
        "time_limit",
        "no backend server was ready by the latest start",
        clamp_retry_after_ms(None),
    )


def _rounded(value_ms):
    """Return whole ms; None for an unknown or infinite time."""
    return None if value_ms is None or math.isinf(value_ms) else round(value_ms)
