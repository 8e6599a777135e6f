"""What the decision module asks of the program around it, and the plain types that both share.

Times are whole nanoseconds on the host's clock; ids are the host's own and are handed back unchanged.
A hop's result is one of the words in RESULTS; those in NEVER_RAN prove that nothing ran.
"""

from __future__ import annotations

from fieldspur.record import record

RESULTS = ("completed", "error", "full", "timed_out", "unreachable", "broken", "cancelled", "unsent", "missing")
NEVER_RAN = frozenset(("full", "unreachable", "unsent", "missing"))

# How a hop was served, or why its fill failed; 0 where it is not told.
HIT, FILLED, FILLED_BY_ORIGIN, JOINED, PAST_FRESH = 1, 2, 3, 4, 5
SOURCE_REFUSED, SOURCE_LOST, SOURCE_LACKS, NO_FILL_PLACE, ORIGIN_FAILED = 6, 7, 8, 9, 10


@record(frozen=True)
class RemapRule:
    """One remap rule, as the operator states it."""

    kind: str  # "repeatable", "keyed" or "unrepeatable"
    dedup_scope: str  # keyed: who drops repeats, "all", "zone" or "cell"
    dedup_window: int  # keyed: for how long, from the first hop that may have run
    importance: float
    late_share: float  # share of the importance that an answer after the SLA time earns
    sla: int  # SLA time, without the part that grows with the size
    sla_stretch: float  # that part, as a multiple of the txn's own sending time
    time_limit: int  # the client's time limit over all its tries
    uncacheable: bool  # runs at the origin and leaves no copy
    fresh_time: int  # how long a copy is fresh; 0: until purged
    grace_time: int  # how long past that a copy may be served
    stale_share: float  # share of the importance that such an answer earns


class Host:
    """The calls by which the module acts. Each takes effect at once."""

    def now(self) -> int: ...

    def send_hop(self, txn, server, cut_at: int, source, rank: int, max_age: int, join: bool, renew: bool, fetch: bool, go_by: int) -> None:
        """Send the txn to a server; on a miss it fills from `source`, the server itself meaning no fill.

        `max_age` 0 means the rule's own; without `fetch` the source gives only what it holds. A hop that has not gone
        out by `go_by` ends as "unsent": what was right then, a repeat or a cold server's budget, no longer is."""

    def cancel(self, txn, number: int) -> None:
        """Stop waiting for the txn's hop of that number; its end is still reported."""

    def reject(self, txn, come_back: int) -> None:
        """Final answer: not done, trying again is harmless, after `come_back` (0: nothing is said)."""

    def abort(self, txn) -> None:
        """Final answer: failed, with no promise about its effect."""

    def set_alarm(self, label: int, at: int) -> None:
        """Call `alarm_fired(label)` at that time or soon after."""

    def cancel_alarm(self, label: int) -> None:
        """That alarm is not needed any more; a host may drop it, or still call `alarm_fired`."""

    def probe(self, server) -> None:
        """Ask a server how it is; `probe_ended` follows."""

    def log(self, text: str) -> None:
        """One line for the person on call."""
