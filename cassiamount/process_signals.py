"""Signals to the process, from the first moment of its start to its end."""

import signal

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class ProcessSignals:
    """Takes the signals of the process from the time it is made.

    A request to stop that comes before there is anything to stop is kept. SIGHUP says
    that the settings file has changed, which its reader notices by itself.

    Attributes
    ----------
    stop_requested : bool
    """

    __slots__ = ("stop_requested",)

    def __init__(self):
        self.stop_requested = False
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
        for number in STOP_SIGNALS:
            signal.signal(number, self._keep)

    async def run(self, node, loop):
        """Run a node until a request to stop, unless one has come already.

        Parameters
        ----------
        node : object
            Has `run` and `request_stop`.
        loop : asyncio.AbstractEventLoop
            The running one.
        """
        for number in STOP_SIGNALS:
            loop.add_signal_handler(number, node.request_stop)
        try:
            # Nothing was accepted before.
            if not self.stop_requested:
                await node.run()
        finally:
            self._detach(loop)

    def _detach(self, loop):
        """Keep requests to stop again, before the loop closes.

        Closing the loop would set the default, by which a second request to stop ends
        the process with another status.
        """
        for number in STOP_SIGNALS:
            loop.remove_signal_handler(number)
            signal.signal(number, self._keep)

    def _keep(self, number, frame):
        self.stop_requested = True
