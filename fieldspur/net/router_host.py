"""The host of the Router: its lock, event queue and timers. No socket call is made while the lock is held."""

from __future__ import annotations

import itertools
import logging
import sys
import threading
import time
from collections import deque

from fieldspur.host import RESULTS
from fieldspur.net import resp
from fieldspur.net.client_writer import AnswerSender
from fieldspur.net.connection_pool import ConnectionPool
from fieldspur.net.discovery import ListChange, Purge
from fieldspur.net.invariants import check_invariant, contained_errors
from fieldspur.net.nonblocking import MONOTONIC_TO_UNIX_NS, latest_possible_time
from fieldspur.net.open_txns import Answer, OpenTxns, Txn
from fieldspur.net.server_connection import Hop
from fieldspur.net.timer_wheel import NEVER, TimerWheel
from fieldspur.permissions import GiveUp, StartupGate, may_come_again
from fieldspur.site import MS, Deployment, build_router

log = logging.getLogger("fieldspur.route")
LAG_FADE_TIME = 1_000 * MS  # `recent_lag` falls to 0 within that time
LAG_FADE_STEP = 1 * MS  # how often the fading is worked out

# Timers and hops have the key (ident, number). These stand in place of a txn's number:
PROBE = 0  # a probe
ALARM = -1  # an alarm of the Router; the number is the alarm's label
GATE_TIMEOUT = -2  # the end of a txn's wait at the startup gate; the number is the txn's
OVERDUE_CHECK = -3  # a check for overdue txns after an unforeseen error

OVERDUE_CHECK_INTERVAL = 100 * MS
OVERDUE_CHECK_TIME = 60_000 * MS  # for how long after an unforeseen error overdue txns are looked for
UNKNOWN_START = 0, 0  # entry of `server_starts` for a server that is not listed, or has been there from the first
ROUTER_ANSWER = -1  # in place of a hop's number: an answer that the Router itself gives
MAX_QUEUED = 512  # events; with more of them waiting, new txns are rejected at once
EVENTS_PER_TURN = 16  # events that are handled before the lock is released
MAX_TURNS = 8  # turns that a thread takes for events of others, before it leaves the rest to the timer thread
IDLE_TIMER_CHECK = 250 * MS  # when the timers are checked again although none is set
MAX_SLEEP_S = 3600.0  # longest sleep of the timer thread
BUSY_PAUSE_S = 0.0005  # pause of the timer thread while another thread handles events


class ThreadState(threading.local):
    """State of each thread that uses the host."""

    defers_events = False  # this thread handles the events that it posts later: it is in `process_queue` or in a batch


class RouterHost:
    """Runs the Router: one thread at a time calls it, with events that any thread posts and with timers that are due. Its calls of the
    host interface (host.Host) are carried out here; what they write to sockets goes out after the lock is released."""

    def __init__(self, site: Deployment, seed: int, open_txns: OpenTxns, answer_sender: AnswerSender, pool: ConnectionPool):
        self.site, self.open_txns, self.answer_sender, self.pool = site, open_txns, answer_sender, pool
        pool.host = self
        self.queue: deque = deque()  # events as (method, arguments, time posted); bounded by `max_queued` and the open txns
        self.max_queued = MAX_QUEUED
        self.lock = threading.Lock()  # guards the Router, the timers and everything below; threads never wait for it
        self.router_thread = None  # ident of the thread that holds `lock`
        # outbox: (connection, txn, answer), to be written once the lock is released; either the connection or the others are None.
        self.thread_state, self.outbox = ThreadState(), []
        self.timers, self.alarms = TimerWheel(), {}  # alarms: times of the Router's alarms by label
        self.next_timer_at = NEVER  # no timer is due before this time
        self.timer_was_set = self.timer_thread_asleep = False  # timer_was_set: since the last `run_due_timers`
        self.wakeup = threading.Lock()  # the timer thread sleeps on it; releasing it wakes the thread up
        self.wakeup.acquire()
        self.probe_numbers = itertools.count()
        self.server_starts: dict[str, tuple[int, int]] = {}  # by server: its start as listed, and by the program's clock
        self.hops: dict[tuple[int, int], Hop] = {}  # hops and probes that have not ended, by (ident, number)
        self.clock = time.monotonic_ns() + MONOTONIC_TO_UNIX_NS
        self.max_lag = 0  # the longest wait of an event or timer; the reader of this counter resets it
        self.recent_lag = 0  # the same, but fading: how late events are handled now
        self.lag_updated_at = self.clock
        self.router = build_router(self, seed, site)
        self.gate: StartupGate | None = None  # while it is set, new txns wait until the server list is known
        self.gated_txns: dict[int, Txn] = {}  # txns that wait at the gate, in their order of arrival
        self.attempts = dict.fromkeys(RESULTS, 0)  # number of ended hops and probes by result
        self.overdue_checks_until = 0  # until when `end_overdue_txns` is repeated

    # Events. Any thread posts them; one thread at a time handles them.

    def post(self, method, *arguments) -> None:
        """Posts an event, a method and its arguments, and handles the queue unless another thread does. That thread checks the queue again
        before it stops, so that no event is left behind and no thread waits for the lock."""
        self.queue.append((method, arguments, time.monotonic_ns() + MONOTONIC_TO_UNIX_NS))
        if not self.thread_state.defers_events:
            self.process_queue()

    def start_batch(self) -> None:
        """Events that this thread posts from now on wait for `finish_batch`, so that what they cause is written together."""
        self.thread_state.defers_events = True

    def finish_batch(self) -> None:
        """Handles the events that were posted since `start_batch`."""
        self.thread_state.defers_events = False
        if self.queue:
            self.process_queue()

    def process_queue(self, turns: int = MAX_TURNS) -> bool:
        """Handles queued events and due timers, or returns False if another thread is doing so. What the events cause on sockets is written
        after each turn of a few events, once the lock is released. With `turns` 0 the number of turns is not limited."""
        thread_state, queue, lock = self.thread_state, self.queue, self.lock
        thread_state.defers_events = True  # events that are posted by the code called below are handled by this loop
        try:
            while lock.acquire(False):
                try:
                    if self.router_thread is not None:
                        check_invariant(False, "one caller in the Router at a time")
                    self.router_thread = this_thread = threading.get_ident()
                    events_left = EVENTS_PER_TURN
                    while events_left:
                        self.clock = now = time.monotonic_ns() + MONOTONIC_TO_UNIX_NS
                        if now >= self.next_timer_at:
                            self.run_due_timers()
                        if not queue:
                            break
                        method, arguments, posted_at = queue.popleft()
                        lag = now - posted_at
                        if lag > self.max_lag or lag > self.recent_lag or now - self.lag_updated_at >= LAG_FADE_STEP:
                            self.record_lag(lag)
                        try:
                            method(*arguments)
                        except Exception:
                            self.contain_error(arguments)
                        events_left -= 1
                    if self.router_thread != this_thread:
                        check_invariant(False, "one caller in the Router at a time")
                    self.router_thread = None
                    outbox = self.outbox
                    if outbox:
                        self.outbox = []
                except Exception:  # an invariant is violated or this loop is faulty: reported here, whatever the calling thread makes of it
                    threading.excepthook(threading.ExceptHookArgs((*sys.exc_info(), threading.current_thread())))
                    raise
                finally:
                    lock.release()
                for connection, txn, answer in outbox:
                    if connection is not None:
                        connection.write_queued()
                    else:
                        self.answer_sender.answer(txn, answer)
                        self.answer_sender.undelivered.discard((txn.ident, ROUTER_ANSWER))
                if not queue:
                    return True
                turns -= 1
                if not turns:
                    self.wake_timer_thread()  # keeps a client's thread from working for all others for long
                    return True
            return False
        finally:
            thread_state.defers_events = False

    def run_due_timers(self) -> None:
        """Runs all timers that are due, in the order of their exact times. They run before queued events, because a hop's timeout may be
        the last moment for a final answer."""
        self.clock = now = time.monotonic_ns() + MONOTONIC_TO_UNIX_NS
        due = self.timers.pop_due(now)
        for at, (ident, number) in due:
            self.clock = time.monotonic_ns() + MONOTONIC_TO_UNIX_NS
            self.record_lag(self.clock - at)
            try:
                self.handle_timer(ident, number)
            except Exception:
                self.contain_error((ident if ident > PROBE else number,))
        # Even without a timer the next check is set, otherwise the next txn would have to wake up the timer thread.
        self.next_timer_at = min(self.timers.next_time(), now + IDLE_TIMER_CHECK if due or self.timer_was_set else NEVER)
        self.timer_was_set = False

    def handle_timer(self, ident: int, number: int) -> None:
        """Runs the timer with this key."""
        if ident == ALARM:
            self.alarms.pop(number, None)
            self.router.alarm_fired(number)
        elif ident == GATE_TIMEOUT:
            self.reject_gated(number)
        elif ident == OVERDUE_CHECK:
            self.end_overdue_txns()
        else:
            self.hop_timed_out(ident, number)

    def contain_error(self, arguments: tuple) -> None:
        """Contains an unforeseen error in an event or a timer with these arguments. It costs the txn that it concerns, which is answered at
        once. If it concerns no txn or several, all open txns still get their answers by their time limits."""
        first_argument = arguments[0] if arguments else None
        ident = first_argument if isinstance(first_argument, int) else getattr(first_argument, "ident", PROBE)
        contained_errors.record("event", txn=ident)
        self.overdue_checks_until = self.clock + OVERDUE_CHECK_TIME
        self.set_timer(self.clock + OVERDUE_CHECK_INTERVAL, (OVERDUE_CHECK, 0))
        if ident in self.open_txns.by_id:
            self.end_after_error(ident)

    def end_after_error(self, ident: int) -> None:
        """Gives a txn its final answer, by the rules for what may have run, or "aborted" if even that fails."""
        try:
            self.router.end_now(ident, GiveUp.INTERNAL_ERROR)
            self.end_unstarted_hop(ident)
        except Exception:
            contained_errors.record("event", txn=ident)
        if ident in self.open_txns.by_id:
            self.abort(ident)

    def end_unstarted_hop(self, ident: int) -> None:
        """Reports the end of a hop that the Router counts as in flight although it never reached this host: nothing else reports it."""
        txn = self.router.txns.get(ident)
        hop = txn.hops[-1] if txn is not None and txn.hops else None
        if hop is not None and hop.in_flight and (ident, hop.number) not in self.hops:
            self.router.hop_ended(ident, hop.number, "unsent", 0, True, 0, None, None)

    def end_overdue_txns(self) -> None:
        """For a while after an unforeseen error, ends the txns that are past their time limit, which nothing else may be left to end."""
        for ident, txn in list(self.open_txns.by_id.items()):
            if self.clock > txn.limit_at + OVERDUE_CHECK_INTERVAL:
                self.gated_txns.pop(ident, None)
                self.end_after_error(ident)
        if self.clock < self.overdue_checks_until:
            self.set_timer(self.clock + OVERDUE_CHECK_INTERVAL, (OVERDUE_CHECK, 0))

    def run(self) -> None:
        """The timer thread: runs due timers, and handles the events that other threads leave."""
        while True:
            self.timer_thread_asleep = True  # set before the check below: a thread that sets an earlier timer from now on wakes this one up
            wait = self.next_timer_at - (time.monotonic_ns() + MONOTONIC_TO_UNIX_NS)
            if wait > 0 and not self.queue:
                self.wakeup.acquire(timeout=min(wait / 1e9, MAX_SLEEP_S))
            self.timer_thread_asleep = False
            if not self.process_queue(0):
                time.sleep(BUSY_PAUSE_S)  # the thread that handles events runs the timers too

    def wake_timer_thread(self) -> None:
        try:
            self.wakeup.release()
        except RuntimeError:
            pass  # it is being woken up already

    def record_lag(self, lag: int) -> None:
        """Updates `max_lag` and `recent_lag` by the wait (ns) of an event or timer."""
        if lag > self.max_lag:
            self.max_lag = lag
        elapsed = self.clock - self.lag_updated_at
        if lag > self.recent_lag or elapsed >= LAG_FADE_STEP:
            self.lag_updated_at = self.clock
            self.recent_lag = max(lag, self.recent_lag - self.recent_lag * min(elapsed, LAG_FADE_TIME) // LAG_FADE_TIME)

    def set_timer(self, at: int, key: tuple) -> None:
        """Sets a hop's timeout, an alarm of the Router, or another timer of this host."""
        self.timers.add(at, key)
        self.timer_was_set = True
        if at < self.next_timer_at:
            self.next_timer_at = at
            if self.timer_thread_asleep:
                self.wake_timer_thread()

    def txn_arrived(self, txn: Txn) -> None:
        """Passes a new txn to the Router, or makes it wait at the gate."""
        if txn.ident not in self.open_txns.by_id:
            return  # withdrawn while this event was queued
        if self.gate is not None:
            return self.hold_at_gate(txn)
        self.router.txn_arrived(txn.ident, txn.rule_index, txn.obj, txn.part, txn.limit_at - self.clock, txn.kb, txn.group)

    def hold_at_gate(self, txn: Txn) -> None:
        """Keeps the txn until the gate opens, or rejects it when it has waited as long as it may."""
        wait_end = self.gate.wait_until(self.clock, txn.limit_at, len(self.gated_txns))
        self.gated_txns[txn.ident] = txn
        if wait_end <= self.clock:
            return self.reject_gated(txn.ident)
        self.set_timer(wait_end, (GATE_TIMEOUT, txn.ident))

    def reject_gated(self, ident: int) -> None:
        """Rejects a txn that waits at the gate, if it still does."""
        if self.gated_txns.pop(ident, None) is not None:
            self.open_txns.count("held_back")
            self.reject(ident, self.site.router_options["max_retry_after"])

    def close_gate(self, gate, reason: str) -> None:
        """New txns wait at the gate until `open_gate`. A startup gate that is still closed stays in place."""
        if self.gate is None:
            gate.shut_at = self.clock
            self.gate = gate
            log.warning("shut", extra={"kv": {"why": reason}})

    def open_gate(self, reason: str) -> None:
        """The server list is up to date, or as good as it gets: passes the waiting txns to the Router."""
        if self.gate is None:
            return
        closed_for = self.clock - self.gate.shut_at
        self.gate, gated_txns, self.gated_txns = None, self.gated_txns, {}
        log.info("open", extra={"kv": {"why": reason, "took_ms": closed_for // MS, "held": len(gated_txns)}})
        for txn in gated_txns.values():
            self.txn_arrived(txn)

    def end_open_txns(self) -> None:
        """Ends all open txns: the program is about to be killed, and a txn that is still open then would get no answer at all."""
        for ident in list(self.open_txns.by_id):
            if ident in self.gated_txns:
                self.reject_gated(ident)
            else:
                self.router.end_now(ident)

    def txn_withdrawn(self, ident: int, left_by_client: Txn | None = None) -> None:
        """The client waits no longer for the txn. `left_by_client`: the same txn, if its connection has ended; the client may then send it
        again under the same id. That is decided only here, as a hop that the Router has cancelled can't be written any more."""
        self.gated_txns.pop(ident, None)
        self.router.txn_withdrawn(ident)
        if left_by_client is None:
            return
        hop = left_by_client.last_hop
        unsent = hop is None or (left_by_client.hop_count == 1 and hop.ended and not hop.written_at)
        if may_come_again(self.site.rules[left_by_client.rule_index], unsent):
            self.open_txns.forget_name(left_by_client.name)
        else:
            self.open_txns.keep_name(left_by_client.name)

    def hop_ended(self, hop: Hop, result: str, duration: int, reply: resp.Reply | None) -> None:
        """Reports the end of a hop or a probe to the Router, with its duration (ns)."""
        load = reply.load if reply else None
        self.attempts[result] += 1
        if self.hops.pop((hop.ident, hop.number), None) is not None:
            self.timers.cancel(hop.cut_at, (hop.ident, hop.number))
        if hop.want is None:
            return self.router.probe_ended(hop.server, result, duration, load)
        final = result == "completed" or hop.ident not in self.open_txns.by_id
        if log.isEnabledFor(logging.DEBUG):
            self.log_hop_end(hop, result, duration, reply)
        self.router.hop_ended(
            hop.ident,
            hop.number,
            result,
            duration,
            final,
            reply.note if reply else 0,
            min(reply.queued_ns, duration) if reply and reply.queued_ns is not None else None,
            load,
        )

    def log_hop_end(self, hop: Hop, result: str, duration: int, reply: resp.Reply | None) -> None:
        log.debug(
            "hop",
            extra={
                "kv": {
                    "txn": hop.name,
                    "hop": hop.number,
                    "rule": hop.want.rule,
                    "obj": hop.want.obj,
                    "part": hop.want.part,
                    "server": hop.server,
                    "source": hop.source or "-",
                    "fetch": hop.want.fetch,
                    "result": result,
                    "note": reply.note if reply else 0,
                    "took": duration // MS,
                    "wrote": (hop.written_at - hop.decided_at) // MS if hop.written_at else -1,
                }
            },
        )

    def hop_timed_out(self, ident: int, number: int) -> None:
        """A hop's timeout. Its end is reported at once, before the queued events."""
        hop = self.hops.get((ident, number))
        if hop is not None and self.give_up(hop):
            self.hop_ended(hop, "timed_out" if hop.written_at else "unsent", self.clock - hop.decided_at, None)

    # Events of discovery. The thread that receives an event applies it to the connection pool at once, because no hop may be written by an
    # older list. The Router gets it through the queue: before the end of any hop that the pool refuses because of the event, and after the
    # pool knows the addresses of new servers.

    def list_received(self, change: ListChange, at_start: bool = False) -> None:
        """Applies a list change; `at_start`: before any thread runs."""
        servers, site = [], self.site
        for server in change.servers:
            if server.zone in site.zones and server.kind in site.kinds:
                servers.append(server)
            else:
                log.error("unlisted", extra={"kv": {"server": server.name, "why": "unknown zone or kind"}})
        for server in servers:
            if server.state == "up":
                self.pool.update_endpoint(server.name, server.address, server.state, server.started)
        if at_start:
            self.apply_list(change.complete, servers, live=False)
        else:
            self.queue.append((self.apply_list, (change.complete, servers), time.monotonic_ns() + MONOTONIC_TO_UNIX_NS))
        for server in servers:
            if server.state != "up":
                self.pool.update_endpoint(server.name, server.address, server.state, server.started)
        if change.complete:
            for name in set(self.pool.endpoints) - {server.name for server in change.servers}:
                self.pool.update_endpoint(name, ("", 0), "gone")
        self.pool.refuse_stale_hops()
        if not self.thread_state.defers_events:
            self.process_queue()

    def apply_list(self, complete: bool, servers: list, live: bool = True) -> None:
        """Passes a list change to the Router; `live`: it was received while this process watched."""
        server_pool, site = self.router.pool, self.site
        server_pool.list_begins(complete)
        for server in servers:
            server_pool.server_listed(
                server.name,
                server.state,
                self.local_start_time(server, live),
                site.zones.index(server.zone),
                server.rating,
                site.kinds.index(server.kind),
                server.cell,
            )
        server_pool.list_ends()

    def local_start_time(self, server, live: bool) -> int:
        """Returns when a server started, by the program's clock. A server that is listed again with the same start keeps its time, whoever
        set a clock meanwhile."""
        listed_start, local_start = self.server_starts.pop(server.name, UNKNOWN_START)
        if server.started != listed_start:
            server_pool = self.router.pool
            slow_start_time = server_pool.slow_start[self.site.kinds.index(server.kind) == server_pool.parent_kind][2]
            local_start = latest_possible_time(server.started, self.clock, live, slow_start_time) if server.started else 0
        if server.state != "gone":
            self.server_starts[server.name] = server.started, local_start
        return local_start

    def purge_received(self, purge: Purge, at_start: bool = False) -> None:
        """Applies a purge; `at_start`: before any thread runs."""
        number = self.pool.rules.purges + 1  # given by the pool below; this thread is the only one that reports purges
        if at_start:
            self.pool.purge_received(purge.obj, purge.group)
            return self.apply_purge(purge, number, live=False)
        self.queue.append((self.apply_purge, (purge, number), time.monotonic_ns() + MONOTONIC_TO_UNIX_NS))
        self.pool.purge_received(purge.obj, purge.group)
        if not self.thread_state.defers_events:
            self.process_queue()

    def apply_purge(self, purge: Purge, number: int, live: bool = True) -> None:
        """Passes a purge to the Router; `live`: it was received while this process watched. `number`: see HopRules."""
        self.router.purged(purge.obj, purge.group, self.clock - latest_possible_time(purge.at, self.clock, live))
        self.pool.rules.purge_learned(number, self.clock)

    # The host interface, see host.Host.

    def now(self) -> int:
        return self.clock

    def send_hop(self, ident, server, cut_at, source, rank, max_age, join, renew, fetch, go_by) -> None:
        txn = self.open_txns.by_id.get(ident)
        if txn is None:  # it was withdrawn a moment ago, and the Router does not know that yet
            hop = Hop(ident, self.router.txns[ident].hops[-1].number, "", server, source, None, self.clock)
            return self.post(self.report_unsent, hop)
        source = None if source == server else source
        want = resp.Want(
            txn.name,
            txn.rule,
            txn.obj,
            txn.part,
            0,
            txn.key,
            source,
            rank,
            max(1, max_age // MS) if max_age else 0,
            join,
            renew and source is not None,
            fetch,
            txn.tag,
            txn.body,
        )
        hop = Hop(
            ident,
            txn.hop_count,
            txn.name,
            server,
            source,
            want,
            self.clock,
            cut_at,
            txn.group,
            NEVER if self.site.rules[txn.rule_index].uncacheable else self.pool.rules.known_purges,
            go_by,
            self.server_starts.get(server, UNKNOWN_START)[0],
            self.server_starts.get(source, UNKNOWN_START)[0],
        )
        if txn.last_hop is not None:
            hop.follow(txn.last_hop, self.site.rules[txn.rule_index].kind == "repeatable")
        txn.last_hop = hop
        txn.hop_count += 1
        self.start_hop(hop)

    def report_unsent(self, hop: Hop) -> None:
        """Reports to the Router that a hop ended before it was written."""
        self.router.hop_ended(hop.ident, hop.number, "unsent", 0, True, 0, None, None)

    def cancel(self, ident, number) -> None:
        hop = self.hops.get((ident, number))
        if hop is not None and self.give_up(hop):
            self.pool.report_end(hop, "cancelled" if hop.written_at else "unsent")

    def give_up(self, hop: Hop) -> bool:
        """Stops waiting for the hop. Returns True if the caller has to report its end."""
        must_report = self.pool.give_up(hop, self.clock)
        if must_report and hop.connection is not None:
            self.outbox.append((hop.connection, None, None))
        return must_report

    def start_hop(self, hop: Hop) -> None:
        """Queues a hop or a probe on a connection and sets its timeout."""
        key = hop.ident, hop.number
        self.hops[key] = hop
        self.set_timer(hop.cut_at, key)
        connection = self.pool.enqueue(hop)
        if connection is not None:
            self.outbox.append((connection, None, None))

    def reject(self, ident, retry_after) -> None:
        self.answer(ident, Answer("rejected", retry_after // MS))

    def abort(self, ident) -> None:
        self.answer(ident, Answer("aborted"))

    def answer(self, ident: int, answer: Answer) -> None:
        """Takes a txn out of the open ones and queues its final answer to be sent, unless it has ended already."""
        self.answer_sender.undelivered.add((ident, ROUTER_ANSWER))
        txn = self.open_txns.settle(ident, answer)
        if txn is not None:
            if log.isEnabledFor(logging.DEBUG):
                log.debug(
                    "answered",
                    extra={
                        "kv": {
                            "txn": txn.name,
                            "word": answer.outcome,
                            "attempts": txn.hop_count,
                            "left_ms": (txn.limit_at - self.clock) // MS,
                        }
                    },
                )
            self.outbox.append((None, txn, answer))
        else:
            self.answer_sender.undelivered.discard((ident, ROUTER_ANSWER))

    def set_alarm(self, label, at) -> None:
        self.alarms[label] = at
        self.set_timer(at, (ALARM, label))

    def cancel_alarm(self, label) -> None:
        self.timers.cancel(self.alarms.pop(label, 0), (ALARM, label))

    def probe(self, server) -> None:
        number = next(self.probe_numbers)
        self.start_hop(
            Hop(
                PROBE,
                number,
                f"busy-{number}",
                server,
                None,
                None,
                self.clock,
                self.clock + self.site.connect_timeout,
                server_start=self.server_starts.get(server, UNKNOWN_START)[0],
            )
        )

    def log(self, text) -> None:
        log.info("decided", extra={"kv": {"text": text}})
