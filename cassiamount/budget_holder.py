"""A VM's granted tokens: charge at admission, settle, report."""

from collections import deque

from .budget_messages import Ask, Refund, Report, Use, owner_of
from .invariants import BUDGET_NOT_EXCEEDED, require

# A block covers this much of the recent use.
BLOCK_COVERS_MS = 200
# One VM takes at most this share of the zone's burst, unless a request needs more.
MAX_BURST_SHARE = 0.2
# Time constant of the average of the recent use.
USE_AVERAGE_MS = 1_000
# Tokens that were not touched for this long go back to the owner, where other VMs
# can have them.
IDLE_RETURN_MS = 400
# Reports of one VM to one owner are at least this far apart.
REPORT_INTERVAL_MS = 200


class _HeldBlock:
    __slots__ = ("grant", "left_tokens", "unreported_tokens", "epoch", "touched_ms")

    def __init__(self, grant):
        self.grant = grant
        self.left_tokens = grant.tokens
        self.unreported_tokens = 0
        # Counts the reports that contained uses of this block.
        self.epoch = 0
        self.touched_ms = None


class _Part:
    __slots__ = ("block", "tokens", "epoch")

    def __init__(self, block, tokens):
        self.block = block
        self.tokens = tokens
        self.epoch = block.epoch


class Charge:
    """Tokens charged for one request, until it is settled.

    Parameters
    ----------
    team : str
    tokens : int
    charged_ms : float
    """

    __slots__ = ("team", "tokens", "charged_ms", "settled", "_parts")

    def __init__(self, team, tokens, charged_ms, parts):
        self.team = team
        self.tokens = tokens
        self.charged_ms = charged_ms
        self.settled = False
        self._parts = parts


class _TeamTokens:
    __slots__ = (
        "burst_tokens",
        "blocks",
        "needed_tokens",
        "use_tokens_per_ms",
        "averaged_ms",
    )

    def __init__(self, burst_tokens):
        self.burst_tokens = burst_tokens
        self.blocks = deque()
        self.needed_tokens = 0
        self.use_tokens_per_ms = 0.0
        self.averaged_ms = 0.0


class BudgetHolder:
    """The blocks that one VM holds, for all teams.

    Parameters
    ----------
    vm : str
        Identity ``<name>@<incarnation>``; the `holder` of asks and reports.
    zone_share : float
        Share of this zone in the rate and burst of every team. May be changed.
    """

    def __init__(self, vm, zone_share=1.0):
        self.vm = vm
        self.zone_share = zone_share
        self._teams = {}
        self._uses = {}
        self._refunds = {}
        self._reported_ms = {}
        self._next_sequence = 1

    def set_teams(self, teams):
        """Set the teams and return the tokens of those that are gone.

        Parameters
        ----------
        teams : dict of str to Team
            With the burst over all zones.
        """
        for name in self._teams.keys() - teams.keys():
            for block in self._teams.pop(name).blocks:
                self._return(block)
        for name, team in teams.items():
            burst_tokens = team.burst_tokens * self.zone_share
            if name in self._teams:
                self._teams[name].burst_tokens = burst_tokens
            else:
                self._teams[name] = _TeamTokens(burst_tokens)

    def add_grant(self, team, grant):
        """Add a block.

        Parameters
        ----------
        team : str
        grant : Grant
            The deadline is on this VM's clock, counted from before the ask was sent.
        """
        tokens = self._teams.get(team)
        block = _HeldBlock(grant)
        if tokens is None:
            self._return(block)
            return
        tokens.blocks = deque(
            sorted([*tokens.blocks, block], key=lambda each: each.grant.deadline_ms)
        )

    def available(self, team, now_ms):
        """Return the tokens that a charge can use now."""
        tokens = self._teams.get(team)
        if tokens is None:
            return 0
        self._drop_expired(tokens, now_ms)
        return sum(block.left_tokens for block in tokens.blocks)

    def charge(self, team, tokens, now_ms):
        """Charge a request, earliest deadline first; all of it or nothing.

        Parameters
        ----------
        team : str
        tokens : int
        now_ms : float

        Returns
        -------
        Charge or None
            None if the held blocks are too small; `asks` then asks for more.
        """
        held = self._teams.get(team)
        if held is None:
            return None
        if self.available(team, now_ms) < tokens:
            held.needed_tokens = max(held.needed_tokens, tokens)
            return None
        parts = []
        missing_tokens = tokens
        for block in held.blocks:
            taken_tokens = min(missing_tokens, block.left_tokens)
            if taken_tokens <= 0:
                continue
            require(
                now_ms < block.grant.deadline_ms,
                BUDGET_NOT_EXCEEDED,
                now_ms=now_ms,
                deadline_ms=block.grant.deadline_ms,
            )
            block.left_tokens -= taken_tokens
            block.unreported_tokens += taken_tokens
            block.touched_ms = now_ms
            parts.append(_Part(block, taken_tokens))
            missing_tokens -= taken_tokens
        self._average(held, tokens, now_ms)
        return Charge(team, tokens, now_ms, parts)

    def settle(self, charge, used_tokens, now_ms):
        """End a charge and refund what was not used.

        Tokens of a use that was not reported yet stay in their block; the others are
        refunded by the owner. A second call has no effect.
        """
        if charge.settled:
            return
        charge.settled = True
        unused_tokens = max(0, charge.tokens - used_tokens)
        for part in reversed(charge._parts):
            tokens = min(unused_tokens, part.tokens)
            if tokens <= 0:
                continue
            unused_tokens -= tokens
            block = part.block
            if part.epoch == block.epoch:
                block.unreported_tokens -= tokens
                block.left_tokens += tokens
                if block.grant.deadline_ms <= now_ms:
                    self._return(block)
                continue
            grant_id = block.grant.grant_id
            refund = (charge.team, grant_id, tokens, charge.charged_ms)
            self._refunds.setdefault(owner_of(grant_id), []).append(refund)

    def want(self, team, now_ms, request_tokens=0):
        """Return the size of the next block to ask for.

        Parameters
        ----------
        team : str
        now_ms : float
        request_tokens : int
            Tokens of the request that is waiting.
        """
        tokens = self._teams[team]
        self._average(tokens, 0, now_ms)
        by_use = int(tokens.use_tokens_per_ms * BLOCK_COVERS_MS)
        at_most = int(tokens.burst_tokens * MAX_BURST_SHARE)
        return max(request_tokens, min(by_use, at_most), 1)

    def asks(self, now_ms):
        """Return what to ask the owners for now.

        A team is in it if a charge failed for lack of tokens since the last call, or
        if less than half a block is left.

        Returns
        -------
        list of Ask
        """
        asks = []
        refill = self.teams_to_refill(now_ms)
        for team, tokens in self._teams.items():
            needed_tokens, tokens.needed_tokens = tokens.needed_tokens, 0
            missing_tokens = max(0, needed_tokens - self.available(team, now_ms))
            if missing_tokens or team in refill:
                want_tokens = self.want(team, now_ms, missing_tokens)
                asks.append(Ask(team, want_tokens, max(1, missing_tokens)))
        return asks

    def teams_to_refill(self, now_ms):
        """Return the teams in use that have less than half a block left.

        Returns
        -------
        list of str
        """
        return [
            team
            for team in self._teams
            if self.available(team, now_ms) * 2 < self.want(team, now_ms) > 1
        ]

    def reports(self, now_ms):
        """Return the reports that are due, at most one for each owner.

        The caller sends the reports of one owner in order and repeats each one
        unchanged until it is answered or too old to matter. A report that is lost for
        good costs tokens, never safety.

        Returns
        -------
        list of Report
        """
        for tokens in self._teams.values():
            self._drop_expired(tokens, now_ms)
            for block in tokens.blocks:
                if block.touched_ms is None:
                    block.touched_ms = now_ms
                if block.touched_ms + IDLE_RETURN_MS <= now_ms:
                    self._return(block)
        due = [
            owner
            for owner in {*self._blocks_by_owner(), *self._uses, *self._refunds}
            if self._reported_ms.get(owner, -REPORT_INTERVAL_MS)
            <= now_ms - REPORT_INTERVAL_MS
        ]
        return self._build_reports(sorted(due), now_ms)

    def return_all(self, now_ms):
        """Return all unused tokens for a planned stop; give the last reports."""
        self.set_teams({})
        return self._build_reports(sorted({*self._uses, *self._refunds}), now_ms)

    def _blocks_by_owner(self):
        blocks = {}
        for tokens in self._teams.values():
            for block in tokens.blocks:
                owner = owner_of(block.grant.grant_id)
                blocks.setdefault(owner, []).append(block)
        return blocks

    def _build_reports(self, owners, now_ms):
        blocks = self._blocks_by_owner()
        reports = []
        self._reported_ms = {
            owner: at_ms
            for owner, at_ms in self._reported_ms.items()
            if at_ms > now_ms - REPORT_INTERVAL_MS
        }
        for owner in owners:
            for block in blocks.get(owner, ()):
                self._report_use(block)
            uses = list(self._uses.pop(owner, {}).values())
            refunds = [
                Refund(team, grant_id, tokens, now_ms - charged_ms)
                for team, grant_id, tokens, charged_ms in self._refunds.pop(owner, ())
            ]
            if uses or refunds:
                self._reported_ms[owner] = now_ms
                sequence = self._next_sequence
                self._next_sequence += 1
                reports.append(Report(owner, sequence, uses, refunds))
        for tokens in self._teams.values():
            tokens.blocks = deque(
                block
                for block in tokens.blocks
                if block.left_tokens or block.unreported_tokens
            )
        return reports

    def _average(self, tokens, used_tokens, now_ms):
        elapsed_ms = max(0.0, now_ms - tokens.averaged_ms)
        tokens.averaged_ms = now_ms
        kept = max(0.0, 1 - elapsed_ms / USE_AVERAGE_MS)
        tokens.use_tokens_per_ms *= kept
        tokens.use_tokens_per_ms += used_tokens / USE_AVERAGE_MS

    def _drop_expired(self, tokens, now_ms):
        while tokens.blocks and tokens.blocks[0].grant.deadline_ms <= now_ms:
            self._return(tokens.blocks.popleft())

    def _use_of(self, block):
        grant_id = block.grant.grant_id
        uses = self._uses.setdefault(owner_of(grant_id), {})
        return uses.setdefault(grant_id, Use(grant_id, 0, 0))

    def _report_use(self, block):
        if block.unreported_tokens:
            self._use_of(block).used_tokens += block.unreported_tokens
            block.unreported_tokens = 0
            block.epoch += 1

    def _return(self, block):
        self._report_use(block)
        if block.left_tokens:
            self._use_of(block).returned_tokens += block.left_tokens
            block.left_tokens = 0
