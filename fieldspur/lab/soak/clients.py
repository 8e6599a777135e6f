"""Clients of the soak: they go early, come again, and hold every answer against its time."""

from __future__ import annotations

import random

from fieldspur.lab.checks.invariants import LOST_AFTER
from fieldspur.lab.checks.outcomes import Txn
from fieldspur.lab.emulate.server_model import MS, SECOND
from fieldspur.lab.runs.load_generator import ClientConnection, LoadGenerator

CLIENT_IDLE = 4 * SECOND  # clients close a connection without a request after that
MOST_GOING_ON = 8  # open requests on a connection that a client uses on and on
STILL_ASKED = 500 * MS  # after SIGTERM: requests on old connections, of most clients


class SoakConnection(ClientConnection):
    """A client's connection as the protocol wants it: closed when idle, patient until an answer counts as lost."""

    PATIENCE = LOST_AFTER + 100 * MS

    def __init__(self, load: SoakLoadGenerator, router: int, slow: bool = False):
        super().__init__(load, router, slow)
        self.used_at = load.loop.now()
        load.loop.later(CLIENT_IDLE, self.rest)

    def send_request(self, txn: Txn) -> None:
        self.used_at = self.load.loop.now()
        super().send_request(txn)

    def receive_answer(self, stream: int, payload: bytes) -> None:
        super().receive_answer(stream, payload)
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

    def go_on(self) -> None:
        """This client uses its connection for as long as it stands, whatever its router has said."""
        load = self.load
        if self.conn.closed or load.loop.now() >= load.load_end:
            return
        if len(self.open) < MOST_GOING_ON:
            load.one_more(self)
        load.loop.later(int(load.chance.uniform(10, 80) * MS), self.go_on)

    def closed(self) -> None:
        load, now = self.load, self.load.loop.now()
        used = self.stream > len(self.open)
        turned_away = self.conn.reset_by_peer and now < load.crowded_until[self.router]
        if self.conn.connecting:  # never up: nothing was taken
            for stream in self.open:
                load.checker.withdrew(self, stream, now)
        again = {one.ident for one in load.checker.ended(self, now, load.killed(self.router), used, turned_away)}
        load.connections[self.router].discard(self)
        open_now, self.open = list(self.open.values()), {}
        for txn in open_now:
            if again:
                txn.left += 1
                load.send(txn)
            else:
                load.answered(txn, "lost", 0)


class SoakLoadGenerator(LoadGenerator):
    CONNECTION = SoakConnection

    def __init__(self, *about):
        super().__init__(*about)
        self.killed = lambda router: False  # set by the play
        self.chance = random.Random(f"{self.plan.seed} leavers")
        self.drawn: dict[str, tuple] = {}  # of each class: its row and what its objects are drawn from
        self.crowded_until = [0] * len(self.addresses)  # routers whose descriptors idle clients fill
        if self.plan.load.hang_ups:
            self.next_hang_up()

    def arrive(self, row, objects, due: int) -> None:
        self.drawn[row.rule] = row, objects
        self.send(self.made(row, objects, due))

    def made(self, row, objects, due: int) -> Txn:
        """A request as its client has it, with the time that it gives it."""
        txn = self.outcomes.made(row, objects, due, self.kb_of)
        if self.plan.load.deadline_s:
            txn.limit_at = min(txn.limit_at, due + int(self.plan.load.deadline_s * SECOND))
        if self.chance.random() < self.plan.load.hurried:
            txn.limit_at = min(txn.limit_at, due + int(self.chance.uniform(0.12, 1.0) * SECOND))
        return txn

    def one_more(self, line: ClientConnection) -> None:
        """A request on that very connection."""
        row, objects = self.chance.choice(list(self.drawn.values()))
        txn = self.made(row, objects, self.loop.now())
        self.outcomes.tried += 1
        line.send_request(txn)
        self.request_sent(line, txn)

    def request_sent(self, line: ClientConnection, txn: Txn) -> None:
        if self.chance.random() < self.plan.load.cancels:
            stream = line.stream
            self.loop.later(int(self.chance.expovariate(8) * SECOND), lambda: line.give_up(stream))

    def next_hang_up(self) -> None:
        if self.loop.now() >= self.load_end:
            return
        lines = [line for lines in self.connections for line in lines if line.open and not line.slow and not line.conn.connecting]
        if lines:
            self.chance.choice(lines).hang_up(self.chance.random() < 0.5)
        self.loop.later(int(self.chance.expovariate(self.plan.load.hang_ups) * SECOND), self.next_hang_up)

    def router_leaving(self, line: ClientConnection) -> None:
        """A router said that it takes nothing new; this client hears of it a moment later, or does not care."""
        line.router_ending = False
        if self.chance.random() < self.plan.load.stays:
            return line.go_on()
        self.loop.later(int(self.chance.random() * STILL_ASKED), lambda: setattr(line, "router_ending", True))
