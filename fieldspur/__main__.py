"""One real router: `python -m fieldspur`, told by LB_NAME, LB_LISTEN, LB_CONFIG and LB_OPERATORS."""

from __future__ import annotations

import gc
import logging
import os
import signal
import sys
import threading
import time

from fieldspur.host import RESULTS
from fieldspur.net import invariants, logs
from fieldspur.net.admission import Admission
from fieldspur.net.client_listener import ClientListener
from fieldspur.net.client_writer import AnswerSender
from fieldspur.net.connection_pool import ConnectionPool
from fieldspur.net.discovery import DiscoveryClient
from fieldspur.net.invariants import contained_errors, keep_running, retry_while_exhausted
from fieldspur.net.nonblocking import MONOTONIC_TO_UNIX_NS
from fieldspur.net.open_txns import OpenTxns
from fieldspur.net.router_host import RouterHost
from fieldspur.operators import BadFile, Operators, UnopenedFile, read
from fieldspur.permissions import GiveUp, StartupGate, may_exit
from fieldspur.record import replace
from fieldspur.site import MS, ConfigError, Node, UnreadableConfig, differences, read_node

log = logging.getLogger("fieldspur.main")
STACK, DEEP_STACK = 128 << 10, 512 << 10  # DEEP: of what parses JSON, whose nesting the sender chooses
GARBAGE = 50, 100  # looks for cycles are rare: a txn leaves none behind, and a look holds up all threads
SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)  # the last one: the file is read again
LANE_MEMORY = 2 << 20  # bytes of the limit for each connection to a server
FILE_PAUSE = 0.05  # seconds between two tries to open a file
PARTING = 0.2  # seconds in which clients may close by themselves
LAST_MOMENT = 0.05  # before the kill, for what a program does last
STILL_COMING = 0.7  # seconds after SIGTERM for which clients still come, by the protocol
KILLED_AFTER, BEFORE_IT = 3.0, 0.1  # so much later, or the longest time limit if that is less, SIGKILL may come; margin


def exit_after_crash(args) -> None:
    """A router that looks alive and serves nothing is worse than none."""
    log.critical(
        "crashed",
        exc_info=(args.exc_type, args.exc_value, args.exc_traceback),
        extra={"kv": {"thread": args.thread.name if args.thread else "", **logs.error_fields(args.exc_value, args.exc_traceback)}},
    )
    os._exit(1)


class Service:
    """The stages, wired up, and their threads."""

    def __init__(self, node: Node, operator_settings: Operators = Operators()):
        site, self.node, self.operator_settings = node.site, node, operator_settings
        share = operator_settings.memory
        self.answer_sender = AnswerSender(max_held_bytes=int(node.memory * share.answers))
        self.open_txns = OpenTxns()
        # Descriptors: half for clients, who hold a third at most, a quarter for servers, the rest in reserve. A
        # connection to a server takes up to 0.6 MB, as measured: together they get under a third of the memory.
        self.connection_pool = ConnectionPool(site, self.open_txns, self.answer_sender, min(node.sockets // 4, node.memory // LANE_MEMORY))
        self.router_host = RouterHost(site, node.seed, self.open_txns, self.answer_sender, self.connection_pool)
        overlay = None
        if operator_settings.fleet.name:  # off by default; only then is any of it imported
            if node.name not in operator_settings.fleet.members:
                raise BadFile(f"fleet.members: {node.name}, this router, is not among them")
            from fieldspur.fleet.list_overlay import ServerListOverlay

            overlay = ServerListOverlay(self.router_host)
        self.discovery = self.connection_pool.discovery = DiscoveryClient(node.discovery_address, overlay or self.router_host, node.seed)
        self.discovery.apply_initial_events(node.known_events, node.known_revision)
        self.client_listener = ClientListener(
            node.listen,
            node.sockets // 2,
            int(node.memory * share.frames),
            site.idle_timeout,
            Admission(site, self.open_txns, self.router_host, int(node.memory * share.bodies)),
            self.open_txns,
            self.router_host,
            self.answer_sender,
        )
        self.transport = None
        if overlay is not None:
            from fieldspur.fleet.transport import StoreFailed, Transport

            try:
                self.transport = Transport(operator_settings.fleet, node.name, node.seed, overlay)
            except StoreFailed as wrong:
                raise BadFile(f"fleet.folder: {wrong}") from None
            except OSError as wrong:
                raise BadFile(f"fleet.members.{node.name}: {wrong.strerror}") from None
        self.longest_pause = self.pause_started = 0.0
        self.longest_time_limit = max((rule.time_limit for rule in site.rules), default=0) / 1e9

    def start(self) -> None:
        # Guards against routing on the file's list while the board holds drains that it lacks: found on herd+mass,
        # where restarted routers named a draining parent before they had asked the board. Bounded, so a router without
        # a board starts; txns that come meanwhile wait at the gate, or are turned away in time.
        wait = self.operator_settings.start.board_wait_s
        self.router_host.gate = StartupGate(
            time.monotonic_ns() + MONOTONIC_TO_UNIX_NS, int(wait * 1e9), self.operator_settings.start.most_waiting
        )
        for name, run in (
            ("board", self.discovery.run),
            ("route", self.router_host.run),
            ("takein", self.client_listener.run),
            ("watch", self.client_listener.run_sweep),
            ("counts", self.log_counts_regularly),
        ):
            threading.stack_size(DEEP_STACK if name == "board" else STACK)
            threading.Thread(target=keep_running, args=(name, run), name=name, daemon=True).start()
        if self.transport is not None:
            threading.stack_size(DEEP_STACK)
            self.transport.start()
            threading.stack_size(STACK)
        threading.Thread(target=keep_running, args=("open", lambda: self.open_gate(wait)), name="open", daemon=True).start()

    def open_gate(self, wait: float) -> None:
        """Once the board has told what it holds, or has said nothing for `wait` seconds, the gate opens. A thread of its own, for a
        signal may come meanwhile: an end that began first leaves the router not ready, and files are read again at once."""
        began = time.monotonic()
        told = self.discovery.caught_up.wait(wait)
        if not told:
            self.discovery.excused_line_at = self.discovery.last_line_at
        if self.transport is not None and not self.transport.state_known.wait(max(0.0, wait - (time.monotonic() - began))):
            log.warning("fleet_unheard", extra={"kv": {"why": "no member told what is out for work; the board's list stands"}})
        self.router_host.post(self.router_host.open_gate, "current" if told else "no word of the board")
        if self.transport is not None:
            self.transport.overlay.startup_gate_opened()
        if self.client_listener.set_ready():
            log.info("ready", extra={"kv": {"name": self.node.name, "listen": "%s:%d" % self.node.listen}})

    def garbage_collector_paused(self, phase: str, _about: dict) -> None:
        """What the collector of garbage holds up."""
        if phase == "start":
            self.pause_started = time.monotonic()
        else:
            self.longest_pause = max(self.longest_pause, time.monotonic() - self.pause_started)

    def log_counts_regularly(self) -> None:
        while True:
            time.sleep(self.operator_settings.counts.every_s)
            self.log_counts("counts")

    def log_counts(self, event: str) -> None:
        pause, self.longest_pause = self.longest_pause, 0.0
        lag, self.router_host.max_lag = self.router_host.max_lag, 0
        waited, self.discovery.longest_wait = self.discovery.longest_wait, 0.0
        log.info(
            event,
            extra={
                "kv": {
                    **self.open_txns.counts,
                    "open": len(self.open_txns.by_id),
                    "clients": len(self.client_listener.clients),
                    "lanes": self.connection_pool.connection_count(),
                    "threads": threading.active_count(),
                    "lag_ms": lag // MS,
                    "pause_ms": int(pause * 1000),
                    "board_ms": int(waited * 1000),
                    "held": self.answer_sender.held_bytes,
                    "too_much": self.answer_sender.memory_refusals,
                    "cpu": time.process_time(),
                    "system": os.times().system,
                    "peak_mb": logs.peak_memory_mb(),
                    "list_changes": self.discovery.list_changes,
                    "purges": self.discovery.purges,
                    "rev": self.discovery.last_number,
                    "broken": sum(invariants.violation_counts.values()),
                    **self.counts_by_reason(),
                    **{f"shape_{kind}": n for kind, n in self.router_host.router.shape_differences.items()},
                }
            },
        )

    def counts_by_reason(self) -> dict[str, int]:
        """How often something ended, was refused, given up or closed, by reason."""
        gave_up, attempts = self.router_host.router.give_up_counts, self.router_host.attempts
        counts = {f"attempts_{result}": attempts[result] for result in RESULTS if attempts[result]}
        counts |= self.connection_pool.refusals.log_fields("refused") | self.client_listener.admission.refusals.log_fields("refused")
        # Over the enum, not the dict: the Router's thread adds to that meanwhile.
        counts |= {f"gave_up_{why.value}": gave_up[why] for why in GiveUp if why in gave_up}
        counts |= contained_errors.log_fields()
        return (
            counts
            | self.connection_pool.connection_ends.log_fields("connections")
            | self.client_listener.close_reasons.log_fields("closed")
        )

    def reload(self) -> None:
        """Read the files again. One that can't be used changes nothing, nor does what a running router keeps."""
        try:
            node, operator_settings = read_files(os.environ)
        except (ConfigError, BadFile) as bad:
            return log.error("kept", extra={"kv": {"why": str(bad)}})
        self.discovery.change_address(node.discovery_address, node.known_events)
        kept = differences(self.node, node)
        kept += [
            key for key in ("memory", "interpreter", "start") if getattr(operator_settings, key) != getattr(self.operator_settings, key)
        ]
        first = operator_settings.fleet.first
        if self.transport is not None:
            if first and not self.operator_settings.fleet.first:  # an operator's word, not one left in the file
                self.transport.found_fleet()
            kept += [] if self.transport.reload(operator_settings.fleet) else ["fleet"]
        elif operator_settings.fleet != self.operator_settings.fleet:
            kept.append("fleet")
        self.operator_settings = replace(
            self.operator_settings,
            log=operator_settings.log,
            counts=operator_settings.counts,
            fleet=replace(self.operator_settings.fleet, first=first),
        )
        logs.configure(level_of(node, operator_settings), operator_settings.log.lines_a_second)
        log.log(
            logging.WARNING if kept else logging.INFO,
            "reloaded",
            extra={"kv": {"board": "%s:%d" % node.discovery_address, "unchanged": ",".join(kept) or "-"}},
        )

    def end(self) -> None:
        """Serve what still comes, answer all that was taken, then stop: once no connection is left open on which something could be
        taken, and nothing is owed. No look at what is open decides that, for a request may be read after it."""
        began = time.monotonic()
        self.client_listener.announce_end()
        time.sleep(STILL_COMING)
        self.client_listener.stop_listening()
        killed_at = began + STILL_COMING + min(self.longest_time_limit, KILLED_AFTER)
        left = min(self.longest_time_limit, KILLED_AFTER) - BEFORE_IT
        self.client_listener.admission.latest_deadline = time.monotonic_ns() + MONOTONIC_TO_UNIX_NS + int(left * 1e9)
        while (took := time.monotonic() - began) < self.longest_time_limit + STILL_COMING:
            late = took > STILL_COMING + left
            if late and self.open_txns.by_id:
                self.router_host.post(self.router_host.end_open_txns)
            if may_exit(self.client_listener.shut_connections(late), len(self.open_txns.by_id), not self.answer_sender.all_delivered()):
                break
            time.sleep(0.01)
        parting_ends = min(time.monotonic() + PARTING, killed_at - LAST_MOMENT)
        while self.client_listener.clients and time.monotonic() < parting_ends:
            time.sleep(0.01)


def parse_requests(environ) -> Operators:
    """What the operators' file sets; without one, all as it is by default."""
    return read(environ["LB_OPERATORS"]) if environ.get("LB_OPERATORS") else Operators()


def read_files(environ) -> tuple[Node, Operators]:
    """Both files, checked. Where the system has no room to open one now, that is tried again for a while. Raises ConfigError, BadFile."""
    return retry_while_exhausted(lambda: (read_node(environ), parse_requests(environ)), (UnreadableConfig, UnopenedFile), FILE_PAUSE)


def level_of(node: Node, operator_settings: Operators) -> int:
    return logging.DEBUG if node.debug else getattr(logging, operator_settings.log.level.upper())


def main() -> int:
    threading.stack_size(STACK)
    threading.excepthook = exit_after_crash
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)  # in all threads; the main one waits for them
    try:
        node, operator_settings = read_files(os.environ)
        logs.configure(level_of(node, operator_settings), operator_settings.log.lines_a_second)
        sys.setswitchinterval(operator_settings.interpreter.switch_ms / 1000)
        service = Service(node, operator_settings)
    except (ConfigError, BadFile) as bad:
        print(f"fieldspur: {bad}", file=sys.stderr)
        return 2
    except OSError as wrong:
        print(f"fieldspur: listen: {wrong.strerror}", file=sys.stderr)
        return 1
    gc.freeze()
    gc.set_threshold(operator_settings.interpreter.collect_after, *GARBAGE)
    gc.callbacks.append(service.garbage_collector_paused)
    service.start()
    # Without a time limit: one that passes while the process is stopped makes up a signal that nobody sent.
    while signal.sigwait(SIGNALS) == signal.SIGHUP:
        try:
            service.reload()
        except Exception:
            contained_errors.record("reload")
    log.info("ending", extra={"kv": {"open": len(service.open_txns.by_id)}})
    service.end()
    service.log_counts("ended")
    logging.shutdown()
    os._exit(0)  # daemon threads hold nothing that needs care


if __name__ == "__main__":
    sys.exit(main())
