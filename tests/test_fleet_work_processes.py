"""Work orders in a fleet of router processes, under load, with faults between them. The caches record the requests that reach them."""

import resource
import signal
import threading
import time

import pytest
from helpers import Client, endpoint, until

from fieldspur.fleet import work_orders

GRACE_S = 0.25 + 0.15  # the time that a drain allows, and delays within this test process


class ClientLoad:
    """One client for each router that requests objects in a loop, and a record of the requests that reach the caches."""

    def __init__(self, fleet):
        self.fleet, self.running, self.cache_requests = fleet, True, []  # requests: (time, cache, source of a fill)
        self.answer_counts = dict.fromkeys(range(fleet.count), 0)
        self.codes = []  # of answers to clients, 79: completed, 66: rejected
        for index, cache in enumerate(fleet.caches):
            cache.says = lambda want, index=index: self.answer(index, want)
        self.threads = [threading.Thread(target=self.run, args=(n,), daemon=True) for n in range(fleet.count)]
        for thread in self.threads:
            thread.start()

    def answer(self, index, want):
        self.cache_requests.append((time.monotonic(), f"c{index}", want.get("miss")))
        return "ACK", "entity=e,issued=1,tell=TCP_HIT", b"bytes"

    def run(self, n):
        stream = n << 20
        while self.running:
            try:
                client = Client(self.fleet.services[n].address)
                client.sock.settimeout(4)
                while self.running:
                    stream += 1
                    client.ask(stream, txn=f"{stream:016x}", item=f"{stream % 40:016x}", limit="1000")
                    answer = client.get()
                    if answer is None:
                        break
                    self.codes.append(answer[2])
                    self.answer_counts[n] += answer[2] == 79
                    time.sleep(0.004)
            except OSError:
                time.sleep(0.1)

    def requests_to(self, machine, since):
        """Times of the requests to the machine, or that name it as the source of a fill, after `since`."""
        return [received for received, name, source in list(self.cache_requests) if received > since and machine in (name, source)]

    def end(self):
        self.running = False
        for thread in self.threads:
            thread.join(5)


@pytest.fixture
def loaded_fleet(routers):
    """Makes a founded fleet with four caches under load, and checks at the end that clients got no other codes than expected."""
    loads = []

    def make(*args, **options):
        fleet = routers(*args, caches=4, bounds={"zone": 0.5, "all": 0.5, "both": 1.0}, **options)
        fleet.found_fleet()
        loads.append(ClientLoad(fleet))
        time.sleep(1.5)
        return fleet, loads[-1]

    yield make
    for load in loads:
        load.end()
        assert set(load.codes) <= {79, 66}


def list_restarted(fleet, machine):
    """The work is done: the discovery service lists the machine with a new start time."""
    index = int(machine[1:])
    row = endpoint(machine, fleet.caches[index].address) | {"since_ms": int(time.time() * 1000)}
    fleet.discovery.add_event(len(fleet.discovery.events) + 2, pool={"index": 1, "snapshot": False, "endpoints": [row]})


def wait_until_out(fleet, n, machine, *states):
    """Waits until router n knows that the machine is out, and returns the time."""
    until(lambda: fleet.state(n, machine) in (states or (work_orders.OUT, work_orders.FREE)), f"{machine} out")
    return time.monotonic()


def test_a_machine_goes_out_becomes_free_and_comes_back_in_slow_start_at_all_routers(loaded_fleet):
    fleet, load = loaded_fleet(3)
    fleet.request_work(1, {"machine": "c1", "needs_s": 2})
    out_at = wait_until_out(fleet, 0, "c1")
    until(lambda: fleet.state(2, "c1") == work_orders.FREE, "a free machine")
    time.sleep(1.5)
    assert not load.requests_to("c1", out_at + GRACE_S) and load.requests_to("c0", out_at + GRACE_S)
    list_restarted(fleet, "c1")
    until(lambda: all(fleet.state(n, "c1") == work_orders.DONE for n in range(3)), "the end of the order")
    assert load.requests_to("c1", out_at + GRACE_S)
    lines = fleet.services[0].lines()
    for state in (work_orders.GOING, work_orders.OUT, work_orders.FREE, work_orders.BACK):
        assert "event=work order=" in lines and f"state={state}" in lines
    assert load.codes.count(79) > 0.95 * len(load.codes)


def announce_to_one_router(fleet, coordinator, machine):
    """Requests work on a machine in a fleet of three such that one router besides the coordinator knows that the machine is next, and the
    third router, `late`, does not know it yet. Returns the notified router and a function that reconnects the late one."""
    late, notified = [n for n in range(3) if n != coordinator]
    for n in range(3):
        if n != late:
            fleet.links[late, n].cuts(True)
    fleet.request_work(coordinator, {"machine": machine, "needs_s": 300})
    until(lambda: fleet.state(notified, machine) == work_orders.NEXT, "the announcement of the order")
    time.sleep(0.5)
    assert fleet.state(coordinator, machine) == work_orders.NEXT
    return notified, lambda: [fleet.links[late, n].cuts(False) for n in range(3) if n != late]


def test_a_cut_off_router_does_not_use_an_announced_machine_and_serves_from_the_others(loaded_fleet):
    fleet, load = loaded_fleet(3)
    coordinator, _ = fleet.wait_for_coordinator()
    cut_off, notify_late = announce_to_one_router(fleet, coordinator, "c2")
    for (a, b), link in fleet.links.items():
        if cut_off in (a, b):
            link.cuts(True)
    notify_late()
    for n in (a for a in range(3) if a != cut_off):
        fleet.links[n, cut_off].cuts(True)
        fleet.links[cut_off, n].cuts(True)
    out_at = wait_until_out(fleet, coordinator, "c2")
    answers_before = load.answer_counts[cut_off]
    time.sleep(1.0)
    assert fleet.state(cut_off, "c2") == work_orders.NEXT
    assert not load.requests_to("c2", out_at + GRACE_S) and load.answer_counts[cut_off] > answers_before
    for link in fleet.links.values():
        link.cuts(False)
    until(lambda: fleet.state(cut_off, "c2") == fleet.state(coordinator, "c2"), "the same document")


def test_a_router_that_was_stopped_meanwhile_does_not_use_a_machine_that_went_out(loaded_fleet):
    fleet, load = loaded_fleet(3)
    coordinator, _ = fleet.wait_for_coordinator()
    stopped, notify_late = announce_to_one_router(fleet, coordinator, "c2")
    fleet.services[stopped].process.send_signal(signal.SIGSTOP)
    notify_late()
    out_at = wait_until_out(fleet, coordinator, "c2")
    time.sleep(1.0)
    fleet.services[stopped].process.send_signal(signal.SIGCONT)
    until(lambda: fleet.state(stopped, "c2") in (work_orders.OUT, work_orders.FREE), "the document by which the machine went out")
    time.sleep(0.5)
    assert not load.requests_to("c2", out_at + GRACE_S)


def test_an_order_waits_for_a_stopped_router_that_does_not_know_of_it(loaded_fleet):
    fleet, load = loaded_fleet(3)
    coordinator, _ = fleet.wait_for_coordinator()
    stopped = (coordinator + 1) % 3
    fleet.services[stopped].process.send_signal(signal.SIGSTOP)
    fleet.request_work(coordinator, {"machine": "c3", "needs_s": 300})
    time.sleep(3)
    assert fleet.state(coordinator, "c3") == work_orders.NEXT, fleet.orders(coordinator)
    fleet.services[stopped].process.send_signal(signal.SIGCONT)
    out_at = wait_until_out(fleet, coordinator, "c3")
    time.sleep(1.0)
    assert not load.requests_to("c3", out_at + GRACE_S)


def test_an_order_proceeds_when_the_coordinator_is_killed_and_restarted_without_memory(loaded_fleet):
    fleet, load = loaded_fleet(3)
    coordinator, _ = fleet.wait_for_coordinator()
    other = (coordinator + 1) % 3
    fleet.request_work(other, {"machine": "c0", "needs_s": 2})
    until(lambda: fleet.state(other, "c0") in (work_orders.GOING, work_orders.OUT), "a machine that goes out")
    fleet.kill(coordinator)
    out_at = wait_until_out(fleet, other, "c0")
    fleet.wait_for_coordinator(excluding=[coordinator])
    fleet.restart(coordinator)
    until(lambda: fleet.state(other, "c0") == work_orders.FREE, "a free machine")
    fleet.services[coordinator].client()  # waits until it serves again and knows what is out
    time.sleep(1.0)
    assert not load.requests_to("c0", out_at + GRACE_S)
    list_restarted(fleet, "c0")
    until(lambda: fleet.state(other, "c0") == work_orders.DONE, "the end of the order", 30)


def test_all_routers_restart_in_turn_with_their_folders_while_a_machine_is_out(loaded_fleet):
    fleet, load = loaded_fleet(3, disk=True)
    fleet.request_work(0, {"machine": "c0", "needs_s": 300})
    out_at = wait_until_out(fleet, 1, "c0", work_orders.FREE)
    for n in range(3):
        fleet.kill(n)
        fleet.restart(n)
        fleet.services[n].client()
    time.sleep(1.0)
    assert not load.requests_to("c0", out_at + GRACE_S) and [fleet.state(n, "c0") for n in range(3)] == [work_orders.FREE] * 3


@pytest.mark.parametrize("clock_offset_s", [300, -300])
def test_clocks_that_are_set_by_minutes_change_no_order_and_routers_continue_to_serve(loaded_fleet, clock_offset_s):
    """First the coordinator's clock is set, then that of another router. Agreement and leases use the monotonic clock, which can't be
    set."""
    fleet, load = loaded_fleet(3)
    coordinator, _ = fleet.wait_for_coordinator()
    other = (coordinator + 1) % 3
    fleet.request_work(other, {"machine": "c1", "needs_s": 2})
    until(lambda: fleet.state(other, "c1") in (work_orders.GOING, work_orders.OUT), "a machine that goes out")
    fleet.clocks[coordinator].set(clock_offset_s)
    out_at = wait_until_out(fleet, other, "c1")
    fleet.clocks[other].set(-clock_offset_s)
    until(lambda: fleet.state(other, "c1") == work_orders.FREE, "a free machine")
    answers_before = dict(load.answer_counts)
    time.sleep(2)
    assert not load.requests_to("c1", out_at + GRACE_S) and all(load.answer_counts[n] > answers_before[n] + 50 for n in range(3)), (
        answers_before,
        load.answer_counts,
    )
    list_restarted(fleet, "c1")
    until(lambda: all(fleet.state(n, "c1") == work_orders.DONE for n in range(3)), "the end of the order", 30)
    assert fleet.is_coordinator(coordinator)


def test_withdrawing_an_order_returns_its_machine(loaded_fleet):
    fleet, load = loaded_fleet(3)
    fleet.request_work(2, {"machine": "c3", "needs_s": 300, "before": time.time() + 3600})
    wait_until_out(fleet, 0, "c3")
    fleet.request_work(2)
    until(lambda: fleet.state(0, "c3") == work_orders.DONE, "the end of the order")
    back_at = time.monotonic()
    until(lambda: load.requests_to("c3", back_at), "requests to the machine again")


def test_a_router_that_serves_nothing_while_the_list_is_unknown_rejects_at_once_and_delays_no_order(loaded_fleet):
    fleet, load = loaded_fleet(3, unsure="turn_away")
    coordinator, _ = fleet.wait_for_coordinator()
    isolated = (coordinator + 1) % 3
    for (a, b), link in fleet.links.items():
        if isolated in (a, b):
            link.cuts(True)
    until(lambda: "event=shut" in fleet.services[isolated].lines(), "a router that serves nothing")
    fleet.request_work(coordinator, {"machine": "c1", "needs_s": 300})
    out_at = wait_until_out(fleet, coordinator, "c1")
    client = Client(fleet.services[isolated].address)
    began = time.monotonic()
    client.ask(1, txn="f" * 16)
    answer = client.get()
    assert answer[2] == 66 and int(answer[3]["later"]) > 0 and time.monotonic() - began < 0.3
    fleet.kill(isolated)
    fleet.restart(isolated)  # after the restart it still receives nothing, so it must go on rejecting
    client = fleet.services[isolated].client()
    client.ask(1, txn="e" * 16)
    log = fleet.services[isolated].lines()
    assert client.get()[2] == 66 and log.rindex("event=shut") > log.rindex("event=open")
    answers_before = load.answer_counts[isolated]
    for link in fleet.links.values():
        link.cuts(False)
    until(lambda: load.answer_counts[isolated] > answers_before, "a router that serves again")
    time.sleep(0.5)
    assert not load.requests_to("c1", out_at + GRACE_S)


def test_followers_are_notified_report_and_are_counted_and_one_that_left_is_not(loaded_fleet):
    fleet, load = loaded_fleet(5, votes=["r0", "r1", "r2"])
    fleet.request_work(4, {"machine": "c1", "needs_s": 300})  # at a follower
    out_at = wait_until_out(fleet, 0, "c1")
    time.sleep(1.0)
    assert not load.requests_to("c1", out_at + GRACE_S) and all(load.answer_counts[n] for n in range(5))
    fleet.kill(3)
    fleet.request_work(0, {"machine": "c2", "needs_s": 300})
    time.sleep(3.0)
    number, orders, _ = fleet.orders(0)
    assert orders["c2"].state == work_orders.NEXT and orders["c2"].note == "r3 has not heard of it"
    fleet.fleet_settings["left"] = ["r3"]
    fleet.reload(1)
    out_at = wait_until_out(fleet, 0, "c2")
    fleet.fleet_settings.pop("left")
    fleet.reload(1)
    fleet.restart(3)
    fleet.services[3].client()
    time.sleep(1.0)
    assert not load.requests_to("c2", out_at + GRACE_S)
    until(lambda: load.answer_counts[3] > 0 and fleet.state(0, "c2") == work_orders.FREE, "a free machine")


def test_a_member_whose_disk_is_full_reports_nothing_new_and_an_order_waits_for_it(loaded_fleet):
    fleet, load = loaded_fleet(3, disk=True)
    coordinator, _ = fleet.wait_for_coordinator()
    full = (coordinator + 1) % 3
    # No file of the process can grow beyond 4096 bytes.
    resource.prlimit(fleet.services[full].process.pid, resource.RLIMIT_FSIZE, (4096, resource.RLIM_INFINITY))
    fleet.request_work(coordinator, {"machine": "c1", "needs_s": 300})
    time.sleep(3.0)
    _, orders, _ = fleet.orders(coordinator)
    assert orders["c1"].state == work_orders.NEXT and orders["c1"].note == f"r{full} has not heard of it"
    answers_before = load.answer_counts[full]
    resource.prlimit(fleet.services[full].process.pid, resource.RLIMIT_FSIZE, (resource.RLIM_INFINITY, resource.RLIM_INFINITY))
    out_at = wait_until_out(fleet, coordinator, "c1")
    time.sleep(1.0)
    assert not load.requests_to("c1", out_at + GRACE_S) and load.answer_counts[full] > answers_before
