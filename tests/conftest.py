"""What several files of tests start, and the list of tests that are known to fail."""

import known_red
import pytest
from helpers import Service
from router_processes import RouterProcesses

KNOWN_RED = known_red.listed()


def pytest_collection_modifyitems(config, items):
    """Tests of KNOWN-RED.txt have to fail; a line that names none of a whole run is an error."""
    found = {item.nodeid: item for item in items}
    for red in KNOWN_RED:
        if red.test in found:
            found[red.test].add_marker(pytest.mark.xfail(strict=True, reason=f"KNOWN-RED: {red.cause} (issue {red.issue})"))
        elif not config.args or config.args == config.getini("testpaths"):
            raise pytest.UsageError(f"KNOWN-RED.txt: no test {red.test}")


def pytest_terminal_summary(terminalreporter):
    """Known failures are printed in every run."""
    for red in KNOWN_RED:
        terminalreporter.write_line(f"known red: {red.test}: {red.cause} (issue {red.issue})")


@pytest.fixture
def run(tmp_path):
    made = []

    def start(*caches, contains=False, **conf):
        """`contains`: errors are planted in it."""
        made.append((Service(tmp_path, caches, **conf), contains))
        return made[-1][0]

    yield start
    for service, contains in made:
        service.process.kill()
        service.process.wait()
        wrong = ("crashed", "broken") if contains else ("crashed", "broken", "contained")
        assert not any(f"event={word}" in service.lines() for word in wrong)


@pytest.fixture
def routers(tmp_path):
    made = []

    def make(*about, **more):
        made.append(RouterProcesses(tmp_path, *about, **more))
        return made[-1]

    yield make
    for one in made:
        one.end()
        for service in one.services:
            assert not any(f"event={word}" in service.lines() for word in ("crashed", "broken", "contained"))
