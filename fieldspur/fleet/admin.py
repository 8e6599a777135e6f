"""An operator's desk: what members publish is read, and wishes go into the operators' file of a router on this machine, which is then
told to read it again. The file stays the one place where something is asked for."""

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
from fieldspur.operators import BadFile, Fleet, member, parse

ANSWER = 2.0  # s for a member to be reached and to say its line
LOOK = 0.1  # s between two looks at a member's line
MOST_LINE = 4 << 20


class Refused(Exception):
    """What was asked for is not to be had; the text says why."""


class Told(NamedTuple):
    """What one member publishes. One that follows has no voice: `life` 0, no ballot, and a document only by number."""

    name: str
    zone: str
    votes: bool
    life: int
    ballot: tuple
    ticks: bool  # it asks to act, and others keep the promise as far as it says
    work: work_orders.WorkDocument
    report: Report | None


def fetch_line(address: tuple[str, int], wait: float = ANSWER) -> dict | None:
    """The line that a member publishes now; None where it can't be reached or says none in time."""
    try:
        with socket.create_connection(address, timeout=wait) as sock:
            sock.sendall(b"watch 0\n")
            with sock.makefile("rb") as file:
                found = json.loads(file.readline(MOST_LINE) or b"null")
    except (OSError, ValueError, RecursionError):
        return None
    return found if isinstance(found, dict) and ("register" in found or "follower" in found) else None


def told(name: str, zone: str, line: dict, settle: int) -> Told:
    """From a member's line; raises BadLine or BadOrder where it is of another fleet or version."""
    raw = line.get("work")
    if "follower" in line:
        return Told(
            name,
            zone,
            False,
            0,
            consensus.NO_BALLOT,
            False,
            work_orders.EMPTY_DOCUMENT,
            parse_report(raw, register_codec.whole_number(line.get("nonce"), "nonce")),
        )
    register = register_codec.decode_register(line["register"], settle)
    return Told(
        name,
        zone,
        True,
        register.life,
        register.promised,
        line.get("tick", [[0, -1]])[0] == list(register.promised),
        work_orders.read_document(register.decided.value),
        parse_report(raw, register.nonce) if raw is not None else None,
    )


def read_members(fleet: Fleet) -> dict[str, Told | str]:
    """By name what each member of the file says, or why nothing is known of it."""
    found: dict[str, Told | str] = {}
    for name in sorted(fleet.members):
        address, zone = member(fleet.members[name])
        line = fetch_line(address)
        if line is None:
            found[name] = "can't be reached"
        elif line.get("fleet") != fleet.name:
            found[name] = f"of another fleet: {line.get('fleet')}"
        else:
            try:
                found[name] = told(name, zone, line, len(fleet.votes or fleet.members))
            except (register_codec.BadLine, work_orders.BadOrder) as bad:
                found[name] = f"of another version: {bad}"
    return found


def latest_document(found: dict[str, Told | str]) -> work_orders.WorkDocument:
    return max(
        (one.work for one in found.values() if isinstance(one, Told)), key=lambda one: one.number, default=work_orders.EMPTY_DOCUMENT
    )


def find_coordinator(found: dict[str, Told | str], fleet: Fleet) -> str | None:
    """The member whose ballot a majority keeps, by what they publish."""
    names = sorted(fleet.votes or fleet.members)
    ballots = [one.ballot for one in found.values() if isinstance(one, Told) and one.life]
    for ballot in set(ballots):
        if ballot[1] >= 0 and ballots.count(ballot) > len(names) // 2:
            holder = found[names[ballot[1]]]
            return holder.name if isinstance(holder, Told) and holder.ticks else None
    return None


# The file.


def read_operators_file(path: Path) -> tuple[dict, Fleet]:
    """The file as it stands, and its checked fleet; raises BadFile."""
    try:
        data = path.read_bytes()
    except OSError as wrong:
        raise BadFile(f"{path}: {wrong.strerror}") from None
    fleet = parse(data).fleet
    if not fleet.name:
        raise BadFile("fleet.name: missing; this file knows of no fleet")
    return json.loads(data), fleet


def change_operators_file(path: Path, what, key: str = "work") -> Any:
    """Applies `what(rows)` to the file's orders, or another list of its fleet, and writes the whole anew, so that a reader finds the
    old or the new one. Two at once take turns. Raises BadFile, and then nothing is changed; what `what` gives back."""
    with open(path.with_name(path.name + ".lock"), "w") as lock:
        fcntl.flock(lock, fcntl.LOCK_EX)
        value, _ = read_operators_file(path)
        rows = value["fleet"].setdefault(key, [])
        given = what(rows)
        data = (json.dumps(value, indent=2) + "\n").encode()
        parse(data)
        fresh = path.with_name(f"{path.name}.{os.getpid()}")
        try:
            with open(fresh, "wb") as file:
                file.write(data)
                file.flush()
                os.fsync(file.fileno())
            os.chmod(fresh, path.stat().st_mode & 0o777)
            os.replace(fresh, path)
        finally:
            fresh.unlink(missing_ok=True)
        return given


def name_of(row: dict) -> str:
    return row.get("id") or request_ident(row)


def add_request(path: Path, document: work_orders.WorkDocument, machine: str, needs: float, before: float = 0.0, beside: tuple = ()) -> str:
    """A new order, under a name of its own, so that a machine may be worked on again later. Those that have ended by the document
    leave the file."""
    over = {one.ident for one in document.ended}

    def what(rows: list) -> str:
        rows[:] = [row for row in rows if name_of(row) not in over]
        made = f"{machine[:40]}-{secrets.token_hex(4)}"
        rows.append(
            {
                "id": made,
                "machine": machine,
                "needs_s": needs,
                **({"before": before} if before else {}),
                **({"with": list(beside)} if beside else {}),
            }
        )
        return made

    return change_operators_file(path, what)


def mark(path: Path, order: work_orders.Order, key: str, yes: bool = True) -> None:
    """`hold`, `back` or `drop` of an order. Raises Refused where it is to be held, and was asked for at another router, whose file
    says otherwise."""

    def what(rows: list) -> None:
        row = next((row for row in rows if name_of(row) == order.ident), None)
        if row is None and key == "hold":
            raise Refused(f"{order.machine} was asked for at {order.by}: hold it, or let it go, there")
        if row is None:
            row = {"id": order.ident, "machine": order.machine, "needs_s": order.needs}
            rows.append(row)
        if yes:
            row[key] = True
        else:
            row.pop(key, None)

    change_operators_file(path, what)


def set_left(path: Path, name: str, yes: bool) -> None:
    """A member that does not vote has left for good, or may join again."""

    def what(rows: list) -> None:
        rows[:] = [row for row in rows if row != name] + [name] * yes

    change_operators_file(path, what, "left")


def routers(path: Path) -> list[int]:
    """Processes of the program on this machine that read that operators' file, as far as this user may look."""
    found, wanted = [], path.resolve()
    for entry in Path("/proc").iterdir():
        if not entry.name.isdigit() or int(entry.name) == os.getpid():
            continue
        try:
            if b"fieldspur" not in (entry / "cmdline").read_bytes():
                continue
            for pair in (entry / "environ").read_bytes().split(b"\0"):
                if (
                    pair.startswith(b"LB_OPERATORS=")
                    and Path(os.fsdecode(pair[13:])).is_absolute()
                    and Path(os.fsdecode(pair[13:])).resolve() == wanted
                ):
                    found.append(int(entry.name))
        except OSError:
            continue
    return found


def signal_router(path: Path, pid: int | None) -> int:
    """Tells the router that reads that file to read it again; raises Refused where there is not just one."""
    found = [pid] if pid else routers(path)
    if len(found) != 1:
        raise Refused(
            f"{path} is written, but {'no router' if not found else f'{len(found)} routers'} on this machine "
            f"read it by LB_OPERATORS; send SIGHUP, or name the process with --pid"
        )
    try:
        os.kill(found[0], signal.SIGHUP)
    except OSError as wrong:
        raise Refused(f"{path} is written, but process {found[0]}: {wrong.strerror}") from None
    return found[0]


def wait_until_settled(fleet: Fleet, order: str, wait: float, how) -> work_orders.Order | work_orders.Ended:
    """Waits until the fleet has agreed on that order as `how(order or ended)` wants it; raises Refused with what stands meanwhile."""
    end, seen = time.monotonic() + wait, None
    while True:
        document = latest_document(read_members(fleet))
        seen = document.find(order) or next((one for one in document.ended if one.ident == order), None)
        if seen is not None and how(seen):
            return seen
        if time.monotonic() >= end:
            raise Refused(
                f"asked for, and not settled within {wait:g} s: "
                + (
                    "no majority has agreed on it"
                    if seen is None
                    else f"{seen.machine} is {seen[6]}"
                    if isinstance(seen, work_orders.Order)
                    else f"{seen.machine} ended as {seen.how}"
                )
            )
        time.sleep(LOOK)
