"""The largest txns of a class are not given up in favour of all others: their answered share against the share of their class."""

import heapq
import random

import pytest
from helpers import Referee, rule

from fieldspur.decide import MS, SECOND
from fieldspur.host import FILLED, HIT


def simulate(load, seed, hang=False, misses=0.3, seconds=12, rating=10.0):
    """Simulate txns of one class, whose sizes spread over two decades, at `load` times what three caches can send. With `hang` one of the
    caches accepts hops in the middle third of the time and answers none of them. Returns (kb, answered) of each txn."""
    referee, rng = Referee([rule(fresh=60 * SECOND)], caches=3, share=1.0, rating=rating), random.Random(seed)
    sizes = [min(3000.0, rng.lognormvariate(5.4, 1.0)) for _ in range(20_000)]
    mean_mb = sum(sizes) / len(sizes) / 1000
    rate, ends, ident = load * 3 * rating / mean_mb, [], 0
    started_at, ends_at = referee.clock, referee.clock + seconds * SECOND
    arrival, sizes_kb, started_hops = started_at, [], {}

    def schedule_ends():
        for n, txn in list(referee.txns.items()):
            if txn["final"] and not any(h["out"] for h in txn["hops"]):
                continue
            for hop_number, hop in enumerate(txn["hops"]):
                if hop["out"] and (n, hop_number) not in started_hops:
                    third = (referee.clock - started_at) * 3 // (seconds * SECOND)
                    hops_at_server = sum(h["out"] and h["server"] == hop["server"] for t in referee.txns.values() for h in t["hops"][-1:])
                    miss = rng.random() < misses
                    took = int(hop["work"] * SECOND * max(1.0, hops_at_server / rating)) + (60 if miss else 2) * MS
                    hangs = hang and third == 1 and hop["server"] == "c0"
                    started_hops[n, hop_number] = True
                    if not hangs:
                        heapq.heappush(ends, (referee.clock + took, n, hop_number, FILLED if miss else HIT))

    while arrival < ends_at:
        while ends and ends[0][0] <= arrival:
            when, n, hop_number, note = heapq.heappop(ends)
            if when > referee.clock:
                referee.pass_time(when - referee.clock)
            if referee.hops(n)[hop_number]["out"] and not referee.hops(n)[hop_number].get("cancelled"):
                referee.end(n, "completed", note, number=hop_number)
            schedule_ends()
        referee.pass_time(arrival - referee.clock)
        sizes_kb.append(rng.choice(sizes))
        referee.arrive(ident, obj=f"o{ident}", kb=sizes_kb[-1], left=8 * SECOND)
        ident += 1
        schedule_ends()
        arrival += int(rng.expovariate(rate) * SECOND)
    while ends:
        when, n, hop_number, note = heapq.heappop(ends)
        referee.pass_time(max(0, when - referee.clock))
        if referee.hops(n)[hop_number]["out"] and not referee.hops(n)[hop_number].get("cancelled"):
            referee.end(n, "completed", note, number=hop_number)
        schedule_ends()
    referee.pass_time(9 * SECOND)
    return [(kb, referee.txns[n]["final"] == "completed") for n, kb in enumerate(sizes_kb)]


@pytest.mark.parametrize("load, hang, min_ratio", [(0.6, False, 2 / 3), (0.9, True, 1 / 2), (1.3, False, 1 / 2), (1.3, True, 1 / 2)])
def test_the_largest_tenth_and_the_next_fifth_keep_their_share_of_answers(load, hang, min_ratio):
    txns = sorted((pair for seed in range(3) for pair in simulate(load, seed, hang)), reverse=True)
    answered_share = sum(answered for _, answered in txns) / len(txns)
    tenth, fifth = txns[: len(txns) // 10], txns[len(txns) // 10 : len(txns) * 3 // 10]
    print(
        load,
        hang,
        len(txns),
        round(answered_share, 3),
        [round(sum(answered for _, answered in band) / len(band), 3) for band in (tenth, fifth)],
    )
    for band in (tenth, fifth):
        assert sum(answered for _, answered in band) / len(band) >= min_ratio * answered_share


@pytest.mark.parametrize("deviation_s, left_s", [(0.5, 4), (0.5, 3), (0.8, 4)])
def test_with_unknown_sizes_a_cache_gets_only_so_many_txns_that_a_large_one_ends_in_time(deviation_s, left_s):
    """On a deployment of mixed classes with unknown sizes (fleet bench, calm+mass) 0.552 to 0.590 of the largest tenth of one class were
    answered, where 0.567 to 0.570 are wanted. Txns were admitted by the mean size of their class, to caches so busy that a large
    txn ran out of time on its only hop and took capacity from others meanwhile."""
    referee = Referee([rule()], caches=1, share=1.0, sized="none")
    referee.router.rule_transfer_times[0], referee.router.rule_deviations[0] = SECOND, int(deviation_s * SECOND)
    for ident in range(20):
        referee.arrive(ident, obj=f"o{ident}", kb=0, left=left_s * SECOND)
    (cache,) = referee.router.pool.caches
    large_s = 1 + 2 * deviation_s  # seconds that a txn takes alone where the largest tenth of sizes usually begins
    assert cache.capacity <= len(cache.in_flight) <= cache.capacity * left_s / large_s
