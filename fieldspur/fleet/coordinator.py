"""One member's part in work orders: what it publishes about itself, what it knows of the other members, its lease on the server list,
and, while it is the fleet's coordinator, how it views the whole fleet.

Every member has a `Coordinator`; the active one is that of the member that holds the fleet's lease. Free of I/O; times are whole ns of
this process' monotonic clock, except `unix_ms`."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable
from typing import Any, NamedTuple

from fieldspur.fleet import planner, register_codec, work_orders
from fieldspur.fleet.list_lease import GrantedListLeases, ListLease

# The condition of a server as one router finds it.
HEALTHY = 0
EJECTED = 1
SLOW_START = 2

MAX_LOADS = 512  # servers in one member's report
MAX_REQUESTS = 32  # requests of one member at a time

# A location is in trouble if it rejects more than this share of at least this many txns a second.
TROUBLE_REJECTED_SHARE = 0.05
MIN_TROUBLE_TXNS_S = 20.0

MIN_LOAD_SHARE = 0.5  # a returned machine has warmed up once it carries this share of the load expected of it
MAX_WARM_UP_FACTOR = 2.0  # after this multiple of the slow start, a machine that gets few requests counts as warmed up
LOAD_DECAY_NS = 5_000_000_000  # time in which most of an earlier load fades from the mean (`decide.ServerPool.transfer_rate`)
IDLE_UTILIZATION = 0.05  # load over capacity of a location; below this, loads say nothing about a machine's share
MIN_NOTES_INTERVAL_NS = 2_000_000_000  # between two documents that differ only in their notes for the operator
MAX_PLAN_AGE_NS = 5_000_000_000  # a plan is made again after this time though its inputs are the same
MAX_POOL_AGE_NS = 500_000_000  # the same for the machine pool
LEASE_REQUESTS_PER_LENGTH = 3  # requests for the lease on the list in one lease length
PLANNED_DRAIN_S = 1.0  # duration of a drain in plans
OPEN_HOP_SLACK_NS = 100_000_000  # once the longest time limit and this time are over, an unreachable router has nothing open


class Load(NamedTuple):
    """What one router reports of one server, or of several servers together."""

    capacity: float  # transfers at full pace that the server can run
    load: float  # transfers at full pace that run there
    fills: float  # txns a second
    condition: int  # HEALTHY, EJECTED or SLOW_START; of several servers together: their number


NO_LOAD = Load(0.0, 0.0, 0.0, 0)


class Report(NamedTuple):
    """What a member reports about itself."""

    nonce: int  # of its process
    applied_number: int  # number of the document that the router goes by
    lease_count: int  # the count by which it requests the lease on the list
    open_hops: dict  # open hops and fills, by machine that is withdrawn from routing
    strict: bool  # the router serves nothing while the list is unknown to it
    list_unknown: bool  # the router may lack later documents, and uses no machine that was announced to it
    loads: dict | None  # by server, those with a work order and those that are not healthy; None: as in the report before
    other_loads: tuple  # the sum of all other caches, and of all other parents, that it uses
    rejected_rates: tuple  # txns a second that it rejected, and all txns a second
    requests: tuple
    zone: str


def without_loads(line: dict) -> dict:
    """A line without the loads, which are published only now and then. While the rest is unchanged, no new line is needed."""
    return line | {"work": {name: part for name, part in line["work"].items() if name not in ("loads", "rest")}}


def parse_report(raw: Any, nonce: int) -> Report:
    """Reads what a line holds under `work`; raises BadLine or BadOrder."""
    if type(raw) is not dict:
        raise register_codec.BadLine("work: an object wanted")
    open_hops, loads, requests, other_loads = raw.get("open"), raw.get("loads"), raw.get("asks"), raw.get("rest")
    if type(open_hops) is not dict or len(open_hops) > work_orders.MAX_ORDERS:
        raise register_codec.BadLine("work.open: a short object wanted")
    if loads is not None and (type(loads) is not dict or len(loads) > MAX_LOADS or type(other_loads) is not list or len(other_loads) != 2):
        raise register_codec.BadLine("work.loads and work.rest: a short object and a pair wanted")
    if type(requests) is not list or len(requests) > MAX_REQUESTS:
        raise register_codec.BadLine("work.asks: a short list wanted")
    rejected_rates = raw.get("turned")
    if type(rejected_rates) is not list or len(rejected_rates) != 2:
        raise register_codec.BadLine("work.turned: two figures wanted")
    zone = raw.get("zone")
    if type(zone) is not str or type(raw.get("strict")) is not bool or type(raw.get("doubt")) is not bool:
        raise register_codec.BadLine("work.zone, work.strict or work.doubt: a name, true or false wanted")
    return Report(
        nonce,
        register_codec.whole_number(raw.get("holds"), "work.holds"),
        register_codec.whole_number(raw.get("count"), "work.count"),
        {machine: register_codec.whole_number(count, "work.open") for machine, count in open_hops.items()},
        raw["strict"],
        raw["doubt"],
        {server: parse_load(row) for server, row in loads.items()} if loads is not None else None,
        tuple(map(parse_load, other_loads)) if loads is not None else (NO_LOAD, NO_LOAD),
        tuple(parse_figure(rate, "work.turned") for rate in rejected_rates),
        tuple(map(work_orders.read_request, requests)),
        zone,
    )


def parse_load(raw: Any) -> Load:
    if type(raw) is not list or len(raw) < 4:
        raise register_codec.BadLine("work.loads: three figures and a number wanted")
    return Load(*(parse_figure(value, "work.loads") for value in raw[:3]), register_codec.whole_number(raw[3], "work.loads"))


def parse_figure(raw: Any, name: str) -> float:
    if type(raw) not in (int, float) or not 0 <= raw < 1e12:
        raise register_codec.BadLine(f"{name}: a figure of 0 or more wanted")
    return float(raw)


class Coordinator:
    """One member's knowledge of the work document and of the other members.

    `voter_names` are the voting members, in their order; `own_name` is one of them, or a follower. `lease_length` is the length of a
    lease, `max_time_limit` the longest time limit of a txn and `warm_up` the time from a server's start to its full load, all in ns."""

    def __init__(
        self,
        voter_names: list[str],
        own_name: str,
        zone: str,
        lease_length: int,
        bounds: planner.Bounds,
        strict: bool,
        max_time_limit: int,
        warm_up: int,
    ):
        self.voter_names, self.own_name, self.zone = voter_names, own_name, zone
        self.bounds, self.strict, self.max_time_limit, self.warm_up = bounds, strict, max_time_limit, warm_up
        self.beat, self.lease_request_interval = lease_length // 6, lease_length // LEASE_REQUESTS_PER_LENGTH
        self.requests: list[work_orders.WorkRequest] = []  # of this router's operators' file
        self.list_lease, self.granted_leases = ListLease(lease_length), GrantedListLeases(lease_length)
        self.left_members: list[str] = []  # followers that an operator has marked as left
        self.reports: dict[str, Report] = {}  # by member, the latest one
        self.without_reports: set[str] = set()  # members of an older version, whose lines have no `work`
        self.grants: dict[str, tuple] = {}  # while active: nonce and count of the last grant, by member
        self.listings: dict[str, work_orders.Listing] = {}
        self.document, self.document_source = work_orders.EMPTY_DOCUMENT, None  # the latest one known, and the value it was read from
        self.applied_number = 0  # number of the document that this router goes by
        self.open_hops: dict[str, int] = {}  # by machine
        self.loads: dict[str, list] = {}  # of all servers that this router uses
        self.rejected_rates = (0.0, 0.0)
        self.fresh_loads, self.published_count = False, 0  # loads not published yet; the lease request that was published last
        self.unix_ms = 0
        self.lease_requested_at = self.succession_checked_at = self.notes_published_at = 0
        self.is_active = False
        self.suspected: frozenset = frozenset()  # members that the failure detector suspects
        self.return_seen_at: dict[tuple, int] = {}  # (ident, number): when the machine was first seen back here
        self.earlier_shares: dict[str, float] = {}  # machine: its share of its location's load before it went out
        self.plan_inputs, self.planned_at, self.cached_plan = None, 0, None
        self.cached_reports: list[Report] | None = None
        self.wanted_machines: set[str] = set()  # machines that have an order, or are requested
        self.pool_inputs, self.pool_made_at, self.cached_pool = None, 0, None
        self.is_list_unknown = False  # as of the last tick
        self.possibly_announced: frozenset = frozenset()  # machines that are announced or out by documents that may be decided
        self.fleet_exists = True  # or may exist: False only after all members were heard and none knows of a fleet

    # What this router goes by.

    def update_document(self, value: Any) -> None:
        """Takes over the latest decided document that is known here."""
        if value is not self.document_source:
            self.document_source, document = value, work_orders.read_document(value)
            if document.number >= self.document.number:
                self.document = document

    def withdrawn(self, now: int) -> frozenset:
        """The machines that this router must not use at this moment."""
        return self.document.machines_in(work_orders.WITHDRAWN) if self.list_lease.is_held(now) else self.announced()

    def announced(self) -> frozenset:
        """The machines that may have gone out meanwhile, as far as this router knows."""
        return self.document.machines_in(work_orders.ANNOUNCED) | self.possibly_announced

    def returning(self) -> frozenset:
        """(machine, number) of the machines that come back: they are in slow start from when that was first known here."""
        return frozenset((order.machine, order.at) for order in self.document.orders if order.state == work_orders.BACK)

    def list_unknown(self, now: int) -> bool:
        """Whether this router may lack later documents, and a machine may have gone out by one of them."""
        return not self.list_lease.is_held(now) and (self.fleet_exists if self.strict else bool(self.announced()))

    def mark_applied(self, number: int, open_hops: dict[str, int]) -> None:
        """This router no longer uses the machines that the document `number` withdraws; `open_hops` counts what is still open there."""
        self.applied_number, self.open_hops = max(self.applied_number, number), open_hops

    def is_counted(self) -> bool:
        """Whether no machine goes out that this router may still use: it votes, or the document names it."""
        return self.own_name in self.voter_names or self.own_name in self.document.routers

    def pending_requests(self) -> tuple:
        """The requests that this member publishes."""
        pending = work_orders.pending_requests(self.requests, self.document, self.own_name)
        if not self.is_counted():
            pending = (("join", self.own_name), *pending)
        return (*(("leave", name) for name in self.left_members), *pending)[:MAX_REQUESTS]  # a listed member can't join again

    # Lines.

    def line(self) -> dict:
        """This member's part of the line that it publishes."""
        report = {
            "holds": self.applied_number,
            "count": self.list_lease.count,
            "open": self.open_hops,
            "strict": self.strict,
            "doubt": self.is_list_unknown,
            "turned": list(self.rejected_rates),
            "asks": [list(request) for request in self.pending_requests()],
            "zone": self.zone,
        }
        if self.fresh_loads and self.document.orders and self.list_lease.count != self.published_count:
            # Loads are the largest part, so they go only with a line that is due anyway. The next report makes up for a lost one.
            report["loads"], report["rest"] = self.summarize_loads()
        if self.is_active:
            report["grants"] = [[name, *self.grants[name]] for name in sorted(self.grants)]
        return {"work": report, "wants": []}  # members of an older version require `wants`

    def summarize_loads(self) -> tuple[dict, list]:
        """The loads for the report: one for each server that has an order or is not healthy, and the sums of the other caches and of
        the other parents."""
        ordered = {order.machine for order in self.document.orders}
        single_loads = {name: row for name, row in self.loads.items() if name in ordered or row[3] != HEALTHY}
        sums = [[0.0, 0.0, 0.0, 0], [0.0, 0.0, 0.0, 0]]
        for name, row in self.loads.items():
            if name not in single_loads:
                kind_sum = sums[self.listings.get(name, work_orders.Listing()).kind == "parent"]
                for column in range(3):
                    kind_sum[column] = round(kind_sum[column] + row[column], 3)
                kind_sum[3] += 1
        return dict(sorted(single_loads.items())[:MAX_LOADS]), sums

    def line_published(self) -> None:
        """To be called once the result of `line` is published."""
        if self.list_lease.count != self.published_count:
            self.published_count, self.fresh_loads = self.list_lease.count, False

    def receive_line(self, value: dict, name: str, nonce: int, own_nonce: int, agreed: Iterable = ()) -> None:
        """Reads a line of the member or follower `name`; `agreed` are the values in its register. Raises BadLine."""
        try:
            for document_value in agreed:
                work_orders.read_document(document_value)
            self.receive_report(value.get("work"), name, nonce, own_nonce)
        except work_orders.BadOrder as bad:
            raise register_codec.BadLine(str(bad)) from None

    def receive_report(self, raw: Any, name: str, nonce: int, own_nonce: int) -> None:
        if raw is None:
            self.without_reports.add(name)
            self.reports.pop(name, None)
            return
        report, previous = parse_report(raw, nonce), self.reports.get(name)
        grants = raw.get("grants", [])
        if (
            type(grants) is not list
            or len(grants) > work_orders.MAX_ROUTERS + len(self.voter_names)
            or not all(type(grant) is list and len(grant) == 3 and type(grant[0]) is str for grant in grants)
        ):
            raise register_codec.BadLine("work.grants: a list of members wanted")
        checked_grants = [
            (grantee, register_codec.whole_number(process_nonce, "work.grants"), register_codec.whole_number(lease_count, "work.grants"))
            for grantee, process_nonce, lease_count in grants
        ]
        self.without_reports.discard(name)
        if report.loads is None:
            report = report._replace(loads=previous.loads, other_loads=previous.other_loads) if previous else report._replace(loads={})
        self.reports[name] = report
        for grantee, process_nonce, lease_count in checked_grants:
            if grantee == self.own_name and process_nonce == own_nonce:
                self.list_lease.renew(lease_count)

    # The passing of time.

    def tick(
        self, now: int, is_active: bool, values: list, suspected: Iterable, fleet_exists: bool, possible_values: Iterable = ()
    ) -> None:
        """To be called about four times a beat, before the line of `now` is made.

        `values` are the decided value and the values that may be decided. A member that goes by an older document than they require
        gets no lease, because it may use a machine that is out by one of them. `suspected`: members that the failure detector suspects,
        by number or name. `possible_values`: values that are or may be decided somewhere, though this member does not know it yet."""
        self.possibly_announced = frozenset().union(
            *(
                document.machines_in(work_orders.ANNOUNCED)
                for document in map(work_orders.read_document, possible_values)
                if document.number > self.document.number
            )
        )
        self.is_active, self.fleet_exists = is_active, fleet_exists
        self.suspected = frozenset(self.voter_names[member] if type(member) is int else member for member in suspected)
        self.granted_leases.set_active(is_active, now)
        self.is_list_unknown = self.list_unknown(now)
        if (self.document.orders or self.strict) and now - self.lease_requested_at >= self.lease_request_interval:
            self.lease_requested_at = now
            self.list_lease.request(now)
        if not is_active:
            self.grants = {}
            return
        min_number = max(work_orders.read_document(value).min_lease_number() for value in values)
        for name, report in self.reports.items():
            is_counted = name in self.voter_names or name in self.document.routers  # the next coordinator may not know of others
            if (
                is_counted
                and report.lease_count
                and report.applied_number >= min_number
                and self.grants.get(name) != (report.nonce, report.lease_count)
            ):
                self.grants[name] = (report.nonce, report.lease_count)
                self.granted_leases.grant(name, now)
        if self.applied_number >= min_number:
            self.list_lease.renew(self.list_lease.count)  # the coordinator grants its own lease: no other member decides meanwhile

    def next_value(self, value: Any, now: int) -> Any:
        """The value that follows the agreed `value`, None where nothing changes. The coordinator calls this a few times a beat."""
        if now - self.succession_checked_at < self.beat // 4:
            return None
        self.succession_checked_at, self.cached_reports = now, None
        before = work_orders.read_document(value)
        requests = [(name, request) for name, report in self.reports.items() for request in report.requests]
        requests += [(self.own_name, work_orders.read_request(request)) for request in self.pending_requests()]
        self.wanted_machines = {order.machine for order in before.orders} | {request[2] for _, request in requests if request[0] == "add"}
        self.remember_load_shares(now)
        after = work_orders.next_document(before, requests, self.fleet_view(now))
        if after is None:
            return None
        if without_notes(after) == without_notes(before):
            if now - self.notes_published_at < MIN_NOTES_INTERVAL_NS:
                return None
            self.notes_published_at = now
        return register_codec.freeze(work_orders.document_value(after))

    # How the coordinator views the fleet.

    def fleet_view(self, now: int) -> work_orders.FleetView:
        return work_orders.FleetView(
            self.unix_ms,
            self.listings,
            self.machine_pool(now),
            PLANNED_DRAIN_S,
            self.warm_up / 1e9,
            self.members_not_notified,
            lambda number: self.members_that_may_use(number, now),
            lambda machine, number: self.members_with_open_hops(machine, number, now),
            lambda ready, running, pool: self.make_plan(ready, running, pool, now),
            lambda order: self.warm_up_status(order, now),
        )

    def make_plan(self, ready: list, running: list, pool: planner.MachinePool, now: int) -> planner.Plan:
        """A plan costs some 30 ms for a dozen units, so a new one is made only when its inputs differ, or the last one is too old."""
        inputs = (
            [unit._replace(deadline_s=0.0) for unit in ready],
            [unit.name for unit, _ in running],
            pool.away,
            pool.trouble,
            sorted(pool.machines),
            pool.violated_bound(frozenset().union(*(unit.machines for unit, _ in running))),
        )
        if inputs != self.plan_inputs or now - self.planned_at >= MAX_PLAN_AGE_NS:
            self.plan_inputs, self.planned_at, self.cached_plan = inputs, now, planner.make_plan(ready, running, pool)
        return self.cached_plan

    def other_members(self) -> list[str]:
        """All members except this one that may use machines: voting members and counted followers."""
        return [name for name in (*self.voter_names, *self.document.routers) if name != self.own_name]

    def members_not_notified(self, number: int) -> list[str]:
        """Members that have not reported that they applied that document, and that go on serving while the list is unknown to them."""
        members = [] if self.applied_number >= number else [self.own_name]
        for name in self.other_members():
            report = self.reports.get(name)
            if (
                report is None
                and self.strict
                and name not in self.without_reports
                or report is not None
                and (report.applied_number >= number or report.strict)
            ):
                continue
            members.append(name)
        return members

    def members_that_may_use(self, number: int, now: int) -> list[str]:
        """Members that have not applied that document and may still hold a lease."""
        members = [] if self.applied_number >= number else [self.own_name]
        return members + [
            name
            for name in self.other_members()
            if not (name in self.reports and self.reports[name].applied_number >= number) and not self.granted_leases.has_ended(name, now)
        ]

    def members_with_open_hops(self, machine: str, number: int, now: int) -> list[str]:
        """Members that may have hops or fills open at the machine, which is gone since that document.

        A member's report that nothing is open counts if it has applied the document, or if it reports that the list is unknown to it
        and its lease has ended. A member that can't be reached has nothing open once its lease has ended and the longest time limit
        after that is over."""
        members = [self.own_name] if self.applied_number < number or self.open_hops.get(machine, 1) else []
        for name in self.other_members():
            report = self.reports.get(name)
            if (
                report is not None
                and not report.open_hops.get(machine, 1)
                and (report.applied_number >= number or report.list_unknown and self.granted_leases.has_ended(name, now))
            ):
                continue
            reachable = report is not None and name not in self.suspected
            if not reachable and self.granted_leases.has_ended(name, now, self.max_time_limit + OPEN_HOP_SLACK_NS):
                continue
            members.append(name)
        return members

    def live_reports(self) -> list[Report]:
        """The reports of this router and of each member that is not suspected, as of the last call of `next_value`."""
        if self.cached_reports is None:
            self.cached_reports = self.collect_live_reports()
        return self.cached_reports

    def collect_live_reports(self) -> list[Report]:
        loads, other_loads = self.summarize_loads()
        own_report = Report(
            0,
            self.applied_number,
            0,
            self.open_hops,
            self.strict,
            False,
            {name: Load(*row) for name, row in loads.items()},
            tuple(Load(*row) for row in other_loads),
            self.rejected_rates,
            (),
            self.zone,
        )
        return [own_report, *(report for name, report in self.reports.items() if name not in self.suspected)]

    def machine_pool(self, now: int) -> planner.MachinePool:
        """The pool of `build_machine_pool`, which goes through all listings: built again when the listings or the document differ, and
        a few times a second."""
        inputs = (id(self.listings), self.document.number, self.wanted_machines)
        if inputs != self.pool_inputs or now - self.pool_made_at >= MAX_POOL_AGE_NS:
            self.pool_inputs, self.pool_made_at, self.cached_pool = inputs, now, self.build_machine_pool()
        return self.cached_pool

    def build_machine_pool(self) -> planner.MachinePool:
        """All machines, as the live routers report them. Each router uses the caches of its own location and all parents. The machines
        of a location that no router reports singly are one machine in the pool, which no work request names."""
        live = self.live_reports()
        machines, reporting_zones, trouble = (
            {},
            {report.zone for report in live if report.loads or any(row.condition for row in report.other_loads)},
            {},
        )
        away = self.document.machines_in(work_orders.AWAY)
        for name in sorted({name for report in live for name in report.loads} | self.wanted_machines):
            listing = self.listings.get(name, work_orders.Listing())
            if not listing.kind:
                continue
            rows = [report.loads[name] for report in live if name in report.loads]
            unhealthy = sum(row.condition == EJECTED for row in rows) * 2 > len(rows) or any(row.condition == SLOW_START for row in rows)
            capacities = sorted(row.capacity for row in rows) or [listing.rating]
            machines[name] = planner.Machine(
                listing.zone,
                listing.kind == "parent",
                capacities[len(capacities) // 2],
                sum(row.load for row in rows),
                sum(row.fills for row in rows),
                listing.state == "up" and not unhealthy or name in away,
            )
        for name, listing in self.listings.items():
            if listing.kind and listing.state == "draining" and name not in machines:
                machines[name] = planner.Machine(listing.zone, listing.kind == "parent", listing.rating, 0.0, 0.0, False)
        unreported = Counter(
            (listing.zone, listing.kind)
            for name, listing in self.listings.items()
            if listing.kind and listing.state == "up" and name not in machines
        )
        for (zone, kind), count in unreported.items():
            sum_index = int(kind == "parent")
            sums = [
                report.other_loads[sum_index]
                for report in live
                if (sum_index or report.zone == zone) and report.other_loads[sum_index].condition
            ]
            if sums:  # the `condition` of a sum is its number of servers
                share = count / max(row.condition for row in sums)
                machines[f"{zone} {kind}s"] = planner.Machine(
                    zone,
                    bool(sum_index),
                    share * sum(row.capacity for row in sums) / len(sums),
                    share * sum(row.load for row in sums),
                    share * sum(row.fills for row in sums),
                )
        for zone in {machine.zone for machine in machines.values() if not machine.is_parent}:
            rejected, txns = (sum(report.rejected_rates[index] for report in live if report.zone == zone) for index in (0, 1))
            if zone not in reporting_zones:
                trouble[zone] = "no router there tells its load"
            elif txns >= MIN_TROUBLE_TXNS_S and rejected > TROUBLE_REJECTED_SHARE * txns:
                trouble[zone] = "txns are turned away there"
        return planner.MachinePool(machines, self.bounds, trouble)

    def warm_up_status(self, order: work_orders.Order, now: int) -> str:
        """What a returned machine still lacks, '' once it has warmed up."""
        since = self.return_seen_at.setdefault((order.ident, order.at), now)
        if len(self.return_seen_at) > work_orders.MAX_ORDERS:
            del self.return_seen_at[next(iter(self.return_seen_at))]
        live = self.live_reports()
        not_applied = [report for report in live if report.applied_number < order.at]
        if not_applied or now - since < self.warm_up:
            return "warms"
        rows = [report.loads[order.machine] for report in live if order.machine in report.loads]
        if any(row.condition == SLOW_START for row in rows):
            return "cold"
        zone_load, own_load, even_share = self.load_share(order.machine, self.machine_pool(now))
        expected = zone_load * min(even_share, self.earlier_shares.get(order.machine, even_share))
        visible_part = 1 - math.exp((since - now) / LOAD_DECAY_NS)  # the share of the true load that a fading mean shows by now
        if own_load < MIN_LOAD_SHARE * visible_part * expected and now - since < MAX_WARM_UP_FACTOR * self.warm_up:
            return f"bears {own_load:.1f} of {expected:.1f} transfers"
        return ""

    def load_share(self, machine: str, pool: planner.MachinePool) -> tuple[float, float, float]:
        """The load of the machine's location, the machine's own load, and its share of the location's capacity, which is its share of
        an evenly spread load. The first and last are 0 where the location is idle."""
        own_machine = pool.machines.get(machine)
        if own_machine is None:
            return 0.0, 0.0, 0.0
        peers = [peer for peer in pool.machines.values() if (peer.zone, peer.is_parent) == (own_machine.zone, own_machine.is_parent)]
        load, capacity = sum(peer.load for peer in peers), sum(peer.capacity for peer in peers)
        return (
            (load, own_machine.load, own_machine.capacity / capacity)
            if capacity and load > IDLE_UTILIZATION * capacity
            else (0.0, own_machine.load, 0.0)
        )

    def remember_load_shares(self, now: int) -> None:
        """Stores the share of the load that a machine carries before it goes out: it is expected to carry that share again."""
        ordered = {order.machine for order in self.document.orders}
        self.earlier_shares = {name: share for name, share in self.earlier_shares.items() if name in ordered}
        pool = self.machine_pool(now)
        for order in self.document.orders:
            if order.state in (work_orders.WAITING, work_orders.NEXT) and order.machine in self.listings:
                zone_load, own_load, _ = self.load_share(order.machine, pool)
                if zone_load:
                    self.earlier_shares[order.machine] = own_load / zone_load


def without_notes(document: work_orders.WorkDocument) -> list:
    return [[order._replace(note="") for order in document.orders], document.ended]
