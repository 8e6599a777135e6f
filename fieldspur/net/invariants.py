"""Invariants and contained errors.

A violated invariant is asserted in debug builds, and counted and logged in release builds. An unforeseen error is contained: it costs
only the work in which it occurred, and it is counted and logged with its trace (`docs/design/containment.md`)."""

from __future__ import annotations

import logging
import sys
import threading
import time
from collections.abc import Callable

from fieldspur.net.logs import error_fields
from fieldspur.permissions import may_try_again

TYPE_CHECKING = False  # defined here as in `typing`, which is not loaded at a start
if TYPE_CHECKING:
    from typing import TypeVar

    Result = TypeVar("Result")

log = logging.getLogger("fieldspur.holds")
violation_counts: dict[str, int] = {}  # how often each invariant was violated, by its description
RESTART_PAUSE_S = 0.05  # pause before `keep_running` restarts its work after an error
MAX_CONSECUTIVE_ERRORS = 100  # after that many, `keep_running` raises the error, which ends the program
CONSECUTIVE_WITHIN_S = 1.0  # two errors of `keep_running` closer than this count as consecutive


def check_invariant(true, what: str, **about) -> bool:
    """Returns whether the invariant holds, so that a release build can continue after a violation."""
    if true:
        return True
    assert False, f"{what}: {about}"
    violation_counts[what] = violation_counts.get(what, 0) + 1
    log.error("broken", extra={"kv": {"what": what, "times": violation_counts[what], **about}})
    return False


class ContainedErrors:
    """Counts unforeseen errors by the place where they were contained: "event", "connection", "client", "write", "answer", or the name
    of a thread."""

    def __init__(self):
        self.lock = threading.Lock()
        self.count_by_place: dict[str, int] = {}

    def record(self, place: str, **about) -> None:
        """Counts and logs the error that is being handled. The AssertionError of a violated invariant is not contained but raised
        again; it occurs only in builds with assertions."""
        error_type, error, trace = sys.exc_info()
        if isinstance(error, AssertionError):
            raise error
        with self.lock:
            self.count_by_place[place] = self.count_by_place.get(place, 0) + 1
        log.critical(
            "contained",
            exc_info=(error_type, error, trace),
            extra={"kv": {"place": place, "thread": threading.current_thread().name, **about, **error_fields(error, trace)}},
        )

    def log_fields(self) -> dict[str, int]:
        """Returns the counts as fields of a log line."""
        with self.lock:
            return {f"contained_{place}": count for place, count in self.count_by_place.items()}


contained_errors = ContainedErrors()


def retry_while_exhausted(call: Callable[[], Result], failures: type[Exception] | tuple[type[Exception], ...], pause_s: float) -> Result:
    """Returns the result of `call`, and calls it again for a while when it fails because the system has no resources left (descriptors,
    memory). Raises the last error if the shortage lasts, and any other error at once. Errors of the types in `failures` have an `errno`."""
    began = time.monotonic()
    while True:
        try:
            return call()
        except failures as error:
            if not may_try_again(error.errno, time.monotonic() - began):
                raise
            log.warning("no_room", extra={"kv": {"why": str(error)}})
        time.sleep(pause_s)


def keep_running(name: str, run: Callable[[], None]) -> None:
    """Runs the whole work of a thread that the program needs, and restarts it after each unforeseen error. If the errors go on and on,
    raises the last one: a program that looks alive but does not do its work is worse than a program that has ended."""
    consecutive_errors, failed_at = 0, 0.0
    while True:
        try:
            return run()
        except Exception:
            now = time.monotonic()
            consecutive_errors = consecutive_errors + 1 if now - failed_at < CONSECUTIVE_WITHIN_S else 1
            failed_at = now
            if consecutive_errors >= MAX_CONSECUTIVE_ERRORS:
                raise
            contained_errors.record(name)
        time.sleep(RESTART_PAUSE_S)
