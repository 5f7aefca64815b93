"""The actor that admits, queues and routes the requests of one VM."""

import asyncio
from functools import singledispatchmethod

import structlog

from . import refusals
from .admission import Refused
from .budget_admission import BudgetAdmission
from .dispatch_messages import (
    CacheEvents,
    CancelRequest,
    ConfigurationChanged,
    DrainingModels,
    GrantsReceived,
    LeavingBackends,
    LoadReported,
    ReportsDone,
    Retry,
    ReturnGrants,
    Submit,
    Tick,
)
from .mailbox import Call, MailboxFull
from .requests import CANCELLED, NOT_ACCEPTED, AttemptEnded, Dispatch, Refusal
from .routing import BUSY, NoReplica

# Longest wait of a retry while all replicas are busy. It is not refused at once,
# because the request was admitted and other requests release replicas within seconds.
MAX_RETRY_WAIT_MS = 10_000
# Interval of the periodic work: reports to budget owners, requests for more tokens, and
# the expiry of queued requests.
TICK_MS = 50
# The interval while no request waits or runs; only reports may remain to be sent then.
IDLE_TICK_MS = 500

log = structlog.get_logger()


class _PendingRequest:
    """One request, from `submit` to the end of its last attempt."""

    __slots__ = (
        "call",
        "request_info",
        "charge",
        "asks_left",
        "ask_again_ms",
        "used_tokens",
        "backend",
        "maybe_ran",
    )

    def __init__(self, call, request_info):
        self.call = call
        self.request_info = request_info
        self.charge = None
        self.asks_left = 0
        self.ask_again_ms = 0.0
        self.used_tokens = 0
        self.backend = ""
        self.maybe_ran = False


class _PendingRetry:
    """A request that waits for another attempt."""

    __slots__ = ("entry", "attempt", "failed_backend", "deadline_ms")

    def __init__(self, entry, attempt, failed_backend, deadline_ms):
        self.entry = entry
        self.attempt = attempt
        self.failed_backend = failed_backend
        self.deadline_ms = deadline_ms


class Dispatcher:
    """Admits, queues and routes requests.

    It owns the admission queue, the router and the budget holder. Requests, and the
    tasks that poll backend servers and follow the log, send it messages, so none of
    this state is shared.

    Parameters
    ----------
    mailbox : Mailbox
    clock : SystemClock or ManualClock
    rng : random.Random
    queue : AdmissionQueue
    router : Router
    holder : BudgetHolder
    key_is_valid : callable
        Takes a key hash; returns whether the key is in force. Called when a queued
        request is dispatched.
    link : BudgetClient
    zone : str
    record_demand : callable
        Called with the model, adapter and cost in tokens of each submitted request.
    """

    def __init__(
        self,
        mailbox,
        clock,
        rng,
        queue,
        router,
        holder,
        key_is_valid,
        link,
        zone,
        record_demand,
    ):
        self.mailbox = mailbox
        self._clock = clock
        self._rng = rng
        self._queue = queue
        self._router = router
        self._key_is_valid = key_is_valid
        self._gate = BudgetAdmission(
            clock, holder, link, zone, self._enqueue, self._refuse, self._is_pending
        )
        self._record_demand = record_demand
        self._configuration = None
        self._drained = frozenset()
        self._listed_leaving = frozenset()
        self._entries = {}
        self._queued = set()
        self._retries = []

    # Called from the tasks of the requests.

    async def submit(self, request_info):
        """Admit a request and wait for its dispatch.

        Returns
        -------
        Dispatch or Refusal
        """
        call = Call(Submit(request_info))
        try:
            self.mailbox.send(call)
        except MailboxFull:
            return refusals.queue_full()
        try:
            return await call.answer()
        except asyncio.CancelledError:
            self.mailbox.send(CancelRequest(request_info.request_id))
            raise

    async def retry(self, request_info, attempt, failed_backend):
        """Ask for another attempt of an admitted request.

        Returns
        -------
        Dispatch or Refusal
        """
        call = Call(Retry(request_info, attempt, failed_backend))
        self.mailbox.send(call)
        try:
            return await call.answer()
        except asyncio.CancelledError:
            self.mailbox.send(CancelRequest(request_info.request_id))
            raise

    async def ended(self, attempt_ended):
        """Report the end of one attempt."""
        self.mailbox.send(attempt_ended)

    @property
    def active(self):
        """Number of requests that wait or run."""
        return len(self._entries)

    @property
    def queued(self):
        """Number of requests that wait for a backend server or for budget."""
        return len(self._queued) + len(self._retries) + self._gate.waiting

    def held_tokens(self):
        """Return the tokens that this VM holds, by team."""
        return self._gate.held_tokens()

    # The task of the dispatcher.

    async def run(self):
        """Handle messages until cancelled."""
        ticker = asyncio.create_task(self._tick())
        try:
            while True:
                self.handle(await self.mailbox.receive())
                for message in self.mailbox.drain():
                    self.handle(message)
                self._dispatch_queued()
        finally:
            ticker.cancel()

    async def _tick(self):
        while True:
            interval_ms = TICK_MS if self._entries else IDLE_TICK_MS
            await asyncio.sleep(interval_ms / 1000)
            self.mailbox.send(Tick())

    def handle(self, message):
        """Apply one message."""
        if isinstance(message, Call):
            self._apply(message.body, message)
        else:
            self._apply(message, None)

    @singledispatchmethod
    def _apply(self, message, call):
        raise TypeError(f"unsupported dispatcher message: {type(message).__name__}")

    @_apply.register
    def _(self, message: Submit, call):
        request_info = message.request_info
        self._record_demand(
            request_info.model, request_info.adapter, request_info.cost_tokens
        )
        entry = _PendingRequest(call, request_info)
        self._entries[request_info.request_id] = entry
        if request_info.team:
            self._gate.admit(entry)
        else:
            self._enqueue(entry)

    @_apply.register
    def _(self, message: Retry, call):
        request_info = message.request_info
        entry = self._entries.get(request_info.request_id)
        if entry is None:
            # The request was refused earlier, so its charge is already settled.
            call.reply(refusals.no_replica(not_run=False))
            return
        entry.call = call
        deadline_ms = self._clock.monotonic_ms() + MAX_RETRY_WAIT_MS
        self._retries.append(
            _PendingRetry(entry, message.attempt, message.failed_backend, deadline_ms)
        )

    @_apply.register
    def _(self, message: CancelRequest, call):
        entry = self._entries.get(message.request_id)
        if entry is None:
            return
        self._queue.remove(message.request_id)
        if entry.backend:
            # The dispatch was decided before the cancellation arrived, and the caller
            # never got it, so no relay will report its end.
            ended = AttemptEnded(message.request_id, entry.backend, CANCELLED)
            self._router.on_ended(ended, self._clock.monotonic_ms())
        self._settle(entry)

    @_apply.register
    def _(self, message: AttemptEnded, call):
        self._router.on_ended(message, self._clock.monotonic_ms())
        entry = self._entries.get(message.request_id)
        if entry is None:
            return
        entry.backend = ""
        entry.used_tokens = max(entry.used_tokens, message.used_tokens)
        entry.maybe_ran |= message.outcome != NOT_ACCEPTED
        if message.final:
            self._settle(entry)

    @_apply.register
    def _(self, message: GrantsReceived, call):
        self._gate.on_grants(message.asked, message.answers)

    @_apply.register
    def _(self, message: ReportsDone, call):
        self._gate.on_reports_done(message.reports)

    @_apply.register
    def _(self, message: ReturnGrants, call):
        call.reply(self._gate.return_all())

    @_apply.register
    def _(self, message: ConfigurationChanged, call):
        configuration = message.configuration
        self._configuration = configuration
        self._gate.set_configuration(configuration)
        self._router.set_configuration(configuration)
        self._drained = message.drained
        self._router.set_leaving(self._drained | self._listed_leaving)
        weights = {team.name: team.weight for team in configuration.teams.values()}
        self._queue.set_weights(weights)

    @_apply.register
    def _(self, message: LoadReported, call):
        self._router.on_report(message.report, self._clock.monotonic_ms())

    @_apply.register
    def _(self, message: LeavingBackends, call):
        self._listed_leaving = message.names
        self._router.set_leaving(self._drained | self._listed_leaving)

    @_apply.register
    def _(self, message: DrainingModels, call):
        self._router.set_draining(message.pairs)

    @_apply.register
    def _(self, message: CacheEvents, call):
        self._router.prefix_index.on_events(
            message.backend, message.incarnation, message.events
        )

    @_apply.register
    def _(self, message: Tick, call):
        now_ms = self._clock.monotonic_ms()
        for request_info in self._queue.expire(now_ms):
            entry = self._entries[request_info.request_id]
            self._refuse(entry, refusals.deadline_passed())
        self._gate.tick()

    # Queueing and dispatch.

    def _enqueue(self, entry):
        result = self._queue.offer(entry.request_info, self._clock.monotonic_ms())
        if isinstance(result, Refused):
            self._refuse(entry, result.refusal)
            return
        self._queued.add(entry.request_info.request_id)
        for request_info, refusal in result.displaced:
            self._refuse(self._entries[request_info.request_id], refusal)

    def _is_pending(self, entry):
        return entry.request_info.request_id in self._entries

    def _dispatch_retries(self):
        now_ms = self._clock.monotonic_ms()
        waiting, self._retries = self._retries, []
        for retry in waiting:
            if not self._is_pending(retry.entry):
                continue
            choice = self._choose_for_retry(
                retry.entry.request_info, retry.failed_backend
            )
            if not isinstance(choice, NoReplica):
                self._dispatch(retry.entry, choice, retry.attempt)
            elif choice.reason == BUSY and now_ms < retry.deadline_ms:
                self._retries.append(retry)
            else:
                refusal = refusals.no_replica(not_run=not retry.entry.maybe_ran)
                self._refuse(retry.entry, refusal)

    def _dispatch_queued(self):
        # Retries go first: they were admitted earlier and may be in mid-response.
        self._dispatch_retries()
        while True:
            now_ms = self._clock.monotonic_ms()
            choices = {}

            def ready(request_info, now_ms=now_ms, choices=choices):
                choice = self._router.choose(request_info, now_ms, self._rng)
                choices[request_info.request_id] = choice
                return not isinstance(choice, NoReplica)

            request_info = self._queue.take(now_ms, ready)
            if request_info is None:
                return
            self._queued.discard(request_info.request_id)
            entry = self._entries[request_info.request_id]
            if request_info.key_hash and not self._key_is_valid(request_info.key_hash):
                self._refuse(entry, refusals.invalid_key())
            else:
                self._dispatch(entry, choices[request_info.request_id], attempt=1)

    def _choose_for_retry(self, request_info, failed_backend):
        now_ms = self._clock.monotonic_ms()
        choice = self._router.choose(
            request_info, now_ms, self._rng, exclude=(failed_backend,)
        )
        if isinstance(choice, NoReplica):
            choice = self._router.choose(request_info, now_ms, self._rng)
        return choice

    def _dispatch(self, entry, choice, attempt):
        backend = self._configuration.backends[choice.backend]
        entry.backend = choice.backend
        self._router.on_sent(entry.request_info, choice.backend)
        entry.call.reply(
            Dispatch(entry.request_info, choice.backend, backend.address, attempt)
        )

    def _refuse(self, entry, refusal: Refusal):
        self._settle(entry)
        entry.call.reply(refusal)

    def _settle(self, entry):
        self._entries.pop(entry.request_info.request_id, None)
        self._queue.settle(entry.request_info, entry.used_tokens)
        self._queued.discard(entry.request_info.request_id)
        self._gate.settle(entry)
