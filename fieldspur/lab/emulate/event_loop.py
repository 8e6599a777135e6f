"""One thread, many sockets and timers: what the laboratory's stand-ins run on. Sockets never wait; times are Unix ns."""

from __future__ import annotations

import heapq
import itertools
import selectors
import socket
import struct
import time
from collections import deque
from collections.abc import Callable

READ = 262_144
STALL_LEAST, STALLS_KEPT = 2_000_000, 1_500_000_000  # ns: turns that are noted, and for how long
MOST_HELD = 32 << 20  # bytes that a connection's other end may leave unread


class Loop:
    def __init__(self):
        self.chosen = selectors.DefaultSelector()
        self.timers: list[tuple] = []
        self.order = itertools.count()
        self.stopped = False
        self.lag = 0  # the longest that a timer waited
        self.clock = self.turned = time.time_ns()
        self.stalls: deque = deque()  # (when, how long) of turns in the last moments that others waited for

    def stall(self) -> int:
        """How late this process may be about what it sees now: the longest of its turns in the last moments."""
        now = time.time_ns()
        while self.stalls and self.stalls[0][0] < now - STALLS_KEPT:
            self.stalls.popleft()
        return max(now - self.turned, max((took for _, took in self.stalls), default=0))

    def turn_over(self, late: int) -> None:
        """A turn of events and timers is over; timers waited for so long before it."""
        took = max(late, time.time_ns() - self.turned)
        if took > STALL_LEAST:
            self.stalls.append((self.turned + took, took))

    def now(self) -> int:
        return self.clock

    def later(self, delay: int, what: Callable[[], None]) -> None:
        heapq.heappush(self.timers, (self.clock + max(0, delay), next(self.order), what))

    def at(self, when: int, what: Callable[[], None]) -> None:
        heapq.heappush(self.timers, (when, next(self.order), what))

    def run(self) -> None:
        while not self.stopped:
            self.clock = time.time_ns()
            wait = min(0.1, max(0.0, (self.timers[0][0] - self.clock) / 1e9)) if self.timers else 0.1
            events, late = self.chosen.select(wait), 0
            self.turned = time.time_ns()
            for key, event in events:
                self.clock = time.time_ns()
                key.data(event)
            self.clock = time.time_ns()
            for _ in range(200):  # then sockets have their turn
                if not self.timers or self.timers[0][0] > self.clock:
                    break
                due, _, what = heapq.heappop(self.timers)
                late = max(late, self.clock - due)
                what()
            self.lag = max(self.lag, late)
            self.turn_over(late)

    def listen(self, accepted: Callable, port: int = 0, window: int = 0, segment: int = 0) -> socket.socket:
        """A listener on loopback; `accepted(conn)` gets each connection and sets what is to be called. `window`: bytes
        that the system holds of what is not read; `segment`: most bytes of a segment, by which the other side's system
        measures what it holds in turn (loopback's 64 KB let it take 1.3 MB at once); 0: the system's own measure."""
        sock = socket.socket()
        if segment:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, segment)
        if window:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, window)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(("127.0.0.1", port))
        sock.listen(512)
        sock.setblocking(False)

        def ready(_events) -> None:
            for _ in range(64):
                try:
                    new, _ = sock.accept()
                except OSError:
                    return
                accepted(Conn(self, new))

        self.chosen.register(sock, selectors.EVENT_READ, ready)
        return sock

    def unlisten(self, sock: socket.socket) -> None:
        if sock.fileno() >= 0:
            self.chosen.unregister(sock)
            sock.close()

    def connect(self, address: tuple[str, int], window: int = 0) -> Conn:
        """Begins a connection; what is written waits until it is up, and one that fails is closed."""
        sock = socket.socket()
        if window:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, window)
        sock.setblocking(False)
        try:
            sock.connect(address)
        except BlockingIOError:
            pass
        except OSError:
            pass  # its end is seen at the first event
        return Conn(self, sock, connecting=True)


class Conn:
    """A connection: bytes in by `on_data(bytearray)`, which takes what it used; its end by `on_close()`, once."""

    def __init__(self, loop: Loop, sock: socket.socket, connecting: bool = False):
        self.loop, self.sock, self.connecting = loop, sock, connecting
        self.held, self.out = bytearray(), bytearray()
        self.on_data: Callable = lambda held: held.clear()
        self.on_close: Callable = lambda: None
        self.closed = self.ending = False
        self.reset_by_peer = False  # it ended with a reset, also behind its peer's end: the peer left something unread
        self.paused = False  # reads nothing
        self.total = 0  # bytes read so far
        self.times: deque | None = None  # where kept: (bytes, when the other side's system had taken so many), growing
        self.events = selectors.EVENT_READ | (selectors.EVENT_WRITE if connecting else 0)
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        loop.chosen.register(sock, self.events, self.ready)

    def ready(self, events: int) -> None:
        if self.closed:
            return
        if events & selectors.EVENT_WRITE:
            if self.connecting:
                if self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                    return self.close()
                self.connecting = False
            self.flush()
        if events & selectors.EVENT_READ and not self.closed and not self.paused:
            self.read(READ)

    def read(self, size: int) -> None:
        try:
            data = self.sock.recv(size)
        except BlockingIOError:
            return
        except OSError:
            self.reset_by_peer = True
            return self.close()
        if not data:
            self.reset_by_peer = bool(self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR))
            return self.close()
        self.held += data
        self.total += len(data)
        self.taken(self.total)
        self.on_data(self.held)

    def taken(self, total: int) -> None:
        """The other side has handed so many bytes to its system by now, as far as it is known."""
        if self.times is not None and (not self.times or total > self.times[-1][0]):
            self.times.append((total, self.loop.clock))

    def first(self, offset: int) -> int:
        """When the byte at that place of the stream was handed over; asked in order."""
        while self.times and self.times[0][0] <= offset:
            self.times.popleft()
        return self.times[0][1] if self.times else self.loop.clock

    def pause(self, yes: bool) -> None:
        self.paused = yes
        self.choose()

    def write(self, data: bytes) -> None:
        if self.closed:
            return
        self.out += data
        if len(self.out) > MOST_HELD:
            return self.reset()
        if not self.connecting:
            self.flush()

    def flush(self) -> None:
        if self.out:
            try:
                sent = self.sock.send(self.out)
            except BlockingIOError:
                sent = 0
            except OSError:
                return self.close()
            del self.out[:sent]
        if self.ending and not self.out:
            return self.close()
        self.choose()

    def choose(self) -> None:
        wanted = (0 if self.paused else selectors.EVENT_READ) | (selectors.EVENT_WRITE if self.out or self.connecting else 0)
        if wanted != self.events and not self.closed:
            if not wanted:
                self.loop.chosen.unregister(self.sock)
            elif not self.events:
                self.loop.chosen.register(self.sock, wanted, self.ready)
            else:
                self.loop.chosen.modify(self.sock, wanted, self.ready)
            self.events = wanted

    def end(self) -> None:
        """Closes once all is written."""
        self.ending = True
        self.flush()

    def reset(self) -> None:
        if not self.closed:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self.close()

    def close(self) -> None:
        if self.closed:
            return
        self.closed = True
        if self.events:
            self.loop.chosen.unregister(self.sock)
        self.sock.close()
        self.on_close()
