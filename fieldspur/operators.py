"""The operators' file: its settings with their defaults, bounds and schema. Without the file, or with an empty one, all defaults apply.

The classes are plain records, so a router without such a file does not import msgspec, which parses the file."""

from __future__ import annotations

import json

from fieldspur.record import Field, is_record, record
from fieldspur.site import ConfigError, parse_address

SCHEMA = "https://json-schema.org/draft/2020-12/schema"


class BadFile(Exception):
    """The file can't be used; the text begins with the path of the faulty key."""


class UnopenedFile(BadFile):
    """The file could not be opened or read; `errno` is the error number of the system."""

    def __init__(self, text: str, errno: int | None):
        super().__init__(text)
        self.errno = errno


def number(default, minimum, maximum, description: str) -> Field:
    """A number between two bounds, both of them allowed."""
    return Field(default, metadata={"minimum": minimum, "maximum": maximum, "description": description})


def section(kind, description: str) -> Field:
    """A nested object of the file, which is a record of the class `kind`."""
    return Field(factory=kind, metadata={"description": description})


@record(frozen=True)
class Log:
    level: Literal["debug", "info", "warning", "error"] = Field(
        "info", metadata={"description": "lowest level of log lines that are written; debug writes one line for each hop"}
    )
    lines_a_second: int = number(20, 1, 10_000, "log lines of one event written in a second; further lines are counted and left out")


@record(frozen=True)
class Counts:
    every_s: float = number(5.0, 0.1, 3600.0, "seconds between two log lines with counters")


@record(frozen=True)
class Memory:
    """Shares of `limits.memory_mb`; the rest is for the program, its threads and the connections to servers."""

    answers: float = number(0.25, 0.01, 0.5, "for answers that clients have not yet read")
    bodies: float = number(0.125, 0.01, 0.5, "for bodies of open txns")
    frames: float = number(0.125, 0.01, 0.5, "for frames that have been received only in part")


@record(frozen=True)
class Interpreter:
    switch_ms: float = number(1.0, 0.1, 100.0, "milliseconds for which a busy thread keeps the interpreter before waiting threads get it")
    collect_after: int = number(10_000, 700, 1_000_000, "objects allocated between two collections of cyclic garbage")


@record(frozen=True)
class Start:
    board_wait_s: float = number(
        1.5,
        0.0,
        60.0,
        "seconds that a starting router waits for the discovery service, which sends its last event number each second, before it "
        "uses the server list of its own file",
    )
    most_waiting: int = number(512, 0, 100_000, "txns that may wait during this time; further ones are rejected at once")


@record(frozen=True)
class Bounds:
    """Limits on what may be out for maintenance together. Shares are of the capacity as the routers see it."""

    zone: float = number(0.34, 0.0, 1.0, "share of a location's caches that may be out for maintenance")
    all: float = number(0.25, 0.0, 1.0, "share of all caches that may be out for maintenance, if more than one is out")
    both: float = number(
        0.0,
        0.0,
        1.0,
        "share of a location's objects whose home and next cache may be out together; 0: none, so only one cache of a location at a time",
    )
    headroom: float = number(0.8, 0.05, 1.0, "share of the remaining capacity that the load may use")
    fills_s: float = number(0.0, 0.0, 1e6, "additional fills a second that the origin store can serve; 0: no bound")
    parents: int = number(1, 0, 64, "parents that may be out together; caches and parents are never out together")
    at_once: int = number(8, 1, 64, "machines that may be out together")


@record(frozen=True)
class Fleet:
    """Membership and rules of the fleet: the routers that coordinate maintenance. Without a name the router runs on its own."""

    name: str = Field("", metadata={"description": "the fleet's name; empty: no fleet"})
    members: dict[str, str] = Field(
        {},
        metadata={"description": 'all members, including this router: name to "ADDRESS:PORT ZONE", where the member publishes its state'},
    )
    votes: list[str] = Field(
        [],
        metadata={
            "description": "the members that vote, 3, 5 or 7 of a large fleet; the others follow their decisions; empty: all members vote"
        },
    )
    left: list[str] = Field([], metadata={"description": "members without a vote that have been stopped for good: nothing waits for them"})
    folder: str = Field(
        "", metadata={"description": "folder where this member stores its register, which holds its promises; empty: in memory only"}
    )
    lease_s: float = number(
        1.5, 0.3, 60.0, "length of the coordinator's lease in seconds: it coordinates for this long without hearing from a majority"
    )
    first: bool = Field(
        False,
        metadata={"description": "founds a new fleet when it is changed to true and read on SIGHUP; all members have to be running"},
    )
    unsure: Literal["serve", "turn_away"] = Field(
        "serve",
        metadata={
            "description": "what a router does that can't know what is out: `serve` uses no machine that was announced to it as out, and "
            "work orders wait until all routers are notified; `turn_away` rejects all txns at once, and work orders wait for no router"
        },
    )
    bounds: Bounds = section(Bounds, "limits on what may be out for maintenance together")
    work: list[dict] = Field(
        [],
        metadata={
            "description": "machines to be taken out for maintenance",
            "maxItems": 64,
            "items": {
                "type": "object",
                "additionalProperties": False,
                "required": ["machine"],
                "properties": {
                    "machine": {"type": "string", "description": "name of a cache or a parent in the server list"},
                    "needs_s": {"type": "number", "description": "duration of the work in seconds"},
                    "before": {"type": "number", "description": "Unix time in seconds by which the machine has to be back; 0: no limit"},
                    "with": {
                        "type": "array",
                        "items": {"type": "string"},
                        "description": "machines that have to be out together with this one",
                    },
                    "id": {
                        "type": "string",
                        "description": "identifier of the work order; if it is missing, it is derived from the other keys",
                    },
                    "hold": {"type": "boolean", "description": "the machine is not taken out for now"},
                    "back": {"type": "boolean", "description": "the work is done, the machine can be taken back"},
                    "drop": {"type": "boolean", "description": "the work order is withdrawn"},
                },
            },
        },
    )


def parse_member(text: str) -> tuple[tuple[str, int], str]:
    """The address and zone of a member from `ADDRESS:PORT ZONE`; raises ValueError."""
    address, _, zone = text.partition(" ")
    try:
        if zone.strip():
            return parse_address(address, "address"), zone.strip()
    except ConfigError:
        pass
    raise ValueError(f"{text!r}: ADDRESS:PORT ZONE wanted")


def check_fleet(fleet: Fleet, path: str) -> None:
    """Checks a fleet's members, votes and work requests. Raises BadFile with the path of the faulty key."""
    if not fleet.name:
        return
    if not 2 <= len(fleet.members) <= 256:
        raise BadFile(f"{path}.members: {len(fleet.members)}, 2 to 256 wanted")
    names_by_address = {}
    for name, text in fleet.members.items():
        try:
            address, _ = parse_member(text)
        except ValueError as error:
            raise BadFile(f"{path}.members.{name}: {error}") from None
        if address in names_by_address:
            raise BadFile(f"{path}.members.{name}: the address of {names_by_address[address]}")
        names_by_address[address] = name
    for index, name in enumerate(fleet.votes):
        if name not in fleet.members or name in fleet.votes[:index]:
            raise BadFile(f"{path}.votes[{index}]: {name}, no member or there twice")
    if fleet.votes and len(fleet.votes) < 2:
        raise BadFile(f"{path}.votes: 2 or more wanted, or none for all members")
    if len(fleet.left) > 16:
        raise BadFile(f"{path}.left: {len(fleet.left)} names, 16 at most; take those out of members")
    for index, name in enumerate(fleet.left):
        if name in (fleet.votes or fleet.members):
            raise BadFile(f"{path}.left[{index}]: {name} votes")
    from fieldspur.fleet.work_requests import BadOrder, parse_requests  # imported only if there is a fleet

    try:
        parse_requests(fleet.work, f"{path}.work")
    except BadOrder as error:
        raise BadFile(str(error)) from None


@record(frozen=True)
class Operators:
    # The whole operators' file. Not a docstring, because msgspec copies docstrings into the published schema.
    log: Log = section(Log, "log lines on standard error")
    counts: Counts = section(Counts, "the log line with counters")
    memory: Memory = section(Memory, "how the router's memory limit is divided")
    interpreter: Interpreter = section(Interpreter, "settings of the Python interpreter")
    start: Start = section(Start, "what a starting router waits for")
    fleet: Fleet = section(Fleet, "routers that coordinate maintenance")


def check(settings, path: str = "") -> None:
    """Checks the bounds of every number and the rules between several keys. Raises BadFile."""
    for field in settings.__fields__:
        field_path, value = f"{path}.{field.name}" if path else field.name, getattr(settings, field.name)
        if is_record(value):
            check(value, field_path)
        elif "minimum" in field.metadata and not field.metadata["minimum"] <= value <= field.metadata["maximum"]:
            raise BadFile(f"{field_path}: {value:g} is not within {field.metadata['minimum']:g} to {field.metadata['maximum']:g}")
    if isinstance(settings, Fleet):
        check_fleet(settings, path)
    if isinstance(settings, Memory) and settings.answers + settings.bodies + settings.frames > 0.75:
        raise BadFile(f"{path}: answers, bodies and frames take more than 0.75 together")


def msgspec_class(kind):
    """A msgspec class with the fields, types, defaults and docstring of the record class `kind`."""
    from typing import Literal, get_type_hints

    import msgspec

    hints = get_type_hints(kind, None, {"Literal": Literal})
    fields = []
    for field in kind.__fields__:
        field_type = msgspec_class(hints[field.name]) if is_record(hints[field.name]) else hints[field.name]
        fields.append((field.name, field_type, msgspec.field(default_factory=field_type) if field.factory else field.default))
    return msgspec.defstruct(kind.__name__, fields, frozen=True, namespace={"__doc__": kind.__doc__})


def to_record(kind, struct):
    """The record of the class `kind` with the values of a msgspec structure."""
    return kind(
        **{
            field.name: to_record(field.factory, getattr(struct, field.name)) if field.factory else getattr(struct, field.name)
            for field in kind.__fields__
        }
    )


def parse(data: bytes) -> Operators:
    """The checked settings from the bytes of a file; an empty file gives the defaults. Raises BadFile."""
    try:
        import msgspec  # takes 3 MB of memory, so it is imported only if there is such a file
    except ImportError:
        raise BadFile("the file: reading it requires the library msgspec; install fieldspur with pip") from None

    if not data.strip():
        return Operators()
    try:
        value = json.loads(data)
        if not isinstance(value, dict):
            raise BadFile("the file: not an object")
        check_keys(value, Operators(), "")
        settings = to_record(Operators, msgspec.convert(value, msgspec_class(Operators), strict=True))
    except msgspec.ValidationError as error:
        message, _, json_path = str(error).partition(" - at `$")
        raise BadFile(f"{json_path.strip('.`') or 'the file'}: {message}") from None
    except (ValueError, RecursionError) as error:
        raise BadFile(f"the file: not JSON ({error})") from None
    check(settings)
    return settings


def check_keys(value: dict, defaults, path: str) -> None:
    """Raises BadFile for a key that no field of `defaults` has, because msgspec ignores unknown keys."""
    names = {field.name for field in defaults.__fields__}
    for name, inner in value.items():
        key_path = f"{path}.{name}" if path else name
        if name not in names:
            raise BadFile(f"{key_path}: no such key; there are {', '.join(sorted(names))}")
        if is_record(getattr(defaults, name)) and isinstance(inner, dict):
            check_keys(inner, getattr(defaults, name), key_path)


def read(path: str) -> Operators:
    """The checked settings of a file. Raises BadFile, or UnopenedFile if the system can't open or read the file."""
    try:
        with open(path, "rb") as file:
            return parse(file.read())
    except OSError as error:
        raise UnopenedFile(f"{path}: {error.strerror}", error.errno) from None


def schema() -> dict:
    """The published JSON schema of the file."""
    import msgspec

    def add_metadata(kind, object_schema: dict) -> None:
        """Adds the bounds and descriptions of the fields of `kind` to its schema."""
        object_schema["additionalProperties"] = False
        for field in kind.__fields__:
            field_schema = object_schema["properties"][field.name]
            ref = field_schema.get("$ref") or next((choice["$ref"] for choice in field_schema.get("anyOf", ()) if "$ref" in choice), "")
            field_schema.update(field.metadata)
            if ref:
                add_metadata(field.factory, definitions[ref.rpartition("/")[2]])

    root_schema = msgspec.json.schema(msgspec_class(Operators))
    definitions = root_schema["$defs"]
    add_metadata(Operators, definitions["Operators"])
    return {"$schema": SCHEMA, "title": "fieldspur: the operators' file", **root_schema}


def schema_text() -> str:
    """The schema as it is published in deploy/operators.schema.json."""
    return json.dumps(schema(), indent=2) + "\n"
