"""The id of a request is used once: not again while the request is open, and not for an effect that may have happened."""

import threading

from fieldspur.net.open_txns import MAX_RECENT_NAMES, Answer, OpenTxns, Txn


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
