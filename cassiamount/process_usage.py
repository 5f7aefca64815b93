"""Memory and descriptors that this process uses."""

import os
import resource

DESCRIPTORS = "/proc/self/fd"
MEMORY = "/proc/self/statm"
PAGE_BYTES = resource.getpagesize()


def process_usage():
    """Return what the process uses, for a periodic log line.

    Returns
    -------
    dict of str to int or float
        ``memory_mb`` now, ``memory_peak_mb`` since the start and the open
        ``descriptors``; without those that the system does not tell.
    """
    # Linux counts the peak in units of 1,024 bytes.
    peak_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    usage = {"memory_peak_mb": round(peak_kb / 1024, 1)}
    try:
        with open(MEMORY, encoding="ascii") as file:
            resident_pages = int(file.read().split()[1])
        usage["memory_mb"] = round(resident_pages * PAGE_BYTES / 2**20, 1)
        usage["descriptors"] = len(os.listdir(DESCRIPTORS))
    except (OSError, ValueError, IndexError):
        # Without descriptors left neither file can be opened.
        pass
    return usage
