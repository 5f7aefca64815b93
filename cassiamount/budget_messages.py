"""Messages between owners and holders of budgets, as in ``peer.proto``."""


class TokenRequest:
    """A holder wants tokens of a team.

    Parameters
    ----------
    team : str
    want_tokens, min_tokens : int
        A grant has between `min_tokens` and `want_tokens`.
    """

    __slots__ = ("team", "want_tokens", "min_tokens")

    def __init__(self, team, want_tokens, min_tokens):
        self.team = team
        self.want_tokens = want_tokens
        self.min_tokens = min_tokens


class Grant:
    """A block of tokens.

    Parameters
    ----------
    grant_id : str
        ``<zone>/<partition>/<fence>/<number>``; `owner_of` names the owner.
    tokens : int
    deadline_ms : float
        Last use, on the clock of the VM that has this object.
    lifetime_ms : float
        True time from the moment before the request was sent; crosses VMs.
    """

    __slots__ = ("grant_id", "tokens", "deadline_ms", "lifetime_ms")

    def __init__(self, grant_id, tokens, deadline_ms, lifetime_ms=0.0):
        self.grant_id = grant_id
        self.tokens = tokens
        self.deadline_ms = deadline_ms
        self.lifetime_ms = lifetime_ms

    def __repr__(self):
        return f"Grant({self.grant_id!r}, {self.tokens}, until {self.deadline_ms:.1f})"


class Shortage:
    """The owner has too few tokens.

    Parameters
    ----------
    retry_after_ms : float
    """

    __slots__ = ("retry_after_ms",)

    def __init__(self, retry_after_ms):
        self.retry_after_ms = retry_after_ms


class NotOwner:
    """The receiver does not own the bucket of the team (any more)."""

    __slots__ = ()


class Use:
    """Tokens of a grant that were used and that are returned, since the last report."""

    __slots__ = ("grant_id", "used_tokens", "returned_tokens")

    def __init__(self, grant_id, used_tokens, returned_tokens):
        self.grant_id = grant_id
        self.used_tokens = used_tokens
        self.returned_tokens = returned_tokens


class Refund:
    """Tokens that were reported as used and turned out not to be needed.

    Parameters
    ----------
    team : str
    grant_id : str
    tokens : int
    charged_age_ms : float
        Age of the charge when the report was made.
    """

    __slots__ = ("team", "grant_id", "tokens", "charged_age_ms")

    def __init__(self, team, grant_id, tokens, charged_age_ms):
        self.team = team
        self.grant_id = grant_id
        self.tokens = tokens
        self.charged_age_ms = charged_age_ms


class Report:
    """Uses and refunds for one owner; sent again unchanged until it is answered.

    Parameters
    ----------
    owner : tuple of (str, int, int)
        Zone, partition and fence of the owner.
    sequence : int
    uses : list of Use
    refunds : list of Refund
    """

    __slots__ = ("owner", "sequence", "uses", "refunds")

    def __init__(self, owner, sequence, uses, refunds):
        self.owner = owner
        self.sequence = sequence
        self.uses = uses
        self.refunds = refunds


def owner_of(grant_id):
    """Return zone, partition and fence of the owner that made a grant.

    Raises
    ------
    ValueError
        If `grant_id` was not made by an owner.
    """
    zone, partition, fence, _ = grant_id.rsplit("/", 3)
    return zone, int(partition), int(fence)
