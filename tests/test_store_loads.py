"""Tests of the limit on loads from the weight store."""

import pytest

from cassiamount.store_loads import STORE_BURST, StoreLoads


@pytest.mark.parametrize("full", [True, False])
def test_store_loads_stay_within_their_rate(full):
    """Guards against more loads in any window than the weight store allows."""
    loads = StoreLoads(full, 0.0)
    loads.rate_per_s = 2.0
    begun = []
    for now_ms in range(0, 20_000, 50):
        if loads.wait_ms(now_ms) == 0:
            loads.take(now_ms)
            begun.append(now_ms)
    window_ms = 5_000
    most = max(sum(s <= t < s + window_ms for t in begun) for s in begun)
    assert most <= 2.0 * window_ms / 1000 + STORE_BURST
