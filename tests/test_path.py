"""The path of an ordinary request: timers, buffers, partial writes, one caller in the Router, and the guard that keeps the path cheap."""

import dataclasses
import random
import socket
import subprocess
import sys
import threading
import time
from dataclasses import dataclass, field
from pathlib import Path
from types import SimpleNamespace

import pytest
from helpers import Cache, Listener, clock, sender, settings, until
from hypothesis import given
from hypothesis import settings as tries
from hypothesis import strategies as st

from fieldspur.bench import count, start
from fieldspur.host import RESULTS
from fieldspur.net import frames, nonblocking, resp
from fieldspur.net import invariants as holding
from fieldspur.net.client_listener import encode
from fieldspur.net.client_writer import AnswerSender, ClientWriter
from fieldspur.net.connection_pool import ConnectionPool
from fieldspur.net.discovery import ListChange, ListedServer
from fieldspur.net.open_txns import Answer, OpenTxns, Txn
from fieldspur.net.receive_buffer import ReceiveBuffer
from fieldspur.net.router_host import RouterHost
from fieldspur.net.server_connection import Hop
from fieldspur.net.timer_wheel import NEVER, SLOT_SHIFT, TimerWheel
from fieldspur.record import default_factory, record, replace
from fieldspur.site import MS, deployment

ROOT = Path(__file__).parents[1]


# Single parts.


@tries(deadline=None, derandomize=True)
@given(st.lists(st.tuples(st.sampled_from("aacd"), st.integers(0, 40 << SLOT_SHIFT)), max_size=60))
def test_a_timer_wheel_returns_the_same_timers_as_a_sorted_list(steps):
    wheel, expected, now_at = TimerWheel(), {}, 0
    for key_number, (step, value) in enumerate(steps):
        if step == "a":
            wheel.add(value, key_number)
            expected[key_number] = value
        elif step == "c" and expected:
            key = sorted(expected)[value % len(expected)]
            assert wheel.cancel(expected.pop(key), key) and not wheel.cancel(5, key)
        elif step == "d":
            now_at = max(now_at, value)
            due = sorted((at, key) for key, at in expected.items() if at <= now_at)
            assert sorted(wheel.pop_due(now_at)) == due
            for _, key in due:
                del expected[key]
        assert wheel.next_time() == min(expected.values(), default=NEVER) and wheel.count == len(expected)


@tries(deadline=None, derandomize=True)
@given(st.booleans(), st.lists(st.integers(1, 9000), min_size=1, max_size=12), st.randoms(use_true_random=False))
def test_a_receive_buffer_keeps_every_byte_in_order_and_always_has_free_space(eager, sizes, chance):
    """Messages of a known length pass however the reads split them, and in a steady state no new buffer is made."""
    buffer, sent = ReceiveBuffer(256, eager), b"".join(bytes([n % 251]) * size for n, size in enumerate(sizes))
    position, message_number = 0, 0
    while message_number < len(sizes):
        free_space = buffer.free_space()
        assert len(free_space)
        size = min(len(free_space), len(sent) - position, chance.randint(1, 5000))
        free_space[:size] = sent[position : position + size]
        buffer.end, position = buffer.end + size, position + size
        while message_number < len(sizes):
            buffer.message_size = sizes[message_number]
            if buffer.end - buffer.start < sizes[message_number]:
                break
            assert buffer.buf[buffer.start : buffer.start + sizes[message_number]] == bytes([message_number % 251]) * sizes[message_number]
            buffer.start, buffer.message_size, message_number = buffer.start + sizes[message_number], 0, message_number + 1
    memory_before = buffer.free_space().obj
    if eager:
        assert buffer.free_space().obj is memory_before


FIELD_NAMES = st.sampled_from(["verb", "txn", "limit", "unique", "item", "slice", "set", "ram", "seen", "odd"])
FIELD_VALUES = st.one_of(
    st.from_regex(r"[0-9a-f]{16}", fullmatch=True),
    st.from_regex(r"[0-9]{1,12}", fullmatch=True),
    st.from_regex(r"[!-~]{0,12}", fullmatch=True),
    st.from_regex(r"[0-9]{1,4}\.[0-9]{0,3}", fullmatch=True),
)
VALID_FIELDS = [("verb", "media"), ("txn", "9b1f03aa5c7e2d41"), ("limit", "1500"), ("item", "7f3a9c21e0b4d655"), ("set", "17")]


@tries(deadline=None, derandomize=True, max_examples=300)
@given(
    st.lists(st.tuples(FIELD_NAMES, FIELD_VALUES), max_size=4), st.integers(0, 5), st.booleans(), st.binary(max_size=20), st.integers(-1, 1)
)
def test_a_request_decoded_by_one_match_equals_the_one_decoded_field_by_field(extra_fields, position, usual_order, body, count_error):
    fields = (
        VALID_FIELDS[:position] + extra_fields + VALID_FIELDS[position:]
        if not usual_order
        else VALID_FIELDS[:4] + [("slice", "3"), VALID_FIELDS[4], ("ram", "4.5")]
    )
    payload = (
        bytes([max(0, len(fields) + count_error * (not usual_order))])
        + b"".join(bytes([len(name)]) + name.encode() + len(value).to_bytes(2, "big") + value.encode() for name, value in fields)
        + body
    )
    by_one_match = frames.decode_usual_request(5, bytearray(payload), 0, len(payload))
    if by_one_match is not None:
        assert by_one_match == frames.decode_request(5, payload)
    assert by_one_match is not None or not usual_order


@tries(deadline=None, derandomize=True, max_examples=30)
@given(st.lists(st.integers(0, 120_000), max_size=4), st.lists(st.integers(1, 70_000), min_size=1, max_size=30))
def test_long_replies_are_decoded_however_the_reads_split_them(sizes, reads):
    bodies = [b"%04d" % n * (size // 4) for n, size in enumerate(sizes)]
    data = b"".join(resp.encode_array(b"%016x" % n, b"ACK", b"entity=e", body) for n, body in enumerate(bodies))
    decoder, replies, position = resp.Decoder(), [], 0
    while position < len(data):
        free_space = decoder.buffer.free_space()
        size = min(len(free_space), reads[len(replies) % len(reads)], len(data) - position)
        free_space[:size] = data[position : position + size]
        position += size
        replies += [(reply.ident, bytes(reply.body)) for reply in decoder.received(size)]
    assert replies == [("%016x" % n, body) for n, body in enumerate(bodies)] and not decoder.in_reply()


def test_an_array_that_is_too_long_for_a_reply_is_an_error():
    decoder = resp.Decoder()
    with pytest.raises(resp.BadReply):
        list(decoder.feed(resp.encode_array(b"a" * 200_000, b"b" * 200_000, b"c")))


def test_a_nonblocking_write_returns_the_unwritten_rest(monkeypatch):
    for send_function in (nonblocking.libc_send, None):
        monkeypatch.setattr(nonblocking, "libc_send", send_function)
        here, there = socket.socketpair()
        here.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 8192)
        data = b"x" * 1_000_000
        unwritten = nonblocking.write_nonblocking(here, (data,))
        assert 0 < sum(map(len, unwritten)) < len(data)
        assert nonblocking.write_nonblocking(here, unwritten) == unwritten or sum(
            map(len, unwritten)
        )  # the socket is full: nothing is written, and the call does not wait
        there.close()
        with pytest.raises(OSError):
            for _ in range(3):
                nonblocking.write_nonblocking(here, (data,))
        here.close()


# One connection to a server.


def make_want(name, body=b""):
    return resp.Want(name, "media", "0" * 16, 0, 3000, None, None, 0, 0, False, False, True, None, body)


def enqueue_and_write(pool, hop):
    connection = pool.enqueue(hop)
    connection.write_queued()
    return connection


def test_a_socket_that_accepts_a_part_of_a_write_gets_the_rest_and_then_the_queued_hops():
    """The server reads nothing for a while. Hops are queued meanwhile; they arrive in order, and none is lost or sent twice."""
    may_read, received = threading.Event(), []

    class SlowCache(Cache):
        def serve(self, conn):
            may_read.wait(20)
            super().serve(conn)

    cache = SlowCache(lambda w: received.append((w["id"], len(w["body"]))))
    pool = sender(cache.address)
    hops = [Hop(n + 1, 0, f"{n:016x}", "c0", None, make_want(f"{n:016x}", b"w" * 48_000), clock()) for n in range(90)]
    connection = enqueue_and_write(pool, hops[0])
    until(lambda: connection.connected)
    connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 8192)
    for hop in hops[1:]:
        assert enqueue_and_write(pool, hop) is connection
    until(lambda: connection.rest_writer_active)
    assert not received
    may_read.set()
    until(lambda: len(received) == 90)
    assert received == [(hop.name, 48_000) for hop in hops] and not connection.rest_writer_active and not pool.host.posted


def test_a_connection_that_breaks_during_a_partial_write_reports_which_hop_never_ran():
    silent_server = Listener()
    silent_server.serve = lambda conn: time.sleep(30)
    pool = sender(silent_server.address)
    first = Hop(1, 0, "a" * 16, "c0", None, make_want("a" * 16), clock())
    connection = enqueue_and_write(pool, first)
    until(lambda: connection.connected and first.written_at)
    connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    large_hops = [Hop(n, 0, f"{n:016x}", "c0", None, make_want(f"{n:016x}", b"w" * 48_000), clock()) for n in range(2, 150)]
    for hop in large_hops:
        enqueue_and_write(pool, hop)
        if connection.rest_writer_active:
            break
    assert connection.rest_writer_active
    until(lambda: silent_server.conns)
    silent_server.reset()
    until(lambda: connection.closed and len(pool.host.posted) == 1 + large_hops.index(hop) + 1)
    results = {arguments[0].name: arguments[1] for arguments in pool.host.posted}
    assert results["a" * 16] == "broken" and results[hop.name] in ("unsent", "broken") and set(results.values()) <= set(RESULTS)


def test_a_server_removed_between_decision_and_write_never_gets_the_hop():
    cache = Cache(lambda w: None)
    pool = sender(cache.address)
    hop = Hop(1, 0, "a" * 16, "c0", None, make_want("a" * 16), clock())
    connection = enqueue_and_write(pool, hop)
    until(lambda: hop.written_at and cache.wants)
    second_hop = Hop(2, 0, "b" * 16, "c0", None, make_want("b" * 16), clock())
    assert pool.enqueue(second_hop) is connection
    pool.update_endpoint("c0", ("", 0), "gone")
    connection.write_queued()
    assert [arguments[:2] for arguments in pool.host.posted] == [(second_hop, "unsent")] and "b" * 16 not in connection.open_hops


def test_a_reply_that_arrives_while_its_hop_is_still_being_written_counts_once():
    """The server replies as soon as it has read the head of a large message."""
    has_replied = threading.Event()

    class HastyServer(Listener):
        def serve(self, conn):
            conn.recv(2000)
            conn.sendall(resp.encode_array(b"a" * 16, b"EIO", b"-"))
            has_replied.set()
            while conn.recv(65_536):
                pass

    hasty_server = HastyServer()
    pool = sender(hasty_server.address)
    hop = Hop(1, 0, "a" * 16, "c0", None, make_want("a" * 16, b"w" * 48_000), clock())
    connection = enqueue_and_write(pool, hop)
    until(has_replied.is_set)
    until(lambda: pool.host.posted)
    assert pool.host.posted[0][:2] == (hop, "error") and len(pool.host.posted) == 1 and not connection.open_hops
    assert not pool.give_up(hop, clock())


def test_replies_of_one_read_go_out_in_one_write_to_each_client():
    """Corked answers count as undelivered until they are written: neither a sweep nor the program's end closes their connection before."""
    pool = sender(Listener().address)
    connection = enqueue_and_write(pool, Hop(99, 0, "f" * 16, "c0", None, make_want("f" * 16), clock()))
    pairs, client_writers = [socket.socketpair() for _ in range(2)], []
    for here, _ in pairs:
        client_writers.append(ClientWriter(here, encode, pool.answer_sender))
    data, now = b"", clock()
    for n in range(6):
        name = f"{n + 1:016x}"
        client_writers[n % 2].open_stream(n + 1, n + 1)
        pool.open_txns.add(Txn(n + 1, name, 0, "media", "o", 0, 1, 1.0, None, None, b"", now, now + 10**10, client_writers[n % 2], n + 1))
        enqueue_and_write(pool, Hop(n + 1, 0, name, "c0", None, make_want(name), now))
        data += resp.encode_array(name.encode(), b"ACK", b"entity=e,issued=1", b"body-%d" % n)
    observed, real_uncork = [], ClientWriter.uncork

    def observe(self):
        observed.append((len(self.corked), self.shut_if_idle(), pool.answer_sender.all_delivered()))
        real_uncork(self)

    ClientWriter.uncork, decoder = observe, resp.Decoder()
    try:
        free_space = decoder.buffer.free_space()
        free_space[: len(data)] = data
        connection.handle_replies(decoder, len(data))
    finally:
        ClientWriter.uncork = real_uncork
    assert observed == [(3, False, False)] * 2 and pool.answer_sender.all_delivered() and len(pool.host.posted) == 6
    for n, (_, there) in enumerate(pairs):
        there.setblocking(False)
        assert there.recv(4000) == b"".join(
            b"".join(encode(stream, Answer("completed", body=b"body-%d" % (stream - 1)))) for stream in (n + 1, n + 3, n + 5)
        )


# One caller in the Router.


def make_router_host():
    site = deployment(settings())
    return RouterHost(site, 1, OpenTxns(), AnswerSender(1 << 20), ConnectionPool(site, OpenTxns(), AnswerSender(1 << 20), 4))


def test_events_of_many_threads_are_handled_once_each_by_one_caller_at_a_time():
    """100,000 events from 8 threads, some of which post further events while they are handled, with frequent thread switches."""
    router_host, active, handled, overlaps = make_router_host(), [], [], []
    interval_before, events_per_thread = sys.getswitchinterval(), 12_500
    sys.setswitchinterval(1e-6)

    def event(thread_number, n):
        if active:
            overlaps.append((thread_number, n))
        active.append(thread_number)
        if n % 10 == 0:
            router_host.post(inner, thread_number, n)
        active.pop()
        handled.append((thread_number, n))

    def inner(thread_number, n):
        if active:
            overlaps.append((thread_number, n))
        handled.append((thread_number, -n - 1))

    def post(thread_number):
        for n in range(events_per_thread):
            router_host.post(event, thread_number, n)

    try:
        threads = [threading.Thread(target=post, args=(thread_number,)) for thread_number in range(8)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join(60)
    finally:
        sys.setswitchinterval(interval_before)
    router_host.process_queue(0)  # events that a thread has left to the timer thread
    assert not overlaps and not router_host.queue and not holding.violation_counts
    assert len(handled) == 8 * (events_per_thread + events_per_thread // 10) and len(set(handled)) == len(handled)
    for thread_number in range(8):
        own_events = [n for other, n in handled if other == thread_number and n >= 0]
        assert own_events == sorted(own_events), "events of one thread in another order"


def test_a_second_caller_in_the_router_is_detected(monkeypatch):
    monkeypatch.setattr(threading, "excepthook", lambda args: None)
    router_host = make_router_host()
    router_host.router_thread = 1
    with pytest.raises(AssertionError):
        router_host.post(lambda: None)


@pytest.mark.parametrize("seed", range(20))
def test_each_txn_gets_exactly_one_final_answer_whatever_ends_it_in_any_order(seed):
    """5,000 txns for each seed: a reply, an error, a timeout, a withdrawal, a broken connection and the Router's own answer come in a
    generated order, from several threads."""
    random_source, site = random.Random(seed), deployment(settings())
    open_txns, answer_sender = OpenTxns(), AnswerSender(1 << 20)
    pool = ConnectionPool(site, open_txns, answer_sender, 4)
    router_host = RouterHost(site, 1, open_txns, answer_sender, pool)
    answered = {}
    fake_connection = SimpleNamespace(write_queued=lambda: None, remove_hop=lambda hop, now: None)
    hops = {}

    class FakeClientWriter:
        def answer(self, stream, answer, cork=None, late=False):
            if streams.pop(stream, None) is None:
                return False
            answered.setdefault(stream, []).append(answer.outcome)
            return True

    def fake_enqueue(hop):
        hop.connection, hop.written_at = fake_connection, clock()
        hops.setdefault(hop.ident, []).append(hop)
        return fake_connection

    pool.enqueue = fake_enqueue
    client_writer, streams, withdrawn = FakeClientWriter(), {}, set()
    servers = tuple(ListedServer(f"c{n}", ("127.0.0.1", 1), "east", "std", 0, "up", 500.0, 0) for n in range(3))
    router_host.list_received(ListChange(True, servers), at_start=True)
    txn_count = 5_000

    def end(ident):
        endings = random_source.sample(("good", "error", "cut", "withdraw", "broken", "good"), random_source.randint(1, 4))
        for ending in endings:
            hop = hops[ident][-1] if hops.get(ident) else None
            if ending == "withdraw":
                if streams.pop(ident, None) is not None:
                    withdrawn.add(ident)
                    if open_txns.withdraw(ident):
                        router_host.post(router_host.txn_withdrawn, ident)
            elif hop is None:
                continue
            elif ending == "cut":
                router_host.post(router_host.hop_timed_out, ident, hop.number)
            elif ending == "broken":
                pool.end_hop(hop, "broken")
            else:
                pool.handle_reply(
                    hop, resp.Reply(hop.name, "completed" if ending == "good" else "error", False, 1, None, None, b"x"), clock()
                )

    def arrive(numbers):
        for ident in numbers:
            streams[ident] = ident
            now = clock()
            txn = Txn(
                ident,
                f"{ident:016x}",
                ident % 2,
                "media",
                f"{ident % 7:016x}",
                0,
                1,
                1.0,
                "k",
                None,
                b"",
                now,
                now + 60_000 * MS,
                client_writer,
                ident,
            )
            open_txns.add(txn)
            router_host.post(router_host.txn_arrived, txn)
            end(ident)

    threads = [threading.Thread(target=arrive, args=(range(1 + n, txn_count + 1, 4),)) for n in range(4)]
    interval_before = sys.getswitchinterval()
    sys.setswitchinterval(1e-5)
    try:
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join(60)
    finally:
        sys.setswitchinterval(interval_before)
    router_host.process_queue(0)
    for _ in range(20):  # ends the hops of all txns that are still open, and of their next attempts
        for ident in list(open_txns.by_id):
            if hops.get(ident):
                pool.end_hop(hops[ident][-1], "unreachable")
        router_host.process_queue(0)
    for ident in list(open_txns.by_id):  # waiters whose leader has ended
        router_host.post(router_host.hop_timed_out, ident, hops[ident][-1].number if hops.get(ident) else 0)
    router_host.process_queue(0)
    answered_twice = [ident for ident, outcomes in answered.items() if len(outcomes) != 1]
    answered_and_withdrawn = [ident for ident in answered if ident in withdrawn]
    never_ended = [ident for ident in range(1, txn_count + 1) if ident not in answered and ident not in withdrawn]
    assert (
        not answered_twice
        and not answered_and_withdrawn
        and not never_ended
        and not open_txns.by_id
        and answer_sender.all_delivered()
        and not holding.violation_counts
    )


def test_an_error_in_the_router_costs_only_its_event_whatever_its_type_and_thread(monkeypatch):
    """The discovery thread takes a ValueError for a bad line, a reader an OSError for a broken connection:
    neither may get the Router's error."""
    router_host, reported_types, handled = make_router_host(), [], []
    monkeypatch.setattr(threading, "excepthook", lambda args: reported_types.append(args.exc_type))
    count_before = holding.contained_errors.log_fields().get("contained_event", 0)
    for error_type in (ValueError, OSError, KeyError):
        router_host.post(lambda: (_ for _ in ()).throw(error_type("in there")))
        router_host.post(handled.append, error_type)
    assert handled == [ValueError, OSError, KeyError] and not reported_types
    assert holding.contained_errors.log_fields()["contained_event"] == count_before + 3
    assert not router_host.lock.locked() and router_host.router_thread is None
    with pytest.raises(AssertionError):  # a violated invariant is not contained
        router_host.post(lambda: holding.check_invariant(False, "a thing"))
    assert reported_types == [AssertionError] and not router_host.lock.locked()


def test_a_txn_rejected_within_the_call_that_added_it_is_answered_by_that_thread_at_once():
    router_host = make_router_host()
    here, there = socket.socketpair()
    client_writer = ClientWriter(here, encode, router_host.answer_sender)
    client_writer.open_stream(1, 1)
    at = clock()
    router_host.open_txns.add(Txn(1, "a" * 16, 0, "media", "o", 0, 1, 1.0, None, None, b"", at, at + 3000 * MS, client_writer, 1))
    router_host.post(router_host.txn_arrived, router_host.open_txns.by_id[1])  # no server is listed
    there.setblocking(False)
    assert there.recv(100)[9] == frames.REJECTED and router_host.answer_sender.all_delivered()


def test_an_earlier_timer_wakes_the_timer_thread_and_cancelled_ones_do_not():
    router_host, fired = make_router_host(), []
    router_host.router = SimpleNamespace(alarm_fired=lambda label: fired.append((label, clock())))
    threading.Thread(target=router_host.run, daemon=True).start()
    start_time = clock()

    def set_timers():
        for label, delay_ms in ((1, 5_000), (2, 60), (3, 30), (4, 40)):
            router_host.set_alarm(label, start_time + delay_ms * MS)
        router_host.cancel_alarm(4)

    router_host.post(set_timers)
    until(lambda: len(fired) == 2)
    assert [label for label, _ in fired] == [3, 2] and all(at >= start_time + delay_ms * MS for (_, at), delay_ms in zip(fired, (30, 60)))
    assert router_host.timers.count == 1 and list(router_host.alarms) == [1]


# The guard of the costs.

INJECTED_COSTS = {
    "": "",
    "copies_to_a_quick_client": "from fieldspur.net.client_writer import ClientWriter\nput = ClientWriter.write_or_queue\n"
    "ClientWriter.write_or_queue = lambda self, data: put(self, (b''.join(data),))\n",
    "threads": "import queue, threading\nfrom fieldspur.net.router_host import RouterHost\npost, line = RouterHost.post, queue.Queue()\n"
    "RouterHost.post = lambda self, *about: line.put((self, about))\n"
    "def run():\n    while True:\n        self, about = line.get()\n        post(self, *about)\n"
    "def begin(self, old=RouterHost.run):\n    threading.Thread(target=run, daemon=True).start()\n    old(self)\n"
    "RouterHost.run = begin\n",
    "peak_bytes": "from fieldspur.net.resp import Decoder\nfilled = Decoder.received\n"
    "def more(self, size):\n    held = bytearray(65536)\n    yield from filled(self, size)\n"
    "Decoder.received = more\n",
}


@pytest.mark.parametrize("planted", INJECTED_COSTS)
def test_the_guard_names_an_added_copy_hand_off_and_allocation_and_passes_without_them(planted):
    rule = "media" if planted.startswith("copies") else "pages"
    code = (
        INJECTED_COSTS[planted] + "import json, os\nfrom fieldspur.bench import count\nlimits = json.loads(count.LIMITS.read_text())\n"
        f"print(json.dumps(count.exceeded_limits(count.counts({rule!r}, 30), limits[{rule!r}])), flush=True)\nos._exit(0)\n"
    )
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, timeout=60, cwd=ROOT)
    named = [line.split(":")[0] for line in eval(done.stdout or repr([done.stderr]))]
    assert planted in named if planted else named == [], done.stderr


def test_the_command_exits_with_0_if_all_limits_are_kept():
    done = subprocess.run(
        [sys.executable, "-m", "fieldspur.cli", "bench", "path", "--guard"], capture_output=True, text=True, timeout=60, cwd=ROOT
    )
    assert done.returncode == 0, done.stderr


def test_a_count_above_its_limit_is_named_with_both():
    assert count.exceeded_limits({"calls": 90, "reads": 2}, {"calls": 80, "reads": 2}) == ["calls: 90 a txn, 80 allowed"]


@pytest.mark.parametrize("calls, named", [((111, 105, 99), []), ((101, 101, 101, 101), ["calls: 101 a txn, 100 allowed"])])
def test_other_load_on_the_machine_names_no_count_and_a_real_excess_is_named_each_time(monkeypatch, tmp_path, calls, named):
    calls_left = list(calls)
    monkeypatch.setattr(count, "counts", lambda rule: {"calls": calls_left.pop(0), "reads": 6})
    (tmp_path / "limits").write_text('{"media": {"calls": 100, "reads": 6}}')
    assert count.guard(("media",), tmp_path / "limits").get("media", []) == named and not calls_left


# The cost of a start.


def test_a_start_loads_only_the_modules_it_needs_and_compiles_nothing():
    assert start.guard() == []


def test_the_count_of_a_start_finds_a_compiled_file_and_an_unneeded_module(monkeypatch):
    """Without bytecode, as before `build` has compiled it, and with an import that a start does not need."""
    monkeypatch.setattr(start, "command", lambda build: (["-S", "-B", "-O"], False))
    monkeypatch.setattr(start, "COUNTED", start.COUNTED.replace("import fieldspur", "import dataclasses, fieldspur"))
    lines = start.guard()
    assert len(lines) == 2 and "modules" in lines[0] and "compiled" in lines[1]


def test_a_start_is_measured_with_the_flags_of_its_own_deploy_file(tmp_path):
    (row,) = start.measure_rounds({"this": start.ROOT}, 1)
    assert 0 < row["cpu_ms"] and 0 < row["ready_ms"] < 20_000
    (tmp_path / "deploy").mkdir()
    (tmp_path / "deploy" / "balancer.toml").write_text('build = "true"\nrun = "exec .venv/bin/python -B -O -m fieldspur"\n')
    assert start.command(tmp_path) == (["-B", "-O"], False)


# Records.


@given(st.lists(st.integers(), min_size=2, max_size=2), st.booleans())
def test_records_behave_like_dataclasses_with_the_same_fields(values, frozen):
    class Fields:
        first: int
        second: int
        third: list

    record_fields = type("Fields", (), {"__annotations__": Fields.__annotations__, "second": 5, "third": default_factory(list)})
    dataclass_fields = type("Fields", (), {"__annotations__": Fields.__annotations__, "second": 5, "third": field(default_factory=list)})
    record_class, dataclass_class = record(frozen=frozen)(record_fields), dataclass(frozen=frozen, slots=True)(dataclass_fields)
    assert (
        repr(record_class(values[0])) == repr(dataclass_class(values[0]))
        and record_class(values[0]).third is not record_class(values[0]).third
    )
    assert (record_class(values[0]) == record_class(values[1])) == (dataclass_class(values[0]) == dataclass_class(values[1]))
    assert repr(replace(record_class(*values), second=9)) == repr(dataclasses.replace(dataclass_class(*values), second=9))
    assert not hasattr(record_class(1), "__dict__") and record_class(1) != dataclass_class(1)
    for kind in (record_class, dataclass_class):
        if frozen:
            with pytest.raises(AttributeError):
                kind(1).first = 2
        else:
            kind(1).first = 2
        with pytest.raises(TypeError):
            kind()
