"""Starts one VM of the system on the users' platform."""

import sys

from ..process_signals import ProcessSignals


def main():
    """Run until SIGTERM; return the exit status."""
    signals = ProcessSignals()
    # Most of the start is the import of libraries, and signals come meanwhile too.
    from .process import run_process

    return run_process(signals)


if __name__ == "__main__":
    sys.exit(main())
