"""Router processes that choose a coordinator, with faults between them: killed, stopped, restarted, cut off."""

import signal
import time

import pytest
from helpers import Cache, until
from router_processes import HOST

from fieldspur.bench.path import free_port


def test_no_fleet_begins_by_itself_and_a_killed_coordinator_is_replaced_and_rejoins_without_memory(routers):
    fleet = routers(3)
    time.sleep(2.0)
    assert not any(fleet.published_line(n)["register"]["life"] for n in range(3)) and not any(fleet.is_coordinator(n) for n in range(3))
    first, _ = fleet.found_fleet(1)
    fleet.kill(first)
    second, took = fleet.wait_for_coordinator(excluding=[first])
    assert second != first and took < 5
    fleet.restart(first)
    until(lambda: fleet.published_line(first) and fleet.published_line(first)["register"]["life"] > 1, "a member that counts again")
    assert fleet.published_line(first)["register"]["promised"][1] == second
    client = fleet.services[first].client()  # the restarted router also answers txns
    client.ask(1)
    assert client.get()[2] == 79


def test_a_stopped_coordinator_resigns_once_it_continues(routers):
    fleet = routers(3)
    first, _ = fleet.found_fleet()
    fleet.services[first].process.send_signal(signal.SIGSTOP)
    second, _ = fleet.wait_for_coordinator(excluding=[first])
    fleet.services[first].process.send_signal(signal.SIGCONT)
    until(lambda: not fleet.is_coordinator(first), "word of the end of its lease")
    until(lambda: fleet.published_line(first)["register"]["promised"] == fleet.published_line(second)["register"]["promised"])
    assert fleet.is_coordinator(second)


def test_two_of_three_members_that_lose_their_memory_leave_a_fleet_that_serves_and_decides_nothing(routers):
    fleet = routers(3)
    fleet.found_fleet()
    for n in (0, 1):
        fleet.kill(n)
    for n in (0, 1):
        fleet.restart(n)
    for n in (0, 1):
        client = fleet.services[n].client()
        client.ask(1)
        assert client.get()[2] == 79
    time.sleep(3.0)
    assert [fleet.published_line(n)["register"]["life"] for n in range(3)] == [0, 0, 1]
    assert not any(fleet.is_coordinator(n) for n in range(3))


def test_with_folders_all_members_may_be_killed_and_the_fleet_continues_from_its_state(routers):
    fleet = routers(3, disk=True)
    fleet.found_fleet()
    promised = max(fleet.published_line(n)["register"]["promised"] for n in range(3))
    for n in range(3):
        fleet.kill(n)
    for n in range(3):
        fleet.restart(n)
    until(lambda: all(fleet.published_line(n) for n in range(3)))
    assert [fleet.published_line(n)["register"]["life"] for n in range(3)] == [1, 1, 1]
    fleet.wait_for_coordinator()
    assert max(fleet.published_line(n)["register"]["promised"] for n in range(3)) > promised


def test_a_coordinator_that_nobody_reads_is_replaced_and_a_stalled_link_catches_up(routers):
    fleet = routers(3)
    first, _ = fleet.found_fleet()
    for n in range(3):
        if n != first:
            fleet.links[n, first].stalled.set()  # it reads the others, and they don't read it
    second, _ = fleet.wait_for_coordinator(excluding=[first])
    until(lambda: not fleet.is_coordinator(first))
    for link in fleet.links.values():
        link.stalled.clear()
    until(lambda: len({tuple(fleet.published_line(n)["register"]["promised"]) for n in range(3)}) == 1, "one ballot")
    assert sum(fleet.is_coordinator(n) for n in range(3)) == 1


def test_a_coordinator_cut_off_both_ways_resigns_and_is_replaced(routers):
    fleet = routers(3)
    first, _ = fleet.found_fleet()
    for (a, b), link in fleet.links.items():
        if first in (a, b):
            link.cuts(True)
    second, _ = fleet.wait_for_coordinator(excluding=[first])
    until(lambda: not fleet.is_coordinator(first))
    for link in fleet.links.values():
        link.cuts(False)
    until(lambda: len({tuple(fleet.published_line(n)["register"]["promised"]) for n in range(3)}) == 1, "one ballot")


@pytest.mark.parametrize(
    "change, message",
    [
        ({"members": {"n1": "127.0.0.1:1 z", "n2": "127.0.0.1:2 z"}}, "fleet.members: n0, this router, is not among them"),
        ({"folder": "/nowhere/at/all"}, "fleet.folder: /nowhere/at/all"),
        ({"members": {"n0": "127.0.0.1:1 z"}}, "fleet.members: 1, 2 to 256 wanted"),
        ({"votes": ["n0", "n7"]}, "fleet.votes[1]: n7, no member"),
        ({"votes": ["n0"]}, "fleet.votes: 2 or more wanted"),
        ({"left": ["n1"]}, "fleet.left[0]: n1 votes"),
        ({"members": {"n0": "127.0.0.1 z", "n1": "127.0.0.1:2 z"}}, "fleet.members.n0:"),
        ({"members": {"n0": "127.0.0.1:7 z", "n1": "127.0.0.1:7 z"}}, "fleet.members.n1: the address of n0"),
    ],
)
def test_a_start_with_invalid_fleet_settings_names_the_faulty_key(run, change, message):
    settings = {"name": "valley", "members": {"n0": f"{HOST}:{free_port(HOST)} z", "n1": "127.0.0.1:2 z"}} | change
    service = run(Cache(), operators={"fleet": settings})
    assert service.process.wait(20) == 2 and message in service.lines()
