"""A router that follows the agreed documents and does not vote. Free of I/O.

Each voting member reads the lines of all others, so the total cost grows with the square of their number. In a large fleet few routers
vote, and the others read those few. Followers are notified, report and are counted like voting members before a machine goes out
(`work_orders.WorkDocument.routers`)."""

from __future__ import annotations

from fieldspur.fleet import consensus
from fieldspur.fleet.consensus import Register, StampedValue
from fieldspur.fleet.coordinator import Coordinator
from fieldspur.fleet.failure_detector import FailureDetector
from fieldspur.fleet.member import BEATS_PER_LEASE, Member, check_fleet, has_majority_view, possibly_decided


class Follower:
    """Takes the place of a `Member` in the transport, and offers the same methods.

    `members` is the number of voting members, `length` the length of a lease in ns, and `kept` the stored document that this router
    went by when its last process ended."""

    fenced = False  # only a voting member is fenced, by a later process of its name

    def __init__(
        self,
        fleet: str,
        name: str,
        nonce: int,
        members: int,
        now: int,
        length: int,
        coordinator: Coordinator,
        kept: StampedValue | None = None,
    ):
        self.fleet, self.name, self.nonce, self.coordinator = fleet, name, nonce, coordinator
        self.beat = length // BEATS_PER_LEASE
        self.views: list = [None] * members
        self.decoded: list = [(None, None)] * members
        self.failure_detector = FailureDetector(-1, members, now, self.beat, self.beat // 4)
        self.resumed, self.decided = kept is not None, kept or consensus.NO_VALUE
        coordinator.update_document(self.decided.value)

    def restore(self, kept: Register, now: int) -> None:
        """Takes over the stored document, which could not be read at the start."""
        self.resumed = True
        if kept.decided.stamp > self.decided.stamp:
            self.decided = kept.decided
            self.coordinator.update_document(self.decided.value)

    decode_cached = Member.decode_cached

    def receive_line(self, member: int, value: dict, now: int) -> None:
        """Reads a line of a voting member; raises BadLine where it is invalid or of another fleet."""
        check_fleet(self.fleet, value)
        register = self.decode_cached(member, value.get("register"))
        self.coordinator.receive_line(value, self.coordinator.voter_names[member], register.nonce, self.nonce, (register.decided.value,))
        self.views[member] = register
        self.failure_detector.record_line(member, register.nonce, now)
        if register.decided.stamp > self.decided.stamp:
            self.decided = register.decided
            self.coordinator.update_document(self.decided.value)

    def receive_heartbeat(self, member: int, now: int) -> None:
        if self.views[member] is not None:
            self.failure_detector.record_line(member, self.views[member].nonce, now)

    def tick(self, now: int) -> None:
        self.failure_detector.check_standstill(now)
        self.coordinator.tick(now, False, [], (), self.may_be_founded(), possibly_decided(self.views))

    def is_coordinator(self, now: int) -> bool:
        return False

    def may_be_founded(self) -> bool:
        """Whether a fleet exists, or may exist because not all voting members were heard from."""
        return any(view is None or view.life or view.back for view in self.views)

    def is_up_to_date(self) -> bool:
        """Whether this router may serve: no fleet exists yet, or the document counts this router and it knows at least the documents that
        an earlier process of it may have reported as applied."""
        knows_earlier_reports = self.resumed or has_majority_view(self.views)
        return knows_earlier_reports and self.coordinator.is_counted() or not self.may_be_founded()

    def line(self) -> dict:
        return {"fleet": self.fleet, "follower": self.name, "nonce": self.nonce, **self.coordinator.line()}
