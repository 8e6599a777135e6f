"""Hundreds of bad clients at full speed cost usual clients no answer, and a router no memory beyond its limit."""

import socket
import struct
import subprocess
import sys
import threading
import time
from pathlib import Path
from random import Random

import pytest
from bad_clients import encode_frame
from helpers import Cache, Listener, clock, peak_memory_mb, sender, until

from fieldspur.net import frames
from fieldspur.net.admission import ReadTurns
from fieldspur.net.receive_buffer import MemoryBudget
from fieldspur.net.server_connection import Hop
from fieldspur.permissions import MAX_USELESS_DEBT, MAX_USELESS_FRAMES, USELESS_FRAMES_PER_S, UselessFrameBudget

LIMIT_MS = 1250
LATE_S = 0.5 + 0.05  # an answer up to half a second after its time only earns nothing; the protocol adds 50 ms
BAD_CLIENTS, PROGRAMS = 330, 3
SOCKETS = 1024  # of which clients hold a third at most: 341
LIMITS = {"cores": 1.0, "memory_mb": 192, "sockets": SOCKETS}


class BadClients:
    """Programs with bad clients; `ended` waits for them and returns how many answers they got."""

    def __init__(self, address, kind, seconds, count=BAD_CLIENTS):
        command = [sys.executable, str(Path(__file__).parent / "bad_clients.py"), address, str(count // PROGRAMS), str(seconds), kind]
        self.programs = [subprocess.Popen(command, stdout=subprocess.PIPE) for _ in range(PROGRAMS)]

    def ended(self):
        return sum(int(program.communicate(timeout=60)[0]) for program in self.programs)

    def are_running(self):
        return any(program.poll() is None for program in self.programs)


def usual_requests(client, while_true, pause_s=0.1):
    """Sends ten requests a second, whether or not earlier ones are answered, and returns how long each took to be answered."""
    sent_at, waits = {}, []

    def read_answers():
        while answer := client.get():
            if answer[0] == 66:
                waits.append(time.monotonic() - sent_at.pop(answer[1]))

    reader = threading.Thread(target=read_answers)
    reader.start()
    stream = 100
    while while_true():
        stream += 1
        if len(sent_at) < 16:
            sent_at[stream] = time.monotonic()
            client.ask(stream, limit=str(LIMIT_MS))
        time.sleep(pause_s)
    until(lambda: not sent_at, "an answer to each request")
    client.sock.shutdown(socket.SHUT_RDWR)
    reader.join(20)
    return waits


@pytest.mark.parametrize("kind", ["unusable", "fields"])
def test_usual_requests_are_answered_in_time_beside_hundreds_of_bad_clients(run, kind):
    """Readers of bad clients' connections had the interpreter in turn with all other threads: requests were answered seconds late.

    `fields`: heads of 255 short fields, of which those that are known are right; decoding them took most of the interpreter."""
    service = run(Cache(), limits=LIMITS)
    client = service.client()
    bad_clients = BadClients(service.address, kind, seconds=12)
    waits = usual_requests(client, bad_clients.are_running)
    assert bad_clients.ended() > BAD_CLIENTS * 32  # all were answered, most more than once
    assert max(waits) < LIMIT_MS / 1000 + LATE_S, sorted(waits)[-5:]


@pytest.mark.parametrize("memory_mb", [32, 48])
@pytest.mark.parametrize("kind", ["bodies", "half", "stopped"])
def test_no_router_passes_its_memory_limit_for_hundreds_of_unfinished_requests(run, kind, memory_mb):
    """330 clients that wrote slowly, or stopped half way through a large request, brought a router to 55 MB at a limit of 32.

    `bodies`: requests of 47 KB in pieces of 1,400 bytes; `half`: half of a frame of 262 KB, which can't be a request; `stopped`: requests
    of 47 KB without their last byte."""
    service = run(Cache(), limits=LIMITS | {"memory_mb": memory_mb}, env={"MALLOC_ARENA_MAX": "2"})  # as the deploy file's `run` sets it
    client = service.client()
    bad_clients = BadClients(service.address, kind, seconds=6)
    waits = usual_requests(client, bad_clients.are_running)
    answers = bad_clients.ended()
    assert peak_memory_mb(service.process.pid) < memory_mb and service.process.poll() is None
    assert max(waits) < LIMIT_MS / 1000 + LATE_S, sorted(waits)[-5:]
    assert kind != "bodies" or answers >= BAD_CLIENTS  # served, or refused with a time to come back


def test_a_usable_request_behind_useless_ones_is_answered(run):
    """A connection that has to wait for its turn gets it although others ask for it all the time."""
    service = run(Cache(), limits=LIMITS)
    client = service.client()
    bad_clients = BadClients(service.address, "unusable", seconds=4, count=60)
    for stream in range(1, 100):
        client.ask(stream, verb="nosuch")
    client.ask(100)
    answers = [client.get() for _ in range(100)]
    assert {answer[:3] for answer in answers} == {(66, stream, 69) for stream in range(1, 100)} | {(66, 100, 79)}
    bad_clients.ended()


def test_requests_of_a_client_that_leaves_while_its_reader_waits_for_its_turn_are_not_sent_on(run):
    cache = Cache()
    service = run(cache, limits=LIMITS)
    bad_clients = BadClients(service.address, "unusable", seconds=5, count=150)
    time.sleep(1.5)  # from now on a reader waits for its turn for some time
    closed_at = {}
    for number in range(10):
        client = service.client()
        for stream in range(1, 60):
            client.ask(stream, verb="nosuch")
        until(lambda client=client: client.get()[1] == 59)
        client.ask(60, verb="nosuch")  # what comes after this read waits
        client.ask(61, txn=f"{number + 1000:016x}")
        client.sock.close()
        client.file.close()
        closed_at[f"{number + 1000:016x}"] = time.monotonic()
        until(
            lambda n=number: (
                any(want["id"] == f"{n + 1000:016x}" for want in cache.wants) or time.monotonic() > closed_at[f"{n + 1000:016x}"] + 0.1
            )
        )
    count_before = len(cache.wants)
    bad_clients.ended()
    time.sleep(0.3)
    assert len(cache.wants) == count_before  # nothing begins over 0.1 s after its client closed


def test_turns_are_taken_in_the_order_in_which_readers_asked():
    turns, order = ReadTurns(), []
    turns.take()

    def take(number):
        turns.take()
        order.append(number)
        turns.pass_on()

    threads = []
    for number in range(20):
        threads.append(threading.Thread(target=take, args=(number,)))
        threads[-1].start()
        until(lambda: len(turns.waiting) == len(threads))
    turns.pass_on()
    for thread in threads:
        thread.join(20)
    assert order == list(range(20)) and not turns.taken


def test_a_reader_that_ends_with_its_turn_passes_it_on(run):
    """A client that resets its connection, or sends something unreadable, while its reader has the turn does not stop all others."""
    service = run(Cache())
    for number in range(20):
        client = service.client()
        for stream in range(1, 60):
            client.ask(stream, verb="nosuch")
        until(lambda client=client: client.get())
        if number % 2:
            client.sock.sendall(struct.pack(">IBI", 2, 65, 1))  # no frame is so short
        client.sock.close()
    client = service.client()
    for stream in range(1, 100):
        client.ask(stream, verb="nosuch")
    client.ask(100)
    assert {client.get()[1] for _ in range(100)} == set(range(1, 101))


def test_a_connection_waits_for_turns_only_while_it_sends_much_of_no_use():
    budget = UselessFrameBudget(now=0.0)
    assert not budget.add(useless=MAX_USELESS_FRAMES, useful=0, now=0.0)
    assert budget.add(useless=1, useful=0, now=0.0)
    assert not budget.add(useless=0, useful=1, now=0.0)  # made up for
    assert budget.add(useless=10**6, useful=0, now=0.0)
    assert not budget.add(useless=0, useful=0, now=MAX_USELESS_DEBT / USELESS_FRAMES_PER_S)


def test_a_cancel_does_not_wait_for_a_lock_that_the_threads_of_other_requests_take():
    """60 bad clients with 32 requests each: the thread with the Router's lock cancelled a hundred attempts at a silent cache and waited for
    one lock of all requests each time, 3.8 s in all, in which no time limit was looked at."""
    pool = sender(Listener().address)
    mine, other = (Hop(ident, 0, f"{ident:016x}", "c0", None, None, clock()) for ident in (1, 2))
    ended = []
    with pool.lock, pool.txn_locks[other.ident % len(pool.txn_locks)]:
        thread = threading.Thread(target=lambda: ended.append(pool.claim_end(mine)))
        thread.start()
        thread.join(5)
        assert ended == [True]
    assert not pool.claim_end(mine) and pool.claim_end(other)


def test_of_the_threads_that_end_one_hop_at_the_same_moment_one_reports_it():
    pool, claims, barrier = sender(Listener().address), [], threading.Barrier(4)
    hops = [Hop(ident, 0, f"{ident:016x}", "c0", None, None, clock()) for ident in range(1, 201)]

    def claim_all():
        for hop in hops:
            barrier.wait(20)
            if pool.claim_end(hop):
                claims.append(hop.ident)

    threads = [threading.Thread(target=claim_all) for _ in range(4)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(60)
    assert sorted(claims) == list(range(1, 201))


@pytest.mark.parametrize("limit", [0, 20_000, 1 << 20])
def test_what_a_connection_takes_of_the_memory_for_frames_is_what_its_buffer_has(limit):
    """Frames of all sizes, in pieces of all sizes; with little memory some are dropped, and nothing else changes."""
    rng, budget = Random(limit), MemoryBudget(limit)
    decoder, stream, streams = frames.Decoder(budget), 0, []
    for _ in range(300):
        data = b""
        for _ in range(rng.randrange(1, 4)):
            stream += 1
            data += encode_frame(65, stream, b"\0" * rng.choice((0, 90, 1500, 5000, 9000, 47_000, 70_000)))
        while data:
            space = decoder.receive_buffer.free_space()
            size = min(len(space), rng.choice((1, 13, 1400, 60_000)) + rng.randrange(3000), len(data))
            space[:size], data = data[:size], data[size:]
            streams += [frame.stream for frame in decoder.decode_received(size)]
            held = len(decoder.receive_buffer.buf)
            assert budget.taken == (held if held > frames.INITIAL_BUFFER_BYTES else 0) <= limit
    assert streams == list(range(1, stream + 1))
    decoder.receive_buffer.release()
    assert budget.taken == 0
