"""Runs a stand-in's ASGI application until SIGTERM."""

import argparse
import asyncio
import contextlib
import signal

import orjson
import uvicorn
from starlette.responses import Response

GRACEFUL_STOP_S = 2


class StandinServer(uvicorn.Server):
    """A uvicorn server that prints where it listens and exits with status 0."""

    def __init__(self, config, name):
        super().__init__(config)
        self._name = name

    @contextlib.contextmanager
    def capture_signals(self):
        # uvicorn raises the signal again after the shutdown, which would give a
        # clean stop the exit status of a killed process.
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.handle_exit, number, None)
        yield

    async def startup(self, sockets=None):
        await super().startup(sockets)
        if self.servers:
            host, port = self.servers[0].sockets[0].getsockname()[:2]
            line = {"listening": self._name, "host": host, "port": port}
            print(orjson.dumps(line).decode(), flush=True)


def argument_parser(name):
    """Return a parser with the options that every stand-in has."""
    parser = argparse.ArgumentParser(prog=f"standins.{name}")
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--name", default=name)
    return parser


def serve(app, options):
    """Serve `app` until SIGTERM or SIGINT."""

    async def outermost(scope, receive, send):
        if scope["type"] == "http":
            # The cycle object behind `send` is the only way to the transport.
            scope["standin_transport"] = send.__self__.transport
        await app(scope, receive, send)

    config = uvicorn.Config(
        outermost,
        host=options.host,
        port=options.port,
        log_level="warning",
        access_log=False,
        timeout_graceful_shutdown=GRACEFUL_STOP_S,
        timeout_keep_alive=75,
        lifespan="off",
    )
    asyncio.run(StandinServer(config, options.name).serve())


def json_response(value, status=200, headers=None):
    """Return `value` as JSON."""
    return Response(orjson.dumps(value), status, headers, media_type="application/json")


class NoResponse:
    """An ASGI response that sends nothing.

    Parameters
    ----------
    request : starlette.requests.Request
    abort : bool
        Whether to reset the connection; otherwise it stays open and silent until
        the client closes it.
    """

    def __init__(self, request, abort):
        self._transport = request.scope["standin_transport"]
        self._abort = abort

    async def __call__(self, scope, receive, send):
        if self._abort:
            self._transport.abort()
        while (await receive())["type"] != "http.disconnect":
            pass
