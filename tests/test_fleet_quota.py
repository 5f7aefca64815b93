"""Tests of what a team gets from all VMs together, counted at the engines."""

import pytest

from tests.fleet_world import small_world
from tests.fleet_world.world import START_MS

RATE_TOKENS_PER_S = 8_000.0
BURST_TOKENS = 8_000.0
WINDOW_MS = 8_000.0
ALLOWED_TOKENS = (RATE_TOKENS_PER_S * WINDOW_MS / 1000 + BURST_TOKENS) * 1.1 + 7_400.0
# Part of the rate that a team gets which always asks for more.
MIN_RATE_FRACTION = 0.7

pytestmark = pytest.mark.usefixtures("quiet_logs")


def make_world(**changes):
    """Return a world whose only team asks for five times its rate."""
    return small_world(
        team_rate_tokens_per_s=RATE_TOKENS_PER_S,
        team_burst_tokens=BURST_TOKENS,
        **changes,
    )


async def calm(world):
    return


async def cut_zone(world, seconds=8.0):
    """Cut a zone from the other ones; all reach the store."""
    await world.sleep(2.0)
    world.network.cut_zones.add("z0")
    await world.sleep(seconds)
    world.network.cut_zones.clear()


async def restart(world, names):
    """Kill some VMs at once; they start again a second later."""
    zones = {name: world.network.zones[name] for name in names}
    for name in names:
        await world.kill_vm(name)
    await world.sleep(1.0)
    for name in names:
        world.add_vm(name, zones[name], True)


async def restart_in_cut_zone(world):
    """Restart the VMs of a zone while the other zones are out of reach."""
    await world.sleep(2.0)
    world.network.cut_zones.add("z0")
    await world.sleep(1.0)
    await restart(world, [n for n in world.vms if world.network.zones[n] == "z0"])
    await world.sleep(8.0)
    world.network.cut_zones.clear()


async def restart_one_in_cut_zone(world):
    await world.sleep(2.0)
    world.network.cut_zones.add("z0")
    await world.sleep(1.0)
    await restart(world, ["vm-03"])
    await world.sleep(8.0)
    world.network.cut_zones.clear()


async def restart_all_while_cut(world):
    """Restart all VMs while one zone is out of reach of the others."""
    await world.sleep(2.0)
    world.network.cut_zones.add("z0")
    await restart(world, list(world.vms))
    await world.sleep(9.0)
    world.network.cut_zones.clear()


async def restart_while_refused(world):
    """Restart VMs that the store turns away and that reach only one other VM."""
    await world.sleep(2.0)
    world.store.refused = {"vm-03", "vm-06"}
    world.network.cut_zones.add("z0")
    await restart(world, ["vm-03", "vm-06"])
    await world.sleep(8.0)
    world.network.cut_zones.clear()
    world.store.refused = set()


@pytest.mark.parametrize("zones", [1, 2, 3])
@pytest.mark.parametrize("lost_seeds", [0, 2])
def test_vms_of_a_small_fleet_hear_of_each_other(zones, lost_seeds):
    """Guards against VMs that know only the seeds and those that contact them."""
    world = make_world(zones=zones)
    known = {}

    async def look(world):
        for name in [f"vm-{n:02d}" for n in range(lost_seeds)]:
            await world.kill_vm(name)
        if lost_seeds:
            await restart(world, ["vm-05", "vm-06"])
            await world.sleep(3.0)
        for name, vm in world.vms.items():
            live = vm.state.peers.live_states(vm.state.now_ms())
            known[name] = {state.vm for state in live}

    world.run(5.0 if lost_seeds else 0.1, look)
    for name in world.vms:
        assert known[name] == world.vms.keys() - {name}


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize(
    "script",
    [
        calm,
        cut_zone,
        restart_in_cut_zone,
        restart_one_in_cut_zone,
        restart_all_while_cut,
        restart_while_refused,
    ],
)
def test_team_gets_its_rate_and_burst_and_no_more(script, seed):
    """Guards against a limit exceeded by VMs that have not heard of the others."""
    world = make_world(seed=seed)
    world.run(16.0, script)
    assert world.most_tokens(WINDOW_MS) <= ALLOWED_TOKENS
    got = world.tokens_between(START_MS, world.loop.true_ms)
    assert got >= MIN_RATE_FRACTION * RATE_TOKENS_PER_S * 16.0


def test_team_with_a_limit_waits_until_all_vms_are_known():
    """Guards against a VM that uses a limit without knowing who shares it."""
    world = make_world()
    arrived = []

    async def forget(world):
        await world.sleep(1.0)
        for vm in world.vms.values():
            vm.state.knows_fleet = False
        # What was admitted before is on its way.
        from_ms = world.loop.true_ms + 1_000.0
        await world.sleep(2.0)
        arrived.extend(at_ms for at_ms, _, _ in world.arrivals if at_ms >= from_ms)
        assert not any(vm.ready() for vm in world.vms.values())

    world.run(4.0, forget)
    assert world.runs
    assert arrived == []
