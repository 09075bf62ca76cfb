"""The limits that the operators set on the size of the policy's source code."""

import tomllib
from pathlib import Path

ROOT = Path(__file__).parent.parent
POLICY = ROOT / "violetstack" / "policy"


def test_the_policy_has_300_to_750_lines_of_at_most_110_columns() -> None:
    """Counts the non-blank lines of all its files together."""
    lines = [line for path in POLICY.rglob("*.py") for line in path.read_text().splitlines() if line.strip()]
    assert 300 <= len(lines) <= 750
    assert max(len(line) for line in lines) <= 110


def test_the_deploy_file_lists_exactly_the_files_of_the_policy_package_as_policy() -> None:
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    files = [path.relative_to(ROOT).as_posix() for path in POLICY.rglob("*") if path.is_file()]
    assert sorted(deploy["policy"]) == sorted(name for name in files if not name.endswith(".pyc"))
    assert not any(name.startswith("violetstack/policy/") for name in deploy["node"])
