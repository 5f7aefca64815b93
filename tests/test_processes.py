"""Process tests of stops, keys and claims: daemons and stand-ins over sockets."""

import asyncio
import contextlib
import socket

import aiohttp
import pytest
import pytest_asyncio

from cassiamount.log_client import HttpLogClient
from cassiamount.operator_api import OperatorApi
from tests.process_deployment import Caller, Deployment, Load, identity_of, leases_of
from tests.process_harness import ProcessHarness, free_address, wait_until

pytestmark = pytest.mark.xdist_group("processes")


@pytest_asyncio.fixture
async def deployment(tmp_path):
    async with ProcessHarness(tmp_path) as harness:
        deployment = Deployment(harness)
        try:
            yield deployment
        finally:
            await deployment.close()


async def test_a_planned_stop_completes_every_admitted_stream(deployment):
    """Guards against a stop that cuts streams or closes before the balancer knows."""
    await deployment.start(engine_options=("--token-ms", 20))
    daemon = await deployment.start_daemon("vm-1", balancer_wait_ms=3_000)
    load = Load(deployment.caller(), [daemon], workers=8, max_tokens=60)
    await load.go_on(daemon, 8)
    daemon.terminate()

    async def not_ready():
        return not await daemon.answers("/readyz")

    assert await wait_until(not_ready)
    # The balancer still sends here: refusals begin only after its wait.
    assert await daemon.answers("/livez")
    assert set(load.statuses()) == {("vm-1", 200, None, True)}
    taken = len(load.answers)
    assert await daemon.wait() == 0
    answers = await load.finish()
    assert len(answers) > taken
    for _, _, answer in answers:
        if answer.status == 200:
            assert answer.whole
        else:
            assert answer.status is None or answer.code == "shutting_down", answer
    runs, _ = await deployment.executions()
    assert set(runs.values()) == {1}


@contextlib.asynccontextmanager
async def kept_connection(key):
    """Yield a caller with one connection and the list of connections it made."""
    made = []

    async def note(session, context, parameters):
        made.append(session)

    trace = aiohttp.TraceConfig()
    trace.on_connection_create_end.append(note)
    async with aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=1), trace_configs=[trace]
    ) as http:
        yield Caller(http, key), made


async def test_a_withdrawn_key_stops_on_a_kept_connection(deployment):
    """Guards against keys that are checked only once for each connection.

    Also guards against a backend server that receives a caller's key.
    """
    await deployment.start(("zone-a", "zone-b"), engines=2, services=2)
    daemons = [
        await deployment.start_daemon("vm-a1", "zone-a"),
        await deployment.start_daemon("vm-b1", "zone-b"),
    ]
    other = deployment.caller("riggers")
    async with contextlib.AsyncExitStack() as stack:
        kept = []
        for daemon in daemons:
            connection = kept_connection(deployment.keys["team-a"])
            caller, made = await stack.enter_async_context(connection)
            assert (await caller.stream(daemon, "before")).whole
            assert (await caller.stock(daemon)).status == 200
            kept.append((daemon, caller, made))
        await deployment.withdraw_key("team-a")
        for daemon, caller, made in kept:

            async def refused(daemon=daemon, caller=caller):
                answer = await caller.stock(daemon)
                assert answer.status in (200, 401), answer
                return answer.status == 401

            assert await wait_until(refused), daemon.log_tail()
            assert len(made) == 1
            refusal = await caller.stream(daemon, "after")
            assert (refusal.status, refusal.code) == (401, "invalid_key")
            assert (await caller.print_order(daemon, "after", "k")).status == 401
            assert (await other.stream(daemon, "after")).whole
            assert (await other.stock(daemon)).status == 200
    _, markers = await deployment.executions()
    assert markers["after"] == 0


@pytest.mark.parametrize("successor_zone", ["zone-a", "zone-b"])
@pytest.mark.parametrize("dispatched", [True, False])
async def test_a_print_order_repeated_after_its_vm_died(
    deployment, successor_zone, dispatched
):
    """Guards against a second execution, and against a repeat that is not truthful.

    The first daemon dies while the service runs the order, or while its claim is on
    the way to the log.
    """
    await deployment.start(("zone-a", "zone-b"), engines=2, services=2)
    first = await deployment.start_daemon("vm-a1", "zone-a")
    second = await deployment.start_daemon("vm-2", successor_zone)
    caller = deployment.caller()
    if dispatched:
        for service in deployment.services:
            await service.add_fault("late", delay_ms=120_000, path="/print")
    else:
        fault = {"method": "POST", "path": "/streams/claims"}
        await deployment.log.add_fault("slow", delay_ms=1_500, **fault)
    order = asyncio.create_task(caller.print_order(first, "banner", "key-1"))

    async def on_the_way():
        if dispatched:
            _, markers = await deployment.executions(deployment.services)
            return markers["banner"] == 1
        strikes = (await deployment.log.call("GET", "/admin/faults"))["strikes"]
        return strikes.get("slow", 0) > 0

    assert await wait_until(on_the_way), first.log_tail()
    await first.kill()
    assert (await order).status is None
    await deployment.vm_list.call("DELETE", "/vms/vm-a1")
    for standin in (deployment.log, *deployment.services):
        await standin.clear_faults()
    answers = []

    async def settled():
        _, before = await deployment.executions()
        answers.append(await caller.print_order(second, "banner", "key-1"))
        if answers[-1].not_run:
            # Until the leases of the dead VM are taken over, there is no budget.
            _, after = await deployment.executions()
            assert answers[-1].status == 503 and after == before, answers
            return False
        return answers[-1].code != "request_in_progress"

    assert await wait_until(settled), (answers, second.log_tail())
    _, markers = await deployment.executions()
    assert markers["banner"] <= 1
    last = answers[-1]
    if last.status == 200:
        # Only the repeat itself can have run: the first one never had an answer.
        assert not dispatched and markers["banner"] == 1, last
    else:
        assert (last.status, last.code) == (409, "outcome_unknown"), last
        assert last.not_run is False
        assert markers["banner"] == int(dispatched)
    assert {answer.status for answer in answers[:-1]} <= {409, 503}, answers
    again = await caller.print_order(second, "banner", "key-1")
    assert (again.status, again.code) == (last.status, last.code)
    other = await caller.print_order(second, "another", "key-1")
    assert (other.status, other.code) == (422, "idempotency_mismatch")
    _, markers = await deployment.executions()
    assert markers["banner"] <= 1 and markers["another"] == 0


async def wait_renewals(daemon, count):
    """Wait until the zone's stream has grown by this many records.

    Leases then name all members of the zone in both of their rosters.
    """

    async def length():
        streams = (await daemon.status())["streams"]
        return next(s["next_offset"] for s in streams if s["stream"] == "zone-zone-a")

    goal = await length() + count

    async def reached():
        return await length() >= goal

    assert await wait_until(reached), daemon.log_tail()


async def occupy(address):
    """Let something else listen on the address of a VM that is gone."""
    host, _, port = address.rpartition(":")
    return await asyncio.start_server(lambda reader, writer: None, host, int(port))


async def release_leases(url, leases):
    """Release leases of zone-a as an operator who knows that their holders are gone."""
    log = HttpLogClient(url)
    try:
        api = OperatorApi(log)
        results = await asyncio.gather(
            *(
                api.release_lease("zone-a", name, lease["holder"], lease["fence"])
                for name, lease in leases.items()
            )
        )
    finally:
        await log.close()
    assert all(result.is_ok() for result in results), results


@pytest.mark.parametrize("case", ["alone", "in-place", "operator"])
async def test_both_daemons_of_a_zone_start_again_under_their_names(deployment, case):
    """Guards against leases that nobody may claim after a zone lost all its VMs.

    Either the daemons get the leases by themselves, at new addresses because the old
    ones refuse connections (alone) or at their old ones (in-place), or an operator
    releases them, because the old addresses still take connections (operator).
    """
    await deployment.start()
    names = ("vm-1", "vm-2")
    daemons = [await deployment.start_daemon(name) for name in names]
    caller = deployment.caller()
    first = [await identity_of(daemon) for daemon in daemons]
    for daemon, other in (daemons, daemons[::-1]):
        assert (await caller.print_order(daemon, daemon.name, daemon.name)).whole

        # A caller has its answer before the outcome is in the log.
        async def recorded(name=daemon.name, other=other):
            return (await caller.print_order(other, name, name)).replayed

        assert await wait_until(recorded), other.log_tail()
    before = await leases_of(daemons[0])
    await wait_renewals(daemons[0], 4 * len(before))
    for daemon in daemons:
        await daemon.kill()
    again = []
    others = []
    if case == "operator":
        others = [await occupy(old.settings["peer_address"]) for old in daemons]
    for name, old in zip(names, daemons, strict=True):
        kept = {"peer_address": old.settings["peer_address"]}
        settings = kept if case == "in-place" else {}
        again.append(await deployment.start_daemon(name, served=False, **settings))
    second = [await identity_of(daemon) for daemon in again]
    assert not set(first) & set(second)
    if case == "operator":
        await release_leases(deployment.log.url, before)

    async def taken_over():
        leases = await leases_of(again[0])
        return all(
            leases[name]["holder"] in second and leases[name]["fence"] > lease["fence"]
            for name, lease in before.items()
        )

    assert await wait_until(taken_over), (second, await leases_of(again[0]))
    for other in others:
        other.close()
    for daemon in again:
        await deployment.wait_served(daemon)
        for repeated in names:
            answer = await caller.print_order(daemon, repeated, repeated)
            assert (answer.status, answer.replayed) == (200, True), answer
    _, markers = await deployment.executions()
    assert [markers[name] for name in names] == [1, 1]


@pytest.mark.parametrize("source", ["report", "vm-list"])
async def test_a_leaving_backend_server_gets_no_new_work(deployment, source):
    """Guards against work for a backend server that one source says is leaving."""
    zones = ("zone-a", "zone-b")
    await deployment.start(zones, engines=2, services=2)
    daemons = [
        await deployment.start_daemon("vm-a1", "zone-a"),
        await deployment.start_daemon("vm-b1", "zone-b"),
    ]
    leaving = [deployment.engines[0], deployment.services[0]]
    load = Load(deployment.caller(), daemons, max_tokens=8)
    for daemon in daemons:
        await load.go_on(daemon)
    before, _ = await deployment.executions(leaving)
    assert sum(before.values()) > 0
    for standin in leaving:
        if source == "report":
            await standin.call("POST", "/admin/state", {"state": "leaving"})
        else:
            kind = (standin.name, "zone-a", standin.address, "backend", "leaving")
            await deployment.list_vm(*kind)

    async def known():
        for daemon in daemons:
            backends = (await daemon.status())["backends"]
            states = {backend["name"]: backend["state"] for backend in backends}
            if any(states[standin.name] != "leaving" for standin in leaving):
                return False
        return True

    assert await wait_until(known), [await daemon.status() for daemon in daemons]
    last = [await deployment.executions(leaving)]

    async def work_ended():
        """Whether both daemons worked and the leaving servers got nothing of it."""
        for daemon in daemons:
            await load.go_on(daemon)
            assert (await deployment.caller().stock(daemon)).status == 200
        last.append(await deployment.executions(leaving))
        return last[-1] == last[-2]

    assert await wait_until(work_ended)
    for daemon in daemons:
        await load.go_on(daemon, 20)
        for number in range(5):
            answer = await deployment.caller().print_order(daemon, number, None)
            assert answer.status == 200, answer
    assert await deployment.executions(leaving) == last[-1]
    for _, _, answer in await load.finish():
        assert answer.status == 200 and answer.whole, answer


@pytest.mark.parametrize("field", ["listen_address", "peer_address", "admin_address"])
async def test_a_port_that_is_still_held_delays_a_start(deployment, field):
    """Guards against a daemon that ends because one of its ports is not free yet."""
    await deployment.start()
    address = free_address()
    host, _, port = address.rpartition(":")
    with socket.create_server((host, int(port))):
        options = {"served": False, "wait_for": None, field: address}
        daemon = await deployment.start_daemon("vm-1", **options)
        stopped = await deployment.start_daemon("vm-2", **options)

        async def waits():
            return all("port_awaited" in vm.log_tail() for vm in (daemon, stopped))

        assert await wait_until(waits), daemon.log_tail()
        assert await stopped.stop() == 0
    await daemon.wait_for("/readyz")
    await deployment.wait_served(daemon)
    answer = await deployment.caller().stream(daemon, "words")
    assert (answer.status, answer.whole) == (200, True)
