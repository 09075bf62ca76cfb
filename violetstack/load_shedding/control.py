"""The levels behind the core's port: signals in, admissions out, one tick four times a second."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from violetstack.core.ports import Shed
from violetstack.load_shedding.admission import Admission, Weights
from violetstack.load_shedding.history import STILL_S, Record, Resumed
from violetstack.load_shedding.signals import Reading, Signals
from violetstack.load_shedding.state_machine import NORMAL, LevelSpec, Machine, Measures, Moved, Pin
from violetstack.policy_api import Request, Route, Settings
from violetstack.routing.policies import RetryBudget

TICK_MS = 250.0
UNCHANGED = Measures()


@dataclass(frozen=True, slots=True)
class LevelPlan:
    """What a checked file says of levels."""

    specs: tuple[LevelSpec, ...] = ()
    most_changes: int = 6
    journal: str = ""
    remember_s: float = 60.0
    admin: str = ""
    pin: str = ""
    pin_for_ms: float = 3_600_000.0

    def __bool__(self) -> bool:
        return bool(self.specs)


def weights_of(settings: Settings, classes: tuple[str, ...], tenants: tuple[str, ...]) -> Weights:
    top = max((spec.priority_weight for spec in settings.classes), default=1.0) or 1.0
    shares = tuple(spec.quota_share for spec in settings.tenants)
    return Weights(
        tuple(spec.priority_weight / top for spec in settings.classes),
        classes,
        shares if any(shares) else (),
        tenants,
        settings.over_quota_weight,
    )


class Bounded:
    """A request's course under a level: what its route allows, and no more than the level does."""

    __slots__ = ("max_attempts", "inner", "levels")

    def __init__(self, levels: Levels, inner: Route | None) -> None:
        self.levels = levels
        self.inner = inner
        self.max_attempts = inner.max_attempts if inner is not None else 1_000_000

    def active_pool(self, now: float) -> str:
        return self.inner.active_pool(now) if self.inner is not None else ""

    def contains(self, server: str, now: float) -> bool:
        return self.inner is None or self.inner.contains(server, now)

    def reservation_allowed(self, now: float) -> bool:
        mine = self.levels.measures.hold_ahead
        return mine and (self.inner is None or self.inner.reservation_allowed(now))

    def take_retry(self, now: float) -> bool:
        if self.inner is not None and not self.inner.take_retry(now):
            return False
        return self.levels.budget is None or self.levels.budget.spend(now)


class Levels:
    def __init__(self, plan: LevelPlan, weights: Weights, log: Callable[..., None]) -> None:
        self.plan = plan
        self.log = log
        self.machine = Machine(plan.specs, plan.most_changes)
        self.signals = Signals()
        self.admission = Admission(weights)
        self.readings: dict[str, Reading] = {}
        self.budget: RetryBudget | None = None
        self.records: list[Record] = []  # for the journal, taken by the driver
        self.wall_since = 0.0
        self.still_at = 0.0

    @property
    def measures(self) -> Measures:
        return self.machine.specs[self.machine.rank - 1].measures if self.machine.rank else UNCHANGED

    # --- start, file and pins ---

    def start(self, now: float, wall: float, resumed: Resumed) -> None:
        since = now - (wall - resumed.since_s) * 1000.0
        self.machine.start(now, resumed.rank, since, cautious=not resumed.trusted)
        self.wall_since = resumed.since_s
        self._apply(now)
        self.log("level_started", level=self.machine.name, why=resumed.why, cautious=not resumed.trusted)
        if self.plan.pin:
            self.pin(now, wall, self.plan.pin, self.plan.pin_for_ms, "the file")

    def reload(self, now: float, wall: float, plan: LevelPlan) -> None:
        pinned_anew = plan.pin and (plan.pin, plan.pin_for_ms) != (self.plan.pin, self.plan.pin_for_ms)
        self.plan = plan
        self._moved(now, wall, self.machine.replace(plan.specs, plan.most_changes, now))
        self._apply(now)
        if pinned_anew:
            self.pin(now, wall, plan.pin, plan.pin_for_ms, "the file")

    def pin(self, now: float, wall: float, level: str, for_ms: float, by: str) -> bool:
        """False if there is no such level."""
        if self.machine.rank_of(level) is None:
            return False
        self.log("level_pinned", level=level, for_s=round(for_ms / 1000.0), by=by)
        self._moved(now, wall, self.machine.set_pin(now, Pin(level, now + for_ms, by)))
        return True

    def unpin(self) -> None:
        self.machine.pin = None
        self.log("level_unpinned", level=self.machine.name)

    # --- the core's port ---

    def admit(self, now: float, request: Request) -> Shed | None:
        """Called once for each request that is about to be taken; bounds its course if it is served."""
        prompt = request.prompt_tokens
        name = request.session or request.id
        self.admission.note(now, request.class_index, request.tenant_index, prompt)
        if self.machine.rank == 0:
            return None
        found = self.admission.decide(
            now, request.class_index, request.tenant_index, name, prompt, session=request.session is not None
        )
        if found is not None:
            return found
        if self.budget is not None:
            self.budget.taken(now)
        request.route = Bounded(self, request.route)
        return None

    def stream_started(self, now: float, ratio: float, prompt: float) -> None:
        self.signals.begun(now, ratio)
        self.admission.did(now, prompt, ratio)

    def request_finished(self, now: float, answer: str, prompt: float) -> None:
        self.signals.ended(now, answer)
        if answer in ("refused", "failed"):
            self.admission.lost(now, prompt)

    # --- time ---

    def tick(
        self,
        now: float,
        wall: float,
        gauges: Mapping[str, float | None],
        hosts: tuple[int, int],
        waiting: Iterable[float],
    ) -> None:
        """`hosts`: how many are here, and how many of them are cold."""
        for name, value in gauges.items():
            self.signals.gauge(now, name, value)
        self.signals.hosts(now, *hosts)
        self.readings = self.signals.readings(now, waiting)
        self._moved(now, wall, self.machine.tick(now, self.readings))
        self.admission.tick(now)
        if self.machine.rank and wall - self.still_at >= STILL_S:
            self.still_at = wall
            self.records.append(Record(self.machine.name, wall, self.wall_since, still=True))

    def _moved(self, now: float, wall: float, moved: Moved | None) -> None:
        if moved is None:
            return
        self.wall_since = self.still_at = wall
        self._apply(now)
        self.log("level_changed", old=moved.old, new=moved.new, cause=moved.cause, signals=moved.readings)
        self.records.append(Record(moved.new, wall, wall, moved.old, moved.cause, readings=moved.readings))

    def _apply(self, now: float) -> None:
        measures = self.measures
        self.admission.set(measures)
        self.budget = None if measures.retries is None else RetryBudget(measures.retries, 0.0)
        if self.budget is not None and measures.retries == 0.0:
            self.budget.left = 0.0
        self.admission.tick(now)

    # --- for operators ---

    def show(self, now: float, wall: float) -> dict[str, object]:
        pin = self.machine.pin
        return {
            "level": self.machine.name,
            "levels": [NORMAL, *(spec.name for spec in self.machine.specs)],
            "since": round(self.wall_since, 3),
            "for_s": round(wall - self.wall_since, 1),
            "pin": None if pin is None else {"by": pin.by, "for_s": round((pin.until - now) / 1000.0)},
            "cautious_for_s": max(0.0, round((self.machine.cautious_until - now) / 1000.0, 1)),
            "shed": self.admission.shed,
            "signals": {
                name: {"value": r.value, "count": r.count, "age_s": round(r.age_ms / 1000.0, 1)}
                for name, r in self.readings.items()
            },
            "outlook": self.machine.outlook(now, self.readings),
        }
