"""The operators' HTTP port of one VM."""

import orjson
from starlette.applications import Starlette
from starlette.responses import PlainTextResponse, Response
from starlette.routing import Route

from .keys import is_key_hash

MAX_BODY_BYTES = 4096


class AdminPort:
    """Handlers of the operators' port.

    Parameters
    ----------
    ready : callable
        Returns whether the VM takes new requests.
    status : callable
        Returns the `VmStatus`.
    metrics : Metrics
    withdraw_key : callable
        Refuses a key hash on this VM at once.
    """

    def __init__(self, ready, status, metrics, withdraw_key):
        self._ready = ready
        self._status = status
        self._metrics = metrics
        self._withdraw_key = withdraw_key

    def application(self):
        """Return the ASGI application."""
        return Starlette(
            routes=[
                Route("/livez", self._livez),
                Route("/readyz", self._readyz),
                Route("/metrics", self._render_metrics),
                Route("/status", self._render_status),
                Route("/keys/withdraw", self._withdraw, methods=["POST"]),
            ]
        )

    async def _livez(self, request):
        return PlainTextResponse("ok\n")

    async def _readyz(self, request):
        if self._ready():
            return PlainTextResponse("ready\n")
        return PlainTextResponse("not ready\n", status_code=503)

    async def _render_metrics(self, request):
        return PlainTextResponse(
            self._metrics.render(), media_type="text/plain; version=0.0.4"
        )

    async def _render_status(self, request):
        return _json(self._status().to_json())

    async def _withdraw(self, request):
        """Refuse a key here before, or without, the log.

        The withdrawal is kept until the process ends; the record in the log is what
        lasts.
        """
        body = b""
        async for chunk in request.stream():
            body += chunk
            if len(body) > MAX_BODY_BYTES:
                return _json({"error": "the body is too large"}, 413)
        try:
            value = orjson.loads(body)
        except orjson.JSONDecodeError as error:
            return _json({"error": f"the body is not JSON: {error}"}, 400)
        key_hash = value.get("key_hash") if isinstance(value, dict) else None
        if not isinstance(key_hash, str) or not is_key_hash(key_hash):
            return _json({"error": "key_hash must be sha256:<hex>"}, 400)
        self._withdraw_key(key_hash)
        return _json({"withdrawn": key_hash})


def _json(value, status=200):
    return Response(orjson.dumps(value), status, media_type="application/json")
