"""Purges in force: which copies they rule out, and the cost of a further purge while many are in force.

The cost guards against a dict that each purge builds anew: 5.3 ms a purge at 20,000 in force, so that 190 purges a second used up the
core of the deciding thread. Purges are stored in the order of their reports, and each is dropped once, from the front."""

import random
import time

from fieldspur import decide
from fieldspur.decide import MS, SECOND, Purges
from fieldspur.permissions import HopRules

SPAN = 10 * SECOND
MAX_COST_RATIO = 5  # of a further purge with a hundred times as many in force: the cost is meant to be constant


class PurgeModel:
    """The rule as a plain model: it checks every purge, and a purge is in force for twice the span."""

    def __init__(self):
        self.purges = []

    def add(self, now, obj, group, age):
        self.purges.append((obj, None if obj is not None else group, now - age))

    def max_copy_age(self, now, obj, group, fresh):
        purged_at = max((at for o, g, at in self.purges if now - at <= 2 * SPAN and (o == obj if o is not None else g == group)), default=0)
        return min(max(1000, now - purged_at), fresh or now) if purged_at else 0


def test_purges_are_in_force_as_the_model_says_in_any_order():
    for seed in range(30):
        rng, purges, model, now = random.Random(seed), Purges(SPAN), PurgeModel(), 1000 * SECOND
        for _ in range(300):
            now += rng.choice((0, 1, 300 * MS, 3 * SECOND))
            obj, group = rng.choice((None, "a", "b", "c")), rng.randrange(3)
            age = rng.choice((0, 5 * MS, SPAN, 2 * SPAN, 3 * SPAN))
            purges.add(now, obj, group, age), model.add(now, obj, group, age)
            for queried in ("a", "b", "c", "d"):
                for family in range(3):
                    fresh = rng.choice((0, SECOND))
                    assert purges.max_copy_age(now, queried, family, fresh) == model.max_copy_age(now, queried, family, fresh)


def cost(add_purge, in_force, further=300):
    """Seconds that a further purge takes while `in_force` purges are in force: the best of five rounds."""
    for n in range(in_force):
        add_purge(f"{n:016x}", n)
    costs = []
    for round_number in range(5):
        started_at = time.perf_counter()
        for n in range(further):
            add_purge(f"{in_force + round_number * further + n:016x}", in_force + round_number * further + n)
        costs.append((time.perf_counter() - started_at) / further)
    return min(costs)


def test_a_further_purge_costs_the_router_the_same_however_many_are_in_force():
    def empty_store():
        purges = Purges(SPAN)
        return lambda name, n: purges.add(1000 * SECOND + n * MS // 10, name, 0, 0)

    assert cost(empty_store(), 20_000) < MAX_COST_RATIO * cost(empty_store(), 200)


def test_a_further_purge_costs_the_hop_rules_the_same_however_many_are_in_force():
    def empty_store():
        rules = HopRules(10 * SECOND)
        return lambda name, n: rules.add_purge(name, 1000 * SECOND + n * MS // 10)

    assert cost(empty_store(), 20_000) < MAX_COST_RATIO * cost(empty_store(), 200)


def test_stored_purges_of_one_off_names_are_bounded_and_stay_in_force(monkeypatch):
    monkeypatch.setattr(decide, "MAX_PURGES", 50)
    purges = Purges(SPAN)
    for n in range(200):
        purges.add(1000 * SECOND + n * MS, f"{n:016x}", n, 0)
    now = 1000 * SECOND + 200 * MS
    assert len(purges.purged_at) <= 50
    for n in range(200):
        assert 1000 <= purges.max_copy_age(now, f"{n:016x}", n, 0) <= (200 - n) * MS
    assert purges.max_copy_age(now + 2 * SPAN, f"{0:016x}", 0, 0) == 0
