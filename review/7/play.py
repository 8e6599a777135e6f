"""Three clients write slowly: their bytes come in small pieces, as over a thin link, and each piece holds the end of a request or the
beginning of the next one or both. Each request is written within a tenth of a second. See claim.txt."""

import asyncio
import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))
import standins as s  # noqa: E402

CLIENTS, SECONDS = 3, 8.0
PIECE, PAUSE_S = 13, 0.03  # bytes of a piece, and the pause after it: a request takes a quarter of a second
LIMIT_MS = 5000  # the time limit of `media`
AFTER_LIMIT_S = 0.55  # an answer up to half a second after its time only earns nothing; 50 ms are the protocol's slack
ANSWER_S = 0.4  # `media` takes 280 to 440 ms to send on average


async def play_client(record, port, name, slow):
    client = await s.Client.connect(port)
    sent = []  # (stream, txn, when its last byte was written)
    data, in_data, written = bytearray(), [], 0
    began = time.time()
    while not client.ended_at:
        if time.time() - began < SECONDS and not client.stream_0 and len(data) < PIECE and len(in_data) < 20:
            stream, txn = client.stream(), s.new_id()
            frame = s.request(stream, "media", txn, LIMIT_MS, s.new_id(), 1000.0)
            data += frame
            in_data.append((written + len(data), stream, txn, client.expect(s.ANSWER, stream)))
        if not data:
            break
        # A slow client writes one piece; the others write the whole requests at the moment at which their last byte is due.
        size = min(PIECE, len(data)) if slow else len(data)
        client.writer.write(bytes(data[:size]))
        await client.writer.drain()
        del data[:size]
        written += size
        while in_data and in_data[0][0] <= written:
            _, stream, txn, future = in_data.pop(0)
            sent.append((stream, txn, time.time(), future))
            record.note(f"client {name}: request {txn} on stream {stream} is written whole")
        await asyncio.sleep(PAUSE_S if slow else PAUSE_S * size / PIECE)
    for code, at in client.stream_0:
        record.note(f"client {name}: frame on stream 0 with code {code} at {(at - record.began) * 1000:.1f}; begins no further request")
    lost = []
    for stream, txn, at, future in sent:
        wait = at + LIMIT_MS / 1000 + AFTER_LIMIT_S - time.time()
        try:
            answer = await asyncio.wait_for(asyncio.shield(future), max(0.01, wait))
        except asyncio.TimeoutError:
            answer = None
        if answer is None:
            lost.append(txn)
            error = f", stream 0 said an error {(at - client.stream_0[0][1]) * 1000:.0f} ms before its last byte" if client.stream_0 else ""
            record.say(
                f"client {name}: request {txn} on stream {stream} got no answer; connection: {client.end or 'open'}"
                + (f" {(client.ended_at - at) * 1000:.0f} ms after its last byte" if client.ended_at else "")
                + error
            )
        else:
            record.note(f"client {name}: request {txn} {s.WORDS[answer[0]]} {(answer[3] - at) * 1000:.0f} ms after its last byte")
        if len(client.answers.get((s.ANSWER, stream), [])) > 1:
            raise s.Unable("two answers to one request")
    await client.close()
    return len(sent), len(lost)


async def play(record, trouble):
    servers = [await s.Server(record, f"s-{n}", work_s=ANSWER_S).start() for n in range(3)]
    servers += [await s.Server(record, "p-0", "parent").start(), await s.Server(record, "store", "origin").start()]
    rows = [server.row() for server in servers]
    board = await s.Board(record, rows).start()
    router = s.Router(record, rows, board.port, s.settings())
    try:
        await router.ready()
        results = await asyncio.gather(*[play_client(record, router.port, n, trouble) for n in range(CLIENTS)])
        for line in router.log_lines("half a frame"):
            record.note(f"router: {line}")
        if router.process.poll() is not None:
            record.say("the router ended")
            return s.BROKEN
        sent, lost = sum(row[0] for row in results), sum(row[1] for row in results)
        record.say(f"{sent} requests written whole, {lost} of them lost")
        return s.UNABLE if sent < 20 else s.BROKEN if lost else s.HELD
    finally:
        router.end()


s.main(Path(__file__).resolve().parent, play, trouble=os.environ.get("TROUBLE", "1") != "0")
