"""Tests of parsing and validating the settings of the daemon."""

import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cassiamount.settings import DEFAULTS, DaemonSettings, parse_settings

from .documents import SETTINGS, mutated_documents, with_value
from .test_records import JSON


@pytest.mark.parametrize(
    ("path", "value", "expected"),
    [
        (("vm_name",), "vm@1", "'vm@1' is not a name"),
        (("zone",), ..., "field 'zone' is missing"),
        (("listen_address",), "localhost:80", "is not an address IP:port"),
        (("peer_address",), "127.0.0.1:8001", "the same address as listen_address"),
        (("admin_address",), "127.0.0.1:8002", "the same address as peer_address"),
        (("log_address",), 9001, "9001 is not of type 'string'"),
        (("max_header_bytes",), 10, "less than the minimum of 1024"),
        (("max_body_bytes",), 1.5, "1.5 is not of type 'integer'"),
        (("max_concurrent_requests",), 0, "less than the minimum of 1"),
        (("max_queued_requests",), -1, "less than the minimum of 0"),
        (("drain_limit_ms",), "1s", "'1s' is not of type 'integer'"),
        (("key_staleness_limit_s",), 0, "less than or equal to the minimum"),
        (("trace_exporter",), {}, "should be non-empty"),
        (("trace_exporter",), {"file": "a", "otlp_endpoint": "b"}, "too many"),
        (("trace_exporter",), {"otlp_endpoint": "http://host:1/v1"}, "is not a URL"),
        (("trace_exporter",), {"otlp_endpoint": "127.0.0.1:4318"}, "is not a URL"),
        (("claim_partitions",), 0, "less than the minimum of 1"),
        (("idempotency_window_ms",), 86_400_000, "must be shorter than log_retention"),
        (("log_retention_ms",), 3_600_000, "must be shorter than log_retention_ms"),
        (("random_seed",), -1, "less than the minimum of 0"),
        (("balancer_wait",), 1, "did you mean 'balancer_wait_ms'"),
    ],
)
def test_invalid_value_is_reported(path, value, expected):
    """Guards against a daemon that starts with invalid settings."""
    text = json.dumps(with_value(SETTINGS, *path, value=value))
    found = [str(item) for item in parse_settings(text, "s.json").unwrap_err()]
    assert any(expected in finding for finding in found), found


def test_defaults_and_given_values():
    """Guards against values or defaults that the parser loses."""
    parsed = parse_settings(json.dumps(SETTINGS), "s.json").unwrap()
    assert {name: getattr(parsed, name) for name in SETTINGS} == SETTINGS
    for name in DEFAULTS.keys() - {"trace_exporter"}:
        assert getattr(parsed, name) == DEFAULTS[name]
    assert parsed.trace_exporter.kind == "none"
    given_values = {
        "max_body_bytes": 1e6,
        "random_seed": 7,
        "trace_exporter": {"otlp_endpoint": "http://127.0.0.1:4318/v1/traces"},
    }
    parsed = parse_settings(json.dumps({**SETTINGS, **given_values}), "s").unwrap()
    assert parsed.max_body_bytes == 1_000_000
    assert isinstance(parsed.max_body_bytes, int)
    assert parsed.random_seed == 7
    assert parsed.trace_exporter.kind == "otlp"
    with pytest.raises(TypeError):
        DaemonSettings(**SETTINGS, no_such_setting=1)


@settings(derandomize=True, max_examples=1000, deadline=None)
@given(mutated_documents({**SETTINGS, **DEFAULTS}) | JSON)
def test_any_json_gives_a_result(value):
    """Guards against unexpected exceptions for arbitrary and mutated documents."""
    parsed = parse_settings(json.dumps(value), "s.json")
    assert parsed.is_ok() or parsed.unwrap_err()


@settings(derandomize=True, max_examples=500, deadline=None)
@given(st.text())
def test_any_text_gives_a_result(text):
    """Guards against unexpected exceptions for text that is not JSON."""
    assert parse_settings(text, "s.json").unwrap_err()
