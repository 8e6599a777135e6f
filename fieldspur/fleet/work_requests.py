"""What an operators' file asks for under `fleet.work`, checked. Free of I/O."""

from __future__ import annotations

import hashlib
import json
from typing import Any

from fieldspur.fleet.work_orders import MOST_NAME, MOST_ORDERS, BadOrder, WorkRequest, check

KEYS = {"machine": str, "needs_s": (int, float), "before": (int, float), "with": list, "id": str, "hold": bool, "back": bool, "drop": bool}


def parse_requests(rows: Any, path: str) -> list[WorkRequest]:
    """The wishes of the file's list; raises BadOrder, whose text begins with the path of the faulty key."""
    if len(rows) > MOST_ORDERS:
        raise BadOrder(f"{path}: {len(rows)} orders, {MOST_ORDERS} at most; take out those that are done")
    found: dict[str, WorkRequest] = {}
    machines: dict[str, str] = {}
    for n, row in enumerate(rows):
        at = f"{path}[{n}]"
        for name, value in row.items():
            if name not in KEYS:
                raise BadOrder(f"{at}.{name}: no such key; there are {', '.join(sorted(KEYS))}")
            if not isinstance(value, KEYS[name]) or isinstance(value, bool) and KEYS[name] is not bool:
                raise BadOrder(f"{at}.{name}: of another kind than wanted")
        if "machine" not in row:
            raise BadOrder(f"{at}.machine: missing")
        wish = WorkRequest(
            row.get("id") or ident(row),
            row["machine"],
            float(row.get("needs_s", 0.0)),
            float(row.get("before", 0.0)),
            tuple(row.get("with", ())),
            row.get("hold", False),
            row.get("back", False),
            row.get("drop", False),
        )
        if len(wish.ident) > MOST_NAME:
            raise BadOrder(f"{at}.id: longer than {MOST_NAME} characters")
        check(wish, at)
        if wish.ident in found:
            raise BadOrder(f"{at}: the order {wish.ident} twice")
        if not (wish.drop or wish.back):
            if wish.machine in machines:
                raise BadOrder(f"{at}.machine: {wish.machine} is asked for by {machines[wish.machine]} too")
            machines[wish.machine] = wish.ident
        found[wish.ident] = wish
    return list(found.values())


def ident(row: dict) -> str:
    """A name made from what is asked, so that the same line in two files, or read again, is the same order."""
    same = {name: row.get(name) for name in ("machine", "needs_s", "before", "with")}
    return hashlib.sha256(json.dumps(same, sort_keys=True).encode()).hexdigest()[:12]
