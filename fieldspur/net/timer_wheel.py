"""A timer wheel: adding or cancelling a timer touches one dict, and the waiting thread wakes up for live timers only."""

from __future__ import annotations

import heapq

SLOT_SHIFT = 22  # a slot spans 2**22 ns (4.2 ms); the timers in it keep their exact times
NEVER = 1 << 62  # a time (ns) later than any timer


class TimerWheel:
    """Timers by time (whole nanoseconds) and key; a key is unique among the timers that are set.

    Most timers are cancelled. Adding a timer to an existing slot therefore needs no heap push, and a cancelled timer leaves
    nothing behind that would be sorted, popped or woken up for."""

    def __init__(self):
        # Slot number -> the times of its timers by key. A slot whose timers are all cancelled stays until its time has passed.
        self.slots: dict[int, dict] = {}
        self.slot_heap: list[int] = []  # numbers of the slots in `slots`, as a heap
        self.count = 0  # timers that are set

    def add(self, at: int, key) -> None:
        slot = self.slots.get(at >> SLOT_SHIFT)
        if slot is None:
            slot = self.slots[at >> SLOT_SHIFT] = {}
            heapq.heappush(self.slot_heap, at >> SLOT_SHIFT)
        slot[key] = at
        self.count += 1

    def cancel(self, at: int, key) -> bool:
        """Removes the timer; returns False if it is not set."""
        slot = self.slots.get(at >> SLOT_SHIFT)
        if slot is None or slot.pop(key, None) is None:
            return False
        self.count -= 1
        return True

    def next_time(self) -> int:
        """Returns the time of the earliest timer, or NEVER if no timer is set."""
        while self.slot_heap:
            slot = self.slots[self.slot_heap[0]]
            if slot:
                return min(slot.values())
            del self.slots[heapq.heappop(self.slot_heap)]
        return NEVER

    def pop_due(self, now: int) -> list[tuple]:
        """Removes all timers up to `now` and returns them as (time, key), earliest first; equal times in the order of adding."""
        due, current_slot = [], now >> SLOT_SHIFT
        while self.slot_heap and self.slot_heap[0] <= current_slot:
            slot = self.slots[self.slot_heap[0]]
            if self.slot_heap[0] < current_slot:
                del self.slots[heapq.heappop(self.slot_heap)]
                due += [(at, key) for key, at in slot.items()]
                continue
            due += [(at, key) for key, at in slot.items() if at <= now]
            for at, key in due:
                slot.pop(key, None)
            break
        self.count -= len(due)
        due.sort(key=lambda timer: timer[0])
        return due
