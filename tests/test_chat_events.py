"""What becomes of each event of a host's answer, through a real dispatcher process with both fronts.

Incident of 2026-12-06: docs/incidents/2026-12-06-spoilt-events.md.
"""

from __future__ import annotations

import random

import pytest

from violetstack.rehearsal.chat_event_cells import (
    TOOL_FORMS,
    Cell,
    Effect,
    Front,
    HostApi,
    Position,
    all_cells,
)
from violetstack.rehearsal.chat_event_matrix import play_chat_events

SEED = 77
SAMPLE_SIZE = 120


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


# Guards against requests without any answer: a null in a tool call ended the assembly of the answer.
@pytest.mark.parametrize("host_api", HostApi, ids=lambda api: api.name.lower())
def test_a_null_in_a_tool_call_leaves_no_request_without_an_answer(host_api: HostApi) -> None:
    def is_played(cell: Cell) -> bool:
        return cell.form in TOOL_FORMS and cell.front is Front.CHAT and cell.position is Position.BETWEEN

    result = play_chat_events(host_api, filter(is_played, all_cells(host_api)))
    assert not result.broken
    assert len(result.outcomes) == 16


@pytest.mark.parametrize("host_api", HostApi, ids=lambda api: api.name.lower())
def test_sound_events_stay_sound_and_spoilt_ones_show(host_api: HostApi) -> None:
    """`rehearse chat` plays all cells."""
    cells = random.Random(SEED).sample(list(all_cells(host_api)), SAMPLE_SIZE)
    assert {cell.form.effect for cell in cells} == set(Effect)
    result = play_chat_events(host_api, cells)
    assert not result.broken
