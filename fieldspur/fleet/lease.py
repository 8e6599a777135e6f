"""Leases that expire by themselves, measured by each member's own monotonic clock. This module does no I/O. Times are whole
nanoseconds of that clock, which also advances while the process is stopped; times of two members are never compared.

The member that holds a ballot publishes a rising heartbeat number, its tick. The other members acknowledge the ballot and the tick that
they read last, and from then on they promise no other member's ballot for the length of the lease. So once a majority has
acknowledged a tick, no other member can get the promises of a majority until at least that length after the tick was
published. Gray and Cheriton, "Leases" (1989); the holder shortens its own lease by the possible drift between two clocks.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from fieldspur.fleet.consensus import NO_BALLOT, Ballot, majority

MAX_PENDING_TICKS = 64  # published ticks whose times are stored; acknowledgements of older ticks are ignored


class HeartbeatAck(NamedTuple):
    """What a member acknowledges: the ballot that it supports, and the last tick under this ballot that it read."""

    ballot: Ballot = NO_BALLOT
    tick: int = 0


class Lease:
    """A member's state as a possible holder and as a supporter of the lease. `length` is in ns; `drift` is the share by which two
    clocks may differ over that length. `started_at` is when this process started, 0 if no process ran before it. Acknowledgements
    of a previous process are not stored, so this one promises nothing for the length of a lease. A member that `lost_memory`
    also doesn't rejoin before that."""

    def __init__(self, member: int, length: int, drift: float = 0.01, started_at: int = 0, lost_memory: bool = True):
        if length <= 0 or not 0 <= drift < 0.5:
            raise ValueError(f"length: {length} ns above 0 and drift: {drift} from 0 to below 0.5 wanted")
        self.member, self.length = member, length
        self.holder_length = int(length * (1 - drift))  # how long the holder relies on its lease
        self.own_ack, self.no_promise_until = HeartbeatAck(), started_at + length if started_at else 0  # of ballots of others
        self.rejoin_at = self.no_promise_until if lost_memory else 0
        self.published_at: dict[int, int] = {}  # time of publication by tick
        self.tick, self.ballot = 0, NO_BALLOT

    def memory_restored(self) -> None:
        """The member did not lose its register: it could only read it late."""
        self.rejoin_at = 0

    def publish_tick(self, ballot: Ballot, now: int) -> int:
        """The next tick for this member's line, under its own ballot. The member acknowledges its own tick like the others do."""
        if ballot != self.ballot:
            self.ballot, self.published_at = ballot, {}
        self.tick += 1
        self.published_at[self.tick] = now
        while len(self.published_at) > MAX_PENDING_TICKS:
            del self.published_at[min(self.published_at)]
        self.acknowledge(ballot, self.tick, now)
        return self.tick

    def acknowledge(self, ballot: Ballot, tick: int, now: int) -> HeartbeatAck:
        """Records a tick that was read under a ballot that this member has promised. Returns what to acknowledge."""
        if (ballot, tick) > self.own_ack:
            self.own_ack, self.no_promise_until = HeartbeatAck(ballot, tick), max(self.no_promise_until, now + self.length)
        return self.own_ack

    def may_promise(self, ballot: Ballot, now: int) -> bool:
        """Whether no lease that this member supports, or may have supported before it lost its memory, forbids this promise."""
        return now >= self.no_promise_until or ballot[1] == self.own_ack.ballot[1] != -1

    def may_rejoin(self, now: int) -> bool:
        """Whether the member has its memory, or any lease that it may have supported before it lost it has ended."""
        return now >= self.rejoin_at

    def held_until(self, acks: Sequence[HeartbeatAck | None]) -> int:
        """The time until which this member holds the lease, 0 if it does not. `acks` is by member; the member's own entry is ignored."""
        ticks = sorted(
            (ack.tick for n, ack in enumerate(acks) if n != self.member and ack is not None and ack.ballot == self.ballot), reverse=True
        )
        needed = majority(len(acks)) - 1  # besides this member itself
        if self.ballot == NO_BALLOT or len(ticks) < needed:
            return 0
        tick = ticks[needed - 1] if needed else self.tick
        published = self.published_at.get(tick)
        return published + self.holder_length if published is not None else 0

    def is_held(self, acks: Sequence[HeartbeatAck | None], now: int) -> bool:
        """Whether this member holds the lease at `now`. To be checked just before each act of the coordinator: while a process is
        stopped its lease can end without its notice."""
        return now < self.held_until(acks)
