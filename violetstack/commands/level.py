"""`violetstack level show|history|pin|unpin`: levels of reduced service, over the daemon's level socket."""

from __future__ import annotations

import getpass
import json
import socket
import sys
import time
from typing import Any

import click

TIMEOUT_S = 5.0
READ_SIZE_BYTES = 65536
MS_PER_MINUTE = 60_000.0
NO_ANSWER_EXIT_STATUS = 2
SOCKET = click.option(
    "--socket", "path", required=True, help="The daemon's level socket: `admin` in the operator's file."
)


@click.group()
def level() -> None:
    """Show the level of reduced service, and pin it."""


@level.command()
@SOCKET
@click.option("--json", "as_json", is_flag=True, help="Print the whole status as JSON, for programs.")
def show(path: str, as_json: bool) -> None:
    """Show the level, its age, every signal, and the conditions that would change the level."""
    status = _request(path, do="show")
    if as_json:
        click.echo(json.dumps(status, indent=1))
    else:
        _print_status(status)


@level.command()
@SOCKET
def history(path: str) -> None:
    """List the last changes and their causes, newest first."""
    for change in _request(path, do="history")["changes"]:
        at = time.strftime("%Y-%m-%d %H:%M:%S", time.localtime(change["at"]))
        click.echo(f"{at}  {change['old']} -> {change['level']}: {change['cause']}")


@level.command()
@click.argument("name")
@SOCKET
@click.option(
    "--for",
    "minutes",
    type=click.FloatRange(0.1, 10_000),
    default=60.0,
    show_default=True,
    help="Minutes until the signals decide again.",
)
def pin(name: str, path: str, minutes: float) -> None:
    """Keep the level NAME in force, regardless of the signals."""
    status = _request(path, do="pin", level=name, for_ms=minutes * MS_PER_MINUTE, by=getpass.getuser())
    _print_status(status)


@level.command()
@SOCKET
def unpin(path: str) -> None:
    """Let the signals decide again."""
    _print_status(_request(path, do="unpin"))


def _request(path: str, **request: Any) -> dict[str, Any]:
    """Returns the daemon's reply; exits with `NO_ANSWER_EXIT_STATUS` if there is none or it is an error."""
    try:
        reply: dict[str, Any] = json.loads(_exchange(path, json.dumps(request).encode() + b"\n"))
    except (OSError, ValueError) as error:
        click.echo(f"{path}: {error}", err=True)
        sys.exit(NO_ANSWER_EXIT_STATUS)
    if "error" in reply:
        click.echo(reply["error"], err=True)
        sys.exit(NO_ANSWER_EXIT_STATUS)
    return reply


def _exchange(path: str, line: bytes) -> bytes:
    """Sends a line and returns the line that comes back."""
    with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as connection:
        connection.settimeout(TIMEOUT_S)
        connection.connect(path)
        connection.sendall(line)
        data = b""
        while not data.endswith(b"\n") and (part := connection.recv(READ_SIZE_BYTES)):
            data += part
    return data


def _print_status(status: dict[str, Any]) -> None:
    names = ", ".join(status["levels"])
    click.echo(f"{status['level']} for {status['for_s']:.0f} s, of {names}; {status['shed']} shed")
    pinned = status["pin"]
    if pinned is not None:
        click.echo(f"pinned by {pinned['by']} for another {pinned['for_s']} s")
    if status["cautious_for_s"]:
        click.echo(
            f"cautious for another {status['cautious_for_s']:g} s: levels are entered four times as fast"
        )
    for name, signal in status["signals"].items():
        value = "not known" if signal["value"] is None else f"{signal['value']:.3g}"
        click.echo(f"  {name:12} {value:>10}  from {signal['count']} in all, {signal['age_s']:g} s ago")
    for transition in status["outlook"]:
        since = "" if transition["for_s"] is None else f", for {transition['for_s']:g} s"
        holds = {True: "holds", False: "does not hold", None: "is not known"}[transition["holds"]]
        change = f"{transition['would']} {transition['level']}"
        click.echo(f"  would {change} if {transition['if']}: it {holds}{since}")
