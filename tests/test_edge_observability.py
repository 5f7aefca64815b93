"""Tests of metrics, logs and spans."""

import io
import json

import pytest

from cassiamount import logs
from cassiamount.metrics import MAX_SERIES, Metrics
from cassiamount.tracing import build_tracing
from standins.engine import Engine
from standins.engine_options import engine_options

from .edge_fixtures import KEY, open_app, open_site
from .test_edge import CHAT, PRELOAD, chat

PARENT = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"


def test_metrics_have_prometheus_form():
    """Guards against output that Prometheus cannot parse, and wrong quantiles."""
    metrics = Metrics()
    metrics.count("a_total", label='x"\\\n')
    metrics.count("a_total", 2)
    metrics.gauge("running", lambda: 7)
    for value_ms in range(1, 101):
        metrics.observe_ms("wait_ms", value_ms)
    text = metrics.render()
    assert 'cassiamount_a_total{label="x\\"\\\\\\n"} 1\n' in text
    assert text.count("# TYPE cassiamount_a_total counter") == 1
    assert "cassiamount_running 7\n" in text
    assert "cassiamount_wait_ms_count 100\n" in text
    assert metrics.latency("wait_ms").quantile_ms(0.5) == pytest.approx(50, rel=0.02)


def test_number_of_series_is_limited():
    """Guards against labels that fill the memory."""
    metrics = Metrics()
    for number in range(MAX_SERIES * 2):
        metrics.count("a_total", label=number)
        metrics.observe_ms("a_ms", 1, label=number)
    assert metrics.render().count("\n") < MAX_SERIES * 9


def test_logs_are_json_lines_without_keys():
    """Guards against a key in the logs, by field name or inside a text."""
    stream = io.StringIO()
    log = logs.configure_logs(stream=stream, vm="vm-1")
    log.info(
        "a", request_id="r", api_key=KEY, text=f"Bearer {KEY} x", other=f"sent {KEY}"
    )
    log.debug("not written")
    (line,) = stream.getvalue().splitlines()
    assert json.loads(line)["request_id"] == "r" and json.loads(line)["vm"] == "vm-1"
    assert KEY not in line


@pytest.mark.parametrize("parent", [None, PARENT, "00-nonsense"])
async def test_each_hop_has_a_span(tmp_path, parent):
    """Guards against lost spans, a broken parent chain, and keys in spans."""
    path = tmp_path / "spans.jsonl"
    tracing = build_tracing("file", "vm-1", str(path))
    seen = []
    engine = Engine(engine_options(["--token-ms", "0", *PRELOAD]))
    look = engine.recorder.look_for_keys
    engine.recorder.look_for_keys = lambda request, body: (
        seen.append(request.headers.get("traceparent")),
        look(request, body),
    )
    headers = {"traceparent": parent} if parent else {}
    async with open_app(engine.app()) as address:
        async with open_site({"engine": [("e", address)]}, tracing=tracing) as site:
            status, _, _ = await site.request("POST", CHAT, KEY, headers, json=chat())
            assert status == 200
    tracing.shutdown()
    text = path.read_text()
    spans = {span["name"]: span for span in map(json.loads, text.splitlines())}
    assert set(spans) == {"edge", "queue", "backend"}
    edge, backend = spans["edge"], spans["backend"]
    assert spans["queue"]["parent_id"] == backend["parent_id"] == edge["span_id"]
    assert edge["parent_id"] == (PARENT.split("-")[2] if parent == PARENT else None)
    assert seen[0].split("-")[1:3] == [backend["trace_id"], backend["span_id"]]
    assert backend["attributes"]["outcome"] == "done" and KEY not in text


async def test_traceparent_is_passed_on_without_tracing():
    """Guards against a trace that ends at a VM that records nothing."""
    trace = build_tracing("none", "vm-1").request(
        [(b"traceparent", PARENT.encode())], "r"
    )
    assert trace.traceparent() == PARENT
    assert trace.end(trace.begin("edge")) is None
