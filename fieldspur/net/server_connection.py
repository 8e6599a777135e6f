"""One connection to a cache server: writes hops and probes, reads replies, and copes with whatever the server does meanwhile."""

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

TYPE_CHECKING = False  # defined here as in `typing`, which is not loaded at a start
if TYPE_CHECKING:
    from fieldspur.net.connection_pool import ConnectionPool

log = logging.getLogger("fieldspur.send")
MAX_MESSAGES_PER_WRITE = 16
MAX_JOINED_BYTES = 4096  # a write with a longer buffer is not joined into one buffer
TIMEVAL = struct.Struct("@ll")  # the system's format of a timeout: seconds, microseconds
MAX_USED_NAMES = 512  # used names in one generation; two generations are remembered for each connection
DIAL_PAUSE_S = 0.02  # pause between two tries of a dial that fails on this machine
WRITABLE_POLL_MS = 200  # how often a wait for a writable socket checks whether the connection has ended
# Unsent bytes that the system may hold while it still accepts more. Everything else waits in the router, where it can be taken back.
UNSENT_LIMIT = 16_384
NO_UNSENT_LIMIT = 1 << 30  # used for a message that has begun: it has to go out whole
DISCOVERY_CHECK_INTERVAL = 50 * MS  # before a write, the last check for unread discovery events may be that old


class ConnectionEnd(str, Enum):
    """Why a connection to a server ended or could not be established, for the counts."""

    REFUSED = "refused"
    RESET = "reset"
    TIMED_OUT = "timed_out"
    CLOSED_BY_SERVER = "closed_by_server"
    CLOSED_HERE = "closed_here"
    UNREADABLE = "unreadable"
    OTHER = "other"


def end_of(error: OSError) -> ConnectionEnd:
    """Returns the ConnectionEnd for an error of the system."""
    if isinstance(error, ConnectionRefusedError):
        return ConnectionEnd.REFUSED
    if isinstance(error, (ConnectionResetError, BrokenPipeError)):
        return ConnectionEnd.RESET
    return ConnectionEnd.TIMED_OUT if isinstance(error, TimeoutError) else ConnectionEnd.OTHER


@record(eq=False)
class Hop:
    """One request to a server: a txn's hop, or a probe (`want` is None). Times are ns of the program's clock."""

    ident: int  # number of the txn
    number: int  # number of the hop within its txn
    name: str  # names the hop in the server's reply
    server: str
    source: str | None
    want: resp.Want | None
    decided_at: int
    cut_at: int = 0  # when the router stops waiting for a reply
    group: int = -1  # group of the object, for purges
    purges: int = 0  # number of purges that the Router knew at the decision
    go_by: int = NEVER  # the hop may not be written after this time
    server_start: int = 0  # start of the server's process for which the hop was decided, as discovery reported it
    source_start: int = 0  # the same for the source
    address: tuple[str, int] | None = None  # where its connection leads
    connection: ServerConnection | None = None
    written_at: int = 0  # 0 while it is not written
    ended: bool = False  # its end is claimed by a thread, which reports it
    reader_wait_began: int = 0  # when it last began to wait for its client's reader
    reader_wait_bytes: int = 0  # it waits until the reader has processed that many bytes of everything the client sent
    given_up: bool = False  # it was written, and the router stopped waiting for its reply
    used_connections: tuple[ServerConnection, ...] = ()  # those that it must not use, because a reply to an earlier hop may come there
    shared_connections: tuple[ServerConnection, ...] = ()  # those that it may use, although an earlier hop was answered there

    def follow(self, previous: Hop, repeatable: bool) -> None:
        """Sets the connections that this hop must not use; `previous` is the hop before it of the same txn, and has ended.

        All hops of a txn have the same name, so a second copy of a reply can't be told from the reply to a later hop on the same
        connection. Only hops of a repeatable txn share a connection, two at most, and the second one is given up when a refusal comes:
        a further connection for each of them would cost too many handshakes."""
        self.used_connections, self.shared_connections = previous.used_connections, previous.shared_connections
        if not previous.written_at:
            return
        if repeatable and not previous.given_up and previous.connection not in previous.shared_connections:
            self.shared_connections += (previous.connection,)
        else:
            self.used_connections += (previous.connection,)


def limit_unsent(sock: socket.socket, limit: int = UNSENT_LIMIT) -> None:
    """Limits how much unsent data the system accepts, so that the rest waits in the router, where it can still be taken back."""
    try:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, limit)
    except (OSError, AttributeError):
        pass  # this system has no such option: up to a socket buffer of messages can't be taken back once written


class ServerConnection:
    """One connection to a server. Its own thread connects and reads. Any thread writes what it has at once, without waiting; only when the
    socket does not accept everything, a further thread is started for the rest."""

    def __init__(self, pool: ConnectionPool, server: str, address: tuple[str, int], patient: bool = False):
        """Raises OSError if the system has no socket to give; with `patient` the dial tries again instead."""
        self.pool, self.server, self.address = pool, server, address
        self.queue: deque = deque()  # hops to be written; never more than the open hops
        self.cancels: deque = deque()  # cancelled hops of which the server is not told yet; written before other hops
        self.cancels_in_write: list[Hop] = []  # those whose cancel messages are being written
        self.unwritten: list = []  # rest of a started write that the socket did not accept; it goes out before anything else
        self.partial_hop: Hop | None = None  # the hop that `unwritten` belongs to
        self.open_hops: dict[str, Hop] = {}  # by name
        # Names that another hop must not use, because a further reply to them may come, with the txn that still may: the txn whose
        # hop was answered, or -1 (no txn) after a cancel. `Hop.used_connections` keeps the hops of one txn apart as well, for as long
        # as the txn is open.
        self.used_names: dict[str, int] = {}
        self.older_used_names: dict[str, int] = {}  # the generation before, which is forgotten as a whole
        self.last_received_at, self.closed, self.retired = 0, False, False  # retired: takes no further hops
        self.connected = False
        self.lock = threading.Lock()
        self.write_lock = threading.Lock()  # held by the writing thread; no other thread waits for it
        self.rest_writer_active = False  # a thread waits until the socket accepts the rest of a write
        self.over_mark = False  # a message was written beyond UNSENT_LIMIT: check that the socket is writable before the next one
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
        """Returns whether the hop may be queued on this connection."""
        return not (
            self.closed
            or self.retired
            or hop.name in self.open_hops
            or self in hop.used_connections
            or (self.used_names.get(hop.name) or self.older_used_names.get(hop.name, hop.ident)) != hop.ident
            or len(self.open_hops) >= self.pool.site.max_hops_per_connection
        )

    def mark_name_used(self, hop: Hop, ident: int) -> None:
        """From now on only the txn `ident` may use the hop's name."""
        self.used_names[hop.name] = ident
        if len(self.used_names) > MAX_USED_NAMES:
            self.older_used_names, self.used_names = self.used_names, {}

    def enqueue(self, hop: Hop, checked: bool = True) -> bool:
        """Queues the hop for the next `write_queued`. Returns False if the connection is ending. Unless `accepts` was `checked` before, it
        is checked here, and False is returned if the connection does not accept the hop."""
        with self.lock:
            if self.closed or not checked and not self.accepts(hop):
                return False
            hop.connection, hop.address = self, self.address
            self.open_hops[hop.name] = hop
            self.queue.append(hop)
            return True

    def requeue(self, hop: Hop) -> None:
        """Queues a hop again that had to wait for its client's reader or for the cancel of the txn's hop before it."""
        self.queue.append(hop)
        self.write_queued()

    def remove_hop(self, hop: Hop, now: int) -> None:
        """Removes a cancelled hop. If nothing was received since the hop was written, for as long as a connect may take, the connection
        is not used again."""
        with self.lock:
            self.open_hops.pop(hop.name, None)
            if not hop.written_at or self.closed:
                return
            self.mark_name_used(hop, -1)
            hop.given_up = True
            if self.last_received_at < hop.written_at and now - hop.written_at > self.pool.site.connect_timeout:
                self.retired = True
            if hop.want is not None:
                self.add_cancel(hop)
            if self.retired and not self.open_hops:
                self.shut_down()  # otherwise its reader or a writer could wait forever

    def add_cancel(self, hop: Hop) -> None:
        """Has the server told that a hop is given up; the txn's next hop waits for that. The caller holds the lock."""
        with self.pool.txn_locks[hop.ident % len(self.pool.txn_locks)]:  # lock order: a connection's lock first, then that of a txn
            self.pool.undelivered_cancels[hop.ident] = hop
        self.cancels.append(hop)

    def refuse_stale_hops(self) -> None:
        """Refuses queued hops that may not be written any more, at once: they never ran."""
        for hop in list(self.queue):
            refusal = self.pool.rules.refusal(hop, time.monotonic_ns() + MONOTONIC_TO_UNIX_NS)
            if refusal is None:
                continue
            try:
                self.queue.remove(hop)
            except ValueError:
                continue  # a writer has taken it, and checks it itself
            self.pool.refuse(hop, refusal)

    def write_queued(self) -> None:
        """Writes what is queued. Returns at once if another thread is writing: that thread checks the queue again before it returns."""
        while self.connected and not self.unwritten and (self.cancels or self.queue and not self.rest_writer_active):
            if not self.write_lock.acquire(False):
                return
            try:
                full = False
                if self.unwritten:
                    continue  # another thread has started a write since the check above
                if self.cancels:
                    full = self.write_cancels()
                elif not self.rest_writer_active:
                    self.unwritten, self.partial_hop, full = self.write_batch()
                if full and not self.rest_writer_active:
                    self.rest_writer_active = True
                    threading.Thread(target=self.write_rest, name="lane-rest", daemon=True).start()
            except (OSError, RuntimeError, ValueError):  # broken, closed, or no further thread available
                self.shut_down()
                return
            except Exception:  # costs this connection, whose own thread ends its open hops
                contained_errors.record("write", server=self.server)
                self.shut_down()
                return
            finally:
                self.write_lock.release()

    def write_cancels(self) -> bool:
        """Tells the server which hops are cancelled; returns whether a part of that is still unwritten.

        The cancels are written beyond UNSENT_LIMIT, right behind the cancelled hop. This guards against a server that reads nothing for
        a while, then finds the cancelled hop first and its cancel only behind what waits in the router, while the txn's next hop is
        already out at another server."""
        while self.cancels:
            self.cancels_in_write.append(self.cancels.popleft())
        # Hops that were not written need no cancel.
        data = b"".join([resp.encode_never_mind(hop.name) for hop in self.cancels_in_write if hop.written_at])
        unwritten = write_nonblocking(self.sock, (data,)) if data else ()
        if unwritten:
            self.over_mark = True
            limit_unsent(self.sock, NO_UNSENT_LIMIT)
            unwritten = write_nonblocking(self.sock, unwritten)
            limit_unsent(self.sock)
        self.unwritten = unwritten
        if not unwritten:
            self.report_cancels_delivered()
        return bool(unwritten)

    def report_cancels_delivered(self) -> None:
        hops, self.cancels_in_write = self.cancels_in_write, []
        for hop in hops:
            self.pool.cancel_delivered(hop)

    def write_batch(self) -> tuple[list, Hop | None, bool]:
        """Writes queued messages in one write. Returns the rest of a message that was partly written, its hop, and whether the socket is
        full. Messages of which no byte was written are queued again, and checked again before the next write."""
        if self.over_mark:  # otherwise the system would append small messages to the last segment of the large one
            if not self.writable_poll().poll(0):
                return [], None, True
            self.over_mark = False
        if time.monotonic_ns() + MONOTONIC_TO_UNIX_NS - self.pool.discovery_checked_at > DISCOVERY_CHECK_INTERVAL:
            self.pool.wait_for_discovery()  # before the first check of a hop: nothing may wait between the check of a hop and its write
        try:  # same as `pop_queued`, inlined to save a call in the ordinary case
            hop = self.queue.popleft()
        except IndexError:
            return (), None, False
        if hop.want is not None and not self.queue:  # the ordinary case: a single hop; the code below handles all cases
            if not self.pool.start_attempt(hop):
                return (), None, False
            data = resp.encode_want(hop.want)
            try:
                unwritten = write_nonblocking(self.sock, data)
            except OSError:
                hop.written_at = 0
                raise
            return self.requeue_unstarted([(hop, data)], unwritten) if unwritten else ((), None, False)
        messages = []
        while hop is not None:
            if self.pool.start_attempt(hop):
                messages.append((hop, resp.encode_want(hop.want) if hop.want else (resp.encode_probe(hop.name),)))
            hop = self.pop_queued() if len(messages) < MAX_MESSAGES_PER_WRITE else None
        if not messages:
            return (), None, False
        data = [buffer for _, buffers in messages for buffer in buffers]
        try:
            if not any(len(buffer) > MAX_JOINED_BYTES for buffer in data):
                data = (b"".join(data),)
            unwritten = write_nonblocking(self.sock, data)
        except OSError:
            for hop, _ in messages:
                hop.written_at = 0  # nothing of this write went out: the hop never ran
            raise
        return self.requeue_unstarted(messages, unwritten) if unwritten else ((), None, False)

    def pop_queued(self) -> Hop | None:
        """Takes the next queued hop, if any: another thread may empty the queue at any moment (`refuse_stale_hops`)."""
        try:
            return self.queue.popleft()
        except IndexError:
            return None

    def requeue_unstarted(self, messages: list, unwritten: list) -> tuple[list, Hop | None, bool]:
        """Queues those of `messages` again, in their order, of which no byte was written; `unwritten` is the rest of their write. This
        guards against a hop whose first byte goes out long after it was checked, behind a full socket of a server that does not read."""
        size = sum(map(len, unwritten))
        while messages:
            hop, buffers = messages.pop()
            message_size = sum(map(len, buffers))
            if size < message_size:
                return self.finish_started([b"".join(buffers)[message_size - size :]] if size else [], hop)
            hop.written_at = 0
            self.queue.appendleft(hop)
            size -= message_size
        return [], None, True

    def finish_started(self, unwritten: list, partial_hop: Hop | None) -> tuple[list, Hop | None, bool]:
        """Writes the rest of a started message beyond UNSENT_LIMIT; only messages that have not started are better kept in the router.
        Returns the same as `write_batch`. This guards against a large write that goes out in pieces of UNSENT_LIMIT, each of which
        wakes a thread: that took 0.54 of a core where 0.34 is enough."""
        if unwritten:
            self.over_mark = True
            try:
                limit_unsent(self.sock, NO_UNSENT_LIMIT)
                unwritten = write_nonblocking(self.sock, unwritten)
                limit_unsent(self.sock)
            except OSError:
                if partial_hop is not None:
                    partial_hop.written_at = 0  # it did not go out whole: it never ran
                raise
        if unwritten:
            return unwritten, partial_hop, True
        return [], None, bool(self.queue)

    def writable_poll(self) -> select.poll:
        poll = select.poll()
        poll.register(self.sock, select.POLLOUT)
        return poll

    def wait_writable(self) -> bool:
        """Waits until the socket accepts more data; returns False if the connection has ended."""
        poll = self.writable_poll()
        while not poll.poll(WRITABLE_POLL_MS):
            if self.closed:
                return False
        return not self.closed

    def write_rest(self) -> None:
        """A thread that writes what the socket did not accept at once, so that no other thread has to wait for a slow server."""
        try:
            while True:
                if self.unwritten:
                    hop = self.partial_hop
                    limit_unsent(self.sock, NO_UNSENT_LIMIT)
                    is_keyed_repeat = hop is not None and hop.number and hop.want is not None and hop.want.key
                    self.write_remaining(list(self.unwritten), hop.go_by if is_keyed_repeat else NEVER)
                    limit_unsent(self.sock)
                    self.report_cancels_delivered()  # before other threads may write cancels
                    self.unwritten, self.partial_hop = [], None
                    self.write_queued()  # cancels that were added meanwhile
                if not self.wait_writable():
                    raise OSError("ended")
                with self.write_lock:
                    if self.unwritten:
                        continue  # another thread has started to write cancels
                    if not self.queue or self.closed:
                        self.rest_writer_active = False
                        break
                    self.unwritten, self.partial_hop, _ = self.write_batch()
        except (OSError, ValueError):
            self.abort_partial_write()
        except Exception:
            contained_errors.record("write", server=self.server)
            self.abort_partial_write()
        self.write_queued()  # what was queued before `rest_writer_active` was cleared

    def abort_partial_write(self) -> None:
        """Ends the connection. A message that was cut off in the middle is incomplete at the server: its hop never ran."""
        if self.partial_hop is not None:
            self.partial_hop.written_at = 0
        self.shut_down()

    def write_remaining(self, unwritten: list, go_by: int) -> None:
        """Writes the rest of a started message, by `go_by`, or raises OSError. This guards against a repeat whose end reaches the server
        only when the server may have forgotten the first attempt: the repeat is cut off and never complete there."""
        while unwritten:
            if go_by == NEVER:
                self.sock.sendall(unwritten.pop(0))
                continue
            wait_ms = (go_by - (time.monotonic_ns() + MONOTONIC_TO_UNIX_NS)) // MS
            if wait_ms <= 0 or not self.writable_poll().poll(wait_ms):
                raise OSError("not out in time")
            unwritten = write_nonblocking(self.sock, unwritten)

    def peer_closed(self) -> bool:
        """Returns whether the server has closed or reset this connection, even if the reading thread has not noticed yet. This guards
        against writing a hop to such a connection: nothing could prove afterwards that the hop never ran."""
        events = receive_poll(self.sock).poll(0)
        self.retired |= bool(events and events[0][1] & PEER_CLOSED)
        return self.retired

    def run(self) -> None:
        """The connection's thread. An unforeseen error costs this connection, and its open hops end in the usual way."""
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
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVTIMEO, TIMEVAL.pack(*divmod(site.connect_timeout // US, 1_000_000)))
            limit_unsent(self.sock)
        except OSError as error:  # the connection could not be established
            return self.end("unreachable" if counts_against_server(error.errno) else "unsent", end_of(error), error.strerror or "timed out")
        self.last_received_at = time.monotonic_ns() + MONOTONIC_TO_UNIX_NS
        self.connected = True
        self.write_queued()
        self.read_replies()

    def dial(self) -> None:
        """Connects within the connect timeout. A failure on this machine says nothing about the server, and is retried within that time.
        Raises OSError."""
        deadline = time.monotonic() + self.pool.site.connect_timeout / 1e9
        while True:
            try:
                if self.sock is None:
                    self.sock = socket.socket()
                self.sock.settimeout(max(DIAL_PAUSE_S, deadline - time.monotonic()))
                return self.sock.connect(self.address)
            except OSError as error:
                if self.closed or not may_redial(error.errno, deadline - time.monotonic() - DIAL_PAUSE_S):
                    raise
            time.sleep(DIAL_PAUSE_S)

    def close_if_unused(self) -> None:
        """Ends the connection if it has no hops and is idle, retired, or leads to a server that is not listed any more."""
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

    def read_replies(self) -> None:
        """Reads and handles replies until the connection ends. Between replies it waits without limit; a reply that stops short for the
        connect timeout ends the connection."""
        decoder, connection_end, reason = resp.Decoder(), ConnectionEnd.CLOSED_BY_SERVER, "closed by the server"
        buffer = decoder.buffer
        try:
            while True:
                try:
                    size = self.sock.recv_into(buffer.free_space())
                except BlockingIOError:
                    if decoder.in_reply():
                        raise resp.BadReply("an answer that stops short") from None
                    self.close_if_unused()
                    continue
                if not size:
                    break
                if not decoder.items_left and not self.retired and buffer.end - buffer.start + size < buffer.message_size:
                    # A further part of one long reply, and not the last one. How many parts there are is up to the system.
                    buffer.end += size
                    self.last_received_at = time.monotonic_ns() + MONOTONIC_TO_UNIX_NS
                    continue
                self.handle_replies(decoder, size)
                if self.retired or self.server not in self.pool.endpoints:
                    self.close_if_unused()
        except OSError as error:
            connection_end, reason = end_of(error), error.strerror or type(error).__name__
        except resp.BadReply as error:
            connection_end, reason = ConnectionEnd.UNREADABLE, f"unreadable: {error}"
            log.error("unreadable", extra={"kv": {"server": self.server, "why": str(error)}})
        if self.closed:
            connection_end, reason = ConnectionEnd.CLOSED_HERE, "closed here"
        self.end("unsent", connection_end, reason)

    def handle_replies(self, decoder: resp.Decoder, size: int) -> None:
        """Handles the replies of one read. Answers to the same client go out in one write, and the Router handles all replies together."""
        pool, buffer, corked_writers, in_batch = self.pool, decoder.buffer, [], False
        self.last_received_at = now = time.monotonic_ns() + MONOTONIC_TO_UNIX_NS
        try:
            for reply in decoder.received(size):
                if not in_batch:
                    in_batch = True
                    pool.host.start_batch()
                with self.lock:
                    hop = self.open_hops.pop(reply.ident, None)
                    if hop is not None:
                        # A refusal may be a second copy of that of the hop before, while this hop is still under way.
                        may_be_copy = reply.result != "completed" and self in hop.shared_connections
                        self.mark_name_used(hop, -1 if may_be_copy else hop.ident)
                        if may_be_copy:
                            self.add_cancel(hop)
                if hop is None:
                    continue  # the hop was cancelled while its reply was on the way
                if corked_writers or buffer.end > buffer.start:  # otherwise it is the only reply of this read
                    pool.answer_sender.undelivered.add((0, id(self)))
                    pool.handle_reply(hop, reply, now, corked_writers)
                else:
                    pool.handle_reply(hop, reply, now)
        finally:
            for client_writer in corked_writers:
                client_writer.uncork()
            pool.answer_sender.undelivered.discard((0, id(self)))
            if self.cancels:
                self.write_queued()
            if in_batch:
                pool.host.finish_batch()

    def shut_down(self) -> None:
        if self.sock is None:
            return
        try:
            self.sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass

    def end(self, unwritten_result: str = "unsent", connection_end: ConnectionEnd = ConnectionEnd.OTHER, reason: str = "") -> None:
        """Ends the connection and its open hops. Hops that were not written never ran and end with `unwritten_result`, which speaks
        against the server only if the connection could not be established."""
        self.pool.connection_ends.add(connection_end)
        with self.lock:
            self.closed = True
            hops = list(self.open_hops.values())
            self.open_hops.clear()
        self.shut_down()
        self.pool.remove_connection(self)
        with self.write_lock:  # a write in progress uses the descriptor; it does not wait for anything
            if self.sock is not None:
                self.sock.close()
            self.cancels_in_write.extend(self.cancels)
            self.cancels.clear()
        self.report_cancels_delivered()  # the end of the connection tells the server
        log.info(
            "connection",
            extra={
                "kv": {
                    "server": self.server,
                    "state": "ended",
                    "why": reason,
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
            self.pool.end_hop(hop, "broken" if hop.written_at else unwritten_result)
