"""Members of a fleet, and routers that follow its work orders, in simulated time: no sockets, no threads."""

import json
import random

from fieldspur.fleet import consensus, planner, work_orders
from fieldspur.fleet.coordinator import Coordinator
from fieldspur.fleet.follower import Follower
from fieldspur.fleet.member import Member

MS = 1_000_000
SECOND = 1_000_000_000
LEASE_LENGTH = 1500 * MS  # of a lease
MAX_TIME_LIMIT = 2 * SECOND  # time limit of a txn
WARM_UP = 2 * SECOND  # slow start of a machine
GRACE = 250 * MS  # after a machine is out, in which routers may still use it


class EntryCoordinator:
    """Takes the place of a `Coordinator`: the agreed value is a list to which the pending entries of all members are appended."""

    def __init__(self):
        self.pending, self.pending_of_others = [], {}

    voter_names = [f"r{n}" for n in range(16)]

    def receive_line(self, value, name, nonce, own_nonce, agreed):
        self.pending_of_others[name] = [tuple(entry) for entry in value["wants"]]

    def update_document(self, value):
        self.pending = [entry for entry in self.pending if entry not in (value or ())]

    def tick(self, *args):
        pass

    def next_value(self, value, now):
        value = value or ()
        new_entries = [entry for pending in (*self.pending_of_others.values(), self.pending) for entry in pending if entry not in value]
        return (*value, *new_entries) if new_entries else None

    def line(self):
        return {"wants": [list(entry) for entry in self.pending]}


class SimulatedMembers:
    """Members in simulated time. Lines may be lost; single directions between two members can be cut; members can be stopped (as by
    SIGSTOP), killed and started again without memory."""

    def __init__(self, members, seed, step_ms=50, followers=0):
        self.step_ms, self.voters = step_ms, members - followers  # the first members vote, the others follow
        self.random, self.now, self.members = random.Random(seed), 0, members
        self.nodes = [self.new_member(n) for n in range(members)]
        self.cut, self.stopped, self.down = set(), set(), set()  # pairs (from, to); members; members
        self.lines = [None] * members
        self.max_coordinators, self.decided = 0, ()  # most coordinators at one moment; the longest agreed value
        self.coordinator_history = []

    def new_member(self, n):
        nonce = self.random.randrange(1, 1 << 40)
        if n >= self.voters:
            return Follower("valley", f"r{n}", nonce, self.voters, self.now, LEASE_LENGTH, self.new_coordinator(n))
        return Member(
            "valley",
            consensus.blank_register(n, self.voters, nonce),
            self.voters,
            self.now,
            LEASE_LENGTH,
            nonce,
            True,
            self.new_coordinator(n),
        )

    def new_coordinator(self, n):
        return EntryCoordinator()

    def run(self, ms):
        for _ in range(0, ms, self.step_ms):
            self.now += self.step_ms * MS
            running = [n for n in range(self.members) if n not in self.stopped | self.down]
            self.random.shuffle(running)
            for n in running:
                for m in running:
                    if m != n and (m, n) not in self.cut and self.random.random() < 0.8:
                        self.deliver_line(n, m)
                self.nodes[n].tick(self.now)
            coordinators = [n for n in range(self.members) if n not in self.down and self.nodes[n].is_coordinator(self.now)]
            self.max_coordinators = max(self.max_coordinators, len(coordinators))
            self.coordinator_history += [n for n in coordinators if not self.coordinator_history or self.coordinator_history[-1] != n]
            for node in self.nodes[: self.voters]:
                self.check_agreed(node.agreed_value() or ())

    def deliver_line(self, n, m):
        """Member n reads the line of member m."""
        line = json.loads(json.dumps(self.nodes[m].line()))
        if m < self.voters:
            self.nodes[n].receive_line(m, line, self.now)
        elif n < self.voters:
            self.nodes[n].receive_follower_line(f"r{m}", line, self.now)

    def check_agreed(self, agreed):
        """All agreed values are prefixes of the longest one."""
        assert agreed[: len(self.decided)] == self.decided[: len(agreed)]
        self.decided = max(self.decided, agreed, key=len)

    def request_entry(self, n, body):
        self.nodes[n].coordinator.pending.append((f"{n}.{self.now}", body))

    def begin(self):
        """Founds the fleet and waits until all voting members take part."""
        self.run(500)
        self.nodes[0].found_fleet()
        self.run(5000)
        assert all(node.register.life for node in self.nodes[: self.voters]) and self.coordinator_history

    def kill(self, n):
        self.down.add(n)

    def start(self, n):
        self.down.discard(n)
        self.nodes[n] = self.new_member(n)


class SimulatedFleet(SimulatedMembers):
    """Simulated members whose routers use machines by the work document. A hop may last as long as the time limit of a txn.

    Each step checks what a fleet guarantees, and appends failures to `violations`: no new hop to a machine 250 ms after it is out, no
    `free` while anything is open at the machine, the bounds, and one document for each number."""

    def __init__(
        self, members, seed, machines=6, bounds=planner.Bounds(zone=0.5, all=0.5, both=1.0), strict=False, fault=None, followers=0
    ):
        self.bounds, self.strict, self.inject_fault = bounds, strict, fault or (lambda coordinator: None)
        self.listings = {f"c{m}": work_orders.Listing("up", 0, f"h:{m}", "east", "cache", 10.0) for m in range(machines)}
        self.requests = {n: [] for n in range(members)}
        self.hops = {n: [] for n in range(members)}  # (machine, begin, end)
        # By number: the document and when it was first known; by machine: when it went out; machines that became free, in order.
        self.documents, self.out_since, self.freed, self.max_away = {}, {}, [], 0
        self.violations, self.restarts, self.clock_skew_ms = [], [], {}  # skew of a router's Unix clock
        super().__init__(members, seed, followers=followers)

    def new_coordinator(self, n):
        coordinator = Coordinator(
            [f"r{m}" for m in range(self.voters)], f"r{n}", "east", LEASE_LENGTH, self.bounds, self.strict, MAX_TIME_LIMIT, WARM_UP
        )
        coordinator.requests = self.requests[n]
        self.inject_fault(coordinator)
        return coordinator

    def request_work(self, n, machine, **fields):
        request = work_orders.WorkRequest(fields.pop("ident", f"w-{machine}"), machine, fields.pop("needs", 1.0))._replace(**fields)
        self.requests[n][:] = [other for other in self.requests[n] if other.ident != request.ident] + [request]

    def start(self, n):
        self.hops[n] = []
        super().start(n)

    def kill(self, n):
        self.hops[n] = []  # its connections end with it
        super().kill(n)

    def run_router(self, n):
        """One step of a router: it reports its loads, and starts hops to machines that it may use."""
        node, now = self.nodes[n], self.now
        coordinator = node.coordinator
        coordinator.unix_ms, coordinator.listings = now // MS + self.clock_skew_ms.get(n, 0), self.listings
        self.hops[n] = [hop for hop in self.hops[n] if hop[2] > now]
        withdrawn = coordinator.withdrawn(now)
        coordinator.fresh_loads = True
        coordinator.loads = {m: [10.0, 3.0 / self.members, 5.0, 2 if self.in_slow_start(coordinator, m, now) else 0] for m in self.listings}
        # A router serves only once its knowledge is up to date after a start.
        if not coordinator.list_unknown(now) if self.strict else node.is_up_to_date():
            for machine in self.listings:
                if machine not in withdrawn and self.random.random() < 0.3:
                    self.start_hop(n, machine)
        coordinator.mark_applied(
            coordinator.document.number, {m: sum(hop[0] == m for hop in self.hops[n]) for m in coordinator.announced()}
        )

    def in_slow_start(self, coordinator, machine, now):
        return any(
            order.machine == machine
            and order.state == work_orders.BACK
            and order.at not in self.documents
            or order.machine == machine
            and order.state == work_orders.BACK
            and now - self.documents[order.at][1] < WARM_UP
            for order in coordinator.document.orders
        )

    def start_hop(self, n, machine):
        now = self.now
        out_since = self.out_since.get(machine)
        if out_since is not None and now > out_since + GRACE:
            self.violations.append(f"r{n} used {machine} {(now - out_since) // MS} ms after it was out")
        self.hops[n].append((machine, now, now + int(self.random.random() ** 4 * MAX_TIME_LIMIT)))

    def run(self, ms):
        for _ in range(0, ms, self.step_ms):
            for n in range(self.members):
                if n not in self.stopped | self.down:
                    self.run_router(n)
            super().run(self.step_ms)
            self.check_documents()
            self.restart_machines()

    def check_agreed(self, agreed):
        pass  # `check_documents` does

    def check_documents(self):
        for node in self.nodes:
            document = node.coordinator.document
            if document.number and document.number not in self.documents:
                self.documents[document.number] = (document, self.now)
                self.check_new_document(document)
            elif document.number and self.documents[document.number][0] != document:
                self.violations.append(f"two documents {document.number}")

    def check_new_document(self, document):
        """Called at the first moment at which any member knows the document."""
        for order in document.orders:
            if order.state == work_orders.OUT and order.at == document.number:
                self.out_since[order.machine] = self.now
            if order.state == work_orders.FREE and order.at == document.number:
                self.freed.append(order.machine)
                users = [
                    n
                    for n in range(self.members)
                    if n not in self.down
                    and n not in self.stopped
                    and any(hop[0] == order.machine and hop[2] > self.now for hop in self.hops[n])
                ]
                if users:
                    self.violations.append(f"{order.machine} free, r{users[0]} has something open there")
                self.restarts.append((self.now + int(order.needs * SECOND), order.machine))
        for machine in list(self.out_since):
            if machine not in document.machines_in(work_orders.WITHDRAWN):
                del self.out_since[machine]
        away = document.machines_in(work_orders.AWAY)
        self.max_away = max(self.max_away, len(away))
        if len(away) > self.bounds.zone * len(self.listings) or len(away) > self.bounds.at_once:
            self.violations.append(f"{len(away)} machines away")

    def restart_machines(self):
        """Machines whose work is over start again."""
        for restart_at, machine in list(self.restarts):
            if self.now >= restart_at:
                self.restarts.remove((restart_at, machine))
                self.listings[machine] = self.listings[machine]._replace(started=self.now // MS)

    def run_until(self, condition, limit_ms):
        for _ in range(0, limit_ms, self.step_ms):
            self.run(self.step_ms)
            if condition():
                return
        raise AssertionError(f"not within {limit_ms} ms: {self.latest_document()}")

    def latest_document(self):
        return max((node.coordinator.document for node in self.nodes), key=lambda document: document.number)

    def outcomes(self):
        """How each order ended, by machine."""
        return {ended.machine: ended.how for ended in self.latest_document().ended}
