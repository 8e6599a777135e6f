"""The rules model beside the module, on generated days."""

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from fieldspur.decide import MS, SECOND
from fieldspur.host import RESULTS
from helpers import Referee, rule

RULES = [rule(), rule(fresh=2 * SECOND), rule("keyed", "all", True), rule("keyed", "zone"),
         rule("keyed", "cell"), rule("unrepeatable", never_kept=True), rule("unrepeatable")]
STEPS = st.one_of(
    st.tuples(st.just("arrive"), st.integers(0, len(RULES) - 1), st.sampled_from("abc"), st.integers(0, 1),
              st.integers(1, 4000), st.integers(1, 6)),
    st.tuples(st.just("end"), st.integers(0, 9), st.sampled_from([r for r in RESULTS if r != "cancelled"]),
              st.integers(0, 10)),
    st.tuples(st.just("pass"), st.integers(1, 1500)),
    st.tuples(st.just("purge"), st.sampled_from(["a", "b", None]), st.integers(0, 400)),
    st.tuples(st.just("list"), st.sampled_from(["c0", "c1", "c2", "p0", "p1", "origin"]),
              st.sampled_from(["up", "draining", "gone"]), st.booleans()),
    st.tuples(st.just("withdraw"), st.integers(0, 9)))


@settings(derandomize=True, max_examples=300, deadline=None, suppress_health_check=list(HealthCheck))
@given(st.lists(STEPS, max_size=60), st.booleans(), st.sampled_from(["nominal", "rough", "none"]),
       st.sampled_from([0.0, 100.0, 400.0]), st.sampled_from([2.0, 10.0]))
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
                for s in day.router.fleet.caches:
                    assert day.router.may_send(txn, s, day.clock) == day.may_send(day.txns[ident], s.name)
                assert day.router.may_reject(txn) == day.may_reject(day.txns[ident])
    day.pass_time(10 * SECOND)
    assert all(t["final"] for t in day.txns.values())
    assert not day.router.txns and not day.router.collapsing.flights
