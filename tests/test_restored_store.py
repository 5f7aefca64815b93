"""Tests of a fleet whose metadata store comes back from an older copy."""

import asyncio

import orjson
import pytest

from cassiamount.metadata_store import BACKENDS, CONFIGURATION, VMS
from tests.fleet_world import small_world

# Bounds of the platform: a change is in force, a withdrawn key is refused everywhere, a
# leaving engine gets nothing more; the first and the last hold for VMs in touch.
CONFIG_APPLY_MS = 2_000.0
REVOKE_MS = 5_000.0
DRAIN_MS = 2_000.0
STABILITY_MS = 3_000.0
SAMPLE_S = 0.05
KEYS = ["key-0", "key-1", "key-2", "key-3"]


pytestmark = pytest.mark.usefixtures("quiet_logs")


class Observer:
    """Changes a fleet's configuration and engines, and samples what its VMs do."""

    def __init__(self, world):
        self.world = world
        self.version = 1
        # Version -> time of its acknowledgement.
        self.acked_ms = {}
        # Key -> time at which its withdrawal was acknowledged.
        self.withdrawn_ms = {}
        # Engine -> time at which its leaving was last acknowledged.
        self.left_ms = {}
        self.gone = set()
        # Spans during which the store was away or not written again yet.
        self.unstable = []
        # Fencing token -> VMs that sent orders under it.
        self.holders = {}
        self.keys = list(KEYS)
        self.faults = []
        self._seen = {}

    def now_ms(self):
        return self.world.loop.true_ms

    def publish(self, withdraw=False):
        """Add a route, and take a key away if asked to."""
        self.version += 3
        if withdraw:
            self.withdrawn_ms[self.keys.pop()] = self.now_ms()
        self.acked_ms[self.version] = self.now_ms()
        self.write_configuration()

    def write_configuration(self):
        document = orjson.loads(self.world.configuration)
        document["Version"] = self.version
        document["Tenants"] = [{"Name": "t", "ApiKeys": self.keys}]
        first = document["Routes"][0]
        for number in range(self.version):
            route = {**first, "Name": f"r{number}", "PathPrefix": f"/r{number}/"}
            document["Routes"].append(route)
        self.world.store.put(CONFIGURATION, "config", orjson.dumps(document))

    async def drain(self, name):
        """Let an engine announce that it leaves, and be gone two seconds later."""
        self.world.drain_engine(name)
        self.left_ms[name] = self.now_ms()
        await asyncio.sleep(2.5)
        del self.world.engines[name]
        await self.unlist(name)

    async def unlist(self, name):
        """Remove an engine's entry as soon as the store takes it."""
        while not self.world.store.up:
            await asyncio.sleep(SAMPLE_S)
        self.gone.add(name)
        self.left_ms[name] = self.now_ms()
        self.world.store.put(BACKENDS, name, None)

    async def restore(self, away_s, age_s, rewrite_s):
        """Let the store be away, and come back as it was before."""
        store = self.world.store
        store.up = False
        begin_ms = self.now_ms()
        span = [begin_ms, float("inf")]
        self.unstable.append(span)
        await asyncio.sleep(away_s)
        store.restore(age_s)
        store.up = True
        await asyncio.sleep(rewrite_s)
        self.write_configuration()
        for name in self.gone:
            store.put(BACKENDS, name, None)
        span[1] = begin_ms + away_s * 1000

    def in_touch(self, vm):
        """Return whether store and VM have been undisturbed for some time."""
        now_ms = self.now_ms()
        return self.world.in_touch(vm, now_ms) and not any(
            begin_ms <= now_ms <= end_ms + STABILITY_MS
            for begin_ms, end_ms in self.unstable
        )

    async def watch(self):
        """Sample all VMs until the end."""
        for engine in self.world.engines.values():
            engine.record_order = self._record_order
        while True:
            for vm in list(self.world.vms.values()):
                self._sample(vm)
            await asyncio.sleep(SAMPLE_S)

    def _record_order(self, order):
        self.holders.setdefault(order.fence, set()).add(order.holder)

    def _sample(self, vm):
        state, now_ms = vm.state, self.now_ms()
        name = state.settings.vm_name
        seen = self._seen.setdefault(id(vm), {"version": 0, "left": set()})
        if state.configuration is None:
            return
        version = state.configuration.version
        if version < seen["version"]:
            self.faults.append(f"{name}: {version} after {seen['version']}")
        seen["version"] = version
        if state.key_freshness.is_fresh(now_ms):
            for key, at_ms in self.withdrawn_ms.items():
                if now_ms > at_ms + REVOKE_MS and state.configuration.team_of(key):
                    self.faults.append(f"{name}: {key} runs after its withdrawal")
        for acked, at_ms in self.acked_ms.items():
            due_ms = at_ms + CONFIG_APPLY_MS
            if now_ms > due_ms and self.in_touch(name) and version < acked:
                self.faults.append(f"{name}: {version} although {acked} was published")
        usable = {n for n, v in state.view.backends.items() if not v.leaving}
        seen["left"] |= self.left_ms.keys() - usable
        if seen["left"] & usable:
            self.faults.append(f"{name}: {seen['left'] & usable} came back")
        for engine, at_ms in self.left_ms.items():
            late = now_ms > at_ms + DRAIN_MS and self.in_touch(name)
            if late and engine in usable:
                self.faults.append(f"{name}: {engine} is still used")
        if self.in_touch(name):
            live = {n for n, e in self.world.engines.items() if not e.draining}
            if not live <= state.view.backends.keys():
                self.faults.append(f"{name}: lacks {live - state.view.backends.keys()}")


async def calm(observer):
    await observer.restore(2.0, 9.0, 0.4)


async def short_outage(observer):
    """Come back before any VM has noticed, with an era's offsets given out again."""
    await observer.restore(0.05, 4.0, 0.1)


async def cut_one_vm(observer):
    asyncio.create_task(observer.world.cut_vm("vm-02", 5.0))
    await observer.restore(2.0, 8.0, 0.6)


async def restart_one_vm(observer):
    asyncio.create_task(_restart(observer.world, ["vm-01"], 1.9))
    await observer.restore(2.0, 8.0, 0.9)


async def restart_all_vms(observer):
    asyncio.create_task(_restart(observer.world, list(observer.world.vms), 1.0))
    await observer.restore(2.0, 8.0, 0.5)


async def refuse_one_vm(observer):
    """Leave one VM in the old era, which its peers and later the store end."""
    world = observer.world
    world.store.refused.add("vm-03")
    world.record_disturbance("vm-03", world.loop.true_ms, world.loop.true_ms + 8_000)
    await observer.restore(2.0, 8.0, 0.5)
    await world.sleep(4.0)
    world.store.refused.clear()


async def refuse_one_zone(observer):
    """Leave a zone in the old era that also lacks the last change."""
    world = observer.world
    names = ["vm-00", "vm-03", "vm-06"]
    world.network.cut_zones.update({"z0", "z1"})
    world.store.refused.update(names)
    for name in world.vms:
        world.record_disturbance(name, world.loop.true_ms, world.loop.true_ms + 5_000)
    observer.publish(withdraw=True)
    await observer.restore(2.0, 6.0, 0.5)
    await world.sleep(2.0)
    world.network.cut_zones.clear()
    world.store.refused.clear()


async def two_restores(observer):
    await observer.restore(1.0, 6.0, 0.3)
    await observer.world.sleep(0.7)
    await observer.restore(1.0, 7.0, 0.3)


async def _restart(world, names, delay_s):
    await world.sleep(delay_s)
    for name in names:
        await world.kill_vm(name)
    for name in names:
        world.add_vm(name, f"z{int(name[3:]) % 3}", True)


SCRIPTS = [
    calm,
    short_outage,
    cut_one_vm,
    restart_one_vm,
    restart_all_vms,
    refuse_one_vm,
    refuse_one_zone,
    two_restores,
]


def play(script, seed):
    """Play changes before, during and after a script; return what was observed."""
    world = small_world(
        seed=seed, requests_per_s={"live": 4.0, "short": 4.0, "batch": 0.5}
    )
    observer = Observer(world)

    async def run(world):
        watching = asyncio.create_task(observer.watch())
        watching.add_done_callback(world.on_task_ended)
        await world.sleep(1.0 + world.rng.random())
        observer.publish()
        await world.sleep(2.0 + world.rng.random())
        observer.publish(withdraw=True)
        drains = [asyncio.create_task(observer.drain("engine-01"))]
        await world.sleep(2.0 + world.rng.random())
        observer.publish(withdraw=True)
        drains.append(asyncio.create_task(observer.drain("engine-04")))
        await world.sleep(1.0 + world.rng.random())
        await script(observer)
        await world.sleep(4.0 + world.rng.random())
        observer.publish(withdraw=True)
        drains.append(asyncio.create_task(observer.drain("engine-02")))
        await world.sleep(4.0)
        observer.publish()
        await asyncio.gather(*drains)

    world.run(26.0, run)
    return observer


@pytest.mark.parametrize("script", SCRIPTS, ids=lambda script: script.__name__)
@pytest.mark.parametrize("seed", [1, 2])
def test_store_from_an_older_copy_reverts_nothing(seed, script):
    """Guards against lost or reverted changes after the store lost what it had."""
    observer = play(script, seed)
    assert not observer.faults, observer.faults[:5]
    assert not {f: h for f, h in observer.holders.items() if len(h) > 1}
    registered = {record.key for record in observer.world.store.streams[VMS]}
    assert observer.world.vms.keys() <= registered
