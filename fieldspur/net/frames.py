"""Clients' frames: bytes to typed values and back. No sockets here."""

from __future__ import annotations

import re
import struct
from dataclasses import dataclass

REQUEST, ANSWER, GONE, ASK_READY, READY, NO_MORE = 65, 66, 67, 80, 81, 90
SERVED, REFUSED, FAILED = 79, 66, 69
CODES = {"completed": SERVED, "rejected": REFUSED, "aborted": FAILED}
LEAST, MOST = 5, 262_144  # of a frame's length
MOST_BODY = 48_000
HEAD = struct.Struct(">IBI")
HEX = re.compile(r"[0-9a-fA-F]{16}")
NUMBER = re.compile(r"[0-9]{1,9}(\.[0-9]{0,9})?")
VALUE = re.compile(r"[\x21-\x2b\x2d-\x7e]{1,200}")  # what passes on inside a list joined by commas


class BadFrame(Exception):
    """The connection can't be read any further."""


class BadField(Exception):
    """One request can't be used."""


@dataclass(frozen=True, slots=True)
class Request:
    stream: int
    rule: str
    txn: str
    limit: int  # ns
    key: str | None
    obj: str
    part: int
    group: int
    kb: float
    tag: str | None  # of the copy that the client holds
    body: bytes


@dataclass(frozen=True, slots=True)
class Unusable:
    stream: int
    why: str


@dataclass(frozen=True, slots=True)
class Withdrawn:
    stream: int


@dataclass(frozen=True, slots=True)
class ReadyAsked:
    stream: int


def fields_of(data: bytes) -> tuple[dict[str, str], int]:
    """The fields at the start of a payload, and where they end."""
    found, at = {}, 1
    try:
        for _ in range(data[0]):
            end = at + 1 + data[at]
            name = data[at + 1:end].decode()
            size = int.from_bytes(data[end:end + 2], "big")
            at = end + 2 + size
            if at > len(data):
                raise BadField("fields: cut short")
            found[name] = data[end + 2:at].decode()
    except (IndexError, UnicodeDecodeError):
        raise BadField("fields: unreadable") from None
    return found, at


def need(fields: dict[str, str], name: str, form: re.Pattern) -> str:
    value = fields.get(name)
    if value is None or not form.fullmatch(value):
        raise BadField(f"{name}: {'missing' if value is None else 'unreadable'}")
    return value


def whole(fields: dict[str, str], name: str, most: int, default: str | None = None) -> int:
    text = fields.get(name, default)
    if text is None or not (text.isascii() and text.isdigit()) or len(text) > 12 or int(text) > most:
        raise BadField(f"{name}: {'missing' if text is None else 'unreadable'}")
    return int(text)


def request(stream: int, payload: bytes) -> Request | Unusable:
    try:
        fields, at = fields_of(payload)
        if len(payload) - at > MOST_BODY:
            raise BadField("body: too long")
        kb = float(need(fields, "ram", NUMBER)) if "ram" in fields else 0.0
        return Request(
            stream, need(fields, "verb", VALUE), need(fields, "txn", HEX),
            whole(fields, "limit", 2**31) * 1_000_000,
            need(fields, "unique", VALUE) if "unique" in fields else None,
            need(fields, "item", HEX), whole(fields, "slice", 2**32, "0"), whole(fields, "set", 255),
            kb, need(fields, "seen", VALUE) if fields.get("seen") else None, payload[at:])
    except BadField as bad:
        return Unusable(stream, str(bad))


class Decoder:
    """Cuts what clients send into values, across any split of reads."""

    def __init__(self):
        self.held = bytearray()

    def feed(self, data: bytes):
        """Yields values; raises BadFrame where nothing more can be read."""
        held = self.held
        held += data
        at = 0
        try:
            while len(held) - at >= HEAD.size:
                length, kind, stream = HEAD.unpack_from(held, at)
                if not LEAST <= length <= MOST:
                    raise BadFrame("length out of bounds")
                if kind not in (REQUEST, GONE, ASK_READY):
                    raise BadFrame("type not for a router")
                end = at + 4 + length
                if len(held) < end:
                    return
                payload, at = bytes(held[at + HEAD.size:end]), end
                if kind == REQUEST:
                    yield request(stream, payload)
                else:
                    yield Withdrawn(stream) if kind == GONE else ReadyAsked(stream)
        finally:
            del held[:at]


def encode(kind: int, stream: int, code: int | None = None, fields: dict[str, str] | None = None,
           body: bytes = b"") -> bytes:
    parts = []
    if code is not None:
        parts.append(bytes((code, len(fields or ()))))
        for name, value in (fields or {}).items():
            word, text = name.encode(), value.encode()
            parts += (bytes((len(word),)), word, len(text).to_bytes(2, "big"), text)
    payload = sum(map(len, parts)) + len(body)
    return b"".join((HEAD.pack(5 + payload, kind, stream), *parts, body))


def answer(stream: int, word: str, come_back_ms: int = 0, unchanged: bool = False, body: bytes = b"") -> bytes:
    fields = {}
    if come_back_ms:
        fields["later"] = str(come_back_ms)
    if unchanged:
        fields["current"] = "1"
    return encode(ANSWER, stream, CODES[word], fields, body)


def ready(stream: int, yes: bool) -> bytes:
    return encode(READY, stream, SERVED if yes else REFUSED)


def unreadable() -> bytes:
    return encode(ANSWER, 0, FAILED)


def no_more() -> bytes:
    return encode(NO_MORE, 0)
