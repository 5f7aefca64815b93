"""Tests of requests that wait on a VM while all servers are full."""

import asyncio

import pytest
import structlog

from cassiamount.replica_selection import BUSY, NoReplicaReady, ReplicaSelector
from cassiamount.replica_waiting import ReplicaWaiting
from cassiamount.waiting_requests import WaitingRequests
from tests.fleet_fixtures import Fleet, configuration


class FullServers:
    """Lets the selector find all servers full until there is room."""

    def __init__(self, monkeypatch):
        self.room = 0
        select = ReplicaSelector.select_for_service

        def select_with_room(selector, *args, **options):
            if self.room <= 0:
                return NoReplicaReady(BUSY, 10.0)
            return select(selector, *args, **options)

        monkeypatch.setattr(ReplicaSelector, "select_for_service", select_with_room)


@pytest.fixture
async def fleet(monkeypatch):
    fleet = Fleet()
    await fleet.start()
    fleet.store.put("keyed.op", "config", configuration())
    await fleet.add_replica("s1", "shop")
    fleet.servers = FullServers(monkeypatch)
    yield fleet
    await fleet.stop()


def queue_of(node):
    return node._relay._waiting._queue


async def begin_waiting(fleet, node, **headers):
    request = asyncio.create_task(fleet.send_request("v1", "/buy/x", **headers))
    await fleet.wait_until(lambda: len(queue_of(node)) == 1)
    return request


async def withdraw_key(fleet, node, request):
    fleet.store.put("keyed.op", "config", configuration(2, keys=["new"]))


async def stop(fleet, node, request):
    node.request_stop()


async def quarantine(fleet, node, request):
    (waiting,) = queue_of(node)
    parts = frozenset(waiting.request.parts)
    node.state.quarantine.load_rules([parts], node.state.now_ms())
    node.state.notify()


async def wait(fleet, node, request):
    pass


@pytest.mark.parametrize(
    ("event", "deadline_ms", "status", "code"),
    [
        (withdraw_key, "6000", 401, b"unknown_key"),
        (stop, "6000", 503, b"stopping"),
        (quarantine, "6000", 503, b"request_quarantined"),
        (wait, "3000", 503, b"busy"),
    ],
)
async def test_waiting_request_is_refused(fleet, event, deadline_ms, status, code):
    """Guards against a request that waits on though it must not or cannot run."""
    node = await fleet.add_vm("v1")
    request = await begin_waiting(fleet, node, X_Cassiamount_Deadline_Ms=deadline_ms)
    await event(fleet, node, request)
    answer = await request
    assert answer[0] == status and code in answer[2]
    if event is wait:
        assert 0 < float(answer[1]["Retry-After"]) <= 3.0 / 3
    assert not len(queue_of(node))
    assert not fleet.replicas["s1"].seen


async def test_caller_that_leaves_gives_up_its_place(fleet):
    """Guards against a place in the queue, or a server, for a caller that has left."""
    node = await fleet.add_vm("v1")
    request = await begin_waiting(fleet, node)
    request.cancel()
    await fleet.wait_until(lambda: not len(queue_of(node)))
    fleet.servers.room = 1
    assert (await fleet.send_request("v1", "/buy/x"))[0] == 200
    assert len(fleet.replicas["s1"].seen) == 1
    assert all(not view.own_requests for view in node.state.view.backends.values())


async def test_room_is_found_without_a_notice(fleet):
    """Guards against requests that wait on after a server has room again."""
    node = await fleet.add_vm("v1")
    request = await begin_waiting(fleet, node)
    fleet.servers.room = 1
    assert (await request)[0] == 200
    assert node._metrics.latency("queue_wait_ms", priority=1) is not None


async def test_failed_pass_is_repeated(fleet, monkeypatch):
    """Guards against requests that wait for ever after a fault in one pass."""
    node = await fleet.add_vm("v1")
    request = await begin_waiting(fleet, node)
    dispatch, failures = WaitingRequests.dispatch, [ValueError()] * 3

    def fail_first(queue, *args):
        if failures:
            raise failures.pop()
        dispatch(queue, *args)

    monkeypatch.setattr(WaitingRequests, "dispatch", fail_first)
    with structlog.testing.capture_logs() as lines:
        fleet.servers.room = 1
        assert (await request)[0] == 200
    assert sum(line["event"] == "dispatch_pass_failed" for line in lines) == 3


async def test_no_request_waits_beyond_its_latest_start_while_passes_fail(
    fleet, monkeypatch
):
    """Guards against a fault that holds requests until their callers give up."""
    node = await fleet.add_vm("v1")
    request = await begin_waiting(fleet, node, X_Cassiamount_Deadline_Ms="600")

    def fail(*args):
        raise ValueError

    monkeypatch.setattr(ReplicaWaiting, "_end_disallowed", fail)
    status, _, body = await request
    assert status == 503 and b"by the latest start" in body
    assert not fleet.replicas["s1"].seen


async def test_begun_stream_waits_for_room_after_its_latest_start(fleet, monkeypatch):
    """Guards against answers that break off because other servers are full."""
    # The latest start has passed when the stream breaks off.
    monkeypatch.setattr("cassiamount.relayed_request.START_DEADLINE_FRACTION", 0.0)
    select, priorities = ReplicaSelector.select_for_model, []

    def select_with_room_at_last(selector, *args, **options):
        priorities.append(options["priority"])
        if 1 < len(priorities) < 4:
            return NoReplicaReady(BUSY, 10.0)
        return select(selector, *args, **options)

    monkeypatch.setattr(ReplicaSelector, "select_for_model", select_with_room_at_last)
    for name in ("e1", "e2"):
        await fleet.add_replica(name, "llm", {"m1": []})
        fleet.replicas[name].break_streams = 1
    await fleet.add_vm("v1")
    fleet.replicas["e2"].break_streams = 0
    fleet.nodes["v1"].state.view.backends["e2"].avoided_until_ms = float("inf")
    status, _, body = await fleet.send_request(
        "v1", "/chat/x", X_Cassiamount_Model="m1"
    )
    assert (status, body.count(b"data:")) == (200, 5)
    assert priorities == [1, 0, 0, 0]
