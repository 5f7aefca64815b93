"""Carries one request from the dispatcher to a backend server and its answer back."""

import asyncio

from .answers import Answer, error_body
from .backend_client import AttemptBroken, NotAccepted
from .invariants import TRUTHFUL_REFUSAL, require
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
# Wait for the head of an attempt that carries on an answer the caller is reading.
RESUME_HEAD_S = 10.0
# An attempt gets at least this long for its head, even close to the deadline.
MIN_HEAD_S = 0.05
RETRY_AFTER_S = 1.0


class Failure:
    """An attempt that brought no answer.

    Parameters
    ----------
    error : NotAccepted or AttemptBroken
    repeat : bool
        Whether another attempt follows.
    """

    __slots__ = ("error", "repeat")

    def __init__(self, error, repeat):
        self.error = error
        self.repeat = repeat


class Attempt:
    """One dispatch of a job, from the decision to its end."""

    __slots__ = ("dispatch", "request_id", "started_ms", "first_ms", "response", "span")

    def __init__(self, dispatch, request_id, started_ms):
        self.dispatch = dispatch
        self.request_id = request_id
        self.started_ms = started_ms
        self.first_ms = None
        self.response = None
        self.span = None


class Relay:
    """Runs jobs; holds what all of them share.

    Parameters
    ----------
    dispatcher : object
        Coroutines ``submit``, ``retry`` and ``ended``. A cancelled ``submit`` or
        ``retry`` takes its Dispatch back, and ``ended`` only sends a message.
    backends : BackendClient
    clock, metrics : object
    rng : random.Random
    retries : RetryBudget, optional
    """

    def __init__(self, dispatcher, backends, clock, metrics, rng, retries=None):
        self.dispatcher = dispatcher
        self.backends = backends
        self.clock = clock
        self.metrics = metrics
        self.rng = rng
        self.retries = retries or RetryBudget()
        self._background = set()

    async def run(self, job, caller):
        """Carry a job to its end.

        Parameters
        ----------
        job : ModelJob or ServiceJob
        caller : Caller

        Returns
        -------
        Answer
        """
        self.retries.record_request()
        decision = await self._queued(job, self.dispatcher.submit(job.request_info))
        if isinstance(decision, Dispatch):
            job.state.move(ADMITTED)
            refusal = job.recheck(job.request_info)
            if refusal is not None:
                # The key was withdrawn in the queue; nothing was sent.
                await self._end(job, self._begin(job, decision), CANCELLED, final=True)
                decision = refusal
        number = 0
        while isinstance(decision, Dispatch):
            number += 1
            dispatch = decision
            result = await self._attempt(job, caller, dispatch, number)
            if isinstance(result, Answer):
                return result
            if not result.repeat:
                decision = self._give_up(job, result.error)
                break
            decision = await self._queued(
                job,
                self.dispatcher.retry(job.request_info, number + 1, dispatch.backend),
            )
            if isinstance(decision, Refusal):
                # What the dispatcher cannot know: whether an attempt may have run.
                decision = self._give_up(job, result.error)
        return await self._refuse(job, caller, decision)

    async def settle(self):
        """Wait for cancellations that are still being sent."""
        while self._background:
            await asyncio.wait(set(self._background))

    async def _queued(self, job, decision):
        """Wait for the dispatcher's decision.

        A coroutine of the dispatcher that is cancelled takes its Dispatch back, so
        nothing is lost between here and the dispatcher.
        """
        span = job.trace.begin("queue")
        try:
            return await decision
        finally:
            job.trace.end(span)

    async def _attempt(self, job, caller, dispatch, number):
        """Run one attempt; return the Answer or the Failure."""
        attempt = self._begin(job, dispatch)
        outcome, repeat = CANCELLED, False
        try:
            job.state.move(DISPATCHED)
            answer = await job.run(self, attempt, caller)
            outcome = DONE
            job.state.move(COMPLETE)
            return answer
        except NotAccepted as error:
            outcome = NOT_ACCEPTED
            repeat = await self._may_repeat(job, outcome, number)
            return Failure(error, repeat)
        except AttemptBroken as error:
            outcome = BROKEN
            self._abandon(job, attempt)
            repeat = await self._may_repeat(job, outcome, number)
            return Failure(error, repeat)
        finally:
            # Also reached when the caller has gone and this task is cancelled.
            if outcome == CANCELLED:
                job.maybe_ran = True
                self._abandon(job, attempt)
            await self._end(job, attempt, outcome, final=not repeat)

    def _abandon(self, job, attempt):
        """Close the attempt's connection and stop the request at the engine."""
        if attempt.response is not None:
            attempt.response.close()
            attempt.response = None
        if job.engine:
            address = attempt.dispatch.address
            self.spawn(self.backends.cancel(address, attempt.request_id))

    async def _may_repeat(self, job, outcome, number):
        """Decide whether a failed attempt is followed by another; wait the pause.

        The pause comes before the attempt's end is told, so that the dispatcher hears
        of the end and of the next attempt together.
        """
        state = job.state
        if outcome == NOT_ACCEPTED:
            allowed = job.repeatable_if_not_accepted
            if job.maybe_ran:
                # An earlier attempt may have run, which this one cannot take back.
                state.move(ADMITTED)
            else:
                state.not_accepted()
        else:
            job.maybe_ran = True
            allowed = state.idempotent and job.resumable()
            if state.state == DISPATCHED:
                state.move(ADMITTED)
        pause_ms = backoff_ms(number, self.rng)
        ready_ms = self.clock.monotonic_ms() + pause_ms
        late = not job.started and ready_ms >= job.request_info.deadline_ms
        if (
            not allowed
            or late
            or number >= MAX_ATTEMPTS
            or not self.retries.try_acquire()
        ):
            return False
        self.metrics.count("retries_total")
        await asyncio.sleep(pause_ms / 1000)
        return True

    def _give_up(self, job, failure):
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
            f"the backend server's response was lost; {job.advice}",
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
        job.state.move(COMPLETE)
        await caller.refuse(refusal)
        return Answer(refusal.status, "application/json", error_body(refusal), refusal)

    def _begin(self, job, dispatch):
        attempt = Attempt(dispatch, job.attempt_id(dispatch), self.clock.monotonic_ms())
        attempt.span = job.trace.begin("backend", backend=dispatch.backend)
        return attempt

    async def _end(self, job, attempt, outcome, final):
        """Tell the dispatcher that an attempt ended, exactly once for each Dispatch."""
        now_ms = self.clock.monotonic_ms()
        first_ms = attempt.first_ms if attempt.first_ms is not None else now_ms
        job.trace.end(attempt.span, outcome=outcome)
        self.metrics.count("attempts_total", outcome=outcome)
        ended = AttemptEnded(
            job.request_info.request_id,
            attempt.dispatch.backend,
            outcome,
            used_tokens=job.used_tokens() if job.maybe_ran or outcome == DONE else 0,
            first_token_ms=first_ms - attempt.started_ms,
            duration_ms=now_ms - attempt.started_ms,
            final=final,
        )
        await self.dispatcher.ended(ended)

    def spawn(self, coroutine):
        """Run a coroutine to its end even if the request is cancelled."""
        task = asyncio.ensure_future(coroutine)
        self._background.add(task)
        task.add_done_callback(self._background.discard)
        return task

    def head_s(self, job):
        """Return how long an attempt may wait for its head, in seconds."""
        if job.started:
            return RESUME_HEAD_S
        left_ms = job.head_deadline_ms - self.clock.monotonic_ms()
        return max(MIN_HEAD_S, left_ms / 1000)

    async def send(self, job, attempt, headers, body, once=False):
        """Send an attempt and return the response with its head."""
        if attempt.response is not None:
            attempt.response.close()
            attempt.response = None
        job.check_outgoing(headers, body)
        attempt.response = await self.backends.send(
            attempt.dispatch.address,
            job.method,
            job.target,
            headers,
            body,
            attempt.request_id,
            self.head_s(job),
            once=once,
        )
        return attempt.response

    def first_byte(self, job, attempt):
        """Note that the answer has begun to arrive."""
        attempt.first_ms = self.clock.monotonic_ms()
        if job.state.state == DISPATCHED:
            job.state.move(FIRST_BYTE)
