"""Tests of the time limits of a graceful stop."""

import pytest

from cassiamount.graceful_stop import BALANCER_DELAY_MS, CLOSE_RESERVE_MS, StopSchedule

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
