"""Measures admission, routing, placement and ledger against baselines.

Usage: ``python -m bench.decisions --deployment netcraft --seed 1 --json``
"""

import argparse
import json
import random
import statistics
import sys
from pathlib import Path

from bench.deployments import DEPLOYMENTS, ENGINES, demand
from bench.optimum import bounds
from bench.report import write_report
from bench.world import Failures, Policies, World

CHOSEN = ("demand", "wait", "fair")
# Name of the row -> placement, routing, admission.
ROWS = {
    "chosen": CHOSEN,
    "placement static": ("static", "wait", "fair"),
    "placement lru": ("lru", "wait", "fair"),
    "routing random": ("demand", "random", "fair"),
    "routing round robin": ("demand", "round-robin", "fair"),
    "routing least load": ("demand", "least-load", "fair"),
    "routing two choices": ("demand", "two-choices", "fair"),
    "routing prefix": ("demand", "prefix", "fair"),
    "admission fifo": ("demand", "wait", "fifo"),
    "admission limit": ("demand", "wait", "limit"),
    "static + least load + fifo": ("static", "least-load", "fifo"),
    "static + two choices + fifo": ("static", "two-choices", "fifo"),
    "lru + least load + fifo": ("lru", "least-load", "fifo"),
    "lru + two choices + limit": ("lru", "two-choices", "limit"),
}
OVERLOADS = (1.0, 2.0, 5.0)
OVERLOAD_ROWS = ("chosen", "admission fifo", "admission limit")
OVERLOAD_MS = (20_000.0, 40_000.0)


def failure_rows(duration_ms):
    """Return the failure runs of the chosen policy."""
    third_ms = duration_ms / 3
    return {
        "zone cut off": Failures(cut_ms=(third_ms, 2 * third_ms)),
        "owner dies": Failures(owner_ms=third_ms),
        "orders lost and late, engines restart": Failures(
            0.1, 0.1, crash_ms=(third_ms, 2 * third_ms)
        ),
    }


def run_once(deployment, policies, failures, seed, duration_ms):
    """Return the figures of one run."""
    offers = demand(random.Random(seed), duration_ms)
    world = World(deployment, Policies(*policies), failures, seed)
    return world.run(offers, duration_ms).figures(ENGINES)


def overload_once(deployment, policies, seed, load, duration_ms):
    """Return how retrying callers fare during and after an overload."""
    offers = demand(random.Random(seed), duration_ms, load, OVERLOAD_MS)
    world = World(deployment, Policies(*policies), Failures(), seed, retrying=True)
    tally = world.run(offers, duration_ms)
    figures = tally.figures(ENGINES)
    during = range(int(OVERLOAD_MS[0] / 1000), int(OVERLOAD_MS[1] / 1000))
    met = sum(tally.by_second[second]["met"] for second in during) / len(during)
    return {
        "met_per_s": met,
        "recovery_s": recovery_s(tally),
        "worst_team": figures["worst_team"],
        "overspent_tokens": figures["overspent_tokens"],
        "broken_invariants": figures["broken_invariants"],
    }


def recovery_s(tally):
    """Return the time after the overload until nine tenths of its former share is met.

    Shares are taken over five seconds.
    """

    def share(second):
        seconds = range(second, second + 5)
        offered = sum(tally.by_second[s]["offered"] for s in seconds)
        return sum(tally.by_second[s]["met"] for s in seconds) / max(1, offered)

    start, end = (int(at_ms / 1000) for at_ms in OVERLOAD_MS)
    before = statistics.mean(share(second) for second in range(start - 15, start - 5))
    last = max(tally.by_second)
    for second in range(end, last - 4):
        if share(second) >= 0.9 * before:
            return second - end
    return float("inf")


def summarise(runs):
    """Return median and range of each figure."""
    return {
        name: {
            "median": statistics.median(run[name] for run in runs),
            "low": min(run[name] for run in runs),
            "high": max(run[name] for run in runs),
        }
        for name in runs[0]
    }


def measure(deployment, seeds, duration_ms, groups, rows, progress):
    """Run everything; return rows of summaries by group.

    Only rows whose names contain one of `rows` are run, all if it is empty. A row's
    figures depend on its seeds alone, so rows of several runs can be compared.
    """
    result = {"policies": {}, "failures": {}, "overload": {}, "optimum": {}}

    def row(group, name, runs):
        result[group][name] = summarise(runs)
        progress(group, name, result[group][name])

    def wanted(names):
        return [n for n in names if not rows or any(part in n for part in rows)]

    if "policies" in groups:
        for name in wanted(ROWS):
            policies = ROWS[name]
            runs = [
                run_once(deployment, policies, Failures(), seed, duration_ms)
                for seed in seeds
            ]
            row("policies", name, runs)
    if "failures" in groups:
        for name in wanted(failure_rows(duration_ms)):
            failures = failure_rows(duration_ms)[name]
            runs = [
                run_once(deployment, CHOSEN, failures, seed, duration_ms)
                for seed in seeds
            ]
            row("failures", name, runs)
    if "overload" in groups:
        for name in wanted(OVERLOAD_ROWS):
            for load in OVERLOADS:
                runs = [
                    overload_once(deployment, ROWS[name], seed, load, duration_ms)
                    for seed in seeds
                ]
                row("overload", f"{name}, {load:g}x", runs)
    if "optimum" in groups:
        row("optimum", "small cases", [bounds(seed) for seed in seeds])
    return result


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--deployment", choices=sorted(DEPLOYMENTS), required=True)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--seconds", type=float, default=80.0)
    parser.add_argument(
        "--groups", nargs="+", default=["policies", "failures", "overload", "optimum"]
    )
    parser.add_argument("--rows", nargs="+", default=[])
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--report", type=Path)
    arguments = parser.parse_args()
    seeds = range(arguments.seed, arguments.seed + arguments.seeds)

    def progress(group, name, summary):
        figures = ", ".join(
            f"{key} {f['median']:.4g} [{f['low']:.4g}, {f['high']:.4g}]"
            for key, f in summary.items()
        )
        print(f"{group}: {name}: {figures}", file=sys.stderr, flush=True)

    result = measure(
        arguments.deployment,
        seeds,
        arguments.seconds * 1000,
        arguments.groups,
        arguments.rows,
        progress,
    )
    result["deployment"] = arguments.deployment
    result["seeds"] = list(seeds)
    if arguments.json:
        print(json.dumps(result, indent=1))
    if arguments.report:
        write_report(result, arguments.report)
    failed = any(
        row[name]["high"] > 0
        for group in ("policies", "failures", "overload")
        for row in result[group].values()
        for name in ("overspent_tokens", "broken_invariants")
    )
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
