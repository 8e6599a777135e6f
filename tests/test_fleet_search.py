"""A search through every order of events while one machine is withdrawn. It checks the list leases of `coordinator` and `list_lease` at
three members, with a pause, a restart without memory, lost lines and a change of the coordinator. The consensus has a search
of its own (test_fleet.py). Here a document counts as decided as soon as the coordinator proposes it, because no other member can
read it earlier."""

import copy

import pytest

from fieldspur.fleet import consensus, planner, register_codec, work_orders
from fieldspur.fleet.coordinator import Coordinator
from fieldspur.fleet.list_lease import GrantedListLeases, ListLease

STEP = 6  # ns that pass in one step; more than one, so that a beat is a part of a lease
LENGTH = 2  # of a lease, in steps
LONGEST = 1  # time limit of a txn, in steps
# Numbers of the members: the first coordinator, the one that replaces it, and the one that is paused and restarted.
FIRST, SECOND, ROUTER = range(3)
BOUNDS = planner.Bounds(zone=1.0, all=1.0, both=1.0, headroom=1.0)
LISTINGS = {f"c{n}": work_orders.Listing("up", 0, "h:1", "east", "cache", 10.0) for n in range(2)}


class SimpleCoordinator(Coordinator):
    """A coordinator for which all machines are unloaded, because the search does not cover loads and notes."""

    def machine_pool(self, now):
        return planner.MachinePool({name: planner.Machine("east", False, 10.0, 0.0, 0.0) for name in LISTINGS}, BOUNDS)


class State:
    """A state of the search. `planted(coordinator)` plants a fault."""

    def __init__(self, planted):
        self.now, self.documents, self.active_member = 10 * STEP, [work_orders.EMPTY_DOCUMENT], FIRST
        self.paused = self.pauses = self.restarts = self.coordinator_changes = 0
        self.out_at = None  # the time at which a document first said that the machine is out
        self.planted = planted
        self.coordinators = [self.new_coordinator(n) for n in range(3)]
        self.nonces = [1, 2, 3]
        self.lines = [None] * 3
        order = work_orders.Order("a", "elsewhere", "c0", 9.0, 0.0, (), work_orders.NEXT, 1, 0, 1)
        self.documents.append(work_orders.WorkDocument(1, (order,)))
        for n, coordinator in enumerate(self.coordinators):
            coordinator.update_document(register_codec.freeze(work_orders.document_value(self.documents[1])))
            coordinator.mark_applied(1, {"c0": 0})
        for _ in range(2):  # all members apply the document in which the machine is next, and hold list leases
            self.pass_time()
            for a in range(3):
                for b in range(3):
                    if a != b:
                        self.deliver(a, b)
        self.publish()

    def new_coordinator(self, n):
        coordinator = SimpleCoordinator(["r0", "r1", "r2"], f"r{n}", "east", LENGTH * STEP, BOUNDS, False, LONGEST * STEP, 0)
        coordinator.beat, coordinator.lease_request_interval, coordinator.granted_leases.length, coordinator.list_lease.duration = (
            1,
            1,
            LENGTH * STEP,
            LENGTH * STEP,
        )
        coordinator.listings = LISTINGS
        if self.planted:
            self.planted(coordinator)
        return coordinator

    def document_number(self, n):
        return self.coordinators[n].document.number

    def publish(self):
        for n, coordinator in enumerate(self.coordinators):
            if n == ROUTER and self.paused:
                continue
            coordinator.tick(
                self.now,
                n == self.active_member,
                [register_codec.freeze(work_orders.document_value(self.documents[self.document_number(n)]))],
                frozenset(),
                True,
            )
            coordinator.mark_applied(coordinator.document.number, {"c0": 0} if coordinator.document.number else {})
            register = consensus.blank_register(n, 3, self.nonces[n])._replace(
                life=1,
                decided=consensus.StampedValue(
                    (1, 0, self.document_number(n)),
                    register_codec.freeze(work_orders.document_value(self.documents[self.document_number(n)])),
                ),
            )
            self.lines[n] = (coordinator.line(), register)

    def pass_time(self):
        self.now += STEP
        self.publish()

    def deliver(self, a, b):
        """Member b reads the line that member a published last."""
        line, register = self.lines[a]
        self.coordinators[b].receive_line(line, f"r{a}", register.nonce, self.nonces[b], (register.decided.value,))
        if register.decided.stamp[2] > self.document_number(b):
            self.coordinators[b].update_document(register.decided.value)

    def decide(self):
        coordinator = self.coordinators[self.active_member]
        if coordinator.document.number != len(self.documents) - 1:
            return False  # it first has to adopt the latest document
        coordinator.succession_checked_at = -1 << 60  # so that `next_value` checks again
        value = coordinator.next_value(register_codec.freeze(work_orders.document_value(coordinator.document)), self.now)
        if value is None:
            return False
        self.documents.append(work_orders.read_document(value))
        coordinator.update_document(value)
        if self.documents[-1].orders and self.documents[-1].orders[0].state == work_orders.OUT and self.out_at is None:
            self.out_at = self.now
        return True

    def is_violated(self):
        """Whether the router may use the machine although it is out."""
        return (
            self.out_at is not None
            and not self.paused
            and "c0" not in self.coordinators[ROUTER].withdrawn(self.now)
            and self.document_number(ROUTER) > 0
        )

    def nonce_of(self, name):
        return self.nonces[int(name[1:])]

    def age(self, n, count):
        """How long ago member n published the lease request `count`, up to a limit; -1 if it has forgotten this request."""
        n = n if type(n) is int else int(n[1:])
        published = self.coordinators[n].list_lease.published_at.get(count)
        return min(self.now - published, (LENGTH + 1) * STEP) if published is not None else -1

    def key(self):
        """What distinguishes states in the search: times only as ages, and nonces only by whether they are current."""
        rows = []
        for n, coordinator in enumerate(self.coordinators):
            line, register = self.lines[n]
            report = line["work"]
            rows.append(
                (
                    coordinator.document.number,
                    coordinator.applied_number,
                    max(0, coordinator.list_lease.until - self.now),
                    report["holds"],
                    report["doubt"],
                    report["count"] > 0,
                    self.age(n, report["count"]),
                    register.decided.stamp[2],
                    tuple((m, nonce == self.nonce_of(m), self.age(m, count)) for m, nonce, count in report.get("grants", ())),
                    tuple(sorted((m, nonce == self.nonce_of(m), self.age(m, count)) for m, (nonce, count) in coordinator.grants.items())),
                    tuple(
                        sorted(
                            (m, other.applied_number, other.list_unknown, other.nonce == self.nonce_of(m), self.age(m, other.lease_count))
                            for m, other in coordinator.reports.items()
                        )
                    ),
                    coordinator.granted_leases.since and min(self.now - coordinator.granted_leases.since, LENGTH * STEP + 1),
                    tuple(
                        sorted((m, min(self.now - granted, LENGTH * STEP)) for m, granted in coordinator.granted_leases.granted_at.items())
                    ),
                )
            )
        return (
            tuple(rows),
            len(self.documents),
            self.active_member,
            self.paused,
            self.pauses,
            self.restarts,
            self.coordinator_changes,
            self.out_at is None,
            self.documents[-1].orders,
        )

    def events(self):
        """The events that may come next, as a name and a function of the state."""
        yield "time", lambda state: state.pass_time()
        yield "decide", lambda state: state.decide()
        for a in range(3):
            for b in range(3):
                if a != b and not (b == ROUTER and self.paused):
                    yield f"{a}>{b}", lambda state, a=a, b=b: state.deliver(a, b)
        if not self.paused and not self.pauses:
            yield "pause", lambda state: (setattr(state, "paused", 1), setattr(state, "pauses", 1))
        if self.paused:
            yield "go on", lambda state: setattr(state, "paused", 0)
        if not self.restarts and not self.paused:
            yield "restart", State.restart
        if not self.coordinator_changes:
            yield "another acts", State.change_coordinator

    def restart(self):
        """Restarts the router without memory. It knows no document until it reads one, and serves only after that."""
        self.restarts = 1
        self.nonces[ROUTER] += 10
        self.coordinators[ROUTER] = self.new_coordinator(ROUTER)
        self.publish_router()

    def publish_router(self):
        coordinator = self.coordinators[ROUTER]
        self.lines[ROUTER] = (coordinator.line(), consensus.blank_register(ROUTER, 3, self.nonces[ROUTER]))

    def change_coordinator(self):
        """The lease of the active member has ended, but its last line may still be read. The next one begins with the latest document."""
        self.coordinator_changes, self.active_member = 1, SECOND
        self.coordinators[FIRST].tick(self.now, False, [()], frozenset(), True)
        self.coordinators[SECOND].update_document(register_codec.freeze(work_orders.document_value(self.documents[-1])))
        self.coordinators[SECOND].granted_leases.set_active(True, self.now)


def search(planted, max_states, depth):
    """A breadth-first search of at most `depth` events, which ends after the layer with state number `max_states`. Returns the count of
    states, and the first history that lets the router use the machine while it is out (or None)."""
    initial = State(planted)
    seen, layer = {initial.key()}, [(initial, ())]
    for _ in range(depth):
        next_layer = []
        for state, history in layer:
            for name, event in state.events():
                copied = copy.copy(state)
                copied.coordinators, copied.nonces, copied.lines, copied.documents = (
                    [copy_coordinator(coordinator) for coordinator in state.coordinators],
                    list(state.nonces),
                    list(state.lines),
                    list(state.documents),
                )
                event(copied)
                if copied.is_violated():
                    return len(seen), (*history, name)
                key = copied.key()
                if key not in seen:
                    seen.add(key)
                    next_layer.append((copied, (*history, name)))
        layer = next_layer
        if len(seen) > max_states or not layer:
            break
    return len(seen), None


def copy_coordinator(coordinator):
    copied = copy.copy(coordinator)
    copied.list_lease, copied.granted_leases = copy.copy(coordinator.list_lease), copy.copy(coordinator.granted_leases)
    copied.list_lease.published_at, copied.granted_leases.granted_at = (
        dict(coordinator.list_lease.published_at),
        dict(coordinator.granted_leases.granted_at),
    )
    copied.reports, copied.grants, copied.without_reports, copied.return_seen_at = (
        dict(coordinator.reports),
        dict(coordinator.grants),
        set(coordinator.without_reports),
        dict(coordinator.return_seen_at),
    )
    return copied


def test_no_order_of_events_lets_a_router_use_a_machine_that_is_out():
    states, history = search(None, 4_000, 30)
    assert history is None and states > 4_000


class EndsEarly(GrantedListLeases):
    """A planted fault: the coordinator takes a granted lease for ended one step too early."""

    def has_ended(self, member, now, extra=0):
        return super().has_ended(member, now + STEP, extra)


class NoWait(GrantedListLeases):
    """A planted fault: a new coordinator does not wait for leases that the one before it may have granted."""

    def has_ended(self, member, now, extra=0):
        return now >= self.granted_at.get(member, 0) + self.length


class FromReceipt(ListLease):
    """A planted fault: the lease runs from the receipt of the grant, not from the publication of the request."""

    def renew(self, count):
        super().renew(count)
        self.until += STEP


class NoWord(SimpleCoordinator):
    """A planted fault: the coordinator does not ask which members may still use the machine."""

    def members_that_may_use(self, number, now):
        return []


def plant(coordinator, faulty_class):
    """Makes the coordinator, or the part of it that the faulty class derives from, an instance of that class."""
    for name in ("granted_leases", "list_lease"):
        if issubclass(faulty_class, type(getattr(coordinator, name))):
            getattr(coordinator, name).__class__ = faulty_class
    if issubclass(faulty_class, SimpleCoordinator):
        coordinator.__class__ = faulty_class


@pytest.mark.parametrize("planted", [EndsEarly, NoWait, FromReceipt, NoWord])
def test_a_planted_fault_is_found_with_its_history(planted):
    states, history = search(lambda coordinator: plant(coordinator, planted), 20_000, 30)
    assert history, states
