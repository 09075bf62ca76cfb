"""The command line: the output and the exit status of each command."""

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

VALID_TEXT = """\
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


def run(*arguments: object, stdin: str | None = None) -> Result:
    return CliRunner().invoke(main, [str(argument) for argument in arguments], input=stdin)


@pytest.fixture
def valid_file(tmp_path: Path) -> Path:
    path = tmp_path / "valid.violet"
    path.write_text(VALID_TEXT)
    return path


def test_check_exits_with_1_for_warnings_and_2_for_errors(valid_file: Path, tmp_path: Path) -> None:
    assert (run("config", "check", valid_file).exit_code, run("config", "check", valid_file).output) == (
        0,
        "1 file(s): 0 error(s), 0 warning(s)\n",
    )
    file_with_warning = tmp_path / "doubtful.violet"
    file_with_error = tmp_path / "broken.violet"
    file_with_warning.write_text(VALID_TEXT + "pool spare {}\n")
    file_with_error.write_text(VALID_TEXT.replace("10s", "250"))
    assert run("config", "check", file_with_warning).exit_code == 1
    result = run("config", "check", "--format", "json", valid_file, file_with_warning, file_with_error)
    rows = json.loads(result.output)
    assert result.exit_code == 2 and [row["severity"] for row in rows] == ["warning", "error"]
    assert (rows[1]["line"], rows[1]["column"], rows[1]["fix"]) == (9, 13, "write the unit: 250ms?")
    assert run("config", "check", tmp_path / "nothing").exit_code == 2
    assert run("config", "check").exit_code == 2


def test_check_with_settings_reports_names_that_the_settings_do_not_define(
    valid_file: Path, tmp_path: Path
) -> None:
    node = tmp_path / "node.json"
    node.write_text(json.dumps({"settings": SETTINGS}))
    other = tmp_path / "other.violet"
    other.write_text("route r { when = class == ordne }\nroute all {}\n")
    assert run("config", "check", other).exit_code == 0
    result = run("config", "check", "--settings", node, other)
    assert result.exit_code == 2 and "did you mean 'orden'?" in result.output
    assert run("config", "check", "--settings", valid_file, other).exit_code == 2


def test_fmt_rewrites_files_and_leaves_unparsable_ones_unchanged(valid_file: Path, tmp_path: Path) -> None:
    unformatted = tmp_path / "unformatted.violet"
    unformatted.write_text(
        "# kept\n" + VALID_TEXT.replace("\n\n", "\n").replace("1.5s", "1500 ms").replace("  ", "\t")
    )
    unformatted.chmod(0o640)
    assert run("config", "fmt", "--check", valid_file).exit_code == 0
    assert run("config", "fmt", "--check", unformatted, valid_file).exit_code == 1
    assert run("config", "fmt", unformatted).exit_code == 0
    assert unformatted.read_text() == "# kept\n" + VALID_TEXT and unformatted.stat().st_mode & 0o777 == 0o640
    assert run("config", "fmt", "-", stdin="pool  p{}").output == "pool p {}\n"
    unformatted.write_text("pool {{")
    result = run("config", "fmt", unformatted)
    assert (
        result.exit_code == 2
        and unformatted.read_text() == "pool {{"
        and "unformatted.violet:1:7" in result.output
    )


def test_diff_counts_rerouted_requests_and_explain_shows_the_route(valid_file: Path, tmp_path: Path) -> None:
    new = tmp_path / "new.violet"
    traffic = tmp_path / "log"
    new.write_text(VALID_TEXT.replace("8ktok", "6ktok"))
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
    assert (
        run("config", "diff", valid_file, valid_file).exit_code,
        run("config", "diff", valid_file, valid_file).output,
    ) == (0, "")
    result = run("config", "diff", "--traffic", traffic, valid_file, new)
    assert result.exit_code == 1 and "of 1 requests" in result.output and ", 1 go elsewhere" in result.output
    assert "class == orden and prompt >= 6000 tok and prompt < 8000 tok" in result.output
    result = run("config", "explain", valid_file, "--class", "orden", "--prompt", "9ktok")
    assert result.exit_code == 0
    assert result.output.splitlines()[0].endswith(
        "prompt is 9000, not prompt < 8000 tok (" + str(valid_file) + ":26)"
    )
    assert "route all" in result.output and "pool far" in result.output
    result = run("config", "explain", valid_file, "--class", "orden", "--prompt", "100")
    assert "then, while near has too few members, far" in result.output and "deadline 5000ms" in result.output
    result = run("config", "explain", valid_file, "--class", "ordne")
    assert result.exit_code == 2 and "did you mean 'orden'?" in result.output
    assert run("config", "explain", valid_file, "--class", "orden", "--prompt", "9GB").exit_code == 2


def test_convert_does_not_overwrite_a_file(tmp_path: Path) -> None:
    old = tmp_path / "chat.toml"
    out = tmp_path / "new.violet"
    old.write_text('listen = "127.0.0.1:8080"\nmodels = []\nkeys = []\n')
    assert run("config", "convert", old, "--out", out).exit_code == 0
    assert out.read_text() == 'listen chat {\n  address = "127.0.0.1:8080"\n}\n'
    assert run("config", "convert", old, "--out", out).exit_code == 2
    old.write_text("what = 1")
    result = run("config", "convert", old)
    assert result.exit_code == 2 and "what can't be carried over" in result.output


def test_demo_once_streams_an_answer_and_shows_which_hosts_served_it() -> None:
    result = run("demo", "--once", "--port", 0)
    assert result.exit_code == 0, result.output
    assert "data: [DONE]" in result.output
    assert "served by route all, pool near: prefill-0 (read" in result.output
    log.quiet = False


def test_help_version_and_an_unknown_scenario() -> None:
    for command in ((), ("serve",), ("rehearse",), ("demo",), ("config",), ("config", "fmt")):
        assert "Usage:" in run(*command, "--help").output
    result = run("rehearse", "nothing")
    assert result.exit_code == 2 and "no scenario named nothing" in result.output
    assert run("--version").exit_code == 0


def test_serve_logs_warnings_of_the_file_and_exits_with_2_for_an_invalid_one(
    valid_file: Path, tmp_path: Path
) -> None:
    valid_file.write_text('listen platform { address = "127.0.0.1:0" }\npool spare {}\n' + VALID_TEXT)
    command = [sys.executable, "-m", "violetstack", "serve", str(valid_file)]
    with subprocess.Popen(
        command, stdout=subprocess.PIPE, text=True, env={**os.environ, "NODE_CONFIG": ""}
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
    valid_file.write_text("lisen")
    process = subprocess.run(
        command, capture_output=True, text=True, env={**os.environ, "NODE_CONFIG": ""}, check=False
    )
    assert process.returncode == 2 and json.loads(process.stdout)["event"] == "config_invalid"


def test_the_plain_daemon_does_not_load_the_parser_or_the_command_line(tmp_path: Path) -> None:
    """Guards against imports that raise the daemon's memory: some deployments have only 32 MB."""
    unwanted = ("click", "lark", "structlog", "violetstack.routing", "violetstack.language")
    code = f"import sys, violetstack.__main__; print([m for m in {unwanted} if m in sys.modules])"
    process = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert process.stdout.strip() == "[]"
    with start_program(tmp_path, {"listen": "127.0.0.1:0", "seed": "ff", "settings": SETTINGS}) as program:
        assert program.stdout is not None
        for line in program.stdout:
            if json.loads(line)["event"] == "started":
                status = Path(f"/proc/{program.pid}/status").read_text()
                program.terminate()
                resident = int(status.split("VmRSS:")[1].split()[0])
                assert resident < 40 * 1024
        program.wait(10)


def test_console_format_is_readable_text() -> None:
    code = (
        "from violetstack import log; log.use_console_format(); "
        "log.log('pool_degraded', pool='near', members=1)"
    )
    process = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert "pool_degraded" in process.stdout and "near" in process.stdout and "{" not in process.stdout
    assert log.EVENT_LEVELS["pool_degraded"] == "warning"


def test_log_lines_below_the_minimum_level_are_omitted(
    capfd: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    log.log("request", ms=5)
    monkeypatch.setattr(log, "minimum_level", log.LEVEL_ORDER["error"])
    log.log("pool_degraded")
    log.log("request_overdue")
    rows = [json.loads(line) for line in capfd.readouterr().out.splitlines()]
    assert [(row["event"], row["level"]) for row in rows] == [
        ("request", "info"),
        ("request_overdue", "error"),
    ]
