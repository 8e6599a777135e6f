"""The id of a request is used once: not again while the request is open, and not for an effect that may have happened."""

import threading
import time

import pytest
from helpers import CLASSES, Cache, DiscoveryStub, settings, until

from fieldspur.net.open_txns import MAX_KEPT_NAMES, MAX_RECENT_NAMES, Answer, OpenTxns, Txn


def open_txn(open_txns, ident, name=None, body=b""):
    return open_txns.add(Txn(ident, name or f"{ident:016x}", 0, "media", "o", 0, 1, 1.0, None, None, body, 0, 0, None, 1))


def test_the_id_of_an_open_request_is_refused_however_many_further_ids_came():
    """After 4,097 to 8,193 further ids a bad client was served another object under the id of a request that was still open."""
    open_txns = OpenTxns()
    assert open_txn(open_txns, 1, "a" * 16)
    for ident in range(2, 6 * MAX_RECENT_NAMES):
        assert open_txn(open_txns, ident)
        open_txns.settle(ident, Answer("completed"))
        assert ident % 1000 or not open_txn(open_txns, -ident, "a" * 16)
    assert len(open_txns.recent_names) + len(open_txns.older_names) <= 2 * MAX_RECENT_NAMES + 3


def test_names_are_forgotten_in_large_steps_although_more_requests_are_open_than_a_generation_holds():
    """Otherwise each new request would cost a look at all open ones."""
    open_txns, steps = OpenTxns(), []
    drop_older_names = open_txns.drop_older_names
    open_txns.drop_older_names = lambda: steps.append(drop_older_names())
    for ident in range(1, 4 * MAX_RECENT_NAMES):
        open_txn(open_txns, ident)
    assert len(steps) < 4
    assert not any(open_txn(open_txns, -ident, f"{ident:016x}") for ident in range(1, 4 * MAX_RECENT_NAMES))


def test_of_two_requests_under_one_id_that_come_at_the_same_moment_one_is_taken():
    open_txns, taken = OpenTxns(), []
    barrier = threading.Barrier(4)

    def take(thread):
        for round_number in range(200):
            barrier.wait(20)
            if open_txn(open_txns, 1 + 4 * round_number + thread, f"{round_number:016x}"):
                taken.append(round_number)

    threads = [threading.Thread(target=take, args=(thread,)) for thread in range(4)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(60)
    assert sorted(taken) == list(range(200))


ONCE = dict(CLASSES[1], name="once", repeat="at_most_once")


def settings_with_unrepeatable():
    site = settings()
    site["classes"].append(ONCE)
    for key, value in (("neverKept", True), ("goodForUs", 0), ("olderByUs", 0), ("classStaleWorth", 0.5)):
        site["familyInfo"][key].append(value)
    return site


def leave(client, service):
    """Closes a client's connection and waits until the router has noticed it."""
    client.sock.close()
    client.file.close()
    time.sleep(0.3)
    assert service.process.poll() is None


@pytest.mark.parametrize("verb, unique, runs", [("once", {}, 1), ("checkout", {"unique": "k" * 8}, 1), ("media", {}, 2)])
def test_an_id_that_comes_again_after_its_client_has_left_runs_again_only_if_it_may(run, verb, unique, runs):
    """The id was forgotten as the client left, and an unrepeatable request that was at a server ran once more: 20 of 20."""
    cache = Cache(lambda want: None)
    service = run(cache, settings=settings_with_unrepeatable())
    for stream in range(1, 6):
        txn, count = f"{stream:016x}", len(cache.wants)
        client = service.client()
        client.ask(1, verb=verb, txn=txn, limit="3000", **unique)
        until(lambda: len(cache.wants) > count)
        leave(client, service)
        client = service.client()
        client.ask(1, verb=verb, txn=txn, limit="400", **unique)
        answer = client.get()
        assert answer[1] == 1 and answer[2] != 79
        assert sum(want["id"] == txn for want in cache.wants) == runs
        client.sock.close()


def test_an_id_comes_again_if_nothing_was_sent_for_it(run):
    """Its request waited at the gate of a start when its client left."""
    cache = Cache()
    service = run(cache, settings=settings_with_unrepeatable(), notices=DiscoveryStub(wait=1.0))
    early = service.early()
    early.ask(1, verb="once", txn="a" * 16)
    leave(early, service)
    client = service.client()
    client.ask(1, verb="once", txn="a" * 16)
    assert client.get()[:3] == (66, 1, 79) and len(cache.wants) == 1


def test_ids_of_effects_that_may_have_happened_are_kept_longer_than_others_and_are_bounded():
    open_txns = OpenTxns()
    assert open_txn(open_txns, 1, "a" * 16)
    open_txns.withdraw(1)
    open_txns.keep_name("a" * 16)
    for ident in range(2, 4 * MAX_RECENT_NAMES):
        open_txn(open_txns, ident)
        open_txns.settle(ident, Answer("completed"))
    assert not open_txn(open_txns, -1, "a" * 16)
    for number in range(2 * MAX_KEPT_NAMES):
        open_txns.keep_name(f"b{number:015x}")
    assert len(open_txns.kept_names) == MAX_KEPT_NAMES
