"""Every order of events round one machine that goes: leases on the list, as `coordinator` and `listed` keep them, at three members with
a pause, a restart without memory, a loss of any line and a change of who acts. Agreement is searched by itself (test_fleet.py); here
a decision is taken the moment who acts makes it, which nobody else can hear earlier."""

import copy

import pytest

from fieldspur.fleet import consensus, planner, register_codec, work_orders
from fieldspur.fleet.coordinator import Coordinator
from fieldspur.fleet.list_lease import GrantedListLeases, ListLease

LENGTH, LONGEST, UNIT = 2, 1, 6  # of moments; UNIT: ns of one, so that a beat is a part of a lease
ACTS, OTHER, ROUTER = range(3)
BOUNDS = planner.Bounds(zone=1.0, all=1.0, both=1.0, headroom=1.0)
BOARD = {f"c{n}": work_orders.Listing("up", 0, "h:1", "east", "cache", 10.0) for n in range(2)}


class Quiet(Coordinator):
    """What is not searched here is left out: loads, words for operators."""

    def machine_pool(self, now):
        return planner.MachinePool({name: planner.Machine("east", False, 10.0, 0.0, 0.0) for name in BOARD}, BOUNDS)


class State:
    def __init__(self, planted):
        self.now, self.documents, self.acting = 10 * UNIT, [work_orders.EMPTY_DOCUMENT], ACTS
        self.paused = self.pauses = self.restarts = self.changes = 0
        self.out_at = None
        self.planted = planted
        self.members = [self.member(n) for n in range(3)]
        self.nonces = [1, 2, 3]
        self.lines = [None] * 3
        order = work_orders.Order("a", "elsewhere", "c0", 9.0, 0.0, (), work_orders.NEXT, 1, 0, 1)
        self.documents.append(work_orders.WorkDocument(1, (order,)))
        for n, one in enumerate(self.members):
            one.update_document(register_codec.freeze(work_orders.document_value(self.documents[1])))
            one.mark_applied(1, {"c0": 0})
        for _ in range(2):  # all were told that it is next, and hold leases
            self.pass_time()
            for a in range(3):
                for b in range(3):
                    if a != b:
                        self.deliver(a, b)
        self.publish()

    def member(self, n):
        made = Quiet(["r0", "r1", "r2"], f"r{n}", "east", LENGTH * UNIT, BOUNDS, False, LONGEST * UNIT, 0)
        made.beat, made.lease_request_interval, made.granted_leases.length, made.list_lease.duration = 1, 1, LENGTH * UNIT, LENGTH * UNIT
        made.listings = BOARD
        if self.planted:
            self.planted(made)
        return made

    def number(self, n):
        return self.members[n].document.number

    def publish(self):
        for n, one in enumerate(self.members):
            if n == ROUTER and self.paused:
                continue
            one.tick(
                self.now,
                n == self.acting,
                [register_codec.freeze(work_orders.document_value(self.documents[self.number(n)]))],
                frozenset(),
                True,
            )
            one.mark_applied(one.document.number, {"c0": 0} if one.document.number else {})
            register = consensus.blank_register(n, 3, self.nonces[n])._replace(
                life=1,
                decided=consensus.StampedValue(
                    (1, 0, self.number(n)), register_codec.freeze(work_orders.document_value(self.documents[self.number(n)]))
                ),
            )
            self.lines[n] = (one.line(), register)

    def pass_time(self):
        self.now += UNIT
        self.publish()

    def deliver(self, a, b):
        """b reads what a published last."""
        line, register = self.lines[a]
        self.members[b].receive_line(line, f"r{a}", register.nonce, self.nonces[b], (register.decided.value,))
        if register.decided.stamp[2] > self.number(b):
            self.members[b].update_document(register.decided.value)

    def decide(self):
        one = self.members[self.acting]
        if one.document.number != len(self.documents) - 1:
            return False  # it takes over what may be decided first
        one.succession_checked_at = -1 << 60
        value = one.next_value(register_codec.freeze(work_orders.document_value(one.document)), self.now)
        if value is None:
            return False
        self.documents.append(work_orders.read_document(value))
        one.update_document(value)
        if self.documents[-1].orders and self.documents[-1].orders[0].state == work_orders.OUT and self.out_at is None:
            self.out_at = self.now
        return True

    def wrong(self):
        """The router may use the machine though it is out."""
        return (
            self.out_at is not None and not self.paused and "c0" not in self.members[ROUTER].withdrawn(self.now) and self.number(ROUTER) > 0
        )

    def nonce(self, name):
        return self.nonces[int(name[1:])]

    def age(self, n, count):
        n = n if type(n) is int else int(n[1:])
        at = self.members[n].list_lease.published_at.get(count)
        return min(self.now - at, (LENGTH + 1) * UNIT) if at is not None else -1

    def key(self):
        rows = []
        for n, one in enumerate(self.members):
            line, register = self.lines[n]
            said = line["work"]
            rows.append(
                (
                    one.document.number,
                    one.applied_number,
                    max(0, one.list_lease.until - self.now),
                    said["holds"],
                    said["doubt"],
                    said["count"] > 0,
                    self.age(n, said["count"]),
                    register.decided.stamp[2],
                    tuple((m, nonce == self.nonce(m), self.age(m, count)) for m, nonce, count in said.get("grants", ())),
                    tuple(sorted((m, nonce == self.nonce(m), self.age(m, count)) for m, (nonce, count) in one.grants.items())),
                    tuple(
                        sorted(
                            (m, rep.applied_number, rep.list_unknown, rep.nonce == self.nonce(m), self.age(m, rep.lease_count))
                            for m, rep in one.reports.items()
                        )
                    ),
                    one.granted_leases.since and min(self.now - one.granted_leases.since, LENGTH * UNIT + 1),
                    tuple(sorted((m, min(self.now - at, LENGTH * UNIT)) for m, at in one.granted_leases.granted_at.items())),
                )
            )
        return (
            tuple(rows),
            len(self.documents),
            self.acting,
            self.paused,
            self.pauses,
            self.restarts,
            self.changes,
            self.out_at is None,
            self.documents[-1].orders,
        )

    def events(self):
        yield "time", lambda s: s.pass_time()
        yield "decide", lambda s: s.decide()
        for a in range(3):
            for b in range(3):
                if a != b and not (b == ROUTER and self.paused):
                    yield f"{a}>{b}", lambda s, a=a, b=b: s.deliver(a, b)
        if not self.paused and not self.pauses:
            yield "pause", lambda s: (setattr(s, "paused", 1), setattr(s, "pauses", 1))
        if self.paused:
            yield "go on", lambda s: setattr(s, "paused", 0)
        if not self.restarts and not self.paused:
            yield "restart", State.restart
        if not self.changes:
            yield "another acts", State.another

    def restart(self):
        """Without memory: it knows no document until it hears one, and serves only then."""
        self.restarts = 1
        self.nonces[ROUTER] += 10
        self.members[ROUTER] = self.member(ROUTER)
        self.publish_one()

    def publish_one(self):
        one = self.members[ROUTER]
        self.lines[ROUTER] = (one.line(), consensus.blank_register(ROUTER, 3, self.nonces[ROUTER]))

    def another(self):
        """The lease of who acts has ended; what it published last may still be read. The next begins by what was decided."""
        self.changes, self.acting = 1, OTHER
        self.members[ACTS].tick(self.now, False, [()], frozenset(), True)
        self.members[OTHER].update_document(register_codec.freeze(work_orders.document_value(self.documents[-1])))
        self.members[OTHER].granted_leases.set_active(True, self.now)


def search(planted, most, depth):
    """Breadth first; how many states, and the first history that ends wrongly."""
    first = State(planted)
    seen, layer = {first.key()}, [(first, ())]
    for _ in range(depth):
        after = []
        for state, history in layer:
            for name, event in state.events():
                fresh = copy.copy(state)
                fresh.members, fresh.nonces, fresh.lines, fresh.documents = (
                    [twin(one) for one in state.members],
                    list(state.nonces),
                    list(state.lines),
                    list(state.documents),
                )
                event(fresh)
                if fresh.wrong():
                    return len(seen), (*history, name)
                key = fresh.key()
                if key not in seen:
                    seen.add(key)
                    after.append((fresh, (*history, name)))
        layer = after
        if len(seen) > most or not layer:
            break
    return len(seen), None


def twin(one):
    made = copy.copy(one)
    made.list_lease, made.granted_leases = copy.copy(one.list_lease), copy.copy(one.granted_leases)
    made.list_lease.published_at, made.granted_leases.granted_at = dict(one.list_lease.published_at), dict(one.granted_leases.granted_at)
    made.reports, made.grants, made.without_reports, made.return_seen_at = (
        dict(one.reports),
        dict(one.grants),
        set(one.without_reports),
        dict(one.return_seen_at),
    )
    return made


def test_no_order_of_events_lets_a_router_use_what_is_out():
    states, history = search(None, 4_000, 30)
    assert history is None and states > 4_000


class EndsEarly(GrantedListLeases):
    def has_ended(self, member, now, more=0):
        return super().has_ended(member, now + UNIT, more)


class NoWait(GrantedListLeases):
    """Who begins to act does not wait for leases that another may have given."""

    def has_ended(self, member, now, more=0):
        return now >= self.granted_at.get(member, 0) + self.length


class FromReceipt(ListLease):
    """A lease that runs from when the grant came, not from when it was asked for."""

    def renew(self, count):
        super().renew(count)
        self.until += UNIT


class NoWord(Quiet):
    def members_that_may_use(self, number, now):
        return []


def as_class(made, kind):
    for name in ("granted_leases", "list_lease"):
        if issubclass(kind, type(getattr(made, name))):
            getattr(made, name).__class__ = kind
    if issubclass(kind, Quiet):
        made.__class__ = kind


@pytest.mark.parametrize("planted", [EndsEarly, NoWait, FromReceipt, NoWord])
def test_a_fault_planted_is_found_with_its_history(planted):
    states, history = search(lambda made: as_class(made, planted), 20_000, 30)
    assert history, states
