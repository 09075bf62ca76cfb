"""Two levels of reduced service for tests, and a load shedder and a journal that use them."""

from __future__ import annotations

from tests.router_harness import SETTINGS
from violetstack.load_shedding.journal import (
    JournalRecord,
    encode_record,
)
from violetstack.load_shedding.levels import NORMAL, LevelActions, LevelPlan, LevelSpec
from violetstack.load_shedding.load_shedder import LoadShedder, admission_weights
from violetstack.load_shedding.signal_conditions import Threshold

LATENESS_HIGH = Threshold("lateness", True, 1.5)
LATENESS_LOW = Threshold("lateness", False, 1.0)
STRAINED = LevelSpec(
    "strained", LATENESS_HIGH, LATENESS_LOW, actions=LevelActions(admitted_share=0.9), where="a:1"
)
CRISIS = LevelSpec(
    "crisis",
    Threshold("lateness", True, 3.0),
    Threshold("lateness", False, 2.0),
    actions=LevelActions(admitted_share=0.5, retry_share=0.0, reserve_ahead=False),
    where="a:5",
)
SPECS = (STRAINED, CRISIS)
TICK_MS = 250.0


def journal_bytes(*levels: str, start_s: float = 1_000.0) -> bytes:
    """Returns a journal with a change to each of `levels`, one second apart."""
    return b"".join(
        encode_record(JournalRecord(level, start_s + n, start_s + n, cause="lateness >= 150%"))
        for n, level in enumerate(levels)
    )


LEVEL_NAMES = (NORMAL, "strained", "crisis")


def load_shedder(plan: LevelPlan | None = None) -> tuple[LoadShedder, list[tuple[str, dict[str, object]]]]:
    """Returns a load shedder with both levels, or with `plan`, and the list of its log events."""
    lines: list[tuple[str, dict[str, object]]] = []
    weights = admission_weights(SETTINGS, ("safe", "unsafe"), ())
    return LoadShedder(
        plan or LevelPlan(SPECS), weights, lambda event, **fields: lines.append((event, fields))
    ), lines
