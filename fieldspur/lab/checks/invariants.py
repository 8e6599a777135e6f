"""Invariants that the soak checks beyond the five rules, by name. The lag of the checking process is bounded and reported.

Each invariant is one row of `docs/design/promises.md`. No I/O; times are Unix ns of the checking process, whose clock is never stepped."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable

from fieldspur.lab.checks.rule_checker import LAB_DELAY, MS, SECOND, SLACK, Checker, Hop, Try

RULE_NAMES = {1: "final_answer", 2: "effect_once", 3: "drained_server", 4: "slow_start", 5: "purge"}
SOAK_ONLY_NAMES = ("one_attempt", "departed_client", "deadline", "ready", "shutdown", "resources", "crash")
LOST_AFTER = 500 * MS  # an answer counts as lost this long after the time limit
DEPARTED_GRACE = 100 * MS
DEADLINE_GRACE_MS = 150
CROSSING_WINDOW = 50 * MS  # a request sent this shortly before the close of an idle connection crossed the close and is sent again
START_GRACE = 250 * MS  # after the announcement of a start, until all routers must know of it
FEW_CALLS = 30  # below this number of allowed calls the tolerance is larger
ATTEMPT_CHECK_DELAY = 150 * MS  # by then the end of an attempt at another server must be visible
LATE_READ = 50 * MS  # a request read this long after it was written comes from a server that had stopped reading
LATE_CHECK_DELAY = 1500 * MS  # until such a server has read the rest
INITIAL_MEAN_WORK = 50 * MS  # of a request, before the first one is received
MEAN_WORK_WEIGHT = 0.02  # weight of each new request in the moving average


def slow_start_bound(calls: float) -> float:
    """Limit of calls of mean work to a server in slow start whose settings allow `calls`: adds a tolerance for chance."""
    return calls + (3 * math.sqrt(calls) + 3 if calls < FEW_CALLS else 2 * math.sqrt(calls) + 2)


class Invariants(Checker):
    """Checks the rules and the invariants of a soak.

    `second()` is the time of the run; `stall()` is how late the checking process may be now; `later(delay, callback)` sets a timer;
    `unread(server)` tells whether that server has stopped reading, so that an end written to it can't be seen."""

    def __init__(
        self,
        fall_multiple: float,
        routers: int,
        second: Callable[[], float],
        stall: Callable[[], int],
        later: Callable,
        unread: Callable[[str], bool],
    ):
        self.second, self.stall, self.later, self.unread = second, stall, later, unread
        super().__init__(fall_multiple, routers=routers)
        self.violations = {name: [] for name in (*RULE_NAMES.values(), *SOAK_ONLY_NAMES)}
        self.router_of: dict[str, int] = {}  # by request id
        self.deaf_until: dict[int, int] = {}  # routers whose link to discovery is stalled by a fault, and until when
        self.announced_starts: dict[str, int] = {}  # when the start of a server in slow start was announced
        self.mean_work = float(INITIAL_MEAN_WORK)
        self.most_lag = 0
        self.most_memory_mb = 0.0  # the largest peak of any process
        self.most_kept_mb = 0.0  # the largest growth of any process from before the load to after it

    @property
    def lag(self) -> int:
        lag = self.stall()
        self.most_lag = max(self.most_lag, lag)
        return lag

    @lag.setter
    def lag(self, _value: int) -> None:
        """Ignores the value: `stall` covers only the last moments. The longest lag of a whole run would excuse everything after it."""

    def add_violation(self, rule: int | str, text: str) -> None:
        super().add_violation(RULE_NAMES.get(rule, rule), f"{self.second():.2f} s: {text}")

    # Events of clients.

    def sent(self, conn, stream: int, client_try: Try) -> None:
        super().sent(conn, stream, client_try)
        self.router_of[client_try.ident] = conn.router

    def answered(self, conn, stream: int, status: str, at: int, issued: int | None = None, wrong: str = "") -> Try | None:
        client_try = self.tries.get((conn, stream))
        limit_at = client_try.limit_at if client_try is not None else 0
        if client_try is not None:
            client_try.limit_at += LOST_AFTER - SLACK - LAB_DELAY  # until then a late answer only earns nothing
        try:
            return super().answered(conn, stream, status, at, issued, wrong)
        finally:
            if client_try is not None:
                client_try.limit_at = limit_at

    def expired(self, conn, stream: int, at: int) -> None:
        """The client has waited until its answer counts as lost."""
        late_try = self.tries.get((conn, stream))
        if late_try is None or late_try.withdrawn or at < self.excused_until.get(conn.router, 0):
            return
        self.add_violation(
            "final_answer",
            f"request {late_try.ident} ({late_try.kind}) at router {conn.router}: no answer "
            f"{(at - late_try.limit_at) // MS} ms after its time limit",
        )

    def ended(self, conn, at: int, killed: bool, used: bool, turned_away: bool = False) -> list[Try]:
        """A connection ended. `used`: it had carried requests before; `turned_away`: a router whose descriptors idle clients fill closed
        it unread. Returns the tries that the client sends again, because they crossed the close of an idle connection or were
        never read."""
        open_tries = [self.tries.pop(try_key) for try_key in [try_key for try_key in self.tries if try_key[0] is conn]]
        open_tries = [client_try for client_try in open_tries if not client_try.withdrawn]
        if killed or not open_tries:
            return []
        if turned_away and not used:
            self.counts["turned_away"] += len(open_tries)
            return open_tries
        if used and all(at - client_try.sent <= CROSSING_WINDOW + self.lag for client_try in open_tries):
            self.counts["crossed"] += len(open_tries)
            return open_tries
        for client_try in open_tries:
            self.counts["lost"] += 1
            self.add_violation(
                "final_answer",
                f"request {client_try.ident} ({client_try.kind}) at router {conn.router}: its connection ended without an answer "
                f"{(at - client_try.sent) // MS} ms after it was sent",
            )
        return []

    def killed(self, conns, at: int, sigterm_at: int) -> None:
        """A router that got SIGTERM at `sigterm_at` is killed now, at the earliest moment that the protocol allows. Open tries on its
        connections are lost, except those sent at that very moment."""
        for (conn, _), client_try in self.tries.items():
            if conn in conns and not client_try.withdrawn and at - client_try.sent > CROSSING_WINDOW + self.lag:
                self.counts["lost"] += 1
                self.add_violation(
                    "final_answer",
                    f"request {client_try.ident} ({client_try.kind}) at router {conn.router}: no answer when the router was killed, "
                    f"{(at - client_try.sent) // MS} ms after it was sent, {(client_try.sent - sigterm_at) // MS} ms after SIGTERM",
                )

    # Events of servers.

    def hop_arrived(self, server: str, source: str | None, ident: str, at: int, first: int | None = None) -> Hop | None:
        first = at if first is None else first
        router = self.router_of.get(ident, -1)
        states, stalled_until = self.states, self.deaf_until.get(router, 0)
        if stalled_until:  # announcements made while the router's link was stalled count from the end of the stall
            self.states = {
                name: (state, max(since, stalled_until) if since <= stalled_until and first - since < 10 * SECOND else since)
                for name, (state, since) in states.items()
            }
        try:
            entry = super().hop_arrived(server, source, ident, at, first)
        finally:
            self.states = states
        client_try = self.by_ident.get(ident)
        if client_try is None or entry is None:
            return entry
        if client_try.withdrawn and first > client_try.withdrawn + DEPARTED_GRACE + self.lag:
            self.add_violation(
                "departed_client", f"request {ident}: an attempt begun {(first - client_try.withdrawn) // MS} ms after its client had left"
            )
        late = at - first > LATE_READ  # the server had stopped reading, so a cancellation may still be unread
        for other in client_try.hops[:-1]:
            if not other.end and not self.unread(other.server):
                self.later(
                    (LATE_CHECK_DELAY if late else ATTEMPT_CHECK_DELAY) + self.lag,
                    lambda other=other: self.check_overlap(ident, other, entry, at),
                )
        entry.server = server
        return entry

    def check_overlap(self, ident: str, other: Hop, entry: Hop, at: int) -> None:
        """Checks how long two attempts overlapped, once the end of each must be visible."""
        if self.unread(other.server) or self.unread(entry.server):
            return
        ends = [hop.ended_at for hop in (other, entry) if hop.end]
        overlap = (min(ends) if ends else at + ATTEMPT_CHECK_DELAY) - max(other.arrived_at, entry.arrived_at)
        if overlap > LAB_DELAY + self.lag:
            self.add_violation(
                "one_attempt", f"request {ident}: at {entry.server} while its attempt at {other.server} is out, {overlap // MS} ms"
            )

    def limit_passed_on(self, ident: str, limit_ms: int, first: int) -> None:
        client_try = self.by_ident.get(ident)
        if client_try is None:
            return
        left_ms = (client_try.limit_at - first) / MS
        if limit_ms > left_ms + DEADLINE_GRACE_MS + self.lag / MS:
            self.add_violation(
                "deadline", f"request {ident}: a limit of {limit_ms} ms passed on where its client has {left_ms:.0f} ms left"
            )

    def count_work(self, work: int) -> None:
        """A server received a request of `work` ns."""
        self.mean_work += (work - self.mean_work) * MEAN_WORK_WEIGHT

    def started(self, name: str, at: int) -> None:
        self.announced_starts[name] = at
        self.recent_work.pop(name, None)

    def slow_start_work(self, name: str, rating: float, work: int, at: int) -> None:
        if at < self.announced_starts.get(name, 0) + START_GRACE + self.lag:
            return  # some routers may not know of the start yet
        rows = self.recent_work.setdefault(name, deque())
        rows.append((at, work))
        while rows[0][0] < at - SECOND:
            rows.popleft()
        allowed = self.fall_multiple * rating * SECOND / self.mean_work
        calls = sum(amount for _, amount in rows) / self.mean_work
        if calls > slow_start_bound(allowed):
            self.add_violation(
                "slow_start",
                f"{name}: {calls:.1f} calls of mean work in a second, where {allowed:.1f} are allowed "
                f"and {slow_start_bound(allowed):.1f} borne",
            )
