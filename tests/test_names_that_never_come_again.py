"""Names of servers and objects that never come again: what is kept of them is bounded, and costs no more the more there were."""

import time
from types import SimpleNamespace

from helpers import settings

from fieldspur.fleet.list_overlay import ServerListOverlay
from fieldspur.net.discovery import ListChange, ListedServer
from fieldspur.site import deployment

STANDING, GONE_KEPT = 20, 256


def overlay():
    route = SimpleNamespace(site=deployment(settings()), told=[])
    route.list_received = lambda change, now=False: route.told.append(change)
    route.start_batch = route.finish_batch = lambda: None
    return ServerListOverlay(route)


def listed(name, state="up"):
    return ListedServer(name, ("127.0.0.1", 7), "east", "std", 0, state, 50.0, 0)


def renamed(found, count):
    """A server goes and another comes, so many times."""
    for n in range(count):
        found.list_received(ListChange(False, (listed(f"fresh-{n}"),)))
        found.list_received(ListChange(False, (listed(f"fresh-{n}", "gone"),)))


def test_a_fleet_s_view_of_the_list_keeps_what_stands_and_few_of_those_that_are_gone():
    """Each name that was ever listed was kept until the next complete list, and looked through with each change."""
    found = overlay()
    found.list_received(ListChange(True, tuple(listed(f"c{n}") for n in range(STANDING))))
    found.withdraw(frozenset(("c1", "fresh-3")), frozenset())
    renamed(found, 3000)
    assert len(found.servers) <= STANDING + GONE_KEPT + 1 and set(found.listings) == set(found.servers)
    assert {f"c{n}" for n in range(STANDING)} <= set(found.servers)
    assert found.listings["fresh-3"].state == "gone"  # what is out for work is told from one that was never there
    assert found.listings["fresh-2999"].state == "gone" and "fresh-4" not in found.servers
    assert not found.returned_at


def test_a_change_of_the_list_costs_a_fleet_the_same_however_many_names_came_before():
    found, took = overlay(), []
    for _ in range(2):
        began = time.perf_counter()
        renamed(found, 300)
        took.append(time.perf_counter() - began)
        renamed(found, 4000)
    assert took[1] < 5 * took[0]
