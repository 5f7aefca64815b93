"""Virtual time: events in order of time, ties in order of their planning."""

import heapq


class Clockwork:
    """Runs planned calls on a virtual clock."""

    def __init__(self):
        self.now_ms = 0.0
        self._events = []
        self._sequence = 0

    def after(self, delay_ms, call, *arguments):
        """Plan a call."""
        self._sequence += 1
        event = (self.now_ms + delay_ms, self._sequence, call, arguments)
        heapq.heappush(self._events, event)

    def every(self, interval_ms, call):
        """Plan a call again and again."""

        def again():
            call()
            self.after(interval_ms, again)

        self.after(interval_ms, again)

    def run(self, until_ms):
        """Run everything planned up to `until_ms`."""
        while self._events and self._events[0][0] <= until_ms:
            self.now_ms, _, call, arguments = heapq.heappop(self._events)
            call(*arguments)
        self.now_ms = until_ms
