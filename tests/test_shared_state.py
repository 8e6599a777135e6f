"""State that several threads touch, each crossing forced: what is looked at and what is used is one and the same."""

import signal
import socket
import threading
import time
from collections import deque
from types import SimpleNamespace

from helpers import Cache, Stalled, clock, pause, sender, until
from test_crossings import open_txn_with_hop, staying_client_writer
from test_mass_crash import block_connects

from fieldspur.decide import MS
from fieldspur.lab.soak import shim
from fieldspur.net.discovery import CATCH_UP_LIMIT_S, SILENCE_LIMIT_S
from fieldspur.net.invariants import contained_errors
from fieldspur.net.server_connection import DISCOVERY_CHECK_INTERVAL, Hop, limit_unsent
from fieldspur.record import replace


class EmptiedQueue(deque):
    """A queue out of which another thread takes all between a look at it and the first use of that."""

    emptied = False

    def popleft(self):
        if not self.emptied:
            self.emptied = True
            self.clear()
        return super().popleft()


def test_an_attempt_that_is_taken_back_in_the_moment_of_its_write_costs_nobody_else(monkeypatch):
    """A purge or a change of the list takes attempts out of a connection's queue, by its own thread."""
    failed, before = [], contained_errors.log_fields().get("contained_write")
    monkeypatch.setattr(threading, "excepthook", failed.append)
    cache = Cache(lambda want: None)
    pool = sender(cache.address)
    attempt = open_txn_with_hop(pool, staying_client_writer(pool), ident=5)
    connects_allowed = block_connects(monkeypatch)
    connection = pool.enqueue(attempt)
    connection.queue = EmptiedQueue(connection.queue)
    connects_allowed.set()
    until(lambda: connection.connected and connection.queue.emptied)
    pool.enqueue(open_txn_with_hop(pool, staying_client_writer(pool), ident=6)).write_queued()
    until(lambda: [want["id"] for want in cache.wants] == ["%016x" % 6])
    assert not failed and contained_errors.log_fields().get("contained_write") == before  # contained is not mended


def test_a_probe_that_is_cut_by_a_full_socket_is_finished_like_any_message():
    """It carries no request, and so no key, which the thread that finishes it asked for."""
    cache = Stalled()
    pool = sender(cache.address)
    probe = Hop(0, 1, "busy-1", "c0", None, None, clock())
    connection = pool.enqueue(probe)
    connection.write_queued()  # as who hands over an attempt does: the connection may have come up before that waited in it
    until(lambda: connection.connected)
    until(lambda: not connection.queue)
    failed = []
    finished = threading.Thread(target=lambda: failed.extend(errors_raised_by(connection.write_rest)))
    with connection.write_lock:
        connection.unwritten, connection.partial_hop, connection.rest_writer_active = [b"*1\r\n$4\r\nrest\r\n"], probe, True
        limit_unsent(connection.sock)
    finished.start()
    finished.join(5)
    assert not failed and not connection.rest_writer_active and not connection.unwritten


def errors_raised_by(call):
    try:
        call()
    except Exception as error:
        return [error]
    return []


def slow_check(check, order):
    """A look at a client that takes longer than discovery's last word is good for."""

    def check_slowly(hop):
        order.append(hop.ident)
        time.sleep(2 * DISCOVERY_CHECK_INTERVAL / 1e9)
        return check(hop)

    return check_slowly


def test_attempts_of_one_write_wait_for_discovery_before_they_are_looked_at_and_not_between(monkeypatch):
    """Else the first of them goes out by what was right before that wait, its deadline too large by it."""
    cache, order = Cache(lambda want: None), []
    pool = sender(cache.address)
    attempts = [open_txn_with_hop(pool, staying_client_writer(pool), ident=ident, taken_ms_ago=50) for ident in (5, 6)]
    connects_allowed = block_connects(monkeypatch)
    for attempt in attempts:
        attempt.cut_at = clock() + 3000 * MS
        client_writer = pool.open_txns.by_id[attempt.ident].client_writer
        monkeypatch.setattr(client_writer, "check_client", slow_check(client_writer.check_client, order))
        connection = pool.enqueue(attempt)
    pool.discovery_checked_at, pool.discovery = 0, SimpleNamespace(wait_until_caught_up=lambda: order.append("waits"))
    connects_allowed.set()
    until(lambda: len(cache.wants) == 2)
    assert order == ["waits", 5, 6] and connection.connected


def test_a_cancel_that_came_while_its_reader_waited_for_discovery_is_heeded(run):
    """Found by the soak (seed 1013; 521 is alike): an attempt begun 181 ms after its client had left, while a watch was cut. The reader
    had put the attempt by for itself to read on, and let it go without having read on."""
    cache = Cache(lambda want: ("ACK", "entity=e,issued=1,tell=TCP_HIT", b"x") if want["id"] == "%016x" % 1 else None)
    service = run(cache)
    other = service.client()
    until(lambda: service.board.watched)
    service.board.sock.shutdown(socket.SHUT_RDWR)
    service.board.sock.close()
    service.board.reset()
    other.ask(1)
    assert other.get()[1:3] == (1, 79)  # the connection to the server stands, and nothing is repeated on it
    time.sleep(SILENCE_LIMIT_S)  # from now on, a write waits a moment for discovery's word
    client = service.client()
    client.ask(2)
    time.sleep(CATCH_UP_LIMIT_S / 2)
    client.send(67, 2)
    time.sleep(CATCH_UP_LIMIT_S)
    assert "%016x" % 2 not in [want["id"] for want in cache.wants]


def test_a_request_s_time_counts_from_its_coming_also_where_it_is_read_in_pieces(run, tmp_path):
    """Found by the soak (seed 1030; 524 is alike): the first piece's read told that it had lain there, the last one's did not."""
    faults = shim.Shim(tmp_path, shim.build(tmp_path), 0, 1)
    service = run(cache := Cache(lambda want: None), env=faults.env)
    client = service.client()
    faults.rate("shorten", 1000)
    pause(service.process)
    client.ask(1, b"x" * 3000, limit="2500")
    time.sleep(0.6)
    service.process.send_signal(signal.SIGCONT)
    assert int(until(lambda: cache.wants)[0]["limit"]) <= 2500 - 600 + 150
    assert faults.fired()["shorten"]


def test_an_attempt_given_up_as_the_word_of_an_earlier_one_is_out_still_waits_for_its_own():
    """Both are kept by the request's number: taking out the earlier one must not take out what came in its place."""
    pool = sender(Cache(lambda want: None).address)
    first = open_txn_with_hop(pool, staying_client_writer(pool))
    second = replace(first, number=1)
    connection = pool.enqueue(second)
    connection.write_queued()
    until(lambda: second.written_at)
    threads = []

    class CancelBeforeRemoval(dict):
        """Another attempt of the same request is given up between the look and the removal."""

        def __delitem__(self, key):
            threads.append(threading.Thread(target=connection.remove_hop, args=(second, clock())))
            threads[0].start()
            threads[0].join(0.3)
            super().__delitem__(key)

    pool.undelivered_cancels = CancelBeforeRemoval({5: first})
    pool.cancel_delivered(first)
    threads[0].join()
    assert pool.undelivered_cancels.get(5) is second


def test_each_request_of_one_late_read_has_its_time_from_its_own_coming(run):
    """Seen with 36 routers on one core, and here each time: a router is stopped, a request comes, 0.6 s later another, and it goes on. Both
    were read at once, and TCP_INFO told 0 ms, for it tells of the last bytes alone (time stamps too: the kernel joins what lies there).
    The first passed on 2474 of its 2500 ms, with 1900 left. Its reader now dates it no later than the last tick of the sweep before the
    stop, which the late tick after it names, or by its own wait for a core (`fieldspur/net/arrival_times.py`)."""
    service = run(cache := Cache(lambda want: None))
    client = service.client()
    pause(service.process)
    client.ask(1, limit="2500")
    time.sleep(0.6)
    client.ask(2, limit="2500")
    service.process.send_signal(signal.SIGCONT)
    until(lambda: len(cache.wants) >= 2)
    limits = {want["id"]: int(want["limit"]) for want in cache.wants}
    assert limits["%016x" % 2] > 2000 and limits["%016x" % 1] <= 2500 - 600 + 150


def test_requests_of_one_late_read_that_comes_in_pieces_have_their_time_from_their_own_coming(run, tmp_path):
    """As above, and each read brings some bytes only: what ends a request may be read with the head of the next, or alone. The first read
    found that nothing had lain there, by the last bytes, and all that followed counted as new."""
    faults = shim.Shim(tmp_path, shim.build(tmp_path), 0, 1)
    service = run(cache := Cache(lambda want: None), env=faults.env)
    client = service.client()
    faults.rate("shorten", 1000)
    pause(service.process)
    client.ask(1, b"x" * 3000, limit="2500")
    time.sleep(0.6)
    client.ask(2, limit="2500")
    service.process.send_signal(signal.SIGCONT)
    until(lambda: len(cache.wants) >= 2)
    limits = {want["id"]: int(want["limit"]) for want in cache.wants}
    assert limits["%016x" % 2] > 2000 and limits["%016x" % 1] <= 2500 - 600 + 150
    assert faults.fired()["shorten"]


def test_requests_that_a_client_sends_together_after_a_rest_keep_their_whole_time(run):
    """Nothing tells that such a read is late: its requests came when they were read."""
    service = run(cache := Cache())
    client = service.client()
    client.ask(1, limit="2500")
    until(lambda: cache.wants)
    time.sleep(1.2)
    for ident in (2, 3, 4):
        client.ask(ident, limit="2500")
    until(lambda: len(cache.wants) >= 4)
    assert min(int(want["limit"]) for want in cache.wants) > 2300
