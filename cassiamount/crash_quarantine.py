"""Quarantine of requests on which backend servers crash.

A request is known by its parts: those of its prompt that other requests share, and the
fingerprint of the whole request, which it shares with its repetitions only.
"""

import hashlib
from collections import OrderedDict

import structlog

# Crashes of servers, each with a request there that has a part, after which requests
# with that part are rejected.
MIN_CRASHES = 3
# The same for a part on which a server has answered before.
MIN_CRASHES_AFTER_ANSWERS = 5
# Crashes within this time count once, because one power failure ends many servers,
# unless a request with the part was sent between them.
CRASH_INTERVAL_MS = 250.0
# Time for which crashes count, and for which a part stays in quarantine.
QUARANTINE_MS = 600_000.0
# An answer to a part is reported again after this time.
ANSWER_REPORT_MS = 500.0
# Time of the last answer on a part that had none.
NEVER_MS = -float("inf")
# Limits on memory and on the size of reports. A request may have any number of parts,
# each of which may be the one that crashes servers, so whole requests are left out.
MAX_CRASHES = 64
MAX_REQUESTS_PER_CRASH = 64
MAX_ANSWERED_PARTS = 10_000
# Names of the parts of the requests at one crash, as one VM saw it and as all did.
MAX_SEEN_BYTES = 64 << 10
MAX_CRASH_BYTES = 256 << 10
# The same for all crashes; the oldest crashes are forgotten first.
MAX_EVIDENCE_BYTES = 2 << 20
# A shorter name takes up as much memory as one of this size.
MIN_NAME_BYTES = 16
# A longer name is replaced by its digest.
MAX_NAME_BYTES = 64

# Parts that a line of the log names for a request or a rule.
MAX_LOGGED_PARTS = 8
# Begins the part that stands for a whole request; prompt parts have hexadecimal names.
FINGERPRINT_PREFIX = "request:"

log = structlog.get_logger()


class RequestParts:
    """The parts by which a request is known; iterating yields their names.

    The names are derived anew each time, because a prompt may have thousands of parts
    and many requests run at once.

    Parameters
    ----------
    fingerprint : str
        Name that the request shares with its repetitions only.
    shared_parts : callable
        Returns the names of the prompt's parts that other requests may share.
    """

    __slots__ = ("fingerprint", "_shared_parts")

    def __init__(self, fingerprint, shared_parts):
        self.fingerprint = fingerprint
        self._shared_parts = shared_parts

    def __iter__(self):
        yield self.fingerprint
        for name in self._shared_parts():
            yield name if len(name) <= MAX_NAME_BYTES else _digest(name)

    @property
    def has_prompt(self):
        """Whether the request has more parts than its fingerprint."""
        return any(True for _ in self._shared_parts())


def _digest(name):
    return hashlib.blake2b(name.encode(), digest_size=16).hexdigest()


class SuspectRequest:
    """A request that was at a server when that crashed, or had just ended there.

    Parameters
    ----------
    key : str
        Distinguishes the request from those at the same crash with other parts.
    parts : sequence of str
    age_ms : float
        Time from its sending until the crash.
    """

    __slots__ = ("key", "parts", "age_ms")

    def __init__(self, key, parts, age_ms):
        self.key = key
        self.parts = parts
        self.age_ms = age_ms

    @classmethod
    def from_parts(cls, parts, age_ms):
        """Return a request that is known by all its parts.

        Its fingerprint does not suffice, as requests may differ in their heads only.
        """
        return cls(_digest("\n".join(parts)), parts, age_ms)

    @property
    def size_bytes(self):
        """What the names of its parts count against the limits on evidence."""
        return sum(max(MIN_NAME_BYTES, len(part)) for part in self.parts)


class QuarantinePart:
    """Changes of a VM's quarantine, as a report contains them.

    Parameters
    ----------
    crashes : list
        ``[backend, started_wall_ms, age_ms, [[key, age_ms, parts], ...]]`` each.
    answers : dict of str to float
        Suspect part -> age in ms of the last answer on it.
    rules : list
        ``[parts, age_ms]`` each.
    """

    __slots__ = ("crashes", "answers", "rules")

    def __init__(self, crashes, answers, rules):
        self.crashes = crashes
        self.answers = answers
        self.rules = rules

    def to_value(self):
        """Return the list that represents this object in a report."""
        return [self.crashes, self.answers, self.rules]


class _Request:
    """A request at a crash, with the parts that no answer has cleared since."""

    __slots__ = ("sent_ms", "parts")

    def __init__(self, sent_ms, parts):
        self.sent_ms = sent_ms
        self.parts = parts


class _Crash:
    """One server's end, and the requests that were there."""

    __slots__ = ("at_ms", "requests", "parts", "size_bytes", "version")

    def __init__(self, at_ms):
        self.at_ms = at_ms
        # Key -> _Request.
        self.requests = {}
        # Parts of all these requests, also those that are cleared.
        self.parts = set()
        self.size_bytes = 0
        self.version = 0

    def add(self, request, parts):
        """Add a `SuspectRequest`, whose parts are given as `parts`."""
        self.requests[request.key] = _Request(self.at_ms - request.age_ms, parts)
        self.parts |= parts
        self.size_bytes += request.size_bytes

    def with_part(self, part):
        """Return the requests that have a part."""
        return [r for r in self.requests.values() if part in r.parts]


class _Rule:
    """When a combination of parts was quarantined."""

    __slots__ = ("at_ms", "version")

    def __init__(self, at_ms, version):
        self.at_ms = at_ms
        self.version = version


class CrashQuarantine:
    """Finds parts of requests on which servers crash; all VMs share what they saw.

    A request is rejected if it has all parts of a rule. A rule holds the parts that
    every request had which a crash can be explained by, so that requests that share
    only some of these parts are still served. An answer to a part clears the part.

    Parameters
    ----------
    counter : ChangeCounter
    """

    __slots__ = (
        "_counter",
        "_answered_ms",
        "_reported_answers",
        "_crashes",
        "_names",
        "_rules",
        "_suspects",
    )

    def __init__(self, counter):
        self._counter = counter
        # Part -> time of the last answer on it, oldest first.
        self._answered_ms = OrderedDict()
        # Suspect part -> (time of the last answer that was reported, version).
        self._reported_answers = {}
        # (backend, started_wall_ms) -> _Crash.
        self._crashes = {}
        # Part -> the same text, so that requests which share a part share its name.
        self._names = {}
        # frozenset of parts -> _Rule.
        self._rules = {}
        # Parts of all crashes and rules.
        self._suspects = set()

    def rules(self):
        """Return the quarantined combinations of parts."""
        return list(self._rules)

    def age_ms(self, rule, now_ms):
        """Return for how long a combination has been quarantined."""
        return now_ms - self._rules[rule].at_ms

    def blocked_for_ms(self, parts, now_ms):
        """Return for how long a request with some parts is rejected; 0 if it is not."""
        remaining_ms = 0.0
        if self._rules:
            parts = set(parts)
            for rule, known in self._rules.items():
                if rule <= parts:
                    end_ms = known.at_ms + QUARANTINE_MS
                    remaining_ms = max(remaining_ms, end_ms - now_ms)
        return remaining_ms

    def record_answer(self, parts, now_ms):
        """Record that a server answered a request and did not crash.

        Parameters
        ----------
        parts : iterable of str
        now_ms : float
            Time of the answer.

        Returns
        -------
        bool
            Whether peers should learn of it soon.
        """
        news = False
        for part in parts:
            is_suspect = part in self._suspects
            if part.startswith(FINGERPRINT_PREFIX) and not is_suspect:
                # Few requests come again; all of them would displace the prompt parts.
                continue
            self._note_answer(part, now_ms)
            if is_suspect:
                news |= self._report_answer(part)
        if news:
            self._release_answered()
        return news

    def record_crash(self, backend, started_wall_ms, requests, now_ms):
        """Record that a server crashed under some requests.

        Parameters
        ----------
        backend : str
        started_wall_ms : int
        requests : iterable of SuspectRequest
            The most likely cause first: the last may be left out.
        now_ms : float
            Time of the crash.

        Returns
        -------
        bool
            Whether peers should learn of it soon.
        """
        seen, size_bytes = [], 0
        for request in requests:
            size_bytes += request.size_bytes
            if seen and size_bytes > MAX_SEEN_BYTES:
                break
            seen.append(request)
        news = self._add_crash(backend, started_wall_ms, seen, now_ms)
        if news:
            self._on_evidence(now_ms)
        return news

    def load_rules(self, rules, now_ms):
        """Take over combinations that were quarantined at an unknown time."""
        for parts in rules:
            self._add_rule(frozenset(parts), now_ms - QUARANTINE_MS / 2)
        self._find_suspects()
        self._release_answered()

    def remove_expired(self, now_ms):
        """Forget old crashes, and release what has been in quarantine long enough."""
        oldest_ms = now_ms - QUARANTINE_MS
        expired = [key for key, c in self._crashes.items() if c.at_ms < oldest_ms]
        for key in expired:
            del self._crashes[key]
        released = [r for r, known in self._rules.items() if known.at_ms < oldest_ms]
        for rule in released:
            self._release(rule, "expired")
        if expired or released:
            self._find_suspects()

    # Exchange with peers.

    def part_since(self, since_version, now_ms):
        """Return the `QuarantinePart` of changes after a version, or None."""
        crashes = [
            [
                *key,
                round(now_ms - c.at_ms),
                [
                    [name, round(c.at_ms - request.sent_ms), sorted(request.parts)]
                    for name, request in c.requests.items()
                ],
            ]
            for key, c in self._crashes.items()
            if c.version > since_version
        ]
        answers = {
            part: round(now_ms - at_ms)
            for part, (at_ms, version) in self._reported_answers.items()
            if version > since_version
        }
        rules = [
            [sorted(rule), round(now_ms - known.at_ms)]
            for rule, known in self._rules.items()
            if known.version > since_version
        ]
        if not crashes and not answers and not rules:
            return None
        return QuarantinePart(crashes, answers, rules)

    def apply(self, part, now_ms):
        """Apply what a peer reported; return whether it was new."""
        news = False
        for backend, started_wall_ms, age_ms, items in part.crashes:
            requests = [
                SuspectRequest(name, parts, sent_age_ms)
                for name, sent_age_ms, parts in items
            ]
            news |= self._add_crash(backend, started_wall_ms, requests, now_ms - age_ms)
        for rule, age_ms in part.rules:
            news |= self._add_rule(frozenset(rule), now_ms - age_ms)
        for name, age_ms in part.answers.items():
            if now_ms - age_ms > self._answer_ms(name) + ANSWER_REPORT_MS:
                self._note_answer(name, now_ms - age_ms)
                self._reported_answers[name] = (now_ms - age_ms, self._counter.next())
                news = True
        if news:
            self._on_evidence(now_ms)
        return news

    def _note_answer(self, part, at_ms):
        self._answered_ms[part] = max(at_ms, self._answer_ms(part))
        self._answered_ms.move_to_end(part)
        while len(self._answered_ms) > MAX_ANSWERED_PARTS:
            self._answered_ms.popitem(last=False)

    def _report_answer(self, part):
        at_ms = self._answer_ms(part)
        known_ms, _ = self._reported_answers.get(part, (NEVER_MS, 0))
        if at_ms < known_ms + ANSWER_REPORT_MS:
            return False
        self._reported_answers[part] = (at_ms, self._counter.next())
        return True

    def _add_crash(self, backend, started_wall_ms, requests, at_ms):
        key = (backend, started_wall_ms)
        crash = self._crashes.get(key) or _Crash(at_ms)
        is_new = False
        for request in requests:
            if (
                request.key in crash.requests
                or not request.parts
                or len(crash.requests) >= MAX_REQUESTS_PER_CRASH
                or crash.size_bytes + request.size_bytes > MAX_CRASH_BYTES
            ):
                continue
            names = self._names
            crash.add(request, {names.setdefault(part, part) for part in request.parts})
            is_new = True
        if not is_new:
            return False
        crash.version = self._counter.next()
        self._crashes[key] = crash
        while (
            len(self._crashes) > MAX_CRASHES
            or sum(c.size_bytes for c in self._crashes.values()) > MAX_EVIDENCE_BYTES
        ):
            del self._crashes[min(self._crashes, key=lambda k: self._crashes[k].at_ms)]
        return key in self._crashes

    def _add_rule(self, rule, at_ms):
        """Quarantine a combination; return whether that rejects more than before."""
        rule = frozenset(p for p in rule if self._answer_ms(p) <= at_ms)
        if not rule or any(known <= rule for known in self._rules):
            return False
        for wider in [known for known in self._rules if rule < known]:
            del self._rules[wider]
        self._rules[rule] = _Rule(at_ms, self._counter.next())
        log.warning(
            "prompt_quarantined", parts=sorted(rule)[:MAX_LOGGED_PARTS], count=len(rule)
        )
        return True

    # Decisions.

    def _on_evidence(self, now_ms):
        self._find_suspects()
        self._release_answered()
        self._remove_cleared()
        while rules := self._next_rules():
            for rule in rules:
                self._add_rule(rule, now_ms)

    def _find_suspects(self):
        """Update the set of suspect parts, and report the answers that clear them."""
        suspects = set().union(*self._rules)
        for crash in self._crashes.values():
            suspects |= crash.parts
        self._names = {part: part for part in suspects}
        for part in suspects - self._suspects:
            if part in self._answered_ms:
                self._report_answer(part)
        self._suspects = suspects
        for part in self._reported_answers.keys() - suspects:
            del self._reported_answers[part]

    def _remove_cleared(self):
        """Remove the parts that were answered since a crash from its requests."""
        for crash in self._crashes.values():
            cleared = {p for p in crash.parts if self._answer_ms(p) >= crash.at_ms}
            for request in crash.requests.values():
                request.parts -= cleared

    def _release_answered(self):
        for rule, known in list(self._rules.items()):
            cleared = {p for p in rule if self._answer_ms(p) > known.at_ms}
            if cleared:
                self._release(rule, "answered")
                self._add_rule(rule - cleared, known.at_ms)

    def _release(self, rule, reason):
        del self._rules[rule]
        log.warning(
            "prompt_released", parts=sorted(rule)[:MAX_LOGGED_PARTS], reason=reason
        )

    def _next_rules(self):
        """Return the most likely combinations that are not rejected yet.

        Returns
        -------
        list of frozenset of str
            More than one if the crashes speak equally for several single requests.
        """
        found = []
        for part, crashes in self._crashes_by_part().items():
            was_answered = self._answer_ms(part) > NEVER_MS
            needed = MIN_CRASHES_AFTER_ANSWERS if was_answered else MIN_CRASHES
            if len(crashes) < needed:
                continue
            crashes = [c for c in crashes if not self._is_explained(c, part)]
            count = _count_separate(crashes, part)
            if count < needed:
                continue
            requests = [r for c in crashes for r in c.with_part(part)]
            rule = self._common_parts(requests, min(c.at_ms for c in crashes))
            if any(known <= rule for known in self._rules):
                continue
            # A part that occurs in few requests explains the crashes better than one
            # that most requests have.
            rank = (not was_answered, count, -len(requests))
            found.append((rank, part, rule))
        if not found:
            return []
        best, _, rule = max(found, key=lambda item: item[:2])
        tied = [
            rule
            for rank, part, rule in found
            if rank == best and part.startswith(FINGERPRINT_PREFIX)
        ]
        return tied or [rule]

    def _crashes_by_part(self):
        """Return the crashes under each part that was not answered since."""
        found = {}
        for crash in self._crashes.values():
            for part in set().union(*(r.parts for r in crash.requests.values())):
                found.setdefault(part, []).append(crash)
        return found

    def _common_parts(self, requests, first_crash_ms):
        """Return the parts of all of some requests that no answer speaks for."""
        common = set.intersection(*(request.parts for request in requests))
        common = {p for p in common if self._answer_ms(p) <= first_crash_ms}
        never_answered = {p for p in common if self._answer_ms(p) == NEVER_MS}
        return frozenset(never_answered or common)

    def _is_explained(self, crash, part):
        """Return whether a quarantined combination without a part explains a crash."""
        return any(
            part not in rule and any(rule <= r.parts for r in crash.requests.values())
            for rule in self._rules
        )

    def _answer_ms(self, part):
        at_ms = self._answered_ms.get(part, NEVER_MS)
        # The reported answers are not displaced by those to other parts.
        reported_ms, _ = self._reported_answers.get(part, (NEVER_MS, 0))
        return max(at_ms, reported_ms)


def _count_separate(crashes, part):
    """Return the number of crashes that have separate causes, as far as is known."""
    count = 0
    counted_ms = -float("inf")
    for crash in sorted(crashes, key=lambda crash: crash.at_ms):
        sent_ms = max(request.sent_ms for request in crash.with_part(part))
        if sent_ms >= counted_ms or crash.at_ms >= counted_ms + CRASH_INTERVAL_MS:
            counted_ms = crash.at_ms
            count += 1
    return count
