"""Tests of answers of the metadata store that have another form than they should."""

import asyncio

import pytest
import structlog
from starlette.responses import Response

from cassiamount.metadata_store import CONFIGURATION, VMS, StoreUnavailable
from cassiamount.platform.store import MAX_ANSWER_BYTES
from cassiamount.platform.store import PlatformStore as StoreClient
from tests.fleet_fixtures import Fleet

ERA = 10**12
NUMBERS = ["-1", "0.5", "true", '"1"', "null", "1e400", "10" * 10, "[]"]
NOT_JSON = [b"", b"\x00" * 20, b"{", b"\xff", b'{"a":"\\ud800"}', b"[" * 100_000]
OTHER_JSON = [b"{}", b"[]", b"null", b"7", b'"x"', b"true"]
ITEM = b'{"Key":"config","Value":"Nw==","Offset":0}'


def _newest(items=ITEM, more=b"false", end=b"1"):
    return b'{"items":[%b],"HasMore":%b,"EndOffset":%b}' % (items, more, end)


def _read(*records, end=4, first=0):
    body = end.to_bytes(8, "big") + first.to_bytes(8, "big")
    return body + b"".join(len(r).to_bytes(4, "big") + r for r in records)


BODIES = {
    "newest": [
        *[_newest(end=n.encode()) for n in NUMBERS],
        *[_newest(ITEM.replace(b"0}", n.encode() + b"}")) for n in NUMBERS],
        *[_newest(item) for item in OTHER_JSON],
        *[_newest(more=more) for more in (b"null", b"1", b'"false"')],
        b'{"HasMore":false,"EndOffset":1}',
        b'{"items":{},"HasMore":false,"EndOffset":1}',
        b'{"items":[],"EndOffset":1}',
        b'{"items":[],"HasMore":false}',
        _newest(ITEM.replace(b'"config"', b"7")),
        _newest(ITEM.replace(b'"Nw=="', b'"N"')),
        _newest(ITEM.replace(b'"Nw=="', b'"?w=="')),
        _newest(ITEM.replace(b'"Nw=="', b"null")),
        _newest(ITEM.replace(b'"Value":"Nw==",', b"")),
        _newest(ITEM.replace(b"0}", b"1}")),
        # Pages without an end.
        _newest(more=b"true"),
        _newest(b"", b"true"),
    ],
    "read": [
        _read(b"\x01k1")[:15],
        _read(b"\x01k1", b"\x01k2")[:-1],
        _read(b"\x01k1") + b"\x00\x00",
        _read(b"\x01k1") + b"\xff\xff\xff\xff" + b"x" * 50,
        _read(b"\x01k1", end=0),
        _read(b"\x01k1", end=2**63, first=3),
        _read(*[b"\x01k1"] * 9),
    ],
    "put": [b'{"Offset":%b,"EndOffset":9}' % n.encode() for n in [*NUMBERS, "9", "10"]],
    "join": [
        *[b'{"Generation":%b,"parts":[]}' % n.encode() for n in NUMBERS],
        *[b'{"Generation":1,"parts":%b}' % parts for parts in OTHER_JSON[2:]],
        *[b'{"Generation":1,"parts":[%b]}' % row for row in OTHER_JSON],
        b'{"Generation":1,"parts":[["placement"]]}',
        b'{"Generation":1,"parts":[["placement","0",0]]}',
        b'{"Generation":1,"parts":[["placement",0.0,0]]}',
        b'{"Generation":1}',
        b'{"parts":[]}',
    ],
}
HEADERS = [
    *[
        {"Store-Era": t}
        for t in ("x", "-1", "9" * 5_000, "1.5", "", " ", "1_0", "9008")
    ],
    {"Store-Era": "\xb2"},
    {"Content-Encoding": "gzip"},
    {"Content-Encoding": "br"},
]
PATHS = {
    "newest": "/log-newest",
    "read": "/log-read",
    "put": "/log-append",
    "join": "/log-join",
    "leave": "/log-leave",
}
SOUND = {
    "newest": _newest(),
    "read": _read(b"\x01k1"),
    "put": b'{"Offset":0,"EndOffset":1}',
    "join": b'{"Generation":1,"parts":[]}',
    "leave": b"{}",
}
# A body of any kind is an answer to a leave.
CASES = [
    *[(call, Response(body)) for call, bodies in BODIES.items() for body in bodies],
    *[(c, Response(b)) for c in BODIES for b in OTHER_JSON + NOT_JSON],
    *[(c, Response(SOUND[c], headers=h)) for c in PATHS for h in HEADERS],
    *[(c, Response(b" " * (MAX_ANSWER_BYTES + 1))) for c in PATHS],
    *[
        (c, Response(SOUND[c], s, {"Location": "/log-newest"}))
        for c in PATHS
        for s in (201, 302, 307, 400, 404, 500)
    ],
]


@pytest.fixture
async def fleet():
    fleet = Fleet()
    fleet.store_port = await fleet._serve(fleet.store.app)
    fleet.store.put("keyed.op", "config", 7)
    yield fleet
    for server, task in fleet._servers:
        server.should_exit = server.force_exit = True
        await task


@pytest.fixture
async def client(fleet):
    client = StoreClient(f"127.0.0.1:{fleet.store_port}")
    await client.start()
    yield client
    await client.close()


async def _call(client, call):
    if call == "newest":
        page = await client.newest(CONFIGURATION)
        return [(r.key, r.value) for r in page.records], page.next_offset
    if call == "read":
        page = await client.read(CONFIGURATION, ERA, 0)
        return [(r.key, r.value) for r in page.records], page.next_offset
    if call == "put":
        return await client.put(VMS, "v1", b"x")
    if call == "join":
        reply = await client.join_lease("v1", 1_500, 0)
        return reply.generation, reply.is_holder
    return await client.leave_lease("v1")


async def _outcome(client, call):
    try:
        # Only a call without an end takes so long.
        async with asyncio.timeout(10):
            return await _call(client, call)
    except StoreUnavailable:
        return "unavailable"
    except Exception as error:
        return repr(error)


async def test_odd_answer_is_a_failed_call_and_leaves_nothing_behind(fleet, client):
    """Guards against an odd answer that ends a task, or that the next call remembers.

    Each case is one answer; the call after it must work.
    """
    sound = {call: await _call(client, call) for call in PATHS}
    assert sound["newest"] == ([("config", b"7")], ERA + 1)
    wrong = []
    for number, (call, odd) in enumerate(CASES):
        fleet.store.odd_answer = lambda path, call=call, odd=odd: (
            odd if path == PATHS[call] else None
        )
        with structlog.testing.capture_logs() as lines:
            outcome = await _outcome(client, call)
        fleet.store.odd_answer = None
        after = await _outcome(client, call)
        if call == "join":
            after = sound["join"]
        if outcome != "unavailable" or after != sound[call] or len(lines) > 1:
            wrong.append((number, call, odd.body[:60], outcome, after, lines))
    assert wrong == [], f"{len(wrong)} of {len(CASES)} cases"
    assert (await _call(client, "join"))[1]


@pytest.mark.parametrize(
    ("call", "body", "era"),
    [
        *[(call, SOUND[call], "9") for call in PATHS],
        ("join", b'{"Generation":777777,"parts":[["placement",0,0]]}', "1"),
    ],
)
async def test_one_wrong_number_locks_nobody_out(fleet, client, call, body, era):
    """Guards against an era or a generation that no later answer reaches.

    Only a number that two answers in a row name is taken over.
    """
    sound = {name: await _call(client, name) for name in PATHS}
    sound["join"] = await _call(client, "join")
    answers = [Response(body, headers={"Store-Era": era})]
    fleet.store.odd_answer = lambda path: (
        answers.pop() if answers and path == PATHS[call] else None
    )
    with pytest.raises(StoreUnavailable):
        await _call(client, call)
    for name in ("newest", "read", "put", "join", "leave"):
        assert await _call(client, name) == sound[name]


async def test_new_client_takes_no_era_from_one_answer(fleet, client):
    """Guards against a start at which the first answer names a wrong era."""
    answers = [Response(_newest(), headers={"Store-Era": "9"})]
    fleet.store.odd_answer = lambda path: answers.pop() if answers else None
    with pytest.raises(StoreUnavailable):
        await _call(client, "newest")
    assert await _call(client, "newest") == ([("config", b"7")], ERA + 1)


async def test_snapshot_of_several_pages_is_read_to_its_end(fleet, client):
    """Guards against a snapshot that is cut off, or read again without an end."""
    pages = [
        _newest(b'{"Key":"a","Value":"Nw==","Offset":0}', b"true", b"3"),
        _newest(b'{"Key":"b","Value":"OA==","Offset":2}', b"true", b"3"),
        _newest(b'{"Key":"a","Value":"OQ==","Offset":4}', b"false", b"5"),
    ]
    fleet.store.odd_answer = lambda path: (
        Response(pages.pop(0)) if pages and path == "/log-newest" else None
    )
    records, next_offset = await _call(client, "newest")
    assert records == [("a", b"7"), ("b", b"8"), ("a", b"9")]
    assert (pages, next_offset) == ([], ERA + 3)


@pytest.mark.parametrize(
    ("call", "body", "era"),
    [
        *[(call, SOUND[call], "50") for call in PATHS],
        ("join", b'{"Generation":100000000000,"parts":[["placement",0,0]]}', "1"),
    ],
)
async def test_impossible_number_is_never_taken_over(fleet, client, call, body, era):
    """Guards against VMs that a store which errs for a moment locks out for ever."""
    sound = {name: await _call(client, name) for name in PATHS}
    known = (await client.join_lease("v1", 1_500, 0)).generation
    fleet.store.odd_answer = lambda path: Response(body, headers={"Store-Era": era})
    for _ in range(5):
        with pytest.raises(StoreUnavailable):
            if call == "join":
                await client.join_lease("v1", 1_500, known)
            else:
                await _call(client, call)
    fleet.store.odd_answer = None
    assert await _call(client, "newest") == sound["newest"]
    assert (await client.join_lease("v1", 1_500, known)).generation == known
