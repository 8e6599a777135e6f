"""Starts router processes under the fault shim (`shim.c`) and sets their faults while they run."""

from __future__ import annotations

import mmap
import os
import shutil
import struct
import subprocess
from pathlib import Path

SOURCE = Path(__file__).with_name("shim.c")
HEAD = struct.Struct("=qQ")  # clock offset, seed
RATES = ("accept", "socket", "connect", "eintr", "shorten", "broken", "disk")  # per 1000 calls, in the shim's order
FIELD = struct.Struct("=I")
DIAL_AT = HEAD.size + FIELD.size * len(RATES)
FIRED_AT = DIAL_AT + FIELD.size
COUNTED = (*RATES, "dial")
CALLS = {  # faults of a scenario, and the rate that each sets
    "accept_fails": "accept",
    "socket_fails": "socket",
    "connect_fails": "connect",
    "interrupted": "eintr",
    "short_io": "shorten",
    "broken_io": "broken",
    "disk_fails": "disk",
}
SIZE = FIRED_AT + FIELD.size * len(COUNTED) + 64


class NoCompiler(Exception):
    """The shim can't be built here; the text says why."""


def build(folder: Path) -> Path:
    """The shim as a shared library in `folder`."""
    compiler, library = shutil.which("cc") or shutil.which("gcc"), folder / "shim.so"
    if compiler is None:
        raise NoCompiler("the fault shim needs a C compiler (cc), and there is none")
    done = subprocess.run([compiler, "-O2", "-shared", "-fPIC", "-o", str(library), str(SOURCE), "-ldl"], capture_output=True, text=True)
    if done.returncode:
        raise NoCompiler(f"the fault shim can't be built: {done.stderr.strip()[:300]}")
    return library


class Shim:
    """The control block of one process, kept over its restarts."""

    def __init__(self, folder: Path, library: Path, number: int, seed: int):
        self.path = folder / f"shim-{number}"
        self.path.write_bytes(HEAD.pack(0, seed * 1000 + number + 1).ljust(SIZE, b"\0"))
        with self.path.open("r+b") as file:
            self.block = mmap.mmap(file.fileno(), SIZE)
        self.env = {"LD_PRELOAD": str(library), "FIELDSPUR_SHIM": str(self.path)}

    def step_clock(self, seconds: float) -> None:
        """The process' wall clock is so far from the machine's, from now on."""
        struct.pack_into("=q", self.block, 0, int(seconds * 1e9))

    def rate(self, name: str, per_thousand: int) -> None:
        FIELD.pack_into(self.block, HEAD.size + FIELD.size * RATES.index(name), per_thousand)

    def dial_delay(self, most_ms: int) -> None:
        FIELD.pack_into(self.block, DIAL_AT, most_ms)

    def fired(self) -> dict[str, int]:
        """How often each fault happened."""
        return {name: FIELD.unpack_from(self.block, FIRED_AT + FIELD.size * n)[0] for n, name in enumerate(COUNTED)}

    def close(self) -> None:
        self.block.close()
        os.unlink(self.path)
