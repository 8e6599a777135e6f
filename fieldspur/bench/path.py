"""Measures what a cache hit costs a running router: CPU, system calls, context switches and latency, for one build or two in turn."""

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

# The workloads that the bench knows.
WORKS = {  # name: (rule, body size in bytes, client connections, txns in flight on each connection)
    "pages-1": ("pages", 2048, 1, 1),
    "pages-16": ("pages", 2048, 1, 16),
    "pages-16x1": ("pages", 2048, 16, 1),
    "media-1": ("media", 240_000, 1, 1),
    "media-8": ("media", 240_000, 1, 8),
}
ROOT = Path(__file__).resolve().parents[2]
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


class BenchFailed(Exception):
    """The measurement could not be made; the message says why."""


returned_addresses: set[tuple[str, int]] = set()  # the system may return a free port again before it is in use


def free_port(host: str = "127.0.0.1") -> int:
    """Returns a port on which nobody listens and which this function has not returned before."""
    while True:
        with socket.socket() as sock:
            sock.bind((host, 0))
            address = host, sock.getsockname()[1]
        if address not in returned_addresses:
            returned_addresses.add(address)
            return address[1]


def usage(pid: int) -> dict:
    """Returns CPU seconds, context switches and thread count of a process, and its resident memory in MiB: now (`resident_mb`) and
    at the peak (`rss_mb`)."""
    stat_fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    switches = {"voluntary": 0, "involuntary": 0}
    for task in Path(f"/proc/{pid}/task").iterdir():
        task_status = (task / "status").read_text()
        switches["voluntary"] += int(re.search(r"^voluntary_ctxt_switches:\s+(\d+)", task_status, re.M)[1])
        switches["involuntary"] += int(re.search(r"^nonvoluntary_ctxt_switches:\s+(\d+)", task_status, re.M)[1])
    process_status = Path(f"/proc/{pid}/status").read_text()
    peak, resident = (int(re.search(rf"{name}:\s+(\d+)", process_status)[1]) / 1024 for name in ("VmHWM", "VmRSS"))
    return {
        "cpu": (int(stat_fields[11]) + int(stat_fields[12])) / CLOCK_TICKS_PER_S,
        "system": int(stat_fields[12]) / CLOCK_TICKS_PER_S,
        "threads": int(stat_fields[17]),
        "rss_mb": peak,
        "resident_mb": resident,
        **switches,
    }


def system_calls(pid: int, seconds: float, run) -> tuple[dict, dict]:
    """Counts the router's system calls by name with strace during `run`. Tracing slows the router: the times of this run are not used."""
    with tempfile.NamedTemporaryFile("r") as report_file:
        tracer = subprocess.Popen(["strace", "-f", "-c", "-q", "-o", report_file.name, "-p", str(pid)], stderr=subprocess.DEVNULL)
        time.sleep(0.5)
        run_result = run(seconds)
        tracer.send_signal(signal.SIGINT)
        tracer.wait(20)
        rows = [line.split() for line in report_file.read().splitlines()]
    return {
        columns[-1]: int(columns[3]) for columns in rows if len(columns) >= 5 and columns[3].isdigit() and columns[-1] != "total"
    }, run_result


def start_peer(**plan) -> subprocess.Popen:
    """Starts a process of `fieldspur.bench.peers` (a cache or a load generator) with this plan."""
    return subprocess.Popen(
        [sys.executable, "-m", "fieldspur.bench.peers", json.dumps(plan)],
        cwd=ROOT,
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )


def measure(build: Path, work: str, seconds: float = 4.0, trace: bool = True, core: int | None = None) -> dict:
    """Measures one work on one build; the cache and the clients run in other processes. CPU, system calls and context switches are
    per txn. With `core`, the router is pinned to that core, and this process and its peers run on the others."""
    rule, body_size, connections, txns_in_flight = WORKS[work]
    allowed_cores = os.sched_getaffinity(0)
    if core is not None:
        if core not in allowed_cores or len(allowed_cores) < 2:
            raise BenchFailed(f"core {core}: not one of {sorted(allowed_cores)}, or no other is left")
        os.sched_setaffinity(0, allowed_cores - {core})  # for this process and the peers it starts
    cache = start_peer(what="hits", body=body_size)
    discovery_socket = socket.create_server(("127.0.0.1", 0))
    folder, router = tempfile.mkdtemp(), None
    try:
        listen_port = free_port()
        node_settings = node_file(listen_port, discovery_socket.getsockname()[1], [("c0", int(cache.stdout.readline()), "std")])
        node_path = os.path.join(folder, "node.json")
        Path(node_path).write_text(json.dumps(node_settings))
        environment = {**os.environ, "LB_CONFIG": node_path, "MALLOC_ARENA_MAX": "2", "PYTHONPATH": str(build)}
        router = subprocess.Popen([sys.executable, "-B", "-O", "-m", "fieldspur"], cwd=build, env=environment, stderr=subprocess.DEVNULL)
        if core is not None:
            os.sched_setaffinity(router.pid, {core})

        def run(run_seconds: float) -> dict:
            load_generator = start_peer(
                what="loop",
                address=["127.0.0.1", listen_port],
                connections=connections,
                flight=txns_in_flight,
                seconds=run_seconds,
                rule=rule,
                kb=body_size / 1024,
            )
            output = load_generator.stdout.readline()
            router_usage = {"used": usage(router.pid)}
            load_generator.communicate("")
            if load_generator.returncode or not output:
                raise BenchFailed(f"{work}: the clients got no answers")
            return json.loads(output) | router_usage

        for _ in range(200):
            try:
                socket.create_connection(("127.0.0.1", listen_port)).close()
                break
            except OSError:
                time.sleep(0.05)
        run(0.5 + seconds / 8)  # warm-up: opens connections, grows buffers, and the router gets its first load measurements
        usage_before = usage(router.pid)
        run_result = run(seconds)
        usage_after = run_result["used"]
        if not run_result["txns"] or run_result["bad"]:
            raise BenchFailed(f"{work}: {run_result['bad']} of {run_result['txns']} txns were not completed")
        figures = {
            "work": work,
            "txns": run_result["txns"],
            "cpu_us": (usage_after["cpu"] - usage_before["cpu"]) / run_result["txns"] * 1e6,
            "system_us": (usage_after["system"] - usage_before["system"]) / run_result["txns"] * 1e6,
            "p50_us": run_result["p50_us"],
            "p99_us": run_result["p99_us"],
            "p999_us": run_result["p999_us"],
            "txns_per_s": run_result["txns"] / seconds,
            "rss_mb": usage_after["rss_mb"],
            "threads": usage_after["threads"],
            "switches": (usage_after["voluntary"] - usage_before["voluntary"]) / run_result["txns"],
            "preempted": (usage_after["involuntary"] - usage_before["involuntary"]) / run_result["txns"],
        }
        if trace and shutil.which("strace"):
            calls, run_result = system_calls(router.pid, seconds / 2, run)
            figures["calls"] = {
                name: count / max(1, run_result["txns"]) for name, count in calls.items() if count / max(1, run_result["txns"]) >= 0.005
            }
        return figures
    finally:
        os.sched_setaffinity(0, allowed_cores)
        for process in (router, cache):
            if process is not None:
                process.kill()
                process.wait()
        discovery_socket.close()
        shutil.rmtree(folder)


def measure_rounds(builds: dict, works: tuple, seconds: float, round_count: int, core: int | None) -> list[dict]:
    """Runs each work on each build in turn, so that other load on the machine affects all builds alike.

    Returns the medians and the lowest CPU time for each."""
    rows = []
    for work in works:
        runs_by_build: dict[str, list] = {name: [] for name in builds}
        for round_number in range(round_count):
            for name, build in builds.items():
                runs_by_build[name].append(measure(build, work, seconds, trace=round_number == 0, core=core))
        for name, runs in runs_by_build.items():
            row = {key: statistics.median(run[key] for run in runs) for key, value in runs[0].items() if isinstance(value, (int, float))}
            rows.append(
                {"work": work, "build": name, **row, "best_cpu_us": min(run["cpu_us"] for run in runs), "calls": runs[0].get("calls", {})}
            )
    return rows


def run_counts(rule: str) -> dict:
    """Returns the counts of `fieldspur.bench.count`, run in a separate process because the threads of its router never end."""
    completed_process = subprocess.run([sys.executable, "-m", "fieldspur.bench.count", rule], cwd=ROOT, capture_output=True, text=True)
    if completed_process.returncode:
        raise BenchFailed(f"{rule}: {(completed_process.stderr.strip().splitlines() or ['no counts'])[-1]}")
    return json.loads(completed_process.stdout.split(" ", 1)[1])


def worktree(commit: str) -> Path:
    """Returns a checkout of another commit of this repository. It is made once, in the folder for temporary files, and reused."""
    folder = Path(tempfile.gettempdir()) / f"fieldspur-{commit}"
    if not (folder / "fieldspur").is_dir():
        completed_process = subprocess.run(
            ["git", "worktree", "add", "--detach", "--force", str(folder), commit], cwd=ROOT, capture_output=True, text=True
        )
        if completed_process.returncode:
            raise BenchFailed(f"against {commit}: {completed_process.stderr.strip().splitlines()[-1]}")
    return folder
