"""A member's promises are on disk before they are published: crashes at any step, a full disk, a corrupt file."""

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
from fieldspur.fleet.register_store import FILE_NAME, RegisterStore, StoreFailed


def sample_register(round_=3, value=("out", "c1")):
    """A register of member 1 that has proposed `value` under its own ballot of round `round_`."""
    registers, _ = founded(3)
    proposal = consensus.StampedValue((round_, 1, 0), value)
    return registers[1]._replace(promised=(round_, 1), asked=(round_, 1), accepted=proposal, said=proposal)


def test_a_register_is_unchanged_after_json_and_keys_of_a_later_version_are_ignored():
    raw = json.loads(json.dumps(register_codec.encode_register(sample_register()))) | {"later": 1}
    assert register_codec.decode_register(raw, 3) == sample_register()


@pytest.mark.parametrize(
    "change, message",
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
        ({"said": [[0, -2, 0], None]}, "said.stamp"),
    ],
)
def test_the_error_names_what_makes_a_register_invalid(change, message):
    with pytest.raises(register_codec.BadLine, match=message):
        register_codec.decode_register(json.loads(json.dumps(register_codec.encode_register(sample_register()))) | change, 3)
    with pytest.raises(register_codec.BadLine):
        register_codec.decode_register([], 3)


def test_a_saved_register_is_loaded_after_a_restart_and_needs_a_new_ballot(tmp_path):
    first = RegisterStore(tmp_path, "valley", 1, 3)
    assert first.load() is None
    first.save(sample_register(2))
    first.save(sample_register(3))
    first.close()
    loaded = RegisterStore(tmp_path, "valley", 1, 3).load()
    assert loaded == sample_register(3)
    assert RegisterStore(tmp_path, "other", 1, 3).load() is None and RegisterStore(tmp_path, "valley", 2, 3).load() is None
    resumed = consensus.resume(loaded, 900)
    assert resumed.life == loaded.life and resumed.accepted == loaded.accepted and resumed.promised == loaded.promised
    assert not consensus.leads(resumed, [None, resumed, None]) and consensus.request_ballot(resumed).asked > loaded.asked


WRITER = """
import sys
sys.path[:0] = sys.argv[3:]
from test_fleet_store import sample_register
from fieldspur.fleet.register_store import RegisterStore
store = RegisterStore(sys.argv[1], "valley", 1, 3)
for n in range(1, 100000):
    store.save(sample_register(n, "x" * int(sys.argv[2])))
    print(n, flush=True)
"""


def test_a_process_killed_at_any_step_leaves_the_register_it_reported_last_or_the_next(tmp_path):
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
        last_reported = int((process.stdout.read().split() or [1])[-1])
        process.wait()
        loaded = RegisterStore(folder, "valley", 1, 3).load()
        assert loaded.promised[0] in (last_reported, last_reported + 1) and loaded.accepted.value == "x" * 20000


def test_a_full_disk_raises_an_error_and_leaves_the_previous_register(tmp_path):
    store = RegisterStore(tmp_path, "valley", 1, 3)
    store.save(sample_register(2))
    pages = store.connection.execute("pragma page_count").fetchone()[0]
    store.connection.execute(f"pragma max_page_count = {pages}")
    with pytest.raises(StoreFailed, match="full"):
        store.save(sample_register(3, "x" * 100_000))
    assert store.load() == sample_register(2)
    store.connection.execute("pragma max_page_count = 100000")
    store.save(sample_register(4))
    assert store.load() == sample_register(4)


def test_a_disk_that_turns_read_only_leaves_the_previous_register(tmp_path):
    store = RegisterStore(tmp_path, "valley", 1, 3)
    store.save(sample_register(2))
    store.connection.execute("pragma query_only = on")
    with pytest.raises(StoreFailed):
        store.save(sample_register(3))
    assert store.load() == sample_register(2)


@pytest.mark.parametrize(
    "spoil",
    [
        lambda path: path.write_bytes(b"no database at all, " * 500),
        lambda path: path.write_bytes(path.read_bytes()[:5000]),
        lambda path: run_sql(path, "update register set body = replace(body, 'c1', 'c2')"),
        lambda path: run_sql(path, "update register set body = '{}', sum = 'x'"),
    ],
)
def test_a_corrupt_file_counts_as_lost_memory_and_is_set_aside(tmp_path, spoil):
    store = RegisterStore(tmp_path, "valley", 1, 3)
    store.save(sample_register())
    store.close()
    spoil(tmp_path / FILE_NAME)
    store = RegisterStore(tmp_path, "valley", 1, 3)
    assert store.load() is None
    store.save(sample_register(7))
    assert store.load() == sample_register(7)
    assert (tmp_path / FILE_NAME).with_suffix(".spoilt").exists()


def run_sql(path, sql):
    connection = sqlite3.connect(path)
    connection.execute(sql)
    connection.commit()
    connection.close()


def test_the_error_names_a_folder_that_does_not_exist(tmp_path):
    with pytest.raises(StoreFailed, match="nowhere"):
        RegisterStore(tmp_path / "nowhere", "valley", 1, 3)
