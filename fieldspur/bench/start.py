"""Measures what a start costs: CPU and time from `exec` until the router answers that it is ready, and the modules it loads.

The counts (modules imported, source files compiled) do not vary and are compared with `limits.json`. Times are measured
for the builds in turn; each build is started with the flags in its own `deploy/balancer.toml`."""

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

READY_POLL_S = 0.002  # interval between polls for readiness
MAX_START_S = 20.0  # a router that is not ready by then has failed
# Run in a child process: imports the program and prints how many modules that loads and how many source files it compiles.
COUNTED = """
import json, sys
compiled = []
sys.addaudithook(lambda event, about: event == "compile" and str(about[1]).rstrip("'").endswith(".py") and compiled.append(about[1]))
import fieldspur.__main__
print(json.dumps({"modules": len(sys.modules), "compiled": len(compiled), "names": sorted(sys.modules)}))
"""


class UnchangedDiscovery:
    """A discovery service that answers each watch at once with the revision the router has, and keeps the connection open."""

    def __init__(self):
        self.sock = socket.create_server(("127.0.0.1", 0))
        threading.Thread(target=self.run, daemon=True).start()

    def run(self) -> None:
        open_connections = []
        try:
            while True:
                conn, _ = self.sock.accept()
                open_connections.append(conn)
                conn.sendall(b"%d\n" % int(conn.recv(100).split()[1]))
        except (OSError, ValueError, IndexError):
            pass


def ready(port: int) -> bool:
    """Returns whether a router listens on this port and answers that it is ready."""
    try:
        with socket.create_connection(("127.0.0.1", port), timeout=1) as sock:
            sock.sendall(struct.pack(">IBIB", 6, 80, 1, 0))
            return sock.recv(100)[9:10] == b"\x4f"
    except OSError:
        return False


def cpu_ms(pid: int) -> float:
    """Returns the CPU time of a process in ms, including its ended threads, by its CPU clock. Linux derives the clock's id from the pid."""
    return time.clock_gettime_ns((~pid << 3) | 2) / 1e6


def command(build: Path) -> tuple[list[str], bool]:
    """Returns the interpreter's flags in a build's `run` command, and whether its `build` command compiles bytecode."""
    deploy = tomllib.loads((build / "deploy" / "balancer.toml").read_text())
    match = re.search(r"python((?: -\S+)*) -m fieldspur", deploy["run"])
    if match is None:
        raise BenchFailed(f"{build}: `run` starts no fieldspur")
    return match[1].split(), "compileall" in deploy["build"]


def measure_start(folder: Path, flags: list[str]) -> dict:
    """Starts the program in a folder once and returns its time and CPU until it is ready."""
    discovery, listen_port = UnchangedDiscovery(), free_port()
    env = {name: value for name, value in os.environ.items() if not name.startswith(("PYTHON", "LB_"))}
    with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
        json.dump(node_file(listen_port, discovery.sock.getsockname()[1], [("c0", 1, "std")]), file)
        file.flush()
        started_at = time.monotonic()
        router = subprocess.Popen(
            [sys.executable, *flags, "-m", "fieldspur"],
            cwd=folder,
            env=env | {"LB_CONFIG": file.name, "MALLOC_ARENA_MAX": "2"},
            stderr=subprocess.DEVNULL,
        )
        try:
            while not ready(listen_port):
                if router.poll() is not None or time.monotonic() - started_at > MAX_START_S:
                    raise BenchFailed(f"{folder}: a router did not become ready")
                time.sleep(READY_POLL_S)
            return {"ready_ms": (time.monotonic() - started_at) * 1e3, "cpu_ms": cpu_ms(router.pid)}
        finally:
            router.kill()
            router.wait()
            discovery.sock.close()


def copy_program(build: Path, folder: Path, bytecode: bool) -> Path:
    """Copies a build's program into `folder`, with compiled bytecode or without any, and returns the folder."""
    shutil.copytree(build / "fieldspur", folder / "fieldspur", ignore=shutil.ignore_patterns("__pycache__"))
    if bytecode:
        completed_process = subprocess.run(
            [sys.executable, "-O", "-m", "compileall", "-q", "fieldspur"], cwd=folder, text=True, capture_output=True
        )
        if completed_process.returncode:
            raise BenchFailed(f"{build}: {completed_process.stdout.strip()}")
    return folder


def measure_rounds(builds: dict[str, Path], start_count: int) -> list[dict]:
    """Returns the medians of `start_count` starts of each build; the builds are started in turn."""
    starts_by_build: dict[str, list] = {name: [] for name in builds}
    with tempfile.TemporaryDirectory() as folder:
        programs = []
        for name, build in builds.items():
            flags, bytecode = command(build)
            programs.append((name, copy_program(build, Path(folder) / name, bytecode), flags))
        for _ in range(start_count):
            for name, program_folder, flags in programs:
                starts_by_build[name].append(measure_start(program_folder, flags))
    return [
        {"build": name, **{key: statistics.median(row[key] for row in rows) for key in rows[0]}} for name, rows in starts_by_build.items()
    ]


def counts() -> dict:
    """Returns the counts of modules and compiled source files for an import of this build's program, and the modules' names."""
    with tempfile.TemporaryDirectory() as folder:
        flags, bytecode = command(ROOT)
        env = {name: value for name, value in os.environ.items() if not name.startswith("PYTHON")}
        completed_process = subprocess.run(
            [sys.executable, *flags, "-c", COUNTED], cwd=copy_program(ROOT, Path(folder), bytecode), env=env, capture_output=True, text=True
        )
    if completed_process.returncode:
        raise BenchFailed((completed_process.stderr.strip().splitlines() or ["no counts"])[-1])
    return json.loads(completed_process.stdout)


def guard(path: Path = LIMITS) -> list[str]:
    """Returns a line for each count of a start that is above its limit."""
    return exceeded_limits(counts(), json.loads(path.read_text())["start"], "a start")
