"""A layer between the discovery client and the router. It shows machines that are out for maintenance as draining, whatever the
discovery service lists, and machines that have come back as just started, so that they are in slow start.

This module decides nothing: `coordinator` determines which machines are out."""

from __future__ import annotations

import math
import threading
import time
from collections.abc import Callable

from fieldspur.decide import ServerPool
from fieldspur.fleet.coordinator import EJECTED, HEALTHY, MAX_LOADS, SLOW_START
from fieldspur.fleet.work_orders import Listing
from fieldspur.net.discovery import ListChange, ListedServer
from fieldspur.permissions import ClosedGate
from fieldspur.record import replace
from fieldspur.site import MS

SECOND = 1_000_000_000
MAX_GONE_SERVERS = 256  # removed servers that are remembered, besides the listed ones
# Time in which most of the earlier rejections fade from the rates: with few txns, a single second says nothing.
REJECTED_DECAY_NS = 4 * SECOND


def round_figure(value: float) -> float:
    """Rounds a figure that is published to three significant digits."""
    return float(f"{value:.3g}")


class ServerListOverlay:
    """Takes list changes from the discovery client in the place of the router host (`router_host`), and passes them on to it."""

    def __init__(self, router_host):
        self.router_host, self.site = router_host, router_host.site
        kinds, fleet = self.site.kinds, self.site.pool_options
        self.kinds = {name: "parent" if n == fleet["parent_kind"] else "cache" for n, name in enumerate(kinds) if n != fleet["origin_kind"]}
        self.lock = threading.Lock()
        self.servers: dict[str, ListedServer] = {}
        self.gone_names: dict[str, None] = {}  # names of the removed servers, in the order of their removal
        self.withdrawn: frozenset = frozenset()
        self.returned_at: dict[str, int] = {}  # machine: Unix ns at which its return was first known here
        self.returns: frozenset = frozenset()  # (machine, document number) of the returns that are known here
        self.listings: dict[str, Listing] = {}
        self.rejects_all = self.gate_opened = False
        self.total_counts = (0, 0, 0)  # rejected txns, all txns, and the time of that count in ns
        self.recent_counts = (0.0, 0.0)  # the same two counts over the last seconds, fading with time

    # Methods that the discovery client calls.

    def start_batch(self) -> None:
        self.router_host.start_batch()

    def finish_batch(self) -> None:
        self.router_host.finish_batch()

    def purge_received(self, purge, now: bool = False) -> None:
        self.router_host.purge_received(purge, now)

    def list_received(self, change: ListChange, now: bool = False) -> None:
        with self.lock:  # one list change at a time; the discovery thread collects events meanwhile and waits for nothing
            if change.complete:
                self.servers, self.gone_names, self.listings = {}, {}, {}
            self.servers |= {row.name: row for row in change.servers}
            # A new dict each time, because readers detect a change of the listings by the dict's identity.
            self.listings = self.listings | {row.name: self.listing(row) for row in change.servers}
            for row in change.servers:
                self.gone_names.pop(row.name, None)
                if row.state == "gone":
                    self.gone_names[row.name] = None
            self.forget_gone()
            self.router_host.list_received(ListChange(change.complete, tuple(map(self.row_for_router, change.servers))), now)

    def listing(self, row: ListedServer) -> Listing:
        """The listed server as the coordinator sees it; `kind` is empty for servers that work orders do not cover."""
        kind = self.kinds.get(row.kind, "") if row.zone in self.site.zones else ""
        return Listing(row.state, row.started // MS, "%s:%d" % row.address, row.zone, kind, row.rating)

    def forget_gone(self) -> None:
        """Keeps only the last removed servers, and those that are withdrawn. Otherwise names that are never listed again would use up
        memory."""
        if len(self.gone_names) <= MAX_GONE_SERVERS:
            return
        for name in list(self.gone_names)[:-MAX_GONE_SERVERS]:
            if name not in self.withdrawn:
                del self.gone_names[name], self.servers[name], self.listings[name]
                self.returned_at.pop(name, None)

    def row_for_router(self, row: ListedServer) -> ListedServer:
        """The listed server as the router is to see it."""
        if row.state == "up" and row.name in self.withdrawn:
            return replace(row, state="draining")
        return replace(row, started=self.returned_at[row.name]) if self.returned_at.get(row.name, 0) > row.started else row

    # Methods that the fleet's threads call.

    def withdraw(self, withdrawn: frozenset, returns: frozenset) -> None:
        """The router must not use the machines `withdrawn` from now on. Those of `returns` are back, and in slow start from the first time
        that this was known here."""
        with self.lock:
            new_returns = {machine for machine, number in returns - self.returns}
            changed = (self.withdrawn ^ withdrawn) | new_returns
            if not changed:
                return
            self.withdrawn, self.returns = withdrawn, returns
            self.returned_at |= dict.fromkeys(new_returns, time.time_ns() // MS * MS)
            rows = tuple(self.row_for_router(self.servers[name]) for name in sorted(changed) if name in self.servers)
            self.router_host.start_batch()
            if rows:
                self.router_host.list_received(ListChange(False, rows))
        self.router_host.finish_batch()

    def set_usage_check(self, is_uncertain: Callable[[str], bool] | None) -> None:
        """Sets the function that is called just before each write, and returns True if the server must not be used at this moment."""
        self.router_host.pool.rules.is_uncertain = is_uncertain

    def reject_all(self, rejects_all: bool) -> None:
        """Makes the router reject all txns, or serve again. Used while the list is unknown to it."""
        if rejects_all == self.rejects_all:
            return
        self.rejects_all = rejects_all
        if not self.gate_opened:  # the startup gate is still closed
            return
        if rejects_all:
            self.router_host.post(self.router_host.close_gate, ClosedGate(), "no word of the fleet")
        else:
            self.router_host.post(self.router_host.open_gate, "word of the fleet")

    def startup_gate_opened(self) -> None:
        """The startup gate has opened. Without this, a router to which the list was unknown before the gate opened would serve."""
        self.gate_opened = True
        if self.rejects_all:
            self.router_host.post(self.router_host.close_gate, ClosedGate(), "no word of the fleet")

    def count_open_hops(self, machines) -> dict[str, int]:
        """The number of hops that are open at each machine, or that name it as their source."""
        counts, servers = {}, self.router_host.router.pool.servers
        for name in machines:
            server = servers.get(name)
            counts[name] = len(server.in_flight) + len(server.sourced_hops) if server is not None else 0
        return counts

    def request_loads(self, callback: Callable[[dict, tuple], None]) -> None:
        """Asks the router host's thread to measure the loads and to call `callback(loads, rejected_rates)` there."""
        self.router_host.post(self.measure_loads, callback)

    def measure_loads(self, callback: Callable) -> None:
        """Measures the loads of all servers and the rates of rejected and of all txns. Runs in the router host's thread."""
        pool: ServerPool = self.router_host.router.pool
        now = self.router_host.now()
        loads = {}
        for index, server in enumerate([*pool.caches, *pool.parents][:MAX_LOADS]):
            is_parent = index >= len(pool.caches)
            condition = (
                SLOW_START
                if pool.in_slow_start(server, now)
                else HEALTHY
                if pool.is_healthy(server, now) or now >= server.ejected_until
                else EJECTED
            )
            share = pool.slow_start[is_parent][0]
            capacity = server.rating if is_parent else max(server.capacity / share, 0.01)
            load = pool.transfer_rate(server, now)
            fills = load * SECOND / max(1.0, self.router_host.router.mean_transfer_time)
            loads[server.name] = [round_figure(capacity), round_figure(load), round_figure(fills), condition]
        counts, (rejected, finished, counted_at) = self.router_host.open_txns.counts, self.total_counts
        self.total_counts = (
            counts["rejected"] + counts["aborted"],
            sum(counts[outcome] for outcome in ("completed", "rejected", "aborted")),
            now,
        )
        remaining_part = math.exp((counted_at - now) / REJECTED_DECAY_NS)
        self.recent_counts = tuple(
            recent * remaining_part + new - old for recent, new, old in zip(self.recent_counts, self.total_counts, (rejected, finished))
        )
        callback(loads, tuple(round_figure(max(0.0, count) * SECOND / REJECTED_DECAY_NS) for count in self.recent_counts))
