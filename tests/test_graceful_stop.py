"""Tests of the time limits of a graceful stop."""

import pytest

from cassiamount.graceful_stop import (
    BALANCER_DELAY_MS,
    CLOSE_RESERVE_MS,
    AnswerTimes,
    StopSchedule,
)

REQUESTED_MS = 1_000.0
GRACE_MS = 8_000.0


@pytest.mark.parametrize(
    ("elapsed_ms", "balancer_delay_ms", "requests_timeout_ms"),
    [
        (0.0, BALANCER_DELAY_MS, GRACE_MS - CLOSE_RESERVE_MS),
        (2_000.0, BALANCER_DELAY_MS - 2_000.0, GRACE_MS - CLOSE_RESERVE_MS - 2_000.0),
        (4_000.0, 0.0, GRACE_MS - CLOSE_RESERVE_MS - 4_000.0),
        (9_000.0, 0.0, 0.0),
    ],
)
def test_time_limits_count_from_the_request(
    elapsed_ms, balancer_delay_ms, requests_timeout_ms
):
    """Guards against a stop that exceeds its grace period because one step was slow.

    The release of the lease once took a second, and the time for requests was counted
    from its end.
    """
    schedule = StopSchedule(REQUESTED_MS, GRACE_MS)
    now_ms = REQUESTED_MS + elapsed_ms
    assert schedule.balancer_delay_ms(now_ms) == balancer_delay_ms
    assert schedule.requests_timeout_ms(now_ms) == requests_timeout_ms


@pytest.mark.parametrize("grace_ms", [0.0, 300.0, 1_000.0, 4_000.0, 8_000.0, 60_000.0])
def test_steps_come_in_order_within_any_grace_period(grace_ms):
    """Guards against last answers that come after the process was killed."""
    schedule = StopSchedule(REQUESTED_MS, grace_ms)
    accept_end_ms = REQUESTED_MS + schedule.balancer_delay_ms(REQUESTED_MS)
    end_ms = REQUESTED_MS + grace_ms
    # What still runs in the last sixth may be cut off.
    assert schedule.requests_end_ms >= end_ms - grace_ms / 6
    assert accept_end_ms <= schedule.requests_end_ms
    assert schedule.requests_end_ms <= schedule.connections_end_ms <= end_ms


@pytest.mark.parametrize(
    ("changed_ms", "in_force_ms"), [(4_000.0, 4_000.0), (20_000.0, GRACE_MS)]
)
def test_only_a_shorter_grace_period_applies_to_a_begun_stop(changed_ms, in_force_ms):
    """Guards against a stop that relies on a longer period than it was begun with."""
    schedule = StopSchedule(REQUESTED_MS, GRACE_MS)
    schedule.limit_grace(changed_ms)
    in_force = StopSchedule(REQUESTED_MS, in_force_ms)
    assert schedule.requests_end_ms == in_force.requests_end_ms


# Requests end 7,300 ms after the request to stop. Times of earlier answers, in ms.
UNKNOWN, QUICK, SLOW, UNEVEN = (), (45.0,), (6_000.0,), (4_000.0, 45.0, *[45.0] * 80)


@pytest.mark.parametrize(
    ("at_ms", "limit_ms", "times", "streamed", "repeatable", "may_begin"),
    [
        # Its own limit ends it in time.
        (0, 6_000, UNKNOWN, False, False, True),
        (4_000, 3_000, SLOW, True, False, True),
        (7_000, 250, UNKNOWN, True, True, True),
        # Early: taken, unless answers usually take longer.
        (1_000, 12_000, UNKNOWN, True, False, True),
        (2_900, 12_000, UNKNOWN, False, False, True),
        (1_000, 12_000, SLOW, True, True, True),
        (2_000, 12_000, SLOW, True, True, False),
        (2_900, 12_000, SLOW, False, False, False),
        # Late: taken only if its answer is sure to be whole or may be replaced.
        (4_000, 12_000, QUICK, False, False, True),
        (4_000, 12_000, QUICK, False, True, True),
        (4_000, 12_000, QUICK, True, False, False),
        (4_000, 12_000, QUICK, True, True, False),
        (4_000, 12_000, UNKNOWN, False, True, False),
        (4_000, 12_000, SLOW, False, True, False),
        (4_000, 12_000, UNEVEN, False, True, True),
        (4_000, 12_000, UNEVEN, False, False, False),
        (7_200, 12_000, QUICK, False, False, True),
        (7_280, 12_000, QUICK, False, False, False),
        # Nothing is left.
        (7_300, 0, QUICK, False, True, False),
        (9_000, 10, QUICK, False, True, False),
    ],
)
def test_what_may_begin_during_a_stop(
    at_ms, limit_ms, times, streamed, repeatable, may_begin
):
    """Guards against requests that are cut off, and against needless refusals."""
    schedule = StopSchedule(REQUESTED_MS, GRACE_MS)
    answer_times = AnswerTimes()
    for took_ms in times:
        answer_times.record(took_ms, REQUESTED_MS)
    now_ms = REQUESTED_MS + at_ms
    deadline_ms = now_ms + limit_ms
    arguments = (now_ms, deadline_ms, answer_times, streamed, repeatable)
    assert schedule.may_begin(*arguments) is may_begin


@pytest.mark.parametrize(
    ("took_ms", "now_ms", "known_ms"),
    [
        ([(45.0, 0.0)], 59_000.0, (45.0, 45.0)),
        ([(45.0, 0.0)], 61_000.0, (None, None)),
        ([(900.0, 0.0), (45.0, 31_000.0)], 32_000.0, (814.5, 900.0)),
        ([(900.0, 0.0), (45.0, 70_000.0)], 70_000.0, (45.0, 45.0)),
        ([], 0.0, (None, None)),
    ],
)
def test_old_answer_times_are_forgotten(took_ms, now_ms, known_ms):
    """Guards against decisions by how long answers took before a server slowed down."""
    times = AnswerTimes()
    for took, at_ms in took_ms:
        times.record(took, at_ms)
    assert times.known_ms(now_ms) == pytest.approx(known_ms)
