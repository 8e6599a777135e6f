"""The interface between the decision module and the program around it, and the plain types that both use.

Times are whole nanoseconds on the host's clock. The host chooses the idents of txns and gets them back unchanged. The result of a hop is
one of RESULTS; a result in NEVER_RAN proves that the txn did not run at the server.
"""

from __future__ import annotations

from fieldspur.record import record

RESULTS = ("completed", "error", "full", "timed_out", "unreachable", "broken", "cancelled", "unsent", "missing")
NEVER_RAN = frozenset(("full", "unreachable", "unsent", "missing"))

# Notes: how a hop was served, or why its fill failed. 0 means that the answer does not say.
HIT = 1
FILLED = 2
FILLED_BY_ORIGIN = 3
JOINED = 4
PAST_FRESH = 5
SOURCE_REFUSED = 6
SOURCE_LOST = 7
SOURCE_LACKS = 8
NO_FILL_PLACE = 9
ORIGIN_FAILED = 10


@record(frozen=True)
class RemapRule:
    """One remap rule, as the operator states it. Durations are nanoseconds."""

    kind: str  # "repeatable", "keyed" or "unrepeatable"
    dedup_scope: str  # keyed txns: servers that recognize a repeat of a txn, "all", or those of one "zone" or "cell"
    dedup_window: int  # keyed txns: how long a repeat is recognized, from the first hop that may have run
    importance: float
    late_share: float  # share of the importance that an answer after the SLA time earns
    sla: int  # SLA time, without the part that grows with the size
    sla_stretch: float  # the part that grows, as a multiple of the txn's own transfer time
    time_limit: int  # the client's, for all its tries together
    uncacheable: bool  # the txn runs at the origin and leaves no copy
    fresh_time: int  # how long a copy is fresh, 0: until it is purged
    grace_time: int  # how long after its fresh time a copy may still be served
    stale_share: float  # share of the importance that an answer from such a copy earns


class Host:
    """The calls by which the decision module acts. Each takes effect at once."""

    def now(self) -> int: ...

    def send_hop(
        self,
        ident,
        server,
        deadline: int,
        source,
        rank: int,
        max_age: int,
        join: bool,
        renew: bool,
        fetch: bool,
        send_by: int,
    ) -> None:
        """Send the txn to a server. On a miss the server fills from `source`; a source equal to the server forbids a fill.

        `max_age`: maximum age of a copy, 0 for the rule's own. `join`: the hop may join a fill in progress. `renew`: a hit may renew its
        copy from the source. `fetch`: the source may ask the origin for what it lacks. A hop that is not sent by `send_by` ends
        as "unsent", because its repeat or its charge to a slow start budget is no longer valid."""

    def cancel(self, ident, number: int) -> None:
        """Stop waiting for the txn's hop of that number. Its end is still reported."""

    def reject(self, ident, retry_after: int) -> None:
        """Final answer: not done, and a retry is harmless after `retry_after` (0: no time is named)."""

    def abort(self, ident) -> None:
        """Final answer: failed, without a promise that the txn had no effect."""

    def set_alarm(self, label: int, when: int) -> None:
        """Call `alarm_fired(label)` at that time or soon after."""

    def cancel_alarm(self, label: int) -> None:
        """The alarm is no longer needed. A host may drop it, or still call `alarm_fired`."""

    def probe(self, server) -> None:
        """Ask a server for its load. `probe_ended` follows."""

    def log(self, text: str) -> None:
        """Log one line for the operator."""
