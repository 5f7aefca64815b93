"""Tests of what a reader knows of a stream of keyed records."""

import random

import pytest

from cassiamount.metadata_store import KeyedRecord, KeyedView


def record(offset, key, value=b"v"):
    return KeyedRecord(offset, key, value)


def test_records_after_a_gap_are_not_taken():
    """Guards against a reader that goes on as if nothing had been missed."""
    view = KeyedView()
    view.reload([record(0, "a", b"1")], 1)
    assert not view.apply([record(5, "a", b"2")], 5, 6)
    assert view.values["a"] == (0, b"1")
    assert view.next_offset == 1


def test_reload_drops_keys_that_are_gone():
    """Guards against a backend server that stays known after lost history."""
    view = KeyedView()
    view.reload([record(0, "a"), record(1, "b")], 2)
    assert view.reload([record(7, "b")], 9)
    assert set(view.values) == {"b"}


def test_older_reload_changes_nothing():
    """Guards against a peer that is behind and takes a configuration back."""
    view = KeyedView()
    view.reload([record(4, "a", b"new")], 5)
    assert not view.reload([record(1, "a", b"old")], 2)
    assert view.values["a"] == (4, b"new")


@pytest.mark.parametrize("seed", range(20))
def test_any_mixture_of_reads_and_relays_gives_the_same(seed):
    """Guards against records from peers that reorder or repeat what was read."""
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
    view.reload([], 0)
    while view.next_offset < len(log):
        start = rng.randint(0, view.next_offset)
        end = rng.randint(start, len(log))
        view.apply(log[start:end], start, end)
    assert view.values == expected


@pytest.mark.parametrize(
    ("offset", "offsets"),
    [(0, None), (3, [3, 4]), (5, [])],
    ids=["far", "near", "even"],
)
def test_records_for_a_peer_that_is_behind(offset, offsets):
    """Guards against a peer that gets records with a gap."""
    view = KeyedView()
    view.reload([record(0, "a")], 2)
    view.apply([record(2, "b"), record(3, "c"), record(4, "a")], 2, 5)
    found = view.since(offset)
    assert (None if found is None else [r.offset for r in found]) == offsets
