"""Socket tests of the platform's clients against stand-ins and broken servers."""

import asyncio
import base64
import contextlib
import gzip

import orjson
import pytest
import pytest_asyncio

from cassiamount.engine_client import (
    ACCEPTED,
    NO_MEMORY,
    STALE_FENCE,
    EngineOrder,
    HttpEngineClient,
    parse_cache_events,
)
from cassiamount.errors import (
    AppendLimitReached,
    AppendOutcomeUnknown,
    InvalidRecord,
    OffsetTrimmed,
    OrderOutcomeUnknown,
    PlatformUnavailable,
)
from cassiamount.log_client import (
    UNREADABLE_KIND,
    HttpLogClient,
    parse_page,
    sanitize_value,
)
from cassiamount.vm_list_client import HttpVmListClient
from cassiamount.weight_store_client import HttpWeightStoreClient
from tests.process_harness import ProcessHarness, free_address

DEEP = orjson.loads(b'{"a":' * 500 + b"1" + b"}" * 500)


@pytest_asyncio.fixture
async def harness(tmp_path):
    async with ProcessHarness(tmp_path) as harness:
        yield harness


@contextlib.asynccontextmanager
async def client(cls, *arguments, **limits):
    opened = cls(*arguments, **limits)
    try:
        yield opened
    finally:
        await opened.close()


@contextlib.asynccontextmanager
async def server_with(answer):
    """Listen on loopback and answer each request's beginning with fixed bytes."""

    async def handle(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        if answer is None:
            await reader.read()
        else:
            writer.write(answer)
            await writer.drain()
        writer.close()

    server = await asyncio.start_server(handle, "127.0.0.1", 0)
    try:
        port = server.sockets[0].getsockname()[1]
        yield f"http://127.0.0.1:{port}"
    finally:
        server.close()


def answer_of(status, body, content_length=None, header="X-None: 1"):
    length = len(body) if content_length is None else content_length
    head = f"HTTP/1.1 {status} X\r\nContent-Length: {length}\r\n{header}\r\n\r\n"
    return head.encode() + body


def page(*values, earliest=0, next_offset=None):
    end = len(values) if next_offset is None else next_offset
    records = b",".join(
        b'{"offset":%d,"time_ms":0,"value":%b}' % (n, v) for n, v in enumerate(values)
    )
    text = b'{"records":[%b],"earliest":%d,"next":%d}' % (records, earliest, end)
    return text


@pytest.mark.parametrize(
    ("answer", "error"),
    [
        (answer_of(429, b"{}"), AppendLimitReached),
        (answer_of(503, b"{}"), PlatformUnavailable),
        (answer_of(400, b"{}"), PlatformUnavailable),
        (answer_of(500, b"{}"), AppendOutcomeUnknown),
        (answer_of(502, b"{}"), AppendOutcomeUnknown),
        # Nothing listens there; following it would look as if nothing was sent.
        (
            answer_of(307, b"", header="Location: http://127.0.0.1:1/"),
            AppendOutcomeUnknown,
        ),
        (answer_of(200, b"no json"), AppendOutcomeUnknown),
        (answer_of(200, b'{"offsets":[1,2]}'), AppendOutcomeUnknown),
        (answer_of(200, b'{"offsets":["1"]}'), AppendOutcomeUnknown),
        (answer_of(200, b'{"offsets":[1]}', 999), AppendOutcomeUnknown),
        (answer_of(200, b'{"offsets":[1]}' + b" " * 2000), AppendOutcomeUnknown),
        (b"", AppendOutcomeUnknown),
        (b"garbage\r\n\r\n", AppendOutcomeUnknown),
        (None, AppendOutcomeUnknown),
    ],
)
async def test_append_errors_tell_what_may_have_happened(answer, error):
    """Guards against "certainly not in the log" after something was sent."""
    async with server_with(answer) as url:
        limits = {"request_timeout_ms": 100, "max_response_bytes": 1000}
        async with client(HttpLogClient, url, **limits) as log:
            with pytest.raises(error) as caught:
                await log.append("config", [{"id": "a"}])
    assert caught.type is error


async def test_nothing_sent_is_unavailable():
    """Guards against an unknown outcome when there was not even a connection."""
    url = f"http://{free_address()}"
    async with client(HttpLogClient, url) as log:
        with pytest.raises(PlatformUnavailable):
            await log.append("config", [{"id": "a"}])
        with pytest.raises(PlatformUnavailable):
            await log.read("config", 0, 10, 0)
        with pytest.raises(InvalidRecord):
            await log.append("config", [{"id": "\ud800"}])
    async with client(HttpEngineClient, "e", url) as engine:
        with pytest.raises(PlatformUnavailable):
            await engine.send_order(EngineOrder("o", "set_role", "x", "", "", 0, 1))


@pytest.mark.parametrize(
    ("answer", "error"),
    [
        (answer_of(503, b"{}"), PlatformUnavailable),
        (answer_of(410, b'{"earliest":7,"next":9}'), OffsetTrimmed),
        (answer_of(410, b"[]"), PlatformUnavailable),
        (answer_of(200, page(b"1", b"2"), 999), PlatformUnavailable),
        (answer_of(200, page(b"1", next_offset=0)), PlatformUnavailable),
        (answer_of(200, b"<html>"), PlatformUnavailable),
        (answer_of(200, b'{"records":[{"offset":5,nonsense'), PlatformUnavailable),
        (answer_of(200, b"x" * 2000), PlatformUnavailable),
        (
            answer_of(200, gzip.compress(page()), header="Content-Encoding: gzip"),
            PlatformUnavailable,
        ),
    ],
)
async def test_read_errors_never_look_like_records(answer, error):
    """Guards against skipping records because of an answer that is no page."""
    async with server_with(answer) as url:
        limits = {"max_response_bytes": 1000}
        async with client(HttpLogClient, url, **limits) as log:
            with pytest.raises(error):
                await log.read("config", 0, 10, 0)


@pytest.mark.parametrize(
    "value", [{"a": 2**70}, {"a": "\ud800"}, DEEP, {"a": "x" * (16 * 1024 * 1024)}]
)
def test_values_that_cannot_be_written_again_are_replaced(value):
    """Guards against a value that stops a relay or a checkpoint later."""
    assert sanitize_value(value)["kind"] == UNREADABLE_KIND


@pytest.mark.parametrize(
    "document",
    [
        None,
        [],
        {"records": [], "earliest": 0},
        {"records": [{"offset": 1, "value": 1}], "earliest": 0, "next": 9},
        {"records": [{"offset": 0}], "earliest": 0, "next": 9},
        {"records": [], "earliest": -1, "next": 9},
        {"records": [], "earliest": 0, "next": True},
    ],
)
def test_malformed_pages_are_not_used(document):
    """Guards against a gap or a wrong head in a page."""
    assert parse_page(document, 0) is None


async def test_log_against_its_standin(harness):
    """Guards against adapter and protocol drifting apart, and against undecodable
    bytes that hide their neighbours or block the stream."""
    standin = await harness.start_standin(
        "log", "--burst-appends", 2, "--appends-per-s", 0.001
    )
    async with client(HttpLogClient, standin.url, request_timeout_ms=500) as log:
        assert await log.append("s", [{"id": "a"}, {"id": "b"}]) == [0, 1]
        for raw in (b"\xff\xfe{", b'"\\ud800"', b"[" * 2000):
            body = {"base64": base64.b64encode(raw).decode()}
            await standin.call("POST", "/admin/streams/s/raw", body)
        await standin.add_fault("lost-answer", count=1)
        with pytest.raises(AppendOutcomeUnknown):
            await log.append("s", [{"id": "c"}])
        values = {}
        while len(values) < 6:
            read = await log.read("s", len(values), 100, 0)
            values.update(read.records)
        names = [value.get("id", value.get("kind")) for value in values.values()]
        assert names == ["a", "b", *[UNREADABLE_KIND] * 3, "c"]
        read = await log.read("s", 6, 100, 50)
        assert (read.records, read.next_offset, read.at_head(6)) == ([], 6, True)
        await standin.call("POST", "/admin/streams/s/trim", {"before": 4})
        with pytest.raises(OffsetTrimmed) as caught:
            await log.read("s", 3, 100, 0)
        assert caught.value.earliest == 4
        with pytest.raises(PlatformUnavailable, match="head 6 is before 9"):
            await log.read("s", 9, 100, 0)
        with pytest.raises(AppendLimitReached):
            await log.append("s", [{"id": "d"}])
        await standin.add_fault("black-hole")
        with pytest.raises(PlatformUnavailable):
            await log.read("s", 4, 100, 0)
    assert await standin.stop() == 0


async def test_engine_against_its_standin(harness):
    """Guards against orders whose outcome is misread, and against engine memory
    that is overcommitted."""
    standin = await harness.start_standin(
        "engine", "--memory-mb", 100, "--checks-fence", "--cache-event-lag-ms", 0
    )
    async with client(
        HttpEngineClient, "e1", standin.url, request_timeout_ms=500
    ) as engine:

        async def order(id, action, memory_mb, fence, name="m"):
            return await engine.send_order(
                EngineOrder(id, action, name, "", "1", memory_mb, fence)
            )

        assert await order("o1", "load_model", 60, 5) == ACCEPTED
        assert await order("o2", "load_model", 60, 5, "n") == NO_MEMORY
        assert await order("o3", "unload_model", 60, 4) == STALE_FENCE
        await standin.add_fault("order-answer-lost", count=1)
        with pytest.raises(OrderOutcomeUnknown):
            await order("o4", "load_model", 20, 6, "k")
        while await engine.order_state("o4") != "done":
            await asyncio.sleep(0.01)
        await standin.add_fault("order-lost", count=1)
        with pytest.raises(OrderOutcomeUnknown):
            await order("o5", "unload_model", 0, 6)
        assert await engine.order_state("o5") == "unknown"
        report = await engine.load()
        assert {r.name: r.state for r in report.residents} == {
            "m": "ready",
            "k": "ready",
        }
        assert (report.memory_used_mb, report.highest_fence) == (80, 6)
        counts = await standin.executions()
        assert (counts["overcommit_errors"], counts["stale_orders"]) == (1, 1)
        body = {"model": "m", "prompt": "x" * 200, "max_tokens": 2}
        await standin.add_fault("cache-gap", count=1)
        assert not (await engine.cache_events(0)).events
        await standin.call("POST", "/v1/completions", body)
        events = await engine.cache_events(0)
        assert [event.offset for event in events.events] == [1, 2] and events.gap
        await standin.add_fault("black-hole", path="/load")
        with pytest.raises(PlatformUnavailable):
            await engine.load()


@pytest.mark.parametrize(
    "document",
    [
        None,
        {"events": [], "earliest": 0},
        {"events": [{"offset": 0}], "earliest": 0, "next": 1},
        {"events": [], "earliest": "0", "next": 1},
        {
            "events": [
                {"offset": 1, "action": "stored", "model": "m", "prefix_hash": "a"},
                {"offset": 1, "action": "stored", "model": "m", "prefix_hash": "a"},
            ],
            "earliest": 0,
            "next": 2,
        },
    ],
)
def test_malformed_cache_events_are_not_used(document):
    """Guards against an index that is filled from a malformed answer."""
    assert parse_cache_events(document, 0) is None


async def test_vm_list_and_weight_store_against_their_standins(harness):
    """Guards against malformed entries that hide the others, and against outages
    that look like an empty list."""
    vm_list = await harness.start_standin("vm_list")
    async with client(HttpVmListClient, vm_list.url) as vms:
        assert await vms.list_vms() == []
        entry = {"zone": "z", "address": "127.0.0.1:1", "state": "leaving"}
        await vm_list.call("PUT", "/vms/vm-1", entry)
        await vm_list.call("PUT", "/vms/vm-2", {**entry, "state": "odd"})
        found = await vms.list_vms()
        assert [(vm.name, vm.state) for vm in found] == [("vm-1", "leaving")]
        await vm_list.call("DELETE", "/vms/vm-1")
        assert await vms.list_vms() == []
        await vm_list.add_fault("outage")
        with pytest.raises(PlatformUnavailable):
            await vms.list_vms()
    store = await harness.start_standin("weight_store", "--loads-per-s", 3)
    async with client(HttpWeightStoreClient, store.url) as weights:
        limits = await weights.limits()
        assert (limits.loads_per_s, limits.concurrent_loads) == (3.0, 8)
    async with server_with(answer_of(200, b'{"loads_per_s":0}')) as url:
        async with client(HttpWeightStoreClient, url) as weights:
            with pytest.raises(PlatformUnavailable):
                await weights.limits()
