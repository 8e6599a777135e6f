"""What a hit costs a running router: CPU, system calls, context switches and times, beside another build or alone."""

from __future__ import annotations

import json
import os
import re
import shutil
import signal
import socket
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from fieldspur.bench.sample_settings import node_file

WORKS = {  # name: (rule, bytes of a body, connections, txns in flight on each)
    "pages-1": ("pages", 2048, 1, 1),
    "pages-16": ("pages", 2048, 1, 16),
    "pages-16x1": ("pages", 2048, 16, 1),
    "media-1": ("media", 240_000, 1, 1),
    "media-8": ("media", 240_000, 1, 8),
}
ROOT = Path(__file__).resolve().parents[2]
TICK = os.sysconf("SC_CLK_TCK")


class BenchFailed(Exception):
    """The measurement could not be made; the text says why."""


handed_out: set[tuple[str, int]] = set()  # the system may name a port again before it is used


def free_port(host: str = "127.0.0.1") -> int:
    """A port that nobody listens on, and that this process was not given before."""
    while True:
        with socket.socket() as sock:
            sock.bind((host, 0))
            found = host, sock.getsockname()[1]
        if found not in handed_out:
            handed_out.add(found)
            return found[1]


def usage(pid: int) -> dict:
    """CPU seconds, context switches and threads of a process so far; its memory now and at its peak (`rss_mb`), in MiB."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    switches = {"voluntary": 0, "involuntary": 0}
    for task in Path(f"/proc/{pid}/task").iterdir():
        text = (task / "status").read_text()
        switches["voluntary"] += int(re.search(r"^voluntary_ctxt_switches:\s+(\d+)", text, re.M)[1])
        switches["involuntary"] += int(re.search(r"^nonvoluntary_ctxt_switches:\s+(\d+)", text, re.M)[1])
    status = Path(f"/proc/{pid}/status").read_text()
    peak, resident = (int(re.search(rf"{name}:\s+(\d+)", status)[1]) / 1024 for name in ("VmHWM", "VmRSS"))
    return {
        "cpu": (int(fields[11]) + int(fields[12])) / TICK,
        "system": int(fields[12]) / TICK,
        "threads": int(fields[17]),
        "rss_mb": peak,
        "resident_mb": resident,
        **switches,
    }


def system_calls(pid: int, seconds: float, run) -> tuple[dict, dict]:
    """Counts by name while `run` lasts, by strace; it slows the router, so no time of this run counts."""
    with tempfile.NamedTemporaryFile("r") as out:
        tracer = subprocess.Popen(["strace", "-f", "-c", "-q", "-o", out.name, "-p", str(pid)], stderr=subprocess.DEVNULL)
        time.sleep(0.5)
        done = run(seconds)
        tracer.send_signal(signal.SIGINT)
        tracer.wait(20)
        rows = [line.split() for line in out.read().splitlines()]
    return {row[-1]: int(row[3]) for row in rows if len(row) >= 5 and row[3].isdigit() and row[-1] != "total"}, done


def peer(**plan) -> subprocess.Popen:
    return subprocess.Popen(
        [sys.executable, "-m", "fieldspur.bench.peers", json.dumps(plan)],
        cwd=ROOT,
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )


def measure(build: Path, work: str, seconds: float = 4.0, trace: bool = True, core: int | None = None) -> dict:
    """One work against one build, with servers and clients in other processes. Figures are a txn's. With `core` the
    router is kept on that one, and all else off it."""
    rule, size, connections, flight = WORKS[work]
    cores = os.sched_getaffinity(0)
    if core is not None:
        if core not in cores or len(cores) < 2:
            raise BenchFailed(f"core {core}: not one of {sorted(cores)}, or no other is left")
        os.sched_setaffinity(0, cores - {core})  # of this process and the peers that it starts
    cache = peer(what="hits", body=size)
    board = socket.create_server(("127.0.0.1", 0))
    where, router = tempfile.mkdtemp(), None
    try:
        listen = free_port()
        conf = node_file(listen, board.getsockname()[1], [("c0", int(cache.stdout.readline()), "std")])
        path = os.path.join(where, "node.json")
        Path(path).write_text(json.dumps(conf))
        env = {**os.environ, "LB_CONFIG": path, "MALLOC_ARENA_MAX": "2", "PYTHONPATH": str(build)}
        router = subprocess.Popen([sys.executable, "-B", "-O", "-m", "fieldspur"], cwd=build, env=env, stderr=subprocess.DEVNULL)
        if core is not None:
            os.sched_setaffinity(router.pid, {core})

        def run(span: float) -> dict:
            asker = peer(
                what="loop", address=["127.0.0.1", listen], connections=connections, flight=flight, seconds=span, rule=rule, kb=size / 1024
            )
            said = asker.stdout.readline()
            found = {"used": usage(router.pid)}
            asker.communicate("")
            if asker.returncode or not said:
                raise BenchFailed(f"{work}: the clients got no answers")
            return json.loads(said) | found

        for _ in range(200):
            try:
                socket.create_connection(("127.0.0.1", listen)).close()
                break
            except OSError:
                time.sleep(0.05)
        run(0.5 + seconds / 8)  # connections, buffers and the first learning
        before = usage(router.pid)
        done = run(seconds)
        after = done["used"]
        if not done["txns"] or done["bad"]:
            raise BenchFailed(f"{work}: {done['bad']} of {done['txns']} txns were not completed")
        found = {
            "work": work,
            "txns": done["txns"],
            "cpu_us": (after["cpu"] - before["cpu"]) / done["txns"] * 1e6,
            "system_us": (after["system"] - before["system"]) / done["txns"] * 1e6,
            "p50_us": done["p50_us"],
            "p99_us": done["p99_us"],
            "p999_us": done["p999_us"],
            "txns_per_s": done["txns"] / seconds,
            "rss_mb": after["rss_mb"],
            "threads": after["threads"],
            "switches": (after["voluntary"] - before["voluntary"]) / done["txns"],
            "preempted": (after["involuntary"] - before["involuntary"]) / done["txns"],
        }
        if trace and shutil.which("strace"):
            calls, done = system_calls(router.pid, seconds / 2, run)
            found["calls"] = {name: count / max(1, done["txns"]) for name, count in calls.items() if count / max(1, done["txns"]) >= 0.005}
        return found
    finally:
        os.sched_setaffinity(0, cores)
        for process in (router, cache):
            if process is not None:
                process.kill()
                process.wait()
        board.close()
        shutil.rmtree(where)


def rounds(builds: dict, works: tuple, seconds: float, count: int, core: int | None) -> list[dict]:
    """Each work with each build in turn, so that what the machine does meanwhile meets all; medians, and the best CPU."""
    rows = []
    for work in works:
        found: dict[str, list] = {name: [] for name in builds}
        for n in range(count):
            for name, build in builds.items():
                found[name].append(measure(build, work, seconds, trace=n == 0, core=core))
        for name, runs in found.items():
            row = {key: statistics.median(run[key] for run in runs) for key, value in runs[0].items() if isinstance(value, (int, float))}
            rows.append(
                {"work": work, "build": name, **row, "best_cpu_us": min(run["cpu_us"] for run in runs), "calls": runs[0].get("calls", {})}
            )
    return rows


def counted(rule: str) -> dict:
    """The counts of `fieldspur.bench.count`, from a process of its own, for its router's threads stay."""
    done = subprocess.run([sys.executable, "-m", "fieldspur.bench.count", rule], cwd=ROOT, capture_output=True, text=True)
    if done.returncode:
        raise BenchFailed(f"{rule}: {(done.stderr.strip().splitlines() or ['no counts'])[-1]}")
    return json.loads(done.stdout.split(" ", 1)[1])


def worktree(commit: str) -> Path:
    """A checkout of another commit of this repository, made once and kept out of it."""
    where = Path(tempfile.gettempdir()) / f"fieldspur-{commit}"
    if not (where / "fieldspur").is_dir():
        done = subprocess.run(
            ["git", "worktree", "add", "--detach", "--force", str(where), commit], cwd=ROOT, capture_output=True, text=True
        )
        if done.returncode:
            raise BenchFailed(f"against {commit}: {done.stderr.strip().splitlines()[-1]}")
    return where
