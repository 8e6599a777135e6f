"""Stores a member's register on disk before it is published: sqlite3 of the standard library, one row with a checksum. After
any crash the file contains what the last completed `save` wrote; a `save` that was interrupted leaves the previous content.

Content that can't be read whole and with a matching checksum counts as lost: the member rejoins as one without memory.
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
FILE_NAME = "fleet.sqlite3"


class StoreFailed(OSError):
    """The register is not on disk, so the member must not publish it. The text gives the reason."""


def checksum(fleet: str, member: int, text: str) -> str:
    return hashlib.sha256(f"{fleet}\n{member}\n{text}".encode()).hexdigest()


class StoreUnreadable(StoreFailed):
    """The stored register can't be read now, which does not mean that it is corrupt or absent. The caller should retry."""


def is_transient(error: sqlite3.Error) -> bool:
    """Whether an error comes from the disk or the system, which may recover, and not from the content of the file."""
    code = getattr(error, "sqlite_errorcode", None)
    return isinstance(error, sqlite3.OperationalError) and (code is None or code & 0xFF != sqlite3.SQLITE_ERROR)


class RegisterStore:
    """The stored register of member number `member` of the fleet named `fleet`, in a file in `folder`. Raises StoreFailed if there
    is no such folder."""

    def __init__(self, folder: str | Path, fleet: str, member: int, members: int):
        self.fleet, self.member, self.members = fleet, member, members
        self.path = Path(folder) / FILE_NAME
        self.connection: sqlite3.Connection | None = None
        try:
            os.listdir(folder)
        except (FileNotFoundError, NotADirectoryError) as error:
            raise StoreFailed(f"{folder}: {error.strerror}") from None
        except OSError:
            pass  # the folder exists; `load` reports what fails

    def open(self) -> None:
        self.close()
        self.connection = sqlite3.connect(self.path, timeout=2.0, isolation_level=None, check_same_thread=False)
        self.connection.execute("pragma journal_mode = delete")
        self.connection.execute("pragma synchronous = extra")  # also syncs the folder after the journal is deleted
        self.connection.execute(
            "create table if not exists register (fleet text, member integer, body text, sum text, primary key (fleet, member))"
        )

    def set_aside(self, reason: str) -> None:
        """Renames a corrupt file so that a person can examine it, and starts an empty one: the member has lost its memory."""
        log.error("store_spoilt", extra={"kv": {"path": self.path.name, "why": reason}})
        self.close()
        try:
            self.path.replace(self.path.with_suffix(".spoilt"))
            self.open()
        except (OSError, sqlite3.Error) as error:
            self.close()
            raise StoreUnreadable(f"{self.path}: {error}") from None

    def load(self) -> Register | None:
        """The register that was saved last; None if there is none, or if it is corrupt. Raises StoreUnreadable if it can't be read now,
        for a disk may fail for a while: after a kill in the middle of a write sqlite has to roll back before it reads, and then can't."""
        try:
            if self.connection is None:
                self.open()
            row = self.connection.execute(
                "select body, sum from register where fleet = ? and member = ?", (self.fleet, self.member)
            ).fetchone()
        except sqlite3.Error as error:
            if is_transient(error):
                self.close()
                raise StoreUnreadable(f"{self.path}: {error}") from None
            self.set_aside(str(error))
            return None
        if row is None:
            return None
        try:
            if row[1] != checksum(self.fleet, self.member, row[0]):
                raise register_codec.BadLine("sum: the checksum does not match")
            stored = register_codec.decode_register(json.loads(row[0]), self.members)
            if stored.member != self.member:
                raise register_codec.BadLine(f"member: {stored.member}")
            return stored
        except ValueError as error:
            self.set_aside(str(error))
            return None

    def save(self, register: Register) -> None:
        """Writes the register to disk before it returns. Raises StoreFailed if that fails; the previous register is then still there."""
        body = json.dumps(register_codec.encode_register(register), separators=(",", ":"))
        try:
            if self.connection is None:
                self.open()
            self.connection.execute(
                "insert or replace into register values (?, ?, ?, ?)",
                (self.fleet, self.member, body, checksum(self.fleet, self.member, body)),
            )
        except sqlite3.Error as error:  # the disk is full or read-only, or the file was corrupted meanwhile
            raise StoreFailed(f"{self.path}: {error}") from None

    def close(self) -> None:
        if self.connection is not None:
            self.connection.close()
            self.connection = None
