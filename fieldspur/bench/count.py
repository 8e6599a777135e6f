"""Counts of one txn's way that do not depend on the machine's speed, held against limits: `Counter` plays txns one by one.

The router runs in this process, its only cache in another. Counted are the threads that a txn passes, Python calls and
locks, reads and writes of sockets, memory at the highest above what stays, and what stays. `limits.json` beside this
file says how much of each a txn may take; a count above its limit is named."""

from __future__ import annotations

import json
import os
import socket
import statistics
import sys
import tempfile
import threading
import time
import tracemalloc
from collections import Counter as Tally
from pathlib import Path

from fieldspur.bench import peers, sample_settings
from fieldspur.bench.path import ROOT, BenchFailed, free_port, start_peer
from fieldspur.net import nonblocking

LIMITS = Path(__file__).with_name("limits.json")
OTHERS = ("watch", "counts", "board")  # threads that work by time and not by txn
SIZES = {"pages": 2048, "media": 240_000}
TRIES = 4  # until a count is within its limit
HERE = str(ROOT / "fieldspur")
NOT = str(ROOT / "fieldspur" / "bench")


class Counter:
    """A router in this process between one cache and one client; `close` ends it."""

    def __init__(self, rule: str):
        from fieldspur.__main__ import Service
        from fieldspur.site import read_node

        self.rule, self.kb, self.number, self.stream = rule, SIZES[rule] / 1024, time.time_ns(), 0
        self.cache = start_peer(what="hits", body=SIZES[rule])
        self.board = socket.create_server(("127.0.0.1", 0))
        listen = free_port()
        conf = sample_settings.node_file(listen, self.board.getsockname()[1], [("c0", int(self.cache.stdout.readline()), "std")])
        with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
            json.dump(conf, file)
            file.flush()
            self.service = Service(read_node({"LB_CONFIG": file.name}))
        self.raw = nonblocking.libc_send  # no event tells of this one
        nonblocking.libc_send = self.counted_raw if self.raw is not None else None
        self.seen: dict[int, Tally] = {}  # by thread
        self.counting = False
        threading.setprofile(self.event)  # of the threads that the service starts
        self.service.start()
        self.buffer = bytearray(1 << 20)
        self.sock = self.connect(1 << 20)  # large enough for a whole answer, whatever the system begins with

    def connect(self, room: int) -> socket.socket:
        """A client's connection whose two sockets hold so much of an answer."""
        sock, before = socket.socket(), set(self.service.client_listener.clients)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, room)
        sock.settimeout(20)
        sock.connect(self.service.node.listen)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        end = time.monotonic() + 5
        while not (new := set(self.service.client_listener.clients) - before):
            if time.monotonic() > end:
                raise BenchFailed("the router takes no connection")
            time.sleep(0.001)
        for client in new:
            client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, room)
        return sock

    def counted_raw(self, *about) -> int:
        if self.counting:
            self.seen.setdefault(threading.get_ident(), Tally())["sends"] += 1
        return self.raw(*about)

    def close(self) -> None:
        nonblocking.libc_send = self.raw
        threading.setprofile(None)
        self.sock.close()
        self.service.client_listener.stop_listening()
        self.cache.kill()
        self.cache.wait()
        self.board.close()

    def event(self, frame, what: str, arg) -> None:
        if not self.counting or what not in ("call", "c_call"):
            return
        code = frame.f_code
        if not code.co_filename.startswith(HERE) or code.co_filename.startswith(NOT):
            return
        tally = self.seen.get(threading.get_ident())
        if tally is None:
            if threading.current_thread().name in OTHERS:
                return
            tally = self.seen.setdefault(threading.get_ident(), Tally())
        if what == "call":
            tally["calls"] += 1
        else:
            name = arg.__name__
            tally["reads"] += name in ("recv", "recv_into")
            tally["sends"] += name in ("sendmsg", "sendall") or name == "send"
            tally["thread_starts"] += name == "start_new_thread"

    def ask(self, sock: socket.socket, stream: int) -> None:
        self.number += 1
        sock.sendall(peers.request(stream, self.number, self.rule, self.kb))

    def txn(self) -> None:
        self.stream += 1
        self.ask(self.sock, self.stream)
        held, view = 0, memoryview(self.buffer)
        while held < 4 or held < 4 + int.from_bytes(self.buffer[:4], "big"):
            held += self.sock.recv_into(view[held:])
        if self.buffer[9] != 79:
            raise BenchFailed(f"{self.rule}: a txn was not completed")

    def settle(self) -> None:
        """Until the router has done all that follows an answer: its threads stand still."""
        end = time.monotonic() + 5
        while self.service.router_host.hops or self.service.router_host.queue or self.service.router_host.router_thread is not None:
            if time.monotonic() > end:
                raise BenchFailed("the router does not come to rest")
            time.sleep(0.0002)

    def calls(self, txns: int) -> dict:
        """Medians over so many txns, one at a time."""
        rows = []
        for _ in range(txns):
            self.seen.clear()
            self.counting = True
            self.txn()
            self.settle()
            time.sleep(0.001)
            self.counting = False
            total = sum(self.seen.values(), Tally())
            rows.append({"threads": len(self.seen), **{name: total[name] for name in ("calls", "reads", "sends", "thread_starts")}})
        return {name: statistics.median_low(row[name] for row in rows) for name in rows[0]}

    def memory(self, txns: int) -> dict:
        """Bytes above what stays, as a median, and objects that stay, a txn."""
        tracemalloc.start(1)
        try:
            peaks = []
            for _ in range(txns):
                self.settle()
                tracemalloc.reset_peak()
                before = tracemalloc.get_traced_memory()[0]
                self.txn()
                self.settle()
                peaks.append(tracemalloc.get_traced_memory()[1] - before)
        finally:
            tracemalloc.stop()
        before = sys.getallocatedblocks()
        for _ in range(txns):
            self.txn()
        self.settle()
        return {"peak_bytes": statistics.median_low(peaks), "kept_blocks": (sys.getallocatedblocks() - before) / txns}

    def copies(self) -> float:
        """How often a body is copied on its way to a client that takes none of it: two answers, the first of which
        fills the sockets, so that the second has to be kept whole; at the most, as a share of both bodies."""
        sock = self.connect(4096)
        tracemalloc.start(1)
        try:
            tracemalloc.reset_peak()
            before = tracemalloc.get_traced_memory()[0]
            for stream in (1, 2):
                self.ask(sock, stream)
                done = self.service.open_txns.counts["completed"]
                end = time.monotonic() + 5
                while self.service.open_txns.counts["completed"] == done and time.monotonic() < end:
                    time.sleep(0.001)
                self.settle()
            return (tracemalloc.get_traced_memory()[1] - before) / (2 * SIZES[self.rule])
        finally:
            tracemalloc.stop()
            sock.close()


def counts(rule: str, txns: int = 100) -> dict:
    """All counts of a rule's txn."""
    counter = Counter(rule)
    try:
        for _ in range(30):
            counter.txn()
        found = {**counter.calls(txns), **counter.memory(txns)}
        if rule == "media":
            found["copies_to_a_quick_client"] = round(found["peak_bytes"] / SIZES[rule], 2)
            found["copies_to_a_slow_client"] = round(counter.copies(), 2)
        return found
    finally:
        counter.close()


def passed(found: dict, limits: dict, of: str = "a txn") -> list[str]:
    """What is above its limit, a line each."""
    return [f"{name}: {found[name]:g} {of}, {most:g} allowed" for name, most in limits.items() if found[name] > most]


def guard(rules: tuple = tuple(SIZES), path: Path = LIMITS) -> dict[str, list[str]]:
    """Rules whose txn takes more than it may, and what of. A count is named that is above its limit each time: beside other
    load a long body comes in more pieces (99 calls a txn alone, up to 111 so), which only ever adds."""
    limits, found = json.loads(path.read_text()), {}
    for rule in rules:
        least = counts(rule)
        for _ in range(TRIES - 1):
            if not passed(least, limits[rule]):
                break
            least = {name: min(value, more) for (name, value), more in zip(least.items(), counts(rule).values())}
        if lines := passed(least, limits[rule]):
            found[rule] = lines
    return found


if __name__ == "__main__":
    for name in sys.argv[1:] or SIZES:
        print(name, json.dumps(counts(name)))
    os._exit(0)
