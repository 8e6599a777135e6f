"""Measures how long a fleet has no coordinator: kills the coordinator repeatedly and restarts it without its state.

Several fleets run side by side, each of real processes on loopback, without load. A member counts as the coordinator once
a majority, itself included, has echoed a tick under its ballot, because its lease begins then."""

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

POLL_S = 0.02  # interval between polls of the members
MAX_WAIT_S = 30.0  # for any state of the fleet that the bench waits for
KILL_DELAY_S = 0.3, 2.0  # range of the random delay between a complete fleet and the next kill


class FleetProcesses:
    """The processes of one fleet's members, with their files in `folder`."""

    def __init__(self, folder: Path, members: int, lease: float, seed: int):
        self.folder, self.member_count, self.lease_s, self.random = folder, members, lease, random.Random(seed)
        self.host = "127.%d.%d.%d" % (1 + os.getpid() // 250 % 250, 1 + os.getpid() % 250, 10 + seed)
        self.discovery = UnchangedDiscovery()
        self.ports = [free_port(self.host) for _ in range(members)]
        self.processes: list = [None] * members
        folder.mkdir()
        for n in range(members):
            (folder / f"node-{n}.json").write_text(
                json.dumps(
                    node_file(
                        free_port(), self.discovery.sock.getsockname()[1], [("c0", 1, "std")], name=f"n{n}", seed=f"{seed * 100 + n:x}"
                    )
                )
            )

    def write_operators_file(self, first: bool) -> Path:
        """Writes the operators' file, which all members share, and returns its path. `first` allows the fleet to be founded."""
        path = self.folder / "operators.json"
        path.write_text(
            json.dumps(
                {
                    "fleet": {
                        "name": "bench",
                        "lease_s": self.lease_s,
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
            "LB_OPERATORS": str(self.write_operators_file(False)),
            "PYTHONPATH": str(ROOT),
            "MALLOC_ARENA_MAX": "2",
        }
        self.processes[n] = subprocess.Popen([sys.executable, "-B", "-O", "-m", "fieldspur"], env=env, cwd=ROOT, stderr=subprocess.DEVNULL)

    def lines(self, excluded: int = -1) -> list[dict]:
        """Returns the published lines of the members that answer; `excluded` is the number of a member not to ask."""
        answers = [fetch_line((self.host, port), 0.5) for n, port in enumerate(self.ports) if n != excluded]
        return [line for line in answers if line is not None]

    def coordinator(self, excluded: int = -1) -> int | None:
        """Returns the number of the member that holds the lease by the lines of a majority, or None."""
        lines = self.lines(excluded)
        for line in lines:
            ballot = line["register"]["asked"]
            if (
                ballot == line["register"]["promised"]
                and ballot[1] == line["register"]["member"]
                and sum(other["backs"][0] == ballot and other["backs"][1] > 0 for other in lines) > self.member_count // 2
            ):
                return ballot[1]
        return None

    def wait_for(self, condition, description: str):
        """Polls `condition` until it returns a true value, and returns that value."""
        deadline = time.monotonic() + MAX_WAIT_S
        while not (result := condition()):
            if time.monotonic() > deadline:
                raise BenchFailed(f"{description}: not reached within {MAX_WAIT_S:g} s")
            time.sleep(POLL_S)
        return result

    def found(self) -> None:
        """Starts all members and founds the fleet through the operators' file and SIGHUP."""
        for n in range(self.member_count):
            self.start(n)
        self.wait_for(lambda: len(self.lines()) == self.member_count, "all members")

        def try_to_found() -> bool:
            for first in (False, True):
                self.write_operators_file(first)
                self.processes[0].send_signal(signal.SIGHUP)
                time.sleep(0.3)
            return all(line["register"]["life"] for line in self.lines())

        self.wait_for(try_to_found, "a founded fleet")
        self.write_operators_file(False)

    def kill(self) -> float:
        """Kills the coordinator, restarts it once there is another one, and returns the seconds from the kill to the new coordinator."""
        killed = self.wait_for(lambda: [n] if (n := self.coordinator()) is not None else None, "a coordinator")[0]
        self.processes[killed].kill()
        killed_at = time.monotonic()
        self.processes[killed].wait()
        self.wait_for(lambda: self.coordinator(excluded=killed) not in (None, killed), "another coordinator")
        takeover_s = time.monotonic() - killed_at
        self.start(killed)
        self.wait_for(
            lambda: len(lines := self.lines()) == self.member_count and all(line["register"]["life"] for line in lines),
            "all members in the fleet again",
        )
        time.sleep(self.random.uniform(*KILL_DELAY_S))
        return takeover_s

    def stop(self) -> None:
        for process in self.processes:
            if process is not None:
                process.kill()
                process.wait()
        self.discovery.sock.close()


def measure(kills: int, fleets: int, members: int, lease: float, seed: int) -> dict:
    """Returns the distribution of the seconds until there is a new coordinator, over `kills` kills in all fleets together."""

    def run_fleet(n: int) -> list[float]:
        fleet = FleetProcesses(Path(folder) / f"{n}", members, lease, seed + n)
        try:
            fleet.found()
            return [fleet.kill() for _ in range(kills // fleets + (n < kills % fleets))]
        finally:
            fleet.stop()

    with tempfile.TemporaryDirectory() as folder, ThreadPoolExecutor(fleets) as pool:
        takeovers_s = sorted(seconds for row in pool.map(run_fleet, range(fleets)) for seconds in row)
    percentile = lambda share: round(takeovers_s[min(len(takeovers_s) - 1, int(share * len(takeovers_s)))], 2)
    return {
        "kills": len(takeovers_s),
        "members": members,
        "lease_s": lease,
        "p50_s": percentile(0.5),
        "p90_s": percentile(0.9),
        "p99_s": percentile(0.99),
        "most_s": round(takeovers_s[-1], 2),
        "mean_s": round(statistics.mean(takeovers_s), 2),
    }
