"""A replica in trouble begins streams with an event that does not end."""

import asyncio
import random
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import harness  # noqa: E402

# One of six model replicas is in trouble, for 0.45 of its answers (`srv_grey`).
SPOILED = 0.45
TROUBLE_S = 6.5
PAUSE_S = 8.0
TIMES = 4
# All bytes of the replica together, a tenth of the 1,000 Mbit/s of a link.
SPEED_BYTES_S = 10e6
PIECE = b"10\r\n" + b"a" * 16 + b"\r\n"
PART = PIECE * 700
# The rule: the route's `TimeoutMs`, and half a second later.
TIMEOUT_S = 0.8
LATER_S = 0.5
# Fewer requests than this don't count here; the rule itself names no number.
LEAST = 8


class EndlessEvent(harness.Replica):
    """A replica that begins some streams with an event that does not end."""

    in_trouble = False
    begun = 0
    rng = random.Random(5)

    async def run(self, head, reader, writer):
        """Answer a request of a caller."""
        is_model = "x-cassiamount-model" in head.headers
        if not self.in_trouble or not is_model or self.rng.random() >= SPOILED:
            return await super().run(head, reader, writer)
        request_id = head.headers["x-cassiamount-request-id"]
        self.record.write(f"{self.name} begins an endless event for {request_id}")
        self.begun += 1
        lines = ["HTTP/1.1 200 OK", "content-type: text/event-stream"]
        lines += [f"{name}: {value}" for name, value in self.marks(head)]
        lines.append("transfer-encoding: chunked")
        try:
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
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
    old = d.engines[0]
    d.engines[0] = replica = EndlessEvent(
        old.name, old.service, old.zone, old.port, d.record, old.models
    )
    callers = harness.Callers(d)
    try:
        await d.start()
        flows = callers.start(3 + TIMES * (TROUBLE_S + PAUSE_S))
        await asyncio.sleep(3)
        for _ in range(TIMES):
            replica.in_trouble = harness.TROUBLE
            d.record.say(f"trouble: {harness.TROUBLE}")
            await asyncio.sleep(TROUBLE_S)
            replica.in_trouble = False
            d.record.say("trouble ends")
            await asyncio.sleep(PAUSE_S)
        await asyncio.gather(*flows)
        await asyncio.sleep(2)
        callers.say()
        plain = [
            reply for route, _, reply in callers.replies if route in ("order", "look")
        ]
        late = [reply for reply in plain if reply.took_s > TIMEOUT_S]
        later = [reply for reply in late if reply.took_s > TIMEOUT_S + LATER_S]
        d.record.say(
            f"of {len(plain)} requests with a TimeoutMs of 800, {len(late)} had no"
            f" answer at it, and {len(later)} of these none half a second later"
        )
        return len(late) >= LEAST and 2 * len(later) > len(late)
    finally:
        callers.stop()
        await d.close()


harness.main(FOLDER, play)
