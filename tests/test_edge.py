"""Tests of the caller-facing application: bad input, keys, limits, stopping."""

import asyncio
import json
import socket

import openai
import orjson
import pytest

from cassiamount.arrival import EdgeLimits
from cassiamount.redaction import strip_headers
from cassiamount.requests import Refusal
from cassiamount.serving import open_listener
from standins.engine import Engine
from standins.engine_options import engine_options
from standins.generation import answer_text
from standins.server import argument_parser
from standins.service import PlainService

from .edge_fixtures import KEY, OTHER_KEY, open_app, open_site

CHAT = "/v1/chat/completions"
PRELOAD = ["--preload", "loom-7b:1:1000", "--preload", "hem-check:1:10:loom-7b"]


def chat(**fields):
    message = {"role": "user", "content": "hi"}
    return {"model": "loom-7b", "messages": [message], "max_tokens": 4, **fields}


@pytest.fixture
async def site():
    engine = Engine(engine_options(["--token-ms", "1", *PRELOAD]))
    service = PlainService(service_options())
    async with open_app(engine.app()) as one, open_app(service.app()) as two:
        addresses = {"engine": [("e", one)], "orders-app": [("o", two)]}
        limits = EdgeLimits(
            head_bytes=4_000, body_bytes=5_000, body_timeout_ms=300, stall_ms=300
        )
        async with open_site(addresses, limits) as site:
            site.engine, site.service = engine, service
            yield site


def service_options():
    parser = argument_parser("service")
    parser.add_argument("--service-ms", type=float, default=0)
    return parser.parse_args([])


NESTED = b"[" * 4_000
BAD_INPUT = [
    # method, path, key, body, headers, status, code
    ("POST", CHAT, KEY, b"{", {}, 400, "invalid_json"),
    ("POST", CHAT, KEY, b"", {}, 400, "invalid_json"),
    ("POST", CHAT, KEY, NESTED, {}, 400, "invalid_json"),
    ("POST", CHAT, KEY, b'{"model": "\xff"}', {}, 400, "invalid_encoding"),
    ("POST", CHAT, KEY, b"[]", {}, 400, "invalid_request"),
    ("POST", CHAT, KEY, b"{}", {}, 400, "invalid_request"),
    ("POST", CHAT, KEY, chat(messages=[]), {}, 400, "invalid_request"),
    ("POST", CHAT, KEY, chat(messages=[{"role": 1}]), {}, 400, "invalid_request"),
    ("POST", CHAT, KEY, chat(max_tokens=0), {}, 400, "invalid_request"),
    ("POST", CHAT, KEY, chat(max_tokens=True), {}, 400, "invalid_request"),
    ("POST", CHAT, KEY, chat(stream="yes"), {}, 400, "invalid_request"),
    ("POST", "/v1/completions", KEY, {"model": "loom-7b"}, {}, 400, "invalid_request"),
    ("POST", CHAT, KEY, chat(model="none"), {}, 404, "model_not_found"),
    ("POST", CHAT, KEY, chat(model="dye-3b"), {}, 403, "model_not_allowed"),
    ("POST", CHAT, OTHER_KEY, chat(model="hem-check"), {}, 403, "model_not_allowed"),
    ("POST", CHAT, None, chat(), {}, 401, "missing_key"),
    ("POST", CHAT, "ck-wrong", chat(), {}, 401, "invalid_key"),
    ("POST", CHAT, None, chat(), {"Authorization": KEY}, 401, "invalid_key"),
    ("POST", CHAT, KEY, b" " * 5_001, {}, 413, "body_too_large"),
    ("GET", CHAT, KEY, b"", {}, 405, "method_not_allowed"),
    ("GET", "/v2/none", KEY, b"", {}, 404, "route_not_found"),
    ("GET", "/v1/models/none", KEY, b"", {}, 404, "model_not_found"),
    ("GET", "/v1/models", KEY, b"", {"X-Long": "x" * 4_000}, 431, "header_too_large"),
    ("GET", "/services/none/stock", KEY, b"", {}, 404, "route_not_found"),
    ("GET", "/services/orders-app/admin", KEY, b"", {}, 404, "route_not_found"),
    ("GET", "/services/orders-app/stockpile", KEY, b"", {}, 404, "route_not_found"),
    ("POST", "/services/orders-app/stock", KEY, b"", {}, 405, "method_not_allowed"),
    ("GET", "/services/orders-app/stock", None, b"", {}, 401, "missing_key"),
    ("GET", "/services/orders-app/stock", OTHER_KEY, b"", {}, 403, None),
    ("GET", f"/services/orders-app/stock/{KEY}", KEY, b"", {}, 400, "key_in_request"),
    ("GET", f"/services/orders-app/stock?a={KEY}", KEY, b"", {}, 400, "key_in_request"),
    (
        "POST",
        "/services/orders-app/orders",
        KEY,
        f"note {KEY}".encode(),
        {},
        400,
        "key_in_request",
    ),
    ("POST", CHAT, KEY, chat(user=KEY), {}, 400, "key_in_request"),
    ("POST", CHAT, KEY, chat(metadata={KEY: 1}), {}, 400, "key_in_request"),
    (
        "POST",
        "/services/orders-app/orders",
        KEY,
        b"",
        {"Idempotency-Key": ""},
        400,
        None,
    ),
]


@pytest.mark.parametrize(
    ("method", "path", "key", "body", "headers", "status", "code"), BAD_INPUT
)
async def test_bad_input_gets_its_error(
    site, method, path, key, body, headers, status, code
):
    """Guards against bad input that is run, not counted, or answered wrongly."""
    data = orjson.dumps(body) if isinstance(body, dict) else body
    got, _, text = await site.request(method, path, key, headers, data=data or None)
    document = orjson.loads(text)
    assert got == status
    if code is not None:
        assert document["error"]["code"] == code
    assert set(document["error"]) == {"message", "type", "code", "param"}
    assert document["not_run"] is True
    assert KEY not in text.decode()
    assert not site.engine.recorder.executions and not site.service.recorder.executions
    assert f'status="{status}"' in site.metrics.render()


@pytest.mark.parametrize(
    "path",
    [
        "/services/orders-app/stock/../admin",
        "/services/orders-app/stock/%2e%2e/admin",
        "/services/orders-app/stock/%252e%252e/admin",
        "/services/orders-app/stock%2f..%2fadmin",
        "/services/orders-app//stock",
        "/services/orders-app/stock\\..\\admin",
        "/services/orders-app/stock/..;/admin",
    ],
)
async def test_ambiguous_path_is_refused(site, path):
    """Guards against a path that the service resolves to another route."""
    answer = await raw_exchange(
        site,
        f"GET {path} HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer {KEY}\r\n\r\n",
    )
    assert answer.startswith(b"HTTP/1.1 404") or answer.startswith(b"HTTP/1.1 400")
    assert not site.service.recorder.executions


@pytest.mark.parametrize(
    ("sent", "status"),
    [
        (b"GET /" + b"x" * 100_000, 431),
        (b"GET / HTTP/1.1\r\nA: " + b"x" * 100_000, 431),
        (b"GET / HTTP/1.1\r\n" + b"a: b\r\n" * 2_000 + b"\r\n", 431),
        (b"nonsense\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nA: \xff\x00\r\n\r\n", 400),
        (
            b"POST / HTTP/1.1\r\nContent-Length: 1\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n",
            400,
        ),
    ],
)
async def test_bad_head_is_refused_before_the_application(site, sent, status):
    """Guards against heads of any size and against request smuggling."""
    answer = await raw_exchange(site, sent)
    assert answer.startswith(b"HTTP/1.1 %d " % status)
    assert b'"not_run":true' in answer


async def raw_exchange(site, sent):
    """Send bytes on a connection of their own; return the answer up to its end."""
    reader, writer = await asyncio.open_connection("127.0.0.1", site.port)
    writer.write(sent if isinstance(sent, bytes) else sent.encode())
    async with asyncio.timeout(5):
        answer = await reader.read(10_000)
    writer.close()
    return answer


async def test_slow_body_is_given_up(site):
    """Guards against a caller that holds a request open by never ending its body."""
    head = f"POST {CHAT} HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer {KEY}\r\n"
    answer = await raw_exchange(site, head + "Content-Length: 100\r\n\r\n{")
    assert answer.startswith(b"HTTP/1.1 408")
    assert site.edge.bodies.held_bytes == 0


async def test_chunked_body_is_limited(site):
    """Guards against a body without a declared length that grows past the limit."""

    async def endless():
        for _ in range(100):
            yield b" " * 1_000

    status, _, _ = await site.request("POST", CHAT, data=endless())
    assert status == 413 and site.edge.bodies.held_bytes == 0


async def test_caller_that_reads_nothing_is_dropped(site):
    """Guards against a dead caller that holds a stream and its engine for ever."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
    sock.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(sock, ("127.0.0.1", site.port))
    site.engine._options.token_ms = 0
    body = orjson.dumps(chat(stream=True, max_tokens=100_000))
    head = f"POST {CHAT} HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer {KEY}\r\n"
    await loop.sock_sendall(
        sock, f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body
    )
    async with asyncio.timeout(20):
        while not site.dispatcher.ends:
            await asyncio.sleep(0.02)
    sock.close()
    assert site.dispatcher.ends[0].outcome == "cancelled"


async def test_concurrent_requests_are_limited(site):
    """Guards against more requests in memory than the limit."""
    site.edge.limits.concurrent_requests = 1
    site.dispatcher.hold = asyncio.Event()
    first = asyncio.ensure_future(site.request("POST", CHAT, json=chat()))
    while not site.dispatcher.request_infos:
        await asyncio.sleep(0.01)
    async with asyncio.timeout(5):
        status, headers, text = await site.request("POST", CHAT, json=chat())
    assert (status, headers["Retry-After"]) == (429, "1")
    assert orjson.loads(text)["error"]["code"] == "queue_full"
    site.dispatcher.hold.set()
    assert (await first)[0] == 200


@pytest.mark.parametrize("name", ["loom-7b", "hem-check"])
@pytest.mark.parametrize("stream", [False, True])
async def test_official_client_works_unchanged(site, name, stream):
    """Guards against an answer or error that the openai client cannot read."""
    client = openai.AsyncOpenAI(
        api_key=KEY,
        base_url=site.url + "/v1",
        max_retries=0,
        _strict_response_validation=True,
    )
    assert {model.id async for model in client.models.list()} == {
        "hem-check",
        "loom-7b",
    }
    answer = await client.chat.completions.create(stream=stream, **chat(model=name))
    if stream:
        text = "".join([event.choices[0].delta.content or "" async for event in answer])
    else:
        text = answer.choices[0].message.content
    assert text == answer_text("user: hi", 4)
    plain = await client.completions.create(model=name, prompt="hi", max_tokens=2)
    assert plain.choices[0].text == answer_text("hi", 2)
    with pytest.raises(openai.NotFoundError) as caught:
        await client.chat.completions.create(**chat(model="none"))
    assert caught.value.code == "model_not_found"
    await client.close()


async def test_no_backend_server_sees_the_key(site):
    """Guards against a key that leaves the edge in a header, the query or the body."""
    headers = {"X-Api-Key": KEY, "X-Note": f"a {KEY}", "Cookie": f"k={KEY}"}
    document = {"api_key": KEY, "marker": "m"}
    status, _, text = await site.request(
        "POST",
        f"/services/orders-app/orders?key={KEY}&a=1",
        KEY,
        headers,
        json=document,
    )
    assert status == 200
    assert orjson.loads(text)["target"] == "/orders?a=1"
    sent = chat(api_key=KEY)
    assert (await site.request("POST", CHAT, KEY, headers, json=sent))[0] == 200
    escaped = json.dumps(chat(user=KEY)).replace("ck-test", "\\u0063k-test")
    status, _, _ = await site.request("POST", CHAT, data=escaped.encode())
    assert status == 400
    for recorder in (site.engine.recorder, site.service.recorder):
        assert recorder.keys_seen == [] and recorder.executions


def test_credentials_other_than_the_key_are_dropped():
    """Guards against a cookie or a proxy's credentials that reach a service."""
    names = (b"cookie", b"proxy-authorization", b"x-api-key")
    headers = [(name, b"other") for name in names]
    assert strip_headers([*headers, (b"x-note", b"1")], b"k") == [(b"x-note", b"1")]


async def test_open_route_needs_no_key(site):
    """Guards against a key that is demanded, or passed on, on an open route."""
    for key in (None, KEY, "ck-wrong"):
        assert (await site.request("GET", "/services/orders-app/hours", key))[0] == 200
    assert site.service.recorder.keys_seen == []


async def test_withdrawn_key_is_refused_on_a_connection_and_in_the_queue(site):
    """Guards against a withdrawn key that lives on with its connection or its place."""
    site.dispatcher.hold = asyncio.Event()
    queued = asyncio.ensure_future(site.request("POST", CHAT, json=chat()))
    while not site.dispatcher.request_infos:
        await asyncio.sleep(0.01)
    site.view.keys.withdraw(site.dispatcher.request_infos[0].key_hash)
    site.dispatcher.hold.set()
    status, _, text = await queued
    assert status == 401 and orjson.loads(text)["not_run"] is True
    assert (await site.request("POST", CHAT, json=chat()))[0] == 401
    assert not site.engine.recorder.executions
    assert [end.outcome for end in site.dispatcher.ends] == ["cancelled"]


async def test_refusal_of_the_dispatcher_reaches_the_caller(site):
    """Guards against a refusal that loses its status, reason or Retry-After."""
    site.dispatcher.refusal = Refusal(429, "rate_exceeded", "m", True, 2.2)
    status, headers, text = await site.request("POST", CHAT, json=chat(stream=True))
    assert (status, headers["Retry-After"]) == (429, "3")
    assert orjson.loads(text)["error"]["type"] == "rate_limit_error"


async def test_stop_cuts_off_no_request(site):
    """Guards against a planned stop that interrupts a stream or a head in transit."""
    body = orjson.dumps(chat(stream=True, max_tokens=100))
    head = f"POST {CHAT} HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer {KEY}\r\n"
    sent = f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body
    reader, writer = await asyncio.open_connection("127.0.0.1", site.port)
    writer.write(sent[:40])
    streamed = asyncio.ensure_future(
        site.request("POST", CHAT, json=chat(stream=True, max_tokens=100))
    )
    while not site.dispatcher.request_infos:
        await asyncio.sleep(0.01)
    site.view.ready = False
    stopping = asyncio.ensure_future(site.server.stop(10_000))
    await asyncio.sleep(0.2)
    writer.write(sent[40:])
    late = await reader.read()
    status, _, text = await streamed
    assert await stopping == 0
    assert status == 200 and text.endswith(b"data: [DONE]\n\n")
    assert late.startswith(b"HTTP/1.1 200") and late.endswith(
        b"[DONE]\n\n\r\n0\r\n\r\n"
    )


async def test_a_stopping_vm_refuses_with_shutting_down(site):
    """Guards against new work on a VM that is about to leave."""
    site.view.shutting_down = True
    status, headers, text = await site.request("POST", CHAT, json=chat())
    assert (status, headers["Connection"]) == (503, "close")
    assert orjson.loads(text)["error"]["code"] == "shutting_down"


async def test_pipelined_requests_get_their_own_answers(site):
    """Guards against an answer that is written into another one's place."""
    sent = b""
    for prompt in ("one", "two", "three"):
        body = orjson.dumps(
            {"model": "loom-7b", "prompt": prompt, "max_tokens": 30, "stream": True}
        )
        head = f"POST /v1/completions HTTP/1.1\r\nAuthorization: Bearer {KEY}\r\n"
        sent += f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body
    reader, writer = await asyncio.open_connection("127.0.0.1", site.port)
    writer.write(sent)
    answer = b""
    async with asyncio.timeout(10):
        while answer.count(b"[DONE]") < 3:
            answer += await reader.read(100_000)
    writer.close()
    parts = answer.split(b"HTTP/1.1 200 OK")[1:]
    for part, prompt in zip(parts, ("one", "two", "three"), strict=True):
        events = [line[6:] for line in part.split(b"\n") if line.startswith(b"data: {")]
        texts = [orjson.loads(event)["choices"][0]["text"] for event in events]
        assert "".join(texts) == answer_text(prompt, 30)


def test_listener_names_its_protocol():
    """Guards against sockets on which asyncio leaves TCP_NODELAY off."""
    with open_listener("127.0.0.1", 0) as listener:
        assert listener.proto == socket.IPPROTO_TCP
