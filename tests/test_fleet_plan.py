"""The planner: what may be out together, and its order held against exhaustive search."""

import itertools
import random

import pytest

from fieldspur.fleet.planner import Bounds, Machine, MachinePool, Unit, make_plan, schedule


def caches(many, zone="north", capacity=10.0, load=1.0, **more):
    return {f"{zone[0]}{n}": Machine(zone, False, capacity, load, 5.0, **more) for n in range(many)}


def out(*names):
    return frozenset(names)


def forbidden(machines, names, trouble=None, **bounds):
    return MachinePool(machines, Bounds(**{"zone": 1.0, "all": 1.0, "both": 1.0, "headroom": 1.0} | bounds), trouble).violated_bound(
        frozenset(names)
    )


@pytest.mark.parametrize(
    "names, bounds, said",
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
def test_each_bound_forbids_what_passes_it_and_says_so(names, bounds, said):
    found = forbidden(caches(6), names, **bounds)
    assert said in found if said else not found


def test_capacities_that_are_seen_a_little_otherwise_do_not_take_back_what_is_at_its_bound():
    """Found by the laboratory: three of thirty at a bound of 0.1 were announced and taken back again and again."""
    machines = caches(30) | {"n7": Machine("north", False, 9.9, 1.0, 5.0)}
    assert not forbidden(machines, ["n0", "n1", "n2"], zone=0.1, all=0.1)
    assert forbidden(machines, ["n0", "n1", "n2", "n3"], zone=0.1) and forbidden(machines, ["n0", "n1", "n2", "n3"], all=0.1)


def test_two_locations_lend_each_other_nothing_and_share_what_is_bound_in_all():
    machines = caches(4) | caches(4, "south")
    assert not forbidden(machines, ["n0", "s0"], zone=0.25, both=0.0)
    assert "bounds.all" in forbidden(machines, ["n0", "s0"], zone=0.25, all=0.2)
    assert "north: txns are turned away" in forbidden(machines, ["n0"], {"north": "txns are turned away there"})
    assert not forbidden(machines, ["s0"], {"north": "txns are turned away there"})


def test_what_the_board_took_away_or_is_cold_counts_as_out():
    machines = caches(4) | {"n0": Machine("north", False, 10.0, 0.0, 0.0, usable=False)}
    assert "0.50 of its capacity" in forbidden(machines, ["n1"], zone=0.25)
    assert not forbidden(machines, ["n0"], zone=0.25)


def test_a_parent_goes_alone_with_no_cache_away_and_never_the_last_one():
    machines = caches(4) | {f"p{n}": Machine("north", True, 40.0, 5.0, 0.0) for n in range(2)}
    assert not forbidden(machines, ["p0"])
    assert "leans on p0" in forbidden(machines, ["p0", "n1"])
    assert "p1 is away, on which the caches lean" in forbidden(machines | {"p1": machines["p1"]._replace(usable=False)}, ["n1"])
    assert "parents" in forbidden(machines, ["p0", "p1"])
    assert forbidden({name: one for name, one in machines.items() if name != "p1"}, ["p0"]) == "no parent would be left"
    assert "bounds.headroom allows" in forbidden(machines, ["p0"], headroom=0.2)


def test_the_share_of_objects_that_lose_both_is_that_of_weighted_rendezvous():
    chance, machines = random.Random(3), {f"n{n}": Machine("north", False, size, 0.0, 0.0) for n, size in enumerate((5, 10, 20, 25))}
    names, gone, lost = list(machines), {"n1", "n3"}, 0
    for _ in range(40_000):
        first = sorted(names, key=lambda name: chance.expovariate(machines[name].capacity))[:2]
        lost += set(first) == gone
    park = MachinePool(machines, Bounds())
    assert park.share_losing_both(names, sorted(gone), 60.0) == pytest.approx(lost / 40_000, abs=0.01)


def test_no_plan_is_said_plainly_with_the_bound_that_forbids_it():
    machines = caches(2) | caches(8, "south")
    found = make_plan([Unit("a", out("n0"), 5.0), Unit("b", out("s0"), 5.0)], [], MachinePool(machines, Bounds()))
    assert found.impossible == {"a": "north: 0.50 of its capacity out, bounds.zone allows 0.34"}
    assert [step.unit for step in found.steps] == ["b"] and found.length == 5.0


def test_what_is_running_is_accounted_for():
    park = MachinePool(caches(6), Bounds(zone=0.34, all=0.34, both=1.0))
    found = make_plan([Unit("a", out("n0"), 5.0)], [(Unit("x", out("n1"), 9.0), 4.0), (Unit("y", out("n2"), 9.0), 6.0)], park)
    assert found.steps[0].start == 4.0 and found.length == 9.0


def test_what_is_wanted_sooner_goes_first():
    park = MachinePool(caches(6), Bounds())
    found = make_plan([Unit("long", out("n0"), 50.0), Unit("soon", out("n1"), 5.0, deadline_s=10.0)], [], park)
    assert [step.unit for step in found.steps] == ["soon", "long"]


def drawn(chance, many):
    """A small case: two locations, a parent or two, machines of several sizes, bounds that bite."""
    machines = {}
    for zone in ("north", "south"):
        for n in range(chance.randrange(3, 6)):
            machines[f"{zone[0]}{n}"] = Machine(zone, False, chance.choice((5.0, 10.0, 20.0)), chance.uniform(0, 3), chance.uniform(0, 5))
    for n in range(chance.randrange(1, 3)):
        machines[f"p{n}"] = Machine("north", True, 40.0, 5.0, 0.0)
    bounds = Bounds(
        chance.choice((0.4, 0.6, 0.8)),
        chance.choice((0.25, 0.4, 0.7)),
        chance.choice((0.0, 0.1, 0.5)),
        chance.choice((0.6, 0.9)),
        chance.choice((0.0, 8.0, 15.0)),
        1,
        chance.choice((2, 3, 8)),
    )
    names = chance.sample(sorted(machines), many)
    units = [Unit(name, frozenset((name,)), float(chance.randrange(1, 5))) for name in names]
    if chance.random() < 0.3 and many > 2:
        units = units[:-1] + [units[-1]._replace(machines=out(names[-1], chance.choice([n for n in sorted(machines) if n not in names])))]
    return machines, bounds, units


def shortest(units, park):
    """The least length over all starts on whole seconds, by trying all of them."""
    most = int(sum(unit.duration_s for unit in units))
    best = [float("inf")]

    def place(at, placed):
        if at == len(units):
            best[0] = min(best[0], max((end for _, _, end in placed), default=0.0))
            return
        unit = units[at]
        for start in range(most):
            if start + unit.duration_s >= best[0]:
                return
            rows = [*placed, (unit.machines, start, start + unit.duration_s)]
            if all(not park.violated_bound(frozenset().union(*(m for m, s, e in rows if s <= t < e))) for t in {s for _, s, _ in rows}):
                place(at + 1, rows)

    place(0, [])
    return best[0]


@pytest.mark.parametrize("seed", range(60))
def test_small_plans_are_as_short_as_any_and_keep_all_bounds_at_every_moment(seed):
    chance = random.Random(seed)
    machines, bounds, units = drawn(chance, chance.randrange(2, 5))
    park = MachinePool(machines, bounds)
    found = make_plan(units, [], park)
    by_name = {unit.name: unit for unit in units}
    possible = [unit for unit in units if unit.name not in found.impossible]
    assert {step.unit for step in found.steps} == {unit.name for unit in possible}
    for at in {step.start for step in found.steps}:
        running = frozenset().union(*(by_name[step.unit].machines for step in found.steps if step.start <= at < step.end))
        assert not MachinePool(machines, bounds).violated_bound(running)
    if possible:
        assert found.length == shortest(possible, park)
        assert found.min_length <= found.length
    for name, why in found.impossible.items():
        assert why and park.violated_bound(by_name[name].machines)


def test_larger_plans_come_near_their_floor_and_any_order_keeps_the_bounds():
    """Twelve of thirty boxes, as the laboratory plays it."""
    chance = random.Random(5)
    park = MachinePool(caches(30), Bounds(zone=0.1, all=0.1, both=0.01))
    units = [Unit(f"n{n}", out(f"n{n}"), chance.uniform(3.0, 9.0)) for n in range(12)]
    found = make_plan(units, [], park)
    ideal = sum(unit.duration_s for unit in units) / 3
    assert found.length <= 1.15 * max(ideal, found.min_length)
    for order in itertools.islice(itertools.permutations(units), 0, 4000, 997):
        for step in (steps := schedule(order, [], park)):
            assert sum(one.start <= step.start < one.end for one in steps) <= 3
