"""Relays requests of callers to backend servers, and the responses back."""

import asyncio
import math
from itertools import islice

from .answers import CallerGone
from .backend_messages import Attempt
from .crash_detector import CrashDetector, EndedAttempt
from .crash_quarantine import MAX_LOGGED_PARTS
from .fleet import choose_target
from .graceful_stop import AnswerTimes
from .model_demand import LATENCY_SENSITIVE_OBJECTIVE_MS
from .relayed_request import (
    DEADLINE_GRACE_MS,
    AttemptFailure,
    BrokenStream,
    Refused,
    RelayedRequest,
)
from .replica_selection import clamp_retry_after_ms
from .replica_waiting import ReplicaWaiting
from .requests import ADMITTED, COMPLETE, DISPATCHED, Refusal
from .response_forwarding import ResponseForwarder
from .software_versions import LIST_STALE
from .waiting_refusals import stopping_refusal

# A backend server that could not be connected to is avoided for this long.
UNREACHABLE_AVOID_MS = 700.0
# Requests for a model avoid a replica for this long after it said it lacks the model.
MISSING_MODEL_AVOID_MS = 400.0
# Backend servers that may be unreachable before a request is refused.
MAX_CONNECT_FAILURES = 4
OVERLOADED_RETRY_AFTER_MS = 150.0
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
        self._pool = pool
        self._codec = codec
        self._prefixes = prefixes
        self._metrics = metrics
        self._log = log
        self._rng = rng
        self._timeouts = timeouts
        self._notify_peers = notify_peers
        self._crash_detector = CrashDetector(
            state.clock, self._probe, self._on_crash, self._on_survived
        )
        pool.on_last_idle_lost = self._on_idle_lost
        self._forwarder = ResponseForwarder(codec, state.clock, answer_budget)
        self._waiting = ReplicaWaiting(
            state, selector, metrics, log, rng, notify_waiting, self._check_allowed
        )
        # Route -> durations of its last whole answers.
        self._answer_times = {}
        # Schedule of the graceful stop, once it has begun.
        self.stop_schedule = None
        # Requests that the end of the grace period left without their whole answer.
        self.unfinished = 0

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
                raise stopping_refusal() from None
            raise _not_begun() from None

    async def _run(self, request):
        while True:
            self._check_time(request)
            selected = await self._waiting.wait(request)
            try:
                connection = await self._connect(request, selected)
            finally:
                self._waiting.release(request, selected.view)
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
            raise stopping_refusal()

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

    async def _connect(self, request, selected):
        view = selected.view
        connection = self._pool.acquire_idle(
            view.record.address, request.metadata.request_id
        )
        if connection is None:
            try:
                connection = await self._pool.open(view.record.address)
            except OSError as error:
                now_ms = self._state.now_ms()
                view.avoided_until_ms = now_ms + UNREACHABLE_AVOID_MS
                if isinstance(error, ConnectionRefusedError):
                    # No process listens: it will start anew, and be cold.
                    self._state.limits.cold.record_lost(view.record.start, now_ms)
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
            self._check_allowed(request, self._state.now_ms())
        except Refused:
            self._pool.release(connection)
            raise
        reason = self._why_not_now(selected)
        if reason is not None:
            self._pool.release(connection)
            request.reserved = None
            self._metrics.count("requests_held_back_total", reason=reason)
            self._log.info(
                "request_held_back",
                request_id=request.metadata.request_id,
                backend=view.record.name,
                zone=view.record.zone,
                reason=reason,
            )
            return None
        return connection

    def _why_not_now(self, selected):
        """Return why a selected replica may not get its request now, or None.

        While the connection was opened its zone may have been ordered to be evacuated,
        or it may have become cold.
        """
        state, record = self._state, selected.view.record
        now_ms = state.now_ms()
        if not state.evacuations.accepts(record.zone, now_ms, selected.is_only_copy):
            return "evacuated"
        return None if state.limits.take_turn(record.start, now_ms) else "cold"

    def _check_allowed(self, request, now_ms):
        """Refuse a request that must no longer be sent, though it was admitted."""
        self._recheck_key(request)
        self._check_quarantine(request.parts, now_ms)

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
            # The connection holds what the backend server has not read yet.
            del data
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
            self._waiting.on_room()

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
        if not self._state.settings.selects_by_load:
            return
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
        if metadata.cold_ms and self._state.limits.record_cold(
            record.start, metadata.cold_ms, now_ms
        ):
            self._state.notify()
            self._notify_peers()
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
        self._state.limits.cold.record_lost(record.start, now_ms)
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


def _refused_after_attempt(refused):
    """Return the error for a request that may have run and can't be sent again."""
    if refused.status in (502, 504):
        return refused
    return Refused(502, "backend_failed", f"not repeated: {refused.message}")
