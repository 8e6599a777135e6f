"""Timers in slots against a heap that leaves cancelled ones in: what one costs, set, cancelled and passed.

Run as `python -m fieldspur.bench.timers`. The load is a router's: each hop sets two timers, seconds ahead, and nearly
all are cancelled some hundred hops later."""

from __future__ import annotations

import heapq
import json
import random
import time

from fieldspur.net.timer_wheel import TimerWheel

MS = 1_000_000


class Heap:
    """As it was before: a cancelled timer stays until it is due."""

    def __init__(self):
        self.rows, self.live, self.woken = [], {}, 0

    def add(self, at, key):
        self.live[key] = at
        heapq.heappush(self.rows, (at, key))

    def cancel(self, at, key):
        return self.live.pop(key, None) is not None

    def pop_due(self, now):
        found = []
        while self.rows and self.rows[0][0] <= now:
            at, key = heapq.heappop(self.rows)
            self.woken += 1
            if self.live.pop(key, None) is not None:
                found.append((at, key))
        return found


def cost(made, count: int, between: int, kept: float, seed: int = 1) -> tuple[float, int]:
    """us a timer, and the most entries held; `between` ns pass from one to the next."""
    chance = random.Random(seed)
    rows = [(n * between + chance.randrange(300 * MS, 5_000 * MS), n) for n in range(count)]
    keep = {n for n in range(count) if chance.random() < kept}
    held, began = 0, time.perf_counter()
    for n, (at, key) in enumerate(rows):
        made.add(at, key)
        if n >= 1000 and n - 1000 not in keep:
            made.cancel(rows[n - 1000][0], n - 1000)
        if n % 64 == 0:
            made.pop_due(n * between)
            held = max(held, len(made.rows) if isinstance(made, Heap) else sum(map(len, made.slots.values())))
    return (time.perf_counter() - began) / count * 1e6, held


def compare(count: int = 200_000, between: int = 125_000, kept: float = 0.01) -> dict:
    best = {}
    for kind in (Heap, TimerWheel) * 3:
        us, held = cost(kind(), count, between, kept)
        name = kind.__name__.lower()
        best[name] = {"us": round(min(us, best.get(name, {"us": us})["us"]), 2), "held": held}
    return best


if __name__ == "__main__":
    print(json.dumps(compare()))
