"""Commands and answers of the lease objects."""


class AppendClaim:
    """Append a claim; the same record again until the outcome is known."""

    __slots__ = ("record",)

    def __init__(self, record):
        self.record = record


class AppendRenewal:
    """Append a renewal; the same record again until the outcome is known."""

    __slots__ = ("record",)

    def __init__(self, record):
        self.record = record


class RequestPromises:
    """Ask every VM in `promisers` for a promise.

    Parameters
    ----------
    round_number : int
    holder, lease : str
    promisers : tuple of str
        Identities.
    fence : int
    duration_ms : float
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
    """Stop to use the lease for good; another VM has it or it was released."""

    __slots__ = ("lease", "reason")

    def __init__(self, lease, reason):
        self.lease = lease
        self.reason = reason


class PromiseReply:
    """Answer to a request for a promise."""

    __slots__ = ("promised", "reason")

    def __init__(self, promised, reason=""):
        self.promised = promised
        self.reason = reason
