"""Reads a router's configuration, checks it, fills in defaults, and builds the Router from it.

`Deployment` has the values of the `settings` object, which are the same for all routers of a location. `Node` has the values of one
router. An invalid value raises ConfigError, whose text begins with the path of the key.
"""

from __future__ import annotations

import json
import math

from fieldspur.decide import Collapsing, Purges, Router, ServerPool
from fieldspur.host import Host, RemapRule
from fieldspur.record import record

# The program counts nanoseconds; the configuration uses these units.
US = 1000
MS = 1_000_000
RULE_KINDS = {"idempotent": "repeatable", "deduplicated": "keyed", "at_most_once": "unrepeatable"}
# Names that the decision module uses, by column of a load report.
LOAD_NAMES = {"active": "inflight", "cpu": "util", "x0": "hits", "x1": "fetching"}
REQUIRED = object()  # stands in place of a default: the key has to be there


class ConfigError(Exception):
    """Configuration that can't be used. The text names the faulty key."""


class UnreadableConfig(ConfigError):
    """The file could not be opened or read. `errno` is the system's error number."""

    def __init__(self, text: str, errno: int | None):
        super().__init__(text)
        self.errno = errno


class Section:
    """One object of the configuration, with its path, which error texts name."""

    def __init__(self, value, path: str = ""):
        self.value, self.path = value, path
        if not isinstance(value, dict):
            raise ConfigError(f"{path or 'the file'}: not an object")

    def path_of(self, key: str) -> str:
        return f"{self.path}.{key}" if self.path else key

    def typed_value(self, key: str, types, description: str, default=REQUIRED):
        """The value of a key, or `default`. `description`: what the value has to be, for the error text."""
        value = self.value.get(key)
        if value is None:
            if default is REQUIRED:
                raise ConfigError(f"{self.path_of(key)}: missing")
            return default
        if not isinstance(value, types) or (isinstance(value, bool) and types is not bool):
            raise ConfigError(f"{self.path_of(key)}: not {description}")
        return value

    def section(self, key: str) -> Section:
        return Section(self.typed_value(key, dict, "an object"), self.path_of(key))

    def sections(self, key: str) -> list[Section]:
        return [Section(row, f"{self.path_of(key)}[{index}]") for index, row in enumerate(self.typed_value(key, list, "a list"))]

    def number(self, key: str, default=REQUIRED, minimum: float = 0.0) -> float:
        try:
            value = float(self.typed_value(key, (int, float), "a number", default))
        except OverflowError:
            value = math.inf
        if not math.isfinite(value) or value < minimum:
            raise ConfigError(f"{self.path_of(key)}: below {minimum:g}")
        return value

    def integer(self, key: str, default=REQUIRED, minimum: int = 0) -> int:
        return int(self.number(key, default, minimum))

    def text(self, key: str, default=REQUIRED) -> str:
        return self.typed_value(key, str, "a text", default)

    def boolean(self, key: str) -> bool:
        return self.typed_value(key, bool, "true or false")

    def typed_list(self, key: str, types, description: str, count: int | None = None) -> list:
        """A list of plain values. `count`: the number of rules, where the list has one value for each rule."""
        values = self.typed_value(key, list, "a list")
        if not all(isinstance(element, types) for element in values):
            raise ConfigError(f"{self.path_of(key)}: not a list of {description}")
        if count is not None and len(values) != count:
            raise ConfigError(f"{self.path_of(key)}: {len(values)} values for {count} rules")
        return values

    def choice(self, key: str, choices: dict, default=REQUIRED):
        name = self.text(key, default)
        if name not in choices:
            raise ConfigError(f"{self.path_of(key)}: none of {', '.join(choices)}")
        return choices[name]


@record(frozen=True)
class Deployment:
    """The settings of all routers of a location. Durations are nanoseconds."""

    rules: list[RemapRule]
    rule_names: list[str]  # in the order of `rules`
    zones: list[str]  # names, by zone number
    kinds: list[str]  # names of server kinds, by number
    columns: list[str]  # of a load report, as the decision module names them
    pool_options: dict  # arguments of ServerPool
    router_options: dict  # arguments of Router, besides its parts
    purge_lifetime: int  # after this time no server has a copy older than a purge
    connect_timeout: int  # for a connection to a server
    idle_timeout: int  # how long a connection may be idle, or sent data unacknowledged
    max_hops_per_connection: int  # in flight at a time
    max_open_txns: int


def deployment(value, path: str = "settings") -> Deployment:
    """Check the `settings` object, whose keys stay as they are in the file."""
    settings = Section(value, path)
    info, guarantees, allowed = settings.section("familyInfo"), settings.section("guarantees"), settings.section("allowed")
    classes = settings.sections("classes")
    uncacheable = info.typed_list("neverKept", (bool, int), "flags", len(classes))
    fresh_times = info.typed_list("goodForUs", int, "times", len(classes))
    grace_times = info.typed_list("olderByUs", int, "times", len(classes))
    stale_shares = info.typed_list("classStaleWorth", (int, float), "shares", len(classes))
    rules = [
        RemapRule(
            rule_class.choice("repeat", RULE_KINDS),
            rule_class.choice("dedupScope", {scope: scope for scope in ("all", "zone", "cell")}, "all"),
            rule_class.integer("memorySpanUs", 0) * US,
            rule_class.number("worth"),
            rule_class.number("lateWorth", 0.0),
            rule_class.integer("aimUs") * US,
            rule_class.number("aimStretch", 0.0),
            rule_class.integer("hardLimitUs") * US,
            bool(uncacheable[index]),
            fresh_times[index] * US,
            grace_times[index] * US,
            float(stale_shares[index]),
        )
        for index, rule_class in enumerate(classes)
    ]
    zone, routers_by_zone = settings.integer("zone"), info.typed_list("countByZone", int, "counts")
    link_rates = info.typed_list("pipeKbPerS", (int, float), "paces")
    if zone >= min(len(routers_by_zone), len(link_rates)):
        raise ConfigError(f"{settings.path_of('zone')}: not within familyInfo.countByZone and pipeKbPerS")
    client_rate = info.number("clientKbPerS")
    pool_options = dict(
        zone=zone,
        parent_kind=info.integer("upperKind", minimum=-1),
        origin_kind=info.integer("rootKind"),
        rating_quality=settings.text("weights"),
        cache_share=1 / max(1, routers_by_zone[zone]),
        parent_share=1 / max(1, settings.integer("replicasOfMe")),
        cache_slow_start=(guarantees.number("coldFrom"), guarantees.integer("rampTimeUs") * US, guarantees.number("fallMultiple")),
        parent_slow_start=(
            info.number("upperColdFrom"),
            info.integer("parentRampUs") * US,
            info.number("upperFallMultiple"),
        ),
        budget_window=guarantees.integer("overloadForUs", minimum=1) * US,
        link_capacity=link_rates[zone] / max(1.0, client_rate),
        siblings=info.text("siblings") != "none",
    )
    router_options = dict(
        kb_per_s=client_rate,
        hop_limit=allowed.integer("sendCap"),
        join_fills=info.boolean("mergesFills"),
        probes=allowed.boolean("probes"),
        may_cancel=allowed.boolean("cancel"),
        max_retry_after=allowed.integer("maxRetryAfterUs") * US if allowed.boolean("retryAfter") else 0,
        without_notes=info.choice("says", {"all": False, "hit": False, "none": True}, "all"),
        watch_only=settings.choice("shape", {"as-told": False, "watch": True}, "as-told"),
    )
    return Deployment(
        rules,
        [rule_class.text("name", "") for rule_class in classes],
        settings.typed_list("areas", str, "names"),
        settings.typed_list("kinds", str, "names"),
        [LOAD_NAMES.get(column, column) for column in settings.section("report").typed_list("columns", str, "names")],
        pool_options,
        router_options,
        info.integer("goneEverywhereUs") * US,
        allowed.integer("connectTimeoutUs", 400_000) * US,
        allowed.integer("idleCloseUs", 30_000_000) * US,
        max(1, allowed.integer("maxStreams", 100)),
        max(1, allowed.integer("maxOpen", 20_000)),
    )


def build_router(host: Host, seed: int, site: Deployment) -> Router:
    """A Router with a pool of its own, which acts through `host`."""
    return Router(host, seed, site.rules, ServerPool(**site.pool_options), Purges(site.purge_lifetime), Collapsing(), **site.router_options)


@record(frozen=True)
class Node:
    """The configuration of one router. Some field names are logged as keys that a reload does not change."""

    name: str
    listen: tuple[str, int]
    discovery_address: tuple[str, int]
    seed: int
    sockets: int  # limit of descriptors
    memory: int  # limit in bytes
    known_revision: int  # number of the last event in `known_events`
    known_events: list  # discovery's events up to the start, as they are in the file
    debug: bool  # log each hop
    site: Deployment


def parse_address(text: str, path: str) -> tuple[str, int]:
    """Host and port of "HOST:PORT". `path`: the key, for the error text."""
    host, _, port = text.rpartition(":")
    if not host or not (port.isascii() and port.isdigit()) or len(port) > 5 or not 0 < int(port) < 65536:
        raise ConfigError(f"{path}: not an address with a port")
    return host, int(port)


def differences(old: Node, new: Node) -> list[str]:
    """Keys of changed values that a running router does not apply. It applies a changed discovery address and `known_events`."""
    return [key for key in ("name", "listen", "seed", "sockets", "memory", "site") if getattr(old, key) != getattr(new, key)]


def read_node(environ) -> Node:
    """The configuration in the file that LB_CONFIG names. LB_NAME and LB_LISTEN override its values."""
    config_path = environ.get("LB_CONFIG")
    if not config_path:
        raise ConfigError("LB_CONFIG: missing")
    try:
        with open(config_path, "rb") as file:
            config = Section(json.load(file))
    except OSError as error:
        raise UnreadableConfig(f"LB_CONFIG: {error.strerror}", error.errno) from None
    except (ValueError, RecursionError):
        raise ConfigError("LB_CONFIG: the file is not JSON") from None
    name = environ.get("LB_NAME") or config.text("name")
    listen = environ.get("LB_LISTEN")
    limits, known = config.section("limits"), config.section("known")
    try:
        seed = int(config.text("seed"), 16)
    except ValueError:
        raise ConfigError("seed: not a hexadecimal number") from None
    return Node(
        name,
        parse_address(listen, "LB_LISTEN") if listen else parse_address(config.text("listen"), "listen"),
        parse_address(config.text("board"), "board"),
        seed,
        limits.integer("sockets", minimum=24),
        limits.integer("memory_mb", minimum=16) << 20,
        known.integer("rev"),
        known.typed_value("notices", list, "a list"),
        environ.get("LB_LOG") == "debug",
        deployment(config.typed_value("settings", dict, "an object")),
    )
