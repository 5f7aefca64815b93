"""Tests of the fleet-wide retry budget."""

import random

import pytest

from cassiamount.shared_retries import SharedRetryBudget

RATIO = 0.2
SLACK = 54.0
WINDOW_MS = 10_000.0


@pytest.mark.parametrize("vms", [1, 7, 60])
@pytest.mark.parametrize("skew", [False, True], ids=["even", "one-vm"])
def test_no_window_holds_more_retries_than_allowed(vms, skew):
    """Guards against a retry storm when requests fail on all VMs at once."""
    rng = random.Random(vms)
    fleet = [SharedRetryBudget(RATIO, SLACK, WINDOW_MS) for _ in range(vms)]
    requests, retries = [], []
    for step in range(4_000):
        now_ms = 10.0 * step
        vm = fleet[0 if skew else rng.randrange(vms)]
        vm.record_request("s", now_ms)
        requests.append(now_ms)
        for _ in range(3):
            if vm.try_acquire("s", vms, now_ms):
                retries.append(now_ms)
    for start_ms in range(0, 40_000, 500):
        end_ms = start_ms + WINDOW_MS
        retry_count = sum(start_ms <= time_ms < end_ms for time_ms in retries)
        request_count = sum(start_ms <= time_ms < end_ms for time_ms in requests)
        previous_request_count = sum(
            start_ms - WINDOW_MS <= time_ms < start_ms for time_ms in requests
        )
        assert retry_count <= RATIO * max(request_count, previous_request_count) + SLACK


def test_services_have_budgets_of_their_own():
    """Guards against a failing service that uses up the retries of another."""
    retries = SharedRetryBudget(0.0, 2.5, WINDOW_MS)
    assert [retries.try_acquire("a", 1, 0.0) for _ in range(3)] == [True, True, False]
    assert retries.try_acquire("b", 1, 0.0)
