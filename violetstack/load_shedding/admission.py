"""Admission control: selects requests under a level by class weight, then tenant quota, then a hash.

Each tick compares the demand of the last second, by class and tenant, with a budget: the capacity of the tier
times the share that the level admits. Classes are served in the order of their weights, the heaviest first.
In the class in which the budget is exhausted, tenants get weighted fair shares. Each tick computes the shares
from current demand, so a tenant whose quota was used by others has it back one second after its demand rises.

A decision takes one table look-up and one hash. Only the session's id is hashed, so that a session is served
or shed as a whole, without any memory for it. Active sessions are kept in two bounded sets and are admitted
with twice the probability. If this admits more than a tenant's share, the share is lowered for all sessions
of the tenant, so it is the tenant's own new sessions that are shed.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from violetstack.core.ports import Shed
from violetstack.load_shedding.capacity import WORK_MEMORY_MS, CapacityEstimator
from violetstack.load_shedding.decaying_rate import DecayingRate
from violetstack.load_shedding.fair_share import hash_fraction, weighted_fair_shares
from violetstack.load_shedding.levels import LevelActions

DEMAND_MEMORY_MS = 500.0  # 86% of a change in demand is visible after one second
MIN_DEMAND_PER_MS = 1e-6
MAX_CELLS = 50_000
MAX_SESSIONS = 50_000  # in each of the two sets
SESSION_SET_MS = 60_000.0  # a set is filled for this long, and dropped after twice this time
ACTIVE_SESSION_FACTOR = 0.5  # on the hash of an active session, which doubles its probability
MAX_RETRY_AFTER_FACTOR = 3.0  # Retry-After is spread between the level's value and this multiple of it
# Limits of the factor that corrects a share, and of its change per tick: it rises slowly and falls faster.
MAX_CORRECTION = 1.5
MIN_CORRECTION = 0.2
MAX_CORRECTION_STEP = 1.1
MIN_CORRECTION_STEP = 0.8


@dataclass(frozen=True, slots=True)
class AdmissionWeights:
    """Weights and quotas of the classes and tenants of the settings.

    Attributes:
        class_weights: Priority weight of each class, relative to the heaviest class.
        class_names: Names of the classes.
        tenant_quotas: Quota of each tenant as a share of the capacity, 0 to 1; empty if there are no quotas.
        tenant_names: Names of the tenants.
    """

    class_weights: tuple[float, ...]
    class_names: tuple[str, ...]
    tenant_quotas: tuple[float, ...]
    tenant_names: tuple[str, ...]


Cell = tuple[int, int]  # class index and tenant index in the settings


class AdmissionController:
    """Admits or sheds requests according to the shares that each tick computes.

    Attributes:
        weights: Weights and quotas of the classes and tenants.
        capacity: Estimates the capacity of the tier.
        admitted_shares: Share of the demand that is admitted, by cell.
        default_share: The share of cells that are not in `admitted_shares`.
        shed_count: Number of shed requests.
    """

    def __init__(self, weights: AdmissionWeights) -> None:
        """Creates a controller without a level, which admits every request."""
        self.weights = weights
        self.capacity = CapacityEstimator()
        self.admitted_shares: dict[Cell, float] = {}
        self.default_share = 1.0
        self.shed_count = 0
        self._actions = LevelActions()
        self._demand: dict[Cell, DecayingRate] = {}
        self._admitted: dict[Cell, DecayingRate] = {}
        self._corrections: dict[Cell, float] = {}  # factor on the share, by cell
        self._demand_limits: dict[Cell, float] = {}
        self._recent_sessions: set[int] = set()
        self._older_sessions: set[int] = set()
        self._sessions_rotated_ms = 0.0

    def set_actions(self, actions: LevelActions) -> None:
        """Applies the actions of a new level."""
        self._actions = actions
        self.admitted_shares = {}
        self.default_share = 1.0
        self._demand_limits = {}
        class_names = self.weights.class_names
        tenant_names = self.weights.tenant_names
        for limit in actions.demand_limits:
            for class_index in _matching_indices(limit.class_name, class_names, len(class_names)):
                for tenant_index in _matching_indices(limit.tenant, tenant_names, max(1, len(tenant_names))):
                    cell = (class_index, tenant_index)
                    share = min(limit.admitted_share, self._demand_limits.get(cell, 1.0))
                    self._demand_limits[cell] = share

    # --- observations ---

    def record_demand(self, now: float, class_index: int, tenant_index: int, prompt_tokens: float) -> None:
        """Records a request, admitted or not."""
        rate = self._demand.get((class_index, tenant_index))
        if rate is None:
            if len(self._demand) >= MAX_CELLS:
                return
            rate = DecayingRate(DEMAND_MEMORY_MS, now)
            self._demand[class_index, tenant_index] = rate
        rate.add(now, request_work(prompt_tokens))

    def record_started(self, now: float, prompt_tokens: float, lateness: float) -> None:
        """Records a first token; `lateness` is the time to the first token over its objective."""
        self.capacity.record_work_done(now, request_work(prompt_tokens), lateness)

    def record_rejected(self, now: float, prompt_tokens: float) -> None:
        """Records an admitted request that the policy rejected or that failed."""
        self.capacity.record_work_rejected(now, request_work(prompt_tokens))

    # --- shares, once a tick ---

    def tick(self, now: float) -> None:
        """Computes the shares from current demand."""
        actions = self._actions
        self.capacity.tick(now, actions.admitted_share)
        self._rotate_sessions(now)
        demand = self._current_demand(now)
        self.admitted_shares = {}
        if actions.admitted_share is None and not self._demand_limits and not actions.enforce_quotas:
            self.default_share = 1.0
            return
        total = sum(demand.values())
        budget = total
        if actions.admitted_share is not None:
            # The capacity is unknown until the tier was saturated; until then the share applies to demand.
            capacity = self.capacity.work_per_ms
            budget = actions.admitted_share * (total if capacity is None else capacity)
        budget_left = self._distribute(now, demand, budget)
        self.default_share = 1.0 if budget_left > 0 else 0.0

    def _distribute(self, now: float, demand: dict[Cell, float], budget: float) -> float:
        """Computes the share of each cell, heaviest class first; returns the rest of the budget."""
        class_weights = self.weights.class_weights
        quotas = dict(enumerate(self.weights.tenant_quotas)) or {0: 1.0}
        enforce_quotas = self._actions.enforce_quotas and bool(self.weights.tenant_quotas)
        budget_left = budget
        for class_index in sorted(range(len(class_weights)), key=lambda index: -class_weights[index]):
            wanted = {
                tenant: rate * self._demand_limits.get((cell_class, tenant), 1.0)
                for (cell_class, tenant), rate in demand.items()
                if cell_class == class_index
            }
            granted = wanted
            if sum(wanted.values()) > budget_left:
                granted = weighted_fair_shares(max(0.0, budget_left), wanted, quotas)
            if enforce_quotas:
                granted = {
                    tenant: min(rate, budget * quotas.get(tenant, 0.0)) for tenant, rate in granted.items()
                }
            budget_left -= sum(granted.values())
            for tenant, rate in granted.items():
                cell = (class_index, tenant)
                share = min(1.0, rate / demand[cell])
                self.admitted_shares[cell] = share * self._correction(now, cell, share, rate)
        return budget_left

    def _current_demand(self, now: float) -> dict[Cell, float]:
        """Returns the demand by cell, and drops the state of cells without demand."""
        demand = {cell: rate.per_ms(now) for cell, rate in self._demand.items()}
        for cell in [cell for cell, rate in demand.items() if rate < MIN_DEMAND_PER_MS]:
            del self._demand[cell]
            del demand[cell]
            self._admitted.pop(cell, None)
            self._corrections.pop(cell, None)
        return demand

    def _correction(self, now: float, cell: Cell, share: float, granted: float) -> float:
        """Returns the factor on a cell's share that brings the admitted work to the granted rate."""
        if share >= 1.0 or granted <= 0.0:
            self._corrections.pop(cell, None)
            return 1.0
        admitted = self._admitted[cell].per_ms(now) if cell in self._admitted else 0.0
        step = granted / admitted if admitted > 0.0 else MAX_CORRECTION_STEP
        step = min(MAX_CORRECTION_STEP, max(MIN_CORRECTION_STEP, step))
        correction = self._corrections.get(cell, 1.0) * step
        self._corrections[cell] = min(MAX_CORRECTION, max(MIN_CORRECTION, correction))
        return self._corrections[cell]

    # --- decisions, for each request ---

    def decide(
        self,
        now: float,
        class_index: int,
        tenant_index: int,
        name: str,
        prompt_tokens: float,
        *,
        is_session: bool,
    ) -> Shed | None:
        """Returns None to admit a request, otherwise the reason for shedding it and the Retry-After time.

        Args:
            now: Time in milliseconds.
            class_index: Index of the request's class in the settings.
            tenant_index: Index of its tenant in the settings.
            name: The id of the session, or of the request if it has no session.
            prompt_tokens: Length of the prompt.
            is_session: Whether `name` is the id of a session.
        """
        actions = self._actions
        if actions.max_prompt_tokens is not None and prompt_tokens > actions.max_prompt_tokens:
            return self._shed("prompt", name)
        if self.weights.class_weights[class_index] < actions.min_class_weight:
            return self._shed("worth", name)
        if not self.admitted_shares and not self._demand_limits:
            return None
        cell = (class_index, tenant_index)
        share = self.admitted_shares.get(cell, self._demand_limits.get(cell, self.default_share))
        position = 0.0 if share >= 1.0 else hash_fraction(name)
        if is_session and position and self._is_active_session(name):
            position *= ACTIVE_SESSION_FACTOR
        if position >= share:
            return self._shed("share" if actions.enforce_quotas else "admit", name)
        if is_session:
            self._add_active_session(name)
        if cell not in self._admitted:
            self._admitted[cell] = DecayingRate(WORK_MEMORY_MS, now)
        self._admitted[cell].add(now, request_work(prompt_tokens))
        return None

    def _shed(self, reason: str, name: str) -> Shed:
        self.shed_count += 1
        spread = hash_fraction(f"{self.shed_count}\n{name}")
        factor = 1.0 + (MAX_RETRY_AFTER_FACTOR - 1.0) * spread
        return Shed(reason, self._actions.retry_after_ms * factor)

    # --- active sessions ---

    def _is_active_session(self, name: str) -> bool:
        key = hash(name)
        return key in self._recent_sessions or key in self._older_sessions

    def _add_active_session(self, name: str) -> None:
        if len(self._recent_sessions) >= MAX_SESSIONS:
            self._older_sessions = self._recent_sessions
            self._recent_sessions = set()
        self._recent_sessions.add(hash(name))

    def _rotate_sessions(self, now: float) -> None:
        if now - self._sessions_rotated_ms > SESSION_SET_MS:
            self._older_sessions = self._recent_sessions
            self._recent_sessions = set()
            self._sessions_rotated_ms = now


def request_work(prompt_tokens: float) -> float:
    """Returns the work of a request: its prompt tokens, plus one for everything else."""
    return prompt_tokens + 1.0


def _matching_indices(name: str, names: Sequence[str], count: int) -> Sequence[int]:
    """Returns the index of a name, or all indices below `count` if the name is not in `names`."""
    return [names.index(name)] if name in names else range(count)
