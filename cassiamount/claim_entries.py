"""Idempotency claims as `ClaimState` holds them, and the results of its look-ups."""

IN_PROGRESS = "in-progress"
FINISHED = "finished"
ABANDONED = "abandoned"


class Claim:
    """An accepted claim: the first one in the log for its idempotency key.

    Parameters
    ----------
    team, key : str
        The idempotency key belongs to the team.
    fingerprint : str
        Hash of the request, to detect that the key is reused for another one.
    request_id : str
    vm : str
        ``<name>@<incarnation>`` of the VM that handles the request.
    certain : bool
        False if an earlier claim of the key may have been trimmed from the log.
    claimed_ms : int
        Time of the latest claim of the key, accepted or rejected.
    state : str
        ``in-progress``, ``finished`` or ``abandoned``.
    status : int
        HTTP status of the response; 0 while there is none.
    content_type : str
    body : str or None
        Response body in Base64; None if there is none yet or it is not stored.
    """

    __slots__ = (
        "team",
        "key",
        "fingerprint",
        "request_id",
        "vm",
        "certain",
        "claimed_ms",
        "state",
        "status",
        "content_type",
        "body",
    )

    def __init__(
        self,
        team,
        key,
        fingerprint,
        request_id,
        vm,
        certain,
        claimed_ms,
        state=IN_PROGRESS,
        status=0,
        content_type="",
        body=None,
    ):
        self.team = team
        self.key = key
        self.fingerprint = fingerprint
        self.request_id = request_id
        self.vm = vm
        self.certain = certain
        self.claimed_ms = claimed_ms
        self.state = state
        self.status = status
        self.content_type = content_type
        self.body = body

    def to_state(self):
        """Return the claim as a JSON array in the order of ``__slots__``."""
        return [getattr(self, name) for name in self.__slots__]


class KeyAvailable:
    """No request holds the key, so a claim may be appended."""

    __slots__ = ()


class KeyHeld:
    """An earlier request holds the key.

    Parameters
    ----------
    claim : Claim
        `claim.state` says whether the response of that request is recorded.
    """

    __slots__ = ("claim",)

    def __init__(self, claim):
        self.claim = claim


class FingerprintMismatch:
    """The key is held by a request with another fingerprint."""

    __slots__ = ("claim",)

    def __init__(self, claim):
        self.claim = claim
