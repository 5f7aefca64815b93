"""A request that crashes replicas comes again, each time with another query."""

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
    plain_service,
    play,
    request,
    route,
)

PATH = "/cufi504/fi50/2f"
# 0: it comes with the same query each time, which the VMs know again.
OTHER_QUERY = os.environ.get("OTHER_QUERY", "1") != "0"
BAD_REQUESTS = 24
BAD_EVERY_S = 1.5
BACK_AFTER_S = 3.0
STABILITY_S = 3.0
# The rule: so many may reach replicas from then on.
MOST_ARRIVALS = 3
COUNTED_FROM = 3
SOUND_EVERY_S = 0.05

numbers = itertools.count(1)


class CrashingReplica(Replica):
    """Crashes as it begins to run the request."""

    crashes_s = []
    arrivals_s = []

    async def run(self, head, body, reader, writer):
        """Crash on the request, else run it."""
        path = head.first.split(" ")[1].partition("?")[0]
        if path == PATH:
            CrashingReplica.arrivals_s.append(self.record.now_s())
            self.record.write("arrival", replica=self.name, target=head.first)
            if TROUBLE:
                await asyncio.sleep(0.005)
                if self.is_up:
                    CrashingReplica.crashes_s.append(self.record.now_s())
                    self.crash()
                    self.return_task = asyncio.create_task(self.come_back(BACK_AFTER_S))
                return
        await super().run(head, body, reader, writer)


async def send(deployment, vm, target, what, method="GET", body=b"", done=None):
    """Send a request on a new channel and note its answer."""
    request_id = f"{next(numbers):016x}"
    data = request(target, request_id, method, body)
    answer = await exchange(vm.callers, data, 2.0)
    deployment.record.write(
        what,
        vm=vm.name,
        id=request_id,
        target=target,
        status=answer.status or answer.error,
        took_ms=round(1000 * answer.took_s),
    )
    if done is not None:
        done.append(answer)


async def sound(deployment, answers, ends):
    """Send orders to all VMs until told to end."""
    tasks = set()
    for vm in itertools.cycle(deployment.vms):
        if ends.is_set():
            break
        work = send(deployment, vm, "/puxa403/2f", "order", "POST", b"mesh", answers)
        task = asyncio.create_task(work)
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(SOUND_EVERY_S)
    await asyncio.gather(*tasks)


async def case(deployment):
    """Play the case; return what broke the rule."""
    for number in range(6):
        replica = CrashingReplica(
            deployment.store,
            deployment.record,
            "orders-app",
            deployment.zones[number % 3],
            number,
        )
        await replica.start()
        deployment.replicas.append(replica)
    routes = [
        route("r-1", "/cufi504/", "idempotent", "orders-app", Attempts=2),
        route("r-2", "/puxa403/", "non_idempotent", "orders-app"),
    ]
    services = [plain_service("orders-app")]
    deployment.store.put("keyed.op", "config", configuration(7, routes, services))
    await deployment.start_vms()
    answers, ends = [], asyncio.Event()
    running = asyncio.create_task(sound(deployment, answers, ends))
    await asyncio.sleep(4.0)
    for number in range(BAD_REQUESTS):
        vm = deployment.vms[number % len(deployment.vms)]
        query = number if OTHER_QUERY else 0
        await send(deployment, vm, f"{PATH}?try={query}", "comes-again")
        await asyncio.sleep(BAD_EVERY_S)
    ends.set()
    await running
    return judge(deployment, answers)


def judge(deployment, answers):
    """BUDGET: few retries from StabilityMs after the third crash."""
    crashes, late = CrashingReplica.crashes_s, []
    if len(crashes) >= COUNTED_FROM:
        from_s = crashes[COUNTED_FROM - 1] + STABILITY_S
        late = [at_s for at_s in CrashingReplica.arrivals_s if at_s > from_s]
    lost = sum(answer.status in (0, 502, 504) for answer in answers)
    deployment.record.write(
        "sum",
        crashes=len(crashes),
        arrivals_later=len(late),
        orders=len(answers),
        orders_without_answer=lost,
    )
    print("crashes", len(crashes), "later", len(late), "orders lost", lost)
    if len(late) > MOST_ARRIVALS:
        return [f"BUDGET: {len(late)} retries reached replicas later"]
    return []


if __name__ == "__main__":
    play(Path(__file__).resolve().parent, case)
