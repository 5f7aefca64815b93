"""Tests of the operators' API against a log with faults."""

import asyncio

import pytest

from cassiamount import operator_api, stream_reader
from cassiamount.config_state import ConfigState
from cassiamount.errors import AppendOutcomeUnknown, PlatformUnavailable
from cassiamount.operator_api import (
    InvalidDocument,
    LostRace,
    OperatorApi,
    Refused,
)
from cassiamount.records import (
    Checkpoint,
    ClaimLease,
    RegisterVm,
    RenewLease,
    encode_record,
)
from cassiamount.stream_reader import CheckpointMissing
from cassiamount.zone_state import ZoneState

from .documents import DOCUMENT, with_value
from .fake_log import DOWN, LIMIT, REQUEST_LOST, RESPONSE_LOST, FakeLog

OTHER = with_value(DOCUMENT, "teams", 1, "burst_tokens", value=77)


@pytest.fixture(autouse=True)
def no_waits(monkeypatch):
    async def sleep(seconds):
        pass

    monkeypatch.setattr(stream_reader.asyncio, "sleep", sleep)


@pytest.fixture
def log():
    return FakeLog()


async def published(log, document=DOCUMENT, base_version=0):
    api = OperatorApi(log, "ann")
    result = await api.publish(document, base_version)
    assert result.is_ok(), result
    return api


async def test_publish_then_stale_publish(log):
    """Guards against a publish that overwrites one that its author has not seen."""
    await published(log)
    result = await OperatorApi(log, "bob").publish(OTHER, 0)
    lost = result.unwrap_err()
    assert isinstance(lost, LostRace)
    assert (lost.base_version, lost.version_in_force) == (0, 1)
    assert lost.document_in_force == DOCUMENT
    # It was known to be stale, so nothing was written.
    assert len(log.streams["config"]) == 1


async def test_race_between_read_and_append(log):
    """Guards against two operators who both believe that they have published."""
    await published(log)
    ann, bob = OperatorApi(log, "ann"), OperatorApi(log, "bob")
    third = with_value(DOCUMENT, "teams", 1, "burst_tokens", value=99)

    async def race():
        assert (await bob.publish(OTHER, 1)).unwrap().version == 2

    log.before_append = race
    lost = (await ann.publish(third, 1)).unwrap_err()
    assert isinstance(lost, LostRace)
    assert (lost.base_version, lost.version_in_force) == (1, 2)
    state = await ann.read_state()
    assert state.document == OTHER
    assert "based on version 1" in state.rejections[-1].reason


async def test_many_racing_operators(log):
    """Guards against more than one winner for one base version."""
    apis = [OperatorApi(log, f"op-{number}") for number in range(8)]
    documents = [
        with_value(DOCUMENT, "teams", 1, "burst_tokens", value=100 + number)
        for number in range(8)
    ]
    results = await asyncio.gather(
        *(
            api.publish(document, 0)
            for api, document in zip(apis, documents, strict=True)
        )
    )
    winners = [number for number, result in enumerate(results) if result.is_ok()]
    assert len(winners) == 1
    states = [await api.read_state() for api in apis]
    assert {state.digest() for state in states} == {states[0].digest()}
    assert states[0].document == documents[winners[0]]


async def test_invalid_document_is_not_written(log):
    """Guards against a publish that every VM then rejects."""
    result = await OperatorApi(log).publish({"zones": []}, 0)
    assert isinstance(result.unwrap_err(), InvalidDocument)
    assert "config" not in log.streams


@pytest.mark.parametrize(
    ("append_faults", "read_faults", "written"),
    [
        ([RESPONSE_LOST], [], 1),
        ([REQUEST_LOST], [], 1),
        ([REQUEST_LOST, DOWN, RESPONSE_LOST], [], 1),
        ([LIMIT, LIMIT], [], 1),
        # The answer is lost and the log is down for the next two reads.
        ([RESPONSE_LOST], [None, DOWN, DOWN], 1),
        ([REQUEST_LOST], [None, DOWN, DOWN], 1),
    ],
)
async def test_lost_answers_are_settled_by_reading(
    log, append_faults, read_faults, written
):
    """Guards against a record that is written twice or not at all."""
    log.append_faults, log.read_faults = append_faults, read_faults
    api = OperatorApi(log)
    assert (await api.publish(DOCUMENT, 0)).unwrap().version == 1
    assert len(log.streams["config"]) == written


@pytest.mark.parametrize(
    ("append_faults", "read_faults", "error"),
    [
        ([DOWN], [], PlatformUnavailable),
        ([], [DOWN], PlatformUnavailable),
        ([RESPONSE_LOST], [None, *[DOWN] * 9], AppendOutcomeUnknown),
        ([None], [None, *[DOWN] * 9], AppendOutcomeUnknown),
        ([REQUEST_LOST, *[DOWN] * 9], [], AppendOutcomeUnknown),
    ],
)
async def test_outage_is_told_truthfully(log, append_faults, read_faults, error):
    """Guards against "nothing changed" for a record that may be in the log."""
    log.append_faults, log.read_faults = append_faults, read_faults
    with pytest.raises(error) as raised:
        await OperatorApi(log).publish(DOCUMENT, 0)
    assert raised.type is error


async def test_keys_and_drains(log):
    """Guards against a key that works for another team or after its withdrawal."""
    api = await published(log)
    given = (await api.give_key("riggers", "shop")).unwrap()
    state = await api.read_state()
    assert state.keys.resolve(given.key) == "riggers"
    assert given.key not in repr(given)
    assert given.key not in str(log.streams)
    assert isinstance((await api.give_key("nobody")).unwrap_err(), Refused)
    assert (await api.withdraw_key(given.key)).is_ok()
    assert (await api.withdraw_key(given.key_hash)).is_ok()
    assert (await api.read_state()).keys.resolve(given.key) is None
    assert (await api.drain("engine-1")).is_ok()
    assert (await api.read_state()).drained == {"engine-1"}
    assert (await api.undrain("engine-1")).is_ok()
    assert "unknown backend" in (await api.drain("engine-9")).unwrap_err().reason


async def test_withdrawn_key_in_a_document_is_reported(log):
    """Guards against an operator who believes that a withdrawn key works again."""
    api = await published(log)
    given = (await api.give_key("riggers")).unwrap()
    await api.withdraw_key(given.key)
    document = with_value(DOCUMENT, "teams", 1, "keys", value=[given.key_hash])
    result = (await api.publish(document, 1)).unwrap()
    assert result.withdrawn_keys == [given.key_hash]


ZONE_RECORDS = [
    RegisterVm("1", "vm-1@f", "127.0.0.1:1", "f"),
    ClaimLease("2", "vm-1@f", "budget/0", 0, 0),
    RenewLease("3", "vm-1@f", "budget/0", 2),
]


@pytest.mark.parametrize(
    ("holder", "fence", "renewed", "reason"),
    [
        ("vm-1@f", 2, False, None),
        ("vm-1@f", 2, True, "was claimed or renewed"),
        ("vm-1@e", 2, False, "is not held by vm-1@e"),
        ("vm-1@f", 1, False, "with fence 1"),
    ],
)
async def test_release_lease(log, monkeypatch, holder, fence, renewed, reason):
    """Guards against a lease that is taken from a holder that still uses it."""
    await log.append("zone-a", [encode_record(record) for record in ZONE_RECORDS])

    async def sleep(seconds):
        if renewed:
            record = RenewLease("4", "vm-1@f", "budget/0", 2)
            await log.append("zone-a", [encode_record(record)])

    monkeypatch.setattr(operator_api.asyncio, "sleep", sleep)
    result = await OperatorApi(log).release_lease("a", "budget/0", holder, fence)
    if reason is None:
        assert result.unwrap().offset == 3
        state = ZoneState("a")
        await stream_reader.StreamReader(log, "zone-a", state).catch_up()
        assert state.leases["budget/0"].released
    else:
        assert reason in result.unwrap_err().reason
        assert all(value["kind"] != "release-lease" for value in log.streams["zone-a"])


async def trimmed_log(log, covers_offset, earliest):
    """Fill a log with drains and a checkpoint, and trim it."""
    api = await published(log)
    for _ in range(3):
        await api.drain("engine-1")
        await api.undrain("engine-1")
    fold = ConfigState()
    reader = stream_reader.StreamReader(log, "config", fold)
    await reader.catch_up()
    state = fold.to_state()
    checkpoint = Checkpoint("c", "vm-1@1", covers_offset, state)
    malformed = Checkpoint("m", "vm-1@1", covers_offset, {})
    await log.append("config", [encode_record(malformed), encode_record(checkpoint)])
    await api.drain("orders-1")
    log.earliest["config"] = earliest
    return api


async def test_state_is_read_from_a_checkpoint(log):
    """Guards against an operator who sees only what was not trimmed."""
    api = await trimmed_log(log, covers_offset=6, earliest=7)
    state = await OperatorApi(log).read_state()
    assert state.drained == {"orders-1"}
    assert state.digest() == (await api.read_state()).digest()


async def test_trimmed_log_without_a_checkpoint_is_an_error(log):
    """Guards against a state that silently lacks the records that were trimmed."""
    await trimmed_log(log, covers_offset=6, earliest=8)
    with pytest.raises(CheckpointMissing):
        await OperatorApi(log).read_state()
