"""Plain classes with named fields, for the modules that a router loads at its start.

The standard library's `dataclasses` does the same and more. It imports `inspect`, `ast`, `dis` and `tokenize`, and generates five
methods for a class that uses one: together about a third of a router's start time (`fieldspur bench start`)."""

from __future__ import annotations

NOTHING = object()  # stands for a missing default


class Field:
    """Default and metadata of a field. `factory` makes a new default for each record."""

    __slots__ = ("name", "default", "factory", "metadata")

    def __init__(self, default=NOTHING, factory=None, metadata: dict | None = None):
        self.name, self.default, self.factory, self.metadata = "", default, factory, metadata or {}


def default_factory(factory) -> Field:
    """A field whose default `factory` makes anew for each record."""
    return Field(factory=factory)


def records_equal(self, other) -> bool:
    if type(other) is not type(self):
        return NotImplemented
    return all(getattr(self, field.name) == getattr(other, field.name) for field in self.__fields__)


def record_repr(self) -> str:
    return f"{type(self).__name__}({', '.join(f'{field.name}={getattr(self, field.name)!r}' for field in self.__fields__)})"


def record_hash(self) -> int:
    return hash(tuple(getattr(self, field.name) for field in self.__fields__))


def reject_change(self, name: str, value=None) -> None:
    raise AttributeError(f"{type(self).__name__}.{name} is not to be changed")


def record(frozen: bool = False, eq: bool = True):
    """A class decorator that adds slots, a readable `repr`, and an `__init__` that takes the annotated fields by position or by name.

    `eq`: records with equal values are equal. `frozen`: the fields can't be changed, and records have a hash."""

    def make(cls):
        fields = []
        for name in cls.__annotations__:
            field = cls.__dict__.get(name, NOTHING)
            field = field if isinstance(field, Field) else Field(field)
            field.name = name
            fields.append(field)
        names = [field.name for field in fields]
        body = {name: value for name, value in cls.__dict__.items() if name not in (*names, "__dict__", "__weakref__")}
        body |= {"__slots__": tuple(names), "__fields__": tuple(fields), "__repr__": record_repr}
        if eq:
            body |= {"__eq__": records_equal, "__hash__": record_hash if frozen else None}
        if frozen:
            body |= {"__setattr__": reject_change, "__delattr__": reject_change}
        record_class = type(cls.__name__, cls.__bases__, body)
        # `__init__` is compiled from source: its globals, the text of its parameters, and its statements.
        init_globals, parameters, assignments = {"_nothing": NOTHING}, [], []
        for field in fields:
            value = field.name
            if field.factory is not None:
                init_globals[f"_by_{field.name}"] = field.factory
                parameters.append(f"{field.name}=_nothing")
                value = f"_by_{field.name}() if {field.name} is _nothing else {field.name}"
            elif field.default is not NOTHING:
                init_globals[f"_is_{field.name}"] = field.default
                parameters.append(f"{field.name}=_is_{field.name}")
            else:
                parameters.append(field.name)
            if frozen:
                init_globals[f"_set_{field.name}"] = getattr(record_class, field.name).__set__
                assignments.append(f"_set_{field.name}(self, {value})")
            else:
                assignments.append(f"self.{field.name} = {value}")
        exec(f"def __init__(self, {', '.join(parameters)}):\n    " + "\n    ".join(assignments), init_globals)
        record_class.__init__ = init_globals["__init__"]
        return record_class

    return make


def is_record(value) -> bool:
    """Whether the value is a record or a record class."""
    return hasattr(value, "__fields__")


def replace(value, **changes):
    """A copy of a record with some fields changed."""
    return type(value)(**{field.name: getattr(value, field.name) for field in value.__fields__} | changes)
