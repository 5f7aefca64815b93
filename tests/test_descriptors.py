"""A VM whose callers take more connections than it has descriptors."""

import asyncio
import subprocess
import sys

import orjson
import pytest

from cassiamount.descriptors import descriptor_limit, most_caller_connections

# A server with few descriptors; its application needs one more for each request, as
# for a connection to a replica.
SERVER = """
import asyncio, resource, sys
from cassiamount.bounded_stream import BoundedStream
from cassiamount.descriptors import descriptor_limit, most_caller_connections
from cassiamount.logs import configure_logs
from cassiamount.metrics import Metrics
from cassiamount.serving import EdgeServer, open_listener

async def app(scope, receive, send):
    with open("/dev/null"):
        await asyncio.sleep(0.05)
    await send({"type": "http.response.start", "status": 200,
                "headers": [(b"content-length", b"2")]})
    await send({"type": "http.response.body", "body": b"ok"})

async def main():
    most = int(sys.argv[2]) or most_caller_connections(descriptor_limit())
    listener = open_listener("127.0.0.1", 0)
    server = EdgeServer(app, listener, Metrics(), max_connections=most)
    await server.start()
    print(listener.getsockname()[1], flush=True)
    await asyncio.Event().wait()

limit = int(sys.argv[1])
resource.setrlimit(resource.RLIMIT_NOFILE, (limit, limit))
configure_logs("info", BoundedStream(sys.stderr.fileno()))
asyncio.run(main())
"""


class LimitedServer:
    """A server process with few descriptors, and the connections of its callers."""

    def __init__(self, descriptors, most_connections):
        command = [sys.executable, "-c", SERVER]
        self._process = subprocess.Popen(
            [*command, str(descriptors), str(most_connections)],
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
        )
        self._port = int(self._process.stdout.readline())
        self._writers = []

    async def open(self):
        """Open a connection; return its reader and writer."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self._port)
        self._writers.append(writer)
        return reader, writer

    async def request(self):
        """Return the status of a request on a connection of its own; 0 if refused."""
        reader, writer = await self.open()
        writer.write(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        try:
            async with asyncio.timeout(60):
                line = await reader.readline()
        except ConnectionError:
            line = b""
        writer.close()
        return int(line.split()[1]) if line else 0

    def hang_up(self):
        for writer in self._writers:
            writer.close()
        self._writers.clear()

    def stop(self):
        """End the process; return its lines on standard error."""
        self.hang_up()
        self._process.kill()
        _, errors = self._process.communicate()
        return errors.splitlines()


@pytest.mark.parametrize("descriptors", [60, 100])
async def test_idle_connections_leave_descriptors_for_requests(descriptors):
    """Guards against idle callers that keep a VM from serving and from its store."""
    server = LimitedServer(descriptors, 0)
    try:
        idle = [await server.open() for _ in range(200)]
        statuses = [await server.request() for _ in range(30)]
        async with asyncio.timeout(60):
            # The longest idle ones have given way.
            assert [await reader.read() for reader, _ in idle[:100]] == [b""] * 100
    finally:
        lines = server.stop()
    assert statuses == [200] * 30
    assert lines == []


async def test_connections_without_a_descriptor_are_closed_at_once():
    """Guards against callers left hanging, and a flood of tracebacks, without any."""
    server = LimitedServer(60, 10_000)
    try:
        idle = [await server.open() for _ in range(150)]
        closed = 0
        for reader, _ in idle[60:]:
            try:
                async with asyncio.timeout(60):
                    closed += await reader.read() == b""
            except ConnectionError:
                closed += 1
        refused = await server.request()
        server.hang_up()
        for _ in range(100):
            if status := await server.request():
                break
            await asyncio.sleep(0.1)
    finally:
        lines = server.stop()
    assert closed == 90 and refused == 0 and status == 200
    assert 0 < len(lines) < 20
    assert {orjson.loads(line)["event"] for line in lines} == {"connections_refused"}


@pytest.mark.parametrize(
    ("descriptors", "most"),
    [
        (1, 1),
        (260, 65),
        (1_024, 262),
        (4_100, 1_800),
        (1 << 20, 10_000),
        (float("inf"), 10_000),
    ],
)
def test_connections_leave_descriptors(descriptors, most):
    """Guards against more callers than descriptors for them and their replicas."""
    assert most_caller_connections(descriptors) == most


def test_the_smaller_limit_counts():
    """Guards against a limit of the platform or of the system that is not followed."""
    own = descriptor_limit()
    assert descriptor_limit(10) == min(10, own)
    assert descriptor_limit(1 << 40) == min(1 << 40, own)
