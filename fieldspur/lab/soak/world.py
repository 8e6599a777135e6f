"""Servers behind fault proxies, with the soak's faults of the network, of discovery and of many servers at once."""

from __future__ import annotations

import itertools
import random

from fieldspur.bench.path import free_port
from fieldspur.bench.sample_settings import endpoint
from fieldspur.lab.emulate.event_loop import Conn
from fieldspur.lab.emulate.fault_proxy import Proxy
from fieldspur.lab.emulate.server_model import MS, SECOND
from fieldspur.lab.emulate.servers import ServerFrontend, World

CRASH_SPREAD = 10 * MS  # the servers of a mass crash go down within this time
REMOVAL_SPREAD = 60 * MS  # discovery removes crashed servers one by one within this time
FLAP_INTERVAL_MS = 10, 30  # least and greatest time between two list changes of a flapping server


class SoakWorld(World):
    """Servers behind fault proxies, which read what routers write even while a server reads nothing."""

    SUPPORTED_FAULTS = World.SUPPORTED_FAULTS | {"net_delay", "net_pieces", "net_cut", "net_stall", "mass_crash", "list_flaps", "new_names"}
    tracks_sent_bytes = True

    def __init__(self, *args):
        self.proxies: dict[str, Proxy] = {}
        self.new_name_numbers = itertools.count(1 << 60)  # numbers for names that are used only once
        self.origins: dict[int, Conn] = {}  # connections of routers to proxies, by the local port of the proxy's connection to the server
        super().__init__(*args)

    def port_of(self, name: str) -> int:
        if name not in self.proxies:
            self.proxies[name] = Proxy(self.loop, self.fronts[name].port, random.Random(f"{self.plan.seed} {name}"), self.origins)
        return self.proxies[name].port

    def times_of(self, conn: Conn):
        origin = self.origins.get(conn.sock.getpeername()[1])
        return origin.times if origin is not None else super().times_of(conn)

    def take_down(self, name: str) -> None:
        if self.models[name].up:  # another fault may have taken the server down already
            super().take_down(name)
            self.proxies[name].take_down()

    def bring_back(self, name: str) -> None:
        if not self.models[name].up:
            self.proxies[name].bring_back()
            super().bring_back(name)

    def mass_crash(self, fault, names: list[str]):
        """All servers crash within CRASH_SPREAD. Discovery removes them, together or one by one, and lists each again when it is back, at
        the same address or at another one."""
        for name in names:
            self.loop.later(int(self.random.random() * CRASH_SPREAD), lambda name=name: self.take_down(name))
        self.loop.later(int(fault.times * MS), lambda: self.remove_crashed(names))
        return lambda: [self.return_server(name) for name in names]

    def remove_crashed(self, names: list[str]) -> None:
        crashed = [name for name in names if not self.models[name].up]
        if self.random.random() < 0.5:
            return self.announce(crashed, "removed") if crashed else None
        for name in crashed:
            self.loop.later(int(self.random.random() * REMOVAL_SPREAD), lambda name=name: self.announce([name], "removed"))

    def return_server(self, name: str) -> None:
        if self.models[name].up:  # another fault has brought the server back
            return self.announce([name], "up")
        if self.random.random() < 0.3:
            self.proxies[name].move()
        self.bring_back(name)

    def list_flaps(self, fault, names: list[str]) -> None:
        """Servers that keep running are removed from the list and listed again, some of them first with an address that refuses."""
        until = self.loop.now() + int(fault.lasts * SECOND)
        for name in names:
            self.flap(name, until)

    def flap(self, name: str, until: int) -> None:
        if self.loop.now() >= until:
            return
        self.announce([name], "removed")
        wait = self.random.randint(*FLAP_INTERVAL_MS) * MS
        if self.random.random() < 0.5:
            row = self.row(name) | {"address": "127.0.0.1:%d" % free_port()}
            self.loop.later(wait, lambda: self.announce_rows([row], "up"))
            wait += self.random.randint(*FLAP_INTERVAL_MS) * MS
        self.loop.later(wait, lambda: self.announce([name], "up"))
        self.loop.later(wait + self.random.randint(*FLAP_INTERVAL_MS) * MS, lambda: self.flap(name, until))

    def publish_new_names(self, interval: int, until: int) -> None:
        """At an interval, discovery lists and removes a draining server and purges an object, under names that are used only once."""
        name = f"passing-{next(self.new_name_numbers)}"
        row = endpoint(name, free_port(), "std", status="draining", weight=1.0, since_ms=0)
        self.discovery.publish(
            {"pool": {"index": 1, "snapshot": False, "endpoints": [row]}},
            {"pool": {"index": 1, "snapshot": False, "endpoints": [row | {"status": "removed"}]}},
            {"flush": {"asset": f"{next(self.new_name_numbers):016x}", "ms": self.loop.now() // MS}},
        )
        if self.loop.now() + interval < until:
            self.loop.later(interval, lambda: self.publish_new_names(interval, until))

    def inject_other(self, fault, names: list[str]):
        proxies = [self.proxies[name] for name in names if name in self.proxies]
        if fault.what == "net_delay":
            return self.setting(proxies, "delay", int(fault.times * MS), 0)
        if fault.what == "net_pieces":
            return self.setting(proxies, "pieces", True, False)
        if fault.what == "net_cut":
            return self.setting(proxies, "cut_after", int(fault.times), 0)
        if fault.what == "net_stall":
            for proxy in proxies:
                proxy.stall(True)
            return lambda: [proxy.stall(False) for proxy in proxies]
        if fault.what == "mass_crash":
            return self.mass_crash(fault, names)
        if fault.what == "list_flaps":
            return self.list_flaps(fault, names)
        if fault.what == "new_names":
            return self.publish_new_names(int(SECOND / fault.times), self.loop.now() + int(fault.lasts * SECOND))
        return super().inject_other(fault, names)

    @staticmethod
    def setting(proxies: list[Proxy], name: str, value, after):
        for proxy in proxies:
            setattr(proxy, name, value)
        return lambda: [setattr(proxy, name, after) for proxy in proxies]

    def unread(self, name: str) -> bool:
        """Whether the server may not read, so that the laboratory does not see a cancel that a router has written."""
        front: ServerFrontend | None = self.fronts.get(name)
        proxy = self.proxies.get(name)
        return (
            front is None
            or any(conn.paused for conn in front.conns)
            or proxy is None
            or proxy.stalled
            or proxy.delay > 0
            or any(tunnel.router.paused or tunnel.waiting for tunnel in proxy.tunnels)
        )
