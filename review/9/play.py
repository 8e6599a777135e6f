"""A router starts while the notice board is crowded: what the board has held for long comes in pieces, with pauses. See claim.txt."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))
import standins as s  # noqa: E402

PAUSE_S = 0.4  # before each further event that the board tells to a new watch
TOLD_S, GRACE_S = 7.0, 0.25 + 0.05  # told 7 s later at the latest; guarantees.drainGraceUs and the protocol's 50 ms
START_AFTER_S = 8.0  # the router starts so long after the board came to hold the drain
CONNECTIONS, REQUESTS = 4, 25  # on each connection


class CrowdedBoard(s.Board):
    """Tells a new watch one event after the other, with pauses, then the last number each second."""

    async def watch(self, reader, writer):
        try:
            told = int((await reader.readline()).split()[1])
            asked = time.time()
            self.record.note(f"board: watch {told}")
            first = told
            while told < len(self.events):
                if told > first and self.pause_s:
                    await asyncio.sleep(self.pause_s)
                writer.write(s.json.dumps(self.events[told]).encode() + b"\n")
                told += 1
                self.record.note(f"board: told event {told}, {time.time() - asked:.3f} s after it was asked")
            while not writer.is_closing():
                writer.write(b"%d\n" % told)
                await writer.drain()
                await asyncio.sleep(1.0)
        except (OSError, IndexError, ValueError):
            pass


async def play(record, trouble):
    servers = [await s.Server(record, f"s-{n}").start() for n in range(4)]
    servers += [await s.Server(record, "p-0", "parent").start(), await s.Server(record, "store", "origin").start()]
    rows = [server.row() for server in servers]
    board = CrowdedBoard(record, rows)
    board.pause_s = PAUSE_S if trouble else 0.0
    await board.start()
    board.publish({"flush": {"asset": s.new_id(), "ms": int(time.time() * 1000)}})
    held_at = board.publish({"pool": {"index": 2, "snapshot": False, "endpoints": [servers[0].row("draining")]}})
    await asyncio.sleep(START_AFTER_S)
    # The file that the platform made has the events up to 1: it is older than the board, as at any start.
    router = s.Router(record, rows, board.port, s.settings())
    try:
        until = time.time() + 30
        while True:
            if time.time() > until or router.process.poll() is not None:
                raise s.Unable("the router is not ready")
            try:
                client = await s.Client.connect(router.port)
                ready = await client.is_ready()
                await client.close()
                if ready:
                    break
            except OSError:
                pass
            await asyncio.sleep(0.01)
        record.note("platform: the router says that it is ready; clients come")
        futures, clients = [], []
        for _ in range(CONNECTIONS):
            client = await s.Client.connect(router.port)
            clients.append(client)
            for _ in range(REQUESTS):
                stream = client.stream()
                futures.append(client.expect(s.ANSWER, stream))
                client.writer.write(s.request(stream, "pages", s.new_id(), 2500, s.new_id(), 150.0))
        answers = await asyncio.wait_for(asyncio.gather(*futures), 10)
        served = sum(answer is not None and answer[0] == s.SERVED for answer in answers)
        late = [
            want
            for server in servers
            for want in server.wants
            if (server is servers[0] or want.fields.get("miss") == "s-0") and want.at > held_at + TOLD_S + GRACE_S
        ]
        for line in router.log_lines("event=open") + router.log_lines("server=s-0"):
            record.note(f"router: {line}")
        record.say(f"{len(answers)} requests, {served} served")
        if late:
            record.say(
                f"{len(late)} attempts at s-0, {min(want.at for want in late) - held_at:.2f} to {max(want.at for want in late) - held_at:.2f} s"
                " after the board held its drain"
            )
        if router.process.poll() is not None:
            return s.BROKEN
        return s.UNABLE if served < len(answers) * 0.8 else s.BROKEN if late else s.HELD
    finally:
        router.end()


s.main(Path(__file__).resolve().parent, play)
