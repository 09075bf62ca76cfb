"""The command line: what each command prints, and its exit status."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from pathlib import Path

import pytest
from click.testing import CliRunner, Result

from tests.test_program import start_program
from violetstack import log
from violetstack.commands.main import main
from violetstack.rehearsal.stage import SETTINGS

GOOD = """\
class consulta {
  aim = 1.5s
  give_up = 7.5s
  effect = repeatable
}

class orden {
  aim = 2.5s
  give_up = 10s
  effect = once
}

pool near {
  members = cell == 0
  fallback = [far]
}

pool far {}

policy strict {
  deadline = 5s
  attempts = 3
}

route orders {
  when = class == orden and prompt < 8ktok
  pool = near
  policy = strict
}

route all {
  pool = far
}
"""


def run(*words: object, given: str | None = None) -> Result:
    return CliRunner().invoke(main, [str(word) for word in words], input=given)


@pytest.fixture
def good(tmp_path: Path) -> Path:
    path = tmp_path / "good.violet"
    path.write_text(GOOD)
    return path


def test_check_tells_by_its_status_what_it_found(good: Path, tmp_path: Path) -> None:
    assert (run("config", "check", good).exit_code, run("config", "check", good).output) == (
        0,
        "1 file(s): 0 error(s), 0 warning(s)\n",
    )
    doubtful = tmp_path / "doubtful.violet"
    broken = tmp_path / "broken.violet"
    doubtful.write_text(GOOD + "pool spare {}\n")
    broken.write_text(GOOD.replace("10s", "250"))
    assert run("config", "check", doubtful).exit_code == 1
    told = run("config", "check", "--format", "json", good, doubtful, broken)
    rows = json.loads(told.output)
    assert told.exit_code == 2 and [row["severity"] for row in rows] == ["warning", "error"]
    assert (rows[1]["line"], rows[1]["column"], rows[1]["fix"]) == (9, 13, "write the unit: 250ms?")
    assert run("config", "check", tmp_path / "nothing").exit_code == 2
    assert run("config", "check").exit_code == 2


def test_check_knows_the_settings_of_the_platform(good: Path, tmp_path: Path) -> None:
    node = tmp_path / "node.json"
    node.write_text(json.dumps({"settings": SETTINGS}))
    other = tmp_path / "other.violet"
    other.write_text("route r { when = class == ordne }\nroute all {}\n")
    assert run("config", "check", other).exit_code == 0
    told = run("config", "check", "--settings", node, other)
    assert told.exit_code == 2 and "did you mean 'orden'?" in told.output
    assert run("config", "check", "--settings", good, other).exit_code == 2


def test_fmt_writes_whole_files_or_none(good: Path, tmp_path: Path) -> None:
    ugly = tmp_path / "ugly.violet"
    ugly.write_text("# kept\n" + GOOD.replace("\n\n", "\n").replace("1.5s", "1500 ms").replace("  ", "\t"))
    ugly.chmod(0o640)
    assert run("config", "fmt", "--check", good).exit_code == 0
    assert run("config", "fmt", "--check", ugly, good).exit_code == 1
    assert run("config", "fmt", ugly).exit_code == 0
    assert ugly.read_text() == "# kept\n" + GOOD and ugly.stat().st_mode & 0o777 == 0o640
    assert run("config", "fmt", "-", given="pool  p{}").output == "pool p {}\n"
    ugly.write_text("pool {{")
    told = run("config", "fmt", ugly)
    assert told.exit_code == 2 and ugly.read_text() == "pool {{" and "ugly.violet:1:7" in told.output


def test_diff_and_explain(good: Path, tmp_path: Path) -> None:
    new = tmp_path / "new.violet"
    traffic = tmp_path / "log"
    new.write_text(GOOD.replace("8ktok", "6ktok"))
    row = {
        "event": "request",
        "class": "orden",
        "tenant": "",
        "model": "",
        "front": "chat",
        "prompt": 7000,
        "retry": False,
    }
    traffic.write_text(json.dumps(row) + "\n{}\n")
    assert (run("config", "diff", good, good).exit_code, run("config", "diff", good, good).output) == (0, "")
    told = run("config", "diff", "--traffic", traffic, good, new)
    assert told.exit_code == 1 and "of 1 requests" in told.output and ", 1 go elsewhere" in told.output
    assert "class == orden and prompt >= 6000 tok and prompt < 8000 tok" in told.output
    told = run("config", "explain", good, "--class", "orden", "--prompt", "9ktok")
    assert told.exit_code == 0
    assert told.output.splitlines()[0].endswith(
        "prompt is 9000, not prompt < 8000 tok (" + str(good) + ":26)"
    )
    assert "route all" in told.output and "pool far" in told.output
    told = run("config", "explain", good, "--class", "orden", "--prompt", "100")
    assert "then, while near has too few members, far" in told.output and "deadline 5000ms" in told.output
    told = run("config", "explain", good, "--class", "ordne")
    assert told.exit_code == 2 and "did you mean 'orden'?" in told.output
    assert run("config", "explain", good, "--class", "orden", "--prompt", "9GB").exit_code == 2


def test_convert_never_writes_over_a_file(tmp_path: Path) -> None:
    old = tmp_path / "chat.toml"
    out = tmp_path / "new.violet"
    old.write_text('listen = "127.0.0.1:8080"\nmodels = []\nkeys = []\n')
    assert run("config", "convert", old, "--out", out).exit_code == 0
    assert out.read_text() == 'listen chat {\n  address = "127.0.0.1:8080"\n}\n'
    assert run("config", "convert", old, "--out", out).exit_code == 2
    old.write_text("what = 1")
    told = run("config", "convert", old)
    assert told.exit_code == 2 and "what can't be carried over" in told.output


def test_a_demo_asks_one_question_and_tells_who_served_it() -> None:
    told = run("demo", "--once", "--port", 0)
    assert told.exit_code == 0, told.output
    assert "data: [DONE]" in told.output
    assert "served by route all, pool near: prefill-0 (read" in told.output
    log.quiet = False


def test_the_other_commands_say_what_they_take() -> None:
    for words in ((), ("serve",), ("rehearse",), ("demo",), ("config",), ("config", "fmt")):
        assert "Usage:" in run(*words, "--help").output
    told = run("rehearse", "nothing")
    assert told.exit_code == 2 and "no scenario named nothing" in told.output
    assert run("--version").exit_code == 0


def test_serve_takes_the_file_and_tells_its_warnings(good: Path, tmp_path: Path) -> None:
    good.write_text('listen platform { address = "127.0.0.1:0" }\npool spare {}\n' + GOOD)
    words = [sys.executable, "-m", "violetstack", "serve", str(good)]
    with subprocess.Popen(
        words, stdout=subprocess.PIPE, text=True, env={**os.environ, "NODE_CONFIG": ""}
    ) as program:
        assert program.stdout is not None
        rows = []
        for line in program.stdout:
            rows.append(json.loads(line))
            if rows[-1]["event"] == "started":
                program.terminate()
        assert program.wait(10) == 0
    assert (
        rows[0]["event"] == "config_warning" and "spare" in rows[0]["text"] and rows[0]["level"] == "warning"
    )
    good.write_text("lisen")
    done = subprocess.run(
        words, capture_output=True, text=True, env={**os.environ, "NODE_CONFIG": ""}, check=False
    )
    assert done.returncode == 2 and json.loads(done.stdout)["event"] == "config_invalid"


def test_the_plain_daemon_loads_no_parser_and_no_command_line(tmp_path: Path) -> None:
    """Guards its memory: 32 MB are all that some deployments give."""
    heavy = ("click", "lark", "structlog", "violetstack.routing", "violetstack.language")
    code = f"import sys, violetstack.__main__; print([m for m in {heavy} if m in sys.modules])"
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert done.stdout.strip() == "[]"
    with start_program(tmp_path, {"listen": "127.0.0.1:0", "seed": "ff", "settings": SETTINGS}) as program:
        assert program.stdout is not None
        for line in program.stdout:
            if json.loads(line)["event"] == "started":
                status = Path(f"/proc/{program.pid}/status").read_text()
                program.terminate()
                resident = int(status.split("VmRSS:")[1].split()[0])
                assert resident < 40 * 1024
        program.wait(10)


def test_a_terminal_gets_readable_lines() -> None:
    code = (
        "from violetstack import log; log.use_console_format(); "
        "log.log('pool_degraded', pool='near', members=1)"
    )
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert "pool_degraded" in done.stdout and "near" in done.stdout and "{" not in done.stdout
    assert log.EVENT_LEVELS["pool_degraded"] == "warning"


def test_lines_below_the_least_level_are_left_out(
    capfd: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    log.log("request", ms=5)
    monkeypatch.setattr(log, "minimum_level", log.LEVEL_ORDER["error"])
    log.log("pool_degraded")
    log.log("request_overdue")
    rows = [json.loads(line) for line in capfd.readouterr().out.splitlines()]
    assert [(r["event"], r["level"]) for r in rows] == [("request", "info"), ("request_overdue", "error")]
