"""How long a fleet is without a member that acts: who acts is killed again and again, and comes back without memory.

Several fleets side by side, each of real processes on loopback, without load. A member counts as acting once a majority, itself
included, has said back a tick under its ballot: that is when its lease begins."""

from __future__ import annotations

import json
import os
import random
import signal
import statistics
import subprocess
import sys
import tempfile
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from fieldspur.bench.path import ROOT, BenchFailed, free_port
from fieldspur.bench.sample_settings import node_file
from fieldspur.bench.start import UnchangedDiscovery
from fieldspur.fleet.admin import fetch_line

LOOK = 0.02  # s
LONGEST = 30.0
SETTLES = 0.3, 2.0  # s between a fleet that is whole and the next kill, by chance


class Fleet:
    def __init__(self, folder: Path, members: int, lease: float, seed: int):
        self.folder, self.many, self.lease, self.random = folder, members, lease, random.Random(seed)
        self.host = "127.%d.%d.%d" % (1 + os.getpid() // 250 % 250, 1 + os.getpid() % 250, 10 + seed)
        self.board = UnchangedDiscovery()
        self.ports = [free_port(self.host) for _ in range(members)]
        self.processes: list = [None] * members
        folder.mkdir()
        for n in range(members):
            (folder / f"node-{n}.json").write_text(
                json.dumps(
                    node_file(free_port(), self.board.sock.getsockname()[1], [("c0", 1, "std")], name=f"n{n}", seed=f"{seed * 100 + n:x}")
                )
            )

    def wishes(self, first: bool) -> Path:
        path = self.folder / "operators.json"
        path.write_text(
            json.dumps(
                {
                    "fleet": {
                        "name": "bench",
                        "lease_s": self.lease,
                        "first": first,
                        "members": {f"n{n}": f"{self.host}:{port} east" for n, port in enumerate(self.ports)},
                    }
                }
            )
        )
        return path

    def start(self, n: int) -> None:
        env = {
            **os.environ,
            "LB_CONFIG": str(self.folder / f"node-{n}.json"),
            "LB_OPERATORS": str(self.wishes(False)),
            "PYTHONPATH": str(ROOT),
            "MALLOC_ARENA_MAX": "2",
        }
        self.processes[n] = subprocess.Popen([sys.executable, "-B", "-O", "-m", "fieldspur"], env=env, cwd=ROOT, stderr=subprocess.DEVNULL)

    def lines(self, but: int = -1) -> list[dict]:
        found = [fetch_line((self.host, port), 0.5) for n, port in enumerate(self.ports) if n != but]
        return [line for line in found if line is not None]

    def acting(self, but: int = -1) -> int | None:
        """The member that holds a lease, as a majority says."""
        lines = self.lines(but)
        for line in lines:
            ballot = line["register"]["asked"]
            if (
                ballot == line["register"]["promised"]
                and ballot[1] == line["register"]["member"]
                and sum(other["backs"][0] == ballot and other["backs"][1] > 0 for other in lines) > self.many // 2
            ):
                return ballot[1]
        return None

    def until(self, true, what: str):
        end = time.monotonic() + LONGEST
        while not (found := true()):
            if time.monotonic() > end:
                raise BenchFailed(f"{what} did not come within {LONGEST:g} s")
            time.sleep(LOOK)
        return found

    def found(self) -> None:
        for n in range(self.many):
            self.start(n)
        self.until(lambda: len(self.lines()) == self.many, "all members")

        def begun() -> bool:
            for first in (False, True):
                self.wishes(first)
                self.processes[0].send_signal(signal.SIGHUP)
                time.sleep(0.3)
            return all(line["register"]["life"] for line in self.lines())

        self.until(begun, "a fleet that begins")
        self.wishes(False)

    def kill(self) -> float:
        """Seconds until another acts."""
        who = self.until(lambda: [n] if (n := self.acting()) is not None else None, "a member that acts")[0]
        self.processes[who].kill()
        began = time.monotonic()
        self.processes[who].wait()
        self.until(lambda: self.acting(but=who) not in (None, who), "another that acts")
        took = time.monotonic() - began
        self.start(who)
        self.until(
            lambda: len(lines := self.lines()) == self.many and all(line["register"]["life"] for line in lines), "all members with a life"
        )
        time.sleep(self.random.uniform(*SETTLES))
        return took

    def end(self) -> None:
        for process in self.processes:
            if process is not None:
                process.kill()
                process.wait()
        self.board.sock.close()


def measure(kills: int, fleets: int, members: int, lease: float, seed: int) -> dict:
    """Seconds until a new member acts over so many kills in all."""

    def one(n: int) -> list[float]:
        fleet = Fleet(Path(folder) / f"{n}", members, lease, seed + n)
        try:
            fleet.found()
            return [fleet.kill() for _ in range(kills // fleets + (n < kills % fleets))]
        finally:
            fleet.end()

    with tempfile.TemporaryDirectory() as folder, ThreadPoolExecutor(fleets) as pool:
        took = sorted(second for row in pool.map(one, range(fleets)) for second in row)
    at = lambda share: round(took[min(len(took) - 1, int(share * len(took)))], 2)
    return {
        "kills": len(took),
        "members": members,
        "lease_s": lease,
        "p50_s": at(0.5),
        "p90_s": at(0.9),
        "p99_s": at(0.99),
        "most_s": round(took[-1], 2),
        "mean_s": round(statistics.mean(took), 2),
    }
