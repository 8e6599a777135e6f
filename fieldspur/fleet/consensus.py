"""Agreement among members that may lose their memory. Free of I/O, of clocks and of chance: each member has one register
that it alone writes and all others read, late or never, in order. `step` gives the register that follows from what a
member sees.

The one agreed thing is a value that is replaced by its successor, number by number. Single-writer registers: Gafni and
Lamport, "Disk Paxos" (2003). Coming back without a disk: Liskov and Cowling, "Viewstamped Replication Revisited" (2012), with
the vectors of lives of Michael, Ports, Sharma and Szekeres, "Recovering Shared Objects Without Stable Storage" (2017): what
an older life promised counts for nothing beside a register that knows of a later one. `docs/design/fleet.md` weighs them.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any, NamedTuple

Ballot = tuple  # (round, member): who asks in which round; greater ones bind
Stamp = tuple  # (round, member, number): the ballot and how many values its owner has said under it before
NO_BALLOT: Ballot = (0, -1)
NO_STAMP: Stamp = (0, -1, -1)


class StampedValue(NamedTuple):
    """A value and the mark under which its proposer said it. `value` is None before the first."""

    stamp: Stamp = NO_STAMP
    value: Any = None


NO_VALUE = StampedValue()


class Register(NamedTuple):
    """All that a member publishes. `life` is 0 while it is blank: it knows nothing and counts for nothing. `back` is the
    life with which a blank one wants to come back, `seen` by member the (nonce, back) last read there, `lives` by member
    the latest life it knows of."""

    member: int
    nonce: int  # of this process, drawn anew at each start
    seen: tuple
    lives: tuple
    life: int = 0
    back: int = 0
    asked: Ballot = NO_BALLOT  # the latest ballot it asked for itself
    promised: Ballot = NO_BALLOT
    accepted: StampedValue = NO_VALUE
    said: StampedValue = NO_VALUE  # what it proposes under its own ballot
    decided: StampedValue = NO_VALUE
    founding: tuple = ()  # the nonces of all, where an operator said that there has been no fleet before


def blank_register(member: int, members: int, nonce: int) -> Register:
    """A member that knows nothing, at its first start or after it lost its memory."""
    return Register(member, nonce, ((0, 0),) * members, (0,) * members)


def resume(kept: Register, nonce: int) -> Register:
    """A member that starts again with its memory: the same life, a new process. Of ballots of its own it asks anew, for what
    was said back to the process before, a lease's ticks above all, is not for this one."""
    return kept._replace(nonce=nonce, asked=NO_BALLOT, said=NO_VALUE, founding=())


def majority(members: int) -> int:
    return members // 2 + 1


def consistent(registers: Sequence[Register]) -> list[Register]:
    """Those of which no other one knows a later life: what an older life said is void beside them."""
    return [one for one in registers if all(other.lives[one.member] <= one.life for other in registers)]


def promises(views: Sequence[Register | None], ballot: Ballot) -> list[Register]:
    """The members whose promise of `ballot` counts together."""
    return consistent([one for one in views if one is not None and one.life and one.promised == ballot])


def acceptances(views: Sequence[Register | None], stamp: Stamp) -> list[Register]:
    """The members whose acceptance of `mark` counts together. One that has promised a later ballot does not: it may
    have taken over the acceptance from another, after its promise, when it came back."""
    return consistent([one for one in views if one is not None and one.life and one.accepted.stamp == stamp and one.promised == stamp[:2]])


def fresh(me: Register, one: Register) -> bool:
    """That register was written after its member had read this process of `me`."""
    return one.seen[me.member][0] == me.nonce


def nonces(registers: Sequence[Register]) -> tuple:
    """Which processes these are, by member."""
    return tuple(one.nonce for one in sorted(registers, key=lambda one: one.member))


def fenced(me: Register, views: Sequence[Register | None]) -> bool:
    """Another member knows a later life of this one: it is a process of old that went on, and must end."""
    return me.life > 0 and any(one is not None and one.lives[me.member] > me.life for one in views)


def note(me: Register, views: Sequence[Register | None]) -> Register:
    """What it read is said back, and later lives are remembered from then on, in the same register as its state."""
    seen, lives = list(me.seen), list(me.lives)
    for one in views:
        if one is None or one.member == me.member:
            continue
        seen[one.member] = (one.nonce, one.back)
        if me.life:
            for member, life in enumerate(one.lives):
                lives[member] = max(lives[member], life)
            lives[one.member] = max(lives[one.member], one.back, one.life)
    return me._replace(seen=tuple(seen), lives=tuple(lives))


def come_back(me: Register, views: Sequence[Register | None], may_return: bool = True) -> Register:
    """A blank member learns from a majority that has not forgotten, twice: which life it is in, and, once that majority
    has that life in its registers, what it may have promised. Where all are blank it waits for an operator's word."""
    members, others = len(views), [one for one in views if one is not None and one.member != me.member]
    known = [one for one in others if fresh(me, one)]
    if len(known) == members - 1 and not me.back:
        these = nonces([me, *known])
        if all(one.founding == these for one in (me, *known)):
            return me._replace(life=1, lives=(1,) * members)
        if me.founding != these:
            named = any(one.founding == these for one in known) and not any(one.life or one.back for one in known)
            me = me._replace(founding=these if named else ())
    alive = [one for one in known if one.life]
    if len(alive) < majority(members) or not may_return:
        return me
    if not me.back:
        return me._replace(back=max(one.lives[me.member] for one in alive) + 1)
    know = consistent([one for one in alive if one.seen[me.member] == (me.nonce, me.back)])
    if len(know) < majority(members):
        return me
    lives = [max(one.lives[member] for one in know) for member in range(members)]
    lives[me.member] = me.back
    return me._replace(
        life=me.back,
        lives=tuple(lives),
        promised=max(one.promised for one in know),
        accepted=max((one.accepted for one in know), key=lambda said: said.stamp),
        decided=max((one.decided for one in know), key=lambda said: said.stamp),
    )


def found(me: Register, views: Sequence[Register | None]) -> Register:
    """An operator says here that there has been no fleet before. Raises ValueError, whose text says why not, unless all
    members are there and none knows anything. The word holds for these processes only."""
    others = [one for one in views if one is not None and one.member != me.member]
    if me.life or any(one.life or one.back for one in others):
        raise ValueError("there is a fleet: a member that forgot it comes back by what a majority knows")
    missing = [str(n) for n, one in enumerate(views) if n != me.member and (one is None or not fresh(me, one))]
    if missing:
        raise ValueError(f"not all members are there, missing: {', '.join(missing)}")
    return me._replace(founding=nonces([me, *others]))


def ask(me: Register, above: Ballot = NO_BALLOT) -> Register:
    """It wants to act for the fleet: a ballot above all it knows, and `above`. A blank member asks for nothing."""
    if not me.life:
        return me
    ballot = (max(me.promised[0], me.asked[0], above[0]) + 1, me.member)
    return me._replace(asked=ballot, promised=ballot)


def leads(me: Register, views: Sequence[Register | None]) -> bool:
    """A majority keeps the promise of its ballot, as far as it sees."""
    return (
        me.life > 0
        and me.promised == me.asked != NO_BALLOT
        and (me.said.stamp[:2] == me.asked or len(promises(views, me.asked)) >= majority(len(views)))
    )


def propose(me: Register, views: Sequence[Register | None], successor) -> Register:
    """Its next word, where it has one: first what may have been decided before its ballot, then `successor(value)` of
    what it got decided last; None where nothing is to follow. `views` holds its own register too."""
    if not leads(me, views):
        return me
    if me.said.stamp[:2] != me.asked:
        last = max((one.accepted for one in promises(views, me.asked)), key=lambda said: said.stamp)
        value = last.value if last.stamp != NO_STAMP else successor(None)
        if value is None:
            return me
        said = StampedValue((*me.asked, 0), value)
    elif me.decided.stamp == me.said.stamp:
        value = successor(me.decided.value)
        if value is None:
            return me
        said = StampedValue((*me.asked, me.said.stamp[2] + 1), value)
    else:
        return me
    return me._replace(said=said, accepted=said)


def always(ballot: Ballot) -> bool:
    return True


def step(
    me: Register, views: Sequence[Register | None], may_promise: Callable[[Ballot], bool] = always, may_return: bool = True
) -> Register:
    """What follows from what it sees, `views` by member with its own register among them; the same again adds nothing.
    `may_promise(ballot)`: no lease that it backs forbids it; `may_return`: what it backed before it forgot has ended, for
    a promise that it takes over when it comes back counts like one of its own."""
    me = note(me, views)
    if not me.life:
        return come_back(me, views, may_return)
    for one in views:
        if one is None or one.member == me.member or not one.life or one.life < me.lives[one.member]:
            continue
        if one.asked > me.promised and may_promise(one.asked):
            me = me._replace(promised=one.asked)
        if one.said.stamp > me.accepted.stamp and one.said.stamp[:2] >= me.promised:
            me = me._replace(promised=one.said.stamp[:2], accepted=one.said)
        if one.decided.stamp > me.decided.stamp:
            me = me._replace(decided=one.decided)
    if me.said.stamp > me.decided.stamp and me.said.stamp[:2] == me.promised:
        mine = [me if one is not None and one.member == me.member else one for one in views]
        if len(acceptances(mine, me.said.stamp)) >= majority(len(views)):
            me = me._replace(decided=me.said)
    return me
