"""Races between two events, forced into one order: clients that leave, closes, shutdown, retries, watches.

The races are listed in docs/design/crossings.md."""

import gc
import os
import select
import signal
import socket
import threading
import time
import weakref
from types import SimpleNamespace

import pytest
from helpers import (
    Cache,
    Client,
    DiscoveryStub,
    Referee,
    SettableClock,
    Stalled,
    clock,
    hold_server_readers,
    pause,
    sender,
    settings,
    until,
    wait_for_peer_state,
)

from fieldspur.decide import MS, SECOND
from fieldspur.net import resp
from fieldspur.net.client_listener import ClientListener, encode
from fieldspur.net.client_writer import CLIENT_LEFT, UNREAD_BYTES, AnswerSender, ClientWriter
from fieldspur.net.connection_pool import CLIENT_CHECK_AFTER
from fieldspur.net.nonblocking import receive_poll
from fieldspur.net.open_txns import Answer, OpenTxns, Txn
from fieldspur.net.server_connection import Hop, ServerConnection

ACK = ("ACK", "entity=e,issued=1,tell=TCP_HIT", b"bytes")


def loopback_pair():
    """Both ends of a TCP connection on loopback. The system reports less about the peer of a Unix socket."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        client_sock = socket.create_connection(listener.getsockname())
        return listener.accept()[0], client_sock


def open_txn_with_hop(pool, client_writer, ident=5, stream=1, taken_ms_ago=0, rule="media"):
    """Adds an open txn that was taken `taken_ms_ago`, and returns a hop of it that is not written yet."""
    now = clock()
    txn = Txn(
        ident,
        f"{ident:016x}",
        0,
        rule,
        "a" * 16,
        0,
        1,
        1.0,
        None,
        None,
        b"",
        now - taken_ms_ago * MS,
        now + 3000 * MS,
        client_writer,
        stream,
        1,
    )
    pool.open_txns.add(txn)
    assert client_writer.open_stream(stream, ident)
    want = resp.Want(txn.name, rule, txn.obj, 0, 3000, None, None, 0, 0, False, False, True, None, b"")
    return Hop(ident, 0, txn.name, "c0", None, want, now)


def service_with_two_clients(run):
    """A router that is connected to its one cache, with two clients."""
    cache = Cache(lambda want: None)
    service = run(cache)
    client, other = service.client(), service.client()
    other.ask(98)
    until(lambda: cache.wants)
    return cache, service, client, other


def staying_client_writer(pool):
    """A client writer whose client does not leave; `client_sock` is the client's end."""
    router_sock, client_sock = loopback_pair()
    client_writer = ClientWriter(router_sock, encode, pool.answer_sender)
    client_writer.client_sock = client_sock
    return client_writer


# Clients that leave.


def test_a_hop_of_a_withdrawn_txn_is_not_written_even_before_the_router_is_notified():
    """The reader removes the txn from the open txns. The Router is notified later, and may have handed the hop to a connection by then."""
    cache, (router_sock, client_sock) = Cache(), loopback_pair()
    pool = sender(cache.address, open_txns=OpenTxns())
    hop = open_txn_with_hop(pool, ClientWriter(router_sock, encode, pool.answer_sender))
    pool.open_txns.withdraw(5)
    pool.enqueue(hop).write_queued()
    assert [event[:2] for event in until(lambda: pool.host.posted)] == [(hop, "unsent")] and not hop.written_at and not cache.wants
    router_sock.close(), client_sock.close()


@pytest.mark.parametrize("departure", ["closes", "resets", "closes behind bytes", "half-closes"])
def test_a_hop_is_not_written_if_its_client_s_close_is_still_unread(departure):
    """A txn has waited at the startup gate, behind a leader, for a connection or for a retry. Its reader has not run since then."""
    cache, (router_sock, client_sock) = Cache(), loopback_pair()
    pool = sender(cache.address, open_txns=OpenTxns())
    hop = open_txn_with_hop(pool, ClientWriter(router_sock, encode, pool.answer_sender), taken_ms_ago=50)
    if departure == "resets":
        client_sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    if departure == "closes behind bytes":
        client_sock.sendall(b"half a frame")
    client_sock.shutdown(socket.SHUT_WR) if departure == "half-closes" else client_sock.close()
    poll = select.poll()
    poll.register(router_sock, select.POLLIN)
    assert poll.poll(2000)
    connection = pool.enqueue(hop)
    connection.write_queued()
    until(lambda: any(event[:2] == (hop, "unsent") for event in pool.host.posted))
    assert not hop.written_at and not cache.wants and 5 not in pool.open_txns.by_id
    router_sock.close(), client_sock.close()


def test_a_hop_waits_until_the_reader_has_processed_its_client_s_unread_bytes():
    """A cancel is already in the socket. The reader processes it while the hop waits, so the hop is not written."""
    cache, (router_sock, client_sock) = Cache(), loopback_pair()
    pool = sender(cache.address, open_txns=OpenTxns())
    client_writer = ClientWriter(router_sock, encode, pool.answer_sender)
    hop = open_txn_with_hop(pool, client_writer, taken_ms_ago=50)
    client_sock.sendall(b"\0\0\0\5C\0\0\0\1")
    connection = pool.enqueue(hop)
    until(lambda: connection.connected)
    connection.write_queued()
    assert not hop.written_at and not pool.host.posted and connection.open_hops
    client_writer.release_waiting()
    assert client_writer.waiting_hops == [hop]  # the reader has processed a read, but not the bytes that were found
    client_writer.processed_bytes += len(router_sock.recv(100))  # the reader processes the bytes
    pool.open_txns.withdraw(5)
    client_writer.release_waiting()
    assert [event[:2] for event in pool.host.posted] == [(hop, "unsent")] and not cache.wants and not client_writer.waiting_hops
    router_sock.close(), client_sock.close()


def test_a_client_that_sends_without_a_break_gets_its_hop_after_one_reader_turn_and_delays_no_other():
    """Found in the laboratory: a writer waited for the reader of each such client, and the hops of all others waited behind it."""
    cache, (router_sock, client_sock) = Cache(), loopback_pair()
    pool = sender(cache.address, open_txns=OpenTxns())
    client_writer = ClientWriter(router_sock, encode, pool.answer_sender)
    hop, other_hop = (
        open_txn_with_hop(pool, client_writer, taken_ms_ago=50),
        open_txn_with_hop(pool, staying_client_writer(pool), ident=6, taken_ms_ago=50),
    )
    client_sock.sendall(b"more and more")
    connection = pool.enqueue(hop)
    until(lambda: connection.connected)
    assert pool.enqueue(other_hop) is connection
    connection.write_queued()
    until(lambda: cache.wants)
    assert other_hop.written_at and not hop.written_at
    client_sock.sendall(b"and on")
    client_writer.processed_bytes += len(router_sock.recv(4))
    client_writer.release_waiting()
    assert not hop.written_at
    client_writer.processed_bytes += len(router_sock.recv(9))  # the bytes that the check found; the rest arrived later
    client_writer.release_waiting()
    until(lambda: len(cache.wants) == 2)
    assert hop.written_at
    router_sock.close(), client_sock.close()


def test_checking_a_client_while_its_reader_polls_the_socket_raises_nothing(monkeypatch):
    """A poll object raises an error if a second thread uses it during a poll. A reader that got this error ended the program."""
    polling, may_return, real_poll = threading.Event(), threading.Event(), select.poll

    class Poll:
        def __init__(self):
            self.real, self.busy = real_poll(), False

        def register(self, *arguments):
            self.real.register(*arguments)

        def poll(self, timeout):
            if self.busy:
                raise RuntimeError("concurrent poll() invocation")
            self.busy = True
            if threading.current_thread().name == "looker":
                polling.set()
                may_return.wait(10)
            events = self.real.poll(timeout)
            self.busy = False
            return events

    monkeypatch.setattr(select, "poll", Poll)
    client_listener = make_listener()
    remote_client = connect_client(client_listener)
    client = next(iter(client_listener.clients))
    checker = threading.Thread(target=client.client_writer.check_client, args=(SimpleNamespace(reader_wait_began=False),), name="looker")
    checker.start()
    assert polling.wait(10)
    remote_client.sock.sendall(b"\0\0\0")  # half a frame, so that handling it does not need the lock that the check holds
    until(lambda: client.unfinished_bytes)
    may_return.set()
    checker.join()
    client_listener.listening_socket.close()


def test_a_hop_that_starts_to_wait_just_after_the_reader_has_processed_the_bytes_is_released(monkeypatch):
    """The check finds bytes, and the reader has processed them and waits for more before the hop is put among those that wait."""
    client_listener, released = make_listener(), []
    remote_client = connect_client(client_listener)
    client = next(iter(client_listener.clients))

    class PollThatFindsBytes:
        def poll(self, timeout):
            remote_client.sock.sendall(b"\0\0\0")  # half a frame, so that handling it does not need the lock that the check holds
            until(lambda: client.unfinished_bytes)
            time.sleep(0.1)  # usually enough for the reader to wait for bytes again; the test holds without it
            return [(client.sock.fileno(), select.POLLIN)]

    monkeypatch.setattr(client.client_writer, "poller", PollThatFindsBytes())
    hop = SimpleNamespace(reader_wait_began=False, connection=SimpleNamespace(requeue=released.append))
    assert client.client_writer.check_client(hop) == UNREAD_BYTES
    until(lambda: released == [hop], limit=2)
    client_listener.listening_socket.close()


@pytest.mark.parametrize("bytes_are", ["unread", "in its reader's hand"])
@pytest.mark.parametrize("sent_by_client", ["its cancel", "another frame"])
def test_an_answer_past_its_time_limit_waits_until_its_client_s_bytes_are_processed(sent_by_client, bytes_are):
    """The process was stopped or had no core: the server's answer, the client's cancel and the time limit are all due at once."""
    router_sock, client_sock = loopback_pair()
    answer_sender = AnswerSender(1 << 20)
    client_writer = ClientWriter(router_sock, encode, answer_sender)
    txn = Txn(5, "%016x" % 5, 0, "media", "a" * 16, 0, 1, 1.0, None, None, b"", 0, clock() - 100 * MS, client_writer, 1)
    assert client_writer.open_stream(1, 5)
    client_sock.sendall(b"\0\0\0\5C\0\0\0\1")
    select.select([router_sock], [], [])
    if bytes_are == "in its reader's hand":
        router_sock.recv(100)
    answer_sender.answer(txn, Answer("completed", body=memoryview(b"x" * 70_000)))
    assert not select.select([client_sock], [], [], 0)[0] and answer_sender.held_bytes > 70_000 and client_writer.streams
    client_writer.processed_bytes += 9  # the reader processes the bytes
    if bytes_are == "unread":
        router_sock.recv(100)
    if sent_by_client == "its cancel":
        del client_writer.streams[1]
    client_writer.release_waiting()
    assert bool(select.select([client_sock], [], [], 0)[0]) == (sent_by_client != "its cancel")
    assert not answer_sender.held_bytes and not client_writer.streams and not client_writer.late_answers
    router_sock.close(), client_sock.close()


def test_a_router_that_was_stopped_past_a_time_limit_does_not_answer_txns_cancelled_meanwhile(run):
    """When the router goes on, its timers are due and the servers' answers and the cancels are in its sockets. Any thread may run first."""
    cache, service, client, other = service_with_two_clients(run)
    for stream in range(1, 9):
        client.ask(stream, limit="400")
    until(lambda: len(cache.wants) == 9)
    pause(service.process)
    time.sleep(0.5)
    for stream in range(1, 5):
        cache.answer("%016x" % stream, *ACK)  # sent first, so that its reader is woken first
    for stream in range(1, 9):
        client.send(67, stream)
    client.send(80, 1 << 30, b"\0")  # asks whether the router is ready; read after the cancels
    os.kill(service.process.pid, signal.SIGCONT)
    assert client.get()[:2] == (81, 1 << 30)
    client.sock.shutdown(socket.SHUT_WR)
    assert client.get() is None


@pytest.mark.parametrize("request_count", [1, 32])
def test_requests_of_a_client_that_has_already_closed_are_not_forwarded(run, request_count):
    """The client sends and closes while the router is stopped. When the router goes on, the close lies behind the requests."""
    cache, service, client, other = service_with_two_clients(run)
    pause(service.process)
    for stream in range(1, request_count + 1):
        client.ask(stream)
    client.sock.shutdown(socket.SHUT_WR)
    wait_for_peer_state(client.sock, 8)
    other.ask(99)
    os.kill(service.process.pid, signal.SIGCONT)
    until(lambda: "%016x" % 99 in cache.held)
    cache.answer("%016x" % 99, *ACK)
    assert other.get()[1:3] == (99, 79)
    assert [want["id"] for want in cache.wants] == ["%016x" % 98, "%016x" % 99]


def test_a_request_that_is_followed_directly_by_its_cancel_is_not_forwarded(run):
    """The request is longer than one read, so the cancel arrives with the next read. Both are in the socket when the router goes on."""
    cache, service, client, other = service_with_two_clients(run)
    pause(service.process)
    client.ask(1, b"w" * 48_000, verb="checkout", unique="k1")
    client.send(67, 1)
    client.ask(2)
    os.kill(service.process.pid, signal.SIGCONT)
    until(lambda: "%016x" % 2 in cache.held)
    cache.answer("%016x" % 2, *ACK)
    assert client.get()[1:3] == (2, 79)
    assert [want["id"] for want in cache.wants] == ["%016x" % 98, "%016x" % 2]


def test_a_leader_that_is_withdrawn_hands_over_to_one_remaining_waiter():
    referee = Referee()
    for ident in (1, 2, 3, 4):
        referee.arrive(ident)
    referee.withdraw(2)
    referee.withdraw(1)
    assert [len(referee.hops(ident)) for ident in (1, 2, 3, 4)] == [1, 0, 1, 0]
    referee.withdraw(3)
    referee.withdraw(4)
    assert [len(referee.hops(ident)) for ident in (1, 2, 3, 4)] == [1, 0, 1, 1] and not referee.router.collapsing.flights


def test_many_clients_that_send_and_leave_cost_the_servers_nothing_and_delay_others_little(run):
    """1,500 requests on 300 connections, all closed by the time the router goes on."""
    cache = Cache()
    service = run(cache, limits={"cores": 1.0, "memory_mb": 192, "sockets": 1024})
    other = service.client()
    pause(service.process)
    for number in range(300):
        leaving = Client(service.address)
        for stream in range(1, 6):
            leaving.ask(stream, txn=f"{1000 * number + stream:016x}")
        leaving.file.close(), leaving.sock.shutdown(socket.SHUT_WR)
    wait_for_peer_state(leaving.sock, 8)  # waits for the close of the last client
    other.ask(99)
    resumed_at = time.monotonic()
    os.kill(service.process.pid, signal.SIGCONT)
    assert other.get()[1:3] == (99, 79) and time.monotonic() - resumed_at < 2
    until(lambda: "event=counts" in service.lines())
    assert [want["id"] for want in cache.wants] == ["%016x" % 99]


def test_no_further_hop_is_written_for_a_client_that_left_while_the_router_was_stopped(run):
    """While the router is stopped, a cache answers with an error and the client closes. When the router goes on, no second hop is
    written, whichever of its threads runs first."""
    caches = [Cache(lambda want: None) for _ in range(3)]
    service = run(*caches)
    client = service.client()
    client.ask(1)
    first_cache = until(lambda: next((cache for cache in caches if cache.wants), None))
    pause(service.process)
    client.sock.shutdown(socket.SHUT_WR)
    wait_for_peer_state(client.sock, 8)
    first_cache.answer("%016x" % 1, "EIO")
    time.sleep(2 * CLIENT_CHECK_AFTER / SECOND)  # a txn that was taken a moment ago is not checked for a client that left
    os.kill(service.process.pid, signal.SIGCONT)
    later_client = service.client()
    later_client.ask(7)
    serving_cache = until(lambda: next((c for c in caches for w in c.wants if w["id"] == "%016x" % 7), None))
    serving_cache.answer("%016x" % 7, *ACK)
    assert later_client.get()[1:3] == (7, 79)
    assert sum(want["id"] == "%016x" % 1 for cache in caches for want in cache.wants) == 1


# Closing clients.


def make_listener(max_clients=8):
    """A client listener without its accept thread, so that a test decides when a connection is accepted.

    `admission.streams` lists the streams of the requests that were admitted."""
    open_txns, answer_sender = OpenTxns(), AnswerSender(1 << 20)
    route = SimpleNamespace(start_batch=lambda: None, finish_batch=lambda: None, post=lambda *event: None, txn_withdrawn=None)
    admission = SimpleNamespace(streams=[], retry_after_ms=0)
    admission.handle_request = lambda request, client_writer, received_at: (
        client_writer.open_stream(request.stream, 7) and not admission.streams.append(request.stream)
    )
    return ClientListener(("127.0.0.1", 0), max_clients, 1 << 20, 1_000_000_000, admission, open_txns, route, answer_sender)


def connect_client(client_listener, accept=True):
    """A client that is connected to the listener; its connection is accepted here, or left in the backlog."""
    client = Client("%s:%d" % client_listener.listening_socket.getsockname())
    if accept:
        client_listener.add_connection(client_listener.listening_socket.accept()[0])
    return client


def test_a_request_that_arrives_between_the_idle_check_and_the_shut_is_not_admitted_and_causes_no_reset():
    """The client has not read its answer yet. The connection is shut as idle, and a request of the client crosses the shut."""
    client_listener = make_listener()
    remote_client = connect_client(client_listener)
    client = next(iter(client_listener.clients))
    client.client_writer.open_stream(1, 5)
    assert client.client_writer.answer(1, Answer("completed", body=b"late reader"))
    assert not client.has_unread_bytes() and client.client_writer.shut_if_idle()
    remote_client.ask(2)
    until(lambda: select.select([remote_client.sock], [], [], 0)[0])
    time.sleep(0.02)  # for the request to arrive, and a reset that it might cause
    assert remote_client.get()[1:3] == (1, 79) and remote_client.get() is None  # a close and no reset
    remote_client.sock.shutdown(socket.SHUT_WR)
    until(lambda: not client_listener.clients)
    assert not client_listener.admission.streams
    client_listener.listening_socket.close()


def test_a_client_that_does_not_close_after_the_router_s_shut_is_cut_off_in_bounded_time():
    client_listener = make_listener()
    remote_client = connect_client(client_listener)
    client = next(iter(client_listener.clients))
    assert client.client_writer.shut_if_idle() and client_listener.clients
    client_listener.sweep(client.client_writer.shut_at + 0.4)
    assert client_listener.clients
    client_listener.sweep(client.client_writer.shut_at + 0.6)
    until(lambda: not client_listener.clients)
    assert remote_client.get() is None
    client_listener.listening_socket.close()


def test_connections_count_until_their_descriptor_is_free_and_idle_ones_are_closed_for_new_ones():
    client_listener = make_listener(max_clients=8)
    # The sockets of connections that no longer count have to be closed; `seen_socks` has those of all connections so far.
    idle_clients, most_at_a_time, seen_socks = [], 0, set()
    for _ in range(60):
        idle_clients.append(connect_client(client_listener))
        most_at_a_time = max(most_at_a_time, len(client_listener.clients))
        assert most_at_a_time <= 8 + client_listener.spare_descriptors and all(
            sock.fileno() < 0 for sock in seen_socks - {c.sock for c in client_listener.clients}
        )
        seen_socks |= {client.sock for client in client_listener.clients}
    assert most_at_a_time > 8 and sum(client.sock.fileno() >= 0 for client in idle_clients) == 60
    client_listener.listening_socket.close()


def test_a_connection_whose_socket_options_can_not_be_set_ends_alone():
    """Some systems refuse options for a connection that was reset in the backlog. The accept thread must not end because of it."""

    class ResetSocket(socket.socket):
        def setsockopt(self, *arguments):
            raise OSError("reset")

    client_listener, sock = make_listener(), ResetSocket()
    client_listener.add_connection(sock)
    assert sock.fileno() < 0 and not client_listener.clients
    client_listener.listening_socket.close()


def test_a_reader_that_ends_just_after_the_draining_thread_frees_the_descriptor_once():
    """The reader ends between the last check of the draining thread, which found nothing queued and no end, and that thread's return."""
    router_sock, client_sock = loopback_pair()
    client_writer, freed_descriptors = ClientWriter(router_sock, encode, AnswerSender(1 << 20)), []
    client_writer.on_descriptor_freed = lambda: freed_descriptors.append(router_sock.fileno())

    class Lock:
        """Ends the reader as soon as the draining thread, having stopped, releases it."""

        def __init__(self):
            self.real = threading.Lock()

        def __enter__(self):
            self.real.acquire()

        def __exit__(self, *arguments):
            self.real.release()
            if not client_writer.draining and not client_writer.ended:
                client_writer.reader_ended()

    client_writer.write_queue.append(b"x")
    client_writer.draining, client_writer.lock = True, Lock()
    client_writer.drain()
    assert freed_descriptors == [-1] and client_sock.recv(9) == b"x"
    client_sock.close()


def test_a_hop_is_not_written_if_the_reader_withdraws_its_txn_during_the_check(monkeypatch):
    """The thread that writes sees that the client left, but the reader removes the txn from the open txns first."""
    cache = Cache()
    pool = sender(cache.address, open_txns=OpenTxns())
    client_writer = staying_client_writer(pool)
    hop = open_txn_with_hop(pool, client_writer, taken_ms_ago=50)
    monkeypatch.setattr(client_writer, "check_client", lambda hop: (pool.open_txns.withdraw(5), CLIENT_LEFT)[1])
    connection = pool.enqueue(hop)
    until(lambda: connection.connected)
    connection.write_queued()
    assert [event[:2] for event in pool.host.posted] == [(hop, "unsent")] and not hop.written_at and not cache.wants


def test_a_closed_client_connection_leaves_no_reference_cycle():
    """Objects that only the garbage collector can free stay for minutes, because it rarely runs."""
    client_listener = make_listener()
    remote_client = connect_client(client_listener)
    weak_connection = weakref.ref(next(iter(client_listener.clients)))
    gc.disable()
    try:
        remote_client.file.close(), remote_client.sock.close()
        until(lambda: not client_listener.clients and weak_connection() is None, limit=5)
    finally:
        gc.enable()
        client_listener.listening_socket.close()


def test_a_further_client_is_closed_at_once_if_all_connections_have_open_txns():
    client_listener = make_listener(max_clients=2)
    remote_clients = [connect_client(client_listener), connect_client(client_listener)]
    for client in remote_clients:
        client.ask(1)
    until(lambda: all(client.client_writer.streams for client in client_listener.clients))
    connected_at = time.monotonic()
    assert (
        connect_client(client_listener).get() is None
        and time.monotonic() - connected_at < 0.5
        and len(client_listener.clients) == len(remote_clients)
    )
    client_listener.listening_socket.close()


# Shutdown.


def test_a_connection_in_the_backlog_as_the_listener_closes_is_accepted():
    client_listener = make_listener()
    remote_client = connect_client(client_listener, accept=False)
    remote_client.ask(1)
    client_listener.stop_listening()
    until(lambda: client_listener.admission.streams == [1])
    assert not client_listener.shut_connections(late=False)  # an answer is owed on it
    next(iter(client_listener.clients)).client_writer.answer(1, Answer("completed", body=b"x"))
    assert remote_client.get()[1:3] == (1, 79) and remote_client.get() is None and client_listener.shut_connections(late=False)


def test_a_connection_with_an_unfinished_request_is_shut_only_when_it_is_late():
    client_listener = make_listener()
    remote_client = connect_client(client_listener)
    client = next(iter(client_listener.clients))
    remote_client.sock.sendall(b"\0\0\0\5")
    until(lambda: client.unfinished_bytes)
    assert not client_listener.shut_connections(late=False) and not client.client_writer.shut_at
    assert client_listener.shut_connections(late=True) and client.client_writer.shut_at and remote_client.get() is None
    client_listener.listening_socket.close()


def test_a_request_read_after_the_router_has_shut_its_side_is_not_forwarded(run):
    """An idle client sends at the moment at which the router shuts its connection. The router stays for the answer to another client."""
    cache = Cache(lambda want: None)
    service = run(cache)
    busy, resting = service.client(), service.client()
    busy.ask(1)
    until(lambda: cache.wants)
    service.process.terminate()
    assert resting.get()[0] == 90 and resting.get() is None  # the router has shut its side, and the connection is half open
    resting.ask(2)
    time.sleep(0.3)
    cache.answer("%016x" % 1, *ACK)
    assert busy.get()[0] == 90 and busy.get()[1:3] == (1, 79)
    assert service.process.wait(20) == 0 and {want["id"] for want in cache.wants} == {"%016x" % 1}


def test_a_request_that_arrives_during_the_shutdown_is_answered_before_the_program_is_killed(run):
    """SIGKILL may come 3.7 s after SIGTERM, whatever the longest time limit is; here it is 5 s."""
    cache = Cache(lambda want: None)
    service = run(cache)
    client = service.client()
    client.ask(1, limit="5000", ram="5600")  # an object so large that its server may take this long to answer
    until(lambda: cache.wants)
    terminated_at = time.monotonic()
    service.process.terminate()
    assert client.get()[0] == 90
    while time.monotonic() - terminated_at < 1:
        time.sleep(0.01)
    client.ask(2, limit="5000", ram="5600")
    until(lambda: len(cache.wants) == 2 or select.select([client.sock], [], [], 0)[0])
    assert len(cache.wants) == 2, client.get()
    assert {client.get()[1:3] for _ in range(2)} == {(1, 66), (2, 66)} and time.monotonic() - terminated_at < 3.7
    assert client.get() is None and service.process.wait(20) == 0


def test_txns_whose_time_limit_ends_after_the_kill_are_answered_before_it(run):
    """The txns arrive before SIGTERM, their time limit ends after the SIGKILL that may come 3.7 s later, and their server hangs."""
    cache = Cache(lambda want: None)
    service = run(cache)
    client = service.client()
    client.ask(1, limit="5000", ram="5600")  # an object so large that its server may take this long to answer
    client.ask(2, limit="5000", ram="5600", item="%016x" % 1)
    client.ask(3, limit="3000", ram="5600", verb="checkout", unique="k3")
    until(lambda: len(cache.wants) == 3)
    terminated_at = time.monotonic()
    service.process.terminate()
    assert client.get()[0] == 90
    assert {client.get()[1:3] for _ in range(3)} == {(1, 66), (2, 66), (3, 66)}
    assert 2.0 < time.monotonic() - terminated_at < 3.7 and client.get() is None and service.process.wait(20) == 0


def test_sigterm_during_a_reload_ends_the_program_after_the_reload(run):
    """The settings file is a pipe that the test writes, so that the signal arrives while the router reads it."""
    service = run(Cache())
    service.client()
    text = service.path.read_text()
    service.path.unlink()
    os.mkfifo(service.path)
    service.process.send_signal(signal.SIGHUP)
    with open(service.path, "w") as pipe:  # returns once the router opens the pipe to read
        service.process.send_signal(signal.SIGTERM)
        pipe.write(text)
    assert service.process.wait(20) == 0
    lines = service.lines()
    assert lines.index("event=reloaded") < lines.index("event=ending") < lines.index("event=ended") and lines.count("event=ending") == 1


def test_sigterm_during_the_start_ends_the_program_before_it_is_ready(run):
    service = run(Cache(), notices=DiscoveryStub(wait=60), operators={"start": {"board_wait_s": 5}})
    client = service.early()
    client.send(80, 1 << 30, b"\0")
    # The router replies that it is not ready. It has accepted the connection by then: one in the backlog would get no notice.
    assert client.get()[:3] == (81, 1 << 30, 66)
    client.ask(1, limit="500")
    terminated_at = time.monotonic()
    service.process.terminate()
    assert {client.get()[:3] for _ in range(2)} == {(90, 0, None), (66, 1, 66)}
    for further_signal in (signal.SIGHUP, signal.SIGTERM):
        service.process.send_signal(further_signal)
    assert service.process.wait(20) == 0 and time.monotonic() - terminated_at < 3 and "event=ready" not in service.lines()


# Connections to cache servers, and repeats.


def keyed_retry_hop(pool, go_by, ident=5, body=b""):
    """A hop that repeats a keyed txn and has to be written by `go_by`."""
    hop = open_txn_with_hop(pool, staying_client_writer(pool), ident=ident, rule="checkout")
    hop.want.key, hop.want.body, hop.go_by, hop.number = "k" * 16, body, go_by, 1
    return hop


@pytest.mark.parametrize("in_time", [True, False])
def test_a_repeat_that_waited_for_its_connection_is_written_only_within_the_repeat_window(may_connect, in_time):
    cache = Cache()
    pool = sender(cache.address, open_txns=OpenTxns())
    hop = keyed_retry_hop(pool, clock() + (20_000 if in_time else 30) * MS)
    pool.enqueue(hop).write_queued()
    while not in_time and clock() <= hop.go_by:
        time.sleep(0.005)
    may_connect.set()
    assert until(lambda: pool.host.posted)[0][:2] == (hop, "completed" if in_time else "unsent")
    assert bool(hop.written_at) == in_time == bool(cache.wants)


def test_a_repeat_that_is_partly_written_is_cut_off_before_the_repeat_window_ends():
    """The server reads a part of the retry, and the rest only later. It must not get all of it after the repeat window."""
    cache = Stalled()
    pool = sender(cache.address, open_txns=OpenTxns())
    connection = pool.enqueue(keyed_retry_hop(pool, clock() + 20_000 * MS))
    connection.write_queued()
    until(lambda: pool.host.posted)
    cache.go_on.clear()
    connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    hop = keyed_retry_hop(pool, clock() + 300 * MS, 6, b"w" * 1_000_000)
    assert pool.enqueue(hop) is connection
    connection.write_queued()
    until(lambda: connection.rest_writer_active)
    until(lambda: len(pool.host.posted) == 2, limit=5)
    assert pool.host.posted[1][:2] == (hop, "unsent") and clock() >= hop.go_by - 2 * MS  # waits are in whole ms
    cache.go_on.set()
    until(lambda: connection.closed)
    time.sleep(0.05)
    assert len(cache.wants) == 1


@pytest.mark.parametrize("how", ["closes", "resets"])
def test_no_hop_is_written_to_a_connection_that_its_server_ended_while_it_was_idle(monkeypatch, how):
    """The close is in the socket, but the connection's reader has not run since. The hop never ran, so it may go to another server."""
    readers_may_run, cache = hold_server_readers(monkeypatch), Cache(lambda want: None)
    pool = sender(cache.address, open_txns=OpenTxns())
    hop = open_txn_with_hop(pool, staying_client_writer(pool))
    first_connection = ServerConnection(pool, "c0", pool.endpoints["c0"].address)
    pool.connections["c0"] = [first_connection]
    until(lambda: first_connection.connected and cache.conns)
    cache.reset() if how == "resets" else cache.conns[0].shutdown(socket.SHUT_WR)
    until(lambda: receive_poll(first_connection.sock).poll(0))
    first_connection.last_received_at = clock() - 50 * MS
    assert pool.enqueue(hop) is first_connection
    first_connection.write_queued()
    assert [event[:2] for event in pool.host.posted] == [(hop, "unsent")] and not hop.written_at
    second_hop = open_txn_with_hop(pool, staying_client_writer(pool), ident=6)
    second_connection = pool.enqueue(second_hop)
    assert second_connection is not first_connection
    until(lambda: second_connection.connected)
    second_connection.write_queued()
    until(lambda: cache.wants)
    assert [want["id"] for want in cache.wants] == [second_hop.name]
    readers_may_run.set()


@pytest.mark.parametrize("seconds", [300, -300])
def test_setting_the_system_clock_by_minutes_changes_no_time_limit(run, tmp_path, seconds):
    """An operator or a time server sets the system clock while a txn waits for a server that hangs."""
    clock, hanging_name = SettableClock(tmp_path / "clock"), "%016x" % 1
    cache = Cache(lambda want: None if want["id"] == hanging_name else ACK)
    service = run(cache, env=clock.env)
    client = service.client()
    client.ask(9)
    assert client.get()[1:3] == (9, 79)
    client.ask(1, limit="800")
    until(lambda: len(cache.wants) == 2)
    clock_set_at = time.monotonic()
    clock.set(seconds)
    assert client.get()[1] == 1 and 0.5 < time.monotonic() - clock_set_at < 1.0
    service.discovery.add_event(2, flush={"collection": 7, "ms": int(time.time() * 1000)})  # by the clock of the discovery service
    until(lambda: service.discovery.sent_revisions)
    for stream in range(2, 6):
        client.ask(stream)
    assert {client.get()[1:3] for _ in range(4)} == {(stream, 79) for stream in range(2, 6)}


def test_the_program_ends_before_it_may_be_killed_even_if_its_clients_stay(run):
    """Found by the soak (seed 1057): with short time limits the kill may come before the wait for clients to close has ended."""
    short_limits = settings()
    for class_row in short_limits["classes"]:
        class_row["hardLimitUs"] = 1_000_000
    service = run(cache := Cache(lambda want: None), settings=short_limits)
    client, _idle_client = service.client(), service.client()
    client.ask(1, limit="1000")
    until(lambda: cache.wants)
    terminated_at = time.monotonic()
    service.process.terminate()
    time.sleep(0.65)
    client.ask(2, limit="1000")  # one of the last requests that the router has to admit
    assert service.process.wait(5) == 0 and time.monotonic() - terminated_at < 1.0 + 0.7
