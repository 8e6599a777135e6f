"""Decides which txns wait for the notice board's first word after a start, and for how long. Free of I/O.

A router that has just started has the list of its file, which may be older than what the board holds: it decides
nothing on it before the board has told the rest, or has said nothing for a stated time. Times are whole nanoseconds."""

from __future__ import annotations

PATIENCE = 0.4  # share of a txn's time left that it may wait here; past half of it a refusal costs the client more


class Gate:
    """Shut until the board has caught up, for `wait` at the longest."""

    def __init__(self, now: int, wait: int, most: int):
        self.shut_at, self.opens_at, self.most = now, now + wait, most  # most: txns that wait at a time

    def until(self, now: int, limit_at: int, waiting: int) -> int:
        """Until when a txn may wait; it is given up then, unless the gate has opened. Not past `now`: at once."""
        if waiting >= self.most:
            return now
        return min(now + int((limit_at - now) * PATIENCE), self.opens_at + max(0, limit_at - self.opens_at) // 2)


class Shut:
    """Shut until somebody opens it: a router that can't know which servers it may use turns txns away at once."""

    def __init__(self):
        self.shut_at = 0

    def until(self, now: int, limit_at: int, waiting: int) -> int:
        return now
