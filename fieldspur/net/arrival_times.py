"""Estimates when the requests of one read arrived. A request's time limit runs from its arrival, even if it was read late.

The system reports only when the last bytes of a connection arrived (TCP_INFO). The last request of a read is dated by
that. The arrival of an earlier request in a late read has two bounds: the arrival of the last bytes, and the last moment
at which the reader is known to have waited at an empty socket. The earlier bound is used: a request that is dated too
early is at worst answered early, while for one that is dated too late servers would get a deadline that its client no
longer has. Times are ns of the program's clock."""

from __future__ import annotations

import os
import socket
import threading

from fieldspur.net.client_writer import AnswerSender
from fieldspur.net.nonblocking import time_since_last_data
from fieldspur.net.timer_wheel import NEVER
from fieldspur.site import MS

LATE_READ = 50 * MS  # a read that comes this long after the one before may return bytes that have lain in the socket
READS_PER_CORE_WAIT_CHECK = 256  # the thread's core wait is read this often, as many short waits add up to a long one


def core_wait(thread_id: int) -> int:
    """How long (ns) a thread of this process has waited for a CPU core since it began: the second number of its schedstat
    file, see proc(5). 0 if the system does not report it. The time during which a process is stopped does not count."""
    try:
        file = os.open(f"/proc/self/task/{thread_id}/schedstat", os.O_RDONLY | os.O_CLOEXEC)
    except OSError:
        return 0
    try:
        return int(os.read(file, 100).split()[1])
    except (OSError, ValueError, IndexError):
        return 0
    finally:
        os.close(file)


class ArrivalTimes:
    """Dates what the reader of one connection reads. Only that reader's thread may use it."""

    def __init__(self, sock: socket.socket, answer_sender: AnswerSender):
        self.sock, self.answer_sender = sock, answer_sender
        self.thread_id = threading.get_native_id()
        self.read_at = 0  # when the latest read returned
        self.late_since = NEVER  # bytes of this read may have lain in the socket since then; NEVER: they were read at once
        self.last_bytes_at = 0  # when the last bytes of this read arrived
        self.more_in_socket: object = False  # truthy if further bytes were in the socket after this read
        self.earliest_known: int | None = None  # the earliest time at which bytes of this read can have arrived; None until it is needed
        self.core_waited = 0  # `core_wait` of this thread at the last check
        self.reads_since_check = 0  # number of reads since the last check of `core_wait`
        self.waited_after_read_at = NEVER  # `read_at` of the last read after which the reader waited for its turn
        self.waited_since = NEVER  # if the reader waited for its turn between the read before and this one: when the former returned

    def note_read(self, now: int, more_in_socket) -> None:
        """Notes that a read has returned. `more_in_socket` is true if further bytes are in the socket."""
        self.waited_since = self.read_at if self.read_at == self.waited_after_read_at else NEVER
        if now - self.read_at > LATE_READ:  # the thread had no core, the process was stopped, or nothing arrived
            self.late_since = min(self.late_since, self.read_at)
        self.read_at, self.more_in_socket, self.earliest_known = now, more_in_socket, None
        self.last_bytes_at = now if self.late_since == NEVER else now - min(time_since_last_data(self.sock), now - self.late_since)
        self.reads_since_check += 1
        if self.reads_since_check >= READS_PER_CORE_WAIT_CHECK:
            self.earliest_arrival()

    def reader_waits(self) -> None:
        """Notes that the reader waits for its turn before it processes the read: what comes meanwhile lies in the socket."""
        self.waited_after_read_at = self.read_at

    def earliest_arrival(self) -> int:
        """A time before which no byte of this read arrived."""
        if self.earliest_known is None:
            waited = core_wait(self.thread_id)
            runnable_since = self.read_at - max(0, waited - self.core_waited)
            self.core_waited, self.reads_since_check = waited, 0
            self.earliest_known = max(
                min(self.late_since, self.last_bytes_at),
                min(self.last_bytes_at, runnable_since, self.waited_since, self.answer_sender.stalled_since(self.read_at)),
            )
        return self.earliest_known

    def request_time(self, followed: bool) -> int:
        """The time from which the time limit of a request counts that this read completed. `followed` is true if the read returned
        further bytes after the request. If `late_since` is NEVER, a caller may use `last_bytes_at` without this call."""
        return self.earliest_arrival() if followed or self.more_in_socket else self.last_bytes_at

    def all_processed(self, unfinished: bool) -> None:
        """Notes that all requests of this read were handled. `unfinished` is true if the read ended within a request."""
        if (self.more_in_socket or unfinished) and self.read_at - self.earliest_arrival() > LATE_READ:
            self.late_since = self.earliest_arrival()  # the bytes that follow in the socket arrived after this
        else:
            self.late_since = NEVER  # the next read returns new bytes only
