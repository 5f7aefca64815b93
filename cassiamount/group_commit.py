"""Batches records into appends and tracks the outcome of each record, without I/O."""

from collections import deque

from .errors import AppendOutcomeUnknown, PlatformUnavailable

MAX_BATCH_RECORDS = 500
MAX_BATCH_BYTES = 1024 * 1024

PENDING = "pending"
SENT = "sent"
# The log has stored the record, but the fold has not read it yet.
STORED = "stored"
ENDED = "ended"


class AppendEntry:
    """One record to append, with its progress.

    Parameters
    ----------
    id : str
        Identifier of the record.
    value : object
        JSON value of the record.
    size_bytes : int
    on_end : callable
        Called once, with the record's offset or with the exception to raise.
    """

    __slots__ = (
        "id",
        "value",
        "size_bytes",
        "on_end",
        "state",
        "maybe_in_log",
        "offset",
    )

    def __init__(self, id, value, size_bytes, on_end):
        self.id = id
        self.value = value
        self.size_bytes = size_bytes
        self.on_end = on_end
        self.state = PENDING
        self.maybe_in_log = False
        self.offset = None

    def end(self, outcome):
        """Report the outcome to the caller unless it has been reported."""
        if self.state != ENDED:
            self.state = ENDED
            self.on_end(outcome)


class Batch:
    """Records that share one append.

    Parameters
    ----------
    entries : list of AppendEntry
    from_offset : int
        No record of the batch can be in the stream before this offset.
    """

    __slots__ = ("entries", "from_offset")

    def __init__(self, entries, from_offset):
        self.entries = entries
        self.from_offset = from_offset

    @property
    def values(self):
        """The records' JSON values."""
        return [entry.value for entry in self.entries]

    @property
    def has_waiters(self):
        """Whether a caller still waits for any of the records."""
        return any(entry.state != ENDED for entry in self.entries)


class GroupCommit:
    """Batches the appends to one stream, with one append in flight at a time.

    If the response to an append is lost, its batch stays in doubt until a read shows
    which records the log holds. Only those that it doesn't hold are sent again, under
    the same identifiers.

    Parameters
    ----------
    stream : str
    """

    __slots__ = (
        "stream",
        "in_flight",
        "in_doubt",
        "_pending",
        "_entries",
        "_loaded_end_offset",
    )

    def __init__(self, stream):
        self.stream = stream
        self.in_flight = None
        self.in_doubt = None
        self._pending = deque()
        # Records whose outcome has not been reported, by identifier.
        self._entries = {}
        # Records before this offset are included in a loaded checkpoint or snapshot.
        self._loaded_end_offset = 0

    def __len__(self):
        return len(self._entries)

    def submit(self, entry):
        """Queue a record for the next batch.

        Raises
        ------
        ValueError
            If a record with this identifier has no outcome yet.
        """
        if entry.id in self._entries:
            raise ValueError(f"record {entry.id} is already being appended")
        self._entries[entry.id] = entry
        self._pending.append(entry)

    @property
    def ready(self):
        """Whether records wait and no other batch is in flight or in doubt."""
        return bool(self._pending) and self.in_flight is None and self.in_doubt is None

    def take_batch(self, next_offset):
        """Return the next batch to send, or None if none is ready.

        Parameters
        ----------
        next_offset : int
            Offset that the follower reads next; the log gives the batch no smaller
            one.
        """
        if not self.ready:
            return None
        entries = []
        size_bytes = 0
        while self._pending and len(entries) < MAX_BATCH_RECORDS:
            size_bytes += self._pending[0].size_bytes
            if entries and size_bytes > MAX_BATCH_BYTES:
                break
            entries.append(self._pending.popleft())
        for entry in entries:
            entry.state = SENT
        self.in_flight = Batch(entries, next_offset)
        return self.in_flight

    def on_appended(self, offsets):
        """Record that the append in flight succeeded; the fold has yet to read it."""
        batch, self.in_flight = self.in_flight, None
        for entry, offset in zip(batch.entries, offsets, strict=True):
            self._mark_stored(entry, offset)

    def on_not_appended(self, error):
        """End the records of the append in flight, which certainly had no effect.

        Records that an earlier attempt may have put into the log end with an unknown
        outcome.
        """
        batch, self.in_flight = self.in_flight, None
        self._requeue(batch.entries)
        for entry in batch.entries:
            if entry.state == PENDING:
                self._pending.remove(entry)
                self._end(entry, self._failure(entry, error))

    def on_limit_reached(self):
        """Requeue the append in flight first, because the log refused it for now."""
        batch, self.in_flight = self.in_flight, None
        self._requeue(batch.entries)

    def on_outcome_unknown(self):
        """Put the append in flight in doubt, because its response was lost."""
        batch, self.in_flight = self.in_flight, None
        for entry in batch.entries:
            entry.maybe_in_log = True
        if batch.has_waiters:
            self.in_doubt = batch

    def on_resolved(self, offsets_by_id):
        """Mark the in-doubt records that the log holds and requeue the others.

        Parameters
        ----------
        offsets_by_id : dict of str to int
            Offset of the first record with each identifier that a read up to the head
            found.
        """
        batch, self.in_doubt = self.in_doubt, None
        absent = []
        for entry in batch.entries:
            if entry.id in offsets_by_id:
                self._mark_stored(entry, offsets_by_id[entry.id])
            else:
                absent.append(entry)
        self._requeue(absent)

    def on_unresolvable(self, error):
        """End the in-doubt records as unknown, because the log trimmed their range."""
        batch, self.in_doubt = self.in_doubt, None
        for entry in batch.entries:
            self._end(entry, AppendOutcomeUnknown(str(error)))

    def on_stream_update(self, update):
        """End the records that the fold has read.

        The first record with an identifier counts, because folds ignore duplicates.
        """
        for item in update.processed:
            if item.record is None:
                continue
            entry = self._entries.get(item.record.id)
            if entry is not None and entry.state != PENDING:
                self._end(entry, item.offset)
            elif entry is not None and entry.maybe_in_log:
                # The record was queued to be sent again, but the earlier append has
                # taken effect late.
                self._pending.remove(entry)
                self._end(entry, item.offset)
        if update.reloaded:
            processed = update.processed
            self._loaded_end_offset = (
                processed[0].offset if processed else update.next_offset
            )
        passed = [
            entry
            for entry in self._entries.values()
            if entry.state == STORED and entry.offset < update.next_offset
        ]
        for entry in passed:
            if entry.offset < self._loaded_end_offset:
                # The checkpoint or snapshot that was loaded includes the record.
                self._end(entry, entry.offset)
            else:
                reason = f"offset {entry.offset} does not hold record {entry.id}"
                self._end(entry, AppendOutcomeUnknown(reason))
        self._drop_abandoned_batch()

    def give_up(self, entry):
        """Drop a record whose caller no longer waits, and return the error to raise.

        Returns
        -------
        PlatformUnavailable or AppendOutcomeUnknown
        """
        error = self._failure(entry, "the append timed out")
        if entry.state == PENDING:
            self._pending.remove(entry)
        self._entries.pop(entry.id, None)
        entry.state = ENDED
        self._drop_abandoned_batch()
        return error

    def _drop_abandoned_batch(self):
        """Stop resolving the in-doubt batch if no caller waits for it any more."""
        if self.in_doubt is not None and not self.in_doubt.has_waiters:
            self.in_doubt = None

    def _failure(self, entry, reason):
        if entry.maybe_in_log or entry.state != PENDING:
            return AppendOutcomeUnknown(f"stream {self.stream}: {reason}")
        return PlatformUnavailable(f"stream {self.stream}: {reason}")

    def _mark_stored(self, entry, offset):
        if entry.state != ENDED:
            entry.state = STORED
            entry.offset = offset

    def _end(self, entry, outcome):
        self._entries.pop(entry.id, None)
        entry.end(outcome)

    def _requeue(self, entries):
        for entry in reversed(entries):
            if entry.state != ENDED:
                entry.state = PENDING
                self._pending.appendleft(entry)
