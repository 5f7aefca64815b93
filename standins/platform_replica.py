"""Stand-in of a replica on the users' platform: requests, orders and reports."""

import asyncio

import orjson
from starlette.responses import Response

from .server import json_response

EVENT_S = 0.005


class PlatformReplica:
    """One replica's state and its ASGI application.

    Parameters
    ----------
    name : str
    models : dict of str to list of str
        Resident models with their adapters; None for a plain service.
    load_s : float
        Time that the load of a model takes.

    Attributes
    ----------
    seen : list of dict
        Head of each request that reached it.
    ran : list of str
        Identifiers of the requests that it ran.
    break_streams : int
        Streams that it will break off after two events and a part of a third.
    status : int or None
        Status of all answers, if set.
    cut_answers : bool
        Whether it breaks off all answers of a plain service.
    hold : bool
        Whether plain requests run until their caller leaves.
    left : list of str
        Identifiers of the requests whose caller left while they ran.
    crashing_part : str
        Prompt part by which the replica ends when it begins an answer on it.
    crashing_body : bytes
        Body of requests by which the replica ends when it begins to run them.
    crash_after : int
        Parts of an answer that it writes before it ends.
    on_crash : callable
        Ends the replica's server.
    limit_per_s : str or None
        Request limit that answers name.
    leaving : bool
        Whether answers say that the replica leaves.
    work_s, event_s : float
        Time from a request to its answer, and between the events of a stream.
    pause : str or None
        If set, requests are refused with 503 and this ``Retry-After``.
    on_request : callable or None
        Called with the scope of each request before it is answered.
    """

    def __init__(self, name, models=None, load_s=0.05):
        self.name = name
        self.models = models
        self.load_s = load_s
        self.orders = 0
        self.busy = False
        self.fence = 0
        self.seen = []
        self.ran = []
        self.break_streams = 0
        self.status = None
        self.cut_answers = False
        self.hold = False
        self.left = []
        self.crashing_part = ""
        self.crashing_body = None
        self.crash_after = 0
        self.on_crash = None
        self.limit_per_s = None
        self.leaving = False
        self.pause = None
        self.work_s = 0.0
        self.event_s = EVENT_S
        self.on_request = None

    async def __call__(self, scope, receive, send):
        """Answer one request."""
        headers = {k.decode(): v.decode() for k, v in scope["headers"]}
        body = b""
        more = True
        while more:
            message = await receive()
            if message["type"] == "http.disconnect":
                return
            body += message.get("body", b"")
            more = message.get("more_body", False)
        expected = headers.get("x-cassiamount-expect-instance")
        if expected not in (None, self.name):
            response = Response(status_code=421)
        elif scope["path"] == "/report":
            response = self._report()
        elif scope["path"] == "/order":
            response = self._order(orjson.loads(body))
        else:
            await self._run(scope, headers, body, receive, send)
            return
        await response(scope, receive, send)

    def _report(self):
        models = [
            {"Name": name, "Version": 1, "Adapters": sorted(held)}
            for name, held in (self.models or {}).items()
        ]
        value = {"Models": models, "Busy": self.busy, "Seq": self.orders}
        return json_response(value)

    def _order(self, value):
        if value["FencingToken"] < self.fence:
            return Response(status_code=412)
        self.fence = value["FencingToken"]
        if self.busy or value["Expect"] != self.orders:
            return Response(status_code=409)
        self.orders += 1
        model, adapter = value["Model"], value.get("Adapter")
        if adapter:
            held = self.models[model]
            held.append(adapter) if value["Op"] == "load" else held.remove(adapter)
        elif value["Op"] == "unload":
            del self.models[model]
        else:
            self.busy = True
            asyncio.get_running_loop().call_later(self.load_s, self._loaded, model)
        return Response(status_code=202)

    def _loaded(self, model):
        self.models[model] = []
        self.busy = False

    async def _run(self, scope, headers, body, receive, send):
        request_id = headers.get("x-cassiamount-request-id", "")
        query = scope["query_string"].decode()
        target = scope["path"] + (f"?{query}" if query else "")
        self.seen.append({"target": target, "body": body, **headers})
        if self.on_request is not None:
            self.on_request(scope)
        model, _, adapter = headers.get("x-cassiamount-model", "").partition("/")
        answer = [(b"x-cassiamount-request-id", request_id.encode())]
        if self.leaving:
            answer.append((b"server-leaving", b"1"))
        if self.pause is not None:
            answer.append((b"retry-after", self.pause.encode()))
            await _send(send, 503, [*answer, (b"x-cassiamount-not-executed", b"1")])
            return
        if model and (
            model not in self.models or (adapter and adapter not in self.models[model])
        ):
            await _send(send, 421, [*answer, (b"x-cassiamount-not-executed", b"1")])
            return
        self.ran.append(request_id)
        answer.append((b"x-cassiamount-server-signature", self.name.encode()))
        if self.limit_per_s is not None:
            answer.append((b"server-limit", self.limit_per_s.encode()))
        prompt = headers.get("x-cassiamount-prefix-hash", "").split(",")
        parts = [part.partition(":")[0] for part in prompt[:-1]]
        if self.crashing_part in parts or body == self.crashing_body:
            if self.crash_after:
                await self._write_some(answer, send, bool(model))
            self.on_crash()
            return
        if self.work_s:
            await asyncio.sleep(self.work_s)
        if self.hold:
            while (await receive())["type"] != "http.disconnect":
                pass
            self.left.append(request_id)
        elif self.status is not None:
            await _send(send, self.status, answer, b"failed")
        elif model:
            await self._stream(headers, answer, send)
        elif self.cut_answers:
            answer.append((b"content-length", b"100"))
            start = {"type": "http.response.start", "status": 200, "headers": answer}
            await send(start)
            await _part(send, b"half")
            raise ConnectionResetError("the answer breaks off as it should")
        else:
            await _send(send, 200, answer, b"done by " + self.name.encode())

    async def _write_some(self, answer, send, is_stream):
        """Write the parts of an answer before the replica ends."""
        if is_stream:
            answer.append((b"content-type", b"text/event-stream"))
        else:
            answer.append((b"content-length", b"100"))
        start = {"type": "http.response.start", "status": 200, "headers": answer}
        await send(start)
        for number in range(1, self.crash_after + 1):
            await _part(send, b"id: %d\ndata: x\n\n" % number)
            await asyncio.sleep(self.event_s)

    async def _stream(self, headers, answer, send):
        first = int(headers.get("last-event-id") or 0) + 1
        answer.append((b"content-type", b"text/event-stream"))
        start = {"type": "http.response.start", "status": 200, "headers": answer}
        await send(start)
        for number in range(first, 6):
            data = b"id: %d\ndata: %d\n\n" % (number, number)
            if self.break_streams and number == first + 2:
                self.break_streams -= 1
                await _part(send, data[:5])
                raise ConnectionResetError("the stream breaks off as it should")
            await _part(send, data)
            await asyncio.sleep(self.event_s)
        await send({"type": "http.response.body", "body": b""})


async def _part(send, data):
    await send({"type": "http.response.body", "body": data, "more_body": True})


async def _send(send, status, headers, body=b""):
    headers = [*headers, (b"content-length", b"%d" % len(body))]
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": body})
