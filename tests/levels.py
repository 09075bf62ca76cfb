"""Two levels of reduced service for tests, with a load shedder and a journal of them."""

from __future__ import annotations

from tests.router_harness import SETTINGS
from violetstack.load_shedding.journal import (
    JournalRecord,
    encode_record,
)
from violetstack.load_shedding.levels import NORMAL, LevelActions, LevelPlan, LevelSpec
from violetstack.load_shedding.load_shedder import LoadShedder, admission_weights
from violetstack.load_shedding.signal_conditions import Threshold

HIGH = Threshold("lateness", True, 1.5)
LOW = Threshold("lateness", False, 1.0)
STRAINED = LevelSpec("strained", HIGH, LOW, actions=LevelActions(admitted_share=0.9), where="a:1")
CRISIS = LevelSpec(
    "crisis",
    Threshold("lateness", True, 3.0),
    Threshold("lateness", False, 2.0),
    actions=LevelActions(admitted_share=0.5, retry_share=0.0, reserve_ahead=False),
    where="a:5",
)
SPECS = (STRAINED, CRISIS)
TICK_MS = 250.0


def records(*levels: str, at: float = 1_000.0) -> bytes:
    return b"".join(
        encode_record(JournalRecord(level, at + n, at + n, cause="lateness >= 150%"))
        for n, level in enumerate(levels)
    )


NAMES = (NORMAL, "strained", "crisis")


def load_shedder(plan: LevelPlan | None = None) -> tuple[LoadShedder, list[tuple[str, dict[str, object]]]]:
    lines: list[tuple[str, dict[str, object]]] = []
    weights = admission_weights(SETTINGS, ("safe", "unsafe"), ())
    return LoadShedder(
        plan or LevelPlan(SPECS), weights, lambda event, **fields: lines.append((event, fields))
    ), lines
