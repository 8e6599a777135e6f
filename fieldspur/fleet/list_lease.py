"""A router's lease on the server list, by its own clock. Free of I/O; times are whole ns of each member's own monotonic clock.

A router that receives no lines can't know which machines went out meanwhile. So it may use machines that are announced as next, or
that drain, only while it holds this lease:

- Each of the router's lines carries a rising count. The coordinator publishes the count that it read last, which is the grant.
- The lease runs from when the router published that count, by the router's clock. So a grant that was delayed in a buffer gives no
  extra time.
- The coordinator knows when each lease has ended: one lease length after its last grant, and no sooner than one length after it
  became coordinator, because the coordinator before it may have granted leases until then.

In the lease of `lease.py` the parts are exchanged: there the coordinator is the one that asks."""

from __future__ import annotations

from fieldspur.fleet.lease import MAX_PENDING_TICKS


class ListLease:
    """The side of the router that asks for the lease."""

    def __init__(self, length: int, drift: float = 0.01):
        self.duration = int(length * (1 - drift))  # shortened by the largest drift between two clocks
        self.count, self.until = 0, 0
        self.published_at: dict[int, int] = {}  # by count

    def request(self, now: int) -> int:
        """Returns the count for the line that is published now."""
        self.count += 1
        self.published_at[self.count] = now
        while len(self.published_at) > MAX_PENDING_TICKS:
            del self.published_at[min(self.published_at)]
        return self.count

    def renew(self, count: int) -> None:
        """The coordinator has read that count. A count that is forgotten, or of an earlier process, has no effect."""
        published = self.published_at.get(count)
        if published is not None:
            self.until = max(self.until, published + self.duration)

    def is_held(self, now: int) -> bool:
        """To be checked just before each write: a process that was stopped may have lost the lease meanwhile."""
        return now < self.until


class GrantedListLeases:
    """The side of the coordinator. `since` is when this member became coordinator; while it is 0, nothing is known of any lease."""

    def __init__(self, length: int):
        self.length, self.since = length, 0
        self.granted_at: dict[int, int] = {}  # member: time of its last grant

    def set_active(self, active: bool, now: int) -> None:
        """To be called at each tick. Forgets all grants while inactive, because another coordinator may grant leases meanwhile."""
        if not active:
            self.since, self.granted_at = 0, {}
        elif not self.since:
            self.since = now

    def grant(self, member: int, now: int) -> None:
        self.granted_at[member] = now

    def has_ended(self, member: int, now: int, extra: int = 0) -> bool:
        """Whether that member's lease has certainly ended, and `extra` ns have passed since."""
        return self.since > 0 and now >= max(self.since, self.granted_at.get(member, 0)) + self.length + extra
