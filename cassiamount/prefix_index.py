"""Index of the prompt prefixes that each replica probably has in its cache."""

from collections import OrderedDict

# Tokens in one block of a prompt, for which `RequestInfo.prefix_hashes` has one hash.
PREFIX_BLOCK_TOKENS = 128
# Blocks indexed over all replicas. An entry takes about 110 bytes, so the full index
# takes 33 MB of the 256 MB of a node.
TOTAL_BLOCKS_LIMIT = 300_000
# Fraction of a prefix that counts as cached if cache events of the replica were missed
# since, because the missed events may have been removals.
UNCERTAIN_FRACTION = 0.5

STORED = "stored"
REMOVED = "removed"
CLEARED = "cleared"


class CacheEvent:
    """A change in the prefix cache of an engine.

    Parameters
    ----------
    sequence : int
        Consecutive number within one incarnation of the engine.
    kind : str
        ``stored``, ``removed`` or ``cleared``.
    block_hash : int
        Hash of the prefix up to and including the block.
    """

    __slots__ = ("sequence", "kind", "block_hash")

    def __init__(self, sequence, kind, block_hash=0):
        self.sequence = sequence
        self.kind = kind
        self.block_hash = block_hash


class _ReplicaBlocks:
    __slots__ = ("blocks", "epoch", "next_sequence", "incarnation")

    def __init__(self):
        # Block hash -> epoch of its last confirmation, least recently used first. A new
        # epoch begins when events were missed.
        self.blocks = OrderedDict()
        self.epoch = 0
        self.next_sequence = None
        self.incarnation = None


class PrefixIndex:
    """Bounded index of the cached prefix blocks of each replica, with LRU eviction.

    Parameters
    ----------
    total_limit : int
        Largest number of blocks over all replicas.
    """

    __slots__ = ("_replicas", "_total_limit")

    def __init__(self, total_limit=TOTAL_BLOCKS_LIMIT):
        self._replicas = {}
        self._total_limit = total_limit

    def __len__(self):
        return sum(len(replica.blocks) for replica in self._replicas.values())

    def next_sequence(self, backend):
        """Return the number of the next event expected from `backend`, or 0."""
        replica = self._replicas.get(backend)
        return (replica.next_sequence or 0) if replica else 0

    def on_events(self, backend, incarnation, events):
        """Apply cache events, which may be late, repeated or incomplete.

        Parameters
        ----------
        backend, incarnation : str
        events : iterable of CacheEvent
            In order of their sequence.
        """
        replica = self._replica(backend)
        if replica.incarnation != incarnation:
            # A restarted engine has an empty cache and restarts its event numbers.
            replica.blocks.clear()
            replica.next_sequence = None
            replica.incarnation = incarnation
        for event in events:
            expected = replica.next_sequence
            if expected is not None and event.sequence < expected:
                continue
            if expected is not None and event.sequence > expected:
                replica.epoch += 1
            replica.next_sequence = event.sequence + 1
            self._apply(replica, event)

    def on_sent(self, backend, prefix_hashes):
        """Assume that `backend` caches the prefix of a prompt that was sent to it."""
        replica = self._replica(backend)
        for block_hash in prefix_hashes:
            self._store(replica, block_hash)

    def cached_tokens(self, backend, prefix_hashes):
        """Return how many leading tokens of a prompt `backend` probably caches."""
        replica = self._replicas.get(backend)
        if replica is None:
            return 0
        blocks = 0
        uncertain = False
        for block_hash in prefix_hashes:
            epoch = replica.blocks.get(block_hash)
            if epoch is None:
                break
            uncertain |= epoch < replica.epoch
            blocks += 1
        tokens = blocks * PREFIX_BLOCK_TOKENS
        return int(tokens * UNCERTAIN_FRACTION) if uncertain else tokens

    def remove_backend(self, backend):
        """Remove the blocks of a replica from the index."""
        self._replicas.pop(backend, None)

    def _replica(self, backend):
        replica = self._replicas.get(backend)
        if replica is None:
            replica = self._replicas[backend] = _ReplicaBlocks()
            limit = self._blocks_per_replica()
            for other in self._replicas.values():
                while len(other.blocks) > limit:
                    other.blocks.popitem(last=False)
        return replica

    def _blocks_per_replica(self):
        return max(1, self._total_limit // max(1, len(self._replicas)))

    def _apply(self, replica, event):
        if event.kind == STORED:
            self._store(replica, event.block_hash)
        elif event.kind == REMOVED:
            replica.blocks.pop(event.block_hash, None)
        elif event.kind == CLEARED:
            replica.blocks.clear()

    def _store(self, replica, block_hash):
        replica.blocks[block_hash] = replica.epoch
        replica.blocks.move_to_end(block_hash)
        if len(replica.blocks) > self._blocks_per_replica():
            replica.blocks.popitem(last=False)
