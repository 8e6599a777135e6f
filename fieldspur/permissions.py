"""Whether something may be sent, repeated, closed or started now: the one place that says so, for every path of the program.

Each question is a function or a small class that is free of I/O and is told all that it needs. A refusal is a member of an enum, so
that callers can count and log its reason. Times are whole nanoseconds unless a name ends in `_s`; `docs/design/promises.md` lists the
promises behind the answers."""

from __future__ import annotations

import errno
from collections import OrderedDict
from enum import Enum

from fieldspur.record import record

MS = 1_000_000
NEVER = 1 << 62
UP, GONE = "up", "gone"
REPEAT_MARGIN = 50 * MS  # a repeat's way from its write to its server: what the protocol allows for each time limit
FRAME_WAIT_S = 2.0  # for the rest of a frame that has begun
IDLE_WAIT_S = 5.0  # clients close by themselves after 4 s without a request
AFTER_SHUT_S = 0.5  # for a client's own close after this side was shut
OUT_OF_ROOM = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM))
# What `connect` and `socket` say of this machine and not of the server: it speaks against nobody, and nothing was sent. No route is this
# machine's matter for a moment, and the server's if it lasts.
OWN_DIAL_FAILURES = OUT_OF_ROOM | {errno.EADDRNOTAVAIL, errno.EAGAIN, errno.EINTR, errno.EPERM, errno.EACCES}
NO_ROUTE = frozenset((errno.ENETUNREACH, errno.ENETDOWN))
ACCEPT_FAILING_S = 0.25  # an accept that fails for less is a passing failure: it is tried again, and nobody pays for it
TRY_AGAIN_S = 5.0  # a start has 10 s until it has to be ready
GATE_PATIENCE = 0.4  # share of a request's time left that it may wait at a gate; past half of it a refusal costs the client more
CROSSING_S = 0.1  # after this side was shut, a client may have a request under way, which it then sends again


class Refusal(str, Enum):
    """Why an attempt may not go out, or a request not be taken or sent again."""

    SERVER_NOT_UP = "server_not_up"
    SERVER_MOVED = "server_moved"  # it is listed at another address than the attempt's connection leads to
    SERVER_RESTARTED = "server_restarted"  # another process stands in its place than the one that the attempt was decided for
    SOURCE_NOT_UP = "source_not_up"
    SOURCE_RESTARTED = "source_restarted"
    PLACEMENT_IN_DOUBT = "placement_in_doubt"  # the fleet may have given the server out for maintenance
    PURGED_SINCE = "purged_since"  # it would ask for a copy older than a purge
    WAITED_TOO_LONG = "waited_too_long"  # for its connection
    TOO_LATE_TO_GO = "too_late_to_go"  # past the repeat window, or the span of a slow start that it was charged to
    DEADLINE_OVER = "deadline_over"
    CLIENT_LEFT = "client_left"
    CONNECTION_ENDED = "connection_ended"
    NOT_IDEMPOTENT = "not_idempotent"
    REPEAT_WINDOW_OVER = "repeat_window_over"
    OTHER_REPEAT_GROUP = "other_repeat_group"
    OPEN_REQUESTS = "open_requests"  # as many as the settings allow
    EVENTS_BEHIND = "events_behind"
    BODY_MEMORY = "body_memory"


class GiveUp(str, Enum):
    """Why a request is given up: its final answer is "refused" or "failed" at once."""

    TOO_LARGE = "too_large"  # to be sent in its time
    OUT_OF_TIME = "out_of_time"
    ATTEMPTS_SPENT = "attempts_spent"
    NO_SERVER = "no_server"  # none may be used, or all are too crowded for what it is worth
    NO_SOURCE = "no_source"
    NOT_RETRIED = "not_retried"  # its attempt failed, and a further one is not worth it, or not left
    PROGRAM_ENDS = "program_ends"
    INTERNAL_ERROR = "internal_error"  # an unforeseen error came while it was handled


class CloseReason(str, Enum):
    """Why a client's connection is shut or cut off."""

    IDLE = "idle"
    HALF_FRAME = "half a frame"
    AFTER_SHUT = "shut"  # the client does not close its side
    NO_READER = "takes no answers"
    UNREADABLE = "unreadable"
    FRAME_MEMORY = "frame memory"
    DESCRIPTORS = "descriptors"
    NO_THREAD = "no thread"
    NO_OPTIONS = "no options"  # it was reset before it came here


# Attempts.


@record(frozen=True)
class Endpoint:
    """A listed server as discovery tells it: where it is, its state, and which process it is, by that one's start (Unix ns; 0: it has
    stood from the first)."""

    address: tuple[str, int]
    state: str
    started: int = 0


class HopRules:
    """What an attempt depends on until it is written: states of endpoints, purges, and how long a dial may take."""

    def __init__(self, dial_limit: int):
        self.dial_limit = dial_limit
        self.endpoints: dict[str, Endpoint] = {}  # as listed, by name
        self.is_uncertain = None  # where routers settle things among themselves: whether an endpoint may not be used now
        self.purges = 0  # told so far
        # By object or group, as they were told: (number of the latest purge, when it was told).
        self.purged: OrderedDict[str | int, tuple[int, int]] = OrderedDict()

    def listed(self, name: str, address: tuple[str, int], state: str, started: int = 0) -> None:
        """Discovery told of an endpoint; one that is gone is forgotten, and with it where it was."""
        if state == GONE:
            self.endpoints.pop(name, None)
        else:
            self.endpoints[name] = Endpoint(address, state, started)

    def add_purge(self, key: str | int, now: int) -> None:
        """Attempts decided before, and not written, would ask for copies too old. One older than a dial may take is not written at all, so
        a purge is forgotten after that."""
        self.purges += 1
        self.purged[key] = self.purges, now
        self.purged.move_to_end(key)
        while now - self.purged[oldest := next(iter(self.purged))][1] > self.dial_limit:
            del self.purged[oldest]

    def refusal(self, attempt, now: int) -> Refusal | None:
        """Why an attempt that was decided a while ago may not go out now. `attempt` has server and source, the starts of both as they
        were known to who decided, the address of its connection, asked, go_by, cut_at, group, purges and want (None for a probe)."""
        endpoint = self.endpoints.get(attempt.server)
        if endpoint is None or endpoint.state != UP:
            return Refusal.SERVER_NOT_UP
        if endpoint.address != attempt.address:
            return Refusal.SERVER_MOVED
        if endpoint.started != attempt.server_start:
            return Refusal.SERVER_RESTARTED
        if now - attempt.decided_at > self.dial_limit:
            return Refusal.WAITED_TOO_LONG
        if now > attempt.go_by:
            return Refusal.TOO_LATE_TO_GO
        if now >= attempt.cut_at > 0:
            return Refusal.DEADLINE_OVER
        source = attempt.source
        if source is not None:
            endpoint = self.endpoints.get(source)
            if endpoint is None or endpoint.state != UP:
                return Refusal.SOURCE_NOT_UP
            if endpoint.started != attempt.source_start:
                return Refusal.SOURCE_RESTARTED
        if self.is_uncertain is not None and (self.is_uncertain(attempt.server) or source is not None and self.is_uncertain(source)):
            return Refusal.PLACEMENT_IN_DOUBT
        if (
            self.purged
            and attempt.want is not None
            and attempt.purges < max(self.purged.get(attempt.want.obj, (0, 0))[0], self.purged.get(attempt.group, (0, 0))[0])
        ):
            return Refusal.PURGED_SINCE
        return None


# Repeats.


def repeat_refusal(rule, ran: list, server, now: int) -> Refusal | None:
    """Why a request may not go to `server` after the attempts in `ran`, each of which may have run: an effect would happen twice."""
    if not ran or rule.kind == "repeatable":
        return None
    if rule.kind == "unrepeatable":
        return Refusal.NOT_IDEMPOTENT
    if now - ran[0].sent >= rule.dedup_window - REPEAT_MARGIN:
        return Refusal.REPEAT_WINDOW_OVER
    same = all(
        rule.dedup_scope == "all"
        or (rule.dedup_scope == "zone" and server.zone == attempt.server.zone)
        or (rule.dedup_scope == "cell" and server.cell == attempt.server.cell)
        for attempt in ran
    )
    return None if same else Refusal.OTHER_REPEAT_GROUP


def repeat_deadline(rule, ran: list) -> int:
    """By when a further attempt has to be written; NEVER where nothing limits it."""
    if rule.kind != "keyed" or not ran:
        return NEVER
    return min(attempt.sent for attempt in ran) + rule.dedup_window - REPEAT_MARGIN


def may_promise_no_effect(rule, ran: list) -> bool:
    """Whether "refused", which says that trying again is harmless, may be answered after the attempts in `ran`."""
    return rule.kind == "repeatable" or not ran or (rule.kind == "keyed" and rule.dedup_scope == "all")


# Requests.


def admission_refusal(
    open_requests: int, most_open: int, queued: int, most_queued: int, body_bytes: int, most_bytes: int
) -> Refusal | None:
    """Why a further request is refused at once. `body_bytes`: of all open ones, this one included."""
    if open_requests >= most_open:
        return Refusal.OPEN_REQUESTS
    if queued >= most_queued:
        return Refusal.EVENTS_BEHIND
    if body_bytes > most_bytes:
        return Refusal.BODY_MEMORY
    return None


# Clients' connections.


@record()
class ClientState:
    """A client's connection as the sweep sees it; times in seconds of one clock."""

    shut_at: float  # since when this side is shut, 0 while it is not
    open_requests: bool
    writing: bool  # answers wait for the client to read
    failed: bool  # it sent what can't be read
    held: int  # bytes of an unfinished frame
    since: float  # when that frame began, or the connection could not be read, or was accepted
    idle_since: float  # when something was last written
    proved: bool  # has sent a request that could be used


def close_reason(client: ClientState, now: float, no_reader_s: float) -> CloseReason | None:
    """Why a connection is to be closed now, if it is. One that owes an answer is never closed for being slow alone."""
    waited, idle = now - client.since, now - client.idle_since
    if client.shut_at:
        return CloseReason.AFTER_SHUT if now - client.shut_at > AFTER_SHUT_S else None
    if client.open_requests:
        return CloseReason.HALF_FRAME if client.held and waited > FRAME_WAIT_S else None
    if client.writing:
        return CloseReason.NO_READER if idle > no_reader_s else None
    if client.failed:
        return CloseReason.UNREADABLE if waited > AFTER_SHUT_S else None
    if client.held:
        return CloseReason.HALF_FRAME if waited > FRAME_WAIT_S else None
    return CloseReason.IDLE if idle > (IDLE_WAIT_S if client.proved else FRAME_WAIT_S) else None


# Connections to servers.


def counts_against_server(number: int | None) -> bool:
    """Whether a dial that failed with that errno to its end says something of the server, and not of this machine."""
    return number not in OWN_DIAL_FAILURES


def may_redial(number: int | None, left_s: float) -> bool:
    """Whether a dial that failed with that errno is tried again, with so much of its time left."""
    return left_s > 0 and (number in OWN_DIAL_FAILURES or number in NO_ROUTE)


# The listener.


class AcceptFailures:
    """What a failing accept means. A failure that passes costs nobody a connection: whoever waits, waits in the system's queue. Only
    where room is short for a while do clients that rest make some."""

    def __init__(self):
        self.failing_since = 0.0  # 0: room is not short
        self.made = False  # room was made since the last accept that succeeded

    def succeeded(self) -> None:
        """An accept gave a connection; where room had to be made for it, room is as short as before."""
        if not self.made:
            self.failing_since = 0.0
        self.made = False

    def should_free_descriptors(self, number: int | None, now: float) -> bool:
        """After an accept that failed with that errno: whether clients that rest are to be let go for it."""
        if number not in OUT_OF_ROOM:
            return False
        self.failing_since = self.failing_since or now
        self.made |= now - self.failing_since >= ACCEPT_FAILING_S
        return self.made


def may_cut(shut_at: float, now: float) -> bool:
    """Whether a connection whose side was shut then may be cut off for its descriptor, without harm to what crosses the shut."""
    return now - shut_at > CROSSING_S


# Starts and reloads.


def may_try_again(number: int | None, tried_s: float) -> bool:
    """Whether what a start or a reload asked of the system, and did not get, is asked for again: room that is short for a moment."""
    return number in OUT_OF_ROOM and tried_s < TRY_AGAIN_S


# Requests that come before the list of servers is known.


class StartupGate:
    """ClosedGate until discovery has caught up after a start, for `wait` at the longest. A router that has just started has the list of its
    file, which may be older than what discovery holds: it decides nothing on it before."""

    def __init__(self, now: int, wait: int, most: int):
        self.shut_at, self.opens_at, self.most = now, now + wait, most  # most: requests that wait at a time

    def wait_until(self, now: int, limit_at: int, waiting: int) -> int:
        """Until when a request may wait; it is given up then, unless the gate has opened. Not past `now`: at once."""
        if waiting >= self.most:
            return now
        return min(now + int((limit_at - now) * GATE_PATIENCE), self.opens_at + max(0, limit_at - self.opens_at) // 2)


class ClosedGate:
    """ClosedGate until somebody opens it: a router that can't know which servers it may use turns requests away at once."""

    def __init__(self):
        self.shut_at = 0

    def wait_until(self, now: int, limit_at: int, waiting: int) -> int:
        return now


# The program's end.


def may_exit(all_shut: bool, open_requests: int, answers_owed: bool) -> bool:
    """Whether an ending program may leave: nothing can be taken any more, and nothing is owed."""
    return all_shut and not open_requests and not answers_owed
