"""Tests of the client of the admin ports against a server on loopback."""

import asyncio

import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer

from cassiamount.admin_client import WithdrawnHere, read_status, withdraw_on_vms
from cassiamount.status import UnreachableVm, VmStatus


def respond(text, status=200, delay_s=0):
    async def handler(request):
        await asyncio.sleep(delay_s)
        return web.Response(text=text, status=status)

    return handler


async def serve(handler):
    application = web.Application()
    application.router.add_get("/status", handler)
    application.router.add_post("/keys/withdraw", handler)
    server = TestServer(application)
    await server.start_server()
    return server


@pytest.mark.parametrize(
    ("handler", "reason"),
    [
        (respond('{"vm": "vm-1@f", "streams": [1]}'), None),
        (respond("[]"), None),
        (respond("not JSON"), "Expecting value"),
        (respond("", status=503), "HTTP status 503"),
        (respond("{}", delay_s=1), "no answer in time"),
    ],
)
async def test_one_faulty_vm_does_not_hide_the_others(handler, reason):
    """Guards against a status command that fails as a whole."""
    good, other = await serve(respond('{"vm": "vm-0@f"}')), await serve(handler)
    try:
        addresses = [f"127.0.0.1:{server.port}" for server in (good, other)]
        first, second, third = await read_status([*addresses, "127.0.0.1:1"], 0.5)
    finally:
        await good.close()
        await other.close()
    assert first.vm == "vm-0@f"
    assert isinstance(third, UnreachableVm)
    if reason is None:
        assert isinstance(second, VmStatus)
    else:
        assert reason in second.reason


async def test_direct_withdrawal():
    """Guards against a VM that is counted although it did not withdraw the key."""
    seen = []

    async def handler(request):
        seen.append(await request.json())
        return web.Response(status=200 if len(seen) == 1 else 400)

    server = await serve(handler)
    try:
        address = f"127.0.0.1:{server.port}"
        results = [await withdraw_on_vms([address], "sha256:0") for _ in range(2)]
    finally:
        await server.close()
    assert seen[0] == {"key_hash": "sha256:0"}
    assert isinstance(results[0][0], WithdrawnHere)
    assert isinstance(results[1][0], UnreachableVm)
