"""Validity, a number of our own and the time limit. What is well formed goes to the Router; nothing is decided."""

from __future__ import annotations

import logging

from fieldspur.net.client_writer import ClientWriter
from fieldspur.net.frames import Request, UnusableRequest
from fieldspur.net.logs import ReasonCounter
from fieldspur.net.open_txns import Answer, OpenTxns, Txn
from fieldspur.net.timer_wheel import NEVER
from fieldspur.permissions import Refusal, take_refusal
from fieldspur.site import MS, Deployment

log = logging.getLogger("fieldspur.admit")
SLACK = 50 * MS  # what the protocol adds to each time limit. A router can't see how long a request lay in its socket
# or how long its answer takes to be read; half of the slack is taken to go each way, and none is spent on waiting.
# Where the Router runs behind, so much more is taken off, for it would answer late by that.


class Admission:
    def __init__(self, site: Deployment, open_txns: OpenTxns, route, most_bytes: int):
        self.open_txns, self.route, self.most_open, self.most_bytes = open_txns, route, site.most_open, most_bytes
        self.retry_after_ms = site.router["longest_come_back"] // MS
        self.refusals = ReasonCounter(Refusal)  # requests turned away here
        self.latest_deadline = NEVER  # every txn has its answer by then: an ending program is killed soon after
        self.limits = [rule.limit for rule in site.rules]
        self.rules = {name: (at, site.rules[at].kind == "keyed") for at, name in enumerate(site.rule_names)}

    def handle_request(self, request: Request | UnusableRequest, client_writer: ClientWriter, now: int) -> bool:
        """Exactly one answer follows on the request's stream, unless it is withdrawn. Whether it was of use."""
        if isinstance(request, Request):
            at, keyed = self.rules.get(request.rule, (-1, False))
            why = (
                "verb: unknown"
                if at < 0
                else "unique: missing"
                if keyed and not request.key
                else "txn: used before"
                if self.open_txns.known(request.txn)
                else ""
            )
        else:
            at, why = -1, request.why
        ident = next(self.open_txns.idents)
        if not client_writer.open_stream(request.stream, ident):
            return False
        if why:
            self.open_txns.count("unusable")
            log.warning("unusable", extra={"kv": {"why": why}})
            client_writer.answer(request.stream, Answer("aborted"))
            return False
        limit = min(request.limit, self.limits[at])  # nobody may hold a place here for longer
        txn = Txn(
            ident,
            request.txn,
            at,
            request.rule,
            request.obj,
            request.part,
            request.group,
            request.kb,
            request.key,
            request.tag,
            request.body,
            now,
            min(now + limit - SLACK // 2 - self.route.behind, self.latest_deadline),
            client_writer,
            request.stream,
        )
        refusal = take_refusal(
            len(self.open_txns.by_id),
            self.most_open,
            len(self.route.queue),
            self.route.most_queued,
            self.open_txns.bytes + len(txn.body),
            self.most_bytes,
        )
        if refusal is not None:
            self.open_txns.count("full")
            self.refusals.add(refusal)
            client_writer.answer(request.stream, Answer("rejected", self.retry_after_ms))
            return True
        self.open_txns.add(txn)
        self.route.post(self.route.arrived, txn)
        return True
