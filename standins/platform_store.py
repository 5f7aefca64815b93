"""Stand-in of the users' metadata store: keyed topics and one group."""

import asyncio
import base64

import orjson
from starlette.applications import Starlette
from starlette.middleware import Middleware
from starlette.middleware.base import BaseHTTPMiddleware
from starlette.responses import Response
from starlette.routing import Route

from .server import json_response

WAIT_STEP_S = 0.02


class PlatformStore:
    """The store's state and its ASGI application.

    Attributes
    ----------
    refusing : set of str
        Members whose joins are refused with 503; ``*`` refuses every call.
    """

    def __init__(self):
        self.topics = {}
        self.first_offsets = {}
        self.members = {}
        self.generation = 0
        # Generations that joins named as the last ones received.
        self.named_generations = []
        self.refusing = set()
        self.calls = 0
        # If set, gets the path of each call and returns what is answered instead, or
        # None to answer as usual.
        self.odd_answer = None
        # Rises each time the store comes back from an older copy.
        self.era = 1
        self.app = Starlette(
            routes=[
                Route("/log-newest", self.newest),
                Route("/log-read", self.read),
                Route("/log-append", self.append, methods=["POST"]),
                Route("/log-join", self.join, methods=["POST"]),
                Route("/log-leave", self.leave, methods=["POST"]),
                Route("/log-owners", self.owners),
            ],
            middleware=[Middleware(BaseHTTPMiddleware, dispatch=self._add_era)],
        )

    async def _add_era(self, request, call_next):
        odd = None if self.odd_answer is None else self.odd_answer(request.url.path)
        response = await call_next(request) if odd is None else odd
        response.headers.setdefault("Store-Era", str(self.era))
        return response

    def restore(self, kept, generation):
        """Come back from an older copy.

        Parameters
        ----------
        kept : dict of str to int
            Topic -> number of its records in the copy.
        generation : int
            Generation of the group in the copy.
        """
        self.era += 1
        for topic, records in self.topics.items():
            del records[kept.get(topic, len(records)) :]
        self.generation = generation

    def put(self, topic, key, value):
        """Append a record; None drops the key."""
        self.put_bytes(topic, key, b"" if value is None else orjson.dumps(value))

    def put_bytes(self, topic, key, data):
        """Append a record as it is, as another writer may."""
        name = key.encode()
        self.topics.setdefault(topic, []).append(bytes([len(name)]) + name + data)

    def forget(self, topic):
        """Drop the history; the newest record of each key stays."""
        self.first_offsets[topic] = len(self.topics.get(topic, []))

    async def newest(self, request):
        """Answer with the newest record of each key."""
        if self._refuses():
            return Response(status_code=503)
        records = self.topics.get(request.query_params["Topic"], [])
        found = {}
        for offset, content in enumerate(records):
            key, value = _split(content)
            found.pop(key, None)
            if value:
                found[key] = (offset, value)
        items = [
            {"Key": key, "Value": base64.b64encode(value).decode(), "Offset": offset}
            for key, (offset, value) in found.items()
        ]
        return json_response(
            {"items": items, "HasMore": False, "EndOffset": len(records)}
        )

    async def read(self, request):
        """Answer with the records from an offset on, waiting for one."""
        query = request.query_params
        topic, start = query["Topic"], int(query["From"])
        left_s = int(query.get("WaitMs", 0)) / 1000
        while True:
            if self._refuses():
                return Response(status_code=503)
            first = self.first_offsets.get(topic, 0)
            records = self.topics.get(topic, [])
            if start < first or start > len(records):
                return json_response({"FirstOffset": first}, 410)
            if len(records) > start or left_s <= 0:
                break
            await asyncio.sleep(WAIT_STEP_S)
            left_s -= WAIT_STEP_S
        body = len(records).to_bytes(8, "big") + first.to_bytes(8, "big")
        for content in records[start:]:
            body += len(content).to_bytes(4, "big") + content
        return Response(body)

    async def append(self, request):
        """Append raw records."""
        if self._refuses():
            return Response(status_code=503)
        body = await request.body()
        records = self.topics.setdefault(request.query_params["Topic"], [])
        offset = len(records)
        while body:
            length = int.from_bytes(body[:4], "big")
            records.append(body[4 : 4 + length])
            body = body[4 + length :]
        return json_response({"Offset": offset, "EndOffset": len(records)})

    async def join(self, request):
        """Keep a member; the first one by name owns the only partition."""
        value = orjson.loads(await request.body())
        if self._refuses() or value["Member"] in self.refusing:
            return Response(status_code=503)
        self.named_generations.append(value["Generation"])
        if value["Member"] not in self.members:
            self.generation += 1
        self.members[value["Member"]] = value["Topics"][0]
        owner = min(self.members)
        parts = [[value["Topics"][0], 0, 0]] if owner == value["Member"] else []
        return json_response({"Generation": self.generation, "parts": parts})

    async def leave(self, request):
        """Drop a member."""
        value = orjson.loads(await request.body())
        if self.members.pop(value["Member"], None) is not None:
            self.generation += 1
        return json_response({})

    async def owners(self, request):
        """Answer with the owner of the only partition."""
        if self._refuses():
            return Response(status_code=503)
        owner = min(self.members, default=None)
        return json_response(
            [] if owner is None else [[self.members[owner], 0, owner, 0]]
        )

    def _refuses(self):
        self.calls += 1
        return "*" in self.refusing


def _split(content):
    end = 1 + content[0]
    return content[1:end].decode(), content[end:]
