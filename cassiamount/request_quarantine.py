"""Keeps requests on which backend servers crash from them, as one VM knows it."""

import hashlib

from .change_counter import ChangeCounter
from .crash_detector import CrashDetector
from .crash_quarantine import FINGERPRINT_PREFIX, CrashQuarantine, RequestParts
from .requests import Refusal


class ServerStart:
    """One start of a backend server, as far as this VM can tell it from others.

    Parameters
    ----------
    name, address : str
    number : int
        Crashes of the server that this VM has seen before.
    """

    __slots__ = ("name", "address", "number")

    def __init__(self, name, address, number):
        self.name = name
        self.address = address
        self.number = number

    @property
    def start(self):
        """What identifies this start."""
        return self.name, self.number


class RequestQuarantine:
    """Finds requests on which servers crash, and refuses them.

    Parameters
    ----------
    clock : SystemClock or ManualClock
    probe : callable
        Coroutine function; opens a connection to an address or raises OSError.
    """

    def __init__(self, clock, probe):
        self._clock = clock
        self._quarantine = CrashQuarantine(ChangeCounter())
        self._detector = CrashDetector(clock, probe, self._on_crash, self._on_survived)
        # Backend server -> its crashes.
        self._crashes = {}

    def refusal(self, parts):
        """Return the `Refusal` of a request on which servers crash, or None.

        Parameters
        ----------
        parts : RequestParts
        """
        now_ms = self._clock.monotonic_ms()
        blocked_for_ms = self._quarantine.blocked_for_ms(parts, now_ms)
        if blocked_for_ms <= 0:
            return None
        return Refusal(
            503,
            "prompt_quarantined" if parts.has_prompt else "request_quarantined",
            "backend servers crash on this request or the beginning of its prompt",
            retry_after_s=blocked_for_ms / 1000,
        )

    def watch(self, name, address, attempt, is_broken):
        """Watch whether a server crashes by an attempt that has ended there.

        Parameters
        ----------
        name, address : str
        attempt : EndedAttempt
        is_broken : bool
            Whether the response broke off.
        """
        server = ServerStart(name, address, self._crashes.get(name, 0))
        self._detector.watch(server, attempt)
        if is_broken:
            self._detector.on_connection_closed(server)

    def close(self):
        """Stop all checks."""
        self._detector.close()

    def _on_crash(self, server, requests, lost_ms):
        self._crashes[server.name] = server.number + 1
        self._quarantine.remove_expired(lost_ms)
        self._quarantine.record_crash(*server.start, requests, lost_ms)

    def _on_survived(self, attempt):
        self._quarantine.record_answer(attempt.parts, attempt.ended_ms)


def parts_of(team, method, target, body, prefix_hashes=()):
    """Return the `RequestParts` of a request.

    Parameters
    ----------
    team, method, target : str
    body : bytes
    prefix_hashes : tuple of int
        Hashes of the prompt's leading blocks.
    """
    digest = hashlib.blake2b(digest_size=12)
    for text in (team, method, target):
        digest.update(text.encode() + b"\0")
    digest.update(body)
    return RequestParts(
        FINGERPRINT_PREFIX + digest.hexdigest(),
        lambda: (f"{block_hash:x}" for block_hash in prefix_hashes),
    )
