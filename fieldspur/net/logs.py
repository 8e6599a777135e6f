"""Log lines, as key=value pairs on standard error, and the counters that they tell."""

from __future__ import annotations

import json
import logging
import sys
import threading
from enum import Enum

MAX_LINES_PER_SECOND = 20  # lines of one event, where nobody says otherwise


class ReasonCounter:
    """Counts events by their reason, a member of one enum; any thread may add to it."""

    def __init__(self, reasons: type[Enum]):
        self.lock = threading.Lock()
        self.by_reason = dict.fromkeys(reasons, 0)

    def add(self, reason: Enum) -> None:
        with self.lock:
            self.by_reason[reason] += 1

    def log_fields(self, prefix: str) -> dict[str, int]:
        """The reasons that have occurred, as keys of a log line."""
        with self.lock:
            return {f"{prefix}_{reason.name.lower()}": count for reason, count in self.by_reason.items() if count}


def peak_memory_mb() -> float:
    """The most resident memory of this process so far, in MiB (`VmHWM` of proc(5)); 0 where the system does not tell."""
    try:
        with open("/proc/self/status", "rb") as status:
            peak = next(line for line in status if line.startswith(b"VmHWM:"))
    except (OSError, StopIteration):
        return 0.0
    return int(peak.split()[1]) / 1024


def format_value(value) -> str:
    text = f"{value:.3f}" if isinstance(value, float) else str(value)
    plain = text and not any(c in ' ="\\' or not c.isprintable() for c in text)
    return text if plain else json.dumps(text)


def error_fields(error: BaseException, trace) -> dict[str, str]:
    """What an exception is and where it was raised, for a line whose trace comes last and may be cut off."""
    while trace is not None and trace.tb_next is not None:
        trace = trace.tb_next
    frame = trace.tb_frame if trace is not None else None
    place = f"{frame.f_code.co_filename.rpartition('/')[2]}:{trace.tb_lineno}" if frame is not None else "-"
    return {"error": type(error).__name__, "what": str(error), "at": place}


class KeyValueFormatter(logging.Formatter):
    """`ts=... level=... part=... event=... key=value ...`"""

    def format(self, record: logging.LogRecord) -> str:
        pairs = {
            "ts": f"{record.created:.3f}",
            "level": record.levelname.lower(),
            "part": record.name.rpartition(".")[2],
            "event": record.getMessage(),
            **getattr(record, "kv", {}),
        }
        if record.exc_info:
            pairs["trace"] = self.formatException(record.exc_info)
        return " ".join(f"{key}={format_value(value)}" for key, value in pairs.items())


class RateLimitFilter(logging.Filter):
    """Lets through so many lines of one event in a second; the next one after tells how many were left out."""

    def __init__(self, most: int = MAX_LINES_PER_SECOND):
        super().__init__()
        self.most = most
        self.seen: dict[tuple, list[int]] = {}  # by part and event: the second, lines in it, lines left out

    def filter(self, record: logging.LogRecord) -> bool:
        if record.levelno <= logging.DEBUG:
            return True
        seen = self.seen.setdefault((record.name, record.msg), [0, 0, 0])
        if seen[0] != int(record.created):
            seen[:2] = int(record.created), 0
        seen[1] += 1
        if seen[1] > self.most:
            seen[2] += 1
            return False
        if seen[2]:
            record.kv = {**getattr(record, "kv", {}), "left_out": seen[2]}
            seen[2] = 0
        return True


def skip_unused_fields() -> None:
    """Log lines tell neither the place in the code nor thread and process: what `logging` does to find them costs more than the line."""
    logging._srcfile = None  # as its documentation says under "Optimization"
    logging.logThreads = logging.logProcesses = logging.logMultiprocessing = False


def configure(level: int = logging.INFO, most: int = MAX_LINES_PER_SECOND) -> None:
    skip_unused_fields()
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(KeyValueFormatter())
    handler.addFilter(RateLimitFilter(most))
    root = logging.getLogger("fieldspur")
    root.handlers[:], root.propagate = [handler], False
    root.setLevel(level)
