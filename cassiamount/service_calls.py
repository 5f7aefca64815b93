"""Calls of plain services: rights, redaction and idempotency claims."""

import asyncio
import hashlib

import orjson

from .answers import CallerGone
from .caller import refuse
from .claims import StoredOutcome
from .invariants import KEY_SELECTS_TEAM, require
from .jobs import ServiceJob
from .redaction import (
    contains_key,
    strip_body,
    strip_headers,
    strip_query,
    value_contains_key,
)
from .requests import NORMAL, Refusal, RequestInfo
from .service_routes import find_route, split_path

MAX_IDEMPOTENCY_KEY_BYTES = 255
# Not passed on to services: they belong to the caller's connection.
CONNECTION_HEADERS = frozenset(
    {
        b"connection",
        b"content-length",
        b"expect",
        b"host",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"traceparent",
        b"x-request-id",
        b"x-resume-offset",
        b"x-priority",
    }
)


class ServiceCalls:
    """Handles calls of plain services.

    Parameters
    ----------
    edge : Edge
        Identifies callers and runs jobs.
    claims : ClaimService
    """

    __slots__ = ("_edge", "_claims")

    def __init__(self, edge, claims):
        self._edge = edge
        self._claims = claims

    async def handle(self, arrival):
        """Handle one call."""
        edge = self._edge
        method = arrival.scope["method"]
        name, path, route = self._service_route(arrival, method)
        edge.identify(arrival, required=not route.open)
        if arrival.team is not None and name not in arrival.team.services:
            raise refuse(403, "service_not_allowed", "the team may not use the service")
        body = await edge.bodies.read(arrival.receive, arrival.held)
        target, headers, body = self._without_key(arrival, path, body)
        claim_key = self._claim_key(arrival, route)
        now_ms = arrival.arrived_ms
        deadline_ms = now_ms + edge.limits.first_byte_ms
        team = arrival.team
        request_info = RequestInfo(
            arrival.request_id,
            "" if team is None else team.name,
            priority=NORMAL if team is None else team.priority,
            service=name,
            max_output_tokens=edge.limits.service_call_tokens,
            arrived_ms=now_ms,
            deadline_ms=deadline_ms,
            idempotent=route.idempotent,
            key_hash=arrival.key_hash,
        )
        job = ServiceJob(
            request_info,
            method,
            target,
            headers,
            body,
            arrival.key.encode(),
            edge.recheck(arrival) if team is not None else _open_route,
            arrival.trace,
            now_ms + edge.limits.whole_answer_ms,
        )
        if claim_key is not None:
            await self._claimed(job, arrival, claim_key)
        else:
            await edge.watched(job, arrival, until_done=not route.idempotent)

    def _service_route(self, arrival, method):
        split = split_path(arrival.path)
        service = None
        if split is not None:
            service = self._edge.view.configuration.services.get(split[0])
        route = None if service is None else find_route(service, split[1])
        if route is None:
            raise refuse(404, "route_not_found", "no such route")
        if method not in route.methods:
            raise refuse(405, "method_not_allowed", f"{method:.20} is not allowed")
        return split[0], split[1], route

    def _without_key(self, arrival, path, body):
        """Return target, headers and body without the key, or refuse the request."""
        key = arrival.key
        raw = key.encode()
        headers = [
            (name, value)
            for name, value in strip_headers(arrival.headers, raw)
            if name not in CONNECTION_HEADERS
        ]
        query = strip_query(arrival.query, key)
        target = f"{path}?{query}" if query else path
        # Only a key that is written with JSON escapes does not stand in the bytes.
        if key and (raw in body or b"\\" in body):
            self._edge.bodies.check_parsed(body, arrival.held)
            body = _body_without_key(body, key)
            # The parsed values are gone; the call may still run for minutes.
            self._edge.bodies.drop_parsed(body, arrival.held)
        if contains_key(target.encode("latin-1"), raw) or contains_key(body, raw):
            raise refuse(400, "key_in_request", "the request contains the key")
        return target, headers, body

    def _claim_key(self, arrival, route):
        if route.idempotent:
            return None
        value = arrival.header(b"idempotency-key")
        if value is None:
            return None
        if not 0 < len(value) <= MAX_IDEMPOTENCY_KEY_BYTES:
            raise refuse(
                400,
                "invalid_request",
                f"Idempotency-Key must have 1 to {MAX_IDEMPOTENCY_KEY_BYTES} bytes",
                "Idempotency-Key",
            )
        if contains_key(value, arrival.key.encode()):
            raise refuse(400, "key_in_request", "Idempotency-Key contains the key")
        return value.decode("latin-1")

    async def _claimed(self, job, arrival, claim_key):
        """Run a call at most once for its idempotency key."""
        fingerprint = _fingerprint(job)
        team, caller = job.request_info.team, arrival.caller
        arrival.is_claimed = True
        decision = await self._claims.claim(
            team, claim_key, fingerprint, arrival.request_id
        )
        if isinstance(decision, Refusal):
            await caller.refuse(decision)
        elif isinstance(decision, StoredOutcome):
            headers = [(b"idempotent-replayed", b"true")]
            if decision.content_type:
                headers.append((b"content-type", decision.content_type.encode()))
            await caller.respond(decision.status, headers, decision.body)
        else:
            job.attach_claim(decision)
            # Runs on if the caller goes away: its outcome has to be recorded.
            relay = self._edge.relay
            task = relay.spawn_background(decision.run(job, caller, relay))
            unwatch = caller.watch(task.cancel)
            try:
                await asyncio.shield(task)
            except asyncio.CancelledError:
                if not task.cancelled():
                    raise
                raise CallerGone("the caller does not read") from None
            finally:
                unwatch()


def _open_route(request_info):
    """Check that a request without a key uses no team's budget or rights."""
    require(
        not request_info.team,
        KEY_SELECTS_TEAM,
        request_id=request_info.request_id,
        ticket_team=request_info.team,
    )
    return None


def _body_without_key(body, key):
    """Return a service call's body without known fields that hold the key."""
    try:
        document = orjson.loads(body)
    except orjson.JSONDecodeError:
        return body
    if isinstance(document, dict) and strip_body(document, key):
        body = orjson.dumps(document)
    if value_contains_key(document, key):
        raise refuse(400, "key_in_request", "the body contains the key")
    return body


def _fingerprint(job):
    """Identify the content of a call, to tell a repeat from another request."""
    digest = hashlib.sha256()
    for part in (job.method, job.request_info.service, job.target):
        digest.update(part.encode() + b"\0")
    digest.update(job.body)
    return digest.hexdigest()
