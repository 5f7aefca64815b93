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
# Distance between asks of a team that only refill a block. An answer that is short
# must not be followed by the next ask at once.
REFILL_INTERVAL_MS = 100
# Reports of one VM to one owner, repeated or new, are at least this far apart.
REPORT_INTERVAL_MS = 200


class _HeldBlock:
    __slots__ = ("grant", "left_tokens", "unreported_tokens", "epoch", "touched_ms")

    def __init__(self, grant, now_ms):
        self.grant = grant
        self.left_tokens = grant.tokens
        self.unreported_tokens = 0
        # Counts the reports that contained uses of this block.
        self.epoch = 0
        self.touched_ms = now_ms


class _Pending:
    """The report to one owner that is on its way, if any."""

    __slots__ = ("report", "sent_ms")

    def __init__(self, sent_ms):
        self.report = None
        self.sent_ms = sent_ms


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
        "refilled_ms",
    )

    def __init__(self, burst_tokens, now_ms):
        self.burst_tokens = burst_tokens
        self.blocks = deque()
        self.needed_tokens = 0
        self.use_tokens_per_ms = 0.0
        self.averaged_ms = now_ms
        self.refilled_ms = float("-inf")


class BudgetHolder:
    """The blocks that one VM holds, for all teams.

    Parameters
    ----------
    vm : str
        Identity ``<name>@<incarnation>``; the `holder` of asks and reports.
    """

    def __init__(self, vm):
        self.vm = vm
        self._teams = {}
        self._uses = {}
        self._refunds = {}
        self._pending = {}
        self._next_sequence = 1

    def set_team(self, team, burst_tokens, now_ms):
        """Set the zone's share of a team's burst."""
        tokens = self._teams.get(team)
        if tokens is None:
            self._teams[team] = _TeamTokens(burst_tokens, now_ms)
        else:
            tokens.burst_tokens = burst_tokens

    def remove_team(self, team):
        """Return the tokens of a team that the configuration no longer has."""
        tokens = self._teams.pop(team, None)
        for block in tokens.blocks if tokens is not None else ():
            self._return(block)

    def add_grant(self, team, grant, now_ms):
        """Add a block.

        Parameters
        ----------
        team : str
        grant : Grant
            The deadline is on this VM's clock, counted from before the ask was sent.
        now_ms : float
        """
        tokens = self._teams.get(team)
        block = _HeldBlock(grant, now_ms)
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

        A team is in it if a charge failed for lack of tokens since the last call, or,
        at intervals, if less than half a block is left.

        Returns
        -------
        list of Ask
        """
        asks = []
        refill = self.teams_to_refill(now_ms)
        for team, tokens in self._teams.items():
            needed_tokens, tokens.needed_tokens = tokens.needed_tokens, 0
            missing_tokens = max(0, needed_tokens - self.available(team, now_ms))
            due_ms = tokens.refilled_ms + REFILL_INTERVAL_MS
            if missing_tokens or (team in refill and now_ms >= due_ms):
                tokens.refilled_ms = now_ms
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
        """Return the reports to send now, at most one for each owner.

        A report that is not done is returned again, unchanged, at intervals. The next
        one for its owner follows after `report_done`.

        Returns
        -------
        list of Report
        """
        for tokens in self._teams.values():
            self._drop_expired(tokens, now_ms)
            for block in tokens.blocks:
                if block.touched_ms + IDLE_RETURN_MS <= now_ms:
                    self._return(block)
        return self._due_reports(now_ms, REPORT_INTERVAL_MS)

    def report_done(self, report):
        """Take note that an owner answered a report, or that no owner can use it."""
        pending = self._pending.get(report.owner)
        if pending is not None and pending.report is report:
            pending.report = None

    def return_all(self, now_ms):
        """Return all unused tokens for a planned stop; give the last reports."""
        for team in list(self._teams):
            self.remove_team(team)
        return self._due_reports(now_ms, 0)

    def _due_reports(self, now_ms, interval_ms):
        blocks = {}
        for tokens in self._teams.values():
            for block in tokens.blocks:
                owner = owner_of(block.grant.grant_id)
                blocks.setdefault(owner, []).append(block)
        for owner in sorted({*blocks, *self._uses, *self._refunds}):
            if owner not in self._pending:
                self._pending[owner] = _Pending(now_ms - REPORT_INTERVAL_MS)
        reports = []
        for owner, pending in list(self._pending.items()):
            if now_ms < pending.sent_ms + interval_ms:
                continue
            if pending.report is None:
                pending.report = self._build(owner, blocks.get(owner, ()), now_ms)
            if pending.report is not None:
                pending.sent_ms = now_ms
                reports.append(pending.report)
            elif owner not in blocks:
                del self._pending[owner]
        for tokens in self._teams.values():
            tokens.blocks = deque(
                block
                for block in tokens.blocks
                if block.left_tokens or block.unreported_tokens
            )
        return reports

    def _build(self, owner, blocks, now_ms):
        for block in blocks:
            self._report_use(block)
        uses = list(self._uses.pop(owner, {}).values())
        refunds = [
            Refund(team, grant_id, tokens, now_ms - charged_ms)
            for team, grant_id, tokens, charged_ms in self._refunds.pop(owner, ())
        ]
        if not uses and not refunds:
            return None
        sequence = self._next_sequence
        self._next_sequence += 1
        return Report(owner, sequence, uses, refunds)

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
