"""A small fleet in one process: store, replicas and VMs on the loopback address."""

import asyncio
import contextlib

import aiohttp
import uvicorn

from cassiamount.clock import BootTimeClock
from cassiamount.fleet_node import FleetNode, PlatformAdapter
from cassiamount.platform import headers
from cassiamount.platform.components import Decoder
from cassiamount.platform.engines import EngineClient
from cassiamount.platform.settings import decode_settings
from cassiamount.platform.store import PlatformStore as StoreClient
from standins.platform_replica import PlatformReplica
from standins.platform_store import PlatformStore
from tests.free_ports import free_port

HOST = "fleet.example"
KEY = "key-of-t"
# Far longer than any test takes; only a hang exceeds it.
TIMEOUT_S = 30


def configuration(version=1, keys=(KEY,), **route):
    model = {
        "WeightsMb": 100,
        "LoadTimeS": 0.05,
        "Adapters": 4,
        "AdapterSizeMb": 1,
        "MemoryLoadS": 0.05,
        "DiskLoadS": 0.05,
    }
    common = {"Host": HOST, "TimeoutMs": 8000, "GoalMs": 2000, "Priority": 1}
    return {
        "Version": version,
        "Routes": [
            {
                **common,
                "Name": "chat",
                "PathPrefix": "/chat/",
                "Type": "streaming",
                "Service": "llm",
                "Attempts": 2,
                "Resumable": True,
                **route,
            },
            {
                **common,
                "Name": "talk",
                "PathPrefix": "/talk/",
                "Type": "streaming",
                "Service": "llm",
                "Attempts": 1,
            },
            {
                **common,
                "Name": "buy",
                "PathPrefix": "/buy/",
                "Type": "non_idempotent",
                "Service": "shop",
                "Attempts": 1,
            },
            {
                **common,
                "Name": "pay",
                "PathPrefix": "/pay/",
                "Type": "non_idempotent",
                "Service": "shop",
                "Attempts": 2,
            },
            {
                **common,
                "Name": "look",
                "PathPrefix": "/look/",
                "Type": "idempotent",
                "Service": "shop",
                "Attempts": 2,
                "Public": True,
            },
        ],
        "Services": [
            {
                "Name": "llm",
                "Engine": {
                    "Slots": 8,
                    "Models": [{**model, "Name": name} for name in ("m1", "m2")],
                    "WeightsMb": 250,
                    "MaxAdapters": 2,
                    "LoadsPerS": 100.0,
                },
            },
            {"Name": "shop"},
        ],
        "Tenants": [{"Name": "t", "ApiKeys": list(keys), "Priority": 1}],
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 100_000},
    }


class Fleet:
    """Store, replicas and VMs of a fleet, all in one event loop."""

    def __init__(self):
        self.store = PlatformStore()
        self.replicas = {}
        self.software = {}
        self.addresses = {}
        self.nodes = {}
        self.settings = {}
        self._tasks = {}
        self._servers = []
        self._servers_of = {}
        self.ended_replicas = set()
        self.session = None

    async def start(self):
        self.session = aiohttp.ClientSession()
        self.store_port = await self._serve(self.store.app)

    async def stop(self):
        for node in self.nodes.values():
            node.request_stop()
        await asyncio.gather(*self._tasks.values())
        await self.session.close()
        for server, task in self._servers:
            server.should_exit = server.force_exit = True
            await task

    async def stop_vm(self, name):
        """Stop a VM gracefully and wait until it has stopped."""
        self.nodes[name].request_stop()
        await asyncio.shield(self._tasks[name])

    async def kill_vm(self, name):
        """End a VM at once, like a power loss, except that its sockets are closed."""
        task = self._tasks.pop(name)
        task.cancel()
        await asyncio.wait([task])
        del self.nodes[name]

    async def add_replica(self, name, service, models=None, software="v1"):
        replica = PlatformReplica(name, models)
        self.replicas[name] = replica
        self.software[name] = software
        self.addresses[name] = f"127.0.0.1:{await self._serve(replica)}"
        self._servers_of[name] = self._servers[-1][0]
        self.register_replica(name, service)
        return replica

    def end_replica(self, name):
        """End a replica's server at once; its connections are reset."""
        self.ended_replicas.add(name)
        server = self._servers_of[name]
        for listener in server.servers:
            listener.close()
        for connection in list(server.server_state.connections):
            connection.transport.abort()
        server.should_exit = server.force_exit = True

    def register_replica(self, name, service, state="ready"):
        models = self.replicas[name].models or {}
        self.store.put(
            "keyed.servers",
            name,
            {
                "Service": service,
                "Address": self.addresses[name],
                "Zone": "z1",
                "Version": self.software[name],
                "Slots": 8,
                "State": state,
                "Models": [{"Name": m, "Adapters": a} for m, a in models.items()],
                "Seq": 1,
                "born": 1,
            },
        )

    def remove_replica(self, name):
        """End a replica's server, and remove its entry from the list."""
        self.end_replica(name)
        self.store.put("keyed.servers", name, None)

    async def add_vm(self, name, first_start=True, grace_s=4):
        ports = [free_port() for _ in range(4)]
        text = f"""
NodeName: {name}
Zone: z1
Listen:
  Frontend: "127.0.0.1:{ports[0]}"
  Ready: "127.0.0.1:{ports[1]}"
  Control: "127.0.0.1:{ports[2]}"
PortRange: [{ports[3]}, {ports[3]}]
Platform:
  Address: "127.0.0.1:{self.store_port}"
Bootstrap: {str(first_start).lower()}
Bounds:
  RevokeMs: 5000
  GraceS: {grace_s}
"""
        settings = decode_settings(text, "boot.yaml").unwrap()
        platform = PlatformAdapter(
            StoreClient(settings.store_address), EngineClient(), Decoder, headers
        )
        node = FleetNode(settings, platform, BootTimeClock())
        self.nodes[name] = node
        self.settings[name] = settings
        self._tasks[name] = asyncio.create_task(node.run())
        await self.wait_until(node.ready)
        return node

    async def wait_until(self, condition):
        """Wait until a condition is true."""
        async with asyncio.timeout(TIMEOUT_S):
            while not condition():
                await asyncio.sleep(0.01)

    async def send_request(
        self, vm, path, method="POST", key=KEY, body=b"{}", **headers
    ):
        """Send a request and return (status, headers, body)."""
        address = self.settings[vm].caller_address
        sent = {
            "Host": HOST,
            "X-Cassiamount-Request-Id": f"r{path}{id(headers):x}",
            "X-Cassiamount-Deadline-Ms": "6000",
        }
        if key:
            sent["Authorization"] = f"Bearer {key}"
        sent.update({name.replace("_", "-"): value for name, value in headers.items()})
        async with self.session.request(
            method, f"http://{address}{path}", data=body, headers=sent
        ) as response:
            return response.status, response.headers, await response.read()

    async def _serve(self, app):
        port = free_port()
        config = uvicorn.Config(
            app, host="127.0.0.1", port=port, log_level="critical", lifespan="off"
        )
        server = uvicorn.Server(config)
        server.capture_signals = contextlib.nullcontext
        self._servers.append((server, asyncio.create_task(server.serve())))
        await self.wait_until(lambda: server.started)
        return port
