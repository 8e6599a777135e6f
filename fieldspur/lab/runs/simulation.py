"""Runs a scenario at large size in simulated time: the decision modules of hundreds of routers and the models of the servers, in one
thread and without sockets. Its assumptions are in docs/design/laboratory.md."""

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

NETWORK_DELAY = MS // 2  # one way between router and server
DISCOVERY_DELAY = 20 * MS, 150 * MS  # least and greatest time until a list change or a purge reaches a router
NOTES = {  # by the server's note on the wire: how the decision module counts it
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
RESULTS = {  # by the first word of a server's reply: the result of the hop
    "ACK": "completed",
    "NOENT": "missing",
    "AGAIN": "full",
    "EIO": "error",
}
SUPPORTED_FAULTS = Faults.SUPPORTED_FAULTS - {"stop"}


class Clock:
    """Simulated time: runs callbacks in the order of the times that they are due."""

    def __init__(self, begin: int):
        self.time, self.due, self.order, self.events = begin, [], itertools.count(), 0

    def now(self) -> int:
        return self.time

    def later(self, delay: int, callback) -> None:
        heapq.heappush(self.due, (self.time + max(0, delay), next(self.order), callback))

    def run(self, until: int) -> None:
        due = self.due
        while due and due[0][0] <= until:
            self.time, _, callback = heapq.heappop(due)
            self.events += 1
            callback()
        self.time = until


class RouterHost:
    """The host of one Router in simulated time."""

    def __init__(self, world: SimulatedWorld, number: int, zone: int, site):
        self.world, self.number, self.zone = world, number, zone
        self.clock = world.clock
        self.open_txns: dict[int, Txn] = {}
        self.hops: dict[tuple, ReceivedHop] = {}
        self.hop_counts: Counter = Counter()
        self.router = build_router(self, world.plan.seed * 1000 + number, site)

    def now(self) -> int:
        return self.clock.time

    def arrive(self, ident: int, txn: Txn) -> None:
        """A client's request reaches this router."""
        self.open_txns[ident] = txn
        rule = self.world.rule_at[txn.rule]
        self.router.txn_arrived(ident, rule, txn.obj, txn.part, txn.limit_at - self.clock.time, txn.kb, catalog.group(txn.obj))

    def send_hop(self, ident, server, cut_at, source, rank, max_age, join, renew, fetch, go_by) -> None:
        world, txn, sent_at = self.world, self.open_txns[ident], self.clock.time
        number = self.hop_counts[ident]
        self.hop_counts[ident] += 1
        model, name = world.models[server], f"{ident:016x}"
        entry: list = []  # the checker's record of the hop, once the hop has reached the server

        def end(outcome: str, note: str, queued_ns: int, copy) -> None:
            if entry and entry[0] is not None:
                entry[0].end = outcome
            self.clock.later(
                NETWORK_DELAY,
                lambda: self.hop_ended(ident, number, RESULTS[outcome], sent_at, NOTES.get(note, 0), queued_ns, copy, model.load()),
            )

        hop = ReceivedHop(
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
        self.hops[ident, number] = hop

        def reach_server() -> None:
            if hop.finished:
                return
            if not model.up:
                hop.finished = True
                return self.hop_ended(ident, number, "unreachable", sent_at)
            entry.append(world.checker.hop_arrived(server, source if source != server else None, name, self.clock.time))
            world.open_hops[server].add((self, ident, number))
            model.receive(hop)

        self.clock.later(NETWORK_DELAY, reach_server)
        self.clock.later(cut_at - sent_at, lambda: self.end_hop_early(ident, number, sent_at, "timed_out"))

    def end_hop_early(self, ident: int, number: int, sent_at: int, result: str) -> None:
        hop = self.hops.get((ident, number))
        if hop is not None and not hop.finished:
            hop.give_up()
            self.hop_ended(ident, number, result, sent_at)

    def hop_ended(self, ident, number, result, sent_at, note=0, queued_ns=None, copy=None, load=None) -> None:
        hop = self.hops.pop((ident, number), None)
        if hop is None:
            return
        txn = self.open_txns.get(ident)
        final = result == "completed" or txn is None
        if result == "completed" and txn is not None:
            self.answer(ident, "completed", copy.issued)
        self.router.hop_ended(ident, number, result, self.clock.time - sent_at, final, note, queued_ns, load)

    def server_crashed(self, ident: int, number: int) -> None:
        """The server of an open hop has crashed."""
        hop = self.hops.get((ident, number))
        if hop is not None and not hop.finished:
            hop.give_up()
            self.clock.later(NETWORK_DELAY, lambda: self.hop_ended(ident, number, "broken", self.clock.time))

    def cancel(self, ident, number) -> None:
        sent_at = self.clock.time
        self.clock.later(0, lambda: self.end_hop_early(ident, number, sent_at, "cancelled"))

    def reject(self, ident, retry_after) -> None:
        self.answer(ident, "rejected", retry_after=retry_after)

    def abort(self, ident) -> None:
        self.answer(ident, "aborted")

    def answer(self, ident: int, outcome: str, issued: int | None = None, retry_after: int = 0) -> None:
        txn = self.open_txns.pop(ident, None)
        if txn is not None:
            self.hop_counts.pop(ident, None)
            self.world.answered(self, ident, txn, outcome, issued, retry_after)

    def set_alarm(self, label, at) -> None:
        self.clock.later(at - self.clock.time, lambda: self.router.alarm_fired(label))

    def cancel_alarm(self, label) -> None:
        """The callback stays in the heap; the router ignores an alarm that it has cancelled."""

    def probe(self, server) -> None:
        sent_at, model = self.clock.time, self.world.models[server]
        if model.up and not model.silent:
            self.clock.later(2 * NETWORK_DELAY, lambda: self.router.probe_ended(server, "completed", 2 * NETWORK_DELAY, model.load()))
        else:
            self.clock.later(400 * MS, lambda: self.router.probe_ended(server, "timed_out", self.clock.time - sent_at, None))

    def log(self, text: str) -> None:
        """Counts log texts without names of servers, which would make each text a different one."""
        self.world.log_counts[text.split(" for ")[0].rpartition(" ")[0] + " " + text.rpartition(": ")[2]] += 1


class SimulatedWorld(Faults):
    """All routers and servers of a scenario, with the load, in one simulated time."""

    def __init__(self, plan, size: Far):
        super().__init__(Clock(1_000 * SECOND), random.Random(f"{plan.seed} far"))
        self.plan, self.size = plan, size
        self.load_start = self.clock.time
        self.checker = Checker(plan.servers.fall_multiple, routers=max(1, size.routers // size.zones))
        self.log_counts: Counter = Counter()
        rows, everywhere = plan.servers, size.routers
        self.store = Store(self.clock, rows.store_rating, int(rows.store_ms * MS))
        self.store.on_effect = self.checker.effect
        self.models["store"] = self.store
        self.zones: list[list[str]] = [[] for _ in range(size.zones)]
        # The open hops of each server as (host, ident, number). Finished hops are removed at each sample.
        self.open_hops: dict[str, set] = {"store": set()}
        for kind, count, rating, memory_mb in (
            ("std", size.caches, rows.rating, rows.cache_mb),
            ("parent", size.parents, rows.parent_rating, rows.parent_mb),
        ):
            for n in range(count):
                name, zone = f"{'cache' if kind == 'std' else 'parent'}-{n}", n % size.zones
                model = Server(self.clock, name, kind, rating, memory_mb * 1024, catalog.KB_PER_S, rows, zone=zone, seed=plan.seed)
                model.store, model.on_offered, model.on_fall = self.store, self.offered, self.crash_overloaded
                self.models[name] = model
                self.open_hops[name] = set()
                if kind == "std":
                    self.zones[zone].append(name)
        self.parents = [name for name in self.models if name.startswith("parent")]
        zones = tuple(f"zone-{n}" for n in range(size.zones))
        self.hosts = []
        for number in range(size.routers):
            zone = number % size.zones
            routers_in_zone = len(range(zone, size.routers, size.zones))
            config = sample_settings.settings(zone=zone, zones=zones, routers=routers_in_zone, everywhere=everywhere)
            config["guarantees"] |= dict(coldFrom=rows.cold_share, rampTimeUs=int(rows.ramp_s * 1e6), fallMultiple=rows.fall_multiple)
            config["familyInfo"] |= dict(
                upperColdFrom=rows.cold_share, parentRampUs=int(rows.ramp_s * 1e6), upperFallMultiple=rows.fall_multiple
            )
            self.hosts.append(RouterHost(self, number, zone, deployment(config)))
        self.rule_at = {rule["name"]: index for index, rule in enumerate(sample_settings.RULES)}
        for host in self.hosts:
            self.send_list(host, ["store", *self.parents, *self.zones[host.zone]], True)
        self.middle_kb = {txn_class.rule: txn_class.kb for txn_class in plan.load.classes}
        self.idents = itertools.count(1)
        self.curve: list[dict] = []
        self.outcomes = Outcomes(plan, self.load_start, self.random)
        self.load_end = self.outcomes.ends
        self.sizes: dict[tuple, float] = {}

    # The server list.

    def send_list(self, host: RouterHost, names: list[str], complete: bool = False, states: dict | None = None) -> None:
        pool = host.router.pool
        pool.list_begins(complete)
        for name in names:
            model = self.models[name]
            kind = {"std": 0, "parent": 1, "origin": 2}[model.kind]
            pool.server_listed(
                name, (states or {}).get(name, "up"), model.started, model.zone if kind == 0 else 0, getattr(model, "rating", 1.0), kind, 0
            )
        pool.list_ends()

    def announce(self, names: list[str], state: str) -> None:
        now = self.clock.time
        for name in names:
            self.checker.state_announced(name, state, now)
        states = dict.fromkeys(names, state)
        for host in self.hosts:
            affected = [name for name in names if self.models[name].kind != "std" or self.models[name].zone == host.zone]
            if affected:
                self.clock.later(
                    self.random.randrange(*DISCOVERY_DELAY),
                    lambda host=host, affected=affected: self.send_list(host, affected, states=states),
                )

    def offered(self, server: Server, work: int) -> None:
        self.checker.slow_start_work(server.name, server.current_rating(), work, self.clock.time)

    def take_down(self, name: str) -> None:
        self.models[name].die()
        hops, self.open_hops[name] = self.open_hops[name], set()
        for host, ident, number in sorted(hops, key=lambda hop: hop[1:]):
            host.server_crashed(ident, number)

    def bring_back(self, name: str) -> None:
        model = self.models[name]
        model.started = self.clock.time
        model.start_empty()
        self.announce([name], "up")

    # The load.

    def kb_of(self, rule: str, obj: str, part: int) -> float:
        size = self.sizes.get((obj, part))
        if size is None:
            if len(self.sizes) > 200_000:
                self.sizes.clear()
            size = self.sizes[obj, part] = round(self.middle_kb[rule] * catalog.spread(obj, part), 1)
        return size

    def plan_next(self, txn_class, objects, arrivals, second: float) -> None:
        second = arrivals.next(second)
        due = self.load_start + int(second * SECOND)
        if due < self.load_end:
            self.clock.later(
                due - self.clock.time, lambda: (self.arrive(txn_class, objects, due), self.plan_next(txn_class, objects, arrivals, second))
            )

    def arrive(self, txn_class, objects, due: int) -> None:
        self.send(self.outcomes.create_txn(txn_class, objects, due, self.kb_of))

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

    def answered(self, host: RouterHost, ident: int, txn: Txn, outcome: str, issued: int | None, retry_after: int) -> None:
        self.checker.answered(host, ident, outcome, self.clock.time, issued)
        if outcome == "completed" or txn.left <= 0 or txn.kind == "unrepeatable" and outcome != "rejected":
            return self.ended(txn, outcome)
        self.clock.later(max(retry_after, 10 * MS), lambda: self.send(txn))

    def ended(self, txn: Txn, outcome: str) -> None:
        self.outcomes.ended(txn, outcome, self.clock.time)

    def announce_purge(self, group: int, now: int) -> None:
        self.checker.purged(None, group, now, now)
        for host in self.hosts:

            def receive_purge(host=host) -> None:
                for purged_group in range(256) if group < 0 else (group,):
                    host.router.purged(None, purged_group, self.clock.time - now)

            self.clock.later(self.random.randrange(*DISCOVERY_DELAY), receive_purge)

    def sample(self) -> None:
        """Adds a point to the curve and forgets what is over."""
        utilizations = [model.link.active_jobs / model.link.rating for model in self.models.values() if model.kind == "std"]
        self.curve.append(
            {
                "second": round((self.clock.time - self.load_start) / SECOND, 2),
                "open": self.outcomes.open,
                "store": self.store.link.active_jobs,
                "caches": [round(max(utilizations), 2)],
                "usual": round(sum(utilizations) / len(utilizations), 3),
            }
        )
        for name, hops in self.open_hops.items():
            self.open_hops[name] = {hop for hop in hops if hop[1:] in hop[0].hops}
        self.checker.forget(self.clock.time - 20 * SECOND)
        if self.clock.time < self.load_end + 9 * SECOND and (self.clock.time < self.load_end or self.outcomes.open):
            self.clock.later(int(self.size.tick_ms * MS), self.sample)


def run_simulation(plan) -> dict:
    """Runs a scenario in simulated time. Returns the same figures as a run on sockets, with the time and memory that the simulation took.
    A scenario without `far` runs at the size that it has on sockets."""
    size = plan.far or Far(routers=plan.routers, caches=plan.servers.caches, zones=1, parents=plan.servers.parents)
    for index, fault in enumerate(plan.faults):
        if fault.what not in SUPPORTED_FAULTS:
            raise BadFile(f"faults[{index}].what: {fault.what} needs sockets")
    started_at, world = time.monotonic(), SimulatedWorld(plan, size)
    for txn_class in plan.load.classes:
        objects = catalog.Popular(txn_class, plan.seed, catalog.kind(txn_class.rule) == "repeatable")
        world.plan_next(txn_class, objects, catalog.Arrivals(txn_class, plan.load.waves, plan.seed), 0.0)
    for fault in plan.faults:
        world.clock.later(int(fault.at * SECOND), lambda fault=fault: world.inject(fault))
    world.sample()
    world.clock.run(world.load_end + 10 * SECOND)
    world.checker.finish(world.clock.time)
    return figures(world, time.monotonic() - started_at)


def figures(world: SimulatedWorld, elapsed_s: float) -> dict:
    """The figures of a finished run, which took `elapsed_s` seconds of real time."""
    plan, outcome_figures = world.plan, world.outcomes.figures(world.store)
    result = {
        "scenario": plan.name,
        "seed": plan.seed,
        "seconds": plan.seconds,
        "build": "simulated time",
        "size": msgspec.to_builtins(world.size),
        **outcome_figures,
        "fell": world.overload_crashes,
        "worst_crowd": max((point["caches"][0] for point in world.curve if point["second"] >= plan.warm), default=0),
        "rules": {str(rule): rows for rule, rows in world.checker.violations.items()},
        "counts": dict(world.checker.counts),
        "crashed": [],
        "recovers_s": recovery_times(outcome_figures["ticks"], plan),
        "curve": world.curve,
        "events": world.clock.events,
        "took_s": round(elapsed_s, 1),
        "us_a_txn": round(elapsed_s / max(1, outcome_figures["tries"]) * 1e6, 1),
        "said": dict(world.log_counts.most_common(20)),
        "memory_mb": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss // 1024,
    }
    result["missed"] = missed_expectations(result, plan.expect)
    result["passed"] = not result["missed"]
    return result
