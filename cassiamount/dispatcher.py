"""The task that admits, queues and routes the requests of one VM.

It owns the admission queue, the router and the budget holder. Requests and the
tasks that read the platform talk to it by messages, so none of this state is
shared.
"""

import asyncio
from functools import singledispatchmethod

import structlog

from . import refusals
from .admission import Refused
from .budget_messages import Ask, Grant, Shortage
from .dispatch_messages import (
    CacheEvents,
    ConfigurationChanged,
    DrainingModels,
    GrantsArrived,
    LeavingBackends,
    LoadReported,
    ReportsDone,
    Retry,
    ReturnGrants,
    Submit,
    Tick,
    Withdraw,
)
from .mailbox import Call, MailboxFull
from .requests import CANCELLED, AttemptEnded, Dispatch, Refusal
from .routing import NoReplica

# A shortage that ends within this time is waited out; a longer one is refused at once.
MAX_BUDGET_WAIT_MS = 200
# Each answer of the owner serves the requests ahead first, so a request may have to ask
# more than once.
MAX_REPEATED_ASKS = 3
# Interval of the background work: reports to the budget's owner, refills of blocks,
# expiry of queued tickets.
TICK_MS = 50

log = structlog.get_logger()


class _Entry:
    """One request between `submit` and its final end."""

    __slots__ = (
        "call",
        "ticket",
        "charge",
        "asks_left",
        "ask_again_ms",
        "used_tokens",
        "backend",
    )

    def __init__(self, call, ticket):
        self.call = call
        self.ticket = ticket
        self.charge = None
        self.asks_left = MAX_REPEATED_ASKS
        self.ask_again_ms = 0.0
        self.used_tokens = 0
        self.backend = ""


class Dispatcher:
    """Admits, queues and routes requests.

    Parameters
    ----------
    mailbox : Mailbox
    clock : SystemClock or ManualClock
    rng : random.Random
    queue : AdmissionQueue
    router : Router
    holder : BudgetHolder
    key_holds : callable
        Whether a key hash is in force; asked again at each dispatch.
    budget : object
        ``ask(list of Ask)`` starts an ask whose answers arrive as `GrantsArrived`;
        ``report(list of Report)`` sends what the holder reports, and `ReportsDone`
        follows.
    burst_share : callable
        Gives the zone's share of a team's burst for a `Configuration` and a `Team`.
    demand : callable
        Called with model, adapter and cost in tokens of each submitted request.
    """

    def __init__(
        self,
        mailbox,
        clock,
        rng,
        queue,
        router,
        holder,
        key_holds,
        budget,
        burst_share,
        demand,
    ):
        self.mailbox = mailbox
        self._clock = clock
        self._rng = rng
        self._queue = queue
        self._router = router
        self._holder = holder
        self._key_holds = key_holds
        self._budget = budget
        self._burst_share = burst_share
        self._demand = demand
        self._configuration = None
        self._drained = frozenset()
        self._listed_leaving = frozenset()
        self._entries = {}
        self._short = {}
        self._asked = set()
        self._queued = set()

    # Called by requests.

    async def submit(self, ticket):
        """Admit a request and wait for its dispatch.

        Returns
        -------
        Dispatch or Refusal
        """
        request = Call(Submit(ticket))
        try:
            self.mailbox.send(request)
        except MailboxFull:
            return refusals.queue_full()
        try:
            return await request.answer()
        except asyncio.CancelledError:
            self.mailbox.send(Withdraw(ticket.request_id))
            raise

    async def retry(self, ticket, attempt, failed_backend):
        """Ask for another attempt of an admitted request.

        Returns
        -------
        Dispatch or Refusal
        """
        request = Call(Retry(ticket, attempt, failed_backend))
        self.mailbox.send(request)
        try:
            return await request.answer()
        except asyncio.CancelledError:
            self.mailbox.send(Withdraw(ticket.request_id))
            raise

    async def ended(self, attempt_ended):
        """Tell the end of one attempt."""
        self.mailbox.send(attempt_ended)

    @property
    def active(self):
        """Number of requests that wait or run."""
        return len(self._entries)

    @property
    def queued(self):
        """Number of requests that wait for a backend server or for budget."""
        return len(self._queued) + sum(len(short) for short in self._short.values())

    def held_tokens(self):
        """Return the tokens that this VM holds, by team."""
        if self._configuration is None:
            return {}
        now_ms = self._clock.monotonic_ms()
        return {
            team: self._holder.available(team, now_ms)
            for team in self._configuration.teams
        }

    # The task.

    async def run(self):
        """Handle messages for ever."""
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
            await asyncio.sleep(TICK_MS / 1000)
            self.mailbox.send(Tick())

    def handle(self, message):
        """Apply one message."""
        if isinstance(message, Call):
            self._apply(message.body, message)
        else:
            self._apply(message, None)

    @singledispatchmethod
    def _apply(self, message, request):
        raise TypeError(f"the dispatcher does not know {type(message).__name__}")

    @_apply.register
    def _(self, message: Submit, request):
        ticket = message.ticket
        self._demand(ticket.model, ticket.adapter, ticket.cost_tokens)
        entry = _Entry(request, ticket)
        self._entries[ticket.request_id] = entry
        if ticket.team:
            self._charge(entry)
        else:
            self._offer(entry)

    @_apply.register
    def _(self, message: Retry, request):
        ticket = message.ticket
        entry = self._entries.get(ticket.request_id)
        if entry is None:
            entry = self._entries[ticket.request_id] = _Entry(request, ticket)
        entry.call = request
        choice = self._choose_again(ticket, message.failed_backend)
        if isinstance(choice, NoReplica):
            request.reply(refusals.no_replica(not_run=False))
            self._settle(entry)
        else:
            self._dispatch(entry, choice, message.attempt)

    @_apply.register
    def _(self, message: Withdraw, request):
        entry = self._entries.get(message.request_id)
        if entry is None:
            return
        self._queue.remove(message.request_id)
        if entry.backend:
            # The reply crossed with the cancellation, so no relay knows the dispatch.
            ended = AttemptEnded(message.request_id, entry.backend, CANCELLED)
            self._router.on_ended(ended, self._clock.monotonic_ms())
        self._settle(entry)

    @_apply.register
    def _(self, message: AttemptEnded, request):
        self._router.on_ended(message, self._clock.monotonic_ms())
        entry = self._entries.get(message.request_id)
        if entry is None:
            return
        entry.backend = ""
        entry.used_tokens = max(entry.used_tokens, message.used_tokens)
        if message.final:
            self._settle(entry)

    @_apply.register
    def _(self, message: GrantsArrived, request):
        self._asked -= message.asked
        now_ms = self._clock.monotonic_ms()
        for team, answer in message.answers.items():
            if isinstance(answer, Grant):
                self._holder.add_grant(team, answer, now_ms)
        for team in message.asked:
            for entry in self._short.pop(team, []):
                self._charge_after_answer(entry, message.answers.get(team))
        self._ask_for_budget()

    @_apply.register
    def _(self, message: ConfigurationChanged, request):
        configuration = message.configuration
        now_ms = self._clock.monotonic_ms()
        removed = set(self._configuration.teams) if self._configuration else set()
        for team in configuration.teams.values():
            burst_tokens = self._burst_share(configuration, team)
            self._holder.set_team(team.name, burst_tokens, now_ms)
        for name in removed - set(configuration.teams):
            self._holder.remove_team(name)
        self._configuration = configuration
        self._router.set_configuration(configuration)
        self._drained = message.drained
        self._router.set_leaving(self._drained | self._listed_leaving)
        weights = {team.name: team.weight for team in configuration.teams.values()}
        self._queue.set_weights(weights)

    @_apply.register
    def _(self, message: ReportsDone, request):
        for report in message.reports:
            self._holder.report_done(report)

    @_apply.register
    def _(self, message: ReturnGrants, request):
        reports = self._holder.return_all(self._clock.monotonic_ms())
        request.reply(reports)

    @_apply.register
    def _(self, message: LoadReported, request):
        self._router.on_report(message.report, self._clock.monotonic_ms())

    @_apply.register
    def _(self, message: LeavingBackends, request):
        self._listed_leaving = message.names
        self._router.set_leaving(self._drained | self._listed_leaving)

    @_apply.register
    def _(self, message: DrainingModels, request):
        self._router.set_draining(message.pairs)

    @_apply.register
    def _(self, message: CacheEvents, request):
        self._router.prefixes.on_events(
            message.backend, message.incarnation, message.events
        )

    @_apply.register
    def _(self, message: Tick, request):
        now_ms = self._clock.monotonic_ms()
        for ticket in self._queue.expire(now_ms):
            entry = self._entries[ticket.request_id]
            self._refuse(entry, refusals.deadline_passed())
        self._ask_for_budget()
        reports = self._holder.reports(now_ms)
        if reports:
            self._budget.report(reports)

    # Budget.

    def _charge(self, entry):
        ticket = entry.ticket
        team = self._configuration.teams.get(ticket.team)
        if team is None:
            self._refuse(entry, refusals.invalid_key())
        elif ticket.cost_tokens > team.burst_tokens:
            refusal = refusals.exceeds_burst(ticket.cost_tokens, team.burst_tokens)
            self._refuse(entry, refusal)
        elif self._short.get(ticket.team) or not self._try_charge(entry):
            # Behind the requests that came first, so that small ones do not starve
            # a large one.
            self._short.setdefault(ticket.team, []).append(entry)
            self._ask_for_budget()

    def _try_charge(self, entry):
        ticket = entry.ticket
        entry.charge = self._holder.charge(
            ticket.team, ticket.cost_tokens, self._clock.monotonic_ms()
        )
        if entry.charge is None:
            return False
        self._offer(entry)
        return True

    def _charge_after_answer(self, entry, answer):
        if entry.ticket.request_id not in self._entries or self._try_charge(entry):
            return
        if isinstance(answer, Grant):
            # Requests ahead took the block; the owner may have more.
            retry_after_ms = 0.0
        elif isinstance(answer, Shortage):
            retry_after_ms = answer.retry_after_ms
        else:
            self._refuse(entry, refusals.budget_unavailable())
            return
        if entry.asks_left and retry_after_ms <= MAX_BUDGET_WAIT_MS:
            entry.asks_left -= 1
            entry.ask_again_ms = self._clock.monotonic_ms() + retry_after_ms
            self._short.setdefault(entry.ticket.team, []).append(entry)
        else:
            self._refuse(entry, refusals.rate_exceeded(retry_after_ms))

    def _ask_for_budget(self):
        now_ms = self._clock.monotonic_ms()
        asks = [
            ask
            for ask in self._holder.asks(now_ms)
            if ask.team not in self._asked and ask.team not in self._short
        ]
        for team, entries in self._short.items():
            costs = [
                entry.ticket.cost_tokens
                for entry in entries
                if entry.ask_again_ms <= now_ms
                and entry.ticket.request_id in self._entries
            ]
            if costs and team not in self._asked:
                left_tokens = self._holder.available(team, now_ms)
                missing_tokens = max(1, sum(costs) - left_tokens)
                want_tokens = self._holder.want(team, now_ms, missing_tokens)
                asks.append(Ask(team, want_tokens, max(1, costs[0] - left_tokens)))
        if asks:
            self._asked.update(ask.team for ask in asks)
            self._budget.ask(asks)

    # Queue and dispatch.

    def _offer(self, entry):
        result = self._queue.offer(entry.ticket, self._clock.monotonic_ms())
        if isinstance(result, Refused):
            self._refuse(entry, result.refusal)
            return
        self._queued.add(entry.ticket.request_id)
        for ticket, refusal in result.displaced:
            self._refuse(self._entries[ticket.request_id], refusal)

    def _dispatch_queued(self):
        while True:
            now_ms = self._clock.monotonic_ms()
            choices = {}

            def ready(ticket, now_ms=now_ms, choices=choices):
                choice = self._router.choose(ticket, now_ms, self._rng)
                choices[ticket.request_id] = choice
                return not isinstance(choice, NoReplica)

            ticket = self._queue.take(now_ms, ready)
            if ticket is None:
                return
            self._queued.discard(ticket.request_id)
            entry = self._entries[ticket.request_id]
            if ticket.key_hash and not self._key_holds(ticket.key_hash):
                self._refuse(entry, refusals.invalid_key())
            else:
                self._dispatch(entry, choices[ticket.request_id], attempt=1)

    def _choose_again(self, ticket, failed_backend):
        now_ms = self._clock.monotonic_ms()
        choice = self._router.choose(
            ticket, now_ms, self._rng, exclude=(failed_backend,)
        )
        if isinstance(choice, NoReplica):
            choice = self._router.choose(ticket, now_ms, self._rng)
        return choice

    def _dispatch(self, entry, choice, attempt):
        backend = self._configuration.backends[choice.backend]
        entry.backend = choice.backend
        self._router.on_sent(entry.ticket, choice.backend)
        entry.call.reply(
            Dispatch(entry.ticket, choice.backend, backend.address, attempt)
        )

    def _refuse(self, entry, refusal: Refusal):
        self._settle(entry)
        entry.call.reply(refusal)

    def _settle(self, entry):
        self._entries.pop(entry.ticket.request_id, None)
        self._queue.settle(entry.ticket, entry.used_tokens)
        self._queued.discard(entry.ticket.request_id)
        if entry.charge is not None:
            now_ms = self._clock.monotonic_ms()
            self._holder.settle(entry.charge, entry.used_tokens, now_ms)
            entry.charge = None
