"""Leases among members whose clocks differ, that stop, lose their memory and are cut off: no two ever hold the lease at once."""

import random

import pytest
from test_fleet import founded

from fieldspur.fleet import consensus
from fieldspur.fleet.consensus import NO_BALLOT, blank_register
from fieldspur.fleet.lease import MAX_PENDING_TICKS, HeartbeatAck, Lease

MS = 1_000_000
LENGTH = 1000 * MS  # of a lease, in ns


class SimulatedMember:
    """Consensus and lease of one member, whose clock has a rate and an offset of its own."""

    def __init__(self, n, register, rng):
        self.n, self.register, self.clock_rate, self.clock_offset = n, register, rng.uniform(0.996, 1.004), rng.randrange(10**15)
        self.views, self.acks, self.lease = [None] * 5, [None] * 5, Lease(n, LENGTH)
        self.views[n] = register
        self.stopped_until = self.next_request = 0
        self.tick = (NO_BALLOT, 0)

    def now(self, true_time):
        return self.clock_offset + int(true_time * self.clock_rate)


def simulate(seed, members=5, seconds=20, loss_probability=0.0004, is_holder=Lease.is_held, waits_after_restart=True):
    """A random run in steps of 20 ms. `loss_probability`: that a member loses its memory in a step; `is_holder(lease, acks, now)`: whether
    a member counts as the holder; `waits_after_restart`: whether a member without memory waits for the length of a lease. Returns the
    greatest number of members that held a lease at the same time, and how often the lease passed to a member."""
    rng = random.Random(seed)
    registers, _ = founded(members)
    all_members = [SimulatedMember(n, register, rng) for n, register in enumerate(registers)]
    cut_pairs, nonce, max_holders, holders = set(), 1000, 0, []
    for true_time in range(0, seconds * 1000 * MS, 20 * MS):
        if rng.random() < 0.02:
            cut_pairs = {(rng.randrange(members), rng.randrange(members)) for _ in range(rng.randrange(12))}
        for me in all_members:
            if rng.random() < 0.003:
                me.stopped_until = true_time + rng.randrange(2500) * MS
            if true_time < me.stopped_until:
                continue
            now, n = me.now(true_time), me.n
            if rng.random() < loss_probability:
                nonce += 1
                me.register, me.views, me.acks = blank_register(n, members, nonce), [None] * members, [None] * members
                me.lease, me.tick = Lease(n, LENGTH, started_at=now if waits_after_restart else 0), (NO_BALLOT, 0)
            for other in all_members:
                if other is me or (other.n, n) in cut_pairs or true_time < other.stopped_until or rng.random() < 0.6:
                    continue
                me.views[other.n], me.acks[other.n] = other.register, other.lease.own_ack
                me.views[n] = me.register
                me.register = consensus.step(
                    me.register, me.views, lambda ballot: me.lease.may_promise(ballot, now), me.lease.may_rejoin(now)
                )
                if other.tick[0] == me.register.promised != NO_BALLOT and me.register.life:
                    me.lease.acknowledge(*other.tick, now)
            me.views[n] = me.register
            if (
                me.register.life
                and not consensus.leads(me.register, me.views)
                and now > me.next_request
                and me.lease.may_promise((1, n), now)
            ):
                me.next_request = now + rng.randrange(500, 3000) * MS
                me.register = consensus.request_ballot(me.register)
                me.views[n] = me.register
            if consensus.leads(me.register, me.views):
                me.tick = me.register.asked, me.lease.publish_tick(me.register.asked, now)
        holding = [me.n for me in all_members if is_holder(me.lease, me.acks, me.now(true_time))]
        max_holders = max(max_holders, len(holding))
        holders += [n for n in holding if not holders or holders[-1] != n]
    return max_holders, len(holders)


def test_no_two_members_hold_the_lease_at_once_and_it_passes_on():
    results = [simulate(seed) for seed in range(25)]
    assert max(max_holders for max_holders, _ in results) == 1
    assert sum(turns for _, turns in results) > 60


def from_the_answer(lease, acks, now):
    """A planted fault: acknowledgements of a majority are enough, however old they are."""
    return (
        lease.ballot != NO_BALLOT
        and sum(ack is not None and ack.ballot == lease.ballot for n, ack in enumerate(acks) if n != lease.member) >= 2
    )


@pytest.mark.parametrize("planted", [dict(is_holder=from_the_answer), dict(waits_after_restart=False, loss_probability=0.002)])
def test_simulation_finds_a_lease_that_does_not_end_or_that_a_supporter_forgets(planted):
    assert any(simulate(seed, **planted)[0] > 1 for seed in range(40))


def test_the_holder_s_lease_runs_from_the_publication_and_is_shorter_by_the_drift():
    lease = Lease(0, LENGTH, drift=0.1)
    assert lease.held_until([None] * 3) == 0
    tick = lease.publish_tick((1, 0), 500)
    acks = [None, HeartbeatAck((1, 0), tick), None]
    assert lease.held_until(acks) == 500 + 900 * MS
    assert lease.is_held(acks, 500 + 900 * MS - 1) and not lease.is_held(acks, 500 + 900 * MS)
    lease.publish_tick((2, 0), 600)  # under a later ballot, so acknowledgements of the one before are void
    assert lease.held_until(acks) == 0


def test_a_supporter_promises_nobody_else_until_the_lease_ends_and_nobody_at_all_after_it_lost_its_memory():
    lease = Lease(1, LENGTH)
    lease.acknowledge((3, 0), 7, 10)
    assert lease.may_promise((4, 0), 11) and not lease.may_promise((4, 2), 10 + LENGTH - 1)
    assert lease.may_promise((4, 2), 10 + LENGTH)
    lease.acknowledge((3, 0), 6, 10 + LENGTH)  # an older tick, which changes nothing
    assert lease.may_promise((4, 2), 10 + LENGTH)
    assert not Lease(1, LENGTH, started_at=5).may_promise((1, 0), 5 + LENGTH - 1)


def test_times_of_ticks_that_nobody_acknowledges_are_deleted():
    lease = Lease(0, LENGTH)
    for now in range(3 * MAX_PENDING_TICKS):
        lease.publish_tick((1, 0), now)
    assert len(lease.published_at) == MAX_PENDING_TICKS
    assert lease.held_until([None, HeartbeatAck((1, 0), 1), HeartbeatAck((1, 0), 1)]) == 0


@pytest.mark.parametrize("length, drift", [(0, 0.0), (1, 0.5), (1, -0.1)])
def test_the_error_names_an_invalid_length_or_drift(length, drift):
    with pytest.raises(ValueError, match="length"):
        Lease(0, length, drift)
