"""How the memory of a VM is shared between what others can make it hold."""

# The process without load, with its state, its log and the evidence of crashes.
PROCESS_BYTES = 80 << 20
# What a connection of a caller takes at most beside the shared budgets: a head, what
# waits behind a request, the uncounted parts of bodies, and what a slow reader holds.
CALLER_BYTES = 96 << 10
# Parts of the memory for all bodies of requests, each of which is held a second time
# while it is sent on, and for all answers.
BODY_SHARE = 1 / 8
ANSWER_SHARE = 1 / 10
# Not counted of each body or answer, so that large ones keep no small ones out.
FREE_BYTES = 16 << 10


class MemoryPlan:
    """Bounds whose sum stays within the memory of a process.

    Parameters
    ----------
    memory_mb : float
        Memory beyond which the platform kills the process.
    """

    __slots__ = ("body_bytes", "answer_bytes", "callers")

    def __init__(self, memory_mb):
        memory_bytes = memory_mb * (1 << 20)
        self.body_bytes = int(BODY_SHARE * memory_bytes)
        self.answer_bytes = int(ANSWER_SHARE * memory_bytes)
        shared_bytes = PROCESS_BYTES + 2 * self.body_bytes + self.answer_bytes
        self.callers = int(max(1, (memory_bytes - shared_bytes) // CALLER_BYTES))
