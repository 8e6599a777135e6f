"""Scenarios: what is emulated, what load comes, what fails when, and what must come out. JSON with a schema."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Literal

import msgspec

from fieldspur.operators import SCHEMA, BadFile

HERE = Path(__file__).with_name("scenarios")


class Part(msgspec.Struct, forbid_unknown_fields=True, kw_only=True, frozen=True):
    """A part of a scenario: its keys are all there are."""


class Servers(Part, kw_only=True):
    """What stands behind the routers. One location; a cache's `rating` is how many transfers run there at full pace."""

    caches: int = 4
    parents: int = 2
    cache_mb: float = 64.0  # memory of a cache, as objects' sizes count
    parent_mb: float = 512.0
    rating: float = 20.0
    parent_rating: float = 40.0
    store_rating: float = 30.0  # fills and never kept txns that the store takes at full pace
    store_ms: float = 20.0  # how long the store takes for one
    fill_places: int = 64  # fills under way at one cache; beyond, it refuses
    ramp_s: float = 6.0  # from cold to full
    cold_share: float = 0.2  # of its rating that a server can do just after its start
    window: int = 0  # bytes that a server's sockets hold unread; 0: the system's own measure
    segment: int = 0  # bytes of a segment towards a server, as of a wire; 0: loopback's
    fall_multiple: float = 2.5  # this much over what it can do, for a second, and it falls


class Class(Part, kw_only=True):
    """One kind of txns. The rule is the remap rule of that name in the settings that the laboratory makes."""

    rule: str
    rate: float  # txns a second in all
    kb: float = 20.0  # middle size; sizes spread around it
    objects: int = 2000
    parts: int = 1
    zipf: float = 0.9  # how popular the first objects are; 0: all alike
    once: float = 0.05  # share of txns for objects that nobody asks for again
    tries: int = 2  # of a client's own, the first one included
    bytes_a_kb: int = 16  # bytes on the socket for each KB that is counted
    body: int = 5  # bytes that a write brings


class Load(Part, kw_only=True):
    classes: tuple[Class, ...]
    connections: int = 20  # at each router
    bad_clients: float = 0.0  # connections a second that bring what can't be used
    slow_clients: int = 0  # connections at each router that read 4 KB a second
    waves: tuple[tuple[float, float], ...] = ()  # (from second, times the rate)
    cancels: float = 0.0  # share of requests that their clients cancel early (soak)
    hurried: float = 0.0  # share of requests with a short time limit (soak)
    churn: float = 0.0  # share of answers after which a client closes its connection, where nothing is open on it (soak)
    hang_ups: float = 0.0  # connections a second that clients close in the middle of their requests (soak)
    deadline_s: float = 0.0  # most that a request of any class has; 0: as the settings say (soak)
    stays: float = 0.0  # share of connections that clients use on and on after their router has said that it ends (soak)


class Fault(Part, kw_only=True):
    """Something that happens to one server or to a share of a kind, the first by name."""

    at: float  # seconds from the start
    what: Literal[
        "die",
        "silent",
        "stop",
        "slow",
        "reset",
        "garble",
        "late",
        "errors",
        "drain",
        "restart",
        "purge",
        "store_slow",
        "router_restart",
        "board_break",
        "reload",
        "router_kill",
        "router_pause",
        "router_hup",
        "link_cut",
        "link_stall",
        "link_delay",
        "link_lose",
        "net_delay",
        "net_pieces",
        "net_stall",
        "net_cut",
        "watch_stall",
        "watch_cut",
        "clock_step",
        "accept_fails",
        "socket_fails",
        "connect_fails",
        "interrupted",
        "short_io",
        "broken_io",
        "late_dials",
        "disk_fails",
        "mass_crash",
        "list_flaps",
        "crowd",
        "new_names",
    ]
    who: str = ""  # a server's name, "caches", "parents", routers by number or "acting"; links: "0>1" (what 0 reads of 1), "0,1|2"
    share: float = 1.0  # of the servers that `who` names
    lasts: float = 0.0  # seconds after which it is over; 0: it stays
    # slow and store_slow: so many times longer; late, net_delay and late_dials: ms more; clock_step: seconds; failing calls: so many of
    # a thousand; net_cut: bytes until the cut; mass_crash: ms until discovery removes them; crowd: idle connections at each router;
    # new_names: servers and objects a second, each once
    times: float = 10.0
    group: int = -1  # purge: of one group; below 0 all groups
    forget: bool = False  # router_kill: what it kept in its folder is lost


class Expect(Part, kw_only=True):
    """What must come out; a bound that is left out holds always."""

    completed: float = 0.0  # least share of txns, by the clients' last try
    worth: float = 0.0  # least share of importance answered within SLA times, by rules' late share
    p99_ms: float = 0.0  # most, of completed txns; 0: no bound
    fills: float = 0.0  # most fills at the store a txn; 0: no bound
    recovers_s: float = 0.0  # most seconds from a fault until worth is back at 0.9 of before; 0: no bound
    orders: float = 0.0  # least share of a fleet's orders that are done


class Ask(Part, kw_only=True):
    """An order of work, asked for at one router."""

    at: float
    machine: str
    needs_s: float
    router: int = 0
    beside: tuple[str, ...] = ()  # machines that must be out together with it
    drop_at: float = 0.0  # second at which it is withdrawn; 0: never


class Fleet(Part, kw_only=True):
    """Routers that settle things among themselves, with a link of its own for each directed pair."""

    lease_s: float = 1.5
    folder: bool = False  # members keep what they promised on disk
    unsure: Literal["serve", "turn_away"] = "serve"
    bounds: dict[str, float] = {}  # of the operators' file
    work: tuple[Ask, ...] = ()
    way: Literal["fleet", "hand", "untouched"] = "fleet"  # who takes the machines out: routers, people by the board, nobody
    hand_at_once: int = 1  # by hand: so many out together, in the order of `work`
    hand_drain_s: float = 5.0  # ... a drain is given so long
    hand_warm_s: float = 10.0  # ... and a machine that is back before the next goes


class Far(Part, kw_only=True):
    """The same in simulated time at large size, without sockets. Rates of the load are for the whole."""

    routers: int = 200
    caches: int = 2000
    zones: int = 20
    parents: int = 40
    tick_ms: float = 250.0  # of the curves that are kept


class Scenario(Part, kw_only=True):
    name: str = ""
    about: str = ""
    seed: int = 1
    seconds: float = 20.0
    warm: float = 3.0  # seconds at the start that do not count
    routers: int = 2
    memory_mb: int = 128
    sockets: int = 512
    servers: Servers = Servers()
    load: Load
    faults: tuple[Fault, ...] = ()
    expect: Expect = Expect()
    far: Far | None = None
    fleet: Fleet | None = None


def parse(data: bytes, **changed) -> Scenario:
    """A checked scenario; raises BadFile, whose text names the faulty key."""
    try:
        value = msgspec.json.decode(data)
        if isinstance(value, dict):
            value |= {name: to for name, to in changed.items() if to is not None}
        plan = msgspec.convert(value, Scenario)
    except msgspec.ValidationError as wrong:
        said, _, at = str(wrong).partition(" - at `$")
        raise BadFile(f"{at.strip('.`') or 'the file'}: {said}") from None
    except msgspec.DecodeError as wrong:
        raise BadFile(f"the file: not JSON ({wrong})") from None
    for where, bad in (
        ("seconds", plan.seconds <= plan.warm),
        ("routers", not 1 <= plan.routers <= 40),
        ("servers.caches", not 1 <= plan.servers.caches <= 64),
        ("servers.parents", not 0 <= plan.servers.parents <= 16),
        ("load.classes", not plan.load.classes),
    ):
        if bad:
            raise BadFile(f"{where}: out of bounds")
    for n, row in enumerate(plan.load.classes):
        if row.rule not in RULES:
            raise BadFile(f"load.classes[{n}].rule: none of {', '.join(RULES)}")
        if row.rate <= 0 or row.objects < 1 or row.parts < 1 or row.tries < 1 or row.kb <= 0:
            raise BadFile(f"load.classes[{n}]: rate, kb, objects, parts and tries are above 0")
        if not 0 <= row.body <= 48_000:
            raise BadFile(f"load.classes[{n}].body: not within 0 to 48000")
    if plan.fleet is not None:
        check_fleet(plan)
    for n, fault in enumerate(plan.faults):
        if not 0 <= fault.at <= plan.seconds:
            raise BadFile(f"faults[{n}].at: not within the scenario")
        if not 0 < fault.share <= 1:
            raise BadFile(f"faults[{n}].share: not above 0 and up to 1")
    return plan


def check_fleet(plan: Scenario) -> None:
    if plan.routers < 2:
        raise BadFile("routers: a fleet has 2 or more")
    for n, ask in enumerate(plan.fleet.work):
        if not 0 <= ask.at <= plan.seconds or ask.needs_s <= 0:
            raise BadFile(f"fleet.work[{n}]: a moment within the scenario and seconds above 0 wanted")


RULES = ("pages", "media", "checkout", "ledger")


def load(name: str, seed: int | None = None, seconds: float | None = None) -> Scenario:
    """A scenario by its name here, or a file of one's own. With other `seconds` faults move along."""
    path = HERE / f"{name}.json" if not name.endswith(".json") else Path(name)
    try:
        data = path.read_bytes()
    except OSError:
        raise BadFile(f"no such scenario; there are {', '.join(names())}") from None
    plan = parse(data, seed=seed)
    if not plan.name:
        plan = msgspec.structs.replace(plan, name=path.stem)
    if seconds is None:
        return plan
    by = seconds / plan.seconds
    faults = tuple(msgspec.structs.replace(fault, at=fault.at * by, lasts=fault.lasts * by) for fault in plan.faults)
    waves = tuple((at * by, times) for at, times in plan.load.waves)
    if plan.fleet is not None:
        work = tuple(msgspec.structs.replace(ask, at=ask.at * by, drop_at=ask.drop_at * by) for ask in plan.fleet.work)
        plan = msgspec.structs.replace(plan, fleet=msgspec.structs.replace(plan.fleet, work=work))
    return msgspec.structs.replace(
        plan, seconds=seconds, warm=plan.warm * min(1.0, by), faults=faults, load=msgspec.structs.replace(plan.load, waves=waves)
    )


def names() -> list[str]:
    return sorted(path.stem for path in HERE.glob("*.json"))


def schema_text() -> str:
    return (
        json.dumps({"$schema": SCHEMA, "title": "fieldspur: a scenario of the laboratory", **msgspec.json.schema(Scenario)}, indent=2)
        + "\n"
    )
