"""Usual clients' requests while some bad clients send as many usable requests at once as they may, again and again. See claim.txt."""

import asyncio
import os
import subprocess
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))
import standins as s  # noqa: E402

BAD_CLIENTS, PROCESSES = 60, 2
USUAL_CLIENTS, PAUSE_S = 8, 0.1  # each sends a request every 0.1 s: 80 a second in all
BURSTS, BURST_S, REST_S = 5, 5.0, 4.0  # the bad clients come, stay for so long, and go, some times
LIMIT_MS = 1250  # a try of `pages` is given up after 50 to 100% of 2.5 s
LATE_S = 0.5 + 0.05  # up to half a second after its time an answer only earns nothing; 50 ms are the protocol's slack
LAG_LIMIT_S = 0.2  # where this program itself runs later than that, the case says nothing


def bad_clients(port):
    command = [sys.executable, "-B", str(Path(__file__).parent / "bad.py"), str(port), str(BAD_CLIENTS // PROCESSES), str(BURST_S)]
    return [subprocess.Popen(command, stdout=subprocess.PIPE) for _ in range(PROCESSES)]


async def play(record, trouble):
    servers = [await s.Server(record, f"s-{n}").start() for n in range(4)]
    servers += [await s.Server(record, "p-0", "parent").start(), await s.Server(record, "store", "origin").start()]
    for server in servers:
        server.verbose = False
    rows = [server.row() for server in servers]
    board = await s.Board(record, rows).start()
    router = s.Router(record, rows, board.port, s.settings())
    bad = []
    try:
        await router.ready()
        clients = [await s.Client.connect(router.port) for _ in range(USUAL_CLIENTS)]
        sent, lag, began, bursts = [], 0.0, time.time(), 0
        while time.time() < began + BURSTS * (BURST_S + REST_S):
            if trouble and bursts < BURSTS and time.time() >= began + 1.0 + bursts * (BURST_S + REST_S):
                bursts += 1
                record.note(f"bad clients come, {time.time() - began:.2f} s after the start")
                bad += bad_clients(router.port)
            for client in clients:
                if client.ended_at:
                    raise s.Unable(f"a usual client's connection ended: {client.end}")
                if sum(not future.done() for future in client.waiting.values()) < 32:
                    stream, txn = client.stream(), s.new_id()
                    future = client.expect(s.ANSWER, stream)
                    client.writer.write(s.request(stream, "pages", txn, LIMIT_MS, s.new_id(), 150.0))
                    sent.append((txn, time.time(), future))
            for client in clients:  # what is answered needs no further look
                client.waiting = {key: future for key, future in client.waiting.items() if not future.done()}
            before = time.time()
            await asyncio.sleep(PAUSE_S)
            lag = max(lag, time.time() - before - PAUSE_S)
        await asyncio.sleep(LIMIT_MS / 1000 + LATE_S + 1)
        for process in bad:
            record.note("bad clients: " + process.communicate(timeout=20)[0].decode().strip())
        lost, longest, words = 0, 0.0, {}
        for txn, at, future in sent:
            answer = future.result() if future.done() else None
            took = answer[3] - at if answer else None
            word = s.WORDS[answer[0]] if answer else "no answer"
            words[word] = words.get(word, 0) + 1
            longest = max(longest, took or 0.0)
            late = took is None or took > LIMIT_MS / 1000 + LATE_S
            lost += late
            record.note(
                f"usual client: {txn} sent {at - began:.2f} s after the start: {word}"
                + (f" after {took:.3f} s" if took is not None else "")
                + (" LATE" if late else "")
            )
        s.note_runs(record, servers)
        for line in router.log_lines("event=counts"):
            record.note(f"router: {line}")
        record.say(f"this program ran late by {lag:.3f} s at most; usual clients' requests: {words}")
        record.say(
            f"{len(sent)} requests of usual clients with {LIMIT_MS} ms each: {lost} with no answer until {LATE_S} s after their time;"
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
