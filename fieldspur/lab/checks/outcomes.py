"""What was due and what became of it, by class and over time: one account for sockets and simulated time."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

from fieldspur.lab import catalog
from fieldspur.lab.checks.rule_checker import SECOND

TICK = SECOND // 2  # of the curves
QUANTILES = ("50", 50), ("99", 99), ("999", 99.9)


@dataclass(slots=True, eq=False)
class Txn:
    """One txn of a client, over all its tries."""

    rule: str
    kind: str
    obj: str
    part: int
    kb: float
    key: str | None
    due: int
    limit_at: int
    left: int  # tries
    counts: bool  # after the warm-up
    ended: str = ""


@dataclass(slots=True)
class Tick:
    """What was due in one span of the curves, and what became of it."""

    due: int = 0
    worth: float = 0.0  # importance that was due
    earned: float = 0.0
    words: Counter = field(default_factory=Counter)


class Outcomes:
    """Makes txns as they are due and takes their ends; times are Unix ns and count from when a txn was due."""

    def __init__(self, plan, begin: int, chance: random.Random):
        self.begin, self.random = begin, chance
        self.from_at, self.ends = begin + int(plan.warm * SECOND), begin + int(plan.seconds * SECOND)
        self.ticks: dict[int, Tick] = {}
        self.times = {row.rule: HdrHistogram(1, 60_000_000, 3) for row in plan.load.classes}
        self.words = {row.rule: Counter() for row in plan.load.classes}
        self.worth: dict[str, list[float]] = {row.rule: [0.0, 0.0] for row in plan.load.classes}
        self.open = self.tried = 0

    def tick(self, due: int) -> Tick:
        return self.ticks.setdefault((due - self.begin) // TICK, Tick())

    def made(self, row, objects: catalog.Popular, due: int, kb_of) -> Txn:
        obj, part = objects.draw()
        about, kind = catalog.BY_RULE[row.rule], catalog.kind(row.rule)
        self.open += 1
        tick = self.tick(due)
        tick.due += 1
        tick.worth += about["worth"]
        return Txn(
            row.rule,
            kind,
            obj,
            part,
            kb_of(row.rule, obj, part),
            f"{self.random.getrandbits(128):032x}" if kind == "keyed" else None,
            due,
            due + about["hardLimitUs"] * 1000,
            row.tries,
            due >= self.from_at,
        )

    def ended(self, txn: Txn, word: str, now: int) -> None:
        """The first end counts."""
        if txn.ended:
            return
        txn.ended = word
        self.open -= 1
        took, about, share = now - txn.due, catalog.BY_RULE[txn.rule], 0.0
        if word == "completed":
            sla = about["aimUs"] * 1000 + about.get("aimStretch", 0.0) * txn.kb / catalog.KB_PER_S * SECOND
            share = 1.0 if took <= sla else about["lateWorth"]
        tick = self.tick(txn.due)
        tick.earned += share * about["worth"]
        tick.words[word] += 1
        if txn.counts:
            self.words[txn.rule][word] += 1
            self.worth[txn.rule][0] += about["worth"]
            self.worth[txn.rule][1] += share * about["worth"]
            if word == "completed":
                self.times[txn.rule].record_value(max(1, took // 1000))

    def figures(self, store) -> dict:
        """Shares, times and fills of the whole run, and the curve by ticks."""
        classes = {}
        for rule, words in self.words.items():
            due, earned = self.worth[rule]
            classes[rule] = {
                "txns": sum(words.values()),
                **{word: words[word] for word in sorted(words)},
                "worth": round(earned / due, 4) if due else None,
                **{f"p{name}_ms": round(self.times[rule].get_value_at_percentile(q) / 1000, 1) for name, q in QUANTILES},
            }
        txns = sum(row["txns"] for row in classes.values())
        completed = sum(row.get("completed", 0) for row in classes.values())
        due, earned = (sum(pair[at] for pair in self.worth.values()) for at in (0, 1))
        ticks = [
            {
                "second": tick * TICK / SECOND,
                "due": row.due,
                "worth": round(row.earned / row.worth, 3) if row.worth else 0,
                **dict(row.words),
            }
            for tick, row in sorted(self.ticks.items())
        ]
        begun = self.begin // SECOND
        return {
            "txns": txns,
            "tries": self.tried,
            "completed": round(completed / max(1, txns), 4),
            "worth": round(earned / due, 4) if due else None,
            "classes": classes,
            "fills": store.counts["fills"],
            "fills_a_txn": round(store.counts["fills"] / max(1, txns), 4),
            "most_fills_a_second": max(store.fills_by_second.values(), default=0),
            "ticks": ticks,
            "fills_by_second": {str(second - begun): count for second, count in sorted(store.fills_by_second.items())},
        }
