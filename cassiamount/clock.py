"""System clocks, and a clock that tests advance by hand."""

import time


class SystemClock:
    """The monotonic and wall clocks of the operating system."""

    __slots__ = ()

    def monotonic_ms(self):
        """Return the monotonic time in milliseconds."""
        return time.monotonic_ns() / 1e6

    def wall_ms(self):
        """Return the wall-clock time in milliseconds since the epoch."""
        return time.time_ns() // 1_000_000


class BootTimeClock(SystemClock):
    """A monotonic clock that also counts the time while the machine is suspended.

    Leases, freshness proofs and budgets must expire in true time, so they use it.
    """

    __slots__ = ()

    def monotonic_ms(self):
        """Return the time since the machine's boot in milliseconds."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) / 1e6

    @property
    def started_ms(self):
        """Boot time clock's reading when this process imported the module."""
        return _LOADED_MS


_LOADED_MS = BootTimeClock().monotonic_ms()


class ManualClock:
    """A clock for tests that moves only when `advance` is called.

    Parameters
    ----------
    now_ms : float
        Initial monotonic time.
    wall_offset_ms : float
        Wall-clock time at monotonic time 0.
    """

    __slots__ = ("now_ms", "wall_offset_ms", "started_ms")

    def __init__(self, now_ms=0.0, wall_offset_ms=1_700_000_000_000):
        self.now_ms = now_ms
        self.wall_offset_ms = wall_offset_ms
        self.started_ms = now_ms

    def monotonic_ms(self):
        """Return the monotonic time in milliseconds."""
        return self.now_ms

    def wall_ms(self):
        """Return the wall-clock time in milliseconds since the epoch."""
        return int(self.wall_offset_ms + self.now_ms)

    def advance(self, by_ms):
        """Move the clock forward by `by_ms` milliseconds."""
        self.now_ms += by_ms
