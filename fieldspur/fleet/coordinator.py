"""One member's part in orders of work: what it tells of itself, what it knows of the others, its lease on the list, and, while it
acts, how it sees the whole. Free of I/O; times are whole ns of this process' monotonic clock, but `wall`, Unix ms."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable
from typing import Any, NamedTuple

from fieldspur.fleet import planner, register_codec, work_orders
from fieldspur.fleet.list_lease import GrantedListLeases, ListLease

HEALTHY, EJECTED, SLOW_START = 0, 1, 2  # how a router finds a server
MOST_LOADS = 512  # servers that one member tells of
MOST_ASKS = 32  # of one member at a time
BUSY_TROUBLE, FEW = 0.05, 20.0  # a location is in trouble that turns away such a share, of so many txns a second
BEARS = 0.5  # a machine bears its part at such a share of its even load
PATIENT = 2.0  # times the warm span, after which one that is asked for little counts as bearing its part
LOAD_SPAN = 5_000_000_000  # ns in which most of a load that was is forgotten (`decide.Fleet.rate`)
IDLE = 0.05  # load over capacity of a location below which nothing can be told from loads
NOTES_EVERY = 2_000_000_000  # ns between two documents that differ in words for the operator only
PLAN_EVERY = 5_000_000_000  # ns after which a plan is made anew though nothing it was made for differs
PARK_EVERY = 500_000_000  # the same for how the whole is seen
ASKS = 3  # for a lease on the list, while one lasts
PLANNED_DRAIN_S = 1.0  # s a drain is planned with before one was seen
SLACK = 100_000_000  # ns beyond the longest time limit, after which nothing of a router that can't be heard is open


class Load(NamedTuple):
    """What one router says of one server, or of many together: transfers at full pace that fit and that run there, txns a second, how
    it finds it."""

    capacity: float
    load: float
    fills: float
    how: int


NO_LOAD = Load(0.0, 0.0, 0.0, 0)


class Report(NamedTuple):
    """What a member says of itself. `holds`: the document it goes by; `count`: its ask for a lease on the list; `open` hops and
    fills by machine that is kept off; `strict`: it serves nothing while it can't know the list."""

    nonce: int
    applied_number: int
    count: int
    open: dict
    strict: bool
    doubt: bool  # it can't know the list, and keeps off all that was announced to it
    loads: dict | None  # by server: those on order, those that are not well; None: as it said before
    rest: tuple  # all other caches and all other parents that it uses, each together
    turned: tuple  # txns a second that it turned away, and all
    asks: tuple
    zone: str


def without_loads(line: dict) -> dict:
    """A line without what goes out now and then only: where this is the same, nothing new is to be said."""
    return line | {"work": {name: part for name, part in line["work"].items() if name not in ("loads", "rest")}}


def report(raw: Any, nonce: int) -> Report:
    """From what a line says under `work`; raises BadLine or BadOrder."""
    if type(raw) is not dict:
        raise register_codec.BadLine("work: an object wanted")
    open_at, loads, asks, rest = raw.get("open"), raw.get("loads"), raw.get("asks"), raw.get("rest")
    if type(open_at) is not dict or len(open_at) > work_orders.MOST_ORDERS:
        raise register_codec.BadLine("work.open: a short object wanted")
    if loads is not None and (type(loads) is not dict or len(loads) > MOST_LOADS or type(rest) is not list or len(rest) != 2):
        raise register_codec.BadLine("work.loads and work.rest: a short object and a pair wanted")
    if type(asks) is not list or len(asks) > MOST_ASKS:
        raise register_codec.BadLine("work.asks: a short list wanted")
    turned = raw.get("turned")
    if type(turned) is not list or len(turned) != 2:
        raise register_codec.BadLine("work.turned: two figures wanted")
    zone = raw.get("zone")
    if type(zone) is not str or type(raw.get("strict")) is not bool or type(raw.get("doubt")) is not bool:
        raise register_codec.BadLine("work.zone, work.strict or work.doubt: a name, true or false wanted")
    return Report(
        nonce,
        register_codec.whole_number(raw.get("holds"), "work.holds"),
        register_codec.whole_number(raw.get("count"), "work.count"),
        {name: register_codec.whole_number(many, "work.open") for name, many in open_at.items()},
        raw["strict"],
        raw["doubt"],
        {name: load(row) for name, row in loads.items()} if loads is not None else None,
        tuple(map(load, rest)) if loads is not None else (NO_LOAD, NO_LOAD),
        tuple(figure(one, "work.turned") for one in turned),
        tuple(map(work_orders.read_ask, asks)),
        zone,
    )


def load(raw: Any) -> Load:
    if type(raw) is not list or len(raw) < 4:
        raise register_codec.BadLine("work.loads: three figures and a number wanted")
    return Load(*(figure(one, "work.loads") for one in raw[:3]), register_codec.whole_number(raw[3], "work.loads"))


def figure(raw: Any, name: str) -> float:
    if type(raw) not in (int, float) or not 0 <= raw < 1e12:
        raise register_codec.BadLine(f"{name}: a figure of 0 or more wanted")
    return float(raw)


class Coordinator:
    """`names` of those that settle things, in their order; `own` is among them, or follows what they settle. `length` ns is a
    lease's, `longest` ns the longest time limit of a txn, `warm` ns from cold to full."""

    def __init__(self, names: list[str], own: str, zone: str, length: int, bounds: planner.Bounds, strict: bool, longest: int, warm: int):
        self.names, self.own, self.zone = names, own, zone
        self.bounds, self.strict, self.longest, self.warm = bounds, strict, longest, warm
        self.beat, self.ask_every = length // 6, length // ASKS
        self.wishes: list[work_orders.WorkRequest] = []
        self.list_lease, self.granted_leases = ListLease(length), GrantedListLeases(length)
        self.left_members: list[str] = []  # routers that an operator takes out
        self.reports: dict[str, Report] = {}
        self.silent: set[str] = set()  # members whose lines say nothing of work: an older version
        self.grants: dict[str, tuple] = {}  # of who acts here: the nonce and count last granted, by member
        self.listings: dict[str, work_orders.Listing] = {}
        self.document, self.of = work_orders.EMPTY_DOCUMENT, None  # as known here, and the value it was read from
        self.applied_number = 0  # the document that this router goes by
        self.open: dict[str, int] = {}
        self.loads: dict[str, list] = {}  # of all servers that this router uses
        self.rejected_rates = (0.0, 0.0)
        self.fresh_loads, self.told_count = False, 0  # not published yet; the ask for a lease that was published last
        self.unix_ms = 0  # Unix ms
        self.asked_at = self.succession_checked_at = self.noted_at = 0
        self.is_active = False
        self.gone: frozenset = frozenset()  # members that are suspected
        self.back_at: dict[tuple, int] = {}  # (ident, number): when it was first seen back here
        self.bore: dict[str, float] = {}  # machine: its share of its location's load before it went
        self.planned_for, self.planned_at, self.planned = None, 0, None
        self.lived: list[Report] | None = None
        self.wanted: set[str] = set()  # machines that are on order, or asked for
        self.parked_for, self.parked_at, self.parked = None, 0, None
        self.doubt = False  # as of the last tick
        self.perhaps: frozenset = frozenset()  # machines announced or out by documents that may be decided
        self.founded = True  # there is a fleet, or may be: until all were heard and none knows of one

    # What this router goes by.

    def update_document(self, value: Any) -> None:
        """The latest document that is decided, as far as is known here."""
        if value is not self.of:
            self.of, found = value, work_orders.read_document(value)
            if found.number >= self.document.number:
                self.document = found

    def withdrawn(self, now: int) -> frozenset:
        """The machines that this router keeps off at this moment."""
        return self.document.machines_in(work_orders.WITHDRAWN) if self.list_lease.is_held(now) else self.announced()

    def announced(self) -> frozenset:
        """What may have gone since, for all this router knows."""
        return self.document.machines_in(work_orders.ANNOUNCED) | self.perhaps

    def returning(self) -> frozenset:
        """(machine, number) of those that come back: they count as cold from when that was first heard here."""
        return frozenset((one.machine, one.at) for one in self.document.orders if one.state == work_orders.BACK)

    def list_unknown(self, now: int) -> bool:
        """This router can't know what followed on what it heard, and something may have."""
        return not self.list_lease.is_held(now) and (self.founded if self.strict else bool(self.announced()))

    def mark_applied(self, number: int, open_at: dict[str, int]) -> None:
        """This router keeps off what that document says; so much is still open at those machines."""
        self.applied_number, self.open = max(self.applied_number, number), open_at

    def is_counted(self) -> bool:
        """Nothing goes that this router may still use: it settles, or is in the document."""
        return self.own in self.names or self.own in self.document.routers

    def asks(self) -> tuple:
        found = work_orders.asks(self.wishes, self.document, self.own)
        if not self.is_counted():
            found = (("join", self.own), *found)
        return (*(("leave", name) for name in self.left_members), *found)[:MOST_ASKS]  # so long as it stands in a file, none joins

    # Lines.

    def line(self) -> dict:
        found = {
            "holds": self.applied_number,
            "count": self.list_lease.count,
            "open": self.open,
            "strict": self.strict,
            "doubt": self.doubt,
            "turned": list(self.rejected_rates),
            "asks": [list(one) for one in self.asks()],
            "zone": self.zone,
        }
        if self.fresh_loads and self.document.orders and self.list_lease.count != self.told_count:
            # Soft, and the largest part: with a line that goes out anyway. One that is missed is made good by the next look.
            found["loads"], found["rest"] = self.summed()
        if self.is_active:
            found["grants"] = [[name, *self.grants[name]] for name in sorted(self.grants)]
        return {"work": found, "wants": []}  # members of an older version look for `wants`

    def summed(self) -> tuple[dict, list]:
        """What this router says of servers: each that is on order or not well by itself, the rest together, by kind."""
        wanted = {one.machine for one in self.document.orders}
        alone = {name: row for name, row in self.loads.items() if name in wanted or row[3] != HEALTHY}
        rest = [[0.0, 0.0, 0.0, 0], [0.0, 0.0, 0.0, 0]]
        for name, row in self.loads.items():
            if name not in alone:
                into = rest[self.listings.get(name, work_orders.Listing()).kind == "parent"]
                for at in range(3):
                    into[at] = round(into[at] + row[at], 3)
                into[3] += 1
        return dict(sorted(alone.items())[:MOST_LOADS]), rest

    def line_published(self) -> None:
        """What `line` gave was published."""
        if self.list_lease.count != self.told_count:
            self.told_count, self.fresh_loads = self.list_lease.count, False

    def receive_line(self, value: dict, name: str, nonce: int, own_nonce: int, agreed: Iterable = ()) -> None:
        """A line of that member or follower, with the values in its register; raises BadLine."""
        try:
            for one in agreed:
                work_orders.read_document(one)
            self.take(value.get("work"), name, nonce, own_nonce)
        except work_orders.BadOrder as bad:
            raise register_codec.BadLine(str(bad)) from None

    def take(self, raw: Any, name: str, nonce: int, own_nonce: int) -> None:
        if raw is None:
            self.silent.add(name)
            self.reports.pop(name, None)
            return
        found, before = report(raw, nonce), self.reports.get(name)
        grants = raw.get("grants", [])
        if (
            type(grants) is not list
            or len(grants) > work_orders.MOST_ROUTERS + len(self.names)
            or not all(type(one) is list and len(one) == 3 and type(one[0]) is str for one in grants)
        ):
            raise register_codec.BadLine("work.grants: a list of members wanted")
        rows = [
            (to, register_codec.whole_number(process, "work.grants"), register_codec.whole_number(count, "work.grants"))
            for to, process, count in grants
        ]
        self.silent.discard(name)
        if found.loads is None:
            found = found._replace(loads=before.loads, rest=before.rest) if before else found._replace(loads={})
        self.reports[name] = found
        for to, process, count in rows:
            if to == self.own and process == own_nonce:
                self.list_lease.renew(count)

    # The passing of time.

    def tick(self, now: int, acting: bool, values: list, gone: Iterable, founded: bool, may_be: Iterable = ()) -> None:
        """To be called about four times a beat, before the line of now is made. `values`: what is decided, and what may be: who
        goes by an older document than they need gets no lease, for it may use what is out by one of them. `gone`: members that are
        suspected, by number or name. `may_be`: values that are decided somewhere, or may be, though not known here as such."""
        self.perhaps = frozenset().union(
            *(
                found.machines_in(work_orders.ANNOUNCED)
                for found in map(work_orders.read_document, may_be)
                if found.number > self.document.number
            )
        )
        self.is_active, self.founded = acting, founded
        self.gone = frozenset(self.names[one] if type(one) is int else one for one in gone)
        self.granted_leases.set_active(acting, now)
        self.doubt = self.list_unknown(now)
        if (self.document.orders or self.strict) and now - self.asked_at >= self.ask_every:
            self.asked_at = now
            self.list_lease.request(now)
        if not acting:
            self.grants = {}
            return
        least = max(work_orders.read_document(value).min_lease_number() for value in values)
        for name, one in self.reports.items():
            counts = name in self.names or name in self.document.routers  # who acts next may not know of others
            if counts and one.count and one.applied_number >= least and self.grants.get(name) != (one.nonce, one.count):
                self.grants[name] = (one.nonce, one.count)
                self.granted_leases.grant(name, now)
        if self.applied_number >= least:
            self.list_lease.renew(self.list_lease.count)  # it acts: nobody else decides meanwhile

    def next_value(self, value: Any, now: int) -> Any:
        """The value that follows, None where nothing does: of who acts, a few times a beat."""
        if now - self.succession_checked_at < self.beat // 4:
            return None
        self.succession_checked_at, self.lived = now, None
        before = work_orders.read_document(value)
        asked = [(name, one) for name, found in self.reports.items() for one in found.asks]
        asked += [(self.own, work_orders.read_ask(one)) for one in self.asks()]
        self.wanted = {one.machine for one in before.orders} | {one[2] for _, one in asked if one[0] == "add"}
        self.remember(now)
        after = work_orders.next_document(before, asked, self.sight(now))
        if after is None:
            return None
        if plain(after) == plain(before):
            if now - self.noted_at < NOTES_EVERY:
                return None
            self.noted_at = now
        return register_codec.freeze(work_orders.document_value(after))

    # How who acts sees the whole.

    def sight(self, now: int) -> work_orders.FleetView:
        return work_orders.FleetView(
            self.unix_ms,
            self.listings,
            self.machine_pool(now),
            PLANNED_DRAIN_S,
            self.warm / 1e9,
            self.members_not_notified,
            lambda number: self.members_that_may_use(number, now),
            lambda machine, number: self.members_with_open_hops(machine, number, now),
            lambda free, running, park: self.plans(free, running, park, now),
            lambda order: self.bears(order, now),
        )

    def plans(self, free: list, running: list, park: planner.MachinePool, now: int) -> planner.Plan:
        """A plan costs some 30 ms for a dozen units: it is made anew where what it is made for differs, and now and then."""
        about = (
            [unit._replace(before=0.0) for unit in free],
            [unit.name for unit, _ in running],
            park.away,
            park.trouble,
            sorted(park.machines),
            park.violated_bound(frozenset().union(*(unit.machines for unit, _ in running))),
        )
        if about != self.planned_for or now - self.planned_at >= PLAN_EVERY:
            self.planned_for, self.planned_at, self.planned = about, now, planner.make_plan(free, running, park)
        return self.planned

    def others(self) -> list[str]:
        """All but this one that may use machines: who settles, and who follows and is counted."""
        return [name for name in (*self.names, *self.document.routers) if name != self.own]

    def members_not_notified(self, number: int) -> list[str]:
        """Members that have not said they go by that document, and serve on what they know when they can't know more."""
        found = [] if self.applied_number >= number else [self.own]
        for name in self.others():
            one = self.reports.get(name)
            if one is None and self.strict and name not in self.silent or one is not None and (one.applied_number >= number or one.strict):
                continue
            found.append(name)
        return found

    def members_that_may_use(self, number: int, now: int) -> list[str]:
        found = [] if self.applied_number >= number else [self.own]
        return found + [
            name
            for name in self.others()
            if not (name in self.reports and self.reports[name].applied_number >= number) and not self.granted_leases.has_ended(name, now)
        ]

    def members_with_open_hops(self, machine: str, number: int, now: int) -> list[str]:
        """By their own word, that of one which can't hear this member too, once its lease has ended. Of one that is not heard
        either: once its lease has ended, and the longest time limit after it."""
        found = [self.own] if self.applied_number < number or self.open.get(machine, 1) else []
        for name in self.others():
            one = self.reports.get(name)
            if (
                one is not None
                and not one.open.get(machine, 1)
                and (one.applied_number >= number or one.doubt and self.granted_leases.has_ended(name, now))
            ):
                continue
            heard = one is not None and name not in self.gone
            if not heard and self.granted_leases.has_ended(name, now, self.longest + SLACK):
                continue
            found.append(name)
        return found

    def live(self) -> list[Report]:
        """What this router and each that is not suspected say, as of the last look."""
        if self.lived is None:
            self.lived = self.reported()
        return self.lived

    def reported(self) -> list[Report]:
        loads, rest = self.summed()
        mine = Report(
            0,
            self.applied_number,
            0,
            self.open,
            self.strict,
            False,
            {name: Load(*row) for name, row in loads.items()},
            tuple(Load(*row) for row in rest),
            self.rejected_rates,
            (),
            self.zone,
        )
        return [mine, *(one for name, one in self.reports.items() if name not in self.gone)]

    def machine_pool(self, now: int) -> planner.MachinePool:
        """As `made`, which looks at the whole board: anew where the board or the document is another, and a few times a second."""
        about = (id(self.listings), self.document.number, self.wanted)
        if about != self.parked_for or now - self.parked_at >= PARK_EVERY:
            self.parked_for, self.parked_at, self.parked = about, now, self.made()
        return self.parked

    def made(self) -> planner.MachinePool:
        """All machines, by what live routers say of them. Each router sees the caches of its own location, and all parents; those that
        nobody speaks of by themselves stand together, as one that is never asked for."""
        live = self.live()
        machines, told, trouble = {}, {one.zone for one in live if one.loads or any(row.how for row in one.rest)}, {}
        away = self.document.machines_in(work_orders.AWAY)
        for name in sorted({name for one in live for name in one.loads} | self.wanted):
            listing = self.listings.get(name, work_orders.Listing())
            if not listing.kind:
                continue
            rows = [one.loads[name] for one in live if name in one.loads]
            ill = sum(row.how == EJECTED for row in rows) * 2 > len(rows) or any(row.how == SLOW_START for row in rows)
            capacities = sorted(row.capacity for row in rows) or [listing.rating]
            machines[name] = planner.Machine(
                listing.zone,
                listing.kind == "parent",
                capacities[len(capacities) // 2],
                sum(row.load for row in rows),
                sum(row.fills for row in rows),
                listing.state == "up" and not ill or name in away,
            )
        for name, listing in self.listings.items():
            if listing.kind and listing.state == "draining" and name not in machines:
                machines[name] = planner.Machine(listing.zone, listing.kind == "parent", listing.rating, 0.0, 0.0, False)
        many = Counter(
            (listing.zone, listing.kind)
            for name, listing in self.listings.items()
            if listing.kind and listing.state == "up" and name not in machines
        )
        for (zone, kind), count in many.items():
            at = int(kind == "parent")
            rest = [one.rest[at] for one in live if (at or one.zone == zone) and one.rest[at].how]
            if rest:  # `how` of a sum is how many it stands for
                share = count / max(one.how for one in rest)
                machines[f"{zone} {kind}s"] = planner.Machine(
                    zone,
                    bool(at),
                    share * sum(one.capacity for one in rest) / len(rest),
                    share * sum(one.load for one in rest),
                    share * sum(one.fills for one in rest),
                )
        for zone in {one.zone for one in machines.values() if not one.parent}:
            turned, every = (sum(one.turned[at] for one in live if one.zone == zone) for at in (0, 1))
            if zone not in told:
                trouble[zone] = "no router there tells its load"
            elif every >= FEW and turned > BUSY_TROUBLE * every:
                trouble[zone] = "txns are turned away there"
        return planner.MachinePool(machines, self.bounds, trouble)

    def bears(self, order: work_orders.Order, now: int) -> str:
        """What a machine that is back still lacks."""
        since = self.back_at.setdefault((order.ident, order.at), now)
        if len(self.back_at) > work_orders.MOST_ORDERS:
            del self.back_at[next(iter(self.back_at))]
        live = self.live()
        late = [one for one in live if one.applied_number < order.at]
        if late or now - since < self.warm:
            return "warms"
        rows = [one.loads[order.machine] for one in live if order.machine in one.loads]
        if any(row.how == SLOW_START for row in rows):
            return "cold"
        load, mine, even = self.part(order.machine, self.machine_pool(now))
        wanted = load * min(even, self.bore.get(order.machine, even))
        grown = 1 - math.exp((since - now) / LOAD_SPAN)  # of what it bears, so much is seen in a fading mean by now
        if mine < BEARS * grown * wanted and now - since < PATIENT * self.warm:
            return f"bears {mine:.1f} of {wanted:.1f} transfers"
        return ""

    def part(self, machine: str, park: planner.MachinePool) -> tuple[float, float, float]:
        """The load of the machine's location, the machine's own, and its share were the load even; no load where little is to do."""
        own = park.machines.get(machine)
        if own is None:
            return 0.0, 0.0, 0.0
        peers = [one for one in park.machines.values() if (one.zone, one.parent) == (own.zone, own.parent)]
        load, fits = sum(one.load for one in peers), sum(one.capacity for one in peers)
        return (load, own.load, own.capacity / fits) if fits and load > IDLE * fits else (0.0, own.load, 0.0)

    def remember(self, now: int) -> None:
        """What a machine bears before it goes is what it is to bear again."""
        there = {one.machine for one in self.document.orders}
        self.bore = {name: share for name, share in self.bore.items() if name in there}
        park = self.machine_pool(now)
        for order in self.document.orders:
            if order.state in (work_orders.WAITING, work_orders.NEXT) and order.machine in self.listings:
                load, mine, _ = self.part(order.machine, park)
                if load:
                    self.bore[order.machine] = mine / load


def plain(of: work_orders.WorkDocument) -> list:
    return [[one._replace(note="") for one in of.orders], of.ended]
