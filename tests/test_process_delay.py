"""Tests of how late a process says that it runs."""

import pytest

from cassiamount.clock import ManualClock
from cassiamount.process_delay import ProcessDelay


@pytest.mark.parametrize(
    ("before_timer_ms", "after_timer_ms", "unread_ms"),
    [
        (50, None, 0),
        (100, None, 0),
        (900, None, 800),
        (900, 0, 800),
        (900, 40, 800),
        (900, 60, 0),
        (100, 10, 0),
    ],
)
def test_what_is_read_after_a_standstill_lay_unread(
    before_timer_ms, after_timer_ms, unread_ms
):
    """Guards against logs that show nothing of a process that stood still."""
    clock = ManualClock()
    delay = ProcessDelay(clock)
    assert delay.unread_ms() == 0
    delay.expect(100)
    clock.advance(before_timer_ms)
    if after_timer_ms is not None:
        assert delay.observe() == max(0, before_timer_ms - 100)
        delay.expect(100)
        clock.advance(after_timer_ms)
    assert delay.unread_ms() == unread_ms
