"""Bad clients on `count` connections to a router: each sends as many usable requests at once as it may, reads what is sent to it, and sends
as many again as soon as all are answered. Arguments: port, count, seconds. Prints how many answers it got."""

import selectors
import socket
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))
import standins as s  # noqa: E402

AT_ONCE = 32  # open requests on one connection at most


class BadClient:
    def __init__(self, port):
        self.sock = socket.create_connection(("127.0.0.1", port))
        self.sock.setblocking(False)
        self.stream, self.received, self.open, self.answered = 0, bytearray(), 0, 0

    def send(self):
        data = bytearray()
        for _ in range(AT_ONCE):
            self.stream += 1
            data += s.request(self.stream, "pages", s.new_id(), 2500, s.new_id(), 150.0)
        self.open = AT_ONCE
        self.sock.send(data)

    def read(self) -> bool:
        """Reads what there is. Returns False if the router has closed the connection."""
        data = self.sock.recv(65536)
        self.received += data
        while len(self.received) >= 4 and len(self.received) >= 4 + int.from_bytes(self.received[:4], "big"):
            del self.received[: 4 + int.from_bytes(self.received[:4], "big")]
            self.open -= 1
            self.answered += 1
        if data and self.open <= 0:
            self.send()
        return bool(data)


def main(port, count, seconds):
    selector, clients, end = selectors.DefaultSelector(), [], time.time() + seconds
    for _ in range(count):
        client = BadClient(port)
        client.send()
        clients.append(client)
        selector.register(client.sock, selectors.EVENT_READ, client)
    while time.time() < end:
        for key, _ in selector.select(0.1):
            try:
                if not key.data.read():
                    selector.unregister(key.fileobj)
            except BlockingIOError:
                pass
            except OSError:
                selector.unregister(key.fileobj)
    print(f"{count} connections, answered {sum(client.answered for client in clients)} times", flush=True)


main(int(sys.argv[1]), int(sys.argv[2]), float(sys.argv[3]))
