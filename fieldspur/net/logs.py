"""Log lines as key=value pairs on standard error, and counters whose values are logged."""

from __future__ import annotations

import json
import logging
import sys
import threading
from enum import Enum

MAX_LINES_PER_SECOND = 20  # default limit for the lines of one event


class ReasonCounter:
    """Counts events by reason, where the reasons are the members of one enum. Any thread may call it."""

    def __init__(self, reasons: type[Enum]):
        self.lock = threading.Lock()
        self.by_reason = dict.fromkeys(reasons, 0)

    def add(self, reason: Enum) -> None:
        with self.lock:
            self.by_reason[reason] += 1

    def log_fields(self, prefix: str) -> dict[str, int]:
        """Returns the counts of the reasons that have occurred, as fields of a log line."""
        with self.lock:
            return {f"{prefix}_{reason.name.lower()}": count for reason, count in self.by_reason.items() if count}


def peak_memory_mb() -> float:
    """Returns the peak resident memory of this process in MiB (`VmHWM` of proc(5)), or 0 if the system does not report it."""
    try:
        with open("/proc/self/status", "rb") as status:
            peak_line = next(line for line in status if line.startswith(b"VmHWM:"))
    except (OSError, StopIteration):
        return 0.0
    return int(peak_line.split()[1]) / 1024


def format_value(value) -> str:
    """Formats a value of a log line, as a JSON string if it contains characters that would make the line ambiguous."""
    text = f"{value:.3f}" if isinstance(value, float) else str(value)
    is_plain = text and not any(char in ' ="\\' or not char.isprintable() for char in text)
    return text if is_plain else json.dumps(text)


def error_fields(error: BaseException, trace) -> dict[str, str]:
    """Returns an exception's type, text and place as fields of a log line, whose trace comes last and may be cut off."""
    while trace is not None and trace.tb_next is not None:
        trace = trace.tb_next
    frame = trace.tb_frame if trace is not None else None
    place = f"{frame.f_code.co_filename.rpartition('/')[2]}:{trace.tb_lineno}" if frame is not None else "-"
    return {"error": type(error).__name__, "what": str(error), "at": place}


class KeyValueFormatter(logging.Formatter):
    """Formats a record as `ts=... level=... part=... event=... key=value ...`."""

    def format(self, record: logging.LogRecord) -> str:
        fields = {
            "ts": f"{record.created:.3f}",
            "level": record.levelname.lower(),
            "part": record.name.rpartition(".")[2],
            "event": record.getMessage(),
            **getattr(record, "kv", {}),
        }
        if record.exc_info:
            fields["trace"] = self.formatException(record.exc_info)
        return " ".join(f"{key}={format_value(value)}" for key, value in fields.items())


class RateLimitFilter(logging.Filter):
    """Passes at most `max_lines` lines of one event in each second. The next line that passes reports how many were dropped."""

    def __init__(self, max_lines: int = MAX_LINES_PER_SECOND):
        super().__init__()
        self.max_lines = max_lines
        # By logger and event: the current second (Unix time), the lines in it, the lines dropped since the last one that passed.
        self.counts: dict[tuple, list[int]] = {}

    def filter(self, record: logging.LogRecord) -> bool:
        if record.levelno <= logging.DEBUG:
            return True
        counts = self.counts.setdefault((record.name, record.msg), [0, 0, 0])
        if counts[0] != int(record.created):
            counts[:2] = int(record.created), 0
        counts[1] += 1
        if counts[1] > self.max_lines:
            counts[2] += 1
            return False
        if counts[2]:
            record.kv = {**getattr(record, "kv", {}), "left_out": counts[2]}
            counts[2] = 0
        return True


def skip_unused_fields() -> None:
    """Keeps `logging` from looking up the place in the code, the thread and the process: no line reports them, and the lookup costs more
    than the rest of the line."""
    logging._srcfile = None  # see "Optimization" in the documentation of `logging`
    logging.logThreads = logging.logProcesses = logging.logMultiprocessing = False


def configure(level: int = logging.INFO, max_lines: int = MAX_LINES_PER_SECOND) -> None:
    """Sends the lines of all the program's loggers to standard error, at most `max_lines` per event and second."""
    skip_unused_fields()
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(KeyValueFormatter())
    handler.addFilter(RateLimitFilter(max_lines))
    root = logging.getLogger("fieldspur")
    root.handlers[:], root.propagate = [handler], False
    root.setLevel(level)
