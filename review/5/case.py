"""A request that crashes replicas comes again with another query."""

import asyncio
import random
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import harness  # noqa: E402

BODY = b'{"panel": "seam 7"}'
# A replica is back after this time.
BACK_S = 3.0
DEADLY_PER_S = 1.0
SOUND_PER_S = 10.0
LENGTH_S = 45.0
# The rule counts from the third crash and `StabilityMs` later.
CRASHES = 3
STABILITY_S = 3.0
MOST = 3


class CrashingReplica(harness.Replica):
    """A replica that ends when it begins to run one request."""

    crashes_s = []
    reached_s = []
    is_down = False

    async def run(self, head, reader, writer):
        """Answer a request of a caller."""
        if head.body != BODY:
            return await super().run(head, reader, writer)
        self.reached_s.append(self.record.now())
        await asyncio.sleep(0.02)
        if not harness.TROUBLE:
            return await super().run(head, reader, writer)
        if not self.is_down:
            self.is_down = True
            self.crashes_s.append(self.record.now())
            self.record.say(f"{self.name} crashes by {head.first}")
            asyncio.create_task(self.crash())
        await asyncio.sleep(1)
        return False

    async def crash(self):
        """End, and come back."""
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
    d = harness.Deployment(folder, engines=1)
    d.plain = [
        CrashingReplica(old.name, old.service, old.zone, old.port, d.record)
        for old in d.plain
    ]
    for replica in d.plain:
        replica.deployment = d
    rng = random.Random(1)
    tasks = set()
    counts = {}

    async def send(body, path):
        vm = rng.choice([vm for vm in d.vms if vm.ready] or d.vms)
        reply = await d.request(vm, "order", limit_s=1.5, body=body, path=path)
        key = ("deadly" if body == BODY else "sound", reply.status, reply.error)
        counts[key] = counts.get(key, 0) + 1

    async def flow(per_s, is_deadly):
        number = 0
        until_s = d.record.now() + LENGTH_S
        while d.record.now() < until_s:
            await asyncio.sleep(1 / per_s)
            number += 1
            body = BODY if is_deadly else b"order %d" % number
            task = asyncio.create_task(send(body, f"/order/x?try={number}"))
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
            return False
        from_s = crashes_s[CRASHES - 1] + STABILITY_S
        late = [at_s for at_s in CrashingReplica.reached_s if at_s > from_s]
        d.record.say(
            f"{len(crashes_s)} crashes; {len(late)} times the request reached a replica"
            f" later than StabilityMs after the third"
        )
        return len(late) > MOST
    finally:
        for task in list(tasks):
            task.cancel()
        await d.close()


harness.main(FOLDER, play)
