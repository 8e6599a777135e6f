"""Timers in slots: adding and cancelling touch one dict each, and whoever waits wakes for live timers only."""

from __future__ import annotations

import heapq

SHIFT = 22  # a slot is 4.2 ms; within it timers keep their exact times
NEVER = 1 << 62


class TimerWheel:
    """Times are whole nanoseconds; a key is unique among the timers set. Most timers are cancelled, so an add costs no
    heap push where its slot exists, and a cancelled timer leaves nothing to be sorted, popped or woken for."""

    def __init__(self):
        self.slots: dict[int, dict] = {}  # times by key; a slot emptied by cancels stays until it is passed
        self.order: list[int] = []  # heap of the slots' numbers
        self.count = 0

    def add(self, at: int, key) -> None:
        slot = self.slots.get(at >> SHIFT)
        if slot is None:
            slot = self.slots[at >> SHIFT] = {}
            heapq.heappush(self.order, at >> SHIFT)
        slot[key] = at
        self.count += 1

    def cancel(self, at: int, key) -> bool:
        slot = self.slots.get(at >> SHIFT)
        if slot is None or slot.pop(key, None) is None:
            return False
        self.count -= 1
        return True

    def next_time(self) -> int:
        """The earliest time set; NEVER where none is."""
        while self.order:
            slot = self.slots[self.order[0]]
            if slot:
                return min(slot.values())
            del self.slots[heapq.heappop(self.order)]
        return NEVER

    def pop_due(self, now: int) -> list[tuple]:
        """Takes out all timers up to `now`, as (time, key), earliest first, equal ones as they were added."""
        found, last = [], now >> SHIFT
        while self.order and self.order[0] <= last:
            slot = self.slots[self.order[0]]
            if self.order[0] < last:
                del self.slots[heapq.heappop(self.order)]
                found += [(at, key) for key, at in slot.items()]
                continue
            found += [(at, key) for key, at in slot.items() if at <= now]
            for at, key in found:
                slot.pop(key, None)
            break
        self.count -= len(found)
        found.sort(key=lambda timer: timer[0])
        return found
