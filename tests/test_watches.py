"""Connections to discovery ("watches") that break, fall silent or move at the wrong moment. docs/design/crossings.md has the table."""

import json
import os
import resource
import socket
import threading
import time

import pytest
from helpers import Cache, Client, DiscoveryStub, endpoint, until

from fieldspur.bench.path import free_port
from fieldspur.net.discovery import SILENCE_LIMIT_S

HIT = ("ACK", "entity=e,issued=1,tell=TCP_HIT", b"bytes")


class ScriptedDiscovery(DiscoveryStub):
    """A discovery service whose first connections behave as `behaviours` says, in this order; the rest follow the protocol."""

    def __init__(self, *behaviours):
        self.behaviours, self.watches = list(behaviours), []
        super().__init__()

    def serve(self, conn):
        behaviour = self.behaviours.pop(0) if self.behaviours else ""
        self.watches.append((behaviour, time.monotonic()))
        if behaviour == "ends unread":
            return conn.close()
        if not behaviour:
            return super().serve(conn)
        conn.makefile("rb").readline()
        if behaviour == "ends":
            return conn.close()
        if behaviour == "half a line":
            conn.sendall(json.dumps(self.events[-1]).encode()[:40])
        elif behaviour == "the last line cut off":
            conn.sendall(json.dumps(self.events[-1]).encode()[:-1])
            return conn.close()
        elif behaviour == "numbers alone":
            while True:
                conn.sendall(b"%d\n" % self.events[-1]["rev"])
                time.sleep(0.2)
        elif behaviour == "an old number":
            while True:
                conn.sendall(b"1\n")
                time.sleep(0.2)
        elif behaviour == "noise":
            conn.sendall(b"\xff{]\n" * 3)
        while conn.recv(4096):  # silent
            pass


def drain_event(caches, rev=2, name="c0"):
    return {
        "rev": rev,
        "pool": {"index": rev, "snapshot": False, "endpoints": [endpoint(name, caches[int(name[1:])].address, status="draining")]},
    }


def expect_answers(client, first, count=12):
    """Sends requests for so many objects that each cache would get some; all of them have to be completed."""
    for stream in range(first, first + count):
        client.ask(stream, item=f"{stream * 7919:016x}")
    answers = [client.get() for _ in range(count)]
    assert {(answer[1], answer[2]) for answer in answers} == {(stream, 79) for stream in range(first, first + count)}


def expect_drained(service, caches, last=2, limit=20.0):
    """Waits until the drain of c0 has reached the router, and checks that c0 gets no requests any more."""
    until(lambda: f"last={last}" in service.lines() or service.discovery.sent_revisions[-1:] == [last], limit=limit)
    time.sleep(0.3)
    count_before = len(caches[0].wants)
    expect_answers(service.client(), 100)
    assert len(caches[0].wants) == count_before and len(caches[1].wants) >= 12


@pytest.mark.parametrize(
    "moods, max_s",
    [
        (["silent"], SILENCE_LIMIT_S),
        (["silent"] * 2, 2 * SILENCE_LIMIT_S),
        (["half a line"], SILENCE_LIMIT_S),
        (["noise"], 0.0),
        (["numbers alone"], 0.0),
        (["the last line cut off"], 0.0),
        (["ends"] * 3, 0.0),
        (["ends unread"] * 3, 0.0),
        (["ends", "silent", "numbers alone", "the last line cut off"], SILENCE_LIMIT_S),
    ],
)
def test_a_drain_sent_over_a_faulty_watch_takes_effect_with_the_next_one(run, moods, max_s):
    """From the first connection on, also in the first seconds: the router never keeps a connection that will stay silent."""
    caches, discovery = [Cache(lambda want: HIT) for _ in range(2)], ScriptedDiscovery(*moods)
    discovery.events.append(drain_event(caches))
    began = time.monotonic()
    service = run(*caches, notices=discovery)
    until(lambda: discovery.sent_revisions)
    took = discovery.watches[-1][1] - discovery.watches[0][1]
    assert len(discovery.watches) == len(moods) + 1 and took < max_s + 1.0 * len(moods) + 0.5, (took, time.monotonic() - began)
    expect_drained(service, caches)


def test_a_watch_that_falls_silent_is_replaced_and_no_event_is_missed(run):
    """The connection stays open and silent: the events meanwhile come with the next connection, from the last number on."""
    caches, discovery, has_fallen_silent = [Cache(lambda want: HIT) for _ in range(2)], DiscoveryStub(), threading.Event()
    real_serve = discovery.serve

    def serve(conn):
        if has_fallen_silent.is_set() or discovery.watch_revisions:
            return real_serve(conn)
        discovery.watch_revisions.append(int(conn.makefile("rb").readline().split()[1]))
        conn.sendall(b"1\n")
        has_fallen_silent.set()
        while conn.recv(4096):
            pass

    discovery.serve = serve
    service = run(*caches, notices=discovery)
    expect_answers(service.client(), 1)
    discovery.events.append(drain_event(caches))
    began = time.monotonic()
    expect_drained(service, caches, limit=SILENCE_LIMIT_S + 2)
    assert discovery.watch_revisions == [1, 1] and time.monotonic() - began < SILENCE_LIMIT_S + 3


@pytest.mark.parametrize("first_line_s", [SILENCE_LIMIT_S + 1.0, SILENCE_LIMIT_S + 4.0])
def test_a_drain_told_by_a_crowded_service_that_is_slow_with_each_first_line_takes_effect(run, first_line_s):
    """Each connection was closed after 2 s and the events asked for anew: nothing was ever heard, and a draining server got requests."""
    caches, discovery = [Cache(lambda want: HIT) for _ in range(2)], DiscoveryStub(wait=first_line_s)
    discovery.events.append(drain_event(caches))
    began = time.monotonic()
    service = run(*caches, notices=discovery)
    expect_drained(service, caches, limit=first_line_s + 1)
    discovery.events.append(drain_event(caches, rev=3, name="c1") | {"flush": {"collection": 7, "ms": 1}})
    until(lambda: "rev=3" in service.lines(), limit=1)  # over the connection that was slow with its first line
    assert time.monotonic() - began < first_line_s + 4 and service.process.poll() is None


def test_a_line_that_takes_long_to_arrive_is_not_asked_for_in_vain(run):
    """A complete list over a slow way: its connection was closed after 2 s without a whole line, however much of the line had arrived."""
    caches, discovery = [Cache(lambda want: HIT) for _ in range(2)], DiscoveryStub()
    line = json.dumps(drain_event(caches)).encode() + b"\n"

    def serve(conn):
        discovery.watch_revisions.append(int(conn.makefile("rb").readline().split()[1]))
        for byte in line:
            conn.sendall(bytes((byte,)))
            time.sleep((SILENCE_LIMIT_S + 1.0) / len(line))
        discovery.sent_revisions.append(2)
        while conn.recv(4096):
            pass

    discovery.serve = serve
    service = run(*caches, notices=discovery)
    expect_drained(service, caches, limit=SILENCE_LIMIT_S + 2.0)


def test_at_most_four_connections_wait_for_a_service_that_says_nothing(run):
    """The oldest is kept for longer than the time after which all counts as told."""
    caches, discovery = [Cache(lambda want: HIT) for _ in range(2)], ScriptedDiscovery(*["silent"] * 9)
    service = run(*caches, notices=discovery)
    service.client()
    until(lambda: len(discovery.watches) == 4)
    assert "event=lost" not in service.lines() and service.lines().count("event=silent") == 3
    until(lambda: len(discovery.watches) == 5)
    time.sleep(0.2)
    assert open_connections(service.process.pid, discovery.sock.getsockname()[1]) == 4


def open_connections(pid, port):
    """How many established TCP connections a process has to this port."""
    inodes = set()
    for name in os.listdir(f"/proc/{pid}/fd"):
        try:
            inodes.add(os.readlink(f"/proc/{pid}/fd/{name}"))
        except OSError:
            pass  # closed meanwhile
    rows = [row.split() for row in open("/proc/net/tcp").read().splitlines()[1:]]
    return sum(int(row[2].split(":")[1], 16) == port and row[3] == "01" and f"socket:[{row[9]}]" in inodes for row in rows)


def test_an_event_after_heartbeats_with_an_old_number_takes_effect(run):
    """Heartbeats without events keep the connection; the event that follows takes effect at once."""
    caches, discovery = [Cache(lambda want: HIT) for _ in range(2)], ScriptedDiscovery("an old number")
    service = run(*caches, notices=discovery)
    expect_answers(service.client(), 1)
    time.sleep(SILENCE_LIMIT_S + 0.5)
    assert len(discovery.watches) == 1 and "event=lost" not in service.lines()
    discovery.events.append(drain_event(caches))
    discovery.conns[0].sendall(json.dumps(discovery.events[0]).encode() + b"\n")
    discovery.sent_revisions.append(2)
    expect_drained(service, caches)


@pytest.mark.parametrize("first", ["silent", "refuses", "never comes up", "half a line"])
def test_a_change_of_address_takes_effect_whatever_the_old_watch_is_doing(run, first):
    """Between connect and the first read, within a line, before the connect has succeeded, and in the pause after a refused connect."""
    caches, new_discovery = [Cache(lambda want: HIT) for _ in range(2)], DiscoveryStub()
    new_discovery.events.append(drain_event(caches))
    old_discovery, pending_sockets = ScriptedDiscovery(*[first] * 9), []
    old_discovery.events.append(drain_event(caches))
    address = old_discovery.address
    if first == "refuses":
        address = "127.0.0.1:%d" % free_port("127.0.0.1")
    if first == "never comes up":
        full_listener = socket.create_server(("127.0.0.1", 0), backlog=0)
        address = "127.0.0.1:%d" % full_listener.getsockname()[1]
        for _ in range(4):
            pending_sockets.append(socket.socket())
            pending_sockets[-1].setblocking(False)
            pending_sockets[-1].connect_ex(full_listener.getsockname())
    service = run(*caches, notices=old_discovery, board=address)
    service.client()
    if first in ("silent", "half a line"):
        until(lambda: old_discovery.watches)
    began = time.monotonic()
    service.reload(board=new_discovery.address)
    until(lambda: new_discovery.watch_revisions, limit=5)
    assert time.monotonic() - began < 1.0 and new_discovery.watch_revisions == [1]
    service.discovery = new_discovery
    expect_drained(service, caches)


def test_of_several_address_changes_the_last_one_counts_even_after_an_address_that_is_down(run):
    caches, discoveries = [Cache(lambda want: HIT) for _ in range(2)], [DiscoveryStub() for _ in range(3)]
    service = run(*caches, notices=discoveries[0])
    service.client()
    unused_address = "127.0.0.1:%d" % free_port("127.0.0.1")
    for address in (discoveries[1].address, unused_address, discoveries[2].address):
        service.reload(board=address)
    until(lambda: discoveries[2].watch_revisions)
    discoveries[2].events.append(drain_event(caches))
    service.discovery = discoveries[2]
    expect_drained(service, caches)
    service.reload(board=unused_address)
    until(lambda: "refused" in service.lines().lower())
    expect_answers(service.client(), 200)  # by the last list that it received
    service.reload(board=discoveries[1].address)
    until(lambda: discoveries[1].watch_revisions[-1:] == [2])


def test_idle_clients_that_use_all_descriptors_lock_out_neither_discovery_nor_other_clients(run):
    """The program may have 64 descriptors. Discovery comes back and its events take effect, a client with a request is served, and no
    thread uses the CPU in a loop."""
    caches, port = [Cache(lambda want: HIT) for _ in range(2)], free_port("127.0.0.1")
    service = run(*caches, board=f"127.0.0.1:{port}", limits={"cores": 1.0, "memory_mb": 192, "sockets": 64})
    client = service.client()
    resource.prlimit(service.process.pid, resource.RLIMIT_NOFILE, (64, 64))
    idle_sockets = []
    for _ in range(150):
        idle_sockets.append(socket.create_connection(client.sock.getpeername(), timeout=20))
    cpu_before = cpu_seconds(service.process.pid)
    expect_answers(Client(service.address), 1)
    time.sleep(1.0)
    assert cpu_seconds(service.process.pid) - cpu_before < 0.7

    class RestartedDiscovery(DiscoveryStub):
        def __init__(self):
            self.events, self.watch_revisions, self.sent_revisions, self.wait, self.numbers, self.conns = (
                [drain_event(caches)],
                [],
                [],
                0.0,
                True,
                [],
            )
            self.sock = socket.create_server(("127.0.0.1", port))
            threading.Thread(target=self.run, daemon=True).start()

    for _ in range(60):
        idle_sockets.append(socket.create_connection(client.sock.getpeername(), timeout=20))
    service.discovery = RestartedDiscovery()
    expect_drained(service, caches)
    assert "event=accept" not in service.lines()


def test_without_free_descriptors_idle_clients_are_closed_and_accept_does_not_spin(run):
    """The process gets fewer descriptors than its file says, as if something else had taken them."""
    cache = Cache(lambda want: HIT)
    service = run(cache)
    first = service.client()
    expect_answers(first, 1)
    open_descriptors = len(os.listdir(f"/proc/{service.process.pid}/fd"))
    resource.prlimit(service.process.pid, resource.RLIMIT_NOFILE, (open_descriptors + 5, open_descriptors + 5))
    idle_sockets = [socket.create_connection(first.sock.getpeername(), timeout=20) for _ in range(20)]
    until(lambda: "event=accept" in service.lines())
    cpu_before, began = cpu_seconds(service.process.pid), time.monotonic()
    expect_answers(Client(service.address), 100)
    assert time.monotonic() - began < 3
    time.sleep(1.0)
    assert cpu_seconds(service.process.pid) - cpu_before < 0.7 and len(idle_sockets) == 20


def cpu_seconds(pid):
    """CPU seconds that the process has used so far."""
    row = open(f"/proc/{pid}/stat").read().rsplit(")", 1)[1].split()
    return (int(row[11]) + int(row[12])) / os.sysconf("SC_CLK_TCK")
