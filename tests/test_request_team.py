"""Tests of the check that a request runs only for its key's team."""

import pytest

from cassiamount.edge import Edge
from cassiamount.errors import InvariantViolation
from cassiamount.requests import RequestInfo
from cassiamount.service_calls import _open_route


class Keys:
    def __init__(self, team):
        self.team = team

    def resolve(self, key):
        return self.team


class View:
    def __init__(self, team):
        self.keys = Keys(team)


class Arrival:
    def __init__(self, team):
        self.key = "ck-1"
        self.request_id = "r1"
        self.team = type("Team", (), {"name": team})


def recheck(resolved_team, arrival_team):
    edge = Edge.__new__(Edge)
    edge.view = View(resolved_team)
    return edge.recheck(Arrival(arrival_team))


@pytest.mark.parametrize(
    ("resolved", "refused"), [("a", False), (None, True), ("b", True)]
)
def test_key_that_no_longer_resolves_to_the_team_is_refused(resolved, refused):
    """Guards against running a request whose key was withdrawn or reassigned."""
    result = recheck(resolved, "a")(RequestInfo("r1", "a"))
    assert (result is not None) == refused


@pytest.mark.parametrize(
    "request_info", [RequestInfo("r1", "b"), RequestInfo("r2", "a")]
)
def test_request_info_of_another_request_is_a_violation(request_info):
    """Guards against a request that runs with another request's RequestInfo."""
    with pytest.raises(InvariantViolation):
        recheck("a", "a")(request_info)


def test_open_route_uses_no_team():
    """Guards against an open route that is charged to a team's budget."""
    assert _open_route(RequestInfo("r1", "")) is None
    with pytest.raises(InvariantViolation):
        _open_route(RequestInfo("r1", "a"))
