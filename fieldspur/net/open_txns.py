"""The book: every txn taken is open, or has had its one final answer, or was withdrawn."""

from __future__ import annotations

import itertools
import threading

from fieldspur.net.invariants import check_invariant
from fieldspur.record import record

MOST_NAMES = 4096


@record()
class Answer:
    outcome: str  # "completed", "rejected" or "aborted"
    retry_after_ms: int = 0
    unchanged: bool = False  # the client's own copy is the one
    body: memoryview | bytes = b""


@record(eq=False)
class Txn:
    ident: int
    name: str  # the client's id of it
    rule_index: int
    rule: str
    obj: str
    part: int
    group: int
    kb: float
    key: str | None
    tag: str | None
    body: bytes
    taken_at: int
    limit_at: int
    client_writer: object  # where its answer goes
    stream: int
    hop_count: int = 0


class OpenTxns:
    """Open txns and counts. Taking a txn out of `open` is what gives the right to answer it."""

    def __init__(self):
        self.by_id: dict[int, Txn] = {}
        self.idents = itertools.count(1)
        self.lock = threading.Lock()
        self.names: set[str] = set()  # clients' ids of txns; each is to be new
        self.older: set[str] = set()  # those before, forgotten together: taking the oldest out one by one costs more
        self.bytes = 0  # of open txns' bodies
        self.counts = dict.fromkeys(("taken", "completed", "rejected", "aborted", "withdrawn", "unusable", "full", "late", "held_back"), 0)

    def count(self, what: str, size: int = 0) -> None:
        with self.lock:
            self.counts[what] += 1
            self.bytes += size

    def add(self, txn: Txn) -> None:
        if txn.ident in self.by_id:
            check_invariant(False, "a new number for each txn", txn=txn.ident)
        self.by_id[txn.ident] = txn
        with self.lock:
            self.names.add(txn.name)
            if len(self.names) > MOST_NAMES:
                self.older, self.names = self.names, set()
            self.counts["taken"] += 1
            self.bytes += len(txn.body)

    def known(self, name: str) -> bool:
        """Whether it is one of the last MOST_NAMES ids, or of up to as many before."""
        return name in self.names or name in self.older

    def settle(self, ident: int, answer: Answer) -> Txn | None:
        """The txn, for whoever is to give it its one final answer; None where it has had its end already."""
        txn = self.by_id.pop(ident, None)
        if txn is None:
            self.count("late")
        else:
            self.count(answer.outcome, -len(txn.body))
        return txn

    def withdraw(self, ident: int, client_left: bool = False) -> bool:
        """The client waits no more, and no answer is owed. With `left` its connection ended: it may come again."""
        txn = self.by_id.pop(ident, None)
        if txn is not None:
            self.count("withdrawn", -len(txn.body))
            if client_left:
                with self.lock:
                    self.names.discard(txn.name)
                    self.older.discard(txn.name)
        return txn is not None
