"""What a run achieved, and independent checks of the budget."""

import heapq
from collections import Counter, defaultdict

from bench.deployments import FIRST_TOKEN_MS, INTER_TOKEN_MS, TEAMS

# Requests count as ended this long after their admission when the reference bucket
# gets back what they did not use.
REFERENCE_REFUND_MS = 3_000.0


class Tally:
    """Counts by team, and the budget's use in order of admission."""

    def __init__(self, configuration):
        self.teams = configuration.teams
        self.offered = Counter()
        self.met = Counter()
        self.results = defaultdict(Counter)
        self.within = {}
        # Refusals of first tries.
        self.refused = defaultdict(Counter)
        self.uses = defaultdict(list)
        self.tries = {}
        self.ended = set()
        self.loads = 0
        self.broken = []
        self.by_second = defaultdict(Counter)
        self._buckets = {
            team.name: _ReferenceBucket(team.rate_tokens_per_s, team.burst_tokens)
            for team in configuration.teams.values()
        }

    def on_offer(self, offer):
        """Count an offer and decide whether it is within its team's rate."""
        request_info = offer.request_info
        self.offered[request_info.team] += 1
        used = request_info.prompt_tokens + offer.output_tokens
        bucket = self._buckets[request_info.team]
        self.within[request_info.request_id] = bucket.take(
            request_info.cost_tokens, used, offer.at_ms
        )
        self.by_second[int(offer.at_ms // 1000)]["offered"] += 1

    def on_end(self, offer, result, attempt, client_ms):
        """Count the answer to a request."""
        request_info = offer.request_info
        self.results[request_info.team][result] += 1
        if result != "served":
            if self.tries[request_info.request_id] == 1:
                self.refused[request_info.team][result] += 1
            return
        first_ms = attempt.first_ms - request_info.arrived_ms + 2 * client_ms
        if (
            first_ms <= FIRST_TOKEN_MS[request_info.priority]
            and attempt.token_ms <= INTER_TOKEN_MS
        ):
            self.met[request_info.team] += 1
            self.by_second[int(offer.at_ms // 1000)]["met"] += 1

    def on_use(self, team, charged_ms, tokens):
        self.uses[team].append((charged_ms, tokens))

    def overspent_tokens(self):
        """Return by how much the worst interval of a team exceeds rate and burst."""
        worst = 0.0
        for name, uses in self.uses.items():
            team = self.teams[name]
            level = float(team.burst_tokens)
            last_ms = None
            for charged_ms, tokens in sorted(uses):
                if last_ms is not None:
                    level += (charged_ms - last_ms) / 1000 * team.rate_tokens_per_s
                    level = min(level, team.burst_tokens)
                last_ms = charged_ms
                level -= tokens
                worst = max(worst, -level)
        return worst

    def refused_within(self):
        """Return how many requests of teams inside their rates were refused."""
        return sum(
            sum(reasons.values())
            for team, reasons in self.refused.items()
            if self.inside(team)
        )

    def inside(self, team):
        """Whether nearly all of a team's requests are within its rate and burst."""
        return self.within_counts()[team] >= 0.98 * self.offered[team]

    def within_counts(self):
        """Return the number of requests within its rate for each team."""
        return Counter(r.split("/")[0] for r, w in self.within.items() if w)

    def shortfall(self):
        """Return by which share teams over their rates got less than those allow.

        Of such a team it does not matter which requests are refused, only whether
        as many are admitted as by one bucket for the whole fleet.
        """
        within = self.within_counts()
        over = [team for team in self.offered if not self.inside(team)]
        allowed = sum(within[team] for team in over)
        admitted = sum(
            self.offered[team] - sum(self.refused[team].values()) for team in over
        )
        return max(0.0, 1.0 - admitted / allowed) if allowed else 0.0

    def figures(self, accelerators):
        """Return the run's figures by name."""
        offered = sum(self.offered.values())
        within = self.within_counts()
        attained = {
            team: min(1.0, self.met[team] / max(1, within[team])) for team in TEAMS
        }
        inside = [attained[team] for team in TEAMS if self.inside(team)]
        total_within = max(1, sum(within.values()))
        total_inside = sum(self.offered[team] for team in TEAMS if self.inside(team))
        return {
            "offered": offered,
            "attainment_per_accelerator": sum(self.met.values())
            / total_within
            / accelerators,
            "moves": self.loads,
            "worst_team": min(attained.values()),
            "mean_team_within_rate": sum(inside) / max(1, len(inside)),
            "refused_within_rate": self.refused_within() / max(1, total_inside),
            "over_rate_shortfall": self.shortfall(),
            "overspent_tokens": self.overspent_tokens(),
            "broken_invariants": len(self.broken),
        }


class _ReferenceBucket:
    """A single bucket for the whole fleet, with refunds after a fixed time."""

    def __init__(self, rate_tokens_per_s, burst_tokens):
        self.rate = rate_tokens_per_s
        self.burst = burst_tokens
        self.level = burst_tokens
        self.last_ms = 0.0
        self.refunds = []

    def take(self, cost, used, now_ms):
        while self.refunds and self.refunds[0][0] <= now_ms:
            at_ms, tokens = heapq.heappop(self.refunds)
            self._advance(at_ms)
            self.level = min(self.burst, self.level + tokens)
        self._advance(now_ms)
        if self.level < cost:
            return False
        self.level -= cost
        heapq.heappush(self.refunds, (now_ms + REFERENCE_REFUND_MS, cost - used))
        return True

    def _advance(self, now_ms):
        passed_s = (now_ms - self.last_ms) / 1000
        self.level = min(self.burst, self.level + passed_s * self.rate)
        self.last_ms = now_ms
