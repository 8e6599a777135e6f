"""Between the notice board and the router: what is out for work is shown to the router as draining, whatever the board says, and
what comes back from it as started when that was heard. Decides nothing: `coordinator` says which machines."""

from __future__ import annotations

import math
import threading
import time
from collections.abc import Callable

from fieldspur.decide import Fleet
from fieldspur.fleet.coordinator import EJECTED, HEALTHY, MAX_LOADS, SLOW_START
from fieldspur.fleet.work_orders import Listing
from fieldspur.net.discovery import ListChange, ListedServer
from fieldspur.permissions import Shut
from fieldspur.record import replace
from fieldspur.site import MS

SECOND = 1_000_000_000
GONE_KEPT = 256  # servers that are gone, beside those that stand
TURNED_SPAN = 4 * SECOND  # in which most of what was turned away is forgotten: single seconds of few txns tell nothing


def digits(value: float) -> float:
    """Figures that are published, without digits that mean nothing."""
    return float(f"{value:.3g}")


class ServerListOverlay:
    """Takes the board's word in the place of `route`, and hands it on."""

    def __init__(self, route):
        self.route, self.site = route, route.site
        kinds, fleet = self.site.kinds, self.site.fleet
        self.kinds = {name: "parent" if n == fleet["parent_kind"] else "cache" for n, name in enumerate(kinds) if n != fleet["origin_kind"]}
        self.lock = threading.Lock()
        self.servers: dict[str, ListedServer] = {}
        self.gone: dict[str, None] = {}  # names of those rows that are gone, in the order in which they went
        self.off: frozenset = frozenset()
        self.returned_at: dict[str, int] = {}  # machine: Unix ns at which it was heard to be back
        self.backs: frozenset = frozenset()  # (machine, number) that were heard
        self.listings: dict[str, Listing] = {}
        self.shut = self.started = False
        self.txns = (0, 0, 0)  # turned away and all so far, as of when
        self.faded = (0.0, 0.0)  # of those, what of the last seconds counts still

    # The board's side, as `Board` calls it.

    def gather(self) -> None:
        self.route.gather()

    def handle(self) -> None:
        self.route.handle()

    def purge_told(self, purge, now: bool = False) -> None:
        self.route.purge_told(purge, now)

    def list_told(self, change: ListChange, now: bool = False) -> None:
        with self.lock:  # one list change after the other; the thread of the board gathers meanwhile and waits for nobody
            if change.complete:
                self.servers, self.gone, self.listings = {}, {}, {}
            self.servers |= {row.name: row for row in change.servers}
            # A new dict each time: who goes by the listings sees by that that they are others.
            self.listings = self.listings | {row.name: self.listing(row) for row in change.servers}
            for row in change.servers:
                self.gone.pop(row.name, None)
                if row.state == "gone":
                    self.gone[row.name] = None
            self.forget_gone()
            self.route.list_told(ListChange(change.complete, tuple(map(self.as_routed, change.servers))), now)

    def listing(self, row: ListedServer) -> Listing:
        kind = self.kinds.get(row.kind, "") if row.zone in self.site.zones else ""
        return Listing(row.state, row.started // MS, "%s:%d" % row.address, row.zone, kind, row.rating)

    def forget_gone(self) -> None:
        """Of servers that are gone, those that went last are kept, and what is kept off: guards against names that never come again."""
        if len(self.gone) <= GONE_KEPT:
            return
        for name in list(self.gone)[:-GONE_KEPT]:
            if name not in self.off:
                del self.gone[name], self.servers[name], self.listings[name]
                self.returned_at.pop(name, None)

    def as_routed(self, row: ListedServer) -> ListedServer:
        if row.state == "up" and row.name in self.off:
            return replace(row, state="draining")
        return replace(row, started=self.returned_at[row.name]) if self.returned_at.get(row.name, 0) > row.started else row

    # The fleet's side.

    def withdraw(self, off: frozenset, backs: frozenset) -> None:
        """These machines are not to be used from now on; those of `backs` are back, cold from when it was heard first."""
        with self.lock:
            fresh = {machine for machine, number in backs - self.backs}
            changed = (self.off ^ off) | fresh
            if not changed:
                return
            self.off, self.backs = off, backs
            self.returned_at |= dict.fromkeys(fresh, time.time_ns() // MS * MS)
            rows = tuple(self.as_routed(self.servers[name]) for name in sorted(changed) if name in self.servers)
            self.route.gather()
            if rows:
                self.route.list_told(ListChange(False, rows))
        self.route.handle()

    def set_usage_check(self, doubt: Callable[[str], bool] | None) -> None:
        """What asks, just before each write, whether a server may be used at this very moment."""
        self.route.sender.rules.in_doubt = doubt

    def reject_all(self, yes: bool) -> None:
        """The router serves nothing while it can't know what is out."""
        if yes == self.shut:
            return
        self.shut = yes
        if not self.started:  # the start's own gate is there still
            return
        if yes:
            self.route.post(self.route.shut, Shut(), "no word of the fleet")
        else:
            self.route.post(self.route.open, "word of the fleet")

    def startup_gate_opened(self) -> None:
        """The start's gate has opened. Guards against a router that starts in doubt and serves, for its doubt was older."""
        self.started = True
        if self.shut:
            self.route.post(self.route.shut, Shut(), "no word of the fleet")

    def count_open_hops(self, machines) -> dict[str, int]:
        """Hops that are open there, and those that name it as their source."""
        found, servers = {}, self.route.router.fleet.servers
        for name in machines:
            server = servers.get(name)
            found[name] = len(server.out) + len(server.feeds) if server is not None else 0
        return found

    def request_loads(self, done: Callable[[dict, tuple], None]) -> None:
        """Posts a look at the Router, that calls `done(loads, turned)` within it."""
        self.route.post(self.looked, done)

    def looked(self, done: Callable) -> None:
        fleet: Fleet = self.route.router.fleet
        now = self.route.now()
        loads = {}
        for at, server in enumerate([*fleet.caches, *fleet.parents][:MAX_LOADS]):
            parent = at >= len(fleet.caches)
            how = (
                SLOW_START
                if fleet.is_cold(server, now)
                else HEALTHY
                if fleet.healthy(server, now) or now >= server.ejected_until
                else EJECTED
            )
            share = fleet.cold[parent][0]
            fits = server.rating if parent else max(server.fits / share, 0.01)
            load = fleet.rate(server, now)
            fills = load * SECOND / max(1.0, self.route.router.mean_work)
            loads[server.name] = [digits(fits), digits(load), digits(fills), how]
        counts, (turned, every, at) = self.route.open_txns.counts, self.txns
        self.txns = (counts["rejected"] + counts["aborted"], sum(counts[word] for word in ("completed", "rejected", "aborted")), now)
        keeps = math.exp((at - now) / TURNED_SPAN)
        self.faded = tuple(old * keeps + new - was for old, new, was in zip(self.faded, self.txns, (turned, every)))
        done(loads, tuple(digits(max(0.0, one) * SECOND / TURNED_SPAN) for one in self.faded))
