"""Tests of the validation of configuration documents."""

import json
import re
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cassiamount.configuration import (
    InvalidConfiguration,
    Route,
    configuration_from_document,
    parse_configuration,
)

from .documents import DOCUMENT, mutated_documents, with_value
from .test_records import JSON

ROOT = Path(__file__).parent.parent
KEY_HASH = "sha256:" + "0" * 64
ENGINE = DOCUMENT["backends"][0]
SERVICE = DOCUMENT["services"][0]


def findings_of(document):
    text = json.dumps(document, indent=1)
    parsed = parse_configuration(text, "c.json")
    return [] if parsed.is_ok() else [str(item) for item in parsed.unwrap_err()]


@pytest.mark.parametrize(
    ("path", "value", "expected"),
    [
        (("zones", 1), {"name": "zone-a"}, "duplicate name 'zone-a' in zones"),
        (("zones", 0, "weight"), 0, "less than or equal to the minimum"),
        (("zones", 0, "wieght"), 1, "unknown field 'wieght'; did you mean 'weight'"),
        (("zones", 0, "name"), "zone a", "'zone a' is not a name"),
        (("zones", 0, "name"), "zone-a\n", "is not a name"),
        (("models",), {}, "{} is not of type 'array'"),
        (("models", 0, "memory_mb"), "16", "'16' is not of type 'integer'"),
        (("models", 0, "memory_mb"), True, "True is not of type 'integer'"),
        (("models", 0, "load_ms"), ..., "field 'load_ms' is missing"),
        (("models", 0, "memory_mb"), 41, "'loom' (41 MB) fits on no engine"),
        (("models", 0, "memory_mb"), 41, "team 'team-a': 'loom' needs 41 MB"),
        (
            ("models", 0, "memory_mb"),
            39,
            "'hem' needs 41 MB; the largest engine has 40",
        ),
        (
            ("models", 1),
            {"name": "big", "version": "1", "memory_mb": 30, "load_ms": 1},
            "one copy of each model (46 MB) does not fit on the 1 engines (40 MB)",
        ),
        (("adapters", 0, "base"), "none", "unknown base model 'none'"),
        (("adapters", 0, "name"), "loom", "adapter 'loom' has the name of a model"),
        (("backends", 0, "zone"), "zone-b", "unknown zone 'zone-b'"),
        (("backends", 1, "service"), "none", "unknown service 'none'"),
        (
            ("backends", 0, "address"),
            "host:9101",
            "'host:9101' is not an address IP:port",
        ),
        (("backends", 0, "address"), "127.0.0.1", "is not an address"),
        (("backends", 0, "address"), "127.0.0.1:0", "is not an address"),
        (("backends", 0, "address"), "127.0.0.1:70000", "is not an address"),
        (("backends", 0, "address"), "::1:80", "is not an address"),
        (("backends", 0, "address"), "127.0.0.1:9201", "belongs to backend 'engine-1'"),
        (("backends", 0, "kind"), "gpu", "'gpu' is not one of"),
        (("backends", 0, "service"), "orders", "unknown field 'service'"),
        (("backends", 2), ENGINE, "duplicate name 'engine-1' in backends"),
        (("services", 1), SERVICE, "duplicate name 'orders' in services"),
        (("services", 0, "routes", 0, "path"), "stock", "is not a path"),
        (("services", 0, "routes", 0, "methods"), ["GOT"], "'GOT' is not one of"),
        (
            ("services", 0, "routes", 1),
            {"path": "/stock", "methods": ["PUT", "GET"]},
            "duplicate route GET /stock",
        ),
        (("policy",), {"fairness_weight": -1}, "less than the minimum of 0"),
        (("teams", 1, "burst_tokens"), 0, "0 is less than the minimum of 1"),
        (("teams", 1, "rate_tokens_per_s"), 0, "less than or equal to the minimum"),
        (("teams", 1, "priority"), "high", "'high' is not one of"),
        (("teams", 1, "models"), ["none"], "uses the unknown model 'none'"),
        (("teams", 1, "adapters"), ["loom"], "uses the unknown adapter 'loom'"),
        (("teams", 1, "services"), ["none"], "uses the unknown service 'none'"),
        (("teams", 1, "keys"), ["ck-plain"], "is not a key hash"),
        (("teams", 1, "name"), "team-a", "duplicate name 'team-a' in teams"),
        (
            ("teams",),
            [
                {**DOCUMENT["teams"][1], "name": name, "keys": [KEY_HASH]}
                for name in ("a", "b")
            ],
            "the key of team 'b' belongs to team 'a'",
        ),
        (("teams", 0, "template"), "none", "unknown template 'none'"),
        (("teams", 0, "parameters"), {}, "parameter 'rate' of template 'standard' is"),
        (("teams", 0, "parameters", "rat"), 1, "has no parameter 'rat'"),
        (
            ("teams", 0, "parameters", "rate"),
            "1",
            "'rate' must be of type integer: '1'",
        ),
        (("teams", 0, "parameters", "rate"), True, "must be of type integer: True"),
        (("teams", 0, "parameters", "rate"), -1, "-1 is less than or equal"),
        (("teams", 0, "burst_tokens"), 1, "unknown field 'burst_tokens'"),
        (
            ("templates", 0, "parameters", "models", "default"),
            "loom",
            "'models' must be of type array",
        ),
        (
            ("templates", 0, "team", "burst_tokens"),
            {"$param": "burst"},
            "the template declares no parameter 'burst'",
        ),
        (
            ("templates", 0, "team", "models"),
            {"$param": "models", "x": 1},
            "declares no parameter {",
        ),
        (
            ("templates", 0, "team", "burst_tokens"),
            0,
            "0 is less than the minimum of 1",
        ),
        (
            ("templates", 0, "team"),
            {"$param": "rate"},
            "a template's team must be an object",
        ),
        (("templates", 0, "team", "name"), "x", "a template must not set the name"),
        (("templates", 1), DOCUMENT["templates"][0], "duplicate name 'standard' in te"),
        (("extra",), 1, "unknown field 'extra'"),
    ],
)
def test_invalid_value_is_reported(path, value, expected):
    """Guards against accepting an invalid configuration."""
    assert findings_of(DOCUMENT) == []
    found = findings_of(with_value(DOCUMENT, *path, value=value))
    assert any(expected in finding for finding in found), found


def test_all_findings_are_reported_with_their_places():
    """Guards against a check that stops at the first fault or misplaces one."""
    text = """{
 "zones": [{"name": "zone-a", "color": 1}],
 "models": [{"name": "loom", "version": "1", "memory_mb": 0, "load_ms": 5}],
 "backends": [],
 "templates": [{"name": "t", "parameters": {"rate": {"type": "integer"}},
   "team": {"rate_tokens_per_s": {"$param": "rate"}, "burst_tokens": 0}}],
 "teams": [{"name": "a", "template": "t", "parameters": {"rate": 0}},
           {"name": "b", "template": "u"}]
}"""
    found = parse_configuration(text, "c.json").unwrap_err()
    lines = text.splitlines()
    shown = []
    for finding in found:
        line, column = map(int, finding.place.split(":")[1:])
        shown.append((line, lines[line - 1][column - 1 :]))
    assert shown == [
        (2, '"color": 1}],'),
        (3, '0, "load_ms": 5}],'),
        (6, "0}}],"),
        (7, "0}},"),
        (8, '"u"}]'),
    ]


def test_document_is_converted_to_objects():
    """Guards against fields that are lost or altered by the conversion."""
    document = with_value(DOCUMENT, "teams", 1, "keys", value=[KEY_HASH])
    configuration = configuration_from_document(document, 7)
    assert configuration.version == 7
    assert configuration.models["loom"].memory_mb == 16
    assert configuration.adapters["hem"].base == "loom"
    assert configuration.backends["orders-1"].service == "orders"
    assert configuration.services["orders"].routes == (Route("/stock", ["GET"]),)
    team = configuration.teams["team-a"]
    assert (team.rate_tokens_per_s, team.burst_tokens) == (20, 4000)
    assert (team.models, team.adapters) == (frozenset({"loom"}), frozenset({"hem"}))
    assert configuration.teams["riggers"].key_hashes == frozenset({KEY_HASH})
    assert configuration == configuration_from_document(document, 7)


def test_design_page_example_is_valid():
    """Guards against a schema that contradicts the example on the design page."""
    page = (ROOT / "docs" / "design.md").read_text()
    section = page[page.index("## 10. Configuration document") :]
    text = re.search(r"```json\n(.*?)```", section, re.DOTALL)[1]
    assert parse_configuration(text, "design.md").is_ok()


@pytest.mark.parametrize("name", ["netcraft", "regie"])
def test_deployment_examples_have_the_design_sizes(name):
    """Guards against examples that are invalid or no longer of the design size."""
    text = (ROOT / "examples" / f"{name}.json").read_text()
    configuration = parse_configuration(text, name).unwrap()
    kinds = [backend.kind for backend in configuration.backends.values()]
    assert (kinds.count("engine"), kinds.count("service")) == (6, 3)
    sizes = (configuration.zones, configuration.models, configuration.adapters)
    assert [len(part) for part in sizes] == [3, 20, 80]
    assert len(configuration.teams) == 5
    used = set().union(*(team.models for team in configuration.teams.values()))
    assert used == configuration.models.keys()
    policy = configuration.policy
    favours_attainment = policy.attainment_weight > policy.fairness_weight
    assert favours_attainment == (name == "netcraft")


def test_demo_example_is_valid():
    """Guards against a demo that cannot start because its document is invalid."""
    text = (ROOT / "examples" / "demo.json").read_text()
    assert parse_configuration(text, "demo.json").is_ok()


def check_both_parsers(document):
    parsed = parse_configuration(json.dumps(document), "f")
    if parsed.is_err():
        assert parsed.unwrap_err()
    try:
        configuration = configuration_from_document(document)
    except InvalidConfiguration as error:
        assert parsed.is_err()
        assert error.findings
    else:
        assert parsed.unwrap() == configuration


@settings(derandomize=True, max_examples=1000, deadline=None)
@given(mutated_documents(DOCUMENT))
def test_mutated_document_gives_a_result(document):
    """Guards against unexpected exceptions and parsers with different results."""
    check_both_parsers(document)


@settings(derandomize=True, max_examples=500, deadline=None)
@given(JSON, st.sampled_from(sorted(DOCUMENT)))
def test_any_json_gives_a_result(value, section):
    """Guards against unexpected exceptions for arbitrary JSON."""
    check_both_parsers(value)
    check_both_parsers({**DOCUMENT, section: value})


@settings(derandomize=True, max_examples=500, deadline=None)
@given(st.text(), st.integers(0, 2000))
def test_any_text_gives_a_result(text, cut):
    """Guards against unexpected exceptions for malformed or truncated JSON."""
    parse_configuration(text, "f")
    parse_configuration(json.dumps(DOCUMENT)[:cut] + text, "f")
