"""Tests of the fold of the config stream."""

import copy
import json

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from cassiamount.config_state import ConfigState
from cassiamount.errors import InvalidRecord, InvariantViolation, OffsetGap
from cassiamount.folds import Applied, Rejected
from cassiamount.keys import hash_key
from cassiamount.records import (
    Checkpoint,
    ClaimLease,
    DrainBackend,
    GiveKey,
    PublishConfiguration,
    UndrainBackend,
    WithdrawKey,
)

from .documents import DOCUMENT, with_value

KEYS = [f"ck-{number}" for number in range(4)]
HASHES = {key: hash_key(key) for key in KEYS}
TEAMS = ["team-a", "riggers"]
BACKENDS = ["engine-1", "orders-1"]

# Documents that differ in the teams, their keys and the backend servers.
DOCUMENTS = [
    DOCUMENT,
    with_value(DOCUMENT, "teams", 1, "keys", value=[HASHES[KEYS[0]]]),
    with_value(DOCUMENT, "teams", value=[]),
    with_value(DOCUMENT, "teams", 0, value=...),
    with_value(DOCUMENT, "backends", 1, value=...),
    with_value(DOCUMENT, "zones", value=[]),
    {},
]
SKIPPED = object()


class Model:
    """What the log amounts to, computed the plain way from its whole content."""

    def __init__(self):
        self.version, self.document, self.ids = 0, None, set()
        self.given, self.withdrawn, self.drained = {}, set(), set()

    def apply(self, offset, record):
        if record is SKIPPED or record.id in self.ids:
            return
        self.ids.add(record.id)
        teams = {
            team["name"]: team for team in (self.document or {"teams": []})["teams"]
        }
        match record:
            case PublishConfiguration():
                # Documents 0 to 4 are valid; conflicts with given keys are not.
                valid = record.document in DOCUMENTS[:5] and all(
                    self.given.get(key_hash, team["name"]) == team["name"]
                    for team in record.document["teams"]
                    for key_hash in team.get("keys", [])
                )
                if valid and record.base_version == self.version:
                    self.version, self.document = offset + 1, record.document
                    self.drained &= {item["name"] for item in self._backends()}
            case GiveKey():
                owned = any(
                    record.key_hash in t.get("keys", []) for t in teams.values()
                )
                taken = record.key_hash in self.given or owned
                if record.team in teams and not taken:
                    if record.key_hash not in self.withdrawn:
                        self.given[record.key_hash] = record.team
            case WithdrawKey():
                self.withdrawn.add(record.key_hash)
                self.given.pop(record.key_hash, None)
            case DrainBackend():
                if any(item["name"] == record.backend for item in self._backends()):
                    self.drained.add(record.backend)
            case UndrainBackend():
                self.drained.discard(record.backend)

    def _backends(self):
        return self.document["backends"] if self.document else []

    def team_of(self, key):
        key_hash = HASHES[key]
        teams = self.document["teams"] if self.document else []
        if key_hash in self.withdrawn:
            return None
        for team in teams:
            if key_hash in team.get("keys", []) or (
                self.given.get(key_hash) == team["name"]
            ):
                return team["name"]
        return None


class Reader:
    """A fold with what it has seen, to check what must never go back."""

    def __init__(self):
        self.fold = ConfigState()
        self.version = 0
        self.withdrawn = set()

    def check(self):
        assert self.fold.version >= self.version
        self.version = self.fold.version
        self.withdrawn |= self.fold.keys.withdrawn
        for key, key_hash in HASHES.items():
            if key_hash in self.withdrawn:
                assert self.fold.keys.resolve(key) is None


class ConfigStateMachine(RuleBasedStateMachine):
    """Racing operators, two readers, checkpoints and a log that is trimmed."""

    @initialize()
    def start(self):
        self.log = []
        self.earliest = 0
        self.readers = [Reader(), Reader()]
        self.count = 0

    def append(self, cls, *fields):
        self.count += 1
        self.log.append(cls(f"id-{self.count}", "operator", *fields))

    @rule(reader=st.integers(0, 1), document=st.integers(0, len(DOCUMENTS) - 1))
    def publish(self, reader, document):
        base_version = self.readers[reader].fold.version
        self.append(PublishConfiguration, base_version, DOCUMENTS[document])

    @rule(key=st.sampled_from(KEYS), team=st.sampled_from([*TEAMS, "nobody"]))
    def give_key(self, key, team):
        self.append(GiveKey, team, HASHES[key], "label")

    @rule(key=st.sampled_from(KEYS))
    def withdraw_key(self, key):
        self.append(WithdrawKey, HASHES[key])

    @rule(cls=st.sampled_from([DrainBackend, UndrainBackend]), data=st.data())
    def drain_or_undrain(self, cls, data):
        self.append(cls, data.draw(st.sampled_from(BACKENDS)))

    @precondition(lambda self: self.log)
    @rule(data=st.data())
    def append_again(self, data):
        self.log.append(data.draw(st.sampled_from(self.log)))

    @rule()
    def append_undecodable(self):
        self.log.append(SKIPPED)

    @rule(reader=st.integers(0, 1), count=st.integers(1, 8))
    def read(self, reader, count):
        fold = self.readers[reader].fold
        if fold.next_offset < self.earliest:
            self.load_checkpoint(fold)
        for _ in range(min(count, len(self.log) - fold.next_offset)):
            self.deliver(fold, fold.next_offset)

    def deliver(self, fold, offset):
        if self.log[offset] is SKIPPED:
            fold.skip(offset)
        else:
            fold.apply(offset, self.log[offset])

    def load_checkpoint(self, fold):
        for record in self.log[self.earliest :]:
            if isinstance(record, Checkpoint):
                if record.covers_offset >= self.earliest - 1:
                    fold.load_state(record.covers_offset, record.state)
                    return
        raise AssertionError("the log was trimmed beyond its checkpoints")

    @rule(reader=st.integers(0, 1), data=st.data())
    def deliver_again(self, reader, data):
        fold = self.readers[reader].fold
        if self.earliest < fold.next_offset:
            before = fold.to_state()
            offset = data.draw(st.integers(self.earliest, fold.next_offset - 1))
            self.deliver(fold, offset)
            assert fold.to_state() == before

    @rule(reader=st.integers(0, 1), skipped=st.integers(1, 3))
    def deliver_past_a_gap(self, reader, skipped):
        fold = self.readers[reader].fold
        if fold.next_offset + skipped < len(self.log):
            before = fold.to_state()
            with pytest.raises(OffsetGap):
                self.deliver(fold, fold.next_offset + skipped)
            assert fold.to_state() == before

    @rule(reader=st.integers(0, 1))
    def publish_checkpoint(self, reader):
        fold = self.readers[reader].fold
        if fold.next_offset:
            state = json.loads(json.dumps(fold.to_state()))
            self.append(Checkpoint, fold.next_offset - 1, state)

    @rule(data=st.data())
    def trim(self, data):
        """Trims as far as a retained checkpoint allows."""
        limits = [
            min(offset, record.covers_offset + 1)
            for offset, record in enumerate(self.log)
            if isinstance(record, Checkpoint)
        ]
        if limits and max(limits) > self.earliest:
            self.earliest = data.draw(st.integers(self.earliest, max(limits)))

    @rule(reader=st.integers(0, 1))
    def take_snapshot_from_peer(self, reader):
        fold, peer = self.readers[reader].fold, self.readers[1 - reader].fold
        state = json.loads(json.dumps(peer.to_state()))
        fold.load_state(peer.next_offset - 1, state)

    @rule(reader=st.integers(0, 1))
    def replace_vm(self, reader):
        self.readers[reader] = Reader()

    @invariant()
    def nothing_reverts(self):
        for reader in getattr(self, "readers", ()):
            reader.check()

    def teardown(self):
        if not hasattr(self, "log"):
            return
        model = Model()
        for offset, record in enumerate(self.log):
            model.apply(offset, record)
        for number, reader in enumerate(self.readers):
            self.read(number, len(self.log))
            reader.check()
            fold = reader.fold
            assert fold.version == model.version
            assert fold.configuration.version == model.version
            assert fold.drained == model.drained
            assert fold.keys.withdrawn == model.withdrawn
            for key in KEYS:
                assert fold.keys.resolve(key) == model.team_of(key)
        first, second = (reader.fold for reader in self.readers)
        assert first.digest() == second.digest()
        assert first.to_state() == second.to_state()


TestConfigState = ConfigStateMachine.TestCase
TestConfigState.settings = settings(
    derandomize=True, max_examples=2000, stateful_step_count=50, deadline=None
)


def state_with(*records):
    state = ConfigState()
    for offset, record in enumerate(records):
        result = state.apply(offset, record)
        assert isinstance(result, Applied), result
    return state


PUBLISH = PublishConfiguration("p", "operator", 0, DOCUMENT)
HASH = HASHES[KEYS[0]]
GIVE = GiveKey("g", "operator", "team-a", HASH, "shop")


@pytest.mark.parametrize(
    ("record", "reason"),
    [
        (PublishConfiguration("x", "o", 0, DOCUMENT), "based on version 0; version 1"),
        (PublishConfiguration("x", "o", 1, {}), "field 'zones' is missing"),
        (
            PublishConfiguration(
                "x", "o", 1, with_value(DOCUMENT, "teams", 1, "keys", value=[HASH])
            ),
            "was given to 'team-a'",
        ),
        (GiveKey("x", "o", "riggers", HASH), "belongs to team 'team-a' already"),
        (GiveKey("x", "o", "nobody", HASHES[KEYS[1]]), "unknown team"),
        (GiveKey("x", "o", "riggers", "sha256:12"), "malformed"),
        (WithdrawKey("x", "o", "ck-plain"), "malformed"),
        (DrainBackend("x", "o", "nothing"), "unknown backend"),
        (UndrainBackend("x", "o", "engine-1"), "is not drained"),
        (ClaimLease("x", "o", "placement", 0, 0), "does not belong"),
    ],
)
def test_rejected_record_changes_nothing(record, reason):
    """Guards against a rejected record with an effect or without a reason."""
    state = state_with(PUBLISH, GIVE)
    digest = state.digest()
    result = state.apply(2, record)
    assert isinstance(result, Rejected)
    assert reason in result.reason
    assert state.digest() == digest
    assert state.rejections[-1].id == record.id
    # The same record appended twice has the same result.
    assert state.apply(3, record).reason == result.reason


def test_withdrawn_key_cannot_be_given_or_published_again():
    """Guards against a key that works again after its withdrawal."""
    state = state_with(PUBLISH, GIVE, WithdrawKey("w", "operator", HASH))
    assert isinstance(state.apply(3, GiveKey("h", "o", "riggers", HASH)), Rejected)
    document = with_value(DOCUMENT, "teams", 1, "keys", value=[HASH])
    assert isinstance(
        state.apply(4, PublishConfiguration("q", "operator", 1, document)), Applied
    )
    assert state.keys.resolve(KEYS[0]) is None


def test_checkpoint_with_an_older_version_is_a_violation():
    """Guards against a checkpoint that would bring an old configuration back."""
    old = state_with(PUBLISH).to_state()
    state = state_with(PUBLISH, PublishConfiguration("q", "operator", 1, DOCUMENTS[3]))
    with pytest.raises(InvariantViolation, match="configuration-never-reverts"):
        state.load_state(9, old)
    assert state.version == 2


@pytest.mark.parametrize(
    # load_state takes the offset from the record.
    "name",
    sorted(ConfigState().to_state().keys() - {"next_offset"}),
)
def test_malformed_checkpoint_changes_nothing(name):
    """Guards against a half-loaded checkpoint."""
    state = state_with(PUBLISH, GIVE)
    malformed = copy.deepcopy(state.to_state())
    del malformed[name]
    before = state.to_state()
    with pytest.raises(InvalidRecord):
        state.load_state(9, malformed)
    assert state.to_state() == before
