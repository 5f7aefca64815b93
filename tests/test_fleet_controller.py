"""Tests of the holder of the order lease against engines on virtual time."""

import asyncio
from types import SimpleNamespace

import pytest

from cassiamount.engine_state import ModelChange
from cassiamount.fleet_controller import (
    CHANGE_TIMEOUT_MS,
    MAX_REPORT_POLL_MS,
    FleetController,
)
from cassiamount.metadata_store import LeaseReply
from tests.fleet_world import World, WorldConfig

SMALL = {"vms": 2, "large_vms": 0, "engines": 3, "first_holder": "vm-00"}


@pytest.fixture
def hung_unload():
    """A holder that waits for an unload at an engine whose requests never end."""
    world = World(WorldConfig(**SMALL, requests_per_s={"live": 0.001}))
    engine = "engine-00"

    async def script(world):
        controller = world.vms["vm-00"]._controller
        (placement,) = controller._placements.values()
        state = placement.engines[engine]
        victim = next(iter(state.ready))
        world.engines[engine]._unload = hang
        world.vms["vm-00"].state.view.backends[engine].own_requests_by_target = {
            victim: 1
        }
        now_ms = world.loop.true_ms
        change = ModelChange(engine, "model000200", (victim,), 9.0, False, now_ms)
        placement.start_change(state, change, now_ms)
        world.vms["vm-00"].totals.clear()
        controller._start_change(placement, change)

    async def hang(model):
        await asyncio.sleep(1_000.0)

    return world, script


def test_engine_that_does_not_unload_is_not_asked_all_the_time(hung_unload):
    """Guards against report requests that fill the holder's link."""
    world, script = hung_unload
    world.run(CHANGE_TIMEOUT_MS / 1000, script)
    asked = world.duties["engine_reports"]
    assert 1 < asked <= CHANGE_TIMEOUT_MS / MAX_REPORT_POLL_MS + 10


class SlowStore:
    """Store whose joins are answered when the test says so."""

    def __init__(self):
        self.calls = []
        self.joining = asyncio.Event()
        self.go = asyncio.Event()

    async def join_lease(self, member, ttl_ms, generation):
        self.joining.set()
        await self.go.wait()
        self.calls.append("join")
        return LeaseReply(1, True)

    async def leave_lease(self, member):
        self.calls.append("leave")


async def test_vm_that_stops_leaves_the_lease_for_good():
    """Guards against a join on its way that makes an ended VM a member again."""
    lease = SimpleNamespace(
        generation=0, release=lambda now_ms: None, on_answer=lambda *answer: False
    )
    state = SimpleNamespace(
        lease=lease,
        settings=SimpleNamespace(vm_name="v1", min_lease_ms=1_000),
        stopping=False,
        seeks_lease=lambda is_member: True,
        now_ms=lambda: 0.0,
        on_store_response=lambda reached: None,
    )
    store = SlowStore()
    controller = FleetController(state, store, None, None, None, None, None)
    renewing = asyncio.create_task(controller.renew_lease())
    await store.joining.wait()
    state.stopping = True
    releasing = asyncio.create_task(controller.release_lease())
    await asyncio.sleep(0)
    store.go.set()
    async with asyncio.timeout(30):
        await asyncio.gather(renewing, releasing)
    assert store.calls == ["join", "leave"]
