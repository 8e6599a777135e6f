"""The buffer into which one connection is read. It is reused: at a steady load nothing is allocated."""

from __future__ import annotations


class ReceiveBuffer:
    """Bytes that were read and not consumed yet are `buf[start:end]`.

    The reader reads into `free_space()`, advances `end` by the number of bytes read, and `start` past what it has consumed.
    When it knows the length of the message at `start`, it sets `message_size`. A message of known length is never moved
    inside the buffer: reads stop at the middle of the buffer, and only the rest of a message that began in the first
    half goes beyond."""

    def __init__(self, initial_size: int, trust_length: bool):
        """With `trust_length` the buffer grows at once to the length that the peer announced, otherwise along with the received bytes."""
        self.initial_size, self.trust_length = initial_size, trust_length
        self.buf = bytearray(initial_size)
        self.view = memoryview(self.buf)
        self.start = self.end = self.message_size = 0

    def __len__(self) -> int:
        return self.end - self.start

    def free_space(self) -> memoryview:
        """The part of the buffer to read into next; never empty."""
        unread_size = self.end - self.start
        if not unread_size:
            self.start = self.end = 0
            if len(self.buf) > self.initial_size and not self.trust_length:
                self.resize(self.initial_size)  # otherwise clients that each sent one large message would keep large buffers
            return self.view[: len(self.buf) >> 1]
        if self.message_size > unread_size:
            message_end = self.start + self.message_size
            if message_end > len(self.buf):
                self.resize(2 * self.message_size if self.trust_length else min(self.message_size, 2 * max(unread_size, self.initial_size)))
                message_end = min(self.message_size, len(self.buf))
            return self.view[self.end : max(message_end, len(self.buf) >> 1)]
        if self.end >= len(self.buf) >> 1:  # the beginning of a message of unknown length
            self.resize(len(self.buf) if unread_size < len(self.buf) >> 2 else 2 * len(self.buf))
        return self.view[self.end : max(self.end + 1, len(self.buf) >> 1)]

    def resize(self, new_size: int) -> None:
        """Sets the buffer's size and moves the unconsumed bytes to its beginning."""
        unread_size = self.end - self.start
        if new_size == len(self.buf):
            self.buf[:unread_size] = self.buf[self.start : self.end]
        else:
            buf = bytearray(new_size)
            buf[:unread_size] = self.view[self.start : self.end]
            self.buf, self.view = buf, memoryview(buf)
        self.start, self.end = 0, unread_size

    def feed(self, data: bytes):
        """Copies `data` into the free space piece by piece, as reads from a socket would; yields the size of each piece."""
        rest = memoryview(data)
        while rest:
            space = self.free_space()
            size = min(len(space), len(rest))
            space[:size] = rest[:size]
            yield size
            rest = rest[size:]
