"""Turns for the readers of connections that send much of no use.

All readers share one interpreter with the threads that decide and answer. If hundreds of connections send at full speed what is only to be
refused, each step of every other thread waits behind hundreds of readers. Such connections are therefore processed one at a time, in the
order in which they ask, with a pause after each; permissions.UselessFrameBudget tells which connections these are."""

from __future__ import annotations

import threading
import time
from collections import deque

PAUSE_PER_WORK = 2.0  # length of the pause after a turn, as a multiple of the turn's length
MAX_PAUSE_S = 0.02  # so that a turn which was long only because the machine was busy does not hold up the others


class ReadTurns:
    """One turn, which is passed from reader to reader in the order in which they asked for it. Any thread may ask."""

    def __init__(self):
        self.lock = threading.Lock()  # guards the fields below
        self.taken = False
        self.waiting: deque[threading.Lock] = deque()  # one held lock for each waiting reader; releasing it passes the turn to that reader
        self.began = 0.0  # when the present turn began

    def take(self) -> None:
        """Waits for the turn."""
        with self.lock:
            if self.taken:
                passed_on = threading.Lock()
                passed_on.acquire()
                self.waiting.append(passed_on)
            else:
                self.taken, passed_on = True, None
        if passed_on is not None:
            passed_on.acquire()
        self.began = time.monotonic()

    def pass_on(self) -> None:
        """Pauses, then gives the turn to the next reader. Only the reader that has the turn may call it."""
        time.sleep(min(MAX_PAUSE_S, PAUSE_PER_WORK * (time.monotonic() - self.began)))
        with self.lock:
            if self.waiting:
                self.waiting.popleft().release()
            else:
                self.taken = False
