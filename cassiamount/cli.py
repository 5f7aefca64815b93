"""The operators' command line ``cassiamount``."""

import asyncio
import sys
from pathlib import Path
from typing import Annotated, Literal

import cyclopts
from cyclopts import Parameter

from .cli_common import (
    EXIT_FAILURE,
    EXIT_FINDINGS,
    EXIT_OK,
    AdminAddresses,
    AsJson,
    LogAddress,
    Operator,
    change,
    read_file,
    report_findings,
    report_refused,
    with_api,
)
from .cli_fleet import PLATFORM_PARSERS, explain_request
from .cli_output import Output, show_json, show_tables, status_json, status_tables
from .configuration import parse_configuration
from .document_diff import diff_documents
from .findings import read_json
from .keys import hash_key, is_key_hash
from .operator_api import InvalidDocument, LostRace, read_status, withdraw_on_vms
from .settings import parse_settings
from .status import UnreachableVm

app = cyclopts.App(
    name="cassiamount",
    help="Operates a cassiamount deployment. Exit status: 0 done, 1 failure,"
    " 2 findings in a document or a lost race.",
    version_flags=["--version"],
    result_action="return_value",
)
key_app = cyclopts.App(name="key", help="Gives and withdraws callers' keys.")
lease_app = cyclopts.App(name="lease", help="Handles leases of VMs that are gone.")
app.command(key_app)
app.command(lease_app)
app.command(explain_request, name="explain")


@app.command
def check(
    file: Path,
    /,
    *,
    kind: Literal[
        "configuration", "settings", "platform-settings", "platform-configuration"
    ] = "configuration",
    as_json: AsJson = False,
):
    """Check a configuration or settings file and list all findings.

    Parameters
    ----------
    file
        JSON file; YAML for the settings file of the users' platform.
    kind
        What the file holds.
    """
    output = Output(as_json)
    text = read_file(file, output)
    if text is None:
        return EXIT_FAILURE
    parsers = {
        "configuration": parse_configuration,
        "settings": parse_settings,
        **PLATFORM_PARSERS,
    }
    parsed = parsers[kind](text, str(file))
    if parsed.is_err():
        return report_findings(output, parsed.unwrap_err())
    output.result({"findings": []}, [f"{file}: no findings"])
    return EXIT_OK


@app.command
def publish(
    file: Path,
    /,
    *,
    base_version: int,
    log_address: LogAddress,
    operator: Operator = "operator",
    as_json: AsJson = False,
):
    """Publish a configuration file.

    Parameters
    ----------
    file
        JSON file.
    base_version
        The version that the file was made from; 0 for the first one.
    """
    output = Output(as_json)
    text = read_file(file, output)
    if text is None:
        return EXIT_FAILURE
    parsed = parse_configuration(text, str(file))
    if parsed.is_err():
        return report_findings(output, parsed.unwrap_err())
    document = read_json(text, str(file)).unwrap().value

    async def run(api):
        result = await api.publish(document, base_version)
        if result.is_err():
            return _publish_error(output, result.unwrap_err(), document)
        published = result.unwrap()
        lines = [f"version {published.version} is in force"]
        lines.extend(
            f"warning: {key_hash} in the file was withdrawn and stays refused"
            for key_hash in published.withdrawn_keys
        )
        value = {
            "version": published.version,
            "withdrawn_keys": published.withdrawn_keys,
        }
        output.result(value, lines)
        return EXIT_OK

    return with_api(run, log_address, operator, output)


def _publish_error(output, error, document):
    if isinstance(error, LostRace):
        changes = diff_documents(error.document_in_force, document)
        output.error(
            "lost_race",
            str(error),
            [
                "The file is unchanged. To publish it, put its changes on top of"
                f" version {error.version_in_force} (see `cassiamount show --document`)"
                f" and use --base-version {error.version_in_force}.",
                f"From version {error.version_in_force} to the file:",
                *(f"  {change}" for change in changes),
            ],
            base_version=error.base_version,
            version_in_force=error.version_in_force,
            differences=[change.to_json() for change in changes],
        )
        return EXIT_FINDINGS
    if isinstance(error, InvalidDocument):
        return report_findings(output, error.findings)
    return report_refused(output, error)


@app.command
def show(
    *,
    log_address: LogAddress,
    document: Annotated[bool, Parameter(negative="")] = False,
    as_json: AsJson = False,
):
    """Show the configuration in force, keys, drains and rejected records.

    Parameters
    ----------
    document
        Write only the document in force, to edit and publish it.
    """
    output = Output(as_json)

    async def run(api):
        state = await api.read_state()
        if document:
            Output(as_json=True).result(state.document)
        else:
            line = f"version {state.version}, offset {state.next_offset - 1}"
            output.result(show_json(state), [line], show_tables(state))
        return EXIT_OK

    return with_api(run, log_address, "", output)


@app.command
def diff(file: Path, /, *, log_address: LogAddress, as_json: AsJson = False):
    """Show the differences from the configuration in force to a file.

    Parameters
    ----------
    file
        JSON file.
    """
    output = Output(as_json)
    text = read_file(file, output)
    if text is None:
        return EXIT_FAILURE
    read = read_json(text, str(file))
    if read.is_err():
        return report_findings(output, read.unwrap_err())

    async def run(api):
        state = await api.read_state()
        changes = diff_documents(state.document, read.unwrap().value)
        value = {
            "version": state.version,
            "differences": [change.to_json() for change in changes],
        }
        lines = [f"from version {state.version} to {file}:"]
        output.result(value, [*lines, *(changes or ["no differences"])])
        return EXIT_OK

    return with_api(run, log_address, "", output)


@key_app.command
def give(
    team: str,
    /,
    *,
    log_address: LogAddress,
    label: str = "",
    operator: Operator = "operator",
    as_json: AsJson = False,
):
    """Make a key, give it to a team and show it once.

    Parameters
    ----------
    team
        Name of the team.
    label
        Note for operators, such as who uses the key.
    """
    output = Output(as_json)

    async def run(api):
        result = await api.give_key(team, label)
        if result.is_err():
            return report_refused(output, result.unwrap_err())
        given = result.unwrap()
        value = {"key": given.key, "key_hash": given.key_hash, "team": given.team}
        lines = [
            f"key of team {given.team} (it cannot be shown again):",
            given.key,
            f"hash: {given.key_hash}",
        ]
        output.result(value, lines)
        return EXIT_OK

    return with_api(run, log_address, operator, output)


@key_app.command
def withdraw(
    key: Annotated[str, Parameter(allow_leading_hyphen=True)],
    /,
    *,
    log_address: LogAddress,
    admin_address: AdminAddresses = (),
    operator: Operator = "operator",
    as_json: AsJson = False,
):
    """Withdraw a key for good.

    With admin addresses, these VMs refuse the key at once, even in a log outage. Such
    a withdrawal ends with the VM's process, so repeat the command when the log is
    back.

    Parameters
    ----------
    key
        Hash of the key (`sha256:...`), or `-` to read the key from standard input.
        The key itself is not accepted here, since other users of the machine see
        the arguments.
    """
    output = Output(as_json)
    key_hash = key if is_key_hash(key) else None
    if key == "-":
        key_hash = hash_key(sys.stdin.readline().strip())
    if key_hash is None:
        output.error("bad_key", "give the key's hash, or - and the key on stdin")
        return EXIT_FAILURE
    exit_status = EXIT_OK
    if admin_address:
        answers = asyncio.run(withdraw_on_vms(admin_address, key_hash))
        missed = [item for item in answers if isinstance(item, UnreachableVm)]
        output.note(f"withdrawn directly on {len(answers) - len(missed)} VMs")
        for item in missed:
            exit_status = EXIT_FAILURE
            output.note(f"not reached: {item.address}: {item.reason}")
    changed = change(
        lambda api: api.withdraw_key(key_hash), log_address, operator, output
    )
    return changed or exit_status


@app.command
def drain(
    backend: str,
    /,
    *,
    log_address: LogAddress,
    operator: Operator = "operator",
    as_json: AsJson = False,
):
    """Take a backend server out of use; requests in progress end normally.

    Parameters
    ----------
    backend
        Name of the backend server.
    """
    output = Output(as_json)
    return change(lambda api: api.drain(backend), log_address, operator, output)


@app.command
def undrain(
    backend: str,
    /,
    *,
    log_address: LogAddress,
    operator: Operator = "operator",
    as_json: AsJson = False,
):
    """Put a backend server back into use.

    Parameters
    ----------
    backend
        Name of the backend server.
    """
    output = Output(as_json)
    return change(lambda api: api.undrain(backend), log_address, operator, output)


@lease_app.command
def release(
    zone: str,
    lease: str,
    /,
    *,
    holder: str,
    fence: int,
    vms_are_gone: Annotated[bool, Parameter(negative="")],
    log_address: LogAddress,
    operator: Operator = "operator",
    as_json: AsJson = False,
):
    """Release a lease whose holder is gone.

    The command first watches the lease for 10 seconds and does nothing if somebody
    renews it.

    Parameters
    ----------
    zone
        Availability zone of the lease.
    lease
        Name of the lease, such as `budget/0`.
    holder
        `name@incarnation` of the holder, as `status` shows it.
    fence
        Fencing number of the lease, as `status` shows it.
    vms_are_gone
        Confirms that the holder has stopped. A budget could be overspent otherwise.
    """
    output = Output(as_json)
    if not vms_are_gone:
        output.error("not_confirmed", "confirm with --vms-are-gone")
        return EXIT_FAILURE
    return change(
        lambda api: api.release_lease(zone, lease, holder, fence),
        log_address,
        operator,
        output,
    )


@app.command
def status(*, admin_address: AdminAddresses, as_json: AsJson = False):
    """Show VMs, replicas, budgets, leases and the versions in force."""
    output = Output(as_json)
    statuses = asyncio.run(read_status(admin_address))
    output.result(status_json(statuses), (), status_tables(statuses))
    missed = any(isinstance(item, UnreachableVm) for item in statuses)
    return EXIT_FAILURE if missed else EXIT_OK


def main(arguments=None):
    """Run the command line and exit with its status."""
    try:
        sys.exit(app(arguments, exit_on_error=False))
    except cyclopts.CycloptsError:
        # The message is printed; status 2 stays reserved for findings.
        sys.exit(EXIT_FAILURE)


if __name__ == "__main__":
    main()
