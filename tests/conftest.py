"""What several files of tests start."""

import pytest
from helpers import Service
from routers import Routers


@pytest.fixture
def run(tmp_path):
    made = []

    def start(*caches, **conf):
        made.append(Service(tmp_path, caches, **conf))
        return made[-1]
    yield start
    for service in made:
        service.process.kill()
        service.process.wait()
        assert "event=crashed" not in service.lines() and "event=broken" not in service.lines()


@pytest.fixture
def routers(tmp_path):
    made = []

    def make(*about, **more):
        made.append(Routers(tmp_path, *about, **more))
        return made[-1]
    yield make
    for one in made:
        one.end()
        for service in one.all:
            assert "event=crashed" not in service.lines() and "event=broken" not in service.lines()
