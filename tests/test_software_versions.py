"""Tests of what a VM knows of software versions and of where streams began."""

import math

import pytest

from cassiamount.change_counter import ChangeCounter
from cassiamount.fleet import BackendRecord
from cassiamount.software_store import (
    decode_streams,
    decode_versions,
    encode_versions,
)
from cassiamount.software_versions import (
    FORGET_MS,
    LIST_STALE,
    MAX_ABSENCE_MS,
    MAX_LIST_AGE_MS,
    MAX_STREAMS,
    SETTLE_MS,
    STREAM_LIFE_MS,
    STREAM_UNKNOWN,
    SoftwareVersions,
)


def listed(*versions, service="s"):
    """Return entries of servers, one for each version."""
    return [
        BackendRecord(f"{service}{n}", service, f"{n}:1", "z", software=version)
        for n, version in enumerate(versions)
    ]


def make_versions(known_since_ms=-math.inf):
    return SoftwareVersions(ChangeCounter(), known_since_ms)


@pytest.mark.parametrize(
    ("seen", "now_ms", "expected"),
    [
        ([(0, ["v1"])], 1, "v1"),
        ([(0, ["v1", "v2"])], 1, None),
        ([(0, ["v1"]), (10, ["v2"])], 20, None),
        ([(0, ["v1"]), (10, ["v2"])], STREAM_LIFE_MS + 11, "v2"),
        ([(0, ["v1"]), (10, [])], 20, "v1"),
        ([(0, ["v1"]), (10, [])], STREAM_LIFE_MS + 11, None),
        ([], 1, None),
    ],
    ids=["one", "two", "replaced", "long ago", "gone", "gone long ago", "none"],
)
def test_stream_that_is_not_known_began_at_the_only_version(seen, now_ms, expected):
    """Guards against a guess between two versions, and against needless refusals."""
    versions = make_versions()
    for at_ms, names in seen:
        others = listed("w1", "w2", service="other")
        versions.observe(listed(*names) + others, at_ms)
    assert versions.origin_of("r", "s", now_ms, 0.0)[0] == expected


@pytest.mark.parametrize(
    ("known_since_ms", "expected"),
    [(-math.inf, "v1"), (0.0, None), (-STREAM_LIFE_MS, "v1")],
    ids=["first start", "restart", "told by a peer"],
)
def test_vm_that_lacks_the_past_does_not_take_one_version_for_the_only(
    known_since_ms, expected
):
    """Guards against servers of an older version that left before the VM started."""
    versions = make_versions(0.0)
    versions.observe(listed("v1"), 0.0)
    peer = make_versions(known_since_ms)
    versions.apply(peer.part_since(0, 0.0), 0.0)
    assert versions.origin_of("r", "s", 0.0, 0.0)[0] == expected


@pytest.mark.parametrize(
    ("names", "list_age_ms", "expected"),
    [
        (["v1"], MAX_LIST_AGE_MS, ("v1", None)),
        (["v1"], MAX_LIST_AGE_MS + 1, (None, LIST_STALE)),
        (["v1"], math.inf, (None, LIST_STALE)),
        (["v1", "v2"], math.inf, (None, STREAM_UNKNOWN)),
    ],
)
def test_old_list_does_not_tell_the_only_version(names, list_age_ms, expected):
    """Guards against a stream that goes on at a VM which missed a release."""
    versions = make_versions()
    versions.observe(listed(*names), 0.0)
    versions.record_stream("known", "v1", 0.0)
    assert versions.origin_of("r", "s", 1.0, list_age_ms) == expected
    assert versions.origin_of("known", "s", 1.0, list_age_ms) == ("v1", None)


LATER_MS = 10_000.0
BACK_MS = LATER_MS + MAX_ABSENCE_MS


@pytest.mark.parametrize(
    ("known_since_ms", "seen", "now_ms", "expected"),
    [
        (-math.inf, [(0, ["v1"])], 0, {}),
        (-math.inf, [(0, ["v1", "v2"])], 0, {}),
        (-math.inf, [(0, []), (5, ["v1"])], 5, {}),
        (0.0, [(0, ["v1"])], 0, {"v1": SETTLE_MS}),
        (0.0, [(0, ["v1", "v2"])], 5, {"v1": SETTLE_MS - 5, "v2": SETTLE_MS - 5}),
        (-math.inf, [(0, ["v1"]), (9, ["v1", "v2"])], 10, {"v2": SETTLE_MS - 1}),
        (-math.inf, [(0, ["v1"]), (9, ["v1", "v2"])], 9 + SETTLE_MS, {}),
        (-math.inf, [(0, ["v1"]), (9, ["v2"])], 9, {"v2": SETTLE_MS}),
        (
            -math.inf,
            [(0, ["v1", "v2"]), (LATER_MS, ["v1"]), (BACK_MS, ["v1", "v2"])],
            BACK_MS,
            {},
        ),
        (
            -math.inf,
            [(0, ["v1", "v2"]), (LATER_MS, ["v1"]), (BACK_MS + 1, ["v1", "v2"])],
            BACK_MS + 1,
            {"v2": SETTLE_MS},
        ),
    ],
    ids=[
        "only",
        "first list",
        "first one",
        "restart",
        "restart in a release",
        "release",
        "after it",
        "replaced",
        "back soon",
        "back late",
    ],
)
def test_streams_begin_at_a_new_version_once_all_lists_have_it(
    known_since_ms, seen, now_ms, expected
):
    """Guards against streams at a version that a list which counts may lack."""
    versions = make_versions(known_since_ms)
    for at_ms, names in seen:
        versions.observe(listed(*names), at_ms)
    assert versions.unsettled("s", now_ms) == expected
    assert versions.unsettled("other", now_ms) == {}


@pytest.mark.parametrize("reported_ms", [0.0, 1_000.0, SETTLE_MS])
def test_restarted_vm_hears_when_a_version_settles(reported_ms):
    """Guards against streams that a restarted VM begins too early, or not for long."""
    peer, own = make_versions(), make_versions(0.0)
    peer.observe(listed("v1"), -1.0)
    peer.observe(listed("v1", "v2"), 0.0)
    own.observe(listed("v1", "v2"), reported_ms)
    own.apply(peer.part_since(0, reported_ms), reported_ms)
    left_ms = SETTLE_MS - reported_ms
    assert own.unsettled("s", reported_ms) == ({"v2": left_ms} if left_ms else {})


def test_start_after_a_loss_of_all_vms_goes_on_with_what_had_settled():
    """Guards against streams that begin nowhere for some seconds after a loss."""
    versions = make_versions(0.0)
    versions.observe(listed("v1", "v2", "v3"), 0.0)
    stored = {("s", "v1"): 0.0, ("s", "v2"): 0.0, ("s", "v3"): 0.0}
    versions.load(stored, [], 1.0, {("s", "v1"), ("s", "v2")})
    assert versions.unsettled("s", 1.0) == {"v3": SETTLE_MS - 1.0}
    assert versions.settled(1.0) == {("s", "v1"), ("s", "v2")}


def test_streams_are_told_to_peers_once_versions_are_mixed():
    """Guards against streams from before a release that other VMs cannot place."""
    own, peer = make_versions(), make_versions()
    own.observe(listed("v1"), 0.0)
    own.record_stream("r", "v1", 1.0)
    part = own.part_since(0, 1.0)
    assert part.streams == []
    peer.apply(part, 1.0)
    since = own._counter.version
    own.observe(listed("v1", "v2"), 2.0)
    part = own.part_since(since, 2.0, own_streams_only=True)
    assert part.streams == [["r", "v1", 1]]
    peer.apply(part, 2.0)
    assert peer.origin_of("r", "s", 2.0, 0.0)[0] == "v1"
    assert peer.origin_of("other", "s", 2.0, 0.0)[0] is None
    assert peer.part_since(1, 2.0, own_streams_only=True).streams == []
    assert peer.part_since(0, 2.0, own_streams_only=True).streams == [["r", "v1", 1]]
    assert own.part_since(own._counter.version, 2.0) is None


def test_what_is_remembered_is_bounded():
    """Guards against a VM whose memory grows with each stream and each release."""
    versions = make_versions()
    for number in range(MAX_STREAMS + 10):
        versions.record_stream(f"r{number}", "v1", 0.0)
    assert len(versions._streams) == MAX_STREAMS
    versions.record_stream("late", "v1", STREAM_LIFE_MS + 1)
    assert list(versions._streams) == ["late"]
    for release in range(5):
        versions.observe(listed(f"v{release}"), release * (FORGET_MS + 1))
    assert len(versions.ages_ms(0.0)) == 2


@pytest.mark.parametrize(
    ("ages_ms", "later_ms", "expected"),
    [
        ({"v1": 0.0}, 0.0, {"v1": 0.0}),
        ({"v1": 0.0}, 9_000.0, {"v1": 0.0}),
        ({"v1": 500.0, "v2": 0.0}, 9_000.0, {"v1": 9_500.0, "v2": 0.0}),
        ({"v1": 500.0}, -9_000.0, {"v1": 0.0}),
    ],
    ids=["in service", "later", "gone", "the time of day went back"],
)
def test_record_of_versions_is_read_back(ages_ms, later_ms, expected):
    """Guards against a version that a start forgets too early."""
    data = encode_versions(ages_ms, 1_000_000.0)
    assert decode_versions(data, 1_000_000.0 + later_ms) == expected


@pytest.mark.parametrize(
    "data", [b"", b"[]", b"\xff", b'{"v1": "x"}', b'{"v1": []}', b"[" * 9_000]
)
def test_unreadable_record_of_versions(data):
    """Guards against a record of another writer that ends the task."""
    with pytest.raises(ValueError, match="."):
        decode_versions(data, 0.0)


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"{}",
        b"[1]",
        b'[["r", "v1"]]',
        b'[["r", 1, 5]]',
        b'[["r", "v1", "5"]]',
        b'[["r", "v1", 5], null]',
    ],
)
def test_unreadable_record_of_streams(data):
    """Guards against a record of another writer that ends the task."""
    with pytest.raises(ValueError, match="."):
        decode_streams(data, 0.0)


def test_streams_from_the_store_are_told_to_peers():
    """Guards against streams that only the reader of the store can place."""
    own, peer = make_versions(0.0), make_versions(0.0)
    own.observe(listed("v1", "v2"), 1.0)
    versions = {("s", "v1"): 0.0, ("s", "v2"): 0.0}
    old = ("old", "v1", STREAM_LIFE_MS + 1)
    own.load(versions, [("r", "v1", 500.0), old], 1.0)
    assert own.is_complete
    assert own.origin_of("old", "s", 1.0, 0.0)[0] is None
    assert peer.apply(own.part_since(0, 2.0, own_streams_only=True), 2.0)
    assert peer.origin_of("r", "s", 2.0, 0.0)[0] == "v1"
    assert peer.is_complete
