"""The platform's metadata store, and a VM's client of it."""

import asyncio

from cassiamount.metadata_store import (
    KeyedPage,
    KeyedRecord,
    LeaseReply,
    StoreUnavailable,
)

LATENCY_MS = 4.0
CALL_BYTES = 400
RECORD_OVERHEAD_BYTES = 40


class WorldStore:
    """Streams of keyed records, and the group that carries the order lease."""

    def __init__(self, loop):
        self.loop = loop
        self.streams = {}
        self.up = True
        # The member that holds the lease first.
        self.first_holder = None
        self.generation = 1
        # Member -> time until which it belongs to the group.
        self.members = {}
        self.holder = None

    def put(self, stream, key, value):
        """Append the newest record of a key."""
        records = self.streams.setdefault(stream, [])
        records.append(KeyedRecord(len(records), key, value))

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
        return LeaseReply(self.generation, self.holder == member)

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

    async def _call(self, size):
        self.calls += 1
        if not self._store.up:
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
        await self._call(sum(self._size(r) for r in newest.values()))
        return KeyedPage(
            [r for r in newest.values() if r.value is not None], len(records)
        )

    async def read(self, stream, from_offset, wait_ms):
        records = self._store.streams.setdefault(stream, [])
        deadline_ms = self._store.loop.true_ms + wait_ms
        while len(records) <= from_offset and self._store.loop.true_ms < deadline_ms:
            await asyncio.sleep(0.01)
        page = records[from_offset:]
        await self._call(sum(self._size(r) for r in page))
        return KeyedPage(list(page), from_offset + len(page))

    async def put(self, stream, key, value):
        await self._call(CALL_BYTES)
        self._store.put(stream, key, value)

    async def join_lease(self, member, ttl_ms, generation):
        await self._call(CALL_BYTES)
        return self._store.join(member, ttl_ms)

    async def leave_lease(self, member):
        await self._call(CALL_BYTES)
        self._store.leave(member)

    @staticmethod
    def _size(record):
        return len(record.value or b"") + RECORD_OVERHEAD_BYTES
