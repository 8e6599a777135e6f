"""What a start costs: CPU and time from `exec` until the router says that it is ready, and what it loads for that.

The counts (modules imported, files of the program compiled) do not vary and are held against `limits.json`; times are
measured side by side, the builds in turn, each started as its own `deploy/balancer.toml` says."""

from __future__ import annotations

import json
import os
import re
import shutil
import socket
import statistics
import struct
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from pathlib import Path

from fieldspur.bench.count import LIMITS, exceeded_limits
from fieldspur.bench.path import ROOT, BenchFailed, free_port
from fieldspur.bench.sample_settings import node_file

LOOK = 0.002  # seconds between questions whether it is ready
LONGEST = 20.0
COUNTED = """
import json, sys
compiled = []
sys.addaudithook(lambda event, about: event == "compile" and str(about[1]).rstrip("'").endswith(".py") and compiled.append(about[1]))
import fieldspur.__main__
print(json.dumps({"modules": len(sys.modules), "compiled": len(compiled), "names": sorted(sys.modules)}))
"""


class Board:
    """Tells each watcher at once that there is nothing new."""

    def __init__(self):
        self.sock = socket.create_server(("127.0.0.1", 0))
        threading.Thread(target=self.run, daemon=True).start()

    def run(self) -> None:
        kept = []
        try:
            while True:
                conn, _ = self.sock.accept()
                kept.append(conn)
                conn.sendall(b"%d\n" % int(conn.recv(100).split()[1]))
        except (OSError, ValueError, IndexError):
            pass


def ready(port: int) -> bool:
    """Whether the router there answers that it is."""
    try:
        with socket.create_connection(("127.0.0.1", port), timeout=1) as sock:
            sock.sendall(struct.pack(">IBIB", 6, 80, 1, 0))
            return sock.recv(100)[9:10] == b"\x4f"
    except OSError:
        return False


def spent(pid: int) -> float:
    """CPU in ms of a process so far, by its own clock (Linux names it so), ended threads included."""
    return time.clock_gettime_ns((~pid << 3) | 2) / 1e6


def command(build: Path) -> tuple[list[str], bool]:
    """The interpreter's flags in a build's `run`, and whether its `build` makes bytecode."""
    deploy = tomllib.loads((build / "deploy" / "balancer.toml").read_text())
    found = re.search(r"python((?: -\S+)*) -m fieldspur", deploy["run"])
    if found is None:
        raise BenchFailed(f"{build}: `run` starts no fieldspur")
    return found[1].split(), "compileall" in deploy["build"]


def once(where: Path, flags: list[str]) -> dict:
    """One start of the program that lies there."""
    board, listen = Board(), free_port()
    env = {k: v for k, v in os.environ.items() if not k.startswith(("PYTHON", "LB_"))}
    with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
        json.dump(node_file(listen, board.sock.getsockname()[1], [("c0", 1, "std")]), file)
        file.flush()
        began = time.monotonic()
        router = subprocess.Popen(
            [sys.executable, *flags, "-m", "fieldspur"],
            cwd=where,
            env=env | {"LB_CONFIG": file.name, "MALLOC_ARENA_MAX": "2"},
            stderr=subprocess.DEVNULL,
        )
        try:
            while not ready(listen):
                if router.poll() is not None or time.monotonic() - began > LONGEST:
                    raise BenchFailed(f"{where}: a router did not come up")
                time.sleep(LOOK)
            return {"ready_ms": (time.monotonic() - began) * 1e3, "cpu_ms": spent(router.pid)}
        finally:
            router.kill()
            router.wait()
            board.sock.close()


def laid(build: Path, where: Path, bytecode: bool) -> Path:
    """A copy of a build's program, with bytecode or without any."""
    shutil.copytree(build / "fieldspur", where / "fieldspur", ignore=shutil.ignore_patterns("__pycache__"))
    if bytecode:
        done = subprocess.run([sys.executable, "-O", "-m", "compileall", "-q", "fieldspur"], cwd=where, text=True, capture_output=True)
        if done.returncode:
            raise BenchFailed(f"{build}: {done.stdout.strip()}")
    return where


def measure_rounds(builds: dict[str, Path], count: int) -> list[dict]:
    """Medians of so many starts of each build, in turn."""
    found: dict[str, list] = {name: [] for name in builds}
    with tempfile.TemporaryDirectory() as folder:
        ways = []
        for name, build in builds.items():
            flags, bytecode = command(build)
            ways.append((name, laid(build, Path(folder) / name, bytecode), flags))
        for _ in range(count):
            for name, where, flags in ways:
                found[name].append(once(where, flags))
    return [{"build": name, **{key: statistics.median(row[key] for row in rows) for key in rows[0]}} for name, rows in found.items()]


def counts() -> dict:
    """What this build loads before it does anything."""
    with tempfile.TemporaryDirectory() as folder:
        flags, bytecode = command(ROOT)
        env = {k: v for k, v in os.environ.items() if not k.startswith("PYTHON")}
        done = subprocess.run(
            [sys.executable, *flags, "-c", COUNTED], cwd=laid(ROOT, Path(folder), bytecode), env=env, capture_output=True, text=True
        )
    if done.returncode:
        raise BenchFailed((done.stderr.strip().splitlines() or ["no counts"])[-1])
    return json.loads(done.stdout)


def guard(path: Path = LIMITS) -> list[str]:
    """What a start loads beyond its limits, a line each."""
    return exceeded_limits(counts(), json.loads(path.read_text())["start"], "a start")
