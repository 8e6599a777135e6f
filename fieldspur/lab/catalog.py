"""Which objects there are and how large: functions of their names, alike for servers, clients and simulated time."""

from __future__ import annotations

import bisect
import itertools
import math
import random
from hashlib import blake2b

from fieldspur.bench.sample_settings import RULES

KB_PER_S = 2800.0
BY_RULE = {row["name"]: row for row in RULES}
KINDS = {"idempotent": "repeatable", "deduplicated": "keyed", "at_most_once": "unrepeatable"}


def kind(rule: str) -> str:
    return KINDS[BY_RULE[rule]["repeat"]]


def number(*words) -> int:
    return int.from_bytes(blake2b(repr(words).encode(), digest_size=8).digest(), "big")


def name(*words) -> str:
    return f"{number(*words):016x}"


def group(obj: str) -> int:
    return int(obj[:2], 16)


def spread(obj: str, part: int) -> float:
    """A log-normal factor around 1 with a deviation of 0.6, cut at 4, the same each time for one part."""
    one, two = (number("size", obj, part, n) / 2.0**64 for n in (0, 1))
    return min(4.0, math.exp(0.6 * math.sqrt(-2 * math.log(one + 1e-12)) * math.cos(2 * math.pi * two)))


class Popular:
    """Draws objects of a class: some rule the day by Zipf's law, a share is asked for once and never again."""

    def __init__(self, row, seed: int, kept: bool):
        self.row, self.random, self.kept, self.seed = row, random.Random(f"{seed} {row.rule} objects"), kept, seed
        self.sums = list(itertools.accumulate(1.0 / (n + 1) ** row.zipf for n in range(row.objects)))
        self.singles = itertools.count()

    def draw(self) -> tuple[str, int]:
        if not self.kept or self.random.random() < self.row.once:
            return name(self.seed, self.row.rule, "once", next(self.singles)), 0
        at = bisect.bisect(self.sums, self.random.random() * self.sums[-1])
        return name(self.seed, self.row.rule, min(at, self.row.objects - 1)), self.random.randrange(self.row.parts)


class Arrivals:
    """When txns of a class are due: Poisson with a rate that changes in waves. Its own chance, so the same each time."""

    def __init__(self, row, waves, seed: int):
        self.row, self.waves, self.random = row, sorted(waves), random.Random(f"{seed} {row.rule} arrivals")
        self.most = max([1.0, *(times for _, times in self.waves)])

    def rate(self, second: float) -> float:
        times = 1.0
        for at, factor in self.waves:
            times = factor if second >= at else times
        return self.row.rate * times

    def next(self, second: float) -> float:
        """The first one after `second`, by thinning."""
        while True:
            second += self.random.expovariate(self.row.rate * self.most)
            if self.random.random() * self.row.rate * self.most <= self.rate(second):
                return second
