"""What a fleet of many routers costs each of them, in simulated time: bytes of lines, CPU for making, reading and following them, and
how long it takes to agree and to take machines out. The members are the program's own, their lines real JSON; sockets and threads are
left out. CPU is this process' own, a member at a time."""

from __future__ import annotations

import gc
import json
import random
import time
from collections import defaultdict

from fieldspur.fleet import consensus, planner, work_orders
from fieldspur.fleet.coordinator import HEALTHY, SLOW_START, Coordinator, without_loads
from fieldspur.fleet.follower import Follower
from fieldspur.fleet.member import Member

MS, SECOND = 1_000_000, 1_000_000_000
LONGEST, WARM = 8 * SECOND, 6 * SECOND
NEEDS = 5.0  # s of work on a machine
BOUNDS = planner.Bounds(zone=0.05, all=0.05, both=0.01, at_once=32)


class Cost:
    """Of one kind of members, over a span."""

    def __init__(self):
        self.cpu, self.read, self.lines, self.wrote = 0.0, 0, 0, 0


class Sized:
    def __init__(self, routers: int, votes: int, caches: int, zones: int, lease: float, seed: int):
        self.random, self.now, self.votes, self.length = random.Random(seed), SECOND, votes, int(lease * SECOND)
        self.zones = [f"z{n}" for n in range(zones)]
        self.board = {
            f"{self.zones[n % zones]}-c{n}": work_orders.Listing("up", 0, f"h:{n}", self.zones[n % zones], "cache", 20.0)
            for n in range(caches)
        }
        self.board |= {f"p{n}": work_orders.Listing("up", 0, f"p:{n}", "z0", "parent", 200.0) for n in range(8)}
        self.names = [f"v{n}" for n in range(votes)]
        self.all = self.names + [f"r{n}" for n in range(routers - votes)]
        self.wishes: dict[str, list] = {name: [] for name in self.all}
        self.members = {name: self.member(n, name) for n, name in enumerate(self.all)}
        self.lines: dict[str, dict] = {}
        self.cut: set[str] = set()  # members that hear and are heard by none outside of it
        self.costs: dict[str, Cost] = defaultdict(Cost)
        self.restarts: list = []
        self.seen: dict[tuple, int] = {}  # (order, state): when it was first known anywhere

    def zone(self, name: str) -> str:
        return self.zones[int(name[1:]) % len(self.zones)]

    def member(self, n: int, name: str):
        coordinator = Coordinator(self.names, name, self.zone(name), self.length, BOUNDS, False, LONGEST, WARM)
        coordinator.requests, nonce = self.wishes[name], self.random.randrange(1, 1 << 40)
        if name in self.names:
            return Member(
                "sized", consensus.blank_register(n, self.votes, nonce), self.votes, self.now, self.length, nonce, True, coordinator
            )
        return Follower("sized", name, nonce, self.votes, self.now, self.length, coordinator)

    def acting(self) -> str | None:
        return next((name for name in self.names if self.members[name].is_coordinator(self.now)), None)

    def role(self, name: str, acting: str | None) -> str:
        return "acts" if name == acting else "settles" if name in self.names else "follows"

    def reaches(self, a: str, b: str) -> bool:
        return (a in self.cut) == (b in self.cut)

    def look(self, name: str) -> None:
        """Once a second: what its router sees of the caches of its location."""
        coordinator, zone = self.members[name].coordinator, self.zone(name)
        cold = {
            one.machine
            for one in coordinator.document.orders
            if one.state == work_orders.BACK and self.now - self.seen.get((one.ident, work_orders.BACK), self.now) < WARM
        }
        coordinator.loads = {
            cache: [20.0, round(self.random.uniform(0.2, 0.6), 2), 5.0, SLOW_START if cache in cold else HEALTHY]
            for cache, listing in self.board.items()
            if listing.zone == zone
        }
        coordinator.fresh_loads = True

    def step(self) -> None:
        """A quarter of a beat, as `talk` sleeps: all tick, say what is new, and read what was said."""
        self.now += self.length // 24
        acting, second = self.acting(), self.now // SECOND != (self.now - self.length // 24) // SECOND
        said: dict[str, bytes] = {}
        for name, member in self.members.items():
            if second:
                self.look(name)
            cost = self.costs[self.role(name, acting)]
            began = time.process_time()
            member.coordinator.unix_ms, member.coordinator.listings = self.now // MS, self.board
            member.tick(self.now)
            member.coordinator.mark_applied(member.coordinator.document.number, dict.fromkeys(member.coordinator.announced(), 0))
            line = member.line()
            without = without_loads(line)
            if without != self.lines.get(name):
                self.lines[name], said[name] = without, json.dumps(line, separators=(",", ":")).encode()
                member.coordinator.line_published()
            cost.cpu += time.process_time() - began
        self.read(said, acting)
        for at, machine in [row for row in self.restarts if row[0] <= self.now]:
            self.restarts.remove((at, machine))
            self.board[machine] = self.board[machine]._replace(started=self.now // MS)

    def read(self, said: dict[str, bytes], acting: str | None) -> None:
        for name, line in said.items():
            readers = self.all if name in self.names else [acting] if acting else []
            self.costs[self.role(name, acting)].wrote += len(line)
            for other in readers:
                if other == name or not self.reaches(name, other):
                    continue
                cost, member = self.costs[self.role(other, acting)], self.members[other]
                began = time.process_time()
                value = json.loads(line)
                if name in self.names:
                    member.receive_line(self.names.index(name), value, self.now)
                else:
                    member.receive_follower_line(name, value, self.now)
                cost.cpu += time.process_time() - began
                cost.read += len(line)
                cost.lines += 1
                self.note(member.coordinator.document)

    def note(self, found: work_orders.WorkDocument) -> None:
        for order in found.orders:
            if self.seen.setdefault((order.ident, order.state), self.now) == self.now and order.state == work_orders.FREE:
                if not any(machine == order.machine for _, machine in self.restarts):
                    self.restarts.append((self.now + int(order.needs * SECOND), order.machine))
        for ended in found.ended:
            self.seen.setdefault((ended.ident, ended.how), self.now)

    def run(self, seconds: float, until=lambda: False) -> float:
        began = self.now
        while self.now - began < seconds * SECOND and not until():
            self.step()
        return (self.now - began) / SECOND

    def begin(self) -> None:
        self.run(4 * self.length / SECOND)
        self.members[self.names[0]].found_fleet()
        self.run(60, lambda: self.acting() is not None and len(self.latest().routers) == len(self.all) - self.votes)
        self.run(2)

    def latest(self) -> work_orders.WorkDocument:
        return max((self.members[name].coordinator.document for name in self.names), key=lambda one: one.number)

    def ask(self, name: str, ident: str, machine: str) -> None:
        self.wishes[name].append(work_orders.WorkRequest(ident, machine, NEEDS))

    def table(self, seconds: float) -> dict:
        """By role, a member's share of a core and its lines, over a span that began with fresh costs."""
        acting, many = self.acting(), defaultdict(int)
        for name in self.all:
            many[self.role(name, acting)] += 1
        return {
            role: {
                "members": many[role],
                "core": round(cost.cpu / seconds / many[role], 4),
                "lines_a_second": round(cost.lines / seconds / many[role], 1),
                "read_kb_s": round(cost.read / 1024 / seconds / many[role], 1),
                "wrote_kb_s": round(cost.wrote / 1024 / seconds / many[role], 2),
            }
            for role, cost in sorted(self.costs.items())
            if many[role]
        }


def measure(routers: int, votes: int, caches: int, zones: int, lease: float, orders: int, seed: int) -> dict:
    """Idle, with orders, and with a region cut off while orders go."""
    gc.collect()
    gc.disable()  # one process holds all members here: looks for garbage would go through all of them, at whoever makes something
    fleet = Sized(routers, votes, caches, zones, lease, seed)
    fleet.begin()
    found = {"routers": routers, "votes": votes, "caches": caches, "zones": zones, "lease_s": lease}
    fleet.costs.clear()
    found["idle"] = fleet.table(fleet.run(10))
    machines = [name for name, listing in fleet.board.items() if listing.kind == "cache"][:zones]
    chosen = [f"order-{n}" for n in range(orders)]

    def all_in(idents, *states):
        return lambda: all(any((ident, state) in fleet.seen for state in states) for ident in idents)

    fleet.costs.clear()
    began = fleet.now
    for n, ident in enumerate(chosen):
        fleet.ask(fleet.all[-1 - n % (routers - votes)], ident, machines[n % len(machines)])
    agreed = fleet.run(60, all_in(chosen, work_orders.WAITING, work_orders.NEXT))
    gone = agreed + fleet.run(120, all_in(chosen, work_orders.FREE))
    done = gone + fleet.run(300, all_in(chosen, work_orders.DONE))
    found["busy"] = fleet.table((fleet.now - began) / SECOND)
    found["orders"] = {
        "many": orders,
        "agreed_s": round(agreed, 2),
        "all_free_s": round(gone, 2),
        "all_done_s": round(done, 2),
        "done": sum((ident, work_orders.DONE) in fleet.seen for ident in chosen),
    }
    # A region is cut off, with one that settles, while orders that were announced to it go, and further ones are asked for.
    late, quarter = [f"late-{n}" for n in range(4)], set(fleet.zones[: max(1, zones // 4)])
    before = [f"early-{n}" for n in range(4)]
    for n, ident in enumerate(before):
        fleet.ask(fleet.names[-1], ident, machines[-1 - n])
    fleet.run(60, all_in(before, work_orders.GOING))
    fleet.cut = {name for name in fleet.all if name not in fleet.names and fleet.zone(name) in quarter} | {fleet.names[0]}
    cut_at = fleet.now
    fleet.run(60, all_in(before, work_orders.FREE))
    free = (fleet.now - cut_at) / SECOND
    for n, ident in enumerate(late):
        fleet.ask(fleet.names[-1], ident, machines[-5 - n])
    fleet.run(20)
    waiting = {one.note for one in fleet.latest().orders if one.ident in late and one.state in (work_orders.NEXT, work_orders.WAITING)}
    fleet.cut = set()
    heals = fleet.run(300, all_in((*before, *late), work_orders.DONE))
    found["region"] = {
        "cut_off": sum(name not in fleet.names for name in fleet.all if fleet.zone(name) in quarter),
        "announced_before": len(before),
        "free_s": round(free, 2),
        "asked_meanwhile": len(late),
        "waits": sorted(waiting)[:2],
        "all_done_after_heal_s": round(heals, 2),
        "done": sum((ident, work_orders.DONE) in fleet.seen for ident in (*before, *late)),
    }
    return found
