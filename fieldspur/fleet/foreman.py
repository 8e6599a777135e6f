"""One member's part in orders of work: what it tells of itself, what it knows of the others, its lease on the list, and, while it
acts, how it sees the whole. Free of I/O; times are whole ns of this process' monotonic clock, but `wall`, Unix ms."""

from __future__ import annotations

import math
from typing import Any, NamedTuple

from fieldspur.fleet import plan, work, words
from fieldspur.fleet.agree import Register
from fieldspur.fleet.listed import Granted, Listed

WELL, EJECTED, COLD = 0, 1, 2  # how a router finds a server
MOST_LOADS = 512  # servers that one member tells of
MOST_ASKS = 32  # of one member at a time
MOST_COUNT = 1 << 40
BUSY_TROUBLE, FEW = 0.05, 20.0  # a location is in trouble that turns away such a share, of so many txns a second
BEARS = 0.5  # a machine bears its part at such a share of its even load
PATIENT = 2.0  # times the warm span, after which one that is asked for little counts as bearing its part
LOAD_SPAN = 5_000_000_000  # ns in which most of a load that was is forgotten (`decide.Fleet.rate`)
IDLE = 0.05  # load over capacity of a location below which nothing can be told from loads
NOTES_EVERY = 2_000_000_000  # ns between two documents that differ in words for the operator only
PLAN_EVERY = 5_000_000_000  # ns after which a plan is made anew though nothing it was made for differs
DRAIN = 1.0  # s a drain is planned with before one was seen
SLACK = 100_000_000  # ns beyond the longest time limit, after which nothing of a router that can't be heard is open


class Load(NamedTuple):
    """What one router says of one server: transfers at full pace that run there and that fit, txns a second, how it finds it."""

    capacity: float
    load: float
    fills: float
    how: int


class Report(NamedTuple):
    """What a member says of itself. `holds`: the document it goes by; `count`: its ask for a lease on the list; `open` hops and
    fills by machine that is kept off; `strict`: it serves nothing while it can't know the list."""

    nonce: int
    holds: int
    count: int
    open: dict
    strict: bool
    doubt: bool  # it can't know the list, and keeps off all that was announced to it
    loads: dict
    turned: tuple  # txns a second that it turned away, and all
    asks: tuple
    zone: str


def report(raw: Any, nonce: int) -> Report:
    """From what a line says under `work`; raises BadWord or BadOrder."""
    if type(raw) is not dict:
        raise words.BadWord("work: an object wanted")
    open_at, loads, asks = raw.get("open"), raw.get("loads"), raw.get("asks")
    if type(open_at) is not dict or len(open_at) > work.MOST_ORDERS:
        raise words.BadWord("work.open: a short object wanted")
    if type(loads) is not dict or len(loads) > MOST_LOADS:
        raise words.BadWord("work.loads: a short object wanted")
    if type(asks) is not list or len(asks) > MOST_ASKS:
        raise words.BadWord("work.asks: a short list wanted")
    turned = raw.get("turned")
    if type(turned) is not list or len(turned) != 2:
        raise words.BadWord("work.turned: two figures wanted")
    zone = raw.get("zone")
    if type(zone) is not str or type(raw.get("strict")) is not bool or type(raw.get("doubt")) is not bool:
        raise words.BadWord("work.zone, work.strict or work.doubt: a name, true or false wanted")
    return Report(
        nonce, words.number(raw.get("holds"), "work.holds"), words.number(raw.get("count"), "work.count"),
        {name: words.number(many, "work.open") for name, many in open_at.items()}, raw["strict"], raw["doubt"],
        {name: Load(*(figure(one, "work.loads") for one in row[:3]), words.number(row[3], "work.loads"))
         for name, row in loads.items() if type(row) is list and len(row) >= 4},
        tuple(figure(one, "work.turned") for one in turned), tuple(map(work.read_ask, asks)), zone)


def figure(raw: Any, name: str) -> float:
    if type(raw) not in (int, float) or not 0 <= raw < 1e12:
        raise words.BadWord(f"{name}: a figure of 0 or more wanted")
    return float(raw)


class Foreman:
    """`names` of all members in their order, `own` among them. `length` ns is a lease's, `longest` ns the longest time limit of a
    txn, `warm` ns from cold to full."""

    def __init__(self, names: list[str], own: str, zone: str, length: int, bounds: plan.Bounds, strict: bool, longest: int,
                 warm: int):
        self.names, self.own, self.zone, self.me = names, own, zone, names.index(own)
        self.bounds, self.strict, self.longest, self.warm = bounds, strict, longest, warm
        self.beat = length // 6
        self.wishes: list[work.Wish] = []
        self.listed, self.granted = Listed(length), Granted(length)
        self.reports: dict[int, Report] = {}
        self.silent: set[int] = set()  # members whose lines say nothing of work: an older version
        self.grants: dict[int, tuple] = {}  # of who acts here: the nonce and count last granted, by member
        self.board: dict[str, work.Listing] = {}
        self.work, self.of = work.NOTHING, None  # as known here, and the value it was read from
        self.holds = 0  # the document that this router goes by
        self.open: dict[str, int] = {}
        self.loads: dict[str, list] = {}
        self.turned = (0.0, 0.0)
        self.wall = 0  # Unix ms
        self.asked_at = self.looked_at = self.noted_at = self.note_at = 0
        self.acting = False
        self.gone: frozenset = frozenset()  # members that are suspected
        self.back_at: dict[tuple, int] = {}  # (ident, number): when it was first seen back here
        self.drain = DRAIN
        self.bore: dict[str, float] = {}  # machine: its share of its location's load before it went
        self.planned_for, self.planned_at, self.planned = None, 0, None
        self.doubt = False  # as of the last tick
        self.founded = True  # there is a fleet, or may be: until all were heard and none knows of one

    # What this router goes by.

    def know(self, value: Any) -> None:
        """The latest document that is decided, as far as is known here."""
        if value is not self.of:
            self.of, found = value, work.read(value)
            if found.number >= self.work.number:
                self.work = found

    def off(self, now: int) -> frozenset:
        """The machines that this router keeps off at this moment."""
        return self.work.machines(work.KEPT_OFF if self.listed.holds(now) else work.ANNOUNCED)

    def back(self) -> frozenset:
        """(machine, number) of those that come back: they count as cold from when that was first heard here."""
        return frozenset((one.machine, one.at) for one in self.work.orders if one.state == work.BACK)

    def in_doubt(self, now: int) -> bool:
        """This router can't know what followed on what it heard, and something may have."""
        return not self.listed.holds(now) and (self.founded if self.strict else bool(self.work.machines(work.ANNOUNCED)))

    def applied(self, number: int, open_at: dict[str, int]) -> None:
        """This router keeps off what that document says; so much is still open at those machines."""
        self.holds, self.open = max(self.holds, number), open_at

    def asks(self) -> tuple:
        return work.asks(self.wishes, self.work, self.own)[:MOST_ASKS]

    # Lines.

    def line(self) -> dict:
        found = {"holds": self.holds, "count": self.listed.count, "open": self.open, "strict": self.strict,
                 "doubt": self.doubt, "loads": self.loads,
                 "turned": list(self.turned), "asks": [list(one) for one in self.asks()], "zone": self.zone}
        if self.acting:
            found["grants"] = [[m, *self.grants[m]] for m in sorted(self.grants)]
        return {"work": found, "wants": []}  # members of an older version look for `wants`

    def heard(self, value: dict, register: Register, own_nonce: int) -> None:
        """A line of the member whose register that is; raises BadWord."""
        try:
            self.take(value, register, own_nonce)
        except work.BadOrder as bad:
            raise words.BadWord(str(bad)) from None

    def take(self, value: dict, register: Register, own_nonce: int) -> None:
        for said in (register.accepted, register.said, register.decided):
            work.read(said.value)
        raw, member = value.get("work"), register.member
        if raw is None:
            self.silent.add(member)
            self.reports.pop(member, None)
            return
        found = report(raw, register.nonce)
        grants = raw.get("grants", [])
        if type(grants) is not list or len(grants) > len(self.names):
            raise words.BadWord("work.grants: a list of members wanted")
        rows = [words.numbers(one, "work.grants", 3) for one in grants]
        self.silent.discard(member)
        self.reports[member] = found
        for to, process, count in rows:
            if to == self.me and process == own_nonce:
                self.listed.granted(count)

    # The passing of time.

    def tick(self, now: int, acting: bool, values: list, gone: frozenset, founded: bool) -> None:
        """To be called about four times a beat, before the line of now is made. `values`: what is decided, and what may be: who
        goes by an older document than they need gets no lease, for it may use what is out by one of them."""
        self.acting, self.gone, self.founded = acting, gone, founded
        self.granted.acts(acting, now)
        self.doubt = self.in_doubt(now)
        if (self.work.orders or self.strict) and now - self.asked_at >= self.beat:
            self.asked_at = now
            self.listed.ask(now)
        if not acting:
            self.grants = {}
            return
        least = max(work.read(value).least() for value in values)
        for member, one in self.reports.items():
            if one.count and one.holds >= least and self.grants.get(member) != (one.nonce, one.count):
                self.grants[member] = (one.nonce, one.count)
                self.granted.grant(member, now)
        if self.holds >= least:
            self.listed.granted(self.listed.count)  # it acts: nobody else decides meanwhile

    def succeed(self, value: Any, now: int) -> Any:
        """The value that follows, None where nothing does: of who acts, a few times a beat."""
        if now - self.looked_at < self.beat // 4:
            return None
        self.looked_at = now
        self.remember()
        before = work.read(value)
        asked = [(self.names[m], one) for m, found in self.reports.items() for one in found.asks]
        asked += [(self.own, work.read_ask(one)) for one in self.asks()]
        after = work.succeed(before, asked, self.sight(now))
        if after is None:
            return None
        if plain(after) == plain(before):
            if now - self.noted_at < NOTES_EVERY:
                return None
            self.noted_at = now
        return words.frozen(work.value(after))

    # How who acts sees the whole.

    def sight(self, now: int) -> work.Sight:
        return work.Sight(self.wall, self.board, self.park(), self.drain, self.warm / 1e9, self.not_told,
                          lambda number: self.may_use(number, now),
                          lambda machine, number: self.open_at(machine, number, now),
                          lambda free, running, park: self.plans(free, running, park, now),
                          lambda order: self.bears(order, now))

    def plans(self, free: list, running: list, park: plan.Park, now: int) -> plan.Plan:
        """A plan costs some 30 ms for a dozen units: it is made anew where what it is made for differs, and now and then."""
        about = ([unit._replace(before=0.0) for unit in free], [unit.name for unit, _ in running], park.away, park.trouble,
                 park.forbids(frozenset().union(*(unit.machines for unit, _ in running))))
        if about != self.planned_for or now - self.planned_at >= PLAN_EVERY:
            self.planned_for, self.planned_at, self.planned = about, now, plan.plan(free, running, park)
        return self.planned

    def others(self) -> list[int]:
        return [m for m in range(len(self.names)) if m != self.me]

    def not_told(self, number: int) -> list[str]:
        """Members that have not said they go by that document, and serve on what they know when they can't know more."""
        found = [] if self.holds >= number else [self.own]
        for m in self.others():
            one = self.reports.get(m)
            if one is None and self.strict and m not in self.silent or one is not None and (one.holds >= number or one.strict):
                continue
            found.append(self.names[m])
        return found

    def may_use(self, number: int, now: int) -> list[str]:
        found = [] if self.holds >= number else [self.own]
        return found + [self.names[m] for m in self.others()
                        if not (m in self.reports and self.reports[m].holds >= number) and not self.granted.ended(m, now)]

    def open_at(self, machine: str, number: int, now: int) -> list[str]:
        """By their own word, that of one which can't hear this member too, once its lease has ended. Of one that is not heard
        either: once its lease has ended, and the longest time limit after it."""
        found = [self.own] if self.holds < number or self.open.get(machine, 1) else []
        for m in self.others():
            one = self.reports.get(m)
            if one is not None and not one.open.get(machine, 1) and (
                    one.holds >= number or one.doubt and self.granted.ended(m, now)):
                continue
            if m in self.gone and self.granted.ended(m, now, self.longest + SLACK):
                continue
            found.append(self.names[m])
        return found

    def live(self) -> list[Report]:
        mine = Report(0, self.holds, 0, self.open, self.strict, False, {name: Load(*row) for name, row in self.loads.items()},
                      self.turned, (), self.zone)
        return [mine, *(one for m, one in self.reports.items() if m not in self.gone)]

    def park(self) -> plan.Park:
        """All machines on the board, by what live routers say of them. Each router sees its own location only."""
        live = self.live()
        machines, told, trouble = {}, set(), {}
        for name, listing in self.board.items():
            if not listing.kind:
                continue
            rows = [one.loads[name] for one in live if name in one.loads]
            ill = sum(row.how == EJECTED for row in rows) * 2 > len(rows) or any(row.how == COLD for row in rows)
            usable = listing.state == "up" and not ill
            if rows:
                told.add(listing.zone)
            capacities = sorted(row.capacity for row in rows) or [listing.rating]
            machines[name] = plan.Machine(
                listing.zone, listing.kind == "parent", capacities[len(capacities) // 2], sum(row.load for row in rows),
                sum(row.fills for row in rows), usable or name in self.work.machines(work.AWAY))
        for zone in {one.zone for one in machines.values() if not one.parent}:
            turned, all_txns = (sum(one.turned[at] for one in live if one.zone == zone) for at in (0, 1))
            if zone not in told:
                trouble[zone] = "no router there tells its load"
            elif all_txns >= FEW and turned > BUSY_TROUBLE * all_txns:
                trouble[zone] = "txns are turned away there"
        return plan.Park(machines, self.bounds, trouble)

    def bears(self, order: work.Order, now: int) -> str:
        """What a machine that is back still lacks."""
        since = self.back_at.setdefault((order.ident, order.at), now)
        if len(self.back_at) > work.MOST_ORDERS:
            del self.back_at[next(iter(self.back_at))]
        live = self.live()
        late = [one for one in live if one.holds < order.at]
        if late or now - since < self.warm:
            return "warms"
        rows = [one.loads[order.machine] for one in live if order.machine in one.loads]
        if any(row.how == COLD for row in rows):
            return "cold"
        load, mine, even = self.part(order.machine, live)
        wanted = load * min(even, self.bore.get(order.machine, even))
        grown = 1 - math.exp((since - now) / LOAD_SPAN)  # of what it bears, so much is seen in a fading mean by now
        if mine < BEARS * grown * wanted and now - since < PATIENT * self.warm:
            return f"bears {mine:.1f} of {wanted:.1f} transfers"
        return ""

    def part(self, machine: str, live: list) -> tuple[float, float, float]:
        """The load of the machine's location, the machine's own, and its share were the load even; no load where little is to do."""
        own = self.board[machine]
        peers = [name for name, one in self.board.items() if one.state == "up" and (one.zone, one.kind) == (own.zone, own.kind)]
        sums = [[sum(one.loads[name][at] for one in live for name in names if name in one.loads) for at in (0, 1)]
                for names in (peers, [machine])]
        (fits, load), (mine_fits, mine) = sums
        return (load, mine, mine_fits / fits) if fits and load > IDLE * fits else (0.0, mine, 0.0)

    def remember(self) -> None:
        """What a machine bears before it goes is what it is to bear again."""
        there = {one.machine for one in self.work.orders}
        self.bore = {name: share for name, share in self.bore.items() if name in there}
        live = self.live()
        for order in self.work.orders:
            if order.state in (work.WAITING, work.NEXT) and order.machine in self.board:
                load, mine, _ = self.part(order.machine, live)
                if load:
                    self.bore[order.machine] = mine / load


def plain(of: work.Work) -> list:
    return [[one._replace(note="") for one in of.orders], of.ended]
