"""Starts stand-ins and daemons as processes on loopback for process tests."""

import asyncio
import signal
import sys
import uuid
from pathlib import Path

import aiohttp
import orjson

from cassiamount.records import PublishConfiguration, encode_record
from tests.free_ports import free_port

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
START_LIMIT_S = 30
STOP_LIMIT_S = 30
POLL_S = 0.05


class ProcessFailed(AssertionError):
    """A process did not start or did not stop as expected."""


def free_address():
    """Return a loopback address that is free at the moment."""
    return f"{HOST}:{free_port()}"


class OwnedProcess:
    """A process that the harness started; signals go to its process id only.

    Parameters
    ----------
    name : str
    process : asyncio.subprocess.Process
    output : Path
        File with its error output, and its standard output after the start.
    """

    def __init__(self, name, process, output):
        self.name = name
        self.output = output
        self._process = process

    @property
    def pid(self):
        return self._process.pid

    @property
    def running(self):
        return self._process.returncode is None

    def _signal(self, number):
        if self.running:
            self._process.send_signal(number)

    def terminate(self):
        self._signal(signal.SIGTERM)

    def pause(self):
        self._signal(signal.SIGSTOP)

    def resume(self):
        self._signal(signal.SIGCONT)

    async def kill(self):
        """End the process without warning, as when a VM dies."""
        self._signal(signal.SIGKILL)
        return await self._process.wait()

    async def wait(self, limit_s=STOP_LIMIT_S):
        """Wait for the process's own end and return its exit status."""
        try:
            async with asyncio.timeout(limit_s):
                return await self._process.wait()
        except TimeoutError:
            raise ProcessFailed(f"{self.name} still runs\n{self.log_tail()}") from None

    async def stop(self, limit_s=STOP_LIMIT_S):
        """Send SIGTERM and return the exit status."""
        self.terminate()
        return await self.wait(limit_s)

    def log_tail(self, characters=4000):
        return self.output.read_text(errors="replace")[-characters:]


class Standin(OwnedProcess):
    """A running stand-in and its administration."""

    def __init__(self, name, process, output, address, http):
        super().__init__(name, process, output)
        self.address = address
        self.url = f"http://{address}"
        self._http = http

    async def call(self, method, path, body=None):
        """Send a request and return the parsed answer."""
        async with self._http.request(method, self.url + path, json=body) as response:
            response.raise_for_status()
            return orjson.loads(await response.read())

    async def add_fault(self, kind, **parameters):
        faults = [{"kind": kind, **parameters}]
        return await self.call("POST", "/admin/faults", {"faults": faults})

    async def clear_faults(self):
        return await self.call("POST", "/admin/faults", {"clear": True})

    async def executions(self):
        return await self.call("GET", "/admin/executions")


class LogStandin(Standin):
    """The log, with the operators' records."""

    async def append(self, stream, *records):
        body = {"records": [encode_record(record) for record in records]}
        answer = await self.call("POST", f"/streams/{stream}/records", body)
        return answer["offsets"]

    async def publish(self, document, base_version=0):
        """Append a configuration and return the version that it gets if accepted."""
        record = PublishConfiguration(
            uuid.uuid4().hex, "operator", base_version, document
        )
        return (await self.append("config", record))[0] + 1


class Daemon(OwnedProcess):
    """A running ``cassiamountd``."""

    def __init__(self, name, process, output, settings, http):
        super().__init__(name, process, output)
        self.settings = settings
        self.url = f"http://{settings['listen_address']}"
        self.admin_url = f"http://{settings['admin_address']}"
        self._http = http

    async def answers(self, path):
        """Return whether the operators' port answers a path with status 200."""
        try:
            async with self._http.get(self.admin_url + path) as response:
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError):
            return False

    async def wait_for(self, path, limit_s=START_LIMIT_S):
        """Wait for ``/livez`` or ``/readyz``; fail with the log if the daemon ends.

        A daemon is ready once it has read a configuration.
        """

        async def answers_or_ended():
            return not self.running or await self.answers(path)

        if not await wait_until(answers_or_ended, limit_s) or not self.running:
            message = f"{self.name}: no status 200 from {path}"
            raise ProcessFailed(f"{message}\n{self.log_tail()}")

    async def status(self):
        async with self._http.get(self.admin_url + "/status") as response:
            return orjson.loads(await response.read())


class ProcessHarness:
    """Owns the processes of one test and ends them with it.

    Parameters
    ----------
    directory : Path
        For settings and output, for example ``tmp_path``.
    """

    def __init__(self, directory):
        self.directory = Path(directory)
        self._processes = []

    async def __aenter__(self):
        timeout = aiohttp.ClientTimeout(total=10)
        self.http = aiohttp.ClientSession(timeout=timeout)
        return self

    async def __aexit__(self, *error):
        await self.http.close()
        for owned in reversed(self._processes):
            # A paused process would not see SIGTERM.
            owned.resume()
            owned.terminate()
        for owned in reversed(self._processes):
            try:
                await owned.wait(STOP_LIMIT_S)
            except ProcessFailed:
                await owned.kill()

    async def _start(self, name, arguments, capture):
        output = self.directory / f"{name}-{len(self._processes)}.log"
        with output.open("wb") as file:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                *arguments,
                cwd=ROOT,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=asyncio.subprocess.PIPE if capture else file,
                stderr=file,
            )
        return process, output

    async def start_standin(self, module, *options, name=None):
        """Start ``standins.<module>`` on a free port and wait until it listens."""
        name = module if name is None else name
        arguments = [f"standins.{module}", "--host", HOST, "--port", "0"]
        arguments += ["--name", name, *map(str, options)]
        process, output = await self._start(name, arguments, capture=True)
        owned = OwnedProcess(name, process, output)
        self._processes.append(owned)
        try:
            async with asyncio.timeout(START_LIMIT_S):
                line = orjson.loads(await process.stdout.readline())
        except (TimeoutError, ValueError):
            raise ProcessFailed(f"{name} did not start\n{owned.log_tail()}") from None
        address = f"{HOST}:{line['port']}"
        cls = LogStandin if module == "log" else Standin
        standin = cls(name, process, output, address, self.http)
        self._processes[self._processes.index(owned)] = standin
        return standin

    async def start_daemon(self, settings, wait_for="/readyz"):
        """Start ``cassiamountd``; own addresses that are not set are chosen.

        Parameters
        ----------
        settings : dict
            Document of the settings file.
        wait_for : str or None
            See `Daemon.wait_for`.
        """
        for field in ("listen_address", "peer_address", "admin_address"):
            settings.setdefault(field, free_address())
        name = settings["vm_name"]
        file = self.directory / f"{name}-{len(self._processes)}.json"
        file.write_bytes(orjson.dumps(settings))
        arguments = ["cassiamount.daemon", "--settings", str(file)]
        process, output = await self._start(name, arguments, capture=False)
        daemon = Daemon(name, process, output, settings, self.http)
        self._processes.append(daemon)
        if wait_for is not None:
            await daemon.wait_for(wait_for)
        return daemon


async def wait_until(condition, limit_s=START_LIMIT_S):
    """Wait until an async condition holds; return whether it did within the limit."""
    try:
        async with asyncio.timeout(limit_s):
            while not await condition():
                await asyncio.sleep(POLL_S)
    except TimeoutError:
        return False
    return True
