"""Tests of requests on which the servers behind one VM crash."""

import asyncio
import contextlib

import pytest

from cassiamount.crash_quarantine import MIN_CRASHES
from tests.edge_fixtures import open_site

EVENT = b'data: {"choices": [{"text": "a", "index": 0}]}\n\n'
DONE = b"data: [DONE]\n\n"
POISON = "poison"


class CrashingServer:
    """Serves engine streams and plain calls, and crashes on some requests.

    Parameters
    ----------
    stage : str
        How much of an answer it has written when it crashes.
    """

    def __init__(self, stage):
        self.stage = stage
        self.arrivals = 0
        # Connection -> the task that serves it; a writer must not outlive its loop.
        self._handlers = {}
        self._tasks = set()

    async def start(self, port=0):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        self._handlers[writer] = asyncio.current_task()
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                await self._answer(reader, writer)
        writer.close()

    async def _answer(self, reader, writer):
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        fields = dict(
            line.lower().split(": ", 1) for line in head.split("\r\n")[1:] if line
        )
        body = await reader.readexactly(int(fields.get("content-length", 0)))
        is_stream = head.startswith("POST")
        answer = EVENT + DONE if is_stream else b"in stock"
        sent = (
            "HTTP/1.1 200 OK\r\n"
            f"x-request-id: {fields['x-request-id']}\r\n"
            f"content-type: text/{'event-stream' if is_stream else 'plain'}\r\n"
            f"content-length: {len(answer)}\r\n\r\n"
        ).encode()
        if POISON in head or POISON.encode() in body:
            self.arrivals += 1
            parts = {"nothing": b"", "head": sent, "some": sent + answer[:5]}
            parts["event"] = sent + answer[: len(EVENT)] if is_stream else sent
            writer.write(parts[self.stage])
            await asyncio.sleep(0.01)
            await self._crash()
            raise ConnectionResetError
        writer.write(sent + answer)

    async def _crash(self):
        """End all connections, and come back at the same address."""
        self._stop()
        task = asyncio.create_task(self._come_back())
        self._tasks.add(task)

    async def _come_back(self):
        await asyncio.sleep(0.2)
        await self.start(self.port)

    def _stop(self):
        self._server.close()
        for writer in self._handlers:
            writer.transport.abort()

    async def stop(self):
        """End for good."""
        await asyncio.gather(*self._tasks)
        self._stop()
        await asyncio.gather(*self._handlers.values())


@pytest.mark.parametrize("stage", ["nothing", "head", "some", "event"])
@pytest.mark.parametrize("kind", ["engine", "service"])
async def test_request_that_crashes_servers_is_refused(kind, stage):
    """Guards against a request, sent again, that ends server after server."""
    servers = [CrashingServer(stage) for _ in range(4)]
    for server in servers:
        await server.start()
    names = [(f"s{n}", f"127.0.0.1:{s.port}") for n, s in enumerate(servers)]

    async def send(site, text):
        if kind == "service":
            path = f"/services/orders-app/stock?item={text}"
            return await site.request("GET", path)
        document = {"model": "loom-7b", "prompt": text, "stream": True}
        with contextlib.suppress(Exception):
            return await site.request("POST", "/v1/completions", json=document)
        return None, {}, b""

    async with open_site({"engine": names, "orders-app": names}) as site:
        answers = []
        for _ in range(6):
            answers.append(await send(site, POISON))
            await asyncio.sleep(0.3)
        assert sum(server.arrivals for server in servers) <= MIN_CRASHES + 1
        for status, headers, body in answers[-2:]:
            assert status == 503
            assert b"request_quarantined" in body and b'"not_run":true' in body
            assert int(headers["Retry-After"]) > 60
        for _ in range(3):
            status, _, body = await send(site, "sound")
            assert status == 200
    for server in servers:
        await server.stop()
