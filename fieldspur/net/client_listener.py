"""Accepting clients' connections and reading what they send, one thread a connection."""

from __future__ import annotations

import logging
import select
import socket
import threading
import time

from fieldspur.net import frames
from fieldspur.net.admission import Admission
from fieldspur.net.arrival_times import LATE_READ, READS_BETWEEN_LOOKS, ArrivalTimes
from fieldspur.net.client_writer import TICK, AnswerSender, ClientWriter
from fieldspur.net.invariants import contained_errors, retry_while_exhausted
from fieldspur.net.logs import ReasonCounter
from fieldspur.net.nonblocking import MONOTONIC_TO_UNIX_NS, PEER_CLOSED, bytes_received, receive_poll
from fieldspur.net.open_txns import Answer, OpenTxns
from fieldspur.net.timer_wheel import NEVER
from fieldspur.permissions import Accepting, ClientState, CloseReason, close_reason, may_cut
from fieldspur.site import MS

log = logging.getLogger("fieldspur.takein")
MOST_STREAMS = 32  # open on one connection
MOST_AHEAD = 4096  # streams used out of order
MOST_AFTER = 1 << 20  # bytes read on after what can't be read
MOST_BEHIND = 4  # further reads before what was taken is handed over, while more lies there
BACKLOG = 512
LISTEN_PAUSE = 0.1  # seconds between two tries to listen
BACKLOG_WAIT = 1.0  # seconds for which a failing accept is tried again as the listener closes
ROOM_WAIT, ACCEPT_PAUSE = 0.1, 0.01  # seconds for which a new connection waits for a descriptor; after an accept that failed


def encode(stream: int, answer: Answer) -> tuple:
    return frames.answer(stream, answer.outcome, answer.retry_after_ms, answer.unchanged, answer.body)


def listen_at(where: tuple[str, int]) -> socket.socket:
    """A listener; where the system has no room for it now, that is tried again for a while. Raises OSError."""

    def listen() -> socket.socket:
        sock = socket.socket()
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind(where)
            sock.listen(BACKLOG)
        except OSError:
            sock.close()
            raise
        return sock

    return retry_while_exhausted(listen, OSError, LISTEN_PAUSE)


class UsedStreams:
    """Stream numbers that a connection has used: all up to `low`, and some above."""

    def __init__(self):
        self.low, self.above = 0, set()

    def new(self, stream: int) -> bool:
        if stream <= self.low or stream in self.above or len(self.above) >= MOST_AHEAD:
            return False
        self.above.add(stream)
        while self.low + 1 in self.above:
            self.low += 1
            self.above.remove(self.low)
        return True


class ClientConnection:
    """One client's connection; its reader runs `read`."""

    def __init__(self, client_listener: ClientListener, sock: socket.socket):
        self.client_listener, self.sock = client_listener, sock
        self.client_writer = ClientWriter(sock, encode, client_listener.answer_sender)
        self.client_writer.freed = self.free
        self.used = UsedStreams()
        self.since = time.monotonic()  # its accept, or when its unfinished frame began, or it could not be read
        self.held = 0  # bytes of an unfinished frame
        self.proved = False  # has sent a request that could be used
        self.failed = False

    def read(self) -> None:
        decoder, after, behind, taken = frames.Decoder(), 0, 0, False
        window, arrivals = decoder.window, ArrivalTimes(self.sock, self.client_listener.answer_sender)
        looks = receive_poll(self.sock).poll
        try:
            while size := self.sock.recv_into(window.view if self.failed or self.client_writer.shut_at else window.free_space()):
                if self.failed or self.client_writer.shut_at:  # only to see its end, or what it was told might be lost in a reset
                    self.client_writer.processed_bytes += size
                    after += size
                    if after > MOST_AFTER and not self.client_writer.streams:
                        break
                    self.client_writer.release_waiting()
                    continue
                if (found := looks(0)) and found[0][1] & PEER_CLOSED:
                    break  # nobody waits for what it sent; guards against attempts begun for thousands that send and go
                now = time.monotonic_ns() + MONOTONIC_TO_UNIX_NS
                if now - arrivals.read_at > LATE_READ or arrivals.late_since != NEVER or arrivals.reads >= READS_BETWEEN_LOOKS:
                    arrivals.read(now, found)
                else:  # the same, without a call in the ordinary case
                    arrivals.read_at = arrivals.latest = now
                    arrivals.reads += 1
                self.client_listener.route.gather()
                try:
                    for value in decoder.filled(size):
                        self.took(
                            value, arrivals.latest if arrivals.late_since == NEVER else arrivals.of_request(window.start < window.end)
                        )
                        taken = True
                        if self.failed:
                            break
                    held = window.end - window.start
                    if arrivals.late_since != NEVER:
                        arrivals.all_processed(unfinished=held > 0)
                    if held or self.held:
                        self.hold(held)
                except frames.BadFrame as bad:
                    self.fail(str(bad))
                finally:
                    self.client_writer.processed_bytes += size
                    # What lies behind may take back what was just read; guards against an attempt begun for what is cancelled
                    # already. A few reads, for others wait meanwhile.
                    behind = behind + 1 if found and taken and behind < MOST_BEHIND and not self.failed else 0
                    if not behind:
                        taken = False
                        self.client_listener.route.handle()
                        if self.client_writer.asked:
                            self.client_writer.release_waiting()
        except OSError:
            pass  # reset: as if it had closed
        except Exception:
            contained_errors.record("client")
        self.hold(0)
        self.client_listener.ended(self)
        self.client_listener.route.handle()
        self.client_writer.release_waiting()

    def free(self) -> None:
        self.client_writer.freed = None  # else each holds the other until the collector looks, which is rare
        self.client_listener.connection_freed(self)

    def hold(self, size: int) -> None:
        if size and not self.held:
            self.since = time.monotonic()
        if size != self.held:
            self.client_listener.hold(self, size)

    def fail(self, why: str) -> None:
        """Nothing further is read of it; it is told, and closed once it has what it is owed."""
        self.hold(0)
        self.failed, self.since = True, time.monotonic()
        log.warning("unreadable", extra={"kv": {"why": why}})
        self.client_writer.write(frames.unreadable())
        self.client_writer.close_when_done()

    def took(self, value, now: int) -> None:
        """An unforeseen error over what came costs this connection: the request that it was about is answered, nothing further is read, and
        what else is owed still comes."""
        try:
            if isinstance(value, frames.Withdrawal):
                ident = self.client_writer.streams.pop(value.stream, None)
                if ident is not None:
                    self.client_listener.withdraw(ident)
            elif isinstance(value, frames.ReadyQuery):
                self.client_writer.write(frames.ready(value.stream, self.client_listener.ready))
            elif not self.used.new(value.stream):
                raise frames.BadFrame("stream used again")
            elif len(self.client_writer.streams) >= MOST_STREAMS:
                self.client_writer.write(encode(value.stream, Answer("rejected", self.client_listener.admission.retry_after_ms)))
            else:
                self.proved |= self.client_listener.admission.handle_request(value, self.client_writer, now)
        except frames.BadFrame:
            raise
        except Exception:
            contained_errors.record("client")
            self.fail_over(value.stream)

    def fail_over(self, stream: int) -> None:
        """An error came over what the client sent on that stream: a request there that is in no list of open ones is answered here."""
        ident = self.client_writer.streams.get(stream)
        if ident is not None and ident not in self.client_listener.open_txns.by_id:
            self.client_writer.answer(stream, Answer("aborted"))
        self.fail("internal error")

    def has_unread_bytes(self) -> bool:
        """Guards against a process that was stopped: what came meanwhile lies unread, and the look at idle connections may have its
        turn before their readers. A request there is owed its answer."""
        with self.client_writer.lock:  # its descriptor is closed under it
            return not self.client_writer.ended and any(event == select.POLLIN for _, event in receive_poll(self.sock).poll(0))

    def in_hand(self) -> bool:
        """Whether its reader has read bytes that it has not worked off, as far as the system tells: a request among them is owed its
        answer, and would not be taken once this side is shut."""
        with self.client_writer.lock:
            return not self.client_writer.ended and (bytes_received(self.sock) or 0) > self.client_writer.processed_bytes

    def overdue(self, now: float) -> CloseReason | None:
        """Why it is to be closed now, if it is."""
        client_writer = self.client_writer
        return close_reason(
            ClientState(
                client_writer.shut_at,
                bool(client_writer.streams),
                client_writer.writing,
                self.failed,
                self.held,
                self.since,
                client_writer.idle_since,
                self.proved,
            ),
            now,
            self.client_listener.client_timeout_ms / 1e3,
        )


class ClientListener:
    def __init__(
        self,
        listen: tuple[str, int],
        max_clients: int,
        max_unfinished_bytes: int,
        gone_after: int,
        admit: Admission,
        open_txns: OpenTxns,
        route,
        answer_sender: AnswerSender,
    ):
        self.admission, self.open_txns, self.route, self.answer_sender = admit, open_txns, route, answer_sender
        self.max_clients, self.client_timeout_ms = max_clients, gone_after // MS
        self.max_unfinished_bytes, self.bytes = max_unfinished_bytes, 0  # of unfinished frames
        self.ready = self.over = False  # over: the program's end has begun
        self.spare = max(2, max_clients // 16)
        self.clients: set[ClientConnection] = set()
        self.close_reasons = ReasonCounter(CloseReason)  # connections closed by this side
        self.lock = threading.Lock()
        self.room = threading.Condition(self.lock)  # told when a descriptor is free
        self.listening_socket = listen_at(listen)
        self.accepting = Accepting()
        self.accepter: threading.Thread | None = None  # the thread in `run`
        self.closing = self.closed = False  # connections are to come no more; the listener is closed

    def run(self) -> None:
        self.accepter = threading.current_thread()
        while not self.closed:
            try:
                sock, _ = self.listening_socket.accept()
            except OSError as wrong:
                if not self.closing:
                    log.error("accept", extra={"kv": {"why": str(wrong)}})
                    if self.accepting.make_room(wrong.errno, time.monotonic()) and self.make_room(none=True):
                        continue
                time.sleep(ACCEPT_PAUSE)  # else it would be told so again and again, by a whole core
                continue
            self.accepting.succeeded()
            self.add_connection(sock)

    def add_connection(self, sock: socket.socket) -> None:
        """A connection that was accepted gets its reader, or is closed where there is no room."""
        if len(self.clients) >= self.max_clients and not self.make_room():
            log.warning("clients_full", extra={"kv": {"clients": len(self.clients)}})
            self.close_reasons.add(CloseReason.DESCRIPTORS)
            sock.close()
            return
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, self.client_timeout_ms)
        except OSError:  # it was reset before it came here, on systems that say so
            self.close_reasons.add(CloseReason.NO_OPTIONS)
            sock.close()
            return
        client = ClientConnection(self, sock)
        with self.lock:
            self.clients.add(client)
        try:
            threading.Thread(target=client.read, name="client", daemon=True).start()
        except RuntimeError as wrong:  # the system gives no further thread
            log.error("accept", extra={"kv": {"why": str(wrong)}})
            self.close_reasons.add(CloseReason.NO_THREAD)
            self.ended(client)

    def run_sweep(self) -> None:
        """Closes connections that have been given their time."""
        while True:
            self.answer_sender.tick(time.monotonic_ns() + MONOTONIC_TO_UNIX_NS)
            time.sleep(TICK / 1e9)
            self.sweep(time.monotonic())

    def sweep(self, now: float) -> None:
        with self.lock:
            clients = list(self.clients)
        for client in clients:
            why = client.overdue(now)
            if why and not (why in (CloseReason.IDLE, CloseReason.HALF_FRAME) and client.has_unread_bytes()):
                self.closing_for(client, why)
                if client.client_writer.shut_at:
                    client.client_writer.cut_off()
                elif client.client_writer.streams:
                    client.fail(why)
                elif client.client_writer.writing:
                    client.client_writer.cut_off()
                else:
                    client.client_writer.shut_if_idle()

    def closing_for(self, client: ClientConnection, why: CloseReason) -> None:
        """Counts and logs why a client's connection is shut or cut off."""
        self.close_reasons.add(why)
        log.info("closed", extra={"kv": {"why": why.value, "open": len(client.client_writer.streams), "held": client.held}})

    def make_room(self, none: bool = False) -> bool:
        """Whether there is a descriptor for one more. Each counts until it is free: beyond `max_clients` there are `spare` for
        those whose side was shut and who have not closed theirs yet. One without a txn is shut: of those that never sent a request
        of use, if there are any, and of these the one idle for longest. Where even the spare ones are taken, the one that was shut
        first is cut off and its descriptor waited for, a moment at most; so it is where the system has `none` left, whoever took them."""
        with self.lock:
            for client in sorted(
                (c for c in self.clients if not c.client_writer.streams and not c.client_writer.shut_at),
                key=lambda c: (c.proved, c.client_writer.idle_since),
            ):
                if not client.has_unread_bytes() and client.client_writer.shut_if_idle():
                    self.closing_for(client, CloseReason.DESCRIPTORS)
                    break
            shut = sorted((c for c in self.clients if c.client_writer.shut_at), key=lambda c: c.client_writer.shut_at)
            most = len(self.clients) if none else self.max_clients + self.spare
            if not shut or len(self.clients) < most:
                return bool(shut)
            if none:
                shut = [client for client in shut if may_cut(client.client_writer.shut_at, time.monotonic())]
            for client in shut[: 1 + len(shut) // 2]:
                client.client_writer.cut_off()
            return self.room.wait_for(lambda: len(self.clients) < most, ROOM_WAIT)

    def hold(self, client: ClientConnection, size: int) -> None:
        """What a client has of an unfinished frame; beyond the bound of all, whoever has most is closed."""
        with self.lock:
            self.bytes += size - client.held
            client.held = size
            most = max(self.clients, key=lambda c: c.held, default=None) if self.bytes > self.max_unfinished_bytes else None
        if most is not None:
            log.warning("frames_full", extra={"kv": {"bytes": self.bytes}})
            self.closing_for(most, CloseReason.FRAME_MEMORY)
            if most.client_writer.streams:
                most.fail(CloseReason.FRAME_MEMORY.value)  # nothing further is read of it, and what it is owed still comes
            else:
                most.client_writer.cut_off()

    def withdraw(self, ident: int, left: bool = False) -> None:
        if self.open_txns.withdraw(ident, left):
            self.route.post(self.route.withdrawn, ident)

    def connection_freed(self, client: ClientConnection) -> None:
        with self.lock:
            self.clients.discard(client)
            self.room.notify()

    def ended(self, client: ClientConnection) -> None:
        client.client_writer.reader_ended()
        for ident in list(client.client_writer.streams.values()):
            self.withdraw(ident, left=True)

    def announce_end(self) -> None:
        """Not ready any more; open connections are told to bring nothing new. What comes is still served."""
        with self.lock:
            self.ready, self.over = False, True
            clients = list(self.clients)
        for client in clients:
            client.client_writer.write(frames.no_more())

    def set_ready(self) -> bool:
        """The router is ready from now on; false where its end has begun."""
        with self.lock:
            self.ready = not self.over
            return self.ready

    def stop_listening(self) -> None:
        """No connection is taken any more, but those are that the system has accepted already: once this is back, all are in the list."""
        self.closing = True
        self.listening_socket.setblocking(False)
        self.take_backlog(time.monotonic() + BACKLOG_WAIT)
        self.closed = True
        try:
            self.listening_socket.shutdown(socket.SHUT_RDWR)  # a thread may wait in `accept`, and a close does not wake it
        except OSError:
            pass
        if self.accepter is not None:
            self.accepter.join(BACKLOG_WAIT)  # it may hold one that it has accepted
        self.listening_socket.close()

    def take_backlog(self, until: float) -> None:
        """Accept all that the system has accepted. A failure for a moment leaves nobody there: each is owed an answer."""
        while True:
            try:
                sock, _ = self.listening_socket.accept()
            except BlockingIOError:
                return
            except OSError as wrong:
                log.error("accept", extra={"kv": {"why": str(wrong)}})
                if time.monotonic() >= until:
                    return
                time.sleep(ACCEPT_PAUSE)
            else:
                self.add_connection(sock)

    def shut_connections(self, late: bool) -> bool:
        """Shut each connection that owes nothing; whether all are, so that nothing can be taken any more. A client that has a request
        on its way, unread or half, is left for later, unless it is `late`."""
        with self.lock:
            clients = list(self.clients)
        for client in clients:
            if late or not (client.held or client.has_unread_bytes() or client.in_hand()):
                client.client_writer.close_when_done()
        return all(client.client_writer.shut_at for client in clients)
