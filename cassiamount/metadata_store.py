"""Interface to the platform's metadata store, and what a reader of it knows."""

# Streams of keyed records that the system reads or writes.
CONFIGURATION = "configuration"
BACKENDS = "backends"
VMS = "vms"
# Key of the configuration in its stream.
CONFIGURATION_KEY = "config"
# Source of records that a VM read itself; otherwise the name of the VM that told them.
FROM_STORE = "store"


class StoreUnavailable(Exception):
    """The store did not answer, or refused; a write may still take effect."""


class HistoryTrimmed(Exception):
    """The records at the reader's position are gone."""


class KeyedRecord:
    """The newest value of a key; None if the key was dropped."""

    __slots__ = ("offset", "key", "value")

    def __init__(self, offset, key, value):
        self.offset = offset
        self.key = key
        self.value = value


class KeyedPage:
    """Records read from a stream, and the offset after the last one."""

    __slots__ = ("records", "next_offset")

    def __init__(self, records, next_offset):
        self.records = records
        self.next_offset = next_offset


class LeaseReply:
    """Answer to a member that asks for the lease.

    Parameters
    ----------
    generation : int
        Grows with each change of members; the fencing token of the holder.
    holds : bool
    """

    __slots__ = ("generation", "is_holder")

    def __init__(self, generation, is_holder):
        self.generation = generation
        self.is_holder = is_holder


# Deleted keys that are remembered, to bring peers up to date that are a little behind.
MAX_TOMBSTONES = 1_000


class KeyedView:
    """The newest record of each key of a stream, as far as it is known.

    Reads and peers feed it in any order; it never goes back.

    Parameters
    ----------
    same : callable, optional
        ``(key, before, after) -> bool``: whether two values mean the same. Most entries
        are written again and again and only say that their writer lives; peers need
        not be told of those.
    """

    __slots__ = (
        "next_offset",
        "values",
        "_is_equivalent",
        "_changed_offsets",
        "_complete_from",
    )

    def __init__(self, is_equivalent=None):
        # Offset of the next record to read; None before the first complete read.
        self.next_offset = None
        self.values = {}
        self._is_equivalent = (
            (lambda key, before, after: before == after)
            if is_equivalent is None
            else is_equivalent
        )
        # Key -> offset at which its meaning changed last; also of deleted keys.
        self._changed_offsets = {}
        # From here on all deletions are in `_changed`.
        self._complete_from = 0

    def load_snapshot(self, records, next_offset):
        """Take a complete read of the newest records.

        Returns
        -------
        bool
            Whether anything changed.
        """
        if self.next_offset is not None and next_offset < self.next_offset:
            return False
        present = {record.key for record in records}
        changed = False
        for key, (offset, _) in list(self.values.items()):
            if key not in present and offset < next_offset:
                changed |= self._apply_record(KeyedRecord(next_offset - 1, key, None))
        for record in records:
            changed |= self._apply_record(record, mark_changed=True)
        # What came and went before may be unknown here.
        self._complete_from = next_offset
        self.next_offset = max(next_offset, self.next_offset or 0)
        return changed

    def apply(self, records, from_offset, next_offset, is_delta=False):
        """Take the records from one offset up to another.

        Parameters
        ----------
        records : list of KeyedRecord
        from_offset, next_offset : int
        told : bool
            Whether these are only what changed, as `since` returns it.

        Returns
        -------
        bool
            Whether anything changed. Records after a gap are not taken.
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
        """Return the newest records of the keys that changed after `offset`.

        Returns
        -------
        list of KeyedRecord or None
            None if deletions after `offset` may be missing.
        """
        if self.next_offset is None or offset < self._complete_from:
            return None
        records = []
        for key, changed_offset in self._changed_offsets.items():
            if changed_offset >= offset:
                newest, value = self.values.get(key, (changed_offset, None))
                records.append(KeyedRecord(newest, key, value))
        return sorted(records, key=lambda record: record.offset)

    def all_records(self):
        """Return the newest record of each key."""
        return [
            KeyedRecord(offset, key, value)
            for key, (offset, value) in self.values.items()
        ]

    def _apply_record(self, record, mark_changed=False):
        """Take one record; return whether that changes anything here.

        What a peer told is passed on even if it changes nothing here: the key may have
        been deleted and written again in between.
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
