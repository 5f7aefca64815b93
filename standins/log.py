"""Stand-in for the platform's append-only log service."""

import asyncio
import base64
import time
from collections import deque

import orjson
from starlette.applications import Starlette
from starlette.responses import Response
from starlette.routing import Route

from .faults import Faults
from .server import NoResponse, argument_parser, json_response, serve

MAX_WAIT_MS = 30_000
MAX_READ_RECORDS = 10_000
FAULT_KINDS = ("outage", "lost-answer", "slow", "black-hole", "refused-append")


class Stream:
    """The retained records of one stream; values are kept as JSON bytes."""

    __slots__ = ("records", "next", "grown")

    def __init__(self):
        self.records = deque()
        self.next = 0
        self.grown = asyncio.Event()

    @property
    def earliest(self):
        return self.next - len(self.records)

    def append(self, values, now_ms):
        offsets = list(range(self.next, self.next + len(values)))
        self.records.extend((now_ms, value) for value in values)
        self.next += len(values)
        self.grown.set()
        self.grown = asyncio.Event()
        return offsets

    def trim(self, count, oldest_ms):
        while self.records and (
            len(self.records) > count or self.records[0][0] < oldest_ms
        ):
            self.records.popleft()


class LogService:
    """Streams with an append limit, retention and faults."""

    def __init__(self, options):
        self._options = options
        self._streams = {}
        self._allowance = float(options.burst_appends)
        self._allowance_s = time.monotonic()
        self._appends = 0
        self._refused = 0
        self.faults = Faults(FAULT_KINDS)

    def _stream(self, request):
        stream = self._streams.setdefault(request.path_params["stream"], Stream())
        oldest_ms = time.time() * 1000 - self._options.retention_ms
        stream.trim(self._options.retention_records, oldest_ms)
        return stream

    def _within_limit(self):
        now_s = time.monotonic()
        self._allowance = min(
            self._options.burst_appends,
            self._allowance + (now_s - self._allowance_s) * self._options.appends_per_s,
        )
        self._allowance_s = now_s
        if self._allowance < 1:
            self._refused += 1
            return False
        self._allowance -= 1
        return True

    async def _fault_response(self, request):
        if self.faults.strike("black-hole", request):
            return NoResponse(request, abort=False)
        if self.faults.strike("outage", request):
            return json_response({"error": "outage"}, 503)
        slow = self.faults.strike("slow", request)
        if slow:
            await asyncio.sleep(slow.delay_ms / 1000)
        return None

    async def append(self, request):
        fault_response = await self._fault_response(request)
        if fault_response is not None:
            return fault_response
        if self.faults.strike("refused-append", request) or not self._within_limit():
            return json_response({"error": "append limit"}, 429)
        try:
            records = orjson.loads(await request.body())["records"]
            values = [orjson.dumps(record) for record in records]
        except (ValueError, TypeError, KeyError):
            return json_response({"error": "the body has no list of records"}, 400)
        offsets = self._stream(request).append(values, int(time.time() * 1000))
        self._appends += 1
        if self.faults.strike("lost-answer", request):
            return NoResponse(request, abort=True)
        return json_response({"offsets": offsets})

    async def read(self, request):
        fault_response = await self._fault_response(request)
        if fault_response is not None:
            return fault_response
        try:
            start = int(request.query_params.get("from", 0))
            limit = int(request.query_params.get("limit", 1000))
            wait_ms = int(request.query_params.get("wait_ms", 0))
        except ValueError:
            return json_response({"error": "a parameter is not a number"}, 400)
        stream = self._stream(request)
        if start >= stream.next and wait_ms > 0:
            await self._wait_for_growth(stream, min(wait_ms, MAX_WAIT_MS))
            if self.faults.strike("outage", request):
                return json_response({"error": "outage"}, 503)
            stream = self._stream(request)
        bounds = {"earliest": stream.earliest, "next": stream.next}
        if start < stream.earliest:
            return json_response(bounds, 410)
        return self._page(stream, start, min(limit, MAX_READ_RECORDS))

    async def _wait_for_growth(self, stream, wait_ms):
        try:
            async with asyncio.timeout(wait_ms / 1000):
                await stream.grown.wait()
        except TimeoutError:
            pass

    def _page(self, stream, start, limit):
        first = start - stream.earliest
        last = min(first + limit, len(stream.records))
        records = b",".join(
            b'{"offset":%d,"time_ms":%d,"value":%b}'
            % (stream.earliest + index, *stream.records[index])
            for index in range(first, last)
        )
        body = b'{"records":[%b],"earliest":%d,"next":%d}' % (
            records,
            stream.earliest,
            stream.next,
        )
        return Response(body, media_type="application/json")

    async def trim(self, request):
        """Drop the records of a stream before an offset (administration)."""
        body = orjson.loads(await request.body())
        stream = self._stream(request)
        stream.trim(max(0, stream.next - body["before"]), float("-inf"))
        return json_response({"earliest": stream.earliest, "next": stream.next})

    async def append_raw(self, request):
        """Append bytes that need not be JSON (administration)."""
        body = orjson.loads(await request.body())
        value = base64.b64decode(body["base64"])
        offsets = self._stream(request).append([value], int(time.time() * 1000))
        return json_response({"offsets": offsets})

    async def counts(self, request):
        return json_response(
            {
                "appends": self._appends,
                "refused_appends": self._refused,
                "streams": {
                    name: {"earliest": stream.earliest, "next": stream.next}
                    for name, stream in self._streams.items()
                },
            }
        )

    def app(self):
        return Starlette(
            routes=[
                Route("/streams/{stream}/records", self.append, methods=["POST"]),
                Route("/streams/{stream}/records", self.read, methods=["GET"]),
                Route("/admin/streams/{stream}/trim", self.trim, methods=["POST"]),
                Route("/admin/streams/{stream}/raw", self.append_raw, methods=["POST"]),
                Route("/admin/executions", self.counts, methods=["GET"]),
                *self.faults.routes(),
            ]
        )


def main():
    parser = argument_parser("log")
    parser.add_argument("--appends-per-s", type=float, default=300)
    parser.add_argument("--burst-appends", type=float, default=100)
    parser.add_argument("--retention-records", type=int, default=100_000)
    parser.add_argument("--retention-ms", type=float, default=24 * 3600 * 1000)
    options = parser.parse_args()
    serve(LogService(options).app(), options)


if __name__ == "__main__":
    main()
