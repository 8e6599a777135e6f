"""Clients' frames: bytes to typed values and back. No sockets here."""

from __future__ import annotations

import re
import struct

from fieldspur.net.receive_buffer import ReceiveBuffer
from fieldspur.record import record

REQUEST, ANSWER, WITHDRAW, READY_QUERY, READY_REPLY, NO_MORE_REQUESTS = 65, 66, 67, 80, 81, 90
COMPLETED, REJECTED, ABORTED = 79, 66, 69
CODES = {"completed": COMPLETED, "rejected": REJECTED, "aborted": ABORTED}
LEAST, MOST = 5, 262_144  # of a frame's length
MOST_BODY = 48_000
MOST_LIMIT, MOST_PART, MOST_GROUP = 2**31, 2**32, 255
HEAD = struct.Struct(">IBI")
HEX = re.compile(r"[0-9a-fA-F]{16}")
NUMBER = re.compile(r"[0-9]{1,9}(\.[0-9]{0,9})?")
VALUE = re.compile(r"[\x21-\x2b\x2d-\x7e]{1,200}")  # what passes on inside a list joined by commas


class BadFrame(Exception):
    """The connection can't be read any further."""


class BadField(Exception):
    """One request can't be used."""


@record()  # not frozen: that costs more than the reading
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


@record(frozen=True)
class UnusableRequest:
    stream: int
    why: str


@record(frozen=True)
class Withdrawal:
    stream: int


@record(frozen=True)
class ReadyQuery:
    stream: int


def fields_of(data: bytes) -> tuple[dict[str, str], int]:
    """The fields at the start of a payload, and where they end."""
    found, at = {}, 1
    try:
        for _ in range(data[0]):
            end = at + 1 + data[at]
            name = data[at + 1 : end].decode()
            size = int.from_bytes(data[end : end + 2], "big")
            at = end + 2 + size
            if at > len(data):
                raise BadField("fields: cut short")
            found[name] = data[end + 2 : at].decode()
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


def request(stream: int, payload: bytes) -> Request | UnusableRequest:
    try:
        fields, at = fields_of(payload)
        if len(payload) - at > MOST_BODY:
            raise BadField("body: too long")
        kb = float(need(fields, "ram", NUMBER)) if "ram" in fields else 0.0
        return Request(
            stream,
            need(fields, "verb", VALUE),
            need(fields, "txn", HEX),
            whole(fields, "limit", MOST_LIMIT) * 1_000_000,
            need(fields, "unique", VALUE) if "unique" in fields else None,
            need(fields, "item", HEX),
            whole(fields, "slice", MOST_PART, "0"),
            whole(fields, "set", MOST_GROUP),
            kb,
            need(fields, "seen", VALUE) if fields.get("seen") else None,
            payload[at:],
        )
    except BadField as bad:
        return UnusableRequest(stream, str(bad))


FIRST = 4096  # of a connection's buffer


# The fields in the order in which the protocol lists them, as nearly all clients send them. A value holds no byte below
# 0x21 and names are shorter than that, so none runs into the next; what does not match is read field by field.
USUAL = re.compile(
    rb"(?s)(.)\x04verb\0(.)([\x21-\x2b\x2d-\x7e]{1,200})\x03txn\0\x10([0-9a-fA-F]{16})\x05limit\0(.)([0-9]{1,12})"
    rb"(?:\x06unique\0(.)([\x21-\x2b\x2d-\x7e]{1,200}))?\x04item\0\x10([0-9a-fA-F]{16})"
    rb"(?:\x05slice\0(.)([0-9]{1,12}))?\x03set\0(.)([0-9]{1,12})"
    rb"(?:\x03ram\0(.)([0-9]{1,9}(?:\.[0-9]{0,9})?))?(?:\x04seen\0(.)([\x21-\x2b\x2d-\x7e]{1,200}))?"
)


def usual(stream: int, buf: bytearray, at: int, end: int) -> Request | None:
    """The request in `buf[at:end]` if it is of the usual form in every respect."""
    found = USUAL.match(buf, at, end)
    if found is None or end - found.end() > MOST_BODY:
        return None
    (count, verb_size, verb, txn, limit_size, limit, key_size, key, obj, part_size, part, group_size, group, kb_size, kb, tag_size, tag) = (
        found.groups()
    )
    if (
        count[0] != 5 + (key is not None) + (part is not None) + (kb is not None) + (tag is not None)
        or verb_size[0] != len(verb)
        or limit_size[0] != len(limit)
        or group_size[0] != len(group)
        or key is not None
        and key_size[0] != len(key)
        or part is not None
        and part_size[0] != len(part)
        or kb is not None
        and kb_size[0] != len(kb)
        or tag is not None
        and tag_size[0] != len(tag)
    ):
        return None
    wait, piece, family = int(limit), int(part or 0), int(group)
    if wait > MOST_LIMIT or piece > MOST_PART or family > MOST_GROUP:
        return None
    return Request(
        stream,
        verb.decode(),
        txn.decode(),
        wait * 1_000_000,
        key.decode() if key else None,
        obj.decode(),
        piece,
        family,
        float(kb) if kb else 0.0,
        tag.decode() if tag else None,
        bytes(buf[found.end() : end]),
    )


class Decoder:
    """Cuts what clients send into values, across any split of reads."""

    def __init__(self):
        self.window = ReceiveBuffer(FIRST, trust_length=False)

    def feed(self, data: bytes):
        """Yields values; raises BadFrame where nothing more can be read."""
        for size in self.window.feed(data):
            yield from self.filled(size)

    def filled(self, size: int):
        """So many bytes came into the window's room."""
        window = self.window
        window.end += size
        while window.end - window.start >= HEAD.size:
            at = window.start
            length, kind, stream = HEAD.unpack_from(window.buf, at)
            if not LEAST <= length <= MOST:
                raise BadFrame("length out of bounds")
            if kind not in (REQUEST, WITHDRAW, READY_QUERY):
                raise BadFrame("type not for a router")
            if window.end - at < 4 + length:
                window.message_size = 4 + length
                return
            window.start, window.message_size = at + 4 + length, 0
            if kind == REQUEST:
                found = usual(stream, window.buf, at + HEAD.size, at + 4 + length)
                yield found or request(stream, bytes(window.view[at + HEAD.size : at + 4 + length]))
            else:
                yield Withdrawal(stream) if kind == WITHDRAW else ReadyQuery(stream)


JOINED = 8192  # a body up to here is copied behind its head: one buffer to write costs less than two


def encode(kind: int, stream: int, code: int | None = None, fields: dict[str, str] | None = None, body=b"") -> tuple:
    """One frame, as buffers in their order: one, or a head and a long body as it is."""
    parts = []
    if code is not None:
        parts.append(bytes((code, len(fields or ()))))
        for name, value in (fields or {}).items():
            word, text = name.encode(), value.encode()
            parts += (bytes((len(word),)), word, len(text).to_bytes(2, "big"), text)
    head = b"".join((HEAD.pack(5 + sum(map(len, parts)) + len(body), kind, stream), *parts))
    return (head + body,) if len(body) <= JOINED else (head, body)


PLAIN = struct.Struct(">IBIBB")  # the head of an answer without fields


def answer(stream: int, word: str, retry_after_ms: int = 0, unchanged: bool = False, body=b"") -> tuple:
    if not retry_after_ms and not unchanged:
        head = PLAIN.pack(7 + len(body), ANSWER, stream, CODES[word], 0)
        return (head + body,) if len(body) <= JOINED else (head, body)
    fields = {}
    if retry_after_ms:
        fields["later"] = str(retry_after_ms)
    if unchanged:
        fields["current"] = "1"
    return encode(ANSWER, stream, CODES[word], fields, body)


def ready(stream: int, yes: bool) -> tuple:
    return encode(READY_REPLY, stream, COMPLETED if yes else REJECTED)


def unreadable() -> tuple:
    return encode(ANSWER, 0, ABORTED)


def no_more() -> tuple:
    return encode(NO_MORE_REQUESTS, 0)
