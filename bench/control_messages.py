"""Cost of single control messages at the size of two years.

``python -m bench.control_messages --json`` measures in one process: the size of a
configuration and the time to apply it, a grant through gRPC, and a read of the log.
"""

import argparse
import asyncio
import json
import socket
import statistics
import time
import tracemalloc

import orjson
from aiohttp import web

from cassiamount.budget_messages import Grant, TokenRequest
from cassiamount.clock import SystemClock
from cassiamount.config_state import ConfigState
from cassiamount.log_client import HttpLogClient
from cassiamount.peer_client import PeerClient
from cassiamount.peer_service import PeerHandlers, make_server
from cassiamount.records import PublishConfiguration

MODELS, ADAPTERS, BACKENDS, TEAMS, ZONES = 280, 1_120, 600, 70, 9
CALLS = 2_000
ROUNDS = 5


def document():
    """Return a configuration at the size of two years."""
    zones = [f"region-{n // 3}-{'abc'[n % 3]}" for n in range(ZONES)]
    models = [f"model-{n}" for n in range(MODELS)]
    return {
        "zones": [{"name": name, "weight": 1} for name in zones],
        "models": [
            {"name": name, "version": "1", "memory_mb": 16_000, "load_ms": 4_000}
            for name in models
        ],
        "adapters": [
            {
                "name": f"adapter-{n}",
                "base": models[n % MODELS],
                "version": "1",
                "memory_mb": 80,
            }
            for n in range(ADAPTERS)
        ],
        "backends": [
            {
                "name": f"engine-{n}",
                "zone": zones[n % ZONES],
                "address": f"10.0.{n // 250}.{n % 250 + 1}:9000",
                "kind": "engine",
                "memory_mb": 320_000,
                "accelerators": 8,
                "max_running": 64,
                "checks_fence": True,
            }
            for n in range(BACKENDS)
        ],
        "services": [],
        "policy": {"attainment_weight": 1.0, "fairness_weight": 1.0},
        "templates": [
            {
                "name": "standard",
                "parameters": {"models": {"type": "array"}},
                "team": {
                    "models": {"$param": "models"},
                    "adapters": [],
                    "services": [],
                    "rate_tokens_per_s": 40_000,
                    "burst_tokens": 400_000,
                    "priority": "normal",
                    "keys": [],
                },
            }
        ],
        "teams": [
            {
                "name": f"team-{n}",
                "template": "standard",
                "parameters": {
                    "models": [models[(n * 4 + i) % MODELS] for i in range(4)]
                },
            }
            for n in range(TEAMS)
        ],
    }


def apply_times():
    """Return the milliseconds to apply the first publish and a changed one."""
    first, changed = [], []
    for number in range(ROUNDS):
        fold = ConfigState()
        value = document()
        value["teams"][0]["parameters"]["models"] = [f"model-{number}"]
        started = time.process_time()
        fold.apply(0, PublishConfiguration("a", "operator", 0, value))
        first.append((time.process_time() - started) * 1000)
        assert fold.version == 1, list(fold.rejections)
        value = json.loads(json.dumps(value))
        value["backends"][0]["max_running"] = 32 + number
        started = time.process_time()
        fold.apply(1, PublishConfiguration("b", "operator", 1, value))
        changed.append((time.process_time() - started) * 1000)
        assert fold.version == 2
    return first, changed


def config_memory_mb():
    """Return the memory of the fold of one configuration."""
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    fold = ConfigState()
    fold.apply(0, PublishConfiguration("m", "operator", 0, document()))
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert fold.version == 1
    return round((after - before) / 1e6, 2)


class Lender(PeerHandlers):
    """Grants whatever is asked for."""

    async def grant(self, holder, asks, forwarded):
        return {ask.team: Grant("z/0/1/1", ask.want_tokens, 0.0, 500.0) for ask in asks}


async def grant_calls(teams):
    """Return the microseconds of processor time of a grant call, both ends."""
    server, port = make_server(Lender(), "127.0.0.1:0")
    await server.start()
    client = PeerClient(SystemClock())
    asks = [TokenRequest(f"team-{n}", 100, 1) for n in range(teams)]
    times = []
    for _ in range(ROUNDS):
        started = time.process_time()
        for _ in range(CALLS // ROUNDS):
            await client.grant(f"127.0.0.1:{port}", "vm@1", asks)
        times.append((time.process_time() - started) / (CALLS // ROUNDS) * 1e6)
    await client.close()
    await server.stop(0)
    return times


async def log_reads():
    """Return the microseconds of processor time of an empty read, both ends."""
    body = orjson.dumps({"records": [], "earliest": 0, "next": 0})

    async def handle(request):
        return web.Response(body=body, content_type="application/json")

    application = web.Application()
    application.router.add_get("/streams/{name}/records", handle)
    runner = web.AppRunner(application, access_log=None)
    await runner.setup()
    listener = socket.create_server(("127.0.0.1", 0))
    await web.SockSite(runner, listener).start()
    client = HttpLogClient(f"http://127.0.0.1:{listener.getsockname()[1]}")
    times = []
    for _ in range(ROUNDS):
        started = time.process_time()
        for _ in range(CALLS // ROUNDS):
            await client.read("zone-a", 0, 500)
        times.append((time.process_time() - started) / (CALLS // ROUNDS) * 1e6)
    await client.close()
    await runner.cleanup()
    return times


def spread(values):
    """Return median and range."""
    return {
        "median": round(statistics.median(values), 1),
        "min": round(min(values), 1),
        "max": round(max(values), 1),
    }


def main():
    """Measure and print."""
    parser = argparse.ArgumentParser(prog="bench.control_messages", description=__doc__)
    parser.add_argument("--json", action="store_true", help="print JSON")
    parser.parse_args()
    first, changed = apply_times()
    results = {
        "document_kb": round(len(orjson.dumps(document())) / 1000, 1),
        "config_memory_mb": config_memory_mb(),
        "apply_first_ms": spread(first),
        "apply_changed_ms": spread(changed),
        "grant_call_us": {
            str(teams): spread(asyncio.run(grant_calls(teams))) for teams in (1, 10, 70)
        },
        "log_read_us": spread(asyncio.run(log_reads())),
    }
    print(json.dumps(results, indent=2))


if __name__ == "__main__":
    main()
