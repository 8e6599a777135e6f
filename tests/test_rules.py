"""The router against a plain model of its rules, on generated sequences of events; and slow start budgets of many routers."""

import random

import pytest
from helpers import BUDGET_MULTIPLE, BUDGET_WINDOW, COLD_SHARE, SLOW_START, Referee, rule
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
def test_rules_hold_for_generated_events(steps, second_copies, sized, kb, rating):
    referee = Referee(RULES, second_copies=second_copies, sized=sized, rating=rating)
    for step in steps:
        idents_in_flight = [i for i, t in referee.txns.items() if any(h["out"] for h in t["hops"])]
        open_idents = [i for i, t in referee.txns.items() if not t["final"]]
        if step[0] == "arrive":
            for part in range(step[5]):  # a few parts of one object at once
                group = ord(step[2]) % 2
                referee.arrive(len(referee.txns), step[1], step[2], step[3] + part, step[4] * MS, kb, group)
        elif step[0] == "end" and idents_in_flight:
            referee.end(idents_in_flight[step[1] % len(idents_in_flight)], step[2], step[3])
        elif step[0] == "pass":
            referee.pass_time(step[1] * MS)
        elif step[0] == "purge":
            referee.purge(step[1], 1, step[2] * MS)
        elif step[0] == "list":
            referee.change(step[1], step[2], referee.clock if step[3] else None)
        elif step[0] == "withdraw" and open_idents:
            referee.withdraw(open_idents[step[1] % len(open_idents)])
        for ident, txn in referee.router.txns.items():  # the router and the model agree on what is allowed
            if not txn.ended:
                for s in referee.router.pool.caches:
                    assert referee.router.may_send(txn, s, referee.clock) == referee.may_send(referee.txns[ident], s.name)
                assert referee.router.may_reject(txn) == referee.may_reject(referee.txns[ident])
    referee.pass_time(10 * SECOND)
    assert all(t["final"] for t in referee.txns.values())
    assert not referee.router.txns and not referee.router.collapsing.flights


@pytest.mark.parametrize("routers, rating", [(2, 12.0), (12, 12.0), (120, 40.0), (200, 25.0)])
@pytest.mark.parametrize("sized", ["nominal", "rough", "none"])
def test_many_independent_routers_do_not_overload_a_server_in_slow_start(routers, rating, sized):
    """Guards against two faults of large fleets: a router's share of the budget is smaller than one txn, or what a router sent is taken for
    its share."""
    pools, clock, sent_times = [], 1000 * SECOND, []
    for seed in range(routers):
        pool = ServerPool(
            zone=1,
            parent_kind=1,
            origin_kind=2,
            rating_quality=sized,
            cache_share=1 / routers,
            parent_share=1 / routers,
            cache_slow_start=(COLD_SHARE, SLOW_START, BUDGET_MULTIPLE),
            parent_slow_start=(COLD_SHARE, SLOW_START, BUDGET_MULTIPLE),
            budget_window=BUDGET_WINDOW,
            link_capacity=0.0,
            siblings=False,
        )
        pool.random = random.Random(seed)
        pool.list_begins(True)
        for name in ("cold", "warm"):
            pool.server_listed(name, "up", clock if name == "cold" else 0, 1, rating, 0, 0)
        pool.list_ends()
        pools.append(pool)
    for now in range(clock, clock + SLOW_START, 20 * MS):
        for pool in pools:  # the warmed-up server is at its limit, and every router uses its whole budget for the other one
            pool.count_transfer(pool.servers["warm"], int(20 * MS * rating / routers), now)
            while pool.has_budget(pool.servers["cold"], now, 300 * MS):
                pool.servers["cold"].tokens -= 300 * MS
                sent_times.append(now)
        capacity = rating * (COLD_SHARE + (1 - COLD_SHARE) * max(0, now - BUDGET_WINDOW - clock) / SLOW_START)
        assert 0.3 * sum(sent_at > now - BUDGET_WINDOW for sent_at in sent_times) <= BUDGET_MULTIPLE * capacity + 0.3
    assert 0.3 * len(sent_times) > 0.1 * rating * SLOW_START / SECOND  # the budget is used


@pytest.mark.parametrize("routers, rating", [(20, 40.0), (30, 200.0), (200, 200.0)])
@pytest.mark.parametrize("restarts_at", [(0.3,), (0.2, 0.5, 0.8)])
@pytest.mark.parametrize("slow_connects", [False, True])
def test_routers_restarted_within_a_budget_window_do_not_spend_its_budget_again(routers, rating, restarts_at, slow_connects):
    """In every second window seven of ten routers restart, each time after they have used their whole budget. With `slow_connects` a
    third of the connections come up only within 1.5 s; the hops decided meanwhile are sent together then, if they still may be."""
    clock, sent_times, rng = 1000 * SECOND, [], random.Random(3)

    def start_router(seed, now):
        pool = ServerPool(
            zone=1,
            parent_kind=1,
            origin_kind=2,
            rating_quality="nominal",
            cache_share=1 / routers,
            parent_share=1 / routers,
            cache_slow_start=(COLD_SHARE, SLOW_START, BUDGET_MULTIPLE),
            parent_slow_start=(COLD_SHARE, SLOW_START, BUDGET_MULTIPLE),
            budget_window=BUDGET_WINDOW,
            link_capacity=0.0,
            siblings=False,
        )
        pool.random, pool.process_started = random.Random(seed), now
        pool.connected_at = max(now, clock) + (int(rng.uniform(0, 1.5) * SECOND) if slow_connects and rng.random() < 1 / 3 else 0)
        pool.list_begins(True)
        pool.server_listed("cold", "up", clock, 1, rating, 0, 0)
        pool.list_ends()
        return pool

    pools = [start_router(seed, clock - SECOND) for seed in range(routers)]
    for now in range(clock, clock + SLOW_START, 20 * MS):
        window, time_in_window = divmod(now - clock, BUDGET_WINDOW)
        if window % 2 and time_in_window in [int(part * BUDGET_WINDOW) for part in restarts_at]:
            for n in range(routers * 7 // 10):
                pools[n] = start_router(now + n, now)
        for pool in pools:
            cold = pool.servers["cold"]
            while pool.has_budget(cold, now, 300 * MS):
                cold.tokens -= 300 * MS
                if max(now, pool.connected_at) <= pool.budget_deadline(cold, now):
                    sent_times.append(max(now, pool.connected_at))
    sent_times.sort()
    first = 0
    for last, sent_at in enumerate(sent_times):
        while sent_times[first] <= sent_at - BUDGET_WINDOW:
            first += 1
        budget = BUDGET_MULTIPLE * rating * (COLD_SHARE + (1 - COLD_SHARE) * max(0, sent_at - BUDGET_WINDOW - clock) / SLOW_START) / 0.3
        assert last + 1 - first <= budget + 2 * budget**0.5 + 2
    assert 0.3 * len(sent_times) > 0.1 * rating * SLOW_START / SECOND  # the budget is used
