"""Long randomised run of the coordination: ``python -m tests.longrun --seed 1``."""

import argparse
import asyncio
import itertools
import json
import operator
import random
import sys
from collections import Counter

import structlog
import xxhash

from cassiamount import invariants
from cassiamount.keys import hash_key
from cassiamount.records import (
    GiveKey,
    PublishConfiguration,
    ReleaseLease,
    WithdrawKey,
    encode_record,
)

from .machines.virtual import FakeLog, FakeVmList, Faults, VirtualLoop
from .machines.world import ZONES, Vm, vm_names

STEP_S = 0.1
TEAMS = {"t0": (600, 900), "t1": (200, 600)}
# Charges are settled within this time, so older ones are final.
FINAL_AFTER_MS = 60_000.0
HEAL_STEPS = 300
COMBINED = ("log-outage", "pause", "death", "zone-cut", "holder-cut", "loss")


def document(burst_change=0):
    """Return a configuration."""
    return {
        "zones": [{"name": zone, "weight": 1} for zone in ZONES],
        "models": [],
        "backends": [],
        "teams": [
            {"name": name, "rate_tokens_per_s": rate, "burst_tokens": burst}
            for name, (rate, burst) in TEAMS.items()
        ],
        "policy": {"attainment_weight": 1.0 + burst_change, "fairness_weight": 1.0},
    }


class Charges:
    """Independent check of one team's charges over every interval."""

    def __init__(self, rate_tokens_per_s, burst_tokens):
        self.rate_tokens_per_ms = rate_tokens_per_s / 1000
        self.burst_tokens = burst_tokens
        self.entries = []
        self._excess = 0.0
        self._until_ms = 0.0

    def highest(self, now_ms):
        """Return the highest excess over rate x interval; fix what is final."""
        excess, until_ms, highest = self._excess, self._until_ms, self._excess
        final = 0
        for at_ms, tokens in self.entries:
            excess = max(0.0, excess - self.rate_tokens_per_ms * (at_ms - until_ms))
            excess, until_ms = excess + tokens, at_ms
            highest = max(highest, excess)
            if at_ms < now_ms - FINAL_AFTER_MS:
                self._excess, self._until_ms = excess, until_ms
                final += 1
        del self.entries[:final]
        return highest


class World:
    """The run: VMs, faults and checks."""

    def __init__(self, loop, seed):
        self.loop = loop
        self.rng = random.Random(seed)
        self.faults = Faults(random.Random(seed + 1))
        self.log = FakeLog(self.faults)
        self.vm_list = FakeVmList(loop)
        self.checks = {}
        self.breaches = []
        self.charges = {team: Charges(*limits) for team, limits in TEAMS.items()}
        self.outcomes = {"served": 0, "refused": 0, "executed": 0}
        self.runs = {}
        self.vms = {}
        self.by_address = {}
        self.incarnations = itertools.count(1)
        self.ids = itertools.count(1)
        self.ends = []
        self.withdrawn = []

    # Checks.

    def check(self, name, left, relation, right):
        self.checks[name] = self.checks.get(name, 0) + 1
        compare = {">=": operator.ge, "<=": operator.le, "==": operator.eq}[relation]
        if not compare(left, right):
            self.breach(name, f"{left!r} {relation} {right!r}")

    def breach(self, name, detail):
        self.breaches.append(f"{self.loop.true_ms:.0f} ms {name}: {detail}"[:300])

    def charged(self, team, tokens):
        entry = [self.loop.true_ms, tokens]
        self.charges[team].entries.append(entry)
        return entry

    def executed(self, key):
        self.runs[key] = self.runs.get(key, 0) + 1
        self.outcomes["executed"] += 1
        self.check("at-most-once", self.runs[key], "<=", 1)

    def check_leases(self):
        users = {}
        for vm in self.vms.values():
            for lease in ("budget/0", "budget/1", "placement"):
                if vm.coordinator.lease(lease).may_use(vm.clock.monotonic_ms()):
                    users.setdefault((vm.zone, lease), []).append(vm.identity)
        for place, names in users.items():
            self.check("one-user-of-a-lease", (place, len(names)), "<=", (place, 1))

    def check_folds(self):
        digests = {}
        for vm in self.vms.values():
            for follower in (vm.config, vm.zone_follower, vm.claims):
                fold = follower.fold
                place = (follower.stream, fold.next_offset)
                known = digests.setdefault(place, fold.digest())
                self.check("same-fold-everywhere", fold.digest(), "==", known)
        for team, charges in self.charges.items():
            highest = charges.highest(self.loop.true_ms)
            self.check("budget-not-exceeded", highest, "<=", charges.burst_tokens + 0.1)
            assert team
        for vm in self.vms.values():
            for offset, key_hash in self.withdrawn:
                if vm.config.fold.next_offset > offset:
                    team = vm.config.fold.keys.team_of_hash(key_hash)
                    self.check("withdrawn-key-refused", team, "==", None)

    # VMs.

    def boot(self, name, zone):
        vm = Vm(self, name, zone, next(self.incarnations))
        self.vms[name] = vm
        self.by_address[vm.address] = vm
        vm.start()
        self.list_vms()
        return vm

    def list_vms(self):
        entries = [
            (vm.name, vm.zone, vm.address, "entry", "live") for vm in self.vms.values()
        ]
        entries.append(("engine", "za", "engine:1", "backend", "leaving"))
        self.vm_list.publish(entries)

    async def kill(self, vm):
        self.faults.dead.add(vm.identity)
        self.faults.paused.discard(vm.identity)
        self.vms.pop(vm.name, None)
        self.list_vms()
        await vm.stop()

    def later(self, seconds, undo):
        self.ends.append((self.loop.true_ms + seconds * 1000, undo))

    def any_vm(self):
        return self.rng.choice(sorted(self.vms.values(), key=lambda vm: vm.name))

    def holder(self):
        """Return a VM that holds a budget lease, or any VM."""
        holders = [
            vm
            for vm in self.vms.values()
            if vm.coordinator.lease("budget/0").holder is not None
        ]
        return self.rng.choice(holders) if holders else self.any_vm()

    # Faults.

    async def fault(self, kind):
        rng, faults = self.rng, self.faults
        faults.count(kind)
        if kind == "log-outage":
            faults.log_up = False
            self.later(rng.choice((2, 8, 30)), lambda: setattr(faults, "log_up", True))
        elif kind == "holder-cut":
            holder = self.holder()
            zone = [vm.identity for vm in self.vms.values() if vm.zone == holder.zone]
            # Sometimes with another VM, which may promise while the third one claims.
            cut = {holder.identity, rng.choice(zone)}
            faults.cut_from_log |= cut
            undo = faults.cut_from_log.difference_update
            self.later(rng.choice((2, 6, 12)), lambda: undo(cut))
        elif kind == "zone-cut":
            zone = rng.choice(ZONES)
            faults.cut_zones.add(zone)
            undo = faults.cut_zones.discard
            self.later(rng.choice((3, 10)), lambda: undo(zone))
        elif kind == "pause":
            identity = rng.choice((self.holder, self.any_vm))().identity
            faults.paused.add(identity)
            undo = faults.paused.discard
            self.later(rng.choice((1, 4.1, 9)), lambda: undo(identity))
        elif kind == "loss":
            faults.loss, faults.delay_ms = 0.2, rng.choice((1.0, 60.0))
            self.later(rng.choice((3, 10)), self.calm)
        elif len(self.vms) > 5:
            vm = rng.choice((self.holder, self.any_vm))()
            if kind == "leave" and vm.running:
                await vm.coordinator.leave()
            await self.kill(vm)
            self.later(rng.choice((0.5, 6)), lambda: self.boot(vm.name, vm.zone))

    def calm(self):
        self.faults.loss, self.faults.delay_ms = 0.0, 1.0

    def heal(self):
        self.faults.log_up = True
        self.faults.cut_from_log.clear()
        self.faults.cut_zones.clear()
        self.faults.paused.clear()
        self.calm()
        while self.ends:
            self.ends.pop()[1]()

    # Load and operators.

    def operator_writes(self, record, stream="config"):
        values = self.log.streams.setdefault(stream, [])
        values.append(encode_record(record))
        return len(values) - 1

    def new_id(self):
        return f"operator#{next(self.ids)}"

    def operate(self):
        kind = self.rng.choice(("race", "key", "key"))
        version = max(vm.config.fold.version for vm in self.vms.values())
        self.faults.count(f"operator-{kind}")
        if kind == "race":
            for change in (0, 1):
                self.operator_writes(
                    PublishConfiguration(
                        self.new_id(), "operator", version, document(change)
                    )
                )
            return
        key_hash = hash_key(f"cm-key-{next(self.ids)}")
        self.operator_writes(GiveKey(self.new_id(), "operator", "t0", key_hash))
        offset = self.operator_writes(WithdrawKey(self.new_id(), "operator", key_hash))
        self.withdrawn.append((offset, key_hash))
        del self.withdrawn[:-20]

    def load(self, skew, intensity):
        vms = sorted(self.vms.values(), key=lambda vm: vm.name)
        for team, (rate, _) in TEAMS.items():
            for _ in range(intensity):
                vm = vms[0] if self.rng.random() < skew else self.rng.choice(vms)
                tokens = self.rng.choice((10, 30, 80)) * rate // 400
                used = self.rng.randint(0, tokens)
                vm.job(self.request(vm, team, tokens, used, self.rng.choice((20, 900))))

    async def request(self, vm, *arguments):
        served = await vm.request(*arguments)
        self.outcomes["served" if served else "refused"] += 1

    def claim_twice(self):
        key = f"key-{next(self.ids)}"
        for _ in range(2):
            vm = self.any_vm()
            vm.job(vm.claim_and_run(key, f"r{next(self.ids)}"))

    # The run.

    async def run(self, steps):
        self.operator_writes(
            PublishConfiguration(self.new_id(), "operator", 0, document())
        )
        for name, zone in vm_names():
            self.boot(name, zone)
        skew, intensity = 0.0, 3
        combined = ()
        for step in range(steps):
            if step > 100:
                if self.rng.random() < 0.015:
                    await self.fault(
                        self.rng.choice(("leave", "death", *COMBINED, "loss", "pause"))
                    )
                if step % 400 == 200:
                    combined = self.rng.sample(COMBINED, 3)
                if step % 400 in (200, 250):
                    # Together, and a second time before the first has healed.
                    for kind in combined:
                        await self.fault(kind)
                    self.faults.count("combined")
            await self.step(step, skew, intensity)
            if step % 50 == 0:
                # Idle times fill the buckets, so that an overspend shows.
                skew = self.rng.choice((0.0, 0.7))
                intensity = self.rng.choice((0, 1, 10))
                self.faults.count("demand-shift")
        self.heal()
        for step in range(HEAL_STEPS):
            await self.step(step, 0.0, 1)
            if step == HEAL_STEPS // 2:
                self.release_stuck_leases()
        self.check_recovery()
        for vm in self.vms.values():
            await vm.stop()

    async def step(self, step, skew, intensity):
        await asyncio.sleep(STEP_S)
        for end in [e for e in self.ends if e[0] <= self.loop.true_ms]:
            self.ends.remove(end)
            end[1]()
        self.load(skew, intensity)
        self.check_leases()
        if step % 10 == 0:
            self.claim_twice()
        if step % 50 == 0:
            self.operate()
        if step % 25 == 0:
            self.check_folds()

    def release_stuck_leases(self):
        """Act as the operator after all VMs of a roster have gone."""
        for vm in sorted(self.vms.values(), key=lambda vm: vm.name):
            for name, lease in vm.fold.leases.items():
                gone = lease.holder not in vm.fold.roster()
                record = ReleaseLease(self.new_id(), "operator", name, lease.fence)
                if gone and not lease.released:
                    self.faults.count("operator-release")
                    self.operator_writes(record, f"zone-{vm.zone}")

    def check_recovery(self):
        for zone in ZONES:
            for lease in ("budget/0", "budget/1"):
                users = [
                    vm
                    for vm in self.vms.values()
                    if vm.zone == zone
                    and vm.coordinator.lease(lease).may_use(vm.clock.monotonic_ms())
                ]
                self.check("budget-recovers", len(users), "==", 1)

    def result(self):
        state = [
            [vm.identity, vm.fold.digest(), vm.config.fold.digest()]
            for vm in sorted(self.vms.values(), key=lambda vm: vm.name)
        ]
        state.append([self.outcomes, self.faults.counts, self.checks])
        text = json.dumps(state, sort_keys=True)
        return {
            "checks": dict(Counter(self.checks) + invariants.checks),
            "faults": self.faults.counts,
            "outcomes": self.outcomes,
            "breaches": len(self.breaches) + sum(invariants.violations.values()),
            "breach_details": self.breaches[:5],
            "digest": xxhash.xxh64_hexdigest(text.encode()),
        }


def run(seed, steps):
    """Run and return the result as a dict."""
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(50),
    )
    invariants.checks.clear()
    invariants.violations.clear()
    loop = VirtualLoop()
    try:
        world = World(loop, seed)
        loop.run_until_complete(world.run(steps))
        loop.run_until_complete(asyncio.sleep(0))
        return world.result()
    finally:
        loop.close()
        structlog.reset_defaults()


def main():
    """Run from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--steps", type=int, default=5_000)
    arguments = parser.parse_args()
    result = run(arguments.seed, arguments.steps)
    print(json.dumps(result, indent=2, sort_keys=True))
    sys.exit(1 if result["breaches"] else 0)


if __name__ == "__main__":
    main()
