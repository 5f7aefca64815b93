"""The daemon ``cassiamountd``."""

import sys

from .process_signals import ProcessSignals


def main():
    """Entry point of ``cassiamountd``."""
    signals = ProcessSignals()
    # Most of the start is the import of libraries, and signals come meanwhile too.
    from .node_process import run_command

    sys.exit(run_command(signals))


if __name__ == "__main__":
    main()
