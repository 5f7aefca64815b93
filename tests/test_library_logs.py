"""Records of libraries in the structured log."""

import io
import logging

import orjson

from cassiamount import logs
from cassiamount.library_logs import (
    MAX_PLACES,
    PERIOD_S,
    RECORDS_PER_PERIOD,
    LibraryLogHandler,
    RecordLimiter,
)


def test_library_records_are_structured_and_limited():
    """Guards against libraries that write to standard error without a bound."""
    stream = io.StringIO()
    logs.configure_logs(stream=stream)
    now_s = [0.0]
    handler = LibraryLogHandler(RecordLimiter(lambda: now_s[0]))
    library = logging.getLogger("asyncio-test")
    library.propagate = False
    library.addHandler(handler)
    for number in range(1_000):
        now_s[0] += 3 * PERIOD_S / 1_000
        try:
            raise OSError("Bearer abcdefgh")
        except OSError:
            library.exception("call %d failed: %s", number, "Bearer abcdefgh")
    library.warning("too few arguments %d %d", 1)
    lines = [orjson.loads(line) for line in stream.getvalue().splitlines()]
    assert len(lines) == 3 * RECORDS_PER_PERIOD + 1
    assert "abcdefgh" not in stream.getvalue()
    assert lines[0]["library"] == "asyncio-test" and "OSError" in lines[0]["exception"]
    assert lines[0]["level"] == "error" and lines[0]["dropped"] == 0
    assert sum(line["dropped"] for line in lines) > 600


def test_places_of_records_are_bounded():
    """Guards against a limiter that grows with what libraries report."""
    limiter = RecordLimiter(lambda: 0.0)
    for place in range(10 * MAX_PLACES):
        limiter.admit(place)
    assert len(limiter._places) == MAX_PLACES + 1


def test_configured_logs_take_library_records():
    """Guards against records of libraries that go past the structured log."""
    logs.configure_logs(stream=(stream := io.StringIO()))
    logs.configure_logs(stream=stream)
    logging.getLogger("asyncio").error("socket.accept() out of system resource")
    assert stream.getvalue().count("library_record") == 1


def test_record_of_a_level_without_a_name_is_logged():
    """Guards against a library that fails by what it logs."""
    logs.configure_logs(stream=(stream := io.StringIO()))
    for level in (35, 77):
        logging.getLogger("library").log(level, "between two levels")
    levels = [orjson.loads(line)["level"] for line in stream.getvalue().splitlines()]
    assert levels == ["warning", "critical"]
