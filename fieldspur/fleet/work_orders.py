"""Orders of work: the agreed document, and what follows in it from what is asked and seen. Free of I/O and of clocks.

An order is `waiting` until the plan takes it, `next` while all routers are told that its machine may go, `going` while all stop
using it, `out` once all have stopped that could still use it (the drain binds from here at the latest), `free` when nothing is
open there any more, `back` when the work is done and it warms, and then ended. `held` ones stay where they are asked for.

Who acts makes the successor of the document (`agree.propose`); all others only act by it. What has gone into a document is
never taken from it by silence: a machine stays accounted for as out until somebody says that it is back.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from functools import lru_cache
from typing import Any, NamedTuple

from fieldspur.fleet import planner

WAITING, HELD, NEXT, GOING, OUT, FREE, BACK = "waiting", "held", "next", "going", "out", "free", "back"
STATES = (WAITING, HELD, NEXT, GOING, OUT, FREE, BACK)
WITHDRAWN = (GOING, OUT, FREE)  # no router that knows of it uses it
ANNOUNCED = (NEXT, *WITHDRAWN)  # nor one that can't know what followed
AWAY = (GOING, OUT, FREE, BACK)  # out as the bounds count, until it bears its part
DONE, DROPPED, REFUSED = "done", "dropped", "refused"
MOST_ORDERS, MOST_ENDED, MOST_ROUTERS = 64, 128, 256
MOST_NAME, MOST_WITH, MOST_NOTE = 64, 8, 160  # characters, machines, characters
LONGEST = 7 * 86_400  # s that work on a machine may take
OVERDUE = 1.5  # times what it needs, after which an operator is told


class BadOrder(ValueError):
    """What is asked for can't be; the text says why."""


class WorkRequest(NamedTuple):
    """What an operator asks for at one router. `needs` s of work on `machine`; `before` in Unix s, 0 where it does not matter;
    `beside` must be out together with it. `held`, `back`, `drop`: what is to become of it."""

    ident: str
    machine: str
    needs: float = 0.0
    before: float = 0.0
    beside: tuple = ()
    held: bool = False
    back: bool = False
    drop: bool = False


class Order(NamedTuple):
    ident: str
    by: str  # the router where it was asked
    machine: str
    needs: float
    before: float
    beside: tuple
    state: str = WAITING
    at: int = 0  # number of the document in which it came to this state
    since: int = 0  # Unix ms of that, by the clock of who acted
    next_at: int = 0  # numbers of the documents that announced it, and in which it began to go
    going_at: int = 0
    started: int = 0  # Unix ms of the machine's start, as listed when it went out
    where: str = ""  # its address then
    note: str = ""  # for the operator: what it waits for, or what is wrong with it


class Ended(NamedTuple):
    ident: str
    machine: str
    how: str
    why: str
    number: int  # of the document that ended it


class WorkDocument(NamedTuple):
    number: int = 0
    orders: tuple[Order, ...] = ()
    ended: tuple[Ended, ...] = ()
    routers: tuple[str, ...] = ()  # that follow and are counted: nothing goes that they may still use; who settles is counted anyway

    def find(self, ident: str) -> Order | None:
        return next((one for one in self.orders if one.ident == ident), None)

    def knows(self, ident: str) -> bool:
        return self.of(ident) is not None or any(one.ident == ident for one in self.ended)

    def machines_in(self, states: Iterable[str]) -> frozenset:
        return frozenset(one.machine for one in self.orders if one.state in states)

    def min_lease_number(self) -> int:
        """Who has not applied this number or a later one does not know all that is going or gone: it gets no lease."""
        return max((one.going_at for one in self.orders if one.state in WITHDRAWN), default=0)


EMPTY_DOCUMENT = WorkDocument()


def document_value(work: WorkDocument) -> list:
    """As it is agreed and published: lists of plain values."""
    return [
        work.number,
        [list(one._replace(beside=list(one.beside))) for one in work.orders],
        [list(one) for one in work.ended],
        list(work.routers),
    ]


KINDS = {"str": (str,), "float": (int, float), "int": (int,), "tuple": (tuple, list), "bool": (bool,)}


def row(kind, raw, path: str):
    """A named tuple from a list of its fields; raises BadOrder."""
    names = kind._fields
    if type(raw) not in (list, tuple) or len(raw) < len(names):  # more of them: a later version's
        raise BadOrder(f"{path}: a list of {len(names)} wanted")
    for name, one in zip(names, raw):
        wanted = KINDS[kind.__annotations__[name].__forward_arg__]
        if type(one) not in wanted or isinstance(one, str) and len(one) > MOST_NOTE:
            raise BadOrder(f"{path}.{name}: {' or '.join(w.__name__ for w in wanted)} wanted")
    return kind(*raw[: len(names)])


def read_document(raw: Any) -> WorkDocument:
    """The document from what was agreed, of tuples; None stands for none so far. Raises BadOrder."""
    try:
        return parsed(raw)
    except TypeError:
        raise BadOrder("work: lists and plain values wanted") from None


@lru_cache(maxsize=16)  # the same few are asked for at each line that comes
def parsed(raw: Any) -> WorkDocument:
    if raw is None or raw == ():
        return EMPTY_DOCUMENT
    if type(raw) is not tuple or len(raw) < 3 or type(raw[0]) is not int or not all(type(rows) is tuple for rows in raw[1:3]):
        raise BadOrder("work: a number, orders and ended ones wanted")
    orders = tuple(row(Order, one, f"work.orders[{n}]") for n, one in enumerate(raw[1]))
    for n, one in enumerate(orders):
        if one.state not in STATES or not all(type(name) is str for name in one.beside):
            raise BadOrder(f"work.orders[{n}].state: none of {', '.join(STATES)}")
    routers = raw[3] if len(raw) > 3 else ()
    if type(routers) is not tuple or not all(type(one) is str for one in routers):
        raise BadOrder("work.routers: names wanted")
    return WorkDocument(
        raw[0],
        tuple(one._replace(beside=tuple(one.beside)) for one in orders),
        tuple(row(Ended, one, f"work.ended[{n}]") for n, one in enumerate(raw[2])),
        routers,
    )


# What members ask for.


def asks(wishes: Iterable[WorkRequest], work: WorkDocument, own: str) -> tuple[tuple, ...]:
    """What the member `own` publishes so long as its wishes and the document differ: (verb, ident, ...)."""
    wishes, found = list(wishes), []
    for wish in wishes:
        order = work.find(wish.ident)
        if order is None:
            if not work.knows(wish.ident) and not wish.drop:
                found.append(("add", wish.ident, wish.machine, wish.needs, wish.before, list(wish.beside), wish.held))
        elif wish.drop:
            found.append(("drop", wish.ident))
        elif wish.back and order.state in (OUT, FREE):
            found.append(("back", wish.ident))
        elif order.by == own and wish.held != (order.state == HELD) and order.state in (WAITING, HELD, NEXT, GOING):
            found.append(("hold" if wish.held else "go", wish.ident))
    mine = {wish.ident for wish in wishes}
    found += [("drop", one.ident) for one in work.orders if one.by == own and one.ident not in mine]
    return tuple(found)


def read_ask(raw) -> tuple:
    """One ask of another member; raises BadOrder."""
    if (
        type(raw) not in (list, tuple)
        or len(raw) < 2
        or type(raw[0]) is not str
        or type(raw[1]) is not str
        or not 0 < len(raw[1]) <= MOST_NAME
    ):
        raise BadOrder("asks: a verb and a name wanted")
    if raw[0] != "add":
        return raw[0], raw[1]
    wish = row(WorkRequest, (*raw[1:], False, False), "asks.add")
    check(wish, "asks.add")
    return ("add", *wish[:4], tuple(wish.beside), wish.held)


def check(wish: WorkRequest, path: str) -> None:
    """Raises BadOrder."""
    if not 0 < len(wish.machine) <= MOST_NAME:
        raise BadOrder(f"{path}.machine: a name of up to {MOST_NAME} characters wanted")
    if not wish.drop and not 0 < wish.needs <= LONGEST:
        raise BadOrder(f"{path}.needs_s: {wish.needs:g} is not within 0 to {LONGEST}")
    if not 0 <= wish.before < 1e11:
        raise BadOrder(f"{path}.before: {wish.before:g} is no time in Unix seconds")
    if len(wish.beside) > MOST_WITH or not all(type(one) is str and 0 < len(one) <= MOST_NAME for one in wish.beside):
        raise BadOrder(f"{path}.with: up to {MOST_WITH} names of machines wanted")
    if wish.machine in wish.beside:
        raise BadOrder(f"{path}.with: {wish.machine} itself")


# What who acts sees.


class Listing(NamedTuple):
    """A machine on the notice board, as who acts reads it."""

    state: str = "gone"  # or "up", "draining"
    started: int = 0  # Unix ms, 0 where not told
    address: str = ""
    zone: str = ""
    kind: str = ""  # "cache" or "parent"; others are not served here
    rating: float = 0.0


class FleetView(NamedTuple):
    """All that the successor of a document depends on, besides what is asked. Names are of members."""

    now: int  # Unix ms
    board: dict  # machine: Listing
    park: planner.MachinePool
    drain: float  # s that a drain takes, as seen
    warm: float  # s until a cold machine bears its part
    members_not_notified: Callable[[int], list]  # who has not said that it applied that number
    members_that_may_use: Callable[[int], list]  # who has not, and may still hold a lease
    members_with_open_hops: Callable[[str, int], list]  # who may have hops or fills open at that machine, gone in that number
    plans: Callable[[list, list, planner.MachinePool], planner.Plan]  # `plan.plan`, which may answer as it did a moment ago
    bears: Callable[[Order], str]  # what a machine that is back still lacks, '' where it bears its part


def names(found: Iterable[str]) -> str:
    found = sorted(found)
    return ", ".join(found[:3]) + (f" and {len(found) - 3} more" if len(found) > 3 else "")


def refusal(work: WorkDocument, ask: tuple, by: str, sight: FleetView) -> str:
    """Why an order can't be taken; '' where it can."""
    machine = ask[2]
    same = next((one for one in work.orders if one.machine == machine), None)
    if same is not None:
        return f"{machine} is asked for already, by {same.by} as {same.ident}"
    for name in (machine, *ask[5]):
        listing = sight.board.get(name)
        if listing is None or not listing.kind:
            return f"{name}: no such cache or parent on the board"
    if len(work.orders) >= MOST_ORDERS:
        return f"{MOST_ORDERS} orders are there already"
    return ""


def counted(work: WorkDocument, verb: str, name: str, by: str, asked: list) -> WorkDocument:
    """A router joins by its own word, and leaves by an operator's at any member, which goes before."""
    leaves = verb == "leave" or any(ask[:2] == ("leave", name) for _, ask in asked)
    if leaves:
        return work._replace(routers=tuple(one for one in work.routers if one != name))
    if by != name or name in work.routers or len(work.routers) >= MOST_ROUTERS:
        return work
    return work._replace(routers=tuple(sorted((*work.routers, name))))


def taken(work: WorkDocument, asked: Iterable[tuple[str, tuple]], sight: FleetView) -> WorkDocument:
    """The document with what members ask for: (member, ask) each, in an order that does not matter to what is refused twice."""
    number, asked = work.number + 1, sorted(asked)
    for by, ask in asked:
        verb, ident = ask[:2]
        order = work.find(ident)
        if verb in ("join", "leave"):
            work = counted(work, verb, ident, by, asked)
        elif verb == "add" and not work.knows(ident):
            if why := refusal(work, ask, by, sight):
                work = end(work, Order(ident, by, *ask[2:6]), REFUSED, why, number)
            else:
                work = work._replace(orders=(*work.orders, Order(ident, by, *ask[2:6], HELD if ask[6] else WAITING, number, sight.now)))
        elif order is None:
            continue
        elif verb == "drop":
            if order.state in (OUT, FREE):  # somebody may have worked on it: it comes back like one that was worked on
                work = put(work, moved(order, BACK, number, sight.now, "withdrawn"))
            elif order.state != BACK:
                work = end(work, order, DROPPED, f"withdrawn at {by}", number)
        elif verb == "hold" and order.state in (WAITING, NEXT, GOING):
            work = put(work, moved(order, HELD, number, sight.now))
        elif verb == "go" and order.state == HELD:
            work = put(work, moved(order, WAITING, number, sight.now))
        elif verb == "back" and order.state in (OUT, FREE):
            work = put(work, moved(order, BACK, number, sight.now))
    return work


def end(work: WorkDocument, order: Order, how: str, why: str, number: int) -> WorkDocument:
    return work._replace(
        orders=tuple(one for one in work.orders if one.ident != order.ident),
        ended=(*work.ended, Ended(order.ident, order.machine, how, why[:MOST_NOTE], number))[-MOST_ENDED:],
    )


def put(work: WorkDocument, order: Order) -> WorkDocument:
    return work._replace(orders=tuple(order if one.ident == order.ident else one for one in work.orders))


def moved(order: Order, state: str, number: int, now: int, note: str = "") -> Order:
    order = order._replace(state=state, at=number, since=now, note=note[:MOST_NOTE])
    if state == NEXT:
        return order._replace(next_at=number)
    if state == GOING:
        return order._replace(going_at=number)
    return order


def group(order: Order, work: WorkDocument) -> list[Order]:
    """The order with those that must be out together with it, all of which are asked for."""
    found = {order.machine}
    while True:
        more = {one.machine for one in work.orders if one.machine in found or found & set(one.beside)}
        more |= {name for one in work.orders if one.machine in found for name in one.beside}
        if more <= found:
            return [one for one in work.orders if one.machine in found]
        found |= more


def whole(order: Order, work: WorkDocument) -> str:
    """What is missing for it to go: those beside it that nobody asked for yet, or that are held."""
    there = {one.machine: one for one in group(order, work)}
    lacking = sorted(name for one in there.values() for name in one.beside if name not in there)
    held = sorted(name for name, one in there.items() if one.state == HELD)
    return f"nobody asked for {lacking[0]}" if lacking else f"{held[0]} is held" if held else ""


def units(work: WorkDocument, sight: FleetView) -> tuple[list, list, dict]:
    """Those that may begin, those that are away with s until they are back, and what the others wait for, by ident."""
    free, running, notes, seen = [], [], {}, set()
    for order in work.orders:
        if order.ident in seen:
            continue
        rows = group(order, work)
        seen |= {one.ident for one in rows}
        takes = sight.drain + max(one.needs for one in rows) + sight.warm
        unit = planner.Unit(
            rows[0].ident,
            frozenset(one.machine for one in rows),
            takes,
            min((max(1.0, one.before - sight.now / 1000) for one in rows if one.before), default=0.0),
        )
        if any(one.state in AWAY for one in rows):
            running.append((unit, max(left(one, sight) for one in rows)))
        elif order.state == HELD or (why := whole(order, work)):
            notes |= {one.ident: "held" if one.state == HELD else why for one in rows}
        else:
            free.append(unit)
    return free, running, notes


def left(order: Order, sight: FleetView) -> float:
    """s until it is back, as planned, and a second at the least: what is late is not back yet."""
    spent = max(0.0, (sight.now - order.since) / 1000)
    parts = {BACK: sight.warm, FREE: order.needs + sight.warm}.get(order.state, sight.drain + order.needs + sight.warm)
    return max(1.0, parts - spent)


def next_document(work: WorkDocument, asked: Iterable[tuple[str, tuple]], sight: FleetView) -> WorkDocument | None:
    """The document that follows, None where nothing does."""
    found = taken(work, asked, sight)
    number = work.number + 1
    for order in found.orders:
        after = follows(order, found, sight, number)
        if after is None:
            found = end(found, order, DONE, order.note if order.note == "withdrawn" else "", number)
        elif after is not order:
            found = put(found, after)
    found = chosen(found, sight, number)
    if found == work:
        return None
    return found._replace(number=number)


def follows(order: Order, work: WorkDocument, sight: FleetView, number: int) -> Order | None:
    """An order's next state by what is seen; None where it is done. Each step asks all members, never a timer alone."""
    state, now = order.state, sight.now
    listing = sight.board.get(order.machine, Listing())
    if state == GOING:
        users = sight.members_that_may_use(order.going_at)
        if not users:
            return moved(order, OUT, number, now)._replace(started=listing.started, where=listing.address)
        return noted(order, f"{names(users)} may still use it")
    if state == OUT:
        users = sight.members_with_open_hops(order.machine, order.going_at)
        if not users:
            return moved(order, FREE, number, now)
        return noted(order, f"{names(users)} may have something open there")
    if state == FREE:
        if listing.state == "gone":
            return noted(order, "gone from the board while out")
        if listing.address != order.where:
            return noted(order, f"back at another address: {listing.address}")
        if listing.state == "up" and listing.started > order.started:
            return moved(order, BACK, number, now)
        if now - order.since > OVERDUE * 1000 * order.needs:
            return noted(order, "overdue")
        return noted(order, "")
    if state == BACK:
        if listing.state != "up":
            return noted(order, order.note if order.note == "withdrawn" else f"{listing.state} by the board's word")
        lacks = sight.bears(order)
        if not lacks:
            return None
        return order if order.note == "withdrawn" else noted(order, lacks)
    return order


def noted(order: Order, note: str) -> Order:
    note = note[:MOST_NOTE]
    return order if order.note == note else order._replace(note=note)


def chosen(work: WorkDocument, sight: FleetView, number: int) -> WorkDocument:
    """Announces what the plan begins next, lets go what all were told of, and takes back what the bounds forbid by now."""
    free, running, notes = units(work, sight)
    out = frozenset(machine for unit, _ in running for machine in unit.machines)
    going = work.machines_in((GOING,))
    away = work.machines_in(AWAY)
    if going and (why := sight.park.violated_bound(away)):  # the board drained another, a location came into trouble, load rose
        for order in work.orders:
            if order.state == GOING and order.at < number:
                work = put(work, moved(order, NEXT, number, sight.now, why))
        return work
    plans = sight.plans(free, running, sight.park)
    begin = {step.unit for step in plans.steps if step.start == 0.0}
    planned = out
    said = {one.ident for one in work.orders if one.state == NEXT}
    for unit in sorted(free, key=lambda unit: unit.name not in said):  # who was announced keeps its turn
        rows = [one for one in work.orders if one.machine in unit.machines]
        why = plans.impossible.get(unit.name, "") and f"never: {plans.impossible[unit.name]}"
        ahead = not why and (unit.name in said or unit.name in begin) and not sight.park.violated_bound(planned | unit.machines)
        if ahead:
            planned |= unit.machines
        for order in rows:
            if order.state == WAITING and ahead and order.at < number:  # routers have their leases by then
                work = put(work, moved(order, NEXT, number, sight.now))
            elif order.state == NEXT and not ahead and order.at < number:
                work = put(work, moved(order, WAITING, number, sight.now, why or waits(unit, out, sight)))
            elif order.state == WAITING:
                notes[order.ident] = why or waits(unit, out, sight)
        ready = [one for one in work.orders if one.machine in unit.machines]
        if ahead and all(one.state == NEXT and one.at < number for one in ready):
            late = sight.members_not_notified(max(one.next_at for one in ready))
            for order in ready:
                if late:
                    notes[order.ident] = f"{names(late)} has not heard of it"
                else:
                    work = put(work, moved(order, GOING, number, sight.now))
    for ident, note in notes.items():
        order = work.find(ident)
        if order is not None and order.state in (WAITING, HELD, NEXT):
            work = put(work, noted(order, note))
    return work


def waits(unit: planner.Unit, out: frozenset, sight: FleetView) -> str:
    return sight.park.violated_bound(out | unit.machines) or sight.park.violated_bound(unit.machines) or "its turn comes"
