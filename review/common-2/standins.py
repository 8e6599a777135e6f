"""Stand-ins for the cases of this review: clients, cache servers, the store, the notice board and the platform, by the pages' protocol.

All addresses are loopback addresses. Times are Unix seconds unless a name ends in `_ms`. Only the standard library is used."""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HELD, BROKEN, UNABLE = 0, 1, 2  # exit codes of a case
REQUEST, ANSWER, WITHDRAW, READY_QUERY, READY_REPLY, NO_MORE = 65, 66, 67, 80, 81, 90
SERVED, REFUSED, FAILED = 79, 66, 69
WORDS = {SERVED: "served", REFUSED: "refused", FAILED: "failed"}


class Unable(Exception):
    """The case could not run."""


class Record:
    """Writes `record.txt`: what was sent, answered and run, with the time since the start in ms."""

    def __init__(self, folder: Path):
        self.file = open(folder / "record.txt", "w", buffering=1)
        self.began = time.time()

    def note(self, text: str) -> None:
        self.file.write(f"{(time.time() - self.began) * 1000:10.1f} {text}\n")

    def say(self, text: str) -> None:
        self.note(text)
        print(text, flush=True)


# Settings of a small deployment: the classes and figures of the page on craft-market.


def settings(**classes) -> dict:
    """The `settings` object; `classes` maps a class to keys that differ. One router serves the one zone."""
    rows = [
        dict(name="media", repeat="idempotent", worth=2.0, lateWorth=0.15, aimUs=600_000, aimStretch=1.6, hardLimitUs=5_000_000),
        dict(name="pages", repeat="idempotent", worth=1.0, lateWorth=0.2, aimUs=400_000, aimStretch=2.0, hardLimitUs=2_500_000),
        dict(
            name="checkout", repeat="deduplicated", dedupScope="all", memorySpanUs=6_000_000,
            worth=3.0, lateWorth=0.0, aimUs=800_000, hardLimitUs=3_000_000,
        ),
    ]
    for row in rows:
        row.update(classes.get(row["name"], {}))
    return {
        "zone": 0,
        "areas": ["west-hub"],
        "kinds": ["std-box", "parent", "origin"],
        "weights": "nominal",
        "replicasOfMe": 1,
        "classes": rows,
        "report": {"columns": ["active", "cpu", "x0", "x1"], "how": "probe"},
        "familyInfo": dict(
            upperKind=1, rootKind=2, neverKept=[False, False, True], goodForUs=[0, 8_000_000, 0], olderByUs=[0, 30_000_000, 0],
            classStaleWorth=[0.7, 0.5, 0.7], countByZone=[1], pipeKbPerS=[0.0], clientKbPerS=2800.0, upperColdFrom=0.071,
            parentRampUs=21_000_000, upperFallMultiple=2.0, siblings="location", mergesFills=True, goneEverywhereUs=6_000_000,
            noticeTimeUs=500_000, says="all",
        ),
        "guarantees": dict(
            coldFrom=0.16, rampTimeUs=17_000_000, fallMultiple=2.5, overloadForUs=1_000_000, drainGraceUs=250_000, answerSlackUs=8_000
        ),
        "allowed": dict(
            sendCap=8, probes=True, cancel=True, maxRetryAfterUs=1_000_000, retryAfter=True, connectTimeoutUs=400_000,
            idleCloseUs=30_000_000, maxStreams=100, maxOpen=20_000, secondCopies=True,
        ),
    }


def row(name: str, port: int, kind: str, status: str = "up", weight: float = 50.0) -> dict:
    """One endpoint as the notice board lists it."""
    return {
        "name": name, "address": f"127.0.0.1:{port}", "zone": "west-hub", "type": kind, "group": 0, "status": status,
        "weight": weight, "since_ms": 0,
    }


# The platform.


def free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


class Router:
    """One router, started as the platform does: `run` of the deploy file, by /bin/sh from the root, with LB_NAME, LB_LISTEN, LB_CONFIG."""

    def __init__(self, record: Record, rows: list, board_port: int, site: dict, memory_mb: int = 192, sockets: int = 1024):
        if not (ROOT / ".venv/bin/python").exists():
            raise Unable("there is no .venv: run the build of the deploy file first")
        self.record, self.port = record, free_port()
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        config = {
            "name": "n1",
            "listen": f"127.0.0.1:{self.port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
            "board": f"127.0.0.1:{board_port}",
            "flow_bytes_per_s": 310_000,
            "link_bytes_per_s": 1_240_000,
            "known": {"rev": 1, "notices": [{"rev": 1, "pool": {"index": 1, "snapshot": True, "endpoints": rows}}]},
            "settings": site,
        }
        (self.folder / "config.json").write_text(json.dumps(config))
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        env = {key: value for key, value in os.environ.items() if not key.startswith("LB_")}
        env |= {
            "LB_NAME": "n1",
            "LB_LISTEN": config["listen"],
            "LB_CONFIG": str(self.folder / "config.json"),
            "TMPDIR": str(self.folder),
        }
        self.log = open(self.folder / "log.txt", "wb")
        self.process = subprocess.Popen(["/bin/sh", "-c", run], cwd=ROOT, env=env, stdout=self.log, stderr=self.log)
        record.note(f"platform: router n1 started, process {self.process.pid}")

    async def ready(self, limit_s: float = 30.0) -> None:
        """Returns once the router has answered type 80 with code 79."""
        until = time.time() + limit_s
        while time.time() < until:
            if self.process.poll() is not None:
                raise Unable(f"the router ended with code {self.process.returncode}")
            try:
                client = await Client.connect(self.port)
                if await client.is_ready():
                    await client.close()
                    self.record.note("platform: the router is ready")
                    return
                await client.close()
            except OSError:
                pass
            await asyncio.sleep(0.05)
        raise Unable("the router is not ready within 30 s")

    def log_lines(self, word: str) -> list[str]:
        return [line for line in (self.folder / "log.txt").read_text(errors="replace").splitlines() if word in line]

    def end(self) -> None:
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
        self.process.wait()
        self.log.close()
        shutil.rmtree(self.folder, ignore_errors=True)


# Clients.


def fields(values: dict) -> bytes:
    data = bytes((len(values),))
    for name, value in values.items():
        name, value = name.encode(), str(value).encode()
        data += bytes((len(name),)) + name + len(value).to_bytes(2, "big") + value
    return data


def frame(kind: int, stream: int, payload: bytes = b"") -> bytes:
    return (5 + len(payload)).to_bytes(4, "big") + bytes((kind,)) + stream.to_bytes(4, "big") + payload


def request(stream: int, verb: str, txn: str, limit_ms: int, item: str, ram: float, unique: str = "", body: bytes = b"", group: int = 1) -> bytes:
    values = {"verb": verb, "txn": txn, "limit": limit_ms}
    if unique:
        values["unique"] = unique
    values |= {"item": item, "slice": 0, "set": group, "ram": ram}
    return frame(REQUEST, stream, fields(values) + body)


def new_id() -> str:
    return os.urandom(8).hex()


class Client:
    """One connection of a client. `answers` has (code, fields, body, time) by stream; `stream_0` the codes of frames on stream 0."""

    @classmethod
    async def connect(cls, port: int) -> Client:
        self = cls()
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", port)
        self.writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.answers, self.waiting, self.stream_0 = {}, {}, []
        self.told_to_end, self.ended_at, self.end = False, 0.0, ""
        self.last_stream = 0
        self.task = asyncio.ensure_future(self.read())
        return self

    async def read(self) -> None:
        try:
            while True:
                length = int.from_bytes(await self.reader.readexactly(4), "big")
                data = await self.reader.readexactly(length)
                kind, stream, payload = data[0], int.from_bytes(data[1:5], "big"), data[5:]
                if kind == NO_MORE:
                    self.told_to_end = True
                    continue
                code, found, offset = payload[0], {}, 2
                for _ in range(payload[1]):
                    end = offset + 1 + payload[offset]
                    name, size = payload[offset + 1 : end].decode(), int.from_bytes(payload[end : end + 2], "big")
                    found[name] = payload[end + 2 : end + 2 + size].decode()
                    offset = end + 2 + size
                if kind == ANSWER and stream == 0:
                    self.stream_0.append((code, time.time()))
                    continue
                key = (kind, stream)
                self.answers.setdefault(key, []).append((code, found, payload[offset:], time.time()))
                if key in self.waiting and not self.waiting[key].done():
                    self.waiting[key].set_result(self.answers[key][0])
        except asyncio.IncompleteReadError:
            self.end = "closed by the router"
        except OSError as error:
            self.end = f"reset: {type(error).__name__}"
        self.ended_at = time.time()
        for future in self.waiting.values():
            if not future.done():
                future.set_result(None)

    def stream(self) -> int:
        self.last_stream += 1
        return self.last_stream

    def expect(self, kind: int, stream: int) -> asyncio.Future:
        """The future answer on a stream: (code, fields, body, time), or None if the connection ends without one."""
        future = self.waiting[kind, stream] = asyncio.get_running_loop().create_future()
        if self.ended_at:
            future.set_result(None)
        return future

    async def is_ready(self) -> bool:
        stream = self.stream()
        future = self.expect(READY_REPLY, stream)
        self.writer.write(frame(READY_QUERY, stream, fields({})))
        answer = await asyncio.wait_for(future, 5)
        return answer is not None and answer[0] == SERVED

    async def close(self) -> None:
        self.task.cancel()
        self.writer.close()


# Cache servers, parents and the store.


def resp(*items: bytes) -> bytes:
    return b"*%d\r\n" % len(items) + b"".join(b"$%d\r\n%b\r\n" % (len(item), item) for item in items)


def body_of(item: str, chunk: int) -> bytes:
    return (f"{item}/{chunk};" * 40).encode()[:600]


class Want:
    """One attempt as a server got it whole."""

    def __init__(self, server: Server, txn: str, text: str, body: bytes, writer: asyncio.StreamWriter):
        self.server, self.txn, self.body, self.writer, self.at = server, txn, body, writer, time.time()
        self.fields = dict(pair.split("=", 1) for pair in text.split(",")) if text != "-" else {}
        self.given_up = False

    def answer(self, word: str, note: str = "", data: bytes = b"") -> None:
        if self.given_up or self.writer.is_closing():
            return
        text = [f"tell={note}"] if note else []
        if word == "ACK":
            text += ["entity=%s" % self.fields["item"], f"issued={int(time.time() * 1000)}"]
        self.writer.write(resp(self.txn.encode(), word.encode(), ",".join(text).encode() or b"-", data))


def note_runs(record: Record, servers: list) -> None:
    """Notes each attempt that the servers got, at the time at which it came: for cases that do not note them as they come."""
    for want in sorted((want for server in servers for want in server.wants), key=lambda want: want.at):
        record.file.write(
            f"{(want.at - record.began) * 1000:10.1f} {want.server.name}: got want {want.txn} cls={want.fields.get('cls')}"
            f" item={want.fields.get('item')} miss={want.fields.get('miss', '-')}{' given up' if want.given_up else ''}\n"
        )


class Server:
    """A server of the platform. `handle(want)` is a coroutine that answers an attempt; the default is a hit after `work_s`."""

    def __init__(self, record: Record, name: str, kind: str = "std-box", work_s: float = 0.02, handle=None):
        self.record, self.name, self.kind, self.work_s = record, name, kind, work_s
        self.handle = handle or self.hit
        self.wants: list[Want] = []
        self.open: dict[tuple, Want] = {}
        self.verbose = True

    async def start(self) -> Server:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def row(self, status: str = "up") -> dict:
        return row(self.name, self.port, self.kind, status)

    async def items(self, reader: asyncio.StreamReader) -> list[bytes]:
        line = await reader.readuntil(b"\r\n")
        items = []
        for _ in range(int(line[1:])):
            size = int((await reader.readuntil(b"\r\n"))[1:])
            items.append((await reader.readexactly(size + 2))[:-2])
        return items

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                items = await self.items(reader)
                if items[0] == b"want":
                    want = Want(self, items[1].decode(), items[2].decode(), items[3], writer)
                    self.wants.append(want)
                    self.open[id(writer), want.txn] = want
                    if self.verbose:
                        self.record.note(f"{self.name}: got want {want.txn} {items[2].decode()} body={len(want.body)}")
                    asyncio.ensure_future(self.run(want))
                elif items[0] == b"never_mind":
                    if self.verbose:
                        self.record.note(f"{self.name}: got never_mind {items[1].decode()}")
                    want = self.open.pop((id(writer), items[1].decode()), None)
                    if want is not None:
                        want.given_up = True
                else:
                    writer.write(resp(items[1], b"READY", b"meter=active:1;cpu:0.2;x0:0.9;x1:0.1", b""))
        except (asyncio.IncompleteReadError, OSError):
            pass
        for key in [key for key in self.open if key[0] == id(writer)]:
            self.open.pop(key).given_up = True
        writer.close()

    async def run(self, want: Want) -> None:
        await self.handle(want)
        self.open.pop((id(want.writer), want.txn), None)

    async def hit(self, want: Want) -> None:
        await asyncio.sleep(self.work_s)
        want.answer("ACK", "TCP_HIT", body_of(want.fields["item"], int(want.fields["chunk"])))


# The notice board.


class Board:
    """The notice board. `first_line_s`: how long a watch waits for its first line."""

    def __init__(self, record: Record, rows: list, first_line_s: float = 0.0):
        self.record, self.first_line_s = record, first_line_s
        self.events = [{"rev": 1, "pool": {"index": 1, "snapshot": True, "endpoints": rows}}]
        self.held_at: dict[int, float] = {}  # when the board came to hold an event, by number
        self.changed = asyncio.Event()

    async def start(self) -> Board:
        self.server = await asyncio.start_server(self.watch, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def publish(self, event: dict) -> float:
        number = len(self.events) + 1
        self.events.append({"rev": number, **event})
        self.held_at[number] = time.time()
        self.record.note(f"board: holds event {number}: {json.dumps(event)}")
        self.changed.set()
        self.changed = asyncio.Event()
        return self.held_at[number]

    async def watch(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        peer = writer.get_extra_info("peername")[1]
        try:
            told = int((await reader.readline()).split()[1])
            self.record.note(f"board: watch {told} from port {peer}")
            closed = asyncio.ensure_future(reader.read())
            if self.first_line_s:
                await asyncio.wait([closed], timeout=self.first_line_s)
            while not closed.done():
                changed = self.changed
                while told < len(self.events):
                    writer.write(json.dumps(self.events[told]).encode() + b"\n")
                    told += 1
                    self.record.note(f"board: told event {told} to port {peer}")
                else:
                    writer.write(b"%d\n" % told)
                waiting = asyncio.ensure_future(changed.wait())
                await asyncio.wait([closed, waiting], timeout=1.0, return_when=asyncio.FIRST_COMPLETED)
                waiting.cancel()
            self.record.note(f"board: port {peer} closed its watch, told up to {told}")
        except (OSError, IndexError, ValueError):
            pass
        writer.close()


def main(folder: Path, play, trouble: bool) -> None:
    """Runs `play(record, trouble)`, a coroutine that returns an exit code, within 110 s, and ends this process with that code. A signal
    to end cancels it, so that it ends what it started."""
    record = Record(folder)
    record.note(f"TROUBLE={int(trouble)}")
    loop = asyncio.new_event_loop()
    try:
        task = loop.create_task(asyncio.wait_for(play(record, trouble), 110))
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            loop.add_signal_handler(number, task.cancel)
        code = loop.run_until_complete(task)
    except (Unable, OSError, ValueError, LookupError, asyncio.TimeoutError, asyncio.CancelledError) as error:
        record.say(f"could not run: {type(error).__name__} {error}")
        code = UNABLE
    record.say({HELD: "the rule held", BROKEN: "THE RULE WAS BROKEN", UNABLE: "no result"}[code])
    os._exit(code)  # `play` has ended the router; connections that are still open need no farewell
