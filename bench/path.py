"""What the path from caller to engine costs: python -m bench.path --json.

Compares, in one run, the engine asked directly, a bare relay (the least program that
passes a stream on) and the edge. Each of them is one single-threaded process, so it
has one core at most.
"""

import argparse
import json
import os
import subprocess
import sys
import threading

ENGINES = 2
LOADS = 2
TOKENS = 64
TOKEN_MS = 10
# Streams at once in the closed loop; far more than one core can follow.
SATURATION_STREAMS = 600
HALVES = 3
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_MB = os.sysconf("SC_PAGE_SIZE") / 1e6
# Growth of the resident memory that is accepted between the 20,000th request, when
# pools and caches are filled, and the last one.
SOAK_GROWTH_LIMIT_MB = 8.0


class Process:
    """A child process of the benchmark."""

    def __init__(self, role, engines=()):
        arguments = [sys.executable, "-m", "bench.path_processes", role]
        for address in engines:
            arguments += ["--engine", address]
        self.child = subprocess.Popen(
            arguments, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
        )
        self.port = None if role == "load" else self.read()["port"]

    def read(self):
        line = self.child.stdout.readline()
        if not line:
            raise RuntimeError(f"process {self.child.args} ended early")
        return json.loads(line)

    def write(self, value):
        self.child.stdin.write(json.dumps(value) + "\n")
        self.child.stdin.flush()

    def cpu_s(self):
        with open(f"/proc/{self.child.pid}/stat") as file:
            fields = file.read().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / TICKS_PER_S

    def memory_mb(self):
        with open(f"/proc/{self.child.pid}/statm") as file:
            return int(file.read().split()[1]) * PAGE_MB

    def stop(self):
        self.child.terminate()
        self.child.wait(10)


class Bench:
    """Runs measurements against one target at a time."""

    def __init__(self):
        self.engines = [Process("engine") for _ in range(ENGINES)]
        addresses = [f"127.0.0.1:{engine.port}" for engine in self.engines]
        self.targets = {
            "direct": None,
            "bare": Process("bare", addresses),
            "edge": Process("edge", addresses),
        }
        self.loads = [Process("load") for _ in range(LOADS)]

    def stop(self):
        for process in [*self.engines, *self.loads, *self.targets.values()]:
            if process is not None:
                process.stop()

    def measure(self, target, seconds, **spec):
        """Run one load against a target; return the merged result."""
        process = self.targets[target]
        for number, load in enumerate(self.loads):
            port = self.engines[number].port if process is None else process.port
            share = dict(spec, port=port, seconds=seconds, random_seed=number)
            for name in ("concurrency", "rate", "requests"):
                if name in share:
                    share[name] /= LOADS
                    if name != "rate":
                        share[name] = int(share[name])
            load.write(share)
        for load in self.loads:
            load.read()
        before_s = 0.0 if process is None else process.cpu_s()
        results = [None] * LOADS

        def collect(number):
            results[number] = self.loads[number].read()

        threads = [
            threading.Thread(target=collect, args=(number,)) for number in range(LOADS)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        cpu_s = None if process is None else process.cpu_s() - before_s
        return merged(results, cpu_s)


def merged(results, cpu_s):
    first_ms = sorted(value for result in results for value in result["first_ms"])
    seconds = max(result["seconds"] for result in results)
    tokens = sum(result["tokens"] for result in results)
    requests = sum(result["requests"] for result in results)
    return {
        "tokens_per_s": tokens / seconds,
        "requests_per_s": requests / seconds,
        "requests": requests,
        "errors": sum(result["errors"] for result in results),
        "first_p50_ms": quantile(first_ms, 0.5),
        "first_p99_ms": quantile(first_ms, 0.99),
        "samples": len(first_ms),
        "cpu_s": cpu_s,
        # Includes the streams that were still running at the end of the window.
        "cpu_us_per_request": cpu_s and cpu_s * 1e6 / max(1, requests),
        "cpu_share": cpu_s and cpu_s / seconds,
    }


def quantile(values, share):
    return values[min(len(values) - 1, int(len(values) * share))] if values else None


def run(seconds):
    bench = Bench()
    try:
        return measure_all(bench, seconds)
    finally:
        bench.stop()


def measure_all(bench, seconds):
    report = {"tokens": TOKENS, "token_ms": TOKEN_MS, "saturation": {}, "rates": []}
    full = {"tokens": TOKENS, "token_ms": TOKEN_MS}
    for target in ("bare", "edge", "bare", "edge"):
        result = bench.measure(target, seconds, concurrency=SATURATION_STREAMS, **full)
        report["saturation"].setdefault(target, []).append(result)
    best = {
        target: max(result["tokens_per_s"] for result in results)
        for target, results in report["saturation"].items()
    }
    report["saturation_tokens_per_s"] = best
    report["saturation_ratio"] = best["edge"] / best["bare"]
    whole_rate = min(best.values()) / TOKENS
    for share in (0.25, 0.5, 0.75):
        rounds = HALVES if share == 0.5 else 1
        results = {"direct": [], "bare": [], "edge": []}
        for _ in range(rounds):
            for target, found in results.items():
                found.append(
                    bench.measure(target, seconds, rate=share * whole_rate, **full)
                )
        report["rates"].append(rate_row(share, whole_rate, results))
    # The same request rate with 1 token and with many separates the two costs.
    rate = 0.25 * whole_rate
    report["cpu"] = {}
    for target in ("bare", "edge"):
        few = bench.measure(target, seconds, rate=rate, tokens=1, token_ms=0)
        many = bench.measure(target, seconds, rate=rate, **full)
        per_token = (many["cpu_us_per_request"] - few["cpu_us_per_request"]) / (
            TOKENS - 1
        )
        report["cpu"][target] = {
            "us_per_request": few["cpu_us_per_request"],
            "us_per_token": per_token,
        }
    half = next(row for row in report["rates"] if row["share"] == 0.5)
    report["targets"] = {
        "saturation_ratio >= 0.8": report["saturation_ratio"] >= 0.8,
        "added p50 ratio <= 1.5": half["added_ratio_p50"] <= 1.5,
        "added p99 ratio <= 1.5": half["added_ratio_p99"] <= 1.5,
    }
    return report


def rate_row(share, whole_rate, results):
    """Return the added time to the first token; the median of the rounds."""
    row = {"share": share, "requests_per_s": share * whole_rate, "errors": 0}
    middle = {}
    for target, rounds in results.items():
        row["errors"] += sum(result["errors"] for result in rounds)
        for name in ("first_p50_ms", "first_p99_ms"):
            values = sorted(result[name] for result in rounds)
            middle[target, name] = values[len(values) // 2]
            row[f"{target}_{name}"] = middle[target, name]
    for part in ("p50", "p99"):
        name = f"first_{part}_ms"
        added = {
            target: middle[target, name] - middle["direct", name]
            for target in ("bare", "edge")
        }
        for target, value in added.items():
            row[f"{target}_added_{part}_ms"] = value
        row[f"added_ratio_{part}"] = added["edge"] / added["bare"]
    return row


def soak(requests):
    """Send many requests through the edge and watch its memory."""
    bench = Bench()
    edge = bench.targets["edge"]
    try:
        samples = []
        step = requests // 10
        errors = 0
        for number in range(1, 11):
            result = bench.measure(
                "edge", 600, concurrency=64, requests=step, tokens=2, token_ms=0
            )
            errors += result["errors"]
            samples.append(
                {"requests": number * step, "memory_mb": round(edge.memory_mb(), 1)}
            )
        growth_mb = samples[-1]["memory_mb"] - samples[1]["memory_mb"]
        return {
            "samples": samples,
            "errors": errors,
            "growth_mb": growth_mb,
            "within_limit": growth_mb <= SOAK_GROWTH_LIMIT_MB,
        }
    finally:
        bench.stop()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--json", action="store_true", help="print JSON")
    parser.add_argument(
        "--seconds", type=float, default=6.0, help="of each measurement"
    )
    parser.add_argument("--soak", action="store_true", help="check the memory instead")
    parser.add_argument("--requests", type=int, default=100_000, help="of the soak")
    options = parser.parse_args()
    report = soak(options.requests) if options.soak else run(options.seconds)
    if options.json:
        print(json.dumps(report, indent=1))
        return
    for name, value in report.items():
        print(f"{name}: {json.dumps(value)}")


if __name__ == "__main__":
    main()
