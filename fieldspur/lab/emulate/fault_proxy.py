"""A fault proxy between routers and one server: delays, pieces, stalls and cuts bytes in both directions.

It runs on the laboratory's loop. `times` of each connection to the router tell when the router handed its bytes over, however long they
are held up here; the server behind reads them from there."""

from __future__ import annotations

import random
from collections import deque

from fieldspur.bench.path import free_port
from fieldspur.lab.emulate import socket_queues
from fieldspur.lab.emulate.event_loop import Conn, Loop

MOST_UNSENT = 65_536  # bytes that wait for the other side before no more is read
LOOK_ROOM = 10_000_000  # ns between looks whether there is room again


class Proxy:
    """Listens on `port`; each connection gets one of its own to `to`, which is registered in `origins` by its local port."""

    def __init__(self, loop: Loop, to: int, chance: random.Random, origins: dict[int, Conn]):
        self.loop, self.to, self.random, self.origins = loop, to, chance, origins
        self.delay, self.pieces, self.stalled, self.cut_after = 0, False, False, 0  # ns; bytes until a cut, 0: none
        self.tunnels: set[Tunnel] = set()
        self.listener = loop.listen(self.accepted)
        self.port = self.listener.getsockname()[1]

    def accepted(self, conn: Conn) -> None:
        self.tunnels.add(Tunnel(self, conn))

    def stall(self, yes: bool) -> None:
        self.stalled = yes
        for tunnel in list(self.tunnels) if not yes else ():
            tunnel.flush()

    def take_down(self) -> None:
        """The server is gone: its connections reset, further ones are refused."""
        self.loop.unlisten(self.listener)
        for tunnel in list(self.tunnels):
            tunnel.end(reset=True)

    def bring_back(self) -> None:
        self.listener = self.loop.listen(self.accepted, self.port)

    def move(self) -> None:
        """While it is down: it comes back at another address."""
        self.port = free_port()


class Tunnel:
    """One connection of a router, and the one made for it."""

    def __init__(self, proxy: Proxy, router: Conn):
        self.proxy, self.router = proxy, router
        router.times = deque()
        self.server = proxy.loop.connect(("127.0.0.1", proxy.to))
        self.local = self.server.sock.getsockname()[1]
        proxy.origins[self.local] = router
        self.waiting: deque = deque()  # (when it may go on, to whom, bytes)
        self.over, self.passed = False, 0
        router.on_data = lambda held: self.came(self.server, held)
        self.server.on_data = lambda held: self.came(router, held)
        router.on_close = self.server.on_close = self.end

    def came(self, to: Conn, held: bytearray) -> None:
        proxy, data = self.proxy, bytes(held)
        held.clear()
        self.passed += len(data)
        if proxy.cut_after and self.passed > proxy.cut_after and proxy.random.random() < 0.5:
            to.write(data[: len(data) // 2])
            return self.end(reset=True)
        at = proxy.loop.now()
        while data:
            size = proxy.random.randint(1, 1 + min(len(data), 700)) if proxy.pieces else len(data)
            at += int(proxy.delay * proxy.random.random()) if proxy.delay else 0
            self.waiting.append((at, to, data[:size]))
            data = data[size:]
        self.flush()
        source = self.router if to is self.server else self.server
        if len(to.out) > MOST_UNSENT and not source.paused:
            source.pause(True)
            proxy.loop.later(LOOK_ROOM, lambda: self.room(to, source))

    def room(self, to: Conn, source: Conn) -> None:
        if self.over or source.closed:
            return
        if len(to.out) > MOST_UNSENT:
            if source is self.router:
                socket_queues.look([source])  # the router may hand over more meanwhile
            return self.proxy.loop.later(LOOK_ROOM, lambda: self.room(to, source))
        source.pause(False)

    def flush(self) -> None:
        now = self.proxy.loop.now()
        while self.waiting and not self.over and not self.proxy.stalled and self.waiting[0][0] <= now:
            _, to, data = self.waiting.popleft()
            to.write(data)
        if self.waiting and not self.over and not self.proxy.stalled:
            self.proxy.loop.later(self.waiting[0][0] - now, self.flush)

    def end(self, reset: bool = False) -> None:
        if self.over:
            return
        self.over = True
        self.proxy.tunnels.discard(self)
        self.proxy.origins.pop(self.local, None)
        for conn in (self.router, self.server):
            conn.reset() if reset else conn.close()
