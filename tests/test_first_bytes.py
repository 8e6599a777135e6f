"""No hop is written by a server list older than what discovery has sent: at a start, in queues, in sockets, after a pause."""

import select
import signal
import socket
import threading
import time

import pytest
from helpers import Cache, DiscoveryStub, Listener, Stalled, clock, endpoint, hold_server_readers, sender, until
from test_path import enqueue_and_write, make_want

from fieldspur.net import resp
from fieldspur.net.discovery import DiscoveryClient, ListChange, ListedServer
from fieldspur.net.nonblocking import receive_poll
from fieldspur.net.router_host import MAX_QUEUED, RouterHost
from fieldspur.net.server_connection import Hop
from fieldspur.permissions import StartupGate
from fieldspur.site import MS


def make_hop(number, source=None, name=None, group=7, purges=0, body=b""):
    name = name or f"{number:016x}"
    return Hop(number, 0, name, "c0", source, make_want(name, body), clock(), 0, group, purges)


# A start.


@pytest.mark.parametrize("wait", [0.0, 0.03, 0.3])
def test_txns_before_the_first_discovery_event_never_use_the_list_of_the_file(run, wait):
    """Found on herd+mass: 43 of 134 restarted routers wrote hops before they had asked discovery, 13 of them to a drained server."""
    drained, other = Cache(), Cache()
    discovery = DiscoveryStub(wait)
    discovery.add_event(2, pool={"index": 2, "snapshot": False, "endpoints": [endpoint("c0", drained.address, status="draining")]})
    service = run(drained, other, notices=discovery)
    clients = [service.early() for _ in range(4)]
    for n, client in enumerate(clients):
        for stream in range(1, 11):
            client.ask(stream, txn=f"{100 * n + stream:016x}", item=f"{100 * n + stream:016x}")
    for client in clients:
        assert sorted(client.get()[1:3] for _ in range(10)) == [(stream, 79) for stream in range(1, 11)]
    assert not drained.wants and len(other.wants) == 40
    assert discovery.watch_revisions == [1]


def test_a_start_does_not_wait_for_a_bare_number_after_the_past_events(run):
    """Found on herd+mass: the bare number after the past events comes up to a second later, and 46 of 336 starts waited for it."""
    drained, other = Cache(), Cache()
    discovery = DiscoveryStub(numbers=False)
    discovery.add_event(2, pool={"endpoints": [endpoint("c0", drained.address, status="draining")]})
    client = run(drained, other, notices=discovery, operators={"start": {"board_wait_s": 15.0}}).early()
    client.ask(1)
    assert client.get()[2] == 79 and not drained.wants


def test_without_discovery_a_start_uses_its_file_after_the_configured_wait_and_answers_in_time(run):
    """Txns with little time are rejected when their share of the wait is over, not at their time limit."""
    cache, discovery = Cache(), DiscoveryStub(60)
    service = run(cache, notices=discovery, operators={"start": {"board_wait_s": 1.0, "most_waiting": 3}})
    client = service.early()
    began = time.monotonic()
    client.ask(1, limit="500")
    client.ask(2)
    client.ask(3)
    client.ask(4)  # one more than may wait
    answers = {}
    for _ in range(4):
        kind, stream, code, fields, _ = client.get()
        answers[stream] = code, round(time.monotonic() - began, 3), "later" in fields
    assert answers[4][0] == 66 and answers[4][1] < 0.15 and answers[4][2]
    assert answers[1][0] == 66 and 0.1 < answers[1][1] < 0.26 and answers[1][2], answers
    assert answers[2][0] == answers[3][0] == 79 and 0.5 < answers[2][1] < 1.4
    assert 'event=open why="no word of the board"' in service.lines()


def test_a_txn_withdrawn_at_the_gate_is_forgotten_and_the_router_reports_not_ready(run):
    cache, discovery = Cache(), DiscoveryStub(0.8)
    client = run(cache, notices=discovery).early()
    client.send(80, 99, b"\0")
    assert client.get()[2] != 79
    client.ask(1)
    client.ask(2)
    client.send(67, 1)
    assert client.get()[:3] == (66, 2, 79) and [w["id"] for w in cache.wants] == ["%016x" % 2]


@pytest.mark.parametrize(
    "now, limit, waiting, until_at",
    [(0, 1000, 0, 400), (0, 10_000, 0, 4000), (900, 100_000, 0, 1000 + 49_500), (0, 1000, 5, 0), (5, 5, 0, 5)],
)
def test_the_gate_holds_a_txn_for_a_part_of_its_time(now, limit, waiting, until_at):
    assert StartupGate(0, 1000, 5).wait_until(now, limit, waiting) == min(until_at, now + int((limit - now) * 0.4))


# Hops that wait on a connection.


def connection_with_full_socket(pool, cache, count=60, **hop_options):
    """Returns a connection to a server that answered one hop and then stopped reading, and the hops that wait on it."""
    first = make_hop(1)
    connection = enqueue_and_write(pool, first)
    until(lambda: pool.host.posted)
    cache.go_on.clear()
    connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    hops = [make_hop(n, body=b"w" * 48_000, **hop_options) for n in range(2, 2 + count)]
    for hop in hops:
        assert enqueue_and_write(pool, hop) is connection
    until(lambda: connection.rest_writer_active)
    return connection, hops


def make_next_hop(hop):
    """The txn's next hop, to another server."""
    next_hop = make_hop(hop.ident, name=hop.name)
    next_hop.number, next_hop.server = 1, "c1"
    return next_hop


@pytest.mark.parametrize("then", ["reads on", "ends"])
def test_the_next_hop_waits_until_a_server_with_a_full_socket_is_told_of_the_cancel_before_it(then):
    """The server has got a part of the first hop. Since a txn has one hop outstanding at a time, the rest of that hop and its cancel are
    written before the next hop."""
    cache, other = Stalled(), Cache(lambda want: None)
    pool = sender(cache.address, c1=other.address)
    connection, hops = connection_with_full_socket(pool, cache)
    partial_hop = connection.partial_hop
    assert connection.unwritten and partial_hop.written_at
    unwritten_hop = next(hop for hop in hops if not hop.written_at)  # not written: the server need not be told
    for hop in (partial_hop, unwritten_hop):
        assert pool.give_up(hop, clock())
    connection.write_queued()
    for hop in (unwritten_hop, partial_hop):
        enqueue_and_write(pool, make_next_hop(hop))
    until(lambda: other.wants)
    assert [want["id"] for want in other.wants] == [unwritten_hop.name] and not pool.waiting_for_cancel[partial_hop.ident].written_at
    if then == "ends":
        connection.shut_down()
    cache.go_on.set()
    until(lambda: len(other.wants) == 2)
    assert other.wants[1]["id"] == partial_hop.name and not pool.undelivered_cancels and not pool.waiting_for_cancel
    if then == "reads on":
        until(lambda: cache.given_up == [partial_hop.name])
        assert partial_hop.name in [want["id"] for want in cache.wants]


def test_a_cancel_that_meets_a_reset_connection_does_not_hold_up_the_next_hop(monkeypatch):
    """Found on roll+brink and split+brink: the cancel met the reset before the reading thread did, and the next hop waited forever."""
    readers_may_run, cache, other = hold_server_readers(monkeypatch), Cache(lambda want: None), Cache(lambda want: None)
    pool = sender(cache.address, c1=other.address)
    hop = make_hop(1)
    connection = enqueue_and_write(pool, hop)
    until(lambda: cache.wants)
    cache.reset()
    until(lambda: any(event & select.POLLHUP for _, event in receive_poll(connection.sock).poll(0)))
    assert pool.give_up(hop, clock())
    connection.write_queued()
    enqueue_and_write(pool, make_next_hop(hop))
    readers_may_run.set()
    until(lambda: other.wants, limit=5)
    assert not pool.undelivered_cancels and not pool.waiting_for_cancel


def test_a_server_that_accepts_nothing_more_gets_a_cancel_at_once_if_the_system_has_space():
    """The system accepts some more than the router writes to it, and cancels may use that: the router holds messages back so that they can
    still be taken back."""
    cache, other = Stalled(), Cache(lambda want: None)
    pool = sender(cache.address, c1=other.address)
    first = make_hop(1)
    connection = enqueue_and_write(pool, first)
    until(lambda: pool.host.posted)
    cache.go_on.clear()
    hops = [make_hop(n, body=b"w" * 2000) for n in range(2, 3000)]
    for hop in hops:
        if connection.rest_writer_active:
            break
        enqueue_and_write(pool, hop)
    last_written = [hop for hop in hops if hop.written_at][-1]
    assert connection.rest_writer_active and not connection.unwritten
    assert pool.give_up(last_written, clock())
    connection.write_queued()
    assert not connection.cancels and not pool.undelivered_cancels and connection.rest_writer_active
    enqueue_and_write(pool, make_next_hop(last_written))
    until(lambda: other.wants)
    assert not cache.given_up
    cache.go_on.set()
    until(lambda: cache.given_up == [last_written.name])
    assert last_written.name in [want["id"] for want in cache.wants]


CHANGE_BY_NAME = {
    "draining": lambda pool: pool.update_endpoint("c0", pool.endpoints["c0"].address, "draining"),
    "gone": lambda pool: pool.update_endpoint("c0", ("", 0), "gone"),
    "source": lambda pool: pool.update_endpoint("p0", ("127.0.0.1", 1), "draining"),
    "purge of the group": lambda pool: pool.purge_received(None, 7),
    "purge of the object": lambda pool: pool.purge_received("0" * 16, -1),
}


@pytest.mark.parametrize("change", CHANGE_BY_NAME)
def test_hops_waiting_for_a_server_that_does_not_read_are_taken_back_once_they_may_not_be_written(change):
    """When the server reads on, it gets the messages that had begun, complete, and nothing else; the other hops never ran."""
    cache = Stalled()
    pool = sender(cache.address)
    pool.update_endpoint("p0", ("127.0.0.1", 1), "up")
    connection, hops = connection_with_full_socket(pool, cache, source="p0")
    begun_hops = [hop for hop in hops if hop.written_at]
    assert 0 < len(begun_hops) < len(hops) - 5
    CHANGE_BY_NAME[change](pool)
    pool.refuse_stale_hops()
    results = {arguments[0]: arguments[1] for arguments in pool.host.posted[1:]}
    assert results == {hop: "unsent" for hop in hops if hop not in begun_hops}
    late_hop = make_hop(900, source="p0")  # decided before the change, queued after it
    pool.enqueue(late_hop)
    cache.go_on.set()
    until(lambda: len(cache.wants) >= 1 + len(begun_hops))
    until(lambda: connection.closed or not connection.rest_writer_active and not connection.queue)
    if late_hop.connection is not None:
        late_hop.connection.write_queued()
    time.sleep(0.05)
    assert [want["id"] for want in cache.wants] == ["%016x" % 1] + [hop.name for hop in begun_hops]
    assert not late_hop.written_at and (late_hop, "unsent") in [arguments[:2] for arguments in pool.host.posted]


def test_a_purge_takes_back_neither_later_decisions_nor_other_groups():
    cache = Stalled()
    pool = sender(cache.address)
    connection, _ = connection_with_full_socket(pool, cache, count=30)
    after_purge, other_group = make_hop(500, purges=1), make_hop(501, group=8)
    other_group.want.obj = "1" * 16
    pool.enqueue(after_purge), pool.enqueue(other_group)
    pool.purge_received(None, 7)
    cache.go_on.set()
    until(lambda: {"%016x" % 500, "%016x" % 501} <= {want["id"] for want in cache.wants})
    assert after_purge.written_at and other_group.written_at


def test_a_hop_cancelled_before_its_first_byte_is_never_named_to_the_server():
    cache = Stalled()
    pool = sender(cache.address)
    connection, hops = connection_with_full_socket(pool, cache)
    unwritten_hops = [hop for hop in hops if not hop.written_at]
    for hop in unwritten_hops:
        assert pool.give_up(hop, clock())
    begun_hops = [hop for hop in hops if hop.written_at]
    assert pool.give_up(begun_hops[0], clock())
    cache.go_on.set()
    until(lambda: cache.given_up)
    until(lambda: not connection.queue)
    assert cache.given_up == [begun_hops[0].name]
    assert {want["id"] for want in cache.wants} == {"%016x" % 1} | {hop.name for hop in begun_hops}


@pytest.mark.parametrize("taken", [0, 1, 150, 499, 500, 501, 999, 1000, 1499])
def test_a_partial_write_requeues_every_message_that_has_not_begun(taken, monkeypatch):
    """Three messages are written at once, and the socket accepts `taken` bytes."""
    silent_server = Listener()
    pool = sender(silent_server.address)
    connection = enqueue_and_write(pool, make_hop(1))
    until(lambda: connection.connected and not connection.queue)
    hops = [make_hop(n) for n in (2, 3, 4)]
    for hop in hops:
        hop.want.body = b"x" * (500 - sum(map(len, resp.encode_want(hop.want))))
    sizes = [sum(map(len, resp.encode_want(hop.want))) for hop in hops]
    accepted_sizes = iter([taken])  # and nothing of the rest
    monkeypatch.setattr("fieldspur.net.server_connection.write_nonblocking", lambda sock, data: [b"".join(data)[next(accepted_sizes, 0) :]])
    connection.rest_writer_active = True  # no other thread writes
    for hop in hops:
        pool.enqueue(hop)
    unwritten, partial_hop, full = connection.write_batch()
    complete_count = sum(sum(sizes[: n + 1]) <= taken for n in range(3))
    begun_count = sum(sum(sizes[:n]) < taken for n in range(3))
    assert full and [bool(hop.written_at) for hop in hops] == [n < begun_count for n in range(3)]
    assert list(connection.queue) == hops[begun_count:]
    assert sum(map(len, unwritten)) == sum(sizes[:begun_count]) - taken and partial_hop is (
        hops[complete_count] if begun_count > complete_count else None
    )


def test_a_large_write_that_has_begun_goes_out_whole_beyond_the_unsent_limit():
    """Found with writes of 47 KB to servers with small windows: written in pieces of UNSENT_LIMIT, each of which wakes a thread, they took
    0.54 of a core instead of 0.34, and p50 rose from 0.3 to 0.9 s. Messages that have not begun wait as before."""
    cache = Stalled()
    pool = sender(cache.address)
    connection = enqueue_and_write(pool, make_hop(1))
    until(lambda: pool.host.posted)
    cache.go_on.clear()
    large_hop = make_hop(2, body=b"w" * 200_000)
    assert enqueue_and_write(pool, large_hop) is connection
    assert large_hop.written_at and not connection.rest_writer_active and not connection.queue
    next_hop = make_hop(3)
    assert enqueue_and_write(pool, next_hop) is connection
    until(lambda: connection.rest_writer_active)
    assert not next_hop.written_at and list(connection.queue) == [next_hop]
    pool.update_endpoint("c0", pool.endpoints["c0"].address, "draining")
    pool.refuse_stale_hops()
    assert pool.host.posted[-1][:2] == (next_hop, "unsent")
    cache.go_on.set()
    until(lambda: len(cache.wants) == 2 and not connection.rest_writer_active)
    assert [want["id"] for want in cache.wants] == ["%016x" % 1, large_hop.name]


def test_a_drain_during_the_connect_gives_the_hop_back_at_once():
    """The server accepts no connection yet. The hop has not begun and can go elsewhere now, not only when the connect fails."""
    full_listener = socket.create_server(("127.0.0.1", 0), backlog=0)
    pending_sockets = [socket.socket() for _ in range(4)]
    for sock in pending_sockets:
        sock.setblocking(False)
        sock.connect_ex(full_listener.getsockname())
    time.sleep(0.05)
    pool = sender("127.0.0.1:%d" % full_listener.getsockname()[1])
    hop = make_hop(1)
    connection = enqueue_and_write(pool, hop)
    time.sleep(0.05)
    assert not connection.connected and not pool.host.posted
    pool.update_endpoint("c0", pool.endpoints["c0"].address, "draining")
    pool.refuse_stale_hops()
    assert [arguments[:2] for arguments in pool.host.posted] == [(hop, "unsent")] and not connection.open_hops
    full_listener.close()
    for sock in pending_sockets:
        sock.close()


# The Router's queue, and a stopped process.


def make_router_host(cache):
    pool = sender(cache.address)
    router_host = RouterHost(pool.site, 1, pool.open_txns, pool.answer_sender, pool)
    router_host.list_received(ListChange(True, (listed_server(cache, "up"),)), at_start=True)
    return pool, router_host


def listed_server(cache, state):
    host, port = cache.address.split(":")
    return ListedServer("c0", (host, int(port)), "east", "std", 0, state, 50.0, 0)


@pytest.mark.parametrize("what", ["list", "purge"])
def test_a_discovery_event_restricts_writes_at_once_however_many_events_are_queued(what):
    from fieldspur.net.discovery import Purge

    cache = Cache(lambda w: None)
    pool, router_host = make_router_host(cache)
    connection = enqueue_and_write(pool, make_hop(1))
    until(lambda: cache.wants)
    with router_host.lock:  # the Router is busy
        for _ in range(MAX_QUEUED - 12):
            router_host.post(lambda: None)
        waiting_hop = make_hop(2)
        assert pool.enqueue(waiting_hop) is connection
        if what == "list":
            router_host.list_received(ListChange(False, (listed_server(cache, "draining"),)))
        else:
            router_host.purge_received(Purge(None, 7, time.time_ns()))
        connection.write_queued()
        assert not waiting_hop.written_at and waiting_hop.ended
        event_names = [getattr(event[0], "__name__", "") for event in router_host.queue]
        assert event_names[-2:] == [
            "apply_list" if what == "list" else "apply_purge",
            "hop_ended",
        ]  # the Router decides again after the event


def test_a_write_waits_for_an_unread_discovery_event():
    """As in a process that was stopped or had no CPU: the discovery thread has not read the event yet."""
    cache, notices = Cache(lambda w: None), DiscoveryStub()
    pool, router_host = make_router_host(cache)
    host, port = notices.address.split(":")
    discovery = pool.discovery = DiscoveryClient((host, int(port)), router_host, 1)
    discovery.last_number = 1
    threading.Thread(target=discovery.run, daemon=True).start()
    until(discovery.caught_up.is_set)
    with discovery.read_lock:  # the discovery thread can't read, with the event in its socket
        notices.add_event(2, pool={"endpoints": [endpoint("c0", cache.address, status="draining")]})
        until(lambda: notices.sent_revisions)
        time.sleep(0.06)
        hop = make_hop(1)
        writer = threading.Thread(target=enqueue_and_write, args=(pool, hop))
        writer.start()
        time.sleep(0.02)
        assert not hop.written_at
    writer.join(5)
    until(lambda: hop.ended)
    assert not hop.written_at and not cache.wants


def test_a_silent_discovery_service_delays_one_write_for_a_moment_and_then_none():
    cache = Cache(lambda w: None)
    pool, router_host = make_router_host(cache)
    discovery = pool.discovery = DiscoveryClient(("127.0.0.1", 1), router_host, 1)
    discovery.last_line_at -= 5
    began = time.monotonic()
    enqueue_and_write(pool, make_hop(1))
    until(lambda: cache.wants)
    first, began = time.monotonic() - began, time.monotonic()
    time.sleep(0.06)
    enqueue_and_write(pool, make_hop(2))
    until(lambda: len(cache.wants) == 2)
    assert 0.2 < first < 2 and time.monotonic() - began < 0.2


@pytest.mark.parametrize("pause", [0.4, 2.5])
def test_a_process_stopped_between_a_drain_and_its_writes_obeys_the_drain(run, pause):
    """Requests arrive while it is stopped. When it continues, it may read them and the drain in any order."""
    drained, other = Cache(), Cache()
    service = run(drained, other)
    clients = [service.client() for _ in range(6)]
    for client in clients:
        client.ask(1, txn=f"{id(client):016x}", item=f"{id(client):016x}")
        assert client.get()[2] == 79
    service.process.send_signal(signal.SIGSTOP)
    before = len(drained.wants)
    service.discovery.add_event(2, pool={"endpoints": [endpoint("c0", drained.address, status="draining")]})
    service.discovery.add_event(3, flush={"collection": 7, "ms": time.time_ns() // MS})
    until(lambda: service.discovery.sent_revisions[-2:] == [2, 3])
    for n, client in enumerate(clients):
        for stream in range(2, 12):
            client.ask(stream, txn=f"{1000 * n + stream:016x}", item=f"{1000 * n + stream:016x}", limit="60000")
    time.sleep(pause)
    service.process.send_signal(signal.SIGCONT)
    for client in clients:
        assert {client.get()[2] for _ in range(10)} == {79}
    last_wants = other.wants[-60:]
    assert len(drained.wants) == before and all("within" in want for want in last_wants)


def test_all_events_of_one_discovery_read_are_applied_before_that_thread_writes():
    """Found by the test above on a busy machine: after the first of two events of one read, a drain and a purge, the discovery thread ran
    the Router and wrote hops that took account of the drain only."""
    cache, notices = Cache(lambda w: None), DiscoveryStub()
    pool, router_host = make_router_host(cache)
    host, port = notices.address.split(":")
    discovery = pool.discovery = DiscoveryClient((host, int(port)), router_host, 1)
    discovery.last_number = 1
    observed = []
    threading.Thread(target=discovery.run, daemon=True).start()
    until(discovery.caught_up.is_set)
    with discovery.read_lock:
        notices.add_event(2, pool={"endpoints": [endpoint("c1", cache.address)]})
        notices.add_event(3, flush={"collection": 7, "ms": time.time_ns() // MS})
        until(lambda: notices.sent_revisions == [2, 3])
        router_host.queue.append((lambda: observed.append((pool.rules.purges, "c1" in pool.endpoints)), (), clock()))
    until(lambda: observed)
    assert observed == [(1, True)]
