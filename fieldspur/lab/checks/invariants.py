"""What the soak asks beyond the five rules, by name, with the lag of the judging process bounded and reported.

Each invariant is one row of `docs/design/promises.md`. No I/O; times are Unix ns of the judging process, whose clock nobody steps."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable

from fieldspur.lab.checks.rule_checker import MS, OWN, SECOND, SLACK, Checker, Hop, Try

NAMES = {1: "final_answer", 2: "effect_once", 3: "drained_server", 4: "slow_start", 5: "purge"}
MORE = ("one_attempt", "departed_client", "deadline", "ready", "shutdown", "resources", "crash")
LOST_AFTER = 500 * MS  # past its time limit, an answer that has not come is lost
DEPARTED_GRACE = 100 * MS
DEADLINE_GRACE_MS = 150
CROSSING = 50 * MS  # a request that crosses the close of a resting connection is sent again
TOLD_GRACE = 250 * MS  # from when a start was told until all routers count as knowing it
FEW = 30  # calls, below which a slow start is given more
ATTEMPT_LOOK = 150 * MS  # until the end of an attempt elsewhere has to be seen
LATE_READ, LATE_LOOK = 50 * MS, 1500 * MS  # of a server that had stopped reading, and until it has read on
FIRST_WORK = 50 * MS  # of a mean request, before any is seen
LEARN = 0.02


def slow_start_bound(calls: float) -> float:
    """Most calls of mean work that a server in slow start may get where the settings allow it `calls`."""
    return calls + (3 * math.sqrt(calls) + 3 if calls < FEW else 2 * math.sqrt(calls) + 2)


class Invariants(Checker):
    """`second()` is the time of the run; `stall()` is how late the judging process may be now; `later(delay, what)` sets a timer;
    `unread(server)` tells whether that server reads nothing, so that an end written to it can't be seen."""

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
        self.violations = {name: [] for name in (*NAMES.values(), *MORE)}
        self.router_of: dict[str, int] = {}  # by request id
        self.deaf_until: dict[int, int] = {}  # routers whose discovery link a fault holds up, and until when
        self.told_starts: dict[str, int] = {}  # when the start of a server in slow start was told
        self.mean_work = float(FIRST_WORK)
        self.most_lag = 0
        self.most_memory_mb = 0.0  # the largest peak of any process
        self.most_kept_mb = 0.0  # the most that any has after the load beyond what it had before

    @property
    def lag(self) -> int:
        lag = self.stall()
        self.most_lag = max(self.most_lag, lag)
        return lag

    @lag.setter
    def lag(self, _value: int) -> None:
        """Bounded by `stall`, which knows of the last moments; the longest of a whole run would excuse everything after it."""

    def add_violation(self, rule: int | str, text: str) -> None:
        super().add_violation(NAMES.get(rule, rule), f"{self.second():.2f} s: {text}")

    # Clients' side.

    def sent(self, conn, stream: int, one: Try) -> None:
        super().sent(conn, stream, one)
        self.router_of[one.ident] = conn.router

    def answered(self, conn, stream: int, word: str, at: int, issued: int | None = None, wrong: str = "") -> Try | None:
        one = self.tries.get((conn, stream))
        limit_at = one.limit_at if one is not None else 0
        if one is not None:
            one.limit_at += LOST_AFTER - SLACK - OWN  # until then it only earns nothing
        try:
            return super().answered(conn, stream, word, at, issued, wrong)
        finally:
            if one is not None:
                one.limit_at = limit_at

    def expired(self, conn, stream: int, at: int) -> None:
        """The client waited for its answer until after it counts as lost."""
        one = self.tries.get((conn, stream))
        if one is None or one.withdrawn or at < self.excused_until.get(conn.router, 0):
            return
        self.add_violation(
            "final_answer",
            f"request {one.ident} ({one.kind}) at router {conn.router}: no answer {(at - one.limit_at) // MS} ms after its time limit",
        )

    def ended(self, conn, at: int, killed: bool, used: bool, turned_away: bool = False) -> list[Try]:
        """A connection ended. `used`: it had carried requests before; `turned_away`: it was closed unread by a router whose descriptors
        idle clients fill. Given back are those that its client sends again: they crossed the close of a resting connection, or were
        never read."""
        found = [self.tries.pop(spot) for spot in [spot for spot in self.tries if spot[0] is conn]]
        found = [one for one in found if not one.withdrawn]
        if killed or not found:
            return []
        if turned_away and not used:
            self.counts["turned_away"] += len(found)
            return found
        if used and all(at - one.sent <= CROSSING + self.lag for one in found):
            self.counts["crossed"] += len(found)
            return found
        for one in found:
            self.counts["lost"] += 1
            self.add_violation(
                "final_answer",
                f"request {one.ident} ({one.kind}) at router {conn.router}: its connection ended without an answer "
                f"{(at - one.sent) // MS} ms after it was sent",
            )
        return []

    def killed(self, conns, at: int, told: int) -> None:
        """A router that was told to end at `told` is killed now, at the earliest moment that the protocol allows: what clients have
        open on its connections is lost, but for what was sent in the very moment."""
        for (conn, _), one in self.tries.items():
            if conn in conns and not one.withdrawn and at - one.sent > CROSSING + self.lag:
                self.counts["lost"] += 1
                self.add_violation(
                    "final_answer",
                    f"request {one.ident} ({one.kind}) at router {conn.router}: no answer when the router was killed, "
                    f"{(at - one.sent) // MS} ms after it was sent, {(one.sent - told) // MS} ms after SIGTERM",
                )

    # Servers' side.

    def hop_arrived(self, server: str, source: str | None, ident: str, at: int, first: int | None = None) -> Hop | None:
        first = at if first is None else first
        router = self.router_of.get(ident, -1)
        states, deaf = self.states, self.deaf_until.get(router, 0)
        if deaf:  # what was told while it could not hear counts from when it could
            self.states = {
                name: (state, max(since, deaf) if since <= deaf and first - since < 10 * SECOND else since)
                for name, (state, since) in states.items()
            }
        try:
            entry = super().hop_arrived(server, source, ident, at, first)
        finally:
            self.states = states
        one = self.by_ident.get(ident)
        if one is None or entry is None:
            return entry
        if one.withdrawn and first > one.withdrawn + DEPARTED_GRACE + self.lag:
            self.add_violation(
                "departed_client", f"request {ident}: an attempt begun {(first - one.withdrawn) // MS} ms after its client had left"
            )
        late = at - first > LATE_READ  # its server read nothing for a while: what follows may say that it is given up
        for other in one.hops[:-1]:
            if not other.end and not self.unread(other.server):
                self.later((LATE_LOOK if late else ATTEMPT_LOOK) + self.lag, lambda other=other: self.outstanding(ident, other, entry, at))
        entry.server = server
        return entry

    def outstanding(self, ident: str, other: Hop, entry: Hop, at: int) -> None:
        """Both attempts had their time to be seen as ended: for how long were both out?"""
        if self.unread(other.server) or self.unread(entry.server):
            return
        ends = [one.ended_at for one in (other, entry) if one.end]
        both = (min(ends) if ends else at + ATTEMPT_LOOK) - max(other.came, entry.came)
        if both > OWN + self.lag:
            self.add_violation(
                "one_attempt", f"request {ident}: at {entry.server} while its attempt at {other.server} is out, {both // MS} ms"
            )

    def limit_passed_on(self, ident: str, limit_ms: int, first: int) -> None:
        one = self.by_ident.get(ident)
        if one is None:
            return
        left_ms = (one.limit_at - first) / MS
        if limit_ms > left_ms + DEADLINE_GRACE_MS + self.lag / MS:
            self.add_violation(
                "deadline", f"request {ident}: a limit of {limit_ms} ms passed on where its client has {left_ms:.0f} ms left"
            )

    def count_work(self, work: int) -> None:
        """A request of so much work came to a server."""
        self.mean_work += (work - self.mean_work) * LEARN

    def started(self, name: str, at: int) -> None:
        self.told_starts[name] = at
        self.cold.pop(name, None)

    def slow_start_work(self, name: str, able: float, work: int, at: int) -> None:
        if at < self.told_starts.get(name, 0) + TOLD_GRACE + self.lag:
            return  # not all may know of the start yet
        rows = self.cold.setdefault(name, deque())
        rows.append((at, work))
        while rows[0][0] < at - SECOND:
            rows.popleft()
        allowed = self.fall_multiple * able * SECOND / self.mean_work
        calls = sum(one for _, one in rows) / self.mean_work
        if calls > slow_start_bound(allowed):
            self.add_violation(
                "slow_start",
                f"{name}: {calls:.1f} calls of mean work in a second, where {allowed:.1f} are allowed "
                f"and {slow_start_bound(allowed):.1f} borne",
            )
