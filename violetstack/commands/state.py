"""`violetstack state`: inspects the directory of a dispatcher's stored state; only `prune` changes it."""

from __future__ import annotations

import sys
import time
from typing import TYPE_CHECKING

import click
import msgspec

if TYPE_CHECKING:
    from violetstack.state.snapshot import StateSnapshot

# Exit statuses of `state verify`.
EXIT_VALID = 0
EXIT_PROBLEMS = 1
EXIT_UNREADABLE = 2


@click.group()
def state() -> None:
    r"""Inspect the state that a dispatcher stores for its next start (`state` in the operator's file).

    \b
    Examples:
      violetstack state show /var/lib/violetstack/n0
      violetstack state verify /var/lib/violetstack/n0
    """


FOLDER = click.argument("folder", type=click.Path(exists=True, file_okay=False))


@state.command()
@FOLDER
def show(folder: str) -> None:
    """Show the state that a dispatcher would read from FOLDER at its start."""
    from violetstack.net.state_directory import StateDirectory
    from violetstack.state.store import recover

    recovered = recover(StateDirectory(folder))
    if recovered.generation:
        _print_snapshot(recovered.generation, recovered.snapshot)
    else:
        click.echo("no stored state")
    _print_problems(recovered.problems)


@state.command()
@FOLDER
def verify(folder: str) -> None:
    """Check FOLDER: exit status 1 if a part of it cannot be read, 2 if none of it can."""
    from violetstack.net.state_directory import StateDirectory
    from violetstack.state.store import generations, recover

    directory = StateDirectory(folder)
    recovered = recover(directory)
    _print_problems(recovered.problems)
    if not recovered.generation and generations(directory.names()):
        sys.exit(EXIT_UNREADABLE)
    click.echo(f"generation {recovered.generation}" if recovered.generation else "no stored state")
    sys.exit(EXIT_PROBLEMS if recovered.problems else EXIT_VALID)


@state.command()
@FOLDER
def export(folder: str) -> None:
    """Print the state that a dispatcher would read from FOLDER at its start, as one JSON object."""
    from violetstack.net.state_directory import StateDirectory
    from violetstack.state.store import recover

    recovered = recover(StateDirectory(folder))
    click.echo(msgspec.json.encode(recovered.snapshot).decode())


@state.command()
@FOLDER
def prune(folder: str) -> None:
    """Remove files in FOLDER that no start would read. Do not run this while the dispatcher runs."""
    from violetstack.net.state_directory import StateDirectory
    from violetstack.state.store import TEMPORARY_NAME, obsolete_files, recover

    directory = StateDirectory(folder)
    names = directory.names()
    obsolete = obsolete_files(names, recover(directory).generation)
    for name in [*obsolete, *(name for name in names if name == TEMPORARY_NAME)]:
        directory.remove(name)
        click.echo(f"removed {name}")


def _print_snapshot(generation: int, snapshot: StateSnapshot) -> None:
    now_s = time.time()
    age_s = now_s - snapshot.received_at / 1000.0
    click.echo(f"generation {generation}; list of version {snapshot.version}, received {age_s:.0f} s ago")
    for endpoint in sorted(snapshot.endpoints.values(), key=lambda listed: listed.id):
        click.echo(f"  {endpoint.id}  {endpoint.kind}  {endpoint.addr}  {endpoint.state}")
    if snapshot.learned is not None:
        age_s = now_s - snapshot.learned.captured_at_ms / 1000.0
        click.echo(f"learned state of {len(snapshot.learned.endpoints)} hosts, {age_s:.0f} s old")


def _print_problems(problems: list[str]) -> None:
    for problem in problems:
        click.echo(f"unreadable: {problem}", err=True)
