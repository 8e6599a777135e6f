"""The load generator: txns arrive at planned times whether the routers keep up or not (an open loop). Clients retry, and some clients
break the protocol on purpose.

The time of a txn counts from when it was due, over all its tries. Connections carry frames and never block."""

from __future__ import annotations

import itertools
import random
from collections import Counter
from collections.abc import Callable

from fieldspur.lab import catalog
from fieldspur.lab.checks.outcomes import Outcomes, Txn
from fieldspur.lab.checks.rule_checker import MS, SECOND, Checker, Try
from fieldspur.lab.emulate import wire
from fieldspur.lab.emulate.event_loop import Loop

MAX_OPEN_TXNS = 30  # on one connection; the protocol allows 32
RETRY_ROUTER_AFTER = 300 * MS  # a router that could not be reached is tried again after this
BAD_CLIENT_TIMEOUT = 3 * SECOND  # by then the router must have answered a bad client or closed its connection


class ClientConnection:
    """One connection of a client to a router, with its open txns by stream number."""

    PATIENCE = 80 * MS  # how long the client waits for an answer after the time limit of its request

    def __init__(self, load: LoadGenerator, router: int, slow: bool = False):
        self.load, self.router, self.slow = load, router, slow
        self.stream_numbers = itertools.count(1)
        self.stream, self.open, self.router_ending = 0, {}, False  # stream: the number of the last request
        self.conn = load.loop.connect(load.addresses[router], window=4096 if slow else 0)
        self.conn.on_data, self.conn.on_close = self.receive, self.closed

    def send_request(self, txn: Txn) -> None:
        """Sends one try of the txn."""
        load, now = self.load, self.load.loop.now()
        time_left = (txn.limit_at - now) // MS
        self.stream = next(self.stream_numbers)
        ident = f"{load.random.getrandbits(64):016x}"
        fields = {"verb": txn.rule, "txn": ident, "limit": str(time_left)}
        if txn.key:
            fields["unique"] = txn.key
        fields |= {"item": txn.obj, "slice": str(txn.part), "set": str(catalog.group(txn.obj)), "ram": f"{txn.kb:g}"}
        client_try = Try(ident, txn.kind, txn.obj, txn.part, catalog.group(txn.obj), txn.key, now, now + time_left * MS)
        self.open[self.stream] = txn
        txn.left -= 1
        if self.slow:
            load.checker.by_ident[ident] = client_try  # this client reads late on purpose, so its answers are not checked
        else:
            load.checker.sent(self, self.stream, client_try)
        self.conn.write(wire.request(self.stream, fields, load.bodies[txn.rule] if txn.kind != "repeatable" else b""))
        if not self.slow:
            load.loop.at(txn.limit_at + self.PATIENCE, lambda stream=self.stream: self.expire(stream))

    def expire(self, stream: int) -> None:
        """The time limit and the client's patience are over."""
        self.give_up(stream)

    def give_up(self, stream: int) -> None:
        """The client cancels its request."""
        txn = self.open.pop(stream, None)
        if txn is not None:
            self.load.checker.withdrew(self, stream, self.load.loop.now())
            self.conn.write(wire.gone(stream))
            self.load.ended(txn, "unanswered")

    def receive(self, buffer: bytearray) -> None:
        """Handles all whole frames in `buffer` and removes them from it."""
        try:
            for kind, stream, payload in wire.frames(buffer):
                if kind == 66 and stream:
                    self.receive_answer(stream, payload)
                elif kind == 90:
                    self.router_ending = True
                    self.load.router_leaving(self)
        except wire.Wrong as error:
            self.load.checker.add_violation(1, f"router {self.router} wrote what is not of the protocol: {error}")
            self.conn.reset()

    def receive_answer(self, stream: int, payload: bytes) -> None:
        load, now = self.load, self.load.loop.now()
        outcome, fields, data = wire.answer(payload)
        txn, body_error, issued = self.open.pop(stream, None), "", None
        if txn is not None and outcome == "completed" and fields.get("current") != "1":
            try:
                issued = wire.read_body(data, txn.obj, txn.part) * MS
            except wire.Wrong as error:
                body_error = str(error)
        if not self.slow:
            load.checker.answered(self, stream, outcome, now, issued, body_error)
        if txn is not None:
            load.answered(txn, outcome, int(fields.get("later", 0)) * MS)

    def closed(self) -> None:
        load = self.load
        load.checker.closed(self, load.loop.now(), load.is_unavailable(self.router))
        load.connections[self.router].discard(self)
        open_txns, self.open = list(self.open.values()), {}
        for txn in open_txns:
            load.answered(txn, "lost", 0)


class LoadGenerator:
    """Plans and sends the txns of all clients, chooses a router and a connection for each try, and counts how the txns end."""

    CONNECTION = ClientConnection

    def __init__(self, loop: Loop, plan, checker: Checker, addresses: list[tuple[str, int]], load_start: int, kb_of: Callable):
        self.loop, self.plan, self.checker, self.addresses, self.load_start = loop, plan, checker, addresses, load_start
        self.kb_of = kb_of
        self.random = random.Random(f"{plan.seed} load")
        self.connections: list[set[ClientConnection]] = [set() for _ in addresses]
        self.gone_until = [0] * len(addresses)  # for each router, the time until which clients do not use it
        self.bodies = {txn_class.rule: b"order" * (txn_class.body // 5) + b"order"[: txn_class.body % 5] for txn_class in plan.load.classes}
        self.outcomes = Outcomes(plan, load_start, self.random)
        self.load_end = self.outcomes.ends
        self.bad_counts = Counter()
        for txn_class in plan.load.classes:
            objects = catalog.Popular(txn_class, plan.seed, catalog.kind(txn_class.rule) == "repeatable")
            self.plan_next(txn_class, objects, catalog.Arrivals(txn_class, plan.load.waves, plan.seed), 0.0)
        if plan.load.bad_clients:
            self.plan_bad_client()
        for router in range(len(addresses)):
            for _ in range(plan.load.slow_clients):
                self.slow_client(router)

    def plan_next(self, txn_class, objects, arrivals, second: float) -> None:
        second = arrivals.next(second)
        due = self.load_start + int(second * SECOND)
        if due < self.load_end:
            self.loop.at(due, lambda: (self.arrive(txn_class, objects, due), self.plan_next(txn_class, objects, arrivals, second)))

    def arrive(self, txn_class, objects, due: int) -> None:
        self.send(self.outcomes.create_txn(txn_class, objects, due, self.kb_of))

    def is_unavailable(self, router: int) -> bool:
        return self.loop.now() < self.gone_until[router]

    def send(self, txn: Txn) -> None:
        """Sends a try at a random available router, on its connection with the fewest open txns."""
        if self.loop.now() >= txn.limit_at - 20 * MS or txn.left <= 0:
            return self.ended(txn, "failed")
        available = [router for router in range(len(self.addresses)) if not self.is_unavailable(router)]
        if not available:
            return self.loop.later(RETRY_ROUTER_AFTER, lambda: self.send(txn))
        router = self.random.choice(available)
        usable = [connection for connection in self.connections[router] if not connection.router_ending and not connection.slow]
        connection = min(usable, key=lambda connection: len(connection.open), default=None)
        if connection is None or connection.open and len(usable) < self.plan.load.connections:
            connection = self.CONNECTION(self, router)
            if connection.conn.closed:
                self.gone_until[router] = self.loop.now() + RETRY_ROUTER_AFTER
                return self.loop.later(RETRY_ROUTER_AFTER, lambda: self.send(txn))
            self.connections[router].add(connection)
        if len(connection.open) >= MAX_OPEN_TXNS:
            return self.loop.later(20 * MS, lambda: self.send(txn))
        self.outcomes.tried += 1
        connection.send_request(txn)
        self.request_sent(connection, txn)

    def request_sent(self, connection: ClientConnection, txn: Txn) -> None:
        """Subclasses plan here what the client does while it waits."""

    def router_leaving(self, connection: ClientConnection) -> None:
        """The router has announced its end: clients use other routers for a while."""
        self.gone_until[connection.router] = max(self.gone_until[connection.router], self.loop.now() + RETRY_ROUTER_AFTER)

    def answered(self, txn: Txn, outcome: str, retry_after: int) -> None:
        """Ends the txn, or plans its next try if the outcome allows one."""
        if outcome == "completed" or txn.kind == "unrepeatable" and outcome != "rejected":
            return self.ended(txn, outcome)
        if txn.left <= 0:
            return self.ended(txn, outcome)
        self.loop.later(max(retry_after, 10 * MS), lambda: self.send(txn))

    def ended(self, txn: Txn, outcome: str) -> None:
        self.outcomes.ended(txn, outcome, self.loop.now())

    # Clients that break the protocol or read slowly.

    def plan_bad_client(self) -> None:
        if self.loop.now() < self.load_end:
            if self.loop.now() >= self.load_start:
                self.bad_client()
            self.loop.later(int(self.random.expovariate(self.plan.load.bad_clients) * SECOND), self.plan_bad_client)

    def bad_client(self) -> None:
        """Connects, sends something invalid or incomplete, and counts it if the router neither answers nor closes in time."""
        router = self.random.randrange(len(self.addresses))
        if self.is_unavailable(router):
            return
        conn, began = self.loop.connect(self.addresses[router]), self.loop.now()
        ident, now = f"{self.random.getrandbits(64):016x}", self.loop.now()
        self.checker.by_ident[ident] = Try(ident, "repeatable", catalog.name("bad"), 0, 1, None, now, now + SECOND)
        valid = wire.request(1, {"verb": "pages", "txn": ident, "limit": "400", "item": catalog.name("bad"), "set": "1", "ram": "10"})
        conn.write(
            self.random.choice(
                (
                    b"\xff" * 200,
                    b"GET / HTTP/1.1\r\n\r\n",
                    wire.HEAD.pack(2**31, 65, 1),
                    wire.HEAD.pack(0, 65, 1),
                    valid[:30],
                    b"",
                    valid.replace(b"pages", b"spoon"),
                    valid.replace(b"400", b"-40"),
                    wire.HEAD.pack(5, 99, 1),
                    valid + valid,
                    self.random.randbytes(300),
                )
            )
        )
        state = {"reacted": False}

        def receive(buffer: bytearray) -> None:
            state["reacted"] = True
            buffer.clear()

        def closed() -> None:
            state["reacted"] = True

        conn.on_data, conn.on_close = receive, closed
        self.bad_counts["sent"] += 1

        def check_end() -> None:
            self.bad_counts["no_end"] += not state["reacted"] and not self.is_unavailable(router)
            conn.close()

        self.loop.at(began + BAD_CLIENT_TIMEOUT, check_end)

    def slow_client(self, router: int) -> None:
        """A client that requests large answers and reads 4 KB of them per second."""
        connection = ClientConnection(self, router, slow=True)
        connection.conn.pause(True)
        self.connections[router].add(connection)

        def read() -> None:
            if not connection.conn.closed:
                connection.conn.read(400)
                self.loop.later(100 * MS, read)

        def request() -> None:
            if not connection.conn.closed and self.loop.now() < self.load_end and len(connection.open) < 8:
                txn_class = self.plan.load.classes[0]
                obj = catalog.name("slow", router, connection.stream)
                now = self.loop.now()
                txn = Txn(txn_class.rule, "repeatable", obj, 0, self.kb_of(txn_class.rule, obj, 0), None, now, now + 4 * SECOND, 1, False)
                txn.ended = "slow"
                connection.send_request(txn)
                self.loop.later(500 * MS, request)

        self.loop.at(self.load_start, read)
        self.loop.at(self.load_start, request)
