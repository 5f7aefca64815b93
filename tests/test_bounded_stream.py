"""Tests of the log stream that never blocks."""

import os
import threading

from cassiamount.bounded_stream import BURST_LINES, MAX_BACKLOG_BYTES, BoundedStream


def open_stream(now_s):
    reader, writer = os.pipe()
    return BoundedStream(writer, lambda: now_s[0]), reader


def test_stalled_reader_drops_lines_without_blocking():
    """Guards against a stalled log reader that blocks the VM."""
    now_s = [0.0]
    log, reader = open_stream(now_s)
    line = "x" * 1_000 + "\n"
    for _ in range(3_000):
        now_s[0] += 0.001
        log.write(line)
    assert log.dropped > 0
    dropped = log.dropped
    read = b""
    while b"log_lines_dropped" not in read:
        read += os.read(reader, 1 << 20)
        now_s[0] += 1
        log.write("after\n")
    assert b'"count": %d' % dropped in read
    assert len(read) <= 2 * MAX_BACKLOG_BYTES


def test_volume_is_bounded():
    """Guards against a burst of refusals that is logged without a rate limit."""
    now_s = [0.0]
    log, reader = open_stream(now_s)
    for _ in range(int(BURST_LINES) + 500):
        log.write("x\n")
        if log._backlog_bytes:
            os.read(reader, 1 << 20)
    assert log.dropped == 500


def test_closed_reader_is_ignored():
    """Guards against a VM that fails because the reader of its log has closed."""
    log, reader = open_stream([0.0])
    os.close(reader)
    log.write("x\n")
    log.write("y\n")
    assert log._backlog_bytes == 0


def test_line_logged_in_the_middle_of_another_is_dropped(monkeypatch):
    """Guards against a process that waits for itself for ever.

    A collection can run in any write, and a destructor that it calls may log.
    """
    now_s = [0.0]
    log, reader = open_stream(now_s)
    write = os.write

    def write_and_collect(descriptor, data):
        log.write("of a destructor\n")
        log.flush()
        return write(descriptor, data)

    monkeypatch.setattr(os, "write", write_and_collect)
    thread = threading.Thread(target=log.write, args=("line\n",), daemon=True)
    thread.start()
    thread.join(30)
    assert not thread.is_alive()
    assert os.read(reader, 100) == b"line\n"
    assert log.dropped_total == 1
