"""Limits that many independent router processes keep together. docs/design/crossings.md has the table."""

import os
import random
import threading
import time

import pytest
from helpers import Cache, Client, DiscoveryStub, Service, endpoint, settings, until

HIT = ("ACK", "entity=e,issued=1,tell=TCP_HIT", b"bytes")
TXN_KB = 1120.0  # 0.4 s of transfer at 2800 KB a second, which is also the initial guess of a router


class TimedCache(Cache):
    """A cache that records when each hop came."""

    def __init__(self):
        self.times = []
        super().__init__(self.record_time)

    def record_time(self, want):
        self.times.append(time.time())
        return HIT


def zone_settings(router_count, rating):
    """Settings of a zone with `router_count` routers and a cache in slow start."""
    zone = settings()
    zone["replicasOfMe"], zone["familyInfo"]["countByZone"] = router_count, [router_count]
    zone["guarantees"] |= dict(coldFrom=0.2, rampTimeUs=6_000_000, fallMultiple=2.5, overloadForUs=1_000_000)
    zone["allowed"] |= dict(connectTimeoutUs=400_000)
    return zone


def endpoints(caches, rating, started_at):
    rows = [endpoint(f"c{n}", cache.address) | {"weight": rating} for n, cache in enumerate(caches)]
    rows[0]["since_ms"] = int(started_at * 1000)
    return rows + [endpoint("p0", "127.0.0.1:1", "parent"), endpoint("o", "127.0.0.1:1", "origin")]


class Load(threading.Thread):
    """The clients of one router: `rate` txns a second, whose answers are not read, over a new connection after each restart of it."""

    def __init__(self, service, rate, seed):
        super().__init__(daemon=True)
        self.service, self.rate, self.random, self.stopped, self.sent = service, rate, random.Random(seed), False, 0
        self.start()

    def run(self):
        while not self.stopped:
            try:
                client, stream = Client(self.service.address), 0
                reader = threading.Thread(target=self.discard_answers, args=(client,), daemon=True)
                reader.start()
                while not self.stopped:
                    stream += 1
                    client.ask(
                        stream, txn=f"{self.random.getrandbits(64):016x}", item=f"{self.random.getrandbits(64):016x}", ram=str(TXN_KB)
                    )
                    self.sent += 1
                    time.sleep(self.random.expovariate(self.rate))
            except OSError:
                time.sleep(0.05)

    def discard_answers(self, client):
        try:
            while client.sock.recv(65536):
                pass
        except OSError:
            pass


def start_routers(folder, router_count, caches, board, conf):
    services = []
    for n in range(router_count):
        (folder / f"n{n}").mkdir(exist_ok=True)
        services.append(Service(folder / f"n{n}", caches, board, name=f"n{n}", seed=f"{n + 1:x}", settings=conf))
    return services


def restart(service):
    """Starts another process in place of one that ended, at its address."""
    folder = service.folder
    os.rename(folder / "log", folder / f"log-{service.process.pid}")
    restarted = Service(folder, [], service.discovery, **service.conf)
    return restarted


@pytest.fixture
def started_services():
    services = []
    yield services
    for service in services:
        service.process.kill()
    for service in services:
        service.process.wait()
        assert not any(f"event={word}" in service.lines() for word in ("crashed", "broken", "contained"))


def worst_excess(times, started_at, rating, multiple=2.5, start_share=0.2, ramp_s=6.0, window_s=1.0):
    """The window of the ramp with the most hops over its budget: the excess beyond what chance explains, the hops, and the budget."""
    worst = (-1e9, 0, 0)
    first = 0
    for n, at in enumerate(times):
        while times[first] <= at - window_s:
            first += 1
        if at - started_at < ramp_s:
            budget = (
                multiple
                * rating
                * (start_share + (1 - start_share) * max(0.0, at - window_s - started_at) / ramp_s)
                * window_s
                / (TXN_KB / 2800.0)
            )
            hops = n + 1 - first
            worst = max(worst, (hops - budget - 2 * budget**0.5 - 2, hops, budget))
    return worst


@pytest.mark.parametrize("router_count, rating, restarts", [(20, 4.0, False), (24, 8.0, True), (30, 20.0, True)])
def test_twenty_or_more_routers_together_do_not_overload_a_cache_in_slow_start(tmp_path, started_services, router_count, rating, restarts):
    """Hops are counted at the cache's socket. The routers get unequal traffic, many times the budget of the cache; some of them are killed
    and restarted within its budget windows."""
    caches, board, conf = [TimedCache() for _ in range(2)], DiscoveryStub(), zone_settings(router_count, rating)
    services = start_routers(tmp_path, router_count, caches, board, conf)
    started_services += services
    for service in services:
        service.client()
    started_at = time.time() + 0.3
    board.add_event(2, pool={"index": 2, "snapshot": True, "endpoints": endpoints(caches, rating, started_at)})
    capacity = 2.5 * rating / (TXN_KB / 2800.0)  # hops a second at the limit once the cache is warmed up
    weights = [1 + n % 5 for n in range(router_count)]
    loads = [Load(service, max(2 * capacity, 300) * weight / sum(weights), n) for n, (service, weight) in enumerate(zip(services, weights))]
    rng, restart_count = random.Random(5), 0
    while time.time() - started_at < 7:
        time.sleep(0.05)
        if (
            restarts
            and restart_count < int((time.time() - started_at - 1.4) / 1.5) + 1
            and time.time() - started_at > 1.4
            and restart_count < 3
        ):
            restart_count += 1
            for n in rng.sample(range(router_count), router_count * 7 // 10):
                services[n].process.kill()
                services[n].process.wait()
                services[n] = restart(services[n])
                started_services.append(services[n])
                loads[n].service = services[n]
    for load in loads:
        load.stopped = True
    excess, hops, budget = worst_excess(sorted(caches[0].times), started_at, rating)
    sent = sum(load.sent for load in loads)
    assert excess <= 0, f"{hops} hops in a window whose budget is {budget:.1f}"
    # The budget is used, and clients sent more.
    assert len(caches[0].times) > 0.1 * capacity and sent > 3 * capacity, (len(caches[0].times), sent)


def test_thirty_restarted_at_once_on_two_cores_without_discovery_are_ready_in_time(tmp_path, started_services):
    """Nine of ten are ready within 10 s, and each within 30 s, while the address of discovery accepts connections and sends nothing."""
    board = DiscoveryStub(wait=60.0)
    cores = sorted(os.sched_getaffinity(0))[:2]
    all_cores = os.sched_getaffinity(0)
    os.sched_setaffinity(0, cores)  # processes started from here on run on these two cores
    try:
        started_at = time.monotonic()
        services = start_routers(tmp_path, 30, [Cache()], board, settings())
        started_services += services
        ready_after = []

        def wait_until_ready(service):
            service.client()
            ready_after.append(time.monotonic() - started_at)

        threads = [threading.Thread(target=wait_until_ready, args=(service,), daemon=True) for service in services]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join(40)
    finally:
        os.sched_setaffinity(0, all_cores)
    ready_after.sort()
    assert len(ready_after) == 30 and ready_after[26] < 10 and ready_after[29] < 30, ready_after


def test_two_processes_with_different_settings_each_follow_their_own(tmp_path, started_services):
    """Class names, repeat rules, time limits, hop limits and retry times come from the settings; none is fixed in the program."""
    caches = [[Cache(lambda want: ("EIO", "-", b"")) for _ in range(4)] for _ in range(2)]
    first_settings, second_settings = settings(), settings()
    second_settings["classes"] = [
        dict(name="stamps", repeat="at_most_once", worth=9.0, lateWorth=0.0, aimUs=100_000, hardLimitUs=400_000),
        dict(name="media", repeat="deduplicated", memorySpanUs=900_000, worth=1.0, lateWorth=0.5, aimUs=50_000, hardLimitUs=700_000),
    ]
    second_settings["familyInfo"] |= {"neverKept": [True, True]}
    second_settings["allowed"] |= {"maxRetryAfterUs": 40_000, "sendCap": 2}
    services = []
    for n, conf in enumerate((first_settings, second_settings)):
        (tmp_path / f"n{n}").mkdir()
        services.append(Service(tmp_path / f"n{n}", caches[n], settings=conf, name=f"n{n}"))
    started_services += services
    first_client, second_client = (service.client() for service in services)
    first_client.ask(1), second_client.ask(1, unique="k1")
    first_answer, second_answer = first_client.get(), second_client.get()
    assert first_answer[2] == 66 and sum(len(cache.wants) for cache in caches[0]) == 3  # three errors end a repeatable txn
    assert second_answer[2] == 66 and sum(len(cache.wants) for cache in caches[1]) == 2 and 0 < int(second_answer[3]["later"]) <= 40
    assert int(first_answer[3]["later"]) > 40
    first_client.ask(2, verb="stamps"), second_client.ask(2, verb="stamps")
    assert first_client.get()[2] == 69 and sum(len(cache.wants) for cache in caches[0]) == 3  # the first router has no class of that name
    # The txn may have run: it is sent once, and no retry time is named.
    assert second_client.get()[2] == 69 and sum(len(cache.wants) for cache in caches[1]) == 3
    for cache in caches[0] + caches[1]:
        cache.says = lambda want: None
    first_client.ask(3, limit="60000", verb="checkout", unique="k3")
    second_client.ask(3, limit="60000", verb="stamps")
    until(lambda: any(c.wants and c.wants[-1]["id"] == "%016x" % 3 for c in caches[0]))
    limits = [max(int(w["limit"]) for c in row for w in c.wants if w["id"] == "%016x" % 3) for row in caches]
    assert 2500 < limits[0] <= 3000 and 300 < limits[1] <= 400
