"""Client of the platform's list of VMs."""

from typing import Protocol

import structlog

from .errors import PlatformUnavailable
from .platform_http import NothingSent, PlatformHttp, ResponseLost

MAX_LIST_BYTES = 4 * 1024 * 1024
KINDS = ("entry", "backend")
STATES = ("live", "leaving")

log = structlog.get_logger()


class ListedVm:
    """An entry of the list.

    Parameters
    ----------
    name, zone, address : str
    kind : str
        ``entry`` or ``backend``.
    state : str
        ``live`` or ``leaving``.
    """

    __slots__ = ("name", "zone", "address", "kind", "state")

    def __init__(self, name, zone, address, kind, state):
        self.name = name
        self.zone = zone
        self.address = address
        self.kind = kind
        self.state = state

    def __repr__(self):
        return f"ListedVm({self.name!r}, {self.zone!r}, {self.kind}, {self.state})"


class VmListClient(Protocol):
    """What the membership needs from the list."""

    async def list_vms(self):
        """Return the list of `ListedVm`, as late as the platform's lag.

        Raises
        ------
        PlatformUnavailable
        """


def parse_vm(item):
    """Return the `ListedVm` of a JSON entry, or None if it is malformed."""
    if not isinstance(item, dict):
        return None
    texts = [item.get(name) for name in ListedVm.__slots__]
    if not all(isinstance(text, str) and text for text in texts):
        return None
    vm = ListedVm(*texts)
    return vm if vm.kind in KINDS and vm.state in STATES else None


class HttpVmListClient:
    """Adapter to the list's HTTP interface.

    Parameters
    ----------
    base_url : str
    **limits
        Limits of `PlatformHttp`.
    """

    __slots__ = ("_http",)

    def __init__(self, base_url, **limits):
        limits.setdefault("max_response_bytes", MAX_LIST_BYTES)
        self._http = PlatformHttp(base_url, **limits)

    async def list_vms(self):
        """Return the list; malformed entries are logged and left out."""
        try:
            response = await self._http.request("GET", "/vms")
        except (NothingSent, ResponseLost) as error:
            raise PlatformUnavailable(str(error)) from error
        document = response.json() if response.status == 200 else None
        items = document.get("vms") if isinstance(document, dict) else None
        if not isinstance(items, list):
            raise PlatformUnavailable(f"VM list: status {response.status}")
        vms = [parse_vm(item) for item in items]
        if None in vms:
            log.warning("malformed_vm_list_entries", count=vms.count(None))
        return [vm for vm in vms if vm is not None]

    async def close(self):
        """Close the connections to the list."""
        await self._http.close()
