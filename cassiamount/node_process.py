"""The process of ``cassiamountd``: its command line, settings and exit status."""

import asyncio
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


def run_command(signals):
    """Run what the command line says; return the exit status.

    Parameters
    ----------
    signals : ProcessSignals
    """
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
        return _run(settings, log_level, signals)

    return app()


def _run(settings, log_level, signals):
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
    return asyncio.run(_serve(checked, signals))


async def _serve(settings, signals):
    node = Node(settings)
    loop = asyncio.get_running_loop()
    signals.attach(loop, node.request_stop)
    try:
        if signals.stop_requested:
            # Nothing was accepted yet.
            return 0
        await node.run()
    except InvariantViolation as error:
        structlog.get_logger().error("stopped_with_failure", error=str(error))
        return EXIT_FAILURE
    finally:
        signals.detach(loop)
    return 0
