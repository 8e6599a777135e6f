"""Consensus of members that may lose their memory: all interleavings at three members, and planted faults that must be found."""

import random

import pytest

from fieldspur.fleet import consensus
from fieldspur.fleet.consensus import NO_STAMP, blank_register


def founded(members=3):
    """The registers just after an operator founded a fleet, and the views: each member has read all registers."""
    registers = [blank_register(n, members, n + 1) for n in range(members)]
    for _ in range(4):
        registers = [consensus.step(register, registers) for register in registers]
        if registers[0].founding == ():
            registers[0] = consensus.found_fleet(registers[0], registers)
    assert all(register.life == 1 for register in registers)
    registers = [consensus.step(register, registers) for register in registers]
    return tuple(registers), tuple(tuple(registers) for _ in registers)


class Broken(AssertionError):
    pass


def explore(crashes=1, requests=(1, 1, 0), members=3, max_states=400_000, successors=0, initial=None):
    """Every order in which members read one another's registers, request ballots (`requests`: how many each) and lose their memory.
    Wherever a value is decided, it must extend or begin what was decided before. Returns the count of states, and whether the
    search was complete."""
    initial_state = *(initial or founded(members)), requests, crashes, 100, ()
    seen, to_expand = {initial_state}, [initial_state]
    while to_expand and len(seen) < max_states:
        registers, views, requests_left, crashes_left, nonce, decided = to_expand.pop()
        for following in moves(registers, views, requests_left, crashes_left, nonce, decided, successors):
            if following not in seen:
                seen.add(following)
                to_expand.append(following)
    return len(seen), not to_expand


def moves(registers, views, requests_left, crashes_left, nonce, decided, successors):
    """All states that may follow: a member reads another, requests a ballot, or loses its memory."""
    members = len(registers)
    for n, me in enumerate(registers):
        for m in range(members):
            if m != n and views[n][m] != registers[m]:  # reads the present register and misses those in between
                own_views = views[n][:m] + (registers[m],) + views[n][m + 1 :]
                yield after_move(
                    registers,
                    views,
                    n,
                    consensus.step(me, own_views),
                    own_views,
                    requests_left,
                    crashes_left,
                    nonce,
                    decided,
                    successors,
                )
        if requests_left[n] and me.life:
            left_after = requests_left[:n] + (requests_left[n] - 1,) + requests_left[n + 1 :]
            yield after_move(
                registers, views, n, consensus.request_ballot(me), views[n], left_after, crashes_left, nonce, decided, successors
            )
        if crashes_left:
            blank = blank_register(n, members, nonce)
            own_views = (None,) * n + (blank,) + (None,) * (members - n - 1)
            yield (
                registers[:n] + (blank,) + registers[n + 1 :],
                views[:n] + (own_views,) + views[n + 1 :],
                requests_left,
                crashes_left - 1,
                nonce + 1,
                decided,
            )


def after_move(registers, views, n, me, own_views, requests_left, crashes_left, nonce, decided, successors):
    """The state in which member n has the register `me`, proposes what it can, and no decided value was lost."""
    own_views = own_views[:n] + (me,) + own_views[n + 1 :]
    for _ in range(2):  # its own proposal may be decided at once by what it has read
        me = consensus.propose(me, own_views, lambda value: (n,) if value is None else value + (n,) if len(value) <= successors else None)
        own_views = own_views[:n] + (me,) + own_views[n + 1 :]
        me = consensus.step(me, own_views)
        own_views = own_views[:n] + (me,) + own_views[n + 1 :]
    if me.decided.stamp != NO_STAMP:
        value = me.decided.value
        if decided and value[: len(decided)] != decided[: len(value)]:
            raise Broken(f"{decided} was decided, and {value} at member {n}")
        decided = max(decided, value, key=len)
    return (
        registers[:n] + (me,) + registers[n + 1 :],
        views[:n] + (own_views,) + views[n + 1 :],
        requests_left,
        crashes_left,
        nonce,
        decided,
    )


def random_run(seed, members=3, steps=60, crashes=1, requests=2, initial=None, successors=2):
    """One run with random moves. Returns the decided value."""
    rng = random.Random(seed)
    state = *(initial or founded(members)), (requests,) * members, crashes, 100, ()
    for _ in range(steps):
        choices = list(moves(*state, successors))
        if not choices:
            break
        state = rng.choice(choices)
    return state[-1]


class Fleet:
    """A fleet whose history a test writes step by step: which member reads which, requests a ballot, or loses its memory."""

    def __init__(self, members):
        registers, views = founded(members)
        self.registers, self.views, self.nonce = list(registers), [list(view) for view in views], 100

    def set_register(self, n, register):
        self.registers[n] = self.views[n][n] = register

    def reads(self, n, *others):
        for m in others:
            self.views[n][m] = self.registers[m]
            self.set_register(n, consensus.step(self.registers[n], self.views[n]))
            self.set_register(n, consensus.propose(self.registers[n], self.views[n], lambda value: f"of {n}" if value is None else None))
            self.set_register(n, consensus.step(self.registers[n], self.views[n]))

    def requests_ballot(self, n):
        self.set_register(n, consensus.request_ballot(self.registers[n]))

    def loses_memory(self, n):
        self.nonce += 1
        self.views[n] = [None] * len(self.registers)
        self.set_register(n, blank_register(n, len(self.registers), self.nonce))

    def rejoins(self, n, *others):
        for _ in range(3):
            for m in others:
                self.reads(m, n)
            self.reads(n, *others)
        assert self.registers[n].life > 1

    def decided_values(self):
        return {register.decided.value for register in self.registers if register.decided.stamp != NO_STAMP}


def a_promise_of_an_older_life():
    """Member 2 promised a ballot of member 4 and lost its memory. In its next incarnation another ballot is decided; member 4 must
    not ignore that decision by counting the old promise."""
    fleet = Fleet(5)
    fleet.requests_ballot(4)
    fleet.reads(2, 4)
    fleet.reads(4, 2)
    fleet.loses_memory(2)
    fleet.rejoins(2, 0, 1, 3)
    fleet.requests_ballot(0)
    for n in (1, 2):
        fleet.reads(n, 0)
    fleet.reads(0, 1, 2)
    for n in (1, 2):
        fleet.reads(n, 0)
    fleet.reads(0, 1, 2)
    assert fleet.decided_values() == {"of 0"}
    fleet.reads(3, 4)
    fleet.reads(4, 3)  # together with the old incarnation of 2 this would be a majority that knows of no decision
    for _ in range(2):
        for n in (2, 3):
            fleet.reads(n, 4)
        fleet.reads(4, 3)
        fleet.reads(4, 2)
    return fleet.decided_values()


def an_acceptance_taken_over_after_a_later_promise():
    """Member 2 rejoins with an acceptance copied from 1 and a promise that it has given to 3 since: nobody may count the acceptance."""
    fleet = Fleet(5)
    fleet.requests_ballot(0)
    for n in (1, 4):
        fleet.reads(n, 0)
    fleet.reads(0, 1, 4)
    fleet.reads(1, 0)
    fleet.requests_ballot(3)  # this request has the same round as that of 0, which 3 has not read
    fleet.requests_ballot(3)
    for n in (2, 4):
        fleet.reads(n, 3)
    fleet.reads(3, 2, 4)
    fleet.loses_memory(2)
    fleet.rejoins(2, 0, 1, 4)
    fleet.reads(0, 1)
    fleet.reads(0, 2)
    for n in (2, 4):
        fleet.reads(n, 3)
    fleet.reads(3, 2, 4)
    return fleet.decided_values()


@pytest.mark.parametrize(
    "history, planted",
    [
        (a_promise_of_an_older_life, ("current_incarnations", list)),
        (
            an_acceptance_taken_over_after_a_later_promise,
            (
                "accepting_registers",
                lambda views, stamp: consensus.current_incarnations(
                    [view for view in views if view is not None and view.life and view.accepted.stamp == stamp]
                ),
            ),
        ),
    ],
)
def test_lost_memory_does_not_lead_to_two_decisions(history, planted, monkeypatch):
    assert len(history()) <= 1
    monkeypatch.setattr(consensus, *planted)
    assert len(history()) == 2


@pytest.mark.parametrize(
    "planted",
    [
        lambda me, views, _: me._replace(life=1, lives=(1,) * len(views)),  # continues as if it had not lost its memory
        lambda me, views, _: next(
            (
                me._replace(  # trusts a single other member instead of a majority
                    life=view.lives[me.member] + 1, lives=view.lives, promised=view.promised, accepted=view.accepted, decided=view.decided
                )
                for view in views
                if view is not None and view.life and view.member != me.member
            ),
            me,
        ),
    ],
)
def test_random_runs_find_a_member_that_rejoins_too_early(planted, monkeypatch):
    initial = founded(3)
    for seed in range(300):
        random_run(seed, initial=initial, crashes=2)
    monkeypatch.setattr(consensus, "rejoin", planted)
    with pytest.raises(Broken):
        for seed in range(4000):
            random_run(seed, initial=initial, crashes=2)


def test_random_runs_at_five_members_decide_one_sequence():
    initial = founded(5)
    decided = [random_run(seed, 5, 100, 2, 2, initial) for seed in range(120)]
    assert sum(map(bool, decided)) > 30 and max(map(len, decided)) > 1


def test_every_interleaving_of_two_concurrent_ballot_requests_decides_one_value():
    states, complete = explore(crashes=0, requests=(1, 1, 0))
    assert complete and states > 50_000


def test_every_interleaving_of_a_ballot_request_and_a_memory_loss_decides_one_value():
    states, complete = explore(crashes=1, requests=(1, 0, 0))
    assert complete and states > 10_000


def test_a_fleet_is_founded_only_by_an_operator_and_only_with_all_members_present():
    registers = [blank_register(n, 3, n + 1) for n in range(3)]
    with pytest.raises(ValueError, match="missing: 1, 2"):
        consensus.found_fleet(registers[0], [registers[0], None, None])
    for _ in range(5):
        registers = [consensus.step(register, registers) for register in registers]
    assert not any(register.life for register in registers)  # no operator has founded the fleet
    registers[1] = consensus.found_fleet(registers[1], registers)
    restarted = blank_register(2, 3, 77)  # a new process, for which the declaration of the operator does not hold
    registers = [consensus.step(register, [registers[0], registers[1], restarted]) for register in (registers[0], registers[1], restarted)]
    for _ in range(5):
        registers = [consensus.step(register, registers) for register in registers]
    assert not any(register.life for register in registers)
    registers[1] = consensus.found_fleet(registers[1], registers)
    for _ in range(3):
        registers = [consensus.step(register, registers) for register in registers]
    assert all(register.life == 1 for register in registers)
    with pytest.raises(ValueError, match="there is a fleet"):
        consensus.found_fleet(registers[0], registers)


def test_seven_of_ten_members_without_memory_do_not_rejoin_through_the_other_three():
    fleet = Fleet(10)
    fleet.requests_ballot(0)
    for n in range(1, 10):
        fleet.reads(n, 0)
    fleet.reads(0, *range(1, 10))
    for n in range(1, 10):
        fleet.reads(n, 0)
    fleet.reads(0, *range(1, 10))
    assert fleet.decided_values() == {"of 0"}
    for n in range(3, 10):
        fleet.loses_memory(n)
    for _ in range(4):
        for n in range(10):
            fleet.reads(n, *(m for m in range(10) if m != n))
    assert [register.life for register in fleet.registers] == [1] * 3 + [0] * 7
    with pytest.raises(ValueError, match="there is a fleet"):
        consensus.found_fleet(fleet.registers[5], fleet.views[5])
    fleet.requests_ballot(1)
    for n in range(10):
        fleet.reads(n, *(m for m in range(10) if m != n))
    assert not consensus.leads(fleet.registers[1], fleet.views[1])


def test_four_of_ten_members_without_memory_rejoin_through_the_other_six():
    fleet = Fleet(10)
    for n in range(6, 10):
        fleet.loses_memory(n)
    for n in range(6, 10):
        fleet.rejoins(n, *range(6))
    assert [register.life for register in fleet.registers] == [1] * 6 + [2] * 4


def test_an_outdated_process_that_keeps_running_is_fenced():
    fleet = Fleet(3)
    outdated = fleet.registers[2]
    fleet.loses_memory(2)
    fleet.rejoins(2, 0, 1)
    assert consensus.is_fenced(outdated, fleet.registers) and not consensus.is_fenced(fleet.registers[2], fleet.registers)
