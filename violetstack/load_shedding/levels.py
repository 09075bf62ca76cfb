"""The levels of reduced service that the operator's file defines."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from violetstack.load_shedding.signal_conditions import SignalCondition

NORMAL = "normal"


class DemandLimit(NamedTuple):
    """The largest share of the demand of a class and tenant that is admitted; an empty name matches all."""

    class_name: str
    tenant: str
    admitted_share: float


@dataclass(frozen=True, slots=True)
class LevelActions:
    """The restrictions of a level. Shares are between 0 and 1; None is no restriction.

    Attributes:
        admitted_share: Share of the tier's estimated capacity that is admitted.
        min_class_weight: Requests of classes with a smaller weight are shed; the heaviest class has 1.
        enforce_quotas: Whether tenants are limited to their quotas even if capacity is left.
        max_prompt_tokens: Requests with longer prompts are shed.
        retry_share: Limit of retries and hedged requests as a share of requests; 0 allows none.
        reserve_ahead: Whether decode slots may be reserved during prefill.
        retry_after_ms: Shortest Retry-After time of shed requests.
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
    """The definition of one level.

    Attributes:
        name: Unique name, other than `NORMAL`.
        enter: Condition for entering the level from any lower level.
        leave: Condition for leaving it for the next lower level.
        enter_after_ms: Time for which `enter` has to hold.
        leave_after_ms: Time for which `leave` has to hold.
        min_duration_ms: Shortest time for which the level stays in force.
        actions: The restrictions of the level.
        where: Position in the operator's file, for messages.
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
    """The load shedding configuration of a checked operator's file; false if it defines no levels.

    Attributes:
        specs: The levels, mildest first.
        max_changes_per_minute: After this many changes within a minute, no level is left.
        journal_path: File in which changes are recorded for a restart; empty for none.
        restore_within_s: A restart restores a level whose record is younger than this; see `journal`.
        socket_path: Unix socket for `violetstack level`; empty for none.
        pinned_level: Level to pin at the start; empty for none.
        pin_duration_ms: Duration of that pin.
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
