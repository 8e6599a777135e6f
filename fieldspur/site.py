"""The one place where configuration is read, checked and given defaults; builds the Router from it.

`Deployment` is what the `settings` object says and is alike for all routers of a location; `Node` is what one router
of the service is told. A value that does not do raises ConfigError, whose text begins with the path of the key.
"""

from __future__ import annotations

import json
import math

from fieldspur.decide import Collapsing, Purges, Router, ServerPool
from fieldspur.host import Host, RemapRule
from fieldspur.record import record

US, MS = 1000, 1_000_000  # configuration counts microseconds and milliseconds, the project nanoseconds
KINDS = {"idempotent": "repeatable", "deduplicated": "keyed", "at_most_once": "unrepeatable"}
LOADS = {"active": "inflight", "cpu": "util", "x0": "hits", "x1": "fetching"}  # columns of load reports
NEEDED = object()


class ConfigError(Exception):
    """Configuration that can't be used; the text names the faulty key."""


class UnreadableConfig(ConfigError):
    """The file could not be opened or read; `errno` is the system's."""

    def __init__(self, text: str, errno: int | None):
        super().__init__(text)
        self.errno = errno


class Section:
    """One object of the configuration and its path."""

    def __init__(self, value, path: str = ""):
        self.value, self.path = value, path
        if not isinstance(value, dict):
            raise ConfigError(f"{path or 'the file'}: not an object")

    def path_of(self, key: str) -> str:
        return f"{self.path}.{key}" if self.path else key

    def raw(self, key: str, kinds, what: str, default=NEEDED):
        value = self.value.get(key)
        if value is None:
            if default is NEEDED:
                raise ConfigError(f"{self.path_of(key)}: missing")
            return default
        if not isinstance(value, kinds) or (isinstance(value, bool) and kinds is not bool):
            raise ConfigError(f"{self.path_of(key)}: not {what}")
        return value

    def section(self, key: str) -> Section:
        return Section(self.raw(key, dict, "an object"), self.path_of(key))

    def sections(self, key: str) -> list[Section]:
        return [Section(row, f"{self.path_of(key)}[{n}]") for n, row in enumerate(self.raw(key, list, "a list"))]

    def number(self, key: str, default=NEEDED, minimum: float = 0.0) -> float:
        try:
            value = float(self.raw(key, (int, float), "a number", default))
        except OverflowError:
            value = math.inf
        if not math.isfinite(value) or value < minimum:
            raise ConfigError(f"{self.path_of(key)}: below {minimum:g}")
        return value

    def integer(self, key: str, default=NEEDED, minimum: int = 0) -> int:
        return int(self.number(key, default, minimum))

    def text(self, key: str, default=NEEDED) -> str:
        return self.raw(key, str, "a text", default)

    def flag(self, key: str) -> bool:
        return self.raw(key, bool, "true or false")

    def row(self, key: str, kinds, what: str, count: int | None = None) -> list:
        """A list of plain values, one for each rule where `count` says so."""
        values = self.raw(key, list, "a list")
        if not all(isinstance(v, kinds) for v in values):
            raise ConfigError(f"{self.path_of(key)}: not a list of {what}")
        if count is not None and len(values) != count:
            raise ConfigError(f"{self.path_of(key)}: {len(values)} values for {count} rules")
        return values

    def choice(self, key: str, choices: dict, default=NEEDED):
        word = self.text(key, default)
        if word not in choices:
            raise ConfigError(f"{self.path_of(key)}: none of {', '.join(choices)}")
        return choices[word]


@record(frozen=True)
class Deployment:
    """What all routers of a location are told alike."""

    rules: list[RemapRule]
    rule_names: list[str]
    zones: list[str]
    kinds: list[str]
    columns: list[str]  # of a load report, in the module's words
    pool_options: dict  # what the ServerPool is built from
    router_options: dict  # what the Router is built from, besides its parts
    gone_everywhere: int  # a purge binds no longer than this
    connect_timeout: int
    idle_timeout: int
    max_hops_per_connection: int  # on one connection
    max_open_txns: int  # txns


def deployment(value, path: str = "settings") -> Deployment:
    conf = Section(value, path)
    info, sure, may = conf.section("familyInfo"), conf.section("guarantees"), conf.section("allowed")
    rows = conf.sections("classes")
    never_kept = info.row("neverKept", (bool, int), "flags", len(rows))
    fresh = info.row("goodForUs", int, "times", len(rows))
    grace = info.row("olderByUs", int, "times", len(rows))
    stale = info.row("classStaleWorth", (int, float), "shares", len(rows))
    rules = [
        RemapRule(
            row.choice("repeat", KINDS),
            row.choice("dedupScope", {g: g for g in ("all", "zone", "cell")}, "all"),
            row.integer("memorySpanUs", 0) * US,
            row.number("worth"),
            row.number("lateWorth", 0.0),
            row.integer("aimUs") * US,
            row.number("aimStretch", 0.0),
            row.integer("hardLimitUs") * US,
            bool(never_kept[at]),
            fresh[at] * US,
            grace[at] * US,
            float(stale[at]),
        )
        for at, row in enumerate(rows)
    ]
    zone, by_zone = conf.integer("zone"), info.row("countByZone", int, "counts")
    pipes = info.row("pipeKbPerS", (int, float), "paces")
    if zone >= min(len(by_zone), len(pipes)):
        raise ConfigError(f"{conf.path_of('zone')}: not within familyInfo.countByZone and pipeKbPerS")
    pace = info.number("clientKbPerS")
    pool_options = dict(
        zone=zone,
        parent_kind=info.integer("upperKind", minimum=-1),
        origin_kind=info.integer("rootKind"),
        rating_quality=conf.text("weights"),
        cache_share=1 / max(1, by_zone[zone]),
        parent_share=1 / max(1, conf.integer("replicasOfMe")),
        cache_slow_start=(sure.number("coldFrom"), sure.integer("rampTimeUs") * US, sure.number("fallMultiple")),
        parent_slow_start=(info.number("upperColdFrom"), info.integer("parentRampUs") * US, info.number("upperFallMultiple")),
        budget_window=sure.integer("overloadForUs", minimum=1) * US,
        link_capacity=pipes[zone] / max(1.0, pace),
        siblings=info.text("siblings") != "none",
    )
    router_options = dict(
        kb_per_s=pace,
        hop_limit=may.integer("sendCap"),
        join_fills=info.flag("mergesFills"),
        probes=may.flag("probes"),
        may_cancel=may.flag("cancel"),
        max_retry_after=may.integer("maxRetryAfterUs") * US if may.flag("retryAfter") else 0,
        without_notes=info.choice("says", {"all": False, "hit": False, "none": True}, "all"),
        watch_only=conf.choice("shape", {"as-told": False, "watch": True}, "as-told"),
    )
    return Deployment(
        rules,
        [row.text("name", "") for row in rows],
        conf.row("areas", str, "names"),
        conf.row("kinds", str, "names"),
        [LOADS.get(word, word) for word in conf.section("report").row("columns", str, "names")],
        pool_options,
        router_options,
        info.integer("goneEverywhereUs") * US,
        may.integer("connectTimeoutUs", 400_000) * US,
        may.integer("idleCloseUs", 30_000_000) * US,
        max(1, may.integer("maxStreams", 100)),
        max(1, may.integer("maxOpen", 20_000)),
    )


def build_router(host: Host, seed: int, site: Deployment) -> Router:
    return Router(
        host, seed, site.rules, ServerPool(**site.pool_options), Purges(site.gone_everywhere), Collapsing(), **site.router_options
    )


@record(frozen=True)
class Node:
    """What one router of the service is told."""

    name: str
    listen: tuple[str, int]
    discovery_address: tuple[str, int]
    seed: int
    sockets: int
    memory: int  # bytes
    known_revision: int  # number of the last event in `known`
    known_events: list  # the notice board's events up to the start, as they stand in the file
    debug: bool  # log each hop
    site: Deployment


def parse_address(text: str, path: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    if not host or not (port.isascii() and port.isdigit()) or len(port) > 5 or not 0 < int(port) < 65536:
        raise ConfigError(f"{path}: not an address with a port")
    return host, int(port)


def differences(old: Node, new: Node) -> list[str]:
    """What another file says that a running router does not take over; `board` and `known` it does."""
    return [key for key in ("name", "listen", "seed", "sockets", "memory", "site") if getattr(old, key) != getattr(new, key)]


def read_node(environ) -> Node:
    """The node's configuration from LB_CONFIG's file; LB_NAME and LB_LISTEN go before what it says."""
    where = environ.get("LB_CONFIG")
    if not where:
        raise ConfigError("LB_CONFIG: missing")
    try:
        with open(where, "rb") as file:
            conf = Section(json.load(file))
    except OSError as wrong:
        raise UnreadableConfig(f"LB_CONFIG: {wrong.strerror}", wrong.errno) from None
    except (ValueError, RecursionError):
        raise ConfigError("LB_CONFIG: the file is not JSON") from None
    name = environ.get("LB_NAME") or conf.text("name")
    listen = environ.get("LB_LISTEN")
    limits, known = conf.section("limits"), conf.section("known")
    try:
        seed = int(conf.text("seed"), 16)
    except ValueError:
        raise ConfigError("seed: not a hexadecimal number") from None
    return Node(
        name,
        parse_address(listen, "LB_LISTEN") if listen else parse_address(conf.text("listen"), "listen"),
        parse_address(conf.text("board"), "board"),
        seed,
        limits.integer("sockets", minimum=24),
        limits.integer("memory_mb", minimum=16) << 20,
        known.integer("rev"),
        known.raw("notices", list, "a list"),
        environ.get("LB_LOG") == "debug",
        deployment(conf.raw("settings", dict, "an object")),
    )
