"""Registers this VM, probes other VMs, reads the VM list and reports stopped VMs."""

import structlog

from .errors import PlatformUnavailable
from .membership import GONE, Membership
from .peer_messages import PeerUnavailable
from .records import RegisterVm
from .zone_state import vm_name

VM_LIST_INTERVAL_MS = 1_000
REGISTER_INTERVAL_MS = 2_000
# The interval doubles up to this limit: two processes that run under one name replace
# each other's registration, and must not fill the log with it.
MAX_REGISTER_INTERVAL_MS = 60_000
CHANNEL_CLEANUP_MS = 30_000

log = structlog.get_logger()


class MembershipMonitor:
    """Keeps a `Membership` up to date, and the registration of this VM in the log.

    A `Coordinator` calls `tick` at short intervals; the work runs in its background
    tasks.

    Parameters
    ----------
    identity, zone, address : str
        Identity of this VM, its zone, and the address where other VMs reach it.
    zone_state : ZoneState
    append : callable
        Coroutine function that appends a record and does not retry if that fails.
    peers : PeerClient
    vm_list : VmListClient
    clock : SystemClock or ManualClock
    tasks : BackgroundTasks
    new_id : callable
        Returns a unique record id.
    on_leaving_backends : callable, optional
        Called with the names of the leaving backend servers when they change.
    """

    def __init__(
        self,
        identity,
        zone,
        address,
        zone_state,
        append,
        peers,
        vm_list,
        clock,
        tasks,
        new_id,
        on_leaving_backends=None,
    ):
        self.membership = Membership(identity, zone, new_id)
        self._identity = identity
        self._zone = zone
        self._address = address
        self._zone_state = zone_state
        self._append = append
        self._peers = peers
        self._vm_list = vm_list
        self._clock = clock
        self._tasks = tasks
        self._new_id = new_id
        self._on_leaving_backends = on_leaving_backends
        # Called with each `ProbeInfo` that another VM returns; set by the node.
        self.on_probe = None
        self._notified_leaving_backends = frozenset()
        self._addresses = {}
        self._peer_demand = {}
        self._vm_list_task = None
        self._has_vm_list = False
        self._vm_list_due_ms = float("-inf")
        self._cleanup_due_ms = float("-inf")
        self._register_due_ms = float("-inf")
        self._register_interval_ms = REGISTER_INTERVAL_MS

    def observe(self):
        """Update the members and their addresses from the zone state."""
        self.membership.on_members(self._zone_state.members)
        for member in self._zone_state.members.values():
            self._addresses[member.identity] = member.address

    def tick(self, now_ms, fresh, leaving, probe_all):
        """Start the registrations, probes, reports and list reads that are due.

        Parameters
        ----------
        now_ms : float
        fresh : bool
            Whether the zone state includes nearly all records of the log.
        leaving : bool
            Whether this VM is stopping.
        probe_all : bool
            Whether to probe all VMs of the zone.
        """
        if self._identity in self._zone_state.roster():
            if now_ms >= self._register_due_ms:
                self._register_interval_ms = REGISTER_INTERVAL_MS
        elif fresh and not leaving:
            self._register(now_ms)
        for target in self.membership.due_probes(now_ms, probe_all):
            self._tasks.start(self._probe(target))
        if fresh and not leaving:
            for record in self.membership.suspicions(now_ms):
                log.info("vm_suspected", vm=record.suspect)
                self._tasks.start(self._append(record))
        if now_ms >= self._vm_list_due_ms and (
            self._vm_list_task is None or self._vm_list_task.done()
        ):
            self._vm_list_due_ms = now_ms + VM_LIST_INTERVAL_MS
            self._vm_list_task = self._tasks.start(self._read_vm_list())
        if now_ms >= self._cleanup_due_ms:
            self._cleanup_due_ms = now_ms + CHANNEL_CLEANUP_MS
            self._forget_departed_vms()
        self._notify_leaving_backends()

    def address_of(self, identity):
        """Return the last known address of an identity, or None."""
        return self._addresses.get(identity)

    def addresses_by_zone(self):
        """Return the addresses of listed and registered entry VMs by zone and name."""
        return self.membership.addresses_by_zone()

    def peer_addresses(self, only_zone=None):
        """Return the addresses of the other entry VMs, of one zone or of all."""
        own_name = vm_name(self._identity)
        return sorted(
            address
            for zone, zone_addresses in self.membership.addresses_by_zone().items()
            for name, address in zone_addresses.items()
            if name != own_name and only_zone in (None, zone)
        )

    def peer_demand(self):
        """Return the token demand that probed VMs reported, by identity and model."""
        return dict(self._peer_demand)

    def vm_gone(self, identity):
        """Whether the process with this identity is known to have ended.

        A VM of another zone counts as gone when the VM list no longer has its name.
        """
        if identity == self._identity:
            return False
        name = vm_name(identity)
        if identity in self._zone_state.roster():
            now_ms = self._clock.monotonic_ms()
            return self.membership.state_of(name, now_ms) == GONE
        if name in self._zone_state.members or identity in self._addresses:
            return True
        return self._has_vm_list and not self.membership.is_listed(name)

    def _register(self, now_ms):
        if now_ms < self._register_due_ms:
            return
        self._register_due_ms = now_ms + self._register_interval_ms
        doubled_ms = self._register_interval_ms * 2
        self._register_interval_ms = min(doubled_ms, MAX_REGISTER_INTERVAL_MS)
        incarnation = self._identity.rpartition("@")[2]
        record = RegisterVm(self._new_id(), self._identity, self._address, incarnation)
        self._tasks.start(self._append(record))

    def _notify_leaving_backends(self):
        leaving = self.membership.leaving_backends()
        if (
            leaving != self._notified_leaving_backends
            and self._on_leaving_backends is not None
        ):
            self._notified_leaving_backends = leaving
            self._on_leaving_backends(leaving)

    def _forget_departed_vms(self):
        roster = self._zone_state.roster()
        leases = self._zone_state.leases.values()
        referenced = roster.union(*(lease.roster for lease in leases))
        referenced |= {lease.holder for lease in leases}
        self._addresses = {
            identity: address
            for identity, address in self._addresses.items()
            if identity in referenced
        }
        self._peer_demand = {
            identity: demand
            for identity, demand in self._peer_demand.items()
            if identity in roster
        }
        addresses = {*self._addresses.values(), *self.peer_addresses()}
        self._tasks.start(self._peers.keep_only(addresses))

    async def _read_vm_list(self):
        try:
            listed = await self._vm_list.list_vms()
        except PlatformUnavailable as error:
            log.info("vm_list_unavailable", error=str(error))
            return
        self.membership.on_vm_list(listed)
        self._has_vm_list = True
        self._notify_leaving_backends()

    async def _probe(self, target):
        try:
            info = await self._peers.probe(target.address, self._identity)
        except PeerUnavailable:
            self.membership.on_probe_failure(target.name, self._clock.monotonic_ms())
            return
        self.membership.on_probe_answer(
            target.name,
            info.vm,
            info.leaving,
            self._clock.monotonic_ms(),
            info.leaving_backends,
        )
        self._peer_demand[info.vm] = info.demand_tokens
        if self.on_probe is not None:
            self.on_probe(info)
