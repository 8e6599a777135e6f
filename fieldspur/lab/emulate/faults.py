"""What goes wrong by plan with servers that are modelled, on sockets and in simulated time alike."""

from __future__ import annotations

import random

from fieldspur.lab.emulate.server_model import MS, SECOND

GONE_EVERYWHERE = 10 * SECOND  # by then all servers have dropped what a purge names, as the settings say
BACK_AFTER = 300 * MS  # a process that restarts listens again after that


class Faults:
    """Of a world with `models` by name and a `clock`. It says how a server goes down, comes back, keeps quiet, what the
    list tells and what a purge does; the rest is the same everywhere."""

    SUPPORTED_FAULTS = frozenset(("die", "silent", "stop", "slow", "late", "errors", "drain", "restart", "purge", "store_slow"))  # by name

    def __init__(self, clock, chance: random.Random):
        self.clock, self.random = clock, chance
        self.models: dict = {}
        self.store = None
        self.overload_crashes: list[str] = []

    def take_down(self, name: str) -> None:
        raise NotImplementedError

    def bring_back(self, name: str) -> None:
        raise NotImplementedError

    def announce(self, names: list[str], state: str) -> None:
        raise NotImplementedError

    def announce_purge(self, group: int, now: int) -> None:
        raise NotImplementedError

    def set_silent(self, name: str, yes: bool, stopped: bool) -> None:
        self.models[name].silent = yes

    def inject_other(self, fault, names: list[str]) -> None:
        """A fault that is not of all worlds."""
        raise NotImplementedError

    def named(self, who: str) -> list[str]:
        if who in self.models:
            return [who]
        kind = {"caches": "std", "parents": "parent"}.get(who, "")
        return [name for name, model in self.models.items() if model.kind == kind]

    def chosen(self, fault) -> list[str]:
        names = self.named(fault.who)
        if len(names) < 2:
            return names
        return sorted(self.random.sample(names, max(1, round(fault.share * len(names)))))

    def restart(self, name: str) -> None:
        if self.models[name].up:
            self.take_down(name)
            self.clock.later(BACK_AFTER, lambda: self.bring_back(name))

    def crash_overloaded(self, server) -> None:
        """A cold server that was pushed over."""
        self.overload_crashes.append(server.name)
        self.restart(server.name)

    def purge(self, group: int) -> None:
        """By the store's word copies given out before now will not do. To the servers its word comes later."""
        now = self.clock.now() // MS * MS
        self.announce_purge(group, now)
        for name, model in self.models.items():
            if model is not self.store:
                self.clock.later(int(self.random.uniform(0.2, 0.9) * GONE_EVERYWHERE), lambda model=model: model.purge(group, now))

    def inject(self, fault) -> None:
        """The fault happens; what lasts is undone by a timer."""
        names, undo = self.chosen(fault), None
        models = [self.models[name] for name in names]

        def each(what) -> list:
            return [what(one) for one in models]

        if fault.what == "die":
            for name in names:
                self.take_down(name)
            undo = lambda: [self.bring_back(name) for name in names]
        elif fault.what in ("silent", "stop"):
            for name in names:
                self.set_silent(name, True, fault.what == "stop")
            undo = lambda: [self.set_silent(name, False, False) for name in names]
        elif fault.what == "slow":
            each(lambda model: model.link.change(slowdown=fault.times))
            undo = lambda: each(lambda model: model.link.change(slowdown=1.0))
        elif fault.what == "late":
            each(lambda model: setattr(model, "late", int(fault.times * MS)))
            undo = lambda: each(lambda model: setattr(model, "late", 0))
        elif fault.what == "errors":
            each(lambda model: setattr(model, "errors", min(1.0, fault.times / 100)))
            undo = lambda: each(lambda model: setattr(model, "errors", 0.0))
        elif fault.what == "drain":
            self.announce(names, "draining")
            undo = lambda: self.announce(names, "up")
        elif fault.what == "restart":
            for name in names:
                self.restart(name)
        elif fault.what == "purge":
            self.purge(fault.group)
        elif fault.what == "store_slow":
            self.store.link.change(slowdown=fault.times)
            undo = lambda: self.store.link.change(slowdown=1.0)
        else:
            undo = self.inject_other(fault, names)
        if undo is not None and fault.lasts:
            self.clock.later(int(fault.lasts * SECOND), undo)
