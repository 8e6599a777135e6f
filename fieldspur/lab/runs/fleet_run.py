"""Runs a scenario whose routers form a fleet. Each router reads the lines of each other router over a link of its own, and faults hit
routers and links. Work orders are requested, and a machine is restarted once the fleet has reported it free."""

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

# Of its own for each laboratory process: otherwise a link may connect to itself.
HOST = "127.%d.%d.3" % (1 + os.getpid() // 250 % 250, 1 + os.getpid() % 250)
FOUNDING_TIMEOUT = 15 * SECOND  # for the fleet to be founded before the load
RETRY_INTERVAL = 100 * MS  # between connections to a member that does not publish


class FleetMember(RouterProcess):
    """A router that is a member of the fleet, with an operators' file and a link to each other member."""

    def __init__(self, *args):
        super().__init__(*args)
        self.listen_address = (HOST, free_port(HOST))
        self.folder = self.path.parent / f"fleet-{self.number}"
        self.folder.mkdir()
        self.links: dict[int, Relay] = {}  # by the number of the member whose lines this one reads over the link
        self.work_requests: list[dict] = []
        self.is_founder = False

    def write_operators_file(self, members: list[FleetMember]) -> None:
        """Writes the operators' file with the members' addresses and the work requests of this router."""
        fleet = self.world.plan.fleet
        value = {
            "name": "lab",
            "lease_s": fleet.lease_s,
            "unsure": fleet.unsure,
            "bounds": fleet.bounds,
            "work": self.work_requests,
            "first": self.is_founder,
            "members": {
                f"n{member.number}": (
                    "%s:%d east" % (member.listen_address if member is self else ("127.0.0.1", self.links[member.number].port))
                )
                for member in members
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
    """A run whose routers form a fleet and take machines out for maintenance."""

    ROUTER = FleetMember

    def __init__(self, plan, *args):
        super().__init__(plan, *args)
        self.chance = random.Random(f"{plan.seed} rig")
        for node in self.nodes:
            node.links = {other.number: Relay(self.loop, other.listen_address, self.chance) for other in self.nodes if other is not node}
        for node in self.nodes:
            node.write_operators_file(self.nodes)
        max_out = min(
            plan.fleet.bounds.get("at_once", 8),
            int(
                min(plan.fleet.bounds.get("zone", 0.34), max(plan.fleet.bounds.get("all", 0.25), 1 / plan.servers.caches))
                * plan.servers.caches
                + 1e-9
            ),
        )
        self.orders = Orders(self.checker, plan.routers, self.open_at, max(1, max_out))
        self.orders.on_free = self.work_on
        self.world.other_faults |= {
            "router_hup": self.hang_up_signal,
            "link_cut": self.cut_links,
            "link_stall": self.stall_links,
            "link_delay": self.delay_links,
            "link_lose": self.lose_lines,
        }
        self.manual_work: list = []
        self.manually_out: set[str] = set()

    # Before the load the fleet is founded. The run follows its state by the lines that members publish.

    def begin_load(self) -> None:
        for node in self.nodes:
            self.watch_member(node)
        self.found_fleet(self.loop.now() + FOUNDING_TIMEOUT)

    def found_fleet(self, until: int) -> None:
        """Has the first router found the fleet, and begins the load once all members publish and one is the coordinator."""
        if len(self.orders.lives) == len(self.nodes) and all(self.orders.lives.values()) and self.orders.acting:
            return super().begin_load()
        if self.loop.now() > until:
            self.orders.broken.append("the fleet did not begin; --logs keeps what its members said")
            return super().begin_load()
        node = self.nodes[0]
        node.is_founder = not node.is_founder
        self.reload_member(node)
        self.loop.later(SECOND if node.is_founder else RETRY_INTERVAL, lambda: self.found_fleet(until))

    def reload_member(self, node: FleetMember) -> None:
        """Writes the member's operators' file and sends SIGHUP so that the member reads it."""
        node.write_operators_file(self.nodes)
        if node.process.poll() is None:
            node.process.send_signal(signal.SIGHUP)

    def watch_member(self, node: FleetMember) -> None:
        """Reads the lines that a member publishes, over a connection that no fault hits."""
        conn = self.loop.connect(node.listen_address)

        def receive(buffer: bytearray) -> None:
            end = buffer.rfind(b"\n") + 1
            for line in bytes(buffer[:end]).splitlines():
                value = json.loads(line)
                if isinstance(value, dict):
                    self.orders.line(node.number, value, len(line), self.loop.now())
            del buffer[:end]

        conn.on_data, conn.on_close = receive, lambda: self.loop.later(RETRY_INTERVAL, lambda: self.watch_member(node))
        conn.write(b"watch 0\n")

    def load_begun(self) -> None:
        fleet = self.plan.fleet
        if fleet.way == "fleet":
            for index, ask in enumerate(fleet.work):
                self.loop.at(self.load_start + int(ask.at * SECOND), lambda ask=ask, index=index: self.request_work(ask, f"order-{index}"))
                if ask.drop_at:
                    self.loop.at(self.load_start + int(ask.drop_at * SECOND), lambda index=index: self.withdraw_request(index))
        elif fleet.way == "hand" and fleet.work:
            self.manual_work = [(ask.machine, ask.needs_s) for ask in fleet.work]
            self.loop.at(self.load_start + int(fleet.work[0].at * SECOND), self.drain_next)

    def request_work(self, request, ident: str) -> None:
        """Adds a work request to the operators' file of the router that the scenario names."""
        node = self.nodes[request.router % len(self.nodes)]
        row = {"id": ident, "machine": request.machine, "needs_s": request.needs_s}
        node.work_requests = [*node.work_requests, row | ({"with": list(request.beside)} if request.beside else {})]
        self.reload_member(node)

    def withdraw_request(self, index: int) -> None:
        """Takes a work request out of the operators' file again."""
        node = self.nodes[self.plan.fleet.work[index].router % len(self.nodes)]
        node.work_requests = [row for row in node.work_requests if row["id"] != f"order-{index}"]
        self.reload_member(node)

    def open_at(self, machine: str) -> list:
        """The idents of txns whose hops are open at a server, or that name the server as the source of a fill."""
        model = self.world.models[machine]
        idents = [asked.ident for asked in self.world.fronts[machine].open.values()]
        return idents + [asked.ident for front in self.world.fronts.values() for asked in front.open.values() if asked.source is model]

    def work_on(self, order) -> None:
        """The fleet has reported the machine free: its maintenance takes the time that the order needs, then the machine restarts."""
        self.loop.later(int(order.needs * SECOND), lambda: self.world.restart(order.machine))

    # For comparison, the same work by hand: machines are drained through discovery in a fixed order, with a fixed time for each.

    def drain_next(self) -> None:
        """Drains machines in order, up to the number that may be out together."""
        fleet = self.plan.fleet
        while self.manual_work and len(self.manually_out) < fleet.hand_at_once:
            machine, duration_s = self.manual_work.pop(0)
            self.manually_out.add(machine)
            self.world.announce([machine], "draining")
            self.orders.steps.append((self.loop.now(), machine, "out", machine))
            self.loop.later(
                int(fleet.hand_drain_s * SECOND), lambda machine=machine, duration_s=duration_s: self.maintain(machine, duration_s)
            )

    def maintain(self, machine: str, duration_s: float) -> None:
        """Ends the drain of a machine: maintenance, restart, and a wait until the machine counts as warmed up."""
        self.orders.steps.append((self.loop.now(), machine, "free", machine))

        def restart() -> None:
            self.world.restart(machine)
            self.orders.steps.append((self.loop.now(), machine, "back", machine))
            self.loop.later(int(self.plan.fleet.hand_warm_s * SECOND) + BACK_AFTER, finish)

        def finish() -> None:
            self.orders.steps.append((self.loop.now(), machine, "done", machine))
            self.orders.states[machine] = "done"
            self.manually_out.discard(machine)
            self.drain_next()

        self.loop.later(int(duration_s * SECOND), restart)

    # Faults of routers and of the links between them.

    def routers(self, who: str) -> list[FleetMember]:
        if who == "acting":
            return [self.nodes[self.orders.acting[-1][1]]] if self.orders.acting else []
        return super().routers(who)

    def hang_up_signal(self, fault) -> None:
        """Sends SIGHUP to the routers that the fault names."""
        for node in self.routers(fault.who):
            self.reload_member(node)

    def links_of(self, who: str) -> list[Relay]:
        """The links that a fault names. `0>1`: router 0 reads the lines of router 1 over it; `0,1|2`: between two groups, both ways;
        `0`: all links of router 0, both ways."""
        if ">" in who:
            readers, writers = (list(map(int, part.split(","))) for part in who.split(">"))
            return [self.nodes[reader].links[writer] for reader in readers for writer in writers if reader != writer]
        if "|" in who:
            groups = [list(map(int, part.split(","))) for part in who.split("|")]
            return [
                self.nodes[reader].links[writer]
                for group in groups
                for other in groups
                if group is not other
                for reader in group
                for writer in other
            ]
        numbers = {node.number for node in self.routers(who)}
        return [link for node in self.nodes for other, link in node.links.items() if (node.number in numbers) != (other in numbers)]

    def cut_links(self, fault) -> None:
        links = self.links_of(fault.who)
        for link in links:
            link.cuts(True)
        self.undo_later(fault, lambda: [link.cuts(False) for link in links])

    def stall_links(self, fault) -> None:
        links = self.links_of(fault.who)
        for link in links:
            link.stalls(True)
        self.undo_later(fault, lambda: [link.stalls(False) for link in links])

    def delay_links(self, fault) -> None:
        links = self.links_of(fault.who)
        for link in links:
            link.delay = int(fault.times * MS)
        self.undo_later(fault, lambda: [setattr(link, "delay", 0) for link in links])

    def lose_lines(self, fault) -> None:
        """Links lose a share of their lines; the fault gives the share in per cent."""
        links = self.links_of(fault.who)
        for link in links:
            link.lost = min(1.0, fault.times / 100)
        self.undo_later(fault, lambda: [setattr(link, "lost", 0.0) for link in links])

    # The result.

    def figures(self) -> dict:
        figures, fleet = super().figures(), self.plan.fleet
        steps = [
            {"second": round((at - self.load_start) / SECOND, 2), "machine": machine, "state": state, "order": ident}
            for at, machine, state, ident in self.orders.steps
        ]
        counts = self.orders.counts()
        done_seconds = [step["second"] for step in steps if step["state"] == "done"]
        first_request = min((ask.at for ask in fleet.work), default=0.0)
        min_length = self.min_length()
        length = round(max(done_seconds) - first_request, 2) if len(done_seconds) == len(fleet.work) and done_seconds else None
        seconds = max(1.0, self.plan.seconds)
        figures["fleet"] = {
            "way": fleet.way,
            "orders": counts,
            "steps": steps,
            "length_s": length,
            "floor_s": round(min_length, 2),
            "over_floor": round(length / min_length, 3) if length and min_length else None,
            "acting": [{"second": round((at - self.load_start) / SECOND, 2), "member": who} for at, who in self.orders.acting],
            "documents": len(self.orders.documents),
            "lines_a_second": round(self.orders.lines / seconds / len(self.nodes), 2),
            "bytes_a_second": round(self.orders.size / seconds / len(self.nodes)),
            "broken": self.orders.broken,
            "notes": [
                {"second": round((at - self.load_start) / SECOND, 2), "machine": machine, "note": note}
                for at, machine, note in self.orders.words[:500]
            ],
        }
        figures["missed"] += [f"orders: {text}" for text in self.orders.broken[:5]]
        done = counts.get("done", 0) + counts.get("dropped", 0)
        if fleet.way != "untouched" and done < self.plan.expect.orders * len(fleet.work):
            figures["missed"].append(f"orders: {counts}, at least {self.plan.expect.orders:g} of {len(fleet.work)} done expected")
        figures["passed"] = not figures["missed"]
        return figures

    def min_length(self) -> float:
        """The least time in seconds that a plan within the bounds takes for all orders, as the planner computes it."""
        fleet, servers = self.plan.fleet, self.plan.servers
        machines = {
            name: planner.Machine("east", model.kind == "parent", model.rating, 0.0, 0.0)
            for name, model in self.world.models.items()
            if model.kind in ("std", "parent")
        }
        field_names = {"fills_s": "fills"}
        machine_pool = planner.MachinePool(
            machines, planner.Bounds(**{field_names.get(key, key): bound for key, bound in fleet.bounds.items()})
        )
        units = [
            planner.Unit(f"{index}", frozenset((ask.machine,)), PLANNED_DRAIN_S + ask.needs_s + servers.ramp_s)
            for index, ask in enumerate(fleet.work)
        ]
        return planner.make_plan(units, [], machine_pool).min_length if units else 0.0
