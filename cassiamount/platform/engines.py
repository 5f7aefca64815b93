"""HTTP client that sends orders to engines and reads their reports."""

import aiohttp
import orjson

from ..fleet_orders import (
    ACCEPTED,
    ALREADY_DONE,
    CONFLICT,
    FENCED,
    INVALID,
    NO_ANSWER,
    OTHER_INSTANCE,
    EngineReport,
)
from ..json_values import (
    count_field,
    optional_field,
    parse_object,
    strings_field,
    typed,
)
from ..platform_http import UnreadableBody, read_body
from .documents import MALFORMED, residents

RESULT_BY_STATUS = {
    200: ALREADY_DONE,
    202: ACCEPTED,
    400: INVALID,
    409: CONFLICT,
    412: FENCED,
    421: OTHER_INSTANCE,
}
# Errors raised by a report that is late, truncated or invalid.
REPORT_ERRORS = (
    TimeoutError,
    aiohttp.ClientError,
    OSError,
    UnreadableBody,
    *MALFORMED,
)
# Far longer than a report may be; the answer to an order has no body that matters.
MAX_REPORT_BYTES = 1024 * 1024
MAX_ANSWER_BYTES = 64 * 1024
# An engine responds to orders immediately. After a timeout the order may still be
# carried out.
ORDER_TIMEOUT_MS = 120
REPORT_TIMEOUT_MS = 300


class EngineClient:
    """HTTP client of all engines."""

    def __init__(self):
        self._session = None

    async def start(self):
        """Open the HTTP session."""
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit_per_host=2, keepalive_timeout=10),
            timeout=aiohttp.ClientTimeout(total=REPORT_TIMEOUT_MS / 1000),
            auto_decompress=False,
        )

    async def close(self):
        """Close the HTTP session."""
        await self._session.close()

    async def order(self, order):
        """Send an `EngineOrder`; return its result, `NO_ANSWER` if that is unknown."""
        value = {
            "Op": order.action,
            "Model": order.model,
            "Expect": order.expected_orders,
            "Holder": order.holder,
            "FencingToken": order.fence,
        }
        if order.adapter:
            value["Adapter"] = order.adapter
        headers = {
            "Content-Type": "application/json",
            "X-Cassiamount-Expect-Instance": order.engine,
        }
        try:
            async with self._session.post(
                f"http://{order.address}/order",
                data=orjson.dumps(value),
                headers=headers,
                timeout=aiohttp.ClientTimeout(total=ORDER_TIMEOUT_MS / 1000),
                allow_redirects=False,
            ) as response:
                await read_body(response, MAX_ANSWER_BYTES)
                return RESULT_BY_STATUS.get(response.status, NO_ANSWER)
        except (TimeoutError, aiohttp.ClientError, OSError, UnreadableBody):
            return NO_ANSWER

    async def report(self, engine, address):
        """Return the `EngineReport` of an engine, or None without a valid response."""
        headers = {"X-Cassiamount-Expect-Instance": engine}
        try:
            async with self._session.get(
                f"http://{address}/report", headers=headers, allow_redirects=False
            ) as response:
                if response.status != 200:
                    return None
                return decode_report(await read_body(response, MAX_REPORT_BYTES))
        except REPORT_ERRORS:
            return None


def decode_report(data):
    """Return the `EngineReport` in bytes; one of `MALFORMED` if it has another form."""
    value = parse_object(data)
    available = optional_field(value, "Available", dict, {})
    return EngineReport(
        count_field(value, "Seq"),
        typed(value["Busy"], bool),
        residents(value.get("Models")),
        frozenset(name.partition("@")[0] for name in strings_field(value, "Pending")),
        strings_field(available, "InMemory"),
        strings_field(available, "OnDisk"),
    )
