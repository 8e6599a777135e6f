"""Holds what a fleet promises about orders of work against what its members publish and what is open at servers. No I/O; times in
Unix ns. What routers count of themselves is not asked.

One order: no number stands for two documents. Never more out than the bounds. No `free` with a hop or fill open there. That nothing
new goes to what is out, and that cold servers are spared, is judged by the rules' checker, which is told of what goes out."""

from __future__ import annotations

from collections.abc import Callable

from fieldspur.fleet import register_codec, work_orders
from fieldspur.lab.checks.rule_checker import Checker

TOLD = {work_orders.OUT: "draining", work_orders.FREE: "draining"}


class Orders:
    """`open_at(machine)`: requests that are open there, and elsewhere with it as their source. `most`: machines that the bounds let be
    out together."""

    def __init__(self, checker: Checker, many: int, open_at: Callable[[str], list], most: int):
        self.checker, self.many, self.open_at, self.most = checker, many, open_at, most
        self.documents: dict[int, work_orders.WorkDocument] = {}
        self.broken: list[str] = []
        self.states: dict[str, str] = {}  # by order
        self.steps: list[tuple[int, str, str, str]] = []  # (when, machine, state, order)
        self.notes: dict[str, str] = {}  # by order: what it waits for
        self.words: list[tuple[int, str, str]] = []  # (when, machine, note)
        self.lives: dict[int, int] = {}
        self.acting: list[tuple[int, int]] = []  # (when, member)
        self.ballots: dict[int, tuple] = {}
        self.on_free: Callable = lambda order: None
        self.lines = self.size = 0

    def add_violation(self, text: str) -> None:
        self.broken.append(text)

    def line(self, member: int, value: dict, size: int, now: int) -> None:
        """A line that a member published."""
        self.lines, self.size = self.lines + 1, self.size + size
        register = register_codec.decode_register(value["register"], self.many)
        self.lives[member] = register.life
        self.ballots[member] = register.promised if register.life else (0, -1)
        holder = register.promised[1]
        kept = sum(ballot == register.promised for ballot in self.ballots.values())
        if holder >= 0 and kept > self.many // 2 and (not self.acting or self.acting[-1][1] != holder):
            self.acting.append((now, holder))
        found = work_orders.read_document(register.decided.value)
        if not found.number:
            return
        known = self.documents.get(found.number)
        if known is None:
            self.documents[found.number] = found
            if found.number == max(self.documents):  # an older one that was passed over tells of nothing new
                self.follow(found, now)
        elif known != found:
            self.add_violation(f"document {found.number} is not the same at member {member}")

    def follow(self, found: work_orders.WorkDocument, now: int) -> None:
        for order in found.orders:
            if order.note and self.notes.get(order.ident) != order.note:
                self.words.append((now, order.machine, order.note))
            self.notes[order.ident] = order.note
            if self.states.get(order.ident) == order.state:
                continue
            self.states[order.ident] = order.state
            self.steps.append((now, order.machine, order.state, order.ident))
            self.checker.state_announced(order.machine, TOLD.get(order.state, "up"), now)
            if order.state == work_orders.FREE:
                if still := self.open_at(order.machine):
                    self.add_violation(f"{order.machine} was said to be free with {len(still)} open there, {still[0]}")
                self.on_free(order)
        for ended in found.ended:
            if self.states.get(ended.ident) not in (work_orders.DONE, work_orders.DROPPED, work_orders.REFUSED):
                self.states[ended.ident] = ended.how
                self.steps.append((now, ended.machine, ended.how, ended.ident))
                if ended.how != work_orders.REFUSED:
                    self.checker.state_announced(ended.machine, "up", now)
        away = found.machines_in(work_orders.AWAY)
        if len(away) > self.most:
            self.add_violation(f"{len(away)} machines away, {self.most} allowed: {', '.join(sorted(away))}")

    def counts(self) -> dict[str, int]:
        found: dict[str, int] = {}
        for state in self.states.values():
            found[state] = found.get(state, 0) + 1
        return found
