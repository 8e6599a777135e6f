"""Whether something may be sent, repeated, closed or started now. All paths of the program ask here.

Each question is a function or a small class without I/O that gets all it needs as arguments. A refusal is an enum member, so that callers
can count and log its reason. Times are whole nanoseconds unless a name ends in `_s`. `docs/design/promises.md` lists the promises that
the answers keep."""

from __future__ import annotations

import errno
from collections import OrderedDict, deque
from enum import Enum

from fieldspur.record import record

MS = 1_000_000
NEVER = 1 << 62
UP, GONE = "up", "gone"
REPEAT_MARGIN = 50 * MS  # for a repeat to reach its server after it is written: what the protocol allows for each time limit
FRAME_WAIT_S = 2.0  # for the next bytes of an unfinished frame
FRAME_LIMIT_S = 30.0  # for a whole frame, however steadily its bytes come
IDLE_WAIT_S = 5.0  # clients close by themselves after 4 s without a request
MAX_USELESS_FRAMES = 16  # frames of no use that a connection may send without a wait
USELESS_FRAMES_PER_S = 8.0  # rate at which they are forgotten
MAX_USELESS_DEBT = 64.0  # useless frames that are remembered at most: a connection is as any other some seconds after it stops
AFTER_SHUT_S = 0.5  # for a client to close its side after this side was shut
RESOURCES_EXHAUSTED = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM))
# Errors of `connect` and `socket` that this machine causes and not the server: they do not count against the server, and nothing was sent.
LOCAL_CONNECT_ERRORS = RESOURCES_EXHAUSTED | {errno.EADDRNOTAVAIL, errno.EAGAIN, errno.EINTR, errno.EPERM, errno.EACCES}
# A missing route is taken for a short failure of this machine at first, and for the server's failure if it lasts.
NO_ROUTE = frozenset((errno.ENETUNREACH, errno.ENETDOWN))
ACCEPT_FAILING_S = 0.25  # a shorter series of failing accepts is retried without closing any connection
START_RETRY_S = 5.0  # a start has 10 s until it has to be ready
GATE_WAIT_SHARE = 0.4  # share of its remaining time that a txn may wait at a gate; a rejection after half of it costs the client more
CROSSING_S = 0.1  # a client may still have sent a request before it saw that this side was shut; it then sends the request again


class Refusal(str, Enum):
    """Why a hop may not be sent, or a txn may not be taken or repeated."""

    SERVER_NOT_UP = "server_not_up"
    SERVER_MOVED = "server_moved"  # its listed address differs from the address of the hop's connection
    SERVER_RESTARTED = "server_restarted"  # since the hop was decided
    SOURCE_NOT_UP = "source_not_up"
    SOURCE_RESTARTED = "source_restarted"
    PLACEMENT_IN_DOUBT = "placement_in_doubt"  # the fleet may have released the server or the source for maintenance
    PURGED_SINCE = "purged_since"  # the hop would accept a copy older than a purge
    WAITED_TOO_LONG = "waited_too_long"  # for its connection
    TOO_LATE_TO_GO = "too_late_to_go"  # past the repeat window, or past the slow start budget window that the hop was charged to
    DEADLINE_OVER = "deadline_over"
    CLIENT_LEFT = "client_left"
    CONNECTION_ENDED = "connection_ended"
    NOT_IDEMPOTENT = "not_idempotent"
    REPEAT_WINDOW_OVER = "repeat_window_over"
    OTHER_REPEAT_GROUP = "other_repeat_group"
    OPEN_REQUESTS = "open_requests"  # the settings allow no more open txns
    EVENTS_BEHIND = "events_behind"
    BODY_MEMORY = "body_memory"
    FRAME_MEMORY = "frame_memory"  # for a request that has come in part


class GiveUp(str, Enum):
    """Why a txn is given up, which means that it is rejected or aborted at once."""

    TOO_LARGE = "too_large"  # to be sent in its time
    OUT_OF_TIME = "out_of_time"
    ATTEMPTS_SPENT = "attempts_spent"
    NO_SERVER = "no_server"  # no server may be used, or all are too busy for the worth of the txn
    NO_SOURCE = "no_source"
    NOT_RETRIED = "not_retried"  # its hop failed, and another hop is impossible or not worth its cost
    PROGRAM_ENDS = "program_ends"
    INTERNAL_ERROR = "internal_error"  # an unforeseen error occurred while the txn was handled


class CloseReason(str, Enum):
    """Why a client's connection is shut or cut off."""

    IDLE = "idle"
    HALF_FRAME = "half a frame"
    AFTER_SHUT = "shut"  # the client does not close its side
    NO_READER = "takes no answers"
    UNREADABLE = "unreadable"
    DESCRIPTORS = "descriptors"
    NO_THREAD = "no thread"
    NO_OPTIONS = "no options"  # no socket options can be set, because the client reset the connection before it was accepted


# Hops.


@record(frozen=True)
class Endpoint:
    """A server as discovery lists it. `started` tells its processes apart: when the process started (Unix ns), or 0 where it has run since
    before the list was first read."""

    address: tuple[str, int]
    state: str
    started: int = 0


class HopRules:
    """What a hop depends on until it is written: states of endpoints, purges, and the time limit for connecting.

    Purges are numbered in the order in which discovery reports them, from 1 on, those of the configuration included. The Router is told
    of each a moment later, and each hop has the number of the last purge that the Router knew at its decision. All of it is counted
    here: two counts of the same events could come to differ."""

    def __init__(self, connect_limit: int):
        self.connect_limit = connect_limit
        self.endpoints: dict[str, Endpoint] = {}  # listed servers by name
        self.is_uncertain = None  # set by a fleet: a function that tells whether a server may have been released for maintenance
        self.purges = 0  # number of the last purge that was reported
        self.known_purges = 0  # number of the last purge that the Router knows
        self.dropped_purges = 0  # the purges up to this number are not in `purged` any more
        self.purged: OrderedDict[str | int, int] = OrderedDict()  # number of the latest purge by object or group, in the order of numbers
        # (number of a purge, when the Router learned of it), for the purges that it knows and that are not dropped yet.
        self.learned: deque[tuple[int, int]] = deque()

    def listed(self, name: str, address: tuple[str, int], state: str, started: int = 0) -> None:
        """Discovery listed a server. A server that is gone is forgotten, and so is its address."""
        if state == GONE:
            self.endpoints.pop(name, None)
        else:
            self.endpoints[name] = Endpoint(address, state, started)

    def add_purge(self, key: str | int, now: int) -> None:
        """Discovery reported a purge. Hops that were decided without it and are not written yet would accept copies that are too old."""
        self.purges += 1
        self.purged[key] = self.purges
        self.purged.move_to_end(key)
        self.drop_purges(now)

    def purge_learned(self, number: int, now: int) -> None:
        """The Router was told of the purge with this number: the hops that it decides from now on take account of it."""
        self.known_purges = number
        self.learned.append((number, now))

    def drop_purges(self, now: int) -> None:
        """Drops the purges that the Router has known for longer than the connect limit: a hop that was decided without them is never
        written. Only the thread that reports purges calls it. Other threads look a purge up before they look at `dropped_purges`, so
        that they find it in one of the two."""
        while self.learned and now - self.learned[0][1] > self.connect_limit:
            self.dropped_purges = self.learned.popleft()[0]
        while self.purged and self.purged[oldest := next(iter(self.purged))] <= self.dropped_purges:
            del self.purged[oldest]

    def refusal(self, hop, now: int) -> Refusal | None:
        """Why a hop that was decided a while ago may not be written now. `hop` is a Hop of net/server_connection.py: it names its server
        and its source, has their starts as they were known at the decision, and has `want` None for a probe."""
        endpoint = self.endpoints.get(hop.server)
        if endpoint is None or endpoint.state != UP:
            return Refusal.SERVER_NOT_UP
        if endpoint.address != hop.address:
            return Refusal.SERVER_MOVED
        if endpoint.started != hop.server_start:
            return Refusal.SERVER_RESTARTED
        if now - hop.decided_at > self.connect_limit:
            return Refusal.WAITED_TOO_LONG
        if now > hop.go_by:
            return Refusal.TOO_LATE_TO_GO
        if now >= hop.cut_at > 0:
            return Refusal.DEADLINE_OVER
        source = hop.source
        if source is not None:
            endpoint = self.endpoints.get(source)
            if endpoint is None or endpoint.state != UP:
                return Refusal.SOURCE_NOT_UP
            if endpoint.started != hop.source_start:
                return Refusal.SOURCE_RESTARTED
        if self.is_uncertain is not None and (self.is_uncertain(hop.server) or source is not None and self.is_uncertain(source)):
            return Refusal.PLACEMENT_IN_DOUBT
        if hop.want is not None:
            if self.purged and hop.purges < max(self.purged.get(hop.want.obj, 0), self.purged.get(hop.group, 0)):
                return Refusal.PURGED_SINCE
            if hop.purges < self.dropped_purges:
                return Refusal.WAITED_TOO_LONG
        return None


# Repeats.


def repeat_refusal(rule, earlier_hops: list, server, now: int) -> Refusal | None:
    """Why a txn may not go to `server`: after `earlier_hops`, each of which may have run, it could take effect twice."""
    if not earlier_hops or rule.kind == "repeatable":
        return None
    if rule.kind == "unrepeatable":
        return Refusal.NOT_IDEMPOTENT
    if now - earlier_hops[0].sent >= rule.dedup_window - REPEAT_MARGIN:
        return Refusal.REPEAT_WINDOW_OVER
    same_scope = all(
        rule.dedup_scope == "all"
        or (rule.dedup_scope == "zone" and server.zone == hop.server.zone)
        or (rule.dedup_scope == "cell" and server.cell == hop.server.cell)
        for hop in earlier_hops
    )
    return None if same_scope else Refusal.OTHER_REPEAT_GROUP


def repeat_deadline(rule, earlier_hops: list) -> int:
    """When a further hop has to be written at the latest; NEVER where the rule sets no limit."""
    if rule.kind != "keyed" or not earlier_hops:
        return NEVER
    return min(hop.sent for hop in earlier_hops) + rule.dedup_window - REPEAT_MARGIN


def may_promise_no_effect(rule, earlier_hops: list) -> bool:
    """Whether "rejected", which tells the client that a retry is harmless, may be answered after hops that may have run."""
    return rule.kind == "repeatable" or not earlier_hops or (rule.kind == "keyed" and rule.dedup_scope == "all")


def may_come_again(rule, unsent: bool) -> bool:
    """Whether a request whose client has left may be taken once more under its id, as a new txn that knows nothing of the first.

    `unsent`: no attempt of it was written or will be. A keyed one may not come again: its window runs from the first attempt, which the new
    txn does not know."""
    return unsent or rule.kind == "repeatable"


# Admission.


def admission_refusal(
    open_txns: int, max_open_txns: int, queued_events: int, max_queued_events: int, body_bytes: int, max_body_bytes: int
) -> Refusal | None:
    """Why a further txn is rejected at once. `body_bytes`: the bodies of all open txns, including this one."""
    if open_txns >= max_open_txns:
        return Refusal.OPEN_REQUESTS
    if queued_events >= max_queued_events:
        return Refusal.EVENTS_BEHIND
    if body_bytes > max_body_bytes:
        return Refusal.BODY_MEMORY
    return None


# Client connections.


class UselessFrameBudget:
    """Tells whether a connection sends so much of no use that its reader has to wait for its turn (net/admission.py).

    Useless are requests that can't be used, requests beyond the number that may be open, and queries and withdrawals that change nothing.
    A connection may send some at any time; beyond that, each takes its share of a rate, and requests of use make up for it."""

    def __init__(self, now: float):
        self.useless_frames, self.counted_at = 0.0, now  # not yet made up for; seconds of one clock

    def add(self, useless: int, useful: int, now: float) -> bool:
        """Counts the frames of one read. Returns whether the next read has to wait for its turn."""
        made_up = (now - self.counted_at) * USELESS_FRAMES_PER_S + useful
        self.useless_frames, self.counted_at = max(0.0, self.useless_frames - made_up) + useless, now
        self.useless_frames = min(self.useless_frames, MAX_USELESS_DEBT)
        return self.useless_frames > MAX_USELESS_FRAMES


@record()
class ClientState:
    """State of a client's connection when the sweep checks it. Times are seconds of one clock."""

    shut_at: float  # when this side was shut, 0 while it is not
    has_open_txns: bool
    writing: bool  # answers wait for the client to read them
    failed: bool  # the client sent something unreadable
    unfinished_bytes: int  # received bytes of an unfinished frame
    frame_since: float  # when that frame began
    since: float  # when the last bytes of that frame came, when reading failed, or when the connection was accepted
    idle_since: float  # when something was last written
    sent_valid_request: bool  # such a client may be idle for longer


def close_reason(client: ClientState, now: float, no_reader_s: float) -> CloseReason | None:
    """Why a connection is to be closed now, or None. A client that waits for an answer is never closed only because it is slow, nor one
    whose request comes slowly: what it completes would be read and never answered."""
    waited_s, idle_s = now - client.since, now - client.idle_since
    if client.shut_at:
        return CloseReason.AFTER_SHUT if now - client.shut_at > AFTER_SHUT_S else None
    if client.has_open_txns:
        return None
    if client.writing:
        return CloseReason.NO_READER if idle_s > no_reader_s else None
    if client.failed:
        return CloseReason.UNREADABLE if waited_s > AFTER_SHUT_S else None
    if client.unfinished_bytes:
        return CloseReason.HALF_FRAME if waited_s > FRAME_WAIT_S or now - client.frame_since > FRAME_LIMIT_S else None
    return CloseReason.IDLE if idle_s > (IDLE_WAIT_S if client.sent_valid_request else FRAME_WAIT_S) else None


# Connections to servers.


def counts_against_server(error_number: int | None) -> bool:
    """Whether a connect that finally failed with this errno is the server's failure, and not this machine's."""
    return error_number not in LOCAL_CONNECT_ERRORS


def may_redial(error_number: int | None, left_s: float) -> bool:
    """Whether a connect that failed with this errno is tried again. `left_s`: the rest of its time."""
    return left_s > 0 and (error_number in LOCAL_CONNECT_ERRORS or error_number in NO_ROUTE)


# The listener.


class AcceptFailures:
    """Decides what a failing accept requires. A short failure closes no connection: new clients wait in the system's backlog. Only when
    resources stay exhausted are idle clients closed to free descriptors."""

    def __init__(self):
        self.failing_since = 0.0  # 0: resources are not exhausted
        self.freed_descriptors = False  # since the last accept that succeeded

    def succeeded(self) -> None:
        """An accept succeeded. If descriptors had to be freed for it, resources still count as exhausted."""
        if not self.freed_descriptors:
            self.failing_since = 0.0
        self.freed_descriptors = False

    def should_free_descriptors(self, error_number: int | None, now: float) -> bool:
        """Whether idle clients are to be closed after an accept that failed with this errno."""
        if error_number not in RESOURCES_EXHAUSTED:
            return False
        self.failing_since = self.failing_since or now
        self.freed_descriptors |= now - self.failing_since >= ACCEPT_FAILING_S
        return self.freed_descriptors


def may_cut(shut_at: float, now: float) -> bool:
    """Whether a connection that was shut at `shut_at` may be cut off to free its descriptor: a request sent before the client saw the
    shutdown has arrived by then."""
    return now - shut_at > CROSSING_S


# Starts and reloads.


def may_try_again(error_number: int | None, tried_s: float) -> bool:
    """Whether a start or a reload tries a failed system call again, because resources may be exhausted for a moment only."""
    return error_number in RESOURCES_EXHAUSTED and tried_s < START_RETRY_S


# Txns that come before the list of servers is known.


class StartupGate:
    """Closed until discovery has caught up after a start, for `wait` ns at the longest. A router that has just started has only the list
    in its file, which may be older than discovery's list, so it decides nothing until the gate opens."""

    def __init__(self, now: int, wait: int, max_waiting: int):
        self.shut_at, self.opens_at, self.max_waiting = now, now + wait, max_waiting

    def wait_until(self, now: int, deadline: int, waiting: int) -> int:
        """Until when a txn may wait for the gate to open; then it is given up. A time that is not after `now`: it is given up at once.
        `waiting`: number of txns that wait already."""
        if waiting >= self.max_waiting:
            return now
        return min(now + int((deadline - now) * GATE_WAIT_SHARE), self.opens_at + max(0, deadline - self.opens_at) // 2)


class ClosedGate:
    """Closed until it is replaced: a router that can't know which servers it may use rejects txns at once."""

    def __init__(self):
        self.shut_at = 0

    def wait_until(self, now: int, deadline: int, waiting: int) -> int:
        return now


# The program's end.


def may_exit(all_shut: bool, open_txns: int, answers_owed: bool) -> bool:
    """Whether an ending program may exit: no connection can bring a request, and no answer is owed."""
    return all_shut and not open_txns and not answers_owed
