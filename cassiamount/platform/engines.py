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
from .documents import residents

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
    ValueError,
    KeyError,
    TypeError,
    AttributeError,
)
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
            ) as response:
                await response.read()
                return RESULT_BY_STATUS.get(response.status, NO_ANSWER)
        except (TimeoutError, aiohttp.ClientError, OSError):
            return NO_ANSWER

    async def report(self, engine, address):
        """Return the `EngineReport` of an engine, or None without a valid response."""
        headers = {"X-Cassiamount-Expect-Instance": engine}
        try:
            async with self._session.get(
                f"http://{address}/report", headers=headers
            ) as response:
                if response.status != 200:
                    return None
                return _decode_report(orjson.loads(await response.read()))
        except REPORT_ERRORS:
            return None


def _decode_report(value):
    available = value.get("Available") or {}
    pending = frozenset(name.partition("@")[0] for name in value.get("Pending") or ())
    return EngineReport(
        int(value["Seq"]),
        bool(value["Busy"]),
        residents(value.get("Models")),
        pending,
        frozenset(available.get("InMemory") or ()),
        frozenset(available.get("OnDisk") or ()),
    )
