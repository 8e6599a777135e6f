"""Consensus among members that may lose their memory. This module has no I/O, clock or randomness. Each member has one register
that only this member writes. All others read it, possibly late or never, but in order. `step` computes the register that
follows from what a member has read of the others.

The members agree on one value, which is replaced by its successor again and again. Single-writer registers: Gafni and Lamport,
"Disk Paxos" (2003). Rejoining without a disk: Liskov and Cowling, "Viewstamped Replication Revisited" (2012), with the
incarnation vectors of Michael, Ports, Sharma and Szekeres, "Recovering Shared Objects Without Stable Storage" (2017): a promise
from an older incarnation is void beside a register that knows of a later one. `docs/design/fleet.md` compares these methods.

A member's incarnation (`life` in the published registers) is a number that rises each time the member rejoins after losing its memory.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any, NamedTuple

Ballot = tuple  # (round, member): the member that requests it, and in which round; members promise only greater ballots
Stamp = tuple  # (round, member, number): the ballot and how many values its owner proposed under it before this one
NO_BALLOT: Ballot = (0, -1)
NO_STAMP: Stamp = (0, -1, -1)


class StampedValue(NamedTuple):
    """A proposed value and the stamp of its proposal. `value` is None before the first proposal."""

    stamp: Stamp = NO_STAMP
    value: Any = None


NO_VALUE = StampedValue()


class Register(NamedTuple):
    """All that a member publishes. The field names are keys of published lines and of stored registers, so they don't change."""

    member: int
    nonce: int  # identifies this process; drawn anew at each start
    seen: tuple  # by member: the (nonce, back) that this member last read in the register of that member
    lives: tuple  # by member: the latest incarnation that this member knows of
    life: int = 0  # own incarnation; 0 while the register is blank: it knows nothing and is not counted in a majority
    back: int = 0  # the incarnation with which a blank member wants to rejoin
    asked: Ballot = NO_BALLOT  # the latest ballot that this member requested for itself
    promised: Ballot = NO_BALLOT
    accepted: StampedValue = NO_VALUE
    said: StampedValue = NO_VALUE  # the value that this member proposes under its own ballot
    decided: StampedValue = NO_VALUE
    founding: tuple = ()  # the nonces of all members, set when an operator declares that no fleet existed before


def blank_register(member: int, members: int, nonce: int) -> Register:
    """The register of a member that knows nothing: at its first start, or after it lost its memory."""
    return Register(member, nonce, ((0, 0),) * members, (0,) * members)


def resume(stored: Register, nonce: int) -> Register:
    """The register of a member that restarts with its memory: the same incarnation, a new process. It requests its own ballots anew,
    because acknowledgements to the previous process, above all those of lease ticks, don't apply to this one."""
    return stored._replace(nonce=nonce, asked=NO_BALLOT, said=NO_VALUE, founding=())


def majority(members: int) -> int:
    return members // 2 + 1


def current_incarnations(registers: Sequence[Register]) -> list[Register]:
    """The registers of which none of the others knows a later incarnation. A register of an older incarnation is void beside those."""
    return [register for register in registers if all(other.lives[register.member] <= register.life for other in registers)]


def promising_registers(views: Sequence[Register | None], ballot: Ballot) -> list[Register]:
    """The registers whose promises of `ballot` count together."""
    return current_incarnations([view for view in views if view is not None and view.life and view.promised == ballot])


def accepting_registers(views: Sequence[Register | None], stamp: Stamp) -> list[Register]:
    """The registers whose acceptances of `stamp` count together. A member that has promised a later ballot is not counted: it may
    have copied the acceptance from another member when it rejoined, after it had given its promise."""
    return current_incarnations(
        [view for view in views if view is not None and view.life and view.accepted.stamp == stamp and view.promised == stamp[:2]]
    )


def has_read_this_process(me: Register, other: Register) -> bool:
    """Whether `other` was written after its member had read a register of this process of `me`."""
    return other.seen[me.member][0] == me.nonce


def process_nonces(registers: Sequence[Register]) -> tuple:
    """The nonces of the processes that wrote these registers, in the order of members."""
    return tuple(register.nonce for register in sorted(registers, key=lambda register: register.member))


def is_fenced(me: Register, views: Sequence[Register | None]) -> bool:
    """Whether another member knows a later incarnation of this one: this is an outdated process that kept running and must stop."""
    return me.life > 0 and any(view is not None and view.lives[me.member] > me.life for view in views)


def record_views(me: Register, views: Sequence[Register | None]) -> Register:
    """Acknowledges in `me` what was read of the others, and stores later incarnations in the same register as its other state."""
    seen, lives = list(me.seen), list(me.lives)
    for view in views:
        if view is None or view.member == me.member:
            continue
        seen[view.member] = (view.nonce, view.back)
        if me.life:
            for member, life in enumerate(view.lives):
                lives[member] = max(lives[member], life)
            lives[view.member] = max(lives[view.member], view.back, view.life)
    return me._replace(seen=tuple(seen), lives=tuple(lives))


def rejoin(me: Register, views: Sequence[Register | None], may_rejoin: bool = True) -> Register:
    """The next step of a blank member. It reads twice from a majority that still has its memory: first which incarnation it is in,
    then, once the registers of that majority contain this incarnation, what it may have promised. Where all members are blank, it
    waits until an operator founds the fleet."""
    members, others = len(views), [view for view in views if view is not None and view.member != me.member]
    readers = [other for other in others if has_read_this_process(me, other)]
    if len(readers) == members - 1 and not me.back:
        nonces = process_nonces([me, *readers])
        if all(register.founding == nonces for register in (me, *readers)):
            return me._replace(life=1, lives=(1,) * members)
        if me.founding != nonces:
            is_founding = any(other.founding == nonces for other in readers) and not any(other.life or other.back for other in readers)
            me = me._replace(founding=nonces if is_founding else ())
    with_memory = [other for other in readers if other.life]
    if len(with_memory) < majority(members) or not may_rejoin:
        return me
    if not me.back:
        return me._replace(back=max(other.lives[me.member] for other in with_memory) + 1)
    informed = current_incarnations([other for other in with_memory if other.seen[me.member] == (me.nonce, me.back)])
    if len(informed) < majority(members):
        return me
    lives = [max(other.lives[member] for other in informed) for member in range(members)]
    lives[me.member] = me.back
    return me._replace(
        life=me.back,
        lives=tuple(lives),
        promised=max(other.promised for other in informed),
        accepted=max((other.accepted for other in informed), key=lambda stamped: stamped.stamp),
        decided=max((other.decided for other in informed), key=lambda stamped: stamped.stamp),
    )


def found_fleet(me: Register, views: Sequence[Register | None]) -> Register:
    """An operator declares at this member that no fleet existed before. Raises ValueError with the reason unless all members
    are present and all are blank. The declaration holds for exactly these processes."""
    others = [view for view in views if view is not None and view.member != me.member]
    if me.life or any(other.life or other.back for other in others):
        raise ValueError("there is a fleet already: a member that lost its memory rejoins through a majority")
    missing = [str(n) for n, view in enumerate(views) if n != me.member and (view is None or not has_read_this_process(me, view))]
    if missing:
        raise ValueError(f"not all members are present, missing: {', '.join(missing)}")
    return me._replace(founding=process_nonces([me, *others]))


def request_ballot(me: Register, above: Ballot = NO_BALLOT) -> Register:
    """The member asks to become the coordinator: it requests a ballot above all that it knows, and above `above`. A blank member
    requests nothing."""
    if not me.life:
        return me
    ballot = (max(me.promised[0], me.asked[0], above[0]) + 1, me.member)
    return me._replace(asked=ballot, promised=ballot)


def leads(me: Register, views: Sequence[Register | None]) -> bool:
    """Whether a majority has promised the ballot of `me`, as far as `views` show."""
    return (
        me.life > 0
        and me.promised == me.asked != NO_BALLOT
        and (me.said.stamp[:2] == me.asked or len(promising_registers(views, me.asked)) >= majority(len(views)))
    )


def propose(me: Register, views: Sequence[Register | None], successor) -> Register:
    """The register with the next proposal of this member, if it has one. The first proposal under a ballot repeats the value that
    may have been decided under an earlier ballot. Later ones are `successor(value)` of the value last decided; None means that no
    value follows. `views` contains the member's own register too."""
    if not leads(me, views):
        return me
    if me.said.stamp[:2] != me.asked:
        last_accepted = max((view.accepted for view in promising_registers(views, me.asked)), key=lambda stamped: stamped.stamp)
        value = last_accepted.value if last_accepted.stamp != NO_STAMP else successor(None)
        if value is None:
            return me
        proposal = StampedValue((*me.asked, 0), value)
    elif me.decided.stamp == me.said.stamp:
        value = successor(me.decided.value)
        if value is None:
            return me
        proposal = StampedValue((*me.asked, me.said.stamp[2] + 1), value)
    else:
        return me
    return me._replace(said=proposal, accepted=proposal)


def allow_any_ballot(ballot: Ballot) -> bool:
    return True


def step(
    me: Register, views: Sequence[Register | None], may_promise: Callable[[Ballot], bool] = allow_any_ballot, may_rejoin: bool = True
) -> Register:
    """The register of `me` that follows from `views` (by member, its own register included). A second call with the same views
    changes nothing. `may_promise(ballot)` says whether no lease that this member has acknowledged forbids the promise. `may_rejoin`
    says whether any lease that it acknowledged before it lost its memory has ended: a promise that it copies when it rejoins counts
    like a promise of its own."""
    me = record_views(me, views)
    if not me.life:
        return rejoin(me, views, may_rejoin)
    for view in views:
        if view is None or view.member == me.member or not view.life or view.life < me.lives[view.member]:
            continue
        if view.asked > me.promised and may_promise(view.asked):
            me = me._replace(promised=view.asked)
        if view.said.stamp > me.accepted.stamp and view.said.stamp[:2] >= me.promised:
            me = me._replace(promised=view.said.stamp[:2], accepted=view.said)
        if view.decided.stamp > me.decided.stamp:
            me = me._replace(decided=view.decided)
    if me.said.stamp > me.decided.stamp and me.said.stamp[:2] == me.promised:
        current_views = [me if view is not None and view.member == me.member else view for view in views]
        if len(accepting_registers(current_views, me.said.stamp)) >= majority(len(views)):
            me = me._replace(decided=me.said)
    return me
