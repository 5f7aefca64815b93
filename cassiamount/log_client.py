"""Client of the platform's append-only log service."""

import re
from typing import Protocol
from urllib.parse import quote

import orjson

from .errors import (
    AppendLimitReached,
    AppendOutcomeUnknown,
    InvalidRecord,
    OffsetTrimmed,
    PlatformUnavailable,
)
from .platform_http import (
    NothingSent,
    PlatformHttp,
    PlatformResponse,
    ResponseLost,
    ResponseTooLarge,
)

# Larger records count as undecodable for every reader. The limit is below that of a
# response, so that a record within the limit always fits into a page of its own.
MAX_RECORD_BYTES = 16 * 1024 * 1024
# A record whose kind is this one stands for a value that could not be read.
UNREADABLE_KIND = "unreadable"
STATUS_TOO_MANY_REQUESTS = 429
STATUS_GONE = 410
STATUS_UNAVAILABLE = 503
# The part of a page before its first value. It shows that a page which is no JSON
# is the log's answer, and not some other service's.
PAGE_PREFIX = re.compile(rb'\s*\{\s*"records"\s*:\s*\[\s*\{\s*"offset"\s*:\s*(\d+)\s*,')


class LogPage:
    """A part of a stream.

    Parameters
    ----------
    records : list of tuple of int and object
        Offset and JSON value, without gaps.
    earliest : int
        First offset that the log still holds.
    next_offset : int
        Offset that the next appended record will get.
    """

    __slots__ = ("records", "earliest", "next_offset")

    def __init__(self, records, earliest, next_offset):
        self.records = records
        self.earliest = earliest
        self.next_offset = next_offset

    def at_head(self, from_offset):
        """Return whether a reader that asked from an offset now knows all records."""
        return from_offset + len(self.records) >= self.next_offset


class LogClient(Protocol):
    """What the followers and appenders need from the log."""

    async def append(self, stream, values):
        """Append JSON values in one call and return their offsets.

        Raises
        ------
        PlatformUnavailable
            The records are certainly not in the log; `AppendLimitReached` if the
            log works but is over its limit.
        AppendOutcomeUnknown
            The records may be in the log.
        """

    async def read(self, stream, from_offset, limit, wait_ms):
        """Return a `LogPage`; at the head, wait up to `wait_ms` for a record.

        Raises
        ------
        OffsetTrimmed, PlatformUnavailable
        """


def unreadable_value(reason):
    """Return the value that readers see in place of one that cannot be read.

    It is valid JSON, so it can be relayed to peers, and decodes to no record, so
    every VM skips its offset in the same way.
    """
    return {"kind": UNREADABLE_KIND, "reason": reason}


def sanitize_value(value):
    """Return a parsed value, or its replacement if it cannot be written again.

    Values that are nested too deeply to be written would stop a peer or a
    checkpoint later.
    """
    try:
        size_bytes = len(orjson.dumps(value))
    except (TypeError, ValueError, RecursionError):
        return unreadable_value("the value cannot be written as JSON")
    if size_bytes > MAX_RECORD_BYTES:
        return unreadable_value(f"the value is longer than {MAX_RECORD_BYTES} bytes")
    return value


def encode_values(values):
    """Return the body of an append.

    Raises
    ------
    InvalidRecord
        If a value is not JSON or is longer than readers accept.
    """
    try:
        texts = [orjson.dumps(value) for value in values]
    except (TypeError, ValueError) as error:
        raise InvalidRecord(f"the record is not JSON: {error}") from error
    for text in texts:
        if len(text) > MAX_RECORD_BYTES:
            raise InvalidRecord(f"the record is longer than {MAX_RECORD_BYTES} bytes")
    return b'{"records":[%b]}' % b",".join(texts)


def parse_page(value, from_offset):
    """Return the page in a parsed response, or None if it is malformed."""
    try:
        records = [
            (item["offset"], sanitize_value(item["value"])) for item in value["records"]
        ]
        earliest, next_offset = value["earliest"], value["next"]
    except (TypeError, KeyError):
        return None
    offsets = [offset for offset, _ in records]
    expected = list(range(from_offset, from_offset + len(records)))
    if offsets != expected or not is_offset(earliest) or not is_offset(next_offset):
        return None
    if records and from_offset + len(records) > next_offset:
        return None
    return LogPage(records, earliest, next_offset)


def unreadable_page(stream, from_offset, body):
    """Return a page whose only record replaces one that is not JSON.

    Raises
    ------
    PlatformUnavailable
        If the body is not a page of the log that starts at the offset.
    """
    beginning = PAGE_PREFIX.match(body)
    if beginning is None or int(beginning[1]) != from_offset:
        raise PlatformUnavailable(f"stream {stream}: the response is not a page")
    value = unreadable_value("the value is not JSON or is too long")
    # The head is unknown; naming one more record makes the reader read on.
    return LogPage([(from_offset, value)], 0, from_offset + 2)


def is_offset(value):
    """Return whether a JSON value can be an offset."""
    return isinstance(value, int) and not isinstance(value, bool) and value >= 0


class HttpLogClient:
    """Adapter to the log's HTTP interface.

    Parameters
    ----------
    base_url : str
    **limits
        Limits of `PlatformHttp`.
    """

    __slots__ = ("_http",)

    def __init__(self, base_url, **limits):
        self._http = PlatformHttp(base_url, **limits)

    async def append(self, stream, values):
        """Append JSON values; see `LogClient.append`."""
        body = encode_values(values)
        try:
            response = await self._http.request("POST", records_path(stream), body=body)
        except NothingSent as error:
            raise PlatformUnavailable(str(error)) from error
        except ResponseLost as error:
            raise AppendOutcomeUnknown(str(error)) from error
        status = response.status
        if status == STATUS_TOO_MANY_REQUESTS:
            raise AppendLimitReached(f"stream {stream}: append limit reached")
        if status == STATUS_UNAVAILABLE or 400 <= status < 500:
            raise PlatformUnavailable(f"append to stream {stream}: status {status}")
        offsets = self._parse_offsets(response, len(values))
        if offsets is None:
            raise AppendOutcomeUnknown(f"append to stream {stream}: status {status}")
        return offsets

    def _parse_offsets(self, response, count):
        document = response.json() if response.status == 200 else None
        offsets = document.get("offsets") if isinstance(document, dict) else None
        if not isinstance(offsets, list) or len(offsets) != count:
            return None
        return offsets if all(map(is_offset, offsets)) else None

    async def read(self, stream, from_offset, limit, wait_ms=0):
        """Read a page; see `LogClient.read`.

        A page that is not JSON as a whole is read again in smaller parts, down to
        the one record at fault, which is replaced by `unreadable_value`. The result
        for a record therefore depends only on its own bytes, never on the page.
        """
        while True:
            response = await self._get(stream, from_offset, limit, wait_ms)
            document = response.json()
            if document is not None:
                break
            if limit <= 1:
                return unreadable_page(stream, from_offset, response.body)
            limit //= 2
        page = parse_page(document, from_offset)
        if page is not None and page.next_offset < from_offset:
            raise PlatformUnavailable(
                f"stream {stream}: head {page.next_offset} is before {from_offset}"
            )
        if page is None:
            raise PlatformUnavailable(f"stream {stream}: malformed page")
        return page

    async def _get(self, stream, from_offset, limit, wait_ms):
        """Return a response with status 200, cut short if it is too large."""
        params = {"from": from_offset, "limit": limit, "wait_ms": int(wait_ms)}
        try:
            response = await self._http.request(
                "GET", records_path(stream), params=params, wait_ms=wait_ms
            )
        except ResponseTooLarge as error:
            response = PlatformResponse(error.status, error.beginning)
        except (NothingSent, ResponseLost) as error:
            raise PlatformUnavailable(str(error)) from error
        if response.status == STATUS_GONE:
            raise self._trimmed_error(stream, response)
        if response.status != 200:
            raise PlatformUnavailable(
                f"read of stream {stream}: status {response.status}"
            )
        return response

    def _trimmed_error(self, stream, response):
        document = response.json()
        earliest = document.get("earliest") if isinstance(document, dict) else None
        if not is_offset(earliest):
            return PlatformUnavailable(f"stream {stream}: malformed status 410")
        return OffsetTrimmed(stream, earliest)

    async def close(self):
        """Close the connections to the log."""
        await self._http.close()


def records_path(stream):
    """Return the path of a stream's records."""
    return f"/streams/{quote(stream, safe='')}/records"
