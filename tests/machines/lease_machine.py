"""A lease among several VMs, a log, and a network that loses and repeats."""

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
from cassiamount.lease_commands import AskPromises
from cassiamount.records import RegisterVm, ReleaseVm, SuspectVm
from cassiamount.timing import DRIFT, LEASE_MS
from cassiamount.zone_state import ZoneState, vm_name

LEASE = "budget/0"
NAMES = ("a", "b", "c")
RATES = (1 - DRIFT, 1.0, 1 + DRIFT)
STEPS_MS = (1.0, 120.0, 600.0, 1000.0, LEASE_MS * 0.985, LEASE_MS * 1.012)

names = st.sampled_from(NAMES)
picks = st.integers(0, 7)


class Vm:
    """One process: its clock, its reader of the log and its lease objects."""

    def __init__(self, name, incarnation, rate, true_ms):
        self.identity = f"{name}@{incarnation}"
        self.name = name
        self.incarnation = str(incarnation)
        self.rate = rate
        self.started_ms = true_ms
        self.fold = ZoneState("z")
        numbers = itertools.count(1)
        self.new_id = lambda: f"{self.identity}#{next(numbers)}"
        # One process runs under a name at a time, so the name serves as its address.
        self.client = LeaseClient(self.identity, LEASE, self.new_id, True, name)
        self.log_reached_ms = 0.0
        self.paused = False

    def now_ms(self, true_ms):
        return (true_ms - self.started_ms) * self.rate


class LeaseMachine(RuleBasedStateMachine):
    @initialize(rates=st.tuples(*[st.sampled_from(RATES)] * len(NAMES)))
    def start(self, rates):
        self.true_ms = 0.0
        self.log = []
        self.log_up = True
        self.cut = set()
        self.rates = dict(zip(NAMES, rates, strict=True))
        self.incarnations = itertools.count(1)
        self.vms = {}
        self.appends = []
        self.asks = []
        self.answers = []
        for name in NAMES:
            self.boot(name)
        self.exchange()
        for name in NAMES:
            self.tick(name)
        self.exchange()

    def boot(self, name):
        vm = Vm(name, next(self.incarnations), self.rates[name], self.true_ms)
        self.vms[name] = vm
        self.register(vm)

    def register(self, vm):
        record = RegisterVm(vm.new_id(), vm.identity, vm.name, vm.incarnation)
        self.appends.append((vm, record))

    def running(self, name):
        vm = self.vms.get(name)
        return vm if vm is not None and not vm.paused else None

    def reaches_log(self, vm):
        return self.log_up and vm.name not in self.cut

    # Single events.

    @rule(step_ms=st.sampled_from(STEPS_MS))
    def advance(self, step_ms):
        self.true_ms += step_ms

    @rule(name=names, limit=st.sampled_from([1, 100]))
    def read(self, name, limit=100):
        vm = self.running(name)
        if vm is None or not self.reaches_log(vm):
            return
        now_ms = vm.now_ms(self.true_ms)
        vm.log_reached_ms = now_ms
        records = self.log[vm.fold.next_offset :][:limit]
        for record in records:
            vm.fold.apply(vm.fold.next_offset, record)
        vm.client.observe(vm.fold.leases.get(LEASE), now_ms)
        for record in records:
            vm.client.append_read(record.id)
        caught_up = vm.fold.next_offset == len(self.log)
        if caught_up and vm.identity not in vm.fold.roster():
            self.register(vm)

    @rule(name=names)
    def tick(self, name):
        vm = self.running(name)
        if vm is None:
            return
        for command in vm.client.tick(vm.now_ms(self.true_ms), NAMES.index(name)):
            if isinstance(command, AskPromises):
                self.asks.extend((vm, command, each) for each in command.promisers)
            else:
                self.appends.append((vm, command.record))

    @precondition(lambda self: self.appends and self.log_up)
    @rule(pick=picks, keep=st.booleans())
    def append_arrives(self, pick, keep):
        self._arrive(pick % len(self.appends), keep)

    def _arrive(self, index, keep=False):
        _, record = self.appends[index] if keep else self.appends.pop(index)
        self.log.append(record)

    @precondition(lambda self: self.appends)
    @rule(pick=picks, kind=st.sampled_from(["absent", "unknown", "unknown-lost"]))
    def append_fails(self, pick, kind):
        vm, record = self.appends[pick % len(self.appends)]
        copies = [each for each in self.appends if each[1] is record]
        in_log = any(each is record for each in self.log)
        if kind != "unknown":
            self.appends.remove((vm, record))
        # "absent" is said of this copy; others may be on their way or in the log.
        certain = kind == "absent" and len(copies) == 1 and not in_log
        vm.client.append_failed(record, not certain)

    @precondition(lambda self: self.asks)
    @rule(pick=picks, keep=st.booleans())
    def ask_arrives(self, pick, keep):
        self._answer(pick % len(self.asks), keep)

    def _answer(self, index, keep=False):
        holder, ask, promiser = self.asks[index] if keep else self.asks.pop(index)
        vm = self.running(vm_name(promiser))
        if vm is None:
            return
        answer = vm.client.watcher.promise(
            ask.holder,
            promiser,
            ask.fence,
            ask.duration_ms,
            vm.now_ms(self.true_ms),
            vm.log_reached_ms,
        )
        self.answers.append((holder, ask, promiser, answer.promised))

    @precondition(lambda self: self.answers)
    @rule(pick=picks, keep=st.booleans())
    def answer_arrives(self, pick, keep):
        self._take_answer(pick % len(self.answers), keep)

    def _take_answer(self, index, keep=False):
        answer = self.answers[index] if keep else self.answers.pop(index)
        holder, ask, promiser, promised = answer
        if not holder.paused:
            holder.client.on_promise(ask.fence, ask.round_number, promiser, promised)

    @rule(name=names)
    def pause_or_resume(self, name):
        if name in self.vms:
            self.vms[name].paused = not self.vms[name].paused

    @rule(name=names)
    def die_or_return(self, name):
        if self.vms.pop(name, None) is None:
            self.boot(name)

    @rule(name=names, other=names)
    def suspect(self, name, other):
        vm = self.running(name)
        if vm is None or other not in vm.fold.members:
            return
        suspect = vm.fold.members[other]
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
    def cut_off_or_back(self, name):
        self.cut ^= {name}

    # A whole exchange, so that long histories are reached in few steps.

    @rule(newest_first=st.booleans())
    def exchange(self, newest_first=False):
        if self.log_up:
            while self.appends:
                self._arrive(-1 if newest_first else 0)
        for name in NAMES:
            self.read(name)
        while self.asks:
            self._answer(0)
        while self.answers:
            self._take_answer(0)

    @rule(rounds=st.integers(1, 6))
    def time_passes(self, rounds):
        for _ in range(rounds):
            self.true_ms += 900.0
            for name in NAMES:
                self.tick(name)
            self.exchange()

    @rule(
        seed=st.integers(0, 10_000),
        outage=st.booleans(),
        cut=st.sets(names),
        paused=st.sets(names),
        slots=st.integers(1, 8),
    )
    def faults_for_a_while(self, seed, outage, cut, paused, slots):
        rng = random.Random(seed)
        self.log_up, self.cut = not outage, cut
        for name in paused & self.vms.keys():
            self.vms[name].paused = True
        for _ in range(slots):
            self.true_ms += rng.choice((50.0, 300.0, 700.0, 1000.0))
            self.one_user()
            for name in rng.sample(NAMES, len(NAMES)):
                if rng.random() < 0.85:
                    self.tick(name)
            while self.appends and self.log_up and rng.random() < 0.75:
                self._arrive(rng.randrange(len(self.appends)), rng.random() < 0.1)
                self.one_user()
            for name in rng.sample(NAMES, len(NAMES)):
                if rng.random() < 0.75:
                    self.read(name)
                    self.one_user()
            while self.asks and rng.random() < 0.9:
                self._answer(rng.randrange(len(self.asks)), rng.random() < 0.1)
            while self.answers and rng.random() < 0.9:
                index = rng.randrange(len(self.answers))
                self._take_answer(index, rng.random() < 0.1)
                self.one_user()
        for vm in self.vms.values():
            vm.paused = False

    @invariant()
    def one_user(self):
        users = [
            vm.identity
            for vm in getattr(self, "vms", {}).values()
            if vm.client.may_use(vm.now_ms(self.true_ms))
        ]
        assert len(users) <= 1, users
