"""Faults that tests switch on in a stand-in, and the counts they read back."""

import re
from collections import Counter
from urllib.parse import unquote

import orjson
from starlette.routing import Route

from .server import json_response

KEY_TEXT = re.compile(r"(?<![A-Za-z0-9])ck-[A-Za-z0-9_\-]+")


class Fault:
    """One fault.

    Parameters
    ----------
    kind : str
    count : int, optional
        How often it strikes; without limit if absent.
    skip : int
        Matching requests that pass before the first strike.
    delay_ms : float
    after_tokens : int
        Where a stream breaks off.
    method, path : str
        Strikes only requests with this method and a path that starts with `path`.
    """

    __slots__ = ("kind", "count", "skip", "delay_ms", "after_tokens", "method", "path")

    def __init__(
        self,
        kind,
        count=None,
        skip=0,
        delay_ms=0,
        after_tokens=0,
        method="",
        path="",
    ):
        self.kind = kind
        self.count = count
        self.skip = skip
        self.delay_ms = delay_ms
        self.after_tokens = after_tokens
        self.method = method
        self.path = path

    def matches(self, request):
        return (not self.method or request.method == self.method) and (
            request.url.path.startswith(self.path)
        )

    def describe(self):
        return {name: getattr(self, name) for name in self.__slots__}


class Faults:
    """The active faults of a stand-in.

    ``POST /admin/faults`` takes ``{"clear": bool, "faults": [fault, ..]}``, where a
    fault is an object with the parameters of `Fault`.
    """

    def __init__(self, kinds):
        self._kinds = frozenset(kinds)
        self._active = []
        self.strikes = Counter()

    def strike(self, kind, request):
        """Return the active fault of this kind and use one of its strikes."""
        for fault in self._active:
            if fault.kind != kind or not fault.matches(request):
                continue
            if fault.skip > 0:
                fault.skip -= 1
                continue
            if fault.count is not None:
                fault.count -= 1
                if fault.count <= 0:
                    self._active.remove(fault)
            self.strikes[kind] += 1
            return fault
        return None

    async def change(self, request):
        try:
            body = orjson.loads(await request.body())
            added = [Fault(**fault) for fault in body.get("faults", [])]
        except (ValueError, TypeError, AttributeError) as error:
            return json_response({"error": str(error)}, 400)
        unknown = {fault.kind for fault in added} - self._kinds
        if unknown:
            return json_response({"error": f"unknown kinds {sorted(unknown)}"}, 400)
        if body.get("clear"):
            self._active.clear()
        self._active.extend(fault for fault in added if fault.count != 0)
        return await self.show(request)

    async def show(self, request):
        active = [fault.describe() for fault in self._active]
        return json_response({"faults": active, "strikes": self.strikes})

    def routes(self):
        return [
            Route("/admin/faults", self.change, methods=["POST"]),
            Route("/admin/faults", self.show, methods=["GET"]),
        ]


def find_keys(text):
    """Return the parts of a text that look like callers' keys."""
    return KEY_TEXT.findall(text)


class Recorder:
    """Counts executions and keeps every text that looks like a caller's key."""

    def __init__(self):
        self.executions = Counter()
        self.markers = Counter()
        self.keys_seen = []

    def look_for_keys(self, request, body):
        """Search the request's headers, target and body for keys."""
        request_id = request.headers.get("x-request-id", "")
        places = [("header " + name, text) for name, text in request.headers.items()]
        places.append(("target", unquote(request.url.path)))
        places.append(("target", unquote(request.url.query)))
        places.append(("body", body.decode("utf-8", "replace")))
        try:
            # Parsing resolves escapes such as \u0063 that hide a key's prefix.
            places.append(("body", orjson.dumps(orjson.loads(body)).decode()))
        except ValueError:
            pass
        found = {(place, key) for place, text in places for key in find_keys(text)}
        self.keys_seen.extend(
            {"place": place, "text": key, "request_id": request_id}
            for place, key in sorted(found)
        )

    def describe(self):
        return {
            "executions": self.executions,
            "markers": self.markers,
            "keys_seen": self.keys_seen,
        }
