"""The connections to cache servers: chooses the connection of a hop, checks whether the hop may still be written, reports its one end."""

from __future__ import annotations

import logging
import threading
import time

from fieldspur.decide import MAX_CONNECTIONS_WHILE_BREAKING
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
CLIENT_CHECK_AFTER = 20 * MS  # a txn taken that long ago has waited for something, and its client may have left meanwhile
TXN_LOCKS = 64
IDLE_CHECK_AFTER = 20 * MS  # a connection on which nothing was received for that long may have been closed meanwhile


class ConnectionPool:
    """All connections to servers. While a thread holds the Router's lock, it only puts hops into queues here, and writes nothing."""

    def __init__(self, site: Deployment, open_txns: OpenTxns, answer_sender: AnswerSender, max_connections: int):
        self.site, self.open_txns, self.answer_sender, self.max_connections = site, open_txns, answer_sender, max_connections
        self.host = None  # the RouterHost, which sets it
        # The discovery client (set by the Service), and when a write last waited for its unread events.
        self.discovery, self.discovery_checked_at = None, 0
        self.rules = HopRules(site.connect_timeout)
        self.refusals = ReasonCounter(Refusal)  # attempts that were not written, by reason
        self.connection_ends = ReasonCounter(ConnectionEnd)
        self.outstanding: dict[int, Hop] = {}  # by txn: its attempt that is written and has not ended
        self.last_break_at = 0  # when a connection last broke with written hops open on it
        self.lock = threading.Lock()  # guards the connections and the changes of endpoints
        # Each guards the hops of some txns: `Hop.ended`, and their entries in `outstanding`, `undelivered_cancels`, `waiting_for_cancel`.
        # One lock for all would be contended for by every client's thread, and the thread that has the Router's lock may have to take
        # it a hundred times in a row, to cancel what waits for a silent server.
        self.txn_locks = tuple(threading.Lock() for _ in range(TXN_LOCKS))
        self.connections: dict[str, list[ServerConnection]] = {}  # by server
        self.endpoints = self.rules.endpoints
        # A txn may have one hop outstanding at a time. By txn: its cancelled hop of which the server is not told yet, and its next hop,
        # which waits for that.
        self.undelivered_cancels: dict[int, Hop] = {}
        self.waiting_for_cancel: dict[int, Hop] = {}

    def update_endpoint(self, name: str, address: tuple[str, int], state: str, started: int = 0) -> None:
        """Applies a list change, called by the discovery thread. Endpoints change under the same lock under which hops get their
        connections: a connection to an old address is either made before and retired here, or not made at all."""
        with self.lock:
            previous = self.endpoints.get(name)
            self.rules.listed(name, address, state, started)
            current = self.endpoints.get(name)
            outdated = [
                connection for connection in self.connections.get(name, ()) if current is None or current.address != connection.address
            ]
            for connection in outdated:
                connection.retired = True  # its open hops may end
        if previous is None or previous.state != state:
            log.info("endpoint", extra={"kv": {"server": name, "state": state, "was": previous.state if previous else "-"}})
        for connection in outdated:
            connection.close_if_unused()

    def enqueue(self, hop: Hop) -> ServerConnection | None:
        """Queues the hop on a connection and returns that connection, on which the caller then calls `write_queued`. The hop's end is
        reported later in any case."""
        connections = self.connections.get(hop.server, ())[:2]  # a copy: another thread may remove a connection
        if len(connections) == 1 and not self.last_break_at and hop.server in self.endpoints and connections[0].enqueue(hop, checked=False):
            return connections[0]  # the ordinary case; the code below handles all cases
        while True:
            connection = self.connection_for(hop)
            if connection is None:
                return self.end_hop(hop, "unsent")
            if connection.enqueue(hop):
                return connection

    def connection_for(self, hop: Hop) -> ServerConnection | None:
        """Returns the connection with the fewest open hops, or a new one; None if the server is not listed or no connection can be had."""
        with self.lock:
            endpoint = self.endpoints.get(hop.server)  # read once: the discovery thread may remove it at any moment
            if endpoint is None:
                return None
            connections = self.connections.setdefault(hop.server, [])
            free = [connection for connection in connections if connection.accepts(hop)]
            best = min(free, key=lambda connection: len(connection.open_hops)) if free else None
            broke_recently = time.monotonic_ns() + MONOTONIC_TO_UNIX_NS - self.last_break_at < self.site.idle_timeout
            if best is not None and (
                not best.open_hops
                or len(connections) >= (MAX_CONNECTIONS_WHILE_BREAKING if broke_recently else 1)
                or self.unlocked_count() >= self.max_connections // 2
            ):
                return best  # the second half of the descriptors is kept for servers that have no connection
            if self.unlocked_count() >= self.max_connections:
                log.warning("lanes_full", extra={"kv": {"server": hop.server, "lanes": self.max_connections}})
                return None
            try:
                connections.append(ServerConnection(self, hop.server, endpoint.address, patient=best is None))
            except (RuntimeError, OSError) as error:  # the system has no further thread or descriptor
                log.error("no_lane", extra={"kv": {"server": hop.server, "why": str(error)}})
                return best
            return connections[-1]

    def unlocked_count(self) -> int:
        """Counts the connections without taking the lock."""
        return sum(map(len, self.connections.values()))

    def connection_count(self) -> int:
        with self.lock:
            return self.unlocked_count()

    def remove_connection(self, connection: ServerConnection) -> None:
        with self.lock:
            connections = self.connections.get(connection.server, [])
            if connection in connections:
                connections.remove(connection)
            if not connections:
                self.connections.pop(connection.server, None)

    def claim_end(self, hop: Hop) -> bool:
        """Returns True to the first caller only, who then has to report the hop's end."""
        with self.txn_locks[hop.ident % TXN_LOCKS]:
            is_first, hop.ended = not hop.ended, True
            if self.outstanding.get(hop.ident) is hop:
                del self.outstanding[hop.ident]
            return is_first

    def purge_received(self, obj: str | None, group: int) -> None:
        """Refuses queued attempts that were decided before the purge: they would accept copies that are too old."""
        self.rules.add_purge(obj if obj is not None else group, time.monotonic_ns() + MONOTONIC_TO_UNIX_NS)
        self.refuse_stale_hops()

    def refuse_stale_hops(self) -> None:
        """Refuses all queued hops that may not be written any more."""
        with self.lock:
            with_queue = [connection for connections in self.connections.values() for connection in connections if connection.queue]
        for connection in with_queue:
            connection.refuse_stale_hops()

    def wait_for_discovery(self) -> None:
        """Waits, for a moment at most, until the events that discovery has sent are applied."""
        if self.discovery is not None:
            self.discovery.wait_until_caught_up()
            self.discovery_checked_at = time.monotonic_ns() + MONOTONIC_TO_UNIX_NS

    def start_attempt(self, hop: Hop) -> bool:
        """Called right before a hop is written; returns whether it may be written now, and marks it as written if so.

        The hop may have ended, may not be allowed any more, or its client may have left: if the txn has waited, the client's close, reset
        or withdrawal may lie unread in its socket. Unread bytes are left to the client's own reader, which queues the hop again once it
        has processed them."""
        now = time.monotonic_ns() + MONOTONIC_TO_UNIX_NS
        if hop.ended:
            return False
        if now - hop.connection.last_received_at > IDLE_CHECK_AFTER and hop.connection.peer_closed():
            self.refuse(hop, Refusal.CONNECTION_ENDED)
            return False
        if hop.want is not None:
            txn = self.open_txns.by_id.get(hop.ident)  # None: withdrawn by the client's reader, which the Router does not know yet
            if txn is not None and now - txn.taken_at > CLIENT_CHECK_AFTER:
                if (client_state := txn.client_writer.check_client(hop)) is UNREAD_BYTES:
                    return False
                if client_state is CLIENT_LEFT:
                    if self.open_txns.withdraw(txn.ident) is not None:  # None: the client's reader has just done so
                        self.host.post(self.host.txn_withdrawn, txn.ident, txn)
                    txn = None
            if txn is None:
                self.refuse(hop, Refusal.CLIENT_LEFT)
                return False
        with self.txn_locks[hop.ident % TXN_LOCKS]:
            if hop.ended:
                return False  # the thread that cancelled it has removed it from the connection
            if hop.ident in self.undelivered_cancels and self.undelivered_cancels[hop.ident].connection is not hop.connection:
                self.waiting_for_cancel[hop.ident] = hop
                return False
            refusal = self.rules.refusal(hop, now)
            if refusal is None:
                hop.written_at = now
                if hop.want is not None:
                    if hop.cut_at:  # the time that its client has left now, not at the decision
                        hop.want.limit_ms = (hop.cut_at - now + MS - 1) // MS
                    previous = self.outstanding.get(hop.ident)
                    if previous is not None and previous is not hop:
                        check_invariant(False, "one attempt of a request outstanding", txn=hop.name, attempt=hop.number)
                    self.outstanding[hop.ident] = hop
                return True
        self.refuse(hop, refusal)
        return False

    def refuse(self, hop: Hop, reason: Refusal) -> None:
        """Ends a hop that may not be written: it never ran."""
        self.refusals.add(reason)
        if log.isEnabledFor(logging.DEBUG):
            log.debug("refused", extra={"kv": {"txn": hop.name, "attempt": hop.number, "server": hop.server, "why": reason.value}})
        with hop.connection.lock:
            hop.connection.open_hops.pop(hop.name, None)
        self.end_hop(hop, "unsent")

    def give_up(self, hop: Hop, now: int) -> bool:
        """Stops waiting for the hop. Returns True if the caller has to report its end."""
        if not self.claim_end(hop):
            return False
        if hop.connection is not None:
            hop.connection.remove_hop(hop, now)
        return True

    def cancel_delivered(self, hop: Hop) -> None:
        """The server is told that the hop is cancelled, or the connection has ended: the txn's next hop may be written."""
        with self.txn_locks[hop.ident % TXN_LOCKS]:
            if self.undelivered_cancels.get(hop.ident) is hop:
                del self.undelivered_cancels[hop.ident]
            next_hop = self.waiting_for_cancel.pop(hop.ident, None)
        if next_hop is not None:
            next_hop.connection.requeue(next_hop)

    def end_hop(self, hop: Hop, result: str) -> None:
        """Reports the end of the hop unless another thread does."""
        if self.claim_end(hop):
            self.report_end(hop, result)

    def report_end(self, hop: Hop, result: str, reply: resp.Reply | None = None, ended_at: int = 0) -> None:
        """Posts the end of the hop to the Router; without `ended_at` it ended now."""
        self.host.post(self.host.hop_ended, hop, result, (ended_at or time.monotonic_ns() + MONOTONIC_TO_UNIX_NS) - hop.decided_at, reply)

    def handle_reply(self, hop: Hop, reply: resp.Reply, received_at: int, corked_writers: list | None = None) -> None:
        """Sends the reply of a completed hop to its client, and reports the end of the hop. A client writer that is corked meanwhile is
        added to `corked_writers`."""
        if not self.claim_end(hop):
            return
        if hop.want is not None and reply.result == "completed":
            unchanged = reply.current_tag is not None
            if unchanged and reply.current_tag != hop.want.tag:
                log.warning("spoilt", extra={"kv": {"server": hop.server, "why": "calls a copy current that the client does not hold"}})
                return self.report_end(hop, "error")
            answer = Answer("completed", 0, unchanged, reply.body)
            undelivered = hop.ident, hop.number
            self.answer_sender.undelivered.add(undelivered)
            txn = self.open_txns.settle(hop.ident, answer)
            if txn is not None:
                self.answer_sender.answer(txn, answer, corked_writers)
            self.answer_sender.undelivered.discard(undelivered)
        reply.body = b""  # the view of the connection's buffer is not valid any longer
        self.report_end(hop, reply.result, reply, received_at)
