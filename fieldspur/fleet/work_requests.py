"""Parses and checks the work requests under `fleet.work` of an operators' file. Free of I/O."""

from __future__ import annotations

import hashlib
import json
from typing import Any

from fieldspur.fleet.work_orders import MAX_NAME_CHARS, MAX_ORDERS, BadOrder, WorkRequest, check_request

# The keys of a request in the file, with the types of their values.
KEY_TYPES = {
    "machine": str,
    "needs_s": (int, float),
    "before": (int, float),
    "with": list,
    "id": str,
    "hold": bool,
    "back": bool,
    "drop": bool,
}


def parse_requests(rows: Any, path: str) -> list[WorkRequest]:
    """The requests in the file's list; raises BadOrder, whose text begins with the path of the faulty key."""
    if len(rows) > MAX_ORDERS:
        raise BadOrder(f"{path}: {len(rows)} orders, {MAX_ORDERS} at most; take out those that are done")
    requests: dict[str, WorkRequest] = {}  # by ident
    idents: dict[str, str] = {}  # by machine
    for n, row in enumerate(rows):
        row_path = f"{path}[{n}]"
        for name, value in row.items():
            if name not in KEY_TYPES:
                raise BadOrder(f"{row_path}.{name}: no such key; there are {', '.join(sorted(KEY_TYPES))}")
            if not isinstance(value, KEY_TYPES[name]) or isinstance(value, bool) and KEY_TYPES[name] is not bool:
                raise BadOrder(f"{row_path}.{name}: of another kind than wanted")
        if "machine" not in row:
            raise BadOrder(f"{row_path}.machine: missing")
        request = WorkRequest(
            row.get("id") or request_ident(row),
            row["machine"],
            float(row.get("needs_s", 0.0)),
            float(row.get("before", 0.0)),
            tuple(row.get("with", ())),
            row.get("hold", False),
            row.get("back", False),
            row.get("drop", False),
        )
        if len(request.ident) > MAX_NAME_CHARS:
            raise BadOrder(f"{row_path}.id: longer than {MAX_NAME_CHARS} characters")
        check_request(request, row_path)
        if request.ident in requests:
            raise BadOrder(f"{row_path}: the order {request.ident} twice")
        if not (request.drop or request.back):
            if request.machine in idents:
                raise BadOrder(f"{row_path}.machine: {request.machine} is asked for by {idents[request.machine]} too")
            idents[request.machine] = request.ident
        requests[request.ident] = request
    return list(requests.values())


def request_ident(row: dict) -> str:
    """An identifier made from the request's content, so that the same request in two files, or read again, is the same order."""
    content = {name: row.get(name) for name in ("machine", "needs_s", "before", "with")}
    return hashlib.sha256(json.dumps(content, sort_keys=True).encode()).hexdigest()[:12]
