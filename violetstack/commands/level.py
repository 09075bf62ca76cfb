"""`violetstack level show|history|pin|unpin`, over the daemon's socket."""

from __future__ import annotations

import getpass
import json
import socket
import sys
import time
from typing import Any

import click

SOCKET = click.option(
    "--socket", "path", required=True, help="The daemon's `admin` socket, of its file's levels."
)


@click.group()
def level() -> None:
    """Look at the level of reduced service, and pin it."""


def ask(path: str, **asked: Any) -> dict[str, Any]:
    """The daemon's answer; ends with 2 if there is none or it is an error."""
    try:
        with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as peer:
            peer.settimeout(5.0)
            peer.connect(path)
            peer.sendall(json.dumps(asked).encode() + b"\n")
            data = b""
            while not data.endswith(b"\n") and (part := peer.recv(65536)):
                data += part
        told: dict[str, Any] = json.loads(data)
    except (OSError, ValueError) as error:
        click.echo(f"{path}: {error}", err=True)
        sys.exit(2)
    if "error" in told:
        click.echo(told["error"], err=True)
        sys.exit(2)
    return told


def shown(told: dict[str, Any]) -> None:
    pin = told["pin"]
    click.echo(
        f"{told['level']} for {told['for_s']:.0f} s, of {', '.join(told['levels'])}; {told['shed']} shed"
    )
    if pin is not None:
        click.echo(f"pinned by {pin['by']} for another {pin['for_s']} s")
    if told["cautious_for_s"]:
        click.echo(
            f"cautious for another {told['cautious_for_s']:g} s: levels are entered four times as fast"
        )
    for name, row in told["signals"].items():
        value = "not known" if row["value"] is None else f"{row['value']:.3g}"
        click.echo(f"  {name:12} {value:>10}  from {row['count']} in all, {row['age_s']:g} s ago")
    for row in told["outlook"]:
        since = "" if row["for_s"] is None else f", for {row['for_s']:g} s"
        holds = {True: "holds", False: "does not hold", None: "is not known"}[row["holds"]]
        click.echo(f"  would {row['would']} {row['level']} if {row['if']}: it {holds}{since}")


@level.command()
@SOCKET
@click.option("--json", "as_json", is_flag=True, help="All of it, for programs.")
def show(path: str, as_json: bool) -> None:
    """The level, since when, every signal, and what would change it."""
    told = ask(path, do="show")
    if as_json:
        click.echo(json.dumps(told, indent=1))
    else:
        shown(told)


@level.command()
@SOCKET
def history(path: str) -> None:
    """The last changes with their causes, the newest first."""
    for row in ask(path, do="history")["changes"]:
        at = time.strftime("%Y-%m-%d %H:%M:%S", time.localtime(row["at"]))
        click.echo(f"{at}  {row['old']} -> {row['level']}: {row['cause']}")


@level.command()
@click.argument("name")
@SOCKET
@click.option(
    "--for",
    "minutes",
    type=click.FloatRange(0.1, 10_000),
    default=60.0,
    show_default=True,
    help="Minutes; then the signals decide again.",
)
def pin(name: str, path: str, minutes: float) -> None:
    """Keep the level NAME in force, whatever the signals say."""
    shown(ask(path, do="pin", level=name, for_ms=minutes * 60_000.0, by=getpass.getuser()))


@level.command()
@SOCKET
def unpin(path: str) -> None:
    """Let the signals decide again."""
    shown(ask(path, do="unpin"))
