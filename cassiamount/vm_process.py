"""The process of one VM in front of a fleet, from its first line to its end."""

import asyncio
import os
from platform import machine, python_version

import structlog

from .bounded_stream import BoundedStream
from .clock import BootTimeClock
from .fleet_node import FleetNode
from .logs import configure_logs
from .process_usage import process_usage
from .standard_streams import STANDARD_OUTPUT, write_error

EXIT_FAILURE = 1
EXIT_FINDINGS = 2


def run_process(signals, file, build_platform):
    """Run until SIGTERM; return the exit status.

    Parameters
    ----------
    signals : ProcessSignals
    file : SettingsFile
    build_platform : callable
        Returns the `PlatformAdapter` for settings.
    """
    configure_logs("info", BoundedStream(STANDARD_OUTPUT), cached=True)
    log = structlog.get_logger()
    log.info(
        "process_starting",
        pid=os.getpid(),
        python=python_version(),
        machine=machine(),
    )
    status = _run(signals, file, build_platform)
    log.info("process_ending", status=status, **process_usage())
    return status


def _run(signals, file, build_platform):
    """Take the settings and run the VM; return the exit status."""
    log = structlog.get_logger()
    decoded = file.wait_for_start(lambda: signals.stop_requested or not file.name)
    if signals.stop_requested:
        # Nothing was accepted yet.
        return 0
    if decoded.is_err():
        findings = decoded.unwrap_err()
        file.report(log.error, findings)
        if file.is_readable:
            write_error("\n".join(findings))
            return EXIT_FINDINGS
        write_error(f"cannot read the settings file {file.name!r}: {findings[0]}")
        return EXIT_FAILURE
    settings = decoded.unwrap()
    structlog.contextvars.bind_contextvars(vm=settings.vm_name)
    try:
        asyncio.run(_serve(settings, file, signals, build_platform))
    except Exception as error:
        log.exception("stopped_with_failure", error=repr(error))
        return EXIT_FAILURE
    return 0


async def _serve(settings, file, signals, build_platform):
    node = FleetNode(settings, build_platform(settings), BootTimeClock())
    # It is read again when it changes, with or without SIGHUP.
    node.supervise("settings", lambda: file.follow(node.apply_settings))
    await signals.run(node, asyncio.get_running_loop())
