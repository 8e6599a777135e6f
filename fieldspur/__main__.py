"""Runs one router process: `python -m fieldspur`, configured by LB_NAME, LB_LISTEN, LB_CONFIG and LB_OPERATORS."""

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
STACK_BYTES = 128 << 10
JSON_STACK_BYTES = 512 << 10  # for threads that parse JSON: the sender chooses how deeply it is nested
GC_OLDER_GENERATIONS = 50, 100  # thresholds: cycle detection is rare, as a txn leaves no cycles and a pass stops all threads
SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)  # SIGHUP reads the files again; the others end the program
CONNECTION_MEMORY_BYTES = 2 << 20  # share of the memory limit reserved for each connection to a server
CLIENT_MEMORY_BYTES = 24 << 10  # of a client's connection: its thread, its buffers and what the system takes for them
USABLE_MEMORY_SHARE = 0.9  # of the limit; the rest is for what the allocator can't use again
MIN_SHARES_SCALE = 0.125
FILE_RETRY_S = 0.05  # between two attempts to open a file
CLIENT_CLOSE_WAIT_S = 0.2  # time in which clients may close their connections by themselves
EXIT_MARGIN_S = 0.05  # left before SIGKILL for the last steps of the program
NEW_CLIENTS_WAIT_S = 0.7  # after SIGTERM clients may still connect for this long, by the protocol
KILL_DELAY_S = 3.0  # SIGKILL may come this long after that, or after the longest time limit if that is shorter
KILL_MARGIN_S = 0.1  # answers are finished this long before SIGKILL may come


def exit_after_crash(args) -> None:
    """Logs an uncaught exception of a thread and ends the process: a router that looks alive but serves nothing is worse than none."""
    log.critical(
        "crashed",
        exc_info=(args.exc_type, args.exc_value, args.exc_traceback),
        extra={"kv": {"thread": args.thread.name if args.thread else "", **logs.error_fields(args.exc_value, args.exc_traceback)}},
    )
    logs.flush()
    os._exit(1)


def shares_scale(node: Node, memory_shares) -> float:
    """The factor for the memory shares of the operators' file. It is 1, or less where the shares together would not fit beside the program
    itself and as many clients as the protocol allows, a third of the descriptors."""
    fixed_bytes = logs.peak_memory_mb() * (1 << 20) + node.sockets // 3 * CLIENT_MEMORY_BYTES
    wanted_bytes = node.memory * (memory_shares.answers + memory_shares.bodies + memory_shares.frames)
    return max(MIN_SHARES_SCALE, min(1.0, (node.memory * USABLE_MEMORY_SHARE - fixed_bytes) / wanted_bytes))


class Service:
    """The parts of one router, connected to each other, and their threads."""

    def __init__(self, node: Node, operator_settings: Operators = Operators()):
        site, self.node, self.operator_settings = node.site, node, operator_settings
        memory_shares = operator_settings.memory
        shared_memory = node.memory * shares_scale(node, memory_shares)
        self.answer_sender = AnswerSender(max_held_bytes=int(shared_memory * memory_shares.answers))
        self.open_txns = OpenTxns()
        # Half of the descriptors is for clients, who use a third at most; a quarter is for servers; the rest is a reserve.
        # A connection to a server takes up to 0.6 MB, so all of them together take less than a third of the memory.
        self.connection_pool = ConnectionPool(
            site, self.open_txns, self.answer_sender, min(node.sockets // 4, node.memory // CONNECTION_MEMORY_BYTES)
        )
        self.router_host = RouterHost(site, node.seed, self.open_txns, self.answer_sender, self.connection_pool)
        overlay = None
        if operator_settings.fleet.name:  # off by default; the modules of the fleet are imported only here
            if node.name not in operator_settings.fleet.members:
                raise BadFile(f"fleet.members: {node.name}, this router, is not among them")
            from fieldspur.fleet.list_overlay import ServerListOverlay

            overlay = ServerListOverlay(self.router_host)
        self.discovery = self.connection_pool.discovery = DiscoveryClient(node.discovery_address, overlay or self.router_host, node.seed)
        self.discovery.apply_initial_events(node.known_events, node.known_revision)
        self.client_listener = ClientListener(
            node.listen,
            node.sockets // 2,
            int(shared_memory * memory_shares.frames),
            site.idle_timeout,
            Admission(site, self.open_txns, self.router_host, int(shared_memory * memory_shares.bodies)),
            self.open_txns,
            self.router_host,
            self.answer_sender,
        )
        self.transport = None
        if overlay is not None:
            from fieldspur.fleet.transport import StoreFailed, Transport

            try:
                self.transport = Transport(operator_settings.fleet, node.name, node.seed, overlay)
            except StoreFailed as error:
                raise BadFile(f"fleet.folder: {error}") from None
            except OSError as error:
                raise BadFile(f"fleet.members.{node.name}: {error.strerror}") from None
        self.longest_pause = self.pause_started = 0.0
        self.longest_time_limit = max((rule.time_limit for rule in site.rules), default=0) / 1e9

    def start(self) -> None:
        """Starts all threads. Txns wait at the startup gate until the server list is current."""
        # The gate prevents routing by the file's server list before the discovery service has reported newer drains:
        # in the scenario herd+mass, restarted routers used a draining parent before they had read the discovery service.
        # The wait is bounded, so a router starts without a discovery service too. Txns that arrive meanwhile wait at the
        # gate, or are rejected while there is time to do so.
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
            threading.stack_size(JSON_STACK_BYTES if name == "board" else STACK_BYTES)
            threading.Thread(target=keep_running, args=(name, run), name=name, daemon=True).start()
        if self.transport is not None:
            threading.stack_size(JSON_STACK_BYTES)
            self.transport.start()
            threading.stack_size(STACK_BYTES)
        threading.Thread(target=keep_running, args=("open", lambda: self.open_gate(wait)), name="open", daemon=True).start()

    def open_gate(self, wait: float) -> None:
        """Opens the gate once the discovery service has sent its current state, or after `wait` seconds without it.

        This runs in a thread of its own because a signal may come meanwhile: if the shutdown starts first, the router never becomes
        ready, and SIGHUP reads the files again at once."""
        began = time.monotonic()
        caught_up = self.discovery.caught_up.wait(wait)
        if not caught_up:
            self.discovery.excused_line_at = self.discovery.last_line_at
        if self.transport is not None and not self.transport.state_known.wait(max(0.0, wait - (time.monotonic() - began))):
            log.warning(
                "fleet_unheard",
                extra={
                    "kv": {"why": "no member reported which machines are out for maintenance; the list of the discovery service is used"}
                },
            )
        self.router_host.post(self.router_host.open_gate, "current" if caught_up else "no word of the board")
        if self.transport is not None:
            self.transport.overlay.startup_gate_opened()
        if self.client_listener.set_ready():
            log.info("ready", extra={"kv": {"name": self.node.name, "listen": "%s:%d" % self.node.listen}})

    def garbage_collector_paused(self, phase: str, _info: dict) -> None:
        """Callback of the garbage collector: measures for how long it stops all threads."""
        if phase == "start":
            self.pause_started = time.monotonic()
        else:
            self.longest_pause = max(self.longest_pause, time.monotonic() - self.pause_started)

    def log_counts_regularly(self) -> None:
        """Body of the thread "counts"."""
        while True:
            time.sleep(self.operator_settings.counts.every_s)
            self.log_counts("counts")

    def log_counts(self, event: str) -> None:
        """Writes one log line with all counters and resets the maxima that cover the time since the last line."""
        gc_pause, self.longest_pause = self.longest_pause, 0.0
        max_lag, self.router_host.max_lag = self.router_host.max_lag, 0
        longest_wait, self.discovery.longest_wait = self.discovery.longest_wait, 0.0
        log.info(
            event,
            extra={
                "kv": {
                    **self.open_txns.counts,
                    "open": len(self.open_txns.by_id),
                    "clients": len(self.client_listener.clients),
                    "lanes": self.connection_pool.connection_count(),
                    "threads": threading.active_count(),
                    "lag_ms": max_lag // MS,
                    "pause_ms": int(gc_pause * 1000),
                    "board_ms": int(longest_wait * 1000),
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
                    **{f"shape_{kind}": count for kind, count in self.router_host.router.shape_differences.items()},
                }
            },
        )

    def counts_by_reason(self) -> dict[str, int]:
        """How often attempts ended, connections were refused or closed, and txns were given up, by reason."""
        give_up_counts, attempts = self.router_host.router.give_up_counts, self.router_host.attempts
        counts = {f"attempts_{result}": attempts[result] for result in RESULTS if attempts[result]}
        counts |= self.connection_pool.refusals.log_fields("refused") | self.client_listener.admission.refusals.log_fields("refused")
        # Iterates over the enum and not over the dict: the Router's thread may add keys to the dict meanwhile.
        counts |= {f"gave_up_{reason.value}": give_up_counts[reason] for reason in GiveUp if reason in give_up_counts}
        counts |= contained_errors.log_fields()
        return (
            counts
            | self.connection_pool.connection_ends.log_fields("connections")
            | self.client_listener.close_reasons.log_fields("closed")
        )

    def reload(self) -> None:
        """Reads the files again. A file that can't be used changes nothing. Settings that a running router can't change are only logged."""
        try:
            node, operator_settings = read_files(os.environ)
        except (ConfigError, BadFile) as error:
            return log.error("kept", extra={"kv": {"why": str(error)}})
        self.discovery.change_address(node.discovery_address, node.known_events)
        unchanged = differences(self.node, node)
        unchanged += [
            key for key in ("memory", "interpreter", "start") if getattr(operator_settings, key) != getattr(self.operator_settings, key)
        ]
        found_first = operator_settings.fleet.first
        if self.transport is not None:
            # Only on a change since the last read: an operator sets it now, it does not merely stand in the file since the start.
            if found_first and not self.operator_settings.fleet.first:
                self.transport.found_fleet()
            unchanged += [] if self.transport.reload(operator_settings.fleet) else ["fleet"]
        elif operator_settings.fleet != self.operator_settings.fleet:
            unchanged.append("fleet")
        self.operator_settings = replace(
            self.operator_settings,
            log=operator_settings.log,
            counts=operator_settings.counts,
            fleet=replace(self.operator_settings.fleet, first=found_first),
        )
        logs.configure(log_level(node, operator_settings), operator_settings.log.lines_a_second)
        log.log(
            logging.WARNING if unchanged else logging.INFO,
            "reloaded",
            extra={"kv": {"board": "%s:%d" % node.discovery_address, "unchanged": ",".join(unchanged) or "-"}},
        )

    def end(self) -> None:
        """Serves the requests that still arrive, answers all that were accepted, then returns.

        The program may exit once no connection is open on which a request could be read, and no answer is owed. A check of the open
        txns alone does not decide this, as a request may be read after that check."""
        began = time.monotonic()
        self.client_listener.announce_end()
        time.sleep(NEW_CLIENTS_WAIT_S)
        self.client_listener.stop_listening()
        kill_time = began + NEW_CLIENTS_WAIT_S + min(self.longest_time_limit, KILL_DELAY_S)
        answer_time = min(self.longest_time_limit, KILL_DELAY_S) - KILL_MARGIN_S
        self.client_listener.admission.latest_deadline = time.monotonic_ns() + MONOTONIC_TO_UNIX_NS + int(answer_time * 1e9)
        while (elapsed := time.monotonic() - began) < self.longest_time_limit + NEW_CLIENTS_WAIT_S:
            overdue = elapsed > NEW_CLIENTS_WAIT_S + answer_time
            if overdue and self.open_txns.by_id:
                self.router_host.post(self.router_host.end_open_txns)
            if may_exit(self.client_listener.shut_connections(overdue), len(self.open_txns.by_id), not self.answer_sender.all_delivered()):
                break
            time.sleep(0.01)
        client_close_ends = min(time.monotonic() + CLIENT_CLOSE_WAIT_S, kill_time - EXIT_MARGIN_S)
        while self.client_listener.clients and time.monotonic() < client_close_ends:
            time.sleep(0.01)


def read_operator_settings(environ) -> Operators:
    """The settings of the operators' file, or the defaults if LB_OPERATORS names none."""
    return read(environ["LB_OPERATORS"]) if environ.get("LB_OPERATORS") else Operators()


def read_files(environ) -> tuple[Node, Operators]:
    """Both files, checked. Opening a file is retried for a while if the system lacks resources for it. Raises ConfigError, BadFile."""
    return retry_while_exhausted(
        lambda: (read_node(environ), read_operator_settings(environ)), (UnreadableConfig, UnopenedFile), FILE_RETRY_S
    )


def log_level(node: Node, operator_settings: Operators) -> int:
    """The lowest level of lines to log; `debug` of the node's file takes precedence."""
    return logging.DEBUG if node.debug else getattr(logging, operator_settings.log.level.upper())


def main() -> int:
    """Runs the router until SIGTERM or SIGINT. Returns an exit code only if it can't start."""
    threading.stack_size(STACK_BYTES)
    threading.excepthook = exit_after_crash
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)  # in all threads; the main thread waits for these signals below
    try:
        node, operator_settings = read_files(os.environ)
        logs.configure(log_level(node, operator_settings), operator_settings.log.lines_a_second)
        sys.setswitchinterval(operator_settings.interpreter.switch_ms / 1000)
        service = Service(node, operator_settings)
    except (ConfigError, BadFile) as error:
        print(f"fieldspur: {error}", file=sys.stderr)
        return 2
    except OSError as error:
        print(f"fieldspur: listen: {error.strerror}", file=sys.stderr)
        return 1
    gc.freeze()
    gc.set_threshold(operator_settings.interpreter.collect_after, *GC_OLDER_GENERATIONS)
    gc.callbacks.append(service.garbage_collector_paused)
    service.start()
    # The wait has no timeout: a timeout that expires while the process is stopped would report a signal that nobody sent.
    while signal.sigwait(SIGNALS) == signal.SIGHUP:
        try:
            service.reload()
        except Exception:
            contained_errors.record("reload")
    log.info("ending", extra={"kv": {"open": len(service.open_txns.by_id)}})
    service.end()
    service.log_counts("ended")
    logging.shutdown()
    os._exit(0)  # daemon threads hold nothing that has to be saved or closed


if __name__ == "__main__":
    sys.exit(main())
