"""A process that comes up at the address of a fleet member that is gone is not taken for that member."""

import contextlib
import json
import threading
from types import SimpleNamespace

import pytest
from helpers import Listener, until

from fieldspur.fleet.register_codec import BadLine
from fieldspur.fleet.transport import Peer


class Speaker(Listener):
    """A process that sends these lines to each reader, and bare numbers after them."""

    def __init__(self, *lines):
        self.lines, self.numbers_sent = lines, 0
        super().__init__()

    def serve(self, conn):
        conn.recv(100)
        for line in self.lines:
            conn.sendall(json.dumps(line).encode() + b"\n")
        while not conn.sendall(b"7\n"):
            self.numbers_sent += 1
            threading.Event().wait(0.01)


def read(speaker):
    """Returns what the reader of member 0 passes on of what the speaker says, until the speaker has sent some numbers."""
    passed_on = []

    def receive_line(member_id, value):
        if value["register"] != "of member 0":
            raise BadLine("member: 1 at 0's address")
        passed_on.append("line")

    transport = SimpleNamespace(voter_names=["a"], receive_line=receive_line, receive_heartbeat=lambda member_id: passed_on.append("beat"))
    host, port = speaker.address.split(":")
    peer = Peer(transport, 0, (host, int(port)), 1)
    peer.enabled.set()

    def run():
        with contextlib.suppress(SystemExit):  # raised by `remove`
            peer.run()

    threading.Thread(target=run, daemon=True).start()
    until(lambda: speaker.numbers_sent > 20)
    peer.remove()
    return passed_on


def test_numbers_after_a_line_of_the_member_are_its_signs_of_life():
    passed_on = read(Speaker({"rev": 1, "register": "of member 0"}))
    assert passed_on[0] == "line" and "beat" in passed_on


@pytest.mark.parametrize(
    "lines", [(), ({"rev": 1, "register": "of member 1"},), ({"rev": 1, "pool": {}},)], ids=["numbers", "member", "board"]
)
def test_numbers_of_another_process_at_the_address_of_a_member_are_no_signs_of_life(lines):
    """They kept a member that was gone alive for the failure detector, so that nobody took over what it had to do."""
    assert read(Speaker(*lines)) == []
