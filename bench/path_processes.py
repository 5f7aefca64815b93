"""Processes of the path benchmark: engine, bare relay, edge and load generator.

The engine and the load generator are written on bare asyncio protocols, so that they
cost a fraction of what they measure.
"""

import argparse
import asyncio
import json
import random
import sys
import time
from collections import deque

import aiohttp
import orjson
import uvicorn
from starlette.applications import Starlette
from starlette.responses import StreamingResponse
from starlette.routing import Route

from cassiamount.backend_client import BackendClient
from cassiamount.clock import SystemClock
from cassiamount.configuration import Configuration, Model, Team
from cassiamount.edge import build_application
from cassiamount.keys import KeyTable, hash_key
from cassiamount.metrics import Metrics
from cassiamount.relay import Relay
from cassiamount.requests import Dispatch
from cassiamount.serving import EdgeServer, open_listener

KEY = "ck-benchmark"
PATH = "/v1/chat/completions"
END = b"0\r\n\r\n"


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


def token_event(index, finish=None):
    delta = {} if finish else {"content": f" w{index:05d}"}
    document = {
        "id": "chatcmpl-272c6d17c82f41a489d57bd42aa69f84",
        "object": "chat.completion.chunk",
        "created": 1_790_000_000,
        "model": "loom-7b",
        "choices": [{"index": 0, "finish_reason": finish, "delta": delta}],
    }
    return b"data: " + orjson.dumps(document) + b"\n\n"


TOKENS = [chunk(token_event(index)) for index in range(1_000)]
LAST = chunk(token_event(0, "length") + b"data: [DONE]\n\n") + END


class EngineConnection(asyncio.Protocol):
    """Answers each request with ``max_tokens`` events, one each ``seed`` ms."""

    def connection_made(self, transport):
        self.transport = transport
        self.loop = asyncio.get_running_loop()
        self.pending = b""

    def data_received(self, data):
        self.pending += data
        head, mark, body = self.pending.partition(b"\r\n\r\n")
        if not mark:
            return
        fields = {}
        for line in head.split(b"\r\n")[1:]:
            name, _, value = line.partition(b": ")
            fields[name.lower()] = value
        if len(body) < int(fields.get(b"content-length", 0)):
            return
        self.pending = b""
        document = orjson.loads(body) if body else {}
        self.left = document.get("max_tokens", 1)
        self.interval_s = document.get("seed", 0) / 1000
        self.transport.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            b"Transfer-Encoding: chunked\r\nX-Request-Id: "
            + fields.get(b"x-request-id", b"")
            + b"\r\n\r\n"
        )
        self.due = self.loop.time()
        self.step()

    def step(self):
        if self.transport.is_closing():
            return
        self.transport.write(TOKENS[self.left % 1_000])
        self.left -= 1
        self.due += self.interval_s
        if self.left > 0:
            self.loop.call_at(self.due, self.step)
        else:
            self.transport.write(LAST)


async def run_engine():
    loop = asyncio.get_running_loop()
    server = await loop.create_server(EngineConnection, "127.0.0.1", 0, backlog=2_048)
    announce(server.sockets[0].getsockname()[1])
    await asyncio.Event().wait()


def announce(port):
    print(json.dumps({"port": port}), flush=True)


async def run_bare(engines):
    """Run the least program that passes a stream on."""
    connector = aiohttp.TCPConnector(limit=4_000)
    session = aiohttp.ClientSession(connector=connector)
    urls = [f"http://{address}{PATH}" for address in engines]
    state = {"next": 0}

    async def relay(request):
        state["next"] += 1
        body = await request.body()
        answer = await session.post(
            urls[state["next"] % len(urls)],
            data=body,
            headers={"Content-Type": "application/json"},
        )

        async def parts():
            async with answer:
                async for part in answer.content.iter_any():
                    yield part

        return StreamingResponse(parts(), answer.status, media_type="text/event-stream")

    app = Starlette(routes=[Route(PATH, relay, methods=["POST"])])
    listener = open_listener("127.0.0.1", 0)
    config = uvicorn.Config(
        app, access_log=False, log_level="warning", lifespan="off", loop="asyncio"
    )
    announce(listener.getsockname()[1])
    await uvicorn.Server(config).serve([listener])


class NextDispatcher:
    """Sends each request to the next engine; stands in for the real dispatcher."""

    def __init__(self, engines):
        self.engines = engines
        self.count = 0

    async def submit(self, request_info):
        self.count += 1
        number = self.count % len(self.engines)
        return Dispatch(request_info, f"engine-{number}", self.engines[number])

    async def retry(self, request_info, attempt, failed_backend):
        number = attempt % len(self.engines)
        return Dispatch(request_info, f"engine-{number}", self.engines[number], attempt)

    async def ended(self, attempt_ended):
        pass


class BenchView:
    def __init__(self):
        team = Team("team", models=["loom-7b"], key_hashes=[hash_key(KEY)])
        models = [Model("loom-7b", "1", 1, 1)]
        self.configuration = Configuration(version=1, models=models, teams=[team])
        self.keys = KeyTable({hash_key(KEY): "team"})
        self.ready = True
        self.shutting_down = False


async def run_edge(engines):
    metrics, clock = Metrics(), SystemClock()
    backends = BackendClient(metrics)
    await backends.start()
    dispatcher = NextDispatcher(engines)
    relay = Relay(dispatcher, backends, clock, metrics, random.Random(1))
    app = build_application(BenchView(), relay, None, clock, metrics)
    listener = open_listener("127.0.0.1", 0)
    server = EdgeServer(app, listener, metrics)
    await server.start()
    announce(listener.getsockname()[1])
    await asyncio.Event().wait()


class LoadConnection(asyncio.Protocol):
    """Sends one request at a time and follows its answer."""

    def __init__(self, run):
        self.run = run

    def connection_made(self, transport):
        self.transport = transport

    def send(self, due_s):
        self.started_s = due_s
        self.first = True
        self.tail = b""
        self.head = None
        self.transport.write(self.run.request)

    def data_received(self, data):
        run = self.run
        if self.head is None:
            self.head = data[:15]
        text = self.tail + data
        found = text.count(b"data: {", max(0, len(self.tail) - 6))
        if found and self.first:
            self.first = False
            run.first_ms.append((time.monotonic() - self.started_s) * 1000)
        run.tokens += found
        self.tail = text[-6:]
        if text.endswith(END):
            run.finished(self, self.head.startswith(b"HTTP/1.1 200"))

    def connection_lost(self, error):
        self.run.lost(self)


class LoadRun:
    """One measurement: closed loop with `concurrency` or open loop with `rate`."""

    def __init__(self, spec):
        self.spec = spec
        self.first_ms = []
        self.tokens = self.requests = self.errors = 0
        self.idle = deque()
        self.active = set()
        body = orjson.dumps(
            {
                "model": "loom-7b",
                "stream": True,
                "max_tokens": spec["tokens"],
                "seed": spec["token_ms"],
                "messages": [{"role": "user", "content": "x" * 400}],
            }
        )
        self.request = (
            f"POST {PATH} HTTP/1.1\r\nHost: bench\r\nAuthorization: Bearer {KEY}\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
        ).encode() + body
        self.stopping = False

    async def begin(self, due_s):
        if self.idle:
            connection = self.idle.pop()
        else:
            loop = asyncio.get_running_loop()
            _, connection = await loop.create_connection(
                lambda: LoadConnection(self), "127.0.0.1", self.spec["port"]
            )
        self.active.add(connection)
        connection.send(due_s)

    def finished(self, connection, good):
        self.active.discard(connection)
        self.requests += 1
        self.errors += not good
        limit = self.spec.get("requests")
        if limit is not None and self.requests + len(self.active) >= limit:
            self.stopping = True
        if "concurrency" in self.spec and not self.stopping:
            self.active.add(connection)
            connection.send(time.monotonic())
        else:
            self.idle.append(connection)

    def lost(self, connection):
        if connection in self.active:
            self.active.discard(connection)
            self.errors += 1
        elif connection in self.idle:
            self.idle.remove(connection)

    async def open_loop(self, until_s):
        rng = random.Random(self.spec["random_seed"])
        due_s = time.monotonic()
        tasks = set()
        while due_s < until_s:
            due_s += rng.expovariate(self.spec["rate"])
            await asyncio.sleep(max(0, due_s - time.monotonic()))
            task = asyncio.ensure_future(self.begin(due_s))
            tasks.add(task)
            task.add_done_callback(tasks.discard)

    async def run(self):
        started_s = time.monotonic()
        until_s = started_s + self.spec["seconds"]
        # Measured after the first fifth, when connections are open.
        warm_s = started_s + self.spec["seconds"] / 5
        if "concurrency" in self.spec:
            for _ in range(self.spec["concurrency"]):
                await self.begin(time.monotonic())
            load = asyncio.sleep(0)
        else:
            load = self.open_loop(until_s)
        load = asyncio.ensure_future(load)
        while time.monotonic() < warm_s and not self.stopping:
            await asyncio.sleep(min(0.05, max(0, warm_s - time.monotonic())))
        before = (self.tokens, self.requests, len(self.first_ms), time.monotonic())
        print(json.dumps({"warm": True}), flush=True)
        while time.monotonic() < until_s and not self.stopping:
            await asyncio.sleep(min(0.05, max(0, until_s - time.monotonic())))
        took_s = time.monotonic() - before[3]
        result = {
            "tokens": self.tokens - before[0],
            "requests": self.requests - before[1],
            "errors": self.errors,
            "seconds": took_s,
            "unfinished": len(self.active),
        }
        self.stopping = True
        await load
        deadline_s = time.monotonic() + 10
        while self.active and time.monotonic() < deadline_s:
            await asyncio.sleep(0.02)
        result["first_ms"] = [round(value, 3) for value in self.first_ms[before[2] :]]
        for connection in list(self.idle) + list(self.active):
            connection.transport.abort()
        return result


async def run_load():
    loop = asyncio.get_running_loop()
    while line := await loop.run_in_executor(None, sys.stdin.readline):
        result = await LoadRun(json.loads(line)).run()
        print(json.dumps(result), flush=True)


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("role", choices=["engine", "bare", "edge", "load"])
    parser.add_argument("--engine", action="append", default=[])
    options = parser.parse_args()
    if options.role == "engine":
        asyncio.run(run_engine())
    elif options.role == "bare":
        asyncio.run(run_bare(options.engine))
    elif options.role == "edge":
        asyncio.run(run_edge(options.engine))
    else:
        asyncio.run(run_load())


if __name__ == "__main__":
    main()
