"""Tests of a fleet that gets one request again and again under which servers end."""

import pytest

from tests.fleet_world import small_world
from tests.test_crashing_prompts import SCRIPTS, check

pytestmark = pytest.mark.usefixtures("quiet_logs")


def play(route, seed, script):
    """Play a fleet before engines and three plain servers for some seconds."""
    return small_world(
        seed=seed,
        requests_per_s={"live": 16.0, "short": 14.0, "batch": 2.0},
        shops=3,
        shop_requests_per_s=20.0,
        poison_route=route,
        poison_per_s=0.5,
    ).run(30.0, script)


@pytest.mark.parametrize(
    "script", SCRIPTS, ids=lambda s: getattr(s, "__name__", "calm")
)
@pytest.mark.parametrize("route", ["shop", "batch", "short"])
def test_request_that_ends_servers_is_kept_from_them(route, script):
    """Guards against one request, sent again, that ends server after server."""
    world = play(route, 1, script)
    assert world.crashes_ms
    check(world, 3, ("live", "short", "shop"))
