"""Tests of the process harness with a real daemon."""

import copy
import os
import signal

import pytest

from tests.documents import DOCUMENT
from tests.process_harness import ProcessFailed, ProcessHarness, free_address


async def start_platform(harness):
    """Start the platform's services; return a daemon's settings for them."""
    log = await harness.start_standin("log")
    document = copy.deepcopy(DOCUMENT)
    for backend, module in zip(
        document["backends"], ("engine", "service"), strict=True
    ):
        backend["address"] = (await harness.start_standin(module)).address
    assert await log.publish(document) == 1
    vm_list = await harness.start_standin("vm_list")
    weight_store = await harness.start_standin("weight_store")
    return {
        "zone": "zone-a",
        "log_address": log.address,
        "vm_list_address": vm_list.address,
        "weight_store_address": weight_store.address,
        "balancer_wait_ms": 10,
    }


async def test_daemons_start_pause_stop_and_die(tmp_path):
    """Guards against daemons that do not start on the stand-ins or do not stop."""
    async with ProcessHarness(tmp_path) as harness:
        settings = await start_platform(harness)
        first = await harness.start_daemon({"vm_name": "vm-1", **settings})
        second = await harness.start_daemon({"vm_name": "vm-2", **settings})
        assert (await first.status())["vm"].startswith("vm-1@")
        first.pause()
        first.resume()
        assert await first.answers("/readyz")
        assert await first.stop() == 0
        assert await second.kill() == -signal.SIGKILL
        assert not await second.answers("/livez")


async def test_failures_show_the_log_and_leave_no_process(tmp_path):
    """Guards against a hanging test and against processes that outlive it."""
    async with ProcessHarness(tmp_path) as harness:
        with pytest.raises(ProcessFailed, match="no-such-option"):
            await harness.start_standin("log", "--no-such-option")
        settings = {"vm_name": "vm-1", "zone": "zone-a"}
        with pytest.raises(ProcessFailed, match="log_address"):
            await harness.start_daemon(settings)
        standin = await harness.start_standin("log")
        standin.pause()
        assert standin.running
    assert not standin.running
    with pytest.raises(ProcessLookupError):
        os.kill(standin.pid, 0)
    assert free_address().startswith("127.0.0.1:")
