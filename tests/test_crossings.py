"""Two events that cross, forced: departures of clients, closes, shutdown, retries, watches. The table is docs/design/crossings.md."""

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
    Notices,
    Referee,
    SettableClock,
    Stalled,
    at_its_peer,
    clock,
    pause,
    readers_held,
    sender,
    settings,
    until,
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


def pair():
    """Both ends of a connection on loopback: a Unix one tells less of its peer."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        there = socket.create_connection(listener.getsockname())
        return listener.accept()[0], there


def taken(send, client_writer, ident=5, stream=1, before_ms=0, rule="media"):
    """A txn in the book, taken so long ago, and a hop of it that is not written yet."""
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
        now - before_ms * MS,
        now + 3000 * MS,
        client_writer,
        stream,
        1,
    )
    send.open_txns.add(txn)
    assert client_writer.open_stream(stream, ident)
    want = resp.Want(txn.name, rule, txn.obj, 0, 3000, None, None, 0, 0, False, False, True, None, b"")
    return Hop(ident, 0, txn.name, "c0", None, want, now)


def connected(run):
    """A service whose one connection to its cache stands, and two clients of it."""
    cache = Cache(lambda want: None)
    service = run(cache)
    client, other = service.client(), service.client()
    other.ask(98)
    until(lambda: cache.wants)
    return cache, service, client, other


def stays(send):
    """The outlet of a client that stays."""
    here, there = pair()
    client_writer = ClientWriter(here, encode, send.answer_sender)
    client_writer.there = there
    return client_writer


# Clients that leave.


def test_a_hop_of_a_txn_that_was_withdrawn_is_not_written_whoever_is_first():
    """The reader takes the txn out of the book; the Router learns of it later, and the hop may be at its connection by then."""
    cache, (here, there) = Cache(), pair()
    send = sender(cache.address, open_txns=OpenTxns())
    hop = taken(send, ClientWriter(here, encode, send.answer_sender))
    send.open_txns.withdraw(5)
    send.enqueue(hop).write_queued()
    assert [about[:2] for about in until(lambda: send.host.posted)] == [(hop, "unsent")] and not hop.written_at and not cache.wants
    here.close(), there.close()


@pytest.mark.parametrize("leaves", ["closes", "resets", "closes behind bytes", "half-closes"])
def test_an_attempt_does_not_begin_for_a_client_whose_departure_lies_unread(leaves):
    """A txn that has waited, at the gate, behind a leader, for a dial or its turn to retry; its reader has not had the core since."""
    cache, (here, there) = Cache(), pair()
    send = sender(cache.address, open_txns=OpenTxns())
    hop = taken(send, ClientWriter(here, encode, send.answer_sender), before_ms=50)
    if leaves == "resets":
        there.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    if leaves == "closes behind bytes":
        there.sendall(b"half a frame")
    there.shutdown(socket.SHUT_WR) if leaves == "half-closes" else there.close()
    poll = select.poll()
    poll.register(here, select.POLLIN)
    assert poll.poll(2000)
    lane = send.enqueue(hop)
    lane.write_queued()
    until(lambda: any(about[:2] == (hop, "unsent") for about in send.host.posted))
    assert not hop.written_at and not cache.wants and 5 not in send.open_txns.by_id
    here.close(), there.close()


def test_an_attempt_waits_until_what_lies_unread_of_its_client_has_had_its_turn():
    """A cancel that is there already: the reader takes it while the attempt waits, and the attempt is not begun."""
    cache, (here, there) = Cache(), pair()
    send = sender(cache.address, open_txns=OpenTxns())
    client_writer = ClientWriter(here, encode, send.answer_sender)
    hop = taken(send, client_writer, before_ms=50)
    there.sendall(b"\0\0\0\5C\0\0\0\1")
    lane = send.enqueue(hop)
    until(lambda: lane.connected)
    lane.write_queued()
    assert not hop.written_at and not send.host.posted and lane.open_hops
    client_writer.release_waiting()
    assert client_writer.waiting_hops == [hop]  # its reader has worked off something, but not read on
    client_writer.processed_bytes += len(here.recv(100))  # its reader has its turn
    send.open_txns.withdraw(5)
    client_writer.release_waiting()
    assert [about[:2] for about in send.host.posted] == [(hop, "unsent")] and not cache.wants and not client_writer.waiting_hops
    here.close(), there.close()


def test_a_client_that_sends_on_and_on_gets_its_attempt_after_one_turn_of_its_reader_and_holds_up_nobody():
    """Found in the laboratory: a writer that waited for each such reader left all others' hops waiting behind it."""
    cache, (here, there) = Cache(), pair()
    send = sender(cache.address, open_txns=OpenTxns())
    client_writer = ClientWriter(here, encode, send.answer_sender)
    hop, other = taken(send, client_writer, before_ms=50), taken(send, stays(send), ident=6, before_ms=50)
    there.sendall(b"more and more")
    lane = send.enqueue(hop)
    until(lambda: lane.connected)
    assert send.enqueue(other) is lane
    lane.write_queued()
    until(lambda: cache.wants)
    assert other.written_at and not hop.written_at
    there.sendall(b"and on")
    client_writer.processed_bytes += len(here.recv(4))
    client_writer.release_waiting()
    assert not hop.written_at
    client_writer.processed_bytes += len(here.recv(9))  # all that lay there at the look; the rest came since
    client_writer.release_waiting()
    until(lambda: len(cache.wants) == 2)
    assert hop.written_at
    here.close(), there.close()


def test_a_look_at_a_client_in_the_moment_in_which_its_reader_looks_ends_nothing(monkeypatch):
    """The system's poll object refuses a look during another's; a reader that met that error ended the program."""
    looking, go_on, real = threading.Event(), threading.Event(), select.poll

    class Poll:
        def __init__(self):
            self.real, self.busy = real(), False

        def register(self, *about):
            self.real.register(*about)

        def poll(self, wait):
            if self.busy:
                raise RuntimeError("concurrent poll() invocation")
            self.busy = True
            if threading.current_thread().name == "looker":
                looking.set()
                go_on.wait(10)
            found = self.real.poll(wait)
            self.busy = False
            return found

    monkeypatch.setattr(select, "poll", Poll)
    client_listener = entered()
    there = joins(client_listener)
    client = next(iter(client_listener.clients))
    looker = threading.Thread(target=client.client_writer.check_client, args=(SimpleNamespace(waited=False),), name="looker")
    looker.start()
    assert looking.wait(10)
    there.sock.sendall(b"\0\0\0")  # half a frame: nothing in it waits for the look's lock
    until(lambda: client.unfinished_bytes)
    go_on.set()
    looker.join()
    client_listener.listening_socket.close()


def test_an_attempt_put_by_in_the_moment_in_which_its_reader_has_worked_off_the_bytes_is_not_forgotten(monkeypatch):
    """The look has found bytes, and the reader is back in its wait before the attempt is put by."""
    client_listener, again = entered(), []
    there = joins(client_listener)
    client = next(iter(client_listener.clients))

    class Found:
        def poll(self, wait):
            there.sock.sendall(b"\0\0\0")  # half a frame: nothing in it waits for the look's lock
            until(lambda: client.unfinished_bytes)
            time.sleep(0.1)  # longer than a reader takes back to its wait; what holds does not lean on it
            return [(client.sock.fileno(), select.POLLIN)]

    monkeypatch.setattr(client.client_writer, "poller", Found())
    hop = SimpleNamespace(waited=False, lane=SimpleNamespace(again=again.append))
    assert client.client_writer.check_client(hop) == UNREAD_BYTES
    until(lambda: again == [hop], limit=2)
    client_listener.listening_socket.close()


@pytest.mark.parametrize("lies", ["unread", "in its reader's hand"])
@pytest.mark.parametrize("unread", ["its cancel", "another frame"])
def test_an_answer_past_its_time_limit_waits_for_what_its_client_has_sent(unread, lies):
    """The process was stopped, or had no core: server's answer, client's cancel and time limit have all come."""
    here, there = pair()
    answer_sender = AnswerSender(1 << 20)
    client_writer = ClientWriter(here, encode, answer_sender)
    txn = Txn(5, "%016x" % 5, 0, "media", "a" * 16, 0, 1, 1.0, None, None, b"", 0, clock() - 100 * MS, client_writer, 1)
    assert client_writer.open_stream(1, 5)
    there.sendall(b"\0\0\0\5C\0\0\0\1")
    select.select([here], [], [])
    if lies == "in its reader's hand":
        here.recv(100)
    answer_sender.answer(txn, Answer("completed", body=memoryview(b"x" * 70_000)))
    assert not select.select([there], [], [], 0)[0] and answer_sender.held_bytes > 70_000 and client_writer.streams
    client_writer.processed_bytes += 9  # its reader has its turn
    if lies == "unread":
        here.recv(100)
    if unread == "its cancel":
        del client_writer.streams[1]
    client_writer.release_waiting()
    assert bool(select.select([there], [], [], 0)[0]) == (unread != "its cancel")
    assert not answer_sender.held_bytes and not client_writer.streams and not client_writer.late_answers
    here.close(), there.close()


def test_a_router_that_was_stopped_past_a_time_limit_answers_nothing_that_was_cancelled_meanwhile(run):
    """Its timers, its servers' answers and the cancels are all there as it goes on; whoever has the core first."""
    cache, service, client, other = connected(run)
    for stream in range(1, 9):
        client.ask(stream, limit="400")
    until(lambda: len(cache.wants) == 9)
    pause(service.process)
    time.sleep(0.5)
    for stream in range(1, 5):
        cache.answer("%016x" % stream, *ACK)  # first, so its reader is woken first
    for stream in range(1, 9):
        client.send(67, stream)
    client.send(80, 1 << 30, b"\0")  # whether it is ready; read after the cancels
    os.kill(service.process.pid, signal.SIGCONT)
    assert client.get()[:2] == (81, 1 << 30)
    client.sock.shutdown(socket.SHUT_WR)
    assert client.get() is None


@pytest.mark.parametrize("together", [1, 32])
def test_requests_of_a_client_that_has_closed_already_are_not_sent_on(run, together):
    """Sent and gone while the router was stopped: on its return, the close lies behind the requests."""
    cache, service, client, other = connected(run)
    pause(service.process)
    for stream in range(1, together + 1):
        client.ask(stream)
    client.sock.shutdown(socket.SHUT_WR)
    at_its_peer(client.sock, 8)
    other.ask(99)
    os.kill(service.process.pid, signal.SIGCONT)
    until(lambda: "%016x" % 99 in cache.held)
    cache.answer("%016x" % 99, *ACK)
    assert other.get()[1:3] == (99, 79)
    assert [want["id"] for want in cache.wants] == ["%016x" % 98, "%016x" % 99]


def test_a_request_whose_cancel_lies_right_behind_it_is_not_sent_on(run):
    """It is longer than one read, so the cancel comes with the next: both lay there when the router was continued."""
    cache, service, client, other = connected(run)
    pause(service.process)
    client.ask(1, b"w" * 48_000, verb="checkout", unique="k1")
    client.send(67, 1)
    client.ask(2)
    os.kill(service.process.pid, signal.SIGCONT)
    until(lambda: "%016x" % 2 in cache.held)
    cache.answer("%016x" % 2, *ACK)
    assert client.get()[1:3] == (2, 79)
    assert [want["id"] for want in cache.wants] == ["%016x" % 98, "%016x" % 2]


def test_a_leader_that_leaves_hands_over_once_to_a_waiter_that_is_still_there():
    day = Referee()
    for ident in (1, 2, 3, 4):
        day.arrive(ident)
    day.withdraw(2)
    day.withdraw(1)
    assert [len(day.hops(ident)) for ident in (1, 2, 3, 4)] == [1, 0, 1, 0]
    day.withdraw(3)
    day.withdraw(4)
    assert [len(day.hops(ident)) for ident in (1, 2, 3, 4)] == [1, 0, 1, 1] and not day.router.collapsing.flights


def test_a_burst_of_clients_that_send_and_go_costs_the_servers_nothing_and_others_little(run):
    """1,500 requests of 300 connections, all gone by the time the router is continued."""
    cache = Cache()
    service = run(cache, limits={"cores": 1.0, "memory_mb": 192, "sockets": 1024})
    other = service.client()
    pause(service.process)
    for n in range(300):
        gone = Client(service.address)
        for stream in range(1, 6):
            gone.ask(stream, txn=f"{1000 * n + stream:016x}")
        gone.file.close(), gone.sock.shutdown(socket.SHUT_WR)
    at_its_peer(gone.sock, 8)  # the last one
    other.ask(99)
    began = time.monotonic()
    os.kill(service.process.pid, signal.SIGCONT)
    assert other.get()[1:3] == (99, 79) and time.monotonic() - began < 2
    until(lambda: "event=counts" in service.lines())
    assert [want["id"] for want in cache.wants] == ["%016x" % 99]


def test_a_client_that_left_during_a_stop_gets_no_further_attempt(run):
    """One cache answers with an error, the router is stopped with that answer and the client's close before it: whichever of its
    threads has the core first, no second attempt begins."""
    caches = [Cache(lambda want: None) for _ in range(3)]
    service = run(*caches)
    client = service.client()
    client.ask(1)
    first = until(lambda: next((cache for cache in caches if cache.wants), None))
    pause(service.process)
    client.sock.shutdown(socket.SHUT_WR)
    at_its_peer(client.sock, 8)
    first.answer("%016x" % 1, "EIO")
    time.sleep(2 * CLIENT_CHECK_AFTER / SECOND)  # of a txn taken a moment ago nobody looks whether its client has left
    os.kill(service.process.pid, signal.SIGCONT)
    probe = service.client()
    probe.ask(7)
    served = until(lambda: next((c for c in caches for w in c.wants if w["id"] == "%016x" % 7), None))
    served.answer("%016x" % 7, *ACK)
    assert probe.get()[1:3] == (7, 79)
    assert sum(want["id"] == "%016x" % 1 for cache in caches for want in cache.wants) == 1


# Closing clients.


def entered(most=8):
    """A place where clients are taken in, without the thread that accepts them: a test says when one is."""
    open_txns, answer_sender = OpenTxns(), AnswerSender(1 << 20)
    route = SimpleNamespace(start_batch=lambda: None, finish_batch=lambda: None, post=lambda *about: None, txn_withdrawn=None)
    admit = SimpleNamespace(taken=[], retry_after_ms=0)
    admit.handle_request = lambda request, client_writer, now: (
        client_writer.open_stream(request.stream, 7) and not admit.taken.append(request.stream)
    )
    return ClientListener(("127.0.0.1", 0), most, 1 << 20, 1_000_000_000, admit, open_txns, route, answer_sender)


def joins(client_listener, accept=True):
    client = Client("%s:%d" % client_listener.listening_socket.getsockname())
    if accept:
        client_listener.add_connection(client_listener.listening_socket.accept()[0])
    return client


def test_a_request_that_lands_between_the_look_and_the_close_is_not_taken_and_resets_nothing():
    """The client has its answer unread, the connection is shut as idle, and a request of the client's crosses that."""
    client_listener = entered()
    there = joins(client_listener)
    client = next(iter(client_listener.clients))
    client.client_writer.open_stream(1, 5)
    assert client.client_writer.answer(1, Answer("completed", body=b"late reader"))
    assert not client.has_unread_bytes() and client.client_writer.shut_if_idle()
    there.ask(2)
    until(lambda: select.select([there.sock], [], [], 0)[0])
    time.sleep(0.02)  # so the request has come, and what its coming leads to
    assert there.get()[1:3] == (1, 79) and there.get() is None  # an end, no reset
    there.sock.shutdown(socket.SHUT_WR)
    until(lambda: not client_listener.clients)
    assert not client_listener.admission.taken
    client_listener.listening_socket.close()


def test_a_client_that_does_not_close_after_its_side_was_shut_is_cut_off_in_bounded_time():
    client_listener = entered()
    there = joins(client_listener)
    client = next(iter(client_listener.clients))
    assert client.client_writer.shut_if_idle() and client_listener.clients
    client_listener.sweep(client.client_writer.shut_at + 0.4)
    assert client_listener.clients
    client_listener.sweep(client.client_writer.shut_at + 0.6)
    until(lambda: not client_listener.clients)
    assert there.get() is None
    client_listener.listening_socket.close()


def test_a_client_counts_until_its_descriptor_is_free_and_idle_ones_give_way():
    client_listener = entered(most=8)
    idle, most, seen = [], 0, set()  # seen: sockets; those that do not count any more are closed
    for _ in range(60):
        idle.append(joins(client_listener))
        most = max(most, len(client_listener.clients))
        assert most <= 8 + client_listener.spare_descriptors and all(
            sock.fileno() < 0 for sock in seen - {c.sock for c in client_listener.clients}
        )
        seen |= {client.sock for client in client_listener.clients}
    assert most > 8 and sum(client.sock.fileno() >= 0 for client in idle) == 60
    client_listener.listening_socket.close()


def test_a_connection_that_is_refused_its_options_ends_alone():
    """As some systems do for one that was reset while it waited; the thread that accepts must not end by it."""

    class Reset(socket.socket):
        def setsockopt(self, *about):
            raise OSError("reset")

    client_listener, sock = entered(), Reset()
    client_listener.add_connection(sock)
    assert sock.fileno() < 0 and not client_listener.clients
    client_listener.listening_socket.close()


def test_a_reader_that_ends_as_the_writer_has_just_ended_frees_the_descriptor_once():
    """The reader's end comes between the writer's last look, when nothing waited and nothing had ended, and its return."""
    here, there = pair()
    client_writer, freed = ClientWriter(here, encode, AnswerSender(1 << 20)), []
    client_writer.on_descriptor_freed = lambda: freed.append(here.fileno())

    class Lock:
        def __init__(self):
            self.real = threading.Lock()

        def __enter__(self):
            self.real.acquire()

        def __exit__(self, *about):
            self.real.release()
            if not client_writer.draining and not client_writer.ended:
                client_writer.reader_ended()

    client_writer.write_queue.append(b"x")
    client_writer.draining, client_writer.lock = True, Lock()
    client_writer.drain()
    assert freed == [-1] and there.recv(9) == b"x"
    there.close()


def test_an_attempt_does_not_begin_where_its_client_s_reader_was_first_to_withdraw(monkeypatch):
    """The end is seen by who writes, and the reader takes the txn out of the book before that one can."""
    cache = Cache()
    send = sender(cache.address, open_txns=OpenTxns())
    client_writer = stays(send)
    hop = taken(send, client_writer, before_ms=50)
    monkeypatch.setattr(client_writer, "check_client", lambda hop: (send.open_txns.withdraw(5, client_left=True), CLIENT_LEFT)[1])
    lane = send.enqueue(hop)
    until(lambda: lane.connected)
    lane.write_queued()
    assert [about[:2] for about in send.host.posted] == [(hop, "unsent")] and not hop.written_at and not cache.wants


def test_a_client_that_has_gone_leaves_no_cycle_behind():
    """What is freed by the collector of garbage alone stays for minutes, for its looks are rare."""
    client_listener = entered()
    there = joins(client_listener)
    client = weakref.ref(next(iter(client_listener.clients)))
    gc.disable()
    try:
        there.file.close(), there.sock.close()
        until(lambda: not client_listener.clients and client() is None, limit=5)
    finally:
        gc.enable()
        client_listener.listening_socket.close()


def test_where_all_have_txns_a_further_client_is_turned_away_at_once():
    client_listener = entered(most=2)
    both = [joins(client_listener), joins(client_listener)]
    for client in both:
        client.ask(1)
    until(lambda: all(client.client_writer.streams for client in client_listener.clients))
    began = time.monotonic()
    assert joins(client_listener).get() is None and time.monotonic() - began < 0.5 and len(client_listener.clients) == len(both)
    client_listener.listening_socket.close()


# Shutdown.


def test_a_connection_in_the_backlog_as_the_listener_closes_is_taken():
    client_listener = entered()
    there = joins(client_listener, accept=False)
    there.ask(1)
    client_listener.stop_listening()
    until(lambda: client_listener.admission.taken == [1])
    assert not client_listener.shut_connections(late=False)  # it owes an answer
    next(iter(client_listener.clients)).client_writer.answer(1, Answer("completed", body=b"x"))
    assert there.get()[1:3] == (1, 79) and there.get() is None and client_listener.shut_connections(late=False)


def test_what_lies_unread_or_half_is_left_its_time_before_a_connection_is_shut():
    client_listener = entered()
    there = joins(client_listener)
    client = next(iter(client_listener.clients))
    there.sock.sendall(b"\0\0\0\5")
    until(lambda: client.unfinished_bytes)
    assert not client_listener.shut_connections(late=False) and not client.client_writer.shut_at
    assert client_listener.shut_connections(late=True) and client.client_writer.shut_at and there.get() is None
    client_listener.listening_socket.close()


def test_a_request_read_after_the_router_has_shut_its_side_is_not_sent_on(run):
    """A client that rests until the router ends it, and sends in that very moment; another's answer keeps the router."""
    cache = Cache(lambda want: None)
    service = run(cache)
    busy, resting = service.client(), service.client()
    busy.ask(1)
    until(lambda: cache.wants)
    service.process.terminate()
    assert resting.get()[0] == 90 and resting.get() is None  # it is shut, and half open
    resting.ask(2)
    time.sleep(0.3)
    cache.answer("%016x" % 1, *ACK)
    assert busy.get()[0] == 90 and busy.get()[1:3] == (1, 79)
    assert service.process.wait(20) == 0 and {want["id"] for want in cache.wants} == {"%016x" % 1}


def test_a_request_that_comes_late_on_a_busy_connection_is_answered_before_the_program_is_killed(run):
    """SIGKILL comes 3.7 s after SIGTERM at the soonest, whatever the longest time limit; here that is 5 s."""
    cache = Cache(lambda want: None)
    service = run(cache)
    client = service.client()
    client.ask(1, limit="5000", ram="5600")  # so large that its server may be silent for so long
    until(lambda: cache.wants)
    began = time.monotonic()
    service.process.terminate()
    assert client.get()[0] == 90
    while time.monotonic() - began < 1:
        time.sleep(0.01)
    client.ask(2, limit="5000", ram="5600")
    until(lambda: len(cache.wants) == 2 or select.select([client.sock], [], [], 0)[0])
    assert len(cache.wants) == 2, client.get()
    assert {client.get()[1:3] for _ in range(2)} == {(1, 66), (2, 66)} and time.monotonic() - began < 3.7
    assert client.get() is None and service.process.wait(20) == 0


def test_what_is_still_open_when_the_program_is_to_be_killed_is_answered_before(run):
    """Taken before SIGTERM, with a time limit past the SIGKILL that may come 3.7 s after it; its server hangs."""
    cache = Cache(lambda want: None)
    service = run(cache)
    client = service.client()
    client.ask(1, limit="5000", ram="5600")  # so large that its server may be silent for so long
    client.ask(2, limit="5000", ram="5600", item="%016x" % 1)
    client.ask(3, limit="3000", ram="5600", verb="checkout", unique="k3")
    until(lambda: len(cache.wants) == 3)
    began = time.monotonic()
    service.process.terminate()
    assert client.get()[0] == 90
    assert {client.get()[1:3] for _ in range(3)} == {(1, 66), (2, 66), (3, 66)}
    assert 2.0 < time.monotonic() - began < 3.7 and client.get() is None and service.process.wait(20) == 0


def test_a_signal_to_end_in_the_middle_of_a_reload_is_obeyed_after_it(run):
    """The file is read while the signal comes: it comes through a pipe, whose other end is the test's."""
    service = run(Cache())
    service.client()
    text = service.path.read_text()
    service.path.unlink()
    os.mkfifo(service.path)
    service.process.send_signal(signal.SIGHUP)
    with open(service.path, "w") as pipe:  # returns once the router reads
        service.process.send_signal(signal.SIGTERM)
        pipe.write(text)
    assert service.process.wait(20) == 0
    lines = service.lines()
    assert lines.index("event=reloaded") < lines.index("event=ending") < lines.index("event=ended") and lines.count("event=ending") == 1


def test_a_signal_to_end_during_the_start_ends_the_program_before_it_was_ready(run):
    service = run(Cache(), notices=Notices(wait=60), operators={"start": {"board_wait_s": 5}})
    client = service.early()
    client.send(80, 1 << 30, b"\0")
    assert client.get()[:3] == (81, 1 << 30, 66)  # not ready, and the connection is accepted: one in the backlog is told nothing
    client.ask(1, limit="500")
    began = time.monotonic()
    service.process.terminate()
    assert {client.get()[:3] for _ in range(2)} == {(90, 0, None), (66, 1, 66)}
    for sig in (signal.SIGHUP, signal.SIGTERM):
        service.process.send_signal(sig)
    assert service.process.wait(20) == 0 and time.monotonic() - began < 3 and "event=ready" not in service.lines()


# Connections to cache servers, and repeats.


class Dialled(socket.socket):
    """A socket whose connection comes up when it is told to."""

    come = threading.Event()

    def connect(self, address):
        assert self.come.wait(10)
        super().connect(address)


@pytest.fixture
def dial(monkeypatch):
    come = threading.Event()
    monkeypatch.setattr(Dialled, "come", come)
    monkeypatch.setattr("fieldspur.net.server_connection.socket", SimpleNamespace(**vars(socket) | {"socket": Dialled}))
    yield come
    come.set()


def keyed(send, go_by, ident=5, body=b""):
    hop = taken(send, stays(send), ident=ident, rule="checkout")
    hop.want.key, hop.want.body, hop.go_by, hop.number = "k" * 16, body, go_by, 1
    return hop


@pytest.mark.parametrize("in_time", [True, False])
def test_a_repeat_that_waited_for_its_connection_goes_out_only_within_what_the_first_try_is_remembered_for(dial, in_time):
    cache = Cache()
    send = sender(cache.address, open_txns=OpenTxns())
    hop = keyed(send, clock() + (20_000 if in_time else 30) * MS)
    send.enqueue(hop).write_queued()
    while not in_time and clock() <= hop.go_by:
        time.sleep(0.005)
    dial.set()
    assert until(lambda: send.host.posted)[0][:2] == (hop, "completed" if in_time else "unsent")
    assert bool(hop.written_at) == in_time == bool(cache.wants)


def test_a_repeat_that_a_server_has_begun_to_read_is_broken_off_before_the_first_try_is_forgotten():
    """The server reads half of it, and the rest later: it must not have it whole by then."""
    cache = Stalled()
    send = sender(cache.address, open_txns=OpenTxns())
    lane = send.enqueue(keyed(send, clock() + 20_000 * MS))
    lane.write_queued()
    until(lambda: send.host.posted)
    cache.go_on.clear()
    lane.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    hop = keyed(send, clock() + 300 * MS, 6, b"w" * 1_000_000)
    assert send.enqueue(hop) is lane
    lane.write_queued()
    until(lambda: lane.draining)
    until(lambda: len(send.host.posted) == 2, limit=5)
    assert send.host.posted[1][:2] == (hop, "unsent") and clock() >= hop.go_by - 2 * MS  # whole ms are waited
    cache.go_on.set()
    until(lambda: lane.closed)
    time.sleep(0.05)
    assert len(cache.wants) == 1


@pytest.mark.parametrize("how", ["closes", "resets"])
def test_no_hop_is_written_to_a_server_that_has_ended_the_connection_while_it_was_idle(monkeypatch, how):
    """The end lies in the socket and the connection's reader has not had the core: the hop never ran, so it may go elsewhere."""
    held, cache = readers_held(monkeypatch), Cache(lambda want: None)
    send = sender(cache.address, open_txns=OpenTxns())
    hop = taken(send, stays(send))
    first = ServerConnection(send, "c0", send.endpoints["c0"].address)
    send.connections["c0"] = [first]
    until(lambda: first.ready and cache.conns)
    cache.reset() if how == "resets" else cache.conns[0].shutdown(socket.SHUT_WR)
    until(lambda: receive_poll(first.sock).poll(0))
    first.heard = clock() - 50 * MS
    assert send.enqueue(hop) is first
    first.pump()
    assert [about[:2] for about in send.host.posted] == [(hop, "unsent")] and not hop.written_at
    again = taken(send, stays(send), ident=6)
    second = send.enqueue(again)
    assert second is not first
    until(lambda: second.ready)
    second.pump()
    until(lambda: cache.wants)
    assert [want["id"] for want in cache.wants] == [again.name]
    held.set()


@pytest.mark.parametrize("seconds", [300, -300])
def test_a_clock_that_is_set_by_minutes_moves_no_time_limit(run, tmp_path, seconds):
    """An operator, or a time server, sets the system's clock while a txn is out at a server that hangs."""
    clock, hung = SettableClock(tmp_path / "clock"), "%016x" % 1
    cache = Cache(lambda want: None if want["id"] == hung else ACK)
    service = run(cache, env=clock.env)
    client = service.client()
    client.ask(9)
    assert client.get()[1:3] == (9, 79)
    client.ask(1, limit="800")
    until(lambda: len(cache.wants) == 2)
    began = time.monotonic()
    clock.set(seconds)
    assert client.get()[1] == 1 and 0.5 < time.monotonic() - began < 1.0
    service.board.tell(2, flush={"collection": 7, "ms": int(time.time() * 1000)})  # by the board's clock
    until(lambda: service.board.sent)
    for stream in range(2, 6):
        client.ask(stream)
    assert {client.get()[1:3] for _ in range(4)} == {(stream, 79) for stream in range(2, 6)}


def test_a_program_that_is_told_to_end_has_ended_when_it_may_be_killed_though_its_clients_stay(run):
    """Found by the soak (seed 1057): short deadlines bring the kill nearer than the wait for clients that may close by themselves."""
    short = settings()
    for row in short["classes"]:
        row["hardLimitUs"] = 1_000_000
    service = run(cache := Cache(lambda want: None), settings=short)
    client, _stays = service.client(), service.client()
    client.ask(1, limit="1000")
    until(lambda: cache.wants)
    began = time.monotonic()
    service.process.terminate()
    time.sleep(0.65)
    client.ask(2, limit="1000")  # among the last that it has to take
    assert service.process.wait(5) == 0 and time.monotonic() - began < 1.0 + 0.7
