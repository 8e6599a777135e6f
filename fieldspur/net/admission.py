"""Checks clients' requests, gives each a number and a time limit, and passes valid ones on to the Router as txns.

Requests are refused here only if they are invalid or a limit of this process is reached; routing is decided elsewhere."""

from __future__ import annotations

import logging

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
            problem = (
                "verb: unknown"
                if rule_index < 0
                else "unique: missing"
                if keyed and not request.key
                else "txn: used before"
                if self.open_txns.is_known_name(request.txn)
                else ""
            )
        else:
            rule_index, problem = -1, request.why
        ident = next(self.open_txns.txn_numbers)
        if not client_writer.open_stream(request.stream, ident):
            return False
        if problem:
            self.open_txns.count("unusable")
            log.warning("unusable", extra={"kv": {"why": problem}})
            client_writer.answer(request.stream, Answer("aborted"))
            return False
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
            self.open_txns.count("full")
            self.refusals.add(refusal)
            client_writer.answer(request.stream, Answer("rejected", self.retry_after_ms))
            return True
        self.open_txns.add(txn)
        self.router_host.post(self.router_host.txn_arrived, txn)
        return True
