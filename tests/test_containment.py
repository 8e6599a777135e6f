"""Unforeseen errors are injected. Each costs only the work in which it occurs, every request gets its one final answer, and no process
ends."""

import os
import time

import pytest
from helpers import Cache, Client, until

from fieldspur.bench.path import ROOT
from fieldspur.net import invariants
from fieldspur.net.invariants import keep_running

INJECTED_CODE = """
import itertools
from fieldspur.net.{module} import {owner}
calls, real = itertools.count(1), {owner}.{name}
def planted({arguments}):
    if next(calls) % {every} == 0:
        raise KeyError("planted")
    return real({arguments})
{owner}.{name} = planted
"""
# By what fails: ((module, class, method, arguments, every which call fails), the place where the error is to be contained).
INJECTED_ERRORS = {
    "a connection is looked for": (("connection_pool", "ConnectionPool", "connection_for", "self, hop", 2), "event"),
    "an attempt's end is decided on": (("router_host", "RouterHost", "hop_ended", "self, *about", 3), "event"),
    "a request is decided on": (("router_host", "RouterHost", "txn_arrived", "self, txn", 3), "event"),
    "an attempt is handed over": (("router_host", "RouterHost", "start_hop", "self, hop", 3), "event"),
    "a request is read": (("admission", "Admission", "handle_request", "self, *about", 5), "client"),
    "answers of a server are read": (("server_connection", "ServerConnection", "handle_replies", "self, *about", 5), "connection"),
    "an attempt is looked at before its write": (("connection_pool", "ConnectionPool", "start_attempt", "self, hop", 5), "write"),
    "the clients' list is looked through": (("client_listener", "ClientListener", "sweep", "self, now", 2), "watch"),
}


@pytest.mark.parametrize("what", INJECTED_ERRORS)
def test_an_unforeseen_error_costs_only_the_work_in_which_it_occurs(run, tmp_path, what):
    target, place = INJECTED_ERRORS[what]
    folder = tmp_path / "planted"
    folder.mkdir()
    code = INJECTED_CODE.format(**dict(zip(("module", "owner", "name", "arguments", "every"), target)))
    (folder / "sitecustomize.py").write_text(code)
    service = run(*(Cache() for _ in range(3)), env={"PYTHONPATH": os.pathsep.join([str(folder), str(ROOT)])}, contains=True)
    client, stream, statuses = service.client(), 0, []
    for number in range(40):
        stream += 1
        try:
            client.ask(stream, txn=f"{number:016x}", item=f"{number:016x}", limit="1000")
            began = time.monotonic()
            frame = client.get()
        except OSError:
            frame = None
        if frame is None or frame[0] == 66 and not frame[1]:  # this connection is not read any further; all answers on it have arrived
            client, stream = Client(service.address), 0
            continue
        assert frame[:2] == (66, stream) and time.monotonic() - began < 1.5, number
        statuses.append(frame[2])
    until(lambda: f"place={place}" in service.lines(), limit=5)
    assert len(statuses) >= 30 and statuses.count(79) >= 8, statuses
    assert service.process.poll() is None and "event=crashed" not in service.lines()
    last_client = service.client()
    last_client.ask(1, txn="f" * 16, item="f" * 16, limit="1000")
    assert last_client.get()[:2] == (66, 1)
    assert service.end() == 0


def test_keep_running_restarts_work_after_an_error_and_raises_it_when_it_never_stops(monkeypatch):
    monkeypatch.setattr(invariants, "RESTART_PAUSE_S", 0.0)
    calls = []

    def fail_twice():
        calls.append(1)
        if len(calls) < 3:
            raise ValueError("for a moment")
        return "done"

    assert keep_running("test", fail_twice) == "done"
    calls.clear()

    def fail_always():
        calls.append(1)
        raise ValueError("for ever")

    with pytest.raises(ValueError):
        keep_running("test", fail_always)
    assert len(calls) == invariants.MAX_CONSECUTIVE_ERRORS
