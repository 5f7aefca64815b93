"""Bin packing: whether items of given sizes fit into bins of given capacities."""

# Limit on the steps of the exact search. A step count, unlike a time limit, gives the
# same result on every VM that checks a published configuration.
MAX_SEARCH_STEPS = 20_000


def can_pack(sizes, capacities, search_steps=MAX_SEARCH_STEPS):
    """Return whether a packing of all items into the bins was found.

    Tries best fit decreasing first, then an exact search of at most `search_steps`
    steps. Items that fit may thus be reported as not fitting if the search ends early.

    Parameters
    ----------
    sizes, capacities : list of int
        In the same unit.
    search_steps : int

    Returns
    -------
    bool
    """
    sizes = sorted(sizes, reverse=True)
    if sum(sizes) > sum(capacities):
        return False
    return _best_fit(sizes, list(capacities)) or _search(
        sizes, list(capacities), search_steps
    )


def _best_fit(sizes, free):
    for size in sizes:
        candidates = [index for index, space in enumerate(free) if space >= size]
        if not candidates:
            return False
        free[min(candidates, key=free.__getitem__)] -= size
    return True


def _search(sizes, free, steps):
    """Depth-first search over the bins with distinct free space for each item."""
    choices = []
    placed = []
    position = 0
    while position < len(sizes):
        if position == len(choices):
            size = sizes[position]
            # Bins with equal free space are interchangeable, so one of them is tried.
            bin_by_space = {
                space: index for index, space in enumerate(free) if space >= size
            }
            choices.append(
                [bin_by_space[space] for space in sorted(bin_by_space, reverse=True)]
            )
        steps -= 1
        if steps < 0:
            return False
        if choices[position]:
            index = choices[position].pop()
            free[index] -= sizes[position]
            placed.append(index)
            position += 1
        else:
            choices.pop()
            if not placed:
                return False
            position -= 1
            free[placed.pop()] += sizes[position]
    return True
