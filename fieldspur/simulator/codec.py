"""The simulator's wire: text lines in, calls on each Router, reply lines out. It decides nothing."""

from __future__ import annotations

import json

from fieldspur.site import US, ConfigError, build_router, deployment

TEXT_FIELDS = ("conf", "message")
RESULT_WORDS = {
    "S": "completed",
    "E": "error",
    "F": "full",
    "T": "timed_out",
    "C": "unreachable",
    "R": "broken",
    "X": "cancelled",
    "N": "unsent",
    "M": "missing",
}
STATE_WORDS = {"U": "up", "L": "draining", "D": "gone"}


class BadInput(Exception):
    """Input that is not this wire; the text names the line and what is wrong with it."""


def split(line: str) -> tuple[str, dict[str, str]]:
    name, _, rest = line.partition(" ")
    if not name or "=" in name:
        raise BadInput("a line without a name")
    fields = {}
    while rest:
        field, eq, after = rest.partition("=")
        if not eq or " " in field:
            raise BadInput(f"{name}: a field without '='")
        if field in TEXT_FIELDS:
            fields[field] = after
            break
        fields[field], _, rest = after.partition(" ")
    return name, fields


def whole(fields: dict[str, str], name: str, default: int | None = None) -> int:
    text = fields.get(name)
    if text is None:
        if default is None:
            raise BadInput(f"no field '{name}'")
        return default
    try:
        return int(text)
    except ValueError:
        pass
    try:
        return int(float(text))
    except (ValueError, OverflowError):
        raise BadInput(f"'{name}' is not a number: {text[:40]}") from None


def real(fields: dict[str, str], name: str, default: float) -> float:
    try:
        return float(fields.get(name, default))
    except ValueError:
        raise BadInput(f"'{name}' is not a number: {fields[name][:40]}") from None


def need(fields: dict[str, str], name: str) -> str:
    if name not in fields:
        raise BadInput(f"no field '{name}'")
    return fields[name]


class Instance:
    """One router on this wire: the host that its decisions act through, and the state of its list."""

    def __init__(self, wire: Wire, name: str, seed: int, conf: dict):
        self.wire, self.name = wire, name
        site = deployment(conf, "conf")
        self.columns = site.columns
        self.router = build_router(self, seed, site)

    # The host interface.

    def now(self) -> int:
        return self.wire.now

    def send_hop(self, txn, server, cut_at, source, rank, max_age, join, renew, fetch, go_by) -> None:  # at once, so by `go_by`
        line = f"ticket={txn} server={server} cutAtUs={cut_at // US}"
        if source is None:
            return self.say("attempt " + line)
        age = f" copyAgeUs={max(1, max_age // US)}" if max_age else ""
        switches = join + 2 * (not fetch) + 8 * renew
        self.say(f"serve_or_fill {line} fromWhere={source} rank={rank}{age} switches={switches}")

    def cancel(self, txn, number) -> None:
        self.say(f"call_off ticket={txn} trial={number}")

    def reject(self, txn, come_back) -> None:
        self.say(f"deny ticket={txn} backoffUs={come_back // US}")

    def abort(self, txn) -> None:
        self.say(f"report_failure ticket={txn}")

    def cancel_alarm(self, label):
        """Nothing: the wire has no word for it, and an alarm that is not needed does nothing."""

    def set_alarm(self, label, at) -> None:
        self.say(f"arm label={label} instantUs={-(-at // US)}")

    def probe(self, server) -> None:
        self.say(f"check server={server}")

    def log(self, text) -> None:
        self.say(f"record message={text}")

    def say(self, line: str) -> None:
        if self.wire.speaker is not self:
            self.wire.speaker = self
            self.wire.reply.append(f"by router={self.name}")
        self.wire.reply.append(line)

    # Events.

    def event(self, name: str, f: dict[str, str]) -> None:
        router = self.router
        if name == "inbound":
            router.txn_arrived(
                whole(f, "ticket"),
                whole(f, "cls"),
                f.get("object", ""),
                whole(f, "part", 0),
                whole(f, "leftUs") * US,
                real(f, "kb", 0.0),
                whole(f, "purgeGroup", -1),
            )
        elif name == "verdict":
            router.hop_ended(
                whole(f, "ticket"),
                whole(f, "trial"),
                self.result(f),
                whole(f, "durationUs", 0) * US,
                f.get("noMore") == "1",
                whole(f, "detail", 0),
                whole(f, "waitedUs") * US if "waitedUs" in f else None,
                self.load(f),
            )
        elif name == "ack_first":
            router.first_byte_arrived(whole(f, "ticket"), whole(f, "trial"))
        elif name == "timer":
            router.alarm_fired(whole(f, "label"))
        elif name == "withdrawn":
            router.txn_withdrawn(whole(f, "ticket"))
        elif name == "invalidated":
            router.purged(f.get("object"), whole(f, "group", -1), whole(f, "copyAgeUs", 0) * US)
        elif name == "health_result":
            router.probe_ended(need(f, "server"), self.result(f), whole(f, "durationUs", 0) * US, self.load(f))

    def result(self, f: dict[str, str]) -> str:
        word = RESULT_WORDS.get(need(f, "how"))
        if word is None:
            raise BadInput(f"unknown outcome '{f['how'][:40]}'")
        return word

    def load(self, f: dict[str, str]) -> dict[str, float] | None:
        if f.get("stats", "-") == "-":
            return None
        try:
            return dict(zip(self.columns, map(float, f["stats"].split(","))))
        except ValueError:
            raise BadInput(f"'stats' is not a row of numbers: {f['stats'][:40]}") from None


class Wire:
    """Reads batches, hands each event to its instance, and writes one whole reply a batch."""

    def __init__(self):
        self.now = 0
        self.reply: list[str] = []
        self.speaker: Instance | None = None
        self.instances: dict[str, Instance] = {}
        self.target: str | None = None
        self.frame: str | None = None  # number of the batch being read, None between batches
        self.rows_due, self.listing = 0, None  # entries of an `announce` still to come, and whose they are

    def line(self, line: str) -> list[str] | None:
        """Take one line; at the end of a batch return the lines of its reply."""
        name, f = split(line)
        if self.rows_due and name != "server":
            raise BadInput(f"{self.rows_due} 'server' lines are missing before '{name[:40]}'")
        if name == "sync":
            if self.frame is not None:
                raise BadInput("'sync' inside a batch")
            self.now, self.frame = whole(f, "nowUs") * US, str(whole(f, "frame"))
            self.reply, self.speaker, self.target = [], None, None
        elif self.frame is None:
            raise BadInput(f"'{name[:40]}' before any 'sync'")
        elif name == "commit":
            done = self.reply + [f"end frame={self.frame}"]
            self.frame = None
            return done
        elif name == "target_instance":
            self.target = need(f, "router")
        elif self.target is None:
            raise BadInput(f"'{name[:40]}' before any 'target_instance'")
        elif name == "enlist":
            try:
                conf = json.loads(need(f, "conf"))
                self.instances[self.target] = Instance(self, self.target, whole(f, "rngSeed"), conf)
            except (ValueError, ConfigError) as wrong:
                raise BadInput(f"enlist: {wrong}"[:200]) from None
        elif self.target not in self.instances:
            raise BadInput(f"event for unknown instance '{self.target[:40]}'")
        elif name == "kill":
            del self.instances[self.target]
        elif name == "announce":
            self.announce(f)
        elif name == "server":
            self.server(f)
        else:
            self.instances[self.target].event(name, f)
        return None

    def announce(self, f: dict[str, str]) -> None:
        if need(f, "kind") == "X":
            return
        self.listing, self.rows_due = self.instances[self.target].router.pool, whole(f, "rowsIn", 0)
        self.listing.list_begins(complete=f["kind"] in "FC")
        if not self.rows_due:
            self.listing.list_ends()

    def server(self, f: dict[str, str]) -> None:
        if not self.rows_due:
            raise BadInput("a 'server' line outside a list")
        state = STATE_WORDS.get(need(f, "stageState"))
        if state is None:
            raise BadInput(f"unknown state '{f['stageState'][:40]}'")
        self.listing.server_listed(
            need(f, "server"),
            state,
            whole(f, "startedAtUs", 0) * US,
            whole(f, "locality", 0),
            real(f, "rating", 1.0),
            whole(f, "shape", 0),
            whole(f, "stripe", 0),
        )
        self.rows_due -= 1
        if not self.rows_due:
            self.listing.list_ends()


def serve(source, sink) -> None:
    """Answer batch after batch until the input ends."""
    wire = Wire()
    for number, raw in enumerate(source, 1):
        try:
            line = raw.decode("utf-8").rstrip("\r\n")
            reply = wire.line(line) if line else None
        except UnicodeDecodeError:
            raise BadInput(f"line {number}: not UTF-8") from None
        except BadInput as bad:
            raise BadInput(f"line {number}: {bad}") from None
        if reply is not None:
            sink.write("\n".join(reply) + "\n")
            sink.flush()
    if wire.frame is not None:
        raise BadInput(f"the input ends inside batch {wire.frame}")
