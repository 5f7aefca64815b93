"""Standard input, output and error of the process."""

import contextlib
import os

STANDARD_INPUT, STANDARD_OUTPUT, STANDARD_ERROR = range(3)


def prepare_standard_streams():
    """Make sure that all are open, and that no write to an output waits.

    What opens next would get the number of one that is closed, and with it what
    libraries write there. A pipe that nobody reads would stop the whole process.
    """
    for number in (STANDARD_INPUT, STANDARD_OUTPUT, STANDARD_ERROR):
        try:
            os.fstat(number)
        except OSError:
            # Takes the lowest number that is free.
            os.open(os.devnull, os.O_RDWR)
    for number in (STANDARD_OUTPUT, STANDARD_ERROR):
        os.set_blocking(number, False)


def write_error(text):
    """Write lines to standard error, as far as somebody reads it."""
    with contextlib.suppress(OSError):
        os.write(STANDARD_ERROR, f"{text}\n".encode())
