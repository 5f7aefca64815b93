"""Tests of streams that go on at a VM which has not heard of a release yet."""

import asyncio

import pytest

from tests.fleet_world.world import IN_TOUCH_MS, START_MS, small_world

pytestmark = pytest.mark.usefixtures("quiet_logs")

# How a VM gets out of step: what it is cut from; None stands still, and () ends and
# starts again.
OUT_OF_STEP = {
    "cut from all": ("peers", "store"),
    "cut from peers": ("peers",),
    "cut from the store": ("store",),
    "stands still": None,
    "starts again": (),
}
# From the start of the callers to the disturbance, and from there to the release.
CALM_S = 0.8
RELEASE_S = 0.4


class Streams:
    """Streams that begin at some VMs, break, and are taken up at another one.

    Parameters
    ----------
    world : World
    stay_s : float
        Time from the first event of a stream to its break.
    """

    def __init__(self, world, stay_s):
        self.world = world
        self.stay_s = stay_s
        # (time, whether it went on) of each stream that was taken up.
        self.taken_up = []
        # (time, whether it began) of each new stream.
        self.begun = []
        self._jobs = set()

    async def run(self, seconds, name, per_s=40):
        """Begin streams at the other VMs, and take each up at one VM.

        Every fourth begins there and is taken up at another.
        """
        world = self.world
        end_ms = world.loop.true_ms + seconds * 1000
        while world.loop.true_ms < end_ms:
            pair = [world.rng.choice([vm for vm in world.vms if vm != name]), name]
            if len(self._jobs) % 4 == 0:
                pair.reverse()
            job = asyncio.create_task(self._run_one(*pair))
            job.add_done_callback(world.on_task_ended)
            self._jobs.add(job)
            await asyncio.sleep(1 / per_s)

    async def _run_one(self, first, second):
        world = self.world
        if first not in world.vms:
            return
        metadata = world.stream_metadata()
        begin_ms = world.loop.true_ms
        caller = await world.send_to(world.vms[first], metadata, self.stay_s)
        has_begun = caller.first_event_ms is not None
        self.begun.append((begin_ms, has_begun))
        if not has_begun:
            return
        again = world.stream_metadata(metadata.request_id)
        again.model = metadata.model
        begin_ms = world.loop.true_ms
        if second not in world.vms:
            return
        caller = await world.send_to(world.vms[second], again)
        self.taken_up.append((begin_ms, caller.first_event_ms is not None))

    @property
    def mixed(self):
        """Streams with events of replicas of two software versions."""
        found = self.world.stream_software.values()
        return sum(len(software) > 1 for software in found)

    @property
    def begun_at_new(self):
        """Streams with events of the new software version."""
        return sum("v2" in found for found in self.world.stream_software.values())


def share(outcomes, from_ms):
    """Return the share of good outcomes from a time on."""
    good = [is_good for at_ms, is_good in outcomes if at_ms >= from_ms]
    return sum(good) / len(good)


def run_release(vm, kinds, out_s, seed, stay_s=0.3, has_release=True, **config):
    """Let a VM get out of step while a new version joins.

    Returns
    -------
    (Streams, float)
        And the time from which the VM is in touch again.
    """
    # Other requests only keep the fleet busy.
    config.setdefault("requests_per_s", {"live": 4.0, "short": 4.0, "batch": 0.0})
    world = small_world(seed=seed, **config)
    streams = Streams(world, stay_s)
    run_s = CALM_S + out_s + IN_TOUCH_MS / 1000 + 2.0

    async def script(world):
        running = asyncio.create_task(streams.run(run_s, vm))
        await asyncio.sleep(CALM_S)
        if has_release:
            world.loop.call_later(RELEASE_S, world.add_release, "v2", 3)
        if kinds is None:
            await world.freeze_vm(vm, out_s)
        elif not kinds:
            await world.kill_vm(vm)
            await asyncio.sleep(out_s)
            world.add_vm(vm, world.network.zones[vm], True)
        else:
            await world.cut_paths(vm, kinds, out_s)
        await running

    world.run(run_s + 1.0, script)
    return streams, START_MS + (CALM_S + out_s) * 1000 + IN_TOUCH_MS


@pytest.mark.parametrize(("vm", "out_s"), [("vm-00", 6.0), ("vm-04", 1.5)])
@pytest.mark.parametrize("kinds", OUT_OF_STEP.values(), ids=OUT_OF_STEP)
def test_vm_out_of_step_does_not_join_two_versions(vm, out_s, kinds):
    """Guards against a VM that takes the only version it knows for the only one."""
    streams, in_touch_ms = run_release(vm, kinds, out_s, seed=5)
    assert streams.begun_at_new > 0
    assert streams.mixed == 0
    begun = share(streams.begun, in_touch_ms)
    assert share(streams.taken_up, in_touch_ms) >= begun / 2


def test_streams_go_on_beside_one_version():
    """Guards against streams that are given up although no release came."""
    streams, in_touch_ms = run_release("vm-04", ("store",), 2.0, 5, has_release=False)
    begun = share(streams.begun, in_touch_ms)
    assert share(streams.taken_up, in_touch_ms) >= begun / 2
