"""The layers of docs/architecture.md: no module imports from a higher layer, and no imports are circular."""

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
RANKS = {package: rank for rank, packages in enumerate(LAYERS.values()) for package in packages}

# Modules of these layers wait for no socket and no thread, so they do not import trio.
SYNCHRONOUS_LAYERS = ("vocabulary", "tracking", "policy", "domain")
# This service runs the idempotency store's calls on a thread; it should move to `net`.
TRIO_EXCEPTIONS = frozenset({"violetstack.idempotency.service"})


class Import(NamedTuple):
    """The target of an import statement.

    Attributes:
        target: The module's dotted name.
        for_types: Whether the import is below `if TYPE_CHECKING`, so that it does not happen at run time.
    """

    target: str
    for_types: bool


def modules() -> dict[str, Path]:
    """Return the dotted name and the file of each module."""
    modules_by_name = {}
    for path in sorted((ROOT / PACKAGE).rglob("*.py")):
        parts = path.relative_to(ROOT).with_suffix("").parts
        name = ".".join(parts[:-1] if parts[-1] == "__init__" else parts)
        modules_by_name[name] = path
    return modules_by_name


MODULES = modules()


def imports(node: ast.AST, *, for_types: bool = False) -> Iterator[Import]:
    """Yield all imports below a node, including those within functions."""
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


def package_of(module: str) -> str:
    """Return the top-level package or module: `net` for `violetstack.net.upstream.driver`."""
    return module.split(".")[1]


@pytest.mark.parametrize("module", [name for name in MODULES if name != PACKAGE])
def test_a_module_imports_only_from_its_own_layer_and_lower_ones(module: str) -> None:
    """Imports below `if TYPE_CHECKING` are checked as well."""
    rank = RANKS[package_of(module)]
    targets = [imported.target for imported in IMPORTS[module] if imported.target.startswith(f"{PACKAGE}.")]
    assert [target for target in targets if RANKS[package_of(target)] > rank] == []


def test_each_package_belongs_to_exactly_one_layer() -> None:
    packages = {package_of(name) for name in MODULES if name != PACKAGE}
    assert packages <= RANKS.keys()
    assert sum(map(len, LAYERS.values())) == len(RANKS)


def test_layers_below_the_fronts_do_not_import_trio() -> None:
    synchronous = frozenset().union(*(LAYERS[layer] for layer in SYNCHRONOUS_LAYERS))
    importing = {
        name
        for name, targets in IMPORTS.items()
        if name != PACKAGE
        and package_of(name) in synchronous
        and any(imported.target.partition(".")[0] == "trio" for imported in targets)
    }
    assert importing == TRIO_EXCEPTIONS


def test_the_core_and_the_policy_do_not_import_the_protocol() -> None:
    """They work on records: messages from the network are decoded before they reach them."""
    for name, targets in IMPORTS.items():
        if name != PACKAGE and package_of(name) in {"core", *LAYERS["tracking"], *LAYERS["policy"]}:
            assert [
                imported.target for imported in targets if imported.target.startswith("violetstack.protocol")
            ] == []


def test_run_time_imports_are_not_circular() -> None:
    graph = {
        name: {
            imported.target for imported in targets if not imported.for_types and imported.target in MODULES
        }
        - {name}
        for name, targets in IMPORTS.items()
    }
    try:
        TopologicalSorter(graph).prepare()
    except CycleError as error:
        pytest.fail(f"circular import: {' -> '.join(error.args[1])}")
