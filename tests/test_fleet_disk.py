"""Fleet members whose disk fails for a while: they serve, lose no memory, and take part again once the disk works."""

import sqlite3
import subprocess
import sys
import time

import pytest
from helpers import until
from test_fleet_store import sample_register

from fieldspur.fleet.register_store import FILE_NAME, RegisterStore, StoreFailed

# Writes so much within a transaction that a part of it reaches the file, then kills itself.
INTERRUPTED_WRITE = """
import os, sqlite3, sys
base = sqlite3.connect(sys.argv[1], isolation_level=None)
base.execute("pragma cache_size = 1")
base.execute("begin immediate")
base.execute("update register set body = body || ?", ("x" * 400_000,))
os.kill(os.getpid(), 9)
"""


def interrupt_write(path):
    """Simulates a kill in the middle of a write: the file contains a part of it, and sqlite's journal the previous content."""
    subprocess.run([sys.executable, "-c", INTERRUPTED_WRITE, str(path)])
    assert path.with_name(FILE_NAME + "-journal").stat().st_size > 512


def serves(service):
    """Whether the router answers a txn."""
    client = service.client()
    client.ask(1)
    return client.get()[2] == 79


def test_routers_that_start_on_a_failing_disk_serve_and_take_part_again_with_their_memory(routers):
    """A disk that failed for 2 s in 6, while seven of ten routers were killed and restarted, left a router down. After a kill in the
    middle of a write sqlite has to roll back before it reads. While the disk fails it can't, and the start mistook this error for a
    folder that can't be used and ended with code 2 ("fleet.folder: ...fleet.sqlite3: disk I/O error"). The router must serve, and
    take part in the fleet once it has read its register."""
    fleet = routers(3, disk=True, fault_shims=True)
    fleet.found_fleet()
    promised = max(fleet.published_line(n)["register"]["promised"] for n in range(3))
    for n in range(3):
        fleet.kill(n)
        interrupt_write(fleet.folder / f"r{n}" / FILE_NAME)
        fleet.shims[n].rate("disk", 1000)
    for n in range(3):
        fleet.restart(n)
    assert all(serves(fleet.services[n]) for n in range(3))
    assert all(fleet.shims[n].fired()["disk"] for n in range(3))
    assert not any(fleet.published_line(n) for n in range(3))  # what the members may have promised is not known
    for n in range(3):
        fleet.shims[n].rate("disk", 0)
    until(lambda: all(fleet.published_line(n) for n in range(3)), "members that remember")
    assert [fleet.published_line(n)["register"]["life"] for n in range(3)] == [1, 1, 1]
    fleet.wait_for_coordinator()
    assert max(fleet.published_line(n)["register"]["promised"] for n in range(3)) > promised
    assert not any("store_spoilt" in fleet.services[n].lines() for n in range(3))


def test_a_router_that_starts_for_the_first_time_on_a_failing_disk_serves_and_joins_once_the_disk_works(routers):
    fleet = routers(3, disk=True, fault_shims=True)
    until(lambda: all(fleet.published_line(n) for n in range(3)))
    fleet.kill(0)
    for path in (fleet.folder / "r0").glob(FILE_NAME + "*"):
        path.unlink()
    fleet.shims[0].rate("disk", 1000)
    fleet.restart(0)
    assert serves(fleet.services[0])
    fleet.shims[0].rate("disk", 0)
    nonce = until(lambda: fleet.published_line(0))["register"]["nonce"]
    # The fleet is founded for the processes that the others have read.
    until(lambda: all(fleet.published_line(n)["register"]["seen"][0][0] == nonce for n in (1, 2)))
    fleet.found_fleet(1)


def test_a_first_write_that_fails_after_a_restart_does_not_publish_the_previous_process(routers):
    """While disks failed, all three members published the nonce of their previous processes. `Transport.save` fell back to the register
    as it was read from disk, with the ballot and proposal of the previous process, so others could still count that process as the
    coordinator. It must fall back to the register as this process resumed it (`consensus.resume`)."""
    fleet = routers(3, disk=True, fault_shims=True)
    fleet.found_fleet()
    previous_nonces = [fleet.published_line(n)["register"]["nonce"] for n in range(3)]
    for n in range(3):
        fleet.kill(n)
        fleet.shims[n].rate("disk", 1000)
    for n in range(3):
        fleet.restart(n)
    assert all(serves(fleet.services[n]) for n in range(3))
    time.sleep(1.0)
    lines = [fleet.published_line(n) for n in range(3)]
    assert not any(line and line["register"]["nonce"] in previous_nonces for line in lines)
    assert not any(line and line["register"]["asked"][0] for line in lines)


def test_a_file_that_can_t_be_read_now_counts_neither_as_corrupt_nor_as_lost(tmp_path):
    store = RegisterStore(tmp_path, "valley", 1, 3)
    store.save(sample_register(3))

    class FailingConnection:
        def execute(self, *about):
            raise sqlite3.OperationalError("disk I/O error")

        def close(self):
            pass

    connection, store.connection = store.connection, FailingConnection()
    with pytest.raises(StoreFailed):
        store.load()
    store.connection = connection
    assert store.load() == sample_register(3) and not list(tmp_path.glob("*.spoilt"))
