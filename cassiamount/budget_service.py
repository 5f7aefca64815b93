"""Grants tokens of the budgets a VM owns and requests others from their owners."""

import xxhash

from .budget import BudgetOwner
from .budget_messages import Grant, NotOwner, Shortage, TokenRequest, owner_of
from .errors import InvariantViolation, PlatformUnavailable
from .peer_messages import PeerUnavailable

# How long no loans are requested from a zone whose VM could not be reached.
UNREACHABLE_ZONE_BACKOFF_MS = 2_000
# How long no loan is requested for a team after no zone granted one.
LOAN_RETRY_INTERVAL_MS = 100
# A report that could not be delivered for this long is dropped. Its tokens have expired
# at the owner by then, so only refunds are lost.
REPORT_TIMEOUT_MS = 30_000


def budget_partition(team, partitions):
    """Return the budget partition that a team belongs to, by the hash of its name."""
    return xxhash.xxh64_intdigest(team.encode()) % partitions


class BudgetService:
    """Grants tokens of the partitions that this VM owns and requests those of others.

    A VM owns a partition of its zone while it holds the partition's lease. Tokens of
    other partitions are requested from the VMs that own them, and borrowed from other
    zones if this zone has too few.

    Parameters
    ----------
    identity, zone : str
    lease_clients : list of LeaseClient
        Clients of the leases ``budget/<partition>``, by partition.
    zone_state : ZoneState
    peers : PeerClient
    clock : SystemClock or ManualClock
    rng : random.Random
    address_of_member : callable
        Takes the identity of a VM of this zone; returns its address, or None.
    addresses_by_zone : callable
        Returns a dict from each zone to its VMs' addresses by name.
    """

    def __init__(
        self,
        identity,
        zone,
        lease_clients,
        zone_state,
        peers,
        clock,
        rng,
        address_of_member,
        addresses_by_zone,
    ):
        self._identity = identity
        self._zone = zone
        self._lease_clients = lease_clients
        self._zone_state = zone_state
        self._peers = peers
        self._clock = clock
        self._rng = rng
        self._address_of_member = address_of_member
        self._addresses_by_zone = addresses_by_zone
        self._owners = {}
        self._shares = {}
        self._zone_backoff_until_ms = {}
        self._loan_backoff_until_ms = {}
        self._borrowing = set()
        self._first_sent_ms = {}
        # InvariantViolation found while a call was handled; the coordinator's task
        # raises it.
        self.violation = None

    def set_shares(self, shares):
        """Set this zone's share of each team's rate and burst.

        Parameters
        ----------
        shares : dict of str to (float, float)
            Rate in tokens per second and burst in tokens, by team.
        """
        now_ms = self._clock.monotonic_ms()
        for partition, owner in self._owners.items():
            for team in self._shares.keys() - shares.keys():
                if self._partition(team) == partition:
                    owner.remove_team(team, now_ms)
        self._shares = dict(shares)
        for partition, owner in self._owners.items():
            self._set_teams(partition, owner, now_ms)

    def sync(self, now_ms):
        """Create and drop owners as leases are won and lost; update their deadlines."""
        for partition, client in enumerate(self._lease_clients):
            owner = self._owners.get(partition)
            if owner is not None and owner.fence != client.fence:
                del self._owners[partition]
                owner = None
            if owner is None and client.fence is not None:
                owner = BudgetOwner(
                    self._zone, partition, client.fence, now_ms, client.deadline_ms()
                )
                note = self._zone_state.leases[client.lease].note
                if note is not None:
                    owner.take_over(note, now_ms)
                self._set_teams(partition, owner, now_ms)
                self._owners[partition] = owner
            if owner is not None:
                owner.lease_deadline_ms = client.deadline_ms()
                owner.expire_blocks(now_ms)

    def levels(self):
        """Return level and outstanding tokens by team, for the teams owned here."""
        levels = {}
        now_ms = self._clock.monotonic_ms()
        for owner in self._owners.values():
            owner.refill_buckets(now_ms)
            levels.update(owner.levels())
        return levels

    def hand_over(self, partition):
        """Close the owner of a partition; return the note for the next owner."""
        owner = self._owners.get(partition)
        return {} if owner is None else owner.hand_over(self._clock.monotonic_ms())

    async def request_tokens(self, token_requests):
        """Request tokens from this zone's owners, or else from the other zones.

        Other zones are tried for the teams whose owner here did not answer.

        Parameters
        ----------
        token_requests : list of TokenRequest

        Returns
        -------
        dict of str to Grant or Shortage
            By team. A team is absent if no owner answered.
        """
        answers = await self.grant(self._identity, token_requests, True) or {}
        requests_by_address = {}
        for request in token_requests:
            if request.team not in answers:
                address = self._owner_address(self._partition(request.team))
                requests_by_address.setdefault(address, []).append(request)
        for address, group in requests_by_address.items():
            if address is not None:
                answers.update(await self._request_from_peer(address, group))
        unanswered = [
            request for request in token_requests if request.team not in answers
        ]
        for zone in self._other_zones() if unanswered else ():
            group = [request for request in unanswered if request.team not in answers]
            if group:
                answers.update(
                    await self._request_from_zone(zone, self._identity, group)
                )
        return answers

    async def grant(self, holder, token_requests, forwarded):
        """Answer token requests for the teams owned here.

        If the bucket has too few tokens for a VM of this zone, its owner tries to
        borrow them from another zone. Requests of other zones for teams owned by
        another VM of this zone are forwarded to that VM, once.

        Returns
        -------
        dict of str to Grant or Shortage, or None
            By team; None if there is no answer for any team.
        """
        answers = {}
        requests_by_owner_address = {}
        for request in token_requests:
            owner = self._usable_owner(self._partition(request.team))
            answer = NotOwner()
            if owner is not None:
                answer = self._call_owner(
                    owner, owner.grant, request.team, holder, request.want_tokens,
                    request.min_tokens, self._clock.monotonic_ms(),
                )  # fmt: skip
                if isinstance(answer, Shortage) and self._is_local(holder):
                    answer = await self._borrow(owner, holder, request, answer)
            if not isinstance(answer, NotOwner):
                answers[request.team] = answer
            elif not forwarded and not self._is_local(holder):
                address = self._owner_address(self._partition(request.team))
                requests_by_owner_address.setdefault(address, []).append(request)
        for address, group in requests_by_owner_address.items():
            if address is not None:
                answers.update(await self._request_from_peer(address, group, holder))
        return answers or None

    async def report(self, report):
        """Send a report of this VM to its owner.

        Returns
        -------
        bool
            Whether the report need not be sent again: it was acknowledged, no owner
            can apply it any more, or it timed out.
        """
        return await self._deliver(self._identity, report)

    async def take_report(self, holder, report, forwarded):
        """Apply a report of a VM or zone, or forward it to its owner in this zone.

        Returns
        -------
        bool
            False if no owner can apply the report any more.

        Raises
        ------
        PlatformUnavailable
            If this VM does not know the owner yet, or cannot reach it.
        """
        zone, partition, fence = report.owner
        if zone != self._zone or partition >= len(self._lease_clients):
            return False
        owner = self._owners.get(partition)
        if owner is not None and owner.fence == fence:
            now_ms = self._clock.monotonic_ms()
            self._call_owner(
                owner, owner.report, holder, report.sequence, report.uses,
                report.refunds, now_ms,
            )  # fmt: skip
            return True
        lease = self._zone_state.leases.get(self._lease_clients[partition].lease)
        if lease is None or lease.fence < fence:
            raise PlatformUnavailable("the claim of the budget lease is not read yet")
        if lease.fence != fence or forwarded or lease.holder == self._identity:
            return False
        address = self._address_of_member(lease.holder)
        if address is None:
            return False
        try:
            return await self._peers.report(address, holder, report, forwarded=True)
        except PeerUnavailable as error:
            raise PlatformUnavailable(str(error)) from error

    async def send_loan_reports(self):
        """Report the use of loans to their lenders."""
        for owner in list(self._owners.values()):
            identity = f"zone/{self._zone}/{owner.fence}"
            for report in owner.loan_reports():
                if await self._deliver(identity, report):
                    owner.loan_report_done(report)

    async def _deliver(self, holder, report):
        """Send a report; return whether it need not be sent again."""
        now_ms = self._clock.monotonic_ms()
        key = (holder, report.owner, report.sequence)
        first_sent_ms = self._first_sent_ms.setdefault(key, now_ms)
        zone = report.owner[0]
        try:
            if zone == self._zone:
                await self.take_report(holder, report, False)
            else:
                address = self._random_address(zone)
                if address is None:
                    raise PeerUnavailable(f"no address in zone {zone}")
                await self._peers.report(address, holder, report)
        except (PeerUnavailable, PlatformUnavailable):
            if now_ms < first_sent_ms + REPORT_TIMEOUT_MS:
                return False
        self._first_sent_ms.pop(key, None)
        return True

    async def _borrow(self, owner, holder, request, shortage):
        now_ms = self._clock.monotonic_ms()
        if (
            request.team in self._borrowing
            or now_ms < self._loan_backoff_until_ms.get(request.team, 0)
            or not owner.may_grant(now_ms)
        ):
            return shortage
        self._borrowing.add(request.team)
        try:
            identity = f"zone/{self._zone}/{owner.fence}"
            loan_request = TokenRequest(
                request.team, request.want_tokens, request.min_tokens
            )
            for zone in self._other_zones():
                answers = await self._request_from_zone(zone, identity, [loan_request])
                loan = answers.get(request.team)
                if not isinstance(loan, Grant):
                    continue
                now_ms = self._clock.monotonic_ms()
                grant = self._call_owner(
                    owner, owner.add_loan, request.team, holder, loan,
                    owner_of(loan.grant_id), now_ms,
                )  # fmt: skip
                if isinstance(grant, Grant):
                    return grant
        finally:
            self._borrowing.discard(request.team)
        now_ms = self._clock.monotonic_ms()
        self._loan_backoff_until_ms[request.team] = now_ms + LOAN_RETRY_INTERVAL_MS
        return shortage

    async def _request_from_peer(self, address, token_requests, holder=None):
        try:
            answers = await self._peers.grant(
                address,
                holder or self._identity,
                token_requests,
                forwarded=holder is not None,
            )
        except PeerUnavailable:
            return {}
        return answers or {}

    async def _request_from_zone(self, zone, holder, token_requests):
        now_ms = self._clock.monotonic_ms()
        address = self._random_address(zone)
        if address is None or now_ms < self._zone_backoff_until_ms.get(zone, 0):
            return {}
        try:
            return await self._peers.grant(address, holder, token_requests) or {}
        except PeerUnavailable:
            self._zone_backoff_until_ms[zone] = now_ms + UNREACHABLE_ZONE_BACKOFF_MS
            return {}

    def _set_teams(self, partition, owner, now_ms):
        for team, (rate_tokens_per_s, burst_tokens) in self._shares.items():
            if self._partition(team) == partition:
                owner.set_team(team, rate_tokens_per_s, burst_tokens, now_ms)

    def _usable_owner(self, partition):
        now_ms = self._clock.monotonic_ms()
        self.sync(now_ms)
        if not self._lease_clients[partition].may_use(now_ms):
            return None
        return self._owners.get(partition)

    def _call_owner(self, owner, method, *arguments):
        """Call a method of an owner; close the owner if it violates an invariant."""
        try:
            return method(*arguments)
        except InvariantViolation as error:
            owner.closed = True
            self._lease_clients[owner.partition].abandon()
            self.violation = error
            raise

    def _partition(self, team):
        return budget_partition(team, len(self._lease_clients))

    def _is_local(self, holder):
        return holder in self._zone_state.roster() or holder == self._identity

    def _owner_address(self, partition):
        lease = self._zone_state.leases.get(self._lease_clients[partition].lease)
        if lease is None or lease.released or lease.holder == self._identity:
            return None
        return self._address_of_member(lease.holder)

    def _other_zones(self):
        zones = sorted(self._addresses_by_zone().keys() - {self._zone})
        self._rng.shuffle(zones)
        return zones

    def _random_address(self, zone):
        addresses = sorted(self._addresses_by_zone().get(zone, {}).values())
        return self._rng.choice(addresses) if addresses else None
