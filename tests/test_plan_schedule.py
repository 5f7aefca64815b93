"""Tests of when the holder of the order lease plans."""

import pytest

from cassiamount.plan_schedule import PLAN_INTERVAL_MS, PlanSchedule


@pytest.mark.parametrize(
    ("elapsed_ms", "hastened", "demand", "is_settled", "due"),
    [
        (49.0, True, 2, False, False),
        (50.0, True, 2, False, True),
        (50.0, True, 1, True, True),
        (99.0, False, 2, False, False),
        (100.0, False, 2, True, True),
        (100.0, False, 1, False, True),
        (499.0, False, 1, True, False),
        (500.0, False, 1, True, True),
    ],
)
def test_plan_is_due_by_what_has_happened(
    elapsed_ms, hastened, demand, is_settled, due
):
    """Guards against a plan for each request that waits, and against late plans."""
    schedule = PlanSchedule()
    schedule.record_plan(1_000.0, 1)
    if hastened:
        schedule.hasten()
    assert schedule.is_due(1_000.0 + elapsed_ms, demand, is_settled) == due


def test_request_that_begins_to_wait_is_planned_for_in_time():
    """Guards against a wait between two looks at the demand that is not noticed."""
    schedule = PlanSchedule()
    now_ms = 0.0
    schedule.record_plan(now_ms, 1)
    for _ in range(20):
        assert 0 < schedule.wait_ms(now_ms) <= PLAN_INTERVAL_MS
        now_ms += schedule.wait_ms(now_ms)
        if schedule.is_due(now_ms, 1, True):
            schedule.record_plan(now_ms, 1)
    schedule.hasten()
    assert schedule.wait_ms(now_ms) < PLAN_INTERVAL_MS
    assert schedule.is_due(now_ms + schedule.wait_ms(now_ms), 1, True)
