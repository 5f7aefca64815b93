"""A server in trouble sends an event without end, in small pieces of a chunked body."""

import asyncio
import random
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness  # noqa: E402

# One replica of six spoils this share of its answers for so long, as `srv_grey` does.
TROUBLE_S = 6.5
SHARE = 0.45
TRAFFIC_S = 26.0
# Bytes of each piece, and of all pieces a second; a link carries 125 MB a second.
PIECE_BYTES = 8
BYTES_PER_S = 1_000_000
# The bound of the rule: the route's TimeoutMs, and half a second.
TIMEOUT_S = 0.8
LATE_S = TIMEOUT_S + 0.5


class EndlessReplica(harness.Replica):
    """A model replica that, while it is in trouble, sends no end of an event."""

    in_trouble = False
    rng = random.Random(4)

    async def _stream(self, head, writer):
        if not self.in_trouble or self.rng.random() >= SHARE:
            await super()._stream(head, writer)
            return
        request_id = head.headers["x-cassiamount-request-id"]
        lines = ["HTTP/1.1 200 OK", "content-type: text/event-stream"]
        lines += [f"{name}: {value}" for name, value in self.marks(head)]
        lines.append("transfer-encoding: chunked")
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        self.record.write(f"{self.name} begins an event without end for {request_id}")
        piece = b"%x\r\n%b\r\n" % (PIECE_BYTES, b"x" * PIECE_BYTES)
        pieces = piece * (BYTES_PER_S // 20 // PIECE_BYTES)
        sent = 0
        try:
            # Until the caller closes.
            while True:
                writer.write(pieces)
                await writer.drain()
                sent += len(pieces)
                await asyncio.sleep(0.05)
        finally:
            self.record.write(f"{self.name} wrote {sent} bytes for {request_id}")


async def play(folder):
    """Play the case; return whether the rule was broken."""
    # The machines and the rates of the sheet of ncl-sewfloor.
    d = harness.Deployment(folder, vms=7)
    harness.RATES.update(guide=36, plan=4, order=18, look=7)
    callers = harness.Callers(d)
    try:
        await d.start()
        flows = callers.start(TRAFFIC_S)
        await asyncio.sleep(4)
        bad = d.engines[0]
        bad.__class__ = EndlessReplica
        bad.in_trouble = harness.TROUBLE
        d.record.say(f"{bad.name} in trouble: {bad.in_trouble}")
        await asyncio.sleep(TROUBLE_S)
        bad.in_trouble = False
        d.record.say(f"{bad.name} is sound again")
        await asyncio.gather(*flows)
        await asyncio.sleep(2)
        callers.say()
        return judge(d, callers)
    finally:
        callers.stop()
        await d.close()


def judge(d, callers):
    """Check the rule on requests to the plain service, whose replicas are all sound."""
    plain = [reply for route, _, reply in callers.replies if route in ("order", "look")]
    slow = [r for r in plain if r.took_s > TIMEOUT_S]
    late = [r for r in slow if r.took_s > LATE_S]
    d.record.say(
        f"plain requests {len(plain)}, unanswered at TimeoutMs {len(slow)}, "
        f"still unanswered half a second later {len(late)}"
    )
    lost = [r for route, _, r in callers.replies if route == "guide" and not r.whole]
    d.record.say(f"streams without an end: {len(lost)}")
    return len(late) >= 8 and 2 * len(late) > len(slow)


if __name__ == "__main__":
    harness.main(FOLDER, play)
