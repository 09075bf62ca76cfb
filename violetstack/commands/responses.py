"""`violetstack rehearse responses`: plays every form of malformed response through a dispatcher."""

from __future__ import annotations

import click

from violetstack.rehearsal.response_cells import all_cells
from violetstack.rehearsal.response_matrix import play_matrix


def run_responses() -> int:
    """Prints each violation and the number of them by form; returns 1 if there is one."""
    cells = [cell for later in (False, True) for cell in all_cells(on_later_response=later)]
    result = play_matrix(cells)
    for line in result.broken:
        click.echo(line)
    click.echo(result.describe())
    return 1 if result.broken else 0
