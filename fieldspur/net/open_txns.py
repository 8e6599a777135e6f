"""The open txns. Each txn that was added is open until it gets its one final answer or is withdrawn."""

from __future__ import annotations

import itertools
import threading

from fieldspur.net.invariants import check_invariant
from fieldspur.record import record

MAX_RECENT_NAMES = 4096  # names of ended txns in one generation
MAX_KEPT_NAMES = 4096


@record()
class Answer:
    """The final answer to a txn."""

    outcome: str  # "completed", "rejected" or "aborted"
    retry_after_ms: int = 0
    unchanged: bool = False  # the copy that the client holds is still current
    body: memoryview | bytes = b""


@record(eq=False)
class Txn:
    """A client's request that was admitted, with the connection and the stream that its answer goes to."""

    ident: int  # this router's own number of the txn
    name: str  # the client's id of the txn
    rule_index: int
    rule: str  # name of its remap rule
    obj: str  # id of the object
    part: int  # number of the object's part
    group: int  # the object's purge group
    kb: float  # size in KB as the client states it, or 0
    key: str | None  # idempotency key of a keyed txn
    tag: str | None  # tag of the copy that the client holds
    body: bytes
    taken_at: int
    limit_at: int  # when its time limit ends
    client_writer: object  # the ClientWriter of the connection that its answer goes to
    stream: int
    hop_count: int = 0
    last_hop: object = None  # the latest Hop of net/server_connection.py


class OpenTxns:
    """Open txns by number, and counts of how txns end. A thread may answer a txn only if it has removed the txn from `by_id`."""

    def __init__(self):
        self.by_id: dict[int, Txn] = {}
        self.txn_numbers = itertools.count(1)
        self.lock = threading.Lock()
        # The ids that clients gave to their txns, each of which may be used only once: those of all open txns, and of the last
        # MAX_RECENT_NAMES others or more. They are in two generations, as dropping a whole set is cheaper than evicting ids singly.
        self.recent_names: set[str] = set()
        self.older_names: set[str] = set()
        self.max_recent_names = MAX_RECENT_NAMES
        self.kept_names: dict[str, None] = {}  # see `keep_name`; the oldest first
        self.body_bytes = 0  # total size of the bodies of open txns
        self.counts = dict.fromkeys(("taken", "completed", "rejected", "aborted", "withdrawn", "unusable", "full", "late", "held_back"), 0)

    def count(self, event: str, body_bytes_change: int = 0) -> None:
        with self.lock:
            self.counts[event] += 1
            self.body_bytes += body_bytes_change

    def add(self, txn: Txn) -> bool:
        """Opens the txn. Returns False, and changes nothing, if its name is known: of two txns under one name that come at the same
        moment on two connections, one is opened."""
        if txn.ident in self.by_id:
            check_invariant(False, "a new number for each txn", txn=txn.ident)
        with self.lock:
            if txn.name in self.recent_names or txn.name in self.older_names or txn.name in self.kept_names:
                return False
            self.by_id[txn.ident] = txn
            self.recent_names.add(txn.name)
            if len(self.recent_names) > self.max_recent_names:
                self.drop_older_names()
            self.counts["taken"] += 1
            self.body_bytes += len(txn.body)
        return True

    def drop_older_names(self) -> None:
        """Forgets the older generation of names, but not those of open txns. The caller holds the lock."""
        self.older_names, self.recent_names = self.recent_names, {txn.name for txn in list(self.by_id.values())}
        self.max_recent_names = MAX_RECENT_NAMES + len(self.recent_names)

    def settle(self, ident: int, answer: Answer) -> Txn | None:
        """Removes the txn and returns it to the caller, who must send it `answer`. None if the txn has been answered or withdrawn."""
        txn = self.by_id.pop(ident, None)
        if txn is None:
            self.count("late")
        else:
            self.count(answer.outcome, -len(txn.body))
        return txn

    def withdraw(self, ident: int) -> Txn | None:
        """Removes a txn that its client no longer waits for, and returns it; it gets no answer. None if the txn was not open any more."""
        txn = self.by_id.pop(ident, None)
        if txn is not None:
            self.count("withdrawn", -len(txn.body))
        return txn

    def forget_name(self, name: str) -> None:
        """Lets a client use the id again, because its client left and nothing that must not happen twice can come of it."""
        with self.lock:
            self.recent_names.discard(name)
            self.older_names.discard(name)

    def keep_name(self, name: str) -> None:
        """Remembers the id of a txn whose client left and whose effect may have happened, for longer than the ids of others: it may come
        again on another connection."""
        with self.lock:
            self.kept_names[name] = None
            if len(self.kept_names) > MAX_KEPT_NAMES:
                del self.kept_names[next(iter(self.kept_names))]
