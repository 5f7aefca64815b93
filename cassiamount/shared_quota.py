"""Token buckets of the teams, replicated on all VMs without an owner.

Each VM has the whole bucket of a team. It debits its own requests at once and those of
other VMs when they report, a fraction of a second later. The fleet can exceed the limit
by the requests that arrive within one report interval. In a network partition each side
uses only its share of the rate, and so does a VM that knows of others without having
heard of them.
"""

from .timing import MAX_CLOCK_DRIFT

# A peer without a report for this long may be on the other side of a network partition.
PEER_TIMEOUT_MS = 700.0
# A peer without a report for longer than this is assumed to have stopped for good.
PEER_EXPIRY_MS = 20_000.0


class TeamBucket:
    """One team's token bucket; late debits of other VMs can take it below 0."""

    __slots__ = ("level_tokens", "refilled_ms", "rate_tokens_per_s", "burst_tokens")

    def __init__(self, rate_tokens_per_s, burst_tokens, now_ms, level_tokens):
        self.rate_tokens_per_s = rate_tokens_per_s
        self.burst_tokens = burst_tokens
        self.level_tokens = level_tokens
        self.refilled_ms = now_ms

    def refill(self, now_ms, share):
        """Add the tokens earned since the last refill at a share of the rate."""
        elapsed_ms = max(0.0, now_ms - self.refilled_ms)
        self.refilled_ms = now_ms
        refill_tokens = (
            self.rate_tokens_per_s * share * elapsed_ms / 1000 / (1 + MAX_CLOCK_DRIFT)
        )
        self.level_tokens = min(self.burst_tokens, self.level_tokens + refill_tokens)


class SharedQuota:
    """One VM's replica of all teams' buckets.

    Parameters
    ----------
    start_full : bool
        Whether buckets start full. True only at the first start of the whole system;
        a restart must not grant a second burst.
    started_ms : float
        Time from which buckets refill. Requests that this VM admitted before its
        restart have ended by then.
    """

    def __init__(self, start_full, started_ms=0.0):
        self._start_full = start_full
        self._started_ms = started_ms
        self._buckets = {}
        self._limited_teams = {}
        self._used_by_team = {}
        self._peers = {}
        self._share = 1.0
        # The share stays as it is until then, unless a silent peer is heard.
        self.share_until_ms = -float("inf")
        # VMs that may be running and of which no report has been heard.
        self.unheard_vms = 0
        # Returns when each VM was last known to go on, by name; the caller may set it
        # if it hears of VMs also without reports of their use.
        self.find_heard_ms = dict
        # Raised by the caller in large fleets, where VMs report less often.
        self.peer_timeout_ms = PEER_TIMEOUT_MS

    def set_teams(self, teams, now_ms):
        """Set the teams' rates and bursts; a team without a rate is not limited."""
        self._limited_teams = {
            name: team for name, team in teams.items() if team.rate_tokens_per_s > 0
        }
        for name in set(self._buckets) - set(self._limited_teams):
            del self._buckets[name]
        for name, team in self._limited_teams.items():
            bucket = self._buckets.get(name)
            if bucket is None:
                initial_tokens = team.burst_tokens if self._start_full else 0.0
                bucket = self._buckets[name] = TeamBucket(
                    team.rate_tokens_per_s,
                    team.burst_tokens,
                    self._started_ms,
                    initial_tokens,
                )
                bucket.refill(now_ms, self._share)
                continue
            bucket.refill(now_ms, self._share)
            bucket.rate_tokens_per_s = team.rate_tokens_per_s
            bucket.burst_tokens = team.burst_tokens
            bucket.level_tokens = min(bucket.level_tokens, team.burst_tokens)

    def charge(self, team, tokens, now_ms):
        """Charge a request to its team's bucket.

        Returns
        -------
        float
            0 if the request was charged, else the time in ms until it can be.
        """
        bucket = self._buckets.get(team)
        if bucket is None:
            return 0.0
        bucket.refill(now_ms, self._share)
        # A request larger than the burst needs a full bucket and takes it below 0.
        needed_tokens = min(tokens, bucket.burst_tokens)
        if bucket.level_tokens >= needed_tokens:
            bucket.level_tokens -= tokens
            self._used_by_team[team] = self._used_by_team.get(team, 0.0) + tokens
            return 0.0
        missing_tokens = (needed_tokens - bucket.level_tokens) * (1 + MAX_CLOCK_DRIFT)
        return max(
            1.0, 1000 * missing_tokens / (bucket.rate_tokens_per_s * self._share)
        )

    def refund(self, team, tokens, now_ms):
        """Return the tokens of a request that did not run."""
        bucket = self._buckets.get(team)
        if bucket is None:
            return
        bucket.refill(now_ms, self._share)
        bucket.level_tokens = min(bucket.burst_tokens, bucket.level_tokens + tokens)
        self._used_by_team[team] = self._used_by_team.get(team, 0.0) - tokens

    def used_tokens(self):
        """Return the tokens that this VM has charged since its start, by team."""
        return dict(self._used_by_team)

    def on_peer_report(self, peer, started, used, now_ms):
        """Apply a report of one peer, and set the share if that changes it."""
        self.debit_peer(peer, started, used, now_ms)
        self.review_share(now_ms)

    def review_share(self, now_ms):
        """Set the share if it may have changed since it was set."""
        if now_ms > self.share_until_ms:
            self.update_share(now_ms)

    def debit_peer(self, peer, started, used, now_ms):
        """Debit the tokens that a peer has charged since its previous report.

        `review_share` is to be called after all peers of a report.

        Parameters
        ----------
        peer : str
        started : int
            Start time of the peer; it changes when the peer restarts.
        used : dict of str to float
            Tokens charged since the peer's start, by team.
        now_ms : float
        """
        previous_report = self._peers.get(peer)
        if previous_report is not None:
            previously_used = (
                previous_report[1] if previous_report[0] == started else {}
            )
        else:
            # Unless all VMs start together, these tokens were charged before this VM
            # started.
            previously_used = {} if self._start_full else used
        for team, tokens in used.items():
            bucket = self._buckets.get(team)
            if bucket is not None:
                bucket.refill(now_ms, self._share)
                used_since_report = tokens - previously_used.get(team, 0.0)
                bucket.level_tokens = min(
                    bucket.burst_tokens, bucket.level_tokens - used_since_report
                )
        self._peers[peer] = (started, dict(used), now_ms)
        if (
            previous_report is None
            or now_ms - previous_report[2] > self.peer_timeout_ms
        ):
            self.share_until_ms = -float("inf")

    def on_peer_heard(self, peer, heard_ms):
        """Record when a peer was last known to go on, though it reported no use."""
        known = self._peers.get(peer)
        if known is not None:
            self._peers[peer] = (known[0], known[1], heard_ms)
            if heard_ms - known[2] > self.peer_timeout_ms:
                self.share_until_ms = -float("inf")

    def remove_peer(self, peer):
        """Remove a peer that reported that it is stopping."""
        self._peers.pop(peer, None)
        self.share_until_ms = -float("inf")

    def update_share(self, now_ms):
        """Set the share of the rate to the fraction of VMs that still report."""
        for peer, heard_ms in self.find_heard_ms().items():
            self.on_peer_heard(peer, heard_ms)
        silent_ms = now_ms - self.peer_timeout_ms
        until_ms = float("inf")
        reachable_vms = 1
        for peer, (_, _, heard_ms) in list(self._peers.items()):
            if now_ms - heard_ms > PEER_EXPIRY_MS:
                del self._peers[peer]
            elif heard_ms >= silent_ms:
                reachable_vms += 1
                until_ms = min(until_ms, heard_ms + self.peer_timeout_ms)
            else:
                until_ms = min(until_ms, heard_ms + PEER_EXPIRY_MS)
        self.share_until_ms = until_ms
        known_vms = 1 + len(self._peers) + self.unheard_vms
        share = reachable_vms / known_vms
        if share == self._share:
            return
        for bucket in self._buckets.values():
            bucket.refill(now_ms, self._share)
            if share < self._share and bucket.level_tokens > 0:
                # The other side of the partition may use the same level too.
                bucket.level_tokens *= share / self._share
        self._share = share

    @property
    def share(self):
        """Share of the rates that this side may use, 1 while all peers report."""
        return self._share
