"""All routing decisions of fieldspur: which cache serves a txn, what fills a miss, which txns wait, and which txns are given up.

The program builds one Router for each instance and calls one method for each event. Events of the server list go to its
ServerPool. The Router acts at once, by calling its host (fieldspur/host.py). docs/design.md explains the reasons.
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
from .permissions import GiveUp, may_promise_no_effect, repeat_deadline, repeat_refusal
from .record import default_factory, record

try:
    from _blake2 import blake2b  # importing `hashlib` would load more modules than a start needs
except ImportError:
    from hashlib import blake2b

# Durations and times are whole nanoseconds.
MS = 1_000_000
SECOND = 1_000_000_000
NEVER = 1 << 62

FILL_NOTES = (FILLED, FILLED_BY_ORIGIN)
CONNECTION_FAILURES = ("broken", "unsent", "unreachable")  # results of hops that failed with their connection

# Waiting behind a leader.
MAX_WAIT = 3 * SECOND  # no longer than the lock of a fill at its source lasts
MAX_WAITERS = 64  # number of txns that may wait for one part of an object

# Placement.
CACHEABLE_RANK = 2  # a cache keeps what it filled at a rank above the lowest, 0
MAX_RANKINGS = 4096  # number of rendezvous rankings that are stored
MIN_SHARE_FOR_OBJECT_HOMES = 0.25  # a router with a smaller share of its zone gives each part of an object its own home
SPILL_UTILIZATION = 2.0  # utilization at which a home cache hands parts to other caches
SPILL_UTILIZATION_FROM_HOME = 1.3  # like SPILL_UTILIZATION, but where the other caches fill from the home cache
SPILL_MAX_RATIO = 0.6  # a part moves only to a cache with at most this share of the home's utilization
STALE_UTILIZATION_FACTOR = 1.15  # raises an observed utilization, which is seen with a delay

# Slow start.
SLOW_START_BUDGET_SHARE = 0.45  # share of the budget of a server in slow start that all routers together use in a window
MIN_SLOW_START_RATE = 0.03  # transfers a second that a server in slow start may take where nothing tells its size

# Admission.
MIN_ADMITTED_UTILIZATION = 1.25  # utilization up to which any txn is admitted
MAX_WORTH_UTILIZATION = 2.1  # the most that the worth of a txn adds to MIN_ADMITTED_UTILIZATION
LARGE_TXN_DEVIATIONS = 2.0  # the largest tenth of txns begins at about this many mean deviations above the mean
MIN_ANSWERED_RATIO = 0.8  # least answered share of the largest txns of a rule, as a multiple of the share of all its txns
SIZE_BAND_STEP = 0.1  # weight of one sample in the answered share of the largest txns

# Load of servers and of the link into the zone.
INITIAL_CAPACITY = 4.0  # transfers at full pace that a server is assumed to take
CAPACITY_STEP = 0.1  # weight of one hit in the learned capacity
MAX_CONNECTIONS_WHILE_BREAKING = 4  # to one server, for a while after a connection broke
LATE_HOP_FILL_PROBABILITY = 0.8  # a hop that takes longer than a hit is probably being filled
USUAL_FILL_WAIT = 100 * MS  # time that a fill usually waits for its source
RECOUNT_INTERVAL = MS // 4  # time between two counts of a server's fills, for each of its hops in flight
MAX_LINK_UTILIZATION_RATIO = 0.7  # highest link utilization for a fill, as a multiple of the highest cache utilization for its txn
INITIAL_LINK_SHARE = 0.5  # link capacity as a share of the capacity of the zone's servers, where the settings do not state it
UTILIZATION_DECAY = 4 * SECOND  # time constant with which observed utilization is forgotten
LINK_REPORT_LIFETIME = 1500 * MS  # how long a load report of the link is used
BUSY_UTILIZATION = 0.85  # a cache that reports at least this busy share is judged by its hops in flight or by the pace of its hits
MEAN_UTILIZATION_STEP = 0.15  # weight of one cache's utilization in the mean of all caches
UTILIZATION_STEP = 0.4  # weight of one observation, such as the pace of a hit, in the utilization of its cache
FILL_PACE = 2.5  # a fill arrives this many times as fast as a client takes an answer
PROBE_INTERVAL = 400 * MS  # time between two probes of caches

# Ejection of failing servers.
ERROR_STEP = 0.1  # weight of one result in the error rate
CONCLUSIVE_ERROR_STEP = 0.6  # weight of a result that proves that the server is down
EJECT_ERROR_RATE = 0.5  # error rate above which a server is ejected
EJECT_PEER_MULTIPLE = 2.0  # a server is ejected only if its error rate exceeds this multiple of its peers' median
FIRST_EJECTION = 1 * SECOND  # doubles with each further ejection
MAX_EJECTION = 8 * SECOND

# Silence of servers and sources.
MIN_SILENCE = 300 * MS  # a server may always stay silent for this time
SILENCE_MULTIPLE = 1.5  # a server may stay silent for this multiple of the expected time
FEW_HOPS_SILENCE_MULTIPLE = 12.0  # the same multiple for a router that sees little traffic, divided by the hops in flight
ONLY_HOP_MULTIPLE = 2.0  # a server with a single hop in flight may stay silent for this multiple of the usual limit
UNSIZED_DEVIATIONS = 6.0  # mean deviations of the transfer time that are allowed where sizes are unknown
LATE_FILL_STEP = 0.2  # weight of a late fill in the mean wait for a first byte
MIN_LATE_FILLS = 2  # a source is ejected for silence only if at least this many of its fills are late
MIN_MISSED_FILLS = 5  # and only if at least this many fills came from its peers meanwhile

# The origin.
ORIGIN_ERROR_STEP = 0.2  # weight of one result in the origin's error rate
ORIGIN_FAILING_RATE = 0.35  # error rate from which the origin counts as failing
MIN_ORIGIN_TRY_SHARE = 0.2  # least share of fills that may ask a failing origin
SLOW_ORIGIN_MULTIPLE = 3.0  # a wait for the origin above this multiple of the usual wait counts as slow

# Retries.
RETRIES_PER_TXN = 0.3  # each arriving txn adds this to the saved retries
MAX_SAVED_RETRIES = 20.0  # a router saves up no more than this
MAX_ERRORS_PER_TXN = 3  # a txn is given up after this many errors

# Learned averages.
INITIAL_TRANSFER_TIME = 400 * MS
INITIAL_FIRST_BYTE_WAIT = 80 * MS
LEARNING_STEP = 0.05  # weight of one sample in a learned average

MAX_PURGES = 50_000  # further purges are not stored one by one


@record(eq=False)
class Server:
    """State of one cache, one parent or the origin, as this router knows it."""

    name: str
    name_hash: object  # keyed hash of the name; copies of it hash object keys
    state: str = "gone"
    started: int = 0  # when its process started; 0: it ran before the list was first read, and is warmed up
    zone: int = 0
    rating: float = 1.0  # how many transfers it takes at full pace; used only where the settings call ratings nominal
    kind: int = 0  # number of its kind in the settings; the numbers of parents and of the origin are known, all others are caches
    cell: int = 0  # number of its cell: where a rule says so, only servers of one cell recognize each other's repeats
    in_flight: dict = default_factory(dict)  # hops to this server, oldest first
    sourced_hops: dict = default_factory(dict)  # hops to other servers that name this one as their source
    fill_estimate: tuple = (0.0, 0)  # how many hops in flight are being filled, and when that was last recounted
    capacity: float = INITIAL_CAPACITY  # how many of this router's transfers run at full pace
    transfer_rate: tuple = (0.0, 0)  # transfer time a second that was recently served to this router, as of a time
    connection_broke_at: int = 0  # when a connection to the server last broke while it carried hops
    last_answer_at: int = 0  # when it last answered anything, or when a fill last came from it
    missed_fills: int = 0  # fills that came from its peers while hops waited for its own; each fill of its own halves the count
    error_rate: float = 0.0
    ejected_until: int = 0  # 0: in service; in the past: one hop at a time until a result clears the server
    ejections: int = 0
    utilization: tuple = (0.0, 0)  # transfers of all routers over the capacity, as reported or observed, as of a time
    tokens: float = 0.0  # rest of this router's part of the slow start budget
    token_window: int = -1  # number of the budget window, counted from the server's start, that `tokens` belongs to


@record(eq=False)
class Hop:
    """One attempt of a txn at a server."""

    txn_ident: int  # not the Txn itself: a reference cycle would cause long pauses of the garbage collector
    number: int
    server: Server
    source: Server | None
    sent: int  # when it was sent
    transfer_time: int
    others_in_flight: int  # hops in flight at the server when this one was sent
    fill_probability: float
    source_charge: float  # transfer time taken from the slow start budget of the source
    fetch: bool  # whether the source may ask the origin
    in_flight: bool = True
    may_have_run: bool = True
    cancelled: bool = False  # by this router
    returned_error: bool = False  # counts against its server and source if another hop completes the txn
    fill_may_hang: bool = False  # the next hop does not join this hop's fill
    counted_fill: float = 0.0  # what the server's `fill_estimate` contains for this hop
    alarm_label: int = 0  # of the alarm that checks for silence


@record(eq=False)
class Txn:
    """A client's request until its final answer is given and its last hop has ended."""

    ident: int
    rule: RemapRule
    rule_index: int
    obj: str
    part: int  # number of the part of the object that the client wants
    group: int  # number of the purge group of the object
    transfer_time: int
    size_known: bool
    deadline: int
    hops: list = default_factory(list)
    is_leader: bool = False
    is_waiting: bool = False
    ended: bool = False
    unfillable: bool = False  # it needs a fill that is not allowed
    stale_copy_ok: bool = False  # a copy within its grace time will do
    failed_servers: set = default_factory(set)  # names of caches and sources that failed this txn


BY_NAME = attrgetter("name")
RANKING_INPUTS = attrgetter("name", "rating", "kind", "zone")  # attributes that the ranking of servers depends on


def median(values: list[float]) -> float:
    values = sorted(values)
    return (values[(len(values) - 1) // 2] + values[len(values) // 2]) / 2


class Purges:
    """Times of the purges that are still in force, by object and by group, in the order in which they were reported; the oldest reports
    are dropped first. A purge is in force for twice `lifetime` (ns). Beyond MAX_PURGES the oldest purges apply to all objects, so
    that copies are refreshed too often rather than too seldom."""

    def __init__(self, lifetime: int):
        self.lifetime = lifetime
        self.purged_at: OrderedDict[tuple, int] = OrderedDict()  # by object or group
        self.all_purged_at = 0  # time of the latest purge that applies to all objects

    def add(self, now: int, obj, group: int, age: int) -> None:
        """Store a purge that was issued `age` ns ago. Amortized constant time: each purge is dropped once."""
        key = (obj, 0) if obj is not None else (None, group)
        self.purged_at[key] = max(now - age, self.purged_at.pop(key, 0))
        while self.purged_at:
            oldest = next(iter(self.purged_at))
            in_force = now - self.purged_at[oldest] <= 2 * self.lifetime
            if in_force and len(self.purged_at) <= MAX_PURGES:
                return
            purged_at = self.purged_at.pop(oldest)
            if in_force:
                self.all_purged_at = max(self.all_purged_at, purged_at)

    def max_copy_age(self, now: int, obj, group: int, fresh_time: int) -> int:
        """Maximum age of a usable copy. Never 0 where a purge is in force, because 0 leaves the age to the rule."""
        if not (self.purged_at or self.all_purged_at):
            return 0
        purged_at = max(self.purged_at.get((obj, 0), 0), self.purged_at.get((None, group), 0), self.all_purged_at)
        return min(max(1000, now - purged_at), fresh_time or now) if purged_at and now - purged_at <= 2 * self.lifetime else 0


@record(eq=False)
class SizeBands:
    """Answered shares of one rule's txns: of the largest tenth, of the next fifth, and of all."""

    largest_tenth_from: float = 0.0  # transfer time at which the largest tenth begins
    largest_third_from: float = 0.0  # transfer time at which the largest three tenths begin
    answered_shares: list = default_factory(lambda: [1.0, 1.0, 1.0])  # of the largest tenth, of the next fifth, of all
    gave_up_recently: bool = False  # while it is set, completed txns are counted too

    def band(self, transfer_time: int) -> int:
        return 0 if transfer_time >= self.largest_tenth_from else 1 if transfer_time >= self.largest_third_from else 2

    def count_end(self, transfer_time: int, completed: bool) -> None:
        band = self.band(transfer_time)
        if band < 2:
            self.answered_shares[band] += (completed - self.answered_shares[band]) * SIZE_BAND_STEP
        self.answered_shares[2] += (completed - self.answered_shares[2]) * LEARNING_STEP
        self.gave_up_recently = min(self.answered_shares) < 0.99

    def is_underserved(self, transfer_time: int) -> bool:
        """Whether txns of this size are answered too seldom. Guards the largest txns against being the only ones that are given up
        under overload."""
        return self.answered_shares[self.band(transfer_time)] < MIN_ANSWERED_RATIO * self.answered_shares[2]


@record()
class Flight:
    """One fill (single flight): the txn that leads it and the txns that wait for its first byte."""

    leader: Txn
    started_at: int
    waiters: dict = default_factory(dict)


class Collapsing:
    """Flights by object and part."""

    def __init__(self):
        self.flights: dict[tuple, Flight] = {}


class ServerPool:
    """The listed servers: their states, health, loads and slow start budgets."""

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
        """`cache_share` and `parent_share`: this router's share of the traffic to a cache and to a parent. The `_slow_start` tuples: the
        share of its capacity that a server starts with, how long it ramps up (ns), and the overload multiple that it tolerates.
        `link_capacity`: fills at full pace that the link into the zone takes, 0 where it is unknown. `siblings`: whether a cache may fill
        from another cache, the home of the object."""
        self.zone, self.parent_kind, self.origin_kind = zone, parent_kind, origin_kind
        self.rating_trust = 1.0 if rating_quality == "nominal" else 0.0
        self.slow_start = {False: (cache_share, *cache_slow_start), True: (parent_share, *parent_slow_start)}
        self.budget_window, self.siblings = budget_window, siblings
        self.process_started = 0  # start of this process; set by the Router
        self.cache_share, self.random, self.log = cache_share, random.Random(0), print  # the Router replaces `random` and `log`
        self.own_link_capacity = link_capacity * cache_share  # fills at full pace in this router's share of the link into the zone
        # Utilization of the link as reported, and the mean utilization of the zone's caches, each with its time.
        self.link_report, self.link_report_at, self.mean_utilization, self.mean_utilization_at = 0.0, 0, 0.0, 0
        self.rankings: dict[tuple, list[Server]] = {}  # rendezvous rankings of the present servers
        self.ranking_inputs: list[tuple] = []  # what `rankings` depends on
        # Share of leaders that miss, share of a fill's time spent waiting, usual wait for the origin.
        self.miss_share, self.fill_wait_share, self.usual_origin_wait = 0.5, 0.0, 0.0
        self.servers: dict[str, Server] = {}
        self.zone_fills, self.zone_fills_at = 0.0, 0  # estimated fills of all caches, and when that was last recounted
        self.caches, self.parents, self.origin, self.listed_names = [], [], None, None  # of the latest server list

    def list_begins(self, complete: bool) -> None:
        """A server list begins. A complete list removes the servers that it does not name."""
        self.listed_names = set() if complete else None

    def server_listed(self, name, state, started, zone, rating, kind, cell) -> None:
        server = self.servers.get(name)
        if server is None:
            name_hash = blake2b(key=name.encode()[:64], digest_size=8)
            server = self.servers[name] = Server(name, name_hash, capacity=INITIAL_CAPACITY * self.cache_share)
        if started != server.started:  # a new process begins with an empty cache, in slow start, and without a failure record
            server.error_rate, server.ejected_until, server.ejections, server.token_window, server.utilization = 0.0, 0, 0, -1, (0.0, 0)
        if self.rating_trust and (rating != server.rating or started != server.started or server.state == "gone"):
            server.capacity = rating * self.cache_share
        server.state, server.started, server.zone, server.rating, server.kind, server.cell = state, started, zone, rating, kind, cell
        if self.listed_names is not None:
            self.listed_names.add(name)

    def list_ends(self) -> None:
        if self.listed_names is not None:
            for server in self.servers.values():
                if server.name not in self.listed_names:
                    server.state = "gone"  # a server missing from a complete list has been removed
        if not self.own_link_capacity:  # the settings do not state it: assume a value
            self.own_link_capacity = INITIAL_LINK_SHARE * sum(
                server.capacity for server in self.servers.values() if server.zone == self.zone
            )
        present_servers = sorted([server for server in self.servers.values() if server.state != "gone"], key=BY_NAME)
        if len(present_servers) < len(self.servers):
            self.servers = {
                name: server for name, server in self.servers.items() if server.state != "gone" or server.in_flight or server.sourced_hops
            }
        ranking_inputs = list(map(RANKING_INPUTS, present_servers))
        if ranking_inputs == self.ranking_inputs:  # changed states and restarts do not change the rankings
            return
        self.ranking_inputs = ranking_inputs
        self.rankings.clear()
        self.parents = [server for server in present_servers if server.kind == self.parent_kind]
        self.origin = next((server for server in present_servers if server.kind == self.origin_kind), None)
        self.caches = [
            server
            for server in present_servers
            if server.zone == self.zone and server.kind != self.parent_kind and server is not self.origin
        ]

    def rank_servers(self, servers: list[Server], key: str) -> list[Server]:
        """Weighted rendezvous hashing of caches or parents. All routers get the same ranking, because health does not affect it."""

        def score(server: Server) -> float:
            digest = server.name_hash.copy()
            digest.update(key_bytes)
            weight = max(server.rating, 0.01) if self.rating_trust else 1.0
            return math.log((int.from_bytes(digest.digest(), "big") + 1) / 2.0**64) / weight

        if len(servers) < 2:
            return servers
        ranking_key = (key, servers is self.parents)
        ranking = self.rankings.get(ranking_key)
        if ranking is None:
            if len(self.rankings) >= MAX_RANKINGS:
                self.rankings.clear()  # evicting one by one costs more than ranking again
            key_bytes = key.encode()
            ranking = self.rankings[ranking_key] = sorted(servers, key=score, reverse=True)
        return ranking

    def rank_caches(self, obj, part) -> list[Server]:
        """The home cache of a part of an object, and the caches after it. All parts of an object share one home. Only where a router sees
        too little of an object's traffic, each part has its own home."""
        return self.rank_servers(self.caches, obj if self.cache_share >= MIN_SHARE_FOR_OBJECT_HOMES else f"{obj}#{part}")

    def count_transfer(self, server: Server, transfer_time: float, now: int) -> None:
        """Add a transfer that the server has completed to its transfer rate."""
        server.transfer_rate = (self.transfer_rate(server, now) + transfer_time / (5 * SECOND), now)

    def transfer_rate(self, server: Server, now: int) -> float:
        """Transfer time a second that the server recently served to this router, decayed to now."""
        return server.transfer_rate[0] * math.exp((server.transfer_rate[1] - now) / (5 * SECOND))

    def in_slow_start(self, server: Server, now: int) -> bool:
        return bool(server.started) and now - server.started < self.slow_start[server.kind == self.parent_kind][2]

    def budget_deadline(self, server: Server, now: int) -> int:
        """When a hop to a server in slow start has to be sent at the latest: in the budget window that it is charged to, or in the first
        half of the next window if its connection comes up late. Without that half window many hops would miss the deadline and be
        charged again where connecting is slow."""
        windows = max(0, now - server.started) // self.budget_window + 1.5
        return server.started + int(windows * self.budget_window)

    def has_budget(self, server: Server, now: int, charge: float) -> bool:
        """Whether a server in slow start may take a further `charge` of transfer time in this budget window. Each router has a part of the
        budget of all routers. A part smaller than one txn is rounded at random, so that many routers together meet the budget. A
        window that began before this process is not spent again, because the previous process may have spent it."""
        if not self.in_slow_start(server, now) or server.kind == self.origin_kind:
            return True
        share, start_share, ramp_time, overload_multiple = self.slow_start[server.kind == self.parent_kind]
        window = max(0, now - server.started) // self.budget_window
        if server.token_window != window:
            own_rate = server.rating * self.rating_trust * share
            if not own_rate:  # sizes are unknown: take the mean of what the warmed-up peers recently served to this router
                rates = [self.transfer_rate(peer, now) for peer in self.peers(server) if not self.in_slow_start(peer, now)]
                own_rate = max(MIN_SLOW_START_RATE, sum(rates) / len(rates) if rates else 0.0)
            allowed_rate = (
                own_rate
                * (start_share + (1 - start_share) * window * self.budget_window / ramp_time)
                * min(overload_multiple * SLOW_START_BUDGET_SHARE, 1.0)
            )
            whole_txns, fraction = divmod(allowed_rate * self.budget_window / charge, 1.0)
            server.tokens, server.token_window = charge * (whole_txns + (self.random.random() < fraction)), window
            if server.started + window * self.budget_window < self.process_started:
                server.tokens = 0.0
        return server.tokens >= charge

    # Health.

    def peers(self, server: Server) -> list[Server]:
        """The other parents of a parent; the other caches of a cache."""
        return [peer for peer in (self.parents if server in self.parents else self.caches) if peer is not server]

    def is_healthy(self, server: Server, now: int) -> bool:
        """Whether the server is not ejected, or its ejection is over and no hop is testing it."""
        return not server.ejected_until or (now >= server.ejected_until and not server.in_flight and not server.sourced_hops)

    def eject(self, server: Server, now: int, why: str) -> None:
        server.error_rate = max(server.error_rate, 0.6 * EJECT_ERROR_RATE)  # so that one answer ends an ejection for silence
        duration = min(MAX_EJECTION, FIRST_EJECTION << min(server.ejections, 6))
        server.ejected_until, server.ejections = now + duration, server.ejections + 1
        self.log(f"ejected {server.name} for {duration // MS} ms: {why}")

    def count_result(self, server: Server, failed: float, now: int, conclusive: bool = False) -> None:
        """Update the error rate with one result, from 0 (good) to 1 (failed). Only an outlier among its peers is ejected."""
        server.error_rate += (failed - server.error_rate) * (
            CONCLUSIVE_ERROR_STEP if conclusive else ERROR_STEP * (2 if server.ejected_until else 1)
        )
        if not (failed or server.ejected_until):
            return
        eject_above = max(EJECT_ERROR_RATE, EJECT_PEER_MULTIPLE * median([peer.error_rate for peer in self.peers(server)] or [1.0]))
        if failed and server.error_rate > eject_above and now >= server.ejected_until:
            self.eject(server, now, "failures")
        elif not failed and server.ejected_until:  # a server as good as its peers returns to service
            server.ejected_until = 0 if server.error_rate < eject_above / 2 else now

    def learn_capacity(self, server: Server, transfer_time: int, duration: int, in_flight: float) -> None:
        """Learn from a hit how many transfers a server takes: the number in flight times the share of full pace that each one had."""
        pace = transfer_time / max(transfer_time, duration - 20 * MS)
        if self.cache_share >= MIN_SHARE_FOR_OBJECT_HOMES and (in_flight >= 1.5 if pace < 0.85 else in_flight > server.capacity):
            server.capacity = max(0.5, server.capacity + (in_flight * pace - server.capacity) * CAPACITY_STEP)

    def is_origin_slow(self, wait: int) -> bool:
        """Whether a fill waited for the origin far longer than usual; other waits update the usual one. Guards the origin against the
        overload that all routers cause together: like a failing origin, a slow one may be asked by only few txns."""
        usual_wait = self.usual_origin_wait or wait
        if wait <= SLOW_ORIGIN_MULTIPLE * usual_wait:
            self.usual_origin_wait = usual_wait + (wait - usual_wait) * LEARNING_STEP
        return wait > SLOW_ORIGIN_MULTIPLE * usual_wait

    def estimate_fills(self, server: Server, now: int) -> float:
        """How many hops in flight are being filled. The more hops are in flight, the less often they are recounted."""
        if now - server.fill_estimate[1] >= RECOUNT_INTERVAL * len(server.in_flight):
            for hop in server.in_flight.values():
                is_late = hop.fill_probability and now - hop.sent > 1.2 * self.expected_hit_time(hop, now)
                hop.counted_fill = LATE_HOP_FILL_PROBABILITY if is_late else hop.fill_probability
            server.fill_estimate = (sum(hop.counted_fill for hop in server.in_flight.values()) if server.in_flight else 0.0, now)
        return server.fill_estimate[0]

    def add_fills(self, server: Server, fills: float) -> None:
        """Add fills to the estimates of a server and of the zone; a negative number subtracts them."""
        server.fill_estimate = (server.fill_estimate[0] + fills, server.fill_estimate[1])
        self.zone_fills += fills

    def expected_hit_time(self, hop: Hop, now: int) -> float:
        """How long the hop takes if it hits, given the load of its server."""
        return hop.transfer_time * max(1.0, hop.others_in_flight / max(1.0, hop.server.capacity), self.recent_utilization(hop.server, now))

    def total_utilization(self, own_transfers: float, capacity: float) -> float:
        """Utilization by all routers, estimated from this router's own transfers, less the excess that chance may have caused."""
        chance_excess = (
            (1 - self.cache_share) * math.sqrt(max(own_transfers, 0.0)) if self.cache_share < MIN_SHARE_FOR_OBJECT_HOMES else 0.0
        )
        return (own_transfers - chance_excess) / max(capacity, self.cache_share)

    def recent_utilization(self, server: Server, now: int) -> float:
        """Utilization of a cache as last observed. The older the observation, the more the mean of the zone's caches replaces it."""
        zone_mean = self.mean_utilization and self.mean_utilization * math.exp((self.mean_utilization_at - now) / UTILIZATION_DECAY)
        if not server.utilization[0] and not zone_mean:
            return 0.0
        return zone_mean + (server.utilization[0] - zone_mean) * math.exp((server.utilization[1] - now) / UTILIZATION_DECAY)

    def recent_mean_utilization(self, now: int) -> float:
        """Mean utilization of the zone's caches, decayed to now."""
        return self.mean_utilization * math.exp((self.mean_utilization_at - now) / UTILIZATION_DECAY)

    def record_utilization(self, server: Server, utilization: float, now: int) -> None:
        """Store the utilization of a cache, and update the mean of the zone's caches with it."""
        self.mean_utilization = (
            self.recent_mean_utilization(now) + (utilization - self.recent_mean_utilization(now)) * MEAN_UTILIZATION_STEP
        )
        server.utilization, self.mean_utilization_at = (utilization, now), now

    def load_reported(self, server: Server, load: dict | None, now: int) -> None:
        """A load report of a cache: how busy it is, and how full the link into its zone is."""
        if load is None or server not in self.caches:
            return
        if "fetching" in load:
            self.link_report, self.link_report_at = load["fetching"] / FILL_PACE, now
        utilization, previous = load.get("util", 0.0), self.recent_utilization(server, now)
        if utilization >= BUSY_UTILIZATION:  # from here on its hops in flight tell the load, or the pace of hits
            utilization = load["inflight"] / server.rating if self.rating_trust and "inflight" in load else max(1.0, previous)
        self.record_utilization(server, previous + (utilization - previous) * UTILIZATION_STEP, now)

    def link_utilization(self, now: int, further_fills: float) -> float:
        """Utilization of the link into the zone, with `further_fills` on top."""
        reported_utilization = self.link_report if self.link_report_at and now - self.link_report_at < LINK_REPORT_LIFETIME else 0.0
        if now - self.zone_fills_at >= RECOUNT_INTERVAL:  # between recounts, hops that begin and end update the number
            self.zone_fills, self.zone_fills_at = sum([self.estimate_fills(server, now) for server in self.caches if server.in_flight]), now
        return max(reported_utilization, self.total_utilization(self.zone_fills + further_fills, self.own_link_capacity))

    def choose_cache(self, ranking, obj, part, now, charge, max_utilization, avoided, preferred, allowed) -> Server | None:
        """The home cache, which is the first of `ranking`, or a later cache where health, budgets or utilization rule the home out. None
        where no cache may be used or all exceed `max_utilization`. `avoided`: names of servers to use only if there is no other.
        `preferred`: the cache that the txn's leader went to. `allowed`: says whether the txn may go to a server; None: to any."""
        if ranking and preferred is None and allowed is None and not avoided:
            home = ranking[0]  # fast path with the same outcome as below: the home is healthy and has capacity
            if home.state == "up" and not home.ejected_until and not self.in_slow_start(home, now):
                # An upper limit: fills that wait for their source would count for less.
                own_utilization = self.total_utilization(len(home.in_flight) + 1, home.capacity)
                if max(own_utilization, STALE_UTILIZATION_FACTOR * self.recent_utilization(home, now)) <= min(
                    max_utilization, SPILL_UTILIZATION_FROM_HOME
                ):
                    return home
        link_load = self.link_utilization(now, 0)
        usable_servers = [
            server
            for server in ranking
            if server.state == "up" and (allowed is None or allowed(server)) and self.has_budget(server, now, charge)
        ]
        candidates = (
            [server for server in usable_servers if server.name not in avoided and self.is_healthy(server, now)]
            or [server for server in usable_servers if server.name not in avoided]
            or usable_servers
        )
        if not candidates:
            return None

        def utilization(server: Server) -> float:
            # The estimated number of fills that wait for their source: they transfer nothing now.
            waiting_fills = self.estimate_fills(server, now) * max(1 - 1 / max(1.0, link_load), self.fill_wait_share)
            return max(
                self.total_utilization(len(server.in_flight) + 1 - waiting_fills, server.capacity),
                STALE_UTILIZATION_FACTOR * self.recent_utilization(server, now),
            )

        if preferred in candidates and utilization(preferred) <= max_utilization:
            return preferred  # the leader's fill there can be joined
        home_utilization = utilization(candidates[0])
        if home_utilization <= (
            SPILL_UTILIZATION_FROM_HOME
            if self.siblings
            else max(SPILL_UTILIZATION, max_utilization)
            if link_load > 1
            else SPILL_UTILIZATION
        ):
            return candidates[0] if home_utilization <= max(max_utilization, 1.0) else None
        # The home of a hot object is overloaded: its parts spread over the other caches, in the same way at all routers.
        part_ranking = [server for server in self.rank_servers(self.caches, f"{obj}#{part}#") if server in candidates]
        best_cache = next((server for server in part_ranking if utilization(server) <= SPILL_MAX_RATIO * home_utilization), candidates[0])
        return best_cache if utilization(best_cache) <= max(max_utilization, 1.0) else None

    def choose_source(self, obj, now, charge, avoided) -> Server | None:
        """The first parent in the ranking for the object, the second while the first fails, and the origin after them."""
        ranking = self.rank_servers(self.parents, obj)
        if (
            ranking
            and ranking[0].state == "up"
            and not ranking[0].ejected_until
            and not avoided
            and not self.in_slow_start(ranking[0], now)
        ):
            return ranking[0]  # fast path with the same outcome as below
        if not ranking and self.origin is not None:
            return self.origin if self.origin.state == "up" else None
        usable_servers = [
            server for server in ranking if server.state == "up" and server.name not in avoided and self.has_budget(server, now, charge)
        ]
        healthy_servers = [server for server in usable_servers if self.is_healthy(server, now)]
        origin = [self.origin] if self.origin and self.origin.state == "up" else []
        return next(iter(healthy_servers or origin or usable_servers), None)


class Router:
    """The decisions of one router. It shares no state with other routers."""

    def __init__(
        self,
        host: Host,
        seed: int,
        rules: list[RemapRule],
        pool: ServerPool,
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
        """`kb_per_s`: pace at which a client is sent its answer. `hop_limit`: most hops of one txn. `join_fills`: whether a hop may join a
        fill that a cache has in progress. `probes`: whether caches may be probed. `may_cancel`: whether hops may be cancelled.
        `max_retry_after`: the longest time (ns) after which a rejected client is told to come back. `without_notes`: whether answers
        say nothing about how they were served. `watch_only`: only count where `without_notes` would change a decision."""
        self.host, self.rules, self.pool, self.purges = host, rules, pool, purges
        self.without_notes, self.watch_only, self.shape_differences = without_notes, watch_only, {"noteless": 0}
        self.random, pool.log = random.Random(seed), host.log
        pool.random, pool.process_started = self.random, host.now()
        self.collapsing, self.kb_per_s, self.hop_limit, self.join_fills = collapsing, kb_per_s, hop_limit, join_fills
        self.probes, self.may_cancel, self.max_retry_after = probes, may_cancel, max_retry_after
        self.rule_transfer_times = [float(INITIAL_TRANSFER_TIME)] * len(rules)  # learned mean of each rule
        self.size_bands = [SizeBands() for _ in rules]
        self.rule_deviations = [INITIAL_TRANSFER_TIME / 2] * len(rules)  # mean deviation of transfer times where sizes are unknown
        self.mean_transfer_time, self.mean_importance = float(INITIAL_TRANSFER_TIME), 1.0
        self.first_byte_wait, self.first_byte_deviation = float(INITIAL_FIRST_BYTE_WAIT), INITIAL_FIRST_BYTE_WAIT / 2
        self.txns, self.alarms = {}, {}  # txns by ident; (function, arguments) of set alarms by label
        self.last_label, self.saved_retries, self.last_probe_at, self.notes_seen = 0, MAX_SAVED_RETRIES, 0, False
        self.give_up_counts: dict[GiveUp, int] = {}

    # The course of a txn.

    def txn_arrived(self, ident: int, rule_index: int, obj: str, part: int, time_left: int, kb: float, group: int):
        """A client's txn: send it, let it wait behind its leader, or give it up. `kb` is 0 where its size is unknown."""
        now, rule = self.host.now(), self.rules[rule_index]
        transfer_time = int(kb / self.kb_per_s * SECOND) if kb else int(self.rule_transfer_times[rule_index])
        txn = self.txns[ident] = Txn(ident, rule, rule_index, obj, part, group, transfer_time, kb > 0, now + time_left)
        if transfer_time > rule.time_limit:  # it can't be sent in time, and a size out of range must not be learned from
            return self.give_up(txn, GiveUp.TOO_LARGE)
        self.rule_transfer_times[rule_index] += (transfer_time - self.rule_transfer_times[rule_index]) * LEARNING_STEP
        bands, step = self.size_bands[rule_index], self.rule_transfer_times[rule_index] * LEARNING_STEP
        bands.largest_tenth_from += step * ((transfer_time >= bands.largest_tenth_from) - 0.1)
        bands.largest_third_from += step * ((transfer_time >= bands.largest_third_from) - 0.3)
        self.saved_retries = min(MAX_SAVED_RETRIES, self.saved_retries + RETRIES_PER_TXN)
        if rule.uncacheable:  # no copy can be shared: it goes through a cache straight to the origin
            return self.send_next_hop(txn)
        self.mean_transfer_time += (transfer_time - self.mean_transfer_time) * LEARNING_STEP
        self.mean_importance += (rule.importance - self.mean_importance) * LEARNING_STEP
        if self.probes and self.pool.caches and now - self.last_probe_at >= PROBE_INTERVAL:
            self.last_probe_at, cache = now, self.random.choice(self.pool.caches)
            if not self.pool.in_slow_start(cache, now):  # a probe is load too, and no slow start budget includes it
                self.host.probe(cache.name)
        flight = self.collapsing.flights.get((obj, part))
        if flight is None:
            self.collapsing.flights[obj, part], txn.is_leader = Flight(txn, now), True
            return self.send_next_hop(txn)
        wait_until = min(
            flight.started_at + int(self.first_byte_wait + 2 * self.first_byte_deviation),
            now + rule.sla + int((rule.sla_stretch - 1.2) * transfer_time) - 50 * MS,
            now + MAX_WAIT,
            txn.deadline - transfer_time,
        )
        if wait_until <= now or len(flight.waiters) >= MAX_WAITERS:
            return self.send_next_hop(txn, no_fill_expected=True, leader=flight.leader)
        flight.waiters[ident], txn.is_waiting = txn, True
        self.call_at(wait_until, self.end_wait, txn)

    def end_wait(self, txn: Txn) -> None:
        """Send a waiting txn, whether or not its leader got an answer."""
        if txn.is_waiting and not txn.ended:
            leader = self.collapsing.flights[txn.obj, txn.part].leader
            self.remove_waiter(txn)
            self.send_next_hop(txn, no_fill_expected=True, leader=leader)

    def remove_waiter(self, txn: Txn) -> None:
        if txn.is_waiting:
            self.collapsing.flights[txn.obj, txn.part].waiters.pop(txn.ident)
        txn.is_waiting = False

    def send_next_hop(self, txn: Txn, no_fill_expected: bool = False, leader: Txn | None = None) -> None:
        """Send the txn on its next hop, or give it up. `no_fill_expected`: the hop will hit, or join the fill of its `leader`."""
        now, rule = self.host.now(), txn.rule
        if txn.ended or txn.hops and any(earlier.in_flight for earlier in txn.hops):
            return None
        if now >= txn.deadline or len(txn.hops) >= self.hop_limit:
            return self.give_up(txn, GiveUp.OUT_OF_TIME if now >= txn.deadline else GiveUp.ATTEMPTS_SPENT)
        charge = max(self.rule_transfer_times[txn.rule_index], txn.transfer_time)
        relative_worth = rule.importance / self.mean_importance * self.mean_transfer_time / max(txn.transfer_time, MS)
        bands = self.size_bands[txn.rule_index]
        if relative_worth < 1 and bands.gave_up_recently and bands.is_underserved(txn.transfer_time):
            relative_worth = 1.0  # the worth of an average txn
        fill_probability, fetch = 0.0 if no_fill_expected or rule.uncacheable else self.pool.miss_share, True
        max_utilization = MIN_ADMITTED_UTILIZATION + min(MAX_WORTH_UTILIZATION, relative_worth)
        if not txn.size_known:
            max_utilization = min(max_utilization, self.tolerable_utilization(txn, now))
        preferred = leader.hops[-1].server if leader is not None and leader.hops else None
        pool = self.pool
        ranking = pool.rank_caches(txn.obj, txn.part)
        server = pool.choose_cache(
            ranking,
            txn.obj,
            txn.part,
            now,
            charge,
            max_utilization,
            txn.failed_servers,
            preferred,
            (lambda candidate: self.may_send(txn, candidate, now)) if txn.hops else None,
        )
        if server is None:  # no cache may be used, or all are too busy for what the txn is worth
            return self.give_up(txn, GiveUp.NO_SERVER)
        if rule.uncacheable:
            source, rank, source_charge = pool.origin, 0, 0.0
            if source is None or source.state != "up":
                return self.give_up(txn, GiveUp.NO_SOURCE)
        else:
            home, rank = ranking[0], CACHEABLE_RANK
            if (
                server is not home
                and pool.siblings
                and home.state == "up"
                and pool.is_healthy(home, now)
                and not pool.in_slow_start(home, now)
                and home.name not in txn.failed_servers
            ):
                source, fill_probability = home, 0.0  # fills from the home cache do not use the link into the zone
            elif fill_probability and pool.link_utilization(now, fill_probability) > MAX_LINK_UTILIZATION_RATIO * max_utilization:
                # Guards the link into the zone against more fills than it takes: the txn is given up if its hop would start one.
                source, fill_probability, txn.stale_copy_ok = server, 0.0, True
            else:
                source = pool.choose_source(txn.obj, now, charge, txn.failed_servers)
            origin = pool.origin  # while it fails, parents serve what they have and only few txns may ask it
            if (
                origin is not None
                and origin.error_rate >= ORIGIN_FAILING_RATE
                and self.random.random() > max(MIN_ORIGIN_TRY_SHARE, 1 - origin.error_rate)
            ):
                source, fetch, txn.stale_copy_ok = server if source is origin else source, False, True
            source_charge = charge if source is not None and source.started and pool.in_slow_start(source, now) else 0.0
        send_by = pool.budget_deadline(source, now) if source_charge else NEVER
        if server.started and pool.in_slow_start(server, now):
            server.tokens -= charge
            send_by = min(send_by, pool.budget_deadline(server, now))
        if txn.hops and rule.kind == "keyed":
            send_by = min(send_by, repeat_deadline(rule, [earlier for earlier in txn.hops if earlier.may_have_run]))
        hop = Hop(
            txn.ident,
            len(txn.hops),
            server,
            source,
            now,
            txn.transfer_time,
            len(server.in_flight),
            fill_probability,
            source_charge,
            fetch,
            counted_fill=fill_probability,
        )
        pool.add_fills(server, fill_probability)
        server.last_answer_at = server.last_answer_at if server.in_flight else now  # an idle server was not silent
        txn.hops.append(hop)
        server.in_flight[txn.ident, hop.number] = hop
        if source is not None:
            source.tokens -= source_charge
            source.sourced_hops[txn.ident, hop.number] = hop
        # A stale copy earns less than a fresh one, so it is allowed only after a failed fill or while the link into the zone is full.
        usable_time = rule.fresh_time + rule.grace_time if txn.stale_copy_ok and rule.fresh_time and rule.grace_time else rule.fresh_time
        max_age = self.purges.max_copy_age(now, txn.obj, txn.group, usable_time) or (usable_time if usable_time > rule.fresh_time else 0)
        join = self.join_fills and not rule.uncacheable and not (hop.number and any(earlier.fill_may_hang for earlier in txn.hops))
        self.host.send_hop(
            txn.ident,
            server.name,
            txn.deadline,
            source.name if source else None,
            rank,
            max_age,
            join,
            rule.fresh_time > 0 and not source_charge,  # a hit that renews its copy asks the source, like a fill
            fetch,
            send_by,
        )
        hop.alarm_label = self.call_at(now + self.silence_limit(hop, now, len(server.in_flight)), self.check_silence, hop)

    def tolerable_utilization(self, txn: Txn, now: int) -> float:
        """The utilization at which a large txn of this rule still ends by the deadline. Guards large txns of unknown size against running
        out of time on their only hop."""
        large_transfer_time = self.rule_transfer_times[txn.rule_index] + LARGE_TXN_DEVIATIONS * self.rule_deviations[txn.rule_index]
        return max(1.0, (txn.deadline - now - self.first_byte_wait) / max(large_transfer_time, MS))

    def may_send(self, txn: Txn, server: Server, now: int) -> bool:
        """Whether a further hop to the server can't make the txn take effect twice."""
        return repeat_refusal(txn.rule, [hop for hop in txn.hops if hop.may_have_run], server, now) is None

    def may_reject(self, txn: Txn) -> bool:
        """Whether the client may be told that a retry is harmless."""
        return may_promise_no_effect(txn.rule, [hop for hop in txn.hops if hop.may_have_run])

    def give_up(self, txn: Txn, why: GiveUp) -> None:
        """Reject or abort the txn at once."""
        self.give_up_counts[why] = self.give_up_counts.get(why, 0) + 1
        self.size_bands[txn.rule_index].count_end(txn.transfer_time, False)
        if self.may_reject(txn):
            self.host.reject(txn.ident, int(self.max_retry_after * self.random.uniform(0.3, 1.0)))
        else:
            self.host.abort(txn.ident)
        self.finish(txn)

    def finish(self, txn: Txn, completed: bool = False) -> None:
        """The txn has its final answer. If it led a flight, its waiters are sent; after a failure only the first is sent, as new leader."""
        txn.ended = True
        self.remove_waiter(txn)
        if txn.hops and txn.hops[-1].in_flight:
            self.cancel_hop(txn.hops[-1])
        else:
            self.txns.pop(txn.ident, None)
        if not txn.is_leader:
            return
        txn.is_leader, flight = False, self.collapsing.flights.pop((txn.obj, txn.part))
        if not completed and flight.waiters:
            new_leader = flight.waiters.pop(next(iter(flight.waiters)))
            new_leader.is_waiting, new_leader.is_leader = False, True
            self.collapsing.flights[txn.obj, txn.part] = Flight(new_leader, self.host.now(), flight.waiters)
            return self.send_next_hop(new_leader)
        for waiter in flight.waiters.values():
            waiter.is_waiting = False
            self.send_next_hop(waiter, no_fill_expected=True, leader=txn)

    def cancel_hop(self, hop: Hop) -> None:
        """Stop waiting for a hop, unless the txn is unrepeatable and open: then it would be unknown whether it ran."""
        txn = self.txns[hop.txn_ident]
        if self.may_cancel and not hop.cancelled and (txn.ended or txn.rule.kind != "unrepeatable"):
            hop.cancelled = True
            self.host.cancel(hop.txn_ident, hop.number)

    # Results of hops.

    def hop_ended(
        self, ident: int, number: int, result: str, duration: int, final: bool, note: int, source_wait: int | None, load: dict | None
    ) -> None:
        """A hop ended with a result of host.RESULTS. `final`: the txn has its final answer, or must not be sent again. `note`: how the hop
        was served, as a constant of host.py. `source_wait`: how long a fill waited for its source, where the answer says so."""
        txn, now = self.txns.get(ident), self.host.now()
        if txn is None or number >= len(txn.hops) or not txn.hops[number].in_flight:
            return
        hop = txn.hops[number]
        hop.in_flight, hop.may_have_run = False, result not in NEVER_RAN
        if self.alarms.pop(hop.alarm_label, None) is not None:
            self.host.cancel_alarm(hop.alarm_label)
        hop.server.in_flight.pop((ident, number), None)
        self.pool.add_fills(hop.server, -hop.counted_fill)
        if hop.source is not None:
            hop.source.sourced_hops.pop((ident, number), None)
        self.learn(txn, hop, result, duration, note, source_wait, now)
        self.pool.load_reported(hop.server, load, now)
        if txn.ended:
            self.txns.pop(ident, None)
        elif final:
            if result == "completed" and self.size_bands[txn.rule_index].gave_up_recently:
                self.size_bands[txn.rule_index].count_end(txn.transfer_time, True)
            self.finish(txn, result == "completed")
        elif (
            now >= txn.deadline - 2 * MS
            or result == "timed_out"
            or txn.unfillable
            or (self.saved_retries < 1 and result not in CONNECTION_FAILURES)
            or sum(earlier.returned_error for earlier in txn.hops) >= MAX_ERRORS_PER_TXN
        ):
            self.give_up(txn, GiveUp.NOT_RETRIED)
        else:
            self.saved_retries -= result not in CONNECTION_FAILURES  # guards against retries that multiply an overload
            self.send_next_hop(txn)

    def learn(self, txn: Txn, hop: Hop, result: str, duration: int, note: int, source_wait, now: int) -> None:
        """Update health, load and averages with a hop's result: it counts for or against the cache, the source, both or neither."""
        server, source = hop.server, hop.source
        if result in ("completed", "error", "full", "missing"):
            server.last_answer_at = now
        self.notes_seen |= note > 0  # where answers have notes, an error without one is not the fault of the source
        if source is not None and note in (*FILL_NOTES, SOURCE_REFUSED, ORIGIN_FAILED):
            source.last_answer_at, source.missed_fills = now, source.missed_fills // 2
            for peer in self.pool.peers(source) if len(self.pool.parents) > 1 else ():
                peer.missed_fills += bool(peer.sourced_hops)
        elif source is not None and note in (HIT, JOINED, PAST_FRESH):
            if (hop.sent - source.started) // self.pool.budget_window == source.token_window:  # tokens of past windows are void
                source.tokens += hop.source_charge  # the source was not asked
        origin_hung = result == "timed_out" and hop.fill_probability > 0 and self.pool.recent_mean_utilization(now) < SPILL_UTILIZATION
        if self.pool.origin is not None and (origin_hung or note in (FILLED_BY_ORIGIN, ORIGIN_FAILED)):
            failed = note != FILLED_BY_ORIGIN or self.pool.is_origin_slow(source_wait or 0)
            self.pool.origin.error_rate += (failed - self.pool.origin.error_rate) * ORIGIN_ERROR_STEP
        txn.unfillable |= result == "missing" and (source is server or not hop.fetch)
        if result == "completed":
            for failed_hop in [earlier for earlier in txn.hops if earlier.returned_error] if len(txn.hops) > 1 else ():
                self.pool.count_result(failed_hop.server, 1.0, now)
                # Without notes the cache and the source are both blamed: the error rates of their peers show which one fails.
                if failed_hop.source is not None and not (self.notes_seen or txn.rule.uncacheable):
                    self.pool.count_result(failed_hop.source, 1.0, now)
            self.pool.count_transfer(server, hop.transfer_time, now)
            self.pool.count_result(server, 0.0, now)
            in_flight = (hop.others_in_flight + len(server.in_flight)) / 2 + 1
            utilization = self.pool.recent_utilization(server, now)
            if (
                txn.size_known
                and hop.transfer_time > 50 * MS
                and (
                    note == HIT
                    or note in FILL_NOTES
                    and utilization > BUSY_UTILIZATION
                    and self.pool.link_utilization(now, 0) < MAX_LINK_UTILIZATION_RATIO
                )
            ):
                slowdown = (duration - (20 * MS if note == HIT else 2 * USUAL_FILL_WAIT)) / hop.transfer_time
                self.pool.record_utilization(
                    server, max(0.0, utilization + (max(slowdown, min(utilization, 1.0)) - utilization) * UTILIZATION_STEP), now
                )
                self.pool.learn_capacity(server, hop.transfer_time, duration, in_flight)
            elif not txn.size_known and (note == HIT or self.without_notes and self.learns_without_notes()):
                # The time without the slowdown by other transfers.
                full_pace_time = max(0, duration - 20 * MS) * min(1.0, server.capacity / in_flight)
                deviation = full_pace_time - self.rule_transfer_times[txn.rule_index]
                self.rule_transfer_times[txn.rule_index] += deviation * LEARNING_STEP
                self.rule_deviations[txn.rule_index] += (abs(deviation) - self.rule_deviations[txn.rule_index]) * LEARNING_STEP
            if hop.fill_probability and note:
                self.pool.miss_share += ((note in FILL_NOTES) - self.pool.miss_share) * LEARNING_STEP
            if note in FILL_NOTES and source is not None:
                self.pool.count_transfer(source, txn.transfer_time, now)
                self.pool.count_result(source, 0.0, now)
                wait = source_wait if source_wait is not None else max(0, duration - txn.transfer_time)
                self.pool.fill_wait_share += ((source_wait or 0) / max(duration, 1) - self.pool.fill_wait_share) * LEARNING_STEP
                deviation = min(wait - self.first_byte_wait, 5 * self.first_byte_wait)
                self.first_byte_wait += deviation * LEARNING_STEP
                self.first_byte_deviation += (abs(deviation) - self.first_byte_deviation) * LEARNING_STEP
        elif note in (SOURCE_REFUSED, SOURCE_LOST, SOURCE_LACKS, ORIGIN_FAILED):
            txn.stale_copy_ok = True
            txn.failed_servers |= {source.name} if source is not None else set()
            if source is not None and note in (SOURCE_REFUSED, SOURCE_LOST):
                self.pool.count_result(source, 1.0, now, note == SOURCE_LOST)
        elif result == "error":  # counted only if another hop completes the txn: some txns fail at every server
            txn.failed_servers.add(server.name)
            hop.returned_error = True
        elif result in ("unreachable", "broken"):
            txn.failed_servers |= {server.name} if result == "unreachable" else set()
            if result == "unreachable" or hop.sent > server.connection_broke_at:  # count a broken connection once for all its hops
                server.connection_broke_at = now
                self.pool.count_result(server, 1.0, now, result == "unreachable")
        elif result in ("full", "missing", "cancelled") and not hop.fill_may_hang:
            txn.failed_servers.add((source if result == "missing" and source in self.pool.caches else server).name)

    def learns_without_notes(self) -> bool:
        """Whether any completed hop counts as a hit, because answers carry no notes. Counts each such hop."""
        self.shape_differences["noteless"] += 1
        return not self.watch_only

    def silence_limit(self, hop: Hop, now: int, in_flight: int) -> int:
        """How long a server or source may stay silent while this hop is in flight; longer where it has more work. A router that sees
        little traffic allows more time the fewer hops are in flight, because a late hop may wait for its source."""
        txn = self.txns.get(hop.txn_ident)  # where its size is unknown, it may be a large one of its rule and take far longer than the mean
        size_margin = UNSIZED_DEVIATIONS * self.rule_deviations[txn.rule_index] if txn is not None and not txn.size_known else 0.0
        multiple = (
            max(SILENCE_MULTIPLE, FEW_HOPS_SILENCE_MULTIPLE / max(in_flight, 2))
            if self.pool.cache_share < MIN_SHARE_FOR_OBJECT_HOMES
            else SILENCE_MULTIPLE
        )
        expected = multiple * (self.pool.expected_hit_time(hop, now) + self.first_byte_wait)
        return int((MIN_SILENCE + SILENCE_MULTIPLE * size_margin + expected) * (ONLY_HOP_MULTIPLE if in_flight < 2 else 1.0))

    def check_silence(self, hop: Hop) -> None:
        """Eject a cache that answers nothing, or a parent that sends nothing while its peers do, and cancel the hops that wait for it."""
        now, server, source = self.host.now(), hop.server, hop.source
        if not hop.in_flight or hop.cancelled:
            return
        if now - max(server.last_answer_at, hop.sent) >= self.silence_limit(hop, now, len(server.in_flight)):
            if self.pool.cache_share < MIN_SHARE_FOR_OBJECT_HOMES and (hop.fill_probability or self.txns[hop.txn_ident].rule.uncacheable):
                # Learning from fills that come in time alone would never show that a source is slow.
                lateness = max(0, now - hop.sent - hop.transfer_time - self.first_byte_wait)
                self.first_byte_wait += lateness * LATE_FILL_STEP
            if now >= server.ejected_until:
                self.pool.eject(server, now, "silent")
            for other_hop in list(server.in_flight.values()):
                if now - other_hop.sent > MIN_SILENCE:
                    self.cancel_hop(other_hop)
            return
        if source in self.pool.parents:
            if (
                source.missed_fills >= MIN_MISSED_FILLS
                and not source.ejected_until
                and MIN_LATE_FILLS
                <= sum(
                    now - max(waiting_hop.sent, source.last_answer_at) >= self.silence_limit(waiting_hop, now, len(source.sourced_hops))
                    for waiting_hop in source.sourced_hops.values()
                )
            ):
                self.pool.eject(source, now, "its fills do not come")
            if source.ejected_until:
                hop.fill_may_hang = True
                self.txns[hop.txn_ident].failed_servers.add(source.name)
                return self.cancel_hop(hop)
        hop.alarm_label = self.call_at(now + MIN_SILENCE, self.check_silence, hop)

    def first_byte_arrived(self, ident: int, number: int) -> None:
        """The first byte of a leader's answer: its waiters can now join the fill or hit."""
        txn = self.txns.get(ident)
        if txn is not None and txn.is_leader:
            for waiter in list(self.collapsing.flights[txn.obj, txn.part].waiters.values()):
                self.end_wait(waiter)

    def txn_withdrawn(self, ident: int) -> None:
        """The client no longer wants an answer."""
        if ident in self.txns and not self.txns[ident].ended:
            self.finish(self.txns[ident])

    def end_now(self, ident: int, why: GiveUp = GiveUp.PROGRAM_ENDS) -> None:
        """Give the txn up at once, because the program ends or failed while it handled the txn."""
        txn = self.txns.get(ident)
        if txn is not None and not txn.ended:
            self.give_up(txn, why)

    def purged(self, obj: str | None, group: int, age: int) -> None:
        """A purge of one object, or of a group where `obj` is None, that was issued `age` ns ago."""
        self.purges.add(self.host.now(), obj, group, age)

    def probe_ended(self, server: str, result: str, duration: int, load: dict | None) -> None:
        """A probe of the named server ended, with its load report or None."""
        self.pool.load_reported(self.pool.servers.get(server), load, self.host.now())

    def call_at(self, when: int, function, *arguments) -> int:
        """Call the function at that time. Returns the label of the alarm."""
        self.last_label = label = self.last_label + 1
        self.alarms[label] = (function, arguments)
        self.host.set_alarm(label, when)
        return label

    def alarm_fired(self, label: int) -> None:
        function, arguments = self.alarms.pop(label, (lambda: None, ()))
        function(*arguments)
