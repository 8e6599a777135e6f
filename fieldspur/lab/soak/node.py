"""A router process of the soak: under the fault shim, with a link of its own to discovery, told to end and killed on time."""

from __future__ import annotations

import os
import random
import time

from fieldspur.bench.path import free_port
from fieldspur.lab.emulate.peer_links import Relay
from fieldspur.lab.emulate.servers import DiscoveryServer
from fieldspur.lab.runs.scenario_run import RouterProcess

HOST = "127.%d.%d.4" % (1 + os.getpid() // 250 % 250, 1 + os.getpid() % 250)  # soaks beside this one have theirs
IDLE_CLOSE_US = 5_000_000  # of connections to servers, so that they end within a run
BEFORE, AFTER = -1.0, 1e9  # the load; in place of a sample's second


class SoakRouter(RouterProcess):
    """A router under the shim, with a link of its own to discovery."""

    def __init__(self, *about):
        super().__init__(*about)
        self.address = (HOST, free_port(HOST))
        self.links: dict[DiscoveryServer, Relay] = {}
        self.settings: dict = {}  # a trouble's time until a reload, in ns
        self.ended_at = self.started_at = 0
        self.ending = False  # was told to end, and has not started again
        self.level: dict = {}  # files and threads before the load

    def discovery_port(self, discovery: DiscoveryServer) -> int:
        if discovery not in self.links:
            self.links[discovery] = Relay(
                self.world.loop, ("127.0.0.1", discovery.port), random.Random(f"{self.world.plan.seed} {self.number}")
            )
        return self.links[discovery].port

    def adjust(self, conf: dict) -> None:
        conf["listen"] = "%s:%d" % self.address
        conf["settings"]["allowed"]["idleCloseUs"] = IDLE_CLOSE_US
        for row in conf["settings"]["classes"]:
            row["hardLimitUs"] = self.deadline_us(row["hardLimitUs"])

    def deadline_us(self, allowed: int) -> int:
        """What a class that allows so much has in this soak."""
        most = self.world.plan.load.deadline_s
        return min(allowed, int(most * 1e6)) if most else allowed

    def start(self) -> None:
        self.started_at = time.monotonic()
        super().start()

    def sample(self, second: float) -> None:
        """Only where the soak asks for it: it reads much of /proc, and all else waits meanwhile."""
        if second in (BEFORE, AFTER):
            super().sample(second)

    def sleeping(self) -> bool:
        """Whether it is stopped by a fault."""
        return self.world.checker.asleep.get(self.number, 0) > self.world.loop.now()
