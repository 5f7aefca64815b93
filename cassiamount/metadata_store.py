"""Types of the platform's metadata store, and a local view of one of its streams."""

import collections

# Streams of keyed records; the latest record of a key replaces the earlier ones.
CONFIGURATION = "configuration"
BACKENDS = "backends"
VMS = "vms"
QUARANTINE = "quarantine"
# Key of the configuration record in the stream CONFIGURATION.
CONFIGURATION_KEY = "config"
# Source of records that this VM read from the store. For records relayed by a peer,
# the source is the name of the peer.
FROM_STORE = "store"


class StoreUnavailable(Exception):
    """The store did not respond or rejected the call; a write may still succeed."""


class HistoryTrimmed(Exception):
    """The store no longer has the records at the offset of the reader."""


class KeyedRecord:
    """Latest record of a key; a value of None is a tombstone (the key was deleted)."""

    __slots__ = ("offset", "key", "value")

    def __init__(self, offset, key, value):
        self.offset = offset
        self.key = key
        self.value = value


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
        Increases with each membership change; the fencing token of the lease holder.
    is_holder : bool
        Whether the requesting VM holds the lease.
    """

    __slots__ = ("generation", "is_holder")

    def __init__(self, generation, is_holder):
        self.generation = generation
        self.is_holder = is_holder


# Deletions that are kept so that slightly lagging peers can be sent a delta.
MAX_TOMBSTONES = 1_000
# Gaps in the history, each closed by a snapshot, that are kept for the same purpose.
MAX_GAPS = 16


class KeyedView:
    """Local view of a stream: the latest known record of each key.

    Records may arrive from the store and from peers, in any order and repeatedly. An
    older record never replaces a newer one.

    Parameters
    ----------
    is_equivalent : callable, optional
        ``(key, before, after) -> bool``: whether two values have the same meaning. Most
        records are heartbeats that only repeat the previous value; those are not
        relayed to peers.
    """

    __slots__ = (
        "next_offset",
        "values",
        "_is_equivalent",
        "_changed_offsets",
        "_complete_from",
        "_gaps",
    )

    def __init__(self, is_equivalent=None):
        # Offset of the next record to read; None before the first snapshot.
        self.next_offset = None
        self.values = {}
        self._is_equivalent = (
            (lambda key, before, after: before == after)
            if is_equivalent is None
            else is_equivalent
        )
        # Key (also a deleted one) -> offset of the last change of its meaning.
        self._changed_offsets = {}
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
        for key, (offset, _) in list(self.values.items()):
            if key not in present and offset < next_offset:
                changed |= self._apply_record(KeyedRecord(next_offset - 1, key, None))
        for record in records:
            changed |= self._apply_record(record)
        if self.next_offset is None:
            self._complete_from = next_offset
        else:
            if len(self._gaps) == MAX_GAPS:
                self._complete_from = max(self._complete_from, self._gaps[0][1])
            self._gaps.append((self.next_offset, next_offset))
        self.next_offset = next_offset
        return changed

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

    def _apply_record(self, record, mark_changed=False):
        """Apply one record; return whether the meaning of the key's value changed.

        With `mark_changed`, the record is relayed to peers even if it changes nothing
        here: a delta may skip a deletion between two equal values, and a peer may have
        applied that deletion.
        """
        current = self.values.get(record.key)
        if current is not None and current[0] >= record.offset:
            return False
        if record.value is None:
            self.values.pop(record.key, None)
            self._changed_offsets[record.key] = record.offset
            return current is not None
        self.values[record.key] = (record.offset, record.value)
        equivalent = current is not None and self._is_equivalent(
            record.key, current[1], record.value
        )
        if mark_changed or not equivalent:
            self._changed_offsets[record.key] = record.offset
        return not equivalent

    def _prune_tombstones(self):
        excess = len(self._changed_offsets) - len(self.values) - MAX_TOMBSTONES
        if excess <= 0:
            return
        deleted = [key for key in self._changed_offsets if key not in self.values]
        for key in sorted(deleted, key=self._changed_offsets.get)[:excess]:
            self._complete_from = max(
                self._complete_from, self._changed_offsets.pop(key) + 1
            )
