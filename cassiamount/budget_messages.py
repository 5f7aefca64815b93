"""Messages between budget owners and holders; ``peer.proto`` has their wire form."""


class TokenRequest:
    """A holder requests a block of a team's tokens.

    Parameters
    ----------
    team : str
    want_tokens, min_tokens : int
        A granted block has at least `min_tokens` and at most `want_tokens`.
    """

    __slots__ = ("team", "want_tokens", "min_tokens")

    def __init__(self, team, want_tokens, min_tokens):
        self.team = team
        self.want_tokens = want_tokens
        self.min_tokens = min_tokens


class Grant:
    """A block of tokens that an owner lent to a holder until a deadline.

    Parameters
    ----------
    grant_id : str
        ``<zone>/<partition>/<fence>/<number>``; `owner_of` returns the owner.
    tokens : int
    deadline_ms : float
        When the block expires, in local time of the VM that has this object.
    lifetime_ms : float
        Duration in true time, from the moment before the request was sent. It is sent
        between VMs in place of the deadline, because their clocks differ.
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
    """The owner has too few tokens for a request.

    Parameters
    ----------
    retry_after_ms : float
    """

    __slots__ = ("retry_after_ms",)

    def __init__(self, retry_after_ms):
        self.retry_after_ms = retry_after_ms


class NotOwner:
    """The receiver does not own the team's bucket, or owns it no longer."""

    __slots__ = ()


class Use:
    """Tokens of one grant used and tokens returned since the last report."""

    __slots__ = ("grant_id", "used_tokens", "returned_tokens")

    def __init__(self, grant_id, used_tokens, returned_tokens):
        self.grant_id = grant_id
        self.used_tokens = used_tokens
        self.returned_tokens = returned_tokens


class Refund:
    """Tokens that were reported as used and were not needed in the end.

    Parameters
    ----------
    team : str
    grant_id : str
    tokens : int
    charged_age_ms : float
        Age of the charge when the report was built.
    """

    __slots__ = ("team", "grant_id", "tokens", "charged_age_ms")

    def __init__(self, team, grant_id, tokens, charged_age_ms):
        self.team = team
        self.grant_id = grant_id
        self.tokens = tokens
        self.charged_age_ms = charged_age_ms


class Report:
    """Uses and refunds for one owner; sent again unchanged until acknowledged.

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
    """Return zone, partition and fence of the owner that issued a grant.

    Raises
    ------
    ValueError
        If `grant_id` does not have the form of a grant id.
    """
    zone, partition, fence, _ = grant_id.rsplit("/", 3)
    return zone, int(partition), int(fence)
