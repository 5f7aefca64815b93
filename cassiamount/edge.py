"""Caller-facing starlette application."""

import asyncio
import hashlib
import uuid

import orjson
from starlette.applications import Starlette
from starlette.routing import Route

from .caller import BodyReader, Caller, RefusedError, refuse
from .claims import StoredOutcome
from .errors import InvariantViolation
from .invariants import KEY_SELECTS_TEAM, require
from .jobs import ModelJob, ServiceJob
from .model_request import InvalidModelRequest, parse_model_request
from .redaction import (
    contains_key,
    strip_body,
    strip_headers,
    strip_query,
    value_contains_key,
)
from .relay import CallerGone
from .requests import NORMAL, Refusal, Ticket
from .service_routes import find_route, split_path
from .tracing import NO_TRACING

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


class EdgeLimits:
    """Limits of the edge.

    Parameters
    ----------
    head_bytes, body_bytes : int
        Of one request.
    held_body_bytes : int
        Of the bodies of all current requests together.
    concurrent_requests : int
    body_timeout_ms : float
        From the head to the end of the body.
    stall_ms : float
        Longest time in which a caller may read nothing.
    first_byte_ms : float
        Deadline of the first byte; also of the time in the queue.
    whole_answer_ms : float
        Deadline of an answer that is not streamed, which has no early first byte.
    service_call_tokens : int
        Cost of a service call.
    """

    __slots__ = (
        "head_bytes",
        "body_bytes",
        "held_body_bytes",
        "concurrent_requests",
        "body_timeout_ms",
        "stall_ms",
        "first_byte_ms",
        "whole_answer_ms",
        "service_call_tokens",
    )

    def __init__(
        self,
        head_bytes=16 << 10,
        body_bytes=4 << 20,
        held_body_bytes=64 << 20,
        concurrent_requests=2_000,
        body_timeout_ms=30_000.0,
        stall_ms=60_000.0,
        first_byte_ms=30_000.0,
        whole_answer_ms=600_000.0,
        service_call_tokens=1,
    ):
        self.head_bytes = head_bytes
        self.body_bytes = body_bytes
        self.held_body_bytes = held_body_bytes
        self.concurrent_requests = concurrent_requests
        self.body_timeout_ms = body_timeout_ms
        self.stall_ms = stall_ms
        self.first_byte_ms = first_byte_ms
        self.whole_answer_ms = whole_answer_ms
        self.service_call_tokens = service_call_tokens


class Arrival:
    """One request as it arrived, and what was found out about it."""

    __slots__ = (
        "scope",
        "receive",
        "caller",
        "request_id",
        "arrived_ms",
        "headers",
        "key",
        "key_hash",
        "team",
        "held",
        "trace",
        "path",
        "query",
    )

    def __init__(self, scope, receive, caller, arrived_ms):
        self.scope = scope
        self.receive = receive
        self.caller = caller
        self.request_id = caller.request_id
        self.arrived_ms = arrived_ms
        self.headers = scope["headers"]
        self.key = ""
        self.key_hash = ""
        self.team = None
        self.held = []
        self.trace = None
        raw = scope.get("raw_path") or scope["path"].encode()
        self.path = raw.decode("latin-1")
        self.query = scope["query_string"].decode("latin-1")

    def header(self, name):
        """Return the value of a header that must not be repeated, or None."""
        values = [value for field, value in self.headers if field == name]
        if len(values) > 1:
            text = name.decode()
            raise refuse(400, "invalid_request", f"{text} is repeated", text)
        return values[0] if values else None


class Edge:
    """Handles requests from callers.

    Parameters
    ----------
    view : object
        `configuration`, `keys`, `ready` and `shutting_down`; read at each use.
    relay : Relay
    claims : ClaimService
    clock, metrics : object
    limits : EdgeLimits
    tracing : Tracing
    log : object, optional
        structlog logger.
    """

    def __init__(
        self, view, relay, claims, clock, metrics, limits, tracing=NO_TRACING, log=None
    ):
        self.view = view
        self.relay = relay
        self.claims = claims
        self.clock = clock
        self.metrics = metrics
        self.limits = limits
        self.tracing = tracing
        self.log = log
        self.bodies = BodyReader(limits)
        self.running = 0

    def handler(self, method):
        """Return the ASGI application that handles requests with `method`."""
        return _Endpoint(self, method)

    async def handle(self, method, scope, receive, send):
        """Handle one request from its head to the end of its answer."""
        caller = Caller(send, uuid.uuid4().hex, self.limits.stall_ms / 1000)
        arrival = Arrival(scope, receive, caller, self.clock.monotonic_ms())
        arrival.trace = self.tracing.request(arrival.headers, arrival.request_id)
        span = arrival.trace.begin("edge", path=arrival.path)
        self.running += 1
        try:
            await self._guarded(method, arrival)
        finally:
            self.running -= 1
            self.bodies.release(arrival.held)
            arrival.trace.end(span, status=caller.status, code=caller.code)
            self._account(arrival)

    async def _guarded(self, method, arrival):
        caller = arrival.caller
        try:
            self._admit(arrival)
            await method(arrival)
        except RefusedError as error:
            # The rest of the body was perhaps not read.
            caller.close = caller.close or not caller.started
            await self._last_words(caller, error.refusal, error.param)
        except CallerGone:
            caller.code = caller.code or "caller_gone"
        except InvariantViolation as error:
            self.metrics.count("invariant_violations_total", name=error.name)
            if self.log is not None:
                self.log.error(
                    "invariant violated",
                    request_id=arrival.request_id,
                    invariant=error.name,
                )
            refusal = Refusal(
                502, "outcome_unknown", "internal check failed", not_run=False
            )
            await self._last_words(caller, refusal)

    async def _last_words(self, caller, refusal, param=None):
        try:
            await caller.refuse(refusal, param)
        except CallerGone:
            pass

    def _account(self, arrival):
        caller = arrival.caller
        took_ms = self.clock.monotonic_ms() - arrival.arrived_ms
        self.metrics.request_ended(caller.status, caller.code, took_ms)
        if self.log is not None:
            self.log.info(
                "request",
                request_id=arrival.request_id,
                team=arrival.team.name if arrival.team is not None else "",
                method=arrival.scope["method"],
                status=caller.status,
                code=caller.code,
                duration_ms=round(took_ms, 3),
            )

    def _admit(self, arrival):
        """Apply the limits that need only the head."""
        view, limits = self.view, self.limits
        arrival.caller.close = not view.ready
        if view.shutting_down:
            raise refuse(
                503, "shutting_down", "this VM is being stopped", retry_after_s=1
            )
        size = len(arrival.path) + len(arrival.query)
        for name, value in arrival.headers:
            size += len(name) + len(value) + 4
        if size > limits.head_bytes:
            raise refuse(
                431, "header_too_large", f"the head exceeds {limits.head_bytes} bytes"
            )
        if self.running > limits.concurrent_requests:
            raise refuse(
                429, "queue_full", "too many concurrent requests", retry_after_s=1
            )
        if view.configuration is None:
            raise refuse(
                503, "not_run", "no configuration is known yet", retry_after_s=1
            )
        self.bodies.check_length(arrival.header(b"content-length"))

    def _identify(self, arrival, required=True):
        """Find the team whose key the request carries."""
        key = _bearer(arrival.headers)
        if key is None:
            if required:
                raise refuse(401, "missing_key", "send Authorization: Bearer <key>")
            return
        arrival.key = key
        if not required:
            return
        name = self.view.keys.resolve(key)
        team = self.view.configuration.teams.get(name) if name is not None else None
        if team is None:
            raise refuse(401, "invalid_key", "the key is not valid")
        arrival.team = team
        arrival.key_hash = "sha256:" + hashlib.sha256(key.encode()).hexdigest()

    def _recheck(self, arrival):
        """Return a function that checks the key again at dispatch."""

        def recheck():
            name = self.view.keys.resolve(arrival.key)
            if name is None or name != arrival.team.name:
                return Refusal(401, "invalid_key", "the key was withdrawn")
            require(
                name == arrival.team.name,
                KEY_SELECTS_TEAM,
                request_id=arrival.request_id,
                team=arrival.team.name,
            )
            return None

        return recheck

    async def models(self, arrival):
        """List the models that the team may use."""
        _check_method(arrival, ("GET", "HEAD"))
        self._identify(arrival)
        team = arrival.team
        names = sorted(team.models | team.adapters)
        data = [
            {"id": name, "object": "model", "created": 0, "owned_by": "cassiamount"}
            for name in names
        ]
        value = {"object": "list", "data": data}
        wanted = arrival.scope.get("path_params", {}).get("model")
        if wanted is not None:
            found = [entry for entry in data if entry["id"] == wanted]
            if not found:
                raise refuse(404, "model_not_found", "no such model", "model")
            value = found[0]
        headers = [(b"content-type", b"application/json")]
        await arrival.caller.respond(200, headers, orjson.dumps(value))

    async def completions(self, arrival):
        """Handle a model request."""
        _check_method(arrival, ("POST",))
        self._identify(arrival)
        body = await self.bodies.read(arrival.receive, arrival.held)
        document = _parse_json(body)
        try:
            request = parse_model_request(arrival.path, document, arrival.key)
        except InvalidModelRequest as error:
            raise refuse(400, "invalid_request", str(error), error.param) from None
        if value_contains_key(document, arrival.key):
            raise refuse(400, "key_in_request", "the body contains the key")
        model, adapter = self._rights(arrival.team, request.model)
        now_ms = arrival.arrived_ms
        deadline_ms = now_ms + self.limits.first_byte_ms
        ticket = Ticket(
            arrival.request_id,
            arrival.team.name,
            priority=arrival.team.priority,
            model=model,
            adapter=adapter,
            prompt_tokens=request.prompt_tokens,
            max_output_tokens=request.max_output_tokens,
            prefix_hashes=request.prefix_hashes,
            arrived_ms=now_ms,
            deadline_ms=deadline_ms,
            key_hash=arrival.key_hash,
        )
        if not request.streamed:
            deadline_ms = now_ms + self.limits.whole_answer_ms
        job = ModelJob(
            request,
            ticket,
            arrival.key.encode(),
            self._recheck(arrival),
            arrival.trace,
            deadline_ms,
        )
        await self._watched(job, arrival)

    def _rights(self, team, name):
        """Return base model and adapter for the name that the caller asked for."""
        configuration = self.view.configuration
        adapter = configuration.adapters.get(name)
        if adapter is None and name not in configuration.models:
            raise refuse(404, "model_not_found", f"no model {name!r:.100}", "model")
        if name not in (team.models if adapter is None else team.adapters):
            raise refuse(
                403, "model_not_allowed", "the team may not use this model", "model"
            )
        return (name, "") if adapter is None else (adapter.base, name)

    async def _watched(self, job, arrival):
        """Run a job and cancel it when the caller goes away."""
        caller, task = arrival.caller, asyncio.current_task()
        gone = False

        async def watch():
            nonlocal gone
            while (await arrival.receive())["type"] != "http.disconnect":
                pass
            if not caller.finished:
                gone = True
                task.cancel()

        watcher = asyncio.ensure_future(watch())
        try:
            await self.relay.run(job, caller)
        except asyncio.CancelledError:
            if not gone or task.uncancel() > 0:
                raise
            self.metrics.count("callers_gone_total")
            raise CallerGone("the caller disconnected") from None
        finally:
            watcher.cancel()

    async def service(self, arrival):
        """Handle a call of a plain service."""
        method = arrival.scope["method"]
        name, path, route = self._service_route(arrival, method)
        self._identify(arrival, required=not route.open)
        if arrival.team is not None and name not in arrival.team.services:
            raise refuse(403, "service_not_allowed", "the team may not use the service")
        body = await self.bodies.read(arrival.receive, arrival.held)
        target, headers, body = self._without_key(arrival, path, body)
        claim_key = self._claim_key(arrival, route)
        now_ms = arrival.arrived_ms
        deadline_ms = now_ms + self.limits.first_byte_ms
        team = arrival.team
        ticket = Ticket(
            arrival.request_id,
            "" if team is None else team.name,
            priority=NORMAL if team is None else team.priority,
            service=name,
            max_output_tokens=self.limits.service_call_tokens,
            arrived_ms=now_ms,
            deadline_ms=deadline_ms,
            idempotent=route.idempotent,
            key_hash=arrival.key_hash,
        )
        job = ServiceJob(
            ticket,
            method,
            target,
            headers,
            body,
            arrival.key.encode(),
            self._recheck(arrival) if team is not None else _no_recheck,
            arrival.trace,
            now_ms + self.limits.whole_answer_ms,
            claimed=claim_key is not None,
        )
        if claim_key is not None:
            await self._claimed(job, arrival, claim_key)
        elif route.idempotent:
            await self._watched(job, arrival)
        else:
            # It may not run twice, so it is left to finish once it was dispatched.
            await self.relay.run(job, arrival.caller)

    def _service_route(self, arrival, method):
        split = split_path(arrival.path)
        service = None
        if split is not None:
            service = self.view.configuration.services.get(split[0])
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
        if key and body:
            body = _body_without_key(body, key)
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
        team, caller = job.ticket.team, arrival.caller
        decision = await self.claims.claim(
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
            # Runs on if the caller goes away: its outcome has to be recorded.
            run = self.claims.run(job, caller, self.relay)
            await asyncio.shield(self.relay.spawn(run))


class _Endpoint:
    """ASGI application for one route; starlette passes instances through as they are."""

    def __init__(self, edge, method):
        self._edge = edge
        self._method = method

    async def __call__(self, scope, receive, send):
        await self._edge.handle(self._method, scope, receive, send)


async def _unknown_route(arrival):
    raise refuse(404, "route_not_found", "no such route")


def _no_recheck():
    return None


def _check_method(arrival, methods):
    method = arrival.scope["method"]
    if method not in methods:
        raise refuse(405, "method_not_allowed", f"{method:.20} is not allowed")


def _bearer(headers):
    """Return the key of the Authorization header, or None without one.

    Two headers could name two teams, so a repeated one is refused.
    """
    values = [value for name, value in headers if name == b"authorization"]
    if not values:
        return None
    scheme, _, key = values[0].partition(b" ")
    key = key.strip()
    if len(values) > 1 or scheme.lower() != b"bearer" or not key.isascii():
        raise refuse(401, "invalid_key", "the Authorization header is not valid")
    return key.decode() or None


def _parse_json(body):
    try:
        return orjson.loads(body)
    except orjson.JSONDecodeError:
        pass
    try:
        body.decode("utf-8")
    except UnicodeDecodeError:
        raise refuse(400, "invalid_encoding", "the body is not UTF-8") from None
    raise refuse(400, "invalid_json", "the body is not valid JSON")


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
    for part in (job.method, job.ticket.service, job.target):
        digest.update(part.encode() + b"\0")
    digest.update(job.body)
    return digest.hexdigest()


def build_application(
    view, relay, claims, clock, metrics, limits=None, tracing=NO_TRACING, log=None
):
    """Build the caller-facing application.

    Parameters
    ----------
    view : object
        `configuration`, `keys`, `ready` and `shutting_down`; read at each use.
    relay : Relay
    claims : ClaimService
    clock, metrics : object
    limits : EdgeLimits, optional
    tracing : Tracing, optional
    log : object, optional

    Returns
    -------
    starlette.applications.Starlette
        ``app.state.edge`` is the Edge.
    """
    edge = Edge(
        view, relay, claims, clock, metrics, limits or EdgeLimits(), tracing, log
    )
    routes = [
        Route(path, edge.handler(method))
        for path, method in (
            ("/v1/chat/completions", edge.completions),
            ("/v1/completions", edge.completions),
            ("/v1/models", edge.models),
            ("/v1/models/{model:path}", edge.models),
            ("/services/{path:path}", edge.service),
            ("/{path:path}", _unknown_route),
        )
    ]
    application = Starlette(routes=routes)
    application.router.redirect_slashes = False
    application.state.edge = edge
    return application
