"""Stand-in for the platform's rate-limited weight store."""

import asyncio
import time

import orjson
from starlette.applications import Starlette
from starlette.routing import Route

from .faults import Faults
from .server import NoResponse, argument_parser, json_response, serve

STEP_S = 0.005
FAULT_KINDS = ("outage", "slow", "black-hole", "lost-answer")


class WeightStore:
    """Limits how many loads start per second and how many run at full speed.

    A load takes ``size_mb / mb_per_s`` at full speed. Beyond `concurrent_loads`
    loads in progress share that speed. Adapters (``"kind": "adapter"``) take
    `adapter_ms` each, are not limited per second and share beyond
    `concurrent_adapters`.
    """

    def __init__(self, options):
        self._options = options
        self._next_start_s = 0.0
        self._in_flight = {"model": 0, "adapter": 0}
        self._peak = {"model": 0, "adapter": 0}
        self._fetches = {}
        self.faults = Faults(FAULT_KINDS)

    async def fetch(self, request):
        try:
            body = orjson.loads(await request.body())
            artifact, size_mb = body["artifact"], float(body["size_mb"])
            kind = "adapter" if body.get("kind") == "adapter" else "model"
        except (ValueError, TypeError, KeyError):
            return json_response({"error": "artifact or size_mb is missing"}, 400)
        if self.faults.strike("black-hole", request):
            return NoResponse(request, abort=False)
        if self.faults.strike("outage", request):
            return json_response({"error": "outage"}, 503)
        slow = self.faults.strike("slow", request)
        if slow:
            await asyncio.sleep(slow.delay_ms / 1000)
        if kind == "model":
            await self._wait_for_start()
        await self._transfer(kind, size_mb)
        self._fetches[artifact] = self._fetches.get(artifact, 0) + 1
        if self.faults.strike("lost-answer", request):
            return NoResponse(request, abort=True)
        return json_response({"artifact": artifact, "size_mb": size_mb})

    async def _wait_for_start(self):
        now_s = time.monotonic()
        start_s = max(now_s, self._next_start_s)
        self._next_start_s = start_s + 1 / self._options.loads_per_s
        await asyncio.sleep(start_s - now_s)

    async def _transfer(self, kind, size_mb):
        if kind == "model":
            remaining_s = size_mb / self._options.mb_per_s
            full_speed = self._options.concurrent_loads
        else:
            remaining_s = self._options.adapter_ms / 1000
            full_speed = self._options.concurrent_adapters
        self._in_flight[kind] += 1
        self._peak[kind] = max(self._peak[kind], self._in_flight[kind])
        try:
            last_s = time.monotonic()
            while remaining_s > 0:
                await asyncio.sleep(min(STEP_S, remaining_s))
                now_s = time.monotonic()
                share = min(1.0, full_speed / self._in_flight[kind])
                remaining_s -= (now_s - last_s) * share
                last_s = now_s
        finally:
            self._in_flight[kind] -= 1

    async def limits(self, request):
        return json_response(
            {
                "loads_per_s": self._options.loads_per_s,
                "concurrent_loads": self._options.concurrent_loads,
                "concurrent_adapters": self._options.concurrent_adapters,
                "mb_per_s": self._options.mb_per_s,
                "in_flight": self._in_flight["model"],
            }
        )

    async def counts(self, request):
        return json_response({"fetches": self._fetches, "peak_in_flight": self._peak})

    def app(self):
        return Starlette(
            routes=[
                Route("/fetch", self.fetch, methods=["POST"]),
                Route("/limits", self.limits, methods=["GET"]),
                Route("/admin/executions", self.counts, methods=["GET"]),
                *self.faults.routes(),
            ]
        )


def main():
    parser = argument_parser("weight_store")
    parser.add_argument("--loads-per-s", type=float, default=2)
    parser.add_argument("--concurrent-loads", type=int, default=8)
    parser.add_argument("--concurrent-adapters", type=int, default=64)
    parser.add_argument("--mb-per-s", type=float, default=4000)
    parser.add_argument("--adapter-ms", type=float, default=5)
    options = parser.parse_args()
    serve(WeightStore(options).app(), options)


if __name__ == "__main__":
    main()
