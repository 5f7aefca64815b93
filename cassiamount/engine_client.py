"""Client of a model engine's control interface: load reports, orders, cache, KV."""

from itertools import pairwise
from typing import Protocol
from urllib.parse import quote

import orjson

from .errors import OrderOutcomeUnknown, PlatformUnavailable
from .load_report import parse_load_report
from .platform_http import NothingSent, PlatformHttp, ResponseLost

MAX_CONTROL_BYTES = 4 * 1024 * 1024
MAX_KV_BYTES = 256 * 1024 * 1024

ACCEPTED = "accepted"
STALE_FENCE = "stale-fence"
NO_MEMORY = "no-memory"
NOT_ACCEPTED = "not-accepted"
ORDER_ANSWERS = {202: ACCEPTED, 409: STALE_FENCE, 507: NO_MEMORY}
ORDER_STATES = ("unknown", "running", "done", "failed")


class EngineOrder:
    """An order as it is sent to an engine.

    Parameters
    ----------
    order_id : str
    action : str
        ``load_model``, ``unload_model``, ``load_adapter``, ``unload_adapter`` or
        ``set_role``.
    name : str
        Model or adapter, or the role.
    base : str
        Base model of an adapter, else empty.
    version : str
    memory_mb : int
    fence : int
    """

    __slots__ = ("order_id", "action", "name", "base", "version", "memory_mb", "fence")

    def __init__(self, order_id, action, name, base, version, memory_mb, fence):
        self.order_id = order_id
        self.action = action
        self.name = name
        self.base = base
        self.version = version
        self.memory_mb = memory_mb
        self.fence = fence


class CacheEvent:
    """A change of an engine's prefix cache.

    Parameters
    ----------
    offset : int
    action : str
        ``stored`` or ``evicted``.
    model, prefix_hash : str
    """

    __slots__ = ("offset", "action", "model", "prefix_hash")

    def __init__(self, offset, action, model, prefix_hash):
        self.offset = offset
        self.action = action
        self.model = model
        self.prefix_hash = prefix_hash


class CacheEvents:
    """Page of an engine's cache events.

    Parameters
    ----------
    events : list of CacheEvent
        Sorted by offset; there may be gaps.
    earliest : int
        Lowest offset that the engine still keeps.
    next_offset : int
        Offset from which to read the next page.
    gap : bool
        Whether events after the requested offset are missing from the page.
    """

    __slots__ = ("events", "earliest", "next_offset", "gap")

    def __init__(self, events, earliest, next_offset, gap):
        self.events = events
        self.earliest = earliest
        self.next_offset = next_offset
        self.gap = gap


class EngineClient(Protocol):
    """Interface to an engine for the load poller, the placement and the router."""

    async def load(self):
        """Return the engine's `LoadReport`; raises `PlatformUnavailable`."""

    async def send_order(self, order):
        """Send an `EngineOrder` once, without retries, and return the result.

        Returns ``accepted``, ``stale-fence``, ``no-memory`` or ``not-accepted``.

        Raises
        ------
        PlatformUnavailable
            The order was not sent.
        OrderOutcomeUnknown
            The engine may have received the order, or may still receive it.
        """

    async def order_state(self, order_id):
        """Return ``unknown``, ``running``, ``done`` or ``failed``."""

    async def cache_events(self, from_offset):
        """Return the engine's `CacheEvents`; raises `PlatformUnavailable`."""


def parse_cache_events(document, from_offset):
    """Return the `CacheEvents` of a response, or None if it is malformed."""
    try:
        events = [
            CacheEvent(
                item["offset"], item["action"], item["model"], item["prefix_hash"]
            )
            for item in document["events"]
        ]
        earliest, next_offset = document["earliest"], document["next"]
    except (TypeError, KeyError):
        return None
    numbers = [*(event.offset for event in events), earliest, next_offset]
    if not all(type(count) is int and count >= 0 for count in numbers):
        return None
    for event in events:
        texts = (event.action, event.model, event.prefix_hash)
        if not all(isinstance(text, str) for text in texts):
            return None
    offsets = [event.offset for event in events]
    if any(later <= earlier for earlier, later in pairwise(offsets)):
        return None
    expected = list(range(from_offset, from_offset + len(offsets)))
    gap = offsets != expected or next_offset != from_offset + len(offsets)
    return CacheEvents(events, earliest, next_offset, gap)


class HttpEngineClient:
    """`EngineClient` that uses the engine's HTTP interface.

    Parameters
    ----------
    backend : str
        Name of the backend server, for load reports and error messages.
    base_url : str
    **limits
        Size limits and timeouts of `PlatformHttp`.
    """

    __slots__ = ("backend", "_http", "_kv_http")

    def __init__(self, backend, base_url, **limits):
        self.backend = backend
        self._http = PlatformHttp(
            base_url, **{"max_response_bytes": MAX_CONTROL_BYTES, **limits}
        )
        self._kv_http = PlatformHttp(
            base_url, **{**limits, "max_response_bytes": MAX_KV_BYTES}
        )

    async def load(self):
        """Return the load report; see `EngineClient.load`."""
        document = await self._get_json("/load")
        result = parse_load_report(self.backend, document)
        if result.is_err():
            raise PlatformUnavailable(f"{self.backend}: {result.unwrap_err()}")
        return result.unwrap()

    async def send_order(self, order):
        """Send an order once; see `EngineClient.send_order`."""
        body = orjson.dumps(
            {name: getattr(order, name) for name in EngineOrder.__slots__}
        )
        try:
            response = await self._http.request("POST", "/orders", body=body)
        except NothingSent as error:
            raise PlatformUnavailable(f"{self.backend}: {error}") from error
        except ResponseLost as error:
            raise OrderOutcomeUnknown(f"{self.backend}: {error}") from error
        answer = ORDER_ANSWERS.get(response.status)
        if answer is not None:
            return answer
        if 400 <= response.status < 500:
            return NOT_ACCEPTED
        raise OrderOutcomeUnknown(
            f"{self.backend}: order request returned status {response.status}"
        )

    async def order_state(self, order_id):
        """Return the state of an order; see `EngineClient.order_state`."""
        document = await self._get_json(f"/orders/{quote(order_id, safe='')}")
        state = document.get("state") if isinstance(document, dict) else None
        if state not in ORDER_STATES:
            raise PlatformUnavailable(f"{self.backend}: malformed order state")
        return state

    async def cache_events(self, from_offset):
        """Return cache events; see `EngineClient.cache_events`."""
        document = await self._get_json("/cache/events", {"from": from_offset})
        events = parse_cache_events(document, from_offset)
        if events is None:
            raise PlatformUnavailable(f"{self.backend}: malformed cache events")
        return events

    async def cancel(self, request_id):
        """Cancel a request; return whether the engine was running it."""
        path = f"/requests/{quote(request_id, safe='')}"
        response = await self._request(self._http, "DELETE", path)
        return response.status == 200

    async def export_kv(self, request_id):
        """Return the exported KV cache of a request, or None if it is unknown."""
        response = await self._request(self._kv_http, "GET", kv_path(request_id))
        return response.body if response.status == 200 else None

    async def import_kv(self, request_id, data):
        """Import the KV cache of a request; return whether the engine accepted it."""
        response = await self._request(
            self._kv_http, "PUT", kv_path(request_id), body=data
        )
        return response.status == 200

    async def _get_json(self, path, params=None):
        response = await self._request(self._http, "GET", path, params=params)
        if response.status != 200:
            raise PlatformUnavailable(
                f"{self.backend}{path}: returned status {response.status}"
            )
        return response.json()

    async def _request(self, http, method, path, **arguments):
        try:
            return await http.request(method, path, **arguments)
        except (NothingSent, ResponseLost) as error:
            raise PlatformUnavailable(f"{self.backend}: {error}") from error

    async def close(self):
        """Close the connections to the engine."""
        await self._http.close()
        await self._kv_http.close()


def kv_path(request_id):
    """Return the path of a request's exported KV cache."""
    return f"/kv/{quote(request_id, safe='')}"
