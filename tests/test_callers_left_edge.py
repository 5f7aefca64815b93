"""Tests that the own edge begins no work for callers that have left."""

import asyncio
from contextlib import AsyncExitStack

import orjson
import pytest

from .edge_fixtures import KEY, open_app, open_site
from .leaving_callers import LateReader, LeavingCaller

KINDS = ("stock", "orders", "chat", "chat-stream")
COUNT = 8


class Backend:
    """Notes the requests that reach it; ends each with a status, or in the middle."""

    def __init__(self):
        self.seen = []
        self.on_request = None
        self.status = 200
        self.refuses = False

    async def __call__(self, scope, receive, send):
        body, more = b"", True
        while more:
            message = await receive()
            if message["type"] == "http.disconnect":
                return
            body += message.get("body", b"")
            more = message.get("more_body", False)
        if scope["method"] == "DELETE":
            self.seen.append("cancel")
        else:
            self.seen.append(scope["path"].rpartition("/")[2] + _marker(body))
            if self.on_request is not None:
                self.on_request()
        request_id = dict(scope["headers"]).get(b"x-request-id", b"")
        headers = [(b"x-request-id", request_id), (b"content-type", b"text/plain")]
        status, data = self.status, orjson.dumps({"choices": []})
        if self.refuses:
            status = 503
            headers.append((b"x-not-accepted", b"true"))
        headers.append((b"content-length", b"%d" % len(data)))
        start = {"type": "http.response.start", "status": status, "headers": headers}
        await send(start)
        await send({"type": "http.response.body", "body": data})


def _marker(body):
    document = orjson.loads(body) if body else {}
    messages = document.get("messages")
    return f"/{messages[0]['content']}" if messages else ""


def begin(site, kind, marker, key=""):
    """Send a request; return its caller."""
    body = b""
    if kind.startswith("chat"):
        path = "/v1/chat/completions"
        message = {"role": "user", "content": marker}
        document = {"model": "loom-7b", "messages": [message]}
        body = orjson.dumps({**document, "stream": kind == "chat-stream"})
    else:
        path = f"/services/orders-app/{kind}/{marker}"
    lines = [
        f"{'GET' if kind == 'stock' else 'POST'} {path} HTTP/1.1",
        "Host: a",
        f"Authorization: Bearer {KEY}",
    ]
    if key:
        lines.append(f"Idempotency-Key: {key}")
    if kind != "stock":
        lines.append(f"Content-Length: {len(body)}")
    request = "\r\n".join(lines).encode() + b"\r\n\r\n" + body
    caller = LeavingCaller(("127.0.0.1", site.port), request)
    caller.connect()
    caller.send(request)
    return caller


@pytest.fixture
async def site():
    """An edge with two backend servers of each kind, and idle connections to them."""
    backends = {"engine": [Backend(), Backend()], "orders-app": [Backend(), Backend()]}
    async with AsyncExitStack() as stack:
        addresses = {
            service: [
                (f"{service}-{number}", await stack.enter_async_context(open_app(app)))
                for number, app in enumerate(apps)
            ]
            for service, apps in backends.items()
        }
        async with open_site(addresses) as site:
            site.backends = [app for apps in backends.values() for app in apps]
            # A first attempt that is refused leaves connections to both.
            for refuses in (True, False):
                site.backends[0].refuses = site.backends[2].refuses = refuses
                await settle(site)
            yield site


async def settle(site):
    """Send requests of all kinds after those that came before, and wait for all."""
    chat = {"messages": [{"role": "user", "content": "x"}], "model": "loom-7b"}
    await site.request("POST", "/v1/chat/completions", json=chat)
    await site.request("GET", "/services/orders-app/stock/x")
    while site.edge.running:
        await asyncio.sleep(0.01)


def seen(site):
    """Return how many requests of callers that left have reached a backend server."""
    return sum("gone" in name for backend in site.backends for name in backend.seen)


@pytest.mark.parametrize("resets", [False, True], ids=["closed", "reset"])
@pytest.mark.parametrize("kind", KINDS)
async def test_a_request_read_after_its_caller_left_reaches_no_server(
    site, kind, resets
):
    """Guards against work for callers that left while the process stood still."""
    for number in range(COUNT):
        begin(site, kind, f"gone-{number}").leave(resets)
    await settle(site)
    assert seen(site) == 0
    assert not any("cancel" in backend.seen for backend in site.backends)


async def test_work_with_an_idempotency_key_goes_on_without_its_caller(site):
    """Guards against keyed calls that are dropped, of which their callers may ask."""
    for number in range(COUNT):
        caller = begin(site, "orders", f"gone-{number}", f"key-{number}")
        caller.leave(resets=False)
    async with asyncio.timeout(30):
        while seen(site) < COUNT:
            await asyncio.sleep(0.01)
    await settle(site)
    assert seen(site) == COUNT


@pytest.mark.parametrize("resets", [False, True], ids=["closed", "reset"])
async def test_a_call_is_not_begun_when_its_caller_leaves_in_the_queue(site, resets):
    """Guards against calls that begin after the caller left, though none has run."""
    site.dispatcher.hold = asyncio.Event()
    callers = [begin(site, "orders", f"gone-{n}") for n in range(COUNT)]
    while len(site.dispatcher.request_infos) < COUNT + 4:
        await asyncio.sleep(0.01)
    site.dispatcher.hold.set()
    for caller in callers:
        caller.leave(resets)
    await settle(site)
    assert seen(site) == 0


@pytest.mark.parametrize("answer", ["refused", "failed"])
@pytest.mark.parametrize("kind", ["stock", "chat", "chat-stream"])
async def test_a_request_is_not_repeated_when_its_caller_left(site, kind, answer):
    """Guards against repeats for callers that left during the attempt before."""
    for backend in site.backends:
        backend.refuses, backend.status = answer == "refused", 500
    for number in range(COUNT):
        caller = begin(site, kind, f"gone-{number}")
        for backend in site.backends:
            backend.on_request = lambda caller=caller: caller.leave(resets=False)
        while seen(site) <= number:
            await asyncio.sleep(0.01)
        while site.edge.running:
            await asyncio.sleep(0.01)
    assert seen(site) == COUNT


async def test_a_request_on_its_way_is_taken_back_when_its_caller_leaves(site):
    """Guards against requests that arrive whole long after they were given up."""
    reader = LateReader()
    site.dispatcher.addresses["engine"] = [("slow", reader.address)]
    caller = begin(site, "chat", "x" * 300_000)
    while not reader.is_reached():
        await asyncio.sleep(0.01)
    caller.leave(resets=False)
    async with asyncio.timeout(30):
        while site.edge.running:
            await asyncio.sleep(0.01)
    data = await asyncio.to_thread(reader.read_all)
    assert data.count(b"x") < 300_000
