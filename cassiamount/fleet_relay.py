"""Relays requests of callers to backend servers, and the responses back."""

import asyncio
import math
from itertools import islice

from .answers import CallerGone
from .backend_messages import Attempt
from .crash_detector import CrashDetector, EndedAttempt
from .crash_quarantine import MAX_LOGGED_PARTS
from .fleet import choose_target
from .fleet_orders import SOFTWARE_MARK
from .graceful_stop import AnswerTimes, stop_refusal
from .model_demand import LATENCY_SENSITIVE_OBJECTIVE_MS
from .relayed_request import (
    DEADLINE_GRACE_MS,
    AttemptFailure,
    BrokenStream,
    Refused,
    RelayedRequest,
)
from .replica_selection import (
    BUSY,
    PAUSED,
    PLACEMENT_DECISION_MS,
    NoReplicaReady,
    SelectedReplica,
    clamp_retry_after_ms,
)
from .requests import ADMITTED, COMPLETE, DISPATCHED, Refusal
from .response_forwarding import ResponseForwarder
from .software_versions import LIST_STALE

# A backend server that could not be connected to is avoided for this long.
UNREACHABLE_AVOID_MS = 700.0
# Requests for a model avoid a replica for this long after it said it lacks the model.
MISSING_MODEL_AVOID_MS = 400.0
# Backend servers that may be unreachable before a request is refused.
MAX_CONNECT_FAILURES = 4
# A request waits for this fraction of its route's objective while it is unknown when
# its model will be ready.
UNKNOWN_WAIT_FRACTION = 0.8
# A caller that got a Retry-After time is counted as waiting until this long after it.
EXPECTED_RETRY_GRACE_MS = 400.0
OVERLOADED_RETRY_AFTER_MS = 150.0
# Callers come back within this part of a pause after its end.
PAUSE_SPREAD = 0.25
STALE_KEYS_RETRY_AFTER_MS = 1_000.0
STARTING_RETRY_AFTER_MS = 500.0
# Once a VM reaches the store or its peers, it has a proven list after about this time.
STALE_LIST_RETRY_AFTER_MS = 500.0


class FleetRelay:
    """Admits requests, sends them to replicas and forwards the responses.

    Parameters
    ----------
    state : FleetState
    selector : ReplicaSelector
    pool : ConnectionPool
    codec : object
        Has `encode_request` and `response_headers` of the platform.
    prefixes : SentPrefixIndex
    metrics : Metrics
    log : object
        structlog logger.
    rng : random.Random
    timeouts : RequestTimeouts
    notify_waiting : callable
        Called when a request begins to wait for a model or adapter, or its caller was
        told to retry, so that the VM that holds the order lease learns of it.
    notify_peers : callable
        Called when other VMs should learn soon of a crashed engine, of an answer that
        clears a prompt part, or of a request limit.
    answer_budget : BodyBudget
        Limits what is held of all answers.
    """

    def __init__(
        self,
        state,
        selector,
        pool,
        codec,
        prefixes,
        metrics,
        log,
        rng,
        timeouts,
        notify_waiting,
        notify_peers,
        answer_budget,
    ):
        self._state = state
        self._selector = selector
        self._pool = pool
        self._codec = codec
        self._prefixes = prefixes
        self._metrics = metrics
        self._log = log
        self._rng = rng
        self._timeouts = timeouts
        self._notify_waiting = notify_waiting
        self._notify_peers = notify_peers
        self._crash_detector = CrashDetector(
            state.clock, self._probe, self._on_crash, self._on_survived
        )
        pool.on_last_idle_lost = self._on_idle_lost
        self._forwarder = ResponseForwarder(codec, state.clock, answer_budget)
        self._changed = asyncio.Event()
        # Route -> durations of its last whole answers.
        self._answer_times = {}
        # Schedule of the graceful stop, once it has begun.
        self.stop_schedule = None
        # Requests that the end of the grace period left without their whole answer.
        self.unfinished = 0
        state.listeners.append(self._on_change)

    def _on_change(self):
        self._changed.set()
        self._changed = asyncio.Event()

    def close(self):
        """Stop the checks of backend servers."""
        self._crash_detector.close()

    async def serve(self, inbound):
        """Handle one request from admission to the last byte of its response."""
        request = None
        status, code = 0, "ok"
        try:
            request = self._admit(inbound)
            status = await self._run_with_deadline(request)
        except Refused as refused:
            if request is not None and request.response_started:
                code = f"broken: {refused.code}"
                inbound.caller.abort()
                return
            if request is not None and request.may_have_run:
                refused = _refused_after_attempt(refused)
            status, code = refused.status, refused.code
            await self._refuse(inbound, request, refused)
        except BrokenStream as broken:
            code = f"broken: {broken}"
            inbound.caller.abort()
        except (asyncio.CancelledError, CallerGone):
            code = "caller-gone"
            if request is not None and not request.may_have_run:
                self._refund(request)
            raise
        finally:
            self._finish(inbound, request, status, code)

    # Admission.

    def _admit(self, inbound):
        metadata = inbound.metadata
        state = self._state
        configuration = state.configuration
        now_ms = state.now_ms()
        if configuration is None:
            raise Refused(
                503, "starting", "no configuration yet", STARTING_RETRY_AFTER_MS
            )
        route = configuration.routes.find(metadata.host, metadata.path)
        if route is None:
            raise Refused(404, "no_route", "no such route")
        team = self._authenticate(configuration, route, metadata, now_ms)
        service = choose_target(route, self._rng)
        rule = configuration.services.get(service)
        is_model_request = (
            rule is not None and rule.engine is not None and bool(metadata.model)
        )
        if is_model_request and metadata.model not in rule.engine.models:
            raise Refused(404, "unknown_model", "no such model")
        parts = inbound.parts("" if team is None else team.name)
        self._check_quarantine(parts, now_ms)
        request = RelayedRequest(
            inbound, route, service, is_model_request, team, parts, now_ms
        )
        request.configuration_version = configuration.version
        if route.streamed and metadata.last_event_id:
            request.software = self._origin_of(request, now_ms)
        state.retry_budget.record_request(service, now_ms)
        if is_model_request:
            latency_sensitive = route.objective_ms <= LATENCY_SENSITIVE_OBJECTIVE_MS
            state.demand.record_request(
                metadata.model, latency_sensitive, bool(metadata.adapter), now_ms
            )
        if team is not None:
            if team.rate_tokens_per_s > 0 and not state.knows_fleet:
                raise Refused(
                    503,
                    "starting",
                    "the other VMs, which share the limit, are not known yet",
                    STARTING_RETRY_AFTER_MS,
                )
            tokens = team.cost_tokens(metadata.tokens)
            wait_ms = state.quota.charge(team.name, tokens, now_ms)
            if wait_ms > 0:
                raise Refused(
                    429, "rate_exceeded", "rate and burst are used up", wait_ms
                )
            request.charged_tokens = tokens
        request.state.transition_to(ADMITTED)
        return request

    def _origin_of(self, request, now_ms):
        """Return the software version at which a stream began that is taken up."""
        state, resumes = self._state, request.metadata.resumes
        list_age_ms = state.list_age_ms(now_ms)
        software, reason = state.software.origin_of(
            resumes, request.service, now_ms, list_age_ms
        )
        if software is None:
            self._log.info(
                reason,
                request_id=request.metadata.request_id,
                resumes=resumes,
                service=request.service,
                list_age_ms=None if math.isinf(list_age_ms) else round(list_age_ms),
            )
            retry_after_ms = STARTING_RETRY_AFTER_MS if state.is_starting() else None
            if reason == LIST_STALE:
                retry_after_ms = STALE_LIST_RETRY_AFTER_MS
            raise Refused(
                503, reason, "it is not known where this stream began", retry_after_ms
            )
        return software

    def _check_quarantine(self, parts, now_ms):
        """Refuse a request on which backend servers crash."""
        blocked_for_ms = self._state.quarantine.blocked_for_ms(parts, now_ms)
        if blocked_for_ms > 0:
            raise Refused(
                503,
                "prompt_quarantined" if parts.has_prompt else "request_quarantined",
                "backend servers crash on this request or a part of its prompt",
                blocked_for_ms,
            )

    def _authenticate(self, configuration, route, metadata, now_ms):
        if route.open or not configuration.keyed:
            return None
        if not self._state.key_freshness.is_fresh(now_ms):
            raise Refused(
                503,
                "keys_not_fresh",
                "the keys' state is not known well enough",
                STALE_KEYS_RETRY_AFTER_MS,
            )
        team = configuration.team_of(metadata.key)
        if team is None:
            raise Refused(401, "unknown_key", "unknown key")
        return team

    # Attempts at backend servers.

    async def _run_with_deadline(self, request):
        deadline_ms = request.deadline_ms + DEADLINE_GRACE_MS
        try:
            async with self._timeouts.limit(deadline_ms):
                return await self._run(request)
        except TimeoutError:
            stopped = deadline_ms > self._state.now_ms() and self._timeouts.have_ended()
            self.unfinished += stopped
            if request.response_started:
                raise BrokenStream("stopped" if stopped else "time limit") from None
            if request.may_have_run and stopped:
                raise Refused(504, "stopped", "no answer before the stop") from None
            if request.may_have_run:
                raise Refused(504, "time_limit", "no answer in time") from None
            if stopped:
                raise _stopping() from None
            raise _not_begun() from None

    async def _run(self, request):
        while True:
            self._check_time(request)
            selected = await self._wait_for_replica(request)
            connection = await self._connect(request, selected.view)
            if connection is None:
                continue
            try:
                self._check_time(request)
                self._check_caller(request)
            except (Refused, CallerGone):
                self._pool.release(connection)
                raise
            request.reserved = None
            outcome = await self._attempt(request, selected, connection)
            if isinstance(outcome, int):
                return outcome
            self._check_caller(request)
            self._prepare_retry(request, outcome)

    def _check_caller(self, request):
        """End a request whose caller has left, also if that was not read yet."""
        if request.inbound.caller.has_left():
            raise CallerGone

    def _check_time(self, request):
        """Refuse what cannot be answered in its time, or before the end of a stop."""
        now_ms = self._state.now_ms()
        if now_ms >= request.deadline_ms and not request.may_have_run:
            raise _not_begun()
        if not self._may_begin(request, now_ms):
            raise _stopping()

    def _may_begin(self, request, now_ms):
        """Return whether a request may be sent; a begun stream may always go on."""
        schedule = self.stop_schedule
        if schedule is None or request.response_started:
            return True
        return schedule.may_begin(
            now_ms,
            request.deadline_ms + DEADLINE_GRACE_MS,
            self._answer_times_of(request),
            request.route.streamed,
            request.route.retryable,
        )

    def _answer_times_of(self, request):
        return self._answer_times.setdefault(request.route.name, AnswerTimes())

    async def _wait_for_replica(self, request):
        wait_started_ms = None
        unknown_since_ms = None
        try:
            while True:
                now_ms = self._state.now_ms()
                self._check_quarantine(request.parts, now_ms)
                found = self._select_replica(request, now_ms)
                if isinstance(found, SelectedReplica):
                    self._reserve(request, found.view, now_ms)
                    if (
                        now_ms + found.wait_ms
                        > max(request.start_deadline_ms, now_ms + 1)
                        and found.wait_ms > request.route.objective_ms
                    ):
                        raise Refused(
                            503, "full", "all replicas are full", found.wait_ms
                        )
                    return found
                if wait_started_ms is None:
                    wait_started_ms = now_ms
                if found.wait_ms is not None:
                    unknown_since_ms = None
                elif unknown_since_ms is None:
                    unknown_since_ms = now_ms
                try:
                    self._check_wait(request, found, unknown_since_ms, now_ms)
                    if found.limited is not None:
                        self._reserve(request, found.limited, now_ms)
                except Refused as refused:
                    self._count_expected_retry(request, refused)
                    raise
                await self._wait_for_change(request, found)
        finally:
            self._stop_waiting(request)
            if wait_started_ms is not None:
                waited_ms = self._state.now_ms() - wait_started_ms
                self._metrics.observe_ms("wait_ms", waited_ms, cause="replica")

    def _reserve(self, request, view, now_ms):
        """Reserve this VM's next request to a backend server that names a limit."""
        start = view.record.start
        if not self._state.limits.is_limited(start):
            return
        if request.reserved is None or request.reserved[0] != start:
            request.reserved = (start, self._state.limits.reserve(start, now_ms))

    def _select_replica(self, request, now_ms):
        exclude = set(request.unreachable_backends)
        if len(request.tried) < request.route.attempts:
            exclude.update(request.tried)
        unsettled = self._unsettled(request, now_ms)
        exclude.update(view.record.name for view in unsettled)
        if request.is_model_request:
            found = self._selector.select_for_model(
                request.service,
                request.metadata,
                now_ms,
                exclude,
                request.reserved,
                request.software,
                request.priority,
            )
        else:
            found = self._selector.select_for_service(
                request.service,
                now_ms,
                exclude,
                request.reserved,
                request.software,
                request.priority,
            )
        if isinstance(found, NoReplicaReady) and found.reason == BUSY:
            self._metrics.count("selections_busy_total", priority=request.priority)
        if (
            isinstance(found, NoReplicaReady)
            and found.reason == "no-backend"
            and self._is_mixed(request)
        ):
            raise Refused(
                503,
                "version_gone",
                "no replica of the version that began this stream can go on with it",
            )
        if isinstance(found, NoReplicaReady) and found.wait_ms is None:
            self._check_unsettled(request, found, unsettled)
        return found

    def _unsettled(self, request, now_ms):
        """Return view -> time in ms for replicas where a stream may not begin yet."""
        route = request.route
        if request.software is not None or not (route.streamed and route.retryable):
            return {}
        waits_ms = self._state.software.unsettled(request.service, now_ms)
        if not waits_ms:
            return {}
        return {
            view: waits_ms[view.record.software]
            for view in self._state.view.of_service(request.service)
            if view.record.software in waits_ms
        }

    def _check_unsettled(self, request, found, unsettled):
        """Refuse a request that only replicas of a new version could take."""
        waits_ms = [
            wait_ms
            for view, wait_ms in unsettled.items()
            if not request.is_model_request or request.metadata.model in view.ready
        ]
        if waits_ms or (unsettled and found.reason == "no-backend"):
            raise Refused(
                503,
                "version_new",
                "not all VMs know the replicas' software version yet",
                clamp_retry_after_ms(min(waits_ms or unsettled.values())),
            )

    def _check_wait(self, request, found, unknown_since_ms, now_ms):
        """Refuse a request that will not be ready in time or that has waited too long.

        Parameters
        ----------
        request : RelayedRequest
        found : NoReplicaReady
        unknown_since_ms : float or None
            Since when the wait cannot be estimated.
        now_ms : float
        """
        if self._state.stopping:
            raise _stopping()
        if found.reason == "no-backend":
            raise Refused(
                503, "no_backend", "no backend server", clamp_retry_after_ms(None)
            )
        if found.reason == PAUSED:
            # Callers that were refused together should not come back together.
            spread = 1 + PAUSE_SPREAD * self._rng.random()
            raise Refused(
                503,
                "backend_paused",
                "backend servers want no requests now",
                found.wait_ms * spread,
            )
        if found.limited is not None:
            if now_ms + found.wait_ms > request.start_deadline_ms:
                raise Refused(
                    503,
                    "backend_limited",
                    "backend servers take no more requests now",
                    clamp_retry_after_ms(found.retry_after_ms),
                )
        elif found.wait_ms is None:
            # An engine or an adapter slot may become free soon.
            limit_ms = max(
                PLACEMENT_DECISION_MS,
                UNKNOWN_WAIT_FRACTION * request.route.objective_ms,
            )
            if now_ms - unknown_since_ms > limit_ms:
                raise Refused(
                    503,
                    f"{found.reason}_missing",
                    "no replica holds what was asked for",
                    clamp_retry_after_ms(request.route.objective_ms),
                )
        elif found.reason == BUSY:
            if now_ms + found.wait_ms > request.start_deadline_ms:
                raise Refused(
                    503,
                    "full",
                    "all replicas are full",
                    clamp_retry_after_ms(found.wait_ms),
                )
        elif now_ms + found.wait_ms > request.start_deadline_ms:
            raise Refused(
                503,
                f"{found.reason}_loading",
                "what was asked for is not loaded yet",
                clamp_retry_after_ms(found.wait_ms),
            )

    def _count_expected_retry(self, request, refused):
        """Count a refused caller as waiting until it is expected to retry."""
        if (
            self._state.stopping
            or not request.is_model_request
            or refused.retry_after_ms is None
        ):
            return
        waiting = self._state.demand.waiting
        target = self._waiting_target(request)
        waiting[target] = waiting.get(target, 0) + 1
        asyncio.get_running_loop().call_later(
            (refused.retry_after_ms + EXPECTED_RETRY_GRACE_MS) / 1000,
            self._decrement_waiting,
            target,
        )
        self._notify_waiting()

    def _waiting_target(self, request):
        """Return what a request waits for, with its software version if that matters.

        A model that is loaded at another version is not missing to the placement.
        """
        if not request.is_model_request or not self._is_mixed(request):
            return request.target
        return f"{request.metadata.model}{SOFTWARE_MARK}{request.software}"

    def _is_mixed(self, request):
        """Return whether some replicas may not go on with a begun stream."""
        return request.software is not None and any(
            view.record.software != request.software
            for view in self._state.view.of_service(request.service)
        )

    async def _wait_for_change(self, request, found):
        target = self._waiting_target(request)
        if target not in request.waiting_targets:
            request.waiting_targets[target] = True
            self._log.info(
                "request_waits",
                request_id=request.metadata.request_id,
                target=target,
                reason=found.reason,
                expected_ms=None if found.wait_ms is None else round(found.wait_ms),
                patience_ms=round(request.start_deadline_ms - self._state.now_ms()),
                placement_age_ms=self._state.placement_age_ms(),
            )
            waiting = self._state.demand.waiting
            waiting[target] = waiting.get(target, 0) + 1
            self._notify_waiting()
        timeout_ms = PLACEMENT_DECISION_MS if found.wait_ms is None else 400.0
        if found.limited is not None:
            timeout_ms = min(timeout_ms, found.wait_ms)
        changed = self._changed
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                await changed.wait()
        except TimeoutError:
            return

    def _stop_waiting(self, request):
        for target in request.waiting_targets:
            self._decrement_waiting(target)
        request.waiting_targets.clear()

    def _decrement_waiting(self, target):
        left = self._state.demand.waiting.get(target, 1) - 1
        if left > 0:
            self._state.demand.waiting[target] = left
        else:
            self._state.demand.waiting.pop(target, None)

    async def _connect(self, request, view):
        connection = self._pool.acquire_idle(
            view.record.address, request.metadata.request_id
        )
        if connection is None:
            try:
                connection = await self._pool.open(view.record.address)
            except OSError as error:
                now_ms = self._state.now_ms()
                view.avoided_until_ms = now_ms + UNREACHABLE_AVOID_MS
                request.unreachable_backends.add(view.record.name)
                self._log.info(
                    "backend_unreachable",
                    request_id=request.metadata.request_id,
                    backend=view.record.name,
                    error=type(error).__name__,
                )
                if len(request.unreachable_backends) >= MAX_CONNECT_FAILURES:
                    raise Refused(
                        503,
                        "no_backend",
                        "no backend server",
                        clamp_retry_after_ms(None),
                    ) from error
                return None
        known = self._state.view.backends.get(view.record.name)
        if (
            known is not view
            or view.leaving
            or not self._state.notices.may_send(view.record.start, self._state.now_ms())
        ):
            # The backend server wants no more requests since the choice.
            self._pool.release(connection)
            return None
        try:
            self._recheck_key(request)
            self._check_quarantine(request.parts, self._state.now_ms())
        except Refused:
            self._pool.release(connection)
            raise
        return connection

    def _recheck_key(self, request):
        """Refuse a request if its key was withdrawn while it waited."""
        configuration = self._state.configuration
        if (
            request.team is None
            or configuration.version == request.configuration_version
        ):
            return
        request.configuration_version = configuration.version
        team = configuration.team_of(request.metadata.key)
        if team is None or team.name != request.team.name:
            raise Refused(401, "unknown_key", "unknown key")

    async def _attempt(self, request, selected, connection):
        """Send the request to a replica and forward the response.

        Returns
        -------
        int or AttemptFailure
            The HTTP status sent to the caller, or why the attempt failed.
        """
        view = selected.view
        state = self._state
        name = view.record.name
        sent_ms = state.now_ms()
        if name not in request.tried:
            request.tried.append(name)
        attempt = Attempt(
            name,
            view.record.address,
            request.deadline_ms - sent_ms,
            request.priority,
            "" if request.team is None else request.team.name,
            request.last_event_id,
        )
        inbound = request.inbound
        try:
            data = self._codec.encode_request(
                request.metadata.method,
                inbound.request_target,
                inbound.headers,
                inbound.body,
                attempt,
            )
        except Exception:
            connection.abort()
            raise
        state.view.record_sent(name, request.target)
        self._record_load_sent(request, selected, sent_ms)
        if request.is_model_request:
            self._prefixes.record_sent(name, request.metadata)
        if request.state.state != DISPATCHED:
            request.state.transition_to(DISPATCHED)
        request.sends += 1
        self._log.info(
            "request_sent",
            request_id=request.metadata.request_id,
            backend=name,
            send=request.sends,
            expected_ms=round(selected.wait_ms),
            load=view.load,
            unread_ms=round(inbound.unread_ms),
            held_ms=round(sent_ms - inbound.arrived_ms),
            left_ms=round(attempt.time_left_ms),
            last_event=request.last_event_id,
            software=view.record.software,
            placement_age_ms=self._state.placement_age_ms(),
            **_estimate_fields(selected.estimate),
        )
        outcome = None
        request.head_ms = request.first_event_ms = None
        try:
            connection.send(data, request.metadata.request_id)
            outcome = await self._forwarder.forward(
                request,
                connection,
                lambda metadata: self._on_head(request, view, metadata),
                lambda: self._on_stream(request, view.record),
            )
            if isinstance(outcome, AttemptFailure) and not outcome.not_run:
                self._log_broken_attempt(request, name, outcome.reason)
            return outcome
        except BrokenStream as broken:
            self._log_broken_attempt(request, name, str(broken))
            raise
        finally:
            state.view.record_ended(view, request.target)
            now_ms = state.now_ms()
            is_complete = isinstance(outcome, int) and outcome < 300
            state.loads.record_ended(view.record.start, request, now_ms, is_complete)
            if state.demand.waiting and state.loads.is_enabled(request.service):
                # There may be room again for a request that waits here.
                state.notify()
            self._watch_server(request, view.record, outcome, connection, sent_ms)
            if isinstance(outcome, int):
                self._pool.release(connection)
                if outcome < 500:
                    self._answer_times_of(request).record(now_ms - sent_ms, now_ms)
                    view.record_times(
                        (request.first_event_ms or now_ms) - sent_ms, now_ms - sent_ms
                    )
            elif outcome is not None and outcome.connection_reusable:
                self._pool.release(connection)
            else:
                connection.abort()
            self._record_outcome(request, view, outcome, now_ms)

    def _on_head(self, request, view, metadata):
        """Record what the head of a response says about its backend server."""
        request.head_ms = self._state.now_ms()
        self._record_told(request, view.record, metadata)
        self._record_notices(view.record, metadata)
        # Only an answer that ran shows that a limit has ended.
        if metadata.limit_per_s is None and not 200 <= metadata.status < 300:
            return
        if self._state.limits.record_answer(
            view.record.start, metadata.limit_per_s, self._state.now_ms()
        ):
            self._state.notify()
            self._notify_peers()

    def _record_load_sent(self, request, selected, sent_ms):
        """Count what a request adds to the load of its server."""
        record, metadata = selected.view.record, request.metadata
        prefill_tokens = 0
        if request.is_model_request:
            cached = self._prefixes.cached_tokens(record.name, metadata)
            prefill_tokens = max(0, (metadata.prompt_tokens or 0) - cached)
        self._state.loads.record_sent(
            record.start,
            request,
            prefill_tokens,
            metadata.tokens or 0,
            sent_ms,
            request.priority,
            request.service,
            selected.estimate,
            request.route.streamed,
        )

    def _record_told(self, request, record, metadata):
        """Record the load that a server tells with the head of a response."""
        loads, now_ms = self._state.loads, self._state.now_ms()
        if loads.record_told(
            record.start,
            metadata.running,
            metadata.waiting,
            metadata.slots,
            metadata.pace_percent,
            now_ms,
            request.service,
        ):
            self._log.info(
                "service_tells_pace", service=request.service, backend=record.name
            )
            self._notify_peers()
        if request.response_started:
            # No first event tells that a stream goes on which has begun elsewhere.
            loads.record_begun(record.start, request, now_ms)

    def _record_begun(self, request, record):
        """Record a first event, and the error of the estimate by which it was sent."""
        begun = self._state.loads.record_begun(
            record.start, request, self._state.now_ms()
        )
        if begun is not None:
            estimate, took_ms = begun
            error_ms = took_ms - estimate.first_event_ms
            self._metrics.observe_ms(
                "start_estimate_error_ms",
                abs(error_ms),
                side="late" if error_ms > 0 else "early",
            )

    def _record_notices(self, record, metadata):
        notices, now_ms = self._state.notices, self._state.now_ms()
        if metadata.leaving and notices.record_leaving(record.start):
            self._metrics.count("backends_leaving_total")
            self._log.info(
                "backend_leaves", backend=record.name, status=metadata.status
            )
            self._state.on_notice()
            self._notify_peers()
        pause_ms = metadata.retry_after_ms
        if pause_ms is not None and notices.record_pause(
            record.start, pause_ms, now_ms
        ):
            self._metrics.count("backend_pauses_total")
            self._log.info(
                "backend_paused", backend=record.name, pause_ms=round(pause_ms)
            )
            self._state.notify()

    def _on_stream(self, request, record):
        """Record where a stream begins, before its caller gets anything of it."""
        self._record_begun(request, record)
        if request.software is None:
            request.software = record.software
            if request.route.retryable:
                self._state.software.record_stream(
                    request.metadata.request_id, record.software, self._state.now_ms()
                )

    def _watch_server(self, request, record, outcome, connection, sent_ms):
        """Watch whether a server crashes by an attempt that has ended there."""
        if isinstance(outcome, AttemptFailure) and outcome.not_run:
            return
        is_empty = request.route.streamed and request.first_event_ms is None
        is_answer = isinstance(outcome, int) and outcome < 300 and not is_empty
        now_ms = self._state.now_ms()
        self._crash_detector.watch(
            record,
            EndedAttempt(request.parts, sent_ms, request.head_ms, is_answer, now_ms),
        )
        # Without an outcome the caller left, unless the connection was lost.
        if connection.was_lost or (outcome is not None and not connection.usable):
            self._crash_detector.on_connection_closed(record)

    def _on_idle_lost(self, address):
        for view in list(self._state.view.backends.values()):
            if view.record.address == address:
                self._crash_detector.on_connection_closed(view.record)

    async def _probe(self, address):
        self._pool.release(await self._pool.open(address))

    def _on_survived(self, attempt):
        if self._state.quarantine.record_answer(attempt.parts, attempt.ended_ms):
            self._notify_peers()

    def _on_crash(self, record, requests, lost_ms):
        now_ms = self._state.now_ms()
        view = self._state.view.backends.get(record.name)
        if view is not None and view.record.start == record.start:
            view.avoided_until_ms = now_ms + UNREACHABLE_AVOID_MS
        if self._state.quarantine.record_crash(*record.start, requests, lost_ms):
            self._state.notify()
            self._notify_peers()

    def _log_broken_attempt(self, request, backend, reason):
        self._log.info(
            "attempt_broken",
            request_id=request.metadata.request_id,
            backend=backend,
            reason=reason,
            had_events=request.first_event_ms is not None,
            prompt_parts=list(islice(request.parts, MAX_LOGGED_PARTS)),
        )

    def _record_outcome(self, request, view, outcome, now_ms):
        if outcome is None:
            if not request.response_started:
                request.may_have_run = True
            return
        if isinstance(outcome, AttemptFailure):
            if outcome.not_run:
                if outcome.status == 421 and request.is_model_request:
                    view.missing_until_ms[request.target] = (
                        now_ms + MISSING_MODEL_AVOID_MS
                    )
                return
            failed = True
        else:
            failed = outcome >= 500
        if self._state.view.record_outcome(view, failed, now_ms):
            self._log.info(
                "backend_avoided",
                backend=view.record.name,
                failure_share=round(view.failure_share(now_ms), 2),
            )

    # Retries.

    def _prepare_retry(self, request, failure):
        """Return if the request may be sent again; otherwise raise the final error.

        The error says "not run" only if no backend server can have run the request.
        """
        now_ms = self._state.now_ms()
        if failure.not_run and not request.may_have_run:
            request.state.mark_not_accepted()
        elif not request.response_started:
            request.state.transition_to(ADMITTED)
        allowed = (
            failure.not_run and not request.may_have_run
        ) or request.route.retryable
        if allowed and request.may_retry(now_ms) and self._may_begin(request, now_ms):
            if self._state.try_retry(request.service):
                self._log.info(
                    "request_repeated",
                    request_id=request.metadata.request_id,
                    tried=request.tried,
                    reason=failure.reason,
                    last_event=request.last_event_id,
                )
                return
        if request.response_started:
            raise BrokenStream(failure.reason)
        if request.may_have_run:
            raise Refused(502, "backend_failed", f"no valid answer: {failure.reason}")
        raise Refused(
            503, "not_accepted", "the replica is full", OVERLOADED_RETRY_AFTER_MS
        )

    # Completion.

    async def _refuse(self, inbound, request, refused):
        not_run = refused.status not in (502, 504)
        delay_ms = refused.retry_after_ms
        refusal = Refusal(
            refused.status,
            refused.code,
            refused.message,
            not_run,
            None if delay_ms is None else round(delay_ms / 1000, 3),
        )
        if request is not None:
            request.state.check_refusal(refusal)
            if not_run:
                self._refund(request)
        await inbound.caller.refuse(refusal)

    def _refund(self, request):
        """Return the tokens of a request that did not run."""
        if request.team is not None:
            self._state.quota.refund(
                request.team.name, request.charged_tokens, self._state.now_ms()
            )

    def _finish(self, inbound, request, status, code):
        took_ms = self._state.now_ms() - inbound.arrived_ms
        if request is not None and request.state.state != COMPLETE:
            request.state.transition_to(COMPLETE)
        self._metrics.request_ended(status, code.partition(":")[0], took_ms)
        configuration = self._state.configuration
        self._log.info(
            "request_ended",
            request_id=inbound.metadata.request_id,
            status=status,
            code=code,
            route=None if request is None else request.route.name,
            target=None if request is None else request.target,
            tried=[] if request is None else request.tried,
            sends=0 if request is None else request.sends,
            resumes=inbound.metadata.resumes or None,
            software=None if request is None else request.software,
            version=0 if configuration is None else configuration.version,
            took_ms=round(took_ms, 1),
        )


def _estimate_fields(estimate):
    """Return the log fields of the `StartEstimate` that decided, which may be None."""
    if estimate is None:
        return {}
    return {
        "running": round(estimate.running),
        "waiting": round(estimate.waiting),
        "prefill_tokens": round(estimate.prefill_tokens),
        "pace": round(estimate.pace, 2),
        "load_age_ms": round(estimate.age_ms),
    }


def _not_begun():
    return Refused(503, "time_limit", "not begun in time", OVERLOADED_RETRY_AFTER_MS)


def _stopping():
    refusal = stop_refusal()
    return Refused(
        refusal.status, refusal.code, refusal.message, 1000 * refusal.retry_after_s
    )


def _refused_after_attempt(refused):
    """Return the error for a request that may have run and can't be sent again."""
    if refused.status in (502, 504):
        return refused
    return Refused(502, "backend_failed", f"not repeated: {refused.message}")
