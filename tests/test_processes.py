"""Process tests of stops, keys and claims: daemons and stand-ins over sockets."""

import contextlib

import aiohttp
import pytest
import pytest_asyncio

from tests.process_deployment import Caller, Deployment, Load
from tests.process_harness import ProcessHarness, wait_until

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
            connection = kept_connection(deployment.keys["stitchers"])
            caller, made = await stack.enter_async_context(connection)
            assert (await caller.stream(daemon, "before")).whole
            assert (await caller.stock(daemon)).status == 200
            kept.append((daemon, caller, made))
        await deployment.withdraw_key("stitchers")
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
