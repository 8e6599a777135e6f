"""Bounds on when the requests of a read arrived, from what the system reports and from the ticks of the sweep."""

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
    """The arrival times of a connection that has been idle for two seconds, its answer sender, and what the system reports: `core_wait` is
    how long the thread has waited for a core, `last_bytes_age` how long the last bytes have lain in the socket."""
    reported = SimpleNamespace(core_wait=0, last_bytes_age=0, core_wait_reads=0)

    def read_core_wait(thread_id):
        reported.core_wait_reads += 1
        return reported.core_wait

    monkeypatch.setattr(arrival_times, "core_wait", read_core_wait)
    monkeypatch.setattr(arrival_times, "time_since_last_data", lambda sock: reported.last_bytes_age)
    answer_sender = AnswerSender(1 << 20)
    arrivals = ArrivalTimes(socket.socket(), answer_sender)
    arrivals.note_read(10_000 * MS, False)
    arrivals.all_processed(unfinished=False)
    answer_sender.tick(12_000 * MS)
    return arrivals, answer_sender, reported


def test_the_only_request_of_a_read_is_dated_by_the_last_bytes_without_reading_the_core_wait(reader):
    arrivals, _, reported = reader
    reported.last_bytes_age, reported.core_wait = 300 * MS, 900 * MS
    arrivals.note_read(12_000 * MS, False)
    assert arrivals.request_time(followed=False) == 11_700 * MS
    arrivals.all_processed(unfinished=False)
    assert not reported.core_wait_reads


def test_all_but_the_last_request_are_dated_by_the_thread_s_wait_for_a_core(reader):
    arrivals, answer_sender, reported = reader
    reported.core_wait = 700 * MS
    arrivals.note_read(12_000 * MS, False)
    assert arrivals.request_time(followed=True) == 11_300 * MS and arrivals.request_time(followed=False) == 12_000 * MS
    arrivals.all_processed(unfinished=False)
    answer_sender.tick(12_200 * MS)
    arrivals.note_read(12_400 * MS, False)  # the wait that was counted already is not counted again
    assert arrivals.request_time(followed=True) == 12_400 * MS


def test_no_request_is_dated_before_the_read_that_emptied_the_socket(reader):
    arrivals, _, reported = reader
    reported.core_wait = 30_000 * MS
    arrivals.note_read(12_000 * MS, False)
    assert arrivals.request_time(followed=True) == 10_000 * MS
    arrivals.all_processed(unfinished=False)
    arrivals.note_read(12_020 * MS, False)
    assert arrivals.request_time(followed=True) == 12_020 * MS


@pytest.mark.parametrize("ticked_first", [True, False])
def test_after_a_stop_of_the_process_requests_are_dated_by_the_last_tick_whichever_thread_runs_first(reader, ticked_first):
    arrivals, answer_sender, _ = reader
    resumed_at = 12_000 * MS + TICK_LATE + 400 * MS
    if ticked_first:
        answer_sender.tick(resumed_at)
    arrivals.note_read(resumed_at + 5 * MS, False)
    assert arrivals.request_time(followed=True) == 12_000 * MS


def test_bytes_that_follow_a_late_read_are_dated_after_it(reader):
    arrivals, answer_sender, _ = reader
    answer_sender.tick(12_600 * MS)
    arrivals.note_read(12_610 * MS, True)
    arrivals.all_processed(unfinished=True)
    arrivals.note_read(12_611 * MS, True)
    assert arrivals.request_time(followed=False) == 12_000 * MS
    arrivals.all_processed(unfinished=False)
    arrivals.note_read(12_612 * MS, False)
    assert arrivals.request_time(followed=False) == 12_612 * MS
    arrivals.all_processed(unfinished=False)
    arrivals.note_read(12_613 * MS, False)
    assert arrivals.request_time(followed=True) == 12_613 * MS


def test_many_short_waits_for_a_core_do_not_count_as_one_long_wait(reader):
    arrivals, answer_sender, reported = reader
    for milliseconds in range(10 * READS_PER_CORE_WAIT_CHECK):
        answer_sender.tick((12_000 + milliseconds) * MS)
        reported.core_wait += MS // 10
        arrivals.note_read((12_000 + milliseconds) * MS, False)
        arrivals.all_processed(unfinished=False)
    answer_sender.last_tick = arrivals.read_at + 1000 * MS
    arrivals.note_read(answer_sender.last_tick, False)
    assert arrivals.read_at - arrivals.request_time(followed=True) <= READS_PER_CORE_WAIT_CHECK * MS // 10
    assert reported.core_wait_reads <= 12


def test_core_wait_reports_how_long_a_thread_has_waited_for_a_core():
    """Another process keeps the same core busy."""
    core, waits = min(os.sched_getaffinity(0)), []
    busy_process = subprocess.Popen(
        [sys.executable, "-c", f"import os\nos.sched_setaffinity(0, {{{core}}})\nprint(flush=True)\nwhile True: pass"], stdout=-1
    )
    busy_process.stdout.readline()

    def spin_on_core():
        os.sched_setaffinity(0, {core})
        wait_before, until = core_wait(threading.get_native_id()), time.monotonic() + 0.4
        while time.monotonic() < until:
            pass
        waits.append(core_wait(threading.get_native_id()) - wait_before)

    thread = threading.Thread(target=spin_on_core)
    thread.start()
    thread.join()
    busy_process.kill()
    busy_process.communicate()
    assert 50 * MS <= waits[0] <= 400 * MS
    assert core_wait(1 << 30) == 0  # no such thread


def test_what_comes_while_the_reader_waits_for_its_turn_may_have_come_since_the_read_before(reader):
    """Otherwise a server would get a deadline that a client no longer has whose request lay in the socket meanwhile."""
    arrivals, answer_sender, _ = reader
    arrivals.note_read(12_000 * MS, False)
    arrivals.reader_waits()
    arrivals.all_processed(unfinished=False)
    answer_sender.tick(12_200 * MS)
    arrivals.note_read(12_400 * MS, False)
    assert arrivals.request_time(followed=True) == 12_000 * MS
    arrivals.all_processed(unfinished=False)
    answer_sender.tick(12_400 * MS)
    arrivals.note_read(12_600 * MS, False)  # it did not wait after that read
    assert arrivals.request_time(followed=True) == 12_600 * MS


def test_the_first_read_of_a_connection_is_not_taken_for_one_after_a_wait_for_a_turn(monkeypatch):
    """Requests were dated by 1970 and rejected at once."""
    monkeypatch.setattr(arrival_times, "time_since_last_data", lambda sock: 0)
    arrivals = ArrivalTimes(socket.socket(), AnswerSender(1 << 20))
    arrivals.note_read(12_000 * MS, False)
    assert arrivals.request_time(followed=True) > 10_000 * MS
