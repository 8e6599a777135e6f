"""A usual client's requests while many bad clients send requests that can't be used, again and again. See claim.txt."""

import asyncio
import os
import subprocess
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))
import standins as s  # noqa: E402

SOCKETS = 1024
BAD_CLIENTS, PROCESSES = 330, 3  # clients hold at most a third of the descriptors: 341
SECONDS = 50.0
LIMIT_MS = 1250  # a try of `pages` is given up after 50 to 100% of 2.5 s
LATE_S = 0.5 + 0.05  # up to half a second after its time an answer only earns nothing; 50 ms are the protocol's slack
PAUSE_S = 0.1
LAG_LIMIT_S = 0.2  # where this program itself runs later than that, the case says nothing


async def play(record, trouble):
    servers = [await s.Server(record, f"s-{n}").start() for n in range(4)]
    servers += [await s.Server(record, "p-0", "parent").start(), await s.Server(record, "store", "origin").start()]
    for server in servers:
        server.verbose = False
    rows = [server.row() for server in servers]
    board = await s.Board(record, rows).start()
    router = s.Router(record, rows, board.port, s.settings(), sockets=SOCKETS)
    bad = []
    try:
        await router.ready()
        client, sent, lag = await s.Client.connect(router.port), [], 0.0
        if trouble:
            arguments = [str(router.port), str(BAD_CLIENTS // PROCESSES), str(SECONDS)]
            for _ in range(PROCESSES):
                bad.append(subprocess.Popen([sys.executable, "-B", str(Path(__file__).parent / "bad.py"), *arguments], stdout=subprocess.PIPE))
        began = time.time()
        while time.time() < began + SECONDS:
            if client.ended_at:
                raise s.Unable(f"the usual client's connection ended: {client.end}")
            if sum(not future.done() for _, _, future in sent[-64:]) < 16:  # a client has 32 open requests at most
                stream, txn = client.stream(), s.new_id()
                future = client.expect(s.ANSWER, stream)
                client.writer.write(s.request(stream, "pages", txn, LIMIT_MS, s.new_id(), 150.0))
                sent.append((txn, time.time(), future))
            before = time.time()
            await asyncio.sleep(PAUSE_S)
            lag = max(lag, time.time() - before - PAUSE_S)
        for process in bad:
            record.note("bad clients: " + process.communicate(timeout=20)[0].decode().strip())
        await asyncio.sleep(LIMIT_MS / 1000 + LATE_S + 1)
        lost = 0
        for txn, at, future in sent:
            answer = future.result() if future.done() else None
            if answer is None:
                lost += 1
                record.note(f"usual client: {txn} sent {at - began:.2f} s after the start: no answer")
                continue
            took = answer[3] - at
            record.note(f"usual client: {txn} sent {at - began:.2f} s after the start: {s.WORDS[answer[0]]} after {took:.3f} s")
            lost += took > LIMIT_MS / 1000 + LATE_S
        longest = max((future.result()[3] - at for _, at, future in sent if future.done() and future.result()), default=0.0)
        s.note_runs(record, servers)
        for line in router.log_lines("event=counts"):
            record.note(f"router: {line}")
        record.say(f"this program ran late by {lag:.3f} s at most")
        record.say(
            f"{len(sent)} requests of the usual client with {LIMIT_MS} ms each: {lost} with no answer until {LATE_S} s after their time;"
            f" the longest wait for an answer was {longest:.2f} s"
        )
        if router.process.poll() is not None:
            record.say("the router ended")
            return s.BROKEN
        return s.UNABLE if lag > LAG_LIMIT_S else s.BROKEN if lost else s.HELD
    finally:
        for process in bad:
            process.kill()
        router.end()


s.main(Path(__file__).resolve().parent, play, trouble=os.environ.get("TROUBLE", "1") != "0")
