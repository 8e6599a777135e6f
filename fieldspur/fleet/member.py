"""One member, put together: agreement, lease, who asks to act. Free of I/O: lines of others and the passing of time go in, the
line to publish comes out. Times are whole ns of this process' monotonic clock."""

from __future__ import annotations

import random
from typing import Any

from fieldspur.fleet import consensus, register_codec
from fieldspur.fleet.consensus import NO_BALLOT, Register, StampedValue
from fieldspur.fleet.failure_detector import FailureDetector
from fieldspur.fleet.lease import Backs, Lease

BEATS_PER_LEASE = 6  # ticks of its holder within a lease


def check_fleet(fleet: str, value: dict) -> None:
    """Raises BadLine where a line is of another."""
    if value.get("fleet") != fleet:
        raise register_codec.BadLine(f"fleet: {str(value.get('fleet'))[:40]}")


def follower_line(fleet: str, name: str, value: dict, coordinator, own_nonce: int) -> None:
    """Takes a follower's line, or raises BadLine."""
    check_fleet(fleet, value)
    if value.get("follower") != name:
        raise register_codec.BadLine(f"follower: {str(value.get('follower'))[:40]} at {name}'s address")
    coordinator.receive_line(value, name, register_codec.whole_number(value.get("nonce"), "nonce", 1), own_nonce)


def has_majority_view(views: list, me: int = -1) -> bool:
    """A majority of those that settle was heard, or all there are: what one of them has taken over is as late as any document that was
    decided. Guards against a process without memory that hears one that lags, while its life before had said that it goes by a
    later document: who acts may count on that word, and a machine go that this process would use."""
    alive = [one for one in views if one is not None and one.life]
    return len(alive) >= consensus.majority(len(views)) or bool(alive) and all(one is not None for n, one in enumerate(views) if n != me)


def possibly_decided(views: list) -> list:
    """Values that are decided, or that may be, as far as is known here."""
    return [said.value for one in views if one is not None and one.life for said in (one.accepted, one.decided)]


class Member:
    """`register` is what was kept, or blank. `length` ns is a lease's; all members have the same, and the same `fleet`."""

    def __init__(self, fleet: str, register: Register, members: int, now: int, length: int, seed: int, forgot: bool, coordinator=None):
        """`coordinator` says what this member tells the others and what follows on an agreed value; without one nothing does."""
        self.fleet, self.register, self.me, self.coordinator = fleet, register, register.member, coordinator
        self.beat, self.random = length // BEATS_PER_LEASE, random.Random(seed)
        self.views: list = [None] * members
        self.decoded: list = [(None, None)] * members  # the register each said last, as it came and as it was read
        self.said: list = [None] * members
        self.ticks: list = [(NO_BALLOT, 0)] * members
        self.now = now
        self.lease = Lease(self.me, length, began=now, forgot=forgot)
        self.failure_detector = FailureDetector(self.me, members, now, self.beat, self.beat // 4)
        self.ticked = 0
        self.ask_at = now + length
        self.fenced = False

    def restore(self, kept: Register, now: int) -> None:
        """What this member had kept could be read only now. It has said nothing yet, nor come back without it."""
        self.register = consensus.resume(kept, self.register.nonce)
        self.lease.remembers()
        self.ask_at = now + self.lease.length
        if self.coordinator is not None:
            self.coordinator.update_document(self.register.decided.value)

    # What comes in.

    def receive_line(self, member: int, value: dict, now: int) -> None:
        """A line of that member; raises BadLine where it is none, or of another fleet."""
        check_fleet(self.fleet, value)
        register = self.decode_cached(member, value.get("register"))
        backs, tick = (register_codec.ticked(value.get(name), name) for name in ("backs", "tick"))
        if self.coordinator is not None:
            self.coordinator.receive_line(
                value,
                self.coordinator.names[member],
                register.nonce,
                self.register.nonce,
                (said.value for said in (register.accepted, register.said, register.decided)),
            )
        self.said[member], self.ticks[member] = Backs(*backs), tick
        self.views[member] = register
        self.failure_detector.record_line(member, register.nonce, now)
        self.follow(now)

    def decode_cached(self, member: int, raw: Any) -> Register:
        """What was read last stands for the same again: most lines bring a tick only."""
        before, read = self.decoded[member]
        if raw == before and read is not None:
            return read
        register = register_codec.decode_register(raw, len(self.views))
        if register.member != member:
            raise register_codec.BadLine(f"member: {register.member} at {member}'s address")
        self.decoded[member] = raw, register
        return register

    def receive_follower_line(self, name: str, value: dict, now: int) -> None:
        """A line of a router that follows; raises BadLine where it is none, or of another fleet."""
        follower_line(self.fleet, name, value, self.coordinator, self.register.nonce)
        self.failure_detector.record_line(name, value["nonce"], now)

    def receive_heartbeat(self, member, now: int) -> None:
        """A line of it that tells nothing new. Guards against intervals learned while nothing happened: found with
        processes, where a killed member was followed after 5.4 s of a lease of 1 s."""
        if type(member) is not int:
            self.failure_detector.record_line(
                member, self.coordinator.reports[member].nonce if member in self.coordinator.reports else 0, now
            )
        elif self.views[member] is not None:
            self.failure_detector.record_line(member, self.views[member].nonce, now)

    def found_fleet(self) -> None:
        self.register = consensus.found(self.register, self.seen())

    # What follows.

    def seen(self) -> list:
        views = list(self.views)
        views[self.me] = self.register
        return views

    def step(self, now: int) -> None:
        self.register = consensus.step(
            self.register, self.seen(), lambda ballot: self.lease.may_promise(ballot, now), self.lease.may_return(now)
        )

    def follow(self, now: int) -> None:
        before, self.now = self.register, now
        if consensus.fenced(self.register, self.seen()):
            self.fenced = True
            return
        self.step(now)
        for ballot, tick in self.ticks:
            if ballot == self.register.promised != NO_BALLOT and self.register.life and ballot[1] != self.me:
                self.lease.read(ballot, tick, now)
        for _ in range(2):
            said = consensus.propose(self.register, self.seen(), self.successor)
            if said is self.register:  # it has no word of its own, as all but the holder, and no step follows
                break
            self.register = said
            self.step(now)
        if self.coordinator is not None:  # of what is kept, where this member remembers: it may be asked later what it went by
            self.coordinator.update_document((self.register.decided if self.register.life else self.latest_decided()).value)
        if before.promised != self.register.promised:
            self.ask_at = now + self.pause()

    def successor(self, value: Any) -> Any:
        """What follows on the agreed value; None where nothing does, or this member does not hold the lease at this moment."""
        return self.coordinator.next_value(value, self.now) if self.coordinator is not None and self.is_coordinator(self.now) else None

    def latest_decided(self) -> StampedValue:
        """The latest that is decided, as far as is known here. What a member learned before it forgot stays decided."""
        return max((one.decided for one in self.seen() if one is not None), key=lambda said: said.stamp)

    def may_be_founded(self) -> bool:
        """There is a fleet, or there may be one: not all others were heard."""
        return any(one is None or one.life or one.back for one in self.seen())

    def is_up_to_date(self) -> bool:
        """This process knows as much of what is out as any before it may have said that it goes by."""
        return self.register.life > 0 or not self.may_be_founded() or has_majority_view(self.views, self.me)

    def pause(self) -> int:
        """So long a member waits with a ballot of its own: by chance, over more beats the more members there are."""
        return int(self.beat * (1 + self.random.random() * len(self.views)))

    def tick(self, now: int) -> None:
        """Time has passed: to be called about four times a beat."""
        self.failure_detector.check_standstill(now)
        self.follow(now)
        if self.coordinator is not None:
            said = (self.latest_decided(), self.register.accepted, self.register.said)
            self.coordinator.tick(
                now,
                self.is_coordinator(now),
                [one.value for one in said],
                self.failure_detector.suspected(now),
                self.may_be_founded(),
                possibly_decided(self.seen()),
            )
        if self.fenced or not self.register.life:
            return
        if self.leads():
            above = max((one.promised for one in self.views if one is not None and one.life), default=NO_BALLOT)
            if above > self.register.promised:  # one that asked in vain while it heard nobody would follow no more
                self.register = consensus.ask(self.register, above)
            elif now - self.ticked >= self.beat:
                self.ticked = now
                self.lease.publish(self.register.asked, now)
            return
        if self.followed(now):
            self.ask_at = now + self.pause()
        elif now >= self.ask_at and self.lease.may_promise((self.register.promised[0] + 1, self.me), now):
            self.ask_at = now + 2 * self.beat + self.pause()
            self.register = consensus.ask(self.register)

    def followed(self, now: int) -> bool:
        """Another acts, as far as is known here: this member follows it, or a majority does, and it was heard."""
        kept = [one.promised for one in self.views if one is not None and one.life]
        for ballot in {self.register.promised, *kept}:
            if (
                0 <= ballot[1] != self.me
                and not self.failure_detector.is_suspected(ballot[1], now)
                and (ballot == self.register.promised or kept.count(ballot) >= consensus.majority(len(self.views)))
            ):
                return True
        return False

    def leads(self) -> bool:
        return consensus.leads(self.register, self.seen())

    def is_coordinator(self, now: int) -> bool:
        """It holds the lease at this moment; to be asked just before each act."""
        return not self.fenced and self.leads() and self.lease.holds(self.said, now)

    def agreed_value(self) -> Any:
        """The value in force as this member knows it, None before the first."""
        return self.register.decided.value

    def line(self) -> dict:
        """What is to be published, as soon as `register` is kept."""
        own = self.lease.ballot == self.register.asked == self.register.promised
        return {
            "fleet": self.fleet,
            "register": register_codec.encode_register(self.register),
            "tick": [list(self.lease.ballot), self.lease.tick] if own else [list(NO_BALLOT), 0],
            "backs": [list(self.lease.backs.ballot), self.lease.backs.tick],
            **(self.coordinator.line() if self.coordinator is not None else {}),
        }
