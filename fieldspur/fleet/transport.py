"""The sockets and threads of a fleet member. It publishes this member's line with the protocol of the discovery service: a reader
sends `watch N` and gets numbered JSON events, or only the last number once a second while nothing changes. The lines of the
others are read with the discovery client. Each line contains the full state, so the next line makes up for a missed one."""

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
from fieldspur.fleet.register_store import RegisterStore, StoreFailed, StoreUnreadable
from fieldspur.fleet.work_requests import parse_requests
from fieldspur.net.discovery import DiscoveryClient
from fieldspur.net.invariants import contained_errors, keep_running
from fieldspur.operators import Fleet, parse_member
from fieldspur.record import replace

log = logging.getLogger("fieldspur.fleet")
MAX_LINE_INTERVAL_S = 1.0  # readers get at least the number of the last line this often, or once a beat if that is shorter
MIN_POLL_INTERVAL_S = 0.02  # the member is not polled more often, so that changes within it are published as one line
MAX_REQUEST_BYTES = 64  # a reader may not send more; its only request is `watch N`
SPARE_READERS = 64  # allowed besides four connections of each member: operators, and closed connections not yet detected
SEND_TIMEOUT_S = 2.0  # a reader that does not receive a line within this time is disconnected
NO_COORDINATOR_LEASES = 5  # after this many lease lengths without a coordinator a warning is logged
LOAD_POLL_S = 1.0  # how often the loads of the servers are read from the Router
LOAD_POLL_WARMING_S = 0.3  # how often the loads are read while a machine is in slow start after its maintenance


def boottime_ns() -> int:
    """A clock that nobody sets, and that also advances while the process or the machine is stopped."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME)


class Peer(DiscoveryClient):
    """Reads the lines of one other member with the discovery client. `member_id` is the index of a voting member or the name of a
    follower."""

    def __init__(self, transport: Transport, member_id: int | str, where: tuple[str, int], seed: int):
        super().__init__(where, self, seed)
        self.transport, self.member_id, self.bad_line_count = transport, member_id, 0
        self.name = member_id if isinstance(member_id, str) else transport.voter_names[member_id]
        self.enabled = threading.Event()  # set while the lines of this member are to be read
        self.removed = False

    def start_batch(self) -> None:
        """Does nothing, like `finish_batch`: each line is handled as soon as it arrives."""

    def finish_batch(self) -> None:
        pass

    def log_lost(self, reason: str) -> None:
        log.warning("lost", extra={"kv": {"member": self.name, "why": reason}})

    def set_enabled(self, enabled: bool) -> None:
        """Starts or stops reading this member. Only the coordinator reads followers."""
        if enabled and not self.enabled.is_set():
            self.enabled.set()
        elif not enabled and self.enabled.is_set():
            self.enabled.clear()
            self.change_address(self.server_address, [])  # ends the connection

    def watch(self) -> None:
        self.enabled.wait()
        if self.removed:
            raise SystemExit  # ends this thread only
        super().watch()

    def remove(self) -> None:
        """Ends the connection and the thread of this reader."""
        self.removed = True
        self.enabled.set()
        self.change_address(self.server_address, [])

    def handle_line(self, data: bytes) -> None:
        """Handles a line with content, which each connection begins with, or a bare number, which says that the member is alive and has
        nothing new. Such a number counts only on a connection whose lines are the member's: another process may have come up at the
        address of a member that is gone, and would be taken for it for good."""
        value = json.loads(data)
        if isinstance(value, dict) and ("register" in value or "follower" in value):
            self.last_number = value.get("rev") if type(value.get("rev")) is int else self.last_number
            self.current_watch.line_accepted = False
            try:
                self.transport.receive_line(self.member_id, value)
                self.current_watch.line_accepted = True
            except register_codec.BadLine as error:  # reading goes on: the member may be of another version or fleet
                self.bad_line_count += 1
                if self.bad_line_count in (1, 10, 100, 1000):
                    log.error("unusable", extra={"kv": {"member": self.name, "why": str(error), "times": self.bad_line_count}})
        elif type(value) is int and self.current_watch.line_accepted:
            self.transport.receive_heartbeat(self.member_id)


class Transport:
    """A voting member or a follower, with its threads. `overlay` keeps the router from using machines that are withdrawn. Raises
    StoreFailed if the folder can't be used, OSError if the address can't be listened on."""

    def __init__(self, settings: Fleet, own_name: str, seed: int, overlay: ServerListOverlay):
        self.voter_names = sorted(settings.votes or settings.members)
        self.settings, self.own_name, self.seed, self.overlay = settings, own_name, seed, overlay
        voter_count, lease_length = len(self.voter_names), int(settings.lease_s * 1e9)
        nonce = int.from_bytes(os.urandom(6), "big") + 1
        is_voter = own_name in self.voter_names
        own_number = self.voter_names.index(own_name) if is_voter else 0
        self.store = (
            RegisterStore(settings.folder, settings.name if is_voter else f"{settings.name}, followed", own_number, voter_count)
            if settings.folder
            else None
        )
        self.unreadable_reason = ""  # why the store can't be read yet: until it can, this member does not know what it has promised
        stored = self.load_at_start()
        site, bounds = overlay.site, settings.bounds
        max_time_limit = max((rule.time_limit for rule in site.rules), default=0)
        self.coordinator = Coordinator(
            self.voter_names,
            own_name,
            site.zones[site.pool_options["zone"]],
            lease_length,
            planner.Bounds(bounds.zone, bounds.all, bounds.both, bounds.headroom, bounds.fills_s, bounds.parents, bounds.at_once),
            settings.unsure == "turn_away",
            max_time_limit,
            max(site.pool_options["cache_slow_start"][1], site.pool_options["parent_slow_start"][1]),
        )
        self.coordinator.requests, self.coordinator.left_members = parse_requests(settings.work, "fleet.work"), list(settings.left)
        if is_voter:
            register = consensus.resume(stored, nonce) if stored is not None else consensus.blank_register(own_number, voter_count, nonce)
            self.member = Member(settings.name, register, voter_count, boottime_ns(), lease_length, seed, stored is None, self.coordinator)
            self.coordinator.update_document(register.decided.value)
            stored = register if stored is not None else None  # as this process resumed it: a failed write falls back to this register
        else:
            self.member = Follower(
                settings.name,
                own_name,
                nonce,
                voter_count,
                boottime_ns(),
                lease_length,
                self.coordinator,
                stored.decided if stored else None,
            )
        self.is_voter = is_voter
        self.line_interval = min(MAX_LINE_INTERVAL_S, self.member.beat / 1e9)
        self.stored, self.store_failed, self.was_coordinator, self.logged_life = (
            stored,
            bool(self.unreadable_reason),
            False,
            stored.life if is_voter and stored else 0,
        )
        self.rev, self.data, self.last_line = 0, b"", {}  # of the line published last: its number, bytes and content
        self.state_known = threading.Event()  # set once it is known which machines are withdrawn, or that there is no fleet yet
        # Machines that may be used only under the list lease, and the work document that was logged last.
        self.lease_only, self.logged_document = frozenset(), work_orders.EMPTY_DOCUMENT
        self.no_coordinator_since, self.no_coordinator_logged = 0, False
        self.apply_lock = threading.Lock()
        self.member_lock = threading.Lock()
        self.line_changed = threading.Condition()
        self.reader_count = 0
        self.listener = socket.create_server(parse_member(settings.members[own_name])[0], backlog=min(512, len(settings.members)))
        self.peers = [
            Peer(self, n, parse_member(settings.members[name])[0], seed + n) for n, name in enumerate(self.voter_names) if name != own_name
        ]
        for peer in self.peers:
            peer.set_enabled(True)
        self.follower_peers: dict[str, Peer] = {}  # read while this member is the coordinator
        overlay.set_usage_check(self.may_be_out)
        self.apply_document()
        log.info(
            "member",
            extra={
                "kv": {
                    "fleet": settings.name,
                    "member": own_name,
                    "of": len(settings.members),
                    "votes": is_voter,
                    "memory": stored is not None,
                }
            },
        )

    def start(self) -> None:
        self.publish()
        threads = [("fleet", self.run), ("fleet-listen", self.accept_readers)]
        threads += [(f"fleet-{peer.name}", peer.run) for peer in self.peers]
        for name, run in threads:
            threading.Thread(target=keep_running, args=(name, run), name=name, daemon=True).start()

    # The store.

    def load(self) -> consensus.Register | None:
        """The stored register. Raises StoreUnreadable if it can't be read now, StoreFailed if another version wrote it."""
        stored = self.store.load()
        try:
            for stamped in (stored.accepted, stored.said, stored.decided) if stored is not None else ():
                work_orders.read_document(stamped.value)
        except work_orders.BadOrder as error:
            raise StoreFailed(f"the stored register is from another version: {error}") from None
        return stored

    def load_at_start(self) -> consensus.Register | None:
        """A disk that fails at the start does not keep the router from serving: the load is retried later."""
        if self.store is None:
            return None
        try:
            return self.load()
        except StoreUnreadable as error:
            self.log_unreadable(error)
            return None

    def log_unreadable(self, error: StoreFailed) -> None:
        if str(error) != self.unreadable_reason:
            self.unreadable_reason = str(error)
            log.error("not_read", extra={"kv": {"why": self.unreadable_reason}})

    def retry_load(self) -> None:
        """Until the stored register can be read, a voting member publishes nothing, and so counts as absent. It still reads what the
        others decide and applies it. Nothing is written meanwhile."""
        try:
            stored = self.load()
        except StoreFailed as error:
            return self.log_unreadable(error)
        with self.member_lock:
            if stored is not None:
                self.member.restore(stored, boottime_ns())
                if self.is_voter:
                    stored, self.logged_life = self.member.register, stored.life
            self.stored, self.unreadable_reason, self.store_failed = stored, "", False
        log.info("read", extra={"kv": {"memory": stored is not None}})

    # The member; `member_lock` admits one thread at a time.

    def receive_line(self, member_id: int | str, value: dict) -> None:
        with self.member_lock:
            number_before = self.coordinator.document.number
            if isinstance(member_id, str):
                self.member.receive_follower_line(member_id, value, boottime_ns())
            else:
                self.member.receive_line(member_id, value, boottime_ns())
            self.save()
            is_new_document = self.coordinator.document.number != number_before
        if is_new_document:
            self.apply_document()
            self.publish()

    def receive_heartbeat(self, member_id: int | str) -> None:
        """Handles a line that is only a number: the member is alive, and its content has not changed."""
        with self.member_lock:
            self.member.receive_heartbeat(member_id, boottime_ns())

    def run(self) -> None:
        loads_polled_at, fence_logged = 0.0, False
        while True:
            time.sleep(max(MIN_POLL_INTERVAL_S, self.member.beat / 4e9))
            if self.member.fenced != fence_logged:  # it publishes nothing more, and uses its list until its list lease ends
                fence_logged = True
                log.error("fenced", extra={"kv": {"why": "a later process with this name is a member; this one no longer takes part"}})
            if self.unreadable_reason:
                self.retry_load()
            if time.monotonic() - loads_polled_at >= (LOAD_POLL_WARMING_S if self.coordinator.returning() else LOAD_POLL_S):
                loads_polled_at = time.monotonic()
                self.overlay.request_loads(self.update_loads)
            with self.member_lock:
                self.coordinator.unix_ms, self.coordinator.listings = time.time_ns() // 1_000_000, self.overlay.listings
                self.member.tick(boottime_ns())
                self.save()
                is_coordinator = self.member.is_coordinator(boottime_ns())
            self.apply_document()
            self.publish()
            if self.is_voter:
                self.update_role(is_coordinator)

    def update_role(self, is_coordinator: bool) -> None:
        """Logs changes of this member's role, and reads the followers while it is the coordinator."""
        with self.member_lock:
            life, promised = self.member.register.life, self.member.register.promised
            has_coordinator = is_coordinator or self.member.follows_coordinator(boottime_ns())
        if life != self.logged_life:
            self.logged_life = life
            log.info("counts_again", extra={"kv": {"life": life}})
        if is_coordinator != self.was_coordinator:
            self.was_coordinator = is_coordinator
            log.info("acting" if is_coordinator else "acts_no_more", extra={"kv": {"ballot": "%d.%d" % promised}})
        self.read_followers(is_coordinator)
        if has_coordinator:
            self.no_coordinator_since, self.no_coordinator_logged = 0, False
        elif not self.no_coordinator_since:
            self.no_coordinator_since = boottime_ns()
        elif (
            not self.no_coordinator_logged and boottime_ns() - self.no_coordinator_since > NO_COORDINATOR_LEASES * self.member.lease.length
        ):
            self.no_coordinator_logged = True
            log.warning(
                "nobody_acts",
                extra={
                    "kv": {
                        "counts": sum(view is not None and view.life > 0 for view in self.member.all_views()),
                        "of": len(self.voter_names),
                    }
                },
            )

    def read_followers(self, enabled: bool) -> None:
        members = self.settings.members
        wanted = {name for name in members if name not in self.voter_names and name != self.own_name}
        for name in set(self.follower_peers) - wanted:
            self.follower_peers.pop(name).remove()
            with self.member_lock:
                self.member.failure_detector.forget(name)
        for n, name in enumerate(sorted(wanted - set(self.follower_peers)) if enabled else ()):
            peer = self.follower_peers[name] = Peer(self, name, parse_member(members[name])[0], self.seed + len(self.voter_names) + n)
            threading.Thread(target=keep_running, args=(f"fleet-{name}", peer.run), name=f"fleet-{name}", daemon=True).start()
        for peer in self.follower_peers.values():
            peer.set_enabled(enabled)

    def update_loads(self, loads: dict, rejected_rates: tuple) -> None:
        self.coordinator.loads, self.coordinator.rejected_rates, self.coordinator.fresh_loads = loads, rejected_rates, True

    # Machines that are withdrawn from routing.

    def apply_document(self) -> None:
        """Makes the router use the latest known document. What this member then reports about it is already true."""
        with self.apply_lock:
            with self.member_lock:
                now = boottime_ns()
                document, withdrawn, returning = self.coordinator.document, self.coordinator.withdrawn(now), self.coordinator.returning()
                list_unknown, is_up_to_date = self.coordinator.list_unknown(now), self.member.is_up_to_date()
            self.lease_only = self.coordinator.announced()
            self.overlay.withdraw(withdrawn, returning)
            open_hops = self.overlay.count_open_hops(sorted(self.lease_only))
            with self.member_lock:
                if not self.store_failed:  # what is not on disk must not be reported: after a crash this member would not know it
                    self.coordinator.mark_applied(document.number, open_hops)
            if self.coordinator.strict:
                self.overlay.reject_all(list_unknown)
            if is_up_to_date:
                self.state_known.set()
            self.log_changes(document)

    def may_be_out(self, server: str) -> bool:
        """Whether `server` may be out for maintenance; asked just before each write to it. Guards against a process that was stopped,
        or whose threads did not run, while machines were withdrawn."""
        if server not in self.lease_only and not self.coordinator.strict:
            return False
        if self.coordinator.strict:
            return self.coordinator.list_unknown(boottime_ns())
        return not self.coordinator.list_lease.is_held(boottime_ns())

    def log_changes(self, document: work_orders.WorkDocument) -> None:
        """Logs each work order that changed its state since the document that was logged last."""
        previous, self.logged_document = self.logged_document, document
        if document is previous:
            return
        old_orders = {order.ident: order for order in previous.orders}
        for order in document.orders:
            old = old_orders.pop(order.ident, None)
            if old is None or old.state != order.state:
                log.info(
                    "work",
                    extra={
                        "kv": {
                            "order": order.ident,
                            "machine": order.machine,
                            "state": order.state,
                            "number": document.number,
                            "note": order.note or "-",
                        }
                    },
                )
            elif order.state == work_orders.FREE and order.note and order.note != old.note:
                log.warning("work_away", extra={"kv": {"order": order.ident, "machine": order.machine, "why": order.note}})
        for ended in document.ended:
            if ended.number > previous.number:
                log.log(
                    logging.ERROR if ended.how == work_orders.REFUSED else logging.INFO,
                    "work_ended",
                    extra={"kv": {"order": ended.ident, "machine": ended.machine, "how": ended.how, "why": ended.why or "-"}},
                )

    def reload(self, settings: Fleet) -> bool:
        """Applies an operators' file that was read again. Returns whether all of it is applied: the voting members and the addresses of
        running members stay as they were at the start."""
        expected = replace(
            settings, members=self.settings.members, work=self.settings.work, left=self.settings.left, first=self.settings.first
        )
        fixed_members = {name: settings.members.get(name) for name in (*self.voter_names, self.own_name)}
        if fixed_members != {name: self.settings.members[name] for name in fixed_members} or expected != self.settings:
            settings = replace(self.settings, work=settings.work, left=settings.left)
            expected = None
        with self.member_lock:
            self.coordinator.requests, self.coordinator.left_members = parse_requests(settings.work, "fleet.work"), list(settings.left)
            self.settings = settings
        return expected is not None

    def found_fleet(self) -> None:
        """An operator declares that no fleet existed before. If that is refused, the reason is logged."""
        with self.member_lock:
            try:
                if not self.is_voter:
                    raise ValueError("this member does not vote")
                if self.unreadable_reason:
                    raise ValueError("the stored register of this member can't be read yet")
                self.member.found_fleet()
                self.save()
            except ValueError as error:
                return log.error("not_founded", extra={"kv": {"why": str(error)}})
        log.info("founding")

    def save(self) -> None:
        """Stores the register. If that fails, this member goes back to the register that is on disk, and reports nothing new."""
        if self.store is None or self.unreadable_reason:
            return
        register = (
            self.member.register
            if self.is_voter
            else consensus.blank_register(0, len(self.voter_names), self.member.nonce)._replace(life=1, decided=self.member.decided)
        )
        if register == self.stored:
            return
        if not register.life:  # a blank register is not worth a write, and must not replace the stored one
            return
        try:
            self.store.save(register)
            self.stored, self.store_failed = register, False
        except StoreFailed as error:
            if self.is_voter:
                self.member.register = self.stored or consensus.blank_register(register.member, len(self.voter_names), register.nonce)
            if not self.store_failed:
                log.error("not_kept", extra={"kv": {"why": str(error)}})
            self.store_failed = True

    # The published line.

    def publish(self) -> None:
        if self.unreadable_reason and self.is_voter:
            return
        with self.member_lock:
            line = self.member.line()
            content = without_loads(line)
            if content == self.last_line or self.member.fenced:
                return
            self.coordinator.line_published()
        with self.line_changed:
            self.last_line, self.rev = content, self.rev + 1
            self.data = json.dumps({"rev": self.rev, **line}, separators=(",", ":")).encode() + b"\n"
            self.line_changed.notify_all()

    def accept_readers(self) -> None:
        while True:
            try:
                conn, _ = self.listener.accept()
            except OSError as error:
                log.error("accept", extra={"kv": {"why": str(error)}})
                time.sleep(MAX_LINE_INTERVAL_S)
                continue
            if self.unreadable_reason and self.is_voter or self.reader_count >= 4 * len(self.settings.members) + SPARE_READERS:
                conn.close()
                continue
            try:
                threading.Thread(target=self.serve_reader, args=(conn,), name="fleet-watcher", daemon=True).start()
            except RuntimeError:
                conn.close()

    @staticmethod
    def is_closed(conn: socket.socket) -> bool:
        """Whether the reader closed the connection. Without this check a closed connection counts as a reader until two lines failed to
        reach it."""
        poll = select.poll()
        poll.register(conn, select.POLLIN)
        return bool(poll.poll(0)) and conn.recv(MAX_REQUEST_BYTES) == b""

    def serve_reader(self, conn: socket.socket) -> None:
        with self.line_changed:
            self.reader_count += 1
        try:
            with conn:
                conn.settimeout(SEND_TIMEOUT_S)
                request = b""
                while b"\n" not in request:
                    data = conn.recv(MAX_REQUEST_BYTES)
                    request += data
                    if not data or len(request) > MAX_REQUEST_BYTES:
                        return
                if not request.startswith(b"watch "):
                    return
                sent_rev = 0
                while not self.member.fenced:
                    if self.is_closed(conn):
                        return
                    with self.line_changed:
                        if self.rev == sent_rev:
                            self.line_changed.wait(self.line_interval)
                        data = self.data if self.rev != sent_rev else b"%d\n" % sent_rev
                        sent_rev = self.rev
                    conn.sendall(data)
        except OSError:
            pass  # the reader connects again
        except Exception:
            contained_errors.record("fleet-watcher")
        finally:
            with self.line_changed:
                self.reader_count -= 1
