"""Clients that write slowly lose no request, and those that stop half way are still closed."""

import contextlib
import threading
import time

import pytest
from helpers import Cache, until

from fieldspur.permissions import FRAME_LIMIT_S, FRAME_WAIT_S, ClientState, CloseReason, close_reason

PIECE_BYTES, PAUSE_S = 13, 0.03
ACK = "ACK", "entity=e,issued=1,tell=TCP_HIT", b"bytes"


class SlowSocket:
    """Collects what a Client of the helpers sends, so that it can be written in pieces."""

    def __init__(self, sock):
        self.sock, self.unsent = sock, b""

    def sendall(self, data):
        self.unsent += data

    def write(self, size):
        self.sock.sendall(self.unsent[:size])
        self.unsent = self.unsent[size:]

    def __getattr__(self, name):
        return getattr(self.sock, name)


def delayed(cache, want, seconds=0.4):
    """Answers after so many seconds, unless the test has ended."""

    def answer():
        with contextlib.suppress(OSError):
            cache.answer(want["id"], *ACK)

    threading.Timer(seconds, answer).start()


def test_each_request_of_a_client_below_1_kb_a_second_is_answered(run):
    """The time of an unfinished frame ran on although whole requests came between: the connection was failed after 2 s in the middle of a
    request, which was then read and never answered."""
    cache = Cache(lambda want: delayed(cache, want))
    client = run(cache).client()
    client.sock = slow = SlowSocket(client.sock)
    answers = []
    reader = threading.Thread(target=lambda: answers.extend(client.get() for _ in range(20)))
    reader.start()
    for stream in range(1, 21):
        client.ask(stream, ram="1000")  # 105 bytes: pieces end within requests
        while len(slow.unsent) >= PIECE_BYTES or (stream == 20 and slow.unsent):
            slow.write(PIECE_BYTES)
            time.sleep(PAUSE_S)
    reader.join(10)
    assert sorted(answer[1:3] for answer in answers) == [(stream, 79) for stream in range(1, 21)]


def test_a_request_that_pauses_half_way_while_another_is_open_is_answered(run):
    """The protocol lets a router close a connection only while it has no open request."""
    cache = Cache(lambda want: delayed(cache, want, FRAME_WAIT_S + 0.8))
    client = run(cache).client()
    client.ask(1, limit="5000")
    until(lambda: cache.wants)
    client.sock = slow = SlowSocket(client.sock)
    client.ask(2)
    slow.write(100)
    time.sleep(FRAME_WAIT_S + 0.5)
    slow.write(10_000)
    assert {client.get()[:2], client.get()[:2]} == {(66, 1), (66, 2)}


def test_a_large_request_that_comes_steadily_for_longer_than_a_pause_may_be_is_answered(run):
    """A connection without an open request was shut 2 s after a frame began, although its bytes still came."""
    client = run(Cache()).client()
    client.sock = slow = SlowSocket(client.sock)
    client.ask(1, verb="checkout", unique="k" * 32, body=b"b" * 28_000)
    while slow.unsent:
        slow.write(1400)
        time.sleep(0.15)
    assert client.get()[1:3] == (1, 79)


def state(**changes):
    fields = dict(
        shut_at=0.0,
        has_open_txns=False,
        writing=False,
        failed=False,
        unfinished_bytes=10,
        frame_since=100.0,
        since=100.0,
        idle_since=100.0,
        sent_valid_request=True,
    )
    return ClientState(**fields | changes)


@pytest.mark.parametrize(
    "changes, seconds, reason",
    [
        ({}, FRAME_WAIT_S - 0.1, None),
        ({}, FRAME_WAIT_S + 0.1, CloseReason.HALF_FRAME),
        ({"since": 100.0 + FRAME_LIMIT_S - 1}, FRAME_LIMIT_S - 0.1, None),
        ({"since": 100.0 + FRAME_LIMIT_S}, FRAME_LIMIT_S + 0.1, CloseReason.HALF_FRAME),
        ({"has_open_txns": True}, FRAME_LIMIT_S + 0.1, None),
    ],
)
def test_an_unfinished_frame_is_given_up_after_a_pause_or_a_long_time_but_never_beside_an_open_request(changes, seconds, reason):
    assert close_reason(state(**changes), 100.0 + seconds, 30.0) == reason
