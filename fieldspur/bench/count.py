"""Counts what one txn takes in the router, independently of the machine's speed, and compares the counts with limits.

The router runs in this process, its only cache in another; `Counter` sends txns one at a time. Counted are the threads
that handle a txn, Python calls, socket reads and writes, thread starts, the peak of the memory allocated for a txn, and the
memory blocks that stay allocated after it. `limits.json` beside this file has the limit of each count."""

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
from collections import Counter as CallCounts
from pathlib import Path

from fieldspur.bench import peers, sample_settings
from fieldspur.bench.path import ROOT, BenchFailed, free_port, start_peer
from fieldspur.net import nonblocking

LIMITS = Path(__file__).with_name("limits.json")
BACKGROUND_THREADS = ("watch", "counts", "board")  # names of threads that work periodically, not per txn
SIZES = {"pages": 2048, "media": 240_000}  # body size in bytes by rule
MAX_TRIES = 4  # measurements before a count above its limit is reported
COUNTED_FOLDER = str(ROOT / "fieldspur")
UNCOUNTED_FOLDER = str(ROOT / "fieldspur" / "bench")


class Counter:
    """A router in this process between one cache process and one client; `close` stops all of them."""

    def __init__(self, rule: str):
        from fieldspur.__main__ import Service
        from fieldspur.site import read_node

        self.rule, self.kb, self.txn_number, self.stream = rule, SIZES[rule] / 1024, time.time_ns(), 0
        self.cache = start_peer(what="hits", body=SIZES[rule])
        self.discovery_socket = socket.create_server(("127.0.0.1", 0))
        listen_port = free_port()
        node_settings = sample_settings.node_file(
            listen_port, self.discovery_socket.getsockname()[1], [("c0", int(self.cache.stdout.readline()), "std")]
        )
        with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
            json.dump(node_settings, file)
            file.flush()
            self.service = Service(read_node({"LB_CONFIG": file.name}))
        self.libc_send = nonblocking.libc_send  # a ctypes function: the profiler reports no event for its calls
        nonblocking.libc_send = self.count_and_send if self.libc_send is not None else None
        self.counts_by_thread: dict[int, CallCounts] = {}  # keyed by the thread's id
        self.counting = False
        threading.setprofile(self.handle_profile_event)  # applies to the threads that the service starts
        self.service.start()
        self.buffer = bytearray(1 << 20)
        self.sock = self.connect(1 << 20)  # socket buffers that hold a whole answer, whatever the system's default is

    def connect(self, socket_buffer_size: int) -> socket.socket:
        """Returns a client connection; its socket's receive buffer and the router's send buffer for it have this size in bytes."""
        sock, clients_before = socket.socket(), set(self.service.client_listener.clients)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, socket_buffer_size)
        sock.settimeout(20)
        sock.connect(self.service.node.listen)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        deadline = time.monotonic() + 5
        while not (new_clients := set(self.service.client_listener.clients) - clients_before):
            if time.monotonic() > deadline:
                raise BenchFailed("the router accepted no connection within 5 s")
            time.sleep(0.001)
        for client in new_clients:
            client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, socket_buffer_size)
        return sock

    def count_and_send(self, *arguments) -> int:
        if self.counting:
            self.counts_by_thread.setdefault(threading.get_ident(), CallCounts())["sends"] += 1
        return self.libc_send(*arguments)

    def close(self) -> None:
        nonblocking.libc_send = self.libc_send
        threading.setprofile(None)
        self.sock.close()
        self.service.client_listener.stop_listening()
        self.cache.kill()
        self.cache.wait()
        self.discovery_socket.close()

    def handle_profile_event(self, frame, event: str, function) -> None:
        if not self.counting or event not in ("call", "c_call"):
            return
        code = frame.f_code
        if not code.co_filename.startswith(COUNTED_FOLDER) or code.co_filename.startswith(UNCOUNTED_FOLDER):
            return
        thread_counts = self.counts_by_thread.get(threading.get_ident())
        if thread_counts is None:
            if threading.current_thread().name in BACKGROUND_THREADS:
                return
            thread_counts = self.counts_by_thread.setdefault(threading.get_ident(), CallCounts())
        if event == "call":
            thread_counts["calls"] += 1
        else:
            name = function.__name__
            thread_counts["reads"] += name in ("recv", "recv_into")
            thread_counts["sends"] += name in ("sendmsg", "sendall") or name == "send"
            thread_counts["thread_starts"] += name == "start_new_thread"

    def send_request(self, sock: socket.socket, stream: int) -> None:
        self.txn_number += 1
        sock.sendall(peers.request(stream, self.txn_number, self.rule, self.kb))

    def run_txn(self) -> None:
        self.stream += 1
        self.send_request(self.sock, self.stream)
        received, view = 0, memoryview(self.buffer)
        while received < 4 or received < 4 + int.from_bytes(self.buffer[:4], "big"):
            received += self.sock.recv_into(view[received:])
        if self.buffer[9] != 79:
            raise BenchFailed(f"{self.rule}: a txn was not completed")

    def wait_until_idle(self) -> None:
        """Waits until the router has finished its work after an answer and its threads are idle."""
        deadline = time.monotonic() + 5
        while self.service.router_host.hops or self.service.router_host.queue or self.service.router_host.router_thread is not None:
            if time.monotonic() > deadline:
                raise BenchFailed("the router was not idle within 5 s")
            time.sleep(0.0002)

    def count_calls(self, txns: int) -> dict:
        """Returns the median counts of `txns` txns, sent one at a time."""
        rows = []
        for _ in range(txns):
            self.counts_by_thread.clear()
            self.counting = True
            self.run_txn()
            self.wait_until_idle()
            time.sleep(0.001)
            self.counting = False
            total_counts = sum(self.counts_by_thread.values(), CallCounts())
            rows.append(
                {
                    "threads": len(self.counts_by_thread),
                    **{name: total_counts[name] for name in ("calls", "reads", "sends", "thread_starts")},
                }
            )
        return {name: statistics.median_low(row[name] for row in rows) for name in rows[0]}

    def measure_memory(self, txns: int) -> dict:
        """Returns the median peak of traced memory during a txn, in bytes, and the memory blocks a txn leaves allocated, on average."""
        tracemalloc.start(1)
        try:
            peaks = []
            for _ in range(txns):
                self.wait_until_idle()
                tracemalloc.reset_peak()
                bytes_before = tracemalloc.get_traced_memory()[0]
                self.run_txn()
                self.wait_until_idle()
                peaks.append(tracemalloc.get_traced_memory()[1] - bytes_before)
        finally:
            tracemalloc.stop()
        blocks_before = sys.getallocatedblocks()
        for _ in range(txns):
            self.run_txn()
        self.wait_until_idle()
        return {"peak_bytes": statistics.median_low(peaks), "kept_blocks": (sys.getallocatedblocks() - blocks_before) / txns}

    def count_body_copies(self) -> float:
        """Returns how many copies of a body the router holds at most for a client that reads nothing: the peak memory as a share
        of two bodies. The first of two answers fills the socket buffers, so the router has to keep the second one whole."""
        sock = self.connect(4096)
        tracemalloc.start(1)
        try:
            tracemalloc.reset_peak()
            bytes_before = tracemalloc.get_traced_memory()[0]
            for stream in (1, 2):
                self.send_request(sock, stream)
                completed_before = self.service.open_txns.counts["completed"]
                deadline = time.monotonic() + 5
                while self.service.open_txns.counts["completed"] == completed_before and time.monotonic() < deadline:
                    time.sleep(0.001)
                self.wait_until_idle()
            return (tracemalloc.get_traced_memory()[1] - bytes_before) / (2 * SIZES[self.rule])
        finally:
            tracemalloc.stop()
            sock.close()


def counts(rule: str, txns: int = 100) -> dict:
    """Returns all counts of one txn of a rule; they are measured over `txns` txns."""
    counter = Counter(rule)
    try:
        for _ in range(30):
            counter.run_txn()
        counts_by_name = {**counter.count_calls(txns), **counter.measure_memory(txns)}
        if rule == "media":
            counts_by_name["copies_to_a_quick_client"] = round(counts_by_name["peak_bytes"] / SIZES[rule], 2)
            counts_by_name["copies_to_a_slow_client"] = round(counter.count_body_copies(), 2)
        return counts_by_name
    finally:
        counter.close()


def exceeded_limits(counts_by_name: dict, limits: dict, unit: str = "a txn") -> list[str]:
    """Returns a line for each count that is above its limit; `unit` names what the counts are of."""
    return [f"{name}: {counts_by_name[name]:g} {unit}, {limit:g} allowed" for name, limit in limits.items() if counts_by_name[name] > limit]


def guard(rules: tuple = tuple(SIZES), path: Path = LIMITS) -> dict[str, list[str]]:
    """Returns the counts above their limits, as lines by rule. A rule without an excess is left out.

    A count is reported only if it is above its limit in each of `MAX_TRIES` measurements. Other load on the machine can only
    raise a count, because a long body then arrives in more pieces: 99 calls a txn on an idle machine, up to 111 on a busy one."""
    limits, excesses = json.loads(path.read_text()), {}
    for rule in rules:
        lowest_counts = counts(rule)
        for _ in range(MAX_TRIES - 1):
            if not exceeded_limits(lowest_counts, limits[rule]):
                break
            lowest_counts = {name: min(value, repeated) for (name, value), repeated in zip(lowest_counts.items(), counts(rule).values())}
        if lines := exceeded_limits(lowest_counts, limits[rule]):
            excesses[rule] = lines
    return excesses


if __name__ == "__main__":
    for name in sys.argv[1:] or SIZES:
        print(name, json.dumps(counts(name)))
    os._exit(0)
