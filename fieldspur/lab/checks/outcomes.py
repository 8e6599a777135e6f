"""Counts txns and their results by class and over time, for runs on sockets and in simulated time alike."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

from fieldspur.lab import catalog
from fieldspur.lab.checks.rule_checker import SECOND

TICK = SECOND // 2  # interval between the points of a curve, in ns
QUANTILES = ("50", 50), ("99", 99), ("999", 99.9)  # name in the figures, percentile


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
    left: int  # tries that the client may still make
    counts: bool  # due after the warm-up, so it counts in the figures
    ended: str = ""


@dataclass(slots=True)
class Tick:
    """Txns due in one interval of the curves, and their results."""

    due: int = 0
    worth: float = 0.0  # importance of the txns that were due
    earned: float = 0.0  # importance of those answered in time; late answers count in part
    results: Counter = field(default_factory=Counter)


class Outcomes:
    """Creates txns when they are due and counts their results. Times are Unix ns; response times count from the due time."""

    def __init__(self, plan, begin: int, chance: random.Random):
        self.begin, self.random = begin, chance
        self.counted_from, self.ends = begin + int(plan.warm * SECOND), begin + int(plan.seconds * SECOND)
        self.ticks: dict[int, Tick] = {}
        self.response_times = {row.rule: HdrHistogram(1, 60_000_000, 3) for row in plan.load.classes}
        self.results = {row.rule: Counter() for row in plan.load.classes}
        self.worth: dict[str, list[float]] = {row.rule: [0.0, 0.0] for row in plan.load.classes}  # due, earned
        self.open = self.tried = 0

    def tick(self, due: int) -> Tick:
        return self.ticks.setdefault((due - self.begin) // TICK, Tick())

    def create_txn(self, row, objects: catalog.Popular, due: int, kb_of) -> Txn:
        obj, part = objects.draw()
        class_settings, kind = catalog.BY_RULE[row.rule], catalog.kind(row.rule)
        self.open += 1
        tick = self.tick(due)
        tick.due += 1
        tick.worth += class_settings["worth"]
        return Txn(
            row.rule,
            kind,
            obj,
            part,
            kb_of(row.rule, obj, part),
            f"{self.random.getrandbits(128):032x}" if kind == "keyed" else None,
            due,
            due + class_settings["hardLimitUs"] * 1000,
            row.tries,
            due >= self.counted_from,
        )

    def ended(self, txn: Txn, result: str, now: int) -> None:
        """Counts the result of a txn; only the first one counts."""
        if txn.ended:
            return
        txn.ended = result
        self.open -= 1
        took, class_settings, share = now - txn.due, catalog.BY_RULE[txn.rule], 0.0
        if result == "completed":
            sla = class_settings["aimUs"] * 1000 + class_settings.get("aimStretch", 0.0) * txn.kb / catalog.KB_PER_S * SECOND
            share = 1.0 if took <= sla else class_settings["lateWorth"]
        tick = self.tick(txn.due)
        tick.earned += share * class_settings["worth"]
        tick.results[result] += 1
        if txn.counts:
            self.results[txn.rule][result] += 1
            self.worth[txn.rule][0] += class_settings["worth"]
            self.worth[txn.rule][1] += share * class_settings["worth"]
            if result == "completed":
                self.response_times[txn.rule].record_value(max(1, took // 1000))

    def figures(self, store) -> dict:
        """Shares, times and fills of the whole run, and the curve by ticks."""
        classes = {}
        for rule, results in self.results.items():
            due, earned = self.worth[rule]
            classes[rule] = {
                "txns": sum(results.values()),
                **{result: results[result] for result in sorted(results)},
                "worth": round(earned / due, 4) if due else None,
                **{f"p{name}_ms": round(self.response_times[rule].get_value_at_percentile(q) / 1000, 1) for name, q in QUANTILES},
            }
        txns = sum(row["txns"] for row in classes.values())
        completed = sum(row.get("completed", 0) for row in classes.values())
        due, earned = (sum(pair[index] for pair in self.worth.values()) for index in (0, 1))
        ticks = [
            {
                "second": tick * TICK / SECOND,
                "due": row.due,
                "worth": round(row.earned / row.worth, 3) if row.worth else 0,
                **dict(row.results),
            }
            for tick, row in sorted(self.ticks.items())
        ]
        begin_second = self.begin // SECOND
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
            "fills_by_second": {str(second - begin_second): count for second, count in sorted(store.fills_by_second.items())},
        }
