"""Durations that several modules must agree on, and the bound on clock drift."""

# Bound on the relative error of a VM's monotonic clock against true time.
MAX_CLOCK_DRIFT = 0.01
LEASE_MS = 4_000
# Longest extension of a lease by promises, counted from its last renewal.
EXTENSION_LIMIT_MS = 3_600_000
# A lease without a renewal for this long is orphaned. Longer than a holder can extend
# it, by more than the drift of both clocks (2 x 1% of an hour is 72 s).
ORPHAN_TIMEOUT_MS = 3_700_000
# A VM whose address takes no connections has ended, or does so within this time: its
# server lets calls finish for half a second after it stops listening.
SERVER_SHUTDOWN_MS = 1_000


def at_most_ms(duration_ms):
    """Return the reading of a local clock that is never longer than `duration_ms`."""
    return duration_ms * (1 - MAX_CLOCK_DRIFT)


def at_least_ms(duration_ms):
    """Return the reading of a local clock that is never shorter than `duration_ms`."""
    return duration_ms * (1 + MAX_CLOCK_DRIFT)
