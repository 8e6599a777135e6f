"""How likely each other member is gone, graded from when it was heard. Free of I/O; times in whole ns of one monotonic clock.

Phi accrual (Hayashibara, Defago, Yared, Katayama, "The phi accrual failure detector", 2004), for a fixed time either takes a slow
link for a dead member or a dead one for a slow link. Two things are added. Intervals are learned only within one
process of the member: a restart is news, no long interval. And time for which this process itself stood still is no silence
of the others: it is taken off, for they spoke while nobody here listened. Only who asks to act hangs on it; what is agreed
never does.
"""

from __future__ import annotations

import math
from collections import deque

KEPT = 64  # intervals remembered
FEWEST = 4  # before so many the first guess counts
SPREAD = 0.25  # least standard deviation, as a share of the mean: lines come in bursts
STILL = 4  # this process stood still where two of its looks lie so many times further apart than they should
SUSPECT = 8.0  # phi from which a member counts as gone: one mistake in 10**8 intervals, were they normal


class Heard:
    """One other member."""

    def __init__(self, now: int, expected: int):
        self.nonce, self.at, self.expected = 0, now, expected
        self.intervals: deque = deque([expected], maxlen=KEPT)

    def record_line(self, nonce: int, now: int) -> None:
        if nonce == self.nonce:
            self.intervals.append(max(self.expected, now - self.at))  # a burst teaches nothing: all speak each beat
        self.nonce, self.at = nonce, now

    def phi(self, now: int) -> float:
        """-log10 of how likely a living member is silent for that long."""
        if now - self.at <= self.expected:  # no interval that was learned is shorter
            return 0.0
        mean = sum(self.intervals) / len(self.intervals)
        if len(self.intervals) < FEWEST:
            spread = mean / 2
        else:
            spread = max(SPREAD * mean, math.sqrt(sum((one - mean) ** 2 for one in self.intervals) / len(self.intervals)))
        y = (now - self.at - mean) / spread
        if y <= 0:
            return 0.0
        if y > 30:
            return 300.0
        later = math.erfc(y / math.sqrt(2)) / 2
        return -math.log10(later) if later > 0 else 300.0


class FailureDetector:
    """All others: those that settle by number, those that follow by name. `expected` ns lie between two lines of one, `look` ns between
    two calls of `looked`."""

    def __init__(self, own: int, many: int, now: int, expected: int, look: int):
        self.own, self.look, self.last, self.expected = own, look, now, expected
        self.heard: dict = {n: Heard(now, expected) for n in range(many) if n != own}

    def check_standstill(self, now: int) -> int:
        """To be called every `look` ns; how long this process stood still before, which is nobody's silence."""
        still, self.last = now - self.last - self.look, now
        if still < STILL * self.look:
            return 0
        for one in self.heard.values():
            one.at = min(now, one.at + still)
        return still

    def record_line(self, member, nonce: int, now: int) -> None:
        if member not in self.heard:
            self.heard[member] = Heard(now, self.expected)
        self.heard[member].record_line(nonce, now)

    def phi(self, member, now: int) -> float:
        return 0.0 if member == self.own else self.heard[member].phi(now)

    def is_suspected(self, member, now: int) -> bool:
        return self.phi(member, now) >= SUSPECT

    def suspected(self, now: int) -> list:
        return [member for member, one in self.heard.items() if one.phi(now) >= SUSPECT]

    def forget(self, member) -> None:
        self.heard.pop(member, None)
