"""Emulated caches, parents, store and notice board on loopback sockets, and what goes wrong with them."""

from __future__ import annotations

import json
import random
from collections import deque
from collections.abc import Callable

from fieldspur.bench.sample_settings import endpoint
from fieldspur.lab import catalog
from fieldspur.lab.checks.rule_checker import Checker, Hop
from fieldspur.lab.emulate import socket_queues, wire
from fieldspur.lab.emulate.event_loop import Conn, Loop
from fieldspur.lab.emulate.faults import Faults
from fieldspur.lab.emulate.server_model import MS, SECOND, ReceivedHop, Server, Store

LINE_EVERY = SECOND  # the board's last number
LOOK_QUEUES = 10 * MS  # at what is written to a server that reads nothing


class ServerFrontend:
    """The sockets of one server; `model` says what it does."""

    def __init__(self, world: World, model, kind: str):
        self.world, self.model, self.kind = world, model, kind
        self.conns: set[Conn] = set()
        self.open: dict[tuple, ReceivedHop] = {}
        self.entries: dict[tuple, Hop] = {}  # the checker's, of those
        self.garble = 0.0  # share of good answers that arrive spoilt
        self.random = random.Random(f"{world.plan.seed} {model.name} front")
        self.listener = self.listen()
        self.port = self.listener.getsockname()[1]

    def listen(self, port: int = 0):
        servers = self.world.plan.servers
        return self.world.loop.listen(self.accepted, port, servers.window, servers.segment)

    def accepted(self, conn: Conn) -> None:
        self.conns.add(conn)
        conn.times = self.world.times_of(conn)
        conn.on_data = lambda held: self.data(conn, held)
        conn.on_close = lambda: self.closed(conn)
        conn.paused = self.model.silent

    def closed(self, conn: Conn) -> None:
        self.conns.discard(conn)
        for spot in [spot for spot in self.open if spot[0] is conn]:
            self.gave_up(spot, self.world.loop.now())

    def data(self, conn: Conn, held: bytearray) -> None:
        try:
            base = conn.total - len(held)
            for at, items in wire.commands(held):
                if items[0] == b"never_mind":
                    self.gave_up((conn, items[1].decode()), conn.first(base + at))
                elif items[0] == b"want":
                    self.want(conn, items[1].decode(), items[2].decode(), conn.first(base + at))
                elif items[0] == b"busy" and not self.model.silent:
                    conn.write(wire.said(items[1].decode(), "READY", self.meter()))
        except (wire.Wrong, ValueError, IndexError, KeyError) as wrong:
            self.world.checker.add_violation(1, f"{self.model.name} was sent what is not of the protocol: {wrong}")
            conn.reset()

    def gave_up(self, spot: tuple, at: int) -> None:
        """Nobody waits for the attempt any more."""
        asked, entry = self.open.pop(spot, None), self.entries.pop(spot, None)
        if asked is not None:
            asked.give_up()
        if entry is not None:
            entry.end, entry.ended_at = entry.end or "GIVEN_UP", entry.ended_at or at

    def meter(self) -> str:
        load = self.model.load()
        return "meter=" + ";".join(f"{name}:{load[name]}" for name in ("active", "cpu", "x0", "x1"))

    def want(self, conn: Conn, ident: str, text: str, first: int) -> None:
        world, now = self.world, self.world.loop.now()
        fields = dict(pair.split("=", 1) for pair in text.split(","))
        entry = world.checker.hop_arrived(self.model.name, fields.get("miss"), ident, now, first)
        world.checker.limit_passed_on(ident, int(fields["limit"]), first)
        rule, obj, part = fields["cls"], fields["item"], int(fields["chunk"])
        flags = fields.get("f", "").split("+")
        source = world.models.get(fields["miss"]) if "miss" in fields else None

        def end(word: str, note: str, waited: int, copy) -> None:
            self.open.pop((conn, ident), None)
            self.entries.pop((conn, ident), None)
            if entry is not None:
                entry.end, entry.ended_at = word, world.loop.now()
            told = [f"tell={note}"] if note else []
            told += [f"delay={waited / MS:.1f}"] if waited else []
            data = b""
            if word == "ACK":
                issued = copy.issued // MS
                told += ["entity=%x" % issued, f"issued={issued}"]
                data = wire.body(obj, part, issued, world.bytes_of(rule, obj, part))
            told.append(self.meter())
            data = wire.said(ident, word, ",".join(told), data)
            if word == "ACK" and self.random.random() < self.garble:
                data = self.spoil(data)
            conn.write(data)

        asked = ReceivedHop(
            rule,
            obj,
            part,
            world.kb_of(rule, obj, part),
            fields.get("nonce"),
            source,
            int(fields.get("prio", 0)),
            int(fields.get("within", 0)) * MS,
            "collapse" in flags,
            "only-if-cached" not in flags,
            catalog.kind(rule) == "repeatable",
            end,
            ident,
        )
        self.open[conn, ident] = asked
        if entry is not None:
            self.entries[conn, ident] = entry
        world.checker.count_work(self.model.transfer_time(asked.kb))
        self.model.receive(asked)

    def spoil(self, data: bytes) -> bytes:
        return self.random.choice(
            (b"*9999999999\r\n" + data, data[: len(data) // 2] + b"\0" * 40, b"noise\r\n" + data, data.replace(b"$", b"$9", 1))
        )

    def take_down(self) -> None:
        """The process dies: its connections reset, further ones are refused."""
        self.model.die()
        self.world.loop.unlisten(self.listener)
        for conn in list(self.conns):
            conn.reset()

    def bring_back(self) -> None:
        """A new process at the old address: empty, cold."""
        self.model.started = self.world.loop.now()
        self.model.start_empty()
        self.listener = self.listen(self.port)

    def set_silent(self, yes: bool, stopped: bool) -> None:
        self.model.silent = yes
        for conn in self.conns:
            conn.pause(yes and stopped)
        if yes and stopped and not self.world.tracks_sent_bytes:
            self.look()

    def look(self) -> None:
        """While it reads nothing, when what was handed to the system is seen in the system's own tables."""
        if self.model.silent:
            socket_queues.look([conn for conn in self.conns if conn.paused])
            self.world.loop.later(LOOK_QUEUES, self.look)


class DiscoveryServer:
    """The notice board: numbered events to all that watch."""

    def __init__(self, loop: Loop, events: list | None = None):
        self.loop, self.events = loop, events if events is not None else []
        self.watchers: dict[Conn, int] = {}  # and the last number that each has
        self.listener = loop.listen(self.accepted)
        self.port = self.listener.getsockname()[1]
        self.open = True
        self.beat()

    def accepted(self, conn: Conn) -> None:
        def data(held: bytearray) -> None:
            if b"\n" in held:
                words = bytes(held).split()
                held.clear()
                self.watchers[conn] = int(words[1])
                self.send(conn)

        conn.on_data, conn.on_close = data, lambda: self.watchers.pop(conn, None)

    def send(self, conn: Conn) -> None:
        conn.write(b"".join(json.dumps(event).encode() + b"\n" for event in self.events[self.watchers[conn] :]))
        self.watchers[conn] = len(self.events)

    def publish(self, *events: dict) -> None:
        for event in events:
            self.events.append({"rev": len(self.events) + 1, **event})
        for conn in list(self.watchers):
            self.send(conn)

    def beat(self) -> None:
        if self.open:
            for conn in list(self.watchers):
                conn.write(b"%d\n" % len(self.events))
            self.loop.later(LINE_EVERY, self.beat)

    def break_off(self) -> None:
        for conn in list(self.watchers):
            conn.out += b'{"rev":%d,"po' % (len(self.events) + 1)
            conn.end()

    def close(self) -> None:
        self.open = False
        self.loop.unlisten(self.listener)
        for conn in list(self.watchers):
            conn.close()


class World(Faults):
    """All that stands behind the routers on sockets."""

    SUPPORTED_FAULTS = Faults.SUPPORTED_FAULTS | {"garble", "reset", "board_break"}
    tracks_sent_bytes = False  # something before a server notes when routers hand their bytes over, whether the server reads or not

    def __init__(self, loop: Loop, plan, checker: Checker):
        super().__init__(loop, random.Random(f"{plan.seed} faults"))
        self.loop, self.plan, self.checker = loop, plan, checker
        rows = plan.servers
        self.store = Store(loop, rows.store_rating, int(rows.store_ms * MS))
        self.store.on_effect = checker.effect
        self.models["store"] = self.store
        self.fronts: dict[str, ServerFrontend] = {}
        self.byte_rate = {row.rule: row.bytes_a_kb for row in plan.load.classes}
        self.middle = {row.rule: row.kb for row in plan.load.classes}
        for kind, count, rating, mb in (
            ("std", rows.caches, rows.rating, rows.cache_mb),
            ("parent", rows.parents, rows.parent_rating, rows.parent_mb),
        ):
            for n in range(count):
                name = f"{'cache' if kind == 'std' else 'parent'}-{n}"
                model = Server(loop, name, kind, rating, mb * 1024, catalog.KB_PER_S, rows, seed=plan.seed)
                model.store, model.on_offered, model.on_fall = self.store, self.offered, self.crash_overloaded
                self.models[name] = model
                self.fronts[name] = ServerFrontend(self, model, kind)
        self.store_listener = loop.listen(lambda conn: None)
        self.discovery = DiscoveryServer(
            loop, [{"rev": 1, "pool": {"index": 1, "snapshot": True, "endpoints": [self.row(name) for name in self.models]}}]
        )
        self.other_faults: dict[str, Callable] = {}  # faults that are not of the servers, by what happens

    def row(self, name: str, status: str = "up") -> dict:
        model = self.models[name]
        if name == "store":
            return endpoint("store", self.store_listener.getsockname()[1], "origin")
        return endpoint(name, self.port_of(name), model.kind, status=status, weight=model.rating, since_ms=model.started // MS)

    def port_of(self, name: str) -> int:
        """Where routers connect to a server."""
        return self.fronts[name].port

    def times_of(self, conn: Conn) -> deque:
        """Where it is kept when the bytes of a connection to a server were handed over."""
        return deque()

    def kb_of(self, rule: str, obj: str, part: int) -> float:
        return round(self.middle[rule] * catalog.spread(obj, part), 1)

    def bytes_of(self, rule: str, obj: str, part: int) -> int:
        return min(230_000, int(self.kb_of(rule, obj, part) * self.byte_rate[rule]))

    def offered(self, server: Server, work: int) -> None:
        self.checker.slow_start_work(server.name, server.current_rating(), work, self.loop.now())

    def announce(self, names: list[str], status: str) -> None:
        self.announce_rows([self.row(name, status) for name in names], status)

    def announce_rows(self, rows: list[dict], status: str) -> None:
        """Discovery tells of these endpoints, which are all in that state."""
        now = self.loop.now()
        for row in rows:
            self.checker.state_announced(row["name"], status, now)
        self.discovery.publish({"pool": {"index": 1, "snapshot": False, "endpoints": rows}})

    def take_down(self, name: str) -> None:
        self.fronts[name].take_down()

    def bring_back(self, name: str) -> None:
        self.fronts[name].bring_back()
        self.checker.started(name, self.loop.now())
        self.announce([name], "up")

    def set_silent(self, name: str, yes: bool, stopped: bool) -> None:
        self.fronts[name].set_silent(yes, stopped)

    def announce_purge(self, group: int, now: int) -> None:
        self.discovery.publish(*({"flush": {"collection": one, "ms": now // MS}} for one in (range(256) if group < 0 else (group,))))
        self.checker.purged(None, group, now, self.loop.now())

    def inject_other(self, fault, names: list[str]):
        fronts = [self.fronts[name] for name in names]
        if fault.what == "garble":
            for front in fronts:
                front.garble = min(1.0, fault.times / 100)
            return lambda: [setattr(front, "garble", 0.0) for front in fronts]
        if fault.what == "reset":
            self.resets(fronts, self.loop.now() + int(fault.lasts * SECOND))
        elif fault.what == "board_break":
            self.discovery.break_off()
        else:
            self.other_faults[fault.what](fault)
        return None

    def resets(self, fronts: list[ServerFrontend], until: int) -> None:
        for front in fronts:
            for conn in list(front.conns):
                conn.reset()
        if self.loop.now() < until:
            self.loop.later(200 * MS, lambda: self.resets(fronts, until))
