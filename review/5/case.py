"""The 33rd part of prompts crashes replicas."""

import asyncio
import random
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import harness  # noqa: E402

# The parts that sound requests and crashing ones share, and the one that crashes.
SHARED = ",".join(f"aa{number:06x}:10" for number in range(32))
DEADLY = "deadbeef"
# A replica is back after this time.
BACK_S = 3.0
DEADLY_PER_S = 1.0
SOUND_PER_S = 15.0
LENGTH_S = 45.0
# The rule counts from the fifth crash and `StabilityMs` later.
CRASHES = 5
STABILITY_S = 3.0
MOST = 3


class CrashingReplica(harness.Replica):
    """A model replica that ends when it begins an answer on one part."""

    crashes_s = []
    reached_s = []
    is_down = False

    async def run(self, head, reader, writer):
        """Answer a request of a caller."""
        parts = head.headers.get("x-cassiamount-prefix-hash", "").split(",")
        if DEADLY not in {part.partition(":")[0] for part in parts[:-1]}:
            return await super().run(head, reader, writer)
        self.reached_s.append(self.record.now())
        await asyncio.sleep(0.02)
        model = head.headers["x-cassiamount-model"]
        if not harness.TROUBLE or model not in self.models:
            return await super().run(head, reader, writer)
        if not self.is_down:
            self.is_down = True
            self.crashes_s.append(self.record.now())
            self.record.say(f"{self.name} crashes")
            asyncio.create_task(self.crash())
        await asyncio.sleep(1)
        return False

    async def crash(self):
        """End, and come back empty."""
        self.deployment.silent.add(self.name)
        await self.stop()
        await asyncio.sleep(BACK_S)
        self.restart()
        self.is_down = False
        await self.start()
        self.deployment.store.put("keyed.servers", self.name, self.entry())
        self.deployment.silent.discard(self.name)


async def play(folder):
    """Play the case; return whether the rule was broken."""
    d = harness.Deployment(folder, plain=1)
    d.engines = [
        CrashingReplica(old.name, old.service, old.zone, old.port, d.record, old.models)
        for old in d.engines
    ]
    for replica in d.engines:
        replica.deployment = d
    rng = random.Random(1)
    tasks = set()
    counts = {}

    async def send(is_deadly):
        vm = rng.choice([vm for vm in d.vms if vm.ready] or d.vms)
        own = f"{rng.randrange(1 << 32):x}:300"
        parts = f"{SHARED},{DEADLY}:10,{own}" if is_deadly else f"{SHARED},{own}"
        headers = [
            ("X-Cassiamount-Model", rng.choice(d.models)),
            ("X-Cassiamount-Token-Usage", "640,100"),
            ("X-Cassiamount-Prefix-Hash", parts),
        ]
        reply = await d.request(vm, "guide", limit_s=12, gap_s=2, headers=headers)
        key = ("crashing" if is_deadly else "sound", reply.status, reply.error)
        counts[key] = counts.get(key, 0) + 1

    async def flow(per_s, is_deadly):
        until_s = d.record.now() + LENGTH_S
        while d.record.now() < until_s:
            await asyncio.sleep(1 / per_s)
            task = asyncio.create_task(send(is_deadly))
            tasks.add(task)
            task.add_done_callback(tasks.discard)

    try:
        await d.start()
        await asyncio.sleep(1)
        await asyncio.gather(flow(DEADLY_PER_S, True), flow(SOUND_PER_S, False))
        await asyncio.sleep(2)
        for key, count in sorted(counts.items(), key=str):
            d.record.say(f"callers: {key} {count}")
        crashes_s = CrashingReplica.crashes_s
        if len(crashes_s) < CRASHES:
            d.record.say(f"{len(crashes_s)} crashes")
            return False
        from_s = crashes_s[CRASHES - 1] + STABILITY_S
        late = [at_s for at_s in CrashingReplica.reached_s if at_s > from_s]
        d.record.say(
            f"{len(crashes_s)} crashes; {len(late)} requests with the part reached a"
            f" replica later than StabilityMs after the fifth"
        )
        return len(late) > MOST
    finally:
        for task in list(tasks):
            task.cancel()
        await d.close()


harness.main(FOLDER, play)
