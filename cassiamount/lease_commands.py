"""Commands that the lease state machines return, and replies to promise requests."""


class AppendClaim:
    """Append a claim; repeated with the same record until its outcome is known."""

    __slots__ = ("record",)

    def __init__(self, record):
        self.record = record


class AppendRenewal:
    """Append a renewal; repeated with the same record until its outcome is known."""

    __slots__ = ("record",)

    def __init__(self, record):
        self.record = record


class RequestPromises:
    """Ask every VM in `promisers` to promise not to claim the lease.

    Parameters
    ----------
    round_number : int
        Tells the replies to this command from those to an earlier one.
    holder, lease : str
    promisers : tuple of str
        Identities of the VMs to ask.
    fence : int
    duration_ms : float
        How long each promise lasts from the time at which it is made.
    """

    __slots__ = (
        "round_number",
        "holder",
        "promisers",
        "lease",
        "fence",
        "duration_ms",
    )

    def __init__(self, round_number, holder, promisers, lease, fence, duration_ms):
        self.round_number = round_number
        self.holder = holder
        self.promisers = promisers
        self.lease = lease
        self.fence = fence
        self.duration_ms = duration_ms


class LeaseLost:
    """The lease must not be used any more: another VM claimed it or it was released."""

    __slots__ = ("lease", "reason")

    def __init__(self, lease, reason):
        self.lease = lease
        self.reason = reason


class PromiseReply:
    """Reply to a request for a promise, with the reason if it was refused."""

    __slots__ = ("promised", "reason")

    def __init__(self, promised, reason=""):
        self.promised = promised
        self.reason = reason
