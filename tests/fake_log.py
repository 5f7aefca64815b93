"""In-memory log with injected faults, for tests of its readers and writers."""

import json

from cassiamount.errors import (
    AppendLimitReached,
    AppendOutcomeUnknown,
    OffsetTrimmed,
    PlatformUnavailable,
)
from cassiamount.log_client import LogPage

DOWN = "down"
REQUEST_LOST = "request-lost"
RESPONSE_LOST = "response-lost"
LIMIT = "limit"


class YieldToEventLoop:
    """Awaitable that lets other tasks run, as a network call does."""

    def __await__(self):
        yield


class FakeLog:
    """Log client that keeps the streams in memory.

    Each call takes the next element of `append_faults` or `read_faults`, of which None
    is no fault. `before_append` is awaited once before the next append, so that
    another writer's append comes first.
    """

    def __init__(self):
        self.streams = {}
        self.earliest = {}
        self.append_faults = []
        self.read_faults = []
        self.before_append = None

    async def append(self, stream, values):
        await YieldToEventLoop()
        if self.before_append is not None:
            race, self.before_append = self.before_append, None
            await race()
        fault = self.append_faults.pop(0) if self.append_faults else None
        if fault == DOWN:
            raise PlatformUnavailable("the log is down")
        if fault == LIMIT:
            raise AppendLimitReached("too many appends")
        if fault == REQUEST_LOST:
            raise AppendOutcomeUnknown("no response")
        records = self.streams.setdefault(stream, [])
        offsets = list(range(len(records), len(records) + len(values)))
        records.extend(json.loads(json.dumps(values)))
        if fault == RESPONSE_LOST:
            raise AppendOutcomeUnknown("no response")
        return offsets

    async def read(self, stream, from_offset, limit, wait_ms=0):
        await YieldToEventLoop()
        if self.read_faults and self.read_faults.pop(0) == DOWN:
            raise PlatformUnavailable("the log is down")
        records = self.streams.get(stream, [])
        earliest = self.earliest.get(stream, 0)
        if from_offset < earliest:
            raise OffsetTrimmed(stream, earliest)
        page = list(enumerate(records))[from_offset : from_offset + limit]
        return LogPage(page, earliest, len(records))

    async def close(self):
        pass
