"""Reads KNOWN-RED.txt, the list of tests that fail because of a known fault. A listed test that passes is an error, so that its line
is removed."""

from __future__ import annotations

from pathlib import Path
from typing import NamedTuple

FILE = Path(__file__).resolve().parents[1] / "KNOWN-RED.txt"
MAX_TESTS = 3


class KnownFailure(NamedTuple):
    """One line of the file."""

    test: str  # pytest node id
    cause: str
    issue: str


def rows(text: str) -> list[KnownFailure]:
    """Parses lines of `test, cause, issue`; the cause may contain commas. Raises ValueError for a faulty line or too many lines."""
    failures = []
    for line in text.splitlines():
        if not line.strip() or line.startswith("#"):
            continue
        test, _, rest = line.partition(",")
        cause, _, issue = rest.rpartition(",")
        if not (test.strip() and cause.strip() and issue.strip()):
            raise ValueError(f"KNOWN-RED.txt: {line!r}: a test, its cause and its issue wanted")
        failures.append(KnownFailure(test.strip(), cause.strip(), issue.strip()))
    if len(failures) > MAX_TESTS:
        raise ValueError(f"KNOWN-RED.txt: {len(failures)} tests, {MAX_TESTS} at most")
    return failures


def listed() -> list[KnownFailure]:
    """The rows of the file, or none if it does not exist."""
    return rows(FILE.read_text()) if FILE.exists() else []
