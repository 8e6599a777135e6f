"""The Router's lock, its queue and its timers; and its host. No socket call is made while the lock is held."""

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
from fieldspur.permissions import GiveUp, StartupGate
from fieldspur.site import MS, Deployment, build_router

log = logging.getLogger("fieldspur.route")
FADE, FADE_STEP = 1_000 * MS, 1 * MS  # in which most of a lag is forgotten; how often that is worked out
ALARM, PROBE, HELD, OVERDUE = -1, 0, -2, -3  # in place of a txn's number
WATCH_OVERDUE, LONGEST_WATCH = 100 * MS, 60_000 * MS  # after an unforeseen error, requests past their time are looked for
UNKNOWN = 0, 0  # start of a server that is not listed, or has stood from the first
BY_ROUTER = -1  # in place of a hop's number: its own answers
MAX_QUEUED = 512  # events; beyond, new txns are rejected at once
AT_ONCE, MOST_FOR_OTHERS = 16, 8  # events under one lock; such turns that a thread takes on end
LOOK_AGAIN = 250 * MS  # at an empty wheel
LONGEST, WAIT_TURN = 3600.0, 0.0005  # seconds that the timers' thread sleeps at most; that it leaves to who is at it


class Mine(threading.local):
    busy = False  # this thread is in `work`


class RouterHost:
    def __init__(self, site: Deployment, seed: int, open_txns: OpenTxns, answer_sender: AnswerSender, send: ConnectionPool):
        self.site, self.open_txns, self.answer_sender, self.pool = site, open_txns, answer_sender, send
        send.host = self
        self.queue: deque = deque()  # bounded by most_queued and the open txns
        self.max_queued = MAX_QUEUED
        self.lock = threading.Lock()  # of the Router, the wheel and all below; taken without waiting
        self.router_thread = None  # the thread in the Router
        self.mine, self.outbox = Mine(), []  # what to write once the lock is released
        self.timers, self.alarms = TimerWheel(), {}  # wakes: times of the Router's alarms
        self.soonest = NEVER  # no timer is due before
        self.used = self.asleep = False  # a timer was set since the last look; the timers' thread sleeps
        self.bell = threading.Lock()
        self.bell.acquire()
        self.order = itertools.count()
        self.starts: dict[str, tuple[int, int]] = {}  # of servers: as told, and by this process' clock
        self.hops: dict[tuple[int, int], Hop] = {}  # out, by the Router's numbers
        self.clock = time.monotonic_ns() + MONOTONIC_TO_UNIX_NS
        self.max_lag = 0  # longest that an event or timer waited since the last look
        self.recent_lag = 0  # the same, fading: how late this thread now is
        self.faded = self.clock
        self.router = build_router(self, seed, site)
        self.gate: StartupGate | None = None  # while it is there, txns wait for the board's first word
        self.held: dict[int, Txn] = {}  # those, as they came
        self.purges = 0  # how many of those told the Router has
        self.attempts = dict.fromkeys(RESULTS, 0)  # that ended, by result
        self.watched_until = 0  # until when requests whose time is over are looked for

    # Events. Other threads post them; each is handled by the one thread.

    def post(self, what, *about) -> None:
        """Whoever has an event posts it, and handles it and what else waits unless another thread is at that. That one
        looks again before it goes, so nothing is left and nobody waits for the lock."""
        self.queue.append((what, about, time.monotonic_ns() + MONOTONIC_TO_UNIX_NS))
        if not self.mine.busy:
            self.process_queue()

    def start_batch(self) -> None:
        """What this thread posts from here on waits for `handle`, so that what it leads to goes out together."""
        self.mine.busy = True

    def finish_batch(self) -> None:
        self.mine.busy = False
        if self.queue:
            self.process_queue()

    def process_queue(self, most: int = MOST_FOR_OTHERS) -> bool:
        """Handle what waits unless another thread is at it: false, then. What an event leads to on sockets goes out
        after a few of them, once the lock is released."""
        mine, queue, lock = self.mine, self.queue, self.lock
        mine.busy = True  # what is posted below, by what it acts on, is handled by this loop
        try:
            while lock.acquire(False):
                try:
                    if self.router_thread is not None:
                        check_invariant(False, "one caller in the Router at a time")
                    self.router_thread = me = threading.get_ident()
                    left = AT_ONCE
                    while left:
                        self.clock = now = time.monotonic_ns() + MONOTONIC_TO_UNIX_NS
                        if now >= self.soonest:
                            self.tick()
                        if not queue:
                            break
                        what, about, posted = queue.popleft()
                        late = now - posted
                        if late > self.max_lag or late > self.recent_lag or now - self.faded >= FADE_STEP:
                            self.record_lag(late)
                        try:
                            what(*about)
                        except Exception:
                            self.failed(about)
                        left -= 1
                    if self.router_thread != me:
                        check_invariant(False, "one caller in the Router at a time")
                    self.router_thread = None
                    done = self.outbox
                    if done:
                        self.outbox = []
                except Exception:  # whatever the thread it fell on would make of it: what must hold does not, or this loop failed
                    threading.excepthook(threading.ExceptHookArgs((*sys.exc_info(), threading.current_thread())))
                    raise
                finally:
                    lock.release()
                for lane, txn, answer in done:
                    if lane is not None:
                        lane.write_queued()
                    else:
                        self.answer_sender.answer(txn, answer)
                        self.answer_sender.undelivered.discard((txn.ident, BY_ROUTER))
                if not queue:
                    return True
                most -= 1
                if not most:
                    self.ring()  # guards a client's thread against working for all others for long
                    return True
            return False
        finally:
            mine.busy = False

    def tick(self) -> None:
        """All timers that are due, by exact time; cuts first, for each is a final answer's last moment."""
        self.clock = now = time.monotonic_ns() + MONOTONIC_TO_UNIX_NS
        due = self.timers.pop_due(now)
        for at, (ident, number) in due:
            self.clock = time.monotonic_ns() + MONOTONIC_TO_UNIX_NS
            self.record_lag(self.clock - at)
            try:
                self.timer_due(ident, number)
            except Exception:
                self.failed((ident if ident > PROBE else number,))
        # An empty wheel is looked at once more, or the next txn would have to wake the thread of the timers.
        self.soonest = min(self.timers.next_time(), now + LOOK_AGAIN if due or self.used else NEVER)
        self.used = False

    def timer_due(self, ident: int, number: int) -> None:
        if ident == ALARM:
            self.alarms.pop(number, None)
            self.router.alarm_fired(number)
        elif ident == HELD:
            self.turn_away(number)
        elif ident == OVERDUE:
            self.answer_overdue()
        else:
            self.hop_timed_out(ident, number)

    def failed(self, about: tuple) -> None:
        """An unforeseen error came in an event or a timer: it costs the request that it was about, which is answered at once. Where it
        was about none, or about more than one, each request that is open still gets its answer by its deadline."""
        first = about[0] if about else None
        ident = first if isinstance(first, int) else getattr(first, "ident", PROBE)
        contained_errors.record("event", txn=ident)
        self.watched_until = self.clock + LONGEST_WATCH
        self.at(self.clock + WATCH_OVERDUE, (OVERDUE, 0))
        if ident in self.open_txns.by_id:
            self.abandon(ident)

    def abandon(self, ident: int) -> None:
        """The final answer of a request by the rules of what may have run, or, where even that fails, one without a promise."""
        try:
            self.router.end_now(ident, GiveUp.INTERNAL_ERROR)
            self.drop_unknown_attempt(ident)
        except Exception:
            contained_errors.record("event", txn=ident)
        if ident in self.open_txns.by_id:
            self.abort(ident)

    def drop_unknown_attempt(self, ident: int) -> None:
        """The Router counts an attempt as out that was never handed over: its end is told here, for nobody else will."""
        txn = self.router.txns.get(ident)
        attempt = txn.hops[-1] if txn is not None and txn.hops else None
        if attempt is not None and attempt.in_flight and (ident, attempt.number) not in self.hops:
            self.router.hop_ended(ident, attempt.number, "unsent", 0, True, 0, None, None)

    def answer_overdue(self) -> None:
        """For a while after an unforeseen error: requests whose time is over, and of which nothing may be left that would end them."""
        for ident, txn in list(self.open_txns.by_id.items()):
            if self.clock > txn.limit_at + WATCH_OVERDUE:
                self.held.pop(ident, None)
                self.abandon(ident)
        if self.clock < self.watched_until:
            self.at(self.clock + WATCH_OVERDUE, (OVERDUE, 0))

    def run(self) -> None:
        """The thread of the timers, and of what others leave."""
        while True:
            self.asleep = True  # before the look: who sets an earlier timer from now on rings
            left = self.soonest - (time.monotonic_ns() + MONOTONIC_TO_UNIX_NS)
            if left > 0 and not self.queue:
                self.bell.acquire(timeout=min(left / 1e9, LONGEST))
            self.asleep = False
            if not self.process_queue(0):
                time.sleep(WAIT_TURN)  # who is at it looks at the timers too

    def ring(self) -> None:
        try:
            self.bell.release()
        except RuntimeError:
            pass  # it rings already

    def record_lag(self, span: int) -> None:
        if span > self.max_lag:
            self.max_lag = span
        gone = self.clock - self.faded
        if span > self.recent_lag or gone >= FADE_STEP:
            self.faded = self.clock
            self.recent_lag = max(span, self.recent_lag - self.recent_lag * min(gone, FADE) // FADE)

    def at(self, when: int, key: tuple) -> None:
        """A hop's cut, or an alarm of the Router's."""
        self.timers.add(when, key)
        self.used = True
        if when < self.soonest:
            self.soonest = when
            if self.asleep:
                self.ring()

    def txn_arrived(self, txn: Txn) -> None:
        if txn.ident not in self.open_txns.by_id:
            return  # withdrawn while it waited here
        if self.gate is not None:
            return self.hold(txn)
        self.router.txn_arrived(txn.ident, txn.rule_index, txn.obj, txn.part, txn.limit_at - self.clock, txn.kb, txn.group)

    def hold(self, txn: Txn) -> None:
        until = self.gate.wait_until(self.clock, txn.limit_at, len(self.held))
        self.held[txn.ident] = txn
        if until <= self.clock:
            return self.turn_away(txn.ident)
        self.at(until, (HELD, txn.ident))

    def turn_away(self, ident: int) -> None:
        if self.held.pop(ident, None) is not None:
            self.open_txns.count("held_back")
            self.reject(ident, self.site.router_options["max_retry_after"])

    def close_gate(self, gate, why: str) -> None:
        """No txn is decided on until `open`; the start's own gate stays where it is."""
        if self.gate is None:
            gate.shut_at = self.clock
            self.gate = gate
            log.warning("shut", extra={"kv": {"why": why}})

    def open_gate(self, why: str) -> None:
        """The list is what the board holds, or is all there is: txns are decided on from now on."""
        if self.gate is None:
            return
        took = self.clock - self.gate.shut_at
        self.gate, held, self.held = None, self.held, {}
        log.info("open", extra={"kv": {"why": why, "took_ms": took // MS, "held": len(held)}})
        for txn in held.values():
            self.txn_arrived(txn)

    def end_open_txns(self) -> None:
        """The program is killed soon, and a txn that is open by then would get no answer at all."""
        for ident in list(self.open_txns.by_id):
            if ident in self.held:
                self.turn_away(ident)
            else:
                self.router.end_now(ident)

    def txn_withdrawn(self, ident: int) -> None:
        self.held.pop(ident, None)
        self.router.txn_withdrawn(ident)

    def hop_ended(self, hop: Hop, result: str, took: int, reply: resp.Reply | None) -> None:
        load = reply.load if reply else None
        self.attempts[result] += 1
        if self.hops.pop((hop.ident, hop.number), None) is not None:
            self.timers.cancel(hop.cut_at, (hop.ident, hop.number))
        if hop.want is None:
            return self.router.probe_ended(hop.server, result, took, load)
        final = result == "completed" or hop.ident not in self.open_txns.by_id
        if log.isEnabledFor(logging.DEBUG):
            self.tell(hop, result, took, reply)
        self.router.hop_ended(
            hop.ident,
            hop.number,
            result,
            took,
            final,
            reply.note if reply else 0,
            min(reply.queued_ns, took) if reply and reply.queued_ns is not None else None,
            load,
        )

    def tell(self, hop: Hop, result: str, took: int, reply: resp.Reply | None) -> None:
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
                    "took": took // MS,
                    "wrote": (hop.written_at - hop.decided_at) // MS if hop.written_at else -1,
                }
            },
        )

    def hop_timed_out(self, ident: int, number: int) -> None:
        """A timer, not a call of the Router's: its end is told at once, before what else waits here."""
        hop = self.hops.get((ident, number))
        if hop is not None and self.give_up(hop):
            self.hop_ended(hop, "timed_out" if hop.written_at else "unsent", self.clock - hop.decided_at, None)

    # The board's word goes to Send at once, by the thread that read it, for no hop may be written on older word. The
    # Router hears of it in its turn: before any hop that Send turns away for it, and after Send knows where new servers are.

    def list_received(self, change: ListChange, now: bool = False) -> None:
        rows, site = [], self.site
        for s in change.servers:
            if s.zone in site.zones and s.kind in site.kinds:
                rows.append(s)
            else:
                log.error("unlisted", extra={"kv": {"server": s.name, "why": "unknown zone or kind"}})
        for s in rows:
            if s.state == "up":
                self.pool.update_endpoint(s.name, s.address, s.state, s.started)
        if now:
            self.apply_list(change.complete, rows, live=False)
        else:
            self.queue.append((self.apply_list, (change.complete, rows), time.monotonic_ns() + MONOTONIC_TO_UNIX_NS))
        for s in rows:
            if s.state != "up":
                self.pool.update_endpoint(s.name, s.address, s.state, s.started)
        if change.complete:
            for name in set(self.pool.endpoints) - {s.name for s in change.servers}:
                self.pool.update_endpoint(name, ("", 0), "gone")
        self.pool.refuse_stale_hops()
        if not self.mine.busy:
            self.process_queue()

    def apply_list(self, complete: bool, rows: list, live: bool = True) -> None:
        fleet, site = self.router.pool, self.site
        fleet.list_begins(complete)
        for s in rows:
            fleet.server_listed(
                s.name, s.state, self.started(s, live), site.zones.index(s.zone), s.rating, site.kinds.index(s.kind), s.cell
            )
        fleet.list_ends()

    def started(self, s, live: bool) -> int:
        """When a server started, by this process' clock; one that is told again has not started again, whoever set a clock meanwhile."""
        told, at = self.starts.pop(s.name, UNKNOWN)
        if s.started != told:
            fleet = self.router.pool
            ramp = fleet.slow_start[self.site.kinds.index(s.kind) == fleet.parent_kind][2]
            at = latest_possible_time(s.started, self.clock, live, ramp) if s.started else 0
        if s.state != "gone":
            self.starts[s.name] = s.started, at
        return at

    def purge_received(self, purge: Purge, now: bool = False) -> None:
        if now:
            return self.apply_purge(purge, live=False)
        self.queue.append((self.apply_purge, (purge,), time.monotonic_ns() + MONOTONIC_TO_UNIX_NS))
        self.pool.purge_received(purge.obj, purge.group)
        if not self.mine.busy:
            self.process_queue()

    def apply_purge(self, purge: Purge, live: bool = True) -> None:
        self.purges += 1
        self.router.purged(purge.obj, purge.group, self.clock - latest_possible_time(purge.at, self.clock, live))

    # The host interface.

    def now(self) -> int:
        return self.clock

    def send_hop(self, ident, server, cut_at, source, rank, max_age, join, renew, fetch, go_by) -> None:
        txn = self.open_txns.by_id.get(ident)
        if txn is None:  # withdrawn a moment ago
            hop = Hop(ident, self.router.txns[ident].hops[-1].number, "", server, source, None, self.clock)
            return self.post(self.unsent, hop)
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
            NEVER if self.site.rules[txn.rule_index].uncacheable else self.purges,
            go_by,
            self.starts.get(server, UNKNOWN)[0],
            self.starts.get(source, UNKNOWN)[0],
        )
        txn.hop_count += 1
        self.start_hop(hop)

    def unsent(self, hop: Hop) -> None:
        self.router.hop_ended(hop.ident, hop.number, "unsent", 0, True, 0, None, None)

    def cancel(self, ident, number) -> None:
        hop = self.hops.get((ident, number))
        if hop is not None and self.give_up(hop):
            self.pool.report_end(hop, "cancelled" if hop.written_at else "unsent")

    def give_up(self, hop: Hop) -> bool:
        mine = self.pool.give_up(hop, self.clock)
        if mine and hop.connection is not None:
            self.outbox.append((hop.connection, None, None))
        return mine

    def start_hop(self, hop: Hop) -> None:
        key = hop.ident, hop.number
        self.hops[key] = hop
        self.at(hop.cut_at, key)
        lane = self.pool.enqueue(hop)
        if lane is not None:
            self.outbox.append((lane, None, None))

    def reject(self, ident, come_back) -> None:
        self.answer(ident, Answer("rejected", come_back // MS))

    def abort(self, ident) -> None:
        self.answer(ident, Answer("aborted"))

    def answer(self, ident: int, answer: Answer) -> None:
        self.answer_sender.undelivered.add((ident, BY_ROUTER))
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
            self.answer_sender.undelivered.discard((ident, BY_ROUTER))

    def set_alarm(self, label, at) -> None:
        self.alarms[label] = at
        self.at(at, (ALARM, label))

    def cancel_alarm(self, label) -> None:
        self.timers.cancel(self.alarms.pop(label, 0), (ALARM, label))

    def probe(self, server) -> None:
        number = next(self.order)
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
                server_start=self.starts.get(server, UNKNOWN)[0],
            )
        )

    def log(self, text) -> None:
        log.info("decided", extra={"kv": {"text": text}})
