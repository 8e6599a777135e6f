"""Suspicion graded by what was heard, and members put together in simulated time."""

import random

import pytest
from simulated_fleet import LENGTH, MS, World

from fieldspur.fleet import register_codec
from fieldspur.fleet.failure_detector import SUSPECT, FailureDetector, Heard


def test_phi_grows_with_silence_and_a_steady_member_is_suspected_sooner_than_a_fitful_one():
    steady, fitful, chance = Heard(0, 250 * MS), Heard(0, 250 * MS), random.Random(1)
    now = at = 0
    for _ in range(60):
        now += 250 * MS
        steady.record_line(5, now)
        at += chance.randrange(20, 900) * MS
        fitful.record_line(5, at)
    silence = [steady.phi(now + n * 100 * MS) for n in range(1, 12)]
    assert silence == sorted(silence) and silence[0] < 1 and silence[-1] > SUSPECT
    assert fitful.phi(at + 700 * MS) < 2 < SUSPECT < steady.phi(now + 700 * MS)


def test_a_restart_is_no_long_interval_and_a_standstill_here_is_no_silence_there():
    one = Heard(0, 250 * MS)
    for n in range(1, 20):
        one.record_line(5, n * 250 * MS)
    before = list(one.intervals)
    one.record_line(6, 60_000 * MS)
    assert list(one.intervals) == before
    members = FailureDetector(0, 2, 0, 250 * MS, 60 * MS)
    for n in range(1, 100):
        members.check_standstill(n * 60 * MS)
        if n % 4 == 0:
            members.record_line(1, 5, n * 60 * MS)
    late = 99 * 60 * MS + 10_000 * MS
    assert members.is_suspected(1, late)
    assert members.check_standstill(late) >= 9_000 * MS and not members.is_suspected(1, late)


def test_what_is_wanted_at_two_members_is_agreed_in_one_order_everywhere():
    world = World(5, 1)
    world.begin()
    for n in range(5):
        world.want(n, f"out c{n}")
    world.run(3000)
    assert len({node.agreed_value() for node in world.nodes}) == 1
    assert sorted(body for _, body in world.decided) == [f"out c{n}" for n in range(5)]
    assert not any(node.coordinator.wants for node in world.nodes) and world.most_acting == 1


@pytest.mark.parametrize("seed", range(6))
def test_a_killed_holder_is_followed_within_three_seconds_and_comes_back_knowing(seed):
    world = World(5, seed)
    world.begin()
    first = world.acted[-1]
    world.want(first, "out c1")
    world.run(2000)
    world.kill(first)
    world.run(3000)
    assert world.acted[-1] != first
    world.start(first)
    world.run(4000)
    assert world.nodes[first].register.life > 1 and world.nodes[first].agreed_value() == world.decided != ()
    assert world.most_acting == 1


def test_a_member_that_forgot_counts_again_only_after_what_it_may_have_backed_has_ended():
    """Found with processes: it was back after 0.4 s of a lease of 1 s, for one of two steps did not ask."""
    world = World(3, 2)
    world.begin()
    other = next(n for n in range(3) if n != world.acted[-1])
    world.kill(other)
    world.start(other)
    world.run(LENGTH // MS - 100)
    assert not world.nodes[other].register.life
    world.run(2000)
    assert world.nodes[other].register.life > 1


def test_a_holder_that_stands_still_acts_no_more_when_it_goes_on():
    world = World(5, 3)
    world.begin()
    first = world.acted[-1]
    world.stopped.add(first)
    world.run(10_000)
    assert world.acted[-1] != first
    world.stopped.clear()
    assert not world.nodes[first].is_coordinator(world.now)
    world.run(4000)
    assert world.most_acting == 1
    assert len({node.register.promised for node in world.nodes}) == 1  # found with processes: it asked on and followed nobody


def test_a_member_that_asked_in_vain_while_it_heard_nobody_is_taken_in_again():
    world = World(3, 7)
    world.begin()
    alone = next(n for n in range(3) if n != world.acted[-1])
    world.cut = {(m, alone) for m in range(3)}
    world.run(8000)
    world.cut = set()
    assert world.nodes[alone].register.promised[0] > 3
    world.run(4000)
    assert len({node.register.promised for node in world.nodes}) == 1 and world.most_acting == 1


def test_two_of_five_change_nothing_and_take_over_what_the_three_agreed_once_the_cut_heals():
    world = World(5, 4)
    world.begin()
    world.cut = {(a, b) for a in range(5) for b in range(5) if (a < 2) != (b < 2)}
    world.run(3000)
    world.want(0, "out by two")
    world.want(4, "out by three")
    world.run(4000)
    assert [[body for _, body in node.agreed_value() or ()] for node in world.nodes] == [[]] * 2 + [["out by three"]] * 3
    assert not any(node.is_coordinator(world.now) for node in world.nodes[:2])
    world.cut = {(a, b) for a in range(5) for b in range(5) if (a in (0, 4)) != (b in (0, 4))}  # splits otherwise
    world.run(5000)
    world.cut = set()
    world.run(5000)
    assert {tuple(body for _, body in node.agreed_value() or ()) for node in world.nodes} == {("out by three", "out by two")}
    assert world.most_acting == 1


def test_one_way_loss_leaves_one_acting_member_that_all_who_hear_it_follow():
    world = World(5, 5)
    world.begin()
    world.cut = {(0, b) for b in range(1, 5)}  # 0 hears all and is not heard
    world.run(6000)
    world.want(2, "out c2")
    world.run(4000)
    assert len({node.agreed_value() for node in world.nodes}) == 1 and world.decided and world.most_acting == 1


@pytest.mark.parametrize("seed", range(8))
def test_days_of_faults_keep_one_order_and_one_acting_member(seed):
    world = World(5, seed)
    world.begin()
    chance = random.Random(seed)
    for n in range(30):
        world.cut = {(chance.randrange(5), chance.randrange(5)) for _ in range(chance.randrange(6))}
        world.stopped = {chance.randrange(5)} if chance.random() < 0.4 else set()
        for m in list(world.down):
            if chance.random() < 0.7:
                world.start(m)
        alive = [m for m in range(5) if m not in world.down and world.nodes[m].register.life]
        if len(alive) > 3 and chance.random() < 0.5:
            world.kill(chance.choice(alive))
        world.want(chance.randrange(5), f"out c{n}")
        world.run(chance.randrange(300, 3000))
    for m in list(world.down):
        world.start(m)
    world.cut, world.stopped = set(), set()
    world.run(12_000)
    assert world.most_acting == 1 and len(world.decided) > 5
    assert {node.agreed_value() for node in world.nodes} == {world.decided}


@pytest.mark.parametrize(
    "change, said",
    [
        ({"fleet": "other"}, "fleet: other"),
        ({"register": None}, "register"),
        ({"backs": [1]}, "backs"),
        ({"tick": None}, "tick"),
        ({"backs": [[1, 2], 3], "tick": [[0, -1], -1]}, "tick"),
    ],
)
def test_a_line_that_is_none_changes_nothing(change, said):
    world = World(3, 1)
    line = world.nodes[1].line()
    with pytest.raises(register_codec.BadLine, match=said):
        world.nodes[0].receive_line(1, line | change, 0)
    assert world.nodes[0].views[1] is None and world.nodes[0].said[1] is None
    with pytest.raises(register_codec.BadLine, match="member"):
        world.nodes[0].receive_line(2, line, 0)
