"""A client numbers the requests of its two connections with one counter, so that each connection's stream numbers have gaps."""

import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))
from standins import TROUBLE, Board, CacheServer, Client, Held, answer, background, main, new_id, node_file, now, rule, settings

REQUESTS = 4600  # on each of two connections
AT_ONCE = 24  # open requests on one connection; the protocol allows 32
LIMIT_S = 5.0
LATE_S = 0.5  # an answer is lost only if it comes later than that after its time
CROSSING_S = 0.05  # a request sent this shortly before a connection ends may have crossed the close, and is sent again
SERVICE_S = 0.02, 0.06  # how long the cache server takes for most requests, and for one in twenty ten times as long


def handle(want) -> None:
    time.sleep(random.uniform(*SERVICE_S) * (10 if random.random() < 0.05 else 1))
    at = int(now() * 1000)
    answer(want, "ACK", f"entity={want.fields['item'][:8]},issued={at},tell=TCP_HIT", want.fields["item"].encode())


class Connection:
    """Sends its requests as fast as `AT_ONCE` allows, on the stream numbers that `next_stream` gives."""

    def __init__(self, router, name: str, next_stream, record):
        self.client, self.name, self.next_stream, self.record = Client(router), name, next_stream, record
        self.items: dict[int, str] = {}
        self.over = False
        background(self.run)

    def run(self) -> None:
        try:
            for _ in range(REQUESTS):
                with self.client.condition:
                    self.client.condition.wait_for(lambda: len(self.items) - len(self.client.answers) < AT_ONCE or self.client.ended_at)
                if self.client.ended_at:
                    break
                stream, item = self.next_stream(), new_id()
                self.items[stream] = item
                self.client.request(
                    stream, {"verb": "pages", "txn": new_id(), "limit": str(int(LIMIT_S * 1000)), "item": item, "slice": "0", "set": "5", "ram": "20"}
                )
        except OSError as error:
            self.record(f"{self.name} can't send: {error}")
        self.over = True

    def open_streams(self) -> list[int]:
        return [stream for stream in self.client.sent if stream not in self.client.answers]


def play(case) -> str:
    record, board = case.record, Board(case.record)
    cache, origin = CacheServer(record, "s-cache", handle), CacheServer(record, "s-origin", handle)
    board.list([cache.row(weight=200), origin.row("origin")], snapshot=True)
    router = case.router("n1", node_file(board, settings([rule("pages", "idempotent", int(LIMIT_S * 1000), memorySpanUs=0)])))
    router.start()
    router.wait_ready()
    time.sleep(1.0)
    counters = {"shared": 0, "a": 0, "b": 0}

    def counter(name: str):
        def next_stream() -> int:
            counters[name] += 1
            return counters[name]

        return next_stream

    shared = iter(range(1, 1 << 31))  # a step of an iterator is one step for all threads
    names = ("a", "b")
    connections = [Connection(router, name, (lambda: next(shared)) if TROUBLE else counter(name), record) for name in names]
    end = now() + 90.0
    while not all(conn.over for conn in connections) and now() < end:
        time.sleep(0.05)
    wait_end = now() + LIMIT_S + LATE_S + 0.5
    while now() < wait_end and any(conn.open_streams() and not conn.client.ended_at for conn in connections):
        time.sleep(0.05)
    lost, unfit = [], 0
    for conn in connections:
        client = conn.client
        words = {}
        for stream, answers in client.answers.items():
            words[answers[0].word] = words.get(answers[0].word, 0) + 1
            unfit += len(answers) > 1 or answers[0].word == "served" and answers[0].body != conn.items[stream].encode()
        record(
            f"connection {conn.name}: {len(client.sent)} requests on streams {min(client.sent)} to {max(client.sent)}, answers {words}, "
            f"errors on stream 0: {len(client.errors)}, {'ended: ' + client.how if client.ended_at else 'still up'}"
        )
        for error in client.errors:
            record(f"connection {conn.name}: the router told of an error that belongs to no request ({error.word})")
        for stream in conn.open_streams():
            until = client.ended_at or now()
            after = until - client.sent[stream]
            told_before = bool(client.errors) and client.sent[stream] >= client.errors[0].at
            excuse = " (may have crossed the close)" if client.ended_at and after <= CROSSING_S else ""
            excuse = " (sent after the error on stream 0 had come)" if told_before else excuse
            text = (
                f"connection {conn.name}, stream {stream}: sent, never answered; "
                f"{'the connection ended' if client.ended_at else 'waited'} {after:.3f} s after it was sent"
            )
            record(text + excuse)
            if not excuse and (client.ended_at or after > LIMIT_S + LATE_S):
                lost.append(text)
    for line in router.log_text().splitlines():
        if "event=unreadable" in line:
            record("the router's log: " + line)
    if not lost and any(len(conn.client.sent) < REQUESTS and not conn.client.ended_at for conn in connections):
        raise Held("the machine is too slow: not all requests could be sent")
    if unfit:
        return f"{unfit} requests with two answers or a foreign body"
    return f"{len(lost)} requests lost: {lost[0]}" if lost else ""


if __name__ == "__main__":
    main(str(Path(__file__).resolve().parent), play, 118.0)
