"""Fixtures that start services, and the handling of tests that are known to fail."""

import socket
import threading
from types import SimpleNamespace

import known_red
import pytest
from helpers import Service
from router_processes import RouterProcesses

KNOWN_RED = known_red.listed()


def pytest_collection_modifyitems(config, items):
    """Marks the tests of KNOWN-RED.txt as strict expected failures. In a run of all tests, a line that names no test is an error."""
    items_by_id = {item.nodeid: item for item in items}
    for red in KNOWN_RED:
        if red.test in items_by_id:
            items_by_id[red.test].add_marker(pytest.mark.xfail(strict=True, reason=f"KNOWN-RED: {red.cause} (issue {red.issue})"))
        elif not config.args or config.args == config.getini("testpaths"):
            raise pytest.UsageError(f"KNOWN-RED.txt: no test {red.test}")


def pytest_terminal_summary(terminalreporter):
    """Prints the known failures in every run."""
    for red in KNOWN_RED:
        terminalreporter.write_line(f"known red: {red.test}: {red.cause} (issue {red.issue})")


@pytest.fixture
def run(tmp_path):
    """Starts services, and checks at the end that none of them logged a fault."""
    started = []

    def start(*caches, contains=False, **conf):
        """`contains`: the test injects errors, so contained errors are allowed in the log."""
        started.append((Service(tmp_path, caches, **conf), contains))
        return started[-1][0]

    yield start
    for service, contains in started:
        service.process.kill()
        service.process.wait()
        fault_events = ("crashed", "broken") if contains else ("crashed", "broken", "contained")
        assert not any(f"event={event}" in service.lines() for event in fault_events)


@pytest.fixture
def routers(tmp_path):
    """Starts fleets of router processes, and checks at the end that none of them logged a fault."""
    started = []

    def start(*args, **options):
        started.append(RouterProcesses(tmp_path, *args, **options))
        return started[-1]

    yield start
    for processes in started:
        processes.end()
        for service in processes.services:
            assert not any(f"event={event}" in service.lines() for event in ("crashed", "broken", "contained"))


class SocketThatWaitsToConnect(socket.socket):
    """A socket that connects only once the event `may_connect` is set."""

    may_connect = threading.Event()

    def connect(self, address):
        assert self.may_connect.wait(10)
        super().connect(address)


@pytest.fixture
def may_connect(monkeypatch):
    """Connections to servers wait until the test sets this event."""
    may_connect = threading.Event()
    monkeypatch.setattr(SocketThatWaitsToConnect, "may_connect", may_connect)
    monkeypatch.setattr("fieldspur.net.server_connection.socket", SimpleNamespace(**vars(socket) | {"socket": SocketThatWaitsToConnect}))
    yield may_connect
    may_connect.set()
