"""Leases that end by themselves, by each member's own monotonic clock. Free of I/O; times are whole nanoseconds of that
clock (one that counts on while a process is stopped), never compared between members.

Who acts for the fleet publishes a rising number, its tick. Members say back which tick of which ballot they read last, and
from that moment on promise no other member's ballot for the lease's length. So while a majority has said back a tick,
nobody else can have a majority's promise until that length after the tick was published, at the earliest. Gray and
Cheriton, "Leases" (1989), with the drift of clocks taken off at the holder.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from fieldspur.fleet.consensus import NO_BALLOT, Ballot, majority

MAX_PENDING_TICKS = 64  # published and not yet said back; older ones count for nothing


class Backs(NamedTuple):
    """What a member says back: the ballot it backs and the last tick of it that it read."""

    ballot: Ballot = NO_BALLOT
    tick: int = 0


class Lease:
    """A member's side of both. `length` in ns; `drift` is the share by which two clocks may differ over it. `began` is
    when this process started, 0 where there was none before it: what one before it backed is kept nowhere, so it promises
    nothing for one length; nor does one that `forgot` its register come back before."""

    def __init__(self, member: int, length: int, drift: float = 0.01, began: int = 0, forgot: bool = True):
        if length <= 0 or not 0 <= drift < 0.5:
            raise ValueError(f"length: {length} ns above 0 and drift: {drift} from 0 to below 0.5 wanted")
        self.member, self.length = member, length
        self.held = int(length * (1 - drift))  # what a holder counts on
        self.backs, self.backed = Backs(), began + length if began else 0  # until when it promises nobody else's
        self.returns = self.backed if forgot else 0
        self.told: dict[int, int] = {}  # tick: when it was published
        self.tick, self.ballot = 0, NO_BALLOT

    def remembers(self) -> None:
        """It has not forgotten its register: it was only late to read it."""
        self.returns = 0

    def publish(self, ballot: Ballot, now: int) -> int:
        """The tick that goes into this member's register now, under its own ballot; it backs itself like the others."""
        if ballot != self.ballot:
            self.ballot, self.told = ballot, {}
        self.tick += 1
        self.told[self.tick] = now
        while len(self.told) > MAX_PENDING_TICKS:
            del self.told[min(self.told)]
        self.read(ballot, self.tick, now)
        return self.tick

    def read(self, ballot: Ballot, tick: int, now: int) -> Backs:
        """It read another's tick, under a ballot that it promised; what it is to say back."""
        if (ballot, tick) > self.backs:
            self.backs, self.backed = Backs(ballot, tick), max(self.backed, now + self.length)
        return self.backs

    def may_promise(self, ballot: Ballot, now: int) -> bool:
        """No lease that it backs, or may have backed before it forgot, forbids it this ballot."""
        return now >= self.backed or ballot[1] == self.backs.ballot[1] != -1

    def may_return(self, now: int) -> bool:
        """It remembers, or what it may have backed before it forgot has ended."""
        return now >= self.returns

    def until(self, said: Sequence[Backs | None]) -> int:
        """Until when this member holds the lease, 0 where it does not; `said` by member, its own place is passed over."""
        ticks = sorted(
            (one.tick for n, one in enumerate(said) if n != self.member and one is not None and one.ballot == self.ballot), reverse=True
        )
        needed = majority(len(said)) - 1  # with itself
        if self.ballot == NO_BALLOT or len(ticks) < needed:
            return 0
        tick = ticks[needed - 1] if needed else self.tick
        at = self.told.get(tick)
        return at + self.held if at is not None else 0

    def holds(self, said: Sequence[Backs | None], now: int) -> bool:
        """To be asked just before each act: a process that stood still has lost it meanwhile, whatever it believes."""
        return now < self.until(said)
