"""Tests of routes, teams and API keys in the configuration of a fleet."""

import random
from collections import Counter

import pytest

from cassiamount.fleet import (
    CallerLimits,
    FleetConfiguration,
    RouteConfig,
    RouteTable,
    TeamConfig,
    choose_target,
)
from cassiamount.keys import hash_key


def route(host, prefix):
    return RouteConfig(host + prefix, host, prefix, [("s", 1.0)])


TABLE = RouteTable(
    [route("a", "/"), route("a", "/x/"), route("a", "/x/y/"), route("b", "/x/")]
)


@pytest.mark.parametrize(
    ("host", "path", "found"),
    [
        ("a", "/", "a/"),
        ("a", "/z", "a/"),
        ("a", "/x", "a/"),
        ("a", "/x/", "a/x/"),
        ("a", "/x/y", "a/x/"),
        ("a", "/x/y/z/w", "a/x/y/"),
        ("a", "/xx/y/", "a/"),
        ("a", "no-slash", None),
        ("b", "/", None),
        ("b", "/x/1", "b/x/"),
        ("c", "/x/1", None),
    ],
)
def test_longest_prefix_wins(host, path, found):
    """Guards against a request that is sent to the service of another route."""
    rule = TABLE.find(host, path)
    assert (None if rule is None else rule.name) == found


def test_weights_of_targets():
    """Guards against weights that are ignored, so that one service gets everything."""
    rule = RouteConfig("r", "a", "/", [("s1", 90.0), ("s2", 10.0)])
    rng = random.Random(1)
    counts = Counter(choose_target(rule, rng) for _ in range(5_000))
    assert 4_300 < counts["s1"] < 4_700


@pytest.mark.parametrize(
    ("streamed", "idempotent", "resumable", "retryable"),
    [
        (False, False, False, False),
        (False, True, False, True),
        (True, False, False, False),
        (True, True, False, False),
        (True, False, True, True),
    ],
)
def test_retryable_requests(streamed, idempotent, resumable, retryable):
    """Guards against a second run of a request that must run at most once."""
    rule = RouteConfig(
        "r", "a", "/", (), idempotent, streamed=streamed, resumable=resumable
    )
    assert rule.retryable is retryable


def test_keys_select_teams():
    """Guards against an API key that is accepted for another team or for none."""
    teams = {name: TeamConfig(name, [hash_key(f"key-{name}")]) for name in "ab"}
    configuration = FleetConfiguration(1, (), {}, teams, True, CallerLimits())
    assert configuration.team_of("key-a").name == "a"
    assert configuration.team_of("key-c") is None
    assert configuration.team_of("") is None


@pytest.mark.parametrize(
    ("charged_by_tokens", "tokens", "cost"),
    [(True, 30, 30), (True, None, 200), (False, 30, 1)],
)
def test_cost_of_a_request(charged_by_tokens, tokens, cost):
    """Guards against requests that are charged in the wrong unit."""
    team = TeamConfig("t", (), None, 1.0, 1.0, 200.0, charged_by_tokens)
    assert team.cost_tokens(tokens) == cost
