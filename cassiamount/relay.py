"""Relays requests to backend servers and their responses to the callers."""

import asyncio

from .answers import Answer, CallerGone, error_body
from .backend_client import AttemptBroken, NotAccepted
from .body_budget import BodyBudget, HeldAnswer
from .caller import has_not_left
from .crash_detector import EndedAttempt
from .invariants import TRUTHFUL_REFUSAL, require
from .memory_plan import FREE_BYTES
from .request_quarantine import RequestQuarantine
from .requests import (
    ADMITTED,
    BROKEN,
    CANCELLED,
    COMPLETE,
    DISPATCHED,
    DONE,
    FIRST_BYTE,
    NOT_ACCEPTED,
    AttemptEnded,
    Dispatch,
    Refusal,
)
from .retries import RetryBudget, backoff_ms

MAX_ATTEMPTS = 3
# What is held of all answers until their callers have taken it.
MAX_ANSWER_BYTES = 64 << 20
# Timeout for the response head of an attempt that continues a response which the caller
# is already reading.
RESUME_HEAD_TIMEOUT_S = 10.0
# Shortest timeout for the response head of an attempt, even close to the deadline.
MIN_HEAD_TIMEOUT_S = 0.05
RETRY_AFTER_S = 1.0


class FailedAttempt:
    """An attempt that yielded no complete response.

    Parameters
    ----------
    error : NotAccepted or AttemptBroken
    will_retry : bool
        Whether another attempt follows.
    """

    __slots__ = ("error", "will_retry")

    def __init__(self, error, will_retry):
        self.error = error
        self.will_retry = will_retry


class Attempt:
    """One attempt at a job, from the dispatcher's decision to its end."""

    __slots__ = (
        "dispatch",
        "request_id",
        "started_ms",
        "first_byte_ms",
        "response",
        "answer",
        "span",
        "has_left",
        "sent",
    )

    def __init__(self, dispatch, request_id, started_ms, answer):
        self.dispatch = dispatch
        self.request_id = request_id
        self.started_ms = started_ms
        self.first_byte_ms = None
        self.response = None
        self.answer = answer
        self.span = None
        # Tells whether the caller has left, unless the job outlives it.
        self.has_left = has_not_left
        self.sent = False

    def begin_send(self):
        """Note that a request is about to be written to its connection.

        Raises
        ------
        CallerGone
        """
        self.check_caller()
        self.sent = True

    def check_caller(self):
        """Raise CallerGone if the caller has left, also if that was not read yet."""
        if self.has_left():
            raise CallerGone("the caller left before the attempt")


class Relay:
    """Runs jobs and holds the objects that all of them share.

    Parameters
    ----------
    dispatcher : object
        Has the coroutines ``submit``, ``retry`` and ``ended``. A cancelled ``submit``
        or ``retry`` revokes its Dispatch, and ``ended`` only sends a message.
    backends : BackendClient
    clock, metrics : object
    rng : random.Random
    retry_budget : RetryBudget, optional
    answer_bytes : int
        Most bytes of all answers that are held.
    """

    def __init__(
        self,
        dispatcher,
        backends,
        clock,
        metrics,
        rng,
        retry_budget=None,
        answer_bytes=MAX_ANSWER_BYTES,
    ):
        self.dispatcher = dispatcher
        self.backends = backends
        self.clock = clock
        self.metrics = metrics
        self.rng = rng
        self.retry_budget = retry_budget or RetryBudget()
        self._answers = BodyBudget(answer_bytes, FREE_BYTES)
        self._quarantine = RequestQuarantine(
            clock, lambda address: backends.probe(address)
        )
        self._background = set()

    async def run(self, job, caller):
        """Run a job to its end.

        Parameters
        ----------
        job : ModelJob or ServiceJob
        caller : Caller

        Returns
        -------
        Answer
        """
        self.retry_budget.record_request()
        parts = job.parts()
        decision = self._quarantine.refusal(parts) or await self._await_decision(
            job, self.dispatcher.submit(job.request_info)
        )
        if isinstance(decision, Dispatch):
            job.state.transition_to(ADMITTED)
            refusal = job.recheck_key(job.request_info)
            if refusal is None:
                refusal = self._quarantine.refusal(parts)
            if refusal is not None:
                # The key was withdrawn while the request was queued, or servers crashed
                # on such requests meanwhile; nothing was sent.
                await self._end_attempt(
                    job, self._begin_attempt(job, decision), CANCELLED, final=True
                )
                decision = refusal
        number = 0
        while isinstance(decision, Dispatch):
            number += 1
            dispatch = decision
            result = await self._attempt(job, parts, caller, dispatch, number)
            if isinstance(result, Answer):
                return result
            if not result.will_retry:
                decision = self._final_refusal(job, result.error)
                break
            decision = await self._await_decision(
                job,
                self.dispatcher.retry(job.request_info, number + 1, dispatch.backend),
            )
            if isinstance(decision, Refusal):
                # Only the relay knows whether an attempt may have run.
                decision = self._final_refusal(job, result.error)
        return await self._refuse(job, caller, decision)

    async def wait_background(self):
        """Wait for background tasks, such as cancellations that are being sent."""
        self._quarantine.close()
        while self._background:
            await asyncio.wait(set(self._background))

    async def _await_decision(self, job, decision):
        """Wait for the dispatcher's decision, traced as time in the queue.

        If this wait is cancelled, the coroutine of the dispatcher revokes its Dispatch,
        so no Dispatch gets lost.
        """
        span = job.trace.begin("queue")
        try:
            return await decision
        finally:
            job.trace.end(span)

    async def _attempt(self, job, parts, caller, dispatch, number):
        """Run one attempt; return the Answer or the FailedAttempt."""
        attempt = self._begin_attempt(job, dispatch)
        if not job.outlives_caller:
            attempt.has_left = caller.has_left
        outcome, will_retry, is_answer = CANCELLED, False, False
        try:
            job.state.transition_to(DISPATCHED)
            answer = await job.run(self, attempt, caller)
            outcome, is_answer = DONE, answer.status < 300
            job.state.transition_to(COMPLETE)
            return answer
        except NotAccepted as error:
            outcome = NOT_ACCEPTED
            will_retry = await self._should_retry(job, parts, outcome, number)
            return FailedAttempt(error, will_retry)
        except AttemptBroken as error:
            outcome = BROKEN
            self._watch_server(parts, attempt, False, is_broken=True)
            self._abandon(job, attempt)
            will_retry = await self._should_retry(job, parts, outcome, number)
            return FailedAttempt(error, will_retry)
        finally:
            # Also runs if the caller disconnects and this task is cancelled.
            if outcome == CANCELLED and attempt.sent:
                job.maybe_ran = True
                self._abandon(job, attempt)
            if outcome in (DONE, CANCELLED) and attempt.sent:
                self._watch_server(parts, attempt, is_answer)
            await self._end_attempt(job, attempt, outcome, final=not will_retry)

    def _abandon(self, job, attempt):
        """Close the attempt's connection and cancel the request on the engine."""
        if attempt.response is not None:
            attempt.response.close()
            attempt.response = None
        if job.engine:
            address = attempt.dispatch.address
            self.spawn_background(self.backends.cancel(address, attempt.request_id))

    def _watch_server(self, parts, attempt, is_answer, is_broken=False):
        """Watch whether a server crashes by an attempt that has ended there."""
        now_ms = self.clock.monotonic_ms()
        ended = EndedAttempt(
            parts, attempt.started_ms, attempt.first_byte_ms, is_answer, now_ms
        )
        dispatch = attempt.dispatch
        self._quarantine.watch(dispatch.backend, dispatch.address, ended, is_broken)

    async def _should_retry(self, job, parts, outcome, number):
        """Return whether to retry after a failed attempt, having waited the backoff.

        The backoff comes before the end of the attempt is reported, so that the
        dispatcher learns of the end and of the next attempt together.
        """
        state = job.state
        if outcome == NOT_ACCEPTED:
            allowed = job.retry_if_not_accepted
            if job.maybe_ran:
                # An earlier attempt may have run, so `maybe_accepted` stays set.
                state.transition_to(ADMITTED)
            else:
                state.mark_not_accepted()
        else:
            job.maybe_ran = True
            allowed = state.idempotent and job.resumable()
            if state.state == DISPATCHED:
                state.transition_to(ADMITTED)
        pause_ms = backoff_ms(number, self.rng)
        ready_ms = self.clock.monotonic_ms() + pause_ms
        late = not job.response_started and ready_ms >= job.request_info.deadline_ms
        if (
            not allowed
            or late
            or number >= MAX_ATTEMPTS
            or not self.retry_budget.try_acquire()
        ):
            return False
        self.metrics.count("retries_total")
        await asyncio.sleep(pause_ms / 1000)
        return self._quarantine.refusal(parts) is None

    def _final_refusal(self, job, failure):
        if not job.maybe_ran:
            return Refusal(
                503,
                "not_run",
                "no backend server accepted the request",
                retry_after_s=RETRY_AFTER_S,
            )
        late = isinstance(failure.__cause__, TimeoutError)
        return Refusal(
            504 if late else 502,
            "outcome_unknown",
            f"the backend server's response was lost; {job.retry_advice}",
            not_run=False,
            retry_after_s=RETRY_AFTER_S,
        )

    async def _refuse(self, job, caller, refusal):
        job.state.check_refusal(refusal)
        require(
            not (refusal.not_run and job.maybe_ran),
            TRUTHFUL_REFUSAL,
            request_id=job.request_info.request_id,
            code=refusal.code,
        )
        job.state.transition_to(COMPLETE)
        await caller.refuse(refusal)
        return Answer(refusal.status, "application/json", error_body(refusal), refusal)

    def _begin_attempt(self, job, dispatch):
        attempt = Attempt(
            dispatch,
            job.attempt_id(dispatch),
            self.clock.monotonic_ms(),
            HeldAnswer(self._answers),
        )
        attempt.span = job.trace.begin("backend", backend=dispatch.backend)
        return attempt

    async def _end_attempt(self, job, attempt, outcome, final):
        """Report an attempt's end to the dispatcher, exactly once for each Dispatch."""
        attempt.answer.release()
        now_ms = self.clock.monotonic_ms()
        first_byte_ms = (
            attempt.first_byte_ms if attempt.first_byte_ms is not None else now_ms
        )
        job.trace.end(attempt.span, outcome=outcome)
        self.metrics.count("attempts_total", outcome=outcome)
        ended = AttemptEnded(
            job.request_info.request_id,
            attempt.dispatch.backend,
            outcome,
            used_tokens=job.used_tokens() if job.maybe_ran or outcome == DONE else 0,
            first_token_ms=first_byte_ms - attempt.started_ms,
            duration_ms=now_ms - attempt.started_ms,
            final=final,
        )
        await self.dispatcher.ended(ended)

    def spawn_background(self, coroutine):
        """Run a coroutine to its end, even if the request is cancelled."""
        task = asyncio.ensure_future(coroutine)
        self._background.add(task)
        task.add_done_callback(self._background.discard)
        return task

    def head_timeout_s(self, job):
        """Return the timeout for the response head of an attempt, in seconds."""
        if job.response_started:
            return RESUME_HEAD_TIMEOUT_S
        left_ms = job.head_deadline_ms - self.clock.monotonic_ms()
        return max(MIN_HEAD_TIMEOUT_S, left_ms / 1000)

    async def send(self, job, attempt, headers, body, new_connection=False):
        """Send an attempt and return the response once its head has arrived."""
        if attempt.response is not None:
            attempt.response.close()
            attempt.response = None
        job.check_key_absent(headers, body)
        attempt.check_caller()
        attempt.response = await self.backends.send(
            attempt.dispatch.address,
            job.method,
            job.target,
            headers,
            body,
            attempt.request_id,
            self.head_timeout_s(job),
            new_connection=new_connection,
            begin_send=attempt.begin_send,
        )
        return attempt.response

    def record_first_byte(self, job, attempt):
        """Record that the response has begun to arrive."""
        attempt.first_byte_ms = self.clock.monotonic_ms()
        if job.state.state == DISPATCHED:
            job.state.transition_to(FIRST_BYTE)
