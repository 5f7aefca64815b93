"""The process of one VM of the system on the users' platform."""

import asyncio
import os
import sys
from pathlib import Path
from platform import machine, python_version

import structlog

from ..bounded_stream import BoundedStream
from ..clock import BootTimeClock
from ..errors import InvariantViolation
from ..fleet_node import FleetNode, PlatformAdapter
from ..logs import configure_logs
from ..process_usage import process_usage
from ..supervisor import RestartLimitReached
from . import documents, headers
from .engines import EngineClient
from .settings import FILE_VARIABLE, decode_settings
from .store import PlatformStore

EXIT_FAILURE = 1
EXIT_FINDINGS = 2
# Interval at which the settings file is checked for changes.
RELOAD_CHECK_S = 1.0


class Decoder:
    """Decodes the documents in the platform's metadata store."""

    configuration = staticmethod(documents.decode_configuration)
    backend = staticmethod(documents.decode_backend)


def run_process(signals):
    """Run until SIGTERM; return the exit status.

    Parameters
    ----------
    signals : ProcessSignals
    """
    configure_logs("info", BoundedStream(sys.stdout.fileno()), cached=True)
    log = structlog.get_logger()
    log.info(
        "process_starting",
        pid=os.getpid(),
        python=python_version(),
        machine=machine(),
    )
    status = run(signals)
    log.info("process_ending", status=status, **process_usage())
    return status


def run(signals):
    """Read the settings and run the VM; return the exit status."""
    log = structlog.get_logger()
    file_name = os.environ.get(FILE_VARIABLE, "")
    try:
        text = Path(file_name).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        log.error("settings_unreadable", error=str(error))
        print(f"cannot read {FILE_VARIABLE}={file_name}: {error}", file=sys.stderr)
        return EXIT_FAILURE
    decoded = decode_settings(text, file_name)
    if decoded.is_err():
        findings = [str(finding) for finding in decoded.unwrap_err()]
        log.error("settings_not_taken", findings=findings)
        print(*findings, sep="\n", file=sys.stderr)
        return EXIT_FINDINGS
    settings = decoded.unwrap()
    structlog.contextvars.bind_contextvars(vm=settings.vm_name)
    try:
        return asyncio.run(serve(settings, file_name, signals))
    except Exception as error:
        log.exception("stopped_with_failure", error=repr(error))
        return EXIT_FAILURE


async def serve(settings, file_name, signals):
    """Run one VM; return the exit status.

    Parameters
    ----------
    settings : VmSettings
    file_name : str
        Settings file; it is read again when it changes, with or without SIGHUP.
    signals : ProcessSignals
    """
    platform = PlatformAdapter(
        PlatformStore(settings.store_address), EngineClient(), Decoder, headers
    )
    node = FleetNode(settings, platform, BootTimeClock())
    loop = asyncio.get_running_loop()
    signals.attach(loop, node.request_stop)
    reload = asyncio.create_task(watch_settings(file_name, settings, node))
    try:
        if signals.stop_requested:
            # Nothing was accepted yet.
            return 0
        await node.run()
    except (InvariantViolation, RestartLimitReached) as error:
        structlog.get_logger().error("stopped_with_failure", error=str(error))
        return EXIT_FAILURE
    finally:
        reload.cancel()
        signals.detach(loop)
    return 0


async def watch_settings(file_name, settings, node):
    """Apply changes of the settings file while the VM runs."""
    log = structlog.get_logger()
    path = Path(file_name)
    text = path.read_text(encoding="utf-8")
    while True:
        await asyncio.sleep(RELOAD_CHECK_S)
        try:
            new_text = path.read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as error:
            log.warning("settings_unreadable", error=str(error))
            continue
        if new_text == text:
            continue
        text = new_text
        decoded = decode_settings(text, file_name)
        if decoded.is_err():
            findings = [str(finding) for finding in decoded.unwrap_err()]
            log.warning("settings_not_taken", findings=findings)
            continue
        log.info("settings_taken", changed=settings.changes(decoded.unwrap()))
        settings = decoded.unwrap()
        node.apply_settings(settings)
