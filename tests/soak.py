"""Soak of VM processes: overlapping stops, signals, crashes and changes under load.

Run by hand with ``python -m tests.soak --seeds 1-50``. Checks have no time limits of
their own, apart from the grace period of a stop, so that a slow machine changes the
course of a run and not its verdict.
"""

import argparse
import asyncio
import collections
import os
import random
import re
import signal
import sys
import tempfile
from datetime import datetime
from pathlib import Path

import orjson

from cassiamount.platform.settings import FILE_VARIABLE
from standins.platform_replica import EVENT_S
from tests.fleet_fixtures import HOST, KEY, Fleet, configuration
from tests.free_ports import free_port

# The processes run the code of this tree, wherever the test runs.
ROOT = Path(__file__).resolve().parent.parent
STREAM = b"".join(b"id: %d\ndata: %d\n\n" % (n, n) for n in range(1, 6))
CRASHING_PART = "c0ffee"
# Body of requests that end each server of the plain service which runs them.
CRASHING_BODY = b"poison"
NEW_KEY = "new-key"
NOT_RUN = (408, 421, 429, 503)
# Statuses of a request whose VM or key is not ready yet; 0 means none.
WAITING = (0, 401, 503)
# Shares of the requests that callers send slowly, or with another one at once.
SLOW_SHARE = 0.2
MAX_PAUSE_S = 5.0
PIPELINED_SHARE = 0.1
# Codes of begun streams that a VM breaks off, and until when in a stop they are sent.
CUT_OFF = ("broken: stopped", "broken: time limit")
LATE_S = 3.0
LOGGED = re.compile(rb'"event": ?"(stopping|request_sent|request_ended)"')
GRACE_S = 6
# Far longer than a step takes; only a hang exceeds it.
STEP_TIMEOUT_S = 60
SETTINGS = """
NodeName: {name}
Zone: z{zone}
Listen:
  Frontend: "127.0.0.1:{ports[0]}"
  Ready: "127.0.0.1:{ports[1]}"
  Control: "127.0.0.1:{ports[2]}"
PortRange: [{ports[3]}, {ports[3]}]
Platform:
  Address: "127.0.0.1:{store_port}"
Bootstrap: true
Bounds:
  RevokeMs: 5000
  GraceS: {grace_s}
"""


class SoakFailure(AssertionError):
    """A check of the soak failed."""


class VmProcess:
    """One VM as a process of its own."""

    def __init__(self, name, zone, store_port, folder):
        self.name = name
        self.ports = [free_port() for _ in range(4)]
        self.settings_file = folder.resolve() / f"{name}.yaml"
        self.log_file = folder.resolve() / f"{name}.log"
        self.settings_file.write_text(
            SETTINGS.format(
                name=name,
                zone=zone,
                ports=self.ports,
                store_port=store_port,
                grace_s=GRACE_S,
            )
        )
        self.process = None
        # How the process was last told to end: None, "term" or "kill".
        self.ending = None
        self.busy = asyncio.Lock()

    async def spawn(self, **environment):
        """Start the process."""
        with self.log_file.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "cassiamount.platform",
                cwd=ROOT,
                stdout=log,
                stderr=log,
                env={
                    **os.environ,
                    FILE_VARIABLE: str(self.settings_file),
                    **environment,
                },
            )
        self.ending = None

    async def start(self, **environment):
        """Start the process and wait until the VM is ready."""
        await self.spawn(**environment)
        await self.wait_ready()

    async def wait_ready(self):
        """Wait until the VM is ready."""
        async with asyncio.timeout(STEP_TIMEOUT_S):
            while not await self.is_ready():
                if self.process.returncode is not None:
                    raise SoakFailure(f"{self.name} ended at its start")
                await asyncio.sleep(0.05)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.ports[1])
            writer.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n")
            line = await reader.readline()
            writer.close()
        except OSError:
            return False
        return b" 200 " in line

    async def end(self, how):
        """Send SIGTERM or SIGKILL and wait until the process is gone."""
        self.ending = how
        number = signal.SIGTERM if how == "term" else signal.SIGKILL
        self.process.send_signal(number)
        async with asyncio.timeout(STEP_TIMEOUT_S):
            status = await self.process.wait()
        if how == "term" and status != 0:
            raise SoakFailure(f"{self.name} ended with status {status}")


class SoakFleet(Fleet):
    """A fleet whose VMs are processes."""

    def __init__(self, seed, vms, engines, folder):
        super().__init__()
        self.rng = random.Random(seed)
        self.vms = {}
        self.vm_count = vms
        self.engine_count = engines
        self.folder = folder
        self.version = 1
        self.keys = [KEY]
        # Servers whose entries were removed.
        self.unlisted = set()
        self.failures = []
        self.refused = set()
        # Code of a refusal -> how often it was given.
        self.codes = collections.Counter()
        self.lost = set()
        self.answered = 0
        self.crashes = 0
        self.stopping = False
        self._next_id = 0
        self._next_replica = 0
        self._restoring = False
        self._jobs = set()

    async def start(self):
        await super().start()
        self.store.put("keyed.op", "config", configuration(1))
        for _ in range(self.engine_count):
            await self.add_engine()
        for _ in range(3):
            await self.add_shop()
        for index in range(self.vm_count):
            name = f"v{index}"
            self.vms[name] = VmProcess(name, index % 3, self.store_port, self.folder)
        await asyncio.gather(*(vm.start() for vm in self.vms.values()))

    async def add_engine(self):
        """Start an engine that ends by requests with the crashing part."""
        self._next_replica += 1
        name = f"e{self._next_replica}"
        replica = await self.add_replica(name, "llm", {"m1": ["a1"], "m2": []})
        replica.crashing_part = CRASHING_PART
        replica.crash_after = self.rng.randrange(4)
        replica.on_crash = lambda: self.crash(name, self.add_engine)

    async def add_shop(self):
        """Start a server of the plain service that ends by the crashing body."""
        self._next_replica += 1
        name = f"s{self._next_replica}"
        replica = await self.add_replica(name, "shop")
        replica.crashing_body = CRASHING_BODY
        replica.crash_after = self.rng.randrange(3)
        replica.on_crash = lambda: self.crash(name, self.add_shop)

    def crash(self, name, add_replacement):
        """End a server at once; another one starts later."""
        if name in self.ended_replicas:
            return
        self.crashes += 1
        self.end_replica(name)
        self.spawn(self._replace(name, add_replacement))

    async def _replace(self, name, add_replacement):
        await asyncio.sleep(self.rng.uniform(0.2, 1.0))
        self.unlisted.add(name)
        self.store.put("keyed.servers", name, None)
        await add_replacement()

    def spawn(self, coroutine):
        """Run a coroutine beside the others; its failure fails the soak."""
        task = asyncio.create_task(coroutine)
        self._jobs.add(task)
        task.add_done_callback(self._on_job_end)
        return task

    def _on_job_end(self, task):
        self._jobs.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.failures.append(task.exception())

    def next_request_id(self):
        self._next_id += 1
        return f"r{self._next_id}"

    # Clients.

    async def run_client(self):
        """Send requests on one connection until its VM closes it, then on another."""
        while not self.stopping:
            vm = self.rng.choice(list(self.vms.values()))
            try:
                stream = await asyncio.open_connection("127.0.0.1", vm.ports[0])
            except OSError:
                await asyncio.sleep(0.05)
                continue
            process = vm.process
            try:
                while not self.stopping:
                    if not await self._exchange(vm, process, *stream):
                        break
                    await asyncio.sleep(self.rng.uniform(0.0, 0.05))
            finally:
                stream[1].close()

    async def _exchange(self, vm, process, reader, writer):
        """Send requests; return whether the connection can carry another."""
        requests = [self._next_request()]
        if requests[0][1] != "chat" and self.rng.random() < PIPELINED_SHARE:
            requests.append(self._next_request())
        waiting = list(requests)
        try:
            await self._write(writer, b"".join(data for _, _, data in requests))
            while waiting:
                status, headers, body = await read_response(reader)
                request_id, kind, _ = waiting.pop(0)
                self._check_answer(request_id, kind, status, body)
                if headers.get("connection", "").lower() == "close":
                    break
        except (OSError, asyncio.IncompleteReadError):
            headers = {"connection": "close"}
        # A process that was killed owes nothing.
        if vm.ending != "kill" and process.returncode in (None, 0):
            for request_id, kind, _ in waiting:
                self.lost.add((request_id, kind, vm.name))
        return headers.get("connection", "").lower() != "close"

    async def _write(self, writer, data):
        """Send data, some of it in two parts with a pause between them."""
        if self.rng.random() < SLOW_SHARE:
            sent = self.rng.randrange(len(data))
            writer.write(data[:sent])
            await asyncio.sleep(self.rng.uniform(0.0, MAX_PAUSE_S))
            data = data[sent:]
        writer.write(data)

    def _next_request(self):
        """Return ID, kind and bytes of a request."""
        request_id = self.next_request_id()
        kind = self.rng.choice(["chat", "chat", "buy", "pay", "look"])
        head = [
            f"POST /{kind}/x HTTP/1.1",
            f"Host: {HOST}",
            f"Authorization: Bearer {KEY}",
            f"X-Cassiamount-Request-Id: {request_id}",
            "X-Cassiamount-Deadline-Ms: 6000",
            f"Content-Length: {len(request_id)}",
        ]
        if kind == "chat":
            document = self.rng.randrange(6)
            head.append("X-Cassiamount-Model: m1")
            head.append(f"X-Cassiamount-Prefix-Hash: aa:9,d{document}:9,{request_id}:9")
        data = ("\r\n".join(head) + "\r\n\r\n" + request_id).encode()
        return request_id, kind, data

    def _check_answer(self, request_id, kind, status, body):
        self.answered += 1
        if status in NOT_RUN:
            self.refused.add(request_id)
            self.codes[orjson.loads(body)["error"]["code"]] += 1
        elif status == 200:
            if body != STREAM if kind == "chat" else not body.startswith(b"done by s"):
                raise SoakFailure(f"{request_id} ({kind}): wrong body {body!r}")
        elif status not in (502, 504):
            raise SoakFailure(f"{request_id} ({kind}): status {status}")

    async def send_crashing(self, vm):
        """Send a request with the part that ends engines; return the answer's body."""
        parts = ["aa:9", f"d{self.rng.randrange(6)}:9"]
        parts.insert(self.rng.randrange(3), f"{CRASHING_PART}:9")
        request_id = self.next_request_id()
        prompt = f"{','.join(parts)},{request_id}:9"
        head = ["X-Cassiamount-Model: m1", f"X-Cassiamount-Prefix-Hash: {prompt}"]
        return (await self._send(vm, "/chat/x", request_id.encode(), head))[1]

    async def send_crashing_body(self, vm):
        """Send the request that ends plain servers; return the answer's body."""
        return (await self._send(vm, "/look/x", CRASHING_BODY))[1]

    async def _send(self, vm, path, body, head=(), key=KEY):
        """Send a request on a new connection; return status and body, 0 if it fails."""
        head = [
            f"POST {path} HTTP/1.1",
            f"Host: {HOST}",
            f"Authorization: Bearer {key}",
            f"X-Cassiamount-Request-Id: {self.next_request_id()}",
            "X-Cassiamount-Deadline-Ms: 3000",
            f"Content-Length: {len(body)}",
            *head,
        ]
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", vm.ports[0])
            writer.write("\r\n".join(head).encode() + b"\r\n\r\n" + body)
            status, _, body = await read_response(reader)
            writer.close()
        except (OSError, asyncio.IncompleteReadError):
            return 0, b""
        return status, body

    # Disturbances.

    def live_replicas(self, prefix=""):
        """Return the names of the replicas that serve."""
        served = self._servers_of.keys() - self.ended_replicas
        return sorted(name for name in served if name.startswith(prefix))

    async def restart(self, how):
        vm = self.rng.choice(list(self.vms.values()))
        if vm.busy.locked() or sum(v.busy.locked() for v in self.vms.values()) > 1:
            return
        async with vm.busy:
            await vm.end(how)
            await asyncio.sleep(self.rng.uniform(0.0, 0.5))
            await vm.start()

    async def reload(self):
        """Change a settings file, with and without SIGHUP."""
        vm = self.rng.choice(list(self.vms.values()))
        if vm.busy.locked() or vm.ending:
            return
        text = vm.settings_file.read_text()
        vm.settings_file.write_text(text.rstrip() + "\n  RetrySlack: 60\n")
        vm.process.send_signal(signal.SIGHUP)
        await asyncio.sleep(self.rng.uniform(0.0, 1.5))
        vm.settings_file.write_text(text)

    async def publish(self):
        for _ in range(self.rng.randrange(1, 4)):
            self.version += self.rng.randrange(1, 4)
            self.keys = [KEY, f"key-{self.version}"]
            self.write_configuration()
            await asyncio.sleep(self.rng.uniform(0.0, 0.4))

    def write_configuration(self):
        document = configuration(self.version, self.keys)
        self.store.put("keyed.op", "config", document)

    async def restore_store(self):
        """Let the store come back from a copy; its writers write again."""
        if self._restoring:
            return
        self._restoring = True
        copy = {topic: len(records) for topic, records in self.store.topics.items()}
        generation = self.store.generation
        await asyncio.sleep(self.rng.uniform(0.2, 2.0))
        self.store.refusing.add("*")
        await asyncio.sleep(self.rng.uniform(0.0, 1.0))
        self.store.restore(copy, generation)
        self.store.refusing.discard("*")
        await asyncio.sleep(self.rng.uniform(0.0, 0.8))
        self.write_configuration()
        for name in self.live_replicas():
            self.register_replica(name, "llm" if name.startswith("e") else "shop")
        for name in self.unlisted:
            self.store.put("keyed.servers", name, None)
        self._restoring = False

    async def refuse_calls(self):
        self.store.refusing.add("*")
        await asyncio.sleep(self.rng.uniform(0.2, 1.5))
        self.store.refusing.discard("*")

    async def crash_any_engine(self):
        live = self.live_replicas("e")
        if len(live) > 1:
            self.crash(self.rng.choice(live), self.add_engine)

    async def name_limit(self):
        replica = self.replicas[self.rng.choice(self.live_replicas())]
        replica.limit_per_s = self.rng.choice(["1.4", "5", "0.5"])
        await asyncio.sleep(self.rng.uniform(0.5, 3.0))
        replica.limit_per_s = None

    async def stop_under_slow_requests(self):
        """Stop a VM while all servers take long for their answers."""
        slowed = [self.replicas[name] for name in self.live_replicas()]
        for replica in slowed:
            replica.work_s = self.rng.choice([0.0, self.rng.uniform(3.0, 8.0)])
            replica.event_s = self.rng.choice([EVENT_S, self.rng.uniform(0.5, 1.5)])
        await self.restart("term")
        for replica in slowed:
            replica.work_s, replica.event_s = 0.0, EVENT_S

    async def send_crashing_requests(self):
        for _ in range(self.rng.randrange(1, 4)):
            send = self.rng.choice([self.send_crashing, self.send_crashing_body])
            await send(self.rng.choice(list(self.vms.values())))
            await asyncio.sleep(self.rng.uniform(0.0, 0.5))

    async def disturb(self, steps):
        """Begin disturbances one after the other; they overlap."""
        kinds = [
            lambda: self.restart("term"),
            lambda: self.restart("kill"),
            self.reload,
            self.publish,
            self.refuse_calls,
            self.crash_any_engine,
            self.name_limit,
            self.stop_under_slow_requests,
            self.send_crashing_requests,
            self.restore_store,
        ]
        tasks = []
        for _ in range(steps):
            tasks.append(self.spawn(self.rng.choice(kinds)()))
            await asyncio.sleep(self.rng.uniform(0.05, 0.8))
        await asyncio.gather(*tasks, return_exceptions=True)

    # Checks.

    async def check_quarantine(self, send, code):
        """All VMs learn of crashing requests, after which these end no server."""
        async with asyncio.timeout(STEP_TIMEOUT_S):
            known = 0
            while known < len(self.vms) and not self.failures:
                # A server that crashed a moment ago may count once with others.
                await asyncio.sleep(0.3)
                answers = [await send(vm) for vm in self.vms.values()]
                known = sum(code in answer for answer in answers)
        if self.failures:
            return
        crashes = self.crashes
        for vm in self.vms.values():
            for _ in range(3):
                await send(vm)
        if self.crashes > crashes:
            raise SoakFailure(f"{code}: the requests end servers again")

    async def check_changes(self):
        """A new key is accepted by all VMs, and the one before it is not any more."""
        old_key = self.keys[-1]
        self.version += 1
        self.keys = [KEY, NEW_KEY]
        self.write_configuration()
        async with asyncio.timeout(STEP_TIMEOUT_S):
            for vm in self.vms.values():
                while (await self._send(vm, "/buy/x", b"x", key=NEW_KEY))[0] in (
                    0,
                    401,
                ):
                    await asyncio.sleep(0.1)
                while old_key != KEY and (
                    (await self._send(vm, "/buy/x", b"x", key=old_key))[0] != 401
                ):
                    await asyncio.sleep(0.1)

    def check_runs(self):
        """Refused requests did not run, and others not more often than they may."""
        ran = {}
        for replica in self.replicas.values():
            for request_id in replica.ran:
                ran[request_id] = ran.get(request_id, 0) + 1
        for replica in self.replicas.values():
            for seen in replica.seen:
                request_id = seen["x-cassiamount-request-id"]
                if (
                    seen["target"].startswith(("/buy", "/pay"))
                    and ran.get(request_id, 0) > 1
                ):
                    raise SoakFailure(f"{request_id} ran {ran[request_id]} times")
        if wrong := sorted(self.refused & ran.keys()):
            raise SoakFailure(f"refused as not run, but ran: {wrong[:5]}")
        # A replica that ended broke off what it ran.
        broken = {i for name in self.ended_replicas for i in self.replicas[name].ran}
        owed = ran.keys() - broken
        read, excused = self._read_by_vms()
        owed = (owed | read) - broken - excused
        if lost := sorted(item for item in self.lost if item[0] in owed):
            raise SoakFailure(f"read, and the caller got no answer: {lost[:5]}")

    def _read_by_vms(self):
        """Return the requests that VMs have read whole, as their logs tell.

        Returns
        -------
        read, excused : set of str
            Excused are streams that their time limit broke off, and those that the
            end of a stop broke off if they were sent early enough.
        """
        read, excused = set(), set()
        for vm in self.vms.values():
            stopping_at, sent_at = None, {}
            for line in vm.log_file.read_bytes().splitlines():
                if not line.startswith(b"{") or not LOGGED.search(line):
                    continue
                entry = orjson.loads(line)
                at = datetime.fromisoformat(entry["timestamp"])
                request_id = entry.get("request_id")
                if entry["event"] == "stopping":
                    stopping_at = at
                elif entry["event"] == "request_sent":
                    sent_at.setdefault(request_id, at)
                elif entry["event"] == "request_ended":
                    read.add(request_id)
                    is_late = entry["code"] == "broken: stopped" and (
                        (sent_at[request_id] - stopping_at).total_seconds() > LATE_S
                    )
                    if entry["code"] in CUT_OFF and not is_late:
                        excused.add(request_id)
        return read, excused

    def check_logs(self):
        for vm in self.vms.values():
            text = vm.log_file.read_text(errors="replace")
            for sign in ("Traceback", "background_task_failed", "invariant"):
                if sign in text:
                    place = text.index(sign)
                    raise SoakFailure(f"{vm.name}: {text[place : place + 1500]}")

    async def run(self, steps, clients):
        """Run everything and all checks."""
        await self.start()
        tasks = [self.spawn(self.run_client()) for _ in range(clients)]
        await self.disturb(steps)
        try:
            await self.check_quarantine(self.send_crashing, b"prompt_quarantined")
            await self.check_quarantine(self.send_crashing_body, b"request_quarantined")
            await self.check_changes()
        finally:
            self.stopping = True
            await asyncio.wait(tasks)
            for vm in self.vms.values():
                if vm.process.returncode is None:
                    await vm.end("term")
            await self.stop()
        if self.failures:
            raise self.failures[0]
        self.check_logs()
        self.check_runs()


async def read_response(reader):
    """Return status, headers and body of one response."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in head[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = b""
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    else:
        while size := int(await reader.readuntil(b"\r\n"), 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readexactly(2)
    return int(head[0].split()[1]), headers, body


def soak(seed, steps=15, vms=3, engines=3, clients=12):
    """Run one soak; return the fleet with its counts.

    Raises
    ------
    SoakFailure
    """

    async def run(folder):
        fleet = SoakFleet(seed, vms, engines, folder)
        await fleet.run(steps, clients)
        return fleet

    with tempfile.TemporaryDirectory() as folder:
        try:
            return asyncio.run(run(Path(folder)))
        except BaseException:
            for path in sorted(Path(folder).glob("*.log")):
                kept = Path(f"soak-{seed}-{path.name}")
                kept.write_bytes(path.read_bytes())
            raise


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="1", help="one, or a range such as 1-50")
    parser.add_argument("--steps", type=int, default=15)
    parser.add_argument("--vms", type=int, default=3)
    parser.add_argument("--engines", type=int, default=3)
    parser.add_argument("--clients", type=int, default=12)
    options = parser.parse_args()
    first, _, last = options.seeds.partition("-")
    failed = 0
    for seed in range(int(first), int(last or first) + 1):
        try:
            fleet = soak(
                seed, options.steps, options.vms, options.engines, options.clients
            )
        except Exception as error:
            failed += 1
            print(f"seed {seed}: {type(error).__name__}: {error}", flush=True)
        else:
            print(
                f"seed {seed}: {fleet.answered} answers, {len(fleet.refused)} refused "
                f"({dict(fleet.codes.most_common(4))}), "
                f"{fleet.crashes} servers ended",
                flush=True,
            )
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
