"""Tests of the start of VM processes: signals, settings, ports and libraries."""

import asyncio
import contextlib
import os
import signal
import socket
import struct
import sys

import orjson
import pytest
import pytest_asyncio

from cassiamount.platform.settings import FILE_VARIABLE, decode_settings
from tests.fleet_fixtures import TIMEOUT_S, Fleet, configuration
from tests.soak import VmProcess

# Names of `VmProcess.ports`.
PORTS = ("callers", "ready", "peers", "metrics")
# Stands in for a library: tells that it is being imported, and waits to be let go on.
HELD_LIBRARY = """
import os, pathlib, sys, time
folder = pathlib.Path(__file__).parent.parent
(folder / "importing").touch()
while not (folder / "go").exists():
    time.sleep(0.01)
sys.path.remove(str(folder))
del sys.modules["grpc"]
import grpc
"""


class Vm(VmProcess):
    """A VM's process, its log and the deployment around it."""

    def __init__(self, fleet, folder, name="vm-1"):
        super().__init__(name, 1, fleet.store_port, folder)
        self.fleet = fleet
        self.text = self.settings_file.read_text()
        fleet.settings[name] = decode_settings(self.text, "boot.yaml").unwrap()

    def logged(self, event):
        """Return the log lines of an event."""
        lines = self.log_file.read_text().splitlines() if self.log_file.exists() else ()
        entries = [orjson.loads(line) for line in lines if line.startswith("{")]
        return [entry for entry in entries if entry["event"] == event]

    def logged_ports(self, event):
        """Return the ports that the log lines of an event name."""
        return [entry["port"] for entry in self.logged(event)]

    async def until(self, condition):
        """Wait until a condition is true; fail if the process ends before."""
        async with asyncio.timeout(TIMEOUT_S):
            while not condition():
                assert self.process.returncode is None, self.log_file.read_text()
                await asyncio.sleep(0.01)

    async def until_logged(self, event, count=1):
        await self.until(lambda: len(self.logged(event)) >= count)

    async def serves(self):
        """Wait until the VM is ready, and return the status of a request."""
        await self.wait_ready()
        status, _, _ = await self.fleet.send_request(self.name, "/look/1", "GET")
        return status

    def output(self):
        return self.log_file.read_text()

    async def ended(self):
        async with asyncio.timeout(TIMEOUT_S):
            return await self.process.wait()


@pytest_asyncio.fixture
async def vm(tmp_path):
    fleet = Fleet()
    await fleet.start()
    fleet.store.put("keyed.op", "config", configuration())
    await fleet.add_replica("shop-1", "shop")
    await fleet.add_replica("llm-1", "llm", models={"m1": []})
    vm = Vm(fleet, tmp_path)
    yield vm
    if vm.process is not None and vm.process.returncode is None:
        vm.process.kill()
        await vm.process.wait()
    await fleet.stop()


async def start_held(vm, folder):
    """Start a process and hold it in the import of its libraries."""
    library = folder / "held" / "grpc"
    library.mkdir(parents=True)
    (library / "__init__.py").write_text(HELD_LIBRARY)
    paths = [str(library.parent), *filter(None, [os.environ.get("PYTHONPATH")])]
    await vm.spawn(PYTHONPATH=os.pathsep.join(paths))
    await vm.until((library.parent / "importing").exists)
    return library.parent / "go"


async def test_hangup_while_starting_does_not_end_the_process(vm, tmp_path):
    """Guards against a changed settings file that ends a VM at its start."""
    go = await start_held(vm, tmp_path)
    for _ in range(20):
        with contextlib.suppress(ProcessLookupError):
            vm.process.send_signal(signal.SIGHUP)
        await asyncio.sleep(0.005)
    go.touch()
    assert await vm.serves() == 200
    vm.process.send_signal(signal.SIGTERM)
    assert await vm.ended() == 0


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
async def test_stop_while_starting_is_a_clean_end(vm, tmp_path, number):
    """Guards against a stopped VM that counts as failed or starts all the same."""
    go = await start_held(vm, tmp_path)
    vm.process.send_signal(number)
    go.touch()
    assert await vm.ended() == 0, vm.log_file.read_text()
    assert [entry["status"] for entry in vm.logged("process_ending")] == [0]
    assert not vm.logged("started")


@pytest.mark.parametrize("part", [0.0, 0.1, 0.3, 0.5, None])
async def test_settings_file_that_is_being_written(vm, part):
    """Guards against a VM that ends because its settings file is not whole yet."""
    if part is None:
        vm.settings_file.unlink()
    else:
        vm.settings_file.write_text(vm.text[: int(len(vm.text) * part)])
    await vm.spawn()
    await vm.until_logged("settings_awaited")
    whole = vm.settings_file.with_suffix(".whole")
    whole.write_text(vm.text)
    whole.replace(vm.settings_file)
    assert await vm.serves() == 200
    assert len(vm.logged("settings_awaited")) == 1


@pytest.mark.parametrize(("text", "status"), [("Zone: z1\n", 2), (None, 1)])
async def test_settings_that_stay_wrong(vm, text, status):
    """Guards against a VM that waits for ever, or ends without its reasons."""
    vm.settings_file.unlink()
    if text is not None:
        vm.settings_file.write_text(text)
    await vm.spawn()
    assert await vm.ended() == status
    assert "NodeName" in vm.output() if text else "No such file" in vm.output()


async def test_settings_are_followed_from_the_start(vm, tmp_path):
    """Guards against a change that is lost between two readings of the file."""
    go = await start_held(vm, tmp_path)
    vm.settings_file.write_text(vm.text.replace("RevokeMs: 5000", "RevokeMs: 4000"))
    go.touch()
    assert await vm.serves() == 200
    vm.settings_file.unlink()
    await vm.until_logged("settings_unreadable")
    for limit_ms in (3000, 2000):
        taken = len(vm.logged("settings_taken"))
        text = vm.text.replace("RevokeMs: 5000", f"RevokeMs: {limit_ms}")
        vm.settings_file.write_text(text)
        vm.process.send_signal(signal.SIGHUP)
        await vm.until_logged("settings_taken", taken + 1)
    assert vm.logged("settings_taken")[-1]["changed"] == ["key_limit_ms"]


def hold(port, kind, store_port):
    """Return a socket that holds a port as a server or as a client's connection."""
    sock = socket.socket()
    sock.bind(("127.0.0.1", port))
    if kind == "listener":
        sock.listen()
    elif kind == "client":
        sock.connect(("127.0.0.1", store_port))
        # Without a reset the port would stay taken for a minute after the close.
        linger = struct.pack("ii", 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    return sock


@pytest.mark.parametrize("kind", ["listener", "client", "bound"])
@pytest.mark.parametrize("name", ["callers", "ready", "peers", "metrics"])
async def test_port_that_is_still_held(vm, name, kind):
    """Guards against a VM that ends because one of its ports is not free yet."""
    port = vm.ports[PORTS.index(name)]
    with hold(port, kind, vm.fleet.store_port):
        await vm.spawn()
        await vm.until(lambda: vm.logged_ports("port_awaited").count(name))
        if name == "callers":
            # It knows all that it needs, and nobody can connect.
            await vm.until_logged("fleet_known")
            assert not await vm.is_ready()
        elif name != "ready":
            assert await vm.serves() == 200
    await vm.until(lambda: vm.logged_ports("port_opened").count(name))
    assert await vm.serves() == 200
    # Processes of other tests may take a port that was free when it was chosen.
    for event in ("port_awaited", "port_opened"):
        assert vm.logged_ports(event).count(name) == 1
    vm.process.send_signal(signal.SIGTERM)
    assert await vm.ended() == 0


@pytest.mark.parametrize("name", ["callers", "ready", "peers", "metrics"])
async def test_stop_while_a_port_is_held(vm, name):
    """Guards against a VM that cannot be stopped while it waits for a port."""
    with hold(vm.ports[PORTS.index(name)], "listener", vm.fleet.store_port):
        await vm.spawn()
        await vm.until(lambda: vm.logged_ports("port_awaited").count(name))
        vm.process.send_signal(signal.SIGTERM)
        assert await vm.ended() == 0
        assert not vm.logged("child_failed")


async def spawn_with_streams(vm, prepare, error=None):
    """Start a process whose standard streams `prepare` changes before."""
    vm.process = await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", "cassiamount.platform"),
        stdout=asyncio.subprocess.DEVNULL,
        stderr=error or asyncio.subprocess.DEVNULL,
        env={**os.environ, FILE_VARIABLE: str(vm.settings_file)},
        preexec_fn=prepare,
    )


@pytest.mark.parametrize("closed", [(1,), (2,), (1, 2), (0, 1, 2)])
async def test_closed_standard_streams(vm, closed):
    """Guards against a VM that ends, or logs to a caller, without an output."""
    vm.log_file.write_text("")
    await spawn_with_streams(vm, lambda: [os.close(number) for number in closed])
    assert await vm.serves() == 200
    vm.process.send_signal(signal.SIGTERM)
    assert await vm.ended() == 0


async def test_standard_error_that_nobody_reads(vm):
    """Guards against a VM that hangs in a write to a pipe that is full."""
    vm.settings_file.write_text("Zone: z1\n")
    vm.log_file.write_text("")
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    with contextlib.suppress(BlockingIOError):
        while os.write(writer, b"x"):
            pass
    os.set_blocking(writer, True)
    await spawn_with_streams(vm, None, writer)
    try:
        assert await vm.ended() == 2
    finally:
        os.close(reader)
        os.close(writer)
