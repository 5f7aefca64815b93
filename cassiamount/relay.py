"""Carries one request from the dispatcher to a backend server and its answer back."""

import asyncio

from .backend_client import AttemptBroken, NotAccepted
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


class CallerGone(Exception):
    """The caller disconnected or stopped reading."""


class Answer:
    """What the caller was sent, for the record of a claim.

    Parameters
    ----------
    status : int
    content_type : str
    body : bytes or None
        None if it was too large to keep or broke off.
    refusal : Refusal, optional
        Set if the system itself answered.
    """

    __slots__ = ("status", "content_type", "body", "refusal")

    def __init__(self, status, content_type="", body=None, refusal=None):
        self.status = status
        self.content_type = content_type
        self.body = body
        self.refusal = refusal


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
        Coroutines ``submit``, ``retry`` and ``ended``.
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
        self.retries.request()
        span = job.trace.begin("queue")
        decision = await self._ask(self.dispatcher.submit(job.ticket))
        job.trace.end(span)
        attempts = 0
        while True:
            if isinstance(decision, Refusal):
                return await self._refuse(job, caller, decision)
            attempts += 1
            refusal = job.recheck() if job.state.dispatches == 0 else None
            if refusal is not None:
                # Withdrawn while it was queued; nothing was sent.
                attempt = self._begin(job, decision)
                self._end(job, attempt, CANCELLED)
                return await self._refuse(job, caller, refusal)
            failure = await self._attempt(job, caller, decision)
            if isinstance(failure, Answer):
                return failure
            decision = await self._next(job, decision, failure, attempts)

    async def settle(self):
        """Wait for messages and cancellations that are still being sent."""
        while self._background:
            await asyncio.wait(set(self._background))

    async def _attempt(self, job, caller, dispatch):
        """Run one attempt; return the answer, or the failure if it can be repeated."""
        attempt = self._begin(job, dispatch)
        job.state.move(DISPATCHED)
        outcome = CANCELLED
        try:
            answer = await job.run(self, attempt, caller)
            outcome = DONE
            job.state.move(COMPLETE)
            return answer
        except NotAccepted as error:
            outcome = NOT_ACCEPTED
            return error
        except AttemptBroken as error:
            outcome = BROKEN
            return error
        finally:
            # Also reached when the caller has gone and this task is cancelled.
            if attempt.response is not None and outcome != DONE:
                attempt.response.close()
            if outcome in (BROKEN, CANCELLED) and job.engine:
                self.spawn(
                    self.backends.cancel(dispatch.address, attempt.request_id)
                )
            self._end(job, attempt, outcome)

    async def _next(self, job, dispatch, failure, attempts):
        """Decide what follows a failed attempt: a new dispatch or a refusal."""
        state = job.state
        if isinstance(failure, NotAccepted):
            if job.maybe_ran:
                # An earlier attempt may have run, which this one cannot take back.
                state.move(ADMITTED)
            else:
                state.not_accepted()
            allowed = job.repeatable_if_not_accepted
        else:
            job.maybe_ran = True
            allowed = state.idempotent and job.resumable()
        now_ms = self.clock.monotonic_ms()
        if (
            not allowed
            or attempts >= MAX_ATTEMPTS
            or (now_ms >= job.ticket.deadline_ms and not job.started)
            or not self.retries.take()
        ):
            return self._give_up(job, failure)
        self.metrics.count("retries_total")
        pause_ms = backoff_ms(attempts, self.rng)
        if not job.started and now_ms + pause_ms >= job.ticket.deadline_ms:
            return self._give_up(job, failure)
        await asyncio.sleep(pause_ms / 1000)
        if state.state == DISPATCHED:
            state.move(ADMITTED)
        span = job.trace.begin("queue")
        decision = await self._ask(
            self.dispatcher.retry(job.ticket, attempts + 1, dispatch.backend)
        )
        job.trace.end(span)
        if isinstance(decision, Refusal) and job.maybe_ran:
            return self._give_up(job, failure)
        return decision

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
        job.state.move(COMPLETE)
        await caller.refuse(refusal)
        return Answer(refusal.status, refusal=refusal)

    def _begin(self, job, dispatch):
        attempt = Attempt(
            dispatch, job.attempt_id(dispatch), self.clock.monotonic_ms()
        )
        attempt.span = job.trace.begin("backend", backend=dispatch.backend)
        return attempt

    def _end(self, job, attempt, outcome):
        """Tell the dispatcher that an attempt ended, exactly once for each Dispatch."""
        now_ms = self.clock.monotonic_ms()
        first_ms = attempt.first_ms if attempt.first_ms is not None else now_ms
        job.trace.end(attempt.span, outcome=outcome)
        self.metrics.count("attempts_total", outcome=outcome)
        ended = AttemptEnded(
            job.ticket.request_id,
            attempt.dispatch.backend,
            outcome,
            used_tokens=job.used_tokens(),
            first_token_ms=first_ms - attempt.started_ms,
            duration_ms=now_ms - attempt.started_ms,
        )
        self.spawn(self.dispatcher.ended(ended))

    async def _ask(self, coroutine):
        """Wait for a decision; one that comes after cancellation is given back."""
        task = asyncio.ensure_future(coroutine)
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            self.spawn(self._give_back(task))
            raise

    async def _give_back(self, task):
        decision = await task
        if isinstance(decision, Dispatch):
            await self.dispatcher.ended(
                AttemptEnded(
                    decision.ticket.request_id, decision.backend, CANCELLED
                )
            )

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
