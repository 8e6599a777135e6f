"""The bench's figures as a table."""

from __future__ import annotations

import io

from rich.console import Console
from rich.table import Table


def table(rows: list[dict], counted: dict) -> str:
    console = Console(file=io.StringIO(), width=150)
    grid = Table(
        "work", "build", "CPU us", "best", "of it system", "p50 us", "p99", "p99.9", "futex", "all calls", "map calls", "switches", "MB"
    )
    for row in rows:
        calls = row.get("calls", {})
        grid.add_row(
            row["work"],
            row["build"],
            f"{row['cpu_us']:.0f}",
            f"{row['best_cpu_us']:.0f}",
            f"{row['system_us']:.0f}",
            f"{row['p50_us']:.0f}",
            f"{row['p99_us']:.0f}",
            f"{row['p999_us']:.0f}",
            *(
                (
                    f"{calls.get('futex', 0):.2f}",
                    f"{sum(calls.values()):.2f}",
                    f"{sum(calls.get(name, 0) for name in ('mmap', 'munmap', 'mremap', 'brk', 'madvise')):.2f}",
                )
                if calls
                else ("-", "-", "-")
            ),
            f"{row['switches']:.2f}",
            f"{row['rss_mb']:.0f}",
        )
    console.print(grid)
    if counted:
        names = list(dict.fromkeys(name for row in counted.values() for name in row))
        grid = Table("count a txn", *counted)
        for name in names:
            grid.add_row(name, *(f"{row[name]:g}" if name in row else "-" for row in counted.values()))
        console.print(grid)
    return console.file.getvalue()
