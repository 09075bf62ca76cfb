"""The state that all parts of the policy share."""

from __future__ import annotations

import random

from violetstack.estimation.statistics import FleetStatistics
from violetstack.gossip import GossipState
from violetstack.policy_api import Action, Settings
from violetstack.shared.rate_limit import tenant_quota
from violetstack.tracking.endpoint_set import EndpointSet
from violetstack.tracking.load import LoadEstimator
from violetstack.tracking.request import RequestState


class PolicyState:
    """What the policy knows, and the actions of the batch of events in hand.

    Attributes:
        settings: of the tier.
        rng: the one source of randomness, seeded by the settings.
        now: time of the batch in hand, milliseconds.
        pause_ms: for how long the process did not run just before the batch; 0 ordinarily.
        requests: those not finished, by id.
        endpoints: the endpoint list with this dispatcher's records.
        statistics: what is usual among all endpoints.
        remote_load: what the other dispatchers told of.
        load: estimates of load, from the four above.
        tenant_quotas: each tenant's quota at this dispatcher, by its number.
        shortest_objective_ms: latency objective of the most demanding class, for an empty prompt.
    """

    def __init__(self, settings: Settings) -> None:
        """Start with no requests and no endpoints."""
        self.settings = settings
        self.rng = random.Random(settings.seed)
        self.now = 0.0
        self.pause_ms = 0.0
        self.requests: dict[str, RequestState] = {}
        self.endpoints = EndpointSet(settings, self.rng)
        self.statistics = FleetStatistics(settings)
        self.remote_load = GossipState(
            max((spec.client_timeout_ms for spec in settings.classes), default=0.0)
        )
        self.load = LoadEstimator(settings, self.endpoints, self.statistics, self.remote_load)
        self.tenant_quotas = {
            index: tenant_quota(tenant, settings) for index, tenant in enumerate(settings.tenants)
        }
        objectives_ms = (class_settings.latency_objective_ms for class_settings in settings.classes)
        self.shortest_objective_ms = min(objectives_ms, default=0.0)
        self._actions: list[Action] = []

    def begin_batch(self, now: float) -> None:
        """Events of this time follow."""
        self.now = now
        self.pause_ms = 0.0
        self._actions = []
        self.remote_load.expire(now)

    def begin_after_pause(self, pause_ms: float) -> None:
        """The process did not run before this batch: forget others' load, and sample no time across it."""
        self.pause_ms = pause_ms
        for request in self.requests.values():
            for attempt in request.in_flight.values():
                attempt.spans_pause = True
        self.remote_load.clear()

    def act(self, action: Action) -> None:
        """Add an action to the batch's answer."""
        self._actions.append(action)

    def end_batch(self) -> list[Action]:
        """The actions of the batch, in the order in which they were decided."""
        return self._actions
