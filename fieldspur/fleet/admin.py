"""Operators' access to a fleet, for the command line.

It reads what members publish, and writes work requests into the operators' file of a router on this machine, which then gets a signal
to read the file again. Requests are stored nowhere else."""

from __future__ import annotations

import fcntl
import json
import os
import secrets
import signal
import socket
import time
from pathlib import Path
from typing import Any, NamedTuple

from fieldspur.fleet import consensus, register_codec, work_orders
from fieldspur.fleet.coordinator import Report, parse_report
from fieldspur.fleet.work_requests import request_ident
from fieldspur.operators import BadFile, Fleet, parse, parse_member

ANSWER_TIMEOUT_S = 2.0  # for a member to accept a connection and to send its line
POLL_INTERVAL_S = 0.1  # between two readings of the members' lines
MAX_LINE_BYTES = 4 << 20


class Refused(Exception):
    """A command can't be carried out; the text says why."""


class MemberStatus(NamedTuple):
    """What one member publishes. A follower does not vote: its `life` is 0, it has no ballot, and it names its document only by number
    (`report.applied_number`)."""

    name: str
    zone: str
    votes: bool
    life: int
    ballot: tuple
    requests_lease: bool  # it wants to be coordinator, and publishes a tick under its own ballot
    document: work_orders.WorkDocument
    report: Report | None


def fetch_line(address: tuple[str, int], wait: float = ANSWER_TIMEOUT_S) -> dict | None:
    """The line that a member publishes now; None where it can't be reached or sends no line in time."""
    try:
        with socket.create_connection(address, timeout=wait) as sock:
            sock.sendall(b"watch 0\n")
            with sock.makefile("rb") as file:
                line = json.loads(file.readline(MAX_LINE_BYTES) or b"null")
    except (OSError, ValueError, RecursionError):
        return None
    return line if isinstance(line, dict) and ("register" in line or "follower" in line) else None


def parse_status(name: str, zone: str, line: dict, voters: int) -> MemberStatus:
    """Reads a member's line; raises BadLine or BadOrder where it is of another fleet or version."""
    raw_report = line.get("work")
    if "follower" in line:
        return MemberStatus(
            name,
            zone,
            False,
            0,
            consensus.NO_BALLOT,
            False,
            work_orders.EMPTY_DOCUMENT,
            parse_report(raw_report, register_codec.whole_number(line.get("nonce"), "nonce")),
        )
    register = register_codec.decode_register(line["register"], voters)
    return MemberStatus(
        name,
        zone,
        True,
        register.life,
        register.promised,
        line.get("tick", [[0, -1]])[0] == list(register.promised),
        work_orders.read_document(register.decided.value),
        parse_report(raw_report, register.nonce) if raw_report is not None else None,
    )


def read_members(fleet: Fleet) -> dict[str, MemberStatus | str]:
    """The status of each member in the operators' file, or why it is unknown, by name."""
    statuses: dict[str, MemberStatus | str] = {}
    for name in sorted(fleet.members):
        address, zone = parse_member(fleet.members[name])
        line = fetch_line(address)
        if line is None:
            statuses[name] = "can't be reached"
        elif line.get("fleet") != fleet.name:
            statuses[name] = f"of another fleet: {line.get('fleet')}"
        else:
            try:
                statuses[name] = parse_status(name, zone, line, len(fleet.votes or fleet.members))
            except (register_codec.BadLine, work_orders.BadOrder) as bad:
                statuses[name] = f"of another version: {bad}"
    return statuses


def latest_document(statuses: dict[str, MemberStatus | str]) -> work_orders.WorkDocument:
    return max(
        (status.document for status in statuses.values() if isinstance(status, MemberStatus)),
        key=lambda document: document.number,
        default=work_orders.EMPTY_DOCUMENT,
    )


def find_coordinator(statuses: dict[str, MemberStatus | str], fleet: Fleet) -> str | None:
    """The member whose ballot a majority has promised to follow, by what the members publish."""
    names = sorted(fleet.votes or fleet.members)
    ballots = [status.ballot for status in statuses.values() if isinstance(status, MemberStatus) and status.life]
    for ballot in set(ballots):
        if ballot[1] >= 0 and ballots.count(ballot) > len(names) // 2:
            holder = statuses[names[ballot[1]]]
            return holder.name if isinstance(holder, MemberStatus) and holder.requests_lease else None
    return None


# The operators' file.


def read_operators_file(path: Path) -> tuple[dict, Fleet]:
    """The file's content as it stands, and its checked fleet; raises BadFile."""
    try:
        data = path.read_bytes()
    except OSError as wrong:
        raise BadFile(f"{path}: {wrong.strerror}") from None
    fleet = parse(data).fleet
    if not fleet.name:
        raise BadFile("fleet.name: missing; this file knows of no fleet")
    return json.loads(data), fleet


def change_operators_file(path: Path, change_rows, key: str = "work") -> Any:
    """Applies `change_rows(rows)` to the file's work requests, or to another list of its fleet, and returns its result.

    The file is replaced as a whole, so that a reader finds either the old or the new one. A lock makes two changes at the same time
    take turns. Raises BadFile, and then nothing is changed."""
    with open(path.with_name(path.name + ".lock"), "w") as lock:
        fcntl.flock(lock, fcntl.LOCK_EX)
        content, _ = read_operators_file(path)
        rows = content["fleet"].setdefault(key, [])
        result = change_rows(rows)
        data = (json.dumps(content, indent=2) + "\n").encode()
        parse(data)
        new_path = path.with_name(f"{path.name}.{os.getpid()}")
        try:
            with open(new_path, "wb") as file:
                file.write(data)
                file.flush()
                os.fsync(file.fileno())
            os.chmod(new_path, path.stat().st_mode & 0o777)
            os.replace(new_path, path)
        finally:
            new_path.unlink(missing_ok=True)
        return result


def ident_of(row: dict) -> str:
    return row.get("id") or request_ident(row)


def add_request(path: Path, document: work_orders.WorkDocument, machine: str, needs: float, before: float = 0.0, beside: tuple = ()) -> str:
    """Adds a work request under a new identifier, so that the same machine can be requested again later. Removes requests from the
    file whose orders have ended by the document."""
    ended_idents = {ended.ident for ended in document.ended}

    def change_rows(rows: list) -> str:
        rows[:] = [row for row in rows if ident_of(row) not in ended_idents]
        new_ident = f"{machine[:40]}-{secrets.token_hex(4)}"
        rows.append(
            {
                "id": new_ident,
                "machine": machine,
                "needs_s": needs,
                **({"before": before} if before else {}),
                **({"with": list(beside)} if beside else {}),
            }
        )
        return new_ident

    return change_operators_file(path, change_rows)


def mark(path: Path, order: work_orders.Order, key: str, value: bool = True) -> None:
    """Sets or removes `hold`, `back` or `drop` in the request of an order. Raises Refused for `hold` of an order that was requested at
    another router, because that router's file would contradict it."""

    def change_rows(rows: list) -> None:
        row = next((row for row in rows if ident_of(row) == order.ident), None)
        if row is None and key == "hold":
            raise Refused(f"{order.machine} was asked for at {order.by}: hold it, or let it go, there")
        if row is None:
            row = {"id": order.ident, "machine": order.machine, "needs_s": order.needs}
            rows.append(row)
        if value:
            row[key] = True
        else:
            row.pop(key, None)

    change_operators_file(path, change_rows)


def set_left(path: Path, name: str, has_left: bool) -> None:
    """Records that a member that does not vote has left for good, or that it may join again."""

    def change_rows(rows: list) -> None:
        rows[:] = [row for row in rows if row != name] + [name] * has_left

    change_operators_file(path, change_rows, "left")


def router_pids(path: Path) -> list[int]:
    """Processes of this program on this machine that read that operators' file, as far as this user may see them."""
    pids, wanted_path = [], path.resolve()
    for entry in Path("/proc").iterdir():
        if not entry.name.isdigit() or int(entry.name) == os.getpid():
            continue
        try:
            if b"fieldspur" not in (entry / "cmdline").read_bytes():
                continue
            for variable in (entry / "environ").read_bytes().split(b"\0"):
                if (
                    variable.startswith(b"LB_OPERATORS=")
                    and Path(os.fsdecode(variable[13:])).is_absolute()
                    and Path(os.fsdecode(variable[13:])).resolve() == wanted_path
                ):
                    pids.append(int(entry.name))
        except OSError:
            continue
    return pids


def signal_router(path: Path, pid: int | None) -> int:
    """Signals the router that reads that file to read it again, and returns its pid. Raises Refused unless there is exactly one."""
    pids = [pid] if pid else router_pids(path)
    if len(pids) != 1:
        raise Refused(
            f"{path} is written, but {'no router' if not pids else f'{len(pids)} routers'} on this machine "
            f"read it by LB_OPERATORS; send SIGHUP, or name the process with --pid"
        )
    try:
        os.kill(pids[0], signal.SIGHUP)
    except OSError as wrong:
        raise Refused(f"{path} is written, but process {pids[0]}: {wrong.strerror}") from None
    return pids[0]


def wait_until_settled(fleet: Fleet, ident: str, wait: float, is_settled) -> work_orders.Order | work_orders.Ended:
    """Waits up to `wait` seconds until the fleet has agreed on the order such that `is_settled(order or ended)`, and returns it. Raises
    Refused with the order's state after that time."""
    deadline, latest = time.monotonic() + wait, None
    while True:
        document = latest_document(read_members(fleet))
        latest = document.find(ident) or next((ended for ended in document.ended if ended.ident == ident), None)
        if latest is not None and is_settled(latest):
            return latest
        if time.monotonic() >= deadline:
            raise Refused(
                f"asked for, and not settled within {wait:g} s: "
                + (
                    "no majority has agreed on it"
                    if latest is None
                    else f"{latest.machine} is {latest[6]}"
                    if isinstance(latest, work_orders.Order)
                    else f"{latest.machine} ended as {latest.how}"
                )
            )
        time.sleep(POLL_INTERVAL_S)
