"""Socket polls and writes that never wait.

A write keeps the interpreter lock, because releasing it costs more than the write itself: two futex calls and, if other threads
wait for the lock, their turn before this thread continues."""

from __future__ import annotations

import errno
import os
import select
import socket
import sys
import time

# The program's clock is `time.monotonic_ns() + MONOTONIC_TO_UNIX_NS`: Unix time (ns) as the system had it at the start, which nobody can
# set afterwards. This guards against an operator or a time server that steps the system clock by minutes: after a step back no timer
# would fire for that long, after a step forward all timers would fire at once. The sum is written out at each use, because a function
# for it would be a tenth of all calls that a txn costs.
MONOTONIC_TO_UNIX_NS = time.time_ns() - time.monotonic_ns()
SEND_FLAGS = socket.MSG_DONTWAIT | socket.MSG_NOSIGNAL
MAX_IDLE_NS = 60_000_000_000  # a longer idle time reported by the system is not believed
PEER_CLOSED = select.POLLRDHUP | select.POLLHUP | select.POLLERR  # poll events: the peer has closed or reset its side


def latest_possible_time(stamp: int, now: int, live: bool, ahead: int = 0) -> int:
    """Returns the latest time, by the program's clock, at which an event can have happened that another machine stamped with `stamp`
    (its Unix time in ns).

    An event that was received while this process watched (`live`) happened shortly before, and counts as happening when it was
    received. The stamp is not used in that case, because either machine's wall clock may have been set meanwhile, by seconds or by an
    hour. An event from a file read at the start may be as old as its stamp says, by the wall clock at that time. An event may be
    announced up to `ahead` ns before it happens; such a stamp is used as it is, and no other event is placed in the future. Taking a
    purge for younger than it is, or a server's start for later than it was, costs little; the opposite error breaks a guarantee."""
    if now < stamp <= now + ahead:
        return stamp
    return now if live else min(stamp, now)


def receive_poll(sock: socket.socket) -> select.poll:
    """Returns a poll object that reports received bytes and the peer's close. Only one thread may use it at a time: while another
    thread polls, the system's object raises an error, which would end the program."""
    poll = select.poll()
    poll.register(sock, select.POLLIN | select.POLLRDHUP)
    return poll


def time_since_last_data(sock: socket.socket) -> int:
    """Returns the time (ns, exact to some ms) since the system last received data on a TCP connection (`tcpi_last_data_recv` of
    TCP_INFO), or 0 if the system does not report it or reports an impossible value."""
    try:
        tcp_info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 56)
    except (OSError, AttributeError):
        return 0
    idle_ns = int.from_bytes(tcp_info[52:56], sys.byteorder) * 1_000_000 if len(tcp_info) == 56 else 0
    return idle_ns if idle_ns < MAX_IDLE_NS else 0


def bytes_received(sock: socket.socket) -> int | None:
    """Returns how many bytes the peer of a TCP connection has sent so far (`tcpi_bytes_received` of TCP_INFO, see tcp(7); the peer's
    close counts as one byte), or None if the system does not report it."""
    try:
        tcp_info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 136)
    except (OSError, AttributeError):
        return None
    return int.from_bytes(tcp_info[128:136], sys.byteorder) if len(tcp_info) == 136 else None


try:
    import ctypes

    libc_send = ctypes.PyDLL(None, use_errno=True).send
    libc_send.argtypes, libc_send.restype = (ctypes.c_int, ctypes.c_char_p, ctypes.c_size_t, ctypes.c_int), ctypes.c_ssize_t
except (ImportError, OSError, AttributeError):  # this system has no such library
    libc_send = None


def send_nonblocking(sock: socket.socket, data: bytes) -> int:
    """Returns how many bytes the socket accepted at once, possibly 0. Raises OSError like `socket.send`."""
    if libc_send is not None:
        sent = libc_send(sock.fileno(), data, len(data), SEND_FLAGS)
        if sent >= 0:
            return sent
        error_number = ctypes.get_errno()
        if error_number in (errno.EAGAIN, errno.EWOULDBLOCK):
            return 0
        if error_number != errno.EINTR:
            raise OSError(error_number, os.strerror(error_number))
    try:
        return sock.send(data, SEND_FLAGS)
    except BlockingIOError:
        return 0


def write_nonblocking(sock: socket.socket, data: tuple | list) -> list | tuple:
    """Writes as much of the buffers as the socket accepts at once, without joining long ones, and returns the unwritten rest."""
    if len(data) == 1 and type(data[0]) is bytes:
        if libc_send is None or (sent := libc_send(sock.fileno(), data[0], len(data[0]), SEND_FLAGS)) < 0:
            sent = send_nonblocking(sock, data[0])
        if sent == len(data[0]):
            return ()
    else:
        try:
            sent = sock.sendmsg(data, (), SEND_FLAGS)
        except BlockingIOError:
            sent = 0
    data = list(data)
    while data and sent >= len(data[0]):
        sent -= len(data.pop(0))
    if data and sent:
        data[0] = memoryview(data[0])[sent:]
    return data
