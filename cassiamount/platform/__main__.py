"""Starts one VM of the system on the users' platform."""

import asyncio
import os
import signal
import sys
from pathlib import Path

import structlog

from ..clock import SuspendClock
from ..errors import InvariantViolation
from ..fleet_node import FleetNode, PlatformParts
from ..logs import configure_logs
from ..supervisor import RestartLimitReached
from . import documents, headers
from .engines import EngineClient
from .settings import FILE_VARIABLE, decode_settings
from .store import PlatformStore

EXIT_FAILURE = 1
EXIT_FINDINGS = 2


class Decoder:
    """Decodes what the store holds."""

    configuration = staticmethod(documents.decode_configuration)
    backend = staticmethod(documents.decode_backend)


def main():
    """Run until SIGTERM; return the exit status."""
    file_name = os.environ.get(FILE_VARIABLE, "")
    try:
        text = Path(file_name).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        print(f"cannot read {FILE_VARIABLE}={file_name}: {error}", file=sys.stderr)
        return EXIT_FAILURE
    decoded = decode_settings(text, file_name)
    if decoded.is_err():
        for finding in decoded.unwrap_err():
            print(finding, file=sys.stderr)
        return EXIT_FINDINGS
    settings = decoded.unwrap()
    configure_logs("info", sys.stdout)
    return asyncio.run(serve(settings))


async def serve(settings):
    """Run one VM; return the exit status."""
    platform = PlatformParts(
        PlatformStore(settings.store_address), EngineClient(), Decoder, headers
    )
    node = FleetNode(settings, platform, SuspendClock())
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, node.request_stop)
    loop.add_signal_handler(signal.SIGHUP, lambda: None)
    try:
        await node.run()
    except (InvariantViolation, RestartLimitReached) as error:
        structlog.get_logger().error("stopped_with_failure", error=str(error))
        return EXIT_FAILURE
    return 0


if __name__ == "__main__":
    sys.exit(main())
