"""How late a process runs, measured by a timer that is due at regular times."""

# A request read this long after a late timer was probably kept waiting with it.
RECENT_MS = 50.0


class ProcessDelay:
    """Tells how long what is read now may have lain unread.

    A process that stood still, or was busy, reads what came meanwhile before its timers
    run, or just after them.

    Parameters
    ----------
    clock : SystemClock or ManualClock
    """

    __slots__ = ("_clock", "_due_ms", "_late_ms", "_ran_ms")

    def __init__(self, clock):
        self._clock = clock
        self._due_ms = float("inf")
        self._late_ms = 0.0
        self._ran_ms = float("-inf")

    def expect(self, interval_ms):
        """Start the timer."""
        self._due_ms = self._clock.monotonic_ms() + interval_ms

    def observe(self):
        """Note that the timer has run; return how late, in milliseconds."""
        self._ran_ms = self._clock.monotonic_ms()
        self._late_ms = max(0.0, self._ran_ms - self._due_ms)
        return self._late_ms

    def unread_ms(self):
        """Return for how long at most what is read now may have lain unread."""
        now_ms = self._clock.monotonic_ms()
        late_ms = max(0.0, now_ms - self._due_ms)
        if now_ms - self._ran_ms <= RECENT_MS:
            late_ms = max(late_ms, self._late_ms)
        return late_ms
