"""Entries of `ClaimState` and the results of its look-ups."""

IN_PROGRESS = "in-progress"
FINISHED = "finished"
ABANDONED = "abandoned"


class Claim:
    """A claim of an idempotency key that was first in the log.

    Parameters
    ----------
    team, key, fingerprint, request_id : str
    vm : str
        ``<name>@<incarnation>`` of the VM that carries the request.
    certain : bool
        False if an earlier claim of the key may have been trimmed from the log.
    claimed_ms : int
        Time of the last claim of the key, whether it won or lost.
    state : str
        ``in-progress``, ``finished`` or ``abandoned``.
    status : int
        HTTP status of the response; 0 while there is none.
    content_type : str
    body : str or None
        Base64; None if the response was too large to be kept.
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
        """Return the JSON form."""
        return [getattr(self, name) for name in self.__slots__]


class KeyAvailable:
    """Nobody holds the key; a claim may be appended."""

    __slots__ = ()


class KeyHeld:
    """An earlier request holds the key.

    Parameters
    ----------
    claim : Claim
        `claim.state` tells whether its response is known.
    """

    __slots__ = ("claim",)

    def __init__(self, claim):
        self.claim = claim


class FingerprintMismatch:
    """The key was used for another request."""

    __slots__ = ("claim",)

    def __init__(self, claim):
        self.claim = claim
