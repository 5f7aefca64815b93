"""Stand-in for a plain service such as orders-app or print-desk."""

import asyncio
import hashlib

import orjson
from starlette.applications import Starlette
from starlette.responses import Response
from starlette.routing import Route

from .faults import Faults, Recorder
from .server import NoResponse, argument_parser, json_response, serve

FAULT_KINDS = (
    "late",
    "crossed",
    "broken-off",
    "refuse",
    "black-hole",
    "lost-answer",
    "leaving",
)
METHODS = ["GET", "POST", "PUT", "PATCH", "DELETE"]


def answer_document(name, method, target, body):
    """Return what the service answers, as a function of the request alone.

    A JSON field ``size_bytes`` in the request body sets the length of the field
    ``filler``.
    """
    try:
        fields = orjson.loads(body) if body else {}
    except ValueError:
        fields = {}
    if not isinstance(fields, dict):
        fields = {}
    digest = hashlib.sha256(body).hexdigest()
    size_bytes = fields.get("size_bytes", 0)
    filler = (digest * (size_bytes // len(digest) + 1))[:size_bytes]
    return {
        "service": name,
        "method": method,
        "target": target,
        "marker": fields.get("marker"),
        "body_sha256": digest,
        "filler": filler,
    }


class PlainService:
    """Runs each request it accepts and counts it."""

    def __init__(self, options):
        self._options = options
        self._running = 0
        self._state = "live"
        self._accepted_while_leaving = 0
        self.faults = Faults(FAULT_KINDS)
        self.recorder = Recorder()

    async def load(self, request):
        if self.faults.strike("leaving", request):
            self._state = "leaving"
        return json_response({"running": self._running, "state": self._state})

    async def handle(self, request):
        body = await request.body()
        self.recorder.look_for_keys(request, body)
        if self.faults.strike("black-hole", request):
            return NoResponse(request, abort=False)
        request_id = request.headers.get("x-request-id", "")
        if self.faults.strike("refuse", request):
            headers = {"X-Request-Id": request_id, "X-Not-Accepted": "true"}
            return json_response({"error": "not accepted"}, 503, headers)
        document = await self._execute(request, request_id, body)
        late = self.faults.strike("late", request)
        if late:
            await asyncio.sleep(late.delay_ms / 1000)
        if self.faults.strike("lost-answer", request):
            return NoResponse(request, abort=True)
        if self.faults.strike("crossed", request):
            request_id = f"crossed-{request_id}"
            document["body_sha256"] = "crossed"
        text = orjson.dumps(document)
        headers = {"X-Request-Id": request_id}
        if self.faults.strike("broken-off", request):
            return BrokenOff(request, text, headers)
        return Response(text, 200, headers, media_type="application/json")

    async def _execute(self, request, request_id, body):
        target = request.url.path
        if request.url.query:
            target += "?" + request.url.query
        document = answer_document(self._options.name, request.method, target, body)
        self.recorder.executions[request_id] += 1
        if document["marker"] is not None:
            self.recorder.markers[str(document["marker"])] += 1
        if self._state == "leaving":
            self._accepted_while_leaving += 1
        self._running += 1
        try:
            await asyncio.sleep(self._options.service_ms / 1000)
        finally:
            self._running -= 1
        return document

    async def set_state(self, request):
        self._state = orjson.loads(await request.body())["state"]
        return json_response({"state": self._state})

    async def counts(self, request):
        return json_response(
            {
                **self.recorder.describe(),
                "running": self._running,
                "accepted_while_leaving": self._accepted_while_leaving,
            }
        )

    def app(self):
        return Starlette(
            routes=[
                Route("/load", self.load, methods=["GET"]),
                Route("/admin/executions", self.counts, methods=["GET"]),
                Route("/admin/state", self.set_state, methods=["POST"]),
                *self.faults.routes(),
                Route("/{path:path}", self.handle, methods=METHODS),
            ]
        )


class BrokenOff:
    """Promises a whole body, sends half of it and resets the connection."""

    def __init__(self, request, body, headers):
        self._response = Response(body, 200, headers, media_type="application/json")
        self._transport = request.scope["standin_transport"]

    async def __call__(self, scope, receive, send):
        body = self._response.body
        await send(
            {
                "type": "http.response.start",
                "status": 200,
                "headers": self._response.raw_headers,
            }
        )
        half = body[: len(body) // 2]
        await send({"type": "http.response.body", "body": half, "more_body": True})
        # Lets the bytes leave the socket before the reset discards them.
        await asyncio.sleep(0.02)
        self._transport.abort()
        while (await receive())["type"] != "http.disconnect":
            pass


def main():
    parser = argument_parser("service")
    parser.add_argument("--service-ms", type=float, default=0)
    options = parser.parse_args()
    serve(PlainService(options).app(), options)


if __name__ == "__main__":
    main()
