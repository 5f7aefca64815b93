"""Interface to the platform's metadata store, and what a reader of it knows."""

# Streams of keyed records that the system reads or writes.
CONFIGURATION = "configuration"
BACKENDS = "backends"
VMS = "vms"
# Key of the configuration in its stream.
CONFIGURATION_KEY = "config"


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


class LeaseAnswer:
    """Answer to a member that asks for the lease.

    Parameters
    ----------
    generation : int
        Grows with each change of members; the fencing token of the holder.
    holds : bool
    """

    __slots__ = ("generation", "holds")

    def __init__(self, generation, holds):
        self.generation = generation
        self.holds = holds


# Records kept to bring peers up to date that are only a little behind.
RECENT_RECORDS = 256


class KeyedView:
    """The newest record of each key of a stream, as far as it is known.

    Reads and peers feed it in any order; it never goes back.
    """

    __slots__ = ("next_offset", "values", "_recent")

    def __init__(self):
        # Offset of the next record to read; None before the first complete read.
        self.next_offset = None
        self.values = {}
        self._recent = []

    def reload(self, records, next_offset):
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
                del self.values[key]
                changed = True
        for record in records:
            changed |= self._take(record)
        self.next_offset = max(next_offset, self.next_offset or 0)
        self._recent.clear()
        return changed

    def apply(self, records, from_offset, next_offset):
        """Take the records from one offset up to another.

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
                changed |= self._take(record)
                self._recent.append(record)
        self.next_offset = max(self.next_offset, next_offset)
        del self._recent[:-RECENT_RECORDS]
        return changed

    def since(self, offset):
        """Return the records after `offset`, or None if they are not all kept."""
        if self.next_offset is None:
            return None
        if offset >= self.next_offset:
            return []
        if not self._recent or offset is None or self._recent[0].offset > offset:
            return None
        return [record for record in self._recent if record.offset >= offset]

    def all_records(self):
        """Return the newest record of each key."""
        return [
            KeyedRecord(offset, key, value)
            for key, (offset, value) in self.values.items()
        ]

    def _take(self, record):
        known = self.values.get(record.key)
        if known is not None and known[0] >= record.offset:
            return False
        if record.value is None:
            return self.values.pop(record.key, None) is not None
        self.values[record.key] = (record.offset, record.value)
        return True
