"""Tests of group commit: batches and outcomes of appends, without I/O."""

import pytest

from cassiamount.errors import AppendOutcomeUnknown, PlatformUnavailable
from cassiamount.follower import StreamUpdate
from cassiamount.group_commit import MAX_BATCH_BYTES, AppendEntry, GroupCommit
from cassiamount.records import WithdrawKey
from cassiamount.stream_cursor import ProcessedRecord


class Outcomes(dict):
    def entry(self, id, size_bytes=10):
        def on_end(outcome):
            assert id not in self, "an outcome was reported twice"
            self[id] = outcome

        return AppendEntry(id, {"id": id}, size_bytes, on_end)


def group_with(*ids, size_bytes=10):
    group, outcomes = GroupCommit("s"), Outcomes()
    for id in ids:
        group.submit(outcomes.entry(id, size_bytes))
    return group, outcomes


def stream_update(*offset_ids, next_offset=None, reloaded=False):
    processed = [
        ProcessedRecord(offset, id and WithdrawKey(id, "vm", "h"), None)
        for offset, id in offset_ids
    ]
    end = processed[-1].offset + 1 if next_offset is None else next_offset
    return StreamUpdate("s", processed, end, reloaded, False)


def test_one_append_in_flight():
    """Guards against a second append while one is in flight or in doubt."""
    group, outcomes = group_with("a", "b")
    assert group.take_batch(0).values == [{"id": "a"}, {"id": "b"}]
    group.submit(outcomes.entry("c"))
    assert group.take_batch(0) is None
    group.on_outcome_unknown()
    assert group.take_batch(0) is None
    group.on_resolved({"a": 0})
    assert group.take_batch(0).values == [{"id": "b"}, {"id": "c"}]
    with pytest.raises(ValueError):
        group.submit(outcomes.entry("c"))


def test_batches_are_limited_in_size():
    """Guards against an append that exceeds the size limit of a batch, and against a
    record above that limit that blocks the queue."""
    group, _ = group_with("a", "b", "c", size_bytes=MAX_BATCH_BYTES + 1)
    assert len(group.take_batch(0).entries) == 1


def test_success_counts_only_once_read_back():
    """Guards against a claim that counts as won before the fold has read it."""
    group, outcomes = group_with("a", "b")
    group.take_batch(0)
    group.on_appended([4, 5])
    assert outcomes == {}
    group.on_stream_update(stream_update((3, "x"), (4, "a")))
    assert outcomes == {"a": 4}
    group.on_stream_update(stream_update((5, None)))
    assert isinstance(outcomes["b"], AppendOutcomeUnknown)


def test_first_copy_in_the_log_counts():
    """Guards against sending a duplicate that the fold would ignore."""
    group, outcomes = group_with("a")
    group.take_batch(0)
    group.on_outcome_unknown()
    group.on_resolved({})
    group.on_stream_update(stream_update((7, "a")))
    assert outcomes == {"a": 7} and not group.ready


@pytest.mark.parametrize(
    ("events", "error"),
    [
        (["not_appended"], PlatformUnavailable),
        (["limit", "not_appended"], PlatformUnavailable),
        # The first append may still take effect, whatever happens to the second one.
        (["unknown", "absent", "not_appended"], AppendOutcomeUnknown),
        (["unknown", "absent", "limit", "not_appended"], AppendOutcomeUnknown),
        (["unknown", "trimmed"], AppendOutcomeUnknown),
        (["give_up"], AppendOutcomeUnknown),
        (["unknown", "give_up"], AppendOutcomeUnknown),
        (["unknown", "absent", "give_up"], AppendOutcomeUnknown),
        (["appended", "give_up"], AppendOutcomeUnknown),
        (["limit", "requeued_give_up"], PlatformUnavailable),
    ],
)
def test_unavailable_is_reported_only_for_records_that_cannot_arrive(events, error):
    """Guards against reporting a record that may be in the log as not in it."""
    outcomes, group = Outcomes(), GroupCommit("s")
    entry = outcomes.entry("a")
    group.submit(entry)
    group.take_batch(0)
    given_up = None
    for event in events:
        if group.in_flight is None and event in ("not_appended", "limit"):
            group.take_batch(0)
        match event:
            case "not_appended":
                group.on_not_appended("outage")
            case "limit":
                group.on_limit_reached()
            case "unknown":
                group.on_outcome_unknown()
            case "absent":
                group.on_resolved({})
            case "trimmed":
                group.on_unresolvable("trimmed")
            case "appended":
                group.on_appended([3])
            case _:
                given_up = group.give_up(entry)
    assert type(given_up or outcomes["a"]) is error
    assert len(group) == 0 and not group.ready and group.in_doubt is None


def test_record_that_was_given_up_is_not_sent_again():
    """Guards against sending a record whose caller has already given up."""
    group, outcomes = group_with("a")
    other = outcomes.entry("b")
    group.submit(other)
    group.take_batch(0)
    group.on_outcome_unknown()
    group.give_up(other)
    group.on_resolved({})
    assert group.take_batch(0).values == [{"id": "a"}]


@pytest.mark.parametrize(("offset", "included"), [(4, True), (5, True), (6, False)])
def test_loaded_state_includes_records_before_it(offset, included):
    """Guards against a caller that waits for a record that a loaded checkpoint already
    includes, and against success for a record that it does not cover."""
    for stored_first in (True, False):
        group, outcomes = group_with("a")
        group.take_batch(0)
        if stored_first:
            group.on_appended([offset])
        group.on_stream_update(stream_update((6, None), reloaded=True))
        if not stored_first:
            group.on_appended([offset])
            group.on_stream_update(stream_update(next_offset=7))
        assert (outcomes["a"] == offset) is included
