"""Several routers as processes that settle things among themselves, with a link of its own for each directed pair."""

import json
import os
import signal
import socket
import time

from helpers import Cache, Link, Notices, Service, SettableClock, settings, until

from fieldspur.bench.path import free_port
from fieldspur.fleet import register_codec, work_orders
from fieldspur.lab.soak import shim

HOST = "127.%d.%d.2" % (1 + os.getpid() // 250 % 250, 1 + os.getpid() % 250)  # else a link may connect to itself


class RouterProcesses:
    """`many` processes; member a reads member b through a link of its own. `failing`: their system calls can be made to fail (`shims`)."""

    def __init__(self, folder, many, disk=False, caches=1, failing=False, **fleet):
        self.folder, self.count, self.disk, self.fleet_settings = folder, many, disk, fleet
        library = shim.build(folder) if failing else None
        self.shims = [shim.Shim(folder, library, n, 1) for n in range(many)] if failing else []
        self.work_requests = {n: [] for n in range(many)}
        self.names = [f"r{n}" for n in range(many)]
        self.ports = [free_port(HOST) for _ in range(many)]
        self.links = {(a, b): Link((HOST, self.ports[b])) for a in range(many) for b in range(many) if a != b}
        self.clocks = [SettableClock(folder / f"clock{n}") for n in range(many)]
        self.caches, self.board = [Cache() for _ in range(caches)], Notices()
        self.services = [self.start(n) for n in range(many)]
        self.replaced_services = []

    def operators_file(self, n, **more):
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
        wishes = self.operators_file(n)
        quick = settings()
        quick["guarantees"] |= {"rampTimeUs": 1_000_000}  # from cold to full
        quick["familyInfo"] |= {"parentRampUs": 1_000_000}
        env = self.clocks[n].env | (self.shims[n].env if self.shims else {})
        return Service(self.folder / f"r{n}", self.caches, self.board, wishes, name=self.names[n], settings=quick, env=env)

    def restart(self, n):
        self.replaced_services.append(self.services[n])
        self.services[n] = self.start(n)

    def kill(self, n):
        self.services[n].process.kill()
        self.services[n].process.wait()

    def found_fleet(self, n=0):
        until(lambda: all(self.published_line(m) for m in range(self.count)), "all members")

        def begun():
            for first, wait in ((False, 0.1), (True, 0.5)):
                self.reload(n, first=first)
                time.sleep(wait)
            return "event=founding" in self.services[n].lines()

        until(begun, "a fleet that begins")
        until(lambda: all(self.published_line(m)["register"]["life"] for m in self.voters()), "all members with a life")
        return self.wait_for_coordinator()

    def reload(self, n, **more):
        self.services[n].wishes(self.operators_file(n, **more))
        self.services[n].process.send_signal(signal.SIGHUP)

    def request_work(self, n, *rows):
        """The operators' file of one router asks for this from now on."""
        self.work_requests[n] = list(rows)
        self.reload(n)

    def voters(self):
        return [n for n, name in enumerate(self.names) if name in self.fleet_settings.get("votes", self.names)]

    def orders(self, n):
        """The document on work that this member goes by: its number, orders by machine, how others ended."""
        found = work_orders.read_document(
            register_codec.freeze((self.published_line(n) or {"register": {"decided": [0, None]}})["register"]["decided"][1])
        )
        return found.number, {one.machine: one for one in found.orders}, {one.machine: one for one in found.ended}

    def state(self, n, machine):
        _, orders, ended = self.orders(n)
        return orders[machine].state if machine in orders else ended[machine].how if machine in ended else None

    def published_line(self, n):
        """The line that member n publishes now, seen as another member sees it; None where it does not."""
        time.sleep(0.05)
        try:
            with socket.create_connection((HOST, self.ports[n]), timeout=2) as sock:
                sock.sendall(b"watch 0\n")
                return json.loads(sock.makefile("rb").readline() or b"null")
        except OSError:
            return None

    def is_coordinator(self, n):
        found = [line for line in self.services[n].lines().splitlines() if "event=acting" in line or "event=acts_no_more" in line]
        return bool(found) and "event=acting" in found[-1]

    def wait_for_coordinator(self, excluding=()):
        """The one member that acts, and how long until it did."""
        began = time.monotonic()
        one = until(lambda: [n for n in range(self.count) if n not in excluding and self.is_coordinator(n)], "a member that acts")
        return one[0], time.monotonic() - began

    def end(self):
        for service in self.services + self.replaced_services:
            service.process.send_signal(signal.SIGCONT)
            service.process.kill()
            service.process.wait()
