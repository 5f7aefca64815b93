"""Tests of the stand-ins' own behaviour on which other tests rely."""

import asyncio

import aiohttp
import orjson
import pytest
import pytest_asyncio

from standins.batching import Batcher, Generation
from standins.engine_options import engine_options
from standins.faults import Recorder
from standins.generation import answer_text, block_hashes, prompt_of
from standins.prefix_cache import PrefixCache
from standins.service import answer_document
from tests.process_harness import ProcessHarness, wait_until

MODEL = ("--preload", "m:1:50")


@pytest_asyncio.fixture
async def harness(tmp_path):
    async with ProcessHarness(tmp_path) as harness:
        yield harness


async def complete(standin, http, request_id, headers=(), **body):
    """Return status, echoed request id, text and whether the stream was whole."""
    body = {"model": "m", "prompt": "p", "max_tokens": 40, **body}
    headers = {"X-Request-Id": request_id, **dict(headers)}
    url = standin.url + "/v1/completions"
    text, whole = "", False
    async with http.post(url, json=body, headers=headers) as response:
        if response.content_type == "application/json":
            document = orjson.loads(await response.read())
            choices = document.get("choices")
            text = choices[0]["text"] if choices else document["error"]["code"]
            whole = True
        else:
            try:
                async for line in response.content:
                    data = line.strip().removeprefix(b"data: ")
                    whole = data == b"[DONE]" or whole
                    if data.startswith(b"{"):
                        text += orjson.loads(data)["choices"][0]["text"]
            except aiohttp.ClientPayloadError:
                whole = False
        return response.status, response.headers.get("X-Request-Id"), text, whole


@pytest.mark.parametrize("token_ms", [0, 1])
async def test_broken_streams_resume_and_continue_without_a_seam(harness, token_ms):
    """Guards against an engine whose resumed text cannot be checked as a whole."""
    standin = await harness.start_standin("engine", "--token-ms", token_ms, *MODEL)
    answer = answer_text("p", 40)
    await standin.add_fault("broken-off", count=1, after_tokens=7)
    _, _, begun, whole = await complete(standin, harness.http, "r1", stream=True)
    assert not whole and begun == answer_text("p", 7)
    resume = {"X-Resume-Offset": "7"}
    result = await complete(standin, harness.http, "r1", resume, stream=True)
    assert result == (200, "r1", answer[len(begun) :], True)
    result = await complete(standin, harness.http, "r2", continue_from=begun)
    assert result == (200, "r2", answer[len(begun) :], True)
    result = await complete(standin, harness.http, "r3", continue_from=begun + "?")
    assert result == (400, "r3", "continuation_mismatch", True)
    executions = (await standin.executions())["executions"]
    assert executions == {"r1": 1, "r2": 1}
    exported = await standin.call("GET", "/kv/r1")
    exported["tokens"] = 3
    await standin.call("PUT", "/kv/r9", exported)
    resume = {"X-Resume-Offset": "3"}
    result = await complete(standin, harness.http, "r9", resume)
    assert result == (200, "r9", answer_text("p", 40, 3), True)


async def test_faults_of_answers(harness):
    """Guards against faults that do not do what the tests that use them assume."""
    standin = await harness.start_standin("engine", "--token-ms", 0, *MODEL)
    assert (await complete(standin, harness.http, "r0", prompt="q"))[0] == 200
    await standin.add_fault("crossed", count=1)
    result = await complete(standin, harness.http, "r1")
    assert result == (200, "r0", answer_text("q", 40), True)
    await standin.add_fault("refuse", count=1)
    assert (await complete(standin, harness.http, "r2"))[0] == 503
    result = await complete(standin, harness.http, "r3", model="other")
    assert result[2] == "model_not_resident"
    await standin.add_fault("lost-answer", count=1)
    with pytest.raises(aiohttp.ServerDisconnectedError):
        await complete(standin, harness.http, "r4")
    executions = (await standin.executions())["executions"]
    assert executions == {"r0": 1, "r1": 1, "r4": 1}


async def test_unload_waits_for_requests_and_refuses_new_ones(harness):
    """Guards against memory that is free while a request still uses it."""
    standin = await harness.start_standin("engine", "--token-ms", 2, *MODEL)
    body = {"prompt": "p", "max_tokens": 100_000, "stream": True}
    running = asyncio.create_task(complete(standin, harness.http, "r1", **body))

    async def is_running():
        return (await standin.call("GET", "/load"))["running"] == 1

    assert await wait_until(is_running)
    order = {"action": "unload_model", "name": "m", "version": "1", "fence": 1}
    await standin.call("POST", "/orders", {"order_id": "o1", **order})
    result = await complete(standin, harness.http, "r2")
    assert result[2] == "model_not_resident"
    report = await standin.call("GET", "/load")
    assert report["residents"][0]["state"] == "unloading"
    assert report["memory_used_mb"] == 50
    await standin.call("DELETE", "/requests/r1")
    assert (await running)[3]

    async def is_free():
        return (await standin.call("GET", "/load"))["memory_used_mb"] == 0

    assert await wait_until(is_free)


async def test_service_counts_and_records(harness):
    """Guards against executions or keys that the stand-in does not notice."""
    standin = await harness.start_standin("service", name="orders-app")
    url, body = standin.url + "/reorder?a=1", b'{"marker":"k1","size_bytes":9}'
    headers = {"X-Request-Id": "r1"}
    async with harness.http.post(url, data=body, headers=headers) as response:
        document = orjson.loads(await response.read())
    assert document == answer_document("orders-app", "POST", "/reorder?a=1", body)
    await standin.add_fault("broken-off", count=1)
    with pytest.raises(aiohttp.ClientPayloadError):
        async with harness.http.post(url, data=body, headers=headers) as response:
            await response.read()
    escaped = rb'{"a":"\u0063k-in-body"}'
    await (await harness.http.put(url + "&k=%63k-in-query", data=escaped)).read()
    counts = await standin.executions()
    assert (counts["executions"]["r1"], counts["markers"]) == (2, {"k1": 2})
    texts = [seen["text"] for seen in counts["keys_seen"]]
    assert texts == ["ck-in-body", "ck-in-query"]
    assert await standin.stop() == 0


def test_recorder_finds_only_keys():
    """Guards against false alarms about texts that merely contain the letters."""

    class Request:
        headers = {"x-check": "back-up luck-y", "authorization": "Bearer ck-1_A-b"}
        url = type("Url", (), {"path": "/stock-list", "query": ""})

    recorder = Recorder()
    recorder.look_for_keys(Request, b"duck-typing")
    found = [(seen["place"], seen["text"]) for seen in recorder.keys_seen]
    assert found == [("header authorization", "ck-1_A-b")]


def test_batch_order_and_prefix_cache():
    """Guards against ignored priorities and against an unlimited prefix cache."""
    options = engine_options(["--max-running", "1", "--token-ms", "0"])
    cache = PrefixCache(32, 100, 0)
    batcher = Batcher(options, cache)
    for name in ("batch", "normal", "interactive"):
        batcher.submit(Generation(name, "m", "", name * 40, 4, 0, name))
    order = []
    for _ in range(3):
        batcher._admit()
        order.append(batcher.running.pop().request_id)
    assert order == ["interactive", "normal", "batch"]
    events = cache.events_from(0)["events"]
    stored = {e["prefix_hash"] for e in events if e["action"] == "stored"}
    stored -= {e["prefix_hash"] for e in events if e["action"] == "evicted"}
    assert len(stored) == 2
    first = block_hashes("m", "batch" * 40)
    assert stored == set(first[-2:])
    assert block_hashes("m", "batch" * 39)[0] == first[0]
    assert block_hashes("n", "batch" * 40)[0] != first[0]


@pytest.mark.parametrize(
    ("body", "prompt"),
    [
        ({"prompt": ["a", "b"]}, "a\nb"),
        ({"prompt": [7, 12345]}, "   7 12345"),
        ({"messages": [{"role": "user", "content": "x"}]}, "user: x"),
        (
            {"messages": [{"role": "u", "content": [{"type": "text", "text": "y"}]}]},
            "u: y",
        ),
    ],
)
def test_prompt_forms(body, prompt):
    """Guards against prompts whose answers a test cannot compute."""
    assert prompt_of(body) == prompt
