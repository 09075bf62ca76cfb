"""The levels of reduced service as the operator's file defines them."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from violetstack.load_shedding.signal_conditions import SignalCondition

NORMAL = "normal"


class DemandLimit(NamedTuple):
    """The most of its demand that is admitted of one class and tenant; an empty name means any."""

    class_name: str
    tenant: str
    admitted_share: float


@dataclass(frozen=True, slots=True)
class LevelActions:
    """What a level does. Shares are parts of one; None leaves a matter to the settings.

    Attributes:
        admitted_share: Of the work that the tier has shown it can do.
        min_class_weight: Requests of classes with a smaller weight are shed; the heaviest class has 1.
        enforce_quotas: Whether tenants are held to their quotas even where capacity is left.
        max_prompt_tokens: Longer prompts are shed.
        retry_share: Retries and hedges as a part of requests; 0 allows none.
        reserve_ahead: Whether decode slots are reserved during prefill.
        retry_after_ms: Least advice to clients whose request is shed.
        demand_limits: Limits for single classes and tenants.
    """

    admitted_share: float | None = None
    min_class_weight: float = 0.0
    enforce_quotas: bool = False
    max_prompt_tokens: int | None = None
    retry_share: float | None = None
    reserve_ahead: bool = True
    retry_after_ms: float = 1_000.0
    demand_limits: tuple[DemandLimit, ...] = ()


@dataclass(frozen=True, slots=True)
class LevelSpec:
    """One level.

    Attributes:
        name: Unique, and not `NORMAL`.
        enter: Condition of entering it from any lower level.
        leave: Condition of leaving it for the next lower one.
        enter_after_ms: How long `enter` has to hold.
        leave_after_ms: How long `leave` has to hold.
        min_duration_ms: How long the level is kept at least.
        actions: What the level does.
        where: Place in the operator's file.
    """

    name: str
    enter: SignalCondition
    leave: SignalCondition
    enter_after_ms: float = 2_000.0
    leave_after_ms: float = 10_000.0
    min_duration_ms: float = 15_000.0
    actions: LevelActions = LevelActions()
    where: str = field(default="", compare=False)


@dataclass(frozen=True, slots=True)
class LevelPlan:
    """Everything that a checked file says of levels; false without a level.

    Attributes:
        specs: The levels, mildest first.
        max_changes_per_minute: Beyond it no level is left.
        journal_path: Where changes are recorded for a restart; empty for nowhere.
        restore_within_s: A restart restores a level whose record is no older.
        socket_path: Where `violetstack level` connects; empty for nowhere.
        pinned_level: Level to pin; empty for none.
        pin_duration_ms: For how long.
    """

    specs: tuple[LevelSpec, ...] = ()
    max_changes_per_minute: int = 6
    journal_path: str = ""
    restore_within_s: float = 60.0
    socket_path: str = ""
    pinned_level: str = ""
    pin_duration_ms: float = 3_600_000.0

    def __bool__(self) -> bool:
        """Whether there are any levels."""
        return bool(self.specs)
