"""`violetstack state`: looks at what a dispatcher keeps in its folder. It changes nothing but by `prune`."""

from __future__ import annotations

import sys
import time

import click
import msgspec


@click.group()
def state() -> None:
    """Look at the state that a dispatcher keeps over its end (`state` in the operator's file).

    \b
    Examples:
      violetstack state show /var/lib/violetstack/n0
      violetstack state verify /var/lib/violetstack/n0
    """


FOLDER = click.argument("folder", type=click.Path(exists=True, file_okay=False))


@state.command()
@FOLDER
def show(folder: str) -> None:
    """What a start would find in FOLDER, for a person."""
    from violetstack.net.state_writer import Disk  # noqa: PLC0415 - only what a command needs is loaded
    from violetstack.state.store import recover  # noqa: PLC0415

    found = recover(Disk(folder))
    if not found.generation:
        click.echo("nothing is kept here")
    else:
        content = found.content
        age = time.time() - content.heard_at / 1000.0
        click.echo(f"generation {found.generation}; list of version {content.version}, told {age:.0f} s ago")
        for server in sorted(content.servers.values(), key=lambda s: s.id):
            click.echo(f"  {server.id}  {server.kind}  {server.addr}  {server.state}")
        if content.learned is not None:
            ago = time.time() - content.learned.at / 1000.0
            click.echo(f"learned of {len(content.learned.servers)} hosts, {ago:.0f} s ago")
    _tell(found.notes)


@state.command()
@FOLDER
def verify(folder: str) -> None:
    """Exit status 1 if anything in FOLDER can't be believed, 2 if nothing can."""
    from violetstack.net.state_writer import Disk  # noqa: PLC0415
    from violetstack.state.store import generations, recover  # noqa: PLC0415

    disk = Disk(folder)
    found = recover(disk)
    _tell(found.notes)
    if not found.generation and generations(disk.names()):
        sys.exit(2)
    click.echo(f"generation {found.generation}" if found.generation else "nothing is kept here")
    sys.exit(1 if found.notes else 0)


@state.command()
@FOLDER
def export(folder: str) -> None:
    """What a start would find in FOLDER, as one JSON object."""
    from violetstack.net.state_writer import Disk  # noqa: PLC0415
    from violetstack.state.store import recover  # noqa: PLC0415

    found = recover(Disk(folder))
    click.echo(msgspec.json.encode(found.content).decode())


@state.command()
@FOLDER
def prune(folder: str) -> None:
    """Remove files in FOLDER that no start would read; not while its dispatcher runs."""
    from violetstack.net.state_writer import Disk  # noqa: PLC0415
    from violetstack.state.store import PART, prunable, recover  # noqa: PLC0415

    disk = Disk(folder)
    names = disk.names()
    gone = prunable(names, recover(disk).generation) + [name for name in names if name == PART]
    for name in gone:
        disk.remove(name)
        click.echo(f"removed {name}")


def _tell(notes: list[str]) -> None:
    for note in notes:
        click.echo(f"not believed: {note}", err=True)
