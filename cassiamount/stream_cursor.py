"""Feeds the records of a stream into a fold, and decides where to read next."""

from collections import deque

import structlog

from .errors import InvariantViolation
from .invariants import CONFIGURATION_NEVER_REVERTS, require
from .records import Checkpoint, decode_record

# The last undecodable records are kept for the `status` output; all are counted.
MAX_BAD_RECORDS = 100

log = structlog.get_logger()


class BadRecord:
    """A record that was skipped because it could not be decoded, loaded or applied.

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
    """A record that the fold has applied or skipped.

    Parameters
    ----------
    offset : int
    record : Record or None
        None if the record was skipped as unusable.
    result : Applied, Rejected or None
        Whether the fold accepted it; None if the record was skipped.
    """

    __slots__ = ("offset", "record", "result")

    def __init__(self, offset, record, result):
        self.offset = offset
        self.record = record
        self.result = result


class StreamCursor:
    """Feeds one stream into a fold, without gaps.

    If the log has trimmed records that the fold needs, the cursor buffers the records
    that are left until one of them is a checkpoint that covers everything before the
    buffer, or a peer's snapshot does. Until then the fold keeps its last state.

    Parameters
    ----------
    stream : str
    fold : object
        State that results from applying the records in order. It has `next_offset`,
        `apply`, `skip`, `to_state` and `load_state`, and `restart` if its stream has
        no checkpoints.
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
        """Whether trimmed records are missing, so that a checkpoint is needed."""
        return self._buffer_offset is not None

    @property
    def read_offset(self):
        """Offset of the next record to read."""
        if self.needs_checkpoint:
            return self._buffer_offset + len(self._buffer)
        return self.fold.next_offset

    def on_trimmed(self, earliest):
        """Start to buffer records if the log has trimmed the next one.

        Returns
        -------
        bool
            False if the log still holds the next record.
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
        """Restart a fold that needs no checkpoint after its records were trimmed.

        Records of a fold that has `restart` become irrelevant before the log trims
        them, so the fold continues from the earliest record that is left.

        Parameters
        ----------
        next_offset : int
            Offset after the last record of the stream, from the page just read.
        """
        if self.needs_checkpoint and not self._buffer and hasattr(self.fold, "restart"):
            self.fold.restart(self._buffer_offset, next_offset)
            self._buffer_offset = None

    def on_records(self, records):
        """Apply or buffer the records of a page.

        Parameters
        ----------
        records : list of tuple of int and object
            Offset and JSON value, ascending. Records that were read before are
            ignored, and so are those after a gap.

        Returns
        -------
        list of ProcessedRecord
            Records that the fold has applied or skipped, in order. If a needed
            checkpoint was found, they begin after what it covers.
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
        """Load a peer's state if it is ahead of the fold and leaves no gap.

        Returns
        -------
        list of ProcessedRecord or None
            Buffered records after the snapshot, which the fold has now processed, or
            None if the snapshot was not loaded.
        """
        if covers_offset < self.fold.next_offset:
            return None
        if self.needs_checkpoint and covers_offset < self._buffer_offset - 1:
            return None
        if not self._load(covers_offset, state, "snapshot of a peer"):
            return None
        return self._apply_buffer()

    def _decode(self, offset, value):
        """Return the offset and the record, which is None if it is undecodable."""
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
            # A fold depends on the records alone, so every VM fails at this record.
            # All skip it: otherwise each would fail here again after every restart.
            self._report_bad_record(offset, f"applying the record failed: {error!r}")
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
        """Load a state; restore the previous one if the new one is malformed."""
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
