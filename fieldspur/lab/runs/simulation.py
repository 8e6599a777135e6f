"""The laboratory at large size: the decision module of hundreds of routers and the servers' model in simulated time, one
thread, no sockets. What it assumes stands in docs/design/laboratory.md."""

from __future__ import annotations

import heapq
import itertools
import random
import resource
import time
from collections import Counter

import msgspec

from fieldspur.bench import sample_settings
from fieldspur.host import (
    FILLED,
    FILLED_BY_ORIGIN,
    HIT,
    JOINED,
    NO_FILL_PLACE,
    ORIGIN_FAILED,
    PAST_FRESH,
    SOURCE_LACKS,
    SOURCE_LOST,
    SOURCE_REFUSED,
)
from fieldspur.lab import catalog
from fieldspur.lab.checks.outcomes import Outcomes, Txn
from fieldspur.lab.checks.rule_checker import MS, SECOND, Checker, Try
from fieldspur.lab.emulate.faults import Faults
from fieldspur.lab.emulate.server_model import ReceivedHop, Server, Store
from fieldspur.lab.runs.scenario import Far
from fieldspur.lab.runs.scenario_run import missed_expectations, recovery_times
from fieldspur.operators import BadFile
from fieldspur.site import build_router, deployment

NET = MS // 2  # one way between router and server
TOLD_AFTER = 20 * MS, 150 * MS  # after which a change of the list or a purge reaches a router
NOTES = {
    "TCP_HIT": HIT,
    "TCP_MISS": FILLED,
    "TCP_MISS_ROOT": FILLED_BY_ORIGIN,
    "TCP_JOIN": JOINED,
    "TCP_STALE": PAST_FRESH,
    "PEER_DENY": SOURCE_REFUSED,
    "PEER_DEAD": SOURCE_LOST,
    "PEER_MISS": SOURCE_LACKS,
    "FILL_FULL": NO_FILL_PLACE,
    "ROOT_FAIL": ORIGIN_FAILED,
}
WORDS = {"ACK": "completed", "NOENT": "missing", "AGAIN": "full", "EIO": "error"}
KNOWN = Faults.SUPPORTED_FAULTS - {"stop"}


class Clock:
    """Simulated time: what is due next happens next."""

    def __init__(self, begin: int):
        self.time, self.due, self.order, self.events = begin, [], itertools.count(), 0

    def now(self) -> int:
        return self.time

    def later(self, delay: int, what) -> None:
        heapq.heappush(self.due, (self.time + max(0, delay), next(self.order), what))

    def run(self, until: int) -> None:
        due = self.due
        while due and due[0][0] <= until:
            self.time, _, what = heapq.heappop(due)
            self.events += 1
            what()
        self.time = until


class RouterHost:
    """The host of one Router in simulated time."""

    def __init__(self, world: SimulatedWorld, number: int, zone: int, site):
        self.world, self.number, self.zone = world, number, zone
        self.clock = world.clock
        self.open: dict[int, Txn] = {}
        self.hops: dict[tuple, ReceivedHop] = {}
        self.numbers: Counter = Counter()
        self.router = build_router(self, world.plan.seed * 1000 + number, site)

    def now(self) -> int:
        return self.clock.time

    def arrive(self, ident: int, txn: Txn) -> None:
        self.open[ident] = txn
        rule = self.world.rule_at[txn.rule]
        self.router.txn_arrived(ident, rule, txn.obj, txn.part, txn.limit_at - self.clock.time, txn.kb, catalog.group(txn.obj))

    def send_hop(self, ident, server, cut_at, source, rank, max_age, join, renew, fetch, go_by) -> None:  # goes out at once
        world, txn, began = self.world, self.open[ident], self.clock.time
        number = self.numbers[ident]
        self.numbers[ident] += 1
        model, name = world.models[server], f"{ident:016x}"
        entry: list = []

        def end(word: str, note: str, waited: int, copy) -> None:
            if entry and entry[0] is not None:
                entry[0].end = word
            self.clock.later(NET, lambda: self.ended(ident, number, WORDS[word], began, NOTES.get(note, 0), waited, copy, model.load()))

        asked = ReceivedHop(
            txn.rule,
            txn.obj,
            txn.part,
            txn.kb,
            txn.key,
            None if source in (None, server) else world.models[source],
            rank,
            max_age,
            join,
            fetch,
            txn.kind == "repeatable",
            end,
            name,
        )
        self.hops[ident, number] = asked

        def come() -> None:
            if asked.finished:
                return
            if not model.up:
                asked.finished = True
                return self.ended(ident, number, "unreachable", began)
            entry.append(world.checker.hop(server, source if source != server else None, name, self.clock.time))
            world.out_at[server].add((self, ident, number))
            model.receive(asked)

        self.clock.later(NET, come)
        self.clock.later(cut_at - began, lambda: self.cut(ident, number, began, "timed_out"))

    def cut(self, ident: int, number: int, began: int, result: str) -> None:
        asked = self.hops.get((ident, number))
        if asked is not None and not asked.finished:
            asked.give_up()
            self.ended(ident, number, result, began)

    def ended(self, ident, number, result, began, note=0, waited=None, copy=None, load=None) -> None:
        asked = self.hops.pop((ident, number), None)
        if asked is None:
            return
        txn = self.open.get(ident)
        final = result == "completed" or txn is None
        if result == "completed" and txn is not None:
            self.answer(ident, "completed", copy.issued)
        self.router.hop_ended(ident, number, result, self.clock.time - began, final, note, waited, load)

    def broken(self, ident: int, number: int) -> None:
        """The server died under a hop."""
        asked = self.hops.get((ident, number))
        if asked is not None and not asked.finished:
            asked.give_up()
            self.clock.later(NET, lambda: self.ended(ident, number, "broken", self.clock.time))

    def cancel(self, ident, number) -> None:
        began = self.clock.time
        self.clock.later(0, lambda: self.cut(ident, number, began, "cancelled"))

    def reject(self, ident, come_back) -> None:
        self.answer(ident, "rejected", later=come_back)

    def abort(self, ident) -> None:
        self.answer(ident, "aborted")

    def answer(self, ident: int, word: str, issued: int | None = None, later: int = 0) -> None:
        txn = self.open.pop(ident, None)
        if txn is not None:
            self.numbers.pop(ident, None)
            self.world.answered(self, ident, txn, word, issued, later)

    def set_alarm(self, label, at) -> None:
        self.clock.later(at - self.clock.time, lambda: self.router.alarm_fired(label))

    def cancel_alarm(self, label) -> None:
        """Left in the heap: it does nothing when it is due."""

    def probe(self, server) -> None:
        began, model = self.clock.time, self.world.models[server]
        if model.up and not model.silent:
            self.clock.later(2 * NET, lambda: self.router.probe_ended(server, "completed", 2 * NET, model.load()))
        else:
            self.clock.later(400 * MS, lambda: self.router.probe_ended(server, "timed_out", self.clock.time - began, None))

    def log(self, text: str) -> None:
        self.world.said[text.split(" for ")[0].rpartition(" ")[0] + " " + text.rpartition(": ")[2]] += 1


class SimulatedWorld(Faults):
    """All routers and servers of a scenario in one simulated time."""

    def __init__(self, plan, size: Far):
        super().__init__(Clock(1_000 * SECOND), random.Random(f"{plan.seed} far"))
        self.plan, self.size = plan, size
        self.began = self.clock.time
        self.checker = Checker(plan.servers.fall_multiple, routers=max(1, size.routers // size.zones))
        self.said: Counter = Counter()
        rows, everywhere = plan.servers, size.routers
        self.store = Store(self.clock, rows.store_rating, int(rows.store_ms * MS))
        self.store.on_effect = self.checker.effect
        self.models["store"] = self.store
        self.zones: list[list[str]] = [[] for _ in range(size.zones)]
        self.out_at: dict[str, set] = {"store": set()}  # hops out at each server, pruned when it dies
        for kind, count, rating, mb in (
            ("std", size.caches, rows.rating, rows.cache_mb),
            ("parent", size.parents, rows.parent_rating, rows.parent_mb),
        ):
            for n in range(count):
                name, zone = f"{'cache' if kind == 'std' else 'parent'}-{n}", n % size.zones
                model = Server(self.clock, name, kind, rating, mb * 1024, catalog.KB_PER_S, rows, zone=zone, seed=plan.seed)
                model.store, model.on_offered, model.on_fall = self.store, self.offered, self.crash_overloaded
                self.models[name] = model
                self.out_at[name] = set()
                if kind == "std":
                    self.zones[zone].append(name)
        self.parents = [name for name in self.models if name.startswith("parent")]
        zones = tuple(f"zone-{n}" for n in range(size.zones))
        self.hosts = []
        for number in range(size.routers):
            zone = number % size.zones
            here = len(range(zone, size.routers, size.zones))
            conf = sample_settings.settings(zone=zone, zones=zones, routers=here, everywhere=everywhere)
            conf["guarantees"] |= dict(coldFrom=rows.cold_share, rampTimeUs=int(rows.ramp_s * 1e6), fallMultiple=rows.fall_multiple)
            conf["familyInfo"] |= dict(
                upperColdFrom=rows.cold_share, parentRampUs=int(rows.ramp_s * 1e6), upperFallMultiple=rows.fall_multiple
            )
            self.hosts.append(RouterHost(self, number, zone, deployment(conf)))
        self.rule_at = {row["name"]: at for at, row in enumerate(sample_settings.RULES)}
        for host in self.hosts:
            self.list_to(host, ["store", *self.parents, *self.zones[host.zone]], True)
        self.middle = {row.rule: row.kb for row in plan.load.classes}
        self.idents = itertools.count(1)
        self.curve: list[dict] = []
        self.outcomes = Outcomes(plan, self.began, self.random)
        self.ends = self.outcomes.ends
        self.sizes: dict[tuple, float] = {}

    # The list.

    def list_to(self, host: RouterHost, names: list[str], complete: bool = False, states: dict | None = None) -> None:
        fleet = host.router.pool
        fleet.list_begins(complete)
        for name in names:
            model = self.models[name]
            kind = {"std": 0, "parent": 1, "origin": 2}[model.kind]
            fleet.server_listed(
                name, (states or {}).get(name, "up"), model.started, model.zone if kind == 0 else 0, getattr(model, "rating", 1.0), kind, 0
            )
        fleet.list_ends()

    def announce(self, names: list[str], state: str) -> None:
        now = self.clock.time
        for name in names:
            self.checker.told(name, state, now)
        states = dict.fromkeys(names, state)
        for host in self.hosts:
            mine = [name for name in names if self.models[name].kind != "std" or self.models[name].zone == host.zone]
            if mine:
                self.clock.later(self.random.randrange(*TOLD_AFTER), lambda host=host, mine=mine: self.list_to(host, mine, states=states))

    def offered(self, server: Server, work: int) -> None:
        self.checker.asked_of_cold(server.name, server.current_rating(), work, self.clock.time)

    def take_down(self, name: str) -> None:
        self.models[name].die()
        out, self.out_at[name] = self.out_at[name], set()
        for host, ident, number in sorted(out, key=lambda row: row[1:]):
            host.broken(ident, number)

    def bring_back(self, name: str) -> None:
        model = self.models[name]
        model.started = self.clock.time
        model.start_empty()
        self.announce([name], "up")

    # Load.

    def kb_of(self, rule: str, obj: str, part: int) -> float:
        found = self.sizes.get((obj, part))
        if found is None:
            if len(self.sizes) > 200_000:
                self.sizes.clear()
            found = self.sizes[obj, part] = round(self.middle[rule] * catalog.spread(obj, part), 1)
        return found

    def plan_next(self, row, objects, arrivals, second: float) -> None:
        second = arrivals.next(second)
        due = self.began + int(second * SECOND)
        if due < self.ends:
            self.clock.later(
                due - self.clock.time, lambda: (self.arrive(row, objects, due), self.plan_next(row, objects, arrivals, second))
            )

    def arrive(self, row, objects, due: int) -> None:
        self.send(self.outcomes.made(row, objects, due, self.kb_of))

    def send(self, txn: Txn) -> None:
        now = self.clock.time
        if now >= txn.limit_at - 20 * MS or txn.left <= 0:
            return self.ended(txn, "failed")
        txn.left -= 1
        self.outcomes.tried += 1
        host, ident = self.random.choice(self.hosts), next(self.idents)
        self.checker.sent(
            host, ident, Try(f"{ident:016x}", txn.kind, txn.obj, txn.part, catalog.group(txn.obj), txn.key, now, txn.limit_at)
        )
        host.arrive(ident, txn)

    def answered(self, host: RouterHost, ident: int, txn: Txn, word: str, issued: int | None, later: int) -> None:
        self.checker.answered(host, ident, word, self.clock.time, issued)
        if word == "completed" or txn.left <= 0 or txn.kind == "unrepeatable" and word != "rejected":
            return self.ended(txn, word)
        self.clock.later(max(later, 10 * MS), lambda: self.send(txn))

    def ended(self, txn: Txn, word: str) -> None:
        self.outcomes.ended(txn, word, self.clock.time)

    def announce_purge(self, group: int, now: int) -> None:
        self.checker.purged(None, group, now, now)
        for host in self.hosts:

            def told(host=host) -> None:
                for one in range(256) if group < 0 else (group,):
                    host.router.purged(None, one, self.clock.time - now)

            self.clock.later(self.random.randrange(*TOLD_AFTER), told)

    def sample(self) -> None:
        crowds = [model.link.active_jobs / model.link.rating for model in self.models.values() if model.kind == "std"]
        self.curve.append(
            {
                "second": round((self.clock.time - self.began) / SECOND, 2),
                "open": self.outcomes.open,
                "store": self.store.link.active_jobs,
                "caches": [round(max(crowds), 2)],
                "usual": round(sum(crowds) / len(crowds), 3),
            }
        )
        for name, out in self.out_at.items():
            self.out_at[name] = {row for row in out if row[1:] in row[0].hops}
        self.checker.forget(self.clock.time - 20 * SECOND)
        if self.clock.time < self.ends + 9 * SECOND and (self.clock.time < self.ends or self.outcomes.open):
            self.clock.later(int(self.size.tick_ms * MS), self.sample)


def run_simulation(plan) -> dict:
    """Figures like a run's on sockets, and what the run itself took. A scenario without `far` plays at its own size."""
    size = plan.far or Far(routers=plan.routers, caches=plan.servers.caches, zones=1, parents=plan.servers.parents)
    for n, fault in enumerate(plan.faults):
        if fault.what not in KNOWN:
            raise BadFile(f"faults[{n}].what: {fault.what} needs sockets")
    began, world = time.monotonic(), SimulatedWorld(plan, size)
    for row in plan.load.classes:
        objects = catalog.Popular(row, plan.seed, catalog.kind(row.rule) == "repeatable")
        world.plan_next(row, objects, catalog.Arrivals(row, plan.load.waves, plan.seed), 0.0)
    for fault in plan.faults:
        world.clock.later(int(fault.at * SECOND), lambda fault=fault: world.inject(fault))
    world.sample()
    world.clock.run(world.ends + 10 * SECOND)
    world.checker.finish(world.clock.time)
    return figures(world, time.monotonic() - began)


def figures(world: SimulatedWorld, took: float) -> dict:
    plan, counted = world.plan, world.outcomes.figures(world.store)
    found = {
        "scenario": plan.name,
        "seed": plan.seed,
        "seconds": plan.seconds,
        "build": "simulated time",
        "size": msgspec.to_builtins(world.size),
        **counted,
        "fell": world.overload_crashes,
        "worst_crowd": max((row["caches"][0] for row in world.curve if row["second"] >= plan.warm), default=0),
        "rules": {str(rule): rows for rule, rows in world.checker.violations.items()},
        "counts": dict(world.checker.counts),
        "crashed": [],
        "recovers_s": recovery_times(counted["ticks"], plan),
        "curve": world.curve,
        "events": world.clock.events,
        "took_s": round(took, 1),
        "us_a_txn": round(took / max(1, counted["tries"]) * 1e6, 1),
        "said": dict(world.said.most_common(20)),
        "memory_mb": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss // 1024,
    }
    found["missed"] = missed_expectations(found, plan.expect)
    found["passed"] = not found["missed"]
    return found
