"""Frames of the client protocol: decodes received bytes to typed values and encodes answers. Does no I/O."""

from __future__ import annotations

import re
import struct

from fieldspur.net.receive_buffer import MemoryBudget, ReceiveBuffer
from fieldspur.permissions import Refusal
from fieldspur.record import record

# Frame types.
REQUEST = 65
ANSWER = 66
WITHDRAW = 67
READY_QUERY = 80
READY_REPLY = 81
NO_MORE_REQUESTS = 90

# Result codes of answers and of replies to a ready query.
COMPLETED = 79
REJECTED = 66
ABORTED = 69
CODE_BY_OUTCOME = {"completed": COMPLETED, "rejected": REJECTED, "aborted": ABORTED}

MIN_FRAME_LENGTH = 5  # smallest value of a frame's length field: type and stream alone
MAX_FRAME_LENGTH = 262_144
MAX_STREAM = 2**32 - 1  # the largest stream number
MAX_BODY_BYTES = 48_000  # of a request; answers are not limited here
MAX_FIELDS_BYTES = 8_192  # of a request; those that are known take 1.6 KB at most
MAX_FIELDS = 32  # of a request; nine are known
MAX_LIMIT_MS = 2**31
MAX_PART = 2**32
MAX_GROUP = 255
FRAME_HEAD = struct.Struct(">IBI")  # length of the rest of the frame, type, stream
HEX_ID_PATTERN = re.compile(r"[0-9a-fA-F]{16}")
DECIMAL_PATTERN = re.compile(r"[0-9]{1,9}(\.[0-9]{0,9})?")
TEXT_PATTERN = re.compile(r"[\x21-\x2b\x2d-\x7e]{1,200}")  # no comma: the value is passed on to servers in a comma-separated list


class BadFrame(Exception):
    """The frames of a connection are malformed, so that nothing after them can be decoded."""


class BadField(Exception):
    """A field of one request is missing or invalid; the rest of the connection can be read."""


@record()  # not frozen: creating a frozen record takes longer than decoding the request
class Request:
    """A request that a client sent, with its fields checked."""

    stream: int
    rule: str
    txn: str
    limit: int  # time limit in ns
    key: str | None  # idempotency key
    obj: str  # id of the object
    part: int  # number of the object's part
    group: int  # the object's purge group
    kb: float  # size in KB as the client states it, or 0
    tag: str | None  # tag of the copy that the client holds
    body: bytes


@record(frozen=True)
class UnusableRequest:
    """A request with a missing or invalid field, named in `why`; with `refusal`, one that was not read for want of memory."""

    stream: int
    why: str
    refusal: Refusal | None = None


@record(frozen=True)
class Withdrawal:
    """The client no longer waits for the answer on this stream."""

    stream: int


@record(frozen=True)
class ReadyQuery:
    """The client asks whether the router is ready."""

    stream: int


def decode_fields(data: bytes) -> tuple[dict[str, str], int]:
    """Returns the fields at the start of a request's payload, and the offset at which they end."""
    fields, offset = {}, 1
    if data and data[0] > MAX_FIELDS:
        raise BadField("fields: too many")
    try:
        for _ in range(data[0]):
            name_end = offset + 1 + data[offset]
            name = data[offset + 1 : name_end].decode()
            size = int.from_bytes(data[name_end : name_end + 2], "big")
            offset = name_end + 2 + size
            if offset > len(data):
                raise BadField("fields: cut short")
            fields[name] = data[name_end + 2 : offset].decode()
    except (IndexError, UnicodeDecodeError):
        raise BadField("fields: unreadable") from None
    return fields, offset


def required_text(fields: dict[str, str], name: str, pattern: re.Pattern) -> str:
    """Returns the field's value; raises BadField if it is missing or does not match `pattern`."""
    value = fields.get(name)
    if value is None or not pattern.fullmatch(value):
        raise BadField(f"{name}: {'missing' if value is None else 'unreadable'}")
    return value


def integer_field(fields: dict[str, str], name: str, maximum: int, default: str | None = None) -> int:
    """Returns the field's value as a number from 0 to `maximum`; raises BadField if it is missing or invalid."""
    text = fields.get(name, default)
    if text is None or not (text.isascii() and text.isdigit()) or len(text) > 12 or int(text) > maximum:
        raise BadField(f"{name}: {'missing' if text is None else 'unreadable'}")
    return int(text)


def decode_request(stream: int, payload: bytes) -> Request | UnusableRequest:
    """Decodes a request field by field, whatever the order of its fields."""
    try:
        fields, body_start = decode_fields(payload)
        if len(payload) - body_start > MAX_BODY_BYTES:
            raise BadField("body: too long")
        kb = float(required_text(fields, "ram", DECIMAL_PATTERN)) if "ram" in fields else 0.0
        return Request(
            stream,
            required_text(fields, "verb", TEXT_PATTERN),
            required_text(fields, "txn", HEX_ID_PATTERN),
            integer_field(fields, "limit", MAX_LIMIT_MS) * 1_000_000,
            required_text(fields, "unique", TEXT_PATTERN) if "unique" in fields else None,
            required_text(fields, "item", HEX_ID_PATTERN),
            integer_field(fields, "slice", MAX_PART, "0"),
            integer_field(fields, "set", MAX_GROUP),
            kb,
            required_text(fields, "seen", TEXT_PATTERN) if fields.get("seen") else None,
            payload[body_start:],
        )
    except BadField as error:
        return UnusableRequest(stream, str(error))


INITIAL_BUFFER_BYTES = 4096  # first size of each connection's receive buffer


# Matches the fields in the order in which the protocol lists them, which is how nearly all clients send them. A value has
# no byte below 0x21 and every name is shorter than 0x21 bytes, so a value cannot run into the length byte of the next name.
# Payloads that do not match are decoded field by field.
USUAL_FIELDS = re.compile(
    rb"(?s)(.)\x04verb\0(.)([\x21-\x2b\x2d-\x7e]{1,200})\x03txn\0\x10([0-9a-fA-F]{16})\x05limit\0(.)([0-9]{1,12})"
    rb"(?:\x06unique\0(.)([\x21-\x2b\x2d-\x7e]{1,200}))?\x04item\0\x10([0-9a-fA-F]{16})"
    rb"(?:\x05slice\0(.)([0-9]{1,12}))?\x03set\0(.)([0-9]{1,12})"
    rb"(?:\x03ram\0(.)([0-9]{1,9}(?:\.[0-9]{0,9})?))?(?:\x04seen\0(.)([\x21-\x2b\x2d-\x7e]{1,200}))?"
)


def decode_usual_request(stream: int, buf: bytearray, start: int, end: int) -> Request | None:
    """Returns the request in `buf[start:end]`, or None unless its fields are in the usual order and all valid."""
    match = USUAL_FIELDS.match(buf, start, end)
    if match is None or end - match.end() > MAX_BODY_BYTES:
        return None
    (count, verb_size, verb, txn, limit_size, limit, key_size, key, obj, part_size, part, group_size, group, kb_size, kb, tag_size, tag) = (
        match.groups()
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
    limit_ms, part_number, group_number = int(limit), int(part or 0), int(group)
    if limit_ms > MAX_LIMIT_MS or part_number > MAX_PART or group_number > MAX_GROUP:
        return None
    return Request(
        stream,
        verb.decode(),
        txn.decode(),
        limit_ms * 1_000_000,
        key.decode() if key else None,
        obj.decode(),
        part_number,
        group_number,
        float(kb) if kb else 0.0,
        tag.decode() if tag else None,
        bytes(memoryview(buf)[match.end() : end]) if match.end() < end else b"",
    )


class Decoder:
    """Decodes the frames that one client sends, however they are split across reads.

    A frame that can't be used, or for which `budget` has no memory left, is skipped: its bytes are dropped as they come, and a value that
    says why takes its place once it is complete."""

    def __init__(self, budget: MemoryBudget | None = None):
        self.receive_buffer = ReceiveBuffer(INITIAL_BUFFER_BYTES, trust_length=False, budget=budget)
        self.bytes_to_skip = 0  # of the frame that is skipped
        self.skipped_frame: UnusableRequest | Withdrawal | ReadyQuery | None = None  # what to yield at its end

    def feed(self, data: bytes):
        """Yields the values that `data` completes; raises BadFrame where the frames are malformed."""
        for size in self.receive_buffer.feed(data):
            yield from self.decode_received(size)

    def decode_received(self, size: int):
        """Yields the values that are complete after `size` bytes were read into the free space of the receive buffer."""
        receive_buffer = self.receive_buffer
        receive_buffer.end += size
        if self.bytes_to_skip:
            self.skip_received()
            if self.bytes_to_skip:
                return
            yield self.skipped_frame
        while receive_buffer.end - receive_buffer.start >= FRAME_HEAD.size:
            start = receive_buffer.start
            length, frame_type, stream = FRAME_HEAD.unpack_from(receive_buffer.buf, start)
            if not MIN_FRAME_LENGTH <= length <= MAX_FRAME_LENGTH:
                raise BadFrame("length out of bounds")
            if frame_type not in (REQUEST, WITHDRAW, READY_QUERY):
                raise BadFrame("type not for a router")
            if receive_buffer.end - start < 4 + length:
                receive_buffer.message_size = 4 + length
                self.prepare_for_rest(length, frame_type, stream)
                return
            receive_buffer.start, receive_buffer.message_size = start + 4 + length, 0
            if frame_type == REQUEST:
                request = decode_usual_request(stream, receive_buffer.buf, start + FRAME_HEAD.size, start + 4 + length)
                yield request or decode_request(stream, bytes(receive_buffer.view[start + FRAME_HEAD.size : start + 4 + length]))
            else:
                yield Withdrawal(stream) if frame_type == WITHDRAW else ReadyQuery(stream)

    def prepare_for_rest(self, length: int, frame_type: int, stream: int) -> None:
        """Makes room for the rest of an incomplete frame, or begins to skip it."""
        if frame_type != REQUEST:
            if 4 + length > INITIAL_BUFFER_BYTES:
                self.begin_skip(Withdrawal(stream) if frame_type == WITHDRAW else ReadyQuery(stream))
        elif length > MIN_FRAME_LENGTH + MAX_FIELDS_BYTES + MAX_BODY_BYTES:
            self.begin_skip(UnusableRequest(stream, "body: too long"))
        elif not self.receive_buffer.make_room():
            self.begin_skip(UnusableRequest(stream, "no memory", Refusal.FRAME_MEMORY))

    def begin_skip(self, skipped_frame: UnusableRequest | Withdrawal | ReadyQuery) -> None:
        """Drops what was received of an incomplete frame, and has the rest dropped as it comes."""
        receive_buffer = self.receive_buffer
        self.skipped_frame = skipped_frame
        self.bytes_to_skip = receive_buffer.message_size - len(receive_buffer)
        receive_buffer.release()

    def skip_received(self) -> None:
        """Drops received bytes of the frame that is skipped."""
        receive_buffer = self.receive_buffer
        size = min(self.bytes_to_skip, len(receive_buffer))
        receive_buffer.start += size
        self.bytes_to_skip -= size


MAX_JOINED_BODY_BYTES = 8192  # up to this size a body is copied behind its head, as writing one buffer costs less than two


def encode(frame_type: int, stream: int, code: int | None = None, fields: dict[str, str] | None = None, body=b"") -> tuple:
    """Encodes one frame, as buffers to write in order: a single buffer, or the head and a long body that is not copied."""
    parts = []
    if code is not None:
        parts.append(bytes((code, len(fields or ()))))
        for name, value in (fields or {}).items():
            encoded_name, encoded_value = name.encode(), value.encode()
            parts += (bytes((len(encoded_name),)), encoded_name, len(encoded_value).to_bytes(2, "big"), encoded_value)
    head = b"".join((FRAME_HEAD.pack(5 + sum(map(len, parts)) + len(body), frame_type, stream), *parts))
    return (head + body,) if len(body) <= MAX_JOINED_BODY_BYTES else (head, body)


ANSWER_HEAD_WITHOUT_FIELDS = struct.Struct(">IBIBB")  # length, type, stream, result code, number of fields (0)


def encode_answer(stream: int, outcome: str, retry_after_ms: int = 0, unchanged: bool = False, body=b"") -> tuple:
    """Encodes an answer, as buffers to write in order; most answers have no fields and take the short way."""
    if not retry_after_ms and not unchanged:
        head = ANSWER_HEAD_WITHOUT_FIELDS.pack(7 + len(body), ANSWER, stream, CODE_BY_OUTCOME[outcome], 0)
        return (head + body,) if len(body) <= MAX_JOINED_BODY_BYTES else (head, body)
    fields = {}
    if retry_after_ms:
        fields["later"] = str(retry_after_ms)
    if unchanged:
        fields["current"] = "1"
    return encode(ANSWER, stream, CODE_BY_OUTCOME[outcome], fields, body)


def encode_ready_reply(stream: int, is_ready: bool) -> tuple:
    """Encodes the reply to a ready query."""
    return encode(READY_REPLY, stream, COMPLETED if is_ready else REJECTED)


def encode_unreadable() -> tuple:
    """Encodes the error for a connection that cannot be read any further. It belongs to no request: its stream is 0."""
    return encode(ANSWER, 0, ABORTED)


def encode_no_more_requests() -> tuple:
    """Encodes the notice that this router ends and the client is to send it no further requests."""
    return encode(NO_MORE_REQUESTS, 0)
