"""Tests of a VM process that stands still while its callers come and leave."""

import asyncio
import signal

import pytest

from tests.fleet_fixtures import Fleet, configuration
from tests.leaving_callers import LeavingCaller
from tests.soak import VmProcess
from tests.test_callers_left import KINDS, request_bytes

COUNT = 6


@pytest.fixture
async def fleet(tmp_path):
    fleet = Fleet()
    await fleet.start()
    fleet.store.put("keyed.op", "config", configuration())
    await fleet.add_replica("e1", "llm", {"m1": []})
    for name in ("s1", "s2"):
        await fleet.add_replica(name, "shop")
    fleet.process = VmProcess("v1", 0, fleet.store_port, tmp_path)
    await fleet.process.start()
    yield fleet
    await fleet.process.end("term")
    await fleet.stop()


def open_caller(fleet, request_id, kind, body=b""):
    address = "127.0.0.1", fleet.process.ports[0]
    caller = LeavingCaller(address, request_bytes(request_id, kind, body))
    caller.connect()
    return caller


@pytest.mark.parametrize("resets", [False, True], ids=["closed", "reset"])
async def test_a_process_that_stood_still_works_only_for_those_who_stayed(
    fleet, resets
):
    """Guards against requests sent on long after their callers have left."""
    kept, begun = [], []
    for kind in KINDS:
        for number in range(COUNT):
            caller = open_caller(fleet, f"before-{kind}-{number}", kind)
            await asyncio.to_thread(caller.ask)
            kept.append((caller, kind))
            caller = open_caller(fleet, f"gone-body-{kind}-{number}", kind, b"x" * 99)
            caller.send(caller.request[:-1])
            begun.append(caller)
    fleet.process.process.send_signal(signal.SIGSTOP)
    for number, (caller, kind) in enumerate(kept):
        caller.send(request_bytes(f"gone-kept-{number}", kind))
        caller.leave(resets)
    for caller in begun:
        caller.send(b"x")
        caller.leave(resets)
    for kind in KINDS:
        for number in range(COUNT):
            caller = open_caller(fleet, f"gone-new-{kind}-{number}", kind)
            caller.send(caller.request)
            caller.leave(resets)
    stayed = [open_caller(fleet, f"stayed-{kind}", kind) for kind in KINDS]
    for caller in stayed:
        caller.send(caller.request)
    fleet.process.process.send_signal(signal.SIGCONT)
    for caller in stayed:
        assert await asyncio.to_thread(caller.receive)
        caller.leave(resets=False)
    name = "x-cassiamount-request-id"
    reached = [head[name] for r in fleet.replicas.values() for head in r.seen]
    assert [request_id for request_id in reached if "gone" in request_id] == []
