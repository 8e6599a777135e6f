"""A router's lease on the list of work, by its own clock. Free of I/O; times are whole ns of each member's own monotonic clock.

A router that hears nothing can't know which machines went out since. So it may use those that are announced as next, or drain,
only while it holds this lease: each of its lines brings a rising count; who acts says back which it read; the lease runs from
when that count was published, by the asker's clock, so that a grant that lay in a buffer gives nothing more. Who acts knows
when each one's has ended: a lease's length after it granted last, and not before one length after it began to act, for whoever
acted before may have granted until then. The lease of `lease.py` with the parts exchanged."""

from __future__ import annotations

from fieldspur.fleet.lease import MOST_TICKS


class ListLease:
    """The asker's side."""

    def __init__(self, length: int, drift: float = 0.01):
        self.duration = int(length * (1 - drift))
        self.count, self.until = 0, 0
        self.published_at: dict[int, int] = {}  # count: when it was published

    def request(self, now: int) -> int:
        """The count that goes into the line of now."""
        self.count += 1
        self.published_at[self.count] = now
        while len(self.published_at) > MOST_TICKS:
            del self.published_at[min(self.published_at)]
        return self.count

    def renew(self, count: int) -> None:
        """Who acts read that count. One that was forgotten, or of a process before, gives nothing."""
        at = self.published_at.get(count)
        if at is not None:
            self.until = max(self.until, at + self.duration)

    def is_held(self, now: int) -> bool:
        """To be asked just before each write: a process that stood still has lost it meanwhile."""
        return now < self.until


class GrantedListLeases:
    """The side of who acts. Nothing is known while `since` is 0: it does not act."""

    def __init__(self, length: int):
        self.length, self.since = length, 0
        self.granted_at: dict[int, int] = {}  # member: when it was granted last

    def set_active(self, yes: bool, now: int) -> None:
        """To be called at each look: whoever acted between two terms of this member's may have granted too."""
        if not yes:
            self.since, self.granted_at = 0, {}
        elif not self.since:
            self.since = now

    def grant(self, member: int, now: int) -> None:
        self.granted_at[member] = now

    def has_ended(self, member: int, now: int, more: int = 0) -> bool:
        """That member's lease has surely ended, and `more` ns have passed since."""
        return self.since > 0 and now >= max(self.since, self.granted_at.get(member, 0)) + self.length + more
