"""The planner: which machines may be out together, and its plans compared with an exhaustive search."""

import itertools
import random

import pytest

from fieldspur.fleet.planner import Bounds, Machine, MachinePool, Unit, make_plan, schedule


def caches(count, zone="north", capacity=10.0, load=1.0, **fields):
    return {f"{zone[0]}{n}": Machine(zone, False, capacity, load, 5.0, **fields) for n in range(count)}


def machine_set(*names):
    return frozenset(names)


def violated_bound(machines, names, trouble=None, **bounds):
    return MachinePool(machines, Bounds(**{"zone": 1.0, "all": 1.0, "both": 1.0, "headroom": 1.0} | bounds), trouble).violated_bound(
        frozenset(names)
    )


@pytest.mark.parametrize(
    "names, bounds, message",
    [
        (["n0", "n1"], {"zone": 0.2}, "north: 0.33 of its capacity out, bounds.zone allows 0.20"),
        (["n0"], {"zone": 0.2}, ""),
        (["n0", "n1"], {"all": 0.1}, "bounds.all allows 0.10"),
        (["n0"], {"all": 0.01}, ""),
        (["n0", "n1"], {"both": 0.0}, "lose home and next cache, bounds.both allows 0.000"),
        (["n0"], {"both": 0.0}, ""),
        (["n0", "n1"], {"headroom": 0.1}, "north: a load of 6.0, bounds.headroom allows 4.0 of what stays"),
        (["n0", "n1", "n2"], {"fills": 12.0}, "15 more fills a second, bounds.fills_s allows 12"),
        (["n0", "n1", "n2"], {"at_once": 2}, "3 machines out, bounds.at_once allows 2"),
        (["x"], {}, "x is not on the board"),
    ],
)
def test_each_bound_forbids_a_set_that_exceeds_it_and_is_named(names, bounds, message):
    reason = violated_bound(caches(6), names, **bounds)
    assert message in reason if message else not reason


def test_small_variations_of_observed_capacity_do_not_forbid_a_set_at_its_bound():
    """In a lab run, three of thirty machines at a bound of 0.1 were announced and taken back again and again."""
    machines = caches(30) | {"n7": Machine("north", False, 9.9, 1.0, 5.0)}
    assert not violated_bound(machines, ["n0", "n1", "n2"], zone=0.1, all=0.1)
    assert violated_bound(machines, ["n0", "n1", "n2", "n3"], zone=0.1) and violated_bound(machines, ["n0", "n1", "n2", "n3"], all=0.1)


def test_locations_have_separate_bounds_and_share_the_bound_on_all_capacity():
    machines = caches(4) | caches(4, "south")
    assert not violated_bound(machines, ["n0", "s0"], zone=0.25, both=0.0)
    assert "bounds.all" in violated_bound(machines, ["n0", "s0"], zone=0.25, all=0.2)
    assert "north: txns are turned away" in violated_bound(machines, ["n0"], {"north": "txns are turned away there"})
    assert not violated_bound(machines, ["s0"], {"north": "txns are turned away there"})


def test_unusable_machines_count_as_out():
    machines = caches(4) | {"n0": Machine("north", False, 10.0, 0.0, 0.0, usable=False)}
    assert "0.50 of its capacity" in violated_bound(machines, ["n1"], zone=0.25)
    assert not violated_bound(machines, ["n0"], zone=0.25)


def test_a_parent_goes_out_only_alone_while_all_caches_are_there_and_never_the_last_one():
    machines = caches(4) | {f"p{n}": Machine("north", True, 40.0, 5.0, 0.0) for n in range(2)}
    assert not violated_bound(machines, ["p0"])
    assert "leans on p0" in violated_bound(machines, ["p0", "n1"])
    assert "p1 is away, on which the caches lean" in violated_bound(machines | {"p1": machines["p1"]._replace(usable=False)}, ["n1"])
    assert "parents" in violated_bound(machines, ["p0", "p1"])
    assert violated_bound({name: machine for name, machine in machines.items() if name != "p1"}, ["p0"]) == "no parent would be left"
    assert "bounds.headroom allows" in violated_bound(machines, ["p0"], headroom=0.2)


def test_the_share_of_objects_that_lose_both_caches_matches_weighted_rendezvous_hashing():
    rng, machines = random.Random(3), {f"n{n}": Machine("north", False, size, 0.0, 0.0) for n, size in enumerate((5, 10, 20, 25))}
    names, gone, lost_count = list(machines), {"n1", "n3"}, 0
    for _ in range(40_000):
        first_two = sorted(names, key=lambda name: rng.expovariate(machines[name].capacity))[:2]
        lost_count += set(first_two) == gone
    pool = MachinePool(machines, Bounds())
    assert pool.share_losing_both(names, sorted(gone), 60.0) == pytest.approx(lost_count / 40_000, abs=0.01)


def test_an_impossible_unit_is_reported_with_the_bound_that_forbids_it():
    machines = caches(2) | caches(8, "south")
    plan = make_plan([Unit("a", machine_set("n0"), 5.0), Unit("b", machine_set("s0"), 5.0)], [], MachinePool(machines, Bounds()))
    assert plan.impossible == {"a": "north: 0.50 of its capacity out, bounds.zone allows 0.34"}
    assert [step.unit for step in plan.steps] == ["b"] and plan.length == 5.0


def test_units_that_are_already_out_are_taken_into_account():
    pool = MachinePool(caches(6), Bounds(zone=0.34, all=0.34, both=1.0))
    plan = make_plan(
        [Unit("a", machine_set("n0"), 5.0)], [(Unit("x", machine_set("n1"), 9.0), 4.0), (Unit("y", machine_set("n2"), 9.0), 6.0)], pool
    )
    assert plan.steps[0].start == 4.0 and plan.length == 9.0


def test_the_unit_with_the_earlier_deadline_goes_first():
    pool = MachinePool(caches(6), Bounds())
    plan = make_plan([Unit("long", machine_set("n0"), 50.0), Unit("soon", machine_set("n1"), 5.0, deadline_s=10.0)], [], pool)
    assert [step.unit for step in plan.steps] == ["soon", "long"]


def random_case(rng, unit_count):
    """A random small case: two locations, one or two parents, machines of several sizes, and bounds that have an effect."""
    machines = {}
    for zone in ("north", "south"):
        for n in range(rng.randrange(3, 6)):
            machines[f"{zone[0]}{n}"] = Machine(zone, False, rng.choice((5.0, 10.0, 20.0)), rng.uniform(0, 3), rng.uniform(0, 5))
    for n in range(rng.randrange(1, 3)):
        machines[f"p{n}"] = Machine("north", True, 40.0, 5.0, 0.0)
    bounds = Bounds(
        rng.choice((0.4, 0.6, 0.8)),
        rng.choice((0.25, 0.4, 0.7)),
        rng.choice((0.0, 0.1, 0.5)),
        rng.choice((0.6, 0.9)),
        rng.choice((0.0, 8.0, 15.0)),
        1,
        rng.choice((2, 3, 8)),
    )
    names = rng.sample(sorted(machines), unit_count)
    units = [Unit(name, frozenset((name,)), float(rng.randrange(1, 5))) for name in names]
    if rng.random() < 0.3 and unit_count > 2:
        units = units[:-1] + [
            units[-1]._replace(machines=machine_set(names[-1], rng.choice([n for n in sorted(machines) if n not in names])))
        ]
    return machines, bounds, units


def shortest_length(units, pool):
    """The shortest length over all schedules whose starts are whole seconds, by trying them all."""
    max_start = int(sum(unit.duration_s for unit in units))
    best = [float("inf")]

    def place(index, placed):
        if index == len(units):
            best[0] = min(best[0], max((end for _, _, end in placed), default=0.0))
            return
        unit = units[index]
        for start in range(max_start):
            if start + unit.duration_s >= best[0]:
                return
            rows = [*placed, (unit.machines, start, start + unit.duration_s)]
            if all(
                not pool.violated_bound(frozenset().union(*(machines for machines, begin, end in rows if begin <= moment < end)))
                for moment in {begin for _, begin, _ in rows}
            ):
                place(index + 1, rows)

    place(0, [])
    return best[0]


@pytest.mark.parametrize("seed", range(60))
def test_small_plans_have_the_shortest_length_and_keep_all_bounds_at_every_moment(seed):
    rng = random.Random(seed)
    machines, bounds, units = random_case(rng, rng.randrange(2, 5))
    pool = MachinePool(machines, bounds)
    plan = make_plan(units, [], pool)
    by_name = {unit.name: unit for unit in units}
    possible = [unit for unit in units if unit.name not in plan.impossible]
    assert {step.unit for step in plan.steps} == {unit.name for unit in possible}
    for moment in {step.start for step in plan.steps}:
        running = frozenset().union(*(by_name[step.unit].machines for step in plan.steps if step.start <= moment < step.end))
        assert not MachinePool(machines, bounds).violated_bound(running)
    if possible:
        assert plan.length == shortest_length(possible, pool)
        assert plan.min_length <= plan.length
    for name, reason in plan.impossible.items():
        assert reason and pool.violated_bound(by_name[name].machines)


def test_larger_plans_come_near_their_minimum_length_and_every_order_keeps_the_bounds():
    """Twelve of thirty machines, as in the lab scenario."""
    rng = random.Random(5)
    pool = MachinePool(caches(30), Bounds(zone=0.1, all=0.1, both=0.01))
    units = [Unit(f"n{n}", machine_set(f"n{n}"), rng.uniform(3.0, 9.0)) for n in range(12)]
    plan = make_plan(units, [], pool)
    ideal = sum(unit.duration_s for unit in units) / 3
    assert plan.length <= 1.15 * max(ideal, plan.min_length)
    for order in itertools.islice(itertools.permutations(units), 0, 4000, 997):
        for step in (steps := schedule(order, [], pool)):
            assert sum(other.start <= step.start < other.end for other in steps) <= 3
