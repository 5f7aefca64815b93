"""HTTP client of the platform's metadata store."""

import aiohttp
import orjson
import structlog

from ..metadata_store import (
    BACKENDS,
    CONFIGURATION,
    QUARANTINE,
    SOFTWARE,
    VMS,
    HistoryTrimmed,
    KeyedPage,
    KeyedRecord,
    LeaseReply,
    StoreAnswerInvalid,
    StoreUnavailable,
    snapshot_may_go_on,
)
from ..platform_http import UnreadableBody, read_body
from ..store_position import (
    StoreEra,
    is_next_generation,
    parse_era,
    position,
    split_position,
)
from .store_answers import (
    LENGTH_BYTES,
    decode_append,
    decode_join,
    decode_newest,
    decode_read,
)

TOPICS = {
    CONFIGURATION: "keyed.op",
    BACKENDS: "keyed.servers",
    VMS: "keyed.vms",
    QUARANTINE: "keyed.quarantine",
    SOFTWARE: "keyed.software",
}
# The member of this group that owns the first partition of the topic holds the order
# lease.
LEASE_GROUP = "placement"
LEASE_TOPIC = "placement"
# Time for a response, in addition to the time that a read may wait for a record.
RESPONSE_TIMEOUT_MS = 1_000
# Far longer than a page or a record may be.
MAX_ANSWER_BYTES = 8 * 1024 * 1024
# Rises each time the store comes back from an older copy of its data.
ERA_HEADER = "Store-Era"

log = structlog.get_logger()


class PlatformStore:
    """HTTP client of the platform's metadata store.

    Parameters
    ----------
    address : str
        ``IP:port``.
    """

    def __init__(self, address):
        self._base = f"http://{address}"
        self._session = None
        self._era = StoreEra()
        # Calls whose last answer was invalid.
        self._invalid_paths = set()
        self.calls = 0

    async def start(self):
        """Open the HTTP session."""
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=16, keepalive_timeout=15),
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
        )

    async def close(self):
        """Close the HTTP session."""
        await self._session.close()

    async def newest(self, stream):
        """Return a `KeyedPage` with the newest record of each key.

        Raises
        ------
        StoreUnavailable
        """
        records = []
        query = {"Topic": TOPICS[stream], "part": "0"}
        next_offset = first_era = None
        while True:
            page, era = await self._json(
                "GET", "/log-newest", query, None, decode_newest
            )
            items, end_offset, has_more = page
            if next_offset is None:
                # Pages are not one snapshot: reading continues at the end of the first.
                first_era = era
                next_offset = position(era, end_offset)
            if era != first_era:
                raise StoreUnavailable("/log-newest: a new era between two pages")
            for offset, key, value in items:
                records.append(KeyedRecord(position(era, offset), key, value or None))
            if not has_more:
                return KeyedPage(records, next_offset)
            if not snapshot_may_go_on(records, len(items)):
                raise self._invalid("/log-newest", "pages without an end")
            query["after"] = items[-1][1]

    async def read(self, stream, from_offset, wait_ms):
        """Return the records from an offset on, after waiting for one if there is none.

        Raises
        ------
        HistoryTrimmed, StoreUnavailable
        """
        era, first = split_position(from_offset)
        if era < self._era.known:
            raise HistoryTrimmed(stream)
        query = {
            "Topic": TOPICS[stream],
            "part": "0",
            "From": str(first),
            "WaitMs": str(int(wait_ms)),
        }
        answer = await self._call("GET", "/log-read", query, None, wait_ms)
        if answer.status == 410:
            raise HistoryTrimmed(stream)
        contents = self._decode(answer, lambda body: decode_read(body, first))
        if await self._accept_era(answer) != era:
            # The offset has been given out again, for another record.
            raise HistoryTrimmed(stream)
        return _keyed_page(contents, from_offset)

    async def put(self, stream, key, value):
        """Append a record with the new value of a key.

        Returns
        -------
        int
            Era of the store that has the record.

        Raises
        ------
        StoreUnavailable
        """
        name = key.encode()
        content = bytes([len(name)]) + name + value
        record = len(content).to_bytes(LENGTH_BYTES, "big") + content
        query = {"Topic": TOPICS[stream], "part": "0"}
        answer = await self._call("POST", "/log-append", query, record, 0)
        self._decode(answer, decode_append)
        return await self._accept_era(answer)

    async def join_lease(self, member, ttl_ms, generation):
        """Claim or renew the order lease.

        Parameters
        ----------
        member : str
        ttl_ms : float
        generation : int
            Position of the last reply.

        Returns
        -------
        LeaseReply

        Raises
        ------
        StoreUnavailable
        """
        reply = await self._join(member, ttl_ms, generation)
        if reply.generation != generation:
            before, reply = reply, await self._join(member, ttl_ms, generation)
            if not is_next_generation(reply.generation, before.generation, generation):
                raise self._invalid("/log-join", "the generation is not confirmed")
        return reply

    async def _join(self, member, ttl_ms, generation):
        known_era, known = split_position(generation)
        value = {
            "group": LEASE_GROUP,
            "Member": member,
            "Topics": [LEASE_TOPIC],
            "TtlMs": int(ttl_ms),
            # A generation of an earlier era would confirm changes of the group
            # that this member has not heard of.
            "Generation": known if known_era == self._era.known else 0,
        }
        reply, era = await self._json("POST", "/log-join", None, value, decode_join)
        generation, parts = reply
        return LeaseReply(position(era, generation), (LEASE_TOPIC, 0) in parts)

    async def leave_lease(self, member):
        """Release the order lease.

        Raises
        ------
        StoreUnavailable
        """
        value = {"group": LEASE_GROUP, "Member": member}
        answer = await self._call("POST", "/log-leave", None, orjson.dumps(value), 0)
        self._decode(answer, bytes)
        await self._accept_era(answer)

    async def _json(self, method, path, query, value, decode):
        body = None if value is None else orjson.dumps(value)
        answer = await self._call(method, path, query, body, 0)
        decoded = self._decode(answer, decode)
        return decoded, await self._accept_era(answer)

    async def _call(self, method, path, query, body, wait_ms):
        self.calls += 1
        timeout = aiohttp.ClientTimeout(total=(wait_ms + RESPONSE_TIMEOUT_MS) / 1000)
        headers = {"Content-Type": "application/json"} if body else None
        try:
            async with self._session.request(
                method,
                self._base + path,
                params=query,
                data=body,
                headers=headers,
                timeout=timeout,
                allow_redirects=False,
            ) as response:
                body = await read_body(response, MAX_ANSWER_BYTES)
                era = response.headers.get(ERA_HEADER)
                return _Answer(path, response.status, body, era)
        except UnreadableBody as error:
            raise self._invalid(path, str(error)) from error
        except (TimeoutError, aiohttp.ClientError, OSError, ValueError) as error:
            raise StoreUnavailable(f"{path}: {type(error).__name__}") from error

    def _decode(self, answer, decode):
        """Return what the body of an answer says.

        Raises
        ------
        StoreUnavailable
            If the store turned the call away, or the body has another form.
        """
        if answer.status != 200:
            raise StoreUnavailable(f"{answer.path}: status {answer.status}")
        try:
            decoded = decode(answer.body)
        except (ValueError, TypeError, KeyError) as error:
            raise self._invalid(answer.path, repr(error)) from error
        self._invalid_paths.discard(answer.path)
        return decoded

    def _invalid(self, path, reason):
        """Return the error of an invalid answer, logged unless the last one was too."""
        if path not in self._invalid_paths:
            self._invalid_paths.add(path)
            log.warning("store_answer_invalid", call=path, error=reason)
        return StoreAnswerInvalid(f"{path}: {reason}")

    async def _accept_era(self, answer):
        """Return the era that an answer names, once it is confirmed.

        Raises
        ------
        StoreUnavailable
            Also if the answer is of an earlier era than one before.
        """
        era, before = self._named_era(answer), self._era.known
        if not self._era.observe(era):
            query = {"group": LEASE_GROUP}
            probe = await self._call("GET", "/log-owners", query, None, 0)
            if probe.era is None or not self._era.observe(self._named_era(probe)):
                raise self._invalid(answer.path, f"era {era} is not confirmed")
        if era != self._era.known:
            raise StoreUnavailable(f"response of era {era} in {self._era.known}")
        if era > before:
            log.info("store_era_changed", era=era, before=before)
        return era

    def _named_era(self, answer):
        if answer.era is None:
            return self._era.known
        try:
            return parse_era(answer.era)
        except ValueError as error:
            raise self._invalid(answer.path, str(error)) from error


class _Answer:
    """Status, body and named era of a response."""

    __slots__ = ("path", "status", "body", "era")

    def __init__(self, path, status, body, era):
        self.path = path
        self.status = status
        self.body = body
        self.era = era


def _keyed_page(contents, from_offset):
    """Return the `KeyedPage` of the records from an offset on.

    A record whose key cannot be read is from another writer and is left out.
    """
    records = []
    for offset, content in enumerate(contents, from_offset):
        split = 1 + content[0] if content else 0
        if 0 < split <= len(content):
            try:
                key = content[1:split].decode()
            except UnicodeDecodeError:
                continue
            records.append(KeyedRecord(offset, key, content[split:] or None))
    return KeyedPage(records, from_offset + len(contents))
