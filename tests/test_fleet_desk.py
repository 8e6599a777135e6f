"""The fleet commands of the command line, with running routers."""

import json
import os

import pytest
from click.testing import CliRunner
from helpers import until

from fieldspur.cli import main
from fieldspur.fleet import admin
from fieldspur.operators import BadFile


def call(*arguments, code=0):
    result = CliRunner().invoke(main, ["fleet", *map(str, arguments)])
    assert result.exit_code == code, result.output
    return result.output


def test_work_orders_are_added_shown_held_and_dropped_from_the_command_line(routers):
    fleet = routers(3, caches=3, bounds={"zone": 0.5, "all": 0.5})
    fleet.found_fleet()
    files = [fleet.folder / f"r{n}" / "operators.json" for n in range(3)]
    for n, path in enumerate(files):
        path.write_text(json.dumps(fleet.operators_file(n)))
    rows = json.loads(call("show", "--operators", files[0], "--json"))
    assert [row["counts"] for row in rows] == [True] * 3 and sum(row["acts"] for row in rows) == 1
    assert "nothing is asked for" in call("work", "show", "--operators", files[0])
    output = call("work", "add", "c1", "--needs", 300, "--operators", files[0])
    assert output.startswith(("c1 waiting", "c1 next", "c1 going", "c1 out"))
    assert "is asked for already, by r0" in call("work", "add", "c1", "--needs", 5, "--operators", files[1], code=1)
    assert "no such cache or parent" in call("work", "add", "c77", "--needs", 5, "--operators", files[1], code=1)
    until(lambda: "c1                  free" in call("work", "show", "--operators", files[2]))
    assert "waiting" in call("work", "add", "c2", "--needs", 300, "--operators", files[0])
    assert "held" in call("work", "hold", "c2", "--operators", files[0])
    assert "there" in call("work", "go", "c2", "--operators", files[1], code=1)
    assert "c2" in call("work", "go", "c2", "--operators", files[0])
    assert "c2 dropped" in call("work", "drop", "c2", "--operators", files[2])  # at another router than the one where it was requested
    assert call("work", "back", "c1", "--operators", files[1]).startswith(("c1 back", "c1 done"))
    until(lambda: "c1                  done" in call("work", "show", "--operators", files[2]))
    call("work", "add", "c1", "--needs", 5, "--operators", files[0])  # a new request for the same machine
    assert [row["machine"] for row in json.loads(files[0].read_text())["fleet"]["work"]] == ["c1"]
    fleet.kill(0)
    fleet.kill(1)
    assert "can't be reached" in call("show", "--operators", files[2], code=1)
    assert "no router on this machine" in call("work", "add", "c0", "--needs", 5, "--operators", files[0], code=1)
    assert "no majority has agreed on it" in call("work", "add", "c0", "--needs", 5, "--wait", 1, "--operators", files[2], code=1)


def test_a_follower_is_shown_leaves_and_joins_from_the_command_line(routers):
    fleet = routers(4, votes=["r0", "r1", "r2"])
    fleet.found_fleet()
    file = fleet.folder / "r0" / "operators.json"
    file.write_text(json.dumps(fleet.operators_file(0)))

    def follower_row():
        return json.loads(call("show", "--operators", file, "--json"))[3]

    until(lambda: follower_row()["counts"])
    assert follower_row()["votes"] is False and follower_row()["document"] is None and "r3" in call("show", "--operators", file)
    assert "r1 votes" in call("leave", "r1", "--operators", file, code=2)
    assert "has left" in call("leave", "r3", "--operators", file)
    until(lambda: not follower_row()["counts"])
    call("join", "r3", "--operators", file)
    until(lambda: follower_row()["counts"])


FLEET_FILE = {"fleet": {"name": "v", "members": {"a": "127.0.0.1:1 z", "b": "127.0.0.1:2 z"}}}


@pytest.mark.parametrize(
    "file, message", [({}, "fleet.name: missing"), ({"fleet": {"name": "v"}}, "fleet.members"), (None, "No such file")]
)
def test_a_file_without_a_fleet_is_reported(tmp_path, file, message):
    path = tmp_path / "operators.json"
    if file is not None:
        path.write_text(json.dumps(file))
    assert message in call("work", "show", "--operators", path, code=2)


def test_an_invalid_change_leaves_the_file_unchanged(tmp_path):
    path = tmp_path / "operators.json"
    path.write_text(json.dumps(FLEET_FILE))
    os.chmod(path, 0o640)
    content_before = path.read_bytes()
    with pytest.raises(BadFile, match="needs_s"):
        admin.change_operators_file(path, lambda rows: rows.append({"machine": "c1", "needs_s": -1}))
    assert path.read_bytes() == content_before and [entry.name for entry in tmp_path.iterdir()] == ["operators.json", "operators.json.lock"]
    admin.change_operators_file(path, lambda rows: rows.append({"machine": "c1", "needs_s": 3}))
    assert admin.read_operators_file(path)[1].work == [{"machine": "c1", "needs_s": 3}] and path.stat().st_mode & 0o777 == 0o640
