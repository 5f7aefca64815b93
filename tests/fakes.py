"""In-memory fakes of the log, of peers and of a fold."""

import asyncio
from collections import deque

from cassiamount.errors import (
    AppendLimitReached,
    AppendOutcomeUnknown,
    OffsetTrimmed,
    PlatformUnavailable,
)
from cassiamount.follower import Snapshot
from cassiamount.log_client import LogPage
from cassiamount.records import Checkpoint, encode_record
from cassiamount.stream_state import Applied, Rejected, SeenIds

# What happens to the next appends; see `FakeLog.script`.
APPENDED = "appended"
ANSWER_LOST = "answer-lost"
REQUEST_LOST = "request-lost"
REQUEST_LATE = "request-late"
LIMIT = "limit"


class FakeLog:
    """A log in memory, used as client by any number of VMs.

    Parameters
    ----------
    script : iterable of str
        Fates of the next appends; later ones succeed.
    """

    def __init__(self, script=()):
        self.streams = {}
        self.earliest = {}
        self.script = deque(script)
        self.late = []
        self.reachable = True
        self.appends = []
        self.in_flight = 0
        self.max_in_flight = 0
        self._changed = asyncio.Event()

    def put(self, stream, *values):
        """Add values (or records) to a stream at once; return their offsets."""
        held = self.streams.setdefault(stream, [])
        start = len(held)
        held.extend(
            value if isinstance(value, (dict, list, str, int)) else encode_record(value)
            for value in values
        )
        self.notify()
        return list(range(start, len(held)))

    def trim(self, stream, earliest):
        self.earliest[stream] = earliest

    def set_reachable(self, reachable):
        self.reachable = reachable
        self.notify()

    def notify(self):
        self._changed.set()
        self._changed = asyncio.Event()

    def deliver_late(self):
        """Let the delayed appends arrive."""
        for stream, values in self.late:
            self.put(stream, *values)
        self.late.clear()

    async def append(self, stream, values):
        if not self.reachable:
            raise PlatformUnavailable("outage")
        self.in_flight += 1
        self.max_in_flight = max(self.max_in_flight, self.in_flight)
        try:
            await asyncio.sleep(0)
            return self._append(stream, list(values))
        finally:
            self.in_flight -= 1

    def _append(self, stream, values):
        fate = self.script.popleft() if self.script else APPENDED
        self.appends.append((fate, [value["id"] for value in values]))
        if fate == LIMIT:
            raise AppendLimitReached("limit")
        if fate == REQUEST_LATE:
            self.late.append((stream, values))
        if fate in (REQUEST_LOST, REQUEST_LATE):
            raise AppendOutcomeUnknown(fate)
        offsets = self.put(stream, *values)
        if fate == ANSWER_LOST:
            raise AppendOutcomeUnknown(fate)
        return offsets

    async def read(self, stream, from_offset, limit, wait_ms=0):
        held = self.streams.setdefault(stream, [])
        while wait_ms and self.reachable and from_offset >= len(held):
            await self._changed.wait()
        if not self.reachable:
            raise PlatformUnavailable("outage")
        earliest = self.earliest.get(stream, 0)
        if from_offset < earliest:
            raise OffsetTrimmed(stream, earliest)
        values = held[from_offset : from_offset + limit]
        return LogPage(list(enumerate(values, from_offset)), earliest, len(held))


class FakePeers:
    """Peers that reach `log` and hold a fold; either may be missing."""

    def __init__(self, log=None, fold=None):
        self.log = log
        self.fold = fold
        self.relayed = 0

    async def read_stream(self, stream, from_offset, limit):
        if self.log is None:
            raise PlatformUnavailable("no peer reaches the log")
        return await self.log.read(stream, from_offset, limit)

    async def snapshot(self, stream):
        if self.fold is None:
            raise PlatformUnavailable("no peer holds the stream")
        return Snapshot(self.fold.next_offset - 1, self.fold.to_state())

    async def append(self, stream, values):
        if self.log is None:
            raise PlatformUnavailable("no peer reaches the log")
        self.relayed += 1
        return await self.log.append(stream, values)


class ListFold:
    """A fold that lists the identifiers it has applied, each one once."""

    def __init__(self):
        self.next_offset = 0
        self.ids = []
        self.skipped = []
        self._seen = SeenIds()

    def apply(self, offset, record):
        assert offset == self.next_offset, (offset, self.next_offset)
        self.next_offset += 1
        if not self._seen.add(record.id):
            return Rejected(offset, "repeated identifier")
        if record.id == "poison":
            raise KeyError("a bug in the fold")
        if not isinstance(record, Checkpoint):
            self.ids.append(record.id)
        return Applied(offset)

    def skip(self, offset):
        assert offset == self.next_offset
        self.skipped.append(offset)
        self.next_offset += 1

    def to_state(self):
        return {"ids": list(self.ids), "skipped": list(self.skipped)}

    def load_state(self, covers_offset, state):
        self.next_offset = covers_offset + 1
        self.ids, self.skipped = list(state["ids"]), list(state["skipped"])
        self._seen = SeenIds(self.ids)

    def digest(self):
        return repr((self.next_offset, self.ids, self.skipped))
