"""One voting member of a fleet: consensus, lease and the decision to ask for the role of coordinator. This module does no I/O:
lines of the others and the passing of time go in, the line to publish comes out. Times are whole ns of this process' monotonic
clock."""

from __future__ import annotations

import random
from typing import Any

from fieldspur.fleet import consensus, register_codec
from fieldspur.fleet.consensus import NO_BALLOT, Register, StampedValue
from fieldspur.fleet.failure_detector import FailureDetector
from fieldspur.fleet.lease import HeartbeatAck, Lease

BEATS_PER_LEASE = 6  # how many ticks the holder publishes within the length of a lease


def check_fleet(fleet: str, value: dict) -> None:
    """Raises BadLine if a line belongs to another fleet."""
    if value.get("fleet") != fleet:
        raise register_codec.BadLine(f"fleet: {str(value.get('fleet'))[:40]}")


def handle_follower_line(fleet: str, name: str, value: dict, coordinator, own_nonce: int) -> None:
    """Passes a follower's line to `coordinator`. Raises BadLine if the line is not valid."""
    check_fleet(fleet, value)
    if value.get("follower") != name:
        raise register_codec.BadLine(f"follower: {str(value.get('follower'))[:40]} at {name}'s address")
    coordinator.receive_line(value, name, register_codec.whole_number(value.get("nonce"), "nonce", 1), own_nonce)


def has_majority_view(views: list, own_number: int = -1) -> bool:
    """Whether registers of a majority of the voting members were read, or of all other members. What this process knows is then as
    recent as any document that was decided. Otherwise a process without memory could read a member that lags behind, although its
    previous incarnation had reported a later document: the coordinator relies on that report, and could withdraw a machine that
    this process would still use."""
    with_memory = [view for view in views if view is not None and view.life]
    return (
        len(with_memory) >= consensus.majority(len(views))
        or bool(with_memory)
        and all(view is not None for n, view in enumerate(views) if n != own_number)
    )


def possibly_decided(views: list) -> list:
    """Values that are decided, or that may be, as far as these registers show."""
    return [stamped.value for view in views if view is not None and view.life for stamped in (view.accepted, view.decided)]


class Member:
    """A voting member. `register` is the stored one, or a blank one. `lease_length` is in ns and the same at all members of `fleet`."""

    def __init__(
        self, fleet: str, register: Register, members: int, now: int, lease_length: int, seed: int, lost_memory: bool, coordinator=None
    ):
        """`coordinator` provides what this member reports to the others, and the value that follows an agreed value. Without a
        coordinator this member reports nothing and proposes no value."""
        self.fleet, self.register, self.own_number, self.coordinator = fleet, register, register.member, coordinator
        self.beat, self.random = lease_length // BEATS_PER_LEASE, random.Random(seed)  # beat: ns between two ticks
        self.views: list = [None] * members  # by member: its last register
        self.decoded: list = [(None, None)] * members  # by member: its last register as JSON value and decoded
        self.acks: list = [None] * members  # by member: the lease tick that it acknowledged last
        self.ticks: list = [(NO_BALLOT, 0)] * members  # by member: the ballot and tick that it published as holder
        self.now = now
        self.lease = Lease(self.own_number, lease_length, started_at=now, lost_memory=lost_memory)
        self.failure_detector = FailureDetector(self.own_number, members, now, self.beat, self.beat // 4)
        self.last_tick_at = 0
        self.request_ballot_at = now + lease_length  # the earliest time for a ballot of its own
        self.fenced = False

    def restore(self, stored: Register, now: int) -> None:
        """The stored register could be read only now. Until now this member has published nothing and has not rejoined without it."""
        self.register = consensus.resume(stored, self.register.nonce)
        self.lease.memory_restored()
        self.request_ballot_at = now + self.lease.length
        if self.coordinator is not None:
            self.coordinator.update_document(self.register.decided.value)

    # Input: lines of other members and of followers.

    def receive_line(self, member: int, value: dict, now: int) -> None:
        """Handles a line of another member. Raises BadLine if the line is not valid or belongs to another fleet."""
        check_fleet(self.fleet, value)
        register = self.decode_cached(member, value.get("register"))
        ack, tick = (register_codec.ballot_and_tick(value.get(name), name) for name in ("backs", "tick"))
        if self.coordinator is not None:
            self.coordinator.receive_line(
                value,
                self.coordinator.voter_names[member],
                register.nonce,
                self.register.nonce,
                (stamped.value for stamped in (register.accepted, register.said, register.decided)),
            )
        self.acks[member], self.ticks[member] = HeartbeatAck(*ack), tick
        self.views[member] = register
        self.failure_detector.record_line(member, register.nonce, now)
        self.advance(now)

    def decode_cached(self, member: int, raw: Any) -> Register:
        """Decodes a register, unless it equals the last one of that member: most lines differ in the tick only."""
        last_raw, last_register = self.decoded[member]
        if raw == last_raw and last_register is not None:
            return last_register
        register = register_codec.decode_register(raw, len(self.views))
        if register.member != member:
            raise register_codec.BadLine(f"member: {register.member} at {member}'s address")
        self.decoded[member] = raw, register
        return register

    def receive_follower_line(self, name: str, value: dict, now: int) -> None:
        """Handles a line of a follower. Raises BadLine if the line is not valid or belongs to another fleet."""
        handle_follower_line(self.fleet, name, value, self.coordinator, self.register.nonce)
        self.failure_detector.record_line(name, value["nonce"], now)

    def receive_heartbeat(self, member, now: int) -> None:
        """Handles a line of a member or follower without new content. Without it the failure detector would learn long intervals while
        nothing changes: in tests with processes a killed coordinator was replaced only after 5.4 s of a lease of 1 s."""
        if type(member) is not int:
            self.failure_detector.record_line(
                member, self.coordinator.reports[member].nonce if member in self.coordinator.reports else 0, now
            )
        elif self.views[member] is not None:
            self.failure_detector.record_line(member, self.views[member].nonce, now)

    def found_fleet(self) -> None:
        """An operator declares that no fleet existed before. Raises ValueError if that is refused."""
        self.register = consensus.found_fleet(self.register, self.all_views())

    # Consensus, lease and the role of the coordinator.

    def all_views(self) -> list:
        """The last register of each member, with this member's own."""
        views = list(self.views)
        views[self.own_number] = self.register
        return views

    def step(self, now: int) -> None:
        """Applies one step of the consensus to the register."""
        self.register = consensus.step(
            self.register, self.all_views(), lambda ballot: self.lease.may_promise(ballot, now), self.lease.may_rejoin(now)
        )

    def advance(self, now: int) -> None:
        """Updates the register, the lease and the known document from what was read."""
        register_before, self.now = self.register, now
        if consensus.is_fenced(self.register, self.all_views()):
            self.fenced = True
            return
        self.step(now)
        for ballot, tick in self.ticks:
            if ballot == self.register.promised != NO_BALLOT and self.register.life and ballot[1] != self.own_number:
                self.lease.acknowledge(ballot, tick, now)
        for _ in range(2):
            proposed = consensus.propose(self.register, self.all_views(), self.successor)
            if proposed is self.register:  # no new proposal, so no step is needed; only the holder of the lease proposes
                break
            self.register = proposed
            self.step(now)
        if self.coordinator is not None:  # a member with memory uses only what it also stores, because others may rely on what it reports
            self.coordinator.update_document((self.register.decided if self.register.life else self.latest_decided()).value)
        if register_before.promised != self.register.promised:
            self.request_ballot_at = now + self.random_delay()

    def successor(self, value: Any) -> Any:
        """The value that follows the agreed value; None if there is none, or if this member does not hold the lease at this moment."""
        return self.coordinator.next_value(value, self.now) if self.coordinator is not None and self.is_coordinator(self.now) else None

    def latest_decided(self) -> StampedValue:
        """The latest decided value that is known here. What a member read before it lost its memory is still decided."""
        return max((view.decided for view in self.all_views() if view is not None), key=lambda stamped: stamped.stamp)

    def may_be_founded(self) -> bool:
        """Whether the fleet is founded, or may be because not all other members were heard from."""
        return any(view is None or view.life or view.back for view in self.all_views())

    def is_up_to_date(self) -> bool:
        """Whether this process knows at least the document that any earlier process of this member may have reported."""
        return self.register.life > 0 or not self.may_be_founded() or has_majority_view(self.views, self.own_number)

    def random_delay(self) -> int:
        """ns to wait before requesting a ballot: random, and from a wider range the more members there are, so that few compete."""
        return int(self.beat * (1 + self.random.random() * len(self.views)))

    def tick(self, now: int) -> None:
        """Handles the passing of time. To be called about four times a beat."""
        self.failure_detector.check_standstill(now)
        self.advance(now)
        if self.coordinator is not None:
            stamped_values = (self.latest_decided(), self.register.accepted, self.register.said)
            self.coordinator.tick(
                now,
                self.is_coordinator(now),
                [stamped.value for stamped in stamped_values],
                self.failure_detector.suspected(now),
                self.may_be_founded(),
                possibly_decided(self.all_views()),
            )
        if self.fenced or not self.register.life:
            return
        if self.leads():
            above = max((view.promised for view in self.views if view is not None and view.life), default=NO_BALLOT)
            if above > self.register.promised:  # else a member that requested ballots while it read nobody would not follow
                self.register = consensus.request_ballot(self.register, above)
            elif now - self.last_tick_at >= self.beat:
                self.last_tick_at = now
                self.lease.publish_tick(self.register.asked, now)
            return
        if self.follows_coordinator(now):
            self.request_ballot_at = now + self.random_delay()
        elif now >= self.request_ballot_at and self.lease.may_promise((self.register.promised[0] + 1, self.own_number), now):
            self.request_ballot_at = now + 2 * self.beat + self.random_delay()
            self.register = consensus.request_ballot(self.register)

    def follows_coordinator(self, now: int) -> bool:
        """Whether another member is the coordinator, as far as is known here: it is not suspected, and this member or a majority has
        promised its ballot."""
        promised_ballots = [view.promised for view in self.views if view is not None and view.life]
        for ballot in {self.register.promised, *promised_ballots}:
            if (
                0 <= ballot[1] != self.own_number
                and not self.failure_detector.is_suspected(ballot[1], now)
                and (ballot == self.register.promised or promised_ballots.count(ballot) >= consensus.majority(len(self.views)))
            ):
                return True
        return False

    def leads(self) -> bool:
        """Whether a majority has promised this member's ballot."""
        return consensus.leads(self.register, self.all_views())

    def is_coordinator(self, now: int) -> bool:
        """Whether this member holds the lease at `now`. To be checked just before each act of the coordinator."""
        return not self.fenced and self.leads() and self.lease.is_held(self.acks, now)

    def agreed_value(self) -> Any:
        """The latest agreed value that this member knows, None before the first."""
        return self.register.decided.value

    def line(self) -> dict:
        """The line to publish as soon as `register` is stored."""
        is_own_ballot = self.lease.ballot == self.register.asked == self.register.promised
        return {
            "fleet": self.fleet,
            "register": register_codec.encode_register(self.register),
            "tick": [list(self.lease.ballot), self.lease.tick] if is_own_ballot else [list(NO_BALLOT), 0],
            "backs": [list(self.lease.own_ack.ballot), self.lease.own_ack.tick],
            **(self.coordinator.line() if self.coordinator is not None else {}),
        }
