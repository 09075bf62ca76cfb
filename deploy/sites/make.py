"""Makes the project's own variants of a given site: the values here laid over the site's, for the bench.

    python3 deploy/sites/make.py GIVEN/sites/SITE.toml [--into deploy/sites]

Each NAME.values.toml beside this script becomes NAME/NAME.toml, with the site's real.json, wire.json and
unlock.txt beside it. What is made is not committed: it is the given site's but for the values.
"""

from __future__ import annotations

import argparse
import json
import shutil
import sys
import tomllib
from pathlib import Path
from typing import Any

HERE = Path(__file__).parent
BESIDE = ("real.json", "wire.json", "unlock.txt")


def laid_over(base: Any, values: Any) -> Any:
    """Tables key by key; in a list of tables the n-th over the n-th, or over the last."""
    if isinstance(base, dict) and isinstance(values, dict):
        return base | {key: laid_over(base.get(key), value) for key, value in values.items()}
    tables = isinstance(values, list) and values and isinstance(values[0], dict)
    if tables and isinstance(base, list) and base:
        return [laid_over(base[min(n, len(base) - 1)], value) for n, value in enumerate(values)]
    return values


def written(table: dict[str, Any], path: str = "") -> str:
    """TOML: plain keys first, then tables, then lists of tables."""
    plain = []
    tables = []
    for key, value in table.items():
        name = f"{path}.{key}" if path else key
        if isinstance(value, dict):
            tables.append(f"\n[{name}]\n{written(value, name)}")
        elif isinstance(value, list) and value and isinstance(value[0], dict):
            tables += [f"\n[[{name}]]\n{written(each, name)}" for each in value]
        else:
            plain.append(f"{key} = {json.dumps(value, ensure_ascii=False)}\n")
    return "".join(plain + tables)


def make(given: Path, into: Path) -> list[Path]:
    """Raises SystemExit that names what is missing."""
    missing = [str(path) for path in (given, *(given.parent / name for name in BESIDE)) if not path.is_file()]
    if missing:
        sys.exit("make.py: these given files are missing: " + ", ".join(missing))
    base = tomllib.loads(given.read_text())
    made = []
    for values in sorted(HERE.glob("*.values.toml")):
        name = values.name.removesuffix(".values.toml")
        folder = into / name
        folder.mkdir(parents=True, exist_ok=True)
        site = laid_over(base, tomllib.loads(values.read_text()))
        made.append(folder / f"{name}.toml")
        made[-1].write_text(written(site))
        for each in BESIDE:
            shutil.copyfile(given.parent / each, folder / each)
    return made


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else None)
    parser.add_argument("given", type=Path, help="the given site's TOML file, its three files beside it")
    parser.add_argument("--into", type=Path, default=HERE)
    told = parser.parse_args()
    for path in make(told.given, told.into):
        print(path)
