"""`violetstack fleet`: a tier's lease holders and its rolling restart, over the admin API."""

from __future__ import annotations

import sys
import time
from collections.abc import Iterator
from http import HTTPStatus

import click

from violetstack.admin.responses import LeaseRow, LeasesResponse
from violetstack.commands.admin_client import (
    AdminCallRejectedError,
    AdminClient,
    AdminClientError,
    AdminUnreachableError,
)

POLL_S = 0.2
ACCEPTOR_STATES = {
    None: "not an acceptor",
    True: "acceptor",
    False: "acceptor that grants nothing yet after its start",
}
ADDRESSES = click.argument("addresses", nargs=-1, required=True, metavar="ADDRESS...")


class RestartError(AdminClientError):
    """A dispatcher did not restart in time."""


class RestartPermitError(RestartError):
    """A dispatcher got no permit to restart."""

    def __init__(self, address: str, reason: str) -> None:
        """Store the address, and the reason why no permit was granted."""
        super().__init__(address, f"no permit: {reason}")


@click.group()
def fleet() -> None:
    """Manage a tier of dispatchers over their admin API (`duties` in the operator's file).

    \b
    Examples:
      violetstack fleet who 10.0.0.1:9000 10.0.0.2:9000
      violetstack fleet roll --dry-run 10.0.0.1:9000 10.0.0.2:9000
      violetstack fleet resign 10.0.0.1:9000 try:r3
    """


@fleet.command()
@ADDRESSES
def who(addresses: tuple[str, ...]) -> None:
    """Show the lease holders, as the dispatcher at each ADDRESS knows them.

    Exit status 1 if a dispatcher does not respond, or if two claim the same lease.
    """
    problems = False
    claimed_by = dict[str, int]()
    for address in addresses:
        try:
            leases = AdminClient(address).leases()
        except AdminClientError as error:
            click.echo(str(error), err=True)
            problems = True
            continue
        for line in _describe(address, leases):
            click.echo(line)
        for row in leases.leases:
            if not row.held_here:
                continue
            holder = claimed_by.setdefault(row.name, leases.dispatcher)
            if holder != leases.dispatcher:
                click.echo(f"{row.name} is claimed by {holder} as well", err=True)
                problems = True
    sys.exit(1 if problems else 0)


def _describe(address: str, leases: LeasesResponse) -> Iterator[str]:
    eligible = "eligible" if leases.eligible else "not eligible"
    yield (
        f"{address}: dispatcher {leases.dispatcher}, {eligible}, {ACCEPTOR_STATES[leases.grants]}, "
        f"{leases.datagrams_sent} datagrams sent"
    )
    for row in leases.leases:
        yield f"  {_describe_lease(row)}"


def _describe_lease(row: LeaseRow) -> str:
    holder = "no known holder" if row.holder is None else f"dispatcher {row.holder}"
    text = f"{row.name}: {holder}, fencing token {row.fencing_token}, {row.remaining_ms} ms left"
    if row.changed_ms_ago is None:
        return text
    return f"{text}; {row.reason} {row.changed_ms_ago / 1000.0:.1f} s ago"


@fleet.command()
@click.argument("address")
@click.argument("name")
def resign(address: str, name: str) -> None:
    """Take the lease NAME from the dispatcher at ADDRESS.

    For two lease durations, the dispatcher does not try to acquire it again.
    """
    try:
        AdminClient(address).resign(name)
    except AdminClientError as error:
        raise click.ClickException(str(error)) from None
    click.echo(f"{address}: resigned {name}")


@fleet.command()
@ADDRESSES
@click.option(
    "--within",
    "timeout_s",
    default=60.0,
    show_default=True,
    help="Seconds for each dispatcher, including the wait for a permit.",
)
@click.option("--dry-run", is_flag=True, help="Only show the order, and whether each dispatcher serves.")
def roll(addresses: tuple[str, ...], timeout_s: float, dry_run: bool) -> None:
    """Restart the dispatchers at the ADDRESSes one after another, each with a permit of the tier.

    A supervisor has to start each dispatcher again after it has exited. If one gets no permit or does not
    come back, those after it are not restarted (exit status 1).
    """
    for index, address in enumerate(addresses):
        try:
            outcome = _health(address) if dry_run else _restart(address, time.monotonic() + timeout_s)
        except AdminClientError as error:
            remaining = ", ".join(addresses[index + 1 :]) or "none"
            message = f"{error}; not restarted: {remaining}"
            raise click.ClickException(message) from None
        click.echo(f"{index + 1}. {address}: {outcome}")


def _health(address: str) -> str:
    try:
        AdminClient(address).check_health()
    except AdminCallRejectedError as error:
        return error.reason
    return "serves"


def _restart(address: str, deadline: float) -> str:
    client = AdminClient(address)
    _request_restart(client, deadline)
    _await_end(client, deadline)
    _await_start(client, deadline)
    return "back"


def _request_restart(client: AdminClient, deadline: float) -> None:
    while True:
        try:
            client.request_restart()
        except AdminCallRejectedError as error:
            if error.status == HTTPStatus.NOT_FOUND or time.monotonic() >= deadline:
                raise RestartPermitError(client.address, error.reason) from None
        else:
            return
        time.sleep(POLL_S)


def _await_end(client: AdminClient, deadline: float) -> None:
    while True:
        try:
            client.check_health()
        except AdminUnreachableError:
            return
        except AdminCallRejectedError:
            pass  # it is still finishing requests
        if time.monotonic() >= deadline:
            raise RestartError(client.address, "did not end")
        time.sleep(POLL_S)


def _await_start(client: AdminClient, deadline: float) -> None:
    while True:
        try:
            client.check_health()
        except AdminClientError:
            if time.monotonic() >= deadline:
                raise RestartError(client.address, "did not come back") from None
            time.sleep(POLL_S)
        else:
            return
