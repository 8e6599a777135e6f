"""Clients of the soak: they cancel requests, close and reopen connections, and check the time of each answer."""

from __future__ import annotations

import itertools
import random
from collections.abc import Iterator

from fieldspur.lab.checks.invariants import LOST_AFTER
from fieldspur.lab.checks.outcomes import Txn
from fieldspur.lab.emulate.server_model import MS, SECOND
from fieldspur.lab.runs.load_generator import ClientConnection, LoadGenerator

CLIENT_IDLE_TIMEOUT = 4 * SECOND  # clients close a connection without open requests after this
MAX_PERSISTENT_REQUESTS = 8  # open requests on a connection that a client uses until the connection ends
ENDING_NOTICE_DELAY = 500 * MS  # most clients send requests on old connections for up to this long after SIGTERM
LARGEST_STREAM = 2**32 - 1  # of the client protocol
MAX_STREAM_GAP = 1000


def stream_numbers(chance: random.Random) -> Iterator[int]:
    """Stream numbers of one connection, by one of the ways in which a client may number its requests: without gaps, up or down with
    gaps, or without any order."""
    way = chance.choice(("no gaps", "up", "down", "no order"))
    if way == "no gaps":
        yield from itertools.count(1)
    number, used = LARGEST_STREAM + 1 if way == "down" else 0, set()
    while True:
        if way == "no order":
            number = chance.randint(1, LARGEST_STREAM)
        else:
            number += chance.randint(1, MAX_STREAM_GAP) * (1 if way == "up" else -1)
        if number not in used:
            used.add(number)
            yield number


class SoakConnection(ClientConnection):
    """A connection of a client that keeps to the protocol: it is closed when idle, and waits until an answer counts as lost."""

    PATIENCE = LOST_AFTER + 100 * MS

    def __init__(self, load: SoakLoadGenerator, router: int, slow: bool = False):
        super().__init__(load, router, slow)
        self.stream_numbers, self.sent_requests = stream_numbers(load.numbering_chance), 0
        self.last_used_at = load.loop.now()
        load.loop.later(CLIENT_IDLE_TIMEOUT, self.close_if_idle)

    def send_request(self, txn: Txn) -> None:
        self.last_used_at = self.load.loop.now()
        self.sent_requests += 1
        super().send_request(txn)

    def receive_answer(self, stream: int, payload: bytes) -> None:
        super().receive_answer(stream, payload)
        if not self.open and not self.conn.closed and self.load.chance.random() < self.load.plan.load.churn:
            self.conn.close()

    def close_if_idle(self) -> None:
        idle = self.load.loop.now() - self.last_used_at
        if self.conn.closed:
            return
        if not self.open and idle >= CLIENT_IDLE_TIMEOUT:
            return self.conn.close()
        self.load.loop.later(max(SECOND // 10, CLIENT_IDLE_TIMEOUT - idle), self.close_if_idle)

    def expire(self, stream: int) -> None:
        if stream in self.open:
            self.load.checker.expired(self, stream, self.load.loop.now())
        super().expire(stream)

    def hang_up(self, reset: bool) -> None:
        """The client closes or resets the connection while requests are open."""
        for stream in list(self.open):
            self.load.checker.withdrew(self, stream, self.load.loop.now())
        self.conn.reset() if reset else self.conn.close()

    def keep_sending(self) -> None:
        """Sends requests until the connection ends, although the router has announced its end."""
        load = self.load
        if self.conn.closed or load.loop.now() >= load.load_end:
            return
        if len(self.open) < MAX_PERSISTENT_REQUESTS:
            load.send_new(self)
        load.loop.later(int(load.chance.uniform(10, 80) * MS), self.keep_sending)

    def closed(self) -> None:
        load, now = self.load, self.load.loop.now()
        used = self.sent_requests > len(self.open)
        was_refused = self.conn.reset_by_peer and now < load.crowded_until[self.router]
        if self.conn.connecting:  # never established: the router has received no request
            for stream in self.open:
                load.checker.withdrew(self, stream, now)
        retried = {client_try.ident for client_try in load.checker.ended(self, now, load.killed(self.router), used, was_refused)}
        load.connections[self.router].discard(self)
        open_txns, self.open = list(self.open.values()), {}
        for txn in open_txns:
            if retried:
                txn.left += 1
                load.send(txn)
            else:
                load.answered(txn, "lost", 0)


class SoakLoadGenerator(LoadGenerator):
    """The load of a soak: requests with short limits, early cancels, and clients that hang up."""

    CONNECTION = SoakConnection

    def __init__(self, *args):
        super().__init__(*args)
        self.numbering_chance = random.Random(f"{self.plan.seed} stream numbers")
        self.killed = lambda router: False  # set by the run: whether a fault has killed the router
        self.chance = random.Random(f"{self.plan.seed} leavers")
        self.classes: dict[str, tuple] = {}  # by rule: the class of txns and the source of its objects
        self.crowded_until = [0] * len(self.addresses)  # for each router, the time until which idle clients may use up its file descriptors
        if self.plan.load.hang_ups:
            self.plan_hang_up()

    def arrive(self, txn_class, objects, due: int) -> None:
        self.classes[txn_class.rule] = txn_class, objects
        self.send(self.make_txn(txn_class, objects, due))

    def make_txn(self, txn_class, objects, due: int) -> Txn:
        """A new txn, with the time limit that the soak or a client in a hurry sets."""
        txn = self.outcomes.create_txn(txn_class, objects, due, self.kb_of)
        if self.plan.load.deadline_s:
            txn.limit_at = min(txn.limit_at, due + int(self.plan.load.deadline_s * SECOND))
        if self.chance.random() < self.plan.load.hurried:
            txn.limit_at = min(txn.limit_at, due + int(self.chance.uniform(0.12, 1.0) * SECOND))
        return txn

    def send_new(self, connection: ClientConnection) -> None:
        """Sends a new txn on the given connection."""
        txn_class, objects = self.chance.choice(list(self.classes.values()))
        txn = self.make_txn(txn_class, objects, self.loop.now())
        self.outcomes.tried += 1
        connection.send_request(txn)
        self.request_sent(connection, txn)

    def request_sent(self, connection: ClientConnection, txn: Txn) -> None:
        if self.chance.random() < self.plan.load.cancels:
            stream = connection.stream
            self.loop.later(int(self.chance.expovariate(8) * SECOND), lambda: connection.give_up(stream))

    def plan_hang_up(self) -> None:
        if self.loop.now() >= self.load_end:
            return
        candidates = [
            connection
            for connections in self.connections
            for connection in connections
            if connection.open and not connection.slow and not connection.conn.connecting
        ]
        if candidates:
            self.chance.choice(candidates).hang_up(self.chance.random() < 0.5)
        self.loop.later(int(self.chance.expovariate(self.plan.load.hang_ups) * SECOND), self.plan_hang_up)

    def router_leaving(self, connection: ClientConnection) -> None:
        """The router has announced its end. The client stops using the connection a moment later, or uses it until it ends."""
        connection.router_ending = False
        if self.chance.random() < self.plan.load.stays:
            return connection.keep_sending()
        self.loop.later(int(self.chance.random() * ENDING_NOTICE_DELAY), lambda: setattr(connection, "router_ending", True))
