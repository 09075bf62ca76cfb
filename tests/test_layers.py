"""The layers of docs/architecture.md, read from the imports: nothing imports upward or in a circle."""

from __future__ import annotations

import ast
from collections.abc import Iterator
from graphlib import CycleError, TopologicalSorter
from pathlib import Path
from typing import NamedTuple

import pytest

ROOT = Path(__file__).parent.parent
PACKAGE = "violetstack"

# From the lowest to the highest. A module imports from its own layer and from lower ones.
LAYERS: dict[str, frozenset[str]] = {
    "vocabulary": frozenset(
        {"log", "log_writer", "policy_api", "process_pause", "rendezvous", "settings", "shared"}
    ),
    "tracking": frozenset({"estimation", "gossip", "tracking"}),
    "policy": frozenset({"policy"}),
    "domain": frozenset(
        {
            "admin",
            "config",
            "core",
            "handover",
            "idempotency",
            "language",
            "lease",
            "load_shedding",
            "operator_config",
            "protocol",
            "recovery",
            "routing",
            "state",
        }
    ),
    "fronts": frozenset({"fronts"}),
    "net": frozenset({"net"}),
    "daemon": frozenset({"daemon"}),
    "programs": frozenset({"__main__", "commands", "rehearsal", "simulation", "simulator_adapter"}),
}
RANKS = {part: rank for rank, parts in enumerate(LAYERS.values()) for part in parts}

# Below these layers nothing waits for a socket or a thread, so nothing there imports trio.
SYNCHRONOUS_LAYERS = ("vocabulary", "tracking", "policy", "domain")
# The service that runs the store's calls on a thread; it is to move to `net`.
TRIO_EXCEPTIONS = frozenset({"violetstack.idempotency.service"})


class Import(NamedTuple):
    """One import statement's target. `for_types`: only type checkers follow it."""

    target: str
    for_types: bool


def modules() -> dict[str, Path]:
    """Each module's dotted name and its file."""
    found = {}
    for path in sorted((ROOT / PACKAGE).rglob("*.py")):
        parts = path.relative_to(ROOT).with_suffix("").parts
        name = ".".join(parts[:-1] if parts[-1] == "__init__" else parts)
        found[name] = path
    return found


MODULES = modules()


def imports(node: ast.AST, *, for_types: bool = False) -> Iterator[Import]:
    """All imports below a node, those within functions included."""
    for child in ast.iter_child_nodes(node):
        if isinstance(child, ast.If) and ast.unparse(child.test) == "TYPE_CHECKING":
            for statement in child.body:
                yield from imports(ast.Module([statement], []), for_types=True)
            continue
        if isinstance(child, ast.Import):
            yield from (Import(alias.name, for_types) for alias in child.names)
        elif isinstance(child, ast.ImportFrom):
            assert child.level == 0, "imports are absolute"
            assert child.module is not None
            for alias in child.names:
                submodule = f"{child.module}.{alias.name}"
                yield Import(submodule if submodule in MODULES else child.module, for_types)
        yield from imports(child, for_types=for_types)


IMPORTS = {name: tuple(imports(ast.parse(path.read_text()))) for name, path in MODULES.items()}


def part_of(module: str) -> str:
    """The package or module right below the top: `net` for `violetstack.net.upstream.driver`."""
    return module.split(".")[1]


@pytest.mark.parametrize("module", [name for name in MODULES if name != PACKAGE])
def test_a_module_imports_from_its_own_layer_and_from_lower_ones(module: str) -> None:
    """This holds for imports that only type checkers follow, too."""
    rank = RANKS[part_of(module)]
    targets = [each.target for each in IMPORTS[module] if each.target.startswith(f"{PACKAGE}.")]
    assert [target for target in targets if RANKS[part_of(target)] > rank] == []


def test_each_package_belongs_to_one_layer() -> None:
    parts = {part_of(name) for name in MODULES if name != PACKAGE}
    assert parts <= RANKS.keys()
    assert sum(map(len, LAYERS.values())) == len(RANKS)


def test_layers_below_the_fronts_do_not_import_trio() -> None:
    synchronous = frozenset().union(*(LAYERS[layer] for layer in SYNCHRONOUS_LAYERS))
    importing = {
        name
        for name, targets in IMPORTS.items()
        if name != PACKAGE
        and part_of(name) in synchronous
        and any(each.target.partition(".")[0] == "trio" for each in targets)
    }
    assert importing == TRIO_EXCEPTIONS


def test_the_core_and_the_policy_know_nothing_of_the_protocols_bytes() -> None:
    """They decide on records; what comes over the wire is decoded before it gets there."""
    for name, targets in IMPORTS.items():
        if name != PACKAGE and part_of(name) in {"core", *LAYERS["tracking"], *LAYERS["policy"]}:
            assert [each.target for each in targets if each.target.startswith("violetstack.protocol")] == []


def test_no_modules_import_each_other_in_a_circle_at_run_time() -> None:
    graph = {
        name: {each.target for each in targets if not each.for_types and each.target in MODULES} - {name}
        for name, targets in IMPORTS.items()
    }
    try:
        TopologicalSorter(graph).prepare()
    except CycleError as error:
        pytest.fail(f"imported in a circle: {' -> '.join(error.args[1])}")
