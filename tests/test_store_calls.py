"""Tests of how often the VMs of a large fleet call the metadata store."""

import asyncio
import collections

import pytest

from cassiamount.order_lease import LEASE_CANDIDATES, RENEW_INTERVAL_MS
from tests.fleet_world import World, WorldConfig

SECONDS = 4
VMS = 40

pytestmark = pytest.mark.usefixtures("quiet_logs")


def make_world(**changes):
    """Return a world of VMs in four zones whose callers send almost nothing."""
    values = {
        "vms": VMS,
        "large_vms": 8,
        "zones": 4,
        "engines": 12,
        "models": 30,
        "live_models": 20,
        "busy_models": 8,
        "first_holder": None,
        "requests_per_s": {"live": 1.0, "short": 1.0, "batch": 1.0},
    }
    values.update(changes)
    return World(WorldConfig(**values))


def test_few_vms_call_the_store_at_the_start():
    """Guards against a start of the fleet in which every VM reads all streams."""
    world = make_world()
    calls = collections.Counter()
    world.store.on_call = lambda vm, name: calls.update([name])
    world.run(0.1)
    # Each VM registers, and one writes the software versions of the only service.
    assert calls["put"] == VMS + 1
    assert calls["newest"] <= VMS


@pytest.mark.parametrize("zones", [1, 3, 5])
def test_vms_of_zones_without_seeds_hear_of_each_other(zones):
    """Guards against a zone whose VMs each take themselves for its relay.

    The first three VMs are the seeds.
    """
    world = make_world(zones=zones)
    known = {}

    async def look(world):
        for name, vm in world.vms.items():
            known[name] = {s.vm for s in vm.state.peers.live_states(vm.state.now_ms())}

    world.run(0.1, look)
    for name in world.vms:
        assert known[name] == world.vms.keys() - {name}


def test_few_vms_ask_for_the_order_lease():
    """Guards against calls to the store in proportion to the fleet."""
    world = make_world()
    asking = set()

    async def count(world):
        world.store.on_call = lambda vm, name: asking.add(vm) if name == "join" else 0
        await asyncio.sleep(SECONDS)

    world.run(SECONDS, count)
    # The holder may be none of the candidates.
    assert 1 <= len(asking) <= LEASE_CANDIDATES + 1


def test_holder_that_comes_back_to_the_store_causes_no_gap():
    """Guards against a lease that passes to a VM which no longer asks for it.

    The last holder is no candidate; it may get the lease back with its first renewal.
    """
    world = make_world(first_holder=f"vm-{LEASE_CANDIDATES + 1:02d}")
    gaps_ms = [0.0]

    async def cut(world):
        await asyncio.sleep(2.0)
        world.store.refused.add(world.store.first_holder)
        await asyncio.sleep(4.0)
        world.store.refused.clear()
        while True:
            if any(vm.state.lease.granted for vm in world.vms.values()):
                gaps_ms.append(0.0)
            await asyncio.sleep(0.05)
            gaps_ms[-1] += 50.0

    world.run(12, cut)
    assert max(gaps_ms) <= 2 * RENEW_INTERVAL_MS


@pytest.mark.parametrize("how", ["killed", "refused"])
def test_lease_passes_on_when_all_candidates_are_lost(how):
    """Guards against a fleet without a holder because nobody else asks."""
    world = make_world()
    seen = {}

    async def lose(world):
        candidates = [n for n, vm in world.vms.items() if vm.state.seeks_lease(True)]
        assert len(candidates) < VMS / 2
        seen["before"] = set(candidates)
        for name in candidates:
            if how == "killed":
                await world.kill_vm(name)
            else:
                world.store.refused.add(name)
        await asyncio.sleep(6 * RENEW_INTERVAL_MS / 1000 + 3.0)
        seen["holders"] = [n for n, vm in world.vms.items() if vm.state.may_order()]

    world.run(8, lose)
    assert len(seen["holders"]) == 1
    if how == "killed":
        assert seen["before"].isdisjoint(seen["holders"])
