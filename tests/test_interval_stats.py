"""Tests of the counts and durations of periodic log lines."""

from cassiamount.interval_stats import IntervalStats


def test_an_interval_has_nothing_of_the_one_before():
    stats = IntervalStats()
    stats.count("orders")
    stats.count("orders", 2)
    stats.observe_ms("plan", 10.0)
    stats.observe_ms("plan", 30.0)
    assert stats.take() == {"orders": 3, "plan_mean_ms": 20.0, "plan_max_ms": 30.0}
    stats.count("orders")
    assert stats.take() == {"orders": 1}
