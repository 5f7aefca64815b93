"""A deployment of stand-ins and daemons on loopback, and callers for process tests."""

import asyncio
import uuid
from collections import Counter

import aiohttp
import orjson

from cassiamount.keys import generate_key, hash_key
from cassiamount.records import GiveKey, WithdrawKey
from standins.generation import answer_text, prompt_of
from tests.process_harness import wait_until

MODEL = "loom"
PRELOAD = ("--preload", f"{MODEL}:1:16")
RATE_TOKENS_PER_S = 40_000
BURST_TOKENS = 40_000
TEAMS = ("team-a", "riggers")
ROUTES = [
    {"path": "/stock", "methods": ["GET"], "idempotent": True},
    {"path": "/print", "methods": ["POST"], "idempotent": False},
]
# A reading caller waits longer than any outage that the tests cause.
CALLER_LIMIT_S = 60


class Answer:
    """What a caller got.

    Parameters
    ----------
    status : int or None
        None if the connection broke or was refused.
    document : dict
        Parsed JSON; empty for a stream.
    text : str
        Generated text.
    whole : bool
        Whether the answer came to its declared end.
    replayed : bool
    """

    __slots__ = ("status", "document", "text", "whole", "replayed")

    def __init__(self, status, document, text, whole, replayed=False):
        self.status = status
        self.document = document
        self.text = text
        self.whole = whole
        self.replayed = replayed

    def __repr__(self):
        return f"Answer({self.status}, {self.document}, whole={self.whole})"

    @property
    def code(self):
        return self.document.get("error", {}).get("code")

    @property
    def not_run(self):
        return self.document.get("not_run")


class Caller:
    """Sends requests with one team's key over kept connections."""

    def __init__(self, http, key):
        self.http = http
        self.key = key

    async def stream(self, daemon, prompt, max_tokens=20):
        """Stream a completion; the answer is whole if the text is the right one."""
        body = {"model": MODEL, "prompt": prompt, "max_tokens": max_tokens}
        answer = await self._request(
            "POST", daemon.url + "/v1/completions", {**body, "stream": True}
        )
        if answer.status == 200 and answer.whole:
            assert answer.text == answer_text(prompt_of(body), max_tokens)
        return answer

    async def print_order(self, daemon, marker, idempotency_key):
        """Send a non-idempotent call; `idempotency_key` may be None."""
        headers = {}
        if idempotency_key is not None:
            headers["Idempotency-Key"] = idempotency_key
        url = daemon.url + "/services/orders/print"
        return await self._request("POST", url, {"marker": marker}, headers)

    async def stock(self, daemon):
        return await self._request("GET", daemon.url + "/services/orders/stock")

    async def _request(self, method, url, body=None, headers=()):
        headers = {"Authorization": f"Bearer {self.key}", **dict(headers)}
        status, document, text, whole = None, {}, "", False
        replayed = False
        try:
            async with self.http.request(
                method, url, json=body, headers=headers
            ) as response:
                status = response.status
                replayed = "Idempotent-Replayed" in response.headers
                if response.content_type == "application/json":
                    document = orjson.loads(await response.read())
                    whole = True
                else:
                    async for line in response.content:
                        data = line.strip().removeprefix(b"data: ")
                        whole = data == b"[DONE]" or whole
                        if data.startswith(b"{"):
                            text += _text_of(orjson.loads(data))
        except (aiohttp.ClientError, OSError):
            whole = False
        return Answer(status, document, text, whole, replayed)


def _text_of(event):
    choices = event.get("choices")
    return choices[0]["text"] if choices else ""


class Load:
    """Sends one stream after another to the daemons that it is told.

    `answers` has a (daemon, prompt, answer) entry for each request that ended.
    """

    def __init__(self, caller, daemons, workers=6, max_tokens=40):
        self._caller = caller
        self._daemons = daemons
        self._max_tokens = max_tokens
        self._stopping = False
        self.answers = []
        self.tasks = [
            asyncio.create_task(self._work(daemons[number % len(daemons)]))
            for number in range(workers)
        ]

    async def _work(self, daemon):
        while not self._stopping:
            prompt = f"load {uuid.uuid4().hex}"
            answer = await self._caller.stream(daemon, prompt, self._max_tokens)
            self.answers.append((daemon, prompt, answer))
            if answer.status != 200:
                await asyncio.sleep(0.1)

    async def finish(self):
        """Let the requests that run come to their end; return all answers."""
        self._stopping = True
        await asyncio.gather(*self.tasks)
        return self.answers

    def count(self, daemon, status=200):
        return sum(
            entry is daemon and answer.status == status and answer.whole
            for entry, _, answer in self.answers
        )

    async def go_on(self, daemon, more=10):
        """Wait until a daemon has completed `more` further requests."""
        goal = self.count(daemon) + more

        async def reached():
            return self.count(daemon) >= goal

        assert await wait_until(reached), (self.statuses(), daemon.log_tail())

    def statuses(self):
        return Counter(
            (daemon.name, answer.status, answer.code, answer.whole)
            for daemon, _, answer in self.answers
        )


class Deployment:
    """The platform, backend servers, keys and daemons of one test.

    Parameters
    ----------
    harness : ProcessHarness
    """

    def __init__(self, harness):
        self.harness = harness
        self.engines = []
        self.services = []
        self.keys = {}
        self.http = None

    async def start(self, zones=("zone-a",), engines=1, services=1, engine_options=()):
        """Start the stand-ins, publish a configuration and give each team a key."""
        harness = self.harness
        self.log = await harness.start_standin("log")
        self.vm_list = await harness.start_standin("vm_list")
        self.weights = await harness.start_standin("weight_store")
        for number in range(engines):
            self.engines.append(
                await harness.start_standin(
                    "engine",
                    *("--memory-mb", 40, "--checks-fence", *PRELOAD),
                    *engine_options,
                    name=f"engine-{number + 1}",
                )
            )
        for number in range(services):
            name = f"orders-{number + 1}"
            service = await harness.start_standin("service", name=name)
            self.services.append(service)
        self.document = self._document(zones)
        self.version = await self.log.publish(self.document)
        for team in TEAMS:
            await self.give_key(team)
        for entry in self.document["backends"]:
            await self.list_vm(
                entry["name"], entry["zone"], entry["address"], "backend"
            )
        self.http = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=CALLER_LIMIT_S),
            connector=aiohttp.TCPConnector(limit=0),
        )

    def _document(self, zones):
        backends = [
            {
                "name": engine.name,
                "zone": zones[number % len(zones)],
                "address": engine.address,
                "kind": "engine",
                "memory_mb": 40,
                "max_running": 16,
                "checks_fence": True,
            }
            for number, engine in enumerate(self.engines)
        ]
        backends += [
            {
                "name": service.name,
                "zone": zones[number % len(zones)],
                "address": service.address,
                "kind": "service",
                "service": "orders",
                "max_running": 16,
            }
            for number, service in enumerate(self.services)
        ]
        return {
            "zones": [{"name": zone, "weight": 1} for zone in zones],
            "models": [{"name": MODEL, "version": "1", "memory_mb": 16, "load_ms": 40}],
            "backends": backends,
            "services": [{"name": "orders", "routes": ROUTES}],
            "teams": [
                {
                    "name": team,
                    "models": [MODEL],
                    "services": ["orders"],
                    "rate_tokens_per_s": RATE_TOKENS_PER_S,
                    "burst_tokens": BURST_TOKENS,
                }
                for team in TEAMS
            ],
        }

    async def close(self):
        if self.http is not None:
            await self.http.close()

    async def list_vm(self, name, zone, address, kind, state="live"):
        entry = {"zone": zone, "address": address, "kind": kind, "state": state}
        await self.vm_list.call("PUT", f"/vms/{name}", entry)

    async def give_key(self, team):
        key = generate_key()
        record = GiveKey(uuid.uuid4().hex, "operator", team, hash_key(key))
        await self.log.append("config", record)
        self.keys[team] = key

    async def withdraw_key(self, team):
        record = WithdrawKey(uuid.uuid4().hex, "operator", hash_key(self.keys[team]))
        await self.log.append("config", record)

    def caller(self, team=TEAMS[0]):
        return Caller(self.http, self.keys[team])

    async def start_daemon(
        self, name, zone="zone-a", served=True, wait_for="/readyz", **settings
    ):
        """Start a daemon and enter it in the VM list.

        Parameters
        ----------
        served : bool
            Whether to wait until it answers requests of all teams.
        wait_for : str or None
            See `Daemon.wait_for`.
        """
        daemon = await self.harness.start_daemon(
            {
                "vm_name": name,
                "zone": zone,
                "log_address": self.log.address,
                "vm_list_address": self.vm_list.address,
                "weight_store_address": self.weights.address,
                "balancer_wait_ms": 200,
                **settings,
            },
            wait_for,
        )
        await self.list_vm(name, zone, daemon.settings["peer_address"], "entry")
        if served:
            await self.wait_served(daemon)
        return daemon

    async def wait_served(self, daemon):
        """Wait until a daemon has all teams' budgets and knows a resident model."""

        async def served():
            callers = [self.caller(team) for team in TEAMS]
            answers = await asyncio.gather(
                *(caller.stream(daemon, "ready", 4) for caller in callers),
                *(caller.stock(daemon) for caller in callers),
            )
            return all(answer.status == 200 for answer in answers)

        assert await wait_until(served), daemon.log_tail()

    async def executions(self, standins=None):
        """Return executions by request identifier, and by marker, of all stand-ins."""
        runs, markers = Counter(), Counter()
        for standin in standins or self.engines + self.services:
            counts = await standin.executions()
            assert counts["keys_seen"] == []
            assert counts.get("overcommit_errors", 0) == 0
            runs.update(counts["executions"])
            markers.update(counts["markers"])
        return runs, markers


async def leases_of(daemon):
    """Return the leases of a daemon's zone by name."""
    return {lease["lease"]: lease for lease in (await daemon.status())["leases"]}


async def identity_of(daemon):
    """Return ``<name>@<incarnation>``."""
    return (await daemon.status())["vm"]
