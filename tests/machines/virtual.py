"""An event loop on virtual time, and in-memory fakes of the interfaces."""

import asyncio
import selectors

from cassiamount import peer_wire as wire
from cassiamount.errors import AppendOutcomeUnknown, OffsetTrimmed, PlatformUnavailable
from cassiamount.lease_commands import PromiseReply
from cassiamount.log_client import LogPage
from cassiamount.peer_messages import PeerUnavailable
from cassiamount.timing import at_most_ms
from cassiamount.vm_list_client import ListedVm

CALL_TIMEOUT_MS = 500.0
VM_LIST_LAG_MS = 3_000.0


class _SkippingSelector(selectors.SelectSelector):
    """Advances the loop's time where a real one would wait."""

    loop = None

    def select(self, timeout=None):
        if timeout:
            self.loop.true_ms += timeout * 1000
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Runs without waiting; the order of events depends only on the program."""

    def __init__(self):
        selector = _SkippingSelector()
        selector.loop = self
        self.true_ms = 0.0
        super().__init__(selector)

    def time(self):
        return self.true_ms / 1000


class DriftingClock:
    """Monotonic clock of one VM."""

    def __init__(self, loop, rate):
        self._loop = loop
        self._rate = rate

    def monotonic_ms(self):
        return self._loop.true_ms * self._rate

    def wall_ms(self):
        return 1_700_000_000_000 + int(self._loop.true_ms)


class Faults:
    """What is broken now; every fake looks here."""

    def __init__(self, rng):
        self.rng = rng
        self.log_up = True
        self.cut_from_log = set()
        self.cut_zones = set()
        self.paused = set()
        self.dead = set()
        self.loss = 0.0
        self.delay_ms = 1.0
        self.counts = {}

    def count(self, kind):
        self.counts[kind] = self.counts.get(kind, 0) + 1

    async def travel(self):
        """Wait for the time of one message; messages overtake each other."""
        await asyncio.sleep(self.rng.uniform(0.2, 1.8) * self.delay_ms / 1000)

    def loses(self, kind):
        if self.rng.random() < self.loss:
            self.count(kind)
            return True
        return False

    async def while_paused(self, identity):
        while identity in self.paused:
            await asyncio.sleep(0.05)


class FakeLog:
    """The log service: streams of JSON values."""

    def __init__(self, faults):
        self.faults = faults
        self.streams = {}
        self.earliest = {}


class FakeLogClient:
    """One VM's client of the log, as `LogClient`."""

    def __init__(self, log, identity, zone):
        self._log = log
        self._identity = identity
        self._zone = zone

    def _reachable(self):
        faults = self._log.faults
        return (
            faults.log_up
            and self._identity not in faults.cut_from_log
            and self._zone not in faults.cut_zones
            and self._identity not in faults.dead
        )

    async def append(self, stream, values):
        faults = self._log.faults
        await faults.while_paused(self._identity)
        if not self._reachable():
            raise PlatformUnavailable("the log cannot be reached")
        if faults.loses("append-late"):
            # Arrives long after its sender has given up.
            asyncio.get_running_loop().call_later(
                faults.rng.uniform(0.1, 9.0), self._store, stream, values
            )
            raise AppendOutcomeUnknown("no answer")
        await faults.travel()
        if not faults.log_up:
            raise PlatformUnavailable("the log is down")
        offsets = self._store(stream, values)
        await faults.travel()
        if faults.loses("append-answer-lost"):
            raise AppendOutcomeUnknown("the answer was lost")
        return offsets

    def _store(self, stream, values):
        records = self._log.streams.setdefault(stream, [])
        records.extend(values)
        return list(range(len(records) - len(values), len(records)))

    async def read(self, stream, from_offset, limit, wait_ms=0):
        faults = self._log.faults
        await faults.while_paused(self._identity)
        if not self._reachable():
            raise PlatformUnavailable("the log cannot be reached")
        records = self._log.streams.setdefault(stream, [])
        earliest = self._log.earliest.get(stream, 0)
        if from_offset < earliest:
            raise OffsetTrimmed(stream, earliest)
        waited_ms = 0.0
        while len(records) <= from_offset and waited_ms < wait_ms:
            await asyncio.sleep(0.05)
            waited_ms += 50.0
            if not self._reachable():
                raise PlatformUnavailable("the connection broke")
        await faults.travel()
        page = list(enumerate(records))[from_offset:][:limit]
        next_offset = len(records)
        await faults.while_paused(self._identity)
        return LogPage(page, earliest, next_offset)


class FakePeers:
    """One VM's client of the others, as `PeerClient`, through the real messages."""

    def __init__(self, world, vm):
        self._world = world
        self._vm = vm

    async def _call(self, address, method, *arguments):
        faults = self._world.faults
        target = self._world.by_address.get(address)
        try:
            async with asyncio.timeout(CALL_TIMEOUT_MS / 1000):
                await faults.travel()
                if target is None or target.identity in faults.dead:
                    raise PeerUnavailable("connection refused")
                zones = {self._vm.zone, target.zone}
                if len(zones) == 2 and zones & faults.cut_zones:
                    await asyncio.sleep(CALL_TIMEOUT_MS)
                if faults.loses("message-lost"):
                    await asyncio.sleep(CALL_TIMEOUT_MS)
                await faults.while_paused(target.identity)
                answer = await getattr(target, method)(*arguments)
                if faults.loses("message-repeated"):
                    answer = await getattr(target, method)(*arguments)
                await faults.travel()
                if faults.loses("answer-lost"):
                    await asyncio.sleep(CALL_TIMEOUT_MS)
                await faults.while_paused(self._vm.identity)
                return answer
        except (TimeoutError, PlatformUnavailable) as error:
            raise PeerUnavailable(str(error)) from error

    async def grant(self, address, holder, asks, forwarded=False):
        sent_ms = self._vm.clock.monotonic_ms()
        request = wire.grant_request(holder, asks)
        answers = await self._call(
            address, "grant", request.holder, wire.parse_asks(request), forwarded
        )
        reply = wire.grant_reply(answers)
        return wire.parse_grant_reply(reply, sent_ms, at_most_ms)

    async def report(self, address, holder, report, forwarded=False):
        request = wire.report_request(holder, report)
        parsed = wire.parse_report(request)
        return await self._call(address, "take_report", holder, parsed, forwarded)

    async def promise(self, address, ask, promiser):
        answer = await self._call(
            address,
            "promise",
            ask.holder,
            promiser,
            ask.lease,
            ask.fence,
            ask.duration_ms,
        )
        return PromiseReply(answer.promised, answer.reason)

    async def refuses(self, address):
        try:
            await self._call(address, "probe")
        except PeerUnavailable as error:
            return str(error) == "connection refused"
        return False

    async def probe(self, address, vm):
        return await self._call(address, "probe")

    async def keep_only(self, addresses):
        return None


class FakeVmList:
    """The platform's list, late by its lag."""

    def __init__(self, loop):
        self._loop = loop
        self._versions = [(0.0, ())]

    def publish(self, entries):
        """Take the true state: (name, zone, address, kind, state)."""
        self._versions.append((self._loop.true_ms + VM_LIST_LAG_MS, tuple(entries)))

    async def list_vms(self):
        current = [v for at_ms, v in self._versions if at_ms <= self._loop.true_ms]
        return [ListedVm(*entry) for entry in current[-1]]
