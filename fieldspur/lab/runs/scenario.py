"""Scenarios: JSON files that give the emulated servers, the load, the faults with their times, and the expected figures.

Names, defaults and bounds of the fields are the files' keys; docstrings are descriptions in the printed schema."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Literal

import msgspec

from fieldspur.operators import SCHEMA, BadFile

FOLDER = Path(__file__).with_name("scenarios")


class Part(msgspec.Struct, forbid_unknown_fields=True, kw_only=True, frozen=True):
    """A part of a scenario. Unknown keys are errors."""


class Servers(Part, kw_only=True):
    """What stands behind the routers. One location; a cache's `rating` is how many transfers run there at full pace."""

    caches: int = 4
    parents: int = 2
    cache_mb: float = 64.0  # memory of a cache, as objects' sizes count
    parent_mb: float = 512.0
    rating: float = 20.0
    parent_rating: float = 40.0
    store_rating: float = 30.0  # fills and uncacheable txns that the store serves at full speed at the same time
    store_ms: float = 20.0  # time that the store takes for one of them
    fill_places: int = 64  # concurrent fills at one cache, which refuses further ones
    ramp_s: float = 6.0  # length of the slow start
    cold_share: float = 0.2  # share of its rating that a server has just after its start
    window: int = 0  # receive buffer of a server's sockets in bytes; 0: the system's default
    segment: int = 0  # TCP segment size towards a server in bytes, as on a real network; 0: that of loopback
    fall_multiple: float = 2.5  # a server in slow start crashes after a second at this multiple of its current rating


class Class(Part, kw_only=True):
    """One kind of txns. The rule is the remap rule of that name in the settings that the laboratory makes."""

    rule: str
    rate: float  # txns per second over all routers
    kb: float = 20.0  # median size; sizes vary around it
    objects: int = 2000
    parts: int = 1
    zipf: float = 0.9  # exponent of the popularity of objects; 0: all are equally popular
    once: float = 0.05  # share of txns for objects that are requested only once
    tries: int = 2  # tries of a client, including the first
    bytes_a_kb: int = 16  # bytes sent on the socket for each KB of an object's size
    body: int = 5  # bytes of the request body of a write


class Load(Part, kw_only=True):
    classes: tuple[Class, ...]
    connections: int = 20  # of clients at each router
    bad_clients: float = 0.0  # connections per second that send invalid bytes
    slow_clients: int = 0  # connections at each router that read 4 KB per second
    waves: tuple[tuple[float, float], ...] = ()  # (from this second on, factor of the rate)
    cancels: float = 0.0  # share of requests that their clients cancel early (soak)
    hurried: float = 0.0  # share of requests with a short time limit (soak)
    churn: float = 0.0  # share of answers after which a client closes its connection if nothing is open on it (soak)
    hang_ups: float = 0.0  # connections per second that clients close while requests are open (soak)
    deadline_s: float = 0.0  # greatest time limit of a request; 0: as the settings say (soak)
    stays: float = 0.0  # share of connections that clients keep using after the router has announced its end (soak)


class Fault(Part, kw_only=True):
    """A fault of one server, of a share of the servers of a kind, or of routers and their links."""

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
    who: str = ""  # a server, "caches", "parents", routers by number, "acting" (the coordinator); links: "0>1" (0 reads from 1), "0,1|2"
    share: float = 1.0  # of the servers that `who` names
    lasts: float = 0.0  # seconds until the fault is undone; 0: it stays
    # The strength of the fault. slow and store_slow: factor of the duration; late, net_delay and late_dials: additional ms; clock_step:
    # seconds; errors, garble, link_lose: per cent; failing calls: how many of 1000; net_cut: bytes until the cut; mass_crash: ms until
    # discovery removes the servers; crowd: idle connections at each router; new_names: servers and objects per second.
    times: float = 10.0
    group: int = -1  # purge: the group to purge; below 0: all groups
    forget: bool = False  # router_kill: the router loses its state on disk


class Expect(Part, kw_only=True):
    """The expected figures of a run. A bound that is left out is always met."""

    completed: float = 0.0  # least share of txns completed, including the clients' retries
    worth: float = 0.0  # least share of importance earned; a late answer earns its rule's share
    p99_ms: float = 0.0  # greatest 99th percentile of the time of completed txns; 0: no bound
    fills: float = 0.0  # greatest number of fills at the store per txn; 0: no bound
    recovers_s: float = 0.0  # greatest time in seconds until the worth is back at 0.9 of its value before a fault; 0: no bound
    orders: float = 0.0  # least share of a fleet's orders that are done


class Ask(Part, kw_only=True):
    """A work order, requested at one router."""

    at: float
    machine: str
    needs_s: float
    router: int = 0
    beside: tuple[str, ...] = ()  # machines that must be out for maintenance together with this one
    drop_at: float = 0.0  # second at which the request is withdrawn; 0: never


class Fleet(Part, kw_only=True):
    """Routers that form a fleet, with a separate link for each directed pair of routers."""

    lease_s: float = 1.5
    folder: bool = False  # members store their state on disk
    unsure: Literal["serve", "turn_away"] = "serve"
    bounds: dict[str, float] = {}  # the bounds in the operators' file
    work: tuple[Ask, ...] = ()
    way: Literal["fleet", "hand", "untouched"] = "fleet"  # who takes machines out: the fleet, people through discovery, or nobody
    hand_at_once: int = 1  # by hand: how many machines are out together, in the order of `work`
    hand_drain_s: float = 5.0  # by hand: the time of a drain
    hand_warm_s: float = 10.0  # by hand: the time between the return of a machine and the drain of the next


class Far(Part, kw_only=True):
    """The size of the scenario in simulated time, without sockets. The rates of the load are totals over all routers."""

    routers: int = 200
    caches: int = 2000
    zones: int = 20
    parents: int = 40
    tick_ms: float = 250.0  # interval between points of the curve


class Scenario(Part, kw_only=True):
    name: str = ""
    about: str = ""
    seed: int = 1
    seconds: float = 20.0
    warm: float = 3.0  # seconds at the start that are not counted
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
            value |= {name: new for name, new in changed.items() if new is not None}
        plan = msgspec.convert(value, Scenario)
    except msgspec.ValidationError as error:
        reason, _, key_path = str(error).partition(" - at `$")
        raise BadFile(f"{key_path.strip('.`') or 'the file'}: {reason}") from None
    except msgspec.DecodeError as error:
        raise BadFile(f"the file: not JSON ({error})") from None
    for key, out_of_bounds in (
        ("seconds", plan.seconds <= plan.warm),
        ("routers", not 1 <= plan.routers <= 40),
        ("servers.caches", not 1 <= plan.servers.caches <= 64),
        ("servers.parents", not 0 <= plan.servers.parents <= 16),
        ("load.classes", not plan.load.classes),
    ):
        if out_of_bounds:
            raise BadFile(f"{key}: out of bounds")
    for index, row in enumerate(plan.load.classes):
        if row.rule not in RULES:
            raise BadFile(f"load.classes[{index}].rule: none of {', '.join(RULES)}")
        if row.rate <= 0 or row.objects < 1 or row.parts < 1 or row.tries < 1 or row.kb <= 0:
            raise BadFile(f"load.classes[{index}]: rate, kb, objects, parts and tries are above 0")
        if not 0 <= row.body <= 48_000:
            raise BadFile(f"load.classes[{index}].body: not within 0 to 48000")
    if plan.fleet is not None:
        check_fleet(plan)
    for index, fault in enumerate(plan.faults):
        if not 0 <= fault.at <= plan.seconds:
            raise BadFile(f"faults[{index}].at: not within the scenario")
        if not 0 < fault.share <= 1:
            raise BadFile(f"faults[{index}].share: not above 0 and up to 1")
    return plan


def check_fleet(plan: Scenario) -> None:
    """Raises BadFile if the fleet of a scenario or a work order of it is not possible."""
    if plan.routers < 2:
        raise BadFile("routers: a fleet has 2 or more")
    for index, ask in enumerate(plan.fleet.work):
        if not 0 <= ask.at <= plan.seconds or ask.needs_s <= 0:
            raise BadFile(f"fleet.work[{index}]: a moment within the scenario and seconds above 0 wanted")


RULES = ("pages", "media", "checkout", "ledger")


def load(name: str, seed: int | None = None, seconds: float | None = None) -> Scenario:
    """Loads a scenario by its name in this package or by the path of a JSON file. With other `seconds` all times scale."""
    path = FOLDER / f"{name}.json" if not name.endswith(".json") else Path(name)
    try:
        data = path.read_bytes()
    except OSError:
        raise BadFile(f"no such scenario; there are {', '.join(names())}") from None
    plan = parse(data, seed=seed)
    if not plan.name:
        plan = msgspec.structs.replace(plan, name=path.stem)
    if seconds is None:
        return plan
    scale = seconds / plan.seconds
    faults = tuple(msgspec.structs.replace(fault, at=fault.at * scale, lasts=fault.lasts * scale) for fault in plan.faults)
    waves = tuple((at * scale, times) for at, times in plan.load.waves)
    if plan.fleet is not None:
        work = tuple(msgspec.structs.replace(ask, at=ask.at * scale, drop_at=ask.drop_at * scale) for ask in plan.fleet.work)
        plan = msgspec.structs.replace(plan, fleet=msgspec.structs.replace(plan.fleet, work=work))
    return msgspec.structs.replace(
        plan, seconds=seconds, warm=plan.warm * min(1.0, scale), faults=faults, load=msgspec.structs.replace(plan.load, waves=waves)
    )


def names() -> list[str]:
    """The names of the scenarios in this package."""
    return sorted(path.stem for path in FOLDER.glob("*.json"))


def schema_text() -> str:
    """The JSON schema of a scenario file."""
    return (
        json.dumps({"$schema": SCHEMA, "title": "fieldspur: a scenario of the laboratory", **msgspec.json.schema(Scenario)}, indent=2)
        + "\n"
    )
