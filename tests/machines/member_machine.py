"""Membership of one zone: a lagging list, deaths, returns, cuts, probes."""

import itertools

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from cassiamount.membership import (
    GONE,
    LEAVING,
    LIVE,
    SUSPECT_AFTER_MS,
    Membership,
)
from cassiamount.records import RegisterVm
from cassiamount.vm_list_client import ListedVm
from cassiamount.zone_state import ZoneState

NAMES = ("a", "b", "c", "d")
names = st.sampled_from(NAMES[1:])


class MemberMachine(RuleBasedStateMachine):
    """The VM ``a`` watches the others."""

    @initialize()
    def start(self):
        self.now_ms = 0.0
        self.incarnations = itertools.count(1)
        self.ids = itertools.count(1)
        self.fold = ZoneState("z")
        self.running = {}
        self.cut = set()
        self.leaving = set()
        self.listed = {}
        self.backend_state = "live"
        # Identity -> time since which it has not answered, if it does not.
        self.silent_since = {}
        self.members = Membership("a@1", "z", self.new_id)
        for name in NAMES:
            self.boot(name)
        self.list_catches_up()

    def new_id(self):
        return f"i{next(self.ids)}"

    def write(self, record):
        self.fold.apply(self.fold.next_offset, record)
        self.members.on_members(self.fold.members)

    def boot(self, name):
        incarnation = str(next(self.incarnations))
        self.running[name] = f"{name}@{incarnation}"
        self.register(name)

    def register(self, name):
        incarnation = self.running[name].partition("@")[2]
        self.write(
            RegisterVm(self.new_id(), self.running[name], f"{name}:1", incarnation)
        )

    @rule(name=names)
    def dies(self, name):
        self.running.pop(name, None)
        self.leaving.discard(name)

    @rule(name=names, registers=st.booleans())
    def returns_under_its_name(self, name, registers):
        if name in self.running:
            return
        if registers:
            self.boot(name)
        else:
            self.running[name] = f"{name}@{next(self.incarnations)}"

    @rule(name=names)
    def starts_to_leave(self, name):
        if name in self.running:
            self.leaving.add(name)

    @rule(name=names)
    def cut_or_back(self, name):
        self.cut ^= {name}

    @rule()
    def list_catches_up(self):
        self.listed = {
            name: "leaving" if name in self.leaving else "live" for name in self.running
        }
        self.read_list()

    @rule(name=names)
    def list_is_wrong(self, name):
        if self.listed.pop(name, None) is None:
            self.listed[name] = "live"
        self.read_list()

    @rule(state=st.sampled_from(["live", "leaving", "absent"]))
    def backend_is_listed(self, state):
        if state != "absent":
            self.backend_state = state
        self.read_list(state)

    def read_list(self, backend="absent"):
        entries = [
            ListedVm(name, "z", f"{name}:1", "entry", state)
            for name, state in self.listed.items()
        ]
        if backend != "absent":
            entries.append(ListedVm("engine", "z", "engine:1", "backend", backend))
        self.members.on_vm_list(entries)

    @rule(rounds=st.integers(1, 5))
    def probe(self, rounds):
        for _ in range(rounds):
            self.now_ms += 1_000.0
            for target in self.members.probes(self.now_ms):
                self.probe_one(target.name)

    def probe_one(self, name):
        identity = self.running.get(name)
        if identity is None or name in self.cut:
            self.members.on_probe_failure(name, self.now_ms)
            self.silent_since.setdefault(name, self.now_ms)
        else:
            leaving = name in self.leaving
            self.members.on_probe_answer(name, identity, leaving, self.now_ms)
            self.silent_since.pop(name, None)
            state = self.members.state_of(name, self.now_ms)
            if not leaving and self.listed.get(name) != "leaving":
                assert state == LIVE, (name, state)
            if leaving:
                assert state == LEAVING, (name, state)

    @rule()
    def write_suspicions(self):
        for record in self.members.suspicions(self.now_ms):
            identity = f"{record.suspect}@{record.incarnation}"
            if self.running.get(record.suspect) == identity:
                since_ms = self.silent_since.get(record.suspect, self.now_ms)
                assert self.now_ms - since_ms >= SUSPECT_AFTER_MS, identity
            self.write(record)
            registered = self.fold.members.get(record.suspect)
            assert registered is None or registered.identity != identity
            if self.running.get(record.suspect) == identity:
                self.register(record.suspect)

    @rule()
    def everything_settles(self):
        """The dead leave the members, whatever the list says."""
        self.cut.clear()
        for name in self.running:
            self.register(name)
        for _ in range(6):
            self.probe(1)
            self.write_suspicions()
        expected = set(self.running.values())
        assert self.fold.roster() == expected, (self.fold.roster(), expected)
        for name in NAMES[1:]:
            if name not in self.running and name in self.listed:
                assert self.members.state_of(name, self.now_ms) == GONE

    @invariant()
    def leaving_backend_stays_leaving(self):
        leaving = "engine" in getattr(self, "members", self).leaving_backends()
        assert leaving == (getattr(self, "backend_state", "live") == "leaving")

    def leaving_backends(self):
        return ()
