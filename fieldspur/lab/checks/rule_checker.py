"""Checks five rules against the traffic on the sockets, independently of the routers' own counts. No I/O; times in Unix ns.

1. Each txn gets exactly one final answer, within its time limit.
2. No effect of an unrepeatable txn takes place twice, and keyed txns are repeated only within their repeat window.
3. After a grace period no new hop goes to a draining or gone server, neither as target nor as fill source.
4. A server in slow start is not overloaded.
5. After a grace period no answer comes from a copy older than a purge."""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import dataclass, field

MS = 1_000_000  # nanoseconds
SECOND = 1_000_000_000  # nanoseconds
SLACK = 50 * MS  # the protocol allows answers this long after the time limit
LAB_DELAY = 60 * MS  # a txn's time in this process, which emulates clients and servers in one thread
DRAIN_GRACE = 250 * MS
PURGE_GRACE = 500 * MS
NEVER_RAN = ("NOENT", "AGAIN", "STALE")  # statuses of answers to hops that had no effect
MAX_STORED_VIOLATIONS = 200  # violations of one rule whose text is stored


@dataclass(slots=True)
class Hop:
    """One hop that a server received."""

    arrived_at: int  # when the server had read the whole request
    first: int  # when the router wrote its first byte
    end: str = ""  # status of the server's answer, or "GIVEN_UP"; empty while open
    server: str = ""
    ended_at: int = 0  # when the server wrote its answer, or the router wrote the cancellation


@dataclass(slots=True)
class Try:
    """One try of a client: a request on a client's connection."""

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
    """Checks the rules for one run. `lag` is how late this process itself may be; each time check adds it."""

    def __init__(self, fall_multiple: float, repeat_window: int = 6 * SECOND, routers: int = 1):
        self.fall_multiple, self.repeat_window, self.routers = fall_multiple, repeat_window, routers
        self.tries: dict[tuple, Try] = {}  # unanswered ones, by connection and stream
        self.by_ident: dict[str, Try] = {}
        self.order: deque = deque()  # (time limit, id), in the order of sending
        self.states: dict[str, tuple[str, int]] = {}  # announced state of each server, and the time of the announcement
        self.purges: list[tuple] = []  # (object, group, made_at, announced_at)
        self.recent_work: dict[str, deque] = {}  # (time, work) of the last second at each server in slow start
        self.effects: Counter = Counter()  # how often each txn took effect, by key or id
        self.kinds: dict[str, str] = {}  # kind of each txn, by key or id
        self.violations: dict[int, list[str]] = {rule: [] for rule in range(1, 6)}
        self.counts: Counter = Counter()
        self.lag = 0
        # Routers that a fault stopped, and until when their answers may be late. No answer is due for a withdrawn txn.
        self.excused_until: dict[int, int] = {}

    def add_violation(self, rule: int, text: str) -> None:
        self.counts[f"rule_{rule}"] += 1
        if len(self.violations[rule]) < MAX_STORED_VIOLATIONS:
            self.violations[rule].append(text)

    def has_no_violations(self) -> bool:
        return not any(self.violations.values())

    # Events of clients.

    def sent(self, conn, stream: int, client_try: Try) -> None:
        self.tries[conn, stream] = client_try
        self.by_ident[client_try.ident] = client_try
        self.order.append((client_try.limit_at, client_try.ident))
        self.kinds[client_try.key or client_try.ident] = client_try.kind
        self.counts["tries"] += 1

    def answered(self, conn, stream: int, status: str, at: int, issued: int | None = None, wrong: str = "") -> Try | None:
        """A client got an answer. `issued`: when the copy in a completed answer was issued; `wrong`: why the answer is invalid."""
        client_try = self.tries.pop((conn, stream), None)
        if client_try is None:
            self.add_violation(1, f"an answer to nobody, or a second client_try, on stream {stream}")
            return None
        if at < self.excused_until.get(getattr(conn, "router", -1), 0) and not client_try.withdrawn:
            return None
        if client_try.withdrawn:  # an answer may cross the withdrawal, but must not come later
            if at - client_try.withdrawn > SLACK + LAB_DELAY + self.lag:
                self.add_violation(1, f"txn {client_try.ident}: answered {(at - client_try.withdrawn) // MS} ms after it was withdrawn")
            return None
        client_try.answered = at
        self.counts[status] += 1
        if wrong:
            self.add_violation(1, f"txn {client_try.ident}: {wrong}")
        if at > client_try.limit_at + SLACK + LAB_DELAY + self.lag:
            self.add_violation(1, f"txn {client_try.ident}: answered {(at - client_try.limit_at) // MS} ms after its time limit")
        if status == "rejected" and client_try.kind == "unrepeatable" and any(hop.end not in NEVER_RAN for hop in client_try.hops):
            self.add_violation(2, f"txn {client_try.ident}: rejected as harmless to try again, and it may have run")
        if status == "completed" and issued is not None:
            hop_began_at = max((hop.first for hop in client_try.hops if hop.end == "ACK"), default=client_try.sent)
            for obj, group, made_at, announced_at in self.purges:
                if (
                    (obj == client_try.obj or obj is None and group in (-1, client_try.group))
                    and issued < made_at - MS
                    and hop_began_at > announced_at + PURGE_GRACE + self.lag
                ):
                    self.add_violation(
                        5,
                        f"txn {client_try.ident}: a copy {(made_at - issued) // MS} ms older than a purge, "
                        f"asked {(hop_began_at - announced_at) // MS} ms after it was told",
                    )
                    break
        return client_try

    def forget(self, before: int) -> None:
        """Drops tries whose time limit was before the given time, so that memory does not grow in a long run."""
        while self.order and self.order[0][0] < before:
            self.by_ident.pop(self.order.popleft()[1], None)

    def withdrew(self, conn, stream: int, at: int) -> None:
        client_try = self.tries.get((conn, stream))
        if client_try is not None:
            client_try.withdrawn = at

    def closed(self, conn, at: int, fault: bool) -> list[Try]:
        """A connection ended, so its open tries are lost. That is a violation unless a fault of the run took the router away."""
        lost = [self.tries.pop(try_key) for try_key in [try_key for try_key in self.tries if try_key[0] is conn]]
        lost = [client_try for client_try in lost if not client_try.withdrawn]
        for client_try in lost:
            self.counts["lost"] += 1
            if not fault and at < client_try.limit_at + SLACK:
                self.add_violation(1, f"txn {client_try.ident}: its connection ended without an answer")
        return lost

    def finish(self, at: int) -> None:
        """Checks at the end of a run for tries without an answer in time and for effects that took place twice."""
        for client_try in self.tries.values():
            if not client_try.withdrawn and at > client_try.limit_at + SLACK + LAB_DELAY + self.lag:
                self.add_violation(1, f"txn {client_try.ident}: no answer {(at - client_try.limit_at) // MS} ms after its time limit")
        for name, times in self.effects.items():
            if times > 1 and self.kinds.get(name) != "repeatable":
                self.add_violation(2, f"{self.kinds.get(name, 'unknown')} txn {name}: its effect took place {times} times")

    # Events of servers.

    def state_announced(self, name: str, state: str, at: int) -> None:
        if self.states.get(name, ("", 0))[0] != state:
            self.states[name] = (state, at)

    def hop_arrived(self, server: str, source: str | None, ident: str, at: int, first: int | None = None) -> Hop | None:
        """A server received a hop whose first byte was written at `first` (default: `at`). The caller enters the end of the hop into the
        returned record. Drains count from the first byte: a hop that the router began in time may arrive late."""
        self.counts["hops"] += 1
        first = at if first is None else first
        for name, role in ((server, "a hop"), (source, "a fill source")):
            state, since = self.states.get(name, ("up", 0)) if name else ("up", 0)
            if state != "up" and first > since + DRAIN_GRACE + LAB_DELAY + self.lag:
                self.add_violation(3, f"{role} {(first - since) // MS} ms after {name} was told to be {state}")
        client_try = self.by_ident.get(ident)
        if client_try is None:
            self.add_violation(1, f"a hop for txn {ident}, which nobody sent")
            return None
        ran_at = [hop.arrived_at for hop in client_try.hops if hop.end not in NEVER_RAN]
        if ran_at and client_try.kind == "unrepeatable":
            self.add_violation(2, f"unrepeatable txn {ident} sent again, and it may have run")
        if ran_at and client_try.kind == "keyed" and at - ran_at[0] > self.repeat_window + LAB_DELAY:
            self.add_violation(2, f"keyed txn {ident} sent again {(at - ran_at[0]) // MS} ms after it may have run")
        client_try.hops.append(Hop(at, first))
        return client_try.hops[-1]

    def limit_passed_on(self, ident: str, limit_ms: int, first: int) -> None:
        """A router passed a time limit on to a server in a request whose first byte was written at `first`."""

    def count_work(self, work: int) -> None:
        """A server received a request of `work` ns."""

    def started(self, name: str, at: int) -> None:
        """The start of a server in slow start is announced at this time."""

    def slow_start_work(self, name: str, rating: float, work: int, at: int) -> None:
        """A server in slow start received `work` ns of transfers, and at present runs `rating` transfers at full speed."""
        rows = self.recent_work.setdefault(name, deque())
        rows.append((at, work))
        while rows[0][0] < at - SECOND:
            rows.popleft()
        total, largest = sum(amount for _, amount in rows), max(amount for _, amount in rows)
        if total > self.fall_multiple * rating * SECOND + 2 * self.routers * largest:
            self.add_violation(4, f"{name}: asked for {total / SECOND:.1f} s of transfers in a second, able to do {rating:.1f}")

    def effect(self, name: str) -> None:
        self.effects[name] += 1

    def purged(self, obj: str | None, group: int, made_at: int, announced_at: int) -> None:
        self.purges.append((obj, group, made_at, announced_at))
