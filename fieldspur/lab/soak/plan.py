"""Draws the scenario of a soak from a seed: the size of the fleet, its load, and faults of which two or three overlap at any time."""

from __future__ import annotations

import random
from dataclasses import dataclass

import msgspec

from fieldspur.lab.runs.scenario import Class, Fault, Load, Scenario, Servers

FIRST_FAULT_S = 4.0  # second of the first faults
WINDOW_S = 5.0  # faults are drawn for one window of this length after another
QUIET_S = 4.0  # at the end of the run, without new faults
KINDS_PER_SEED = 8  # kinds of faults drawn for a seed; few, so that the same kinds overlap in several ways
SPREAD_S = 1.5  # the faults of a window begin within this time
CLOCK_STEPS_S = (-3600.0, -30.0, -3.0, 3.0, 30.0, 3600.0)


@dataclass(frozen=True)
class Trouble:
    """One kind of fault: what happens, to which servers or routers, for how long and how strongly, and how often it is drawn."""

    what: str
    who: str  # "cache", "parent", "caches", "parents", "few" routers, "routers" (some), "router" (one), "all" or ""
    lasts: tuple[float, float]  # least and greatest duration in seconds
    times: tuple[float, float] = (10.0, 10.0)  # least and greatest strength, in the unit of `Fault.times`
    weight: float = 1.0


TROUBLES = (
    Trouble("die", "cache", (1.0, 3.0)),
    Trouble("silent", "cache", (1.0, 4.0)),
    Trouble("stop", "cache", (1.0, 3.0)),
    Trouble("slow", "cache", (2.0, 4.0), (4, 12)),
    Trouble("reset", "caches", (0.5, 1.5)),
    Trouble("garble", "cache", (2.0, 4.0), (5, 30)),
    Trouble("late", "cache", (2.0, 4.0), (100, 600)),
    Trouble("errors", "cache", (2.0, 4.0), (20, 70)),
    Trouble("drain", "cache", (2.0, 6.0), weight=2),
    Trouble("drain", "parent", (2.0, 4.0)),
    Trouble("restart", "cache", (0, 0), weight=3),
    Trouble("restart", "parent", (0, 0), weight=2),
    Trouble("silent", "parent", (1.0, 3.0)),
    Trouble("purge", "", (0, 0), weight=3),
    Trouble("store_slow", "", (2.0, 4.0), (3, 8)),
    Trouble("router_restart", "router", (0, 0), weight=4),
    Trouble("router_kill", "routers", (1.0, 2.0), weight=2),
    Trouble("router_pause", "routers", (0.2, 2.5), weight=3),
    Trouble("reload", "", (0, 0), weight=2),
    Trouble("board_break", "", (0, 0)),
    Trouble("watch_stall", "routers", (0.3, 2.5)),
    Trouble("watch_cut", "routers", (0.3, 2.0)),
    Trouble("net_delay", "cache", (2.0, 4.0), (20, 200)),
    Trouble("net_pieces", "caches", (2.0, 4.0)),
    Trouble("net_stall", "cache", (0.5, 2.0)),
    Trouble("net_cut", "cache", (2.0, 4.0), (2_000, 60_000)),
    Trouble("clock_step", "routers", (2.0, 8.0), weight=4),
    Trouble("accept_fails", "all", (2.0, 4.0), (100, 400), weight=2),
    Trouble("socket_fails", "all", (1.0, 3.0), (100, 400)),
    Trouble("connect_fails", "all", (1.0, 3.0), (100, 400)),
    Trouble("interrupted", "all", (2.0, 4.0), (50, 300)),
    Trouble("short_io", "all", (2.0, 4.0), (100, 500)),
    Trouble("broken_io", "routers", (1.0, 3.0), (5, 40)),
    Trouble("late_dials", "all", (2.0, 5.0), (100, 350), weight=2),
)

# Added after the incident of issue 40. They have a random generator of their own, so that a seed draws the same TROUBLES as before.
LATER_TROUBLES = (
    Trouble("mass_crash", "caches", (0.2, 2.0), (50, 200), weight=4),
    Trouble("mass_crash", "parents", (0.2, 1.5), (50, 200)),
    Trouble("list_flaps", "caches", (0.5, 2.0), weight=2),
    Trouble("list_flaps", "parents", (0.5, 1.5)),
    Trouble("crowd", "few", (2.0, 5.0), (60, 160), weight=2),
)
# Names that are used only once (issue 44), with a further random generator for the same reason.
NEWEST_TROUBLES = (Trouble("new_names", "", (2.0, 5.0), (20, 100)),)
NEWEST_SHARE = 0.3  # share of windows that have one of NEWEST_TROUBLES
LATER_SHARE = 0.6  # share of windows that have some of LATER_TROUBLES
DEADLINES = (0.0, 0.0, 1.0, 1.5, 2.0)  # s: the greatest time limit of a request; 0: as the settings say
STAYS = (0.0, 0.3, 0.7)  # shares of connections that clients use until the router has ended or is killed
MAX_CROWDED_ROUTERS = 3  # whose file descriptors idle clients use up at the same time


def fault(chance: random.Random, trouble: Trouble, at: float, routers: int, servers: Servers) -> Fault:
    """Draws a fault of a scenario of the given kind."""
    some_routers = ",".join(map(str, sorted(chance.sample(range(routers), chance.randint(1, max(1, routers // 2))))))
    few_routers = (
        ",".join(map(str, sorted(chance.sample(range(routers), min(routers, MAX_CROWDED_ROUTERS))))) if trouble.who == "few" else ""
    )
    who = {
        "cache": f"cache-{chance.randrange(servers.caches)}",
        "parent": f"parent-{chance.randrange(servers.parents)}",
        "caches": "caches",
        "parents": "parents",
        "few": few_routers,
        "routers": some_routers,
        "router": str(chance.randrange(routers)),
        "all": ",".join(map(str, range(routers))),
    }.get(trouble.who, "")
    times = chance.choice(CLOCK_STEPS_S) if trouble.what == "clock_step" else round(chance.uniform(*trouble.times), 1)
    return Fault(
        at=round(at, 2),
        what=trouble.what,
        who=who,
        lasts=round(chance.uniform(*trouble.lasts), 2),
        times=times,
        share=round(chance.uniform(0.3, 1.0), 2),
        group=-1 if chance.random() < 0.5 else chance.randrange(256),
    )


def later_faults(chance: random.Random, seconds: float, routers: int, servers: Servers) -> list[Fault]:
    """Draws one or two of LATER_TROUBLES in most windows."""
    faults, at = [], FIRST_FAULT_S
    while at < seconds - QUIET_S:
        drawn = chance.choices(LATER_TROUBLES, [trouble.weight for trouble in LATER_TROUBLES], k=chance.choice((1, 1, 2)))
        if chance.random() < LATER_SHARE:
            faults += [fault(chance, trouble, at + chance.uniform(0, SPREAD_S), routers, servers) for trouble in drawn]
        at += WINDOW_S
    return faults


def newest_faults(chance: random.Random, seconds: float, routers: int, servers: Servers) -> list[Fault]:
    """Draws one of NEWEST_TROUBLES in some windows."""
    starts = [
        FIRST_FAULT_S + WINDOW_S * window
        for window in range(int((seconds - QUIET_S - FIRST_FAULT_S) / WINDOW_S + 1))
        if seconds - QUIET_S > FIRST_FAULT_S
    ]
    return [
        fault(chance, chance.choice(NEWEST_TROUBLES), at + chance.uniform(0, SPREAD_S), routers, servers)
        for at in starts
        if chance.random() < NEWEST_SHARE
    ]


def plan(seed: int, seconds: float, routers: int | None = None) -> Scenario:
    """The scenario of a seed. The same arguments always give the same scenario."""
    chance = random.Random(f"soak {seed}")
    drawn_routers = chance.choice((10, 10, 12, 14, 16, 20, 24, 32))
    routers = routers or drawn_routers
    servers = Servers(
        caches=chance.randint(4, 9),
        parents=chance.randint(1, 3),
        rating=chance.choice((6.0, 12.0, 20.0)),
        ramp_s=chance.choice((2.0, 4.0, 6.0)),
        cold_share=chance.choice((0.1, 0.2)),
    )
    scale = chance.uniform(0.7, 1.3)
    classes = (
        Class(rule="pages", rate=90 * scale, kb=20, objects=chance.choice((60, 600)), tries=3),
        Class(rule="media", rate=12 * scale, kb=200, objects=100, parts=2, tries=2),
        Class(rule="checkout", rate=14 * scale, kb=4, tries=3),
        Class(rule="ledger", rate=8 * scale, kb=4, tries=2),
    )
    load = Load(
        classes=classes,
        connections=chance.randint(2, 8),
        bad_clients=chance.choice((0.0, 1.0, 4.0)),
        cancels=chance.choice((0.0, 0.05, 0.2)),
        hurried=chance.choice((0.0, 0.1, 0.3)),
        hang_ups=chance.choice((0.0, 0.5, 3.0)),
        churn=chance.choice((0.0, 0.2, 0.5)),
    )
    faults, at = [], FIRST_FAULT_S
    kinds = list(dict.fromkeys(chance.choices(TROUBLES, [trouble.weight for trouble in TROUBLES], k=KINDS_PER_SEED)))
    while at < seconds - QUIET_S:
        for trouble in chance.sample(kinds, min(len(kinds), chance.choice((2, 3, 3, 4)))):
            faults.append(fault(chance, trouble, at + chance.uniform(0, SPREAD_S), routers, servers))
        at += WINDOW_S
    later_chance = random.Random(f"soak later {seed}")
    faults += later_faults(later_chance, seconds, routers, servers)
    faults += newest_faults(random.Random(f"soak newest {seed}"), seconds, routers, servers)
    load = msgspec.structs.replace(load, deadline_s=later_chance.choice(DEADLINES), stays=later_chance.choice(STAYS))
    faults = [drawn_fault for drawn_fault in faults if drawn_fault.at < seconds - QUIET_S + SPREAD_S]
    return Scenario(
        name="soak",
        about="random troubles that overlap",
        seed=seed,
        seconds=seconds,
        warm=0.0,
        routers=routers,
        memory_mb=128,
        sockets=256,
        servers=servers,
        load=load,
        faults=tuple(sorted(faults, key=lambda drawn_fault: drawn_fault.at)),
    )
