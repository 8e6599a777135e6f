"""KNOWN-RED.txt: tests that fail for a known fault. Each has to fail, strictly: one that passes is an error until it is taken off."""

from __future__ import annotations

from pathlib import Path
from typing import NamedTuple

FILE = Path(__file__).resolve().parents[1] / "KNOWN-RED.txt"
MOST = 3


class Red(NamedTuple):
    """One line of the file."""

    test: str  # as pytest names it
    cause: str
    issue: str


def rows(text: str) -> list[Red]:
    """`test, cause, issue` a line; the cause may hold commas. Raises ValueError where a line, or their number, can't be used."""
    found = []
    for line in text.splitlines():
        if not line.strip() or line.startswith("#"):
            continue
        test, _, rest = line.partition(",")
        cause, _, issue = rest.rpartition(",")
        if not (test.strip() and cause.strip() and issue.strip()):
            raise ValueError(f"KNOWN-RED.txt: {line!r}: a test, its cause and its issue wanted")
        found.append(Red(test.strip(), cause.strip(), issue.strip()))
    if len(found) > MOST:
        raise ValueError(f"KNOWN-RED.txt: {len(found)} tests, {MOST} at most")
    return found


def listed() -> list[Red]:
    """The rows of the file; none where it is not there."""
    return rows(FILE.read_text()) if FILE.exists() else []
