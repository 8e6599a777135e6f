"""The client of the discovery service, which publishes changes of the server list and purges as numbered events."""

from __future__ import annotations

import json
import logging
import random
import select
import socket
import threading
import time

from fieldspur.record import record
from fieldspur.site import MS, ConfigError, Section, parse_address

log = logging.getLogger("fieldspur.board")
STATES = {"up": "up", "draining": "draining", "removed": "gone"}  # of a server: as discovery calls it -> as the Router does
SILENCE_LIMIT_S = 2.0  # after that long without a whole line the events are asked for again; the service writes one line each second
MAX_WATCHES = 4  # connections at once, so that the oldest may be silent for 8 s: all counts as told after 7 s
FURTHER_CONNECT_LIMIT_S = 0.25  # for a further connection, as nothing is read from the others meanwhile
MIN_RECONNECT_S = 0.05  # pause before a reconnect; doubled after each connection that brought no event
MAX_RECONNECT_S = 1.0
MAX_LINE_BYTES = 4 << 20
# When no data follows some events for that long, all past events have arrived. The bare number that follows them may take a second more.
SETTLE_S = 0.04
CATCH_UP_LIMIT_S = 0.25  # `wait_until_caught_up` waits no longer than that
CATCH_UP_POLL_S = 0.0005  # pause between its checks


@record(frozen=True)
class ListedServer:
    """One server of the list. `started` is its start in Unix time (ns), 0 if it has been there from the first."""

    name: str
    address: tuple[str, int]
    zone: str
    kind: str
    cell: int
    state: str
    rating: float
    started: int


@record(frozen=True)
class ListChange:
    """The whole server list if `complete`, otherwise the servers that have changed."""

    complete: bool
    servers: tuple[ListedServer, ...]


@record(frozen=True)
class Purge:
    """A purge of one object, or of a group if `obj` is None; `at` is its Unix time (ns)."""

    obj: str | None
    group: int
    at: int


def parse_server(row: Section) -> ListedServer:
    state = row.choice("status", STATES, "up")
    gone = state == "gone"
    return ListedServer(
        row.text("name"),
        parse_address(row.text("address", "-:1" if gone else ""), row.path_of("address")),
        row.text("zone", ""),
        row.text("type", ""),
        row.integer("group", 0, minimum=-1),
        state,
        row.number("weight", 1.0),
        row.integer("since_ms", 0) * MS,
    )


class EventGap(Exception):
    """Events are missing between the last one and the received number."""


WATCH_ERRORS = OSError, ValueError, RecursionError, ConfigError, EventGap  # end one connection


class Watch:
    """One connection over which events were asked for."""

    def __init__(self, sock: socket.socket):
        self.sock = sock
        self.partial_line = b""
        self.line_accepted = False  # used by a subclass: the last line with content that came here was valid

    def has_unread_bytes(self) -> bool:
        if self.sock.fileno() < 0:
            return False
        poll = select.poll()
        poll.register(self.sock, select.POLLIN)
        return any(event & select.POLLIN for _, event in poll.poll(0))  # a socket that is not connected does not count


class DiscoveryClient:
    """Receives the events of the discovery service and passes each to `subscriber` once, in order.

    The subscriber (a RouterHost or a ServerListOverlay) has `list_received` and `purge_received`; calls of them come between
    `start_batch` and `finish_batch`."""

    def __init__(self, server_address: tuple[str, int], subscriber, seed: int):
        self.server_address, self.subscriber, self.random = server_address, subscriber, random.Random(seed)
        self.config_events: list = []  # events from a new configuration, not handled yet
        self.address_changed = threading.Event()  # set until `run` has noticed the change
        self.caught_up = threading.Event()  # set once all past events have arrived without a gap
        self.watches: tuple[Watch, ...] = ()  # the open connections, the oldest first; usually one
        self.current_watch: Watch | None = None  # the one whose lines are being handled
        self.read_lock = threading.Lock()  # held from a read until its events are passed to the subscriber
        self.thread_ident = 0  # ident of the thread that reads
        self.last_line_at = time.monotonic()  # when the last whole line arrived
        self.longest_wait = 0.0  # the longest wait in `wait_until_caught_up`, in seconds; the reader of this counter resets it
        self.excused_line_at = 0.0  # the `last_line_at` at which a wait timed out; until the next line nobody waits again
        self.last_number = 0  # number of the last event
        self.list_changes = self.purges = 0  # events passed on so far
        self.rows: dict[str, dict] = {}  # the list as received, by server name; a change may contain only the changed fields

    def parse_event(self, value: Section) -> ListChange | Purge | None:
        """Parses an event; returns None for an unknown kind of event."""
        if "pool" in value.value:
            pool = value.section("pool")
            complete, changed = bool(pool.value.get("snapshot")), []
            for row in pool.sections("endpoints"):
                try:
                    old = {} if complete else self.rows.get(row.text("name"), {})
                    changed.append(parse_server(Section(old | row.value, row.path)))
                    self.rows[row.text("name")] = old | row.value
                    if changed[-1].state == "gone":
                        del self.rows[row.text("name")]
                except ConfigError as error:  # an unusable row does not affect the others
                    log.error("unusable", extra={"kv": {"why": str(error)}})
            return ListChange(complete, tuple(changed))
        if "flush" in value.value:
            flush = value.section("flush")
            obj = flush.text("asset", "") or None
            return Purge(obj, flush.integer("collection", -1, minimum=-1), flush.integer("ms") * MS)
        return None

    def deliver(self, event: ListChange | Purge | None, at_start: bool = False) -> None:
        """Logs, counts and passes an event to the subscriber. `at_start`: before any thread runs."""
        if isinstance(event, ListChange):
            self.list_changes += 1
            states = [row.state for row in event.servers]
            log.info(
                "list",
                extra={
                    "kv": {
                        "rev": self.last_number,
                        "complete": int(event.complete),
                        **{state: states.count(state) for state in STATES.values()},
                    }
                },
            )
            self.subscriber.list_received(event, at_start)
        elif event is not None:
            self.purges += 1
            self.subscriber.purge_received(event, at_start)

    def may_be_behind(self) -> bool:
        """Returns whether data lies unread in the socket, or no line came for so long that events may have been missed."""
        if time.monotonic() - self.last_line_at > SILENCE_LIMIT_S and self.excused_line_at != self.last_line_at:
            return True
        return any(watch.has_unread_bytes() for watch in self.watches)

    def wait_until_caught_up(self) -> None:
        """Waits, for a moment at most, until everything that the service has sent is passed on.

        This guards against writing a hop by an outdated list when the process was stopped, or its other threads had the CPU, between
        the arrival of a list change and the write. If the service stays silent for longer, nobody waits again until its next line:
        the router continues with the list that it has."""
        if threading.get_ident() == self.thread_ident:
            return
        began = time.monotonic()
        while True:
            with self.read_lock:
                behind = self.may_be_behind()
            if not behind:
                return
            self.longest_wait = max(self.longest_wait, time.monotonic() - began)
            if time.monotonic() - began > CATCH_UP_LIMIT_S:
                self.excused_line_at = self.last_line_at
                return
            time.sleep(CATCH_UP_POLL_S)

    def apply_initial_events(self, config_events: list, last_number: int) -> None:
        """Applies the events from the configuration, before any thread runs."""
        for index, value in enumerate(config_events):
            self.deliver(self.parse_event(Section(value, f"known.notices[{index}]")), at_start=True)
        self.last_number = last_number

    def handle_line(self, data: bytes) -> None:
        """Handles a line: an event, or the bare number of the last event. Raises EventGap if events are missing before it."""
        value = json.loads(data)
        number = value.get("rev") if isinstance(value, dict) else value
        if not isinstance(number, int):
            raise ConfigError("rev: missing")
        bare = not isinstance(value, dict) or len(value) == 1
        if number > self.last_number + (not bare):
            raise EventGap(f"{self.last_number} is followed by {number}")
        if not bare and number == self.last_number + 1:
            self.handle_event(value)
        elif bare and number <= self.last_number:
            self.caught_up.set()

    def handle_event(self, value: dict) -> None:
        self.last_number = value["rev"]  # set first, so that an event with unusable content is not requested again
        self.deliver(self.parse_event(Section(value, "event")))

    def change_address(self, server_address: tuple[str, int], config_events: list) -> None:
        """Switches to another address after a new configuration, with that configuration's events. Any thread may call it at any time."""
        self.server_address, self.config_events = server_address, config_events
        self.address_changed.set()
        for watch in self.watches:
            try:
                watch.sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass  # not connected yet: `open_watch` checks `address_changed` after its connect

    def run(self) -> None:
        """The thread that reads: connects again and again, with a pause after each connection that ended."""
        self.thread_ident = threading.get_ident()
        wait = MIN_RECONNECT_S
        while True:
            number_before = self.last_number
            if self.address_changed.is_set():
                self.address_changed.clear()
                wait = MIN_RECONNECT_S
            try:
                for value in self.config_events:
                    if isinstance(value, dict) and value.get("rev") == self.last_number + 1:
                        self.handle_event(value)
                self.watch()
                reason = "moved" if self.address_changed.is_set() else "closed"
            except WATCH_ERRORS as error:
                reason = str(error) or type(error).__name__
            wait = MIN_RECONNECT_S if self.last_number > number_before else min(MAX_RECONNECT_S, 2 * wait)
            self.log_lost(reason)
            self.address_changed.wait(wait * self.random.uniform(0.5, 1.0))

    def log_lost(self, reason: str) -> None:
        """Logs the end of a connection."""
        log.warning("lost", extra={"kv": {"why": reason, "last": self.last_number}})

    def watch(self) -> None:
        """Reads events until no connection is left."""
        try:
            self.read_events()
        finally:
            self.subscriber.finish_batch()  # handles what was passed on before the end
            for watch in self.watches:
                self.close_watch(watch)

    def open_watch(self, connect_limit_s: float) -> None:
        """Connects and asks for the events that follow. Raises OSError."""
        watch = Watch(socket.socket())
        self.watches += (watch,)
        try:
            watch.sock.settimeout(connect_limit_s)
            watch.sock.connect(self.server_address)
            if self.address_changed.is_set():
                raise ConnectionAbortedError("moved")
            watch.sock.sendall(b"watch %d\n" % self.last_number)
        except BaseException:
            self.close_watch(watch)
            raise

    def close_watch(self, watch: Watch) -> None:
        self.watches = tuple(other for other in self.watches if other is not watch)
        with self.read_lock:  # otherwise `may_be_behind` in another thread could poll a closed descriptor
            watch.sock.close()

    def read_events(self) -> None:
        """Connects, and reads lines until the service closes the connection. Raises the error that ended it.

        A service that stays silent is asked again over a further connection, and the silent one is kept: it may have stopped, so that
        waiting for it would miss events, or be so crowded that it needs longer than SILENCE_LIMIT_S, so that closing it would miss them
        for good. The first connection that brings a whole line stays, the others are closed."""
        self.open_watch(SILENCE_LIMIT_S / 2)
        asked_at, line_at = time.monotonic(), 0.0  # when events were last asked for; when the last line came since then
        while self.watches:  # data that has arrived is read before the silence is checked, however long this process was stopped
            silent_since = max(asked_at, line_at)
            time_left = max(0.0, silent_since + SILENCE_LIMIT_S - time.monotonic())
            settling = self.last_line_at == line_at and not self.watches[-1].partial_line and not self.caught_up.is_set()
            ready = self.wait_for_data(min(time_left, SETTLE_S) if settling else time_left)
            for watch in ready:
                if self.read_lines(watch):
                    line_at = self.last_line_at
                    break  # the others are closed
            if not ready and settling:
                self.caught_up.set()
            if self.watches and time.monotonic() - max(asked_at, line_at) >= SILENCE_LIMIT_S:
                asked_at = time.monotonic()
                self.ask_again()

    def wait_for_data(self, limit_s: float) -> list[Watch]:
        """Returns the connections with data or an end, after waiting for `limit_s` at most."""
        poll, by_descriptor = select.poll(), {watch.sock.fileno(): watch for watch in self.watches}
        for descriptor in by_descriptor:
            poll.register(descriptor, select.POLLIN)
        return [by_descriptor[descriptor] for descriptor, _ in poll.poll(limit_s * 1000)]

    def ask_again(self) -> None:
        """Opens a further connection beside those that are silent; the oldest one is given up if there are too many."""
        log.warning("silent", extra={"kv": {"watches": len(self.watches), "last": self.last_number}})
        if len(self.watches) >= MAX_WATCHES:
            self.close_watch(self.watches[0])
        try:
            self.open_watch(FURTHER_CONNECT_LIMIT_S)
        except OSError as error:
            if self.address_changed.is_set():
                raise
            self.log_lost(str(error))

    def read_lines(self, watch: Watch) -> bool:
        """Reads from a connection and handles the lines. Returns whether there were any; if so, all other connections are closed. An error
        or an end closes the connection; of the last one an error is raised."""
        try:
            has_lines = self.read_once(watch)
        except WATCH_ERRORS as error:
            is_last = len(self.watches) == 1
            self.close_watch(watch)
            if is_last:
                raise
            self.subscriber.finish_batch()
            self.log_lost(str(error) or type(error).__name__)
            return False
        if has_lines:
            for other in self.watches:
                if other is not watch:
                    self.close_watch(other)
        return has_lines

    def read_once(self, watch: Watch) -> bool:
        """Reads from a connection once and handles the lines. Returns whether there were any."""
        # All arrived events are passed on before this thread runs the Router: otherwise it could write hops that take
        # account of the first of these events only.
        self.subscriber.start_batch()
        has_lines, self.current_watch = False, watch
        with self.read_lock:
            data = watch.sock.recv(65_536)
            *lines, watch.partial_line = (watch.partial_line + data).split(b"\n")
            if len(watch.partial_line) > MAX_LINE_BYTES:
                raise ValueError("a line too long")
            for line in lines:
                if line.strip():
                    self.handle_line(line)
                    self.last_line_at = time.monotonic()
                    has_lines = True
        if not data:
            self.close_watch(watch)
        if not data or not watch.has_unread_bytes():
            self.subscriber.finish_batch()
        return has_lines
