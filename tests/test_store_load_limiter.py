"""Tests of the rate limit for loads from the weight store."""

import pytest

from cassiamount.store_load_limiter import BURST_LOADS, StoreLoadLimiter


@pytest.mark.parametrize("burst_available", [True, False])
def test_loads_stay_within_rate_and_burst(burst_available):
    """Guards against more loads in any time window than rate and burst allow."""
    limiter = StoreLoadLimiter(burst_available, 0.0)
    limiter.rate_per_s = 2.0
    started = []
    for now_ms in range(0, 20_000, 50):
        if limiter.wait_ms(now_ms) == 0:
            limiter.record_load(now_ms)
            started.append(now_ms)
    window_ms = 5_000
    busiest = max(sum(s <= t < s + window_ms for t in started) for s in started)
    assert busiest <= 2.0 * window_ms / 1000 + BURST_LOADS
