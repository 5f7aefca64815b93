"""A small deployment on loopback for the scripts of this review.

The entry VMs are the project's own processes, started with the command of the deploy
file. The store, the replicas and the callers are stand-ins in the script's process and
use only the standard library.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import traceback
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
ZONES = ("zone-a", "zone-b", "zone-c")
# A process that ends is started again after this time.
RESTART_S = 0.5
HEARTBEAT_S = 1.2
MEMORY_MB = 300
# Times of a load from the weight store, and from the replica's own disk.
LOAD_S = 3.8
DISK_LOAD_S = 0.76
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def free_ports(count):
    """Return ports that are free now, below those that the kernel gives to clients."""
    text = Path("/proc/sys/net/ipv4/ip_local_port_range").read_text()
    first = int(text.split()[0])
    found = []
    while len(found) < count:
        port = random.randrange(min(10_000, first // 2), first)
        with socket.socket() as sock:
            try:
                sock.bind((HOST, port))
            except OSError:
                continue
        if port not in found:
            found.append(port)
    return found


class Record:
    """What was sent, answered and run, for `record.txt`."""

    def __init__(self, folder):
        self._file = open(Path(folder) / "record.txt", "w", encoding="utf-8")
        self._began = time.monotonic()

    def now(self):
        """Return the seconds since the start."""
        return time.monotonic() - self._began

    def write(self, text):
        """Write one line with its time."""
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()

    def say(self, text):
        """Write one line here and on standard output."""
        self.write(text)
        print(text, flush=True)


class Head:
    """Head of a request or of an answer, and its body."""

    __slots__ = ("first", "headers", "body")

    def __init__(self, first, headers, body=b""):
        self.first = first
        self.headers = headers
        self.body = body


async def read_head(reader):
    """Return the `Head` of the next message, or None at the end of the channel."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    return Head(lines[0], headers)


async def read_chunks(reader):
    """Yield the parts of a chunked body; raises if it ends early."""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if not size:
            return
        yield data[:-2]


def answer(status, body=b"", headers=()):
    """Return the bytes of a whole answer."""
    lines = [f"HTTP/1.1 {status} X", f"content-length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


class Server:
    """Serves HTTP/1.1 on one address; `handle` answers each request."""

    def __init__(self, port):
        self.port = port
        self.address = f"{HOST}:{port}"
        self._server = None
        self._writers = set()

    async def start(self):
        """Begin to accept channels."""
        self._server = await asyncio.start_server(
            self._serve, HOST, self.port, limit=1 << 20, backlog=1024
        )

    async def stop(self):
        """Refuse new channels and reset the open ones."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                if "chunked" in head.headers.get("transfer-encoding", ""):
                    head.body = b"".join([part async for part in read_chunks(reader)])
                else:
                    size = int(head.headers.get("content-length", 0))
                    head.body = await reader.readexactly(size)
                if not await self.handle(head, reader, writer):
                    break
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, OSError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def handle(self, head, reader, writer):
        """Answer one request; return whether the channel is kept."""
        raise NotImplementedError


class Store(Server):
    """The platform's store: keyed topics, and groups with a time to live."""

    def __init__(self, port):
        super().__init__(port)
        self.topics = {}
        self.generation = 0
        # Member -> (last join, time to live, generation that it joined with).
        self.members = {}
        self.owner = None
        # The former owner, until it has confirmed that it no longer is.
        self.releasing = None
        self.down = False
        self.calls = 0

    def put(self, topic, key, value):
        """Append a record; None drops the key. Return its offset."""
        data = b"" if value is None else json.dumps(value).encode()
        records = self.topics.setdefault(topic, [])
        name = key.encode()
        records.append(bytes([len(name)]) + name + data)
        return len(records) - 1

    async def handle(self, head, reader, writer):
        """Answer one call."""
        self.calls += 1
        _, target, _ = head.first.split(" ")
        path, _, text = target.partition("?")
        query = dict(item.split("=", 1) for item in text.split("&") if item)
        if self.down:
            writer.write(answer(503))
            return True
        if path == "/log-read":
            writer.write(await self._read(query))
        elif path == "/log-newest":
            writer.write(self._newest(query))
        elif path == "/log-append":
            writer.write(self._append(query, head.body))
        elif path == "/log-join":
            writer.write(self._join(json.loads(head.body)))
        elif path == "/log-leave":
            self._leave(json.loads(head.body)["Member"])
            writer.write(_json({}))
        else:
            writer.write(answer(404))
        return True

    async def _read(self, query):
        topic, start = query["Topic"], int(query["From"])
        end = time.monotonic() + int(query.get("WaitMs", 0)) / 1000
        while len(self.topics.get(topic, ())) <= start and time.monotonic() < end:
            await asyncio.sleep(0.01)
            if self.down:
                return answer(503)
        records = self.topics.get(topic, [])
        if start > len(records):
            return _json({"FirstOffset": 0}, 410)
        body = len(records).to_bytes(8, "big") + bytes(8)
        for record in records[start:]:
            body += len(record).to_bytes(4, "big") + record
        await asyncio.sleep(0.004)
        return answer(200, body)

    def _newest(self, query):
        records = self.topics.get(query["Topic"], [])
        found = {}
        for offset, record in enumerate(records):
            end = 1 + record[0]
            key = record[1:end].decode()
            found.pop(key, None)
            if record[end:]:
                found[key] = (offset, record[end:])
        items = [
            {"Key": key, "Value": base64.b64encode(value).decode(), "Offset": offset}
            for key, (offset, value) in sorted(found.items())
        ]
        return _json({"items": items, "HasMore": False, "EndOffset": len(records)})

    def _append(self, query, body):
        records = self.topics.setdefault(query["Topic"], [])
        offset = len(records)
        while body:
            size = int.from_bytes(body[:4], "big")
            records.append(body[4 : 4 + size])
            body = body[4 + size :]
        return _json({"Offset": offset, "EndOffset": len(records)})

    def _join(self, value):
        now = time.monotonic()
        for member, (at, ttl, _) in list(self.members.items()):
            if now > at + ttl:
                self._leave(member)
        name = value["Member"]
        if name not in self.members:
            self.generation += 1
        self.members[name] = (now, value["TtlMs"] / 1000, value["Generation"])
        if self.owner is None:
            self.owner = name
        parts = [["placement", 0, 0]] if self.owner == name else []
        return _json({"Generation": self.generation, "parts": parts})

    def _leave(self, member):
        if self.members.pop(member, None) is not None:
            self.generation += 1
            if self.owner == member:
                self.owner = min(self.members, default=None)


def _json(value, status=200):
    return answer(
        status, json.dumps(value).encode(), [("Content-Type", "application/json")]
    )


def _request_id(head):
    name = "X-Cassiamount-Request-Id"
    return name, head.headers.get(name.lower(), "")


class Replica(Server):
    """A replica of a service; with `models` it is a model replica."""

    def __init__(self, name, service, zone, port, record, models=None):
        super().__init__(port)
        self.name = name
        self.service = service
        self.zone = zone
        self.models = models
        self.record = record
        self.orders = 0
        self.fence = 0
        self.beats = 0
        self.born = int(time.time() * 1000)
        self.version = "v1"
        self.slots = 6 if models is None else 48
        self.ran = []
        self.running = 0
        self.is_busy = False
        # The model that an order concerns, until the order is complete.
        self.ordered = None
        # Models with a copy on the replica's own disk, which a restart preserves.
        self.on_disk = set(models or ())
        self.running_by_model = {}
        self.tasks = set()
        self.events = 20
        self.event_s = 0.02
        self.work_s = 0.03

    def restart(self):
        """Forget everything, as a replica that starts again under its name."""
        self.orders = self.fence = self.beats = self.running = 0
        self.is_busy, self.ordered = False, None
        self.running_by_model = {}
        # Never at or before the start before.
        self.born = max(self.born + 1, int(time.time() * 1000))
        if self.models is not None:
            self.models = {}

    def entry(self, state="ready"):
        """Return the next entry for the store."""
        self.beats += 1
        value = {
            "Service": self.service,
            "Address": self.address,
            "Zone": self.zone,
            "Version": self.version,
            "Slots": self.slots,
            "State": state,
            "ColdRemainingMs": 0,
            "Seq": self.beats,
            "born": self.born,
        }
        if self.models is not None:
            value["Phase"] = "mixed"
            value["Models"] = self._held()
            value["Available"] = self._available()
        return value

    def _available(self):
        return {"InMemory": [], "OnDisk": sorted(self.on_disk)}

    def _held(self):
        return [
            {"Name": name, "Version": 1, "Adapters": sorted(held)}
            for name, held in self.models.items()
        ]

    async def handle(self, head, reader, writer):
        """Answer one request."""
        method, target, _ = head.first.split(" ")
        expected = head.headers.get("x-cassiamount-expect-instance")
        instance = ("X-Cassiamount-Instance-Id", self.name)
        if expected not in (None, self.name):
            writer.write(answer(421, b"", [instance, _request_id(head)]))
        elif target == "/report":
            writer.write(_json(self._report()))
        elif target == "/order":
            writer.write(answer(self._order(json.loads(head.body))))
        elif target == "/healthz":
            writer.write(answer(200, b"", [instance]))
        else:
            return await self.run(head, reader, writer)
        return True

    def _report(self):
        return {
            "Phase": "mixed",
            "Models": self._held() if self.models is not None else [],
            "Busy": self.is_busy,
            "Available": self._available(),
            "Seq": self.orders,
            "Queued": 0,
            "Active": self.running,
            "KvCacheUsed": 1000,
            "KvCacheTotal": 111713,
            "Handles": 0,
            "born": self.born,
        }

    def _order(self, value):
        """Take an order; return the status of the answer."""
        if "Holder" not in value or "FencingToken" not in value:
            return 400
        if value["FencingToken"] < self.fence:
            return 412
        self.fence = value["FencingToken"]
        if self.is_busy or value.get("Expect", self.orders) != self.orders:
            return 409
        model, adapter = value["Model"], value.get("Adapter")
        is_load = value["Op"] == "load"
        if adapter:
            held = self.models.get(model)
            if held is None:
                return 400
            if (adapter in held) == is_load:
                return 200
            self.orders += 1
            held.add(adapter) if is_load else held.discard(adapter)
            return 202 if is_load else 200
        if (model in self.models) == is_load:
            return 200
        self.orders += 1
        self.is_busy, self.ordered = True, model
        self.tasks.add(asyncio.create_task(self._carry_out(is_load, model, self.born)))
        return 202

    async def _carry_out(self, is_load, model, born):
        if is_load:
            await asyncio.sleep(DISK_LOAD_S if model in self.on_disk else LOAD_S)
        while not is_load and self.running_by_model.get(model):
            await asyncio.sleep(0.01)
        if self.born != born:
            return
        if is_load:
            self.models[model] = set()
            self.on_disk.add(model)
        else:
            self.models.pop(model, None)
        self.is_busy, self.ordered = False, None

    def marks(self, head):
        """Return the headers of an answer to a request that ran."""
        request_id = head.headers.get("x-cassiamount-request-id", "")
        return [
            ("X-Cassiamount-Request-Id", request_id),
            ("X-Cassiamount-Server-Signature", f"{self.name}.{request_id}"),
        ]

    async def run(self, head, reader, writer):
        """Run a request of a caller."""
        request_id = head.headers.get("x-cassiamount-request-id", "")
        if "x-cassiamount-model" not in head.headers:
            self._begin(request_id)
            await asyncio.sleep(self.work_s)
            self.running -= 1
            writer.write(answer(200, b"done " + request_id.encode(), self.marks(head)))
            return True
        model = head.headers["x-cassiamount-model"].partition("/")[0]
        not_run = [("X-Cassiamount-Not-Executed", "1"), _request_id(head)]
        if self.ordered == model:
            writer.write(answer(503, b"", not_run))
            return True
        if model not in self.models:
            writer.write(answer(421, b"", not_run))
            return True
        self._begin(request_id)
        running, born = self.running_by_model, self.born
        running[model] = running.get(model, 0) + 1
        try:
            await self._stream(head, writer)
        finally:
            running[model] -= 1
            if self.born == born:
                self.running -= 1
        return True

    def _begin(self, request_id):
        self.running += 1
        self.ran.append(request_id)
        self.record.write(f"{self.name} runs {request_id}")

    async def _stream(self, head, writer):
        await asyncio.sleep(0.02)
        lines = ["HTTP/1.1 200 OK", "content-type: text/event-stream"]
        lines += [f"{name}: {value}" for name, value in self.marks(head)]
        lines.append("transfer-encoding: chunked")
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        first = int(head.headers.get("last-event-id") or 0) + 1
        for number in range(first, self.events + 1):
            data = b"id: %d\ndata: %s %d\n\n" % (number, self.version.encode(), number)
            writer.write(b"%x\r\n%b\r\n" % (len(data), data))
            await writer.drain()
            await asyncio.sleep(self.event_s)
        writer.write(b"0\r\n\r\n")


class Vm:
    """One entry VM: the deploy file's command, started again whenever it ends."""

    def __init__(self, name, zone, record, folder):
        self.name = name
        self.zone = zone
        self.record = record
        ports = free_ports(4)
        self.front, self.ready_port, self.control, self.metrics = ports
        self.file = folder / f"{name}.yaml"
        self.log = open(folder / f"{name}.log", "ab")
        self.process = None
        self.first = True
        self.stopping = False
        self.ready = False
        self.own_ends = []
        self.killing = False
        self.peak_mb = 0
        self.seeds = ()
        self.store = None

    def settings(self):
        """Return the text of the settings file."""
        value = {
            "NodeName": self.name,
            "Role": "entry",
            "MachineClass": "edge",
            "Serves": ["edge", "control_plane"],
            "Ip": HOST,
            "Zone": self.zone,
            "Region": "region",
            "Zones": dict.fromkeys(ZONES, "region"),
            "Listen": {
                "Frontend": f"{HOST}:{self.front}",
                "Ready": f"{HOST}:{self.ready_port}",
                "Control": f"{HOST}:{self.control}",
            },
            "PortRange": [self.metrics, self.metrics],
            "Seeds": list(self.seeds),
            "Bootstrap": self.first,
            "Limits": {
                "CpuShare": 0.537,
                "Cores": 2,
                "MemoryMb": MEMORY_MB,
                "MaxFds": 4100,
                "LinkMbps": 1000.0,
            },
            "HeartbeatMs": 1200,
            "Bounds": {
                "DrainMs": 2000,
                "GraceS": 8,
                "RevokeStrict": True,
                "RevokeMs": 5000,
                "RetryBudgetRatio": 0.2,
                "BudgetWindowS": 10,
                "RetrySlack": 54,
                "LeaseMs": 3000,
            },
            "Platform": {"Address": self.store.address, "MinTtlMs": 1000},
        }
        return json.dumps(value)

    async def start(self):
        """Start the process."""
        self.file.write_text(self.settings(), encoding="utf-8")
        env = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        env["CASSIAMOUNT_NODE_FILE"] = str(self.file)
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        self.process = await asyncio.create_subprocess_exec(
            "python3",
            "-m",
            "cassiamount.platform",
            cwd=ROOT,
            env=env,
            stdout=self.log,
            stderr=self.log,
            start_new_session=True,
        )
        self.first = False
        self.record.write(f"{self.name} starts, process {self.process.pid}")

    def memory_mb(self):
        """Return the resident memory of the process."""
        try:
            text = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0
        for line in text.splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) // 1024
        return 0

    async def supervise(self):
        """Start the process again whenever it ends; kill it above its memory."""
        while not self.stopping:
            await asyncio.sleep(0.02)
            if self.process.returncode is None:
                used_mb = self.memory_mb()
                self.peak_mb = max(self.peak_mb, used_mb)
                if used_mb <= MEMORY_MB:
                    continue
                self.record.say(f"{self.name} holds {used_mb} MB: over the limit")
                self.process.kill()
                await self.process.wait()
                self.own_ends.append(self.record.now())
            elif not self.killing:
                self.record.say(f"{self.name} ended by itself")
                self.own_ends.append(self.record.now())
            if self.stopping:
                return
            await asyncio.sleep(RESTART_S)
            self.killing = False
            await self.start()

    def kill(self, number=signal.SIGKILL):
        """Send a signal to the process."""
        self.record.say(f"{self.name} gets {signal.Signals(number).name}")
        if number == signal.SIGKILL:
            self.killing = True
        self.process.send_signal(number)

    async def watch_ready(self):
        """Ask every second whether the VM is ready, as the platform does."""
        misses = 0
        while not self.stopping:
            try:
                async with asyncio.timeout(1):
                    reader, writer = await asyncio.open_connection(
                        HOST, self.ready_port
                    )
                    writer.write(b"GET /readyz HTTP/1.1\r\nHost: vm\r\n\r\n")
                    head = await read_head(reader)
                    writer.close()
                good = head is not None and " 200 " in head.first
            except (OSError, TimeoutError):
                good = False
            misses = 0 if good else misses + 1
            ready = good or (self.ready and misses < 2)
            if ready != self.ready:
                self.record.write(f"{self.name} {'in' if ready else 'out of'} rotation")
            self.ready = ready
            await asyncio.sleep(1)

    async def stop(self):
        """End the process."""
        self.stopping = True
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        self.log.close()


class Reply:
    """What a client attempt got."""

    __slots__ = ("status", "events", "whole", "took_s", "headers", "body", "error")

    def __init__(self):
        self.status = 0
        self.events = []
        self.whole = False
        self.took_s = 0.0
        self.headers = {}
        self.body = b""
        self.error = ""


class Deployment:
    """The store, the replicas and the VMs of one script."""

    def __init__(self, folder, vms=3, models=("m1", "m2"), engines=6, plain=3):
        self.record = Record(folder)
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        ports = free_ports(1 + engines + plain)
        self.store = Store(ports.pop())
        self.engines = [
            Replica(
                f"i-engine{n}",
                "llm",
                ZONES[n % 3],
                ports.pop(),
                self.record,
                {model: set() for model in models},
            )
            for n in range(engines)
        ]
        self.plain = [
            Replica(f"i-plain{n}", "orders", ZONES[n % 3], ports.pop(), self.record)
            for n in range(plain)
        ]
        self.vms = [
            Vm(f"edge-{ZONES[n % 3]}-{n}", ZONES[n % 3], self.record, self.folder)
            for n in range(vms)
        ]
        self.models = models
        self.keys = {"team-a": ["key-a-1", "key-a-2"], "team-b": ["key-b-1"]}
        self.version = 0
        self._tasks = []
        self._next = 0
        self.silent = set()

    def configuration(self):
        """Return the newest configuration with a higher version."""
        self.version += 3
        model = {"LoadTimeS": LOAD_S, "WeightsMb": 65100, "Adapters": 4}
        model |= {"AdapterSizeMb": 12, "MemoryLoadS": 0.45, "DiskLoadS": DISK_LOAD_S}

        def route(name, kind, service, **more):
            return {
                "Name": name,
                "Host": "site.example",
                "PathPrefix": f"/{name}/",
                "Type": kind,
                "Service": service,
                "Attempts": 1,
                "Public": False,
                "Sticky": kind == "streaming",
                "Resumable": False,
                **more,
            }

        return {
            "Version": self.version,
            "Routes": [
                route(
                    "guide",
                    "streaming",
                    "llm",
                    TimeoutMs=12000,
                    GoalMs=400,
                    GapGoalMs=200,
                    Priority=1,
                ),
                route(
                    "plan",
                    "streaming",
                    "llm",
                    TimeoutMs=20000,
                    GoalMs=3000,
                    GapGoalMs=200,
                    Priority=2,
                    Attempts=2,
                    Resumable=True,
                ),
                route(
                    "order",
                    "non_idempotent",
                    "orders",
                    TimeoutMs=800,
                    GoalMs=150,
                    Priority=2,
                ),
                route(
                    "look",
                    "idempotent",
                    "orders",
                    TimeoutMs=800,
                    GoalMs=150,
                    Priority=2,
                    Attempts=2,
                ),
            ],
            "Services": [
                {
                    "Name": "llm",
                    "HealthPath": "/healthz",
                    "MaxConns": 300,
                    "Engine": {
                        "Slots": 48,
                        "KvCapacity": 111713,
                        "WeightsMb": 230000,
                        "MaxAdapters": 8,
                        "LoadsPerS": 2.0,
                        "Models": [{"Name": name, **model} for name in self.models],
                    },
                },
                {"Name": "orders", "HealthPath": "/healthz", "MaxConns": 100},
            ],
            "Limits": {
                "MaxHeaderBytes": 16384,
                "MaxBodyBytes": 4194304,
                "HeaderTimeoutMs": 3000,
                "IdleTimeoutMs": 15000,
            },
            "Tenants": [
                {
                    "Name": name,
                    "ApiKeys": keys,
                    "Priority": 1,
                    "Unit": "token_count",
                    "RawTokens": 200,
                    "RatePerS": 0,
                    "Burst": 0,
                }
                for name, keys in self.keys.items()
            ],
        }

    def publish(self):
        """Write the configuration; the return is its acknowledgement."""
        self.store.put("keyed.op", "config", self.configuration())
        self.record.write(f"configuration {self.version} acknowledged")

    @property
    def replicas(self):
        """All replicas."""
        return [*self.engines, *self.plain]

    async def start(self):
        """Start everything and wait until all VMs are ready."""
        await self.store.start()
        self.publish()
        for replica in self.replicas:
            await replica.start()
            self.store.put("keyed.servers", replica.name, replica.entry())
        seeds = [f"{HOST}:{vm.control}" for vm in self.vms[:3]]
        for vm in self.vms:
            vm.store, vm.seeds = self.store, seeds
            await vm.start()
            self._tasks.append(asyncio.create_task(vm.supervise()))
            self._tasks.append(asyncio.create_task(vm.watch_ready()))
        self._tasks.append(asyncio.create_task(self._beat()))
        for _ in range(200):
            if all(vm.ready for vm in self.vms):
                return
            await asyncio.sleep(0.1)
        raise CannotRun("the VMs did not get ready")

    async def _beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for replica in self.replicas:
                if replica.name not in self.silent:
                    self.store.put("keyed.servers", replica.name, replica.entry())

    async def close(self):
        """End all processes and servers."""
        for task in self._tasks:
            task.cancel()
        for vm in self.vms:
            await vm.stop()
        for server in (self.store, *self.replicas):
            await server.stop()
        shutil.rmtree(self.folder, ignore_errors=True)

    def next_id(self):
        """Return a new request ID."""
        self._next += 1
        return f"{self._next:016x}"

    async def request(
        self,
        vm,
        route,
        key="key-a-1",
        limit_s=None,
        gap_s=None,
        headers=(),
        body=b"",
        method="POST",
        request_id=None,
        channel=None,
        on_event=None,
        path=None,
    ):
        """Send one client attempt over a new channel and return its `Reply`."""
        request_id = request_id or self.next_id()
        reply = Reply()
        lines = [
            f"{method} {path or f'/{route}/x'} HTTP/1.1",
            "Host: site.example",
            f"X-Cassiamount-Request-Id: {request_id}",
            f"X-Cassiamount-Deadline-Ms: {int(limit_s * 1000)}",
            f"Authorization: Bearer {key}",
            f"Content-Length: {len(body)}",
        ]
        lines += [f"{name}: {value}" for name, value in headers]
        began = time.monotonic()
        self.record.write(f"client sends {request_id} {route} to {vm.name}")
        writer = None
        try:
            async with asyncio.timeout(limit_s):
                async with asyncio.timeout(1):
                    reader, writer = await asyncio.open_connection(
                        HOST, vm.front, limit=1 << 20
                    )
                writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
                async with asyncio.timeout(gap_s):
                    head = await read_head(reader)
                if head is None:
                    reply.error = "closed"
                else:
                    await self._read(head, reader, reply, gap_s, on_event)
        except TimeoutError:
            reply.error = "gave up"
        except (OSError, asyncio.IncompleteReadError) as error:
            reply.error = f"broken off ({type(error).__name__})"
        finally:
            if writer is not None:
                writer.close()
        reply.took_s = time.monotonic() - began
        self.record.write(
            f"client got {request_id} status {reply.status} whole {reply.whole} "
            f"events {len(reply.events)} {reply.error} after {reply.took_s:.3f}"
        )
        return reply

    async def _read(self, head, reader, reply, gap_s, on_event):
        reply.status = int(head.first.split(" ")[1])
        reply.headers = head.headers
        if "chunked" in head.headers.get("transfer-encoding", ""):
            parts = read_chunks(reader)
            while True:
                try:
                    async with asyncio.timeout(gap_s):
                        part = await anext(parts)
                except StopAsyncIteration:
                    break
                reply.body += part
                reply.events += [n for n in part.split(b"\n\n") if n.strip()]
                if on_event is not None:
                    on_event(reply)
        else:
            size = int(head.headers.get("content-length", 0))
            reply.body = await reader.readexactly(size)
        reply.whole = True


# Requests a second: the sheet's of ncl-sewfloor for three machines of seven.
RATES = {"guide": 28, "plan": 2, "order": 8, "look": 3}


class Callers:
    """Sound callers of all routes.

    Attributes
    ----------
    replies : list of (str, Vm, Reply)
        Route, VM and what the caller got, of each request that has ended.
    """

    def __init__(self, deployment):
        self.deployment = deployment
        self.rng = random.Random(1)
        self.tasks = set()
        self.replies = []

    def start(self, length_s):
        """Send requests for some time; return the tasks."""
        until_s = self.deployment.record.now() + length_s
        return [
            asyncio.create_task(self._flow(route, per_s, until_s))
            for route, per_s in RATES.items()
        ]

    async def _flow(self, route, per_s, until_s):
        while self.deployment.record.now() < until_s:
            await asyncio.sleep(self.rng.expovariate(per_s))
            task = asyncio.create_task(self._send(route))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _send(self, route):
        d = self.deployment
        vm = self.rng.choice([vm for vm in d.vms if vm.ready] or d.vms)
        model = [
            ("X-Cassiamount-Model", self.rng.choice(d.models)),
            ("X-Cassiamount-Token-Usage", "700,280"),
            ("X-Cassiamount-Prefix-Hash", f"{self.rng.randrange(1 << 32):x}:700"),
        ]
        if route == "guide":
            reply = await d.request(vm, route, limit_s=12, gap_s=2, headers=model)
        elif route == "plan":
            reply = await d.request(vm, route, limit_s=20, gap_s=12, headers=model)
        else:
            reply = await d.request(vm, route, limit_s=1.5)
        self.replies.append((route, vm, reply))

    def say(self):
        """Write how many requests ended how, by VM."""
        counts = {}
        for route, vm, reply in self.replies:
            key = (vm.name, route, reply.status, reply.error)
            counts[key] = counts.get(key, 0) + 1
        for key, count in sorted(counts.items(), key=str):
            self.deployment.record.say(f"callers: {key} {count}")

    def stop(self):
        """Give up what still runs."""
        for task in list(self.tasks):
            task.cancel()


class CannotRun(Exception):
    """The case could not be run."""


def main(folder, play):
    """Run a case and exit with 1 if its rule was broken, 0 if not, 2 if it can't run.

    Parameters
    ----------
    folder : str
    play : callable
        ``async (folder) -> bool``: whether the rule was broken.
    """

    async def bounded():
        # Whoever ends the script also ends the processes that it started.
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGTERM, asyncio.current_task().cancel
        )
        async with asyncio.timeout(115):
            return await play(folder)

    try:
        broken = asyncio.run(bounded())
    except (Exception, asyncio.CancelledError):
        traceback.print_exc()
        print("could not run")
        sys.exit(2)
    sys.exit(1 if broken else 0)
