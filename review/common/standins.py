"""Stand-ins for the parties that a router talks to: clients, cache servers and the notice board, by the pages of the protocol.

Everything listens on loopback. All times are Unix times in seconds of this process, taken from a clock that nobody steps."""

from __future__ import annotations

import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import traceback
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# An address of its own for each run, so that no port that the system handed out a moment ago is used by another program.
HOST = "127.%d.%d.%d" % (random.randint(20, 250), random.randint(1, 250), random.randint(2, 250))
CLOCK_OFFSET = time.time() - time.monotonic()
SERVED, REFUSED, FAILED = 79, 66, 69
WORDS = {SERVED: "served", REFUSED: "refused", FAILED: "failed"}


def now() -> float:
    return time.monotonic() + CLOCK_OFFSET


class Held(Exception):
    """The case could not run."""


class Record:
    """record.txt beside the script: one line for each event, with the seconds since the start."""

    def __init__(self, folder: Path):
        self.began, self.lock = now(), threading.Lock()
        self.file = open(folder / "record.txt", "w")

    def __call__(self, text: str) -> None:
        with self.lock:
            self.file.write(f"{now() - self.began:9.4f} {text}\n")
            self.file.flush()


def free_port(host: str = HOST) -> int:
    with socket.socket() as sock:
        sock.bind((host, 0))
        return sock.getsockname()[1]


def wait_until(condition, what: str, limit: float = 20.0):
    end = now() + limit
    while not (value := condition()):
        if now() > end:
            raise Held(f"{what} did not come within {limit:g} s")
        time.sleep(0.002)
    return value


def background(function, *arguments) -> None:
    threading.Thread(target=function, args=arguments, daemon=True).start()


# The router, started as the platform starts it.


class Router:
    """A router process: the line `run` of deploy/balancer.toml, started by /bin/sh from the repository's root."""

    def __init__(self, record: Record, folder: Path, name: str, config: dict, operators: dict | None = None, listen: str | None = None):
        self.record, self.folder, self.name = record, folder, name
        self.config_path, self.operators_path = folder / f"{name}.json", folder / f"{name}-operators.json"
        self.address = (HOST, free_port())
        self.operators = operators
        self.process: subprocess.Popen | None = None
        self.write(config, operators)

    def write(self, config: dict, operators: dict | None = None) -> None:
        replace_file(self.config_path, config | {"name": self.name, "listen": "%s:%d" % self.address})
        if operators is not None:
            replace_file(self.operators_path, operators)

    def start(self) -> None:
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        env = {key: value for key, value in os.environ.items() if not key.startswith("LB_")}
        env |= {"LB_CONFIG": str(self.config_path), "LB_NAME": self.name, "LB_LISTEN": "%s:%d" % self.address}
        env |= {"TMPDIR": str(self.folder), "LB_LOG": os.environ.get("LB_LOG", "")}
        if self.operators is not None:
            env["LB_OPERATORS"] = str(self.operators_path)
        self.log = open(self.folder / f"{self.name}.log", "ab")
        self.process = subprocess.Popen(["/bin/sh", "-c", run], cwd=ROOT, env=env, stdout=self.log, stderr=self.log, stdin=subprocess.DEVNULL)
        self.record(f"router {self.name} started as process {self.process.pid}")

    def wait_ready(self, limit: float = 25.0) -> None:
        end = now() + limit
        while now() < end:
            if self.process.poll() is not None:
                raise Held(f"router {self.name} ended with code {self.process.returncode}: {self.log_text()[-800:]}")
            try:
                with socket.create_connection(self.address, timeout=1.0) as sock:
                    sock.sendall(frame(80, 1, b"\0"))
                    sock.settimeout(2.0)
                    data = b""
                    while len(data) < 10:
                        more = sock.recv(64)
                        if not more:
                            break
                        data += more
                    if len(data) >= 10 and data[4] == 81 and data[9] == SERVED:
                        self.record(f"router {self.name} is ready")
                        return
            except OSError:
                pass
            time.sleep(0.02)
        raise Held(f"router {self.name} was not ready within {limit:g} s")

    def log_text(self) -> str:
        return (self.folder / f"{self.name}.log").read_text(errors="replace")

    def signal(self, number: int) -> None:
        self.record(f"router {self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def end(self) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


def replace_file(path: Path, content: dict) -> None:
    new_path = path.with_name(path.name + ".new")
    new_path.write_text(json.dumps(content))
    os.replace(new_path, path)


# The notice board.


class Board:
    """Numbered events; each watcher gets those after the number that it names, and the last number each second."""

    def __init__(self, record: Record):
        self.record, self.events, self.condition = record, [], threading.Condition()
        self.sock = socket.create_server((HOST, 0), backlog=64)
        self.address = "%s:%d" % self.sock.getsockname()
        self.pauses: dict[int, float] = {}  # by number of an event: how long a watcher waits for it after the event before
        self.asked: list[float] = []  # when each watch was asked for
        background(self.accept)

    def add(self, event: dict) -> float:
        """Holds a further event, and tells it to all who watch. Returns the time."""
        with self.condition:
            event = {"rev": len(self.events) + 1, **event}
            at = now()
            self.events.append((at, event))
            self.condition.notify_all()
        self.record(f"board holds event {json.dumps(event)}")
        return at

    def list(self, rows: list[dict], snapshot: bool = False) -> float:
        return self.add({"pool": {"index": len(self.events) + 1, "snapshot": snapshot, "endpoints": rows}})

    def known(self) -> dict:
        with self.condition:
            return {"rev": len(self.events), "notices": [event for _, event in self.events]}

    def accept(self) -> None:
        while True:
            try:
                sock, _ = self.sock.accept()
            except OSError:
                return
            background(self.serve, sock)

    def serve(self, sock: socket.socket) -> None:
        try:
            with sock:
                line = b""
                while not line.endswith(b"\n"):
                    data = sock.recv(64)
                    if not data:
                        return
                    line += data
                last = int(line.split()[1])
                self.asked.append(now())
                self.record(f"board is watched from {last}")
                spoke_at = 0.0
                while True:
                    with self.condition:
                        if len(self.events) <= last:
                            self.condition.wait(0.25)
                        further = [event for _, event in self.events[last:]]
                    for event in further:
                        if pause := self.pauses.get(event["rev"], 0.0):
                            time.sleep(pause)
                            self.record(f"board tells event {event['rev']} {pause:g} s after the one before")
                        sock.sendall(json.dumps(event, separators=(",", ":")).encode() + b"\n")
                        last = event["rev"]
                    if further or now() - spoke_at >= 1.0:
                        sock.sendall(b"%d\n" % last)
                        spoke_at = now()
        except (OSError, ValueError):
            pass


# Cache servers.


class Want:
    """One request that reached a cache server whole."""

    def __init__(self, server, conn, ident: str, fields: dict, body: bytes, began: float, at: float):
        self.server, self.conn, self.ident, self.fields, self.body = server, conn, ident, fields, body
        self.began, self.at = began, at  # when its first and its last byte were read
        self.cancelled = False


class CacheServer:
    """A cache server. `handle(want)` runs in a thread of its own for each request and calls `answer`.

    With `late` the listener takes no connection until `come_up`: its queue is filled, so that the system leaves further ones alone."""

    def __init__(self, record: Record, name: str, handle, late: bool = False):
        self.record, self.name, self.handle = record, name, handle
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.bind((HOST, 0))
        self.sock.listen(0 if late else 256)
        self.address = "%s:%d" % self.sock.getsockname()
        self.wants: list[Want] = []
        self.lock = threading.Lock()
        self.fillers: list[socket.socket] = []
        if late:
            self.fill_queue()
        else:
            background(self.accept)

    def fill_queue(self) -> None:
        """Connects until no further connection comes up."""
        for _ in range(16):
            filler = socket.socket()
            filler.setblocking(False)
            try:
                filler.connect(self.sock.getsockname())
            except BlockingIOError:
                pass
            self.fillers.append(filler)
            time.sleep(0.01)
            if filler.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) or not connected(filler):
                return
        raise Held("the queue of the listener does not fill")

    def come_up(self) -> None:
        """From now on connections are taken."""
        for filler in self.fillers:
            filler.close()
        self.sock.listen(256)
        background(self.accept)
        self.record(f"{self.name} takes connections now")

    def accept(self) -> None:
        while True:
            try:
                sock, _ = self.sock.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            background(CacheConnection(self, sock).read)

    def row(self, kind: str = "std", zone: str = "east", **more) -> dict:
        return {
            "name": self.name,
            "address": self.address,
            "zone": zone,
            "type": kind,
            "group": 0,
            "status": "up",
            "weight": 20,
            "since_ms": 0,
            **more,
        }


def connected(sock: socket.socket) -> bool:
    try:
        sock.getpeername()
        return True
    except OSError:
        return False


class CacheConnection:
    """One connection of a router to a cache server."""

    def __init__(self, server: CacheServer, sock: socket.socket):
        self.server, self.sock, self.lock, self.open = server, sock, threading.Lock(), {}
        self.buffer, self.position, self.read_at = bytearray(), 0, 0.0  # read_at: when the last bytes were read

    def read(self) -> None:
        try:
            while True:
                items, began = self.array()
                if items[0] == b"want":
                    fields = dict(pair.split("=", 1) for pair in items[2].decode().split(",")) if items[2] != b"-" else {}
                    want = Want(self.server, self, items[1].decode(), fields, items[3], began, self.read_at)
                    self.open[want.ident] = want
                    with self.server.lock:
                        self.server.wants.append(want)
                    background(self.server.handle, want)
                elif items[0] == b"never_mind":
                    want = self.open.pop(items[1].decode(), None)
                    if want is not None:
                        want.cancelled = True
                        self.server.record(f"{self.server.name} is told to give up {want.ident}")
                elif items[0] in (b"there", b"busy"):
                    self.send(items[1].decode(), "READY", "-", b"")
        except (OSError, ValueError, EOFError):
            for want in self.open.values():
                want.cancelled = True
            self.sock.close()

    def need(self, size: int) -> None:
        """Reads until `size` bytes lie after the position."""
        while len(self.buffer) - self.position < size:
            if self.position > 1 << 20:
                del self.buffer[: self.position]
                self.position = 0
            data = self.sock.recv(262_144)
            if not data:
                raise EOFError
            self.buffer += data
            self.read_at = now()

    def line(self) -> bytes:
        while (end := self.buffer.find(b"\r\n", self.position)) < 0:
            self.need(len(self.buffer) - self.position + 1)
        line = bytes(self.buffer[self.position : end])
        self.position = end + 2
        return line

    def array(self) -> tuple[list[bytes], float]:
        """The items of the next array, and when its first byte was read."""
        self.need(1)
        items, began = [], self.read_at
        for _ in range(int(self.line()[1:])):
            size = int(self.line()[1:])
            self.need(size + 2)
            items.append(bytes(self.buffer[self.position : self.position + size]))
            self.position += size + 2
        return items, began

    def send(self, ident: str, word: str, fields: str, body: bytes) -> None:
        parts = [ident.encode(), word.encode(), fields.encode(), body]
        data = b"*4\r\n" + b"".join(b"$%d\r\n%b\r\n" % (len(part), part) for part in parts)
        with self.lock:
            try:
                self.sock.sendall(data)
            except OSError:
                pass


def answer(want: Want, word: str = "ACK", fields: str = "-", body: bytes = b"") -> None:
    """Answers a request unless it was given up."""
    want.conn.open.pop(want.ident, None)
    if not want.cancelled:
        want.conn.send(want.ident, word, fields, body)


# Clients.


def frame(kind: int, stream: int, payload: bytes = b"") -> bytes:
    return struct.pack(">IBI", 5 + len(payload), kind, stream) + payload


def request_frame(stream: int, fields: dict, body: bytes = b"") -> bytes:
    parts = [bytes((len(fields),))]
    for name, value in fields.items():
        parts.append(bytes((len(name),)) + name.encode() + struct.pack(">H", len(value)) + value.encode())
    return frame(65, stream, b"".join(parts) + body)


class Answer:
    def __init__(self, code: int, fields: dict, body: bytes, at: float):
        self.code, self.fields, self.body, self.at = code, fields, body, at
        self.word = WORDS.get(code, str(code))


class Client:
    """One connection of a client. `answers` holds, by stream, all answers; `errors` those on stream 0."""

    def __init__(self, router: Router):
        self.sock = socket.create_connection(router.address, timeout=5.0)
        self.sock.settimeout(None)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.answers: dict[int, list[Answer]] = {}
        self.errors, self.told_to_stop, self.ended_at, self.how = [], 0.0, 0.0, ""
        self.sent: dict[int, float] = {}
        self.condition = threading.Condition()
        background(self.read)

    def request(self, stream: int, fields: dict, body: bytes = b"") -> float:
        """Sends a request; returns when its last byte was written."""
        self.sock.sendall(request_frame(stream, fields, body))
        self.sent[stream] = now()
        return self.sent[stream]

    def withdraw(self, stream: int) -> None:
        self.sock.sendall(frame(67, stream))

    def read(self) -> None:
        buffer = b""
        try:
            while data := self.sock.recv(262_144):
                buffer += data
                while len(buffer) >= 4 and len(buffer) >= 4 + (size := struct.unpack(">I", buffer[:4])[0]):
                    message, buffer = buffer[4 : 4 + size], buffer[4 + size :]
                    self.received(message[0], struct.unpack(">I", message[1:5])[0], message[5:])
            self.how = "closed"
        except OSError as error:
            self.how = error.strerror or "error"
        with self.condition:
            self.ended_at = now()
            self.condition.notify_all()

    def received(self, kind: int, stream: int, payload: bytes) -> None:
        with self.condition:
            if kind == 66:
                fields, offset = {}, 2
                for _ in range(payload[1]):
                    end = offset + 1 + payload[offset]
                    name = payload[offset + 1 : end].decode()
                    size = struct.unpack(">H", payload[end : end + 2])[0]
                    fields[name] = payload[end + 2 : end + 2 + size].decode()
                    offset = end + 2 + size
                answer = Answer(payload[0], fields, payload[offset:], now())
                if stream:
                    self.answers.setdefault(stream, []).append(answer)
                else:
                    self.errors.append(answer)
            elif kind == 90:
                self.told_to_stop = now()
            self.condition.notify_all()

    def wait_answer(self, stream: int, limit: float) -> Answer | None:
        """The first answer on that stream; None if the connection ends or the time is over before."""
        with self.condition:
            self.condition.wait_for(lambda: self.answers.get(stream) or self.ended_at, limit)
            return self.answers[stream][0] if self.answers.get(stream) else None

    def close(self) -> None:
        try:
            self.sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.sock.close()


def new_id() -> str:
    return "%016x" % random.getrandbits(64)


# Settings.


def rule(name: str, repeat: str, limit_ms: int, **more) -> dict:
    return {
        "name": name,
        "repeat": repeat,
        "dedupScope": "all",
        "memorySpanUs": 6_000_000,
        "worth": 1.0,
        "lateWorth": 0.15,
        "aimUs": 800_000,
        "aimStretch": 1.6,
        "hardLimitUs": limit_ms * 1000,
        **more,
    }


def settings(rules: list[dict], routers: int = 1, allowed: dict | None = None, info: dict | None = None, guarantees: dict | None = None) -> dict:
    """The object `settings` of a small deployment with one location. Rules that may not simply be repeated run at the origin."""
    return {
        "zone": 0,
        "areas": ["east"],
        "kinds": ["std", "parent", "origin"],
        "weights": "nominal",
        "replicasOfMe": routers,
        "classes": rules,
        "report": {"columns": ["active", "cpu", "x0", "x1"], "how": "probe"},
        "familyInfo": {
            "upperKind": 1,
            "rootKind": 2,
            "neverKept": [row["repeat"] != "idempotent" for row in rules],
            "goodForUs": [0] * len(rules),
            "olderByUs": [0] * len(rules),
            "classStaleWorth": [0.5] * len(rules),
            "countByZone": [routers],
            "pipeKbPerS": [0.0],
            "clientKbPerS": 2800.0,
            "upperColdFrom": 0.071,
            "parentRampUs": 21_000_000,
            "upperFallMultiple": 2.0,
            "siblings": "location",
            "mergesFills": True,
            "goneEverywhereUs": 6_000_000,
            "noticeTimeUs": 500_000,
            "says": "all",
            **(info or {}),
        },
        "guarantees": {
            "coldFrom": 0.16,
            "rampTimeUs": 17_000_000,
            "fallMultiple": 2.5,
            "overloadForUs": 1_000_000,
            "drainGraceUs": 250_000,
            **(guarantees or {}),
        },
        "allowed": {
            "sendCap": 8,
            "probes": False,
            "cancel": True,
            "maxRetryAfterUs": 1_000_000,
            "retryAfter": True,
            "secondCopies": False,
            "connectTimeoutUs": 400_000,
            "idleCloseUs": 30_000_000,
            "maxStreams": 100,
            "maxOpen": 20_000,
            **(allowed or {}),
        },
    }


def node_file(board: Board, site: dict, memory_mb: int = 192, sockets: int = 1024) -> dict:
    return {
        "seed": "%016x" % random.getrandbits(64),
        "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
        "board": board.address,
        "known": board.known(),
        "settings": site,
    }


# Running a case.


class Case:
    """What a case needs: a record, a temporary folder, and routers that are ended whatever happens."""

    def __init__(self, folder: Path):
        self.folder = folder
        self.record = Record(folder)
        self.temporary = Path(tempfile.mkdtemp(prefix="review-"))
        self.routers: list[Router] = []

    def router(self, name: str, config: dict, operators: dict | None = None) -> Router:
        router = Router(self.record, self.temporary, name, config, operators)
        self.routers.append(router)
        return router

    def end(self) -> None:
        for router in self.routers:
            router.end()
        shutil.rmtree(self.temporary, ignore_errors=True)


def main(folder: str, play, limit_s: float = 110.0) -> None:
    """Plays a case. `play(case)` returns the text of what broke the rule, or an empty one. Exits with 1, 0, or 2 if it could not run."""
    case, outcome = Case(Path(folder)), []

    def run() -> None:
        try:
            broken = play(case)
            outcome.append((1, f"BROKEN: {broken}") if broken else (0, "the rule held"))
        except Held as why:
            outcome.append((2, f"could not run: {why}"))
        except Exception:
            outcome.append((2, "could not run: " + traceback.format_exc()))

    case.record(f"TROUBLE={int(TROUBLE)}")
    thread = threading.Thread(target=run, daemon=True)
    thread.start()
    thread.join(limit_s)
    code, text = outcome[0] if outcome else (2, f"could not run: not over after {limit_s:g} s")
    for router in case.routers:
        if os.environ.get("REVIEW_LOGS"):
            shutil.copy(case.temporary / f"{router.name}.log", folder)
    case.end()
    case.record(text)
    print(text)
    sys.stdout.flush()
    os._exit(code)
