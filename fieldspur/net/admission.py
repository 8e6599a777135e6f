"""Checks clients' requests, gives each a number and a time limit, and passes valid ones on to the Router as txns.

Requests are refused here only if they are invalid or a limit of this process is reached; routing is decided elsewhere.
Connections that send much of no use are processed one at a time, see ReadTurns."""

from __future__ import annotations

import logging
import threading
import time
from collections import deque

from fieldspur.net.client_writer import ClientWriter
from fieldspur.net.frames import Request, UnusableRequest
from fieldspur.net.logs import ReasonCounter
from fieldspur.net.open_txns import Answer, OpenTxns, Txn
from fieldspur.net.timer_wheel import NEVER
from fieldspur.permissions import Refusal, admission_refusal
from fieldspur.site import MS, Deployment

log = logging.getLogger("fieldspur.admit")
# The protocol adds this to each time limit. A router cannot see how long a request lay in its socket, nor how long the
# client takes to read the answer, so half of the slack is reserved for each of the two ways and none for waiting.
PROTOCOL_SLACK = 50 * MS
PAUSE_PER_WORK = 2.0  # length of the pause after a reader's turn, as a multiple of the turn's length
MAX_PAUSE_S = 0.02  # so that a turn which was long only because the machine was busy does not hold up the others


class Admission:
    """Turns requests into open txns, or answers them at once."""

    def __init__(self, site: Deployment, open_txns: OpenTxns, router_host, max_body_bytes: int):
        self.open_txns, self.router_host, self.max_open_txns, self.max_body_bytes = (
            open_txns,
            router_host,
            site.max_open_txns,
            max_body_bytes,
        )
        self.retry_after_ms = site.router_options["max_retry_after"] // MS
        self.refusals = ReasonCounter(Refusal)  # requests that were rejected here, by reason
        self.latest_deadline = NEVER  # caps the deadline of every txn, because an ending program is killed shortly after this time
        self.time_limits = [rule.time_limit for rule in site.rules]
        # By rule name: the rule's index, and whether the rule is keyed.
        self.rules = {name: (index, site.rules[index].kind == "keyed") for index, name in enumerate(site.rule_names)}

    def handle_request(self, request: Request | UnusableRequest, client_writer: ClientWriter, received_at: int) -> bool:
        """Ensures that the request gets exactly one answer on its stream, unless it is withdrawn. Returns whether it was usable."""
        if isinstance(request, Request):
            rule_index, keyed = self.rules.get(request.rule, (-1, False))
            problem = "verb: unknown" if rule_index < 0 else "unique: missing" if keyed and not request.key else ""
        else:
            rule_index, problem = -1, request.why if request.refusal is None else ""
        ident = next(self.open_txns.txn_numbers)
        if not client_writer.open_stream(request.stream, ident):
            return False
        if problem:
            return self.abort_unusable(request.stream, client_writer, problem)
        if rule_index < 0:
            return self.refuse(request.stream, client_writer, request.refusal)
        time_limit = min(request.limit, self.time_limits[rule_index])  # a client cannot keep a txn open for longer than its rule allows
        txn = Txn(
            ident,
            request.txn,
            rule_index,
            request.rule,
            request.obj,
            request.part,
            request.group,
            request.kb,
            request.key,
            request.tag,
            request.body,
            received_at,
            # A Router that lags by `recent_lag` would answer late by as much, so the lag shortens the time limit.
            min(received_at + time_limit - PROTOCOL_SLACK // 2 - self.router_host.recent_lag, self.latest_deadline),
            client_writer,
            request.stream,
        )
        refusal = admission_refusal(
            len(self.open_txns.by_id),
            self.max_open_txns,
            len(self.router_host.queue),
            self.router_host.max_queued,
            self.open_txns.body_bytes + len(txn.body),
            self.max_body_bytes,
        )
        if refusal is not None:
            return self.refuse(request.stream, client_writer, refusal)
        if not self.open_txns.add(txn):
            return self.abort_unusable(request.stream, client_writer, "txn: used before")
        self.router_host.post(self.router_host.txn_arrived, txn)
        return True

    def refuse(self, stream: int, client_writer: ClientWriter, refusal: Refusal) -> bool:
        """Answers a request for which a limit of this process leaves no room. Returns True: the request may be usable."""
        self.open_txns.count("full")
        self.refusals.add(refusal)
        client_writer.answer(stream, Answer("rejected", self.retry_after_ms))
        return True

    def abort_unusable(self, stream: int, client_writer: ClientWriter, problem: str) -> bool:
        """Answers a request that can't be used. Returns False."""
        self.open_txns.count("unusable")
        log.warning("unusable", extra={"kv": {"why": problem}})
        client_writer.answer(stream, Answer("aborted"))
        return False


class ReadTurns:
    """One turn to process a read, which is passed from reader to reader in the order in which they asked for it. Any thread may ask.

    All readers share one interpreter with the threads that decide and answer. If hundreds of connections send at full speed what is only
    to be refused, each step of every other thread waits behind hundreds of readers. Such connections are therefore processed one at a
    time, with a pause after each; permissions.UselessFrameBudget tells which connections these are."""

    def __init__(self):
        self.lock = threading.Lock()  # guards the fields below
        self.taken = False
        self.waiting: deque[threading.Lock] = deque()  # one held lock for each waiting reader; releasing it passes the turn to that reader
        self.began = 0.0  # when the present turn began

    def take(self) -> None:
        """Waits for the turn."""
        with self.lock:
            if self.taken:
                passed_on = threading.Lock()
                passed_on.acquire()
                self.waiting.append(passed_on)
            else:
                self.taken, passed_on = True, None
        if passed_on is not None:
            passed_on.acquire()
        self.began = time.monotonic()

    def pass_on(self) -> None:
        """Pauses, then gives the turn to the next reader. Only the reader that has the turn may call it."""
        time.sleep(min(MAX_PAUSE_S, PAUSE_PER_WORK * (time.monotonic() - self.began)))
        with self.lock:
            if self.waiting:
                self.waiting.popleft().release()
            else:
                self.taken = False
