"""Tests of streams that go on while replicas of several software versions serve."""

import asyncio

import aiohttp
import pytest

from tests.fleet_fixtures import Fleet, configuration

STREAM = b"".join(b"id: %d\ndata: %d\n\n" % (n, n) for n in range(1, 6))
MODEL = {"X_Cassiamount_Model": "m1"}


@pytest.fixture
async def fleet():
    running = Fleet()
    await running.start()
    running.store.put("keyed.op", "config", configuration())
    await running.add_replica("s1", "shop")
    yield running
    await running.stop()


async def begin_and_break(fleet, vm, request_id="a"):
    """Send a request whose stream breaks off; return what its caller got."""
    body = b""
    with pytest.raises(aiohttp.ClientPayloadError):
        address = fleet.settings[vm].caller_address
        sent = {
            "Host": "fleet.example",
            "Authorization": "Bearer key-of-t",
            "X-Cassiamount-Request-Id": request_id,
            "X-Cassiamount-Deadline-Ms": "6000",
            "X-Cassiamount-Model": "m1",
        }
        url = f"http://{address}/chat/x"
        async with fleet.session.post(url, data=b"{}", headers=sent) as response:
            async for data in response.content.iter_any():
                body += data
    return body


async def take_up(fleet, vm, body, resumes="a"):
    """Take a stream up after its last event; return (status, body)."""
    last = body.count(b"data:")
    headers = {"Last_Event_Id": str(last), "X_Cassiamount_Request_Id": f"{resumes}+"}
    if resumes:
        headers["Resumes"] = resumes
    status, _, rest = await fleet.send_request(vm, "/chat/x", **MODEL, **headers)
    return status, rest


async def list_replicas(fleet, count):
    """Wait until all VMs know a number of model replicas."""
    await fleet.wait_until(
        lambda: all(
            len(node.state.view.of_service("llm")) == count
            for node in fleet.nodes.values()
        )
    )


async def test_stream_does_not_go_on_at_another_software_version(fleet):
    """Guards against one answer with events of two software versions."""
    await fleet.add_replica("e1", "llm", {"m1": []}, "v1")
    fleet.replicas["e1"].break_streams = 1
    await fleet.add_vm("vm1")
    await fleet.add_replica("e2", "llm", {"m1": []}, "v2")
    await list_replicas(fleet, 2)
    fleet.nodes["vm1"].state.view.backends["e2"].avoided_until_ms = float("inf")
    body = await begin_and_break(fleet, "vm1")
    assert body and STREAM.startswith(body)
    assert fleet.replicas["e2"].ran == []


async def test_stream_goes_on_at_its_own_software_version(fleet):
    """Guards against streams that end although their version still serves."""
    await fleet.add_replica("e1", "llm", {"m1": []}, "v1")
    fleet.replicas["e1"].break_streams = 1
    await fleet.add_vm("vm1")
    for name, software in (("e2", "v2"), ("e3", "v1")):
        await fleet.add_replica(name, "llm", {"m1": []}, software)
    await list_replicas(fleet, 3)
    backends = fleet.nodes["vm1"].state.view.backends
    backends["e2"].avoided_until_ms = backends["e3"].avoided_until_ms = float("inf")
    status, head, body = await fleet.send_request("vm1", "/chat/x", **MODEL)
    assert (status, body) == (200, STREAM)
    assert head["X-Cassiamount-Server-Signature"] == "e1"
    assert (len(fleet.replicas["e2"].ran), len(fleet.replicas["e3"].ran)) == (0, 1)


@pytest.mark.parametrize("vm", ["vm1", "vm2"])
@pytest.mark.parametrize(
    ("left", "status"), [("e2", 200), ("e1", 503)], ids=["own", "other"]
)
async def test_stream_is_taken_up_at_its_own_software_version(fleet, vm, left, status):
    """Guards against a caller whose stream goes on at another software version."""
    await fleet.add_replica("e1", "llm", {"m1": []}, "v1")
    await fleet.add_vm("vm1")
    await fleet.add_vm("vm2")
    fleet.replicas["e1"].break_streams = 1
    body = await begin_and_break(fleet, "vm1")
    await fleet.add_replica("e2", "llm", {"m1": []}, "v2")
    await list_replicas(fleet, 2)
    await asyncio.sleep(0.3)
    fleet.remove_replica(left)
    await list_replicas(fleet, 1)
    taken_up, rest = await take_up(fleet, vm, body)
    assert taken_up == status
    if status == 200:
        assert body + rest == STREAM
    else:
        assert len(fleet.replicas["e2"].ran) == 0


@pytest.mark.parametrize("is_old_gone", [False, True], ids=["both", "old one gone"])
async def test_stream_of_a_lost_fleet_is_not_joined_from_two_versions(
    fleet, is_old_gone
):
    """Guards against a stream that VMs without memory let go on at a newer version."""
    await fleet.add_replica("e1", "llm", {"m1": []}, "v1")
    await fleet.add_vm("vm1")
    await fleet.add_vm("vm2")
    fleet.replicas["e1"].break_streams = 1
    body = await begin_and_break(fleet, "vm1")
    await fleet.add_replica("e2", "llm", {"m1": []}, "v2")
    await list_replicas(fleet, 2)
    await asyncio.sleep(0.6)
    if is_old_gone:
        fleet.remove_replica("e1")
        await list_replicas(fleet, 1)
        await asyncio.sleep(0.6)
    for name in ("vm1", "vm2"):
        await fleet.kill_vm(name)
    await fleet.add_vm("vm3", first_start=False)
    for view in fleet.nodes["vm3"].state.view.backends.values():
        if view.record.name == "e1":
            view.avoided_until_ms = float("inf")
    statuses = set()
    for _ in range(8):
        status, rest = await take_up(fleet, "vm3", body)
        statuses.add(status)
    assert fleet.replicas["e2"].ran == []
    assert statuses <= {200, 503}


async def test_stream_of_a_lost_fleet_goes_on_at_its_version(fleet):
    """Guards against streams that are given up although the store has their version."""
    await fleet.add_replica("e1", "llm", {"m1": []}, "v1")
    await fleet.add_replica("e2", "llm", {"m1": []}, "v2")
    await fleet.add_vm("vm1")
    await list_replicas(fleet, 2)
    for replica in (fleet.replicas["e1"], fleet.replicas["e2"]):
        replica.break_streams = 1
    backends = fleet.nodes["vm1"].state.view.backends
    backends["e2"].avoided_until_ms = float("inf")
    body = await begin_and_break(fleet, "vm1")
    fleet.replicas["e2"].break_streams = 0
    await asyncio.sleep(1.0)
    await fleet.kill_vm("vm1")
    await fleet.add_vm("vm2", first_start=False)
    async with asyncio.timeout(10):
        while (taken := await take_up(fleet, "vm2", body))[0] != 200:
            await asyncio.sleep(0.1)
    assert body + taken[1] == STREAM
    assert fleet.replicas["e2"].ran == []


async def test_stream_of_a_lost_fleet_goes_on_where_there_is_one_version(fleet):
    """Guards against streams that are given up because all VMs started again."""
    await fleet.add_replica("e1", "llm", {"m1": []}, "v1")
    await fleet.add_vm("vm1")
    fleet.replicas["e1"].break_streams = 1
    body = await begin_and_break(fleet, "vm1")
    await asyncio.sleep(0.6)
    await fleet.kill_vm("vm1")
    await fleet.add_vm("vm2", first_start=False)
    # The other VMs may not have told what the store has yet.
    async with asyncio.timeout(10):
        while (taken := await take_up(fleet, "vm2", body))[0] != 200:
            await asyncio.sleep(0.1)
    assert body + taken[1] == STREAM


async def test_stream_without_the_request_that_began_it_is_refused_if_unknown(fleet):
    """Guards against a guess where two versions serve and the caller names none."""
    await fleet.add_replica("e1", "llm", {"m1": []}, "v1")
    await fleet.add_replica("e2", "llm", {"m1": []}, "v2")
    await fleet.add_vm("vm1")
    await list_replicas(fleet, 2)
    status, _ = await take_up(fleet, "vm1", b"data:", resumes="")
    assert status == 503
    assert fleet.replicas["e1"].ran == fleet.replicas["e2"].ran == []
