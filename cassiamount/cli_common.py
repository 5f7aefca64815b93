"""Parts that the commands of the command line share."""

import asyncio
from typing import Annotated

from cyclopts import Parameter

from .errors import AppendOutcomeUnknown, CassiamountError, PlatformUnavailable
from .log_client import HttpLogClient
from .operator_api import OperatorApi

EXIT_OK = 0
EXIT_FAILURE = 1
EXIT_FINDINGS = 2

LogAddress = Annotated[
    str,
    Parameter(
        name="--log-address",
        env_var="CASSIAMOUNT_LOG_ADDRESS",
        help="IP:port of the platform's log.",
    ),
]
AdminAddresses = Annotated[
    list[str],
    Parameter(
        name="--admin-address",
        env_var="CASSIAMOUNT_ADMIN_ADDRESS",
        negative="",
        help="IP:port of a daemon's admin interface; may be repeated.",
    ),
]
Operator = Annotated[
    str,
    Parameter(
        name="--operator",
        env_var="CASSIAMOUNT_OPERATOR",
        help="Name that records are written under.",
    ),
]
AsJson = Annotated[
    bool, Parameter(name="--json", negative="", help="Write JSON for programs.")
]


def open_log(address):
    """Return a client of the log at ``IP:port``."""
    return HttpLogClient(f"http://{address}")


def change(operation, log_address, operator, output):
    """Run an operation that changes one thing; return the exit status."""

    async def run(api):
        result = await operation(api)
        if result.is_err():
            return report_refused(output, result.unwrap_err())
        offset = result.unwrap().offset
        output.result({"offset": offset}, [f"done (offset {offset})"])
        return EXIT_OK

    return with_api(run, log_address, operator, output)


def with_api(run, log_address, operator, output):
    """Run a command against the log; report its errors and return the exit status."""

    async def session():
        log = open_log(log_address)
        try:
            return await run(OperatorApi(log, operator or "operator"))
        finally:
            await log.close()

    try:
        return asyncio.run(session())
    except AppendOutcomeUnknown as error:
        hint = "Run `cassiamount show` when the log answers again."
        output.error("outcome_unknown", str(error), [hint])
    except PlatformUnavailable as error:
        message = f"the log at {log_address} cannot be used, nothing changed: {error}"
        output.error("log_unavailable", message)
    except CassiamountError as error:
        output.error("failure", str(error))
    return EXIT_FAILURE


def read_file(file, output):
    """Return the text of a file, or None after an error message."""
    try:
        return file.read_text("utf-8")
    except (OSError, UnicodeDecodeError) as error:
        output.error("unreadable_file", f"{file}: {error}")
        return None


def report_findings(output, findings):
    """Write findings and return the exit status."""
    output.error(
        "findings",
        f"{len(findings)} findings",
        findings,
        findings=[
            {"place": finding.place, "message": finding.message} for finding in findings
        ],
    )
    return EXIT_FINDINGS


def report_refused(output, refused):
    """Write why a change was refused and return the exit status."""
    output.error("refused", str(refused))
    return EXIT_FAILURE
