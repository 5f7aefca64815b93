"""Reads a stream on demand, and appends records and returns their effect."""

import asyncio

from .errors import (
    AppendLimitReached,
    AppendOutcomeUnknown,
    CassiamountError,
    InvalidRecord,
    OffsetTrimmed,
    PlatformUnavailable,
)
from .records import Checkpoint, decode_record, encode_record

PAGE_RECORDS = 500
# Attempts at a read whose records the log keeps trimming before they are read.
MAX_RESTARTS = 5
# Delays between attempts of an append that was refused or whose response was lost.
RETRY_DELAYS_S = (0.1, 0.3, 1.0, 3.0)


class CheckpointMissing(CassiamountError):
    """The log has trimmed records that no checkpoint in the stream covers."""


class StreamReader:
    """Reads one stream up to its head, on demand.

    Parameters
    ----------
    log : object
        Client of the log, with ``append`` and ``read`` as in `LogClient`.
    stream : str
    fold : object
        State that results from applying the records in order, with
        ``next_offset``, ``apply``, ``skip`` and ``load_state``.
    """

    __slots__ = ("log", "stream", "fold", "_append_results", "_appended_id")

    def __init__(self, log, stream, fold):
        self.log = log
        self.stream = stream
        self.fold = fold
        self._appended_id = None
        self._append_results = []

    async def catch_up(self):
        """Apply the records up to the head of the stream.

        Raises
        ------
        PlatformUnavailable
        CheckpointMissing
        """
        for _ in range(MAX_RESTARTS):
            try:
                return await self._read_to_head()
            except OffsetTrimmed as error:
                if await self._load_checkpoint(error.earliest):
                    return await self._read_to_head()
        raise PlatformUnavailable(
            f"stream {self.stream} is trimmed faster than it can be read"
        )

    async def append(self, record):
        """Append a record and return its effect on the fold.

        Parameters
        ----------
        record : Record

        Returns
        -------
        Applied or Rejected

        Raises
        ------
        PlatformUnavailable
            The record is certainly not in the log.
        AppendOutcomeUnknown
            The record may be in the log, or is there but could not be read back.
        """
        self._appended_id, self._append_results = record.id, []
        in_doubt = False
        for delay_s in (*RETRY_DELAYS_S, None):
            try:
                await self.log.append(self.stream, [encode_record(record)])
                in_doubt = True
            except AppendOutcomeUnknown:
                in_doubt = True
            except PlatformUnavailable as error:
                if not in_doubt:
                    if delay_s is None or not isinstance(error, AppendLimitReached):
                        raise
                    await asyncio.sleep(delay_s)
                    continue
            if await self._read_back():
                return self._append_results[0]
            if delay_s is not None:
                await asyncio.sleep(delay_s)
        raise AppendOutcomeUnknown(
            f"unknown outcome of appending record {record.id} to stream {self.stream}"
        )

    async def _read_back(self):
        try:
            await self.catch_up()
        except PlatformUnavailable:
            # The record may be in the log. It is appended again only after a read up
            # to the head has shown that it is absent.
            await self._wait_for_log()
        return bool(self._append_results)

    async def _wait_for_log(self):
        for delay_s in RETRY_DELAYS_S:
            await asyncio.sleep(delay_s)
            try:
                return await self.catch_up()
            except PlatformUnavailable:
                continue
        raise AppendOutcomeUnknown(
            f"stream {self.stream} cannot be read; it may hold the appended record"
        )

    async def _read_to_head(self):
        async for offset, value in self._records_from(self.fold.next_offset):
            self._apply(offset, value)

    async def _records_from(self, offset):
        """Yield the offset and value of each record up to the head of the stream."""
        at_head = False
        while not at_head:
            page = await self.log.read(self.stream, offset, PAGE_RECORDS, 0)
            at_head = page.at_head(offset) or not page.records
            for record in page.records:
                yield record
            offset += len(page.records)

    def _apply(self, offset, value):
        if offset < self.fold.next_offset:
            return
        decoded = decode_record(value)
        if decoded.is_err():
            self.fold.skip(offset)
            return
        record = decoded.unwrap()
        result = self.fold.apply(offset, record)
        if record.id == self._appended_id:
            self._append_results.append(result)

    async def _load_checkpoint(self, earliest):
        """Load a checkpoint that covers the trimmed records; apply those after it.

        Returns
        -------
        bool
            False if the log has trimmed more records in the meantime.
        """
        try:
            buffered = [record async for record in self._records_from(earliest)]
        except OffsetTrimmed:
            return False
        for _, value in buffered:
            if self._try_checkpoint(value, earliest):
                for record in buffered:
                    self._apply(*record)
                return True
        raise CheckpointMissing(
            f"stream {self.stream} starts at offset {earliest} and holds no checkpoint"
            f" that covers offset {earliest - 1}"
        )

    def _try_checkpoint(self, value, earliest):
        decoded = decode_record(value)
        if decoded.is_err() or not isinstance(decoded.unwrap(), Checkpoint):
            return False
        checkpoint = decoded.unwrap()
        if checkpoint.covers_offset < earliest - 1:
            return False
        try:
            self.fold.load_state(checkpoint.covers_offset, checkpoint.state)
        except InvalidRecord:
            return False
        return True
