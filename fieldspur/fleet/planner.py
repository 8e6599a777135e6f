"""Which machines may be out for work together, and in which order they go in the least time. Free of I/O and of chance.

Bounds speak of sets: a set that is allowed stays so when a machine comes back. So a list of units, each begun as early as the
bounds let it, holds a shortest plan under one of its orders (serial schedule generation; Sprecher, Kolisch, Drexl, "Semi-active,
active and non-delay schedules", 1995). A few units are tried in every order, more of them by rules and exchanges.
"""

from __future__ import annotations

import itertools
from collections.abc import Iterable
from typing import NamedTuple

SEEN = 0.02  # capacities as seen differ by so much from look to look; a share at its bound is not past it for that
EVERY_ORDER = 5  # units up to which all orders are tried
EXCHANGES, LOOKS = 120, 30_000  # further orders tried beyond, each one exchange away from the best; by units squared


class Machine(NamedTuple):
    """As seen by the routers, not as rated: `capacity` and `load` in transfers at full pace, `fills` in txns a second, whose
    objects are filled anew elsewhere once it is out. `usable`: listed as up, and not cold."""

    zone: str
    is_parent: bool
    capacity: float
    load: float
    fills: float
    usable: bool = True


class Bounds(NamedTuple):
    zone: float = 0.34  # share of a location's capacity that may be out
    all: float = 0.25  # the same over all locations
    both: float = 0.0  # share of a location's objects whose home and next cache may be out together; 0: never
    headroom: float = 0.8  # the load may take so much of what stays
    fills: float = 0.0  # a second, that the store bears on top; 0: no bound
    parents: int = 1  # parents out together
    at_once: int = 8  # machines out together


class Unit(NamedTuple):
    """Machines that go and come together. `takes` s from going until they bear their part again; `before`: s from now by
    which it is to be back, 0 where it does not matter."""

    name: str
    machines: frozenset
    takes: float
    before: float = 0.0


class Step(NamedTuple):
    unit: str
    start: float  # s from now
    end: float


class Plan(NamedTuple):
    steps: tuple[Step, ...]  # by start
    impossible: dict[str, str]  # units that no moment allows, and the bound that violated_bound them
    length: float  # s until all are back
    min_length: float  # no plan within the bounds can be shorter


class MachinePool:
    """The machines, and what the bounds say about sets of them being out; answers are remembered."""

    def __init__(self, machines: dict[str, Machine], bounds: Bounds, trouble: dict[str, str] | None = None):
        self.machines, self.bounds, self.trouble = machines, bounds, trouble or {}
        self.zones: dict[str, list[str]] = {}
        for name, one in machines.items():
            if not one.is_parent:
                self.zones.setdefault(one.zone, []).append(name)
        self.parents = [name for name, one in machines.items() if one.is_parent]
        self.total = sum(one.capacity for one in machines.values() if not one.is_parent)
        self.away = frozenset(name for name, one in machines.items() if not one.usable)
        self.said: dict[tuple, str] = {}

    def violated_bound(self, out: frozenset, ideal: bool = False) -> str:
        """The bound that such a set would break, '' where it may be out. What is away by the board's word, or cold, counts as out
        with them; `ideal`: as if all others were well, and no location in trouble."""
        key = (out, ideal)
        if key not in self.said:
            self.said[key] = self.judge(out, ideal)
        return self.said[key]

    def judge(self, out: frozenset, ideal: bool) -> str:
        bounds = self.bounds
        missing = [name for name in out if name not in self.machines]
        if missing:
            return f"{min(missing)} is not on the board"
        if len(out) > bounds.at_once:
            return f"{len(out)} machines out, bounds.at_once allows {bounds.at_once}"
        gone = out if ideal else out | self.away
        lean = [name for name in gone if self.machines[name].is_parent]
        if lean and (found := self.judge_parents(out, lean, gone)):
            return found
        caches = [name for name in gone if not self.machines[name].is_parent]
        for zone in sorted({self.machines[name].zone for name in out if not self.machines[name].is_parent}):
            if found := self.judge_zone(zone, [name for name in caches if self.machines[name].zone == zone], ideal):
                return found
        if any(not self.machines[name].is_parent for name in out):
            share = sum(self.machines[name].capacity for name in caches) / (self.total or 1.0)
            if len(caches) > 1 and share > bounds.all * (1 + SEEN):
                return f"{share:.2f} of all capacity out, bounds.all allows {bounds.all:.2f}"
        fills = sum(self.machines[name].fills for name in gone)
        if bounds.fills and fills > bounds.fills + 1e-9:
            return f"{fills:.0f} more fills a second, bounds.fills_s allows {bounds.fills:g}"
        return ""

    def judge_parents(self, out: frozenset, lean: list, gone: frozenset) -> str:
        """A parent goes while all caches are there: by the shared hash each of them leans on each parent."""
        bounds, parents = self.bounds, [name for name in out if self.machines[name].is_parent]
        if not parents:  # a cache, while a parent is away
            return f"{min(lean)} is away, on which the caches lean"
        if len(lean) > bounds.parents:
            return f"{len(lean)} parents out, bounds.parents allows {bounds.parents}"
        if len(lean) == len(self.parents):
            return "no parent would be left"
        leaning = sorted(name for name in gone if not self.machines[name].is_parent)
        if leaning:
            return f"{leaning[0]} is away, that leans on {min(parents)}"
        stays = sum(self.machines[name].capacity for name in self.parents if name not in gone)
        load = sum(self.machines[name].load for name in self.parents)
        if load > bounds.headroom * stays + 1e-9:
            return f"parents: a load of {load:.1f}, bounds.headroom allows {bounds.headroom * stays:.1f} of those that stay"
        return ""

    def judge_zone(self, zone: str, out: list, ideal: bool) -> str:
        bounds, names = self.bounds, self.zones[zone]
        if not ideal and self.trouble.get(zone):
            return f"{zone}: {self.trouble[zone]}"
        total = sum(self.machines[name].capacity for name in names) or 1.0
        gone = sum(self.machines[name].capacity for name in out)
        if gone > bounds.zone * (1 + SEEN) * total:
            return f"{zone}: {gone / total:.2f} of its capacity out, bounds.zone allows {bounds.zone:.2f}"
        load = sum(self.machines[name].load for name in names)
        if load > bounds.headroom * (total - gone) + 1e-9:
            return f"{zone}: a load of {load:.1f}, bounds.headroom allows {bounds.headroom * (total - gone):.1f} of what stays"
        both = self.both(names, out, total)
        if both > bounds.both + 1e-9:
            return f"{zone}: {both:.3f} of objects lose home and next cache, bounds.both allows {bounds.both:.3f}"
        return ""

    def both(self, names: list, out: list, total: float) -> float:
        """The share of objects whose first two caches are both in `out`, by weighted rendezvous: a is first by its share of the
        whole, b next by its share of what is left."""
        sizes = [self.machines[name].capacity or 0.01 for name in out]
        total = max(total, sum(sizes))
        return sum(a / total * b / max(total - a, 1e-9) for a, b in itertools.permutations(sizes, 2))


def schedule(order: Iterable[Unit], running: list[tuple[Unit, float]], park: MachinePool) -> list[Step]:
    """Each unit as early as the bounds let it, in that order; `running`: those that are out, and s until they are back."""
    placed = [(unit.machines, 0.0, left) for unit, left in running]
    steps = []
    for unit in order:
        for start in sorted({0.0, *(end for _, _, end in placed)}):
            end = start + unit.takes
            beside = [row for row in placed if row[1] < end and row[2] > start]
            if all(
                not park.violated_bound(frozenset().union(unit.machines, *(row[0] for row in beside if row[1] <= at < row[2])))
                for at in {start, *(row[1] for row in beside if row[1] > start)}
            ):
                placed.append((unit.machines, start, end))
                steps.append(Step(unit.name, start, end))
                break
    return steps


def cost(steps: list[Step], units: dict[str, Unit]) -> tuple:
    """Less is better: those that never go, time past their `before`, the length, the sum of ends."""
    late = sum(max(0.0, step.end - units[step.unit].before) for step in steps if units[step.unit].before)
    return len(units) - len(steps), late, max((step.end for step in steps), default=0.0), sum(step.end for step in steps)


def orders(units: list[Unit]) -> Iterable[list[Unit]]:
    if len(units) <= EVERY_ORDER:
        yield from map(list, itertools.permutations(units))
        return
    for key in (
        lambda u: (u.before or float("inf"), -u.takes),
        lambda u: -u.takes,
        lambda u: (-len(u.machines), -u.takes),
        lambda u: u.takes,
    ):
        yield sorted(units, key=lambda u: (key(u), u.name))


def improved(best: list[Unit], found: tuple, running, park: MachinePool, by_name: dict) -> list[Unit]:
    """One exchange after the other, nearer places first, as long as it pays and up to a bound."""
    tried, better, most = 0, True, min(EXCHANGES, LOOKS // len(best) ** 2)
    while better and tried < most:
        better = False
        for gap in range(1, len(best)):
            for at in range(len(best) - gap):
                other = list(best)
                other[at], other[at + gap] = other[at + gap], other[at]
                tried += 1
                now = cost(schedule(other, running, park), by_name)
                if now < found:
                    best, found, better = other, now, True
                if tried >= most:
                    return best
    return best


def floor(units: list[Unit], running: list[tuple[Unit, float]], park: MachinePool) -> float:
    """No plan is shorter: the longest unit; those of which no two may be out together, one after the other."""
    rows = [(unit.machines, unit.takes) for unit in units] + [(unit.machines, left) for unit, left in running]
    least = max((takes for _, takes in rows), default=0.0)
    for machines, takes in rows:  # a clique grown round each, greedily
        clique, length = [machines], takes
        for other, more in sorted(rows, key=lambda row: -row[1]):
            if other not in clique and all(park.violated_bound(other | one, True) for one in clique):
                clique.append(other)
                length += more
        least = max(least, length)
    least = max(least, sum(len(machines) * takes for machines, takes in rows) / park.bounds.at_once)
    for zone, names in park.zones.items():  # capacity that is out, over time, against what may be at a moment
        mine = [(sum(park.machines[name].capacity for name in machines if name in names), takes) for machines, takes in rows]
        total, load = (sum(park.machines[name][at] for name in names) for at in (2, 3))
        most = min(park.bounds.zone * total, total - load / park.bounds.headroom)
        most = max([most] + [capacity for capacity, _ in mine])
        if most > 0:
            least = max(least, sum(capacity * takes for capacity, takes in mine) / most)
    return least


def make_plan(units: list[Unit], running: list[tuple[Unit, float]], park: MachinePool) -> Plan:
    """The shortest order found, from what is out now. Units that could not go even alone, with all others well, are impossible;
    those that only wait for something stay out of the steps until it is over (`MachinePool.violated_bound` says what for)."""
    impossible = {unit.name: why for unit in units if (why := park.violated_bound(unit.machines, True))}
    units = [unit for unit in units if unit.name not in impossible]
    by_name = {unit.name: unit for unit in units}
    best, found = [], None
    for order in orders(units):
        now = cost(schedule(order, running, park), by_name)
        if found is None or now < found:
            best, found = order, now
    if len(units) > EVERY_ORDER:
        best = improved(best, found, running, park, by_name)
    steps = schedule(best, running, park)
    length = max([step.end for step in steps] + [left for _, left in running], default=0.0)
    return Plan(tuple(sorted(steps, key=lambda step: (step.start, step.unit))), impossible, length, floor(units, running, park))
