"""Follows a stream of the metadata store, unless another VM reads and relays it."""

import asyncio

import structlog

from .metadata_store import CONFIGURATION, FROM_STORE, HistoryTrimmed, StoreUnavailable

# The VM with rank 0, the first by name that reaches the store, reads every stream and
# relays it to its peers. The others read a stream only while their view of it is older
# than the takeover age plus one stagger per rank, so that they do not start at once.
TAKEOVER_AGE_MS = {CONFIGURATION: 1_300.0}
DEFAULT_TAKEOVER_AGE_MS = 900.0
TAKEOVER_STAGGER_MS = 150.0
MAX_RANK = 8
# The store holds a read open this long for new records. A read that hangs raises no
# error, so this timeout also bounds how long a change can go unnoticed.
LONG_POLL_TIMEOUT_MS = 700.0
# Delay between reads of a stream that changes continually, such as BACKENDS.
READ_DELAY_MS = 400.0
# Delay after a failed read.
RETRY_DELAY_MS = 250.0

log = structlog.get_logger()


class StoreFollower:
    """Task that keeps the view of one stream in the fleet state up to date.

    Parameters
    ----------
    stream : str
    store : object
        Client of the metadata store, with `read` and `newest`.
    state : FleetState
    on_change : callable
        Called with the stream after new records, to relay them to peers.
    """

    def __init__(self, stream, store, state, on_change):
        self._stream = stream
        self._store = store
        self._state = state
        self._on_change = on_change

    async def run(self):
        """Read the stream forever whenever this VM is responsible for it."""
        while True:
            if not self._should_read():
                await asyncio.sleep(self._state.peers.review_interval_ms() / 1000)
                continue
            try:
                await self._read()
            except HistoryTrimmed:
                log.info("history_trimmed", stream=self._stream)
                await self._load_snapshot_or_delay()
            except StoreUnavailable as error:
                self._record_failure(error)
                await asyncio.sleep(RETRY_DELAY_MS / 1000)

    def _should_read(self):
        if self._state.awaits_peers():
            return False
        age_ms = self._state.staleness_ms(self._stream)
        now_ms = self._state.now_ms()
        rank = min(MAX_RANK, self._state.peers.store_reader_rank(now_ms))
        if rank == 0:
            return True
        limit_ms = TAKEOVER_AGE_MS.get(self._stream, DEFAULT_TAKEOVER_AGE_MS)
        return age_ms > limit_ms + rank * TAKEOVER_STAGGER_MS

    async def _read(self):
        view = self._state.streams[self._stream]
        if view.next_offset is None:
            await self._load_snapshot()
            return
        sent_ms = self._state.now_ms()
        from_offset = view.next_offset
        page = await self._store.read(self._stream, from_offset, LONG_POLL_TIMEOUT_MS)
        self._state.on_store_response(True)
        self._state.on_records(
            self._stream, FROM_STORE, page.records, from_offset, page.next_offset
        )
        self._state.confirm(self._stream, FROM_STORE, page.next_offset, sent_ms)
        if page.records:
            self._on_change(self._stream)
            if self._stream != CONFIGURATION:
                await asyncio.sleep(READ_DELAY_MS / 1000)

    async def _load_snapshot(self):
        sent_ms = self._state.now_ms()
        page = await self._store.newest(self._stream)
        # The snapshot counts only if the stream goes on where it ends: behind a wrong
        # end, no later record would be taken.
        await self._store.read(self._stream, page.next_offset, 0)
        self._state.on_store_response(True)
        self._state.on_records(
            self._stream, FROM_STORE, page.records, None, page.next_offset
        )
        self._state.confirm(self._stream, FROM_STORE, page.next_offset, sent_ms)
        self._on_change(self._stream)
        is_ahead = self._state.streams[self._stream].next_offset > page.next_offset
        if is_ahead or not page.records:
            await asyncio.sleep(RETRY_DELAY_MS / 1000)

    async def _load_snapshot_or_delay(self):
        try:
            await self._load_snapshot()
        except (StoreUnavailable, HistoryTrimmed) as error:
            self._record_failure(error)
            await asyncio.sleep(RETRY_DELAY_MS / 1000)

    def _record_failure(self, error):
        if self._state.store_reachable:
            log.warning("store_failed", stream=self._stream, error=str(error))
        self._state.on_store_response(False)
