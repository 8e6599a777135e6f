"""The routers of a fleet as processes. Each directed pair of routers has a link of its own, so that a test can cut or stall it."""

import json
import os
import signal
import socket
import time

from helpers import Cache, DiscoveryStub, Link, Service, SettableClock, settings, until

from fieldspur.bench.path import free_port
from fieldspur.fleet import register_codec, work_orders
from fieldspur.lab.soak import shim

HOST = "127.%d.%d.2" % (1 + os.getpid() // 250 % 250, 1 + os.getpid() % 250)  # of its own, or a link could connect to itself


class RouterProcesses:
    """A fleet of `count` router processes; member a reads member b through a link of its own. `disk`: members store their registers in a
    folder. `fault_shims`: the system calls of the processes can be made to fail through `shims`. `fleet`: more keys of the fleet's
    settings."""

    def __init__(self, folder, count, disk=False, caches=1, fault_shims=False, **fleet):
        self.folder, self.count, self.disk, self.fleet_settings = folder, count, disk, fleet
        library = shim.build(folder) if fault_shims else None
        self.shims = [shim.Shim(folder, library, n, 1) for n in range(count)] if fault_shims else []
        self.work_requests = {n: [] for n in range(count)}
        self.names = [f"r{n}" for n in range(count)]
        self.ports = [free_port(HOST) for _ in range(count)]
        self.links = {(a, b): Link((HOST, self.ports[b])) for a in range(count) for b in range(count) if a != b}
        self.clocks = [SettableClock(folder / f"clock{n}") for n in range(count)]
        self.caches, self.discovery = [Cache() for _ in range(caches)], DiscoveryStub()
        self.services = [self.start(n) for n in range(count)]
        self.replaced_services = []

    def operators_file(self, n, **more):
        """The content of the operators' file of router n."""
        folder = self.folder / f"r{n}"
        folder.mkdir(exist_ok=True)
        fleet = {
            "name": "valley",
            "lease_s": 1.0,
            "work": self.work_requests[n],
            **self.fleet_settings,
            "members": {
                name: (f"{HOST}:{self.ports[m]}" if m == n else f"127.0.0.1:{self.links[n, m].port}") + f" z{m % 2}"
                for m, name in enumerate(self.names)
            },
        }
        return {"fleet": fleet | ({"folder": str(folder)} if self.disk else {}) | more}

    def start(self, n):
        operators = self.operators_file(n)
        quick_settings = settings()
        quick_settings["guarantees"] |= {"rampTimeUs": 1_000_000}  # the slow start of a cache
        quick_settings["familyInfo"] |= {"parentRampUs": 1_000_000}
        env = self.clocks[n].env | (self.shims[n].env if self.shims else {})
        return Service(self.folder / f"r{n}", self.caches, self.discovery, operators, name=self.names[n], settings=quick_settings, env=env)

    def restart(self, n):
        self.replaced_services.append(self.services[n])
        self.services[n] = self.start(n)

    def kill(self, n):
        self.services[n].process.kill()
        self.services[n].process.wait()

    def found_fleet(self, n=0):
        """Declares the fleet as new at router n, until all voting members take part. Returns what `wait_for_coordinator` returns."""
        until(lambda: all(self.published_line(m) for m in range(self.count)), "all members")

        def is_founding():
            for first, wait in ((False, 0.1), (True, 0.5)):
                self.reload(n, first=first)
                time.sleep(wait)
            return "event=founding" in self.services[n].lines()

        until(is_founding, "a fleet that begins")
        until(lambda: all(self.published_line(m)["register"]["life"] for m in self.voters()), "all members with a life")
        return self.wait_for_coordinator()

    def reload(self, n, **more):
        self.services[n].wishes(self.operators_file(n, **more))
        self.services[n].process.send_signal(signal.SIGHUP)

    def request_work(self, n, *requests):
        """Replaces the work requests in the operators' file of router n."""
        self.work_requests[n] = list(requests)
        self.reload(n)

    def voters(self):
        return [n for n, name in enumerate(self.names) if name in self.fleet_settings.get("votes", self.names)]

    def orders(self, n):
        """The work document that router n uses: its number, its open orders by machine, and its ended orders by machine."""
        document = work_orders.read_document(
            register_codec.freeze((self.published_line(n) or {"register": {"decided": [0, None]}})["register"]["decided"][1])
        )
        return document.number, {order.machine: order for order in document.orders}, {ended.machine: ended for ended in document.ended}

    def state(self, n, machine):
        _, orders, ended = self.orders(n)
        return orders[machine].state if machine in orders else ended[machine].how if machine in ended else None

    def published_line(self, n):
        """The line that router n publishes now, as another member reads it; None if it publishes none."""
        time.sleep(0.05)
        try:
            with socket.create_connection((HOST, self.ports[n]), timeout=2) as sock:
                sock.sendall(b"watch 0\n")
                return json.loads(sock.makefile("rb").readline() or b"null")
        except OSError:
            return None

    def is_coordinator(self, n):
        """Whether router n is the coordinator, by the last line in its log about this."""
        events = [line for line in self.services[n].lines().splitlines() if "event=acting" in line or "event=acts_no_more" in line]
        return bool(events) and "event=acting" in events[-1]

    def wait_for_coordinator(self, excluding=()):
        """Waits until a router is the coordinator. Returns its number and the seconds that this took."""
        began = time.monotonic()
        coordinators = until(lambda: [n for n in range(self.count) if n not in excluding and self.is_coordinator(n)], "a member that acts")
        return coordinators[0], time.monotonic() - began

    def end(self):
        for service in self.services + self.replaced_services:
            service.process.send_signal(signal.SIGCONT)
            service.process.kill()
            service.process.wait()
