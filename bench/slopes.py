"""Memory and processor time per item of each decision object's state.

Usage: ``python -m bench.slopes --json``
"""

import argparse
import gc
import json
import random
import statistics
import sys
import time
import tracemalloc

from bench.slope_cases import CASES

REPEATS = 5
SIZES = 4


def measure(case, size):
    """Build a state of `size` items; return bytes and microseconds per operation."""
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    operate = case.build(size, random.Random(size))
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    operate()
    started_ns = time.process_time_ns()
    rounds = 0
    while rounds < case.rounds:
        operate()
        rounds += 1
    passed_us = (time.process_time_ns() - started_ns) / 1000
    return after - before, passed_us / rounds


def slope(sizes, values):
    """Return the slope of the least-squares line."""
    mean_x = statistics.fmean(sizes)
    mean_y = statistics.fmean(values)
    spread = sum((x - mean_x) ** 2 for x in sizes)
    pairs = zip(sizes, values, strict=True)
    return sum((x - mean_x) * (y - mean_y) for x, y in pairs) / spread


def run_case(case):
    """Return fitted slopes over the sizes, as median and range over repeats."""
    sizes = [case.largest * step // SIZES for step in range(1, SIZES + 1)]
    fits = {"bytes_per_item": [], "us_per_operation_and_item": []}
    largest = []
    for _ in range(REPEATS):
        points = [measure(case, size) for size in sizes]
        fits["bytes_per_item"].append(slope(sizes, [point[0] for point in points]))
        fits["us_per_operation_and_item"].append(
            slope(sizes, [point[1] for point in points])
        )
        largest.append(points[-1])
    result = {
        "item": case.item,
        "operation": case.operation,
        "largest": case.largest,
        "bytes_at_largest": statistics.median(point[0] for point in largest),
        "us_per_operation_at_largest": statistics.median(p[1] for p in largest),
    }
    for name, values in fits.items():
        result[name] = {
            "median": statistics.median(values),
            "low": min(values),
            "high": max(values),
        }
    return result


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--only", nargs="*", default=[])
    arguments = parser.parse_args()
    results = {}
    for name, case in CASES.items():
        if arguments.only and name not in arguments.only:
            continue
        result = results[name] = run_case(case)
        memory, used = result["bytes_per_item"], result["us_per_operation_and_item"]
        print(
            f"{name}: {memory['median']:.0f} [{memory['low']:.0f}, "
            f"{memory['high']:.0f}] bytes per {result['item']}; "
            f"{result['operation']}: {result['us_per_operation_at_largest']:.1f} us at "
            f"{result['largest']}, slope {used['median']:.4g} "
            f"[{used['low']:.3g}, {used['high']:.3g}] us",
            file=sys.stderr,
            flush=True,
        )
    if arguments.json:
        print(json.dumps(results, indent=1))


if __name__ == "__main__":
    main()
