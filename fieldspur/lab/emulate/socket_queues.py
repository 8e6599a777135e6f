"""What lies in the system's queues of loopback connections: how much of a stream its writer has handed over, although
nobody has read it. So a hop's first byte is judged by when it was written, also to a server that reads nothing."""

from __future__ import annotations

from pathlib import Path

TABLE = Path("/proc/net/tcp")


def queues(text: str | None = None) -> dict[tuple[int, int], tuple[int, int]]:
    """Bytes to be taken by the other side and bytes not yet read, by a connection's own and its other port."""
    found = {}
    for line in (TABLE.read_text() if text is None else text).splitlines()[1:]:
        words = line.split()
        own, other = (int(word.rpartition(":")[2], 16) for word in words[1:3])
        out, unread = words[4].split(":")
        found[own, other] = int(out, 16), int(unread, 16)
    return found


def look(conns: list) -> None:
    """Notes for each connection how much its other side has handed over by now."""
    found = queues()
    for conn in conns:
        if conn.closed:
            continue
        try:
            own, other = conn.sock.getsockname()[1], conn.sock.getpeername()[1]
        except OSError:
            continue
        conn.taken(conn.total + found.get((own, other), (0, 0))[1] + found.get((other, own), (0, 0))[0])
