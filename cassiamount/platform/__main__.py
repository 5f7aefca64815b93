"""Starts one VM of the system on the users' platform."""

import os
import sys

from ..process_signals import ProcessSignals
from ..standard_streams import prepare_standard_streams


def main():
    """Run until SIGTERM; return the exit status."""
    signals = ProcessSignals()
    prepare_standard_streams()
    # Most of the start is the import of libraries. Signals come meanwhile too, and the
    # settings file is read before and after, so that it is not taken while it changes.
    from ..clock import SystemClock
    from ..settings_file import SettingsFile
    from .settings import FILE_VARIABLE, decode_settings

    file = SettingsFile(
        os.environ.get(FILE_VARIABLE, ""), decode_settings, SystemClock()
    )
    file.read()
    from ..vm_process import run_process
    from .components import build_platform

    return run_process(signals, file, build_platform)


if __name__ == "__main__":
    sys.exit(main())
