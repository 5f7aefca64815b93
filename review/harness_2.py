"""Stand-ins of the users' platform for the cases 6 to 10, on loopback addresses.

Only the standard library is used, so that nothing has to be installed for it. The
store, the replicas and the clients run in the process of the script; the VMs are
processes that are started with the command of the deploy file.
"""

import asyncio
import base64
import contextlib
import json
import os
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST_NAME = "ficu95.example"
KEY = "i9n73hh2b9wu3fexd9dn"
TENANT = "hule930"
SCRIPT_LIMIT_S = 115
# What keeps a port from being given to somebody else before its process has it.
NO_LINGER = struct.pack("ii", 1, 0)


class CannotRun(Exception):
    """The case could not be played, which says nothing about the rule."""


class Record:
    """Writes what was sent, answered and run, with the time since the start."""

    def __init__(self, folder):
        self._file = (Path(folder) / "record.txt").open("w", encoding="utf-8")
        self._begun_s = time.monotonic()

    def now_s(self):
        """Return the time since the start in seconds."""
        return time.monotonic() - self._begun_s

    def write(self, event, **fields):
        """Write one line."""
        words = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{self.now_s():8.3f} {event} {words}\n")
        self._file.flush()


def free_ports(count):
    """Return ports that are free at the moment."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for item in sockets:
            item.bind((HOST, 0))
        return [item.getsockname()[1] for item in sockets]
    finally:
        for item in sockets:
            item.close()


# HTTP.


class Head:
    """First line and headers of a message; names in lower case."""

    def __init__(self, first, headers):
        self.first = first
        self.headers = headers

    def get(self, name, default=""):
        """Return the value of a header."""
        return self.headers.get(name, default)


async def read_head(reader):
    """Return the `Head` of the next message, or None at the end."""
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


async def read_body(reader, head, until_end=False):
    """Return the body of a message; raises if it is not complete."""
    if "chunked" in head.get("transfer-encoding"):
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            piece = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += piece[:-2]
    if "content-length" in head.headers:
        return await reader.readexactly(int(head.get("content-length")))
    return await reader.read() if until_end else b""


def message(first, headers, body=b""):
    """Return the bytes of a message with a body of known length."""
    lines = [first, *(f"{name}: {value}" for name, value in headers)]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def reset(writer):
    """Close a connection with a reset."""
    item = writer.get_extra_info("socket")
    if item is not None:
        with contextlib.suppress(OSError):
            item.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
    writer.transport.abort()


class HttpServer:
    """A server of kept connections; `answer` handles one request."""

    def __init__(self):
        self._server = None
        self._writers = set()
        self._tasks = set()
        self.port = None

    @property
    def address(self):
        """Return ``IP:port`` of the listener."""
        return f"{HOST}:{self.port}"

    async def listen(self, port=0):
        """Listen; port 0 takes a free one."""
        self._server = await asyncio.start_server(
            self._accept, HOST, port, limit=1 << 20, backlog=200
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def _accept(self, reader, writer):
        self._writers.add(writer)
        task = asyncio.create_task(self._serve(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head)
                await self.answer(head, body, reader, writer)
                if writer.is_closing():
                    break
        except (
            ConnectionError,
            asyncio.IncompleteReadError,
            ValueError,
        ):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def answer(self, head, body, reader, writer):
        """Answer one request."""
        raise NotImplementedError

    def end(self):
        """End as a process that crashes: no listener, all connections are reset."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            reset(writer)
        for task in list(self._tasks):
            task.cancel()


# The store.


class Store(HttpServer):
    """The platform's store, as far as the system uses it."""

    def __init__(self):
        super().__init__()
        self.topics = {}
        self.members = {}
        self.generation = 0
        self.owner = None
        self._changed = asyncio.Event()

    def put(self, topic, key, value):
        """Append a record; None drops the key. Returns its offset."""
        name = key.encode()
        data = b"" if value is None else json.dumps(value).encode()
        records = self.topics.setdefault(topic, [])
        records.append(bytes([len(name)]) + name + data)
        self._notify()
        return len(records) - 1

    def _notify(self):
        self._changed.set()
        self._changed = asyncio.Event()

    async def answer(self, head, body, reader, writer):
        """Answer one call."""
        method, target, _ = head.first.split(" ")
        path, _, text = target.partition("?")
        query = {}
        for item in filter(None, text.split("&")):
            name, _, value = item.partition("=")
            query[name] = value
        await asyncio.sleep(0.004)
        status, data = await getattr(self, "_" + path[1:].replace("-", "_"))(
            query, body
        )
        if not isinstance(data, bytes):
            data = json.dumps(data).encode()
        writer.write(message(f"HTTP/1.1 {status} X", [], data))
        await writer.drain()

    async def _log_newest(self, query, body):
        records = self.topics.get(query["Topic"], [])
        found = {}
        for offset, content in enumerate(records):
            end = 1 + content[0]
            key, value = content[1:end].decode(), content[end:]
            found.pop(key, None)
            if value:
                found[key] = (offset, value)
        items = [
            {"Key": key, "Value": base64.b64encode(value).decode(), "Offset": offset}
            for key, (offset, value) in found.items()
        ]
        return 200, {"items": items, "HasMore": False, "EndOffset": len(records)}

    async def _log_read(self, query, body):
        records = self.topics.setdefault(query["Topic"], [])
        start = int(query["From"])
        end_s = time.monotonic() + int(query.get("WaitMs", 0)) / 1000
        if start > len(records):
            return 410, {"FirstOffset": 0}
        while len(records) <= start and (left_s := end_s - time.monotonic()) > 0:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_s)
        data = len(records).to_bytes(8, "big") + bytes(8)
        for content in records[start:]:
            data += len(content).to_bytes(4, "big") + content
        return 200, data

    async def _log_append(self, query, body):
        records = self.topics.setdefault(query["Topic"], [])
        offset = len(records)
        while body:
            length = int.from_bytes(body[:4], "big")
            records.append(body[4 : 4 + length])
            body = body[4 + length :]
        self._notify()
        return 200, {"Offset": offset, "EndOffset": len(records)}

    def _expire(self):
        now_s = time.monotonic()
        for name, member in list(self.members.items()):
            if member["until_s"] < now_s:
                self._remove(name)

    def _remove(self, name):
        del self.members[name]
        self.generation += 1
        if self.owner == name:
            self.owner = None

    async def _log_join(self, query, body):
        value = json.loads(body)
        name = value["Member"]
        self._expire()
        if name not in self.members:
            self.generation += 1
        until_s = time.monotonic() + value["TtlMs"] / 1000
        self.members[name] = {"until_s": until_s, "topic": value["Topics"][0]}
        if self.owner is None:
            self.owner = min(self.members)
        parts = [[value["Topics"][0], 0, 0]] if self.owner == name else []
        return 200, {"Generation": self.generation, "parts": parts}

    async def _log_leave(self, query, body):
        self._expire()
        name = json.loads(body)["Member"]
        if name in self.members:
            self._remove(name)
        return 200, {}

    async def _log_owners(self, query, body):
        self._expire()
        if self.owner is None:
            return 200, []
        return 200, [[self.members[self.owner]["topic"], 0, self.owner, 0]]


# Replicas.


class Replica(HttpServer):
    """A replica of a plain service, or of a model service if it has models."""

    def __init__(self, store, record, service, zone, number, models=None, slots=6):
        super().__init__()
        self.store = store
        self.record = record
        self.service = service
        self.zone = zone
        self.number = number
        self.models = models
        self.slots = slots
        self.starts = 0
        self.is_up = False
        self.name = None
        self.born = 0
        self.beats = 0
        self.running = 0
        self.work_s = 0.03
        self.events = 8
        self.event_s = 0.02
        self.state = "ready"
        # Whether a plain service answers with streams.
        self.is_streaming = False
        # Request id -> how often it began to run here.
        self.ran = []
        self._beat = None

    async def start(self, port=0, name=None):
        """Start, and check in; under a new name unless one is given."""
        await self.listen(port)
        self.starts += 1
        self.name = name or f"i-{self.service[:4]}{self.number}{self.starts:02d}"
        self.born = int(time.time() * 1000)
        self.beats = 0
        self.is_up = True
        self._beat = asyncio.create_task(self._check_in())

    async def _check_in(self):
        while True:
            self.write_entry()
            await asyncio.sleep(1.2)

    def write_entry(self):
        """Check in at the store."""
        self.beats += 1
        value = {
            "Service": self.service,
            "Address": self.address,
            "Zone": self.zone,
            "Version": "v1",
            "Slots": self.slots,
            "State": self.state,
            "ColdRemainingMs": 0,
            "Seq": self.beats,
            "born": self.born,
        }
        value.update(self.entry_fields())
        if self.models is not None:
            value["Phase"] = "mixed"
            value["Models"] = [
                {"Name": name, "Version": 1, "Adapters": []} for name in self.models
            ]
        self.store.put("keyed.servers", self.name, value)

    def entry_fields(self):
        """Return further fields of the entry."""
        return {}

    def crash(self):
        """End without notice."""
        self.is_up = False
        self.record.write("replica-crashed", replica=self.name)
        self._beat.cancel()
        self.end()

    async def come_back(self, after_s):
        """Start again under a new name, at an address that is free."""
        await asyncio.sleep(after_s)
        self.store.put("keyed.servers", self.name, None)
        await self.start()
        self.record.write("replica-back", replica=self.name)

    async def answer(self, head, body, reader, writer):
        """Answer one request, report or order."""
        method, target, _ = head.first.split(" ")
        expected = head.get("x-cassiamount-expect-instance", self.name)
        if expected != self.name:
            own = [("X-Cassiamount-Instance-Id", self.name)]
            writer.write(message("HTTP/1.1 421 Misdirected Request", own))
        elif target == "/report":
            writer.write(
                message("HTTP/1.1 200 OK", [], json.dumps(self._report()).encode())
            )
        elif target == "/order":
            writer.write(message("HTTP/1.1 409 Conflict", []))
        elif target == "/healthz":
            own = [("X-Cassiamount-Instance-Id", self.name)]
            writer.write(message("HTTP/1.1 200 OK", own))
        else:
            await self.run(head, body, reader, writer)
            return
        await writer.drain()

    def _report(self):
        models = [{"Name": n, "Version": 1, "Adapters": []} for n in self.models or ()]
        return {
            "Phase": "mixed",
            "Models": models,
            "Busy": False,
            "Seq": 0,
            "Queued": 0,
            "Active": self.running,
            "KvCacheUsed": 0,
            "KvCacheTotal": 111713,
            "Handles": 0,
        }

    def answer_headers(self, head):
        """Return the headers that each answer has."""
        request_id = head.get("x-cassiamount-request-id")
        return [
            ("X-Cassiamount-Request-Id", request_id),
            ("X-Cassiamount-Server-Signature", f"{self.name}.{request_id}"),
            ("X-Cassiamount-Server-Load", f"{self.running},0,{self.slots}"),
        ]

    def body_for(self, request_id):
        """Return the body of an answer of a plain service."""
        return f"done {request_id} by {self.name}".encode()

    async def run(self, head, body, reader, writer):
        """Run a request; its channel may close meanwhile."""
        request_id = head.get("x-cassiamount-request-id")
        self.ran.append(request_id)
        self.running += 1
        self.record.write("run", replica=self.name, id=request_id)
        try:
            if self.models is None and not self.is_streaming:
                await asyncio.sleep(self.work_s)
                data = self.body_for(request_id)
                headers = self.answer_headers(head)
                writer.write(message("HTTP/1.1 200 OK", headers, data))
                await writer.drain()
            else:
                await self.stream(head, writer)
        finally:
            self.running -= 1

    def event_data(self, number):
        """Return what the event of a number holds."""
        return f"t{number}"

    async def stream(self, head, writer):
        """Answer with a stream that goes on after `Last-Event-Id`."""
        first = int(head.get("last-event-id") or 0) + 1
        await asyncio.sleep(self.work_s)
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream"]
        lines += [f"{name}: {value}" for name, value in self.answer_headers(head)]
        lines += ["Transfer-Encoding: chunked", "", ""]
        writer.write("\r\n".join(lines).encode())
        for number in range(first, self.events + 1):
            data = self.event_data(number)
            event = f"id: {number}\ndata: {data}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self.event_s)
        writer.write(b"0\r\n\r\n")
        await writer.drain()


# Clients.


class Answer:
    """What a client got: a status of 0 means that there was no whole answer."""

    def __init__(self, status=0, headers=None, body=b"", error="", took_s=0.0):
        self.status = status
        self.headers = headers or {}
        self.body = body
        self.error = error
        self.took_s = took_s


async def exchange(address, data, limit_s, method="POST"):
    """Send a request on a new channel; return the `Answer`."""
    begun_s = time.monotonic()
    writer = None
    try:
        async with asyncio.timeout(limit_s):
            host, _, port = address.rpartition(":")
            reader, writer = await asyncio.open_connection(
                host, int(port), limit=1 << 20
            )
            writer.write(data)
            await writer.drain()
            head = await read_head(reader)
            if head is None:
                raise ConnectionError("closed")
            status = int(head.first.split(" ")[1])
            body = await read_body(reader, head, until_end=True)
            return Answer(status, head.headers, body, "", time.monotonic() - begun_s)
    except TimeoutError:
        return Answer(error="late", took_s=time.monotonic() - begun_s)
    except (OSError, asyncio.IncompleteReadError, ValueError) as error:
        return Answer(error=type(error).__name__, took_s=time.monotonic() - begun_s)
    finally:
        if writer is not None:
            writer.close()


def request(path, request_id, method="POST", body=b"", key=KEY, limit_ms=1500, more=()):
    """Return the bytes of a client's request."""
    headers = [
        ("Host", HOST_NAME),
        ("X-Cassiamount-Request-Id", request_id),
        ("X-Cassiamount-Deadline-Ms", limit_ms),
        ("Authorization", f"Bearer {key}"),
        *more,
    ]
    return message(f"{method} {path} HTTP/1.1", headers, body)


# VMs.


class Vm:
    """One VM: its settings file and its process."""

    def __init__(self, deployment, number, zone):
        self.name = f"edge-{zone}-{number}"
        self.zone = zone
        ports = free_ports(4)
        self.callers, self.ready, self.control = (f"{HOST}:{p}" for p in ports[:3])
        self.free_port = ports[3]
        self._deployment = deployment
        self.process = None
        self.file = deployment.folder / f"{self.name}.yaml"
        self.log = deployment.folder / f"{self.name}.log"

    def write_settings(self, first_start):
        """Write the settings file."""
        value = {
            "NodeName": self.name,
            "Role": "entry",
            "MachineClass": "edge",
            "Serves": ["edge", "control_plane"],
            "Ip": HOST,
            "Zone": self.zone,
            "Region": "th-north",
            "Zones": {zone: "th-north" for zone in self._deployment.zones},
            "Listen": {
                "Frontend": self.callers,
                "Ready": self.ready,
                "Control": self.control,
            },
            "PortRange": [self.free_port, self.free_port],
            "Seeds": [vm.control for vm in self._deployment.vms[:3]],
            "Bootstrap": first_start,
            "FaultCounted": False,
            "Limits": {
                "CpuShare": 0.537,
                "Cores": 2,
                "MemoryMb": 300,
                "MaxFds": 4100,
                "LinkMbps": 1000.0,
                "DiskMb": 0,
            },
            "DataDir": None,
            "Discovery": "platform",
            "Entry": "vip",
            "HeartbeatMs": 1200,
            "Bounds": self._deployment.bounds,
            "Platform": {
                "Address": self._deployment.store_address,
                "form": "log",
                "WritesPerS": 400,
                "ReadsPerS": 2000,
                "parts": 8,
                "AppendMs": 4.0,
                "keep_s": 300,
                "MinTtlMs": 1000,
            },
        }
        # JSON is YAML too.
        self.file.write_text(json.dumps(value, indent=1))

    async def start(self, first_start=True):
        """Start the process with the command of the deploy file."""
        self.write_settings(first_start)
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = deploy["roles"]["entry"]["run"].split()
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["CASSIAMOUNT_NODE_FILE"] = str(self.file)
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self._deployment.record.write("vm-started", vm=self.name, pid=self.process.pid)

    @property
    def is_running(self):
        """Return whether the process runs."""
        return self.process is not None and self.process.returncode is None

    def signal(self, number):
        """Send a signal to the process."""
        if self.is_running:
            self.process.send_signal(number)

    async def wait_ready(self, limit_s=25.0):
        """Wait until the VM says that it is ready."""
        end_s = time.monotonic() + limit_s
        data = message("GET /readyz HTTP/1.1", [("Host", "ready")])
        while time.monotonic() < end_s:
            if (await exchange(self.ready, data, 1.0)).status == 200:
                return
            if not self.is_running:
                break
            await asyncio.sleep(0.1)
        raise CannotRun(f"{self.name} is not ready\n{self.log.read_text()[-3000:]}")

    async def end(self):
        """End the process."""
        if self.is_running:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
            await self.process.wait()


BOUNDS = {
    "StabilityMs": 3000,
    "AckMs": 4000,
    "DrainMs": 2000,
    "GraceS": 8,
    "LossSlackMs": 200,
    "ConfigApplyMs": 2000,
    "RevokeStrict": True,
    "RevokeMs": 5000,
    "RetryBudgetRatio": 0.2,
    "BudgetWindowS": 10,
    "RetrySlack": 54,
    "LeaseMs": 3000,
    "ThawMs": 300,
}


class Deployment:
    """A small deployment: the store, replicas and VMs."""

    def __init__(self, folder, record, vms=3):
        self.folder = Path(folder)
        self.record = record
        self.bounds = dict(BOUNDS)
        self.zones = ["th-north-a", "th-north-b", "th-north-c"]
        self.store = Store()
        self.store_address = None
        self.replicas = []
        self.vms = []
        for number in range(vms):
            self.vms.append(Vm(self, number, self.zones[number % 3]))

    async def open_store(self):
        """Start the store."""
        await self.store.listen()
        self.store_address = self.store.address

    async def add_replica(self, service, number, **options):
        """Start a replica and return it."""
        zone = self.zones[number % 3]
        replica = Replica(self.store, self.record, service, zone, number, **options)
        await replica.start()
        self.replicas.append(replica)
        return replica

    async def start_vms(self):
        """Start all VMs and wait until they are ready."""
        for vm in self.vms:
            await vm.start()
        for vm in self.vms:
            await vm.wait_ready()
        # Traffic starts 12 s after the machines do; all are ready long before.
        await asyncio.sleep(1.0)

    async def close(self):
        """End all that was started."""
        for vm in self.vms:
            await vm.end()
        for replica in self.replicas:
            if replica.is_up:
                replica.is_up = False
                replica._beat.cancel()
            replica.end()
        self.store.end()


def model(name, adapters=0):
    """Return a model as the configuration lists it."""
    return {
        "Name": name,
        "WeightsMb": 65100.0,
        "LoadTimeS": 3.8,
        "Adapters": adapters,
        "AdapterSizeMb": 12.0,
        "MemoryLoadS": 0.45,
        "DiskLoadS": 0.76,
    }


def configuration(version, routes, services, tenants=None):
    """Return a configuration with one tenant unless others are given."""
    return {
        "Version": version,
        "Routes": routes,
        "Services": services,
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 4194304,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
        "Tenants": tenants
        or [
            {
                "Name": TENANT,
                "ApiKeys": [KEY],
                "Priority": 1,
                "Unit": "token_count",
                "RawTokens": 200,
                "RatePerS": 400000,
                "Burst": 400000,
            }
        ],
    }


def route(name, prefix, kind, service, **more):
    """Return a route; further fields replace the usual ones."""
    return {
        "Name": name,
        "Host": HOST_NAME,
        "PathPrefix": prefix,
        "Type": kind,
        "TimeoutMs": 1500,
        "GoalMs": 200,
        "Priority": 2,
        "Service": service,
        "Attempts": 1,
        "Public": False,
        **more,
    }


def plain_service(name):
    """Return a service without models."""
    return {"Name": name, "HealthPath": "/healthz", "MaxConns": 100, "Protocol": "h1"}


def model_service(name, models, slots=48):
    """Return a service whose replicas run models."""
    return {
        "Name": name,
        "HealthPath": "/healthz",
        "MaxConns": 300,
        "Protocol": "h1",
        "Engine": {
            "Slots": slots,
            "KvCapacity": 111713,
            "Models": [model(item) for item in models],
            "WeightsMb": 230000.0,
            "MaxAdapters": 8,
            "LoadsPerS": 2.0,
        },
    }


def play(folder, case, vms=3):
    """Play a case and end with its exit status.

    Parameters
    ----------
    folder : str
        Of the case, for `record.txt`.
    case : callable
        ``async (deployment) -> list of str``: what broke the rule.
    """
    record = Record(folder)
    status = 2
    with tempfile.TemporaryDirectory(prefix="cassiamount-case-") as place:
        try:
            broken = asyncio.run(_play(place, record, case, vms))
        except Exception as error:
            record.write("could-not-run", error=repr(error))
            print(f"could not run: {error!r}")
        else:
            status = 1 if broken else 0
            for line in broken:
                record.write("BROKEN", what=line)
                print("broken:", line)
            record.write("end", trouble=int(TROUBLE), status=status)
            print("trouble:", int(TROUBLE), "status:", status)
        if keep := os.environ.get("KEEP_LOGS"):
            for item in Path(place).glob("*.log"):
                (Path(keep) / item.name).write_bytes(item.read_bytes())
    sys.exit(status)


async def _play(place, record, case, vms):
    deployment = Deployment(place, record, vms)
    try:
        async with asyncio.timeout(SCRIPT_LIMIT_S):
            await deployment.open_store()
            return await case(deployment)
    finally:
        await deployment.close()
