"""A router process of the soak. It runs under the fault shim and reads discovery over a link of its own, which faults can hit."""

from __future__ import annotations

import os
import random
import time

from fieldspur.bench.path import free_port
from fieldspur.lab.emulate.peer_links import Relay
from fieldspur.lab.emulate.servers import DiscoveryServer
from fieldspur.lab.runs.scenario_run import RouterProcess

# Of its own for each laboratory process, so that soaks can run beside one another.
HOST = "127.%d.%d.4" % (1 + os.getpid() // 250 % 250, 1 + os.getpid() % 250)
IDLE_TIMEOUT_US = 5_000_000  # of connections to servers; short, so that connections end within a run
# Given in place of the second of a sample: before the load begins, and after it has ended.
BEFORE_LOAD = -1.0
AFTER_LOAD = 1e9


class SoakRouter(RouterProcess):
    """A router under the fault shim, with a link of its own to each discovery service."""

    def __init__(self, *args):
        super().__init__(*args)
        self.address = (HOST, free_port(HOST))
        self.links: dict[DiscoveryServer, Relay] = {}
        self.settings: dict = {}
        self.sigterm_at = self.started_at = 0
        self.ending = False  # has received SIGTERM and has not started again
        self.baseline: dict = {}  # its sample of resources before the load

    def discovery_port(self, discovery: DiscoveryServer) -> int:
        if discovery not in self.links:
            self.links[discovery] = Relay(
                self.world.loop, ("127.0.0.1", discovery.port), random.Random(f"{self.world.plan.seed} {self.number}")
            )
        return self.links[discovery].port

    def adjust(self, config: dict) -> None:
        config["listen"] = "%s:%d" % self.address
        config["settings"]["allowed"]["idleCloseUs"] = IDLE_TIMEOUT_US
        for rule in config["settings"]["classes"]:
            rule["hardLimitUs"] = self.deadline_us(rule["hardLimitUs"])

    def deadline_us(self, configured_us: int) -> int:
        """The time limit in this soak of a class whose settings allow `configured_us`."""
        max_deadline_s = self.world.plan.load.deadline_s
        return min(configured_us, int(max_deadline_s * 1e6)) if max_deadline_s else configured_us

    def start(self) -> None:
        self.started_at = time.monotonic()
        super().start()

    def sample(self, second: float) -> None:
        """Samples only before and after the load: reading /proc takes long and blocks the event loop meanwhile."""
        if second in (BEFORE_LOAD, AFTER_LOAD):
            super().sample(second)

    def is_stopped(self) -> bool:
        """Whether a fault has stopped the process."""
        return self.world.checker.excused_until.get(self.number, 0) > self.world.loop.now()
