"""Plain classes with named fields, for what a router loads at its start.

The standard library's `dataclasses` does the same and more, and pulls in `inspect`, `ast`, `dis` and `tokenize`, and makes
five functions a class where one is used: together metadata a third of a router's start (`fieldspur bench start`)."""

from __future__ import annotations

NOTHING = object()


class Field:
    """What a class's body says of a field beyond its type: a default, what makes one, words metadata it."""

    __slots__ = ("name", "default", "factory", "metadata")

    def __init__(self, default=NOTHING, factory=None, metadata: dict | None = None):
        self.name, self.default, self.factory, self.metadata = "", default, factory, metadata or {}


def default_factory(by) -> Field:
    """A field whose default is made anew for each record."""
    return Field(factory=by)


def same(self, other) -> bool:
    if type(other) is not type(self):
        return NotImplemented
    return all(getattr(self, f.name) == getattr(other, f.name) for f in self.__fields__)


def text(self) -> str:
    return f"{type(self).__name__}({', '.join(f'{f.name}={getattr(self, f.name)!r}' for f in self.__fields__)})"


def digest(self) -> int:
    return hash(tuple(getattr(self, f.name) for f in self.__fields__))


def refuse(self, name: str, value=None) -> None:
    raise AttributeError(f"{type(self).__name__}.{name} is not to be changed")


def record(frozen: bool = False, eq: bool = True):
    """A class decorator: slots, `__init__` by position or name in the order of the annotations, a readable `repr`; by
    `eq` records of equal values are equal; `frozen` ones are not changed once made, and have a hash."""

    def make(cls):
        rows = []
        for name in cls.__annotations__:
            row = cls.__dict__.get(name, NOTHING)
            row = row if isinstance(row, Field) else Field(row)
            row.name = name
            rows.append(row)
        names = [row.name for row in rows]
        body = {name: value for name, value in cls.__dict__.items() if name not in (*names, "__dict__", "__weakref__")}
        body |= {"__slots__": tuple(names), "__fields__": tuple(rows), "__repr__": text}
        if eq:
            body |= {"__eq__": same, "__hash__": digest if frozen else None}
        if frozen:
            body |= {"__setattr__": refuse, "__delattr__": refuse}
        made = type(cls.__name__, cls.__bases__, body)
        known, says, sets = {"_nothing": NOTHING}, [], []
        for row in rows:
            value = row.name
            if row.factory is not None:
                known[f"_by_{row.name}"] = row.factory
                says.append(f"{row.name}=_nothing")
                value = f"_by_{row.name}() if {row.name} is _nothing else {row.name}"
            elif row.default is not NOTHING:
                known[f"_is_{row.name}"] = row.default
                says.append(f"{row.name}=_is_{row.name}")
            else:
                says.append(row.name)
            if frozen:
                known[f"_set_{row.name}"] = getattr(made, row.name).__set__
                sets.append(f"_set_{row.name}(self, {value})")
            else:
                sets.append(f"self.{row.name} = {value}")
        exec(f"def __init__(self, {', '.join(says)}):\n    " + "\n    ".join(sets), known)
        made.__init__ = known["__init__"]
        return made

    return make


def is_record(value) -> bool:
    return hasattr(value, "__fields__")


def replace(value, **changed):
    """A record like this one, but for what is named."""
    return type(value)(**{f.name: getattr(value, f.name) for f in value.__fields__} | changed)
