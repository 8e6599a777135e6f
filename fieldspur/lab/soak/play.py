"""Runs a soak: routers under the fault shim, fault proxies before servers and discovery, clients that leave early, and invariants that
are checked at the sockets."""

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
from fieldspur.lab.soak.node import AFTER_LOAD, BEFORE_LOAD, SoakRouter
from fieldspur.lab.soak.world import SoakWorld

NEW_CONNECTIONS_AFTER_SIGTERM = 300 * MS  # clients open new connections for this long after SIGTERM
# A router is killed this long after SIGTERM plus its longest time limit, of which at most MAX_COUNTED_DEADLINE counts.
KILL_DELAY = 700 * MS
MAX_COUNTED_DEADLINE = 3000 * MS
CONNECTION_END_DELAY = 50 * MS  # from the end of a process until the laboratory has seen the ends of its connections
FURTHER_SIGNALS_WITHIN = 600 * MS  # further signals may follow SIGTERM within this time
READY_P90_S = 10.0  # nine in ten restarted routers must be ready within this time
READY_MAX_S = 30.0  # all restarted routers must be
CATCH_UP_TIME = {"watch_stall": 500 * MS, "watch_cut": 1500 * MS}  # after the fault, until the router has read all events of discovery
RELEASE_TIME = 8 * SECOND  # after the load, until routers must have released what the load used
READY_QUERY = wire.HEAD.pack(5 + 1, 80, 1) + b"\0"
READY_REPLY = 81  # kind of the frame that answers it
# Open files and threads that a router may have after the load in addition to those before it.
EXTRA_FILES = 6
EXTRA_THREADS = 4
MAX_PEAK_SHARE = 0.9  # of its memory limit; the peak of a router must stay below
MAX_KEPT_SHARE = 1 / 8  # of its memory limit, which a router may hold after the load in addition to what it held before
IDLE_CLIENTS_AT_ONCE = 10  # idle connections that are opened together
IDLE_CLIENTS_PAUSE = 20 * MS  # until the next ones are opened
IDLE_CLIENTS_END_DELAY = SECOND  # until routers have seen the ends of idle connections


class Soak(ScenarioRun):
    """One run of a soak, which checks invariants of the routers in place of a scenario's expectations."""

    ROUTER, WORLD, LOAD_GENERATOR = SoakRouter, SoakWorld, SoakLoadGenerator
    ALWAYS_SHIM = True

    def __init__(self, plan, build, logs, command, live):
        self.temporary_logs = tempfile.TemporaryDirectory(prefix="fieldspur-soak-") if logs is None else None
        self.log_folder = Path(logs or self.temporary_logs.name)
        super().__init__(plan, build, str(self.log_folder), command, live)
        self.world.other_faults |= {
            "clock_step": self.clock_step,
            "late_dials": self.late_dials,
            "watch_stall": self.watch_stall,
            "watch_cut": self.watch_cut,
            "crowd": self.crowd,
        }
        self.chance = random.Random(f"{plan.seed} signals")
        self.ready_durations: list[float] = []
        self.all_started = True

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
        """Queries all routers until each has answered that it is ready, then begins the load."""
        waiting = {node.number for node in self.nodes}

        def ready(node: SoakRouter) -> None:
            waiting.discard(node.number)
            if not waiting:
                self.begin_load()

        def check(node: SoakRouter) -> None:
            if self.loop.stopped:
                return
            if time.monotonic() > end or node.process.poll() is not None:
                self.loop.stopped = True
                self.all_started = False
                return
            self.query_ready(node, lambda: ready(node), lambda: check(node))

        for node in self.nodes:
            check(node)

    def second(self) -> float:
        """The current second of the run, counted as in its list of faults."""
        return (self.loop.now() - getattr(self, "load_start", self.loop.now())) / SECOND

    def load_begun(self) -> None:
        self.load.killed = lambda router: self.nodes[router].killed
        self.loop.stalls.clear()  # stalls while all processes started, when nothing was checked yet
        self.checker.most_lag = 0
        for node in self.nodes:
            node.sample(BEFORE_LOAD)
            node.baseline = dict(node.samples[-1]) if node.samples else {}

    # Faults of routers.

    def clock_step(self, fault) -> None:
        self.apply_to_routers(fault, lambda node: node.shim.step_clock(fault.times), lambda node: node.shim.step_clock(0))

    def late_dials(self, fault) -> None:
        self.apply_to_routers(fault, lambda node: node.shim.dial_delay(int(fault.times)), lambda node: node.shim.dial_delay(0))

    def excuse_unread_events(self, fault) -> None:
        """The checker does not expect these routers to know new events of discovery until they have caught up."""
        until = self.loop.now() + int(fault.lasts * SECOND) + CATCH_UP_TIME[fault.what]
        for node in self.routers(fault.who):
            self.checker.deaf_until[node.number] = max(until, self.checker.deaf_until.get(node.number, 0))

    def watch_stall(self, fault) -> None:
        self.excuse_unread_events(fault)
        self.apply_to_routers(
            fault,
            lambda node: [link.stalls(True) for link in node.links.values()],
            lambda node: [link.stalls(False) for link in node.links.values()],
        )

    def watch_cut(self, fault) -> None:
        self.excuse_unread_events(fault)
        self.apply_to_routers(
            fault,
            lambda node: [link.cuts(True) for link in node.links.values()],
            lambda node: [link.cuts(False) for link in node.links.values()],
        )

    def kill(self, fault) -> None:
        for node in self.routers(fault.who):
            if node.process.poll() is None and self.is_serving(node):
                super().kill(msgspec.structs.replace(fault, who=str(node.number)))

    def pause(self, fault) -> None:
        for node in self.routers(fault.who):
            if node.process.poll() is None and self.is_serving(node):
                super().pause(msgspec.structs.replace(fault, who=str(node.number)))

    def crowd(self, fault) -> None:
        """Idle clients use up the file descriptors of some routers. A client whose connection is closed connects again."""
        until = self.loop.now() + int(fault.lasts * SECOND)
        for node in self.routers(fault.who):
            self.load.crowded_until[node.number] = max(self.load.crowded_until[node.number], until + IDLE_CLIENTS_END_DELAY)
            self.add_idle_clients(node, int(fault.times), until)

    def add_idle_clients(self, node: SoakRouter, left: int, until: int) -> None:
        if left <= 0 or self.loop.now() >= until:
            return
        for _ in range(min(left, IDLE_CLIENTS_AT_ONCE)):
            self.idle_client(node, until)
        self.loop.later(IDLE_CLIENTS_PAUSE, lambda: self.add_idle_clients(node, left - IDLE_CLIENTS_AT_ONCE, until))

    def idle_client(self, node: SoakRouter, until: int) -> None:
        conn: Conn = self.loop.connect(node.address)
        conn.on_close = lambda: self.loop.later(SECOND // 5, lambda: self.loop.now() < until and self.idle_client(node, until))
        self.loop.at(until, conn.close)

    def is_serving(self, node: SoakRouter) -> bool:
        """Whether the router serves clients: it is not being restarted, killed or stopped."""
        return self.load.gone_until[node.number] <= self.loop.now() and not node.is_stopped() and not node.ending

    def router_restart(self, fault) -> None:
        """Sends SIGTERM. Clients open new connections for a while after it, and send requests on open connections for longer."""
        node = self.router_of(fault)
        if node.process.poll() is not None or not self.is_serving(node):
            return
        node.sigterm_at, node.ending = self.loop.now(), True
        node.process.send_signal(signal.SIGTERM)
        for _ in range(self.chance.choice((0, 0, 1, 3))):
            number = self.chance.choice((signal.SIGHUP, signal.SIGTERM))
            self.loop.later(int(self.chance.random() * FURTHER_SIGNALS_WITHIN), lambda number=number: self.signal(node, number))
        self.loop.later(
            NEW_CONNECTIONS_AFTER_SIGTERM, lambda: self.load.gone_until.__setitem__(node.number, self.loop.now() + 3600 * SECOND)
        )
        starts = node.starts
        self.loop.later(self.kill_after(node), lambda: node.starts == starts and self.kill_at_end(node))
        self.await_end(node)

    @staticmethod
    def signal(node: SoakRouter, number: int) -> None:
        if node.ending and node.process.poll() is None:
            node.process.send_signal(number)

    @staticmethod
    def kill_after(node: SoakRouter) -> int:
        """How long after SIGTERM a router that has not ended is killed, in ns."""
        longest = max(node.deadline_us(rule["hardLimitUs"]) for rule in RULES) * 1000
        return min(longest, MAX_COUNTED_DEADLINE) + KILL_DELAY

    def kill_at_end(self, node: SoakRouter) -> None:
        """Kills a router that has not ended in time after SIGTERM, and reports it unless a fault has stopped it."""
        if node.process.poll() is not None:
            return
        if not node.is_stopped():
            self.checker.killed(self.load.connections[node.number], self.loop.now(), node.sigterm_at)
            self.checker.add_violation(
                "shutdown",
                f"router {node.number}: still there when it was killed, {(self.loop.now() - node.sigterm_at) // MS} ms after SIGTERM",
            )
        node.killed = True
        node.process.kill()

    def await_end(self, node: SoakRouter) -> None:
        if node.process.poll() is None:
            return self.loop.later(20 * MS, lambda: self.await_end(node))
        if node.process.returncode and not node.killed:
            self.checker.add_violation("crash", f"router {node.number}: ended with code {node.process.returncode} on SIGTERM")
        self.loop.later(CONNECTION_END_DELAY, lambda: self.start_again(node))

    def start_again(self, node: SoakRouter) -> None:
        node.ending = False
        node.start()
        self.loop.later(SECOND // 10, lambda: self.await_back(node))

    def await_back(self, node: SoakRouter) -> None:
        took = time.monotonic() - node.started_at
        if node.process.poll() is not None:
            self.checker.add_violation(
                "crash", f"router {node.number}: did not start again, code {node.process.returncode}: {self.last_line(node)}"
            )
            return self.loop.later(SECOND, lambda: self.start_again(node))
        if took > READY_MAX_S:
            self.checker.add_violation("ready", f"router {node.number}: not ready after {took:.1f} s")
        self.query_ready(node, lambda: self.back(node), lambda: self.await_back(node))

    def back(self, node: SoakRouter) -> None:
        """The router is ready after a start: clients connect to it again."""
        self.ready_durations.append(time.monotonic() - node.started_at)
        self.load.gone_until[node.number] = 0
        if node.reload_pending:
            node.reload_pending = False
            node.process.send_signal(signal.SIGHUP)

    def query_ready(self, node: SoakRouter, yes, no) -> None:
        """Queries a router whether it is ready, without blocking. A moment later calls `yes`, or `no` also if no reply came."""
        conn, replies = self.loop.connect(node.address), []

        def receive(buffer: bytearray) -> None:
            for kind, _, payload in wire.frames(buffer):
                replies.append(kind == READY_REPLY and payload[:1] == b"\x4f")

        def finish() -> None:
            conn.close()
            yes() if any(replies) else no()

        conn.on_data = receive
        conn.write(READY_QUERY)
        self.loop.later(SECOND // 10, finish)

    def last_line(self, node: SoakRouter) -> str:
        lines = (self.log_folder / f"node-{node.number}.log").read_text(errors="replace").splitlines()
        return lines[-1] if lines else ""

    # The end of the run.

    def sample(self) -> None:
        for node in self.nodes:
            if (
                node.process.poll() is not None
                and node.process.returncode
                and not node.killed
                and not node.crashed
                and self.is_serving(node)
            ):
                node.crashed = f"ended with code {node.process.returncode}"
                self.checker.add_violation("crash", f"router {node.number}: {node.crashed}: {self.last_line(node)}")
                self.load.gone_until[node.number] = self.loop.now() + 3600 * SECOND
                self.loop.later(SECOND, lambda node=node: self.start_again(node))
        self.curve.clear()
        super().sample()
        if self.loop.stopped and not getattr(self, "settling", False):
            self.settling, self.loop.stopped = True, False
            self.loop.later(RELEASE_TIME, self.check_released)

    def check_released(self) -> None:
        """Checks that routers have released memory, files and threads. All clients have left some time before."""
        for node in self.nodes:
            if node.process.poll() is not None or not node.baseline:
                continue
            node.sample(AFTER_LOAD)
            now = node.samples[-1]
            self.checker.most_memory_mb = max(self.checker.most_memory_mb, now["rss_mb"])
            if now["rss_mb"] > MAX_PEAK_SHARE * self.plan.memory_mb:
                self.checker.add_violation(
                    "resources", f"router {node.number}: {now['rss_mb']:.0f} MB of {self.plan.memory_mb} at its peak"
                )
            kept = now["resident_mb"] - node.baseline["resident_mb"]
            self.checker.most_kept_mb = max(self.checker.most_kept_mb, kept)
            if kept > MAX_KEPT_SHARE * self.plan.memory_mb:
                self.checker.add_violation("resources", f"router {node.number}: {kept:.0f} MB of {self.plan.memory_mb} kept after the load")
            for name, extra in (("files", EXTRA_FILES), ("threads", EXTRA_THREADS)):
                if now[name] > node.baseline[name] + extra:
                    self.checker.add_violation(
                        "resources", f"router {node.number}: {now[name]} {name}, {node.baseline[name]} before the load"
                    )
        self.loop.stopped = True

    def figures(self) -> dict:
        if not self.all_started:
            raise LabFailed("a router did not come up; --logs keeps what it said")
        ready_times = sorted(self.ready_durations)
        if ready_times and ready_times[int(0.9 * (len(ready_times) - 1))] > READY_P90_S:
            self.checker.add_violation("ready", f"a tenth of {len(ready_times)} restarts took over {READY_P90_S:g} s")
        for node in self.nodes:
            self.read_log(node)
        found = super().figures()
        found |= {
            "processes": self.plan.routers + 1,
            "router_hours": round(self.plan.routers * self.plan.seconds / 3600, 3),
            "faults": [msgspec.structs.asdict(fault) for fault in self.plan.faults],
            "judge_lag_ms": self.checker.most_lag // MS,
            "peak_mb": round(self.checker.most_memory_mb, 1),
            "kept_mb": round(self.checker.most_kept_mb, 1),
            "ready_s": [round(seconds, 2) for seconds in ready_times],
            "again": f"fieldspur lab soak --seed {self.plan.seed} --seconds {self.plan.seconds:g}",
        }
        found["missed"] = [f"{name}: {rows[0]} ({len(rows)} in all)" for name, rows in found["rules"].items() if rows]
        found["passed"] = not found["missed"]
        return found

    def read_log(self, node: SoakRouter) -> None:
        """Reports the faults that a router has logged itself."""
        for line in (self.log_folder / f"node-{node.number}.log").read_text(errors="replace").splitlines():
            if any(f"event={word}" in line for word in ("crashed", "broken", "contained")):
                self.checker.add_violation("crash", f"router {node.number}: {line[:400]}")

    def run(self) -> dict:
        try:
            return super().run()
        finally:
            if self.temporary_logs is not None:
                self.temporary_logs.cleanup()


def soak(
    seed: int,
    seconds: float,
    routers: int | None = None,
    only: tuple[int, ...] = (),
    build: str | None = None,
    logs: str | None = None,
    command: list | None = None,
) -> dict:
    """Runs one soak and returns its figures. `only` selects faults of the plan by number; if empty, all are injected. Raises LabFailed."""
    plan = planning.plan(seed, seconds, routers)
    if only:
        plan = msgspec.structs.replace(plan, faults=tuple(plan.faults[n] for n in only if n < len(plan.faults)))
    return Soak(plan, build, logs, command, None).run()
