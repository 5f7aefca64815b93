"""Owner of the token buckets under one lease: grants, refunds, loans, takeover."""

import heapq
import math
from collections import OrderedDict

from .budget_messages import Grant, NotOwner, Refund, Report, Shortage, Use
from .budget_shares import LOAN_RESERVE_FRACTION
from .invariants import BUDGET_NOT_EXCEEDED, require
from .timing import LEASE_MS, MAX_CLOCK_DRIFT, at_least_ms, at_most_ms
from .token_bucket import TokenBucket

__all__ = ["BudgetOwner", "Grant", "Shortage", "TokenBucket"]

# Lifetime of a granted block: long enough for a slow holder to report its use, short
# compared with a lease.
BLOCK_LIFETIME_MS = 2_000
# A block with a shorter lifetime would expire before it reaches the holder.
MIN_BLOCK_LIFETIME_MS = 20
# Expired blocks that are kept so that late refunds can be applied. Refunds of older
# blocks are ignored.
MAX_CLOSED_BLOCKS = 50_000
MAX_RETRY_AFTER_MS = 60_000
LOAN_HOLDER_PREFIX = "zone/"


class _Block:
    __slots__ = (
        "team",
        "holder",
        "outstanding_tokens",
        "used_tokens",
        "use_event",
        "loan",
    )

    def __init__(self, team, holder, tokens, loan=None):
        self.team = team
        self.holder = holder
        self.outstanding_tokens = tokens
        # Tokens that were reported as used, or that expired, and were not refunded.
        self.used_tokens = 0
        # Event number of the first `TokenBucket.use` of the block's tokens.
        self.use_event = None
        # Lender and its grant id, if the block was lent by another zone's owner.
        self.loan = loan


class BudgetOwner:
    """Grants tokens of the teams of one partition in one zone.

    The VM that holds the lease ``budget/<partition>`` has one. It lends blocks of
    tokens to the zone's VMs and to the owners of other zones.

    Parameters
    ----------
    zone : str
    partition : int
    fence : int
        Fencing token of the lease.
    now_ms : float
    lease_deadline_ms : float
        Local time at which the lease expires; every block expires before.
    """

    def __init__(self, zone, partition, fence, now_ms, lease_deadline_ms):
        self.zone = zone
        self.partition = partition
        self.fence = fence
        self.lease_deadline_ms = lease_deadline_ms
        self.closed = False
        self._buckets = {}
        self._predecessor_note = {}
        self._predecessor_blocks_until_ms = now_ms
        self._blocks = {}
        self._closed_blocks = OrderedDict()
        self._expiry_heap = []
        self._next_grant_number = 1
        self._last_sequences = {}
        self._loan_uses = {}
        self._loan_refunds = {}
        self._pending_loan_reports = {}
        self._next_sequence = 1

    def take_over(self, note, read_ms):
        """Start from the state that the previous owner left when it released the lease.

        Needed only if the lease was released: once a lease has expired, no block of it
        is valid any more. A team without a well-formed entry is assumed to have its
        whole burst in valid blocks, for example if an operator released the lease of a
        dead owner.

        Parameters
        ----------
        note : dict
            ``{team: [level_tokens, outstanding_tokens]}``, as `hand_over` returns it.
        read_ms : float
            Local time at which the release was read from the log.
        """
        self._predecessor_note = note
        self._predecessor_blocks_until_ms = read_ms + at_least_ms(LEASE_MS)

    def set_team(self, team, rate_tokens_per_s, burst_tokens, now_ms):
        """Set the zone's share of a team's rate and burst.

        A new bucket starts with the level from the previous owner's note. Without a
        note it starts empty, because it is not known what the previous owner granted.
        """
        bucket = self._buckets.get(team)
        if bucket is not None:
            if (rate_tokens_per_s, burst_tokens) != (
                bucket.rate_tokens_per_s,
                bucket.burst_tokens,
            ):
                bucket.resize(rate_tokens_per_s, burst_tokens, now_ms)
            return
        bucket = TokenBucket(rate_tokens_per_s, burst_tokens, now_ms)
        self._buckets[team] = bucket
        if self._predecessor_blocks_until_ms <= now_ms:
            return
        outstanding_tokens = math.ceil(burst_tokens)
        entry = self._predecessor_note.get(team)
        if (
            isinstance(entry, list)
            and len(entry) == 2
            and all(type(tokens) is int and tokens >= 0 for tokens in entry)
        ):
            outstanding_tokens = min(entry[1], outstanding_tokens)
            bucket.level_tokens = min(entry[0], burst_tokens - outstanding_tokens)
            bucket.level_tokens = max(0.0, bucket.level_tokens)
        if outstanding_tokens:
            bucket.add_outstanding(outstanding_tokens)
            block = _Block(team, "", outstanding_tokens)
            self._add_block(
                self._new_grant_id(), block, self._predecessor_blocks_until_ms
            )

    def remove_team(self, team, now_ms):
        """Stop granting tokens of a team that was removed from the configuration."""
        if team in self._buckets:
            self._buckets[team].resize(0.0, 0.0, now_ms)

    def grant(self, team, holder, want_tokens, min_tokens, now_ms):
        """Lend a block of at least `min_tokens` and at most `want_tokens`.

        Parameters
        ----------
        team : str
        holder : str
            Identity of a VM, or ``zone/<zone>/<fence>`` for a loan to the owner of
            another zone.
        want_tokens, min_tokens : int
        now_ms : float

        Returns
        -------
        Grant or Shortage or NotOwner
        """
        self.expire_blocks(now_ms)
        bucket = self._buckets.get(team)
        if bucket is None or not self.may_grant(now_ms):
            return NotOwner()
        bucket.refill(now_ms)
        available_tokens = bucket.level_tokens
        if holder.startswith(LOAN_HOLDER_PREFIX):
            available_tokens -= bucket.burst_tokens * LOAN_RESERVE_FRACTION
        tokens = min(want_tokens, math.floor(available_tokens))
        if tokens < max(1, min_tokens):
            missing_tokens = max(1, min_tokens) - available_tokens
            wait_ms = bucket.wait_ms(bucket.level_tokens + missing_tokens)
            return Shortage(min(wait_ms, MAX_RETRY_AFTER_MS))
        bucket.lend(tokens, now_ms)
        return self._issue(_Block(team, holder, tokens), BLOCK_LIFETIME_MS, now_ms)

    def add_loan(self, team, holder, loan, owner, now_ms):
        """Grant a block that another zone's owner lent to a holder of this zone.

        The tokens do not enter this zone's bucket. Uses and refunds of the new block
        are reported to the lender.

        Parameters
        ----------
        team, holder : str
        loan : Grant
            Its deadline is in this VM's local time.
        owner : tuple of (str, int, int)
            Zone, partition and fence of the lender.
        now_ms : float

        Returns
        -------
        Grant or NotOwner
        """
        self.expire_blocks(now_ms)
        lifetime_ms = (loan.deadline_ms - now_ms) / (1 + MAX_CLOCK_DRIFT)
        if lifetime_ms < MIN_BLOCK_LIFETIME_MS or not self.may_grant(now_ms):
            return NotOwner()
        block = _Block(team, holder, loan.tokens, (owner, loan.grant_id))
        return self._issue(block, lifetime_ms, now_ms)

    def report(self, holder, sequence, uses, refunds, now_ms):
        """Apply a holder's report of used, returned and refunded tokens.

        Parameters
        ----------
        holder : str
        sequence : int
            A holder numbers its reports upwards. A number at or below the last one
            marks a report that was sent again.
        uses : list of Use
        refunds : list of Refund
        now_ms : float

        Returns
        -------
        bool
            False if the report was already applied.
        """
        self.expire_blocks(now_ms)
        if sequence <= self._last_sequences.get(holder, 0):
            return False
        self._last_sequences[holder] = sequence
        for use in uses:
            block = self._find_block(use.grant_id, holder)
            if block is not None:
                self._apply_use(block, use, now_ms)
        for refund in refunds:
            block = self._find_block(refund.grant_id, holder)
            if block is not None:
                self._apply_refund(block, refund.tokens, refund.charged_age_ms, now_ms)
        return True

    def loan_reports(self):
        """Return the reports that lenders have not acknowledged yet.

        At most one report per lender is pending; it is sent again unchanged until
        `loan_report_done` is called.

        Returns
        -------
        list of Report
        """
        for owner in [*self._loan_uses, *self._loan_refunds]:
            if owner not in self._pending_loan_reports:
                self._pending_loan_reports[owner] = Report(
                    owner,
                    self._next_sequence,
                    list(self._loan_uses.pop(owner, {}).values()),
                    self._loan_refunds.pop(owner, []),
                )
                self._next_sequence += 1
        return list(self._pending_loan_reports.values())

    def loan_report_done(self, report):
        """Remove a report that the lender acknowledged or can no longer apply."""
        self._pending_loan_reports.pop(report.owner, None)

    def may_grant(self, now_ms):
        """Return whether a block granted now would outlive its way to the holder."""
        earliest_expiry_ms = now_ms + at_least_ms(MIN_BLOCK_LIFETIME_MS)
        return not self.closed and earliest_expiry_ms <= self.lease_deadline_ms

    def hand_over(self, now_ms):
        """Stop granting for good and return the note for the next owner's takeover."""
        self.expire_blocks(now_ms)
        self.closed = True
        note = {}
        for team, bucket in self._buckets.items():
            bucket.refill(now_ms)
            note[team] = [math.floor(bucket.level_tokens), bucket.outstanding_tokens]
        return note

    def refill_buckets(self, now_ms):
        """Expire blocks and refill all buckets; a grant refills only its team's."""
        self.expire_blocks(now_ms)
        for bucket in self._buckets.values():
            bucket.refill(now_ms)

    def levels(self):
        """Return level and outstanding tokens by team, for the status output."""
        return {
            team: (bucket.level_tokens, bucket.outstanding_tokens)
            for team, bucket in self._buckets.items()
        }

    def expire_blocks(self, now_ms):
        """Count the outstanding tokens of expired blocks as used."""
        while self._expiry_heap and self._expiry_heap[0][0] <= now_ms:
            _, grant_id = heapq.heappop(self._expiry_heap)
            block = self._blocks.pop(grant_id, None)
            if block is None:
                continue
            # The lender of a loan expires the block on its side without a report.
            self._record_use(block, block.outstanding_tokens, now_ms)
            block.outstanding_tokens = 0
            self._close_block(grant_id, block)

    def _new_grant_id(self):
        number = self._next_grant_number
        self._next_grant_number += 1
        return f"{self.zone}/{self.partition}/{self.fence}/{number}"

    def _add_block(self, grant_id, block, expires_ms):
        self._blocks[grant_id] = block
        heapq.heappush(self._expiry_heap, (expires_ms, grant_id))

    def _issue(self, block, lifetime_ms, now_ms):
        lease_remaining_ms = (self.lease_deadline_ms - now_ms) / (1 + MAX_CLOCK_DRIFT)
        lifetime_ms = min(lifetime_ms, lease_remaining_ms)
        expires_ms = now_ms + at_least_ms(lifetime_ms)
        require(
            now_ms < self.lease_deadline_ms
            and expires_ms <= self.lease_deadline_ms + 1e-6
            and not self.closed,
            BUDGET_NOT_EXCEEDED,
            expires_ms=expires_ms,
            lease_deadline_ms=self.lease_deadline_ms,
        )
        grant_id = self._new_grant_id()
        self._add_block(grant_id, block, expires_ms)
        deadline_ms = now_ms + at_most_ms(lifetime_ms)
        return Grant(grant_id, block.outstanding_tokens, deadline_ms, lifetime_ms)

    def _find_block(self, grant_id, holder):
        block = self._blocks.get(grant_id) or self._closed_blocks.get(grant_id)
        return block if block is not None and block.holder == holder else None

    def _close_block(self, grant_id, block):
        self._closed_blocks[grant_id] = block
        if len(self._closed_blocks) > MAX_CLOSED_BLOCKS:
            _, oldest = self._closed_blocks.popitem(last=False)
            if oldest.use_event is not None:
                self._buckets[oldest.team].drop_history_before(oldest.use_event)

    def _apply_use(self, block, use, now_ms):
        used_tokens = min(use.used_tokens, block.outstanding_tokens)
        returned_tokens = min(
            use.returned_tokens, block.outstanding_tokens - used_tokens
        )
        expired_tokens = use.returned_tokens - returned_tokens
        block.outstanding_tokens -= used_tokens + returned_tokens
        self._record_use(block, used_tokens, now_ms)
        if block.loan is not None:
            if used_tokens or returned_tokens:
                self._add_loan_use(block.loan, used_tokens, returned_tokens)
        elif returned_tokens:
            self._buckets[block.team].return_unused(returned_tokens, now_ms)
        if expired_tokens:
            # The block expired before the report arrived, so its unused tokens were
            # counted as used; they are refunded.
            self._apply_refund(block, expired_tokens, 0.0, now_ms)

    def _record_use(self, block, tokens, now_ms):
        if tokens <= 0:
            return
        block.used_tokens += tokens
        if block.loan is None:
            event = self._buckets[block.team].use(tokens, now_ms)
            if block.use_event is None:
                block.use_event = event

    def _apply_refund(self, block, tokens, charged_age_ms, now_ms):
        tokens = min(tokens, block.used_tokens)
        if tokens <= 0:
            return
        block.used_tokens -= tokens
        if block.loan is not None:
            owner, grant_id = block.loan
            self._loan_refunds.setdefault(owner, []).append(
                Refund(block.team, grant_id, tokens, charged_age_ms)
            )
        else:
            self._buckets[block.team].refund(tokens, block.use_event, now_ms)

    def _add_loan_use(self, loan, used_tokens, returned_tokens):
        owner, grant_id = loan
        uses = self._loan_uses.setdefault(owner, {})
        use = uses.setdefault(grant_id, Use(grant_id, 0, 0))
        use.used_tokens += used_tokens
        use.returned_tokens += returned_tokens
