"""Tests of the client of the users' metadata store against the stand-in."""

import aiohttp
import pytest

from cassiamount.metadata_store import BACKENDS, CONFIGURATION, HistoryTrimmed
from cassiamount.platform.store import PlatformStore as StoreClient
from tests.fleet_fixtures import Fleet


@pytest.fixture
async def fleet():
    fleet = Fleet()
    fleet.session = aiohttp.ClientSession()
    fleet.store_port = await fleet._serve(fleet.store.app)
    yield fleet
    await fleet.stop()


@pytest.fixture
async def client(fleet):
    client = StoreClient(f"127.0.0.1:{fleet.store_port}")
    await client.start()
    yield client
    await client.close()


@pytest.mark.parametrize(
    "written_again",
    [0, 1, 2, 5],
    ids=["beyond the end", "at the end", "same offset", "offsets given out again"],
)
async def test_reader_learns_that_the_store_lost_records(fleet, client, written_again):
    """Guards against records that are missed because their offsets were used before."""
    for number in range(4):
        fleet.store.put("keyed.op", "config", number)
    before = await client.newest(CONFIGURATION)
    fleet.store.restore({"keyed.op": 3}, 0)
    for number in range(written_again):
        fleet.store.put("keyed.op", "config", 10 + number)
    with pytest.raises(HistoryTrimmed):
        await client.read(CONFIGURATION, before.next_offset, 0)
    after = await client.newest(CONFIGURATION)
    assert after.next_offset > before.next_offset
    assert after.records[0].offset > before.records[0].offset
    page = await client.read(CONFIGURATION, after.next_offset, 0)
    assert (page.records, page.next_offset) == ([], after.next_offset)


async def test_reader_of_one_stream_learns_it_from_any_answer(fleet, client):
    """Guards against a long poll at an offset from before the store lost records."""
    fleet.store.put("keyed.op", "config", 1)
    before = await client.newest(CONFIGURATION)
    fleet.store.restore({}, 0)
    await client.newest(BACKENDS)
    calls = fleet.store.calls
    with pytest.raises(HistoryTrimmed):
        await client.read(CONFIGURATION, before.next_offset, 700)
    assert fleet.store.calls == calls


async def test_fencing_tokens_grow_although_the_store_lost_memberships(fleet, client):
    """Guards against two holders of the order lease with one fencing token."""
    for name in ("v1", "v2", "v3"):
        before = await client.join_lease(name, 1500, 0)
    fleet.store.restore({}, 1)
    await client.newest(BACKENDS)
    after = await client.join_lease("v3", 1500, before.generation)
    assert after.generation > before.generation
    assert fleet.store.named_generations[-1] == 0
    again = await client.join_lease("v3", 1500, after.generation)
    assert again.generation == after.generation
    assert fleet.store.named_generations[-1] == fleet.store.generation
