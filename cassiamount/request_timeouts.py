"""Time limits of running requests, which a graceful stop shortens."""

import asyncio
import contextlib
import math


class RequestTimeouts:
    """Ends what requests wait for at their deadlines, or sooner if this VM stops.

    Parameters
    ----------
    clock : SystemClock or ManualClock
    """

    __slots__ = ("_clock", "_running", "_end_ms")

    def __init__(self, clock):
        self._clock = clock
        self._running = set()
        self._end_ms = math.inf

    @contextlib.asynccontextmanager
    async def limit(self, deadline_ms=math.inf):
        """Raise TimeoutError in the body of this context at its deadline."""
        async with asyncio.timeout_at(self._loop_time(deadline_ms)) as timeout:
            self._running.add(timeout)
            try:
                yield
            finally:
                self._running.discard(timeout)

    def shorten(self, end_ms):
        """End all requests, also later ones, by a time at the latest."""
        self._end_ms = end_ms
        end = self._loop_time(end_ms)
        for timeout in self._running:
            if timeout.expired():
                # It ends already, and can't be changed any more.
                continue
            if timeout.when() is None or timeout.when() > end:
                timeout.reschedule(end)

    def have_ended(self):
        """Return whether the time is over that `shorten` has set."""
        return self._clock.monotonic_ms() >= self._end_ms

    def _loop_time(self, at_ms):
        at_ms = min(at_ms, self._end_ms)
        if at_ms == math.inf:
            return None
        left_ms = at_ms - self._clock.monotonic_ms()
        return asyncio.get_running_loop().time() + left_ms / 1000
