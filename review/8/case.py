"""VMs go on answering when a prompt of many parts crashes replicas."""

import asyncio
import itertools
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness_2 import (  # noqa: E402
    TROUBLE,
    Replica,
    configuration,
    exchange,
    model_service,
    plain_service,
    play,
    request,
    route,
)

MODEL = "daka510000"
# Parts of the long prompt: with them its head stays below MaxHeaderBytes (16,384).
PARTS = int(os.environ.get("PARTS", "1950"))
ID_DIGITS = int(os.environ.get("ID_DIGITS", "4"))
# Other long prompts, which each VM serves before.
OTHERS = int(os.environ.get("OTHERS", "9"))
BAD_REQUESTS = 6
BAD_EVERY_S = 2.0
BACK_AFTER_S = 3.0
TIMEOUT_MS = 1500
# What the rule allows after the route's time.
AFTER_MS = 500
MAX_HEADER_BYTES = 16384

numbers = itertools.count(1)


def new_id():
    """Return a new request id."""
    return f"{next(numbers):016x}"


def part(number):
    """Return a part of a prompt, by its number."""
    return f"{(number * 2654435761 + 77) % 16**ID_DIGITS:0{ID_DIGITS}x}:12"


def document(number):
    """Return the parts of a long prompt that its requests share."""
    return [part(number * 5000 + index) for index in range(PARTS)]


BAD = "dead" + "0" * (ID_DIGITS - 4)


class CrashingReplica(Replica):
    """Crashes as it begins to write an answer on the bad part, if it does."""

    crashes = 0

    async def stream(self, head, writer):
        """Crash on the bad part, else answer."""
        parts = head.get("x-cassiamount-prefix-hash").split(",")
        if TROUBLE and any(item.startswith(BAD + ":") for item in parts[:-1]):
            await asyncio.sleep(self.work_s)
            CrashingReplica.crashes += 1
            self.crash()
            self.store_task = asyncio.create_task(self.come_back(BACK_AFTER_S))
            return
        await super().stream(head, writer)


def stream_request(parts):
    """Return the id and the bytes of a request with some parts."""
    request_id = new_id()
    own = f"{int(request_id, 16) + 2**28:08x}:40"
    more = [
        ("X-Cassiamount-Model", MODEL),
        ("X-Cassiamount-Token-Usage", f"{12 * len(parts) + 40},60"),
        ("X-Cassiamount-Prefix-Hash", ",".join([*parts, own])),
    ]
    data = request("/lohu930/2f", request_id, limit_ms=12000, more=more)
    assert data.index(b"\r\n\r\n") < MAX_HEADER_BYTES
    return request_id, data


class Traffic:
    """Lookups and streams with short prompts, at all VMs."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.lookups = []
        self.streams = []
        self.tasks = set()
        self.ends = asyncio.Event()

    def begin(self, work):
        """Run a client beside the others."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def run(self):
        """Send lookups and short prompts until told to end."""
        vms = itertools.cycle(self.deployment.vms)
        while not self.ends.is_set():
            vm = next(vms)
            self.begin(self.look_up(vm))
            if next(numbers) % 3 == 0:
                self.begin(self.ask(vm, [part(1), part(2)], "sound-short"))
            await asyncio.sleep(0.04)
        await asyncio.gather(*self.tasks)

    async def look_up(self, vm):
        """Send one lookup to the plain service."""
        request_id = new_id()
        data = request("/cufi504/fi50/2f", request_id, "GET", limit_ms=3000)
        sent_s = self.deployment.record.now_s()
        answer = await exchange(vm.callers, data, 8.0)
        self.lookups.append((vm.name, sent_s, answer))
        self.deployment.record.write(
            "lookup",
            vm=vm.name,
            id=request_id,
            sent=f"{sent_s:.3f}",
            status=answer.status or answer.error,
            took_ms=round(1000 * answer.took_s),
        )

    async def ask(self, vm, parts, what):
        """Send one prompt."""
        request_id, data = stream_request(parts)
        answer = await exchange(vm.callers, data, 14.0)
        self.deployment.record.write(
            what,
            vm=vm.name,
            id=request_id,
            parts=len(parts) + 1,
            status=answer.status or answer.error,
            took_ms=round(1000 * answer.took_s),
        )
        return answer


async def case(deployment):
    """Play the case; return what broke the rule."""
    for number in range(3):
        await deployment.add_replica("orders-app", number)
    for number in range(6):
        replica = CrashingReplica(
            deployment.store,
            deployment.record,
            "loom-llm",
            deployment.zones[number % 3],
            number,
            models=[MODEL],
            slots=48,
        )
        await replica.start()
        deployment.replicas.append(replica)
    routes = [
        route("r-1", "/cufi504/", "idempotent", "orders-app", TimeoutMs=TIMEOUT_MS),
        route(
            "r-2",
            "/lohu930/",
            "streaming",
            "loom-llm",
            TimeoutMs=12000,
            GoalMs=400,
            Priority=1,
            Sticky=True,
            Resumable=False,
            GapGoalMs=200,
        ),
    ]
    services = [plain_service("orders-app"), model_service("loom-llm", [MODEL])]
    deployment.store.put("keyed.op", "config", configuration(7, routes, services))
    await deployment.start_vms()
    traffic = Traffic(deployment)
    running = asyncio.create_task(traffic.run())
    good = document(1)
    # Sound requests on the same document, then on others, at each VM.
    for number in [1, *range(2, 2 + OTHERS)]:
        asked = [
            traffic.ask(vm, document(number), "sound-long") for vm in deployment.vms
        ]
        await asyncio.gather(*asked)
    await asyncio.sleep(2.0)
    deployment.record.write("crashing-requests-begin")
    middle = PARTS // 2
    bad = [*good[:middle], BAD + ":12", *good[middle + 1 :]]
    for number in range(BAD_REQUESTS):
        vm = deployment.vms[number % len(deployment.vms)]
        traffic.begin(traffic.ask(vm, bad, "with-the-part"))
        await asyncio.sleep(BAD_EVERY_S)
    await asyncio.sleep(6.0)
    # Sound requests on the same document again.
    for vm in deployment.vms:
        await traffic.ask(vm, good, "sound-long")
    await asyncio.sleep(1.0)
    traffic.ends.set()
    await running
    return judge(deployment, traffic)


def judge(deployment, traffic):
    """CONFIG: of what is unanswered at TimeoutMs, over half is 0.5 s later too."""
    unanswered = late = 0
    for _, _, answer in traffic.lookups:
        took_ms = 1000 * answer.took_s
        if took_ms > TIMEOUT_MS:
            unanswered += 1
            late += took_ms > TIMEOUT_MS + AFTER_MS
    deployment.record.write(
        "sum",
        lookups=len(traffic.lookups),
        unanswered_at_timeout=unanswered,
        half_a_second_later=late,
        crashes=CrashingReplica.crashes,
        slowest_ms=round(max(1000 * a.took_s for _, _, a in traffic.lookups)),
    )
    print("lookups", len(traffic.lookups), "unanswered", unanswered, "late", late)
    if late >= 8 and 2 * late > unanswered:
        return [f"CONFIG: {late} of {unanswered} have no answer at TimeoutMs + 0.5 s"]
    return []


if __name__ == "__main__":
    play(Path(__file__).resolve().parent, case)
