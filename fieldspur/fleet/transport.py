"""The thin part with sockets and threads: publishes this member's line as the notice board does (`watch N`; numbered JSON events,
a without_loads number each second) and reads the others' with the board's own reader. Each line holds all, so one that was missed is
made good by the next."""

from __future__ import annotations

import json
import logging
import os
import select
import socket
import threading
import time

from fieldspur.fleet import consensus, planner, register_codec, work_orders
from fieldspur.fleet.coordinator import Coordinator, without_loads
from fieldspur.fleet.follower import Follower
from fieldspur.fleet.list_overlay import ServerListOverlay
from fieldspur.fleet.member import Member
from fieldspur.fleet.register_store import Store, StoreFailed, StoreUnreadable
from fieldspur.fleet.work_requests import parse_requests
from fieldspur.net.discovery import DiscoveryClient
from fieldspur.net.invariants import contained_errors, keep_running
from fieldspur.operators import Fleet, member
from fieldspur.record import replace

log = logging.getLogger("fieldspur.fleet")
EVERY = 1.0  # most seconds between two lines where nothing changed: a without_loads number; a beat where that is shorter
LAG = 0.02  # seconds for which changes gather into one line
ASK = 64  # bytes that a reader may send: `watch N`
SPARE = 64  # readers beyond four connections of each member: operators, and those that ended and are not seen yet
SLOW = 2.0  # seconds that a reader may take for a line before its connection is closed
QUIET = 5  # leases without anybody that acts, after which it is told
LOOK, LOOK_BACK = 1.0, 0.3  # seconds between two looks at the Router's loads; while a machine warms


def now() -> int:
    """ns of a clock that nobody sets and that counts on while the process or the machine stands still."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME)


class Peer(DiscoveryClient):
    """Another member's lines, by the board's reader. `number` among those that settle, or the name of one that follows."""

    def __init__(self, talk: Transport, number: int | str, where: tuple[str, int], seed: int):
        super().__init__(where, self, seed)
        self.talk, self.number, self.unusable = talk, number, 0
        self.name = number if isinstance(number, str) else talk.names[number]
        self.wanted = threading.Event()  # its lines are
        self.over = False

    def gather(self) -> None:
        """Each line is handled as it comes."""

    def handle(self) -> None:
        pass

    def lost(self, why: str) -> None:
        log.warning("lost", extra={"kv": {"member": self.name, "why": why}})

    def want(self, yes: bool) -> None:
        """Only who acts reads those that follow."""
        if yes and not self.wanted.is_set():
            self.wanted.set()
        elif not yes and self.wanted.is_set():
            self.wanted.clear()
            self.move(self.where, [])  # ends the connection

    def watch(self) -> None:
        self.wanted.wait()
        if self.over:
            raise SystemExit  # of this thread
        super().watch()

    def end(self) -> None:
        self.over = True
        self.wanted.set()
        self.move(self.where, [])

    def line(self, data: bytes) -> None:
        value = json.loads(data)
        if isinstance(value, dict) and ("register" in value or "follower" in value):
            self.last = value.get("rev") if type(value.get("rev")) is int else self.last
            try:
                self.talk.heard(self.number, value)
            except register_codec.BadLine as bad:  # a member of another version or fleet does not end the reading
                self.unusable += 1
                if self.unusable in (1, 10, 100, 1000):
                    log.error("unusable", extra={"kv": {"member": self.name, "why": str(bad), "times": self.unusable}})
        elif type(value) is int:
            self.talk.alive(self.number)


class Transport:
    """A member with its threads. `overlay` shows the router what is out. Raises StoreFailed where its folder can't be used, OSError
    where it can't listen."""

    def __init__(self, wishes: Fleet, own: str, seed: int, overlay: ServerListOverlay):
        self.names = sorted(wishes.votes or wishes.members)
        self.wishes, self.own, self.seed, self.overlay = wishes, own, seed, overlay
        many, length = len(self.names), int(wishes.lease_s * 1e9)
        nonce = int.from_bytes(os.urandom(6), "big") + 1
        votes = own in self.names
        me = self.names.index(own) if votes else 0
        self.store = Store(wishes.folder, wishes.name if votes else f"{wishes.name}, followed", me, many) if wishes.folder else None
        self.unread = ""  # why what was kept can't be read yet: until then this member does not know what it may have promised
        kept = self.kept_at_start()
        site, bounds = overlay.site, wishes.bounds
        longest = max((rule.limit for rule in site.rules), default=0)
        self.coordinator = Coordinator(
            self.names,
            own,
            site.zones[site.fleet["zone"]],
            length,
            planner.Bounds(bounds.zone, bounds.all, bounds.both, bounds.headroom, bounds.fills_s, bounds.parents, bounds.at_once),
            wishes.unsure == "turn_away",
            longest,
            max(site.fleet["cache_cold"][1], site.fleet["parent_cold"][1]),
        )
        self.coordinator.requests, self.coordinator.left_members = parse_requests(wishes.work, "fleet.work"), list(wishes.left)
        if votes:
            register = consensus.resume(kept, nonce) if kept is not None else consensus.blank_register(me, many, nonce)
            self.node = Member(wishes.name, register, many, now(), length, seed, kept is None, self.coordinator)
            self.coordinator.update_document(register.decided.value)
            kept = register if kept is not None else None  # as this process takes it up: what fails to be kept falls back to it
        else:
            self.node = Follower(wishes.name, own, nonce, many, now(), length, self.coordinator, kept.decided if kept else None)
        self.votes = votes
        self.every = min(EVERY, self.node.beat / 1e9)
        self.kept, self.failed, self.acting, self.life = kept, bool(self.unread), False, kept.life if votes and kept else 0
        self.rev, self.data, self.last = 0, b"", {}
        self.state_known = threading.Event()  # set once this member knows what is out, or that nobody does
        self.unsure, self.shown = frozenset(), work_orders.EMPTY_DOCUMENT  # what may only be used by lease; the document last logged
        self.quiet_since, self.quiet_told = 0, False  # since when nobody is known to act
        self.applying = threading.Lock()
        self.lock = threading.Lock()  # of the node
        self.told = threading.Condition()  # of the line
        self.watchers = 0
        self.listener = socket.create_server(member(wishes.members[own])[0], backlog=min(512, len(wishes.members)))
        self.peers = [Peer(self, n, member(wishes.members[name])[0], seed + n) for n, name in enumerate(self.names) if name != own]
        for peer in self.peers:
            peer.want(True)
        self.followers: dict[str, Peer] = {}  # read while this member acts
        overlay.set_usage_check(self.doubted)
        self.apply()
        log.info(
            "member",
            extra={"kv": {"fleet": wishes.name, "member": own, "of": len(wishes.members), "votes": votes, "memory": kept is not None}},
        )

    def start(self) -> None:
        self.publish()
        threads = [("fleet", self.run), ("fleet-listen", self.accept)]
        threads += [(f"fleet-{peer.name}", peer.run) for peer in self.peers]
        for name, run in threads:
            threading.Thread(target=keep_running, args=(name, run), name=name, daemon=True).start()

    # What was kept.

    def load(self) -> consensus.Register | None:
        """What the store holds. Raises StoreUnreadable where that can't be told now, StoreFailed where it is of another version."""
        kept = self.store.load()
        try:
            for said in (kept.accepted, kept.said, kept.decided) if kept is not None else ():
                work_orders.read_document(said.value)
        except work_orders.BadOrder as wrong:
            raise StoreFailed(f"what was kept is of another version: {wrong}") from None
        return kept

    def kept_at_start(self) -> consensus.Register | None:
        """Guards against a disk that fails at a start, which is no reason not to serve: what was kept is asked for again."""
        if self.store is None:
            return None
        try:
            return self.load()
        except StoreUnreadable as wrong:
            self.not_read(wrong)
            return None

    def not_read(self, wrong: StoreFailed) -> None:
        if str(wrong) != self.unread:
            self.unread = str(wrong)
            log.error("not_read", extra={"kv": {"why": self.unread}})

    def read_again(self) -> None:
        """Until what was kept can be read, a member that votes says nothing, and so counts as one that is not there; what others settle it
        hears and goes by. Nothing is written meanwhile."""
        try:
            kept = self.load()
        except StoreFailed as wrong:
            return self.not_read(wrong)
        with self.lock:
            if kept is not None:
                self.node.restore(kept, now())
                if self.votes:
                    kept, self.life = self.node.register, kept.life
            self.kept, self.unread, self.failed = kept, "", False
        log.info("read", extra={"kv": {"memory": kept is not None}})

    # Of the node, one at a time.

    def heard(self, number: int | str, value: dict) -> None:
        with self.lock:
            before = self.coordinator.document.number
            if isinstance(number, str):
                self.node.receive_follower_line(number, value, now())
            else:
                self.node.receive_line(number, value, now())
            self.keep()
            fresh = self.coordinator.document.number != before
        if fresh:
            self.apply()
            self.publish()

    def alive(self, number: int | str) -> None:
        """Nothing new there, but it is."""
        with self.lock:
            self.node.receive_heartbeat(number, now())

    def run(self) -> None:
        looked, fenced = 0.0, False
        while True:
            time.sleep(max(LAG, self.node.beat / 4e9))
            if self.node.fenced != fenced:  # it says no more, and goes by what it knew until its lease on that has ended
                fenced = True
                log.error("fenced", extra={"kv": {"why": "a later process of this name is a member; this one takes part no more"}})
            if self.unread:
                self.read_again()
            if time.monotonic() - looked >= (LOOK_BACK if self.coordinator.returning() else LOOK):
                looked = time.monotonic()
                self.overlay.request_loads(self.looked)
            with self.lock:
                self.coordinator.unix_ms, self.coordinator.listings = time.time_ns() // 1_000_000, self.overlay.listings
                self.node.tick(now())
                self.keep()
                acts = self.node.is_coordinator(now())
            self.apply()
            self.publish()
            if self.votes:
                self.speak(acts)

    def speak(self, acts: bool) -> None:
        """What has changed of this member's part, for the log; and whom it reads."""
        with self.lock:
            life, promised = self.node.register.life, self.node.register.promised
            followed = acts or self.node.followed(now())
        if life != self.life:
            self.life = life
            log.info("counts_again", extra={"kv": {"life": life}})
        if acts != self.acting:
            self.acting = acts
            log.info("acting" if acts else "acts_no_more", extra={"kv": {"ballot": "%d.%d" % promised}})
        self.read_followers(acts)
        if followed:
            self.quiet_since, self.quiet_told = 0, False
        elif not self.quiet_since:
            self.quiet_since = now()
        elif not self.quiet_told and now() - self.quiet_since > QUIET * self.node.lease.length:
            self.quiet_told = True
            log.warning(
                "nobody_acts",
                extra={"kv": {"counts": sum(one is not None and one.life > 0 for one in self.node.seen()), "of": len(self.names)}},
            )

    def read_followers(self, yes: bool) -> None:
        members = self.wishes.members
        wanted = {name for name in members if name not in self.names and name != self.own}
        for name in set(self.followers) - wanted:
            self.followers.pop(name).end()
            with self.lock:
                self.node.failure_detector.forget(name)
        for n, name in enumerate(sorted(wanted - set(self.followers)) if yes else ()):
            peer = self.followers[name] = Peer(self, name, member(members[name])[0], self.seed + len(self.names) + n)
            threading.Thread(target=keep_running, args=(f"fleet-{name}", peer.run), name=f"fleet-{name}", daemon=True).start()
        for peer in self.followers.values():
            peer.want(yes)

    def looked(self, loads: dict, turned: tuple) -> None:
        self.coordinator.loads, self.coordinator.rejected_rates, self.coordinator.fresh_loads = loads, turned, True

    # What is out.

    def apply(self) -> None:
        """The router goes by the document that is known now; what it says of that is true by then."""
        with self.applying:
            with self.lock:
                at = now()
                found, off, backs = self.coordinator.document, self.coordinator.withdrawn(at), self.coordinator.returning()
                doubt, sure = self.coordinator.list_unknown(at), self.node.is_up_to_date()
            self.unsure = self.coordinator.announced()
            self.overlay.withdraw(off, backs)
            open_at = self.overlay.count_open_hops(sorted(self.unsure))
            with self.lock:
                if not self.failed:  # what is not on disk is not said: after a crash this member would not know it
                    self.coordinator.mark_applied(found.number, open_at)
            if self.coordinator.strict:
                self.overlay.reject_all(doubt)
            if sure:
                self.state_known.set()
            self.tell(found)

    def doubted(self, server: str) -> bool:
        """Just before a write. Guards against a process that was stopped while machines went, or whose threads had no turn."""
        if server not in self.unsure and not self.coordinator.strict:
            return False
        if self.coordinator.strict:
            return self.coordinator.list_unknown(now())
        return not self.coordinator.list_lease.is_held(now())

    def tell(self, found: work_orders.WorkDocument) -> None:
        """A line of the log for each order that went a step further."""
        before, self.shown = self.shown, found
        if found is before:
            return
        old = {one.ident: one for one in before.orders}
        for one in found.orders:
            was = old.pop(one.ident, None)
            if was is None or was.state != one.state:
                log.info(
                    "work",
                    extra={
                        "kv": {
                            "order": one.ident,
                            "machine": one.machine,
                            "state": one.state,
                            "number": found.number,
                            "note": one.note or "-",
                        }
                    },
                )
            elif one.state == work_orders.FREE and one.note and one.note != was.note:
                log.warning("work_away", extra={"kv": {"order": one.ident, "machine": one.machine, "why": one.note}})
        for one in found.ended:
            if one.number > before.number:
                log.log(
                    logging.ERROR if one.how == work_orders.REFUSED else logging.INFO,
                    "work_ended",
                    extra={"kv": {"order": one.ident, "machine": one.machine, "how": one.how, "why": one.why or "-"}},
                )

    def reload(self, fleet: Fleet) -> bool:
        """An operators' file was read again; whether all of it is taken over. Members that vote, and what a member is, stay."""
        same = replace(fleet, members=self.wishes.members, work=self.wishes.work, left=self.wishes.left, first=self.wishes.first)
        mine = {name: fleet.members.get(name) for name in (*self.names, self.own)}
        if mine != {name: self.wishes.members[name] for name in mine} or same != self.wishes:
            fleet = replace(self.wishes, work=fleet.work, left=fleet.left)
            same = None
        with self.lock:
            self.coordinator.requests, self.coordinator.left_members = parse_requests(fleet.work, "fleet.work"), list(fleet.left)
            self.wishes = fleet
        return same is not None

    def found_fleet(self) -> None:
        """An operator's word that there was no fleet before; refused with the reason in the log."""
        with self.lock:
            try:
                if not self.votes:
                    raise ValueError("this member does not vote")
                if self.unread:
                    raise ValueError("what this member kept can't be read yet")
                self.node.found_fleet()
                self.keep()
            except ValueError as wrong:
                return log.error("not_founded", extra={"kv": {"why": str(wrong)}})
        log.info("founding")

    def keep(self) -> None:
        """What is not on disk is not so: this member goes on from what is, and says nothing new."""
        if self.store is None or self.unread:
            return
        register = (
            self.node.register
            if self.votes
            else consensus.blank_register(0, len(self.names), self.node.nonce)._replace(life=1, decided=self.node.decided)
        )
        if register == self.kept:
            return
        if not register.life:  # knows nothing that is worth a write; and must not stand in for what is kept
            return
        try:
            self.store.keep(register)
            self.kept, self.failed = register, False
        except StoreFailed as wrong:
            if self.votes:
                self.node.register = self.kept or consensus.blank_register(register.member, len(self.names), register.nonce)
            if not self.failed:
                log.error("not_kept", extra={"kv": {"why": str(wrong)}})
            self.failed = True

    # The line.

    def publish(self) -> None:
        if self.unread and self.votes:
            return
        with self.lock:
            line = self.node.line()
            without = without_loads(line)
            if without == self.last or self.node.fenced:
                return
            self.coordinator.line_published()
        with self.told:
            self.last, self.rev = without, self.rev + 1
            self.data = json.dumps({"rev": self.rev, **line}, separators=(",", ":")).encode() + b"\n"
            self.told.notify_all()

    def accept(self) -> None:
        while True:
            try:
                conn, _ = self.listener.accept()
            except OSError as wrong:
                log.error("accept", extra={"kv": {"why": str(wrong)}})
                time.sleep(EVERY)
                continue
            if self.unread and self.votes or self.watchers >= 4 * len(self.wishes.members) + SPARE:
                conn.close()
                continue
            try:
                threading.Thread(target=self.serve, args=(conn,), name="fleet-watcher", daemon=True).start()
            except RuntimeError:
                conn.close()

    @staticmethod
    def ended(conn: socket.socket) -> bool:
        """Guards against readers that went and are counted as there until two lines failed to reach them."""
        poll = select.poll()
        poll.register(conn, select.POLLIN)
        return bool(poll.poll(0)) and conn.recv(ASK) == b""

    def serve(self, conn: socket.socket) -> None:
        with self.told:
            self.watchers += 1
        try:
            with conn:
                conn.settimeout(SLOW)
                held = b""
                while b"\n" not in held:
                    data = conn.recv(ASK)
                    held += data
                    if not data or len(held) > ASK:
                        return
                if not held.startswith(b"watch "):
                    return
                sent = 0
                while not self.node.fenced:
                    if self.ended(conn):
                        return
                    with self.told:
                        if self.rev == sent:
                            self.told.wait(self.every)
                        data = self.data if self.rev != sent else b"%d\n" % sent
                        sent = self.rev
                    conn.sendall(data)
        except OSError:
            pass  # it comes again
        except Exception:
            contained_errors.record("fleet-watcher")
        finally:
            with self.told:
                self.watchers -= 1
