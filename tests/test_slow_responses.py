"""Sound streams that are written slowly or in unusual pieces, through a real dispatcher process."""

from __future__ import annotations

from violetstack.rehearsal.slow_responses import play_slow_event_during_pause, play_slow_responses


def test_a_sound_stream_is_forwarded_completely_and_each_event_at_once() -> None:
    """`rehearse responses` plays longer ones, too."""
    outcomes = play_slow_responses(long_ones=False)
    violations = {outcome.response.name: list(outcome.violations()) for outcome in outcomes}
    assert not {name: texts for name, texts in violations.items() if texts}


def test_an_event_that_comes_evenly_is_not_cut_after_a_pause_of_the_process() -> None:
    assert not list(play_slow_event_during_pause().violations())
