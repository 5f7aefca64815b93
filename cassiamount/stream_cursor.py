"""Decisions of a follower: which records reach the fold and where to read next."""

from collections import deque

import structlog

from .errors import InvariantViolation
from .invariants import CONFIGURATION_NEVER_REVERTS, require
from .records import Checkpoint, decode_record

# Undecodable records that `status` shows; their number is counted without limit.
MAX_BAD_RECORDS = 100

log = structlog.get_logger()


class BadRecord:
    """A record that changed no state because it could not be used.

    Parameters
    ----------
    stream : str
    offset : int
    reason : str
    """

    __slots__ = ("stream", "offset", "reason")

    def __init__(self, stream, offset, reason):
        self.stream = stream
        self.offset = offset
        self.reason = reason

    def __repr__(self):
        return f"BadRecord({self.stream!r}, {self.offset}, {self.reason!r})"


class ProcessedRecord:
    """A record that the fold has seen.

    Parameters
    ----------
    offset : int
    record : Record or None
        None if the record was undecodable and skipped.
    result : Applied, Rejected or None
        What the fold made of it.
    """

    __slots__ = ("offset", "record", "result")

    def __init__(self, offset, record, result):
        self.offset = offset
        self.record = record
        self.result = result


class StreamCursor:
    """Feeds one stream into a fold without ever passing over a missing record.

    After `on_trimmed` the cursor searches: it buffers the records that are left
    until one of them is a checkpoint that covers everything before the buffer (or a
    peer's snapshot does), and only then goes on. The fold keeps its last state
    meanwhile.

    Parameters
    ----------
    stream : str
    fold : object
        Has `next_offset`, `apply`, `skip`, `to_state` and `load_state`.
    """

    def __init__(self, stream, fold):
        self.stream = stream
        self.fold = fold
        self.bad_records = deque(maxlen=MAX_BAD_RECORDS)
        self.bad_record_count = 0
        # First offset that the log held at the last read.
        self.earliest = 0
        self._buffer_offset = None
        self._buffer = []

    @property
    def needs_checkpoint(self):
        """Whether records are missing and a checkpoint is needed."""
        return self._buffer_offset is not None

    @property
    def read_offset(self):
        """Offset from which to read."""
        if self.needs_checkpoint:
            return self._buffer_offset + len(self._buffer)
        return self.fold.next_offset

    def on_trimmed(self, earliest):
        """Start a search, because the log starts at `earliest`.

        Returns
        -------
        bool
            False if the log holds the next record after all.
        """
        self.earliest = earliest
        if earliest <= self.read_offset:
            return False
        log.warning(
            "offset_trimmed",
            stream=self.stream,
            offset=self.read_offset,
            earliest=earliest,
        )
        self._buffer_offset = earliest
        self._buffer = []
        return True

    def on_head(self, next_offset):
        """Take the head of the log, as a page that was read in a search gives it.

        A fold that has `restart` needs no checkpoint: its records lose their meaning
        before they expire, so it goes on from the earliest one that is left.
        """
        if self.needs_checkpoint and not self._buffer and hasattr(self.fold, "restart"):
            self.fold.restart(self._buffer_offset, next_offset)
            self._buffer_offset = None

    def on_records(self, records):
        """Take the records of a page.

        Parameters
        ----------
        records : list of tuple of int and object
            Ascending; records that were read before are ignored, and those after a
            gap are not taken.

        Returns
        -------
        list of Change
            What the fold has seen, in order. It starts with the records after a
            checkpoint if one was found in the search.
        """
        processed = []
        for offset, value in records:
            if offset < self.read_offset:
                continue
            if offset > self.read_offset:
                log.error(
                    "gap_in_page",
                    stream=self.stream,
                    expected=self.read_offset,
                    offset=offset,
                )
                break
            entry = self._decode(offset, value)
            if self.needs_checkpoint:
                self._buffer.append(entry)
                processed.extend(self._try_checkpoint(entry))
            else:
                processed.append(self._apply(entry))
        return processed

    def on_snapshot(self, covers_offset, state):
        """Load a peer's state if it is ahead of the fold and closes the gap.

        Returns
        -------
        list of Change or None
            The buffered records after the snapshot, or None if it was not loaded.
        """
        if covers_offset < self.fold.next_offset:
            return None
        if self.needs_checkpoint and covers_offset < self._buffer_offset - 1:
            return None
        if not self._load(covers_offset, state, "snapshot of a peer"):
            return None
        return self._apply_buffer()

    def _decode(self, offset, value):
        """Return offset and record; the record is None if it cannot be used."""
        try:
            result = decode_record(value)
        except (RecursionError, ValueError, TypeError) as error:
            return self._report_bad_record(offset, repr(error))
        if result.is_err():
            return self._report_bad_record(offset, str(result.unwrap_err()))
        return offset, result.unwrap()

    def _report_bad_record(self, offset, reason):
        self.bad_record_count += 1
        self.bad_records.append(BadRecord(self.stream, offset, reason))
        log.warning(
            "bad_record", stream=self.stream, offset=offset, reason=reason[:200]
        )
        return offset, None

    def _apply(self, entry):
        offset, record = entry
        if record is None:
            self.fold.skip(offset)
            return ProcessedRecord(offset, None, None)
        try:
            result = self.fold.apply(offset, record)
        except InvariantViolation:
            raise
        except Exception as error:
            # A fold depends on the records alone, so every VM fails at this record
            # and skips it; failing again at each restart would stop them all.
            self._report_bad_record(offset, f"the fold failed: {error!r}")
            if self.fold.next_offset == offset:
                self.fold.skip(offset)
            return ProcessedRecord(offset, None, None)
        return ProcessedRecord(offset, record, result)

    def _try_checkpoint(self, entry):
        offset, record = entry
        if not isinstance(record, Checkpoint):
            return []
        if not self._buffer_offset - 1 <= record.covers_offset < offset:
            return []
        if record.covers_offset < self.fold.next_offset:
            return []
        source = f"checkpoint at offset {offset}"
        if not self._load(record.covers_offset, record.state, source):
            return []
        return self._apply_buffer()

    def _load(self, covers_offset, state, source):
        """Load a state; restore the fold's own if the state is malformed."""
        fold = self.fold
        old_offset, old_state = fold.next_offset, fold.to_state()
        require(
            covers_offset + 1 >= old_offset,
            CONFIGURATION_NEVER_REVERTS,
            stream=self.stream,
            next_offset=old_offset,
            covers_offset=covers_offset,
        )
        try:
            fold.load_state(covers_offset, state)
        except InvariantViolation:
            raise
        except Exception as error:
            self._report_bad_record(
                covers_offset, f"{source} cannot be loaded: {error!r}"
            )
            fold.load_state(old_offset - 1, old_state)
            return False
        log.info(
            "state_loaded",
            stream=self.stream,
            place=source,
            covers_offset=covers_offset,
        )
        return True

    def _apply_buffer(self):
        buffered, self._buffer = self._buffer, []
        self._buffer_offset = None
        next_offset = self.fold.next_offset
        return [self._apply(entry) for entry in buffered if entry[0] >= next_offset]
