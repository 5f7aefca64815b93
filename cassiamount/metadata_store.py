"""Types of the platform's metadata store, and a local view of one of its streams."""

import collections

from .change_counter import ChangeCounter
from .store_position import era_of, position

# Streams of keyed records; the latest record of a key replaces the earlier ones.
CONFIGURATION = "configuration"
BACKENDS = "backends"
VMS = "vms"
QUARANTINE = "quarantine"
SOFTWARE = "software"
# Key of the configuration record in the stream CONFIGURATION.
CONFIGURATION_KEY = "config"
# Source of records that this VM read from the store. For records relayed by a peer,
# the source is the name of the peer.
FROM_STORE = "store"


class StoreUnavailable(Exception):
    """The store did not respond or rejected the call; a write may still succeed."""


class StoreAnswerInvalid(StoreUnavailable):
    """The store's answer has another form than it should; nothing of it counts."""


class HistoryTrimmed(Exception):
    """The store does not have, or no longer has, the records after a reader's offset.

    It has dropped its oldest records, or come back from an older copy.
    """


class KeyedRecord:
    """Latest record of a key; a value of None is a tombstone (the key was deleted).

    Parameters
    ----------
    offset : int
        Position in the stream, see `store_position`; so are all offsets here.
    key : str
    value : bytes or None
    rank : tuple, optional
        Rank of the value that a tombstone deleted, if it is of an earlier era.
    """

    __slots__ = ("offset", "key", "value", "rank")

    def __init__(self, offset, key, value, rank=None):
        self.offset = offset
        self.key = key
        self.value = value
        self.rank = rank


class KeyedPage:
    """Result of a read: records, and the offset at which the next read starts."""

    __slots__ = ("records", "next_offset")

    def __init__(self, records, next_offset):
        self.records = records
        self.next_offset = next_offset


class LeaseReply:
    """Reply of the store to a VM that requests or renews the order lease.

    Parameters
    ----------
    generation : int
        Position that increases with each membership change; the fencing token of the
        lease holder.
    is_holder : bool
        Whether the requesting VM holds the lease.
    """

    __slots__ = ("generation", "is_holder")

    def __init__(self, generation, is_holder):
        self.generation = generation
        self.is_holder = is_holder


# Records of a snapshot at most, and their values together.
MAX_SNAPSHOT_RECORDS = 100_000
MAX_SNAPSHOT_BYTES = 32 * 1024 * 1024
# Deletions that are kept so that slightly lagging peers can be sent a delta.
MAX_TOMBSTONES = 1_000
# Gaps in the history, each closed by a snapshot, that are kept for the same purpose.
MAX_GAPS = 16


def snapshot_may_go_on(records, last_page_length):
    """Return whether another page of a snapshot may follow.

    Pages that bring no key which was not there before would follow for ever.

    Parameters
    ----------
    records : list of KeyedRecord
        All so far.
    last_page_length : int
    """
    if len(records) > MAX_SNAPSHOT_RECORDS:
        return False
    if sum(len(record.value or b"") for record in records) > MAX_SNAPSHOT_BYTES:
        return False
    before = {record.key for record in records[:-last_page_length]}
    return any(record.key not in before for record in records[-last_page_length:])


class KeyedView:
    """Local view of a stream: the latest known record of each key.

    Records may arrive from the store and from peers, in any order and repeatedly. An
    older record never replaces a newer one. Within an era of the store, offsets tell
    which of two records is newer. Between eras their ranks do: a store that came back
    from an older copy has old records under new offsets, until their writers write the
    newer ones again.

    Parameters
    ----------
    is_equivalent : callable, optional
        ``(key, before, after) -> bool``: whether two values have the same meaning. Most
        records are heartbeats that only repeat the previous value; those are not
        relayed to peers.
    rank : callable, optional
        ``(key, value) -> tuple``: increases with each value that the writer of a key
        writes; empty if the value cannot be read. None for keys whose values have no
        order: of their records in two eras, the one of the later era counts.
    keeps_lost : bool
        Whether keys that the store has lost stay.
    counter : ChangeCounter, optional
    """

    __slots__ = (
        "next_offset",
        "values",
        "_is_equivalent",
        "_rank",
        "_keeps_lost",
        "_counter",
        "_changed_offsets",
        "_deleted_ranks",
        "_lost_ranks",
        "_carried",
        "_early_carried",
        "_complete_from",
        "_gaps",
    )

    def __init__(self, is_equivalent=None, rank=None, keeps_lost=False, counter=None):
        # Offset of the next record to read; None before the first snapshot.
        self.next_offset = None
        self.values = {}
        self._is_equivalent = (
            (lambda key, before, after: before == after)
            if is_equivalent is None
            else is_equivalent
        )
        self._rank = rank
        self._keeps_lost = keeps_lost
        self._counter = counter or ChangeCounter()
        # Key (also a deleted one) -> offset of the last change of its meaning.
        self._changed_offsets = {}
        # Deleted key -> rank of its last value.
        self._deleted_ranks = {}
        # Key that the store has lost -> rank of its last value, for a tombstone that
        # its writer writes afterwards.
        self._lost_ranks = {}
        # Key whose record of an earlier era is newer than what the store has now ->
        # version of the counter. Peers cannot get these records from the store.
        self._carried = {}
        # Carried records of peers that came before the first snapshot.
        self._early_carried = []
        # `_changed_offsets` has all deletions from this offset on, except in the gaps.
        self._complete_from = 0
        # Pairs of offsets. A peer between them may know keys that this view has never
        # had, because they were created and deleted between them.
        self._gaps = collections.deque(maxlen=MAX_GAPS)

    def load_snapshot(self, records, next_offset):
        """Apply a snapshot: the latest record of every key up to `next_offset`.

        Returns
        -------
        bool
            Whether any value changed; a snapshot older than the view is ignored.
        """
        if self.next_offset is not None and next_offset < self.next_offset:
            return False
        present = {record.key for record in records}
        changed = False
        era = era_of(next_offset)
        for key, (offset, _) in list(self.values.items()):
            if key in present or offset >= next_offset:
                continue
            if self._keeps_lost and era_of(offset) < era:
                self._carry(key)
                continue
            # A key that the store has lost may be written again as it was.
            was_lost = era_of(offset) < era
            if was_lost and self._rank is not None:
                self._lost_ranks[key] = self._rank(key, self.values[key][1])
            self._delete(
                key, max(next_offset - 1, position(era, 0)), () if was_lost else None
            )
            changed = True
        for record in records:
            changed |= self._apply_record(record)
        if self.next_offset is None:
            self._complete_from = next_offset
        else:
            if len(self._gaps) == MAX_GAPS:
                self._complete_from = max(self._complete_from, self._gaps[0][1])
            self._gaps.append((self.next_offset, next_offset))
        self.next_offset = next_offset
        early, self._early_carried = self._early_carried, []
        return self.apply_carried(early) or changed

    def apply(self, records, from_offset, next_offset, is_delta=False):
        """Apply the records between two offsets.

        Parameters
        ----------
        records : list of KeyedRecord
        from_offset, next_offset : int
        is_delta : bool
            Whether `records` has only the latest record of each changed key, as
            `since` returns it, instead of all records.

        Returns
        -------
        bool
            Whether any value changed; records after a gap are ignored.
        """
        if self.next_offset is None or from_offset > self.next_offset:
            return False
        changed = False
        for record in records:
            if record.offset >= self.next_offset:
                changed |= self._apply_record(record, is_delta)
        self.next_offset = max(self.next_offset, next_offset)
        self._prune_tombstones()
        return changed

    def since(self, offset):
        """Return the latest record of each key that changed at `offset` or later.

        Returns
        -------
        list of KeyedRecord or None
            None if deletions may be missing, so that the peer needs a snapshot.
        """
        if self.next_offset is None or offset < self._complete_from:
            return None
        if any(first < offset < end for first, end in self._gaps):
            return None
        records = []
        for key, changed_offset in self._changed_offsets.items():
            if changed_offset >= offset:
                newest, value = self.values.get(key, (changed_offset, None))
                records.append(KeyedRecord(newest, key, value))
        return sorted(records, key=lambda record: record.offset)

    def all_records(self):
        """Return the latest record of each key, without tombstones."""
        return [
            KeyedRecord(offset, key, value)
            for key, (offset, value) in self.values.items()
        ]

    def apply_carried(self, records):
        """Apply records of earlier eras that a peer carries.

        Returns
        -------
        bool
            Whether any value changed.
        """
        if self.next_offset is None:
            self._early_carried.extend(records)
            return False
        changed = False
        for record in records:
            changed |= self._apply_record(record)
            if record.key not in self._carried and self._holds(record):
                self._carry(record.key)
        return changed

    def carried_since(self, version):
        """Return the carried records that are new since a version of the counter."""
        return [
            self._known_record(key)
            for key, changed in self._carried.items()
            if changed > version
        ]

    def tombstones(self):
        """Return the known deletions, so that no older copy brings the keys back."""
        return [self._known_record(key) for key in self._deleted_ranks]

    def _holds(self, record):
        """Return whether a record of an earlier era is the latest of its key."""
        known = self._known_record(record.key)
        return (
            known is not None
            and known.offset == record.offset
            and era_of(known.offset) < era_of(self.next_offset)
        )

    def _known_record(self, key):
        """Return the latest record of a key, also if it is a tombstone, or None."""
        if key in self.values:
            offset, value = self.values[key]
            return KeyedRecord(offset, key, value)
        if key in self._deleted_ranks:
            rank = self._deleted_ranks[key]
            return KeyedRecord(self._changed_offsets[key], key, None, rank)
        return None

    def _carry(self, key):
        self._carried[key] = self._counter.next()

    def _apply_record(self, record, mark_changed=False):
        """Apply one record; return whether the meaning of the key's value changed.

        With `mark_changed`, the record is relayed to peers even if it changes nothing
        here: a delta may skip a deletion between two equal values, and a peer may have
        applied that deletion.
        """
        known = self._known_record(record.key)
        if known is not None and self._is_outdated(record, known):
            if era_of(record.offset) > era_of(known.offset) and (
                known.value is None
                or not self._is_equivalent(record.key, known.value, record.value)
            ):
                self._carry(record.key)
            return False
        was_carried = self._carried.pop(record.key, None) is not None
        current = self.values.get(record.key)
        lost_rank = self._lost_ranks.pop(record.key, None)
        if record.value is None:
            rank = lost_rank if record.rank is None else record.rank
            self._delete(record.key, record.offset, rank)
            if was_carried and self._keeps_lost:
                # No snapshot shows peers that keep the lost value that it is deleted.
                self._carry(record.key)
            return current is not None
        self._deleted_ranks.pop(record.key, None)
        self.values[record.key] = (record.offset, record.value)
        equivalent = current is not None and self._is_equivalent(
            record.key, current[1], record.value
        )
        if mark_changed or not equivalent:
            self._changed_offsets[record.key] = record.offset
        return not equivalent

    def _delete(self, key, offset, rank=None):
        """Replace the record of a key by a tombstone.

        Parameters
        ----------
        key : str
        offset : int
        rank : tuple, optional
            Rank of the tombstone; by default that of the value that it replaces.
        """
        current = self.values.pop(key, None)
        self._changed_offsets[key] = offset
        if rank is not None:
            self._deleted_ranks[key] = rank
        elif current is not None and self._rank is not None:
            self._deleted_ranks[key] = self._rank(key, current[1])

    def _is_outdated(self, record, known):
        """Return whether a record is not newer than the latest known one of its key."""
        if era_of(record.offset) == era_of(known.offset):
            # Readers pass each record on once, so a value after a tombstone is newer.
            return known.value is not None and record.offset <= known.offset
        order = self._order(record)
        if order is None:
            return record.offset <= known.offset
        return (order, record.offset) <= (self._order(known), known.offset)

    def _order(self, record):
        """Return what orders the records of a key between eras; None if unknown.

        A value sorts before the tombstone that deleted it.
        """
        if record.value is None:
            return None if record.rank is None else (record.rank, True)
        if self._rank is None:
            return None
        rank = self._rank(record.key, record.value)
        return None if rank is None else (rank, False)

    def _prune_tombstones(self):
        excess = len(self._changed_offsets) - len(self.values) - MAX_TOMBSTONES
        if excess <= 0:
            return
        deleted = [key for key in self._changed_offsets if key not in self.values]
        for key in sorted(deleted, key=self._changed_offsets.get)[:excess]:
            self._deleted_ranks.pop(key, None)
            self._lost_ranks.pop(key, None)
            self._carried.pop(key, None)
            self._complete_from = max(
                self._complete_from, self._changed_offsets.pop(key) + 1
            )
