"""Members put together in simulated time, and what routers do by what they know: no sockets, no threads."""

import json
import random

from fieldspur.fleet import consensus, planner, work_orders
from fieldspur.fleet.coordinator import Coordinator
from fieldspur.fleet.follower import Follower
from fieldspur.fleet.member import Member

MS, SECOND = 1_000_000, 1_000_000_000
LENGTH = 1500 * MS
LONGEST, WARM, GRACE = 2 * SECOND, 2 * SECOND, 250 * MS


class Entries:
    """In place of a coordinator: the agreed value is a list that each member's wants are added to."""

    def __init__(self):
        self.wants, self.others = [], {}

    names = [f"r{n}" for n in range(16)]

    def receive_line(self, value, name, nonce, own, agreed):
        self.others[name] = [tuple(one) for one in value["wants"]]

    def update_document(self, value):
        self.wants = [one for one in self.wants if one not in (value or ())]

    def tick(self, *about):
        pass

    def next_value(self, value, now):
        value = value or ()
        more = [one for wants in (*self.others.values(), self.wants) for one in wants if one not in value]
        return (*value, *more) if more else None

    def line(self):
        return {"wants": [list(one) for one in self.wants]}


class World:
    """Members in simulated time: lines on their way, pairs cut one way, members stopped, killed and back."""

    def __init__(self, members, seed, step=50, followers=0):
        self.step, self.settle = step, members - followers  # the first so many settle, the others follow
        self.random, self.now, self.members = random.Random(seed), 0, members
        self.nodes = [self.new(n) for n in range(members)]
        self.cut, self.stopped, self.down = set(), set(), set()
        self.told = [None] * members
        self.most_acting, self.decided = 0, ()
        self.acted = []

    def new(self, n):
        nonce = self.random.randrange(1, 1 << 40)
        if n >= self.settle:
            return Follower("valley", f"r{n}", nonce, self.settle, self.now, LENGTH, self.coordinator(n))
        return Member(
            "valley", consensus.blank_register(n, self.settle, nonce), self.settle, self.now, LENGTH, nonce, True, self.coordinator(n)
        )

    def coordinator(self, n):
        return Entries()

    def run(self, ms):
        for _ in range(0, ms, self.step):
            self.now += self.step * MS
            order = [n for n in range(self.members) if n not in self.stopped | self.down]
            self.random.shuffle(order)
            for n in order:
                for m in order:
                    if m != n and (m, n) not in self.cut and self.random.random() < 0.8:
                        self.read(n, m)
                self.nodes[n].tick(self.now)
            acting = [n for n in range(self.members) if n not in self.down and self.nodes[n].is_coordinator(self.now)]
            self.most_acting = max(self.most_acting, len(acting))
            self.acted += [n for n in acting if not self.acted or self.acted[-1] != n]
            for node in self.nodes[: self.settle]:
                self.compare(node.agreed_value() or ())

    def read(self, n, m):
        line = json.loads(json.dumps(self.nodes[m].line()))
        if m < self.settle:
            self.nodes[n].receive_line(m, line, self.now)
        elif n < self.settle:
            self.nodes[n].receive_follower_line(f"r{m}", line, self.now)

    def compare(self, agreed):
        assert agreed[: len(self.decided)] == self.decided[: len(agreed)]
        self.decided = max(self.decided, agreed, key=len)

    def want(self, n, body):
        self.nodes[n].coordinator.wants.append((f"{n}.{self.now}", body))

    def begin(self):
        self.run(500)
        self.nodes[0].found_fleet()
        self.run(5000)
        assert all(node.register.life for node in self.nodes[: self.settle]) and self.acted

    def kill(self, n):
        self.down.add(n)

    def start(self, n):
        self.down.discard(n)
        self.nodes[n] = self.new(n)


class SimulatedFleet(World):
    """Routers that use machines by what they know, and may see hops of theirs last as long as a txn may. Each step holds them to
    what is promised: nothing new to a machine 250 ms after it was out, no `free` with anything open, the bounds, one order."""

    def __init__(
        self, members, seed, machines=6, bounds=planner.Bounds(zone=0.5, all=0.5, both=1.0), strict=False, planted=None, followers=0
    ):
        self.bounds, self.strict, self.planted = bounds, strict, planted or (lambda coordinator: None)
        self.listings = {f"c{m}": work_orders.Listing("up", 0, f"h:{m}", "east", "cache", 10.0) for m in range(machines)}
        self.wished = {n: [] for n in range(members)}
        self.hops = {n: [] for n in range(members)}  # (machine, began, ends)
        self.numbers, self.outs, self.frees, self.most_out = {}, {}, [], 0
        self.wrong, self.restarts, self.skew = [], [], {}  # skew: ms by which a router's Unix clock is off
        super().__init__(members, seed, followers=followers)

    def coordinator(self, n):
        made = Coordinator([f"r{m}" for m in range(self.settle)], f"r{n}", "east", LENGTH, self.bounds, self.strict, LONGEST, WARM)
        made.requests = self.wished[n]
        self.planted(made)
        return made

    def ask(self, n, machine, **more):
        wish = work_orders.WorkRequest(more.pop("ident", f"w-{machine}"), machine, more.pop("needs", 1.0))._replace(**more)
        self.wished[n][:] = [one for one in self.wished[n] if one.ident != wish.ident] + [wish]

    def start(self, n):
        self.hops[n] = []
        super().start(n)

    def kill(self, n):
        self.hops[n] = []  # its connections end with it
        super().kill(n)

    def use(self, n):
        """One router's turn: what it reports, and hops to what it may use."""
        node, now = self.nodes[n], self.now
        coordinator = node.coordinator
        coordinator.unix_ms, coordinator.listings = now // MS + self.skew.get(n, 0), self.listings
        self.hops[n] = [hop for hop in self.hops[n] if hop[2] > now]
        off = coordinator.withdrawn(now)
        coordinator.fresh_loads = True
        coordinator.loads = {m: [10.0, 3.0 / self.members, 5.0, 2 if self.cold(coordinator, m, now) else 0] for m in self.listings}
        if not coordinator.list_unknown(now) if self.strict else node.is_up_to_date():  # at its start a router waits until it knows
            for machine in self.listings:
                if machine not in off and self.random.random() < 0.3:
                    self.hop(n, machine)
        coordinator.mark_applied(
            coordinator.document.number, {m: sum(hop[0] == m for hop in self.hops[n]) for m in coordinator.announced()}
        )

    def cold(self, coordinator, machine, now):
        return any(
            one.machine == machine
            and one.state == work_orders.BACK
            and one.at not in self.numbers
            or one.machine == machine
            and one.state == work_orders.BACK
            and now - self.numbers[one.at][1] < WARM
            for one in coordinator.document.orders
        )

    def hop(self, n, machine):
        now = self.now
        out = self.outs.get(machine)
        if out is not None and now > out + GRACE:
            self.wrong.append(f"r{n} used {machine} {(now - out) // MS} ms after it was out")
        self.hops[n].append((machine, now, now + int(self.random.random() ** 4 * LONGEST)))

    def run(self, ms):
        for _ in range(0, ms, self.step):
            for n in range(self.members):
                if n not in self.stopped | self.down:
                    self.use(n)
            super().run(self.step)
            self.judge()
            self.work_done()

    def compare(self, agreed):
        pass  # `judge` does

    def judge(self):
        for node in self.nodes:
            found = node.coordinator.document
            if found.number and found.number not in self.numbers:
                self.numbers[found.number] = (found, self.now)
                self.decided_first(found)
            elif found.number and self.numbers[found.number][0] != found:
                self.wrong.append(f"two documents {found.number}")

    def decided_first(self, found):
        """The first moment at which anybody knew of that document."""
        for one in found.orders:
            if one.state == work_orders.OUT and one.at == found.number:
                self.outs[one.machine] = self.now
            if one.state == work_orders.FREE and one.at == found.number:
                self.frees.append(one.machine)
                users = [
                    n
                    for n in range(self.members)
                    if n not in self.down
                    and n not in self.stopped
                    and any(hop[0] == one.machine and hop[2] > self.now for hop in self.hops[n])
                ]
                if users:
                    self.wrong.append(f"{one.machine} free, r{users[0]} has something open there")
                self.restarts.append((self.now + int(one.needs * SECOND), one.machine))
        for machine in list(self.outs):
            if machine not in found.machines_in(work_orders.WITHDRAWN):
                del self.outs[machine]
        away = found.machines_in(work_orders.AWAY)
        self.most_out = max(self.most_out, len(away))
        if len(away) > self.bounds.zone * len(self.listings) or len(away) > self.bounds.at_once:
            self.wrong.append(f"{len(away)} machines away")

    def work_done(self):
        """Machines whose work is over start again."""
        for at, machine in list(self.restarts):
            if self.now >= at:
                self.restarts.remove((at, machine))
                self.listings[machine] = self.listings[machine]._replace(started=self.now // MS)

    def until(self, true, limit_ms):
        for _ in range(0, limit_ms, self.step):
            self.run(self.step)
            if true():
                return
        raise AssertionError(f"not within {limit_ms} ms: {self.latest()}")

    def latest(self):
        return max((node.coordinator.document for node in self.nodes), key=lambda found: found.number)

    def how(self):
        """How each order ended, by machine."""
        return {one.machine: one.how for one in self.latest().ended}
