"""Log stream that never blocks and has a bounded volume."""

import collections
import os
import threading
import time

# Rate limit (token bucket): sustained rate of lines, and lines in a burst.
LINES_PER_S = 2_000.0
BURST_LINES = 4_000.0
# Bytes that are buffered while the reader is stalled.
MAX_BACKLOG_BYTES = 1 << 20


class BoundedStream:
    """File-like object for log lines.

    If the reader stalls or the rate limit is exceeded, lines are dropped instead of
    blocking the writer. The number of dropped lines is logged before the next line
    that is written. Several threads may write.

    Parameters
    ----------
    descriptor : int
        File descriptor; it is set to non-blocking.
    clock_s : callable
        Returns a monotonic time in seconds.
    """

    def __init__(self, descriptor, clock_s=time.monotonic):
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._clock_s = clock_s
        self._lock = threading.RLock()
        self._is_writing = False
        self._backlog = collections.deque()
        self._backlog_bytes = 0
        self._available_lines = BURST_LINES
        self._refilled_s = clock_s()
        self.dropped = 0
        self.dropped_total = 0

    def write(self, text):
        """Write a line, or count it as dropped."""
        data = text.encode("utf-8", "replace")
        with self._lock:
            if self._is_writing:
                # A destructor that logs can run in the middle of a write.
                self.dropped += 1
                self.dropped_total += 1
                return
            self._is_writing = True
            try:
                self._write(data)
            finally:
                self._is_writing = False

    def _write(self, data):
        now_s = self._clock_s()
        refilled = (now_s - self._refilled_s) * LINES_PER_S
        self._available_lines = min(BURST_LINES, self._available_lines + refilled)
        self._refilled_s = now_s
        self._write_backlog()
        if (
            self._available_lines < 1
            or self._backlog_bytes + len(data) > MAX_BACKLOG_BYTES
        ):
            self.dropped += 1
            self.dropped_total += 1
            return
        self._available_lines -= 1
        if self.dropped:
            notice = b'{"event": "log_lines_dropped", "count": %d}\n' % self.dropped
            self.dropped = 0
            self._enqueue(notice)
        self._enqueue(data)
        self._write_backlog()

    def flush(self):
        """Write as much of the backlog as the reader accepts."""
        with self._lock:
            if not self._is_writing:
                self._write_backlog()

    def _enqueue(self, data):
        self._backlog.append(data)
        self._backlog_bytes += len(data)

    def _write_backlog(self):
        while self._backlog:
            data = self._backlog[0]
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed its end.
                self._backlog.clear()
                self._backlog_bytes = 0
                return
            self._backlog_bytes -= written
            if written < len(data):
                self._backlog[0] = data[written:]
                return
            self._backlog.popleft()
