"""Tests of the placement task with a fake log, fake engines and a fake lease."""

import asyncio

import pytest

from cassiamount.clock import ManualClock
from cassiamount.configuration import configuration_from_document
from cassiamount.demand import DemandTracker
from cassiamount.dispatch_messages import LoadReported
from cassiamount.engine_orders import ACCEPTED, STATE_DONE
from cassiamount.errors import (
    AppendOutcomeUnknown,
    OrderOutcomeUnknown,
    PlatformUnavailable,
)
from cassiamount.load_report import LoadReport
from cassiamount.mailbox import Mailbox
from cassiamount.placement_messages import PlacementTick
from cassiamount.placement_task import PlacementTask
from cassiamount.placement_view import home_zones
from cassiamount.records import IntendOrder
from cassiamount.weight_store_client import WeightStoreLimits
from tests.test_orders import ENGINES, document


class World:
    """Fake appender, engines and lease; records appends and orders in `events`."""

    fence = 1

    def __init__(self):
        self.clock = ManualClock()
        self.events = []
        self.append_errors = []
        self.order_errors = []
        self.until_ms = float("inf")

    def usable(self, now_ms):
        return now_ms < self.until_ms

    async def append(self, record):
        self.events.append(type(record).__name__)
        if self.append_errors:
            raise self.append_errors.pop(0)
        return len(self.events)

    async def order(self, address, order):
        self.events.append(f"order {order.fence}")
        if self.order_errors:
            raise self.order_errors.pop(0)
        return ACCEPTED

    async def order_state(self, address, order_id):
        return STATE_DONE


async def run(world, before=None, seconds=10, limits=None):
    """Run a task on empty engines for `seconds` of virtual time, and return it."""
    configuration = configuration_from_document(document())
    mailbox = Mailbox("placement")
    task = PlacementTask(
        "z1", "v@1", world, (), configuration, mailbox, world, world, world.clock
    )
    if limits is not None:
        task._apply(limits)
    for second in range(seconds * 10):
        world.clock.advance(100.0)
        if before is not None and second == seconds * 5:
            before(world)
        for engine in ENGINES:
            report = LoadReport(
                engine, "i", memory_capacity_mb=100, as_of_ms=world.clock.now_ms
            )
            task._apply(LoadReported(report))
        task._apply(PlacementTick())
        for _ in range(6):
            await asyncio.sleep(0)
            for message in mailbox.drain():
                task._apply(message)
    for call in task._background_tasks:
        call.cancel()
    return task


def home_models():
    homes = home_zones(configuration_from_document(document()))
    return [name for name, zone in homes.items() if zone == "z1"]


async def test_intent_is_recorded_before_the_order_and_the_outcome_after():
    """Guards against an order that the next holder can't find in the log."""
    world = World()
    await run(world)
    assert home_models()
    assert world.events[:3] == ["IntendOrder", "order 2", "SettleOrder"]


async def test_loads_keep_to_the_limits_of_the_weight_store():
    """Guards against loads beyond the limits that the weight store reports.

    With weight 1 of 2, the zone may start half of 0.03 loads/s: one load in 67 s.
    """
    slow, fast = World(), World()
    await run(slow, seconds=60, limits=WeightStoreLimits(0.03, 1))
    await run(fast, seconds=60)
    assert slow.events.count("IntendOrder") == 1
    assert fast.events.count("IntendOrder") > 1


async def test_nothing_is_sent_after_the_lease_expires():
    """Guards against orders by a holder that was paused past its lease."""
    world = World()
    world.order_errors = [OrderOutcomeUnknown("lost")] * 1_000

    def expire(world):
        world.until_ms = world.clock.now_ms
        world.events.clear()

    await run(world, expire, seconds=30)
    assert not any(event.startswith("order") for event in world.events)


async def test_lease_that_ends_before_the_call_starts_sends_nothing():
    """Guards against an order after a pause between the lease check and the call."""
    world = World()
    usable = [True, False]
    world.usable = lambda now_ms: usable.pop(0) if usable else False
    await run(world)
    assert not any(event.startswith("order") for event in world.events)


@pytest.mark.parametrize(
    ("error", "appends"),
    [(PlatformUnavailable("down"), 2), (AppendOutcomeUnknown("lost"), 1)],
)
async def test_failed_append_sends_no_order(error, appends):
    """Guards against an order without a recorded intent, and against two intents.

    An intent whose append has an unknown outcome has to stay unsettled.
    """
    world = World()
    world.append_errors = [error] * 1_000
    task = await run(world)
    assert not any(event.startswith("order") for event in world.events)
    assert world.events.count("IntendOrder") >= appends
    unsettled = task.ledger.unsettled()
    assert bool(unsettled) == isinstance(error, AppendOutcomeUnknown)


async def test_unsettled_intents_are_taken_over():
    """Guards against reuse of memory that a predecessor's load reserved."""
    world = World()
    configuration = configuration_from_document(document())
    intent = IntendOrder("i", "old", "o", "e1", "load_model", "x", "1", 40, 1)
    task = PlacementTask(
        "z1",
        "v@1",
        world,
        [(5, intent)],
        configuration,
        Mailbox("placement"),
        world,
        world,
        world.clock,
    )
    assert task.ledger.reserved_mb("e1") == 40


def test_demand_survives_lost_and_restarted_reporters():
    """Guards against demand counted twice, or not at all after a lost report."""
    tracker = DemandTracker()
    for total in (1_000, 2_000, 2_000, 4_000):
        tracker.on_totals("v@1", {"m": total})
    tracker.on_totals("v@2", {"m": 50})
    tracker.on_totals("v@2", {"m": 1_050})
    rate = tracker.rates(0.0)["m"]
    assert rate.current_tokens_per_s == pytest.approx(4_000 / 5.0)
    later = tracker.rates(20_000.0)["m"]
    assert later.current_tokens_per_s < 20 < later.sustained_tokens_per_s * 2
