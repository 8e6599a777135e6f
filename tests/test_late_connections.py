"""Attempts that wait for a connection, and what discovery reports meanwhile: they are decided anew, or not written.

Guards against a purge that does not apply to an attempt decided before it. Two counts of the purges were compared, and the purges of the
configuration were in one of them only: with one such purge, an attempt that waited for its connection went out 0.89 s after a later purge
of its object, and its client was served a copy from before that purge."""

import socket
import threading
import time

import pytest
from helpers import Cache, clock, endpoint, sender, settings, until
from test_crossings import staying_client_writer

from fieldspur.decide import MS, SECOND
from fieldspur.net.discovery import ListChange, ListedServer, Purge
from fieldspur.net.open_txns import OpenTxns, Txn
from fieldspur.net.router_host import RouterHost
from fieldspur.permissions import HopRules, Refusal
from fieldspur.site import deployment

ITEM, OTHER_ITEM = "a" * 16, "b" * 16
GROUP, OTHER_GROUP = 7, 8
COPY_AGE_S = 2.0  # age of the copy that the cache has, long before each purge
PURGES = {"object": (ITEM, -1), "group": (None, GROUP)}
OTHER_PURGES = {"object": (OTHER_ITEM, -1), "group": (None, OTHER_GROUP)}


def purge(about):
    return Purge(*about, clock())


class LateServers:
    """A Router in this process, with cache servers whose connections come up once `may_connect` is set."""

    def __init__(self, may_connect, known_purges=(), connect_timeout_us=5_000_000):
        self.may_connect = may_connect
        self.caches = {name: Cache() for name in ("c0", "c1")}
        self.open_txns = OpenTxns()
        self.pool = sender(self.caches["c0"].address, state="gone", open_txns=self.open_txns)
        deployment_settings = settings()
        deployment_settings["allowed"]["connectTimeoutUs"] = connect_timeout_us
        self.pool.site = deployment(deployment_settings)
        self.pool.rules.connect_limit = self.pool.site.connect_timeout
        self.router_host = RouterHost(self.pool.site, 1, self.open_txns, self.pool.answer_sender, self.pool)
        servers = (self.listed("c0"), self.listed("p0", "parent"), self.listed("o", "origin"))
        self.router_host.list_received(ListChange(True, servers), at_start=True)
        for about in known_purges:
            self.router_host.purge_received(purge(about), at_start=True)

    def listed(self, name, kind="std", state="up", started=0):
        address = self.caches[name].address if name in self.caches else "127.0.0.1:1"
        host, port = address.split(":")
        return ListedServer(name, (host, int(port)), "east", kind, 0, state, 50.0, started)

    def list_change(self, *servers):
        self.router_host.list_received(ListChange(False, servers))

    def request(self, ident=1, rule="media"):
        """A txn arrives. Its attempt waits for a connection to c0."""
        client_writer, now = staying_client_writer(self.pool), clock()
        rule_index = ["media", "checkout"].index(rule)
        key = "k" * 8 if rule == "checkout" else None
        txn = Txn(ident, f"{ident:016x}", rule_index, rule, ITEM, 0, GROUP, 100.0, key, None, b"", now, now + 3 * SECOND, client_writer, 1)
        self.open_txns.add(txn)
        assert client_writer.open_stream(1, ident)
        self.router_host.post(self.router_host.txn_arrived, txn)

    def come_up(self):
        """Connections come up. Returns the attempt that is written, after it was answered."""
        self.may_connect.set()
        until(lambda: not self.open_txns.by_id)
        (want,) = [want for cache in self.caches.values() for want in cache.wants]
        return want

    def refusals(self):
        return {reason for reason, count in self.pool.refusals.by_reason.items() if count}


KNOWN = {
    "nothing": (),
    "another object": [OTHER_PURGES["object"]],
    "another group": [OTHER_PURGES["group"]],
    "this object": [PURGES["object"]],
    "many": [OTHER_PURGES["object"], OTHER_PURGES["group"], PURGES["group"]] * 20,
}


@pytest.mark.parametrize("known", KNOWN)
@pytest.mark.parametrize("about", PURGES)
def test_a_purge_applies_to_an_attempt_that_waits_for_its_connection_whatever_purges_were_known_before(may_connect, known, about):
    late = LateServers(may_connect, KNOWN[known])
    time.sleep(0.05)  # an allowed age of more than that may come from a purge that was known
    late.request()
    purged_at = time.monotonic()
    late.router_host.purge_received(purge(PURGES[about]))
    want = late.come_up()
    assert 0 < int(want.get("within", 0)) <= (time.monotonic() - purged_at) * 1000, "a copy from before the purge would do"
    assert late.refusals() == {Refusal.PURGED_SINCE}


@pytest.mark.parametrize("about", OTHER_PURGES)
def test_a_purge_of_something_else_leaves_an_attempt_that_waits_for_its_connection(may_connect, about):
    late = LateServers(may_connect, KNOWN["many"])
    late.request()
    late.router_host.purge_received(purge(OTHER_PURGES[about]))
    late.come_up()
    assert not late.refusals()


def test_a_purge_leaves_a_waiting_attempt_of_a_rule_whose_answers_are_never_kept(may_connect):
    late = LateServers(may_connect, KNOWN["another object"])
    late.request(rule="checkout")
    late.router_host.purge_received(purge(PURGES["object"]))
    late.come_up()
    assert not late.refusals()


LIST_CHANGES = {
    "server drains": (lambda late: late.listed("c0", state="draining"), Refusal.SERVER_NOT_UP),
    "server is removed": (lambda late: late.listed("c0", state="gone"), Refusal.SERVER_NOT_UP),
    "server restarts": (lambda late: late.listed("c0", started=clock()), Refusal.SERVER_RESTARTED),
    "source drains": (lambda late: late.listed("p0", "parent", state="draining"), Refusal.SOURCE_NOT_UP),
    "source is removed": (lambda late: late.listed("p0", "parent", state="gone"), Refusal.SOURCE_NOT_UP),
    "source restarts": (lambda late: late.listed("p0", "parent", started=clock()), Refusal.SOURCE_RESTARTED),
}


@pytest.mark.parametrize("known", ["nothing", "many"])
@pytest.mark.parametrize("change", LIST_CHANGES)
def test_a_list_change_applies_to_an_attempt_that_waits_for_its_connection_whatever_was_known_before(may_connect, known, change):
    """The attempt is taken back at once, and decided anew by the changed list."""
    late = LateServers(may_connect, KNOWN[known])
    if known == "many":  # the servers have restarted before, and this is known from the configuration
        starts = (late.listed("c0", started=clock() - 60 * SECOND), late.listed("p0", "parent", started=clock() - 60 * SECOND))
        late.router_host.list_received(ListChange(False, starts), at_start=True)
    late.request()
    changed, reason = LIST_CHANGES[change]
    late.list_change(late.listed("c1"), changed(late))
    assert late.refusals() == {reason}
    want = late.come_up()
    if reason is Refusal.SERVER_NOT_UP:
        assert want in late.caches["c1"].wants
    if reason is Refusal.SOURCE_NOT_UP:
        assert want.get("miss") != "p0"


class LateCache(Cache):
    """A cache server that accepts no connection until `come_up`. Its backlog is full, so that the system drops what asks for a connection,
    which asks again after a second."""

    def __init__(self, says):
        self.may_accept = threading.Event()
        super().__init__(says)
        self.sock.listen(0)
        host, port = self.address.split(":")
        self.fillers = [socket.socket() for _ in range(4)]
        for filler in self.fillers:
            filler.setblocking(False)
            filler.connect_ex((host, int(port)))

    def run(self):
        self.may_accept.wait(20)
        super().run()

    def come_up(self):
        self.sock.listen(64)
        self.may_accept.set()


@pytest.mark.parametrize("about", PURGES)
def test_no_client_is_served_a_copy_from_before_a_purge_where_the_connection_comes_up_late(run, about):
    """The same with a router process whose configuration holds a purge. The cache has a copy, and uses it where `within` allows."""
    issued = time.time() - COPY_AGE_S

    def says(want):
        usable = not int(want.get("within", 0)) or time.time() - issued <= int(want["within"]) / 1000
        return "ACK", "entity=e,issued=%d,tell=TCP_HIT" % (issued * 1000), b"old" if usable else b"new"

    cache = LateCache(says)
    listed = [endpoint("c0", cache.address), endpoint("p0", "127.0.0.1:1", "parent"), endpoint("o", "127.0.0.1:1", "origin")]
    pool = {"rev": 1, "pool": {"index": 1, "snapshot": True, "endpoints": listed}}
    known_purge = {"rev": 2, "flush": {"asset": OTHER_ITEM, "ms": int(time.time() * 1000)}}
    service = run(cache, known={"rev": 2, "notices": [pool, known_purge]})
    client = service.client()
    client.ask(1, item=ITEM, set=str(GROUP), limit="5000", ram="1100")  # for its size the attempt waits for over a second
    time.sleep(0.1)
    assert not cache.wants
    told = {"asset": ITEM} if about == "object" else {"collection": GROUP}
    service.discovery.add_event(3, flush=told | {"ms": int(time.time() * 1000)})
    until(lambda: 3 in service.discovery.sent_revisions)
    cache.come_up()
    assert client.get() == (66, 1, 79, {}, b"new")


# Purges are dropped from the rules once no attempt that was decided without them can be written.


def test_a_purge_applies_to_an_attempt_that_a_late_router_decided_without_it(may_connect):
    """The Router is busy: it decides an attempt after the purge was reported, without knowing it. The purge used to be dropped once the
    connect limit had passed since its report, while the attempt may wait for that long from its decision on."""
    late = LateServers(may_connect, connect_timeout_us=600_000)
    host = late.router_host
    with host.lock:  # another thread is in the Router
        late.request()
        host.purge_received(purge(PURGES["object"]))
        time.sleep(0.3)
    host.process_queue()
    time.sleep(0.35)
    host.purge_received(purge(OTHER_PURGES["object"]))
    want = late.come_up()
    assert int(want.get("within", 0)) > 0 and late.refusals() == {Refusal.PURGED_SINCE}


class WaitingHop:
    """A hop as the rules see it."""

    server, address, server_start, source, go_by, cut_at, group = "c0", ("127.0.0.1", 1), 0, None, 1 << 62, 0, GROUP

    def __init__(self, decided_at, purges):
        self.decided_at, self.purges, self.want = decided_at, purges, self
        self.obj = ITEM


def test_dropped_purges_are_bounded_and_refuse_every_attempt_that_was_decided_without_them():
    rules = HopRules(SECOND)
    rules.listed("c0", ("127.0.0.1", 1), "up")
    now = 1000 * SECOND
    for number in range(1, 2001):
        now += 10 * MS
        rules.add_purge(f"{number:016x}", now)
        rules.purge_learned(number, now)
        assert len(rules.purged) <= 102 and len(rules.learned) <= 102
    assert rules.refusal(WaitingHop(now, 2000), now) is None
    assert rules.refusal(WaitingHop(now, 1950), now) is None  # its object was not among the purged
    assert rules.refusal(WaitingHop(now, 1000), now) is Refusal.WAITED_TOO_LONG  # whatever it says of its decision
    rules.add_purge(ITEM, now)
    assert rules.refusal(WaitingHop(now, 2000), now) is Refusal.PURGED_SINCE
    for _ in range(200):  # the Router does not learn of any of them
        now += 10 * MS
        rules.add_purge(OTHER_ITEM, now)
    assert rules.refusal(WaitingHop(now, 2000), now) is Refusal.PURGED_SINCE


def test_many_purges_of_one_object_take_the_place_of_one():
    rules = HopRules(SECOND)
    for number in range(1, 1001):
        rules.add_purge(ITEM, number)
        rules.add_purge(GROUP, number)
    assert dict(rules.purged) == {ITEM: 1999, GROUP: 2000}
