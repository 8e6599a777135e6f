"""The failure detector, and whole members in simulated time."""

import random

import pytest
from simulated_fleet import LEASE_LENGTH, MS, SimulatedMembers

from fieldspur.fleet import register_codec
from fieldspur.fleet.failure_detector import SUSPECT_PHI, FailureDetector, IntervalHistory


def test_phi_grows_with_silence_and_a_regular_member_is_suspected_sooner_than_an_irregular_one():
    regular, irregular, rng = IntervalHistory(0, 250 * MS), IntervalHistory(0, 250 * MS), random.Random(1)
    now = irregular_at = 0
    for _ in range(60):
        now += 250 * MS
        regular.record_line(5, now)
        irregular_at += rng.randrange(20, 900) * MS
        irregular.record_line(5, irregular_at)
    phis = [regular.phi(now + n * 100 * MS) for n in range(1, 12)]
    assert phis == sorted(phis) and phis[0] < 1 and phis[-1] > SUSPECT_PHI
    assert irregular.phi(irregular_at + 700 * MS) < 2 < SUSPECT_PHI < regular.phi(now + 700 * MS)


def test_a_restart_is_not_learned_as_an_interval_and_a_stop_of_this_process_is_not_silence_of_another():
    history = IntervalHistory(0, 250 * MS)
    for n in range(1, 20):
        history.record_line(5, n * 250 * MS)
    intervals_before = list(history.intervals)
    history.record_line(6, 60_000 * MS)
    assert list(history.intervals) == intervals_before
    detector = FailureDetector(0, 2, 0, 250 * MS, 60 * MS)
    for n in range(1, 100):
        detector.check_standstill(n * 60 * MS)
        if n % 4 == 0:
            detector.record_line(1, 5, n * 60 * MS)
    after_stop = 99 * 60 * MS + 10_000 * MS
    assert detector.is_suspected(1, after_stop)
    assert detector.check_standstill(after_stop) >= 9_000 * MS and not detector.is_suspected(1, after_stop)


def test_entries_requested_at_several_members_are_agreed_in_one_order_everywhere():
    world = SimulatedMembers(5, 1)
    world.begin()
    for n in range(5):
        world.request_entry(n, f"out c{n}")
    world.run(3000)
    assert len({node.agreed_value() for node in world.nodes}) == 1
    assert sorted(body for _, body in world.decided) == [f"out c{n}" for n in range(5)]
    assert not any(node.coordinator.pending for node in world.nodes) and world.max_coordinators == 1


@pytest.mark.parametrize("seed", range(6))
def test_a_killed_coordinator_is_replaced_within_three_seconds_and_rejoins_with_the_agreed_value(seed):
    world = SimulatedMembers(5, seed)
    world.begin()
    first = world.coordinator_history[-1]
    world.request_entry(first, "out c1")
    world.run(2000)
    world.kill(first)
    world.run(3000)
    assert world.coordinator_history[-1] != first
    world.start(first)
    world.run(4000)
    assert world.nodes[first].register.life > 1 and world.nodes[first].agreed_value() == world.decided != ()
    assert world.max_coordinators == 1


def test_a_member_without_memory_rejoins_only_after_the_lease_that_it_may_have_supported():
    """In tests with processes such a member was back after 0.4 s of a lease of 1 s, because one of two steps did not check the lease."""
    world = SimulatedMembers(3, 2)
    world.begin()
    other = next(n for n in range(3) if n != world.coordinator_history[-1])
    world.kill(other)
    world.start(other)
    world.run(LEASE_LENGTH // MS - 100)
    assert not world.nodes[other].register.life
    world.run(2000)
    assert world.nodes[other].register.life > 1


def test_a_stopped_coordinator_is_replaced_and_is_none_when_it_continues():
    world = SimulatedMembers(5, 3)
    world.begin()
    first = world.coordinator_history[-1]
    world.stopped.add(first)
    world.run(10_000)
    assert world.coordinator_history[-1] != first
    world.stopped.clear()
    assert not world.nodes[first].is_coordinator(world.now)
    world.run(4000)
    assert world.max_coordinators == 1
    # In tests with processes it went on requesting ballots and followed nobody.
    assert len({node.register.promised for node in world.nodes}) == 1


def test_a_member_that_requested_ballots_while_it_read_nobody_takes_part_again():
    world = SimulatedMembers(3, 7)
    world.begin()
    isolated = next(n for n in range(3) if n != world.coordinator_history[-1])
    world.cut = {(m, isolated) for m in range(3)}
    world.run(8000)
    world.cut = set()
    assert world.nodes[isolated].register.promised[0] > 3
    world.run(4000)
    assert len({node.register.promised for node in world.nodes}) == 1 and world.max_coordinators == 1


def test_two_of_five_members_decide_nothing_and_adopt_the_decision_of_the_three_once_the_partition_heals():
    world = SimulatedMembers(5, 4)
    world.begin()
    world.cut = {(a, b) for a in range(5) for b in range(5) if (a < 2) != (b < 2)}
    world.run(3000)
    world.request_entry(0, "out by two")
    world.request_entry(4, "out by three")
    world.run(4000)
    assert [[body for _, body in node.agreed_value() or ()] for node in world.nodes] == [[]] * 2 + [["out by three"]] * 3
    assert not any(node.is_coordinator(world.now) for node in world.nodes[:2])
    world.cut = {(a, b) for a in range(5) for b in range(5) if (a in (0, 4)) != (b in (0, 4))}  # another partition
    world.run(5000)
    world.cut = set()
    world.run(5000)
    assert {tuple(body for _, body in node.agreed_value() or ()) for node in world.nodes} == {("out by three", "out by two")}
    assert world.max_coordinators == 1


def test_one_way_loss_leaves_one_coordinator_that_all_who_read_it_follow():
    world = SimulatedMembers(5, 5)
    world.begin()
    world.cut = {(0, b) for b in range(1, 5)}  # member 0 reads all others and is read by none
    world.run(6000)
    world.request_entry(2, "out c2")
    world.run(4000)
    assert len({node.agreed_value() for node in world.nodes}) == 1 and world.decided and world.max_coordinators == 1


@pytest.mark.parametrize("seed", range(8))
def test_random_faults_leave_one_sequence_of_decisions_and_one_coordinator(seed):
    world = SimulatedMembers(5, seed)
    world.begin()
    rng = random.Random(seed)
    for n in range(30):
        world.cut = {(rng.randrange(5), rng.randrange(5)) for _ in range(rng.randrange(6))}
        world.stopped = {rng.randrange(5)} if rng.random() < 0.4 else set()
        for m in list(world.down):
            if rng.random() < 0.7:
                world.start(m)
        alive = [m for m in range(5) if m not in world.down and world.nodes[m].register.life]
        if len(alive) > 3 and rng.random() < 0.5:
            world.kill(rng.choice(alive))
        world.request_entry(rng.randrange(5), f"out c{n}")
        world.run(rng.randrange(300, 3000))
    for m in list(world.down):
        world.start(m)
    world.cut, world.stopped = set(), set()
    world.run(12_000)
    assert world.max_coordinators == 1 and len(world.decided) > 5
    assert {node.agreed_value() for node in world.nodes} == {world.decided}


@pytest.mark.parametrize(
    "change, message",
    [
        ({"fleet": "other"}, "fleet: other"),
        ({"register": None}, "register"),
        ({"backs": [1]}, "backs"),
        ({"tick": None}, "tick"),
        ({"backs": [[1, 2], 3], "tick": [[0, -1], -1]}, "tick"),
    ],
)
def test_an_invalid_line_changes_nothing(change, message):
    world = SimulatedMembers(3, 1)
    line = world.nodes[1].line()
    with pytest.raises(register_codec.BadLine, match=message):
        world.nodes[0].receive_line(1, line | change, 0)
    assert world.nodes[0].views[1] is None and world.nodes[0].acks[1] is None
    with pytest.raises(register_codec.BadLine, match="member"):
        world.nodes[0].receive_line(2, line, 0)
