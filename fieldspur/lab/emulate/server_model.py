"""Models of the laboratory's servers: caches, parents and the store. The clock is a parameter, so the same models
serve real sockets and simulated time. `docs/design/laboratory.md` lists the assumptions.

All times are whole nanoseconds. A `Clock` calls callbacks in the order of their due times."""

from __future__ import annotations

import heapq
import itertools
import random
from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

MS = 1_000_000  # nanoseconds
SECOND = 1_000_000_000  # nanoseconds
REQUEST_OVERHEAD = 1 * MS  # time that a server spends on a hop before the transfer
MIN_TRANSFER_TIME = 2 * MS
KEYED_MEMORY = 6 * SECOND  # the store recognizes repeats of a keyed txn for this long


class Clock(Protocol):
    """Time source and timers of a model: real time behind sockets, simulated time otherwise."""

    def now(self) -> int: ...

    def later(self, delay: int, callback: Callable[[], None]) -> None: ...


@dataclass(slots=True, eq=False)
class ReceivedHop:
    """One hop that a server received. `on_end(status, note, waited, copy)` is called once, unless the router cancels the hop."""

    rule: str
    obj: str
    part: int
    kb: float
    key: str | None
    source: Server | None
    rank: int
    max_age: int  # of a copy that may answer the hop, in ns; 0: any age
    may_join: bool  # the hop may wait for a running fill of the same object part
    may_fetch: bool  # the fill source may itself fill from the store
    cacheable: bool  # servers store answers of the hop's rule
    on_end: Callable
    ident: str = ""
    finished: bool = False  # answered or cancelled
    transfer_link: SharedCapacity | None = None  # set while the answer is being sent
    transfer_job: list | None = None  # the job of that transfer on `transfer_link`

    def give_up(self) -> None:
        """Cancels the hop: the rest of its answer is not sent."""
        self.finished = True
        if self.transfer_link is not None:
            self.transfer_link.cancel(self.transfer_job)


@dataclass(slots=True, eq=False)
class Copy:
    """A stored copy of one part of an object."""

    issued: int  # when the store sent it out
    kb: float
    rank: int  # copies of lower ranks are evicted first


class SharedCapacity:
    """Capacity shared by concurrent jobs: up to `rating` jobs run at full speed, more jobs run proportionally slower.

    The end of a job is stored as a value of `work_per_job`, so a change of speed changes no job."""

    def __init__(self, clock: Clock, rating: float):
        self.clock, self.rating, self.slowdown = clock, rating, 1.0
        # Work that every running job has received so far, in ns at full speed, and the time at which that was computed.
        self.work_per_job, self.advanced_at = 0.0, clock.now()
        self.jobs: list = []  # heap of [value of `work_per_job` at its end, job number, on_done or None if cancelled]
        self.active_jobs = 0  # jobs in the heap that are not cancelled
        self.job_numbers, self.wake_number = itertools.count(), 0

    def speed(self) -> float:
        """Speed of each job, as a share of full speed."""
        return min(1.0, self.rating / self.active_jobs) / self.slowdown if self.active_jobs else 1.0

    def advance(self) -> None:
        """Brings `work_per_job` up to the current time; called before each change of speed."""
        now = self.clock.now()
        self.work_per_job, self.advanced_at = self.work_per_job + (now - self.advanced_at) * self.speed(), now

    def add(self, work: int, on_done: Callable[[], None]) -> list:
        """Starts a job of `work` ns at full speed and returns it, for `cancel`."""
        self.advance()
        job = [self.work_per_job + max(MIN_TRANSFER_TIME, work), next(self.job_numbers), on_done]
        heapq.heappush(self.jobs, job)
        self.active_jobs += 1
        self.schedule_wake()
        return job

    def cancel(self, job: list) -> None:
        if job[2] is not None:
            self.advance()
            job[2] = None
            self.active_jobs -= 1
            self.schedule_wake()

    def schedule_wake(self) -> None:
        """Sets the timer for the end of the job that ends first."""
        while self.jobs and self.jobs[0][2] is None:
            heapq.heappop(self.jobs)
        if self.jobs:
            self.wake_number += 1
            number, work_left = self.wake_number, max(0.0, (self.jobs[0][0] - self.work_per_job) / self.speed())
            self.clock.later(int(work_left) + 1, lambda: self.wake(number))

    def wake(self, number: int) -> None:
        """Ends all jobs that have received their work."""
        if number != self.wake_number:
            return  # a later wake-up replaces this one
        self.advance()
        while self.jobs and self.jobs[0][0] <= self.work_per_job + 1:
            job = heapq.heappop(self.jobs)
            if job[2] is not None:
                self.active_jobs -= 1
                on_done, job[2] = job[2], None
                on_done()
        self.schedule_wake()

    def change(self, rating: float | None = None, slowdown: float | None = None) -> None:
        self.advance()
        self.rating, self.slowdown = rating or self.rating, slowdown or self.slowdown
        self.schedule_wake()

    def clear(self) -> None:
        """Cancels all jobs."""
        self.advance()
        for job in self.jobs:
            job[2] = None
        self.jobs.clear()
        self.active_jobs = 0
        self.wake_number += 1


class Server:
    """Model of a cache or a parent.

    Faults are injected by setting `silent` (no answers), `errors` (share of hops that fail), `late` (extra ns before each
    answer) or the slowdown of `link`."""

    def __init__(
        self, clock: Clock, name: str, kind: str, rating: float, capacity_kb: float, kb_per_s: float, settings, zone: int = 0, seed: int = 0
    ):
        self.clock, self.name, self.kind, self.rating, self.zone = clock, name, kind, rating, zone
        self.capacity_kb, self.kb_per_s, self.settings = capacity_kb, kb_per_s, settings
        self.random = random.Random(f"{seed} {name}")
        self.state, self.started = "up", 0
        self.silent, self.errors, self.late = False, 0.0, 0
        self.crashes_by_overload = 0
        self.on_fall: Callable = lambda server: None  # called when overload in slow start crashes the server
        self.on_offered: Callable = lambda server, work: None  # called for work offered to a server in slow start
        self.counts = dict.fromkeys(("asked", "hits", "fills", "joined", "refused", "fed"), 0)
        self.start_empty()

    def start_empty(self) -> None:
        """Sets the state of a newly started process with an empty cache."""
        self.up, self.stored_kb = True, 0.0
        self.copies: list[OrderedDict] = [OrderedDict() for _ in range(4)]  # by rank, least recently used first
        self.rank_of: dict[tuple, int] = {}  # by object and part
        self.fills: dict[tuple, list] = {}  # waiters of each running fill, by object and part
        self.link = SharedCapacity(self.clock, self.current_rating())
        self.recent_work: deque = deque()  # (time, work) offered in the last second
        self.purged_before: dict[int, int] = {}  # by group (-1: all groups): copies issued before this time are not stored

    def current_rating(self) -> float:
        """How many transfers run at full speed at present. The value is lower in slow start."""
        if not self.started:
            return self.rating
        age = (self.clock.now() - self.started) / (self.settings.ramp_s * SECOND)
        return self.rating * min(1.0, self.settings.cold_share + (1 - self.settings.cold_share) * max(0.0, age))

    def cold(self) -> bool:
        """Whether the server is in slow start."""
        return bool(self.started) and self.clock.now() - self.started < self.settings.ramp_s * SECOND

    def add_offered_work(self, work: int) -> None:
        """Counts work offered to a server in slow start. Work far beyond its capacity within a second crashes it."""
        if not self.cold():
            return
        now = self.clock.now()
        self.on_offered(self, work)
        self.recent_work.append((now, work))
        while self.recent_work[0][0] < now - SECOND:
            self.recent_work.popleft()
        if abs(self.current_rating() - self.link.rating) > 0.05 * self.rating:
            self.link.change(rating=self.current_rating())
        if (
            now - self.started > SECOND
            and sum(amount for _, amount in self.recent_work) > 2 * self.settings.fall_multiple * self.current_rating() * SECOND
        ):
            self.crashes_by_overload += 1
            self.recent_work.clear()
            self.on_fall(self)

    def set_full_rating(self) -> None:
        """Ends the slow start of the link."""
        self.link.change(rating=self.rating)

    def load(self) -> dict:
        """The load figures that the server reports in its meter."""
        jobs = self.link.active_jobs
        return {
            "active": jobs,
            "cpu": round(min(1.0, jobs / max(0.1, self.link.rating)), 3),
            "x0": self.counts["hits"],
            "x1": len(self.fills),
        }

    # Copies.

    def find_copy(self, obj: str, part: int, max_age: int) -> Copy | None:
        """The stored copy, unless it is older than `max_age` ns (0: any age)."""
        rank = self.rank_of.get((obj, part))
        if rank is None:
            return None
        copy = self.copies[rank][obj, part]
        if max_age and self.clock.now() - copy.issued > max_age:
            return None
        self.copies[rank].move_to_end((obj, part))
        return copy

    def store_copy(self, obj: str, part: int, copy: Copy) -> None:
        """Stores a copy and evicts others if needed, but none of a higher rank."""
        self.drop_copy(obj, part)
        if self.purged_before and copy.issued < max(self.purged_before.get(-1, 0), self.purged_before.get(int(obj[:2], 16), 0)):
            return  # the fill was in progress when the purge arrived
        while self.stored_kb + copy.kb > self.capacity_kb:
            lowest_rank_copies = next((copies for copies in self.copies[: copy.rank + 1] if copies), None)
            if lowest_rank_copies is None:
                return
            self.drop_copy(*next(iter(lowest_rank_copies)))
        self.copies[copy.rank][obj, part] = copy
        self.rank_of[obj, part] = copy.rank
        self.stored_kb += copy.kb

    def drop_copy(self, obj: str, part: int) -> None:
        rank = self.rank_of.pop((obj, part), None)
        if rank is not None:
            self.stored_kb -= self.copies[rank].pop((obj, part)).kb

    def purge(self, group: int, before: int) -> None:
        """Handles a purge: drops copies of the group (below 0: of all groups) that were issued before the given time."""
        self.purged_before[max(-1, group)] = before
        for obj, part in [
            copy_key
            for copy_key, rank in self.rank_of.items()
            if self.copies[rank][copy_key].issued < before and (group < 0 or int(copy_key[0][:2], 16) == group)
        ]:
            self.drop_copy(obj, part)

    # Hops.

    def transfer_time(self, kb: float) -> int:
        """Duration of a transfer at full speed."""
        return int(kb / self.kb_per_s * SECOND)

    def receive(self, hop: ReceivedHop) -> None:
        self.counts["asked"] += 1
        if self.silent or not self.up:
            return
        if self.errors and self.random.random() < self.errors:
            return self.clock.later(REQUEST_OVERHEAD, lambda: self.finish_hop(hop, "EIO"))
        self.clock.later(REQUEST_OVERHEAD + self.late, lambda: self.serve(hop))

    def finish_hop(self, hop: ReceivedHop, status: str, note: str = "", waited: int = 0, copy: Copy | None = None) -> None:
        if not hop.finished and not self.silent and self.up:
            hop.finished = True
            hop.on_end(status, note, waited, copy)

    def transfer(self, hop: ReceivedHop, note: str, waited: int, copy: Copy) -> None:
        if not hop.finished:
            hop.transfer_link = self.link
            hop.transfer_job = self.link.add(self.transfer_time(hop.kb), lambda: self.finish_hop(hop, "ACK", note, waited, copy))

    def serve(self, hop: ReceivedHop) -> None:
        if hop.finished or not self.up:
            return
        self.add_offered_work(self.transfer_time(hop.kb))
        if not hop.cacheable:
            if hop.source is None:
                return self.finish_hop(hop, "NOENT")
            began_at = self.clock.now()
            return hop.source.run_txn(
                hop,
                lambda ok: self.finish_hop(
                    hop,
                    "ACK" if ok else "EIO",
                    "TCP_MISS_ROOT" if ok else "ROOT_FAIL",
                    self.clock.now() - began_at,
                    Copy(self.clock.now(), hop.kb, 0),
                ),
            )
        copy = self.find_copy(hop.obj, hop.part, hop.max_age)
        if copy is not None:
            self.counts["hits"] += 1
            return self.transfer(hop, "TCP_HIT", 0, copy)
        if hop.source is None:
            return self.finish_hop(hop, "NOENT")
        copy_key, began_at = (hop.obj, hop.part), self.clock.now()
        if hop.may_join and copy_key in self.fills:
            self.counts["joined"] += 1
            self.fills[copy_key].append((hop, began_at, "TCP_JOIN"))
            return
        if len(self.fills) >= self.settings.fill_places:
            self.counts["refused"] += 1
            return self.finish_hop(hop, "AGAIN", "FILL_FULL")
        self.counts["fills"] += 1
        waiters = self.fills.setdefault(copy_key, [])
        waiters.append((hop, began_at, ""))
        hop.source.serve_fill(hop, lambda copy, note: self.finish_fill(copy_key, waiters, copy, note))

    def finish_fill(self, copy_key: tuple, waiters: list, copy: Copy | None, note: str) -> None:
        """Ends a fill and answers all its waiters. Without a copy the fill failed, and `note` says why."""
        if not self.up or self.fills.get(copy_key) is not waiters:
            return
        del self.fills[copy_key]
        if copy is not None:
            self.store_copy(*copy_key, Copy(copy.issued, copy.kb, waiters[0][0].rank))
        for hop, began_at, join_note in waiters:
            waited = self.clock.now() - began_at
            if copy is None:
                self.finish_hop(hop, "NOENT" if note == "PEER_MISS" else "EIO", note, waited)
            elif hop.max_age and self.clock.now() - copy.issued > hop.max_age:
                self.finish_hop(hop, "NOENT", "PEER_MISS", waited)  # joined a fill whose copy is too old for this hop
            else:
                self.transfer(hop, join_note or note, waited, copy)

    def serve_fill(self, hop: ReceivedHop, deliver: Callable) -> None:
        """Serves a fill for another server and calls `deliver(copy, note)`, which a silent or stopped server never does."""
        if self.silent or not self.up:
            return
        self.counts["fed"] += 1
        self.add_offered_work(self.transfer_time(hop.kb))
        copy = self.find_copy(hop.obj, hop.part, hop.max_age)
        if copy is not None:
            return self.link.add(self.transfer_time(hop.kb), lambda: deliver(copy, "TCP_MISS"))
        if not hop.may_fetch or self.kind != "parent":
            return self.clock.later(REQUEST_OVERHEAD, lambda: deliver(None, "PEER_MISS"))
        copy_key = (hop.obj, hop.part)
        if copy_key in self.fills:
            self.fills[copy_key].append(deliver)
            return
        waiters = self.fills[copy_key] = [deliver]

        def fill_ended(copy: Copy | None, note: str) -> None:
            if not self.up or self.fills.get(copy_key) is not waiters:
                return
            del self.fills[copy_key]
            if copy is not None:
                self.store_copy(*copy_key, Copy(copy.issued, copy.kb, 1))
            for deliver_to_waiter in waiters:
                if copy is None:
                    deliver_to_waiter(None, note)
                else:
                    self.link.add(
                        self.transfer_time(copy.kb), lambda deliver_to_waiter=deliver_to_waiter: deliver_to_waiter(copy, "TCP_MISS_ROOT")
                    )

        self.store.serve_fill(hop, fill_ended)

    store = None  # fill source of parents

    # End of the process.

    def die(self) -> None:
        self.up = False
        self.link.clear()
        self.fills.clear()


class Store:
    """Model of the market store: holds every object, slows down under overload, and recognizes repeats of keyed txns."""

    def __init__(self, clock: Clock, rating: float, service_time: int):
        self.clock, self.service_time, self.kind, self.name, self.state, self.started = clock, service_time, "origin", "store", "up", 0
        self.link = SharedCapacity(clock, rating)
        self.up, self.silent = True, False
        self.counts = dict.fromkeys(("fills", "runs", "repeats"), 0)
        self.fills_by_second: dict[int, int] = {}  # fills started in each second
        self.last_run_by_key: dict[str, int] = {}  # time of the last run of each keyed txn
        self.on_effect: Callable = lambda name: None  # called with the key or id of each txn that takes effect

    def serve_fill(self, hop: ReceivedHop, deliver: Callable) -> None:
        if self.silent or not self.up:
            return
        self.counts["fills"] += 1
        second = self.clock.now() // SECOND
        self.fills_by_second[second] = self.fills_by_second.get(second, 0) + 1
        issued = self.clock.now()
        self.link.add(self.service_time, lambda: deliver(Copy(issued, hop.kb, 1), "TCP_MISS_ROOT"))

    def run_txn(self, hop: ReceivedHop, on_done: Callable) -> None:
        """Runs a txn whose answer is not cacheable. It takes effect when the service time is over."""
        if self.silent or not self.up:
            return

        def finish_run() -> None:
            now = self.clock.now()
            self.counts["runs"] += 1
            if hop.key:
                last_run = self.last_run_by_key.get(hop.key)
                if last_run is not None and now - last_run < KEYED_MEMORY:
                    self.counts["repeats"] += 1
                    return on_done(True)
                self.last_run_by_key[hop.key] = now
            self.on_effect(hop.key or hop.ident)
            on_done(True)

        self.link.add(self.service_time, finish_run)

    def load(self) -> dict:
        return {"active": self.link.active_jobs, "cpu": 0.0, "x0": 0, "x1": 0}
