"""The notice board is crowded: each watch gets its first line 3 s after it asked, then all that follows at once. See claim.txt."""

import asyncio
import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))
import standins as s  # noqa: E402

FIRST_LINE_S = 3.0  # how long a watch waits for its first line
TOLD_S = 7.0  # "counts as told 7 s later at the latest, whether it arrived or not"
GRACE_S = 0.25 + 0.05  # guarantees.drainGraceUs, and the 50 ms that the protocol adds to each time limit
DRAIN_AT_S, AFTER_S = 4.0, 8.0  # when s-0 begins to drain; how long it is watched after the grace
RATE = 40  # requests a second


async def watch_patiently(record, port):
    """What a reader gets that waits: the board tells all it has, 3 s late."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(b"watch 1\n")
    while line := await reader.readline():
        if line.startswith(b"{"):
            record.note(f"patient reader: got {line.decode().strip()}")
    writer.close()


async def play(record, trouble):
    servers = [await s.Server(record, f"s-{n}").start() for n in range(4)]
    servers += [await s.Server(record, "p-0", "parent").start(), await s.Server(record, "store", "origin").start()]
    for server in servers:
        server.verbose = False
    rows = [server.row() for server in servers]
    board = await s.Board(record, rows, FIRST_LINE_S if trouble else 0.0).start()
    router = s.Router(record, rows, board.port, s.settings())
    patient = asyncio.ensure_future(watch_patiently(record, board.port))
    try:
        await router.ready()
        began, drained_at, answers, sent = time.time(), 0.0, [], 0
        client = await s.Client.connect(router.port)
        while not drained_at or time.time() < drained_at + TOLD_S + GRACE_S + AFTER_S:
            if not drained_at and time.time() > began + DRAIN_AT_S:
                drained_at = board.publish({"pool": {"index": 2, "snapshot": False, "endpoints": [servers[0].row("draining")]}})
            stream = client.stream()
            txn = s.new_id()
            answers.append((txn, time.time(), client.expect(s.ANSWER, stream)))
            client.writer.write(s.request(stream, "pages", txn, 2500, s.new_id(), 150.0))
            sent += 1
            await asyncio.sleep(1 / RATE)
        await asyncio.sleep(0.5)
        told_by = drained_at + TOLD_S
        late = []
        for server in servers:
            for want in server.wants:
                at_drained = server is servers[0] or want.fields.get("miss") == "s-0"
                if at_drained:
                    record.note(
                        f"{server.name}: want {want.txn} miss={want.fields.get('miss', '-')}"
                        f" {want.at - drained_at:+.3f} s from when the board held the drain of s-0"
                    )
                if at_drained and want.at > told_by + GRACE_S:
                    late.append(want)
        s.note_runs(record, servers)
        served = 0
        for txn, at, future in answers:
            answer = future.result() if future.done() else None
            served += answer is not None and answer[0] == s.SERVED
            word = f"{s.WORDS[answer[0]]} after {answer[3] - at:.3f} s" if answer else "no answer"
            record.note(f"client: {txn} sent {at - drained_at:+.3f} s from when the board held the drain of s-0: {word}")
        record.say(f"{sent} requests, {served} served")
        watches = len(router.log_lines("event=lost"))
        record.say(f"the router ended {watches} watches by itself or lost them")
        if late:
            record.say(
                f"{len(late)} attempts at s-0, or with it as source, later than {TOLD_S + GRACE_S:.2f} s after the board held its drain;"
                f" the last one {max(want.at for want in late) - drained_at:.2f} s after"
            )
        if router.process.poll() is not None:
            record.say("the router ended")
            return s.BROKEN
        before = sum(want.at < drained_at for want in servers[0].wants)
        if served < sent * 0.9 or not before:
            return s.UNABLE
        return s.BROKEN if late else s.HELD
    finally:
        patient.cancel()
        router.end()


s.main(Path(__file__).resolve().parent, play, trouble=os.environ.get("TROUBLE", "1") != "0")
