"""Bad clients: some send hundreds of requests and take them back at once, then one sends the id of an open request with another object.
See claim.txt."""

import asyncio
import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))
import standins as s  # noqa: E402

LIMIT_MS = 5000  # the time limit of `media`
LARGE_KB, LARGE_S = 11_200.0, 4.0  # an object that takes 4 s to send at 2800 KB a second, ten times a usual one
BAD_CLIENTS, AT_ONCE = 60, 300  # each takes back so many requests


async def take_back(record, port, name):
    """Sends requests, each taken back at once, so that no more than one is open at a time."""
    client = await s.Client.connect(port)
    data = bytearray()
    for _ in range(AT_ONCE):
        stream = client.stream()
        data += s.request(stream, "pages", s.new_id(), 2500, s.new_id(), 150.0) + s.frame(s.WITHDRAW, stream)
    client.writer.write(bytes(data))
    await client.writer.drain()
    await asyncio.sleep(2.5)
    record.note(f"bad client {name}: {AT_ONCE} requests sent and taken back, {len(client.answers)} answers")
    await client.close()


async def play(record, trouble):
    large = s.new_id()

    async def handle(want):
        item = want.fields["item"]
        await asyncio.sleep(LARGE_S if item == large else 0.02)
        want.answer("ACK", "TCP_HIT", s.body_of(item, 0))

    servers = [await s.Server(record, f"s-{n}", handle=handle).start() for n in range(4)]
    servers += [await s.Server(record, "p-0", "parent").start(), await s.Server(record, "store", "origin").start()]
    rows = [server.row() for server in servers]
    board = await s.Board(record, rows).start()
    router = s.Router(record, rows, board.port, s.settings())
    try:
        await router.ready()
        usual = await s.Client.connect(router.port)
        stream, txn, other = usual.stream(), s.new_id(), s.new_id()
        answer = usual.expect(s.ANSWER, stream)
        began = time.time()
        usual.writer.write(s.request(stream, "media", txn, LIMIT_MS, large, LARGE_KB))
        record.note(f"usual client: request {txn} for {large}")
        await asyncio.sleep(0.3)
        broken = False
        if trouble:
            # Without the others first: the router refuses the id.
            client = await s.Client.connect(router.port)
            future = client.expect(s.ANSWER, client.stream())
            client.writer.write(s.request(1, "media", txn, LIMIT_MS, other, 500.0))
            early = await asyncio.wait_for(future, 3)
            record.note(f"bad client A: request {txn}, which is open, for {other}: {early and s.WORDS[early[0]]}")
            await client.close()
            await asyncio.gather(*[take_back(record, router.port, n) for n in range(BAD_CLIENTS)])
            client = await s.Client.connect(router.port)
            future = client.expect(s.ANSWER, client.stream())
            client.writer.write(s.request(1, "media", txn, LIMIT_MS, other, 500.0))
            was_open = not answer.done()
            try:
                late = await asyncio.wait_for(asyncio.shield(future), 3)
            except asyncio.TimeoutError:
                late = None
            record.say(
                f"bad client B: request {txn}, {'open' if was_open else 'ended'} for {time.time() - began:.2f} s, for {other}:"
                f" {s.WORDS[late[0]] if late else 'no answer or closed'}"
            )
            still_open = not answer.done()
            if late and late[0] == s.SERVED and still_open:
                broken = True
                record.say(f"the body that bad client B got is that of {late[2][:16].decode()}")
            elif not still_open:
                return s.UNABLE
        result = await asyncio.wait_for(answer, LIMIT_MS / 1000 + 0.6)
        record.say(f"usual client: request {txn} {result and s.WORDS[result[0]]} after {time.time() - began:.2f} s")
        if result is None or result[0] == s.SERVED and result[2] != s.body_of(large, 0) or router.process.poll() is not None:
            broken = True
        return s.BROKEN if broken else s.HELD
    finally:
        router.end()


s.main(Path(__file__).resolve().parent, play, trouble=os.environ.get("TROUBLE", "1") != "0")
