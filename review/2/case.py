"""A server in trouble sends a header without end."""

import asyncio
import random
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness  # noqa: E402

# One replica of six spoils this share of its answers, as `srv_grey` does, which may
# come more than once.
TROUBLE_S = 6.5
PAUSE_S = 1.0
TIMES = 5
SHARE = 0.45
TRAFFIC_S = 46.0
# Processes that end by themselves so often, on so many machines, are a fault.
ENDS = 3
MACHINES = 2
# What the replica's own link carries (1,000 Mbit/s), shared by all its answers.
LINK_BYTES_PER_S = 110_000_000


class EndlessReplica(harness.Replica):
    """A model replica that, while it is in trouble, sends no end of a header."""

    in_trouble = False
    endless = 0
    rng = random.Random(4)

    async def _stream(self, head, writer):
        if not self.in_trouble or self.rng.random() >= SHARE:
            await super()._stream(head, writer)
            return
        request_id = head.headers["x-cassiamount-request-id"]
        self.record.write(f"{self.name} begins a header without end for {request_id}")
        writer.write(b"HTTP/1.1 200 OK\r\nX-Note: ")
        data = b"x" * 262_144
        sent = 0
        self.endless += 1
        next_s = time.monotonic()
        try:
            # Until the caller closes.
            while True:
                writer.write(data)
                await writer.drain()
                sent += len(data)
                next_s += len(data) * self.endless / LINK_BYTES_PER_S
                now_s = time.monotonic()
                next_s = max(next_s, now_s)
                await asyncio.sleep(next_s - now_s)
        finally:
            self.endless -= 1
            self.record.write(f"{self.name} wrote {sent} bytes for {request_id}")


async def play(folder):
    """Play the case; return whether the rule was broken."""
    d = harness.Deployment(folder, vms=7)
    harness.RATES.update(guide=36, plan=4, order=18, look=7)
    callers = harness.Callers(d)
    try:
        await d.start()
        flows = callers.start(TRAFFIC_S)
        await asyncio.sleep(4)
        bad = d.engines[1]
        bad.__class__ = EndlessReplica
        for _ in range(TIMES):
            bad.in_trouble = harness.TROUBLE
            d.record.say(f"{bad.name} in trouble: {bad.in_trouble}")
            await asyncio.sleep(TROUBLE_S)
            bad.in_trouble = False
            d.record.say(f"{bad.name} is sound again")
            await asyncio.sleep(PAUSE_S)
        await asyncio.gather(*flows)
        await asyncio.sleep(2)
        callers.say()
        return judge(d)
    finally:
        callers.stop()
        await d.close()


def judge(d):
    """Check the rule on the ends of processes on machines without a disturbance."""
    for vm in d.vms:
        d.record.say(f"{vm.name}: peak {vm.peak_mb} MB, own ends {len(vm.own_ends)}")
    return sum(len(vm.own_ends) >= ENDS for vm in d.vms) >= MACHINES


if __name__ == "__main__":
    harness.main(FOLDER, play)
