"""The rules model beside the module, on generated days."""

import random

import pytest
from helpers import COLD, MULTIPLE, RAMP, SPAN, Referee, rule
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from fieldspur.decide import MS, SECOND, ServerPool
from fieldspur.host import RESULTS

RULES = [
    rule(),
    rule(fresh=2 * SECOND),
    rule("keyed", "all", True),
    rule("keyed", "zone"),
    rule("keyed", "cell"),
    rule("unrepeatable", never_kept=True),
    rule("unrepeatable"),
]
STEPS = st.one_of(
    st.tuples(
        st.just("arrive"),
        st.integers(0, len(RULES) - 1),
        st.sampled_from("abc"),
        st.integers(0, 1),
        st.integers(1, 4000),
        st.integers(1, 6),
    ),
    st.tuples(st.just("end"), st.integers(0, 9), st.sampled_from([r for r in RESULTS if r != "cancelled"]), st.integers(0, 10)),
    st.tuples(st.just("pass"), st.integers(1, 1500)),
    st.tuples(st.just("purge"), st.sampled_from(["a", "b", None]), st.integers(0, 400)),
    st.tuples(
        st.just("list"),
        st.sampled_from(["c0", "c1", "c2", "p0", "p1", "origin"]),
        st.sampled_from(["up", "draining", "gone"]),
        st.booleans(),
    ),
    st.tuples(st.just("withdraw"), st.integers(0, 9)),
)


@settings(derandomize=True, max_examples=300, deadline=None, suppress_health_check=list(HealthCheck))
@given(
    st.lists(STEPS, max_size=60),
    st.booleans(),
    st.sampled_from(["nominal", "rough", "none"]),
    st.sampled_from([0.0, 100.0, 400.0]),
    st.sampled_from([2.0, 10.0]),
)
def test_rules_are_kept_on_generated_days(steps, second_copies, sized, kb, rating):
    day = Referee(RULES, second_copies=second_copies, sized=sized, rating=rating)
    for step in steps:
        live = [i for i, t in day.txns.items() if any(h["out"] for h in t["hops"])]
        open_txns = [i for i, t in day.txns.items() if not t["final"]]
        if step[0] == "arrive":
            for part in range(step[5]):  # a few parts at once
                group = ord(step[2]) % 2
                day.arrive(len(day.txns), step[1], step[2], step[3] + part, step[4] * MS, kb, group)
        elif step[0] == "end" and live:
            day.end(live[step[1] % len(live)], step[2], step[3])
        elif step[0] == "pass":
            day.pass_time(step[1] * MS)
        elif step[0] == "purge":
            day.purge(step[1], 1, step[2] * MS)
        elif step[0] == "list":
            day.change(step[1], step[2], day.clock if step[3] else None)
        elif step[0] == "withdraw" and open_txns:
            day.withdraw(open_txns[step[1] % len(open_txns)])
        for ident, txn in day.router.txns.items():  # both agree on what is allowed
            if not txn.ended:
                for s in day.router.pool.caches:
                    assert day.router.may_send(txn, s, day.clock) == day.may_send(day.txns[ident], s.name)
                assert day.router.may_reject(txn) == day.may_reject(day.txns[ident])
    day.pass_time(10 * SECOND)
    assert all(t["final"] for t in day.txns.values())
    assert not day.router.txns and not day.router.collapsing.flights


@pytest.mark.parametrize("routers, rating", [(2, 12.0), (12, 12.0), (120, 40.0), (200, 25.0)])
@pytest.mark.parametrize("sized", ["nominal", "rough", "none"])
def test_many_routers_that_share_nothing_do_not_push_over_a_cold_server(routers, rating, sized):
    """Found at full size: a router's share was under one txn, or what it asked was taken for its share."""
    fleets, clock, asked = [], 1000 * SECOND, []
    for seed in range(routers):
        fleet = ServerPool(
            zone=1,
            parent_kind=1,
            origin_kind=2,
            rating_quality=sized,
            cache_share=1 / routers,
            parent_share=1 / routers,
            cache_slow_start=(COLD, RAMP, MULTIPLE),
            parent_slow_start=(COLD, RAMP, MULTIPLE),
            budget_window=SPAN,
            link_capacity=0.0,
            siblings=False,
        )
        fleet.random = random.Random(seed)
        fleet.list_begins(True)
        for name in ("cold", "warm"):
            fleet.server_listed(name, "up", clock if name == "cold" else 0, 1, rating, 0, 0)
        fleet.list_ends()
        fleets.append(fleet)
    for now in range(clock, clock + RAMP, 20 * MS):
        for fleet in fleets:  # the warm one is at its limit, and all ask the cold one for all that they may
            fleet.count_transfer(fleet.servers["warm"], int(20 * MS * rating / routers), now)
            while fleet.has_budget(fleet.servers["cold"], now, 300 * MS):
                fleet.servers["cold"].tokens -= 300 * MS
                asked.append(now)
        able = rating * (COLD + (1 - COLD) * max(0, now - SPAN - clock) / RAMP)
        assert 0.3 * sum(at > now - SPAN for at in asked) <= MULTIPLE * able + 0.3
    assert 0.3 * len(asked) > 0.1 * rating * RAMP / SECOND  # and it is used


@pytest.mark.parametrize("routers, rating", [(20, 40.0), (30, 200.0), (200, 200.0)])
@pytest.mark.parametrize("again", [(0.3,), (0.2, 0.5, 0.8)])
@pytest.mark.parametrize("late", [False, True])
def test_routers_that_are_restarted_in_the_middle_of_a_span_do_not_spend_it_again(routers, rating, again, late):
    """Seven in ten of them, in each second span, each time after they have asked for all that they may. With `late` a third of their
    connections come up only within 1.5 s, and what was decided meanwhile goes out together then, if it still may."""
    clock, asked, dice = 1000 * SECOND, [], random.Random(3)

    def begin(seed, now):
        fleet = ServerPool(
            zone=1,
            parent_kind=1,
            origin_kind=2,
            rating_quality="nominal",
            cache_share=1 / routers,
            parent_share=1 / routers,
            cache_slow_start=(COLD, RAMP, MULTIPLE),
            parent_slow_start=(COLD, RAMP, MULTIPLE),
            budget_window=SPAN,
            link_capacity=0.0,
            siblings=False,
        )
        fleet.random, fleet.process_started = random.Random(seed), now
        fleet.up_at = max(now, clock) + (int(dice.uniform(0, 1.5) * SECOND) if late and dice.random() < 1 / 3 else 0)
        fleet.list_begins(True)
        fleet.server_listed("cold", "up", clock, 1, rating, 0, 0)
        fleet.list_ends()
        return fleet

    fleets = [begin(seed, clock - SECOND) for seed in range(routers)]
    for now in range(clock, clock + RAMP, 20 * MS):
        span, at = divmod(now - clock, SPAN)
        if span % 2 and at in [int(share * SPAN) for share in again]:
            for n in range(routers * 7 // 10):
                fleets[n] = begin(now + n, now)
        for fleet in fleets:
            cold = fleet.servers["cold"]
            while fleet.has_budget(cold, now, 300 * MS):
                cold.tokens -= 300 * MS
                if max(now, fleet.up_at) <= fleet.budget_deadline(cold, now):
                    asked.append(max(now, fleet.up_at))
    asked.sort()
    first = 0
    for n, at in enumerate(asked):
        while asked[first] <= at - SPAN:
            first += 1
        budget = MULTIPLE * rating * (COLD + (1 - COLD) * max(0, at - SPAN - clock) / RAMP) / 0.3
        assert n + 1 - first <= budget + 2 * budget**0.5 + 2
    assert 0.3 * len(asked) > 0.1 * rating * RAMP / SECOND  # and it is used
