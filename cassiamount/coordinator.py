"""The task that drives leases, budgets, promises, registration and suspicion."""

import asyncio

import structlog
import xxhash

from .budget_exchange import BudgetExchange
from .errors import AppendOutcomeUnknown, PlatformUnavailable
from .lease_client import LeaseClient
from .lease_commands import AskPromises, PromiseAnswer
from .membership import Membership
from .peer_messages import PeerUnavailable
from .records import RegisterVm, ReleaseVm
from .status import LeaseStatus
from .timing import LEASE_MS
from .zone_state import PLACEMENT_LEASE, vm_name

TICK_MS = 100
# An append that was not read back by then counts as unknown; the record is kept.
APPEND_TIMEOUT_MS = LEASE_MS / 2
# A fold that is staler than this would claim leases that were renewed since.
MAX_CLAIM_STALENESS_MS = 1_000
REGISTER_INTERVAL_MS = 2_000
# Two processes that run under one name must not replace each other for ever.
MAX_REGISTER_INTERVAL_MS = 60_000

log = structlog.get_logger()


class CoordinationStatus:
    """What `Coordinator.status` returns.

    Parameters
    ----------
    leases : list of LeaseStatus
    levels : dict of str to (float, int)
        Level and outstanding tokens of the teams whose bucket is owned here.
    members : list of str
    """

    __slots__ = ("leases", "levels", "members")

    def __init__(self, leases, levels, members):
        self.leases = leases
        self.levels = levels
        self.members = members


class Coordinator:
    """Coordinates one VM with the others of its zone and with the other zones.

    The object outlives its task: it knows promises that were given and records that
    may still arrive in the log. `on_zone_change` must be called after each change of
    the fold, before other code acts on it.

    Parameters
    ----------
    identity : str
        ``<name>@<incarnation>``.
    zone, address : str
        The address where other VMs reach this one.
    fold : ZoneState
    appender : Appender
        Of the zone's stream.
    peers : PeerClient
    clock : SystemClock or ManualClock
    rng : random.Random
    budget_partitions : int
    log_unreached_ms : callable
        Returns the time since this VM reached the log itself.
    stale_ms : callable
        Returns the time since the fold was at the head of its stream, or None.
    on_probe : callable, optional
        Gets each `ProbeInfo` of another VM.
    """

    def __init__(
        self,
        identity,
        zone,
        address,
        fold,
        appender,
        peers,
        clock,
        rng,
        budget_partitions,
        log_unreached_ms,
        stale_ms,
        on_probe=None,
    ):
        self.identity = identity
        self.leaving = False
        self._address = address
        self._fold = fold
        self._appender = appender
        self._peers = peers
        self._clock = clock
        self._log_unreached_ms = log_unreached_ms
        self._stale_ms = stale_ms
        self._on_probe = on_probe
        self._record_number = 0
        self._zone = zone
        self._membership = Membership(identity, zone, self._new_id)
        budgets = [
            LeaseClient(identity, f"budget/{number}", self._new_id, True)
            for number in range(budget_partitions)
        ]
        placement = LeaseClient(identity, PLACEMENT_LEASE, self._new_id, False)
        self._clients = {client.lease: client for client in [*budgets, placement]}
        self._placement = placement
        self.budgets = BudgetExchange(
            identity,
            zone,
            budgets,
            fold,
            peers,
            clock,
            rng,
            self._member_address,
            self._membership.entry_addresses,
        )
        self._addresses = {}
        self._appending = set()
        self._tasks = set()
        self._loan_task = None
        self._register_due_ms = 0.0
        self._register_interval_ms = REGISTER_INTERVAL_MS

    # For the rest of the daemon.

    async def run(self):
        """Drive the decisions for ever.

        Raises
        ------
        InvariantViolation
            If an owner of budgets broke one; its lease is given up.
        """
        try:
            while True:
                self.tick()
                await asyncio.sleep(TICK_MS / 1000)
        finally:
            for task in self._tasks:
                task.cancel()

    async def ask(self, asks):
        """Ask for blocks; see `BudgetExchange.ask`."""
        return await self.budgets.ask(asks)

    async def report(self, reports):
        """Send reports and return those that are done."""
        return await self.budgets.report(reports)

    def set_configuration(self, configuration):
        """Take rates, bursts and the zone's share from a configuration."""
        zone = configuration.zones.get(self._zone)
        total = sum(each.weight for each in configuration.zones.values())
        share = zone.weight / total if zone is not None and total else 0.0
        self.budgets.set_shares(
            {
                team.name: (team.rate_tokens_per_s * share, team.burst_tokens * share)
                for team in configuration.teams.values()
            }
        )

    def on_vm_list(self, listed):
        """Take the platform's VM list."""
        self._membership.on_vm_list(listed)

    def on_zone_change(self):
        """Take note of records that the follower applied."""
        now_ms = self._clock.monotonic_ms()
        for client in self._clients.values():
            stop = client.observe(self._fold.leases.get(client.lease), now_ms)
            if stop is not None:
                log.info("lease_lost", lease=stop.lease, reason=stop.reason)
        self._membership.on_members(self._fold.members)
        for member in self._fold.members.values():
            self._addresses[member.identity] = member.address
        self.budgets.sync(now_ms)

    def placement_fence(self):
        """Return the fence under which this VM may decide placement now, or None."""
        if self._placement.may_use(self._clock.monotonic_ms()):
            return self._placement.fence
        return None

    def own_leaving_backends(self):
        """Return the backend servers that the VM list says are leaving."""
        return self._membership.own_leaving_backends()

    def leaving_backends(self):
        """Return those that the VM list or a peer says are leaving."""
        return self._membership.leaving_backends()

    def vm_state(self, name):
        """Return whether a VM of the zone is live, leaving, gone or unknown."""
        return self._membership.state_of(name, self._clock.monotonic_ms())

    def peer_addresses(self):
        """Return the addresses of the other entry VMs by zone and name."""
        zones = self._membership.entry_addresses()
        own_name = vm_name(self.identity)
        return {
            zone: {name: each for name, each in named.items() if name != own_name}
            for zone, named in zones.items()
        }

    def status(self):
        """Return the `CoordinationStatus`."""
        now_ms = self._clock.monotonic_ms()
        leases = []
        for name, lease in sorted(self._fold.leases.items()):
            client = self._clients.get(name)
            remaining_ms, extended = None, False
            if client is not None and client.holder is not None:
                remaining_ms = max(0.0, client.deadline_ms() - now_ms)
                extended = client.holder.extended
            leases.append(
                LeaseStatus(
                    lease=name,
                    holder="" if lease.released else lease.holder,
                    fence=lease.fence,
                    remaining_ms=remaining_ms,
                    extended=extended,
                )
            )
        return CoordinationStatus(
            leases, self.budgets.levels(), sorted(self._fold.roster())
        )

    async def leave(self):
        """Give up leases and membership for a planned stop.

        Loans are reported and the levels of the buckets are handed to the successor.
        Returns after a bounded time even if the log cannot be reached.
        """
        self.leaving = True
        appends = []
        try:
            async with asyncio.timeout(APPEND_TIMEOUT_MS / 1000):
                await self.budgets.send_loan_reports()
        except TimeoutError:
            log.warning("loans_not_reported")
        for client in self._clients.values():
            note = {}
            if client.lease != PLACEMENT_LEASE:
                partition = int(client.lease.partition("/")[2])
                note = self.budgets.release_note(partition)
            record = client.release(note)
            if record is not None:
                appends.append(self._append_once(record))
        await asyncio.gather(*appends)
        incarnation = self.identity.rpartition("@")[2]
        await self._append_once(ReleaseVm(self._new_id(), self.identity, incarnation))

    # For the service of other VMs.

    async def grant(self, holder, asks, forwarded):
        """Answer asks; see `BudgetExchange.grant`."""
        return await self.budgets.grant(holder, asks, forwarded)

    async def take_report(self, holder, report, forwarded):
        """Apply a report; see `BudgetExchange.take_report`."""
        return await self.budgets.take_report(holder, report, forwarded)

    async def promise(self, holder, promiser, lease, fence, duration_ms):
        """Answer a request for a promise; see `LeaseWatcher.promise`."""
        client = self._clients.get(lease)
        if client is None or lease == PLACEMENT_LEASE:
            return PromiseAnswer(False, "the lease cannot be extended")
        now_ms = self._clock.monotonic_ms()
        reached_ms = now_ms - self._log_unreached_ms()
        return client.watcher.promise(
            holder, promiser, fence, duration_ms, now_ms, reached_ms
        )

    # The task.

    def tick(self):
        """Start what is due; called at intervals by `run`."""
        now_ms = self._clock.monotonic_ms()
        self.on_zone_change()
        if self.budgets.violation is not None:
            violation, self.budgets.violation = self.budgets.violation, None
            raise violation
        fresh = self._is_fresh()
        registered = self.identity in self._fold.roster()
        if fresh and not registered and not self.leaving:
            self._register(now_ms)
        may_claim = fresh and registered and not self.leaving
        for client in self._clients.values():
            if client.holder is None and not may_claim:
                continue
            for command in client.tick(now_ms, self._rank(client.lease)):
                self._execute(client, command)
        for target in self._membership.probes(now_ms):
            self._start(self._probe(target))
        if fresh:
            for record in self._membership.suspicions(now_ms):
                log.info("vm_suspected", vm=record.suspect)
                self._start(self._append_once(record))
        if self._loan_task is None or self._loan_task.done():
            self._loan_task = self._start(self.budgets.send_loan_reports())

    def _execute(self, client, command):
        if isinstance(command, AskPromises):
            for promiser in command.promisers:
                self._start(self._ask_promise(client, command, promiser))
        elif command.record.id not in self._appending:
            self._start(self._append_for(client, command.record))

    def _register(self, now_ms):
        if now_ms < self._register_due_ms:
            return
        self._register_due_ms = now_ms + self._register_interval_ms
        doubled_ms = self._register_interval_ms * 2
        self._register_interval_ms = min(doubled_ms, MAX_REGISTER_INTERVAL_MS)
        incarnation = self.identity.rpartition("@")[2]
        self._start(
            self._append_once(
                RegisterVm(self._new_id(), self.identity, self._address, incarnation)
            )
        )

    def _is_fresh(self):
        stale_ms = self._stale_ms()
        return stale_ms is not None and stale_ms <= MAX_CLAIM_STALENESS_MS

    def _rank(self, lease):
        def weight(identity):
            return xxhash.xxh64_intdigest(f"{lease} {identity}")

        own = weight(self.identity)
        return sum(weight(each) > own for each in self._fold.roster())

    def _member_address(self, identity):
        return self._addresses.get(identity)

    def _new_id(self):
        self._record_number += 1
        return f"{self.identity}#c{self._record_number}"

    def _start(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._ended)
        return task

    def _ended(self, task):
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error("coordination_failed", error=repr(task.exception()))

    async def _append_for(self, client, record):
        """Append a claim or renewal and tell the lease what is known of it."""
        self._appending.add(record.id)
        try:
            async with asyncio.timeout(APPEND_TIMEOUT_MS / 1000):
                await self._appender.append(record)
        except PlatformUnavailable:
            client.append_failed(record, maybe_in_log=False)
        except (AppendOutcomeUnknown, TimeoutError):
            client.append_failed(record, maybe_in_log=True)
        except asyncio.CancelledError:
            client.append_failed(record, maybe_in_log=True)
            raise
        else:
            self.on_zone_change()
            client.append_read(record.id)
        finally:
            self._appending.discard(record.id)

    async def _append_once(self, record):
        """Append a record that can be given up; return whether it was read back."""
        try:
            async with asyncio.timeout(APPEND_TIMEOUT_MS / 1000):
                await self._appender.append(record)
        except (PlatformUnavailable, AppendOutcomeUnknown, TimeoutError) as error:
            log.warning("append_failed", record=record.kind, error=repr(error))
            return False
        return True

    async def _ask_promise(self, client, ask, promiser):
        address = self._member_address(promiser)
        if address is None:
            return
        try:
            answer = await self._peers.promise(address, ask, promiser)
        except PeerUnavailable:
            return
        client.on_promise(ask.fence, ask.round_number, promiser, answer.promised)

    async def _probe(self, target):
        try:
            info = await self._peers.probe(target.address, self.identity)
        except PeerUnavailable:
            self._membership.on_probe_failure(target.name, self._clock.monotonic_ms())
            return
        self._membership.on_probe_answer(
            target.name,
            info.vm,
            info.leaving,
            self._clock.monotonic_ms(),
            info.leaving_backends,
        )
        if self._on_probe is not None:
            self._on_probe(info)
