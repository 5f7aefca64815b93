"""Background task that drives a VM's leases, budgets and membership."""

import asyncio
import random

import structlog
import xxhash

from .background import BackgroundTasks
from .budget_service import BudgetService
from .budget_shares import zone_share
from .errors import AppendOutcomeUnknown, PlatformUnavailable
from .lease_client import LeaseClient
from .lease_commands import PromiseReply, RequestPromises
from .membership_monitor import MembershipMonitor
from .peer_messages import PeerUnavailable
from .records import ReleaseVm
from .status import LeaseStatus
from .timing import LEASE_MS
from .zone_state import PLACEMENT_LEASE

TICK_MS = 100
# If an appended record was not read back from the log by then, the outcome of the
# append is unknown. A claim or renewal is then sent again unchanged.
APPEND_TIMEOUT_MS = LEASE_MS / 2
# A VM whose zone state is staler than this claims no lease, since it may have missed a
# renewal.
MAX_CLAIM_STALENESS_MS = 2_000
# Interval at which a VM tries to connect to an address to see whether it still listens.
ADDRESS_CHECK_INTERVAL_MS = 1_000

log = structlog.get_logger()


class CoordinationStatus:
    """Leases, token buckets and members of a zone, for status pages.

    Parameters
    ----------
    leases : list of LeaseStatus
    levels : dict of str to (float, int)
        Level and outstanding tokens, by team, of the buckets that this VM owns.
    members : list of str
        Identities of the registered VMs of the zone.
    """

    __slots__ = ("leases", "levels", "members")

    def __init__(self, leases, levels, members):
        self.leases = leases
        self.levels = levels
        self.members = members


class Coordinator:
    """Coordinates one VM with the others of its zone and with the other zones.

    The object must outlive its task, because a restarted task has to respect the
    promises that the VM made and the records that may still reach the log.

    Parameters
    ----------
    identity : str
        ``<name>@<incarnation>``.
    zone, address : str
        This VM's zone, and the address where other VMs reach it.
    follower, appender : Follower, Appender
        Reader and writer of the zone's log stream.
    peers : PeerClient
    vm_list : VmListClient
    clock : SystemClock or ManualClock
    budget_partitions : int
        Number of ``budget/<partition>`` leases.
    log_reached_ms : callable
        Returns the last monotonic time at which this VM reached the log.
    on_leaving_backends : callable, optional
        Called with the names of the leaving backend servers when they change.
    rng : random.Random, optional
    """

    def __init__(
        self,
        identity,
        zone,
        address,
        follower,
        appender,
        peers,
        vm_list,
        clock,
        budget_partitions,
        log_reached_ms,
        on_leaving_backends=None,
        rng=None,
    ):
        self.identity = identity
        self.leaving = False
        self._zone = zone
        self._follower = follower
        self._zone_state = follower.fold
        self._appender = appender
        self._peers = peers
        self._clock = clock
        self._log_reached_ms = log_reached_ms
        self._record_number = 0
        self._tasks = BackgroundTasks()
        self.members = MembershipMonitor(
            identity,
            zone,
            address,
            self._zone_state,
            self._append_best_effort,
            peers,
            vm_list,
            clock,
            self._tasks,
            self._new_id,
            on_leaving_backends,
        )
        budgets = [
            LeaseClient(identity, f"budget/{number}", self._new_id, True, address)
            for number in range(budget_partitions)
        ]
        placement = LeaseClient(identity, PLACEMENT_LEASE, self._new_id, False, address)
        self._clients = {client.lease: client for client in [*budgets, placement]}
        self.budgets = BudgetService(
            identity,
            zone,
            budgets,
            self._zone_state,
            peers,
            clock,
            random.Random() if rng is None else rng,
            self.members.address_of,
            self.members.addresses_by_zone,
        )
        self._appending_ids = set()
        self._loan_report_task = None
        self._address_checked_ms = {}
        follower.add_listener(self._on_followed)

    # Methods for the other parts of the daemon.

    async def run(self):
        """Call `tick` at intervals until the task is cancelled.

        Raises
        ------
        InvariantViolation
            If a budget owner of this VM violated an invariant. Its lease is given up.
        """
        try:
            while True:
                self.tick()
                await asyncio.sleep(TICK_MS / 1000)
        finally:
            self.close()

    def close(self):
        """Cancel the running calls to other VMs and the running appends."""
        self._tasks.cancel()

    async def ask(self, asks):
        """Ask the budget owners for tokens; see `BudgetService.request_tokens`."""
        return await self.budgets.request_tokens(asks)

    async def report(self, report):
        """Report the use of granted tokens; see `BudgetService.report`."""
        return await self.budgets.report(report)

    def set_configuration(self, configuration):
        """Set this zone's share of each team's rate and burst from a configuration."""
        share = zone_share(configuration, self._zone)
        self.budgets.set_shares(
            {
                team.name: (team.rate_tokens_per_s * share, team.burst_tokens * share)
                for team in configuration.teams.values()
            }
        )

    def lease(self, name):
        """Return the `LeaseClient` of a lease of the zone."""
        return self._clients[name]

    def own_leaving_backends(self):
        """Return the backend servers that this VM's VM list says are leaving."""
        return self.members.membership.own_leaving_backends()

    def leaving_backends(self):
        """Return the backend servers that the VM list or a peer says are leaving."""
        return self.members.membership.leaving_backends()

    def peer_addresses(self):
        """Return the addresses of all other entry VMs."""
        return self.members.peer_addresses()

    def zone_peer_addresses(self):
        """Return the addresses of the other entry VMs of the zone."""
        return self.members.peer_addresses(self._zone)

    def peer_demand(self):
        """Return the token demand that probed VMs reported, by identity and model."""
        return self.members.peer_demand()

    def vm_gone(self, identity):
        """Whether the VM with this identity, of any zone, is known to have ended."""
        return self.members.vm_gone(identity)

    def status(self):
        """Return the `CoordinationStatus`."""
        now_ms = self._clock.monotonic_ms()
        leases = []
        for name, lease in sorted(self._zone_state.leases.items()):
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
            leases, self.budgets.levels(), sorted(self._zone_state.roster())
        )

    async def leave(self):
        """Release the leases and the registration of this VM for a planned stop.

        Reports what this zone used of tokens borrowed from other zones. Each release
        of a budget lease carries the bucket levels for the next holder. Returns after
        a bounded time even if the log cannot be reached.
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
                note = self.budgets.hand_over(partition)
            record = client.release(note)
            if record is not None:
                appends.append(self._append_best_effort(record))
        await asyncio.gather(*appends)
        incarnation = self.identity.rpartition("@")[2]
        await self._append_best_effort(
            ReleaseVm(self._new_id(), self.identity, incarnation)
        )

    # Methods for the calls of other VMs.

    async def grant(self, holder, asks, forwarded):
        """Grant tokens of the budgets owned here; see `BudgetService.grant`."""
        return await self.budgets.grant(holder, asks, forwarded)

    async def take_report(self, holder, report, forwarded):
        """Apply a report of used tokens; see `BudgetService.take_report`."""
        return await self.budgets.take_report(holder, report, forwarded)

    async def promise(self, holder, promiser, lease, fence, duration_ms):
        """Answer a request for a promise; see `LeaseCandidate.promise`."""
        client = self._clients.get(lease)
        if client is None or lease == PLACEMENT_LEASE:
            return PromiseReply(False, "the lease cannot be extended")
        now_ms = self._clock.monotonic_ms()
        self._observe(now_ms)
        reached_ms = self._log_reached_ms()
        return client.candidate.promise(
            holder, promiser, fence, duration_ms, now_ms, reached_ms
        )

    # Methods of the task.

    def tick(self):
        """Start the claims, renewals, probes and reports that are due."""
        now_ms = self._clock.monotonic_ms()
        self._observe(now_ms)
        if self.budgets.violation is not None:
            violation, self.budgets.violation = self.budgets.violation, None
            raise violation
        fresh = (
            self._follower.freshness.reached_head
            and self._follower.stale_ms <= MAX_CLAIM_STALENESS_MS
        )
        registered = self.identity in self._zone_state.roster()
        may_claim = fresh and registered and not self.leaving
        for client in self._clients.values():
            if client.holder is None and not may_claim:
                continue
            if client.holder is None:
                self._check_addresses(client.candidate, now_ms)
            for command in client.tick(now_ms, self._rank(client.lease)):
                self._execute(client, command)
        # The holder of the placement lease needs the demand of every VM of the zone,
        # which probe answers carry.
        probe_all = self._clients[PLACEMENT_LEASE].holder is not None
        self.members.tick(now_ms, fresh, self.leaving, probe_all)
        if self._loan_report_task is None or self._loan_report_task.done():
            self._loan_report_task = self._tasks.start(self.budgets.send_loan_reports())

    def _check_addresses(self, candidate, now_ms):
        """Check whether VMs that could promise not to claim the lease have ended."""
        for address in candidate.addresses_to_check():
            if (
                now_ms - self._address_checked_ms.get(address, float("-inf"))
                >= ADDRESS_CHECK_INTERVAL_MS
            ):
                self._address_checked_ms[address] = now_ms
                self._tasks.start(self._check_address(address))

    async def _check_address(self, address):
        if await self._peers.refuses(address):
            log.info("address_closed", address=address)
            now_ms = self._clock.monotonic_ms()
            for client in self._clients.values():
                client.candidate.on_connection_refused(address, now_ms)

    def _on_followed(self, followed):
        self._observe(self._clock.monotonic_ms())
        for change in followed.processed:
            if change.record is None:
                continue
            for client in self._clients.values():
                client.on_record_read(change.record.id)

    def _observe(self, now_ms):
        for client in self._clients.values():
            lost = client.observe(self._zone_state.leases.get(client.lease), now_ms)
            if lost is not None:
                log.info("lease_lost", lease=lost.lease, reason=lost.reason)
        self.members.observe()
        self.budgets.sync(now_ms)

    def _execute(self, client, command):
        if isinstance(command, RequestPromises):
            for promiser in command.promisers:
                self._tasks.start(self._request_promise(client, command, promiser))
        elif command.record.id not in self._appending_ids:
            self._tasks.start(self._append_lease_record(client, command.record))

    def _rank(self, lease):
        def weight(identity):
            return xxhash.xxh64_intdigest(f"{lease} {identity}".encode())

        own = weight(self.identity)
        return sum(weight(each) > own for each in self._zone_state.roster())

    def _new_id(self):
        self._record_number += 1
        return f"{self.identity}#c{self._record_number}"

    async def _append_lease_record(self, client, record):
        """Append a claim or renewal and report the outcome to its `LeaseClient`."""
        self._appending_ids.add(record.id)
        try:
            await self._appender.append(record, APPEND_TIMEOUT_MS)
        except PlatformUnavailable:
            client.on_append_failed(record, maybe_in_log=False)
        except AppendOutcomeUnknown:
            client.on_append_failed(record, maybe_in_log=True)
        except asyncio.CancelledError:
            client.on_append_failed(record, maybe_in_log=True)
            raise
        else:
            self._observe(self._clock.monotonic_ms())
            client.on_record_read(record.id)
        finally:
            self._appending_ids.discard(record.id)

    async def _append_best_effort(self, record):
        """Append a record without retrying; return whether it was read back."""
        try:
            await self._appender.append(record, APPEND_TIMEOUT_MS)
        except (PlatformUnavailable, AppendOutcomeUnknown) as error:
            log.warning("append_failed", record=record.kind, error=repr(error))
            return False
        return True

    async def _request_promise(self, client, request, promiser):
        address = self.members.address_of(promiser)
        if address is None:
            return
        try:
            reply = await self._peers.promise(address, request, promiser)
        except PeerUnavailable:
            return
        client.on_promise_reply(
            request.fence, request.round_number, promiser, reply.promised
        )
