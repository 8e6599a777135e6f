"""A member's register on disk, before it is said: sqlite3 of the standard library, one row, a checksum over it. What the last
`keep` that came back wrote is there after any crash; one that was cut short leaves what was before it.

What can't be read, whole and with its sum, counts as forgotten: the member comes back as one without memory.
"""

from __future__ import annotations

import hashlib
import json
import logging
import os
import sqlite3
from pathlib import Path

from fieldspur.fleet import register_codec
from fieldspur.fleet.consensus import Register

log = logging.getLogger("fieldspur.fleet.store")
FILE = "fleet.sqlite3"


class StoreFailed(OSError):
    """What was to be kept is not; the member must not say it. The text says why."""


def checksum(fleet: str, member: int, text: str) -> str:
    return hashlib.sha256(f"{fleet}\n{member}\n{text}".encode()).hexdigest()


class StoreUnreadable(StoreFailed):
    """What was kept can't be read now: neither spoilt nor forgotten. It is to be asked for again."""


def passes(error: sqlite3.Error) -> bool:
    """Whether an error speaks of the disk or of the system, which may work again, and not of what is in the file."""
    code = getattr(error, "sqlite_errorcode", None)
    return isinstance(error, sqlite3.OperationalError) and (code is None or code & 0xFF != sqlite3.SQLITE_ERROR)


class Store:
    """In `folder`, of one member of the fleet named so. Raises StoreFailed where there is no such folder."""

    def __init__(self, folder: str | Path, fleet: str, member: int, members: int):
        self.fleet, self.member, self.members = fleet, member, members
        self.path = Path(folder) / FILE
        self.base: sqlite3.Connection | None = None
        try:
            os.listdir(folder)
        except (FileNotFoundError, NotADirectoryError) as wrong:
            raise StoreFailed(f"{folder}: {wrong.strerror}") from None
        except OSError:
            pass  # it is there, and `load` tells more

    def open(self) -> None:
        self.close()
        self.base = sqlite3.connect(self.path, timeout=2.0, isolation_level=None, check_same_thread=False)
        self.base.execute("pragma journal_mode = delete")
        self.base.execute("pragma synchronous = extra")  # the folder's entry too
        self.base.execute(
            "create table if not exists register (fleet text, member integer, body text, sum text, primary key (fleet, member))"
        )

    def set_aside(self, why: str) -> None:
        """Guards against a spoilt file: it is kept beside for a person to look at, and the member has forgotten."""
        log.error("store_spoilt", extra={"kv": {"path": self.path.name, "why": why}})
        self.close()
        try:
            self.path.replace(self.path.with_suffix(".spoilt"))
            self.open()
        except (OSError, sqlite3.Error) as wrong:
            self.close()
            raise StoreUnreadable(f"{self.path}: {wrong}") from None

    def load(self) -> Register | None:
        """What was kept last; None where nothing was, or what is there is not whole. Raises StoreUnreadable where that can't be told now. Guards
        against a disk that fails for a while: sqlite rolls back what a kill left half written before it reads, and can't then."""
        try:
            if self.base is None:
                self.open()
            row = self.base.execute("select body, sum from register where fleet = ? and member = ?", (self.fleet, self.member)).fetchone()
        except sqlite3.Error as wrong:
            if passes(wrong):
                self.close()
                raise StoreUnreadable(f"{self.path}: {wrong}") from None
            self.set_aside(str(wrong))
            return None
        if row is None:
            return None
        try:
            if row[1] != checksum(self.fleet, self.member, row[0]):
                raise register_codec.BadLine("sum: another one")
            kept = register_codec.decode_register(json.loads(row[0]), self.members)
            if kept.member != self.member:
                raise register_codec.BadLine(f"member: {kept.member}")
            return kept
        except ValueError as wrong:
            self.set_aside(str(wrong))
            return None

    def keep(self, register: Register) -> None:
        """It is on disk when this comes back; raises StoreFailed, and then what was kept before still is."""
        body = json.dumps(register_codec.encode_register(register), separators=(",", ":"))
        try:
            if self.base is None:
                self.open()
            self.base.execute(
                "insert or replace into register values (?, ?, ?, ?)",
                (self.fleet, self.member, body, checksum(self.fleet, self.member, body)),
            )
        except sqlite3.Error as wrong:  # full, read-only, spoilt meanwhile
            raise StoreFailed(f"{self.path}: {wrong}") from None

    def close(self) -> None:
        if self.base is not None:
            self.base.close()
            self.base = None
