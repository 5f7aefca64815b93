"""Bounded queues of typed messages between tasks."""

import asyncio


class MailboxFull(Exception):
    """The receiver does not keep up; the message was not queued."""


class Mailbox:
    """Messages to one task, in order of arrival.

    Parameters
    ----------
    name : str
    limit : int
        Messages held at most.
    """

    __slots__ = ("name", "_queue")

    def __init__(self, name, limit=10_000):
        self.name = name
        self._queue = asyncio.Queue(limit)

    def send(self, message):
        """Queue a message without waiting.

        Raises
        ------
        MailboxFull
        """
        try:
            self._queue.put_nowait(message)
        except asyncio.QueueFull:
            raise MailboxFull(self.name) from None

    async def receive(self):
        """Wait for the next message."""
        return await self._queue.get()

    def drain(self):
        """Return all queued messages without waiting."""
        messages = []
        while not self._queue.empty():
            messages.append(self._queue.get_nowait())
        return messages

    def __len__(self):
        return self._queue.qsize()


class Call:
    """A message that expects one reply.

    Parameters
    ----------
    body : object
        The typed request.
    """

    __slots__ = ("body", "_reply")

    def __init__(self, body):
        self.body = body
        self._reply = asyncio.get_running_loop().create_future()

    def reply(self, value):
        """Answer the caller; a caller that has gone is ignored."""
        if not self._reply.done():
            self._reply.set_result(value)

    def fail(self, error):
        """Answer the caller with an exception."""
        if not self._reply.done():
            self._reply.set_exception(error)

    async def answer(self):
        """Wait for the reply."""
        return await self._reply


async def call(mailbox, body):
    """Send `body` to a mailbox as a `Call` and wait for the reply."""
    request = Call(body)
    mailbox.send(request)
    return await request.answer()
