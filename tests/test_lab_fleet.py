"""The laboratory's rig of routers that settle things: a whole build keeps what is promised, planted faults are found on the sockets."""

import json
import random
import sys
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from fieldspur.fleet import consensus, register_codec, work_orders
from fieldspur.lab.checks import report
from fieldspur.lab.checks.rule_checker import Checker
from fieldspur.lab.checks.work_order_checker import Orders
from fieldspur.lab.emulate.event_loop import Loop
from fieldspur.lab.emulate.peer_links import Relay
from fieldspur.lab.runs import scenario, scenario_run
from fieldspur.operators import BadFile

SMALL = {
    "about": "two machines, who acts is killed",
    "seed": 4,
    "seconds": 14,
    "warm": 2,
    "routers": 3,
    "servers": {"caches": 6, "parents": 1, "rating": 12, "ramp_s": 1},
    "load": {
        "connections": 4,
        "classes": [
            {"rule": "pages", "rate": 60, "kb": 400, "objects": 60, "once": 0.0, "tries": 2},
            {"rule": "checkout", "rate": 6, "kb": 4},
        ],
    },
    "faults": [{"at": 5.2, "what": "router_kill", "who": "acting", "lasts": 1, "forget": True}],
    "fleet": {
        "lease_s": 1.0,
        "bounds": {"zone": 0.25, "all": 0.25, "both": 0.0},
        "work": [{"at": 4, "machine": "cache-1", "needs_s": 1.0}, {"at": 4, "machine": "cache-2", "needs_s": 1.0, "router": 1}],
    },
    "expect": {"completed": 0.8, "orders": 0.5},
}
SABOTAGE = {
    "it uses what is out": "from fieldspur.fleet.list_overlay import ServerListOverlay\n"
    "ServerListOverlay.row_for_router = lambda self, row: row\n"
    "ServerListOverlay.set_usage_check = lambda self, doubt: None\n",
    "free too early": "from fieldspur.fleet.coordinator import Coordinator\nCoordinator.members_with_open_hops = lambda *about: []\n",
    "no bounds": "from fieldspur.fleet.planner import MachinePool\nMachinePool.violated_bound = lambda *about: ''\n",
    "two documents": "from fieldspur.fleet.member import Member\nline = Member.line\n"
    "def other(self):\n    found = line(self)\n    value = found['register']['decided'][1]\n"
    "    if value and not self.coordinator.is_active:\n"
    "        found['register']['decided'][1] = (value[0], tuple((*o[:-1], 'mine') for o in value[1]), value[2])\n"
    "    return found\nMember.line = other\n",
}
# So that something is open at each cache at any moment, and no later than what routers take as usual: of 400 ms they turned a twentieth
# away, and a location that turns txns away lends no machine, so that orders waited to the end on a slow machine and nothing was found.
LATE = [{"at": 3, "what": "late", "who": "caches", "times": 200}]
FOUND = {
    "it uses what is out": "rule 3",
    "free too early": "was said to be free",
    "no bounds": "machines away",
    "two documents": "is not the same at member",
}


def small(**more):
    return scenario.parse(json.dumps(SMALL | more).encode())


@pytest.fixture(scope="module")
def runs():
    start = "import sys\nfrom fieldspur.__main__ import main\nsys.exit(main())\n"
    whole = scenario_run.run_scenario(small())
    with ThreadPoolExecutor(2) as pool:
        broken = dict(
            zip(
                SABOTAGE,
                pool.map(
                    lambda code: scenario_run.run_scenario(small(faults=LATE), command=[sys.executable, "-O", "-c", code + start]),
                    SABOTAGE.values(),
                ),
            )
        )
    return whole, broken


def test_a_whole_build_keeps_what_is_promised_while_who_acts_is_killed(runs):
    whole, _ = runs
    assert whole["passed"], whole["missed"]
    found = whole["fleet"]
    assert found["orders"] == {"done": 2} and len(found["acting"]) >= 2 and not found["broken"]
    assert found["length_s"] >= found["floor_s"] > 0 and found["documents"] > 8
    assert "fleet orders" in report.text(whole) and len(report.plots([whole])) == 6


@pytest.mark.parametrize("fault", SABOTAGE)
def test_a_broken_promise_that_was_planted_is_found(runs, fault):
    _, broken = runs
    assert any(FOUND[fault] in line for line in broken[fault]["missed"]), broken[fault]["missed"]


def line(number, *orders, member=0, ended=()):
    value = register_codec.freeze(work_orders.document_value(work_orders.WorkDocument(number, tuple(orders), ended)))
    register = consensus.blank_register(member, 3, 5)._replace(
        life=1, promised=(1, 0), decided=consensus.StampedValue((1, 0, number), value)
    )
    return json.loads(json.dumps({"register": register_codec.encode_register(register)}))


def order(machine, state, at):
    return work_orders.Order(machine, "n0", machine, 1.0, 0.0, (), state, at)


def test_the_judge_of_orders_by_itself():
    checker, held = Checker(2.0), []
    judge = Orders(checker, 3, lambda machine: held, 1)
    freed = []
    judge.on_free = lambda one: freed.append(one.machine)
    judge.line(0, line(1, order("c0", work_orders.GOING, 1)), 10, 100)
    assert checker.states["c0"] == ("up", 100)
    judge.line(1, line(2, order("c0", work_orders.OUT, 2), member=1), 10, 200)
    assert checker.states["c0"] == ("draining", 200) and judge.acting == [(200, 0)]
    judge.line(0, line(1, order("c0", work_orders.GOING, 1)), 10, 300)  # one that was passed over tells nothing new
    judge.line(0, line(3, order("c0", work_orders.FREE, 3)), 10, 400)
    assert not judge.broken and freed == ["c0"]
    judge.line(2, line(3, order("c0", work_orders.OUT, 3), member=2), 10, 500)
    assert judge.broken == ["document 3 is not the same at member 2"]
    held.append("txn")
    judge.line(0, line(4, order("c0", work_orders.BACK, 4), order("c1", work_orders.FREE, 4)), 10, 600)
    assert "c1 was said to be free with 1 open there" in judge.broken[1] and "2 machines away, 1 allowed" in judge.broken[2]
    judge.line(0, line(5, ended=(work_orders.Ended("c0", "c0", work_orders.DONE, "", 5),)), 10, 700)
    assert judge.counts() == {"done": 1, "free": 1}


def test_a_link_passes_lines_and_can_be_cut_stalled_delayed_and_lose_them():
    loop, heard = Loop(), []

    def serve(conn):
        conn.on_data = lambda held: (conn.write(b"one\ntwo\nthr"), held.clear())
        loop.later(40_000_000, lambda: conn.write(b"ee\n"))

    server = loop.listen(serve)
    relay = Relay(loop, ("127.0.0.1", server.getsockname()[1]), random.Random(1))

    def read():
        conn = loop.connect(("127.0.0.1", relay.port))
        conn.on_data = lambda held: (heard.append((time.monotonic(), bytes(held))), held.clear())
        conn.on_close = lambda: heard.append((time.monotonic(), None))
        conn.write(b"watch 0\n")

    def after(ms, what):
        loop.later(ms * 1_000_000, what)

    def stop():
        loop.stopped = True

    read()
    after(100, lambda: (relay.stalls(True), read()))
    after(200, lambda: (heard.append("stalled"), relay.stalls(False)))
    after(300, lambda: (heard.append("cut"), relay.cuts(True), read()))
    after(400, lambda: (heard.append("slow"), relay.cuts(False), setattr(relay, "delay", 150_000_000), read()))
    after(700, lambda: (heard.append("lossy"), setattr(relay, "delay", 0), setattr(relay, "lost", 1.0), read()))
    after(800, stop)
    loop.run()
    parts, last = {}, "first"
    for one in heard:
        if isinstance(one, str):
            last = one
        else:
            parts.setdefault(last, []).append(one[1])
    assert b"".join(parts["first"]) == b"one\ntwo\nthree\n" == b"".join(parts["stalled"])
    assert parts["cut"].count(None) == 3 and b"".join(p for p in parts["slow"] if p) == b"one\ntwo\nthree\n"
    assert "lossy" not in parts


@pytest.mark.parametrize(
    "change, said",
    [
        ({"routers": 1}, "routers: a fleet has 2 or more"),
        ({"fleet": {"work": [{"at": 99, "machine": "c", "needs_s": 1}]}}, "fleet.work[0]"),
        ({"fleet": {"way": "alone"}}, "fleet.way"),
        ({"fleet": {"works": []}}, "fleet"),
    ],
)
def test_a_scenario_of_a_fleet_that_can_t_be_is_named(change, said):
    with pytest.raises(BadFile) as wrong:
        small(**change)
    assert said in str(wrong.value)


DIES = """
import os, pathlib, sys, time
from fieldspur.__main__ import main
marks = pathlib.Path(os.environ["LB_CONFIG"]).parent
mark = marks / ("started-" + pathlib.Path(os.environ["LB_CONFIG"]).name)
{how}
sys.exit(main())
"""
NEVER_BACK = DIES.format(how="if mark.exists(): sys.exit(2)\nmark.touch()")
NEVER_THERE = DIES.format(how="if 'node-1' in str(mark): sys.exit(2)")


@pytest.mark.parametrize("code", [NEVER_BACK, NEVER_THERE], ids=["never_back", "never_there"])
def test_the_laboratory_gives_its_figures_whatever_the_routers_do(code):
    """Seen from outside: a play whose routers did not come back ended with code 1 and no figures."""
    found = scenario_run.run_scenario(small(seconds=8), command=[sys.executable, "-O", "-c", code])
    assert not found["passed"] and found["crashed"] and found["completed"] > 0


def test_a_fault_that_a_play_does_not_know_is_refused_by_its_key():
    with pytest.raises(BadFile, match=r"faults\[0\].what: watch_cut"):
        scenario_run.run_scenario(small(faults=[{"at": 3, "what": "watch_cut", "who": "0", "lasts": 1}]))


def test_a_disk_that_fails_is_played_and_costs_no_router():
    """Ten seconds of what was seen from outside: the disk fails for 2 s while all but one are killed and come back."""
    faults = [
        {"at": 4, "what": "disk_fails", "who": "0,1,2", "lasts": 2, "times": 1000},
        {"at": 4.3, "what": "router_kill", "who": "0,1", "lasts": 0.5},
    ]
    expect = {"completed": 0.8}
    found = scenario_run.run_scenario(small(seconds=10, faults=faults, expect=expect, fleet=SMALL["fleet"] | {"folder": True, "work": []}))
    assert found["passed"], found["missed"]
    assert found["calls_failed"]["disk"] > 0
