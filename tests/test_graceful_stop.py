"""Tests of the times of a planned stop."""

import pytest

from cassiamount.graceful_stop import BALANCER_MS, CLOSE_MS, StopSchedule

BEGUN_MS = 1_000.0
GRACE_MS = 8_000.0


@pytest.mark.parametrize(
    ("passed_ms", "balancer_ms", "requests_ms"),
    [
        (0.0, BALANCER_MS, GRACE_MS - CLOSE_MS),
        (2_000.0, BALANCER_MS - 2_000.0, GRACE_MS - CLOSE_MS - 2_000.0),
        (4_000.0, 0.0, GRACE_MS - CLOSE_MS - 4_000.0),
        (9_000.0, 0.0, 0.0),
    ],
)
def test_each_step_counts_from_the_request(passed_ms, balancer_ms, requests_ms):
    """Guards against a stop that outlives its grace because one step was slow.

    Seen in day inc-8e86 of sfax-badges: the release of the lease took a second and the
    time for requests was counted from its end.
    """
    schedule = StopSchedule(BEGUN_MS, GRACE_MS)
    now_ms = BEGUN_MS + passed_ms
    assert schedule.balancer_ms(now_ms) == balancer_ms
    assert schedule.requests_ms(now_ms) == requests_ms
