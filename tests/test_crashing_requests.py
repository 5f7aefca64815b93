"""Tests of a fleet that gets one request again and again under which servers end."""

import pytest

from tests.fleet_world import small_world
from tests.test_crashing_prompts import SCRIPTS

# Arrivals of the request that may follow once the fleet must have learned of it.
MAX_ARRIVALS = 3
# Time from the third end of a server until then, and until others are served again.
LEARN_MS = 3_000.0
RECOVER_MS = 2 * LEARN_MS
# Share of the rate at which the others' first attempts began before.
MIN_SHARE = 0.5
MIN_REQUESTS = 20


pytestmark = pytest.mark.usefixtures("quiet_logs")


def check(world):
    """Check the bounds on the request and on all others."""
    crashes = world.crashes_ms
    if len(crashes) < 3:
        return
    learned_ms = crashes[2] + LEARN_MS
    arrivals = [
        at_ms
        for at_ms, vm in world.crashing_arrivals
        if at_ms > learned_ms and world.in_touch(vm, at_ms)
    ]
    assert len(arrivals) <= MAX_ARRIVALS, f"{len(arrivals)} more, {len(crashes)} ended"
    for part in ("live", "short", "shop"):
        before = world.begun(part, 0.0, crashes[0])
        after = world.begun(part, crashes[2] + RECOVER_MS, float("inf"))
        if min(len(before), len(after)) >= MIN_REQUESTS:
            share = sum(after) / len(after) / (sum(before) / len(before))
            assert share >= MIN_SHARE, f"{part}: {share:.2f} of the share before"


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
    check(world)
