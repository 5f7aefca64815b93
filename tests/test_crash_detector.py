"""Tests of the check whether a backend server crashed."""

import asyncio

import pytest

from cassiamount.change_counter import ChangeCounter
from cassiamount.clock import SystemClock
from cassiamount.crash_detector import (
    MAX_ENDED_ATTEMPTS,
    SURVIVED_MS,
    CrashDetector,
    EndedAttempt,
)
from cassiamount.crash_quarantine import CrashQuarantine, RequestParts
from cassiamount.fleet import BackendRecord

RECORD = BackendRecord("e1", "llm", "h:1", "z")
OTHER = BackendRecord("e2", "llm", "h:2", "z")


class Server:
    """Takes connections as an address would, and records what a detector finds."""

    def __init__(self, error=None):
        self.error = error
        self.clock = SystemClock()
        self.probes = []
        self.crashes = []
        self.survivors = []

    async def probe(self, address):
        self.probes.append(address)
        if self.error is not None:
            raise self.error

    def on_crash(self, record, requests, lost_ms):
        self.crashes.append((record.name, [r.parts for r in requests]))

    def detector(self):
        return CrashDetector(
            self.clock, self.probe, self.on_crash, self.survivors.append
        )

    def ended(self, name, begun_ms=None, is_answer=False):
        """Return an attempt that ends now; it began `begun_ms` ago."""
        now_ms = self.clock.monotonic_ms()
        begun_ms = None if begun_ms is None else now_ms - begun_ms
        parts = RequestParts(f"request:{name}", lambda: [name])
        return EndedAttempt(parts, now_ms - 1_000.0, begun_ms, is_answer, now_ms)


def suspect(name):
    return [f"request:{name}", name]


@pytest.mark.parametrize(
    ("error", "crashed"),
    [
        (ConnectionRefusedError(), True),
        (None, False),
        (OSError("timed out"), False),
        (ConnectionResetError(), False),
    ],
    ids=["refused", "accepted", "timeout", "reset"],
)
async def test_only_a_server_that_refuses_connections_has_crashed(error, crashed):
    """Guards against lost links and cut answers that count as crashes."""
    server = Server(error)
    detector = server.detector()
    for name in ("a", "b"):
        detector.watch(RECORD, server.ended(name))
        detector.on_connection_closed(RECORD)
    detector.watch(OTHER, server.ended("c"))
    await asyncio.sleep(0.05)
    expected = ("e1", [suspect("a"), suspect("b")])
    assert server.crashes == ([expected] if crashed else [])
    assert server.probes == ["h:1"]
    detector.close()


@pytest.mark.parametrize("begun_ms", [None, 1.0, 900.0])
@pytest.mark.parametrize("is_answer", [False, True])
async def test_written_part_of_an_answer_clears_no_request(begun_ms, is_answer):
    """Guards against a crash after some events that counts as an answer."""
    server = Server(ConnectionRefusedError())
    detector = server.detector()
    detector.watch(RECORD, server.ended("a", begun_ms, is_answer))
    detector.on_connection_closed(RECORD)
    await asyncio.sleep(SURVIVED_MS / 1000 + 0.1)
    assert server.crashes == [("e1", [suspect("a")])]
    assert not server.survivors
    detector.close()


async def test_answer_counts_once_its_server_has_lived_on():
    """Guards against sound requests that no answer clears, and an endless watch."""
    server = Server()
    detector = server.detector()
    answered = server.ended("a", 5.0, is_answer=True)
    detector.watch(RECORD, server.ended("b"))
    detector.watch(RECORD, answered)
    assert not server.survivors
    await asyncio.sleep(SURVIVED_MS / 1000 + 0.1)
    assert server.survivors == [answered]
    detector.on_connection_closed(RECORD)
    await asyncio.sleep(0.05)
    assert not server.probes
    detector.close()


async def test_requests_with_the_same_path_and_body_are_all_suspects():
    """Guards against a prompt that is taken for another one with the same body."""
    server = Server(ConnectionRefusedError())
    found = []
    detector = CrashDetector(
        server.clock,
        server.probe,
        lambda record, requests, lost_ms: found.extend(requests),
        server.survivors.append,
    )
    for name in ("sound", "bad"):
        now_ms = server.clock.monotonic_ms()
        parts = RequestParts("request:x", lambda name=name: [name])
        detector.watch(RECORD, EndedAttempt(parts, now_ms, None, False, now_ms))
    detector.on_connection_closed(RECORD)
    await asyncio.sleep(0.05)
    quarantine = CrashQuarantine(ChangeCounter())
    quarantine.record_crash("e1", 1, found, 0.0)
    [(_, _, _, requests)] = quarantine.part_since(0, 0.0).crashes
    parts = sorted(sorted(parts) for _, _, parts in requests)
    assert parts == [["bad", "request:x"], ["request:x", "sound"]]
    detector.close()


async def test_request_that_had_just_begun_is_the_first_suspect():
    """Guards against evidence that leaves out the most likely cause of a crash."""
    server = Server(ConnectionRefusedError())
    detector = server.detector()
    for name, begun_ms in (("old", 5_000.0), ("new", 5.0), ("waiting", None)):
        detector.watch(RECORD, server.ended(name, begun_ms))
    detector.on_connection_closed(RECORD)
    await asyncio.sleep(0.05)
    [(_, requests)] = server.crashes
    assert requests == [suspect("waiting"), suspect("new"), suspect("old")]
    detector.close()


async def test_watched_attempts_are_bounded():
    """Guards against memory that grows with the rate of requests."""
    server = Server()
    detector = server.detector()
    for number in range(MAX_ENDED_ATTEMPTS + 3):
        detector.watch(RECORD, server.ended(str(number), 5.0, is_answer=True))
    assert len(server.survivors) == 3
    detector.close()
