"""Tests of the log stream that never blocks."""

import os

from cassiamount.bounded_stream import BURST_LINES, MAX_BACKLOG_BYTES, BoundedStream


def stream(now_s):
    reader, writer = os.pipe()
    return BoundedStream(writer, lambda: now_s[0]), reader


def test_stalled_reader_costs_lines_and_not_time():
    """Guards against a log reader that stops the VM."""
    now_s = [0.0]
    log, reader = stream(now_s)
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
    """Guards against a burst of refusals that turns into a burst of writing."""
    now_s = [0.0]
    log, reader = stream(now_s)
    for _ in range(int(BURST_LINES) + 500):
        log.write("x\n")
        if log._backlog_bytes:
            os.read(reader, 1 << 20)
    assert log.dropped == 500


def test_reader_that_is_gone_ends_nothing():
    """Guards against a VM that ends because nobody reads its log."""
    log, reader = stream([0.0])
    os.close(reader)
    log.write("x\n")
    log.write("y\n")
    assert log._backlog_bytes == 0
