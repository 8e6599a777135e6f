"""The peers of a measured router: a cache whose every answer is a hit, and clients that send txns in a closed loop.

Run as `python -m fieldspur.bench.peers PLAN`, where PLAN is JSON and says which of the two this process is. The CPU of this
process is not part of the measurement, and its parsers handle only the parts of the protocols that the benches use."""

from __future__ import annotations

import json
import selectors
import socket
import struct
import sys
import threading
import time

FRAME_HEAD = struct.Struct(">IBI")  # length of what follows, frame type, stream


def parse_want_id(data: bytes, position: int) -> tuple[bytes, int] | None:
    """Returns the id of the `want` that starts at `position`, and the position after it.

    Returns None if the message is incomplete; the id is empty for a message of another kind."""
    line_end = data.find(b"\r\n", position)
    if line_end < 0:
        return None
    items, item_count = [], int(data[position + 1 : line_end])
    position = line_end + 2
    for _ in range(item_count):
        line_end = data.find(b"\r\n", position)
        if line_end < 0:
            return None
        item_size = int(data[position + 1 : line_end])
        position = line_end + 2 + item_size + 2
        if position > len(data):
            return None
        items.append(data[line_end + 2 : position - 2])
    return (items[1] if items[0] == b"want" else b""), position


def serve_hits(listener: socket.socket, body: bytes) -> None:
    """Answers each `want` with a hit that has this body; each connection has its own thread."""
    reply_tail = b"\r\n$3\r\nACK\r\n$28\r\nentity=e,issued=1,tell=TCP_HIT\r\n".replace(b"$28", b"$30") + b"$%d\r\n%s\r\n" % (
        len(body),
        body,
    )

    def serve(conn: socket.socket) -> None:
        conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        received = b""
        while data := conn.recv(65_536):
            received += data
            replies, position = [], 0
            while position < len(received) and (want := parse_want_id(received, position)) is not None:
                want_id, position = want
                if want_id:
                    replies += (b"*4\r\n$%d\r\n%s" % (len(want_id), want_id), reply_tail)
            received = received[position:]
            if replies:
                conn.sendall(b"".join(replies))

    while True:
        conn, _ = listener.accept()
        threading.Thread(target=serve, args=(conn,), daemon=True).start()


def request(stream: int, number: int, rule: str, kb: float) -> bytes:
    """Returns the frame of a request; `number` gives the txn its id and selects one of 5000 objects."""
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
        bytes((len(name),)) + name.encode() + struct.pack(">H", len(value)) + value.encode() for name, value in fields.items()
    )
    return FRAME_HEAD.pack(5 + len(payload), 65, stream) + payload


def run_closed_loop(address: tuple[str, int], connections: int, txns_in_flight: int, seconds: float, rule: str, kb: float) -> dict:
    """Keeps `txns_in_flight` txns open on each connection: sends the next one as soon as one is answered. Returns counts and latencies."""
    selector, txn_number, latencies_ns, not_completed = selectors.DefaultSelector(), time.time_ns(), [], 0
    state_by_socket: dict[socket.socket, tuple] = {}  # send time of each open stream; received bytes not yet parsed; streams used
    for _ in range(connections):
        sock = socket.create_connection(address)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        selector.register(sock, selectors.EVENT_READ)
        state_by_socket[sock] = ({}, bytearray(), [0])
    deadline = time.monotonic() + seconds

    def send_requests(sock: socket.socket, request_count: int) -> None:
        nonlocal txn_number
        send_times, _, streams_used = state_by_socket[sock]
        data = []
        for _ in range(request_count):
            txn_number += 1
            streams_used[0] += 1
            send_times[streams_used[0]] = time.perf_counter_ns()
            data.append(request(streams_used[0], txn_number, rule, kb))
        sock.sendall(b"".join(data))

    for sock in state_by_socket:
        send_requests(sock, txns_in_flight)
    while time.monotonic() < deadline:
        for key, _ in selector.select(0.1):
            sock = key.fileobj
            send_times, received, _ = state_by_socket[sock]
            data = sock.recv(262_144)
            if not data:
                raise SystemExit("the router closed a connection")
            received += data
            position = answered = 0
            while len(received) - position >= 9 and len(received) - position >= 4 + (
                frame_size := int.from_bytes(received[position : position + 4], "big")
            ):
                latencies_ns.append(time.perf_counter_ns() - send_times.pop(int.from_bytes(received[position + 5 : position + 9], "big")))
                not_completed += received[position + 9] != 79
                position, answered = position + 4 + frame_size, answered + 1
            del received[:position]
            if answered:
                send_requests(sock, answered)
    latencies_ns.sort()
    percentile_us = (
        (lambda share: latencies_ns[min(len(latencies_ns) - 1, int(share * len(latencies_ns)))] / 1000)
        if latencies_ns
        else (lambda share: 0.0)
    )
    return {
        "txns": len(latencies_ns),
        "bad": not_completed,
        "p50_us": percentile_us(0.5),
        "p99_us": percentile_us(0.99),
        "p999_us": percentile_us(0.999),
    }


def main() -> None:
    plan = json.loads(sys.argv[1])
    if plan["what"] == "hits":
        listener = socket.create_server(("127.0.0.1", 0), backlog=512)
        print(listener.getsockname()[1], flush=True)
        serve_hits(listener, b"b" * plan["body"])
    else:
        print(
            json.dumps(
                run_closed_loop(tuple(plan["address"]), plan["connections"], plan["flight"], plan["seconds"], plan["rule"], plan["kb"])
            ),
            flush=True,
        )
        sys.stdin.read()  # keeps the connections open until the bench has counted the router's threads


if __name__ == "__main__":
    main()
