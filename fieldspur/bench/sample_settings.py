"""A sample node file for benches and the laboratory: four rules and, by default, one zone. Its values come from no deployment."""

from __future__ import annotations

# The remap rules; each field is a key of a class in the `settings` object.
RULES = [
    dict(name="pages", repeat="idempotent", worth=1.0, lateWorth=0.2, aimUs=400_000, aimStretch=2.0, hardLimitUs=4_000_000),
    dict(name="media", repeat="idempotent", worth=2.0, lateWorth=0.2, aimUs=900_000, aimStretch=2.0, hardLimitUs=8_000_000),
    dict(
        name="checkout",
        repeat="deduplicated",
        dedupScope="all",
        memorySpanUs=6_000_000,
        worth=10.0,
        lateWorth=0.1,
        aimUs=800_000,
        aimStretch=2.0,
        hardLimitUs=3_000_000,
    ),
    dict(name="ledger", repeat="at_most_once", worth=10.0, lateWorth=0.1, aimUs=800_000, aimStretch=2.0, hardLimitUs=3_000_000),
]
REPORT_COLUMNS = ["active", "cpu", "x0", "x1"]


def settings(rules: list | None = None, zone: int = 0, zones: tuple = ("east",), routers: int = 1, everywhere: int = 1, **more) -> dict:
    """Returns the `settings` object of a node in `zones[zone]`: `routers` in each zone, `everywhere` in all zones together."""
    rules = RULES if rules is None else rules
    cacheable = [row["repeat"] == "idempotent" for row in rules]
    return {
        "zone": zone,
        "areas": list(zones),
        "kinds": ["std", "parent", "origin"],
        "weights": "nominal",
        "replicasOfMe": everywhere,
        "classes": [dict(row) for row in rules],
        "report": {"columns": REPORT_COLUMNS},
        "familyInfo": dict(
            upperKind=1,
            rootKind=2,
            neverKept=[not can_be_cached for can_be_cached in cacheable],
            goodForUs=[0] * len(rules),
            olderByUs=[0] * len(rules),
            classStaleWorth=[0.5] * len(rules),
            countByZone=[routers] * len(zones),
            pipeKbPerS=[more.pop("pipe_kb_per_s", 0.0)] * len(zones),
            clientKbPerS=more.pop("kb_per_s", 2800.0),
            upperColdFrom=0.2,
            parentRampUs=6_000_000,
            upperFallMultiple=2.0,
            siblings="zone",
            mergesFills=True,
            goneEverywhereUs=10_000_000,
        ),
        "guarantees": dict(coldFrom=0.2, rampTimeUs=6_000_000, fallMultiple=2.5, overloadForUs=1_000_000),
        "allowed": dict(
            sendCap=4,
            probes=more.pop("probes", False),
            cancel=True,
            maxRetryAfterUs=1_000_000,
            retryAfter=True,
            connectTimeoutUs=400_000,
            idleCloseUs=30_000_000,
            maxStreams=100,
            maxOpen=20_000,
        ),
    }


def endpoint(
    name: str, port: int, kind: str = "std", zone: str = "east", status: str = "up", weight: float = 50.0, since_ms: int = 0, group: int = 0
) -> dict:
    """Returns one server of the discovery service's list; its address is on loopback."""
    return {
        "name": name,
        "address": f"127.0.0.1:{port}",
        "zone": zone,
        "type": kind,
        "group": group,
        "status": status,
        "weight": weight,
        "since_ms": since_ms,
    }


def node_file(
    listen: int,
    board: int,
    servers: list[tuple],
    name: str = "n1",
    memory_mb: int = 192,
    sockets: int = 1024,
    seed: str = "8c1f30d27a5be964",
    **more,
) -> dict:
    """Returns the content of the file that LB_CONFIG names. `servers` are (name, port, kind); `more` is passed to `settings`."""
    endpoints = [endpoint(server_name, port, kind) for server_name, port, kind in servers]
    return {
        "name": name,
        "listen": f"127.0.0.1:{listen}",
        "board": f"127.0.0.1:{board}",
        "seed": seed,
        "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
        "known": {"rev": 1, "notices": [{"rev": 1, "pool": {"index": 1, "snapshot": True, "endpoints": endpoints}}]},
        "settings": settings(**more),
    }
