"""When the requests of one read came. A request's time limit runs from its coming, also where its reader could not read at once.

The system tells only when the last bytes of a connection came (TCP_INFO), and joins what came before with them. Of the requests before the
last one a late read knows bounds: they came no later than the last bytes, and no earlier than the last moment at which this reader is
known to have been waiting at an empty socket. The earlier bound is used, for a request that is dated too early gets an early answer at
worst, and one that is dated too late passes on a deadline that its client no longer has. Times are ns of the program's clock."""

from __future__ import annotations

import os
import socket
import threading

from fieldspur.net.client_writer import AnswerSender
from fieldspur.net.nonblocking import time_since_last_data
from fieldspur.net.timer_wheel import NEVER
from fieldspur.site import MS

LATE_READ = 50 * MS  # since the read before: what is read now may have lain there for as long
READS_BETWEEN_LOOKS = 256  # at the thread's waits for a core, for many short ones add up to a long one


def core_wait(thread: int) -> int:
    """For how long (ns) a thread of this process has waited for a core since it began, as schedstat in proc(5) counts it: its second
    figure. 0 where the system does not tell. A stopped process waits for none."""
    try:
        file = os.open(f"/proc/self/task/{thread}/schedstat", os.O_RDONLY | os.O_CLOEXEC)
    except OSError:
        return 0
    try:
        return int(os.read(file, 100).split()[1])
    except (OSError, ValueError, IndexError):
        return 0
    finally:
        os.close(file)


class ArrivalTimes:
    """Dates what one connection's reader reads. For that thread alone."""

    def __init__(self, sock: socket.socket, answer_sender: AnswerSender):
        self.sock, self.answer_sender = sock, answer_sender
        self.thread = threading.get_native_id()
        self.read_at = 0  # when the reader last came back from a read
        self.late_since = NEVER  # since when what is read now may have lain in the socket; NEVER: it was read at once
        self.latest = 0  # when the last bytes of this read came
        self.more: object = False  # true: further bytes lie behind this read
        self.earliest: int | None = None  # when its first bytes came at the earliest, once somebody has asked
        self.core_waited = 0  # by this thread, as of the last look
        self.reads = 0  # since the last look

    def read(self, now: int, more) -> None:
        """A read has come back. `more`: true where further bytes lie behind it."""
        if now - self.read_at > LATE_READ:  # this thread had no turn, or the process was stopped, or nothing came
            self.late_since = min(self.late_since, self.read_at)
        self.read_at, self.more, self.earliest = now, more, None
        self.latest = now if self.late_since == NEVER else now - min(time_since_last_data(self.sock), now - self.late_since)
        self.reads += 1
        if self.reads >= READS_BETWEEN_LOOKS:
            self.first()

    def first(self) -> int:
        """No byte of this read came before."""
        if self.earliest is None:
            waited = core_wait(self.thread)
            turn = self.read_at - max(0, waited - self.core_waited)
            self.core_waited, self.reads = waited, 0
            self.earliest = max(min(self.late_since, self.latest), min(self.latest, turn, self.answer_sender.stalled_since(self.read_at)))
        return self.earliest

    def of_request(self, followed: bool) -> int:
        """From when the time of a request counts that this read completed. `followed`: the read brought bytes behind it. It is `latest`
        without a call where `late_since` is NEVER."""
        return self.first() if followed or self.more else self.latest

    def all_processed(self, unfinished: bool) -> None:
        """All requests of this read are taken. `unfinished`: it ended within one."""
        if (self.more or unfinished) and self.read_at - self.first() > LATE_READ:
            self.late_since = self.first()  # what is behind came after it
        else:
            self.late_since = NEVER  # what comes from now on is new
