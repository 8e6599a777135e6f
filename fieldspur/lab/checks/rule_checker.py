"""Holds the five rules against what passed on the sockets, apart from any count of a router's. No I/O; times in Unix ns.

1 one final answer a txn, in time, nothing after it; 2 no unrepeatable effect twice, keyed repeats only in their span;
3 nothing new, as hop or fill source, to a draining or gone server after the grace; 4 a cold server is not pushed over;
5 no answer from a copy older than a purge after the grace."""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import dataclass, field

MS, SECOND = 1_000_000, 1_000_000_000
SLACK = 50 * MS  # that the protocol adds to each time limit
OWN = 60 * MS  # a txn's way through this process, which plays all other parties in one thread
DRAIN_GRACE, PURGE_GRACE = 250 * MS, 500 * MS
NEVER_RAN = ("NOENT", "AGAIN", "STALE")
MOST_KEPT = 200  # violations of one rule that are kept in full


@dataclass(slots=True)
class Hop:
    """One request at a server."""

    came: int  # whole
    first: int  # when its first byte was handed over by the router
    end: str = ""  # how it ended there
    server: str = ""
    ended_at: int = 0  # when its end was written, or the router handed over that it is given up


@dataclass(slots=True)
class Try:
    """One request on the sockets."""

    ident: str
    kind: str  # "repeatable", "keyed" or "unrepeatable"
    obj: str
    part: int
    group: int
    key: str | None
    sent: int
    limit_at: int
    answered: int = 0
    withdrawn: int = 0
    hops: list = field(default_factory=list)


class Checker:
    """`lag` is how late this process itself may be; it is added wherever time is judged."""

    def __init__(self, fall_multiple: float, span: int = 6 * SECOND, routers: int = 1):
        self.fall_multiple, self.span, self.routers = fall_multiple, span, routers
        self.tries: dict[tuple, Try] = {}  # open ones, by connection and stream
        self.by_ident: dict[str, Try] = {}
        self.order: deque = deque()  # (time limit, id), as sent
        self.states: dict[str, tuple[str, int]] = {}  # state of each server, and since when it is told
        self.purges: list[tuple] = []  # (object, group, made, told)
        self.cold: dict[str, deque] = {}  # (when, work) of the last second at each cold server
        self.effects: Counter = Counter()  # how often each txn's effect took place, by key or id
        self.kinds: dict[str, str] = {}
        self.violations: dict[int, list[str]] = {rule: [] for rule in range(1, 6)}
        self.counts: Counter = Counter()
        self.lag = 0
        # Routers that a fault stopped: until when what they owe may be late. What was withdrawn is owed no more.
        self.excused_until: dict[int, int] = {}

    def add_violation(self, rule: int, text: str) -> None:
        self.counts[f"rule_{rule}"] += 1
        if len(self.violations[rule]) < MOST_KEPT:
            self.violations[rule].append(text)

    def has_no_violations(self) -> bool:
        return not any(self.violations.values())

    # Clients' side.

    def sent(self, conn, stream: int, one: Try) -> None:
        self.tries[conn, stream] = one
        self.by_ident[one.ident] = one
        self.order.append((one.limit_at, one.ident))
        self.kinds[one.key or one.ident] = one.kind
        self.counts["tries"] += 1

    def answered(self, conn, stream: int, word: str, at: int, issued: int | None = None, wrong: str = "") -> Try | None:
        """An answer came. `issued`, in ns: of the copy that a completed one brought; `wrong`: why it can't be used."""
        one = self.tries.pop((conn, stream), None)
        if one is None:
            self.add_violation(1, f"an answer to nobody, or a second one, on stream {stream}")
            return None
        if at < self.excused_until.get(getattr(conn, "router", -1), 0) and not one.withdrawn:
            return None
        if one.withdrawn:  # it may cross the withdrawal, no later
            if at - one.withdrawn > SLACK + OWN + self.lag:
                self.add_violation(1, f"txn {one.ident}: answered {(at - one.withdrawn) // MS} ms after it was withdrawn")
            return None
        one.answered = at
        self.counts[word] += 1
        if wrong:
            self.add_violation(1, f"txn {one.ident}: {wrong}")
        if at > one.limit_at + SLACK + OWN + self.lag:
            self.add_violation(1, f"txn {one.ident}: answered {(at - one.limit_at) // MS} ms after its time limit")
        if word == "rejected" and one.kind == "unrepeatable" and any(hop.end not in NEVER_RAN for hop in one.hops):
            self.add_violation(2, f"txn {one.ident}: rejected as harmless to try again, and it may have run")
        if word == "completed" and issued is not None:
            asked = max((hop.first for hop in one.hops if hop.end == "ACK"), default=one.sent)
            for obj, group, made, told in self.purges:
                if (
                    (obj == one.obj or obj is None and group in (-1, one.group))
                    and issued < made - MS
                    and asked > told + PURGE_GRACE + self.lag
                ):
                    self.add_violation(
                        5,
                        f"txn {one.ident}: a copy {(made - issued) // MS} ms older than a purge, "
                        f"asked {(asked - told) // MS} ms after it was told",
                    )
                    break
        return one

    def forget(self, before: int) -> None:
        """Tries whose time limit is so long over are not looked for any more; a long run's memory stays flat."""
        while self.order and self.order[0][0] < before:
            self.by_ident.pop(self.order.popleft()[1], None)

    def withdrew(self, conn, stream: int, at: int) -> None:
        one = self.tries.get((conn, stream))
        if one is not None:
            one.withdrawn = at

    def closed(self, conn, at: int, fault: bool) -> list[Try]:
        """A connection ended: all that was open on it is lost, unless a fault that was played took the router away."""
        lost = [self.tries.pop(spot) for spot in [spot for spot in self.tries if spot[0] is conn]]
        lost = [one for one in lost if not one.withdrawn]
        for one in lost:
            self.counts["lost"] += 1
            if not fault and at < one.limit_at + SLACK:
                self.add_violation(1, f"txn {one.ident}: its connection ended without an answer")
        return lost

    def finish(self, at: int) -> None:
        """At the end: what has had no answer in its time, and effects that took place twice."""
        for one in self.tries.values():
            if not one.withdrawn and at > one.limit_at + SLACK + OWN + self.lag:
                self.add_violation(1, f"txn {one.ident}: no answer {(at - one.limit_at) // MS} ms after its time limit")
        for name, times in self.effects.items():
            if times > 1 and self.kinds.get(name) != "repeatable":
                self.add_violation(2, f"{self.kinds.get(name, 'unknown')} txn {name}: its effect took place {times} times")

    # Servers' side.

    def state_announced(self, name: str, state: str, at: int) -> None:
        if self.states.get(name, ("", 0))[0] != state:
            self.states[name] = (state, at)

    def hop_arrived(self, server: str, source: str | None, ident: str, at: int, first: int | None = None) -> Hop | None:
        """A hop came to a server, its first byte written at `first` (without it, then too); the entry given back is
        told of its end. Drains bind first bytes: what began in time may come late."""
        self.counts["hops"] += 1
        first = at if first is None else first
        for name, what in ((server, "a hop"), (source, "a fill source")):
            state, since = self.states.get(name, ("up", 0)) if name else ("up", 0)
            if state != "up" and first > since + DRAIN_GRACE + OWN + self.lag:
                self.add_violation(3, f"{what} {(first - since) // MS} ms after {name} was told to be {state}")
        one = self.by_ident.get(ident)
        if one is None:
            self.add_violation(1, f"a hop for txn {ident}, which nobody sent")
            return None
        ran = [hop.came for hop in one.hops if hop.end not in NEVER_RAN]
        if ran and one.kind == "unrepeatable":
            self.add_violation(2, f"unrepeatable txn {ident} sent again, and it may have run")
        if ran and one.kind == "keyed" and at - ran[0] > self.span + OWN:
            self.add_violation(2, f"keyed txn {ident} sent again {(at - ran[0]) // MS} ms after it may have run")
        one.hops.append(Hop(at, first))
        return one.hops[-1]

    def limit_passed_on(self, ident: str, limit_ms: int, first: int) -> None:
        """A server was told of that time limit, its request's first byte written at `first`."""

    def count_work(self, work: int) -> None:
        """A request of so much work came to a server."""

    def started(self, name: str, at: int) -> None:
        """The start of a server in slow start is told from now on."""

    def slow_start_work(self, name: str, able: float, work: int, at: int) -> None:
        """So much was asked of a cold server, that now does `able` transfers at full pace; work in ns of one."""
        rows = self.cold.setdefault(name, deque())
        rows.append((at, work))
        while rows[0][0] < at - SECOND:
            rows.popleft()
        total, largest = sum(w for _, w in rows), max(w for _, w in rows)
        if total > self.fall_multiple * able * SECOND + 2 * self.routers * largest:
            self.add_violation(4, f"{name}: asked for {total / SECOND:.1f} s of transfers in a second, able to do {able:.1f}")

    def effect(self, name: str) -> None:
        self.effects[name] += 1

    def purged(self, obj: str | None, group: int, made: int, told: int) -> None:
        self.purges.append((obj, group, made, told))
