"""Tests of a large fleet on modelled links: control traffic, orders, placement."""

import logging

import pytest
import structlog

from tests.fleet_world import World, WorldConfig

SECONDS = 4


@pytest.fixture(autouse=True)
def quiet_logs():
    """Keep tens of thousands of log lines out of the report of a failure."""
    before = structlog.get_config()
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.ERROR)
    )
    yield
    structlog.configure(**before)


def test_orders_get_through_while_the_fleet_is_told_of_changes():
    """Guards against a lease holder whose own reports fill its link.

    The holder has the smallest link of the fleet, 5 Mbit/s, and engines answer at once.
    """
    world = World(WorldConfig()).run(SECONDS)
    assert world.duties["orders"] > 0
    assert world.duties["orders_unanswered"] == 0
    assert world.duties["engine_reports_failed"] == 0
