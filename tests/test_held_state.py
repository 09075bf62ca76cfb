"""Tests that state which hosts hold for a request is claimed or released in time (incident of 2026-12-02).

The dispatcher runs as a real process with the deploy file's `run` command and real sockets; the audit uses
the hosts' own records.
"""

from __future__ import annotations

import pytest
import trio

from tests.held_state_matrix import (
    CLASSES,
    COLUMNS,
    NO_DESCRIPTOR_COLUMN,
    ROWS,
    Cell,
    Column,
    run_column,
    run_column_until_held,
    run_matrix,
)


@pytest.mark.parametrize("row", ["slot-uncertain", "slot-unanswered"])
@pytest.mark.parametrize("class_name", ["consulta", "orden"])
def test_slot_is_released_while_the_prefill_host_begins_no_attempt(class_name: str, row: str) -> None:
    """Guards against a slot that is held until the prefill attempt times out.

    That timeout grows with the latency objective of the class.
    """
    request_id = f"{row}.{class_name}"
    cell = trio.run(run_column, Column(), 0, (request_id,))[request_id]
    assert cell.held
    assert not cell.too_long


def test_state_is_released_while_no_connection_can_be_opened() -> None:
    """Guards against requests that use up the last idle connections while socket(2) fails."""
    cells = trio.run(run_column_until_held, NO_DESCRIPTOR_COLUMN, 0)
    assert not [(str(late), cell.delays) for cell in cells.values() for late in cell.too_long]
    assert all(any(cells[f"{row}.{class_name}"].held for class_name in CLASSES) for row in ROWS)


@pytest.fixture(scope="module")
def matrix(request: pytest.FixtureRequest) -> dict[str, dict[str, Cell]]:
    """Plays the columns of the tests that are selected."""
    tests = (test for test in request.session.items if isinstance(test, pytest.Function))
    parameters = (test.callspec.params for test in tests if hasattr(test, "callspec"))
    return trio.run(run_matrix, {str(each["column"]) for each in parameters if "column" in each})


@pytest.mark.parametrize("row", ROWS)
@pytest.mark.parametrize("column", COLUMNS)
def test_held_state_is_released_in_time(matrix: dict[str, dict[str, Cell]], column: str, row: str) -> None:
    cells = [matrix[column][f"{row}.{class_name}"] for class_name in CLASSES]
    assert not [(str(late), cell.delays) for cell in cells for late in cell.too_long]
    assert any(cell.held for cell in cells)
