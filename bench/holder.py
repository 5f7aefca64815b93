"""The placement lease's holder of one zone on virtual time."""

from bench.baselines import PLACEMENTS
from cassiamount.demand import DemandTracker
from cassiamount.engine_ledger import EngineLedger
from cassiamount.engine_orders import (
    LOST,
    Order,
    QueryOrderState,
    RecordIntent,
    RecordOutcome,
    SendOrder,
)
from cassiamount.placement_view import home_zones, views_of

APPEND_MS = 8.0
ORDER_MS = 1.0


class Holder:
    """Drives ledger and policy as the daemon's placement task does."""

    def __init__(self, world, zone, number, unsettled=()):
        self.world = world
        self.clock = world.clock
        self.zone = zone
        self.name = f"{zone}#{number}"
        self.active = True
        self.number = 0
        now_ms = self.clock.now_ms
        self.ledger = EngineLedger(zone, now_ms)
        self.policy = PLACEMENTS[world.policies.placement](zone)
        if world.policies.placement == "lru":
            self.policy.waiting = {}
        self.demand = DemandTracker()
        homes = home_zones(world.configuration)
        self.ledger.set_configuration(world.configuration, homes, now_ms)
        self.policy.set_configuration(world.configuration, homes)
        self.ledger.rebuild(unsettled, now_ms)

    def advance(self):
        if self.active:
            self._run(self.ledger.advance(self.clock.now_ms))

    def plan(self):
        now_ms = self.clock.now_ms
        if not self.active:
            return
        views = views_of(self.ledger, now_ms)
        moves = self.policy.plan(self.demand.rates(now_ms), views, now_ms)
        for move in moves:
            self.number += 1
            order = Order(
                f"{self.name}/{self.number}",
                move.engine,
                move.action,
                move.name,
                move.version,
                move.memory_mb,
                move.base,
            )
            self._run(self.ledger.intend(order, now_ms))

    def _run(self, commands):
        for command in commands:
            order = command.order
            if isinstance(command, RecordIntent):
                self.clock.after(APPEND_MS, self._recorded, order)
            elif isinstance(command, SendOrder):
                self._send(order)
            elif isinstance(command, QueryOrderState):
                self.clock.after(ORDER_MS, self._ask, order, self.clock.now_ms)
            elif isinstance(command, RecordOutcome):
                self.clock.after(APPEND_MS, self._settled, order)

    def _recorded(self, order):
        offset = self.world.append(self.zone, order)
        if self.active:
            self.ledger.on_intent_recorded(order.order_id, offset, self.clock.now_ms)
            self.world.update_draining()

    def _settled(self, order):
        self.world.settle(self.zone, order)
        self.ledger.on_outcome_recorded(order.order_id)
        self.world.update_draining()

    def _send(self, order):
        attempt = self.ledger.on_sent(order.order_id, self.clock.now_ms)
        if self.world.rng.random() < self.world.failures.order_loss:
            return
        late = self.world.rng.random() < self.world.failures.order_late
        delay_ms = self.world.rng.uniform(500, 20_000) if late else ORDER_MS
        self.clock.after(delay_ms, self._arrive, order, attempt, self.clock.now_ms)

    def _arrive(self, order, attempt, sent_ms):
        now_ms = self.clock.now_ms
        engine = self.world.engines[order.engine]
        answer = engine.receive(order, sent_ms, now_ms)
        lost = self.world.rng.random() < self.world.failures.order_loss
        if now_ms - sent_ms > 5_000 or lost:
            answer = LOST
        if self.active:
            self.ledger.on_answer(order.order_id, attempt, answer, now_ms)

    def _ask(self, order, queried_ms):
        engine = self.world.engines[order.engine]
        state = engine.order_state(order.order_id, self.clock.now_ms)
        if self.active:
            self.ledger.on_state(order.order_id, state, queried_ms, self.clock.now_ms)
