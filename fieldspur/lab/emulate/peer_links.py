"""Links between routers, one a directed pair: what a reads of b passes here, and can be cut, stalled, delayed, or lose lines."""

from __future__ import annotations

import random
from collections import deque

from fieldspur.lab.emulate.event_loop import Conn, Loop

MOST_QUEUED = 8 << 20  # bytes that a stalled link keeps


class Relay:
    """Listens for the reader, and connects to whom it reads for each connection. `cut` ends and refuses connections; `stalled`
    passes no line on and loses none; `delay` ns a line; `lost` share of lines that never come."""

    def __init__(self, loop: Loop, to: tuple[str, int], chance: random.Random):
        self.loop, self.to, self.random = loop, to, chance
        self.cut, self.stalled, self.delay, self.lost = False, False, 0, 0.0
        self.pairs: set[Pair] = set()
        self.listener = loop.listen(self.accepted)
        self.port = self.listener.getsockname()[1]
        self.passed = 0  # bytes

    def accepted(self, conn: Conn) -> None:
        if self.cut:
            return conn.close()
        self.pairs.add(Pair(self, conn))

    def cuts(self, yes: bool) -> None:
        self.cut = yes
        for pair in list(self.pairs) if yes else ():
            pair.end()

    def stalls(self, yes: bool) -> None:
        self.stalled = yes
        for pair in list(self.pairs):
            pair.flush()


class Pair:
    """One connection of the reader and the one made for it."""

    def __init__(self, relay: Relay, reader: Conn):
        self.relay, self.reader = relay, reader
        self.writer = relay.loop.connect(relay.to)
        self.lines: deque = deque()  # (when it may go on, line)
        self.size = 0
        self.over = False
        reader.on_data, reader.on_close = self.asked, self.end
        self.writer.on_data, self.writer.on_close = self.said, self.end

    def asked(self, held: bytearray) -> None:
        self.writer.write(bytes(held))
        held.clear()

    def said(self, held: bytearray) -> None:
        relay, at = self.relay, held.rfind(b"\n") + 1
        for line in bytes(held[:at]).splitlines(True):
            if relay.lost and relay.random.random() < relay.lost:
                continue
            self.lines.append((relay.loop.now() + relay.delay, line))
            self.size += len(line)
        del held[:at]
        if self.size > MOST_QUEUED:
            return self.end()
        if relay.delay:
            relay.loop.later(relay.delay, self.flush)
        self.flush()

    def flush(self) -> None:
        now = self.relay.loop.now()
        while self.lines and not self.over and not self.relay.stalled and self.lines[0][0] <= now:
            _, line = self.lines.popleft()
            self.size -= len(line)
            self.relay.passed += len(line)
            self.reader.write(line)

    def end(self) -> None:
        if not self.over:
            self.over = True
            self.relay.pairs.discard(self)
            self.reader.close()
            self.writer.close()
