"""Tests of decoders with mutated messages: a refusal or an object, nothing else."""

import json
import random

import pytest
from starlette.responses import Response

from cassiamount.engine_client import HttpEngineClient
from cassiamount.errors import AppendOutcomeUnknown, PlatformUnavailable
from cassiamount.fleet_orders import ALREADY_DONE, LOAD, NO_ANSWER, EngineOrder
from cassiamount.log_client import HttpLogClient
from cassiamount.peer_topology import decode_place
from cassiamount.platform import documents, engines
from cassiamount.platform_http import PlatformResponse
from cassiamount.quarantine_store import decode_rule
from cassiamount.software_store import (
    decode_streams,
    decode_versions,
    encode_versions,
)
from cassiamount.vm_list_client import HttpVmListClient
from cassiamount.weight_store_client import HttpWeightStoreClient
from tests.fleet_fixtures import Fleet, configuration
from tests.mutated_json import mutate

WALL_MS = 1_800_000_000_000
REPORT = {
    "Phase": "mixed",
    "Models": [{"Name": "m1", "Version": 1, "Adapters": ["a1"]}],
    "Busy": False,
    "Seq": 2,
    "Pending": ["m1/a2@1"],
    "Available": {"InMemory": ["m1"], "OnDisk": ["m1", "m2"]},
}
ENTRY = {
    "Service": "llm",
    "Address": "127.0.0.1:9",
    "Zone": "z1",
    "Slots": 8,
    "State": "draining",
    "RemainingMs": 5.5,
    "Models": [{"Name": "m1", "Adapters": ["a1"]}],
    "Available": {"InMemory": ["m1"], "OnDisk": []},
    "Seq": 1,
    "born": 1,
}


def _reencoded_versions(data):
    encode_versions(decode_versions(data, WALL_MS), WALL_MS)


def _streams(data):
    for _, _, age_ms in decode_streams(data, WALL_MS):
        round(WALL_MS - age_ms)


DECODERS = {
    "configuration": (documents.decode_configuration, configuration(), ()),
    "entry": (lambda data: documents.decode_backend("e1", data), ENTRY, ()),
    "report": (engines.decode_report, REPORT, engines.MALFORMED),
    "place": (decode_place, ["a:1", "z1", 2.0], ()),
    "rule": (decode_rule, {"parts": ["a", "b"]}, ()),
    "versions": (_reencoded_versions, {"v1": WALL_MS, "v2": None}, ()),
    "streams": (_streams, [["r1", "v1", WALL_MS]], ()),
}


@pytest.mark.parametrize("kind", DECODERS)
def test_mutated_message_is_refused_or_read(kind):
    """Guards against a task that ends by what another program has written."""
    decode, sound, errors = DECODERS[kind]
    decode(json.dumps(sound).encode())
    for seed in range(4_000):
        rng = random.Random(seed)
        value = mutate(mutate(sound, rng), rng)
        data = json.dumps(value).replace("Infinity", "1e999").encode()
        if seed % 10 == 0:
            data = data[: rng.randrange(len(data))] + rng.randbytes(seed % 3)
        try:
            decode(data)
        except (ValueError, *errors):
            pass


@pytest.mark.parametrize(
    "answer",
    [
        Response(b"[" * 50_000),
        Response(b"null"),
        Response(b'{"Seq":1e999,"Busy":false}'),
        Response(b'{"Seq":1,"Busy":"false"}'),
        Response(b'{"Seq":"1","Busy":false}'),
        Response(b'{"Seq":1,"Busy":false,"Models":[{"Name":["m"]}]}'),
        Response(b" " * (engines.MAX_REPORT_BYTES + 1)),
        Response(b"{}", headers={"Content-Encoding": "gzip"}),
        Response(b"", 307, {"Location": "/order-elsewhere"}),
    ],
    ids=range(9),
)
async def test_odd_answer_of_an_engine_is_none(answer):
    """Guards against orders that follow a redirect, and reports without a bound."""
    fleet = Fleet()
    client = engines.EngineClient()
    await client.start()
    try:
        address = f"127.0.0.1:{await fleet._serve(answer)}"
        assert await client.report("e1", address) is None
        order = EngineOrder("e1", address, LOAD, "m1", "", 1, "v1", 1)
        # Only the status of an answer to an order matters.
        assert await client.order(order) in (NO_ANSWER, ALREADY_DONE)
        if answer.status_code == 307:
            assert await client.order(order) == NO_ANSWER
    finally:
        await client.close()
        for server, task in fleet._servers:
            server.should_exit = server.force_exit = True
            await task


class StubHttp:
    """Answers each request of a client of the own stack with one JSON value."""

    def __init__(self, value):
        self.response = PlatformResponse(200, json.dumps(value).encode())

    async def request(self, *arguments, **options):
        return self.response


def _client(kind, http):
    client = kind.__new__(kind)
    for name in ("_http", "_kv_http", "backend"):
        if name in kind.__slots__:
            setattr(client, name, http)
    return client


EVENT = {"offset": 3, "action": "stored", "model": "m", "prefix_hash": "a"}
RESIDENT = {
    "name": "m",
    "kind": "model",
    "version": "1",
    "state": "ready",
    "memory_mb": 5,
}
CALLS = {
    "load": (
        HttpEngineClient,
        lambda client: client.load(),
        {"running": 1, "residents": [RESIDENT], "state": "live", "as_of_ms": 5.5},
    ),
    "order state": (
        HttpEngineClient,
        lambda client: client.order_state("o"),
        {"state": "done"},
    ),
    "cache events": (
        HttpEngineClient,
        lambda client: client.cache_events(3),
        {"events": [EVENT], "earliest": 0, "next": 4},
    ),
    "log page": (
        HttpLogClient,
        lambda client: client.read("s", 3, 5),
        {"records": [{"offset": 3, "value": {"k": 1}}], "earliest": 0, "next": 4},
    ),
    "append": (
        HttpLogClient,
        lambda client: client.append("s", [1]),
        {"offsets": [3]},
    ),
    "VMs": (
        HttpVmListClient,
        lambda client: client.list_vms(),
        {
            "vms": [
                {
                    "name": "a",
                    "zone": "z",
                    "address": "a:1",
                    "kind": "entry",
                    "state": "live",
                }
            ]
        },
    ),
    "limits": (
        HttpWeightStoreClient,
        lambda client: client.limits(),
        {"loads_per_s": 2.5, "concurrent_loads": 3},
    ),
}


@pytest.mark.parametrize("call", CALLS)
@pytest.mark.usefixtures("quiet_logs")
async def test_mutated_answer_is_read_or_counts_as_an_outage(call):
    """Guards against a task of the daemon that ends by an odd answer."""
    kind, send, sound = CALLS[call]
    await send(_client(kind, StubHttp(sound)))
    for seed in range(2_000):
        rng = random.Random(seed)
        value = mutate(mutate(sound, rng), rng)
        try:
            result = await send(_client(kind, StubHttp(value)))
        except (PlatformUnavailable, AppendOutcomeUnknown):
            continue
        if call == "limits":
            assert result.concurrent_loads >= 1
