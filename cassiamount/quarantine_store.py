"""Keeps quarantined parts of requests in the metadata store, for the next start."""

import asyncio
import hashlib

import orjson
import structlog

from .metadata_store import QUARANTINE, StoreUnavailable

CHECK_INTERVAL_MS = 250.0
RETRY_DELAY_MS = 500.0
# A new rule is written after this time, in which answers may still release it.
SETTLE_MS = 500.0

log = structlog.get_logger()


def encode_rule(rule):
    """Return the key and the value of a quarantined combination's record."""
    parts = sorted(rule)
    data = orjson.dumps({"parts": parts})
    return hashlib.blake2s(data, digest_size=16).hexdigest(), data


def decode_rule(data):
    """Return the parts of a record.

    Raises
    ------
    ValueError
    """
    value = orjson.loads(data)
    parts = value.get("parts") if isinstance(value, dict) else None
    # A rule without parts would refuse every request.
    if not isinstance(parts, list) or not parts:
        raise ValueError("no list of parts")
    if not all(isinstance(part, str) for part in parts):
        raise ValueError("a part is no text")
    return frozenset(parts)


class QuarantineStore:
    """Task that keeps the quarantine in the store.

    Only the VM that reads the store for all others reads and writes it; the others
    hear of it in the reports of their peers.

    Parameters
    ----------
    store : object
        Client of the metadata store.
    state : FleetState
    """

    def __init__(self, store, state):
        self._store = store
        self._state = state
        # Rules that the store has, as far as this VM knows; None after another VM may
        # have written.
        self._stored = None
        # Era of the store in which they were read or written.
        self._era = 0

    async def run(self):
        """Load the quarantine and write its changes, forever."""
        while True:
            if (
                self._state.awaits_peers()
                or self._state.peers.store_reader_rank(self._state.now_ms()) != 0
            ):
                self._stored = None
            elif (
                self._settled_rules() != self._stored
                or self._state.store_era > self._era
            ):
                if not await self._succeeds(self._synchronize()):
                    await asyncio.sleep(RETRY_DELAY_MS / 1000)
            await asyncio.sleep(CHECK_INTERVAL_MS / 1000)

    async def _succeeds(self, call):
        try:
            await call
        except StoreUnavailable as error:
            log.info("quarantine_not_synchronized", error=str(error))
            return False
        return True

    async def _read(self):
        """Return the stored rules, each with the key of its record."""
        rules = {}
        for record in (await self._store.newest(QUARANTINE)).records:
            try:
                rules[decode_rule(record.value)] = record.key
            except (ValueError, TypeError) as error:
                log.warning("quarantine_unreadable", key=record.key, error=str(error))
        return rules

    def _settled_rules(self):
        quarantine, now_ms = self._state.quarantine, self._state.now_ms()
        return frozenset(
            rule
            for rule in quarantine.rules()
            if quarantine.age_ms(rule, now_ms) >= SETTLE_MS
        )

    async def _synchronize(self):
        era = self._state.store_era
        stored = await self._read()
        current = set(self._state.quarantine.rules())
        released = (self._stored or frozenset()) - current
        # Another VM may have written rules that this VM has not heard of.
        self._state.load_quarantine(stored.keys() - released)
        settled = self._settled_rules()
        for rule in stored.keys() - set(self._state.quarantine.rules()):
            await self._store.put(QUARANTINE, stored[rule], b"")
        for rule in settled - stored.keys():
            await self._store.put(QUARANTINE, *encode_rule(rule))
        self._stored = settled
        self._era = era
