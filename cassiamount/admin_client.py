"""Client of the daemons' admin ports."""

import asyncio

import aiohttp

from .status import UnreachableVm, VmStatus

TIMEOUT_S = 3.0


class WithdrawnHere:
    """A VM that refuses a withdrawn key until its process ends."""

    __slots__ = ("address",)

    def __init__(self, address):
        self.address = address

    def to_json(self):
        """Return the JSON form."""
        return {"address": self.address, "withdrawn": True}


async def read_status(admin_addresses, timeout_s=TIMEOUT_S):
    """Read ``/status`` of several daemons at once.

    Parameters
    ----------
    admin_addresses : iterable of str
        ``IP:port``.
    timeout_s : float

    Returns
    -------
    list of (VmStatus or UnreachableVm)
        In the order of the addresses.
    """

    async def read(session, address):
        async with session.get(f"http://{address}/status") as response:
            if response.status != 200:
                return UnreachableVm(address, f"HTTP status {response.status}")
            return VmStatus.from_json(await response.json(content_type=None))

    return await _ask_all(read, admin_addresses, timeout_s)


async def withdraw_on_vms(admin_addresses, key_hash, timeout_s=TIMEOUT_S):
    """Make daemons refuse a key at once, before or without the log.

    Parameters
    ----------
    admin_addresses : iterable of str
    key_hash : str
    timeout_s : float

    Returns
    -------
    list of (WithdrawnHere or UnreachableVm)
        In the order of the addresses.
    """

    async def withdraw(session, address):
        url, body = f"http://{address}/keys/withdraw", {"key_hash": key_hash}
        async with session.post(url, json=body) as response:
            if response.status != 200:
                return UnreachableVm(address, f"HTTP status {response.status}")
            return WithdrawnHere(address)

    return await _ask_all(withdraw, admin_addresses, timeout_s)


async def _ask_all(ask, addresses, timeout_s):
    timeout = aiohttp.ClientTimeout(total=timeout_s)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        return await asyncio.gather(
            *(_ask_one(ask, session, address) for address in addresses)
        )


async def _ask_one(ask, session, address):
    try:
        return await ask(session, address)
    except TimeoutError:
        return UnreachableVm(address, "no answer in time")
    except aiohttp.ClientConnectorError as error:
        return UnreachableVm(address, error.os_error.strerror or "no connection")
    except (aiohttp.ClientError, ValueError, OSError) as error:
        return UnreachableVm(address, str(error) or type(error).__name__)
