"""Plays a soak: routers under the fault shim, proxies before servers and discovery, clients that leave, invariants as its oracle."""

from __future__ import annotations

import random
import signal
import tempfile
import time
from pathlib import Path

import msgspec

from fieldspur.bench.sample_settings import RULES
from fieldspur.lab.checks.invariants import Invariants
from fieldspur.lab.emulate import wire
from fieldspur.lab.emulate.event_loop import Conn
from fieldspur.lab.emulate.server_model import MS, SECOND
from fieldspur.lab.runs.scenario_run import LabFailed, ScenarioRun
from fieldspur.lab.soak import plan as planning
from fieldspur.lab.soak.clients import SoakLoadGenerator
from fieldspur.lab.soak.node import AFTER, BEFORE, SoakRouter
from fieldspur.lab.soak.world import SoakWorld

STILL_NEW = 300 * MS  # after SIGTERM: new connections
# A router is killed so long after SIGTERM, and its longest deadline, or DEADLINE_COUNTED if that is less, after that.
KILLED_AFTER, DEADLINE_COUNTED = 700 * MS, 3000 * MS
END_SEEN = 50 * MS  # from a process' end until the ends of its connections have been seen
FURTHER_SIGNALS = 600 * MS  # after SIGTERM, in which further signals may come
READY_MOST, READY_LONGEST = 10.0, 30.0  # seconds: nine in ten, all
HEARD_AFTER = {"watch_stall": 500 * MS, "watch_cut": 1500 * MS}  # until a router has caught up after that
SETTLED = 8 * SECOND  # after the load, until what was used is given back
ASK_READY, READY_ANSWER = wire.HEAD.pack(5 + 1, 80, 1) + b"\0", 81
SPARE_FILES, SPARE_THREADS = 6, 4  # above the level before the load
MEMORY_SHARE = 0.9  # of its limit, that a router's peak stays under
KEPT_SHARE = 1 / 8  # of its limit, that a router may keep after the load beyond what it had before
CROWD_AT_ONCE, CROWD_PAUSE, CROWD_AFTER = 10, 20 * MS, SECOND  # idle connections opened together; until the next; until their end is seen


class Soak(ScenarioRun):
    ROUTER, WORLD, LOAD_GENERATOR = SoakRouter, SoakWorld, SoakLoadGenerator
    ALWAYS_SHIM = True

    def __init__(self, plan, build, logs, command, live):
        self.kept_logs = tempfile.TemporaryDirectory(prefix="fieldspur-soak-") if logs is None else None
        self.log_folder = Path(logs or self.kept_logs.name)
        super().__init__(plan, build, str(self.log_folder), command, live)
        self.world.other_faults |= {
            "clock_step": self.clock_step,
            "late_dials": self.late_dials,
            "watch_stall": self.watch_stall,
            "watch_cut": self.watch_cut,
            "crowd": self.crowd,
        }
        self.chance = random.Random(f"{plan.seed} signals")
        self.ready_after: list[float] = []
        self.came_up = True

    def make_checker(self) -> Invariants:
        return Invariants(
            self.plan.servers.fall_multiple,
            self.plan.routers,
            self.second,
            self.loop.stall,
            self.loop.later,
            lambda server: self.world.unread(server),
        )

    def await_ready(self, end: float) -> None:
        """All start together; the load begins once each has said that it is ready."""
        waiting = {node.number for node in self.nodes}

        def ready(node: SoakRouter) -> None:
            waiting.discard(node.number)
            if not waiting:
                self.begin_load()

        def look(node: SoakRouter) -> None:
            if self.loop.stopped:
                return
            if time.monotonic() > end or node.process.poll() is not None:
                self.loop.stopped = True
                self.came_up = False
                return
            self.ask_ready(node, lambda: ready(node), lambda: look(node))

        for node in self.nodes:
            look(node)

    def second(self) -> float:
        """Of the run, as in the list of its faults."""
        return (self.loop.now() - getattr(self, "load_start", self.loop.now())) / SECOND

    def load_begun(self) -> None:
        self.load.killed = lambda router: self.nodes[router].killed
        self.loop.stalls.clear()  # of starting all processes, before anything was judged
        self.checker.most_lag = 0
        for node in self.nodes:
            node.sample(BEFORE)
            node.level = dict(node.samples[-1]) if node.samples else {}

    # Troubles of routers.

    def clock_step(self, fault) -> None:
        self.apply_to_routers(fault, lambda node: node.shim.step_clock(fault.times), lambda node: node.shim.step_clock(0))

    def late_dials(self, fault) -> None:
        self.apply_to_routers(fault, lambda node: node.shim.dial_delay(int(fault.times)), lambda node: node.shim.dial_delay(0))

    def deaf(self, fault) -> None:
        until = self.loop.now() + int(fault.lasts * SECOND) + HEARD_AFTER[fault.what]
        for node in self.routers(fault.who):
            self.checker.deaf_until[node.number] = max(until, self.checker.deaf_until.get(node.number, 0))

    def watch_stall(self, fault) -> None:
        self.deaf(fault)
        self.apply_to_routers(
            fault,
            lambda node: [link.stalls(True) for link in node.links.values()],
            lambda node: [link.stalls(False) for link in node.links.values()],
        )

    def watch_cut(self, fault) -> None:
        self.deaf(fault)
        self.apply_to_routers(
            fault,
            lambda node: [link.cuts(True) for link in node.links.values()],
            lambda node: [link.cuts(False) for link in node.links.values()],
        )

    def kill(self, fault) -> None:
        for node in self.routers(fault.who):
            if node.process.poll() is None and self.here(node):
                super().kill(msgspec.structs.replace(fault, who=str(node.number)))

    def pause(self, fault) -> None:
        for node in self.routers(fault.who):
            if node.process.poll() is None and self.here(node):
                super().pause(msgspec.structs.replace(fault, who=str(node.number)))

    def crowd(self, fault) -> None:
        """Idle clients fill the descriptors of some routers; one that is closed comes again."""
        until = self.loop.now() + int(fault.lasts * SECOND)
        for node in self.routers(fault.who):
            self.load.crowded_until[node.number] = max(self.load.crowded_until[node.number], until + CROWD_AFTER)
            self.crowd_in(node, int(fault.times), until)

    def crowd_in(self, node: SoakRouter, left: int, until: int) -> None:
        if left <= 0 or self.loop.now() >= until:
            return
        for _ in range(min(left, CROWD_AT_ONCE)):
            self.idle_client(node, until)
        self.loop.later(CROWD_PAUSE, lambda: self.crowd_in(node, left - CROWD_AT_ONCE, until))

    def idle_client(self, node: SoakRouter, until: int) -> None:
        conn: Conn = self.loop.connect(node.address)
        conn.on_close = lambda: self.loop.later(SECOND // 5, lambda: self.loop.now() < until and self.idle_client(node, until))
        self.loop.at(until, conn.close)

    def here(self, node: SoakRouter) -> bool:
        """Whether it serves: not being restarted, killed or stopped."""
        return self.load.gone_until[node.number] <= self.loop.now() and not node.sleeping() and not node.ending

    def router_restart(self, fault) -> None:
        """SIGTERM. New connections come for a while yet, requests on open ones for longer."""
        node = self.router_of(fault)
        if node.process.poll() is not None or not self.here(node):
            return
        node.ended_at, node.ending = self.loop.now(), True
        node.process.send_signal(signal.SIGTERM)
        for _ in range(self.chance.choice((0, 0, 1, 3))):
            again = self.chance.choice((signal.SIGHUP, signal.SIGTERM))
            self.loop.later(int(self.chance.random() * FURTHER_SIGNALS), lambda again=again: self.signal(node, again))
        self.loop.later(STILL_NEW, lambda: self.load.gone_until.__setitem__(node.number, self.loop.now() + 3600 * SECOND))
        starts = node.starts
        self.loop.later(self.kill_after(node), lambda: node.starts == starts and self.kill_at_end(node))
        self.await_end(node)

    @staticmethod
    def signal(node: SoakRouter, number: int) -> None:
        if node.ending and node.process.poll() is None:
            node.process.send_signal(number)

    @staticmethod
    def kill_after(node: SoakRouter) -> int:
        """How long after SIGTERM a router may be killed, in ns."""
        longest = max(node.deadline_us(rule["hardLimitUs"]) for rule in RULES) * 1000
        return min(longest, DEADLINE_COUNTED) + KILLED_AFTER

    def kill_at_end(self, node: SoakRouter) -> None:
        """A router that was told to end has had its time."""
        if node.process.poll() is not None:
            return
        if not node.sleeping():
            self.checker.killed(self.load.connections[node.number], self.loop.now(), node.ended_at)
            self.checker.broke(
                "shutdown",
                f"router {node.number}: still there when it was killed, {(self.loop.now() - node.ended_at) // MS} ms after SIGTERM",
            )
        node.killed = True
        node.process.kill()

    def await_end(self, node: SoakRouter) -> None:
        if node.process.poll() is None:
            return self.loop.later(20 * MS, lambda: self.await_end(node))
        if node.process.returncode and not node.killed:
            self.checker.broke("crash", f"router {node.number}: ended with code {node.process.returncode} on SIGTERM")
        self.loop.later(END_SEEN, lambda: self.start_again(node))

    def start_again(self, node: SoakRouter) -> None:
        node.ending = False
        node.start()
        self.loop.later(SECOND // 10, lambda: self.await_back(node))

    def await_back(self, node: SoakRouter) -> None:
        took = time.monotonic() - node.started_at
        if node.process.poll() is not None:
            self.checker.broke(
                "crash", f"router {node.number}: did not start again, code {node.process.returncode}: {self.last_line(node)}"
            )
            return self.loop.later(SECOND, lambda: self.start_again(node))
        if took > READY_LONGEST:
            self.checker.broke("ready", f"router {node.number}: not ready after {took:.1f} s")
        self.ask_ready(node, lambda: self.back(node), lambda: self.await_back(node))

    def back(self, node: SoakRouter) -> None:
        """It is ready after a start: the front takes it in."""
        self.ready_after.append(time.monotonic() - node.started_at)
        self.load.gone_until[node.number] = 0
        if node.reload_pending:
            node.reload_pending = False
            node.process.send_signal(signal.SIGHUP)

    def ask_ready(self, node: SoakRouter, yes, no) -> None:
        """Asks a router whether it is ready, without waiting; `no` is called a moment later, also where nothing is said."""
        conn, told = self.loop.connect(node.address), []

        def data(held: bytearray) -> None:
            for kind, _, payload in wire.frames(held):
                told.append(kind == READY_ANSWER and payload[:1] == b"\x4f")

        def over() -> None:
            conn.close()
            yes() if any(told) else no()

        conn.on_data = data
        conn.write(ASK_READY)
        self.loop.later(SECOND // 10, over)

    def last_line(self, node: SoakRouter) -> str:
        lines = (self.log_folder / f"node-{node.number}.log").read_text(errors="replace").splitlines()
        return lines[-1] if lines else ""

    # The end.

    def sample(self) -> None:
        for node in self.nodes:
            if node.process.poll() is not None and node.process.returncode and not node.killed and not node.crashed and self.here(node):
                node.crashed = f"ended with code {node.process.returncode}"
                self.checker.broke("crash", f"router {node.number}: {node.crashed}: {self.last_line(node)}")
                self.load.gone_until[node.number] = self.loop.now() + 3600 * SECOND
                self.loop.later(SECOND, lambda node=node: self.start_again(node))
        self.curve.clear()
        super().sample()
        if self.loop.stopped and not getattr(self, "settling", False):
            self.settling, self.loop.stopped = True, False
            self.loop.later(SETTLED, self.settled)

    def settled(self) -> None:
        """All clients have gone: what was used for them is given back."""
        for node in self.nodes:
            if node.process.poll() is not None or not node.level:
                continue
            node.sample(AFTER)
            now = node.samples[-1]
            self.checker.most_memory_mb = max(self.checker.most_memory_mb, now["rss_mb"])
            if now["rss_mb"] > MEMORY_SHARE * self.plan.memory_mb:
                self.checker.broke("resources", f"router {node.number}: {now['rss_mb']:.0f} MB of {self.plan.memory_mb} at its peak")
            kept = now["resident_mb"] - node.level["resident_mb"]
            self.checker.most_kept_mb = max(self.checker.most_kept_mb, kept)
            if kept > KEPT_SHARE * self.plan.memory_mb:
                self.checker.broke("resources", f"router {node.number}: {kept:.0f} MB of {self.plan.memory_mb} kept after the load")
            for name, spare in (("files", SPARE_FILES), ("threads", SPARE_THREADS)):
                if now[name] > node.level[name] + spare:
                    self.checker.broke("resources", f"router {node.number}: {now[name]} {name}, {node.level[name]} before the load")
        self.loop.stopped = True

    def figures(self) -> dict:
        if not self.came_up:
            raise LabFailed("a router did not come up; --logs keeps what it said")
        slow = sorted(self.ready_after)
        if slow and slow[int(0.9 * (len(slow) - 1))] > READY_MOST:
            self.checker.broke("ready", f"a tenth of {len(slow)} restarts took over {READY_MOST:g} s")
        for node in self.nodes:
            self.read_log(node)
        found = super().figures()
        found |= {
            "processes": self.plan.routers + 1,
            "router_hours": round(self.plan.routers * self.plan.seconds / 3600, 3),
            "faults": [msgspec.structs.asdict(one) for one in self.plan.faults],
            "judge_lag_ms": self.checker.most_lag // MS,
            "peak_mb": round(self.checker.most_memory_mb, 1),
            "kept_mb": round(self.checker.most_kept_mb, 1),
            "ready_s": [round(one, 2) for one in slow],
            "again": f"fieldspur lab soak --seed {self.plan.seed} --seconds {self.plan.seconds:g}",
        }
        found["missed"] = [f"{name}: {rows[0]} ({len(rows)} in all)" for name, rows in found["rules"].items() if rows]
        found["passed"] = not found["missed"]
        return found

    def read_log(self, node: SoakRouter) -> None:
        """What a router itself says went wrong."""
        for line in (self.log_folder / f"node-{node.number}.log").read_text(errors="replace").splitlines():
            if any(f"event={word}" in line for word in ("crashed", "broken", "contained")):
                self.checker.broke("crash", f"router {node.number}: {line[:400]}")

    def run(self) -> dict:
        try:
            return super().run()
        finally:
            if self.kept_logs is not None:
                self.kept_logs.cleanup()


def soak(
    seed: int,
    seconds: float,
    routers: int | None = None,
    only: tuple[int, ...] = (),
    build: str | None = None,
    logs: str | None = None,
    command: list | None = None,
) -> dict:
    """Figures of one soak; `only`: the numbers of the faults that are played, all without. Raises LabFailed."""
    plan = planning.plan(seed, seconds, routers)
    if only:
        plan = msgspec.structs.replace(plan, faults=tuple(plan.faults[n] for n in only if n < len(plan.faults)))
    return Soak(plan, build, logs, command, None).run()
