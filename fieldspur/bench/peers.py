"""The other ends of a measured router: a cache that always hits and a closed loop of clients, one process.

Run as `python -m fieldspur.bench.peers PLAN`, PLAN being JSON. Nothing here is the router's: what these cost is not
measured, and they read only as much of the protocols as they have to."""

from __future__ import annotations

import json
import selectors
import socket
import struct
import sys
import threading
import time

HEAD = struct.Struct(">IBI")


def want_id(data: bytes, at: int) -> tuple[bytes, int] | None:
    """The id of the `want` at `at` and where it ends; None while it is not whole; no id for anything else."""
    end = data.find(b"\r\n", at)
    if end < 0:
        return None
    items, count = [], int(data[at + 1 : end])
    at = end + 2
    for _ in range(count):
        end = data.find(b"\r\n", at)
        if end < 0:
            return None
        size = int(data[at + 1 : end])
        at = end + 2 + size + 2
        if at > len(data):
            return None
        items.append(data[end + 2 : at - 2])
    return (items[1] if items[0] == b"want" else b""), at


def hits(listener: socket.socket, body: bytes) -> None:
    """Answers each `want` as a hit of that body, a thread a connection."""
    tail = b"\r\n$3\r\nACK\r\n$28\r\nentity=e,issued=1,tell=TCP_HIT\r\n".replace(b"$28", b"$30") + b"$%d\r\n%s\r\n" % (len(body), body)

    def serve(conn: socket.socket) -> None:
        conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        held = b""
        while data := conn.recv(65_536):
            held += data
            out, at = [], 0
            while at < len(held) and (found := want_id(held, at)) is not None:
                ident, at = found
                if ident:
                    out += (b"*4\r\n$%d\r\n%s" % (len(ident), ident), tail)
            held = held[at:]
            if out:
                conn.sendall(b"".join(out))

    while True:
        conn, _ = listener.accept()
        threading.Thread(target=serve, args=(conn,), daemon=True).start()


def request(stream: int, number: int, rule: str, kb: float) -> bytes:
    fields = {
        "verb": rule,
        "txn": f"{number:016x}",
        "limit": "4000",
        "item": f"{number % 5000:016x}",
        "slice": "0",
        "set": "7",
        "ram": f"{kb:g}",
    }
    payload = bytes((len(fields),)) + b"".join(
        bytes((len(k),)) + k.encode() + struct.pack(">H", len(v)) + v.encode() for k, v in fields.items()
    )
    return HEAD.pack(5 + len(payload), 65, stream) + payload


def loop(address: tuple[str, int], connections: int, flight: int, seconds: float, rule: str, kb: float) -> dict:
    """Connections with `flight` txns each, the next one as soon as one is answered."""
    chosen, number, times, bad = selectors.DefaultSelector(), time.time_ns(), [], 0
    state: dict[socket.socket, tuple] = {}  # when each open stream was asked; bytes not yet taken; streams used
    for _ in range(connections):
        sock = socket.create_connection(address)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        chosen.register(sock, selectors.EVENT_READ)
        state[sock] = ({}, bytearray(), [0])
    end = time.monotonic() + seconds

    def ask(sock: socket.socket, count: int) -> None:
        nonlocal number
        asked, _, used = state[sock]
        data = []
        for _ in range(count):
            number += 1
            used[0] += 1
            asked[used[0]] = time.perf_counter_ns()
            data.append(request(used[0], number, rule, kb))
        sock.sendall(b"".join(data))

    for sock in state:
        ask(sock, flight)
    while time.monotonic() < end:
        for key, _ in chosen.select(0.1):
            sock = key.fileobj
            asked, held, _ = state[sock]
            data = sock.recv(262_144)
            if not data:
                raise SystemExit("the router closed a connection")
            held += data
            at = done = 0
            while len(held) - at >= 9 and len(held) - at >= 4 + (size := int.from_bytes(held[at : at + 4], "big")):
                times.append(time.perf_counter_ns() - asked.pop(int.from_bytes(held[at + 5 : at + 9], "big")))
                bad += held[at + 9] != 79
                at, done = at + 4 + size, done + 1
            del held[:at]
            if done:
                ask(sock, done)
    times.sort()
    at = (lambda q: times[min(len(times) - 1, int(q * len(times)))] / 1000) if times else (lambda q: 0.0)
    return {"txns": len(times), "bad": bad, "p50_us": at(0.5), "p99_us": at(0.99), "p999_us": at(0.999)}


def main() -> None:
    plan = json.loads(sys.argv[1])
    if plan["what"] == "hits":
        listener = socket.create_server(("127.0.0.1", 0), backlog=512)
        print(listener.getsockname()[1], flush=True)
        hits(listener, b"b" * plan["body"])
    else:
        print(
            json.dumps(loop(tuple(plan["address"]), plan["connections"], plan["flight"], plan["seconds"], plan["rule"], plan["kb"])),
            flush=True,
        )
        sys.stdin.read()  # the router's threads are counted while the connections are there


if __name__ == "__main__":
    main()
