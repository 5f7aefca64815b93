"""Several VMs in three zones, made of the real objects on in-memory fakes."""

import asyncio
import itertools
import random

from cassiamount.appender import Appender
from cassiamount.budget_holder import BudgetHolder
from cassiamount.budget_messages import Grant
from cassiamount.claim_state import ClaimState
from cassiamount.claims import AppendClaim, ClaimTable, ClaimWon
from cassiamount.config_state import ConfigState
from cassiamount.coordinator import Coordinator
from cassiamount.errors import (
    AppendOutcomeUnknown,
    InvariantViolation,
    PlatformUnavailable,
)
from cassiamount.follower import Follower
from cassiamount.peer_messages import ProbeInfo
from cassiamount.records import ClaimRequest
from cassiamount.timing import MAX_CLOCK_DRIFT
from cassiamount.zone_state import ZoneState

from .virtual import DriftingClock, FakeLogClient, FakePeers

ZONES = ("za", "zb", "zc")
VMS_PER_ZONE = 3
PARTITIONS = 2
TICK_S = 0.1
HOLDER_TICK_S = 0.05


class Vm:
    """One process."""

    def __init__(self, world, name, zone, incarnation):
        self.world = world
        self.name = name
        self.zone = zone
        self.address = f"{name}:1"
        self.identity = f"{name}@{incarnation}"
        rate = world.rng.choice((1 - MAX_CLOCK_DRIFT, 1.0, 1 + MAX_CLOCK_DRIFT))
        self.clock = DriftingClock(world.loop, rate)
        self.log = FakeLogClient(world.log, self.identity, zone)
        self.config, self.config_appender = self._open("config", ConfigState())
        self.zone_follower, zone_appender = self._open(f"zone-{zone}", ZoneState(zone))
        self.claims, self.claims_appender = self._open("claims-0", ClaimState())
        self.coordinator = Coordinator(
            self.identity,
            zone,
            self.address,
            self.zone_follower,
            zone_appender,
            FakePeers(world, self),
            world.vm_list,
            self.clock,
            PARTITIONS,
            self.log_reached_ms,
            rng=random.Random(world.rng.random()),
        )
        self.table = ClaimTable(self.identity, self.coordinator.vm_gone)
        self.holder = BudgetHolder(self.identity)
        self.config.add_listener(self._on_config)
        self._asked = set()
        self._reporting = set()
        self._last_version = 0
        self.tasks = []
        self.jobs = set()

    def _open(self, stream, fold):
        follower = Follower(
            stream, fold, self.log, None, self.clock, rng=random.Random(2)
        )
        appender = Appender(follower, self.log, rng=random.Random(1))
        self._runs = [*getattr(self, "_runs", ()), follower.run, appender.run]
        return follower, appender

    def start(self):
        for run in [*self._runs, self._coordinate, self._hold]:
            task = asyncio.create_task(run())
            task.add_done_callback(self._ended)
            self.tasks.append(task)

    async def stop(self):
        tasks = [*self.tasks, *self.jobs]
        self.coordinator.close()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def log_reached_ms(self):
        reached = [
            follower.freshness.log_reached_ms
            for follower in (self.config, self.zone_follower, self.claims)
        ]
        return max([ms for ms in reached if ms is not None], default=float("-inf"))

    @property
    def fold(self):
        return self.zone_follower.fold

    @property
    def running(self):
        return self.identity not in self.world.faults.paused

    def _on_config(self, followed):
        fold = self.config.fold
        self.world.check("configuration-never-reverts", fold.version, ">=",
                         self._last_version)  # fmt: skip
        if fold.version == self._last_version:
            return
        self._last_version = fold.version
        self.coordinator.set_configuration(fold.configuration)
        now_ms = self.clock.monotonic_ms()
        for team in fold.configuration.teams.values():
            self.holder.set_team(team.name, team.burst_tokens / len(ZONES), now_ms)

    async def _coordinate(self):
        while True:
            await asyncio.sleep(TICK_S)
            await self.world.faults.while_paused(self.identity)
            try:
                self.coordinator.tick()
            except InvariantViolation as error:
                self.world.breach(error.name, str(error))

    async def _hold(self):
        while True:
            await asyncio.sleep(HOLDER_TICK_S)
            await self.world.faults.while_paused(self.identity)
            now_ms = self.clock.monotonic_ms()
            asks = [
                a
                for a in self.holder.due_token_requests(now_ms)
                if a.team not in self._asked
            ]
            if asks:
                self._asked.update(ask.team for ask in asks)
                self.job(self._ask(asks))
            for report in self.holder.reports(now_ms):
                if report not in self._reporting:
                    self._reporting.add(report)
                    self.job(self._report(report))

    def job(self, coroutine):
        task = asyncio.create_task(coroutine)
        self.jobs.add(task)
        task.add_done_callback(self.jobs.discard)
        task.add_done_callback(self._ended)

    def _ended(self, task):
        if not task.cancelled() and task.exception() is not None:
            self.world.breach("task-failed", repr(task.exception()))

    async def _ask(self, asks):
        try:
            answers = await self.coordinator.ask(asks)
        finally:
            self._asked.difference_update(ask.team for ask in asks)
        now_ms = self.clock.monotonic_ms()
        for team, answer in answers.items():
            if isinstance(answer, Grant):
                self.holder.add_grant(team, answer, now_ms)

    async def _report(self, report):
        try:
            if await self.coordinator.report(report):
                self.holder.report_done(report)
        finally:
            self._reporting.discard(report)

    async def request(self, team, tokens, used_tokens, lasts_ms):
        """Charge one request, wait until it ends, and settle it."""
        for _ in range(4):
            if not self.running:
                return False
            charge = self.holder.charge(team, tokens, self.clock.monotonic_ms())
            if charge is not None:
                break
            await asyncio.sleep(HOLDER_TICK_S)
        else:
            return False
        entry = self.world.charged(team, tokens)
        await asyncio.sleep(lasts_ms / 1000)
        await self.world.faults.while_paused(self.identity)
        entry[1] = used_tokens
        self.holder.settle(charge, used_tokens, self.clock.monotonic_ms())
        return True

    async def claim_and_run(self, key, request_id):
        """Run a non-idempotent request if its claim is won."""
        fold = self.claims.fold
        decision = self.table.decide(fold.lookup("t0", key, "f"), request_id, "f")
        if not isinstance(decision, AppendClaim):
            return
        self.table.mark_claimed(request_id)
        record = ClaimRequest(
            f"{self.identity}/{request_id}",
            self.identity,
            "t0",
            key,
            "f",
            request_id,
            self.clock.wall_ms(),
        )
        try:
            await self.claims_appender.append(record)
        except (PlatformUnavailable, AppendOutcomeUnknown):
            self.table.discard_claim(request_id)
            return
        decision = self.table.decide(fold.lookup("t0", key, "f"), request_id, "f")
        if isinstance(decision, ClaimWon):
            fold.check_dispatch(request_id)
            self.table.mark_dispatched(request_id)
            self.world.executed(key)

    # What other VMs call.

    async def grant(self, holder, asks, forwarded):
        return await self.coordinator.grant(holder, asks, forwarded)

    async def take_report(self, holder, report, forwarded):
        return await self.coordinator.take_report(holder, report, forwarded)

    async def promise(self, *arguments):
        answer = await self.coordinator.promise(*arguments)
        self.world.faults.count("promise" if answer.promised else "promise-refused")
        return answer

    async def probe(self):
        return ProbeInfo(self.identity, self.zone, True, self.coordinator.leaving)


def vm_names():
    """Return name and zone of every VM."""
    for zone, number in itertools.product(ZONES, range(VMS_PER_ZONE)):
        yield f"{zone}-{number}", zone
