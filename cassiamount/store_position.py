"""Positions in the metadata store that grow also when the store loses records.

The store may come back from an older copy. It then gives out offsets and generations
again that it had used before, and begins a new era. A position is an offset or a
generation together with its era, as one integer, so that positions of different eras
are never equal and those of a later era are higher.
"""

import re

# Larger than any offset or generation. Positions stay below 2**53, so that JSON readers
# which use floating point keep them exact, for 9,007 eras.
ERA_SPAN = 10**12
ERA = re.compile("[0-9]{1,3}|[0-8][0-9]{3}", re.ASCII)
# Changes of a group between two calls in a row at most, and while a VM stood still.
MAX_GENERATION_RISE = 100
MAX_MISSED_GENERATIONS = 1_000_000
# Eras that can have begun while a VM did not hear from the store.
MAX_MISSED_ERAS = 10


def position(era, offset):
    """Return the position of an offset or a generation in an era."""
    return era * ERA_SPAN + offset


def split_position(value):
    """Return the era and the offset or generation of a position."""
    return divmod(value, ERA_SPAN)


def era_of(value):
    """Return the era of a position."""
    return value // ERA_SPAN


def parse_era(text):
    """Return the era that an answer of the store names.

    Raises
    ------
    ValueError
    """
    if not ERA.fullmatch(text):
        raise ValueError(f"era {text[:20]!r}")
    return int(text)


class StoreEra:
    """The store's era, by what its answers name.

    Nothing leads back from an era, so one answer with a wrong one would end the use of
    the store for ever. A later era counts only if two answers in a row name it, and not
    if it is far beyond the known one, as each return of the store raises it by one.
    """

    __slots__ = ("known", "_named")

    def __init__(self):
        # 0 if the store names none.
        self.known = 0
        # Later era that the last answer named.
        self._named = None

    def observe(self, era):
        """Process the era that an answer names; return whether it is known now."""
        if self.known and era > self.known + MAX_MISSED_ERAS:
            return False
        if era == self._named:
            self.known = max(self.known, era)
        self._named = era if era > self.known else None
        return era <= self.known


def is_next_generation(generation, before, known):
    """Return whether two answers in a row agree on a generation, which only rises.

    It is a fencing token: with one wrong answer, no later token would be accepted.

    Parameters
    ----------
    generation, before : int
        Positions in the two answers.
    known : int
        Position before them; 0 if there is none.
    """
    if (
        known
        and era_of(known) == era_of(generation)
        and generation - known > MAX_MISSED_GENERATIONS
    ):
        return False
    return 0 <= generation - before <= MAX_GENERATION_RISE
