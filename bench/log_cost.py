"""Processor time of the log lines of one request: ``python -m bench.log_cost``."""

import os
import statistics
import time

import structlog

from cassiamount.bounded_stream import BoundedStream
from cassiamount.logs import configure_logs

ROUNDS = 7
REQUESTS = 5_000


class SteppingClock:
    """Moves by a ms at each look, so that the limit on lines is not reached."""

    def __init__(self):
        self._now_s = 0.0

    def __call__(self):
        self._now_s += 0.001
        return self._now_s


def log_request(log):
    """Write the two lines that each served request has."""
    log.info(
        "request_sent",
        request_id="c247e6cdd39ba272",
        backend="i-df5717440e",
        send=1,
        expected_ms=12,
        load=3,
        left_ms=4_000,
        last_event="",
        placement_age_ms=80,
    )
    log.info(
        "request_ended",
        request_id="c247e6cdd39ba272",
        status=200,
        code="ok",
        route="r-9q34t8m",
        target="model/adapter",
        tried=["i-df5717440e"],
        sends=1,
        version=3,
        took_ms=22.9,
    )


def main():
    """Print the processor time in us for each request: the median of some rounds."""
    descriptor = os.open(os.devnull, os.O_WRONLY)
    configure_logs("info", BoundedStream(descriptor, SteppingClock()), cached=True)
    log = structlog.get_logger()
    rounds = []
    for _ in range(ROUNDS + 1):
        begun_s = time.process_time()
        for _ in range(REQUESTS):
            log_request(log)
        rounds.append((time.process_time() - begun_s) / REQUESTS * 1e6)
    # The first round warms the caches.
    median_us = statistics.median(rounds[1:])
    print(f"{median_us:.0f} us a request (least {min(rounds):.0f})")


if __name__ == "__main__":
    main()
