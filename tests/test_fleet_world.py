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


@pytest.mark.parametrize("seed", [3, 4])
def test_rare_models_are_served_beside_busy_ones(seed):
    """Guards against copies of busy models that keep others from being loaded.

    Engines have few slots, and three models for every place that a busy one needs not.
    """
    world = World(
        WorldConfig(
            vms=4,
            large_vms=4,
            zones=2,
            seed=seed,
            first_holder="vm-03",
            engines=14,
            models=52,
            live_models=14,
            busy_models=6,
            loads_per_s=4.0,
            adapter_share={"live": 0.0, "short": 0.0, "batch": 0.0},
            shift_per_s=0.25,
            requests_per_s={"live": 40.0, "short": 47.0, "batch": 5.6},
        )
    )
    world.run(16.0)
    assert world.share("refused", "batch") <= 0.05
    assert world.share("refused") <= 0.05
