"""Tests of what callers get at the end of a planned stop that is too short."""

import asyncio

import orjson
import pytest

from .edge_fixtures import KEY, open_app, open_site

CHAT = {"model": "loom-7b", "messages": [{"role": "user", "content": "hi"}]}


class SilentServer:
    """Takes requests and never answers."""

    def __init__(self):
        self.taken = 0
        self.is_ending = False

    async def __call__(self, scope, receive, send):
        self.taken += 1
        while not self.is_ending:
            await asyncio.sleep(0.01)


@pytest.fixture
async def site():
    server = SilentServer()
    async with open_app(server) as address:
        addresses = {"engine": [("e", address)], "orders-app": [("o", address)]}
        async with open_site(addresses) as site:
            site.silent = server
            yield site
            server.is_ending = True


def request(method, path, body=b"", head=()):
    lines = [f"{method} {path} HTTP/1.1", "Host: a", f"Authorization: Bearer {KEY}"]
    lines += [*head, f"Content-Length: {len(body)}"]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def end_stop(site):
    """Stop with no time left for what still runs."""
    site.view.ready = False
    site.view.shutting_down = True
    site.edge.timeouts.shorten(0.0)
    return await site.server.stop(2_000)


CALLS = {
    "model": request("POST", "/v1/chat/completions", orjson.dumps(CHAT)),
    "safe": request("GET", "/services/orders-app/stock"),
    "unsafe": request("POST", "/services/orders-app/orders", b"{}"),
    "claimed": request(
        "POST", "/services/orders-app/orders", b"{}", ["Idempotency-Key: k"]
    ),
}


@pytest.mark.parametrize("is_queued", [False, True], ids=["sent", "queued"])
@pytest.mark.parametrize("call", CALLS)
async def test_end_of_a_stop_answers_what_still_runs(site, call, is_queued):
    """Guards against a request that gets no answer, or a refusal that is not true."""
    if is_queued:
        site.dispatcher.hold = asyncio.Event()
    reader, writer = await asyncio.open_connection("127.0.0.1", site.port)
    writer.write(CALLS[call])
    async with asyncio.timeout(30):
        while not (site.dispatcher.request_infos if is_queued else site.silent.taken):
            await asyncio.sleep(0.01)
        assert await end_stop(site) == 0
        answer = await reader.read()
    # A call with a key that others may repeat promises nothing.
    status = 503 if is_queued and call != "claimed" else 504
    assert answer.startswith(b"HTTP/1.1 %d " % status), answer
    assert b"connection: close" in answer
    document = orjson.loads(answer.partition(b"\r\n\r\n")[2])
    assert document["not_run"] is (status == 503)
    assert site.edge.unfinished == 1
    writer.close()
    if is_queued:
        site.dispatcher.hold.set()


async def test_every_pipelined_request_gets_its_answer_at_a_stop(site):
    """Guards against read requests that are dropped with the answer before them."""
    reader, writer = await asyncio.open_connection("127.0.0.1", site.port)
    writer.write(CALLS["safe"] * 3)
    async with asyncio.timeout(30):
        while not site.silent.taken:
            await asyncio.sleep(0.01)
        await end_stop(site)
        answer = await reader.read()
    statuses = [part.split()[0] for part in answer.split(b"HTTP/1.1 ")[1:]]
    assert statuses == [b"504", b"503", b"503"]
    assert answer.count(b"connection: close") == 1
    writer.close()


async def test_unfinished_body_is_refused_at_the_end_of_a_stop(site):
    """Guards against a caller that does not learn that its request was not run."""
    reader, writer = await asyncio.open_connection("127.0.0.1", site.port)
    writer.write(CALLS["model"][:-2])
    async with asyncio.timeout(30):
        while not site.edge.running:
            await asyncio.sleep(0.01)
        await end_stop(site)
        assert (await reader.read()).startswith(b"HTTP/1.1 503 ")
    writer.close()
