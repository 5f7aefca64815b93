"""Tests of the local view of a stream of keyed records."""

import random

import pytest

from cassiamount import metadata_store
from cassiamount.metadata_store import KeyedRecord, KeyedView
from cassiamount.store_position import position


def record(offset, key, value=b"v"):
    return KeyedRecord(offset, key, value)


def test_records_after_a_gap_are_ignored():
    """Guards against a view that skips missing records and advances its offset."""
    view = KeyedView()
    view.load_snapshot([record(0, "a", b"1")], 1)
    assert not view.apply([record(5, "a", b"2")], 5, 6)
    assert view.values["a"] == (0, b"1")
    assert view.next_offset == 1


def test_snapshot_removes_deleted_keys():
    """Guards against a deleted backend server that stays after trimmed history."""
    view = KeyedView()
    view.load_snapshot([record(0, "a"), record(1, "b")], 2)
    assert view.load_snapshot([record(7, "b")], 9)
    assert set(view.values) == {"b"}


def test_older_snapshot_is_ignored():
    """Guards against a lagging peer that reverts the configuration."""
    view = KeyedView()
    view.load_snapshot([record(4, "a", b"new")], 5)
    assert not view.load_snapshot([record(1, "a", b"old")], 2)
    assert view.values["a"] == (4, b"new")


@pytest.mark.parametrize("seed", range(20))
def test_overlapping_pages_converge(seed):
    """Guards against wrong values after repeated or overlapping pages of records."""
    rng = random.Random(seed)
    log = [
        record(offset, rng.choice("abcd"), rng.choice([b"1", b"2", None]))
        for offset in range(60)
    ]
    expected = {}
    for item in log:
        expected.pop(item.key, None)
        if item.value is not None:
            expected[item.key] = (item.offset, item.value)
    view = KeyedView()
    view.load_snapshot([], 0)
    while view.next_offset < len(log):
        start = rng.randint(0, view.next_offset)
        end = rng.randint(start, len(log))
        view.apply(log[start:end], start, end)
    assert view.values == expected


@pytest.mark.parametrize(
    ("offset", "offsets"),
    [(0, None), (2, [2, 3, 4]), (3, [3, 4]), (5, [])],
    ids=["too-far", "all-changes", "some-changes", "up-to-date"],
)
def test_records_for_a_lagging_peer(offset, offsets):
    """Guards against a delta that skips records the peer lacks."""
    view = KeyedView()
    view.load_snapshot([record(0, "a")], 2)
    view.apply([record(2, "b"), record(3, "c"), record(4, "a", b"2")], 2, 5)
    found = view.since(offset)
    assert (None if found is None else [r.offset for r in found]) == offsets


def first_byte_is_equal(key, before, after):
    return before[:1] == after[:1]


@pytest.mark.parametrize("trims", [False, True])
@pytest.mark.parametrize("seed", range(30))
def test_peers_converge_by_deltas(seed, trims, monkeypatch):
    """Guards against deltas that lose a change.

    Views exchange deltas because relaying every record was too much: heartbeats of
    115 backend servers took 0.86 GB between zones in half a day.
    """
    monkeypatch.setattr(metadata_store, "MAX_TOMBSTONES", 3)
    rng = random.Random(seed)
    reader = KeyedView(first_byte_is_equal)
    peers = [KeyedView(first_byte_is_equal) for _ in range(3)]
    reader.load_snapshot([], 0)
    first_bytes = {}
    log = []
    is_behind = False
    for offset in range(200):
        key = rng.choice("abcdefgh")
        value = rng.choice([b"x%d", b"x%d", b"x%d", b"y%d", None])
        value = None if value is None else value % offset
        before = first_bytes.get(key)
        first_bytes[key] = None if value is None else value[:1]
        log.append(record(offset, key, value))
        if trims and rng.random() < 0.3:
            # The reader is late, and the store has trimmed what it lacks.
            is_behind = True
        elif is_behind:
            newest = {item.key: item for item in log}
            newest = [item for item in newest.values() if item.value is not None]
            reader.load_snapshot(newest, offset + 1)
            is_behind = False
        else:
            changed = reader.apply([log[-1]], offset, offset + 1)
            assert changed == (first_bytes[key] != before)
        receiver, sender = rng.choice(peers), rng.choice([reader, *peers])
        if sender.next_offset is None or sender is receiver:
            continue
        records = None
        if receiver.next_offset is not None:
            records = sender.since(receiver.next_offset)
        if records is None:
            receiver.load_snapshot(sender.all_records(), sender.next_offset)
        else:
            receiver.apply(
                records, receiver.next_offset, sender.next_offset, is_delta=True
            )
    newest = {item.key: item for item in log}
    newest = [item for item in newest.values() if item.value is not None]
    reader.load_snapshot(newest, len(log))
    for peer in peers:
        records = reader.since(peer.next_offset)
        if records is None:
            peer.load_snapshot(reader.all_records(), reader.next_offset)
        else:
            peer.apply(records, peer.next_offset, reader.next_offset, is_delta=True)
        known = {key: value[:1] for key, (_, value) in peer.values.items()}
        assert known == {key: m for key, m in first_bytes.items() if m is not None}


def test_snapshot_is_passed_on_as_the_changes_that_it_brings():
    """Guards against the whole list for every VM each time the store trims it."""
    view = KeyedView(first_byte_is_equal)
    view.load_snapshot([record(0, "a", b"x1"), record(1, "b", b"x1")], 2)
    view.load_snapshot([record(8, "a", b"x2"), record(7, "c", b"x1")], 9)
    assert [(r.key, r.value) for r in view.since(2)] == [("c", b"x1"), ("b", None)]
    # A VM that has read some of the trimmed records may know more keys.
    assert view.since(5) is None
    assert view.since(9) == []


def test_equivalent_values_are_not_sent_to_peers():
    """Guards against relaying each heartbeat of each backend server."""
    view = KeyedView(first_byte_is_equal)
    view.load_snapshot([record(0, "a", b"x1"), record(1, "b", b"x1")], 2)
    assert not view.apply([record(2, "a", b"x2")], 2, 3)
    assert view.apply([record(3, "b", b"y1")], 3, 4)
    assert [item.key for item in view.since(2)] == ["b"]


def old(offset, key, value=b"v"):
    """Return a record of the first era."""
    return record(position(1, offset), key, value)


def new(offset, key, value=b"v"):
    """Return a record of the second era."""
    return record(position(2, offset), key, value)


def first_number(key, value):
    return (int(value[:1]),)


def make_ranked_view(records, **options):
    """Return a view in the first era whose values begin with their rank."""
    view = KeyedView(rank=first_number, **options)
    view.load_snapshot(records, position(1, 50))
    return view


@pytest.mark.parametrize(
    ("keeps_lost", "copy", "later", "expected"),
    [
        (False, [new(0, "a", b"1")], [], {"a": b"3"}),
        (False, [new(0, "a", b"3x")], [], {"a": b"3x"}),
        (False, [new(0, "a", b"4")], [], {"a": b"4"}),
        (False, [new(0, "a", b"1")], [new(9, "a", b"3y")], {"a": b"3y"}),
        (False, [new(0, "a", b"1")], [new(9, "a", None)], {}),
        (False, [], [], {}),
        (False, [], [new(9, "a", b"3")], {"a": b"3"}),
        (True, [], [], {"a": b"3"}),
        (True, [], [new(9, "a", b"3y")], {"a": b"3y"}),
        (False, [new(0, "gone", b"1")], [], {}),
        (False, [new(0, "gone", b"2")], [], {}),
        (False, [new(0, "gone", b"3")], [], {"gone": b"3"}),
    ],
    ids=[
        "older",
        "same rank",
        "newer",
        "written again",
        "deleted again",
        "lost",
        "lost, written again",
        "lost, kept",
        "lost, kept, written again",
        "deleted before",
        "deleted at this rank",
        "created again",
    ],
)
def test_copy_of_the_store_against_what_was_known(keeps_lost, copy, later, expected):
    """Guards against records that come back with the older copy of a restored store."""
    known = [old(20, "gone", b"2"), old(21, "a", b"3")]
    view = make_ranked_view(known, keeps_lost=keeps_lost)
    view.apply([old(50, "gone", None)], position(1, 50), position(1, 51))
    view.load_snapshot(copy, position(2, 9))
    view.apply(later, position(2, 9), position(2, 10))
    assert {key: value for key, (_, value) in view.values.items()} == expected


def test_records_of_an_earlier_era_change_nothing():
    """Guards against a peer in the old era that brings lost records back."""
    view = make_ranked_view([old(3, "a", b"3")])
    view.load_snapshot([new(0, "a", b"4")], position(2, 1))
    assert not view.load_snapshot([old(60, "a", b"3")], position(1, 70))
    assert not view.apply([old(60, "a", b"3")], position(1, 55), position(1, 70))
    assert view.next_offset == position(2, 1)
    assert view.values["a"][1] == b"4"


@pytest.mark.parametrize(
    ("key", "value"), [("a", b"3"), ("gone", None)], ids=["value", "tombstone"]
)
def test_newer_records_than_the_copy_reach_a_vm_that_has_only_the_copy(key, value):
    """Guards against a restarted VM that works with what a restored store has."""
    view = make_ranked_view([old(3, "a", b"3"), old(4, "gone", b"2")])
    view.apply([old(50, "gone", None)], position(1, 50), position(1, 51))
    copy = [new(0, "a", b"1"), new(1, "gone", b"2")]
    view.load_snapshot(copy, position(2, 2))
    restarted = KeyedView(rank=first_number)
    restarted.load_snapshot(copy, position(2, 2))
    assert restarted.apply_carried(view.carried_since(0))
    assert restarted.values.get(key, (None, None))[1] == value
    assert view.carried_since(2) == []
    # A third VM learns the same from the second.
    assert {r.key for r in restarted.carried_since(0)} == {"a", "gone"}


def test_key_that_was_lost_and_then_deleted_stays_deleted_in_the_next_era():
    """Guards against a server that left and comes back with a second restored store."""
    view = make_ranked_view([old(21, "a", b"3")])
    view.load_snapshot([], position(2, 9))
    view.apply([new(9, "a", None)], position(2, 9), position(2, 10))
    view.load_snapshot([record(position(3, 4), "a", b"3")], position(3, 9))
    assert view.values == {}
    later = record(position(3, 9), "a", b"4")
    view.apply([later], position(3, 9), position(3, 10))
    assert view.values["a"][1] == b"4"
