"""The notice board: changes of the list of servers and purges, as numbered events."""

from __future__ import annotations

import json
import logging
import random
import socket
import threading
import time
from dataclasses import dataclass

from fieldspur.site import MS, BadSite, Part, address

log = logging.getLogger("fieldspur.board")
STATES = {"up": "up", "draining": "draining", "removed": "gone"}
SILENCE = 2.0  # seconds without a whole line; the board writes one each second
WAIT_FIRST, WAIT_MOST = 0.05, 1.0  # seconds between connections
MOST_LINE = 4 << 20


@dataclass(frozen=True, slots=True)
class Listed:
    name: str
    address: tuple[str, int]
    zone: str
    kind: str
    cell: int
    state: str
    rating: float
    started: int


@dataclass(frozen=True, slots=True)
class ListChange:
    complete: bool
    servers: tuple[Listed, ...]


@dataclass(frozen=True, slots=True)
class Purge:
    obj: str | None
    group: int
    at: int


def listed(row: Part) -> Listed:
    state = row.chosen("status", STATES, "up")
    gone = state == "gone"
    return Listed(row.text("name"),
                  address(row.text("address", "-:1" if gone else ""), row.at("address")), row.text("zone", ""),
                  row.text("type", ""), row.whole("group", 0, least=-1), state, row.number("weight", 1.0),
                  row.whole("since_ms", 0) * MS)


class Gap(Exception):
    """Events are missing before this one."""


class Board:
    """Reads the board and hands each event on once, in order."""

    def __init__(self, where: tuple[str, int], route, seed: int):
        self.where, self.route, self.random = where, route, random.Random(seed)
        self.known: list = []  # events that a new configuration brought
        self.moved = threading.Event()  # set while a move waits to be seen
        self.current = threading.Event()  # set once the board said its last number and nothing of it is missing
        self.sock = socket.socket()  # the present connection
        self.last = 0
        self.rows: dict[str, dict] = {}  # the list as told, for a change may hold only what has changed

    def event(self, value: Part) -> ListChange | Purge | None:
        """What an event tells; None where it is of a kind not known here."""
        if "pool" in value.value:
            pool = value.part("pool")
            complete, changed = bool(pool.value.get("snapshot")), []
            for row in pool.parts("endpoints"):
                try:
                    old = {} if complete else self.rows.get(row.text("name"), {})
                    changed.append(listed(Part(old | row.value, row.path)))
                    self.rows[row.text("name")] = old | row.value
                    if changed[-1].state == "gone":
                        del self.rows[row.text("name")]
                except BadSite as bad:  # one row that can't be used does not hold up the others
                    log.error("unusable", extra={"kv": {"why": str(bad)}})
            return ListChange(complete, tuple(changed))
        if "flush" in value.value:
            flush = value.part("flush")
            obj = flush.text("asset", "") or None
            return Purge(obj, flush.whole("collection", -1, least=-1), flush.whole("ms") * MS)
        return None

    def tell(self, told: ListChange | Purge | None, now: bool = False) -> None:
        if told is None:
            return
        what = self.route.list_changed if isinstance(told, ListChange) else self.route.purged
        if now:
            what(told)
        else:
            self.route.post(what, told)

    def begin(self, known: list, last: int) -> None:
        """Apply the events of the start, before any thread runs."""
        for n, value in enumerate(known):
            self.tell(self.event(Part(value, f"known.notices[{n}]")), now=True)
        self.last = last

    def line(self, data: bytes) -> None:
        value = json.loads(data)
        number = value.get("rev") if isinstance(value, dict) else value
        if not isinstance(number, int):
            raise BadSite("rev: missing")
        bare = not isinstance(value, dict) or len(value) == 1
        if number > self.last + (not bare):
            raise Gap(f"{self.last} is followed by {number}")
        if not bare and number == self.last + 1:
            self.take(value)
        elif bare and number <= self.last:
            self.current.set()

    def take(self, value: dict) -> None:
        self.last = value["rev"]  # whatever it holds, it is not asked for again
        self.tell(self.event(Part(value, "event")))

    def move(self, where: tuple[str, int], known: list) -> None:
        """A new configuration: watch there from now on. Called by another thread, at any moment."""
        self.where, self.known = where, known
        self.moved.set()
        try:
            self.sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass  # not connected: `watch` looks at `moved` once it is

    def run(self) -> None:
        wait = WAIT_FIRST
        while True:
            before = self.last
            if self.moved.is_set():
                self.moved.clear()
                wait = WAIT_FIRST
            try:
                for value in self.known:
                    if isinstance(value, dict) and value.get("rev") == self.last + 1:
                        self.take(value)
                self.watch()
                why = "moved" if self.moved.is_set() else "closed"
            except (OSError, ValueError, RecursionError, BadSite, Gap) as wrong:
                why = str(wrong) or type(wrong).__name__
            wait = WAIT_FIRST if self.last > before else min(WAIT_MOST, 2 * wait)
            log.warning("lost", extra={"kv": {"why": why, "last": self.last}})
            self.moved.wait(wait * self.random.uniform(0.5, 1.0))

    def watch(self) -> None:
        with socket.socket() as sock:
            self.sock = sock
            sock.settimeout(SILENCE / 2)
            sock.connect(self.where)
            if self.moved.is_set():
                return
            sock.sendall(b"watch %d\n" % self.last)
            held, heard = b"", time.monotonic()
            while (left := heard + SILENCE - time.monotonic()) > 0:
                sock.settimeout(left)
                data = sock.recv(65_536)
                if not data:
                    return
                *lines, held = (held + data).split(b"\n")
                if len(held) > MOST_LINE:
                    raise ValueError("a line too long")
                for line in lines:
                    if line.strip():
                        self.line(line)
                        heard = time.monotonic()
            raise TimeoutError("no whole line")
