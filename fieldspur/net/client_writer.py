"""Answers on to clients. What a client does not take at once is left to a thread of its own connection."""

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
OVERDUE = 10 * MS  # past its time limit, an answer is logged
READER_TURN = 50 * MS
TICK = 200 * MS
TICK_LATE, CAREFUL = TICK + 50 * MS, 100 * MS
CLIENT_LEFT, UNREAD_BYTES = "left", "unread"  # what a look at a client's socket finds


@record(eq=False)
class LateAnswer:
    """An answer past its time limit, which goes out once its client's reader has worked off so many bytes of all that came."""

    stream: int
    data: tuple
    behind: int


class ClientWriter:
    """The writing side of one client's connection; `encode` turns an answer into its protocol's bytes."""

    def __init__(self, sock: socket.socket, encode, answer_sender: AnswerSender):
        self.sock, self.encode, self.answer_sender = sock, encode, answer_sender
        self.streams: dict[int, int] = {}  # open txns by stream
        self.lock = threading.Lock()
        self.corked: list[bytes] = []  # answers of one read, to go out together; nothing is owed less for it
        self.waiting: deque[bytes] = deque()
        self.writing = False  # a thread is at what waits
        self.closing = False  # ends once nothing is owed
        # Nothing goes out any more, and what is read from then on is not taken, for it can't be answered: since when, else 0.
        self.shut_at = 0.0
        self.ended = False
        self.freed = None  # called, without the lock, once its descriptor is free
        self.idle_since = time.monotonic()
        self.waiting_hops: list = []  # that wait until its reader has worked off what lies in the socket
        self.late_answers: list[LateAnswer] = []  # answers past their time limit that do so
        self.sent = 0  # bytes that the client had sent as of the last look that found some unread
        self.asked = False  # somebody looks, or waits: set before each look, so that the reader of what it found sees it
        self.processed_bytes = 0  # bytes, by its reader
        self.looks = receive_poll(sock)  # for `found` alone, under the lock

    def found(self, in_hand: bool = False) -> str:
        """What lies in the socket that its reader may not have come to: CLIENT_LEFT, a close or reset, also behind other bytes;
        UNREAD_BYTES,
        bytes, with `in_hand` also such that the reader has read and not worked off, for it waits for its turn; else nothing. The
        lock is held until who looks has put by what is to wait for the reader: it works off those bytes later, and then finds
        `asked` set, and takes the lock."""
        self.asked = True
        found = [] if self.ended else self.looks.poll(0)
        what = CLIENT_LEFT if self.ended or found and found[0][1] & PEER_CLOSED else UNREAD_BYTES if found else ""
        if in_hand and not what and (bytes_received(self.sock) or 0) > self.processed_bytes:
            what = UNREAD_BYTES
        if what == UNREAD_BYTES:
            self.sent = bytes_received(self.sock) or 0
        self.asked = what == UNREAD_BYTES or bool(self.waiting_hops or self.late_answers)
        return what

    def check_client(self, hop) -> str:
        """As `found`; with UNREAD_BYTES the hop waits here until the reader has worked off what lies there. What came after
        that, in a turn as
        short as they are, is let be, for some clients send on and on; after a longer one it may hold a cancel that came long ago."""
        with self.lock:  # whoever ends it gives its descriptor away, too
            what = self.found()
            if what == UNREAD_BYTES:
                now = time.monotonic_ns()
                if hop.waited and now - hop.waited <= READER_TURN:
                    return ""
                hop.waited, hop.behind = now, self.sent
                self.waiting_hops.append(hop)
            return what

    def release_waiting(self) -> None:
        """Called by the reader, after each time that it has worked off what it had read. Guards against a reader that has written an
        attempt itself: what lay in the socket when that was put by has come since its read, and it has not read on."""
        with self.lock:
            read = NEVER if self.ended else self.processed_bytes
            hops = [hop for hop in self.waiting_hops if hop.behind <= read]
            late = [answer for answer in self.late_answers if answer.behind <= read]
            self.waiting_hops = [hop for hop in self.waiting_hops if hop.behind > read]
            self.late_answers = [answer for answer in self.late_answers if answer.behind > read]
            self.asked = bool(self.waiting_hops or self.late_answers)
            for answer in late:
                self.answer_sender.hold(-sum(map(len, answer.data)))
                if self.streams.pop(answer.stream, None) is not None:
                    self.write_or_queue(answer.data)
        for hop in hops:
            hop.lane.again(hop)

    def answer(self, stream: int, answer: Answer, cork: list | None = None, late: bool = False) -> bool:
        """False where the client has withdrawn: taking the stream out is what gives the right to use it. With `cork` a
        short answer waits for `uncork`, for which the outlet is put there. A `late` one, past its time limit or right after a stop,
        guards against a process that had no core and answers a client whose withdrawal lies unread: its reader goes first."""
        if len(answer.body) + self.answer_sender.held_bytes > self.answer_sender.max_held_bytes:
            self.answer_sender.memory_refusals += 1  # clients that do not read hold all memory for answers
            answer = Answer("aborted")
        data = self.encode(stream, answer)  # buffers; a long body as it lies in the server's connection
        with self.lock:  # both at once, or the connection might be closed in between as one that owes nothing
            if late and (found := self.found(in_hand=True)):
                if found == UNREAD_BYTES:
                    data = tuple(map(bytes, data))  # it lay in the server's connection
                    self.answer_sender.hold(sum(map(len, data)))
                    self.late_answers.append(LateAnswer(stream, data, self.sent))
                return False
            if self.streams.pop(stream, None) is None:
                return False
            if cork is None or len(data) > 1:
                self.write_or_queue(data)
            else:
                if not self.corked:
                    cork.append(self)
                self.corked.append(data[0])
            return True

    def uncork(self) -> None:
        with self.lock:
            data, self.corked = self.corked, []
            self.write_or_queue((b"".join(data),))

    def write(self, data: tuple) -> None:
        with self.lock:
            self.write_or_queue(data)

    def write_or_queue(self, data: tuple) -> None:
        """What the socket takes at once, and the rest, copied, by a thread; the lock is held."""
        self.idle_since = time.monotonic()
        if self.ended:
            return
        if not self.writing:
            try:
                data = write_nonblocking(self.sock, data)
            except OSError:
                return self.cut()
            if not data:
                if self.closing:
                    self.close_if_done()
                return
            try:
                threading.Thread(target=self.drain, name="outlet", daemon=True).start()
            except RuntimeError as wrong:  # the system gives no further thread
                log.error("no_writer", extra={"kv": {"why": str(wrong)}})
                return self.cut()
            self.writing = True
        for piece in data:
            self.waiting.append(bytes(piece))  # the one copy: the server's connection reads on into its buffer
            self.answer_sender.hold(len(piece))

    def drain(self) -> None:
        last = False  # whoever ends it last frees its descriptor, and says so once
        while True:
            with self.lock:
                if not self.waiting or self.ended:
                    self.answer_sender.hold(-sum(map(len, self.waiting)))
                    self.waiting.clear()
                    self.writing = False
                    last = self.ended
                    if last:
                        self.sock.close()
                    else:
                        self.close_if_done()
                    break
                data = self.waiting.popleft()
            try:
                self.sock.sendall(data)
            except OSError:
                with self.lock:
                    self.cut()
            except Exception:
                contained_errors.record("answer")
                self.cut_off()
            self.idle_since = time.monotonic()
            self.answer_sender.hold(-len(data))
        if last and self.freed is not None:
            self.freed()

    def close_if_done(self) -> None:
        if self.closing and not self.streams and not self.waiting and not self.corked:
            self.shut(socket.SHUT_WR)

    def shut(self, how: int) -> None:
        """Nothing more goes out; the lock is held. With SHUT_WR what the client still sends is read for a while, for a close over
        unread bytes resets the connection and takes answers along."""
        self.shut_at = self.shut_at or time.monotonic()
        try:
            self.sock.shutdown(how)
        except OSError:
            pass

    def close_when_done(self) -> None:
        with self.lock:
            self.closing = True
            if not self.writing:
                self.close_if_done()

    def open_stream(self, stream: int, ident: int) -> bool:
        """A txn begins; false where this side was shut before, so that the client sees it as never taken: it crossed the close."""
        with self.lock:
            if not self.shut_at:
                self.streams[stream] = ident
            return not self.shut_at

    def shut_if_idle(self) -> bool:
        """Whether nothing goes out any more. The claim is the lock's: a request either has its stream before, or is not taken."""
        with self.lock:
            if not (self.shut_at or self.streams or self.corked or self.writing):
                self.shut(socket.SHUT_WR)
            return bool(self.shut_at)

    def cut(self) -> None:
        """The reader wakes up and ends the connection."""
        self.shut(socket.SHUT_RDWR)

    def cut_off(self) -> None:
        with self.lock:
            self.cut()

    def reader_ended(self) -> None:
        """Called by the reader, last."""
        with self.lock:
            self.ended = True
            self.cut()
            mine = not self.writing  # else the writer's, which ends by this
            if mine:
                self.sock.close()
        if mine and self.freed is not None:
            self.freed()


class AnswerSender:
    """Answers clients and never waits for any of them: at once, by the thread that has the answer."""

    def __init__(self, max_held_bytes: int):
        self.lock = threading.Lock()
        self.held_bytes, self.max_held_bytes, self.memory_refusals = 0, max_held_bytes, 0
        self.ticked, self.careful_until = NEVER, 0  # the last tick; until when answers look first
        self.stall_began = 0  # the last tick before the latest one that came late
        # Answers not yet handed to their connection, by txn and hop (one thread each): added before the txn is taken out
        # of the book, discarded once the answer is on its way.
        self.undelivered: set[tuple[int, int]] = set()

    def tick(self, now: int) -> None:
        """Called every `TICK`. One that comes late tells that the process was stopped, or had no core: which of its threads goes on
        first is chance, and for a while answers look whether something of their client's lies unread."""
        if now - self.ticked > TICK_LATE:
            self.stall_began, self.careful_until = self.ticked, now + CAREFUL
        self.ticked = now

    def stalled_since(self, now: int) -> int:
        """Since when the process may have been stopped, or had no core, until a moment ago; `now` where nothing tells so."""
        if now - self.ticked > TICK_LATE:
            return self.ticked
        return self.stall_began if now < self.careful_until else now

    def hold(self, size: int) -> None:
        with self.lock:
            self.held_bytes += size

    def all_delivered(self) -> bool:
        return not self.held_bytes and not self.undelivered

    def answer(self, txn: Txn, answer: Answer, cork: list | None = None) -> None:
        """Hand a request's answer to its connection. An unforeseen error in that costs the connection."""
        now = time.monotonic_ns() + MONOTONIC_TO_UNIX_NS
        if now - self.ticked > TICK_LATE:
            self.careful_until = now + CAREFUL
        try:
            if not txn.client_writer.answer(txn.stream, answer, cork, now > txn.limit_at or now < self.careful_until):
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
