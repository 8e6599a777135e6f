"""Converts registers to JSON values and back. Published lines and the disk use the same form. This module does no I/O."""

from __future__ import annotations

from typing import Any

from fieldspur.fleet.consensus import Register, StampedValue

MAX_NUMBER = 1 << 62  # the greatest number that a register may contain


class BadLine(ValueError):
    """A value that is not a valid register, or not a valid part of a published line. The text begins with the name of the part."""


def encode_stamped_value(stamped: StampedValue) -> list:
    return [list(stamped.stamp), stamped.value]


def encode_register(register: Register) -> dict:
    """A register as a JSON object of numbers and lists. Agreed values are included unchanged."""
    return {
        "member": register.member,
        "nonce": register.nonce,
        "seen": [list(pair) for pair in register.seen],
        "lives": list(register.lives),
        "life": register.life,
        "back": register.back,
        "asked": list(register.asked),
        "promised": list(register.promised),
        "accepted": encode_stamped_value(register.accepted),
        "said": encode_stamped_value(register.said),
        "decided": encode_stamped_value(register.decided),
        "founding": list(register.founding),
    }


def whole_number(raw: Any, name: str, minimum: int = 0) -> int:
    if type(raw) is not int or not minimum <= raw <= MAX_NUMBER:
        raise BadLine(f"{name}: a whole number from {minimum} wanted")
    return raw


def whole_numbers(raw: Any, name: str, length: int, minimum: int = 0) -> tuple:
    if type(raw) is not list or len(raw) != length:
        raise BadLine(f"{name}: a list of {length} wanted")
    return tuple(whole_number(item, f"{name}[{n}]", minimum) for n, item in enumerate(raw))


def ballot_and_tick(raw: Any, name: str) -> tuple:
    """A ballot and a lease tick under this ballot."""
    if type(raw) is not list or len(raw) != 2:
        raise BadLine(f"{name}: a ballot and a tick wanted")
    return whole_numbers(raw[0], name, 2, -1), whole_number(raw[1], name)


def decode_stamped_value(raw: Any, name: str) -> StampedValue:
    if type(raw) is not list or len(raw) != 2:
        raise BadLine(f"{name}: a stamp and a value wanted")
    return StampedValue(whole_numbers(raw[0], f"{name}.stamp", 3, -1), freeze(raw[1]))


def freeze(raw: Any) -> Any:
    """Turns lists into tuples, so that agreed values can be compared and stored in sets."""
    if type(raw) is list:
        return tuple(map(freeze, raw))
    return raw


def decode_register(raw: Any, members: int) -> Register:
    """The register of a fleet with this number of members. Raises BadLine. Unknown keys, which a later version may add, are ignored."""
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
        tuple(whole_numbers(pair, f"seen[{n}]", 2) for n, pair in enumerate(raw["seen"])),
        whole_numbers(raw["lives"], "lives", members),
        whole_number(raw["life"], "life"),
        whole_number(raw["back"], "back"),
        whole_numbers(raw["asked"], "asked", 2, -1),
        whole_numbers(raw["promised"], "promised", 2, -1),
        decode_stamped_value(raw["accepted"], "accepted"),
        decode_stamped_value(raw["said"], "said"),
        decode_stamped_value(raw["decided"], "decided"),
        whole_numbers(founding, "founding", members if founding else 0),
    )
