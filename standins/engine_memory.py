"""Memory and orders of the engine stand-in."""

import asyncio
import uuid

import aiohttp

UNLOAD_POLL_S = 0.005
ACTIONS = ("load_model", "unload_model", "load_adapter", "unload_adapter", "set_role")


class ResidentEntry:
    """A model or adapter in memory; its memory counts from the start of the load."""

    __slots__ = ("name", "kind", "base", "version", "state", "memory_mb")

    def __init__(self, name, kind, base, version, state, memory_mb):
        self.name = name
        self.kind = kind
        self.base = base
        self.version = version
        self.state = state
        self.memory_mb = memory_mb

    def describe(self):
        return {
            "name": self.name,
            "kind": self.kind,
            "version": self.version,
            "state": self.state,
            "memory_mb": self.memory_mb,
        }


class EngineMemory:
    """Carries out orders and accounts for the memory that they take.

    Parameters
    ----------
    options : argparse.Namespace
    batcher : Batcher
    prefix_cache : PrefixCache
    """

    def __init__(self, options, batcher, prefix_cache):
        self._options = options
        self._batcher = batcher
        self._prefix_cache = prefix_cache
        self._tasks = set()
        self.capacity_mb = options.memory_mb
        self.overcommit_errors = 0
        self.stale_orders = 0
        self.orders_received = 0
        self.restart()

    def restart(self):
        """Forget everything, as a restarted engine does."""
        for task in self._tasks:
            task.cancel()
        self._tasks = set()
        self.incarnation = uuid.uuid4().hex[:12]
        self.residents = {}
        self.orders = {}
        self.highest_fence = 0
        self.role = self._options.role
        for text in self._options.preload:
            name, version, memory_mb, *base = text.split(":")
            kind = "adapter" if base else "model"
            self.residents[name, version] = ResidentEntry(
                name, kind, "".join(base), version, "ready", int(memory_mb)
            )

    @property
    def used_mb(self):
        return sum(entry.memory_mb for entry in self.residents.values())

    def find(self, name, kind):
        """Return the entry that serves a name, preferably a ready one."""
        entries = [
            entry
            for entry in self.residents.values()
            if entry.name == name and entry.kind == kind
        ]
        entries.sort(key=lambda entry: entry.state == "ready")
        return entries[-1] if entries else None

    def ready(self, name, kind):
        entry = self.find(name, kind)
        return entry is not None and entry.state == "ready"

    def receive(self, order):
        """Accept or refuse an order.

        Returns
        -------
        tuple of int and dict
            HTTP status and body.
        """
        self.orders_received += 1
        fence = order["fence"]
        if self._options.checks_fence:
            if fence < self.highest_fence:
                self.stale_orders += 1
                return 409, {"error": "stale fence", "highest": self.highest_fence}
            known = self.orders.get(order["order_id"])
            if known is not None and known != "failed":
                return 202, {"state": known}
        self.highest_fence = max(self.highest_fence, fence)
        action = order["action"]
        if action == "set_role":
            self.role = order["name"]
            self.orders[order["order_id"]] = "done"
            return 202, {"state": "done"}
        if action.startswith("load_"):
            return self._receive_load(order, action.removeprefix("load_"))
        return self._receive_unload(order, action.removeprefix("unload_"))

    def _receive_load(self, order, kind):
        order_id = order["order_id"]
        key = (order["name"], order["version"])
        entry = self.residents.get(key)
        if entry is not None and entry.state == "ready":
            self.orders[order_id] = "done"
            return 202, {"state": "done"}
        if kind == "adapter" and not self.ready(order["base"], "model"):
            return 412, {"error": "base model is not ready"}
        if entry is None:
            if self.used_mb + order["memory_mb"] > self.capacity_mb:
                self.overcommit_errors += 1
                return 507, {"error": "no memory", "used_mb": self.used_mb}
            entry = ResidentEntry(
                order["name"],
                kind,
                order.get("base", ""),
                order["version"],
                "loading",
                order["memory_mb"],
            )
            self.residents[key] = entry
            self._start(order_id, self._load(order_id, key, entry))
        else:
            self._start(order_id, self._follow(order_id, key, entry))
        return 202, {"state": "running"}

    def _receive_unload(self, order, kind):
        order_id = order["order_id"]
        keys = [
            key
            for key, entry in self.residents.items()
            if entry.kind == kind
            and entry.name == order["name"]
            and order["version"] in ("", entry.version)
        ]
        if not keys:
            self.orders[order_id] = "done"
            return 202, {"state": "done"}
        self._start(order_id, self._unload(order_id, keys))
        return 202, {"state": "running"}

    def _start(self, order_id, steps):
        self.orders[order_id] = "running"
        task = asyncio.create_task(steps)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _load(self, order_id, key, entry):
        try:
            await self._fetch(entry)
        except (aiohttp.ClientError, TimeoutError, OSError):
            self.residents.pop(key, None)
            self.orders[order_id] = "failed"
            return
        entry.state = "ready"
        self.orders[order_id] = "done"

    async def _follow(self, order_id, key, entry):
        """Settle an order for something that is changing already."""
        while self.residents.get(key) is entry and entry.state != "ready":
            await asyncio.sleep(UNLOAD_POLL_S)
        ready = self.residents.get(key) is entry
        self.orders[order_id] = "done" if ready else "failed"

    async def _fetch(self, entry):
        if not self._options.weight_store:
            model = entry.kind == "model"
            duration_ms = self._options.load_ms if model else self._options.adapter_ms
            await asyncio.sleep(duration_ms / 1000)
            return
        body = {
            "artifact": f"{entry.name}@{entry.version}",
            "size_mb": entry.memory_mb,
            "kind": entry.kind,
        }
        timeout = aiohttp.ClientTimeout(total=self._options.fetch_timeout_ms / 1000)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            url = self._options.weight_store + "/fetch"
            async with session.post(url, json=body) as response:
                response.raise_for_status()
                await response.read()

    async def _unload(self, order_id, keys):
        for key in keys:
            entry = self.residents.get(key)
            if entry is None:
                continue
            while entry.state == "loading" and self.residents.get(key) is entry:
                await asyncio.sleep(UNLOAD_POLL_S)
            entry.state = "unloading"
            if entry.kind == "model":
                await self._unload_adapters_of(entry.name)
            await self._wait_until_unused(entry)
            await asyncio.sleep(self._options.unload_ms / 1000)
            self.residents.pop(key, None)
            self._prefix_cache.forget_model(entry.name)
        self.orders[order_id] = "done"

    async def _unload_adapters_of(self, base):
        for key, entry in list(self.residents.items()):
            if entry.kind == "adapter" and entry.base == base:
                entry.state = "unloading"
                await self._wait_until_unused(entry)
                self.residents.pop(key, None)

    async def _wait_until_unused(self, entry):
        """Wait for requests; those that outlast the limit are broken off."""
        waited_s = 0.0
        while self._batcher.users(entry.name):
            await asyncio.sleep(UNLOAD_POLL_S)
            waited_s += UNLOAD_POLL_S
            if waited_s * 1000 >= self._options.unload_wait_ms:
                for generation in self._batcher.users(entry.name):
                    self._batcher.cancel(generation.request_id, "unloaded")


def valid_order(order):
    """Return the order if its fields are present and well formed."""
    if order["action"] not in ACTIONS:
        raise ValueError(f"unknown action {order['action']!r}")
    texts = [order["order_id"], order["name"], order.setdefault("version", "")]
    counts = [order.setdefault("memory_mb", 0), order["fence"]]
    order.setdefault("base", "")
    if not all(isinstance(text, str) for text in texts):
        raise TypeError("order_id, name and version are strings")
    if not all(isinstance(count, int) and count >= 0 for count in counts):
        raise TypeError("memory_mb and fence are counts")
    return order
