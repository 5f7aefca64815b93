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

    def attach(self, loop, request_stop):
        """Call `request_stop` for each request to stop that comes from now on."""
        for number in STOP_SIGNALS:
            loop.add_signal_handler(number, request_stop)

    def detach(self, loop):
        """Keep requests to stop again, before the loop closes.

        Closing the loop would set the default, by which a second request to stop ends
        the process with another status.
        """
        for number in STOP_SIGNALS:
            loop.remove_signal_handler(number)
            signal.signal(number, self._keep)

    def _keep(self, number, frame):
        self.stop_requested = True
