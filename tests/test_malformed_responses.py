"""Malformed responses of model hosts, through a real dispatcher process."""

from __future__ import annotations

import random

from violetstack.rehearsal.response_cells import all_cells
from violetstack.rehearsal.response_matrix import play_matrix

SEED = 71
SAMPLE_SIZE = 150
MAX_MEMORY_MB = 60.0


def test_no_client_waits_for_a_malformed_response_or_gets_it_as_complete() -> None:
    """`rehearse responses` plays all cells."""
    cells = [cell for later in (False, True) for cell in all_cells(on_later_response=later)]
    result = play_matrix(random.Random(SEED).sample(cells, SAMPLE_SIZE))
    assert not result.broken
    assert result.peak_memory_mb < MAX_MEMORY_MB
