"""State machine for one lease: VMs crash, clocks drift, messages repeat or get lost."""

import itertools
import random

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from cassiamount.lease_client import LeaseClient
from cassiamount.lease_commands import RequestPromises
from cassiamount.records import RegisterVm, ReleaseVm, SuspectVm
from cassiamount.timing import LEASE_MS, MAX_CLOCK_DRIFT
from cassiamount.zone_state import ZoneState, vm_name

LEASE = "budget/0"
NAMES = ("a", "b", "c")
CLOCK_RATES = (1 - MAX_CLOCK_DRIFT, 1.0, 1 + MAX_CLOCK_DRIFT)
STEPS_MS = (1.0, 120.0, 600.0, 1000.0, LEASE_MS * 0.985, LEASE_MS * 1.012)

names = st.sampled_from(NAMES)
picks = st.integers(0, 7)


class Vm:
    """One VM process: its drifting clock, its state read from the log, its client."""

    def __init__(self, name, incarnation, clock_rate, true_ms):
        self.identity = f"{name}@{incarnation}"
        self.name = name
        self.incarnation = str(incarnation)
        self.clock_rate = clock_rate
        self.started_ms = true_ms
        self.zone_state = ZoneState("z")
        numbers = itertools.count(1)
        self.new_id = lambda: f"{self.identity}#{next(numbers)}"
        # At most one process runs under a name, so the name serves as its address.
        self.client = LeaseClient(self.identity, LEASE, self.new_id, True, name)
        self.log_reached_ms = 0.0
        self.paused = False

    def now_ms(self, true_ms):
        return (true_ms - self.started_ms) * self.clock_rate


class LeaseMachine(RuleBasedStateMachine):
    @initialize(clock_rates=st.tuples(*[st.sampled_from(CLOCK_RATES)] * len(NAMES)))
    def start(self, clock_rates):
        self.true_ms = 0.0
        self.log = []
        self.log_up = True
        self.isolated = set()
        self.clock_rates = dict(zip(NAMES, clock_rates, strict=True))
        self.incarnations = itertools.count(1)
        self.vms = {}
        self.appends = []
        self.promise_requests = []
        self.promise_replies = []
        for name in NAMES:
            self.start_vm(name)
        self.deliver_everything()
        for name in NAMES:
            self.tick(name)
        self.deliver_everything()

    def start_vm(self, name):
        vm = Vm(name, next(self.incarnations), self.clock_rates[name], self.true_ms)
        self.vms[name] = vm
        self.register(vm)

    def register(self, vm):
        record = RegisterVm(vm.new_id(), vm.identity, vm.name, vm.incarnation)
        self.appends.append((vm, record))

    def running(self, name):
        vm = self.vms.get(name)
        return vm if vm is not None and not vm.paused else None

    def can_reach_log(self, vm):
        return self.log_up and vm.name not in self.isolated

    # Rules for single events.

    @rule(step_ms=st.sampled_from(STEPS_MS))
    def advance(self, step_ms):
        self.true_ms += step_ms

    @rule(name=names, limit=st.sampled_from([1, 100]))
    def read_log(self, name, limit=100):
        vm = self.running(name)
        if vm is None or not self.can_reach_log(vm):
            return
        now_ms = vm.now_ms(self.true_ms)
        vm.log_reached_ms = now_ms
        records = self.log[vm.zone_state.next_offset :][:limit]
        for record in records:
            vm.zone_state.apply(vm.zone_state.next_offset, record)
        vm.client.observe(vm.zone_state.leases.get(LEASE), now_ms)
        for record in records:
            vm.client.on_record_read(record.id)
        caught_up = vm.zone_state.next_offset == len(self.log)
        if caught_up and vm.identity not in vm.zone_state.roster():
            self.register(vm)

    @rule(name=names)
    def tick(self, name):
        vm = self.running(name)
        if vm is None:
            return
        for command in vm.client.tick(vm.now_ms(self.true_ms), NAMES.index(name)):
            if isinstance(command, RequestPromises):
                self.promise_requests.extend(
                    (vm, command, each) for each in command.promisers
                )
            else:
                self.appends.append((vm, command.record))

    @precondition(lambda self: self.appends and self.log_up)
    @rule(pick=picks, duplicate=st.booleans())
    def append_arrives(self, pick, duplicate):
        self._deliver_append(pick % len(self.appends), duplicate)

    def _deliver_append(self, index, duplicate=False):
        _, record = self.appends[index] if duplicate else self.appends.pop(index)
        self.log.append(record)

    @precondition(lambda self: self.appends)
    @rule(pick=picks, kind=st.sampled_from(["absent", "unknown", "unknown-lost"]))
    def append_fails(self, pick, kind):
        vm, record = self.appends[pick % len(self.appends)]
        copies = [each for each in self.appends if each[1] is record]
        in_log = any(each is record for each in self.log)
        if kind != "unknown":
            self.appends.remove((vm, record))
        # "absent" concerns this append only: other appends of the same record may be
        # in flight, or the log may hold it already.
        certain = kind == "absent" and len(copies) == 1 and not in_log
        vm.client.on_append_failed(record, not certain)

    @precondition(lambda self: self.promise_requests)
    @rule(pick=picks, duplicate=st.booleans())
    def promise_request_arrives(self, pick, duplicate):
        self._deliver_promise_request(pick % len(self.promise_requests), duplicate)

    def _deliver_promise_request(self, index, duplicate=False):
        holder, request, promiser = (
            self.promise_requests[index]
            if duplicate
            else self.promise_requests.pop(index)
        )
        vm = self.running(vm_name(promiser))
        if vm is None:
            return
        reply = vm.client.candidate.promise(
            request.holder,
            promiser,
            request.fence,
            request.duration_ms,
            vm.now_ms(self.true_ms),
            vm.log_reached_ms,
        )
        self.promise_replies.append((holder, request, promiser, reply.promised))

    @precondition(lambda self: self.promise_replies)
    @rule(pick=picks, duplicate=st.booleans())
    def promise_reply_arrives(self, pick, duplicate):
        self._deliver_promise_reply(pick % len(self.promise_replies), duplicate)

    def _deliver_promise_reply(self, index, duplicate=False):
        reply = (
            self.promise_replies[index]
            if duplicate
            else self.promise_replies.pop(index)
        )
        holder, request, promiser, promised = reply
        if not holder.paused:
            holder.client.on_promise_reply(
                request.fence, request.round_number, promiser, promised
            )

    @rule(name=names)
    def pause_or_resume(self, name):
        if name in self.vms:
            self.vms[name].paused = not self.vms[name].paused

    @rule(name=names)
    def crash_or_restart(self, name):
        if self.vms.pop(name, None) is None:
            self.start_vm(name)

    @rule(name=names, other=names)
    def suspect(self, name, other):
        vm = self.running(name)
        if vm is None or other not in vm.zone_state.members:
            return
        suspect = vm.zone_state.members[other]
        record = SuspectVm(vm.new_id(), vm.identity, other, suspect.incarnation)
        self.appends.append((vm, record))

    @rule(name=names)
    def leave(self, name):
        vm = self.running(name)
        if vm is None:
            return
        release = vm.client.release({})
        if release is not None:
            self.appends.append((vm, release))
        record = ReleaseVm(vm.new_id(), vm.identity, vm.incarnation)
        self.appends.append((vm, record))
        del self.vms[name]

    @rule()
    def log_outage_starts_or_ends(self):
        self.log_up = not self.log_up

    @rule(name=names)
    def isolate_or_reconnect(self, name):
        self.isolated ^= {name}

    # Rules that combine many events, so that few steps give long histories.

    @rule(newest_first=st.booleans())
    def deliver_everything(self, newest_first=False):
        if self.log_up:
            while self.appends:
                self._deliver_append(-1 if newest_first else 0)
        for name in NAMES:
            self.read_log(name)
        while self.promise_requests:
            self._deliver_promise_request(0)
        while self.promise_replies:
            self._deliver_promise_reply(0)

    @rule(rounds=st.integers(1, 6))
    def time_passes(self, rounds):
        for _ in range(rounds):
            self.true_ms += 900.0
            for name in NAMES:
                self.tick(name)
            self.deliver_everything()

    @rule(
        seed=st.integers(0, 10_000),
        outage=st.booleans(),
        isolated=st.sets(names),
        paused=st.sets(names),
        steps=st.integers(1, 8),
    )
    def faults_for_a_while(self, seed, outage, isolated, paused, steps):
        rng = random.Random(seed)
        self.log_up, self.isolated = not outage, isolated
        for name in paused & self.vms.keys():
            self.vms[name].paused = True
        for _ in range(steps):
            self.true_ms += rng.choice((50.0, 300.0, 700.0, 1000.0))
            self.at_most_one_user()
            for name in rng.sample(NAMES, len(NAMES)):
                if rng.random() < 0.85:
                    self.tick(name)
            while self.appends and self.log_up and rng.random() < 0.75:
                self._deliver_append(
                    rng.randrange(len(self.appends)), rng.random() < 0.1
                )
                self.at_most_one_user()
            for name in rng.sample(NAMES, len(NAMES)):
                if rng.random() < 0.75:
                    self.read_log(name)
                    self.at_most_one_user()
            while self.promise_requests and rng.random() < 0.9:
                self._deliver_promise_request(
                    rng.randrange(len(self.promise_requests)), rng.random() < 0.1
                )
            while self.promise_replies and rng.random() < 0.9:
                index = rng.randrange(len(self.promise_replies))
                self._deliver_promise_reply(index, rng.random() < 0.1)
                self.at_most_one_user()
        for vm in self.vms.values():
            vm.paused = False

    @invariant()
    def at_most_one_user(self):
        users = [
            vm.identity
            for vm in getattr(self, "vms", {}).values()
            if vm.client.may_use(vm.now_ms(self.true_ms))
        ]
        assert len(users) <= 1, users
