"""Tests of time limits that a stop shortens."""

import asyncio

from cassiamount.clock import SystemClock
from cassiamount.request_timeouts import RequestTimeouts


async def test_limit_that_has_just_passed_does_not_fail_a_stop():
    """Guards against a stop that fails because a request ends at the same moment."""
    clock = SystemClock()
    timeouts = RequestTimeouts(clock)
    shortened = []

    async def run():
        try:
            async with timeouts.limit(clock.monotonic_ms() + 5):
                try:
                    await asyncio.sleep(60)
                finally:
                    # The limit has passed, and its context has not ended yet.
                    timeouts.shorten(clock.monotonic_ms() - 1)
                    shortened.append(True)
        except TimeoutError:
            pass

    async with asyncio.timeout(30):
        await run()
    assert shortened == [True]
