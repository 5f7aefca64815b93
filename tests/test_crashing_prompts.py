"""Tests of a fleet that gets requests whose prompts end engines."""

import pytest

from cassiamount.crash_quarantine import MIN_CRASHES
from tests.fleet_world import STAGES, small_world

# Crashes after which the fleet must know the part.
MAX_CRASHES = 5
# Crashing requests that may reach engines once the fleet must have learned of them.
MAX_ARRIVALS = 3
# Time from the crash that suffices until then, and until others are served again.
LEARN_MS = 3_000.0
RECOVER_MS = 2 * LEARN_MS
# Share of the rate at which the others' first attempts began before.
MIN_SHARE = 0.5
MIN_REQUESTS = 20


pytestmark = pytest.mark.usefixtures("quiet_logs")


async def cut_one_vm(world):
    await world.sleep_until_crashes(1)
    await world.cut_vm("vm-02", 6.0)


async def restart_one_vm(world):
    await world.sleep_until_crashes(2)
    await world.kill_vm("vm-01")
    await world.sleep(3.0)
    world.add_vm("vm-01", "z1", True)


async def add_late_vm(world):
    await world.sleep_until_crashes(3)
    await world.sleep(6.0)
    world.add_vm("vm-07", "z0", True)


async def restart_all_vms(world):
    await world.sleep_until_crashes(3)
    await world.sleep(6.0)
    names = list(world.vms)
    for name in names:
        await world.kill_vm(name)
    for index, name in enumerate(names):
        world.add_vm(name, f"z{index % 3}", True)


async def crash_other_engines(world):
    for name in ("engine-00", "engine-03", "engine-04"):
        await world.sleep(1.5)
        if name in world.engines:
            world.crash_engine(name)


SCRIPTS = [
    None,
    cut_one_vm,
    restart_one_vm,
    add_late_vm,
    restart_all_vms,
    crash_other_engines,
]


def check(world, learned_from, parts):
    """Check the bounds on crashing requests and on all others.

    Parameters
    ----------
    world : World
    learned_from : int
        Crash from which the fleet has to learn.
    parts : sequence of str
        First parts of the other requests.
    """
    crashes = world.crashes_ms
    if len(crashes) >= learned_from:
        learned_ms = crashes[learned_from - 1] + LEARN_MS
        arrivals = [
            at_ms
            for at_ms, vm in world.crashing_arrivals
            if at_ms > learned_ms and world.in_touch(vm, at_ms)
        ]
        assert len(arrivals) <= MAX_ARRIVALS, f"{len(arrivals)} more, {len(crashes)}"
    recovered_ms = crashes[min(learned_from, len(crashes)) - 1] + RECOVER_MS
    for part in parts:
        before = world.begun(part, 0.0, crashes[0])
        after = world.begun(part, recovered_ms, float("inf"))
        if min(len(before), len(after)) >= MIN_REQUESTS:
            share = sum(after) / len(after) / (sum(before) / len(before))
            assert share >= MIN_SHARE, f"{part}: {share:.2f} of the share before"


@pytest.mark.parametrize(
    "script", SCRIPTS, ids=lambda s: getattr(s, "__name__", "calm")
)
@pytest.mark.parametrize("seed", [1, 2])
def test_prompt_part_that_ends_engines_is_kept_from_them(seed, script):
    """Guards against requests with one prompt part that end engine after engine."""
    world = small_world(
        seed=seed,
        requests_per_s={"live": 18.0, "short": 16.0, "batch": 2.0},
        crashing_per_s=0.8,
    ).run(40.0, script)
    assert world.crashes_ms
    check(world, MAX_CRASHES, ("live", "short"))


def play_crashing(**changes):
    """Play a fleet whose engines are soon back, and check that few of them end."""
    world = small_world(
        seed=3,
        requests_per_s={"live": 18.0, "short": 16.0, "batch": 2.0},
        crashing_per_s=1.5,
        restart_s=1.0,
        **changes,
    ).run(20.0)
    assert MIN_CRASHES <= len(world.crashes_ms) <= MAX_CRASHES
    check(world, MAX_CRASHES, ("live", "short"))


@pytest.mark.parametrize("stage", STAGES[1:])
def test_part_is_found_however_much_of_an_answer_was_written(stage):
    """Guards against engines that end in the middle of an answer, unnoticed."""
    play_crashing(crash_stage=stage)


@pytest.mark.parametrize("stage", STAGES[:3])
def test_part_is_found_if_requests_differ_in_their_prompts_only(stage):
    """Guards against a prompt that is taken for another one with the same body."""
    play_crashing(crash_stage=stage, same_bodies=True)


@pytest.mark.parametrize(("shared_parts", "place"), [(40, 39), (200, None)])
def test_part_is_found_at_any_place_of_a_long_prompt(shared_parts, place):
    """Guards against parts behind the first ones, which are never suspected."""
    play_crashing(shared_parts=shared_parts, crashing_place=place)
