"""State of the ``config`` stream: configuration, API keys, drained backend servers."""

import hashlib
import json
from collections import deque
from functools import singledispatchmethod

from .configuration import (
    Configuration,
    InvalidConfiguration,
    configuration_from_document,
)
from .errors import InvalidRecord, OffsetGap
from .findings import shorten
from .invariants import CONFIGURATION_NEVER_REVERTS, require
from .keys import KeyTable, is_key_hash
from .records import (
    Checkpoint,
    DrainBackend,
    GiveKey,
    PublishConfiguration,
    UndrainBackend,
    WithdrawKey,
)
from .stream_state import Applied, Rejected, SeenIds

# Checkpoints contain these identifiers, so fewer are kept than by default. That is
# enough: the stream gets a few thousand records a day, and a writer that gets no reply
# to an append retries within seconds.
CONFIG_SEEN_IDS_LIMIT = 1_000
REJECTIONS_KEPT = 20


class GivenKey:
    """An API key that an operator assigned to a team with a `GiveKey` record.

    Parameters
    ----------
    team, label : str
    offset : int
        Offset of the `GiveKey` record.
    """

    __slots__ = ("team", "label", "offset")

    def __init__(self, team, label, offset):
        self.team = team
        self.label = label
        self.offset = offset


class Rejection:
    """A rejected record, kept to be shown to operators.

    Parameters
    ----------
    offset : int
    kind, id, vm, reason : str
        `kind`, `id` and `vm` are empty for a record that could not be decoded.
    """

    __slots__ = ("offset", "kind", "id", "vm", "reason")

    def __init__(self, offset, kind, id, vm, reason):
        self.offset = offset
        self.kind = kind
        self.id = id
        self.vm = vm
        self.reason = reason

    def to_state(self):
        """Return the rejection as a JSON array."""
        return [self.offset, self.kind, self.id, self.vm, self.reason]


class ConfigState:
    """State built by applying the records of the ``config`` stream in order.

    All VMs apply the same records and so reach the same state. Records that conflict
    with the state are rejected and change nothing.

    Attributes
    ----------
    next_offset : int
        Offset of the next record to apply.
    version : int
        Configuration version in force; 0 before the first one.
    document : dict
        The configuration in force, as it was published.
    configuration : Configuration
        The parsed `document`.
    keys : KeyTable
        Always the same object, updated in place.
    given : dict of str to GivenKey
        Key hash -> key that was assigned by a record and not withdrawn.
    drained : set of str
        Names of the backend servers that operators have drained.
    rejections : deque of Rejection
        The latest rejected records.
    """

    __slots__ = (
        "next_offset",
        "version",
        "document",
        "configuration",
        "keys",
        "given_keys",
        "drained",
        "rejections",
        "_seen_ids",
    )

    def __init__(self):
        self.next_offset = 0
        self.version = 0
        self.document = {}
        self.configuration = Configuration()
        self.keys = KeyTable()
        self.given_keys = {}
        self.drained = set()
        self.rejections = deque(maxlen=REJECTIONS_KEPT)
        self._seen_ids = SeenIds(limit=CONFIG_SEEN_IDS_LIMIT)

    @classmethod
    def from_state(cls, state):
        """Create a `ConfigState` from the result of `to_state`."""
        config_state = cls()
        config_state.load_state(state["next_offset"] - 1, state)
        return config_state

    def apply(self, offset, record):
        """Apply the record at an offset.

        Parameters
        ----------
        offset : int
        record : Record

        Returns
        -------
        Applied or Rejected
            `Applied` also for an offset below `next_offset`, which changes nothing.

        Raises
        ------
        OffsetGap
            If records between `next_offset` and `offset` are missing.
        """
        if offset < self.next_offset:
            return Applied(offset)
        self._advance(offset)
        if not self._seen_ids.add(record.id):
            return self._first_result(record.id, offset)
        reason = self._apply(record, offset)
        if reason is None:
            return Applied(offset)
        rejection = Rejection(offset, record.kind, record.id, record.vm, reason)
        self.rejections.append(rejection)
        return Rejected(offset, reason)

    def _first_result(self, id, offset):
        """Return the result that the first copy of a duplicate record had."""
        for rejection in self.rejections:
            if rejection.id == id:
                return Rejected(offset, rejection.reason)
        return Applied(offset)

    def skip(self, offset):
        """Skip a record that cannot be decoded, and list it as rejected."""
        if offset < self.next_offset:
            return
        self._advance(offset)
        reason = "the record cannot be decoded"
        self.rejections.append(Rejection(offset, "", "", "", reason))

    def _advance(self, offset):
        if offset != self.next_offset:
            raise OffsetGap("config", self.next_offset, offset)
        self.next_offset = offset + 1

    @singledispatchmethod
    def _apply(self, record, offset):
        """Apply a record to the state; return why it was rejected, or None."""
        return f"a record of kind {record.kind} does not belong in this stream"

    @_apply.register
    def _(self, record: Checkpoint, offset):
        # A checkpoint only covers records before it, and those were applied already.
        return None

    @_apply.register
    def _(self, record: PublishConfiguration, offset):
        if record.base_version != self.version:
            return (
                f"based on version {record.base_version};"
                f" version {self.version} is in force"
            )
        try:
            configuration = configuration_from_document(record.document, offset + 1)
        except InvalidConfiguration as error:
            return f"the configuration is invalid: {shorten(error, 1000)}"
        for team in configuration.teams.values():
            for key_hash in sorted(team.key_hashes):
                owner = self.given_keys.get(key_hash)
                if owner is not None and owner.team != team.name:
                    return f"a key of team {team.name!r} was given to {owner.team!r}"
        self._activate(offset + 1, record.document, configuration)
        self.drained &= configuration.backends.keys()
        return None

    @_apply.register
    def _(self, record: GiveKey, offset):
        if not is_key_hash(record.key_hash):
            return "the key hash is malformed"
        if record.key_hash in self.keys.withdrawn:
            return "the key was withdrawn"
        if record.team not in self.configuration.teams:
            return f"unknown team {record.team!r}"
        owner = self._owning_team(record.key_hash)
        if owner is not None:
            return f"the key belongs to team {owner!r} already"
        self.given_keys[record.key_hash] = GivenKey(record.team, record.label, offset)
        self._rebuild_key_table()
        return None

    @_apply.register
    def _(self, record: WithdrawKey, offset):
        if not is_key_hash(record.key_hash):
            return "the key hash is malformed"
        # Unknown keys are withdrawn as well, so that a `GiveKey` record that arrives
        # late is rejected.
        self.keys.withdraw(record.key_hash)
        self.given_keys.pop(record.key_hash, None)
        return None

    @_apply.register
    def _(self, record: DrainBackend, offset):
        if record.backend not in self.configuration.backends:
            return f"unknown backend {record.backend!r}"
        self.drained.add(record.backend)
        return None

    @_apply.register
    def _(self, record: UndrainBackend, offset):
        if record.backend not in self.drained:
            return f"backend {record.backend!r} is not drained"
        self.drained.discard(record.backend)
        return None

    def _owning_team(self, key_hash):
        if key_hash in self.given_keys:
            return self.given_keys[key_hash].team
        for team in self.configuration.teams.values():
            if key_hash in team.key_hashes:
                return team.name
        return None

    def _activate(self, version, document, configuration):
        require(
            version > self.version,
            CONFIGURATION_NEVER_REVERTS,
            version=version,
            in_force=self.version,
        )
        self.version = version
        self.document = document
        self.configuration = configuration
        self._rebuild_key_table()

    def _rebuild_key_table(self):
        team_by_key_hash = {
            key_hash: given.team
            for key_hash, given in self.given_keys.items()
            # A key stays assigned while its team is missing from the configuration,
            # but it identifies no caller.
            if given.team in self.configuration.teams
        }
        for team in self.configuration.teams.values():
            team_by_key_hash.update(dict.fromkeys(team.key_hashes, team.name))
        self.keys.replace(team_by_key_hash)

    def to_state(self):
        """Return the state as JSON, for checkpoints and for snapshots to peers."""
        return {
            **self._shared_state(),
            "next_offset": self.next_offset,
            "rejections": [rejection.to_state() for rejection in self.rejections],
            "seen_ids": list(self._seen_ids),
        }

    def _shared_state(self):
        return {
            "version": self.version,
            "document": self.document,
            "given": {
                key_hash: [given.team, given.label, given.offset]
                for key_hash, given in sorted(self.given_keys.items())
            },
            "withdrawn": sorted(self.keys.withdrawn),
            "drained": sorted(self.drained),
        }

    def load_state(self, covers_offset, state):
        """Replace the state with that of a checkpoint or of a peer's snapshot.

        Parameters
        ----------
        covers_offset : int
            Offset of the last record in `state`. If this object has applied that
            record already, nothing changes.
        state : dict

        Raises
        ------
        InvalidRecord
            If `state` is malformed. This object is unchanged then.
        """
        if covers_offset < self.next_offset:
            return
        loaded = _ParsedState(state)
        require(
            loaded.version >= self.version,
            CONFIGURATION_NEVER_REVERTS,
            version=loaded.version,
            in_force=self.version,
            covers_offset=covers_offset,
        )
        # Withdrawals are permanent: also keep those that are missing from `state`.
        for key_hash in loaded.withdrawn:
            self.keys.withdraw(key_hash)
        self.given_keys = {
            key_hash: given
            for key_hash, given in loaded.given_keys.items()
            if key_hash not in self.keys.withdrawn
        }
        self.drained = loaded.drained
        self.rejections = deque(loaded.rejections, maxlen=REJECTIONS_KEPT)
        self._seen_ids = SeenIds(loaded.seen_ids, CONFIG_SEEN_IDS_LIMIT)
        self.next_offset = covers_offset + 1
        if loaded.version > self.version:
            self._activate(loaded.version, loaded.document, loaded.configuration)
        else:
            self._rebuild_key_table()

    def digest(self):
        """Return a digest that is equal on VMs that have applied the same records."""
        text = json.dumps(self._shared_state(), sort_keys=True, separators=(",", ":"))
        return hashlib.sha256(text.encode()).hexdigest()


class _ParsedState:
    """A serialized state after its fields were converted and validated."""

    __slots__ = (
        "version",
        "document",
        "configuration",
        "given_keys",
        "withdrawn",
        "drained",
        "rejections",
        "seen_ids",
    )

    def __init__(self, state):
        try:
            self.version = int(state["version"])
            self.document = dict(state["document"])
            self.configuration = Configuration()
            if self.version:
                self.configuration = configuration_from_document(
                    self.document, self.version
                )
            self.given_keys = {
                key_hash: GivenKey(str(team), str(label), int(offset))
                for key_hash, (team, label, offset) in state["given"].items()
            }
            self.withdrawn = {str(key_hash) for key_hash in state["withdrawn"]}
            self.drained = {str(name) for name in state["drained"]}
            self.rejections = [Rejection(*parts) for parts in state["rejections"]]
            self.seen_ids = [str(id) for id in state["seen_ids"]]
        except (
            KeyError,
            TypeError,
            ValueError,
            AttributeError,
            InvalidConfiguration,
        ) as error:
            raise InvalidRecord(f"malformed state of config: {error}") from error
