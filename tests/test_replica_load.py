"""Tests of the loads of backend servers, and of the choice between them under load."""

import functools
import heapq
import random
import statistics
from itertools import count

import pytest

from cassiamount.change_counter import ChangeCounter
from cassiamount.fleet import (
    BackendRecord,
    EngineConfig,
    RequestMetadata,
    ServiceConfig,
)
from cassiamount.fleet_view import FleetView
from cassiamount.peer_topology import OTHERS
from cassiamount.replica_load import ReplicaLoads
from cassiamount.replica_selection import (
    BUSY,
    ReplicaSelector,
    SelectedReplica,
    SentPrefixIndex,
)
from cassiamount.request_limits import RequestLimits
from cassiamount.server_notices import ServerNotices
from tests.test_report_cost import count_lines

KV_TOKENS = 40_000
REPORT_MS = 500.0


def asked(prompt=500, output=100):
    return RequestMetadata("", "POST", "h", "/", "", None, "m", "", prompt, output)


class Engine:
    """Runs up to `slots` requests in steps, and prefills prompts between the steps."""

    def __init__(self, name, slots, pace=1.0):
        self.name, self.slots, self.pace = name, slots, pace
        self.active, self.queue, self.numbers = [], [], count()

    def step(self, now_ms):
        """Make one token of each request; return the time, and first and last ones."""
        while self.queue and len(self.active) < self.slots:
            self.active.append(heapq.heappop(self.queue)[2])
        budget = 256
        first, ended = [], []
        for request in list(self.active):
            if request.prefill:
                used = min(budget, request.prefill)
                request.prefill -= used
                budget -= used
                continue
            request.made += 1
            if request.made == 7:
                first.append(request)
            if request.made == request.output:
                ended.append(request)
                self.active.remove(request)
        took_ms = 4.75 + 0.017 * len(self.active) + (256 - budget) / 33
        return now_ms + self.pace * took_ms, first, ended


class Request:
    def __init__(self, rng, arrived_ms, is_long):
        mean, spread, self.output = (543, 0.89, 280) if is_long else (291, 1.4, 45)
        size = rng.lognormvariate(0, spread) * mean / 2.718281828 ** (spread**2 / 2)
        self.prompt = self.prefill = max(16, min(2_310, int(size)))
        self.is_long, self.arrived_ms, self.made = is_long, arrived_ms, 0
        self.priority, self.objective_ms = (6, 3_000.0) if is_long else (0, 400.0)
        self.deadline_ms = arrived_ms + 0.7 * max(2_000.0, 4 * self.objective_ms)
        self.metadata = asked(self.prompt, self.output)


class Vm:
    def __init__(self, name, engines, slots, seed, tells=True):
        counter = ChangeCounter()
        self.name, self.waiting = name, []
        self.view = FleetView(ServerNotices(counter))
        record = functools.partial(BackendRecord, residents={"m": frozenset()})
        self.view.replace({e: record(e, "s", "e:1", "z1", slots) for e in engines})
        self.loads = ReplicaLoads(counter)
        config = EngineConfig(slots, KV_TOKENS, 0, 0, 0, {})
        self.loads.set_services({"s": ServiceConfig("s", 9, config)})
        if tells:
            self.loads.record_told((engines[0], 0), 0, 0, slots, 100, -5e3, "s")
        limits, rng = RequestLimits(name, counter, lambda: [name]), random.Random(seed)
        args = (self.view, "z1", SentPrefixIndex(), limits)
        self.selector = ReplicaSelector(*args, self.loads, rng)
        self.before = ReplicaSelector(*args)


class World:
    """VMs that send to engines and hear of each other through one relay."""

    def __init__(self, policy, vms, engines, slots, per_s, long_share, paces, end_ms):
        self.policy, self.rng = policy, random.Random(5)
        self.engines = {
            f"e{n}": Engine(f"e{n}", slots, paces.get(n, 1.0)) for n in range(engines)
        }
        names = list(self.engines)
        self.vms = [Vm(f"v{n}", names, slots, n) for n in range(vms)]
        self.relay = ReplicaLoads(ChangeCounter())
        self.relay.set_counted([vm.name for vm in self.vms], [])
        self.numbers, self.events = count(), []
        self.counts = {(kind, what): 0 for kind in (0, 1) for what in (0, 1, 2)}
        self.errors, self.most_tokens = [], 0
        now_ms = 0.0
        while now_ms < end_ms:
            request = Request(self.rng, now_ms, self.rng.random() < long_share)
            self.at(now_ms, self.arrive, self.rng.choice(self.vms), request)
            now_ms += self.rng.expovariate(per_s / 1000)
        for vm in self.vms:
            self.at(self.rng.random() * REPORT_MS, self.report, vm)
        while self.events and self.events[0][0] < end_ms + 3_000:
            self.now_ms, _, act, args = heapq.heappop(self.events)
            act(*args)

    def at(self, at_ms, act, *args):
        heapq.heappush(self.events, (at_ms, next(self.numbers), act, args))

    def count(self, request, what):
        self.counts[request.is_long, what] += 1

    def arrive(self, vm, request):
        found = self.select(vm, request)
        wait_ms = found.wait_ms
        if isinstance(found, SelectedReplica) and (
            self.now_ms + wait_ms <= request.deadline_ms
            or wait_ms <= request.objective_ms
        ):
            return self.send(vm, request, found)
        if self.now_ms + wait_ms > request.deadline_ms:
            return self.count(request, 2)
        self.at(self.now_ms + 20, self.arrive, vm, request)

    def select(self, vm, request):
        if self.policy == "today":
            return vm.before.select_for_model("s", request.metadata, self.now_ms)
        if self.policy == "estimate":
            return vm.selector.select_for_model(
                "s", request.metadata, self.now_ms, priority=request.priority
            )
        found = [
            SelectedReplica(
                view, 0.0, 0, vm.loads.estimate(view, request.metadata, 0, self.now_ms)
            )
            for view in vm.view.backends.values()
        ]
        if self.policy == "tokens":
            return min(found, key=lambda item: item.estimate.tokens)
        return min(found, key=lambda item: item.view.load)

    def send(self, vm, request, found):
        engine = self.engines[found.view.record.name]
        if len(engine.queue) >= 25:
            return self.count(request, 2)
        request.sent_ms, request.found, request.vm = self.now_ms, found, vm
        vm.view.record_sent(engine.name, "m")
        tokens = (request.prompt, request.metadata.tokens)
        how = (request.priority, "s", found.estimate)
        vm.loads.record_sent((engine.name, 0), request, *tokens, self.now_ms, *how)
        heapq.heappush(engine.queue, (request.priority, next(engine.numbers), request))
        if not engine.active and len(engine.queue) == 1:
            self.at(self.now_ms, self.step, engine)

    def step(self, engine):
        end_ms, first, ended = engine.step(self.now_ms)
        requests = [*engine.active, *(item[2] for item in engine.queue)]
        tokens = sum(request.metadata.tokens for request in requests)
        self.most_tokens = max(self.most_tokens, tokens)
        for request in first:
            vm = request.vm
            load = len(engine.active), len(engine.queue), engine.slots
            vm.loads.record_told((engine.name, 0), *load, 100 * engine.pace, end_ms)
            vm.loads.record_begun((engine.name, 0), request, end_ms)
            took_ms = end_ms - request.arrived_ms
            self.count(request, int(took_ms > request.objective_ms))
            self.errors.append(end_ms - request.sent_ms - request.found.wait_ms)
        for request in ended:
            request.vm.loads.record_ended((engine.name, 0), request, end_ms)
            request.vm.view.record_ended(request.found.view, "m")
        if requests:
            self.at(end_ms, self.step, engine)

    def report(self, vm):
        part = vm.loads.part_since(0, self.now_ms)
        if part is not None:
            self.relay.apply(part, vm.name, self.now_ms)
        part = self.relay.part_since(0, self.now_ms, vm.name, OTHERS)
        vm.loads.set_counted(["relay"], [])
        if part is not None:
            vm.loads.apply(part, "relay", self.now_ms)
        for name, view in vm.view.backends.items():
            all_requests = sum(v.view.backends[name].own_requests for v in self.vms)
            view.peer_requests = all_requests - view.own_requests
        self.at(self.now_ms + REPORT_MS, self.report, vm)


LOADS = {
    "mixed": (61, 20, 12, 200, 0.5, {}, 3_000.0),
    "slow servers": (61, 20, 12, 180, 0.5, {0: 5.0, 1: 3.0, 2: 2.0}, 3_000.0),
    "burst of long prompts": (61, 20, 12, 240, 0.8, {}, 3_000.0),
    "only long prompts": (61, 20, 12, 140, 1.0, {}, 3_000.0),
}


@pytest.mark.parametrize("load", LOADS)
def test_choice_under_load(load):
    """Guards against late requests that another choice would have served in time."""
    chosen = World("estimate", *LOADS[load])
    assert chosen.most_tokens < KV_TOKENS
    for policy in ("tokens", "requests", "today"):
        other = World(policy, *LOADS[load])
        for kind in (0, 1):
            # One request is late or not by chance.
            assert chosen.counts[kind, 0] + 1 >= other.counts[kind, 0], policy
        for what in (1, 2):
            missed = [w.counts[0, what] + w.counts[1, what] for w in (chosen, other)]
            assert missed[0] <= missed[1], policy
    errors_ms = [statistics.median(map(abs, w.errors)) for w in (chosen, other)]
    assert errors_ms[0] < errors_ms[1]


def sent_to(vm, name="e0", number=0, prompt=500, tokens=600):
    vm.view.record_sent(name, "m")
    vm.loads.record_sent((name, 0), number, prompt, tokens, 0.0, 3, "s")


@pytest.mark.parametrize("peers", [7, 61, 89, 300])
def test_cost_of_an_estimate_does_not_grow_with_the_fleet(peers):
    """Guards against decisions that take longer the more VMs there are."""
    lines = []
    for number in (1, peers):
        vm = Vm("v0", ["e0"], 12, 0)
        vm.loads.set_counted([f"p{n}" for n in range(number)], [])
        for n in range(number):
            other = Vm(f"p{n}", ["e0"], 12, 0)
            sent_to(other)
            vm.loads.apply(other.loads.part_since(0, 0.0), f"p{n}", 0.0)
        view = vm.view.backends["e0"]
        view.peer_requests = number
        decide = functools.partial(vm.loads.estimate, view, asked(), 0, 0.0)
        assert decide().tokens == 600 * number
        lines.append(count_lines(decide))
    assert lines[0] == lines[1]


def test_servers_without_a_pace_are_selected_as_before():
    """Guards against another choice in deployments that do not tell the pace."""
    rng = random.Random(3)
    names = [f"e{n}" for n in range(6)]
    vm = Vm("v0", names, 4, 0, tells=False)
    for number in range(100):
        name = rng.choice(names)
        sent_to(vm, name, number)
        vm.loads.record_told((name, 0), 9, rng.randrange(9), 4, None, 0.0, "s")
        for select in ("select_for_model", "select_for_service"):
            args = ("s", asked(), 0.0) if select == "select_for_model" else ("s", 0.0)
            found = getattr(vm.selector, select)(*args, priority=9)
            expected = getattr(vm.before, select)(*args)
            assert (found.view, found.wait_ms) == (expected.view, expected.wait_ms)
    assert vm.loads.part_since(0, 0.0) is None


@pytest.mark.parametrize(
    ("requests", "tokens", "priority", "has_room"),
    [
        (12, 10, 9, True),
        (20, 10, 0, True),
        (20, 10, 9, False),
        (5, 5_500, 0, True),
        (5, 5_500, 9, False),
        (40, 10, 0, False),
        (1, 60_000, 9, False),
    ],
)
def test_full_server_depends_on_priority(requests, tokens, priority, has_room):
    """Guards against no room for urgent requests, and against full memory."""
    vm = Vm("v0", ["e0"], 12, 0)
    for number in range(requests):
        sent_to(vm, "e0", number, 10, tokens)
        vm.loads.record_begun(("e0", 0), number, 1.0)
    found = vm.selector.select_for_model("s", asked(), 2.0, priority=priority)
    assert isinstance(found, SelectedReplica) == has_room
    if not has_room:
        assert found.reason == BUSY
        assert found.wait_ms > 0


@pytest.mark.parametrize("ready_ms", [-50.0, 10.0, 60_000.0])
def test_full_holders_are_busy_while_a_copy_is_loaded(ready_ms):
    """Guards against requests that learn of room at a holder only after 400 ms."""
    vm = Vm("v0", ["e0", "e1"], 12, 0)
    for number in range(40):
        sent_to(vm, "e0", number, 10, 10)
        vm.loads.record_begun(("e0", 0), number, 1.0)
    vm.view.backends["e1"].ready = {}
    vm.view.backends["e1"].loading = {"m": ready_ms}
    found = vm.selector.select_for_model("s", asked(), 2.0)
    assert found.reason == BUSY
    assert found.wait_ms <= max(0.0, ready_ms - 2.0)


def test_long_prompt_goes_only_where_few_tokens_are_ahead():
    """Guards against prompts that queue behind long ones, and that never start."""
    vm = Vm("v0", ["e0"], 12, 0)
    for number in range(3):
        found = vm.selector.select_for_model("s", asked(2_300), 0.0, priority=6)
        assert isinstance(found, SelectedReplica) == (number == 0)
        sent_to(vm, "e0", number, 2_300)


def test_backlog_ends_with_its_requests_and_peers():
    """Guards against counted work that nobody waits for any more."""
    vm, other = Vm("v0", ["e0"], 12, 0), Vm("v1", ["e0"], 12, 0)
    vm.loads.set_counted(["v1"], ["v1"])
    sent_to(other)
    part = other.loads.part_since(0, 0.0)
    vm.loads.apply(part, "v1", 0.0)
    view = vm.view.backends["e0"]
    view.peer_requests = 1
    assert vm.loads.estimate(view, asked(), 0, 0.0).prefill_tokens == 1_000
    empty = ["e0", 0, 0, 0, []]
    assert vm.loads.part_since(0, 0.0, "v1", OTHERS).backlogs == [empty]
    assert vm.loads.part_since(0, 0.0, "v2", OTHERS).backlogs == part.backlogs
    version = other.loads._counter.version
    assert other.loads.part_since(version, 0.0) is None
    other.loads.record_begun(("e0", 0), 0, 5.0)
    other.loads.record_ended(("e0", 0), 0, 9.0)
    vm.loads.apply(other.loads.part_since(version, 9.0), "v1", 9.0)
    assert vm.loads.estimate(view, asked(), 0, 9.0).tokens == 0
    vm.loads.apply(part, "v1", 9.0)
    vm.loads.remove_peer("v1")
    assert vm.loads.estimate(view, asked(), 0, 9.0).tokens == 0


@pytest.mark.parametrize(
    ("at_ms", "waiting", "pace"), [(500.0, 13, 3.0), (1_001.0, 0, 1.0)]
)
def test_told_load_counts_for_a_second(at_ms, waiting, pace):
    """Guards against choices by what a server said long ago."""
    vm = Vm("v0", ["e0"], 12, 0)
    view = vm.view.backends["e0"]
    view.peer_requests = 4
    vm.loads.record_told(("e0", 0), 12, 13, 12, 300, 0.1)
    estimate = vm.loads.estimate(view, asked(), 0, at_ms)
    assert (estimate.waiting, estimate.pace) == (waiting, pace)
