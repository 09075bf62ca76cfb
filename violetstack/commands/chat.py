"""`violetstack rehearse chat`: plays events of hosts and repeated requests on both fronts."""

from __future__ import annotations

from typing import Protocol

import click

from violetstack.rehearsal.chat_event_cells import HostApi, all_cells
from violetstack.rehearsal.chat_event_matrix import play_chat_events
from violetstack.rehearsal.repeat_matrix import play_all_repeats


class MatrixResult(Protocol):
    """The outcome of a matrix."""

    @property
    def broken(self) -> list[str]:
        """One line for each violation."""

    def describe(self) -> str:
        """Returns the numbers of broken cells."""


def run_chat() -> int:
    """Prints each violation and the number of broken cells; returns 1 if there is one."""
    is_any_broken = False
    for host_api in HostApi:
        events = play_chat_events(host_api, all_cells(host_api))
        is_any_broken |= _print_result(f"events of a {host_api.value}", events)
        is_any_broken |= _print_result(f"requests to a {host_api.value}", play_all_repeats(host_api))
    return 1 if is_any_broken else 0


def _print_result(title: str, result: MatrixResult) -> bool:
    for line in result.broken:
        click.echo(line)
    click.echo(f"{title}:\n{result.describe()}")
    return bool(result.broken)
