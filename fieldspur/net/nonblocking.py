"""Looks and writes that cannot wait. A write keeps the interpreter, for giving it up costs more than the write: two futex calls and, with
others waiting, a turn of theirs before this thread goes on."""

from __future__ import annotations

import errno
import os
import select
import socket
import sys
import time

# The program's clock is `time.monotonic_ns() + EPOCH`: Unix ns as the system had them at the start, which nobody sets. Guards against an
# operator, or a time server, that sets the clock by minutes: back, timers would not come for as long; forth, all would come at once. It
# is written out where it is read, for a function of its own would be a tenth of a txn's calls.
MONOTONIC_TO_UNIX_NS = time.time_ns() - time.monotonic_ns()
FLAGS = socket.MSG_DONTWAIT | socket.MSG_NOSIGNAL
LONGEST_LAY = 60_000_000_000  # ns
PEER_CLOSED = select.POLLRDHUP | select.POLLHUP | select.POLLERR  # the peer has closed or reset its side


def latest_possible_time(stamp: int, now: int, live: bool, ahead: int = 0) -> int:
    """When something that another machine stamped with its Unix time (ns) happened, by the program's clock, at the latest.

    What was told while this process watched (`live`) had not happened long before, and is taken to have happened as it was told: no wall
    clock enters, for this machine's and the other's may have been set meanwhile, by seconds or an hour. What a file held at the start may
    be as old as its stamp says, by the wall clock as it stood then. What may be told `ahead` of its time by so much is taken at its word
    there; nothing else is in the future. A purge that is taken to be younger than it is, and a server that is taken to have started later
    than it did, cost a little; the other way round breaks a promise."""
    if now < stamp <= now + ahead:
        return stamp
    return now if live else min(stamp, now)


def receive_poll(sock: socket.socket) -> select.poll:
    """To look whether bytes or the peer's end lie in a socket. For one thread at a time: the system's object refuses a look during
    another's, with an error that would end the program."""
    poll = select.poll()
    poll.register(sock, select.POLLIN | select.POLLRDHUP)
    return poll


def time_since_last_data(sock: socket.socket) -> int:
    """For how long (ns, to some ms) what the peer sent last has lain in a TCP connection's socket, as the system counts
    (`tcpi_last_data_recv` of TCP_INFO); 0 where it does not tell, or tells what can't be."""
    try:
        told = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 56)
    except (OSError, AttributeError):
        return 0
    lay = int.from_bytes(told[52:56], sys.byteorder) * 1_000_000 if len(told) == 56 else 0
    return lay if lay < LONGEST_LAY else 0


def bytes_received(sock: socket.socket) -> int | None:
    """How many bytes the peer of a TCP connection has sent, as the system counts (`tcpi_bytes_received` of tcp(7)'s TCP_INFO; the
    peer's end counts as one); None where it does not tell."""
    try:
        told = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 136)
    except (OSError, AttributeError):
        return None
    return int.from_bytes(told[128:136], sys.byteorder) if len(told) == 136 else None


try:
    import ctypes

    libc_send = ctypes.PyDLL(None, use_errno=True).send
    libc_send.argtypes, libc_send.restype = (ctypes.c_int, ctypes.c_char_p, ctypes.c_size_t, ctypes.c_int), ctypes.c_ssize_t
except (ImportError, OSError, AttributeError):  # no such library on this system
    libc_send = None


def send_nonblocking(sock: socket.socket, data: bytes) -> int:
    """How many bytes the socket took at once; 0 where it takes none. Raises OSError as `socket.send` does."""
    if libc_send is not None:
        sent = libc_send(sock.fileno(), data, len(data), FLAGS)
        if sent >= 0:
            return sent
        wrong = ctypes.get_errno()
        if wrong in (errno.EAGAIN, errno.EWOULDBLOCK):
            return 0
        if wrong != errno.EINTR:
            raise OSError(wrong, os.strerror(wrong))
    try:
        return sock.send(data, FLAGS)
    except BlockingIOError:
        return 0


def write_nonblocking(sock: socket.socket, data: tuple | list) -> list | tuple:
    """Writes buffers as far as the socket takes them at once, long ones without joining them; what is left of them."""
    if len(data) == 1 and type(data[0]) is bytes:
        if libc_send is None or (sent := libc_send(sock.fileno(), data[0], len(data[0]), FLAGS)) < 0:
            sent = send_nonblocking(sock, data[0])
        if sent == len(data[0]):
            return ()
    else:
        try:
            sent = sock.sendmsg(data, (), FLAGS)
        except BlockingIOError:
            sent = 0
    data = list(data)
    while data and sent >= len(data[0]):
        sent -= len(data.pop(0))
    if data and sent:
        data[0] = memoryview(data[0])[sent:]
    return data
