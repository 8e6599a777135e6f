"""The randomized fault soak: its plans repeat, its invariants find what they name, and a few short seeds keep them all."""

import itertools
import random
import socket
import sys
from concurrent.futures import ThreadPoolExecutor

import pytest

from fieldspur.lab.checks.invariants import Invariants, slow_start_bound
from fieldspur.lab.checks.rule_checker import MS, SECOND, Try
from fieldspur.lab.soak import plan, play
from fieldspur.lab.soak.clients import LARGEST_STREAM, stream_numbers

PLANTED = {  # by the invariant that has to find it
    "deadline": "from fieldspur.net import resp\nwant = resp.encode_want\n"
    "def late(one):\n    one.limit_ms += 400\n    return want(one)\nresp.encode_want = late\n",
    "final_answer": "from fieldspur.net.client_writer import ClientWriter\nanswer = ClientWriter.answer\n"
    "ClientWriter.answer = lambda self, stream, *about, **more: stream % 7 and answer(self, stream, *about, **more)\n",
}
START = "import sys\nfrom fieldspur.__main__ import main\nsys.exit(main())\n"


class Conn:
    router = 0


def invariants(stall=0):
    timers = []
    found = Invariants(2.0, 3, lambda: 1.0, lambda: stall, lambda delay, what: timers.append(what), lambda server: False)
    found.timers = timers
    return found


def sent(found, ident="a", limit=1000 * MS, at=SECOND):
    conn = Conn()
    found.sent(conn, 1, Try(ident, "repeatable", "o", 0, 1, None, at, at + limit))
    return conn


def broken(found):
    return {name for name, rows in found.violations.items() if rows}


def test_a_seed_draws_the_same_troubles_each_time_and_others_with_another_seed():
    assert plan.plan(7, 30) == plan.plan(7, 30) != plan.plan(8, 30)
    plans = [plan.plan(seed, 30) for seed in range(40)]
    assert all(10 <= one.routers <= 32 for one in plans)
    troubles = {trouble.what for trouble in (*plan.TROUBLES, *plan.LATER_TROUBLES, *plan.NEWEST_TROUBLES)}
    assert {fault.what for one in plans for fault in one.faults} >= troubles - {"disk_fails"}
    assert {one.load.deadline_s for one in plans} == set(plan.DEADLINES) and {one.load.stays for one in plans} == set(plan.STAYS)
    assert all(sum(a.at <= b.at < a.at + max(a.lasts, 1.5) for a in one.faults for b in one.faults if a is not b) for one in plans)


def test_a_slow_start_bears_a_little_more_than_the_settings_allow_and_no_more():
    assert (slow_start_bound(16), slow_start_bound(100)) == (16 + 12 + 3, 100 + 20 + 2)
    for calls, whole in ((31, True), (32, False)):
        found = invariants()
        found.mean_work = 10 * MS
        found.started("c0", 0)
        for n in range(calls):  # twice 0.08 transfers at full pace are 16 calls of 10 ms a second
            found.slow_start_work("c0", 0.08, 10 * MS, SECOND + n)
        assert (broken(found) == set()) == whole


@pytest.mark.parametrize("left_ms, passed_on, whole", [(1000, 1149, True), (1000, 1151, False), (400, 551, False)])
def test_a_limit_passed_on_is_held_against_what_the_client_has_left(left_ms, passed_on, whole):
    found = invariants()
    sent(found, limit=left_ms * MS)
    found.limit_passed_on("a", passed_on, SECOND)
    assert broken(found) == (set() if whole else {"deadline"})


@pytest.mark.parametrize("after_ms, stall_ms, whole", [(90, 0, True), (120, 0, False), (120, 50, True)])
def test_an_attempt_for_a_client_that_has_left_is_named_within_the_lag_of_the_judge(after_ms, stall_ms, whole):
    found = invariants(stall_ms * MS)
    conn = sent(found)
    found.withdrew(conn, 1, SECOND)
    found.hop_arrived("c0", None, "a", SECOND + after_ms * MS)
    assert broken(found) == (set() if whole else {"departed_client"})


@pytest.mark.parametrize("ends_ms, whole", [(10, True), (200, False)])
def test_two_attempts_that_are_out_at_once_are_named(ends_ms, whole):
    found = invariants()
    sent(found)
    first = found.hop_arrived("c0", None, "a", SECOND)
    found.hop_arrived("c1", None, "a", SECOND + 5 * MS)
    first.end, first.ended_at = "GIVEN_UP", SECOND + ends_ms * MS
    for timer in found.timers:
        timer()
    assert broken(found) == (set() if whole else {"one_attempt"})


@pytest.mark.parametrize(
    "ago_ms, used, killed, whole", [(30, True, False, True), (30, False, False, False), (80, True, False, False), (80, True, True, True)]
)
def test_a_connection_that_ends_under_a_request_loses_it_unless_it_crossed_or_the_router_was_killed(ago_ms, used, killed, whole):
    found = invariants()
    conn = sent(found)
    again = found.ended(conn, SECOND + ago_ms * MS, killed, used)
    assert broken(found) == (set() if whole else {"final_answer"}) and bool(again) == (used and ago_ms < 50)


@pytest.mark.parametrize("ago_ms, withdrawn, whole", [(30, False, True), (80, False, False), (80, True, True)])
def test_a_request_without_an_answer_when_its_router_is_killed_at_the_earliest_moment_is_lost(ago_ms, withdrawn, whole):
    found = invariants()
    conn = sent(found)
    if withdrawn:
        found.withdrew(conn, 1, SECOND + 5 * MS)
    found.killed({conn}, SECOND + ago_ms * MS, 0)
    assert broken(found) == (set() if whole else {"final_answer"})


@pytest.mark.parametrize("used, whole", [(False, True), (True, False)])
def test_a_new_connection_may_be_shut_unread_by_a_router_whose_descriptors_are_full_and_a_used_one_may_not(used, whole):
    found = invariants()
    conn = sent(found)
    again = found.ended(conn, SECOND + 80 * MS, False, used, turned_away=True)
    assert broken(found) == (set() if whole else {"final_answer"}) and bool(again) == whole


def test_a_peer_that_leaves_bytes_unread_is_told_from_one_that_closes():
    from fieldspur.lab.emulate.event_loop import Loop

    loop, told = Loop(), {}
    for unread in (True, False):
        with socket.create_server(("127.0.0.1", 0)) as listener:
            conn = loop.connect(listener.getsockname())
            there = listener.accept()[0]
            conn.on_close = lambda conn=conn, unread=unread: told.update({unread: conn.reset_by_peer})
            conn.write(b"request")
            loop.later(20 * MS, lambda there=there, unread=unread: (unread or there.recv(100), there.close()))
            loop.later(100 * MS, lambda: setattr(loop, "stopped", True))
            loop.stopped = False
            loop.run()
    assert told == {True: True, False: False}


def test_short_seeds_keep_all_invariants_and_planted_faults_are_found():
    """Real processes under the shim; a few seconds each: a mass crash under a stopped router; then one with a crowd, a failing accept, a
    router that ends under clients that go on, and a reload. The long run is `fieldspur lab soak`."""
    with ThreadPoolExecutor(2) as pool:
        whole = [pool.submit(play.soak, seed, 12.0, 4) for seed in (14, 1539)]
        planted = {
            name: pool.submit(play.soak, 14, 10.0, 2, command=[sys.executable, "-O", "-c", code + START]) for name, code in PLANTED.items()
        }
    for found in whole:
        assert found.result()["passed"], found.result()["missed"]
    for name, found in planted.items():
        assert found.result()["rules"][name], found.result()["missed"]


def test_clients_number_their_requests_in_all_ways_that_the_protocol_allows():
    chance = random.Random(1)
    connections = [list(itertools.islice(stream_numbers(chance), 500)) for _ in range(40)]
    for numbers in connections:
        assert len(set(numbers)) == 500 and 1 <= min(numbers) and max(numbers) <= LARGEST_STREAM
    rising = [numbers == sorted(numbers) for numbers in connections]
    falling = [numbers == sorted(numbers, reverse=True) for numbers in connections]
    assert list(range(1, 501)) in connections and any(falling) and not all(up or down for up, down in zip(rising, falling))
    assert any(up and numbers[-1] > 5000 for up, numbers in zip(rising, connections))
