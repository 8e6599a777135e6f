"""Plays a scenario: routers as processes, everything else in this one; figures, rules and expectations come out."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path

from fieldspur.bench import sample_settings
from fieldspur.bench.path import ROOT, free_port, usage
from fieldspur.bench.start import ready
from fieldspur.lab.checks.rule_checker import SECOND, Checker
from fieldspur.lab.emulate.event_loop import Loop
from fieldspur.lab.emulate.servers import DiscoveryServer, World
from fieldspur.lab.runs.load_generator import LoadGenerator
from fieldspur.lab.soak import shim
from fieldspur.operators import BadFile

WOKEN = SECOND // 2  # what a router owes that goes on after it was stopped, is late for so long
READY_WAIT = 15.0  # seconds for a router to come up
START_AGAIN = SECOND  # after which a router that ended at its start is started again
SAMPLE = SECOND // 2
RECOVERED = 0.9  # of the worth before a fault


class LabFailed(Exception):
    """The scenario could not be played; the text says why."""


class RouterProcess:
    """One router as a process."""

    def __init__(self, number: int, world: World, where: Path, build: Path, command: list | None, logs: Path | None):
        self.number, self.world, self.build = number, world, build
        self.address = ("127.0.0.1", free_port())
        self.path = where / f"node-{number}.json"
        self.command = command or [sys.executable, "-B", "-O", "-m", "fieldspur"]
        self.log = (logs / f"node-{number}.log").open("ab") if logs else subprocess.DEVNULL
        self.samples: list[dict] = []
        self.process: subprocess.Popen | None = None
        self.starts, self.crashed = 0, ""
        self.owed_reload = False
        self.env: dict[str, str] = {}  # on top of the usual
        self.shim: shim.Shim | None = None  # where the play makes system calls fail
        self.killed = False  # by a fault

    def board_port(self, board: DiscoveryServer) -> int:
        """Where this router finds that discovery service."""
        return board.port

    def write(self, board: DiscoveryServer) -> None:
        plan, servers = self.world.plan, self.world.plan.servers
        conf = sample_settings.node_file(
            self.address[1],
            self.board_port(board),
            [],
            name=f"n{self.number}",
            memory_mb=plan.memory_mb,
            sockets=plan.sockets,
            seed=f"{plan.seed * 100 + self.number + self.starts:x}",
            routers=plan.routers,
            everywhere=plan.routers,
        )
        conf["known"] = {"rev": len(board.events), "notices": list(board.events)}
        conf["settings"]["guarantees"] |= dict(
            coldFrom=servers.cold_share, rampTimeUs=int(servers.ramp_s * 1e6), fallMultiple=servers.fall_multiple
        )
        conf["settings"]["familyInfo"] |= dict(
            upperColdFrom=servers.cold_share, parentRampUs=int(servers.ramp_s * 1e6), upperFallMultiple=servers.fall_multiple
        )
        self.adjust(conf)
        self.path.write_text(json.dumps(conf))

    def adjust(self, conf: dict) -> None:
        """For runs whose settings differ."""

    def start(self) -> None:
        self.write(self.world.discovery)
        self.starts, self.killed = self.starts + 1, False
        env = {**os.environ, "LB_CONFIG": str(self.path), "MALLOC_ARENA_MAX": "2", "PYTHONPATH": str(self.build), **self.env}
        self.process = subprocess.Popen(self.command, cwd=self.build, env=env, stderr=self.log)

    def ready(self) -> bool:
        return ready(self.address[1])

    def forget(self) -> None:
        """What it keeps in a folder is lost."""

    def sample(self, second: float) -> None:
        try:
            seen = usage(self.process.pid)
            files = len(os.listdir(f"/proc/{self.process.pid}/fd"))
        except (OSError, TypeError, AttributeError):
            return
        self.samples.append({"second": second, "files": files, **seen})

    def stop(self) -> None:
        """SIGTERM, and its end within the longest time limit; anything else counts as a crash."""
        if self.process is None:
            return
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)  # one that a fault has stopped
            self.process.send_signal(signal.SIGTERM)
            try:
                self.process.wait(12)
            except subprocess.TimeoutExpired:
                self.process.kill()
                self.process.wait()
                self.crashed = "did not end on SIGTERM"
        if self.process.returncode and not self.killed:
            self.crashed = self.crashed or f"ended with code {self.process.returncode}"
        if self.log is not subprocess.DEVNULL:
            self.log.close()


class ScenarioRun:
    ROUTER, WORLD, LOAD_GENERATOR = RouterProcess, World, LoadGenerator
    SHIMS = False  # routers run under the fault shim also where no fault of the scenario wants it

    def make_checker(self) -> Checker:
        return Checker(self.plan.servers.fall_multiple, routers=self.plan.routers)

    def __init__(self, plan, build: str | None, logs: str | None, command: list | None, live: Callable | None):
        self.plan, self.live = plan, live
        self.build = Path(build).resolve() if build else ROOT
        self.loop = Loop()
        self.checker = self.make_checker()
        self.world = self.WORLD(self.loop, plan, self.checker)
        self.folder = tempfile.TemporaryDirectory(prefix="fieldspur-lab-")
        folder = Path(logs) if logs else None
        if folder:
            folder.mkdir(parents=True, exist_ok=True)
        self.nodes = [self.ROUTER(n, self.world, Path(self.folder.name), self.build, command, folder) for n in range(plan.routers)]
        self.world.other_faults = {
            "router_restart": self.router_restart,
            "reload": self.reload,
            "router_kill": self.kill,
            "router_pause": self.pause,
            **dict.fromkeys(shim.CALLS, self.failing_calls),
        }
        if self.SHIMS or any(fault.what in shim.CALLS for fault in plan.faults):
            self.put_shims()
        self.load: LoadGenerator | None = None
        self.missing: list[RouterProcess] = []  # routers that did not come up before the load
        self.curve: list[dict] = []

    def refuse_unknown(self) -> None:
        """Raises BadFile where the scenario names a fault that is not played here: it would end the play in its middle."""
        for n, fault in enumerate(self.plan.faults):
            if fault.what not in self.world.SUPPORTED_FAULTS and fault.what not in self.world.other_faults:
                raise BadFile(f"faults[{n}].what: {fault.what} is not played here")

    def put_shims(self) -> None:
        """Raises LabFailed where the shim can't be built here."""
        folder = Path(self.folder.name)
        try:
            library = shim.build(folder)
        except shim.NoCompiler as wrong:
            raise LabFailed(str(wrong)) from None
        for node in self.nodes:
            node.shim = shim.Shim(folder, library, node.number, self.plan.seed)
            node.env |= node.shim.env

    # Faults that are of the routers.

    def over(self, fault, undo: Callable[[], object]) -> None:
        """Undoes a fault once its time is over; one that names none stays."""
        if fault.lasts:
            self.loop.later(int(fault.lasts * SECOND), undo)

    def each(self, fault, setting: Callable[[RouterProcess], object], after: Callable[[RouterProcess], object]) -> None:
        """Set something at the routers that the fault names, and undo it once it is over."""
        nodes = self.routers(fault.who)
        for node in nodes:
            setting(node)
        self.over(fault, lambda: [after(node) for node in nodes])

    def failing_calls(self, fault) -> None:
        name = shim.CALLS[fault.what]
        self.each(fault, lambda node: node.shim.rate(name, int(fault.times)), lambda node: node.shim.rate(name, 0))

    def node(self, fault) -> RouterProcess:
        return self.nodes[int(fault.who or 0) % len(self.nodes)]

    def router_restart(self, fault) -> None:
        """SIGTERM; the front takes it out, and in again once the new process is ready."""
        node = self.node(fault)
        node.process.send_signal(signal.SIGTERM)
        self.load.gone_until[node.number] = self.loop.now() + 3600 * SECOND

        def look() -> None:
            if node.process.poll() is None:
                return self.loop.later(SAMPLE // 5, look)
            if node.process.returncode:
                node.crashed = f"ended with code {node.process.returncode}"
            self.again(node)

        look()

    def again(self, node: RouterProcess) -> None:
        """A router that ended starts; clients come once it is ready. One that another fault has started meanwhile is left alone."""
        if node.process.poll() is not None:
            node.start()

        def back() -> None:
            if node.process.poll() is not None:
                node.crashed = "did not start again"
                self.loop.later(START_AGAIN, lambda: self.again(node))
            elif not node.ready():
                self.loop.later(SAMPLE // 5, back)
            else:
                self.load.gone_until[node.number] = 0
                if node.owed_reload:
                    node.owed_reload = False
                    node.process.send_signal(signal.SIGHUP)

        self.loop.later(SAMPLE, back)

    def reload(self, fault) -> None:
        """The notice board moves, and the file says where to; the old one ends after 1.5 s."""
        old = self.world.discovery
        self.world.discovery = DiscoveryServer(self.loop, old.events)
        for node in self.nodes:
            node.write(self.world.discovery)
            if self.load.gone_until[node.number] > self.loop.now():  # a start; SIGHUP never comes within its first second
                node.owed_reload = True
            else:
                node.process.send_signal(signal.SIGHUP)
        self.loop.later(3 * SECOND // 2, old.close)

    def routers(self, who: str) -> list[RouterProcess]:
        return [self.nodes[int(word) % len(self.nodes)] for word in who.split(",")]

    def kill(self, fault) -> None:
        """They end at once and come back after `lasts`, with what they had in their folder unless `forget`."""
        for node in self.routers(fault.who):
            self.load.gone_until[node.number] = self.loop.now() + 3600 * SECOND
            node.process.send_signal(signal.SIGCONT)
            node.killed = True
            node.process.kill()
            node.process.wait()
            if fault.forget:
                node.forget()
            if fault.lasts:
                self.loop.later(int(fault.lasts * SECOND), lambda node=node: self.again(node))

    def pause(self, fault) -> None:
        for node in self.routers(fault.who):
            ends = self.loop.now() + int(fault.lasts * SECOND)
            self.load.gone_until[node.number] = ends  # the front takes it out
            self.checker.asleep[node.number] = ends + WOKEN
            node.process.send_signal(signal.SIGSTOP)
            self.loop.at(ends, lambda node=node: node.process.send_signal(signal.SIGCONT))

    # The run.

    def run(self) -> dict:
        try:
            self.refuse_unknown()
            for node in self.nodes:
                node.start()
            end = time.monotonic() + READY_WAIT
            self.loop.later(0, lambda: self.await_ready(end))
            self.loop.run()
            return self.figures()
        finally:
            for node in self.nodes:
                node.stop()
            self.folder.cleanup()

    def await_ready(self, end: float) -> None:
        """Routers come up while the loop serves them; `ready` waits a moment at most."""
        waiting = [node for node in self.nodes if node.process.poll() is not None or not node.ready()]
        for node in waiting:
            if node.process.poll() is not None:
                node.crashed = f"ended at its start with code {node.process.returncode}"
        if time.monotonic() <= end and any(node.process.poll() is None for node in waiting):
            return self.loop.later(SAMPLE // 5, lambda: self.await_ready(end))
        if len(waiting) == len(self.nodes):
            self.loop.stopped = True
            raise LabFailed("the routers did not come up; --logs keeps what they said")
        self.missing = waiting
        self.go()

    def go_without(self, missing: list[RouterProcess]) -> None:
        """The load begins without routers that did not come up. One that ended is started again for as long as the play goes on."""
        for node in missing:
            node.crashed = node.crashed or "did not come up"
            self.load.gone_until[node.number] = self.loop.now() + 3600 * SECOND
            self.again(node)

    def go(self) -> None:
        self.loop.lag = 0
        self.begin = self.loop.now() + SECOND // 5
        self.load = self.LOAD_GENERATOR(
            self.loop, self.plan, self.checker, [node.address for node in self.nodes], self.begin, self.world.kb_of
        )
        for fault in self.plan.faults:
            self.loop.at(self.begin + int(fault.at * SECOND), lambda fault=fault: self.world.inject(fault))
        self.go_without(self.missing)
        self.begun()
        self.sample()

    def begun(self) -> None:
        """For runs in which more happens than a scenario's faults."""

    def sample(self) -> None:
        now = self.loop.now()
        second = (now - self.begin) / SECOND
        self.checker.lag = self.loop.lag
        for node in self.nodes:
            node.sample(second)
        load, store = self.load, self.world.store
        self.curve.append(
            {
                "second": round(second, 2),
                "open": load.outcomes.open,
                "fills": store.counts["fills"],
                "store": store.link.active_jobs,
                "caches": [front.model.link.active_jobs for front in self.world.fronts.values() if front.kind == "std"],
            }
        )
        if self.live is not None:
            self.live(self)
        over = now >= load.ends and (not load.outcomes.open or now > load.ends + 9 * SECOND)
        if over:
            self.checker.finish(now)
            self.loop.stopped = True
        else:
            self.loop.later(SAMPLE, self.sample)

    # What came out.

    def figures(self) -> dict:
        load, plan = self.load, self.plan
        for node in self.nodes:
            if node.process.poll() is not None and not node.killed:
                node.crashed = node.crashed or f"ended with code {node.process.returncode}"
        found = load.outcomes.figures(self.world.store)
        figures = {
            "scenario": plan.name,
            "seed": plan.seed,
            "seconds": plan.seconds,
            "build": str(self.build.name),
            **found,
            "fell": self.world.overload_crashes,
            "bad_clients": dict(load.bad),
            "lab_lag_ms": self.loop.lag // 1_000_000,
            "rules": {str(rule): rows for rule, rows in self.checker.violations.items()},
            "counts": dict(self.checker.counts),
            "crashed": [node.crashed for node in self.nodes if node.crashed],
            "recovers_s": recoveries(found["ticks"], plan),
            "curve": self.curve,
            "routers": [self.of_router(node) for node in self.nodes],
            "calls_failed": self.calls_failed(),
        }
        figures["missed"] = missed(figures, plan.expect)
        figures["passed"] = not figures["missed"]
        return figures

    def calls_failed(self) -> dict[str, int]:
        """How often each fault of the shim happened, at all routers."""
        fired: Counter = Counter()
        for node in self.nodes:
            fired.update(node.shim.fired() if node.shim is not None else {})
        return dict(fired)

    def of_router(self, node: RouterProcess) -> dict:
        rows = node.samples
        if not rows:
            return {}
        whole = max(1e-9, rows[-1]["second"] - rows[0]["second"])
        return {
            "cpu_share": round(max(0.0, rows[-1]["cpu"] - rows[0]["cpu"]) / whole, 3),
            "rss_mb": round(max(row["rss_mb"] for row in rows), 1),
            "files": max(row["files"] for row in rows),
            "threads": max(row["threads"] for row in rows),
            "samples": [{name: row[name] for name in ("second", "cpu", "rss_mb", "files", "threads")} for row in rows],
        }


def recoveries(ticks: list[dict], plan) -> list[dict]:
    """For each fault, how long until the worth is back at a share of what it was before; None: not in this run."""
    found, starts = [], sorted(fault.at for fault in plan.faults)
    for fault in plan.faults:
        until = next((at for at in starts if at > fault.at), plan.seconds)  # what comes then is another fault's
        before = [row["worth"] for row in ticks if plan.warm <= row["second"] < fault.at] or [1.0]
        aim = RECOVERED * sum(before) / len(before)
        after = [row for row in ticks if fault.at <= row["second"] < until]
        low = [row["second"] for row in after if row["worth"] < aim]
        last = max(low, default=fault.at - 0.5)
        whole = any(row["second"] > last for row in after) or not low
        found.append({"what": fault.what, "at": fault.at, "took": round(max(0.0, last + 0.5 - fault.at), 1) if whole else None})
    return found


def missed(figures: dict, expect) -> list[str]:
    """Rules that broke and expectations that were not met, a line each."""
    lines = [f"rule {rule}: {rows[0]} ({len(rows)} in all)" for rule, rows in figures["rules"].items() if rows]
    lines += [f"a router {why}" for why in figures["crashed"]]
    if figures["completed"] < expect.completed:
        lines.append(f"completed: {figures['completed']:g}, at least {expect.completed:g} expected")
    if expect.worth and (figures["worth"] or 0) < expect.worth:
        lines.append(f"worth: {figures['worth']:g}, at least {expect.worth:g} expected")
    slowest = max((row["p99_ms"] for row in figures["classes"].values()), default=0)
    if expect.p99_ms and slowest > expect.p99_ms:
        lines.append(f"p99_ms: {slowest:g}, at most {expect.p99_ms:g} expected")
    if expect.fills and figures["fills_a_txn"] > expect.fills:
        lines.append(f"fills: {figures['fills_a_txn']:g} a txn, at most {expect.fills:g} expected")
    for row in figures["recovers_s"] if expect.recovers_s else ():
        if row["took"] is None or row["took"] > expect.recovers_s:
            lines.append(f"recovers_s: {row['what']} at {row['at']:g} s took {row['took']}, at most {expect.recovers_s:g} expected")
    return lines


def run_scenario(
    plan, build: str | None = None, logs: str | None = None, command: list | None = None, live: Callable | None = None
) -> dict:
    """Figures of one run; `passed` is false where a rule or an expectation broke. Raises LabFailed."""
    kind = ScenarioRun
    if plan.fleet is not None:
        from fieldspur.lab.runs.fleet_run import FleetRun as kind
    return kind(plan, build, logs, command, live).run()
