"""The limits that the operators set on the policy's text."""

import tomllib
from pathlib import Path

ROOT = Path(__file__).parent.parent
POLICY = ROOT / "violetstack" / "policy"


def test_the_policy_is_short_enough_to_read_aloud() -> None:
    """All its files together: 300 to 750 lines that are not blank, of 110 columns at most."""
    lines = [line for path in POLICY.rglob("*.py") for line in path.read_text().splitlines() if line.strip()]
    assert 300 <= len(lines) <= 750
    assert max(len(line) for line in lines) <= 110


def test_the_files_named_policy_are_those_of_the_package() -> None:
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    files = [path.relative_to(ROOT).as_posix() for path in POLICY.rglob("*") if path.is_file()]
    assert sorted(deploy["policy"]) == sorted(name for name in files if not name.endswith(".pyc"))
    assert not any(name.startswith("violetstack/policy/") for name in deploy["node"])
