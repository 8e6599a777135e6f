"""The command line, `fieldspur`. Each command imports what it needs when it is called."""

from __future__ import annotations

import json
import os
import sys
from contextlib import contextmanager
from pathlib import Path

import click

from fieldspur import __version__


class UsageError(click.ClickException):
    """A file or argument that can't be used; printed as one line, with exit code 2."""

    exit_code = 2

    def show(self, file=None) -> None:
        click.echo(f"fieldspur: {self.format_message()}", err=True)


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(__version__, message="%(version)s")
def main() -> None:
    """A traffic router for a two-tier cache, its test laboratory and its benchmarks."""


@main.command()
@click.option("--config", type=click.Path(dir_okay=False), help="The node's file; by default the one that LB_CONFIG names.")
@click.option("--operators", type=click.Path(dir_okay=False), help="The operators' file; by default the one that LB_OPERATORS names.")
@click.option("--name", help="The router's name; takes precedence over the file.")
@click.option("--listen", metavar="ADDRESS:PORT", help="Address where clients connect; takes precedence over the file.")
def run(config, operators, name, listen) -> None:
    """Run a router until SIGTERM. The process is replaced by `python -O -m fieldspur`."""
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
    help="Kind of the file; by default detected by its keys.",
)
def check(file, kind) -> None:
    """Check a node's file, an operators' file or a scenario. Names a faulty key and exits with code 2."""
    from fieldspur import operators, site
    from fieldspur.lab.runs import scenario

    try:
        data = Path(file).read_bytes()
    except OSError as error:
        raise UsageError(f"{file}: {error.strerror}") from None
    if kind == "auto":
        try:
            keys = json.loads(data or b"{}")
        except ValueError:
            raise UsageError(f"{file}: not JSON") from None
        keys = keys if isinstance(keys, dict) else {}
        kind = "node" if "settings" in keys or "board" in keys else "scenario" if "servers" in keys else "operators"
    try:
        if kind == "node":
            site.read_node({"LB_CONFIG": file})
        elif kind == "scenario":
            scenario.parse(data)
        else:
            operators.parse(data)
    except (site.ConfigError, operators.BadFile) as error:
        raise UsageError(f"{file}: {error}") from None
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
    """Measure what a txn costs."""


@bench.command("path")
@click.option(
    "--guard", is_flag=True, help="Only check counts that do not depend on the machine against their limits; exit code 1 if one is over."
)
@click.option("--against", metavar="COMMIT", help="Also measure that commit of this repository, in alternating rounds.")
@click.option("--work", "works", multiple=True, help="Only this workload; may be repeated.")
@click.option("--seconds", type=click.FloatRange(0.5, 60), default=3.0, show_default=True, help="Length of each round.")
@click.option("--rounds", type=click.IntRange(1, 20), default=3, show_default=True)
@click.option("--core", type=int, help="Pin the router to this core, as the platform does.")
@click.option("--json", "as_json", is_flag=True, help="Figures as JSON.")
def bench_path(guard, against, works, seconds, rounds, core, as_json) -> None:
    """Counts and costs of one txn on the ordinary path."""
    from fieldspur.bench import count, path, tables

    try:
        if guard:
            violations = count.guard()
            for rule, lines in violations.items():
                for line in lines:
                    click.echo(f"{rule}: {line}", err=True)
            if as_json:
                click.echo(json.dumps(violations))
            os._exit(1 if violations else 0)  # without waiting for the threads of the counted router, which still run
        for workload in works:
            if workload not in path.WORKS:
                raise UsageError(f"--work: no {workload}; there are {', '.join(path.WORKS)}")
        builds = {"this": path.ROOT, **({against: path.worktree(against)} if against else {})}
        rows = path.measure_rounds(builds, works or tuple(path.WORKS), seconds, rounds, core)
        counted = {} if against else {rule: path.run_counts(rule) for rule in count.SIZES}
    except path.BenchFailed as error:
        raise click.ClickException(str(error)) from None
    click.echo(json.dumps({"works": rows, "counts": counted}) if as_json else tables.table(rows, counted))


@bench.command("start")
@click.option(
    "--guard", is_flag=True, help="Only check counts that do not depend on the machine against their limits; exit code 1 if one is over."
)
@click.option("--against", metavar="COMMIT", help="Also measure that commit of this repository, in alternating rounds.")
@click.option("--rounds", type=click.IntRange(1, 200), default=15, show_default=True)
@click.option("--json", "as_json", is_flag=True, help="Figures as JSON.")
def bench_start(guard, against, rounds, as_json) -> None:
    """CPU and time of a start until the router is ready, and the number of modules it loads."""
    from fieldspur.bench import path, start

    try:
        if guard:
            for line in (violations := start.guard()):
                click.echo(line, err=True)
            raise SystemExit(1 if violations else 0)
        builds = {"this": path.ROOT, **({against: path.worktree(against)} if against else {})}
        rows, counts = start.measure_rounds(builds, rounds), start.counts()
    except path.BenchFailed as error:
        raise click.ClickException(str(error)) from None
    if as_json:
        return click.echo(json.dumps({"starts": rows, "counts": counts}))
    for row in rows:
        click.echo(f"{row['build']:12}{row['cpu_ms']:8.1f} ms of CPU{row['ready_ms']:8.1f} ms until ready")
    click.echo(f"modules {counts['modules']}, files compiled {counts['compiled']}")


@bench.command("takeover")
@click.option("--kills", type=click.IntRange(1, 10_000), default=40, show_default=True)
@click.option("--fleets", type=click.IntRange(1, 32), default=4, show_default=True, help="Fleets that run side by side.")
@click.option("--members", type=click.IntRange(3, 16), default=5, show_default=True)
@click.option("--lease", type=click.FloatRange(0.3, 60), default=1.5, show_default=True, help="Length of the lease in seconds.")
@click.option("--seed", type=int, default=1, show_default=True)
def bench_takeover(kills, fleets, members, lease, seed) -> None:
    """Seconds until another member takes over after the coordinator of a fleet is killed and restarts without its state."""
    from fieldspur.bench import path, takeover

    try:
        figures = takeover.measure(kills, fleets, members, lease, seed)
    except path.BenchFailed as error:
        raise click.ClickException(str(error)) from None
    click.echo(json.dumps(figures))


@bench.command("size")
@click.option("--routers", type=click.IntRange(3, 400), default=200, show_default=True)
@click.option("--votes", type=click.IntRange(2, 16), default=5, show_default=True)
@click.option("--caches", type=click.IntRange(20, 10_000), default=2000, show_default=True)
@click.option("--zones", type=click.IntRange(2, 100), default=20, show_default=True)
@click.option("--lease", type=click.FloatRange(0.3, 60), default=6.0, show_default=True, help="Length of the lease in seconds.")
@click.option("--orders", type=click.IntRange(1, 64), default=12, show_default=True)
@click.option("--seed", type=int, default=1, show_default=True)
def bench_size(routers, votes, caches, zones, lease, orders, seed) -> None:
    """What a large fleet costs each router, in simulated time, and how long it takes to take machines out."""
    from fieldspur.bench import size

    if votes >= routers or orders > zones:
        raise UsageError("--votes: fewer than --routers, and --orders: a location each at most")
    click.echo(json.dumps(size.measure(routers, votes, caches, zones, lease, orders, seed), indent=1))


@main.group()
def lab() -> None:
    """The test laboratory: emulated servers, load and failures; the rules are checked on the sockets."""


@lab.command("list")
def lab_list() -> None:
    """List the scenarios that come with the program."""
    from fieldspur.lab.runs import scenario

    for name in scenario.names():
        click.echo(f"{name:16}{scenario.load(name).about}")


def load_scenario(name: str, seed=None, seconds=None):
    """The scenario of that name or file; raises UsageError if it can't be used."""
    from fieldspur.lab.runs import scenario
    from fieldspur.operators import BadFile

    try:
        return scenario.load(name, seed=seed, seconds=seconds)
    except BadFile as error:
        raise UsageError(f"{name}: {error}") from None


@lab.command("run")
@click.argument("name")
@click.option("--seed", type=int, help="Replaces the seed of the scenario.")
@click.option("--seconds", type=click.FloatRange(1, 86_400), help="Replaces the length of the scenario; the times of faults are scaled.")
@click.option("--build", type=click.Path(exists=True, file_okay=False), help="Another checkout of fieldspur to run.")
@click.option("--json", "as_json", is_flag=True, help="All figures as JSON; without it, the main ones as a table.")
@click.option("--report", type=click.Path(file_okay=False), help="Write an HTML report with plots into this folder.")
@click.option("--logs", type=click.Path(file_okay=False), help="Keep the routers' logs in this folder.")
@click.option("--top", is_flag=True, help="Show a live table during the run.")
@click.option("--simulated", is_flag=True, help="Run in simulated time, without sockets, at the scenario's own size.")
def lab_run(name, seed, seconds, build, as_json, report, logs, top, simulated) -> None:
    """Run a scenario: a name from `lab list` or a JSON file. Exits with code 1 if a rule or an expectation was broken."""
    from fieldspur.lab.checks import report as reporting
    from fieldspur.lab.runs import scenario_run, simulation
    from fieldspur.operators import BadFile

    plan = load_scenario(name, seed, seconds)
    try:
        if plan.far is not None or simulated:
            figures = simulation.run_simulation(plan)
        else:
            figures = scenario_run.run_scenario(plan, build=build, logs=logs, live=reporting.Live() if top else None)
    except scenario_run.LabFailed as error:
        raise click.ClickException(str(error)) from None
    except BadFile as error:
        raise UsageError(f"{name}: {error}") from None
    if report:
        reporting.write(Path(report), [figures])
    click.echo(json.dumps(figures) if as_json else reporting.text(figures))
    raise SystemExit(0 if figures["passed"] else 1)


@lab.command("soak")
@click.option("--seed", type=int, default=1, show_default=True, help="Determines the faults, their targets and their times.")
@click.option("--seconds", type=click.FloatRange(10, 86_400), default=30.0, show_default=True, help="Length of the load and the faults.")
@click.option("--routers", type=click.IntRange(1, 40), help="Replaces the number of routers that the seed determines, 10 to 32.")
@click.option("--only", help="Inject only these of the seed's faults, by number from 0: 0,3,4.")
@click.option("--build", type=click.Path(exists=True, file_okay=False), help="Another checkout of fieldspur to run.")
@click.option("--logs", type=click.Path(file_okay=False), help="Keep the routers' logs in this folder.")
@click.option("--json", "as_json", is_flag=True, help="All figures as JSON; without it, the main ones as a table.")
def lab_soak(seed, seconds, routers, only, build, logs, as_json) -> None:
    """Random overlapping faults on real processes and sockets, repeatable by the seed. Exits with code 1 if an invariant was broken."""
    from fieldspur.lab.checks import report as reporting
    from fieldspur.lab.runs import scenario_run
    from fieldspur.lab.soak import play as soaking

    try:
        fault_numbers = tuple(int(number) for number in only.split(",")) if only else ()
    except ValueError:
        raise UsageError(f"--only: {only}: numbers separated by commas wanted") from None
    try:
        figures = soaking.soak(seed, seconds, routers, fault_numbers, build, logs)
    except scenario_run.LabFailed as error:
        raise click.ClickException(str(error)) from None
    click.echo(json.dumps(figures) if as_json else reporting.text(figures))
    raise SystemExit(0 if figures["passed"] else 1)


@lab.command("compare")
@click.argument("first", type=click.Path(exists=True))
@click.argument("second", type=click.Path(exists=True))
@click.option("--scenario", "name", default="market", show_default=True, help="The scenario that builds run, with the same seed and plan.")
@click.option("--report", type=click.Path(file_okay=False), help="Write an HTML report with plots into this folder.")
@click.option("--json", "as_json", is_flag=True)
def lab_compare(first, second, name, report, as_json) -> None:
    """Compare two runs. Each is a checkout of fieldspur, which runs the scenario, or a finished run: the output of `lab run --json`
    or the folder of a report. Exits with code 1 if one of them broke a rule or an expectation."""
    from fieldspur.lab.runs import scenario_run

    plan = load_scenario(name)

    def run_or_read(source: str) -> dict:
        """The figures of a checkout, which runs the scenario, or of a finished run."""
        path = Path(source)
        if (path / "fieldspur").is_dir():
            if plan.far is not None:
                raise UsageError(f"{name}: runs in simulated time, which supports one build only")
            return scenario_run.run_scenario(plan, build=source)
        try:
            figures = json.loads((path / "figures.json" if path.is_dir() else path).read_text())
            figures = figures[0] if isinstance(figures, list) else figures
            if not {"scenario", "classes", "missed"} <= set(figures):
                raise ValueError
        except (OSError, ValueError, IndexError, TypeError):
            raise UsageError(f"{source}: neither a checkout nor a run's figures") from None
        return figures

    try:
        figures = [run_or_read(first), run_or_read(second)]
    except scenario_run.LabFailed as error:
        raise click.ClickException(str(error)) from None
    show_side_by_side(figures, report, as_json)


def show_side_by_side(runs: list, report, as_json: bool) -> None:
    """Prints the figures of several runs side by side, and exits with code 1 if one of them broke a rule or an expectation."""
    from fieldspur.lab.checks import report as reporting

    if report:
        reporting.write(Path(report), runs)
    click.echo(json.dumps(runs) if as_json else reporting.side_by_side(runs))
    raise SystemExit(0 if all(run["passed"] for run in runs) else 1)


@lab.command("ways")
@click.argument("name", default="fleet-work")
@click.option("--seed", type=int, help="Replaces the seed of the scenario.")
@click.option("--report", type=click.Path(file_okay=False), help="Write an HTML report with plots into this folder.")
@click.option("--json", "as_json", is_flag=True)
def lab_ways(name, seed, report, as_json) -> None:
    """Run the same load three times: machines taken out by the routers, by hand through the discovery service, and not at all. Exits
    with code 1 if a rule or an expectation was broken."""
    import msgspec

    from fieldspur.lab.runs import scenario_run

    plan = load_scenario(name, seed)
    if plan.fleet is None:
        raise UsageError(f"{name}: no scenario of a fleet")
    runs = []
    try:
        for way in ("fleet", "hand", "untouched"):
            runs.append(scenario_run.run_scenario(msgspec.structs.replace(plan, fleet=msgspec.structs.replace(plan.fleet, way=way))))
            runs[-1]["build"] = way
    except scenario_run.LabFailed as error:
        raise click.ClickException(str(error)) from None
    show_side_by_side(runs, report, as_json)


@main.command()
@click.option("--scenario", "name", default="market", show_default=True, help="The scenario to run.")
@click.option("--seconds", type=click.FloatRange(1, 86_400), help="Replaces the length of the scenario.")
def top(name, seconds) -> None:
    """Show a live table of routers and servers during a scenario; ends with the scenario, or with Ctrl-C."""
    from fieldspur.lab.checks import report as reporting
    from fieldspur.lab.runs import scenario_run

    plan = load_scenario(name, None, seconds)
    if plan.far is not None:
        raise UsageError(f"{name}: runs in simulated time; there is nothing to watch")
    try:
        figures = scenario_run.run_scenario(plan, live=reporting.Live())
    except scenario_run.LabFailed as error:
        raise click.ClickException(str(error)) from None
    except KeyboardInterrupt:
        raise SystemExit(130) from None
    click.echo(reporting.text(figures))
    raise SystemExit(0 if figures["passed"] else 1)


def operators_option(command):
    """Adds the option --operators to a command, as the parameter `file`."""
    return click.option(
        "--operators",
        "file",
        envvar="LB_OPERATORS",
        required=True,
        type=click.Path(dir_okay=False),
        help="The operators' file of a router; by default the one that LB_OPERATORS names.",
    )(command)


def change_options(command):
    """Adds the options of commands that change work orders."""
    for option in (
        click.option("--pid", type=int, help="The router's process; by default the one whose LB_OPERATORS names the file."),
        click.option(
            "--wait",
            type=click.FloatRange(0, 600),
            default=10.0,
            show_default=True,
            help="Seconds to wait until the fleet has agreed; 0: do not wait.",
        ),
    ):
        command = option(command)
    return operators_option(command)


@contextmanager
def admin_errors(file: str):
    """Turns errors of the module `admin` into one line on standard error and an exit code."""
    from fieldspur.fleet.admin import Refused
    from fieldspur.operators import BadFile

    try:
        yield
    except BadFile as error:
        raise UsageError(f"{file}: {error}") from None
    except Refused as error:
        raise click.ClickException(str(error)) from None


def read_file(file: str):
    """The module `admin`, the path of the operators' file, and its settings."""
    from fieldspur.fleet import admin

    with admin_errors(file):
        return admin, Path(file), admin.read_operators_file(Path(file))[1]


@main.group()
def fleet() -> None:
    """Show and change what the routers of a fleet have agreed on."""


@fleet.command("show")
@operators_option
@click.option("--json", "as_json", is_flag=True)
def fleet_show(file, as_json) -> None:
    """Show the state that each member publishes. Exits with code 1 if no member is the coordinator."""
    admin, _, settings = read_file(file)
    members = admin.read_members(settings)
    coordinator, counted_routers = admin.find_coordinator(members, settings), admin.latest_document(members).routers
    rows = [
        {"member": name, "why": status}
        if isinstance(status, str)
        else {
            "member": name,
            "zone": status.zone,
            "votes": status.votes,
            "acts": name == coordinator,
            "counts": status.life > 0 if status.votes else name in counted_routers,
            "life": status.life,
            "document": status.document.number if status.votes else None,
            "goes_by": status.report.applied_number if status.report else None,
            "in_doubt": status.report.list_unknown if status.report else None,
        }
        for name, status in members.items()
    ]
    if as_json:
        click.echo(json.dumps(rows))
    else:
        click.echo(f"{'member':16}{'zone':12}{'votes':7}{'acts':6}{'counts':8}{'document':10}{'goes by':9}in doubt")
        for row in rows:
            if "why" in row:
                click.echo(f"{row['member']:16}{row['why']}")
            else:
                yes_or_no = {True: "yes", False: "no", None: "-"}
                numbers = ["-" if row[key] is None else row[key] for key in ("document", "goes_by")]
                click.echo(
                    f"{row['member']:16}{row['zone']:12}{yes_or_no[row['votes']]:7}{yes_or_no[row['acts']]:6}{yes_or_no[row['counts']]:8}"
                    f"{numbers[0]:<10}{numbers[1]:<9}{yes_or_no[row['in_doubt']]}"
                )
    raise SystemExit(0 if coordinator else 1)


def add_leave_command(name: str, has_left: bool, help_text: str):
    """Adds a command to `fleet` that sets whether a member has left the fleet."""

    @fleet.command(name, help=help_text)
    @click.argument("member")
    @operators_option
    @click.option("--pid", type=int, help="The router's process; by default the one whose LB_OPERATORS names the file.")
    def command(member, file, pid) -> None:
        admin, path, _ = read_file(file)
        with admin_errors(file):
            admin.set_left(path, member, has_left)
            admin.signal_router(path, pid)
        click.echo(f"{member} {'has left' if has_left else 'may join'}")

    return command


add_leave_command("leave", True, "Record that a member without a vote has been stopped for good: nothing waits for it any more.")
add_leave_command("join", False, "Undo `leave`: the member may join again.")


@fleet.group("work")
def fleet_work() -> None:
    """Work orders: machines that are taken out for maintenance."""


@fleet_work.command("show")
@operators_option
@click.option("--json", "as_json", is_flag=True)
def work_show(file, as_json) -> None:
    """Show the work orders that the fleet has agreed on, and how the last ones ended."""
    admin, _, settings = read_file(file)
    document = admin.latest_document(admin.read_members(settings))
    if as_json:
        return click.echo(
            json.dumps(
                {
                    "number": document.number,
                    "orders": [order._asdict() for order in document.orders],
                    "ended": [order._asdict() for order in document.ended],
                }
            )
        )
    for order in document.orders:
        click.echo(f"{order.machine:20}{order.state:10}{order.ident:28}{order.by:12}{order.note}".rstrip())
    for ended in document.ended[-10:]:
        click.echo(f"{ended.machine:20}{ended.how:10}{ended.ident:28}{ended.why}".rstrip())
    if not document.orders and not document.ended:
        click.echo("nothing is asked for")


def signal_and_wait(admin, path, settings, order: str, pid, wait: float, is_settled) -> None:
    """Signals the router to read its file and shows what the fleet decides. Exits with code 1 if the order is refused or not settled
    in time."""
    with admin_errors(str(path)):
        admin.signal_router(path, pid)
        if not wait:
            return click.echo(f"asked for as {order}")
        outcome = admin.wait_until_settled(settings, order, wait, is_settled)
    if hasattr(outcome, "how"):
        click.echo(f"{outcome.machine} {outcome.how} {outcome.ident}{': ' + outcome.why if outcome.why else ''}")
        raise SystemExit(1 if outcome.how == "refused" else 0)
    click.echo(f"{outcome.machine} {outcome.state} {outcome.ident}{': ' + outcome.note if outcome.note else ''}")


@fleet_work.command("add")
@click.argument("machine")
@click.option("--needs", type=click.FloatRange(0, 604_800, min_open=True), required=True, help="Seconds that the work takes.")
@click.option("--before", type=click.FloatRange(0), default=0.0, help="Unix time in seconds by which the machine has to be back.")
@click.option("--with", "beside", multiple=True, help="A machine that has to be out together with this one; may be repeated.")
@change_options
def work_add(machine, needs, before, beside, file, pid, wait) -> None:
    """Request that a machine is taken out for maintenance."""
    admin, path, settings = read_file(file)
    with admin_errors(file):
        order = admin.add_request(path, admin.latest_document(admin.read_members(settings)), machine, needs, before, beside)
    signal_and_wait(admin, path, settings, order, pid, wait, lambda outcome: True)


def add_mark_command(name: str, key: str, value: bool, help_text: str, is_settled):
    """Adds a command to `fleet work` that sets a key of an existing order, which is named by its identifier or its machine."""

    @fleet_work.command(name, help=help_text)
    @click.argument("order")
    @change_options
    def command(order, file, pid, wait) -> None:
        admin, path, settings = read_file(file)
        document = admin.latest_document(admin.read_members(settings))
        work_order = next((listed for listed in document.orders if order in (listed.ident, listed.machine)), None)
        if work_order is None:
            raise click.ClickException(f"{order}: no such order; `fieldspur fleet work show` lists them")
        with admin_errors(file):
            admin.mark(path, work_order, key, value)
        signal_and_wait(admin, path, settings, work_order.ident, pid, wait, is_settled)

    return command


add_mark_command(
    "drop",
    "drop",
    True,
    "Withdraw an order; its machine is taken back if it is out.",
    lambda outcome: hasattr(outcome, "how") or outcome.state == "back",
)
add_mark_command(
    "hold",
    "hold",
    True,
    "Keep an order from starting for now; only at the router where it was requested.",
    lambda outcome: hasattr(outcome, "state") and outcome.state == "held",
)
add_mark_command(
    "go", "hold", False, "Undo `hold`: the order may start.", lambda outcome: hasattr(outcome, "how") or outcome.state != "held"
)
add_mark_command(
    "back",
    "back",
    True,
    "Report that the work is done, so the machine is taken back.",
    lambda outcome: hasattr(outcome, "how") or outcome.state == "back",
)


@main.command()
@click.argument("shell", type=click.Choice(["bash", "zsh", "fish"]))
def completion(shell) -> None:
    """Print the line that enables command completion in a shell."""
    lines = {
        "bash": 'eval "$(_FIELDSPUR_COMPLETE=bash_source fieldspur)"',
        "zsh": 'eval "$(_FIELDSPUR_COMPLETE=zsh_source fieldspur)"',
        "fish": "_FIELDSPUR_COMPLETE=fish_source fieldspur | source",
    }
    click.echo(lines[shell])


if __name__ == "__main__":
    main()
