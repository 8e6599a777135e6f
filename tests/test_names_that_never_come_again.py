"""Server names that are listed once and never again: the state that a fleet stores of them is bounded, and so is its cost."""

import time
from types import SimpleNamespace

from helpers import settings

from fieldspur.fleet.list_overlay import ServerListOverlay
from fieldspur.net.discovery import ListChange, ListedServer
from fieldspur.site import deployment

LISTED_COUNT = 20  # servers that stay on the list
MAX_GONE = 256  # servers that are gone and still known


def new_overlay():
    router_host = SimpleNamespace(site=deployment(settings()), changes=[])
    router_host.list_received = lambda change, now=False: router_host.changes.append(change)
    router_host.start_batch = router_host.finish_batch = lambda: None
    return ServerListOverlay(router_host)


def listed(name, state="up"):
    return ListedServer(name, ("127.0.0.1", 7), "east", "std", 0, state, 50.0, 0)


def replace_servers(overlay, count):
    """Lists `count` new servers, one after the other, and removes each of them again."""
    for n in range(count):
        overlay.list_received(ListChange(False, (listed(f"fresh-{n}"),)))
        overlay.list_received(ListChange(False, (listed(f"fresh-{n}", "gone"),)))


def test_a_fleet_stores_all_listed_servers_and_a_bounded_number_of_gone_ones():
    """Every name ever listed was stored until the next complete list, and each change went through all of them."""
    overlay = new_overlay()
    overlay.list_received(ListChange(True, tuple(listed(f"c{n}") for n in range(LISTED_COUNT))))
    overlay.withdraw(frozenset(("c1", "fresh-3")), frozenset())
    replace_servers(overlay, 3000)
    assert len(overlay.servers) <= LISTED_COUNT + MAX_GONE + 1 and set(overlay.listings) == set(overlay.servers)
    assert {f"c{n}" for n in range(LISTED_COUNT)} <= set(overlay.servers)
    assert overlay.listings["fresh-3"].state == "gone"  # a server that is out for maintenance stays known
    assert overlay.listings["fresh-2999"].state == "gone" and "fresh-4" not in overlay.servers
    assert not overlay.returned_at


def test_a_list_change_costs_a_fleet_the_same_after_many_one_off_names():
    overlay, durations = new_overlay(), []
    for _ in range(2):
        started_at = time.perf_counter()
        replace_servers(overlay, 300)
        durations.append(time.perf_counter() - started_at)
        replace_servers(overlay, 4000)
    assert durations[1] < 5 * durations[0]
