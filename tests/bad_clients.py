"""Bad clients on many connections to a router, as a program: `bad_clients.py HOST:PORT COUNT SECONDS KIND`.

Each connection plays one kind at full speed and reads what is sent to it. Prints how many answers came."""

import os
import selectors
import socket
import struct
import sys
import time

AT_ONCE = 32  # requests of one batch: as many as a connection may have open
SLOW_PIECE_BYTES, SLOW_PAUSE_S = 1400, 0.05


def encode_frame(kind, stream, payload=b""):
    return struct.pack(">IBI", 5 + len(payload), kind, stream) + payload


def encode_fields(pairs):
    return bytes([len(pairs)]) + b"".join(
        bytes([len(name)]) + name.encode() + len(value).to_bytes(2, "big") + value.encode() for name, value in pairs
    )


def request(stream, more=(), body=b"", **changed):
    fields = {"verb": "media", "txn": os.urandom(8).hex(), "limit": "2000", "item": os.urandom(8).hex(), "slice": "0", "set": "7"} | changed
    return encode_frame(65, stream, encode_fields([*fields.items(), *more]) + body)


SHORT_FIELDS = [(chr(97 + n // 26) + chr(97 + n % 26), "x") for n in range(249)]

UNUSABLE = request(1, verb="nosuch")
UNUSABLE_HEAD, UNUSABLE_REST = UNUSABLE[:5], UNUSABLE[9:]  # before and after the stream number


class BadClient:
    """One connection. `next_batch` gives the bytes to send once all answers to the batch before have come."""

    def __init__(self, address, kind):
        self.sock = socket.create_connection(address)
        self.sock.setblocking(False)
        self.kind, self.stream, self.open, self.answers = kind, 0, 0, 0
        self.received, self.unsent, self.next_at = bytearray(), b"", 0.0

    def streams(self, count):
        self.open += count
        self.stream += count
        return range(self.stream - count + 1, self.stream + 1)

    def next_batch(self):
        if self.kind == "unusable":
            return b"".join(UNUSABLE_HEAD + stream.to_bytes(4, "big") + UNUSABLE_REST for stream in self.streams(AT_ONCE))
        if self.kind == "fields":
            return b"".join(request(stream, SHORT_FIELDS) for stream in self.streams(AT_ONCE))
        if self.kind == "usable":
            return b"".join(request(stream) for stream in self.streams(AT_ONCE))
        if self.kind == "bodies":
            return request(self.streams(1)[0], verb="checkout", unique=os.urandom(16).hex(), body=b"b" * 47_000)
        if self.kind == "half":  # and waits: it is closed, and another takes its place
            self.open += 1
            return struct.pack(">IBI", 262_144, 65, 1) + b"\0" * 131_000
        if self.kind == "stopped":
            return request(self.streams(1)[0], verb="checkout", unique=os.urandom(16).hex(), body=b"b" * 47_000)[:-1]
        raise ValueError(self.kind)

    def send(self, now):
        """Sends what may be sent now: slowly written bodies in pieces, all else as fast as the socket takes it."""
        if not self.unsent and self.open <= 0:
            self.unsent = self.next_batch()
        if not self.unsent or now < self.next_at:
            return
        piece = self.unsent[:SLOW_PIECE_BYTES] if self.kind == "bodies" else self.unsent
        try:
            self.unsent = self.unsent[self.sock.send(piece) :]
        except BlockingIOError:
            pass
        self.next_at = now + SLOW_PAUSE_S if self.kind == "bodies" else 0.0

    def send_safely(self, now):
        try:
            self.send(now)
        except OSError:
            pass  # its end is read

    def receive(self):
        """Reads what is there. Returns False if the connection has ended."""
        try:
            data = self.sock.recv(65536)
        except BlockingIOError:
            return True
        except OSError:
            return False
        self.received += data
        while len(self.received) >= 4 and len(self.received) >= 4 + (size := int.from_bytes(self.received[:4], "big")):
            del self.received[: 4 + size]
            self.open -= 1
            self.answers += 1
        return bool(data)


def main(address, count, seconds, kind):
    host, _, port = address.rpartition(":")
    address = host or "127.0.0.1", int(port)
    selector, clients, ends, answers, all_at = selectors.DefaultSelector(), set(), time.monotonic() + seconds, 0, 0.0
    while time.monotonic() < ends:
        while len(clients) < count:  # a connection that ended is replaced
            try:
                client = BadClient(address, kind)
            except OSError:
                break
            clients.add(client)
            selector.register(client.sock, selectors.EVENT_READ, client)
        for key, _ in selector.select(0.01):
            if key.data.receive():
                key.data.send_safely(time.monotonic())
            else:
                selector.unregister(key.data.sock)
                key.data.sock.close()
                clients.discard(key.data)
                answers += key.data.answers
        if time.monotonic() >= all_at:  # those that write slowly, and those whose socket was full
            all_at = time.monotonic() + SLOW_PAUSE_S
            for client in clients:
                client.send_safely(time.monotonic())
    print(answers + sum(client.answers for client in clients), flush=True)


if __name__ == "__main__":
    main(sys.argv[1], int(sys.argv[2]), float(sys.argv[3]), sys.argv[4])
