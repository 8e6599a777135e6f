"""Registers as JSON values and back: what goes into published lines and on disk is the same. Free of I/O."""

from __future__ import annotations

from typing import Any

from fieldspur.fleet.consensus import Register, StampedValue

MOST = 1 << 62  # of any number in a register


class BadLine(ValueError):
    """A value that is no register; the text names the part."""


def said(of: StampedValue) -> list:
    return [list(of.stamp), of.value]


def encode_register(register: Register) -> dict:
    """A register as JSON: numbers, lists, and the agreed values as they are."""
    return {
        "member": register.member,
        "nonce": register.nonce,
        "seen": [list(pair) for pair in register.seen],
        "lives": list(register.lives),
        "life": register.life,
        "back": register.back,
        "asked": list(register.asked),
        "promised": list(register.promised),
        "accepted": said(register.accepted),
        "said": said(register.said),
        "decided": said(register.decided),
        "founding": list(register.founding),
    }


def whole_number(raw: Any, name: str, least: int = 0) -> int:
    if type(raw) is not int or not least <= raw <= MOST:
        raise BadLine(f"{name}: a whole number from {least} wanted")
    return raw


def numbers(raw: Any, name: str, many: int, least: int = 0) -> tuple:
    if type(raw) is not list or len(raw) != many:
        raise BadLine(f"{name}: a list of {many} wanted")
    return tuple(whole_number(one, f"{name}[{n}]", least) for n, one in enumerate(raw))


def ticked(raw: Any, name: str) -> tuple:
    """A ballot and a tick under it."""
    if type(raw) is not list or len(raw) != 2:
        raise BadLine(f"{name}: a ballot and a tick wanted")
    return numbers(raw[0], name, 2, -1), whole_number(raw[1], name)


def read_said(raw: Any, name: str) -> StampedValue:
    if type(raw) is not list or len(raw) != 2:
        raise BadLine(f"{name}: a mark and a value wanted")
    return StampedValue(numbers(raw[0], f"{name}.mark", 3, -1), freeze(raw[1]))


def freeze(raw: Any) -> Any:
    """Agreed values are compared and kept: lists become tuples."""
    if type(raw) is list:
        return tuple(map(freeze, raw))
    return raw


def decode_register(raw: Any, members: int) -> Register:
    """A register of a fleet of so many; raises BadLine. Keys that are not known are passed over: a later version's."""
    if type(raw) is not dict:
        raise BadLine("register: an object wanted")
    missing = [name for name in Register._fields if name not in raw]
    if missing:
        raise BadLine(f"{missing[0]}: missing")
    if type(raw["seen"]) is not list or len(raw["seen"]) != members:
        raise BadLine(f"seen: a list of {members} wanted")
    founding = raw["founding"]
    member = whole_number(raw["member"], "member")
    if member >= members:
        raise BadLine(f"member: below {members} wanted")
    return Register(
        member,
        whole_number(raw["nonce"], "nonce", 1),
        tuple(numbers(pair, f"seen[{n}]", 2) for n, pair in enumerate(raw["seen"])),
        numbers(raw["lives"], "lives", members),
        whole_number(raw["life"], "life"),
        whole_number(raw["back"], "back"),
        numbers(raw["asked"], "asked", 2, -1),
        numbers(raw["promised"], "promised", 2, -1),
        read_said(raw["accepted"], "accepted"),
        read_said(raw["said"], "said"),
        read_said(raw["decided"], "decided"),
        numbers(founding, "founding", members if founding else 0),
    )
