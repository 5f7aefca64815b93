"""HTTP client of the platform's metadata store."""

import base64

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
    StoreUnavailable,
)
from ..store_position import position, split_position

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
# Length prefix of each record, and each of the two offsets at the start of a page.
LENGTH_BYTES = 4
OFFSET_BYTES = 8
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
        # Latest era of the store; 0 if it names none.
        self._era = 0
        self.calls = 0

    async def start(self):
        """Open the HTTP session."""
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=16, keepalive_timeout=15),
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
        next_offset = after = first_era = None
        while True:
            query = {"Topic": TOPICS[stream], "part": "0"}
            if after is not None:
                query["after"] = after
            page, era = await self._json("GET", "/log-newest", query)
            if next_offset is None:
                # Pages are not one snapshot: reading continues at the end of the first.
                first_era = era
                next_offset = position(era, page["EndOffset"])
            if era != first_era:
                raise StoreUnavailable("/log-newest: a new era between two pages")
            for item in page["items"]:
                value = base64.b64decode(item.get("Value") or "")
                offset = position(era, item["Offset"])
                records.append(KeyedRecord(offset, item["Key"], value or None))
                after = item["Key"]
            if not page.get("HasMore") or not page["items"]:
                return KeyedPage(records, next_offset)

    async def read(self, stream, from_offset, wait_ms):
        """Return the records from an offset on, after waiting for one if there is none.

        Raises
        ------
        HistoryTrimmed, StoreUnavailable
        """
        era, first = split_position(from_offset)
        if era < self._era:
            raise HistoryTrimmed(stream)
        query = {
            "Topic": TOPICS[stream],
            "part": "0",
            "From": str(first),
            "WaitMs": str(int(wait_ms)),
        }
        status, body, found_era = await self._call(
            "GET", "/log-read", query, None, wait_ms
        )
        if status == 410:
            raise HistoryTrimmed(stream)
        if status != 200 or len(body) < 2 * OFFSET_BYTES:
            raise StoreUnavailable(f"read of {stream}: status {status}")
        if found_era != era:
            # The offset has been given out again, for another record.
            raise HistoryTrimmed(stream)
        return _decode_page(body, from_offset)

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
        status, _, era = await self._call("POST", "/log-append", query, record, 0)
        if status != 200:
            raise StoreUnavailable(f"append to {stream}: status {status}")
        return era

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
        known_era, known = split_position(generation)
        reply, era = await self._json(
            "POST",
            "/log-join",
            None,
            {
                "group": LEASE_GROUP,
                "Member": member,
                "Topics": [LEASE_TOPIC],
                "TtlMs": int(ttl_ms),
                # A generation of an earlier era would confirm changes of the group
                # that this member has not heard of.
                "Generation": known if known_era == self._era else 0,
            },
        )
        holds = any(row[0] == LEASE_TOPIC and row[1] == 0 for row in reply["parts"])
        return LeaseReply(position(era, reply["Generation"]), holds)

    async def leave_lease(self, member):
        """Release the order lease.

        Raises
        ------
        StoreUnavailable
        """
        await self._json(
            "POST", "/log-leave", None, {"group": LEASE_GROUP, "Member": member}
        )

    async def _json(self, method, path, query, value=None):
        body = None if value is None else orjson.dumps(value)
        status, data, era = await self._call(method, path, query, body, 0)
        if status != 200:
            raise StoreUnavailable(f"{path}: status {status}")
        try:
            return orjson.loads(data or b"{}"), era
        except ValueError as error:
            raise StoreUnavailable(f"{path}: {error}") from error

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
            ) as response:
                era = self._observe_era(response.headers.get(ERA_HEADER))
                return response.status, await response.read(), era
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise StoreUnavailable(f"{path}: {type(error).__name__}") from error

    def _observe_era(self, text):
        """Return the era that a response names.

        Raises
        ------
        StoreUnavailable
            If the response is of an earlier era than another one before.
        """
        if text is None:
            return self._era
        if not text.isdecimal() or int(text) < self._era:
            raise StoreUnavailable(f"response of era {text!r} in era {self._era}")
        if int(text) > self._era:
            log.info("store_era_changed", era=int(text), before=self._era)
            self._era = int(text)
        return self._era


def _decode_page(body, from_offset):
    records = []
    position = 2 * OFFSET_BYTES
    offset = from_offset
    while position + LENGTH_BYTES <= len(body):
        length = int.from_bytes(body[position : position + LENGTH_BYTES], "big")
        position += LENGTH_BYTES
        content = body[position : position + length]
        position += length
        if len(content) == length and content:
            split = 1 + content[0]
            key = content[1:split].decode("utf-8", "replace")
            records.append(KeyedRecord(offset, key, content[split:] or None))
        offset += 1
    return KeyedPage(records, offset)
