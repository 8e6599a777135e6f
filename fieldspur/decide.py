"""All decisions of fieldspur: which cache serves a txn, what fills a miss, who waits, what is given up.

A program builds a Router for each instance and calls one method for each thing that happens, the Fleet's for
the server list; the Router acts by calling its host (fieldspur/host.py) at once. docs/design.md has the why.
"""

from __future__ import annotations

import math
import random
from collections import OrderedDict
from operator import attrgetter

from .host import (
    FILLED,
    FILLED_BY_ORIGIN,
    HIT,
    JOINED,
    NEVER_RAN,
    ORIGIN_FAILED,
    PAST_FRESH,
    SOURCE_LACKS,
    SOURCE_LOST,
    SOURCE_REFUSED,
    Host,
    RemapRule,
)
from .permissions import GiveUp, last_repeat, may_promise_no_effect, repeat_refusal
from .record import default_factory, record

try:
    from _blake2 import blake2b  # a start of its own does not load all that `hashlib` brings
except ImportError:
    from hashlib import blake2b

MS, SECOND = 1_000_000, 1_000_000_000
FILLS, LOST = (FILLED, FILLED_BY_ORIGIN), ("broken", "unsent", "unreachable")  # LOST: with a connection

OUTER_WAIT, MOST_WAITERS = 3 * SECOND, 64  # the source's lock time-out bounds any wait; list of one part
KEPT_RANK, ORDERS_MOST, OBJECT_HOMES = 2, 4096, 0.25  # above the lowest; kept; share that homes objects whole
COLD_USE = 0.45  # share of a cold server's budget that all routers together are to use in a span
LEAST_RATE = 0.03  # transfers a second that a cold server may take where nothing tells its size
SPILL, SPILL_NEAR, SPILL_GAIN = 2.0, 1.3, 0.6  # crowd at which home spreads (NEAR: supplies it)
CROWD_LEAST, CROWD_MOST = 1.25, 2.1  # admission: hops over what fits, for a txn of little worth; most on top
FITS_FIRST, FITS_STEP, LANES = 4.0, 0.1, 4  # transfers that fit, a step; connections where they break
FILL_LATE, DUE_WAIT, LOOK_GAP = 0.8, 100 * MS, MS // 4  # a late hop is a fill; its usual wait; looks by hop
LINK_SHARE, LINK_FIRST = 0.7, 0.5  # most crowd on the way in over a cache's; what fits there, where not told
FAIL_STEP, FAIL_LIMIT, FAIL_TIMES, PROOF = 0.1, 0.5, 2.0, 0.6  # a result; what ejects; a death counts more
LATE_FILLS, MISSED_FILLS = 2, 5  # a source is slow or silent: so many late, and so many more from its peers
ORIGIN_STEP, ORIGIN_LIMIT = 0.2, 0.35  # the same for the origin: above this it counts as failing,
ORIGIN_TRY, SLOW_TIMES = 0.2, 3.0  # ... and so few fills may ask it at the least; late: times its usual wait
EJECT_FIRST, EJECT_MOST = 1 * SECOND, 8 * SECOND  # ejection, doubling each time
QUIET_LEAST, QUIET_TIMES, ALONE, TAIL = 300 * MS, 1.5, 2.0, 6.0  # silence; times due; one hop's; spreads
LARGE_SPREADS = 2.0  # mean deviations above the mean: about where the largest tenth begins
QUIET_FEW, LATE_LEARN = 12.0, 0.2  # times due, over the hops that say so; weight of a late fill
RETRY_SHARE, RETRY_MOST, ERRORS_MOST = 0.3, 20.0, 3  # further hops a txn; saved up; errors that end a txn
SEEN_SPAN, TOLD_SPAN, BUSY = 4 * SECOND, 1500 * MS, 0.85  # how long crowding seen counts; told; a busy cache
CROWD_STEP, PACE_STEP = 0.15, 0.4  # weight of one cache's crowd in the usual one, of one hit's in a cache's
FILL_PACE, PROBE_GAP, SEEN_LAG = 2.5, 400 * MS, 1.15  # a fill's pace over a client's; probes; seen late
FIRST_WORK, FIRST_BYTE, LEARN = 400 * MS, 80 * MS, 0.05  # before any is learned; weight of one sample
KEPT_PART, PART_STEP = 0.8, 0.1  # what a rule's largest keep of its answered part at the least; one sample
MOST_PURGES = 50_000  # that are known one by one
NEVER = 1 << 62


@record(eq=False)
class Server:
    """All that is known about one cache, parent or the origin."""

    name: str
    seal: object  # the hash of its name, into which keys go
    state: str = "gone"
    started: int = 0
    zone: int = 0
    rating: float = 1.0
    kind: int = 0
    cell: int = 0
    in_flight: dict = default_factory(dict)  # hops out there, oldest first
    sourced_hops: dict = default_factory(dict)  # hops out elsewhere that name it as their source
    fills: tuple = (0.0, 0)  # how many of `out` are being filled; when it last looked through them
    capacity: float = FITS_FIRST  # how many of this router's transfers run there at full pace
    transfer_rate: tuple = (0.0, 0)  # sending time a second that it lately did for this router, as of when
    broke: int = 0  # when a connection to it last broke under hops
    heard: int = 0  # when it last answered anything, or a fill from it came
    missed: int = 0  # fills that came from its peers since, halved at each of its own
    fails: float = 0.0
    ejected_until: int = 0  # 0: in service; past: one hop at a time until it has proved itself
    ejections: int = 0
    crowd: tuple = (0.0, 0)  # transfers of all routers over those that fit, as told or as hits' pace shows
    tokens: float = 0.0  # what is left of this router's part of a cold server's budget
    tokens_for: int = -1  # ... in this span since its start


@record(eq=False)
class Hop:
    txn: int  # by number: one that points to its txn makes a cycle, and long pauses to find it
    number: int
    server: Server
    source: Server | None
    sent: int
    work: int
    beside: int  # hops out there when it was sent
    filling: float  # how likely it is to be filled
    charged: float  # what the source's cold budget was charged
    fetch: bool  # the source may ask the origin
    in_flight: bool = True
    ran: bool = True  # may have run
    dropped: bool = False  # cancelled by this router
    erred: bool = False  # speaks against its server and source if another serves the txn
    alone: bool = False  # its fill may hang: the next hop does not join it
    counted: float = 0.0  # `filling` as it stands in the server's `fills`
    due: int = 0  # label of the alarm that asks after it


@record(eq=False)
class Txn:
    ident: int
    rule: RemapRule
    rule_at: int
    obj: str
    part: int
    group: int
    work: int
    sized: bool
    limit_at: int
    hops: list = default_factory(list)
    leads: bool = False
    waits: bool = False
    ended: bool = False
    hopeless: bool = False  # it would have to be filled, and may not
    past_fresh: bool = False  # a copy within its grace will do
    avoid: set = default_factory(set)  # servers that failed it


BY_NAME = attrgetter("name")
RANK = attrgetter("name", "rating", "kind", "zone")  # what the order of servers for a key depends on


def middle(values: list[float]) -> float:
    """The median."""
    values = sorted(values)
    return (values[(len(values) - 1) // 2] + values[len(values) // 2]) / 2


class Purges:
    """Times of the purges that still bind, by object and by group, as they were told: those told first are forgotten first. A purge binds
    for twice `span` (ns). Beyond MOST_PURGES the oldest bind all objects, so that copies are asked for anew too often, never too seldom."""

    def __init__(self, span: int):
        self.span = span
        self.made: OrderedDict[tuple, int] = OrderedDict()  # by object or group
        self.of_all = 0  # when the latest of those was made that bind all objects

    def add(self, now: int, obj, group: int, age: int) -> None:
        """Amortized constant time: each purge is forgotten once."""
        key = (obj, 0) if obj is not None else (None, group)
        self.made[key] = max(now - age, self.made.pop(key, 0))
        while self.made:
            oldest = next(iter(self.made))
            binds = now - self.made[oldest] <= 2 * self.span
            if binds and len(self.made) <= MOST_PURGES:
                return
            made = self.made.pop(oldest)
            if binds:
                self.of_all = max(self.of_all, made)

    def oldest_copy(self, now: int, obj, group: int, fresh: int) -> int:
        """The oldest copy that will do, never 0 where a purge binds (0 leaves it to the rule)."""
        if not (self.made or self.of_all):
            return 0
        made = max(self.made.get((obj, 0), 0), self.made.get((None, group), 0), self.of_all)
        return min(max(1000, now - made), fresh or now) if made and now - made <= 2 * self.span else 0


@record(eq=False)
class Sizes:
    """One rule's largest txns, a tenth and the next fifth, and what part of each, and of all, is answered."""

    tenth: float = 0.0  # sending time at which the largest tenth begins
    third: float = 0.0  # the same for the largest three tenths
    answered: list = default_factory(lambda: [1.0, 1.0, 1.0])  # of the tenth, of the fifth, of all
    lately: bool = False  # some were given up, so it is counted

    def band(self, work: int) -> int:
        return 0 if work >= self.tenth else 1 if work >= self.third else 2

    def ended(self, work: int, well: bool) -> None:
        band = self.band(work)
        if band < 2:
            self.answered[band] += (well - self.answered[band]) * PART_STEP
        self.answered[2] += (well - self.answered[2]) * LEARN
        self.lately = min(self.answered) < 0.99

    def short(self, work: int) -> bool:
        """Guards the largest against being all that pays when there is too little for all."""
        return self.answered[self.band(work)] < KEPT_PART * self.answered[2]


@record()
class Flight:
    leader: Txn
    since: int
    waiters: dict = default_factory(dict)


class Collapsing:
    """Leaders and waiting lists by object and part."""

    def __init__(self):
        self.flights: dict[tuple, Flight] = {}


class ServerPool:
    """The listed servers: their states, health, loads and cold budgets."""

    def __init__(
        self,
        zone: int,
        parent_kind: int,
        origin_kind: int,
        rating_quality: str,
        cache_share: float,
        parent_share: float,
        cache_slow_start: tuple,
        parent_slow_start: tuple,
        budget_window: int,
        link_capacity: float,
        siblings: bool,
    ):
        self.zone, self.parent_kind, self.origin_kind = zone, parent_kind, origin_kind
        self.size_trust = 1.0 if rating_quality == "nominal" else 0.0
        self.slow_start = {False: (cache_share, *cache_slow_start), True: (parent_share, *parent_slow_start)}
        self.budget_window, self.siblings = budget_window, siblings
        self.began = 0  # when this process did, by the Router
        self.share, self.random, self.log = cache_share, random.Random(0), print  # the Router's own
        self.link_fits = link_capacity * cache_share  # fills that this router's share of the way in takes at full pace
        self.link_told, self.link_told_at, self.crowd, self.crowd_at = 0.0, 0, 0.0, 0  # of all routers, here
        self.orders: dict[tuple, list[Server]] = {}  # rendezvous orders of this list
        self.ranks: list[tuple] = []  # what they depend on
        self.miss_share, self.fill_wait, self.origin_wait = 0.5, 0.0, 0.0  # of leaders, of fills; usual
        self.servers: dict[str, Server] = {}
        self.fills, self.fills_at = 0.0, 0  # of all caches here, and when all were last looked through
        self.caches, self.parents, self.origin, self.listed = [], [], None, None  # as listed

    def list_begins(self, complete: bool) -> None:
        self.listed = set() if complete else None

    def server_listed(self, name, state, started, zone, rating, kind, cell) -> None:
        s = self.servers.get(name)
        if s is None:
            seal = blake2b(key=name.encode()[:64], digest_size=8)
            s = self.servers[name] = Server(name, seal, capacity=FITS_FIRST * self.share)
        if started != s.started:  # a new process: empty, cold, and nothing held against it
            s.fails, s.ejected_until, s.ejections, s.tokens_for, s.crowd = 0.0, 0, 0, -1, (0.0, 0)
        if self.size_trust and (rating != s.rating or started != s.started or s.state == "gone"):
            s.capacity = rating * self.share
        s.state, s.started, s.zone, s.rating, s.kind, s.cell = state, started, zone, rating, kind, cell
        if self.listed is not None:
            self.listed.add(name)

    def list_ends(self) -> None:
        if self.listed is not None:
            for s in self.servers.values():
                if s.name not in self.listed:
                    s.state = "gone"  # absence from a complete list is a removal
        if not self.link_fits:  # not told: a first guess, learned from there
            self.link_fits = LINK_FIRST * sum(s.capacity for s in self.servers.values() if s.zone == self.zone)
        here = sorted([s for s in self.servers.values() if s.state != "gone"], key=BY_NAME)
        if len(here) < len(self.servers):
            self.servers = {n: s for n, s in self.servers.items() if s.state != "gone" or s.in_flight or s.sourced_hops}
        ranks = list(map(RANK, here))
        if ranks == self.ranks:  # states and restarts leave the orders as they are
            return
        self.ranks = ranks
        self.orders.clear()
        self.parents = [s for s in here if s.kind == self.parent_kind]
        self.origin = next((s for s in here if s.kind == self.origin_kind), None)
        self.caches = [s for s in here if s.zone == self.zone and s.kind != self.parent_kind and s is not self.origin]

    def ranked(self, servers: list[Server], key: str) -> list[Server]:
        """Weighted rendezvous hashing of caches or parents, alike at all routers; health does not enter."""

        def score(s: Server) -> float:
            word = s.seal.copy()
            word.update(text)
            size = max(s.rating, 0.01) if self.size_trust else 1.0
            return math.log((int.from_bytes(word.digest(), "big") + 1) / 2.0**64) / size

        if len(servers) < 2:
            return servers
        at = (key, servers is self.parents)
        found = self.orders.get(at)
        if found is None:
            if len(self.orders) >= ORDERS_MOST:
                self.orders.clear()  # one by one, oldest first, costs more than ranking anew
            text = key.encode()
            found = self.orders[at] = sorted(servers, key=score, reverse=True)
        return found

    def order(self, obj, part) -> list[Server]:
        """The home cache and those after it; by part where a router sees too little of an object's crowd."""
        return self.ranked(self.caches, obj if self.share >= OBJECT_HOMES else f"{obj}#{part}")

    def carried(self, s: Server, work: float, now: int) -> None:
        s.transfer_rate = (self.transfer_rate(s, now) + work / (5 * SECOND), now)

    def transfer_rate(self, s: Server, now: int) -> float:
        return s.transfer_rate[0] * math.exp((s.transfer_rate[1] - now) / (5 * SECOND))

    def in_slow_start(self, s: Server, now: int) -> bool:
        return bool(s.started) and now - s.started < self.slow_start[s.kind == self.parent_kind][2]

    def span_ends(self, s: Server, now: int) -> int:
        """A hop to a cold server goes out in the span that it was charged to, or, over a late dial, in the
        first half of the next: one taken back is charged again, and many are where dials are late."""
        spans = max(0, now - s.started) // self.budget_window + 1.5
        return s.started + int(spans * self.budget_window)

    def has_budget(self, s: Server, now: int, charge: float) -> bool:
        """Guards a freshly started server: this router's part of what all may send it in each span. A part
        smaller than one txn is rounded by chance, so that many routers together come out at the budget. A
        span that began before this process did is not spent again: the one before it may have done so."""
        if not self.in_slow_start(s, now) or s.kind == self.origin_kind:
            return True
        share, start, ramp, multiple = self.slow_start[s.kind == self.parent_kind]
        span = max(0, now - s.started) // self.budget_window
        if s.tokens_for != span:
            mine = s.rating * self.size_trust * share
            if not mine:  # sizes are not told: what warm peers, or the caches before, did for this router
                rates = [self.transfer_rate(p, now) for p in self.peers(s) if not self.in_slow_start(p, now)]
                mine = max(LEAST_RATE, sum(rates) / len(rates) if rates else 0.0)
            able = mine * (start + (1 - start) * span * self.budget_window / ramp) * min(multiple * COLD_USE, 1.0)
            whole, part = divmod(able * self.budget_window / charge, 1.0)
            s.tokens, s.tokens_for = charge * (whole + (self.random.random() < part)), span
            if s.started + span * self.budget_window < self.began:
                s.tokens = 0.0
        return s.tokens >= charge

    # Health.

    def peers(self, s: Server) -> list[Server]:
        return [p for p in (self.parents if s in self.parents else self.caches) if p is not s]

    def is_healthy(self, s: Server, now: int) -> bool:
        return not s.ejected_until or (now >= s.ejected_until and not s.in_flight and not s.sourced_hops)

    def eject(self, s: Server, now: int, why: str) -> None:
        s.fails = max(s.fails, 0.6 * FAIL_LIMIT)  # one answer clears silence
        span = min(EJECT_MOST, EJECT_FIRST << min(s.ejections, 6))
        s.ejected_until, s.ejections = now + span, s.ejections + 1
        self.log(f"ejected {s.name} for {span // MS} ms: {why}")

    def judge(self, s: Server, failed: float, now: int, proof: bool = False) -> None:
        """Count one result, 1 failed to 0 well. Only an outlier is ejected."""
        s.fails += (failed - s.fails) * (PROOF if proof else FAIL_STEP * (2 if s.ejected_until else 1))
        if not (failed or s.ejected_until):
            return
        limit = max(FAIL_LIMIT, FAIL_TIMES * middle([p.fails for p in self.peers(s)] or [1.0]))
        if failed and s.fails > limit and now >= s.ejected_until:
            self.eject(s, now, "failures")
        elif not failed and s.ejected_until:  # no better than its peers are is good enough
            s.ejected_until = 0 if s.fails < limit / 2 else now

    def transferred(self, s: Server, work: int, took: int, beside: float) -> None:
        """Learn from a hit how many transfers fit: their number, times the share of full pace each had."""
        pace = work / max(work, took - 20 * MS)
        if self.share >= OBJECT_HOMES and (beside >= 1.5 if pace < 0.85 else beside > s.capacity):
            s.capacity = max(0.5, s.capacity + (beside * pace - s.capacity) * FITS_STEP)

    def origin_late(self, wait: int) -> bool:
        """Guards an origin that all push over together: far slower than usual, it is asked by few, too."""
        usual = self.origin_wait or wait
        if wait <= SLOW_TIMES * usual:
            self.origin_wait = usual + (wait - usual) * LEARN
        return wait > SLOW_TIMES * usual

    def filling(self, s: Server, now: int) -> float:
        """How many hops out are being filled; looked through the less often the more are out."""
        if now - s.fills[1] >= LOOK_GAP * len(s.in_flight):
            for h in s.in_flight.values():
                late = h.filling and now - h.sent > 1.2 * self.hit_time(h, now)
                h.counted = FILL_LATE if late else h.filling
            s.fills = (sum(h.counted for h in s.in_flight.values()) if s.in_flight else 0.0, now)
        return s.fills[0]

    def fills_change(self, s: Server, by: float) -> None:
        s.fills = (s.fills[0] + by, s.fills[1])
        self.fills += by

    def hit_time(self, hop: Hop, now: int) -> float:
        return hop.work * max(1.0, hop.beside / max(1.0, hop.server.capacity), self.recent_utilization(hop.server, now))

    def total_utilization(self, own: float, fits: float) -> float:
        """The crowd of all routers, by this one's own count, less what chance may have brought it of that."""
        chance = (1 - self.share) * math.sqrt(max(own, 0.0)) if self.share < OBJECT_HOMES else 0.0
        return (own - chance) / max(fits, self.share)

    def recent_utilization(self, s: Server, now: int) -> float:
        """The crowd at a cache, as lately seen there, and as at the others the longer that is ago."""
        usual = self.crowd and self.crowd * math.exp((self.crowd_at - now) / SEEN_SPAN)
        if not s.crowd[0] and not usual:
            return 0.0
        return usual + (s.crowd[0] - usual) * math.exp((s.crowd[1] - now) / SEEN_SPAN)

    def usual_crowd(self, now: int) -> float:
        return self.crowd * math.exp((self.crowd_at - now) / SEEN_SPAN)

    def saw(self, s: Server, crowd: float, now: int) -> None:
        self.crowd = self.usual_crowd(now) + (crowd - self.usual_crowd(now)) * CROWD_STEP
        s.crowd, self.crowd_at = (crowd, now), now

    def told(self, s: Server, load: dict | None, now: int) -> None:
        """A load report: of a cache how busy it is, and how full the way in of its location is."""
        if load is None or s not in self.caches:
            return
        if "fetching" in load:
            self.link_told, self.link_told_at = load["fetching"] / FILL_PACE, now
        busy, was = load.get("util", 0.0), self.recent_utilization(s, now)
        if busy >= BUSY:  # from here on the hops it holds tell, or hits' pace
            busy = load["inflight"] / s.rating if self.size_trust and "inflight" in load else max(1.0, was)
        self.saw(s, was + (busy - was) * PACE_STEP, now)

    def link_crowding(self, now: int, more: float) -> float:
        told = self.link_told if self.link_told_at and now - self.link_told_at < TOLD_SPAN else 0.0
        if now - self.fills_at >= LOOK_GAP:  # between looks it is counted on by hops that begin and end
            self.fills, self.fills_at = sum([self.filling(s, now) for s in self.caches if s.in_flight]), now
        return max(told, self.total_utilization(self.fills + more, self.link_fits))

    def cache_for(self, order, obj, part, now, mean, crowd, avoid, follow, allowed) -> Server | None:
        """The home, first of `order`, or as far down it as health, budgets and crowding make it go."""
        if order and follow is None and allowed is None and not avoid:
            home = order[0]  # the ordinary case of all that follows: it is well and has room
            if home.state == "up" and not home.ejected_until and not self.in_slow_start(home, now):
                own = self.total_utilization(len(home.in_flight) + 1, home.capacity)  # fills that hold up would count for less
                if max(own, SEEN_LAG * self.recent_utilization(home, now)) <= min(crowd, SPILL_NEAR):
                    return home
        link = self.link_crowding(now, 0)
        able = [s for s in order if s.state == "up" and (allowed is None or allowed(s)) and self.has_budget(s, now, mean)]
        fit = [s for s in able if s.name not in avoid and self.is_healthy(s, now)] or [s for s in able if s.name not in avoid] or able
        if not fit:
            return None

        def crowding(s: Server) -> float:
            idle = self.filling(s, now) * max(1 - 1 / max(1.0, link), self.fill_wait)  # fills held up
            return max(self.total_utilization(len(s.in_flight) + 1 - idle, s.capacity), SEEN_LAG * self.recent_utilization(s, now))

        if follow in fit and crowding(follow) <= crowd:
            return follow  # where the leader went there is a fill to join
        home = crowding(fit[0])
        if home <= (SPILL_NEAR if self.siblings else max(SPILL, crowd) if link > 1 else SPILL):
            return fit[0] if home <= max(crowd, 1.0) else None
        # A hot object's home is crowded, and there is room for spreading: its parts do, alike at all routers.
        spread = [s for s in self.ranked(self.caches, f"{obj}#{part}#") if s in fit]
        best = next((s for s in spread if crowding(s) <= SPILL_GAIN * home), fit[0])
        return best if crowding(best) <= max(crowd, 1.0) else None

    def source_for(self, obj, now, charge, avoid) -> Server | None:
        """The first parent of the shared hash, the second while it fails; then the origin."""
        ranked = self.ranked(self.parents, obj)
        if ranked and ranked[0].state == "up" and not ranked[0].ejected_until and not avoid and not self.in_slow_start(ranked[0], now):
            return ranked[0]  # the ordinary case of what follows
        if not ranked and self.origin is not None:
            return self.origin if self.origin.state == "up" else None
        able = [s for s in ranked if s.state == "up" and s.name not in avoid and self.has_budget(s, now, charge)]
        fit = [s for s in able if self.is_healthy(s, now)]
        origin = [self.origin] if self.origin and self.origin.state == "up" else []
        return next(iter(fit or origin or able), None)


class Router:
    """One router's decisions. It shares nothing with other routers."""

    def __init__(
        self,
        host: Host,
        seed: int,
        rules: list[RemapRule],
        fleet: ServerPool,
        purges: Purges,
        collapsing: Collapsing,
        kb_per_s: float,
        hop_limit: int,
        join_fills: bool,
        probes: bool,
        may_cancel: bool,
        max_retry_after: int,
        without_notes: bool = False,
        watch_only: bool = False,
    ):
        self.host, self.rules, self.pool, self.purges = host, rules, fleet, purges
        self.without_notes, self.watch_only, self.shape_differences = without_notes, watch_only, {"noteless": 0}  # watched: counted only
        self.random, fleet.log = random.Random(seed), host.log
        fleet.random, fleet.began = self.random, host.now()
        self.collapsing, self.kb_per_s, self.hop_limit, self.join_fills = collapsing, kb_per_s, hop_limit, join_fills
        self.probes, self.may_cancel, self.max_retry_after = probes, may_cancel, max_retry_after
        self.works = [float(FIRST_WORK)] * len(rules)  # mean sending times, learned
        self.sizes = [Sizes() for _ in rules]
        self.spreads = [FIRST_WORK / 2] * len(rules)  # their mean deviation, where sizes are not told
        self.mean_transfer_time, self.mean_importance = float(FIRST_WORK), 1.0
        self.first_byte_after, self.first_byte_spread = float(FIRST_BYTE), FIRST_BYTE / 2
        self.txns, self.alarms = {}, {}  # by number; by label
        self.last_label, self.retries, self.probed_at, self.notes = 0, RETRY_MOST, 0, False
        self.give_up_counts: dict[GiveUp, int] = {}  # requests given up, by reason

    # A txn's way.

    def txn_arrived(self, ident: int, rule_at: int, obj: str, part: int, left: int, kb: float, group: int):
        now, rule = self.host.now(), self.rules[rule_at]
        work = int(kb / self.kb_per_s * SECOND) if kb else int(self.works[rule_at])
        txn = self.txns[ident] = Txn(ident, rule, rule_at, obj, part, group, work, kb > 0, now + left)
        if work > rule.limit:  # can't be sent in its time; nor is a figure out of range to be learned
            return self.give_up(txn, GiveUp.TOO_LARGE)
        self.works[rule_at] += (work - self.works[rule_at]) * LEARN
        sizes, step = self.sizes[rule_at], self.works[rule_at] * LEARN
        sizes.tenth += step * ((work >= sizes.tenth) - 0.1)
        sizes.third += step * ((work >= sizes.third) - 0.3)
        self.retries = min(RETRY_MOST, self.retries + RETRY_SHARE)
        if rule.uncacheable:  # nothing to share: straight through a cache to the origin
            return self.send(txn)
        self.mean_transfer_time += (work - self.mean_transfer_time) * LEARN
        self.mean_importance += (rule.importance - self.mean_importance) * LEARN
        if self.probes and self.pool.caches and now - self.probed_at >= PROBE_GAP:
            self.probed_at, probed = now, self.random.choice(self.pool.caches)
            if not self.pool.in_slow_start(probed, now):  # a probe is work too, and in no budget
                self.host.probe(probed.name)
        flight = self.collapsing.flights.get((obj, part))
        if flight is None:
            self.collapsing.flights[obj, part], txn.leads = Flight(txn, now), True
            return self.send(txn)
        free_at = min(
            flight.since + int(self.first_byte_after + 2 * self.first_byte_spread),
            now + rule.sla + int((rule.sla_stretch - 1.2) * work) - 50 * MS,
            now + OUTER_WAIT,
            txn.limit_at - work,
        )
        if free_at <= now or len(flight.waiters) >= MOST_WAITERS:
            return self.send(txn, known=True, leader=flight.leader)
        flight.waiters[ident], txn.waits = txn, True
        self.at(free_at, self.wait_over, txn)

    def wait_over(self, txn: Txn) -> None:
        if txn.waits and not txn.ended:
            leader = self.collapsing.flights[txn.obj, txn.part].leader
            self.leave_list(txn)
            self.send(txn, known=True, leader=leader)

    def leave_list(self, txn: Txn) -> None:
        if txn.waits:
            self.collapsing.flights[txn.obj, txn.part].waiters.pop(txn.ident)
        txn.waits = False

    def send(self, txn: Txn, known: bool = False, leader: Txn | None = None) -> None:
        """Send the txn on its next hop (`known`: to hit, or to join its leader's fill), or end it at once."""
        now, rule = self.host.now(), txn.rule
        if txn.ended or txn.hops and any(h.in_flight for h in txn.hops):
            return None
        if now >= txn.limit_at or len(txn.hops) >= self.hop_limit:
            return self.give_up(txn, GiveUp.OUT_OF_TIME if now >= txn.limit_at else GiveUp.ATTEMPTS_SPENT)
        mean = max(self.works[txn.rule_at], txn.work)
        worth = rule.importance / self.mean_importance * self.mean_transfer_time / max(txn.work, MS)
        sizes = self.sizes[txn.rule_at]
        if worth < 1 and sizes.lately and sizes.short(txn.work):
            worth = 1.0  # no less than the others'
        filling, fetch = 0.0 if known or rule.uncacheable else self.pool.miss_share, True
        crowd = CROWD_LEAST + min(CROWD_MOST, worth)
        if not txn.sized:
            crowd = min(crowd, self.bearable_crowd(txn, now))
        follow = leader.hops[-1].server if leader is not None and leader.hops else None
        fleet = self.pool
        order = fleet.order(txn.obj, txn.part)
        server = fleet.cache_for(
            order, txn.obj, txn.part, now, mean, crowd, txn.avoid, follow, (lambda s: self.may_send(txn, s, now)) if txn.hops else None
        )
        if server is None:  # nowhere to go, or too crowded for what the txn is worth
            return self.give_up(txn, GiveUp.NO_SERVER)
        if rule.uncacheable:
            source, rank, charged = fleet.origin, 0, 0.0
            if source is None or source.state != "up":
                return self.give_up(txn, GiveUp.NO_SOURCE)
        else:
            home, rank = order[0], KEPT_RANK
            if (
                server is not home
                and fleet.siblings
                and home.state == "up"
                and fleet.is_healthy(home, now)
                and not fleet.in_slow_start(home, now)
                and home.name not in txn.avoid
            ):
                source, filling = home, 0.0  # a spread part comes from its home, not over the way in
            elif filling and fleet.link_crowding(now, filling) > LINK_SHARE * crowd:
                # Guards the way in against more misses than it takes: what would begin a fill is given up.
                source, filling, txn.past_fresh = server, 0.0, True
            else:
                source = fleet.source_for(txn.obj, now, mean, txn.avoid)
            origin = fleet.origin  # where it fails, parents give what they hold and few txns try it
            if origin is not None and origin.fails >= ORIGIN_LIMIT and self.random.random() > max(ORIGIN_TRY, 1 - origin.fails):
                source, fetch, txn.past_fresh = server if source is origin else source, False, True
            charged = mean if source is not None and source.started and fleet.in_slow_start(source, now) else 0.0
        go_by = fleet.span_ends(source, now) if charged else NEVER
        if server.started and fleet.in_slow_start(server, now):
            server.tokens -= mean
            go_by = min(go_by, fleet.span_ends(server, now))
        if txn.hops and rule.kind == "keyed":
            go_by = min(go_by, last_repeat(rule, [h for h in txn.hops if h.ran]))
        hop = Hop(txn.ident, len(txn.hops), server, source, now, txn.work, len(server.in_flight), filling, charged, fetch, counted=filling)
        fleet.fills_change(server, filling)
        server.heard = server.heard if server.in_flight else now  # nothing was owed until now
        txn.hops.append(hop)
        server.in_flight[txn.ident, hop.number] = hop
        if source is not None:
            source.tokens -= charged
            source.sourced_hops[txn.ident, hop.number] = hop
        # A copy past its fresh time earns less: only after a failed fill, or while the way in is full.
        span = rule.fresh + rule.grace if txn.past_fresh and rule.fresh and rule.grace else rule.fresh
        age = self.purges.oldest_copy(now, txn.obj, txn.group, span) or (span if span > rule.fresh else 0)
        join = self.join_fills and not rule.uncacheable and not (hop.number and any(h.alone for h in txn.hops))
        self.host.send_hop(
            txn.ident,
            server.name,
            txn.limit_at,
            source.name if source else None,
            rank,
            age,
            join,
            rule.fresh > 0 and not charged,
            fetch,
            go_by,
        )  # a hit that renews is a fill, too
        hop.due = self.at(now + self.patience(hop, now, len(server.in_flight)), self.hop_due, hop)

    def bearable_crowd(self, txn: Txn, now: int) -> float:
        """The crowd at which a large request of this rule still ends in the time that is left: guards the largest, whose size nobody
        tells, against running out of time on their only hop."""
        large = self.works[txn.rule_at] + LARGE_SPREADS * self.spreads[txn.rule_at]
        return max(1.0, (txn.limit_at - now - self.first_byte_after) / max(large, MS))

    def may_send(self, txn: Txn, server: Server, now: int) -> bool:
        """Guards against an effect that happens twice."""
        return repeat_refusal(txn.rule, [h for h in txn.hops if h.ran], server, now) is None

    def may_reject(self, txn: Txn) -> bool:
        return may_promise_no_effect(txn.rule, [h for h in txn.hops if h.ran])

    def give_up(self, txn: Txn, why: GiveUp) -> None:
        """The final answer, at once."""
        self.give_up_counts[why] = self.give_up_counts.get(why, 0) + 1
        self.sizes[txn.rule_at].ended(txn.work, False)
        if self.may_reject(txn):
            self.host.reject(txn.ident, int(self.max_retry_after * self.random.uniform(0.3, 1.0)))
        else:
            self.host.abort(txn.ident)
        self.finish(txn)

    def finish(self, txn: Txn, completed: bool = False) -> None:
        """The txn has its final answer. Its list moves on."""
        txn.ended = True
        self.leave_list(txn)
        if txn.hops and txn.hops[-1].in_flight:
            self.drop(txn.hops[-1])
        else:
            self.txns.pop(txn.ident, None)
        if not txn.leads:
            return
        txn.leads, flight = False, self.collapsing.flights.pop((txn.obj, txn.part))
        if not completed and flight.waiters:  # the next one leads
            heir = flight.waiters.pop(next(iter(flight.waiters)))
            heir.waits, heir.leads = False, True
            self.collapsing.flights[txn.obj, txn.part] = Flight(heir, self.host.now(), flight.waiters)
            return self.send(heir)
        for waiter in flight.waiters.values():
            waiter.waits = False
            self.send(waiter, known=True, leader=txn)

    def drop(self, hop: Hop) -> None:
        """Stop waiting for a hop, unless that would leave open whether an unrepeatable txn ran."""
        txn = self.txns[hop.txn]
        if self.may_cancel and not hop.dropped and (txn.ended or txn.rule.kind != "unrepeatable"):
            hop.dropped = True
            self.host.cancel(hop.txn, hop.number)

    # What hops tell.

    def hop_ended(
        self, ident: int, number: int, result: str, took: int, final: bool, note: int, waited: int | None, load: dict | None
    ) -> None:
        txn, now = self.txns.get(ident), self.host.now()
        if txn is None or number >= len(txn.hops) or not txn.hops[number].in_flight:
            return
        hop = txn.hops[number]
        hop.in_flight, hop.ran = False, result not in NEVER_RAN
        if self.alarms.pop(hop.due, None) is not None:
            self.host.cancel_alarm(hop.due)
        hop.server.in_flight.pop((ident, number), None)
        self.pool.fills_change(hop.server, -hop.counted)
        if hop.source is not None:
            hop.source.sourced_hops.pop((ident, number), None)
        self.learn(txn, hop, result, took, note, waited, now)
        self.pool.told(hop.server, load, now)
        if txn.ended:
            self.txns.pop(ident, None)
        elif final:
            if result == "completed" and self.sizes[txn.rule_at].lately:
                self.sizes[txn.rule_at].ended(txn.work, True)
            self.finish(txn, result == "completed")
        elif (
            now >= txn.limit_at - 2 * MS
            or result == "timed_out"
            or txn.hopeless
            or (self.retries < 1 and result not in LOST)
            or sum(h.erred for h in txn.hops) >= ERRORS_MOST
        ):
            self.give_up(txn, GiveUp.NOT_RETRIED)
        else:
            self.retries -= result not in LOST  # guards against hops that multiply an overload
            self.send(txn)

    def learn(self, txn: Txn, hop: Hop, result: str, took: int, note: int, waited, now: int) -> None:
        """Whom a result speaks for or against: the cache, the source, or neither."""
        server, source = hop.server, hop.source
        if result in ("completed", "error", "full", "missing"):
            server.heard = now
        self.notes |= note > 0  # told here, so an error without one is not the source's
        if source is not None and note in (*FILLS, SOURCE_REFUSED, ORIGIN_FAILED):
            source.heard, source.missed = now, source.missed // 2
            for peer in self.pool.peers(source) if len(self.pool.parents) > 1 else ():
                peer.missed += bool(peer.sourced_hops)
        elif source is not None and note in (HIT, JOINED, PAST_FRESH):
            if (hop.sent - source.started) // self.pool.budget_window == source.tokens_for:  # else it is over
                source.tokens += hop.charged  # the source was not asked
        hung = result == "timed_out" and hop.filling > 0 and self.pool.usual_crowd(now) < SPILL
        if self.pool.origin is not None and (hung or note in (FILLED_BY_ORIGIN, ORIGIN_FAILED)):
            bad = note != FILLED_BY_ORIGIN or self.pool.origin_late(waited or 0)
            self.pool.origin.fails += (bad - self.pool.origin.fails) * ORIGIN_STEP
        txn.hopeless |= result == "missing" and (source is server or not hop.fetch)
        if result == "completed":
            for h in [h for h in txn.hops if h.erred] if len(txn.hops) > 1 else ():
                self.pool.judge(h.server, 1.0, now)
                if h.source is not None and not (self.notes or txn.rule.uncacheable):  # peers tell them apart
                    self.pool.judge(h.source, 1.0, now)
            self.pool.carried(server, hop.work, now)
            self.pool.judge(server, 0.0, now)
            beside = (hop.beside + len(server.in_flight)) / 2 + 1
            was = self.pool.recent_utilization(server, now)
            if (
                txn.sized
                and hop.work > 50 * MS
                and (note == HIT or note in FILLS and was > BUSY and self.pool.link_crowding(now, 0) < LINK_SHARE)
            ):
                slow = (took - (20 * MS if note == HIT else 2 * DUE_WAIT)) / hop.work
                self.pool.saw(server, max(0.0, was + (max(slow, min(was, 1.0)) - was) * PACE_STEP), now)
                self.pool.transferred(server, hop.work, took, beside)
            elif not txn.sized and (note == HIT or self.without_notes and self.learns_noteless()):
                alone = max(0, took - 20 * MS) * min(1.0, server.capacity / beside)  # less what others took of it
                off = alone - self.works[txn.rule_at]
                self.works[txn.rule_at] += off * LEARN
                self.spreads[txn.rule_at] += (abs(off) - self.spreads[txn.rule_at]) * LEARN
            if hop.filling and note:
                self.pool.miss_share += ((note in FILLS) - self.pool.miss_share) * LEARN
            if note in FILLS and source is not None:
                self.pool.carried(source, txn.work, now)
                self.pool.judge(source, 0.0, now)
                wait = waited if waited is not None else max(0, took - txn.work)
                self.pool.fill_wait += ((waited or 0) / max(took, 1) - self.pool.fill_wait) * LEARN
                off = min(wait - self.first_byte_after, 5 * self.first_byte_after)
                self.first_byte_after += off * LEARN
                self.first_byte_spread += (abs(off) - self.first_byte_spread) * LEARN
        elif note in (SOURCE_REFUSED, SOURCE_LOST, SOURCE_LACKS, ORIGIN_FAILED):
            txn.past_fresh = True
            txn.avoid |= {source.name} if source is not None else set()
            if source is not None and note in (SOURCE_REFUSED, SOURCE_LOST):
                self.pool.judge(source, 1.0, now, note == SOURCE_LOST)
        elif result == "error":  # a txn that nobody can serve speaks against nobody
            txn.avoid.add(server.name)
            hop.erred = True
        elif result in ("unreachable", "broken"):
            txn.avoid |= {server.name} if result == "unreachable" else set()
            if result == "unreachable" or hop.sent > server.broke:  # all hops on a connection break at once
                server.broke = now
                self.pool.judge(server, 1.0, now, result == "unreachable")
        elif result in ("full", "missing", "cancelled") and not hop.alone:
            txn.avoid.add((source if result == "missing" and source in self.pool.caches else server).name)

    def learns_noteless(self) -> bool:  # where answers carry no notes, any completed one stands in for a hit
        self.shape_differences["noteless"] += 1
        return not self.watch_only

    def patience(self, hop: Hop, now: int, out: int) -> int:
        """How long a server or source may stay silent with this hop out, the more the more it has to do.
        Where a router sees little, the longer the fewer are `out`: a late one may wait for its source."""
        txn = self.txns.get(hop.txn)  # unsized: one of many sizes; TAIL spreads more for the large ones
        tail = TAIL * self.spreads[txn.rule_at] if txn is not None and not txn.sized else 0.0
        times = max(QUIET_TIMES, QUIET_FEW / max(out, 2)) if self.pool.share < OBJECT_HOMES else QUIET_TIMES
        due = times * (self.pool.hit_time(hop, now) + self.first_byte_after)
        return int((QUIET_LEAST + QUIET_TIMES * tail + due) * (ALONE if out < 2 else 1.0))

    def hop_due(self, hop: Hop) -> None:
        """Guards against caches that answer nothing, and sources that send nothing while others do."""
        now, server, source = self.host.now(), hop.server, hop.source
        if not hop.in_flight or hop.dropped:
            return
        if now - max(server.heard, hop.sent) >= self.patience(hop, now, len(server.in_flight)):
            if self.pool.share < OBJECT_HOMES and (hop.filling or self.txns[hop.txn].rule.uncacheable):
                # Else only fills that come in time are learned from: a slow source is never known as slow.
                late = max(0, now - hop.sent - hop.work - self.first_byte_after)
                self.first_byte_after += late * LATE_LEARN
            if now >= server.ejected_until:
                self.pool.eject(server, now, "silent")
            for other in list(server.in_flight.values()):
                if now - other.sent > QUIET_LEAST:
                    self.drop(other)
            return
        if source in self.pool.parents:
            if (
                source.missed >= MISSED_FILLS
                and not source.ejected_until
                and LATE_FILLS
                <= sum(
                    now - max(h.sent, source.heard) >= self.patience(h, now, len(source.sourced_hops)) for h in source.sourced_hops.values()
                )
            ):
                self.pool.eject(source, now, "its fills do not come")
            if source.ejected_until:
                hop.alone = True
                self.txns[hop.txn].avoid.add(source.name)
                return self.drop(hop)
        hop.due = self.at(now + QUIET_LEAST, self.hop_due, hop)

    def first_byte_arrived(self, ident: int, number: int) -> None:
        txn = self.txns.get(ident)
        if txn is not None and txn.leads:
            for waiter in list(self.collapsing.flights[txn.obj, txn.part].waiters.values()):
                self.wait_over(waiter)

    def txn_withdrawn(self, ident: int) -> None:
        if ident in self.txns and not self.txns[ident].ended:
            self.finish(self.txns[ident])

    def end_now(self, ident: int, why: GiveUp = GiveUp.PROGRAM_ENDS) -> None:
        """The program ends, or has failed over this txn: it gets its answer now."""
        txn = self.txns.get(ident)
        if txn is not None and not txn.ended:
            self.give_up(txn, why)

    def purged(self, obj: str | None, group: int, age: int) -> None:
        self.purges.add(self.host.now(), obj, group, age)

    def probe_ended(self, server: str, result: str, took: int, load: dict | None) -> None:
        self.pool.told(self.pool.servers.get(server), load, self.host.now())

    def at(self, when: int, what, *about) -> int:
        self.last_label = label = self.last_label + 1
        self.alarms[label] = (what, about)
        self.host.set_alarm(label, when)
        return label

    def alarm_fired(self, label: int) -> None:
        what, about = self.alarms.pop(label, (lambda: None, ()))
        what(*about)
