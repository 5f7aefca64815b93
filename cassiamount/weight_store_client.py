"""Client of the platform's weight store."""

from typing import Protocol

from .errors import PlatformUnavailable
from .platform_http import NothingSent, PlatformHttp, ResponseLost

MAX_LIMITS_BYTES = 64 * 1024


class WeightStoreLimits:
    """How fast engines can fetch weights, summed over all of them.

    Parameters
    ----------
    loads_per_s : float
    concurrent_loads : int
        Loads in progress at full speed; more of them share that speed.
    """

    __slots__ = ("loads_per_s", "concurrent_loads")

    def __init__(self, loads_per_s, concurrent_loads):
        self.loads_per_s = loads_per_s
        self.concurrent_loads = concurrent_loads


class WeightStoreClient(Protocol):
    """What the placement needs from the weight store; engines fetch from it."""

    async def limits(self):
        """Return the store's `WeightStoreLimits`.

        Raises
        ------
        PlatformUnavailable
        """


class HttpWeightStoreClient:
    """Adapter to the store's HTTP interface.

    Parameters
    ----------
    base_url : str
    **limits
        Limits of `PlatformHttp`.
    """

    __slots__ = ("_http",)

    def __init__(self, base_url, **limits):
        limits.setdefault("max_response_bytes", MAX_LIMITS_BYTES)
        self._http = PlatformHttp(base_url, **limits)

    async def limits(self):
        """Return the store's limits; see `WeightStoreClient.limits`."""
        try:
            response = await self._http.request("GET", "/limits")
        except (NothingSent, ResponseLost) as error:
            raise PlatformUnavailable(str(error)) from error
        document = response.json() if response.status == 200 else None
        if isinstance(document, dict):
            loads_per_s = document.get("loads_per_s")
            concurrent = document.get("concurrent_loads")
            if is_positive(loads_per_s) and is_positive(concurrent) and concurrent >= 1:
                return WeightStoreLimits(float(loads_per_s), int(concurrent))
        raise PlatformUnavailable(f"weight store limits: status {response.status}")

    async def close(self):
        """Close the connections to the store."""
        await self._http.close()


def is_positive(value):
    """Return whether a JSON value is a number above zero."""
    number = isinstance(value, (int, float)) and not isinstance(value, bool)
    return number and value > 0
