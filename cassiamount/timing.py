"""Lease durations that several modules share, and the bound on clock drift."""

# Upper bound on the relative error of a VM's monotonic clock against true time.
MAX_CLOCK_DRIFT = 0.01
LEASE_MS = 4_000
# While the log is down, promises of the other members can extend a lease up to this
# long after its last renewal.
EXTENSION_LIMIT_MS = 3_600_000
# A lease that was not renewed for this long is orphaned, and any VM may claim it.
# It exceeds EXTENSION_LIMIT_MS by more than the drift of both clocks (2 x 1% of an hour
# is 72 s), so the holder has stopped using the lease by then.
ORPHAN_TIMEOUT_MS = 3_700_000
# A VM whose address refuses connections has ended or ends within this time: its peer
# server lets calls finish for half a second after it stops listening.
SERVER_SHUTDOWN_MS = 1_000


def at_most_ms(duration_ms):
    """Return the local clock time that takes at most `duration_ms` of true time."""
    return duration_ms * (1 - MAX_CLOCK_DRIFT)


def at_least_ms(duration_ms):
    """Return the local clock time that takes at least `duration_ms` of true time."""
    return duration_ms * (1 + MAX_CLOCK_DRIFT)
