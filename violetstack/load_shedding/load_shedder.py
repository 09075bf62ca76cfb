"""The load shedder, which implements the core's port: records events and admits or sheds requests."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence

from violetstack.core.ports import Shed
from violetstack.core.records import RequestOutcome
from violetstack.load_shedding.admission import AdmissionController, AdmissionWeights
from violetstack.load_shedding.journal import HEARTBEAT_S, JournalRecord, RestoredLevel
from violetstack.load_shedding.levels import LevelActions, LevelPlan
from violetstack.load_shedding.limited_route import LimitedRoute
from violetstack.load_shedding.signals import EndpointCounts, Reading, Signals
from violetstack.load_shedding.state_machine import LevelChange, LevelStateMachine, Pin
from violetstack.load_shedding.status import LevelStatus, PinStatus, SignalStatus
from violetstack.policy_api import Request, Settings
from violetstack.routing.policies import RetryBudget

TICK_MS = 250.0
NORMAL_ACTIONS = LevelActions()
PINNED_BY_FILE = "the file"


def admission_weights(
    settings: Settings, class_names: Sequence[str], tenant_names: Sequence[str]
) -> AdmissionWeights:
    """Returns the class weights of the settings, relative to the heaviest class, and the tenant quotas."""
    heaviest = max((spec.priority_weight for spec in settings.classes), default=1.0) or 1.0
    quotas = tuple(spec.quota_share for spec in settings.tenants)
    return AdmissionWeights(
        class_weights=tuple(spec.priority_weight / heaviest for spec in settings.classes),
        class_names=tuple(class_names),
        tenant_quotas=quotas if any(quotas) else (),
        tenant_names=tuple(tenant_names),
    )


class LoadShedder:
    """Admits or sheds requests under the level in force.

    In its methods `now` is a time in milliseconds and `wall_s` the same time in Unix seconds.

    Attributes:
        plan: The configuration of the operator's file.
        state_machine: Decides which level is in force.
        signals: The signals that its conditions compare.
        admission: Decides which requests are admitted.
    """

    def __init__(self, plan: LevelPlan, weights: AdmissionWeights, log: Callable[..., None]) -> None:
        """Starts at level normal; `log` is called with an event name and the event's fields."""
        self.plan = plan
        self.state_machine = LevelStateMachine(plan.specs, plan.max_changes_per_minute)
        self.signals = Signals()
        self.admission = AdmissionController(weights)
        self._log = log
        self._readings: dict[str, Reading] = {}
        self._retry_budget: RetryBudget | None = None
        self._unwritten_records: list[JournalRecord] = []
        self._since_s = 0.0
        self._last_record_s = 0.0

    @property
    def actions(self) -> LevelActions:
        """The actions of the level in force."""
        rank = self.state_machine.rank
        return self.state_machine.specs[rank - 1].actions if rank else NORMAL_ACTIONS

    def take_records(self) -> list[JournalRecord]:
        """Returns the journal records that were created since the last call."""
        records = self._unwritten_records
        self._unwritten_records = []
        return records

    # --- start, reload and pins ---

    def start(self, now: float, wall_s: float, restored: RestoredLevel) -> None:
        """Starts at the restored level, or at the level that the operator's file pins."""
        since_ms = now - (wall_s - restored.since_s) * 1000.0
        self.state_machine.start(now, restored.rank, since_ms, cautious=not restored.is_known)
        self._since_s = restored.since_s
        self._apply_actions(now)
        level = self.state_machine.name
        self._log("level_started", level=level, why=restored.reason, cautious=not restored.is_known)
        self._apply_planned_pin(now, wall_s)

    def reload(self, now: float, wall_s: float, plan: LevelPlan) -> None:
        """Applies the levels of a reloaded operator's file."""
        old = self.plan
        self.plan = plan
        specs = plan.specs
        change = self.state_machine.replace_specs(specs, plan.max_changes_per_minute, now)
        self._handle_change(now, wall_s, change)
        self._apply_actions(now)
        if (plan.pinned_level, plan.pin_duration_ms) != (old.pinned_level, old.pin_duration_ms):
            self._apply_planned_pin(now, wall_s)

    def pin(self, now: float, wall_s: float, level: str, duration_ms: float, by: str) -> None:
        """Puts a level in force for a time, whatever the signals are.

        Raises:
            UnknownLevelError: There is no such level.
        """
        self.state_machine.rank_of(level)
        self._log("level_pinned", level=level, for_s=round(duration_ms / 1000.0), by=by)
        self._handle_change(now, wall_s, self.state_machine.set_pin(now, Pin(level, now + duration_ms, by)))

    def unpin(self) -> None:
        """Ends the pin, so that the signals determine the level again."""
        self.state_machine.pin = None
        self._log("level_unpinned", level=self.state_machine.name)

    def _apply_planned_pin(self, now: float, wall_s: float) -> None:
        level = self.plan.pinned_level
        if level in self.state_machine.names:
            self.pin(now, wall_s, level, self.plan.pin_duration_ms, PINNED_BY_FILE)

    # --- the core's port ---

    def admit(self, now: float, request: Request) -> Shed | None:
        """Admits a request, limits its route and returns None; or returns the reason for shedding it."""
        class_index = request.class_index
        tenant_index = request.tenant_index
        prompt_tokens = request.prompt_tokens
        self.admission.record_demand(now, class_index, tenant_index, prompt_tokens)
        if self.state_machine.rank == 0:
            return None
        shed = self.admission.decide(
            now,
            class_index,
            tenant_index,
            request.session or request.id,
            prompt_tokens,
            is_session=request.session is not None,
        )
        if shed is not None:
            return shed
        if self._retry_budget is not None:
            self._retry_budget.add_request(now)
        request.route = LimitedRoute(self, request.route)
        return None

    def stream_started(self, now: float, objective_ratio: float, prompt_tokens: float) -> None:
        """Records a first token; `objective_ratio` is the time to it over the request's latency objective."""
        self.signals.stream_started(now, objective_ratio)
        self.admission.record_started(now, prompt_tokens, objective_ratio)

    def request_finished(self, now: float, outcome: RequestOutcome, prompt_tokens: float) -> None:
        """Records the outcome of a request."""
        self.signals.request_finished(now, outcome)
        if outcome in (RequestOutcome.REJECTED, RequestOutcome.FAILED):
            self.admission.record_rejected(now, prompt_tokens)

    # --- limits of admitted requests ---

    def reservation_allowed(self) -> bool:
        """Whether a decode slot may be reserved during prefill."""
        return self.actions.reserve_ahead

    def take_retry(self, now: float) -> bool:
        """Takes one attempt from the level's retry budget; returns False if the budget is exhausted."""
        return self._retry_budget is None or self._retry_budget.try_spend(now)

    # --- time ---

    def tick(
        self,
        now: float,
        wall_s: float,
        gauges: Mapping[str, float | None],
        endpoints: EndpointCounts,
        waiting: Iterable[float],
    ) -> None:
        """Updates the signals, the level and the shares; called every `TICK_MS`.

        Args:
            now: Time in milliseconds.
            wall_s: The same time in Unix seconds.
            gauges: Value of each gauge by signal name; None if it is not known.
            endpoints: Number of endpoints in the endpoint list.
            waiting: Age of each request without a first token, over its latency objective.
        """
        for name, value in gauges.items():
            self.signals.set_gauge(now, name, value)
        self.signals.set_endpoint_counts(now, endpoints)
        self._readings = self.signals.readings(now, waiting)
        self._handle_change(now, wall_s, self.state_machine.tick(now, self._readings))
        self.admission.tick(now)
        if self.state_machine.rank and wall_s - self._last_record_s >= HEARTBEAT_S:
            self._last_record_s = wall_s
            level = self.state_machine.name
            self._unwritten_records.append(JournalRecord(level, wall_s, self._since_s, is_heartbeat=True))

    def _handle_change(self, now: float, wall_s: float, change: LevelChange | None) -> None:
        if change is None:
            return
        self._since_s = wall_s
        self._last_record_s = wall_s
        self._apply_actions(now)
        self._log(
            "level_changed", old=change.old, new=change.new, cause=change.cause, signals=change.readings
        )
        self._unwritten_records.append(
            JournalRecord(change.new, wall_s, wall_s, change.old, change.cause, readings=change.readings)
        )

    def _apply_actions(self, now: float) -> None:
        actions = self.actions
        self.admission.set_actions(actions)
        self._retry_budget = None
        if actions.retry_share is not None:
            self._retry_budget = RetryBudget(actions.retry_share, 0.0)
            if actions.retry_share == 0.0:
                self._retry_budget.balance = 0.0
        self.admission.tick(now)

    # --- for operators ---

    def status(self, now: float, wall_s: float) -> LevelStatus:
        """Returns the level in force and the conditions that would change it."""
        machine = self.state_machine
        pin = machine.pin
        return LevelStatus(
            level=machine.name,
            levels=machine.names,
            since_s=round(self._since_s, 3),
            duration_s=round(wall_s - self._since_s, 1),
            pin=None if pin is None else PinStatus(pin.by, round((pin.until_ms - now) / 1000.0)),
            cautious_for_s=max(0.0, round((machine.cautious_until_ms - now) / 1000.0, 1)),
            shed_count=self.admission.shed_count,
            signals={
                name: SignalStatus(reading.value, reading.count, round(reading.age_ms / 1000.0, 1))
                for name, reading in self._readings.items()
            },
            transitions=machine.transitions(now, self._readings),
        )
