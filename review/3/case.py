"""Requests with one prompt part crash each replica that begins to answer them."""

import asyncio
import random
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness  # noqa: E402

# The part that crashes replicas, and how often a request with it comes.
PART = "dead0001"
POISON_PER_S = 1.5
# A replica is back after this time.
BACK_S = 3.0
TRAFFIC_S = 50.0
STABILITY_S = 3.0


class FragileReplica(harness.Replica):
    """A model replica that crashes when it begins to write an answer on a part."""

    crashes = None
    arrivals = None

    async def _stream(self, head, writer):
        parts = head.headers.get("x-cassiamount-prefix-hash", "")
        if PART not in parts or not harness.TROUBLE:
            if PART in parts:
                self.arrivals.append(self.record.now())
            await super()._stream(head, writer)
            return
        self.arrivals.append(self.record.now())
        await asyncio.sleep(0.02)
        lines = ["HTTP/1.1 200 OK", "content-type: text/event-stream"]
        lines += [f"{name}: {value}" for name, value in self.marks(head)]
        lines.append("transfer-encoding: chunked")
        event = b"id: 1\ndata: v1 1\n\n"
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        writer.write(b"%x\r\n%b\r\n" % (len(event), event))
        await writer.drain()
        await asyncio.sleep(0.005)
        asyncio.get_running_loop().create_task(self.crash())
        await asyncio.sleep(1)

    async def crash(self):
        """End, and start again under the same name after some seconds."""
        if self._server is None:
            return
        self.crashes.append(self.record.now())
        self.record.say(f"{self.name} crashes, {self.running} requests run there")
        self.silent.add(self.name)
        await self.stop()
        await asyncio.sleep(BACK_S)
        # It restarts empty, with copies of the models on its disk.
        self.restart()
        await self.start()
        self.silent.discard(self.name)
        self.store.put("keyed.servers", self.name, self.entry())
        self.record.write(f"{self.name} is back")


async def poison(d, until_s, replies):
    """Send requests with the part, no two alike, to any machine."""
    rng = random.Random(2)
    tasks = set()
    while d.record.now() < until_s:
        await asyncio.sleep(rng.expovariate(POISON_PER_S))
        headers = [
            ("X-Cassiamount-Model", rng.choice(d.models)),
            ("X-Cassiamount-Token-Usage", "700,280"),
            (
                "X-Cassiamount-Prefix-Hash",
                f"aaaa0001:100,{PART}:100,{rng.randrange(1 << 32):x}:500",
            ),
        ]
        vm = rng.choice([vm for vm in d.vms if vm.ready] or d.vms)
        request = d.request(vm, "guide", limit_s=12, gap_s=2, headers=headers)
        task = asyncio.create_task(request)
        tasks.add(task)
        task.add_done_callback(tasks.discard)


async def play(folder):
    """Play the case; return whether the rule was broken."""
    d = harness.Deployment(folder, vms=3)
    callers = harness.Callers(d)
    crashes, arrivals = [], []
    for replica in d.engines:
        replica.__class__ = FragileReplica
        replica.crashes, replica.arrivals = crashes, arrivals
        replica.silent, replica.store = d.silent, d.store
    try:
        await d.start()
        flows = callers.start(TRAFFIC_S)
        await asyncio.sleep(3)
        flows.append(asyncio.create_task(poison(d, d.record.now() + 40, [])))
        await asyncio.gather(*flows)
        await asyncio.sleep(2)
        callers.say()
        return judge(d, crashes, arrivals, callers)
    finally:
        callers.stop()
        await d.close()


def judge(d, crashes, arrivals, callers):
    """Check the rule: three requests with the part after the fifth crash."""
    d.record.say(
        f"{len(crashes)} crashes, {len(arrivals)} requests with the part arrived"
    )
    lost = [
        r
        for route, _, r in callers.replies
        if route in ("guide", "plan") and r.status == 200 and not r.whole
    ]
    d.record.say(f"sound streams broken off: {len(lost)}")
    if len(crashes) < 5:
        return False
    late = [at for at in arrivals if at > crashes[4] + STABILITY_S]
    d.record.say(f"later than StabilityMs after the fifth crash: {len(late)}")
    return len(late) > 3


if __name__ == "__main__":
    harness.main(FOLDER, play)
