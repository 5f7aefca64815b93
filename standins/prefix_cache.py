"""Prefix cache of the engine stand-in with late and gapped events."""

import time
from collections import OrderedDict, deque

from .generation import BLOCK_TOKENS, block_hashes


class PrefixCache:
    """Cached prompt blocks in a limited memory, least recently used first out.

    Parameters
    ----------
    capacity_tokens : int
    events_kept : int
        Older events are forgotten, which a reader sees as a gap.
    lag_ms : float
        Time until an event can be read.
    """

    def __init__(self, capacity_tokens, events_kept, lag_ms):
        self._capacity_blocks = capacity_tokens // BLOCK_TOKENS
        self._blocks = OrderedDict()
        self._events = deque(maxlen=events_kept)
        self._next_offset = 0
        self._lag_ms = lag_ms
        self.gap_next = 0

    def use(self, model, prompt):
        """Cache a prompt and return how many of its tokens were cached before."""
        hashes = block_hashes(model, prompt)
        cached = 0
        while cached < len(hashes) and (model, hashes[cached]) in self._blocks:
            self._blocks.move_to_end((model, hashes[cached]))
            cached += 1
        for block_hash in hashes[cached:]:
            self._blocks[model, block_hash] = None
            self._blocks.move_to_end((model, block_hash))
            self._event("stored", model, block_hash)
        while len(self._blocks) > self._capacity_blocks:
            (evicted_model, block_hash), _ = self._blocks.popitem(last=False)
            self._event("evicted", evicted_model, block_hash)
        return cached * BLOCK_TOKENS

    def forget_model(self, model):
        """Drop a model's blocks when the model is unloaded."""
        for key in [key for key in self._blocks if key[0] == model]:
            del self._blocks[key]
            self._event("evicted", *key)

    def _event(self, action, model, block_hash):
        offset = self._next_offset
        self._next_offset += 1
        if self.gap_next > 0:
            self.gap_next -= 1
            return
        event = {
            "offset": offset,
            "action": action,
            "model": model,
            "prefix_hash": block_hash,
        }
        self._events.append((time.monotonic() * 1000, event))

    def events_from(self, offset, limit=5000):
        """Return the readable events from an offset on, as ``/cache/events`` does."""
        visible_ms = time.monotonic() * 1000 - self._lag_ms
        visible = [event for at_ms, event in self._events if at_ms <= visible_ms]
        events = [event for event in visible if event["offset"] >= offset][:limit]
        earliest = self._events[0][1]["offset"] if self._events else self._next_offset
        following = events[-1]["offset"] + 1 if events else max(offset, earliest)
        return {
            "events": events,
            "earliest": earliest,
            "next": min(following, self._next_offset),
        }
