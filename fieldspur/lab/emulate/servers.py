"""Emulated caches, parents, store and discovery service on loopback sockets, with fault injection."""

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

HEARTBEAT_INTERVAL = SECOND  # between lines with the last revision, which discovery sends to its watchers
QUEUE_POLL_INTERVAL = 10 * MS  # between reads of the socket queues of a server that has stopped reading


class ServerFrontend:
    """The sockets of one emulated server. `model` decides how the server answers."""

    def __init__(self, world: World, model, kind: str):
        self.world, self.model, self.kind = world, model, kind
        self.conns: set[Conn] = set()
        self.open: dict[tuple, ReceivedHop] = {}  # unanswered hops, by connection and txn id
        self.entries: dict[tuple, Hop] = {}  # the checker's records of those hops
        self.garble = 0.0  # share of successful answers that are corrupted
        self.random = random.Random(f"{world.plan.seed} {model.name} front")
        self.listener = self.listen()
        self.port = self.listener.getsockname()[1]

    def listen(self, port: int = 0):
        servers = self.world.plan.servers
        return self.world.loop.listen(self.accepted, port, servers.window, servers.segment)

    def accepted(self, conn: Conn) -> None:
        self.conns.add(conn)
        conn.times = self.world.times_of(conn)
        conn.on_data = lambda received: self.read_commands(conn, received)
        conn.on_close = lambda: self.closed(conn)
        conn.paused = self.model.silent

    def closed(self, conn: Conn) -> None:
        self.conns.discard(conn)
        for hop_key in [hop_key for hop_key in self.open if hop_key[0] is conn]:
            self.cancel_hop(hop_key, self.world.loop.now())

    def read_commands(self, conn: Conn, received: bytearray) -> None:
        try:
            base = conn.total - len(received)
            for offset, items in wire.commands(received):
                if items[0] == b"never_mind":
                    self.cancel_hop((conn, items[1].decode()), conn.first(base + offset))
                elif items[0] == b"want":
                    self.hop_requested(conn, items[1].decode(), items[2].decode(), conn.first(base + offset))
                elif items[0] == b"busy" and not self.model.silent:
                    conn.write(wire.said(items[1].decode(), "READY", self.meter()))
        except (wire.Wrong, ValueError, IndexError, KeyError) as error:
            self.world.checker.add_violation(1, f"{self.model.name} was sent what is not of the protocol: {error}")
            conn.reset()

    def cancel_hop(self, hop_key: tuple, at: int) -> None:
        """Handles the cancellation of a hop, at the time `at`."""
        hop, entry = self.open.pop(hop_key, None), self.entries.pop(hop_key, None)
        if hop is not None:
            hop.give_up()
        if entry is not None:
            entry.end, entry.ended_at = entry.end or "GIVEN_UP", entry.ended_at or at

    def meter(self) -> str:
        """The load figures in the protocol's form."""
        load = self.model.load()
        return "meter=" + ";".join(f"{name}:{load[name]}" for name in ("active", "cpu", "x0", "x1"))

    def hop_requested(self, conn: Conn, ident: str, text: str, first_byte_at: int) -> None:
        world, now = self.world, self.world.loop.now()
        fields = dict(pair.split("=", 1) for pair in text.split(","))
        entry = world.checker.hop_arrived(self.model.name, fields.get("miss"), ident, now, first_byte_at)
        world.checker.limit_passed_on(ident, int(fields["limit"]), first_byte_at)
        rule, obj, part = fields["cls"], fields["item"], int(fields["chunk"])
        flags = fields.get("f", "").split("+")
        source = world.models.get(fields["miss"]) if "miss" in fields else None

        def end(status: str, note: str, waited: int, copy) -> None:
            self.open.pop((conn, ident), None)
            self.entries.pop((conn, ident), None)
            if entry is not None:
                entry.end, entry.ended_at = status, world.loop.now()
            answer_fields = [f"tell={note}"] if note else []
            answer_fields += [f"delay={waited / MS:.1f}"] if waited else []
            data = b""
            if status == "ACK":
                issued = copy.issued // MS
                answer_fields += ["entity=%x" % issued, f"issued={issued}"]
                data = wire.body(obj, part, issued, world.bytes_of(rule, obj, part))
            answer_fields.append(self.meter())
            data = wire.said(ident, status, ",".join(answer_fields), data)
            if status == "ACK" and self.random.random() < self.garble:
                data = self.spoil(data)
            conn.write(data)

        hop = ReceivedHop(
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
        self.open[conn, ident] = hop
        if entry is not None:
            self.entries[conn, ident] = entry
        world.checker.count_work(self.model.transfer_time(hop.kb))
        self.model.receive(hop)

    def spoil(self, data: bytes) -> bytes:
        return self.random.choice(
            (b"*9999999999\r\n" + data, data[: len(data) // 2] + b"\0" * 40, b"noise\r\n" + data, data.replace(b"$", b"$9", 1))
        )

    def take_down(self) -> None:
        """Kills the process: its connections are reset and new ones are refused."""
        self.model.die()
        self.world.loop.unlisten(self.listener)
        for conn in list(self.conns):
            conn.reset()

    def bring_back(self) -> None:
        """Starts a new process at the same address, with an empty cache and in slow start."""
        self.model.started = self.world.loop.now()
        self.model.start_empty()
        self.listener = self.listen(self.port)

    def set_silent(self, silent: bool, stopped: bool) -> None:
        """Ends or starts the answers of the server; a stopped server does not read from its connections either."""
        self.model.silent = silent
        for conn in self.conns:
            conn.pause(silent and stopped)
        if silent and stopped and not self.world.tracks_sent_bytes:
            self.poll_queues()

    def poll_queues(self) -> None:
        """While the server reads nothing, finds out from the kernel's socket table when routers write to it."""
        if self.model.silent:
            socket_queues.look([conn for conn in self.conns if conn.paused])
            self.world.loop.later(QUEUE_POLL_INTERVAL, self.poll_queues)


class DiscoveryServer:
    """The discovery service: sends numbered events to all watchers."""

    def __init__(self, loop: Loop, events: list | None = None):
        self.loop, self.events = loop, events if events is not None else []
        self.watchers: dict[Conn, int] = {}  # last revision sent to each watcher
        self.listener = loop.listen(self.accepted)
        self.port = self.listener.getsockname()[1]
        self.open = True
        self.send_heartbeat()

    def accepted(self, conn: Conn) -> None:
        def read_watch(received: bytearray) -> None:
            if b"\n" in received:
                words = bytes(received).split()
                received.clear()
                self.watchers[conn] = int(words[1])
                self.send(conn)

        conn.on_data, conn.on_close = read_watch, lambda: self.watchers.pop(conn, None)

    def send(self, conn: Conn) -> None:
        conn.write(b"".join(json.dumps(event).encode() + b"\n" for event in self.events[self.watchers[conn] :]))
        self.watchers[conn] = len(self.events)

    def publish(self, *events: dict) -> None:
        for event in events:
            self.events.append({"rev": len(self.events) + 1, **event})
        for conn in list(self.watchers):
            self.send(conn)

    def send_heartbeat(self) -> None:
        if self.open:
            for conn in list(self.watchers):
                conn.write(b"%d\n" % len(self.events))
            self.loop.later(HEARTBEAT_INTERVAL, self.send_heartbeat)

    def break_off(self) -> None:
        """Ends all watches in the middle of an event."""
        for conn in list(self.watchers):
            conn.out += b'{"rev":%d,"po' % (len(self.events) + 1)
            conn.end()

    def close(self) -> None:
        self.open = False
        self.loop.unlisten(self.listener)
        for conn in list(self.watchers):
            conn.close()


class World(Faults):
    """All emulated servers behind the routers, on sockets."""

    SUPPORTED_FAULTS = Faults.SUPPORTED_FAULTS | {"garble", "reset", "board_break"}
    tracks_sent_bytes = False  # whether a proxy records when routers write to a server that does not read

    def __init__(self, loop: Loop, plan, checker: Checker):
        super().__init__(loop, random.Random(f"{plan.seed} faults"))
        self.loop, self.plan, self.checker = loop, plan, checker
        settings = plan.servers
        self.store = Store(loop, settings.store_rating, int(settings.store_ms * MS))
        self.store.on_effect = checker.effect
        self.models["store"] = self.store
        self.fronts: dict[str, ServerFrontend] = {}
        self.bytes_per_kb = {row.rule: row.bytes_a_kb for row in plan.load.classes}
        self.median_kb = {row.rule: row.kb for row in plan.load.classes}
        for kind, count, rating, mb in (
            ("std", settings.caches, settings.rating, settings.cache_mb),
            ("parent", settings.parents, settings.parent_rating, settings.parent_mb),
        ):
            for n in range(count):
                name = f"{'cache' if kind == 'std' else 'parent'}-{n}"
                model = Server(loop, name, kind, rating, mb * 1024, catalog.KB_PER_S, settings, seed=plan.seed)
                model.store, model.on_offered, model.on_fall = self.store, self.offered, self.crash_overloaded
                self.models[name] = model
                self.fronts[name] = ServerFrontend(self, model, kind)
        self.store_listener = loop.listen(lambda conn: None)
        self.discovery = DiscoveryServer(
            loop, [{"rev": 1, "pool": {"index": 1, "snapshot": True, "endpoints": [self.row(name) for name in self.models]}}]
        )
        self.other_faults: dict[str, Callable] = {}  # handlers of faults that do not concern servers, by name of the fault

    def row(self, name: str, status: str = "up") -> dict:
        """The entry of a server in the server list."""
        model = self.models[name]
        if name == "store":
            return endpoint("store", self.store_listener.getsockname()[1], "origin")
        return endpoint(name, self.port_of(name), model.kind, status=status, weight=model.rating, since_ms=model.started // MS)

    def port_of(self, name: str) -> int:
        """The port at which routers connect to a server."""
        return self.fronts[name].port

    def times_of(self, conn: Conn) -> deque:
        """The record of when the router wrote the bytes of this connection: see `Conn.times`."""
        return deque()

    def kb_of(self, rule: str, obj: str, part: int) -> float:
        return round(self.median_kb[rule] * catalog.spread(obj, part), 1)

    def bytes_of(self, rule: str, obj: str, part: int) -> int:
        return min(230_000, int(self.kb_of(rule, obj, part) * self.bytes_per_kb[rule]))

    def offered(self, server: Server, work: int) -> None:
        self.checker.slow_start_work(server.name, server.current_rating(), work, self.loop.now())

    def announce(self, names: list[str], status: str) -> None:
        self.announce_rows([self.row(name, status) for name in names], status)

    def announce_rows(self, rows: list[dict], status: str) -> None:
        """Publishes these endpoints, which are all in the given state."""
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

    def set_silent(self, name: str, silent: bool, stopped: bool) -> None:
        self.fronts[name].set_silent(silent, stopped)

    def announce_purge(self, group: int, now: int) -> None:
        self.discovery.publish(
            *({"flush": {"collection": collection, "ms": now // MS}} for collection in (range(256) if group < 0 else (group,)))
        )
        self.checker.purged(None, group, now, self.loop.now())

    def inject_other(self, fault, names: list[str]):
        fronts = [self.fronts[name] for name in names]
        if fault.what == "garble":
            for front in fronts:
                front.garble = min(1.0, fault.times / 100)
            return lambda: [setattr(front, "garble", 0.0) for front in fronts]
        if fault.what == "reset":
            self.reset_connections(fronts, self.loop.now() + int(fault.lasts * SECOND))
        elif fault.what == "board_break":
            self.discovery.break_off()
        else:
            self.other_faults[fault.what](fault)
        return None

    def reset_connections(self, fronts: list[ServerFrontend], until: int) -> None:
        """Resets all connections of these servers, again and again until the given time."""
        for front in fronts:
            for conn in list(front.conns):
                conn.reset()
        if self.loop.now() < until:
            self.loop.later(200 * MS, lambda: self.reset_connections(fronts, until))
