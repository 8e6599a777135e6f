"""The buffer into which one connection is read. It is reused: at a steady load nothing is allocated."""

from __future__ import annotations

import threading


class MemoryBudget:
    """Bytes that many connections may take together. Any thread may call it."""

    def __init__(self, limit: int):
        self.lock = threading.Lock()
        self.limit, self.taken = limit, 0

    def take(self, size: int) -> bool:
        """Takes so many bytes. Returns False, and takes none, if they are not left."""
        with self.lock:
            if self.taken + size > self.limit:
                return False
            self.taken += size
            return True

    def give_back(self, size: int) -> None:
        with self.lock:
            self.taken -= size


class ReceiveBuffer:
    """Bytes that were read and not consumed yet are `buf[start:end]`.

    The reader reads into `free_space()`, advances `end` by the number of bytes read, and `start` past what it has consumed.
    When it knows the length of the message at `start`, it sets `message_size`. A message of known length is never moved
    inside the buffer: reads stop at the middle of the buffer, and only the rest of a message that began in the first
    half goes beyond.

    With a `budget` all that the buffer takes beyond its initial size is taken from there first, see `make_room`."""

    def __init__(self, initial_size: int, trust_length: bool, budget: MemoryBudget | None = None):
        """With `trust_length` the buffer grows at once to the length that the peer announced, otherwise along with the received bytes."""
        self.initial_size, self.trust_length, self.budget = initial_size, trust_length, budget
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

    def make_room(self) -> bool:
        """Grows the buffer for the next part of an incomplete message of known length. Returns False, and changes nothing, if the budget
        has no memory left for it."""
        new_size = min(self.message_size, 2 * max(self.end - self.start, self.initial_size))
        if self.budget is None or new_size <= len(self.buf):
            return True
        if not self.budget.take(new_size):
            return False
        replaced_size = self.budgeted_size(len(self.buf))
        self.resize(new_size)
        self.budget.give_back(replaced_size)  # only now: while the buffer grows, there are two
        return True

    def budgeted_size(self, size: int) -> int:
        """How much of the budget a buffer of this size takes."""
        return size if size > self.initial_size else 0

    def release(self) -> None:
        """Drops all bytes, and gives the memory beyond the initial size back."""
        self.start = self.end = self.message_size = 0
        if len(self.buf) > self.initial_size:
            self.resize(self.initial_size)

    def resize(self, new_size: int) -> None:
        """Sets the buffer's size and moves the unconsumed bytes to its beginning."""
        unread_size = self.end - self.start
        if self.budget is not None and new_size < len(self.buf):
            self.budget.give_back(self.budgeted_size(len(self.buf)) - self.budgeted_size(new_size))
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
