"""Reports of runs: text, two runs side by side, HTML with plots, and a live table."""

from __future__ import annotations

import base64
import io
from pathlib import Path

from rich.console import Console
from rich.live import Live as Screen
from rich.table import Table

PAGE = """<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>{{ title }}</title>
<style>
body { font: 15px/1.45 system-ui, sans-serif; max-width: 70em; margin: 2em auto; padding: 0 1em; color: #222 }
table { border-collapse: collapse; margin: 1em 0 } td, th { padding: .25em .8em; border-bottom: 1px solid #ccc; text-align: right }
td:first-child, th:first-child { text-align: left } .bad { color: #a00 } .good { color: #060 } img { max-width: 100% }
</style></head><body>
<h1>{{ title }}</h1>
<p>Played on loopback between emulated servers and clients; all figures are of such a run.</p>
{% for run in runs %}
<h2>{{ run.scenario }}, seed {{ run.seed }}, {{ run.seconds }} s, build {{ run.build }}</h2>
<p class="{{ 'good' if run.passed else 'bad' }}">{{ 'All rules and expectations were kept.' if run.passed else 'Not kept:' }}</p>
{% if run.missed %}<ul class="bad">{% for line in run.missed %}<li>{{ line }}</li>{% endfor %}</ul>{% endif %}
<table><tr><th></th>{% for name, _ in totals(run) %}<th>{{ name }}</th>{% endfor %}</tr>
<tr><td>all</td>{% for _, value in totals(run) %}<td>{{ value }}</td>{% endfor %}</tr></table>
<table><tr><th>class</th><th>txns</th><th>completed</th><th>worth</th><th>p50 ms</th><th>p99 ms</th><th>p99.9 ms</th></tr>
{% for rule, row in run.classes.items() %}<tr><td>{{ rule }}</td><td>{{ row.txns }}</td><td>{{ row.completed or 0 }}</td>
<td>{{ row.worth }}</td><td>{{ row.p50_ms }}</td><td>{{ row.p99_ms }}</td><td>{{ row.p999_ms }}</td></tr>{% endfor %}</table>
{% if run.recovers_s %}<table><tr><th>fault</th><th>at s</th><th>whole again after s</th></tr>
{% for row in run.recovers_s %}<tr><td>{{ row.what }}</td><td>{{ row.at }}</td>
<td>{{ row.took if row.took is not none else 'not in this run' }}</td></tr>{% endfor %}</table>{% endif %}
{% endfor %}
{% for name, image in plots %}<h2>{{ name }}</h2><img alt="{{ name }}" src="data:image/svg+xml;base64,{{ image }}">{% endfor %}
</body></html>
"""
MAIN = ("txns", "completed", "worth", "fills", "fills_a_txn", "most_fills_a_second", "lab_lag_ms")


def totals(run: dict) -> list[tuple]:
    return [(name.replace("_", " "), run[name]) for name in MAIN if name in run]


def rows_of(run: dict):
    """(what, value) of a run, those that two runs are compared by."""
    yield from totals(run)
    for rule, row in run["classes"].items():
        for name in ("worth", "p50_ms", "p99_ms"):
            if name in row:
                yield f"{rule} {name}", row[name]
    if "fleet" in run:
        for name in ("orders", "length_s", "floor_s", "over_floor", "documents", "lines_a_second", "bytes_a_second"):
            yield f"fleet {name.replace('_', ' ')}", run["fleet"][name]
    for n, row in enumerate(run.get("routers", ())):
        if row:
            yield f"router {n} cpu", row["cpu_share"]
            yield f"router {n} MB", row["rss_mb"]


def text(run: dict) -> str:
    """The main figures of one run as a table, and what was missed."""
    table = Table("figure", "value", title=f"{run['scenario']}, seed {run['seed']}, {run['seconds']:g} s")
    for name, value in rows_of(run):
        table.add_row(name, str(value))
    for row in run["recovers_s"]:
        table.add_row(f"{row['what']} at {row['at']:g} s, whole again after s", str(row["took"]))
    return shown(table) + ("".join(f"missed: {line}\n" for line in run["missed"]) or "all rules and expectations kept\n")


def side_by_side(runs: list[dict]) -> str:
    table = Table("figure", *(run["build"] for run in runs), title=f"{runs[0]['scenario']}, seed {runs[0]['seed']}")
    found = [dict(rows_of(run)) for run in runs]
    for name in found[0]:
        table.add_row(name, *(str(row.get(name, "-")) for row in found))
    table.add_row("kept", *("yes" if run["passed"] else "no" for run in runs))
    return shown(table)


def shown(table: Table) -> str:
    console = Console(file=io.StringIO(), width=110)
    console.print(table)
    return console.file.getvalue()


def plots(runs: list[dict]) -> list[tuple[str, str]]:
    """Pictures that lay runs over each other, as SVG in base64."""
    import matplotlib

    matplotlib.use("svg")
    from matplotlib import pyplot

    def picture(title: str, draw) -> tuple[str, str]:
        figure, axes = pyplot.subplots(figsize=(10, 3.2))
        for n, run in enumerate(runs):
            label = f"{run['build']} seed {run['seed']}" if len(runs) > 1 else None
            draw(axes, run, label, f"C{n}")
        for row in runs[0]["recovers_s"]:
            axes.axvline(row["at"], color="#999", lw=0.7, ls=":")
            axes.text(row["at"], axes.get_ylim()[1], row["what"], fontsize=7, rotation=90, va="top", color="#666")
        axes.set_xlabel("s")
        if len(runs) > 1:
            axes.legend(fontsize=8)
        figure.tight_layout()
        out = io.BytesIO()
        figure.savefig(out, format="svg")
        pyplot.close(figure)
        return title, base64.b64encode(out.getvalue()).decode()

    def worth(axes, run, label, color):
        axes.plot([row["second"] for row in run["ticks"]], [row["worth"] for row in run["ticks"]], color=color, label=label)
        axes.set_ylim(0, 1.05)

    def open_txns(axes, run, label, color):
        axes.plot([row["second"] for row in run["curve"]], [row["open"] for row in run["curve"]], color=color, label=label)

    def fills(axes, run, label, color):
        rows = sorted((int(second), count) for second, count in run["fills_by_second"].items())
        axes.step([second for second, _ in rows], [count for _, count in rows], color=color, label=label)

    def crowd(axes, run, label, color):
        axes.plot(
            [row["second"] for row in run["curve"]], [max(row["caches"], default=0) for row in run["curve"]], color=color, label=label
        )

    def memory(axes, run, label, color):
        for row in run.get("routers", ()):
            if row:
                axes.plot(
                    [one["second"] for one in row["samples"]], [one["rss_mb"] for one in row["samples"]], color=color, label=label, lw=0.9
                )

    found = [
        picture("Share of importance answered in time, by when a txn was due", worth),
        picture("Txns open", open_txns),
        picture("Fills at the store, a second", fills),
        picture("Transfers at the busiest cache", crowd),
    ]
    if any("fleet" in run for run in runs):
        found += [
            picture(
                f"Machines at work and who acts: {run['build']}",
                lambda axes, one, label, color, run=run: timeline(axes, run) if one is run else None,
            )
            for run in runs
            if run.get("fleet", {}).get("steps")
        ]
    if any(run.get("routers") for run in runs):
        found.append(picture("Memory of the routers, MB", memory))
    return found


STATES = {"waiting": "#ddd", "held": "#bbb", "next": "#fd8", "going": "#f93", "out": "#d33", "free": "#933", "back": "#6a6"}


def timeline(axes, run: dict) -> None:
    """A bar a machine, by what state its order was in; above, which member acted."""
    steps, rows = run["fleet"]["steps"], {}
    for step in steps:
        rows.setdefault(step["machine"], []).append(step)
    for at, (machine, found) in enumerate(sorted(rows.items())):
        ends = [step["second"] for step in found[1:]] + [run["seconds"]]
        for step, end in zip(found, ends):
            if step["state"] in STATES:
                axes.barh(at, end - step["second"], left=step["second"], color=STATES[step["state"]], height=0.8)
    axes.set_yticks(range(len(rows)), sorted(rows), fontsize=6)
    acting = run["fleet"]["acting"]
    for at, row in enumerate(acting):
        axes.text(max(0.0, row["second"]), len(rows), f"n{row['member']}", fontsize=7, color="#036")
    axes.set_xlim(0, run["seconds"])
    axes.set_ylim(-1, len(rows) + 1)


def write(folder: Path, runs: list[dict]) -> Path:
    """`index.html` with everything in it, and the figures beside it as JSON."""
    import json

    import jinja2

    folder.mkdir(parents=True, exist_ok=True)
    title = "fieldspur: " + " beside ".join(dict.fromkeys(f"{run['scenario']} ({run['build']})" for run in runs))
    page = jinja2.Environment(autoescape=True).from_string(PAGE).render(title=title, runs=runs, plots=plots(runs), totals=totals)
    (folder / "index.html").write_text(page)
    (folder / "figures.json").write_text(json.dumps(runs, indent=1))
    return folder / "index.html"


class Live:
    """A table on the terminal while a scenario plays, drawn anew at each sample."""

    def __init__(self, console: Console | None = None):
        self.screen = Screen(console=console, auto_refresh=False)
        self.begun = False

    def __call__(self, play) -> None:
        if not self.begun:
            self.screen.start()
            self.begun = True
        self.screen.update(self.table(play), refresh=True)
        if play.loop.stopped:
            self.screen.stop()

    def table(self, play) -> Table:
        last = play.curve[-1]
        recent = [row for _, row in sorted(play.load.outcomes.ticks.items())][-8:-2]
        due, earned = sum(row.worth for row in recent), sum(row.earned for row in recent)
        broken = sum(map(len, play.checker.violations.values()))
        grid = Table(
            "who",
            "state",
            "busy",
            "does",
            title=(
                f"{play.plan.name} {last['second']:.1f} of {play.plan.seconds:g} s, {last['open']} txns open, worth lately "
                f"{earned / due if due else 1:.2f}, rules broken {broken}"
            ),
        )
        for node in play.nodes:
            row = node.samples[-1] if node.samples else {}
            grid.add_row(
                f"router {node.number}",
                "up" if node.process.poll() is None else "ended",
                f"{self.share(node):.2f} of a core",
                f"{row.get('rss_mb', 0):.0f} MB, {row.get('files', 0)} descriptors",
            )
        for name, model in play.world.models.items():
            told = play.checker.states.get(name, ("up", 0))[0]
            state = "silent" if model.silent else "down" if not model.up else "cold" if getattr(model, "cold", lambda: False)() else told
            counts = ", ".join(f"{value} {what}" for what, value in model.counts.items() if value)
            grid.add_row(name, state, f"{model.link.active_jobs} transfers", counts)
        return grid

    @staticmethod
    def share(node) -> float:
        rows = node.samples[-4:]
        if len(rows) < 2:
            return 0.0
        return max(0.0, (rows[-1]["cpu"] - rows[0]["cpu"]) / max(1e-9, rows[-1]["second"] - rows[0]["second"]))
