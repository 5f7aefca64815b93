"""Tests of a fleet before engines that name a request limit."""

import pytest

from tests.fleet_world import small_world

LIMIT_AT_S = 4.0
# Time after the first answer with a limit from which it binds.
LEARN_MS = 3_000.0
WINDOW_MS = 4_000.0
# Most requests in a window, as a multiple of what the limit allows, and beyond it.
MAX_FACTOR = 1.5
MAX_BEYOND = 5


pytestmark = pytest.mark.usefixtures("quiet_logs")


async def calm(world):
    return


async def cut_one_vm(world):
    await world.cut_vm("vm-02", 5.0)


async def restart_one_vm(world):
    await world.sleep(2.0)
    await world.kill_vm("vm-01")
    await world.sleep(2.0)
    world.add_vm("vm-01", "z1", True)


async def add_vms(world):
    await world.sleep(4.0)
    for index in range(7, 12):
        world.add_vm(f"vm-{index:02d}", f"z{index % 3}", True)


def play(seed, script, limits, seconds=25.0, **changes):
    """Let engines name limits, and check the rate of requests that they get."""
    world = small_world(seed=seed, **changes)

    async def run_script(world):
        await world.sleep(LIMIT_AT_S)
        for name, limit_per_s in limits.items():
            world.engines[name].limit_per_s = limit_per_s
        await script(world)

    world.run(seconds, run_script)
    for name, limit_per_s in limits.items():
        first_ms = min(
            at for (engine, _), at in world.told_ms.items() if engine == name
        )
        most = world.most_arrivals(name, first_ms + LEARN_MS, float("inf"), WINDOW_MS)
        allowed = MAX_FACTOR * limit_per_s * WINDOW_MS / 1000 + MAX_BEYOND
        assert most <= allowed, f"{name}: {most} in 4 s, allowed {allowed}"
    return world


@pytest.mark.parametrize(
    ("script", "limits", "changes"),
    [
        (calm, {"engine-00": 1.4}, {}),
        (calm, {"engine-00": 1.3, "engine-03": 5.0}, {}),
        (calm, {"engine-00": 0.3, "engine-01": 0.5, "engine-02": 9.0}, {}),
        (calm, dict.fromkeys((f"engine-{n:02d}" for n in range(6)), 2.5), {}),
        (cut_one_vm, {"engine-00": 1.4, "engine-04": 3.0}, {}),
        (restart_one_vm, {"engine-00": 1.4, "engine-04": 3.0}, {}),
        (add_vms, {"engine-00": 1.4, "engine-04": 3.0}, {}),
        (
            calm,
            {"engine-00": 1.4, "engine-04": 6.0},
            {
                "vms": 24,
                "large_vms": 3,
                "requests_per_s": {"live": 40.0, "short": 30.0, "batch": 4.0},
            },
        ),
    ],
    ids=[
        "one",
        "two",
        "low",
        "all",
        "vm-cut-off",
        "vm-restarted",
        "vms-added",
        "relayed-reports",
    ],
)
@pytest.mark.parametrize("seed", [1, 2])
def test_engine_gets_no_more_than_the_limit_that_it_names(
    seed, script, limits, changes
):
    """Guards against VMs that ignore a named limit, or each use all of it."""
    play(seed, script, limits, **changes)
