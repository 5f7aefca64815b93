"""Positions in the metadata store that grow also when the store loses records.

The store may come back from an older copy. It then gives out offsets and generations
again that it had used before, and begins a new era. A position is an offset or a
generation together with its era, as one integer, so that positions of different eras
are never equal and those of a later era are higher.
"""

# Larger than any offset or generation. Positions stay below 2**53, so that JSON readers
# which use floating point keep them exact, for 9,007 eras.
ERA_SPAN = 10**12


def position(era, offset):
    """Return the position of an offset or a generation in an era."""
    return era * ERA_SPAN + offset


def split_position(value):
    """Return the era and the offset or generation of a position."""
    return divmod(value, ERA_SPAN)


def era_of(value):
    """Return the era of a position."""
    return value // ERA_SPAN
