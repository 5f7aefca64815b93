"""Tests of the stream cursor: gaps, checkpoints and undecodable records."""

import random

import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st

from cassiamount.claim_state import ClaimState
from cassiamount.errors import InvariantViolation
from cassiamount.log_client import sanitize_value
from cassiamount.records import (
    RECORD_CLASSES,
    Checkpoint,
    ClaimRequest,
    WithdrawKey,
    encode_record,
)
from cassiamount.stream_cursor import StreamCursor
from tests.fakes import ListFold
from tests.test_records import JSON


def withdraw_key(id):
    return encode_record(WithdrawKey(id, "vm", "sha256:00"))


def checkpoint(covers_offset, ids, id="c"):
    state = {"ids": ids, "skipped": []}
    return encode_record(Checkpoint(id, "vm", covers_offset, state))


def cursor_with(*ids):
    cursor = StreamCursor("config", ListFold())
    cursor.on_records(list(enumerate(map(withdraw_key, ids))))
    return cursor


def test_repeated_and_missing_offsets_reach_the_fold_once_and_in_order():
    """Guards against applying a record twice and against skipping a gap."""
    cursor = cursor_with("a", "b")
    processed = cursor.on_records(
        [(1, withdraw_key("b")), (2, withdraw_key("c")), (4, withdraw_key("e"))]
    )
    assert [item.offset for item in processed] == [2]
    assert (cursor.fold.ids, cursor.read_offset) == (["a", "b", "c"], 3)


@pytest.mark.parametrize(
    ("records", "ids"),
    [
        # Without a checkpoint the missing records are never skipped.
        ([withdraw_key("f"), withdraw_key("g")], None),
        # The checkpoint is older than the first record that is left.
        ([withdraw_key("f"), checkpoint(3, ["a", "x"])], None),
        # A checkpoint cannot cover itself.
        ([withdraw_key("f"), checkpoint(6, ["a", "x"])], None),
        ([withdraw_key("f"), checkpoint(99, ["a", "x"])], None),
        ([withdraw_key("f"), encode_record(Checkpoint("c", "vm", 4, {"no": 1}))], None),
        ([withdraw_key("f"), checkpoint(4, ["a", "x"])], ["a", "x", "f"]),
        # Covers a buffered record, which must not be applied again.
        (
            [withdraw_key("f"), checkpoint(5, ["a", "x", "f"]), withdraw_key("h")],
            ["a", "x", "f", "h"],
        ),
        (
            [checkpoint(3, ["z"]), withdraw_key("g"), checkpoint(5, ["y"], "d")],
            ["y", "g"],
        ),
    ],
)
def test_after_trimming_only_a_sufficient_checkpoint_continues(records, ids):
    """Guards against continuing in spite of missing records, and against a checkpoint
    that leaves a gap or applies a record twice."""
    cursor = cursor_with("a")
    assert cursor.on_trimmed(5)
    cursor.on_records(list(enumerate(records, 5)))
    assert cursor.needs_checkpoint is (ids is None)
    assert cursor.fold.ids == (["a"] if ids is None else ids)
    assert cursor.read_offset == 5 + len(records)
    assert cursor.fold.next_offset == (1 if ids is None else cursor.read_offset)
    malformed = encode_record(Checkpoint("c", "vm", 4, {"no": 1})) in records
    assert cursor.bad_record_count == malformed


def test_records_trimmed_during_a_search_start_it_again():
    """Guards against a gap between the buffer and the records read next."""
    cursor = cursor_with("a")
    cursor.on_trimmed(5)
    cursor.on_records([(5, withdraw_key("f"))])
    assert not cursor.on_trimmed(6)
    assert cursor.on_trimmed(9)
    cursor.on_records([(9, withdraw_key("j")), (10, checkpoint(5, ["a", "x"]))])
    assert cursor.needs_checkpoint
    cursor.on_records([(11, checkpoint(8, ["a", "y"], "d"))])
    assert cursor.fold.ids == ["a", "y", "j"]


@pytest.mark.parametrize(
    ("covers", "loaded"), [(0, False), (3, False), (4, True), (5, True), (6, True)]
)
def test_snapshot_of_a_peer_must_close_the_gap(covers, loaded):
    """Guards against a snapshot that is too old for the records that are left."""
    cursor = cursor_with("a")
    cursor.on_trimmed(5)
    cursor.on_records([(5, withdraw_key("f")), (6, withdraw_key("g"))])
    processed = cursor.on_snapshot(covers, {"ids": ["s"], "skipped": []})
    assert (processed is not None) is loaded
    assert cursor.needs_checkpoint is not loaded
    if loaded:
        assert cursor.fold.ids == ["s", *["f", "g"][covers - 4 :]]
        assert cursor.fold.next_offset == 7


def test_state_never_goes_back():
    """Guards against an old snapshot that reverts an accepted configuration."""
    cursor = cursor_with("a", "b", "c")
    assert cursor.on_snapshot(1, {"ids": ["old"], "skipped": []}) is None
    with pytest.raises(InvariantViolation):
        cursor._load(1, {"ids": ["old"], "skipped": []}, "test")
    assert cursor.fold.ids == ["a", "b", "c"]


def test_bad_records_are_reported_and_skipped():
    """Guards against a bad record that stops the follower or is not reported."""
    cursor = cursor_with()
    values = [
        withdraw_key("a"),
        ["no object"],
        {"kind": "?"},
        withdraw_key("poison"),
        withdraw_key("b"),
    ]
    processed = cursor.on_records(list(enumerate(values)))
    assert cursor.fold.ids == ["a", "b"]
    assert [item.record is None for item in processed] == [0, 1, 1, 1, 0]
    found = [(bad.stream, bad.offset) for bad in cursor.bad_records]
    assert found == [("config", 1), ("config", 2), ("config", 3)]


@given(
    st.lists(JSON | st.sampled_from(sorted(RECORD_CLASSES)).map(lambda k: {"kind": k})),
    st.integers(0, 2**16),
)
def test_any_records_leave_every_reader_with_the_same_state(values, seed):
    """Guards, by random input, against values that stop a reader and against skipped
    records that depend on how the stream was divided into pages."""
    rng = random.Random(seed)
    values = [*values, withdraw_key("a"), *reversed(values), withdraw_key("b")]
    values = [sanitize_value(value) for value in values]
    orjson.dumps(values)
    readers = [StreamCursor("config", ListFold()) for _ in range(2)]
    for reader in readers:
        while reader.read_offset < len(values):
            start = reader.read_offset
            stop = start + rng.randint(1, len(values))
            reader.on_records(list(enumerate(values[start:stop], start)))
    assert readers[0].fold.digest() == readers[1].fold.digest()
    assert [bad.offset for bad in readers[0].bad_records] == [
        bad.offset for bad in readers[1].bad_records
    ]


def test_claims_go_on_at_the_earliest_record_without_a_checkpoint():
    """Guards against a VM that never follows a trimmed claim stream.

    Claim streams hold no checkpoints. A claim that was in the log before the VM read
    the head may have lost to a trimmed claim, so it does not count as won.
    """
    cursor = StreamCursor("claims-0", ClaimState("claims-0"))
    assert cursor.on_trimmed(5)
    cursor.on_head(7)
    records = [
        ClaimRequest(f"id-{n}", "vm@1", "team", f"key-{n}", "f", f"r-{n}", 1_000)
        for n in (5, 6, 7)
    ]
    cursor.on_records([(n + 5, encode_record(r)) for n, r in enumerate(records)])
    assert cursor.read_offset == 8
    assert [cursor.fold.holds_key(f"r-{n}") for n in (5, 6, 7)] == [False, False, True]
