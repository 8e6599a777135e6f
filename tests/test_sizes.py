"""A class's largest requests are not the ones that pay for all others: their answered share beside the class's."""

import heapq
import random

import pytest
from helpers import Referee, rule

from fieldspur.decide import MS, SECOND
from fieldspur.host import FILLED, HIT


def played(load, seed, hang=False, misses=0.3, seconds=12, rating=10.0):
    """Txns of one class with sizes over two decades, at `load` times what three caches can send. With `hang`, one of them takes
    hops in the middle third and answers none. Returns (kb, answered) of each."""
    day, dice = Referee([rule(fresh=60 * SECOND)], caches=3, share=1.0, rating=rating), random.Random(seed)
    sizes = [min(3000.0, dice.lognormvariate(5.4, 1.0)) for _ in range(20_000)]
    mean = sum(sizes) / len(sizes) / 1000
    rate, ends, ident = load * 3 * rating / mean, [], 0
    begin, over = day.clock, day.clock + seconds * SECOND
    arrival, kbs, seen = begin, [], {}

    def look():
        for n, txn in list(day.txns.items()):
            if txn["final"] and not any(h["out"] for h in txn["hops"]):
                continue
            for at, hop in enumerate(txn["hops"]):
                if hop["out"] and (n, at) not in seen:
                    third = (day.clock - begin) * 3 // (seconds * SECOND)
                    there = sum(h["out"] and h["server"] == hop["server"] for t in day.txns.values() for h in t["hops"][-1:])
                    miss = dice.random() < misses
                    took = int(hop["work"] * SECOND * max(1.0, there / rating)) + (60 if miss else 2) * MS
                    silent = hang and third == 1 and hop["server"] == "c0"
                    seen[n, at] = True
                    if not silent:
                        heapq.heappush(ends, (day.clock + took, n, at, FILLED if miss else HIT))

    while arrival < over:
        while ends and ends[0][0] <= arrival:
            when, n, at, note = heapq.heappop(ends)
            if when > day.clock:
                day.pass_time(when - day.clock)
            if day.hops(n)[at]["out"] and not day.hops(n)[at].get("cancelled"):
                day.end(n, "completed", note, number=at)
            look()
        day.pass_time(arrival - day.clock)
        kbs.append(dice.choice(sizes))
        day.arrive(ident, obj=f"o{ident}", kb=kbs[-1], left=8 * SECOND)
        ident += 1
        look()
        arrival += int(dice.expovariate(rate) * SECOND)
    while ends:
        when, n, at, note = heapq.heappop(ends)
        day.pass_time(max(0, when - day.clock))
        if day.hops(n)[at]["out"] and not day.hops(n)[at].get("cancelled"):
            day.end(n, "completed", note, number=at)
        look()
    day.pass_time(9 * SECOND)
    return [(kb, day.txns[n]["final"] == "completed") for n, kb in enumerate(kbs)]


@pytest.mark.parametrize("load, hang, least", [(0.6, False, 2 / 3), (0.9, True, 1 / 2), (1.3, False, 1 / 2), (1.3, True, 1 / 2)])
def test_the_largest_tenth_and_the_next_fifth_keep_their_part_of_what_their_class_is_answered(load, hang, least):
    found = sorted((pair for seed in range(3) for pair in played(load, seed, hang)), reverse=True)
    whole = sum(done for _, done in found) / len(found)
    tenth, fifth = found[: len(found) // 10], found[len(found) // 10 : len(found) * 3 // 10]
    print(load, hang, len(found), round(whole, 3), [round(sum(done for _, done in part) / len(part), 3) for part in (tenth, fifth)])
    for part in (tenth, fifth):
        assert sum(done for _, done in part) / len(part) >= least * whole


@pytest.mark.parametrize("deviation_s, left_s", [(0.5, 4), (0.5, 3), (0.8, 4)])
def test_where_sizes_are_not_told_no_more_go_to_a_cache_than_leave_a_large_one_its_time(deviation_s, left_s):
    """Seen on our deployment of mixed classes, whose sizes are not told (fleet bench, calm+mass): 0.552 to 0.590 of the largest tenth of
    one class answered, 0.567 to 0.570 wanted. A request was admitted by the usual size of its class, to caches so crowded that a large one
    ran out of time on its only attempt, and took room from others meanwhile."""
    day = Referee([rule()], caches=1, share=1.0, sized="none")
    day.router.rule_transfer_times[0], day.router.rule_deviations[0] = SECOND, int(deviation_s * SECOND)
    for ident in range(20):
        day.arrive(ident, obj=f"o{ident}", kb=0, left=left_s * SECOND)
    (cache,) = day.router.pool.caches
    large = 1 + 2 * deviation_s  # s that a request takes alone where the largest tenth of usual sizes begins
    assert cache.capacity <= len(cache.in_flight) <= cache.capacity * left_s / large
