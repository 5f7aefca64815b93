"""Tests of a large fleet on modelled links: control traffic, orders, placement."""

import asyncio

import pytest

from tests.fleet_world import World, WorldConfig, small_world

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


@pytest.mark.parametrize("vms", [7, 14])
def test_all_vms_learn_of_the_load_that_servers_tell(vms):
    """Guards against VMs that know only the load that their own requests were told."""
    found = []

    async def script(world):
        for engine in world.engines.values():
            engine.pace_percent = 300 if engine.name == "engine-00" else 100
        await asyncio.sleep(2.5)
        for vm in world.vms.values():
            loads, view = vm.state.loads, vm.state.view.backends["engine-00"]
            assert loads.is_enabled("llm")
            found.append(loads.estimate(view, None, 0, vm.state.now_ms()))

    small_world(vms=vms, large_vms=vms).run(3.0, script)
    assert [estimate.pace for estimate in found] == [3.0] * vms
    # Work at the server is counted to its end, and that of all VMs.
    most, least = (pick(e.tokens for e in found) for pick in (max, min))
    assert 0 < most < 40_000
    assert least > 0
