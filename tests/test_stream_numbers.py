"""Stream numbers of a client's connection: each one that is new on the connection may be used, in any order and with any gaps.

Guards against requests that are read and never answered: a connection remembered 4,096 numbers above the smallest unused one, took the
next request for one on a used stream, and ended. A client that numbers the requests of two connections with one counter leaves a gap at
the start of each, so that the smallest unused number never moved."""

import gc
import itertools
import random
import sys

import pytest
from helpers import Cache, until

from fieldspur.net.client_listener import MAX_USED_RANGES, UsedStreams
from fieldspur.net.frames import MAX_STREAM

OPEN_AT_ONCE = 24  # requests on one connection; the protocol allows 32
REQUESTS = 4600  # on one connection: more than it once remembered
MANY = 200_000
MAX_BYTES_PER_CONNECTION = 16_384  # 500 connections of a small router with 64 MB then take an eighth of it


def shared_counter():
    """The numbers of one of two connections whose client has a single counter for both."""
    rng = random.Random(3)
    return (number for number in itertools.count(1) if rng.random() < 0.5)


def shuffled_blocks():
    """Ascending as a whole, but out of order within blocks, as where threads of a client draw numbers before they write."""
    rng = random.Random(5)
    for start in itertools.count(1, 64):
        yield from rng.sample(range(start, start + 64), 64)


def without_order():
    """Numbers from the whole range of the protocol."""
    rng, used = random.Random(7), set()
    while True:
        if (number := rng.randrange(1, MAX_STREAM + 1)) not in used:
            used.add(number)
            yield number


ORDERS = {
    "no gaps": lambda: itertools.count(1),
    "a gap at the start": lambda: itertools.count(2),
    "large first number": lambda: itertools.count(MAX_STREAM - MANY),
    "odd numbers": lambda: itertools.count(1, 2),
    "one counter for two connections": shared_counter,
    "shuffled blocks": shuffled_blocks,
    "from the largest down": lambda: itertools.count(MAX_STREAM, -1),
    "down with gaps": lambda: itertools.count(MAX_STREAM, -7),
    "from both ends": lambda: (n for pair in zip(itertools.count(1), itertools.count(MAX_STREAM, -1)) for n in pair),
    "without order": without_order,
}


@pytest.mark.parametrize("order", ORDERS)
def test_a_stream_number_that_is_new_on_its_connection_can_be_used(order):
    used_streams = UsedStreams()
    assert all(used_streams.use(number) for number in itertools.islice(ORDERS[order](), 3 * REQUESTS))


@pytest.mark.parametrize("order", ORDERS)
def test_the_latest_stream_numbers_of_a_connection_can_not_be_used_again(order):
    used_streams, latest = UsedStreams(), []
    for number in itertools.islice(ORDERS[order](), 3 * REQUESTS):
        assert used_streams.use(number)
        latest = [*latest[1 - MAX_USED_RANGES :], number]
        assert not used_streams.use(number)
    assert len(latest) == MAX_USED_RANGES and not any(map(used_streams.use, latest))


def test_all_stream_numbers_without_a_gap_are_remembered_whatever_follows():
    used_streams = UsedStreams()
    assert all(map(used_streams.use, range(1, 10_001)))
    assert all(map(used_streams.use, range(20_001, 60_001, 3)))
    assert not any(map(used_streams.use, range(10_001)))


def test_used_stream_numbers_are_as_in_a_plain_set_while_they_have_few_gaps():
    for seed in range(30):
        rng, used_streams, used = random.Random(seed), UsedStreams(), {0}
        for _ in range(600):
            number = rng.choice((rng.randrange(0, MAX_USED_RANGES), MAX_STREAM - rng.randrange(0, MAX_USED_RANGES)))
            assert used_streams.use(number) == (number not in used)
            used.add(number)


def size_with_contents(value):
    """Bytes of a value and of all that it holds, except its class."""
    contents = [held for held in gc.get_referents(value) if not isinstance(held, type)]
    return sys.getsizeof(value) + sum(map(size_with_contents, contents))


@pytest.mark.parametrize("order", ORDERS)
def test_memory_for_the_stream_numbers_of_a_connection_is_bounded(order):
    used_streams = UsedStreams()
    for number in itertools.islice(ORDERS[order](), MANY):
        used_streams.use(number)
    assert size_with_contents(used_streams) < MAX_BYTES_PER_CONNECTION


def ask_for_all(client, numbers):
    """Sends a request on each stream, with OPEN_AT_ONCE of them open, and returns the streams of the answers that serve a request."""
    served, remaining = [], iter(numbers)
    for number in itertools.islice(remaining, OPEN_AT_ONCE):
        client.ask(number)
    while len(served) < len(numbers):
        answer = client.get()
        assert answer is not None and answer[0] == 66 and answer[2] == 79, f"after {len(served)} answers: {answer}"
        served.append(answer[1])
        if (number := next(remaining, None)) is not None:
            client.ask(number)
    return served


@pytest.mark.parametrize("order", ["one counter for two connections", "down with gaps", "without order"])
def test_each_request_of_a_connection_whose_stream_numbers_have_gaps_is_answered(run, order):
    numbers = list(itertools.islice(ORDERS[order](), REQUESTS))
    client = run(Cache()).client()
    assert sorted(ask_for_all(client, numbers)) == sorted(numbers)


def test_a_stream_with_an_open_request_is_not_used_again_however_long_it_is_open(run):
    """What ended requests used may be forgotten; an open request keeps its stream until it is answered."""
    cache = Cache(lambda want: None if want["id"] == "%016x" % 1 else ("ACK", "entity=e,issued=1,tell=TCP_HIT", b"bytes"))
    client = run(cache).client()
    client.ask(1 << 30)
    assert client.get()[1] == 1 << 30
    client.ask(5, txn="%016x" % 1, limit="5000")
    until(lambda: len(cache.wants) == 2)
    for number in range(100, 100 + 4 * MAX_USED_RANGES, 2):
        client.ask(number)
        assert client.get()[:3] == (66, number, 79)
    client.ask(5, txn="%016x" % 2)
    assert client.get()[:2] == (66, 0), "the second request on stream 5 was taken"
    cache.answer("%016x" % 1, "ACK", "entity=e,issued=1,tell=TCP_HIT", b"first")
    assert client.get() == (66, 5, 79, {}, b"first") and client.get() is None
