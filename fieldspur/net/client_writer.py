"""Sends answers to clients. What a client's socket does not take at once is written by a thread of that connection."""

from __future__ import annotations

import logging
import socket
import threading
import time
from collections import deque

from fieldspur.net.invariants import contained_errors
from fieldspur.net.nonblocking import MONOTONIC_TO_UNIX_NS, PEER_CLOSED, bytes_received, receive_poll, write_nonblocking
from fieldspur.net.open_txns import Answer, Txn
from fieldspur.net.timer_wheel import NEVER
from fieldspur.record import record
from fieldspur.site import MS

log = logging.getLogger("fieldspur.relay")
OVERDUE = 10 * MS  # an answer that is sent later than this after its time limit is logged
READER_TURN = 50 * MS  # a hop that waited no longer than this for the client's reader does not wait again
TICK = 200 * MS
TICK_LATE = TICK + 50 * MS  # a longer time between two ticks means that the process was stopped or had no core
CHECK_AFTER_STALL = 100 * MS  # for this long after a stall, answers check the client's socket first

# Results of checking a client's socket.
CLIENT_LEFT = "left"
UNREAD_BYTES = "unread"


@record(eq=False)
class LateAnswer:
    """An answer past its time limit. It is sent once the client's reader has processed `wait_until` bytes in total."""

    stream: int
    data: tuple
    wait_until: int


class ClientWriter:
    """Writes answers to one client. `encode` turns an answer into the bytes of the client protocol."""

    def __init__(self, sock: socket.socket, encode, answer_sender: AnswerSender):
        self.sock, self.encode, self.answer_sender = sock, encode, answer_sender
        self.streams: dict[int, int] = {}  # number of the open txn by stream
        self.lock = threading.Lock()
        self.corked: list[bytes] = []  # answers to be written together, from one read of a server connection; they still count as owed
        self.write_queue: deque[bytes] = deque()  # bytes that the socket did not take at once
        self.draining = False  # a thread writes what is in `write_queue`
        self.closing = False  # the connection closes once no answer is owed
        # When this side of the connection was shut, or 0. From then on nothing is sent, and no request that is read is admitted,
        # as it could not be answered.
        self.shut_at = 0.0
        self.ended = False
        self.on_descriptor_freed = None  # called without the lock after the socket was closed
        self.idle_since = time.monotonic()
        self.waiting_hops: list = []  # hops that wait until the reader has processed the bytes in the socket
        self.late_answers: list[LateAnswer] = []  # answers past their time limit that wait until the reader has processed these bytes
        self.client_sent_bytes = 0  # bytes that the client had sent at the last check that found unread bytes
        # Whether the reader has to call `release_waiting`. It is set before each check of the socket, so that the reader sees it
        # when it processes the bytes that the check finds.
        self.release_needed = False
        self.processed_bytes = 0  # bytes that the reader has processed
        self.poller = receive_poll(sock)  # used only by `check_socket`, whose callers hold the lock

    def check_socket(self, include_read: bool = False) -> str:
        """Checks the socket for what the reader may not have processed; the caller holds the lock.

        Returns CLIENT_LEFT for a close or reset, even one behind unread bytes; UNREAD_BYTES for unread bytes, and with
        `include_read` also for bytes that the reader has read but not processed yet; otherwise an empty string.

        The caller keeps the lock until it has queued what is to wait for the reader. The reader processes the bytes after
        that, finds `release_needed` set, and takes the lock."""
        self.release_needed = True
        events = [] if self.ended else self.poller.poll(0)
        state = CLIENT_LEFT if self.ended or events and events[0][1] & PEER_CLOSED else UNREAD_BYTES if events else ""
        if include_read and not state and (bytes_received(self.sock) or 0) > self.processed_bytes:
            state = UNREAD_BYTES
        if state == UNREAD_BYTES:
            self.client_sent_bytes = bytes_received(self.sock) or 0
        self.release_needed = state == UNREAD_BYTES or bool(self.waiting_hops or self.late_answers)
        return state

    def check_client(self, hop) -> str:
        """Checks the socket before a hop is written. On UNREAD_BYTES the hop waits here until the reader has processed them.

        A hop that has waited before, and at most READER_TURN ago, does not wait again for bytes that have arrived since: some
        clients send without a break. After a longer wait these bytes may hold a cancel that arrived long ago."""
        with self.lock:  # closing the connection frees the descriptor, under this lock
            state = self.check_socket()
            if state == UNREAD_BYTES:
                now = time.monotonic_ns()
                if hop.reader_wait_began and now - hop.reader_wait_began <= READER_TURN:
                    return ""
                hop.reader_wait_began, hop.reader_wait_bytes = now, self.client_sent_bytes
                self.waiting_hops.append(hop)
            return state

    def release_waiting(self) -> None:
        """Releases the hops and late answers whose bytes the reader has processed. The reader calls it after it has processed a read.

        What waits for bytes beyond those stays. This matters if the reader itself has written a hop: the bytes found in the
        socket then arrived after its read, and it has not read them yet."""
        with self.lock:
            processed = NEVER if self.ended else self.processed_bytes
            released_hops = [hop for hop in self.waiting_hops if hop.reader_wait_bytes <= processed]
            released_answers = [answer for answer in self.late_answers if answer.wait_until <= processed]
            self.waiting_hops = [hop for hop in self.waiting_hops if hop.reader_wait_bytes > processed]
            self.late_answers = [answer for answer in self.late_answers if answer.wait_until > processed]
            self.release_needed = bool(self.waiting_hops or self.late_answers)
            for answer in released_answers:
                self.answer_sender.add_held_bytes(-sum(map(len, answer.data)))
                if self.streams.pop(answer.stream, None) is not None:
                    self.write_or_queue(answer.data)
        for hop in released_hops:
            hop.connection.requeue(hop)

    def answer(self, stream: int, answer: Answer, corked_writers: list | None = None, late: bool = False) -> bool:
        """Sends an answer. Returns False if it was not sent: the txn was withdrawn, the client left, or the answer waits for the reader.

        Only a caller that removes the stream from `streams` may answer on it. With `corked_writers` a short answer waits for
        `uncork`, and this writer is added to that list. `late` means that the time limit has passed or that the process was
        stalled a moment ago: the client's withdrawal may lie unread in the socket, so its reader goes first."""
        if len(answer.body) + self.answer_sender.held_bytes > self.answer_sender.max_held_bytes:
            self.answer_sender.memory_refusals += 1  # clients that do not read their answers hold all memory for answers
            answer = Answer("aborted")
        data = self.encode(stream, answer)  # a tuple of buffers; a long body is still in the receive buffer of the server connection
        with self.lock:  # covers both steps: between them the connection would owe nothing, and could be closed
            if late and (state := self.check_socket(include_read=True)):
                if state == UNREAD_BYTES:
                    data = tuple(map(bytes, data))  # copies the body, as the server connection reuses its receive buffer
                    self.answer_sender.add_held_bytes(sum(map(len, data)))
                    self.late_answers.append(LateAnswer(stream, data, self.client_sent_bytes))
                return False
            if self.streams.pop(stream, None) is None:
                return False
            if corked_writers is None or len(data) > 1:
                self.write_or_queue(data)
            else:
                if not self.corked:
                    corked_writers.append(self)
                self.corked.append(data[0])
            return True

    def uncork(self) -> None:
        """Writes the corked answers in one piece."""
        with self.lock:
            data, self.corked = self.corked, []
            self.write_or_queue((b"".join(data),))

    def write(self, data: tuple) -> None:
        with self.lock:
            self.write_or_queue(data)

    def write_or_queue(self, data: tuple) -> None:
        """Writes what the socket takes at once; the rest is copied and left to a thread. The caller holds the lock."""
        self.idle_since = time.monotonic()
        if self.ended:
            return
        if not self.draining:
            try:
                data = write_nonblocking(self.sock, data)
            except OSError:
                return self.cut_off_locked()
            if not data:
                if self.closing:
                    self.close_if_done()
                return
            try:
                threading.Thread(target=self.drain, name="outlet", daemon=True).start()
            except RuntimeError as error:  # the system gives no further thread
                log.error("no_writer", extra={"kv": {"why": str(error)}})
                return self.cut_off_locked()
            self.draining = True
        for piece in data:
            self.write_queue.append(bytes(piece))  # copied, as the server connection reuses its receive buffer
            self.answer_sender.add_held_bytes(len(piece))

    def drain(self) -> None:
        """Writes what is queued, in a thread of its own, until the queue is empty or the connection has ended."""
        closes_socket = False  # true if the reader has ended already; then this thread frees the descriptor and reports it, once
        while True:
            with self.lock:
                if not self.write_queue or self.ended:
                    self.answer_sender.add_held_bytes(-sum(map(len, self.write_queue)))
                    self.write_queue.clear()
                    self.draining = False
                    closes_socket = self.ended
                    if closes_socket:
                        self.sock.close()
                    else:
                        self.close_if_done()
                    break
                data = self.write_queue.popleft()
            try:
                self.sock.sendall(data)
            except OSError:
                with self.lock:
                    self.cut_off_locked()
            except Exception:
                contained_errors.record("answer")
                self.cut_off()
            self.idle_since = time.monotonic()
            self.answer_sender.add_held_bytes(-len(data))
        if closes_socket and self.on_descriptor_freed is not None:
            self.on_descriptor_freed()

    def close_if_done(self) -> None:
        """Shuts a closing connection that owes no answer; the caller holds the lock."""
        if self.closing and not self.streams and not self.write_queue and not self.corked:
            self.shut(socket.SHUT_WR)

    def shut(self, how: int) -> None:
        """Shuts this side, so that nothing more is sent; `how` is as in `socket.shutdown`. The caller holds the lock.

        After SHUT_WR the reader still reads for a while what the client sends: closing a socket with unread bytes resets the
        connection, and the client would lose answers that it has not read."""
        self.shut_at = self.shut_at or time.monotonic()
        try:
            self.sock.shutdown(how)
        except OSError:
            pass

    def close_when_done(self) -> None:
        """Shuts the connection as soon as it owes no answer."""
        with self.lock:
            self.closing = True
            if not self.draining:
                self.close_if_done()

    def open_stream(self, stream: int, ident: int) -> bool:
        """Registers a new txn. Returns False if this side is shut: the request crossed the close, and is not admitted."""
        with self.lock:
            if not self.shut_at:
                self.streams[stream] = ident
            return not self.shut_at

    def shut_if_idle(self) -> bool:
        """Shuts a connection that owes no answer. Returns whether this side is shut.

        The lock decides: a request either has registered its stream before, or is not admitted."""
        with self.lock:
            if not (self.shut_at or self.streams or self.corked or self.draining):
                self.shut(socket.SHUT_WR)
            return bool(self.shut_at)

    def cut_off_locked(self) -> None:
        """Shuts both directions, which wakes the reader to end the connection. The caller holds the lock."""
        self.shut(socket.SHUT_RDWR)

    def cut_off(self) -> None:
        with self.lock:
            self.cut_off_locked()

    def reader_ended(self) -> None:
        """Ends the connection. The reader calls it when it stops."""
        with self.lock:
            self.ended = True
            self.cut_off_locked()
            closes_socket = not self.draining  # otherwise the draining thread, which this stops, closes the socket
            if closes_socket:
                self.sock.close()
        if closes_socket and self.on_descriptor_freed is not None:
            self.on_descriptor_freed()


class AnswerSender:
    """Hands answers to the writers of clients' connections, in the thread that has the answer, and never waits for a client."""

    def __init__(self, max_held_bytes: int):
        self.lock = threading.Lock()
        # held_bytes: size of the answers that wait in this process; memory_refusals: answers aborted because this memory was full.
        self.held_bytes, self.max_held_bytes, self.memory_refusals = 0, max_held_bytes, 0
        self.last_tick, self.check_clients_until = NEVER, 0  # until then, answers check the client's socket first
        self.stall_start = 0  # the last tick before the latest stall
        # Answers that are not handed to their connection yet, by (txn, hop); only one thread uses a key. Each is added before
        # its txn is removed from the open txns, and discarded once the answer was handed over.
        self.undelivered: set[tuple[int, int]] = set()

    def tick(self, now: int) -> None:
        """Called every `TICK`. A late call means that the process was stopped or had no core. Which of its threads runs first after
        that is chance, so for a while answers first check whether anything that their client sent is unread."""
        if now - self.last_tick > TICK_LATE:
            self.stall_start, self.check_clients_until = self.last_tick, now + CHECK_AFTER_STALL
        self.last_tick = now

    def stalled_since(self, now: int) -> int:
        """The start of a stall, in which the process was stopped or had no core, that has just ended; `now` if there was none."""
        if now - self.last_tick > TICK_LATE:
            return self.last_tick
        return self.stall_start if now < self.check_clients_until else now

    def add_held_bytes(self, size: int) -> None:
        """Counts bytes of answers that wait in this process; `size` is negative when they are released."""
        with self.lock:
            self.held_bytes += size

    def all_delivered(self) -> bool:
        """Whether every answer has been written to its socket."""
        return not self.held_bytes and not self.undelivered

    def answer(self, txn: Txn, answer: Answer, corked_writers: list | None = None) -> None:
        """Hands a txn's answer to its client's connection. An unexpected error while doing so cuts that connection off."""
        now = time.monotonic_ns() + MONOTONIC_TO_UNIX_NS
        if now - self.last_tick > TICK_LATE:
            self.check_clients_until = now + CHECK_AFTER_STALL
        try:
            if not txn.client_writer.answer(txn.stream, answer, corked_writers, now > txn.limit_at or now < self.check_clients_until):
                return
        except Exception:
            contained_errors.record("answer", txn=txn.ident)
            return txn.client_writer.cut_off()
        if now - txn.limit_at > OVERDUE:
            log.warning(
                "overdue",
                extra={
                    "kv": {
                        "txn": txn.ident,
                        "word": answer.outcome,
                        "late_ms": (now - txn.limit_at) // MS,
                        "hops": txn.hop_count,
                        "given_ms": (txn.limit_at - txn.taken_at) // MS,
                    }
                },
            )
