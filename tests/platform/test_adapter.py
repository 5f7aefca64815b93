"""Tests of the formats that the adapter to the users' platform decodes and encodes."""

import re
import tomllib
from pathlib import Path

import pytest

from cassiamount.backend_messages import Attempt
from cassiamount.platform import headers
from cassiamount.platform.documents import UnreadableDocument, decode_backend
from cassiamount.platform.settings import decode_settings

ROOT = Path(__file__).parent.parent.parent
SETTINGS = """
NodeName: v1
Zone: z1
Listen: {Frontend: "10.0.0.1:80", Ready: "10.0.0.1:81", Control: "10.0.0.1:82"}
Platform: {Address: "10.0.0.9:90"}
Bounds: {RevokeMs: 5000, New: {a: 1}}
Unknown: [1]
"""


def test_requirements_agree_with_the_project():
    """Guards against other dependencies on the platform than in the tests."""
    project = tomllib.loads((ROOT / "pyproject.toml").read_text())
    required = (ROOT / "requirements.txt").read_text().split()
    assert sorted(required) == sorted(project["project"]["dependencies"])


def test_platform_names_stay_in_the_adapter():
    """Guards against the platform's names outside of the adapter."""
    words = re.compile(
        r"x-cassiamount-|keyed\.|log-(append|read|newest|join)|FencingToken|ApiKeys",
        re.I,
    )
    found = [
        path.name
        for path in (ROOT / "cassiamount").glob("*.py")
        if words.search(path.read_text())
    ]
    assert found == []


def test_adapter_stays_small():
    """Guards against decisions that are made in the adapter."""
    files = (ROOT / "cassiamount" / "platform").glob("*.py")
    assert sum(len(path.read_text().splitlines()) for path in files) < 1_200


def test_settings():
    """Guards against settings that are rejected because of unknown fields."""
    settings = decode_settings(SETTINGS, "f").unwrap()
    assert (settings.vm_name, settings.key_limit_ms) == ("v1", 5000)
    assert settings.first_start is False


@pytest.mark.parametrize(
    ("change", "found"),
    [
        (("NodeName: v1", "NodeName: 7"), ["NodeName"]),
        (("Zone: z1", ""), ["Zone"]),
        (('"10.0.0.9:90"', '"nowhere"'), ["nowhere"]),
        (("RevokeMs: 5000", "RevokeMs: soon"), ["RevokeMs"]),
        (("NodeName: v1\nZone: z1", ""), ["NodeName", "Zone"]),
        (("NodeName: v1", "NodeName: ["), ["YAML"]),
        (("NodeName: v1", "NodeName: 2001-13-45"), ["YAML"]),
        (("Unknown: [1]", "Unknown: " + "[" * 5_000), ["YAML"]),
        (("Unknown: [1]", 'Seeds: ["10.0.0.9:90", 7]'), ["seed 7"]),
        (("Unknown: [1]", "PortRange: [70000, a]"), ["70000", "'a'"]),
        (("Unknown: [1]", "HeartbeatMs: .inf"), ["heartbeat_ms"]),
        (("Unknown: [1]", "HeartbeatMs: .nan"), ["heartbeat_ms"]),
        (("Unknown: [1]", "HeartbeatMs: " + "9" * 400), ["heartbeat_ms"]),
        (("RevokeMs: 5000", "RevokeMs: -1"), ["key_limit_ms"]),
    ],
)
def test_wrong_settings_are_reported_together(change, found):
    """Guards against a VM that starts with invalid settings or reports one error."""
    findings = decode_settings(SETTINGS.replace(*change), "f").unwrap_err()
    text = " ".join(map(str, findings))
    assert all(part in text for part in found)


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"{",
        b"5",
        b"[]",
        b'{"Service": "s"}',
        b'{"Service":"s","Address":"x","Zone":"z","Slots":1,"State":"ready"}',
        b'{"Service":"s","Address":"a:1","Zone":"z","Slots":"1","State":"ready"}',
        b'{"Service":"s","Address":"a:1","Zone":"z","Slots":1,"State":"odd"}',
        b'{"Service":"s","Address":"a:1","Zone":"z","Slots":1,"State":[]}',
        b'{"Service":"s","Address":"a:1","Zone":"z","Slots":1,"State":"ready",'
        b'"Models":[5]}',
    ],
)
def test_unreadable_entry(data):
    """Guards against an invalid entry by another writer that stops the reader."""
    with pytest.raises(UnreadableDocument):
        decode_backend("x", data)


HEAD = [
    (b"host", b"h:80"),
    (b"x-cassiamount-request-id", b"r1"),
    (b"x-cassiamount-deadline-ms", b"1500"),
    (b"x-cassiamount-model", b"m/a"),
    (b"x-cassiamount-token-usage", b"14,8"),
    (b"x-cassiamount-prefix-hash", b"5c:8,91:6"),
    (b"authorization", b"Bearer k"),
    (b"connection", b"x-cassiamount-model, x-own"),
    (b"x-own", b"1"),
    (b"x-other", b"2"),
    (b"x-cassiamount-tenant", b"forged"),
]


def test_request_is_decoded():
    """Guards against requests that are routed or charged by wrong values."""
    metadata = headers.decode_request("POST", b"/p/x?q=%41", HEAD)
    assert (metadata.host, metadata.path, metadata.key) == ("h", "/p/x", "k")
    assert (metadata.model, metadata.adapter, metadata.tokens) == ("m", "a", 22)
    assert list(metadata.prefix) == [("5c", 8), ("91", 6)]
    assert metadata.timeout_ms == 1500


@pytest.mark.parametrize(
    "header",
    [
        (b"x-cassiamount-token-usage", b"x"),
        (b"x-cassiamount-token-usage", b"1"),
        (b"x-cassiamount-token-usage", b"-1,5"),
        (b"x-cassiamount-deadline-ms", b"soon"),
    ],
)
def test_malformed_request(header):
    """Guards against a malformed head that causes an error instead of a refusal."""
    with pytest.raises(ValueError, match="."):
        headers.decode_request("POST", b"/", [header])


def test_request_is_encoded():
    """Guards against API keys and forged or missing headers at a backend server."""
    attempt = Attempt("i-1", "a:1", 900.7, 2, "t", "9")
    data = headers.encode_request("POST", b"/p/x?q=%41", HEAD, b"body", attempt)
    head, _, body = data.partition(b"\r\n\r\n")
    lines = head.split(b"\r\n")
    assert lines[0] == b"POST /p/x?q=%41 HTTP/1.1"
    assert body == b"body"
    expected = {
        b"x-cassiamount-model: m/a",
        b"x-cassiamount-tenant: t",
        b"x-cassiamount-expect-instance: i-1",
        b"x-cassiamount-deadline-ms: 900",
        b"x-cassiamount-request-priority: 2",
        b"last-event-id: 9",
        b"x-other: 2",
        b"content-length: 4",
    }
    assert expected <= set(lines)
    names = [line.partition(b":")[0] for line in lines[1:]]
    assert len(names) == len(set(names))
    assert not {b"authorization", b"x-own", b"connection"} & set(names)


@pytest.mark.parametrize(
    ("value", "figures"),
    [
        (b"3, 1, 12", (3, 1, 12, None)),
        (b"3,1,12,250", (3, 1, 12, 250)),
        (b"3,-1,12,fast", (3, None, 12, None)),
        (b"3,1", (None, None, None, None)),
        (b"3,1,12,100,7", (None, None, None, None)),
        (b"1" * 16 + b",1,12,100", (None, 1, 12, 100)),
    ],
)
def test_load_that_a_server_tells(value, figures):
    """Guards against headers with a pace being dropped, and bad figures being used."""
    told = headers.decode_response(200, [(b"x-cassiamount-server-load", value)])
    assert (told.running, told.waiting, told.slots, told.pace_percent) == figures


@pytest.mark.parametrize(
    ("value", "limit_per_s"),
    [
        (b"1.4", 1.4),
        (b"5", 5.0),
        (b"0", 0.0),
        (b"-1", None),
        (b"nan", None),
        (b"inf", None),
        (b"many", None),
        (b"", None),
        (None, None),
    ],
)
def test_request_limit_of_a_replica(value, limit_per_s):
    """Guards against limits that are missed, and against senseless ones."""
    named = [] if value is None else [(b"server-limit", value)]
    assert headers.decode_response(200, named).limit_per_s == limit_per_s
