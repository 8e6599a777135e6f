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
    wheel, plain, now_at = TimerWheel(), {}, 0
    for n, (what, value) in enumerate(steps):
        if what == "a":
            wheel.add(value, n)
            plain[n] = value
        elif what == "c" and plain:
            key = sorted(plain)[value % len(plain)]
            assert wheel.cancel(plain.pop(key), key) and not wheel.cancel(5, key)
        elif what == "d":
            now_at = max(now_at, value)
            due = sorted((at, key) for key, at in plain.items() if at <= now_at)
            assert sorted(wheel.pop_due(now_at)) == due
            for _, key in due:
                del plain[key]
        assert wheel.next_time() == min(plain.values(), default=NEVER) and wheel.count == len(plain)


@tries(deadline=None, derandomize=True)
@given(st.booleans(), st.lists(st.integers(1, 9000), min_size=1, max_size=12), st.randoms(use_true_random=False))
def test_a_receive_buffer_keeps_every_byte_in_order_and_always_has_free_space(eager, sizes, chance):
    """Messages of a known length pass however the reads split them, and in a steady state no new buffer is made."""
    window, sent = ReceiveBuffer(256, eager), b"".join(bytes([n % 251]) * size for n, size in enumerate(sizes))
    at, done = 0, 0
    while done < len(sizes):
        room = window.free_space()
        assert len(room)
        size = min(len(room), len(sent) - at, chance.randint(1, 5000))
        room[:size] = sent[at : at + size]
        window.end, at = window.end + size, at + size
        while done < len(sizes):
            window.message_size = sizes[done]
            if window.end - window.start < sizes[done]:
                break
            assert window.buf[window.start : window.start + sizes[done]] == bytes([done % 251]) * sizes[done]
            window.start, window.message_size, done = window.start + sizes[done], 0, done + 1
    before = window.free_space().obj
    if eager:
        assert window.free_space().obj is before


FIELD = st.sampled_from(["verb", "txn", "limit", "unique", "item", "slice", "set", "ram", "seen", "odd"])
VALUE = st.one_of(
    st.from_regex(r"[0-9a-f]{16}", fullmatch=True),
    st.from_regex(r"[0-9]{1,12}", fullmatch=True),
    st.from_regex(r"[!-~]{0,12}", fullmatch=True),
    st.from_regex(r"[0-9]{1,4}\.[0-9]{0,3}", fullmatch=True),
)
GOOD = [("verb", "media"), ("txn", "9b1f03aa5c7e2d41"), ("limit", "1500"), ("item", "7f3a9c21e0b4d655"), ("set", "17")]


@tries(deadline=None, derandomize=True, max_examples=300)
@given(st.lists(st.tuples(FIELD, VALUE), max_size=4), st.integers(0, 5), st.booleans(), st.binary(max_size=20), st.integers(-1, 1))
def test_a_request_decoded_by_one_match_equals_the_one_decoded_field_by_field(extra, where, ordered, body, off):
    rows = GOOD[:where] + extra + GOOD[where:] if not ordered else GOOD[:4] + [("slice", "3"), GOOD[4], ("ram", "4.5")]
    payload = (
        bytes([max(0, len(rows) + off * (not ordered))])
        + b"".join(bytes([len(k)]) + k.encode() + len(v).to_bytes(2, "big") + v.encode() for k, v in rows)
        + body
    )
    quick = frames.decode_usual_request(5, bytearray(payload), 0, len(payload))
    if quick is not None:
        assert quick == frames.decode_request(5, payload)
    assert quick is not None or not ordered


@tries(deadline=None, derandomize=True, max_examples=30)
@given(st.lists(st.integers(0, 120_000), max_size=4), st.lists(st.integers(1, 70_000), min_size=1, max_size=30))
def test_long_replies_are_decoded_however_the_reads_split_them(sizes, reads):
    bodies = [b"%04d" % n * (size // 4) for n, size in enumerate(sizes)]
    data = b"".join(resp.encode_array(b"%016x" % n, b"ACK", b"entity=e", body) for n, body in enumerate(bodies))
    decoder, found, at = resp.Decoder(), [], 0
    while at < len(data):
        room = decoder.buffer.free_space()
        size = min(len(room), reads[len(found) % len(reads)], len(data) - at)
        room[:size] = data[at : at + size]
        at += size
        found += [(reply.ident, bytes(reply.body)) for reply in decoder.received(size)]
    assert found == [("%016x" % n, body) for n, body in enumerate(bodies)] and not decoder.in_reply()


def test_an_array_that_is_too_long_for_a_reply_is_an_error():
    decoder = resp.Decoder()
    with pytest.raises(resp.BadReply):
        list(decoder.feed(resp.encode_array(b"a" * 200_000, b"b" * 200_000, b"c")))


def test_a_nonblocking_write_returns_the_unwritten_rest(monkeypatch):
    for raw in (nonblocking.libc_send, None):
        monkeypatch.setattr(nonblocking, "libc_send", raw)
        here, there = socket.socketpair()
        here.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 8192)
        data = b"x" * 1_000_000
        left = nonblocking.write_nonblocking(here, (data,))
        assert 0 < sum(map(len, left)) < len(data)
        assert nonblocking.write_nonblocking(here, left) == left or sum(
            map(len, left)
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
    gate, seen = threading.Event(), []

    class Slow(Cache):
        def serve(self, conn):
            gate.wait(20)
            super().serve(conn)

    cache = Slow(lambda w: seen.append((w["id"], len(w["body"]))))
    pool = sender(cache.address)
    hops = [Hop(n + 1, 0, f"{n:016x}", "c0", None, make_want(f"{n:016x}", b"w" * 48_000), clock()) for n in range(90)]
    connection = enqueue_and_write(pool, hops[0])
    until(lambda: connection.connected)
    connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 8192)
    for hop in hops[1:]:
        assert enqueue_and_write(pool, hop) is connection
    until(lambda: connection.rest_writer_active)
    assert not seen
    gate.set()
    until(lambda: len(seen) == 90)
    assert seen == [(hop.name, 48_000) for hop in hops] and not connection.rest_writer_active and not pool.host.posted


def test_a_connection_that_breaks_during_a_partial_write_reports_which_hop_never_ran():
    quiet = Listener()
    quiet.serve = lambda conn: time.sleep(30)
    pool = sender(quiet.address)
    first = Hop(1, 0, "a" * 16, "c0", None, make_want("a" * 16), clock())
    connection = enqueue_and_write(pool, first)
    until(lambda: connection.connected and first.written_at)
    connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    bodies = [Hop(n, 0, f"{n:016x}", "c0", None, make_want(f"{n:016x}", b"w" * 48_000), clock()) for n in range(2, 150)]
    for hop in bodies:
        enqueue_and_write(pool, hop)
        if connection.rest_writer_active:
            break
    assert connection.rest_writer_active
    until(lambda: quiet.conns)
    quiet.reset()
    until(lambda: connection.closed and len(pool.host.posted) == 1 + bodies.index(hop) + 1)
    ends = {about[0].name: about[1] for about in pool.host.posted}
    assert ends["a" * 16] == "broken" and ends[hop.name] in ("unsent", "broken") and set(ends.values()) <= set(RESULTS)


def test_a_server_removed_between_decision_and_write_never_gets_the_hop():
    cache = Cache(lambda w: None)
    pool = sender(cache.address)
    hop = Hop(1, 0, "a" * 16, "c0", None, make_want("a" * 16), clock())
    connection = enqueue_and_write(pool, hop)
    until(lambda: hop.written_at and cache.wants)
    other = Hop(2, 0, "b" * 16, "c0", None, make_want("b" * 16), clock())
    assert pool.enqueue(other) is connection
    pool.update_endpoint("c0", ("", 0), "gone")
    connection.write_queued()
    assert [about[:2] for about in pool.host.posted] == [(other, "unsent")] and "b" * 16 not in connection.open_hops


def test_a_reply_that_arrives_while_its_hop_is_still_being_written_counts_once():
    """The server replies as soon as it has read the head of a large message."""
    seen = threading.Event()

    class Hasty(Listener):
        def serve(self, conn):
            conn.recv(2000)
            conn.sendall(resp.encode_array(b"a" * 16, b"EIO", b"-"))
            seen.set()
            while conn.recv(65_536):
                pass

    hasty = Hasty()
    pool = sender(hasty.address)
    hop = Hop(1, 0, "a" * 16, "c0", None, make_want("a" * 16, b"w" * 48_000), clock())
    connection = enqueue_and_write(pool, hop)
    until(seen.is_set)
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
    data, at = b"", clock()
    for n in range(6):
        name = f"{n + 1:016x}"
        client_writers[n % 2].open_stream(n + 1, n + 1)
        pool.open_txns.add(Txn(n + 1, name, 0, "media", "o", 0, 1, 1.0, None, None, b"", at, at + 10**10, client_writers[n % 2], n + 1))
        enqueue_and_write(pool, Hop(n + 1, 0, name, "c0", None, make_want(name), at))
        data += resp.encode_array(name.encode(), b"ACK", b"entity=e,issued=1", b"body-%d" % n)
    seen, put = [], ClientWriter.uncork

    def look(self):
        seen.append((len(self.corked), self.shut_if_idle(), pool.answer_sender.all_delivered()))
        put(self)

    ClientWriter.uncork, decoder = look, resp.Decoder()
    try:
        room = decoder.buffer.free_space()
        room[: len(data)] = data
        connection.handle_replies(decoder, len(data))
    finally:
        ClientWriter.uncork = put
    assert seen == [(3, False, False)] * 2 and pool.answer_sender.all_delivered() and len(pool.host.posted) == 6
    for n, (_, there) in enumerate(pairs):
        there.setblocking(False)
        assert there.recv(4000) == b"".join(
            b"".join(encode(s, Answer("completed", body=b"body-%d" % (s - 1)))) for s in (n + 1, n + 3, n + 5)
        )


# One caller in the Router.


def make_router_host():
    site = deployment(settings())
    return RouterHost(site, 1, OpenTxns(), AnswerSender(1 << 20), ConnectionPool(site, OpenTxns(), AnswerSender(1 << 20), 4))


def test_events_of_many_threads_are_handled_once_each_by_one_caller_at_a_time():
    """100,000 events from 8 threads, some of which post further events while they are handled, with frequent thread switches."""
    router_host, inside, seen, overlaps = make_router_host(), [], [], []
    before, spread = sys.getswitchinterval(), 12_500
    sys.setswitchinterval(1e-6)

    def event(who, n):
        if inside:
            overlaps.append((who, n))
        inside.append(who)
        if n % 10 == 0:
            router_host.post(inner, who, n)
        inside.pop()
        seen.append((who, n))

    def inner(who, n):
        if inside:
            overlaps.append((who, n))
        seen.append((who, -n - 1))

    def post(who):
        for n in range(spread):
            router_host.post(event, who, n)

    try:
        threads = [threading.Thread(target=post, args=(who,)) for who in range(8)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join(60)
    finally:
        sys.setswitchinterval(before)
    router_host.process_queue(0)  # events that a thread has left to the timer thread
    assert not overlaps and not router_host.queue and not holding.violation_counts
    assert len(seen) == 8 * (spread + spread // 10) and len(set(seen)) == len(seen)
    for who in range(8):
        mine = [n for other, n in seen if other == who and n >= 0]
        assert mine == sorted(mine), "events of one thread in another order"


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
    chance, site = random.Random(seed), deployment(settings())
    open_txns, answer_sender = OpenTxns(), AnswerSender(1 << 20)
    pool = ConnectionPool(site, open_txns, answer_sender, 4)
    router_host = RouterHost(site, 1, open_txns, answer_sender, pool)
    answered = {}
    connections = SimpleNamespace(write_queued=lambda: None, remove_hop=lambda hop, at: None)
    hops = {}

    class Taking:
        def answer(self, stream, answer, cork=None, late=False):
            if streams.pop(stream, None) is None:
                return False
            answered.setdefault(stream, []).append(answer.outcome)
            return True

    def hop_out(hop):
        hop.connection, hop.written_at = connections, clock()
        hops.setdefault(hop.ident, []).append(hop)
        return connections

    pool.enqueue = hop_out
    client_writer, streams, withdrawn = Taking(), {}, set()
    rows = tuple(ListedServer(f"c{n}", ("127.0.0.1", 1), "east", "std", 0, "up", 500.0, 0) for n in range(3))
    router_host.list_received(ListChange(True, rows), at_start=True)
    count_of = 5_000

    def end(ident):
        todo = chance.sample(("good", "error", "cut", "withdraw", "broken", "good"), chance.randint(1, 4))
        for what in todo:
            hop = hops[ident][-1] if hops.get(ident) else None
            if what == "withdraw":
                if streams.pop(ident, None) is not None:
                    withdrawn.add(ident)
                    if open_txns.withdraw(ident):
                        router_host.post(router_host.txn_withdrawn, ident)
            elif hop is None:
                continue
            elif what == "cut":
                router_host.post(router_host.hop_timed_out, ident, hop.number)
            elif what == "broken":
                pool.end_hop(hop, "broken")
            else:
                pool.handle_reply(
                    hop, resp.Reply(hop.name, "completed" if what == "good" else "error", False, 1, None, None, b"x"), clock()
                )

    def arrive(numbers):
        for ident in numbers:
            streams[ident] = ident
            at = clock()
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
                at,
                at + 60_000 * MS,
                client_writer,
                ident,
            )
            open_txns.add(txn)
            router_host.post(router_host.txn_arrived, txn)
            end(ident)

    threads = [threading.Thread(target=arrive, args=(range(1 + n, count_of + 1, 4),)) for n in range(4)]
    before = sys.getswitchinterval()
    sys.setswitchinterval(1e-5)
    try:
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join(60)
    finally:
        sys.setswitchinterval(before)
    router_host.process_queue(0)
    for _ in range(20):  # ends the hops of all txns that are still open, and of their next attempts
        for ident in list(open_txns.by_id):
            if hops.get(ident):
                pool.end_hop(hops[ident][-1], "unreachable")
        router_host.process_queue(0)
    for ident in list(open_txns.by_id):  # waiters whose leader has ended
        router_host.post(router_host.hop_timed_out, ident, hops[ident][-1].number if hops.get(ident) else 0)
    router_host.process_queue(0)
    double = [ident for ident, words in answered.items() if len(words) != 1]
    both = [ident for ident in answered if ident in withdrawn]
    none = [ident for ident in range(1, count_of + 1) if ident not in answered and ident not in withdrawn]
    assert not double and not both and not none and not open_txns.by_id and answer_sender.all_delivered() and not holding.violation_counts


def test_an_error_in_the_router_costs_only_its_event_whatever_its_type_and_thread(monkeypatch):
    """The discovery thread takes a ValueError for a bad line, a reader an OSError for a broken connection:
    neither may get the Router's error."""
    router_host, told, after = make_router_host(), [], []
    monkeypatch.setattr(threading, "excepthook", lambda args: told.append(args.exc_type))
    before = holding.contained_errors.log_fields().get("contained_event", 0)
    for wrong in (ValueError, OSError, KeyError):
        router_host.post(lambda: (_ for _ in ()).throw(wrong("in there")))
        router_host.post(after.append, wrong)
    assert after == [ValueError, OSError, KeyError] and not told
    assert holding.contained_errors.log_fields()["contained_event"] == before + 3
    assert not router_host.lock.locked() and router_host.router_thread is None
    with pytest.raises(AssertionError):  # a violated invariant is not contained
        router_host.post(lambda: holding.check_invariant(False, "a thing"))
    assert told == [AssertionError] and not router_host.lock.locked()


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
    router_host, told = make_router_host(), []
    router_host.router = SimpleNamespace(woken=lambda label: told.append((label, clock())))
    threading.Thread(target=router_host.run, daemon=True).start()
    base = clock()

    def set_timers():
        for label, after in ((1, 5_000), (2, 60), (3, 30), (4, 40)):
            router_host.set_alarm(label, base + after * MS)
        router_host.cancel_alarm(4)

    router_host.post(set_timers)
    until(lambda: len(told) == 2)
    assert [label for label, _ in told] == [3, 2] and all(at >= base + after * MS for (_, at), after in zip(told, (30, 60)))
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
        f"print(json.dumps(count.passed(count.counts({rule!r}, 30), limits[{rule!r}])), flush=True)\nos._exit(0)\n"
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
    assert count.passed({"calls": 90, "reads": 2}, {"calls": 80, "reads": 2}) == ["calls: 90 a txn, 80 allowed"]


@pytest.mark.parametrize("calls, named", [((111, 105, 99), []), ((101, 101, 101, 101), ["calls: 101 a txn, 100 allowed"])])
def test_other_load_on_the_machine_names_no_count_and_a_real_excess_is_named_each_time(monkeypatch, tmp_path, calls, named):
    left = list(calls)
    monkeypatch.setattr(count, "counts", lambda rule: {"calls": left.pop(0), "reads": 6})
    (tmp_path / "limits").write_text('{"media": {"calls": 100, "reads": 6}}')
    assert count.guard(("media",), tmp_path / "limits").get("media", []) == named and not left


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
    (row,) = start.rounds({"this": start.ROOT}, 1)
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

    ours = type("Fields", (), {"__annotations__": Fields.__annotations__, "second": 5, "third": default_factory(list)})
    theirs = type("Fields", (), {"__annotations__": Fields.__annotations__, "second": 5, "third": field(default_factory=list)})
    one, other = record(frozen=frozen)(ours), dataclass(frozen=frozen, slots=True)(theirs)
    assert repr(one(values[0])) == repr(other(values[0])) and one(values[0]).third is not one(values[0]).third
    assert (one(values[0]) == one(values[1])) == (other(values[0]) == other(values[1]))
    assert repr(replace(one(*values), second=9)) == repr(dataclasses.replace(other(*values), second=9))
    assert not hasattr(one(1), "__dict__") and one(1) != other(1)
    for kind in (one, other):
        if frozen:
            with pytest.raises(AttributeError):
                kind(1).first = 2
        else:
            kind(1).first = 2
        with pytest.raises(TypeError):
            kind()
