"""Generates the project's own variants of a given site for the bench, by overriding some of its values.

    python3 deploy/sites/make.py GIVEN/sites/SITE.toml [--into deploy/sites]

Each NAME.values.toml in the directory of this script becomes NAME/NAME.toml, and the site's real.json,
wire.json and unlock.txt are copied to the same directory. The generated files are not committed: apart from
the values they are the given site's.
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
COPIED_FILES = ("real.json", "wire.json", "unlock.txt")


def merge(base: Any, values: Any) -> Any:
    """Merge `values` into `base`.

    Tables are merged key by key. In a list of tables, each is merged into the table of `base` at the same
    index, or into its last one. Any other value replaces that of `base`.
    """
    if isinstance(base, dict) and isinstance(values, dict):
        return base | {key: merge(base.get(key), value) for key, value in values.items()}
    is_table_list = isinstance(values, list) and values and isinstance(values[0], dict)
    if is_table_list and isinstance(base, list) and base:
        return [merge(base[min(n, len(base) - 1)], value) for n, value in enumerate(values)]
    return values


def to_toml(table: dict[str, Any], path: str = "") -> str:
    """Format a table as TOML: its plain keys first, then its tables and lists of tables."""
    plain = []
    tables = []
    for key, value in table.items():
        name = f"{path}.{key}" if path else key
        if isinstance(value, dict):
            tables.append(f"\n[{name}]\n{to_toml(value, name)}")
        elif isinstance(value, list) and value and isinstance(value[0], dict):
            tables += [f"\n[[{name}]]\n{to_toml(row, name)}" for row in value]
        else:
            plain.append(f"{key} = {json.dumps(value, ensure_ascii=False)}\n")
    return "".join(plain + tables)


def make(given: Path, into: Path) -> list[Path]:
    """Write all variants of the site `given` below `into`, and return their TOML files.

    Raises:
        SystemExit: Some of the given files are missing; the message names them.
    """
    missing = [
        str(path) for path in (given, *(given.parent / name for name in COPIED_FILES)) if not path.is_file()
    ]
    if missing:
        sys.exit("make.py: these given files are missing: " + ", ".join(missing))
    base = tomllib.loads(given.read_text())
    written = []
    for values in sorted(HERE.glob("*.values.toml")):
        name = values.name.removesuffix(".values.toml")
        folder = into / name
        folder.mkdir(parents=True, exist_ok=True)
        site = merge(base, tomllib.loads(values.read_text()))
        written.append(folder / f"{name}.toml")
        written[-1].write_text(to_toml(site))
        for file_name in COPIED_FILES:
            shutil.copyfile(given.parent / file_name, folder / file_name)
    return written


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else None)
    parser.add_argument(
        "given", type=Path, help="the given site's TOML file; its three other files are in the same directory"
    )
    parser.add_argument("--into", type=Path, default=HERE)
    arguments = parser.parse_args()
    for path in make(arguments.given, arguments.into):
        print(path)
