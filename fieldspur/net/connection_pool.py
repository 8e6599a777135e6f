"""Connections to cache servers: which one a hop goes over, whether it may still go out, and its one end."""

from __future__ import annotations

import logging
import threading
import time

from fieldspur.decide import LANES
from fieldspur.net import resp
from fieldspur.net.client_writer import CLIENT_LEFT, UNREAD_BYTES, AnswerSender
from fieldspur.net.invariants import check_invariant
from fieldspur.net.logs import ReasonCounter
from fieldspur.net.nonblocking import MONOTONIC_TO_UNIX_NS
from fieldspur.net.open_txns import Answer, OpenTxns
from fieldspur.net.server_connection import ConnectionEnd, Hop, ServerConnection
from fieldspur.permissions import HopRules, Refusal
from fieldspur.site import MS, Deployment

log = logging.getLogger("fieldspur.send")
CLIENT_CHECK_AFTER = 20 * MS  # a txn taken that long ago has waited for something: its client may have left meanwhile
LOOK_IDLE = 20 * MS  # a connection on which nothing came for that long may have been closed meanwhile


class ConnectionPool:
    """All connections to servers. Under the Router's lock things are only put into queues here."""

    def __init__(self, site: Deployment, open_txns: OpenTxns, answer_sender: AnswerSender, max_connections: int):
        self.site, self.open_txns, self.answer_sender, self.max_connections = site, open_txns, answer_sender, max_connections
        self.host = None  # set by it
        self.discovery, self.discovery_checked_at = None, 0  # the board, set by who has both; when a hop last looked at it
        self.rules = HopRules(site.connect_timeout)
        self.refusals = ReasonCounter(Refusal)  # attempts that did not go out
        self.connection_ends = ReasonCounter(ConnectionEnd)
        self.outstanding: dict[int, Hop] = {}  # the attempt of each request that has gone out and has not ended
        self.last_break_at = 0  # when a connection last broke under hops
        self.lock = threading.Lock()
        self.connections: dict[str, list[ServerConnection]] = {}
        self.endpoints = self.rules.endpoints
        # One hop outstanding at a time: by txn, the one given up of which its server was not told yet, and the next, which waits.
        self.undelivered_cancels: dict[int, Hop] = {}
        self.waiting_for_cancel: dict[int, Hop] = {}

    def update_endpoint(self, name: str, address: tuple[str, int], state: str, started: int = 0) -> None:
        """Discovery's word, by its thread. The endpoints change under the lock under which attempts get their connections: a connection
        is either made before and looked at here, or is not made."""
        with self.lock:
            before = self.endpoints.get(name)
            self.rules.listed(name, address, state, started)
            now = self.endpoints.get(name)
            lanes = [lane for lane in self.connections.get(name, ()) if now is None or now.address != lane.address]
            for lane in lanes:
                lane.retired = True  # what is under way there may end
        if before is None or before.state != state:
            log.info("endpoint", extra={"kv": {"server": name, "state": state, "was": before.state if before else "-"}})
        for lane in lanes:
            lane.close_if_unused()

    def enqueue(self, hop: Hop) -> ServerConnection | None:
        """The hop waits in the lane given back, to be pumped; its end is reported later, whatever happens."""
        lanes = self.connections.get(hop.server, ())[:2]  # a copy: another thread may take one out
        if len(lanes) == 1 and not self.last_break_at and hop.server in self.endpoints and lanes[0].enqueue(hop, sure=False):
            return lanes[0]  # the ordinary case of what follows
        while True:
            lane = self.connection_for(hop)
            if lane is None:
                return self.end_hop(hop, "unsent")
            if lane.enqueue(hop):
                return lane

    def connection_for(self, hop: Hop) -> ServerConnection | None:
        with self.lock:
            endpoint = self.endpoints.get(hop.server)  # once: discovery's thread may remove it at any moment
            if endpoint is None:
                return None
            lanes = self.connections.setdefault(hop.server, [])
            free = [lane for lane in lanes if lane.accepts(hop)]
            best = min(free, key=lambda lane: len(lane.open_hops)) if free else None
            breaking = time.monotonic_ns() + MONOTONIC_TO_UNIX_NS - self.last_break_at < self.site.idle_timeout
            if best is not None and (
                not best.open_hops or len(lanes) >= (LANES if breaking else 1) or self.unlocked_count() >= self.max_connections // 2
            ):
                return best  # beyond half of the descriptors further ones are for servers that have none
            if self.unlocked_count() >= self.max_connections:
                log.warning("lanes_full", extra={"kv": {"server": hop.server, "lanes": self.max_connections}})
                return None
            try:
                lanes.append(ServerConnection(self, hop.server, endpoint.address, patient=best is None))
            except (RuntimeError, OSError) as wrong:  # the system gives no further thread or descriptor
                log.error("no_lane", extra={"kv": {"server": hop.server, "why": str(wrong)}})
                return best
            return lanes[-1]

    def unlocked_count(self) -> int:
        return sum(map(len, self.connections.values()))

    def connection_count(self) -> int:
        with self.lock:
            return self.unlocked_count()

    def remove_connection(self, lane: ServerConnection) -> None:
        with self.lock:
            lanes = self.connections.get(lane.server, [])
            if lane in lanes:
                lanes.remove(lane)
            if not lanes:
                self.connections.pop(lane.server, None)

    def claim_end(self, hop: Hop) -> bool:
        """Whoever claims a hop reports its one end."""
        with self.lock:
            first, hop.ended = not hop.ended, True
            if self.outstanding.get(hop.ident) is hop:
                del self.outstanding[hop.ident]
            return first

    def purge_received(self, obj: str | None, group: int) -> None:
        """Attempts decided before, and not written, would ask for copies too old."""
        self.rules.add_purge(obj if obj is not None else group, time.monotonic_ns() + MONOTONIC_TO_UNIX_NS)
        self.refuse_stale_hops()

    def refuse_stale_hops(self) -> None:
        with self.lock:
            lanes = [lane for lanes in self.connections.values() for lane in lanes if lane.queue]
        for lane in lanes:
            lane.refuse_stale_hops()

    def wait_for_discovery(self) -> None:
        """Waits, a moment at most, for what discovery has sent and is not told yet."""
        if self.discovery is not None:
            self.discovery.wait_until_caught_up()
            self.discovery_checked_at = time.monotonic_ns() + MONOTONIC_TO_UNIX_NS

    def start_attempt(self, hop: Hop) -> bool:
        """Just before a hop is written: it may have been given up, or not be right any more, or its client may have gone: of a txn
        that has waited, a close, reset or withdrawal may lie unread in the socket. What lies there is for the client's own reader,
        which puts the hop back into its queue once it has worked that off."""
        now = time.monotonic_ns() + MONOTONIC_TO_UNIX_NS
        if hop.ended:
            return False
        if now - hop.connection.last_received_at > LOOK_IDLE and hop.connection.peer_closed():
            self.refuse(hop, Refusal.CONNECTION_ENDED)
            return False
        if hop.want is not None:
            txn = self.open_txns.by_id.get(hop.ident)  # gone: withdrawn by its reader, and the Router has not heard of it yet
            if txn is not None and now - txn.taken_at > CLIENT_CHECK_AFTER:
                if (found := txn.client_writer.check_client(hop)) is UNREAD_BYTES:
                    return False
                if found is CLIENT_LEFT:
                    if self.open_txns.withdraw(txn.ident, client_left=True):  # else its reader did so just now
                        self.host.post(self.host.txn_withdrawn, txn.ident)
                    txn = None
            if txn is None:
                self.refuse(hop, Refusal.CLIENT_LEFT)
                return False
        with self.lock:
            if hop.ended:
                return False  # its name was taken out of the lane by who gave it up
            if hop.ident in self.undelivered_cancels and self.undelivered_cancels[hop.ident].connection is not hop.connection:
                self.waiting_for_cancel[hop.ident] = hop
                return False
            refusal = self.rules.refusal(hop, now)
            if refusal is None:
                hop.written_at = now
                if hop.want is not None:
                    if hop.cut_at:  # what its client has left now, not when this was decided
                        hop.want.limit_ms = (hop.cut_at - now + MS - 1) // MS
                    before = self.outstanding.get(hop.ident)
                    if before is not None and before is not hop:
                        check_invariant(False, "one attempt of a request outstanding", txn=hop.name, attempt=hop.number)
                    self.outstanding[hop.ident] = hop
                return True
        self.refuse(hop, refusal)
        return False

    def refuse(self, hop: Hop, reason: Refusal) -> None:
        """The attempt does not go out: it never ran."""
        self.refusals.add(reason)
        if log.isEnabledFor(logging.DEBUG):
            log.debug("refused", extra={"kv": {"txn": hop.name, "attempt": hop.number, "server": hop.server, "why": reason.value}})
        with hop.connection.lock:
            hop.connection.open_hops.pop(hop.name, None)
        self.end_hop(hop, "unsent")

    def give_up(self, hop: Hop, now: int) -> bool:
        """Stop waiting; true where the caller is to report the end."""
        if not self.claim_end(hop):
            return False
        if hop.connection is not None:
            hop.connection.remove_hop(hop, now)
        return True

    def cancel_delivered(self, hop: Hop) -> None:
        """The server was told that the hop is given up, or the connection has ended: the txn's next may go."""
        with self.lock:
            if self.undelivered_cancels.get(hop.ident) is hop:
                del self.undelivered_cancels[hop.ident]
            after = self.waiting_for_cancel.pop(hop.ident, None)
        if after is not None:
            after.connection.requeue(after)

    def end_hop(self, hop: Hop, result: str) -> None:
        if self.claim_end(hop):
            self.report_end(hop, result)

    def report_end(self, hop: Hop, result: str, reply: resp.Reply | None = None, at: int = 0) -> None:
        self.host.post(self.host.hop_ended, hop, result, (at or time.monotonic_ns() + MONOTONIC_TO_UNIX_NS) - hop.decided_at, reply)

    def handle_reply(self, hop: Hop, reply: resp.Reply, at: int, cork: list | None = None) -> None:
        if not self.claim_end(hop):
            return
        if hop.want is not None and reply.result == "completed":
            unchanged = reply.current_tag is not None
            if unchanged and reply.current_tag != hop.want.tag:
                log.warning("spoilt", extra={"kv": {"server": hop.server, "why": "calls a copy current that the client does not hold"}})
                return self.report_end(hop, "error")
            answer = Answer("completed", 0, unchanged, reply.body)
            owed = hop.ident, hop.number
            self.answer_sender.undelivered.add(owed)
            txn = self.open_txns.settle(hop.ident, answer)
            if txn is not None:
                self.answer_sender.answer(txn, answer, cork)
            self.answer_sender.undelivered.discard(owed)
        reply.body = b""  # it lay in the connection's buffer
        self.report_end(hop, reply.result, reply, at)
