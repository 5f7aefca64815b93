"""Tests of the state of the ``config`` stream."""

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
from cassiamount.stream_state import Applied, Rejected

from .documents import DOCUMENT, with_value

KEYS = [f"ck-{number}" for number in range(4)]
HASHES = {key: hash_key(key) for key in KEYS}
TEAMS = ["team-a", "riggers"]
BACKENDS = ["engine-1", "orders-1"]

# Configurations that differ in their teams, keys and backend servers. The last two are
# invalid.
DOCUMENTS = [
    DOCUMENT,
    with_value(DOCUMENT, "teams", 1, "keys", value=[HASHES[KEYS[0]]]),
    with_value(DOCUMENT, "teams", value=[]),
    with_value(DOCUMENT, "teams", 0, value=...),
    with_value(DOCUMENT, "backends", 1, value=...),
    with_value(DOCUMENT, "zones", value=[]),
    {},
]
UNDECODABLE = object()


class ReferenceModel:
    """Reference model: the expected state, computed from all records of the log."""

    def __init__(self):
        self.version, self.document, self.ids = 0, None, set()
        self.given_keys, self.withdrawn, self.drained = {}, set(), set()

    def apply(self, offset, record):
        if record is UNDECODABLE or record.id in self.ids:
            return
        self.ids.add(record.id)
        teams = {
            team["name"]: team for team in (self.document or {"teams": []})["teams"]
        }
        match record:
            case PublishConfiguration():
                # Documents 0 to 4 are valid unless they assign a key that a `GiveKey`
                # record assigned to another team.
                valid = record.document in DOCUMENTS[:5] and all(
                    self.given_keys.get(key_hash, team["name"]) == team["name"]
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
                taken = record.key_hash in self.given_keys or owned
                if record.team in teams and not taken:
                    if record.key_hash not in self.withdrawn:
                        self.given_keys[record.key_hash] = record.team
            case WithdrawKey():
                self.withdrawn.add(record.key_hash)
                self.given_keys.pop(record.key_hash, None)
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
                self.given_keys.get(key_hash) == team["name"]
            ):
                return team["name"]
        return None


class StateReader:
    """A VM's state, and the values seen so far that must never be reverted."""

    def __init__(self):
        self.config_state = ConfigState()
        self.version = 0
        self.withdrawn = set()

    def check(self):
        assert self.config_state.version >= self.version
        self.version = self.config_state.version
        self.withdrawn |= self.config_state.keys.withdrawn
        for key, key_hash in HASHES.items():
            if key_hash in self.withdrawn:
                assert self.config_state.keys.resolve(key) is None


class ConfigStateMachine(RuleBasedStateMachine):
    """Concurrent operators and two VMs, with checkpoints and a log that is trimmed."""

    @initialize()
    def start(self):
        self.log = []
        self.earliest = 0
        self.readers = [StateReader(), StateReader()]
        self.count = 0

    def append(self, cls, *fields):
        self.count += 1
        self.log.append(cls(f"id-{self.count}", "operator", *fields))

    @rule(reader=st.integers(0, 1), document=st.integers(0, len(DOCUMENTS) - 1))
    def publish(self, reader, document):
        base_version = self.readers[reader].config_state.version
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
        self.log.append(UNDECODABLE)

    @rule(reader=st.integers(0, 1), count=st.integers(1, 8))
    def read(self, reader, count):
        config_state = self.readers[reader].config_state
        if config_state.next_offset < self.earliest:
            self.load_checkpoint(config_state)
        for _ in range(min(count, len(self.log) - config_state.next_offset)):
            self.deliver(config_state, config_state.next_offset)

    def deliver(self, config_state, offset):
        if self.log[offset] is UNDECODABLE:
            config_state.skip(offset)
        else:
            config_state.apply(offset, self.log[offset])

    def load_checkpoint(self, config_state):
        for record in self.log[self.earliest :]:
            if isinstance(record, Checkpoint):
                if record.covers_offset >= self.earliest - 1:
                    config_state.load_state(record.covers_offset, record.state)
                    return
        raise AssertionError("the log was trimmed beyond its checkpoints")

    @rule(reader=st.integers(0, 1), data=st.data())
    def deliver_again(self, reader, data):
        config_state = self.readers[reader].config_state
        if self.earliest < config_state.next_offset:
            before = config_state.to_state()
            offset = data.draw(st.integers(self.earliest, config_state.next_offset - 1))
            self.deliver(config_state, offset)
            assert config_state.to_state() == before

    @rule(reader=st.integers(0, 1), skipped=st.integers(1, 3))
    def deliver_past_a_gap(self, reader, skipped):
        config_state = self.readers[reader].config_state
        if config_state.next_offset + skipped < len(self.log):
            before = config_state.to_state()
            with pytest.raises(OffsetGap):
                self.deliver(config_state, config_state.next_offset + skipped)
            assert config_state.to_state() == before

    @rule(reader=st.integers(0, 1))
    def publish_checkpoint(self, reader):
        config_state = self.readers[reader].config_state
        if config_state.next_offset:
            state = json.loads(json.dumps(config_state.to_state()))
            self.append(Checkpoint, config_state.next_offset - 1, state)

    @rule(data=st.data())
    def trim(self, data):
        """Trim records, but only those that a checkpoint in the log covers."""
        limits = [
            min(offset, record.covers_offset + 1)
            for offset, record in enumerate(self.log)
            if isinstance(record, Checkpoint)
        ]
        if limits and max(limits) > self.earliest:
            self.earliest = data.draw(st.integers(self.earliest, max(limits)))

    @rule(reader=st.integers(0, 1))
    def take_snapshot_from_peer(self, reader):
        config_state, peer = (
            self.readers[reader].config_state,
            self.readers[1 - reader].config_state,
        )
        state = json.loads(json.dumps(peer.to_state()))
        config_state.load_state(peer.next_offset - 1, state)

    @rule(reader=st.integers(0, 1))
    def replace_vm(self, reader):
        self.readers[reader] = StateReader()

    @invariant()
    def nothing_reverts(self):
        for reader in getattr(self, "readers", ()):
            reader.check()

    def teardown(self):
        if not hasattr(self, "log"):
            return
        reference_model = ReferenceModel()
        for offset, record in enumerate(self.log):
            reference_model.apply(offset, record)
        for number, reader in enumerate(self.readers):
            self.read(number, len(self.log))
            reader.check()
            config_state = reader.config_state
            assert config_state.version == reference_model.version
            assert config_state.configuration.version == reference_model.version
            assert config_state.drained == reference_model.drained
            assert config_state.keys.withdrawn == reference_model.withdrawn
            for key in KEYS:
                assert config_state.keys.resolve(key) == reference_model.team_of(key)
        first, second = (reader.config_state for reader in self.readers)
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
    """Guards against a rejected record that changes the state or gives no reason."""
    state = state_with(PUBLISH, GIVE)
    digest = state.digest()
    result = state.apply(2, record)
    assert isinstance(result, Rejected)
    assert reason in result.reason
    assert state.digest() == digest
    assert state.rejections[-1].id == record.id
    # A second copy of the record has the same result.
    assert state.apply(3, record).reason == result.reason


def test_withdrawn_key_cannot_be_given_or_published_again():
    """Guards against a withdrawn key that a later record makes valid again."""
    state = state_with(PUBLISH, GIVE, WithdrawKey("w", "operator", HASH))
    assert isinstance(state.apply(3, GiveKey("h", "o", "riggers", HASH)), Rejected)
    document = with_value(DOCUMENT, "teams", 1, "keys", value=[HASH])
    assert isinstance(
        state.apply(4, PublishConfiguration("q", "operator", 1, document)), Applied
    )
    assert state.keys.resolve(KEYS[0]) is None


def test_checkpoint_with_an_older_version_is_a_violation():
    """Guards against a checkpoint that reverts to an older configuration."""
    old = state_with(PUBLISH).to_state()
    state = state_with(PUBLISH, PublishConfiguration("q", "operator", 1, DOCUMENTS[3]))
    with pytest.raises(InvariantViolation, match="configuration-never-reverts"):
        state.load_state(9, old)
    assert state.version == 2


@pytest.mark.parametrize(
    # `load_state` gets the offset as an argument and ignores `next_offset`.
    "name",
    sorted(ConfigState().to_state().keys() - {"next_offset"}),
)
def test_malformed_checkpoint_changes_nothing(name):
    """Guards against a malformed checkpoint that is loaded in part."""
    state = state_with(PUBLISH, GIVE)
    malformed = copy.deepcopy(state.to_state())
    del malformed[name]
    before = state.to_state()
    with pytest.raises(InvalidRecord):
        state.load_state(9, malformed)
    assert state.to_state() == before
