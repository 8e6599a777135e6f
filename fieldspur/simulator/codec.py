"""The simulator's line protocol: input lines become calls on each Router, and its calls on the host become reply lines.

This module makes no routing decisions."""

from __future__ import annotations

import json

from fieldspur.site import US, ConfigError, build_router, deployment

TEXT_FIELDS = ("conf", "message")  # their value extends to the end of the line
RESULTS_BY_CODE = {
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
STATES_BY_CODE = {"U": "up", "L": "draining", "D": "gone"}


class BadInput(Exception):
    """Input that breaks the protocol; the text names the line and what is wrong with it."""


def split(line: str) -> tuple[str, dict[str, str]]:
    """The name of a line and its `key=value` fields."""
    name, _, rest = line.partition(" ")
    if not name or "=" in name:
        raise BadInput("a line without a name")
    fields = {}
    while rest:
        field, separator, after = rest.partition("=")
        if not separator or " " in field:
            raise BadInput(f"{name}: a field without '='")
        if field in TEXT_FIELDS:
            fields[field] = after
            break
        fields[field], _, rest = after.partition(" ")
    return name, fields


def integer_field(fields: dict[str, str], name: str, default: int | None = None) -> int:
    """A field as a whole number; without a default the field is required."""
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


def float_field(fields: dict[str, str], name: str, default: float) -> float:
    """A field as a float, or the default if it is missing."""
    try:
        return float(fields.get(name, default))
    except ValueError:
        raise BadInput(f"'{name}' is not a number: {fields[name][:40]}") from None


def required_field(fields: dict[str, str], name: str) -> str:
    """The text of a field; raises BadInput if it is missing."""
    if name not in fields:
        raise BadInput(f"no field '{name}'")
    return fields[name]


class Instance:
    """One simulated router: it is the host of a Router, whose decisions become reply lines, and passes events to the Router."""

    def __init__(self, protocol: Protocol, name: str, seed: int, conf: dict):
        self.protocol, self.name = protocol, name
        site = deployment(conf, "conf")
        self.columns = site.columns
        self.router = build_router(self, seed, site)

    # The Host interface, called by the Router.

    def now(self) -> int:
        return self.protocol.now

    def send_hop(self, txn, server, cut_at, source, rank, max_age, join, renew, fetch, go_by) -> None:
        # The simulator sends hops at once, so `go_by` is always met.
        fields = f"ticket={txn} server={server} cutAtUs={cut_at // US}"
        if source is None:
            return self.write("attempt " + fields)
        age = f" copyAgeUs={max(1, max_age // US)}" if max_age else ""
        switches = join + 2 * (not fetch) + 8 * renew
        self.write(f"serve_or_fill {fields} fromWhere={source} rank={rank}{age} switches={switches}")

    def cancel(self, txn, number) -> None:
        self.write(f"call_off ticket={txn} trial={number}")

    def reject(self, txn, come_back) -> None:
        self.write(f"deny ticket={txn} backoffUs={come_back // US}")

    def abort(self, txn) -> None:
        self.write(f"report_failure ticket={txn}")

    def cancel_alarm(self, label):
        """Does nothing: the protocol can't cancel an alarm, and an alarm that is no longer needed has no effect."""

    def set_alarm(self, label, at) -> None:
        self.write(f"arm label={label} instantUs={-(-at // US)}")

    def probe(self, server) -> None:
        self.write(f"check server={server}")

    def log(self, text) -> None:
        self.write(f"record message={text}")

    def write(self, line: str) -> None:
        """Adds a reply line, after a `by` line if the line before it is of another router."""
        if self.protocol.reply_instance is not self:
            self.protocol.reply_instance = self
            self.protocol.reply.append(f"by router={self.name}")
        self.protocol.reply.append(line)

    # Events from the simulator.

    def handle_event(self, name: str, fields: dict[str, str]) -> None:
        router = self.router
        if name == "inbound":
            router.txn_arrived(
                integer_field(fields, "ticket"),
                integer_field(fields, "cls"),
                fields.get("object", ""),
                integer_field(fields, "part", 0),
                integer_field(fields, "leftUs") * US,
                float_field(fields, "kb", 0.0),
                integer_field(fields, "purgeGroup", -1),
            )
        elif name == "verdict":
            router.hop_ended(
                integer_field(fields, "ticket"),
                integer_field(fields, "trial"),
                self.hop_result(fields),
                integer_field(fields, "durationUs", 0) * US,
                fields.get("noMore") == "1",
                integer_field(fields, "detail", 0),
                integer_field(fields, "waitedUs") * US if "waitedUs" in fields else None,
                self.load_report(fields),
            )
        elif name == "ack_first":
            router.first_byte_arrived(integer_field(fields, "ticket"), integer_field(fields, "trial"))
        elif name == "timer":
            router.alarm_fired(integer_field(fields, "label"))
        elif name == "withdrawn":
            router.txn_withdrawn(integer_field(fields, "ticket"))
        elif name == "invalidated":
            router.purged(fields.get("object"), integer_field(fields, "group", -1), integer_field(fields, "copyAgeUs", 0) * US)
        elif name == "health_result":
            router.probe_ended(
                required_field(fields, "server"),
                self.hop_result(fields),
                integer_field(fields, "durationUs", 0) * US,
                self.load_report(fields),
            )

    def hop_result(self, fields: dict[str, str]) -> str:
        """The result of a hop or probe from its one-letter code."""
        result = RESULTS_BY_CODE.get(required_field(fields, "how"))
        if result is None:
            raise BadInput(f"unknown outcome '{fields['how'][:40]}'")
        return result

    def load_report(self, fields: dict[str, str]) -> dict[str, float] | None:
        """The server's load report by column, or None without one."""
        if fields.get("stats", "-") == "-":
            return None
        try:
            return dict(zip(self.columns, map(float, fields["stats"].split(","))))
        except ValueError:
            raise BadInput(f"'stats' is not a row of numbers: {fields['stats'][:40]}") from None


class Protocol:
    """Reads batches of lines, passes each event to its router instance, and returns one reply for each batch."""

    def __init__(self):
        self.now = 0
        self.reply: list[str] = []
        self.reply_instance: Instance | None = None
        self.instances: dict[str, Instance] = {}
        self.target: str | None = None  # name of the router that the next events are for
        self.batch: str | None = None  # number of the batch that is being read, None between batches
        self.rows_due, self.pool = 0, None  # how many `server` lines of an `announce` are still missing, and the ServerPool they are for

    def read_line(self, line: str) -> list[str] | None:
        """Handles one input line. Returns the lines of the reply at the end of a batch, else None."""
        name, fields = split(line)
        if self.rows_due and name != "server":
            raise BadInput(f"{self.rows_due} 'server' lines are missing before '{name[:40]}'")
        if name == "sync":
            if self.batch is not None:
                raise BadInput("'sync' inside a batch")
            self.now, self.batch = integer_field(fields, "nowUs") * US, str(integer_field(fields, "frame"))
            self.reply, self.reply_instance, self.target = [], None, None
        elif self.batch is None:
            raise BadInput(f"'{name[:40]}' before any 'sync'")
        elif name == "commit":
            reply = self.reply + [f"end frame={self.batch}"]
            self.batch = None
            return reply
        elif name == "target_instance":
            self.target = required_field(fields, "router")
        elif self.target is None:
            raise BadInput(f"'{name[:40]}' before any 'target_instance'")
        elif name == "enlist":
            try:
                conf = json.loads(required_field(fields, "conf"))
                self.instances[self.target] = Instance(self, self.target, integer_field(fields, "rngSeed"), conf)
            except (ValueError, ConfigError) as error:
                raise BadInput(f"enlist: {error}"[:200]) from None
        elif self.target not in self.instances:
            raise BadInput(f"event for unknown instance '{self.target[:40]}'")
        elif name == "kill":
            del self.instances[self.target]
        elif name == "announce":
            self.begin_list(fields)
        elif name == "server":
            self.add_server(fields)
        else:
            self.instances[self.target].handle_event(name, fields)
        return None

    def begin_list(self, fields: dict[str, str]) -> None:
        """Begins a server list, complete or with changes only; its `server` lines follow."""
        if required_field(fields, "kind") == "X":
            return
        self.pool, self.rows_due = self.instances[self.target].router.pool, integer_field(fields, "rowsIn", 0)
        self.pool.list_begins(complete=fields["kind"] in "FC")
        if not self.rows_due:
            self.pool.list_ends()

    def add_server(self, fields: dict[str, str]) -> None:
        """Adds one server to the list that has begun, and ends the list after its last server."""
        if not self.rows_due:
            raise BadInput("a 'server' line outside a list")
        state = STATES_BY_CODE.get(required_field(fields, "stageState"))
        if state is None:
            raise BadInput(f"unknown state '{fields['stageState'][:40]}'")
        self.pool.server_listed(
            required_field(fields, "server"),
            state,
            integer_field(fields, "startedAtUs", 0) * US,
            integer_field(fields, "locality", 0),
            float_field(fields, "rating", 1.0),
            integer_field(fields, "shape", 0),
            integer_field(fields, "stripe", 0),
        )
        self.rows_due -= 1
        if not self.rows_due:
            self.pool.list_ends()


def serve(source, sink) -> None:
    """Answers batch after batch until the input ends. `source` yields lines of bytes, `sink` is a text file."""
    protocol = Protocol()
    for line_number, raw_line in enumerate(source, 1):
        try:
            line = raw_line.decode("utf-8").rstrip("\r\n")
            reply = protocol.read_line(line) if line else None
        except UnicodeDecodeError:
            raise BadInput(f"line {line_number}: not UTF-8") from None
        except BadInput as error:
            raise BadInput(f"line {line_number}: {error}") from None
        if reply is not None:
            sink.write("\n".join(reply) + "\n")
            sink.flush()
    if protocol.batch is not None:
        raise BadInput(f"the input ends inside batch {protocol.batch}")
