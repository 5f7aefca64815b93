"""Stand-in for the platform's lagging list of VMs."""

import asyncio
import time
from collections import deque

import orjson
from starlette.applications import Starlette
from starlette.routing import Route

from .faults import Faults
from .server import NoResponse, argument_parser, json_response, serve

FIELDS = ("name", "zone", "address", "kind", "state")
FAULT_KINDS = ("outage", "slow", "black-hole")


class VmList:
    """Answers with the list as it was `lag_ms` ago."""

    def __init__(self, options):
        self._lag_ms = options.lag_ms
        self._current = {}
        # (time_ms, entries) of each change, oldest first; the first is visible.
        self._versions = deque([(float("-inf"), {})])
        self.faults = Faults(FAULT_KINDS)

    def _changed(self):
        self._versions.append((time.monotonic() * 1000, dict(self._current)))

    def _visible(self):
        visible_ms = time.monotonic() * 1000 - self._lag_ms
        while len(self._versions) > 1 and self._versions[1][0] <= visible_ms:
            self._versions.popleft()
        return self._versions[0][1]

    async def vms(self, request):
        if self.faults.strike("black-hole", request):
            return NoResponse(request, abort=False)
        if self.faults.strike("outage", request):
            return json_response({"error": "outage"}, 503)
        slow = self.faults.strike("slow", request)
        if slow:
            await asyncio.sleep(slow.delay_ms / 1000)
        return json_response({"vms": list(self._visible().values())})

    async def put(self, request):
        name = request.path_params["name"]
        try:
            body = orjson.loads(await request.body())
            entry = {"kind": "entry", "state": "live", **body, "name": name}
            entry = {field: entry[field] for field in FIELDS}
        except (ValueError, TypeError, KeyError) as error:
            return json_response({"error": repr(error)}, 400)
        self._current[name] = entry
        self._changed()
        return json_response(entry)

    async def delete(self, request):
        if self._current.pop(request.path_params["name"], None) is None:
            return json_response({"error": "no such VM"}, 404)
        self._changed()
        return json_response({})

    def app(self):
        return Starlette(
            routes=[
                Route("/vms", self.vms, methods=["GET"]),
                Route("/vms/{name}", self.put, methods=["PUT"]),
                Route("/vms/{name}", self.delete, methods=["DELETE"]),
                *self.faults.routes(),
            ]
        )


def main():
    parser = argument_parser("vm_list")
    parser.add_argument("--lag-ms", type=float, default=0)
    options = parser.parse_args()
    serve(VmList(options).app(), options)


if __name__ == "__main__":
    main()
