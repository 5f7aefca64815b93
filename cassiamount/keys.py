"""API keys of callers: generation, hashing, and lookup of the team of a key."""

import hashlib
import hmac
import re
import secrets

from .invariants import WITHDRAWN_KEY_REFUSED, require

KEY_PREFIX = "ck-"
KEY_BYTES = 32
HASH_PREFIX = "sha256:"
_HASH_PATTERN = re.compile(r"sha256:[0-9a-f]{64}")


def generate_key():
    """Return a new random key."""
    return KEY_PREFIX + secrets.token_urlsafe(KEY_BYTES)


def hash_key(key):
    """Return the hash ``sha256:<hex>`` of a key.

    A plain hash without salt or stretching is safe because a key is 32 random bytes.
    It is computed for each request and takes a microsecond.
    """
    return (
        HASH_PREFIX + hashlib.sha256(key.encode("utf-8", "surrogatepass")).hexdigest()
    )


def is_key_hash(text):
    """Return whether `text` has the form of a key hash."""
    return _HASH_PATTERN.fullmatch(text) is not None


class KeyTable:
    """Maps key hashes to teams and rejects withdrawn keys.

    Parameters
    ----------
    teams : mapping of str to str
        Key hash -> team.
    withdrawn : iterable of str
        Key hashes that are rejected even if `teams` contains them.
    """

    __slots__ = ("_teams", "_withdrawn", "_withdrawn_here")

    def __init__(self, teams=None, withdrawn=()):
        self._withdrawn = set(withdrawn)
        self._withdrawn_here = set()
        self._teams = {}
        self.replace(teams or {})

    def replace(self, teams):
        """Replace the keys of all teams; withdrawn keys stay withdrawn."""
        self._teams = {
            key_hash: (key_hash, team)
            for key_hash, team in teams.items()
            if key_hash not in self._withdrawn and key_hash not in self._withdrawn_here
        }

    def withdraw(self, key_hash):
        """Reject a key from now on because a log record withdraws it."""
        self._withdrawn.add(key_hash)
        self._teams.pop(key_hash, None)

    def withdraw_here(self, key_hash):
        """Reject a key on this VM only, without a log record.

        Operators use this during a log outage; it is not part of the replicated state.
        """
        self._withdrawn_here.add(key_hash)
        self._teams.pop(key_hash, None)

    @property
    def withdrawn(self):
        """Hashes of the keys that log records have withdrawn."""
        return frozenset(self._withdrawn)

    @property
    def withdrawn_here(self):
        """Hashes of the keys that an operator has withdrawn on this VM only."""
        return frozenset(self._withdrawn_here)

    def is_withdrawn(self, key_hash):
        """Return whether a key is withdrawn, by a log record or on this VM only."""
        return key_hash in self._withdrawn or key_hash in self._withdrawn_here

    def resolve(self, key):
        """Return the team to which a key belongs.

        Parameters
        ----------
        key : str
            The key itself, as the caller sent it.

        Returns
        -------
        str or None
            None for an unknown or withdrawn key.
        """
        return self.team_of_hash(hash_key(key))

    def team_of_hash(self, key_hash):
        """Return the team of the key with this hash, or None."""
        # Looking up the hash keeps response times from revealing the key; the
        # comparison takes the same time wherever the first difference is.
        stored, team = self._teams.get(key_hash, ("", None))
        if not hmac.compare_digest(
            stored.encode(), key_hash.encode("utf-8", "replace")
        ):
            return None
        require(
            not self.is_withdrawn(key_hash),
            WITHDRAWN_KEY_REFUSED,
            key_hash=key_hash,
            team=team,
        )
        return team

    def __len__(self):
        return len(self._teams)
