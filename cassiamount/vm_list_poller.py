"""The task that reads the platform's VM list."""

import asyncio

import structlog

from .errors import PlatformUnavailable

POLL_INTERVAL_MS = 1000

log = structlog.get_logger()


class VmListPoller:
    """Reads the list at intervals and passes it on.

    While the list cannot be read the last one stays in use.

    Parameters
    ----------
    client : VmListClient
    on_list : callable
        Gets each list of `ListedVm`.
    """

    def __init__(self, client, on_list):
        self._client = client
        self._on_list = on_list
        self._reachable = True

    async def run(self):
        """Poll until cancelled."""
        while True:
            await self._poll()
            await asyncio.sleep(POLL_INTERVAL_MS / 1000)

    async def _poll(self):
        try:
            listed = await self._client.list_vms()
        except PlatformUnavailable as error:
            if self._reachable:
                log.warning("vm_list_unreachable", error=str(error))
            self._reachable = False
            return
        self._reachable = True
        self._on_list(listed)
