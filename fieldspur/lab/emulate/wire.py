"""The protocols as the other side speaks them: frames of clients, commands of cache servers. Plain and strict: what a router
writes wrongly is an error here. Bodies tell what they are, so that whoever gets one can check it."""

from __future__ import annotations

import struct
from hashlib import blake2b

HEAD = struct.Struct(">IBI")
MARK = struct.Struct(">16sIQI")  # object, part, issued (Unix ms), size
CODES = {79: "completed", 66: "rejected", 69: "aborted"}


class Wrong(Exception):
    """What came is not of the protocol."""


def body(obj: str, part: int, issued_ms: int, size: int) -> bytes:
    size = max(MARK.size, size)
    head = MARK.pack(obj.encode(), part, issued_ms, size)
    seed = blake2b(head, digest_size=32).digest()
    return (head + seed * ((size - len(head)) // 32 + 1))[:size]


def read_body(data: bytes, obj: str, part: int) -> int:
    """When the copy was issued, in Unix ms; raises Wrong where it is not that part's, whole and unchanged."""
    if len(data) < MARK.size:
        raise Wrong("a body too short")
    named, piece, issued, size = MARK.unpack_from(data)
    if (named.decode("latin"), piece) != (obj, part):
        raise Wrong("a body of another object or part")
    if data != body(obj, part, issued, size):
        raise Wrong("a body cut or changed")
    return issued


def request(stream: int, fields: dict[str, str], data: bytes = b"") -> bytes:
    payload = (
        bytes((len(fields),))
        + b"".join(bytes((len(k),)) + k.encode() + struct.pack(">H", len(v)) + v.encode() for k, v in fields.items())
        + data
    )
    return HEAD.pack(5 + len(payload), 65, stream) + payload


def gone(stream: int) -> bytes:
    return HEAD.pack(5, 67, stream)


def frames(held: bytearray):
    """Takes whole frames out: (type, stream, payload)."""
    at = 0
    try:
        while len(held) - at >= HEAD.size:
            length, kind, stream = HEAD.unpack_from(held, at)
            if not 5 <= length <= 262_144:
                raise Wrong("a frame's length")
            if len(held) - at < 4 + length:
                return
            payload, at = bytes(held[at + HEAD.size : at + 4 + length]), at + 4 + length
            yield kind, stream, payload
    finally:
        del held[:at]


def answer(payload: bytes) -> tuple[str, dict[str, str], bytes]:
    """Word, fields and body of a router's answer."""
    try:
        word, count, at, fields = CODES[payload[0]], payload[1], 2, {}
        for _ in range(count):
            size = payload[at]
            name, at = payload[at + 1 : at + 1 + size].decode(), at + 1 + size
            size = int.from_bytes(payload[at : at + 2], "big")
            fields[name], at = payload[at + 2 : at + 2 + size].decode(), at + 2 + size
    except (IndexError, KeyError, UnicodeDecodeError):
        raise Wrong("an answer that can't be read") from None
    return word, fields, payload[at:]


def commands(held: bytearray):
    """Takes whole commands out: where each began, and its items."""
    at = 0
    try:
        while at < len(held):
            end = held.find(b"\r\n", at, at + 32)
            if end < 0:
                return
            if held[at] != 42:
                raise Wrong("not a command")
            items, here = [], end + 2
            for _ in range(int(held[at + 1 : end])):
                end = held.find(b"\r\n", here, here + 32)
                if end < 0:
                    return
                if held[here] != 36:
                    raise Wrong("not an item")
                size = int(held[here + 1 : end])
                here = end + 2 + size + 2
                if here > len(held):
                    return
                items.append(bytes(held[end + 2 : here - 2]))
            began, at = at, here
            yield began, items
    finally:
        del held[:at]


def said(ident: str, word: str, fields: str = "-", data: bytes = b"") -> bytes:
    items = (ident.encode(), word.encode(), fields.encode(), data)
    return b"*4\r\n" + b"".join(b"$%d\r\n%b\r\n" % (len(item), item) for item in items)
