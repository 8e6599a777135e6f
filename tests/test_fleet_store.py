"""What a member promised is on disk before it is said: crashes at any step, a full disk, a spoilt file."""

import json
import os
import signal
import sqlite3
import subprocess
import sys
import time

import pytest
from test_fleet import founded

from fieldspur.fleet import consensus, register_codec
from fieldspur.fleet.register_store import FILE, Store, StoreFailed


def register(round_=3, value=("out", "c1")):
    state, _ = founded(3)
    said = consensus.StampedValue((round_, 1, 0), value)
    return state[1]._replace(promised=(round_, 1), asked=(round_, 1), accepted=said, said=said)


def test_a_register_is_the_same_after_json_and_a_later_version_s_keys_are_passed_over():
    raw = json.loads(json.dumps(register_codec.encode_register(register()))) | {"later": 1}
    assert register_codec.decode_register(raw, 3) == register()


@pytest.mark.parametrize(
    "change, said",
    [
        ({"lives": [1, 1]}, "lives: a list of 3"),
        ({"member": 3}, "member: below 3"),
        ({"life": -1}, "life: a whole number"),
        ({"life": True}, "life"),
        ({"nonce": 0}, "nonce"),
        ({"seen": [[1, 0]] * 2}, "seen: a list"),
        ({"accepted": [1]}, "accepted"),
        ({"promised": [1 << 63, 0]}, r"promised\[0\]"),
        ({"founding": [1]}, "founding"),
        ({"said": [[0, -2, 0], None]}, "said.mark"),
    ],
)
def test_what_is_no_register_is_named(change, said):
    with pytest.raises(register_codec.BadLine, match=said):
        register_codec.decode_register(json.loads(json.dumps(register_codec.encode_register(register()))) | change, 3)
    with pytest.raises(register_codec.BadLine):
        register_codec.decode_register([], 3)


def test_what_was_kept_is_there_after_a_restart_and_asks_for_a_ballot_of_its_own_anew(tmp_path):
    first = Store(tmp_path, "valley", 1, 3)
    assert first.load() is None
    first.keep(register(2))
    first.keep(register(3))
    first.close()
    kept = Store(tmp_path, "valley", 1, 3).load()
    assert kept == register(3)
    assert Store(tmp_path, "other", 1, 3).load() is None and Store(tmp_path, "valley", 2, 3).load() is None
    again = consensus.resume(kept, 900)
    assert again.life == kept.life and again.accepted == kept.accepted and again.promised == kept.promised
    assert not consensus.leads(again, [None, again, None]) and consensus.ask(again).asked > kept.asked


WRITER = """
import sys
sys.path[:0] = sys.argv[3:]
from test_fleet_store import register
from fieldspur.fleet.register_store import Store
store = Store(sys.argv[1], "valley", 1, 3)
for n in range(1, 100000):
    store.keep(register(n, "x" * int(sys.argv[2])))
    print(n, flush=True)
"""


def test_a_process_killed_at_any_step_leaves_what_it_said_last_or_the_one_after(tmp_path):
    here = os.path.dirname(__file__)
    for run, wait in enumerate((0.0, 0.001, 0.003, 0.007, 0.011, 0.02)):
        folder = tmp_path / str(run)
        folder.mkdir()
        process = subprocess.Popen(
            [sys.executable, "-c", WRITER, str(folder), "20000", here, os.path.dirname(here)], stdout=subprocess.PIPE
        )
        process.stdout.readline()
        time.sleep(wait)
        process.send_signal(signal.SIGKILL)
        said = int((process.stdout.read().split() or [1])[-1])
        process.wait()
        kept = Store(folder, "valley", 1, 3).load()
        assert kept.promised[0] in (said, said + 1) and kept.accepted.value == "x" * 20000


def test_a_full_disk_keeps_what_was_before_and_says_so(tmp_path):
    store = Store(tmp_path, "valley", 1, 3)
    store.keep(register(2))
    pages = store.base.execute("pragma page_count").fetchone()[0]
    store.base.execute(f"pragma max_page_count = {pages}")
    with pytest.raises(StoreFailed, match="full"):
        store.keep(register(3, "x" * 100_000))
    assert store.load() == register(2)
    store.base.execute("pragma max_page_count = 100000")
    store.keep(register(4))
    assert store.load() == register(4)


def test_a_disk_that_turns_read_only_keeps_what_was_before(tmp_path):
    store = Store(tmp_path, "valley", 1, 3)
    store.keep(register(2))
    store.base.execute("pragma query_only = on")
    with pytest.raises(StoreFailed):
        store.keep(register(3))
    assert store.load() == register(2)


@pytest.mark.parametrize(
    "spoil",
    [
        lambda path: path.write_bytes(b"no database at all, " * 500),
        lambda path: path.write_bytes(path.read_bytes()[:5000]),
        lambda path: change(path, "update register set body = replace(body, 'c1', 'c2')"),
        lambda path: change(path, "update register set body = '{}', sum = 'x'"),
    ],
)
def test_a_spoilt_file_counts_as_forgotten_and_is_kept_for_a_look(tmp_path, spoil):
    store = Store(tmp_path, "valley", 1, 3)
    store.keep(register())
    store.close()
    spoil(tmp_path / FILE)
    store = Store(tmp_path, "valley", 1, 3)
    assert store.load() is None
    store.keep(register(7))
    assert store.load() == register(7)
    assert (tmp_path / FILE).with_suffix(".spoilt").exists()


def change(path, sql):
    base = sqlite3.connect(path)
    base.execute(sql)
    base.commit()
    base.close()


def test_a_folder_that_is_not_there_is_named(tmp_path):
    with pytest.raises(StoreFailed, match="nowhere"):
        Store(tmp_path / "nowhere", "valley", 1, 3)
