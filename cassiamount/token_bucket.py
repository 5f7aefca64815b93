"""Token bucket whose outstanding (lent) tokens count against its burst."""

from collections import deque

from .invariants import BUDGET_NOT_EXCEEDED, require
from .timing import MAX_CLOCK_DRIFT

# Tolerance for floating-point rounding of sums; far below one token.
ROUNDING_TOLERANCE_TOKENS = 1e-6


class TokenBucket:
    """Token bucket of one team in one zone; VMs borrow blocks of tokens from it.

    `level_tokens` can be lent; `outstanding_tokens` are lent and neither used nor
    returned. Their sum never exceeds the burst. The refill is slower than the rate by
    `MAX_CLOCK_DRIFT`: a clock that runs fast by that much would otherwise add more
    tokens than the rate allows in true time.

    Parameters
    ----------
    rate_tokens_per_s : float
    burst_tokens : float
    now_ms : float
        Local monotonic time of the bucket's owner, like every `now_ms` below.
    level_tokens : float
        Initial level, capped at the burst.
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
        # Recorded peaks of total_tokens as (event, tokens) pairs. Events are numbered
        # upwards; a peak that a later one reaches is dropped, so tokens decrease. The
        # total only grows between events, so its value before each decrease and its
        # current value are enough.
        self._peaks = deque()
        # Outstanding tokens above the burst after the burst was reduced.
        self._excess_tokens = 0.0

    @property
    def total_tokens(self):
        """Sum of level and outstanding tokens; at most the burst."""
        return self.level_tokens + self.outstanding_tokens

    def refill(self, now_ms):
        """Add the tokens earned since the last refill, up to the burst."""
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
        """Move tokens from the level to the outstanding tokens."""
        self.refill(now_ms)
        self.level_tokens -= tokens
        self.outstanding_tokens += tokens
        self._check()

    def add_outstanding(self, tokens):
        """Count tokens lent by the previous owner of the bucket as outstanding."""
        self.outstanding_tokens += tokens
        self._excess_tokens = max(0.0, self.total_tokens - self.burst_tokens)
        self._check()

    def return_unused(self, tokens, now_ms):
        """Move unused tokens from the outstanding tokens back to the level."""
        self.refill(now_ms)
        self.outstanding_tokens -= tokens
        self.level_tokens += tokens
        self._check()

    def use(self, tokens, now_ms):
        """Remove outstanding tokens that were used, or may have been used.

        Returns
        -------
        int
            Event number to pass to `refund` if some of these tokens are refunded.
        """
        self.refill(now_ms)
        self._record_peak()
        self.outstanding_tokens -= tokens
        self._check()
        return self._next_event

    def refund(self, tokens, since_event, now_ms):
        """Return tokens to the level that `use` removed and that were not needed.

        Had the bucket kept these tokens, it would have overflowed where its total came
        close to the burst since then. So the refund is limited by the highest total
        since `since_event`. It is added to the recorded peaks, because a second refund
        would otherwise claim the same headroom again.

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
        """Change rate and burst; tokens of the level above the new burst are lost.

        Tokens used before the change are no longer refunded, because the recorded
        peaks were limited by the old burst.
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
        """Drop the peaks before `event`; uses before it are no longer refunded."""
        self._first_refundable_event = max(self._first_refundable_event, event)
        while self._peaks and self._peaks[0][0] < event:
            self._peaks.popleft()

    def wait_ms(self, tokens):
        """Return the time until the level reaches `tokens` if none are lent before."""
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
