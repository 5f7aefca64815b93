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

# Every reader treats larger records as undecodable. The limit is below the limit of a
# response's size, so that each record within it fits into a page of its own.
MAX_RECORD_BYTES = 16 * 1024 * 1024
# Kind of the placeholder record for a value that could not be read.
UNREADABLE_KIND = "unreadable"
STATUS_TOO_MANY_REQUESTS = 429
STATUS_GONE = 410
STATUS_UNAVAILABLE = 503
# Start of a page, up to its first value. If a response is not valid JSON, a match shows
# that it is a page of the log and not the response of another service.
PAGE_PREFIX = re.compile(rb'\s*\{\s*"records"\s*:\s*\[\s*\{\s*"offset"\s*:\s*(\d+)\s*,')


class LogPage:
    """Consecutive records of a stream, as returned by one read.

    Parameters
    ----------
    records : list of tuple of int and object
        Offset and JSON value of each record, without gaps.
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
        """Return whether a page read from `from_offset` reaches the stream's head."""
        return from_offset + len(self.records) >= self.next_offset


class LogClient(Protocol):
    """Interface to the log that followers and appenders use."""

    async def append(self, stream, values):
        """Append JSON values in one call and return their offsets.

        Raises
        ------
        PlatformUnavailable
            The records are certainly not in the log. It is an `AppendLimitReached` if
            the log refused the call because of its rate limit.
        AppendOutcomeUnknown
            The records may be in the log.
        """

    async def read(self, stream, from_offset, limit, wait_ms):
        """Return a `LogPage`; at the head, wait up to `wait_ms` for a new record.

        Raises
        ------
        OffsetTrimmed, PlatformUnavailable
        """


def unreadable_value(reason):
    """Return the placeholder for a value that cannot be read.

    The placeholder is valid JSON, so it can be relayed to peers. It doesn't decode to a
    record, so every VM skips its offset in the same way.
    """
    return {"kind": UNREADABLE_KIND, "reason": reason}


def sanitize_value(value):
    """Return a parsed value, or a placeholder if it cannot be written as JSON again.

    A value that is nested too deeply to be written would otherwise fail later, when it
    is relayed to a peer or included in a checkpoint.
    """
    try:
        size_bytes = len(orjson.dumps(value))
    except (TypeError, ValueError, RecursionError):
        return unreadable_value("the value cannot be written as JSON")
    if size_bytes > MAX_RECORD_BYTES:
        return unreadable_value(f"the value is longer than {MAX_RECORD_BYTES} bytes")
    return value


def encode_values(values):
    """Return the request body of an append.

    Raises
    ------
    InvalidRecord
        If a value cannot be written as JSON or is longer than readers accept.
    """
    try:
        texts = [orjson.dumps(value) for value in values]
    except (TypeError, ValueError) as error:
        raise InvalidRecord(f"the record cannot be written as JSON: {error}") from error
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
    """Return a page with a placeholder for its only record, which is not JSON.

    Raises
    ------
    PlatformUnavailable
        If the body is not a page of the log that starts at `from_offset`.
    """
    beginning = PAGE_PREFIX.match(body)
    if beginning is None or int(beginning[1]) != from_offset:
        raise PlatformUnavailable(
            f"stream {stream}: the response is not a page of the log"
        )
    value = unreadable_value("the value is not JSON or is too long")
    # The head is unknown. This one is past the record, so that the reader reads on.
    return LogPage([(from_offset, value)], 0, from_offset + 2)


def is_offset(value):
    """Return whether a JSON value is a valid offset."""
    return isinstance(value, int) and not isinstance(value, bool) and value >= 0


class HttpLogClient:
    """Client of the log's HTTP interface.

    Parameters
    ----------
    base_url : str
    **limits
        Passed to `PlatformHttp`.
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

        A page that is not valid JSON is read again with half the limit, down to the
        single invalid record, which is replaced by `unreadable_value`. The result for a
        record therefore depends only on its own bytes, never on the rest of the page.
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
        """Return a response with status 200, truncated if it is too large."""
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
            return PlatformUnavailable(
                f"stream {stream}: malformed response with status 410"
            )
        return OffsetTrimmed(stream, earliest)

    async def close(self):
        """Close the connections to the log."""
        await self._http.close()


def records_path(stream):
    """Return the path of a stream's records."""
    return f"/streams/{quote(stream, safe='')}/records"
