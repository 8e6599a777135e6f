"""Connections to cache servers: hops and probes go out, their ends come back."""

from __future__ import annotations

import logging
import socket
import struct
import threading
import time
from dataclasses import dataclass
from queue import Empty, SimpleQueue

from fieldspur.decide import LANES
from fieldspur.net import resp
from fieldspur.net.book import Answer, Book
from fieldspur.net.holds import holds
from fieldspur.net.relay import Relay
from fieldspur.site import MS, US, Deployment

log = logging.getLogger("fieldspur.send")
READ = 262_144
MOST_AT_ONCE = 16  # messages in one write
STRUCT_TIME = struct.Struct("@ll")  # what the system takes as a time: seconds, microseconds
MOST_USED = 512  # names remembered of what a connection carried and gave up


@dataclass(slots=True, eq=False)
class Hop:
    """One request on its way to a server: a txn's hop, or a probe (no `want`)."""

    ident: int
    number: int
    name: str  # under which the server answers it
    server: str
    source: str | None
    want: resp.Want | None
    asked: int
    lane: Lane | None = None
    written: int = 0  # when it went out, 0 before
    ended: bool = False


class Lane:
    """One connection to a server. Its own thread connects and writes, another reads."""

    def __init__(self, send: Send, server: str, address: tuple[str, int]):
        self.send, self.server, self.address = send, server, address
        self.queue: SimpleQueue = SimpleQueue()  # bounded by the hops open here
        self.open: dict[str, Hop] = {}
        self.used: dict[str, int] = {}  # names that must not be used again, for a further answer may come: of
        # one given up on by nobody, of one answered by no other txn
        self.heard, self.closed, self.retired = 0, False, False
        self.lock = threading.Lock()
        self.sock = socket.socket()
        try:
            threading.Thread(target=self.write, name="lane", daemon=True).start()
        except RuntimeError:
            self.sock.close()
            raise

    def takes(self, hop: Hop) -> bool:
        return not (self.closed or self.retired or hop.name in self.open
                    or self.used.get(hop.name, hop.ident) != hop.ident or len(self.open) >= self.send.site.most_hops)

    def use_up(self, hop: Hop, by: int) -> None:
        self.used[hop.name] = by
        if len(self.used) > MOST_USED:
            del self.used[next(iter(self.used))]

    def put(self, hop: Hop) -> bool:
        with self.lock:
            if self.closed:
                return False
            hop.lane = self
            self.open[hop.name] = hop
            self.queue.put(hop)
            return True

    def drop(self, hop: Hop, now: int) -> None:
        """A hop was given up; a connection on which nothing came since it was written is not used again."""
        with self.lock:
            self.open.pop(hop.name, None)
            if not hop.written or self.closed:
                return
            self.use_up(hop, -1)
            if self.heard < hop.written and now - hop.written > self.send.site.connect_timeout:
                self.retired = True
            if hop.want is not None:
                self.queue.put(resp.never_mind(hop.name))
            if self.retired:
                self.queue.put(None)  # the writer looks whether it is done
                if not self.open:
                    self.shut()  # it may be held up in a write

    def write(self) -> None:
        site = self.send.site
        try:
            self.sock.settimeout(site.connect_timeout / 1e9)
            self.sock.connect(self.address)
            self.sock.settimeout(None)
            self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, site.idle_close // MS)
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVTIMEO, STRUCT_TIME.pack(
                *divmod(site.connect_timeout // US, 1_000_000)))
            self.heard = time.time_ns()
            threading.Thread(target=self.read, name="lane-read", daemon=True).start()
        except (OSError, RuntimeError):  # not established, or the system gives no further thread
            return self.end("unreachable")
        while not self.closed:
            try:
                item = self.queue.get(timeout=site.idle_close * 0.8 / 1e9)
            except Empty:
                item = None
            if item is None and self.done():
                break
            hops, data = [], []
            while item is not None:
                if isinstance(item, bytes):
                    data.append(item)
                elif self.send.begin(item):
                    hops.append(item)
                    data.append(resp.want(item.want) if item.want else resp.probe(item.name))
                try:
                    item = self.queue.get_nowait() if len(data) < MOST_AT_ONCE else None
                except Empty:
                    item = None
            try:
                if data:
                    self.sock.sendall(b"".join(data))
            except OSError:
                if len(data) == 1:
                    for hop in hops:
                        hop.written = 0  # not whole: it never ran
                break
        self.end()

    def done(self) -> bool:
        """Nothing is open, nothing waits, and the connection is idle, retired or to a server that is gone."""
        with self.lock:
            self.closed |= not self.open and self.queue.empty() and (
                self.retired or self.server not in self.send.servers
                or time.time_ns() - self.heard > self.send.site.idle_close * 0.75)
            return self.closed

    def receive(self, decoder: resp.Decoder) -> bytes:
        """Waits for ever between answers; within one no longer than a connection may take to come up."""
        while True:
            try:
                return self.sock.recv(READ)
            except BlockingIOError:
                if decoder.within():
                    raise resp.BadReply("an answer that stops short") from None

    def read(self) -> None:
        decoder = resp.Decoder()
        try:
            while data := self.receive(decoder):
                self.heard = now = time.time_ns()
                for reply in decoder.feed(data):
                    with self.lock:
                        hop = self.open.pop(reply.ident, None)
                        if hop is not None:
                            self.use_up(hop, hop.ident)
                    if hop is not None:  # else given up, and crossed
                        self.send.answered(hop, reply, now)
                if self.retired or self.server not in self.send.servers:
                    self.queue.put(None)
        except OSError:
            pass
        except resp.BadReply as bad:
            log.error("unreadable", extra={"kv": {"server": self.server, "why": str(bad)}})
        self.end()

    def shut(self) -> None:
        try:
            self.sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass

    def end(self, unwritten: str = "unsent") -> None:
        """What was not written never ran; only a connection that did not come up speaks against the server."""
        with self.lock:
            self.closed = True
            hops = list(self.open.values())
            self.open.clear()
        self.queue.put(None)
        self.shut()
        self.send.lane_ended(self)
        self.sock.close()
        if any(hop.written for hop in hops):
            self.send.broke = time.time_ns()
        for hop in hops:
            self.send.ended(hop, "broken" if hop.written else unwritten)


class Send:
    """All connections to servers. The Router's thread only puts things into queues here."""

    def __init__(self, site: Deployment, book: Book, relay: Relay, most_lanes: int):
        self.site, self.book, self.relay, self.most_lanes = site, book, relay, most_lanes
        self.route = None  # set by it
        self.broke = 0  # when a connection last broke under hops
        self.lock = threading.Lock()
        self.lanes: dict[str, list[Lane]] = {}
        self.servers: dict[str, tuple[tuple[str, int], str]] = {}  # addresses and states as listed

    def listed(self, name: str, address: tuple[str, int], state: str) -> None:
        if state == "gone":  # forgotten, and with it where it was
            self.servers.pop(name, None)
            with self.lock:
                for lane in self.lanes.get(name, ()):
                    lane.queue.put(None)  # it looks whether it is done
        else:
            self.servers[name] = (address, state)

    def up(self, name: str | None) -> bool:
        return name is None or self.servers.get(name, ("", ""))[1] == "up"

    def hop(self, hop: Hop) -> None:
        """The hop goes out; its end is reported later, whatever happens."""
        while True:
            lane = self.lane_for(hop)
            if lane is None:
                return self.ended(hop, "unsent")
            if lane.put(hop):
                return

    def lane_for(self, hop: Hop) -> Lane | None:
        if hop.server not in self.servers:
            return None
        with self.lock:
            lanes = self.lanes.setdefault(hop.server, [])
            free = [lane for lane in lanes if lane.takes(hop)]
            best = min(free, key=lambda lane: len(lane.open)) if free else None
            breaking = time.time_ns() - self.broke < self.site.idle_close
            if best is not None and (not best.open or len(lanes) >= (LANES if breaking else 1)
                                     or self.many() >= self.most_lanes // 2):
                return best  # beyond half of the descriptors further ones are for servers that have none
            if self.many() >= self.most_lanes:
                log.warning("lanes_full", extra={"kv": {"server": hop.server, "lanes": self.most_lanes}})
                return None
            try:
                lanes.append(Lane(self, hop.server, self.servers[hop.server][0]))
            except (RuntimeError, OSError) as wrong:  # the system gives no further thread or descriptor
                log.error("no_lane", extra={"kv": {"server": hop.server, "why": str(wrong)}})
                return best
            return lanes[-1]

    def many(self) -> int:
        return sum(map(len, self.lanes.values()))

    def count(self) -> int:
        with self.lock:
            return self.many()

    def lane_ended(self, lane: Lane) -> None:
        with self.lock:
            lanes = self.lanes.get(lane.server, [])
            if lane in lanes:
                lanes.remove(lane)
            if not lanes:
                self.lanes.pop(lane.server, None)

    def claim(self, hop: Hop) -> bool:
        """Whoever claims a hop reports its one end."""
        with self.lock:
            first, hop.ended = not hop.ended, True
            return first

    def begin(self, hop: Hop) -> bool:
        """Just before a hop is written: it may have been given up, or have waited too long to go out."""
        now = time.time_ns()
        with self.lock:
            if hop.ended:
                return False
            if self.up(hop.server) and self.up(hop.source) and now - hop.asked <= self.site.connect_timeout:
                hop.written = now
                return True
        with hop.lane.lock:
            hop.lane.open.pop(hop.name, None)
        self.ended(hop, "unsent")
        return False

    def give_up(self, hop: Hop, now: int) -> bool:
        """Stop waiting; true where the caller is to report the end."""
        if not self.claim(hop):
            return False
        if hop.lane is not None:
            hop.lane.drop(hop, now)
        return True

    def ended(self, hop: Hop, result: str) -> None:
        if self.claim(hop):
            self.report(hop, result)

    def report(self, hop: Hop, result: str, reply: resp.Reply | None = None, at: int = 0) -> None:
        self.route.post(self.route.hop_ended, hop, result, (at or time.time_ns()) - hop.asked, reply)

    def answered(self, hop: Hop, reply: resp.Reply, at: int) -> None:
        if not self.claim(hop):
            return
        if hop.want is not None and reply.result == "completed":
            if not holds(not reply.unchanged or hop.want.tag, "unchanged only where the client holds a copy"):
                return self.report(hop, "error")
            answer = Answer("completed", 0, reply.unchanged, reply.body)
            self.relay.owe(1)
            txn = self.book.settle(hop.ident, answer)
            if txn is not None:
                self.relay.answer(txn, answer)
            self.relay.owe(-1)
        self.report(hop, reply.result, reply, at)
