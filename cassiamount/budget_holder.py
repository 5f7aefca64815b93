"""Tokens granted to one VM: charged to requests, settled and reported to owners."""

from collections import deque

from .budget_messages import Refund, Report, TokenRequest, Use, owner_of
from .invariants import BUDGET_NOT_EXCEEDED, require

# A requested block has the tokens that the team uses in this time at its recent rate.
BLOCK_USAGE_MS = 200
# One VM requests at most this fraction of the zone's burst in one block, unless a
# single request needs more.
MAX_BURST_FRACTION = 0.2
# Time constant of the moving average of a team's use.
USAGE_AVERAGE_MS = 1_000
# A block that was not charged for this long is returned to its owner, so that other
# VMs can use the tokens.
IDLE_RETURN_MS = 400
# Minimum interval between token requests that only refill a team's blocks. Without it,
# a grant that is too small would be followed by the next token request at once.
REFILL_INTERVAL_MS = 100
# Minimum interval between reports of one VM to one owner, new or sent again.
REPORT_INTERVAL_MS = 200


class _HeldBlock:
    __slots__ = (
        "grant",
        "remaining_tokens",
        "unreported_tokens",
        "report_count",
        "last_used_ms",
    )

    def __init__(self, grant, now_ms):
        self.grant = grant
        self.remaining_tokens = grant.tokens
        self.unreported_tokens = 0
        # Number of reports that included use of this block.
        self.report_count = 0
        self.last_used_ms = now_ms


class _ReportState:
    """The unacknowledged report to one owner, if any, and when one was last sent."""

    __slots__ = ("report", "sent_ms")

    def __init__(self, sent_ms):
        self.report = None
        self.sent_ms = sent_ms


class _BlockCharge:
    """Part of a charge; its block's `report_count` tells whether it was reported."""

    __slots__ = ("block", "tokens", "report_count")

    def __init__(self, block, tokens):
        self.block = block
        self.tokens = tokens
        self.report_count = block.report_count


class Charge:
    """Tokens charged for one request, until it is settled.

    Parameters
    ----------
    team : str
    tokens : int
    charged_ms : float
        Local time of the charge.
    block_charges : list of _BlockCharge
        The blocks that the tokens were taken from.
    """

    __slots__ = ("team", "tokens", "charged_ms", "settled", "_block_charges")

    def __init__(self, team, tokens, charged_ms, block_charges):
        self.team = team
        self.tokens = tokens
        self.charged_ms = charged_ms
        self.settled = False
        self._block_charges = block_charges


class _TeamState:
    __slots__ = (
        "burst_tokens",
        "blocks",
        "needed_tokens",
        "usage_tokens_per_ms",
        "average_updated_ms",
        "refill_requested_ms",
    )

    def __init__(self, burst_tokens, now_ms):
        self.burst_tokens = burst_tokens
        self.blocks = deque()
        self.needed_tokens = 0
        self.usage_tokens_per_ms = 0.0
        self.average_updated_ms = now_ms
        self.refill_requested_ms = float("-inf")


class BudgetHolder:
    """The blocks of tokens that one VM holds, for all teams.

    Parameters
    ----------
    vm : str
        Identity ``<name>@<incarnation>``; the `holder` of token requests and reports.
    """

    def __init__(self, vm):
        self.vm = vm
        self._teams = {}
        self._uses = {}
        self._refunds = {}
        self._report_states = {}
        self._next_sequence = 1

    def set_team(self, team, burst_tokens, now_ms):
        """Set the zone's share of a team's burst."""
        team_state = self._teams.get(team)
        if team_state is None:
            self._teams[team] = _TeamState(burst_tokens, now_ms)
        else:
            team_state.burst_tokens = burst_tokens

    def remove_team(self, team):
        """Return all tokens of a team that was removed from the configuration."""
        team_state = self._teams.pop(team, None)
        for block in team_state.blocks if team_state is not None else ():
            self._return_block(block)

    def add_grant(self, team, grant, now_ms):
        """Add a granted block.

        Parameters
        ----------
        team : str
        grant : Grant
            Its deadline is in this VM's local time, counted from the moment before the
            token request was sent.
        now_ms : float
        """
        team_state = self._teams.get(team)
        block = _HeldBlock(grant, now_ms)
        if team_state is None:
            self._return_block(block)
            return
        team_state.blocks = deque(
            sorted([*team_state.blocks, block], key=lambda each: each.grant.deadline_ms)
        )

    def available(self, team, now_ms):
        """Return the unused tokens in the team's unexpired blocks."""
        team_state = self._teams.get(team)
        if team_state is None:
            return 0
        self._drop_expired(team_state, now_ms)
        return sum(block.remaining_tokens for block in team_state.blocks)

    def charge(self, team, tokens, now_ms):
        """Charge a request to the blocks that expire first, in full or not at all.

        Parameters
        ----------
        team : str
        tokens : int
        now_ms : float

        Returns
        -------
        Charge or None
            None if the blocks have too few tokens; `due_token_requests` then returns
            a request for the missing ones.
        """
        team_state = self._teams.get(team)
        if team_state is None:
            return None
        if self.available(team, now_ms) < tokens:
            team_state.needed_tokens = max(team_state.needed_tokens, tokens)
            return None
        block_charges = []
        missing_tokens = tokens
        for block in team_state.blocks:
            taken_tokens = min(missing_tokens, block.remaining_tokens)
            if taken_tokens <= 0:
                continue
            require(
                now_ms < block.grant.deadline_ms,
                BUDGET_NOT_EXCEEDED,
                now_ms=now_ms,
                deadline_ms=block.grant.deadline_ms,
            )
            block.remaining_tokens -= taken_tokens
            block.unreported_tokens += taken_tokens
            block.last_used_ms = now_ms
            block_charges.append(_BlockCharge(block, taken_tokens))
            missing_tokens -= taken_tokens
        self._update_average(team_state, tokens, now_ms)
        return Charge(team, tokens, now_ms, block_charges)

    def settle(self, charge, used_tokens, now_ms):
        """End a charge and refund the tokens that were not used.

        If the charge was not reported to the owner yet, its unused tokens go back to
        their block; otherwise the owner is asked for a refund. A second call has no
        effect.
        """
        if charge.settled:
            return
        charge.settled = True
        unused_tokens = max(0, charge.tokens - used_tokens)
        for block_charge in reversed(charge._block_charges):
            tokens = min(unused_tokens, block_charge.tokens)
            if tokens <= 0:
                continue
            unused_tokens -= tokens
            block = block_charge.block
            if block_charge.report_count == block.report_count:
                block.unreported_tokens -= tokens
                block.remaining_tokens += tokens
                if block.grant.deadline_ms <= now_ms:
                    self._return_block(block)
                continue
            grant_id = block.grant.grant_id
            refund = (charge.team, grant_id, tokens, charge.charged_ms)
            self._refunds.setdefault(owner_of(grant_id), []).append(refund)

    def next_block_tokens(self, team, now_ms, request_tokens=0):
        """Return the size of the next block to request.

        Parameters
        ----------
        team : str
        now_ms : float
        request_tokens : int
            Tokens missing for the requests that are waiting, or 0.
        """
        team_state = self._teams[team]
        self._update_average(team_state, 0, now_ms)
        usage_tokens = int(team_state.usage_tokens_per_ms * BLOCK_USAGE_MS)
        max_tokens = int(team_state.burst_tokens * MAX_BURST_FRACTION)
        return max(request_tokens, min(usage_tokens, max_tokens), 1)

    def due_token_requests(self, now_ms):
        """Return the token requests to send to the owners now.

        A team's tokens are requested if a charge failed for lack of tokens since the
        last call, or, at intervals, if the team has less than half a block left.

        Returns
        -------
        list of TokenRequest
        """
        token_requests = []
        teams_to_refill_now = self.teams_to_refill(now_ms)
        for team, team_state in self._teams.items():
            needed_tokens, team_state.needed_tokens = team_state.needed_tokens, 0
            missing_tokens = max(0, needed_tokens - self.available(team, now_ms))
            due_ms = team_state.refill_requested_ms + REFILL_INTERVAL_MS
            if missing_tokens or (team in teams_to_refill_now and now_ms >= due_ms):
                team_state.refill_requested_ms = now_ms
                want_tokens = self.next_block_tokens(team, now_ms, missing_tokens)
                token_requests.append(
                    TokenRequest(team, want_tokens, max(1, missing_tokens))
                )
        return token_requests

    def teams_to_refill(self, now_ms):
        """Return the teams with recent use that have less than half a block left.

        Returns
        -------
        list of str
        """
        return [
            team
            for team in self._teams
            if self.available(team, now_ms) * 2
            < self.next_block_tokens(team, now_ms)
            > 1
        ]

    def reports(self, now_ms):
        """Return the reports to send now, at most one for each owner.

        A report is returned again, unchanged, at intervals until `report_done` is
        called; only then the next report to the same owner is built.

        Returns
        -------
        list of Report
        """
        for team_state in self._teams.values():
            self._drop_expired(team_state, now_ms)
            for block in team_state.blocks:
                if block.last_used_ms + IDLE_RETURN_MS <= now_ms:
                    self._return_block(block)
        return self._due_reports(now_ms, REPORT_INTERVAL_MS)

    def report_done(self, report):
        """Record that the owner acknowledged a report or can no longer apply it."""
        report_state = self._report_states.get(report.owner)
        if report_state is not None and report_state.report is report:
            report_state.report = None

    def return_all(self, now_ms):
        """Return all unused tokens before shutdown, as a list of the last reports."""
        for team in list(self._teams):
            self.remove_team(team)
        return self._due_reports(now_ms, 0)

    def _due_reports(self, now_ms, interval_ms):
        blocks = {}
        for team_state in self._teams.values():
            for block in team_state.blocks:
                owner = owner_of(block.grant.grant_id)
                blocks.setdefault(owner, []).append(block)
        for owner in sorted({*blocks, *self._uses, *self._refunds}):
            if owner not in self._report_states:
                self._report_states[owner] = _ReportState(now_ms - REPORT_INTERVAL_MS)
        reports = []
        for owner, report_state in list(self._report_states.items()):
            if now_ms < report_state.sent_ms + interval_ms:
                continue
            if report_state.report is None:
                report_state.report = self._build_report(
                    owner, blocks.get(owner, ()), now_ms
                )
            if report_state.report is not None:
                report_state.sent_ms = now_ms
                reports.append(report_state.report)
            elif owner not in blocks:
                del self._report_states[owner]
        for team_state in self._teams.values():
            team_state.blocks = deque(
                block
                for block in team_state.blocks
                if block.remaining_tokens or block.unreported_tokens
            )
        return reports

    def _build_report(self, owner, blocks, now_ms):
        for block in blocks:
            self._add_use(block)
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

    def _update_average(self, team_state, used_tokens, now_ms):
        elapsed_ms = max(0.0, now_ms - team_state.average_updated_ms)
        team_state.average_updated_ms = now_ms
        decay = max(0.0, 1 - elapsed_ms / USAGE_AVERAGE_MS)
        team_state.usage_tokens_per_ms *= decay
        team_state.usage_tokens_per_ms += used_tokens / USAGE_AVERAGE_MS

    def _drop_expired(self, team_state, now_ms):
        while team_state.blocks and team_state.blocks[0].grant.deadline_ms <= now_ms:
            self._return_block(team_state.blocks.popleft())

    def _unsent_use(self, block):
        grant_id = block.grant.grant_id
        uses = self._uses.setdefault(owner_of(grant_id), {})
        return uses.setdefault(grant_id, Use(grant_id, 0, 0))

    def _add_use(self, block):
        if block.unreported_tokens:
            self._unsent_use(block).used_tokens += block.unreported_tokens
            block.unreported_tokens = 0
            block.report_count += 1

    def _return_block(self, block):
        self._add_use(block)
        if block.remaining_tokens:
            self._unsent_use(block).returned_tokens += block.remaining_tokens
            block.remaining_tokens = 0
