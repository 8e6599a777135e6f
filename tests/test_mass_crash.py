"""Cache servers that crash together while discovery removes them and lists them again (issue 40), and similar cases."""

import itertools
import socket
import threading
import time

from helpers import Cache, Service, clock, endpoint, sender, until
from test_crossings import open_txn_with_hop, staying_client_writer
from test_first_bytes import listed_server, make_router_host

from fieldspur.decide import MS, SECOND
from fieldspur.net.discovery import ListChange
from fieldspur.net.logs import ReasonCounter, error_fields
from fieldspur.net.timer_wheel import NEVER
from fieldspur.permissions import CloseReason
from fieldspur.record import replace


class RunsBeforeLock:
    """A lock that runs `first` once, before its first acquisition, as if another thread ran there."""

    def __init__(self, lock, first):
        self.lock, self.first = lock, first

    def __enter__(self):
        first, self.first = self.first, None
        if first is not None:
            first()
        return self.lock.__enter__()

    def __exit__(self, *exc_info):
        return self.lock.__exit__(*exc_info)


class CrashingCache(Cache):
    """A cache whose process can crash and come back at the same address. A crash resets its connections and refuses further ones."""

    def crash(self):
        self.sock.shutdown(socket.SHUT_RDWR)
        self.sock.close()
        self.reset()

    def come_back(self):
        host, port = self.address.split(":")
        self.sock = socket.create_server((host, int(port)))
        threading.Thread(target=self.run, daemon=True).start()


def test_a_server_removed_while_an_attempt_gets_its_connection_costs_only_that_attempt():
    """Issue 40: an attempt found its server listed, and looked up the address after the server had been removed."""
    cache = Cache()
    pool = sender(cache.address)
    attempt = open_txn_with_hop(pool, staying_client_writer(pool))
    removal = threading.Thread(target=lambda: pool.update_endpoint("c0", ("", 0), "gone"))

    def remove_before_lock():
        removal.start()
        until(lambda: "c0" not in pool.endpoints)

    pool.lock = RunsBeforeLock(pool.lock, remove_before_lock)
    connection = pool.enqueue(attempt)
    if connection is not None:
        connection.write_queued()
    assert [arguments[:2] for arguments in until(lambda: pool.host.posted)] == [(attempt, "unsent")]
    removal.join()
    assert not attempt.written_at and not cache.wants


def test_servers_that_crash_together_and_are_listed_again_end_no_router(tmp_path):
    """Issue 40 with processes: 4 of 38 routers ended within 0.2 s of such a crash; in this test the router ended in seven of seven runs."""
    caches = [CrashingCache() for _ in range(12)]
    service = Service(tmp_path, caches)
    service.client()
    stop = threading.Event()  # ends the client threads
    clients = [threading.Thread(target=send_requests, args=(service, stop, number)) for number in range(3)]
    for client in clients:
        client.start()
    try:
        revisions = itertools.count(2)
        for _ in range(12):
            for cache in caches:
                cache.crash()
            for status in ("removed", "up"):
                for number, cache in enumerate(caches):
                    time.sleep(0.005)
                    endpoints = [endpoint(f"c{number}", cache.address, status=status)]
                    service.discovery.add_event(next(revisions), pool={"index": 1, "snapshot": False, "endpoints": endpoints})
            for cache in caches:
                cache.come_back()
            time.sleep(0.1)
            assert service.process.poll() is None, "the router ended by itself"
    finally:
        stop.set()
        for client in clients:
            client.join()
        client = service.process.poll() is None and service.client()
        service.process.kill()
        service.process.wait()
    assert client, "the router answers that it is ready"
    assert not any(f"event={event}" in service.lines() for event in ("crashed", "broken", "contained"))


def send_requests(service, stop, number):
    """A client that requests another object every 4 ms, without regard to the answers."""
    client, streams = service.client(), itertools.count(1)
    threading.Thread(target=lambda: list(iter(client.get, None)), daemon=True).start()
    while not stop.is_set():
        stream = next(streams)
        name = f"{number:04x}{stream:012x}"
        try:
            client.ask(stream, txn=name, item=name, limit="1500")
        except OSError:
            return
        time.sleep(0.004)


def test_error_fields_are_the_type_the_text_and_the_place_of_an_error():
    try:
        {}["s-1"]
    except KeyError as error:
        fields = error_fields(error, error.__traceback__)
    assert fields["error"] == "KeyError" and fields["what"] == "'s-1'" and fields["at"].startswith("test_mass_crash.py:")


def test_counts_by_reason_are_exact_and_can_be_read_while_others_count():
    counter, count_per_thread = ReasonCounter(CloseReason), 20_000
    threads = [
        threading.Thread(target=lambda reason=reason: [counter.add(reason) for _ in range(count_per_thread)])
        for reason in (CloseReason.IDLE, CloseReason.IDLE, CloseReason.DESCRIPTORS)
    ]
    for thread in threads:
        thread.start()
    while any(thread.is_alive() for thread in threads):
        counter.log_fields("closed")
    assert counter.log_fields("closed") == {"closed_idle": 2 * count_per_thread, "closed_descriptors": count_per_thread}


def test_an_attempt_goes_to_the_current_address_of_its_server():
    """The server is listed at another address, and its old connection leads to a removed process or to another server."""
    old_cache, new_cache = Cache(lambda want: None), Cache(lambda want: None)
    pool = sender(old_cache.address)
    pool.enqueue(open_txn_with_hop(pool, staying_client_writer(pool), ident=5)).write_queued()
    until(lambda: old_cache.wants)
    host, port = new_cache.address.split(":")
    pool.update_endpoint("c0", (host, int(port)), "up")
    pool.enqueue(open_txn_with_hop(pool, staying_client_writer(pool), ident=6)).write_queued()
    until(lambda: new_cache.wants)
    assert len(old_cache.wants) == len(new_cache.wants) == 1


def test_a_waiting_attempt_is_not_written_to_the_old_address_of_its_server(monkeypatch):
    old_cache, new_cache = Cache(lambda want: None), Cache(lambda want: None)
    pool = sender(old_cache.address)
    attempt = open_txn_with_hop(pool, staying_client_writer(pool))
    connects_allowed = block_connects(monkeypatch)
    pool.enqueue(attempt)
    host, port = new_cache.address.split(":")
    pool.update_endpoint("c0", (host, int(port)), "up")
    connects_allowed.set()
    assert [arguments[:2] for arguments in until(lambda: pool.host.posted)] == [(attempt, "unsent")]
    assert not attempt.written_at and not old_cache.wants


def block_connects(monkeypatch):
    """From now on, connects wait until the returned event is set."""
    connects_allowed, connect = threading.Event(), socket.socket.connect
    monkeypatch.setattr(socket.socket, "connect", lambda sock, address: (connects_allowed.wait(5), connect(sock, address)))
    return connects_allowed


def test_an_attempt_is_not_written_to_a_process_that_replaced_the_one_it_was_decided_for(monkeypatch):
    """The attempt is not in the slow-start budget of the new process. The Router gets the list change first and then decides again."""
    for restarted in ("server", "source"):
        cache = Cache(lambda want: None)
        pool, router_host = make_router_host(cache)
        parent = replace(listed_server(cache, "up"), name="p0", kind="parent")
        router_host.list_received(ListChange(False, (parent,)))
        open_txn_with_hop(pool, staying_client_writer(pool), ident=5)
        connects_allowed = block_connects(monkeypatch)
        with router_host.lock:  # the Router is busy and has not received the list change
            router_host.send_hop(5, "c0", clock() + 3 * SECOND, "p0", 0, 0, False, False, True, NEVER)
            connection = router_host.outbox[-1][0]
            listed_before = listed_server(cache, "up") if restarted == "server" else parent
            router_host.list_received(ListChange(False, (replace(listed_before, started=clock() // MS * MS),)))
            connects_allowed.set()
            until(lambda: connection.connected)
            time.sleep(0.1)
            assert not cache.wants, restarted
            assert [posted[0] for posted in router_host.queue] == [router_host.apply_list, router_host.hop_ended]
