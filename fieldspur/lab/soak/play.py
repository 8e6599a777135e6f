"""Plays a soak: routers under the fault shim, proxies before servers and discovery, clients that leave, invariants as its oracle."""

from __future__ import annotations

import os
import random
import signal
import tempfile
import time
from pathlib import Path

import msgspec

from fieldspur.bench.path import free_port
from fieldspur.lab.emulate import wire
from fieldspur.lab.emulate.loop import Conn
from fieldspur.lab.emulate.model import MS, SECOND
from fieldspur.lab.emulate.proxy import Proxy
from fieldspur.lab.emulate.relay import Relay
from fieldspur.lab.emulate.servers import Board, Front, World
from fieldspur.lab.judge.invariants import LOST_AFTER, Invariants
from fieldspur.lab.judge.outcomes import Txn
from fieldspur.lab.plays.load import Line, Load
from fieldspur.lab.plays.play import LabFailed, Node, Play
from fieldspur.lab.soak import plan as planning
from fieldspur.lab.soak import shim

HOST = "127.%d.%d.4" % (1 + os.getpid() // 250 % 250, 1 + os.getpid() % 250)  # soaks beside this one have theirs
IDLE_CLOSE_US = 5_000_000  # of connections to servers, so that they end within a run
CLIENT_IDLE = 4 * SECOND  # clients close a connection without a request after that
STILL_NEW, STILL_ASKED = 300 * MS, 500 * MS  # after SIGTERM: new connections, requests on old ones
LONGEST_END = 3700 * MS  # after SIGTERM, by when a router is killed
END_SLACK = 300 * MS
READY_MOST, READY_LONGEST = 10.0, 30.0  # seconds: nine in ten, all
HEARD_AFTER = {"watch_stall": 500 * MS, "watch_cut": 1500 * MS}  # until a router has caught up after that
SETTLED = 8 * SECOND  # after the load, until what was used is given back
BEFORE, AFTER = -1.0, 1e9  # the load; in place of a sample's second
ASK_READY, READY_ANSWER = wire.HEAD.pack(5 + 1, 80, 1) + b"\0", 81
SPARE_FILES, SPARE_THREADS = 6, 4  # above the level before the load
CALLS = {"accept_fails": "accept", "socket_fails": "socket", "connect_fails": "connect", "interrupted": "eintr", "short_io": "shorten",
         "broken_io": "broken", "disk_fails": "disk"}


class SoakNode(Node):
    """A router under the shim, with a link of its own to discovery."""

    def __init__(self, *about):
        super().__init__(*about)
        self.address = (HOST, free_port(HOST))
        self.shim: shim.Shim | None = None
        self.links: dict[Board, Relay] = {}
        self.settings: dict = {}  # a trouble's time until a reload, in ns
        self.ended_at = self.started_at = 0
        self.ending = False  # was told to end, and has not started again
        self.level: dict = {}  # files and threads before the load

    def board_port(self, board: Board) -> int:
        if board not in self.links:
            self.links[board] = Relay(self.world.loop, ("127.0.0.1", board.port), random.Random(f"{self.world.plan.seed} {self.number}"))
        return self.links[board].port

    def adjust(self, conf: dict) -> None:
        conf["listen"] = "%s:%d" % self.address
        conf["settings"]["allowed"]["idleCloseUs"] = IDLE_CLOSE_US

    def start(self) -> None:
        self.env |= self.shim.env
        self.started_at = time.monotonic()
        super().start()

    def sample(self, second: float) -> None:
        """Only where the soak asks for it: it reads much of /proc, and all else waits meanwhile."""
        if second in (BEFORE, AFTER):
            super().sample(second)

    def sleeping(self) -> bool:
        """Whether it is stopped by a fault."""
        return self.world.checker.asleep.get(self.number, 0) > self.world.loop.now()


class SoakWorld(World):
    """Servers behind fault proxies."""

    def __init__(self, *about):
        self.proxies: dict[str, Proxy] = {}
        self.origins: dict[int, Conn] = {}  # connections of routers, by the local port of the one made for each
        super().__init__(*about)

    def port_of(self, name: str) -> int:
        if name not in self.proxies:
            self.proxies[name] = Proxy(self.loop, self.fronts[name].port, random.Random(f"{self.plan.seed} {name}"), self.origins)
        return self.proxies[name].port

    def times_of(self, conn: Conn):
        origin = self.origins.get(conn.sock.getpeername()[1])
        return origin.times if origin is not None else super().times_of(conn)

    def down(self, name: str) -> None:
        super().down(name)
        self.proxies[name].down()

    def back(self, name: str) -> None:
        self.proxies[name].back()
        super().back(name)

    def other(self, fault, names: list[str]):
        proxies = [self.proxies[name] for name in names if name in self.proxies]
        if fault.what == "net_delay":
            return self.setting(proxies, "delay", int(fault.times * MS), 0)
        if fault.what == "net_pieces":
            return self.setting(proxies, "pieces", True, False)
        if fault.what == "net_cut":
            return self.setting(proxies, "cut_after", int(fault.times), 0)
        if fault.what == "net_stall":
            for proxy in proxies:
                proxy.stall(True)
            return lambda: [proxy.stall(False) for proxy in proxies]
        return super().other(fault, names)

    @staticmethod
    def setting(proxies: list[Proxy], name: str, value, after):
        for proxy in proxies:
            setattr(proxy, name, value)
        return lambda: [setattr(proxy, name, after) for proxy in proxies]

    def unread(self, name: str) -> bool:
        """Whether the server reads nothing, so that an end written to it is not seen."""
        front: Front | None = self.fronts.get(name)
        proxy = self.proxies.get(name)
        return front is None or any(conn.paused for conn in front.conns) or proxy is None or proxy.stalled or proxy.delay > 0 or any(
            tunnel.router.paused or tunnel.waiting for tunnel in proxy.tunnels)


class SoakLine(Line):
    """A client's connection as the protocol wants it: closed when idle, patient until an answer counts as lost."""

    PATIENCE = LOST_AFTER + 100 * MS

    def __init__(self, load: SoakLoad, router: int, slow: bool = False):
        super().__init__(load, router, slow)
        self.used_at = load.loop.now()
        load.loop.later(CLIENT_IDLE, self.rest)

    def ask(self, txn: Txn) -> None:
        self.used_at = self.load.loop.now()
        super().ask(txn)

    def answer(self, stream: int, payload: bytes) -> None:
        super().answer(stream, payload)
        if not self.open and not self.conn.closed and self.load.chance.random() < self.load.plan.load.churn:
            self.conn.close()

    def rest(self) -> None:
        idle = self.load.loop.now() - self.used_at
        if self.conn.closed:
            return
        if not self.open and idle >= CLIENT_IDLE:
            return self.conn.close()
        self.load.loop.later(max(SECOND // 10, CLIENT_IDLE - idle), self.rest)

    def expire(self, stream: int) -> None:
        if stream in self.open:
            self.load.checker.expired(self, stream, self.load.loop.now())
        super().expire(stream)

    def hang_up(self, reset: bool) -> None:
        """The client goes in the middle of its requests."""
        for stream in list(self.open):
            self.load.checker.withdrew(self, stream, self.load.loop.now())
        self.conn.reset() if reset else self.conn.close()

    def closed(self) -> None:
        load, now = self.load, self.load.loop.now()
        if self.conn.connecting:  # never up: nothing was taken
            for stream in self.open:
                load.checker.withdrew(self, stream, now)
        again = {one.ident for one in load.checker.ended(self, now, load.killed(self.router), self.stream > len(self.open))}
        load.lines[self.router].discard(self)
        open_now, self.open = list(self.open.values()), {}
        for txn in open_now:
            if again:
                txn.left += 1
                load.send(txn)
            else:
                load.answered(txn, "lost", 0)


class SoakLoad(Load):
    LINE = SoakLine

    def __init__(self, *about):
        super().__init__(*about)
        self.killed = lambda router: False  # set by the play
        self.chance = random.Random(f"{self.plan.seed} leavers")
        if self.plan.load.hang_ups:
            self.next_hang_up()

    def arrive(self, row, objects, due: int) -> None:
        txn = self.outcomes.made(row, objects, due, self.kb_of)
        if self.chance.random() < self.plan.load.hurried:
            txn.limit_at = min(txn.limit_at, due + int(self.chance.uniform(0.12, 1.0) * SECOND))
        self.send(txn)

    def asked(self, line: Line, txn: Txn) -> None:
        if self.chance.random() < self.plan.load.cancels:
            stream = line.stream
            self.loop.later(int(self.chance.expovariate(8) * SECOND), lambda: line.give_up(stream))

    def next_hang_up(self) -> None:
        if self.loop.now() >= self.ends:
            return
        lines = [line for lines in self.lines for line in lines if line.open and not line.slow and not line.conn.connecting]
        if lines:
            self.chance.choice(lines).hang_up(self.chance.random() < 0.5)
        self.loop.later(int(self.chance.expovariate(self.plan.load.hang_ups) * SECOND), self.next_hang_up)

    def left(self, line: Line) -> None:
        """A router said that it takes nothing new; this client hears of it a moment later."""
        line.leaving = False
        self.loop.later(int(self.chance.random() * STILL_ASKED), lambda: setattr(line, "leaving", True))


class Soak(Play):
    NODE, WORLD, LOAD = SoakNode, SoakWorld, SoakLoad

    def __init__(self, plan, build, logs, command, live):
        self.kept_logs = tempfile.TemporaryDirectory(prefix="fieldspur-soak-") if logs is None else None
        self.log_folder = Path(logs or self.kept_logs.name)
        super().__init__(plan, build, str(self.log_folder), command, live)
        folder = Path(self.folder.name)
        library = shim.build(folder)
        for node in self.nodes:
            node.shim = shim.Shim(folder, library, node.number, plan.seed)
        self.world.others |= {what: self.failing_calls for what in CALLS} | {
            "clock_step": self.clock_step, "late_dials": self.late_dials, "watch_stall": self.watch_stall, "watch_cut": self.watch_cut}
        self.ready_after: list[float] = []
        self.came_up = True

    def make_checker(self) -> Invariants:
        return Invariants(self.plan.servers.fall_multiple, self.plan.routers, self.second, self.loop.stall, self.loop.later,
                          lambda server: self.world.unread(server))

    def await_ready(self, end: float) -> None:
        """All start together; the load begins once each has said that it is ready."""
        waiting = {node.number for node in self.nodes}

        def ready(node: SoakNode) -> None:
            waiting.discard(node.number)
            if not waiting:
                self.go()

        def look(node: SoakNode) -> None:
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
        return (self.loop.now() - getattr(self, "begin", self.loop.now())) / SECOND

    def begun(self) -> None:
        self.load.killed = lambda router: self.nodes[router].killed
        for node in self.nodes:
            node.sample(BEFORE)
            node.level = dict(node.samples[-1]) if node.samples else {}

    # Troubles of routers.

    def over(self, fault, undo) -> None:
        if fault.lasts:
            self.loop.later(int(fault.lasts * SECOND), undo)

    def each(self, fault, setting, after) -> None:
        """Set something at the routers that the fault names, and undo it once it is over."""
        nodes = self.routers(fault.who)
        for node in nodes:
            setting(node)
        self.over(fault, lambda: [after(node) for node in nodes])

    def clock_step(self, fault) -> None:
        self.each(fault, lambda node: node.shim.step_clock(fault.times), lambda node: node.shim.step_clock(0))

    def late_dials(self, fault) -> None:
        self.each(fault, lambda node: node.shim.dial_delay(int(fault.times)), lambda node: node.shim.dial_delay(0))

    def failing_calls(self, fault) -> None:
        name = CALLS[fault.what]
        self.each(fault, lambda node: node.shim.rate(name, int(fault.times)), lambda node: node.shim.rate(name, 0))

    def deaf(self, fault) -> None:
        until = self.loop.now() + int(fault.lasts * SECOND) + HEARD_AFTER[fault.what]
        for node in self.routers(fault.who):
            self.checker.deaf_until[node.number] = max(until, self.checker.deaf_until.get(node.number, 0))

    def watch_stall(self, fault) -> None:
        self.deaf(fault)
        self.each(fault, lambda node: [link.stalls(True) for link in node.links.values()],
                  lambda node: [link.stalls(False) for link in node.links.values()])

    def watch_cut(self, fault) -> None:
        self.deaf(fault)
        self.each(fault, lambda node: [link.cuts(True) for link in node.links.values()],
                  lambda node: [link.cuts(False) for link in node.links.values()])

    def kill(self, fault) -> None:
        for node in self.routers(fault.who):
            if node.process.poll() is None and self.here(node):
                super().kill(msgspec.structs.replace(fault, who=str(node.number)))

    def pause(self, fault) -> None:
        for node in self.routers(fault.who):
            if node.process.poll() is None and self.here(node):
                super().pause(msgspec.structs.replace(fault, who=str(node.number)))

    def here(self, node: SoakNode) -> bool:
        """Whether it serves: not being restarted, killed or stopped."""
        return self.load.gone_until[node.number] <= self.loop.now() and not node.sleeping() and not node.ending

    def router_restart(self, fault) -> None:
        """SIGTERM. New connections come for a while yet, requests on open ones for longer."""
        node = self.node(fault)
        if node.process.poll() is not None or not self.here(node):
            return
        node.ended_at, node.ending = self.loop.now(), True
        node.process.send_signal(signal.SIGTERM)
        self.loop.later(STILL_NEW, lambda: self.load.gone_until.__setitem__(node.number, self.loop.now() + 3600 * SECOND))
        self.await_end(node)

    def await_end(self, node: SoakNode) -> None:
        took = self.loop.now() - node.ended_at
        if node.process.poll() is None:
            if took > LONGEST_END + END_SLACK + self.checker.lag and not node.sleeping():
                self.checker.broke("shutdown", f"router {node.number}: still there {took // MS} ms after SIGTERM")
                node.killed = True
                node.process.kill()
                node.process.wait()
                return self.again(node)
            return self.loop.later(20 * MS, lambda: self.await_end(node))
        if node.process.returncode:
            self.checker.broke("crash", f"router {node.number}: ended with code {node.process.returncode} on SIGTERM")
        self.again(node)

    def again(self, node: SoakNode) -> None:
        node.ending = False
        node.start()
        self.loop.later(SECOND // 10, lambda: self.await_back(node))

    def await_back(self, node: SoakNode) -> None:
        took = time.monotonic() - node.started_at
        if node.process.poll() is not None:
            self.checker.broke("crash", f"router {node.number}: did not start again, code {node.process.returncode}: {self.last_line(node)}")
            return self.loop.later(SECOND, lambda: self.again(node))
        if took > READY_LONGEST:
            self.checker.broke("ready", f"router {node.number}: not ready after {took:.1f} s")
        self.ask_ready(node, lambda: self.back(node), lambda: self.await_back(node))

    def back(self, node: SoakNode) -> None:
        """It is ready after a start: the front takes it in."""
        self.ready_after.append(time.monotonic() - node.started_at)
        self.load.gone_until[node.number] = 0
        if node.owed_reload:
            node.owed_reload = False
            node.process.send_signal(signal.SIGHUP)

    def ask_ready(self, node: SoakNode, yes, no) -> None:
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

    def last_line(self, node: SoakNode) -> str:
        lines = (self.log_folder / f"node-{node.number}.log").read_text(errors="replace").splitlines()
        return lines[-1] if lines else ""

    # The end.

    def sample(self) -> None:
        for node in self.nodes:
            if node.process.poll() is not None and node.process.returncode and not node.killed and not node.crashed and self.here(node):
                node.crashed = f"ended with code {node.process.returncode}"
                self.checker.broke("crash", f"router {node.number}: {node.crashed}: {self.last_line(node)}")
                self.load.gone_until[node.number] = self.loop.now() + 3600 * SECOND
                self.loop.later(SECOND, lambda node=node: self.again(node))
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
        fired: dict[str, int] = {}
        for node in self.nodes:
            for name, count in node.shim.fired().items():
                fired[name] = fired.get(name, 0) + count
        found |= {"processes": self.plan.routers + 1, "router_hours": round(self.plan.routers * self.plan.seconds / 3600, 3),
                  "faults": [msgspec.structs.asdict(one) for one in self.plan.faults], "calls_failed": fired,
                  "judge_lag_ms": self.checker.most_lag // MS, "ready_s": [round(one, 2) for one in slow],
                  "again": f"fieldspur lab soak --seed {self.plan.seed} --seconds {self.plan.seconds:g}"}
        found["missed"] = [f"{name}: {rows[0]} ({len(rows)} in all)" for name, rows in found["rules"].items() if rows]
        found["passed"] = not found["missed"]
        return found

    def read_log(self, node: SoakNode) -> None:
        """What a router itself says went wrong."""
        for line in (self.log_folder / f"node-{node.number}.log").read_text(errors="replace").splitlines():
            if "event=crashed" in line or "event=broken" in line:
                self.checker.broke("crash", f"router {node.number}: {line[:400]}")

    def run(self) -> dict:
        try:
            return super().run()
        finally:
            if self.kept_logs is not None:
                self.kept_logs.cleanup()


def soak(seed: int, seconds: float, routers: int | None = None, only: tuple[int, ...] = (), build: str | None = None,
         logs: str | None = None, command: list | None = None) -> dict:
    """Figures of one soak; `only`: the numbers of the faults that are played, all without. Raises LabFailed."""
    plan = planning.plan(seed, seconds, routers)
    if only:
        plan = msgspec.structs.replace(plan, faults=tuple(plan.faults[n] for n in only if n < len(plan.faults)))
    try:
        return Soak(plan, build, logs, command, None).run()
    except shim.NoCompiler as wrong:
        raise LabFailed(str(wrong)) from None
