"""Caller-facing starlette application."""

import asyncio
import uuid

import orjson
from starlette.applications import Starlette
from starlette.routing import Route

from .answers import CallerGone
from .arrival import Arrival, EdgeLimits, bearer, check_method, parse_json
from .caller import (
    HAS_LEFT,
    IS_FOLLOWED,
    WRITE_PART,
    BodyReader,
    Caller,
    RefusedError,
    refuse,
)
from .errors import InvariantViolation
from .invariants import KEY_SELECTS_TEAM, require
from .jobs import ModelJob
from .keys import hash_key
from .model_request import InvalidModelRequest, parse_model_request
from .redaction import value_contains_key
from .request_timeouts import RequestTimeouts
from .requests import Refusal, RequestInfo
from .service_calls import ServiceCalls
from .tracing import NO_TRACING

# Key of the server's own send channel in the scope.
SEND = "cassiamount.send"


class Edge:
    """Handles requests from callers.

    Parameters
    ----------
    view : object
        `configuration`, `keys`, `ready` and `shutting_down`; read at each use.
    relay : Relay
    clock, metrics : object
    limits : EdgeLimits
    tracing : Tracing
    log : object, optional
        structlog logger.
    """

    def __init__(
        self, view, relay, clock, metrics, limits, tracing=NO_TRACING, log=None
    ):
        self.view = view
        self.relay = relay
        self.clock = clock
        self.metrics = metrics
        self.limits = limits
        self.tracing = tracing
        self.log = log
        self.bodies = BodyReader(limits, clock, metrics)
        self.timeouts = RequestTimeouts(clock)
        self.running = 0
        # Requests that the end of a stop left without their whole answer.
        self.unfinished = 0
        self._id_prefix = uuid.uuid4().hex[:20]
        self._ids = 0

    def handler(self, method):
        """Return the ASGI application that handles requests with `method`."""
        return _Endpoint(self, method)

    def _new_id(self):
        """Return a request identifier that no other process uses.

        A random prefix for each process and a count: a random number for each request
        costs a system call, which was 4% of the processor time under load.
        """
        self._ids += 1
        return f"{self._id_prefix}{self._ids:012x}"

    async def handle(self, method, scope, receive, send):
        """Handle one request from its head to the end of its answer."""
        caller = Caller(
            send,
            self._new_id(),
            self.limits.stall_ms / 1000,
            scope.get(WRITE_PART),
            scope.get(IS_FOLLOWED),
            scope.get(HAS_LEFT),
        )
        arrival = Arrival(scope, receive, caller, self.clock.monotonic_ms())
        arrival.trace = self.tracing.request(arrival.headers, arrival.request_id)
        # The path is not recorded, since it can contain the key.
        span = arrival.trace.begin("edge", route=method.__name__)
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
            async with self.timeouts.limit():
                self._admit(arrival)
                await method(arrival)
        except TimeoutError as error:
            if not self.timeouts.have_ended():
                await self._fault(arrival, error)
                return
            self.unfinished += 1
            caller.close = not caller.started
            await self._last_words(caller, _stopped(arrival))
            caller.detach()
        except RefusedError as error:
            # What was read of the body is dropped before the refusal is sent.
            self.bodies.release(arrival.held)
            # The rest of the body was perhaps not read.
            caller.close = caller.close or not caller.started
            await self._last_words(caller, error.refusal, error.param)
        except CallerGone:
            caller.code = caller.code or "caller_gone"
            if not caller.started:
                await _until_disconnected(arrival)
        except InvariantViolation as error:
            self.metrics.count("invariant_violations_total", name=error.name)
            await self._internal_error(arrival, error)
        except Exception as error:
            await self._fault(arrival, error)

    async def _fault(self, arrival, error):
        self.metrics.count("internal_errors_total", error=type(error).__name__)
        await self._internal_error(arrival, error)

    async def _internal_error(self, arrival, error):
        """Answer a request that met a fault of the program itself."""
        if self.log is not None:
            self.log.error(
                "internal error", request_id=arrival.request_id, exc_info=error
            )
        refusal = Refusal(
            502, "outcome_unknown", "an internal error occurred", not_run=False
        )
        await self._last_words(arrival.caller, refusal)

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

    def identify(self, arrival, required=True):
        """Find the team whose key the request carries."""
        key = bearer(arrival.headers)
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
        arrival.key_hash = hash_key(key)

    def recheck(self, arrival):
        """Return a function that checks the key again at dispatch."""

        def recheck(request_info):
            name = self.view.keys.resolve(arrival.key)
            if name is None or name != arrival.team.name:
                return Refusal(401, "invalid_key", "the key was withdrawn")
            # What is about to run must belong to the team of the key that came with
            # this request, whatever happened to the ticket in between.
            require(
                request_info.team == name
                and request_info.request_id == arrival.request_id,
                KEY_SELECTS_TEAM,
                request_id=arrival.request_id,
                team=name,
                ticket_team=request_info.team,
            )
            return None

        return recheck

    async def models(self, arrival):
        """List the models that the team may use."""
        check_method(arrival, ("GET", "HEAD"))
        self.identify(arrival)
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
        check_method(arrival, ("POST",))
        self.identify(arrival)
        body = await self.bodies.read(arrival.receive, arrival.held)
        self.bodies.check_parsed(body, arrival.held)
        document = parse_json(body)
        del body
        try:
            request = parse_model_request(arrival.path, document, arrival.key)
        except InvalidModelRequest as error:
            raise refuse(400, "invalid_request", str(error), error.param) from None
        if value_contains_key(document, arrival.key):
            raise refuse(400, "key_in_request", "the body contains the key")
        model, adapter = self._rights(arrival.team, request.model)
        now_ms = arrival.arrived_ms
        deadline_ms = now_ms + self.limits.first_byte_ms
        request_info = RequestInfo(
            arrival.request_id,
            arrival.team.name,
            priority=arrival.team.priority,
            model=model,
            adapter=adapter,
            prompt_tokens=request.prompt_tokens,
            max_output_tokens=request.max_output_tokens,
            prefix_hashes=request.prefix_hashes(model),
            arrived_ms=now_ms,
            deadline_ms=deadline_ms,
            key_hash=arrival.key_hash,
        )
        if not request.streamed:
            deadline_ms = now_ms + self.limits.whole_answer_ms
        job = ModelJob(
            request,
            request_info,
            arrival.key.encode(),
            self.recheck(arrival),
            arrival.trace,
            deadline_ms,
        )
        await self.watched(job, arrival)

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

    async def watched(self, job, arrival, until_done=False):
        """Run a job and cancel it when the caller goes away or reads nothing.

        Parameters
        ----------
        job : Job
        arrival : Arrival
        until_done : bool
            Let the job go on if the caller goes away; it may not run twice.
        """
        caller, task = arrival.caller, asyncio.current_task()
        gone = False

        def cancel():
            nonlocal gone
            if not caller.finished:
                gone = True
                task.cancel()

        async def watch():
            await _until_disconnected(arrival)
            cancel()

        arrival.job = job
        watcher = None if until_done else asyncio.ensure_future(watch())
        unwatch = caller.watch(cancel)
        try:
            await self.relay.run(job, caller)
        except asyncio.CancelledError:
            if not gone or task.uncancel() > 0:
                raise
            self.metrics.count("callers_gone_total")
            raise CallerGone("the caller disconnected") from None
        finally:
            if watcher is not None:
                watcher.cancel()
            unwatch()


class _Endpoint:
    """ASGI application for one route, which starlette calls as it is."""

    def __init__(self, edge, method):
        self._edge = edge
        self._method = method

    async def __call__(self, scope, receive, send):
        await self._edge.handle(self._method, scope, receive, scope.get(SEND, send))


class _Application(Starlette):
    """Starlette with a shortcut for the answers.

    Two middlewares of starlette wrap each send to tell whether an answer has begun,
    for errors that the edge handles itself; that cost 4% of a streamed token.
    """

    async def __call__(self, scope, receive, send):
        scope[SEND] = send
        await super().__call__(scope, receive, send)


async def _until_disconnected(arrival):
    while (await arrival.receive())["type"] != "http.disconnect":
        pass


def _stopped(arrival):
    """Return the last answer of a request that the end of a stop interrupts."""
    job = arrival.job
    if arrival.is_claimed or (job is not None and job.maybe_ran):
        return Refusal(
            504, "outcome_unknown", "this VM was stopped before the answer", False
        )
    return Refusal(503, "shutting_down", "this VM is being stopped", retry_after_s=1)


async def _unknown_route(arrival):
    raise refuse(404, "route_not_found", "no such route")


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
    edge = Edge(view, relay, clock, metrics, limits or EdgeLimits(), tracing, log)
    routes = [
        Route(path, edge.handler(method))
        for path, method in (
            ("/v1/chat/completions", edge.completions),
            ("/v1/completions", edge.completions),
            ("/v1/models", edge.models),
            ("/v1/models/{model:path}", edge.models),
            ("/services/{path:path}", ServiceCalls(edge, claims).handle),
            ("/{path:path}", _unknown_route),
        )
    ]
    application = _Application(routes=routes)
    application.router.redirect_slashes = False
    application.state.edge = edge
    return application
