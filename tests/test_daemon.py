"""Tests of the signals to the process of ``cassiamountd``."""

import asyncio
import json
import os
import signal
import sys

import pytest

from tests.fleet_fixtures import TIMEOUT_S
from tests.free_ports import free_port
from tests.test_vm_start import HELD_LIBRARY

ADDRESSES = (
    "listen_address",
    "admin_address",
    "peer_address",
    "log_address",
    "vm_list_address",
    "weight_store_address",
)


@pytest.fixture
def settings(tmp_path):
    """Return a settings file; no service of the platform is there."""
    path = tmp_path / "vm.json"
    addresses = {name: f"127.0.0.1:{free_port()}" for name in ADDRESSES}
    path.write_text(json.dumps({"vm_name": "v1", "zone": "z1", **addresses}))
    return path


@pytest.mark.parametrize("number", [signal.SIGHUP, signal.SIGTERM, signal.SIGINT])
async def test_signal_while_starting_is_no_failure(settings, tmp_path, number):
    """Guards against a daemon that a signal at its start ends with a failure."""
    library = tmp_path / "held" / "grpc"
    library.mkdir(parents=True)
    (library / "__init__.py").write_text(HELD_LIBRARY)
    paths = [str(library.parent), *filter(None, [os.environ.get("PYTHONPATH")])]
    process = await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", "cassiamount.daemon", "--settings", str(settings)),
        env={**os.environ, "PYTHONPATH": os.pathsep.join(paths)},
        stderr=asyncio.subprocess.PIPE,
    )
    try:
        async with asyncio.timeout(TIMEOUT_S):
            while not (library.parent / "importing").exists():
                assert process.returncode is None
                await asyncio.sleep(0.01)
            process.send_signal(number)
            (library.parent / "go").touch()
            if number == signal.SIGHUP:
                while b'"started"' not in await process.stderr.readline():
                    assert process.returncode is None and not process.stderr.at_eof()
                process.send_signal(signal.SIGHUP)
                process.send_signal(signal.SIGTERM)
            await process.stderr.read()
            assert await process.wait() == 0
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()
