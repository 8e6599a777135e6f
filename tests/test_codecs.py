"""Decoding and encoding of both protocols for any split of the bytes, faulty settings, and log lines. No sockets."""

import copy
import logging

import pytest
from helpers import settings
from hypothesis import given
from hypothesis import settings as tries
from hypothesis import strategies as st

from fieldspur.net import frames, resp
from fieldspur.net.client_listener import UsedStreams
from fieldspur.net.logs import MAX_LINES_PER_SECOND, KeyValueFormatter, RateLimitFilter, format_value
from fieldspur.site import ConfigError, deployment, read_node

HEX_IDS = st.text("0123456789abcdef", min_size=16, max_size=16)
FIELDS = {
    "verb": "media",
    "txn": "9b1f03aa5c7e2d41",
    "limit": "1500",
    "item": "7f3a9c21e0b4d655",
    "slice": "3",
    "set": "17",
    "ram": "412.5",
}


def split_at(data, cut_points):
    """Splits `data` at these points, each taken modulo its length."""
    offsets = sorted(cut_point % (len(data) + 1) for cut_point in cut_points)
    return [data[start:end] for start, end in zip([0, *offsets], [*offsets, len(data)])]


@tries(deadline=None, derandomize=True)
@given(st.lists(st.tuples(HEX_IDS, st.integers(0, 9), st.binary(max_size=300)), max_size=5), st.lists(st.integers(0, 5000), max_size=8))
def test_requests_are_decoded_for_any_split_of_reads(rows, cut_points):
    data = b"".join(
        b"".join(
            frames.encode(
                frames.REQUEST,
                index + 1,
                None,
                None,
                bytes([len(FIELDS)])
                + b"".join(
                    bytes([len(name)]) + name.encode() + len(value).to_bytes(2, "big") + value.encode()
                    for name, value in (FIELDS | {"txn": txn, "slice": str(part)}).items()
                )
                + body,
            )
            + frames.encode(frames.WITHDRAW, index + 1)
        )
        for index, (txn, part, body) in enumerate(rows)
    )
    decoder = frames.Decoder()
    values = [value for piece in split_at(data, cut_points) for value in decoder.feed(piece)]
    assert [(value.txn, value.part, value.body, value.limit, value.kb, value.group) for value in values[::2]] == [
        (txn, part, body, 1_500_000_000, 412.5, 17) for txn, part, body in rows
    ]
    assert values[1::2] == [frames.Withdrawal(index + 1) for index in range(len(rows))] and not len(decoder.receive_buffer)


@tries(deadline=None, derandomize=True)
@given(st.binary(max_size=400), st.lists(st.integers(0, 400), max_size=4))
def test_garbage_gives_decoded_values_or_the_decoder_s_error(data, cut_points):
    for decoder, bad_data_error in ((frames.Decoder(), frames.BadFrame), (resp.Decoder(), resp.BadReply)):
        try:
            for piece in split_at(data, cut_points):
                for value in decoder.feed(piece):
                    assert isinstance(value, (frames.Request, frames.UnusableRequest, frames.Withdrawal, frames.ReadyQuery, resp.Reply))
        except bad_data_error:
            pass


@tries(deadline=None, derandomize=True)
@given(st.binary(max_size=200), st.binary(max_size=60), st.lists(st.integers(0, 400), max_size=4))
def test_a_request_with_any_payload_is_decoded_or_unusable(payload, body, cut_points):
    decoder = frames.Decoder()
    data = b"".join(frames.encode(frames.REQUEST, 5, None, None, payload + body))
    (value,) = [decoded for piece in split_at(data, cut_points) for decoded in decoder.feed(piece)]
    assert isinstance(value, (frames.Request, frames.UnusableRequest)) and value.stream == 5


@tries(deadline=None, derandomize=True)
@given(
    st.lists(
        st.tuples(
            HEX_IDS,
            st.sampled_from(sorted(resp.RESULT_BY_WORD)),
            st.binary(max_size=400),
            st.sampled_from(resp.FILL_NOTES),
            st.integers(0, 4000),
        ),
        max_size=5,
    ),
    st.lists(st.integers(0, 4000), max_size=8),
)
def test_replies_are_decoded_for_any_split_of_reads(rows, cut_points):
    data = b"".join(
        resp.encode_array(
            ident.encode(),
            word.encode(),
            f"entity=e,tell={note},delay={delay},meter=inflight:7;util:0.5".encode() if note else b"entity=e",
            body,
        )
        for ident, word, body, note, delay in rows
    )
    decoder = resp.Decoder()
    replies = [(reply, bytes(reply.body)) for piece in split_at(data, cut_points) for reply in decoder.feed(piece)]
    assert [(reply_row.ident, reply_row.result, body, reply_row.note) for reply_row, body in replies] == [
        (ident, resp.RESULT_BY_WORD[word], body, resp.FILL_NOTES.index(note)) for ident, word, body, note, _ in rows
    ]
    for (reply, _), row in zip(replies, rows):
        assert reply.queued_ns == (row[4] * 1_000_000 if row[3] else None)
        assert reply.load == ({"inflight": 7.0, "util": 0.5} if row[3] else None)


@pytest.mark.parametrize(
    "items",
    [
        (b"ACK", b"entity=e"),
        (b"ACK", b"entity=e", b"x", b"y"),
        (b"WHAT", b"-", b""),
        (b"ACK",),
        (b"ACK", b"entity=e,delay=nan", b""),
        (b"ACK", b"entity=e,delay=-1", b""),
        (b"ACK", b"entity=e,delay=1e999", b""),
    ],
)
def test_a_malformed_reply_is_an_error(items):
    with pytest.raises(resp.BadReply):
        list(resp.Decoder().feed(resp.encode_array(b"9b1f03aa5c7e2d41", *items)))


def test_invalid_numbers_of_a_load_report_are_left_out():
    assert resp.parse_load("inflight:1e300;util:0.5;hits:-1;x:nan") == {"util": 0.5}


def test_a_want_message_contains_only_the_fields_that_are_set():
    minimal_fields = dict(
        txn="9b1f03aa5c7e2d41",
        rule="media",
        obj="7f3a9c21e0b4d655",
        part=3,
        limit_ms=1500,
        key=None,
        source=None,
        rank=0,
        within_ms=0,
        join=False,
        renew=False,
        fetch=True,
        tag=None,
        body=b"",
    )
    assert b"".join(resp.encode_want(resp.Want(**minimal_fields))) == resp.encode_array(
        b"want", b"9b1f03aa5c7e2d41", b"cls=media,item=7f3a9c21e0b4d655,chunk=3,limit=1500", b""
    )
    all_fields = minimal_fields | dict(key="k", source="p0", rank=2, within_ms=40, join=True, renew=True, fetch=False, tag="t", body=b"x")
    assert b"".join(resp.encode_want(resp.Want(**all_fields))) == resp.encode_array(
        b"want",
        b"9b1f03aa5c7e2d41",
        b"cls=media,item=7f3a9c21e0b4d655,chunk=3,limit=1500,nonce=k,miss=p0,prio=2,within=40,f=collapse+only-if-cached+refresh,mine=t",
        b"x",
    )


@pytest.mark.parametrize("data", [b"\0\0\0\4A\0\0\0\1", b"\0\4\0\1A\0\0\0\1", b"\0\0\0\5B\0\0\0\1", b"\0\0\0\5\0\0\0\0\1"])
def test_frames_of_invalid_length_or_type_are_an_error(data):
    with pytest.raises(frames.BadFrame):
        list(frames.Decoder().feed(data))


@pytest.mark.parametrize(
    "name, value",
    [
        ("txn", None),
        ("txn", "9b"),
        ("limit", None),
        ("limit", "-1"),
        ("limit", "1e3"),
        ("item", "x" * 16),
        ("slice", "1.5"),
        ("set", "256"),
        ("set", None),
        ("ram", "nan"),
        ("ram", "many"),
        ("ram", "1e308"),
        ("ram", "1_0"),
        ("ram", "-1"),
        ("unique", "a,b"),
        ("seen", "a b"),
        ("verb", None),
    ],
)
def test_an_unusable_request_names_its_faulty_field(name, value):
    fields = {field: text for field, text in (FIELDS | {name: value}).items() if text is not None}
    payload = bytes([len(fields)]) + b"".join(
        bytes([len(field)]) + field.encode() + len(text).to_bytes(2, "big") + text.encode() for field, text in fields.items()
    )
    value = frames.decode_request(1, payload)
    assert isinstance(value, frames.UnusableRequest) and value.why.startswith(name)


def test_a_stream_number_can_be_used_once_in_any_order():
    used_streams = UsedStreams()
    assert [used_streams.use(stream) for stream in (1, 3, 2, 3, 1, 4, 0)] == [True, True, True, False, False, True, False]
    assert list(used_streams.first_numbers)[:-1] == [0] and list(used_streams.last_numbers)[:-1] == [4]


@pytest.mark.parametrize(
    "path, value, message",
    [
        ("zone", None, "settings.zone: missing"),
        ("zone", 4, "settings.zone: not within"),
        ("familyInfo.goodForUs", [0], "settings.familyInfo.goodForUs: 1 values for 2 rules"),
        ("familyInfo.upperColdFrom", "x", "settings.familyInfo.upperColdFrom: not a number"),
        ("guarantees", 3, "settings.guarantees: not an object"),
        ("allowed.probes", 1, "settings.allowed.probes: not true"),
        ("classes", [{"name": "a"}], "settings.familyInfo.neverKept: 2 values"),
        ("guarantees.overloadForUs", 0, "settings.guarantees.overloadForUs: below 1"),
        ("areas", [1], "settings.areas: not a list of names"),
        ("familyInfo.says", "some", "settings.familyInfo.says: none of all, hit, none"),
        ("shape", "look", "settings.shape: none of as-told, watch"),
    ],
)
def test_a_faulty_key_is_named(path, value, message):
    deployment_settings = copy.deepcopy(settings())
    *parent_keys, last_key = path.split(".")
    section = deployment_settings
    for key in parent_keys:
        section = section[key]
    section[last_key] = value
    with pytest.raises(ConfigError) as error:
        deployment(deployment_settings)
    assert str(error.value).startswith(message)


@pytest.mark.parametrize(
    "text, message",
    [
        (None, "LB_CONFIG: "),
        ("{", "LB_CONFIG: the file is not JSON"),
        ("[]", "the file: not an object"),
        ('{"name": "n", "limits": {}, "known": {}, "seed": "1"}', "listen: missing"),
        ('{"name": "n", "listen": "a:b", "limits": {}, "known": {}, "seed": "1"}', "listen: not an address"),
        ('{"name": "n", "listen": "a:1", "limits": {}, "known": {}, "seed": "z"}', "seed: not a hexadecimal"),
        ('{"name": "n", "listen": "a:1", "board": "b:1", "limits": {"sockets": 1}, "known": {}, "seed": "1"}', "limits.sockets: below 24"),
    ],
)
def test_a_faulty_file_is_named(tmp_path, text, message):
    path = tmp_path / "config.json"
    if text is not None:
        path.write_text(text)
    with pytest.raises(ConfigError) as error:
        read_node({"LB_CONFIG": str(path)})
    assert str(error.value).startswith(message)


def test_log_lines_are_key_value_pairs():
    record = logging.LogRecord("fieldspur.route", logging.INFO, "", 1, "decided", (), None)
    record.kv = {"text": 'a "b" c', "n": 3, "share": 0.25}
    line = KeyValueFormatter().format(record)
    assert line.endswith(r'level=info part=route event=decided text="a \"b\" c" n=3 share=0.250') and "\n" not in line
    assert format_value("") == '""'


def test_the_lines_of_one_event_a_second_are_limited_in_the_log():
    flood, lines = RateLimitFilter(), []
    for second in (7.0, 8.0):
        for _ in range(MAX_LINES_PER_SECOND + 5):
            record = logging.LogRecord("fieldspur.admit", logging.WARNING, "", 1, "unusable", (), None)
            record.created = second
            if flood.filter(record):
                lines.append(getattr(record, "kv", {}))
    assert len(lines) == 2 * MAX_LINES_PER_SECOND and lines[MAX_LINES_PER_SECOND] == {"left_out": 5} and lines.count({}) == 39


def test_settings_without_the_new_keys_keep_the_old_shape():
    deployment_settings = copy.deepcopy(settings())
    deployment_settings.pop("shape", None)
    deployment_settings["familyInfo"].pop("says", None)
    router = deployment(deployment_settings).router_options
    assert (router["without_notes"], router["watch_only"]) == (False, False)
    deployment_settings["familyInfo"]["says"], deployment_settings["shape"] = "none", "watch"
    router = deployment(deployment_settings).router_options
    assert (router["without_notes"], router["watch_only"]) == (True, True)
