"""`violetstack rehearse chat`: plays the forms of events that hosts may write, on both fronts."""

from __future__ import annotations

import click

from violetstack.rehearsal.chat_event_cells import HostApi, all_cells
from violetstack.rehearsal.chat_event_matrix import play_chat_events


def run_chat() -> int:
    """Prints each violation and the number of broken cells; returns 1 if there is one."""
    return max(_run_events(host_api) for host_api in HostApi)


def _run_events(host_api: HostApi) -> int:
    result = play_chat_events(host_api, all_cells(host_api))
    for line in result.broken:
        click.echo(line)
    click.echo(f"events of a {host_api.value}:\n{result.describe()}")
    return 1 if result.broken else 0
