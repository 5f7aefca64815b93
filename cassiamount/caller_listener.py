"""A listening socket that goes on when the process has no descriptors left."""

import errno
import os
import socket

import structlog

# Connections that wait for being accepted.
BACKLOG = 2_048
# The event loop accepts so many at once; each then takes part in the count of open ones
# before more are accepted.
ACCEPTS_AT_ONCE = 16
OUT_OF_RESOURCES = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})

log = structlog.get_logger()


class CallerListener(socket.socket):
    """Closes new connections at once while there are no descriptors for them.

    The event loop would otherwise try as often as its backlog is long, with a traceback
    each, and leave the callers without an answer. A descriptor is kept to accept and
    close with.
    """

    __slots__ = ("_spare", "refused")

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.refused = 0
        self._spare = _open_spare()

    def listen(self, backlog=0):
        """Listen; `backlog` only says how many the event loop accepts at once."""
        super().listen(BACKLOG)

    def accept(self):
        """Accept a connection.

        Raises
        ------
        BlockingIOError
            If none waits, or the process lacks the resources for it.
        """
        try:
            return super().accept()
        except OSError as error:
            if error.errno not in OUT_OF_RESOURCES:
                raise
            if not self._refuse(error):
                # The event loop tries again later.
                raise
            raise BlockingIOError(error.errno, error.strerror) from None

    def _refuse(self, error):
        """Close the connection that waits, in place of the spare descriptor.

        Returns
        -------
        bool
            False if that was impossible and the connection still waits.
        """
        if self._spare is None:
            self._spare = _open_spare()
            return False
        os.close(self._spare)
        try:
            connection, _ = super().accept()
            connection.close()
        except BlockingIOError:
            # The caller has gone.
            return True
        except OSError:
            return False
        finally:
            self._spare = _open_spare()
        self.refused += 1
        # Powers of two, so that a flood writes few lines.
        if self.refused & (self.refused - 1) == 0:
            log.warning(
                "connections_refused", reason=error.strerror, count=self.refused
            )
        return True

    def close(self):
        """Close the socket and the spare descriptor."""
        super().close()
        if self._spare is not None:
            os.close(self._spare)
            self._spare = None


def _open_spare():
    try:
        return os.open(os.devnull, os.O_RDONLY | os.O_CLOEXEC)
    except OSError:
        return None
