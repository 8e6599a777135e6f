"""Log lines: logging with a key=value formatter, on standard error."""

from __future__ import annotations

import json
import logging
import sys

MOST_A_SECOND = 20  # lines of one event, where nobody says otherwise


def word(value) -> str:
    text = f"{value:.3f}" if isinstance(value, float) else str(value)
    plain = text and not any(c in ' ="\\' or not c.isprintable() for c in text)
    return text if plain else json.dumps(text)


class KeyValue(logging.Formatter):
    """`ts=... level=... part=... event=... key=value ...`"""

    def format(self, record: logging.LogRecord) -> str:
        pairs = {"ts": f"{record.created:.3f}", "level": record.levelname.lower(),
                 "part": record.name.rpartition(".")[2], "event": record.getMessage(),
                 **getattr(record, "kv", {})}
        if record.exc_info:
            pairs["trace"] = self.formatException(record.exc_info)
        return " ".join(f"{key}={word(value)}" for key, value in pairs.items())


class Flood(logging.Filter):
    """Lets through so many lines of one event in a second; the next one after tells how many were left out."""

    def __init__(self, most: int = MOST_A_SECOND):
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


def begin(level: int = logging.INFO, most: int = MOST_A_SECOND) -> None:
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(KeyValue())
    handler.addFilter(Flood(most))
    root = logging.getLogger("fieldspur")
    root.handlers[:], root.propagate = [handler], False
    root.setLevel(level)
