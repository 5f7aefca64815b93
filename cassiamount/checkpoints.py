"""Schedule by which the VMs publish checkpoints of a stream."""

import xxhash

# A checkpoint is due once a quarter of the retention (time or records) has passed since
# the last one, so that three attempts can fail before the log trims the last one.
RETENTION_DIVISOR = 4
# Each VM waits this long for every VM ranked before it. It covers several polls of the
# log and the usual duration of an append.
PUBLISHER_DELAY_MS = 2_000
# The VM publishes again if it has not read its checkpoint from the stream by then.
RETRY_INTERVAL_MS = 10_000


def rank_publishers(stream, covers_offset, members):
    """Return the VMs in the order in which they may publish the next checkpoint.

    Rendezvous hashing spreads the work over the VMs: the order differs between
    checkpoints, and a VM that joins or leaves does not change the order of the others.

    Parameters
    ----------
    stream : str
    covers_offset : int
        Last offset that the latest checkpoint covers; -1 if there is no checkpoint.
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
        The log keeps each record for at least this long.
    retention_records : int, optional
        The log keeps at least this many records; None if it trims by age only.
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
        """Record a checkpoint that was read from the stream.

        Parameters
        ----------
        offset : int
            Offset of the checkpoint's record.
        covers_offset : int
            Last offset that the checkpoint covers.
        now_ms : float
        age_ms : float
            Age of the record by the log's own timestamps.
        """
        if covers_offset <= self._covers_offset and self._covers_offset >= 0:
            return
        self._covers_offset = covers_offset
        self._checkpoint_offset = offset
        self._last_checkpoint_ms = now_ms - age_ms
        self._due_since_ms = None
        self._last_attempt_ms = None

    def on_attempt(self, now_ms):
        """Record that this VM starts to append a checkpoint."""
        self._last_attempt_ms = now_ms

    def is_due(self, next_offset, earliest, members, now_ms):
        """Return whether this VM should publish a checkpoint now.

        Parameters
        ----------
        next_offset : int
            The fold's next offset. Nothing is published for an empty stream.
        earliest : int
            First offset that the log still holds.
        members : iterable of str
            VMs that may publish; this VM is included even if it is not listed.
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
            # A reader that starts now finds no usable checkpoint in the log.
            return True
        if now_ms - self._last_checkpoint_ms >= self._retention_ms / RETENTION_DIVISOR:
            return True
        if self._retention_records is None:
            return False
        records_since = next_offset - 1 - self._checkpoint_offset
        return records_since >= self._retention_records / RETENTION_DIVISOR
