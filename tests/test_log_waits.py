"""No thread of the router waits for its log: not for other threads that log, and not for a reader of standard error."""

import fcntl
import logging
import os
import subprocess
import sys
import threading

from helpers import Cache, Service

from fieldspur.net import logs

SMALL_PIPE_BYTES = 4096


def test_a_thread_that_logs_does_not_wait_for_other_threads_that_log():
    """330 bad clients held the log's lock in turn; the thread with the Router's lock waited for it and nothing was decided for 30 s."""
    code = (
        "import logging, threading, time\n"
        "from fieldspur.net import logs\n"
        "logs.configure()\n"
        "handler = logging.getLogger('fieldspur').handlers[0]\n"
        "handler.acquire()\n"
        "thread = threading.Thread(target=lambda: logging.getLogger('fieldspur.route').info('decided'), daemon=True)\n"
        "thread.start()\n"
        "thread.join(5)\n"
        "print(thread.is_alive())\n"
        "handler.release()\n"
    )
    ended = subprocess.run([sys.executable, "-c", code], capture_output=True, timeout=30)
    assert ended.stdout.strip() == b"False" and b"event=decided" in ended.stderr


def test_requests_are_answered_while_nobody_reads_the_log(tmp_path, monkeypatch):
    """A full pipe at standard error stopped the thread that logged, which held the Router's lock: nothing was answered any more."""
    reader, writer = os.pipe()
    fcntl.fcntl(writer, fcntl.F_SETPIPE_SZ, SMALL_PIPE_BYTES)
    popen = subprocess.Popen
    monkeypatch.setattr(subprocess, "Popen", lambda command, stderr, **options: popen(command, stderr=writer, **options))
    service = Service(tmp_path, [Cache()], env={"LB_LOG": "debug"})  # several lines for each request
    try:
        client = service.client()
        for stream in range(1, 101):
            client.ask(stream)
            assert client.get()[:3] == (66, stream, 79)
        assert service.end() == 0
    finally:
        service.process.kill()
        service.process.wait()
        os.close(reader)
        os.close(writer)


def test_lines_beyond_the_bound_are_dropped_and_their_number_is_logged():
    """A log that can't be written must not fill the memory."""
    may_write, lines = threading.Event(), []

    class BlockedStream:
        def write(self, text):
            assert may_write.wait(20)
            lines.append(text)

        def flush(self):
            pass

    handler = logs.BackgroundHandler(BlockedStream())
    handler.setFormatter(logs.KeyValueFormatter())
    for number in range(logs.MAX_PENDING_RECORDS + 500):
        handler.handle(logging.makeLogRecord({"name": "fieldspur.test", "msg": f"line_{number}", "levelname": "INFO"}))
    assert len(handler.pending) <= logs.MAX_PENDING_RECORDS
    may_write.set()
    until_written(handler)
    dropped = int(lines[-1].rpartition("records=")[2])
    assert "event=log_full" in lines[-1] and len(lines) - 1 + dropped == logs.MAX_PENDING_RECORDS + 500


def until_written(handler):
    for _ in range(100):
        handler.flush()
        if not (handler.pending or handler.writing):
            return
