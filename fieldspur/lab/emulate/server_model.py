"""Servers as the laboratory takes them to be: caches, parents and the store. Time is handed in, so that the same model
stands behind sockets and in simulated time. `docs/design/laboratory.md` lists what is assumed.

A server's clock is a `Clock`: `now()` in whole nanoseconds and `later(delay, what)`; what comes first happens first."""

from __future__ import annotations

import heapq
import itertools
import random
from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

MS, SECOND = 1_000_000, 1_000_000_000
START = 1 * MS  # what a hit takes beside its transfer
LEAST = 2 * MS  # of any transfer
REMEMBERED = 6 * SECOND  # keyed txns are known to the store for so long


class Clock(Protocol):
    def now(self) -> int: ...

    def later(self, delay: int, what: Callable[[], None]) -> None: ...


@dataclass(slots=True, eq=False)
class ReceivedHop:
    """One hop as a server has it. `end(word, note, waited, copy)` is called once unless it is given up."""

    rule: str
    obj: str
    part: int
    kb: float
    key: str | None
    source: Server | None
    rank: int
    within: int  # ns; 0: any age
    join: bool
    fetch: bool
    kept: bool  # the rule's answers are kept
    end: Callable
    ident: str = ""
    over: bool = False
    link: Shared | None = None  # where it is being sent,
    job: list | None = None  # ... and as what

    def give_up(self) -> None:
        """Nobody waits for it: what was still to be sent is not."""
        self.over = True
        if self.link is not None:
            self.link.drop(self.job)


@dataclass(slots=True, eq=False)
class Copy:
    issued: int  # when the store gave it out
    kb: float
    rank: int


class Shared:
    """Work that runs side by side: up to `rating` jobs at full pace, more of them slower in proportion. A job's end is
    kept as the amount of work done for each, so a change of pace touches no job."""

    def __init__(self, clock: Clock, rating: float):
        self.clock, self.rating, self.slow = clock, rating, 1.0
        self.done, self.at = 0.0, clock.now()  # work done for each job so far, in ns at full pace; as of when
        self.jobs: list = []  # heap of [its end on `done`, order, what]; without `what` it was given up
        self.active_jobs = 0  # those that were not
        self.order, self.woken = itertools.count(), 0

    def pace(self) -> float:
        return min(1.0, self.rating / self.active_jobs) / self.slow if self.active_jobs else 1.0

    def advance(self) -> None:
        now = self.clock.now()
        self.done, self.at = self.done + (now - self.at) * self.pace(), now

    def add(self, work: int, what: Callable[[], None]) -> list:
        self.advance()
        job = [self.done + max(LEAST, work), next(self.order), what]
        heapq.heappush(self.jobs, job)
        self.active_jobs += 1
        self.plan()
        return job

    def drop(self, job: list) -> None:
        if job[2] is not None:
            self.advance()
            job[2] = None
            self.active_jobs -= 1
            self.plan()

    def plan(self) -> None:
        while self.jobs and self.jobs[0][2] is None:
            heapq.heappop(self.jobs)
        if self.jobs:
            self.woken += 1
            number, left = self.woken, max(0.0, (self.jobs[0][0] - self.done) / self.pace())
            self.clock.later(int(left) + 1, lambda: self.wake(number))

    def wake(self, number: int) -> None:
        if number != self.woken:
            return  # planned anew since
        self.advance()
        while self.jobs and self.jobs[0][0] <= self.done + 1:
            job = heapq.heappop(self.jobs)
            if job[2] is not None:
                self.active_jobs -= 1
                what, job[2] = job[2], None
                what()
        self.plan()

    def change(self, rating: float | None = None, slow: float | None = None) -> None:
        self.advance()
        self.rating, self.slow = rating or self.rating, slow or self.slow
        self.plan()

    def clear(self) -> None:
        self.advance()
        for job in self.jobs:
            job[2] = None
        self.jobs.clear()
        self.active_jobs = 0
        self.woken += 1


class Server:
    """A cache or a parent. What it does wrong is set from outside: `silent`, `errors`, `late`, a slow `link`."""

    def __init__(self, clock: Clock, name: str, kind: str, rating: float, kb: float, kb_per_s: float, plan, zone: int = 0, seed: int = 0):
        self.clock, self.name, self.kind, self.rating, self.zone = clock, name, kind, rating, zone
        self.room, self.kb_per_s, self.plan = kb, kb_per_s, plan
        self.random = random.Random(f"{seed} {name}")
        self.state, self.started = "up", 0
        self.silent, self.errors, self.late = False, 0.0, 0
        self.fell = 0  # how often it was pushed over
        self.on_fall: Callable = lambda server: None
        self.on_offered: Callable = lambda server, work: None  # to a cold one
        self.counts = dict.fromkeys(("asked", "hits", "fills", "joined", "refused", "fed"), 0)
        self.begin()

    def begin(self) -> None:
        """A new process: empty."""
        self.up, self.held = True, 0.0
        self.copies: list[OrderedDict] = [OrderedDict() for _ in range(4)]  # by rank, longest unused first
        self.where: dict[tuple, int] = {}  # rank of each copy
        self.fills: dict[tuple, list] = {}  # under way; who waits for it
        self.link = Shared(self.clock, self.current_rating())
        self.work: deque = deque()  # (when, work) of the last second
        self.purged: dict[int, int] = {}  # by group (-1: all): copies given out before are not kept

    def current_rating(self) -> float:
        """How many transfers run at full pace now: a cold server does little."""
        if not self.started:
            return self.rating
        age = (self.clock.now() - self.started) / (self.plan.ramp_s * SECOND)
        return self.rating * min(1.0, self.plan.cold_share + (1 - self.plan.cold_share) * max(0.0, age))

    def cold(self) -> bool:
        return bool(self.started) and self.clock.now() - self.started < self.plan.ramp_s * SECOND

    def offered(self, work: int) -> None:
        """Counts what is asked of a cold server; far more than it can do in a second pushes it over."""
        if not self.cold():
            return
        now = self.clock.now()
        self.on_offered(self, work)
        self.work.append((now, work))
        while self.work[0][0] < now - SECOND:
            self.work.popleft()
        if abs(self.current_rating() - self.link.rating) > 0.05 * self.rating:
            self.link.change(rating=self.current_rating())
        if now - self.started > SECOND and sum(w for _, w in self.work) > 2 * self.plan.fall_multiple * self.current_rating() * SECOND:
            self.fell += 1
            self.work.clear()
            self.on_fall(self)

    def warm(self) -> None:
        self.link.change(rating=self.rating)

    def load(self) -> dict:
        jobs = self.link.active_jobs
        return {
            "active": jobs,
            "cpu": round(min(1.0, jobs / max(0.1, self.link.rating)), 3),
            "x0": self.counts["hits"],
            "x1": len(self.fills),
        }

    # Copies.

    def find(self, obj: str, part: int, within: int) -> Copy | None:
        rank = self.where.get((obj, part))
        if rank is None:
            return None
        copy = self.copies[rank][obj, part]
        if within and self.clock.now() - copy.issued > within:
            return None
        self.copies[rank].move_to_end((obj, part))
        return copy

    def keep(self, obj: str, part: int, copy: Copy) -> None:
        self.forget(obj, part)
        if self.purged and copy.issued < max(self.purged.get(-1, 0), self.purged.get(int(obj[:2], 16), 0)):
            return  # it was on its way here when the purge came
        while self.held + copy.kb > self.room:
            lowest = next((rows for rows in self.copies[: copy.rank + 1] if rows), None)
            if lowest is None:
                return
            self.forget(*next(iter(lowest)))
        self.copies[copy.rank][obj, part] = copy
        self.where[obj, part] = copy.rank
        self.held += copy.kb

    def forget(self, obj: str, part: int) -> None:
        rank = self.where.pop((obj, part), None)
        if rank is not None:
            self.held -= self.copies[rank].pop((obj, part)).kb

    def purge(self, group: int, before: int) -> None:
        """The word of a purge came here: copies of the group (below 0: of all) given out before are dropped."""
        self.purged[max(-1, group)] = before
        for obj, part in [
            spot
            for spot, rank in self.where.items()
            if self.copies[rank][spot].issued < before and (group < 0 or int(spot[0][:2], 16) == group)
        ]:
            self.forget(obj, part)

    # Hops.

    def time_of(self, kb: float) -> int:
        return int(kb / self.kb_per_s * SECOND)

    def ask(self, asked: ReceivedHop) -> None:
        self.counts["asked"] += 1
        if self.silent or not self.up:
            return
        if self.errors and self.random.random() < self.errors:
            return self.clock.later(START, lambda: self.end(asked, "EIO"))
        self.clock.later(START + self.late, lambda: self.serve(asked))

    def end(self, asked: ReceivedHop, word: str, note: str = "", waited: int = 0, copy: Copy | None = None) -> None:
        if not asked.over and not self.silent and self.up:
            asked.over = True
            asked.end(word, note, waited, copy)

    def transfer(self, asked: ReceivedHop, note: str, waited: int, copy: Copy) -> None:
        if not asked.over:
            asked.link = self.link
            asked.job = self.link.add(self.time_of(asked.kb), lambda: self.end(asked, "ACK", note, waited, copy))

    def serve(self, asked: ReceivedHop) -> None:
        if asked.over or not self.up:
            return
        self.offered(self.time_of(asked.kb))
        if not asked.kept:
            if asked.source is None:
                return self.end(asked, "NOENT")
            began = self.clock.now()
            return asked.source.run(
                asked,
                lambda ok: self.end(
                    asked,
                    "ACK" if ok else "EIO",
                    "TCP_MISS_ROOT" if ok else "ROOT_FAIL",
                    self.clock.now() - began,
                    Copy(self.clock.now(), asked.kb, 0),
                ),
            )
        copy = self.find(asked.obj, asked.part, asked.within)
        if copy is not None:
            self.counts["hits"] += 1
            return self.transfer(asked, "TCP_HIT", 0, copy)
        if asked.source is None:
            return self.end(asked, "NOENT")
        spot, began = (asked.obj, asked.part), self.clock.now()
        if asked.join and spot in self.fills:
            self.counts["joined"] += 1
            self.fills[spot].append((asked, began, "TCP_JOIN"))
            return
        if len(self.fills) >= self.plan.fill_places:
            self.counts["refused"] += 1
            return self.end(asked, "AGAIN", "FILL_FULL")
        self.counts["fills"] += 1
        mine = self.fills.setdefault(spot, [])
        mine.append((asked, began, ""))
        asked.source.feed(asked, lambda copy, note: self.filled(spot, mine, copy, note))

    def filled(self, spot: tuple, waiting: list, copy: Copy | None, note: str) -> None:
        """A fill came, or failed with that note; all that wait for it have their answer."""
        if not self.up or self.fills.get(spot) is not waiting:
            return
        del self.fills[spot]
        if copy is not None:
            self.keep(*spot, Copy(copy.issued, copy.kb, waiting[0][0].rank))
        for asked, began, own in waiting:
            waited = self.clock.now() - began
            if copy is None:
                self.end(asked, "NOENT" if note == "PEER_MISS" else "EIO", note, waited)
            elif asked.within and self.clock.now() - copy.issued > asked.within:
                self.end(asked, "NOENT", "PEER_MISS", waited)  # joined a fill that began too early
            else:
                self.transfer(asked, own or note, waited, copy)

    def feed(self, asked: ReceivedHop, give: Callable) -> None:
        """Another server fills from here; `give(copy, note)` follows, but not from one that is silent or dead."""
        if self.silent or not self.up:
            return
        self.counts["fed"] += 1
        self.offered(self.time_of(asked.kb))
        copy = self.find(asked.obj, asked.part, asked.within)
        if copy is not None:
            return self.link.add(self.time_of(asked.kb), lambda: give(copy, "TCP_MISS"))
        if not asked.fetch or self.kind != "parent":
            return self.clock.later(START, lambda: give(None, "PEER_MISS"))
        spot = (asked.obj, asked.part)
        if spot in self.fills:
            self.fills[spot].append(give)
            return
        waiting = self.fills[spot] = [give]

        def came(copy: Copy | None, note: str) -> None:
            if not self.up or self.fills.get(spot) is not waiting:
                return
            del self.fills[spot]
            if copy is not None:
                self.keep(*spot, Copy(copy.issued, copy.kb, 1))
            for one in waiting:
                if copy is None:
                    one(None, note)
                else:
                    self.link.add(self.time_of(copy.kb), lambda one=one: one(copy, "TCP_MISS_ROOT"))

        self.store.feed(asked, came)

    store = None  # where parents fill from

    # Ends.

    def die(self) -> None:
        self.up = False
        self.link.clear()
        self.fills.clear()


class Store:
    """The market store: keeps all, slows down when crowded, and drops keyed repeats within their span."""

    def __init__(self, clock: Clock, rating: float, takes: int):
        self.clock, self.takes, self.kind, self.name, self.state, self.started = clock, takes, "origin", "store", "up", 0
        self.link = Shared(clock, rating)
        self.up, self.silent = True, False
        self.counts = dict.fromkeys(("fills", "runs", "repeats"), 0)
        self.by_second: dict[int, int] = {}  # fills begun in each second
        self.keys: dict[str, int] = {}  # keyed txns and when they last ran
        self.on_effect: Callable = lambda name: None  # a txn's effect took place; its key or id

    def feed(self, asked: ReceivedHop, give: Callable) -> None:
        if self.silent or not self.up:
            return
        self.counts["fills"] += 1
        second = self.clock.now() // SECOND
        self.by_second[second] = self.by_second.get(second, 0) + 1
        issued = self.clock.now()
        self.link.add(self.takes, lambda: give(Copy(issued, asked.kb, 1), "TCP_MISS_ROOT"))

    def run(self, asked: ReceivedHop, done: Callable) -> None:
        """A txn whose answer is not kept has its effect once the store has worked at it."""
        if self.silent or not self.up:
            return

        def ran() -> None:
            now = self.clock.now()
            self.counts["runs"] += 1
            if asked.key:
                seen = self.keys.get(asked.key)
                if seen is not None and now - seen < REMEMBERED:
                    self.counts["repeats"] += 1
                    return done(True)
                self.keys[asked.key] = now
            self.on_effect(asked.key or asked.ident)
            done(True)

        self.link.add(self.takes, ran)

    def load(self) -> dict:
        return {"active": self.link.active_jobs, "cpu": 0.0, "x0": 0, "x1": 0}
