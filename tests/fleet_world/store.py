"""The platform's metadata store, and a VM's client of it."""

import asyncio

from cassiamount.metadata_store import (
    HistoryTrimmed,
    KeyedPage,
    KeyedRecord,
    LeaseReply,
    StoreUnavailable,
)
from cassiamount.store_position import position, split_position

LATENCY_MS = 4.0
CALL_BYTES = 400
RECORD_OVERHEAD_BYTES = 40
# Time for which a granted lease lasts without a renewal.
GRANT_MS = 3_000.0


class WorldStore:
    """Streams of keyed records, and the group that carries the order lease."""

    def __init__(self, loop):
        self.loop = loop
        self.streams = {}
        self.up = True
        # Number of times that the store came back from an older copy, plus one.
        self.era = 1
        # VMs that the store turns away while it serves the others.
        self.refused = set()
        # The member that holds the lease first.
        self.first_holder = None
        self.generation = 1
        # Member -> time until which it belongs to the group.
        self.members = {}
        self.holder = None
        # Called with the VM and the name of each call, if set.
        self.on_call = None
        # Times at which the records of each stream were written.
        self._written_ms = {}
        # (time, generation, holder) after each change of the group.
        self._group_history = [(0.0, self.generation, self.holder)]

    def put(self, stream, key, value):
        """Append the newest record of a key; return its offset."""
        records = self.streams.setdefault(stream, [])
        records.append(KeyedRecord(len(records), key, value))
        self._written_ms.setdefault(stream, []).append(self.loop.true_ms)
        return len(records) - 1

    def restore(self, age_s):
        """Come back as the store was some time ago."""
        copied_ms = self.loop.true_ms - age_s * 1000
        self.era += 1
        for stream, records in self.streams.items():
            written_ms = self._written_ms.get(stream, [])
            kept = sum(at_ms <= copied_ms for at_ms in written_ms)
            del records[kept:], written_ms[kept:]
        while self._group_history[-1][0] > copied_ms:
            self._group_history.pop()
        _, self.generation, self.holder = self._group_history[-1]
        self.members = {}

    def grant(self, member):
        """Let a VM that is no candidate hold the lease; return its lease reply."""
        self.holder = member
        self.members[member] = self.loop.true_ms + GRANT_MS
        return LeaseReply(position(self.era, self.generation), True)

    def join(self, member, ttl_ms):
        """Renew a member's part in the group; return its lease reply."""
        now_ms = self.loop.true_ms
        self.members = {m: at for m, at in self.members.items() if at > now_ms}
        if member not in self.members:
            self.generation += 1
        self.members[member] = now_ms + ttl_ms
        if self.holder is None:
            if self.first_holder in (None, member):
                self.holder = member
        elif self.holder not in self.members:
            self.holder = sorted(self.members)[self.generation % len(self.members)]
        self._group_history.append((now_ms, self.generation, self.holder))
        return LeaseReply(position(self.era, self.generation), self.holder == member)

    def leave(self, member):
        self.members.pop(member, None)
        self.generation += 1


class WorldStoreClient:
    """One VM's client of the store."""

    def __init__(self, network, store, vm):
        self._network = network
        self._store = store
        self._vm = vm
        self.calls = 0

    async def start(self):
        return None

    async def close(self):
        return None

    async def _call(self, name, size):
        self.calls += 1
        if self._store.on_call is not None:
            self._store.on_call(self._vm, name)
        if not self._store.up or self._vm in self._store.refused:
            await asyncio.sleep(LATENCY_MS / 1000)
            raise StoreUnavailable("down")
        try:
            async with asyncio.timeout(1.0):
                await self._network.transfer(self._vm, "store", CALL_BYTES)
                await self._network.transfer("store", self._vm, size)
        except TimeoutError as error:
            raise StoreUnavailable("timeout") from error

    async def newest(self, stream):
        records = self._store.streams.setdefault(stream, [])
        newest = {record.key: record for record in records}
        era, end = self._store.era, len(records)
        await self._call("newest", sum(self._size(r) for r in newest.values()))
        return KeyedPage(
            [
                KeyedRecord(position(era, r.offset), r.key, r.value)
                for r in newest.values()
                if r.value is not None
            ],
            position(era, end),
        )

    async def read(self, stream, from_offset, wait_ms):
        records = self._store.streams.setdefault(stream, [])
        reader_era, from_offset = split_position(from_offset)
        era = self._store.era
        deadline_ms = self._store.loop.true_ms + wait_ms
        while len(records) == from_offset and self._store.loop.true_ms < deadline_ms:
            await asyncio.sleep(0.01)
            if not self._store.up or self._store.era != era:
                raise StoreUnavailable("reset")
        page = [
            KeyedRecord(position(era, r.offset), r.key, r.value)
            for r in records[from_offset:]
        ]
        await self._call("read", sum(self._size(r) for r in page))
        if reader_era != era or len(records) < from_offset:
            raise HistoryTrimmed(stream)
        return KeyedPage(page, position(era, from_offset + len(page)))

    async def put(self, stream, key, value):
        await self._call("put", CALL_BYTES)
        self._store.put(stream, key, value)
        return self._store.era

    async def join_lease(self, member, ttl_ms, generation):
        await self._call("join", CALL_BYTES)
        return self._store.join(member, ttl_ms)

    async def leave_lease(self, member):
        await self._call("leave", CALL_BYTES)
        self._store.leave(member)

    @staticmethod
    def _size(record):
        return len(record.value or b"") + RECORD_OVERHEAD_BYTES
