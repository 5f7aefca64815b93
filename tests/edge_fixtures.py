"""The edge with stand-in backend servers in one event loop, for several test files."""

import asyncio
import contextlib
import random
from urllib.parse import quote

import aiohttp
import structlog

from cassiamount.backend_client import BackendClient
from cassiamount.claim_service import ClaimPartition, ClaimService
from cassiamount.claim_state import ClaimState
from cassiamount.claims import ClaimTable
from cassiamount.clock import SystemClock
from cassiamount.configuration import configuration_from_document
from cassiamount.edge import build_application
from cassiamount.keys import KeyTable, hash_key
from cassiamount.metrics import Metrics
from cassiamount.relay import Relay
from cassiamount.requests import Dispatch, Refusal
from cassiamount.serving import EdgeServer, open_listener
from cassiamount.tracing import NO_TRACING

KEY = "ck-test-key-of-team-a"
OTHER_KEY = "ck-test-key-of-team-b"


class View:
    def __init__(self, configuration, keys):
        self.configuration = configuration
        self.keys = keys
        self.ready = True
        self.shutting_down = False


class SimpleDispatcher:
    """Sends each request to the next backend server of its kind."""

    def __init__(self, addresses):
        self.addresses = addresses
        self.open = {}
        self.ends = []
        self.request_infos = []
        self.refusal = None
        self.hold = None

    async def submit(self, request_info):
        self.request_infos.append(request_info)
        if self.hold is not None:
            await self.hold.wait()
        if self.refusal is not None:
            return self.refusal
        return self._dispatch(request_info, 1)

    async def retry(self, request_info, attempt, failed_backend):
        return self._dispatch(request_info, attempt)

    def _dispatch(self, request_info, attempt):
        names = self.addresses[request_info.service or "engine"]
        if attempt > len(names) and request_info.service:
            return Refusal(503, "not_run", "no backend server")
        name, address = names[(attempt - 1) % len(names)]
        assert request_info.request_id not in self.open
        self.open[request_info.request_id] = name
        return Dispatch(request_info, name, address, attempt)

    async def ended(self, attempt_ended):
        assert self.open.pop(attempt_ended.request_id) == attempt_ended.backend
        self.ends.append(attempt_ended)


class DirectAppender:
    """Applies each record to a fold at once; can fail like the log."""

    def __init__(self, state):
        self.state = state
        self.failures = []

    async def append(self, record):
        await asyncio.sleep(0)
        failure = self.failures.pop(0) if self.failures else None
        if failure is not None:
            raise failure
        offset = self.state.next_offset
        self.state.apply(offset, record)
        return offset


def document(routes=None):
    """Return a configuration document with two teams."""
    team = {
        "services": ["orders-app"],
        "rate_tokens_per_s": 10_000,
        "burst_tokens": 10_000,
        "adapters": [],
        "priority": "normal",
    }
    return {
        "zones": [{"name": "a", "weight": 1}],
        "models": [
            {"name": name, "version": "1", "memory_mb": 10, "load_ms": 1}
            for name in ("loom-7b", "dye-3b")
        ],
        "adapters": [
            {"name": "hem-check", "base": "loom-7b", "version": "1", "memory_mb": 1}
        ],
        "backends": [
            {
                "name": "loom-llm-1",
                "zone": "a",
                "address": "127.0.0.1:9101",
                "kind": "engine",
                "memory_mb": 100,
                "accelerators": 1,
                "max_running": 16,
                "checks_fence": True,
            },
            {
                "name": "orders-app-1",
                "zone": "a",
                "address": "127.0.0.1:9201",
                "kind": "service",
                "service": "orders-app",
                "max_running": 16,
            },
        ],
        "services": [
            {
                "name": "orders-app",
                "routes": [
                    {
                        "path": "/stock",
                        "methods": ["GET"],
                        "idempotent": True,
                        "open": False,
                    },
                    {
                        "path": "/orders",
                        "methods": ["POST"],
                        "idempotent": False,
                        "open": False,
                    },
                    {
                        "path": "/hours",
                        "methods": ["GET"],
                        "idempotent": True,
                        "open": True,
                    },
                ],
            }
        ],
        "policy": {"attainment_weight": 1.0, "fairness_weight": 1.0},
        "templates": [],
        "teams": [
            {
                **team,
                "name": "team-a",
                "models": ["loom-7b"],
                "adapters": ["hem-check"],
                "keys": [hash_key(KEY)],
            },
            {
                **team,
                "name": "team-b",
                "models": ["dye-3b"],
                "services": [],
                "keys": [hash_key(OTHER_KEY)],
            },
        ],
    }


class Site:
    """One edge and the backend servers behind it."""

    def __init__(self, view, dispatcher, metrics, relay, claims, state, appender):
        self.view = view
        self.dispatcher = dispatcher
        self.metrics = metrics
        self.relay = relay
        self.claims = claims
        self.state = state
        self.appender = appender
        self.edge = None
        self.port = 0
        self.session = None

    @property
    def url(self):
        return f"http://127.0.0.1:{self.port}"

    async def request(self, method, path, key=KEY, headers=None, **options):
        """Send one request; return status, headers and body."""
        sent = {} if key is None else {"Authorization": f"Bearer {key}"}
        sent.update(headers or {})
        async with self.session.request(
            method, self.url + quote(path, safe="/?=&%"), headers=sent, **options
        ) as answer:
            return answer.status, answer.headers, await answer.read()


@contextlib.asynccontextmanager
async def open_site(addresses, limits=None, tracing=NO_TRACING, wait_ms=200.0):
    """Start an edge; `addresses` maps ``engine`` and services to (name, address)."""
    configuration = configuration_from_document(document())
    keys = KeyTable({hash_key(KEY): "team-a", hash_key(OTHER_KEY): "team-b"})
    clock, metrics = SystemClock(), Metrics()
    dispatcher = SimpleDispatcher(addresses)
    backends = BackendClient(metrics, idle_timeout_s=5.0)
    await backends.start()
    relay = Relay(dispatcher, backends, clock, metrics, random.Random(1))
    relay.retry_budget.available = 100.0
    state = ClaimState()
    appender = DirectAppender(state)
    partition = ClaimPartition(state, appender)
    claims = ClaimService(
        ClaimTable("vm-1@1", lambda vm: vm.startswith("gone")),
        lambda team, key: partition,
        clock,
        metrics,
        max_wait_ms=wait_ms,
    )
    site = Site(
        View(configuration, keys), dispatcher, metrics, relay, claims, state, appender
    )
    app = build_application(
        site.view,
        relay,
        claims,
        clock,
        metrics,
        limits,
        tracing,
        structlog.get_logger(),
    )
    site.edge = app.state.edge
    listener = open_listener("127.0.0.1", 0)
    site.port = listener.getsockname()[1]
    server = EdgeServer(app, listener, metrics)
    await server.start()
    site.server = server
    site.session = aiohttp.ClientSession()
    try:
        yield site
        # A fault of the program must not pass for an expected error response.
        assert "internal_errors_total" not in metrics.render()
    finally:
        await site.session.close()
        await server.stop(2_000)
        await relay.wait_background()
        await backends.close()


@contextlib.asynccontextmanager
async def open_app(app):
    """Serve a stand-in's ASGI application; yield its address."""

    async def outermost(scope, receive, send):
        scope["standin_transport"] = send.__self__.transport
        await app(scope, receive, send)

    listener = open_listener("127.0.0.1", 0)
    server = EdgeServer(outermost, listener, Metrics())
    await server.start()
    try:
        yield f"127.0.0.1:{listener.getsockname()[1]}"
    finally:
        await server.stop(200)
