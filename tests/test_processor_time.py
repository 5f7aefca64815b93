"""Tests of the sums of processor time."""

from cassiamount.metrics import Metrics
from cassiamount.processor_time import PLAN, REPORT, ProcessorTime


def test_time_is_that_of_reports_plans_and_requests():
    """Guards against time that is counted twice, and against failed work for free."""
    times_s = iter([0.0, 1.0, 1.5, 2.0, 2.1, 4.0, 5.0])
    metrics = Metrics()
    time = ProcessorTime(metrics, lambda: next(times_s))
    with time.measure(REPORT):
        pass
    try:
        with time.measure(PLAN):
            raise KeyError
    except KeyError:
        pass
    for _ in range(4):
        metrics.request_ended(200, "ok", 1.0)
    assert time.take() == {
        "processor_ms": 4_000.0,
        "processor_report_ms": 500.0,
        "processor_plan_ms": 100.0,
        "processor_request_ms": 850.0,
    }
    assert time.take() == {"processor_ms": 1_000.0}
    assert 'work="other"' in metrics.render()
