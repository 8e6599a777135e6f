"""Accepts clients' connections and reads what they send, with one thread for each connection."""

from __future__ import annotations

import logging
import select
import socket
import threading
import time
from array import array
from bisect import bisect_right

from fieldspur.net import frames
from fieldspur.net.admission import Admission, ReadTurns
from fieldspur.net.arrival_times import LATE_READ, READS_PER_CORE_WAIT_CHECK, ArrivalTimes
from fieldspur.net.client_writer import TICK, AnswerSender, ClientWriter
from fieldspur.net.invariants import contained_errors, retry_while_exhausted
from fieldspur.net.logs import ReasonCounter
from fieldspur.net.nonblocking import MONOTONIC_TO_UNIX_NS, PEER_CLOSED, bytes_received, receive_poll
from fieldspur.net.open_txns import Answer, OpenTxns
from fieldspur.net.receive_buffer import MemoryBudget
from fieldspur.net.timer_wheel import NEVER
from fieldspur.permissions import AcceptFailures, ClientState, CloseReason, UselessFrameBudget, close_reason, may_cut
from fieldspur.site import MS

log = logging.getLogger("fieldspur.takein")
MAX_OPEN_STREAMS = 32  # maximum number of open txns on one connection
MAX_USED_RANGES = 256  # ranges of used stream numbers that a connection remembers, besides the one that starts at 0
ABOVE_ALL_STREAMS = frames.MAX_STREAM + 2  # not adjacent to any stream number
NEVER_FORGOTTEN = NEVER  # in place of a use count: above all of them
MAX_DISCARDED_BYTES = 1 << 20  # how much is read and discarded from a connection that gets no further answers
MAX_READS_BEFORE_HANDOVER = 4  # further reads, while more bytes are in the socket, before admitted txns are handed to the Router
LISTEN_BACKLOG = 512
LISTEN_RETRY_PAUSE_S = 0.1
BACKLOG_WAIT_S = 1.0  # how long a failing accept is retried while the listener closes
DESCRIPTOR_WAIT_S = 0.1  # how long a new connection waits for a free descriptor
ACCEPT_RETRY_PAUSE_S = 0.01


def encode(stream: int, answer: Answer) -> tuple:
    """Encodes an answer as a frame of the client protocol."""
    return frames.encode_answer(stream, answer.outcome, answer.retry_after_ms, answer.unchanged, answer.body)


def listen_at(address: tuple[str, int]) -> socket.socket:
    """Returns a listening socket. If the system lacks resources at the moment, it retries for a while. Raises OSError."""

    def listen() -> socket.socket:
        sock = socket.socket()
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind(address)
            sock.listen(LISTEN_BACKLOG)
        except OSError:
            sock.close()
            raise
        return sock

    return retry_while_exhausted(listen, OSError, LISTEN_RETRY_PAUSE_S)


class UsedStreams:
    """Stream numbers that a connection has used, as ranges of adjacent numbers in ascending order.

    A number that was never used can always be used, whatever gaps the numbers have and in whatever order they come. Memory is bounded:
    beyond MAX_USED_RANGES the range to which no number was added for the longest time is forgotten, so that its numbers can be used
    again. The first range, from 0 on, is never forgotten: stream 0 belongs to no request, and usual clients have no other range."""

    def __init__(self):
        # The last entry is no range: it is above all stream numbers, so that there is always a range above.
        self.first_numbers, self.last_numbers = array("Q", (0, ABOVE_ALL_STREAMS)), array("Q", (0, ABOVE_ALL_STREAMS))
        self.added_at = array("Q", (NEVER_FORGOTTEN, NEVER_FORGOTTEN))  # by range: `use_count` when a number was last added to it
        self.use_count = 0

    def use(self, stream: int) -> bool:
        """Marks a stream number as used. Returns False if it is known to have been used before."""
        above = bisect_right(self.first_numbers, stream)
        below = above - 1
        if stream <= self.last_numbers[below]:
            return False
        self.use_count += 1
        joins_above = self.first_numbers[above] == stream + 1
        if self.last_numbers[below] + 1 == stream:
            self.last_numbers[below] = self.last_numbers[above] if joins_above else stream
            if below:
                self.added_at[below] = self.use_count
            if joins_above:
                self.remove_range(above)
        elif joins_above:
            self.first_numbers[above] = stream
            self.added_at[above] = self.use_count
        else:
            self.add_range(above, stream)
        return True

    def add_range(self, index: int, stream: int) -> None:
        """Inserts a range of one number at this index, and forgets another range if there are too many."""
        self.first_numbers.insert(index, stream)
        self.last_numbers.insert(index, stream)
        self.added_at.insert(index, self.use_count)
        if len(self.added_at) > MAX_USED_RANGES + 2:
            self.remove_range(self.added_at.index(min(self.added_at)))

    def remove_range(self, index: int) -> None:
        del self.first_numbers[index], self.last_numbers[index], self.added_at[index]


class ClientConnection:
    """One client's connection. Its reader thread runs `read`."""

    def __init__(self, client_listener: ClientListener, sock: socket.socket):
        self.client_listener, self.sock = client_listener, sock
        self.client_writer = ClientWriter(sock, encode, client_listener.answer_sender)
        self.client_writer.on_descriptor_freed = self.descriptor_freed
        self.used_streams = UsedStreams()
        self.state_since = time.monotonic()  # the time of the accept, of the last bytes of an unfinished frame, or of the failure
        self.unfinished_bytes = 0  # received bytes of an unfinished frame
        self.frame_since = 0.0  # when that frame began
        self.sent_usable_request = False
        self.failed = False  # the client sent something unreadable; further bytes are discarded
        self.useless_frames = self.useful_frames = 0  # since they were last added to `useless_budget`
        self.useless_budget: UselessFrameBudget | None = None  # set with the first useless frame
        self.waits_for_turn = False  # sends so much of no use that its reads are processed in turn with those of other such connections
        self.has_turn = False

    def read(self) -> None:
        """Reads and handles what the client sends until the connection ends. Runs in the connection's reader thread."""
        decoder, discarded_bytes, further_reads, handled_any = frames.Decoder(self.client_listener.frame_memory), 0, 0, False
        receive_buffer, arrivals = decoder.receive_buffer, ArrivalTimes(self.sock, self.client_listener.answer_sender)
        poll = receive_poll(self.sock).poll
        try:
            while size := self.sock.recv_into(
                receive_buffer.view if self.failed or self.client_writer.shut_at else receive_buffer.free_space()
            ):
                # After a failure or a shut, the reader only waits for the client's close: closing a socket with unread bytes
                # resets the connection, and the client could lose the last answers.
                if self.failed or self.client_writer.shut_at:
                    self.client_writer.processed_bytes += size
                    discarded_bytes += size
                    if discarded_bytes > MAX_DISCARDED_BYTES and not self.client_writer.streams:
                        break
                    self.client_writer.release_waiting()
                    continue
                if (events := poll(0)) and events[0][1] & PEER_CLOSED:
                    break  # the client has left; otherwise hops would start for thousands of clients that send and close
                now = time.monotonic_ns() + MONOTONIC_TO_UNIX_NS
                if (
                    now - arrivals.read_at > LATE_READ
                    or arrivals.late_since != NEVER
                    or arrivals.reads_since_check >= READS_PER_CORE_WAIT_CHECK
                ):
                    arrivals.note_read(now, events)
                else:  # does the same as `arrivals.note_read` in the usual case, without a call
                    arrivals.read_at = arrivals.last_bytes_at = now
                    arrivals.reads_since_check += 1
                if self.waits_for_turn:
                    self.take_turn(arrivals)
                self.client_listener.router_host.start_batch()
                completed_any = False
                try:
                    for frame in decoder.decode_received(size):
                        self.handle_frame(
                            frame,
                            arrivals.last_bytes_at
                            if arrivals.late_since == NEVER
                            else arrivals.request_time(receive_buffer.start < receive_buffer.end),
                        )
                        handled_any = completed_any = True
                        if self.failed:
                            break
                    unfinished_bytes = receive_buffer.end - receive_buffer.start or decoder.bytes_to_skip
                    if arrivals.late_since != NEVER:
                        arrivals.all_processed(unfinished=unfinished_bytes > 0)
                    if unfinished_bytes or self.unfinished_bytes:
                        self.set_unfinished(unfinished_bytes, completed_any)
                except frames.BadFrame as error:
                    self.fail(str(error))
                finally:
                    self.client_writer.processed_bytes += size
                    # Bytes that are still in the socket may cancel what was just read, so they are read before a hop starts.
                    # Only a few reads are made first, as the handover of this connection's txns waits meanwhile.
                    further_reads = (
                        further_reads + 1 if events and handled_any and further_reads < MAX_READS_BEFORE_HANDOVER and not self.failed else 0
                    )
                    if not further_reads:
                        handled_any = False
                        self.client_listener.router_host.finish_batch()
                        if self.client_writer.release_needed:
                            self.client_writer.release_waiting()
                    if self.useless_budget is not None:
                        self.pass_turn_on()
                        self.update_budget()
        except OSError:
            pass  # a reset is handled like a close
        except Exception:
            contained_errors.record("client")
        self.pass_turn_on()
        self.unfinished_bytes = 0
        receive_buffer.release()
        self.client_listener.connection_ended(self)
        self.client_listener.router_host.finish_batch()
        self.client_writer.release_waiting()

    def take_turn(self, arrivals: ArrivalTimes) -> None:
        """Waits for the turn to process what was read."""
        arrivals.reader_waits()
        self.client_listener.router_host.finish_batch()  # txns of earlier reads do not wait with this one
        self.client_listener.read_turns.take()
        self.has_turn = True

    def pass_turn_on(self) -> None:
        """Passes the turn on if this reader has it."""
        if self.has_turn:
            self.has_turn = False
            self.client_listener.read_turns.pass_on()

    def update_budget(self) -> None:
        """Counts the frames of a read that was processed, and notes whether the next read has to wait for its turn."""
        self.waits_for_turn = self.useless_budget.add(self.useless_frames, self.useful_frames, time.monotonic())
        self.useless_frames = self.useful_frames = 0

    def note_useless(self) -> None:
        """Counts a frame that is only answered or ignored."""
        self.useless_frames += 1
        if self.useless_budget is None:
            self.useless_budget = UselessFrameBudget(time.monotonic())

    def descriptor_freed(self) -> None:
        self.client_writer.on_descriptor_freed = None  # breaks a reference cycle, which would wait for a rare garbage collection
        self.client_listener.connection_freed(self)

    def set_unfinished(self, size: int, completed_any: bool = False) -> None:
        """Notes how many bytes of an unfinished frame were received. `completed_any`: the same read completed a frame before that one."""
        if size:
            self.state_since = time.monotonic()
            if completed_any or not self.unfinished_bytes:
                self.frame_since = self.state_since
        self.unfinished_bytes = size

    def fail(self, why: str) -> None:
        """Stops handling what the client sends, tells it so, and closes the connection once all owed answers are sent."""
        self.unfinished_bytes = 0
        self.failed, self.state_since = True, time.monotonic()
        log.warning("unreadable", extra={"kv": {"why": why}})
        self.client_writer.write(frames.encode_unreadable())
        self.client_writer.close_when_done()

    def handle_frame(self, frame, received_at: int) -> None:
        """Handles one decoded frame. An unexpected error costs this connection: the request at hand is answered, nothing further is
        read, and the other owed answers are still sent."""
        try:
            if isinstance(frame, frames.Withdrawal):
                ident = self.client_writer.streams.pop(frame.stream, None)
                if ident is not None:
                    self.client_listener.withdraw(ident)
                else:
                    self.note_useless()
            elif isinstance(frame, frames.ReadyQuery):
                self.note_useless()
                self.client_writer.write(frames.encode_ready_reply(frame.stream, self.client_listener.ready))
            elif frame.stream in self.client_writer.streams or not self.used_streams.use(frame.stream):
                raise frames.BadFrame("stream used again")
            elif len(self.client_writer.streams) >= MAX_OPEN_STREAMS:
                self.note_useless()
                self.client_writer.write(encode(frame.stream, Answer("rejected", self.client_listener.admission.retry_after_ms)))
            elif self.client_listener.admission.handle_request(frame, self.client_writer, received_at):
                self.sent_usable_request = True
                self.useful_frames += 1
            else:
                self.note_useless()
        except frames.BadFrame:
            raise
        except Exception:
            contained_errors.record("client")
            self.fail_stream(frame.stream)

    def fail_stream(self, stream: int) -> None:
        """Fails the connection after an unexpected error in a frame on this stream. If the stream has a request that is not among the
        open txns, nothing else would answer it, so it is answered here."""
        ident = self.client_writer.streams.get(stream)
        if ident is not None and ident not in self.client_listener.open_txns.by_id:
            self.client_writer.answer(stream, Answer("aborted"))
        self.fail("internal error")

    def has_unread_bytes(self) -> bool:
        """Whether the socket holds bytes from a client that has not closed. A request among them is owed an answer.

        After the process was stopped, the sweep for idle connections may run before the readers have read what arrived meanwhile."""
        with self.client_writer.lock:  # the socket is closed under this lock
            return not self.client_writer.ended and any(event == select.POLLIN for _, event in receive_poll(self.sock).poll(0))

    def has_unprocessed_bytes(self) -> bool:
        """Whether the reader has yet to process received bytes, as far as the system reports their number. A request among them is
        owed an answer, and would not be admitted once this side is shut."""
        with self.client_writer.lock:
            return not self.client_writer.ended and (bytes_received(self.sock) or 0) > self.client_writer.processed_bytes

    def has_bytes_to_handle(self) -> bool:
        """Whether bytes of a client that has not closed are in the socket, or with a reader that has not processed them: it may wait for
        its turn, or for a core."""
        return self.has_unread_bytes() or self.has_unprocessed_bytes()

    def reason_to_close(self, now: float) -> CloseReason | None:
        """Why the connection is to be closed now; None if it is not."""
        client_writer = self.client_writer
        return close_reason(
            ClientState(
                client_writer.shut_at,
                bool(client_writer.streams),
                client_writer.draining,
                self.failed,
                self.unfinished_bytes,
                self.frame_since,
                self.state_since,
                client_writer.idle_since,
                self.sent_usable_request,
            ),
            now,
            self.client_listener.client_timeout_ms / 1e3,
        )


class ClientListener:
    """Accepts clients' connections, keeps the list of them, and closes those that are idle or hold too many resources."""

    def __init__(
        self,
        address: tuple[str, int],
        max_clients: int,
        max_unfinished_bytes: int,
        client_timeout: int,
        admission: Admission,
        open_txns: OpenTxns,
        router_host,
        answer_sender: AnswerSender,
    ):
        self.admission, self.open_txns, self.router_host, self.answer_sender = admission, open_txns, router_host, answer_sender
        self.max_clients, self.client_timeout_ms = max_clients, client_timeout // MS
        self.frame_memory = MemoryBudget(max_unfinished_bytes)  # for frames that have been received only in part
        self.ready = self.end_began = False  # end_began: the program has begun to shut down
        self.spare_descriptors = max(2, max_clients // 16)
        self.clients: set[ClientConnection] = set()
        self.close_reasons = ReasonCounter(CloseReason)  # connections that this side closed
        self.lock = threading.Lock()
        self.descriptor_freed = threading.Condition(self.lock)
        self.read_turns = ReadTurns()
        self.listening_socket = listen_at(address)
        self.accepting = AcceptFailures()
        self.accept_thread: threading.Thread | None = None  # the thread that executes `run`
        self.closing = self.closed = False  # closing: no new connections are wanted; closed: the accept thread is to end

    def run(self) -> None:
        """Accepts connections until the listener is closed."""
        self.accept_thread = threading.current_thread()
        while not self.closed:
            try:
                sock, _ = self.listening_socket.accept()
            except OSError as error:
                if not self.closing:
                    log.error("accept", extra={"kv": {"why": str(error)}})
                    if self.accepting.should_free_descriptors(error.errno, time.monotonic()) and self.free_descriptor(none_left=True):
                        continue
                time.sleep(ACCEPT_RETRY_PAUSE_S)  # without the pause, a lasting error would keep a whole core busy
                continue
            self.accepting.succeeded()
            self.add_connection(sock)

    def add_connection(self, sock: socket.socket) -> None:
        """Starts the reader of an accepted connection, or closes the connection if there is no capacity for it."""
        if len(self.clients) >= self.max_clients and not self.free_descriptor():
            log.warning("clients_full", extra={"kv": {"clients": len(self.clients)}})
            self.close_reasons.add(CloseReason.DESCRIPTORS)
            sock.close()
            return
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, self.client_timeout_ms)
        except OSError:  # some systems report here that the client has reset the connection
            self.close_reasons.add(CloseReason.NO_OPTIONS)
            sock.close()
            return
        client = ClientConnection(self, sock)
        with self.lock:
            self.clients.add(client)
        try:
            threading.Thread(target=client.read, name="client", daemon=True).start()
        except RuntimeError as error:  # the system gives no further thread
            log.error("accept", extra={"kv": {"why": str(error)}})
            self.close_reasons.add(CloseReason.NO_THREAD)
            self.connection_ended(client)

    def run_sweep(self) -> None:
        """Closes, every `TICK`, the connections that have run out of time."""
        while True:
            self.answer_sender.tick(time.monotonic_ns() + MONOTONIC_TO_UNIX_NS)
            time.sleep(TICK / 1e9)
            self.sweep(time.monotonic())

    def sweep(self, now: float) -> None:
        """Closes the connections that have run out of time."""
        with self.lock:
            clients = list(self.clients)
        for client in clients:
            why = client.reason_to_close(now)
            if why and not (why in (CloseReason.IDLE, CloseReason.HALF_FRAME) and client.has_bytes_to_handle()):
                self.note_close(client, why)
                if client.client_writer.shut_at:
                    client.client_writer.cut_off()
                elif client.client_writer.streams:
                    client.fail(why)
                elif client.client_writer.draining:
                    client.client_writer.cut_off()
                else:
                    client.client_writer.shut_if_idle()

    def note_close(self, client: ClientConnection, why: CloseReason) -> None:
        """Counts and logs why a client's connection is shut or cut off."""
        self.close_reasons.add(why)
        log.info("closed", extra={"kv": {"why": why.value, "open": len(client.client_writer.streams), "held": client.unfinished_bytes}})

    def free_descriptor(self, none_left: bool = False) -> bool:
        """Tries to make a descriptor available for one more connection. Returns whether there is one.

        A connection counts until its descriptor is free. Beyond `max_clients` there are `spare_descriptors` for connections
        that this side has shut and the client has not closed yet. First one connection without a txn is shut: preferably one
        that never sent a usable request, and among those the one that has been idle for longest. If even the spare descriptors
        are in use, the connections that were shut first are cut off, and a freed descriptor is awaited for a short time. The
        same happens with `none_left`: the system itself has no descriptor left, whoever uses them."""
        with self.lock:
            for client in sorted(
                (c for c in self.clients if not c.client_writer.streams and not c.client_writer.shut_at),
                key=lambda c: (c.sent_usable_request, c.client_writer.idle_since),
            ):
                if not client.has_bytes_to_handle() and client.client_writer.shut_if_idle():
                    self.note_close(client, CloseReason.DESCRIPTORS)
                    break
            shut_clients = sorted((c for c in self.clients if c.client_writer.shut_at), key=lambda c: c.client_writer.shut_at)
            limit = len(self.clients) if none_left else self.max_clients + self.spare_descriptors
            if not shut_clients or len(self.clients) < limit:
                return bool(shut_clients)
            if none_left:
                shut_clients = [client for client in shut_clients if may_cut(client.client_writer.shut_at, time.monotonic())]
            for client in shut_clients[: 1 + len(shut_clients) // 2]:
                client.client_writer.cut_off()
            return self.descriptor_freed.wait_for(lambda: len(self.clients) < limit, DESCRIPTOR_WAIT_S)

    def withdraw(self, ident: int, client_left: bool = False) -> None:
        """Withdraws a txn and notifies the Router, unless the txn has ended already."""
        txn = self.open_txns.withdraw(ident)
        if txn is not None:
            self.router_host.post(self.router_host.txn_withdrawn, ident, txn if client_left else None)

    def connection_freed(self, client: ClientConnection) -> None:
        """Removes a connection whose descriptor is free."""
        with self.lock:
            self.clients.discard(client)
            self.descriptor_freed.notify()

    def connection_ended(self, client: ClientConnection) -> None:
        """Ends a connection and withdraws its open txns."""
        client.client_writer.reader_ended()
        for ident in list(client.client_writer.streams.values()):
            self.withdraw(ident, client_left=True)

    def announce_end(self) -> None:
        """Stops being ready and tells all clients to send no new requests. Requests that still arrive are served."""
        with self.lock:
            self.ready, self.end_began = False, True
            clients = list(self.clients)
        for client in clients:
            client.client_writer.write(frames.encode_no_more_requests())

    def set_ready(self) -> bool:
        """Makes the router ready. Returns False, and changes nothing, if the program has begun to end."""
        with self.lock:
            self.ready = not self.end_began
            return self.ready

    def stop_listening(self) -> None:
        """Accepts no further connections, except those that the system has accepted already: on return all of them are in `clients`."""
        self.closing = True
        self.listening_socket.setblocking(False)
        self.accept_backlog(time.monotonic() + BACKLOG_WAIT_S)
        self.closed = True
        try:
            self.listening_socket.shutdown(socket.SHUT_RDWR)  # wakes a thread that waits in `accept`, which a close would not do
        except OSError:
            pass
        if self.accept_thread is not None:
            self.accept_thread.join(BACKLOG_WAIT_S)  # the thread may have accepted a connection that is not in `clients` yet
        self.listening_socket.close()

    def accept_backlog(self, until: float) -> None:
        """Accepts all connections in the system's backlog. Each is owed an answer, so a failing accept is retried until `until`."""
        while True:
            try:
                sock, _ = self.listening_socket.accept()
            except BlockingIOError:
                return
            except OSError as error:
                log.error("accept", extra={"kv": {"why": str(error)}})
                if time.monotonic() >= until:
                    return
                time.sleep(ACCEPT_RETRY_PAUSE_S)
            else:
                self.add_connection(sock)

    def shut_connections(self, late: bool) -> bool:
        """Shuts each connection that owes no answer. Returns whether all are shut, so that no further request can be admitted.

        A connection with an unread or unfinished request is left open for now, unless `late`: the program has to end soon."""
        with self.lock:
            clients = list(self.clients)
        for client in clients:
            if late or not (client.unfinished_bytes or client.has_bytes_to_handle()):
                client.client_writer.close_when_done()
        return all(client.client_writer.shut_at for client in clients)
