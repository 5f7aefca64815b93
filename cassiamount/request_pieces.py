"""Splits what a caller sends so that its parser never runs ahead of the answers."""

HEAD_END = b"\r\n\r\n"
# A piece of a body of unknown length is at least this long, so that a body which holds
# many ends of heads is not parsed in as many pieces.
MIN_BODY_PIECE_BYTES = 64
# The shortest heads that fit into such a piece, and the parts of one on both sides.
MAX_HEADS = MIN_BODY_PIECE_BYTES // len(b"GET / HTTP/1.1\r\n\r\n") + 2


class RequestPieces:
    """Finds pieces of a connection's bytes that hold few ends of heads.

    That is one end, or up to `MAX_HEADS` in and after a body of unknown length. A piece
    may end earlier than a message.
    """

    __slots__ = ("_tail",)

    def __init__(self):
        # Last bytes of the piece before; the end of a head may lie in both.
        self._tail = b""

    def next_end(self, data, start, in_body, body_left_bytes):
        """Return where the piece that begins at `start` ends.

        Parameters
        ----------
        data : bytes or bytearray
        start : int
        in_body : bool
        body_left_bytes : int
            Bytes of the current body that are known to follow; 0 if unknown.
        """
        size = len(data)
        if body_left_bytes:
            end = min(size, start + body_left_bytes)
        elif in_body:
            position = data.find(HEAD_END, start + MIN_BODY_PIECE_BYTES)
            end = size if position < 0 else position + len(HEAD_END)
        else:
            end = self._head_end(data, start)
        kept = len(HEAD_END) - 1
        last = bytes(data[max(start, end - kept) : end])
        self._tail = (self._tail + last)[-kept:]
        return end

    def _head_end(self, data, start):
        tail = self._tail
        if tail:
            joint = tail + data[start : start + len(HEAD_END) - 1]
            position = joint.find(HEAD_END)
            if position >= 0:
                return start + position + len(HEAD_END) - len(tail)
        position = data.find(HEAD_END, start)
        return len(data) if position < 0 else position + len(HEAD_END)
