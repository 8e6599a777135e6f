"""Routers that settle things among themselves, as a scenario's `fleet` wants them: processes with a link of its own for each directed
pair, what goes wrong with both, orders of work, and machines that are worked on once they are free."""

from __future__ import annotations

import json
import os
import random
import signal

from fieldspur.bench.path import free_port
from fieldspur.fleet import planner
from fieldspur.fleet.coordinator import PLANNED_DRAIN_S
from fieldspur.lab.checks.work_order_checker import Orders
from fieldspur.lab.emulate.faults import BACK_AFTER
from fieldspur.lab.emulate.peer_links import Relay
from fieldspur.lab.emulate.server_model import MS, SECOND
from fieldspur.lab.runs.scenario_run import RouterProcess, ScenarioRun

HOST = "127.%d.%d.3" % (1 + os.getpid() // 250 % 250, 1 + os.getpid() % 250)  # else a link may connect to itself
FOUND_WAIT = 15 * SECOND
AGAIN = 100 * MS  # a member that does not publish is asked again


class FleetMember(RouterProcess):
    """A router with an operators' file."""

    def __init__(self, *about):
        super().__init__(*about)
        self.where = (HOST, free_port(HOST))
        self.folder = self.path.parent / f"fleet-{self.number}"
        self.folder.mkdir()
        self.links: dict[int, Relay] = {}  # what it reads of each other
        self.wishes: list[dict] = []
        self.first = False

    def write_wishes(self, members: list[FleetMember]) -> None:
        fleet = self.world.plan.fleet
        value = {
            "name": "lab",
            "lease_s": fleet.lease_s,
            "unsure": fleet.unsure,
            "bounds": fleet.bounds,
            "work": self.wishes,
            "first": self.first,
            "members": {
                f"n{one.number}": ("%s:%d east" % (one.where if one is self else ("127.0.0.1", self.links[one.number].port)))
                for one in members
            },
        }
        if fleet.folder:
            value["folder"] = str(self.folder)
        path = self.folder / "operators.json"
        path.write_text(json.dumps({"fleet": value}))
        self.env["LB_OPERATORS"] = str(path)

    def forget(self) -> None:
        for path in self.folder.glob("fleet.sqlite3*"):
            path.unlink()


class FleetRun(ScenarioRun):
    ROUTER = FleetMember

    def __init__(self, plan, *about):
        super().__init__(plan, *about)
        self.chance = random.Random(f"{plan.seed} rig")
        for a in self.nodes:
            a.links = {b.number: Relay(self.loop, b.where, self.chance) for b in self.nodes if b is not a}
        for node in self.nodes:
            node.write_wishes(self.nodes)
        most = min(
            plan.fleet.bounds.get("at_once", 8),
            int(
                min(plan.fleet.bounds.get("zone", 0.34), max(plan.fleet.bounds.get("all", 0.25), 1 / plan.servers.caches))
                * plan.servers.caches
                + 1e-9
            ),
        )
        self.orders = Orders(self.checker, plan.routers, self.open_at, max(1, most))
        self.orders.on_free = self.work_on
        self.world.other_faults |= {
            "router_hup": self.hup,
            "link_cut": self.cut,
            "link_stall": self.stall,
            "link_delay": self.delay,
            "link_lose": self.lose,
        }
        self.hand: list = []
        self.hand_out: set[str] = set()

    # Before the load: a fleet that begins, seen by what its members publish.

    def go(self) -> None:
        for node in self.nodes:
            self.watch(node)
        self.found(self.loop.now() + FOUND_WAIT)

    def found(self, until: int) -> None:
        if len(self.orders.lives) == len(self.nodes) and all(self.orders.lives.values()) and self.orders.acting:
            return super().go()
        if self.loop.now() > until:
            self.orders.broken.append("the fleet did not begin; --logs keeps what its members said")
            return super().go()
        node = self.nodes[0]
        node.first = not node.first
        self.told(node)
        self.loop.later(SECOND if node.first else AGAIN, lambda: self.found(until))

    def told(self, node: FleetMember) -> None:
        node.write_wishes(self.nodes)
        if node.process.poll() is None:
            node.process.send_signal(signal.SIGHUP)

    def watch(self, node: FleetMember) -> None:
        """The laboratory's own look at what a member publishes, not over a link."""
        conn = self.loop.connect(node.where)

        def data(held: bytearray) -> None:
            at = held.rfind(b"\n") + 1
            for line in bytes(held[:at]).splitlines():
                value = json.loads(line)
                if isinstance(value, dict):
                    self.orders.line(node.number, value, len(line), self.loop.now())
            del held[:at]

        conn.on_data, conn.on_close = data, lambda: self.loop.later(AGAIN, lambda: self.watch(node))
        conn.write(b"watch 0\n")

    def begun(self) -> None:
        fleet = self.plan.fleet
        if fleet.way == "fleet":
            for n, ask in enumerate(fleet.work):
                self.loop.at(self.begin + int(ask.at * SECOND), lambda ask=ask, n=n: self.ask(ask, f"order-{n}"))
                if ask.drop_at:
                    self.loop.at(self.begin + int(ask.drop_at * SECOND), lambda n=n: self.drop(n))
        elif fleet.way == "hand" and fleet.work:
            self.hand = [(ask.machine, ask.needs_s) for ask in fleet.work]
            self.loop.at(self.begin + int(fleet.work[0].at * SECOND), self.by_hand)

    def ask(self, ask, ident: str) -> None:
        node = self.nodes[ask.router % len(self.nodes)]
        row = {"id": ident, "machine": ask.machine, "needs_s": ask.needs_s}
        node.wishes = [*node.wishes, row | ({"with": list(ask.beside)} if ask.beside else {})]
        self.told(node)

    def drop(self, n: int) -> None:
        node = self.nodes[self.plan.fleet.work[n].router % len(self.nodes)]
        node.wishes = [row for row in node.wishes if row["id"] != f"order-{n}"]
        self.told(node)

    def open_at(self, machine: str) -> list:
        """Requests that a server has open, or that name it as where a miss is filled from."""
        model = self.world.models[machine]
        found = [asked.ident for asked in self.world.fronts[machine].open.values()]
        return found + [asked.ident for front in self.world.fronts.values() for asked in front.open.values() if asked.source is model]

    def work_on(self, order) -> None:
        """The machine is free: somebody works on it, and then it starts again."""
        self.loop.later(int(order.needs * SECOND), lambda: self.world.restart(order.machine))

    # The same work as people do it today: the board drains one after the other in a fixed order, a fixed time each.

    def by_hand(self) -> None:
        fleet = self.plan.fleet
        while self.hand and len(self.hand_out) < fleet.hand_at_once:
            machine, needs = self.hand.pop(0)
            self.hand_out.add(machine)
            self.world.announce([machine], "draining")
            self.orders.steps.append((self.loop.now(), machine, "out", machine))
            self.loop.later(int(fleet.hand_drain_s * SECOND), lambda machine=machine, needs=needs: self.at_work(machine, needs))

    def at_work(self, machine: str, needs: float) -> None:
        self.orders.steps.append((self.loop.now(), machine, "free", machine))

        def over() -> None:
            self.world.restart(machine)
            self.orders.steps.append((self.loop.now(), machine, "back", machine))
            self.loop.later(int(self.plan.fleet.hand_warm_s * SECOND) + BACK_AFTER, done)

        def done() -> None:
            self.orders.steps.append((self.loop.now(), machine, "done", machine))
            self.orders.states[machine] = "done"
            self.hand_out.discard(machine)
            self.by_hand()

        self.loop.later(int(needs * SECOND), over)

    # What goes wrong with routers and between them.

    def routers(self, who: str) -> list[FleetMember]:
        if who == "acting":
            return [self.nodes[self.orders.acting[-1][1]]] if self.orders.acting else []
        return super().routers(who)

    def hup(self, fault) -> None:
        for node in self.routers(fault.who):
            self.told(node)

    def links(self, who: str) -> list[Relay]:
        """`0>1`: what 0 reads of 1; `0,1|2`: between groups, both ways; `0`: all from and to it."""
        if ">" in who:
            a, b = (list(map(int, part.split(","))) for part in who.split(">"))
            return [self.nodes[x].links[y] for x in a for y in b if x != y]
        if "|" in who:
            groups = [list(map(int, part.split(","))) for part in who.split("|")]
            return [self.nodes[x].links[y] for one in groups for other in groups if one is not other for x in one for y in other]
        mine = {node.number for node in self.routers(who)}
        return [link for node in self.nodes for other, link in node.links.items() if (node.number in mine) != (other in mine)]

    def cut(self, fault) -> None:
        links = self.links(fault.who)
        for link in links:
            link.cuts(True)
        self.over(fault, lambda: [link.cuts(False) for link in links])

    def stall(self, fault) -> None:
        links = self.links(fault.who)
        for link in links:
            link.stalls(True)
        self.over(fault, lambda: [link.stalls(False) for link in links])

    def delay(self, fault) -> None:
        links = self.links(fault.who)
        for link in links:
            link.delay = int(fault.times * MS)
        self.over(fault, lambda: [setattr(link, "delay", 0) for link in links])

    def lose(self, fault) -> None:
        links = self.links(fault.who)
        for link in links:
            link.lost = min(1.0, fault.times / 100)
        self.over(fault, lambda: [setattr(link, "lost", 0.0) for link in links])

    # What came out.

    def figures(self) -> dict:
        found, fleet = super().figures(), self.plan.fleet
        steps = [
            {"second": round((at - self.begin) / SECOND, 2), "machine": machine, "state": state, "order": ident}
            for at, machine, state, ident in self.orders.steps
        ]
        counts = self.orders.counts()
        whole = [step["second"] for step in steps if step["state"] == "done"]
        asked = min((ask.at for ask in fleet.work), default=0.0)
        floor = self.min_length()
        length = round(max(whole) - asked, 2) if len(whole) == len(fleet.work) and whole else None
        seconds = max(1.0, self.plan.seconds)
        found["fleet"] = {
            "way": fleet.way,
            "orders": counts,
            "steps": steps,
            "length_s": length,
            "floor_s": round(floor, 2),
            "over_floor": round(length / floor, 3) if length and floor else None,
            "acting": [{"second": round((at - self.begin) / SECOND, 2), "member": who} for at, who in self.orders.acting],
            "documents": len(self.orders.documents),
            "lines_a_second": round(self.orders.lines / seconds / len(self.nodes), 2),
            "bytes_a_second": round(self.orders.size / seconds / len(self.nodes)),
            "broken": self.orders.broken,
            "notes": [
                {"second": round((at - self.begin) / SECOND, 2), "machine": machine, "note": note}
                for at, machine, note in self.orders.words[:500]
            ],
        }
        found["missed"] += [f"orders: {text}" for text in self.orders.broken[:5]]
        done = counts.get("done", 0) + counts.get("dropped", 0)
        if fleet.way != "untouched" and done < self.plan.expect.orders * len(fleet.work):
            found["missed"].append(f"orders: {counts}, at least {self.plan.expect.orders:g} of {len(fleet.work)} done expected")
        found["passed"] = not found["missed"]
        return found

    def min_length(self) -> float:
        """s that no plan within the bounds can be shorter than, as the planner says for the machines as they are."""
        fleet, servers = self.plan.fleet, self.plan.servers
        machines = {
            name: planner.Machine("east", model.kind == "parent", model.rating, 0.0, 0.0)
            for name, model in self.world.models.items()
            if model.kind in ("std", "parent")
        }
        names = {"fills_s": "fills"}
        park = planner.MachinePool(machines, planner.Bounds(**{names.get(key, key): to for key, to in fleet.bounds.items()}))
        units = [
            planner.Unit(f"{n}", frozenset((ask.machine,)), PLANNED_DRAIN_S + ask.needs_s + servers.ramp_s)
            for n, ask in enumerate(fleet.work)
        ]
        return planner.make_plan(units, [], park).min_length if units else 0.0
