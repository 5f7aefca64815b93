"""The process of one VM of the system on the users' platform."""

import asyncio
import os
from platform import machine, python_version

import structlog

from ..bounded_stream import BoundedStream
from ..clock import BootTimeClock
from ..errors import InvariantViolation
from ..fleet_node import FleetNode, PlatformAdapter
from ..logs import configure_logs
from ..process_usage import process_usage
from ..standard_streams import STANDARD_OUTPUT, write_error
from . import documents, headers
from .engines import EngineClient
from .settings import FILE_VARIABLE
from .store import PlatformStore

EXIT_FAILURE = 1
EXIT_FINDINGS = 2


class Decoder:
    """Decodes the documents in the platform's metadata store."""

    configuration = staticmethod(documents.decode_configuration)
    backend = staticmethod(documents.decode_backend)


def run_process(signals, file):
    """Run until SIGTERM; return the exit status.

    Parameters
    ----------
    signals : ProcessSignals
    file : SettingsFile
    """
    configure_logs("info", BoundedStream(STANDARD_OUTPUT), cached=True)
    log = structlog.get_logger()
    log.info(
        "process_starting",
        pid=os.getpid(),
        python=python_version(),
        machine=machine(),
    )
    status = run(signals, file)
    log.info("process_ending", status=status, **process_usage())
    return status


def run(signals, file):
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
        write_error(f"cannot read {FILE_VARIABLE}={file.name}: {findings[0]}")
        return EXIT_FAILURE
    settings = decoded.unwrap()
    structlog.contextvars.bind_contextvars(vm=settings.vm_name)
    try:
        return asyncio.run(serve(settings, file, signals))
    except Exception as error:
        log.exception("stopped_with_failure", error=repr(error))
        return EXIT_FAILURE


async def serve(settings, file, signals):
    """Run one VM; return the exit status.

    Parameters
    ----------
    settings : VmSettings
    file : SettingsFile
        It is read again when it changes, with or without SIGHUP.
    signals : ProcessSignals
    """
    platform = PlatformAdapter(
        PlatformStore(settings.store_address), EngineClient(), Decoder, headers
    )
    node = FleetNode(settings, platform, BootTimeClock())
    node.supervise("settings", lambda: file.follow(node.apply_settings))
    loop = asyncio.get_running_loop()
    signals.attach(loop, node.request_stop)
    try:
        if signals.stop_requested:
            return 0
        await node.run()
    except InvariantViolation as error:
        structlog.get_logger().error("stopped_with_failure", error=str(error))
        return EXIT_FAILURE
    finally:
        signals.detach(loop)
    return 0
