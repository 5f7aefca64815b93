"""The way of one request through the VMs, from their log lines."""

import json

COLUMNS = ("time", "vm", "event", "details")
HIDDEN = frozenset({"timestamp", "vm", "event", "level", "request_id"})


class LogStep:
    """One log line about a request."""

    __slots__ = ("time", "vm", "event", "details")

    def __init__(self, time, vm, event, details):
        self.time = time
        self.vm = vm
        self.event = event
        self.details = details


class Explanation:
    """What log lines tell of one request.

    Parameters
    ----------
    steps : list of LogStep
        In order of time.
    lines_dropped : int
        Lines that the VMs could not write; the way may have gaps.
    lines_unreadable : int
    """

    __slots__ = ("steps", "lines_dropped", "lines_unreadable")

    def __init__(self, steps, lines_dropped, lines_unreadable):
        self.steps = steps
        self.lines_dropped = lines_dropped
        self.lines_unreadable = lines_unreadable


def explain(lines, request_id):
    """Return the `Explanation` of a request.

    Parameters
    ----------
    lines : iterable of str
        Log lines of any VMs, in any order; text before the JSON object is ignored.
    request_id : str
    """
    steps = []
    dropped = unreadable = 0
    for line in lines:
        start = line.find("{")
        if start < 0:
            continue
        try:
            entry = json.loads(line[start:])
        except ValueError:
            unreadable += 1
            continue
        if not isinstance(entry, dict):
            continue
        if entry.get("event") == "log_lines_dropped":
            dropped += int(entry.get("count") or 0)
        elif entry.get("request_id") == request_id:
            steps.append(_step(entry))
    steps.sort(key=lambda step: step.time)
    return Explanation(steps, dropped, unreadable)


def _step(entry):
    details = " ".join(
        f"{name}={value}" for name, value in entry.items() if name not in HIDDEN
    )
    return LogStep(
        str(entry.get("timestamp", "")),
        str(entry.get("vm", "")),
        str(entry.get("event", "")),
        details,
    )
