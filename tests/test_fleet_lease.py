"""Leases among members whose clocks differ, that stand still, forget and are cut off: never two at a time who hold one."""

import random

import pytest
from test_fleet import founded

from fieldspur.fleet import consensus
from fieldspur.fleet.consensus import NO_BALLOT, blank_register
from fieldspur.fleet.lease import MAX_PENDING_TICKS, Backs, Lease

MS = 1_000_000
LENGTH = 1000 * MS


class Member:
    """Agreement and lease of one member, with a clock of its own rate and start."""

    def __init__(self, n, register, chance):
        self.n, self.register, self.rate, self.zero = n, register, chance.uniform(0.996, 1.004), chance.randrange(10**15)
        self.views, self.said, self.lease = [None] * 5, [None] * 5, Lease(n, LENGTH)
        self.views[n] = register
        self.stopped_until = self.next_ask = 0
        self.tick = (NO_BALLOT, 0)

    def now(self, true):
        return self.zero + int(true * self.rate)


def days(seed, members=5, seconds=20, forget=0.0004, holder=Lease.holds, began=True):
    """A day of `members`; the most that held a lease at one moment, and how many took one in turn."""
    chance = random.Random(seed)
    state, _ = founded(members)
    all_ = [Member(n, one, chance) for n, one in enumerate(state)]
    cut, nonce, most, holders = set(), 1000, 0, []
    for true in range(0, seconds * 1000 * MS, 20 * MS):
        if chance.random() < 0.02:
            cut = {(chance.randrange(members), chance.randrange(members)) for _ in range(chance.randrange(12))}
        for me in all_:
            if chance.random() < 0.003:
                me.stopped_until = true + chance.randrange(2500) * MS
            if true < me.stopped_until:
                continue
            now, n = me.now(true), me.n
            if chance.random() < forget:
                nonce += 1
                me.register, me.views, me.said = blank_register(n, members, nonce), [None] * members, [None] * members
                me.lease, me.tick = Lease(n, LENGTH, began=now if began else 0), (NO_BALLOT, 0)
            for other in all_:
                if other is me or (other.n, n) in cut or true < other.stopped_until or chance.random() < 0.6:
                    continue
                me.views[other.n], me.said[other.n] = other.register, other.lease.backs
                me.views[n] = me.register
                me.register = consensus.step(
                    me.register, me.views, lambda ballot: me.lease.may_promise(ballot, now), me.lease.may_return(now)
                )
                if other.tick[0] == me.register.promised != NO_BALLOT and me.register.life:
                    me.lease.read(*other.tick, now)
            me.views[n] = me.register
            if me.register.life and not consensus.leads(me.register, me.views) and now > me.next_ask and me.lease.may_promise((1, n), now):
                me.next_ask = now + chance.randrange(500, 3000) * MS
                me.register = consensus.ask(me.register)
                me.views[n] = me.register
            if consensus.leads(me.register, me.views):
                me.tick = me.register.asked, me.lease.publish(me.register.asked, now)
        holding = [me.n for me in all_ if holder(me.lease, me.said, me.now(true))]
        most = max(most, len(holding))
        holders += [n for n in holding if not holders or holders[-1] != n]
    return most, len(holders)


def test_never_two_hold_the_lease_and_it_passes_on():
    seen = [days(seed) for seed in range(25)]
    assert max(most for most, _ in seen) == 1
    assert sum(turns for _, turns in seen) > 60


def from_the_answer(lease, said, now):
    """Planted: a majority's answer alone, whenever it came."""
    return (
        lease.ballot != NO_BALLOT
        and sum(one is not None and one.ballot == lease.ballot for n, one in enumerate(said) if n != lease.member) >= 2
    )


@pytest.mark.parametrize("planted", [dict(holder=from_the_answer), dict(began=False, forget=0.002)])
def test_a_lease_that_does_not_end_or_is_forgotten_is_found(planted):
    assert any(days(seed, **planted)[0] > 1 for seed in range(40))


def test_the_holder_counts_from_when_it_published_and_takes_the_drift_off():
    lease = Lease(0, LENGTH, drift=0.1)
    assert lease.until([None] * 3) == 0
    tick = lease.publish((1, 0), 500)
    said = [None, Backs((1, 0), tick), None]
    assert lease.until(said) == 500 + 900 * MS
    assert lease.holds(said, 500 + 900 * MS - 1) and not lease.holds(said, 500 + 900 * MS)
    lease.publish((2, 0), 600)  # a later ballot of its own: what was said of the one before is void
    assert lease.until(said) == 0


def test_who_backs_promises_nobody_else_until_the_lease_ended_and_after_forgetting_nobody():
    lease = Lease(1, LENGTH)
    lease.read((3, 0), 7, 10)
    assert lease.may_promise((4, 0), 11) and not lease.may_promise((4, 2), 10 + LENGTH - 1)
    assert lease.may_promise((4, 2), 10 + LENGTH)
    lease.read((3, 0), 6, 10 + LENGTH)  # older than what it read
    assert lease.may_promise((4, 2), 10 + LENGTH)
    assert not Lease(1, LENGTH, began=5).may_promise((1, 0), 5 + LENGTH - 1)


def test_ticks_that_nobody_says_back_are_forgotten_in_time():
    lease = Lease(0, LENGTH)
    for now in range(3 * MAX_PENDING_TICKS):
        lease.publish((1, 0), now)
    assert len(lease.told) == MAX_PENDING_TICKS
    assert lease.until([None, Backs((1, 0), 1), Backs((1, 0), 1)]) == 0


@pytest.mark.parametrize("length, drift", [(0, 0.0), (1, 0.5), (1, -0.1)])
def test_a_bad_lease_is_named(length, drift):
    with pytest.raises(ValueError, match="length"):
        Lease(0, length, drift)
