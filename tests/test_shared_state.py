"""State that several threads share. Each test forces a race between the check of a state and its use."""

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
    """A queue that another thread empties between a check of the queue and the first `popleft`."""

    emptied = False

    def popleft(self):
        if not self.emptied:
            self.emptied = True
            self.clear()
        return super().popleft()


def test_an_attempt_that_is_taken_back_at_the_moment_of_its_write_affects_no_other(monkeypatch):
    """The thread that handles a purge or a list change takes attempts out of a connection's queue."""
    thread_errors, count_before = [], contained_errors.log_fields().get("contained_write")
    monkeypatch.setattr(threading, "excepthook", thread_errors.append)
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
    assert (
        not thread_errors and contained_errors.log_fields().get("contained_write") == count_before
    )  # the error must not occur at all, contained or not


def test_a_probe_that_is_cut_by_a_full_socket_is_finished_like_any_message():
    """A probe has no `want`, but the thread that finished the write looked for the key in it."""
    cache = Stalled()
    pool = sender(cache.address)
    probe = Hop(0, 1, "busy-1", "c0", None, None, clock())
    connection = pool.enqueue(probe)
    connection.write_queued()  # like the thread that queued the hop: the connection may have been established before
    until(lambda: connection.connected)
    until(lambda: not connection.queue)
    errors = []
    writer = threading.Thread(target=lambda: errors.extend(errors_raised_by(connection.write_rest)))
    with connection.write_lock:
        connection.unwritten, connection.partial_hop, connection.rest_writer_active = [b"*1\r\n$4\r\nrest\r\n"], probe, True
        limit_unsent(connection.sock)
    writer.start()
    writer.join(5)
    assert not errors and not connection.rest_writer_active and not connection.unwritten


def errors_raised_by(call):
    try:
        call()
    except Exception as error:
        return [error]
    return []


def slow_check(check, order):
    """Returns a check of a client that takes longer than the last check for discovery events is valid."""

    def check_slowly(hop):
        order.append(hop.ident)
        time.sleep(2 * DISCOVERY_CHECK_INTERVAL / 1e9)
        return check(hop)

    return check_slowly


def test_the_attempts_of_one_write_wait_for_discovery_before_their_checks_and_not_in_between(monkeypatch):
    """Otherwise the first of them would go out by a check from before the wait, and with a time limit that is too large."""
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


def test_a_cancel_that_arrives_while_its_reader_waits_for_discovery_takes_effect(run):
    """Found by the soak (seeds 1013 and 521): an attempt began 181 ms after its client had left, while the connection to discovery was cut.
    The client's reader had put the attempt aside until it had read on, and then released it without having read on."""
    cache = Cache(lambda want: ("ACK", "entity=e,issued=1,tell=TCP_HIT", b"x") if want["id"] == "%016x" % 1 else None)
    service = run(cache)
    other = service.client()
    until(lambda: service.discovery.watch_revisions)
    service.discovery.sock.shutdown(socket.SHUT_RDWR)
    service.discovery.sock.close()
    service.discovery.reset()
    other.ask(1)
    assert other.get()[1:3] == (1, 79)  # the connection to the server is established
    time.sleep(SILENCE_LIMIT_S)  # from now on, a write waits a moment for discovery
    client = service.client()
    client.ask(2)
    time.sleep(CATCH_UP_LIMIT_S / 2)
    client.send(67, 2)
    time.sleep(CATCH_UP_LIMIT_S)
    assert "%016x" % 2 not in [want["id"] for want in cache.wants]


def test_a_request_s_time_counts_from_its_arrival_even_if_it_is_read_in_pieces(run, tmp_path):
    """Found by the soak (seeds 1030 and 524): the read of the first piece showed a wait in the socket, the last one did not."""
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


def test_an_attempt_cancelled_while_an_earlier_cancel_is_delivered_keeps_its_own_entry():
    """Both are kept under the request's number: removing the earlier one must not remove the one that has replaced it."""
    pool = sender(Cache(lambda want: None).address)
    first_hop = open_txn_with_hop(pool, staying_client_writer(pool))
    second_hop = replace(first_hop, number=1)
    connection = pool.enqueue(second_hop)
    connection.write_queued()
    until(lambda: second_hop.written_at)
    threads = []

    class CancelBeforeRemoval(dict):
        """Between the check and the removal, another attempt of the same request is cancelled."""

        def __delitem__(self, key):
            threads.append(threading.Thread(target=connection.remove_hop, args=(second_hop, clock())))
            threads[0].start()
            threads[0].join(0.3)
            super().__delitem__(key)

    pool.undelivered_cancels = CancelBeforeRemoval({5: first_hop})
    pool.cancel_delivered(first_hop)
    threads[0].join()
    assert pool.undelivered_cancels.get(5) is second_hop


def test_each_request_of_one_late_read_counts_from_its_own_arrival(run):
    """A router is stopped, a request arrives, another one 0.6 s later, and the router continues. Both are read at once, and TCP_INFO
    reports 0 ms, because it only covers the last bytes (as do time stamps: the kernel joins the data in a socket). The first request then
    passed on 2474 of its 2500 ms with 1900 ms left. The reader now dates it no later than the last sweep tick before the stop, which the
    late tick after it reveals, or by its own wait for a CPU (`fieldspur/net/arrival_times.py`)."""
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


def test_requests_of_one_late_read_in_pieces_count_from_their_own_arrival(run, tmp_path):
    """As above, but each read returns a few bytes only: the end of a request may be read together with the head of the next, or alone. By
    the last bytes, the first read found no wait in the socket, and all further bytes counted as new."""
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


def test_requests_that_a_client_sends_together_after_a_pause_keep_their_whole_time(run):
    """There is no sign that such a read is late: its requests count as received when they are read."""
    service = run(cache := Cache())
    client = service.client()
    client.ask(1, limit="2500")
    until(lambda: cache.wants)
    time.sleep(1.2)
    for ident in (2, 3, 4):
        client.ask(ident, limit="2500")
    until(lambda: len(cache.wants) >= 4)
    assert min(int(want["limit"]) for want in cache.wants) > 2300
