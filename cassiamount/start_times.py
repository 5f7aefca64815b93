"""Times that a service's requests take, learned from their first and last events."""

# Assumed until first events tell: prefill at 25 tokens a ms, and the time of the steps
# up to the first event, which holds 5 to 9 tokens.
START_TOKENS_PER_MS = 25.0
START_BASE_MS = 40.0
# Assumed duration of an answer after its first event, and of a plain service's one.
START_STREAM_MS = 1_500.0
START_CALL_MS = 60.0
# A learned rate beyond these limits comes from estimates of the backlog that are wrong.
MIN_TOKENS_PER_MS = 5.0
MAX_TOKENS_PER_MS = 100.0
MIN_RUN_MS = 5.0
# Weight of older samples when a new one comes, which keeps about the last 100.
SAMPLE_DECAY = 0.99
# The assumed values count as this many samples at each of two sizes of prompts.
ASSUMED_SAMPLES = 10.0
ASSUMED_TOKENS = 1_000.0
# A time to a first event that differs by a larger factor from the fitted one has other
# causes, such as a wait for a slot that was not foreseen; it counts as this factor.
MAX_START_FACTOR = 2.0
RUN_SAMPLE_WEIGHT = 0.05


class ServiceTimes:
    """Fitted times of one service: to the first event by prefill tokens, and after it.

    Parameters
    ----------
    has_engines : bool
    """

    __slots__ = ("base_ms", "ms_per_token", "run_ms", "_runs", "_sums")

    def __init__(self, has_engines):
        self.base_ms = START_BASE_MS
        self.ms_per_token = 1 / START_TOKENS_PER_MS
        self.run_ms = START_STREAM_MS if has_engines else START_CALL_MS
        self._runs = 0
        # Weighted sums: 1, tokens, times, tokens squared, tokens times times.
        self._sums = [0.0] * 5
        for tokens in (0.0, ASSUMED_TOKENS):
            self._add(ASSUMED_SAMPLES, tokens, self.start_ms(tokens))

    def start_ms(self, prefill_tokens):
        """Return the time to a first event, without a wait for a slot."""
        return self.base_ms + prefill_tokens * self.ms_per_token

    def record_start(self, prefill_tokens, took_ms):
        """Add the time to a first event, converted to an idle engine at usual pace."""
        self._sums = [SAMPLE_DECAY * value for value in self._sums]
        usual_ms = self.start_ms(prefill_tokens)
        took_ms = max(usual_ms / MAX_START_FACTOR, took_ms)
        self._add(1.0, prefill_tokens, min(usual_ms * MAX_START_FACTOR, took_ms))
        weight, tokens, times_ms, squares, products = self._sums
        spread = weight * squares - tokens * tokens
        if spread > 0:
            slope = (weight * products - tokens * times_ms) / spread
            self.ms_per_token = min(
                1 / MIN_TOKENS_PER_MS, max(1 / MAX_TOKENS_PER_MS, slope)
            )
        self.base_ms = max(0.0, (times_ms - self.ms_per_token * tokens) / weight)

    def _add(self, weight, tokens, took_ms):
        values = (1.0, tokens, took_ms, tokens * tokens, tokens * took_ms)
        self._sums = [
            total + weight * value
            for total, value in zip(self._sums, values, strict=True)
        ]

    def record_run(self, ran_ms):
        """Add the duration of an answer at usual pace."""
        self._runs += 1
        weight = max(RUN_SAMPLE_WEIGHT, 1 / (self._runs + 2))
        self.run_ms = max(MIN_RUN_MS, self.run_ms + weight * (ran_ms - self.run_ms))
