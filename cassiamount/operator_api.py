"""What operators do, as an asynchronous API that other programs can embed."""

import asyncio
import uuid

from result import Err, Ok

from .admin_client import read_status, withdraw_on_vms
from .config_state import ConfigState
from .configuration import InvalidConfiguration, configuration_from_document
from .keys import generate_key, hash_key, is_key_hash
from .records import (
    DrainBackend,
    GiveKey,
    PublishConfiguration,
    ReleaseLease,
    UndrainBackend,
    WithdrawKey,
)
from .stream_reader import StreamReader
from .stream_state import Rejected
from .zone_state import ZoneState

CONFIG_STREAM = "config"
# More than twice the duration of a lease: a live holder renews within it, and the
# tokens that a dead one gave have expired.
RELEASE_WATCH_S = 10.0

__all__ = [
    "Done",
    "GivenKeyOnce",
    "InvalidDocument",
    "LostRace",
    "OperatorApi",
    "Published",
    "Refused",
    "read_status",
    "withdraw_on_vms",
]


class Published:
    """A configuration was accepted.

    Parameters
    ----------
    version : int
    withdrawn_keys : list of str
        Key hashes of the document that stay refused because they were withdrawn.
    """

    __slots__ = ("version", "withdrawn_keys")

    def __init__(self, version, withdrawn_keys=()):
        self.version = version
        self.withdrawn_keys = list(withdrawn_keys)


class LostRace:
    """Another configuration came into force first; nothing was changed.

    Parameters
    ----------
    base_version : int
        The version that the document was based on.
    version_in_force : int
    document_in_force : dict
    """

    __slots__ = ("base_version", "version_in_force", "document_in_force")

    def __init__(self, base_version, version_in_force, document_in_force):
        self.base_version = base_version
        self.version_in_force = version_in_force
        self.document_in_force = document_in_force

    def __str__(self):
        return (
            f"the document is based on version {self.base_version}, but version"
            f" {self.version_in_force} is in force; nothing was changed"
        )


class InvalidDocument:
    """The document has findings; nothing was written."""

    __slots__ = ("findings",)

    def __init__(self, findings):
        self.findings = findings


class Refused:
    """The record is in the log and was rejected, or was not written."""

    __slots__ = ("reason",)

    def __init__(self, reason):
        self.reason = reason

    def __str__(self):
        return self.reason


class Done:
    """The record was applied.

    Parameters
    ----------
    offset : int
        Its offset in the stream.
    """

    __slots__ = ("offset",)

    def __init__(self, offset):
        self.offset = offset


class GivenKeyOnce:
    """A new key; only its hash is stored, so it cannot be shown again."""

    __slots__ = ("key", "key_hash", "team")

    def __init__(self, key, key_hash, team):
        self.key = key
        self.key_hash = key_hash
        self.team = team

    def __repr__(self):
        # The key itself must not get into logs.
        return f"GivenKeyOnce({self.key_hash!r}, {self.team!r})"


class OperatorApi:
    """Reads and changes the shared state through the log.

    Methods raise `PlatformUnavailable` if nothing was written because the log cannot
    be reached, and `AppendOutcomeUnknown` if a record may have been written.

    Parameters
    ----------
    log : object
        Client of the log, with ``append`` and ``read``.
    operator : str
        Name of the operator, recorded as the writer.
    """

    __slots__ = ("_log", "_writer", "_config")

    def __init__(self, log, operator="operator"):
        self._log = log
        self._writer = f"operator/{operator}"
        self._config = StreamReader(log, CONFIG_STREAM, ConfigState())

    async def read_state(self):
        """Return the `ConfigState` at the head of the log."""
        await self._config.catch_up()
        return self._config.fold

    async def publish(self, document, base_version):
        """Publish a configuration.

        Parameters
        ----------
        document : dict
        base_version : int
            The version that the document was made from.

        Returns
        -------
        Result[Published, LostRace | InvalidDocument | Refused]
        """
        try:
            configuration = configuration_from_document(document)
        except InvalidConfiguration as error:
            return Err(InvalidDocument(error.findings))
        state = await self.read_state()
        if state.version != base_version:
            return Err(self._lost_race(base_version))
        record = PublishConfiguration(_new_id(), self._writer, base_version, document)
        result = await self._config.append(record)
        version = result.offset + 1
        if isinstance(result, Rejected):
            if result.reason.startswith("based on version"):
                return Err(self._lost_race(base_version))
            return Err(Refused(result.reason))
        hashes = {
            key_hash
            for team in configuration.teams.values()
            for key_hash in team.key_hashes
        }
        return Ok(Published(version, sorted(hashes & state.keys.withdrawn)))

    def _lost_race(self, base_version):
        state = self._config.fold
        return LostRace(base_version, state.version, state.document)

    async def give_key(self, team, label=""):
        """Give a new key to a team.

        Returns
        -------
        Result[GivenKeyOnce, Refused]
        """
        state = await self.read_state()
        if team not in state.configuration.teams:
            return Err(Refused(f"unknown team {team!r}"))
        key = generate_key()
        key_hash = hash_key(key)
        record = GiveKey(_new_id(), self._writer, team, key_hash, label)
        result = await self._config.append(record)
        if isinstance(result, Rejected):
            return Err(Refused(result.reason))
        return Ok(GivenKeyOnce(key, key_hash, team))

    async def withdraw_key(self, key_or_hash):
        """Withdraw a key for good.

        Parameters
        ----------
        key_or_hash : str
            The key, or its hash ``sha256:<hex>``. Only the hash is written.

        Returns
        -------
        Result[Done, Refused]
        """
        known = is_key_hash(key_or_hash)
        key_hash = key_or_hash if known else hash_key(key_or_hash)
        return await self._change(WithdrawKey(_new_id(), self._writer, key_hash))

    async def drain(self, backend):
        """Take a backend server out of use; requests in progress end normally."""
        return await self._change(DrainBackend(_new_id(), self._writer, backend))

    async def undrain(self, backend):
        """Put a backend server back into use."""
        return await self._change(UndrainBackend(_new_id(), self._writer, backend))

    async def _change(self, record):
        await self.read_state()
        result = await self._config.append(record)
        if isinstance(result, Rejected):
            return Err(Refused(result.reason))
        return Ok(Done(result.offset))

    async def release_lease(self, zone, lease, holder, fence, watch_s=RELEASE_WATCH_S):
        """Release a lease for a holder that is gone.

        The caller states that the holder and the VMs that it gave tokens to have
        stopped; the budget could be overspent if they had not. The lease is watched
        first, which finds a holder that still renews it, and lets the tokens that the
        holder gave expire. It does not find a holder that is cut off from the log.

        Parameters
        ----------
        zone, lease : str
        holder : str
            ``<name>@<incarnation>``, as ``status`` shows it.
        fence : int
        watch_s : float

        Returns
        -------
        Result[Done, Refused]
        """
        reader = StreamReader(self._log, f"zone-{zone}", ZoneState(zone))
        await reader.catch_up()
        before = reader.fold.leases.get(lease)
        if before is None or (before.holder, before.fence) != (holder, fence):
            return Err(Refused(f"{lease} is not held by {holder} with fence {fence}"))
        seen_offset = before.seen_offset
        await asyncio.sleep(watch_s)
        await reader.catch_up()
        if reader.fold.leases[lease].seen_offset != seen_offset:
            return Err(Refused(f"{lease} was claimed or renewed; somebody holds it"))
        record = ReleaseLease(_new_id(), self._writer, lease, fence)
        result = await reader.append(record)
        if isinstance(result, Rejected):
            return Err(Refused(result.reason))
        return Ok(Done(result.offset))


def _new_id():
    return uuid.uuid4().hex
