"""Purges that bind: what they say of copies, and what a further one costs while many bind.

Measured from outside: 5.3 ms a purge at 20,000 that bind, so that 190 purges a second took the whole core of the thread that decides: each
built the dict of all anew. Now they are kept in the order in which they were told, and each is forgotten once, from its front."""

import random
import time

from fieldspur import decide
from fieldspur.decide import MS, SECOND, Purges
from fieldspur.permissions import HopRules

SPAN = 10 * SECOND
BOUND = 5  # times that a further purge may cost with a hundred times as many that bind: a small constant, for it is to be the same


class AllKept:
    """The rule in its plainest words: every purge is looked at, and one binds for twice the span."""

    def __init__(self):
        self.told = []

    def add(self, now, obj, group, age):
        self.told.append((obj, None if obj is not None else group, now - age))

    def max_copy_age(self, now, obj, group, fresh):
        made = max((at for o, g, at in self.told if now - at <= 2 * SPAN and (o == obj if o is not None else g == group)), default=0)
        return min(max(1000, now - made), fresh or now) if made else 0


def test_purges_bind_as_their_rule_says_however_they_come():
    for seed in range(30):
        chance, purges, rule, now = random.Random(seed), Purges(SPAN), AllKept(), 1000 * SECOND
        for _ in range(300):
            now += chance.choice((0, 1, 300 * MS, 3 * SECOND))
            obj, group = chance.choice((None, "a", "b", "c")), chance.randrange(3)
            age = chance.choice((0, 5 * MS, SPAN, 2 * SPAN, 3 * SPAN))
            purges.add(now, obj, group, age), rule.add(now, obj, group, age)
            for asked in ("a", "b", "c", "d"):
                for family in range(3):
                    fresh = chance.choice((0, SECOND))
                    assert purges.max_copy_age(now, asked, family, fresh) == rule.max_copy_age(now, asked, family, fresh)


def cost(note, binding, further=300):
    """Seconds that a further purge takes at the least, of five tries, with so many that bind."""
    for n in range(binding):
        note(f"{n:016x}", n)
    found = []
    for lap in range(5):
        began = time.perf_counter()
        for n in range(further):
            note(f"{binding + lap * further + n:016x}", binding + lap * further + n)
        found.append((time.perf_counter() - began) / further)
    return min(found)


def test_a_further_purge_costs_the_router_the_same_however_many_bind():
    def fresh():
        purges = Purges(SPAN)
        return lambda name, n: purges.add(1000 * SECOND + n * MS // 10, name, 0, 0)

    assert cost(fresh(), 20_000) < BOUND * cost(fresh(), 200)


def test_a_further_purge_costs_attempts_the_same_however_many_bind():
    def fresh():
        rules = HopRules(10 * SECOND)
        return lambda name, n: rules.add_purge(name, 1000 * SECOND + n * MS // 10)

    assert cost(fresh(), 20_000) < BOUND * cost(fresh(), 200)


def test_purges_of_names_that_never_come_again_are_bounded_and_bind_no_less(monkeypatch):
    monkeypatch.setattr(decide, "MAX_PURGES", 50)
    purges = Purges(SPAN)
    for n in range(200):
        purges.add(1000 * SECOND + n * MS, f"{n:016x}", n, 0)
    now = 1000 * SECOND + 200 * MS
    assert len(purges.purged_at) <= 50
    for n in range(200):
        assert 1000 <= purges.max_copy_age(now, f"{n:016x}", n, 0) <= (200 - n) * MS
    assert purges.max_copy_age(now + 2 * SPAN, f"{0:016x}", 0, 0) == 0
