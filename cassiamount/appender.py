"""Appends records to a stream and waits until the fold has read them back."""

import asyncio
import random

import orjson
import structlog

from .errors import (
    AppendLimitReached,
    AppendOutcomeUnknown,
    InvalidRecord,
    OffsetTrimmed,
    PlatformUnavailable,
)
from .group_commit import AppendEntry, GroupCommit
from .log_client import MAX_RECORD_BYTES
from .records import encode_record
from .retries import backoff_ms

# Longer than the time limit of one append call, so that there is time to find out
# whether an append whose response was lost has taken effect.
APPEND_TIMEOUT_MS = 4000
RESOLVE_RETRY_MS = 200
RESOLVE_READ_RECORDS = 500

log = structlog.get_logger()


class Appender:
    """Task that appends to one stream, with at most one append in flight.

    Parameters
    ----------
    follower : Follower
        Follows the same stream and reads the records back.
    log : LogClient
    peers : object or None
        Has ``async append(stream, values)``, which relays an append through a peer
        and raises `PlatformUnavailable` only if the records are certainly not in the
        log and will not reach it later, and ``async read_stream`` as in `Follower`.
    rng : random.Random, optional
    interval_ms : float
        Delay after an append before the next one starts. Records that arrive in the
        meantime share an append.
    sleep : callable
        Coroutine function that waits a number of seconds.
    """

    def __init__(
        self,
        follower,
        log,
        peers=None,
        rng=None,
        interval_ms=0,
        sleep=asyncio.sleep,
    ):
        self.stream = follower.stream
        self._follower = follower
        self._log = log
        self._peers = peers
        self._rng = random.Random() if rng is None else rng
        self._interval_ms = interval_ms
        self._sleep = sleep
        self._group = GroupCommit(self.stream)
        self._wake = asyncio.Event()
        # Consecutive appends that the log refused because of its rate limit.
        self._refused_appends = 0
        follower.add_listener(self._group.on_stream_update)

    async def append(self, record, timeout_ms=APPEND_TIMEOUT_MS):
        """Append a record and wait until the fold has read it.

        Parameters
        ----------
        record : Record
            Its identifier must be new. After `AppendOutcomeUnknown` the record may
            still appear in the stream at any time.
        timeout_ms : float

        Returns
        -------
        int
            Offset of the record.

        Raises
        ------
        InvalidRecord
            The record is too long or cannot be written as JSON.
        PlatformUnavailable
            The record is certainly not in the log and will not reach it.
        AppendOutcomeUnknown
            The record may be in the log or reach it later.
        """
        value = encode_record(record)
        outcome_future = asyncio.get_running_loop().create_future()

        def on_end(outcome):
            # The future may have been cancelled by the timeout.
            if not outcome_future.done():
                outcome_future.set_result(outcome)

        entry = AppendEntry(record.id, value, encoded_size(value), on_end)
        self._group.submit(entry)
        self._wake.set()
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                outcome = await outcome_future
        except TimeoutError:
            outcome = self._group.give_up(entry)
        except asyncio.CancelledError:
            self._group.give_up(entry)
            raise
        if isinstance(outcome, Exception):
            raise outcome
        return outcome

    async def run(self):
        """Send batches, and resolve those in doubt, until cancelled."""
        if self._group.in_flight is not None:
            # An earlier run failed after sending the append, so its outcome is unknown.
            self._group.on_outcome_unknown()
        while True:
            if self._group.in_doubt is not None:
                await self._resolve_in_doubt()
            elif self._group.ready:
                await self._send()
                await self._sleep(self._interval_ms / 1000)
            else:
                self._wake.clear()
                await self._wake.wait()

    async def _send(self):
        batch = self._group.take_batch(self._follower.cursor.read_offset)
        try:
            offsets = await self._append(batch.values)
        except AppendLimitReached:
            self._group.on_limit_reached()
            # All VMs share the limit, so retries back off exponentially with jitter.
            self._refused_appends += 1
            await self._sleep(backoff_ms(self._refused_appends, self._rng) / 1000)
        except PlatformUnavailable as error:
            self._group.on_not_appended(error)
        except AppendOutcomeUnknown as error:
            log.warning("append_unknown", stream=self.stream, error=str(error))
            self._group.on_outcome_unknown()
        else:
            if len(offsets) == len(batch.entries):
                self._group.on_appended(offsets)
                self._refused_appends = 0
            else:
                self._group.on_outcome_unknown()

    async def _append(self, values):
        try:
            return await self._log.append(self.stream, values)
        except AppendLimitReached:
            raise
        except PlatformUnavailable:
            if self._peers is None:
                raise
        return await self._peers.append(self.stream, values)

    async def _resolve_in_doubt(self):
        """Read from the batch's lowest possible offset to the head for its records."""
        batch = self._group.in_doubt
        ids = {entry.id for entry in batch.entries}
        found = {}
        offset = batch.from_offset
        while True:
            try:
                page = await self._read(offset)
            except OffsetTrimmed as error:
                if self._group.in_doubt is batch:
                    self._group.on_unresolvable(error)
                return
            except PlatformUnavailable:
                await self._sleep(RESOLVE_RETRY_MS / 1000)
                return
            for record_offset, value in page.records:
                id = value.get("id") if isinstance(value, dict) else None
                if isinstance(id, str) and id in ids:
                    found.setdefault(id, record_offset)
            at_head = page.at_head(offset)
            offset += len(page.records)
            if at_head:
                break
            if not page.records:
                await self._sleep(RESOLVE_RETRY_MS / 1000)
                return
        # The batch is dropped if all its callers gave up during the read.
        if self._group.in_doubt is batch:
            self._group.on_resolved(found)

    async def _read(self, offset):
        try:
            return await self._log.read(self.stream, offset, RESOLVE_READ_RECORDS, 0)
        except PlatformUnavailable:
            if self._peers is None:
                raise
        return await self._peers.read_stream(self.stream, offset, RESOLVE_READ_RECORDS)


def encoded_size(value):
    """Return the size of a record's JSON in bytes.

    Raises
    ------
    InvalidRecord
        If the record cannot be written as JSON or is longer than readers accept.
    """
    try:
        size_bytes = len(orjson.dumps(value))
    except (TypeError, ValueError) as error:
        raise InvalidRecord(f"the record cannot be written as JSON: {error}") from error
    if size_bytes > MAX_RECORD_BYTES:
        raise InvalidRecord(f"the record is longer than {MAX_RECORD_BYTES} bytes")
    return size_bytes
