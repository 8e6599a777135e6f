"""The command line, `fieldspur`. Each command imports what it needs when it is called."""

from __future__ import annotations

import json
import os
import sys
from contextlib import contextmanager
from pathlib import Path

import click

from fieldspur import __version__


class Bad(click.ClickException):
    """A file or argument that can't be used: one line, code 2."""

    exit_code = 2

    def show(self, file=None) -> None:
        click.echo(f"fieldspur: {self.format_message()}", err=True)


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(__version__, message="%(version)s")
def main() -> None:
    """A traffic router for a two-tier cache, its laboratory and its benches."""


@main.command()
@click.option("--config", type=click.Path(dir_okay=False), help="The node's file; LB_CONFIG without it.")
@click.option("--operators", type=click.Path(dir_okay=False), help="The operators' file; LB_OPERATORS without it.")
@click.option("--name", help="The router's name, before what the file says.")
@click.option("--listen", metavar="ADDRESS:PORT", help="Where clients connect, before what the file says.")
def run(config, operators, name, listen) -> None:
    """Run a router until SIGTERM. It goes on as `python -O -m fieldspur`."""
    for variable, value in (("LB_CONFIG", config), ("LB_OPERATORS", operators), ("LB_NAME", name), ("LB_LISTEN", listen)):
        if value:
            os.environ[variable] = value
    os.execv(sys.executable, [sys.executable, "-O", "-m", "fieldspur"])


@main.command()
@click.argument("file", type=click.Path(dir_okay=False))
@click.option(
    "--kind",
    type=click.Choice(["auto", "node", "operators", "scenario"]),
    default="auto",
    help="What the file is; told by its keys without it.",
)
def check(file, kind) -> None:
    """Check a node's file, an operators' file or a scenario. A faulty key is named; code 2."""
    from fieldspur import operators, site
    from fieldspur.lab.runs import scenario

    try:
        data = Path(file).read_bytes()
    except OSError as wrong:
        raise Bad(f"{file}: {wrong.strerror}") from None
    if kind == "auto":
        try:
            keys = json.loads(data or b"{}")
        except ValueError:
            raise Bad(f"{file}: not JSON") from None
        keys = keys if isinstance(keys, dict) else {}
        kind = "node" if "settings" in keys or "board" in keys else "scenario" if "servers" in keys else "operators"
    try:
        if kind == "node":
            site.read_node({"LB_CONFIG": file})
        elif kind == "scenario":
            scenario.parse(data)
        else:
            operators.parse(data)
    except (site.ConfigError, operators.BadFile) as wrong:
        raise Bad(f"{file}: {wrong}") from None
    click.echo(f"{file}: a good {kind} file")


@main.command()
@click.argument("kind", type=click.Choice(["operators", "scenario"]), default="operators")
def schema(kind) -> None:
    """Print the JSON schema of the operators' file or of a scenario."""
    from fieldspur import operators
    from fieldspur.lab.runs import scenario

    click.echo(operators.schema_text() if kind == "operators" else scenario.schema_text(), nl=False)


@main.group()
def bench() -> None:
    """What a txn costs."""


@bench.command("path")
@click.option("--guard", is_flag=True, help="Only counts that do not depend on the machine, against their limits; code 1.")
@click.option("--against", metavar="COMMIT", help="Measure that commit of this repository too, in turn.")
@click.option("--work", "works", multiple=True, help="Only this work; may be given again.")
@click.option("--seconds", type=click.FloatRange(0.5, 60), default=3.0, show_default=True, help="Of each round.")
@click.option("--rounds", type=click.IntRange(1, 20), default=3, show_default=True)
@click.option("--core", type=int, help="Keep the router on this core, as the platform does.")
@click.option("--json", "as_json", is_flag=True, help="Figures as JSON.")
def bench_path(guard, against, works, seconds, rounds, core, as_json) -> None:
    """Counts and costs of the ordinary path, a txn."""
    from fieldspur.bench import count, path, tables

    try:
        if guard:
            found = count.guard()
            for rule, lines in found.items():
                for line in lines:
                    click.echo(f"{rule}: {line}", err=True)
            if as_json:
                click.echo(json.dumps(found))
            os._exit(1 if found else 0)  # the counted router's threads are still there
        for work in works:
            if work not in path.WORKS:
                raise Bad(f"--work: no {work}; there are {', '.join(path.WORKS)}")
        builds = {"this": path.ROOT, **({against: path.worktree(against)} if against else {})}
        rows = path.measure_rounds(builds, works or tuple(path.WORKS), seconds, rounds, core)
        counted = {} if against else {rule: path.run_counts(rule) for rule in count.SIZES}
    except path.BenchFailed as wrong:
        raise click.ClickException(str(wrong)) from None
    click.echo(json.dumps({"works": rows, "counts": counted}) if as_json else tables.table(rows, counted))


@bench.command("start")
@click.option("--guard", is_flag=True, help="Only counts that do not depend on the machine, against their limits; code 1.")
@click.option("--against", metavar="COMMIT", help="Measure that commit of this repository too, in turn.")
@click.option("--rounds", type=click.IntRange(1, 200), default=15, show_default=True)
@click.option("--json", "as_json", is_flag=True, help="Figures as JSON.")
def bench_start(guard, against, rounds, as_json) -> None:
    """CPU and time of a start until the router is ready, and what it loads for that."""
    from fieldspur.bench import path, start

    try:
        if guard:
            for line in (found := start.guard()):
                click.echo(line, err=True)
            raise SystemExit(1 if found else 0)
        builds = {"this": path.ROOT, **({against: path.worktree(against)} if against else {})}
        rows, counts = start.measure_rounds(builds, rounds), start.counts()
    except path.BenchFailed as wrong:
        raise click.ClickException(str(wrong)) from None
    if as_json:
        return click.echo(json.dumps({"starts": rows, "counts": counts}))
    for row in rows:
        click.echo(f"{row['build']:12}{row['cpu_ms']:8.1f} ms of CPU{row['ready_ms']:8.1f} ms until ready")
    click.echo(f"modules {counts['modules']}, files compiled {counts['compiled']}")


@bench.command("takeover")
@click.option("--kills", type=click.IntRange(1, 10_000), default=40, show_default=True)
@click.option("--fleets", type=click.IntRange(1, 32), default=4, show_default=True, help="Side by side.")
@click.option("--members", type=click.IntRange(3, 16), default=5, show_default=True)
@click.option("--lease", type=click.FloatRange(0.3, 60), default=1.5, show_default=True, help="Seconds.")
@click.option("--seed", type=int, default=1, show_default=True)
def bench_takeover(kills, fleets, members, lease, seed) -> None:
    """Seconds until another member of a fleet acts once who acts is killed, and comes back without memory."""
    from fieldspur.bench import path, takeover

    try:
        found = takeover.measure(kills, fleets, members, lease, seed)
    except path.BenchFailed as wrong:
        raise click.ClickException(str(wrong)) from None
    click.echo(json.dumps(found))


@bench.command("size")
@click.option("--routers", type=click.IntRange(3, 400), default=200, show_default=True)
@click.option("--votes", type=click.IntRange(2, 16), default=5, show_default=True)
@click.option("--caches", type=click.IntRange(20, 10_000), default=2000, show_default=True)
@click.option("--zones", type=click.IntRange(2, 100), default=20, show_default=True)
@click.option("--lease", type=click.FloatRange(0.3, 60), default=6.0, show_default=True, help="Seconds.")
@click.option("--orders", type=click.IntRange(1, 64), default=12, show_default=True)
@click.option("--seed", type=int, default=1, show_default=True)
def bench_size(routers, votes, caches, zones, lease, orders, seed) -> None:
    """What a fleet of many routers costs each, in simulated time, and how long it takes to take machines out."""
    from fieldspur.bench import size

    if votes >= routers or orders > zones:
        raise Bad("--votes: fewer than --routers, and --orders: a location each at most")
    click.echo(json.dumps(size.measure(routers, votes, caches, zones, lease, orders, seed), indent=1))


@main.group()
def lab() -> None:
    """The laboratory: emulated servers, load, failures, rules checked on the sockets."""


@lab.command("list")
def lab_list() -> None:
    """Scenarios that come with the program."""
    from fieldspur.lab.runs import scenario

    for name in scenario.names():
        click.echo(f"{name:16}{scenario.load(name).about}")


def scenario_of(name: str, seed=None, seconds=None):
    from fieldspur.lab.runs import scenario
    from fieldspur.operators import BadFile

    try:
        return scenario.load(name, seed=seed, seconds=seconds)
    except BadFile as wrong:
        raise Bad(f"{name}: {wrong}") from None


@lab.command("run")
@click.argument("name")
@click.option("--seed", type=int, help="Another one than the scenario's.")
@click.option("--seconds", type=click.FloatRange(1, 86_400), help="Longer or shorter; faults move along.")
@click.option("--build", type=click.Path(exists=True, file_okay=False), help="Another checkout of fieldspur to run.")
@click.option("--json", "as_json", is_flag=True, help="All figures as JSON; without it, the main ones as a table.")
@click.option("--report", type=click.Path(file_okay=False), help="Write an HTML report with plots into this folder.")
@click.option("--logs", type=click.Path(file_okay=False), help="Keep the routers' logs in this folder.")
@click.option("--top", is_flag=True, help="Show a live table meanwhile.")
@click.option("--simulated", is_flag=True, help="In simulated time, without sockets, at the scenario's own size.")
def lab_run(name, seed, seconds, build, as_json, report, logs, top, simulated) -> None:
    """Play a scenario, a name of `lab list` or a JSON file. Code 1 where a rule or an expectation broke."""
    from fieldspur.lab.checks import report as reporting
    from fieldspur.lab.runs import scenario_run, simulation
    from fieldspur.operators import BadFile

    plan = scenario_of(name, seed, seconds)
    try:
        if plan.far is not None or simulated:
            found = simulation.run_simulation(plan)
        else:
            found = scenario_run.run_scenario(plan, build=build, logs=logs, live=reporting.Live() if top else None)
    except scenario_run.LabFailed as wrong:
        raise click.ClickException(str(wrong)) from None
    except BadFile as wrong:
        raise Bad(f"{name}: {wrong}") from None
    if report:
        reporting.write(Path(report), [found])
    click.echo(json.dumps(found) if as_json else reporting.text(found))
    raise SystemExit(0 if found["passed"] else 1)


@lab.command("soak")
@click.option("--seed", type=int, default=1, show_default=True, help="Which troubles come, to whom and when.")
@click.option("--seconds", type=click.FloatRange(10, 86_400), default=30.0, show_default=True, help="Of load and troubles.")
@click.option("--routers", type=click.IntRange(1, 40), help="Another number than the seed's, 10 to 32.")
@click.option("--only", help="Play only these of the seed's faults, by number from 0: 0,3,4.")
@click.option("--build", type=click.Path(exists=True, file_okay=False), help="Another checkout of fieldspur to run.")
@click.option("--logs", type=click.Path(file_okay=False), help="Keep the routers' logs in this folder.")
@click.option("--json", "as_json", is_flag=True, help="All figures as JSON; without it, the main ones as a table.")
def lab_soak(seed, seconds, routers, only, build, logs, as_json) -> None:
    """Random troubles that overlap, on real processes and sockets, replayable by the seed. Code 1 where an invariant broke."""
    from fieldspur.lab.checks import report as reporting
    from fieldspur.lab.runs import scenario_run
    from fieldspur.lab.soak import play as soaking

    try:
        chosen = tuple(int(word) for word in only.split(",")) if only else ()
    except ValueError:
        raise Bad(f"--only: {only}: numbers separated by commas wanted") from None
    try:
        found = soaking.soak(seed, seconds, routers, chosen, build, logs)
    except scenario_run.LabFailed as wrong:
        raise click.ClickException(str(wrong)) from None
    click.echo(json.dumps(found) if as_json else reporting.text(found))
    raise SystemExit(0 if found["passed"] else 1)


@lab.command("compare")
@click.argument("first", type=click.Path(exists=True))
@click.argument("second", type=click.Path(exists=True))
@click.option("--scenario", "name", default="market", show_default=True, help="What builds play, with the same seed and plan.")
@click.option("--report", type=click.Path(file_okay=False), help="Write an HTML report with plots into this folder.")
@click.option("--json", "as_json", is_flag=True)
def lab_compare(first, second, name, report, as_json) -> None:
    """Set two side by side, each a checkout of fieldspur, which plays the scenario, or a run: figures of `lab run --json`,
    or a report's folder. Code 1 where one of them broke a rule or an expectation."""
    from fieldspur.lab.runs import scenario_run

    plan = scenario_of(name)

    def figures(where: str) -> dict:
        path = Path(where)
        if (path / "fieldspur").is_dir():
            if plan.far is not None:
                raise Bad(f"{name}: plays in simulated time, which knows one build only")
            return scenario_run.run_scenario(plan, build=where)
        try:
            found = json.loads((path / "figures.json" if path.is_dir() else path).read_text())
            found = found[0] if isinstance(found, list) else found
            if not {"scenario", "classes", "missed"} <= set(found):
                raise ValueError
        except (OSError, ValueError, IndexError, TypeError):
            raise Bad(f"{where}: neither a checkout nor a run's figures") from None
        return found

    try:
        found = [figures(first), figures(second)]
    except scenario_run.LabFailed as wrong:
        raise click.ClickException(str(wrong)) from None
    beside(found, report, as_json)


def beside(found: list, report, as_json: bool) -> None:
    """Runs side by side, and code 1 where one of them broke something."""
    from fieldspur.lab.checks import report as reporting

    if report:
        reporting.write(Path(report), found)
    click.echo(json.dumps(found) if as_json else reporting.side_by_side(found))
    raise SystemExit(0 if all(one["passed"] for one in found) else 1)


@lab.command("ways")
@click.argument("name", default="fleet-work")
@click.option("--seed", type=int, help="Another one than the scenario's.")
@click.option("--report", type=click.Path(file_okay=False), help="Write an HTML report with plots into this folder.")
@click.option("--json", "as_json", is_flag=True)
def lab_ways(name, seed, report, as_json) -> None:
    """The same load three times: machines taken out by the routers, by hand through the board, and left alone. Code 1 where a rule
    or an expectation broke."""
    import msgspec

    from fieldspur.lab.runs import scenario_run

    plan = scenario_of(name, seed)
    if plan.fleet is None:
        raise Bad(f"{name}: no scenario of a fleet")
    found = []
    try:
        for way in ("fleet", "hand", "untouched"):
            found.append(scenario_run.run_scenario(msgspec.structs.replace(plan, fleet=msgspec.structs.replace(plan.fleet, way=way))))
            found[-1]["build"] = way
    except scenario_run.LabFailed as wrong:
        raise click.ClickException(str(wrong)) from None
    beside(found, report, as_json)


@main.command()
@click.option("--scenario", "name", default="market", show_default=True, help="What is played.")
@click.option("--seconds", type=click.FloatRange(1, 86_400), help="Longer or shorter.")
def top(name, seconds) -> None:
    """A live table of routers and servers while a scenario plays; ends with it, or with Ctrl-C."""
    from fieldspur.lab.checks import report as reporting
    from fieldspur.lab.runs import scenario_run

    plan = scenario_of(name, None, seconds)
    if plan.far is not None:
        raise Bad(f"{name}: plays in simulated time; there is nothing to watch")
    try:
        found = scenario_run.run_scenario(plan, live=reporting.Live())
    except scenario_run.LabFailed as wrong:
        raise click.ClickException(str(wrong)) from None
    except KeyboardInterrupt:
        raise SystemExit(130) from None
    click.echo(reporting.text(found))
    raise SystemExit(0 if found["passed"] else 1)


def operators_option(command):
    return click.option(
        "--operators",
        "file",
        envvar="LB_OPERATORS",
        required=True,
        type=click.Path(dir_okay=False),
        help="The operators' file of a router; LB_OPERATORS without it.",
    )(command)


def asking(command):
    """What commands that change something have in common."""
    for option in (
        click.option("--pid", type=int, help="The router's process; found by its LB_OPERATORS without it."),
        click.option(
            "--wait", type=click.FloatRange(0, 600), default=10.0, show_default=True, help="Seconds for the fleet to agree; 0: do not wait."
        ),
    ):
        command = option(command)
    return operators_option(command)


@contextmanager
def spoken(file: str):
    """What a desk says that it can't do, as one line and a code."""
    from fieldspur.fleet.admin import Refused
    from fieldspur.operators import BadFile

    try:
        yield
    except BadFile as wrong:
        raise Bad(f"{file}: {wrong}") from None
    except Refused as wrong:
        raise click.ClickException(str(wrong)) from None


def desk_of(file: str):
    from fieldspur.fleet import admin

    with spoken(file):
        return admin, Path(file), admin.read_operators_file(Path(file))[1]


@main.group()
def fleet() -> None:
    """What routers settle among themselves."""


@fleet.command("show")
@operators_option
@click.option("--json", "as_json", is_flag=True)
def fleet_show(file, as_json) -> None:
    """Each member as it publishes itself. Code 1 where none acts."""
    desk, _, wishes = desk_of(file)
    found = desk.read_members(wishes)
    acts, counted = desk.find_coordinator(found, wishes), desk.latest_document(found).routers
    rows = [
        {"member": name, "why": one}
        if isinstance(one, str)
        else {
            "member": name,
            "zone": one.zone,
            "votes": one.votes,
            "acts": name == acts,
            "counts": one.life > 0 if one.votes else name in counted,
            "life": one.life,
            "document": one.document.number if one.votes else None,
            "goes_by": one.report.applied_number if one.report else None,
            "in_doubt": one.report.list_unknown if one.report else None,
        }
        for name, one in found.items()
    ]
    if as_json:
        click.echo(json.dumps(rows))
    else:
        click.echo(f"{'member':16}{'zone':12}{'votes':7}{'acts':6}{'counts':8}{'document':10}{'goes by':9}in doubt")
        for row in rows:
            if "why" in row:
                click.echo(f"{row['member']:16}{row['why']}")
            else:
                yes = {True: "yes", False: "no", None: "-"}
                shown = ["-" if row[key] is None else row[key] for key in ("document", "goes_by")]
                click.echo(
                    f"{row['member']:16}{row['zone']:12}{yes[row['votes']]:7}{yes[row['acts']]:6}{yes[row['counts']]:8}"
                    f"{shown[0]:<10}{shown[1]:<9}{yes[row['in_doubt']]}"
                )
    raise SystemExit(0 if acts else 1)


def leaving(name: str, yes: bool, text: str):
    @fleet.command(name, help=text)
    @click.argument("member")
    @operators_option
    @click.option("--pid", type=int, help="The router's process; found by its LB_OPERATORS without it.")
    def command(member, file, pid) -> None:
        desk, path, _ = desk_of(file)
        with spoken(file):
            desk.set_left(path, member, yes)
            desk.signal_router(path, pid)
        click.echo(f"{member} {'has left' if yes else 'may join'}")

    return command


leaving("leave", True, "A member that does not vote has been stopped for good: nothing waits for it any more.")
leaving("join", False, "The opposite of leave.")


@fleet.group("work")
def fleet_work() -> None:
    """Machines that are taken out for work."""


@fleet_work.command("show")
@operators_option
@click.option("--json", "as_json", is_flag=True)
def work_show(file, as_json) -> None:
    """Orders as the fleet agreed on them, and how the last ones ended."""
    desk, _, wishes = desk_of(file)
    document = desk.latest_document(desk.read_members(wishes))
    if as_json:
        return click.echo(
            json.dumps(
                {
                    "number": document.number,
                    "orders": [one._asdict() for one in document.orders],
                    "ended": [one._asdict() for one in document.ended],
                }
            )
        )
    for one in document.orders:
        click.echo(f"{one.machine:20}{one.state:10}{one.ident:28}{one.by:12}{one.note}".rstrip())
    for ended in document.ended[-10:]:
        click.echo(f"{ended.machine:20}{ended.how:10}{ended.ident:28}{ended.why}".rstrip())
    if not document.orders and not document.ended:
        click.echo("nothing is asked for")


def said(desk, path, wishes, order: str, pid, wait: float, how) -> None:
    """The router is told, and what the fleet makes of it is shown; code 1 where it is refused or not settled in time."""
    with spoken(str(path)):
        desk.signal_router(path, pid)
        if not wait:
            return click.echo(f"asked for as {order}")
        found = desk.wait_until_settled(wishes, order, wait, how)
    if hasattr(found, "how"):
        click.echo(f"{found.machine} {found.how} {found.ident}{': ' + found.why if found.why else ''}")
        raise SystemExit(1 if found.how == "refused" else 0)
    click.echo(f"{found.machine} {found.state} {found.ident}{': ' + found.note if found.note else ''}")


@fleet_work.command("add")
@click.argument("machine")
@click.option("--needs", type=click.FloatRange(0, 604_800, min_open=True), required=True, help="Seconds that the work takes.")
@click.option("--before", type=click.FloatRange(0), default=0.0, help="Unix seconds by which it is to be back.")
@click.option("--with", "beside", multiple=True, help="A machine that must be out together with it; may be given again.")
@asking
def work_add(machine, needs, before, beside, file, pid, wait) -> None:
    """Ask for a machine to be taken out."""
    desk, path, wishes = desk_of(file)
    with spoken(file):
        order = desk.add_request(path, desk.latest_document(desk.read_members(wishes)), machine, needs, before, beside)
    said(desk, path, wishes, order, pid, wait, lambda found: True)


def marking(name: str, key: str, yes: bool, text: str, how):
    """A command that marks an order that is there, by its name or its machine's."""

    @fleet_work.command(name, help=text)
    @click.argument("order")
    @asking
    def command(order, file, pid, wait) -> None:
        desk, path, wishes = desk_of(file)
        document = desk.latest_document(desk.read_members(wishes))
        found = next((one for one in document.orders if order in (one.ident, one.machine)), None)
        if found is None:
            raise click.ClickException(f"{order}: no such order; `fieldspur fleet work show` lists them")
        with spoken(file):
            desk.mark(path, found, key, yes)
        said(desk, path, wishes, found.ident, pid, wait, how)

    return command


marking("drop", "drop", True, "Withdraw an order; what is out comes back.", lambda found: hasattr(found, "how") or found.state == "back")
marking(
    "hold",
    "hold",
    True,
    "An order does not go for now; at the router where it was asked for.",
    lambda found: hasattr(found, "state") and found.state == "held",
)
marking("go", "hold", False, "The opposite of hold.", lambda found: hasattr(found, "how") or found.state != "held")
marking("back", "back", True, "The work is done: take the machine back.", lambda found: hasattr(found, "how") or found.state == "back")


@main.command()
@click.argument("shell", type=click.Choice(["bash", "zsh", "fish"]))
def completion(shell) -> None:
    """Print the line that turns on completion in a shell."""
    lines = {
        "bash": 'eval "$(_FIELDSPUR_COMPLETE=bash_source fieldspur)"',
        "zsh": 'eval "$(_FIELDSPUR_COMPLETE=zsh_source fieldspur)"',
        "fish": "_FIELDSPUR_COMPLETE=fish_source fieldspur | source",
    }
    click.echo(lines[shell])


if __name__ == "__main__":
    main()
