"""The operators' own file: what they may set, its defaults, bounds and schema. Absent or empty, all stays as it is.

The classes are plain, so that a router without such a file imports nothing for it; with one, a library reads it."""

from __future__ import annotations

import json

from fieldspur.record import Field, is_record, record
from fieldspur.site import ConfigError, parse_address

SCHEMA = "https://json-schema.org/draft/2020-12/schema"


class BadFile(Exception):
    """The file can't be used; the text begins with the path of the faulty key."""


class UnopenedFile(BadFile):
    """The file could not be opened or read; `errno` is the system's."""

    def __init__(self, text: str, errno: int | None):
        super().__init__(text)
        self.errno = errno


def key(default, least, most, text: str) -> Field:
    """A figure with its bounds, both allowed, and what it is."""
    return Field(default, metadata={"minimum": least, "maximum": most, "description": text})


def part(kind, text: str) -> Field:
    return Field(factory=kind, metadata={"description": text})


@record(frozen=True)
class Log:
    level: Literal["debug", "info", "warning", "error"] = Field(
        "info", metadata={"description": "lowest level of lines that are written; debug has one line a hop"}
    )
    lines_a_second: int = key(20, 1, 10_000, "lines of one event in a second; what is left out is counted")


@record(frozen=True)
class Counts:
    every_s: float = key(5.0, 0.1, 3600.0, "seconds between two lines of counts")


@record(frozen=True)
class Memory:
    """Shares of `limits.memory_mb`; what is left is the program's, its threads' and the servers' connections'."""

    answers: float = key(0.25, 0.01, 0.5, "for answers that clients have not yet taken")
    bodies: float = key(0.125, 0.01, 0.5, "for bodies of open txns")
    frames: float = key(0.125, 0.01, 0.5, "for frames that clients have begun and not ended")


@record(frozen=True)
class Interpreter:
    switch_ms: float = key(1.0, 0.1, 100.0, "how long a busy thread keeps the interpreter from those that wait")
    collect_after: int = key(10_000, 700, 1_000_000, "objects made between two looks for cycles of garbage")


@record(frozen=True)
class Start:
    board_wait_s: float = key(
        1.5,
        0.0,
        60.0,
        "seconds that a start waits for the notice board before it goes by its file's list; the board says its last number each second",
    )
    most_waiting: int = key(512, 0, 100_000, "txns that wait meanwhile; further ones are rejected at once")


@record(frozen=True)
class Bounds:
    """What may be out for work together. Shares are of capacity as routers see it."""

    zone: float = key(0.34, 0.0, 1.0, "share of a location's caches that may be out")
    all: float = key(0.25, 0.0, 1.0, "share of all caches that may be out, where more than one is")
    both: float = key(
        0.0,
        0.0,
        1.0,
        "share of a location's objects whose home and next cache may be out together; 0: never, so one cache a location at a time",
    )
    headroom: float = key(0.8, 0.05, 1.0, "the load may take so much of what stays")
    fills_s: float = key(0.0, 0.0, 1e6, "fills a second that the store bears on top; 0: no bound")
    parents: int = key(1, 0, 64, "parents out together; caches and parents never are")
    at_once: int = key(8, 1, 64, "machines out together")


@record(frozen=True)
class Fleet:
    """Which routers settle things among themselves. Without a name the router knows of no others."""

    name: str = Field("", metadata={"description": "the fleet's name; empty: no fleet"})
    members: dict[str, str] = Field(
        {}, metadata={"description": 'all members, this router too: name to "ADDRESS:PORT ZONE", where each publishes its lines'}
    )
    votes: list[str] = Field(
        [], metadata={"description": "the members that settle things, 3, 5 or 7 of many; the others go by what those settle; empty: all do"}
    )
    left: list[str] = Field([], metadata={"description": "members that do not vote and have been stopped for good: nothing waits for them"})
    folder: str = Field("", metadata={"description": "where this member keeps what it promised; empty: in memory only"})
    lease_s: float = key(1.5, 0.3, 60.0, "seconds that a member acts for the fleet without word of a majority")
    first: bool = Field(
        False,
        metadata={"description": "turned true and read by SIGHUP: there has been no fleet before, one begins; needs all members there"},
    )
    unsure: Literal["serve", "turn_away"] = Field(
        "serve",
        metadata={
            "description": "a router that can't know what is out: `serve` keeps off what was announced to it, and orders wait until all "
            "routers were told; `turn_away` turns all txns away at once, and orders wait for nobody"
        },
    )
    bounds: Bounds = part(Bounds, "what may be out for work together")
    work: list[dict] = Field(
        [],
        metadata={
            "description": "machines that are to be worked on",
            "maxItems": 64,
            "items": {
                "type": "object",
                "additionalProperties": False,
                "required": ["machine"],
                "properties": {
                    "machine": {"type": "string", "description": "a cache's or a parent's name on the board"},
                    "needs_s": {"type": "number", "description": "seconds that the work takes"},
                    "before": {"type": "number", "description": "Unix seconds by which it is to be back; 0: it does not matter"},
                    "with": {"type": "array", "items": {"type": "string"}, "description": "machines that are to be out together with it"},
                    "id": {"type": "string", "description": "tells this order from others; made from the rest without it"},
                    "hold": {"type": "boolean", "description": "it does not go for now"},
                    "back": {"type": "boolean", "description": "the work is done"},
                    "drop": {"type": "boolean", "description": "withdrawn"},
                },
            },
        },
    )


def parse_member(text: str) -> tuple[tuple[str, int], str]:
    """Address and zone of a member; raises ValueError."""
    where, _, zone = text.partition(" ")
    try:
        if zone.strip():
            return parse_address(where, "address"), zone.strip()
    except ConfigError:
        pass
    raise ValueError(f"{text!r}: ADDRESS:PORT ZONE wanted")


def check_fleet(value: Fleet, path: str) -> None:
    if not value.name:
        return
    if not 2 <= len(value.members) <= 256:
        raise BadFile(f"{path}.members: {len(value.members)}, 2 to 256 wanted")
    seen = {}
    for name, text in value.members.items():
        try:
            where, _ = parse_member(text)
        except ValueError as wrong:
            raise BadFile(f"{path}.members.{name}: {wrong}") from None
        if where in seen:
            raise BadFile(f"{path}.members.{name}: the address of {seen[where]}")
        seen[where] = name
    for n, name in enumerate(value.votes):
        if name not in value.members or name in value.votes[:n]:
            raise BadFile(f"{path}.votes[{n}]: {name}, no member or there twice")
    if value.votes and len(value.votes) < 2:
        raise BadFile(f"{path}.votes: 2 or more wanted, or none for all members")
    if len(value.left) > 16:
        raise BadFile(f"{path}.left: {len(value.left)} names, 16 at most; take those out of members")
    for n, name in enumerate(value.left):
        if name in (value.votes or value.members):
            raise BadFile(f"{path}.left[{n}]: {name} votes")
    from fieldspur.fleet.work_requests import BadOrder, parse_requests  # only where there is a fleet

    try:
        parse_requests(value.work, f"{path}.work")
    except BadOrder as wrong:
        raise BadFile(str(wrong)) from None


@record(frozen=True)
class Operators:
    log: Log = part(Log, "log lines on standard error")
    counts: Counts = part(Counts, "the line of counts")
    memory: Memory = part(Memory, "how the router's memory is shared out")
    interpreter: Interpreter = part(Interpreter, "of Python itself")
    start: Start = part(Start, "what a start waits for")
    fleet: Fleet = part(Fleet, "routers that settle things among themselves")


def check(value, path: str = "") -> None:
    """Bounds of every figure, and what must fit together."""
    for row in value.__fields__:
        at, here = f"{path}.{row.name}" if path else row.name, getattr(value, row.name)
        if is_record(here):
            check(here, at)
        elif "minimum" in row.metadata and not row.metadata["minimum"] <= here <= row.metadata["maximum"]:
            raise BadFile(f"{at}: {here:g} is not within {row.metadata['minimum']:g} to {row.metadata['maximum']:g}")
    if isinstance(value, Fleet):
        check_fleet(value, path)
    if isinstance(value, Memory) and value.answers + value.bodies + value.frames > 0.75:
        raise BadFile(f"{path}: answers, bodies and frames take more than 0.75 together")


def shape(kind):
    """The library's own class of a record: the same fields, types, defaults and words."""
    from typing import Literal, get_type_hints

    import msgspec

    hints = get_type_hints(kind, None, {"Literal": Literal})
    rows = []
    for row in kind.__fields__:
        inner = shape(hints[row.name]) if is_record(hints[row.name]) else hints[row.name]
        rows.append((row.name, inner, msgspec.field(default_factory=inner) if row.factory else row.default))
    return msgspec.defstruct(kind.__name__, rows, frozen=True, namespace={"__doc__": kind.__doc__})


def filled(kind, value):
    """The record with the values that the library read."""
    return kind(
        **{row.name: filled(row.factory, getattr(value, row.name)) if row.factory else getattr(value, row.name) for row in kind.__fields__}
    )


def parse(data: bytes) -> Operators:
    """The checked values of a file's bytes; an empty file sets nothing. Raises BadFile."""
    try:
        import msgspec  # 3 MB, only where there is such a file
    except ImportError:
        raise BadFile("the file: reading it takes the library msgspec; install fieldspur with pip") from None

    if not data.strip():
        return Operators()
    try:
        value = json.loads(data)
        if not isinstance(value, dict):
            raise BadFile("the file: not an object")
        known(value, Operators(), "")
        found = filled(Operators, msgspec.convert(value, shape(Operators), strict=True))
    except msgspec.ValidationError as wrong:
        said, _, at = str(wrong).partition(" - at `$")
        raise BadFile(f"{at.strip('.`') or 'the file'}: {said}") from None
    except (ValueError, RecursionError) as wrong:
        raise BadFile(f"the file: not JSON ({wrong})") from None
    check(found)
    return found


def known(value: dict, like, path: str) -> None:
    """A key that nothing reads is a mistake: the reader ignores it, so it is named here."""
    names = {row.name for row in like.__fields__}
    for name, inner in value.items():
        at = f"{path}.{name}" if path else name
        if name not in names:
            raise BadFile(f"{at}: no such key; there are {', '.join(sorted(names))}")
        if is_record(getattr(like, name)) and isinstance(inner, dict):
            known(inner, getattr(like, name), at)


def read(path: str) -> Operators:
    """The file, checked. Raises BadFile, or UnopenedFile where the system does not give it."""
    try:
        with open(path, "rb") as file:
            return parse(file.read())
    except OSError as wrong:
        raise UnopenedFile(f"{path}: {wrong.strerror}", wrong.errno) from None


def schema() -> dict:
    """The published schema of the file."""
    import msgspec

    def fill(kind, into: dict) -> None:
        into["additionalProperties"] = False
        for row in kind.__fields__:
            found = into["properties"][row.name]
            ref = found.get("$ref") or next((one["$ref"] for one in found.get("anyOf", ()) if "$ref" in one), "")
            found.update(row.metadata)
            if ref:
                fill(row.factory, parts[ref.rpartition("/")[2]])

    made = msgspec.json.schema(shape(Operators))
    parts = made["$defs"]
    fill(Operators, parts["Operators"])
    return {"$schema": SCHEMA, "title": "fieldspur: the operators' file", **made}


def schema_text() -> str:
    return json.dumps(schema(), indent=2) + "\n"
