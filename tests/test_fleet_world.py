"""Tests of a large fleet on modelled links: control traffic, orders, placement."""

import pytest

from tests.fleet_world import World, WorldConfig

SECONDS = 4


pytestmark = pytest.mark.usefixtures("quiet_logs")


def test_orders_get_through_while_the_fleet_is_told_of_changes():
    """Guards against a lease holder whose own reports fill its link.

    The holder has the smallest link of the fleet, 5 Mbit/s, and engines answer at once.
    """
    world = World(WorldConfig()).run(SECONDS)
    assert world.duties["orders"] > 0
    assert world.duties["orders_unanswered"] == 0
    assert world.duties["engine_reports_failed"] == 0
