"""Process tests of dead, paused and cut-off VMs and of platform outages."""

import asyncio
import itertools

import grpc
import pytest
import pytest_asyncio

from cassiamount import peer_pb2 as pb
from cassiamount import peer_pb2_grpc
from tests.process_deployment import (
    BURST_TOKENS,
    TEAMS,
    Deployment,
    Load,
    identity_of,
    leases_of,
)
from tests.process_harness import ProcessHarness, wait_until

pytestmark = pytest.mark.xdist_group("processes-outages")
OUTAGE_S = 12


@pytest_asyncio.fixture
async def deployment(tmp_path):
    async with ProcessHarness(tmp_path) as harness:
        deployment = Deployment(harness)
        try:
            yield deployment
        finally:
            await deployment.close()


async def leases_held(daemon):
    """Return the leases that a daemon holds, by name."""
    identity = await identity_of(daemon)
    leases = await leases_of(daemon)
    return {
        name: lease for name, lease in leases.items() if lease["holder"] == identity
    }


async def start_pair(deployment):
    """Start two daemons of one zone; return the one that holds more leases first."""
    pair = [await deployment.start_daemon(name) for name in ("vm-1", "vm-2")]
    identities = {await identity_of(daemon) for daemon in pair}

    async def all_members():
        statuses = [await daemon.status() for daemon in pair]
        return all(set(status["members"]) == identities for status in statuses)

    assert await wait_until(all_members)
    held = [len(await leases_held(daemon)) for daemon in pair]
    assert sum(held) > 0
    return pair if held[0] >= held[1] else pair[::-1]


async def wait_taken_over(survivor, lost):
    """Wait until a daemon holds leases under newer fences than those in `lost`."""

    async def taken_over():
        held = await leases_held(survivor)
        return all(
            name in held and held[name]["fence"] > lease["fence"]
            for name, lease in lost.items()
        )

    assert await wait_until(taken_over), survivor.log_tail()


async def wait_budgets_full(daemon):
    """Wait until the daemon owns both teams' budgets and nothing is missing."""

    async def full():
        budgets = (await daemon.status())["budgets"]
        levels = {b["team"]: b["level_tokens"] for b in budgets if b["owned"]}
        total = {
            b["team"]: b["level_tokens"] + b["outstanding_tokens"] for b in budgets
        }
        assert all(tokens <= BURST_TOKENS + 1e-6 for tokens in total.values())
        return all(levels.get(team, 0) >= 0.99 * BURST_TOKENS for team in TEAMS)

    assert await wait_until(full), await daemon.status()


class Orders:
    """Sends print orders with a marker of their own until it is stopped."""

    def __init__(self, caller, daemon, keyed):
        self._caller = caller
        self._daemon = daemon
        self._keyed = keyed
        self._stopping = False
        self.answers = {}
        self._task = asyncio.create_task(self._work())

    async def _work(self):
        for number in itertools.count():
            if self._stopping:
                return
            marker = f"{self._daemon.name}-{self._keyed}-{number}"
            key = marker if self._keyed else None
            answer = await self._caller.print_order(self._daemon, marker, key)
            self.answers[marker] = answer
            await asyncio.sleep(0.02 if answer.status == 200 else 0.2)

    async def finish(self):
        self._stopping = True
        await self._task
        return self.answers


def check_orders(answers, markers):
    """Check that each order ran as often as its answer says, and at most once."""
    for marker, answer in answers.items():
        assert markers[marker] <= 1, (marker, answer)
        if answer.status == 200:
            assert markers[marker] == 1, (marker, answer)
        elif answer.not_run:
            assert markers[marker] == 0, (marker, answer)


async def test_the_other_vm_of_a_zone_takes_over_from_a_dead_one(deployment):
    """Guards against leases that stay with a dead VM and against second executions."""
    await deployment.start(engines=2, services=2)
    victim, survivor = await start_pair(deployment)
    caller = deployment.caller()
    load = Load(caller, [victim, survivor], workers=8)
    orders = [
        Orders(caller, daemon, keyed)
        for daemon in (victim, survivor)
        for keyed in (True, False)
    ]
    await load.go_on(survivor)
    await load.go_on(victim)
    lost = await leases_held(victim)
    assert lost
    await victim.kill()
    await wait_taken_over(survivor, lost)
    await load.go_on(survivor, 20)
    answers = await load.finish()
    for daemon, _, answer in answers:
        if daemon is survivor:
            assert answer.whole, answer
            assert answer.status == 200 or answer.not_run, answer
    results = {}
    for stream in orders:
        results.update(await stream.finish())
    runs, markers = await deployment.executions()
    check_orders(results, markers)
    assert sum(answer.status == 200 for answer in results.values()) > 0
    assert set(runs.values()) == {1}
    await wait_budgets_full(survivor)


async def grant(stub, request):
    """Ask for tokens; wait for the answer however long the daemon is paused."""
    return await stub.Grant(request, timeout=60)


async def test_a_resumed_vm_lends_nothing_under_its_old_fence(deployment):
    """Guards against a holder that goes on after a pause longer than its lease."""
    await deployment.start(engines=2)
    victim, survivor = await start_pair(deployment)
    identity = await identity_of(victim)
    holder = await identity_of(survivor)
    lost = await leases_held(victim)
    budgets = [name for name in lost if name.startswith("budget/")]
    assert budgets
    async with grpc.aio.insecure_channel(victim.settings["peer_address"]) as channel:
        await channel.channel_ready()
        stub = peer_pb2_grpc.PeerStub(channel)
        asks = [pb.GrantAsk(team=team, want_tokens=64, min_tokens=1) for team in TEAMS]
        request = pb.GrantRequest(holder=holder, asks=asks)
        before = await grant(stub, request)
        assert any(answer.tokens for answer in before.answers), before
        victim.pause()
        await wait_taken_over(survivor, lost)
        # Already in the socket when the process goes on, so it is served before
        # anything can tell the daemon of its successor.
        waiting = [asyncio.create_task(grant(stub, request)) for _ in range(20)]
        await asyncio.sleep(0.2)
        victim.resume()
        replies = await asyncio.gather(*waiting)
    for reply in replies:
        assert not any(answer.tokens for answer in reply.answers), reply

    async def follows():
        status = await victim.status()
        leases = {lease["lease"]: lease for lease in status["leases"]}
        for name, lease in lost.items():
            if leases[name]["fence"] == lease["fence"]:
                assert not leases[name]["remaining_ms"], leases[name]
        return all(leases[name]["fence"] > lost[name]["fence"] for name in lost)

    assert await wait_until(follows), victim.log_tail()
    assert await identity_of(victim) == identity
    await deployment.wait_served(victim)
    await deployment.wait_served(survivor)
    runs, _ = await deployment.executions()
    assert set(runs.values()) == {1}


async def test_two_vms_go_on_while_the_platform_is_down(deployment):
    """Guards against a zone that stops, or forgets changes, in a log outage."""
    await deployment.start(engines=2, services=2)
    pair = await start_pair(deployment)
    caller = deployment.caller()
    load = Load(caller, pair, workers=6)
    for daemon in pair:
        await load.go_on(daemon)
    for standin in (deployment.log, deployment.weights):
        await standin.add_fault("outage")
    # Three times the length of a lease.
    outage = asyncio.create_task(asyncio.sleep(OUTAGE_S))
    orders = [Orders(caller, daemon, keyed=True) for daemon in pair]

    async def extended():
        held = [await leases_held(daemon) for daemon in pair]
        budgets = [
            lease
            for leases in held
            for name, lease in leases.items()
            if name.startswith("budget/")
        ]
        return budgets and all(lease["extended"] for lease in budgets)

    assert await wait_until(extended), [await daemon.status() for daemon in pair]
    await outage
    for daemon in pair:
        await load.go_on(daemon)
        assert (await caller.stock(daemon)).status == 200
    during = {}
    for stream in orders:
        during.update(await stream.finish())
    _, markers = await deployment.executions()
    for marker, answer in during.items():
        assert (answer.status, answer.code) == (503, "not_run"), answer
        assert answer.not_run is True and markers[marker] == 0
    assert len(during) > 2 * len(pair)
    for standin in (deployment.log, deployment.weights):
        await standin.clear_faults()
    changed = {**deployment.document, "policy": {"fairness_weight": 2.0}}
    version = await deployment.log.publish(changed, deployment.version)

    async def in_force():
        versions = [(await d.status())["configuration_version"] for d in pair]
        return versions == [version, version]

    assert await wait_until(in_force), [await daemon.status() for daemon in pair]
    for daemon in pair:
        await load.go_on(daemon)
        await wait_order(caller, daemon, f"after-{daemon.name}")
    for _, _, answer in await load.finish():
        assert answer.whole, answer
        assert answer.status == 200 or answer.not_run, answer
    runs, markers = await deployment.executions()
    assert set(runs.values()) == {1}
    check_orders(during, markers)


async def wait_order(caller, daemon, marker):
    """Repeat a print order until it has run."""

    async def ran():
        return (await caller.print_order(daemon, marker, marker)).status == 200

    assert await wait_until(ran), daemon.log_tail()


@pytest.mark.parametrize(
    "fault",
    [
        {"kind": "broken-off", "after_tokens": 7, "count": 6},
        {"kind": "lost-answer", "count": 2},
        {"kind": "black-hole", "count": 2, "path": "/v1"},
    ],
    ids=lambda fault: fault["kind"],
)
async def test_streams_go_on_when_a_connection_to_an_engine_is_lost(deployment, fault):
    """Guards against cut, doubled or mixed answers after a lost connection."""
    await deployment.start(engines=2, engine_options=("--token-ms", 20))
    daemon = await deployment.start_daemon("vm-1")
    first = deployment.engines[0]
    load = Load(deployment.caller(), [daemon], workers=6, max_tokens=50)
    await load.go_on(daemon, 6)
    await first.add_fault(**fault)

    async def struck():
        faults = await first.call("GET", "/admin/faults")
        return faults["strikes"].get(fault["kind"], 0) == fault["count"]

    assert await wait_until(struck), load.statuses()
    await load.go_on(daemon, 12)
    for _, _, answer in await load.finish():
        assert answer.whole, answer
        if fault["kind"] == "black-hole" and answer.status == 504:
            # A head that does not come is waited for until the request's deadline.
            assert answer.code == "outcome_unknown", answer
        else:
            assert answer.status == 200, answer
    # A continuation has an identifier of its own.
    runs, _ = await deployment.executions()
    assert set(runs.values()) == {1}


async def test_streams_of_a_killed_engine_continue_on_another_one(deployment):
    """Guards against streams that end with the engine that began them."""
    await deployment.start(engines=2, engine_options=("--token-ms", 20))
    daemon = await deployment.start_daemon("vm-1")
    first, second = deployment.engines
    caller = deployment.caller()
    streams = [
        asyncio.create_task(caller.stream(daemon, f"long {number}", 300))
        for number in range(8)
    ]

    async def busy():
        return (await first.call("GET", "/load"))["running"] > 0

    assert await wait_until(busy), daemon.log_tail()
    await first.kill()
    for answer in await asyncio.gather(*streams):
        assert answer.status == 200 and answer.whole, answer
    runs, _ = await deployment.executions([second])
    assert set(runs.values()) == {1}
    # Later attempts of a request carry their number.
    assert any(request_id.endswith("-2") for request_id in runs)
    assert (await caller.stream(daemon, "after")).whole


@pytest.mark.parametrize("kind", ["lost-answer", "broken-off", "crossed", "refuse"])
async def test_refusals_of_service_calls_are_true(deployment, kind):
    """Guards against "not run" for a call that ran, and against second executions."""
    await deployment.start(services=2)
    daemon = await deployment.start_daemon("vm-1")
    caller = deployment.caller()
    answers = {}
    for keyed in (True, False):
        for service in deployment.services:
            await service.add_fault(kind, path="/print", count=3)
        sent = {}
        for number in range(12):
            marker = f"{keyed}-{number}"
            key = marker if keyed else None
            sent[marker] = await caller.print_order(daemon, marker, key)
        assert any(answer.status != 200 for answer in sent.values())
        for service in deployment.services:
            await service.clear_faults()
        await wait_order(caller, daemon, f"after-{keyed}")
        answers.update(sent)
    _, markers = await deployment.executions()
    check_orders(answers, markers)
    for marker, answer in answers.items():
        assert answer.status == 200 or answer.code in ("outcome_unknown", "not_run")
        if kind != "refuse" and not answer.not_run:
            assert markers[marker] == 1
        if marker.startswith("True") and not answer.not_run:
            again = await caller.print_order(daemon, marker, marker)
            assert (again.status, again.code) == (answer.status, answer.code)
    _, markers = await deployment.executions()
    assert max(markers.values()) == 1
