"""`violetstack rehearse responses`: plays malformed and slow responses of hosts through a dispatcher."""

from __future__ import annotations

import click

from violetstack.rehearsal.response_cells import all_cells
from violetstack.rehearsal.response_matrix import play_matrix
from violetstack.rehearsal.slow_responses import play_slow_responses


def run_responses() -> int:
    """Prints each violation and the number of them by form; returns 1 if there is one."""
    is_any_slow_one_broken = _run_slow_responses()
    cells = [cell for later in (False, True) for cell in all_cells(on_later_response=later)]
    result = play_matrix(cells)
    for line in result.broken:
        click.echo(line)
    click.echo(result.describe())
    return 1 if result.broken or is_any_slow_one_broken else 0


def _run_slow_responses() -> bool:
    outcomes = play_slow_responses(long_ones=True)
    for outcome in outcomes:
        click.echo(f"{outcome.response.name}: {'; '.join(outcome.violations()) or 'complete'}")
    return any(any(outcome.violations()) for outcome in outcomes)
