"""Plans which machines may be out together, and in which order they go out in the least time. Free of I/O and of randomness.

Bounds apply to sets of machines: a set that is allowed stays allowed when a machine of it comes back. So starting each unit of a list
as early as the bounds allow gives a shortest plan for one of the orders of the list (serial schedule generation; Sprecher, Kolisch,
Drexl, "Semi-active, active and non-delay schedules", 1995). For a few units all orders are tried, for more units sorting rules and
exchanges."""

from __future__ import annotations

import itertools
from collections.abc import Iterable
from typing import NamedTuple

# Relative tolerance of shares of capacity: observed capacities vary by this much, which must not push a share over its bound.
CAPACITY_TOLERANCE = 0.02
MAX_EXHAUSTIVE_UNITS = 5  # up to this many units, all orders are tried
MAX_EXCHANGES = 120  # for more units: orders that are tried, each one exchange away from the best one
MAX_EXCHANGE_WORK = 30_000  # bound on exchanges times the square of the number of units


class Machine(NamedTuple):
    """A machine as the routers observe it, not as it is rated."""

    zone: str
    is_parent: bool
    capacity: float  # transfers at full pace
    load: float  # transfers at full pace
    fills: float  # txns a second whose objects are filled again elsewhere once the machine is out
    usable: bool = True  # listed as up, and not in slow start


class Bounds(NamedTuple):
    """What may be out. The field names are keys of the operators' file."""

    zone: float = 0.34  # share of a location's capacity that may be out
    all: float = 0.25  # share of the capacity of all locations that may be out
    both: float = 0.0  # share of a location's objects whose home and next cache may be out together; 0: none
    headroom: float = 0.8  # share of the remaining capacity that the load may take
    fills: float = 0.0  # additional fills a second that the store can serve; 0: no bound
    parents: int = 1  # parents that may be out together
    at_once: int = 8  # machines that may be out together


class Unit(NamedTuple):
    """Machines that go out and come back together."""

    name: str
    machines: frozenset
    duration_s: float  # from the start until the machines carry their share of the load again
    deadline_s: float = 0.0  # s from now by which the unit should be back, 0 for no deadline


class Step(NamedTuple):
    """When a unit is out, in s from now."""

    unit: str
    start: float
    end: float


class Plan(NamedTuple):
    """The result of `make_plan`."""

    steps: tuple[Step, ...]  # sorted by start
    impossible: dict[str, str]  # units that can never go, each with the bound that forbids it
    length: float  # s until all units are back
    min_length: float  # lower limit on the length of every plan within the bounds


class MachinePool:
    """All machines, and which sets of them may be out by the bounds. Answers are cached. `trouble` gives the reason why no cache of a
    location may go out, by location."""

    def __init__(self, machines: dict[str, Machine], bounds: Bounds, trouble: dict[str, str] | None = None):
        self.machines, self.bounds, self.trouble = machines, bounds, trouble or {}
        self.caches_by_zone: dict[str, list[str]] = {}
        for name, machine in machines.items():
            if not machine.is_parent:
                self.caches_by_zone.setdefault(machine.zone, []).append(name)
        self.parents = [name for name, machine in machines.items() if machine.is_parent]
        self.total_capacity = sum(machine.capacity for machine in machines.values() if not machine.is_parent)
        self.away = frozenset(name for name, machine in machines.items() if not machine.usable)
        self.answers: dict[tuple, str] = {}

    def violated_bound(self, out: frozenset, ideal: bool = False) -> str:
        """The bound that the set `out` would violate, '' where the set may be out. Machines that the discovery service withdrew, or that
        are in slow start, count as out too. `ideal`: as if all other machines were usable and no location in trouble."""
        key = (out, ideal)
        if key not in self.answers:
            self.answers[key] = self.check_bounds(out, ideal)
        return self.answers[key]

    def check_bounds(self, out: frozenset, ideal: bool) -> str:
        """As `violated_bound`, without the cache."""
        bounds = self.bounds
        missing = [name for name in out if name not in self.machines]
        if missing:
            return f"{min(missing)} is not on the board"
        if len(out) > bounds.at_once:
            return f"{len(out)} machines out, bounds.at_once allows {bounds.at_once}"
        unavailable = out if ideal else out | self.away
        unavailable_parents = [name for name in unavailable if self.machines[name].is_parent]
        if unavailable_parents and (reason := self.check_parents(out, unavailable_parents, unavailable)):
            return reason
        unavailable_caches = [name for name in unavailable if not self.machines[name].is_parent]
        for zone in sorted({self.machines[name].zone for name in out if not self.machines[name].is_parent}):
            if reason := self.check_zone(zone, [name for name in unavailable_caches if self.machines[name].zone == zone], ideal):
                return reason
        if any(not self.machines[name].is_parent for name in out):
            share = sum(self.machines[name].capacity for name in unavailable_caches) / (self.total_capacity or 1.0)
            if len(unavailable_caches) > 1 and share > bounds.all * (1 + CAPACITY_TOLERANCE):
                return f"{share:.2f} of all capacity out, bounds.all allows {bounds.all:.2f}"
        fills = sum(self.machines[name].fills for name in unavailable)
        if bounds.fills and fills > bounds.fills + 1e-9:
            return f"{fills:.0f} more fills a second, bounds.fills_s allows {bounds.fills:g}"
        return ""

    def check_parents(self, out: frozenset, unavailable_parents: list, unavailable: frozenset) -> str:
        """A parent may go out only while all caches are there: by the shared hash each cache depends on each parent."""
        bounds, parents_out = self.bounds, [name for name in out if self.machines[name].is_parent]
        if not parents_out:  # a cache is to go out while a parent is away
            return f"{min(unavailable_parents)} is away, on which the caches lean"
        if len(unavailable_parents) > bounds.parents:
            return f"{len(unavailable_parents)} parents out, bounds.parents allows {bounds.parents}"
        if len(unavailable_parents) == len(self.parents):
            return "no parent would be left"
        unavailable_caches = sorted(name for name in unavailable if not self.machines[name].is_parent)
        if unavailable_caches:
            return f"{unavailable_caches[0]} is away, that leans on {min(parents_out)}"
        remaining_capacity = sum(self.machines[name].capacity for name in self.parents if name not in unavailable)
        load = sum(self.machines[name].load for name in self.parents)
        if load > bounds.headroom * remaining_capacity + 1e-9:
            return f"parents: a load of {load:.1f}, bounds.headroom allows {bounds.headroom * remaining_capacity:.1f} of those that stay"
        return ""

    def check_zone(self, zone: str, out: list, ideal: bool) -> str:
        """The bound of this location that the caches `out` violate, '' where they may be out."""
        bounds, names = self.bounds, self.caches_by_zone[zone]
        if not ideal and self.trouble.get(zone):
            return f"{zone}: {self.trouble[zone]}"
        total = sum(self.machines[name].capacity for name in names) or 1.0
        capacity_out = sum(self.machines[name].capacity for name in out)
        if capacity_out > bounds.zone * (1 + CAPACITY_TOLERANCE) * total:
            return f"{zone}: {capacity_out / total:.2f} of its capacity out, bounds.zone allows {bounds.zone:.2f}"
        load = sum(self.machines[name].load for name in names)
        if load > bounds.headroom * (total - capacity_out) + 1e-9:
            return f"{zone}: a load of {load:.1f}, bounds.headroom allows {bounds.headroom * (total - capacity_out):.1f} of what stays"
        share = self.share_losing_both(names, out, total)
        if share > bounds.both + 1e-9:
            return f"{zone}: {share:.3f} of objects lose home and next cache, bounds.both allows {bounds.both:.3f}"
        return ""

    def share_losing_both(self, names: list, out: list, total: float) -> float:
        """The share of objects whose first two caches are both in `out`, by weighted rendezvous hashing: a cache is first with the
        probability of its share of the total capacity, another one second with that of its share of the remaining capacity."""
        sizes = [self.machines[name].capacity or 0.01 for name in out]
        total = max(total, sum(sizes))
        return sum(
            first_size / total * second_size / max(total - first_size, 1e-9) for first_size, second_size in itertools.permutations(sizes, 2)
        )


def schedule(order: Iterable[Unit], running: list[tuple[Unit, float]], pool: MachinePool) -> list[Step]:
    """Starts each unit as early as the bounds allow, in the given order. `running`: the units that are out, each with the seconds until
    it is back."""
    placed = [(unit.machines, 0.0, remaining_s) for unit, remaining_s in running]  # (machines, start, end)
    steps = []
    for unit in order:
        for start in sorted({0.0, *(end for _, _, end in placed)}):
            end = start + unit.duration_s
            overlapping = [row for row in placed if row[1] < end and row[2] > start]
            if all(
                not pool.violated_bound(frozenset().union(unit.machines, *(row[0] for row in overlapping if row[1] <= moment < row[2])))
                for moment in {start, *(row[1] for row in overlapping if row[1] > start)}
            ):
                placed.append((unit.machines, start, end))
                steps.append(Step(unit.name, start, end))
                break
    return steps


def cost(steps: list[Step], units: dict[str, Unit]) -> tuple:
    """The cost of a schedule, lower is better: units that never go, time past deadlines, the length, the sum of all ends."""
    late_s = sum(max(0.0, step.end - units[step.unit].deadline_s) for step in steps if units[step.unit].deadline_s)
    return len(units) - len(steps), late_s, max((step.end for step in steps), default=0.0), sum(step.end for step in steps)


def candidate_orders(units: list[Unit]) -> Iterable[list[Unit]]:
    """All orders of a few units; for more units one order for each sorting rule."""
    if len(units) <= MAX_EXHAUSTIVE_UNITS:
        yield from map(list, itertools.permutations(units))
        return
    for key in (
        lambda unit: (unit.deadline_s or float("inf"), -unit.duration_s),
        lambda unit: -unit.duration_s,
        lambda unit: (-len(unit.machines), -unit.duration_s),
        lambda unit: unit.duration_s,
    ):
        yield sorted(units, key=lambda unit: (key(unit), unit.name))


def improve_order(best: list[Unit], best_cost: tuple, running, pool: MachinePool, by_name: dict) -> list[Unit]:
    """Exchanges pairs of units, near ones first, as long as the cost falls and up to a maximum number of tries."""
    tries, improved, max_tries = 0, True, min(MAX_EXCHANGES, MAX_EXCHANGE_WORK // len(best) ** 2)
    while improved and tries < max_tries:
        improved = False
        for distance in range(1, len(best)):
            for index in range(len(best) - distance):
                other = list(best)
                other[index], other[index + distance] = other[index + distance], other[index]
                tries += 1
                other_cost = cost(schedule(other, running, pool), by_name)
                if other_cost < best_cost:
                    best, best_cost, improved = other, other_cost, True
                if tries >= max_tries:
                    return best
    return best


def min_plan_length(units: list[Unit], running: list[tuple[Unit, float]], pool: MachinePool) -> float:
    """A lower limit on the length of every plan: the longest unit, and units of which no two may be out together, one after the
    other."""
    outages = [(unit.machines, unit.duration_s) for unit in units] + [(unit.machines, remaining_s) for unit, remaining_s in running]
    lower_limit = max((duration_s for _, duration_s in outages), default=0.0)
    for machines, duration_s in outages:  # grows a clique of mutually exclusive units around each unit, greedily
        clique, length = [machines], duration_s
        for other, other_duration_s in sorted(outages, key=lambda row: -row[1]):
            if other not in clique and all(pool.violated_bound(other | member, True) for member in clique):
                clique.append(other)
                length += other_duration_s
        lower_limit = max(lower_limit, length)
    lower_limit = max(lower_limit, sum(len(machines) * duration_s for machines, duration_s in outages) / pool.bounds.at_once)
    # The capacity that is out, integrated over time, divided by the capacity that may be out at any moment.
    for zone, names in pool.caches_by_zone.items():
        zone_outages = [
            (sum(pool.machines[name].capacity for name in machines if name in names), duration_s) for machines, duration_s in outages
        ]
        capacity, load = (sum(pool.machines[name][field] for name in names) for field in (2, 3))  # fields of Machine
        max_capacity_out = min(pool.bounds.zone * capacity, capacity - load / pool.bounds.headroom)
        max_capacity_out = max([max_capacity_out] + [unit_capacity for unit_capacity, _ in zone_outages])
        if max_capacity_out > 0:
            lower_limit = max(lower_limit, sum(unit_capacity * duration_s for unit_capacity, duration_s in zone_outages) / max_capacity_out)
    return lower_limit


def make_plan(units: list[Unit], running: list[tuple[Unit, float]], pool: MachinePool) -> Plan:
    """The shortest order found for the units, given those that are out now. Units that could not go even alone with all other machines
    usable are impossible. Units that can't go at present have no step (`MachinePool.violated_bound` tells the reason)."""
    impossible = {unit.name: reason for unit in units if (reason := pool.violated_bound(unit.machines, True))}
    units = [unit for unit in units if unit.name not in impossible]
    by_name = {unit.name: unit for unit in units}
    best, best_cost = [], None
    for order in candidate_orders(units):
        order_cost = cost(schedule(order, running, pool), by_name)
        if best_cost is None or order_cost < best_cost:
            best, best_cost = order, order_cost
    if len(units) > MAX_EXHAUSTIVE_UNITS:
        best = improve_order(best, best_cost, running, pool, by_name)
    steps = schedule(best, running, pool)
    length = max([step.end for step in steps] + [remaining_s for _, remaining_s in running], default=0.0)
    return Plan(tuple(sorted(steps, key=lambda step: (step.start, step.unit))), impossible, length, min_plan_length(units, running, pool))
