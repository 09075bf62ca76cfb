"""The script that generates the project's own site variants, run with a small site as the given one."""

from __future__ import annotations

import importlib.util
import tomllib
from pathlib import Path
from types import ModuleType

import pytest

SITES = Path(__file__).parent.parent / "deploy" / "sites"
GIVEN_SITE = """
name = "given"
[scale]
servers = [1, 2]
balancers = [1, 2]
[[class]]
name = "first"
effect = "safe"
worth = 1
[[class]]
name = "second"
effect = "unsafe"
worth = 2
[[tier]]
name = "hosts"
[tier.conn]
idle_s = 30
streams = 8
[[tier.kind]]
name = "prefill"
"""


@pytest.fixture
def script() -> ModuleType:
    spec = importlib.util.spec_from_file_location("make_sites", SITES / "make.py")
    assert spec is not None
    assert spec.loader is not None
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


def test_each_variant_is_written_together_with_the_three_other_files(
    script: ModuleType, tmp_path: Path
) -> None:
    given = tmp_path / "given"
    into = tmp_path / "made"
    given.mkdir()
    (given / "site.toml").write_text(GIVEN_SITE)
    for name in script.COPIED_FILES:
        (given / name).write_text(name)
    written = script.make(given / "site.toml", into)
    assert [path.stem for path in written] == ["helpdesk", "parcels"]
    for path in written:
        site = tomllib.loads(path.read_text())
        values = tomllib.loads((SITES / f"{path.stem}.values.toml").read_text())
        assert site["name"] == path.stem
        assert [each["name"] for each in site["class"]] == [each["name"] for each in values["class"]]
        assert site["tier"][0]["conn"] == {"streams": 8, **values["tier"][0]["conn"]}
        assert site["tier"][0]["kind"] == [{"name": "prefill"}]
        assert sorted(each.name for each in path.parent.iterdir()) == sorted(
            [path.name, *script.COPIED_FILES]
        )
    parcels = tomllib.loads(written[1].read_text())
    assert [each["effect"] for each in parcels["class"]] == ["unsafe", "safe", "safe"]


def test_an_error_names_the_missing_files(script: ModuleType, tmp_path: Path) -> None:
    (tmp_path / "site.toml").write_text(GIVEN_SITE)
    (tmp_path / "real.json").write_text("{}")
    with pytest.raises(SystemExit, match=r"wire\.json.*unlock\.txt"):
        script.make(tmp_path / "site.toml", tmp_path / "made")
    assert not (tmp_path / "made").exists()
