"""A part that crashes replicas is kept from them among many long prompts."""

import asyncio
import itertools
import os
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness_2 import (  # noqa: E402
    TROUBLE,
    Replica,
    configuration,
    exchange,
    model_service,
    play,
    request,
    route,
)

MODEL = "daka510000"
PARTS = int(os.environ.get("PARTS", "700"))
TOKENS = 58_500 // PARTS
DOCUMENTS = 24
REPLICAS = 6
# Sound requests a second at each VM.
SOUND_PER_S = float(os.environ.get("RATE", "22"))
# Time from a request to its first token: some 58,000 tokens at 29.4 a ms.
PREFILL_S = 2.0
BAD_EVERY_S = 1.5
BAD_REQUESTS = 24
BACK_AFTER_S = 2.0
STABILITY_S = 3.0
# The rule: so many may reach replicas from then on.
MOST_ARRIVALS = 3
COUNTED_FROM = 5
BAD = "deadbeef"

numbers = itertools.count(1)


def document(number):
    """Return the parts of a long prompt that its requests share."""
    first = number * 5000
    return [
        f"{(first + index) * 2654435761 % 16**8:08x}:{TOKENS}" for index in range(PARTS)
    ]


class CrashingReplica(Replica):
    """Crashes as it begins to write an answer on the bad part."""

    crashes_s = []
    arrivals_s = []

    async def stream(self, head, writer):
        """Crash on the bad part, else answer."""
        parts = head.get("x-cassiamount-prefix-hash").split(",")
        is_bad = any(item.startswith(BAD + ":") for item in parts[:-1])
        if is_bad:
            CrashingReplica.arrivals_s.append(self.record.now_s())
            self.record.write("arrival-with-the-part", replica=self.name)
        if is_bad and TROUBLE:
            await asyncio.sleep(self.work_s)
            headers = self.answer_headers(head)
            lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream"]
            lines += [f"{name}: {value}" for name, value in headers]
            writer.write(
                "\r\n".join([*lines, "Transfer-Encoding: chunked", "", ""]).encode()
            )
            await writer.drain()
            await asyncio.sleep(0.01)
            if self.is_up:
                CrashingReplica.crashes_s.append(self.record.now_s())
                self.crash()
                self.return_task = asyncio.create_task(self.come_back(BACK_AFTER_S))
            return
        await super().stream(head, writer)


def stream_request(parts):
    """Return the id and the bytes of a request with some parts."""
    request_id = f"{next(numbers):016x}"
    more = [
        ("X-Cassiamount-Model", MODEL),
        ("X-Cassiamount-Token-Usage", f"{TOKENS * len(parts) + 40},60"),
        ("X-Cassiamount-Prefix-Hash", ",".join([*parts, f"{request_id[8:]}:40"])),
    ]
    body = f"question {request_id}".encode()
    return request_id, request(
        "/lohu930/2f", request_id, "POST", body, limit_ms=12000, more=more
    )


class Load:
    """Sound requests on the documents at all VMs."""

    def __init__(self, deployment, documents):
        self.deployment = deployment
        self.documents = documents
        self.answers = []
        self.ends = asyncio.Event()
        self.tasks = set()

    def begin(self, vm, parts, what):
        """Run a client beside the others."""
        task = asyncio.create_task(self.ask(vm, parts, what))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def ask(self, vm, parts, what):
        """Send one prompt."""
        request_id, data = stream_request(parts)
        answer = await exchange(vm.callers, data, 14.0)
        self.answers.append((what, answer))
        self.deployment.record.write(
            what,
            vm=vm.name,
            id=request_id,
            status=answer.status or answer.error,
            took_ms=round(1000 * answer.took_s),
        )

    async def run(self):
        """Send sound prompts until told to end."""
        rng = random.Random(7)
        vms = itertools.cycle(self.deployment.vms)
        while not self.ends.is_set():
            self.begin(next(vms), rng.choice(self.documents), "sound")
            await asyncio.sleep(1 / SOUND_PER_S / len(self.deployment.vms))
        await asyncio.gather(*self.tasks)


async def case(deployment):
    """Play the case; return what broke the rule."""
    for number in range(REPLICAS):
        replica = CrashingReplica(
            deployment.store,
            deployment.record,
            "loom-llm",
            deployment.zones[number % 3],
            number,
            models=[MODEL],
            slots=48,
        )
        replica.work_s = PREFILL_S
        replica.events = 6
        await replica.start()
        deployment.replicas.append(replica)
    routes = [
        route(
            "r-2",
            "/lohu930/",
            "streaming",
            "loom-llm",
            TimeoutMs=12000,
            GoalMs=3000,
            Priority=1,
            Sticky=True,
            Resumable=False,
            GapGoalMs=200,
        )
    ]
    services = [model_service("loom-llm", [MODEL])]
    tenants = [
        {
            "Name": "hule930",
            "ApiKeys": ["i9n73hh2b9wu3fexd9dn"],
            "Priority": 1,
            "Unit": "token_count",
            "RawTokens": 200,
            "RatePerS": 40_000_000,
            "Burst": 40_000_000,
        }
    ]
    version = configuration(7, routes, services, tenants)
    deployment.store.put("keyed.op", "config", version)
    await deployment.start_vms()
    documents = [document(number + 1) for number in range(DOCUMENTS)]
    load = Load(deployment, documents)
    running = asyncio.create_task(load.run())
    await asyncio.sleep(5.0)
    deployment.record.write("crashing-requests-begin")
    for number in range(BAD_REQUESTS):
        vm = deployment.vms[number % len(deployment.vms)]
        good = documents[number % DOCUMENTS]
        middle = PARTS // 2
        bad = [*good[:middle], f"{BAD}:{TOKENS}", *good[middle + 1 :]]
        load.begin(vm, bad, "with-the-part")
        await asyncio.sleep(BAD_EVERY_S)
    load.ends.set()
    await running
    return judge(deployment, load)


def judge(deployment, load):
    """BUDGET: from StabilityMs after the fifth crash few more reach replicas."""
    crashes, late = CrashingReplica.crashes_s, []
    if len(crashes) >= COUNTED_FROM:
        from_s = crashes[COUNTED_FROM - 1] + STABILITY_S
        late = [at_s for at_s in CrashingReplica.arrivals_s if at_s > from_s]
    sound = [answer for what, answer in load.answers if what == "sound"]
    lost = sum(answer.status != 200 or bool(answer.error) for answer in sound)
    deployment.record.write(
        "sum",
        crashes=len(crashes),
        arrivals_later=len(late),
        sound=len(sound),
        lost=lost,
    )
    print(
        "crashes", len(crashes), "later", len(late), "sound", len(sound), "lost", lost
    )
    if len(late) > MOST_ARRIVALS:
        return [f"BUDGET: {len(late)} requests with the part reached replicas later"]
    return []


if __name__ == "__main__":
    play(Path(__file__).resolve().parent, case)
