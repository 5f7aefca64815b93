"""State of one zone, built from its log stream: members, leases, engine orders."""

from collections import deque
from functools import singledispatchmethod

import orjson
import xxhash
from result import UnwrapError

from .errors import InvalidRecord, OffsetGap
from .lease_state import Lease
from .records import (
    Checkpoint,
    ClaimLease,
    IntendOrder,
    RegisterVm,
    ReleaseLease,
    ReleaseVm,
    RenewLease,
    SettleOrder,
    SuspectVm,
    decode_record,
    encode_record,
)
from .stream_state import Applied, Rejected, SeenIds

PLACEMENT_LEASE = "placement"
SETTLE_OUTCOMES = ("done", "failed", "not-accepted", "expired")
# Number of record ids kept to reject repeated records. A zone stream has a few records
# a second, and a repeat follows its first copy within seconds.
ZONE_SEEN_IDS_LIMIT = 5_000
REJECTIONS_KEPT = 20
STATE_FORMAT = 1


def vm_identity(name, incarnation):
    """Return the identity under which a VM writes records."""
    return f"{name}@{incarnation}"


def vm_name(identity):
    """Return the VM name that an identity contains."""
    return identity.rpartition("@")[0]


class Member:
    """A registered VM of the zone."""

    __slots__ = ("name", "incarnation", "address")

    def __init__(self, name, incarnation, address):
        self.name = name
        self.incarnation = incarnation
        self.address = address

    @property
    def identity(self):
        """``<name>@<incarnation>``."""
        return vm_identity(self.name, self.incarnation)


class UnsettledOrder:
    """An order to an engine whose outcome is not recorded yet.

    Parameters
    ----------
    offset : int
        Offset of the record.
    record : IntendOrder
    """

    __slots__ = ("offset", "record")

    def __init__(self, offset, record):
        self.offset = offset
        self.record = record

    @property
    def is_unload(self):
        """Whether the order unloads a model or adapter."""
        return self.record.action.startswith("unload")


class ZoneState:
    """State of one zone, built by applying the records of its log stream in order.

    All VMs of the zone apply the same records and so reach the same state. Records
    that conflict with the state are rejected and change nothing.

    Parameters
    ----------
    zone : str
    """

    def __init__(self, zone):
        self.zone = zone
        self.next_offset = 0
        # The last rejected records, for status pages; not part of the state.
        self.rejections = deque(maxlen=REJECTIONS_KEPT)
        self._clear()

    def _clear(self):
        self.members = {}
        self.leases = {}
        # Order id -> UnsettledOrder, in log order.
        self.orders = {}
        # Engine -> model or adapter name -> {"kind", "version", "memory_mb"}.
        self.residency = {}
        self._seen = SeenIds(limit=ZONE_SEEN_IDS_LIMIT)

    def apply(self, offset, record):
        """Apply the record at an offset.

        Returns
        -------
        Applied or Rejected

        Raises
        ------
        OffsetGap
            If records before this one are missing.
        """
        if offset < self.next_offset:
            return Rejected(offset, "the offset was applied before")
        self._advance(offset)
        if not self._seen.add(record.id):
            return self._reject(offset, "the record was applied before")
        reason = self._apply(record, offset)
        return Applied(offset) if reason is None else self._reject(offset, reason)

    def skip(self, offset):
        """Skip a record that cannot be decoded."""
        if offset >= self.next_offset:
            self._advance(offset)

    def roster(self):
        """Return the identities of the registered members."""
        return frozenset(member.identity for member in self.members.values())

    def _registered_address(self, identity):
        member = self.members.get(vm_name(identity))
        known = member is not None and member.identity == identity
        return member.address if known else ""

    def _addresses_without(self, identity):
        return {
            member.address
            for member in self.members.values()
            if member.identity != identity
        }

    def _advance(self, offset):
        if offset != self.next_offset:
            raise OffsetGap(f"zone-{self.zone}", self.next_offset, offset)
        self.next_offset = offset + 1

    def _reject(self, offset, reason):
        rejected = Rejected(offset, reason)
        self.rejections.append(rejected)
        return rejected

    # Each handler returns None, or the reason for which it rejects the record.

    @singledispatchmethod
    def _apply(self, record, offset):
        return f"{record.kind} does not belong in a zone stream"

    @_apply.register
    def _(self, record: Checkpoint, offset):
        return None

    @_apply.register
    def _(self, record: RegisterVm, offset):
        name, _, incarnation = record.vm.rpartition("@")
        if not name or incarnation != record.incarnation:
            return "a VM can register only itself"
        self.members[name] = Member(name, incarnation, record.address)
        return None

    @_apply.register
    def _(self, record: ReleaseVm, offset):
        return self._remove_member(vm_name(record.vm), record.incarnation)

    @_apply.register
    def _(self, record: SuspectVm, offset):
        return self._remove_member(record.suspect, record.incarnation)

    def _remove_member(self, name, incarnation):
        member = self.members.get(name)
        if member is None or member.incarnation != incarnation:
            return "no such member"
        del self.members[name]
        return None

    @_apply.register
    def _(self, record: ClaimLease, offset):
        lease = self.leases.get(record.lease)
        if lease is None:
            if record.previous_fence != 0:
                return "the lease was never claimed"
        else:
            if record.previous_fence != lease.fence:
                return "the lease has another fence"
            if record.seen_offset < lease.seen_offset:
                return "the lease was renewed since"
            address = self._registered_address(record.vm)
            if not record.orphaned and not lease.may_claim(record.vm, address):
                return "the claimant is not on the roster"
        note = lease.note if lease is not None and lease.released else None
        self.leases[record.lease] = Lease(
            record.vm,
            offset + 1,
            offset + 1,
            self.roster(),
            note=note,
            addresses=self._addresses_without(record.vm),
        )
        return None

    @_apply.register
    def _(self, record: RenewLease, offset):
        lease = self.leases.get(record.lease)
        if lease is None or lease.fence != record.fence or lease.released:
            return "the fence is not current"
        if lease.holder != record.vm:
            return "only the holder can renew"
        addresses = self._addresses_without(record.vm)
        lease.apply_renewal(offset + 1, self.roster(), addresses)
        return None

    @_apply.register
    def _(self, record: ReleaseLease, offset):
        lease = self.leases.get(record.lease)
        if lease is None or lease.fence != record.fence or lease.released:
            return "the fence is not current"
        lease.released = True
        # Only the holder knows the bucket levels that the note hands over, so the note
        # of an operator that releases the lease is dropped.
        lease.note = record.note if lease.holder == record.vm else {}
        return None

    @_apply.register
    def _(self, record: IntendOrder, offset):
        lease = self.leases.get(PLACEMENT_LEASE)
        if lease is None or lease.fence != record.fence or lease.released:
            return "the fence is not current"
        if record.vm != lease.holder:
            return "only the holder of the placement lease can order"
        if record.order_id in self.orders:
            return "the order exists"
        self.orders[record.order_id] = UnsettledOrder(offset, record)
        return None

    @_apply.register
    def _(self, record: SettleOrder, offset):
        if record.outcome not in SETTLE_OUTCOMES:
            return f"unknown outcome {record.outcome!r:.40}"
        unsettled = self.orders.pop(record.order_id, None)
        if unsettled is None:
            return "no such unsettled order"
        if record.outcome == "done":
            self._change_residency(unsettled.record)
        return None

    def _change_residency(self, order):
        verb, _, kind = order.action.partition("_")
        residents = self.residency.setdefault(order.engine, {})
        if verb == "load":
            residents[order.name] = {
                "kind": kind,
                "version": order.version,
                "memory_mb": order.memory_mb,
            }
        elif verb == "unload":
            residents.pop(order.name, None)
        if not residents:
            del self.residency[order.engine]

    # Loading and storing snapshots.

    def to_state(self):
        """Return the state as a JSON object."""
        return {
            "format": STATE_FORMAT,
            "members": {
                name: [member.incarnation, member.address]
                for name, member in self.members.items()
            },
            "leases": {
                name: {
                    "holder": lease.holder,
                    "fence": lease.fence,
                    "seen_offset": lease.seen_offset,
                    "roster": sorted(lease.roster),
                    "previous_roster": lease.previous_roster
                    if lease.previous_roster is None
                    else sorted(lease.previous_roster),
                    "released": lease.released,
                    "note": lease.note,
                    "addresses": sorted(lease.addresses),
                    "previous_addresses": sorted(lease.previous_addresses),
                }
                for name, lease in self.leases.items()
            },
            "orders": [
                [unsettled.offset, encode_record(unsettled.record)]
                for unsettled in self.orders.values()
            ],
            "residency": {
                engine: dict(residents) for engine, residents in self.residency.items()
            },
            "seen_ids": list(self._seen),
        }

    def load_state(self, covers_offset, state):
        """Replace the state by a snapshot that includes later records.

        Returns
        -------
        bool
            False if the snapshot has no later records; nothing changes then.

        Raises
        ------
        InvalidRecord
            If the state is malformed; nothing changes then.
        """
        if covers_offset < self.next_offset:
            return False
        loaded = ZoneState(self.zone)
        try:
            loaded._load(state)
        except (KeyError, ValueError, TypeError, AttributeError, UnwrapError) as error:
            raise InvalidRecord(f"malformed state of zone {self.zone}") from error
        for name in ("members", "leases", "orders", "residency", "_seen"):
            setattr(self, name, getattr(loaded, name))
        self.next_offset = covers_offset + 1
        return True

    def _load(self, state):
        if state["format"] != STATE_FORMAT:
            raise TypeError(f"unknown format {state['format']!r:.40}")
        for name, (incarnation, address) in state["members"].items():
            self.members[name] = Member(name, incarnation, address)
        for name, fields in state["leases"].items():
            self.leases[name] = Lease(**fields)
        for offset, value in state["orders"]:
            order = decode_record(value).expect("an order in a snapshot")
            self.orders[order.order_id] = UnsettledOrder(offset, order)
        self.residency = {
            engine: dict(residents) for engine, residents in state["residency"].items()
        }
        self._seen = SeenIds(state["seen_ids"], limit=ZONE_SEEN_IDS_LIMIT)

    def digest(self):
        """Return a hash of the state and the next offset."""
        value = [self.next_offset, self.to_state()]
        return xxhash.xxh64_hexdigest(orjson.dumps(value, option=orjson.OPT_SORT_KEYS))
