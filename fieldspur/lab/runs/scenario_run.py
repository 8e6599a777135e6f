"""Runs a scenario on sockets: routers are processes of their own, and servers, discovery and clients are emulated in this process.
The result has the measured figures, the broken rules and the expectations that were not met."""

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

RESUME_GRACE = SECOND // 2  # after SIGCONT; a router that was stopped may be late for this long
READY_TIMEOUT_S = 15.0  # for all routers to start
RESTART_DELAY = SECOND  # before a router that ended during its start is started again
SAMPLE_INTERVAL = SECOND // 2
RECOVERED_SHARE = 0.9  # of the worth before a fault; from there on the routers count as recovered


class LabFailed(Exception):
    """The scenario could not be run; the text says why."""


class RouterProcess:
    """One router as a process."""

    def __init__(self, number: int, world: World, folder: Path, build: Path, command: list | None, logs: Path | None):
        self.number, self.world, self.build = number, world, build
        self.address = ("127.0.0.1", free_port())
        self.path = folder / f"node-{number}.json"
        self.command = command or [sys.executable, "-B", "-O", "-m", "fieldspur"]
        self.log = (logs / f"node-{number}.log").open("ab") if logs else subprocess.DEVNULL
        self.samples: list[dict] = []
        self.process: subprocess.Popen | None = None
        self.starts, self.crashed = 0, ""
        self.reload_pending = False
        self.env: dict[str, str] = {}  # environment variables in addition to those of this process
        self.shim: shim.Shim | None = None  # the control of failing system calls; None: the router runs without the shim
        self.killed = False  # a fault has killed the process

    def discovery_port(self, discovery: DiscoveryServer) -> int:
        """The port at which this router connects to the discovery service."""
        return discovery.port

    def write_config(self, discovery: DiscoveryServer) -> None:
        """Writes the router's configuration file, with all events of `discovery` so far."""
        plan, servers = self.world.plan, self.world.plan.servers
        config = sample_settings.node_file(
            self.address[1],
            self.discovery_port(discovery),
            [],
            name=f"n{self.number}",
            memory_mb=plan.memory_mb,
            sockets=plan.sockets,
            seed=f"{plan.seed * 100 + self.number + self.starts:x}",
            routers=plan.routers,
            everywhere=plan.routers,
        )
        config["known"] = {"rev": len(discovery.events), "notices": list(discovery.events)}
        config["settings"]["guarantees"] |= dict(
            coldFrom=servers.cold_share, rampTimeUs=int(servers.ramp_s * 1e6), fallMultiple=servers.fall_multiple
        )
        config["settings"]["familyInfo"] |= dict(
            upperColdFrom=servers.cold_share, parentRampUs=int(servers.ramp_s * 1e6), upperFallMultiple=servers.fall_multiple
        )
        self.adjust(config)
        self.path.write_text(json.dumps(config))

    def adjust(self, config: dict) -> None:
        """Subclasses change the configuration here before it is written."""

    def start(self) -> None:
        self.write_config(self.world.discovery)
        self.starts, self.killed = self.starts + 1, False
        env = {**os.environ, "LB_CONFIG": str(self.path), "MALLOC_ARENA_MAX": "2", "PYTHONPATH": str(self.build), **self.env}
        self.process = subprocess.Popen(self.command, cwd=self.build, env=env, stderr=self.log)

    def ready(self) -> bool:
        return ready(self.address[1])

    def forget(self) -> None:
        """Deletes the state that the router keeps on disk. A router without a fleet keeps none."""

    def sample(self, second: float) -> None:
        try:
            resources = usage(self.process.pid)
            files = len(os.listdir(f"/proc/{self.process.pid}/fd"))
        except (OSError, TypeError, AttributeError):
            return
        self.samples.append({"second": second, "files": files, **resources})

    def stop(self) -> None:
        """Sends SIGTERM. The router has to end within the longest time limit with code 0; anything else counts as a crash."""
        if self.process is None:
            return
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)  # a fault may have stopped the process
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
    """One run of a scenario: starts the routers, begins the load and the faults, and collects the figures."""

    ROUTER, WORLD, LOAD_GENERATOR = RouterProcess, World, LoadGenerator
    ALWAYS_SHIM = False  # routers run under the fault shim even if no fault of the scenario needs it

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
            **dict.fromkeys(shim.CALLS, self.fail_calls),
        }
        if self.ALWAYS_SHIM or any(fault.what in shim.CALLS for fault in plan.faults):
            self.add_shims()
        self.load: LoadGenerator | None = None
        self.not_ready: list[RouterProcess] = []  # routers that were not ready when the load began
        self.curve: list[dict] = []

    def refuse_unknown(self) -> None:
        """Raises BadFile if this kind of run does not know a fault of the scenario, which would otherwise end the run half way."""
        for index, fault in enumerate(self.plan.faults):
            if fault.what not in self.world.SUPPORTED_FAULTS and fault.what not in self.world.other_faults:
                raise BadFile(f"faults[{index}].what: {fault.what} is not played here")

    def add_shims(self) -> None:
        """Builds the fault shim and gives one to each router. Raises LabFailed if the shim can't be built."""
        folder = Path(self.folder.name)
        try:
            library = shim.build(folder)
        except shim.NoCompiler as error:
            raise LabFailed(str(error)) from None
        for node in self.nodes:
            node.shim = shim.Shim(folder, library, node.number, self.plan.seed)
            node.env |= node.shim.env

    # Faults of routers.

    def undo_later(self, fault, undo: Callable[[], object]) -> None:
        """Calls `undo` when the fault's duration is over. A fault without a duration stays until the end of the run."""
        if fault.lasts:
            self.loop.later(int(fault.lasts * SECOND), undo)

    def apply_to_routers(self, fault, apply: Callable[[RouterProcess], object], undo: Callable[[RouterProcess], object]) -> None:
        """Calls `apply` for each router that the fault names, and `undo` for the same routers when the fault's duration is over."""
        nodes = self.routers(fault.who)
        for node in nodes:
            apply(node)
        self.undo_later(fault, lambda: [undo(node) for node in nodes])

    def fail_calls(self, fault) -> None:
        """Makes a share of the system calls of one kind fail."""
        name = shim.CALLS[fault.what]
        self.apply_to_routers(fault, lambda node: node.shim.rate(name, int(fault.times)), lambda node: node.shim.rate(name, 0))

    def router_of(self, fault) -> RouterProcess:
        return self.nodes[int(fault.who or 0) % len(self.nodes)]

    def router_restart(self, fault) -> None:
        """Ends one router with SIGTERM and starts it again. Clients do not connect to it until the new process is ready."""
        node = self.router_of(fault)
        node.process.send_signal(signal.SIGTERM)
        self.load.gone_until[node.number] = self.loop.now() + 3600 * SECOND

        def check_ended() -> None:
            if node.process.poll() is None:
                return self.loop.later(SAMPLE_INTERVAL // 5, check_ended)
            if node.process.returncode:
                node.crashed = f"ended with code {node.process.returncode}"
            self.start_again(node)

        check_ended()

    def start_again(self, node: RouterProcess) -> None:
        """Starts a router that has ended, unless another fault has started it already. Clients connect once it is ready."""
        if node.process.poll() is not None:
            node.start()

        def check_ready() -> None:
            if node.process.poll() is not None:
                node.crashed = "did not start again"
                self.loop.later(RESTART_DELAY, lambda: self.start_again(node))
            elif not node.ready():
                self.loop.later(SAMPLE_INTERVAL // 5, check_ready)
            else:
                self.load.gone_until[node.number] = 0
                if node.reload_pending:
                    node.reload_pending = False
                    node.process.send_signal(signal.SIGHUP)

        self.loop.later(SAMPLE_INTERVAL, check_ready)

    def reload(self, fault) -> None:
        """Moves discovery to a new port and tells the routers by file and SIGHUP. The former service ends after 1.5 s."""
        old_discovery = self.world.discovery
        self.world.discovery = DiscoveryServer(self.loop, old_discovery.events)
        for node in self.nodes:
            node.write_config(self.world.discovery)
            if self.load.gone_until[node.number] > self.loop.now():  # the router is starting; it gets SIGHUP when it is ready
                node.reload_pending = True
            else:
                node.process.send_signal(signal.SIGHUP)
        self.loop.later(3 * SECOND // 2, old_discovery.close)

    def routers(self, who: str) -> list[RouterProcess]:
        return [self.nodes[int(number) % len(self.nodes)] for number in who.split(",")]

    def kill(self, fault) -> None:
        """Kills routers and starts them again after `lasts` seconds. They keep their state on disk unless the fault says `forget`."""
        for node in self.routers(fault.who):
            self.load.gone_until[node.number] = self.loop.now() + 3600 * SECOND
            node.process.send_signal(signal.SIGCONT)
            node.killed = True
            node.process.kill()
            node.process.wait()
            if fault.forget:
                node.forget()
            if fault.lasts:
                self.loop.later(int(fault.lasts * SECOND), lambda node=node: self.start_again(node))

    def pause(self, fault) -> None:
        """Stops routers with SIGSTOP until the fault's duration is over."""
        for node in self.routers(fault.who):
            resume_at = self.loop.now() + int(fault.lasts * SECOND)
            self.load.gone_until[node.number] = resume_at  # clients do not connect meanwhile
            self.checker.excused_until[node.number] = resume_at + RESUME_GRACE
            node.process.send_signal(signal.SIGSTOP)
            self.loop.at(resume_at, lambda node=node: node.process.send_signal(signal.SIGCONT))

    # The run.

    def run(self) -> dict:
        try:
            self.refuse_unknown()
            for node in self.nodes:
                node.start()
            deadline = time.monotonic() + READY_TIMEOUT_S
            self.loop.later(0, lambda: self.await_ready(deadline))
            self.loop.run()
            return self.figures()
        finally:
            for node in self.nodes:
                node.stop()
            self.folder.cleanup()

    def await_ready(self, deadline: float) -> None:
        """Checks again and again whether the routers are ready, while the event loop serves them; then begins the load."""
        waiting = [node for node in self.nodes if node.process.poll() is not None or not node.ready()]
        for node in waiting:
            if node.process.poll() is not None:
                node.crashed = f"ended at its start with code {node.process.returncode}"
        if time.monotonic() <= deadline and any(node.process.poll() is None for node in waiting):
            return self.loop.later(SAMPLE_INTERVAL // 5, lambda: self.await_ready(deadline))
        if len(waiting) == len(self.nodes):
            self.loop.stopped = True
            raise LabFailed("the routers did not come up; --logs keeps what they said")
        self.not_ready = waiting
        self.begin_load()

    def run_without(self, routers: list[RouterProcess]) -> None:
        """Counts routers that were not ready in time as crashed. The load begins without them; they are started again while it runs."""
        for node in routers:
            node.crashed = node.crashed or "did not come up"
            self.load.gone_until[node.number] = self.loop.now() + 3600 * SECOND
            self.start_again(node)

    def begin_load(self) -> None:
        """Begins the load and plans the faults."""
        self.loop.lag = 0
        self.load_start = self.loop.now() + SECOND // 5
        self.load = self.LOAD_GENERATOR(
            self.loop, self.plan, self.checker, [node.address for node in self.nodes], self.load_start, self.world.kb_of
        )
        for fault in self.plan.faults:
            self.loop.at(self.load_start + int(fault.at * SECOND), lambda fault=fault: self.world.inject(fault))
        self.run_without(self.not_ready)
        self.load_begun()
        self.sample()

    def load_begun(self) -> None:
        """Subclasses plan here what happens besides the scenario's faults."""

    def sample(self) -> None:
        """Adds a point to the curve, and ends the run when the load is over and all txns have ended."""
        now = self.loop.now()
        second = (now - self.load_start) / SECOND
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
        is_over = now >= load.load_end and (not load.outcomes.open or now > load.load_end + 9 * SECOND)
        if is_over:
            self.checker.finish(now)
            self.loop.stopped = True
        else:
            self.loop.later(SAMPLE_INTERVAL, self.sample)

    # The result.

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
            "bad_clients": dict(load.bad_counts),
            "lab_lag_ms": self.loop.lag // 1_000_000,
            "rules": {str(rule): rows for rule, rows in self.checker.violations.items()},
            "counts": dict(self.checker.counts),
            "crashed": [node.crashed for node in self.nodes if node.crashed],
            "recovers_s": recovery_times(found["ticks"], plan),
            "curve": self.curve,
            "routers": [self.router_figures(node) for node in self.nodes],
            "calls_failed": self.calls_failed(),
        }
        figures["missed"] = missed_expectations(figures, plan.expect)
        figures["passed"] = not figures["missed"]
        return figures

    def calls_failed(self) -> dict[str, int]:
        """How often each kind of system call failed, summed over all routers."""
        fired: Counter = Counter()
        for node in self.nodes:
            fired.update(node.shim.fired() if node.shim is not None else {})
        return dict(fired)

    def router_figures(self, node: RouterProcess) -> dict:
        """CPU, memory, files and threads of one router, from its samples."""
        rows = node.samples
        if not rows:
            return {}
        duration = max(1e-9, rows[-1]["second"] - rows[0]["second"])
        return {
            "cpu_share": round(max(0.0, rows[-1]["cpu"] - rows[0]["cpu"]) / duration, 3),
            "rss_mb": round(max(row["rss_mb"] for row in rows), 1),
            "files": max(row["files"] for row in rows),
            "threads": max(row["threads"] for row in rows),
            "samples": [{name: row[name] for name in ("second", "cpu", "rss_mb", "files", "threads")} for row in rows],
        }


def recovery_times(ticks: list[dict], plan) -> list[dict]:
    """For each fault, the seconds until the worth is back at RECOVERED_SHARE of the mean before the fault; None: not in this run."""
    recoveries, starts = [], sorted(fault.at for fault in plan.faults)
    for fault in plan.faults:
        until = next((at for at in starts if at > fault.at), plan.seconds)  # a later drop of the worth counts for the next fault
        before = [row["worth"] for row in ticks if plan.warm <= row["second"] < fault.at] or [1.0]
        target = RECOVERED_SHARE * sum(before) / len(before)
        after = [row for row in ticks if fault.at <= row["second"] < until]
        below_target = [row["second"] for row in after if row["worth"] < target]
        last_low = max(below_target, default=fault.at - 0.5)
        recovered = any(row["second"] > last_low for row in after) or not below_target
        recoveries.append(
            {"what": fault.what, "at": fault.at, "took": round(max(0.0, last_low + 0.5 - fault.at), 1) if recovered else None}
        )
    return recoveries


def missed_expectations(figures: dict, expect) -> list[str]:
    """Rules that were broken and expectations that were not met, one line each."""
    lines = [f"rule {rule}: {rows[0]} ({len(rows)} in all)" for rule, rows in figures["rules"].items() if rows]
    lines += [f"a router {reason}" for reason in figures["crashed"]]
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
    """Runs a scenario on sockets and returns its figures; `passed` is false if a rule was broken or an expectation was not met. Raises
    LabFailed. `live` is called with the run at each sample."""
    run_class = ScenarioRun
    if plan.fleet is not None:
        from fieldspur.lab.runs.fleet_run import FleetRun as run_class
    return run_class(plan, build, logs, command, live).run()
