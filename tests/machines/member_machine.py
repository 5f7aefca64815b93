"""State machine for the members of a zone: crashes, restarts, a stale VM list."""

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
    """The VM ``a`` probes the others and reports those that stopped."""

    @initialize()
    def start(self):
        self.now_ms = 0.0
        self.incarnations = itertools.count(1)
        self.ids = itertools.count(1)
        self.zone_state = ZoneState("z")
        self.running = {}
        self.unreachable = set()
        self.leaving = set()
        self.listed_states = {}
        self.backend_state = "live"
        # VM name -> time of the first of its unanswered probes in a row.
        self.unanswered_since = {}
        self.membership = Membership("a@1", "z", self.new_id)
        for name in NAMES:
            self.start_vm(name)
        self.list_catches_up()

    def new_id(self):
        return f"i{next(self.ids)}"

    def apply_record(self, record):
        self.zone_state.apply(self.zone_state.next_offset, record)
        self.membership.on_members(self.zone_state.members)

    def start_vm(self, name):
        incarnation = str(next(self.incarnations))
        self.running[name] = f"{name}@{incarnation}"
        self.register(name)

    def register(self, name):
        incarnation = self.running[name].partition("@")[2]
        self.apply_record(
            RegisterVm(self.new_id(), self.running[name], f"{name}:1", incarnation)
        )

    @rule(name=names)
    def crashes(self, name):
        self.running.pop(name, None)
        self.leaving.discard(name)

    @rule(name=names, registers=st.booleans())
    def restarts_under_same_name(self, name, registers):
        if name in self.running:
            return
        if registers:
            self.start_vm(name)
        else:
            self.running[name] = f"{name}@{next(self.incarnations)}"

    @rule(name=names)
    def starts_to_leave(self, name):
        if name in self.running:
            self.leaving.add(name)

    @rule(name=names)
    def disconnect_or_reconnect(self, name):
        self.unreachable ^= {name}

    @rule()
    def list_catches_up(self):
        self.listed_states = {
            name: "leaving" if name in self.leaving else "live" for name in self.running
        }
        self.read_vm_list()

    @rule(name=names)
    def list_is_wrong(self, name):
        if self.listed_states.pop(name, None) is None:
            self.listed_states[name] = "live"
        self.read_vm_list()

    @rule(state=st.sampled_from(["live", "leaving", "absent"]))
    def backend_is_listed(self, state):
        if state != "absent":
            self.backend_state = state
        self.read_vm_list(state)

    def read_vm_list(self, backend="absent"):
        entries = [
            ListedVm(name, "z", f"{name}:1", "entry", state)
            for name, state in self.listed_states.items()
        ]
        if backend != "absent":
            entries.append(ListedVm("engine", "z", "engine:1", "backend", backend))
        self.membership.on_vm_list(entries)

    @rule(rounds=st.integers(1, 5))
    def probe(self, rounds):
        for _ in range(rounds):
            self.now_ms += 1_000.0
            for target in self.membership.due_probes(self.now_ms):
                self.probe_one(target.name)

    def probe_one(self, name):
        identity = self.running.get(name)
        if identity is None or name in self.unreachable:
            self.membership.on_probe_failure(name, self.now_ms)
            self.unanswered_since.setdefault(name, self.now_ms)
        else:
            leaving = name in self.leaving
            self.membership.on_probe_answer(name, identity, leaving, self.now_ms)
            self.unanswered_since.pop(name, None)
            state = self.membership.state_of(name, self.now_ms)
            if not leaving and self.listed_states.get(name) != "leaving":
                assert state == LIVE, (name, state)
            if leaving:
                assert state == LEAVING, (name, state)

    @rule()
    def write_suspicions(self):
        for record in self.membership.suspicions(self.now_ms):
            identity = f"{record.suspect}@{record.incarnation}"
            if self.running.get(record.suspect) == identity:
                since_ms = self.unanswered_since.get(record.suspect, self.now_ms)
                assert self.now_ms - since_ms >= SUSPECT_AFTER_MS, identity
            self.apply_record(record)
            registered = self.zone_state.members.get(record.suspect)
            assert registered is None or registered.identity != identity
            if self.running.get(record.suspect) == identity:
                self.register(record.suspect)

    @rule()
    def membership_converges(self):
        """Stopped VMs are removed from the members, whatever the VM list says."""
        self.unreachable.clear()
        for name in self.running:
            self.register(name)
        for _ in range(6):
            self.probe(1)
            self.write_suspicions()
        expected = set(self.running.values())
        assert self.zone_state.roster() == expected, (
            self.zone_state.roster(),
            expected,
        )
        for name in NAMES[1:]:
            if name not in self.running and name in self.listed_states:
                assert self.membership.state_of(name, self.now_ms) == GONE

    @invariant()
    def leaving_backend_stays_leaving(self):
        leaving = "engine" in getattr(self, "membership", self).leaving_backends()
        assert leaving == (getattr(self, "backend_state", "live") == "leaving")

    def leaving_backends(self):
        return ()
