"""One connection's reused buffer. What is read lies there until it is taken; in steady state nothing is allocated."""

from __future__ import annotations


class ReceiveBuffer:
    """Bytes read and not yet taken are `buf[start:end]`.

    The reader reads into `room()`, moves `end` by what came and `start` past what it took. Where it knows how long the
    message at `start` is, it sets `whole`, and no message of a known length is moved inside the buffer: reads stop in
    the buffer's first half, and only the rest of a message that began there goes beyond."""

    def __init__(self, first: int, trust_length: bool):
        """`first` bytes to begin with. `eager`: takes the peer's word for a length, else room grows with what came."""
        self.first, self.trust_length = first, trust_length
        self.buf = bytearray(first)
        self.view = memoryview(self.buf)
        self.start = self.end = self.message_size = 0

    def __len__(self) -> int:
        return self.end - self.start

    def free_space(self) -> memoryview:
        """Where to read next, never empty."""
        held = self.end - self.start
        if not held:
            self.start = self.end = 0
            if len(self.buf) > self.first and not self.trust_length:
                self.resize(self.first)  # guards against clients that each made a large buffer once
            return self.view[: len(self.buf) >> 1]
        if self.message_size > held:
            stop = self.start + self.message_size
            if stop > len(self.buf):
                self.resize(2 * self.message_size if self.trust_length else min(self.message_size, 2 * max(held, self.first)))
                stop = min(self.message_size, len(self.buf))
            return self.view[self.end : max(stop, len(self.buf) >> 1)]
        if self.end >= len(self.buf) >> 1:  # the start of a message whose length is not known yet
            self.resize(len(self.buf) if held < len(self.buf) >> 2 else 2 * len(self.buf))
        return self.view[self.end : max(self.end + 1, len(self.buf) >> 1)]

    def resize(self, size: int) -> None:
        held = self.end - self.start
        if size == len(self.buf):
            self.buf[:held] = self.buf[self.start : self.end]
        else:
            buf = bytearray(size)
            buf[:held] = self.view[self.start : self.end]
            self.buf, self.view = buf, memoryview(buf)
        self.start, self.end = 0, held

    def feed(self, data: bytes):
        """Puts bytes that came otherwise into the room, as a socket would; yields how many each time."""
        left = memoryview(data)
        while left:
            room = self.free_space()
            size = min(len(room), len(left))
            room[:size] = left[:size]
            yield size
            left = left[size:]
