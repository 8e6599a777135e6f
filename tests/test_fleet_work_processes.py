"""Orders of work among several processes of the program, under load, with faults between them. The caches tell what reached them."""

import resource
import signal
import threading
import time

import pytest
from helpers import Client, endpoint, until

from fieldspur.fleet import work_orders

GRACE = 0.25 + 0.15  # of a drain, and of what passes through this process


class Crowd:
    """Clients that ask each router for objects without end, and when each cache was asked for what."""

    def __init__(self, fleet):
        self.fleet, self.going, self.came = fleet, True, []
        self.answers = dict.fromkeys(range(fleet.count), 0)
        self.codes = []
        for at, cache in enumerate(fleet.caches):
            cache.says = lambda want, at=at: self.says(at, want)
        self.threads = [threading.Thread(target=self.run, args=(n,), daemon=True) for n in range(fleet.count)]
        for thread in self.threads:
            thread.start()

    def says(self, at, want):
        self.came.append((time.monotonic(), f"c{at}", want.get("miss")))
        return "ACK", "entity=e,issued=1,tell=TCP_HIT", b"bytes"

    def run(self, n):
        stream = n << 20
        while self.going:
            try:
                client = Client(self.fleet.services[n].address)
                client.sock.settimeout(4)
                while self.going:
                    stream += 1
                    client.ask(stream, txn=f"{stream:016x}", item=f"{stream % 40:016x}", limit="1000")
                    got = client.get()
                    if got is None:
                        break
                    self.codes.append(got[2])
                    self.answers[n] += got[2] == 79
                    time.sleep(0.004)
            except OSError:
                time.sleep(0.1)

    def to(self, machine, since):
        return [at for at, name, source in list(self.came) if at > since and machine in (name, source)]

    def end(self):
        self.going = False
        for thread in self.threads:
            thread.join(5)


@pytest.fixture
def crowded(routers):
    made = []

    def make(*about, **more):
        fleet = routers(*about, caches=4, bounds={"zone": 0.5, "all": 0.5, "both": 1.0}, **more)
        fleet.found_fleet()
        made.append(Crowd(fleet))
        time.sleep(1.5)
        return fleet, made[-1]

    yield make
    for crowd in made:
        crowd.end()
        assert set(crowd.codes) <= {79, 66}


def restarted(fleet, machine):
    """The work is done: the board tells of a new start."""
    at = int(machine[1:])
    row = endpoint(machine, fleet.caches[at].address) | {"since_ms": int(time.time() * 1000)}
    fleet.board.tell(len(fleet.board.events) + 2, pool={"index": 1, "snapshot": False, "endpoints": [row]})


def out_since(fleet, n, machine, *states):
    until(lambda: fleet.state(n, machine) in (states or (work_orders.OUT, work_orders.FREE)), f"{machine} out")
    return time.monotonic()


def test_a_machine_goes_out_is_free_and_comes_back_cold_at_all_routers(crowded):
    fleet, crowd = crowded(3)
    fleet.request_work(1, {"machine": "c1", "needs_s": 2})
    at = out_since(fleet, 0, "c1")
    until(lambda: fleet.state(2, "c1") == work_orders.FREE, "word that it is free")
    time.sleep(1.5)
    assert not crowd.to("c1", at + GRACE) and crowd.to("c0", at + GRACE)
    restarted(fleet, "c1")
    until(lambda: all(fleet.state(n, "c1") == work_orders.DONE for n in range(3)), "its end")
    assert crowd.to("c1", at + GRACE)
    lines = fleet.services[0].lines()
    for state in (work_orders.GOING, work_orders.OUT, work_orders.FREE, work_orders.BACK):
        assert "event=work order=" in lines and f"state={state}" in lines
    assert crowd.codes.count(79) > 0.95 * len(crowd.codes)


def told_what_is_next(fleet, first, machine):
    """Of three, one that knows that the machine is next, and no more, while another was not told of that yet; calling what is given
    back with those two tells it."""
    late, told = [n for n in range(3) if n != first]
    for n in range(3):
        if n != late:
            fleet.links[late, n].cuts(True)
    fleet.request_work(first, {"machine": machine, "needs_s": 300})
    until(lambda: fleet.state(told, machine) == work_orders.NEXT, "word of what is next")
    time.sleep(0.5)
    assert fleet.state(first, machine) == work_orders.NEXT
    return told, lambda: [fleet.links[late, n].cuts(False) for n in range(3) if n != late]


def test_a_router_that_is_cut_off_keeps_off_what_was_announced_to_it_and_serves_from_the_others(crowded):
    fleet, crowd = crowded(3)
    first, _ = fleet.wait_for_coordinator()
    deaf, go = told_what_is_next(fleet, first, "c2")
    for (a, b), link in fleet.links.items():
        if deaf in (a, b):
            link.cuts(True)
    go()
    for n in (a for a in range(3) if a != deaf):
        fleet.links[n, deaf].cuts(True)
        fleet.links[deaf, n].cuts(True)
    at = out_since(fleet, first, "c2")
    served = crowd.answers[deaf]
    time.sleep(1.0)
    assert fleet.state(deaf, "c2") == work_orders.NEXT
    assert not crowd.to("c2", at + GRACE) and crowd.answers[deaf] > served
    for link in fleet.links.values():
        link.cuts(False)
    until(lambda: fleet.state(deaf, "c2") == fleet.state(first, "c2"), "the same document")


def test_a_router_that_was_stopped_meanwhile_wakes_and_uses_nothing_that_went(crowded):
    fleet, crowd = crowded(3)
    first, _ = fleet.wait_for_coordinator()
    still, go = told_what_is_next(fleet, first, "c2")
    fleet.services[still].process.send_signal(signal.SIGSTOP)
    go()
    at = out_since(fleet, first, "c2")
    time.sleep(1.0)
    fleet.services[still].process.send_signal(signal.SIGCONT)
    until(lambda: fleet.state(still, "c2") in (work_orders.OUT, work_orders.FREE), "word of what went")
    time.sleep(0.5)
    assert not crowd.to("c2", at + GRACE)


def test_what_a_stopped_router_was_not_told_of_does_not_go_before_it_hears(crowded):
    fleet, crowd = crowded(3)
    first, _ = fleet.wait_for_coordinator()
    still = (first + 1) % 3
    fleet.services[still].process.send_signal(signal.SIGSTOP)
    fleet.request_work(first, {"machine": "c3", "needs_s": 300})
    time.sleep(3)
    assert fleet.state(first, "c3") == work_orders.NEXT, fleet.orders(first)
    fleet.services[still].process.send_signal(signal.SIGCONT)
    at = out_since(fleet, first, "c3")
    time.sleep(1.0)
    assert not crowd.to("c3", at + GRACE)


def test_who_acts_is_killed_in_the_middle_and_restarted_without_memory_and_the_order_goes_on(crowded):
    fleet, crowd = crowded(3)
    first, _ = fleet.wait_for_coordinator()
    other = (first + 1) % 3
    fleet.request_work(other, {"machine": "c0", "needs_s": 2})
    until(lambda: fleet.state(other, "c0") in (work_orders.GOING, work_orders.OUT), "a machine that goes")
    fleet.kill(first)
    at = out_since(fleet, other, "c0")
    fleet.wait_for_coordinator(excluding=[first])
    fleet.restart(first)
    until(lambda: fleet.state(other, "c0") == work_orders.FREE, "word that it is free")
    fleet.services[first].client()  # it serves again, and knows what is out
    time.sleep(1.0)
    assert not crowd.to("c0", at + GRACE)
    restarted(fleet, "c0")
    until(lambda: fleet.state(other, "c0") == work_orders.DONE, "its end", 30)


def test_all_restart_one_after_the_other_with_their_folders_while_a_machine_is_out(crowded):
    fleet, crowd = crowded(3, disk=True)
    fleet.request_work(0, {"machine": "c0", "needs_s": 300})
    at = out_since(fleet, 1, "c0", work_orders.FREE)
    for n in range(3):
        fleet.kill(n)
        fleet.restart(n)
        fleet.services[n].client()
    time.sleep(1.0)
    assert not crowd.to("c0", at + GRACE) and [fleet.state(n, "c0") for n in range(3)] == [work_orders.FREE] * 3


@pytest.mark.parametrize("off", [300, -300])
def test_clocks_that_are_set_by_minutes_change_nothing_of_an_order_and_routers_go_on_serving(crowded, off):
    """First that of who acts, then that of another; agreement and leases go by a clock that nobody sets."""
    fleet, crowd = crowded(3)
    first, _ = fleet.wait_for_coordinator()
    other = (first + 1) % 3
    fleet.request_work(other, {"machine": "c1", "needs_s": 2})
    until(lambda: fleet.state(other, "c1") in (work_orders.GOING, work_orders.OUT), "a machine that goes")
    fleet.clocks[first].set(off)
    at = out_since(fleet, other, "c1")
    fleet.clocks[other].set(-off)
    until(lambda: fleet.state(other, "c1") == work_orders.FREE, "word that it is free")
    served = dict(crowd.answers)
    time.sleep(2)
    assert not crowd.to("c1", at + GRACE) and all(crowd.answers[n] > served[n] + 50 for n in range(3)), (served, crowd.answers)
    restarted(fleet, "c1")
    until(lambda: all(fleet.state(n, "c1") == work_orders.DONE for n in range(3)), "its end", 30)
    assert fleet.is_coordinator(first)


def test_a_withdrawn_order_gives_its_machine_back(crowded):
    fleet, crowd = crowded(3)
    fleet.request_work(2, {"machine": "c3", "needs_s": 300, "before": time.time() + 3600})
    out_since(fleet, 0, "c3")
    fleet.request_work(2)
    until(lambda: fleet.state(0, "c3") == work_orders.DONE, "its end")
    at = time.monotonic()
    until(lambda: crowd.to("c3", at), "something to it again")


def test_a_router_that_serves_nothing_in_doubt_turns_away_at_once_and_holds_up_no_order(crowded):
    fleet, crowd = crowded(3, unsure="turn_away")
    first, _ = fleet.wait_for_coordinator()
    alone = (first + 1) % 3
    for (a, b), link in fleet.links.items():
        if alone in (a, b):
            link.cuts(True)
    until(lambda: "event=shut" in fleet.services[alone].lines(), "a router that serves nothing")
    fleet.request_work(first, {"machine": "c1", "needs_s": 300})
    at = out_since(fleet, first, "c1")
    client = Client(fleet.services[alone].address)
    began = time.monotonic()
    client.ask(1, txn="f" * 16)
    answer = client.get()
    assert answer[2] == 66 and int(answer[3]["later"]) > 0 and time.monotonic() - began < 0.3
    fleet.kill(alone)
    fleet.restart(alone)  # that it starts anew, and hears nobody, makes it no wiser
    client = fleet.services[alone].client()
    client.ask(1, txn="e" * 16)
    said = fleet.services[alone].lines()
    assert client.get()[2] == 66 and said.rindex("event=shut") > said.rindex("event=open")
    served = crowd.answers[alone]
    for link in fleet.links.values():
        link.cuts(False)
    until(lambda: crowd.answers[alone] > served, "a router that serves again")
    time.sleep(0.5)
    assert not crowd.to("c1", at + GRACE)


def test_routers_that_follow_are_told_asked_and_counted_and_one_that_left_is_not(crowded):
    fleet, crowd = crowded(5, votes=["r0", "r1", "r2"])
    fleet.request_work(4, {"machine": "c1", "needs_s": 300})  # at one that follows
    at = out_since(fleet, 0, "c1")
    time.sleep(1.0)
    assert not crowd.to("c1", at + GRACE) and all(crowd.answers[n] for n in range(5))
    fleet.kill(3)
    fleet.request_work(0, {"machine": "c2", "needs_s": 300})
    time.sleep(3.0)
    number, orders, _ = fleet.orders(0)
    assert orders["c2"].state == work_orders.NEXT and orders["c2"].note == "r3 has not heard of it"
    fleet.fleet_settings["left"] = ["r3"]
    fleet.reload(1)
    at = out_since(fleet, 0, "c2")
    fleet.fleet_settings.pop("left")
    fleet.reload(1)
    fleet.restart(3)
    fleet.services[3].client()
    time.sleep(1.0)
    assert not crowd.to("c2", at + GRACE)
    until(lambda: crowd.answers[3] > 0 and fleet.state(0, "c2") == work_orders.FREE, "word that it is free")


def test_a_member_whose_disk_is_full_says_nothing_new_and_an_order_waits_for_it(crowded):
    fleet, crowd = crowded(3, disk=True)
    first, _ = fleet.wait_for_coordinator()
    full = (first + 1) % 3
    resource.prlimit(fleet.services[full].process.pid, resource.RLIMIT_FSIZE, (4096, resource.RLIM_INFINITY))  # no file grows past that
    fleet.request_work(first, {"machine": "c1", "needs_s": 300})
    time.sleep(3.0)
    _, orders, _ = fleet.orders(first)
    assert orders["c1"].state == work_orders.NEXT and orders["c1"].note == f"r{full} has not heard of it"
    served = crowd.answers[full]
    resource.prlimit(fleet.services[full].process.pid, resource.RLIMIT_FSIZE, (resource.RLIM_INFINITY, resource.RLIM_INFINITY))
    at = out_since(fleet, first, "c1")
    time.sleep(1.0)
    assert not crowd.to("c1", at + GRACE) and crowd.answers[full] > served
