"""Bounds on when the requests of a read came, by what the system and the sweep tell."""

import os
import socket
import subprocess
import sys
import threading
import time
from types import SimpleNamespace

import pytest

from fieldspur.decide import MS
from fieldspur.net import arrival_times
from fieldspur.net.arrival_times import READS_PER_CORE_WAIT_CHECK, ArrivalTimes, core_wait
from fieldspur.net.client_writer import TICK_LATE, AnswerSender


@pytest.fixture
def reader(monkeypatch):
    """The arrivals of a connection that has rested for two seconds; `waited` is its thread's wait for a core, `lay` of its last bytes."""
    seen = SimpleNamespace(waited=0, lay=0, looks=0)

    def looked(thread):
        seen.looks += 1
        return seen.waited

    monkeypatch.setattr(arrival_times, "core_wait", looked)
    monkeypatch.setattr(arrival_times, "time_since_last_data", lambda sock: seen.lay)
    answer_sender = AnswerSender(1 << 20)
    found = ArrivalTimes(socket.socket(), answer_sender)
    found.read(10_000 * MS, False)
    found.all_processed(unfinished=False)
    answer_sender.tick(12_000 * MS)
    return found, answer_sender, seen


def test_a_request_alone_in_its_read_has_the_time_of_the_last_bytes_and_costs_no_look(reader):
    arrivals, _, seen = reader
    seen.lay, seen.waited = 300 * MS, 900 * MS
    arrivals.read(12_000 * MS, False)
    assert arrivals.of_request(followed=False) == 11_700 * MS
    arrivals.all_processed(unfinished=False)
    assert not seen.looks


def test_a_thread_that_waited_for_a_core_dates_all_but_the_last_request_by_that(reader):
    arrivals, answer_sender, seen = reader
    seen.waited = 700 * MS
    arrivals.read(12_000 * MS, False)
    assert arrivals.of_request(followed=True) == 11_300 * MS and arrivals.of_request(followed=False) == 12_000 * MS
    arrivals.all_processed(unfinished=False)
    answer_sender.tick(12_200 * MS)
    arrivals.read(12_400 * MS, False)  # the same wait is not counted again
    assert arrivals.of_request(followed=True) == 12_400 * MS


def test_no_request_is_dated_before_the_read_that_emptied_the_socket(reader):
    arrivals, _, seen = reader
    seen.waited = 30_000 * MS
    arrivals.read(12_000 * MS, False)
    assert arrivals.of_request(followed=True) == 10_000 * MS
    arrivals.all_processed(unfinished=False)
    arrivals.read(12_020 * MS, False)
    assert arrivals.of_request(followed=True) == 12_020 * MS


@pytest.mark.parametrize("ticked_first", [True, False])
def test_a_process_that_was_stopped_dates_by_the_sweep_whoever_goes_on_first(reader, ticked_first):
    arrivals, answer_sender, _ = reader
    goes_on = 12_000 * MS + TICK_LATE + 400 * MS
    if ticked_first:
        answer_sender.tick(goes_on)
    arrivals.read(goes_on + 5 * MS, False)
    assert arrivals.of_request(followed=True) == 12_000 * MS


def test_what_lies_behind_a_late_read_came_after_it_and_is_dated_so(reader):
    arrivals, answer_sender, _ = reader
    answer_sender.tick(12_600 * MS)
    arrivals.read(12_610 * MS, True)
    arrivals.all_processed(unfinished=True)
    arrivals.read(12_611 * MS, True)
    assert arrivals.of_request(followed=False) == 12_000 * MS
    arrivals.all_processed(unfinished=False)
    arrivals.read(12_612 * MS, False)
    assert arrivals.of_request(followed=False) == 12_612 * MS
    arrivals.all_processed(unfinished=False)
    arrivals.read(12_613 * MS, False)
    assert arrivals.of_request(followed=True) == 12_613 * MS


def test_many_short_waits_of_a_thread_are_not_taken_for_one_long_one(reader):
    arrivals, answer_sender, seen = reader
    for n in range(10 * READS_PER_CORE_WAIT_CHECK):
        answer_sender.tick((12_000 + n) * MS)
        seen.waited += MS // 10
        arrivals.read((12_000 + n) * MS, False)
        arrivals.all_processed(unfinished=False)
    answer_sender.last_tick = arrivals.read_at + 1000 * MS
    arrivals.read(answer_sender.last_tick, False)
    assert arrivals.read_at - arrivals.of_request(followed=True) <= READS_PER_CORE_WAIT_CHECK * MS // 10
    assert seen.looks <= 12


def test_the_system_tells_for_how_long_a_thread_has_waited_for_a_core():
    """Another process works on the same core."""
    core, told = min(os.sched_getaffinity(0)), []
    other = subprocess.Popen(
        [sys.executable, "-c", f"import os\nos.sched_setaffinity(0, {{{core}}})\nprint(flush=True)\nwhile True: pass"], stdout=-1
    )
    other.stdout.readline()

    def works():
        os.sched_setaffinity(0, {core})
        before, until = core_wait(threading.get_native_id()), time.monotonic() + 0.4
        while time.monotonic() < until:
            pass
        told.append(core_wait(threading.get_native_id()) - before)

    thread = threading.Thread(target=works)
    thread.start()
    thread.join()
    other.kill()
    other.communicate()
    assert 50 * MS <= told[0] <= 400 * MS
    assert core_wait(1 << 30) == 0  # no such thread
