"""Record types of the log streams, with their JSON encoding and decoding."""

from result import Err, Ok

from .errors import InvalidRecord

# Limit for names and identifiers, not for response bodies or documents.
MAX_TEXT_CHARACTERS = 4096
# Above this, a JSON parser that reads numbers as doubles loses precision.
MAX_INTEGER = 2**53


class Record:
    """Base class of the records of a log stream.

    A subclass lists in `fields` the fields that it writes beside `kind`, `id` and
    `vm`, with the types that the decoder accepts.

    Parameters
    ----------
    id : str
        Unique identifier. Readers of the stream use it to ignore a record that was
        appended twice.
    vm : str
        Name of the writer: a VM or an operator.
    """

    __slots__ = ("id", "vm")
    kind = ""
    fields = {}

    def __init__(self, id, vm):
        self.id = id
        self.vm = vm

    def __eq__(self, other):
        return type(self) is type(other) and encode_record(self) == encode_record(other)

    def __repr__(self):
        return f"{type(self).__name__}({encode_record(self)})"

    __hash__ = None


class PublishConfiguration(Record):
    """An operator publishes a configuration.

    It is rejected unless `base_version`, the version that the operator edited, is
    still in force.
    """

    __slots__ = ("base_version", "document")
    kind = "publish-configuration"
    fields = {"base_version": int, "document": dict}

    def __init__(self, id, vm, base_version, document):
        super().__init__(id, vm)
        self.base_version = base_version
        self.document = document


class GiveKey(Record):
    """An operator assigns an API key to a team; only the hash is stored."""

    __slots__ = ("team", "key_hash", "label")
    kind = "give-key"
    fields = {"team": str, "key_hash": str, "label": str}

    def __init__(self, id, vm, team, key_hash, label=""):
        super().__init__(id, vm)
        self.team = team
        self.key_hash = key_hash
        self.label = label


class WithdrawKey(Record):
    """An operator revokes an API key permanently."""

    __slots__ = ("key_hash",)
    kind = "withdraw-key"
    fields = {"key_hash": str}

    def __init__(self, id, vm, key_hash):
        super().__init__(id, vm)
        self.key_hash = key_hash


class DrainBackend(Record):
    """An operator drains a backend server, so that it gets no new requests."""

    __slots__ = ("backend",)
    kind = "drain-backend"
    fields = {"backend": str}

    def __init__(self, id, vm, backend):
        super().__init__(id, vm)
        self.backend = backend


class UndrainBackend(Record):
    """An operator ends the draining of a backend server."""

    __slots__ = ("backend",)
    kind = "undrain-backend"
    fields = {"backend": str}

    def __init__(self, id, vm, backend):
        super().__init__(id, vm)
        self.backend = backend


class Checkpoint(Record):
    """State of the `config` stream after the record at `covers_offset`."""

    __slots__ = ("covers_offset", "state")
    kind = "checkpoint"
    fields = {"covers_offset": int, "state": dict}

    def __init__(self, id, vm, covers_offset, state):
        super().__init__(id, vm)
        self.covers_offset = covers_offset
        self.state = state


class RegisterVm(Record):
    """A VM joins its zone.

    Each start of a VM has a new incarnation, which tells it from earlier ones.
    """

    __slots__ = ("address", "incarnation")
    kind = "register-vm"
    fields = {"address": str, "incarnation": str}

    def __init__(self, id, vm, address, incarnation):
        super().__init__(id, vm)
        self.address = address
        self.incarnation = incarnation


class ReleaseVm(Record):
    """A VM leaves its zone because it shuts down as planned."""

    __slots__ = ("incarnation",)
    kind = "release-vm"
    fields = {"incarnation": str}

    def __init__(self, id, vm, incarnation):
        super().__init__(id, vm)
        self.incarnation = incarnation


class SuspectVm(Record):
    """A VM reports that another VM does not respond to probes."""

    __slots__ = ("suspect", "incarnation")
    kind = "suspect-vm"
    fields = {"suspect": str, "incarnation": str}

    def __init__(self, id, vm, suspect, incarnation):
        super().__init__(id, vm)
        self.suspect = suspect
        self.incarnation = incarnation


class ClaimLease(Record):
    """A VM claims a lease after the fence `previous_fence`.

    `seen_offset` is the offset + 1 of the last accepted claim or renewal of the
    lease that the claimant has read. It lets readers reject a claim whose writer had
    not read the latest renewal, although a renewal does not change the fence.
    """

    __slots__ = ("lease", "previous_fence", "seen_offset", "orphaned")
    kind = "claim-lease"
    fields = {"lease": str, "previous_fence": int, "seen_offset": int, "orphaned": bool}

    def __init__(self, id, vm, lease, previous_fence, seen_offset, orphaned=False):
        super().__init__(id, vm)
        self.lease = lease
        self.previous_fence = previous_fence
        self.seen_offset = seen_offset
        self.orphaned = orphaned


class RenewLease(Record):
    """The holder of a lease renews it."""

    __slots__ = ("lease", "fence")
    kind = "renew-lease"
    fields = {"lease": str, "fence": int}

    def __init__(self, id, vm, lease, fence):
        super().__init__(id, vm)
        self.lease = lease
        self.fence = fence


class ReleaseLease(Record):
    """The holder of a lease releases it; `note` is data for the next holder."""

    __slots__ = ("lease", "fence", "note")
    kind = "release-lease"
    fields = {"lease": str, "fence": int, "note": dict}

    def __init__(self, id, vm, lease, fence, note=None):
        super().__init__(id, vm)
        self.lease = lease
        self.fence = fence
        self.note = {} if note is None else note


class IntendOrder(Record):
    """A write-ahead record of a load or unload order, appended before it is sent."""

    __slots__ = (
        "order_id",
        "engine",
        "action",
        "name",
        "version",
        "memory_mb",
        "fence",
    )
    kind = "intend-order"
    fields = {
        "order_id": str,
        "engine": str,
        "action": str,
        "name": str,
        "version": str,
        "memory_mb": int,
        "fence": int,
    }

    def __init__(
        self, id, vm, order_id, engine, action, name, version, memory_mb, fence
    ):
        super().__init__(id, vm)
        self.order_id = order_id
        self.engine = engine
        self.action = action
        self.name = name
        self.version = version
        self.memory_mb = memory_mb
        self.fence = fence


class SettleOrder(Record):
    """The outcome of an order to an engine: done, failed, not-accepted or expired."""

    __slots__ = ("order_id", "outcome")
    kind = "settle-order"
    fields = {"order_id": str, "outcome": str}

    def __init__(self, id, vm, order_id, outcome):
        super().__init__(id, vm)
        self.order_id = order_id
        self.outcome = outcome


class ClaimRequest(Record):
    """A VM claims an idempotency key, before it dispatches the request."""

    __slots__ = ("team", "key", "fingerprint", "request_id", "wall_ms")
    kind = "claim-request"
    fields = {
        "team": str,
        "key": str,
        "fingerprint": str,
        "request_id": str,
        "wall_ms": int,
    }

    def __init__(self, id, vm, team, key, fingerprint, request_id, wall_ms):
        super().__init__(id, vm)
        self.team = team
        self.key = key
        self.fingerprint = fingerprint
        self.request_id = request_id
        self.wall_ms = wall_ms


class RecordOutcome(Record):
    """The response to a claimed request; `body` is None if it was too large."""

    __slots__ = ("request_id", "status", "content_type", "body", "wall_ms")
    kind = "record-outcome"
    fields = {
        "request_id": str,
        "status": int,
        "content_type": str,
        "body": (str, type(None)),
        "wall_ms": int,
    }

    def __init__(self, id, vm, request_id, status, content_type, body, wall_ms):
        super().__init__(id, vm)
        self.request_id = request_id
        self.status = status
        self.content_type = content_type
        self.body = body
        self.wall_ms = wall_ms


class AbandonClaim(Record):
    """A claimed request did not run; its key can be claimed again."""

    __slots__ = ("request_id",)
    kind = "abandon-claim"
    fields = {"request_id": str}

    def __init__(self, id, vm, request_id):
        super().__init__(id, vm)
        self.request_id = request_id


RECORD_CLASSES = {cls.kind: cls for cls in Record.__subclasses__()}


def encode_record(record):
    """Return the JSON object that represents a record in the log."""
    value = {"kind": record.kind, "id": record.id, "vm": record.vm}
    for name in record.fields:
        value[name] = getattr(record, name)
    return value


def decode_record(value):
    """Decode a record from the JSON object that represents it in the log.

    Parameters
    ----------
    value : object
        Parsed JSON. Unknown fields are ignored, so that a VM can read the records of
        one that runs a newer version.

    Returns
    -------
    Result[Record, InvalidRecord]
    """
    if not isinstance(value, dict):
        return Err(InvalidRecord("the record is not an object"))
    kind = value.get("kind")
    cls = RECORD_CLASSES.get(kind) if isinstance(kind, str) else None
    if cls is None:
        return Err(InvalidRecord(f"unknown record kind {kind!r:.100}"))
    arguments = {}
    for name, types in {"id": str, "vm": str, **cls.fields}.items():
        error = _field_error(value, name, types)
        if error is not None:
            return Err(InvalidRecord(f"{kind}: {error}"))
        arguments[name] = value[name]
    return Ok(cls(**arguments))


def _field_error(value, name, types):
    if name not in value:
        return f"field {name} is missing"
    field = value[name]
    # Python's bool is a subclass of int, but JSON booleans are not numbers.
    if not isinstance(field, types) or (isinstance(field, bool) and types is not bool):
        return f"field {name} has type {type(field).__name__}"
    if types is int and not 0 <= field <= MAX_INTEGER:
        return f"field {name} is out of range"
    if isinstance(field, str) and name != "body" and len(field) > MAX_TEXT_CHARACTERS:
        return f"field {name} is longer than {MAX_TEXT_CHARACTERS} characters"
    if name in ("id", "vm") and not field:
        return f"field {name} is empty"
    return None
