"""Task of the placement lease's holder: plans, records and sends orders."""

import asyncio
from functools import singledispatchmethod

import structlog

from .demand import DemandTracker
from .dispatch_messages import ConfigurationChanged, LoadReported
from .engine_ledger import EngineLedger
from .engine_orders import (
    LOST,
    NOT_SENT,
    Order,
    QueryOrderState,
    RecordIntent,
    RecordOutcome,
    SendOrder,
)
from .errors import AppendOutcomeUnknown, OrderOutcomeUnknown, PlatformUnavailable
from .placement import PlacementPolicy
from .placement_messages import (
    DemandTotals,
    IntentNotRecorded,
    IntentRecorded,
    OrderAnswered,
    OrderStateReceived,
    OutcomeRecorded,
    PlacementTick,
)
from .placement_view import home_zones, views_of
from .records import IntendOrder, SettleOrder
from .weight_store_client import WeightStoreLimits

# The ledger is checked for due orders every tick; the policy plans less often.
TICK_INTERVAL_MS = 100
PLAN_INTERVAL_MS = 1_000
ENGINE_CALL_TIMEOUT_S = 5.0
# An append whose outcome is unknown is retried with the same record id, which keeps the
# record from being applied twice.
APPEND_RETRY_DELAY_S = 0.5

log = structlog.get_logger()


class PlacementTask:
    """Places models on a zone's engines while this VM holds the ``placement`` lease.

    Parameters
    ----------
    zone : str
    vm : str
        Name of this VM as the writer of records.
    lease : object
        Provides ``usable(now_ms)`` and ``fence``.
    unsettled : iterable of (int, IntendOrder)
        Offsets and intents of earlier holders' orders without a recorded outcome,
        from a read of the log that includes this holder's claim of the lease.
    configuration : Configuration
    mailbox : Mailbox
        Receives `LoadReported`, `ConfigurationChanged`, `DemandTotals` and
        `WeightStoreLimits`.
    appender : object
        Provides ``async append(record) -> offset`` for the zone's stream.
    engines : object
        Provides ``async order(engine_address, order) -> answer`` and
        ``async order_state(engine_address, order_id) -> state``.
    clock : SystemClock or ManualClock
    """

    def __init__(
        self,
        zone,
        vm,
        lease,
        unsettled,
        configuration,
        mailbox,
        appender,
        engines,
        clock,
    ):
        self.mailbox = mailbox
        self._vm = vm
        self._lease = lease
        self._appender = appender
        self._engines = engines
        self._clock = clock
        now_ms = clock.monotonic_ms()
        self.ledger = EngineLedger(zone, now_ms)
        self._policy = PlacementPolicy(zone)
        self._demand = DemandTracker()
        self._engine_addresses = {}
        self._background_tasks = set()
        self._order_count = 0
        self._last_plan_ms = now_ms
        self._set_configuration(configuration, now_ms)
        self.ledger.rebuild(unsettled, now_ms)

    async def run(self):
        """Process messages until the lease can no longer be used."""
        ticker = asyncio.create_task(self._tick())
        try:
            while self._lease.usable(self._clock.monotonic_ms()):
                self._apply(await self.mailbox.receive())
        finally:
            ticker.cancel()
            for task in self._background_tasks:
                task.cancel()

    async def _tick(self):
        while True:
            self.mailbox.send(PlacementTick())
            await asyncio.sleep(TICK_INTERVAL_MS / 1000)

    @singledispatchmethod
    def _apply(self, message):
        raise TypeError(f"unknown message type {type(message).__name__}")

    @_apply.register
    def _(self, message: LoadReported):
        self.ledger.on_report(message.report, self._clock.monotonic_ms())

    @_apply.register
    def _(self, message: ConfigurationChanged):
        self._set_configuration(message.configuration, self._clock.monotonic_ms())

    @_apply.register
    def _(self, message: WeightStoreLimits):
        self._policy.set_limits(message.loads_per_s, message.concurrent_loads)

    @_apply.register
    def _(self, message: DemandTotals):
        self._demand.on_totals(message.vm, message.totals)

    @_apply.register
    def _(self, message: IntentRecorded):
        now_ms = self._clock.monotonic_ms()
        self.ledger.on_intent_recorded(message.order_id, message.offset, now_ms)

    @_apply.register
    def _(self, message: IntentNotRecorded):
        self.ledger.on_intent_not_recorded(message.order_id)

    @_apply.register
    def _(self, message: OrderAnswered):
        now_ms = self._clock.monotonic_ms()
        self.ledger.on_answer(message.order_id, message.attempt, message.answer, now_ms)

    @_apply.register
    def _(self, message: OrderStateReceived):
        now_ms = self._clock.monotonic_ms()
        self.ledger.on_state(
            message.order_id, message.state, message.queried_ms, now_ms
        )

    @_apply.register
    def _(self, message: OutcomeRecorded):
        if message.recorded:
            self.ledger.on_outcome_recorded(message.order_id)
        else:
            self.ledger.on_outcome_not_recorded(message.order_id)

    @_apply.register
    def _(self, message: PlacementTick):
        now_ms = self._clock.monotonic_ms()
        self._execute(self.ledger.advance(now_ms))
        if now_ms - self._last_plan_ms >= PLAN_INTERVAL_MS:
            self._last_plan_ms = now_ms
            self._plan(now_ms)

    def _set_configuration(self, configuration, now_ms):
        homes = home_zones(configuration)
        self.ledger.set_configuration(configuration, homes, now_ms)
        self._policy.set_configuration(configuration, homes)
        self._engine_addresses = {
            b.name: b.address for b in configuration.backends.values()
        }

    def _plan(self, now_ms):
        views = views_of(self.ledger, now_ms)
        for move in self._policy.plan(self._demand.rates(now_ms), views, now_ms):
            self._order_count += 1
            order = Order(
                f"{self._vm}/{self._lease.fence}/{self._order_count}",
                move.engine,
                move.action,
                move.name,
                move.version,
                move.memory_mb,
                move.base,
            )
            log.info(
                "placement_move",
                engine=move.engine,
                action=move.action,
                name=move.name,
                reason=move.reason,
            )
            self._execute(self.ledger.intend(order, now_ms))

    def _execute(self, commands):
        for command in commands:
            order = command.order
            if isinstance(command, RecordIntent):
                self._start_background(self._record_intent(order))
            elif isinstance(command, SendOrder):
                self._send(order)
            elif isinstance(command, QueryOrderState):
                self._start_background(
                    self._query_state(order, self._clock.monotonic_ms())
                )
            elif isinstance(command, RecordOutcome):
                self._start_background(self._record_outcome(order, command.outcome))

    def _start_background(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._background_tasks.add(task)
        task.add_done_callback(self._background_tasks.discard)

    async def _record_intent(self, order):
        record = IntendOrder(
            order.order_id,
            self._vm,
            order.order_id,
            order.engine,
            order.action,
            order.name,
            order.version,
            order.memory_mb,
            self._lease.fence,
        )
        while True:
            try:
                offset = await self._appender.append(record)
            except PlatformUnavailable:
                self.mailbox.send(IntentNotRecorded(order.order_id))
                return
            except AppendOutcomeUnknown:
                await asyncio.sleep(APPEND_RETRY_DELAY_S)
            else:
                self.mailbox.send(IntentRecorded(order.order_id, offset))
                return

    def _send(self, order):
        now_ms = self._clock.monotonic_ms()
        # The lease is checked before each order: the process may have been paused since
        # the last check, and an engine may ignore the fencing number.
        if self._lease.usable(now_ms):
            attempt = self.ledger.on_sent(order.order_id, now_ms)
            self._start_background(self._send_attempt(order, attempt))

    async def _send_attempt(self, order, attempt):
        # This coroutine starts in a later iteration of the event loop, when the lease
        # may have expired.
        if not self._lease.usable(self._clock.monotonic_ms()):
            return
        address = self._engine_addresses[order.engine]
        try:
            async with asyncio.timeout(ENGINE_CALL_TIMEOUT_S):
                answer = await self._engines.order(address, order)
        except PlatformUnavailable:
            answer = NOT_SENT
        except (OrderOutcomeUnknown, TimeoutError):
            answer = LOST
        self.mailbox.send(OrderAnswered(order.order_id, attempt, answer))

    async def _query_state(self, order, queried_ms):
        address = self._engine_addresses.get(order.engine)
        if address is None:
            return
        try:
            async with asyncio.timeout(ENGINE_CALL_TIMEOUT_S):
                state = await self._engines.order_state(address, order.order_id)
        except (PlatformUnavailable, TimeoutError):
            return
        self.mailbox.send(OrderStateReceived(order.order_id, state, queried_ms))

    async def _record_outcome(self, order, outcome):
        record = SettleOrder(
            f"{order.order_id}/{outcome}", self._vm, order.order_id, outcome
        )
        try:
            await self._appender.append(record)
        except (PlatformUnavailable, AppendOutcomeUnknown):
            await asyncio.sleep(APPEND_RETRY_DELAY_S)
            self.mailbox.send(OutcomeRecorded(order.order_id, False))
        else:
            self.mailbox.send(OutcomeRecorded(order.order_id, True))
