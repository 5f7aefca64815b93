"""The daemon ``cassiamountd``."""

import asyncio
import signal
import sys
from pathlib import Path

import cyclopts
import structlog

from .bounded_stream import BoundedStream
from .errors import InvariantViolation
from .logs import configure_logs
from .node import Node
from .settings import parse_settings

EXIT_FAILURE = 1
EXIT_FINDINGS = 2

app = cyclopts.App(
    name="cassiamountd", help="Runs one entry VM.", result_action="return_value"
)


@app.default
def run(*, settings: Path, log_level: str = "info"):
    """Run until SIGTERM.

    Parameters
    ----------
    settings
        JSON file with the settings of this VM.
    log_level
        ``debug``, ``info``, ``warning`` or ``error``.
    """
    try:
        text = settings.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        print(f"cannot read {settings}: {error}", file=sys.stderr)
        return EXIT_FAILURE
    parsed = parse_settings(text, str(settings))
    if parsed.is_err():
        for finding in parsed.unwrap_err():
            print(finding, file=sys.stderr)
        return EXIT_FINDINGS
    checked = parsed.unwrap()
    stream = BoundedStream(sys.stderr.fileno())
    configure_logs(log_level, stream, vm=checked.vm_name)
    return asyncio.run(serve(checked))


async def serve(settings):
    """Run one node until SIGTERM or SIGINT; return the exit status."""
    node = Node(settings)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, node.request_stop)
    try:
        await node.run()
    except InvariantViolation as error:
        structlog.get_logger().error("stopped_with_failure", error=str(error))
        return EXIT_FAILURE
    return 0


def main():
    """Entry point of ``cassiamountd``."""
    sys.exit(app())


if __name__ == "__main__":
    main()
