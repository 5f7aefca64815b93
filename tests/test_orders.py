"""State machine test of engine ledger and placement policy with fake engines."""

import heapq
import random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from bench.fake_engine import FakeEngine
from cassiamount.configuration import configuration_from_document
from cassiamount.demand import DemandRate
from cassiamount.engine_ledger import EngineLedger
from cassiamount.engine_orders import (
    LOAD_MODEL,
    MAX_ORDER_DELAY_MS,
    UNLOAD_MODEL,
    Order,
    QueryOrderState,
    RecordIntent,
    RecordOutcome,
    SendOrder,
)
from cassiamount.placement import PlacementPolicy
from cassiamount.placement_view import home_zones, views_of
from cassiamount.records import IntendOrder

MODELS = {"x": 40, "y": 40, "z": 30}
ENGINES = {"e1": "z1", "e2": "z1", "e3": "z2", "e4": "z2"}

PRELOADED = {"e1": "xz", "e2": "xy", "e3": "xy", "e4": "yz"}


def document(engines=ENGINES, models=MODELS, memory_mb=100):
    return {
        "zones": [{"name": zone, "weight": 1} for zone in ("z1", "z2")],
        "models": [
            {"name": name, "version": "1", "memory_mb": size, "load_ms": 1000}
            for name, size in models.items()
        ],
        "adapters": [],
        "backends": [
            {
                "name": name,
                "zone": zone,
                "address": f"127.0.0.1:{9000 + number}",
                "kind": "engine",
                "memory_mb": memory_mb,
                "accelerators": 1,
                "max_running": 4,
                "checks_fence": True,
            }
            for number, (name, zone) in enumerate(engines.items())
        ],
        "services": [],
        "policy": {"attainment_weight": 1.0, "fairness_weight": 1.0},
        "templates": [],
        "teams": [],
    }


class Holder:
    """Lease holder of a zone: runs the ledger's commands and the policy's plans."""

    def __init__(self, world, zone):
        self.world = world
        self.zone = zone
        self.active = True
        self.number = 0
        world.fence += 1
        self.name = f"h{world.fence}"
        self.ledger = EngineLedger(zone, world.now_ms)
        self.policy = PlacementPolicy(zone)
        homes = home_zones(world.configuration)
        self.ledger.set_configuration(world.configuration, homes, world.now_ms)
        self.policy.set_configuration(world.configuration, homes)
        self.ledger.rebuild(world.unsettled(zone), world.now_ms)

    def order(self, engine, action, name):
        self.number += 1
        order_id = f"{self.name}-{self.number}"
        order = Order(order_id, engine, action, name, "1", MODELS[name])
        self.run(self.ledger.intend(order, self.world.now_ms))

    def plan(self, demand):
        now_ms = self.world.now_ms
        demand = {name: DemandRate(rate, rate) for name, rate in demand.items()}
        for move in self.policy.plan(demand, views_of(self.ledger, now_ms), now_ms):
            self.order(move.engine, move.action, move.name)

    def step(self):
        """Try random orders, then carry out the ledger's due commands."""
        rng = self.world.rng
        for _ in range(self.world.random_orders):
            name = rng.choice(sorted(MODELS))
            engine = rng.choice([e for e, zone in ENGINES.items() if zone == self.zone])
            self.order(engine, rng.choice([LOAD_MODEL, UNLOAD_MODEL]), name)
        self.run(self.ledger.advance(self.world.now_ms))

    def run(self, commands):
        world, ledger = self.world, self.ledger
        for command in commands:
            order = command.order
            if isinstance(command, RecordIntent):
                offset = world.append(self.zone, self.intent(order))
                ledger.on_intent_recorded(order.order_id, offset, world.now_ms)
            elif isinstance(command, SendOrder):
                attempt = ledger.on_sent(order.order_id, world.now_ms)
                world.send(self, order, attempt)
            elif isinstance(command, QueryOrderState):
                world.ask(self, order)
            elif isinstance(command, RecordOutcome):
                world.settle(self.zone, order.order_id)
                ledger.on_outcome_recorded(order.order_id)

    def intent(self, order):
        return IntendOrder(
            order.order_id,
            self.name,
            order.order_id,
            order.engine,
            order.action,
            order.name,
            order.version,
            order.memory_mb,
            1,
        )


class World:
    """Fake engines, a fake log and a network that loses and delays messages."""

    def __init__(self, seed, fence_checks):
        self.rng = random.Random(seed)
        self.now_ms = 0.0
        self.fence = 0
        self.offset = 0
        self.intents = {}
        self.events = []
        self.sequence = 0
        self.loss = 0.0
        self.delays_ms = (1.0, 50.0)
        self.lag_ms = 200.0
        self.random_orders = 0
        self.configuration = configuration_from_document(document())
        fleet = []
        for name, checks_fence in zip(ENGINES, fence_checks, strict=True):
            engine = FakeEngine(name, 100, checks_fence, lambda *_: 1000.0, fleet)
            fleet.append(engine)
        self.engines = {engine.name: engine for engine in fleet}
        self.holders = {zone: Holder(self, zone) for zone in ("z1", "z2")}

    def append(self, zone, record):
        self.offset += 1
        self.intents[record.order_id] = (zone, self.offset, record)
        return self.offset

    def settle(self, zone, order_id):
        self.intents.pop(order_id, None)

    def unsettled(self, zone):
        return [(o, record) for z, o, record in self.intents.values() if z == zone]

    def schedule(self, delay_ms, action, *arguments):
        self.sequence += 1
        event = (self.now_ms + delay_ms, self.sequence, action, arguments)
        heapq.heappush(self.events, event)

    def send(self, holder, order, attempt):
        lost = self.rng.random() < self.loss
        answer_lost = self.rng.random() < self.loss
        if lost:
            return
        delay_ms = self.rng.choice(self.delays_ms)
        self.schedule(
            delay_ms, self.arrive, holder, order, attempt, answer_lost, self.now_ms
        )

    def arrive(self, holder, order, attempt, answer_lost, sent_ms):
        engine = self.engines[order.engine]
        answer = engine.receive(order, sent_ms, self.now_ms)
        waited_ms = self.now_ms - sent_ms
        if not answer_lost and holder.active and waited_ms < 1_000:
            holder.ledger.on_answer(order.order_id, attempt, answer, self.now_ms)

    def ask(self, holder, order):
        if self.rng.random() >= self.loss:
            delay_ms = self.rng.choice((1.0, 300.0))
            self.schedule(delay_ms, self.answer_state, holder, order, self.now_ms)

    def answer_state(self, holder, order, queried_ms):
        state = self.engines[order.engine].order_state(order.order_id, self.now_ms)
        delay_ms = self.rng.choice((1.0, 300.0))
        arguments = (order.order_id, state, queried_ms)
        self.schedule(delay_ms, self.deliver_state, holder, *arguments)

    def deliver_state(self, holder, order_id, state, queried_ms):
        if holder.active:
            holder.ledger.on_state(order_id, state, queried_ms, self.now_ms)

    def poll(self):
        for engine in self.engines.values():
            report = engine.report(self.now_ms)
            for holder in self.holders.values():
                lag_ms = self.rng.uniform(0, self.lag_ms)
                self.schedule(lag_ms, self.deliver, holder, report)

    def deliver(self, holder, report):
        if holder.active:
            holder.ledger.on_report(report, self.now_ms)

    def run(self, until_ms, step_ms=500.0):
        while self.now_ms < until_ms:
            self.poll()
            next_ms = min(until_ms, self.now_ms + step_ms)
            while self.events and self.events[0][0] <= next_ms:
                self.now_ms, _, action, arguments = heapq.heappop(self.events)
                action(*arguments)
            self.now_ms = next_ms
            for holder in self.holders.values():
                if holder.active:
                    holder.step()

    def violations(self):
        return [v for engine in self.engines.values() for v in engine.violations]


class OrdersMachine(RuleBasedStateMachine):
    """Guards against overcommitted memory and the loss of a model's last ready copy.

    Orders are lost, delayed and repeated, engines restart, reports lag, holders are
    replaced and the demand changes.
    """

    @initialize(
        seed=st.integers(0, 2**16),
        fence_checks=st.lists(st.booleans(), min_size=4, max_size=4),
    )
    def start(self, seed, fence_checks):
        self.world = World(seed, fence_checks)
        for engine, names in PRELOADED.items():
            for name in names:
                order = Order(name, engine, LOAD_MODEL, name, "1", MODELS[name])
                self.world.engines[engine].receive(order, 0.0, 0.0)
        self.world.run(10_000.0)

    @rule(duration_ms=st.sampled_from([500.0, 2_000.0, 6_000.0, 31_000.0]))
    def advance(self, duration_ms):
        world = self.world
        # Long periods use larger steps to limit the run time of an example.
        world.run(world.now_ms + duration_ms, max(500.0, duration_ms / 8))

    @rule(random_orders=st.sampled_from([0, 1, 3]))
    def set_random_orders(self, random_orders):
        self.world.random_orders = random_orders

    @rule(
        zone=st.sampled_from(["z1", "z2"]),
        demand=st.dictionaries(st.sampled_from(sorted(MODELS)), st.integers(1, 1000)),
    )
    def plan(self, zone, demand):
        self.world.holders[zone].plan(demand)

    @rule(
        loss=st.sampled_from([0.0, 0.3, 0.9]),
        delays_ms=st.sampled_from(
            [(1.0, 50.0), (1.0, 3_000.0), (5.0, 12_000.0, MAX_ORDER_DELAY_MS - 1)]
        ),
        lag_ms=st.sampled_from([100.0, 2_000.0, 4_900.0]),
    )
    def network(self, loss, delays_ms, lag_ms):
        self.world.loss = loss
        self.world.delays_ms = delays_ms
        self.world.lag_ms = lag_ms

    @rule(engine=st.sampled_from(sorted(ENGINES)))
    def restart(self, engine):
        self.world.engines[engine].restart(self.world.now_ms)

    @rule(zone=st.sampled_from(["z1", "z2"]))
    def take_over(self, zone):
        """The holder pauses until its lease has expired; a new one reads the log."""
        world = self.world
        old = world.holders[zone]
        old.active = False
        world.run(world.now_ms + 4_100.0)
        world.holders[zone] = Holder(world, zone)

    @invariant()
    @precondition(lambda self: hasattr(self, "world"))
    def engines_report_no_violations(self):
        assert self.world.violations() == []


OrdersMachine.TestCase.settings = settings(
    derandomize=True, max_examples=1_200, stateful_step_count=50, deadline=None
)
TestOrdersMachine = OrdersMachine.TestCase
