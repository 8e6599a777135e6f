"""Starts router processes under the fault shim (`shim.c`) and sets their faults while they run."""

from __future__ import annotations

import mmap
import os
import shutil
import struct
import subprocess
from pathlib import Path

SOURCE = Path(__file__).with_name("shim.c")
HEAD = struct.Struct("=qQ")  # the control block begins with the clock offset in ns and the seed
RATES = (
    "accept",
    "socket",
    "connect",
    "eintr",
    "shorten",
    "broken",
    "disk",
)  # system calls that can fail, in the order of the control block; each rate is per 1000 calls
FIELD = struct.Struct("=I")  # each further field of the control block
DIAL_DELAY_OFFSET = HEAD.size + FIELD.size * len(RATES)
COUNTERS_OFFSET = DIAL_DELAY_OFFSET + FIELD.size
COUNTED = (*RATES, "dial")  # the counters of failed calls, in the order of the control block; "dial" counts delayed connects
CALLS = {  # by fault of a scenario: the rate that the fault sets
    "accept_fails": "accept",
    "socket_fails": "socket",
    "connect_fails": "connect",
    "interrupted": "eintr",
    "short_io": "shorten",
    "broken_io": "broken",
    "disk_fails": "disk",
}
SIZE = COUNTERS_OFFSET + FIELD.size * len(COUNTED) + 64


class NoCompiler(Exception):
    """The shim can't be built here; the text says why."""


def build(folder: Path) -> Path:
    """Compiles the shim to a shared library in `folder`."""
    compiler, library = shutil.which("cc") or shutil.which("gcc"), folder / "shim.so"
    if compiler is None:
        raise NoCompiler("the fault shim needs a C compiler (cc), and there is none")
    compilation = subprocess.run(
        [compiler, "-O2", "-shared", "-fPIC", "-o", str(library), str(SOURCE), "-ldl"], capture_output=True, text=True
    )
    if compilation.returncode:
        raise NoCompiler(f"the fault shim can't be built: {compilation.stderr.strip()[:300]}")
    return library


class Shim:
    """The control block of one router process, which stays over restarts of the process."""

    def __init__(self, folder: Path, library: Path, number: int, seed: int):
        self.path = folder / f"shim-{number}"
        self.path.write_bytes(HEAD.pack(0, seed * 1000 + number + 1).ljust(SIZE, b"\0"))
        with self.path.open("r+b") as file:
            self.block = mmap.mmap(file.fileno(), SIZE)
        self.env = {"LD_PRELOAD": str(library), "FIELDSPUR_SHIM": str(self.path)}

    def step_clock(self, seconds: float) -> None:
        """Sets the difference of the process' wall clock from the machine's."""
        struct.pack_into("=q", self.block, 0, int(seconds * 1e9))

    def rate(self, name: str, per_thousand: int) -> None:
        """Sets how many of 1000 system calls of one kind fail."""
        FIELD.pack_into(self.block, HEAD.size + FIELD.size * RATES.index(name), per_thousand)

    def dial_delay(self, max_ms: int) -> None:
        """Sets the greatest random delay of a connect."""
        FIELD.pack_into(self.block, DIAL_DELAY_OFFSET, max_ms)

    def fired(self) -> dict[str, int]:
        """How often each kind of system call has failed."""
        return {name: FIELD.unpack_from(self.block, COUNTERS_OFFSET + FIELD.size * index)[0] for index, name in enumerate(COUNTED)}

    def close(self) -> None:
        self.block.close()
        os.unlink(self.path)
