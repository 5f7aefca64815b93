"""Tests of the way of a request through log lines."""

import json

from cassiamount.explain import explain


def line(time, vm, event, request_id="r1", **fields):
    return json.dumps(
        {
            "timestamp": time,
            "vm": vm,
            "event": event,
            "request_id": request_id,
            **fields,
        }
    )


def test_request_is_followed_over_two_vms():
    """Guards against a resumed stream whose second half cannot be found."""
    lines = [
        line("12:00:02", "v2", "request_ended", status=200, last_event="7"),
        line("12:00:01", "v1", "request_ended", status=0, code="broken: lost"),
        line("12:00:01", "v1", "request_ended", request_id="r2"),
        "17.2 v1 " + line("12:00:00", "v1", "request_sent", backend="e1"),
    ]
    found = explain(lines, "r1")
    assert [(step.vm, step.event) for step in found.steps] == [
        ("v1", "request_sent"),
        ("v1", "request_ended"),
        ("v2", "request_ended"),
    ]
    assert found.steps[0].details == "backend=e1"


def test_gaps_are_told():
    """Guards against an explanation that looks complete though lines are missing."""
    lines = ['{"event": "log_lines_dropped", "count": 12}', '{"event": "half', "none"]
    found = explain(lines, "r1")
    assert (found.lines_dropped, found.lines_unreadable) == (12, 1)
