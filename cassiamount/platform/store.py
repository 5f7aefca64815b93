"""HTTP client of the platform's metadata store."""

import base64

import aiohttp
import orjson
import structlog

from ..metadata_store import (
    BACKENDS,
    CONFIGURATION,
    QUARANTINE,
    VMS,
    HistoryTrimmed,
    KeyedPage,
    KeyedRecord,
    LeaseReply,
    StoreUnavailable,
)

TOPICS = {
    CONFIGURATION: "keyed.op",
    BACKENDS: "keyed.servers",
    VMS: "keyed.vms",
    QUARANTINE: "keyed.quarantine",
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
# Number of times that the store has come back from an older copy of its data.
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
        self._era = None
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
        """Return a `KeyedPage` with the newest record of each key."""
        records = []
        next_offset = after = None
        while True:
            query = {"Topic": TOPICS[stream], "part": "0"}
            if after is not None:
                query["after"] = after
            page = await self._json("GET", "/log-newest", query)
            if next_offset is None:
                # Pages are not one snapshot: reading continues at the end of the first.
                next_offset = page["EndOffset"]
            for item in page["items"]:
                value = base64.b64decode(item.get("Value") or "")
                records.append(KeyedRecord(item["Offset"], item["Key"], value or None))
                after = item["Key"]
            if not page.get("HasMore") or not page["items"]:
                return KeyedPage(records, next_offset)

    async def read(self, stream, from_offset, wait_ms):
        """Return the records from an offset on, after waiting for one if there is none.

        Raises
        ------
        HistoryTrimmed, StoreUnavailable
        """
        query = {
            "Topic": TOPICS[stream],
            "part": "0",
            "From": str(from_offset),
            "WaitMs": str(int(wait_ms)),
        }
        status, body = await self._call("GET", "/log-read", query, None, wait_ms)
        if status == 410:
            raise HistoryTrimmed(stream)
        if status != 200 or len(body) < 2 * OFFSET_BYTES:
            raise StoreUnavailable(f"read of {stream}: status {status}")
        return _decode_page(body, from_offset)

    async def put(self, stream, key, value):
        """Append a record with the new value of a key.

        Raises
        ------
        StoreUnavailable
        """
        name = key.encode()
        content = bytes([len(name)]) + name + value
        record = len(content).to_bytes(LENGTH_BYTES, "big") + content
        query = {"Topic": TOPICS[stream], "part": "0"}
        status, _ = await self._call("POST", "/log-append", query, record, 0)
        if status != 200:
            raise StoreUnavailable(f"append to {stream}: status {status}")

    async def join_lease(self, member, ttl_ms, generation):
        """Claim or renew the order lease.

        Returns
        -------
        LeaseReply

        Raises
        ------
        StoreUnavailable
        """
        reply = await self._json(
            "POST",
            "/log-join",
            None,
            {
                "group": LEASE_GROUP,
                "Member": member,
                "Topics": [LEASE_TOPIC],
                "TtlMs": int(ttl_ms),
                "Generation": generation,
            },
        )
        holds = any(row[0] == LEASE_TOPIC and row[1] == 0 for row in reply["parts"])
        return LeaseReply(reply["Generation"], holds)

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
        status, data = await self._call(method, path, query, body, 0)
        if status != 200:
            raise StoreUnavailable(f"{path}: status {status}")
        try:
            return orjson.loads(data or b"{}")
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
                self._observe_era(response.headers.get(ERA_HEADER))
                return response.status, await response.read()
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise StoreUnavailable(f"{path}: {type(error).__name__}") from error

    def _observe_era(self, text):
        if text is not None and text != self._era:
            log.info("store_era_changed", era=text, before=self._era)
            self._era = text


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
