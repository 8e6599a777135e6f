"""The notice board: changes of the list of servers and purges, as numbered events."""

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
STATES = {"up": "up", "draining": "draining", "removed": "gone"}
SILENCE_LIMIT_S = 2.0  # seconds without a whole line; the board writes one each second
WAIT_FIRST, WAIT_MOST = 0.05, 1.0  # seconds between connections
MOST_LINE = 4 << 20
SETTLE = 0.04  # seconds without more after events: what the board held has come, its last number may take a second yet
CATCH_UP_LIMIT_S, LOOK_PAUSE = 0.25, 0.0005  # seconds that `caught_up` takes at most; between its looks


@record(frozen=True)
class ListedServer:
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
    complete: bool
    servers: tuple[ListedServer, ...]


@record(frozen=True)
class Purge:
    obj: str | None
    group: int
    at: int


def listed(row: Section) -> ListedServer:
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


class Gap(Exception):
    """Events are missing before this one."""


class DiscoveryClient:
    """Reads the board and hands each event on once, in order."""

    def __init__(self, where: tuple[str, int], route, seed: int):
        self.server_address, self.subscriber, self.random = where, route, random.Random(seed)
        self.known: list = []  # events that a new configuration brought
        self.address_changed = threading.Event()  # set while a move waits to be seen
        self.caught_up = threading.Event()  # set once what the board held has come, and nothing of it is missing
        self.sock: socket.socket | None = None  # the present connection
        self.read_lock = threading.Lock()  # held from a read until all it brought is told
        self.thread = 0  # that reads
        self.last_line_at = time.monotonic()  # when a whole line last came
        self.longest_wait = 0.0  # the longest that a write waited for its word since the last look
        self.excused_line_at = 0.0  # that `heard` after which somebody waited in vain
        self.last_number = 0
        self.list_changes = self.purges = 0  # told so far
        self.rows: dict[str, dict] = {}  # the list as told, for a change may hold only what has changed

    def event(self, value: Section) -> ListChange | Purge | None:
        """What an event tells; None where it is of a kind not known here."""
        if "pool" in value.value:
            pool = value.section("pool")
            complete, changed = bool(pool.value.get("snapshot")), []
            for row in pool.sections("endpoints"):
                try:
                    old = {} if complete else self.rows.get(row.text("name"), {})
                    changed.append(listed(Section(old | row.value, row.path)))
                    self.rows[row.text("name")] = old | row.value
                    if changed[-1].state == "gone":
                        del self.rows[row.text("name")]
                except ConfigError as bad:  # one row that can't be used does not hold up the others
                    log.error("unusable", extra={"kv": {"why": str(bad)}})
            return ListChange(complete, tuple(changed))
        if "flush" in value.value:
            flush = value.section("flush")
            obj = flush.text("asset", "") or None
            return Purge(obj, flush.integer("collection", -1, minimum=-1), flush.integer("ms") * MS)
        return None

    def tell(self, told: ListChange | Purge | None, now: bool = False) -> None:
        if isinstance(told, ListChange):
            self.list_changes += 1
            states = [row.state for row in told.servers]
            log.info(
                "list",
                extra={
                    "kv": {
                        "rev": self.last_number,
                        "complete": int(told.complete),
                        **{state: states.count(state) for state in STATES.values()},
                    }
                },
            )
            self.subscriber.list_received(told, now)
        elif told is not None:
            self.purges += 1
            self.subscriber.purge_received(told, now)

    def may_be_behind(self) -> bool:
        """The board's word lies unread, or none came for so long that events may have passed this router by."""
        if time.monotonic() - self.last_line_at > SILENCE_LIMIT_S and self.excused_line_at != self.last_line_at:
            return True
        sock, poll = self.sock, select.poll()
        if sock is None or sock.fileno() < 0:
            return False
        poll.register(sock, select.POLLIN)
        return any(event & select.POLLIN for _, event in poll.poll(0))  # not of a connection that does not stand

    def wait_until_caught_up(self) -> None:
        """Waits, a moment at most, until what the board has sent is told. Guards against a hop written on an old list
        by a process that was stopped, or whose other threads had the core, between the board's word and the write. A
        board that says nothing for longer is not waited for again until it is heard: the router goes on as it is."""
        if threading.get_ident() == self.thread:
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
            time.sleep(LOOK_PAUSE)

    def apply_initial_events(self, known: list, last: int) -> None:
        """Apply the events of the start, before any thread runs."""
        for n, value in enumerate(known):
            self.tell(self.event(Section(value, f"known.notices[{n}]")), now=True)
        self.last_number = last

    def handle_line(self, data: bytes) -> None:
        value = json.loads(data)
        number = value.get("rev") if isinstance(value, dict) else value
        if not isinstance(number, int):
            raise ConfigError("rev: missing")
        bare = not isinstance(value, dict) or len(value) == 1
        if number > self.last_number + (not bare):
            raise Gap(f"{self.last_number} is followed by {number}")
        if not bare and number == self.last_number + 1:
            self.take(value)
        elif bare and number <= self.last_number:
            self.caught_up.set()

    def take(self, value: dict) -> None:
        self.last_number = value["rev"]  # whatever it holds, it is not asked for again
        self.tell(self.event(Section(value, "event")))

    def change_address(self, where: tuple[str, int], known: list) -> None:
        """A new configuration: watch there from now on. Called by another thread, at any moment."""
        self.server_address, self.known = where, known
        self.address_changed.set()
        sock = self.sock
        try:
            if sock is not None:
                sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass  # not connected: `watch` looks at `moved` once it is

    def run(self) -> None:
        self.thread = threading.get_ident()
        wait = WAIT_FIRST
        while True:
            before = self.last_number
            if self.address_changed.is_set():
                self.address_changed.clear()
                wait = WAIT_FIRST
            try:
                for value in self.known:
                    if isinstance(value, dict) and value.get("rev") == self.last_number + 1:
                        self.take(value)
                self.watch()
                why = "moved" if self.address_changed.is_set() else "closed"
            except (OSError, ValueError, RecursionError, ConfigError, Gap) as wrong:
                why = str(wrong) or type(wrong).__name__
            wait = WAIT_FIRST if self.last_number > before else min(WAIT_MOST, 2 * wait)
            self.log_lost(why)
            self.address_changed.wait(wait * self.random.uniform(0.5, 1.0))

    def log_lost(self, why: str) -> None:
        log.warning("lost", extra={"kv": {"why": why, "last": self.last_number}})

    def watch(self) -> None:
        try:
            self.listen()
        finally:
            self.subscriber.finish_batch()  # what was told and is not yet handled

    def listen(self) -> None:
        sock = socket.socket()
        try:
            self.listen_to(sock)
        finally:
            with self.read_lock:  # else who looks at it meets a descriptor that is closed meanwhile
                sock.close()

    def listen_to(self, sock: socket.socket) -> None:
        self.sock = sock
        sock.settimeout(SILENCE_LIMIT_S / 2)
        sock.connect(self.server_address)
        if self.address_changed.is_set():
            return
        sock.sendall(b"watch %d\n" % self.last_number)
        poll = select.poll()
        poll.register(sock, select.POLLIN)
        held, heard = b"", time.monotonic()
        while True:  # what lies there is read first, however long this process was stopped
            left = max(0.0, heard + SILENCE_LIMIT_S - time.monotonic())
            settles = self.last_line_at == heard and not held and not self.caught_up.is_set()
            if poll.poll((min(left, SETTLE) if settles else left) * 1000):
                # All that lies there is told before this thread takes a turn in the Router and writes by half of it.
                self.subscriber.start_batch()
                with self.read_lock:
                    data = sock.recv(65_536)
                    if not data:
                        return
                    *lines, held = (held + data).split(b"\n")
                    if len(held) > MOST_LINE:
                        raise ValueError("a line too long")
                    for line in lines:
                        if line.strip():
                            self.handle_line(line)
                            self.last_line_at = heard = time.monotonic()
                if not poll.poll(0):
                    self.subscriber.finish_batch()
            elif settles:
                self.caught_up.set()
            if time.monotonic() - heard >= SILENCE_LIMIT_S:
                raise TimeoutError("no whole line")
