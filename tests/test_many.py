"""Many processes of the program that share nothing: what holds for their sum. The table is docs/design/crossings.md."""

import os
import random
import threading
import time

import pytest
from helpers import Cache, Client, Notices, Service, endpoint, settings, until

HIT = ("ACK", "entity=e,issued=1,tell=TCP_HIT", b"bytes")
KB = 1120.0  # at 2800 KB a second, 0.4 s of sending, which is also what a router takes for it before it knows


class Counted(Cache):
    def __init__(self):
        self.times = []
        super().__init__(self.note)

    def note(self, want):
        self.times.append(time.time())
        return HIT


def location(many, rating):
    """Settings of a location of so many routers, with a cold cache of that size."""
    found = settings()
    found["replicasOfMe"], found["familyInfo"]["countByZone"] = many, [many]
    found["guarantees"] |= dict(coldFrom=0.2, rampTimeUs=6_000_000, fallMultiple=2.5, overloadForUs=1_000_000)
    found["allowed"] |= dict(connectTimeoutUs=400_000)
    return found


def listed(caches, rating, began):
    rows = [endpoint(f"c{n}", cache.address) | {"weight": rating} for n, cache in enumerate(caches)]
    rows[0]["since_ms"] = int(began * 1000)
    return rows + [endpoint("p0", "127.0.0.1:1", "parent"), endpoint("o", "127.0.0.1:1", "origin")]


class Load(threading.Thread):
    """One router's clients: so many txns a second, whatever comes of them, over new connections once it has been restarted."""

    def __init__(self, service, rate, seed):
        super().__init__(daemon=True)
        self.service, self.rate, self.random, self.over, self.sent = service, rate, random.Random(seed), False, 0
        self.start()

    def run(self):
        while not self.over:
            try:
                client, stream = Client(self.service.address), 0
                drain = threading.Thread(target=self.swallow, args=(client,), daemon=True)
                drain.start()
                while not self.over:
                    stream += 1
                    client.ask(stream, txn=f"{self.random.getrandbits(64):016x}", item=f"{self.random.getrandbits(64):016x}", ram=str(KB))
                    self.sent += 1
                    time.sleep(self.random.expovariate(self.rate))
            except OSError:
                time.sleep(0.05)

    def swallow(self, client):
        try:
            while client.sock.recv(65536):
                pass
        except OSError:
            pass


def begin(folder, many, caches, board, conf):
    found = []
    for n in range(many):
        (folder / f"n{n}").mkdir(exist_ok=True)
        found.append(Service(folder / f"n{n}", caches, board, name=f"n{n}", seed=f"{n + 1:x}", settings=conf))
    return found


def again(service):
    """Another process in its place, at its address."""
    folder = service.folder
    os.rename(folder / "log", folder / f"log-{service.process.pid}")
    made = Service(folder, [], service.board, **service.conf)
    return made


@pytest.fixture
def kept():
    made = []
    yield made
    for service in made:
        service.process.kill()
    for service in made:
        service.process.wait()
        assert not any(f"event={word}" in service.lines() for word in ("crashed", "broken", "contained"))


def past_budget(times, began, rating, multiple=2.5, cold=0.2, ramp=6.0, span=1.0):
    """The worst of all spans in the ramp: calls, budget, and what is past it and chance."""
    worst = (-1e9, 0, 0)
    first = 0
    for n, at in enumerate(times):
        while times[first] <= at - span:
            first += 1
        if at - began < ramp:
            budget = multiple * rating * (cold + (1 - cold) * max(0.0, at - span - began) / ramp) * span / (KB / 2800.0)
            calls = n + 1 - first
            worst = max(worst, (calls - budget - 2 * budget**0.5 - 2, calls, budget))
    return worst


@pytest.mark.parametrize("many, rating, restarts", [(20, 4.0, False), (24, 8.0, True), (30, 20.0, True)])
def test_twenty_routers_and_more_do_not_push_over_a_cold_cache_between_them(tmp_path, kept, many, rating, restarts):
    """Counted at the cache's socket. Unequal traffic, many times what the cold cache may be asked; some routers are killed and
    begin anew in the middle of its spans."""
    caches, board, conf = [Counted() for _ in range(2)], Notices(), location(many, rating)
    services = begin(tmp_path, many, caches, board, conf)
    kept += services
    for service in services:
        service.client()
    began = time.time() + 0.3
    board.tell(2, pool={"index": 2, "snapshot": True, "endpoints": listed(caches, rating, began)})
    able = 2.5 * rating / (KB / 2800.0)  # warm
    weights = [1 + n % 5 for n in range(many)]
    loads = [Load(service, max(2 * able, 300) * weight / sum(weights), n) for n, (service, weight) in enumerate(zip(services, weights))]
    dice, turn = random.Random(5), 0
    while time.time() - began < 7:
        time.sleep(0.05)
        if restarts and turn < int((time.time() - began - 1.4) / 1.5) + 1 and time.time() - began > 1.4 and turn < 3:
            turn += 1
            for n in dice.sample(range(many), many * 7 // 10):
                services[n].process.kill()
                services[n].process.wait()
                services[n] = again(services[n])
                kept.append(services[n])
                loads[n].service = services[n]
    for load in loads:
        load.over = True
    excess, calls, budget = past_budget(sorted(caches[0].times), began, rating)
    asked = sum(load.sent for load in loads)
    assert excess <= 0, f"{calls} calls in a span whose budget is {budget:.1f}"
    assert len(caches[0].times) > 0.1 * able and asked > 3 * able, (len(caches[0].times), asked)  # it is used, and more was wanted


def test_thirty_restarted_at_once_on_two_cores_without_discovery_are_ready_in_time(tmp_path, kept):
    """Nine in ten within 10 s, each within 30 s; the notice board's address takes connections and says nothing."""
    board = Notices(wait=60.0)
    cores = sorted(os.sched_getaffinity(0))[:2]
    before = os.sched_getaffinity(0)
    os.sched_setaffinity(0, cores)  # what is begun from here on has these two
    try:
        began = time.monotonic()
        services = begin(tmp_path, 30, [Cache()], board, settings())
        kept += services
        took = []

        def ready(service):
            service.client()
            took.append(time.monotonic() - began)

        threads = [threading.Thread(target=ready, args=(service,), daemon=True) for service in services]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join(40)
    finally:
        os.sched_setaffinity(0, before)
    took.sort()
    assert len(took) == 30 and took[26] < 10 and took[29] < 30, took


def test_two_processes_with_differing_settings_each_obey_their_own(tmp_path, kept):
    """Names of classes, what may be repeated, limits of time, tries and times to come back: none stands in the program."""
    caches = [[Cache(lambda want: ("EIO", "-", b"")) for _ in range(4)] for _ in range(2)]
    first, second = settings(), settings()
    second["classes"] = [
        dict(name="stamps", repeat="at_most_once", worth=9.0, lateWorth=0.0, aimUs=100_000, hardLimitUs=400_000),
        dict(name="media", repeat="deduplicated", memorySpanUs=900_000, worth=1.0, lateWorth=0.5, aimUs=50_000, hardLimitUs=700_000),
    ]
    second["familyInfo"] |= {"neverKept": [True, True]}
    second["allowed"] |= {"maxRetryAfterUs": 40_000, "sendCap": 2}
    services = []
    for n, conf in enumerate((first, second)):
        (tmp_path / f"n{n}").mkdir()
        services.append(Service(tmp_path / f"n{n}", caches[n], settings=conf, name=f"n{n}"))
    kept += services
    one, other = (service.client() for service in services)
    one.ask(1), other.ask(1, unique="k1")
    got, same = one.get(), other.get()
    assert got[2] == 66 and sum(len(cache.wants) for cache in caches[0]) == 3  # three errors end a txn that may be repeated
    assert same[2] == 66 and sum(len(cache.wants) for cache in caches[1]) == 2 and 0 < int(same[3]["later"]) <= 40
    assert int(got[3]["later"]) > 40
    one.ask(2, verb="stamps"), other.ask(2, verb="stamps")
    assert one.get()[2] == 69 and sum(len(cache.wants) for cache in caches[0]) == 3  # it has no class of that name
    assert other.get()[2] == 69 and sum(len(cache.wants) for cache in caches[1]) == 3  # it may have run: once, and no word of coming back
    for cache in caches[0] + caches[1]:
        cache.says = lambda want: None
    one.ask(3, limit="60000", verb="checkout", unique="k3")
    other.ask(3, limit="60000", verb="stamps")
    until(lambda: any(c.wants and c.wants[-1]["id"] == "%016x" % 3 for c in caches[0]))
    limits = [max(int(w["limit"]) for c in row for w in c.wants if w["id"] == "%016x" % 3) for row in caches]
    assert 2500 < limits[0] <= 3000 and 300 < limits[1] <= 400
