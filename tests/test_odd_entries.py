"""Tests of entries and numbers that another writer got wrong."""

import orjson
import pytest

from cassiamount.peer_topology import decode_place
from cassiamount.platform import documents, headers
from tests.fleet_fixtures import KEY, Fleet, configuration

ENTRY = {
    "Service": "llm",
    "Address": "127.0.0.1:9",
    "Zone": "z1",
    "Version": "v1",
    "Slots": 8,
    "State": "ready",
    "Models": [{"Name": "m1", "Adapters": ["a1"]}],
    "Seq": 1,
    "born": 1,
}
DEEP = b"[" * 100_000 + b"]" * 100_000
# Values that replace one field of an entry.
ODD_FIELDS = [
    ("Address", "127.0.0.1:70000"),
    ("Address", "127.0.0.1:0"),
    ("Address", "127.0.0.1:\u00b2"),
    ("Address", "127.0.0.1:\u0663"),
    ("Address", "127.0.0.1:" + "9" * 5_000),
    ("Address", "exa..mple:80"),
    ("Address", "\x00:80"),
    ("Address", "a" * 300 + ":80"),
    ("Address", ":80"),
    ("Address", 80),
    ("Slots", 0),
    ("Slots", -1),
    ("Slots", 10**12),
    ("Slots", 1.5),
    ("Slots", True),
    ("Version", 1),
    ("Version", ["v1"]),
    ("RemainingMs", "soon"),
    ("RemainingMs", [1]),
    ("born", "now"),
    ("born", -5),
    ("born", 1e300),
    ("Seq", []),
    ("Models", "m1"),
    ("Models", {"Name": "m1"}),
    ("Models", [["m1"]]),
    ("Models", [{"Name": ["m1"]}]),
    ("Models", [{"Name": "m1", "Adapters": "a1"}]),
    ("Models", [{"Name": "m1", "Adapters": [1]}]),
    ("Available", []),
    ("Available", {"InMemory": "m1"}),
    ("Available", {"OnDisk": [["m1"]]}),
    ("Service", {}),
    ("Zone", None),
    ("State", ["ready"]),
    ("State", "asleep"),
]
ODD_ENTRIES = [orjson.dumps({**ENTRY, field: value}) for field, value in ODD_FIELDS] + [
    b"",
    b"\xff\xfe",
    b"5",
    b"null",
    DEEP,
    b'{"Service":"llm","Models":' + DEEP + b"}",
    orjson.dumps(ENTRY).replace(b'"Slots":8', b'"Slots":1e999'),
    orjson.dumps(ENTRY).replace(b'"Slots":8', b'"Slots":1' + b"0" * 400),
    orjson.dumps(ENTRY).replace(b'"born":1', b'"born":18446744073709551615'),
    orjson.dumps(ENTRY).replace(b'"Seq":1', b'"Seq":-1'),
]


def test_a_usual_entry_is_read():
    """Guards against checks that leave out the entries of replicas."""
    record = documents.decode_backend("e1", orjson.dumps(ENTRY))
    assert (record.slots, record.software, record.heartbeats) == (8, "v1", 1)


@pytest.mark.parametrize("data", ODD_ENTRIES, ids=range(len(ODD_ENTRIES)))
def test_odd_entry_names_no_replica(data):
    """Guards against an entry that is used although a field cannot be right."""
    with pytest.raises(documents.UnreadableDocument):
        documents.decode_backend("odd", data)


async def test_odd_entries_among_those_of_replicas_harm_nobody():
    """Guards against VMs that end or stop to follow the list by an odd entry.

    The callers of the other replicas are all served, also after the entries came.
    """
    fleet = Fleet()
    await fleet.start()
    try:
        fleet.store.put("keyed.op", "config", configuration())
        await fleet.add_replica("e1", "llm", {"m1": []})
        await fleet.add_replica("s1", "shop")
        for number, data in enumerate(ODD_ENTRIES[::2]):
            fleet.store.put_bytes("keyed.servers", f"odd{number}", data)
        await fleet.add_vm("v1")
        await fleet.add_vm("v2")
        for number, data in enumerate(ODD_ENTRIES):
            fleet.store.put_bytes("keyed.servers", f"late{number}", data)
        await fleet.add_replica("e2", "llm", {"m1": []})
        await fleet.wait_until(
            lambda: all("e2" in n.state.view.backends for n in fleet.nodes.values())
        )
        for vm in ("v1", "v2") * 4:
            for path, model in (
                ("/chat/x", {"X_Cassiamount_Model": "m1"}),
                ("/buy/x", {}),
            ):
                status, _, _ = await fleet.send_request(vm, path, key=KEY, **model)
                assert status == 200
        for node in fleet.nodes.values():
            assert set(node.state.view.backends) == {"e1", "e2", "s1"}
    finally:
        await fleet.stop()


@pytest.mark.parametrize(
    "data",
    [b"", b"\xff", b"[]", b"[1,2,3]", b'["a:1",["z"],1]', b'["a:1","z","x"]', DEEP],
    ids=range(7),
)
def test_odd_record_of_a_vm_has_no_zone(data):
    """Guards against a record that ends the task which reads the list of VMs."""
    address, zone, capacity = decode_place(data)
    assert isinstance(address, str)
    assert (zone, capacity) == (None, 0.0)
    assert decode_place(b'["a:1","z",2]') == ("a:1", "z", 2.0)


@pytest.mark.parametrize(
    ("name", "value"),
    [
        (headers.DEADLINE, b"1" + b"0" * 400),
        (headers.DEADLINE, b"1" + b"0" * 5_000),
        (headers.TOKENS, b"1" + b"0" * 400 + b",5"),
        (headers.TOKENS, b"5," + b"9" * 400),
        (headers.TOKENS, b"5"),
        (headers.PREFIX, b"ab:" + b"9" * 400),
        (headers.PREFIX, b"ab:" + b"9" * 5_000),
    ],
)
def test_number_that_is_too_large_is_a_bad_head(name, value):
    """Guards against a request that ends without an answer by a large number."""
    with pytest.raises(ValueError, match="."):
        headers.decode_request("POST", b"/x", [(b"host", b"h"), (name, value)])


@pytest.mark.parametrize(
    "extra",
    [
        (headers.LOAD, b"9" * 5_000 + b",0,8"),
        (headers.LOAD, b"1,0,"),
        (b"keep-alive", b"timeout=" + b"9" * 400),
        (b"keep-alive", b"timeout=" + b"9" * 5_000),
        (headers.SERVER_LIMIT, b"1e999"),
    ],
)
def test_odd_number_in_an_answer_does_not_lose_it(extra):
    """Guards against a good answer that is lost by a number beside it."""
    metadata = headers.decode_response(200, [(headers.REQUEST_ID, b"r"), extra])
    assert (metadata.status, metadata.request_id) == (200, "r")
