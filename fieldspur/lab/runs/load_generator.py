"""The load tool: an open loop of txns, due whether the routers keep up or not, with clients' own tries, and bad clients.

Times count from when a txn was due, over all its tries. Each connection speaks frames and never waits."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable

from fieldspur.lab import catalog
from fieldspur.lab.checks.outcomes import Outcomes, Txn
from fieldspur.lab.checks.rule_checker import MS, SECOND, Checker, Try
from fieldspur.lab.emulate import wire
from fieldspur.lab.emulate.event_loop import Loop

MOST_OPEN = 30  # txns on one connection, below the protocol's 32
AWAY = 300 * MS  # a router that could not be reached is asked again after that
BAD_LIFE = 3 * SECOND  # a bad client is owed an end by then


class ClientConnection:
    """One client connection to a router."""

    PATIENCE = 80 * MS  # past a request's time limit, its client waits no more

    def __init__(self, load: LoadGenerator, router: int, slow: bool = False):
        self.load, self.router, self.slow = load, router, slow
        self.stream, self.open, self.leaving = 0, {}, False
        self.conn = load.loop.connect(load.addresses[router], window=4096 if slow else 0)
        self.conn.on_data, self.conn.on_close = self.data, self.closed

    def ask(self, txn: Txn) -> None:
        load, now = self.load, self.load.loop.now()
        left = (txn.limit_at - now) // MS
        self.stream += 1
        ident = f"{load.random.getrandbits(64):016x}"
        fields = {"verb": txn.rule, "txn": ident, "limit": str(left)}
        if txn.key:
            fields["unique"] = txn.key
        fields |= {"item": txn.obj, "slice": str(txn.part), "set": str(catalog.group(txn.obj)), "ram": f"{txn.kb:g}"}
        one = Try(ident, txn.kind, txn.obj, txn.part, catalog.group(txn.obj), txn.key, now, now + left * MS)
        self.open[self.stream] = txn
        txn.left -= 1
        if self.slow:
            load.checker.by_ident[ident] = one  # its answers are read late by plan
        else:
            load.checker.sent(self, self.stream, one)
        self.conn.write(wire.request(self.stream, fields, load.bodies[txn.rule] if txn.kind != "repeatable" else b""))
        if not self.slow:
            load.loop.at(txn.limit_at + self.PATIENCE, lambda stream=self.stream: self.expire(stream))

    def expire(self, stream: int) -> None:
        """The client's time is over."""
        self.give_up(stream)

    def give_up(self, stream: int) -> None:
        """The client waits no more."""
        txn = self.open.pop(stream, None)
        if txn is not None:
            self.load.checker.withdrew(self, stream, self.load.loop.now())
            self.conn.write(wire.gone(stream))
            self.load.ended(txn, "unanswered")

    def data(self, held: bytearray) -> None:
        try:
            for kind, stream, payload in wire.frames(held):
                if kind == 66 and stream:
                    self.answer(stream, payload)
                elif kind == 90:
                    self.leaving = True
                    self.load.left(self)
        except wire.Wrong as wrong:
            self.load.checker.broke(1, f"router {self.router} wrote what is not of the protocol: {wrong}")
            self.conn.reset()

    def answer(self, stream: int, payload: bytes) -> None:
        load, now = self.load, self.load.loop.now()
        word, fields, data = wire.answer(payload)
        txn, wrong, issued = self.open.pop(stream, None), "", None
        if txn is not None and word == "completed" and fields.get("current") != "1":
            try:
                issued = wire.read_body(data, txn.obj, txn.part) * MS
            except wire.Wrong as why:
                wrong = str(why)
        if not self.slow:
            load.checker.answered(self, stream, word, now, issued, wrong)
        if txn is not None:
            load.answered(txn, word, int(fields.get("later", 0)) * MS)

    def closed(self) -> None:
        load = self.load
        load.checker.closed(self, load.loop.now(), load.away(self.router))
        load.lines[self.router].discard(self)
        open_now, self.open = list(self.open.values()), {}
        for txn in open_now:
            load.answered(txn, "lost", 0)


class LoadGenerator:
    CONNECTION = ClientConnection

    def __init__(self, loop: Loop, plan, checker: Checker, addresses: list[tuple[str, int]], begin: int, kb_of: Callable):
        self.loop, self.plan, self.checker, self.addresses, self.begin = loop, plan, checker, addresses, begin
        self.kb_of = kb_of
        self.random = random.Random(f"{plan.seed} load")
        self.lines: list[set[ClientConnection]] = [set() for _ in addresses]
        self.gone_until = [0] * len(addresses)  # routers that are away by plan
        self.bodies = {row.rule: b"order" * (row.body // 5) + b"order"[: row.body % 5] for row in plan.load.classes}
        self.outcomes = Outcomes(plan, begin, self.random)
        self.ends = self.outcomes.ends
        self.bad = Counter()
        for row in plan.load.classes:
            objects = catalog.Popular(row, plan.seed, catalog.kind(row.rule) == "repeatable")
            self.plan_next(row, objects, catalog.Arrivals(row, plan.load.waves, plan.seed), 0.0)
        if plan.load.bad_clients:
            self.next_bad()
        for router in range(len(addresses)):
            for _ in range(plan.load.slow_clients):
                self.slow_client(router)

    def plan_next(self, row, objects, arrivals, second: float) -> None:
        second = arrivals.next(second)
        due = self.begin + int(second * SECOND)
        if due < self.ends:
            self.loop.at(due, lambda: (self.arrive(row, objects, due), self.plan_next(row, objects, arrivals, second)))

    def arrive(self, row, objects, due: int) -> None:
        self.send(self.outcomes.made(row, objects, due, self.kb_of))

    def away(self, router: int) -> bool:
        return self.loop.now() < self.gone_until[router]

    def send(self, txn: Txn) -> None:
        """On the connection with the least open, at any router that is there."""
        if self.loop.now() >= txn.limit_at - 20 * MS or txn.left <= 0:
            return self.ended(txn, "failed")
        there = [n for n in range(len(self.addresses)) if not self.away(n)]
        if not there:
            return self.loop.later(AWAY, lambda: self.send(txn))
        router = self.random.choice(there)
        lines = [line for line in self.lines[router] if not line.leaving and not line.slow]
        line = min(lines, key=lambda line: len(line.open), default=None)
        if line is None or line.open and len(lines) < self.plan.load.connections:
            line = self.CONNECTION(self, router)
            if line.conn.closed:
                self.gone_until[router] = self.loop.now() + AWAY
                return self.loop.later(AWAY, lambda: self.send(txn))
            self.lines[router].add(line)
        if len(line.open) >= MOST_OPEN:
            return self.loop.later(20 * MS, lambda: self.send(txn))
        self.outcomes.tried += 1
        line.ask(txn)
        self.asked(line, txn)

    def asked(self, line: ClientConnection, txn: Txn) -> None:
        """For loads whose clients do more than wait."""

    def left(self, line: ClientConnection) -> None:
        """A router said that it takes nothing new."""
        self.gone_until[line.router] = max(self.gone_until[line.router], self.loop.now() + AWAY)

    def answered(self, txn: Txn, word: str, later: int) -> None:
        if word == "completed" or txn.kind == "unrepeatable" and word != "rejected":
            return self.ended(txn, word)
        if txn.left <= 0:
            return self.ended(txn, word)
        self.loop.later(max(later, 10 * MS), lambda: self.send(txn))

    def ended(self, txn: Txn, word: str) -> None:
        self.outcomes.ended(txn, word, self.loop.now())

    # Clients that do as they should not.

    def next_bad(self) -> None:
        if self.loop.now() < self.ends:
            if self.loop.now() >= self.begin:
                self.bad_client()
            self.loop.later(int(self.random.expovariate(self.plan.load.bad_clients) * SECOND), self.next_bad)

    def bad_client(self) -> None:
        router = self.random.randrange(len(self.addresses))
        if self.away(router):
            return
        conn, began = self.loop.connect(self.addresses[router]), self.loop.now()
        ident, now = f"{self.random.getrandbits(64):016x}", self.loop.now()
        self.checker.by_ident[ident] = Try(ident, "repeatable", catalog.name("bad"), 0, 1, None, now, now + SECOND)
        good = wire.request(1, {"verb": "pages", "txn": ident, "limit": "400", "item": catalog.name("bad"), "set": "1", "ram": "10"})
        conn.write(
            self.random.choice(
                (
                    b"\xff" * 200,
                    b"GET / HTTP/1.1\r\n\r\n",
                    wire.HEAD.pack(2**31, 65, 1),
                    wire.HEAD.pack(0, 65, 1),
                    good[:30],
                    b"",
                    good.replace(b"pages", b"spoon"),
                    good.replace(b"400", b"-40"),
                    wire.HEAD.pack(5, 99, 1),
                    good + good,
                    self.random.randbytes(300),
                )
            )
        )
        state = {"heard": False}

        def data(held: bytearray) -> None:
            state["heard"] = True
            held.clear()

        def closed() -> None:
            state["heard"] = True

        conn.on_data, conn.on_close = data, closed
        self.bad["sent"] += 1

        def over() -> None:
            self.bad["no_end"] += not state["heard"] and not self.away(router)
            conn.close()

        self.loop.at(began + BAD_LIFE, over)

    def slow_client(self, router: int) -> None:
        """Asks for large answers and reads 4 KB a second of them."""
        line = ClientConnection(self, router, slow=True)
        line.conn.pause(True)
        self.lines[router].add(line)

        def read() -> None:
            if not line.conn.closed:
                line.conn.read(400)
                self.loop.later(100 * MS, read)

        def ask() -> None:
            if not line.conn.closed and self.loop.now() < self.ends and len(line.open) < 8:
                row = self.plan.load.classes[0]
                obj = catalog.name("slow", router, line.stream)
                now = self.loop.now()
                txn = Txn(row.rule, "repeatable", obj, 0, self.kb_of(row.rule, obj, 0), None, now, now + 4 * SECOND, 1, False)
                txn.ended = "slow"
                line.ask(txn)
                self.loop.later(500 * MS, ask)

        self.loop.at(self.begin, read)
        self.loop.at(self.begin, ask)
