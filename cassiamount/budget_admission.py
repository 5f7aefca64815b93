"""Charges requests to the tokens that this VM holds and requests more from owners."""

from . import refusals
from .budget_messages import Grant, Shortage, TokenRequest
from .budget_shares import reachable_burst, zone_share

# A request waits for tokens that are available within this time; it is refused at once
# if they take longer.
MAX_WAIT_MS = 200
# A granted block first serves the requests ahead in the queue, so tokens for a request
# may have to be requested more than once.
MAX_TOKEN_REQUEST_RETRIES = 3
# A request larger than its zone's burst needs blocks from several zones.
MAX_MULTI_ZONE_RETRIES = 12


class BudgetAdmission:
    """Admits requests of one VM by charging them to its blocks of tokens.

    Requests that are short of tokens wait in a queue per team. The dispatcher calls
    all methods. An entry has the attributes `request_info`, `charge`, `asks_left`
    (how many more times tokens may be requested for it), `ask_again_ms` (the earliest
    time for that) and `used_tokens`.

    Parameters
    ----------
    clock : SystemClock or ManualClock
    holder : BudgetHolder
    client : BudgetClient
        ``request_tokens(list of TokenRequest)`` sends requests to the owners; the
        answers are passed to `on_grants`. ``report(list of Report)`` sends reports;
        those that need not be sent again are passed to `on_reports_done`.
    zone : str
    admitted : callable
        Called with each entry whose request was charged.
    refused : callable
        Called with each refused entry and its `Refusal`.
    is_waiting : callable
        Takes an entry; returns whether its caller still waits for it.
    """

    __slots__ = (
        "_clock",
        "_holder",
        "_client",
        "_zone",
        "_admitted",
        "_refused",
        "_is_waiting",
        "_configuration",
        "_waiting_by_team",
        "_requested_teams",
    )

    def __init__(self, clock, holder, client, zone, admitted, refused, is_waiting):
        self._clock = clock
        self._holder = holder
        self._client = client
        self._zone = zone
        self._admitted = admitted
        self._refused = refused
        self._is_waiting = is_waiting
        self._configuration = None
        self._waiting_by_team = {}
        self._requested_teams = set()

    @property
    def waiting(self):
        """Number of requests queued for tokens, of all teams."""
        return sum(len(entries) for entries in self._waiting_by_team.values())

    def held_tokens(self):
        """Return the tokens that this VM holds, by team."""
        if self._configuration is None:
            return {}
        now_ms = self._clock.monotonic_ms()
        return {
            team: self._holder.available(team, now_ms)
            for team in self._configuration.teams
        }

    def set_configuration(self, configuration):
        """Apply the teams and bursts of a configuration."""
        now_ms = self._clock.monotonic_ms()
        share = zone_share(configuration, self._zone)
        for team in configuration.teams.values():
            self._holder.set_team(team.name, team.burst_tokens * share, now_ms)
        previous_teams = (
            set(self._configuration.teams) if self._configuration else set()
        )
        for name in previous_teams - set(configuration.teams):
            self._holder.remove_team(name)
        self._configuration = configuration

    def admit(self, entry):
        """Charge a request, queue it until an owner answers, or refuse it."""
        request_info = entry.request_info
        team = self._configuration.teams.get(request_info.team)
        if team is None:
            self._refused(entry, refusals.invalid_key())
            return
        reachable_tokens = reachable_burst(self._configuration, team, self._zone)
        if request_info.cost_tokens > reachable_tokens:
            refusal = refusals.exceeds_burst(request_info.cost_tokens, reachable_tokens)
            self._refused(entry, refusal)
            return
        exceeds_zone_burst = request_info.cost_tokens > self._zone_burst(team)
        entry.asks_left = (
            MAX_MULTI_ZONE_RETRIES if exceeds_zone_burst else MAX_TOKEN_REQUEST_RETRIES
        )
        # A request queues behind the team's earlier ones, so that small requests do not
        # starve a large one.
        if self._waiting_by_team.get(request_info.team) or not self._charge(entry):
            self._waiting_by_team.setdefault(request_info.team, []).append(entry)
            self._send_token_requests()

    def on_grants(self, teams, answers):
        """Process the owners' answers to token requests.

        Parameters
        ----------
        teams : iterable of str
            Teams whose tokens were requested.
        answers : dict of str to Grant, Shortage or NotOwner
            By team. A team is absent if no owner answered.
        """
        self._requested_teams.difference_update(teams)
        now_ms = self._clock.monotonic_ms()
        for team, answer in answers.items():
            if isinstance(answer, Grant):
                self._holder.add_grant(team, answer, now_ms)
        for team in teams:
            self._charge_waiting(team, answers.get(team))
        self._send_token_requests()

    def tick(self):
        """Send the token requests and reports that are due."""
        self._send_token_requests()
        reports = self._holder.reports(self._clock.monotonic_ms())
        if reports:
            self._client.report(reports)

    def on_reports_done(self, reports):
        """Remove reports that need not be sent again."""
        for report in reports:
            self._holder.report_done(report)

    def return_all(self):
        """Return all unused tokens, as a list of the last reports to send."""
        return self._holder.return_all(self._clock.monotonic_ms())

    def settle(self, entry):
        """Settle the charge of an entry, if it has one."""
        if entry.charge is not None:
            now_ms = self._clock.monotonic_ms()
            self._holder.settle(entry.charge, entry.used_tokens, now_ms)
            entry.charge = None

    def _zone_burst(self, team):
        return team.burst_tokens * zone_share(self._configuration, self._zone)

    def _charge(self, entry):
        request_info = entry.request_info
        entry.charge = self._holder.charge(
            request_info.team, request_info.cost_tokens, self._clock.monotonic_ms()
        )
        if entry.charge is None:
            return False
        self._admitted(entry)
        return True

    def _charge_waiting(self, team, answer):
        """Charge or refuse a team's requests in order until one keeps waiting."""
        entries = self._waiting_by_team.pop(team, [])
        for index, entry in enumerate(entries):
            if self._keeps_waiting(entry, answer):
                # The requests behind it would use up the tokens that it needs.
                self._waiting_by_team[team] = entries[index:]
                return

    def _keeps_waiting(self, entry, answer):
        if not self._is_waiting(entry) or self._charge(entry):
            return False
        if isinstance(answer, Grant):
            # Requests ahead used the block, or it has only part of the needed tokens.
            retry_after_ms = 0.0
        elif isinstance(answer, Shortage):
            retry_after_ms = answer.retry_after_ms
        else:
            self._refused(entry, refusals.budget_unavailable())
            return False
        if not entry.asks_left or retry_after_ms > MAX_WAIT_MS:
            self._refused(entry, refusals.rate_exceeded(retry_after_ms))
            return False
        entry.asks_left -= 1
        entry.ask_again_ms = self._clock.monotonic_ms() + retry_after_ms
        return True

    def _send_token_requests(self):
        now_ms = self._clock.monotonic_ms()
        token_requests = [
            token_request
            for token_request in self._holder.due_token_requests(now_ms)
            if token_request.team not in self._requested_teams
            and token_request.team not in self._waiting_by_team
        ]
        for team, entries in self._waiting_by_team.items():
            waiting = [entry for entry in entries if self._is_waiting(entry)]
            if team in self._requested_teams or not waiting:
                continue
            if waiting[0].ask_again_ms <= now_ms:
                token_requests.append(self._token_request_for(team, waiting, now_ms))
        if token_requests:
            self._requested_teams.update(
                token_request.team for token_request in token_requests
            )
            self._client.request_tokens(token_requests)

    def _token_request_for(self, name, entries, now_ms):
        costs = [entry.request_info.cost_tokens for entry in entries]
        available_tokens = self._holder.available(name, now_ms)
        missing_tokens = max(1, sum(costs) - available_tokens)
        want_tokens = self._holder.next_block_tokens(name, now_ms, missing_tokens)
        team = self._configuration.teams.get(name)
        if team is not None and costs[0] > self._zone_burst(team):
            return TokenRequest(name, want_tokens, 1)
        return TokenRequest(name, want_tokens, max(1, costs[0] - available_tokens))
