"""Callers' keys: generation, hashes, and the table from key to team."""

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

    A plain hash suffices because keys are 32 random bytes; it costs a microsecond,
    which each request pays.
    """
    return (
        HASH_PREFIX + hashlib.sha256(key.encode("utf-8", "surrogatepass")).hexdigest()
    )


def is_key_hash(text):
    """Return whether `text` has the form of a key hash."""
    return _HASH_PATTERN.fullmatch(text) is not None


class KeyTable:
    """Which team each key belongs to, and which keys were withdrawn.

    Parameters
    ----------
    teams : mapping of str to str
        Key hash -> team.
    withdrawn : iterable of str
        Key hashes that are refused whatever `teams` says.
    """

    __slots__ = ("_teams", "_withdrawn", "_withdrawn_here")

    def __init__(self, teams=None, withdrawn=()):
        self._withdrawn = set(withdrawn)
        self._withdrawn_here = set()
        self._teams = {}
        self.replace(teams or {})

    def replace(self, teams):
        """Set the keys of all teams; withdrawn keys stay withdrawn."""
        self._teams = {
            key_hash: (key_hash, team)
            for key_hash, team in teams.items()
            if key_hash not in self._withdrawn and key_hash not in self._withdrawn_here
        }

    def withdraw(self, key_hash):
        """Refuse a key from now on, by a record of the log."""
        self._withdrawn.add(key_hash)
        self._teams.pop(key_hash, None)

    def withdraw_here(self, key_hash):
        """Refuse a key on this VM only, before the log says so.

        An operator uses this in a log outage; it is not part of the shared state.
        """
        self._withdrawn_here.add(key_hash)
        self._teams.pop(key_hash, None)

    @property
    def withdrawn(self):
        """Hashes withdrawn by the log."""
        return frozenset(self._withdrawn)

    @property
    def withdrawn_here(self):
        """Hashes withdrawn on this VM directly."""
        return frozenset(self._withdrawn_here)

    def is_withdrawn(self, key_hash):
        """Return whether a key is withdrawn, by the log or on this VM."""
        return key_hash in self._withdrawn or key_hash in self._withdrawn_here

    def resolve(self, key):
        """Return the team of a key.

        Parameters
        ----------
        key : str
            As the caller sent it.

        Returns
        -------
        str or None
            None for an unknown or withdrawn key.
        """
        return self.team_of_hash(hash_key(key))

    def team_of_hash(self, key_hash):
        """Return the team of a key that is known by its hash, or None."""
        # The table is indexed by hash, so that timing tells nothing about the key; the
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
