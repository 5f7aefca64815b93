"""Commands of the command line for VMs in front of a fleet."""

import sys
from pathlib import Path

from result import Err, Ok

from .cli_common import EXIT_FAILURE, EXIT_OK, AsJson, read_file
from .cli_output import Output, table
from .explain import COLUMNS, explain
from .findings import Finding
from .platform.documents import UnreadableDocument, decode_configuration
from .platform.settings import decode_settings


def parse_platform_configuration(text, file_name):
    """Check a configuration of the platform.

    Returns
    -------
    Result[FleetConfiguration, list[Finding]]
    """
    try:
        return Ok(decode_configuration(text.encode()))
    except UnreadableDocument as error:
        return Err([Finding(f"{file_name}:1:1", str(error))])


PLATFORM_PARSERS = {
    "platform-settings": decode_settings,
    "platform-configuration": parse_platform_configuration,
}


def explain_request(
    request_id: str, files: list[Path] | None = None, /, *, as_json: AsJson = False
):
    """Print the way of one request through the VMs, from their logs.

    Parameters
    ----------
    request_id
        As the caller sent it.
    files
        Log files of any VMs; standard input without one.
    """
    output = Output(as_json)
    lines = []
    for file in files or ():
        text = read_file(file, output)
        if text is None:
            return EXIT_FAILURE
        lines += text.splitlines()
    found = explain(lines if files else sys.stdin, request_id)
    if found.lines_dropped:
        output.note(f"{found.lines_dropped} lines were dropped; steps may be missing")
    if found.lines_unreadable:
        output.note(f"{found.lines_unreadable} lines could not be read")
    if not found.steps:
        output.error("unknown_request", f"no line names the request {request_id}")
        return EXIT_FAILURE
    rows = [(step.time, step.vm, step.event, step.details) for step in found.steps]
    output.result(
        {
            "steps": [dict(zip(COLUMNS, row, strict=True)) for row in rows],
            "lines_dropped": found.lines_dropped,
        },
        tables=[table(request_id, *COLUMNS, rows=rows)],
    )
    return EXIT_OK
