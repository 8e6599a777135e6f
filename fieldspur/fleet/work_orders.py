"""Work orders: the document that the fleet agrees on, and the rules by which its next version follows from requests and observations.

This module does no I/O and reads no clock. The states of an order are:

- `waiting`: the plan has not selected the order yet.
- `held`: the operator has asked that the order does not start; it stays at the router where it was requested.
- `next`: the order is announced; all routers are being notified that its machine may go out.
- `going`: all routers stop using the machine.
- `out`: every router that could still use the machine has stopped; from here on at the latest the machine counts as draining.
- `free`: nothing is open at the machine any more, so the work can begin.
- `back`: the work is done and the machine is in slow start. Then the order ends.

The coordinator makes the next version of the document (`consensus.propose`); all other members only follow it. Silence never takes
a machine out of the document: it counts as out until a router or an operator reports that it is back.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from functools import lru_cache
from typing import Any, NamedTuple

from fieldspur.fleet import planner

WAITING = "waiting"
HELD = "held"
NEXT = "next"
GOING = "going"
OUT = "out"
FREE = "free"
BACK = "back"
STATES = (WAITING, HELD, NEXT, GOING, OUT, FREE, BACK)
WITHDRAWN = (GOING, OUT, FREE)  # a router that knows such an order does not use its machine
ANNOUNCED = (NEXT, *WITHDRAWN)  # a router that may lack later documents does not use these machines either
AWAY = (GOING, OUT, FREE, BACK)  # counts as out in the bounds, until the machine carries its share of the load again

# How an order ends.
DONE = "done"
DROPPED = "dropped"
REFUSED = "refused"

MAX_ORDERS = 64
MAX_ENDED_ORDERS = 128
MAX_ROUTERS = 256
MAX_NAME_CHARS = 64
MAX_COMPANIONS = 8  # machines that must be out together with the machine of an order
MAX_NOTE_CHARS = 160
MAX_WORK_S = 7 * 86_400  # longest work on a machine
OVERDUE_FACTOR = 1.5  # work that takes longer than this multiple of its planned time is reported to the operator


class BadOrder(ValueError):
    """A work request or a work document is invalid; the text says why."""


class WorkRequest(NamedTuple):
    """A request of an operator at one router, as it stands in the operators' file.

    `machine` is to be out for `needs` seconds of work. `before` is the Unix time in s by which it should be back, 0 for no deadline.
    The machines in `beside` must be out together with it. `held`, `back` and `drop` are what the operator wants to happen to the order.
    The field names appear in error texts.
    """

    ident: str
    machine: str
    needs: float = 0.0
    before: float = 0.0
    beside: tuple = ()
    held: bool = False
    back: bool = False
    drop: bool = False


class Order(NamedTuple):
    """A work order in the agreed document. The order of the fields is the format on the wire, their names are printed as JSON."""

    ident: str
    by: str  # the router where the order was requested
    machine: str
    needs: float  # s of work
    before: float  # Unix s by which the machine should be back, 0: no deadline
    beside: tuple  # machines that must be out together with this one
    state: str = WAITING
    at: int = 0  # number of the document in which the order came to its state
    since: int = 0  # Unix ms of that change, by the coordinator's clock
    next_at: int = 0  # number of the document that announced the order
    going_at: int = 0  # number of the document in which the order began to go
    started: int = 0  # Unix ms of the machine's start, as listed when it went out
    where: str = ""  # the machine's address at that time
    note: str = ""  # for the operator: what the order waits for, or what is wrong with it


class Ended(NamedTuple):
    """An order that has ended. The order of the fields is the format on the wire, their names are printed as JSON."""

    ident: str
    machine: str
    how: str  # DONE, DROPPED or REFUSED
    why: str  # the reason, empty where none is needed
    number: int  # number of the document that ended the order


class WorkDocument(NamedTuple):
    """What the members agree on: the work orders, the last ended ones, and the followers that have to be notified."""

    number: int = 0
    orders: tuple[Order, ...] = ()
    ended: tuple[Ended, ...] = ()
    routers: tuple[str, ...] = ()  # counted followers: no machine goes out that they may still use; voting members always count

    def find(self, ident: str) -> Order | None:
        return next((order for order in self.orders if order.ident == ident), None)

    def knows(self, ident: str) -> bool:
        """Whether the document holds this order, open or ended."""
        return self.find(ident) is not None or any(ended.ident == ident for ended in self.ended)

    def machines_in(self, states: Iterable[str]) -> frozenset:
        return frozenset(order.machine for order in self.orders if order.state in states)

    def min_lease_number(self) -> int:
        """A member gets a lease only if it has applied this document or a later one: otherwise it does not know all machines that
        are going or gone."""
        return max((order.going_at for order in self.orders if order.state in WITHDRAWN), default=0)


EMPTY_DOCUMENT = WorkDocument()


def document_value(document: WorkDocument) -> list:
    """The document as it is agreed and published: lists of plain values."""
    return [
        document.number,
        [list(order._replace(beside=list(order.beside))) for order in document.orders],
        [list(ended) for ended in document.ended],
        list(document.routers),
    ]


# Types that JSON may bring, by the name of a field's annotation.
ACCEPTED_TYPES = {"str": (str,), "float": (int, float), "int": (int,), "tuple": (tuple, list), "bool": (bool,)}


def read_row(record_type, raw, path: str):
    """Makes a named tuple of `record_type` from a list of its fields; raises BadOrder."""
    field_names = record_type._fields
    if type(raw) not in (list, tuple) or len(raw) < len(field_names):  # a later version may append fields
        raise BadOrder(f"{path}: a list of {len(field_names)} wanted")
    for field_name, value in zip(field_names, raw):
        accepted = ACCEPTED_TYPES[record_type.__annotations__[field_name].__forward_arg__]
        if type(value) not in accepted or isinstance(value, str) and len(value) > MAX_NOTE_CHARS:
            raise BadOrder(f"{path}.{field_name}: {' or '.join(kind.__name__ for kind in accepted)} wanted")
    return record_type(*raw[: len(field_names)])


def read_document(raw: Any) -> WorkDocument:
    """Reads a document from the agreed value, which consists of tuples; None is the empty document. Raises BadOrder."""
    try:
        return parse_document(raw)
    except TypeError:
        raise BadOrder("work: lists and plain values wanted") from None


@lru_cache(maxsize=16)  # each line that is received brings one of the same few values
def parse_document(raw: Any) -> WorkDocument:
    """As `read_document`; raises TypeError where `raw` can't be hashed."""
    if raw is None or raw == ():
        return EMPTY_DOCUMENT
    if type(raw) is not tuple or len(raw) < 3 or type(raw[0]) is not int or not all(type(rows) is tuple for rows in raw[1:3]):
        raise BadOrder("work: a number, orders and ended ones wanted")
    orders = tuple(read_row(Order, row, f"work.orders[{n}]") for n, row in enumerate(raw[1]))
    for n, order in enumerate(orders):
        if order.state not in STATES or not all(type(name) is str for name in order.beside):
            raise BadOrder(f"work.orders[{n}].state: none of {', '.join(STATES)}")
    routers = raw[3] if len(raw) > 3 else ()
    if type(routers) is not tuple or not all(type(name) is str for name in routers):
        raise BadOrder("work.routers: names wanted")
    return WorkDocument(
        raw[0],
        tuple(order._replace(beside=tuple(order.beside)) for order in orders),
        tuple(read_row(Ended, row, f"work.ended[{n}]") for n, row in enumerate(raw[2])),
        routers,
    )


# Requests of members.


def pending_requests(requests: Iterable[WorkRequest], document: WorkDocument, own_name: str) -> tuple[tuple, ...]:
    """What the member `own_name` publishes as long as its operators' requests and the document differ: (verb, ident, ...) tuples."""
    requests, pending = list(requests), []
    for request in requests:
        order = document.find(request.ident)
        if order is None:
            if not document.knows(request.ident) and not request.drop:
                pending.append(("add", request.ident, request.machine, request.needs, request.before, list(request.beside), request.held))
        elif request.drop:
            pending.append(("drop", request.ident))
        elif request.back and order.state in (OUT, FREE):
            pending.append(("back", request.ident))
        elif order.by == own_name and request.held != (order.state == HELD) and order.state in (WAITING, HELD, NEXT, GOING):
            pending.append(("hold" if request.held else "go", request.ident))
    requested_idents = {request.ident for request in requests}
    pending += [("drop", order.ident) for order in document.orders if order.by == own_name and order.ident not in requested_idents]
    return tuple(pending)


def read_request(raw) -> tuple:
    """Checks one (verb, ident, ...) request of another member; raises BadOrder."""
    if (
        type(raw) not in (list, tuple)
        or len(raw) < 2
        or type(raw[0]) is not str
        or type(raw[1]) is not str
        or not 0 < len(raw[1]) <= MAX_NAME_CHARS
    ):
        raise BadOrder("asks: a verb and a name wanted")
    if raw[0] != "add":
        return raw[0], raw[1]
    request = read_row(WorkRequest, (*raw[1:], False, False), "asks.add")
    check_request(request, "asks.add")
    return ("add", *request[:4], tuple(request.beside), request.held)


def check_request(request: WorkRequest, path: str) -> None:
    """Raises BadOrder where a value of the request is out of its range; `path` is the start of the error text."""
    if not 0 < len(request.machine) <= MAX_NAME_CHARS:
        raise BadOrder(f"{path}.machine: a name of up to {MAX_NAME_CHARS} characters wanted")
    if not request.drop and not 0 < request.needs <= MAX_WORK_S:
        raise BadOrder(f"{path}.needs_s: {request.needs:g} is not within 0 to {MAX_WORK_S}")
    if not 0 <= request.before < 1e11:
        raise BadOrder(f"{path}.before: {request.before:g} is no time in Unix seconds")
    if len(request.beside) > MAX_COMPANIONS or not all(type(name) is str and 0 < len(name) <= MAX_NAME_CHARS for name in request.beside):
        raise BadOrder(f"{path}.with: up to {MAX_COMPANIONS} names of machines wanted")
    if request.machine in request.beside:
        raise BadOrder(f"{path}.with: {request.machine} itself")


# What the coordinator observes.


class Listing(NamedTuple):
    """A machine as the discovery service lists it to the coordinator."""

    state: str = "gone"  # or "up", "draining"
    started: int = 0  # Unix ms of the machine's start, 0 where it is unknown
    address: str = ""
    zone: str = ""
    kind: str = ""  # "cache" or "parent"; empty for servers that work orders do not cover
    rating: float = 0.0


class FleetView(NamedTuple):
    """All that the next document depends on besides the requests. The functions return names of members."""

    now_ms: int  # Unix ms
    listings: dict  # machine: Listing
    pool: planner.MachinePool
    drain_s: float  # expected duration of a drain
    warm_up_s: float  # time until a machine in slow start carries its share of the load
    members_not_notified: Callable[[int], list]  # members that have not reported that they applied the document of this number
    members_that_may_use: Callable[[int], list]  # those of them that may still hold a lease
    members_with_open_hops: Callable[[str, int], list]  # members that may have hops or fills open at the machine, gone in that document
    make_plan: Callable[[list, list, planner.MachinePool], planner.Plan]  # `planner.make_plan`, or a recent answer of it
    warm_up_status: Callable[[Order], str]  # what a returned machine still lacks, '' once it carries its share of the load


def format_names(members: Iterable[str]) -> str:
    members = sorted(members)
    return ", ".join(members[:3]) + (f" and {len(members) - 3} more" if len(members) > 3 else "")


def refusal_reason(document: WorkDocument, request: tuple, by: str, view: FleetView) -> str:
    """Why the "add" request can't become an order; '' where it can."""
    machine = request[2]
    existing = next((order for order in document.orders if order.machine == machine), None)
    if existing is not None:
        return f"{machine} is asked for already, by {existing.by} as {existing.ident}"
    for name in (machine, *request[5]):
        listing = view.listings.get(name)
        if listing is None or not listing.kind:
            return f"{name}: no such cache or parent on the board"
    if len(document.orders) >= MAX_ORDERS:
        return f"{MAX_ORDERS} orders are there already"
    return ""


def with_router_change(document: WorkDocument, verb: str, name: str, by: str, requests: list) -> WorkDocument:
    """Applies "join" or "leave" of a follower. A router joins by its own request only. It leaves by an operator's request at any
    member, which takes precedence over a join."""
    leaves = verb == "leave" or any(request[:2] == ("leave", name) for _, request in requests)
    if leaves:
        return document._replace(routers=tuple(router for router in document.routers if router != name))
    if by != name or name in document.routers or len(document.routers) >= MAX_ROUTERS:
        return document
    return document._replace(routers=tuple(sorted((*document.routers, name))))


def with_requests(document: WorkDocument, requests: Iterable[tuple[str, tuple]], view: FleetView) -> WorkDocument:
    """Applies the requests of all members, (member, request) pairs. They are sorted, so that the result does not depend on the order
    in which they were received."""
    number, requests = document.number + 1, sorted(requests)
    for by, request in requests:
        verb, ident = request[:2]
        order = document.find(ident)
        if verb in ("join", "leave"):
            document = with_router_change(document, verb, ident, by, requests)
        elif verb == "add" and not document.knows(ident):
            if reason := refusal_reason(document, request, by, view):
                document = with_ended(document, Order(ident, by, *request[2:6]), REFUSED, reason, number)
            else:
                document = document._replace(
                    orders=(*document.orders, Order(ident, by, *request[2:6], HELD if request[6] else WAITING, number, view.now_ms))
                )
        elif order is None:
            continue
        elif verb == "drop":
            if order.state in (OUT, FREE):  # work may have begun on the machine: it comes back like one that was worked on
                document = with_order(document, in_state(order, BACK, number, view.now_ms, "withdrawn"))
            elif order.state != BACK:
                document = with_ended(document, order, DROPPED, f"withdrawn at {by}", number)
        elif verb == "hold" and order.state in (WAITING, NEXT, GOING):
            document = with_order(document, in_state(order, HELD, number, view.now_ms))
        elif verb == "go" and order.state == HELD:
            document = with_order(document, in_state(order, WAITING, number, view.now_ms))
        elif verb == "back" and order.state in (OUT, FREE):
            document = with_order(document, in_state(order, BACK, number, view.now_ms))
    return document


def with_ended(document: WorkDocument, order: Order, how: str, why: str, number: int) -> WorkDocument:
    """The document with this order moved to the ended ones."""
    return document._replace(
        orders=tuple(other for other in document.orders if other.ident != order.ident),
        ended=(*document.ended, Ended(order.ident, order.machine, how, why[:MAX_NOTE_CHARS], number))[-MAX_ENDED_ORDERS:],
    )


def with_order(document: WorkDocument, order: Order) -> WorkDocument:
    """The document with this version of the order in place of the old one."""
    return document._replace(orders=tuple(order if other.ident == order.ident else other for other in document.orders))


def in_state(order: Order, state: str, number: int, now_ms: int, note: str = "") -> Order:
    """The order in a new state, as of the document `number`."""
    order = order._replace(state=state, at=number, since=now_ms, note=note[:MAX_NOTE_CHARS])
    if state == NEXT:
        return order._replace(next_at=number)
    if state == GOING:
        return order._replace(going_at=number)
    return order


def order_group(order: Order, document: WorkDocument) -> list[Order]:
    """The order and all orders of machines that must be out together with it, directly or through others."""
    machines = {order.machine}
    while True:
        grown = {other.machine for other in document.orders if other.machine in machines or machines & set(other.beside)}
        grown |= {name for other in document.orders if other.machine in machines for name in other.beside}
        if grown <= machines:
            return [other for other in document.orders if other.machine in machines]
        machines |= grown


def group_obstacle(order: Order, document: WorkDocument) -> str:
    """Why the order's group can't go: a machine of the group that has no order yet, or whose order is held. '' where it can go."""
    by_machine = {member.machine: member for member in order_group(order, document)}
    missing = sorted(name for member in by_machine.values() for name in member.beside if name not in by_machine)
    held = sorted(name for name, member in by_machine.items() if member.state == HELD)
    return f"nobody asked for {missing[0]}" if missing else f"{held[0]} is held" if held else ""


def planning_units(document: WorkDocument, view: FleetView) -> tuple[list, list, dict]:
    """The units that may begin; the units that are away, each with the seconds until it is back; notes for the other orders, by
    ident, that say what they wait for."""
    ready, running, notes, seen_idents = [], [], {}, set()
    for order in document.orders:
        if order.ident in seen_idents:
            continue
        group = order_group(order, document)
        seen_idents |= {member.ident for member in group}
        duration_s = view.drain_s + max(member.needs for member in group) + view.warm_up_s
        unit = planner.Unit(
            group[0].ident,
            frozenset(member.machine for member in group),
            duration_s,
            min((max(1.0, member.before - view.now_ms / 1000) for member in group if member.before), default=0.0),
        )
        if any(member.state in AWAY for member in group):
            running.append((unit, max(remaining_s(member, view) for member in group)))
        elif order.state == HELD or (obstacle := group_obstacle(order, document)):
            notes |= {member.ident: "held" if member.state == HELD else obstacle for member in group}
        else:
            ready.append(unit)
    return ready, running, notes


def remaining_s(order: Order, view: FleetView) -> float:
    """Planned seconds until the machine is back, at least one: a machine that is late is not back yet."""
    spent_s = max(0.0, (view.now_ms - order.since) / 1000)
    planned_s = {BACK: view.warm_up_s, FREE: order.needs + view.warm_up_s}.get(order.state, view.drain_s + order.needs + view.warm_up_s)
    return max(1.0, planned_s - spent_s)


def next_document(document: WorkDocument, requests: Iterable[tuple[str, tuple]], view: FleetView) -> WorkDocument | None:
    """The document that follows, None where nothing changes."""
    successor = with_requests(document, requests, view)
    number = document.number + 1
    for order in successor.orders:
        updated = next_step(order, successor, view, number)
        if updated is None:
            successor = with_ended(successor, order, DONE, order.note if order.note == "withdrawn" else "", number)
        elif updated is not order:
            successor = with_order(successor, updated)
    successor = apply_plan(successor, view, number)
    if successor == document:
        return None
    return successor._replace(number=number)


def next_step(order: Order, document: WorkDocument, view: FleetView, number: int) -> Order | None:
    """The order after the observations in `view`; None where it is done. Each step depends on reports of all members, never on a
    timer alone."""
    state, now_ms = order.state, view.now_ms
    listing = view.listings.get(order.machine, Listing())
    if state == GOING:
        users = view.members_that_may_use(order.going_at)
        if not users:
            return in_state(order, OUT, number, now_ms)._replace(started=listing.started, where=listing.address)
        return with_note(order, f"{format_names(users)} may still use it")
    if state == OUT:
        users = view.members_with_open_hops(order.machine, order.going_at)
        if not users:
            return in_state(order, FREE, number, now_ms)
        return with_note(order, f"{format_names(users)} may have something open there")
    if state == FREE:
        if listing.state == "gone":
            return with_note(order, "gone from the board while out")
        if listing.address != order.where:
            return with_note(order, f"back at another address: {listing.address}")
        if listing.state == "up" and listing.started > order.started:
            return in_state(order, BACK, number, now_ms)
        if now_ms - order.since > OVERDUE_FACTOR * 1000 * order.needs:
            return with_note(order, "overdue")
        return with_note(order, "")
    if state == BACK:
        if listing.state != "up":
            return with_note(order, order.note if order.note == "withdrawn" else f"{listing.state} by the board's word")
        missing = view.warm_up_status(order)
        if not missing:
            return None
        return order if order.note == "withdrawn" else with_note(order, missing)
    return order


def with_note(order: Order, note: str) -> Order:
    note = note[:MAX_NOTE_CHARS]
    return order if order.note == note else order._replace(note=note)


def apply_plan(document: WorkDocument, view: FleetView, number: int) -> WorkDocument:
    """Announces the orders that the plan begins next, starts announced orders that all members know of, and takes back orders that
    the bounds no longer allow."""
    ready, running, notes = planning_units(document, view)
    machines_out = frozenset(machine for unit, _ in running for machine in unit.machines)
    machines_going = document.machines_in((GOING,))
    machines_away = document.machines_in(AWAY)
    # The bounds may be violated now because the discovery service drained another machine, a location is in trouble, or load rose.
    if machines_going and (reason := view.pool.violated_bound(machines_away)):
        for order in document.orders:
            if order.state == GOING and order.at < number:
                document = with_order(document, in_state(order, NEXT, number, view.now_ms, reason))
        return document
    plan = view.make_plan(ready, running, view.pool)
    begins_now = {step.unit for step in plan.steps if step.start == 0.0}
    planned_out = machines_out
    announced = {order.ident for order in document.orders if order.state == NEXT}
    for unit in sorted(ready, key=lambda unit: unit.name not in announced):  # an announced order keeps its turn
        unit_orders = [order for order in document.orders if order.machine in unit.machines]
        reason = plan.impossible.get(unit.name, "") and f"never: {plan.impossible[unit.name]}"
        may_start = (
            not reason and (unit.name in announced or unit.name in begins_now) and not view.pool.violated_bound(planned_out | unit.machines)
        )
        if may_start:
            planned_out |= unit.machines
        for order in unit_orders:
            if order.state == WAITING and may_start and order.at < number:  # one document later, routers have their leases
                document = with_order(document, in_state(order, NEXT, number, view.now_ms))
            elif order.state == NEXT and not may_start and order.at < number:
                document = with_order(
                    document, in_state(order, WAITING, number, view.now_ms, reason or wait_reason(unit, machines_out, view))
                )
            elif order.state == WAITING:
                notes[order.ident] = reason or wait_reason(unit, machines_out, view)
        updated_orders = [order for order in document.orders if order.machine in unit.machines]
        if may_start and all(order.state == NEXT and order.at < number for order in updated_orders):
            not_notified = view.members_not_notified(max(order.next_at for order in updated_orders))
            for order in updated_orders:
                if not_notified:
                    notes[order.ident] = f"{format_names(not_notified)} has not heard of it"
                else:
                    document = with_order(document, in_state(order, GOING, number, view.now_ms))
    for ident, note in notes.items():
        order = document.find(ident)
        if order is not None and order.state in (WAITING, HELD, NEXT):
            document = with_order(document, with_note(order, note))
    return document


def wait_reason(unit: planner.Unit, machines_out: frozenset, view: FleetView) -> str:
    """The bound that keeps the unit waiting, or that its turn comes later."""
    return view.pool.violated_bound(machines_out | unit.machines) or view.pool.violated_bound(unit.machines) or "its turn comes"
