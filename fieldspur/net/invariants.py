"""What must hold: asserted in debug builds, counted and logged in release builds. And errors that nobody foresaw: contained to what they
happened in, counted and logged with their trace (`docs/design/containment.md`)."""

from __future__ import annotations

import logging
import sys
import threading
import time
from collections.abc import Callable

from fieldspur.net.logs import error_fields
from fieldspur.permissions import may_try_again

TYPE_CHECKING = False  # as typing has it, which a start does not load
if TYPE_CHECKING:
    from typing import TypeVar

    Result = TypeVar("Result")

log = logging.getLogger("fieldspur.holds")
violation_counts: dict[str, int] = {}  # how often each has failed, by name
RESTART_PAUSE_S = 0.05  # until a thread that the program can't do without goes on after an error
MAX_CONSECUTIVE_ERRORS = 100  # errors of such a thread, each within STEADY_S of the one before; then it is the program's end
CONSECUTIVE_WITHIN_S = 1.0


def check_invariant(true, what: str, **about) -> bool:
    """Returns whether it held, so that a release build can go on without it."""
    if true:
        return True
    assert False, f"{what}: {about}"
    violation_counts[what] = violation_counts.get(what, 0) + 1
    log.error("broken", extra={"kv": {"what": what, "times": violation_counts[what], **about}})
    return False


class ContainedErrors:
    """Counts unforeseen errors by where they were contained: "event", "connection", "client", "write", "answer", or a thread's name."""

    def __init__(self):
        self.lock = threading.Lock()
        self.by_place: dict[str, int] = {}

    def record(self, place: str, **about) -> None:
        """Called while the error is handled. What must hold is not contained: it is raised on, where it is asserted at all."""
        error_type, error, trace = sys.exc_info()
        if isinstance(error, AssertionError):
            raise error
        with self.lock:
            self.by_place[place] = self.by_place.get(place, 0) + 1
        log.critical(
            "contained",
            exc_info=(error_type, error, trace),
            extra={"kv": {"place": place, "thread": threading.current_thread().name, **about, **error_fields(error, trace)}},
        )

    def log_fields(self) -> dict[str, int]:
        """How often, as keys of a log line."""
        with self.lock:
            return {f"contained_{place}": count for place, count in self.by_place.items()}


contained_errors = ContainedErrors()


def retry_while_exhausted(call: Callable[[], Result], failures: type[Exception] | tuple[type[Exception], ...], pause_s: float) -> Result:
    """What `call` gives. Where it fails for want of room in the system, it is called again for a while: raises the error of one that
    goes on, and any other at once. `failures` have an `errno`."""
    began = time.monotonic()
    while True:
        try:
            return call()
        except failures as wrong:
            if not may_try_again(wrong.errno, time.monotonic() - began):
                raise
            log.warning("no_room", extra={"kv": {"why": str(wrong)}})
        time.sleep(pause_s)


def keep_running(name: str, run: Callable[[], None]) -> None:
    """Runs what the program can't do without, a thread's whole work, again after each unforeseen error. Raises the error of one that goes
    on and on: a program that looks alive and does not do its work is worse than none."""
    in_a_row, failed_at = 0, 0.0
    while True:
        try:
            return run()
        except Exception:
            now = time.monotonic()
            in_a_row = in_a_row + 1 if now - failed_at < CONSECUTIVE_WITHIN_S else 1
            failed_at = now
            if in_a_row >= MAX_CONSECUTIVE_ERRORS:
                raise
            contained_errors.record(name)
        time.sleep(RESTART_PAUSE_S)
