"""Orders of work in simulated time: what is asked, what goes, what is promised while members fail."""

import random

import pytest
from simulated_fleet import LENGTH, LONGEST, MS, SECOND, SimulatedFleet

from fieldspur.fleet import coordinator, planner, work_orders
from fieldspur.fleet.list_lease import GrantedListLeases, ListLease
from fieldspur.fleet.work_requests import parse_requests
from fieldspur.operators import BadFile, parse


def begun(*about, **more):
    yard = SimulatedFleet(*about, **more)
    yard.begin()
    return yard


def state(yard, machine):
    return next((one.state for one in yard.latest().orders if one.machine == machine), None)


def note(yard, machine):
    return next(one.note for one in yard.latest().orders if one.machine == machine)


def told(yard, n):
    """That router was told that c0 is next, and who acts knows it."""
    found, heard = yard.nodes[n].coordinator.document.find("w-c0"), yard.nodes[yard.acted[-1]].coordinator.reports.get(f"r{n}")
    return found is not None and heard is not None and heard.applied_number >= found.next_at > 0


def whole(yard):
    assert not yard.wrong and yard.most_acting == 1


def test_an_order_goes_out_is_free_and_comes_back_and_the_next_follows():
    yard = begun(3, 1, bounds=planner.Bounds(zone=0.34, all=0.34))
    yard.ask(0, "c0")
    yard.ask(2, "c1", ident="other")
    yard.until(lambda: len(yard.how()) == 2, 60_000)
    assert yard.how() == {"c0": "done", "c1": "done"} and sorted(yard.frees) == ["c0", "c1"] and yard.most_out == 1
    yard.run(1000)
    assert len({node.coordinator.document for node in yard.nodes}) == 1
    whole(yard)


def test_asked_twice_at_two_routers_and_in_conflict_one_order_comes_out_and_the_refusal_says_why():
    yard = begun(5, 2)
    yard.cut = {(a, b) for a in range(5) for b in range(5) if (a < 2) != (b < 2)}
    yard.ask(0, "c0", ident="by two")  # asked in a partition that can't decide
    yard.ask(3, "c0", ident="by three", needs=30.0)
    yard.ask(4, "c0", ident="by three", needs=30.0)
    yard.ask(4, "c9")
    yard.run(4000)
    yard.cut = set()
    yard.until(lambda: len(yard.latest().ended) == 2, 15_000)
    ended = {one.ident: one.why for one in yard.latest().ended}
    assert "is asked for already" in ended["by two"] and "no such cache" in ended["w-c9"]
    assert [one.ident for one in yard.latest().orders] == ["by three"]
    whole(yard)


def test_a_router_that_is_cut_off_keeps_off_what_was_announced_and_the_machine_goes_all_the_same():
    yard = begun(3, 3)
    other = next(n for n in range(3) if n != yard.acted[-1])
    yard.ask(yard.acted[-1], "c0", needs=20.0)
    yard.until(lambda: told(yard, other), 10_000)
    yard.cut = {(a, b) for a in range(3) for b in range(3) if other in (a, b)}
    yard.until(lambda: state(yard, "c0") == work_orders.FREE, 20_000)
    assert yard.nodes[other].coordinator.document.find("w-c0").state in (work_orders.NEXT, work_orders.GOING)
    assert "c0" in yard.nodes[other].coordinator.withdrawn(yard.now) and "c1" not in yard.nodes[other].coordinator.withdrawn(yard.now)
    whole(yard)


@pytest.mark.parametrize("strict", [False, True])
def test_what_a_cut_off_router_was_not_told_of_waits_for_it_unless_it_serves_nothing_meanwhile(strict):
    yard = begun(3, 4, strict=strict)
    other = next(n for n in range(3) if n != yard.acted[-1])
    yard.cut = {(a, b) for a in range(3) for b in range(3) if other in (a, b)}
    yard.run(3000)
    yard.ask(yard.acted[-1], "c0", needs=20.0)
    yard.run(12_000)
    if strict:
        assert state(yard, "c0") == work_orders.FREE and not yard.hops[other]
    else:
        assert state(yard, "c0") == work_orders.NEXT and note(yard, "c0") == f"r{other} has not heard of it"
        assert yard.hops[other]
    yard.cut = set()
    yard.until(lambda: state(yard, "c0") == work_orders.FREE, 20_000)
    yard.run(4000)
    assert yard.hops[other]
    whole(yard)


def test_a_router_that_hears_nothing_but_is_heard_says_itself_that_nothing_is_open_there():
    yard = begun(3, 5)
    other = next(n for n in range(3) if n != yard.acted[-1])
    yard.ask(yard.acted[-1], "c0", needs=20.0)
    yard.until(lambda: told(yard, other), 10_000)
    yard.cut = {(m, other) for m in range(3)}
    yard.until(lambda: state(yard, "c0") == work_orders.FREE, 20_000)
    whole(yard)


def test_a_machine_is_not_free_while_a_router_has_something_open_there():
    yard = begun(3, 6)
    yard.ask(0, "c0")
    yard.until(lambda: state(yard, "c0") == work_orders.GOING, 20_000)
    yard.hops[2].append(("c0", yard.now, yard.now + 40 * SECOND))  # a long one
    yard.run(20_000)
    assert state(yard, "c0") == work_orders.OUT and "r2 may have something open there" in note(yard, "c0")
    yard.until(lambda: "c0" in yard.frees, 40_000)
    whole(yard)


def test_a_paused_router_that_goes_on_uses_nothing_that_went_meanwhile():
    yard = begun(3, 7)
    other = next(n for n in range(3) if n != yard.acted[-1])
    yard.ask(yard.acted[-1], "c0", needs=60.0)
    yard.until(lambda: told(yard, other), 10_000)
    yard.stopped = {other}
    yard.until(lambda: state(yard, "c0") == work_orders.FREE, 20_000)
    yard.stopped = set()
    yard.run(3000)
    assert yard.nodes[other].coordinator.document.find("w-c0").state == work_orders.FREE
    whole(yard)


def test_an_order_withdrawn_while_its_machine_drains_gives_it_back_at_once():
    yard = begun(3, 8)
    yard.ask(1, "c0")
    yard.until(lambda: state(yard, "c0") == work_orders.GOING, 20_000)
    yard.wished[1].clear()
    yard.until(lambda: yard.how() == {"c0": "dropped"}, 5000)
    yard.run(1000)
    assert not any("c0" in node.coordinator.withdrawn(yard.now) for node in yard.nodes)
    whole(yard)


def test_one_withdrawn_when_it_is_out_comes_back_like_one_that_was_worked_on():
    yard = begun(3, 9)
    yard.ask(1, "c0", needs=60.0)
    yard.until(lambda: state(yard, "c0") == work_orders.FREE, 20_000)
    yard.ask(1, "c0", needs=60.0, drop=True)
    yard.until(lambda: state(yard, "c0") == work_orders.BACK, 5000)
    yard.until(lambda: yard.how() == {"c0": "done"}, 10_000)
    whole(yard)


def test_held_orders_wait_and_go_when_they_are_let_go():
    yard = begun(3, 10)
    yard.ask(1, "c0", held=True)
    yard.run(6000)
    assert state(yard, "c0") == work_orders.HELD
    yard.ask(1, "c0", held=False)
    yard.until(lambda: yard.how() == {"c0": "done"}, 20_000)
    whole(yard)


def test_machines_that_belong_together_go_together_and_one_waits_for_the_other_to_be_asked_for():
    yard = begun(3, 11, bounds=planner.Bounds(zone=0.5, all=0.5, both=1.0))
    yard.ask(0, "c0", beside=("c1",))
    yard.run(5000)
    assert state(yard, "c0") == work_orders.WAITING and note(yard, "c0") == "nobody asked for c1"
    yard.ask(2, "c1")
    yard.until(lambda: yard.frees, 20_000)
    assert {state(yard, "c0"), state(yard, "c1")} <= {work_orders.OUT, work_orders.FREE}
    yard.until(lambda: yard.how() == {"c0": "done", "c1": "done"}, 20_000)
    whole(yard)


def test_the_board_drains_another_at_the_same_moment_and_the_one_that_goes_is_taken_back():
    yard = begun(3, 12, bounds=planner.Bounds(zone=0.34, all=0.34))
    yard.ask(0, "c0")
    yard.until(lambda: state(yard, "c0") == work_orders.NEXT, 20_000)
    yard.listings["c1"] = yard.listings["c1"]._replace(state="draining")
    yard.listings["c2"] = yard.listings["c2"]._replace(state="draining")
    yard.run(6000)
    assert state(yard, "c0") == work_orders.WAITING and "bounds.zone allows 0.34" in note(yard, "c0")
    for name in ("c1", "c2"):
        yard.listings[name] = yard.listings[name]._replace(state="up")
    yard.until(lambda: yard.how() == {"c0": "done"}, 20_000)
    whole(yard)


@pytest.mark.parametrize(
    "change, said",
    [({"state": "gone"}, "gone from the board while out"), ({"address": "h:77"}, "back at another address: h:77"), ({}, "overdue")],
)
def test_one_that_does_not_come_back_as_it_was_counts_as_out_and_the_operator_is_told(change, said):
    yard = begun(3, 13, bounds=planner.Bounds(zone=0.2, all=0.2))
    yard.ask(0, "c0", needs=5.0)
    yard.ask(0, "c1", needs=5.0)
    yard.until(lambda: state(yard, "c0") == work_orders.FREE, 20_000)
    yard.restarts.clear()
    yard.listings["c0"] = yard.listings["c0"]._replace(started=yard.now // MS, **change) if change else yard.listings["c0"]
    yard.run(14_000)
    assert state(yard, "c0") == work_orders.FREE and note(yard, "c0") == said and state(yard, "c1") == work_orders.WAITING
    yard.listings["c0"] = yard.listings["c0"]._replace(state="up")
    yard.ask(0, "c0", needs=5.0, back=True)  # an operator says so
    yard.until(lambda: yard.how().get("c0") == "done", 20_000)
    whole(yard)


@pytest.mark.parametrize("step", [work_orders.NEXT, work_orders.GOING, work_orders.OUT, work_orders.FREE, work_orders.BACK])
def test_who_acts_is_killed_at_a_step_of_an_order_and_it_goes_on(step):
    yard = begun(5, 14)
    yard.ask(0, "c0", needs=3.0)
    yard.until(lambda: state(yard, "c0") == step, 30_000)
    who = yard.acted[-1]
    yard.kill(who)
    yard.run(3000)
    yard.start(who)
    yard.until(lambda: yard.nodes[who].register.life, 10_000)
    yard.until(lambda: yard.how() == {"c0": "done"}, 30_000)
    assert yard.frees == ["c0"]
    whole(yard)


def test_who_acts_stops_after_it_said_a_step_and_its_word_does_not_free_a_machine_twice():
    """Stopped with a proposal that one member took over; another acts and gives leases meanwhile; then it goes on."""
    for seed in range(8):
        yard = begun(3, 20 + seed)
        yard.ask(0, "c0", needs=3.0)
        yard.until(lambda: state(yard, "c0") == (work_orders.NEXT, work_orders.GOING)[seed % 2], 30_000)
        who = yard.acted[-1]
        yard.run(50 * (seed % 4))
        yard.cut = {(who, m) for m in range(3) if m != (who + 1) % 3}
        yard.run(150)
        yard.stopped = {who}
        yard.run(6000)
        yard.cut, yard.stopped = set(), set()
        yard.until(lambda: yard.how() == {"c0": "done"}, 40_000)
        whole(yard)


def test_all_routers_restart_in_turn_during_an_order():
    yard = begun(5, 15)
    yard.ask(0, "c0", needs=25.0)
    yard.until(lambda: state(yard, "c0") == work_orders.OUT, 20_000)
    for n in range(5):
        yard.kill(n)
        yard.run(300)
        yard.start(n)
        yard.until(lambda: yard.nodes[n].register.life, 10_000)
    yard.until(lambda: yard.how() == {"c0": "done"}, 60_000)
    whole(yard)


def test_seven_of_ten_that_forget_leave_a_fleet_that_changes_nothing_and_keeps_off_what_was_out():
    yard = begun(10, 16, bounds=planner.Bounds(zone=0.5, all=0.5, both=1.0))
    yard.ask(9, "c0", needs=300.0)
    yard.until(lambda: state(yard, "c0") == work_orders.FREE, 30_000)
    number = yard.latest().number
    for n in range(7):
        yard.kill(n)
    for n in range(7):
        yard.start(n)
    yard.ask(9, "c1")
    yard.run(10_000)
    assert yard.latest().number == number and not any(yard.nodes[n].register.life for n in range(7))
    assert all("c0" in node.coordinator.withdrawn(yard.now) and "c2" not in node.coordinator.withdrawn(yard.now) for node in yard.nodes)
    assert all(yard.hops[n] for n in range(10))
    whole(yard)


def test_a_member_of_an_older_version_takes_part_in_agreement_and_orders_wait_for_it():
    yard = begun(3, 17)
    old = next(n for n in range(3) if n != yard.acted[-1])
    plain = yard.nodes[old].line
    yard.nodes[old].line = lambda: {name: part for name, part in plain().items() if name != "work"}
    yard.run(500)
    yard.ask(yard.acted[-1], "c0")
    yard.run(8000)
    assert state(yard, "c0") == work_orders.NEXT and note(yard, "c0") == f"r{old} has not heard of it"
    whole(yard)


def test_a_partition_that_splits_five_heals_and_splits_otherwise_keeps_one_order():
    yard = begun(5, 18, bounds=planner.Bounds(zone=0.34, all=0.34))
    for n, machine in enumerate(("c0", "c1", "c2", "c3")):
        yard.ask(n, machine)
    for group in ((0, 1), (0, 4), (2, 3), (1, 3)):
        yard.run(2500)
        yard.cut = {(a, b) for a in range(5) for b in range(5) if (a in group) != (b in group)}
        yard.run(5000)
        yard.cut = set()
    yard.until(lambda: len(yard.how()) == 4, 90_000)
    assert set(yard.how().values()) == {"done"} and sorted(yard.frees) == ["c0", "c1", "c2", "c3"]
    whole(yard)


def test_clocks_hours_apart_that_jump_both_ways_change_nothing():
    yard = begun(5, 19, bounds=planner.Bounds(zone=0.34, all=0.34))
    chance = random.Random(19)
    for m in range(4):
        yard.ask(m, f"c{m}", before=yard.now / SECOND + 60)
    for _ in range(12):
        yard.skew = {n: chance.choice((-7_200_000, -60_000, 0, 600_000, 86_400_000)) for n in range(5)}
        yard.run(1500)
    yard.until(lambda: len(yard.how()) == 4, 60_000)
    assert set(yard.how().values()) == {"done"}
    whole(yard)


def faulty_day(seed, members=5, rounds=18, **more):
    """Anything may fail at any time; members that forget, pairs cut one way, members stopped."""
    yard = begun(members, seed, machines=8, **more, bounds=planner.Bounds(zone=0.26, all=0.26, both=1.0))
    chance = random.Random(seed)
    for m in range(6):
        yard.ask(chance.randrange(members), f"c{m}", needs=chance.uniform(0.5, 3.0))
    for _ in range(rounds):
        yard.cut = {(chance.randrange(members), chance.randrange(members)) for _ in range(chance.randrange(members))}
        if chance.random() < 0.6:  # one hears nobody, or is not heard either
            alone, deaf = chance.randrange(members), chance.random() < 0.5
            yard.cut |= {pair for m in range(members) for pair in ((m, alone), (alone, m)) if pair[1] == alone or not deaf}
        yard.stopped = {chance.randrange(members)} if chance.random() < 0.4 else set()
        for m in list(yard.down):
            if chance.random() < 0.7:
                yard.start(m)
        alive = [m for m in range(yard.settle) if m not in yard.down and yard.nodes[m].register.life]
        if len(alive) > yard.settle // 2 + 1 and chance.random() < 0.5:
            yard.kill(chance.choice(alive))
        if yard.settle < members and chance.random() < 0.4:
            yard.kill(chance.randrange(yard.settle, members))
        yard.run(chance.randrange(300, 3000))
        yard.cut = set()
        yard.run(chance.randrange(0, 1500))
    for m in list(yard.down):
        yard.start(m)
    yard.cut, yard.stopped = set(), set()
    return yard


@pytest.mark.parametrize("seed", range(6))
def test_days_of_faults_use_nothing_that_is_out_and_end_all_orders(seed):
    yard = faulty_day(seed, strict=bool(seed % 2))
    yard.until(lambda: len(yard.how()) == 6, 120_000)
    assert set(yard.how().values()) == {"done"}
    whole(yard)


def test_a_day_of_faults_at_seven_members():
    yard = faulty_day(50, members=7, rounds=10)
    yard.until(lambda: len(yard.how()) == 6, 120_000)
    whole(yard)


@pytest.mark.parametrize("seed", range(3))
def test_days_of_faults_with_routers_that_follow(seed):
    yard = faulty_day(30 + seed, members=6, rounds=12, followers=3, strict=seed == 2)
    yard.until(lambda: len(yard.how()) == 6, 120_000)
    assert set(yard.how().values()) == {"done"} and yard.latest().routers == ("r3", "r4", "r5")
    whole(yard)


def test_a_router_that_follows_joins_before_it_serves_and_nothing_waits_for_one_that_left():
    yard = begun(5, 3, followers=2)
    yard.run(2000)
    assert yard.latest().routers == ("r3", "r4") and all(yard.hops[n] for n in range(5))
    yard.kill(4)
    yard.ask(3, "c0", needs=3.0)  # asked at one that follows
    yard.run(6000)
    assert state(yard, "c0") == work_orders.NEXT and note(yard, "c0") == "r4 has not heard of it"
    yard.nodes[0].coordinator.left_members = ["r4"]
    yard.until(lambda: yard.how() == {"c0": "done"}, 30_000)
    assert yard.latest().routers == ("r3",)
    yard.start(4)
    yard.run(3000)
    assert yard.latest().routers == ("r3",) and not yard.hops[4]  # an operator said that it is out
    yard.nodes[0].coordinator.left_members = []
    yard.run(3000)
    assert yard.latest().routers == ("r3", "r4") and yard.hops[4]
    whole(yard)


def test_a_router_without_memory_that_hears_only_one_that_lags_does_not_serve_on_its_word():
    """Its life before had said that it goes by a later document; who acts, that can't hear it any more, counts on that."""
    yard = begun(5, 6)
    first = yard.acted[-1]
    lags, other = [n for n in range(5) if n != first][:2]
    yard.cut = {(m, lags) for m in range(5)}  # hears nobody from here on
    yard.run(500)
    yard.ask(first, "c0", needs=30.0)
    yard.run(3000)
    yard.cut |= {(other, m) for m in range(5)}  # what it says is not heard any more
    yard.kill(other)
    yard.cut |= {(m, other) for m in range(5) if m != lags}  # in its next life it hears the one that lags
    yard.start(other)
    yard.run(8000)
    assert not yard.hops[other]
    yard.cut = set()
    yard.until(lambda: yard.how() == {"c0": "done"}, 60_000)
    assert yard.hops[other]
    whole(yard)


def no_lease(made):
    made.list_lease.is_held = lambda now: True


def eager_out(made):
    made.members_that_may_use = lambda number, now: []


def eager_free(made):
    made.members_with_open_hops = lambda machine, number, now: []


def careless(made):
    """Lets a machine go that not all were told of."""
    made.members_not_notified = lambda number: []


def no_bounds(made):
    made.bounds = planner.Bounds(zone=1.0, all=1.0, both=1.0)


@pytest.mark.parametrize("planted", [no_lease, eager_out, eager_free, careless, no_bounds])
def test_each_fault_planted_is_found(planted):
    """Within a few generated days; the sound build has none in them."""
    for seed in range(12):
        if faulty_day(seed, rounds=12, planted=planted).wrong:
            return
    raise AssertionError("not found")


def test_who_goes_by_an_older_document_than_may_be_decided_gets_no_lease():
    """Who acts took over a word that says c0 is out from one that stopped, and knows no decision of it yet. Generated days did not
    find this planted; without the look at such words r1 would use c0 by its lease while that is decided."""
    order = work_orders.Order("a", "r0", "c0", 3.0, 0.0, (), work_orders.OUT, 6, 100, 3, 5)
    from fieldspur.fleet import register_codec

    may_be = register_codec.freeze(work_orders.document_value(work_orders.WorkDocument(6, (order,))))
    made = coordinator.Coordinator(["r0", "r1", "r2"], "r0", "east", LENGTH, planner.Bounds(), False, LONGEST, SECOND)
    made.applied_number = 3
    for name, holds in (("r1", 3), ("r2", 5)):
        made.reports[name] = coordinator.Report(7, holds, 4, {}, False, False, {}, (), (0, 0), (), "east")
    made.tick(SECOND, True, [None, may_be, may_be], frozenset(), True)
    assert made.line()["work"]["grants"] == [["r2", 7, 4]] and not made.list_lease.is_held(SECOND)
    assert made.members_that_may_use(5, 9 * SECOND) == ["r0"] and made.members_that_may_use(6, 2 * SECOND) == ["r0", "r1", "r2"]


def test_a_lease_on_the_list_runs_from_when_it_was_asked_for_and_ends_by_itself():
    mine = ListLease(1000, drift=0.0)
    first = mine.request(100)
    mine.request(900)
    mine.renew(first)  # a grant that lay in a buffer
    assert mine.is_held(1099) and not mine.is_held(1100)
    mine.renew(77)  # of a process before
    assert not mine.is_held(1100)
    mine.renew(2)
    assert mine.is_held(1899)


def test_who_begins_to_act_waits_for_leases_that_another_may_have_given():
    theirs = GrantedListLeases(1000)
    assert not theirs.has_ended(1, 10_000)
    theirs.set_active(True, 500)
    assert not theirs.has_ended(1, 1499) and theirs.has_ended(1, 1500)
    theirs.grant(1, 1400)
    assert not theirs.has_ended(1, 2399) and theirs.has_ended(1, 2400) and not theirs.has_ended(1, 2400, 100)
    theirs.set_active(False, 2400)
    assert not theirs.has_ended(1, 9000)


def test_a_document_reads_back_as_it_was_and_one_that_is_none_is_refused():
    order = work_orders.Order("a", "r1", "c1", 3.0, 0.0, ("c2",), work_orders.FREE, 7, 100, 3, 5, 0, "h:1", "overdue")
    found = work_orders.WorkDocument(9, (order,), (work_orders.Ended("b", "c9", work_orders.REFUSED, "why", 4),))
    from fieldspur.fleet import register_codec

    assert work_orders.read_document(register_codec.freeze(work_orders.document_value(found))) == found and found.min_lease_number() == 5
    for bad in (3, "x", ("x", (), ()), (1, (("a",),), ()), (1, ((*order[:6], "away", *order[7:]),), ()), (1, 2, 3), (1, {}, ())):
        with pytest.raises(work_orders.BadOrder):
            work_orders.read_document(bad)


@pytest.mark.parametrize(
    "change, said",
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
def test_a_line_whose_word_on_work_is_none_changes_nothing(change, said):
    yard = begun(3, 1)
    line = yard.nodes[1].line()
    before = dict(yard.nodes[0].coordinator.reports)
    with pytest.raises(ValueError, match=said):
        yard.nodes[0].receive_line(1, line | {"work": line["work"] | change}, yard.now)
    assert yard.nodes[0].coordinator.reports == before


FLEET = '{"fleet": {"name": "v", "members": {"a": "127.0.0.1:1 z", "b": "127.0.0.1:2 z"}, "work": %s}}'


@pytest.mark.parametrize(
    "rows, said",
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
def test_a_wish_that_can_t_be_is_named_by_its_key(rows, said):
    with pytest.raises(BadFile) as wrong:
        parse((FLEET % rows).encode())
    assert said in str(wrong.value)


def test_the_same_wish_in_two_files_is_the_same_order():
    one, two = (parse_requests([{"machine": "c1", "needs_s": 3, **more}], "x")[0] for more in ({}, {"hold": True}))
    assert one.ident == two.ident and parse_requests([{"machine": "c1", "needs_s": 4}], "x")[0].ident != one.ident
