"""Replicas in trouble send heads that do not end."""

import asyncio
import random
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import harness  # noqa: E402

# Two of six model replicas are in trouble: `garble` has a share of 0.35 and more.
IN_TROUBLE = 2
# Share of their answers that is spoiled: `srv_grey` has an x of 0.45.
SPOILED = 0.45
# Length of one trouble: `srv_grey` lasts 6.5 s. It comes more than once.
TROUBLE_S = 6.5
PAUSE_S = 5.0
TIMES = 6
# All bytes of one replica together, well below the 1,000 Mbit/s of a link.
SPEED_BYTES_S = 60e6
PART = b"a" * 65_536
# The rule: so many ends of a process on so many machines.
ENDS = 3
MACHINES = 2


class EndlessHead(harness.Replica):
    """A replica that begins some answers with a head that does not end."""

    in_trouble = False
    begun = 0
    rng = random.Random(5)

    async def run(self, head, reader, writer):
        """Answer a request of a caller."""
        if not self.in_trouble or self.rng.random() >= SPOILED:
            return await super().run(head, reader, writer)
        request_id = head.headers["x-cassiamount-request-id"]
        self.record.write(f"{self.name} begins an endless head for {request_id}")
        self.begun += 1
        try:
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nX-Trace: ")
            while not writer.transport.is_closing():
                writer.write(PART)
                await writer.drain()
                await asyncio.sleep(len(PART) * self.begun / SPEED_BYTES_S)
        finally:
            self.begun -= 1
        return False


async def play(folder):
    """Play the case; return whether the rule was broken."""
    d = harness.Deployment(folder)
    d.engines = [
        EndlessHead(old.name, old.service, old.zone, old.port, d.record, old.models)
        for old in d.engines
    ]
    callers = harness.Callers(d)
    try:
        await d.start()
        flows = callers.start(3 + TIMES * (TROUBLE_S + PAUSE_S))
        await asyncio.sleep(3)
        for _ in range(TIMES):
            for replica in d.engines[:IN_TROUBLE]:
                replica.in_trouble = harness.TROUBLE
            d.record.say(f"trouble: {harness.TROUBLE}")
            await asyncio.sleep(TROUBLE_S)
            for replica in d.engines:
                replica.in_trouble = False
            d.record.say("trouble ends")
            await asyncio.sleep(PAUSE_S)
        await asyncio.gather(*flows)
        callers.say()
        for vm in d.vms:
            d.record.say(
                f"{vm.name}: {len(vm.own_ends)} ends, at most {vm.peak_mb} MB"
                f" of {harness.MEMORY_MB}"
            )
        ended = sum(len(vm.own_ends) >= ENDS for vm in d.vms)
        return ended >= MACHINES
    finally:
        callers.stop()
        await d.close()


harness.main(FOLDER, play)
