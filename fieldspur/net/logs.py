"""Log lines as key=value pairs on standard error, and counters whose values are logged."""

from __future__ import annotations

import json
import logging
import sys
import threading
import time
from collections import deque
from enum import Enum

MAX_LINES_PER_SECOND = 20  # default limit for the lines of one event
MAX_PENDING_RECORDS = 4096  # records that wait to be written; about 1 KB each
FLUSH_TIMEOUT_S = 0.3  # how long the end of the program waits for pending lines
FLUSH_POLL_S = 0.001


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


class BackgroundHandler(logging.Handler):
    """Hands records to a thread of its own, which formats and writes them.

    The caller never waits: not for the handler's lock, which hundreds of threads may want at once, and not for the stream, which may be a
    pipe that nobody reads. Among the callers is the thread that holds the Router's lock. Records beyond MAX_PENDING_RECORDS are dropped,
    and their number is logged once there is room."""

    def __init__(self, stream):
        super().__init__()
        self.stream = stream
        self.pending: deque[logging.LogRecord] = deque()
        self.dropped = 0  # records dropped since the last line that reported it; not exact, as the callers share no lock
        self.writing = False  # a record was taken from `pending` and is not written yet
        self.wakeup = threading.Lock()  # the writer sleeps on it; releasing it wakes the writer up
        self.wakeup.acquire()
        threading.Thread(target=self.run, name="log", daemon=True).start()

    def handle(self, record: logging.LogRecord) -> bool:
        """Queues a record that passes the filters. Unlike the base class it takes no lock."""
        if not self.filter(record):
            return False
        if len(self.pending) >= MAX_PENDING_RECORDS:
            self.dropped += 1
            return True
        self.pending.append(record)
        try:
            self.wakeup.release()
        except RuntimeError:
            pass  # the writer is awake or being woken up already
        return True

    def run(self) -> None:
        """The writer thread."""
        while True:
            self.wakeup.acquire()
            while self.pending:
                self.writing = True
                self.write(self.pending.popleft())
                if self.dropped and not self.pending:
                    dropped, self.dropped = self.dropped, 0
                    fields = {"kv": {"records": dropped}}
                    self.write(logging.makeLogRecord({"name": __name__, "msg": "log_full", "levelname": "WARNING", **fields}))
                self.writing = False

    def write(self, record: logging.LogRecord) -> None:
        """Writes one line. An error costs this line only."""
        try:
            self.stream.write(self.format(record) + "\n")
            self.stream.flush()
        except Exception:
            pass  # there is nowhere to report it

    def flush(self) -> None:
        """Waits until all pending lines are written, for FLUSH_TIMEOUT_S at most. For the end of the program."""
        ends = time.monotonic() + FLUSH_TIMEOUT_S
        while (self.pending or self.writing) and time.monotonic() < ends:
            time.sleep(FLUSH_POLL_S)


def skip_unused_fields() -> None:
    """Keeps `logging` from looking up the place in the code, the thread and the process: no line reports them, and the lookup costs more
    than the rest of the line."""
    logging._srcfile = None  # see "Optimization" in the documentation of `logging`
    logging.logThreads = logging.logProcesses = logging.logMultiprocessing = False


def configure(level: int = logging.INFO, max_lines: int = MAX_LINES_PER_SECOND) -> None:
    """Sends the lines of all the program's loggers to standard error, at most `max_lines` per event and second."""
    skip_unused_fields()
    root = logging.getLogger("fieldspur")
    handler = next((handler for handler in root.handlers if isinstance(handler, BackgroundHandler)), None) or BackgroundHandler(sys.stderr)
    handler.setFormatter(KeyValueFormatter())
    handler.filters[:] = [RateLimitFilter(max_lines)]
    root.handlers[:], root.propagate = [handler], False
    root.setLevel(level)


def flush() -> None:
    """Waits, for a moment at most, until the lines logged so far are written."""
    for handler in logging.getLogger("fieldspur").handlers:
        handler.flush()
