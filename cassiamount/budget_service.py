"""One VM's part in the zone's budgets: its owners, its asks, loans between zones."""

import xxhash

from .budget import BudgetOwner
from .budget_messages import Grant, NotOwner, Shortage, TokenRequest, owner_of
from .errors import InvariantViolation, PlatformUnavailable
from .peer_messages import PeerUnavailable

# A zone that did not answer is not asked for loans for this long.
UNREACHABLE_ZONE_BACKOFF_MS = 2_000
# After all zones refused a loan, the team's next one is not asked for sooner.
LOAN_RETRY_INTERVAL_MS = 100
# A report that could not be delivered for this long is given up: the tokens in it
# have expired at the owner, only refunds are lost.
REPORT_TIMEOUT_MS = 30_000


def budget_partition(team, partitions):
    """Return the partition of a team."""
    return xxhash.xxh64_intdigest(team.encode()) % partitions


class BudgetService:
    """Owns the buckets of the partitions whose leases this VM has, and asks others.

    Parameters
    ----------
    identity, zone : str
    clients : list of LeaseClient
        Of the leases ``budget/<partition>``, by partition.
    fold : ZoneState
    peers : PeerClient
    clock : SystemClock or ManualClock
    rng : random.Random
    member_address : callable
        Returns the address of an identity, or None.
    zone_addresses : callable
        Returns the addresses of entry VMs by zone.
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
        # Set by a handler; raised by the coordinator's task.
        self.violation = None

    def set_shares(self, shares):
        """Set the zone's share of the teams' budgets.

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
        """Create and drop owners as the leases say, and pass their deadlines on."""
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
        """Return level and outstanding tokens of the owned teams."""
        levels = {}
        now_ms = self._clock.monotonic_ms()
        for owner in self._owners.values():
            owner.refill_buckets(now_ms)
            levels.update(owner.levels())
        return levels

    def hand_over(self, partition):
        """Close the owner of a partition and return the note for its successor."""
        owner = self._owners.get(partition)
        return {} if owner is None else owner.hand_over(self._clock.monotonic_ms())

    async def request_tokens(self, token_requests):
        """Ask the owners of the zone, or else those of the other zones.

        Parameters
        ----------
        asks : list of Ask

        Returns
        -------
        dict of str to Grant or Shortage
            By team. A team is absent if no owner could be asked.
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
        """Answer asks for teams that are owned here; pass on those of other zones.

        Returns
        -------
        dict of str to Grant or Shortage, or None
            None if no team is owned here.
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
        """Send a report of this VM to the owner that it is for.

        Returns
        -------
        bool
            Whether the report is done: answered, or of no use to any owner.
        """
        return await self._deliver(self._identity, report)

    async def take_report(self, holder, report, forwarded):
        """Apply a report of another VM or zone, or pass it on within the zone.

        Returns
        -------
        bool
            False if no owner can use the report.

        Raises
        ------
        PlatformUnavailable
            If this VM does not know yet who the owner is.
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
            raise PlatformUnavailable("the owner is not known here yet")
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
        """Send what was used of loans to their lenders."""
        for owner in list(self._owners.values()):
            identity = f"zone/{self._zone}/{owner.fence}"
            for report in owner.loan_reports():
                if await self._deliver(identity, report):
                    owner.loan_report_done(report)

    async def _deliver(self, holder, report):
        """Return whether the report is done."""
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
        """Call an owner; one that breaks an invariant is not used again."""
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
