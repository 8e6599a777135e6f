"""A router that goes by what others settle, and has no voice in it. Free of I/O.

Each that settles reads all others, which is the square of their number in the whole; so of many routers few settle, and the others
read those few. They are told, asked and counted like them before a machine goes (`work.Work.routers`)."""

from __future__ import annotations

from fieldspur.fleet import consensus
from fieldspur.fleet.consensus import Register, StampedValue
from fieldspur.fleet.coordinator import Coordinator
from fieldspur.fleet.failure_detector import FailureDetector
from fieldspur.fleet.member import BEATS_PER_LEASE, Member, check_fleet, has_majority_view, possibly_decided


class Follower:
    """Stands where a Member does. `members`: how many settle; `kept`: the document that it went by when it ended."""

    fenced = False

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
        """What it had kept could be read only now."""
        self.resumed = True
        if kept.decided.stamp > self.decided.stamp:
            self.decided = kept.decided
            self.coordinator.update_document(self.decided.value)

    decode_cached = Member.decode_cached

    def receive_line(self, member: int, value: dict, now: int) -> None:
        """A line of one that settles; raises BadLine where it is none, or of another fleet."""
        check_fleet(self.fleet, value)
        register = self.decode_cached(member, value.get("register"))
        self.coordinator.receive_line(value, self.coordinator.names[member], register.nonce, self.nonce, (register.decided.value,))
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
        return any(one is None or one.life or one.back for one in self.views)

    def is_up_to_date(self) -> bool:
        """It is counted, and knows as much of what is out as any process of it before may have said that it goes by; or there is no
        fleet yet."""
        remembers = self.resumed or has_majority_view(self.views)
        return remembers and self.coordinator.is_counted() or not self.may_be_founded()

    def line(self) -> dict:
        return {"fleet": self.fleet, "follower": self.name, "nonce": self.nonce, **self.coordinator.line()}
