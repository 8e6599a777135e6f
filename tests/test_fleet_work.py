"""Work orders in simulated time: requests, steps of orders, and the guarantees of a fleet while members fail."""

import random

import pytest
from simulated_fleet import LEASE_LENGTH, MAX_TIME_LIMIT, MS, SECOND, SimulatedFleet

from fieldspur.fleet import coordinator, planner, work_orders
from fieldspur.fleet.list_lease import GrantedListLeases, ListLease
from fieldspur.fleet.work_requests import parse_requests
from fieldspur.operators import BadFile, parse


def started_fleet(*args, **options):
    fleet = SimulatedFleet(*args, **options)
    fleet.begin()
    return fleet


def state_of(fleet, machine):
    return next((order.state for order in fleet.latest_document().orders if order.machine == machine), None)


def note_of(fleet, machine):
    return next(order.note for order in fleet.latest_document().orders if order.machine == machine)


def knows_announcement(fleet, n):
    """Whether router n knows that c0 is next, and the coordinator knows that."""
    order, report = (
        fleet.nodes[n].coordinator.document.find("w-c0"),
        fleet.nodes[fleet.coordinator_history[-1]].coordinator.reports.get(f"r{n}"),
    )
    return order is not None and report is not None and report.applied_number >= order.next_at > 0


def check_guarantees(fleet):
    assert not fleet.violations and fleet.max_coordinators == 1


def test_an_order_goes_out_is_free_and_comes_back_and_the_next_follows():
    fleet = started_fleet(3, 1, bounds=planner.Bounds(zone=0.34, all=0.34))
    fleet.request_work(0, "c0")
    fleet.request_work(2, "c1", ident="other")
    fleet.run_until(lambda: len(fleet.outcomes()) == 2, 60_000)
    assert fleet.outcomes() == {"c0": "done", "c1": "done"} and sorted(fleet.freed) == ["c0", "c1"] and fleet.max_away == 1
    fleet.run(1000)
    assert len({node.coordinator.document for node in fleet.nodes}) == 1
    check_guarantees(fleet)


def test_conflicting_requests_at_two_routers_lead_to_one_order_and_a_refusal_with_a_reason():
    fleet = started_fleet(5, 2)
    fleet.cut = {(a, b) for a in range(5) for b in range(5) if (a < 2) != (b < 2)}
    fleet.request_work(0, "c0", ident="by two")  # in the minority, which can't decide
    fleet.request_work(3, "c0", ident="by three", needs=30.0)
    fleet.request_work(4, "c0", ident="by three", needs=30.0)
    fleet.request_work(4, "c9")
    fleet.run(4000)
    fleet.cut = set()
    fleet.run_until(lambda: len(fleet.latest_document().ended) == 2, 15_000)
    refusals = {ended.ident: ended.why for ended in fleet.latest_document().ended}
    assert "is asked for already" in refusals["by two"] and "no such cache" in refusals["w-c9"]
    assert [order.ident for order in fleet.latest_document().orders] == ["by three"]
    check_guarantees(fleet)


def test_a_cut_off_router_does_not_use_an_announced_machine_and_the_order_proceeds():
    fleet = started_fleet(3, 3)
    other = next(n for n in range(3) if n != fleet.coordinator_history[-1])
    fleet.request_work(fleet.coordinator_history[-1], "c0", needs=20.0)
    fleet.run_until(lambda: knows_announcement(fleet, other), 10_000)
    fleet.cut = {(a, b) for a in range(3) for b in range(3) if other in (a, b)}
    fleet.run_until(lambda: state_of(fleet, "c0") == work_orders.FREE, 20_000)
    assert fleet.nodes[other].coordinator.document.find("w-c0").state in (work_orders.NEXT, work_orders.GOING)
    assert "c0" in fleet.nodes[other].coordinator.withdrawn(fleet.now) and "c1" not in fleet.nodes[other].coordinator.withdrawn(fleet.now)
    check_guarantees(fleet)


@pytest.mark.parametrize("strict", [False, True])
def test_an_order_unknown_to_a_cut_off_router_waits_for_it_unless_that_router_serves_nothing(strict):
    fleet = started_fleet(3, 4, strict=strict)
    other = next(n for n in range(3) if n != fleet.coordinator_history[-1])
    fleet.cut = {(a, b) for a in range(3) for b in range(3) if other in (a, b)}
    fleet.run(3000)
    fleet.request_work(fleet.coordinator_history[-1], "c0", needs=20.0)
    fleet.run(12_000)
    if strict:
        assert state_of(fleet, "c0") == work_orders.FREE and not fleet.hops[other]
    else:
        assert state_of(fleet, "c0") == work_orders.NEXT and note_of(fleet, "c0") == f"r{other} has not heard of it"
        assert fleet.hops[other]
    fleet.cut = set()
    fleet.run_until(lambda: state_of(fleet, "c0") == work_orders.FREE, 20_000)
    fleet.run(4000)
    assert fleet.hops[other]
    check_guarantees(fleet)


def test_a_router_that_receives_nothing_but_is_read_reports_itself_that_nothing_is_open():
    fleet = started_fleet(3, 5)
    other = next(n for n in range(3) if n != fleet.coordinator_history[-1])
    fleet.request_work(fleet.coordinator_history[-1], "c0", needs=20.0)
    fleet.run_until(lambda: knows_announcement(fleet, other), 10_000)
    fleet.cut = {(m, other) for m in range(3)}
    fleet.run_until(lambda: state_of(fleet, "c0") == work_orders.FREE, 20_000)
    check_guarantees(fleet)


def test_a_machine_is_not_free_while_a_router_has_something_open_there():
    fleet = started_fleet(3, 6)
    fleet.request_work(0, "c0")
    fleet.run_until(lambda: state_of(fleet, "c0") == work_orders.GOING, 20_000)
    fleet.hops[2].append(("c0", fleet.now, fleet.now + 40 * SECOND))  # a long-lasting hop
    fleet.run(20_000)
    assert state_of(fleet, "c0") == work_orders.OUT and "r2 may have something open there" in note_of(fleet, "c0")
    fleet.run_until(lambda: "c0" in fleet.freed, 40_000)
    check_guarantees(fleet)


def test_a_stopped_router_that_continues_does_not_use_a_machine_that_went_out_meanwhile():
    fleet = started_fleet(3, 7)
    other = next(n for n in range(3) if n != fleet.coordinator_history[-1])
    fleet.request_work(fleet.coordinator_history[-1], "c0", needs=60.0)
    fleet.run_until(lambda: knows_announcement(fleet, other), 10_000)
    fleet.stopped = {other}
    fleet.run_until(lambda: state_of(fleet, "c0") == work_orders.FREE, 20_000)
    fleet.stopped = set()
    fleet.run(3000)
    assert fleet.nodes[other].coordinator.document.find("w-c0").state == work_orders.FREE
    check_guarantees(fleet)


def test_dropping_an_order_while_its_machine_drains_returns_the_machine_at_once():
    fleet = started_fleet(3, 8)
    fleet.request_work(1, "c0")
    fleet.run_until(lambda: state_of(fleet, "c0") == work_orders.GOING, 20_000)
    fleet.requests[1].clear()
    fleet.run_until(lambda: fleet.outcomes() == {"c0": "dropped"}, 5000)
    fleet.run(1000)
    assert not any("c0" in node.coordinator.withdrawn(fleet.now) for node in fleet.nodes)
    check_guarantees(fleet)


def test_a_machine_whose_order_is_dropped_while_it_is_out_comes_back_through_slow_start():
    fleet = started_fleet(3, 9)
    fleet.request_work(1, "c0", needs=60.0)
    fleet.run_until(lambda: state_of(fleet, "c0") == work_orders.FREE, 20_000)
    fleet.request_work(1, "c0", needs=60.0, drop=True)
    fleet.run_until(lambda: state_of(fleet, "c0") == work_orders.BACK, 5000)
    fleet.run_until(lambda: fleet.outcomes() == {"c0": "done"}, 10_000)
    check_guarantees(fleet)


def test_held_orders_wait_until_they_are_released():
    fleet = started_fleet(3, 10)
    fleet.request_work(1, "c0", held=True)
    fleet.run(6000)
    assert state_of(fleet, "c0") == work_orders.HELD
    fleet.request_work(1, "c0", held=False)
    fleet.run_until(lambda: fleet.outcomes() == {"c0": "done"}, 20_000)
    check_guarantees(fleet)


def test_machines_that_must_be_out_together_wait_until_both_are_requested():
    fleet = started_fleet(3, 11, bounds=planner.Bounds(zone=0.5, all=0.5, both=1.0))
    fleet.request_work(0, "c0", beside=("c1",))
    fleet.run(5000)
    assert state_of(fleet, "c0") == work_orders.WAITING and note_of(fleet, "c0") == "nobody asked for c1"
    fleet.request_work(2, "c1")
    fleet.run_until(lambda: fleet.freed, 20_000)
    assert {state_of(fleet, "c0"), state_of(fleet, "c1")} <= {work_orders.OUT, work_orders.FREE}
    fleet.run_until(lambda: fleet.outcomes() == {"c0": "done", "c1": "done"}, 20_000)
    check_guarantees(fleet)


def test_an_announced_order_is_taken_back_when_the_discovery_service_drains_other_machines():
    fleet = started_fleet(3, 12, bounds=planner.Bounds(zone=0.34, all=0.34))
    fleet.request_work(0, "c0")
    fleet.run_until(lambda: state_of(fleet, "c0") == work_orders.NEXT, 20_000)
    fleet.listings["c1"] = fleet.listings["c1"]._replace(state="draining")
    fleet.listings["c2"] = fleet.listings["c2"]._replace(state="draining")
    fleet.run(6000)
    assert state_of(fleet, "c0") == work_orders.WAITING and "bounds.zone allows 0.34" in note_of(fleet, "c0")
    for name in ("c1", "c2"):
        fleet.listings[name] = fleet.listings[name]._replace(state="up")
    fleet.run_until(lambda: fleet.outcomes() == {"c0": "done"}, 20_000)
    check_guarantees(fleet)


@pytest.mark.parametrize(
    "change, message",
    [({"state": "gone"}, "gone from the board while out"), ({"address": "h:77"}, "back at another address: h:77"), ({}, "overdue")],
)
def test_a_machine_that_does_not_return_as_it_was_stays_out_with_a_note_for_the_operator(change, message):
    fleet = started_fleet(3, 13, bounds=planner.Bounds(zone=0.2, all=0.2))
    fleet.request_work(0, "c0", needs=5.0)
    fleet.request_work(0, "c1", needs=5.0)
    fleet.run_until(lambda: state_of(fleet, "c0") == work_orders.FREE, 20_000)
    fleet.restarts.clear()
    fleet.listings["c0"] = fleet.listings["c0"]._replace(started=fleet.now // MS, **change) if change else fleet.listings["c0"]
    fleet.run(14_000)
    assert state_of(fleet, "c0") == work_orders.FREE and note_of(fleet, "c0") == message and state_of(fleet, "c1") == work_orders.WAITING
    fleet.listings["c0"] = fleet.listings["c0"]._replace(state="up")
    fleet.request_work(0, "c0", needs=5.0, back=True)  # the operator reports that the work is done
    fleet.run_until(lambda: fleet.outcomes().get("c0") == "done", 20_000)
    check_guarantees(fleet)


@pytest.mark.parametrize("step", [work_orders.NEXT, work_orders.GOING, work_orders.OUT, work_orders.FREE, work_orders.BACK])
def test_an_order_proceeds_when_the_coordinator_is_killed_at_any_step(step):
    fleet = started_fleet(5, 14)
    fleet.request_work(0, "c0", needs=3.0)
    fleet.run_until(lambda: state_of(fleet, "c0") == step, 30_000)
    first = fleet.coordinator_history[-1]
    fleet.kill(first)
    fleet.run(3000)
    fleet.start(first)
    fleet.run_until(lambda: fleet.nodes[first].register.life, 10_000)
    fleet.run_until(lambda: fleet.outcomes() == {"c0": "done"}, 30_000)
    assert fleet.freed == ["c0"]
    check_guarantees(fleet)


def test_a_step_proposed_by_a_stopped_coordinator_does_not_free_a_machine_twice():
    """The coordinator stops after one member accepted its proposal. Another member becomes coordinator and grants leases, then the first
    one continues."""
    for seed in range(8):
        fleet = started_fleet(3, 20 + seed)
        fleet.request_work(0, "c0", needs=3.0)
        fleet.run_until(lambda: state_of(fleet, "c0") == (work_orders.NEXT, work_orders.GOING)[seed % 2], 30_000)
        first = fleet.coordinator_history[-1]
        fleet.run(50 * (seed % 4))
        fleet.cut = {(first, m) for m in range(3) if m != (first + 1) % 3}
        fleet.run(150)
        fleet.stopped = {first}
        fleet.run(6000)
        fleet.cut, fleet.stopped = set(), set()
        fleet.run_until(lambda: fleet.outcomes() == {"c0": "done"}, 40_000)
        check_guarantees(fleet)


def test_all_routers_restart_in_turn_during_an_order():
    fleet = started_fleet(5, 15)
    fleet.request_work(0, "c0", needs=25.0)
    fleet.run_until(lambda: state_of(fleet, "c0") == work_orders.OUT, 20_000)
    for n in range(5):
        fleet.kill(n)
        fleet.run(300)
        fleet.start(n)
        fleet.run_until(lambda: fleet.nodes[n].register.life, 10_000)
    fleet.run_until(lambda: fleet.outcomes() == {"c0": "done"}, 60_000)
    check_guarantees(fleet)


def test_a_fleet_in_which_seven_of_ten_lost_their_memory_changes_nothing_and_avoids_what_was_out():
    fleet = started_fleet(10, 16, bounds=planner.Bounds(zone=0.5, all=0.5, both=1.0))
    fleet.request_work(9, "c0", needs=300.0)
    fleet.run_until(lambda: state_of(fleet, "c0") == work_orders.FREE, 30_000)
    number = fleet.latest_document().number
    for n in range(7):
        fleet.kill(n)
    for n in range(7):
        fleet.start(n)
    fleet.request_work(9, "c1")
    fleet.run(10_000)
    assert fleet.latest_document().number == number and not any(fleet.nodes[n].register.life for n in range(7))
    assert all("c0" in node.coordinator.withdrawn(fleet.now) and "c2" not in node.coordinator.withdrawn(fleet.now) for node in fleet.nodes)
    assert all(fleet.hops[n] for n in range(10))
    check_guarantees(fleet)


def test_a_member_of_an_older_version_takes_part_in_agreement_and_orders_wait_for_it():
    fleet = started_fleet(3, 17)
    old = next(n for n in range(3) if n != fleet.coordinator_history[-1])
    original_line = fleet.nodes[old].line
    fleet.nodes[old].line = lambda: {name: part for name, part in original_line().items() if name != "work"}
    fleet.run(500)
    fleet.request_work(fleet.coordinator_history[-1], "c0")
    fleet.run(8000)
    assert state_of(fleet, "c0") == work_orders.NEXT and note_of(fleet, "c0") == f"r{old} has not heard of it"
    check_guarantees(fleet)


def test_changing_partitions_of_five_members_keep_one_sequence_of_documents():
    fleet = started_fleet(5, 18, bounds=planner.Bounds(zone=0.34, all=0.34))
    for n, machine in enumerate(("c0", "c1", "c2", "c3")):
        fleet.request_work(n, machine)
    for side in ((0, 1), (0, 4), (2, 3), (1, 3)):
        fleet.run(2500)
        fleet.cut = {(a, b) for a in range(5) for b in range(5) if (a in side) != (b in side)}
        fleet.run(5000)
        fleet.cut = set()
    fleet.run_until(lambda: len(fleet.outcomes()) == 4, 90_000)
    assert set(fleet.outcomes().values()) == {"done"} and sorted(fleet.freed) == ["c0", "c1", "c2", "c3"]
    check_guarantees(fleet)


def test_clocks_hours_apart_that_jump_both_ways_change_nothing():
    fleet = started_fleet(5, 19, bounds=planner.Bounds(zone=0.34, all=0.34))
    rng = random.Random(19)
    for m in range(4):
        fleet.request_work(m, f"c{m}", before=fleet.now / SECOND + 60)
    for _ in range(12):
        fleet.clock_skew_ms = {n: rng.choice((-7_200_000, -60_000, 0, 600_000, 86_400_000)) for n in range(5)}
        fleet.run(1500)
    fleet.run_until(lambda: len(fleet.outcomes()) == 4, 60_000)
    assert set(fleet.outcomes().values()) == {"done"}
    check_guarantees(fleet)


def run_with_faults(seed, members=5, rounds=18, **options):
    """Runs six orders while random faults happen: single directions between members are cut, members are stopped, killed and started
    again without memory. Returns the fleet with all faults ended."""
    fleet = started_fleet(members, seed, machines=8, **options, bounds=planner.Bounds(zone=0.26, all=0.26, both=1.0))
    rng = random.Random(seed)
    for m in range(6):
        fleet.request_work(rng.randrange(members), f"c{m}", needs=rng.uniform(0.5, 3.0))
    for _ in range(rounds):
        fleet.cut = {(rng.randrange(members), rng.randrange(members)) for _ in range(rng.randrange(members))}
        if rng.random() < 0.6:  # one member receives nothing, or is cut off in both directions
            isolated, receives_nothing = rng.randrange(members), rng.random() < 0.5
            fleet.cut |= {
                pair for m in range(members) for pair in ((m, isolated), (isolated, m)) if pair[1] == isolated or not receives_nothing
            }
        fleet.stopped = {rng.randrange(members)} if rng.random() < 0.4 else set()
        for m in list(fleet.down):
            if rng.random() < 0.7:
                fleet.start(m)
        alive = [m for m in range(fleet.voters) if m not in fleet.down and fleet.nodes[m].register.life]
        if len(alive) > fleet.voters // 2 + 1 and rng.random() < 0.5:
            fleet.kill(rng.choice(alive))
        if fleet.voters < members and rng.random() < 0.4:
            fleet.kill(rng.randrange(fleet.voters, members))
        fleet.run(rng.randrange(300, 3000))
        fleet.cut = set()
        fleet.run(rng.randrange(0, 1500))
    for m in list(fleet.down):
        fleet.start(m)
    fleet.cut, fleet.stopped = set(), set()
    return fleet


@pytest.mark.parametrize("seed", range(6))
def test_random_faults_never_use_a_machine_that_is_out_and_all_orders_end(seed):
    fleet = run_with_faults(seed, strict=bool(seed % 2))
    fleet.run_until(lambda: len(fleet.outcomes()) == 6, 120_000)
    assert set(fleet.outcomes().values()) == {"done"}
    check_guarantees(fleet)


def test_random_faults_with_seven_members():
    fleet = run_with_faults(50, members=7, rounds=10)
    fleet.run_until(lambda: len(fleet.outcomes()) == 6, 120_000)
    check_guarantees(fleet)


@pytest.mark.parametrize("seed", range(3))
def test_random_faults_with_followers(seed):
    fleet = run_with_faults(30 + seed, members=6, rounds=12, followers=3, strict=seed == 2)
    fleet.run_until(lambda: len(fleet.outcomes()) == 6, 120_000)
    assert set(fleet.outcomes().values()) == {"done"} and fleet.latest_document().routers == ("r3", "r4", "r5")
    check_guarantees(fleet)


def test_a_follower_joins_before_it_serves_and_nothing_waits_for_a_follower_that_left():
    fleet = started_fleet(5, 3, followers=2)
    fleet.run(2000)
    assert fleet.latest_document().routers == ("r3", "r4") and all(fleet.hops[n] for n in range(5))
    fleet.kill(4)
    fleet.request_work(3, "c0", needs=3.0)  # requested at a follower
    fleet.run(6000)
    assert state_of(fleet, "c0") == work_orders.NEXT and note_of(fleet, "c0") == "r4 has not heard of it"
    fleet.nodes[0].coordinator.left_members = ["r4"]
    fleet.run_until(lambda: fleet.outcomes() == {"c0": "done"}, 30_000)
    assert fleet.latest_document().routers == ("r3",)
    fleet.start(4)
    fleet.run(3000)
    assert fleet.latest_document().routers == ("r3",) and not fleet.hops[4]  # an operator has marked it as left
    fleet.nodes[0].coordinator.left_members = []
    fleet.run(3000)
    assert fleet.latest_document().routers == ("r3", "r4") and fleet.hops[4]
    check_guarantees(fleet)


def test_a_router_without_memory_does_not_serve_by_the_document_of_a_lagging_member_alone():
    """The earlier process of the router had reported a later document as applied. The coordinator, which can no longer read the router,
    relies on that report."""
    fleet = started_fleet(5, 6)
    first = fleet.coordinator_history[-1]
    lagging, other = [n for n in range(5) if n != first][:2]
    fleet.cut = {(m, lagging) for m in range(5)}  # the lagging member receives nothing from here on
    fleet.run(500)
    fleet.request_work(first, "c0", needs=30.0)
    fleet.run(3000)
    fleet.cut |= {(other, m) for m in range(5)}  # nobody reads it any more
    fleet.kill(other)
    fleet.cut |= {(m, other) for m in range(5) if m != lagging}  # its next process reads only the lagging member
    fleet.start(other)
    fleet.run(8000)
    assert not fleet.hops[other]
    fleet.cut = set()
    fleet.run_until(lambda: fleet.outcomes() == {"c0": "done"}, 60_000)
    assert fleet.hops[other]
    check_guarantees(fleet)


def no_lease(coordinator):
    coordinator.list_lease.is_held = lambda now: True


def eager_out(coordinator):
    coordinator.members_that_may_use = lambda number, now: []


def eager_free(coordinator):
    coordinator.members_with_open_hops = lambda machine, number, now: []


def careless(coordinator):
    """Starts an order that not all members know of."""
    coordinator.members_not_notified = lambda number: []


def no_bounds(coordinator):
    coordinator.bounds = planner.Bounds(zone=1.0, all=1.0, both=1.0)


@pytest.mark.parametrize("fault", [no_lease, eager_out, eager_free, careless, no_bounds])
def test_each_injected_fault_is_found(fault):
    """A few generated runs find each fault. Without a fault they find no violation."""
    for seed in range(12):
        if run_with_faults(seed, rounds=12, fault=fault).violations:
            return
    raise AssertionError("not found")


def test_a_member_with_an_older_document_than_one_that_may_be_decided_gets_no_lease():
    """The coordinator adopted a proposal of a stopped member by which c0 is out, and does not know yet whether it is decided. Random
    faults did not find this case: if the coordinator ignored such proposals, r1 would use c0 by its lease while c0 is out."""
    order = work_orders.Order("a", "r0", "c0", 3.0, 0.0, (), work_orders.OUT, 6, 100, 3, 5)
    from fieldspur.fleet import register_codec

    possibly_decided = register_codec.freeze(work_orders.document_value(work_orders.WorkDocument(6, (order,))))
    member = coordinator.Coordinator(["r0", "r1", "r2"], "r0", "east", LEASE_LENGTH, planner.Bounds(), False, MAX_TIME_LIMIT, SECOND)
    member.applied_number = 3
    for name, applied_number in (("r1", 3), ("r2", 5)):
        member.reports[name] = coordinator.Report(7, applied_number, 4, {}, False, False, {}, (), (0, 0), (), "east")
    member.tick(SECOND, True, [None, possibly_decided, possibly_decided], frozenset(), True)
    assert member.line()["work"]["grants"] == [["r2", 7, 4]] and not member.list_lease.is_held(SECOND)
    assert member.members_that_may_use(5, 9 * SECOND) == ["r0"] and member.members_that_may_use(6, 2 * SECOND) == ["r0", "r1", "r2"]


def test_a_list_lease_runs_from_its_request_and_expires():
    lease = ListLease(1000, drift=0.0)
    first = lease.request(100)
    lease.request(900)
    lease.renew(first)  # a grant that was delayed in a buffer
    assert lease.is_held(1099) and not lease.is_held(1100)
    lease.renew(77)  # a count that this process never published
    assert not lease.is_held(1100)
    lease.renew(2)
    assert lease.is_held(1899)


def test_a_new_coordinator_waits_for_leases_that_another_may_have_granted():
    granted = GrantedListLeases(1000)
    assert not granted.has_ended(1, 10_000)
    granted.set_active(True, 500)
    assert not granted.has_ended(1, 1499) and granted.has_ended(1, 1500)
    granted.grant(1, 1400)
    assert not granted.has_ended(1, 2399) and granted.has_ended(1, 2400) and not granted.has_ended(1, 2400, 100)
    granted.set_active(False, 2400)
    assert not granted.has_ended(1, 9000)


def test_a_document_reads_back_unchanged_and_an_invalid_one_is_rejected():
    order = work_orders.Order("a", "r1", "c1", 3.0, 0.0, ("c2",), work_orders.FREE, 7, 100, 3, 5, 0, "h:1", "overdue")
    document = work_orders.WorkDocument(9, (order,), (work_orders.Ended("b", "c9", work_orders.REFUSED, "why", 4),))
    from fieldspur.fleet import register_codec

    assert (
        work_orders.read_document(register_codec.freeze(work_orders.document_value(document))) == document
        and document.min_lease_number() == 5
    )
    for invalid in (3, "x", ("x", (), ()), (1, (("a",),), ()), (1, ((*order[:6], "away", *order[7:]),), ()), (1, 2, 3), (1, {}, ())):
        with pytest.raises(work_orders.BadOrder):
            work_orders.read_document(invalid)


@pytest.mark.parametrize(
    "change, message",
    [
        ({"holds": -1}, "holds"),
        ({"open": []}, "open"),
        ({"loads": {"c": [1, -1, 0, 0]}, "rest": [[0, 0, 0, 0]] * 2}, "loads"),
        ({"loads": {}, "rest": 3}, "rest"),
        ({"asks": [["add"]]}, "asks"),
        ({"asks": [["add", "a", "c1", 0.0, 0.0, [], False]]}, "needs_s"),
        ({"turned": [1]}, "turned"),
        ({"strict": 1}, "strict"),
        ({"grants": [[1, 2]]}, "grants"),
        ({"zone": None}, "zone"),
        ({"asks": [["add", "a", "c" * 99, 1.0, 0.0, [], False]]}, "machine"),
    ],
)
def test_a_line_with_an_invalid_report_changes_nothing(change, message):
    fleet = started_fleet(3, 1)
    line = fleet.nodes[1].line()
    reports_before = dict(fleet.nodes[0].coordinator.reports)
    with pytest.raises(ValueError, match=message):
        fleet.nodes[0].receive_line(1, line | {"work": line["work"] | change}, fleet.now)
    assert fleet.nodes[0].coordinator.reports == reports_before


FLEET_FILE = '{"fleet": {"name": "v", "members": {"a": "127.0.0.1:1 z", "b": "127.0.0.1:2 z"}, "work": %s}}'


@pytest.mark.parametrize(
    "rows, message",
    [
        ('[{"needs_s": 1}]', "fleet.work[0].machine: missing"),
        ('[{"machine": "c1"}]', "fleet.work[0].needs_s: 0 is not within"),
        ('[{"machine": "c1", "needs_s": "long"}]', "fleet.work[0].needs_s: of another kind"),
        ('[{"machine": "c1", "needs_s": true}]', "fleet.work[0].needs_s: of another kind"),
        ('[{"machine": "c1", "needs_s": 1, "until": 3}]', "fleet.work[0].until: no such key"),
        ('[{"machine": "c1", "needs_s": 1, "with": ["c1"]}]', "fleet.work[0].with: c1 itself"),
        ('[{"machine": "c1", "needs_s": 1}, {"machine": "c1", "needs_s": 2}]', "fleet.work[1].machine: c1 is asked for"),
        ('[{"machine": "c1", "needs_s": 1, "id": "x"}, {"machine": "c2", "needs_s": 2, "id": "x"}]', "the order x twice"),
        ('[{"machine": "", "needs_s": 1}]', "fleet.work[0].machine: a name"),
        ('{"machine": "c1"}', "fleet.work"),
    ],
)
def test_an_invalid_work_request_is_reported_with_its_key(rows, message):
    with pytest.raises(BadFile) as error:
        parse((FLEET_FILE % rows).encode())
    assert message in str(error.value)


def test_the_same_request_in_two_files_is_the_same_order():
    request, held_request = (parse_requests([{"machine": "c1", "needs_s": 3, **options}], "x")[0] for options in ({}, {"hold": True}))
    assert request.ident == held_request.ident and parse_requests([{"machine": "c1", "needs_s": 4}], "x")[0].ident != request.ident
