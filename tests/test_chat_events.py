"""What becomes of each event of a host's answer, through a real dispatcher process with both fronts.

Incident of 2026-12-06: docs/incidents/2026-12-06-spoilt-events.md.
"""

from __future__ import annotations

import pytest

from violetstack.rehearsal.chat_event_cells import Cell, Front, HostApi, Position, all_cells
from violetstack.rehearsal.chat_event_matrix import play_chat_events


# Guards against answers that are ended and recorded as complete without the event that could not be read.
@pytest.mark.parametrize("host_api", HostApi, ids=lambda api: api.name.lower())
def test_an_answer_with_an_event_that_cannot_be_read_is_not_ended_as_complete(host_api: HostApi) -> None:
    def is_played(cell: Cell) -> bool:
        spoilt = cell.form.name in ("JSON without its end", "an error object", "content that is a number")
        return spoilt and cell.front is Front.CHAT and cell.position is Position.BETWEEN

    result = play_chat_events(host_api, filter(is_played, all_cells(host_api)))
    assert not result.broken
    assert len(result.outcomes) == 12
    assert result.logged
