"""When a server would begin a request, and whether it has room for one."""

import math

from .load_counts import LOWEST_PRIORITY

# A step of an engine takes 4.4 to 5.1 ms and 0.014 to 0.02 ms for each request.
STEP_SLOWDOWN_PER_REQUEST = 0.0035
# Requests beyond the slots that an engine's own queue takes: the smallest has 25.
MAX_QUEUED = 24
# Work that may wait in an engine's queue, by priority: the most urgent requests use
# the time until their latest start (0.7 of 2 s), the others only what keeps the slots
# busy until a report of free ones, up to 750 ms old, has arrived.
QUEUED_MS_FIRST = 1_400.0
QUEUED_MS_LAST = 750.0
# Prefill that may be ahead of a prompt: half of the tightest objective (400 ms) for
# the most urgent requests, half of that for the least urgent ones.
PREFILL_AHEAD_MS_FIRST = 200.0
PREFILL_AHEAD_MS_LAST = 100.0
# Less prefill than one step of an engine takes.
NOTHING_AHEAD_MS = 5.0
# Part of an engine's memory that requests of a priority may fill, and standard
# deviations of the number of requests since the count that have to fit as well: other
# VMs send to the same engine while their reports are under way.
KV_SHARE_FIRST = 0.8
KV_SHARE_LAST = 0.65
KV_DEVIATIONS = 4.0


def by_priority(first, last, priority):
    """Return the value for a priority, between those of the first and the last one."""
    return first + (last - first) * min(priority, LOWEST_PRIORITY) / LOWEST_PRIORITY


class StartEstimate:
    """When the first event of a request would come from a server, and from what.

    Parameters
    ----------
    first_event_ms : float
    age_ms : float
        Age of the count of requests.
    running, waiting : float
        Requests of all VMs at the server.
    prefill_tokens : float
        Prompt tokens to prefill until the first event, with those of the request.
    pace : float
        How long work takes there; 1 means as usual.
    slots : int
    slot_wait_ms : float
        Part of `first_event_ms` until a slot is free.
    tokens : float
        Prompt and output tokens of all requests at the server.
    prompt_ms : float
        Time to prefill the request's own prompt.
    """

    __slots__ = (
        "first_event_ms",
        "age_ms",
        "running",
        "waiting",
        "prefill_tokens",
        "pace",
        "slots",
        "slot_wait_ms",
        "tokens",
        "prompt_ms",
    )

    def __init__(
        self,
        first_event_ms,
        age_ms,
        running,
        waiting,
        prefill_tokens,
        pace,
        slots=1,
        slot_wait_ms=0.0,
        tokens=0.0,
        prompt_ms=0.0,
    ):
        self.first_event_ms = first_event_ms
        self.age_ms = age_ms
        self.running = running
        self.waiting = waiting
        self.prefill_tokens = prefill_tokens
        self.pace = pace
        self.slots = slots
        self.slot_wait_ms = slot_wait_ms
        self.tokens = tokens
        self.prompt_ms = prompt_ms

    @property
    def slowdown(self):
        """Factor by which work there takes longer than on an idle engine."""
        return self.pace * (1 + STEP_SLOWDOWN_PER_REQUEST * self.running)


def room_wait_ms(estimate, times, kv_tokens, metadata, priority):
    """Return the time until a server has room for a request; 0 if it has now.

    Parameters
    ----------
    estimate : StartEstimate
        For the request at the server.
    times : ServiceTimes
    kv_tokens : int
        Tokens that fit into the server's memory; 0 if unknown.
    metadata : RequestMetadata or None
    priority : int
    """
    requests = estimate.running + estimate.waiting
    if requests == 0:
        return 0.0
    slots = estimate.slots
    slot_ms = estimate.pace * times.run_ms / slots
    queued_ms = by_priority(QUEUED_MS_FIRST, QUEUED_MS_LAST, priority)
    queued = min(MAX_QUEUED - priority, queued_ms / slot_ms)
    wait_ms = (requests + 1 - slots - queued) * slot_ms
    if metadata is None:
        return max(0.0, wait_ms)
    prefill_ms = estimate.slowdown * estimate.prefill_tokens * times.ms_per_token
    if prefill_ms > estimate.prompt_ms + NOTHING_AHEAD_MS:
        # A long prompt may always go where no other one is ahead of it.
        most_ms = by_priority(PREFILL_AHEAD_MS_FIRST, PREFILL_AHEAD_MS_LAST, priority)
        wait_ms = max(wait_ms, prefill_ms - most_ms)
    if kv_tokens:
        share = by_priority(KV_SHARE_FIRST, KV_SHARE_LAST, priority)
        # What they hold may have grown since the count by other VMs' requests.
        changed = requests * min(1.0, estimate.age_ms / times.run_ms)
        held = estimate.tokens * (1 + KV_DEVIATIONS * math.sqrt(changed) / requests)
        excess = held + (metadata.tokens or 0) - share * kv_tokens
        if excess > 0 and held:
            # Each request that ends frees the mean of what they hold.
            wait_ms = max(wait_ms, excess * requests / held * slot_ms)
    return max(0.0, wait_ms)


def expected_excess(mean, variance):
    """Return how many requests more than zero to expect of a normal distribution.

    An old count of a nearly full server is worth less than a new one: part of the
    requests counted have ended, and others have come, neither of which is known.
    """
    if variance <= 0:
        return max(0.0, mean)
    deviation = math.sqrt(variance)
    ratio = mean / deviation
    if ratio < -4:
        return 0.0
    density = math.exp(-ratio * ratio / 2) / math.sqrt(2 * math.pi)
    return mean * (1 + math.erf(ratio / math.sqrt(2))) / 2 + deviation * density
