"""A failure detector: it grades how likely each other member has failed, from the times of the lines that arrived from it. This module
does no I/O; times are whole ns of one monotonic clock.

Phi accrual (Hayashibara, Defago, Yared, Katayama, "The phi accrual failure detector", 2004), because a fixed timeout
mistakes either a slow link for a failed member or a failed member for a slow link. Two things are added. Intervals are learned
only within one process of a member, because the pause around a restart is no ordinary interval. And time during which this process
itself was stopped is subtracted from the silence of the others, because they may have sent while nothing was read here.
Suspicion only influences which member asks to become the coordinator; the safety of the consensus does not depend on it.
"""

from __future__ import annotations

import math
from collections import deque

MAX_INTERVALS = 64  # the latest intervals that are stored for each member
MIN_INTERVALS = 4  # with fewer intervals, the standard deviation is assumed to be half of the mean
MIN_DEVIATION_SHARE = 0.25  # least standard deviation as a share of the mean, because lines arrive in bursts
STANDSTILL_FACTOR = 4  # this process was stopped if a poll is late by this many poll intervals
SUSPECT_PHI = 8.0  # a member is suspected from this phi on: one mistake in 10**8 intervals if they were normally distributed


class IntervalHistory:
    """When one other member was last heard from, and the intervals between its lines."""

    def __init__(self, now: int, expected_interval: int):
        self.nonce, self.last_at, self.expected_interval = 0, now, expected_interval
        self.intervals: deque = deque([expected_interval], maxlen=MAX_INTERVALS)

    def record_line(self, nonce: int, now: int) -> None:
        if nonce == self.nonce:
            self.intervals.append(max(self.expected_interval, now - self.last_at))  # a shorter one is a burst
        self.nonce, self.last_at = nonce, now

    def phi(self, now: int) -> float:
        """-log10 of the probability that a live member is silent for this long."""
        if now - self.last_at <= self.expected_interval:  # no learned interval is shorter
            return 0.0
        mean = sum(self.intervals) / len(self.intervals)
        if len(self.intervals) < MIN_INTERVALS:
            deviation = mean / 2
        else:
            deviation = max(
                MIN_DEVIATION_SHARE * mean, math.sqrt(sum((interval - mean) ** 2 for interval in self.intervals) / len(self.intervals))
            )
        deviations_late = (now - self.last_at - mean) / deviation
        if deviations_late <= 0:
            return 0.0
        if deviations_late > 30:
            return 300.0
        probability = math.erfc(deviations_late / math.sqrt(2)) / 2
        return -math.log10(probability) if probability > 0 else 300.0


class FailureDetector:
    """Watches all other members: voting members by number, followers by name. A member's lines are `expected_interval` ns apart;
    `check_standstill` is called every `poll_interval` ns."""

    def __init__(self, own_number: int, members: int, now: int, expected_interval: int, poll_interval: int):
        self.own_number, self.poll_interval, self.last_poll_at, self.expected_interval = own_number, poll_interval, now, expected_interval
        self.histories: dict = {n: IntervalHistory(now, expected_interval) for n in range(members) if n != own_number}

    def check_standstill(self, now: int) -> int:
        """To be called every `poll_interval` ns. Returns for how long this process was stopped since the last call; this time does not
        count as silence of the others."""
        stopped, self.last_poll_at = now - self.last_poll_at - self.poll_interval, now
        if stopped < STANDSTILL_FACTOR * self.poll_interval:
            return 0
        for history in self.histories.values():
            history.last_at = min(now, history.last_at + stopped)
        return stopped

    def record_line(self, member, nonce: int, now: int) -> None:
        if member not in self.histories:
            self.histories[member] = IntervalHistory(now, self.expected_interval)
        self.histories[member].record_line(nonce, now)

    def phi(self, member, now: int) -> float:
        return 0.0 if member == self.own_number else self.histories[member].phi(now)

    def is_suspected(self, member, now: int) -> bool:
        return self.phi(member, now) >= SUSPECT_PHI

    def suspected(self, now: int) -> list:
        return [member for member, history in self.histories.items() if history.phi(now) >= SUSPECT_PHI]

    def forget(self, member) -> None:
        self.histories.pop(member, None)
