"""When a VM publishes a checkpoint of a stream."""

import xxhash

# A checkpoint is due when this part of the retention has passed without one, so that
# three attempts may fail before the last one is trimmed.
RETENTION_DIVISOR = 4
# Each VM waits this long for the ones before it: several polls of the log, and the
# usual time of an append.
PUBLISHER_DELAY_MS = 2_000
# An attempt whose record has not been read by then is made again.
RETRY_INTERVAL_MS = 10_000


def rank_publishers(stream, covers_offset, members):
    """Return the VMs in the order in which they may publish.

    Rendezvous hashing spreads the work: each checkpoint has another order, and a VM
    that joins or leaves does not change the order of the others.

    Parameters
    ----------
    stream : str
    covers_offset : int
        Of the last checkpoint; -1 if there is none.
    members : iterable of str
    """

    def score(vm):
        text = f"{stream}\0{covers_offset}\0{vm}"
        return xxhash.xxh64_intdigest(text.encode()), vm

    return sorted(set(members), key=score)


class CheckpointSchedule:
    """Decides when one VM publishes a checkpoint of one stream.

    Parameters
    ----------
    vm, stream : str
    retention_ms : float
        The log keeps records at least this long.
    retention_records : int, optional
        The log keeps at least this many records; None if only time counts.
    now_ms : float
        Monotonic time.
    """

    __slots__ = (
        "vm",
        "stream",
        "_retention_ms",
        "_retention_records",
        "_covers_offset",
        "_checkpoint_offset",
        "_last_checkpoint_ms",
        "_due_since_ms",
        "_last_attempt_ms",
    )

    def __init__(self, vm, stream, retention_ms, retention_records=None, now_ms=0.0):
        self.vm = vm
        self.stream = stream
        self._retention_ms = retention_ms
        self._retention_records = retention_records
        self._covers_offset = -1
        self._checkpoint_offset = -1
        self._last_checkpoint_ms = now_ms
        self._due_since_ms = None
        self._last_attempt_ms = None

    def on_checkpoint(self, offset, covers_offset, now_ms, age_ms=0.0):
        """Note a checkpoint that was read from the stream.

        Parameters
        ----------
        offset : int
            Of the checkpoint's record.
        covers_offset : int
        now_ms : float
        age_ms : float
            How long ago the record was written, by the log's own times.
        """
        if covers_offset <= self._covers_offset and self._covers_offset >= 0:
            return
        self._covers_offset = covers_offset
        self._checkpoint_offset = offset
        self._last_checkpoint_ms = now_ms - age_ms
        self._due_since_ms = None
        self._last_attempt_ms = None

    def on_attempt(self, now_ms):
        """Note that this VM starts to append a checkpoint."""
        self._last_attempt_ms = now_ms

    def is_due(self, next_offset, earliest, members, now_ms):
        """Return whether this VM publishes a checkpoint now.

        Parameters
        ----------
        next_offset : int
            Of the fold; nothing is published for an empty stream.
        earliest : int
            First offset that the log holds.
        members : iterable of str
            VMs that may publish; this VM counts whether listed or not.
        now_ms : float

        Returns
        -------
        bool
        """
        if next_offset == 0 or not self._is_needed(next_offset, earliest, now_ms):
            self._due_since_ms = None
            return False
        if self._due_since_ms is None:
            self._due_since_ms = now_ms
        if (
            self._last_attempt_ms is not None
            and now_ms - self._last_attempt_ms < RETRY_INTERVAL_MS
        ):
            return False
        ranking = rank_publishers(self.stream, self._covers_offset, {*members, self.vm})
        return now_ms - self._due_since_ms >= PUBLISHER_DELAY_MS * ranking.index(
            self.vm
        )

    def _is_needed(self, next_offset, earliest, now_ms):
        if 0 <= self._checkpoint_offset < earliest or (
            self._checkpoint_offset < 0 and earliest > 0
        ):
            # Readers that start now find no checkpoint.
            return True
        if now_ms - self._last_checkpoint_ms >= self._retention_ms / RETENTION_DIVISOR:
            return True
        if self._retention_records is None:
            return False
        records_since = next_offset - 1 - self._checkpoint_offset
        return records_since >= self._retention_records / RETENTION_DIVISOR
