"""Routers that settle things among themselves on a disk that fails for a while: they serve, forget nothing and count again."""

import sqlite3
import subprocess
import sys
import time

import pytest
from helpers import until
from test_fleet_store import register

from fieldspur.fleet.register_store import FILE, Store, StoreFailed

TORN = """
import os, sqlite3, sys
base = sqlite3.connect(sys.argv[1], isolation_level=None)
base.execute("pragma cache_size = 1")
base.execute("begin immediate")
base.execute("update register set body = body || ?", ("x" * 400_000,))
os.kill(os.getpid(), 9)
"""


def torn(path):
    """A kill in the middle of a write: the file holds a part of it, and the journal beside it what was there before."""
    subprocess.run([sys.executable, "-c", TORN, str(path)])
    assert path.with_name(FILE + "-journal").stat().st_size > 512


def served(service):
    client = service.client()
    client.ask(1)
    return client.get()[2] == 79


def test_routers_that_start_on_a_failing_disk_serve_and_count_again_with_what_they_kept(routers):
    """Seen from outside: a disk that failed for 2 s in 6 while seven of ten routers were killed and came back left a router down. sqlite
    rolls back what a kill left half written before it reads; where it can't, the start took its error for a folder that can't be used, and
    ended with code 2 ("fleet.folder: ...fleet.sqlite3: disk I/O error"). Now it serves, and is a member once it has read that."""
    fleet = routers(3, disk=True, failing=True)
    fleet.found_fleet()
    promised = max(fleet.published_line(n)["register"]["promised"] for n in range(3))
    for n in range(3):
        fleet.kill(n)
        torn(fleet.folder / f"r{n}" / FILE)
        fleet.shims[n].rate("disk", 1000)
    for n in range(3):
        fleet.restart(n)
    assert all(served(fleet.services[n]) for n in range(3))
    assert all(fleet.shims[n].fired()["disk"] for n in range(3))
    assert not any(fleet.published_line(n) for n in range(3))  # what it may have promised is not known
    for n in range(3):
        fleet.shims[n].rate("disk", 0)
    until(lambda: all(fleet.published_line(n) for n in range(3)), "members that remember")
    assert [fleet.published_line(n)["register"]["life"] for n in range(3)] == [1, 1, 1]
    fleet.wait_for_coordinator()
    assert max(fleet.published_line(n)["register"]["promised"] for n in range(3)) > promised
    assert not any("store_spoilt" in fleet.services[n].lines() for n in range(3))


def test_a_router_that_starts_for_the_first_time_on_a_failing_disk_serves_and_is_there_once_it_works(routers):
    fleet = routers(3, disk=True, failing=True)
    until(lambda: all(fleet.published_line(n) for n in range(3)))
    fleet.kill(0)
    for path in (fleet.folder / "r0").glob(FILE + "*"):
        path.unlink()
    fleet.shims[0].rate("disk", 1000)
    fleet.restart(0)
    assert served(fleet.services[0])
    fleet.shims[0].rate("disk", 0)
    nonce = until(lambda: fleet.published_line(0))["register"]["nonce"]
    until(
        lambda: all(fleet.published_line(n)["register"]["seen"][0][0] == nonce for n in (1, 2))
    )  # an operator's word is for the processes heard
    fleet.found_fleet(1)


def test_a_first_write_that_fails_after_a_restart_does_not_bring_the_process_before_back(routers):
    """Found by reading, and seen in all three members' lines: while disks failed they published the number (nonce) of the process before.
    `Transport.keep` fell back to the register as it was read from the disk, with that one's ballot and proposal, under which others may still
    count it as who acts. Now it falls back to the register as this process took it up (`agree.resume`)."""
    fleet = routers(3, disk=True, failing=True)
    fleet.found_fleet()
    before = [fleet.published_line(n)["register"]["nonce"] for n in range(3)]
    for n in range(3):
        fleet.kill(n)
        fleet.shims[n].rate("disk", 1000)
    for n in range(3):
        fleet.restart(n)
    assert all(served(fleet.services[n]) for n in range(3))
    time.sleep(1.0)
    said = [fleet.published_line(n) for n in range(3)]
    assert not any(one and one["register"]["nonce"] in before for one in said)
    assert not any(one and one["register"]["asked"][0] for one in said)


def test_what_can_t_be_read_now_is_neither_spoilt_nor_forgotten(tmp_path):
    store = Store(tmp_path, "valley", 1, 3)
    store.keep(register(3))

    class Failing:
        def execute(self, *about):
            raise sqlite3.OperationalError("disk I/O error")

        def close(self):
            pass

    base, store.base = store.base, Failing()
    with pytest.raises(StoreFailed):
        store.load()
    store.base = base
    assert store.load() == register(3) and not list(tmp_path.glob("*.spoilt"))
