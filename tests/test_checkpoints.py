"""Tests of the checkpoint schedule."""

import pytest

from cassiamount.checkpoints import (
    PUBLISHER_DELAY_MS,
    RETRY_INTERVAL_MS,
    CheckpointSchedule,
    rank_publishers,
)

VMS = [f"vm-{number}" for number in range(6)]
RETENTION_MS = 400_000
QUARTER_MS = RETENTION_MS / 4


def make_schedule(vm, retention_records=None):
    return CheckpointSchedule(vm, "config", RETENTION_MS, retention_records)


def test_one_vm_publishes_and_the_next_takes_over_when_it_is_dead():
    """Guards against checkpoints from all VMs at once, and against a missing one."""
    order = rank_publishers("config", -1, VMS)
    schedules = {vm: make_schedule(vm) for vm in VMS}
    due_ms = {}
    for now_ms in range(0, int(QUARTER_MS) + 6 * PUBLISHER_DELAY_MS, 1000):
        for vm in VMS:
            if vm not in due_ms and schedules[vm].is_due(9, 0, VMS, now_ms):
                due_ms[vm] = now_ms
    assert due_ms == {
        vm: QUARTER_MS + PUBLISHER_DELAY_MS * order.index(vm) for vm in VMS
    }
    schedules[order[1]].on_checkpoint(9, 8, QUARTER_MS + 1)
    assert not schedules[order[1]].is_due(10, 0, VMS, QUARTER_MS + PUBLISHER_DELAY_MS)


def test_order_differs_between_checkpoints_and_is_stable_when_a_vm_leaves():
    """Guards against a single VM that publishes all checkpoints."""
    firsts = {rank_publishers("config", offset, VMS)[0] for offset in range(100)}
    assert firsts == set(VMS)
    order = rank_publishers("config", 7, VMS)
    assert rank_publishers("config", 7, VMS[1:]) == [vm for vm in order if vm != VMS[0]]


@pytest.mark.parametrize(
    ("checkpoint", "next_offset", "earliest", "now_ms", "due"),
    [
        (None, 0, 0, 2 * QUARTER_MS, False),
        (None, 5, 0, QUARTER_MS - 1, False),
        (None, 5, 0, QUARTER_MS, True),
        # The log has trimmed records that no checkpoint covers.
        (None, 5, 1, 0, True),
        ((3, 2), 5, 3, 0, False),
        ((3, 2), 5, 4, 0, True),
        # A quarter of the 40 records that the log keeps.
        ((3, 2), 13, 0, 0, False),
        ((3, 2), 14, 0, 0, True),
    ],
)
def test_when_a_checkpoint_is_due(checkpoint, next_offset, earliest, now_ms, due):
    """Guards against a log that trims its last checkpoint before the next one."""
    schedule = make_schedule("vm-0", retention_records=40)
    if checkpoint is not None:
        schedule.on_checkpoint(*checkpoint, now_ms)
    assert schedule.is_due(next_offset, earliest, [], now_ms) == due


def test_attempt_is_retried_only_after_the_retry_interval():
    """Guards against a new checkpoint at every check while the log is slow."""
    schedule = make_schedule("vm-0")
    assert schedule.is_due(5, 1, [], 0)
    schedule.on_attempt(0)
    assert not schedule.is_due(5, 1, [], RETRY_INTERVAL_MS - 1)
    assert schedule.is_due(5, 1, [], RETRY_INTERVAL_MS)
