"""Mutations of JSON values for tests of decoders."""

ODD = [
    None,
    True,
    -1,
    0.5,
    1e300,
    float("inf"),
    2**60,
    10**30,
    "",
    "\n",
    "\u20ac",
    [],
    {},
    [None],
    {"": 1},
]


def mutate(value, rng):
    """Return a JSON value in which one part is another one, missing or repeated."""
    if isinstance(value, (list, dict)) and value and rng.random() < 0.9:
        keys = list(value) if isinstance(value, dict) else range(len(value))
        key = rng.choice(keys)
        changed = value.copy()
        how = rng.random()
        if how < 0.05:
            del changed[key]
        elif how < 0.1 and isinstance(value, list):
            changed.append(value[key])
        else:
            changed[key] = mutate(value[key], rng)
        return changed
    return rng.choice(ODD)
