"""One connection to a cache server: hops and probes are written, answers read, whatever the server does meanwhile."""

from __future__ import annotations

import logging
import select
import socket
import struct
import threading
import time
from collections import deque
from enum import Enum

from fieldspur.net import resp
from fieldspur.net.invariants import contained_errors
from fieldspur.net.nonblocking import MONOTONIC_TO_UNIX_NS, PEER_CLOSED, receive_poll, write_nonblocking
from fieldspur.net.timer_wheel import NEVER
from fieldspur.permissions import counts_against_server, may_redial
from fieldspur.record import record
from fieldspur.site import MS, US

TYPE_CHECKING = False  # as typing has it, which a start does not load
if TYPE_CHECKING:
    from fieldspur.net.connection_pool import ConnectionPool

log = logging.getLogger("fieldspur.send")
MOST_AT_ONCE, JOIN = 16, 4096  # messages in one write; longer buffers are not joined with others
STRUCT_TIME = struct.Struct("@ll")  # what the system takes as a time: seconds, microseconds
MOST_USED = 512  # names remembered of what a connection carried and gave up
DIAL_PAUSE = 0.02  # seconds between two tries of a dial that fails on this machine
LOOK_ROOM = 200  # ms after which a wait for room in a socket looks whether the connection has ended
UNSENT = 16_384  # bytes that the system may hold and not yet have sent when it takes more: what waits can be taken back
DISCOVERY_CHECK_INTERVAL = 50 * MS  # so old may the last look be at whether discovery's word lies unread, when attempts are written
ANY = 1 << 30  # the same for what has begun


class ConnectionEnd(str, Enum):
    """Why a connection to a server ended, or did not come up; for the counts."""

    REFUSED = "refused"
    RESET = "reset"
    TIMED_OUT = "timed_out"
    CLOSED_BY_SERVER = "closed_by_server"
    CLOSED_HERE = "closed_here"
    UNREADABLE = "unreadable"
    OTHER = "other"


def end_of(error: OSError) -> ConnectionEnd:
    """The end that an error of the system stands for."""
    if isinstance(error, ConnectionRefusedError):
        return ConnectionEnd.REFUSED
    if isinstance(error, (ConnectionResetError, BrokenPipeError)):
        return ConnectionEnd.RESET
    return ConnectionEnd.TIMED_OUT if isinstance(error, TimeoutError) else ConnectionEnd.OTHER


@record(eq=False)
class Hop:
    """One request on its way to a server: a txn's hop, or a probe (no `want`)."""

    ident: int
    number: int
    name: str  # under which the server answers it
    server: str
    source: str | None
    want: resp.Want | None
    decided_at: int
    cut_at: int = 0
    group: int = -1  # of the object, for purges
    purges: int = 0  # how many purges were known when it was decided
    go_by: int = NEVER  # when it has to have gone out
    server_start: int = 0  # start of the server's process that it was decided for, as discovery told it; the same of the source's
    source_start: int = 0
    address: tuple[str, int] | None = None  # that its connection leads to
    connection: ServerConnection | None = None
    written_at: int = 0  # when it went out, 0 before
    ended: bool = False
    reader_wait_began: int = 0  # since when for its client's reader, the last time
    reader_wait_bytes: int = 0  # ... until that has worked off so many bytes of all that the client sent


def limit_unsent(sock: socket.socket, unsent: int = UNSENT) -> None:
    """What the other side has no room for waits in the router, where it can still be taken back, not in the system."""
    try:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, unsent)
    except (OSError, AttributeError):
        pass  # not of this system; then up to a socket's buffer goes out by what was right when it was written


class ServerConnection:
    """One connection to a server. Its own thread connects and reads. What goes out is written at once, without waiting,
    by the thread that has it; only what the socket does not take is left to a thread made for that."""

    def __init__(self, pool: ConnectionPool, server: str, address: tuple[str, int], patient: bool = False):
        """Raises OSError where the system gives no socket now, unless `patient`: then that is tried again while it dials."""
        self.pool, self.server, self.address = pool, server, address
        self.queue: deque = deque()  # hops to be written; bounded by the hops open here
        self.cancels: deque = deque()  # hops given up, of which the server is to be told first
        self.cancels_in_write: list[Hop] = []  # those of which a word has begun, and the rest is in `left`
        self.unwritten: list = []  # of what has begun and the socket did not take; nothing else is written before
        self.partial_hop: Hop | None = None  # the hop that `left` belongs to
        self.open_hops: dict[str, Hop] = {}
        self.used: dict[str, int] = {}  # names that must not be used again, for a further answer may come: of
        # one given up on by nobody, of one answered by no other txn
        self.older: dict[str, int] = {}  # those used before, forgotten together
        self.last_received_at, self.closed, self.retired = 0, False, False
        self.connected = False  # connected
        self.lock = threading.Lock()
        self.write_lock = threading.Lock()  # held by whoever writes; nobody waits for it
        self.draining = False  # a thread waits for the socket to take what is left of a write
        self.past = False  # a large write was handed over whole, past the mark: see whether there is room again
        self.sock: socket.socket | None = None
        try:
            self.sock = socket.socket()
        except OSError:
            if not patient:
                raise
        try:
            threading.Thread(target=self.run, name="lane", daemon=True).start()
        except RuntimeError:
            if self.sock is not None:
                self.sock.close()
            raise

    def accepts(self, hop: Hop) -> bool:
        return not (
            self.closed
            or self.retired
            or hop.name in self.open_hops
            or (self.used.get(hop.name) or self.older.get(hop.name, hop.ident)) != hop.ident
            or len(self.open_hops) >= self.pool.site.max_hops_per_connection
        )

    def use_up(self, hop: Hop, by: int) -> None:
        self.used[hop.name] = by
        if len(self.used) > MOST_USED:
            self.older, self.used = self.used, {}

    def enqueue(self, hop: Hop, sure: bool = True) -> bool:
        """The hop waits here for the next `pump`; false where the connection is ending, or, not `sure`, can't take it."""
        with self.lock:
            if self.closed or not sure and not self.accepts(hop):
                return False
            hop.connection, hop.address = self, self.address
            self.open_hops[hop.name] = hop
            self.queue.append(hop)
            return True

    def requeue(self, hop: Hop) -> None:
        """A hop that was put by, for its client's reader or for word of the one before, goes on."""
        self.queue.append(hop)
        self.write_queued()

    def remove_hop(self, hop: Hop, now: int) -> None:
        """A hop was given up; a connection on which nothing came since it was written is not used again."""
        with self.lock:
            self.open_hops.pop(hop.name, None)
            if not hop.written_at or self.closed:
                return
            self.use_up(hop, -1)
            if self.last_received_at < hop.written_at and now - hop.written_at > self.pool.site.connect_timeout:
                self.retired = True
            if hop.want is not None:
                with self.pool.lock:  # taken inside a connection's lock, never round it
                    self.pool.undelivered_cancels[hop.ident] = hop
                self.cancels.append(hop)
            if self.retired and not self.open_hops:
                self.shut_down()  # its thread may wait for ever, a writer be held up

    def refuse_stale_hops(self) -> None:
        """Hops that wait here and may not go out any more are taken back at once: they never ran."""
        for hop in list(self.queue):
            refusal = self.pool.rules.refusal(hop, time.monotonic_ns() + MONOTONIC_TO_UNIX_NS)
            if refusal is None:
                continue
            try:
                self.queue.remove(hop)
            except ValueError:
                continue  # a writer has it, and looks by itself
            self.pool.refuse(hop, refusal)

    def write_queued(self) -> None:
        """Write what waits here. Whoever finds another at it leaves: that one looks again before it goes."""
        while self.connected and not self.unwritten and (self.cancels or self.queue and not self.draining):
            if not self.write_lock.acquire(False):
                return
            try:
                full = False
                if self.unwritten:
                    continue  # begun by another since the look
                if self.cancels:
                    full = self.say()
                elif not self.draining:
                    self.unwritten, self.partial_hop, full = self.write_batch()
                if full and not self.draining:
                    self.draining = True
                    threading.Thread(target=self.write_rest, name="lane-rest", daemon=True).start()
            except (OSError, RuntimeError, ValueError):  # broken, closed, or the system gives no further thread
                self.shut_down()
                return
            except Exception:  # it costs this connection, whose own thread ends what is open on it
                contained_errors.record("write", server=self.server)
                self.shut_down()
                return
            finally:
                self.write_lock.release()

    def say(self) -> bool:
        """Tells the server what was given up; whether something is left. Guards against a server that reads on after it took nothing
        for a while, finds a hop that was given up, and its end behind what waits for room here, while the next attempt is out
        elsewhere: past the mark the words lie right behind that hop."""
        while self.cancels:
            self.cancels_in_write.append(self.cancels.popleft())
        data = b"".join([resp.encode_never_mind(hop.name) for hop in self.cancels_in_write if hop.written_at])  # others never went out
        left = write_nonblocking(self.sock, (data,)) if data else ()
        if left:
            self.past = True
            limit_unsent(self.sock, ANY)
            left = write_nonblocking(self.sock, left)
            limit_unsent(self.sock)
        self.unwritten = left
        if not left:
            self.told()
        return bool(left)

    def told(self) -> None:
        hops, self.cancels_in_write = self.cancels_in_write, []
        for hop in hops:
            self.pool.cancel_delivered(hop)

    def write_batch(self) -> tuple[list, Hop | None, bool]:
        """One write of what waits: what is left of a message that was cut, its hop, and whether the socket is full.
        Messages of which no byte went out wait here again, and are looked at again before they go."""
        if self.past:  # else the system would add small ones to the last of its pieces
            if not self.poll().poll(0):
                return [], None, True
            self.past = False
        if time.monotonic_ns() + MONOTONIC_TO_UNIX_NS - self.pool.discovery_checked_at > DISCOVERY_CHECK_INTERVAL:
            self.pool.wait_for_discovery()  # before any is looked at: nothing may wait between the look at one and its write
        try:  # as `next_attempt`, without a call in the ordinary case
            hop = self.queue.popleft()
        except IndexError:
            return (), None, False
        if hop.want is not None and not self.queue:  # the ordinary case of what follows
            if not self.pool.start_attempt(hop):
                return (), None, False
            data = resp.encode_want(hop.want)
            try:
                left = write_nonblocking(self.sock, data)
            except OSError:
                hop.written_at = 0
                raise
            return self.put_back([(hop, data)], left) if left else ((), None, False)
        messages = []
        while hop is not None:
            if self.pool.start_attempt(hop):
                messages.append((hop, resp.encode_want(hop.want) if hop.want else (resp.encode_probe(hop.name),)))
            hop = self.next_attempt() if len(messages) < MOST_AT_ONCE else None
        if not messages:
            return (), None, False
        data = [piece for _, pieces in messages for piece in pieces]
        try:
            if not any(len(piece) > JOIN for piece in data):
                data = (b"".join(data),)
            left = write_nonblocking(self.sock, data)
        except OSError:
            for hop, _ in messages:
                hop.written_at = 0  # nothing of this write went out: it never ran
            raise
        return self.put_back(messages, left) if left else ((), None, False)

    def next_attempt(self) -> Hop | None:
        """Takes the next one that waits, if any: `sift` may take out any of them at any moment, by another thread."""
        try:
            return self.queue.popleft()
        except IndexError:
            return None

    def put_back(self, messages: list, left: list) -> tuple[list, Hop | None, bool]:
        """Guards against a hop whose first byte goes out long after it was looked at: a server that does not read, a
        full socket. So much is left of these messages; all that have not begun wait again, in their order."""
        size = sum(map(len, left))
        while messages:
            hop, pieces = messages.pop()
            mine = sum(map(len, pieces))
            if size < mine:
                return self.rest([b"".join(pieces)[mine - size :]] if size else [], hop)
            hop.written_at = 0
            self.queue.appendleft(hop)
            size -= mine
        return [], None, True

    def rest(self, left: list, cut: Hop | None) -> tuple[list, Hop | None, bool]:
        """What has begun goes out whole, past the mark; only what has not begun is better kept here. Guards against a
        large write that goes out in pieces of `UNSENT`, each with its own waking: 0.54 of a core where 0.34 will do."""
        if left:
            self.past = True
            try:
                limit_unsent(self.sock, ANY)
                left = write_nonblocking(self.sock, left)
                limit_unsent(self.sock)
            except OSError:
                if cut is not None:
                    cut.written_at = 0  # not whole: it never ran
                raise
        if left:
            return left, cut, True
        return [], None, bool(self.queue)

    def poll(self) -> select.poll:
        poll = select.poll()
        poll.register(self.sock, select.POLLOUT)
        return poll

    def room(self) -> bool:
        """Waits until the socket takes more; false where the connection has ended."""
        poll = self.poll()
        while not poll.poll(LOOK_ROOM):
            if self.closed:
                return False
        return not self.closed

    def write_rest(self) -> None:
        """Guards against a server that reads slowly: this thread waits for it, and nobody else does."""
        try:
            while True:
                if self.unwritten:
                    cut = self.partial_hop
                    limit_unsent(self.sock, ANY)
                    keyed = cut is not None and cut.number and cut.want is not None and cut.want.key
                    self.finish(list(self.unwritten), cut.go_by if keyed else NEVER)
                    limit_unsent(self.sock)
                    self.told()  # before others may say something
                    self.unwritten, self.partial_hop = [], None
                    self.write_queued()  # words that came meanwhile
                if not self.room():
                    raise OSError("ended")
                with self.write_lock:
                    if self.unwritten:
                        continue  # of words that others have begun
                    if not self.queue or self.closed:
                        self.draining = False
                        break
                    self.unwritten, self.partial_hop, _ = self.write_batch()
        except (OSError, ValueError):
            self.broken_off()
        except Exception:
            contained_errors.record("write", server=self.server)
            self.broken_off()
        self.write_queued()  # what came between the look and the end of `draining`

    def broken_off(self) -> None:
        """What was cut off in its middle is not whole at the server: it never ran."""
        if self.partial_hop is not None:
            self.partial_hop.written_at = 0
        self.shut_down()

    def finish(self, left: list, go_by: int) -> None:
        """The rest of what has begun. Guards against a repeat of which a server takes the end only once it may have forgotten the
        first try: it is broken off, and is never whole there."""
        while left:
            if go_by == NEVER:
                self.sock.sendall(left.pop(0))
                continue
            wait = (go_by - (time.monotonic_ns() + MONOTONIC_TO_UNIX_NS)) // MS
            if wait <= 0 or not self.poll().poll(wait):
                raise OSError("not out in time")
            left = write_nonblocking(self.sock, left)

    def peer_closed(self) -> bool:
        """Guards against a hop written to a server that has closed or reset this connection, idle or not, before its reader has had
        a turn: of such a hop nobody could tell that it never ran."""
        found = receive_poll(self.sock).poll(0)
        self.retired |= bool(found and found[0][1] & PEER_CLOSED)
        return self.retired

    def run(self) -> None:
        """The connection's thread. An unforeseen error costs this connection: all that is open on it has its end, by the rules."""
        try:
            self.connect_and_read()
        except Exception:
            contained_errors.record("connection", server=self.server)
            self.end()

    def connect_and_read(self) -> None:
        site = self.pool.site
        try:
            self.dial()
            self.sock.settimeout(None)
            self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, site.idle_timeout // MS)
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVTIMEO, STRUCT_TIME.pack(*divmod(site.connect_timeout // US, 1_000_000)))
            limit_unsent(self.sock)
        except OSError as wrong:  # not established
            return self.end("unreachable" if counts_against_server(wrong.errno) else "unsent", end_of(wrong), wrong.strerror or "timed out")
        self.last_received_at = time.monotonic_ns() + MONOTONIC_TO_UNIX_NS
        self.connected = True
        self.write_queued()
        self.read_replies()

    def dial(self) -> None:
        """Connects, within the time that a dial may take. What fails on this machine is tried again meanwhile: it says nothing of the
        server. Raises OSError."""
        until = time.monotonic() + self.pool.site.connect_timeout / 1e9
        while True:
            try:
                if self.sock is None:
                    self.sock = socket.socket()
                self.sock.settimeout(max(DIAL_PAUSE, until - time.monotonic()))
                return self.sock.connect(self.address)
            except OSError as wrong:
                if self.closed or not may_redial(wrong.errno, until - time.monotonic() - DIAL_PAUSE):
                    raise
            time.sleep(DIAL_PAUSE)

    def close_if_unused(self) -> None:
        """Ends the connection where nothing is open and it is idle, retired or to a server that is gone."""
        with self.lock:
            self.closed |= (
                not self.open_hops
                and not self.queue
                and (
                    self.retired
                    or self.server not in self.pool.endpoints
                    or time.monotonic_ns() + MONOTONIC_TO_UNIX_NS - self.last_received_at > self.pool.site.idle_timeout * 0.75
                )
            )
            if self.closed:
                self.shut_down()

    def receive(self, decoder: resp.Decoder) -> int:
        """Waits for ever between answers; within one no longer than a connection may take to come up."""
        while True:
            try:
                return self.sock.recv_into(decoder.buffer.free_space())
            except BlockingIOError:
                if decoder.in_reply():
                    raise resp.BadReply("an answer that stops short") from None
                self.close_if_unused()

    def read_replies(self) -> None:
        decoder, how, why = resp.Decoder(), ConnectionEnd.CLOSED_BY_SERVER, "closed by the server"
        try:
            while size := self.receive(decoder):
                self.handle_replies(decoder, size)
                if self.retired or self.server not in self.pool.endpoints:
                    self.close_if_unused()
        except OSError as wrong:
            how, why = end_of(wrong), wrong.strerror or type(wrong).__name__
        except resp.BadReply as bad:
            how, why = ConnectionEnd.UNREADABLE, f"unreadable: {bad}"
            log.error("unreadable", extra={"kv": {"server": self.server, "why": str(bad)}})
        if self.closed:
            how, why = ConnectionEnd.CLOSED_HERE, "closed here"
        self.end("unsent", how, why)

    def handle_replies(self, decoder: resp.Decoder, size: int) -> None:
        """All that one read brought. Answers to one client go out in one write, and the Router hears of them together."""
        pool, window, cork = self.pool, decoder.buffer, []
        self.last_received_at = now = time.monotonic_ns() + MONOTONIC_TO_UNIX_NS
        pool.host.start_batch()
        try:
            for reply in decoder.received(size):
                with self.lock:
                    hop = self.open_hops.pop(reply.ident, None)
                    if hop is not None:
                        self.use_up(hop, hop.ident)
                if hop is None:
                    continue  # given up, and crossed
                if cork or window.end > window.start:  # else it is the only one
                    pool.answer_sender.undelivered.add((0, id(self)))
                    pool.handle_reply(hop, reply, now, cork)
                else:
                    pool.handle_reply(hop, reply, now)
        finally:
            for client_writer in cork:
                client_writer.uncork()
            pool.answer_sender.undelivered.discard((0, id(self)))
            pool.host.finish_batch()

    def shut_down(self) -> None:
        if self.sock is None:
            return
        try:
            self.sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass

    def end(self, unwritten: str = "unsent", how: ConnectionEnd = ConnectionEnd.OTHER, why: str = "") -> None:
        """What was not written never ran; only a connection that did not come up speaks against the server."""
        self.pool.connection_ends.add(how)
        with self.lock:
            self.closed = True
            hops = list(self.open_hops.values())
            self.open_hops.clear()
        self.shut_down()
        self.pool.remove_connection(self)
        with self.write_lock:  # a write under way uses the descriptor; none waits in there
            if self.sock is not None:
                self.sock.close()
            self.cancels_in_write.extend(self.cancels)
            self.cancels.clear()
        self.told()  # by its end
        log.info(
            "connection",
            extra={
                "kv": {
                    "server": self.server,
                    "state": "ended",
                    "why": why,
                    "open": len(hops),
                    "written": sum(hop.written_at > 0 for hop in hops),
                    "address": "%s:%d" % self.address,
                    "came_up": int(self.connected),
                }
            },
        )
        if any(hop.written_at for hop in hops):
            self.pool.last_break_at = time.monotonic_ns() + MONOTONIC_TO_UNIX_NS
        for hop in hops:
            self.pool.end_hop(hop, "broken" if hop.written_at else unwritten)
