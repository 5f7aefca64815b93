"""Tests of the log lines."""

import io

import orjson
import pytest
import structlog

from cassiamount.logs import configure_logs


@pytest.mark.parametrize(
    "value",
    [10**30, 10**5_000, "\ud800", {"\ud800": 1}, [object()], float("inf"), b"\xff"],
    ids=range(7),
)
def test_value_that_json_cannot_have_is_logged(value):
    """Guards against a task that ends because it logs what another program sent."""
    before = structlog.get_config()
    stream = io.StringIO()
    try:
        configure_logs("info", stream).info("odd", value=value)
    finally:
        structlog.configure(**before)
    (line,) = stream.getvalue().splitlines()
    assert orjson.loads(line)["event"] == "odd"
