"""`violetstack fleet`: who holds which duty, and a restart of the tier one after another, by the operators'
doors."""

from __future__ import annotations

import http.client
import sys
import time
from typing import Any

import click
import orjson

CALL_S = 1.0
AGAIN_S = 0.2


class NoAnswer(Exception):
    """A door that can't be reached, or tells nothing that can be read."""


def call(door: str, method: str, path: str, body: str = "") -> tuple[int, dict[str, Any]]:
    """Raises NoAnswer."""
    connection = http.client.HTTPConnection(door, timeout=CALL_S)
    try:
        connection.request(method, path, body or None, {"Content-Length": str(len(body))})
        answer = connection.getresponse()
        told = orjson.loads(answer.read())
    except (OSError, ValueError, http.client.HTTPException) as error:
        raise NoAnswer(f"{door}: {error or type(error).__name__}") from None
    finally:
        connection.close()
    return answer.status, told if isinstance(told, dict) else {}


@click.group()
def fleet() -> None:
    """Look after a tier of dispatchers by their operators' doors (`duties` in the operator's file).

    \b
    Examples:
      violetstack fleet who 10.0.0.1:9000 10.0.0.2:9000
      violetstack fleet roll --dry-run 10.0.0.1:9000 10.0.0.2:9000
      violetstack fleet resign 10.0.0.1:9000 try:r3
    """


DOORS = click.argument("doors", nargs=-1, required=True, metavar="DOOR...")


@fleet.command()
@DOORS
def who(doors: tuple[str, ...]) -> None:
    """Who holds what, as each DOOR's dispatcher knows it.

    Exit status 1 if one does not answer, or two claim a duty.
    """
    bad = False
    claimed = dict[str, int]()
    for door in doors:
        try:
            status, told = call(door, "GET", "/admin/duties")
        except NoAnswer as error:
            click.echo(str(error), err=True)
            bad = True
            continue
        if status != 200:
            click.echo(f"{door}: {told.get('error', status)}", err=True)
            bad = True
            continue
        speaks = {None: "no elector", True: "elector", False: "elector, silent yet"}[told["speaks"]]
        click.echo(
            f"{door}: dispatcher {told['me']}, {'fit' if told['fit'] else 'not fit'}, {speaks}, "
            f"{told['datagrams']} datagrams sent"
        )
        for row in told["duties"]:
            holder = "nobody, or not known" if row["holder"] is None else f"dispatcher {row['holder']}"
            since = "" if row["since_ms"] is None else f"; {row['why']} {row['since_ms'] / 1000.0:.1f} s ago"
            click.echo(f"  {row['name']}: {holder} by {row['number']}, {row['left_ms']} ms left{since}")
            if row["mine"] and claimed.setdefault(row["name"], told["me"]) != told["me"]:
                click.echo(f"{row['name']} is claimed by {claimed[row['name']]} as well", err=True)
                bad = True
    sys.exit(1 if bad else 0)


@fleet.command()
@click.argument("door")
@click.argument("name")
def resign(door: str, name: str) -> None:
    """Take the duty NAME from the dispatcher behind DOOR; it stays away from it for two leases."""
    try:
        status, told = call(door, "POST", "/admin/resign", name)
    except NoAnswer as error:
        raise click.ClickException(str(error)) from None
    if status != 200:
        raise click.ClickException(f"{door}: {told.get('error', status)}")
    click.echo(f"{door}: {name} goes to others")


@fleet.command()
@DOORS
@click.option("--within", default=60.0, show_default=True, help="Seconds for each: leave, end, back again.")
@click.option("--dry-run", is_flag=True, help="Only tell the order, and what each dispatcher says now.")
def roll(doors: tuple[str, ...], within: float, dry_run: bool) -> None:
    """Restart the dispatchers behind the DOORs, one after another, each with the tier's leave.

    Whoever supervises them starts each again once it has ended. A dispatcher that gets no leave, or does
    not come back, ends the roll there (exit status 1); those after it keep running.
    """
    for n, door in enumerate(doors):
        try:
            if dry_run:
                status, told = call(door, "GET", "/admin/health")
                state = "serves" if status == 200 else told.get("error", status)
                click.echo(f"{n + 1}. {door}: {state}")
            else:
                _restart(door, time.monotonic() + within)
                click.echo(f"{n + 1}. {door}: back")
        except NoAnswer as error:
            left = ", ".join(doors[n + 1 :]) or "nobody"
            raise click.ClickException(f"{error}; not restarted: {left}") from None


def _restart(door: str, until: float) -> None:
    """Raises NoAnswer with what stood in the way."""
    status, told = call(door, "POST", "/admin/leave")
    while status != 200:
        if status == 404 or time.monotonic() >= until:
            raise NoAnswer(f"{door}: no leave: {told.get('error', status)}")
        time.sleep(AGAIN_S)
        status, told = call(door, "POST", "/admin/leave")
    gone = False
    while True:
        try:
            status, _ = call(door, "GET", "/admin/health")
        except NoAnswer:
            status = 0
        gone = gone or status == 0
        if gone and status == 200:
            return
        if time.monotonic() >= until:
            raise NoAnswer(f"{door}: {'did not come back' if gone else 'did not end'}")
        time.sleep(AGAIN_S)
