"""A token bucket whose lent tokens count against its burst."""

from collections import deque

from .invariants import BUDGET_NOT_EXCEEDED, require
from .timing import MAX_CLOCK_DRIFT

# Rounding of sums of floats; far below one token.
ROUNDING_TOLERANCE_TOKENS = 1e-6


class TokenBucket:
    """Level of one team's bucket in one zone, with blocks lent out of it.

    The sum of `level_tokens` and `outstanding_tokens` never exceeds the burst. The
    refill is slowed by `MAX_CLOCK_DRIFT`: a clock that runs fast by that much would
    otherwise give out more than the rate in true time.

    Parameters
    ----------
    rate_tokens_per_s : float
    burst_tokens : float
    now_ms : float
    level_tokens : float
    """

    __slots__ = (
        "rate_tokens_per_s",
        "burst_tokens",
        "level_tokens",
        "outstanding_tokens",
        "_refilled_ms",
        "_next_event",
        "_first_refundable_event",
        "_peaks",
        "_excess_tokens",
    )

    def __init__(self, rate_tokens_per_s, burst_tokens, now_ms, level_tokens=0.0):
        self.rate_tokens_per_s = rate_tokens_per_s
        self.burst_tokens = burst_tokens
        self.level_tokens = min(level_tokens, burst_tokens)
        self.outstanding_tokens = 0
        self._refilled_ms = now_ms
        self._next_event = 0
        self._first_refundable_event = 0
        # Suffix maxima of level + outstanding: (event, tokens), tokens decreasing.
        # The sum only grows between events, so its value before each decrease and
        # its current value are enough.
        self._peaks = deque()
        # What a reduced burst leaves outstanding above the new burst.
        self._excess_tokens = 0.0

    @property
    def total_tokens(self):
        """Level plus outstanding tokens."""
        return self.level_tokens + self.outstanding_tokens

    def refill(self, now_ms):
        """Refill up to `now_ms`."""
        elapsed_ms = now_ms - self._refilled_ms
        if elapsed_ms <= 0:
            return
        self._refilled_ms = now_ms
        headroom_tokens = max(0.0, self.burst_tokens - self.total_tokens)
        refill_tokens = (
            self.rate_tokens_per_s * elapsed_ms / 1000 / (1 + MAX_CLOCK_DRIFT)
        )
        self.level_tokens += min(headroom_tokens, refill_tokens)

    def lend(self, tokens, now_ms):
        """Move tokens from the level to the outstanding ones."""
        self.refill(now_ms)
        self.level_tokens -= tokens
        self.outstanding_tokens += tokens
        self._check()

    def add_outstanding(self, tokens):
        """Count tokens as outstanding that a predecessor lent."""
        self.outstanding_tokens += tokens
        self._excess_tokens = max(0.0, self.total_tokens - self.burst_tokens)
        self._check()

    def return_unused(self, tokens, now_ms):
        """Move unused outstanding tokens back to the level."""
        self.refill(now_ms)
        self.outstanding_tokens -= tokens
        self.level_tokens += tokens
        self._check()

    def use(self, tokens, now_ms):
        """Remove outstanding tokens that were used or may have been.

        Returns
        -------
        int
            The event from which a refund of these tokens is counted.
        """
        self.refill(now_ms)
        self._record_peak()
        self.outstanding_tokens -= tokens
        self._check()
        return self._next_event

    def refund(self, tokens, since_event, now_ms):
        """Give back tokens that left the bucket at `since_event` and were not used.

        A bucket that had kept these tokens would have overflowed wherever the sum of
        level and outstanding tokens came close to the burst since. The refunded
        tokens are added to the remembered sums, because a second refund would
        otherwise count the same room again.

        Returns
        -------
        float
            Tokens added to the level.
        """
        self.refill(now_ms)
        if since_event < self._first_refundable_event:
            return 0.0
        peak_tokens = self.total_tokens
        for event, peak in self._peaks:
            if event >= since_event:
                peak_tokens = max(peak_tokens, peak)
                break
        added_tokens = max(0.0, min(tokens, self.burst_tokens - peak_tokens))
        if added_tokens > 0:
            self._raise_peaks(since_event, added_tokens)
            self.level_tokens += added_tokens
        self._check()
        return added_tokens

    def resize(self, rate_tokens_per_s, burst_tokens, now_ms):
        """Change rate and burst; tokens above the new burst are lost.

        Earlier uses are no longer refunded: the remembered sums were limited by the
        old burst.
        """
        self.refill(now_ms)
        self.rate_tokens_per_s = rate_tokens_per_s
        self.burst_tokens = burst_tokens
        headroom_tokens = max(0.0, burst_tokens - self.outstanding_tokens)
        self.level_tokens = min(self.level_tokens, headroom_tokens)
        self._excess_tokens = max(0.0, self.outstanding_tokens - burst_tokens)
        self._peaks.clear()
        self._next_event += 1
        self._first_refundable_event = self._next_event
        self._check()

    def drop_history_before(self, event):
        """Drop the history before `event`; earlier uses are no longer refunded."""
        self._first_refundable_event = max(self._first_refundable_event, event)
        while self._peaks and self._peaks[0][0] < event:
            self._peaks.popleft()

    def wait_ms(self, tokens):
        """Return the time until the level reaches `tokens`, if nothing is lent."""
        missing_tokens = tokens - self.level_tokens
        if missing_tokens <= 0:
            return 0.0
        if self.rate_tokens_per_s <= 0:
            return float("inf")
        return missing_tokens * 1000 * (1 + MAX_CLOCK_DRIFT) / self.rate_tokens_per_s

    def _record_peak(self):
        total_tokens = self.total_tokens
        while self._peaks and self._peaks[-1][1] <= total_tokens:
            self._peaks.pop()
        self._peaks.append((self._next_event, total_tokens))
        self._next_event += 1

    def _raise_peaks(self, since_event, tokens):
        raised = deque()
        for event, peak in reversed(self._peaks):
            if event >= since_event:
                peak += tokens
            if not raised or peak > raised[0][1]:
                raised.appendleft((event, peak))
        self._peaks = raised

    def _check(self):
        excess_tokens = max(0.0, self.outstanding_tokens - self.burst_tokens)
        self._excess_tokens = min(self._excess_tokens, excess_tokens)
        limit_tokens = self.burst_tokens + self._excess_tokens
        require(
            self.level_tokens >= -ROUNDING_TOLERANCE_TOKENS
            and self.outstanding_tokens >= 0
            and self.total_tokens <= limit_tokens + ROUNDING_TOLERANCE_TOKENS,
            BUDGET_NOT_EXCEEDED,
            level_tokens=self.level_tokens,
            outstanding_tokens=self.outstanding_tokens,
            burst_tokens=self.burst_tokens,
        )
