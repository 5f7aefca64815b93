"""The process of ``cassiamountd``: its command line, settings and exit status."""

import asyncio
import sys
from pathlib import Path

import cyclopts

from .bounded_stream import BoundedStream
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
    log = configure_logs(log_level, stream, vm=checked.vm_name)
    try:
        asyncio.run(_serve(checked, signals))
    except Exception as error:
        log.exception("stopped_with_failure", error=repr(error))
        return EXIT_FAILURE
    return 0


async def _serve(settings, signals):
    await signals.run(Node(settings), asyncio.get_running_loop())
