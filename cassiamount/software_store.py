"""Keeps software versions and begun streams in the store, for the next start."""

import asyncio

import orjson
import structlog

from .json_shapes import count
from .metadata_store import SOFTWARE, StoreUnavailable
from .software_versions import STREAM_LIFE_MS

CHECK_INTERVAL_MS = 400.0
RETRY_DELAY_MS = 500.0
# The keys of the kinds of records begin so.
VERSIONS = "versions/"
SETTLED = "settled/"
STREAMS = "streams/"
# The streams that began within one such span are one record. Keys are used again when
# the streams of the record before have ended.
SPAN_MS = 2_000
SPANS = int(STREAM_LIFE_MS) // SPAN_MS + 2
# Records of streams that are written in one round at most.
MAX_SPANS_AT_ONCE = 2

log = structlog.get_logger()


def encode_versions(ages_ms, wall_ms):
    """Return the record of one service's versions.

    Parameters
    ----------
    ages_ms : dict of str to float
        Version -> time since it was last in service; 0 if it still is.
    wall_ms : float
        The time of day.
    """
    return orjson.dumps(
        {
            software: None if age_ms == 0 else round(wall_ms - age_ms)
            for software, age_ms in ages_ms.items()
        }
    )


def decode_versions(data, wall_ms):
    """Return version -> time since it was last in service, from a record.

    A version that was in service counts as if it had been until now.

    Raises
    ------
    ValueError
    """
    value = orjson.loads(data)
    if not isinstance(value, dict):
        raise ValueError("no mapping of versions")
    ages_ms = {}
    for software, last_wall_ms in value.items():
        if last_wall_ms is not None:
            count([last_wall_ms])
        age_ms = 0.0 if last_wall_ms is None else wall_ms - last_wall_ms
        ages_ms[software] = max(0.0, float(age_ms))
    return ages_ms


def decode_streams(data, wall_ms):
    """Return ``(request_id, software, age_ms)`` of each stream in a record.

    Raises
    ------
    ValueError
    """
    value = orjson.loads(data)
    if not isinstance(value, list):
        raise ValueError("no list of streams")
    streams = []
    for item in value:
        match item:
            case [str(request_id), str(software), int(begun_wall_ms)]:
                count([begun_wall_ms])
                age_ms = max(0.0, wall_ms - begun_wall_ms)
                streams.append((request_id, software, age_ms))
            case _:
                raise ValueError("a stream has no ID, version or time")
    return streams


class SoftwareStore:
    """Task that keeps software versions, and where streams began, in the store.

    Only the VM that reads the store for all others reads and writes them; the others
    hear of them in the reports of their peers. Streams are written only while several
    versions of a service are in service.

    Parameters
    ----------
    store : object
        Client of the metadata store.
    state : FleetState
    """

    def __init__(self, store, state):
        self._store = store
        self._state = state
        self._reset()
        # Era of the store that has what was written.
        self._era = 0

    def _reset(self):
        """Forget what the store has, because another VM may have written."""
        # Service -> versions in service that the store has.
        self._stored = {}
        # Service -> versions at which new streams may begin, that the store has.
        self._stored_settled = {}
        # Span -> list of its streams, as a record has them.
        self._spans = {}
        # Spans with streams that the store lacks.
        self._unwritten = set()
        # Version of the counter up to which streams are in `_spans`.
        self._taken_version = 0

    async def run(self):
        """Load what the store has, and write changes, forever."""
        state = self._state
        # An earlier run may have failed before it wrote what it had marked as written.
        self._reset()
        while True:
            await asyncio.sleep(CHECK_INTERVAL_MS / 1000)
            if (
                state.awaits_peers()
                or state.peers.store_reader_rank(state.now_ms()) != 0
            ):
                self._reset()
                continue
            if state.store_era > self._era:
                self._reset()
                self._era = state.store_era
            try:
                if not state.software.is_complete:
                    await self._load()
                await self._write_versions()
                await self._write_settled()
                await self._write_streams()
            except StoreUnavailable as error:
                log.info("software_not_synchronized", error=str(error))
                await asyncio.sleep(RETRY_DELAY_MS / 1000)

    async def _load(self):
        """Take over what the store has from before the start."""
        wall_ms = self._state.clock.wall_ms()
        versions, streams, settled = {}, [], set()
        for record in (await self._store.newest(SOFTWARE)).records:
            try:
                if record.key.startswith(VERSIONS):
                    service = record.key.removeprefix(VERSIONS)
                    ages_ms = decode_versions(record.value, wall_ms)
                    for software, age_ms in ages_ms.items():
                        versions[service, software] = age_ms
                elif record.key.startswith(SETTLED):
                    service = record.key.removeprefix(SETTLED)
                    settled |= {(service, name) for name in orjson.loads(record.value)}
                elif record.key.startswith(STREAMS):
                    streams += decode_streams(record.value, wall_ms)
            except (ValueError, TypeError) as error:
                log.warning("software_unreadable", key=record.key, error=str(error))
                if record.key.startswith(VERSIONS):
                    return
        if versions:
            now_ms = self._state.now_ms()
            self._state.software.load(versions, streams, now_ms, settled)
            log.info("software_loaded", versions=len(versions), streams=len(streams))

    async def _write_versions(self):
        ages_ms = {}
        for (service, software), age_ms in self._state.software.ages_ms(
            self._state.now_ms()
        ).items():
            ages_ms.setdefault(service, {})[software] = age_ms
        for service, of_service in ages_ms.items():
            listed = {software for software, age in of_service.items() if age == 0}
            if listed != self._stored.get(service):
                data = encode_versions(of_service, self._state.clock.wall_ms())
                await self._store.put(SOFTWARE, VERSIONS + service, data)
                self._stored[service] = listed

    async def _write_settled(self):
        """Write where streams may begin, for services with several versions."""
        now_ms = self._state.now_ms()
        versions, settled = {}, self._state.software.settled(now_ms)
        for key in sorted(self._state.software.ages_ms(now_ms)):
            versions.setdefault(key[0], []).append(key)
        for service, keys in versions.items():
            names = [software for _, software in keys if (service, software) in settled]
            if len(keys) > 1 and names != self._stored_settled.get(service):
                await self._store.put(SOFTWARE, SETTLED + service, orjson.dumps(names))
                self._stored_settled[service] = names

    async def _write_streams(self):
        self._take_streams()
        for span in sorted(self._unwritten, reverse=True)[:MAX_SPANS_AT_ONCE]:
            data = orjson.dumps(self._spans[span])
            self._unwritten.discard(span)
            try:
                await self._store.put(SOFTWARE, f"{STREAMS}{span % SPANS}", data)
            except StoreUnavailable:
                self._unwritten.add(span)
                raise

    def _take_streams(self):
        """Put the streams that are new into the records of their spans."""
        now_ms, wall_ms = self._state.now_ms(), self._state.clock.wall_ms()
        part = self._state.software.part_since(self._taken_version, now_ms)
        if part is None or not part.streams:
            return
        self._taken_version = self._state.software.streams_version
        for request_id, software, age_ms in part.streams:
            begun_wall_ms = round(wall_ms - age_ms)
            span = begun_wall_ms // SPAN_MS
            item = [request_id, software, begun_wall_ms]
            self._spans.setdefault(span, []).append(item)
            self._unwritten.add(span)
        oldest = wall_ms // SPAN_MS - SPANS + 1
        for span in [span for span in self._spans if span < oldest]:
            del self._spans[span]
            self._unwritten.discard(span)
