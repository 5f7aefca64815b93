"""Tests of servers that say they leave, or that want nothing for a while."""

import asyncio

import pytest

from cassiamount.change_counter import ChangeCounter
from cassiamount.platform import headers
from cassiamount.server_notices import MAX_PAUSE_MS, MAX_SERVERS, ServerNotices
from tests.fleet_fixtures import Fleet, configuration

E1, E1_LATER, E2 = ("e1", 1), ("e1", 2), ("e2", 1)
MODEL = {"X_Cassiamount_Model": "m1"}


def make_notices():
    return ServerNotices(ChangeCounter())


def test_server_that_leaves_stays_so_until_it_starts_again():
    """Guards against requests to a server that has said that it leaves."""
    notices = make_notices()
    assert notices.record_leaving(E1)
    assert not notices.record_leaving(E1)
    assert not notices.may_send(E1, 1e9)
    assert notices.may_send(E1_LATER, 0.0)
    assert notices.may_send(E2, 0.0)


@pytest.mark.parametrize(
    ("pauses", "now_ms", "left_ms"),
    [
        ([(0, 500)], 0, 500),
        ([(0, 500)], 499, 1),
        ([(0, 500)], 500, 0),
        ([(0, 500), (100, 100)], 100, 400),
        ([(0, 500), (100, 1_000)], 100, 1_000),
        ([(0, 0)], 0, 0),
        ([(0, -5)], 0, 0),
        ([(0, 1e300)], 0, MAX_PAUSE_MS),
    ],
    ids=["new", "goes on", "over", "shorter", "longer", "none", "negative", "endless"],
)
def test_pause_of_a_server(pauses, now_ms, left_ms):
    """Guards against a pause that is cut short, or that never ends."""
    notices = make_notices()
    for at_ms, pause_ms in pauses:
        notices.record_pause(E1, pause_ms, at_ms)
    assert notices.pause_ms(E1, now_ms) == left_ms
    assert notices.may_send(E1, now_ms) == (left_ms == 0)
    assert notices.may_send(E1_LATER, now_ms)


def test_peers_hear_of_leaving_servers_and_not_of_pauses():
    """Guards against a pause for one VM that all others keep too."""
    own, peer = make_notices(), make_notices()
    own.record_leaving(E1)
    own.record_pause(E2, 500.0, 0.0)
    assert peer.apply(own.part_since(0))
    assert not peer.apply(own.part_since(0))
    assert not peer.may_send(E1, 0.0)
    assert peer.may_send(E2, 0.0)
    for number in range(MAX_SERVERS + 5):
        own.record_leaving((f"s{number}", 1))
    assert len(own.part_since(0)) == MAX_SERVERS


@pytest.mark.parametrize(
    ("status", "values", "pause_ms"),
    [
        (503, [b"2"], 2_000.0),
        (503, [b"0.25"], 250.0),
        (503, [b"0"], 0.0),
        (503, [], None),
        (503, [b"soon"], None),
        (503, [b"-1"], None),
        (503, [b"nan"], None),
        (503, [b"1e999"], None),
        (503, [b"Wed, 21 Oct 2026 07:28:00 GMT"], None),
        (503, [b"1", b"3"], 3_000.0),
        (503, [b"x", b"3"], 3_000.0),
        (429, [b"2"], None),
        (200, [b"2"], None),
    ],
)
def test_retry_after_of_an_answer(status, values, pause_ms):
    """Guards against a pause by a value that is no number of seconds."""
    sent = [(headers.RETRY_AFTER, value) for value in values]
    assert headers.decode_response(status, sent).retry_after_ms == pause_ms


@pytest.fixture
async def fleet():
    running = Fleet()
    await running.start()
    running.store.put("keyed.op", "config", configuration())
    await running.add_replica("s1", "shop")
    await running.add_replica("s2", "shop")
    await running.add_replica("e1", "llm", {"m1": []})
    await running.add_replica("e2", "llm", {"m1": []})
    yield running
    await running.stop()


async def send_until_it_arrives(fleet, vm, replica, path, **sent):
    """Send requests until one reaches a replica, which is not the best for all."""
    for _ in range(60):
        requests = [fleet.send_request(vm, path, **sent) for _ in range(3)]
        await asyncio.gather(*requests)
        if replica.seen:
            return
    raise AssertionError("no request reached the replica")


@pytest.mark.parametrize("how", ["ok", "failed", "refused"])
@pytest.mark.parametrize(
    ("path", "names", "sent"),
    [("/look/x", ["s1", "s2"], {}), ("/chat/x", ["e1", "e2"], MODEL)],
    ids=["plain", "model"],
)
async def test_replica_that_says_it_leaves_gets_no_more(fleet, path, names, sent, how):
    """Guards against requests to a leaving replica whose entry still says ready.

    All callers are served by the other replica; so are those of another VM.
    """
    await fleet.add_vm("v1")
    await fleet.add_vm("v2")
    leaving, other = fleet.replicas[names[0]], fleet.replicas[names[1]]
    leaving.leaving = True
    if how == "failed":
        leaving.status = 500
    elif how == "refused":
        leaving.pause = "0"
    await send_until_it_arrives(fleet, "v1", leaving, path, **sent)
    await fleet.wait_until(
        lambda: all(
            n.state.view.backends[names[0]].leaving for n in fleet.nodes.values()
        )
    )
    fleet.register_replica(names[0], "llm" if sent else "shop")
    seen, before = len(leaving.seen), len(other.seen)
    for vm in ("v1", "v2") * 10:
        assert (await fleet.send_request(vm, path, **sent))[0] == 200
    assert len(leaving.seen) == seen
    assert len(other.seen) == before + 20


async def test_replica_that_wants_nothing_is_asked_again_after_its_pause(fleet):
    """Guards against requests within a pause, and against a pause without end."""
    await fleet.add_vm("v1")
    state = fleet.nodes["v1"].state
    server = state.view.backends["s1"].record.start
    state.view.backends["s2"].avoided_until_ms = float("inf")
    paused = fleet.replicas["s1"]
    paused.pause = "0.4"
    await send_until_it_arrives(fleet, "v1", paused, "/look/x")
    paused.pause = None
    seen = len(paused.seen)
    while state.notices.pause_ms(server, state.now_ms()) > 20:
        assert (await fleet.send_request("v1", "/look/x"))[0] == 200
        assert len(paused.seen) == seen
    paused.seen.clear()
    await send_until_it_arrives(fleet, "v1", paused, "/look/x")


async def test_caller_is_told_when_replicas_want_requests_again(fleet):
    """Guards against callers that wait, or come back, while all replicas pause."""
    await fleet.add_vm("v1")
    for name, pause in (("s1", "30"), ("s2", "20")):
        fleet.replicas[name].pause = pause
    answers = [await fleet.send_request("v1", "/look/x") for _ in range(6)]
    assert {status for status, _, _ in answers} == {503}
    status, head, _ = await fleet.send_request("v1", "/look/x")
    assert 15 < float(head["Retry-After"]) < 26
    assert [len(fleet.replicas[name].seen) for name in ("s1", "s2")] == [1, 1]
